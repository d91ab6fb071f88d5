#include <curl/curl.h>
#include <xxhash.h>

#include "standin.h"

/*
 * Load client: sends a mix of requests at a rate over keep-alive connections,
 * one thread per connection, and verifies each answer. Prints one JSON object.
 */

#define CONNECTIONS_MAX 512
#define TARGETS_MAX 256
#define ANSWER_TEXT_BYTES 1024

enum kind {
	KIND_GET = 0, /* read: the answer has deterministic bytes */
	KIND_POST,    /* POST with an idempotency key */
	KIND_UPLOAD,  /* streamed PUT without a key */
	KIND_COUNT
};

static const char *const kind_names[] = { "get", "post", "upload" };

enum error {
	ERROR_NONE = 0,
	ERROR_CONNECT,	/* connection not established */
	ERROR_CUT,	/* transfer failed before the end of the answer */
	ERROR_NOT_RUN,	/* answered Ebonypier-Outcome: not-run */
	ERROR_UNKNOWN,	/* answered Ebonypier-Outcome: unknown */
	ERROR_STATUS,	/* status is not 200 */
	ERROR_LENGTH,	/* number of bytes is wrong */
	ERROR_CHECKSUM, /* a body differs from what was sent */
	ERROR_NONCE,	/* the answer is that of another request */
	ERROR_COUNT
};

static const char *const error_names[] = {
	"none",	  "connect", "cut",	 "not_run", "unknown",
	"status", "length",  "checksum", "nonce",
};

struct options {
	const char *targets[TARGETS_MAX];
	uint32_t target_count;
	const char *paths[KIND_COUNT];
	uint32_t weights[KIND_COUNT];
	uint64_t bytes[KIND_COUNT];
	const char *key_prefix;
	uint32_t connections;
	uint32_t resends;
	double rate; /* 0: as fast as possible */
	int64_t duration_us;
	uint64_t requests; /* 0: no limit */
	uint64_t seed;
	int64_t pause_us;	/* before each resend */
	uint8_t resend_unknown; /* also resend a POST of unknown outcome */
};

/* Times of answered requests in microseconds. */
struct samples {
	uint32_t *us;
	size_t count;
	size_t space;
};

struct totals {
	uint64_t requests[KIND_COUNT];
	uint64_t ok[KIND_COUNT];
	uint64_t lost[KIND_COUNT];
	uint64_t errors[ERROR_COUNT];
	uint64_t resends;
	uint64_t connects;
	uint64_t bytes_in;
	struct samples samples[KIND_COUNT];
};

struct caller;

/* One connection and its thread. */
struct worker {
	struct caller *cl;
	CURL *cu;
	uint32_t number;
	uint64_t random;
	pthread_t thread;
	struct totals tot;
};

/* One attempt of a request. */
struct attempt {
	struct worker *wk;
	enum kind kind;
	uint64_t seed;
	uint64_t sent;
	uint64_t received;
	char nonce[24];
	char nonce_back[24];
	char outcome[16];
	char text[ANSWER_TEXT_BYTES];
	int mismatch;
	int send_count;
};

struct caller {
	struct options op;
	int64_t start_us;
	uint64_t next_request; /* its number; atomic */
	struct worker workers[CONNECTIONS_MAX];
	uint8_t pattern[STANDIN_PATTERN_BYTES];
};

/* SplitMix64. */
static uint64_t next_random(uint64_t *state)
{
	uint64_t z = *state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static void add_sample(struct samples *sm, int64_t us)
{
	size_t space = sm->space ? sm->space * 2 : 4096;
	uint32_t *more;

	if (sm->count == sm->space) {
		more = realloc(sm->us, space * sizeof(*more));
		if (!more)
			return;
		sm->us = more;
		sm->space = space;
	}
	sm->us[sm->count++] = us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;
}

/* Copies the value if the line is the header `name`, which ends with ':'. */
static void copy_header(const char *line, size_t n, const char *name, char *out,
			size_t space)
{
	size_t m = strlen(name), i = 0;

	if (n <= m || strncasecmp(line, name, m) != 0)
		return;
	for (line += m, n -= m; n && *line == ' '; n--)
		line++;
	while (i < n && i < space - 1 && line[i] != '\r' && line[i] != '\n') {
		out[i] = line[i];
		i++;
	}
	out[i] = '\0';
}

static size_t on_header(char *line, size_t one, size_t n, void *cls)
{
	struct attempt *t = cls;

	(void)one;
	copy_header(line, n, "X-Nonce:", t->nonce_back, sizeof(t->nonce_back));
	copy_header(line, n, "Ebonypier-Outcome:", t->outcome,
		    sizeof(t->outcome));
	return n;
}

static size_t on_body(char *data, size_t one, size_t n, void *cls)
{
	struct attempt *t = cls;
	size_t room = sizeof(t->text) - 1;

	(void)one;
	if (t->received < room) {
		room -= t->received;
		memcpy(t->text + t->received, data, n < room ? n : room);
	}
	if (t->kind == KIND_GET &&
	    !standin_same(t->wk->cl->pattern, t->seed, t->received,
			  (uint8_t *)data, n))
		t->mismatch = 1;
	t->received += n;
	return n;
}

static size_t on_read(char *out, size_t one, size_t n, void *cls)
{
	struct attempt *t = cls;
	uint64_t left = t->wk->cl->op.bytes[t->kind] - t->sent;

	(void)one;
	if (n > left)
		n = left;
	standin_fill(t->wk->cl->pattern, t->seed, t->sent, (uint8_t *)out, n);
	t->sent += n;
	return n;
}

/*
 * Stops libcurl from sending a POST or an upload again on its own after a
 * reused connection was closed: that could be a second run of one request.
 */
static int before_send(void *cls, char *ip, char *local_ip, int port,
		       int local_port)
{
	struct attempt *t = cls;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	return t->kind != KIND_GET && t->send_count++ ? CURL_PREREQFUNC_ABORT
						      : CURL_PREREQFUNC_OK;
}

/* Returns the XXH64 of the whole request body. */
static uint64_t sent_hash(struct attempt *t)
{
	uint64_t at, n, left = t->wk->cl->op.bytes[t->kind];
	uint8_t block[4096];
	XXH64_state_t *hash = XXH64_createState();

	XXH64_reset(hash, 0);
	for (at = 0; at < left; at += n) {
		n = left - at < sizeof(block) ? left - at : sizeof(block);
		standin_fill(t->wk->cl->pattern, t->seed, at, block, n);
		XXH64_update(hash, block, n);
	}
	at = XXH64_digest(hash);
	XXH64_freeState(hash);
	return at;
}

/* Verifies the JSON answer to a POST or an upload. */
static enum error check_json(struct attempt *t)
{
	uint64_t bytes = t->wk->cl->op.bytes[t->kind];
	enum error er = ERROR_NONE;
	const char *text;
	char sum[17];
	json_t *js;

	if (t->received >= sizeof(t->text))
		return ERROR_LENGTH;
	js = json_loadb(t->text, t->received, 0, NULL);
	snprintf(sum, sizeof(sum), "%016llx", (unsigned long long)sent_hash(t));
	text = json_string_value(json_object_get(js, "nonce"));
	if (!text || strcmp(text, t->nonce) != 0)
		er = ERROR_NONCE;
	text = json_string_value(json_object_get(js, "checksum"));
	if (!text || strcmp(text, sum) != 0)
		er = ERROR_CHECKSUM;
	if ((uint64_t)json_integer_value(json_object_get(js, "length")) !=
	    bytes)
		er = ERROR_LENGTH;
	json_decref(js);
	return er;
}

/* Returns the error of an attempt by its transfer and its answer. */
static enum error classify(struct attempt *t, CURLcode code, long status)
{
	if (code == CURLE_COULDNT_CONNECT)
		return ERROR_CONNECT;
	if (code != CURLE_OK)
		return ERROR_CUT;
	if (!strcmp(t->outcome, "not-run"))
		return ERROR_NOT_RUN;
	if (!strcmp(t->outcome, "unknown"))
		return ERROR_UNKNOWN;
	if (status != 200)
		return ERROR_STATUS;
	if (strcmp(t->nonce, t->nonce_back) != 0)
		return ERROR_NONCE;
	if (t->kind != KIND_GET)
		return check_json(t);
	if (t->received != t->wk->cl->op.bytes[KIND_GET])
		return ERROR_LENGTH;
	return t->mismatch ? ERROR_CHECKSUM : ERROR_NONE;
}

static void set_body(CURL *cu, struct attempt *t)
{
	const struct options *op = &t->wk->cl->op;

	curl_easy_setopt(cu, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(cu, CURLOPT_READDATA, t);
	curl_easy_setopt(cu, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(cu, CURLOPT_PREREQDATA, t);
	if (t->kind == KIND_POST) {
		curl_easy_setopt(cu, CURLOPT_POST, 1L);
		curl_easy_setopt(cu, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)op->bytes[KIND_POST]);
	} else {
		curl_easy_setopt(cu, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(cu, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)op->bytes[KIND_UPLOAD]);
	}
}

/* Makes one attempt of a request, at target `to`. Returns its error. */
static enum error send_once(struct worker *wk, enum kind kind, uint64_t number,
			    uint32_t to)
{
	const struct options *op = &wk->cl->op;
	struct attempt t = { .wk = wk, .kind = kind };
	struct curl_slist *hs = NULL;
	char url[512], line[160];
	CURL *cu = wk->cu;
	long status = 0, connects = 0;
	CURLcode code;

	t.seed = next_random(&wk->random) % STANDIN_PATTERN_BYTES;
	snprintf(t.nonce, sizeof(t.nonce), "%016llx",
		 (unsigned long long)next_random(&wk->random));
	snprintf(line, sizeof(line), "X-Nonce: %s", t.nonce);
	hs = curl_slist_append(hs, line);
	hs = curl_slist_append(hs, "Expect:");
	snprintf(url, sizeof(url), "http://%s%s", op->targets[to],
		 op->paths[kind]);
	curl_easy_reset(cu);
	if (kind == KIND_GET) {
		snprintf(url, sizeof(url), "http://%s%s?bytes=%llu&seed=%llu",
			 op->targets[to], op->paths[kind],
			 (unsigned long long)op->bytes[kind],
			 (unsigned long long)t.seed);
	} else {
		snprintf(line, sizeof(line), "Idempotency-Key: %s-%llu",
			 op->key_prefix, (unsigned long long)number);
		if (kind == KIND_POST)
			hs = curl_slist_append(hs, line);
		set_body(cu, &t);
	}
	curl_easy_setopt(cu, CURLOPT_URL, url);
	curl_easy_setopt(cu, CURLOPT_HTTPHEADER, hs);
	curl_easy_setopt(cu, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(cu, CURLOPT_PROXY, "");
	curl_easy_setopt(cu, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(cu, CURLOPT_HEADERDATA, &t);
	curl_easy_setopt(cu, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(cu, CURLOPT_WRITEDATA, &t);
	code = curl_easy_perform(cu);
	curl_easy_getinfo(cu, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(cu, CURLINFO_NUM_CONNECTS, &connects);
	curl_slist_free_all(hs);
	wk->tot.connects += (uint64_t)connects;
	wk->tot.bytes_in += t.received;
	return classify(&t, code, status);
}

/*
 * Returns 1 if a failed attempt may be resent: it did not run, it is a GET, or
 * it is a POST whose key prevents a second run (with `resend_unknown`).
 */
static int may_resend(const struct options *op, enum kind kind, enum error er)
{
	if (er == ERROR_NOT_RUN || er == ERROR_CONNECT)
		return 1;
	if (kind == KIND_GET)
		return 1;
	return kind == KIND_POST && op->resend_unknown &&
	       (er == ERROR_UNKNOWN || er == ERROR_CUT);
}

/* Picks a kind at random by the weights of the mix. */
static enum kind pick_kind(struct worker *wk)
{
	const struct options *op = &wk->cl->op;
	uint32_t sum = 0, i, at;

	for (i = 0; i < KIND_COUNT; i++)
		sum += op->weights[i];
	at = (uint32_t)(next_random(&wk->random) % sum);
	for (i = 0; at >= op->weights[i]; i++)
		at -= op->weights[i];
	return (enum kind)i;
}

/*
 * Sends a request, and resends it to the next target after a failure while
 * may_resend() and the limit of resends allow it. The time of an answered
 * request counts from `start`, in microseconds.
 */
static void send_request(struct worker *wk, uint64_t number, int64_t start)
{
	const struct options *op = &wk->cl->op;
	uint32_t to = wk->number % op->target_count, attempts;
	enum kind kind = pick_kind(wk);
	enum error er = ERROR_NONE;

	wk->tot.requests[kind]++;
	for (attempts = 0;; attempts++) {
		er = send_once(wk, kind, number, to);
		if (er == ERROR_NONE)
			break;
		wk->tot.errors[er]++;
		if (attempts >= op->resends || !may_resend(op, kind, er))
			break;
		wk->tot.resends++;
		to = (to + 1) % op->target_count;
		usleep((useconds_t)op->pause_us);
	}
	if (er == ERROR_NONE) {
		wk->tot.ok[kind]++;
		add_sample(&wk->tot.samples[kind], standin_now_us() - start);
	} else {
		wk->tot.lost[kind]++;
	}
}

/* Sleeps until the time `us`. Returns 0 at once if it has passed. */
static int sleep_until(int64_t us)
{
	struct timespec ts = { us / 1000000, us % 1000000 * 1000 };

	if (standin_now_us() >= us)
		return 0;
	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL))
		;
	return 1;
}

/*
 * Sends requests until the duration or the number of requests is reached. The
 * time of a request that starts late because all connections were busy counts
 * from when it was due.
 */
static void *worker_thread(void *arg)
{
	struct worker *wk = arg;
	const struct options *op = &wk->cl->op;
	int64_t due, end = wk->cl->start_us + op->duration_us;
	uint64_t n;

	prctl(PR_SET_TIMERSLACK, 1000UL);
	for (;;) {
		n = __atomic_fetch_add(&wk->cl->next_request, 1,
				       __ATOMIC_RELAXED);
		if (op->requests && n >= op->requests)
			break;
		due = standin_now_us();
		if (op->rate > 0) {
			due = wk->cl->start_us +
			      (int64_t)((double)n * 1e6 / op->rate);
			if (op->duration_us && due >= end)
				break;
			if (sleep_until(due))
				due = standin_now_us();
		} else if (op->duration_us && due >= end) {
			break;
		}
		send_request(wk, n, due);
	}
	return NULL;
}

static int compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static json_int_t quantile(const struct samples *sm, double q)
{
	size_t i = (size_t)((double)sm->count * q);

	if (!sm->count)
		return 0;
	return sm->us[i < sm->count ? i : sm->count - 1];
}

static void append_samples(struct samples *to, const struct samples *from)
{
	size_t i;

	for (i = 0; i < from->count; i++)
		add_sample(to, from->us[i]);
}

static void add_quantiles(json_t *js, struct samples *sm)
{
	if (sm->count)
		qsort(sm->us, sm->count, sizeof(*sm->us), compare_us);
	json_object_set_new(js, "p50_us", json_integer(quantile(sm, 0.5)));
	json_object_set_new(js, "p99_us", json_integer(quantile(sm, 0.99)));
	json_object_set_new(js, "p999_us", json_integer(quantile(sm, 0.999)));
	json_object_set_new(js, "max_us", json_integer(quantile(sm, 1)));
}

static void add_totals(struct totals *sum, const struct totals *tot)
{
	uint32_t i;

	for (i = 0; i < KIND_COUNT; i++) {
		sum->requests[i] += tot->requests[i];
		sum->ok[i] += tot->ok[i];
		sum->lost[i] += tot->lost[i];
		append_samples(&sum->samples[i], &tot->samples[i]);
	}
	for (i = 0; i < ERROR_COUNT; i++)
		sum->errors[i] += tot->errors[i];
	sum->resends += tot->resends;
	sum->connects += tot->connects;
	sum->bytes_in += tot->bytes_in;
}

/* Returns the report on the requests of all workers. */
static json_t *report(struct caller *cl)
{
	json_t *js = json_object(), *errors = json_object(), *part;
	struct totals sum = { 0 };
	struct samples all = { 0 };
	uint64_t requests = 0, ok = 0, lost = 0;
	int64_t elapsed = standin_now_us() - cl->start_us;
	uint32_t i;

	for (i = 0; i < cl->op.connections; i++)
		add_totals(&sum, &cl->workers[i].tot);
	for (i = 0; i < KIND_COUNT; i++) {
		requests += sum.requests[i];
		ok += sum.ok[i];
		lost += sum.lost[i];
		append_samples(&all, &sum.samples[i]);
		part = json_pack("{s:I,s:I,s:I}", "requests",
				 (json_int_t)sum.requests[i], "ok",
				 (json_int_t)sum.ok[i], "lost",
				 (json_int_t)sum.lost[i]);
		add_quantiles(part, &sum.samples[i]);
		json_object_set_new(js, kind_names[i], part);
	}
	for (i = 1; i < ERROR_COUNT; i++)
		json_object_set_new(errors, error_names[i],
				    json_integer((json_int_t)sum.errors[i]));
	json_object_set_new(js, "errors", errors);
	json_object_set_new(js, "requests", json_integer((json_int_t)requests));
	json_object_set_new(js, "ok", json_integer((json_int_t)ok));
	json_object_set_new(js, "lost", json_integer((json_int_t)lost));
	json_object_set_new(js, "resends",
			    json_integer((json_int_t)sum.resends));
	json_object_set_new(js, "connects",
			    json_integer((json_int_t)sum.connects));
	json_object_set_new(js, "bytes_in",
			    json_integer((json_int_t)sum.bytes_in));
	json_object_set_new(js, "elapsed_ms", json_integer(elapsed / 1000));
	json_object_set_new(
		js, "per_s",
		json_integer((json_int_t)((double)ok * 1e6 / (double)elapsed)));
	add_quantiles(js, &all);
	free(all.us);
	for (i = 0; i < KIND_COUNT; i++)
		free(sum.samples[i].us);
	return js;
}

static size_t on_text(char *data, size_t one, size_t n, void *cls)
{
	(void)one;
	standin_body_add(cls, data, n);
	return n;
}

/* Reads a path of a control or admin port into a malloced text, "" on failure.
 */
static char *fetch(const char *address, const char *path)
{
	struct standin_body body = { 0 };
	CURL *cu = curl_easy_init();
	char url[256];

	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(cu, CURLOPT_URL, url);
	curl_easy_setopt(cu, CURLOPT_PROXY, "");
	curl_easy_setopt(cu, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(cu, CURLOPT_WRITEFUNCTION, on_text);
	curl_easy_setopt(cu, CURLOPT_WRITEDATA, &body);
	curl_easy_perform(cu);
	curl_easy_cleanup(cu);
	return body.text ? body.text : strdup("");
}

/*
 * Adds up the executions of this caller's keys over all upstreams. Returns how
 * many keys were executed once and how many more often.
 */
static json_t *executions(const struct caller *cl, struct arg_str *controls)
{
	json_t *sum = json_object(), *js, *v;
	json_int_t once = 0, more = 0, n;
	size_t prefix = strlen(cl->op.key_prefix);
	const char *key;
	char *text;
	int i;

	for (i = 0; i < controls->count; i++) {
		text = fetch(controls->sval[i], "/control/runs?summary=1");
		js = json_loads(text, 0, NULL);
		json_object_foreach(json_object_get(js, "keys"), key, v)
		{
			n = json_integer_value(json_object_get(sum, key));
			n += json_integer_value(v);
			if (!strncmp(key, cl->op.key_prefix, prefix) &&
			    key[prefix] == '-')
				json_object_set_new(sum, key, json_integer(n));
		}
		json_decref(js);
		free(text);
	}
	json_object_foreach(sum, key, v)
	{
		once += json_integer_value(v) == 1;
		more += json_integer_value(v) > 1;
	}
	json_decref(sum);
	return json_pack("{s:I,s:I}", "once", once, "more", more);
}

/* Returns the sums of the daemons' metrics, without prefix and buckets. */
static json_t *daemon_metrics(struct arg_str *admins)
{
	json_t *sum = json_object();
	char *text, *line, *save, *space, name[128];
	json_int_t n;
	int i;

	for (i = 0; i < admins->count; i++) {
		text = fetch(admins->sval[i], "/metrics");
		for (line = strtok_r(text, "\n", &save); line;
		     line = strtok_r(NULL, "\n", &save)) {
			space = strrchr(line, ' ');
			if (!space || strncmp(line, "ebonypier_", 10) != 0 ||
			    strstr(line, "{le="))
				continue;
			snprintf(name, sizeof(name), "%.*s",
				 (int)(space - line - 10), line + 10);
			n = json_integer_value(json_object_get(sum, name));
			n += strtoll(space, NULL, 10);
			json_object_set_new(sum, name, json_integer(n));
		}
		free(text);
	}
	return sum;
}

struct flags {
	struct arg_lit *help;
	struct arg_str *target;
	struct arg_int *connections;
	struct arg_dbl *rate;
	struct arg_int *duration;
	struct arg_int *requests;
	struct arg_str *mix;
	struct arg_str *paths[KIND_COUNT];
	struct arg_dbl *bytes[KIND_COUNT];
	struct arg_int *resends;
	struct arg_int *pause;
	struct arg_lit *resend_unknown;
	struct arg_int *seed;
	struct arg_str *key_prefix;
	struct arg_str *controls;
	struct arg_str *admins;
	struct arg_end *end;
};

/* Reads the options from the flags. Returns 0 on a usage error. */
static int setup(struct options *op, const struct flags *fl)
{
	static const uint64_t bytes[] = { 512, 256, 1 << 20 };
	struct sockaddr_in sa;
	unsigned w[KIND_COUNT];
	int i;

	for (i = 0; i < fl->target->count; i++) {
		if (!standin_address(fl->target->sval[i], &sa))
			return 0;
		op->targets[op->target_count++] = fl->target->sval[i];
	}
	if (sscanf(fl->mix->count ? fl->mix->sval[0] : "1,0,0", "%u,%u,%u",
		   &w[0], &w[1], &w[2]) != KIND_COUNT ||
	    !(w[0] + w[1] + w[2]))
		return 0;
	for (i = 0; i < KIND_COUNT; i++) {
		op->weights[i] = w[i];
		op->paths[i] =
			fl->paths[i]->count ? fl->paths[i]->sval[0] : "/";
		op->bytes[i] = fl->bytes[i]->count
				       ? (uint64_t)fl->bytes[i]->dval[0]
				       : bytes[i];
	}
	op->connections =
		fl->connections->count ? (uint32_t)fl->connections->ival[0] : 8;
	op->rate = fl->rate->count ? fl->rate->dval[0] : 0;
	op->duration_us =
		fl->duration->count ? (int64_t)fl->duration->ival[0] * 1000 : 0;
	op->requests =
		fl->requests->count ? (uint64_t)fl->requests->ival[0] : 0;
	op->resends = fl->resends->count ? (uint32_t)fl->resends->ival[0] : 0;
	op->pause_us =
		fl->pause->count ? (int64_t)fl->pause->ival[0] * 1000 : 50000;
	op->resend_unknown = fl->resend_unknown->count > 0;
	op->seed = fl->seed->count ? (uint64_t)fl->seed->ival[0] : 1;
	op->key_prefix =
		fl->key_prefix->count ? fl->key_prefix->sval[0] : "caller";
	return op->connections && op->connections <= CONNECTIONS_MAX &&
	       (op->duration_us || op->requests);
}

/*
 * Runs the load and prints the report. Returns the exit status, which is
 * STANDIN_EXIT_FAILURE if a request was lost: its last attempt failed.
 */
static int run(struct caller *cl, const struct flags *fl)
{
	struct worker *wk;
	json_t *js;
	char *text;
	uint32_t i;
	int lost;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	standin_pattern_init(cl->pattern);
	cl->start_us = standin_now_us();
	for (i = 0; i < cl->op.connections; i++) {
		wk = &cl->workers[i];
		wk->cl = cl;
		wk->number = i;
		wk->random = cl->op.seed * 1000003 + i;
		wk->cu = curl_easy_init();
		if (!wk->cu ||
		    pthread_create(&wk->thread, NULL, worker_thread, wk))
			return STANDIN_EXIT_FAILURE;
	}
	for (i = 0; i < cl->op.connections; i++)
		pthread_join(cl->workers[i].thread, NULL);
	js = report(cl);
	if (fl->controls->count)
		json_object_set_new(js, "executions",
				    executions(cl, fl->controls));
	if (fl->admins->count)
		json_object_set_new(js, "daemons", daemon_metrics(fl->admins));
	text = json_dumps(js, JSON_COMPACT);
	puts(text ? text : "{}");
	lost = json_integer_value(json_object_get(js, "lost")) > 0;
	free(text);
	json_decref(js);
	for (i = 0; i < cl->op.connections; i++) {
		wk = &cl->workers[i];
		curl_easy_cleanup(wk->cu);
		free(wk->tot.samples[KIND_GET].us);
		free(wk->tot.samples[KIND_POST].us);
		free(wk->tot.samples[KIND_UPLOAD].us);
	}
	curl_global_cleanup();
	return lost ? STANDIN_EXIT_FAILURE : STANDIN_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct flags fl = {
		arg_lit0("h", "help", "print this text"),
		arg_strn(NULL, "target", "IP:PORT", 1, TARGETS_MAX,
			 "daemon or upstream"),
		arg_int0(NULL, "connections", "N", "default 8"),
		arg_dbl0(NULL, "rate", "N", "requests/s; default no limit"),
		arg_int0(NULL, "duration-ms", "N", "time of the load"),
		arg_int0(NULL, "requests", "N", "number of requests"),
		arg_str0(NULL, "mix", "GET,POST,UPLOAD",
			 "weights, default 1,0,0"),
		{ arg_str0(NULL, "get", "PATH", "path of reads"),
		  arg_str0(NULL, "post", "PATH", "path of bookings"),
		  arg_str0(NULL, "upload", "PATH", "path of uploads") },
		{ arg_dbl0(NULL, "get-bytes", "N", "default 512"),
		  arg_dbl0(NULL, "post-bytes", "N", "default 256"),
		  arg_dbl0(NULL, "upload-bytes", "N", "default 1 MiB") },
		arg_int0(NULL, "resends", "N",
			 "of requests that did not run, default 0"),
		arg_int0(NULL, "pause-ms", "N", "before a resend, default 50"),
		arg_lit0(NULL, "resend-unknown",
			 "resend keyed bookings of unknown outcome too"),
		arg_int0(NULL, "seed", "N", "default 1"),
		arg_str0(NULL, "key-prefix", "TEXT", "of idempotency keys"),
		arg_strn(NULL, "upstream-control", "IP:PORT", 0, TARGETS_MAX,
			 "count executions there"),
		arg_strn(NULL, "admin", "IP:PORT", 0, TARGETS_MAX,
			 "add up metrics from there"),
		arg_end(20),
	};
	void *table[] = {
		fl.help,     fl.target,	    fl.connections, fl.rate,
		fl.duration, fl.requests,   fl.mix,	    fl.paths[0],
		fl.paths[1], fl.paths[2],   fl.bytes[0],    fl.bytes[1],
		fl.bytes[2], fl.resends,    fl.pause,	    fl.resend_unknown,
		fl.seed,     fl.key_prefix, fl.controls,    fl.admins,
		fl.end
	};
	struct caller *cl = calloc(1, sizeof(*cl));
	int status;

	status = standin_args(table, fl.help, fl.end, argc, argv,
			      "Load client; exits with 1 if a request was "
			      "lost.");
	if (status < 0 && cl) {
		if (setup(&cl->op, &fl)) {
			status = run(cl, &fl);
		} else {
			fprintf(stderr, "caller: a flag is out of range\n");
			status = STANDIN_EXIT_USAGE;
		}
	}
	free(cl);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status < 0 ? STANDIN_EXIT_FAILURE : status;
}
