#ifndef EB_URGENCY_H
#define EB_URGENCY_H

#include <stdint.h>

/*
 * Recent load by priority: how much of it is more or less urgent than a
 * request. A gate sizes its reserved slots by it, an origin ranks its requests.
 * Pure: the caller passes the monotonic time.
 */

/* Priorities from the last level on count as that level. */
#define EB_URGENCY_LEVELS 8
/* Work of a request where requests are counted rather than their time. */
#define EB_URGENCY_REQUEST 1000

struct eb_urgency_level {
	int64_t work_us; /* of recent requests, decaying */
	int64_t at_us;	 /* time for which work_us is valid */
	int64_t mean_us; /* work of one request, smoothed */
};

struct eb_urgency {
	int64_t window_us;
	struct eb_urgency_level levels[EB_URGENCY_LEVELS];
};

/* Urgency of a request relative to recent ones of its service. */
enum eb_urgency_rank {
	EB_URGENCY_PLAIN = 0, /* as most others */
	EB_URGENCY_FIRST,     /* most others are less urgent */
	EB_URGENCY_LAST,      /* others are more urgent, few are less so */
};

uint8_t eb_urgency_level(uint8_t priority);
void eb_urgency_init(struct eb_urgency *ug, int64_t window_us);
void eb_urgency_record(struct eb_urgency *ug, uint8_t priority, int64_t work_us,
		       int64_t now_us);
int eb_urgency_is_mixed(const struct eb_urgency *ug, int64_t now_us);
uint32_t eb_urgency_reserve(const struct eb_urgency *ug, uint8_t priority,
			    int64_t work_us, int64_t now_us);
enum eb_urgency_rank eb_urgency_rank_of(const struct eb_urgency *ug,
					uint8_t priority, int64_t now_us);

#endif
