#ifndef EB_RELEASE_H
#define EB_RELEASE_H

#include <jansson.h>

#include "eb_config.h"
#include "eb_findings.h"
#include "eb_status.h"

/*
 * A release note lists what is added, changed and withdrawn. Applying it to
 * the configuration it builds on gives the next configuration.
 */
enum eb_status eb_release_check(const char *source, const char *text,
				size_t bytes, struct eb_findings *fs);
enum eb_status eb_release_apply(const struct eb_config *base,
				const json_t *note, uint64_t index,
				const char *source, struct eb_findings *fs,
				struct eb_config **out);

#endif
