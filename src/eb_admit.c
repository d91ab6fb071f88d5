#include "eb_admit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_rate.h"

/*
 * Smoothing weight of the mean service time. It grows with the time since the
 * last answer, so that a recovery shows within seconds even when answers are
 * rare. A sample counts for at most four times the mean.
 */
#define WEIGHT_MIN_PERMILLE 30
#define WEIGHT_MAX_PERMILLE 500
#define WEIGHT_FULL_GAP_US 250000
#define SAMPLE_MAX_TIMES 4
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
/* Unused budget of load reports is kept for a tenth of a second. */
#define REPORT_BURST_US 100000
#define REPORT_GAP_MAX_US 100000000 /* keeps the product in 64 bits */

const struct eb_admit_tuning eb_admit_tuning_default = {
	.stall_times = STALL_TIMES,
	.wait_us = WAIT_US,
};

/* Kinds of requests whose service times are kept. */
#define KINDS_MAX 32
/* Smoothing shift of a kind's service time. */
#define KIND_SHIFT 3

struct kind {
	uint32_t kind; /* 0: free */
	int64_t service_us;
};

struct waiter {
	struct eb_admit_request rq;
	int64_t since_us;
};

struct eb_admit {
	struct eb_admit_config config;
	struct eb_admit_tuning tune;
	struct waiter *queue; /* oldest first */
	uint32_t queued;
	uint32_t space;
	uint32_t in_flight;
	uint32_t slots_all; /* as configured; config.slots leaves some free */
	int64_t service_us;
	struct kind kinds[KINDS_MAX];
	uint32_t kind_next;    /* index of the entry to reuse next */
	int64_t busy_us;       /* slot time since the last completion */
	int64_t busy_at_us;    /* time up to which busy_us counts */
	int64_t done_us;       /* last completion */
	int64_t report_tokens; /* millionths of a byte */
	int64_t report_at_us;
	struct eb_rate rate; /* limit that the upstream has named */
	struct eb_warmup warmup;
	uint16_t pace_percent; /* of the VM; 0: unknown */
	uint8_t draining;
	uint8_t evacuated;
};

/* Creates the admission state of an upstream. Returns NULL if out of memory. */
struct eb_admit *eb_admit_new(const struct eb_admit_config *cf)
{
	struct eb_admit *ad = calloc(1, sizeof(*ad));

	if (!ad)
		return NULL;
	ad->tune = eb_admit_tuning_default;
	eb_admit_configure(ad, cf);
	return ad;
}

/* Frees the state; NULL is allowed. */
void eb_admit_free(struct eb_admit *ad)
{
	if (!ad)
		return;
	free(ad->queue);
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

static int64_t busy_us(const struct eb_admit *ad, int64_t now_us)
{
	return ad->busy_us + ad->in_flight * (now_us - ad->busy_at_us);
}

static void update_busy(struct eb_admit *ad, int64_t now_us)
{
	ad->busy_us = busy_us(ad, now_us);
	ad->busy_at_us = now_us;
}

/*
 * Whether the upstream has stopped completing requests. As the time is summed
 * over all slots, this takes about stall_times / slots service times.
 */
static int stalled(const struct eb_admit *ad, int64_t now_us)
{
	return ad->in_flight && ad->service_us && ad->tune.stall_times &&
	       busy_us(ad, now_us) > ad->tune.stall_times * ad->service_us;
}

static void refuse(struct eb_admit_action *act, enum eb_reason reason,
		   int64_t wait_us)
{
	act->verdict = EB_ADMIT_REFUSE;
	act->reason = (uint8_t)reason;
	act->retry_after_ms = (uint32_t)(wait_us / 1000 + 1);
}

/* Refuses a request for one of the upstream's limits. */
static void refuse_limited(const struct eb_admit *ad,
			   struct eb_admit_action *act, int64_t wait_us,
			   int64_t now_us)
{
	refuse(act, EB_REASON_HANDED_BACK, wait_us);
	act->rate_limited = 1;
	act->cold = eb_warmup_wait_us(&ad->warmup, 0, now_us) > 0;
}

static void run(struct eb_admit *ad, int64_t now_us,
		struct eb_admit_action *act)
{
	update_busy(ad, now_us);
	ad->in_flight++;
	eb_rate_take(&ad->rate, now_us);
	eb_warmup_sent(&ad->warmup, now_us);
	act->verdict = EB_ADMIT_RUN;
}

/* Returns the index of a kind, or KINDS_MAX if it has no entry. */
static uint32_t find_kind(const struct eb_admit *ad, uint32_t kind)
{
	uint32_t i;

	for (i = 0; kind && i < KINDS_MAX; i++)
		if (ad->kinds[i].kind == kind)
			return i;
	return KINDS_MAX;
}

/* Updates the service time of a kind; samples of zero or less are ignored. */
void eb_admit_sample_kind(struct eb_admit *ad, uint32_t kind,
			  int64_t service_us)
{
	uint32_t i = find_kind(ad, kind);
	struct kind *kn;

	if (!kind || service_us <= 0)
		return;
	kn = &ad->kinds[i < KINDS_MAX ? i : ad->kind_next++ % KINDS_MAX];
	if (i == KINDS_MAX) {
		kn->kind = kind;
		kn->service_us = service_us;
	}
	kn->service_us += (service_us - kn->service_us) / (1 << KIND_SHIFT);
}

/* How long a request is expected to run. */
static int64_t run_us(const struct eb_admit *ad,
		      const struct eb_admit_request *rq)
{
	uint32_t i = find_kind(ad, rq->kind);

	return i < KINDS_MAX ? ad->kinds[i].service_us : ad->service_us;
}

/* Whether a slot is free for a request; short kinds may use all slots. */
static int has_slot(const struct eb_admit *ad,
		    const struct eb_admit_request *rq)
{
	uint32_t i = find_kind(ad, rq->kind);

	if (ad->in_flight < ad->config.slots)
		return 1;
	return i < KINDS_MAX && ad->in_flight < ad->slots_all &&
	       ad->kinds[i].service_us * SHORT_TIMES <= ad->service_us;
}

/* Whether the answer would be too late even if the request ran now. */
static int is_late(const struct eb_admit *ad, const struct eb_admit_request *rq,
		   int64_t now_us)
{
	return rq->goal_us && now_us + run_us(ad, rq) > rq->goal_us;
}

/*
 * Whether request a runs before b whatever their order of arrival: one that can
 * be on time before a late one, then the more urgent one. Equal requests run in
 * order of arrival.
 */
static int goes_before(const struct eb_admit *ad,
		       const struct eb_admit_request *a,
		       const struct eb_admit_request *b, int64_t now_us)
{
	int late_a = is_late(ad, a, now_us), late_b = is_late(ad, b, now_us);

	if (late_a != late_b)
		return late_b;
	return a->priority < b->priority;
}

/* Number of waiting requests that would run before a new one. */
static uint32_t count_ahead(const struct eb_admit *ad,
			    const struct eb_admit_request *rq, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < ad->queued; i++)
		n += !goes_before(ad, rq, &ad->queue[i].rq, now_us);
	return n;
}

/* Expected wait of a request with `ahead` requests before it. */
static int64_t expected_wait_us(const struct eb_admit *ad, uint32_t ahead,
				int64_t now_us)
{
	uint32_t slots = ad->config.slots;
	int64_t slot_us = ad->service_us * (ahead + 1) / (slots ? slots : 1);
	int64_t rate_us = limit_wait_us(ad, ahead, now_us);

	return slot_us > rate_us ? slot_us : rate_us;
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

/*
 * Whether a request may wait. The expected wait is bounded, because another
 * upstream might run the request at once; not so for a last attempt, and for
 * the first request in the queue unless it waits for the upstream's rate limit.
 * A request that would miss its goal or its deadline is refused now, so that
 * its caller can retry.
 */
static int may_wait(const struct eb_admit *ad,
		    const struct eb_admit_request *rq, int64_t now_us)
{
	uint32_t ahead = count_ahead(ad, rq, now_us);
	int64_t wait_us = expected_wait_us(ad, ahead, now_us);

	if (ad->queued >= ad->config.queue ||
	    now_us + wait_us > rq->deadline_us)
		return 0;
	if (rq->goal_us && now_us + wait_us + run_us(ad, rq) > rq->goal_us)
		return 0;
	if (!ahead && !eb_admit_limit_wait_us(ad, now_us))
		return 1;
	return rq->attempt >= ATTEMPT_LAST ||
	       wait_us <= ad->tune.wait_us << 2 * rq->attempt;
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

/* Decides on a request that has just arrived. */
void eb_admit_offer(struct eb_admit *ad, const struct eb_admit_request *rq,
		    int64_t now_us, struct eb_admit_action *act)
{
	uint32_t slots = ad->config.slots;
	int64_t wait_us = expected_wait_us(ad, ad->queued, now_us);
	int limited = eb_admit_limit_wait_us(ad, now_us) > 0;

	memset(act, 0, sizeof(*act));
	act->id = rq->id;
	if (ad->draining) {
		refuse(act, EB_REASON_DRAINING, 0);
	} else if (rq->deadline_us <= now_us) {
		refuse(act, EB_REASON_DEADLINE, 0);
	} else if (is_slow(ad, rq) && rq->attempt < ATTEMPT_LAST) {
		refuse(act, EB_REASON_HANDED_BACK, wait_us);
	} else if (ad->in_flight >= slots && rq->attempt < ATTEMPT_LAST &&
		   stalled(ad, now_us)) {
		refuse(act, EB_REASON_HANDED_BACK, wait_us);
	} else if (has_slot(ad, rq) && !limited &&
		   (!ad->queued || ad->in_flight >= slots)) {
		run(ad, now_us, act);
	} else if (!may_wait(ad, rq, now_us) || append(ad, rq, now_us)) {
		if (limited)
			refuse_limited(ad, act, wait_us, now_us);
		else
			refuse(act, EB_REASON_QUEUE_FULL, wait_us);
	} else {
		act->verdict = EB_ADMIT_WAIT;
	}
}

static int64_t weight_permille(int64_t gap_us)
{
	int64_t weight = gap_us * 1000 / WEIGHT_FULL_GAP_US;

	if (weight < WEIGHT_MIN_PERMILLE)
		return WEIGHT_MIN_PERMILLE;
	return weight > WEIGHT_MAX_PERMILLE ? WEIGHT_MAX_PERMILLE : weight;
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
	int64_t max_us = ad->service_us * SAMPLE_MAX_TIMES;
	int64_t weight = weight_permille(now_us - ad->done_us);

	(void)id;
	assert(ad->in_flight);
	update_busy(ad, now_us);
	ad->in_flight--;
	if (service_us < 0)
		return;
	ad->busy_us = 0;
	if (!service_us)
		return;
	ad->done_us = now_us;
	if (!ad->service_us)
		ad->service_us = service_us;
	if (max_us && service_us > max_us)
		service_us = max_us;
	ad->service_us += (service_us - ad->service_us) * weight / 1000;
}

static void remove_waiter(struct eb_admit *ad, uint32_t i)
{
	ad->queued--;
	memmove(&ad->queue[i], &ad->queue[i + 1],
		(ad->queued - i) * sizeof(*ad->queue));
}

/* Removes a cancelled request; returns 1 if it was waiting, else 0. */
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

/* Returns the index of the request that runs next, or `queued` for none. */
static uint32_t first_to_run(const struct eb_admit *ad, int64_t now_us)
{
	uint32_t i, best = ad->queued;

	if (ad->evacuated || eb_admit_limit_wait_us(ad, now_us))
		return best;
	for (i = 0; i < ad->queued; i++) {
		if (!has_slot(ad, &ad->queue[i].rq))
			continue;
		if (best == ad->queued ||
		    goes_before(ad, &ad->queue[i].rq, &ad->queue[best].rq,
				now_us))
			best = i;
	}
	return best;
}

/*
 * Whether a waiting request can no longer wait for a cold upstream, because
 * more urgent ones came or a probe was not answered in time. It is then refused
 * at once, so that it is tried elsewhere.
 */
static int outwaits_cold(const struct eb_admit *ad, const struct waiter *w,
			 int64_t now_us)
{
	int64_t most_us = ad->tune.wait_us << 2 * w->rq.attempt, wait_us;
	const struct waiter *other;
	uint32_t ahead = 0;

	if (!eb_warmup_wait_us(&ad->warmup, 0, now_us))
		return 0;
	for (other = ad->queue; other < ad->queue + ad->queued; other++)
		ahead += other < w
				 ? !goes_before(ad, &w->rq, &other->rq, now_us)
				 : goes_before(ad, &other->rq, &w->rq, now_us);
	wait_us = eb_warmup_wait_us(&ad->warmup, ahead, now_us);
	if (w->rq.goal_us &&
	    now_us + wait_us + run_us(ad, &w->rq) > w->rq.goal_us)
		return 1;
	return w->rq.attempt < ATTEMPT_LAST &&
	       now_us + wait_us > w->since_us + most_us;
}

/*
 * Refuses a waiting request that has expired, is handed back, or is late while
 * others wait. Returns 0 when it may stay.
 */
static int refuse_waiter(const struct eb_admit *ad, const struct waiter *w,
			 int hand_back, int64_t now_us,
			 struct eb_admit_action *act)
{
	int64_t wait_us = expected_wait_us(ad, ad->queued, now_us);

	if (w->rq.deadline_us <= now_us)
		refuse(act, EB_REASON_DEADLINE, 0);
	else if (ad->evacuated)
		refuse(act, EB_REASON_DRAINING, 0);
	else if (outwaits_cold(ad, w, now_us))
		refuse_limited(ad, act, wait_us, now_us);
	else if (is_late(ad, &w->rq, now_us) && ad->queued > 1)
		refuse(act, EB_REASON_QUEUE_FULL, wait_us);
	else if (hand_back && w->rq.attempt < ATTEMPT_LAST)
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
	int hand_back =
		stalled(ad, now_us) && ad->in_flight >= ad->config.slots;
	uint32_t i = first_to_run(ad, now_us), n = ad->queued;

	memset(act, 0, sizeof(*act));
	if (i < n) {
		if (ad->queue[i].rq.deadline_us <= now_us)
			refuse(act, EB_REASON_DEADLINE, 0);
		else
			run(ad, now_us, act);
	} else {
		for (i = 0; i < n; i++)
			if (refuse_waiter(ad, &ad->queue[i], hand_back, now_us,
					  act))
				break;
		if (i == n)
			return 0;
	}
	act->id = ad->queue[i].rq.id;
	act->waited_us = now_us - ad->queue[i].since_us;
	remove_waiter(ad, i);
	return 1;
}

/*
 * Returns when the limits let the next request run, or INT64_MAX without a
 * limit.
 */
static int64_t limit_wake_us(const struct eb_admit *ad)
{
	int64_t wake_us = ad->rate.at_us, cold_us;

	if (ad->rate.per_s_milli)
		wake_us += eb_rate_wait_us(&ad->rate, 0, wake_us);
	else
		wake_us = 0;
	cold_us = eb_warmup_wake_us(&ad->warmup);
	if (cold_us != INT64_MAX && cold_us > wake_us)
		wake_us = cold_us;
	return wake_us ? wake_us : INT64_MAX;
}

/*
 * Returns the time at which eb_admit_next() must be called even if nothing
 * happens, because a waiting request expires, becomes late or is handed back;
 * INT64_MAX if there is none.
 */
int64_t eb_admit_wake_us(const struct eb_admit *ad)
{
	int64_t wake_us = INT64_MAX, left_us, stall_us, late_us;
	int early = 0;
	uint32_t i;

	for (i = 0; i < ad->queued; i++) {
		if (ad->queue[i].rq.deadline_us < wake_us)
			wake_us = ad->queue[i].rq.deadline_us;
		late_us = ad->queue[i].rq.goal_us -
			  run_us(ad, &ad->queue[i].rq) + 1;
		if (ad->queue[i].rq.goal_us && ad->queued > 1 &&
		    late_us < wake_us)
			wake_us = late_us;
		early |= ad->queue[i].rq.attempt < ATTEMPT_LAST;
	}
	if (ad->queued && ad->in_flight < ad->config.slots &&
	    limit_wake_us(ad) < wake_us)
		wake_us = limit_wake_us(ad);
	if (!early || !ad->in_flight || !ad->service_us ||
	    !ad->tune.stall_times)
		return wake_us;
	left_us = ad->tune.stall_times * ad->service_us - ad->busy_us;
	if (left_us < 0)
		left_us = 0;
	stall_us = ad->busy_at_us + left_us / ad->in_flight + 1;
	return stall_us < wake_us ? stall_us : wake_us;
}

/*
 * Returns the requests ahead of a new one. The wait for the rate limit counts
 * as the number of requests that would wait as long for slots.
 */
static uint32_t requests_ahead(const struct eb_admit *ad, int64_t now_us)
{
	int64_t rate_us = limit_wait_us(ad, ad->queued, now_us);
	int64_t ahead, slots = ad->config.slots;

	if (!rate_us || !ad->service_us)
		return ad->queued;
	ahead = slots * rate_us / ad->service_us + slots - ad->in_flight;
	if (ahead > AHEAD_TIMES_MAX * slots)
		ahead = AHEAD_TIMES_MAX * slots;
	return ahead > ad->queued ? (uint32_t)ahead : ad->queued;
}

/* Fills in a load report regardless of the budget. */
void eb_admit_load(const struct eb_admit *ad, struct eb_load *ld)
{
	ld->in_flight = (uint16_t)ad->in_flight;
	ld->queued = (uint16_t)ad->queued;
	ld->slots = (uint16_t)ad->config.slots;
	ld->draining = ad->draining;
	ld->service_us = (uint32_t)ad->service_us;
	ld->pace_percent = ad->pace_percent;
}

/*
 * Fills in the load report for an answer that is about to be sent, if the
 * budget of bytes allows one; otherwise an empty one, which eb_route_load()
 * ignores.
 */
void eb_admit_report(struct eb_admit *ad, int64_t now_us, struct eb_load *ld)
{
	/* With the burst, each window of two seconds stays within budget. */
	int64_t rate = ad->config.watch_bytes_per_s * 95LL / 100;
	int64_t cost = EB_ADMIT_REPORT_BYTES * 1000000LL;
	int64_t max = rate * REPORT_BURST_US + cost;
	int64_t gap_us = now_us - ad->report_at_us;

	memset(ld, 0, sizeof(*ld));
	if (gap_us > REPORT_GAP_MAX_US)
		gap_us = REPORT_GAP_MAX_US;
	/* In millionths of a byte, so that a slow rate is not rounded away. */
	ad->report_tokens += gap_us * rate;
	if (ad->report_tokens > max)
		ad->report_tokens = max;
	ad->report_at_us = now_us;
	if (ad->report_tokens < cost)
		return;
	ad->report_tokens -= cost;
	eb_admit_load(ad, ld);
	ld->queued = (uint16_t)requests_ahead(ad, now_us);
}
