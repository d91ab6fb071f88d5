#include "eb_client.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <assert.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "eb_claim_wire.h"
#include "eb_clock.h"
#include "eb_crash_detect.h"
#include "eb_dechunk.h"
#include "eb_fetch.h"
#include "eb_http.h"
#include "eb_rate.h"
#include "eb_sockets.h"
#include "eb_status_line.h"
#include "eb_trace.h"
#include "eb_tunables.h"

#define POLL_MS 1000
#define IDLE_HANDLES_MAX 64
/* A middlebox may have dropped the state of an older idle connection. */
#define IDLE_CONNECTION_MAX_S 15
/* A connection closes when sent bytes are not acknowledged within this. */
#define UNACKNOWLEDGED_MAX_MS 5000
/* A probe that takes longer does not measure the present pace. */
#define PROBE_TIMEOUT_MS 300
#define PROBE_BODY_MAX_BYTES 65536
/* A running upstream accepts a connection from its own VM within this. */
#define CHECK_TIMEOUT_MS 300

/* Identifies a call: the origin's incarnation and the origin's call number. */
struct call_key {
	uint64_t origin;
	uint64_t call;
};

struct queued {
	struct queued *next;
	struct eb_frame *frame;
};

struct transfer {
	struct eb_client *client;
	struct call_key key;
	CURL *easy;
	struct curl_slist *headers;
	struct eb_frame *head; /* the request; owns its strings and body */
	/* The part of the request body that curl has not read. */
	struct queued *first, *last;
	uint32_t offset_bytes;
	uint64_t queued_bytes; /* of the request's body, received in DATA */
	uint64_t sent_bytes;   /* of it, given to curl */
	uint8_t body_ended;
	uint8_t body_sent; /* curl has the whole body */
	uint8_t send_paused;
	uint8_t window_granted;
	int local_port;
	uint8_t send_count; /* how often curl was about to send the request */
	uint8_t restart;    /* on a new connection: 1 is due, 2 was done */
	/* The answer. */
	uint8_t answer_head; /* the final head is complete */
	uint8_t answer_sent; /* RHEAD was pushed */
	uint8_t end_sent;    /* an empty RDATA was pushed */
	uint8_t answer_invalid;
	uint8_t receive_paused;
	uint8_t body_kind;
	uint8_t refused_by_upstream;
	uint8_t mismatched; /* the answer belongs to another request */
	uint8_t chunked;    /* the body is decoded by `chunks` */
	struct eb_status_line line;
	uint16_t pace_percent;
	uint8_t upstream_leaving;
	uint32_t rate_limit_milli;
	uint64_t body_bytes;
	uint64_t received_bytes; /* of the answer's body */
	uint64_t pushed_bytes;	 /* of it, in RDATA */
	uint64_t credit_bytes;
	uint32_t head_bytes; /* of all heads, those of 1xx answers included */
	struct eb_dechunk chunks;
	struct eb_headers answer;
	uint8_t *inline_body;
	int64_t progress_us;
};

struct eb_client {
	struct eb_client_config config;
	CURLM *multi;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_hash_t *transfers;
	CURL *probe; /* load probe: reads the upstream's pace */
	struct eb_fetch probe_answer;
	uint16_t probe_pace;
	uint32_t probe_rate_milli; /* that the answer names; 0: none */
	uint32_t probe_cold_ms;	   /* that the answer names */
	uint8_t probe_cold_bad;	   /* its value is invalid */
	uint8_t probe_cold_warned; /* logged since the last valid one */
	char probe_instance[EB_NAME_SPACE_BYTES];
	uint8_t probe_running;
	CURL *check; /* check of the upstream that is running, or NULL */
	struct eb_fetch check_answer;
	char check_instance[EB_NAME_SPACE_BYTES];
	CURL *idle_handles[IDLE_HANDLES_MAX];
	uint32_t idle_handle_count;
	int stopping;
	int64_t transfers_checked_us;
	struct eb_sockets sockets;	      /* opened by curl */
	uint8_t content[CURL_MAX_WRITE_SIZE]; /* a decoded part of a body */
};

/* Sends a frame of a transfer to the core and takes ownership of it. */
static void push(struct eb_client *cl, const struct transfer *tf,
		 struct eb_frame *f)
{
	if (!f)
		return;
	f->call = tf->key.call;
	f->target = tf->key.origin;
	f->offset_bytes = tf->pushed_bytes;
	if (eb_ring_push(cl->config.out, f)) {
		eb_log_write(cl->config.log, EB_LOG_ERROR, "client",
			     "ring to the core is full", NULL);
		eb_frame_unref(f);
	}
}

static struct eb_frame *reply_frame(const struct transfer *tf,
				    enum eb_frame_type type,
				    enum eb_outcome outcome,
				    enum eb_reason reason)
{
	struct eb_frame *f = eb_frame_new(type, tf->key.call);

	if (!f)
		return NULL;
	f->reply->outcome = (uint8_t)outcome;
	f->reply->reason = (uint8_t)reason;
	f->reply->status = tf->line.status;
	f->reply->load.pace_percent = tf->pace_percent;
	f->reply->answered = tf->answer_head && !tf->answer_invalid;
	f->reply->upstream_leaving = tf->upstream_leaving;
	f->reply->rate_limit_milli = tf->rate_limit_milli;
	return f;
}

/* Sends RHEAD; with an inline body, it is the last frame of the answer. */
static void push_answer_head(struct transfer *tf)
{
	struct eb_frame *f =
		reply_frame(tf, EB_FRAME_RHEAD, EB_OUTCOME_RAN, EB_REASON_NONE);

	if (!f)
		return;
	f->reply->body_kind = tf->body_kind;
	f->reply->body_bytes = tf->body_bytes;
	f->reply->headers = tf->answer;
	memset(&tf->answer, 0, sizeof(tf->answer));
	if (tf->body_kind == EB_BODY_INLINE) {
		f->data = tf->inline_body;
		f->data_bytes = (uint32_t)tf->received_bytes;
		tf->inline_body = NULL;
	}
	tf->answer_sent = 1;
	push(tf->client, tf, f);
}

static void grant_credit(struct transfer *tf, uint64_t bytes)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_CREDIT, tf->key.call);

	if (!f)
		return;
	f->credit_bytes = bytes;
	push(tf->client, tf, f);
}

/* Gives curl request body bytes; the first call grants the credit window. */
static size_t read_body(char *buf, size_t size, size_t items, void *data)
{
	struct transfer *tf = data;
	size_t space = size * items, n, left;
	struct queued *qd = tf->first;

	tf->progress_us = eb_clock_now_us();
	if (!tf->window_granted) {
		tf->window_granted = 1;
		grant_credit(tf, EB_CREDIT_WINDOW_BYTES);
	}
	if (!qd) {
		if (tf->body_ended) {
			tf->body_sent = 1;
			return 0;
		}
		tf->send_paused = 1;
		return CURL_READFUNC_PAUSE;
	}
	left = qd->frame->data_bytes - tf->offset_bytes;
	n = left < space ? left : space;
	memcpy(buf, qd->frame->data + tf->offset_bytes, n);
	tf->offset_bytes += (uint32_t)n;
	tf->sent_bytes += n;
	if (tf->head->head->body_kind == EB_BODY_LENGTH)
		tf->body_sent = tf->sent_bytes == tf->head->head->body_bytes;
	if (n == left) {
		tf->first = qd->next;
		if (!tf->first)
			tf->last = NULL;
		grant_credit(tf, qd->frame->data_bytes);
		eb_frame_unref(qd->frame);
		free(qd);
		tf->offset_bytes = 0;
	}
	return n;
}

/*
 * Tells whether an answer belongs to another request: a late answer to an
 * earlier request on the same connection.
 */
static int is_mismatched(const struct transfer *tf)
{
	const char *name = tf->client->config.dialect->request_id;
	const char *want, *got;

	if (!name)
		return 0;
	want = eb_headers_find(&tf->head->head->headers, name);
	got = eb_headers_find(&tf->answer, name);
	/* A probe has no request id, and its answer none either. */
	return want && (!got || strcmp(want, got) != 0);
}

/*
 * Chooses how the answer's body is forwarded. A body without a length ends when
 * the connection closes; if it is reset instead, libcurl reports an error.
 */
static void answer_head_complete(struct transfer *tf)
{
	const char *te = eb_headers_find(&tf->answer, "Transfer-Encoding");
	const char *cl = eb_headers_find(&tf->answer, "Content-Length");
	int no_body = !strcmp(tf->head->head->method, "HEAD") ||
		      tf->line.status == 204 || tf->line.status == 304;

	tf->answer_head = 1;
	tf->chunked = te && !strcasecmp(te, "chunked");
	if (is_mismatched(tf)) {
		tf->mismatched = 1;
		tf->answer_invalid = 1;
		return;
	}
	if (cl && eb_http_parse_number(cl, &tf->body_bytes))
		tf->answer_invalid = 1;
	if (no_body) {
		tf->body_kind = EB_BODY_NONE;
	} else if (tf->chunked) {
		tf->body_kind = EB_BODY_CHUNKED;
		eb_dechunk_init(&tf->chunks);
	} else if (!cl) {
		tf->body_kind = EB_BODY_CHUNKED;
	} else if (tf->body_bytes <= EB_INLINE_BODY_BYTES) {
		tf->body_kind = EB_BODY_INLINE;
		tf->inline_body = malloc(tf->body_bytes ? tf->body_bytes : 1);
		tf->answer_invalid |= !tf->inline_body;
	} else {
		tf->body_kind = EB_BODY_LENGTH;
	}
}

/* Splits a header line in place and adds it to the answer. */
static int add_answer_header(struct transfer *tf, char *line)
{
	const struct eb_dialect *dl = tf->client->config.dialect;
	char *colon = strchr(line, ':'), *value, *end;

	if (!colon)
		return -1;
	*colon = 0;
	value = colon + 1;
	value += strspn(value, " \t");
	end = value + strlen(value);
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		*--end = 0;
	if (!strcasecmp(line, "Ebonypier-Outcome") && !strcmp(value, "not-run"))
		tf->refused_by_upstream = 1;
	if (dl->not_run && !strcasecmp(line, dl->not_run))
		tf->refused_by_upstream = 1;
	if (dl->load && !strcasecmp(line, dl->load))
		tf->pace_percent = dl->read_pace(value);
	if (dl->rate_limit && !strcasecmp(line, dl->rate_limit))
		tf->rate_limit_milli = eb_rate_parse(value);
	if (dl->leaving && !strcasecmp(line, dl->leaving))
		tf->upstream_leaving = !strcmp(value, "1");
	return eb_headers_add(&tf->answer, line, value) ? -1 : 0;
}

/* Sends a part of the answer's body to the core. */
static void push_answer_part(struct transfer *tf, const void *part,
			     size_t bytes)
{
	push(tf->client, tf,
	     eb_frame_new_data(EB_FRAME_RDATA, tf->key.call, part,
			       (uint32_t)bytes));
	tf->pushed_bytes += bytes;
}

/*
 * Tells whether an answer has been received completely. One that ends with its
 * connection never is.
 */
static int is_answer_whole(const struct transfer *tf)
{
	if (!tf->answer_head || tf->answer_invalid)
		return 0;
	if (tf->body_kind == EB_BODY_CHUNKED)
		return tf->chunked && tf->chunks.done;
	return tf->body_kind == EB_BODY_NONE ||
	       tf->received_bytes == tf->body_bytes;
}

/* Tells whether curl still has to send a part of the request's body. */
static int is_sending(const struct transfer *tf)
{
	uint8_t kind = tf->head->head->body_kind;

	return (kind == EB_BODY_LENGTH || kind == EB_BODY_CHUNKED) &&
	       !tf->body_sent;
}

/*
 * Passes on an answer that is whole before the request's body is sent. Most
 * upstreams read the rest of the body soon, but some only after a long time.
 * curl stops sending at once for a status from 300 on, and then ends the
 * transfer. The answer to a request with a key is kept until its last frame,
 * which settles the key's claim.
 */
static void push_early_answer(struct transfer *tf)
{
	if (tf->end_sent || tf->line.status >= 300 || !is_answer_whole(tf) ||
	    !is_sending(tf))
		return;
	if (!tf->answer_sent) {
		if (tf->head->head->key)
			return;
		if (tf->body_kind == EB_BODY_NONE)
			tf->body_bytes = 0;
		tf->body_kind = EB_BODY_LENGTH;
		push_answer_head(tf);
		if (tf->received_bytes)
			push_answer_part(tf, tf->inline_body,
					 tf->received_bytes);
	}
	tf->end_sent = 1;
	push_answer_part(tf, NULL, 0);
}

/* Receives one header line, also of a 1xx answer, from curl. */
static size_t read_header(char *buf, size_t size, size_t items, void *data)
{
	struct transfer *tf = data;
	size_t n = size * items, len = n;
	char line[EB_HEADERS_MAX_BYTES];

	tf->progress_us = eb_clock_now_us();
	tf->head_bytes += (uint32_t)n;
	if (tf->head_bytes > EB_ANSWER_HEADS_MAX_BYTES)
		return 0;
	if (tf->answer_head)
		return n; /* trailer fields are dropped */
	while (len && (buf[len - 1] == '\r' || buf[len - 1] == '\n'))
		len--;
	if (len >= sizeof(line) || memchr(buf, 0, len))
		return 0;
	memcpy(line, buf, len);
	line[len] = 0;
	switch (eb_status_line_read(&tf->line, line, len)) {
	case EB_HEAD_LINE_BAD:
		return 0;
	case EB_HEAD_LINE_STATUS:
		eb_headers_clear(&tf->answer);
		tf->refused_by_upstream = 0;
		tf->rate_limit_milli = 0;
		tf->upstream_leaving = 0;
		break;
	case EB_HEAD_LINE_FIELD:
		if (add_answer_header(tf, line))
			return 0;
		break;
	case EB_HEAD_LINE_END:
		if (!eb_status_is_final(tf->line.status))
			break;
		answer_head_complete(tf);
		if (tf->answer_invalid)
			return 0;
		if (tf->body_kind == EB_BODY_LENGTH ||
		    tf->body_kind == EB_BODY_CHUNKED)
			push_answer_head(tf);
		push_early_answer(tf);
		break;
	}
	return n;
}

/* Passes on a part of an answer's body for which there is credit. */
static void receive_part(struct transfer *tf, const void *part, size_t bytes)
{
	tf->credit_bytes -= bytes;
	tf->received_bytes += bytes;
	tf->progress_us = eb_clock_now_us();
	push_answer_part(tf, part, bytes);
}

/*
 * Receives body bytes from curl; pauses the transfer without credit. Only
 * content counts as progress.
 */
static size_t read_answer_body(char *buf, size_t size, size_t items, void *data)
{
	struct transfer *tf = data;
	uint8_t *content = tf->client->content;
	size_t n = size * items, content_bytes;

	if (!tf->answer_head || n > sizeof(tf->client->content))
		return 0;
	if (tf->body_kind == EB_BODY_INLINE) {
		if (tf->received_bytes + n > tf->body_bytes)
			return 0;
		memcpy(tf->inline_body + tf->received_bytes, buf, n);
		tf->received_bytes += n;
		tf->progress_us = eb_clock_now_us();
		push_early_answer(tf);
		return n;
	}
	if (tf->credit_bytes < n) {
		tf->receive_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (!tf->chunked) {
		receive_part(tf, buf, n);
		push_early_answer(tf);
		return n;
	}
	if (eb_dechunk_feed(&tf->chunks, buf, n, content, &content_bytes))
		return 0;
	if (content_bytes)
		receive_part(tf, content, content_bytes);
	push_early_answer(tf);
	return n;
}

/*
 * Called just before curl sends a request. libcurl retries a request on its
 * own when a reused connection closes without an answer; the second call
 * for one transfer stops that, since the upstream may have run the first
 * request. A connection on which bytes wait before the request is not used:
 * they would be taken for its answer.
 */
static int before_send(void *data, char *ip, char *local_ip, int port,
		       int local_port)
{
	struct transfer *tf = data;

	(void)ip;
	(void)local_ip;
	(void)port;
	tf->local_port = local_port;
	if (!tf->restart && !tf->send_count &&
	    eb_sockets_peek(&tf->client->sockets, local_port) ==
		    EB_SOCKETS_INPUT_BYTES) {
		tf->restart = 1;
		return CURL_PREREQFUNC_ABORT;
	}
	if (tf->send_count++ == 0)
		return CURL_PREREQFUNC_OK;
	eb_metrics_add(tf->client->config.metrics,
		       EB_METRIC_UPSTREAM_RESENDS_STOPPED, 1);
	return CURL_PREREQFUNC_ABORT;
}

/* Records a new socket of curl and sets its timeout for unacknowledged data. */
static int set_socket(void *data, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int ms = UNACKNOWLEDGED_MAX_MS;
	struct eb_client *cl = data;

	eb_sockets_add(&cl->sockets, fd);
	if (purpose == CURLSOCKTYPE_IPCXN)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* Appends a request header; a NULL value removes curl's default. */
static void add_request_header(struct transfer *tf, const char *name,
			       const char *value)
{
	char line[EB_HEADERS_MAX_BYTES + 256];
	struct curl_slist *hs;

	/* curl sends an empty header only when its line ends in ';'. */
	if (value && !*value)
		snprintf(line, sizeof(line), "%s;", name);
	else
		snprintf(line, sizeof(line), "%s:%s%s", name, value ? " " : "",
			 value ? value : "");
	hs = curl_slist_append(tf->headers, line);
	if (hs)
		tf->headers = hs;
}

/* Builds the header list; a NULL value suppresses a header that curl adds. */
static void set_headers(struct transfer *tf)
{
	const struct eb_dialect *dl = tf->client->config.dialect;
	const struct eb_head *h = tf->head->head;
	struct eb_header hd;
	char text[56];
	uint32_t pos = 0;

	while (eb_headers_next(&h->headers, &pos, &hd))
		add_request_header(tf, hd.name, hd.value);
	if (h->instance && dl->expect_instance)
		add_request_header(tf, dl->expect_instance, h->instance);
	if (!eb_headers_find(&h->headers, "Accept"))
		add_request_header(tf, "Accept", NULL);
	if (!eb_headers_find(&h->headers, "Content-Type"))
		add_request_header(tf, "Content-Type", NULL);
	add_request_header(tf, "Expect", NULL);
	eb_trace_format(&h->trace, text);
	add_request_header(tf, "traceparent", text);
	snprintf(text, sizeof(text), "%u", h->hops);
	add_request_header(tf, "Ebonypier-Hops", text);
	snprintf(text, sizeof(text), "%lld",
		 (long long)(h->remaining_us > 0 ? h->remaining_us / 1000 : 0));
	add_request_header(tf, "Ebonypier-Deadline-Ms", text);
	curl_easy_setopt(tf->easy, CURLOPT_HTTPHEADER, tf->headers);
}

static void set_body(struct transfer *tf)
{
	const struct eb_head *h = tf->head->head;
	CURL *e = tf->easy;

	switch (h->body_kind) {
	case EB_BODY_NONE:
		if (!strcmp(h->method, "HEAD"))
			curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		break;
	case EB_BODY_INLINE:
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)tf->head->data_bytes);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
				 tf->head->data ? (char *)tf->head->data : "");
		break;
	default:
		curl_easy_setopt(e, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(e, CURLOPT_READFUNCTION, read_body);
		curl_easy_setopt(e, CURLOPT_READDATA, tf);
		curl_easy_setopt(e, CURLOPT_INFILESIZE_LARGE,
				 h->body_kind == EB_BODY_LENGTH
					 ? (curl_off_t)h->body_bytes
					 : (curl_off_t)-1);
		break;
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, h->method);
}

static void set_options(struct transfer *tf, const char *address)
{
	CURL *e = tf->easy;
	char url[128];

	snprintf(url, sizeof(url), "http://%s/", address);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, tf->head->head->target);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, (long)EB_CHUNK_BYTES);
	curl_easy_setopt(e, CURLOPT_UPLOAD_BUFFERSIZE, (long)EB_CHUNK_BYTES);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)EB_UPSTREAM_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, set_socket);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, tf->client);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, tf);
	curl_easy_setopt(e, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, tf);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, read_answer_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, tf);
	curl_easy_setopt(e, CURLOPT_PRIVATE, tf);
}

static void free_transfer(struct transfer *tf)
{
	struct eb_client *cl = tf->client;
	struct queued *qd;

	while ((qd = tf->first)) {
		tf->first = qd->next;
		eb_frame_unref(qd->frame);
		free(qd);
	}
	apr_hash_set(cl->transfers, &tf->key, sizeof(tf->key), NULL);
	if (tf->easy && cl->idle_handle_count < IDLE_HANDLES_MAX) {
		curl_easy_reset(tf->easy);
		cl->idle_handles[cl->idle_handle_count++] = tf->easy;
	} else {
		curl_easy_cleanup(tf->easy);
	}
	curl_slist_free_all(tf->headers);
	eb_headers_clear(&tf->answer);
	free(tf->inline_body);
	eb_frame_unref(tf->head);
	free(tf);
}

_Static_assert(EB_OUTFLOW_GRANT_BYTES >= CURL_MAX_WRITE_SIZE,
	       "a paused transfer could not go on after one grant");

/* Starts a request; the frame's `object` is the address of the upstream. */
static void start_transfer(struct eb_client *cl, struct eb_frame *f)
{
	struct transfer *tf = calloc(1, sizeof(*tf));

	if (!tf) {
		eb_frame_unref(f);
		return;
	}
	tf->client = cl;
	tf->head = f;
	tf->key.origin = f->sender;
	tf->key.call = f->call;
	/* The gate grants the rest, see eb_outflow. */
	tf->credit_bytes = EB_OUTFLOW_GRANT_BYTES;
	tf->progress_us = eb_clock_now_us();
	tf->easy = cl->idle_handle_count
			   ? cl->idle_handles[--cl->idle_handle_count]
			   : curl_easy_init();
	apr_hash_set(cl->transfers, &tf->key, sizeof(tf->key), tf);
	if (!tf->easy) {
		push(cl, tf,
		     reply_frame(tf, EB_FRAME_REFUSE, EB_OUTCOME_NOT_RUN,
				 EB_REASON_INTERNAL));
		free_transfer(tf);
		return;
	}
	set_options(tf, f->object);
	set_headers(tf);
	set_body(tf);
	curl_multi_add_handle(cl->multi, tf->easy);
}

/* Adds what identifies the run: its upstream may have crashed on it. */
static void add_run(struct eb_frame *f, const struct transfer *tf)
{
	const char *instance = tf->head->head->instance;
	struct eb_crash_run *run;

	if (!f)
		return;
	run = malloc(sizeof(*run));
	if (!run)
		return;
	run->id = eb_crash_detect_identify(tf->head);
	run->instance = instance ? eb_claim_member(instance) : 0;
	f->object = run;
	f->object_free = free;
}

/* Aborts a transfer and closes its connection. */
static void stop_transfer(struct transfer *tf, enum eb_reason reason)
{
	struct eb_client *cl = tf->client;
	struct eb_frame *f;

	curl_multi_remove_handle(cl->multi, tf->easy);
	eb_metrics_add(cl->config.metrics, EB_METRIC_UPSTREAM_CANCELLED, 1);
	f = reply_frame(tf, EB_FRAME_ABORT,
			tf->send_count ? EB_OUTCOME_UNKNOWN
				       : EB_OUTCOME_NOT_RUN,
			reason);
	if (tf->send_count && !tf->answer_head)
		add_run(f, tf);
	push(cl, tf, f);
	free_transfer(tf);
}

/*
 * Tells whether a part of the body before this frame was lost on the way, with
 * a connection between two daemons. Then the upstream must not receive an end.
 */
static int follows_gap(const struct transfer *tf, const struct eb_frame *f)
{
	return (f->type == EB_FRAME_DATA || f->type == EB_FRAME_END) &&
	       f->offset_bytes != EB_OFFSET_UNKNOWN &&
	       f->offset_bytes != tf->queued_bytes;
}

static void queue_body(struct transfer *tf, struct eb_frame *f)
{
	struct queued *qd = calloc(1, sizeof(*qd));

	if (!qd) {
		eb_frame_unref(f);
		stop_transfer(tf, EB_REASON_INTERNAL);
		return;
	}
	qd->frame = f;
	tf->queued_bytes += f->data_bytes;
	if (tf->last)
		tf->last->next = qd;
	else
		tf->first = qd;
	tf->last = qd;
}

/* Unpauses a transfer that can send or receive again. */
static void resume(struct transfer *tf)
{
	int send = tf->send_paused && (tf->first || tf->body_ended);
	int receive =
		tf->receive_paused && tf->credit_bytes >= CURL_MAX_WRITE_SIZE;

	if (!send && !receive)
		return;
	if (send)
		tf->send_paused = 0;
	if (receive)
		tf->receive_paused = 0;
	curl_easy_pause(tf->easy,
			(tf->send_paused ? CURLPAUSE_SEND : 0) |
				(tf->receive_paused ? CURLPAUSE_RECV : 0));
}

/* ---- Load probes of the upstream ---- */

/* Counts an answer with a bad status line. Returns 1 for one. */
static int count_bad_status(struct eb_client *cl,
			    const struct eb_status_line *sl, CURLcode rc)
{
	if (!eb_status_line_is_bad(sl, rc))
		return 0;
	eb_metrics_add(cl->config.metrics, EB_METRIC_UPSTREAM_BAD_STATUS, 1);
	return 1;
}

/*
 * Reads the time that the upstream stays cold, in ms. Of two values the longer
 * one counts.
 */
static void read_cold_ms(struct eb_client *cl, const char *value)
{
	size_t n = strspn(value, "0123456789");
	unsigned long long ms = strtoull(value, NULL, 10);

	if (!n || value[n + strspn(value + n, " \t")])
		cl->probe_cold_bad = 1;
	else
		cl->probe_cold_warned = 0;
	if (cl->probe_cold_bad && !cl->probe_cold_warned) {
		cl->probe_cold_warned = 1;
		eb_log_write(cl->config.log, EB_LOG_WARN, "client",
			     "cold time of the upstream is invalid, it counts "
			     "as possibly cold",
			     "value=%s", value);
	}
	if (cl->probe_cold_bad)
		return;
	if (ms > EB_COLD_MAX_MS)
		cl->probe_cold_ms = EB_COLD_MAX_MS;
	else if (ms > cl->probe_cold_ms)
		cl->probe_cold_ms = (uint32_t)ms;
}

/*
 * Reads a header line of a probe's answer: pace, instance, rate limit or cold
 * time.
 */
static void read_probe_header(void *ctx, const char *line, size_t n)
{
	struct eb_client *cl = ctx;
	const struct eb_dialect *dl = cl->config.dialect;
	char value[EB_NAME_SPACE_BYTES];

	if (!eb_fetch_header_value(line, n, dl->load, value, sizeof(value)))
		cl->probe_pace = dl->read_pace(value);
	else if (dl->instance && !eb_fetch_header_value(line, n, dl->instance,
							value, sizeof(value)))
		memcpy(cl->probe_instance, value, sizeof(value));
	else if (dl->rate_limit &&
		 !eb_fetch_header_value(line, n, dl->rate_limit, value,
					sizeof(value)))
		cl->probe_rate_milli = eb_rate_parse(value);
	else if (dl->cold_left && !eb_fetch_header_value(line, n, dl->cold_left,
							 value, sizeof(value)))
		read_cold_ms(cl, value);
}

/*
 * Sets the options of a probe or check. A call may reuse the connection later,
 * so its socket gets the same options.
 */
static void set_internal_options(struct eb_client *cl, CURL *e, const char *url,
				 long timeout_ms)
{
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, set_socket);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, cl);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
}

/* Starts a load probe. The frame's `object` is "ADDRESS PATH". */
static void start_probe(struct eb_client *cl, struct eb_frame *f)
{
	char url[256];
	const char *where = f->object;
	size_t n = strcspn(where, " ");

	if (cl->probe_running || !cl->config.dialect->load || !where[n])
		return;
	if (!cl->probe)
		cl->probe = curl_easy_init();
	if (!cl->probe)
		return;
	snprintf(url, sizeof(url), "http://%.*s%s", (int)n, where,
		 where + n + 1);
	set_internal_options(cl, cl->probe, url, PROBE_TIMEOUT_MS);
	cl->probe_answer.body_max_bytes = PROBE_BODY_MAX_BYTES;
	cl->probe_answer.on_header = read_probe_header;
	cl->probe_answer.ctx = cl;
	eb_fetch_reset(&cl->probe_answer);
	eb_fetch_attach(&cl->probe_answer, cl->probe);
	curl_easy_setopt(cl->probe, CURLOPT_PRIVATE, NULL);
	cl->probe_pace = 0;
	cl->probe_rate_milli = 0;
	cl->probe_cold_ms = 0;
	cl->probe_cold_bad = 0;
	cl->probe_instance[0] = 0;
	cl->probe_running = 1;
	eb_metrics_add(cl->config.metrics, EB_METRIC_PROBES, 1);
	curl_multi_add_handle(cl->multi, cl->probe);
}

/* Reports the result of a load probe; status 0: it failed. */
static void finish_probe(struct eb_client *cl, CURLcode rc)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_PROBE, 0);
	long status = 0;

	curl_easy_getinfo(cl->probe, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(cl->multi, cl->probe);
	cl->probe_running = 0;
	count_bad_status(cl, &cl->probe_answer.line, rc);
	if (!f)
		return;
	f->reply->status = rc ? 0 : (uint16_t)status;
	f->reply->load.pace_percent = cl->probe_pace;
	f->reply->rate_limit_milli = rc ? 0 : cl->probe_rate_milli;
	/* An answer without the header is that of an upstream not cold. */
	f->reply->cold_ms = cl->probe_cold_ms;
	f->reply->cold_known = !rc && status == 200 && !cl->probe_cold_bad &&
			       cl->config.dialect->cold_left;
	if (!rc && status == 200 && cl->probe_instance[0])
		f->object = strdup(cl->probe_instance);
	f->object_free = free;
	if (eb_ring_push(cl->config.out, f))
		eb_frame_unref(f);
}

/* ---- Checks whether the upstream has crashed ---- */

/* Reports the result of a check, with the instance that answered it. */
static void report_check(struct eb_client *cl, enum eb_reason reason)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_PROBE, EB_PROBE_CHECK);

	if (f) {
		f->reply->reason = (uint8_t)reason;
		if (cl->check_instance[0])
			f->object = strdup(cl->check_instance);
		f->object_free = free;
	}
	/* The gate treats a check without a result as lost. */
	if (!f || eb_ring_push(cl->config.out, f)) {
		eb_log_write(cl->config.log, EB_LOG_ERROR, "client",
			     "dropped the result of a check of the upstream",
			     "reason=%s", eb_reason_name(reason));
		eb_frame_unref(f);
	}
}

static void read_check_header(void *ctx, const char *line, size_t n)
{
	struct eb_client *cl = ctx;
	const char *name = cl->config.dialect->instance;
	char value[EB_NAME_SPACE_BYTES];

	if (name && !eb_fetch_header_value(line, n, name, value, sizeof(value)))
		memcpy(cl->check_instance, value, sizeof(value));
}

/*
 * Starts a check on a connection of its own. The frame's `object` is "ADDRESS
 * PATH", or "ADDRESS" to check only that connections are accepted.
 */
static void start_check(struct eb_client *cl, const struct eb_frame *f)
{
	const char *where = f->object;
	char url[256];
	size_t n;

	if (cl->check || !where)
		return;
	cl->check = curl_easy_init();
	if (!cl->check) {
		eb_log_write(cl->config.log, EB_LOG_ERROR, "client",
			     "out of memory for a check of the upstream", NULL);
		return;
	}
	n = strcspn(where, " ");
	snprintf(url, sizeof(url), "http://%.*s%s", (int)n, where,
		 where[n] ? where + n + 1 : "/");
	set_internal_options(cl, cl->check, url, CHECK_TIMEOUT_MS);
	curl_easy_setopt(cl->check, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(cl->check, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(cl->check, CURLOPT_CONNECT_ONLY, where[n] ? 0L : 1L);
	cl->check_answer.body_max_bytes = PROBE_BODY_MAX_BYTES;
	cl->check_answer.on_header = read_check_header;
	cl->check_answer.ctx = cl;
	cl->check_instance[0] = 0;
	eb_fetch_reset(&cl->check_answer);
	eb_fetch_attach(&cl->check_answer, cl->check);
	curl_multi_add_handle(cl->multi, cl->check);
}

/*
 * Returns EB_REASON_CONNECT for an upstream that could not be reached,
 * EB_REASON_UPSTREAM_CLOSED for one that closed the connection without an
 * answer, or EB_REASON_NONE: it is there, though it may be slow.
 */
static enum eb_reason judge_check(struct eb_client *cl, CURLcode rc)
{
	curl_off_t connect_us = 0;

	/* With all connections in use, the check may time out in the queue. */
	if (!rc || apr_hash_count(cl->transfers) >= cl->config.connections)
		return EB_REASON_NONE;
	curl_easy_getinfo(cl->check, CURLINFO_CONNECT_TIME_T, &connect_us);
	if (!connect_us)
		return EB_REASON_CONNECT;
	return rc == CURLE_GOT_NOTHING || rc == CURLE_RECV_ERROR ||
			       rc == CURLE_SEND_ERROR
		       ? EB_REASON_UPSTREAM_CLOSED
		       : EB_REASON_NONE;
}

static void finish_check(struct eb_client *cl, CURLcode rc)
{
	enum eb_reason reason = judge_check(cl, rc);

	curl_multi_remove_handle(cl->multi, cl->check);
	count_bad_status(cl, &cl->check_answer.line, rc);
	curl_easy_cleanup(cl->check);
	cl->check = NULL;
	report_check(cl, reason);
}

static void handle_frame(struct eb_client *cl, struct eb_frame *f)
{
	struct call_key key = { f->sender, f->call };
	struct transfer *tf;

	if (f->type == EB_FRAME_HEAD) {
		start_transfer(cl, f);
		return;
	}
	if (f->type == EB_FRAME_PROBE) {
		if (f->call == EB_PROBE_CHECK)
			start_check(cl, f);
		else
			start_probe(cl, f);
		eb_frame_unref(f);
		return;
	}
	tf = apr_hash_get(cl->transfers, &key, sizeof(key));
	if (!tf) {
		eb_metrics_add(cl->config.metrics, EB_METRIC_LATE_FRAMES, 1);
		eb_frame_unref(f);
		return;
	}
	if (follows_gap(tf, f)) {
		eb_metrics_add(cl->config.metrics, EB_METRIC_BODY_GAPS, 1);
		stop_transfer(tf, EB_REASON_LOST_PEER);
		eb_frame_unref(f);
		return;
	}
	switch (f->type) {
	case EB_FRAME_DATA:
		if (f->data_bytes) {
			queue_body(tf, f);
			f = NULL;
			tf = apr_hash_get(cl->transfers, &key, sizeof(key));
		}
		break;
	case EB_FRAME_END:
		tf->body_ended = 1;
		break;
	case EB_FRAME_RCREDIT:
		tf->credit_bytes += f->credit_bytes;
		break;
	case EB_FRAME_CANCEL:
		stop_transfer(tf, EB_REASON_NONE);
		tf = NULL;
		break;
	default:
		break;
	}
	eb_frame_unref(f);
	if (tf)
		resume(tf);
}

/* Another instance now has the address; it answered 421 and ran nothing. */
static int is_misdirected(const struct transfer *tf)
{
	return tf->answer_head && tf->line.status == 421 &&
	       tf->client->config.dialect->expect_instance &&
	       tf->head->head->instance && !tf->mismatched;
}

/*
 * Tells whether a body lacks its end, whatever curl makes of it. The end of the
 * connection ends a body without a length. Before the request is sent it proves
 * nothing for a 2xx: a failed upstream closes in the same way. With a status
 * from 300 on, the upstream says itself that it may not read the request.
 */
static int is_body_cut(const struct transfer *tf)
{
	if (tf->body_kind != EB_BODY_CHUNKED)
		return 0;
	if (tf->chunked)
		return !tf->chunks.done;
	return tf->line.status < 300 && is_sending(tf);
}

/* Sends the last frame of a transfer that curl has ended, and frees it. */
static void finish_transfer(struct transfer *tf, CURLcode rc)
{
	struct eb_client *cl = tf->client;
	struct eb_frame *f = NULL;
	long connects = 0;

	curl_easy_getinfo(tf->easy, CURLINFO_NUM_CONNECTS, &connects);
	eb_metrics_add(cl->config.metrics, EB_METRIC_UPSTREAM_CONNECTIONS,
		       connects);
	curl_multi_remove_handle(cl->multi, tf->easy);
	if (tf->restart == 1) {
		tf->restart = 2;
		eb_metrics_add(cl->config.metrics,
			       EB_METRIC_UPSTREAM_STRAY_INPUT, 1);
		curl_easy_setopt(tf->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_multi_add_handle(cl->multi, tf->easy);
		return;
	}
	if (!tf->send_count) {
		f = reply_frame(tf, EB_FRAME_REFUSE, EB_OUTCOME_NOT_RUN,
				EB_REASON_CONNECT);
	} else if (is_misdirected(tf)) {
		f = reply_frame(tf, EB_FRAME_REFUSE, EB_OUTCOME_NOT_RUN,
				EB_REASON_NO_UPSTREAM);
	} else if ((rc && !(is_answer_whole(tf) && is_sending(tf))) ||
		   !tf->answer_head || is_body_cut(tf)) {
		f = reply_frame(tf, EB_FRAME_ABORT, EB_OUTCOME_UNKNOWN,
				EB_REASON_UPSTREAM_CLOSED);
		if (count_bad_status(cl, &tf->line, rc))
			f->reply->status = 0;
		else
			add_run(f, tf);
	} else if (tf->refused_by_upstream && !tf->answer_sent) {
		f = reply_frame(tf, EB_FRAME_REFUSE, EB_OUTCOME_NOT_RUN,
				EB_REASON_UPSTREAM_REFUSED);
	} else if (tf->answer_sent) {
		f = reply_frame(tf, EB_FRAME_REND, EB_OUTCOME_RAN,
				EB_REASON_NONE);
	} else {
		push_answer_head(tf);
	}
	if (rc)
		eb_log_write(cl->config.log, EB_LOG_DEBUG, "client",
			     "request to the upstream failed",
			     "target=\"%s\" error=\"%s\" sends=%u",
			     tf->head->head->target, curl_easy_strerror(rc),
			     tf->send_count);
	if (f)
		push(cl, tf, f);
	free_transfer(tf);
}

/* Handles the transfers, probes and checks that curl has ended. */
static void handle_finished(struct eb_client *cl)
{
	struct transfer *tf = NULL;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(cl->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		if (msg->easy_handle == cl->probe) {
			finish_probe(cl, msg->data.result);
			continue;
		}
		if (msg->easy_handle == cl->check) {
			finish_check(cl, msg->data.result);
			continue;
		}
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &tf);
		finish_transfer(tf, msg->data.result);
	}
}

/*
 * Ends a transfer whose upstream has closed the connection before the request
 * body is complete. libcurl no longer polls a socket at its end, and would wait
 * forever for the rest of a paused request body.
 */
static void check_closed(struct transfer *tf)
{
	CURLcode rc = CURLE_RECV_ERROR;
	enum eb_sockets_input input =
		eb_sockets_peek(&tf->client->sockets, tf->local_port);

	/* libcurl may hold a paused answer after the socket has closed. */
	if (input < EB_SOCKETS_INPUT_END || tf->receive_paused)
		return;
	if (is_answer_whole(tf) ||
	    (input == EB_SOCKETS_INPUT_END && tf->answer_head &&
	     !is_body_cut(tf) && tf->body_kind == EB_BODY_CHUNKED))
		rc = CURLE_OK;
	finish_transfer(tf, rc);
}

/*
 * Ends transfers whose body makes no progress, or whose upstream has closed the
 * connection while they waited for the caller.
 */
static void check_transfers(struct eb_client *cl, int64_t now_us)
{
	apr_hash_index_t *hi;
	struct transfer *tf;

	if (now_us - cl->transfers_checked_us < POLL_MS * 1000)
		return;
	cl->transfers_checked_us = now_us;
	for (hi = apr_hash_first(NULL, cl->transfers); hi;
	     hi = apr_hash_next(hi)) {
		tf = apr_hash_this_val(hi);
		if (tf->send_paused) {
			check_closed(tf);
			continue;
		}
		/* Until the answer begins, only the call's deadline applies. */
		if (tf->receive_paused || !tf->answer_head)
			continue;
		if (now_us - tf->progress_us > EB_PROGRESS_TIMEOUT_MS * 1000LL)
			stop_transfer(tf, EB_REASON_STALLED);
	}
}

static void handle_frames(struct eb_client *cl)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;

	do {
		n = eb_ring_pop(cl->config.in, items, EB_BATCH_FRAMES);
		for (i = 0; i < n; i++)
			handle_frame(cl, items[i]);
	} while (n == EB_BATCH_FRAMES);
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct eb_client *cl = data;
	struct curl_waitfd wait = { .events = CURL_WAIT_POLLIN };
	int running;

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-client");
	wait.fd = eb_ring_fd(cl->config.in);
	while (!__atomic_load_n(&cl->stopping, __ATOMIC_ACQUIRE)) {
		handle_frames(cl);
		curl_multi_perform(cl->multi, &running);
		handle_finished(cl);
		check_transfers(cl, eb_clock_now_us());
		wait.revents = 0;
		curl_multi_poll(cl->multi, &wait, 1, POLL_MS, NULL);
	}
	return NULL;
}

/*
 * Starts the thread. Returns NULL and sets `err` without memory or when the
 * thread can't be created.
 */
struct eb_client *eb_client_start(const struct eb_client_config *cf,
				  struct eb_error *err)
{
	struct eb_client *cl = calloc(1, sizeof(*cl));

	if (!cl || apr_pool_create(&cl->pool, NULL) != APR_SUCCESS) {
		free(cl);
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	cl->config = *cf;
	cl->transfers = apr_hash_make(cl->pool);
	cl->multi = curl_multi_init();
	curl_multi_setopt(cl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(cl->multi, CURLMOPT_MAXCONNECTS,
			  (long)cf->connections);
	curl_multi_setopt(cl->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)cf->connections);
	if (apr_thread_create(&cl->thread, NULL, run, cl, cl->pool) !=
	    APR_SUCCESS) {
		eb_error_set(err, EB_EIO, "cannot create the client thread");
		eb_client_stop(cl);
		return NULL;
	}
	return cl;
}

/* Stops the thread and drops transfers in flight; NULL is allowed. */
void eb_client_stop(struct eb_client *cl)
{
	apr_hash_index_t *hi;
	struct transfer *tf;
	apr_status_t status;

	if (!cl)
		return;
	__atomic_store_n(&cl->stopping, 1, __ATOMIC_RELEASE);
	curl_multi_wakeup(cl->multi);
	if (cl->thread)
		apr_thread_join(&status, cl->thread);
	for (hi = apr_hash_first(NULL, cl->transfers); hi;
	     hi = apr_hash_next(hi)) {
		tf = apr_hash_this_val(hi);
		curl_multi_remove_handle(cl->multi, tf->easy);
		free_transfer(tf);
	}
	if (cl->probe_running)
		curl_multi_remove_handle(cl->multi, cl->probe);
	if (cl->check)
		curl_multi_remove_handle(cl->multi, cl->check);
	curl_easy_cleanup(cl->check);
	curl_easy_cleanup(cl->probe);
	while (cl->idle_handle_count)
		curl_easy_cleanup(cl->idle_handles[--cl->idle_handle_count]);
	curl_multi_cleanup(cl->multi);
	apr_pool_destroy(cl->pool);
	free(cl->probe_answer.body.text);
	free(cl->check_answer.body.text);
	free(cl);
}
