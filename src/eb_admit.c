#include "eb_admit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_admit_queue.h"
#include "eb_caller_share.h"
#include "eb_kind_times.h"
#include "eb_rate.h"
#include "eb_report_budget.h"
#include "eb_reserve.h"
#include "eb_service_time.h"

/*
 * The upstream counts as stalled when its busy slots together have spent this
 * many mean service times without a completion.
 */
#define STALL_TIMES 8
/*
 * Longest expected wait of a first attempt: another upstream in the region is
 * reached within 2 ms. It quadruples with each attempt.
 */
#define WAIT_US 2000
/*
 * Requests are handed back while the VM is this many times slower than the
 * baseline of the service; its pace changes within a few hundred milliseconds.
 */
#define PACE_SLOW_TIMES 2
#define PACE_NORMAL_PERCENT 100U
/*
 * Many servers slow down when nearly all of their slots are in use. With one
 * fifth of them left free, more requests are served, and sooner. An upstream
 * with fewer than SLOTS_RESERVE_MIN slots uses all of them.
 */
#define SLOTS_USED_PERMILLE 800
#define SLOTS_RESERVE_MIN 5
/*
 * A kind whose service time is this many times shorter than the mean may also
 * use the slots left free: such a request ends soon, and calls that other
 * requests wait for are of such kinds.
 */
#define SHORT_TIMES 2
/* From this attempt on a request is not handed back. */
#define ATTEMPT_LAST (EB_ATTEMPTS_MAX - 1)
/* Longest wait for a rate limit in a load report, in slots. */
#define AHEAD_TIMES_MAX 16
/*
 * Share of the slots that more urgent kinds can reserve at most, so that less
 * urgent ones are still served while those need more than the upstream has.
 */
#define RESERVE_MAX_PERMILLE 500
const struct eb_admit_tuning eb_admit_tuning_default = {
	.stall_times = STALL_TIMES,
	.wait_us = WAIT_US,
	.reserve_max_permille = RESERVE_MAX_PERMILLE,
	.urgency = 1,
};

struct eb_admit {
	struct eb_admit_config config;
	struct eb_admit_tuning tune;
	struct eb_admit_queue queue;
	struct eb_caller_share callers;
	struct eb_reserve reserve;
	uint32_t in_flight;
	uint32_t slots_all; /* as configured; config.slots leaves some free */
	struct eb_service_time service;
	struct eb_kind_times kinds;
	int64_t at_us;	    /* last arrival or end of a request */
	int64_t decided_us; /* when eb_admit_next() last had no decision */
	struct eb_report_budget reports;
	struct eb_rate rate; /* limit that the upstream has named */
	struct eb_warmup warmup;
	uint16_t pace_percent; /* of the VM; 0: unknown */
	uint8_t draining;
	uint8_t evacuated;
	uint8_t mixed; /* recent requests differ in priority */
	uint8_t due;   /* a request was queued that may run now */
};

/* Creates the admission state of an upstream. Returns NULL if out of memory. */
struct eb_admit *eb_admit_new(const struct eb_admit_config *cf)
{
	struct eb_admit *ad = calloc(1, sizeof(*ad));

	if (!ad)
		return NULL;
	ad->tune = eb_admit_tuning_default;
	eb_reserve_init(&ad->reserve);
	eb_admit_configure(ad, cf);
	return ad;
}

/* Frees the state; NULL is allowed. */
void eb_admit_free(struct eb_admit *ad)
{
	if (!ad)
		return;
	eb_admit_queue_free(&ad->queue);
	eb_reserve_free(&ad->reserve);
	free(ad);
}

/* Sets slots, queue and report budget. Waiting requests stay queued. */
void eb_admit_configure(struct eb_admit *ad, const struct eb_admit_config *cf)
{
	ad->config = *cf;
	ad->slots_all = cf->slots;
	if (cf->slots >= SLOTS_RESERVE_MIN)
		ad->config.slots = cf->slots * SLOTS_USED_PERMILLE / 1000;
}

/* Replaces the constants of the policy. */
void eb_admit_tune(struct eb_admit *ad, const struct eb_admit_tuning *tn)
{
	ad->tune = *tn;
}

/*
 * Sets how long work takes on the VM of the upstream at present, in percent of
 * normal; 0: unknown.
 */
void eb_admit_pace(struct eb_admit *ad, uint16_t pace_percent)
{
	ad->pace_percent = pace_percent;
}

/*
 * Sets the rate at which the upstream takes requests, in requests per 1,000 s;
 * 0: no limit.
 */
void eb_admit_limit_rate(struct eb_admit *ad, uint32_t per_s_milli,
			 int64_t now_us)
{
	eb_rate_set(&ad->rate, per_s_milli, now_us);
}

/* Returns the limit of a cold upstream; `ad` owns it. */
struct eb_warmup *eb_admit_warmup(struct eb_admit *ad)
{
	return &ad->warmup;
}

/*
 * Returns how long a request with `ahead` others before it would wait for the
 * upstream's rate limit, and while the upstream is cold.
 */
static int64_t limit_wait_us(const struct eb_admit *ad, uint32_t ahead,
			     int64_t now_us)
{
	int64_t rate_us = eb_rate_wait_us(&ad->rate, ahead, now_us);
	int64_t cold_us = eb_warmup_wait_us(&ad->warmup, ahead, now_us);

	return rate_us > cold_us ? rate_us : cold_us;
}

/* Returns how long a request would wait for the upstream's limits. */
int64_t eb_admit_limit_wait_us(const struct eb_admit *ad, int64_t now_us)
{
	return limit_wait_us(ad, 0, now_us);
}

/* While draining, new requests are refused; those that wait still run. */
void eb_admit_drain(struct eb_admit *ad, int draining)
{
	ad->draining = draining != 0;
}

/*
 * While the upstream is evacuated, eb_admit_next() refuses the requests that
 * wait: a drained upstream runs them, which can take as long as their
 * deadlines. To be used together with eb_admit_drain().
 */
void eb_admit_evacuate(struct eb_admit *ad, int evacuated)
{
	ad->evacuated = evacuated != 0;
}

/*
 * Whether the upstream has stopped completing requests. As the time is summed
 * over all slots, this takes about stall_times / slots service times.
 */
static int stalled(const struct eb_admit *ad, int64_t now_us)
{
	return ad->in_flight && ad->service.mean_us && ad->tune.stall_times &&
	       eb_service_time_busy_us(&ad->service, ad->in_flight, now_us) >
		       ad->tune.stall_times * ad->service.mean_us;
}

static void refuse(struct eb_admit_action *act, enum eb_reason reason,
		   int64_t wait_us)
{
	act->verdict = EB_ADMIT_REFUSE;
	act->reason = (uint8_t)reason;
	act->retry_after_ms = (uint32_t)(wait_us / 1000 + 1);
}

static void run(struct eb_admit *ad, const struct eb_admit_request *rq,
		int64_t now_us, struct eb_admit_action *act)
{
	eb_service_time_update(&ad->service, ad->in_flight, now_us);
	ad->in_flight++;
	eb_reserve_start(&ad->reserve, rq->id, rq->priority);
	eb_rate_take(&ad->rate, now_us);
	eb_warmup_sent(&ad->warmup, now_us);
	act->verdict = EB_ADMIT_RUN;
}

/* Returns how long a request is expected to run. */
static int64_t run_us(const struct eb_admit *ad, uint32_t kind)
{
	int64_t us = ad->mixed ? eb_kind_times_aged(&ad->kinds, kind, ad->at_us)
			       : eb_kind_times_get(&ad->kinds, kind);

	return us ? us : ad->service.mean_us;
}

/* Updates the expected times of waiting requests. */
static void update_run_us(struct eb_admit *ad)
{
	uint32_t i;

	for (i = 0; i < ad->queue.count; i++)
		ad->queue.items[i].run_us =
			run_us(ad, ad->queue.items[i].rq.kind);
}

/* Updates the service time of a kind; samples of zero or less are ignored. */
void eb_admit_sample_kind(struct eb_admit *ad, uint32_t kind,
			  int64_t service_us)
{
	eb_kind_times_sample(&ad->kinds, kind, service_us, ad->at_us);
	update_run_us(ad);
}

/* Returns how many slots more urgent requests can reserve. */
static uint32_t reserve_max(const struct eb_admit *ad)
{
	return ad->tune.urgency
		       ? ad->config.slots * ad->tune.reserve_max_permille / 1000
		       : 0;
}

/*
 * Whether a slot is free for a request. Less urgent ones leave the reserved
 * slots free; short kinds may use all others.
 */
static int has_slot(const struct eb_admit *ad, const struct eb_admit_waiter *w,
		    int64_t now_us)
{
	int64_t kind_us = eb_kind_times_get(&ad->kinds, w->rq.kind);
	uint32_t used = ad->in_flight +
			eb_reserve_unused(&ad->reserve, w->rq.priority,
					  w->run_us, reserve_max(ad), now_us);

	if (used < ad->config.slots)
		return 1;
	return kind_us && used < ad->slots_all &&
	       kind_us * SHORT_TIMES <= ad->service.mean_us;
}

/* Whether a request waits for the end of another one. */
static int needs_slot(const struct eb_admit *ad,
		      const struct eb_admit_waiter *w, int64_t now_us)
{
	return ad->in_flight >= ad->config.slots || !has_slot(ad, w, now_us);
}

/* Expected wait of a request with `ahead` requests before it. */
static int64_t expected_wait_us(const struct eb_admit *ad,
				const struct eb_admit_waiter *w, uint32_t ahead,
				int64_t now_us)
{
	uint32_t slots = ad->config.slots;
	int64_t rate_us = limit_wait_us(ad, ahead, now_us), slot_us;

	slots -= eb_reserve_slots(&ad->reserve, w->rq.priority, w->run_us,
				  reserve_max(ad), now_us);
	slot_us = ad->service.mean_us * (ahead + 1) / (slots ? slots : 1);
	return slot_us > rate_us ? slot_us : rate_us;
}

/*
 * Whether the first request in the queue waits for nothing but the pace of an
 * upstream that is known to be cold. If all are cold, requests that went on to
 * others would leave the pace of each one unused.
 */
static int is_next_when_cold(const struct eb_admit *ad, int64_t now_us)
{
	return ad->warmup.state == EB_WARMUP_COLD &&
	       !eb_rate_wait_us(&ad->rate, 0, now_us);
}

/*
 * Whether a request may wait. The expected wait is bounded, because another
 * upstream might run the request at once; not so for a last attempt, and for
 * the first request in the queue unless it waits for the upstream's rate limit.
 * That one also waits for the pace of a cold upstream: if all are cold,
 * requests that went on would leave the pace of each one unused. A request that
 * would miss its goal or its deadline is refused now, so that its caller can
 * retry.
 */
static int may_wait(const struct eb_admit *ad, const struct eb_admit_waiter *w,
		    int64_t now_us)
{
	const struct eb_admit_request *rq = &w->rq;
	uint32_t ahead = eb_admit_queue_ahead(&ad->queue, w, now_us);
	int64_t wait_us = expected_wait_us(ad, w, ahead, now_us);

	if (now_us + wait_us > rq->deadline_us)
		return 0;
	if (rq->goal_us && now_us + wait_us + w->run_us > rq->goal_us)
		return 0;
	if (!ahead && (!eb_admit_limit_wait_us(ad, now_us) ||
		       is_next_when_cold(ad, now_us)))
		return 1;
	return rq->attempt >= ATTEMPT_LAST ||
	       wait_us <= ad->tune.wait_us << 2 * rq->attempt;
}

/*
 * Queues a request. In a full queue a less urgent one gives way, which
 * eb_admit_next() then refuses. Returns -1 if there is no room.
 */
static int enqueue(struct eb_admit *ad, const struct eb_admit_waiter *w)
{
	uint32_t i = ad->queue.count;
	int full = i - ad->queue.evicted >= ad->config.queue;

	if (full && ad->tune.urgency)
		i = eb_admit_queue_victim(&ad->queue, w);
	if (full && i == ad->queue.count)
		return -1;
	if (eb_admit_queue_append(&ad->queue, w))
		return -1;
	if (full)
		eb_admit_queue_evict(&ad->queue, i);
	return 0;
}

/*
 * Whether the VM is slow compared to those of the service's upstreams. When all
 * of them are slow, as after a restart of all, no other one would be faster.
 */
static int is_slow(const struct eb_admit *ad, const struct eb_admit_request *rq)
{
	uint32_t baseline = rq->baseline_pace_percent;

	if (baseline < PACE_NORMAL_PERCENT)
		baseline = PACE_NORMAL_PERCENT;
	return ad->pace_percent >= PACE_SLOW_TIMES * baseline;
}

/* Refuses a request for load or for the upstream's rate limit. */
static void refuse_for_load(struct eb_admit *ad,
			    const struct eb_admit_waiter *w, int limited,
			    int64_t now_us, struct eb_admit_action *act)
{
	int64_t wait_us = expected_wait_us(ad, w, ad->queue.count, now_us);

	act->rate_limited = (uint8_t)limited;
	act->cold = limited && eb_warmup_wait_us(&ad->warmup, 0, now_us) > 0;
	refuse(act, limited ? EB_REASON_HANDED_BACK : EB_REASON_QUEUE_FULL,
	       wait_us);
	/* Earlier attempts are repeated by their origin, not by the caller. */
	if (w->rq.attempt >= ATTEMPT_LAST)
		eb_caller_share_refused(&ad->callers, w->rq.caller,
					w->rq.priority, now_us);
}

/* Counts an arrival, and fills in what is known of it. */
static void count_arrival(struct eb_admit *ad,
			  const struct eb_admit_request *rq, int64_t now_us,
			  struct eb_admit_waiter *w)
{
	int64_t work_us;

	ad->at_us = now_us;
	ad->mixed = ad->tune.urgency &&
		    eb_urgency_is_mixed(&ad->reserve.recent, now_us);
	w->rq = *rq;
	w->since_us = now_us;
	w->run_us = run_us(ad, rq->kind);
	if (!ad->tune.urgency)
		return;
	work_us = eb_kind_times_get(&ad->kinds, rq->kind);
	eb_urgency_record(&ad->reserve.recent, rq->priority,
			  work_us ? work_us : ad->service.mean_us, now_us);
	eb_caller_share_offered(&ad->callers, rq->caller, rq->priority, now_us);
	w->excessive = (uint8_t)eb_caller_share_excessive(
		&ad->callers, rq->caller, rq->priority, now_us);
}

/*
 * Whether a new request runs before those that wait: none is as urgent, or
 * they do not fit into the slots that it may use.
 */
static int runs_first(const struct eb_admit *ad,
		      const struct eb_admit_request *rq)
{
	return ad->in_flight >= ad->config.slots ||
	       eb_admit_queue_only_less_urgent(&ad->queue, rq->priority);
}

/* Decides on a request that has just arrived. */
void eb_admit_offer(struct eb_admit *ad, const struct eb_admit_request *rq,
		    int64_t now_us, struct eb_admit_action *act)
{
	int limited = eb_admit_limit_wait_us(ad, now_us) > 0;
	struct eb_admit_waiter w = { 0 };
	int64_t wait_us;

	memset(act, 0, sizeof(*act));
	act->id = rq->id;
	count_arrival(ad, rq, now_us, &w);
	wait_us = expected_wait_us(ad, &w, ad->queue.count, now_us);
	if (ad->draining) {
		refuse(act, EB_REASON_DRAINING, 0);
	} else if (rq->deadline_us <= now_us) {
		refuse(act, EB_REASON_DEADLINE, 0);
	} else if (is_slow(ad, rq) && rq->attempt < ATTEMPT_LAST) {
		refuse(act, EB_REASON_HANDED_BACK, wait_us);
	} else if (rq->attempt < ATTEMPT_LAST && stalled(ad, now_us) &&
		   needs_slot(ad, &w, now_us)) {
		refuse(act, EB_REASON_HANDED_BACK, wait_us);
	} else if (has_slot(ad, &w, now_us) && !limited && runs_first(ad, rq)) {
		run(ad, rq, now_us, act);
	} else if (may_wait(ad, &w, now_us) && !enqueue(ad, &w)) {
		act->verdict = EB_ADMIT_WAIT;
		ad->due |= !limited && has_slot(ad, &w, now_us);
	} else {
		refuse_for_load(ad, &w, limited, now_us, act);
	}
}

/*
 * Frees the slot of a request that ran and updates the mean service time. For
 * an error answer `service_us` is 0, which only ends a stall: errors answered
 * in 0.1 ms must not make the normal service time look like a stall. For a
 * request that was cut short it is negative and changes no statistics.
 */
void eb_admit_done(struct eb_admit *ad, uint64_t id, int64_t service_us,
		   int64_t now_us)
{
	assert(ad->in_flight);
	ad->at_us = now_us;
	eb_service_time_update(&ad->service, ad->in_flight, now_us);
	ad->in_flight--;
	eb_reserve_end(&ad->reserve, id);
	if (service_us < 0)
		return;
	eb_service_time_done(&ad->service, service_us, now_us);
	update_run_us(ad);
}

/* Removes a cancelled request; returns 1 if it was waiting, else 0. */
int eb_admit_cancel(struct eb_admit *ad, uint64_t id)
{
	uint32_t i = eb_admit_queue_find(&ad->queue, id);

	if (i == ad->queue.count)
		return 0;
	eb_admit_queue_remove(&ad->queue, i);
	return 1;
}

/* Returns the index of the request that runs next, or `count` for none. */
static uint32_t first_to_run(const struct eb_admit *ad, int64_t now_us)
{
	const struct eb_admit_waiter *q = ad->queue.items;
	uint32_t i, n = ad->queue.count, best = n;

	if (ad->evacuated || eb_admit_limit_wait_us(ad, now_us))
		return best;
	for (i = 0; i < n; i++) {
		if (q[i].evicted || !has_slot(ad, &q[i], now_us))
			continue;
		if (best == n || eb_admit_goes_before(&q[i], &q[best], now_us))
			best = i;
	}
	return best;
}

/*
 * Whether a waiting request can no longer wait for a cold upstream, because
 * more urgent ones came or a probe was not answered in time. It is then refused
 * at once, so that it is tried elsewhere.
 */
static int outwaits_cold(const struct eb_admit *ad,
			 const struct eb_admit_waiter *w, int64_t now_us)
{
	int64_t wait_us;
	uint32_t ahead;

	if (!eb_warmup_wait_us(&ad->warmup, 0, now_us))
		return 0;
	ahead = eb_admit_queue_before(&ad->queue, w, now_us);
	wait_us = eb_warmup_wait_us(&ad->warmup, ahead, now_us);
	if (w->rq.goal_us && now_us + wait_us + w->run_us > w->rq.goal_us)
		return 1;
	if (!ahead && is_next_when_cold(ad, now_us))
		return 0;
	return w->rq.attempt < ATTEMPT_LAST &&
	       now_us + wait_us >
		       w->since_us + (ad->tune.wait_us << 2 * w->rq.attempt);
}

/*
 * Refuses a waiting request that has given way to another one, has expired, is
 * handed back, or is late while others wait. Returns 0 when it may stay.
 */
static int refuse_waiter(struct eb_admit *ad, const struct eb_admit_waiter *w,
			 int hand_back, int64_t now_us,
			 struct eb_admit_action *act)
{
	int64_t wait_us = expected_wait_us(ad, w, ad->queue.count, now_us);

	if (w->rq.deadline_us <= now_us)
		refuse(act, EB_REASON_DEADLINE, 0);
	else if (ad->evacuated)
		refuse(act, EB_REASON_DRAINING, 0);
	else if (outwaits_cold(ad, w, now_us))
		refuse_for_load(ad, w, 1, now_us, act);
	else if (w->evicted ||
		 (eb_admit_is_late(w, now_us) && ad->queue.count > 1))
		refuse_for_load(ad, w, 0, now_us, act);
	else if (hand_back && w->rq.attempt < ATTEMPT_LAST &&
		 needs_slot(ad, w, now_us))
		refuse(act, EB_REASON_HANDED_BACK, wait_us);
	else
		return 0;
	return 1;
}

/*
 * Takes the next decision on waiting requests: one that gets a slot or one
 * that is refused. Returns 0 when there is none now.
 */
int eb_admit_next(struct eb_admit *ad, int64_t now_us,
		  struct eb_admit_action *act)
{
	int hand_back = stalled(ad, now_us);
	uint32_t i = first_to_run(ad, now_us), n = ad->queue.count;
	const struct eb_admit_waiter *q = ad->queue.items;

	memset(act, 0, sizeof(*act));
	if (i < n) {
		if (q[i].rq.deadline_us <= now_us)
			refuse(act, EB_REASON_DEADLINE, 0);
		else
			run(ad, &q[i].rq, now_us, act);
	} else {
		for (i = 0; i < n; i++)
			if (refuse_waiter(ad, &q[i], hand_back, now_us, act))
				break;
		if (i == n) {
			ad->decided_us = now_us;
			ad->due = 0;
			return 0;
		}
	}
	act->id = q[i].rq.id;
	act->waited_us = now_us - q[i].since_us;
	eb_admit_queue_remove(&ad->queue, i);
	return 1;
}

/*
 * Returns when the next limit opens after the last decision, or INT64_MAX. Each
 * one counts alone, as a warm upstream may take requests before its pace does.
 * If all were open already, requests wait for reserved slots.
 */
static int64_t limit_wake_us(const struct eb_admit *ad)
{
	int64_t rate_us = INT64_MAX, wake_us = eb_warmup_wake_us(&ad->warmup);

	if (wake_us <= ad->decided_us)
		wake_us = INT64_MAX;
	if (ad->rate.per_s_milli)
		rate_us = ad->rate.at_us +
			  eb_rate_wait_us(&ad->rate, 0, ad->rate.at_us);
	return rate_us > ad->decided_us && rate_us < wake_us ? rate_us
							     : wake_us;
}

/*
 * Returns the time at which eb_admit_next() must be called even if nothing
 * happens, because a waiting request expires, becomes late or is handed back;
 * INT64_MAX if there is none.
 */
int64_t eb_admit_wake_us(const struct eb_admit *ad)
{
	int64_t wake_us = INT64_MAX, left_us, stall_us, late_us;
	const struct eb_admit_waiter *w;
	uint32_t i, n = ad->queue.count;
	int early = 0;

	if (ad->queue.evicted || (ad->due && n))
		return 0;
	for (i = 0; i < n; i++) {
		w = &ad->queue.items[i];
		if (w->rq.deadline_us < wake_us)
			wake_us = w->rq.deadline_us;
		late_us = w->rq.goal_us - w->run_us + 1;
		if (w->rq.goal_us && n > 1 && late_us < wake_us)
			wake_us = late_us;
		early |= w->rq.attempt < ATTEMPT_LAST;
	}
	if (ad->queue.count && ad->in_flight < ad->config.slots &&
	    limit_wake_us(ad) < wake_us)
		wake_us = limit_wake_us(ad);
	if (!early || !ad->in_flight || !ad->service.mean_us ||
	    !ad->tune.stall_times)
		return wake_us;
	left_us = ad->tune.stall_times * ad->service.mean_us -
		  ad->service.busy_us;
	if (left_us < 0)
		left_us = 0;
	stall_us = ad->service.busy_at_us + left_us / ad->in_flight + 1;
	return stall_us > ad->decided_us && stall_us < wake_us ? stall_us
							       : wake_us;
}

/*
 * Returns the requests ahead of a new one. The wait for the rate limit counts
 * as the number of requests that would wait as long for slots.
 */
static uint32_t requests_ahead(const struct eb_admit *ad, int64_t now_us)
{
	int64_t rate_us = limit_wait_us(ad, ad->queue.count, now_us);
	int64_t ahead, slots = ad->config.slots;

	if (!rate_us || !ad->service.mean_us)
		return ad->queue.count;
	ahead = slots * rate_us / ad->service.mean_us + slots - ad->in_flight;
	if (ahead > AHEAD_TIMES_MAX * slots)
		ahead = AHEAD_TIMES_MAX * slots;
	return ahead > ad->queue.count ? (uint32_t)ahead : ad->queue.count;
}

/* Fills in a load report regardless of the budget. */
void eb_admit_load(const struct eb_admit *ad, struct eb_load *ld)
{
	ld->in_flight = (uint16_t)ad->in_flight;
	ld->queued = (uint16_t)ad->queue.count;
	ld->slots = (uint16_t)ad->config.slots;
	ld->draining = ad->draining;
	ld->service_us = (uint32_t)ad->service.mean_us;
	ld->pace_percent = ad->pace_percent;
}

/*
 * Fills in the load report for an answer that is about to be sent, if the
 * budget of bytes allows one; otherwise an empty one, which eb_route_load()
 * ignores.
 */
void eb_admit_report(struct eb_admit *ad, int64_t now_us, struct eb_load *ld)
{
	memset(ld, 0, sizeof(*ld));
	if (!eb_report_budget_take(&ad->reports, EB_ADMIT_REPORT_BYTES,
				   ad->config.watch_bytes_per_s, now_us))
		return;
	eb_admit_load(ad, ld);
	ld->queued = (uint16_t)requests_ahead(ad, now_us);
}
