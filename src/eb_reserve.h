#ifndef EB_RESERVE_H
#define EB_RESERVE_H

#include <stdint.h>

#include "eb_urgency.h"

/*
 * Slots of an upstream that are kept free for more urgent requests, from the
 * recent load by urgency and the requests that run now. Pure: the caller passes
 * the monotonic time.
 */
struct eb_reserve_running {
	uint64_t id;
	uint8_t priority;
};

struct eb_reserve {
	struct eb_urgency recent;
	struct eb_reserve_running *running; /* in no order */
	uint32_t count;
	uint32_t space;
};

void eb_reserve_init(struct eb_reserve *rv);
void eb_reserve_free(struct eb_reserve *rv);
void eb_reserve_start(struct eb_reserve *rv, uint64_t id, uint8_t priority);
void eb_reserve_end(struct eb_reserve *rv, uint64_t id);
uint32_t eb_reserve_slots(const struct eb_reserve *rv, uint8_t priority,
			  int64_t work_us, uint32_t slots_max, int64_t now_us);
uint32_t eb_reserve_unused(const struct eb_reserve *rv, uint8_t priority,
			   int64_t work_us, uint32_t slots_max, int64_t now_us);

#endif
