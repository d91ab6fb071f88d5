#include "eb_origin.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eb_attempt.h"
#include "eb_backoff.h"
#include "eb_chart.h"
#include "eb_claim_frames.h"
#include "eb_clock.h"
#include "eb_crash.h"
#include "eb_early.h"
#include "eb_failure.h"
#include "eb_goal.h"
#include "eb_home.h"
#include "eb_matcher.h"
#include "eb_overdue.h"
#include "eb_rand.h"
#include "eb_sizes.h"
#include "eb_call_stats.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/* Time after the deadline in which the gate's reply is still awaited. */
#define EXPIRE_GRACE_US 50000
/* Route name under which requests are counted that match no route. */
#define NO_ROUTE_NAME "(none)"
/* Space for the names of a route's regions in a log line. */
#define REGIONS_TEXT_BYTES 128

/*
 * States and events in the order of their names, which are those of
 * charts/origin.chart.
 */
enum state {
	CLAIMING,
	ROUTING,
	WAITING,
	SENDING,
	ANSWERING,
	RECORDING,
	DONE,
};

enum event {
	EVENT_GRANTED,
	EVENT_STORED,
	EVENT_SENT,
	EVENT_PARKED,
	EVENT_EXHAUSTED,
	EVENT_GONE,
	EVENT_EXPIRE,
	EVENT_BODY,
	EVENT_CREDIT,
	EVENT_REFUSE,
	EVENT_FAILED,
	EVENT_LOST,
	EVENT_ANSWER_HEAD,
	EVENT_ANSWER_DATA,
	EVENT_ANSWER_LAST,
	EVENT_ANSWER_CLAIMED,
	EVENT_RECORDED,
};

static const char *const state_names[] = { "claiming", "routing",   "waiting",
					   "sending",  "answering", "recording",
					   "done",     NULL };
static const char *const event_names[] = {
	"granted",     "stored",      "sent",	     "parked",
	"exhausted",   "gone",	      "expire",	     "body",
	"credit",      "refuse",      "failed",	     "lost",
	"answer_head", "answer_data", "answer_last", "answer_claimed",
	"recorded",    NULL
};
static const char *const action_names[] = {
	"none",		 "drop",	"route",    "retry",   "answer_failure",
	"answer_stored", "leave_claim", "to_front", "to_gate", "answer",
	"finish",	 "cancel",	"give_up",  "cut",     "record",
	"deliver",	 "cut_late",	NULL
};

struct call {
	uint64_t front_id;
	struct eb_attempt slots[2];
	struct eb_attempt *at;	  /* the current or last attempt */
	struct eb_attempt *other; /* a second one; ended if its number is 0 */
	struct eb_frame *head;
	/* The last frame of the answer while its claim's end is recorded. */
	struct eb_frame *last;
	struct eb_service_state *service;
	uint32_t tried[EB_TRIED_MAX];
	uint8_t tried_count;
	uint8_t attempts; /* copies included */
	uint8_t copies;
	uint8_t mark; /* eb_retry_next_attempt() of the last attempt */
	uint8_t state;
	uint8_t streamed;
	uint8_t body_done;
	/* The deadline counts from the request, not from its body's end. */
	uint8_t strict_deadline;
	uint8_t unbounded;    /* the answer has no known length */
	uint8_t answer_whole; /* the front has it; the body is being sent */
	uint8_t idempotent;
	uint8_t parked;	     /* waits until a daemon of the service is up */
	uint8_t maybe_ran;   /* an earlier attempt ran or may have run */
	uint8_t claimed;     /* has its key's claim and must settle it */
	uint8_t closed_runs; /* ended by the upstream's connection */
	uint8_t runs;	     /* attempts that may have reached an upstream */
	uint8_t runs_max;    /* limit on `runs` */
	/* Result of the last attempt; on failure the caller's answer. */
	uint8_t outcome;
	uint8_t reason;
	uint16_t status;
	uint32_t retry_after_ms;
	uint8_t hops;	       /* left for the calls that the upstream makes */
	uint32_t route;	       /* index in the counts by route */
	uint64_t regions;      /* in which it may run; 0: in any */
	uint32_t generation;   /* of the configuration that `regions` is of */
	uint64_t answer_bytes; /* of the body, passed to the front */
	int64_t budget_us;     /* time that the call may take */
	int64_t deadline_us;
	int64_t goal_us; /* latest time of an answer in time; 0: no goal */
	int64_t started_us;
	int64_t first_sent_us; /* of the first attempt */
	int64_t started_wall_us;
	struct eb_trace_id parent;
	uint8_t call_span[8];
};

struct eb_origin {
	struct eb_origin_callbacks out;
	struct eb_origin_config config;
	struct eb_chart *chart;
	struct eb_rand rand; /* for span numbers */
	apr_pool_t *pool;
	apr_hash_t *by_front;	      /* call number of the front -> call */
	struct eb_attempts *attempts; /* by number */
	struct eb_goal *goal;
	struct eb_sizes sizes; /* of answers by kind */
	uint64_t next_number;
	struct eb_matcher matcher;
	uint32_t parked;	/* number of parked calls */
	int serving;		/* set by eb_origin_serve() */
	struct eb_early *early; /* requests that came before that */
};

typedef void action_fn(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us);

static void step(struct eb_origin *og, struct call *ca, enum event ev,
		 struct eb_frame *f, int64_t now_us);
static void do_cancel(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us);
static void drop_attempt(struct eb_origin *og, struct call *ca,
			 struct eb_attempt *at, int64_t now_us);
static void mark_attempt_lost(struct eb_origin *og, struct call *ca,
			      struct eb_attempt *at, int64_t now_us);

/*
 * Creates an origin. Returns NULL, with findings, when its state chart is
 * not valid, or without memory.
 */
struct eb_origin *eb_origin_new(const struct eb_origin_config *cf,
				const struct eb_origin_callbacks *out,
				struct eb_findings *fs)
{
	static const struct eb_chart_names names = { state_names, event_names,
						     action_names };
	struct eb_origin *og = calloc(1, sizeof(*og));

	if (!og)
		return NULL;
	og->config = *cf;
	og->out = *out;
	eb_rand_seed(&og->rand, cf->incarnation);
	og->matcher.split_position = (uint32_t)cf->incarnation;
	og->chart = eb_chart_load("origin", &names, fs);
	og->early = eb_early_new();
	og->goal = eb_goal_new();
	og->attempts = eb_attempts_new();
	if (!og->chart || !og->early || !og->goal || !og->attempts ||
	    apr_pool_create(&og->pool, NULL) != APR_SUCCESS) {
		eb_chart_free(og->chart);
		eb_early_free(og->early);
		eb_goal_free(og->goal);
		eb_attempts_free(og->attempts);
		free(og);
		return NULL;
	}
	og->by_front = apr_hash_make(og->pool);
	return og;
}

/* Frees a call and its share of the caller's limit. */
static void free_call(struct eb_origin *og, struct call *ca)
{
	apr_hash_set(og->by_front, &ca->front_id, sizeof(ca->front_id), NULL);
	eb_attempts_remove(og->attempts, ca->at);
	eb_attempts_remove(og->attempts, ca->other);
	if (ca->parked)
		og->parked--;
	eb_limit_done(ca->service->limit, ca->head->head->caller);
	eb_frame_unref(ca->head);
	eb_frame_unref(ca->last);
	free(ca);
	eb_metrics_add(og->config.metrics, EB_METRIC_CALLS_ACTIVE, -1);
}

/* Frees the origin and the calls that are left. */
void eb_origin_free(struct eb_origin *og)
{
	apr_hash_index_t *hi;

	if (!og)
		return;
	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		free_call(og, apr_hash_this_val(hi));
	}
	apr_pool_destroy(og->pool);
	eb_chart_free(og->chart);
	eb_early_free(og->early);
	eb_goal_free(og->goal);
	eb_attempts_free(og->attempts);
	free(og);
}

/* Returns the number of unfinished calls. */
uint32_t eb_origin_active(const struct eb_origin *og)
{
	return apr_hash_count(og->by_front) + eb_early_count(og->early);
}

/* Returns the request id from the header that the dialect names, or "-". */
static const char *request_id(const struct eb_origin *og,
			      const struct eb_frame *head)
{
	const struct eb_dialect *dl = og->config.dialect;
	const char *id = NULL;

	if (dl && dl->request_id)
		id = eb_headers_find(&head->head->headers, dl->request_id);
	return id ? id : "-";
}

/* Logs an attempt that ended without an answer. */
static void log_attempt(const struct eb_origin *og, const struct call *ca,
			const struct eb_attempt *at, int64_t now_us)
{
	const struct eb_node *n = eb_nodes_get(og->config.nodes, at->node);

	eb_log_write(
		og->config.log, EB_LOG_INFO, "origin", "attempt ended",
		"id=%s upstream=%s distance=%s attempt=%u copy=%u outcome=%s "
		"reason=%s attempt_ms=%lld left_ms=%lld",
		request_id(og, ca->head), n ? n->name : "-",
		n ? eb_distance_name(n->distance) : "-", ca->attempts, at->copy,
		eb_outcome_name(ca->outcome), eb_reason_name(ca->reason),
		(long long)(now_us - at->sent_us) / 1000,
		(long long)(ca->deadline_us - now_us) / 1000);
}

/* Logs a finished call, as a warning unless its status is below 500. */
static void log_call(const struct eb_origin *og, const struct call *ca,
		     int64_t now_us)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->at->node);
	char regions[REGIONS_TEXT_BYTES];

	eb_nodes_print_regions(og->config.nodes, ca->regions, regions,
			       sizeof(regions));
	eb_log_write(
		og->config.log,
		ca->outcome == EB_OUTCOME_RAN && ca->status < 500 ? EB_LOG_INFO
								  : EB_LOG_WARN,
		"origin", "call ended",
		"id=%s service=%s upstream=%s distance=%s attempts=%u "
		"copies=%u by_copy=%u runs=%u status=%u outcome=%s reason=%s "
		"ms=%lld "
		"last_ms=%lld left_ms=%lld regions=%s release=%llu "
		"answer_bytes=%llu expected_bytes=%u",
		request_id(og, ca->head), ca->service->name, n ? n->name : "-",
		n ? eb_distance_name(n->distance) : "-", ca->attempts,
		ca->copies, ca->at->copy, ca->runs, ca->status,
		eb_outcome_name(ca->outcome), eb_reason_name(ca->reason),
		(long long)(now_us - ca->started_us) / 1000,
		(long long)(now_us - ca->at->sent_us) / 1000,
		(long long)(ca->deadline_us - now_us) / 1000, regions,
		(unsigned long long)cf->release,
		(unsigned long long)ca->answer_bytes,
		eb_sizes_expected(&og->sizes, ca->head->head->kind));
}

/* Learns the size of a successful answer, and counts its way. */
static void count_answer(struct eb_origin *og, const struct call *ca,
			 int64_t now_us)
{
	static const enum eb_metric ways[] = {
		EB_METRIC_ANSWER_BYTES_SELF,
		EB_METRIC_ANSWER_BYTES_DOMAIN,
		EB_METRIC_ANSWER_BYTES_REGION,
		EB_METRIC_ANSWER_BYTES_FAR,
	};
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->at->node);

	if (n && ca->answer_bytes)
		eb_metrics_add(og->config.metrics, ways[n->distance],
			       (int64_t)ca->answer_bytes);
	/* An error or an answer without its body does not show the usual size.
	 */
	if (ca->outcome == EB_OUTCOME_RAN && ca->status >= 200 &&
	    ca->status < 300 && strcmp(ca->head->head->method, "HEAD") != 0)
		eb_sizes_add(&og->sizes, ca->head->head->kind, ca->answer_bytes,
			     now_us);
}

/* Adds a finished call to the counts of its route. */
static void count_call(struct eb_origin *og, const struct call *ca,
		       int64_t now_us)
{
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->at->node);
	const struct eb_retry *rb = &ca->service->retry;
	struct eb_call_stats_call tc = { 0 };

	tc.outcome = ca->outcome;
	tc.reason = ca->reason;
	tc.distance = n ? n->distance : EB_CALL_STATS_NOT_SENT;
	tc.us = now_us - ca->started_us;
	tc.retries_left = eb_retry_left(rb);
	tc.reroutes_left = eb_retry_reroutes_left(rb);
	eb_call_stats_add(eb_metrics_call_stats(og->config.metrics), ca->route,
			  &tc);
}

/* Adds the span of an attempt or, if `at` is NULL, that of the call. */
static void add_span(struct eb_origin *og, const struct call *ca,
		     enum eb_span_kind kind, const struct eb_attempt *at,
		     int64_t now_us)
{
	int64_t from_us = at ? at->sent_us : ca->started_us;
	struct eb_node *n;
	struct eb_span sp = { 0 };

	n = eb_nodes_get(og->config.nodes, at ? at->node : ca->at->node);
	memcpy(sp.trace, ca->parent.trace, sizeof(sp.trace));
	memcpy(sp.id, at ? at->span : ca->call_span, sizeof(sp.id));
	memcpy(sp.parent, at ? ca->call_span : ca->parent.span,
	       sizeof(sp.parent));
	sp.kind = (uint8_t)kind;
	sp.outcome = ca->outcome;
	sp.reason = ca->reason;
	sp.status = ca->status;
	sp.start_wall_us = ca->started_wall_us + from_us - ca->started_us;
	sp.duration_us = now_us - from_us;
	if (n)
		strncpy(sp.upstream, n->name, sizeof(sp.upstream) - 1);
	eb_tracer_add(og->config.tracer, &sp);
}

/* Tells whether the last refusal shows that upstreams are overloaded. */
static int refused_for_load(const struct call *ca)
{
	return ca->reason == EB_REASON_QUEUE_FULL ||
	       ca->status == EB_STATUS_RATE_LIMITED;
}

/*
 * Ends an attempt, unless it has ended before: its number becomes invalid, and
 * the router and the trace receive its result, which is that of the call. An
 * attempt is superseded when another one has answered.
 */
static void end_attempt(struct eb_origin *og, struct call *ca,
			struct eb_attempt *at, int superseded, int64_t now_us)
{
	struct eb_route_result rs = { 0 };

	eb_attempts_remove(og->attempts, at);
	if (!at->in_flight)
		return;
	at->in_flight = 0;
	rs.outcome = superseded ? EB_OUTCOME_UNKNOWN : ca->outcome;
	rs.reason = superseded ? EB_REASON_NONE : ca->reason;
	rs.status = superseded ? 0 : ca->status;
	rs.elapsed_us = now_us - at->sent_us;
	rs.superseded = (uint8_t)superseded;
	if (rs.outcome == EB_OUTCOME_NOT_RUN &&
	    rs.status == EB_STATUS_RATE_LIMITED)
		rs.rate_wait_ms = ca->retry_after_ms;
	ca->maybe_ran |= rs.outcome != EB_OUTCOME_NOT_RUN;
	ca->closed_runs += rs.reason == EB_REASON_UPSTREAM_CLOSED;
	if (rs.outcome != EB_OUTCOME_NOT_RUN ||
	    rs.reason == EB_REASON_UPSTREAM_REFUSED)
		ca->runs++;
	if (at->copy && rs.outcome == EB_OUTCOME_NOT_RUN)
		eb_metrics_add(og->config.metrics, EB_METRIC_COPIES_REFUSED, 1);
	if (!at->copy && !superseded)
		eb_hedge_attempt_ended(ca->service->hedge,
				       rs.outcome == EB_OUTCOME_NOT_RUN &&
					       refused_for_load(ca));
	eb_attempt_report(at, og->config.nodes, og->config.log, ca->service,
			  &rs, now_us);
	add_span(og, ca, EB_SPAN_ATTEMPT, at, now_us);
}

static void save_reply(struct call *ca, const struct eb_reply *r)
{
	ca->outcome = r->outcome;
	ca->reason = r->reason;
	ca->status = r->status;
	ca->retry_after_ms = r->retry_after_ms;
}

static void to_front(struct eb_origin *og, struct call *ca, struct eb_frame *f)
{
	if (f->type == EB_FRAME_RHEAD || f->type == EB_FRAME_RDATA)
		ca->answer_bytes += f->data_bytes;
	f->call = ca->front_id;
	og->out.to_front(og->out.ctx, f);
}

/* ---- Claims ---- */

/* Tells whether the request may run only after its key's claim is granted. */
static int needs_claim(const struct eb_origin *og, const struct call *ca)
{
	return og->config.claims && ca->head->head->key && !ca->idempotent &&
	       eb_nodes_rule(og->config.nodes, ca->service)->claims;
}

/* Asks the holders for the claim of the request's key. */
static void start_claim(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	struct eb_claimant_request rq = { 0 };

	ca->state = CLAIMING;
	ca->reason = EB_REASON_CLAIM;
	rq.call = ca->front_id;
	rq.service = ca->service->name;
	eb_claim_key(ca->service->name, ca->head->head->key, rq.key);
	eb_claim_digest_request(ca->head, rq.digest);
	rq.deadline_us = ca->deadline_us;
	eb_claimant_start(og->config.claims, &rq, now_us);
}

/*
 * Reports the result of a claimed call; `f` is the complete answer, the last
 * frame of a streamed one, or NULL when the call failed.
 */
static void settle_claim(struct eb_origin *og, struct call *ca,
			 const struct eb_frame *f, int64_t now_us)
{
	struct eb_claim_response rs = { 0 };
	enum eb_claim_state state;

	if (!ca->claimed)
		return;
	ca->claimed = 0;
	if (!f && ca->outcome == EB_OUTCOME_NOT_RUN && !ca->maybe_ran) {
		eb_claimant_not_run(og->config.claims, ca->front_id, now_us);
		return;
	}
	state = eb_claim_result(f, &rs);
	eb_claimant_ended(og->config.claims, ca->front_id, state, &rs, now_us);
}

/* ---- Routing ---- */

/* Returns the urgency of a call among the recent ones to its service. */
static enum eb_urgency_rank rank_of(const struct call *ca, int64_t now_us)
{
	return eb_urgency_rank_of(&ca->service->urgency,
				  ca->head->head->priority, now_us);
}

/* Sets the fields of HEAD that differ by attempt; NULL without memory. */
static struct eb_frame *prepare_head(struct eb_origin *og, struct call *ca,
				     struct eb_attempt *at, uint32_t node,
				     int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);
	struct eb_frame *f = eb_frame_unshare_head(ca->head);

	if (!f)
		return NULL;
	ca->head = f;
	free(f->head->upstream);
	f->head->upstream = strdup(n->name);
	free(f->head->instance);
	f->head->instance = n->instance[0] ? strdup(n->instance) : NULL;
	memcpy(at->instance, n->instance, sizeof(at->instance));
	f->head->attempt = eb_retry_next_attempt_of(
		&ca->service->retry, ca->attempts, rank_of(ca, now_us));
	if (ca->goal_us &&
	    eb_sizes_may_wait(&og->sizes, f->head->kind, ca->goal_us - now_us))
		f->head->attempt = EB_ATTEMPTS_MAX - 1;
	if (at->copy)
		f->head->attempt = 0;
	f->head->remaining_us =
		ca->body_done ? ca->deadline_us - now_us : ca->budget_us;
	f->head->goal_us = ca->goal_us ? ca->goal_us - now_us : INT64_MAX;
	if (at->copy)
		f->head->goal_us = EB_ATTEMPT_COPY_GOAL_US;
	f->head->baseline_pace_percent =
		eb_route_baseline_pace(ca->service->route);
	f->head->hops = ca->hops;
	f->head->trace = ca->parent;
	eb_trace_new_span(&og->rand, at->span);
	memcpy(f->head->trace.span, at->span, 8);
	f->call = ++og->next_number;
	f->sender = og->config.incarnation;
	f->target = 0;
	return f;
}

/*
 * Sends an attempt, or a copy, to the gate of a node; -1 when it did not leave.
 */
static int send_to(struct eb_origin *og, struct call *ca, uint32_t node,
		   int copy, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);
	struct eb_attempt *at = copy ? ca->other : ca->at;
	struct eb_frame *f;

	at->copy = (uint8_t)copy;
	f = prepare_head(og, ca, at, node, now_us);
	if (!f || og->out.to_gate(og->out.ctx, node, eb_frame_ref(f)))
		return -1;
	if (!ca->attempts)
		ca->first_sent_us = now_us;
	at->number = f->call;
	at->node = node;
	ca->attempts++;
	at->sent_us = now_us;
	at->in_flight = 1;
	eb_attempts_add(og->attempts, at);
	eb_route_sent(ca->service->route, node, now_us);
	eb_metrics_add(og->config.metrics,
		       n->self ? EB_METRIC_LOCAL_CALLS : EB_METRIC_REMOTE_CALLS,
		       1);
	return 0;
}

/*
 * Takes the regions of a call from the configuration in force, if that is newer
 * than the call or its last attempt. One that no longer knows the request
 * leaves them as they are.
 */
static void update_regions(const struct eb_origin *og, struct call *ca)
{
	const struct eb_nodes *nd = og->config.nodes;
	struct eb_home hm;

	if (ca->generation == eb_nodes_generation(nd))
		return;
	ca->generation = eb_nodes_generation(nd);
	if (eb_home_find(eb_nodes_config(nd), ca->head->head, &hm))
		ca->regions = eb_nodes_allowed_regions(nd, &hm);
}

/* Sets what every search for an upstream of a call takes into account. */
static void init_query(const struct eb_origin *og, struct call *ca,
		       struct eb_route_query *q)
{
	update_regions(og, ca);
	memset(q, 0, sizeof(*q));
	q->regions = ca->regions;
	q->tried = ca->tried;
	q->tried_count = ca->tried_count;
}

/*
 * Tells whether a request may wait, for EB_UPSTREAM_WAIT_MS at most, because a
 * daemon of its service and regions has not answered for the first time yet.
 * After an attempt it waits only if a draining upstream refused that: a refusal
 * for load goes to the caller at once.
 */
static int may_park(const struct eb_origin *og, struct call *ca, int64_t now_us)
{
	update_regions(og, ca);
	if (now_us >= ca->deadline_us ||
	    now_us - ca->started_us >= EB_UPSTREAM_WAIT_MS * 1000LL)
		return 0;
	if (ca->attempts && (ca->outcome != EB_OUTCOME_NOT_RUN ||
			     ca->reason != EB_REASON_DRAINING))
		return 0;
	return eb_nodes_first_answer_pending(og->config.nodes, ca->service,
					     ca->regions);
}

/* Sets whether a call is parked, and counts parked calls. */
static void park(struct eb_origin *og, struct call *ca, int parked)
{
	if (ca->parked == parked)
		return;
	ca->parked = (uint8_t)parked;
	og->parked += parked ? 1 : (uint32_t)-1;
}

/* Tells whether a request has not run because upstreams are missing. */
static int lacks_upstream(const struct call *ca)
{
	return ca->outcome == EB_OUTCOME_NOT_RUN && !ca->maybe_ran &&
	       (ca->reason == EB_REASON_NO_UPSTREAM ||
		ca->reason == EB_REASON_DRAINING);
}

/*
 * Tells whether the deadline of a request passed before its first attempt,
 * while the daemon did not serve yet or its claim was not granted.
 */
static int is_late(const struct call *ca, int64_t now_us)
{
	return !ca->attempts && !ca->parked && ca->body_done &&
	       now_us >= ca->deadline_us;
}

/*
 * Sends the request to the best upstream whose gate can be reached. Without
 * one, the request is parked or answered with the last failure.
 */
static void route(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	enum eb_urgency_rank rank = rank_of(ca, now_us);
	struct eb_route_query q;
	uint32_t node;

	if (is_late(ca, now_us)) {
		ca->outcome = EB_OUTCOME_NOT_RUN;
		ca->reason = EB_REASON_DEADLINE;
		step(og, ca, EVENT_EXHAUSTED, NULL, now_us);
		return;
	}
	park(og, ca, 0);
	init_query(og, ca, &q);
	q.caller = ca->head->head->caller;
	q.idempotent = ca->idempotent;
	q.remaining_us = ca->deadline_us - now_us;
	q.keep_in_region = ca->streamed && !og->config.uploads_leave_region;
	q.answer_bytes = eb_sizes_expected(&og->sizes, ca->head->head->kind);
	q.link_mbps = og->config.link_mbps;
	q.refused = ca->attempts && (ca->reason == EB_REASON_QUEUE_FULL ||
				     ca->reason == EB_REASON_HANDED_BACK);
	q.urgent = rank == EB_URGENCY_FIRST;
	q.last = eb_retry_next_attempt_of(&ca->service->retry, ca->attempts,
					  rank) >= EB_ATTEMPTS_MAX - 1;
	while (ca->tried_count < EB_TRIED_MAX) {
		q.tried_count = ca->tried_count;
		if (eb_route_pick(ca->service->route, &q, now_us, &node))
			break;
		ca->tried[ca->tried_count++] = node;
		if (!send_to(og, ca, node, 0, now_us)) {
			step(og, ca, EVENT_SENT, NULL, now_us);
			return;
		}
	}
	if (may_park(og, ca, now_us)) {
		if (!ca->attempts)
			ca->tried_count = 0;
		park(og, ca, 1);
		step(og, ca, EVENT_PARKED, NULL, now_us);
		return;
	}
	if (!ca->attempts) {
		ca->outcome = EB_OUTCOME_NOT_RUN;
		ca->reason = EB_REASON_NO_UPSTREAM;
		ca->retry_after_ms = 1000;
		if (eb_nodes_has_evacuated(og->config.nodes, ca->service))
			eb_metrics_add(og->config.metrics,
				       EB_METRIC_EVACUATED_REFUSED, 1);
	}
	if (ca->regions && lacks_upstream(ca))
		eb_metrics_add(og->config.metrics, EB_METRIC_HOME_REFUSED, 1);
	step(og, ca, EVENT_EXHAUSTED, NULL, now_us);
}

/* ---- Actions of the chart ---- */

static void do_none(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	(void)og;
	(void)ca;
	(void)now_us;
	eb_frame_unref(f);
}

static void do_drop(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	(void)ca;
	(void)now_us;
	if (f)
		eb_metrics_add(og->config.metrics, EB_METRIC_LATE_FRAMES, 1);
	eb_frame_unref(f);
}

/* Routes a request whose claim was granted. */
static void do_route(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		     int64_t now_us)
{
	eb_frame_unref(f);
	ca->claimed = 1;
	ca->reason = EB_REASON_NO_UPSTREAM;
	route(og, ca, now_us);
}

/* Answers with the stored response to the key's first run. */
static void do_answer_stored(struct eb_origin *og, struct call *ca,
			     struct eb_frame *f, int64_t now_us)
{
	(void)now_us;
	save_reply(ca, f->reply);
	to_front(og, ca, f);
}

/* Cancels the claim of a caller that is gone. */
static void do_leave_claim(struct eb_origin *og, struct call *ca,
			   struct eb_frame *f, int64_t now_us)
{
	eb_frame_unref(f);
	eb_claimant_cancel(og->config.claims, ca->front_id, now_us);
}

/* Answers with the failure of the last attempt. */
static void do_answer_failure(struct eb_origin *og, struct call *ca,
			      struct eb_frame *f, int64_t now_us)
{
	struct eb_frame *out;
	uint32_t extra_ms = 0;

	if (f && f->reply)
		save_reply(ca, f->reply);
	eb_frame_unref(f);
	/* A later refusal does not undo an attempt that may have run. */
	if (ca->maybe_ran)
		ca->outcome = EB_OUTCOME_UNKNOWN;
	if (eb_test_off("not-run-rule")) {
		ca->outcome = EB_OUTCOME_NOT_RUN;
		ca->reason = EB_REASON_NO_UPSTREAM;
	}
	if (ca->outcome == EB_OUTCOME_NOT_RUN &&
	    (refused_for_load(ca) || ca->reason == EB_REASON_HANDED_BACK))
		eb_hedge_call_refused(ca->service->hedge, now_us);
	if (ca->reason == EB_REASON_QUEUE_FULL ||
	    ca->reason == EB_REASON_HANDED_BACK)
		extra_ms = eb_backoff_ms(ca->retry_after_ms,
					 eb_route_extra_backoff_ms(
						 ca->service->route),
					 eb_rand_below(&og->rand, 1001)) -
			   ca->retry_after_ms;
	out = eb_failure_frame(ca->front_id, ca->outcome, ca->reason,
			       ca->reason == EB_REASON_CLAIM ? ca->status : 0,
			       ca->retry_after_ms, extra_ms);
	if (!out)
		return;
	ca->status = out->reply->status;
	to_front(og, ca, out);
}

static void do_to_front(struct eb_origin *og, struct call *ca,
			struct eb_frame *f, int64_t now_us)
{
	(void)now_us;
	if (f->type == EB_FRAME_RDATA && !f->data_bytes)
		ca->answer_whole = 1;
	to_front(og, ca, f);
}

/* Passes a frame of the caller to the gate. */
static void do_to_gate(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us)
{
	if (f->type == EB_FRAME_END) {
		ca->body_done = 1;
		if (!ca->strict_deadline)
			ca->deadline_us = now_us + ca->budget_us;
	}
	f->call = ca->at->number;
	f->sender = og->config.incarnation;
	if (!og->out.to_gate(og->out.ctx, ca->at->node, f))
		return;
	/* What follows on another connection would follow a gap. */
	do_cancel(og, ca, NULL, now_us);
	mark_attempt_lost(og, ca, ca->at, now_us);
}

/* Tells whether a retry might crash another upstream. */
static int may_crash_upstreams(const struct call *ca)
{
	return ca->closed_runs >= EB_CRASH_REFUSE_AT ||
	       ca->reason == EB_REASON_CRASHES;
}

/* Ends the failed attempt and makes another one if that is allowed. */
static void do_retry(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		     int64_t now_us)
{
	struct eb_retry_attempt at = { 0 };
	int lost;

	if (f && f->reply)
		save_reply(ca, f->reply);
	eb_frame_unref(f);
	end_attempt(og, ca, ca->at, 0, now_us);
	log_attempt(og, ca, ca->at, now_us);
	lost = ca->outcome == EB_OUTCOME_NOT_RUN &&
	       ca->reason == EB_REASON_LOST_PEER;
	/* The gate may get it again, on a connection that works. */
	if (lost && ca->tried_count &&
	    ca->tried[ca->tried_count - 1] == ca->at->node)
		ca->tried_count--;
	at.outcome = ca->outcome;
	at.reason = ca->reason;
	at.idempotent = ca->idempotent;
	at.attempts = ca->attempts;
	at.mark = ca->mark;
	at.remaining_us = ca->deadline_us - now_us;
	at.rank = rank_of(ca, now_us);
	if (ca->runs < ca->runs_max && !may_crash_upstreams(ca) &&
	    eb_retry_allow(&ca->service->retry, &at)) {
		eb_metrics_add(og->config.metrics, EB_METRIC_RETRIES, 1);
		eb_metrics_add(og->config.metrics, EB_METRIC_CALLS_RESENT,
			       lost);
		route(og, ca, now_us);
		return;
	}
	eb_metrics_add(og->config.metrics, EB_METRIC_RETRY_DENIED, 1);
	step(og, ca, EVENT_EXHAUSTED, NULL, now_us);
}

static void do_answer(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	(void)now_us;
	save_reply(ca, f->reply);
	ca->unbounded = f->reply->body_kind == EB_BODY_CHUNKED;
	to_front(og, ca, f);
}

/* Stores the result in the last frame of the answer; the call has run. */
static void save_result(struct call *ca, const struct eb_frame *f)
{
	uint16_t status = ca->status;

	save_reply(ca, f->reply);
	if (f->type == EB_FRAME_REND)
		ca->status = status;
	if (ca->status < 500)
		eb_retry_success(&ca->service->retry);
}

/* Passes on the last frame of the answer. */
static void do_finish(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	save_result(ca, f);
	eb_metrics_observe(og->config.metrics, EB_HISTOGRAM_CALL_US,
			   now_us - ca->started_us);
	to_front(og, ca, f);
}

/*
 * Holds the last frame of a claimed call's answer until the holders of its key
 * have the result. Otherwise it would be lost with this daemon, and a resend of
 * the request would be refused although the caller had its answer.
 */
static void do_record(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	save_result(ca, f);
	end_attempt(og, ca, ca->at, 0, now_us);
	ca->last = f;
	settle_claim(og, ca, f, now_us);
}

/* Passes on the last frame of a claimed call's answer. */
static void do_deliver(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us)
{
	eb_frame_unref(f);
	eb_metrics_observe(og->config.metrics, EB_HISTOGRAM_CALL_US,
			   now_us - ca->started_us);
	to_front(og, ca, ca->last);
	ca->last = NULL;
}

/* Sends the gate of an attempt the request to cancel it. */
static void cancel_attempt(struct eb_origin *og, const struct eb_attempt *at)
{
	struct eb_frame *out;

	out = eb_attempt_cancel(at->number, og->config.incarnation);
	if (out)
		og->out.to_gate(og->out.ctx, at->node, out);
}

/* Cancels the attempts in flight at their gates. */
static void do_cancel(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	(void)now_us;
	eb_frame_unref(f);
	if (ca->at->number) {
		ca->outcome = EB_OUTCOME_UNKNOWN;
		/* That of an earlier attempt says nothing about this one. */
		ca->reason = EB_REASON_NONE;
		cancel_attempt(og, ca->at);
	}
	if (ca->other->number)
		cancel_attempt(og, ca->other);
}

/*
 * Ends a call whose gate has not answered by the deadline: it is unknown
 * whether the request ran.
 */
static void do_give_up(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us)
{
	do_cancel(og, ca, f, now_us);
	ca->outcome = EB_OUTCOME_UNKNOWN;
	ca->reason = EB_REASON_DEADLINE;
	do_answer_failure(og, ca, NULL, now_us);
}

/*
 * Tells whether a call ends at its deadline. An answer of known length that has
 * begun may take longer, if the deadline is only the default of its service.
 */
static int ends_at_deadline(const struct call *ca)
{
	return ca->body_done &&
	       (ca->state != ANSWERING || ca->strict_deadline || ca->unbounded);
}

/* Ends a call whose answer the caller has, whatever becomes of the body. */
static void end_answered(struct eb_origin *og, struct call *ca)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_REND, ca->front_id);

	ca->outcome = EB_OUTCOME_RAN;
	ca->reason = EB_REASON_NONE;
	if (!out)
		return;
	out->reply->outcome = EB_OUTCOME_RAN;
	to_front(og, ca, out);
}

/* Aborts an answer whose head the caller already has. */
static void do_cut(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		   int64_t now_us)
{
	if (ca->answer_whole) {
		eb_frame_unref(f);
		end_answered(og, ca);
		return;
	}
	if (f && f->reply)
		ca->reason = f->reply->reason;
	eb_frame_unref(f);
	ca->outcome = EB_OUTCOME_UNKNOWN;
	do_answer_failure(og, ca, NULL, now_us);
}

/* Aborts an answer that has not ended by the deadline. */
static void do_cut_late(struct eb_origin *og, struct call *ca,
			struct eb_frame *f, int64_t now_us)
{
	do_cancel(og, ca, f, now_us);
	ca->reason = EB_REASON_DEADLINE;
	do_cut(og, ca, NULL, now_us);
}

/* In the order of action_names. */
static action_fn *const actions[] = {
	do_none,	   do_drop,	     do_route,	     do_retry,
	do_answer_failure, do_answer_stored, do_leave_claim, do_to_front,
	do_to_gate,	   do_answer,	     do_finish,	     do_cancel,
	do_give_up,	   do_cut,	     do_record,	     do_deliver,
	do_cut_late,
};

/* Tells whether an action calls step(), which may free the call. */
static int calls_step(action_fn *action)
{
	return action == do_route || action == do_retry || action == do_to_gate;
}

/* Runs the chart's transition for an event; this may free the call. */
static void step(struct eb_origin *og, struct call *ca, enum event ev,
		 struct eb_frame *f, int64_t now_us)
{
	uint32_t next, action;

	if (eb_chart_step(og->chart, ca->state, ev, &next, &action)) {
		do_drop(og, ca, f, now_us);
		return;
	}
	if (calls_step(actions[action])) {
		ca->state = (uint8_t)next;
		actions[action](og, ca, f, now_us);
		return;
	}
	actions[action](og, ca, f, now_us);
	ca->state = (uint8_t)next;
	if (next != DONE)
		return;
	end_attempt(og, ca, ca->at, 0, now_us);
	end_attempt(og, ca, ca->other, 1, now_us);
	log_call(og, ca, now_us);
	count_call(og, ca, now_us);
	count_answer(og, ca, now_us);
	settle_claim(og, ca, NULL, now_us);
	add_span(og, ca, EB_SPAN_CALL, NULL, now_us);
	free_call(og, ca);
}

/* ---- Frames of the front ---- */

/* Refuses a request without creating a call. */
static void refuse_request(struct eb_origin *og, struct eb_frame *f,
			   const struct eb_match *pt, enum eb_reason reason,
			   uint32_t retry_after_ms)
{
	struct eb_call_stats *tl = eb_metrics_call_stats(og->config.metrics);
	struct eb_frame *out = eb_failure_frame(f->call, EB_OUTCOME_NOT_RUN,
						reason, 0, retry_after_ms, 0);
	struct eb_call_stats_call tc = { EB_OUTCOME_NOT_RUN,
					 (uint8_t)reason,
					 EB_CALL_STATS_NOT_SENT,
					 0,
					 0,
					 0 };

	eb_call_stats_add(
		tl, eb_call_stats_route(tl, pt ? pt->name : NO_ROUTE_NAME),
		&tc);

	eb_log_write(
		og->config.log, EB_LOG_WARN, "origin", "call refused",
		"id=%s target=\"%s\" reason=%s release=%llu", request_id(og, f),
		f->head->target, eb_reason_name(reason),
		(unsigned long long)eb_nodes_config(og->config.nodes)->release);
	eb_frame_unref(f);
	if (out)
		og->out.to_front(og->out.ctx, out);
}

/* Applies the matched path's limits on time and attempts, and its priority. */
static void apply_match(struct call *ca, const struct eb_match *pt)
{
	struct eb_head *h = ca->head->head;

	ca->idempotent = pt->idempotent;
	h->idempotent = pt->idempotent;
	h->priority = pt->priority;
	h->kind = pt->kind;
	if (pt->attempts)
		ca->runs_max = pt->attempts;
	if (pt->timeout_ms &&
	    (!ca->strict_deadline || ca->budget_us > pt->timeout_ms * 1000LL))
		ca->budget_us = pt->timeout_ms * 1000LL;
	/* The deadline holds even if the body has not arrived completely. */
	ca->strict_deadline = 1;
	ca->body_done = 1;
}

/* Sets the fields of a call from its request; `pt` is NULL without a match. */
static void init_call(struct eb_origin *og, struct call *ca,
		      const struct eb_match *pt, int64_t received_us)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	const struct eb_rule *rule;
	struct eb_head *h = ca->head->head;
	struct eb_home hm;

	rule = eb_nodes_rule(og->config.nodes, ca->service);
	ca->front_id = ca->head->call;
	ca->at = &ca->slots[0];
	ca->other = &ca->slots[1];
	ca->at->owner = ca->other->owner = ca;
	ca->at->node = ca->other->node = EB_NONE;
	ca->idempotent = (uint8_t)eb_matcher_idempotent(
		rule->idempotent_methods, h->method);
	h->idempotent = ca->idempotent;
	ca->streamed = h->body_kind == EB_BODY_LENGTH ||
		       h->body_kind == EB_BODY_CHUNKED;
	ca->hops = (uint8_t)(h->hops - 1);
	ca->strict_deadline = h->remaining_us > 0;
	ca->body_done = !ca->streamed || ca->strict_deadline;
	ca->budget_us = h->remaining_us;
	if (!ca->strict_deadline)
		ca->budget_us =
			cf->services[ca->service->index]->deadline_ms * 1000LL;
	ca->runs_max = EB_ATTEMPTS_MAX;
	if (pt)
		apply_match(ca, pt);
	eb_home_of(pt, cf->services[ca->service->index], &hm);
	ca->regions = eb_nodes_allowed_regions(og->config.nodes, &hm);
	ca->generation = eb_nodes_generation(og->config.nodes);
	ca->route =
		eb_call_stats_route(eb_metrics_call_stats(og->config.metrics),
				    pt ? pt->name : ca->service->name);
	ca->started_us = received_us;
	ca->deadline_us = received_us + ca->budget_us;
	if (pt)
		ca->goal_us = eb_goal_of(og->goal, pt, h->remaining_us,
					 ca->started_us);
	ca->started_wall_us = eb_clock_wall_us();
	ca->parent = h->trace;
	eb_trace_new_span(&og->rand, ca->call_span);
	ca->state = ROUTING;
	ca->outcome = EB_OUTCOME_NOT_RUN;
	ca->reason = EB_REASON_NO_UPSTREAM;
}

/*
 * Finds the path and the service of a request. Returns the reason to refuse
 * it, or EB_REASON_NONE.
 */
static enum eb_reason check_head(struct eb_origin *og, struct eb_frame *f,
				 int64_t now_us, struct eb_service_state **sv,
				 const struct eb_match **pt)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	struct eb_head *h = f->head;
	uint32_t index;

	if (!h->hops)
		return EB_REASON_HOPS;
	if (h->remaining_us < 0)
		return EB_REASON_DEADLINE;
	if (eb_origin_active(og) >= EB_CALLS_MAX) {
		eb_metrics_add(og->config.metrics, EB_METRIC_CALLS_REFUSED, 1);
		return EB_REASON_QUEUE_FULL;
	}
	if ((!cf->release && !cf->has_matches) || !og->serving)
		return EB_REASON_NO_UPSTREAM;
	index = eb_matcher_service(&og->matcher, cf, h, pt);
	if (index == EB_NONE)
		return *pt ? EB_REASON_NO_UPSTREAM : EB_REASON_NO_ROUTE;
	*sv = eb_nodes_service(og->config.nodes, index, now_us);
	return *sv && (*sv)->limit ? EB_REASON_NONE : EB_REASON_INTERNAL;
}

/* Counts a request that may get a copy, and updates the share of copies. */
static void count_copy_request(struct eb_metrics *mt)
{
	eb_metrics_add(mt, EB_METRIC_COPY_REQUESTS, 1);
	eb_metrics_set(mt, EB_METRIC_COPIES_PERMILLE,
		       eb_metrics_get(mt, EB_METRIC_COPIES_SENT) * 1000 /
			       eb_metrics_get(mt, EB_METRIC_COPY_REQUESTS));
}

/*
 * Creates the call of a request that came at `received_us`, or refuses the
 * request.
 */
static void start_call(struct eb_origin *og, struct eb_frame *f,
		       int64_t received_us, int64_t now_us)
{
	struct eb_service_state *sv = NULL;
	const struct eb_match *pt = NULL;
	enum eb_reason reason = check_head(og, f, now_us, &sv, &pt);
	struct call *ca = NULL;
	uint32_t wait_ms = 0;

	if (reason == EB_REASON_NONE) {
		wait_ms = eb_limit_take(sv->limit, f->head->caller, now_us);
		if (wait_ms) {
			eb_metrics_add(og->config.metrics,
				       EB_METRIC_CALLERS_LIMITED, 1);
			reason = EB_REASON_CALLER_LIMIT;
		} else {
			ca = calloc(1, sizeof(*ca));
			if (!ca)
				reason = EB_REASON_INTERNAL;
		}
	}
	if (!ca) {
		refuse_request(og, f, pt, reason, wait_ms);
		return;
	}
	ca->head = f;
	ca->service = sv;
	f->head->service = strdup(sv->name);
	init_call(og, ca, pt, received_us);
	apr_hash_set(og->by_front, &ca->front_id, sizeof(ca->front_id), ca);
	eb_metrics_add(og->config.metrics, EB_METRIC_CALLS_ACTIVE, 1);
	eb_retry_request(&sv->retry);
	eb_urgency_record(&sv->urgency, ca->head->head->priority,
			  EB_URGENCY_REQUEST, now_us);
	if (sv->hedge)
		count_copy_request(og->config.metrics);
	if (needs_claim(og, ca))
		start_claim(og, ca, now_us);
	else
		route(og, ca, now_us);
}

/*
 * Holds a request that came before the daemon serves; refuses it without room.
 */
static void hold_call(struct eb_origin *og, struct eb_frame *f, int64_t now_us)
{
	if (eb_early_add(og->early, f, now_us))
		refuse_request(og, f, NULL, EB_REASON_NO_UPSTREAM,
			       EB_EARLY_RETRY_MS);
	else
		eb_metrics_add(og->config.metrics, EB_METRIC_EARLY_CALLS, 1);
}

/* Refuses the requests that have been held for EB_EARLY_WAIT_MS. */
static void expire_early(struct eb_origin *og, int64_t now_us)
{
	int64_t until_us = now_us - EB_EARLY_WAIT_MS * 1000LL, received_us;
	struct eb_frame *f;

	while ((f = eb_early_take(og->early, until_us, &received_us)))
		refuse_request(og, f, NULL, EB_REASON_NO_UPSTREAM,
			       EB_EARLY_RETRY_MS);
}

/* Accepts requests from now on, those first that were held until now. */
void eb_origin_serve(struct eb_origin *og, int64_t now_us)
{
	int64_t received_us;
	struct eb_frame *f;

	og->serving = 1;
	while ((f = eb_early_take(og->early, INT64_MAX, &received_us)))
		start_call(og, f, received_us, now_us);
}

/* Handles a frame of the front; takes the reference over. */
void eb_origin_from_front(struct eb_origin *og, struct eb_frame *f,
			  int64_t now_us)
{
	struct call *ca;

	if (f->type == EB_FRAME_HEAD) {
		if (og->serving)
			start_call(og, f, now_us, now_us);
		else
			hold_call(og, f, now_us);
		return;
	}
	if (f->type == EB_FRAME_CANCEL && eb_early_count(og->early))
		eb_early_cancel(og->early, f->call);
	ca = apr_hash_get(og->by_front, &f->call, sizeof(f->call));
	if (!ca) {
		do_drop(og, NULL, f, now_us);
		return;
	}
	step(og, ca, f->type == EB_FRAME_CANCEL ? EVENT_GONE : EVENT_BODY, f,
	     now_us);
}

/* ---- Decisions on claims ---- */

/*
 * Carries out the claimant's decision on a call: run it, answer with a stored
 * response, refuse it, or pass on the answer of its run. A grant for a call
 * that has ended is given back.
 */
void eb_origin_claim_action(struct eb_origin *og,
			    const struct eb_claimant_action *act,
			    int64_t now_us)
{
	struct eb_frame *f = NULL;
	struct call *ca;

	ca = apr_hash_get(og->by_front, &act->call, sizeof(act->call));
	if (act->kind == EB_CLAIMANT_DELIVER) {
		if (ca)
			step(og, ca, EVENT_RECORDED, NULL, now_us);
		return;
	}
	if (!ca || ca->state != CLAIMING) {
		if (act->kind == EB_CLAIMANT_RUN)
			eb_claimant_not_run(og->config.claims, act->call,
					    now_us);
		return;
	}
	if (act->kind == EB_CLAIMANT_RUN) {
		step(og, ca, EVENT_GRANTED, NULL, now_us);
		return;
	}
	if (act->kind == EB_CLAIMANT_ANSWER_STORED)
		f = eb_claim_stored_answer(&act->response);
	if (f) {
		step(og, ca, EVENT_STORED, f, now_us);
		return;
	}
	ca->outcome =
		act->kind == EB_CLAIMANT_REFUSE ? act->outcome : EB_OUTCOME_RAN;
	ca->status = act->kind == EB_CLAIMANT_REFUSE ? act->status : 409;
	ca->retry_after_ms = act->retry_after_ms;
	step(og, ca, EVENT_REFUSE, NULL, now_us);
}

/* ---- Frames of gates ---- */

static enum event gate_event(const struct call *ca, const struct eb_frame *f)
{
	switch (f->type) {
	case EB_FRAME_CREDIT:
		return EVENT_CREDIT;
	case EB_FRAME_RHEAD:
	case EB_FRAME_REND:
		if (!eb_frame_ends_answer(f))
			return EVENT_ANSWER_HEAD;
		return ca->claimed ? EVENT_ANSWER_CLAIMED : EVENT_ANSWER_LAST;
	case EB_FRAME_RDATA:
		return EVENT_ANSWER_DATA;
	case EB_FRAME_REFUSE:
		return EVENT_REFUSE;
	default:
		return EVENT_FAILED;
	}
}

/*
 * Passes a load report to the router and notes whether the upstream leaves.
 * `sv` is NULL for a heartbeat reply, whose load only second copies use.
 */
static void apply_load(struct eb_origin *og, uint32_t node,
		       struct eb_service_state *sv, const struct eb_load *ld,
		       int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);

	if (!n)
		return;
	if (n->draining != ld->draining) {
		n->draining = (uint8_t)ld->draining;
		eb_nodes_changed(og->config.nodes, node, now_us);
	}
	if (sv && ld->slots)
		eb_route_load(sv->route, node, ld, now_us);
	if (sv)
		return;
	sv = eb_nodes_service_of(og->config.nodes, node);
	if (sv && sv->hedge)
		eb_route_heard(sv->route, node, ld, now_us);
}

/* Stores the bandwidth of a gate's link, which heartbeat replies carry. */
static void save_link(struct eb_origin *og, uint32_t node, uint32_t link_mbps,
		      int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);

	if (!n || n->link_mbps == link_mbps)
		return;
	n->link_mbps = link_mbps;
	eb_nodes_changed(og->config.nodes, node, now_us);
}

/*
 * Completes `f`, a heartbeat to a node's gate: adds the numbers of attempts
 * that have been there for long, or of all if the connection was replaced.
 */
void eb_origin_list_overdue(const struct eb_origin *og, uint32_t node,
			    struct eb_frame *f, int64_t now_us)
{
	f->call = og->next_number;
	eb_attempts_list_overdue(og->attempts, node, f, now_us);
}

/*
 * Cancels the calls in a gate's heartbeat reply that this origin does not
 * have: the frame that ended them was lost.
 */
static void cancel_unknown_calls(struct eb_origin *og, uint32_t node,
				 const struct eb_frame *f)
{
	uint32_t i, n = eb_overdue_count(f);
	struct eb_frame *out;
	uint64_t number;

	for (i = 0; i < n; i++) {
		number = eb_overdue_at(f, i);
		if (eb_attempts_find(og->attempts, number))
			continue;
		out = eb_attempt_cancel(number, og->config.incarnation);
		if (!out)
			return;
		eb_log_write(og->config.log, EB_LOG_WARN, "origin",
			     "gate lists an attempt unknown to this daemon, "
			     "cancelling it",
			     "call=%llu", (unsigned long long)number);
		/* If this is lost, the next heartbeat lists the call again. */
		og->out.to_gate(og->out.ctx, node, out);
	}
}

/*
 * Ends an attempt whose gate was lost or is unresponsive. It is unknown
 * whether the request ran. Without another attempt in flight, the chart decides
 * whether it is retried.
 */
static void mark_attempt_lost(struct eb_origin *og, struct call *ca,
			      struct eb_attempt *at, int64_t now_us)
{
	ca->outcome = EB_OUTCOME_UNKNOWN;
	ca->reason = EB_REASON_LOST_PEER;
	ca->status = 0;
	if (ca->other->number)
		drop_attempt(og, ca, at, now_us);
	else
		step(og, ca, EVENT_LOST, NULL, now_us);
}

/* Ends the attempts at the gate of a lost node; retries where allowed. */
void eb_origin_gate_lost(struct eb_origin *og, uint32_t node, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->at->in_flight && ca->at->node == node)
			mark_attempt_lost(og, ca, ca->at, now_us);
		else if (ca->other->in_flight && ca->other->node == node)
			mark_attempt_lost(og, ca, ca->other, now_us);
	}
	eb_nodes_changed(og->config.nodes, node, now_us);
}

/*
 * Tells whether an attempt at an unresponsive gate should be moved: the request
 * is idempotent and not at another gate too, the retry limits allow it, and
 * there is another upstream.
 */
static int should_move(const struct eb_origin *og, struct call *ca,
		       uint32_t node, int64_t now_us)
{
	struct eb_route_query q;

	if (!ca->at->in_flight || ca->at->node != node ||
	    ca->other->in_flight || ca->state != WAITING || !ca->idempotent ||
	    ca->attempts >= EB_ATTEMPTS_MAX || ca->runs + 1 >= ca->runs_max ||
	    !eb_retry_left(&ca->service->retry))
		return 0;
	init_query(og, ca, &q);
	return eb_route_has_other(ca->service->route, &q, now_us);
}

/* Moves an idempotent call from an unresponsive gate to another upstream. */
static void move_call(struct eb_origin *og, struct call *ca, uint32_t node,
		      int64_t now_us)
{
	if (!should_move(og, ca, node, now_us))
		return;
	do_cancel(og, ca, NULL, now_us);
	mark_attempt_lost(og, ca, ca->at, now_us);
}

/* Moves idempotent calls from an unresponsive gate to other upstreams. */
void eb_origin_gate_suspected(struct eb_origin *og, uint32_t node,
			      int64_t now_us)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi))
		move_call(og, apr_hash_this_val(hi), node, now_us);
}

/* ---- Second copies ---- */

static void swap_attempts(struct call *ca)
{
	struct eb_attempt *at = ca->at;

	ca->at = ca->other;
	ca->other = at;
}

/*
 * Ends one of two attempts in flight, with the result of the call; the call
 * goes on with the other one. If that is at an unresponsive gate, it is moved,
 * as it was left there because of this one.
 */
static void drop_attempt(struct eb_origin *og, struct call *ca,
			 struct eb_attempt *at, int64_t now_us)
{
	const struct eb_node *n;

	if (at == ca->at)
		swap_attempts(ca);
	end_attempt(og, ca, at, 0, now_us);
	log_attempt(og, ca, at, now_us);
	n = eb_nodes_get(og->config.nodes, ca->at->node);
	if (n->peer && n->peer->liveness.suspected)
		move_call(og, ca, ca->at->node, now_us);
}

/*
 * Handles a frame of one of two attempts in flight. Returns 1 for the first
 * answer, which the chart then handles; the other attempt is cancelled. A
 * failure or refusal leaves the call to the other attempt.
 */
static int is_first_answer(struct eb_origin *og, struct call *ca,
			   struct eb_attempt *at, struct eb_frame *f,
			   int64_t now_us)
{
	if (f->type == EB_FRAME_RHEAD) {
		if (at != ca->at)
			swap_attempts(ca);
		eb_metrics_add(og->config.metrics,
			       at->copy ? EB_METRIC_COPIES_WON
					: EB_METRIC_COPIES_CANCELLED,
			       1);
		cancel_attempt(og, ca->other);
		end_attempt(og, ca, ca->other, 1, now_us);
		return 1;
	}
	if (f->type == EB_FRAME_CREDIT) {
		eb_frame_unref(f);
		return 0;
	}
	if (f->reply)
		save_reply(ca, f->reply);
	eb_frame_unref(f);
	drop_attempt(og, ca, at, now_us);
	return 0;
}

/*
 * Records the time to the first frame of an answer for the decisions on copies,
 * if the request could have had one and no attempt before has failed.
 */
static void learn_answer(const struct call *ca, const struct eb_frame *f,
			 int64_t now_us)
{
	if (ca->state == WAITING && ca->idempotent && !ca->streamed &&
	    ca->runs <= ca->copies && f->reply->status < 500)
		eb_hedge_answered(ca->service->hedge, ca->head->head->kind,
				  ca->head->head->body_bytes,
				  now_us - ca->first_sent_us, now_us);
}

/*
 * Tells whether the head of an answer was lost on the way to this frame, with
 * the connection to the gate.
 */
static int lacks_head(const struct call *ca, const struct eb_frame *f)
{
	return (f->type == EB_FRAME_RDATA || f->type == EB_FRAME_REND) &&
	       ca->state != ANSWERING;
}

/*
 * Handles a frame of the gate of a node; takes the reference over. A frame of
 * an attempt that has ended is dropped.
 */
void eb_origin_from_gate(struct eb_origin *og, uint32_t node,
			 struct eb_frame *f, int64_t now_us)
{
	struct eb_attempt *at;
	struct call *ca;

	if (f->type == EB_FRAME_HELLO) {
		apply_load(og, node, NULL, &f->reply->load, now_us);
		save_link(og, node, f->reply->status, now_us);
		cancel_unknown_calls(og, node, f);
		eb_frame_unref(f);
		return;
	}
	at = eb_attempts_find(og->attempts, f->call);
	if (!at || at->node != node) {
		do_drop(og, NULL, f, now_us);
		return;
	}
	ca = at->owner;
	if (f->reply) {
		apply_load(og, node, ca->service, &f->reply->load, now_us);
		eb_attempt_note_leaving(at, og->config.nodes,
					og->config.dialect, og->config.log,
					request_id(og, ca->head), f, now_us);
	}
	if (lacks_head(ca, f)) {
		cancel_attempt(og, at);
		eb_frame_unref(f);
		mark_attempt_lost(og, ca, at, now_us);
		return;
	}
	if (ca->other->number && !is_first_answer(og, ca, at, f, now_us))
		return;
	if (f->type == EB_FRAME_RHEAD && f->reply)
		learn_answer(ca, f, now_us);
	if (eb_test_off("whole-answer") && ca->state == ANSWERING &&
	    f->type == EB_FRAME_ABORT)
		f->type = EB_FRAME_REND;
	step(og, ca, gate_event(ca, f), f, now_us);
}

/* Sends a copy of a request that has waited for long, if that is allowed. */
static void consider_copy(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	struct eb_service_state *sv = ca->service;
	struct eb_hedge_request rq = { 0 };
	struct eb_route_query q;
	uint32_t node;

	if (!sv->hedge || ca->state != WAITING || ca->other->in_flight)
		return;
	rq.kind = ca->head->head->kind;
	rq.body_bytes = ca->head->head->body_bytes;
	rq.idempotent = ca->idempotent;
	rq.inline_body = !ca->streamed;
	rq.attempts = ca->attempts;
	rq.runs = ca->runs;
	rq.runs_max = ca->runs_max;
	rq.sent_us = ca->first_sent_us;
	rq.deadline_us = ca->deadline_us;
	if (eb_hedge_check(sv->hedge, &sv->retry, &rq, now_us) != EB_HEDGE_DUE)
		return;
	init_query(og, ca, &q);
	if (ca->tried_count >= EB_TRIED_MAX ||
	    eb_route_pick_spare(sv->route, &q, now_us, &node))
		return;
	ca->tried[ca->tried_count++] = node;
	if (send_to(og, ca, node, 1, now_us))
		return;
	ca->copies++;
	eb_hedge_sent(sv->hedge, &sv->retry);
	eb_metrics_add(og->config.metrics, EB_METRIC_COPIES_SENT, 1);
}

/* Routes the parked requests again, after a node has come up. */
void eb_origin_node_up(struct eb_origin *og, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	if (!og->parked)
		return;
	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->parked)
			route(og, ca, now_us);
	}
}

/* Sends a heartbeat to a gate that has not answered an attempt for long. */
static void check_gate(struct eb_origin *og, const struct eb_attempt *at,
		       int64_t now_us)
{
	const struct eb_node *n;

	if (!at->in_flight)
		return;
	n = eb_nodes_get(og->config.nodes, at->node);
	if (n->peer &&
	    eb_liveness_check_due(&n->peer->liveness, at->sent_us, now_us))
		og->out.ask(og->out.ctx, at->node);
}

/*
 * Runs the timers: ends calls past their deadline, routes those again that were
 * parked for too long, and checks gates that have not answered.
 */
void eb_origin_tick(struct eb_origin *og, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	expire_early(og, now_us);
	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->parked && !may_park(og, ca, now_us))
			route(og, ca, now_us);
		else if (ends_at_deadline(ca) &&
			 now_us >= ca->deadline_us + EXPIRE_GRACE_US)
			step(og, ca, EVENT_EXPIRE, NULL, now_us);
		else {
			check_gate(og, ca->at, now_us);
			check_gate(og, ca->other, now_us);
			consider_copy(og, ca, now_us);
		}
	}
}
