/*
 * Routing benchmark: the real decision modules on a virtual clock, against
 * simple policies and an ideal, on the same arrivals. Each case is a row of
 * `cases` and a list of things that happen to its upstreams. One run is one
 * case, policy and seed; runs are independent and share nothing, so that the
 * threads that take them change no figure.
 */
#include <math.h>
#include <pthread.h>
#include <stddef.h>
#include <stdio.h>
#include <time.h>

#include "eb_admit.h"
#include "eb_rand.h"
#include "eb_retry.h"
#include "eb_route.h"
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
#define WATCH_BYTES_PER_S 4000 /* of load reports, each gate */
#define SEEDS 20
#define KNOB_SEEDS 10 /* for the neighbours of a constant */
#define THREADS 4
#define TARGETS 5
#define BASE_ATTEMPTS 3 /* of the baselines */
#define CALL_BYTES 4096 /* request and answer of one attempt */
#define NEVER INT64_MAX

/* One-way latency: same host, failure domain, region, other region. */
static const int64_t one_way_us[] = { 10, 100, 1000, 10000 };

enum policy {
	OURS,
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

/* What happens to the upstreams and senders of a case. */
enum act {
	ACT_SPEED,  /* value: speed in permille */
	ACT_FAIL,   /* value 1: errors in 0.1 ms */
	ACT_LIE,    /* value 1: load reports say idle */
	ACT_DOWN,   /* value 1: refuses connections */
	ACT_COLD,   /* restarts: empty, and slow for its first second */
	ACT_DOMAIN, /* value 1: the failure domain `who` is down */
	ACT_ALL,    /* value 1: every upstream returns errors */
	ACT_LOAD,   /* value: load in permille of capacity */
	ACT_PAUSE,  /* value: sender `who` stands still, in ms */
	ACT_LOSE,   /* value: load reports lost, in permille */
};

struct script {
	int64_t at_ms;
	enum act act;
	uint32_t who;
	uint32_t value;
};

struct size {
	const char *name;
	uint32_t ups, slots, senders;
};

static const struct size today = { "6x6", 6, 6, 18 };
static const struct size large = { "30x10", 30, 10, 100 };

/* The tuning of the product; each mechanism can be changed or turned off. */
struct tuning {
	struct eb_route_tuning route;
	struct eb_admit_tuning admit;
	uint32_t reroute_permille;
	uint32_t retry_permille;
	uint32_t watch_bytes_per_s;
	uint32_t hedge_us; /* a second copy after this time; 0: none */
};

struct scene {
	const char *name;
	const struct size *size;
	uint32_t load_permille;
	int64_t length_ms;
	uint8_t noise;
	uint8_t phases;	      /* of the work: 0 or 1: exponential */
	uint32_t bad;	      /* upstream whose share is followed */
	int64_t bad_from_ms;  /* 0: no upstream is bad */
	int64_t bad_until_ms; /* it has recovered */
	int64_t from_ms;      /* only arrivals from here on are measured */
	int64_t until_ms;     /* 0: to the end */
	struct script script[8];
};

enum figure {
	P50,
	P99,
	P999,
	ERROR_PERMILLE,	 /* failed requests of those that arrived */
	REFUSE_PERMILLE, /* not run */
	GOODPUT,	 /* permille of capacity, within the deadline */
	REFUSE_P99,	 /* time to a refusal */
	ATTEMPTS,	 /* attempts run by upstreams for 1000 requests */
	SENDS,		 /* attempts handed to gates for 1000 requests */
	DOMAIN_PERMILLE, /* run within the sender's failure domain */
	FAR_BYTES,	 /* between regions, for a request */
	BAD_SHARE,	 /* permille of the fair share, 200 ms after */
	BAD_RETURN_MS,	 /* from recovery to half of the fair share */
	BAD_PEAK,	 /* permille of the fair share in its busiest bin */
	RECOVER_MS,	 /* from the end of a burst to normal latency */
	GROWTH,		 /* p99 against that before the window */
	WATCH_BYTES,	 /* load reports, for a gate and second */
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

struct job {
	int64_t arrived_us;
	int64_t sent_us;
	int64_t work_us;
	int64_t started_us;
	double end; /* on the work clock of its upstream */
	uint32_t sender;
	uint32_t up;
	uint32_t tried[TRIED_MAX];
	struct eb_load load; /* as the answer carries it */
	uint8_t attempts;
	uint8_t mark; /* attempt number that the gate is told */
	uint8_t outcome;
	uint8_t reason;
	uint8_t failed;
	uint8_t ended;
	uint8_t orphan; /* its twin has ended the call */
	uint32_t twin;	/* index of the hedged copy + 1 */
};

struct host {
	struct eb_admit *admit;
	struct fifo queue; /* of the baselines */
	uint32_t running[16];
	uint32_t count;
	uint32_t timer; /* generation of the finish event */
	double clock, speed;
	int64_t clock_at_us;
	double base_speed, noise_speed, cold_speed;
	int64_t noise_end_us, cold_at_us, wake_us;
	uint32_t known_load; /* baselines: the last report */
	uint8_t fails, lies, down;
};

struct origin {
	struct eb_route *route;
	struct eb_retry retry;
	uint32_t in_flight[UPS_MAX];
	uint32_t turn;
	int64_t paused_until_us;
};

struct bin {
	uint32_t arrived, good, sends, bad_sends;
	double sum_us;
};

struct sim {
	const struct scene *sc;
	const struct tuning *tune;
	enum policy policy;
	int64_t now_us;
	struct events events;
	struct eb_rand arrivals, noise, choices;
	struct host hosts[UPS_MAX];
	struct origin origins[SENDERS_MAX];
	struct job *jobs;
	uint32_t job_space;
	struct fifo free_jobs;
	struct fifo waiting[REGIONS]; /* of the ideal */
	uint32_t load_permille, lose_permille;
	struct bin bins[BINS];
	struct times ok, refused, before;
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

/* ---- geometry ---- */

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

/* Mean speed under noise, for the capacity: slow 5.2 % of the time. */
#define NOISE_GAP_US 500000.0
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

/* ---- a fake upstream: slots that share one speed ---- */

static void host_timer(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	double first = INFINITY;
	uint32_t i;

	h->timer++;
	for (i = 0; i < h->count; i++)
		if (sm->jobs[h->running[i]].end < first)
			first = sm->jobs[h->running[i]].end;
	if (h->count && h->speed > 0)
		event_push(&sm->events,
			   sm->now_us +
				   (int64_t)ceil(fmax(first - h->clock, 0) /
						 h->speed),
			   EV_FINISH, u, h->timer);
}

static void host_clock(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];

	h->clock += (double)(sm->now_us - h->clock_at_us) * h->speed;
	h->clock_at_us = sm->now_us;
}

static void host_speed(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];

	host_clock(sm, u);
	h->speed = h->base_speed * h->noise_speed * h->cold_speed;
	host_timer(sm, u);
}

static void host_start(struct sim *sm, uint32_t u, uint32_t j)
{
	struct host *h = &sm->hosts[u];
	struct job *jb = &sm->jobs[j];

	host_clock(sm, u);
	jb->started_us = sm->now_us;
	jb->failed = h->fails;
	jb->end = h->clock + (h->fails ? 100 * h->speed : jb->work_us);
	h->running[h->count++] = j;
	sm->runs += measured(sm, jb->arrived_us);
	host_timer(sm, u);
}

/* ---- gates ---- */

static void reply(struct sim *sm, uint32_t j, int outcome, int reason)
{
	struct job *jb = &sm->jobs[j];
	struct host *h = &sm->hosts[jb->up];

	jb->outcome = (uint8_t)outcome;
	jb->reason = (uint8_t)reason;
	memset(&jb->load, 0, sizeof(jb->load));
	if (h->admit && !h->down) {
		eb_admit_report(h->admit, sm->now_us, &jb->load);
		sm->reports += jb->load.slots > 0;
		if (h->lies && jb->load.slots) {
			jb->load.in_flight = jb->load.queued = 0;
			jb->load.service_us = 500;
		}
	}
	event_push(&sm->events,
		   sm->now_us + one_way_us[distance(sm, jb->sender, jb->up)],
		   EV_REPLY, j, 0);
}

static void gate_act(struct sim *sm, uint32_t u,
		     const struct eb_admit_action *act)
{
	if (act->verdict == EB_ADMIT_RUN)
		host_start(sm, u, (uint32_t)act->id);
	else if (act->verdict == EB_ADMIT_REFUSE)
		reply(sm, (uint32_t)act->id, EB_OUTCOME_NOT_RUN, act->reason);
}

static void gate_next(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct eb_admit_action act;
	int64_t wake_us;

	while (eb_admit_next(h->admit, sm->now_us, &act))
		gate_act(sm, u, &act);
	wake_us = eb_admit_wake_us(h->admit);
	if (wake_us != NEVER &&
	    (wake_us < h->wake_us || h->wake_us <= sm->now_us)) {
		h->wake_us = wake_us > sm->now_us ? wake_us : sm->now_us + 1;
		event_push(&sm->events, h->wake_us, EV_WAKE, u, 0);
	}
}

static void at_gate(struct sim *sm, uint32_t j)
{
	struct job *jb = &sm->jobs[j];
	struct host *h = &sm->hosts[jb->up];
	struct eb_admit_request rq = { 0 };
	struct eb_admit_action act;

	if (h->down) {
		reply(sm, j, EB_OUTCOME_NOT_RUN, EB_REASON_CONNECT);
	} else if (sm->policy == OURS) {
		rq.id = j;
		rq.deadline_us = jb->arrived_us + DEADLINE_US;
		rq.idempotent = 1;
		rq.attempt = jb->mark;
		eb_admit_offer(h->admit, &rq, sm->now_us, &act);
		gate_act(sm, jb->up, &act);
		gate_next(sm, jb->up);
	} else if (h->count < sm->sc->size->slots) {
		host_start(sm, jb->up, j);
	} else {
		fifo_push(&h->queue, j);
	}
}

/* ---- the ideal: one queue, perfect and instant knowledge ---- */

static void ideal_start(struct sim *sm, uint32_t j, uint32_t u)
{
	struct job *jb = &sm->jobs[j];

	jb->up = u;
	/* The network is paid for, but never holds a slot. */
	host_start(sm, u, j);
}

/* Delay that the ideal expects from upstream u besides the work itself. */
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
	uint32_t u, best = UPS_MAX, s = sm->jobs[j].sender;
	uint32_t region = sender_domain(s) / DOMAINS;
	double cost, least = ideal_wait(sm, region);

	for (u = 0; u < sm->sc->size->ups; u++) {
		if (sm->hosts[u].count >= sm->sc->size->slots)
			continue;
		cost = ideal_cost(sm, u, region);
		/* Among equals, the nearest. */
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

/* Gives the free slots of an upstream to those that gain most by them. */
static void ideal_pull(struct sim *sm, uint32_t u)
{
	uint32_t home = host_domain(sm, u) / DOMAINS, i, r;

	for (i = 0; i < REGIONS; i++) {
		r = (home + i) % REGIONS;
		while (sm->waiting[r].count &&
		       sm->hosts[u].count < sm->sc->size->slots &&
		       ideal_cost(sm, u, r) < ideal_wait(sm, r))
			ideal_start(sm, fifo_pop(&sm->waiting[r]), u);
	}
}

/* ---- origins ---- */

static uint32_t new_job(struct sim *sm)
{
	uint32_t i, more = sm->job_space ? sm->job_space : 4096;

	if (!sm->free_jobs.count) {
		sm->jobs = realloc(sm->jobs,
				   (sm->job_space + more) * sizeof(*sm->jobs));
		assert(sm->jobs);
		for (i = 0; i < more; i++)
			fifo_push(&sm->free_jobs, sm->job_space + i);
		sm->job_space += more;
	}
	i = fifo_pop(&sm->free_jobs);
	memset(&sm->jobs[i], 0, sizeof(sm->jobs[i]));
	return i;
}

static uint32_t least_reported(struct sim *sm, uint32_t base, uint32_t n)
{
	uint32_t best = base, i, u, start = eb_rand_below(&sm->choices, n);

	for (i = 0; i < n; i++) {
		u = base + (start + i) % n;
		if (!i || sm->hosts[u].known_load < sm->hosts[best].known_load)
			best = u;
	}
	return best;
}

/* The baselines stay within the region of the sender. */
static uint32_t pick_baseline(struct sim *sm, uint32_t s)
{
	struct origin *o = &sm->origins[s];
	uint32_t n = sm->sc->size->ups / REGIONS;
	uint32_t base = sender_domain(s) / DOMAINS * n, a, b;

	switch (sm->policy) {
	case ROUND_ROBIN:
		return base + (s + o->turn++) % n;
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

/* The caller has its answer. */
static void job_end(struct sim *sm, uint32_t j)
{
	struct job *jb = &sm->jobs[j];
	int64_t took_us = sm->now_us - jb->arrived_us;
	struct bin *b = bin_now(sm, jb->arrived_us);
	int ok = jb->outcome == EB_OUTCOME_RAN && !jb->failed;

	if (ok && took_us <= DEADLINE_US) {
		b->good++;
		b->sum_us += (double)took_us;
	}
	if (ok && jb->arrived_us >= WARM_UP_US &&
	    jb->arrived_us < sm->sc->from_ms * 1000)
		times_add(&sm->before, took_us);
	if (measured(sm, jb->arrived_us)) {
		sm->arrived++;
		if (ok) {
			times_add(&sm->ok, took_us);
			sm->good += took_us <= DEADLINE_US;
		} else if (jb->outcome == EB_OUTCOME_NOT_RUN) {
			sm->refusals++;
			times_add(&sm->refused, took_us);
		} else {
			sm->errors++;
		}
	}
	jb->ended = 1;
	fifo_push(&sm->free_jobs, j);
}

static void send_job(struct sim *sm, uint32_t j)
{
	struct job *jb = &sm->jobs[j];
	struct origin *o = &sm->origins[jb->sender];
	struct eb_route_query q = { 0 };
	struct bin *b = bin_now(sm, sm->now_us);
	int d;

	if (sm->policy == OURS) {
		q.remaining_us = jb->arrived_us + DEADLINE_US - sm->now_us;
		q.idempotent = 1;
		q.tried = jb->tried;
		q.tried_count = jb->attempts;
		if (eb_route_pick(o->route, &q, sm->now_us, &jb->up) &&
		    (q.tried_count = 0,
		     eb_route_pick(o->route, &q, sm->now_us, &jb->up))) {
			jb->outcome = EB_OUTCOME_NOT_RUN;
			job_end(sm, j);
			return;
		}
		eb_route_sent(o->route, jb->up, sm->now_us);
		jb->mark = eb_retry_next_attempt(&o->retry, jb->attempts);
	} else {
		jb->up = pick_baseline(sm, jb->sender);
	}
	jb->tried[jb->attempts++ % TRIED_MAX] = jb->up;
	jb->sent_us = sm->now_us;
	o->in_flight[jb->up]++;
	d = distance(sm, jb->sender, jb->up);
	b->sends++;
	b->bad_sends += jb->up == sm->sc->bad;
	if (measured(sm, jb->arrived_us)) {
		sm->sends++;
		sm->far += d == EB_DISTANCE_FAR;
		sm->near += d <= EB_DISTANCE_DOMAIN;
	}
	event_push(&sm->events, sm->now_us + one_way_us[d], EV_GATE, j, 0);
}

static int retry_ours(struct sim *sm, struct job *jb)
{
	struct origin *o = &sm->origins[jb->sender];
	struct eb_route_result rs = { 0 };
	struct eb_retry_attempt at = { 0 };

	rs.outcome = jb->outcome;
	rs.reason = jb->reason;
	rs.status = jb->outcome != EB_OUTCOME_RAN ? 0 : jb->failed ? 500 : 200;
	rs.elapsed_us = sm->now_us - jb->sent_us;
	if (jb->load.slots &&
	    eb_rand_below(&sm->choices, 1000) >= sm->lose_permille)
		eb_route_load(o->route, jb->up, &jb->load, sm->now_us);
	eb_route_done(o->route, jb->up, &rs, sm->now_us);
	if (rs.status == 200) {
		eb_retry_success(&o->retry);
		return 0;
	}
	at.outcome = jb->outcome;
	at.reason = jb->reason;
	at.idempotent = 1;
	at.attempts = jb->attempts;
	at.mark = jb->mark;
	at.remaining_us = jb->arrived_us + DEADLINE_US - sm->now_us;
	return eb_retry_allow(&o->retry, &at);
}

/* Sends a second copy of a call that has no answer yet. */
static void hedge(struct sim *sm, uint32_t j, uint32_t arrived)
{
	uint32_t k;

	if ((uint32_t)sm->jobs[j].arrived_us != arrived || sm->jobs[j].twin ||
	    sm->jobs[j].orphan || sm->jobs[j].ended)
		return;
	k = new_job(sm);
	sm->jobs[k] = sm->jobs[j];
	sm->jobs[k].twin = j + 1;
	sm->jobs[j].twin = k + 1;
	send_job(sm, k);
}

/* Frees a copy whose twin goes on or has ended; returns 1 if it did. */
static int drop_twin(struct sim *sm, uint32_t j)
{
	struct job *jb = &sm->jobs[j];
	int good = jb->outcome == EB_OUTCOME_RAN && !jb->failed;

	if (jb->orphan) {
		fifo_push(&sm->free_jobs, j);
		return 1;
	}
	if (!jb->twin)
		return 0;
	sm->jobs[jb->twin - 1].twin = 0;
	sm->jobs[jb->twin - 1].orphan = (uint8_t)good;
	jb->twin = 0;
	if (good)
		return 0;
	jb->ended = 1;
	fifo_push(&sm->free_jobs, j);
	return 1;
}

static void at_origin(struct sim *sm, uint32_t j)
{
	struct job *jb = &sm->jobs[j];
	struct origin *o = &sm->origins[jb->sender];
	int again;

	if (o->paused_until_us > sm->now_us) {
		event_push(&sm->events, o->paused_until_us, EV_REPLY, j, 0);
		return;
	}
	if (sm->policy == IDEAL) {
		job_end(sm, j);
		return;
	}
	o->in_flight[jb->up]--;
	if (sm->policy == OURS)
		again = retry_ours(sm, jb);
	else
		again = (jb->failed || jb->outcome != EB_OUTCOME_RAN) &&
			jb->attempts < BASE_ATTEMPTS;
	if (sm->tune->hedge_us && drop_twin(sm, j))
		return;
	if (again)
		send_job(sm, j);
	else
		job_end(sm, j);
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
	uint32_t j = new_job(sm), s;
	struct job *jb = &sm->jobs[j];

	event_push(&sm->events,
		   sm->now_us + 1 +
			   (int64_t)random_exp(&sm->arrivals, 1 / rate),
		   EV_ARRIVE, 0, 0);
	s = eb_rand_below(&sm->arrivals, sm->sc->size->senders);
	jb->sender = s;
	jb->arrived_us = sm->now_us;
	jb->work_us = draw_work(sm);
	bin_now(sm, sm->now_us)->arrived++;
	/* The callers of a sender that stands still are with another one. */
	while (sm->origins[jb->sender].paused_until_us > sm->now_us)
		jb->sender = (jb->sender + 1) % sm->sc->size->senders;
	if (sm->policy == IDEAL) {
		ideal_arrive(sm, j);
		return;
	}
	if (sm->policy == OURS)
		eb_retry_request(&sm->origins[jb->sender].retry);
	if (sm->policy == OURS && sm->tune->hedge_us)
		event_push(&sm->events, sm->now_us + sm->tune->hedge_us,
			   EV_HEDGE, j, (uint32_t)sm->now_us);
	send_job(sm, j);
}

static void finish(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct job *jb;
	uint32_t i = 0, j;

	host_clock(sm, u);
	while (i < h->count) {
		j = h->running[i];
		jb = &sm->jobs[j];
		if (jb->end > h->clock + 1e-6) {
			i++;
			continue;
		}
		h->running[i] = h->running[--h->count];
		if (sm->policy == OURS)
			eb_admit_done(h->admit, j,
				      jb->failed ? 0
						 : sm->now_us - jb->started_us,
				      sm->now_us);
		if (sm->policy == IDEAL) {
			jb->outcome = EB_OUTCOME_RAN;
			event_push(&sm->events,
				   sm->now_us + 2 * one_way_us[distance(
							    sm, jb->sender, u)],
				   EV_REPLY, j, 0);
		} else {
			reply(sm, j, EB_OUTCOME_RAN, 0);
		}
	}
	host_timer(sm, u);
	if (sm->policy == OURS)
		gate_next(sm, u);
	else if (sm->policy == IDEAL)
		ideal_pull(sm, u);
	else
		while (h->queue.count && h->count < sm->sc->size->slots)
			host_start(sm, u, fifo_pop(&h->queue));
}

/* Slow by 5 to 20 times for 5 to 50 ms, then normal for a random time. */
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
	host_speed(sm, u);
	if (sm->policy == IDEAL)
		ideal_pull(sm, u);
}

/* Everything that runs on or waits at the upstream is lost. */
static void crash(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	struct eb_admit_config cf = { sm->sc->size->slots, QUEUE_MAX,
				      sm->tune->watch_bytes_per_s };

	h->timer++;
	while (h->count) {
		if (sm->policy == OURS)
			eb_admit_done(h->admit, 0, -1, sm->now_us);
		reply(sm, h->running[--h->count], EB_OUTCOME_UNKNOWN,
		      EB_REASON_UPSTREAM_CLOSED);
	}
	while (h->queue.count)
		reply(sm, fifo_pop(&h->queue), EB_OUTCOME_NOT_RUN,
		      EB_REASON_CONNECT);
	if (sm->policy != OURS)
		return;
	eb_admit_drain(h->admit, 0);
	eb_admit_configure(h->admit, &cf);
	gate_next(sm, u);
}

static void act_on_host(struct sim *sm, uint32_t u, const struct script *a)
{
	struct host *h = &sm->hosts[u];
	uint32_t s;

	if (a->act == ACT_SPEED)
		h->base_speed = a->value / 1000.0;
	if (a->act == ACT_FAIL || a->act == ACT_ALL)
		h->fails = (uint8_t)a->value;
	if (a->act == ACT_LIE)
		h->lies = (uint8_t)a->value;
	if (a->act == ACT_DOWN || a->act == ACT_DOMAIN) {
		h->down = (uint8_t)a->value;
		if (h->down)
			crash(sm, u);
	}
	if (a->act == ACT_COLD) {
		crash(sm, u);
		h->cold_at_us = sm->now_us;
		event_push(&sm->events, sm->now_us, EV_COLD, u, 0);
		if (sm->policy == OURS) {
			for (s = 0; s < sm->sc->size->senders; s++)
				eb_route_restarted(sm->origins[s].route, u,
						   sm->now_us);
		}
	}
	host_speed(sm, u);
}

static void play(struct sim *sm, const struct script *a)
{
	uint32_t u;

	if (a->act == ACT_LOAD)
		sm->load_permille = a->value;
	else if (a->act == ACT_LOSE)
		sm->lose_permille = a->value;
	else if (a->act == ACT_PAUSE)
		sm->origins[a->who].paused_until_us =
			sm->now_us + a->value * 1000;
	else if (a->act != ACT_DOMAIN && a->act != ACT_ALL)
		act_on_host(sm, a->who, a);
	else
		for (u = 0; u < sm->sc->size->ups; u++)
			if (a->act == ACT_ALL || host_domain(sm, u) == a->who)
				act_on_host(sm, u, a);
}

static void cold(struct sim *sm, uint32_t u)
{
	struct host *h = &sm->hosts[u];
	double age_s = (double)(sm->now_us - h->cold_at_us) / 1e6;

	h->cold_speed = age_s > 5 ? 1 : 1 / (1 + 4 * exp(-3 * age_s));
	host_speed(sm, u);
	if (h->cold_speed < 1)
		event_push(&sm->events, sm->now_us + 50000, EV_COLD, u, 0);
}

static void report(struct sim *sm)
{
	static const int64_t every_us[POLICIES] = {
		[LEAST_100MS] = 100000,
		[LEAST_1S] = 1000000,
		[LEAST_5S] = 5000000,
	};
	uint32_t u;

	for (u = 0; u < sm->sc->size->ups; u++)
		sm->hosts[u].known_load =
			sm->hosts[u].lies
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
		at_gate(sm, e->who);
		break;
	case EV_FINISH:
		if (e->what == sm->hosts[e->who].timer)
			finish(sm, e->who);
		break;
	case EV_REPLY:
		at_origin(sm, e->who);
		break;
	case EV_NOISE:
		noise(sm, e->who);
		break;
	case EV_WAKE:
		gate_next(sm, e->who);
		break;
	case EV_SCRIPT:
		play(sm, &sm->sc->script[e->what]);
		break;
	case EV_REPORT:
		report(sm);
		break;
	case EV_COLD:
		cold(sm, e->who);
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
		if (sm->policy == OURS) {
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
	for (s = 0; s < sm->sc->size->senders && sm->policy == OURS; s++) {
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
	}
}

static void sim_free(struct sim *sm)
{
	uint32_t i;

	for (i = 0; i < UPS_MAX; i++) {
		eb_admit_free(sm->hosts[i].admit);
		free(sm->hosts[i].queue.items);
	}
	for (i = 0; i < SENDERS_MAX; i++)
		eb_route_free(sm->origins[i].route);
	for (i = 0; i < REGIONS; i++)
		free(sm->waiting[i].items);
	free(sm->free_jobs.items);
	free(sm->events.heap);
	free(sm->jobs);
	free(sm->ok.us);
	free(sm->refused.us);
	free(sm->before.us);
	free(sm);
}

static void bad_figures(const struct sim *sm, double *out)
{
	const struct scene *sc = sm->sc;
	uint32_t i, from = (uint32_t)((sc->bad_from_ms + 200) * 1000 / BIN_US);
	uint32_t until = (uint32_t)(sc->bad_until_ms * 1000 / BIN_US);
	uint32_t end = (uint32_t)(sc->length_ms * 1000 / BIN_US);
	double sends = 0, bad = 0, share, back = -1;

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
		if (back < 0 && share >= 500)
			back = (double)(i - until + 1) * BIN_US / 1000;
	}
	out[BAD_RETURN_MS] = back < 0 ? 1e6 : back;
}

/* Time from the end of the burst until two bins in a row are normal. */
static double recover_ms(const struct sim *sm)
{
	uint32_t end = (uint32_t)(sm->sc->until_ms * 1000 / BIN_US);
	uint32_t last = (uint32_t)(sm->sc->length_ms * 1000 / BIN_US), i,
		 in = 0;
	double usual = 0, n = 0, mean;

	for (i = WARM_UP_US / BIN_US; i < sm->sc->from_ms * 1000 / BIN_US;
	     i++) {
		usual += sm->bins[i].sum_us;
		n += sm->bins[i].good;
	}
	usual /= n > 0 ? n : 1;
	for (i = end; i < last; i++) {
		mean = sm->bins[i].sum_us /
		       (sm->bins[i].good ? sm->bins[i].good : 1);
		in = mean < 1.5 * usual && sm->bins[i].good * 100 >=
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
	const struct scene *sc = sm->sc;
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
	out[WATCH_BYTES] = (double)sm->reports * EB_ADMIT_REPORT_BYTES * 1000 /
			   ((double)sc->length_ms * sc->size->ups);
	if (sc->bad_from_ms)
		bad_figures(sm, out);
	if (sc->until_ms)
		out[RECOVER_MS] = recover_ms(sm);
}

static void run(const struct scene *sc, const struct tuning *tn,
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
	NONE, /* reported without a target */
	AT_MOST,
	AT_LEAST,
	TIMES_OF, /* at most `bound` times the figure of `than` */
	BEST_OF,  /* at most `bound` times that of the best baseline */
};

struct target {
	enum figure figure;
	enum relation relation;
	double bound;
	enum policy than;
};

struct test_case {
	struct scene scene;
	uint32_t policies; /* those that run, one bit each */
	struct target targets[TARGETS];
};

#define ALL ((1U << POLICIES) - 1)
#define SOLO (1U << OURS)
#define PAIR (SOLO | 1U << IDEAL)

#define NOISY(size_, load_, phases_, name_)                            \
	{                                                              \
		{ .name = (name_),                                     \
		  .size = &(size_),                                    \
		  .load_permille = (load_),                            \
		  .length_ms = 3000,                                   \
		  .noise = 1,                                          \
		  .phases = (phases_) },                               \
			ALL,                                           \
			{ { P99, TIMES_OF, 1.25, IDEAL },              \
			  { P99, (load_) == 750 ? BEST_OF : NONE, 0.5, \
			    RANDOM },                                  \
			  { P999, NONE, 0, IDEAL },                    \
			  { REFUSE_PERMILLE, NONE, 0, OURS },          \
			  { SENDS, NONE, 0, OURS } },                  \
	}

#define RESTORED(act_) ((act_) == ACT_SPEED ? 1000 : 0)
#define BAD(size_, name_, act_, value_, act2_, value2_)                \
	{                                                              \
		{ .name = (name_),                                     \
		  .size = &(size_),                                    \
		  .load_permille = 500,                                \
		  .length_ms = 8000,                                   \
		  .bad = 1,                                            \
		  .bad_from_ms = 1000,                                 \
		  .bad_until_ms = 4000,                                \
		  .script = { { 1000, act_, 1, value_ },               \
			      { 1000, act2_, 1, value2_ },             \
			      { 4000, act_, 1, RESTORED(act_) },       \
			      { 4000, act2_, 1, RESTORED(act2_) } } }, \
			SOLO | 1U << RANDOM | 1U << TWO_CHOICES,       \
			{ { BAD_SHARE, AT_MOST, 100, RANDOM },         \
			  { ERROR_PERMILLE, AT_MOST, 1, RANDOM },      \
			  { BAD_RETURN_MS, AT_MOST, 5000, OURS },      \
			  { BAD_PEAK, AT_MOST, 1500, RANDOM },         \
			  { P99, NONE, 0, TWO_CHOICES } },             \
	}

#define BURST(size_, load_, name_)                                             \
	{                                                                      \
		{ .name = (name_),                                             \
		  .size = &(size_),                                            \
		  .load_permille = 500,                                        \
		  .length_ms = 4500,                                           \
		  .from_ms = 1000,                                             \
		  .until_ms = 2500,                                            \
		  .script = { { 1000, ACT_LOAD, 0, load_ },                    \
			      { 2500, ACT_LOAD, 0, 500 } } },                  \
			SOLO | 1U << RANDOM | 1U << TWO_CHOICES,               \
			{ { GOODPUT, AT_LEAST, 950, TWO_CHOICES },             \
			  { P99, AT_MOST, DEADLINE_US / 1000.0, TWO_CHOICES }, \
			  { REFUSE_P99, AT_MOST, 10, OURS },                   \
			  { RECOVER_MS, AT_MOST, 500, TWO_CHOICES },           \
			  { SENDS, NONE, 0, OURS } },                          \
	}

#define DOWN(size_, name_)                                         \
	{                                                          \
		{ .name = (name_),                                 \
		  .size = &(size_),                                \
		  .load_permille = 500,                            \
		  .length_ms = 6000,                               \
		  .from_ms = 1000,                                 \
		  .until_ms = 4000,                                \
		  .script = { { 1000, ACT_ALL, 0, 1 },             \
			      { 4000, ACT_ALL, 0, 0 } } },         \
			SOLO | 1U << RANDOM,                       \
			{ { ATTEMPTS, AT_MOST, 1100, RANDOM },     \
			  { RECOVER_MS, AT_MOST, 3000, RANDOM } }, \
	}

#define COLD(size_, load_, name_)                                     \
	{                                                             \
		{ .name = (name_),                                    \
		  .size = &(size_),                                   \
		  .load_permille = (load_),                           \
		  .length_ms = 6000,                                  \
		  .from_ms = 3000,                                    \
		  .until_ms = 5000,                                   \
		  .script = { { 3000, ACT_COLD, 1, 0 } } },           \
			SOLO | 1U << RANDOM | 1U << TWO_CHOICES,      \
			{ { GROWTH, AT_MOST, 1.5, TWO_CHOICES },      \
			  { ERROR_PERMILLE, NONE, 0, TWO_CHOICES } }, \
	}

#define HOME(size_, noise_, name_)                                  \
	{                                                           \
		{ .name = (name_),                                  \
		  .size = &(size_),                                 \
		  .load_permille = 500,                             \
		  .length_ms = 3000,                                \
		  .noise = (noise_) },                              \
			PAIR,                                       \
			{ { DOMAIN_PERMILLE, AT_LEAST, 900, OURS }, \
			  { FAR_BYTES, AT_MOST, 0, OURS },          \
			  { P99, TIMES_OF, 1.25, IDEAL } },         \
	}

#define LOST(size_, load_, name_)                                  \
	{                                                          \
		{ .name = (name_),                                 \
		  .size = &(size_),                                \
		  .load_permille = (load_),                        \
		  .length_ms = 6000,                               \
		  .from_ms = 1000,                                 \
		  .until_ms = 3000,                                \
		  .script = { { 1000, ACT_DOMAIN, 0, 1 },          \
			      { 3000, ACT_DOMAIN, 0, 0 } } },      \
			PAIR | 1U << RANDOM,                       \
			{ { P99, NONE, 0, IDEAL },                 \
			  { FAR_BYTES, NONE, 0, OURS },            \
			  { ERROR_PERMILLE, AT_MOST, 1, RANDOM },  \
			  { REFUSE_PERMILLE, AT_MOST, 1, RANDOM }, \
			  { RECOVER_MS, NONE, 0, OURS } },         \
	}

#define PAIRED(name_, noise_, ...)                                     \
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
			PAIR | 1U << RANDOM | 1U << TWO_CHOICES,       \
			{ { P99, TIMES_OF, 1.25, IDEAL },              \
			  { ERROR_PERMILLE, AT_MOST, 1, TWO_CHOICES }, \
			  { REFUSE_PERMILLE, NONE, 0, OURS },          \
			  { BAD_SHARE, NONE, 0, TWO_CHOICES } },       \
	}

static const struct test_case cases[] = {
	/* Case 1: noisy hosts. */
	NOISY(today, 500, 1, "noisy-50"),
	NOISY(today, 750, 1, "noisy-75"),
	NOISY(today, 900, 1, "noisy-90"),
	NOISY(large, 500, 1, "noisy-50"),
	NOISY(large, 750, 1, "noisy-75"),
	NOISY(large, 900, 1, "noisy-90"),
	NOISY(today, 750, 4, "noisy-even-75"),
	NOISY(large, 750, 4, "noisy-even-75"),
	/* Case 2: an upstream that is bad and looks healthy. */
	BAD(today, "straggler", ACT_SPEED, 50, ACT_SPEED, 50),
	BAD(large, "straggler", ACT_SPEED, 50, ACT_SPEED, 50),
	BAD(today, "false-idle", ACT_SPEED, 50, ACT_LIE, 1),
	BAD(large, "false-idle", ACT_SPEED, 50, ACT_LIE, 1),
	BAD(today, "fast-errors", ACT_FAIL, 1, ACT_FAIL, 1),
	BAD(large, "fast-errors", ACT_FAIL, 1, ACT_FAIL, 1),
	/* Case 3: overload, and what is left of it after the burst. */
	BURST(today, 1500, "overload-1.5"),
	BURST(today, 2000, "overload-2"),
	BURST(today, 5000, "overload-5"),
	BURST(large, 1500, "overload-1.5"),
	BURST(large, 2000, "overload-2"),
	BURST(large, 5000, "overload-5"),
	/* Case 4: a service that is down; see also chain() below. */
	DOWN(today, "outage"),
	DOWN(large, "outage"),
	/* Case 5, unfair callers, is not here yet. */
	/* Case 6: an upstream restarts and is slow for its first second. */
	COLD(today, 500, "cold-50"),
	COLD(large, 500, "cold-50"),
	COLD(large, 750, "cold-75"),
	/* Case 7: locality, and the loss of a failure domain. */
	HOME(today, 0, "locality"),
	HOME(today, 1, "locality-noisy"),
	HOME(large, 0, "locality"),
	HOME(large, 1, "locality-noisy"),
	LOST(today, 500, "domain-lost-50"),
	LOST(large, 500, "domain-lost-50"),
	LOST(large, 750, "domain-lost-75"),
	/* Case 9, crashing requests, is not here yet. */
	/* Case 10: two faults at a time. */
	PAIRED("paused-senders+noise", 1, { 1000, ACT_PAUSE, 0, 300 },
	       { 1000, ACT_PAUSE, 1, 300 }, { 2000, ACT_PAUSE, 2, 300 },
	       { 2000, ACT_PAUSE, 3, 300 }),
	PAIRED("lost-reports+noise", 1, { 500, ACT_LOSE, 0, 1000 }),
	PAIRED("lost-reports+straggler", 0, { 500, ACT_LOSE, 0, 1000 },
	       { 1000, ACT_SPEED, 1, 50 }),
	PAIRED("straggler+noise", 1, { 1000, ACT_SPEED, 1, 50 }),
	PAIRED("straggler+fast-errors", 0, { 1000, ACT_SPEED, 1, 50 },
	       { 1000, ACT_FAIL, 2, 1 }),
	PAIRED("fast-errors+noise", 1, { 1000, ACT_FAIL, 1, 1 }),
	PAIRED("two-fast-errors", 0, { 1000, ACT_FAIL, 1, 1 },
	       { 1000, ACT_FAIL, 2, 1 }),
	PAIRED("overload-2+straggler", 0, { 1000, ACT_SPEED, 1, 50 },
	       { 1000, ACT_LOAD, 0, 2000 }, { 3000, ACT_LOAD, 0, 500 }),
	PAIRED("cold+noise", 1, { 1000, ACT_COLD, 1, 0 }),
	PAIRED("domain-lost+noise", 1, { 1000, ACT_DOMAIN, 0, 1 }),
	PAIRED("domain-lost+straggler", 0, { 1000, ACT_DOMAIN, 0, 1 },
	       { 1000, ACT_SPEED, 9, 50 }),
};

#define CASES (sizeof(cases) / sizeof(cases[0]))

/* ---- running them all, and the report ---- */

struct task {
	const struct scene *scene;
	struct tuning tune;
	enum policy policy;
	uint64_t seed;
	double out[FIGURES];
};

struct crew {
	struct task *tasks;
	uint32_t count;
	uint32_t next;
};

static void *work(void *arg)
{
	struct crew *cw = arg;
	struct task *t;
	uint32_t i;

	while ((i = __atomic_fetch_add(&cw->next, 1, __ATOMIC_RELAXED)) <
	       cw->count) {
		t = &cw->tasks[i];
		run(t->scene, &t->tune, t->policy, t->seed, t->out);
	}
	return NULL;
}

static void run_tasks(struct task *tasks, uint32_t count)
{
	struct crew cw = { tasks, count, 0 };
	pthread_t threads[THREADS];
	int i;

	for (i = 0; i < THREADS; i++)
		if (pthread_create(&threads[i], NULL, work, &cw))
			abort();
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
}

static struct tuning tuning_default(void)
{
	struct tuning tn = {
		eb_route_tuning_default, eb_admit_tuning_default, 0,
		RETRY_PERMILLE,		 WATCH_BYTES_PER_S,	  0
	};
	struct eb_retry rb;

	eb_retry_init(&rb, RETRY_PERMILLE);
	tn.reroute_permille = rb.reroute_permille;
	return tn;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
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
		if (p == OURS || !(tc->policies & 1U << p))
			continue;
		for (s = 0; s < SEEDS; s++)
			printf("{\"bench\":\"routing\",\"case\":\"%s\","
			       "\"size\":\"%s\",\"seed\":%u,\"figure\":\"%s\","
			       "\"value\":%.3f,\"baseline\":\"%s\","
			       "\"baseline_value\":%.3f}\n",
			       tc->scene.name, tc->scene.size->name, s + 1,
			       figure_names[tg->figure], v[OURS][s][tg->figure],
			       policy_names[p], v[p][s][tg->figure]);
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

/* Prints the spread over the seeds, the target and whether it is met. */
static void print_target(const struct test_case *tc, const struct target *tg,
			 double v[][SEEDS][FIGURES])
{
	static const char *const words[] = { "none", "at-most", "at-least",
					     "times-of", "times-of-best" };
	struct spread own = spread_of(v, SEEDS, OURS, tg->figure), base;
	enum policy than = tg->than;
	double value = own.median;

	if (tg->relation == BEST_OF)
		than = best_baseline(tc, tg->figure, v);
	base = spread_of(v, SEEDS, than, tg->figure);
	if (tg->relation >= TIMES_OF)
		value = own.median / base.median;
	printf("{\"bench\":\"routing\",\"case\":\"%s\",\"size\":\"%s\","
	       "\"seeds\":%d,\"figure\":\"%s\",\"value\":%.3f,\"least\":%.3f,"
	       "\"most\":%.3f",
	       tc->scene.name, tc->scene.size->name, SEEDS,
	       figure_names[tg->figure], own.median, own.least, own.most);
	if (than != OURS && tc->policies & 1U << than)
		printf(",\"baseline\":\"%s\",\"baseline_value\":%.3f,"
		       "\"ratio\":%.3f",
		       policy_names[than], base.median,
		       base.median > 0 ? own.median / base.median : 0);
	if (tg->relation != NONE)
		printf(",\"target\":\"%s %g\",\"met\":%s", words[tg->relation],
		       tg->bound,
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
			tasks[n++] = (struct task){ .scene = &tc->scene,
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

/* ---- each constant, its neighbours and off ---- */

/* Sets a field of the tuning, which has 4 or 8 bytes. */
static void turn(struct tuning *tn, size_t offset, size_t bytes, uint32_t value)
{
	int64_t wide = value;

	if (bytes == sizeof(wide))
		memcpy((char *)tn + offset, &wide, sizeof(wide));
	else
		memcpy((char *)tn + offset, &value, sizeof(value));
}

#define FIELD(f_) offsetof(struct tuning, f_), sizeof(((struct tuning *)0)->f_)
#define KNOB_VALUES 6
#define LAST UINT32_MAX /* ends a list of values */

struct knob {
	const char *name;
	size_t offset, bytes;
	uint32_t values[KNOB_VALUES];
	const char *scenes[2];
	enum figure figures[3];
};

static const struct knob knobs[] = {
	{ "choices",
	  FIELD(route.choices),
	  { 1, 2, 3, 4, LAST },
	  { "noisy-75" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "report_age_times",
	  FIELD(route.report_age_times),
	  { 0, 1, 4, 16, LAST },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "outlier_times",
	  FIELD(route.outlier_times),
	  { 0, 3, 6, 12, LAST },
	  { "false-idle", "noisy-75" },
	  { P99, BAD_SHARE, BAD_RETURN_MS } },
	{ "overdue_times",
	  FIELD(route.overdue_times),
	  { 0, 2, 4, 8, LAST },
	  { "straggler", "noisy-75" },
	  { P99, BAD_SHARE, SENDS } },
	{ "full_permille",
	  FIELD(route.full_permille),
	  { 1001, 300, 500, 700, LAST },
	  { "noisy-75", "domain-lost-75" },
	  { P99, FAR_BYTES, REFUSE_PERMILLE } },
	{ "leave_us",
	  FIELD(route.leave_us),
	  { 0, 2000, 3000, 4000, LAST },
	  { "noisy-50", "noisy-75" },
	  { P99, DOMAIN_PERMILLE, FAR_BYTES } },
	{ "eject_permille",
	  FIELD(route.eject_permille),
	  { 1001, 300, 500, 800, LAST },
	  { "fast-errors" },
	  { ERROR_PERMILLE, BAD_SHARE, ATTEMPTS } },
	{ "ramp_us",
	  FIELD(route.ramp_us),
	  { 0, 500000, 1000000, 2000000, LAST },
	  { "fast-errors", "cold-50" },
	  { BAD_PEAK, BAD_RETURN_MS, GROWTH } },
	{ "stall_times",
	  FIELD(admit.stall_times),
	  { 0, 5, 8, 12, LAST },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "wait_us",
	  FIELD(admit.wait_us),
	  { 500, 1000, 2000, 4000, 1000000, LAST },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "reroute_permille",
	  FIELD(reroute_permille),
	  { 0, 500, 1000, 2000, LAST },
	  { "noisy-75", "noisy-90" },
	  { P99, SENDS, REFUSE_PERMILLE } },
	{ "retry_permille",
	  FIELD(retry_permille),
	  { 0, 10, 100, 500, LAST },
	  { "fast-errors", "outage" },
	  { ERROR_PERMILLE, ATTEMPTS, P99 } },
	{ "watch_bytes_per_s",
	  FIELD(watch_bytes_per_s),
	  { 0, 100, 1000, 4000, 16000, 1000000 },
	  { "noisy-75", "noisy-90" },
	  { P99, WATCH_BYTES, REFUSE_PERMILLE } },
	{ "hedge_us",
	  FIELD(hedge_us),
	  { 0, 20000, 40000, LAST },
	  { "noisy-75", "noisy-90" },
	  { P99, P999, ATTEMPTS } },
};

#define KNOBS (sizeof(knobs) / sizeof(knobs[0]))

static void run_knob(const struct knob *kn, const struct scene *sc)
{
	static double v[1][SEEDS][FIGURES];
	struct task tasks[KNOB_SEEDS];
	struct spread sp;
	uint32_t i, s, f;

	for (i = 0; i < KNOB_VALUES && kn->values[i] != LAST; i++) {
		for (s = 0; s < KNOB_SEEDS; s++) {
			tasks[s] = (struct task){ .scene = sc,
						  .tune = tuning_default(),
						  .policy = OURS,
						  .seed = s + 1 };
			turn(&tasks[s].tune, kn->offset, kn->bytes,
			     kn->values[i]);
		}
		run_tasks(tasks, KNOB_SEEDS);
		for (s = 0; s < KNOB_SEEDS; s++)
			memcpy(v[0][s], tasks[s].out, sizeof(tasks[s].out));
		for (f = 0; f < 3; f++) {
			sp = spread_of(v, KNOB_SEEDS, OURS, kn->figures[f]);
			printf("{\"bench\":\"routing\",\"case\":\"%s\","
			       "\"size\":\"%s\",\"constant\":\"%s\","
			       "\"setting\":%u,\"seeds\":%d,\"figure\":\"%s\","
			       "\"value\":%.3f,\"least\":%.3f,\"most\":%.3f}\n",
			       sc->name, sc->size->name, kn->name,
			       kn->values[i], KNOB_SEEDS,
			       figure_names[kn->figures[f]], sp.median,
			       sp.least, sp.most);
		}
	}
}

static void run_knobs(void)
{
	uint32_t k, i, c;

	for (k = 0; k < KNOBS; k++)
		for (i = 0; i < 2 && knobs[k].scenes[i]; i++)
			for (c = 0; c < CASES; c++)
				if (!strcmp(cases[c].scene.name,
					    knobs[k].scenes[i]))
					run_knob(&knobs[k], &cases[c].scene);
}

/* ---- case 4: amplification through a chain of services ---- */

struct level {
	struct eb_retry retries[SENDERS_MAX];
};

/* One call at a level; the service behind the last level is down. */
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

/* Calls at the bottom for 1000 at the top; 340 calls/s for each daemon. */
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

/* Runs every case, or only those whose name begins with the argument. */
int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";
	uint32_t i;

	for (i = 0; i < CASES; i++)
		if (!strncmp(cases[i].scene.name, only, strlen(only)))
			run_case(&cases[i]);
	if (!strncmp("chain", only, strlen(only))) {
		run_chain(4, 2);
		run_chain(21, 2);
		run_chain(4, 10);
		run_chain(21, 10);
	}
	if (!strncmp("constants", only, strlen(only)))
		run_knobs();
	return 0;
}
