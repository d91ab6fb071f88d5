#include "eb_front.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <arpa/inet.h>
#include <assert.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_clock.h"
#include "eb_frame.h"
#include "eb_http.h"
#include "eb_tls.h"
#include "eb_trace.h"
#include "eb_tunables.h"

#define WAIT_MAX_MS 200
#define EVENTS_MAX 64
#define ANSWER_BLOCK_BYTES 65536
/* Consumed answer bytes are granted again in portions of this size. */
#define CREDIT_PORTION_BYTES 65536

enum phase {
	PHASE_NEW = 0,	  /* only the request line is known */
	PHASE_ADMISSION,  /* HEAD sent, waits for credit */
	PHASE_BODY,	  /* body bytes are read */
	PHASE_ANSWER,	  /* request complete, waits for the answer */
	PHASE_RESPONDING, /* the answer is being sent */
	PHASE_REJECTED,	  /* answered here with 4xx */
};

struct queued {
	struct queued *next;
	struct eb_frame *frame;
};

struct connection {
	int fd;
	uint64_t caller;
	struct request *request; /* the one that is active, or NULL */
};

struct request {
	struct eb_front *front;
	struct MHD_Connection *mhd;
	struct connection *connection;
	uint64_t id;
	char *target;
	struct eb_frame *head; /* until it is sent */
	uint8_t phase;
	uint8_t in_table;
	uint8_t suspended;
	uint8_t gone;	   /* the caller hung up */
	uint8_t discard;   /* the answer came before the end of the body */
	uint8_t has_body;  /* body bytes follow HEAD */
	uint8_t ended;	   /* last frame of the answer has arrived */
	uint8_t failed;	   /* the answer can't be completed */
	uint8_t delivered; /* the whole answer was handed to the caller */
	uint64_t credit_bytes;
	uint64_t body_left_bytes; /* of a body with a length */
	struct eb_frame *answer;  /* RHEAD, REFUSE or ABORT */
	struct queued *first, *last;
	uint32_t offset_bytes;
	uint64_t consumed_bytes;
};

struct eb_front {
	struct eb_front_config config;
	struct MHD_Daemon *mhd;
	struct eb_tls *tls;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_hash_t *requests;
	uint64_t next_id;
	int epoll_fd;
	int listen_fd;
	int stopping;
	int draining;
	int quiesced;
	uint32_t active;
};

static void push(struct request *rq, struct eb_frame *f)
{
	struct eb_front *ft = rq->front;

	if (!f)
		return;
	f->call = rq->id;
	if (eb_ring_push(ft->config.out, f)) {
		eb_log_write(ft->config.log, EB_LOG_ERROR, "front",
			     "ring to the core is full", NULL);
		eb_frame_unref(f);
	}
}

static void suspend(struct request *rq)
{
	if (rq->suspended)
		return;
	rq->suspended = 1;
	MHD_suspend_connection(rq->mhd);
}

static void resume(struct request *rq)
{
	if (!rq->suspended)
		return;
	rq->suspended = 0;
	MHD_resume_connection(rq->mhd);
}

/* ---- Requests ---- */

struct collected {
	struct eb_headers headers;
	uint8_t bad; /* a NUL within a name or value, or an empty name */
};

static enum MHD_Result collect_header(void *data, enum MHD_ValueKind kind,
				      const char *name, size_t name_bytes,
				      const char *value, size_t value_bytes)
{
	struct collected *cd = data;
	enum eb_status st;

	(void)kind;
	if (!value)
		value = "";
	if (!name_bytes || strlen(name) != name_bytes ||
	    strlen(value) != value_bytes) {
		cd->bad = 1;
		return MHD_NO;
	}
	st = eb_headers_add(&cd->headers, name, value);
	return st ? MHD_NO : MHD_YES;
}

/* Hash of the caller's IP address, without its port. */
static uint64_t hash_caller(const struct sockaddr *sa)
{
	const struct sockaddr_in *v4 = (const void *)sa;
	const struct sockaddr_in6 *v6 = (const void *)sa;

	if (sa->sa_family == AF_INET6)
		return XXH64(&v6->sin6_addr, sizeof(v6->sin6_addr), 0);
	return XXH64(&v4->sin_addr, sizeof(v4->sin_addr), 0);
}

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

/* Builds HEAD from a request that passed its checks. */
static struct eb_frame *build_head(struct request *rq, const char *method,
				   const struct eb_headers *hs,
				   const struct eb_http_body *body)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_HEAD, rq->id);
	struct eb_head *h;

	if (!f)
		return NULL;
	h = f->head;
	h->method = strdup(method);
	h->target = strdup(rq->target);
	h->caller = rq->connection->caller;
	if (!h->method || !h->target ||
	    eb_http_copy_end_to_end(hs, &h->headers)) {
		eb_frame_unref(f);
		return NULL;
	}
	read_own_headers(h, hs);
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

static enum MHD_Result queue_text(struct request *rq, unsigned int status,
				  const char *code, const char *reason,
				  enum eb_outcome outcome,
				  uint32_t retry_after_ms)
{
	struct eb_front *ft = rq->front;
	struct MHD_Response *rs;
	enum MHD_Result rc;
	char text[256];
	int n;

	n = snprintf(text, sizeof(text),
		     "{\"error\":\"%s\",\"reason\":\"%s\"}\n", code, reason);
	rs = MHD_create_response_from_buffer((size_t)n, text,
					     MHD_RESPMEM_MUST_COPY);
	if (!rs)
		return MHD_NO;
	MHD_add_response_header(rs, "Content-Type", "application/json");
	MHD_add_response_header(rs, "Ebonypier-Outcome",
				eb_outcome_name(outcome));
	if (retry_after_ms) {
		snprintf(text, sizeof(text), "%u",
			 (retry_after_ms + 999) / 1000);
		MHD_add_response_header(rs, "Retry-After", text);
	}
	if (__atomic_load_n(&ft->draining, __ATOMIC_RELAXED))
		MHD_add_response_header(rs, "Connection", "close");
	rc = MHD_queue_response(rq->mhd, status, rs);
	MHD_destroy_response(rs);
	eb_metrics_add(ft->config.metrics,
		       outcome == EB_OUTCOME_NOT_RUN ? EB_METRIC_ANSWER_NOT_RUN
						     : EB_METRIC_ANSWER_UNKNOWN,
		       1);
	return rc;
}

static enum MHD_Result reject(struct request *rq,
			      const struct eb_http_problem *pb)
{
	eb_metrics_add(rq->front->config.metrics, EB_METRIC_REJECTED, 1);
	rq->phase = PHASE_REJECTED;
	rq->delivered = 1;
	return queue_text(rq, pb->status, pb->code, pb->reason,
			  EB_OUTCOME_NOT_RUN, 0);
}

static void send_head(struct request *rq)
{
	struct eb_frame *f = rq->head;

	rq->head = NULL;
	apr_hash_set(rq->front->requests, &rq->id, sizeof(rq->id), rq);
	rq->in_table = 1;
	push(rq, f);
}

/* First call for a request: checks it and sends HEAD or reads the body. */
static enum MHD_Result begin(struct request *rq, const char *method,
			     const char *version)
{
	struct eb_http_request checked = { method, rq->target, NULL, 0 };
	const struct eb_http_problem *pb = NULL;
	struct eb_http_body body;
	struct collected cd = { 0 };
	int want;

	want = MHD_get_connection_values_n(rq->mhd, MHD_HEADER_KIND, NULL,
					   NULL);
	MHD_get_connection_values_n(rq->mhd, MHD_HEADER_KIND, collect_header,
				    &cd);
	checked.headers = &cd.headers;
	checked.http11 = !strcmp(version, "HTTP/1.1");
	eb_metrics_add(rq->front->config.metrics, EB_METRIC_REQUESTS, 1);
	if (cd.bad)
		pb = &eb_http_bad_header;
	else if ((int)cd.headers.count != want)
		pb = &eb_http_headers_too_large;
	else
		pb = eb_http_check(&checked, &body);
	if (!pb) {
		rq->head = build_head(rq, method, &cd.headers, &body);
		if (!rq->head)
			pb = &eb_http_headers_too_large;
	}
	eb_headers_clear(&cd.headers);
	if (pb)
		return reject(rq, pb);
	switch (rq->head->head->body_kind) {
	case EB_BODY_NONE:
		rq->phase = PHASE_ANSWER;
		send_head(rq);
		break;
	case EB_BODY_INLINE:
		rq->phase = PHASE_BODY;
		rq->head->data = malloc(body.length_bytes);
		if (!rq->head->data)
			return MHD_NO;
		break;
	default:
		rq->phase = PHASE_ADMISSION;
		rq->has_body = 1;
		rq->body_left_bytes = body.length_bytes;
		send_head(rq);
		suspend(rq);
		break;
	}
	return MHD_YES;
}

/* Takes body bytes into HEAD; a body over its length can't happen. */
static enum MHD_Result read_inline(struct request *rq, const char *data,
				   size_t *bytes)
{
	struct eb_frame *f = rq->head;

	if (!*bytes) {
		if (f->data_bytes != f->head->body_bytes)
			return reject(rq, &eb_http_body_read_error);
		rq->phase = PHASE_ANSWER;
		send_head(rq);
		suspend(rq);
		return MHD_YES;
	}
	if (f->data_bytes + *bytes > f->head->body_bytes)
		return MHD_NO;
	memcpy(f->data + f->data_bytes, data, *bytes);
	f->data_bytes += (uint32_t)*bytes;
	*bytes = 0;
	return MHD_YES;
}

/* Sends body bytes as far as there is credit, then waits for more. */
static enum MHD_Result read_streamed(struct request *rq, const char *data,
				     size_t *bytes)
{
	uint64_t n = *bytes;

	if (!n) {
		if (!rq->discard)
			push(rq, eb_frame_new(EB_FRAME_END, rq->id));
		rq->phase = PHASE_ANSWER;
		if (!rq->answer)
			suspend(rq);
		return MHD_YES;
	}
	if (rq->discard) {
		*bytes = 0;
		return MHD_YES;
	}
	if (n > rq->credit_bytes)
		n = rq->credit_bytes;
	if (n > EB_CHUNK_BYTES)
		n = EB_CHUNK_BYTES;
	if (n) {
		push(rq, eb_frame_new_data(EB_FRAME_DATA, rq->id, data,
					   (uint32_t)n));
		rq->credit_bytes -= n;
		*bytes -= n;
	}
	if (!rq->credit_bytes)
		suspend(rq);
	return MHD_YES;
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

/* libmicrohttpd asks for the next bytes of the answer. */
static ssize_t read_answer(void *data, uint64_t pos, char *buf, size_t max)
{
	struct request *rq = data;
	struct queued *qd = rq->first;
	size_t n;

	(void)pos;
	if (rq->gone || (rq->failed && !qd))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!qd) {
		if (rq->ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		suspend(rq);
		return 0;
	}
	n = qd->frame->data_bytes - rq->offset_bytes;
	if (n > max)
		n = max;
	memcpy(buf, qd->frame->data + rq->offset_bytes, n);
	rq->offset_bytes += (uint32_t)n;
	if (rq->offset_bytes == qd->frame->data_bytes) {
		rq->first = qd->next;
		if (!rq->first)
			rq->last = NULL;
		rq->offset_bytes = 0;
		eb_frame_unref(qd->frame);
		free(qd);
	}
	grant_credit(rq, n);
	return (ssize_t)n;
}

static struct MHD_Response *create_response(struct request *rq)
{
	struct eb_frame *f = rq->answer;

	switch (f->reply->body_kind) {
	case EB_BODY_INLINE:
		rq->ended = 1;
		return MHD_create_response_from_buffer(
			f->data_bytes, f->data ? (void *)f->data : (void *)"",
			MHD_RESPMEM_MUST_COPY);
	case EB_BODY_LENGTH:
		return MHD_create_response_from_callback(f->reply->body_bytes,
							 ANSWER_BLOCK_BYTES,
							 read_answer, rq, NULL);
	case EB_BODY_CHUNKED:
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
							 ANSWER_BLOCK_BYTES,
							 read_answer, rq, NULL);
	default:
		rq->ended = 1;
		/* HEAD: the length is that of the answer to GET. */
		return MHD_create_response_from_callback(
			f->reply->body_bytes, 1, read_answer, rq, NULL);
	}
}

static enum MHD_Result queue_answer(struct request *rq)
{
	struct eb_front *ft = rq->front;
	struct eb_reply *r = rq->answer->reply;
	struct MHD_Response *rs = create_response(rq);
	enum MHD_Result rc;
	struct eb_header h;
	uint32_t pos = 0;

	if (!rs)
		return MHD_NO;
	while (eb_headers_next(&r->headers, &pos, &h))
		if (!eb_http_is_hop_by_hop(h.name))
			MHD_add_response_header(rs, h.name, h.value);
	MHD_add_response_header(rs, "Ebonypier-Outcome",
				eb_outcome_name(r->outcome));
	if (__atomic_load_n(&ft->draining, __ATOMIC_RELAXED))
		MHD_add_response_header(rs, "Connection", "close");
	rc = MHD_queue_response(rq->mhd, r->status, rs);
	MHD_destroy_response(rs);
	if (rc == MHD_YES)
		rq->phase = PHASE_RESPONDING;
	eb_metrics_add(ft->config.metrics, EB_METRIC_ANSWER_RAN, 1);
	return rc;
}

/* Sends the answer that has arrived. */
static enum MHD_Result respond(struct request *rq)
{
	struct eb_frame *f = rq->answer;
	const char *reason;

	if (f->type == EB_FRAME_RHEAD)
		return queue_answer(rq);
	reason = eb_reason_name(f->reply->reason);
	rq->phase = PHASE_RESPONDING;
	rq->ended = 1;
	return queue_text(rq, f->reply->status ? f->reply->status : 500, reason,
			  f->reply->outcome == EB_OUTCOME_NOT_RUN
				  ? "the request was not run"
				  : "it is not known whether the request ran",
			  f->reply->outcome, f->reply->retry_after_ms);
}

static enum MHD_Result handle(void *data, struct MHD_Connection *mhd,
			      const char *url, const char *method,
			      const char *version, const char *upload,
			      size_t *upload_bytes, void **context)
{
	struct request *rq = *context;

	(void)data;
	(void)url;
	if (!rq || rq->gone)
		return MHD_NO;
	rq->mhd = mhd;
	switch (rq->phase) {
	case PHASE_NEW:
		return begin(rq, method, version);
	case PHASE_ADMISSION:
		if (rq->answer)
			return respond(rq);
		if (!rq->credit_bytes) {
			suspend(rq);
			return MHD_YES;
		}
		rq->phase = PHASE_BODY;
		return MHD_YES;
	case PHASE_BODY:
		if (rq->head)
			return read_inline(rq, upload, upload_bytes);
		if (rq->answer)
			rq->discard = 1;
		return read_streamed(rq, upload, upload_bytes);
	case PHASE_ANSWER:
		if (rq->answer)
			return respond(rq);
		suspend(rq);
		return MHD_YES;
	default:
		*upload_bytes = 0;
		return MHD_YES;
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

static void handle_frame(struct eb_front *ft, struct eb_frame *f)
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
		rq->credit_bytes += f->credit_bytes;
		eb_frame_unref(f);
		break;
	case EB_FRAME_RHEAD:
		assert(!rq->answer);
		rq->answer = f;
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
		if (rq->answer) {
			rq->failed = 1;
			rq->ended = 1;
			eb_frame_unref(f);
		} else {
			rq->answer = f;
		}
		break;
	default:
		eb_frame_unref(f);
		return;
	}
	resume(rq);
}

static void take_frames(struct eb_front *ft)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;

	do {
		n = eb_ring_pop(ft->config.in, items, EB_BATCH_FRAMES);
		for (i = 0; i < n; i++)
			handle_frame(ft, items[i]);
	} while (n == EB_BATCH_FRAMES);
}

/* ---- Connections ---- */

static void *begin_target(void *data, const char *uri,
			  struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *in;
	struct eb_front *ft = data;
	struct request *rq = calloc(1, sizeof(*rq));

	if (!rq)
		return NULL;
	in = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	rq->front = ft;
	rq->mhd = mhd;
	rq->connection = in ? in->socket_context : NULL;
	rq->target = strdup(uri);
	rq->id = ++ft->next_id;
	if (!rq->target || !rq->connection) {
		free(rq->target);
		free(rq);
		return NULL;
	}
	rq->connection->request = rq;
	__atomic_add_fetch(&ft->active, 1, __ATOMIC_RELAXED);
	return rq;
}

static void free_request(struct request *rq)
{
	struct queued *qd;

	while ((qd = rq->first)) {
		rq->first = qd->next;
		eb_frame_unref(qd->frame);
		free(qd);
	}
	if (rq->in_table)
		apr_hash_set(rq->front->requests, &rq->id, sizeof(rq->id),
			     NULL);
	if (rq->connection && rq->connection->request == rq)
		rq->connection->request = NULL;
	__atomic_sub_fetch(&rq->front->active, 1, __ATOMIC_RELAXED);
	eb_frame_unref(rq->head);
	eb_frame_unref(rq->answer);
	free(rq->target);
	free(rq);
}

static void request_completed(void *data, struct MHD_Connection *mhd,
			      void **context,
			      enum MHD_RequestTerminationCode code)
{
	struct request *rq = *context;
	struct eb_front *ft = data;

	(void)mhd;
	if (!rq)
		return;
	*context = NULL;
	if (rq->in_table && !(rq->ended && !rq->failed)) {
		push(rq, eb_frame_new(EB_FRAME_CANCEL, rq->id));
		if (rq->failed)
			eb_metrics_add(ft->config.metrics, EB_METRIC_ANSWER_CUT,
				       1);
	}
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !rq->failed)
		eb_metrics_add(ft->config.metrics, EB_METRIC_CALLER_GONE, 1);
	free_request(rq);
}

/*
 * libmicrohttpd does not look at a suspended connection. This front watches
 * each one for a caller that hangs up.
 */
static void connection_changed(void *data, struct MHD_Connection *mhd,
			       void **context,
			       enum MHD_ConnectionNotificationCode code)
{
	struct epoll_event ev = { .events = EPOLLRDHUP | EPOLLET };
	const union MHD_ConnectionInfo *in;
	struct eb_front *ft = data;
	struct connection *cn = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (cn)
			epoll_ctl(ft->epoll_fd, EPOLL_CTL_DEL, cn->fd, NULL);
		free(cn);
		*context = NULL;
		return;
	}
	cn = calloc(1, sizeof(*cn));
	if (!cn)
		return;
	in = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	cn->fd = in->connect_fd;
	in = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	cn->caller = in ? hash_caller(in->client_addr) : 0;
	ev.data.ptr = cn;
	epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, cn->fd, &ev);
	*context = cn;
}

/*
 * The caller closed its side. A suspended request has nobody who waits for
 * its answer; any other one is noticed by libmicrohttpd. While the body is
 * read, its last bytes may still be unread.
 */
static void caller_closed(struct connection *cn)
{
	struct request *rq = cn->request;

	if (!rq || !rq->suspended || rq->phase == PHASE_BODY)
		return;
	rq->gone = 1;
	resume(rq);
}

/* ---- Thread ---- */

static int wait_ms(struct eb_front *ft)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (MHD_get_timeout(ft->mhd, &ms) != MHD_YES || ms > WAIT_MAX_MS)
		return WAIT_MAX_MS;
	return (int)ms;
}

/*
 * Takes the connections that wait to be accepted: closing the socket would
 * reset them, although their callers may have sent a request already.
 */
static void accept_waiting(struct eb_front *ft)
{
	struct sockaddr_in sa;
	socklen_t n;
	int fd;

	for (;;) {
		n = sizeof(sa);
		fd = accept4(ft->listen_fd, (struct sockaddr *)&sa, &n,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		/* It closes the socket when it can't take it. */
		MHD_add_connection(ft->mhd, fd, (struct sockaddr *)&sa, n);
	}
}

static void quiesce(struct eb_front *ft)
{
	if (ft->quiesced || !__atomic_load_n(&ft->draining, __ATOMIC_RELAXED))
		return;
	ft->quiesced = 1;
	ft->listen_fd = MHD_quiesce_daemon(ft->mhd);
	if (ft->listen_fd >= 0) {
		accept_waiting(ft);
		close(ft->listen_fd);
	}
	ft->listen_fd = -1;
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct epoll_event ev[EVENTS_MAX];
	struct eb_front *ft = data;
	int i, n;

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-front");
	eb_tls_use(ft->tls);
	while (!__atomic_load_n(&ft->stopping, __ATOMIC_ACQUIRE)) {
		n = epoll_wait(ft->epoll_fd, ev, EVENTS_MAX, wait_ms(ft));
		quiesce(ft);
		take_frames(ft);
		for (i = 0; i < n; i++)
			if (ev[i].data.ptr)
				caller_closed(ev[i].data.ptr);
		MHD_run(ft->mhd);
		if (ft->tls)
			eb_tls_tick(ft->tls, eb_clock_now_us());
	}
	return NULL;
}

static void log_mhd(void *data, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));

static void log_mhd(void *data, const char *fmt, va_list ap)
{
	struct eb_front *ft = data;
	char text[256];

	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n\"")] = 0;
	eb_log_write(ft->config.log, EB_LOG_DEBUG, "front", "libmicrohttpd",
		     "text=\"%s\"", text);
}

/* The raw target is used; nothing is unescaped on the way. */
static size_t keep_escapes(void *data, struct MHD_Connection *mhd, char *text)
{
	(void)data;
	(void)mhd;
	return strlen(text);
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

static void start_mhd(struct eb_front *ft)
{
	struct MHD_OptionItem tls[2] = { { MHD_OPTION_END, 0, NULL },
					 { MHD_OPTION_END, 0, NULL } };
	unsigned int flags =
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;

	if (ft->tls) {
		flags |= MHD_USE_TLS;
		tls[0].option = MHD_OPTION_HTTPS_CERT_CALLBACK;
		tls[0].ptr_value = eb_tls_callback();
	}
	ft->mhd = MHD_start_daemon(
		flags, 0, NULL, NULL, handle, ft, MHD_OPTION_EXTERNAL_LOGGER,
		log_mhd, ft, MHD_OPTION_LISTEN_SOCKET, ft->listen_fd,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)EB_FRONT_CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)EB_FRONT_CONNECTION_BYTES,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)EB_FRONT_IDLE_TIMEOUT_S,
		MHD_OPTION_STRICT_FOR_CLIENT, 0, MHD_OPTION_URI_LOG_CALLBACK,
		begin_target, ft, MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes,
		ft, MHD_OPTION_NOTIFY_COMPLETED, request_completed, ft,
		MHD_OPTION_NOTIFY_CONNECTION, connection_changed, ft,
		MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

static int watch(struct eb_front *ft)
{
	struct epoll_event ev = { .events = EPOLLIN };
	const union MHD_DaemonInfo *in;

	in = MHD_get_daemon_info(ft->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (!in || epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, in->epoll_fd, &ev))
		return -1;
	return epoll_ctl(ft->epoll_fd, EPOLL_CTL_ADD, eb_ring_fd(ft->config.in),
			 &ev);
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
	if (ft->listen_fd >= 0 && se->tls_certificate) {
		ft->tls = eb_tls_new(se->tls_certificate, se->tls_key, cf->log,
				     err);
		if (!ft->tls)
			goto fail;
	}
	if (ft->listen_fd >= 0)
		start_mhd(ft);
	if (!ft->mhd || watch(ft)) {
		if (ft->listen_fd >= 0)
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

/* Starts to leave; see the header. From any thread. */
void eb_front_drain(struct eb_front *ft)
{
	__atomic_store_n(&ft->draining, 1, __ATOMIC_RELEASE);
}

/* Counts the requests in flight; from any thread. */
uint32_t eb_front_active(const struct eb_front *ft)
{
	return __atomic_load_n(&ft->active, __ATOMIC_ACQUIRE);
}

/* Resumes all requests, which libmicrohttpd needs before it stops. */
static void resume_all(struct eb_front *ft)
{
	apr_hash_index_t *hi;
	struct request *rq;
	void *value;

	for (hi = apr_hash_first(NULL, ft->requests); hi;
	     hi = apr_hash_next(hi)) {
		apr_hash_this(hi, NULL, NULL, &value);
		rq = value;
		rq->gone = 1;
		resume(rq);
	}
}

/* Stops the thread and closes all connections. */
void eb_front_stop(struct eb_front *ft)
{
	apr_status_t status;

	if (!ft)
		return;
	__atomic_store_n(&ft->stopping, 1, __ATOMIC_RELEASE);
	if (ft->thread)
		apr_thread_join(&status, ft->thread);
	resume_all(ft);
	if (ft->mhd)
		MHD_stop_daemon(ft->mhd);
	else if (ft->listen_fd >= 0)
		close(ft->listen_fd);
	eb_tls_free(ft->tls);
	close(ft->epoll_fd);
	apr_pool_destroy(ft->pool);
	free(ft);
}
