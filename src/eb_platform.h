#ifndef EB_PLATFORM_H
#define EB_PLATFORM_H

#include "eb_core.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_status.h"

/*
 * Reads the platform in a thread of its own: watches the log of release
 * notes and polls the list of VMs. The configuration that results goes to
 * the core.
 */
struct eb_platform;

struct eb_platform_config {
	const struct eb_settings *settings;
	struct eb_core *core;
	struct eb_metrics *metrics;
	struct eb_log *log;
};

struct eb_platform *eb_platform_start(const struct eb_platform_config *cf,
				      struct eb_error *err);
void eb_platform_stop(struct eb_platform *pl);

#endif
