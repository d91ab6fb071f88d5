#include "eb_front.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_answer.h"
#include "eb_clock.h"
#include "eb_frame.h"
#include "eb_http.h"
#include "eb_parse.h"
#include "eb_stream.h"
#include "eb_trace.h"
#include "eb_tunables.h"

#define WAIT_MAX_MS 500
#define EVENTS_MAX 64
#define READ_BYTES 65536
/* Output that waits in a connection before answers are held back. */
#define OUTPUT_MAX_BYTES 65536
/* Consumed answer bytes are granted again in portions of this size. */
#define CREDIT_PORTION_BYTES 65536
/* Time for a caller to read a last answer before its connection is reset. */
#define LINGER_US 1000000

enum phase {
	PHASE_ADMISSION, /* HEAD sent, its body waits for credit */
	PHASE_BODY,	 /* body bytes are read */
	PHASE_ANSWER,	 /* request complete, waits for the answer */
	PHASE_REJECTED,	 /* answered here; it was never handed on */
};

struct queued {
	struct queued *next;
	struct eb_frame *frame;
};

struct request {
	struct connection *connection;
	struct request *next; /* the one that was sent after it */
	uint64_t id;
	struct eb_frame *head; /* until it is sent */
	const struct eb_http_problem *problem;
	uint8_t phase;
	uint8_t in_table;
	uint8_t http11;
	uint8_t is_head; /* its answer has no body */
	uint8_t close;	 /* the connection ends with its answer */
	uint8_t expects; /* waits for 100 Continue */
	uint8_t discard; /* the answer came before the end of the body */
	uint8_t begun;	 /* the head of the answer was written */
	uint8_t chunked; /* the answer is sent in chunks */
	uint8_t ended;	 /* last frame of the answer has arrived */
	uint8_t failed;	 /* the answer can't be completed */
	uint64_t credit_bytes;
	struct eb_frame *answer; /* RHEAD, REFUSE or ABORT */
	struct queued *first, *last;
	uint64_t consumed_bytes;
};

struct connection {
	struct eb_front *front;
	struct connection *next, *previous;
	struct eb_stream *stream;
	struct eb_parse *parse;
	uint64_t caller;
	struct request *first, *last; /* in the order of their arrival */
	struct request *reading;      /* whose body is due, or NULL */
	uint32_t pending;
	char *in;
	size_t in_bytes;
	size_t in_space;
	struct eb_answer_buffer out;
	uint32_t events;
	int64_t active_us;
	int64_t linger_until_us; /* 0: not lingering */
	uint8_t caller_closed;
	uint8_t stop_reading;
	uint8_t closing; /* after the output has been written */
	uint8_t dead;
	uint8_t write_wants_read; /* TLS */
	uint8_t unblocked;	  /* bytes that had to wait may be read now */
};

struct eb_front {
	struct eb_front_config config;
	struct eb_tls *tls;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_hash_t *requests;
	struct connection *connections;
	uint32_t connection_count;
	uint64_t next_id;
	int64_t swept_us;
	int epoll_fd;
	int listen_fd;
	int stopping;
	int draining;
	int closing_listener;
	int closing_idle;
	uint32_t active;
};

static void push(struct request *rq, struct eb_frame *f)
{
	struct eb_front *ft = rq->connection->front;

	if (!f)
		return;
	f->call = rq->id;
	if (eb_ring_push(ft->config.out, f)) {
		eb_log_write(ft->config.log, EB_LOG_ERROR, "front",
			     "ring to the core is full", NULL);
		eb_frame_unref(f);
	}
}

static int leaving(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->draining, __ATOMIC_RELAXED);
}

/* ---- Requests ---- */

/* Fills in what the headers of this system say; they were checked. */
static void read_own_headers(struct eb_head *h, const struct eb_headers *hs)
{
	const char *value;
	uint64_t n;

	h->hops = EB_HOPS_DEFAULT;
	value = eb_headers_find(hs, "Ebonypier-Hops");
	if (value && !eb_http_parse_number(value, &n) && n < h->hops)
		h->hops = (uint8_t)n;
	h->remaining_us = 0; /* 0: the deadline of the service */
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

/* Tells whether this system sets a header, whatever the caller said. */
static int is_ours(const struct eb_dialect *dl, const char *name)
{
	return (dl->expect_instance &&
		!strcasecmp(name, dl->expect_instance)) ||
	       (dl->caller_service && !strcasecmp(name, dl->caller_service));
}

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
		if (!is_ours(dl, h.name))
			st = eb_headers_add(to, h.name, h.value);
	eb_headers_clear(&all);
	if (!st && dl->caller_service && ft->config.settings->service)
		st = eb_headers_add(to, dl->caller_service,
				    ft->config.settings->service);
	return st;
}

/* Builds HEAD from a request that passed its checks. */
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
	read_own_headers(h, &hd->headers);
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

static void send_head(struct request *rq)
{
	struct eb_frame *f = rq->head;

	rq->head = NULL;
	apr_hash_set(rq->connection->front->requests, &rq->id, sizeof(rq->id),
		     rq);
	rq->in_table = 1;
	push(rq, f);
}

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

/* Frees the oldest request of a connection; its core side is told to stop. */
static void drop_first(struct connection *cn)
{
	struct request *rq = cn->first;
	struct queued *qd;

	if (rq->in_table) {
		if (!rq->ended || rq->failed)
			push(rq, eb_frame_new(EB_FRAME_CANCEL, rq->id));
		apr_hash_set(cn->front->requests, &rq->id, sizeof(rq->id),
			     NULL);
	}
	while ((qd = rq->first)) {
		rq->first = qd->next;
		eb_frame_unref(qd->frame);
		free(qd);
	}
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

/* Takes a request whose head is complete. */
static void begin(struct connection *cn)
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
		rq->expects = hd->body.expect_continue && hd->http11;
		send_head(rq);
		break;
	}
}

/* Takes body bytes, at most as many as there is credit for. */
static void take_body(void *ctx, const void *data, size_t bytes)
{
	struct connection *cn = ctx;
	struct request *rq = cn->reading;
	struct eb_frame *f = rq->head;

	if (rq->discard)
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
}

static void end_body(struct connection *cn)
{
	struct request *rq = cn->reading;

	cn->reading = NULL;
	if (rq->head)
		send_head(rq);
	else if (!rq->discard && rq->phase != PHASE_REJECTED)
		push(rq, eb_frame_new(EB_FRAME_END, rq->id));
	if (rq->phase != PHASE_REJECTED)
		rq->phase = PHASE_ANSWER;
	if (rq->close)
		cn->stop_reading = 1;
}

/*
 * Tells how many bytes the parser may take now. Requests behind another one
 * are begun while it waits only as far as the pipeline's limit.
 */
static size_t readable_bytes(const struct connection *cn)
{
	const struct request *rq = cn->reading;

	if (cn->stop_reading || cn->dead || cn->closing)
		return 0;
	if (!rq)
		return cn->pending < EB_PIPELINE_MAX ? cn->in_bytes : 0;
	if (rq->head || rq->discard)
		return cn->in_bytes;
	if (rq->phase == PHASE_ADMISSION)
		return 0;
	return rq->credit_bytes < cn->in_bytes ? rq->credit_bytes
					       : cn->in_bytes;
}

static void parse_failed(struct connection *cn)
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
	/* A body that can't be read: what was sent of it is taken back. */
	if (rq->in_table) {
		push(rq, eb_frame_new(EB_FRAME_CANCEL, rq->id));
		apr_hash_set(cn->front->requests, &rq->id, sizeof(rq->id),
			     NULL);
		rq->in_table = 0;
	}
	if (rq->begun)
		cn->dead = 1;
	else
		reject(rq, &eb_http_body_read_error);
}

/* Reads requests out of the bytes that have arrived. */
static void parse(struct connection *cn)
{
	enum eb_parse_event ev = EB_PARSE_MORE;
	size_t n, used, taken = 0;

	for (;;) {
		n = readable_bytes(cn);
		n = n > taken ? n - taken : 0;
		/* An empty body ends without any byte of its own. */
		if (!n || cn->dead)
			break;
		ev = eb_parse_run(cn->parse, cn->in + taken, n, &used);
		taken += used;
		if (ev == EB_PARSE_HEAD)
			begin(cn);
		else if (ev == EB_PARSE_END)
			end_body(cn);
		else if (ev == EB_PARSE_BAD)
			parse_failed(cn);
		else if (!used)
			break;
		cn->in_bytes -= taken;
		memmove(cn->in, cn->in + taken, cn->in_bytes);
		taken = 0;
	}
}

/* ---- Answers ---- */

static void grant_credit(struct request *rq, uint64_t bytes)
{
	struct eb_frame *f;

	rq->consumed_bytes += bytes;
	if (rq->consumed_bytes < CREDIT_PORTION_BYTES || rq->ended)
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

/* Writes an answer of this daemon's own. */
static void write_own(struct request *rq, const struct eb_answer_own *own)
{
	struct connection *cn = rq->connection;

	count_answer(cn->front, own->outcome);
	rq->begun = 1;
	rq->ended = 1;
	if (eb_answer_write_own(&cn->out, own))
		cn->dead = 1;
}

static void write_refusal(struct request *rq)
{
	const struct eb_reply *r = rq->answer->reply;
	struct eb_answer_own own = { 0 };

	own.status = r->status ? r->status : 500;
	own.code = eb_reason_name(r->reason);
	own.reason = r->outcome == EB_OUTCOME_NOT_RUN
			     ? "the request was not run"
			     : "it is not known whether the request ran";
	own.outcome = r->outcome;
	own.retry_after_ms = r->retry_after_ms;
	own.fraction =
		rq->connection->front->config.dialect->retry_after_fraction;
	own.close = rq->close;
	own.no_body = rq->is_head;
	write_own(rq, &own);
}

static void write_problem(struct request *rq)
{
	struct eb_answer_own own = { 0 };

	own.status = rq->problem->status;
	own.code = rq->problem->code;
	own.reason = rq->problem->reason;
	own.outcome = EB_OUTCOME_NOT_RUN;
	own.close = 1;
	write_own(rq, &own);
}

/* Writes the head of an upstream's answer, and its body if it came along. */
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
	rq->chunked = f->reply->body_kind == EB_BODY_CHUNKED && rq->http11;
	rq->begun = 1;
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

/* Writes body frames until there is enough output. */
static void write_body(struct request *rq)
{
	struct connection *cn = rq->connection;
	struct queued *qd;
	int failed = 0;

	while ((qd = rq->first) &&
	       eb_answer_pending(&cn->out) < OUTPUT_MAX_BYTES) {
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
		grant_credit(rq, qd->frame->data_bytes);
		eb_frame_unref(qd->frame);
		free(qd);
	}
	if (failed)
		cn->dead = 1;
}

/* Moves the oldest request's answer on; returns 1 when it is complete. */
static int advance(struct request *rq)
{
	struct connection *cn = rq->connection;

	if (!rq->begun) {
		if (leaving(cn->front))
			rq->close = 1;
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
	if (!rq->ended)
		return 0;
	if (rq->chunked && eb_answer_append(&cn->out, "0\r\n\r\n", 5))
		cn->dead = 1;
	rq->chunked = 0;
	return 1;
}

/* An early answer: the rest of the body is read and dropped. */
static void discard_rest(struct connection *cn, struct request *rq)
{
	if (cn->reading != rq || rq->head || rq->discard)
		return;
	cn->unblocked = 1;
	rq->discard = 1;
	rq->phase = PHASE_BODY;
	/* A caller that waits for 100 Continue sends no body after this. */
	if (rq->expects)
		rq->close = 1;
}

static void answer(struct connection *cn)
{
	struct request *rq;

	while ((rq = cn->first) && !cn->dead && !cn->closing) {
		if (rq->expects && rq->phase == PHASE_BODY && !rq->answer) {
			rq->expects = 0;
			if (eb_answer_append(&cn->out,
					     "HTTP/1.1 100 Continue\r\n\r\n",
					     25))
				cn->dead = 1;
		}
		if (rq->answer)
			discard_rest(cn, rq);
		if (!advance(rq))
			return;
		/* Kept until its body has been read. */
		if (cn->reading == rq && !rq->close)
			return;
		if (rq->close)
			cn->closing = 1;
		drop_first(cn);
		cn->unblocked = 1;
	}
}

/* ---- Connections ---- */

static void watch(struct connection *cn)
{
	struct epoll_event ev = { .data.ptr = cn };

	if (!cn->caller_closed)
		ev.events |= EPOLLRDHUP;
	if (!cn->caller_closed &&
	    (cn->linger_until_us || cn->in_bytes < READ_BYTES))
		ev.events |= EPOLLIN;
	if (eb_answer_pending(&cn->out))
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

	while (cn->first)
		drop_first(cn);
	if (cn->previous)
		cn->previous->next = cn->next;
	else
		ft->connections = cn->next;
	if (cn->next)
		cn->next->previous = cn->previous;
	ft->connection_count--;
	epoll_ctl(ft->epoll_fd, EPOLL_CTL_DEL, eb_stream_fd(cn->stream), NULL);
	eb_stream_free(cn->stream);
	eb_parse_free(cn->parse);
	eb_answer_clear(&cn->out);
	free(cn->in);
	free(cn);
}

static void write_out(struct connection *cn)
{
	enum eb_stream_wait wait = EB_STREAM_WRITABLE;
	const void *data;
	size_t bytes;
	ssize_t n;

	while ((bytes = eb_answer_peek(&cn->out, &data))) {
		n = eb_stream_write(cn->stream, data, bytes, &wait);
		if (n < 0) {
			cn->dead |= wait == EB_STREAM_FAILED;
			cn->write_wants_read = wait == EB_STREAM_READABLE;
			return;
		}
		eb_answer_consume(&cn->out, (size_t)n);
	}
	cn->write_wants_read = 0;
}

/* Ends a connection whose last answer is written; see LINGER_US. */
static void linger(struct connection *cn, int64_t now_us)
{
	if (!cn->closing || cn->linger_until_us || cn->dead ||
	    eb_answer_pending(&cn->out))
		return;
	if (cn->caller_closed) {
		cn->dead = 1;
		return;
	}
	eb_stream_finish(cn->stream);
	cn->linger_until_us = now_us + LINGER_US;
	cn->in_bytes = 0;
}

/*
 * The caller has closed its side: nobody waits for the answers of the
 * requests that are in work. What was answered already is still written.
 */
static void caller_left(struct connection *cn)
{
	if (cn->first && cn->first->phase != PHASE_REJECTED)
		eb_metrics_add(cn->front->config.metrics, EB_METRIC_CALLER_GONE,
			       1);
	while (cn->first && cn->first->phase != PHASE_REJECTED)
		drop_first(cn);
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

/* Reads what has arrived, up to the input's limit. */
static void read_in(struct connection *cn, int64_t now_us)
{
	enum eb_stream_wait wait = EB_STREAM_READABLE;
	ssize_t n;

	while (cn->in_bytes < READ_BYTES && !cn->dead) {
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
		/* What follows a last request is read and dropped. */
		if (!cn->linger_until_us)
			cn->in_bytes += (size_t)n;
	}
}

/* Lets everything happen that can happen on a connection now. */
static void settle(struct connection *cn, int64_t now_us)
{
	size_t before;

	do {
		if (eb_stream_buffered(cn->stream) && !cn->caller_closed)
			read_in(cn, now_us);
		before = cn->in_bytes;
		cn->unblocked = 0;
		parse(cn);
		answer(cn);
	} while (!cn->dead && (cn->in_bytes != before || cn->unblocked));
	if (cn->caller_closed && !cn->dead && !cn->closing &&
	    (!readable_bytes(cn) || cn->in_bytes == before))
		caller_left(cn);
	answer(cn);
	write_out(cn);
	/* Room in the output lets the rest of an answer follow. */
	if (!cn->dead && cn->first && !eb_answer_pending(&cn->out)) {
		answer(cn);
		write_out(cn);
	}
	linger(cn, now_us);
	if (cn->dead ||
	    (cn->closing && cn->caller_closed && !eb_answer_pending(&cn->out)))
		free_connection(cn);
	else
		watch(cn);
}

static void on_event(struct connection *cn, uint32_t events, int64_t now_us)
{
	if (events & EPOLLERR)
		cn->dead = 1;
	if (!cn->dead && events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
		read_in(cn, now_us);
	/* With its input full, only this tells that the caller has left. */
	if (events & (EPOLLRDHUP | EPOLLHUP))
		cn->caller_closed = 1;
	settle(cn, now_us);
}

/* Hash of the caller's IP address, without its port. */
static uint64_t hash_caller(const struct sockaddr_in *sa)
{
	return XXH64(&sa->sin_addr, sizeof(sa->sin_addr), 0);
}

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
	cn->parse = eb_parse_new(take_body, cn);
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
	ft->connection_count++;
	read_in(cn, now_us);
	settle(cn, now_us);
}

static void accept_waiting(struct eb_front *ft, int64_t now_us)
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
 * Ends the connections that have no request. One that comes now crosses the
 * end and was not read, so its caller sends it elsewhere.
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
		settle(cn, now_us);
	}
}

/*
 * Takes no new connections any more. Those that wait are taken first: closing
 * the socket would reset them, although their callers may have sent a request.
 */
static void close_listener(struct eb_front *ft, int64_t now_us)
{
	if (ft->listen_fd < 0 ||
	    !__atomic_load_n(&ft->closing_listener, __ATOMIC_RELAXED))
		return;
	accept_waiting(ft, now_us);
	epoll_ctl(ft->epoll_fd, EPOLL_CTL_DEL, ft->listen_fd, NULL);
	close(ft->listen_fd);
	ft->listen_fd = -1;
}

/* Ends connections that have been idle, or have lingered, for too long. */
static void sweep(struct eb_front *ft, int64_t now_us)
{
	int64_t idle_us = EB_FRONT_IDLE_TIMEOUT_S * 1000000LL;
	struct connection *cn, *next;

	if (now_us - ft->swept_us < WAIT_MAX_MS * 1000)
		return;
	ft->swept_us = now_us;
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
	if (rq->last)
		rq->last->next = qd;
	else
		rq->first = qd;
	rq->last = qd;
}

static void take_credit(struct request *rq, const struct eb_frame *f)
{
	rq->credit_bytes += f->credit_bytes;
	if (rq->phase == PHASE_ADMISSION)
		rq->phase = PHASE_BODY;
}

static void take_failure(struct request *rq, struct eb_frame *f)
{
	rq->ended = 1;
	if (!rq->answer) {
		rq->answer = f;
		return;
	}
	rq->failed = 1;
	eb_frame_unref(f);
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
	switch (f->type) {
	case EB_FRAME_CREDIT:
		take_credit(rq, f);
		eb_frame_unref(f);
		break;
	case EB_FRAME_RHEAD:
		assert(!rq->answer);
		rq->answer = f;
		rq->ended = eb_frame_ends_answer(f) != 0;
		break;
	case EB_FRAME_RDATA:
		queue_data(rq, f);
		break;
	case EB_FRAME_REND:
		rq->ended = 1;
		eb_frame_unref(f);
		break;
	case EB_FRAME_REFUSE:
	case EB_FRAME_ABORT:
		take_failure(rq, f);
		break;
	default:
		eb_frame_unref(f);
		return;
	}
	settle(rq->connection, now_us);
}

static void take_frames(struct eb_front *ft, int64_t now_us)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;

	do {
		n = eb_ring_pop(ft->config.in, items, EB_BATCH_FRAMES);
		for (i = 0; i < n; i++)
			handle_frame(ft, items[i], now_us);
	} while (n == EB_BATCH_FRAMES);
}

/* ---- Thread ---- */

/* Events that are not those of a connection. */
static char listener_tag, ring_tag;

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct epoll_event ev[EVENTS_MAX];
	struct eb_front *ft = data;
	int64_t now_us;
	int i, n;

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-front");
	while (!__atomic_load_n(&ft->stopping, __ATOMIC_ACQUIRE)) {
		n = epoll_wait(ft->epoll_fd, ev, EVENTS_MAX, WAIT_MAX_MS);
		now_us = eb_clock_now_us();
		for (i = 0; i < n; i++) {
			if (ev[i].data.ptr == &listener_tag)
				accept_waiting(ft, now_us);
			else if (ev[i].data.ptr != &ring_tag)
				on_event(ev[i].data.ptr, ev[i].events, now_us);
		}
		/* Last, since it may free connections that have events. */
		take_frames(ft, now_us);
		close_listener(ft, now_us);
		close_idle(ft, now_us);
		sweep(ft, now_us);
		if (ft->tls)
			eb_tls_tick(ft->tls, now_us);
	}
	return NULL;
}

static int open_listener(const char *address, struct eb_error *err)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char ip[64], *colon;
	int fd, one = 1;

	snprintf(ip, sizeof(ip), "%s", address);
	colon = strrchr(ip, ':');
	if (colon)
		*colon = 0;
	if (!colon || inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
		eb_error_set(err, EB_EINVAL, "%s is not IP:port", address);
		return -1;
	}
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 1024)) {
		eb_error_set(err, EB_EIO, "cannot listen on %s", address);
		close(fd);
		return -1;
	}
	return fd;
}

static int watch_all(struct eb_front *ft)
{
	struct epoll_event listener = { .events = EPOLLIN,
					.data.ptr = &listener_tag };
	struct epoll_event ring = { .events = EPOLLIN, .data.ptr = &ring_tag };

	return epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, ft->listen_fd,
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
	ft->requests = apr_hash_make(ft->pool);
	ft->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ft->listen_fd = open_listener(se->listen_address, err);
	if (ft->listen_fd < 0)
		goto fail;
	if (se->tls_certificate) {
		ft->tls = eb_tls_new(se->tls_certificate, se->tls_key, cf->log,
				     err);
		if (!ft->tls)
			goto fail;
	}
	if (watch_all(ft)) {
		eb_error_set(err, EB_EIO, "cannot serve %s",
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

/* Closes each connection after its answer from now on. From any thread. */
void eb_front_drain(struct eb_front *ft)
{
	__atomic_store_n(&ft->draining, 1, __ATOMIC_RELEASE);
}

/* Takes no new connections from now on. From any thread. */
void eb_front_close_listener(struct eb_front *ft)
{
	__atomic_store_n(&ft->closing_listener, 1, __ATOMIC_RELEASE);
}

/* Ends idle connections from now on. From any thread. */
void eb_front_close_idle(struct eb_front *ft)
{
	__atomic_store_n(&ft->closing_idle, 1, __ATOMIC_RELEASE);
}

/* Counts the requests in flight; from any thread. */
uint32_t eb_front_active(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->active, __ATOMIC_ACQUIRE);
}

/* Stops the thread and closes all connections. */
void eb_front_stop(struct eb_front *ft)
{
	struct connection *cn, *next;
	apr_status_t status;

	if (!ft)
		return;
	__atomic_store_n(&ft->stopping, 1, __ATOMIC_RELEASE);
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
	apr_pool_destroy(ft->pool);
	free(ft);
}
