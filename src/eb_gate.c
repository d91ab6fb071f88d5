#include "eb_gate.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <assert.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_chart.h"
#include "eb_claim_wire.h"
#include "eb_clock.h"
#include "eb_crash.h"
#include "eb_gate_check.h"
#include "eb_gate_origin.h"
#include "eb_gate_probe.h"
#include "eb_kept.h"
#include "eb_outflow.h"
#include "eb_overdue.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/*
 * States and events in the order of their names, which are those of
 * charts/gate.chart.
 */
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
	uint64_t call;	 /* number that the origin gave */
};

struct call {
	struct key key;
	uint64_t id; /* for admission */
	struct eb_gate_origin *origin;
	struct eb_frame *head; /* until the request starts */
	struct eb_admit_action verdict;
	uint8_t state;
	uint8_t local;
	uint8_t streamed;  /* has a body that follows HEAD */
	uint8_t body_done; /* the deadline counts from the body's end */
	uint8_t held;	   /* waits for a load probe before admission */
	uint8_t outcome;
	uint8_t reason;
	uint16_t status;
	int64_t budget_us; /* time that the call may take */
	int64_t deadline_us;
	int64_t goal_us; /* latest time of an answer in time; 0: no goal */
	uint8_t priority;
	uint32_t kind;
	struct eb_crash_id crash_id;
	uint64_t instance;   /* that is to run it, as a hash; 0: any */
	uint32_t generation; /* of the check that it has passed */
	int64_t arrived_us;
	int64_t started_us; /* when it got a slot; 0: not yet */
	int64_t arrived_wall_us;
	struct eb_outflow_stream answer; /* while it is streamed */
	struct eb_trace_id parent;
	uint8_t gate_span[8];
	uint8_t upstream_span[8];
};

struct eb_gate {
	struct eb_gate_callbacks out;
	struct eb_gate_config config;
	struct eb_chart *chart;
	struct eb_rand rand; /* for span numbers */
	struct eb_admit *admit;
	struct eb_crash_detect *marks;
	struct eb_gate_check check;
	struct eb_gate_probe probe;
	struct eb_log *log;	/* NULL: nothing is logged */
	const char *request_id; /* header with the request id, or NULL */
	int draining;
	int leaving;	     /* the upstream, while this daemon stays */
	int says_leaving;    /* the upstream, in an answer of this start */
	int evacuated;	     /* the upstream's failure domain */
	int unconfirmed;     /* see eb_gate_set_unconfirmed() */
	uint32_t rate_milli; /* that this start names; 0: none */
	struct eb_feed_state copy; /* see eb_gate_set_copy() */
	int resumed;		   /* see eb_gate_set_resumed() */
	struct eb_kept *kept;	   /* answers that were sent to origins */
	struct eb_outflow outflow; /* of streamed answers */
	uint64_t next_id;
	apr_pool_t *pool;
	apr_hash_t *calls;   /* struct key -> struct call */
	apr_hash_t *by_id;   /* id for admission -> struct call */
	apr_hash_t *origins; /* incarnation -> struct eb_gate_origin */
};

static void run_admission(struct eb_gate *gt, int64_t now_us);

typedef void action_fn(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		       int64_t now_us);

/*
 * Creates a gate. Returns NULL, with findings, when its state chart is not
 * valid, or without memory.
 */
struct eb_gate *eb_gate_new(const struct eb_gate_config *cf,
			    const struct eb_gate_callbacks *out,
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
	gt->check.upstream = cf->upstream;
	gt->check.metrics = cf->metrics;
	eb_rand_seed(&gt->rand, cf->incarnation ^ 1);
	gt->chart = eb_chart_load("gate", &names, fs);
	gt->admit = eb_admit_new(&none);
	gt->marks = eb_crash_detect_new(cf->upstream);
	gt->kept = eb_kept_new();
	gt->probe.metrics = cf->metrics;
	gt->probe.to_client = out->to_client;
	gt->probe.ctx = out->ctx;
	if (gt->admit)
		gt->probe.warmup = eb_admit_warmup(gt->admit);
	eb_outflow_init(&gt->outflow, cf->link_mbps,
			cf->answers_max_bytes ? cf->answers_max_bytes
					      : INT64_MAX);
	if (!gt->chart || !gt->admit || !gt->marks || !gt->kept ||
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
	gt->probe.held -= ca->held;
	eb_outflow_close(&gt->outflow, &ca->answer);
	eb_crash_detect_ended(gt->marks, &ca->crash_id,
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
	eb_crash_detect_free(gt->marks);
	eb_kept_free(gt->kept);
	eb_gate_check_clear(&gt->check);
	eb_gate_probe_clear(&gt->probe);
	free(gt);
}

/* Tells whether new calls are refused because the upstream or daemon leaves. */
static int refuses_calls(const struct eb_gate *gt)
{
	return gt->draining || gt->leaving || gt->says_leaving ||
	       gt->evacuated || gt->unconfirmed;
}

/*
 * Sets the newest release or revision, and what else heartbeat replies carry
 * of this daemon's copy.
 */
void eb_gate_set_copy(struct eb_gate *gt, const struct eb_feed_state *state)
{
	gt->copy = *state;
}

/*
 * Adds the calls of the origin of a heartbeat to its reply that have been here
 * for long, or all of them if the origin has replaced its connection.
 */
static void add_overdue_calls(const struct eb_gate *gt,
			      const struct eb_frame *hello, struct eb_frame *f,
			      int64_t now_us)
{
	int all = hello->credit_bytes == EB_HELLO_REPLACES;
	apr_hash_index_t *hi;
	const struct call *ca;

	for (hi = apr_hash_first(NULL, gt->calls); hi; hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->key.origin == hello->sender && ca->state != STOPPING &&
		    (all || eb_overdue(ca->arrived_us, now_us)) &&
		    eb_overdue_add(f, ca->key.call))
			return;
	}
}

/*
 * Returns a heartbeat reply to an origin, with the load and whether the
 * upstream leaves; NULL without memory.
 */
static struct eb_frame *new_load_report(struct eb_gate *gt,
					uint64_t incarnation)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_HELLO, 0);

	if (!out)
		return NULL;
	out->target = incarnation;
	out->sender = gt->config.incarnation;
	eb_gate_load(gt, &out->reply->load);
	out->reply->body_kind = EB_HELLO_KNOWS_CHECKS;
	out->reply->body_bytes = gt->copy.revision;
	out->reply->retry_after_ms = gt->copy.read_age_ms;
	out->offset_bytes = gt->copy.digest;
	out->reply->status = (uint16_t)(gt->copy.link_mbps < EB_HELLO_MBPS_MAX
						? gt->copy.link_mbps
						: EB_HELLO_MBPS_MAX);
	if (gt->copy.unverified)
		out->credit_bytes = EB_HELLO_UNVERIFIED;
	else if (gt->copy.knows_eras)
		out->credit_bytes = EB_HELLO_KNOWS_ERAS;
	return out;
}

/*
 * Adds the load report to a reply if its budget allows, and in any case whether
 * the upstream leaves.
 */
static void add_report(struct eb_gate *gt, struct eb_reply *r, int64_t now_us)
{
	eb_admit_report(gt->admit, now_us, &r->load);
	if (r->load.slots)
		eb_metrics_add(gt->config.metrics, EB_METRIC_WATCH_BYTES,
			       EB_ADMIT_REPORT_BYTES);
	r->load.draining = (uint16_t)refuses_calls(gt);
}

/*
 * Sends an answer once more. The origin drops it if it has it, as the number of
 * its call is not used again.
 */
static void send_again(struct eb_gate *gt, struct eb_frame *f,
		       const struct eb_routing_id *back, int64_t now_us)
{
	add_report(gt, f->reply, now_us);
	eb_metrics_add(gt->config.metrics, EB_METRIC_ANSWERS_AGAIN, 1);
	gt->out.to_origin(gt->out.ctx, back, eb_frame_ref(f));
}

/*
 * Ends the calls in an origin's heartbeat that this gate does not have, as the
 * frame that started or ended them was lost: by their answer if it is still
 * kept, or else as unknown. When the origin has replaced its connection, kept
 * answers were sent again already, calls that are being stopped are ended too,
 * and calls that have never arrived are refused and will not be accepted.
 */
static void end_unknown_calls(struct eb_gate *gt, const struct eb_frame *f,
			      struct eb_gate_origin *og,
			      const struct eb_routing_id *back, int64_t now_us)
{
	int all = f->credit_bytes == EB_HELLO_REPLACES, never;
	struct key key = { f->sender, 0 };
	uint32_t i, n = eb_overdue_count(f);
	const struct call *ca;
	struct eb_frame *out;

	for (i = 0; i < n; i++) {
		key.call = eb_overdue_at(f, i);
		ca = apr_hash_get(gt->calls, &key, sizeof(key));
		if (ca && !(all && ca->state == STOPPING))
			continue;
		out = eb_kept_find(gt->kept, f->sender, key.call);
		if (out) {
			if (!all)
				send_again(gt, out, back, now_us);
			continue;
		}
		never = all && og && eb_arrivals_void(&og->arrivals, key.call);
		out = eb_frame_new(never ? EB_FRAME_REFUSE : EB_FRAME_ABORT,
				   key.call);
		if (!out)
			return;
		out->target = f->sender;
		out->sender = gt->config.incarnation;
		out->reply->outcome =
			never ? EB_OUTCOME_NOT_RUN : EB_OUTCOME_UNKNOWN;
		out->reply->reason = EB_REASON_LOST_PEER;
		eb_log_write(gt->log, EB_LOG_WARN, "gate",
			     never ? "origin lists a call that has not "
				     "arrived, refusing it"
				   : "origin lists a call unknown to this "
				     "daemon, aborting it",
			     "call=%llu", (unsigned long long)key.call);
		/* If this is lost, the next heartbeat lists the call again. */
		gt->out.to_origin(gt->out.ctx, back, out);
	}
}

/*
 * Replies to a heartbeat. Frames that were sent before it on the same
 * connection have arrived, so that each side can tell which calls the other has
 * lost. A check on a second connection says nothing about those on the first.
 */
static void reply_to_heartbeat(struct eb_gate *gt, const struct eb_frame *f,
			       struct eb_gate_origin *og,
			       const struct eb_routing_id *back, int64_t now_us)
{
	struct eb_frame *out = new_load_report(gt, f->sender);
	int check = f->credit_bytes == EB_HELLO_CHECK;

	if (!check) {
		if (og)
			eb_arrivals_heartbeat(&og->arrivals, f->call);
		end_unknown_calls(gt, f, og, back, now_us);
	}
	if (!out)
		return;
	if (!check)
		add_overdue_calls(gt, f, out, now_us);
	gt->out.to_origin(gt->out.ctx, back, out);
}

/*
 * Sends the load to all origins. Used when the upstream starts or stops
 * leaving: an idle origin learns of that only by its next heartbeat, which may
 * be seconds away, and could send a call to a daemon that is stopping.
 */
static void send_load_to_origins(struct eb_gate *gt)
{
	apr_hash_index_t *hi;
	struct eb_frame *out;
	struct eb_gate_origin *og;

	for (hi = apr_hash_first(NULL, gt->origins); hi;
	     hi = apr_hash_next(hi)) {
		og = apr_hash_this_val(hi);
		out = og->local ? NULL : new_load_report(gt, og->incarnation);
		if (out)
			gt->out.to_origin(gt->out.ctx, &og->back, out);
	}
	/*
	 * The origin of this daemon gets no heartbeat replies: one that a
	 * refusal has told of a departure would never use the upstream again.
	 */
	out = new_load_report(gt, gt->config.incarnation);
	if (out)
		gt->out.to_origin(gt->out.ctx, NULL, out);
}

/* Tells admission and the origins when refuses_calls() is not `before`. */
static void update_draining(struct eb_gate *gt, int before)
{
	if (refuses_calls(gt) == before)
		return;
	eb_admit_drain(gt->admit, !before);
	send_load_to_origins(gt);
}

/* Sets the rate that the upstream takes, in requests per 1,000 s; 0: any. */
static void set_rate(struct eb_gate *gt, uint32_t rate_milli, int64_t now_us)
{
	eb_admit_limit_rate(gt->admit, rate_milli, now_us);
	if (rate_milli == gt->rate_milli)
		return;
	gt->rate_milli = rate_milli;
	eb_metrics_set(gt->config.metrics, EB_METRIC_RATE_LIMIT, rate_milli);
	eb_log_write(gt->log, EB_LOG_INFO, "gate",
		     "upstream names another rate", "rate_milli=%u",
		     rate_milli);
}

/*
 * Sets slots, queue, address and probe of the upstream. `rule` is not used
 * when `up` is NULL.
 */
void eb_gate_configure(struct eb_gate *gt, const struct eb_upstream *up,
		       const struct eb_rule *rule)
{
	struct eb_admit_config cf = { 0 };
	int before = refuses_calls(gt);
	int other_start = eb_gate_check_configure(&gt->check, up);

	eb_gate_probe_configure(&gt->probe, up);
	if (up) {
		cf.slots = up->slots;
		cf.queue = rule->queue;
		cf.watch_bytes_per_s = rule->watch_bytes_per_s;
	}
	eb_admit_configure(gt->admit, &cf);
	if (!other_start)
		return;
	/* What the upstream has said in its answers is void. */
	set_rate(gt, 0, 0);
	eb_warmup_restarted(gt->probe.warmup);
	gt->says_leaving = 0;
	update_draining(gt, before);
}

/* Sets the configuration that says where the requests of a route may run. */
void eb_gate_set_config(struct eb_gate *gt, const struct eb_config *cf)
{
	eb_gate_check_set_config(&gt->check, cf);
}

/*
 * Sets the cold rate of the upstream's service and the cold time of its entry.
 * To be called after eb_gate_configure(), which detects a new start.
 */
void eb_gate_set_warmup(struct eb_gate *gt, const struct eb_service *sv,
			const struct eb_upstream *up, int64_t now_us)
{
	eb_gate_probe_set_warmup(&gt->probe, sv, up, now_us);
}

/*
 * Sets whether the upstream leaves according to the configuration; if so, new
 * calls are refused.
 */
void eb_gate_set_leaving(struct eb_gate *gt, int leaving)
{
	int before = refuses_calls(gt);

	gt->leaving = leaving != 0;
	update_draining(gt, before);
}

/* Refuses the calls that wait if nothing may run; see update_draining(). */
static void update_evacuated(struct eb_gate *gt, int before, int64_t now_us)
{
	eb_admit_evacuate(gt->admit, gt->evacuated || gt->unconfirmed);
	update_draining(gt, before);
	run_admission(gt, now_us);
}

/*
 * Sets whether the upstream's failure domain is evacuated. If so, new calls and
 * those that wait for a slot are refused; calls that run are finished.
 */
void eb_gate_set_evacuated(struct eb_gate *gt, int evacuated, int64_t now_us)
{
	int before = refuses_calls(gt);

	gt->evacuated = evacuated != 0;
	update_evacuated(gt, before, now_us);
}

/*
 * Sets whether the configuration may have changed during a pause of this
 * process. Until it is confirmed the gate refuses as if it were evacuated.
 */
void eb_gate_set_unconfirmed(struct eb_gate *gt, int unconfirmed,
			     int64_t now_us)
{
	int before = refuses_calls(gt);

	gt->unconfirmed = unconfirmed != 0;
	update_evacuated(gt, before, now_us);
}

/* Refuses new calls from now on; calls that have arrived are finished. */
void eb_gate_drain(struct eb_gate *gt)
{
	int before = refuses_calls(gt);

	gt->draining = 1;
	update_draining(gt, before);
}

/*
 * Sets whether new calls are refused after a pause of this process. Requests
 * that waited in its sockets have less time left than they say, because the
 * remaining time counts from their arrival here. They are refused until the
 * sockets and rings are empty.
 */
void eb_gate_set_resumed(struct eb_gate *gt, int resumed)
{
	gt->resumed = resumed;
}

/* Reads the load, and whether the upstream leaves. */
void eb_gate_load(const struct eb_gate *gt, struct eb_load *ld)
{
	eb_admit_load(gt->admit, ld);
	ld->draining = (uint16_t)refuses_calls(gt);
}

/* Returns the number of unfinished calls. */
uint32_t eb_gate_active(const struct eb_gate *gt)
{
	return apr_hash_count(gt->calls);
}

/* Tells whether a frame is all that an origin gets of an answer. */
static int is_whole_answer(const struct call *ca, const struct eb_frame *f)
{
	switch (f->type) {
	case EB_FRAME_RHEAD:
		return eb_frame_ends_answer(f);
	case EB_FRAME_REFUSE:
	case EB_FRAME_ABORT:
		return ca->state != ANSWERING;
	default:
		return 0;
	}
}

/* Hands the client thread the grants for which the link has room now. */
static void run_outflow(struct eb_gate *gt, int64_t now_us)
{
	struct eb_outflow_stream *st;
	struct eb_frame *f;
	struct call *ca;

	while ((st = eb_outflow_next(&gt->outflow, now_us))) {
		ca = (struct call *)((char *)st -
				     offsetof(struct call, answer));
		f = eb_frame_new(EB_FRAME_RCREDIT, ca->key.call);
		if (!f)
			return;
		f->sender = ca->key.origin;
		f->credit_bytes = EB_OUTFLOW_GRANT_BYTES;
		gt->out.to_client(gt->out.ctx, f);
	}
}

/* Counts a frame of an answer that is sent to its origin. */
static void count_outflow(struct eb_gate *gt, struct call *ca,
			  const struct eb_frame *f, int64_t now_us)
{
	if (f->type == EB_FRAME_RHEAD && !eb_frame_ends_answer(f) &&
	    !ca->answer.open)
		eb_outflow_open(&gt->outflow, &ca->answer, ca->local, now_us);
	else if (f->type == EB_FRAME_RDATA)
		eb_outflow_sent(&gt->outflow, &ca->answer, f->data_bytes);
	else if (!ca->local)
		eb_outflow_other(&gt->outflow, f->data_bytes, now_us);
	run_outflow(gt, now_us);
}

static void to_origin(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	count_outflow(gt, ca, f, now_us);
	f->call = ca->key.call;
	f->target = ca->key.origin;
	f->sender = gt->config.incarnation;
	if (f->reply)
		add_report(gt, f->reply, now_us);
	if (!ca->local && is_whole_answer(ca, f))
		eb_kept_add(gt->kept, ca->key.origin, f, now_us);
	gt->out.to_origin(gt->out.ctx, ca->local ? NULL : &ca->origin->back, f);
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

/* Adds the spans of a finished call to the trace. */
static void add_call_spans(struct eb_gate *gt, const struct call *ca,
			   int64_t now_us)
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

/*
 * Sets the log for admission decisions, or NULL, and the header with the
 * request id, or NULL.
 */
void eb_gate_set_log(struct eb_gate *gt, struct eb_log *lg,
		     const char *request_id)
{
	gt->log = lg;
	gt->check.log = lg;
	gt->probe.log = lg;
	gt->request_id = request_id;
}

/*
 * Logs that a call got a slot or was refused, with the values that decided it.
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
		"left_ms=%lld goal_ms=%lld leaving=%d limit_wait_ms=%lld",
		id ? id : "-", eb_reason_name(reason), h->attempt,
		(long long)waited_us / 1000, ld.in_flight, ld.queued, ld.slots,
		ld.pace_percent,
		(long long)eb_gate_probe_pace_age_ms(&gt->probe, now_us),
		h->baseline_pace_percent, (long long)h->remaining_us / 1000,
		h->goal_us == INT64_MAX ? -1LL : (long long)h->goal_us / 1000,
		refuses_calls(gt),
		(long long)eb_admit_limit_wait_us(gt->admit, now_us) / 1000);
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

/* Sends the request to the upstream, in the slot that it got. */
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
	if (head->head->instance &&
	    eb_gate_check_own_start(&gt->check, head->head)) {
		free(head->head->instance);
		head->head->instance = strdup(gt->check.instance);
	}
	if (eb_test_off("expect-instance")) {
		free(head->head->instance);
		head->head->instance = NULL;
	}
	if (head->head->instance)
		ca->instance = eb_claim_member(head->head->instance);
	head->object = strdup(gt->check.address);
	head->object_free = free;
	gt->out.to_client(gt->out.ctx, head);
}

/* Refuses a request as admission has decided. */
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
	if (gt->evacuated && ca->reason == EB_REASON_DRAINING)
		eb_metrics_add(gt->config.metrics, EB_METRIC_EVACUATED_REFUSED,
			       1);
	eb_metrics_add_priority(gt->config.metrics, EB_METRIC_GATE_REFUSED_0,
				ca->priority);
	if (!out)
		return;
	out->reply->outcome = EB_OUTCOME_NOT_RUN;
	out->reply->reason = ca->verdict.reason;
	if (ca->verdict.rate_limited) {
		out->reply->status = EB_STATUS_RATE_LIMITED;
		eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_RATE_LIMITED,
			       1);
	}
	if (ca->verdict.cold)
		eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_REFUSED_COLD,
			       1);
	out->reply->retry_after_ms = ca->verdict.retry_after_ms;
	to_origin(gt, ca, out, now_us);
}

/* Removes a request from the queue; it has not run. */
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
	if (f->type == EB_FRAME_RCREDIT) {
		eb_outflow_confirmed(&gt->outflow, &ca->answer, f->credit_bytes,
				     now_us);
		eb_frame_unref(f);
		run_outflow(gt, now_us);
		return;
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
 * Returns the service time of a call for admission: negative when its duration
 * does not show the upstream's speed, and 0 for an error answer, which takes
 * less time than a successful one.
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
	/* An error may be of something in front of the upstream. */
	if (ca->outcome == EB_OUTCOME_RAN && ca->status < 500)
		eb_crash_detect_answered(gt->marks, &ca->crash_id, now_us);
	if (ca->outcome == EB_OUTCOME_RAN && ca->status < 500 &&
	    (!ca->goal_us || now_us <= ca->goal_us))
		eb_metrics_add_priority(gt->config.metrics,
					EB_METRIC_GATE_ON_TIME_0, ca->priority);
	eb_metrics_observe(gt->config.metrics, EB_HISTOGRAM_UPSTREAM_US,
			   now_us - ca->started_us);
	eb_admit_sample_kind(gt->admit, ca->kind,
			     service_sample_us(ca, now_us));
	eb_admit_done(gt->admit, ca->id, service_sample_us(ca, now_us), now_us);
	eb_frame_unref(f);
}

/* Frees the slot and passes on the last frame of the answer. */
static void do_finish(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		      int64_t now_us)
{
	do_release(gt, ca, eb_frame_ref(f), now_us);
	to_origin(gt, ca, f, now_us);
}

/* Cancels a run at the client; the slot stays taken until it has ended. */
static void do_stop(struct eb_gate *gt, struct call *ca, struct eb_frame *f,
		    int64_t now_us)
{
	struct eb_frame *out = eb_frame_new(EB_FRAME_CANCEL, ca->key.call);

	eb_frame_unref(f);
	eb_outflow_close(&gt->outflow, &ca->answer);
	run_outflow(gt, now_us);
	if (!out)
		return;
	out->sender = ca->key.origin;
	gt->out.to_client(gt->out.ctx, out);
}

/* Cancels a run and reports an unknown outcome to the origin. */
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
 * Reports to an origin that was found lost: if it was only paused, it would
 * wait forever for the rest of an answer that this gate has cancelled.
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

/* Runs the chart's transition for an event; this may free the call. */
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
	add_call_spans(gt, ca, now_us);
	free_call(gt, ca);
}

/*
 * Checks the region of a call once more that waited while the configuration
 * changed. Refuses a call that is no longer allowed and returns 1.
 */
static int refuse_moved(struct eb_gate *gt, struct call *ca, int64_t now_us)
{
	static const struct eb_admit_action refusal = {
		.verdict = EB_ADMIT_REFUSE, .reason = EB_REASON_NO_UPSTREAM
	};

	if (ca->generation == gt->check.generation ||
	    eb_gate_check_region(&gt->check, ca->head->head))
		return 0;
	ca->verdict = refusal;
	step(gt, ca, EVENT_REFUSE, NULL, now_us);
	return 1;
}

/* Carries out admission's decisions on queued calls. */
static void run_admission(struct eb_gate *gt, int64_t now_us)
{
	struct eb_admit_action act;
	struct call *ca;

	while (eb_admit_next(gt->admit, now_us, &act)) {
		ca = apr_hash_get(gt->by_id, &act.id, sizeof(act.id));
		assert(ca);
		if (act.verdict == EB_ADMIT_RUN &&
		    refuse_moved(gt, ca, now_us)) {
			eb_admit_done(gt->admit, act.id, -1, now_us);
			continue;
		}
		ca->verdict = act;
		step(gt, ca,
		     act.verdict == EB_ADMIT_RUN ? EVENT_RUN : EVENT_REFUSE,
		     NULL, now_us);
	}
}

/* Carries out admission's decision on a new call. */
static void admit(struct eb_gate *gt, struct call *ca, int64_t now_us)
{
	static const enum event events[] = {
		[EB_ADMIT_RUN] = EVENT_RUN,
		[EB_ADMIT_WAIT] = EVENT_WAIT,
		[EB_ADMIT_REFUSE] = EVENT_REFUSE,
	};
	struct eb_admit_request rq = { 0 };

	if (refuse_moved(gt, ca, now_us))
		return;
	rq.id = ca->id;
	rq.caller = ca->head->head->caller;
	rq.deadline_us = ca->deadline_us;
	rq.goal_us = ca->goal_us;
	rq.kind = ca->kind;
	rq.idempotent = ca->head->head->idempotent;
	rq.attempt = ca->head->head->attempt;
	rq.priority = ca->head->head->priority;
	rq.baseline_pace_percent = ca->head->head->baseline_pace_percent;
	eb_admit_offer(gt->admit, &rq, now_us, &ca->verdict);
	if (ca->verdict.verdict == EB_ADMIT_WAIT)
		eb_metrics_add(gt->config.metrics, EB_METRIC_GATE_QUEUED, 1);
	step(gt, ca, events[ca->verdict.verdict], NULL, now_us);
}

/* Hands the held calls to admission. */
static void admit_held(struct eb_gate *gt, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, gt->calls); hi && gt->probe.held;
	     hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (!ca->held)
			continue;
		ca->held = 0;
		gt->probe.held--;
		admit(gt, ca, now_us);
	}
}

/*
 * Stores what the upstream says of itself in an answer: the rate limit that it
 * names, if any, and whether it leaves, which holds until its next start. The
 * answer of another start says nothing about this one.
 */
static void save_answer(struct eb_gate *gt, const struct eb_reply *r,
			int64_t now_us)
{
	int before = refuses_calls(gt);

	if (!r || !r->answered || r->reason == EB_REASON_NO_UPSTREAM)
		return;
	set_rate(gt, r->rate_limit_milli, now_us);
	if (!r->upstream_leaving || gt->says_leaving)
		return;
	gt->says_leaving = 1;
	eb_log_write(gt->log, EB_LOG_INFO, "gate",
		     "answer says that the upstream leaves", "instance=%s",
		     gt->check.configured ? gt->check.configured : "-");
	update_draining(gt, before);
}

/*
 * Stores the rate limit that a probe's answer names, so that it is known before
 * the first call of a restarted daemon. Upstreams need not name it there:
 * without one, the known limit stays.
 */
static void save_probe_limit(struct eb_gate *gt, const struct eb_frame *f,
			     int64_t now_us)
{
	const char *instance = f->object;

	if (!f->reply->rate_limit_milli || !instance)
		return;
	if (!gt->check.configured || !strcmp(gt->check.configured, instance))
		set_rate(gt, f->reply->rate_limit_milli, now_us);
}

/* Sets the service that this process was started with; NULL: unknown. */
void eb_gate_set_service(struct eb_gate *gt, const char *service)
{
	eb_gate_check_set_service(&gt->check, service);
}

/*
 * Carries out what is due: decisions of admission, the end of a probe's wait,
 * and grants for answers.
 */
void eb_gate_poll(struct eb_gate *gt, int64_t now_us)
{
	if (eb_gate_probe_wait_over(&gt->probe, now_us))
		admit_held(gt, now_us);
	run_admission(gt, now_us);
	eb_gate_probe_poll(&gt->probe, now_us);
	run_outflow(gt, now_us);
}

/* Returns when eb_gate_poll() is due at the latest, or INT64_MAX. */
int64_t eb_gate_wake_us(const struct eb_gate *gt, int64_t now_us)
{
	int64_t wake_us = eb_admit_wake_us(gt->admit);
	int64_t probe_us = eb_gate_probe_wake_us(&gt->probe, now_us);
	int64_t link_us = eb_outflow_wake_us(&gt->outflow);

	if (probe_us < wake_us)
		wake_us = probe_us;
	return link_us < wake_us ? link_us : wake_us;
}

/* ---- Frames ---- */

/*
 * Ends the calls that exchange frames with an origin whose connection was
 * replaced: some may be lost, credit too, and their sender does not repeat
 * them. A call that only waits for a short answer goes on.
 */
static void end_broken_calls(struct eb_gate *gt,
			     const struct eb_gate_origin *og, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct call *ca;

	for (hi = apr_hash_first(NULL, gt->calls); hi; hi = apr_hash_next(hi)) {
		ca = apr_hash_this_val(hi);
		if (ca->origin != og)
			continue;
		if (ca->state == ANSWERING ||
		    (ca->state == RUNNING && ca->streamed && !ca->body_done))
			step(gt, ca, EVENT_ORIGIN_LOST, NULL, now_us);
	}
}

/* Sends the answers that may have been lost with an origin's connection. */
static void send_kept(struct eb_gate *gt, const struct eb_gate_origin *og,
		      int64_t now_us)
{
	struct eb_frame *f;
	uint32_t pos = 0;

	eb_kept_expire(gt->kept, now_us);
	while ((f = eb_kept_next(gt->kept, og->incarnation, &pos)))
		send_again(gt, f, &og->back, now_us);
}

/*
 * Returns the entry of a frame's origin; see eb_gate_origin_find(). Handles a
 * connection that has replaced another one.
 */
static struct eb_gate_origin *find_origin(struct eb_gate *gt,
					  const struct eb_frame *f,
					  const struct eb_routing_id *back,
					  int64_t now_us)
{
	struct eb_gate_origin *og;
	int replaced;

	og = eb_gate_origin_find(gt->origins, f, back, now_us, &replaced);
	if (!replaced)
		return og;
	send_kept(gt, og, now_us);
	if (og->calls)
		end_broken_calls(gt, og, now_us);
	return og;
}

/* Refuses a request without creating a call; does not take `f` over. */
static void refuse_request(struct eb_gate *gt, const struct eb_frame *f,
			   const struct eb_routing_id *back,
			   enum eb_reason reason, uint32_t retry_after_ms,
			   int64_t now_us)
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

/* Returns the reason to refuse a request before admission, if any. */
static enum eb_reason check_head(struct eb_gate *gt, const struct eb_frame *f)
{
	if (!eb_gate_check_addressed(&gt->check, f->head) ||
	    !eb_gate_check_region(&gt->check, f->head))
		return EB_REASON_NO_UPSTREAM;
	if (gt->resumed)
		return EB_REASON_DEADLINE;
	if (apr_hash_count(gt->calls) >= EB_CALLS_MAX)
		return EB_REASON_QUEUE_FULL;
	return EB_REASON_NONE;
}

static struct call *new_call(struct eb_gate *gt, struct eb_frame *f,
			     const struct eb_routing_id *back,
			     struct eb_gate_origin *og, int64_t now_us)
{
	struct call *ca = calloc(1, sizeof(*ca));

	if (!ca)
		return NULL;
	ca->key.origin = f->sender;
	ca->key.call = f->call;
	ca->id = ++gt->next_id;
	ca->origin = og;
	ca->local = back == NULL;
	ca->head = f;
	ca->priority = f->head->priority;
	ca->streamed = f->head->body_kind == EB_BODY_LENGTH ||
		       f->head->body_kind == EB_BODY_CHUNKED;
	ca->body_done = !ca->streamed;
	ca->budget_us = f->head->remaining_us;
	ca->deadline_us = now_us + f->head->remaining_us;
	if (f->head->goal_us && f->head->goal_us != INT64_MAX)
		ca->goal_us = now_us + f->head->goal_us;
	ca->kind = f->head->kind;
	ca->generation = gt->check.generation;
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

/* Logs what becomes of a request that may crash upstreams. */
static void log_marked(const struct eb_gate *gt, const char *what,
		       const struct eb_crash_id *id)
{
	eb_log_write(gt->log, EB_LOG_INFO, "gate", what,
		     "upstream=%s exact=%016llx any=%016llx",
		     gt->config.upstream, (unsigned long long)id->exact,
		     (unsigned long long)id->any);
}

/* Creates the call of a request and hands it to admission, or refuses it. */
static void accept_call(struct eb_gate *gt, struct eb_frame *f,
			const struct eb_routing_id *back,
			struct eb_gate_origin *og, int64_t now_us)
{
	enum eb_reason reason = check_head(gt, f);
	struct eb_crash_id crash_id = { 0 };
	uint32_t wait_ms = 0;
	struct call *ca;

	if (reason == EB_REASON_NONE) {
		wait_ms =
			eb_crash_detect_refuse(gt->marks, f, now_us, &crash_id);
		if (wait_ms) {
			reason = EB_REASON_CRASHES;
			log_marked(gt, "marked request is refused", &crash_id);
		}
	}
	if (reason == EB_REASON_NONE) {
		ca = new_call(gt, f, back, og, now_us);
		if (ca) {
			ca->crash_id = crash_id;
			gt->probe.demand = !refuses_calls(gt);
			if (gt->probe.demand &&
			    eb_gate_probe_needed(&gt->probe, now_us)) {
				ca->held = 1;
				gt->probe.held++;
				eb_gate_probe_send(&gt->probe, now_us);
			} else {
				admit(gt, ca, now_us);
			}
			return;
		}
		reason = EB_REASON_INTERNAL;
	}
	refuse_request(gt, f, back, reason, wait_ms, now_us);
	eb_frame_unref(f);
}

/*
 * Handles a frame of an origin; takes the reference over. `back` is NULL for
 * this daemon's own origin.
 */
void eb_gate_from_origin(struct eb_gate *gt, struct eb_frame *f,
			 const struct eb_routing_id *back, int64_t now_us)
{
	struct key key = { f->sender, f->call };
	struct eb_gate_origin *og = find_origin(gt, f, back, now_us);
	/* After find_origin(), which may end calls. */
	struct call *ca = apr_hash_get(gt->calls, &key, sizeof(key));

	if (f->type == EB_FRAME_HELLO) {
		/* The table of origins owns `og`. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		reply_to_heartbeat(gt, f, og, back, now_us);
		eb_frame_unref(f);
	} else if (f->type == EB_FRAME_HEAD && !ca) {
		if (og && !eb_arrivals_accept(&og->arrivals, f->call)) {
			do_drop(gt, NULL, f, now_us);
			return;
		}
		if (og) {
			accept_call(gt, f, back, og, now_us);
			return;
		}
		refuse_request(gt, f, back, EB_REASON_QUEUE_FULL, 0, now_us);
		eb_frame_unref(f);
	} else if (!ca || f->type == EB_FRAME_HEAD) {
		/* For a call that has ended, or a duplicate HEAD. */
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

/* Checks that the upstream is there, when a crash is suspected. */
static void check_upstream(struct eb_gate *gt, int64_t now_us)
{
	const struct eb_crash_check lost = { EB_CRASH_STATE_UP, 0 };
	struct eb_frame *f;

	if (!gt->check.address || !eb_crash_detect_check_due(gt->marks, now_us))
		return;
	f = eb_frame_new(EB_FRAME_PROBE, EB_PROBE_CHECK);
	if (!f) {
		eb_crash_detect_checked(gt->marks, &lost, now_us);
		return;
	}
	f->object =
		strdup(gt->probe.where ? gt->probe.where : gt->check.address);
	f->object_free = free;
	gt->out.to_client(gt->out.ctx, f);
}

/* Handles the result of a check; marks requests after a crash. */
static void handle_check(struct eb_gate *gt, const struct eb_frame *f,
			 int64_t now_us)
{
	const char *instance = f->object;
	struct eb_crash_check result = { EB_CRASH_STATE_UP, 0 };
	uint32_t n;

	if (f->reply->reason == EB_REASON_CONNECT)
		result.state = EB_CRASH_STATE_DOWN;
	else if (f->reply->reason == EB_REASON_UPSTREAM_CLOSED)
		result.state = EB_CRASH_STATE_CUTS;
	if (instance)
		result.instance = eb_claim_member(instance);
	n = eb_crash_detect_checked(gt->marks, &result, now_us);
	eb_log_write(gt->log, n ? EB_LOG_WARN : EB_LOG_INFO, "gate",
		     n ? "upstream crashed, requests that it ran are marked"
		       : "upstream checked, as runs were lost",
		     "upstream=%s result=%s instance=%s requests=%u",
		     gt->config.upstream, eb_reason_name(f->reply->reason),
		     instance ? instance : "", n);
	if (n)
		eb_metrics_add(gt->config.metrics, EB_METRIC_CRASHES, 1);
}

/* Returns the marks of requests that crash upstreams; the gate owns them. */
struct eb_crash_detect *eb_gate_marks(struct eb_gate *gt)
{
	return gt->marks;
}

/* Handles a frame of the client thread; takes the reference over. */
void eb_gate_from_client(struct eb_gate *gt, struct eb_frame *f, int64_t now_us)
{
	struct key key = { f->target, f->call };
	struct call *ca = apr_hash_get(gt->calls, &key, sizeof(key));
	const struct eb_crash_run *run;

	if (eb_gate_probe_save_pace(&gt->probe, f->reply, now_us))
		eb_admit_pace(gt->admit, f->reply->load.pace_percent);
	save_answer(gt, f->reply, now_us);
	if (f->type == EB_FRAME_REFUSE &&
	    f->reply->reason == EB_REASON_NO_UPSTREAM) {
		gt->check.replaced = gt->check.instance != NULL;
		eb_gate_probe_new_start(&gt->probe);
	}
	if (f->type == EB_FRAME_PROBE && f->call == EB_PROBE_CHECK) {
		handle_check(gt, f, now_us);
		eb_frame_unref(f);
		return;
	}
	if (f->type == EB_FRAME_RHEAD)
		eb_crash_detect_alive(gt->marks, ca ? ca->instance : 0);
	/* `object` is a run that ended without a whole answer. */
	run = f->type == EB_FRAME_ABORT ? f->object : NULL;
	if (run && f->reply->reason == EB_REASON_UPSTREAM_CLOSED) {
		log_marked(gt, "run lost its connection", &run->id);
		eb_crash_detect_closed(gt->marks, run, now_us);
	} else if (run) {
		eb_crash_detect_stopped(gt->marks, run, now_us);
	}
	if (f->type == EB_FRAME_PROBE) {
		eb_gate_check_answered(&gt->check, f->object);
		eb_gate_probe_answered(&gt->probe, f, now_us);
		save_probe_limit(gt, f, now_us);
		eb_frame_unref(f);
		admit_held(gt, now_us);
		run_admission(gt, now_us);
		return;
	}
	if (!ca) {
		do_drop(gt, NULL, f, now_us);
		return;
	}
	step(gt, ca, client_event(f), f, now_us);
	run_admission(gt, now_us);
}

/* Ends a call whose origin is lost or whose deadline has passed. */
static void check_timeouts(struct eb_gate *gt, struct call *ca, int64_t now_us)
{
	if (!ca->local &&
	    now_us - ca->origin->received_us >= EB_PEER_LOST_MS * 1000LL)
		step(gt, ca, EVENT_ORIGIN_LOST, NULL, now_us);
	else if (ca->body_done && now_us >= ca->deadline_us)
		step(gt, ca, EVENT_EXPIRE, NULL, now_us);
}

/*
 * Runs the timers: ends calls past their deadline or of a lost origin, removes
 * idle origins without calls, sends the first probe and checks, and updates
 * the metrics of marks.
 */
void eb_gate_tick(struct eb_gate *gt, int64_t now_us)
{
	struct eb_crash_counters ct;
	apr_hash_index_t *hi;

	eb_kept_expire(gt->kept, now_us);
	for (hi = apr_hash_first(NULL, gt->calls); hi; hi = apr_hash_next(hi)) {
		check_timeouts(gt, apr_hash_this_val(hi), now_us);
	}
	eb_gate_origin_expire(gt->origins, now_us);
	if (gt->probe.where && !gt->check.instance)
		eb_gate_probe_send(&gt->probe, now_us);
	check_upstream(gt, now_us);
	eb_metrics_set(gt->config.metrics, EB_METRIC_ANSWERS_IN_FLIGHT,
		       gt->outflow.held_bytes);
	eb_crash_detect_read_counters(gt->marks, &ct);
	eb_metrics_set(gt->config.metrics, EB_METRIC_MARKS, (int64_t)ct.marks);
	eb_metrics_set(gt->config.metrics, EB_METRIC_MARKED_CRASHES,
		       (int64_t)ct.crashes);
	run_admission(gt, now_us);
}
