#ifndef EB_FRONT_H
#define EB_FRONT_H

#include "eb_adapter.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_ring.h"
#include "eb_settings.h"
#include "eb_status.h"

/*
 * The HTTP server for callers, in its own thread. It writes HEAD, DATA, END,
 * RCREDIT and CANCEL to `out` and reads CREDIT, RHEAD, RDATA, REND, REFUSE and
 * ABORT from `in`.
 */
struct eb_front;

struct eb_front_config {
	const struct eb_settings *settings;
	struct eb_ring *in;
	struct eb_ring *out;
	struct eb_metrics *metrics;
	struct eb_log *log;
	const struct eb_dialect *dialect;
};

struct eb_front *eb_front_start(const struct eb_front_config *cf,
				struct eb_error *err);
void eb_front_drain(struct eb_front *ft);
void eb_front_close_listener(struct eb_front *ft);
void eb_front_close_idle(struct eb_front *ft);
uint32_t eb_front_active(const struct eb_front *ft);
uint32_t eb_front_open(const struct eb_front *ft);
uint32_t eb_front_connections(const struct eb_front *ft);
void eb_front_stop(struct eb_front *ft);

#endif
