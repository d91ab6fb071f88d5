#ifndef PRIORITIES_H
#define PRIORITIES_H

#include <math.h>
#include <stdio.h>

#include "eb_admit.h"
#include "eb_rand.h"
#include "eb_retry.h"
#include "eb_route.h"
#include "eb_urgency.h"
#include "virtual.h"

/*
 * Case `priorities` of the routing benchmark: a service with 13 upstreams gets
 * kinds of requests of different urgency. An upstream slows down above 80 % of
 * its slots; a quarter of the hosts is four times slower, another quarter every
 * 300 ms. Prints the share of each kind that was answered on time and that was
 * refused, with the decisions by urgency and without.
 */
#define PR_UPS 13
#define PR_SLOTS 6
#define PR_QUEUE 64
#define PR_ORIGINS 60
#define PR_SEEDS 10
#define PR_LENGTH_US 24000000
#define PR_WARM_UP_US 3000000
#define PR_NOISE_US 300000
#define PR_PACE_DELAY_US 50000 /* until a probe has found the new speed */
#define PR_BURST_PERIOD_US 6000000
#define PR_BURST_US 2000000
#define PR_KNEE_TIMES 1.7
#define PR_EAGER_US 1000 /* after which an eager caller retries */
#define PR_KINDS 4

struct pr_kind {
	const char *name;
	uint8_t priority;
	double per_s;
	double burst_times;
	int64_t work_us;
	int64_t objective_us;
	int64_t deadline_us;
	uint32_t bytes;
	uint32_t first_origin; /* its callers are at this one and later ones */
	uint8_t eager; /* one caller, which retries at once after a refusal */
};

struct pr_load {
	const char *name;
	double times; /* of the rates of all kinds */
	uint8_t one_priority;
	struct pr_kind kinds[PR_KINDS];
};

struct pr_call {
	int64_t arrived_us, sent_us, started_us, work_us;
	double end; /* on the work clock of its upstream */
	uint32_t kind, origin, upstream;
	uint32_t tried[EB_ATTEMPTS_MAX];
	struct eb_load load;
	uint8_t attempts, mark, outcome, reason;
};

struct pr_host {
	struct eb_admit *admit;
	uint32_t running[PR_SLOTS];
	uint32_t count, timer;
	double clock, speed, noise_speed;
	int64_t clock_at_us, wake_us;
};

struct pr_origin {
	struct eb_route *route;
	struct eb_retry retry;
	struct eb_urgency urgency;
};

struct pr_result {
	double arrived, on_time, refused;
};

struct pr_sim {
	const struct pr_load *load;
	int urgency;
	int64_t now_us;
	struct events events;
	struct eb_rand rand, noise;
	struct pr_host hosts[PR_UPS];
	struct pr_origin origins[PR_ORIGINS];
	struct pr_call *calls;
	uint32_t space;
	struct fifo free_calls;
	struct pr_result results[PR_KINDS];
};

enum pr_event {
	PR_ARRIVE,
	PR_GATE,
	PR_FINISH,
	PR_REPLY,
	PR_NOISE,
	PR_PACE,
	PR_WAKE,
	PR_AGAIN
};

static int pr_distance(uint32_t s, uint32_t u)
{
	if (s == u)
		return EB_DISTANCE_SELF;
	if (s % 6 == u % 6)
		return EB_DISTANCE_DOMAIN;
	return s % 3 == u % 3 ? EB_DISTANCE_REGION : EB_DISTANCE_FAR;
}

static int64_t pr_one_way_us(const struct pr_call *cl)
{
	static const int64_t us[] = { 10, 100, 1000, 10000 };

	return us[pr_distance(cl->origin, cl->upstream)];
}

static uint8_t pr_priority(const struct pr_sim *sm, uint32_t kind)
{
	return sm->load->one_priority ? 0 : sm->load->kinds[kind].priority;
}

static int pr_measured(const struct pr_call *cl)
{
	return cl->arrived_us >= PR_WARM_UP_US &&
	       cl->arrived_us < PR_LENGTH_US - 3000000;
}

/* Advances the work clock, sets the speed and schedules the next end. */
static void pr_update_host(struct pr_sim *sm, uint32_t u)
{
	struct pr_host *h = &sm->hosts[u];
	double first = INFINITY;
	uint32_t i;

	h->clock += (double)(sm->now_us - h->clock_at_us) * h->speed;
	h->clock_at_us = sm->now_us;
	h->speed = h->noise_speed;
	if (h->count * 10 > PR_SLOTS * 8)
		h->speed /= PR_KNEE_TIMES;
	h->timer++;
	for (i = 0; i < h->count; i++)
		first = fmin(first, sm->calls[h->running[i]].end);
	if (h->count)
		event_push(&sm->events,
			   sm->now_us +
				   (int64_t)ceil(fmax(first - h->clock, 0) /
						 h->speed),
			   PR_FINISH, u, h->timer);
}

static void pr_reply(struct pr_sim *sm, uint32_t j, int outcome, int reason)
{
	struct pr_call *cl = &sm->calls[j];

	cl->outcome = (uint8_t)outcome;
	cl->reason = (uint8_t)reason;
	eb_admit_report(sm->hosts[cl->upstream].admit, sm->now_us, &cl->load);
	event_push(&sm->events, sm->now_us + pr_one_way_us(cl), PR_REPLY, j, 0);
}

static void pr_apply(struct pr_sim *sm, uint32_t u,
		     const struct eb_admit_action *act)
{
	struct pr_host *h = &sm->hosts[u];
	uint32_t j = (uint32_t)act->id;

	if (act->verdict == EB_ADMIT_RUN) {
		assert(h->count < PR_SLOTS);
		pr_update_host(sm, u);
		sm->calls[j].started_us = sm->now_us;
		sm->calls[j].end = h->clock + (double)sm->calls[j].work_us;
		h->running[h->count++] = j;
		pr_update_host(sm, u);
	} else if (act->verdict == EB_ADMIT_REFUSE) {
		pr_reply(sm, j, EB_OUTCOME_NOT_RUN, act->reason);
	}
}

static void pr_gate_next(struct pr_sim *sm, uint32_t u)
{
	struct pr_host *h = &sm->hosts[u];
	struct eb_admit_action act;
	int64_t wake_us;

	while (eb_admit_next(h->admit, sm->now_us, &act))
		pr_apply(sm, u, &act);
	wake_us = eb_admit_wake_us(h->admit);
	if (wake_us != INT64_MAX &&
	    (wake_us < h->wake_us || h->wake_us <= sm->now_us)) {
		h->wake_us = wake_us > sm->now_us ? wake_us : sm->now_us + 1;
		event_push(&sm->events, h->wake_us, PR_WAKE, u, 0);
	}
}

static void pr_gate(struct pr_sim *sm, uint32_t j)
{
	struct pr_call *cl = &sm->calls[j];
	const struct pr_kind *kn = &sm->load->kinds[cl->kind];
	struct eb_admit_request rq = { 0 };
	struct eb_admit_action act;

	rq.id = j;
	rq.caller = kn->eager ? 1 : 100 + cl->origin;
	rq.kind = cl->kind + 1;
	rq.deadline_us = cl->arrived_us + kn->deadline_us;
	rq.goal_us = cl->arrived_us + kn->objective_us;
	rq.attempt = cl->mark;
	rq.priority = pr_priority(sm, cl->kind);
	rq.baseline_pace_percent =
		eb_route_baseline_pace(sm->origins[cl->origin].route);
	eb_admit_offer(sm->hosts[cl->upstream].admit, &rq, sm->now_us, &act);
	pr_apply(sm, cl->upstream, &act);
	pr_gate_next(sm, cl->upstream);
}

static void pr_finish(struct pr_sim *sm, uint32_t u)
{
	struct pr_host *h = &sm->hosts[u];
	struct pr_call *cl;
	uint32_t i = 0, j;

	pr_update_host(sm, u);
	while (i < h->count) {
		j = h->running[i];
		cl = &sm->calls[j];
		if (cl->end > h->clock + 1e-6) {
			i++;
			continue;
		}
		h->running[i] = h->running[--h->count];
		eb_admit_sample_kind(h->admit, cl->kind + 1,
				     sm->now_us - cl->started_us);
		eb_admit_done(h->admit, j, sm->now_us - cl->started_us,
			      sm->now_us);
		pr_reply(sm, j, EB_OUTCOME_RAN, 0);
	}
	pr_update_host(sm, u);
	pr_gate_next(sm, u);
}

static enum eb_urgency_rank pr_rank(const struct pr_sim *sm,
				    const struct pr_call *cl)
{
	if (!sm->urgency)
		return EB_URGENCY_PLAIN;
	return eb_urgency_rank_of(&sm->origins[cl->origin].urgency,
				  pr_priority(sm, cl->kind), sm->now_us);
}

static void pr_end(struct pr_sim *sm, uint32_t j)
{
	struct pr_call *cl = &sm->calls[j];
	const struct pr_kind *kn = &sm->load->kinds[cl->kind];
	struct pr_result *r = &sm->results[cl->kind];
	int64_t took_us = sm->now_us - cl->arrived_us;

	if (cl->outcome != EB_OUTCOME_RAN && kn->eager &&
	    took_us + PR_EAGER_US < kn->deadline_us) {
		event_push(&sm->events, sm->now_us + PR_EAGER_US, PR_AGAIN, j,
			   0);
		return;
	}
	if (pr_measured(cl)) {
		r->arrived++;
		r->refused += cl->outcome != EB_OUTCOME_RAN;
		r->on_time += cl->outcome == EB_OUTCOME_RAN &&
			      took_us <= kn->objective_us;
	}
	fifo_push(&sm->free_calls, j);
}

static void pr_send(struct pr_sim *sm, uint32_t j)
{
	struct pr_call *cl = &sm->calls[j];
	struct pr_origin *o = &sm->origins[cl->origin];
	const struct pr_kind *kn = &sm->load->kinds[cl->kind];
	enum eb_urgency_rank rank = pr_rank(sm, cl);
	struct eb_route_query q = { 0 };

	q.remaining_us = cl->arrived_us + kn->deadline_us - sm->now_us;
	q.idempotent = 1;
	q.urgent = rank == EB_URGENCY_FIRST;
	q.tried = cl->tried;
	q.tried_count = cl->attempts;
	q.refused = cl->attempts && cl->outcome == EB_OUTCOME_NOT_RUN;
	cl->mark = eb_retry_next_attempt_of(&o->retry, cl->attempts, rank);
	q.last = cl->mark >= EB_ATTEMPTS_MAX - 1;
	if (eb_route_pick(o->route, &q, sm->now_us, &cl->upstream)) {
		cl->outcome = EB_OUTCOME_NOT_RUN;
		pr_end(sm, j);
		return;
	}
	eb_route_sent(o->route, cl->upstream, sm->now_us);
	cl->tried[cl->attempts++] = cl->upstream;
	cl->sent_us = sm->now_us;
	event_push(&sm->events, sm->now_us + pr_one_way_us(cl), PR_GATE, j, 0);
}

/* Counts a new request at its origin and sends it. */
static void pr_start(struct pr_sim *sm, uint32_t j)
{
	struct pr_call *cl = &sm->calls[j];
	struct pr_origin *o = &sm->origins[cl->origin];

	cl->attempts = 0;
	eb_retry_request(&o->retry);
	eb_urgency_record(&o->urgency, pr_priority(sm, cl->kind),
			  EB_URGENCY_REQUEST, sm->now_us);
	pr_send(sm, j);
}

static void pr_receive(struct pr_sim *sm, uint32_t j)
{
	struct pr_call *cl = &sm->calls[j];
	struct pr_origin *o = &sm->origins[cl->origin];
	struct eb_route_result rs = { 0 };
	struct eb_retry_attempt at = { 0 };

	rs.outcome = cl->outcome;
	rs.reason = cl->reason;
	rs.status = cl->outcome == EB_OUTCOME_RAN ? 200 : 0;
	rs.elapsed_us = sm->now_us - cl->sent_us;
	if (cl->load.slots)
		eb_route_load(o->route, cl->upstream, &cl->load, sm->now_us);
	eb_route_done(o->route, cl->upstream, &rs, sm->now_us);
	at.outcome = cl->outcome;
	at.reason = cl->reason;
	at.idempotent = 1;
	at.attempts = cl->attempts;
	at.mark = cl->mark;
	at.rank = (uint8_t)pr_rank(sm, cl);
	at.remaining_us = cl->arrived_us +
			  sm->load->kinds[cl->kind].deadline_us - sm->now_us;
	if (rs.status)
		eb_retry_success(&o->retry);
	if (!rs.status && eb_retry_allow(&o->retry, &at))
		pr_send(sm, j);
	else
		pr_end(sm, j);
}

static uint32_t pr_new_call(struct pr_sim *sm)
{
	uint32_t i, more = sm->space ? sm->space : 1024;

	if (!sm->free_calls.count) {
		sm->calls = realloc(sm->calls,
				    (sm->space + more) * sizeof(*sm->calls));
		assert(sm->calls);
		for (i = 0; i < more; i++)
			fifo_push(&sm->free_calls, sm->space + i);
		sm->space += more;
	}
	i = fifo_pop(&sm->free_calls);
	memset(&sm->calls[i], 0, sizeof(sm->calls[i]));
	return i;
}

static void pr_arrive(struct pr_sim *sm, uint32_t kind)
{
	const struct pr_kind *kn = &sm->load->kinds[kind];
	double rate = kn->per_s * sm->load->times / 1e6, work = 0;
	uint32_t j = pr_new_call(sm), i;
	struct pr_call *cl = &sm->calls[j];

	if (sm->now_us % PR_BURST_PERIOD_US >= PR_BURST_PERIOD_US - PR_BURST_US)
		rate *= kn->burst_times;
	event_push(&sm->events,
		   sm->now_us + 1 +
			   (int64_t)(-log(1 - eb_rand_unit(&sm->rand)) / rate),
		   PR_ARRIVE, kind, 0);
	for (i = 0; i < 4; i++)
		work -= log(1 - eb_rand_unit(&sm->rand)) / 4;
	cl->kind = kind;
	cl->arrived_us = sm->now_us;
	cl->origin = kn->first_origin +
		     eb_rand_below(&sm->rand, PR_ORIGINS - kn->first_origin);
	/* A response of 90 KB takes 18 ms at 40 Mbit/s. */
	cl->work_us = (int64_t)((double)kn->work_us * work) + kn->bytes / 5;
	pr_start(sm, j);
}

static void pr_noise(struct pr_sim *sm)
{
	uint32_t u;

	for (u = 0; u < PR_UPS; u++) {
		sm->hosts[u].noise_speed =
			eb_rand_below(&sm->noise, 4) ? 1 : 0.25;
		pr_update_host(sm, u);
	}
	event_push(&sm->events, sm->now_us + PR_PACE_DELAY_US, PR_PACE, 0, 0);
	event_push(&sm->events, sm->now_us + PR_NOISE_US, PR_NOISE, 0, 0);
}

static void pr_step(struct pr_sim *sm, const struct event *e)
{
	uint32_t u;

	switch ((enum pr_event)e->kind) {
	case PR_ARRIVE:
		pr_arrive(sm, e->who);
		break;
	case PR_GATE:
		pr_gate(sm, e->who);
		break;
	case PR_FINISH:
		if (e->what == sm->hosts[e->who].timer)
			pr_finish(sm, e->who);
		break;
	case PR_REPLY:
		pr_receive(sm, e->who);
		break;
	case PR_NOISE:
		pr_noise(sm);
		break;
	case PR_PACE:
		for (u = 0; u < PR_UPS; u++)
			eb_admit_pace(sm->hosts[u].admit,
				      sm->hosts[u].noise_speed < 1 ? 400 : 100);
		break;
	case PR_WAKE:
		pr_gate_next(sm, e->who);
		break;
	case PR_AGAIN:
		pr_start(sm, e->who);
		break;
	}
}

static void pr_setup(struct pr_sim *sm, uint64_t seed)
{
	struct eb_admit_config cf = { PR_SLOTS, PR_QUEUE, 4000 };
	struct eb_admit_tuning tn = eb_admit_tuning_default;
	struct eb_route_upstream ups[PR_UPS];
	uint32_t s, u;

	tn.urgency = (uint8_t)sm->urgency;
	for (u = 0; u < PR_UPS; u++) {
		sm->hosts[u].admit = eb_admit_new(&cf);
		eb_admit_tune(sm->hosts[u].admit, &tn);
		sm->hosts[u].speed = sm->hosts[u].noise_speed = 1;
	}
	memset(ups, 0, sizeof(ups));
	for (s = 0; s < PR_ORIGINS; s++) {
		for (u = 0; u < PR_UPS; u++) {
			ups[u].id = u;
			ups[u].slots = PR_SLOTS;
			ups[u].distance = (uint8_t)pr_distance(s, u);
		}
		sm->origins[s].route = eb_route_new(seed * 1000 + s);
		eb_route_set_upstreams(sm->origins[s].route, ups, PR_UPS, 0);
		eb_retry_init(&sm->origins[s].retry, 100);
		eb_urgency_init(&sm->origins[s].urgency, 10000000);
	}
}

/* Runs one load with a seed and adds up the shares of each kind. */
static void pr_run(const struct pr_load *ld, int urgency, uint64_t seed,
		   struct pr_result *out)
{
	struct pr_sim *sm = calloc(1, sizeof(*sm));
	struct event e;
	uint32_t i;

	assert(sm);
	sm->load = ld;
	sm->urgency = urgency;
	eb_rand_seed(&sm->rand, seed);
	eb_rand_seed(&sm->noise, seed + 1000000);
	pr_setup(sm, seed);
	event_push(&sm->events, 0, PR_NOISE, 0, 0);
	for (i = 0; i < PR_KINDS && ld->kinds[i].name; i++)
		event_push(&sm->events, 1000 * i, PR_ARRIVE, i, 0);
	while (sm->events.heap[0].at_us < PR_LENGTH_US) {
		e = event_pop(&sm->events);
		sm->now_us = e.at_us;
		pr_step(sm, &e);
	}
	for (i = 0; i < PR_KINDS; i++)
		out[i] = sm->results[i];
	for (i = 0; i < PR_UPS; i++)
		eb_admit_free(sm->hosts[i].admit);
	for (i = 0; i < PR_ORIGINS; i++)
		eb_route_free(sm->origins[i].route);
	free(sm->free_calls.items);
	free(sm->events.heap);
	free(sm->calls);
	free(sm);
}

#define PR_STATUS                                                     \
	{                                                             \
		"status", 0, 107, 1, 36000, 100000, 250000, 400, 0, 0 \
	}
#define PR_SYNC                                                          \
	{                                                                \
		"sync", 1, 700, 1, 22000, 100000, 250000, 400, PR_UPS, 0 \
	}
#define PR_EXPORT                                                          \
	{                                                                  \
		"export", 2, 59, 2.6, 72000, 1200000, 2400000, 90000, 0, 0 \
	}
/* One caller asks for as much as all others of its priority together. */
#define PR_EAGER                                                           \
	{                                                                  \
		"eager", 2, 59, 2.6, 72000, 1200000, 2400000, 90000, 59, 1 \
	}

static const struct pr_load pr_loads[] = {
	{ "priorities-1.0", 1, 0, { PR_STATUS, PR_SYNC, PR_EXPORT } },
	{ "priorities-1.5", 1.5, 0, { PR_STATUS, PR_SYNC, PR_EXPORT } },
	{ "priorities-2.0", 2, 0, { PR_STATUS, PR_SYNC, PR_EXPORT } },
	{ "priorities-3.0", 3, 0, { PR_STATUS, PR_SYNC, PR_EXPORT } },
	{ "priorities-eager",
	  1.5,
	  0,
	  { PR_STATUS, PR_SYNC, PR_EXPORT, PR_EAGER } },
	{ "priorities-none", 1.5, 1, { PR_STATUS, PR_SYNC, PR_EXPORT } },
};

static void pr_print(const struct pr_load *ld, const char *kind, int urgency,
		     const char *figure, double *v)
{
	qsort(v, PR_SEEDS, sizeof(*v), compare_doubles);
	printf("{\"bench\":\"routing\",\"case\":\"%s\",\"kind\":\"%s\","
	       "\"urgency\":%d,\"seeds\":%d,\"figure\":\"%s\",\"value\":%.1f,"
	       "\"least\":%.1f,\"most\":%.1f}\n",
	       ld->name, kind, urgency, PR_SEEDS, figure,
	       (v[PR_SEEDS / 2] + v[(PR_SEEDS - 1) / 2]) / 2, v[0],
	       v[PR_SEEDS - 1]);
}

/* Runs the loads whose names begin with `only`, with urgency and without. */
static void run_priorities(const char *only)
{
	struct pr_result r[PR_SEEDS][PR_KINDS];
	double on_time[PR_SEEDS], refused[PR_SEEDS];
	const struct pr_load *ld;
	uint32_t i, k, s;
	int urgency;

	for (i = 0; i < 2 * sizeof(pr_loads) / sizeof(pr_loads[0]); i++) {
		ld = &pr_loads[i / 2];
		urgency = i % 2;
		if (strncmp(ld->name, only, strlen(only)))
			continue;
		for (s = 0; s < PR_SEEDS; s++)
			pr_run(ld, urgency, s + 1, r[s]);
		for (k = 0; k < PR_KINDS && ld->kinds[k].name; k++) {
			for (s = 0; s < PR_SEEDS; s++) {
				on_time[s] = 1000 * r[s][k].on_time /
					     r[s][k].arrived;
				refused[s] = 1000 * r[s][k].refused /
					     r[s][k].arrived;
			}
			pr_print(ld, ld->kinds[k].name, urgency,
				 "on_time_permille", on_time);
			pr_print(ld, ld->kinds[k].name, urgency,
				 "refused_permille", refused);
		}
	}
}

#endif
