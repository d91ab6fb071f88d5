#include "eb_front.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_answer.h"
#include "eb_clock.h"
#include "eb_frame.h"
#include "eb_http.h"
#include "eb_listen.h"
#include "eb_parse.h"
#include "eb_stream.h"
#include "eb_trace.h"
#include "eb_tunables.h"
#include "eb_unread.h"

#define EPOLL_WAIT_MAX_MS 500
#define EVENTS_MAX 64
#define INPUT_MAX_BYTES 65536
/* No more of an answer is written while this much output is pending. */
#define OUTPUT_PENDING_MAX_BYTES 65536
/*
 * Credit for written answer bytes is granted in batches of this size. Gates of
 * earlier versions grant further bytes in parts of 64 KB.
 */
#define CREDIT_BATCH_BYTES EB_OUTFLOW_GRANT_BYTES
/* Time for a caller to read its last answer before the connection is closed. */
#define LINGER_US 1000000

enum phase {
	PHASE_ADMISSION, /* HEAD is sent; the body waits for credit */
	PHASE_BODY,	 /* the body is being read */
	PHASE_ANSWER,	 /* the request is complete, its answer is not */
	PHASE_REJECTED,	 /* answered by the front, not forwarded */
};

struct queued {
	struct queued *next;
	struct eb_frame *frame;
};

struct request {
	struct connection *connection;
	struct request *next; /* the next one on this connection */
	uint64_t id;
	struct eb_frame *head; /* NULL once it is sent */
	const struct eb_http_problem *problem;
	uint8_t phase;
	uint8_t in_table;
	uint8_t http11;
	uint8_t is_head;	  /* its answer has no body */
	uint8_t close;		  /* close the connection after the answer */
	uint8_t expects_continue; /* the caller waits for 100 Continue */
	uint8_t discard_body; /* answered early: drop the rest of its body */
	uint8_t held;	      /* see must_wait() */
	uint8_t head_written; /* of the answer, to `out` */
	uint8_t chunked;      /* the answer is sent in chunks */
	uint8_t ended;	      /* the last frame of the answer has arrived */
	uint8_t answer_whole; /* the whole answer has arrived, not its end */
	uint8_t failed;	      /* the answer can't be completed */
	uint64_t credit_bytes;
	uint64_t body_bytes;	 /* sent to the core in DATA */
	uint64_t answer_bytes;	 /* received in RDATA */
	struct eb_frame *answer; /* RHEAD, REFUSE or ABORT */
	struct queued *first, *last;
	uint64_t consumed_bytes;
	int64_t held_us; /* since when it is held */
};

struct connection {
	struct eb_front *front;
	struct connection *next, *previous;
	struct eb_stream *stream;
	struct eb_parse *parse;
	uint64_t caller;
	struct request *first, *last; /* in order of arrival */
	struct request *reading;      /* its body is being read, or NULL */
	uint32_t pending;
	char *in;
	size_t in_bytes;
	size_t in_space;
	struct eb_answer_buffer out;
	uint32_t events;
	struct eb_unread_reader reader;
	size_t out_held_bytes; /* of `out`, counted in `reader` */
	int64_t active_us;
	int64_t linger_until_us; /* 0: not lingering */
	uint8_t caller_closed;
	uint8_t stop_reading;
	uint8_t closing; /* once the output is written */
	uint8_t dead;
	uint8_t cut; /* an answer that has begun will not be complete */
	uint8_t write_wants_read; /* TLS must read before it can write */
	uint8_t parse_again;	  /* held-back input may be parsed now */
};

struct eb_front {
	struct eb_front_config config;
	struct eb_tls *tls;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_hash_t *requests;
	struct eb_unread unread;
	struct connection *connections;
	uint32_t connection_count;
	uint64_t next_id;
	int64_t timeouts_checked_us;
	int epoll_fd;
	int listen_fd;
	int wake_fd; /* wakes the thread after a flag below was set */
	int stopping;
	int draining;
	int closing_listener;
	int closing_idle;
	uint32_t active;
	uint32_t open; /* see eb_front_open() */
};

/* Sends a frame of a request to the core and takes ownership of it. */
static void push(struct request *rq, struct eb_frame *f)
{
	struct eb_front *ft = rq->connection->front;

	if (!f)
		return;
	f->call = rq->id;
	f->offset_bytes = rq->body_bytes;
	if (eb_ring_push(ft->config.out, f)) {
		eb_log_write(ft->config.log, EB_LOG_ERROR, "front",
			     "ring to the core is full", NULL);
		eb_frame_unref(f);
	}
}

static int is_draining(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->draining, __ATOMIC_RELAXED);
}

static void count_open(struct eb_front *ft, int change)
{
	__atomic_add_fetch(&ft->open, (uint32_t)change, __ATOMIC_ACQ_REL);
}

/* ---- Requests ---- */

/*
 * Reads the headers that ebonypier and W3C tracing define. eb_http_check() has
 * checked the numbers; a malformed traceparent starts a new trace.
 */
static void read_ebonypier_headers(struct eb_head *h,
				   const struct eb_headers *hs)
{
	const char *value;
	uint64_t n;

	h->hops = EB_HOPS_DEFAULT;
	value = eb_headers_find(hs, "Ebonypier-Hops");
	if (value && !eb_http_parse_number(value, &n) && n < h->hops)
		h->hops = (uint8_t)n;
	h->remaining_us = 0; /* 0: use the deadline of the service */
	value = eb_headers_find(hs, "Ebonypier-Deadline-Ms");
	if (value && !eb_http_parse_number(value, &n))
		h->remaining_us = n ? (int64_t)n * 1000 : -1;
	value = eb_headers_find(hs, "traceparent");
	if (!value || eb_trace_parse(value, &h->trace))
		eb_trace_new_trace(&h->trace);
	value = eb_headers_find(hs, "Idempotency-Key");
	if (value)
		h->key = strdup(value);
}

/* Tells whether the daemon sets a header and drops the caller's value. */
static int is_set_by_daemon(const struct eb_dialect *dl, const char *name)
{
	return (dl->expect_instance &&
		!strcasecmp(name, dl->expect_instance)) ||
	       (dl->caller_service && !strcasecmp(name, dl->caller_service));
}

/* Copies the end-to-end headers and adds the name of this service. */
static enum eb_status copy_headers(const struct eb_front *ft,
				   const struct eb_headers *from,
				   struct eb_headers *to)
{
	const struct eb_dialect *dl = ft->config.dialect;
	struct eb_headers all = { 0 };
	struct eb_header h;
	enum eb_status st;
	uint32_t pos = 0;

	st = eb_http_copy_end_to_end(from, &all);
	while (!st && eb_headers_next(&all, &pos, &h))
		if (!is_set_by_daemon(dl, h.name))
			st = eb_headers_add(to, h.name, h.value);
	eb_headers_clear(&all);
	if (!st && dl->caller_service && ft->config.settings->service)
		st = eb_headers_add(to, dl->caller_service,
				    ft->config.settings->service);
	return st;
}

/* Builds HEAD from a checked request. Returns NULL without memory or room. */
static struct eb_frame *build_head(const struct request *rq,
				   const struct eb_parse_head *hd)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_HEAD, rq->id);
	const struct eb_http_body *body = &hd->body;
	struct eb_head *h;

	if (!f)
		return NULL;
	h = f->head;
	h->method = strdup(hd->method);
	h->target = strdup(hd->target);
	h->caller = rq->connection->caller;
	if (!h->method || !h->target ||
	    copy_headers(rq->connection->front, &hd->headers, &h->headers)) {
		eb_frame_unref(f);
		return NULL;
	}
	read_ebonypier_headers(h, &hd->headers);
	h->body_bytes = body->length_bytes;
	if (body->chunked)
		h->body_kind = EB_BODY_CHUNKED;
	else if (body->length_bytes > EB_INLINE_BODY_BYTES ||
		 (body->length_bytes && body->expect_continue))
		h->body_kind = EB_BODY_LENGTH;
	else if (body->length_bytes)
		h->body_kind = EB_BODY_INLINE;
	return f;
}

/*
 * Tells whether a request waits for the answers to those before it on its
 * connection. When one of these fails midway, the connection is closed, and the
 * caller sends what is behind it again: that must not have run then, unless the
 * method is safe.
 */
static int must_wait(const struct request *rq)
{
	const char *method = rq->head->head->method;

	return rq != rq->connection->first && strcmp(method, "GET") != 0 &&
	       strcmp(method, "HEAD") != 0 && strcmp(method, "OPTIONS") != 0;
}

/* Passes a request on to the core, or holds it until it is the first one. */
static void send_head(struct request *rq)
{
	struct eb_frame *f = rq->head;

	rq->held = (uint8_t)must_wait(rq);
	if (rq->held) {
		rq->held_us = eb_clock_now_us();
		return;
	}
	rq->head = NULL;
	apr_hash_set(rq->connection->front->requests, &rq->id, sizeof(rq->id),
		     rq);
	rq->in_table = 1;
	push(rq, f);
}

/* Passes on the request that is the first one now, if it was held. */
static void release_held(struct connection *cn)
{
	struct request *rq = cn->first;
	struct eb_head *h;

	if (!rq || !rq->held)
		return;
	h = rq->head->head;
	if (h->remaining_us > 0) {
		h->remaining_us -= eb_clock_now_us() - rq->held_us;
		if (h->remaining_us <= 0)
			h->remaining_us = -1;
	}
	send_head(rq);
}

/* Appends a request to those of a connection. */
static struct request *new_request(struct connection *cn)
{
	struct request *rq = calloc(1, sizeof(*rq));

	if (!rq)
		return NULL;
	rq->connection = cn;
	rq->id = ++cn->front->next_id;
	if (cn->last)
		cn->last->next = rq;
	else
		cn->first = rq;
	cn->last = rq;
	cn->pending++;
	__atomic_add_fetch(&cn->front->active, 1, __ATOMIC_RELAXED);
	return rq;
}

/*
 * Tells whether nothing is left to do for a request: its caller has sent the
 * whole body and the whole answer has arrived. The upstream may still read.
 */
static int is_done(const struct request *rq)
{
	return rq->answer_whole && rq->phase == PHASE_ANSWER;
}

/* Counts bytes of answers that are held for a connection. */
static void hold(struct connection *cn, int64_t bytes)
{
	eb_unread_hold(&cn->front->unread, &cn->reader, bytes);
}

/* Frees the oldest request; the core receives CANCEL if it is not complete. */
static void drop_first_request(struct connection *cn)
{
	struct request *rq = cn->first;
	struct queued *qd;

	if (rq->in_table) {
		if ((!rq->ended && !is_done(rq)) || rq->failed)
			push(rq, eb_frame_new(EB_FRAME_CANCEL, rq->id));
		apr_hash_set(cn->front->requests, &rq->id, sizeof(rq->id),
			     NULL);
	}
	while ((qd = rq->first)) {
		rq->first = qd->next;
		hold(cn, -(int64_t)qd->frame->data_bytes);
		eb_frame_unref(qd->frame);
		free(qd);
	}
	if (rq->answer)
		hold(cn, -(int64_t)rq->answer->data_bytes);
	if (cn->reading == rq)
		cn->reading = NULL;
	cn->first = rq->next;
	if (!cn->first)
		cn->last = NULL;
	cn->pending--;
	__atomic_sub_fetch(&cn->front->active, 1, __ATOMIC_RELAXED);
	eb_frame_unref(rq->head);
	eb_frame_unref(rq->answer);
	free(rq);
}

/* Answers a request with an error and ends its connection. */
static void reject(struct request *rq, const struct eb_http_problem *pb)
{
	struct connection *cn = rq->connection;

	eb_metrics_add(cn->front->config.metrics, EB_METRIC_REJECTED, 1);
	rq->phase = PHASE_REJECTED;
	rq->problem = pb;
	rq->close = 1;
	rq->ended = 1;
	cn->stop_reading = 1;
}

/* Starts a request whose head has been parsed. */
static void begin_request(struct connection *cn)
{
	struct eb_parse_head *hd = eb_parse_head(cn->parse);
	struct request *rq = new_request(cn);

	if (!rq) {
		cn->dead = 1;
		return;
	}
	eb_metrics_add(cn->front->config.metrics, EB_METRIC_REQUESTS, 1);
	cn->reading = rq;
	rq->http11 = hd->http11;
	rq->is_head = !strcmp(hd->method, "HEAD");
	rq->close = !hd->keep_alive;
	rq->head = build_head(rq, hd);
	if (!rq->head) {
		reject(rq, &eb_http_headers_too_large);
		return;
	}
	rq->phase = PHASE_BODY;
	switch (rq->head->head->body_kind) {
	case EB_BODY_NONE:
		break;
	case EB_BODY_INLINE:
		rq->head->data = malloc(rq->head->head->body_bytes);
		if (!rq->head->data)
			cn->dead = 1;
		break;
	default:
		rq->phase = PHASE_ADMISSION;
		rq->expects_continue = hd->body.expect_continue && hd->http11;
		send_head(rq);
		break;
	}
}

/* Receives body bytes from the parser, at most as many as the credit. */
static void receive_body(void *ctx, const void *data, size_t bytes)
{
	struct connection *cn = ctx;
	struct request *rq = cn->reading;
	struct eb_frame *f = rq->head;

	if (rq->discard_body)
		return;
	if (f) {
		assert(f->data_bytes + bytes <= f->head->body_bytes);
		memcpy(f->data + f->data_bytes, data, bytes);
		f->data_bytes += (uint32_t)bytes;
		return;
	}
	assert(bytes <= rq->credit_bytes);
	rq->credit_bytes -= bytes;
	push(rq,
	     eb_frame_new_data(EB_FRAME_DATA, rq->id, data, (uint32_t)bytes));
	rq->body_bytes += bytes;
}

static void end_body(struct connection *cn)
{
	struct request *rq = cn->reading;

	cn->reading = NULL;
	if (rq->head)
		send_head(rq);
	else if (!rq->discard_body && rq->phase != PHASE_REJECTED)
		push(rq, eb_frame_new(EB_FRAME_END, rq->id));
	if (rq->phase != PHASE_REJECTED)
		rq->phase = PHASE_ANSWER;
	if (rq->close)
		cn->stop_reading = 1;
}

/*
 * Tells whether the next request may be read before the ones before it are
 * answered. An answer in chunks ends the connection of an HTTP/1.0 caller.
 */
static int may_pipeline(const struct connection *cn)
{
	return cn->pending < EB_PIPELINE_MAX && (!cn->last || cn->last->http11);
}

/*
 * Returns how many input bytes may be parsed now. The body of a request is
 * limited by its credit, and pipelined requests to EB_PIPELINE_MAX.
 */
static size_t readable_bytes(const struct connection *cn)
{
	const struct request *rq = cn->reading;

	if (cn->stop_reading || cn->dead || cn->closing)
		return 0;
	if (cn->last && cn->last->held)
		return 0;
	if (!rq)
		return may_pipeline(cn) ? cn->in_bytes : 0;
	if (rq->head || rq->discard_body)
		return cn->in_bytes;
	if (rq->phase == PHASE_ADMISSION)
		return 0;
	return rq->credit_bytes < cn->in_bytes ? rq->credit_bytes
					       : cn->in_bytes;
}

/* Rejects a request with an invalid head or body. */
static void handle_parse_error(struct connection *cn)
{
	struct request *rq = cn->reading;

	cn->stop_reading = 1;
	if (!rq) {
		rq = new_request(cn);
		if (!rq) {
			cn->dead = 1;
			return;
		}
		eb_metrics_add(cn->front->config.metrics, EB_METRIC_REQUESTS,
			       1);
		reject(rq, eb_parse_problem(cn->parse));
		return;
	}
	/* The body is invalid: cancel the call if HEAD was sent. */
	if (rq->in_table) {
		push(rq, eb_frame_new(EB_FRAME_CANCEL, rq->id));
		apr_hash_set(cn->front->requests, &rq->id, sizeof(rq->id),
			     NULL);
		rq->in_table = 0;
	}
	if (rq->head_written)
		cn->dead = 1;
	else
		reject(rq, &eb_http_body_read_error);
}

/* Parses the buffered input as far as readable_bytes() allows. */
static void parse(struct connection *cn)
{
	enum eb_parse_event ev = EB_PARSE_MORE;
	size_t n, used, taken = 0;

	for (;;) {
		n = readable_bytes(cn);
		n = n > taken ? n - taken : 0;
		/* The last byte of a head also ends an empty body. */
		if (!n || cn->dead)
			break;
		ev = eb_parse_run(cn->parse, cn->in + taken, n, &used);
		taken += used;
		if (ev == EB_PARSE_HEAD)
			begin_request(cn);
		else if (ev == EB_PARSE_END)
			end_body(cn);
		else if (ev == EB_PARSE_BAD)
			handle_parse_error(cn);
		else if (!used)
			break;
		cn->in_bytes -= taken;
		memmove(cn->in, cn->in + taken, cn->in_bytes);
		taken = 0;
	}
}

/* ---- Answers ---- */

/* Counts written answer bytes and grants them as credit, in batches. */
static void grant_credit(struct request *rq, uint64_t bytes)
{
	struct eb_frame *f;

	rq->consumed_bytes += bytes;
	if (rq->consumed_bytes < CREDIT_BATCH_BYTES || rq->ended)
		return;
	f = eb_frame_new(EB_FRAME_RCREDIT, rq->id);
	if (!f)
		return;
	f->credit_bytes = rq->consumed_bytes;
	rq->consumed_bytes = 0;
	push(rq, f);
}

static void count_answer(struct eb_front *ft, enum eb_outcome outcome)
{
	static const enum eb_metric metrics[] = {
		[EB_OUTCOME_UNKNOWN] = EB_METRIC_ANSWER_UNKNOWN,
		[EB_OUTCOME_RAN] = EB_METRIC_ANSWER_RAN,
		[EB_OUTCOME_NOT_RUN] = EB_METRIC_ANSWER_NOT_RUN,
	};

	eb_metrics_add(ft->config.metrics, metrics[outcome], 1);
}

/* Writes an error answer of this daemon. */
static void write_error_answer(struct request *rq,
			       const struct eb_answer_error *ea)
{
	struct connection *cn = rq->connection;

	count_answer(cn->front, ea->outcome);
	rq->head_written = 1;
	rq->ended = 1;
	if (eb_answer_write_error(&cn->out, ea))
		cn->dead = 1;
}

/* Answers a call that failed with REFUSE or ABORT. */
static void write_refusal(struct request *rq)
{
	const struct eb_reply *r = rq->answer->reply;
	struct eb_answer_error ea = { 0 };

	ea.status = r->status ? r->status : 500;
	ea.code = eb_reason_name(r->reason);
	ea.reason = r->outcome == EB_OUTCOME_NOT_RUN
			    ? "the request was not run"
			    : "it is not known whether the request ran";
	ea.outcome = r->outcome;
	ea.retry_after_ms = r->retry_after_ms;
	ea.fraction =
		rq->connection->front->config.dialect->retry_after_fraction;
	ea.close = rq->close;
	ea.no_body = rq->is_head;
	write_error_answer(rq, &ea);
}

/* Answers a request that was rejected before it was forwarded. */
static void write_problem(struct request *rq)
{
	struct eb_answer_error ea = { 0 };

	ea.status = rq->problem->status;
	ea.code = rq->problem->code;
	ea.reason = rq->problem->reason;
	ea.outcome = EB_OUTCOME_NOT_RUN;
	ea.close = 1;
	write_error_answer(rq, &ea);
}

/* Writes the head of an upstream's answer, and an inline body. */
static void write_head(struct request *rq)
{
	struct connection *cn = rq->connection;
	struct eb_frame *f = rq->answer;
	struct eb_answer_head ah = { 0 };

	ah.reply = f->reply;
	ah.http11 = rq->http11;
	ah.is_head = rq->is_head;
	if (f->reply->body_kind == EB_BODY_CHUNKED && !rq->http11)
		rq->close = 1;
	ah.close = rq->close;
	/* The end of the connection may be all that ends this answer. */
	if (rq->close && !rq->http11)
		eb_stream_set_reset(cn->stream, 1);
	rq->chunked = f->reply->body_kind == EB_BODY_CHUNKED && rq->http11;
	rq->head_written = 1;
	count_answer(cn->front, EB_OUTCOME_RAN);
	if (eb_answer_write_head(&cn->out, &ah))
		cn->dead = 1;
	if (eb_frame_ends_answer(f)) {
		if (!rq->is_head &&
		    eb_answer_append(&cn->out, f->data, f->data_bytes))
			cn->dead = 1;
		rq->ended = 1;
	}
}

/* Writes queued body frames while the output is below its limit. */
static void write_body(struct request *rq)
{
	struct connection *cn = rq->connection;
	struct queued *qd;
	int failed = 0;

	while ((qd = rq->first) &&
	       eb_answer_pending(&cn->out) < OUTPUT_PENDING_MAX_BYTES) {
		rq->first = qd->next;
		if (!rq->first)
			rq->last = NULL;
		if (rq->chunked)
			failed |= eb_answer_append_chunk(&cn->out,
							 qd->frame->data,
							 qd->frame->data_bytes);
		else
			failed |= eb_answer_append(&cn->out, qd->frame->data,
						   qd->frame->data_bytes);
		hold(cn, -(int64_t)qd->frame->data_bytes);
		grant_credit(rq, qd->frame->data_bytes);
		eb_frame_unref(qd->frame);
		free(qd);
	}
	if (failed)
		cn->dead = 1;
}

/*
 * Closes the connection after the answer to the newest request that has been
 * read. Those before it may have run as well, so each gets its answer.
 */
static void close_after_last(struct connection *cn)
{
	cn->last->close = 1;
	if (cn->reading != cn->last)
		cn->stop_reading = 1;
}

/*
 * Writes as much of a request's answer as has arrived and fits. Returns 1 when
 * it is complete.
 */
static int write_answer_part(struct request *rq)
{
	struct connection *cn = rq->connection;

	if (!rq->head_written) {
		if (is_draining(cn->front))
			close_after_last(cn);
		if (rq->phase == PHASE_REJECTED)
			write_problem(rq);
		else if (!rq->answer)
			return 0;
		else if (rq->answer->type == EB_FRAME_RHEAD)
			write_head(rq);
		else
			write_refusal(rq);
	}
	write_body(rq);
	if (rq->first)
		return 0;
	if (rq->failed) {
		/* An answer that can't be completed must not look complete. */
		eb_metrics_add(cn->front->config.metrics, EB_METRIC_ANSWER_CUT,
			       1);
		cn->dead = 1;
		return 0;
	}
	if (!rq->ended && !rq->answer_whole)
		return 0;
	if (rq->chunked && eb_answer_append(&cn->out, "0\r\n\r\n", 5))
		cn->dead = 1;
	rq->chunked = 0;
	return 1;
}

/* Tells whether the body of a request is passed on as it arrives. */
static int is_forwarded(const struct request *rq)
{
	return rq->in_table && !rq->discard_body;
}

/*
 * Drops the rest of a body once its call has ended. After an early answer the
 * call goes on: the upstream may read the rest of the body later.
 */
static void discard_rest_of_body(struct connection *cn, struct request *rq)
{
	if (cn->reading != rq || rq->head || rq->discard_body)
		return;
	if (rq->answer->type == EB_FRAME_RHEAD && !rq->ended &&
	    !rq->expects_continue)
		return;
	cn->parse_again = 1;
	rq->discard_body = 1;
	rq->phase = PHASE_BODY;
	/* A caller that waits for 100 Continue sends no body after this. */
	if (rq->expects_continue)
		rq->close = 1;
}

/* Writes the answers of a connection, in the order of its requests. */
static void answer(struct connection *cn)
{
	struct request *rq;

	while ((rq = cn->first) && !cn->dead && !cn->closing) {
		if (rq->expects_continue && rq->phase == PHASE_BODY &&
		    !rq->answer) {
			rq->expects_continue = 0;
			if (eb_answer_append(&cn->out,
					     "HTTP/1.1 100 Continue\r\n\r\n",
					     25))
				cn->dead = 1;
		}
		if (rq->answer)
			discard_rest_of_body(cn, rq);
		if (!write_answer_part(rq))
			return;
		/* The parser needs the request until its body is read. */
		if (cn->reading == rq && (!rq->close || is_forwarded(rq)))
			return;
		if (rq->close)
			cn->closing = 1;
		drop_first_request(cn);
		if (!cn->closing)
			release_held(cn);
		cn->parse_again = 1;
	}
}

/* ---- Connections ---- */

/* Registers the events that the connection waits for now. */
static void update_events(struct connection *cn)
{
	struct epoll_event ev = { .data.ptr = cn };
	size_t pending = eb_answer_pending(&cn->out);

	hold(cn, (int64_t)pending - (int64_t)cn->out_held_bytes);
	cn->out_held_bytes = pending;
	if (!cn->caller_closed)
		ev.events |= EPOLLRDHUP;
	if (!cn->caller_closed &&
	    (cn->linger_until_us || cn->in_bytes < INPUT_MAX_BYTES))
		ev.events |= EPOLLIN;
	if (pending)
		ev.events |= cn->write_wants_read ? EPOLLIN : EPOLLOUT;
	if (ev.events == cn->events)
		return;
	cn->events = ev.events;
	epoll_ctl(cn->front->epoll_fd, EPOLL_CTL_MOD, eb_stream_fd(cn->stream),
		  &ev);
}

static void free_connection(struct connection *cn)
{
	struct eb_front *ft = cn->front;

	if (cn->cut || eb_answer_pending(&cn->out) ||
	    (cn->first && cn->first->head_written))
		eb_stream_set_reset(cn->stream, 1);
	while (cn->first)
		drop_first_request(cn);
	eb_unread_end(&ft->unread, &cn->reader);
	if (cn->previous)
		cn->previous->next = cn->next;
	else
		ft->connections = cn->next;
	if (cn->next)
		cn->next->previous = cn->previous;
	__atomic_sub_fetch(&ft->connection_count, 1, __ATOMIC_RELEASE);
	if (!cn->linger_until_us)
		count_open(ft, -1);
	epoll_ctl(ft->epoll_fd, EPOLL_CTL_DEL, eb_stream_fd(cn->stream), NULL);
	eb_stream_free(cn->stream);
	eb_parse_free(cn->parse);
	eb_answer_clear(&cn->out);
	free(cn->in);
	free(cn);
}

/* Writes pending output until the socket is full. */
static void write_out(struct connection *cn, int64_t now_us)
{
	struct eb_unread *un = &cn->front->unread;
	enum eb_stream_wait wait = EB_STREAM_WRITABLE;
	const void *data;
	size_t bytes;
	ssize_t n;

	while ((bytes = eb_answer_peek(&cn->out, &data))) {
		n = eb_stream_write(cn->stream, data, bytes, &wait);
		if (n < 0) {
			cn->dead |= wait == EB_STREAM_FAILED;
			cn->write_wants_read = wait == EB_STREAM_READABLE;
			eb_unread_blocked(un, &cn->reader, now_us);
			return;
		}
		eb_answer_consume(&cn->out, (size_t)n);
		if (n)
			eb_unread_progress(un, &cn->reader);
	}
	eb_unread_progress(un, &cn->reader);
	cn->write_wants_read = 0;
}

/*
 * Writes what has arrived of the answers, in parts, until the socket takes no
 * more. Nothing else wakes the connection for parts that are left, once the
 * answer has arrived completely.
 */
static void write_answers(struct connection *cn, int64_t now_us)
{
	do {
		answer(cn);
		if (!eb_answer_pending(&cn->out))
			return;
		write_out(cn, now_us);
	} while (!cn->dead && !eb_answer_pending(&cn->out));
}

/*
 * Shuts down sending once the last answer is written. The connection reads on
 * for up to LINGER_US: closing it at once could reset it before the caller has
 * read the answer.
 */
static void linger(struct connection *cn, int64_t now_us)
{
	if (!cn->closing || cn->linger_until_us || cn->dead ||
	    eb_answer_pending(&cn->out))
		return;
	if (cn->cut) {
		cn->dead = 1;
		return;
	}
	eb_stream_set_reset(cn->stream, 0);
	eb_stream_shutdown_write(cn->stream);
	if (cn->caller_closed) {
		cn->dead = 1;
		return;
	}
	cn->linger_until_us = now_us + LINGER_US;
	cn->in_bytes = 0;
	count_open(cn->front, -1);
}

/*
 * The caller has closed its side: cancels the requests in flight. Output that
 * is pending, and the error for a rejected request, are still written.
 */
static void handle_caller_close(struct connection *cn)
{
	if (cn->first && cn->first->phase != PHASE_REJECTED)
		eb_metrics_add(cn->front->config.metrics, EB_METRIC_CALLER_GONE,
			       1);
	cn->cut |= cn->first && cn->first->head_written;
	while (cn->first && cn->first->phase != PHASE_REJECTED)
		drop_first_request(cn);
	cn->stop_reading = 1;
	cn->closing = !cn->first;
}

static int reserve_input(struct connection *cn)
{
	size_t space = cn->in_space ? cn->in_space : 4096;
	char *p;

	while (space < cn->in_bytes + 4096)
		space *= 2;
	if (space == cn->in_space)
		return 0;
	p = realloc(cn->in, space);
	if (!p)
		return -1;
	cn->in = p;
	cn->in_space = space;
	return 0;
}

/* Reads what has arrived, until INPUT_MAX_BYTES are buffered. */
static void read_in(struct connection *cn, int64_t now_us)
{
	enum eb_stream_wait wait = EB_STREAM_READABLE;
	ssize_t n;

	while (cn->in_bytes < INPUT_MAX_BYTES && !cn->dead) {
		if (reserve_input(cn)) {
			cn->dead = 1;
			return;
		}
		n = eb_stream_read(cn->stream, cn->in + cn->in_bytes,
				   cn->in_space - cn->in_bytes, &wait);
		if (n < 0) {
			cn->dead |= wait == EB_STREAM_FAILED;
			return;
		}
		if (!n) {
			cn->caller_closed = 1;
			return;
		}
		cn->active_us = now_us;
		/* Input after the last request is dropped. */
		if (!cn->linger_until_us)
			cn->in_bytes += (size_t)n;
	}
}

/*
 * Parses input and writes answers until neither makes progress. May free the
 * connection.
 */
static void process_connection(struct connection *cn, int64_t now_us)
{
	size_t before;

	do {
		if (eb_stream_has_buffered(cn->stream) && !cn->caller_closed)
			read_in(cn, now_us);
		before = cn->in_bytes;
		cn->parse_again = 0;
		parse(cn);
		answer(cn);
	} while (!cn->dead && (cn->in_bytes != before || cn->parse_again));
	if (cn->caller_closed && !cn->dead && !cn->closing &&
	    (!readable_bytes(cn) || cn->in_bytes == before))
		handle_caller_close(cn);
	write_answers(cn, now_us);
	linger(cn, now_us);
	if (cn->dead ||
	    (cn->closing && cn->caller_closed && !eb_answer_pending(&cn->out)))
		free_connection(cn);
	else
		update_events(cn);
}

static void on_event(struct connection *cn, uint32_t events, int64_t now_us)
{
	if (events & EPOLLERR)
		cn->dead = 1;
	if (!cn->dead && events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
		read_in(cn, now_us);
	/* With the input full, a close is seen only by its event. */
	if (events & (EPOLLRDHUP | EPOLLHUP))
		cn->caller_closed = 1;
	process_connection(cn, now_us);
}

/* Hashes the caller's IP address without the port. */
static uint64_t hash_caller(const struct sockaddr_in *sa)
{
	return XXH64(&sa->sin_addr, sizeof(sa->sin_addr), 0);
}

/* Takes ownership of an accepted socket; closes it past the limit. */
static void add_connection(struct eb_front *ft, int fd,
			   const struct sockaddr_in *sa, int64_t now_us)
{
	struct epoll_event ev = { .events = EPOLLIN | EPOLLRDHUP };
	struct connection *cn = calloc(1, sizeof(*cn));
	int one = 1;

	if (!cn || ft->connection_count >= EB_FRONT_CONNECTIONS_MAX) {
		free(cn);
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	cn->front = ft;
	cn->caller = hash_caller(sa);
	cn->active_us = now_us;
	cn->stream = eb_stream_new(fd, ft->tls);
	cn->parse = eb_parse_new(receive_body, cn);
	ev.data.ptr = cn;
	if (!cn->stream || !cn->parse ||
	    epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, fd, &ev)) {
		eb_stream_free(cn->stream);
		eb_parse_free(cn->parse);
		free(cn);
		return;
	}
	cn->events = ev.events;
	cn->next = ft->connections;
	if (cn->next)
		cn->next->previous = cn;
	ft->connections = cn;
	__atomic_add_fetch(&ft->connection_count, 1, __ATOMIC_RELEASE);
	count_open(ft, 1);
	read_in(cn, now_us);
	process_connection(cn, now_us);
}

static void accept_pending(struct eb_front *ft, int64_t now_us)
{
	struct sockaddr_in sa;
	socklen_t n;
	int fd;

	while (ft->listen_fd >= 0) {
		n = sizeof(sa);
		fd = accept4(ft->listen_fd, (struct sockaddr *)&sa, &n,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		add_connection(ft, fd, &sa, now_us);
	}
}

/*
 * Closes the connections without a request. A request that arrives during the
 * close is not read, so its caller sends it to another daemon.
 */
static void close_idle(struct eb_front *ft, int64_t now_us)
{
	struct connection *cn, *next;

	if (!__atomic_load_n(&ft->closing_idle, __ATOMIC_RELAXED))
		return;
	for (cn = ft->connections; cn; cn = next) {
		next = cn->next;
		if (!cn->linger_until_us)
			read_in(cn, now_us);
		cn->closing |= !cn->first && !cn->in_bytes;
		process_connection(cn, now_us);
	}
}

/*
 * Closes the listening socket. Pending connections are accepted first: the
 * close would reset them, although their callers may have sent a request.
 */
static void close_listener(struct eb_front *ft, int64_t now_us)
{
	if (ft->listen_fd < 0 ||
	    !__atomic_load_n(&ft->closing_listener, __ATOMIC_RELAXED))
		return;
	accept_pending(ft, now_us);
	epoll_ctl(ft->epoll_fd, EPOLL_CTL_DEL, ft->listen_fd, NULL);
	close(ft->listen_fd);
	ft->listen_fd = -1;
	count_open(ft, -1);
}

/* Gives up answers that their callers do not read, see eb_unread. */
static void abandon_unread(struct eb_front *ft, int64_t now_us)
{
	struct eb_unread_reader *rd;
	enum eb_metric reason;
	struct connection *cn;

	while ((rd = eb_unread_next(&ft->unread, now_us, &reason))) {
		cn = (struct connection *)((char *)rd -
					   offsetof(struct connection, reader));
		eb_metrics_add(ft->config.metrics, reason, 1);
		eb_metrics_add(ft->config.metrics, EB_METRIC_ANSWER_CUT, 1);
		eb_log_write(ft->config.log, EB_LOG_WARN, "front",
			     "answer abandoned",
			     "reason=%s caller=%016llx held_bytes=%lld "
			     "blocked_ms=%lld all_held_bytes=%lld",
			     reason == EB_METRIC_ANSWERS_UNREAD ? "unread"
								: "memory",
			     (unsigned long long)cn->caller,
			     (long long)rd->held_bytes,
			     (long long)(now_us - rd->blocked_us) / 1000,
			     (long long)ft->unread.held_bytes);
		free_connection(cn);
	}
	eb_metrics_set(ft->config.metrics, EB_METRIC_ANSWERS_HELD,
		       ft->unread.held_bytes);
}

/* Closes connections whose idle or linger time is over. */
static void check_timeouts(struct eb_front *ft, int64_t now_us)
{
	int64_t idle_us = EB_FRONT_IDLE_TIMEOUT_S * 1000000LL;
	struct connection *cn, *next;

	if (now_us - ft->timeouts_checked_us < EPOLL_WAIT_MAX_MS * 1000)
		return;
	ft->timeouts_checked_us = now_us;
	for (cn = ft->connections; cn; cn = next) {
		next = cn->next;
		if (cn->linger_until_us
			    ? now_us >= cn->linger_until_us
			    : !cn->first && now_us - cn->active_us > idle_us)
			free_connection(cn);
	}
}

/* ---- Frames from the core ---- */

static void queue_data(struct request *rq, struct eb_frame *f)
{
	struct queued *qd = calloc(1, sizeof(*qd));

	if (!qd) {
		eb_frame_unref(f);
		rq->failed = 1;
		return;
	}
	qd->frame = f;
	hold(rq->connection, f->data_bytes);
	if (rq->last)
		rq->last->next = qd;
	else
		rq->first = qd;
	rq->last = qd;
}

static void handle_credit(struct request *rq, const struct eb_frame *f)
{
	rq->credit_bytes += f->credit_bytes;
	if (rq->phase == PHASE_ADMISSION)
		rq->phase = PHASE_BODY;
}

/*
 * Handles REFUSE and ABORT: an answer that has begun can't be completed, unless
 * all of it is here.
 */
static void handle_failure(struct request *rq, struct eb_frame *f)
{
	rq->ended = 1;
	if (!rq->answer) {
		rq->answer = f;
		hold(rq->connection, f->data_bytes);
		return;
	}
	rq->failed |= !rq->answer_whole;
	eb_frame_unref(f);
}

/*
 * Tells whether a part of the answer before this frame was lost on the way,
 * with a connection between two daemons.
 */
static int follows_gap(const struct request *rq, const struct eb_frame *f)
{
	if (f->type != EB_FRAME_RDATA && f->type != EB_FRAME_REND)
		return 0;
	return !rq->answer_whole && f->offset_bytes != EB_OFFSET_UNKNOWN &&
	       f->offset_bytes != rq->answer_bytes;
}

static void handle_frame(struct eb_front *ft, struct eb_frame *f,
			 int64_t now_us)
{
	struct request *rq;

	rq = apr_hash_get(ft->requests, &f->call, sizeof(f->call));
	if (!rq || rq->ended) {
		eb_metrics_add(ft->config.metrics, EB_METRIC_LATE_FRAMES, 1);
		eb_frame_unref(f);
		return;
	}
	if (follows_gap(rq, f)) {
		eb_metrics_add(ft->config.metrics, EB_METRIC_BODY_GAPS, 1);
		rq->ended = 1;
		rq->failed = 1;
		eb_frame_unref(f);
		process_connection(rq->connection, now_us);
		return;
	}
	switch (f->type) {
	case EB_FRAME_CREDIT:
		handle_credit(rq, f);
		eb_frame_unref(f);
		break;
	case EB_FRAME_RHEAD:
		assert(!rq->answer);
		rq->answer = f;
		hold(rq->connection, f->data_bytes);
		rq->ended = eb_frame_ends_answer(f) != 0;
		break;
	case EB_FRAME_RDATA:
		if (f->data_bytes) {
			rq->answer_bytes += f->data_bytes;
			queue_data(rq, f);
		} else {
			rq->answer_whole = 1;
			eb_frame_unref(f);
		}
		break;
	case EB_FRAME_REND:
		rq->ended = 1;
		eb_frame_unref(f);
		break;
	case EB_FRAME_REFUSE:
	case EB_FRAME_ABORT:
		handle_failure(rq, f);
		break;
	default:
		eb_frame_unref(f);
		return;
	}
	process_connection(rq->connection, now_us);
}

static void handle_frames(struct eb_front *ft, int64_t now_us)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;

	do {
		n = eb_ring_pop(ft->config.in, items, EB_BATCH_FRAMES);
		for (i = 0; i < n; i++)
			handle_frame(ft, items[i], now_us);
		abandon_unread(ft, now_us);
	} while (n == EB_BATCH_FRAMES);
}

/* ---- Thread ---- */

/* Their addresses mark the events of the listener, the ring and a wake-up. */
static char listener_tag, ring_tag, wake_tag;

/* Sets a flag that the thread checks and wakes the thread. */
static void set_flag(struct eb_front *ft, int *flag)
{
	__atomic_store_n(flag, 1, __ATOMIC_RELEASE);
	eventfd_write(ft->wake_fd, 1);
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct epoll_event ev[EVENTS_MAX];
	struct eb_front *ft = data;
	eventfd_t wakes;
	int64_t now_us;
	int i, n;

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-front");
	while (!__atomic_load_n(&ft->stopping, __ATOMIC_ACQUIRE)) {
		n = epoll_wait(ft->epoll_fd, ev, EVENTS_MAX, EPOLL_WAIT_MAX_MS);
		now_us = eb_clock_now_us();
		for (i = 0; i < n; i++) {
			if (ev[i].data.ptr == &listener_tag)
				accept_pending(ft, now_us);
			else if (ev[i].data.ptr == &wake_tag)
				eventfd_read(ft->wake_fd, &wakes);
			else if (ev[i].data.ptr != &ring_tag)
				on_event(ev[i].data.ptr, ev[i].events, now_us);
		}
		/* After all events: it may free connections that `ev` names. */
		handle_frames(ft, now_us);
		close_listener(ft, now_us);
		close_idle(ft, now_us);
		check_timeouts(ft, now_us);
		if (ft->tls)
			eb_tls_tick(ft->tls, now_us);
	}
	return NULL;
}

static int register_events(struct eb_front *ft)
{
	struct epoll_event listener = { .events = EPOLLIN,
					.data.ptr = &listener_tag };
	struct epoll_event ring = { .events = EPOLLIN, .data.ptr = &ring_tag };
	struct epoll_event wake = { .events = EPOLLIN, .data.ptr = &wake_tag };

	return epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, ft->wake_fd, &wake) ||
	       epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, ft->listen_fd,
			 &listener) ||
	       epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, eb_ring_fd(ft->config.in),
			 &ring);
}

/*
 * Listens for callers and starts the thread. Returns NULL and sets `err`
 * when the address, certificate or key cannot be used.
 */
struct eb_front *eb_front_start(const struct eb_front_config *cf,
				struct eb_error *err)
{
	const struct eb_settings *se = cf->settings;
	struct eb_front *ft = calloc(1, sizeof(*ft));

	if (!ft || apr_pool_create(&ft->pool, NULL) != APR_SUCCESS) {
		free(ft);
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	ft->config = *cf;
	eb_unread_init(&ft->unread, eb_settings_answers_max_bytes(se) / 2,
		       se->answer_unread_ms);
	ft->requests = apr_hash_make(ft->pool);
	ft->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ft->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	ft->listen_fd = eb_listen_open(se->listen_address, err);
	if (ft->listen_fd < 0)
		goto fail;
	if (se->tls_certificate) {
		ft->tls = eb_tls_new(se->tls_certificate, se->tls_key, cf->log,
				     err);
		if (!ft->tls)
			goto fail;
	}
	ft->open = 1;
	if (register_events(ft)) {
		eb_error_set(err, EB_EIO,
			     "cannot register the listener %s with epoll",
			     se->listen_address);
		goto fail;
	}
	if (apr_thread_create(&ft->thread, NULL, run, ft, ft->pool) !=
	    APR_SUCCESS) {
		eb_error_set(err, EB_EIO, "cannot create the front thread");
		goto fail;
	}
	return ft;
fail:
	eb_front_stop(ft);
	return NULL;
}

/*
 * From now on, closes each connection after the answers to the requests that
 * were read on it. May be called from any thread.
 */
void eb_front_drain(struct eb_front *ft)
{
	set_flag(ft, &ft->draining);
}

/* Stops accepting connections. May be called from any thread. */
void eb_front_close_listener(struct eb_front *ft)
{
	if (!__atomic_load_n(&ft->closing_listener, __ATOMIC_RELAXED))
		set_flag(ft, &ft->closing_listener);
}

/*
 * From now on, closes connections without a request. May be called from any
 * thread.
 */
void eb_front_close_idle(struct eb_front *ft)
{
	if (!__atomic_load_n(&ft->closing_idle, __ATOMIC_RELAXED))
		set_flag(ft, &ft->closing_idle);
}

/*
 * Returns the number of sockets from which a request may still be read or to
 * which an answer is not written, the listening one included. May be called
 * from any thread.
 */
uint32_t eb_front_open(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->open, __ATOMIC_ACQUIRE);
}

/*
 * Returns the number of connections, those included that only wait for their
 * caller to close. May be called from any thread.
 */
uint32_t eb_front_connections(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->connection_count, __ATOMIC_ACQUIRE);
}

/*
 * Returns the number of requests whose answer is not complete. May be called
 * from any thread.
 */
uint32_t eb_front_active(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->active, __ATOMIC_ACQUIRE);
}

/* Stops the thread, closes all connections and frees `ft`; NULL is allowed. */
void eb_front_stop(struct eb_front *ft)
{
	struct connection *cn, *next;
	apr_status_t status;

	if (!ft)
		return;
	set_flag(ft, &ft->stopping);
	if (ft->thread)
		apr_thread_join(&status, ft->thread);
	for (cn = ft->connections; cn; cn = next) {
		next = cn->next;
		free_connection(cn);
	}
	if (ft->listen_fd >= 0)
		close(ft->listen_fd);
	eb_tls_free(ft->tls);
	close(ft->epoll_fd);
	close(ft->wake_fd);
	apr_pool_destroy(ft->pool);
	free(ft);
}
