#ifndef EB_RELEASE_H
#define EB_RELEASE_H

#include <jansson.h>

#include "eb_config.h"
#include "eb_findings.h"
#include "eb_regions.h"
#include "eb_status.h"

/* The platform stores no larger value. */
#define EB_RELEASE_NOTE_MAX_BYTES 1048576
/*
 * Limits of a configuration. The design scale is 22,000 upstreams in 730
 * services.
 */
#define EB_RELEASE_UPSTREAMS_MAX 65536
#define EB_RELEASE_SERVICES_MAX 4096
#define EB_RELEASE_RULES_MAX 4096
/* Bits that eb_regions has for regions. */
#define EB_RELEASE_SERVICE_REGIONS_MAX (EB_REGIONS_MAX - 1)

/*
 * A release note lists the items that are added, changed and withdrawn.
 * Applying it to the configuration it builds on gives the next one.
 */
json_t *eb_release_parse(const char *source, const char *text, size_t bytes,
			 struct eb_findings *fs);
enum eb_status eb_release_check(const char *source, const char *text,
				size_t bytes, struct eb_findings *fs);
enum eb_status eb_release_apply(const struct eb_config *base,
				const json_t *note, uint64_t index,
				const char *source, struct eb_findings *fs,
				struct eb_config **out);
enum eb_status eb_release_apply_text(const struct eb_config *base,
				     const char *text, size_t bytes,
				     uint64_t index, const char *source,
				     struct eb_findings *fs,
				     struct eb_config **out);

#endif
