#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>

/* Declares XXH64_state_t in full, for the member of struct request. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "standin.h"

/*
 * Stand-in for an upstream: an HTTP/1.1 server with slots, a service time and
 * faults. It records each run, that is each request that it received. Tests
 * use the paths below /control. With --control a second port serves them too;
 * it stays reachable while a fault makes the main port refuse connections or
 * leave requests without an answer.
 */

#define WAITING_MAX 1024
#define RECORDS_DEFAULT 65536
#define KEYS_MAX 65536	 /* idempotency keys */
#define SERVERS_MAX 64	 /* starts of the main server */
#define SAMPLES_MAX 1024 /* load samples kept */
#define SAMPLE_INTERVAL_US 10000
#define CLIENT_CHECK_INTERVAL_US 20000
#define BLOCK_BYTES 65536
#define TEXT_BYTES 128
#define FAIL_DELAY_US 100

/* Stages of a request, in order. */
enum stage {
	STAGE_BODY = 0,	  /* the body is being read */
	STAGE_UNANSWERED, /* never answered: fault `silent` */
	STAGE_QUEUED,	  /* waits for a slot */
	STAGE_RUNNING,	  /* holds a slot until `until_us` */
	STAGE_PAUSED,	  /* between two bytes of an answer with `trickle` */
	STAGE_READY,	  /* service is over, not answered yet */
	STAGE_ANSWERED,
};

/* One run. `cut`: its answer was not completed. */
struct record {
	uint64_t seq;
	int64_t start_us;
	int64_t end_us;
	uint64_t bytes;
	char method[16];
	char target[TEXT_BYTES];
	char key[TEXT_BYTES];
	char nonce[TEXT_BYTES];
	uint8_t executed;
	uint8_t ended;
	uint8_t cut;
};

/* An idempotency key and how many requests with it were executed. */
struct key {
	char text[TEXT_BYTES];
	uint32_t executions;
};

struct request {
	struct upstream *up;
	struct MHD_Connection *cn;
	struct standin_body body; /* of a control request */
	XXH64_state_t hash;
	uint64_t seq;
	uint64_t bytes;
	uint64_t answer_bytes;
	uint64_t seed;
	int64_t until_us;
	int64_t trickle_us;
	uint64_t cut_after;
	uint32_t executions;
	uint32_t waiting; /* index in `waiting` of the upstream + 1, 0: none */
	char target[TEXT_BYTES];
	uint8_t stage;
	uint8_t holds_slot;
	uint8_t client_gone; /* client closed during suspension */
	uint8_t control;
	uint8_t reused; /* not the first of its connection */
	uint8_t executed;
};

/* The faults in force; control_fault() describes each of them. */
struct faults {
	double slow;	    /* factor on the service time */
	unsigned fail;	    /* status of each answer, 0: none */
	uint64_t cut_bytes; /* UINT64_MAX: none */
	int64_t load_lag_us;
	char load_lie[8];
	uint8_t silent;
	uint8_t close_reused;
	uint8_t refuse;
	uint8_t draining;
};

/* A sample of the load, taken every SAMPLE_INTERVAL_US. */
struct load {
	uint32_t in_flight;
	uint32_t queued;
	uint8_t draining;
};

struct upstream {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	const char *name;
	struct sockaddr_in address;
	uint32_t slots;
	uint32_t connections;
	uint32_t threads;
	int64_t service_us;
	uint32_t in_flight;
	uint32_t queued;
	struct request *waiting[WAITING_MAX];
	uint32_t waiting_count;
	struct faults fault;
	struct record *records;
	uint32_t record_space;
	uint64_t next_seq;
	uint64_t started;
	uint64_t executed;
	uint64_t ended;
	uint64_t cut;
	uint64_t connections_seen;
	uint64_t connections_open;
	struct key *keys;
	struct load samples[SAMPLES_MAX];
	uint64_t sample_count;
	struct MHD_Daemon *servers[SERVERS_MAX];
	uint32_t server_count;
	struct MHD_Daemon *control;
	int record_fd;
	uint8_t listening;
	uint8_t stopping;
	uint8_t pattern[STANDIN_PATTERN_BYTES];
};

/* Copies a text, truncated to `space` bytes with its end; NULL gives "". */
static void copy_text(char *out, size_t space, const char *text)
{
	size_t n = text ? strlen(text) : 0;

	if (n >= space)
		n = space - 1;
	memcpy(out, text ? text : "", n);
	out[n] = '\0';
}

/* Returns the value of a request header, or NULL. */
static const char *header(struct MHD_Connection *cn, const char *name)
{
	return MHD_lookup_connection_value(cn, MHD_HEADER_KIND, name);
}

/* Returns the record of a run, or NULL when a later run has replaced it. */
static struct record *find_record(struct upstream *up, uint64_t seq)
{
	struct record *rc = &up->records[seq % up->record_space];

	return rc->seq == seq ? rc : NULL;
}

/* Returns the entry of a key, added if new; NULL when the table is full. */
static struct key *find_or_add_key(struct upstream *up, const char *text)
{
	uint64_t i = XXH64(text, strlen(text), 0);
	uint32_t tries;
	struct key *k;

	for (tries = 0; tries < KEYS_MAX; tries++, i++) {
		k = &up->keys[i % KEYS_MAX];
		if (!k->text[0])
			copy_text(k->text, sizeof(k->text), text);
		if (!strcmp(k->text, text))
			return k;
	}
	return NULL;
}

/*
 * Appends a JSON line on a run to the file of --record, if there is one. It is
 * written at once, so that it survives a crash of the process.
 */
static void record_line(struct upstream *up, const char *event,
			const struct record *rc)
{
	json_t *js;
	char *text;

	if (up->record_fd < 0)
		return;
	js = json_pack("{s:s,s:s,s:I,s:s,s:s,s:s,s:s,s:I}", "upstream",
		       up->name, "event", event, "seq", (json_int_t)rc->seq,
		       "method", rc->method, "target", rc->target, "key",
		       rc->key, "nonce", rc->nonce, "at_us",
		       (json_int_t)standin_now_us());
	text = js ? json_dumps(js, JSON_COMPACT) : NULL;
	if (text && dprintf(up->record_fd, "%s\n", text) < 0)
		perror("upstream: record");
	free(text);
	json_decref(js);
}

/* Records the start of a run, once the head of the request has been read. */
static void record_start(struct upstream *up, struct request *rq,
			 const char *method)
{
	struct record *rc;

	pthread_mutex_lock(&up->lock);
	rq->seq = ++up->next_seq;
	rc = &up->records[rq->seq % up->record_space];
	memset(rc, 0, sizeof(*rc));
	rc->seq = rq->seq;
	rc->start_us = standin_now_us();
	copy_text(rc->method, sizeof(rc->method), method);
	copy_text(rc->target, sizeof(rc->target), rq->target);
	copy_text(rc->key, sizeof(rc->key), header(rq->cn, "Idempotency-Key"));
	copy_text(rc->nonce, sizeof(rc->nonce), header(rq->cn, "X-Nonce"));
	up->started++;
	record_line(up, "start", rc);
	pthread_mutex_unlock(&up->lock);
}

/* Records an execution, once the whole request has been read. Locked. */
static void record_execution(struct upstream *up, struct request *rq)
{
	const char *text = header(rq->cn, "Idempotency-Key");
	struct record *rc = find_record(up, rq->seq);
	struct key *k = text && *text ? find_or_add_key(up, text) : NULL;

	rq->executed = 1;
	rq->executions = k ? ++k->executions : 1;
	up->executed++;
	if (rc) {
		rc->executed = 1;
		rc->bytes = rq->bytes;
		record_line(up, "executed", rc);
	}
}

/* Records the end of a run; `cut`: its answer was not completed. Locked. */
static void record_end(struct upstream *up, struct request *rq, int cut)
{
	struct record *rc = find_record(up, rq->seq);

	up->ended++;
	up->cut += cut ? 1 : 0;
	if (rc) {
		rc->end_us = standin_now_us();
		rc->ended = 1;
		rc->cut = cut ? 1 : 0;
		rc->bytes = rq->bytes;
		record_line(up, cut ? "cut" : "end", rc);
	}
}

/*
 * Suspends a request in a stage until `until_us`. Returns 0 if WAITING_MAX
 * requests are suspended already or the program is stopping. Locked.
 */
static int suspend(struct upstream *up, struct request *rq, enum stage stage,
		   int64_t until_us)
{
	if (up->stopping || up->waiting_count == WAITING_MAX)
		return 0;
	rq->stage = (uint8_t)stage;
	rq->until_us = until_us;
	up->waiting[up->waiting_count++] = rq;
	rq->waiting = up->waiting_count;
	MHD_suspend_connection(rq->cn);
	pthread_cond_signal(&up->cond);
	return 1;
}

/* Removes a request from the waiting list and resumes it. Locked. */
static void resume_request(struct upstream *up, struct request *rq)
{
	struct request *last = up->waiting[--up->waiting_count];

	up->waiting[rq->waiting - 1] = last;
	last->waiting = rq->waiting;
	rq->waiting = 0;
	if (rq->stage == STAGE_QUEUED)
		up->queued--;
	rq->stage = rq->stage == STAGE_PAUSED ? STAGE_ANSWERED : STAGE_READY;
	MHD_resume_connection(rq->cn);
}

/* Frees the slot of a request, if it holds one. Locked. */
static void release_slot(struct upstream *up, struct request *rq)
{
	if (!rq->holds_slot)
		return;
	rq->holds_slot = 0;
	up->in_flight--;
}

/* Returns 1 if the client of a suspended request has closed the connection. */
static int client_closed(struct request *rq)
{
	const union MHD_ConnectionInfo *info;
	char byte;
	ssize_t n;

	info = MHD_get_connection_info(rq->cn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return 0;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/*
 * Returns the time in microseconds that a request holds its slot: the service
 * time with the fault `slow`, plus `delay_us` of its query.
 */
static int64_t service_us(const struct upstream *up, const struct request *rq)
{
	int64_t us = (int64_t)((double)up->service_us * up->fault.slow);

	return us + standin_query(rq->cn, "delay_us", 0);
}

/* Gives free slots to queued requests, the oldest first. Locked. */
static void fill_slots(struct upstream *up, int64_t now)
{
	struct request *rq, *oldest;
	uint32_t i;

	while (up->queued && up->in_flight < up->slots) {
		oldest = NULL;
		for (i = 0; i < up->waiting_count; i++) {
			rq = up->waiting[i];
			if (rq->stage == STAGE_QUEUED &&
			    (!oldest || rq->seq < oldest->seq))
				oldest = rq;
		}
		if (!oldest)
			return;
		oldest->stage = STAGE_RUNNING;
		oldest->holds_slot = 1;
		oldest->until_us = now + service_us(up, oldest);
		up->queued--;
		up->in_flight++;
	}
}

/*
 * Resumes the requests that are due and, with `check_clients`, those whose
 * client has closed the connection. Returns the time in microseconds at which
 * the next request is due, INT64_MAX if none is. Locked.
 */
static int64_t resume_due(struct upstream *up, int64_t now, int check_clients)
{
	int64_t next = INT64_MAX;
	struct request *rq;
	uint32_t i;

	for (i = 0; i < up->waiting_count;) {
		rq = up->waiting[i];
		if (check_clients && client_closed(rq))
			rq->client_gone = 1;
		if (up->stopping || rq->client_gone || now >= rq->until_us) {
			release_slot(up, rq);
			resume_request(up, rq);
			continue;
		}
		i++;
	}
	fill_slots(up, now);
	for (i = 0; i < up->waiting_count; i++)
		if (up->waiting[i]->until_us < next)
			next = up->waiting[i]->until_us;
	return next;
}

/* Resumes requests on time, detects closed clients and samples the load. */
static void *timer_thread(void *arg)
{
	struct upstream *up = arg;
	int64_t now, next, next_check_us = 0, next_sample_us = 0;
	struct load *sample;
	int check_clients;

	/* The default slack of 50 us would lengthen the service time. */
	prctl(PR_SET_TIMERSLACK, 1000UL);
	pthread_mutex_lock(&up->lock);
	while (!up->stopping || up->waiting_count) {
		now = standin_now_us();
		check_clients = now >= next_check_us;
		if (check_clients)
			next_check_us = now + CLIENT_CHECK_INTERVAL_US;
		if (now >= next_sample_us) {
			sample = &up->samples[up->sample_count++ % SAMPLES_MAX];
			sample->in_flight = up->in_flight;
			sample->queued = up->queued;
			sample->draining = up->fault.draining;
			next_sample_us = now + SAMPLE_INTERVAL_US;
		}
		next = resume_due(up, now, check_clients);
		if (next > next_sample_us)
			next = next_sample_us;
		if (!up->stopping)
			standin_cond_wait(&up->cond, &up->lock, next);
	}
	pthread_mutex_unlock(&up->lock);
	return NULL;
}

/*
 * Supplies the next bytes of a deterministic answer: one byte at a time with
 * `trickle`. Fails at `cut_after`, so that the connection is closed.
 */
static ssize_t read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *rq = cls;
	uint64_t n = rq->answer_bytes - pos;
	int ok;

	if (!n)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (pos >= rq->cut_after || rq->client_gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > max)
		n = max;
	if (n > rq->cut_after - pos)
		n = rq->cut_after - pos;
	if (rq->trickle_us) {
		n = 1;
		if (standin_now_us() < rq->until_us) {
			pthread_mutex_lock(&rq->up->lock);
			ok = suspend(rq->up, rq, STAGE_PAUSED, rq->until_us);
			pthread_mutex_unlock(&rq->up->lock);
			return ok ? 0 : MHD_CONTENT_READER_END_WITH_ERROR;
		}
		rq->until_us = standin_now_us() + rq->trickle_us;
	}
	standin_fill(rq->up->pattern, rq->seed, pos, (uint8_t *)buf, n);
	return (ssize_t)n;
}

/* Sends a response, which is released, with the headers that each one has. */
static enum MHD_Result send_response(struct request *rq, unsigned status,
				     struct MHD_Response *rs, const char *type)
{
	const char *nonce = header(rq->cn, "X-Nonce");
	enum MHD_Result ok;

	if (!rs)
		return MHD_NO;
	rq->stage = STAGE_ANSWERED;
	MHD_add_response_header(rs, "Content-Type", type);
	MHD_add_response_header(rs, "X-Upstream", rq->up->name);
	if (nonce)
		MHD_add_response_header(rs, "X-Nonce", nonce);
	if (status == 503)
		MHD_add_response_header(rs, "Retry-After", "1");
	ok = MHD_queue_response(rq->cn, status, rs);
	MHD_destroy_response(rs);
	return ok;
}

/* Adds a header of the request to a JSON object. */
static enum MHD_Result add_header(void *cls, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	(void)kind;
	json_object_set_new(cls, name, json_string(value ? value : ""));
	return MHD_YES;
}

/* Answers with a JSON object that describes the request as it was read. */
static enum MHD_Result answer_json(struct request *rq, unsigned status)
{
	const char *nonce = header(rq->cn, "X-Nonce");
	const char *key = header(rq->cn, "Idempotency-Key");
	struct MHD_Response *rs;
	char sum[17];
	json_t *js, *headers;
	char *text;

	snprintf(sum, sizeof(sum), "%016llx",
		 (unsigned long long)XXH64_digest(&rq->hash));
	js = json_pack("{s:s,s:I,s:s,s:s,s:s,s:i}", "name", rq->up->name,
		       "length", (json_int_t)rq->bytes, "checksum", sum,
		       "nonce", nonce ? nonce : "", "key", key ? key : "",
		       "executions", (int)rq->executions);
	if (js && standin_query(rq->cn, "headers", 0)) {
		headers = json_object();
		MHD_get_connection_values(rq->cn, MHD_HEADER_KIND, add_header,
					  headers);
		json_object_set_new(js, "headers", headers);
	}
	text = js ? json_dumps(js, JSON_COMPACT) : NULL;
	json_decref(js);
	if (!text)
		return MHD_NO;
	if (rq->cut_after < strlen(text)) {
		/* Only a response with a callback can end with an error. */
		rq->answer_bytes = strlen(text);
		free(text);
		rs = MHD_create_response_from_callback(
			rq->answer_bytes, BLOCK_BYTES, read_answer, rq, NULL);
	} else {
		rs = MHD_create_response_from_buffer(strlen(text), text,
						     MHD_RESPMEM_MUST_FREE);
	}
	return send_response(rq, status, rs, "application/json");
}

/*
 * Answers a request whose service is over. The query gives `status` (unless a
 * status is passed), and with `bytes` a deterministic body: `seed`, `trickle`
 * (milliseconds for each byte) and `chunked`.
 */
static enum MHD_Result answer(struct request *rq, unsigned status)
{
	int64_t bytes = standin_query(rq->cn, "bytes", -1);
	struct MHD_Response *rs;
	uint64_t size;

	if (!status)
		status = (unsigned)standin_query(rq->cn, "status", 200);
	if (bytes < 0)
		return answer_json(rq, status);
	rq->answer_bytes = (uint64_t)bytes;
	rq->seed = (uint64_t)standin_query(rq->cn, "seed", 0);
	rq->trickle_us = standin_query(rq->cn, "trickle", 0) * 1000;
	rq->until_us = 0;
	size = standin_query(rq->cn, "chunked", 0) ? MHD_SIZE_UNKNOWN
						   : rq->answer_bytes;
	rs = MHD_create_response_from_callback(size, BLOCK_BYTES, read_answer,
					       rq, NULL);
	return send_response(rq, status, rs, "application/octet-stream");
}

/*
 * Executes a request that has been read, or applies the fault in force. Sets
 * `status` if the answer has a status of a fault. Returns MHD_NO to close the
 * connection. X-Crash ends the process with status 3. Locked.
 */
static enum MHD_Result execute(struct upstream *up, struct request *rq,
			       unsigned *status)
{
	int64_t us;

	if (up->fault.draining) {
		*status = 503;
		return MHD_YES;
	}
	record_execution(up, rq);
	if (header(rq->cn, "X-Crash"))
		_exit(3);
	if (up->fault.close_reused && rq->reused)
		return MHD_NO;
	if (up->fault.fail) {
		*status = up->fault.fail;
		return suspend(up, rq, STAGE_RUNNING,
			       standin_now_us() + FAIL_DELAY_US)
			       ? MHD_YES
			       : MHD_NO;
	}
	us = service_us(up, rq);
	if (us <= 0) {
		rq->stage = STAGE_READY;
		return MHD_YES;
	}
	up->queued++;
	if (!suspend(up, rq, STAGE_QUEUED, INT64_MAX)) {
		up->queued--;
		return MHD_NO;
	}
	fill_slots(up, standin_now_us());
	return MHD_YES;
}

/*
 * Handles a request outside /control whose body has been read; called again
 * when the request is resumed.
 */
static enum MHD_Result run_request(struct upstream *up, struct request *rq)
{
	enum MHD_Result ok = MHD_YES;
	unsigned status = 0;
	int waits;

	pthread_mutex_lock(&up->lock);
	if (rq->client_gone || up->stopping) {
		ok = MHD_NO;
	} else if (rq->stage == STAGE_BODY) {
		ok = execute(up, rq, &status);
	} else if (rq->stage == STAGE_READY) {
		status = up->fault.fail;
	}
	/* Read under the lock: later the timer may resume the request. */
	waits = rq->waiting != 0;
	pthread_mutex_unlock(&up->lock);
	if (ok == MHD_NO || waits)
		return ok;
	return answer(rq, status);
}

/*
 * Returns the load report, delayed by `load_lag_ms` or replaced as `load_lie`
 * says: "idle" is 0 in flight and queued, "busy" all slots and 1000 queued.
 */
static json_t *load_json(struct upstream *up)
{
	struct load ld = { up->in_flight, up->queued, up->fault.draining };
	uint64_t samples_back =
		(uint64_t)(up->fault.load_lag_us / SAMPLE_INTERVAL_US);

	if (samples_back >= SAMPLES_MAX)
		samples_back = SAMPLES_MAX - 1;
	if (samples_back && up->sample_count) {
		if (samples_back >= up->sample_count)
			samples_back = up->sample_count - 1;
		ld = up->samples[(up->sample_count - 1 - samples_back) %
				 SAMPLES_MAX];
	}
	if (!strcmp(up->fault.load_lie, "idle"))
		ld.in_flight = ld.queued = 0;
	if (!strcmp(up->fault.load_lie, "busy")) {
		ld.in_flight = up->slots;
		ld.queued = 1000;
	}
	return json_pack("{s:i,s:i,s:i,s:b,s:I}", "in_flight",
			 (int)ld.in_flight, "queued", (int)ld.queued, "slots",
			 (int)up->slots, "draining", ld.draining, "service_us",
			 (json_int_t)up->service_us);
}

/*
 * Returns the totals, the executions of each key and, unless `summary`, the
 * runs with a number above `after` that are still kept.
 */
static json_t *runs_json(struct upstream *up, uint64_t after, int summary)
{
	json_t *runs = json_array(), *keys = json_object();
	const struct record *rc;
	uint64_t seq = after + 1;
	uint32_t i;

	if (up->next_seq >= up->record_space &&
	    seq <= up->next_seq - up->record_space)
		seq = up->next_seq - up->record_space + 1;
	for (; !summary && seq <= up->next_seq; seq++) {
		rc = find_record(up, seq);
		if (rc)
			json_array_append_new(
				runs,
				json_pack("{s:I,s:s,s:s,s:s,s:s,s:I,s:I,s:I,"
					  "s:b,s:b,s:b}",
					  "seq", (json_int_t)rc->seq, "method",
					  rc->method, "target", rc->target,
					  "key", rc->key, "nonce", rc->nonce,
					  "start_us", (json_int_t)rc->start_us,
					  "end_us", (json_int_t)rc->end_us,
					  "bytes", (json_int_t)rc->bytes,
					  "executed", rc->executed, "ended",
					  rc->ended, "cut", rc->cut));
	}
	for (i = 0; i < KEYS_MAX; i++)
		if (up->keys[i].executions)
			json_object_set_new(
				keys, up->keys[i].text,
				json_integer(up->keys[i].executions));
	return json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}", "name",
		up->name, "started", (json_int_t)up->started, "executed",
		(json_int_t)up->executed, "ended", (json_int_t)up->ended, "cut",
		(json_int_t)up->cut, "in_flight", (json_int_t)up->in_flight,
		"queued", (json_int_t)up->queued, "connections_seen",
		(json_int_t)up->connections_seen, "connections_open",
		(json_int_t)up->connections_open, "keys", keys, "runs", runs);
}

static int start_main_server(struct upstream *up);

/* Stops or restarts accepting connections; open connections stay open. */
static void set_refuse(struct upstream *up, int refuse)
{
	MHD_socket fd;

	if (refuse && up->listening) {
		fd = MHD_quiesce_daemon(up->servers[up->server_count - 1]);
		/* A poll of the server's thread would keep the socket open. */
		if (fd != MHD_INVALID_SOCKET) {
			shutdown(fd, SHUT_RDWR);
			close(fd);
		}
		up->listening = 0;
	} else if (!refuse && !up->listening) {
		if (!start_main_server(up))
			fprintf(stderr, "upstream: cannot listen again\n");
	}
}

static void clear_faults(struct faults *ft)
{
	memset(ft, 0, sizeof(*ft));
	ft->slow = 1;
	ft->cut_bytes = UINT64_MAX;
}

/*
 * Replaces the faults in force with those of a JSON object, {} for none:
 * slow: factor on the service time
 * fail: status of each answer
 * silent: accept requests and never answer them
 * cut_bytes: close the connection after this many bytes of a body
 * close_reused: execute a request on a reused connection, then close it
 * refuse: refuse connections
 * draining: answer 503 without execution
 * load_lag_ms: age of the load report
 * load_lie: "idle" or "busy", a false load report
 */
static enum MHD_Result control_fault(struct upstream *up, struct request *rq)
{
	json_t *v, *js = json_loadb(rq->body.text ? rq->body.text : "{}",
				    rq->body.text ? rq->body.used : 2, 0, NULL);
	struct faults ft;

	if (!js)
		return standin_reply_error(rq->cn, 400, "bad JSON");
	clear_faults(&ft);
	v = json_object_get(js, "slow");
	if (v)
		ft.slow = json_number_value(v);
	ft.fail = (unsigned)json_integer_value(json_object_get(js, "fail"));
	ft.silent = json_is_true(json_object_get(js, "silent"));
	v = json_object_get(js, "cut_bytes");
	if (v)
		ft.cut_bytes = (uint64_t)json_integer_value(v);
	ft.close_reused = json_is_true(json_object_get(js, "close_reused"));
	ft.refuse = json_is_true(json_object_get(js, "refuse"));
	ft.draining = json_is_true(json_object_get(js, "draining"));
	ft.load_lag_us =
		json_integer_value(json_object_get(js, "load_lag_ms")) * 1000;
	copy_text(ft.load_lie, sizeof(ft.load_lie),
		  json_string_value(json_object_get(js, "load_lie")));
	json_decref(js);
	pthread_mutex_lock(&up->lock);
	up->fault = ft;
	set_refuse(up, ft.refuse);
	pthread_mutex_unlock(&up->lock);
	return standin_reply_json(rq->cn, 200, json_object());
}

/* Answers a request below /control. */
static enum MHD_Result control(struct upstream *up, struct request *rq,
			       const char *url)
{
	json_t *js = NULL;

	if (!strcmp(url, "/control/fault"))
		return control_fault(up, rq);
	pthread_mutex_lock(&up->lock);
	if (!strcmp(url, "/control/load"))
		js = load_json(up);
	else if (!strcmp(url, "/control/runs"))
		js = runs_json(up, (uint64_t)standin_query(rq->cn, "after", 0),
			       standin_query(rq->cn, "summary", 0) != 0);
	pthread_mutex_unlock(&up->lock);
	if (!js)
		return standin_reply_error(rq->cn, 404, "no such path");
	return standin_reply_json(rq->cn, 200, js);
}

/*
 * Starts a request whose head has been read: records the run and suspends the
 * request for good if the fault `silent` is in force.
 */
static enum MHD_Result read_head(struct upstream *up, struct request *rq,
				 const char *url, const char *method)
{
	const union MHD_ConnectionInfo *info;
	uint32_t *served;
	int ok = 1;

	if (!strncmp(url, "/control/", 9)) {
		rq->control = 1;
		return MHD_YES;
	}
	XXH64_reset(&rq->hash, 0);
	info = MHD_get_connection_info(rq->cn,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	served = info ? info->socket_context : NULL;
	if (served)
		rq->reused = (*served)++ > 0;
	record_start(up, rq, method);
	pthread_mutex_lock(&up->lock);
	rq->cut_after = up->fault.cut_bytes;
	if (up->fault.silent)
		ok = suspend(up, rq, STAGE_UNANSWERED, INT64_MAX);
	pthread_mutex_unlock(&up->lock);
	return ok ? MHD_YES : MHD_NO;
}

/* Called by MHD for the head, for each part of the body and at its end. */
static enum MHD_Result handle(void *cls, struct MHD_Connection *cn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *data_bytes, void **con_cls)
{
	struct upstream *up = cls;
	struct request *rq = *con_cls;

	(void)version;
	if (!rq->cn) {
		rq->cn = cn;
		return read_head(up, rq, url, method);
	}
	if (*data_bytes) {
		if (rq->control) {
			standin_body_add(&rq->body, data, *data_bytes);
		} else {
			XXH64_update(&rq->hash, data, *data_bytes);
			rq->bytes += *data_bytes;
		}
		*data_bytes = 0;
		return rq->client_gone ? MHD_NO : MHD_YES;
	}
	if (rq->control)
		return control(up, rq, url);
	return run_request(up, rq);
}

/* Creates a request with its target as sent: MHD decodes it for handle(). */
static void *create_request(void *cls, const char *uri,
			    struct MHD_Connection *cn)
{
	struct request *rq = calloc(1, sizeof(*rq));

	(void)cn;
	if (!rq)
		abort();
	rq->up = cls;
	copy_text(rq->target, sizeof(rq->target), uri);
	return rq;
}

/* Releases a request that MHD has finished and records the end of its run. */
static void completed(void *cls, struct MHD_Connection *cn, void **con_cls,
		      enum MHD_RequestTerminationCode toe)
{
	struct upstream *up = cls;
	struct request *rq = *con_cls;

	(void)cn;
	if (!rq)
		return;
	pthread_mutex_lock(&up->lock);
	release_slot(up, rq);
	if (rq->seq)
		record_end(up, rq, toe != MHD_REQUEST_TERMINATED_COMPLETED_OK);
	pthread_cond_signal(&up->cond);
	pthread_mutex_unlock(&up->lock);
	free(rq->body.text);
	free(rq);
	*con_cls = NULL;
}

/*
 * Counts connections. The context of each connection is the number of its
 * requests.
 */
static void connection_changed(void *cls, struct MHD_Connection *cn,
			       void **context,
			       enum MHD_ConnectionNotificationCode code)
{
	struct upstream *up = cls;

	(void)cn;
	pthread_mutex_lock(&up->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		up->connections_seen++;
		up->connections_open++;
		*context = calloc(1, sizeof(uint32_t));
	} else {
		up->connections_open--;
		free(*context);
		*context = NULL;
	}
	pthread_mutex_unlock(&up->lock);
}

/* Starts a server; 0 or 1 `threads`: no thread pool. NULL on failure. */
static struct MHD_Daemon *start_server(struct upstream *up,
				       struct sockaddr_in *sa, uint32_t threads,
				       uint32_t connections)
{
	if (threads < 2)
		threads = 0;
	return MHD_start_daemon(MHD_USE_POLL_INTERNAL_THREAD |
					MHD_ALLOW_SUSPEND_RESUME,
				0, NULL, NULL, handle, up, MHD_OPTION_SOCK_ADDR,
				sa, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
				MHD_OPTION_CONNECTION_LIMIT, connections,
				MHD_OPTION_THREAD_POOL_SIZE, threads,
				MHD_OPTION_URI_LOG_CALLBACK, create_request, up,
				MHD_OPTION_NOTIFY_COMPLETED, completed, up,
				MHD_OPTION_NOTIFY_CONNECTION,
				connection_changed, up, MHD_OPTION_END);
}

/* Starts a server on the main port. Returns 0 on failure. */
static int start_main_server(struct upstream *up)
{
	struct MHD_Daemon *dm;

	if (up->server_count == SERVERS_MAX)
		return 0;
	dm = start_server(up, &up->address, up->threads, up->connections);
	if (!dm)
		return 0;
	up->servers[up->server_count++] = dm;
	up->listening = 1;
	return 1;
}

/* Serves until a signal arrives. Returns the exit status. */
static int run(struct upstream *up, struct sockaddr_in *control_sa)
{
	sigset_t set;
	pthread_t th;
	uint32_t i;

	standin_block_signals(&set);
	if (pthread_create(&th, NULL, timer_thread, up))
		return STANDIN_EXIT_FAILURE;
	if (!start_main_server(up)) {
		fprintf(stderr, "upstream: %s: cannot listen\n", up->name);
		return STANDIN_EXIT_FAILURE;
	}
	if (control_sa->sin_port) {
		up->control = start_server(up, control_sa, 1, 16);
		if (!up->control) {
			fprintf(stderr, "upstream: --control: cannot listen\n");
			return STANDIN_EXIT_FAILURE;
		}
	}
	standin_wait_signal(&set);
	pthread_mutex_lock(&up->lock);
	up->stopping = 1;
	pthread_cond_signal(&up->cond);
	pthread_mutex_unlock(&up->lock);
	pthread_join(th, NULL);
	if (up->control)
		MHD_stop_daemon(up->control);
	for (i = 0; i < up->server_count; i++)
		MHD_stop_daemon(up->servers[i]);
	return STANDIN_EXIT_OK;
}

struct flags {
	struct arg_lit *help;
	struct arg_str *listen;
	struct arg_str *control;
	struct arg_str *name;
	struct arg_int *slots;
	struct arg_int *service;
	struct arg_int *connections;
	struct arg_int *threads;
	struct arg_int *records;
	struct arg_file *record;
	struct arg_end *end;
};

/*
 * Sets up the upstream from its flags. Returns 0 and prints a message on a
 * wrong flag or if the file of --record cannot be opened; 0 without memory.
 */
static int setup(struct upstream *up, const struct flags *fl,
		 struct sockaddr_in *control_sa)
{
	memset(control_sa, 0, sizeof(*control_sa));
	if (!standin_address(fl->listen->sval[0], &up->address) ||
	    (fl->control->count &&
	     !standin_address(fl->control->sval[0], control_sa))) {
		fprintf(stderr, "upstream: not a loopback IP:PORT\n");
		return 0;
	}
	up->name = fl->name->count ? fl->name->sval[0] : "upstream";
	up->slots = fl->slots->count ? (uint32_t)fl->slots->ival[0] : 6;
	up->service_us = fl->service->count ? fl->service->ival[0] : 0;
	up->connections = fl->connections->count
				  ? (uint32_t)fl->connections->ival[0]
				  : 200;
	up->threads = fl->threads->count ? (uint32_t)fl->threads->ival[0] : 2;
	up->record_space = fl->records->count ? (uint32_t)fl->records->ival[0]
					      : RECORDS_DEFAULT;
	up->record_fd = -1;
	if (!up->slots || !up->record_space || !up->connections ||
	    up->threads > 8) {
		fprintf(stderr, "upstream: a flag is out of range\n");
		return 0;
	}
	if (fl->record->count) {
		up->record_fd =
			open(fl->record->filename[0],
			     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
		if (up->record_fd < 0) {
			perror(fl->record->filename[0]);
			return 0;
		}
	}
	up->records = calloc(up->record_space, sizeof(*up->records));
	up->keys = calloc(KEYS_MAX, sizeof(*up->keys));
	pthread_mutex_init(&up->lock, NULL);
	standin_cond_init(&up->cond);
	clear_faults(&up->fault);
	standin_pattern_init(up->pattern);
	return up->records && up->keys;
}

int main(int argc, char **argv)
{
	struct flags fl = {
		arg_lit0("h", "help", "print this text"),
		arg_str1(NULL, "listen", "IP:PORT", "loopback address"),
		arg_str0(NULL, "control", "IP:PORT", "second control port"),
		arg_str0(NULL, "name", "NAME", "name in answers and records"),
		arg_int0(NULL, "slots", "N", "requests served at once"),
		arg_int0(NULL, "service-us", "N", "time of a request"),
		arg_int0(NULL, "connections", "N", "limit, default 200"),
		arg_int0(NULL, "threads", "N", "default 2, at most 8"),
		arg_int0(NULL, "records", "N", "runs kept, default 65536"),
		arg_file0(NULL, "record", "FILE", "append runs to a file"),
		arg_end(20),
	};
	void *table[] = { fl.help,    fl.listen,  fl.control,	  fl.name,
			  fl.slots,   fl.service, fl.connections, fl.threads,
			  fl.records, fl.record,  fl.end };
	struct upstream *up = calloc(1, sizeof(*up));
	struct sockaddr_in control_sa;
	int status;

	status = standin_args(table, fl.help, fl.end, argc, argv,
			      "Stand-in for an HTTP/1.1 upstream.");
	if (status < 0 && up) {
		status = STANDIN_EXIT_USAGE;
		if (setup(up, &fl, &control_sa))
			status = run(up, &control_sa);
		if (up->record_fd >= 0)
			close(up->record_fd);
		free(up->records);
		free(up->keys);
	}
	free(up);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status < 0 ? STANDIN_EXIT_FAILURE : status;
}
