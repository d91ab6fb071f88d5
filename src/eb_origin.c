#include "eb_origin.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eb_chart.h"
#include "eb_clock.h"
#include "eb_crash.h"
#include "eb_overdue.h"
#include "eb_tally.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/* How much longer than its deadline an origin waits for the gate's word. */
#define EXPIRE_GRACE_US 50000
/* In the counts by route: requests that were refused before they had one. */
#define NO_ROUTE_NAME "(none)"
/* The golden ratio of 2^32. */
#define GOLDEN_STEP 2654435769U

/* States, events and actions in the order of the names below. */
enum state { CLAIMING, ROUTING, WAITING, SENDING, ANSWERING, DONE };

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
};

static const char *const state_names[] = { "claiming", "routing",   "waiting",
					   "sending",  "answering", "done",
					   NULL };
static const char *const event_names[] = {
	"granted",     "stored",      "sent",	     "parked",
	"exhausted",   "gone",	      "expire",	     "body",
	"credit",      "refuse",      "failed",	     "lost",
	"answer_head", "answer_data", "answer_last", NULL
};
static const char *const action_names[] = {
	"none",		 "drop",	"route",    "retry",   "answer_failure",
	"answer_stored", "leave_claim", "to_front", "to_gate", "answer",
	"finish",	 "cancel",	"give_up",  "cut",     NULL
};

/* The HTTP status of a call that failed, by reason. */
static const uint16_t reason_status[EB_REASON_MAX + 1] = {
	[EB_REASON_NONE] = 502,
	[EB_REASON_NO_ROUTE] = 404,
	[EB_REASON_NO_UPSTREAM] = 503,
	[EB_REASON_QUEUE_FULL] = 503,
	[EB_REASON_DEADLINE] = 504,
	[EB_REASON_DRAINING] = 503,
	[EB_REASON_CONNECT] = 503,
	[EB_REASON_HANDED_BACK] = 503,
	[EB_REASON_CALLER_LIMIT] = 429,
	[EB_REASON_CRASHES] = 503,
	[EB_REASON_CLAIM] = 409,
	[EB_REASON_HOPS] = 508,
	[EB_REASON_LOST_PEER] = 502,
	[EB_REASON_UPSTREAM_CLOSED] = 502,
	[EB_REASON_STALLED] = 504,
	[EB_REASON_INTERNAL] = 500,
	[EB_REASON_UPSTREAM_REFUSED] = 503,
};

struct call {
	uint64_t front_id;
	uint64_t number; /* of the current attempt; 0: none */
	struct eb_frame *head;
	struct eb_service_state *service;
	uint32_t node;
	uint32_t tried[EB_TRIED_MAX];
	uint8_t tried_count;
	uint8_t attempts;
	uint8_t mark; /* that the last attempt carried to its gate */
	uint8_t state;
	uint8_t streamed;
	uint8_t body_done;
	uint8_t strict_deadline; /* set by the caller */
	uint8_t idempotent;
	uint8_t parked;
	uint8_t at_gate;   /* the router counts an attempt in flight */
	uint8_t maybe_ran; /* an attempt ended without a word on it */
	uint8_t claimed;   /* holds the grant of its key and must settle it */
	uint8_t closed;	   /* runs that ended with the upstream's connection */
	uint8_t runs;	   /* attempts that may have run */
	uint8_t runs_max;  /* as the path allows */
	/* How the last attempt failed; the answer when there is no other. */
	uint8_t outcome;
	uint8_t reason;
	uint16_t status;
	uint32_t retry_after_ms;
	uint8_t hops;
	uint32_t route; /* place in the tally */
	int64_t budget_us;
	int64_t deadline_us;
	int64_t goal_us; /* until then an answer is on time; 0: no goal */
	int64_t started_us;
	int64_t attempt_us;
	int64_t started_wall_us;
	struct eb_trace_id parent;
	uint8_t call_span[8];
	uint8_t attempt_span[8];
};

struct eb_origin {
	struct eb_origin_outlets out;
	struct eb_origin_config config;
	struct eb_chart *chart;
	struct eb_rand rand; /* for span numbers */
	apr_pool_t *pool;
	apr_hash_t *by_front;  /* number given by the front -> call */
	apr_hash_t *by_number; /* number of an attempt -> call */
	apr_hash_t *longest;   /* match -> longest deadline seen, us */
	uint64_t next_number;
	uint32_t parked;
	uint32_t share_point; /* where the next request falls in a split */
	int serving;
};

typedef void action_fn(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us);

static void step(struct eb_origin *og, struct call *ca, enum event ev,
		 struct eb_frame *f, int64_t now_us);

/*
 * Creates an origin. Returns NULL, with findings, when its state chart is
 * not valid, or without memory.
 */
struct eb_origin *eb_origin_new(const struct eb_origin_config *cf,
				const struct eb_origin_outlets *out,
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
	og->share_point = (uint32_t)cf->incarnation;
	og->chart = eb_chart_load("origin", &names, fs);
	if (!og->chart || apr_pool_create(&og->pool, NULL) != APR_SUCCESS) {
		eb_chart_free(og->chart);
		free(og);
		return NULL;
	}
	og->by_front = apr_hash_make(og->pool);
	og->by_number = apr_hash_make(og->pool);
	og->longest = apr_hash_make(og->pool);
	return og;
}

static void free_call(struct eb_origin *og, struct call *ca)
{
	apr_hash_set(og->by_front, &ca->front_id, sizeof(ca->front_id), NULL);
	if (ca->number)
		apr_hash_set(og->by_number, &ca->number, sizeof(ca->number),
			     NULL);
	if (ca->parked)
		og->parked--;
	eb_limit_done(ca->service->limit, ca->head->head->caller);
	eb_frame_unref(ca->head);
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
	free(og);
}

/* The release in force may be served from now on. */
void eb_origin_serve(struct eb_origin *og)
{
	og->serving = 1;
}

/* Returns the number of calls that are not finished. */
uint32_t eb_origin_active(const struct eb_origin *og)
{
	return apr_hash_count(og->by_front);
}

/* The number by which callers know a request; "-" when there is none. */
static const char *request_id(const struct eb_origin *og,
			      const struct eb_frame *head)
{
	const struct eb_dialect *dl = og->config.dialect;
	const char *id = NULL;

	if (dl && dl->request_id)
		id = eb_headers_find(&head->head->headers, dl->request_id);
	return id ? id : "-";
}

/* One line for each way that an attempt ended without an answer. */
static void log_attempt(const struct eb_origin *og, const struct call *ca,
			int64_t now_us)
{
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->node);

	eb_log_write(og->config.log, EB_LOG_INFO, "origin", "attempt ended",
		     "id=%s upstream=%s distance=%s attempt=%u outcome=%s "
		     "reason=%s attempt_ms=%lld left_ms=%lld",
		     request_id(og, ca->head), n ? n->name : "-",
		     n ? eb_distance_name(n->distance) : "-", ca->attempts,
		     eb_outcome_name(ca->outcome), eb_reason_name(ca->reason),
		     (long long)(now_us - ca->attempt_us) / 1000,
		     (long long)(ca->deadline_us - now_us) / 1000);
}

/* One line for each call that has ended. */
static void log_call(const struct eb_origin *og, const struct call *ca,
		     int64_t now_us)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->node);

	eb_log_write(og->config.log,
		     ca->outcome == EB_OUTCOME_RAN && ca->status < 500
			     ? EB_LOG_INFO
			     : EB_LOG_WARN,
		     "origin", "call ended",
		     "id=%s service=%s upstream=%s distance=%s attempts=%u "
		     "runs=%u status=%u outcome=%s reason=%s ms=%lld "
		     "last_ms=%lld left_ms=%lld release=%llu",
		     request_id(og, ca->head), ca->service->name,
		     n ? n->name : "-", n ? eb_distance_name(n->distance) : "-",
		     ca->attempts, ca->runs, ca->status,
		     eb_outcome_name(ca->outcome), eb_reason_name(ca->reason),
		     (long long)(now_us - ca->started_us) / 1000,
		     (long long)(now_us - ca->attempt_us) / 1000,
		     (long long)(ca->deadline_us - now_us) / 1000,
		     (unsigned long long)cf->release);
}

/* Counts a call that has ended, by its route. */
static void tally_call(struct eb_origin *og, const struct call *ca,
		       int64_t now_us)
{
	const struct eb_node *n = eb_nodes_get(og->config.nodes, ca->node);
	const struct eb_retry *rb = &ca->service->retry;
	struct eb_tally_call tc = { 0 };

	tc.outcome = ca->outcome;
	tc.reason = ca->reason;
	tc.distance = n ? n->distance : EB_TALLY_NOWHERE;
	tc.us = now_us - ca->started_us;
	tc.retries_left = eb_retry_left(rb);
	tc.reroutes_left = eb_retry_reroutes_left(rb);
	eb_tally_add(eb_metrics_tally(og->config.metrics), ca->route, &tc);
}

static void add_span(struct eb_origin *og, const struct call *ca,
		     enum eb_span_kind kind, const uint8_t *id,
		     const uint8_t *parent, int64_t from_us, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, ca->node);
	struct eb_span sp = { 0 };

	memcpy(sp.trace, ca->parent.trace, sizeof(sp.trace));
	memcpy(sp.id, id, sizeof(sp.id));
	memcpy(sp.parent, parent, sizeof(sp.parent));
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

/* Tells the router how the attempt ended; an ejection is logged. */
static void note_result(struct eb_origin *og, const struct call *ca,
			const struct eb_route_result *rs, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, ca->node);
	struct eb_route_stats before, after;

	eb_route_read_stats(ca->service->route, &before);
	eb_route_done(ca->service->route, ca->node, rs, now_us);
	eb_route_read_stats(ca->service->route, &after);
	if (after.ejections != before.ejections)
		eb_log_write(og->config.log, EB_LOG_INFO, "origin",
			     "upstream ejected",
			     "upstream=%s service=%s outcome=%s reason=%s "
			     "status=%u out=%u",
			     n ? n->name : "-", ca->service->name,
			     eb_outcome_name(rs->outcome),
			     eb_reason_name(rs->reason), rs->status, after.out);
}

/* Tells the router and the trace how the attempt ended. */
static void end_attempt(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	struct eb_route_result rs = { ca->outcome, ca->reason, ca->status,
				      now_us - ca->attempt_us };

	if (ca->number) {
		apr_hash_set(og->by_number, &ca->number, sizeof(ca->number),
			     NULL);
		ca->number = 0;
	}
	if (!ca->at_gate)
		return;
	ca->at_gate = 0;
	ca->maybe_ran |= ca->outcome != EB_OUTCOME_NOT_RUN;
	ca->closed += ca->reason == EB_REASON_UPSTREAM_CLOSED;
	if (ca->outcome != EB_OUTCOME_NOT_RUN ||
	    ca->reason == EB_REASON_UPSTREAM_REFUSED)
		ca->runs++;
	note_result(og, ca, &rs, now_us);
	add_span(og, ca, EB_SPAN_ATTEMPT, ca->attempt_span, ca->call_span,
		 ca->attempt_us, now_us);
}

static void note_reply(struct call *ca, const struct eb_reply *r)
{
	ca->outcome = r->outcome;
	ca->reason = r->reason;
	ca->status = r->status;
	ca->retry_after_ms = r->retry_after_ms;
}

static void to_front(struct eb_origin *og, const struct call *ca,
		     struct eb_frame *f)
{
	f->call = ca->front_id;
	og->out.to_front(og->out.ctx, f);
}

/* ---- Claims ---- */

/* Requests with a key that must not run twice need the key's grant. */
static int needs_claim(const struct eb_origin *og, const struct call *ca)
{
	return og->config.claims && ca->head->head->key && !ca->idempotent &&
	       eb_nodes_rule(og->config.nodes, ca->service)->claims;
}

/*
 * The digest binds a key to its request. The caller's credentials are part of
 * it: a key that two callers share by accident never gives one of them the
 * other's answer. Of a streamed body only the length is known here.
 */
static void digest_request(const struct eb_frame *f, uint8_t *digest)
{
	const struct eb_head *h = f->head;
	const char *who = eb_headers_find(&h->headers, "Authorization");
	size_t n = strlen(h->target) + (who ? strlen(who) : 0) + 2;
	char *text = malloc(n);

	if (text)
		snprintf(text, n, "%s\n%s", h->target, who ? who : "");
	eb_claim_digest(h->method, text ? text : h->target, h->body_bytes,
			f->data, f->data_bytes, digest);
	free(text);
}

static void start_claim(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	struct eb_claim_request rq = { 0 };

	ca->state = CLAIMING;
	ca->reason = EB_REASON_CLAIM;
	rq.call = ca->front_id;
	rq.service = ca->service->name;
	eb_claim_key(ca->service->name, ca->head->head->key, rq.key);
	digest_request(ca->head, rq.digest);
	rq.deadline_us = ca->deadline_us;
	eb_claim_start(og->config.claims, &rq, now_us);
}

/* Reports how the run of a claimed call ended; `f` is its answer, if whole. */
static void settle_claim(struct eb_origin *og, struct call *ca,
			 const struct eb_frame *f, int64_t now_us)
{
	enum eb_claim_state state = EB_CLAIM_LOST;
	struct eb_claim_response rs = { 0 };

	if (!ca->claimed)
		return;
	ca->claimed = 0;
	if (!f && ca->outcome == EB_OUTCOME_NOT_RUN && !ca->maybe_ran) {
		eb_claim_not_run(og->config.claims, ca->front_id, now_us);
		return;
	}
	if (f && f->type == EB_FRAME_REND) {
		state = EB_CLAIM_LARGE;
	} else if (f) {
		rs.status = f->reply->status;
		rs.headers = (const uint8_t *)f->reply->headers.block;
		rs.headers_bytes = f->reply->headers.used_bytes;
		rs.body = f->data;
		rs.body_bytes = f->data_bytes;
		state = rs.headers_bytes + rs.body_bytes >
					EB_CLAIM_RESPONSE_MAX_BYTES
				? EB_CLAIM_LARGE
				: EB_CLAIM_DONE;
	}
	eb_claim_ended(og->config.claims, ca->front_id, state, &rs, now_us);
}

/* ---- Routing ---- */

/* Returns a HEAD that this origin alone holds, for the next attempt. */
static struct eb_frame *own_head(struct call *ca)
{
	struct eb_frame *old = ca->head, *f;
	struct eb_head *from = old->head, *to;

	if (__atomic_load_n(&old->refs, __ATOMIC_ACQUIRE) == 1)
		return old;
	f = eb_frame_new_data(EB_FRAME_HEAD, 0, old->data, old->data_bytes);
	if (!f)
		return NULL;
	to = f->head;
	*to = *from;
	memset(&to->headers, 0, sizeof(to->headers));
	to->service = strdup(from->service);
	to->upstream = NULL;
	to->method = strdup(from->method);
	to->target = strdup(from->target);
	to->key = from->key ? strdup(from->key) : NULL;
	to->instance = NULL;
	eb_headers_load(&to->headers, from->headers.block,
			from->headers.used_bytes);
	eb_frame_unref(old);
	ca->head = f;
	return f;
}

/* Fills in what differs from one attempt to the next. */
static struct eb_frame *prepare(struct eb_origin *og, struct call *ca,
				uint32_t node, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);
	struct eb_frame *f = own_head(ca);

	if (!f)
		return NULL;
	free(f->head->upstream);
	f->head->upstream = strdup(n->name);
	free(f->head->instance);
	f->head->instance = n->instance[0] ? strdup(n->instance) : NULL;
	f->head->attempt = eb_retry_mark(&ca->service->retry, ca->attempts);
	f->head->remaining_us =
		ca->body_done ? ca->deadline_us - now_us : ca->budget_us;
	f->head->goal_us = ca->goal_us ? ca->goal_us - now_us : INT64_MAX;
	f->head->usual_pace_percent = eb_route_usual_pace(ca->service->route);
	f->head->hops = ca->hops;
	f->head->trace = ca->parent;
	eb_trace_new_span(&og->rand, ca->attempt_span);
	memcpy(f->head->trace.span, ca->attempt_span, 8);
	f->call = ++og->next_number;
	f->sender = og->config.incarnation;
	f->target = 0;
	return f;
}

static int send_to(struct eb_origin *og, struct call *ca, uint32_t node,
		   int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(og->config.nodes, node);
	struct eb_frame *f = prepare(og, ca, node, now_us);

	if (!f || og->out.to_gate(og->out.ctx, node, eb_frame_ref(f)))
		return -1;
	ca->number = f->call;
	ca->node = node;
	ca->attempts++;
	ca->attempt_us = now_us;
	ca->at_gate = 1;
	apr_hash_set(og->by_number, &ca->number, sizeof(ca->number), ca);
	eb_route_sent(ca->service->route, node, now_us);
	eb_metrics_add(og->config.metrics,
		       n->self ? EB_METRIC_LOCAL_CALLS : EB_METRIC_REMOTE_CALLS,
		       1);
	return 0;
}

/*
 * A request may wait while the daemons of its service are being dialled. One
 * that was refused waits only where the upstream leaves and others are not
 * known yet: what is refused for load is refused at once.
 */
static int may_park(const struct eb_origin *og, const struct call *ca,
		    int64_t now_us)
{
	if (now_us >= ca->deadline_us ||
	    now_us - ca->started_us >= EB_PARK_MS * 1000LL)
		return 0;
	if (ca->attempts && (ca->outcome != EB_OUTCOME_NOT_RUN ||
			     ca->reason != EB_REASON_DRAINING))
		return 0;
	return eb_nodes_awaits_first(og->config.nodes, ca->service);
}

static void park(struct eb_origin *og, struct call *ca, int parked)
{
	if (ca->parked == parked)
		return;
	ca->parked = (uint8_t)parked;
	og->parked += parked ? 1 : (uint32_t)-1;
}

/* Hands the request to the best upstream that takes it. */
static void route(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	struct eb_route_query q = { 0 };
	uint32_t node;

	park(og, ca, 0);
	q.caller = ca->head->head->caller;
	q.idempotent = ca->idempotent;
	q.remaining_us = ca->deadline_us - now_us;
	q.stays_home = ca->streamed && !og->config.uploads_leave_region;
	q.tried = ca->tried;
	q.refused = ca->attempts && (ca->reason == EB_REASON_QUEUE_FULL ||
				     ca->reason == EB_REASON_HANDED_BACK);
	q.last = eb_retry_mark(&ca->service->retry, ca->attempts) >=
		 EB_ATTEMPTS_MAX - 1;
	while (ca->tried_count < EB_TRIED_MAX) {
		q.tried_count = ca->tried_count;
		if (eb_route_pick(ca->service->route, &q, now_us, &node))
			break;
		ca->tried[ca->tried_count++] = node;
		if (!send_to(og, ca, node, now_us)) {
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
	}
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

static void do_route(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		     int64_t now_us)
{
	eb_frame_unref(f);
	ca->claimed = 1;
	ca->reason = EB_REASON_NO_UPSTREAM;
	route(og, ca, now_us);
}

/* Answers with the response of the run that the key has had. */
static void do_answer_stored(struct eb_origin *og, struct call *ca,
			     struct eb_frame *f, int64_t now_us)
{
	(void)now_us;
	note_reply(ca, f->reply);
	to_front(og, ca, f);
}

static void do_leave_claim(struct eb_origin *og, struct call *ca,
			   struct eb_frame *f, int64_t now_us)
{
	eb_frame_unref(f);
	eb_claim_cancel(og->config.claims, ca->front_id, now_us);
}

/* Answers with the failure of the last attempt. */
static void do_answer_failure(struct eb_origin *og, struct call *ca,
			      struct eb_frame *f, int64_t now_us)
{
	enum eb_frame_type type = EB_FRAME_ABORT;
	struct eb_frame *out;

	(void)now_us;
	if (f && f->reply)
		note_reply(ca, f->reply);
	eb_frame_unref(f);
	/* One attempt that may have run outweighs a later refusal. */
	if (ca->maybe_ran)
		ca->outcome = EB_OUTCOME_UNKNOWN;
	if (eb_test_off("not-run-rule")) {
		ca->outcome = EB_OUTCOME_NOT_RUN;
		ca->reason = EB_REASON_NO_UPSTREAM;
	}
	if (ca->outcome == EB_OUTCOME_NOT_RUN)
		type = EB_FRAME_REFUSE;
	out = eb_frame_new(type, ca->front_id);
	if (!out)
		return;
	out->reply->outcome = ca->outcome;
	out->reply->reason = ca->reason;
	out->reply->status = reason_status[ca->reason];
	if (ca->reason == EB_REASON_CLAIM && ca->status)
		out->reply->status = ca->status;
	out->reply->retry_after_ms = ca->retry_after_ms;
	if (ca->reason == EB_REASON_QUEUE_FULL ||
	    ca->reason == EB_REASON_HANDED_BACK)
		out->reply->retry_after_ms +=
			eb_route_come_back_ms(ca->service->route);
	/* 503 invites to send again, which only holds for "not run". */
	if (out->reply->status == 503 && type == EB_FRAME_ABORT)
		out->reply->status = 502;
	if (out->reply->status == 503 && !ca->retry_after_ms)
		out->reply->retry_after_ms = 1000;
	ca->status = out->reply->status;
	to_front(og, ca, out);
}

static void do_to_front(struct eb_origin *og, struct call *ca,
			struct eb_frame *f, int64_t now_us)
{
	(void)now_us;
	to_front(og, ca, f);
}

static void do_to_gate(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us)
{
	if (f->type == EB_FRAME_END) {
		ca->body_done = 1;
		if (!ca->strict_deadline)
			ca->deadline_us = now_us + ca->budget_us;
	}
	f->call = ca->number;
	f->sender = og->config.incarnation;
	/* A frame that can't be sent is lost with the peer; see LOST. */
	og->out.to_gate(og->out.ctx, ca->node, f);
}

/* A request that crashes what runs it is not offered any further. */
static int seems_to_crash(const struct call *ca)
{
	return ca->closed >= EB_CRASH_REFUSE_AT ||
	       ca->reason == EB_REASON_CRASHES;
}

static void do_retry(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		     int64_t now_us)
{
	struct eb_retry_attempt at = { 0 };

	if (f && f->reply)
		note_reply(ca, f->reply);
	eb_frame_unref(f);
	end_attempt(og, ca, now_us);
	log_attempt(og, ca, now_us);
	at.outcome = ca->outcome;
	at.reason = ca->reason;
	at.idempotent = ca->idempotent;
	at.attempts = ca->attempts;
	at.mark = ca->mark;
	at.remaining_us = ca->deadline_us - now_us;
	if (ca->runs < ca->runs_max && !seems_to_crash(ca) &&
	    eb_retry_allow(&ca->service->retry, &at)) {
		eb_metrics_add(og->config.metrics, EB_METRIC_RETRIES, 1);
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
	note_reply(ca, f->reply);
	to_front(og, ca, f);
}

static void do_finish(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	uint16_t status = ca->status;

	note_reply(ca, f->reply);
	if (f->type == EB_FRAME_REND)
		ca->status = status;
	if (ca->status < 500)
		eb_retry_success(&ca->service->retry);
	settle_claim(og, ca, f, now_us);
	eb_metrics_observe(og->config.metrics, EB_HISTOGRAM_CALL_US,
			   now_us - ca->started_us);
	to_front(og, ca, f);
}

static void do_cancel(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	struct eb_frame *out;

	(void)now_us;
	eb_frame_unref(f);
	if (!ca->number)
		return;
	ca->outcome = EB_OUTCOME_UNKNOWN;
	out = eb_frame_new(EB_FRAME_CANCEL, ca->number);
	if (!out)
		return;
	out->sender = og->config.incarnation;
	og->out.to_gate(og->out.ctx, ca->node, out);
}

/* The gate had its time to answer: nobody knows whether the request ran. */
static void do_give_up(struct eb_origin *og, struct call *ca,
		       struct eb_frame *f, int64_t now_us)
{
	do_cancel(og, ca, f, now_us);
	ca->outcome = EB_OUTCOME_UNKNOWN;
	ca->reason = EB_REASON_DEADLINE;
	do_answer_failure(og, ca, NULL, now_us);
}

static void do_cut(struct eb_origin *og, struct call *ca, struct eb_frame *f,
		   int64_t now_us)
{
	if (f && f->reply)
		ca->reason = f->reply->reason;
	eb_frame_unref(f);
	ca->outcome = EB_OUTCOME_UNKNOWN;
	do_answer_failure(og, ca, NULL, now_us);
}

/* In the order of action_names. */
static action_fn *const actions[] = {
	do_none,	   do_drop,	     do_route,	     do_retry,
	do_answer_failure, do_answer_stored, do_leave_claim, do_to_front,
	do_to_gate,	   do_answer,	     do_finish,	     do_cancel,
	do_give_up,	   do_cut,
};

/* These actions take further steps themselves. */
static int steps_itself(action_fn *action)
{
	return action == do_route || action == do_retry;
}

/* Takes an event through the chart; the call may be freed by it. */
static void step(struct eb_origin *og, struct call *ca, enum event ev,
		 struct eb_frame *f, int64_t now_us)
{
	uint32_t next, action;

	if (eb_chart_step(og->chart, ca->state, ev, &next, &action)) {
		do_drop(og, ca, f, now_us);
		return;
	}
	if (steps_itself(actions[action])) {
		ca->state = (uint8_t)next;
		actions[action](og, ca, f, now_us);
		return;
	}
	actions[action](og, ca, f, now_us);
	ca->state = (uint8_t)next;
	if (next != DONE)
		return;
	end_attempt(og, ca, now_us);
	log_call(og, ca, now_us);
	tally_call(og, ca, now_us);
	settle_claim(og, ca, NULL, now_us);
	add_span(og, ca, EB_SPAN_CALL, ca->call_span, ca->parent.span,
		 ca->started_us, now_us);
	free_call(og, ca);
}

/* ---- Frames of the front ---- */

static int is_idempotent(const char *methods, const char *method)
{
	size_t want = strlen(method), n;
	const char *p;

	for (p = methods; *p; p += n) {
		p += strspn(p, " ");
		n = strcspn(p, " ");
		if (n == want && !strncmp(p, method, n))
			return 1;
	}
	return 0;
}

/* Answers a request for which no call is kept. */
static void refuse_head(struct eb_origin *og, struct eb_frame *f,
			const struct eb_match *pt, enum eb_reason reason,
			uint32_t retry_after_ms)
{
	struct eb_tally *tl = eb_metrics_tally(og->config.metrics);
	struct eb_frame *out = eb_frame_new(EB_FRAME_REFUSE, f->call);
	struct eb_tally_call tc = {
		EB_OUTCOME_NOT_RUN, (uint8_t)reason, EB_TALLY_NOWHERE, 0, 0, 0
	};

	eb_tally_add(tl, eb_tally_route(tl, pt ? pt->name : NO_ROUTE_NAME),
		     &tc);

	eb_log_write(
		og->config.log, EB_LOG_WARN, "origin", "call refused",
		"id=%s target=\"%s\" reason=%s release=%llu", request_id(og, f),
		f->head->target, eb_reason_name(reason),
		(unsigned long long)eb_nodes_config(og->config.nodes)->release);
	eb_frame_unref(f);
	if (!out)
		return;
	out->reply->outcome = EB_OUTCOME_NOT_RUN;
	out->reply->reason = (uint8_t)reason;
	out->reply->status = reason_status[reason];
	out->reply->retry_after_ms = retry_after_ms;
	if (out->reply->status == 503)
		out->reply->retry_after_ms = 1000;
	og->out.to_front(og->out.ctx, out);
}

/* The path of a call bounds its time and attempts, and says its rank. */
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
	/* An answer is due then, whether or not the body has come. */
	ca->strict_deadline = 1;
	ca->body_done = 1;
}

/*
 * Sets until when an answer is on time. That counts from the caller's first
 * try; the time that its deadline has lost since then is known from the
 * longest deadline of requests on this match.
 */
static void set_goal(struct eb_origin *og, struct call *ca,
		     const struct eb_match *pt, int64_t sent_us)
{
	int64_t *longest, spent_us = 0;

	if (!pt->objective_ms)
		return;
	longest = apr_hash_get(og->longest, pt->name, APR_HASH_KEY_STRING);
	if (!longest && apr_hash_count(og->longest) < EB_MATCHES_KNOWN_MAX) {
		longest = apr_pcalloc(og->pool, sizeof(*longest));
		apr_hash_set(og->longest, apr_pstrdup(og->pool, pt->name),
			     APR_HASH_KEY_STRING, longest);
	}
	if (longest && sent_us > *longest)
		*longest = sent_us;
	if (longest && sent_us > 0)
		spent_us = *longest - sent_us;
	ca->goal_us = ca->started_us + pt->objective_ms * 1000LL - spent_us;
}

static void fill_call(struct eb_origin *og, struct call *ca,
		      const struct eb_match *pt, int64_t now_us)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	const struct eb_rule *rule;
	struct eb_head *h = ca->head->head;

	rule = eb_nodes_rule(og->config.nodes, ca->service);
	ca->front_id = ca->head->call;
	ca->node = EB_NONE;
	ca->idempotent =
		(uint8_t)is_idempotent(rule->idempotent_methods, h->method);
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
	ca->route = eb_tally_route(eb_metrics_tally(og->config.metrics),
				   pt ? pt->name : ca->service->name);
	ca->started_us = now_us;
	ca->deadline_us = now_us + ca->budget_us;
	if (pt)
		set_goal(og, ca, pt, h->remaining_us);
	ca->started_wall_us = eb_clock_wall_us();
	ca->parent = h->trace;
	eb_trace_new_span(&og->rand, ca->call_span);
	ca->state = ROUTING;
	ca->outcome = EB_OUTCOME_NOT_RUN;
	ca->reason = EB_REASON_NO_UPSTREAM;
}

/*
 * Picks the service of a path that is split. Steps of the golden ratio spread
 * the requests evenly over the shares, in any run of them.
 */
static uint32_t pick_share(struct eb_origin *og, const struct eb_match *pt)
{
	uint64_t sum = 0, at;
	uint32_t i;

	if (pt->share_count < 2)
		return pt->share_count ? pt->shares[0].service : EB_NONE;
	for (i = 0; i < pt->share_count; i++)
		sum += pt->shares[i].weight;
	og->share_point += GOLDEN_STEP;
	at = og->share_point * sum >> 32;
	for (i = 0; i + 1 < pt->share_count; i++) {
		if (at < pt->shares[i].weight)
			break;
		at -= pt->shares[i].weight;
	}
	return pt->shares[i].service;
}

/* Finds the path and the service of a request. */
static uint32_t find_service(struct eb_origin *og, const struct eb_head *h,
			     const struct eb_match **pt)
{
	const struct eb_config *cf = eb_nodes_config(og->config.nodes);
	const char *host = eb_headers_find(&h->headers, "Host");

	if (!cf->has_matches)
		return eb_config_match(cf, host, h->target);
	*pt = eb_config_find_match(cf, host, h->target);
	return *pt ? pick_share(og, *pt) : EB_NONE;
}

/* Checks a request and finds its service; returns why it is refused. */
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
	index = find_service(og, h, pt);
	if (index == EB_NONE)
		return *pt ? EB_REASON_NO_UPSTREAM : EB_REASON_NO_ROUTE;
	*sv = eb_nodes_service(og->config.nodes, index, now_us);
	return *sv && (*sv)->limit ? EB_REASON_NONE : EB_REASON_INTERNAL;
}

static void begin(struct eb_origin *og, struct eb_frame *f, int64_t now_us)
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
		refuse_head(og, f, pt, reason, wait_ms);
		return;
	}
	ca->head = f;
	ca->service = sv;
	f->head->service = strdup(sv->name);
	fill_call(og, ca, pt, now_us);
	apr_hash_set(og->by_front, &ca->front_id, sizeof(ca->front_id), ca);
	eb_metrics_add(og->config.metrics, EB_METRIC_CALLS_ACTIVE, 1);
	eb_retry_request(&sv->retry);
	if (needs_claim(og, ca))
		start_claim(og, ca, now_us);
	else
		route(og, ca, now_us);
}

/* Takes a frame of the front. */
void eb_origin_from_front(struct eb_origin *og, struct eb_frame *f,
			  int64_t now_us)
{
	struct call *ca;

	if (f->type == EB_FRAME_HEAD) {
		begin(og, f, now_us);
		return;
	}
	ca = apr_hash_get(og->by_front, &f->call, sizeof(f->call));
	if (!ca) {
		do_drop(og, NULL, f, now_us);
		return;
	}
	step(og, ca, f->type == EB_FRAME_CANCEL ? EVENT_GONE : EVENT_BODY, f,
	     now_us);
}

/* ---- Decisions on claims ---- */

/* Makes an answer of the stored response; NULL without memory. */
static struct eb_frame *stored_answer(const struct eb_claim_action *act)
{
	const struct eb_claim_response *rs = &act->response;
	struct eb_frame *f;

	f = eb_frame_new_data(EB_FRAME_RHEAD, 0, rs->body, rs->body_bytes);
	if (!f)
		return NULL;
	f->reply->status = rs->status;
	f->reply->outcome = EB_OUTCOME_RAN;
	f->reply->body_kind = EB_BODY_INLINE;
	f->reply->body_bytes = rs->body_bytes;
	if (eb_headers_load(&f->reply->headers, rs->headers,
			    rs->headers_bytes) ||
	    eb_headers_add(&f->reply->headers, "Ebonypier-Replayed", "1")) {
		eb_frame_unref(f);
		return NULL;
	}
	return f;
}

/* Carries out what the claimant has decided; see the header. */
void eb_origin_claim_action(struct eb_origin *og,
			    const struct eb_claim_action *act, int64_t now_us)
{
	struct eb_frame *f = NULL;
	struct call *ca;

	ca = apr_hash_get(og->by_front, &act->call, sizeof(act->call));
	if (!ca || ca->state != CLAIMING) {
		if (act->kind == EB_CLAIM_RUN)
			eb_claim_not_run(og->config.claims, act->call, now_us);
		return;
	}
	if (act->kind == EB_CLAIM_RUN) {
		step(og, ca, EVENT_GRANTED, NULL, now_us);
		return;
	}
	if (act->kind == EB_CLAIM_ANSWER_STORED)
		f = stored_answer(act);
	if (f) {
		step(og, ca, EVENT_STORED, f, now_us);
		return;
	}
	ca->outcome =
		act->kind == EB_CLAIM_REFUSE ? act->outcome : EB_OUTCOME_RAN;
	ca->status = act->kind == EB_CLAIM_REFUSE ? act->status : 409;
	ca->retry_after_ms = act->retry_after_ms;
	step(og, ca, EVENT_REFUSE, NULL, now_us);
}

/* ---- Frames of gates ---- */

static enum event gate_event(const struct eb_frame *f)
{
	switch (f->type) {
	case EB_FRAME_CREDIT:
		return EVENT_CREDIT;
	case EB_FRAME_RHEAD:
	case EB_FRAME_REND:
		return eb_frame_ends_answer(f) ? EVENT_ANSWER_LAST
					       : EVENT_ANSWER_HEAD;
	case EB_FRAME_RDATA:
		return EVENT_ANSWER_DATA;
	case EB_FRAME_REFUSE:
		return EVENT_REFUSE;
	default:
		return EVENT_FAILED;
	}
}

/* A load report says how busy the upstream is and whether it leaves. */
static void note_load(struct eb_origin *og, uint32_t node,
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
}

/* Adds the calls that have been at a gate for long to a heartbeat to it. */
void eb_origin_list_overdue(const struct eb_origin *og, uint32_t node,
			    struct eb_frame *f, int64_t now_us)
{
	apr_hash_index_t *hi;
	const struct call *ca;

	for (hi = apr_hash_first(NULL, og->by_number); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->node == node && eb_overdue(ca->attempt_us, now_us) &&
		    eb_overdue_add(f, ca->number))
			return;
	}
}

/* Cancels the calls that a gate lists and this origin no longer has. */
static void cancel_forgotten(struct eb_origin *og, uint32_t node,
			     const struct eb_frame *f)
{
	uint32_t i, n = eb_overdue_count(f);
	struct eb_frame *out;
	uint64_t number;

	for (i = 0; i < n; i++) {
		number = eb_overdue_at(f, i);
		if (apr_hash_get(og->by_number, &number, sizeof(number)))
			continue;
		out = eb_frame_new(EB_FRAME_CANCEL, number);
		if (!out)
			return;
		out->sender = og->config.incarnation;
		eb_log_write(og->config.log, EB_LOG_WARN, "origin",
			     "call at a gate is not known here, cancelled",
			     "call=%llu", (unsigned long long)number);
		/* One that is lost is listed again by the next heartbeat. */
		og->out.to_gate(og->out.ctx, node, out);
	}
}

/* Takes a frame of the gate of a node; see the header. */
void eb_origin_from_gate(struct eb_origin *og, uint32_t node,
			 struct eb_frame *f, int64_t now_us)
{
	struct call *ca;

	if (f->type == EB_FRAME_HELLO) {
		note_load(og, node, NULL, &f->reply->load, now_us);
		cancel_forgotten(og, node, f);
		eb_frame_unref(f);
		return;
	}
	ca = apr_hash_get(og->by_number, &f->call, sizeof(f->call));
	if (!ca || ca->node != node) {
		do_drop(og, NULL, f, now_us);
		return;
	}
	if (f->reply)
		note_load(og, node, ca->service, &f->reply->load, now_us);
	if (eb_test_off("whole-answer") && ca->state == ANSWERING &&
	    f->type == EB_FRAME_ABORT)
		f->type = EB_FRAME_REND;
	step(og, ca, gate_event(f), f, now_us);
}

/* Ends an attempt of which nobody knows whether it ran; it may be retried. */
static void lose_attempt(struct eb_origin *og, struct call *ca, int64_t now_us)
{
	ca->outcome = EB_OUTCOME_UNKNOWN;
	ca->reason = EB_REASON_LOST_PEER;
	ca->status = 0;
	step(og, ca, EVENT_LOST, NULL, now_us);
}

/* Ends the calls that a lost gate had; see the header. */
void eb_origin_lost(struct eb_origin *og, uint32_t node, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (!ca->at_gate || ca->node != node)
			continue;
		lose_attempt(og, ca, now_us);
	}
	eb_nodes_changed(og->config.nodes, node, now_us);
}

/* Whether a call that a silent gate has should be sent to another one. */
static int should_move(const struct call *ca, uint32_t node)
{
	struct eb_route_query q = { 0 };

	if (!ca->at_gate || ca->node != node || ca->state != WAITING ||
	    !ca->idempotent || ca->attempts >= EB_ATTEMPTS_MAX ||
	    ca->runs + 1 >= ca->runs_max || !eb_retry_left(&ca->service->retry))
		return 0;
	q.tried = ca->tried;
	q.tried_count = ca->tried_count;
	return eb_route_has_other(ca->service->route, &q);
}

/* Moves the idempotent calls of a silent gate elsewhere; see the header. */
void eb_origin_suspect(struct eb_origin *og, uint32_t node, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (!should_move(ca, node))
			continue;
		do_cancel(og, ca, NULL, now_us);
		lose_attempt(og, ca, now_us);
	}
}

/* Tries the waiting requests again. */
void eb_origin_up(struct eb_origin *og, int64_t now_us)
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

/* Asks a gate for a sign of life when a call there has had no word. */
static void ask_gate(struct eb_origin *og, const struct call *ca,
		     int64_t now_us)
{
	const struct eb_node *n;

	if (!ca->at_gate)
		return;
	n = eb_nodes_get(og->config.nodes, ca->node);
	if (n->peer &&
	    eb_silence_doubtful(&n->peer->silence, ca->attempt_us, now_us))
		og->out.ask(og->out.ctx, ca->node);
}

/*
 * Ends calls whose time is over, and those that waited for too long, and asks
 * about those that nothing was heard of.
 */
void eb_origin_tick(struct eb_origin *og, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, og->by_front); hi;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->parked && !may_park(og, ca, now_us))
			route(og, ca, now_us);
		else if (ca->body_done &&
			 now_us >= ca->deadline_us + EXPIRE_GRACE_US)
			step(og, ca, EVENT_EXPIRE, NULL, now_us);
		else
			ask_gate(og, ca, now_us);
	}
}
