#ifndef EB_MATCHER_H
#define EB_MATCHER_H

#include <stdint.h>

#include "eb_config.h"
#include "eb_frame.h"

/* Finds the match and the service of requests. */
struct eb_matcher {
	uint32_t split_position; /* see eb_matcher_service() */
};

uint32_t eb_matcher_service(struct eb_matcher *mc, const struct eb_config *cf,
			    const struct eb_head *h,
			    const struct eb_match **mt);
int eb_matcher_idempotent(const char *methods, const char *method);

#endif
