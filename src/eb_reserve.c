#include "eb_reserve.h"

#include <stdlib.h>
#include <string.h>

/*
 * Window of the load by urgency. It holds about 16 requests of a kind with 8
 * requests per second, and follows a burst within seconds.
 */
#define WINDOW_US 2000000
#define SPACE_INITIAL 16

/* Starts without requests. */
void eb_reserve_init(struct eb_reserve *rv)
{
	memset(rv, 0, sizeof(*rv));
	eb_urgency_init(&rv->recent, WINDOW_US);
}

/* Frees the memory. */
void eb_reserve_free(struct eb_reserve *rv)
{
	free(rv->running);
}

/*
 * Records that a request runs. Without memory it is left out, so that at most a
 * reserved slot too many stays free while it runs.
 */
void eb_reserve_start(struct eb_reserve *rv, uint64_t id, uint8_t priority)
{
	uint32_t space = rv->space ? rv->space * 2 : SPACE_INITIAL;
	struct eb_reserve_running *p;

	if (rv->count == rv->space) {
		p = realloc(rv->running, space * sizeof(*p));
		if (!p)
			return;
		rv->running = p;
		rv->space = space;
	}
	rv->running[rv->count].id = id;
	rv->running[rv->count++].priority = priority;
}

/* Records that a request has ended; an unknown one stands for any other. */
void eb_reserve_end(struct eb_reserve *rv, uint64_t id)
{
	uint32_t i;

	for (i = 0; i + 1 < rv->count && rv->running[i].id != id; i++)
		;
	if (rv->count)
		rv->running[i] = rv->running[--rv->count];
}

/*
 * Returns the slots reserved for more urgent and shorter requests than one of
 * this priority and work.
 */
uint32_t eb_reserve_slots(const struct eb_reserve *rv, uint8_t priority,
			  int64_t work_us, uint32_t slots_max, int64_t now_us)
{
	uint32_t n;

	if (!priority || !slots_max)
		return 0;
	n = eb_urgency_reserve(&rv->recent, priority, work_us, now_us);
	return n < slots_max ? n : slots_max;
}

/* Returns the reserved slots that no more urgent request uses now. */
uint32_t eb_reserve_unused(const struct eb_reserve *rv, uint8_t priority,
			   int64_t work_us, uint32_t slots_max, int64_t now_us)
{
	uint32_t n = eb_reserve_slots(rv, priority, work_us, slots_max, now_us);
	uint32_t i;

	for (i = 0; n && i < rv->count; i++)
		n -= rv->running[i].priority < priority;
	return n;
}
