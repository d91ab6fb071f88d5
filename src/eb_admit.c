#include "eb_admit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define SMOOTHING_SHIFT 3

struct waiter {
	struct eb_admit_request rq;
	int64_t since_us;
};

struct eb_admit {
	struct eb_admit_config config;
	struct waiter *queue; /* oldest first */
	uint32_t queued;
	uint32_t space;
	uint32_t in_flight;
	int64_t service_us;
	int draining;
};

/* Creates an admission gate. Returns NULL without memory. */
struct eb_admit *eb_admit_new(const struct eb_admit_config *cf)
{
	struct eb_admit *ad = calloc(1, sizeof(*ad));

	if (!ad)
		return NULL;
	eb_admit_configure(ad, cf);
	return ad;
}

/* Frees a gate; NULL is allowed. */
void eb_admit_free(struct eb_admit *ad)
{
	if (!ad)
		return;
	free(ad->queue);
	free(ad);
}

/* Sets slots and queue. Requests that already wait keep their place. */
void eb_admit_configure(struct eb_admit *ad, const struct eb_admit_config *cf)
{
	ad->config = *cf;
}

/* While draining, new requests are refused; those that wait still run. */
void eb_admit_drain(struct eb_admit *ad, int draining)
{
	ad->draining = draining;
}

static void refuse(struct eb_admit_action *act, enum eb_reason reason,
		   uint32_t retry_after_ms)
{
	act->verdict = EB_ADMIT_REFUSE;
	act->reason = (uint8_t)reason;
	act->retry_after_ms = retry_after_ms;
}

/* Expected wait of a request at the end of the queue. */
static int64_t expected_wait_us(const struct eb_admit *ad)
{
	return ad->service_us * (ad->queued + 1) /
	       (ad->config.slots ? ad->config.slots : 1);
}

static int append(struct eb_admit *ad, const struct eb_admit_request *rq,
		  int64_t now_us)
{
	uint32_t space = ad->space ? ad->space * 2 : 16;
	struct waiter *q;

	if (ad->queued == ad->space) {
		q = realloc(ad->queue, space * sizeof(*q));
		if (!q)
			return -1;
		ad->queue = q;
		ad->space = space;
	}
	ad->queue[ad->queued].rq = *rq;
	ad->queue[ad->queued++].since_us = now_us;
	return 0;
}

/* Decides on a request that has just arrived. */
void eb_admit_offer(struct eb_admit *ad, const struct eb_admit_request *rq,
		    int64_t now_us, struct eb_admit_action *act)
{
	int64_t wait_us = expected_wait_us(ad);

	memset(act, 0, sizeof(*act));
	act->id = rq->id;
	if (ad->draining) {
		refuse(act, EB_REASON_DRAINING, 0);
	} else if (rq->deadline_us <= now_us) {
		refuse(act, EB_REASON_DEADLINE, 0);
	} else if (ad->in_flight < ad->config.slots && !ad->queued) {
		ad->in_flight++;
		act->verdict = EB_ADMIT_RUN;
	} else if (ad->queued >= ad->config.queue ||
		   now_us + wait_us > rq->deadline_us ||
		   append(ad, rq, now_us)) {
		refuse(act, EB_REASON_QUEUE_FULL,
		       (uint32_t)(wait_us / 1000 + 1));
	} else {
		act->verdict = EB_ADMIT_WAIT;
	}
}

/* Frees the slot of a request and learns from its service time. */
void eb_admit_done(struct eb_admit *ad, uint64_t id, int64_t service_us,
		   int64_t now_us)
{
	(void)id;
	(void)now_us;
	assert(ad->in_flight);
	ad->in_flight--;
	if (service_us < 0)
		return;
	if (!ad->service_us)
		ad->service_us = service_us;
	ad->service_us += (service_us - ad->service_us) >> SMOOTHING_SHIFT;
}

static void remove_waiter(struct eb_admit *ad, uint32_t i)
{
	ad->queued--;
	memmove(&ad->queue[i], &ad->queue[i + 1],
		(ad->queued - i) * sizeof(*ad->queue));
}

/* Removes a waiting request; returns 0 if it was not waiting. */
int eb_admit_cancel(struct eb_admit *ad, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ad->queued; i++) {
		if (ad->queue[i].rq.id != id)
			continue;
		remove_waiter(ad, i);
		return 1;
	}
	return 0;
}

/* Gives the next decision on the waiting requests; see the header. */
int eb_admit_next(struct eb_admit *ad, int64_t now_us,
		  struct eb_admit_action *act)
{
	struct waiter *w = ad->queue;

	if (!ad->queued)
		return 0;
	memset(act, 0, sizeof(*act));
	act->id = w->rq.id;
	act->waited_us = now_us - w->since_us;
	if (w->rq.deadline_us <= now_us) {
		refuse(act, EB_REASON_DEADLINE, 0);
	} else if (ad->in_flight < ad->config.slots) {
		ad->in_flight++;
		act->verdict = EB_ADMIT_RUN;
	} else {
		return 0;
	}
	remove_waiter(ad, 0);
	return 1;
}

/* Reports the load that rides on answers. */
void eb_admit_load(const struct eb_admit *ad, struct eb_load *ld)
{
	ld->in_flight = (uint16_t)ad->in_flight;
	ld->queued = (uint16_t)ad->queued;
	ld->slots = (uint16_t)ad->config.slots;
	ld->draining = (uint16_t)ad->draining;
	ld->service_us = (uint32_t)ad->service_us;
}
