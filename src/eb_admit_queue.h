#ifndef EB_ADMIT_QUEUE_H
#define EB_ADMIT_QUEUE_H

#include <stdint.h>

#include "eb_admit.h"

/* Requests that wait at a gate, and the order in which they run. */
struct eb_admit_waiter {
	struct eb_admit_request rq;
	int64_t since_us;
	int64_t run_us;	   /* for how long it is expected to run */
	uint8_t excessive; /* its caller sends far more than others */
	uint8_t evicted;   /* to be refused at the next decision */
};

struct eb_admit_queue {
	struct eb_admit_waiter *items; /* oldest first */
	uint32_t count;
	uint32_t space;
	uint32_t evicted;
};

void eb_admit_queue_free(struct eb_admit_queue *qu);
int eb_admit_queue_append(struct eb_admit_queue *qu,
			  const struct eb_admit_waiter *w);
void eb_admit_queue_remove(struct eb_admit_queue *qu, uint32_t i);
uint32_t eb_admit_queue_find(const struct eb_admit_queue *qu, uint64_t id);
int eb_admit_is_late(const struct eb_admit_waiter *w, int64_t now_us);
int eb_admit_goes_before(const struct eb_admit_waiter *a,
			 const struct eb_admit_waiter *b, int64_t now_us);
uint32_t eb_admit_queue_ahead(const struct eb_admit_queue *qu,
			      const struct eb_admit_waiter *w, int64_t now_us);
uint32_t eb_admit_queue_before(const struct eb_admit_queue *qu,
			       const struct eb_admit_waiter *w, int64_t now_us);
int eb_admit_queue_only_less_urgent(const struct eb_admit_queue *qu,
				    uint8_t priority);
uint32_t eb_admit_queue_victim(const struct eb_admit_queue *qu,
			       const struct eb_admit_waiter *w);
void eb_admit_queue_evict(struct eb_admit_queue *qu, uint32_t i);

#endif
