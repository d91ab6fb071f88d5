/*
 * Routing benchmark: runs the decision modules on a virtual clock and compares
 * them with simple policies and an ideal on the same arrivals. Each case is a
 * row of `cases` with a script of faults and changes of load. One run is one
 * case, policy and seed. Runs share nothing, so that the order in which threads
 * take them changes no figure.
 */
#include <math.h>
#include <pthread.h>
#include <stddef.h>
#include <stdio.h>
#include <time.h>

#include "eb_admit.h"
#include "eb_hedge.h"
#include "eb_rand.h"
#include "eb_retry.h"
#include "eb_route.h"
#include "priorities.h"
#include "virtual.h"

#define REGIONS 3
#define DOMAINS 2 /* of each region */
#define UPS_MAX 30
#define SENDERS_MAX 100
#define SERVICE_US 4000
#define DEADLINE_US 250000
#define WARM_UP_US 500000
#define BIN_US 50000
#define BINS 400
#define TRIED_MAX 4
#define QUEUE_MAX 64
#define RETRY_PERMILLE 100
#define REPORT_BYTES_PER_S 4000 /* of load reports, per gate */
#define SEEDS 20
#define SWEEP_SEEDS 10 /* for each value of a constant */
#define THREADS 4
#define TARGETS 5
#define BASELINE_ATTEMPTS 3 /* of the baselines */
#define CALL_BYTES 4096	    /* request and answer of an attempt */
#define NEVER INT64_MAX
#define TICK_US 10000 /* of an origin's timers, which send copies */
/* Share of the runs that a straggling host makes this many times longer. */
#define STRAGGLE_TIMES 10

/* One-way latency: same host, failure domain, region, other region. */
static const int64_t one_way_us[] = { 10, 100, 1000, 10000 };

enum policy {
	EBONYPIER,
	IDEAL,
	RANDOM,
	ROUND_ROBIN,
	LEAST_100MS,
	LEAST_1S,
	LEAST_5S,
	TWO_CHOICES,
	POLICIES,
};

static const char *const policy_names[POLICIES] = {
	"ebonypier",	    "ideal",	     "random",	      "round-robin",
	"least-load-100ms", "least-load-1s", "least-load-5s", "two-choices",
};

/* Faults, and changes of load, in a case. */
enum change {
	CHANGE_SPEED,	   /* value: speed in permille */
	CHANGE_FAIL,	   /* value 1: errors in 0.1 ms */
	CHANGE_FALSE_IDLE, /* value 1: load reports claim an idle upstream */
	CHANGE_DOWN,	   /* value 1: refuses connections */
	CHANGE_COLD,   /* restarts without calls, slow in the first second */
	CHANGE_DOMAIN, /* value 1: failure domain `who` is down */
	CHANGE_ALL,    /* value 1: every upstream returns errors */
	CHANGE_LOAD,   /* value: load in permille of capacity */
	CHANGE_PAUSE,  /* value: ms for which sender `who` is paused */
	CHANGE_LOSE,   /* value: load reports lost, in permille */
	CHANGE_SLOW,   /* value: speed of domain `who` in permille */
};

struct script {
	int64_t at_ms;
	enum change change;
	uint32_t who; /* upstream, unless the change says otherwise */
	uint32_t value;
};

struct size {
	const char *name;
	uint32_t ups, slots, senders;
};

static const struct size today = { "6x6", 6, 6, 18 };
static const struct size large = { "30x10", 30, 10, 100 };

/* Tuning of ebonypier, to change or turn off single mechanisms. */
struct tuning {
	struct eb_route_tuning route;
	struct eb_admit_tuning admit;
	uint32_t reroute_permille;
	uint32_t retry_permille;
	uint32_t watch_bytes_per_s;
	uint32_t hedge_us;	 /* time until a second copy is sent; 0: none */
	uint32_t hedge_permille; /* of --hedge-permille */
};

struct scenario {
	const char *name;
	const struct size *size;
	uint32_t load_permille;
	int64_t length_ms;
	uint8_t noise;
	uint32_t straggle_permille; /* of the runs: STRAGGLE_TIMES longer */
	uint8_t phases;		    /* Erlang phases of the work; 0 as 1 */
	uint32_t bad;		    /* upstream whose share is measured */
	int64_t bad_from_ms;	    /* 0: no bad upstream */
	int64_t bad_until_ms;	    /* when it recovers */
	int64_t from_ms;	    /* start of the measured arrivals */
	int64_t until_ms;	    /* their end; 0: end of the case */
	struct script script[8];
};

enum figure {
	P50,
	P99,
	P999,
	ERROR_PERMILLE,	 /* failed requests, of all that arrived */
	REFUSE_PERMILLE, /* not run */
	GOODPUT,	 /* permille of capacity, within the deadline */
	REFUSE_P99,	 /* time to a refusal */
	ATTEMPTS,	 /* attempts run by upstreams per 1000 requests */
	SENDS,		 /* attempts sent to gates per 1000 requests */
	DOMAIN_PERMILLE, /* run within the sender's failure domain */
	FAR_BYTES,	 /* between regions, per request */
	BAD_SHARE,	 /* permille of a fair share, from 200 ms on */
	BAD_RETURN_MS,	 /* from recovery to half a fair share */
	BAD_PEAK,	 /* permille of a fair share, in its busiest bin */
	RECOVER_MS,	 /* from the end of a burst to normal latency */
	GROWTH,		 /* p99 relative to that before the window */
	REPORT_BYTES,	 /* load reports, per gate and second */
	FIGURES,
};

static const char *const figure_names[FIGURES] = {
	"p50_ms",
	"p99_ms",
	"p999_ms",
	"errors_permille",
	"refused_permille",
	"goodput_permille",
	"refusal_p99_ms",
	"runs_per_1000",
	"sends_per_1000",
	"in_domain_permille",
	"far_bytes_per_request",
	"bad_share_permille",
	"bad_return_ms",
	"bad_peak_permille",
	"recover_ms",
	"p99_growth",
	"watch_bytes_per_s",
};

/* A call, or with hedging one of its two copies. */
struct call {
	int64_t arrived_us;
	int64_t sent_us;
	int64_t work_us;
	int64_t started_us;
	double end; /* on the work clock of its host */
	uint32_t sender;
	uint32_t upstream;
	uint32_t tried[TRIED_MAX];
	struct eb_load load; /* load report in the answer */
	uint8_t attempts;
	uint8_t mark; /* attempt number sent to the gate */
	uint8_t outcome;
	uint8_t reason;
	uint8_t failed;
	uint8_t ended;
	uint8_t abandoned; /* the other copy has ended the call */
	uint8_t hedged;	   /* it is the second copy of a slow call */
	uint32_t copy;	   /* index of the other copy + 1, or 0 */
};

/* An upstream on its VM, with its gate. */
struct host {
	struct eb_admit *admit;
	struct fifo queue; /* of the baselines */
	uint32_t running[16];
	uint32_t count;
	uint32_t timer; /* generation of the finish event */
	/* Work clock: work in us that each slot has done; work per us. */
	double clock, speed;
	int64_t clock_at_us;
	double base_speed, noise_speed, cold_speed;
	int64_t noise_end_us, cold_at_us, wake_us;
	uint32_t reported_load; /* in the last report, for the baselines */
	uint8_t fails, false_idle, down;
};

/* A sender: the origin of its callers' calls. */
struct origin {
	struct eb_route *route;
	struct eb_retry retry;
	struct eb_hedge *hedge; /* NULL: no copies of slow calls */
	uint32_t in_flight[UPS_MAX];
	uint32_t next_upstream;
	int64_t paused_until_us;
};

struct bin {
	uint32_t arrived, good, sends, bad_sends;
	double sum_us;
};

struct sim {
	const struct scenario *sc;
	const struct tuning *tune;
	enum policy policy;
	int64_t now_us;
	struct events events;
	struct eb_rand arrivals, noise, choices;
	struct host hosts[UPS_MAX];
	struct origin origins[SENDERS_MAX];
	struct call *calls;
	uint32_t call_space;
	struct fifo free_calls;
	struct fifo waiting[REGIONS]; /* of the ideal */
	uint32_t load_permille, lose_permille;
	struct bin bins[BINS];
	struct times ok, refused, before; /* before the measured window */
	uint64_t arrived, errors, refusals, good, runs, sends, near, far;
	uint64_t reports;
};

enum event_kind {
	EV_ARRIVE,
	EV_GATE,
	EV_FINISH,
	EV_REPLY,
	EV_NOISE,
	EV_WAKE,
	EV_SCRIPT,
	EV_REPORT,
	EV_COLD,
	EV_HEDGE,
};

/* ---- places of senders and upstreams ---- */

static uint32_t sender_domain(uint32_t s)
{
	return s % REGIONS * DOMAINS + s / REGIONS % DOMAINS;
}

static uint32_t per_domain(const struct sim *sm)
{
	uint32_t n = sm->sc->size->ups / (REGIONS * DOMAINS);

	assert(n);
	return n;
}

static uint32_t host_domain(const struct sim *sm, uint32_t u)
{
	return u / per_domain(sm);
}

static int distance(const struct sim *sm, uint32_t s, uint32_t u)
{
	uint32_t each = per_domain(sm);
	uint32_t sd = sender_domain(s), ud = host_domain(sm, u);

	if (sd / DOMAINS != ud / DOMAINS)
		return EB_DISTANCE_FAR;
	if (sd != ud)
		return EB_DISTANCE_REGION;
	return u % each == s / (REGIONS * DOMAINS) ? EB_DISTANCE_SELF
						   : EB_DISTANCE_DOMAIN;
}

static double random_exp(struct eb_rand *rn, double mean)
{
	return -log(1 - eb_rand_unit(rn)) * mean;
}

#define NOISE_GAP_US 500000.0 /* mean time between slow periods */
/*
 * Returns the capacity of all upstreams in calls per us. With noise they are
 * slow 5.2 % of the time, at a mean speed of 0.0924.
 */
static double capacity_per_us(const struct sim *sm)
{
	const struct size *sz = sm->sc->size;
	double slow = 27500.0 / (NOISE_GAP_US + 27500.0);
	double speed = 1 - (sm->sc->noise ? slow * (1 - 0.0924) : 0);

	return sz->ups * sz->slots * speed / SERVICE_US;
}

static int measured(const struct sim *sm, int64_t arrived_us)
{
	int64_t until = sm->sc->until_ms ? sm->sc->until_ms : sm->sc->length_ms;

	return arrived_us >= WARM_UP_US &&
	       arrived_us >= sm->sc->from_ms * 1000 &&
	       arrived_us < until * 1000;
}

/* ---- a simulated upstream: slots that share one speed ---- */

/* Schedules the end of the work that finishes first. */
static void schedule_finish(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	double first = INFINITY;
	uint32_t i;

	h->timer++;
	for (i = 0; i < h->count; i++)
		if (sm->calls[h->running[i]].end < first)
			first = sm->calls[h->running[i]].end;
	if (h->count && h->speed > 0)
		event_push(&sm->events,
			   sm->now_us +
				   (int64_t)ceil(fmax(first - h->clock, 0) /
						 h->speed),
			   EV_FINISH, u, h->timer);
}

/* Advances the work clock to the present. */
static void advance_clock(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];

	h->clock += (double)(sm->now_us - h->clock_at_us) * h->speed;
	h->clock_at_us = sm->now_us;
}

static void update_speed(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];

	advance_clock(sm, u);
	h->speed = h->base_speed * h->noise_speed * h->cold_speed;
	schedule_finish(sm, u);
}

static void start_on_host(struct sim *sm, uint32_t u, uint32_t j)
{
	struct host *h = &sm->hosts[u];
	struct call *cl = &sm->calls[j];

	advance_clock(sm, u);
	cl->started_us = sm->now_us;
	cl->failed = h->fails;
	cl->end = h->clock + (h->fails ? 100 * h->speed : cl->work_us);
	if (sm->sc->straggle_permille &&
	    eb_rand_below(&sm->noise, 1000) < sm->sc->straggle_permille)
		cl->end += (STRAGGLE_TIMES - 1) * cl->work_us;
	h->running[h->count++] = j;
	sm->runs += measured(sm, cl->arrived_us);
	schedule_finish(sm, u);
}

/* ---- gates ---- */

static void reply(struct sim *sm, uint32_t j, int outcome, int reason)
{
	struct call *cl = &sm->calls[j];
	struct host *h = &sm->hosts[cl->upstream];

	cl->outcome = (uint8_t)outcome;
	cl->reason = (uint8_t)reason;
	memset(&cl->load, 0, sizeof(cl->load));
	if (h->admit && !h->down) {
		eb_admit_report(h->admit, sm->now_us, &cl->load);
		sm->reports += cl->load.slots > 0;
		if (h->false_idle && cl->load.slots) {
			cl->load.in_flight = cl->load.queued = 0;
			cl->load.service_us = 500;
		}
	}
	event_push(&sm->events,
		   sm->now_us +
			   one_way_us[distance(sm, cl->sender, cl->upstream)],
		   EV_REPLY, j, 0);
}

static void gate_apply(struct sim *sm, uint32_t u,
		       const struct eb_admit_action *act)
{
	if (act->verdict == EB_ADMIT_RUN)
		start_on_host(sm, u, (uint32_t)act->id);
	else if (act->verdict == EB_ADMIT_REFUSE)
		reply(sm, (uint32_t)act->id, EB_OUTCOME_NOT_RUN, act->reason);
}

static void gate_next(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct eb_admit_action act;
	int64_t wake_us;

	while (eb_admit_next(h->admit, sm->now_us, &act))
		gate_apply(sm, u, &act);
	wake_us = eb_admit_wake_us(h->admit);
	if (wake_us != NEVER &&
	    (wake_us < h->wake_us || h->wake_us <= sm->now_us)) {
		h->wake_us = wake_us > sm->now_us ? wake_us : sm->now_us + 1;
		event_push(&sm->events, h->wake_us, EV_WAKE, u, 0);
	}
}

static void gate_receive(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	struct host *h = &sm->hosts[cl->upstream];
	struct eb_admit_request rq = { 0 };
	struct eb_admit_action act;

	if (h->down) {
		reply(sm, j, EB_OUTCOME_NOT_RUN, EB_REASON_CONNECT);
	} else if (sm->policy == EBONYPIER) {
		rq.id = j;
		rq.deadline_us = cl->arrived_us + DEADLINE_US;
		rq.idempotent = 1;
		rq.attempt = cl->mark;
		if (cl->hedged)
			rq.goal_us = sm->now_us - 1;
		eb_admit_offer(h->admit, &rq, sm->now_us, &act);
		gate_apply(sm, cl->upstream, &act);
		gate_next(sm, cl->upstream);
	} else if (h->count < sm->sc->size->slots) {
		start_on_host(sm, cl->upstream, j);
	} else {
		fifo_push(&h->queue, j);
	}
}

/* ---- the ideal: a queue per region, exact and immediate knowledge ---- */

static void ideal_start(struct sim *sm, uint32_t j, uint32_t u)
{
	struct call *cl = &sm->calls[j];

	cl->upstream = u;
	/* Network latency is added to the answer, but holds no slot. */
	start_on_host(sm, u, j);
}

/* Returns the delay in us that upstream u adds to the work itself. */
static double ideal_cost(const struct sim *sm, uint32_t u, uint32_t region)
{
	const struct host *h = &sm->hosts[u];
	double slow, cost = 0;

	if (h->down || h->fails || h->base_speed * h->cold_speed < 0.3)
		return 1e9;
	if (h->noise_speed < 1) {
		slow = SERVICE_US * (1 / h->noise_speed - 1);
		cost = fmin(slow, (double)(h->noise_end_us - sm->now_us));
	}
	if (host_domain(sm, u) / DOMAINS != region)
		cost += 20000;
	return cost;
}

/* Returns the expected wait in us in the queue of a region. */
static double ideal_wait(const struct sim *sm, uint32_t region)
{
	uint32_t u, slots = 0;

	for (u = 0; u < sm->sc->size->ups; u++)
		if (host_domain(sm, u) / DOMAINS == region &&
		    ideal_cost(sm, u, region) < SERVICE_US)
			slots += sm->sc->size->slots;
	return SERVICE_US * (sm->waiting[region].count + 1.0) /
	       (slots ? slots : 0.01);
}

static void ideal_arrive(struct sim *sm, uint32_t j)
{
	uint32_t u, best = UPS_MAX, s = sm->calls[j].sender;
	uint32_t region = sender_domain(s) / DOMAINS;
	double cost, least = ideal_wait(sm, region);

	for (u = 0; u < sm->sc->size->ups; u++) {
		if (sm->hosts[u].count >= sm->sc->size->slots)
			continue;
		cost = ideal_cost(sm, u, region);
		/* Prefers the nearest among equal costs. */
		cost += (double)one_way_us[distance(sm, s, u)] / 1e6;
		if (cost < least) {
			least = cost;
			best = u;
		}
	}
	if (best < UPS_MAX)
		ideal_start(sm, j, best);
	else
		fifo_push(&sm->waiting[region], j);
}

/*
 * Starts waiting calls in the free slots of an upstream, those of its own
 * region first, unless waiting on costs less.
 */
static void ideal_start_waiting(struct sim *sm, uint32_t u)
{
	uint32_t local_region = host_domain(sm, u) / DOMAINS, i, r;

	for (i = 0; i < REGIONS; i++) {
		r = (local_region + i) % REGIONS;
		while (sm->waiting[r].count &&
		       sm->hosts[u].count < sm->sc->size->slots &&
		       ideal_cost(sm, u, r) < ideal_wait(sm, r))
			ideal_start(sm, fifo_pop(&sm->waiting[r]), u);
	}
}

/* ---- origins ---- */

static uint32_t new_call(struct sim *sm)
{
	uint32_t i, more = sm->call_space ? sm->call_space : 4096;

	if (!sm->free_calls.count) {
		sm->calls = realloc(sm->calls, (sm->call_space + more) *
						       sizeof(*sm->calls));
		assert(sm->calls);
		for (i = 0; i < more; i++)
			fifo_push(&sm->free_calls, sm->call_space + i);
		sm->call_space += more;
	}
	i = fifo_pop(&sm->free_calls);
	memset(&sm->calls[i], 0, sizeof(sm->calls[i]));
	return i;
}

static uint32_t least_reported(struct sim *sm, uint32_t base, uint32_t n)
{
	uint32_t best = base, i, u, start = eb_rand_below(&sm->choices, n);

	for (i = 0; i < n; i++) {
		u = base + (start + i) % n;
		if (!i ||
		    sm->hosts[u].reported_load < sm->hosts[best].reported_load)
			best = u;
	}
	return best;
}

/* The baselines use only upstreams in the region of the sender. */
static uint32_t pick_baseline(struct sim *sm, uint32_t s)
{
	struct origin *o = &sm->origins[s];
	uint32_t n = sm->sc->size->ups / REGIONS;
	uint32_t base = sender_domain(s) / DOMAINS * n, a, b;

	switch (sm->policy) {
	case ROUND_ROBIN:
		return base + (s + o->next_upstream++) % n;
	case TWO_CHOICES:
		a = base + eb_rand_below(&sm->choices, n);
		b = base + eb_rand_below(&sm->choices, n);
		return o->in_flight[b] < o->in_flight[a] ? b : a;
	case LEAST_100MS:
	case LEAST_1S:
	case LEAST_5S:
		return least_reported(sm, base, n);
	default:
		return base + eb_rand_below(&sm->choices, n);
	}
}

static struct bin *bin_now(struct sim *sm, int64_t at_us)
{
	int64_t i = at_us / BIN_US;

	return &sm->bins[i < BINS ? i : BINS - 1];
}

/* Records the result of a call and frees it. */
static void end_call(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	int64_t took_us = sm->now_us - cl->arrived_us;
	struct bin *b = bin_now(sm, cl->arrived_us);
	int ok = cl->outcome == EB_OUTCOME_RAN && !cl->failed;

	if (ok && took_us <= DEADLINE_US) {
		b->good++;
		b->sum_us += (double)took_us;
	}
	if (ok && cl->arrived_us >= WARM_UP_US &&
	    cl->arrived_us < sm->sc->from_ms * 1000)
		times_add(&sm->before, took_us);
	if (measured(sm, cl->arrived_us)) {
		sm->arrived++;
		if (ok) {
			times_add(&sm->ok, took_us);
			sm->good += took_us <= DEADLINE_US;
		} else if (cl->outcome == EB_OUTCOME_NOT_RUN) {
			sm->refusals++;
			times_add(&sm->refused, took_us);
		} else {
			sm->errors++;
		}
	}
	if (cl->outcome == EB_OUTCOME_NOT_RUN)
		eb_hedge_call_refused(sm->origins[cl->sender].hedge,
				      sm->now_us);
	cl->ended = 1;
	fifo_push(&sm->free_calls, j);
}

static void send_attempt(struct sim *sm, uint32_t j);

static void send_call(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	struct origin *o = &sm->origins[cl->sender];
	struct eb_route_query q = { 0 };

	if (sm->policy == EBONYPIER) {
		q.remaining_us = cl->arrived_us + DEADLINE_US - sm->now_us;
		q.idempotent = 1;
		q.tried = cl->tried;
		q.tried_count = cl->attempts;
		if (eb_route_pick(o->route, &q, sm->now_us, &cl->upstream) &&
		    (q.tried_count = 0,
		     eb_route_pick(o->route, &q, sm->now_us, &cl->upstream))) {
			cl->outcome = EB_OUTCOME_NOT_RUN;
			end_call(sm, j);
			return;
		}
		eb_route_sent(o->route, cl->upstream, sm->now_us);
		cl->mark = eb_retry_next_attempt(&o->retry, cl->attempts);
	} else {
		cl->upstream = pick_baseline(sm, cl->sender);
	}
	send_attempt(sm, j);
}

/* Sends a call to the upstream that was picked. */
static void send_attempt(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	struct origin *o = &sm->origins[cl->sender];
	struct bin *b = bin_now(sm, sm->now_us);
	int d;

	cl->tried[cl->attempts++ % TRIED_MAX] = cl->upstream;
	cl->sent_us = sm->now_us;
	o->in_flight[cl->upstream]++;
	d = distance(sm, cl->sender, cl->upstream);
	b->sends++;
	b->bad_sends += cl->upstream == sm->sc->bad;
	if (measured(sm, cl->arrived_us)) {
		sm->sends++;
		sm->far += d == EB_DISTANCE_FAR;
		sm->near += d <= EB_DISTANCE_DOMAIN;
	}
	event_push(&sm->events, sm->now_us + one_way_us[d], EV_GATE, j, 0);
}

static int retry_ebonypier(struct sim *sm, struct call *cl)
{
	struct origin *o = &sm->origins[cl->sender];
	struct eb_route_result rs = { 0 };
	struct eb_retry_attempt at = { 0 };

	rs.outcome = cl->outcome;
	rs.reason = cl->reason;
	rs.status = cl->outcome != EB_OUTCOME_RAN ? 0 : cl->failed ? 500 : 200;
	rs.elapsed_us = sm->now_us - cl->sent_us;
	rs.superseded = o->hedge && cl->abandoned;
	if (cl->load.slots &&
	    eb_rand_below(&sm->choices, 1000) >= sm->lose_permille)
		eb_route_load(o->route, cl->upstream, &cl->load, sm->now_us);
	eb_route_done(o->route, cl->upstream, &rs, sm->now_us);
	if (!cl->hedged && !rs.superseded)
		eb_hedge_attempt_ended(
			o->hedge, cl->outcome == EB_OUTCOME_NOT_RUN &&
					  cl->reason == EB_REASON_QUEUE_FULL);
	if (rs.superseded)
		return 0;
	if (rs.status == 200)
		eb_hedge_answered(o->hedge, 0, 0, sm->now_us - cl->arrived_us,
				  sm->now_us);
	/* The other copy goes on. */
	if (o->hedge && cl->copy && rs.status != 200)
		return 0;
	if (rs.status == 200) {
		eb_retry_success(&o->retry);
		return 0;
	}
	at.outcome = cl->outcome;
	at.reason = cl->reason;
	at.idempotent = 1;
	at.attempts = cl->attempts;
	at.mark = cl->mark;
	at.remaining_us = cl->arrived_us + DEADLINE_US - sm->now_us;
	return eb_retry_allow(&o->retry, &at);
}

/*
 * Sends a second copy of a call if that is due, or looks again after a tick.
 * The copy that loses is not cancelled: a run goes on at its upstream.
 */
static void hedge_slow(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	struct origin *o = &sm->origins[cl->sender];
	struct eb_hedge_request rq = { 0 };
	struct eb_route_query q = { 0 };
	enum eb_hedge_verdict verdict;
	uint32_t k, node;

	rq.idempotent = 1;
	rq.inline_body = 1;
	rq.attempts = cl->attempts;
	rq.runs_max = TRIED_MAX;
	rq.sent_us = cl->arrived_us;
	rq.deadline_us = cl->arrived_us + DEADLINE_US;
	verdict = eb_hedge_check(o->hedge, &o->retry, &rq, sm->now_us);
	q.tried = cl->tried;
	q.tried_count = cl->attempts;
	if (verdict == EB_HEDGE_ATTEMPTS || verdict == EB_HEDGE_NO_TIME)
		return;
	if (verdict != EB_HEDGE_DUE ||
	    eb_route_pick_spare(o->route, &q, sm->now_us, &node)) {
		event_push(&sm->events, sm->now_us + TICK_US, EV_HEDGE, j,
			   (uint32_t)cl->arrived_us);
		return;
	}
	k = new_call(sm);
	sm->calls[k] = sm->calls[j];
	sm->calls[k].copy = j + 1;
	sm->calls[j].copy = k + 1;
	sm->calls[k].hedged = 1;
	sm->calls[k].mark = 0;
	sm->calls[k].upstream = node;
	eb_hedge_sent(o->hedge, &o->retry);
	eb_route_sent(o->route, node, sm->now_us);
	send_attempt(sm, k);
}

/* Sends a second copy of a call that has not been answered. */
static void hedge(struct sim *sm, uint32_t j, uint32_t arrived)
{
	uint32_t k;

	if ((uint32_t)sm->calls[j].arrived_us != arrived || sm->calls[j].copy ||
	    sm->calls[j].abandoned || sm->calls[j].ended)
		return;
	if (sm->tune->hedge_permille) {
		hedge_slow(sm, j);
		return;
	}
	k = new_call(sm);
	sm->calls[k] = sm->calls[j];
	sm->calls[k].copy = j + 1;
	sm->calls[j].copy = k + 1;
	send_call(sm, k);
}

/*
 * Frees a copy if the other copy has ended the call or goes on after this one
 * failed. Returns 1 if it freed the copy.
 */
static int drop_copy(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	int good = cl->outcome == EB_OUTCOME_RAN && !cl->failed;

	if (cl->abandoned) {
		fifo_push(&sm->free_calls, j);
		return 1;
	}
	if (!cl->copy)
		return 0;
	sm->calls[cl->copy - 1].copy = 0;
	sm->calls[cl->copy - 1].abandoned = (uint8_t)good;
	cl->copy = 0;
	if (good)
		return 0;
	cl->ended = 1;
	fifo_push(&sm->free_calls, j);
	return 1;
}

static void origin_receive(struct sim *sm, uint32_t j)
{
	struct call *cl = &sm->calls[j];
	struct origin *o = &sm->origins[cl->sender];
	int retry;

	if (o->paused_until_us > sm->now_us) {
		event_push(&sm->events, o->paused_until_us, EV_REPLY, j, 0);
		return;
	}
	if (sm->policy == IDEAL) {
		end_call(sm, j);
		return;
	}
	o->in_flight[cl->upstream]--;
	if (sm->policy == EBONYPIER)
		retry = retry_ebonypier(sm, cl);
	else
		retry = (cl->failed || cl->outcome != EB_OUTCOME_RAN) &&
			cl->attempts < BASELINE_ATTEMPTS;
	if ((sm->tune->hedge_us || sm->tune->hedge_permille) &&
	    drop_copy(sm, j))
		return;
	if (retry)
		send_call(sm, j);
	else
		end_call(sm, j);
}

/* ---- events ---- */

static int64_t draw_work(struct sim *sm)
{
	uint32_t n = sm->sc->phases ? sm->sc->phases : 1, i;
	double us = 1;

	for (i = 0; i < n; i++)
		us += random_exp(&sm->arrivals, (double)SERVICE_US / n);
	return (int64_t)us;
}

static void arrive(struct sim *sm)
{
	double rate = capacity_per_us(sm) * sm->load_permille / 1000;
	uint32_t j = new_call(sm), s;
	struct call *cl = &sm->calls[j];

	event_push(&sm->events,
		   sm->now_us + 1 +
			   (int64_t)random_exp(&sm->arrivals, 1 / rate),
		   EV_ARRIVE, 0, 0);
	s = eb_rand_below(&sm->arrivals, sm->sc->size->senders);
	cl->sender = s;
	cl->arrived_us = sm->now_us;
	cl->work_us = draw_work(sm);
	bin_now(sm, sm->now_us)->arrived++;
	/* Callers of a paused sender use another sender. */
	while (sm->origins[cl->sender].paused_until_us > sm->now_us)
		cl->sender = (cl->sender + 1) % sm->sc->size->senders;
	if (sm->policy == IDEAL) {
		ideal_arrive(sm, j);
		return;
	}
	if (sm->policy == EBONYPIER)
		eb_retry_request(&sm->origins[cl->sender].retry);
	if (sm->policy == EBONYPIER && sm->tune->hedge_us)
		event_push(&sm->events, sm->now_us + sm->tune->hedge_us,
			   EV_HEDGE, j, (uint32_t)sm->now_us);
	if (sm->origins[cl->sender].hedge)
		event_push(&sm->events, (sm->now_us / TICK_US + 1) * TICK_US,
			   EV_HEDGE, j, (uint32_t)sm->now_us);
	send_call(sm, j);
}

static void finish(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct call *cl;
	uint32_t i = 0, j;

	advance_clock(sm, u);
	while (i < h->count) {
		j = h->running[i];
		cl = &sm->calls[j];
		if (cl->end > h->clock + 1e-6) {
			i++;
			continue;
		}
		h->running[i] = h->running[--h->count];
		if (sm->policy == EBONYPIER)
			eb_admit_done(h->admit, j,
				      cl->failed ? 0
						 : sm->now_us - cl->started_us,
				      sm->now_us);
		if (sm->policy == IDEAL) {
			cl->outcome = EB_OUTCOME_RAN;
			event_push(&sm->events,
				   sm->now_us + 2 * one_way_us[distance(
							    sm, cl->sender, u)],
				   EV_REPLY, j, 0);
		} else {
			reply(sm, j, EB_OUTCOME_RAN, 0);
		}
	}
	schedule_finish(sm, u);
	if (sm->policy == EBONYPIER)
		gate_next(sm, u);
	else if (sm->policy == IDEAL)
		ideal_start_waiting(sm, u);
	else
		while (h->queue.count && h->count < sm->sc->size->slots)
			start_on_host(sm, u, fifo_pop(&h->queue));
}

/*
 * Alternates between a speed 5 to 20 times lower, for 5 to 50 ms, and normal
 * speed for a random time.
 */
static void noise(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];

	if (h->noise_speed < 1) {
		h->noise_speed = 1;
		event_push(
			&sm->events,
			sm->now_us + 1 +
				(int64_t)random_exp(&sm->noise, NOISE_GAP_US),
			EV_NOISE, u, 0);
	} else {
		h->noise_speed = 1 / (5 + 15 * eb_rand_unit(&sm->noise));
		h->noise_end_us = sm->now_us + 5000 +
				  (int64_t)(45000 * eb_rand_unit(&sm->noise));
		event_push(&sm->events, h->noise_end_us, EV_NOISE, u, 0);
	}
	update_speed(sm, u);
	if (sm->policy == IDEAL)
		ideal_start_waiting(sm, u);
}

/* Fails all calls that run on or wait at an upstream. */
static void crash(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct eb_admit_config cf = { sm->sc->size->slots, QUEUE_MAX,
				      sm->tune->watch_bytes_per_s };

	h->timer++;
	while (h->count) {
		if (sm->policy == EBONYPIER)
			eb_admit_done(h->admit, 0, -1, sm->now_us);
		reply(sm, h->running[--h->count], EB_OUTCOME_UNKNOWN,
		      EB_REASON_UPSTREAM_CLOSED);
	}
	while (h->queue.count)
		reply(sm, fifo_pop(&h->queue), EB_OUTCOME_NOT_RUN,
		      EB_REASON_CONNECT);
	if (sm->policy != EBONYPIER)
		return;
	eb_admit_drain(h->admit, 0);
	eb_admit_configure(h->admit, &cf);
	gate_next(sm, u);
}

static void change_host(struct sim *sm, uint32_t u, const struct script *a)
{
	struct host *h = &sm->hosts[u];
	uint32_t s;

	if (a->change == CHANGE_SPEED || a->change == CHANGE_SLOW)
		h->base_speed = a->value / 1000.0;
	if (a->change == CHANGE_FAIL || a->change == CHANGE_ALL)
		h->fails = (uint8_t)a->value;
	if (a->change == CHANGE_FALSE_IDLE)
		h->false_idle = (uint8_t)a->value;
	if (a->change == CHANGE_DOWN || a->change == CHANGE_DOMAIN) {
		h->down = (uint8_t)a->value;
		if (h->down)
			crash(sm, u);
	}
	if (a->change == CHANGE_COLD) {
		crash(sm, u);
		h->cold_at_us = sm->now_us;
		event_push(&sm->events, sm->now_us, EV_COLD, u, 0);
		if (sm->policy == EBONYPIER) {
			for (s = 0; s < sm->sc->size->senders; s++)
				eb_route_restarted(sm->origins[s].route, u,
						   sm->now_us);
		}
	}
	update_speed(sm, u);
}

static void apply_change(struct sim *sm, const struct script *a)
{
	uint32_t u;

	if (a->change == CHANGE_LOAD)
		sm->load_permille = a->value;
	else if (a->change == CHANGE_LOSE)
		sm->lose_permille = a->value;
	else if (a->change == CHANGE_PAUSE)
		sm->origins[a->who].paused_until_us =
			sm->now_us + a->value * 1000;
	else if (a->change != CHANGE_DOMAIN && a->change != CHANGE_ALL &&
		 a->change != CHANGE_SLOW)
		change_host(sm, a->who, a);
	else
		for (u = 0; u < sm->sc->size->ups; u++)
			if (a->change == CHANGE_ALL ||
			    host_domain(sm, u) == a->who)
				change_host(sm, u, a);
}

/* Raises the speed of a restarted upstream from 1/5 to normal within 5 s. */
static void update_cold_speed(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	double age_s = (double)(sm->now_us - h->cold_at_us) / 1e6;

	h->cold_speed = age_s > 5 ? 1 : 1 / (1 + 4 * exp(-3 * age_s));
	update_speed(sm, u);
	if (h->cold_speed < 1)
		event_push(&sm->events, sm->now_us + 50000, EV_COLD, u, 0);
}

/* Updates the load reports of the baselines, which arrive at fixed intervals.
 */
static void report_loads(struct sim *sm)
{
	static const int64_t every_us[POLICIES] = {
		[LEAST_100MS] = 100000,
		[LEAST_1S] = 1000000,
		[LEAST_5S] = 5000000,
	};
	uint32_t u;

	for (u = 0; u < sm->sc->size->ups; u++)
		sm->hosts[u].reported_load =
			sm->hosts[u].false_idle
				? 0
				: sm->hosts[u].count + sm->hosts[u].queue.count;
	event_push(&sm->events, sm->now_us + every_us[sm->policy], EV_REPORT, 0,
		   0);
}

static void step(struct sim *sm, const struct event *e)
{
	switch ((enum event_kind)e->kind) {
	case EV_ARRIVE:
		arrive(sm);
		break;
	case EV_GATE:
		gate_receive(sm, e->who);
		break;
	case EV_FINISH:
		if (e->what == sm->hosts[e->who].timer)
			finish(sm, e->who);
		break;
	case EV_REPLY:
		origin_receive(sm, e->who);
		break;
	case EV_NOISE:
		noise(sm, e->who);
		break;
	case EV_WAKE:
		gate_next(sm, e->who);
		break;
	case EV_SCRIPT:
		apply_change(sm, &sm->sc->script[e->what]);
		break;
	case EV_REPORT:
		report_loads(sm);
		break;
	case EV_COLD:
		update_cold_speed(sm, e->who);
		break;
	case EV_HEDGE:
		hedge(sm, e->who, e->what);
		break;
	}
}

/* ---- one run ---- */

static void sim_hosts(struct sim *sm)
{
	struct eb_admit_config cf = { sm->sc->size->slots, QUEUE_MAX,
				      sm->tune->watch_bytes_per_s };
	struct host *h;
	uint32_t u;

	for (u = 0; u < sm->sc->size->ups; u++) {
		h = &sm->hosts[u];
		h->speed = h->base_speed = h->noise_speed = h->cold_speed = 1;
		if (sm->sc->noise)
			event_push(
				&sm->events,
				(int64_t)random_exp(&sm->noise, NOISE_GAP_US),
				EV_NOISE, u, 0);
		if (sm->policy == EBONYPIER) {
			h->admit = eb_admit_new(&cf);
			eb_admit_tune(h->admit, &sm->tune->admit);
		}
	}
}

static void sim_origins(struct sim *sm, uint64_t seed)
{
	struct eb_route_upstream ups[UPS_MAX];
	struct origin *o;
	uint32_t s, u;

	memset(ups, 0, sizeof(ups));
	for (s = 0; s < sm->sc->size->senders && sm->policy == EBONYPIER; s++) {
		o = &sm->origins[s];
		for (u = 0; u < sm->sc->size->ups; u++) {
			ups[u].id = u;
			ups[u].slots = (uint16_t)sm->sc->size->slots;
			ups[u].distance = (uint8_t)distance(sm, s, u);
		}
		o->route = eb_route_new(seed * 1000 + s);
		eb_route_tune(o->route, &sm->tune->route);
		eb_route_set_upstreams(o->route, ups, sm->sc->size->ups, 0);
		eb_retry_init(&o->retry, sm->tune->retry_permille);
		o->retry.reroute_permille = sm->tune->reroute_permille;
		o->hedge = eb_hedge_new(sm->tune->hedge_permille);
	}
}

static void sim_free(struct sim *sm)
{
	uint32_t i;

	for (i = 0; i < UPS_MAX; i++) {
		eb_admit_free(sm->hosts[i].admit);
		free(sm->hosts[i].queue.items);
	}
	for (i = 0; i < SENDERS_MAX; i++) {
		eb_route_free(sm->origins[i].route);
		eb_hedge_free(sm->origins[i].hedge);
	}
	for (i = 0; i < REGIONS; i++)
		free(sm->waiting[i].items);
	free(sm->free_calls.items);
	free(sm->events.heap);
	free(sm->calls);
	free(sm->ok.us);
	free(sm->refused.us);
	free(sm->before.us);
	free(sm);
}

/*
 * Sets the figures of the bad upstream: its share from 200 ms after the fault
 * to the recovery, then its peak and the time until it has half a fair share.
 * That time is 1e6 if it never has.
 */
static void bad_figures(const struct sim *sm, double *out)
{
	const struct scenario *sc = sm->sc;
	uint32_t i, from = (uint32_t)((sc->bad_from_ms + 200) * 1000 / BIN_US);
	uint32_t until = (uint32_t)(sc->bad_until_ms * 1000 / BIN_US);
	uint32_t end = (uint32_t)(sc->length_ms * 1000 / BIN_US);
	double sends = 0, bad = 0, share, return_ms = -1;

	for (i = from; i < until; i++) {
		sends += sm->bins[i].sends;
		bad += sm->bins[i].bad_sends;
	}
	if (sends > 0)
		out[BAD_SHARE] = 1000 * bad * sc->size->ups / sends;
	for (i = until; i + 2 < end; i++) {
		share = 1000.0 * sm->bins[i].bad_sends * sc->size->ups /
			(sm->bins[i].sends ? sm->bins[i].sends : 1);
		if (share > out[BAD_PEAK])
			out[BAD_PEAK] = share;
		if (return_ms < 0 && share >= 500)
			return_ms = (double)(i - until + 1) * BIN_US / 1000;
	}
	out[BAD_RETURN_MS] = return_ms < 0 ? 1e6 : return_ms;
}

/*
 * Returns the time in ms from the end of the burst until two bins in a row are
 * normal, or 1e6 if that does not happen. Normal is a mean latency below 1.5
 * times that before the burst, with 99 % of the arrivals answered within the
 * deadline.
 */
static double recover_ms(const struct sim *sm)
{
	uint32_t end = (uint32_t)(sm->sc->until_ms * 1000 / BIN_US);
	uint32_t last = (uint32_t)(sm->sc->length_ms * 1000 / BIN_US), i,
		 in = 0;
	double baseline_us = 0, n = 0, mean;

	for (i = WARM_UP_US / BIN_US; i < sm->sc->from_ms * 1000 / BIN_US;
	     i++) {
		baseline_us += sm->bins[i].sum_us;
		n += sm->bins[i].good;
	}
	baseline_us /= n > 0 ? n : 1;
	for (i = end; i < last; i++) {
		mean = sm->bins[i].sum_us /
		       (sm->bins[i].good ? sm->bins[i].good : 1);
		in = mean < 1.5 * baseline_us &&
				     sm->bins[i].good * 100 >=
					     sm->bins[i].arrived * 99
			     ? in + 1
			     : 0;
		if (in == 2)
			return (double)(i - 1 - end) * BIN_US / 1000;
	}
	return 1e6;
}

static void figures(struct sim *sm, double *out)
{
	const struct scenario *sc = sm->sc;
	double n = sm->arrived ? (double)sm->arrived : 1;
	int64_t until = sc->until_ms ? sc->until_ms : sc->length_ms;
	int64_t from = sc->from_ms * 1000 > WARM_UP_US ? sc->from_ms * 1000
						       : WARM_UP_US;

	memset(out, 0, FIGURES * sizeof(*out));
	times_sort(&sm->ok);
	times_sort(&sm->refused);
	times_sort(&sm->before);
	out[P50] = times_ms(&sm->ok, 500);
	out[P99] = times_ms(&sm->ok, 990);
	out[P999] = times_ms(&sm->ok, 999);
	out[ERROR_PERMILLE] = 1000 * (double)sm->errors / n;
	out[REFUSE_PERMILLE] = 1000 * (double)sm->refusals / n;
	out[GOODPUT] = 1000 * (double)sm->good /
		       (capacity_per_us(sm) * (double)(until * 1000 - from));
	out[REFUSE_P99] = times_ms(&sm->refused, 990);
	out[ATTEMPTS] = 1000 * (double)sm->runs / n;
	out[SENDS] = 1000 * (double)sm->sends / n;
	out[DOMAIN_PERMILLE] =
		1000 * (double)sm->near / (sm->sends ? (double)sm->sends : 1);
	out[FAR_BYTES] = CALL_BYTES * (double)sm->far / n;
	if (sm->before.count)
		out[GROWTH] = out[P99] / times_ms(&sm->before, 990);
	out[REPORT_BYTES] = (double)sm->reports * EB_ADMIT_REPORT_BYTES * 1000 /
			    ((double)sc->length_ms * sc->size->ups);
	if (sc->bad_from_ms)
		bad_figures(sm, out);
	if (sc->until_ms)
		out[RECOVER_MS] = recover_ms(sm);
}

static void run(const struct scenario *sc, const struct tuning *tn,
		enum policy policy, uint64_t seed, double *out)
{
	struct sim *sm = calloc(1, sizeof(*sm));
	int64_t end_us = sc->length_ms * 1000;
	struct event e;
	uint32_t i;

	assert(sm);
	sm->sc = sc;
	sm->tune = tn;
	sm->policy = policy;
	sm->load_permille = sc->load_permille;
	eb_rand_seed(&sm->arrivals, seed);
	eb_rand_seed(&sm->noise, seed + 1000000);
	eb_rand_seed(&sm->choices, seed + 2000000);
	sim_hosts(sm);
	sim_origins(sm, seed);
	event_push(&sm->events, 0, EV_ARRIVE, 0, 0);
	for (i = 0; i < 8 && sc->script[i].at_ms; i++)
		event_push(&sm->events, sc->script[i].at_ms * 1000, EV_SCRIPT,
			   0, i);
	if (policy >= LEAST_100MS && policy <= LEAST_5S)
		event_push(&sm->events, 0, EV_REPORT, 0, 0);
	while (sm->events.heap[0].at_us < end_us) {
		e = event_pop(&sm->events);
		sm->now_us = e.at_us;
		step(sm, &e);
	}
	figures(sm, out);
	sim_free(sm);
}

/* ---- the cases ---- */

enum relation {
	NONE, /* printed without a target */
	AT_MOST,
	AT_LEAST,
	TIMES_OF, /* at most `bound` times the figure of `than` */
	BEST_OF,  /* at most `bound` times the best baseline's */
};

struct target {
	enum figure figure;
	enum relation relation;
	double bound;
	enum policy baseline;
};

struct test_case {
	struct scenario scenario;
	uint32_t policies; /* those to run, one bit each */
	struct target targets[TARGETS];
};

#define ALL_POLICIES ((1U << POLICIES) - 1)
#define ONLY_EBONYPIER (1U << EBONYPIER)
#define WITH_IDEAL (ONLY_EBONYPIER | 1U << IDEAL)

#define NOISY_HOSTS(size_, load_, phases_, name_)                      \
	{                                                              \
		{ .name = (name_),                                     \
		  .size = &(size_),                                    \
		  .load_permille = (load_),                            \
		  .length_ms = 3000,                                   \
		  .noise = 1,                                          \
		  .phases = (phases_) },                               \
			ALL_POLICIES,                                  \
			{ { P99, TIMES_OF, 1.25, IDEAL },              \
			  { P99, (load_) == 750 ? BEST_OF : NONE, 0.5, \
			    RANDOM },                                  \
			  { P999, NONE, 0, IDEAL },                    \
			  { REFUSE_PERMILLE, NONE, 0, EBONYPIER },     \
			  { SENDS, NONE, 0, EBONYPIER } },             \
	}

#define RESTORED(change_) ((change_) == CHANGE_SPEED ? 1000 : 0)
#define BAD_UPSTREAM(size_, name_, change_, value_, change2_, value2_)       \
	{                                                                    \
		{ .name = (name_),                                           \
		  .size = &(size_),                                          \
		  .load_permille = 500,                                      \
		  .length_ms = 8000,                                         \
		  .bad = 1,                                                  \
		  .bad_from_ms = 1000,                                       \
		  .bad_until_ms = 4000,                                      \
		  .script = { { 1000, change_, 1, value_ },                  \
			      { 1000, change2_, 1, value2_ },                \
			      { 4000, change_, 1, RESTORED(change_) },       \
			      { 4000, change2_, 1, RESTORED(change2_) } } }, \
			ONLY_EBONYPIER | 1U << RANDOM | 1U << TWO_CHOICES,   \
			{ { BAD_SHARE, AT_MOST, 100, RANDOM },               \
			  { ERROR_PERMILLE, AT_MOST, 1, RANDOM },            \
			  { BAD_RETURN_MS, AT_MOST, 5000, EBONYPIER },       \
			  { BAD_PEAK, AT_MOST, 1500, RANDOM },               \
			  { P99, NONE, 0, TWO_CHOICES } },                   \
	}

#define BURST(size_, load_, name_)                                             \
	{                                                                      \
		{ .name = (name_),                                             \
		  .size = &(size_),                                            \
		  .load_permille = 500,                                        \
		  .length_ms = 4500,                                           \
		  .from_ms = 1000,                                             \
		  .until_ms = 2500,                                            \
		  .script = { { 1000, CHANGE_LOAD, 0, load_ },                 \
			      { 2500, CHANGE_LOAD, 0, 500 } } },               \
			ONLY_EBONYPIER | 1U << RANDOM | 1U << TWO_CHOICES,     \
			{ { GOODPUT, AT_LEAST, 950, TWO_CHOICES },             \
			  { P99, AT_MOST, DEADLINE_US / 1000.0, TWO_CHOICES }, \
			  { REFUSE_P99, AT_MOST, 10, EBONYPIER },              \
			  { RECOVER_MS, AT_MOST, 500, TWO_CHOICES },           \
			  { SENDS, NONE, 0, EBONYPIER } },                     \
	}

#define OUTAGE(size_, name_)                                       \
	{                                                          \
		{ .name = (name_),                                 \
		  .size = &(size_),                                \
		  .load_permille = 500,                            \
		  .length_ms = 6000,                               \
		  .from_ms = 1000,                                 \
		  .until_ms = 4000,                                \
		  .script = { { 1000, CHANGE_ALL, 0, 1 },          \
			      { 4000, CHANGE_ALL, 0, 0 } } },      \
			ONLY_EBONYPIER | 1U << RANDOM,             \
			{ { ATTEMPTS, AT_MOST, 1100, RANDOM },     \
			  { RECOVER_MS, AT_MOST, 3000, RANDOM } }, \
	}

#define RESTART(size_, load_, name_)                                       \
	{                                                                  \
		{ .name = (name_),                                         \
		  .size = &(size_),                                        \
		  .load_permille = (load_),                                \
		  .length_ms = 6000,                                       \
		  .from_ms = 3000,                                         \
		  .until_ms = 5000,                                        \
		  .script = { { 3000, CHANGE_COLD, 1, 0 } } },             \
			ONLY_EBONYPIER | 1U << RANDOM | 1U << TWO_CHOICES, \
			{ { GROWTH, AT_MOST, 1.5, TWO_CHOICES },           \
			  { ERROR_PERMILLE, NONE, 0, TWO_CHOICES } },      \
	}

#define LOCALITY(size_, noise_, name_)                                   \
	{                                                                \
		{ .name = (name_),                                       \
		  .size = &(size_),                                      \
		  .load_permille = 500,                                  \
		  .length_ms = 3000,                                     \
		  .noise = (noise_) },                                   \
			WITH_IDEAL,                                      \
			{ { DOMAIN_PERMILLE, AT_LEAST, 900, EBONYPIER }, \
			  { FAR_BYTES, AT_MOST, 0, EBONYPIER },          \
			  { P99, TIMES_OF, 1.25, IDEAL } },              \
	}

#define DOMAIN_LOST(size_, load_, name_)                           \
	{                                                          \
		{ .name = (name_),                                 \
		  .size = &(size_),                                \
		  .load_permille = (load_),                        \
		  .length_ms = 6000,                               \
		  .from_ms = 1000,                                 \
		  .until_ms = 3000,                                \
		  .script = { { 1000, CHANGE_DOMAIN, 0, 1 },       \
			      { 3000, CHANGE_DOMAIN, 0, 0 } } },   \
			WITH_IDEAL | 1U << RANDOM,                 \
			{ { P99, NONE, 0, IDEAL },                 \
			  { FAR_BYTES, NONE, 0, EBONYPIER },       \
			  { ERROR_PERMILLE, AT_MOST, 1, RANDOM },  \
			  { REFUSE_PERMILLE, AT_MOST, 1, RANDOM }, \
			  { RECOVER_MS, NONE, 0, EBONYPIER } },    \
	}

#define TWO_FAULTS(name_, noise_, ...)                                 \
	{                                                              \
		{ .name = (name_),                                     \
		  .size = &large,                                      \
		  .load_permille = 500,                                \
		  .length_ms = 3000,                                   \
		  .noise = (noise_),                                   \
		  .from_ms = 1000,                                     \
		  .bad = 1,                                            \
		  .bad_from_ms = 1000,                                 \
		  .bad_until_ms = 3000,                                \
		  .script = { __VA_ARGS__ } },                         \
			WITH_IDEAL | 1U << RANDOM | 1U << TWO_CHOICES, \
			{ { P99, TIMES_OF, 1.25, IDEAL },              \
			  { ERROR_PERMILLE, AT_MOST, 1, TWO_CHOICES }, \
			  { REFUSE_PERMILLE, NONE, 0, EBONYPIER },     \
			  { BAD_SHARE, NONE, 0, TWO_CHOICES } },       \
	}

static const struct test_case cases[] = {
	/* Case 1: noisy hosts. */
	NOISY_HOSTS(today, 500, 1, "noisy-50"),
	NOISY_HOSTS(today, 750, 1, "noisy-75"),
	NOISY_HOSTS(today, 900, 1, "noisy-90"),
	NOISY_HOSTS(large, 500, 1, "noisy-50"),
	NOISY_HOSTS(large, 750, 1, "noisy-75"),
	NOISY_HOSTS(large, 900, 1, "noisy-90"),
	NOISY_HOSTS(today, 750, 4, "noisy-even-75"),
	NOISY_HOSTS(large, 750, 4, "noisy-even-75"),
	/* Case 2: a bad upstream that looks healthy. */
	BAD_UPSTREAM(today, "straggler", CHANGE_SPEED, 50, CHANGE_SPEED, 50),
	BAD_UPSTREAM(large, "straggler", CHANGE_SPEED, 50, CHANGE_SPEED, 50),
	BAD_UPSTREAM(today, "false-idle", CHANGE_SPEED, 50, CHANGE_FALSE_IDLE,
		     1),
	BAD_UPSTREAM(large, "false-idle", CHANGE_SPEED, 50, CHANGE_FALSE_IDLE,
		     1),
	BAD_UPSTREAM(today, "fast-errors", CHANGE_FAIL, 1, CHANGE_FAIL, 1),
	BAD_UPSTREAM(large, "fast-errors", CHANGE_FAIL, 1, CHANGE_FAIL, 1),
	/* Case 3: overload, and recovery after the burst. */
	BURST(today, 1500, "overload-1.5"),
	BURST(today, 2000, "overload-2"),
	BURST(today, 5000, "overload-5"),
	BURST(large, 1500, "overload-1.5"),
	BURST(large, 2000, "overload-2"),
	BURST(large, 5000, "overload-5"),
	/* Case 4: a service that is down; see also run_chain(). */
	OUTAGE(today, "outage"),
	OUTAGE(large, "outage"),
	/* Case 5, unfair callers, is in callers.c. */
	/* Case 6: an upstream restarts and is slow for its first second. */
	RESTART(today, 500, "cold-50"),
	RESTART(large, 500, "cold-50"),
	RESTART(large, 750, "cold-75"),
	/* Case 7: locality, and the loss of a failure domain. */
	LOCALITY(today, 0, "locality"),
	LOCALITY(today, 1, "locality-noisy"),
	LOCALITY(large, 0, "locality"),
	LOCALITY(large, 1, "locality-noisy"),
	DOMAIN_LOST(today, 500, "domain-lost-50"),
	DOMAIN_LOST(large, 500, "domain-lost-50"),
	DOMAIN_LOST(large, 750, "domain-lost-75"),
	/* Case 9, crashing requests, is in callers.c. */
	/* Case 10: two faults at once. */
	TWO_FAULTS("paused-senders+noise", 1, { 1000, CHANGE_PAUSE, 0, 300 },
		   { 1000, CHANGE_PAUSE, 1, 300 },
		   { 2000, CHANGE_PAUSE, 2, 300 },
		   { 2000, CHANGE_PAUSE, 3, 300 }),
	TWO_FAULTS("lost-reports+noise", 1, { 500, CHANGE_LOSE, 0, 1000 }),
	TWO_FAULTS("lost-reports+straggler", 0, { 500, CHANGE_LOSE, 0, 1000 },
		   { 1000, CHANGE_SPEED, 1, 50 }),
	TWO_FAULTS("straggler+noise", 1, { 1000, CHANGE_SPEED, 1, 50 }),
	TWO_FAULTS("straggler+fast-errors", 0, { 1000, CHANGE_SPEED, 1, 50 },
		   { 1000, CHANGE_FAIL, 2, 1 }),
	TWO_FAULTS("fast-errors+noise", 1, { 1000, CHANGE_FAIL, 1, 1 }),
	TWO_FAULTS("two-fast-errors", 0, { 1000, CHANGE_FAIL, 1, 1 },
		   { 1000, CHANGE_FAIL, 2, 1 }),
	TWO_FAULTS("overload-2+straggler", 0, { 1000, CHANGE_SPEED, 1, 50 },
		   { 1000, CHANGE_LOAD, 0, 2000 },
		   { 3000, CHANGE_LOAD, 0, 500 }),
	TWO_FAULTS("cold+noise", 1, { 1000, CHANGE_COLD, 1, 0 }),
	TWO_FAULTS("domain-lost+noise", 1, { 1000, CHANGE_DOMAIN, 0, 1 }),
	TWO_FAULTS("domain-lost+straggler", 0, { 1000, CHANGE_DOMAIN, 0, 1 },
		   { 1000, CHANGE_SPEED, 9, 50 }),
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

/* ---- running the cases and printing the figures ---- */

struct task {
	const struct scenario *scenario;
	struct tuning tune;
	enum policy policy;
	uint64_t seed;
	double out[FIGURES];
};

struct task_queue {
	struct task *tasks;
	uint32_t count;
	uint32_t next;
};

static void *run_worker(void *arg)
{
	struct task_queue *tq = arg;
	struct task *t;
	uint32_t i;

	while ((i = __atomic_fetch_add(&tq->next, 1, __ATOMIC_RELAXED)) <
	       tq->count) {
		t = &tq->tasks[i];
		run(t->scenario, &t->tune, t->policy, t->seed, t->out);
	}
	return NULL;
}

static void run_tasks(struct task *tasks, uint32_t count)
{
	struct task_queue tq = { tasks, count, 0 };
	pthread_t threads[THREADS];
	int i;

	for (i = 0; i < THREADS; i++)
		if (pthread_create(&threads[i], NULL, run_worker, &tq))
			abort();
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
}

static struct tuning tuning_default(void)
{
	struct tuning tn = { eb_route_tuning_default,
			     eb_admit_tuning_default,
			     0,
			     RETRY_PERMILLE,
			     REPORT_BYTES_PER_S,
			     0,
			     0 };
	struct eb_retry rb;

	eb_retry_init(&rb, RETRY_PERMILLE);
	tn.reroute_permille = rb.reroute_permille;
	return tn;
}

struct spread {
	double least, median, most;
};

static struct spread spread_of(double v[][SEEDS][FIGURES], uint32_t seeds,
			       enum policy p, enum figure f)
{
	double all[SEEDS] = { 0 };
	uint32_t i;

	for (i = 0; i < seeds; i++)
		all[i] = v[p][i][f];
	qsort(all, seeds, sizeof(all[0]), compare_doubles);
	return (struct spread){ all[0],
				(all[seeds / 2] + all[(seeds - 1) / 2]) / 2,
				all[seeds - 1] };
}

static void print_seeds(const struct test_case *tc, const struct target *tg,
			double v[][SEEDS][FIGURES])
{
	uint32_t s, p;

	for (p = 0; p < POLICIES; p++) {
		if (p == EBONYPIER || !(tc->policies & 1U << p))
			continue;
		for (s = 0; s < SEEDS; s++)
			printf("{\"bench\":\"routing\",\"case\":\"%s\","
			       "\"size\":\"%s\",\"seed\":%u,\"figure\":\"%s\","
			       "\"value\":%.3f,\"baseline\":\"%s\","
			       "\"baseline_value\":%.3f}\n",
			       tc->scenario.name, tc->scenario.size->name,
			       s + 1, figure_names[tg->figure],
			       v[EBONYPIER][s][tg->figure], policy_names[p],
			       v[p][s][tg->figure]);
	}
}

static enum policy best_baseline(const struct test_case *tc, enum figure f,
				 double v[][SEEDS][FIGURES])
{
	enum policy best = RANDOM, p;

	for (p = RANDOM; p < POLICIES; p++)
		if (tc->policies & 1U << p &&
		    spread_of(v, SEEDS, p, f).median <
			    spread_of(v, SEEDS, best, f).median)
			best = p;
	return best;
}

/* Prints the range over the seeds, the target and whether it is met. */
static void print_target(const struct test_case *tc, const struct target *tg,
			 double v[][SEEDS][FIGURES])
{
	static const char *const relation_names[] = { "none", "at-most",
						      "at-least", "times-of",
						      "times-of-best" };
	struct spread own = spread_of(v, SEEDS, EBONYPIER, tg->figure), base;
	enum policy baseline = tg->baseline;
	double value = own.median;

	if (tg->relation == BEST_OF)
		baseline = best_baseline(tc, tg->figure, v);
	base = spread_of(v, SEEDS, baseline, tg->figure);
	if (tg->relation >= TIMES_OF)
		value = own.median / base.median;
	printf("{\"bench\":\"routing\",\"case\":\"%s\",\"size\":\"%s\","
	       "\"seeds\":%d,\"figure\":\"%s\",\"value\":%.3f,\"least\":%.3f,"
	       "\"most\":%.3f",
	       tc->scenario.name, tc->scenario.size->name, SEEDS,
	       figure_names[tg->figure], own.median, own.least, own.most);
	if (baseline != EBONYPIER && tc->policies & 1U << baseline)
		printf(",\"baseline\":\"%s\",\"baseline_value\":%.3f,"
		       "\"ratio\":%.3f",
		       policy_names[baseline], base.median,
		       base.median > 0 ? own.median / base.median : 0);
	if (tg->relation != NONE)
		printf(",\"target\":\"%s %g\",\"met\":%s",
		       relation_names[tg->relation], tg->bound,
		       (tg->relation == AT_LEAST ? value >= tg->bound
						 : value <= tg->bound)
			       ? "true"
			       : "false");
	printf("}\n");
}

static void run_case(const struct test_case *tc)
{
	static double v[POLICIES][SEEDS][FIGURES];
	struct task tasks[POLICIES * SEEDS];
	uint32_t n = 0, p, s, i;

	for (p = 0; p < POLICIES; p++)
		for (s = 0; s < SEEDS && tc->policies & 1U << p; s++)
			tasks[n++] = (struct task){ .scenario = &tc->scenario,
						    .tune = tuning_default(),
						    .policy = p,
						    .seed = s + 1 };
	run_tasks(tasks, n);
	memset(v, 0, sizeof(v));
	for (i = 0; i < n; i++)
		memcpy(v[tasks[i].policy][tasks[i].seed - 1], tasks[i].out,
		       sizeof(tasks[i].out));
	for (i = 0; i < TARGETS; i++) {
		if (i && tc->targets[i].figure == P50)
			break;
		print_seeds(tc, &tc->targets[i], v);
		print_target(tc, &tc->targets[i], v);
	}
}

/* ---- constants at several values and turned off ---- */

/* Sets a field of 4 or 8 bytes in the tuning. */
static void set_field(struct tuning *tn, size_t offset, size_t bytes,
		      uint32_t value)
{
	int64_t wide = value;

	if (bytes == sizeof(wide))
		memcpy((char *)tn + offset, &wide, sizeof(wide));
	else
		memcpy((char *)tn + offset, &value, sizeof(value));
}

#define FIELD(f_) offsetof(struct tuning, f_), sizeof(((struct tuning *)0)->f_)
#define SWEEP_VALUES 6
#define END_OF_VALUES UINT32_MAX /* ends a list of values */

struct sweep {
	const char *name;
	size_t offset, bytes;
	uint32_t values[SWEEP_VALUES];
	const char *scenarios[2];
	enum figure figures[3];
};

static const struct sweep sweeps[] = {
	{ "choices",
	  FIELD(route.choices),
	  { 1, 2, 3, 4, END_OF_VALUES },
	  { "noisy-75" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "report_age_times",
	  FIELD(route.report_age_times),
	  { 0, 1, 4, 16, END_OF_VALUES },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "outlier_times",
	  FIELD(route.outlier_times),
	  { 0, 3, 6, 12, END_OF_VALUES },
	  { "false-idle", "noisy-75" },
	  { P99, BAD_SHARE, BAD_RETURN_MS } },
	{ "overdue_times",
	  FIELD(route.overdue_times),
	  { 0, 2, 4, 8, END_OF_VALUES },
	  { "straggler", "noisy-75" },
	  { P99, BAD_SHARE, SENDS } },
	{ "full_permille",
	  FIELD(route.full_permille),
	  { 1001, 300, 500, 700, END_OF_VALUES },
	  { "noisy-75", "domain-lost-75" },
	  { P99, FAR_BYTES, REFUSE_PERMILLE } },
	{ "leave_us",
	  FIELD(route.leave_us),
	  { 0, 2000, 3000, 4000, END_OF_VALUES },
	  { "noisy-50", "noisy-75" },
	  { P99, DOMAIN_PERMILLE, FAR_BYTES } },
	{ "eject_permille",
	  FIELD(route.eject_permille),
	  { 1001, 300, 500, 800, END_OF_VALUES },
	  { "fast-errors" },
	  { ERROR_PERMILLE, BAD_SHARE, ATTEMPTS } },
	{ "ramp_us",
	  FIELD(route.ramp_us),
	  { 0, 500000, 1000000, 2000000, END_OF_VALUES },
	  { "fast-errors", "cold-50" },
	  { BAD_PEAK, BAD_RETURN_MS, GROWTH } },
	{ "stall_times",
	  FIELD(admit.stall_times),
	  { 0, 5, 8, 12, END_OF_VALUES },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "wait_us",
	  FIELD(admit.wait_us),
	  { 500, 1000, 2000, 4000, 1000000, END_OF_VALUES },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "reroute_permille",
	  FIELD(reroute_permille),
	  { 0, 500, 1000, 2000, END_OF_VALUES },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "retry_permille",
	  FIELD(retry_permille),
	  { 0, 10, 100, 500, END_OF_VALUES },
	  { "fast-errors", "outage" },
	  { ERROR_PERMILLE, ATTEMPTS, P99 } },
	{ "watch_bytes_per_s",
	  FIELD(watch_bytes_per_s),
	  { 0, 100, 1000, 4000, 16000, 1000000 },
	  { "noisy-75", "noisy-90" },
	  { P99, REPORT_BYTES, REFUSE_PERMILLE } },
	{ "hedge_us",
	  FIELD(hedge_us),
	  { 0, 20000, 40000, END_OF_VALUES },
	  { "noisy-75", "noisy-90" },
	  { P99, P999, ATTEMPTS } },
};

#define SWEEPS (sizeof(sweeps) / sizeof(sweeps[0]))

static void run_sweep(const struct sweep *sw, const struct scenario *sc)
{
	static double v[1][SEEDS][FIGURES];
	struct task tasks[SWEEP_SEEDS];
	struct spread sp;
	uint32_t i, s, f;

	for (i = 0; i < SWEEP_VALUES && sw->values[i] != END_OF_VALUES; i++) {
		for (s = 0; s < SWEEP_SEEDS; s++) {
			tasks[s] = (struct task){ .scenario = sc,
						  .tune = tuning_default(),
						  .policy = EBONYPIER,
						  .seed = s + 1 };
			set_field(&tasks[s].tune, sw->offset, sw->bytes,
				  sw->values[i]);
		}
		run_tasks(tasks, SWEEP_SEEDS);
		for (s = 0; s < SWEEP_SEEDS; s++)
			memcpy(v[0][s], tasks[s].out, sizeof(tasks[s].out));
		for (f = 0; f < 3; f++) {
			sp = spread_of(v, SWEEP_SEEDS, EBONYPIER,
				       sw->figures[f]);
			printf("{\"bench\":\"routing\",\"case\":\"%s\","
			       "\"size\":\"%s\",\"constant\":\"%s\","
			       "\"setting\":%u,\"seeds\":%d,\"figure\":\"%s\","
			       "\"value\":%.3f,\"least\":%.3f,\"most\":%.3f}\n",
			       sc->name, sc->size->name, sw->name,
			       sw->values[i], SWEEP_SEEDS,
			       figure_names[sw->figures[f]], sp.median,
			       sp.least, sp.most);
		}
	}
}

static void run_sweeps(void)
{
	uint32_t k, i, c;

	for (k = 0; k < SWEEPS; k++)
		for (i = 0; i < 2 && sweeps[k].scenarios[i]; i++)
			for (c = 0; c < CASES; c++)
				if (!strcmp(cases[c].scenario.name,
					    sweeps[k].scenarios[i]))
					run_sweep(&sweeps[k],
						  &cases[c].scenario);
}

/* ---- second copies of slow calls ---- */

/*
 * Noisy hosts and straggling runs; failure domain 0 is slow for a second. Loads
 * are shares of the goodput at saturation in this case, which is 612 (6x6) and
 * 742 (30x10) permille of all slots: gates leave a fifth of them free.
 */
#define SLOW_CALLS(size_, load_, name_)                                      \
	{                                                                    \
		.name = (name_), .size = &(size_), .load_permille = (load_), \
		.length_ms = 4500, .noise = 1, .phases = 4,                  \
		.straggle_permille = 5,                                      \
		.script = { { 2000, CHANGE_SLOW, 0, 500 },                   \
			    { 3000, CHANGE_SLOW, 0, 1000 } },                \
	}

static const struct scenario slow_calls[] = {
	SLOW_CALLS(today, 306, "hedge-50"), SLOW_CALLS(today, 459, "hedge-75"),
	SLOW_CALLS(today, 551, "hedge-90"), SLOW_CALLS(today, 673, "hedge-110"),
	SLOW_CALLS(large, 371, "hedge-50"), SLOW_CALLS(large, 557, "hedge-75"),
	SLOW_CALLS(large, 668, "hedge-90"), SLOW_CALLS(large, 816, "hedge-110"),
};

/* Runs the cases without copies and with at most 30 in 1,000 calls. */
static void run_hedging(void)
{
	static const enum figure shown[] = {
		P50, P99, P999, ATTEMPTS, REFUSE_PERMILLE, GOODPUT
	};
	static const uint32_t permille[] = { 0, 30 };
	static double v[1][SEEDS][FIGURES];
	struct task tasks[SEEDS];
	struct spread sp;
	uint32_t c, i, s, f;

	for (c = 0; c < sizeof(slow_calls) / sizeof(*slow_calls); c++)
		for (i = 0; i < 2; i++) {
			for (s = 0; s < SEEDS; s++) {
				tasks[s] = (struct task){
					.scenario = &slow_calls[c],
					.tune = tuning_default(),
					.policy = EBONYPIER,
					.seed = s + 1,
				};
				tasks[s].tune.hedge_permille = permille[i];
			}
			run_tasks(tasks, SEEDS);
			for (s = 0; s < SEEDS; s++)
				memcpy(v[0][s], tasks[s].out,
				       sizeof(tasks[s].out));
			for (f = 0; f < sizeof(shown) / sizeof(*shown); f++) {
				sp = spread_of(v, SEEDS, EBONYPIER, shown[f]);
				printf("{\"bench\":\"routing\",\"case\":\"%s\","
				       "\"size\":\"%s\",\"hedge_permille\":%u,"
				       "\"seeds\":%d,\"figure\":\"%s\","
				       "\"value\":%.3f,\"least\":%.3f,"
				       "\"most\":%.3f}\n",
				       slow_calls[c].name,
				       slow_calls[c].size->name, permille[i],
				       SEEDS, figure_names[shown[f]], sp.median,
				       sp.least, sp.most);
			}
		}
}

/* ---- case 4: amplification through a chain of services ---- */

struct level {
	struct eb_retry retries[SENDERS_MAX];
};

/*
 * Sends a call at a level, with its retries. The service behind the last level
 * is down; `bottom` counts the calls to it.
 */
static void chain_call(struct level *lv, uint32_t levels, struct eb_rand *rn,
		       uint64_t *bottom)
{
	struct eb_retry *rb = &lv->retries[eb_rand_below(rn, SENDERS_MAX)];
	struct eb_retry_attempt at = { .outcome = EB_OUTCOME_RAN,
				       .idempotent = 1,
				       .remaining_us = DEADLINE_US };

	eb_retry_request(rb);
	do {
		at.attempts++;
		if (levels > 1)
			chain_call(lv + 1, levels - 1, rn, bottom);
		else
			(*bottom)++;
	} while (eb_retry_allow(rb, &at));
}

/*
 * Prints the calls to the last service per call to the first one. Each daemon
 * receives 340 calls/s.
 */
static void run_chain(uint32_t levels, uint32_t seconds)
{
	uint32_t calls = seconds * 340 * SENDERS_MAX, i, l, s;
	struct level *lv = calloc(levels, sizeof(*lv));
	double all[SEEDS];
	struct eb_rand rn;
	uint64_t bottom;

	assert(lv);
	for (s = 0; s < SEEDS; s++) {
		eb_rand_seed(&rn, s + 1);
		for (l = 0; l < levels; l++)
			for (i = 0; i < SENDERS_MAX; i++)
				eb_retry_init(&lv[l].retries[i],
					      RETRY_PERMILLE);
		bottom = 0;
		for (i = 0; i < calls; i++)
			chain_call(lv, levels, &rn, &bottom);
		all[s] = (double)bottom / calls;
	}
	qsort(all, SEEDS, sizeof(all[0]), compare_doubles);
	printf("{\"bench\":\"routing\",\"case\":\"chain-%us\",\"size\":"
	       "\"%u-levels\",\"seeds\":%d,\"figure\":\"amplification\","
	       "\"value\":%.4f,\"least\":%.4f,\"most\":%.4f,"
	       "\"target\":\"at-most 1.1\",\"met\":%s}\n",
	       seconds, levels, SEEDS, all[SEEDS / 2], all[0], all[SEEDS - 1],
	       all[SEEDS / 2] <= 1.1 ? "true" : "false");
	free(lv);
}

/* Runs all cases, or those whose names begin with the argument. */
int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";
	uint32_t i;

	for (i = 0; i < CASES; i++)
		if (!strncmp(cases[i].scenario.name, only, strlen(only)))
			run_case(&cases[i]);
	if (!strncmp("chain", only, strlen(only))) {
		run_chain(4, 2);
		run_chain(21, 2);
		run_chain(4, 10);
		run_chain(21, 10);
	}
	run_priorities(only);
	if (!strncmp("hedge", only, strlen(only)))
		run_hedging();
	if (!strncmp("constants", only, strlen(only)))
		run_sweeps();
	return 0;
}
