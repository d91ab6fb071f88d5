#include "eb_gate.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_chart.h"
#include "eb_clock.h"
#include "eb_crash.h"
#include "eb_overdue.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/* States, events and actions in the order of the names below. */
enum state { OFFERED, QUEUED, RUNNING, ANSWERING, STOPPING, DONE };

enum event {
	EVENT_RUN,
	EVENT_WAIT,
	EVENT_REFUSE,
	EVENT_BODY,
	EVENT_CREDIT,
	EVENT_ANSWER_HEAD,
	EVENT_ANSWER_DATA,
	EVENT_ANSWER_LAST,
	EVENT_FAILED,
	EVENT_CANCEL,
	EVENT_ORIGIN_LOST,
	EVENT_EXPIRE,
};

static const char *const state_names[] = { "offered",	"queued",   "running",
					   "answering", "stopping", "done",
					   NULL };
static const char *const event_names[] = {
	"run",	       "wait",	      "refuse",	     "body",   "credit",
	"answer_head", "answer_data", "answer_last", "failed", "cancel",
	"origin_lost", "expire",      NULL
};
static const char *const action_names[] = {
	"none",	     "start",  "refuse", "leave_queue",	   "to_client",
	"to_origin", "finish", "stop",	 "report_expired", "report_lost",
	"release",   "drop",   NULL
};

struct key {
	uint64_t origin; /* incarnation of the origin */
	uint64_t call;
};

/* An origin that has calls here, to notice when it goes silent. */
struct origin {
	uint64_t incarnation;
	int64_t heard_us;
	uint32_t calls;
	uint8_t local;
	struct eb_back_route back; /* the last one it used */
};

struct call {
	struct key key;
	uint64_t id; /* for admission */
	struct origin *origin;
	struct eb_back_route back;
	struct eb_frame *head; /* until the request starts */
	struct eb_admit_action verdict;
	uint8_t state;
	uint8_t local;
	uint8_t streamed;  /* has a body that follows HEAD */
	uint8_t body_done; /* the deadline counts from here on */
	uint8_t held;	   /* waits for a probe before admission */
	uint8_t outcome;
	uint8_t reason;
	uint16_t status;
	int64_t budget_us;
	int64_t deadline_us;
	int64_t goal_us; /* until then an answer is on time; 0: no goal */
	uint32_t kind;
	uint64_t fingerprint; /* for marks; 0: nothing is marked */
	int64_t arrived_us;
	int64_t started_us; /* 0: has no slot */
	int64_t arrived_wall_us;
	struct eb_trace_id parent;
	uint8_t gate_span[8];
	uint8_t upstream_span[8];
};

struct eb_gate {
	struct eb_gate_outlets out;
	struct eb_gate_config config;
	struct eb_chart *chart;
	struct eb_rand rand; /* for span numbers */
	struct eb_admit *admit;
	struct eb_marks *marks;
	char *address; /* of the upstream; NULL: not configured */
	char *service;
	char *probe;	    /* address and path to ask for the pace, or NULL */
	int64_t pace_us;    /* when the pace was told; 0: never */
	int64_t probe_us;   /* when a probe was sent; 0: none is out */
	uint32_t held;	    /* calls that wait for a probe */
	char *instance;	    /* first start of the upstream that answered */
	struct eb_log *log; /* NULL: nothing is logged */
	const char *request_id; /* header with a request's number, or NULL */
	char *own_service;	/* that this start belongs to; NULL: unknown */
	uint8_t replaced;	/* by another start, since then */
	int draining;
	int leaving; /* the upstream, while this daemon stays */
	uint64_t release_index;
	uint32_t read_age_ms;
	int resumed; /* requests come from before a pause of this process */
	uint64_t next_id;
	apr_pool_t *pool;
	apr_hash_t *calls;   /* struct key -> struct call */
	apr_hash_t *by_id;   /* admission number -> struct call */
	apr_hash_t *origins; /* incarnation -> struct origin */
};

typedef void action_fn(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		       int64_t now_us);

/*
 * Creates a gate. Returns NULL, with findings, when its state chart is not
 * valid, or without memory.
 */
struct eb_gate *eb_gate_new(const struct eb_gate_config *cf,
			    const struct eb_gate_outlets *out,
			    struct eb_findings *fs)
{
	static const struct eb_chart_names names = { state_names, event_names,
						     action_names };
	struct eb_admit_config none = { 0 };
	struct eb_gate *gt = calloc(1, sizeof(*gt));

	if (!gt)
		return NULL;
	gt->config = *cf;
	gt->out = *out;
	eb_rand_seed(&gt->rand, cf->incarnation ^ 1);
	gt->chart = eb_chart_load("gate", &names, fs);
	gt->admit = eb_admit_new(&none);
	gt->marks = eb_marks_new(cf->upstream);
	if (!gt->chart || !gt->admit || !gt->marks ||
	    apr_pool_create(&gt->pool, NULL) != APR_SUCCESS) {
		eb_gate_free(gt);
		return NULL;
	}
	gt->calls = apr_hash_make(gt->pool);
	gt->by_id = apr_hash_make(gt->pool);
	gt->origins = apr_hash_make(gt->pool);
	return gt;
}

static void free_call(struct eb_gate *gt, struct call *ca)
{
	apr_hash_set(gt->calls, &ca->key, sizeof(ca->key), NULL);
	apr_hash_set(gt->by_id, &ca->id, sizeof(ca->id), NULL);
	ca->origin->calls--;
	gt->held -= ca->held;
	if (ca->fingerprint)
		eb_marks_ended(gt->marks, ca->fingerprint,
			       ca->outcome == EB_OUTCOME_RAN);
	eb_frame_unref(ca->head);
	free(ca);
	eb_metrics_add(gt->config.metrics, EB_METRIC_CALLS_ACTIVE, -1);
}

/* Frees the gate and the calls that are left. */
void eb_gate_free(struct eb_gate *gt)
{
	apr_hash_index_t *hi;

	if (!gt)
		return;
	if (gt->pool) {
		for (hi = apr_hash_first(NULL, gt->calls); hi;
		     hi = apr_hash_next(hi)) {
			free_call(gt, apr_hash_this_val(hi));
		}
		for (hi = apr_hash_first(NULL, gt->origins); hi;
		     hi = apr_hash_next(hi)) {
			free(apr_hash_this_val(hi));
		}
		apr_pool_destroy(gt->pool);
	}
	eb_chart_free(gt->chart);
	eb_admit_free(gt->admit);
	eb_marks_free(gt->marks);
	free(gt->address);
	free(gt->service);
	free(gt->probe);
	free(gt->instance);
	free(gt->own_service);
	free(gt);
}

/* Takes over slots, queue and address of the upstream. */
void eb_gate_configure(struct eb_gate *gt, const struct eb_upstream *up,
		       const struct eb_rule *rule)
{
	struct eb_admit_config cf = { 0 };

	free(gt->address);
	free(gt->service);
	free(gt->probe);
	gt->probe = NULL;
	if (up && up->probe_path &&
	    asprintf(&gt->probe, "%s %s", up->address, up->probe_path) < 0)
		gt->probe = NULL;
	gt->address = up ? strdup(up->address) : NULL;
	gt->service = up ? strdup(up->service_name) : NULL;
	if (up) {
		cf.slots = up->slots;
		cf.queue = rule->queue;
		cf.watch_bytes_per_s = rule->watch_bytes_per_s;
	}
	eb_admit_configure(gt->admit, &cf);
}

/* Notes what answers to heartbeats carry; see the header. */
void eb_gate_note_index(struct eb_gate *gt, uint64_t index,
			uint32_t read_age_ms)
{
	gt->release_index = index;
	gt->read_age_ms = read_age_ms;
}

/* Adds the calls of an origin that have lasted for long. */
static void list_overdue(const struct eb_gate *gt, uint64_t incarnation,
			 struct eb_frame *f, int64_t now_us)
{
	apr_hash_index_t *hi;
	const struct call *ca;

	for (hi = apr_hash_first(NULL, gt->calls); hi; hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->key.origin == incarnation && ca->state != STOPPING &&
		    eb_overdue(ca->arrived_us, now_us) &&
		    eb_overdue_add(f, ca->key.call))
			return;
	}
}

/* Makes a frame that tells an origin the load, and whether this side leaves. */
static struct eb_frame *make_hello(struct eb_gate *gt, uint64_t incarnation)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_HELLO, 0);

	if (!out)
		return NULL;
	out->target = incarnation;
	out->sender = gt->config.incarnation;
	eb_gate_load(gt, &out->reply->load);
	out->reply->body_bytes = gt->release_index;
	out->reply->retry_after_ms = gt->read_age_ms;
	return out;
}

/* Tells an origin of a call that it lists and this gate does not have. */
static void abort_forgotten(struct eb_gate *gt, const struct eb_frame *f,
			    const struct eb_back_route *back)
{
	struct key key = { f->sender, 0 };
	uint32_t i, n = eb_overdue_count(f);
	struct eb_frame *out;

	for (i = 0; i < n; i++) {
		key.call = eb_overdue_at(f, i);
		if (apr_hash_get(gt->calls, &key, sizeof(key)))
			continue;
		out = eb_frame_new(EB_FRAME_ABORT, key.call);
		if (!out)
			return;
		out->target = f->sender;
		out->sender = gt->config.incarnation;
		out->reply->outcome = EB_OUTCOME_UNKNOWN;
		out->reply->reason = EB_REASON_LOST_PEER;
		eb_log_write(gt->log, EB_LOG_WARN, "gate",
			     "call of an origin is not known here, aborted",
			     "call=%llu", (unsigned long long)key.call);
		/* One that is lost is listed again by the next heartbeat. */
		gt->out.to_origin(gt->out.ctx, back, out);
	}
}

/*
 * Answers a heartbeat. What was sent before on this way has arrived, so that
 * each side can tell which calls the other one has lost.
 */
static void answer_hello(struct eb_gate *gt, const struct eb_frame *f,
			 const struct eb_back_route *back, int64_t now_us)
{
	struct eb_frame *out = make_hello(gt, f->sender);

	abort_forgotten(gt, f, back);
	if (!out)
		return;
	list_overdue(gt, f->sender, out, now_us);
	gt->out.to_origin(gt->out.ctx, back, out);
}

/*
 * Tells all origins at once that the upstream leaves: an idle one would learn
 * of it by its next heartbeat, which may be seconds away, and could send a
 * call to a daemon that is just ending.
 */
static void tell_all(struct eb_gate *gt)
{
	apr_hash_index_t *hi;
	struct eb_frame *out;
	struct origin *og;

	for (hi = apr_hash_first(NULL, gt->origins); hi;
	     hi = apr_hash_next(hi)) {
		og = apr_hash_this_val(hi);
		out = og->local ? NULL : make_hello(gt, og->incarnation);
		if (out)
			gt->out.to_origin(gt->out.ctx, &og->back, out);
	}
}

/* Takes new calls or refuses them, as the upstream stays or leaves. */
void eb_gate_leave(struct eb_gate *gt, int leaving)
{
	if (gt->leaving == (leaving != 0))
		return;
	gt->leaving = leaving != 0;
	eb_admit_drain(gt->admit, gt->leaving || gt->draining);
	tell_all(gt);
}

/* Refuses new calls from now on; those that are here are finished. */
void eb_gate_drain(struct eb_gate *gt)
{
	gt->draining = 1;
	eb_admit_drain(gt->admit, 1);
	tell_all(gt);
}

/*
 * After a pause of this process, requests that waited in its queues are
 * older than they look: their remaining time was counted from when they
 * were sent. They are refused until the queues are empty.
 */
void eb_gate_resumed(struct eb_gate *gt, int resumed)
{
	gt->resumed = resumed;
}

/* Reports the load that rides on answers. */
void eb_gate_load(const struct eb_gate *gt, struct eb_load *ld)
{
	eb_admit_load(gt->admit, ld);
	ld->draining = gt->draining || gt->leaving;
}

/* Returns the number of calls that are not finished. */
uint32_t eb_gate_active(const struct eb_gate *gt)
{
	return apr_hash_count(gt->calls);
}

/* Adds the load report, within its budget; that it leaves is always said. */
static void add_report(struct eb_gate *gt, struct eb_reply *r, int64_t now_us)
{
	eb_admit_report(gt->admit, now_us, &r->load);
	if (r->load.slots)
		eb_metrics_add(gt->config.metrics, EB_METRIC_WATCH_BYTES,
			       EB_ADMIT_REPORT_BYTES);
	r->load.draining = gt->draining || gt->leaving;
}

static void to_origin(struct eb_gate *gt, const struct call *ca,
		      struct eb_frame *f, int64_t now_us)
{
	f->call = ca->key.call;
	f->target = ca->key.origin;
	f->sender = gt->config.incarnation;
	if (f->reply)
		add_report(gt, f->reply, now_us);
	gt->out.to_origin(gt->out.ctx, ca->local ? NULL : &ca->back, f);
}

static void add_span(struct eb_gate *gt, const struct call *ca,
		     enum eb_span_kind kind, const uint8_t *id,
		     const uint8_t *parent, int64_t from_us, int64_t to_us)
{
	struct eb_span sp = { 0 };

	memcpy(sp.trace, ca->parent.trace, sizeof(sp.trace));
	memcpy(sp.id, id, sizeof(sp.id));
	memcpy(sp.parent, parent, sizeof(sp.parent));
	sp.kind = (uint8_t)kind;
	sp.outcome = ca->outcome;
	sp.reason = ca->reason;
	sp.status = ca->status;
	sp.start_wall_us = ca->arrived_wall_us + from_us - ca->arrived_us;
	sp.duration_us = to_us - from_us;
	strncpy(sp.upstream, gt->config.upstream, sizeof(sp.upstream) - 1);
	eb_tracer_add(gt->config.tracer, &sp);
}

static void record(struct eb_gate *gt, const struct call *ca, int64_t now_us)
{
	uint8_t queue_span[8];

	if (ca->started_us && ca->started_us > ca->arrived_us) {
		eb_trace_new_span(&gt->rand, queue_span);
		add_span(gt, ca, EB_SPAN_QUEUE, queue_span, ca->gate_span,
			 ca->arrived_us, ca->started_us);
	}
	if (ca->started_us)
		add_span(gt, ca, EB_SPAN_UPSTREAM, ca->upstream_span,
			 ca->gate_span, ca->started_us, now_us);
	add_span(gt, ca, EB_SPAN_GATE, ca->gate_span, ca->parent.span,
		 ca->arrived_us, now_us);
}

/* See the header. */
void eb_gate_set_log(struct eb_gate *gt, struct eb_log *lg,
		     const char *request_id)
{
	gt->log = lg;
	gt->request_id = request_id;
}

/*
 * Logs that a call got the slot or was refused, with what decided it. The
 * pace is that of `pace_age_ms` ago; -1 when it was never told.
 */
static void log_verdict(const struct eb_gate *gt, const struct eb_head *h,
			const char *verdict, unsigned reason, int64_t waited_us,
			int64_t now_us)
{
	const char *id = NULL;
	struct eb_load ld;

	if (!gt->log)
		return;
	if (gt->request_id)
		id = eb_headers_find(&h->headers, gt->request_id);
	eb_admit_load(gt->admit, &ld);
	eb_log_write(
		gt->log, EB_LOG_INFO, "gate", verdict,
		"id=%s reason=%s attempt=%u wait_ms=%lld in_flight=%u "
		"queued=%u slots=%u pace=%u pace_age_ms=%lld usual=%u "
		"left_ms=%lld goal_ms=%lld leaving=%d",
		id ? id : "-", eb_reason_name(reason), h->attempt,
		(long long)waited_us / 1000, ld.in_flight, ld.queued, ld.slots,
		ld.pace_percent,
		gt->pace_us ? (long long)(now_us - gt->pace_us) / 1000 : -1LL,
		h->usual_pace_percent, (long long)h->remaining_us / 1000,
		h->goal_us == INT64_MAX ? -1LL : (long long)h->goal_us / 1000,
		gt->draining || gt->leaving);
}

/* ---- Actions of the chart ---- */

static void do_none(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	(void)gt;
	(void)ca;
	(void)now_us;
	eb_frame_unref(f);
}

static void do_drop(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	(void)ca;
	(void)now_us;
	eb_metrics_add(gt->config.metrics, EB_METRIC_LATE_FRAMES, 1);
	eb_frame_unref(f);
}

/*
 * Whether the upstream is still the start that this process was started
 * beside: then its service is sure, even if origins know an earlier start. A
 * call may have waited while its address went to another service.
 */
static int knows_instance(const struct eb_gate *gt, const struct eb_head *h)
{
	return gt->instance && !gt->replaced && gt->own_service &&
	       !strcmp(gt->own_service, gt->service) &&
	       !strcmp(gt->own_service, h->service);
}

static void do_start(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		     int64_t now_us)
{
	struct eb_frame *head = ca->head;

	eb_frame_unref(f);
	ca->head = NULL;
	ca->started_us = now_us;
	log_verdict(gt, head->head, "call runs", EB_REASON_NONE,
		    now_us - ca->arrived_us, now_us);
	eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_ADMITTED, 1);
	eb_metrics_observe(gt->config.metrics, EB_HISTOGRAM_QUEUE_US,
			   now_us - ca->arrived_us);
	eb_trace_new_span(&gt->rand, ca->upstream_span);
	memcpy(head->head->trace.span, ca->upstream_span, 8);
	head->head->remaining_us = ca->deadline_us - now_us;
	if (head->head->instance && knows_instance(gt, head->head)) {
		free(head->head->instance);
		head->head->instance = strdup(gt->instance);
	}
	if (eb_test_off("expect-instance")) {
		free(head->head->instance);
		head->head->instance = NULL;
	}
	head->object = strdup(gt->address);
	head->object_free = free;
	gt->out.to_client(gt->out.ctx, head);
}

static void do_refuse(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_REFUSE, ca->key.call);

	eb_frame_unref(f);
	log_verdict(gt, ca->head->head, "call refused", ca->verdict.reason,
		    now_us - ca->arrived_us, now_us);
	ca->outcome = EB_OUTCOME_NOT_RUN;
	ca->reason = ca->verdict.reason;
	eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_REFUSED, 1);
	if (!out)
		return;
	out->reply->outcome = EB_OUTCOME_NOT_RUN;
	out->reply->reason = ca->verdict.reason;
	out->reply->retry_after_ms = ca->verdict.retry_after_ms;
	to_origin(gt, ca, out, now_us);
}

static void do_leave_queue(struct eb_gate *gt, struct call *ca,
			   struct eb_frame *f, int64_t now_us)
{
	(void)now_us;
	eb_frame_unref(f);
	eb_admit_cancel(gt->admit, ca->id);
	ca->outcome = EB_OUTCOME_NOT_RUN;
}

static void do_to_client(struct eb_gate *gt, struct call *ca,
			 struct eb_frame *f, int64_t now_us)
{
	if (f->type == EB_FRAME_END) {
		ca->body_done = 1;
		ca->deadline_us = now_us + ca->budget_us;
	}
	gt->out.to_client(gt->out.ctx, f);
}

static void do_to_origin(struct eb_gate *gt, struct call *ca,
			 struct eb_frame *f, int64_t now_us)
{
	if (f->reply)
		ca->status = f->reply->status;
	to_origin(gt, ca, f, now_us);
}

/*
 * Tells admission how fast the upstream is: negative for a call that says
 * nothing of it, 0 for an error answer, which costs less than a real one.
 */
static int64_t service_sample_us(const struct call *ca, int64_t now_us)
{
	if (ca->state == STOPPING || ca->streamed ||
	    ca->outcome != EB_OUTCOME_RAN)
		return -1;
	if (ca->status >= 500)
		return 0;
	return now_us - ca->started_us;
}

/* Frees the slot of a call. */
static void do_release(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		       int64_t now_us)
{
	if (f) {
		ca->outcome = f->reply->outcome;
		ca->reason = f->reply->reason;
		ca->status = f->reply->status;
	}
	eb_metrics_observe(gt->config.metrics, EB_HISTOGRAM_UPSTREAM_US,
			   now_us - ca->started_us);
	eb_admit_learn(gt->admit, ca->kind, service_sample_us(ca, now_us));
	eb_admit_done(gt->admit, ca->id, service_sample_us(ca, now_us), now_us);
	eb_frame_unref(f);
}

static void do_finish(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	do_release(gt, ca, eb_frame_ref(f), now_us);
	to_origin(gt, ca, f, now_us);
}

static void do_stop(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_CANCEL, ca->key.call);

	(void)now_us;
	eb_frame_unref(f);
	if (!out)
		return;
	out->sender = ca->key.origin;
	gt->out.to_client(gt->out.ctx, out);
}

/* Stops a run and tells its origin, which can't know how it ended. */
static void stop_and_report(struct eb_gate *gt, struct call *ca,
			    struct eb_frame *f, enum eb_reason reason,
			    int64_t now_us)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_ABORT, ca->key.call);

	do_stop(gt, ca, f, now_us);
	if (!out)
		return;
	out->reply->outcome = EB_OUTCOME_UNKNOWN;
	out->reply->reason = (uint8_t)reason;
	to_origin(gt, ca, out, now_us);
}

static void do_report_expired(struct eb_gate *gt, struct call *ca,
			      struct eb_frame *f, int64_t now_us)
{
	stop_and_report(gt, ca, f, EB_REASON_DEADLINE, now_us);
}

/*
 * The origin may only have been paused. It would wait without end for the
 * rest of an answer that this gate has given up.
 */
static void do_report_lost(struct eb_gate *gt, struct call *ca,
			   struct eb_frame *f, int64_t now_us)
{
	stop_and_report(gt, ca, f, EB_REASON_LOST_PEER, now_us);
}

/* In the order of action_names. */
static action_fn *const actions[] = {
	do_none,	   do_start,	   do_refuse,  do_leave_queue,
	do_to_client,	   do_to_origin,   do_finish,  do_stop,
	do_report_expired, do_report_lost, do_release, do_drop,
};

/* Takes an event through the chart; the call may be freed by it. */
static void step(struct eb_gate *gt, struct call *ca, enum event ev,
		 struct eb_frame *f, int64_t now_us)
{
	uint32_t next, action;

	if (eb_chart_step(gt->chart, ca->state, ev, &next, &action)) {
		do_drop(gt, ca, f, now_us);
		return;
	}
	actions[action](gt, ca, f, now_us);
	ca->state = (uint8_t)next;
	if (next != DONE)
		return;
	record(gt, ca, now_us);
	free_call(gt, ca);
}

/* Carries out what admission decides on waiting calls. */
static void run_admission(struct eb_gate *gt, int64_t now_us)
{
	struct eb_admit_action act;
	struct call *ca;

	while (eb_admit_next(gt->admit, now_us, &act)) {
		ca = apr_hash_get(gt->by_id, &act.id, sizeof(act.id));
		assert(ca);
		ca->verdict = act;
		step(gt, ca,
		     act.verdict == EB_ADMIT_RUN ? EVENT_RUN : EVENT_REFUSE,
		     NULL, now_us);
	}
}

/* Lets admission decide on a call that has arrived. */
static void admit(struct eb_gate *gt, struct call *ca, int64_t now_us)
{
	static const enum event events[] = {
		[EB_ADMIT_RUN] = EVENT_RUN,
		[EB_ADMIT_WAIT] = EVENT_WAIT,
		[EB_ADMIT_REFUSE] = EVENT_REFUSE,
	};
	struct eb_admit_request rq = { 0 };

	rq.id = ca->id;
	rq.caller = ca->head->head->caller;
	rq.deadline_us = ca->deadline_us;
	rq.goal_us = ca->goal_us;
	rq.kind = ca->kind;
	rq.idempotent = ca->head->head->idempotent;
	rq.attempt = ca->head->head->attempt;
	rq.priority = ca->head->head->priority;
	rq.usual_pace_percent = ca->head->head->usual_pace_percent;
	eb_admit_offer(gt->admit, &rq, now_us, &ca->verdict);
	if (ca->verdict.verdict == EB_ADMIT_WAIT)
		eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_QUEUED, 1);
	step(gt, ca, events[ca->verdict.verdict], NULL, now_us);
}

/* Admits the calls that have waited for a probe. */
static void release_held(struct eb_gate *gt, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, gt->calls); hi && gt->held;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (!ca->held)
			continue;
		ca->held = 0;
		gt->held--;
		admit(gt, ca, now_us);
	}
}

/*
 * Tells whether a call should wait for a probe: its machine's pace changes
 * many times a second, and what is known of it is too old.
 */
static int wants_probe(const struct eb_gate *gt, int64_t now_us)
{
	if (!gt->probe || gt->draining || gt->leaving)
		return 0;
	if (gt->pace_us && now_us - gt->pace_us < EB_PACE_FRESH_US)
		return 0;
	return !gt->probe_us || now_us - gt->probe_us < EB_PACE_WAIT_US;
}

static void send_probe(struct eb_gate *gt, int64_t now_us)
{
	struct eb_frame *f;

	if (gt->probe_us)
		return;
	f = eb_frame_new(EB_FRAME_PROBE, 0);
	if (!f)
		return;
	f->object = strdup(gt->probe);
	f->object_free = free;
	gt->probe_us = now_us;
	gt->out.to_client(gt->out.ctx, f);
}

/* Notes the pace that an answer of the upstream told. */
static void note_pace(struct eb_gate *gt, const struct eb_reply *r,
		      int64_t now_us)
{
	if (!r || !r->load.pace_percent)
		return;
	gt->pace_us = now_us;
	eb_metrics_stamp(gt->config.metrics, EB_AGE_PACE, now_us);
	eb_admit_pace(gt->admit, r->load.pace_percent);
}

/* Notes which start of the upstream answers; NULL when none did. */
static void note_instance(struct eb_gate *gt, const char *instance)
{
	if (!instance)
		return;
	if (!gt->instance)
		gt->instance = strdup(instance);
	else if (strcmp(gt->instance, instance) != 0)
		gt->replaced = 1;
}

/* See the header. */
void eb_gate_set_service(struct eb_gate *gt, const char *service)
{
	free(gt->own_service);
	gt->own_service = service ? strdup(service) : NULL;
}

/* Carries out what admission decides by time; see the header. */
void eb_gate_poll(struct eb_gate *gt, int64_t now_us)
{
	if (gt->held && now_us - gt->probe_us >= EB_PACE_WAIT_US)
		release_held(gt, now_us);
	run_admission(gt, now_us);
}

/* Returns when admission needs its next turn; see the header. */
int64_t eb_gate_wake_us(const struct eb_gate *gt, int64_t now_us)
{
	int64_t wake_us = eb_admit_wake_us(gt->admit);

	(void)now_us;
	if (gt->held && gt->probe_us + EB_PACE_WAIT_US < wake_us)
		wake_us = gt->probe_us + EB_PACE_WAIT_US;
	return wake_us;
}

/* ---- Frames ---- */

static struct origin *find_origin(struct eb_gate *gt, uint64_t incarnation,
				  const struct eb_back_route *back,
				  int64_t now_us)
{
	struct origin *og;

	og = apr_hash_get(gt->origins, &incarnation, sizeof(incarnation));
	if (!og) {
		if (apr_hash_count(gt->origins) >= EB_ORIGINS_MAX)
			return NULL;
		og = calloc(1, sizeof(*og));
		if (!og)
			return NULL;
		og->incarnation = incarnation;
		og->local = back == NULL;
		apr_hash_set(gt->origins, &og->incarnation,
			     sizeof(og->incarnation), og);
	}
	og->heard_us = now_us;
	if (back)
		og->back = *back;
	return og;
}

/* Answers HEAD without keeping a call. */
static void refuse_head(struct eb_gate *gt, const struct eb_frame *f,
			const struct eb_back_route *back, enum eb_reason reason,
			uint32_t retry_after_ms, int64_t now_us)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_REFUSE, f->call);

	log_verdict(gt, f->head, "call refused", reason, 0, now_us);
	eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_REFUSED, 1);
	if (!out)
		return;
	out->target = f->sender;
	out->sender = gt->config.incarnation;
	out->reply->outcome = EB_OUTCOME_NOT_RUN;
	out->reply->reason = (uint8_t)reason;
	out->reply->retry_after_ms = retry_after_ms;
	add_report(gt, out->reply, now_us);
	gt->out.to_origin(gt->out.ctx, back, out);
}

/* Reasons to refuse a call before admission is asked. */
static enum eb_reason check_head(const struct eb_gate *gt,
				 const struct eb_frame *f)
{
	if (!gt->address || strcmp(f->head->upstream, gt->config.upstream) ||
	    strcmp(f->head->service, gt->service))
		return EB_REASON_NO_UPSTREAM;
	if (gt->resumed)
		return EB_REASON_DEADLINE;
	if (apr_hash_count(gt->calls) >= EB_CALLS_MAX)
		return EB_REASON_QUEUE_FULL;
	return EB_REASON_NONE;
}

static struct call *new_call(struct eb_gate *gt, struct eb_frame *f,
			     const struct eb_back_route *back,
			     struct origin *og, int64_t now_us)
{
	struct call *ca = calloc(1, sizeof(*ca));

	if (!ca)
		return NULL;
	ca->key.origin = f->sender;
	ca->key.call = f->call;
	ca->id = ++gt->next_id;
	ca->origin = og;
	ca->local = back == NULL;
	if (back)
		ca->back = *back;
	ca->head = f;
	ca->streamed = f->head->body_kind == EB_BODY_LENGTH ||
		       f->head->body_kind == EB_BODY_CHUNKED;
	ca->body_done = !ca->streamed;
	ca->budget_us = f->head->remaining_us;
	ca->deadline_us = now_us + f->head->remaining_us;
	if (f->head->goal_us && f->head->goal_us != INT64_MAX)
		ca->goal_us = now_us + f->head->goal_us;
	ca->kind = f->head->kind;
	ca->arrived_us = now_us;
	ca->arrived_wall_us = eb_clock_wall_us();
	ca->parent = f->head->trace;
	eb_trace_new_span(&gt->rand, ca->gate_span);
	og->calls++;
	apr_hash_set(gt->calls, &ca->key, sizeof(ca->key), ca);
	apr_hash_set(gt->by_id, &ca->id, sizeof(ca->id), ca);
	eb_metrics_add(gt->config.metrics, EB_METRIC_CALLS_ACTIVE, 1);
	return ca;
}

static void offer(struct eb_gate *gt, struct eb_frame *f,
		  const struct eb_back_route *back, struct origin *og,
		  int64_t now_us)
{
	enum eb_reason reason = check_head(gt, f);
	uint64_t fingerprint = 0;
	uint32_t wait_ms = 0;
	struct call *ca;

	if (reason == EB_REASON_NONE) {
		wait_ms = eb_marks_refuse(gt->marks, f, now_us, &fingerprint);
		if (wait_ms)
			reason = EB_REASON_CRASHES;
	}
	if (reason == EB_REASON_NONE) {
		ca = new_call(gt, f, back, og, now_us);
		if (ca) {
			ca->fingerprint = fingerprint;
			if (wants_probe(gt, now_us)) {
				ca->held = 1;
				gt->held++;
				send_probe(gt, now_us);
			} else {
				admit(gt, ca, now_us);
			}
			return;
		}
		reason = EB_REASON_INTERNAL;
	}
	refuse_head(gt, f, back, reason, wait_ms, now_us);
	eb_frame_unref(f);
}

/* Takes a frame of an origin; see the header. */
void eb_gate_from_origin(struct eb_gate *gt, struct eb_frame *f,
			 const struct eb_back_route *back, int64_t now_us)
{
	struct key key = { f->sender, f->call };
	struct origin *og = find_origin(gt, f->sender, back, now_us);
	struct call *ca = apr_hash_get(gt->calls, &key, sizeof(key));

	if (f->type == EB_FRAME_HELLO) {
		/* The table of origins owns it. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		answer_hello(gt, f, back, now_us);
		eb_frame_unref(f);
	} else if (f->type == EB_FRAME_HEAD && !ca) {
		if (og) {
			offer(gt, f, back, og, now_us);
			return;
		}
		refuse_head(gt, f, back, EB_REASON_QUEUE_FULL, 0, now_us);
		eb_frame_unref(f);
	} else if (!ca || f->type == EB_FRAME_HEAD) {
		/* Late, or HEAD for a second time. */
		do_drop(gt, NULL, f, now_us);
	} else if (f->type == EB_FRAME_CANCEL) {
		step(gt, ca, EVENT_CANCEL, f, now_us);
		run_admission(gt, now_us);
	} else if (f->type == EB_FRAME_DATA || f->type == EB_FRAME_END ||
		   f->type == EB_FRAME_RCREDIT) {
		step(gt, ca, EVENT_BODY, f, now_us);
	} else {
		do_drop(gt, ca, f, now_us);
	}
}

static enum event client_event(const struct eb_frame *f)
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
	default:
		return EVENT_FAILED;
	}
}

/* ---- Requests that crash upstreams ---- */

/* Asks whether the upstream takes connections, while runs are suspected. */
static void check_upstream(struct eb_gate *gt, int64_t now_us)
{
	struct eb_frame *f;

	if (!gt->address || !eb_marks_check_due(gt->marks, now_us))
		return;
	f = eb_frame_new(EB_FRAME_PROBE, EB_PROBE_CHECK);
	if (!f) {
		eb_marks_checked(gt->marks, 0, now_us);
		return;
	}
	f->object = strdup(gt->address);
	f->object_free = free;
	gt->out.to_client(gt->out.ctx, f);
}

static void note_check(struct eb_gate *gt, const struct eb_frame *f,
		       int64_t now_us)
{
	uint32_t n = eb_marks_checked(
		gt->marks, f->reply->reason == EB_REASON_CONNECT, now_us);

	if (!n)
		return;
	eb_metrics_add(gt->config.metrics, EB_METRIC_CRASHES, 1);
	eb_log_write(gt->log, EB_LOG_WARN, "gate",
		     "upstream has crashed, what it ran is marked",
		     "upstream=%s requests=%u", gt->config.upstream, n);
}

/* See the header. */
struct eb_marks *eb_gate_marks(struct eb_gate *gt)
{
	return gt->marks;
}

/* Takes a frame of the client thread. */
void eb_gate_from_client(struct eb_gate *gt, struct eb_frame *f, int64_t now_us)
{
	struct key key = { f->target, f->call };
	struct call *ca = apr_hash_get(gt->calls, &key, sizeof(key));

	note_pace(gt, f->reply, now_us);
	/* It was another start of the upstream: the next call asks. */
	if (f->type == EB_FRAME_REFUSE &&
	    f->reply->reason == EB_REASON_NO_UPSTREAM) {
		gt->replaced = gt->instance != NULL;
		gt->pace_us = 0;
	}
	if (f->type == EB_FRAME_PROBE && f->call == EB_PROBE_CHECK) {
		note_check(gt, f, now_us);
		eb_frame_unref(f);
		return;
	}
	/* The client names a run that ended with the upstream's connection. */
	if (f->type == EB_FRAME_ABORT && f->object)
		eb_marks_closed(gt->marks, *(uint64_t *)f->object, now_us);
	if (f->type == EB_FRAME_PROBE) {
		gt->probe_us = 0;
		note_instance(gt, f->object);
		eb_frame_unref(f);
		release_held(gt, now_us);
		return;
	}
	if (!ca) {
		do_drop(gt, NULL, f, now_us);
		return;
	}
	step(gt, ca, client_event(f), f, now_us);
	run_admission(gt, now_us);
}

static void check_call(struct eb_gate *gt, struct call *ca, int64_t now_us)
{
	if (!ca->local &&
	    now_us - ca->origin->heard_us >= EB_PEER_SILENT_MS * 1000LL)
		step(gt, ca, EVENT_ORIGIN_LOST, NULL, now_us);
	else if (ca->body_done && now_us >= ca->deadline_us)
		step(gt, ca, EVENT_EXPIRE, NULL, now_us);
}

/*
 * Ends calls whose deadline has passed or whose origin has gone silent, and
 * forgets origins without calls.
 */
void eb_gate_tick(struct eb_gate *gt, int64_t now_us)
{
	struct eb_crash_counters ct;
	apr_hash_index_t *hi;
	struct origin *og;

	for (hi = apr_hash_first(NULL, gt->calls); hi; hi = apr_hash_next(hi)) {
		check_call(gt, apr_hash_this_val(hi), now_us);
	}
	for (hi = apr_hash_first(NULL, gt->origins); hi;
	     hi = apr_hash_next(hi)) {
		og = apr_hash_this_val(hi);
		if (og->calls ||
		    now_us - og->heard_us < EB_PEER_IDLE_MS * 1000LL)
			continue;
		apr_hash_set(gt->origins, &og->incarnation,
			     sizeof(og->incarnation), NULL);
		free(og);
	}
	if (gt->probe && !gt->instance)
		send_probe(gt, now_us);
	check_upstream(gt, now_us);
	eb_marks_read_counters(gt->marks, &ct);
	eb_metrics_set(gt->config.metrics, EB_METRIC_MARKS, (int64_t)ct.marks);
	eb_metrics_set(gt->config.metrics, EB_METRIC_MARKED_CRASHES,
		       (int64_t)ct.crashes);
	run_admission(gt, now_us);
}
