#include "standin.h"

/*
 * Stand-in for the platform: the configuration service and the list of VMs.
 * Daemons read the paths below /v1. Tests use those below /control to act as
 * operators and to set faults.
 */

#define NOTES_MAX 4096
#define SUSPENDED_MAX 4096
#define VMS_MAX 32768
#define NOTES_REPLY_MAX_BYTES (1 << 20)
#define WAIT_MAX_MS 60000

/* A VM. A change of its state becomes visible after `vms_lag_us`. */
struct vm {
	char address[32];
	char state[8];
	char next[8]; /* state from `next_us` on, "": no change */
	int64_t next_us;
};

struct request {
	struct platform *pf;
	struct MHD_Connection *cn;
	struct standin_body body;
	int64_t until_us; /* end of the suspension */
	uint64_t after;	  /* index of the last note that the reader has */
	uint8_t long_poll;
	uint8_t was_suspended;
};

struct platform {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct MHD_Daemon *server;
	char *notes[NOTES_MAX];
	uint32_t note_count;
	struct vm *vms;
	uint32_t vm_count;
	struct request *suspended[SUSPENDED_MAX];
	uint32_t suspended_count;
	uint8_t stopping;
	uint8_t down;
	int64_t stale; /* number of notes that readers see, -1: all */
	int64_t delay_us;
	int64_t vms_lag_us;
	uint64_t notes_calls;
	uint64_t vms_calls;
	uint64_t refused; /* past SUSPENDED_MAX */
	int64_t started_us;
};

/* Returns how many notes readers see now. Locked. */
static uint32_t visible_note_count(const struct platform *pf)
{
	if (pf->stale >= 0 && (uint64_t)pf->stale < pf->note_count)
		return (uint32_t)pf->stale;
	return pf->note_count;
}

/*
 * Appends a release note of `n` bytes. Returns its index, or 0 if it is not
 * JSON, longer than a reply allows or past NOTES_MAX.
 */
static uint32_t publish(struct platform *pf, const char *text, size_t n)
{
	json_t *js = text ? json_loadb(text, n, JSON_DECODE_ANY, NULL) : NULL;
	uint32_t index = 0;

	json_decref(js);
	if (!js || n > NOTES_REPLY_MAX_BYTES - 128)
		return 0;
	pthread_mutex_lock(&pf->lock);
	if (pf->note_count < NOTES_MAX) {
		pf->notes[pf->note_count] = strndup(text, n);
		if (pf->notes[pf->note_count])
			index = ++pf->note_count;
	}
	pthread_cond_signal(&pf->cond);
	pthread_mutex_unlock(&pf->lock);
	return index;
}

/*
 * Returns the reply with the notes after `after`, as many as fit into
 * NOTES_REPLY_MAX_BYTES, but at least one. Its `index` is that of the last note
 * in it, so that a reader continues from there. Sets `bytes` to the length.
 * NULL without memory. Locked.
 */
static char *notes_text(struct platform *pf, uint64_t after, size_t *bytes)
{
	uint32_t i, end_index, last = visible_note_count(pf);
	size_t space = 64;
	char *text, *at;

	end_index = last;
	for (i = after < last ? (uint32_t)after : last; i < last; i++) {
		if (space + strlen(pf->notes[i]) + 64 > NOTES_REPLY_MAX_BYTES &&
		    i > after) {
			end_index = i;
			break;
		}
		space += strlen(pf->notes[i]) + 64;
	}
	text = malloc(space);
	if (!text)
		return NULL;
	at = text + sprintf(text, "{\"index\":%u,\"notes\":[", end_index);
	for (i = after < end_index ? (uint32_t)after : end_index; i < end_index;
	     i++)
		at += sprintf(at, "%s{\"index\":%u,\"note\":%s}",
			      i > after ? "," : "", i + 1, pf->notes[i]);
	at += sprintf(at, "]}");
	*bytes = (size_t)(at - text);
	return text;
}

/*
 * Suspends a request until `until_us` or, with `long_poll`, until there is a
 * new note. Returns MHD_NO if SUSPENDED_MAX requests are suspended. Locked.
 */
static enum MHD_Result suspend(struct platform *pf, struct request *rq,
			       int64_t until_us)
{
	if (pf->suspended_count == SUSPENDED_MAX) {
		pf->refused++;
		return MHD_NO;
	}
	rq->until_us = until_us;
	rq->was_suspended = 1;
	pf->suspended[pf->suspended_count++] = rq;
	MHD_suspend_connection(rq->cn);
	pthread_cond_signal(&pf->cond);
	return MHD_YES;
}

/* Thread that resumes requests when they are due or a fault closes them. */
static void *resume_thread(void *arg)
{
	struct platform *pf = arg;
	struct request *rq;
	int64_t now, next;
	uint32_t i;

	pthread_mutex_lock(&pf->lock);
	while (!pf->stopping || pf->suspended_count) {
		now = standin_now_us();
		next = INT64_MAX;
		for (i = 0; i < pf->suspended_count;) {
			rq = pf->suspended[i];
			if (pf->stopping || pf->down || now >= rq->until_us ||
			    (rq->long_poll &&
			     rq->after < visible_note_count(pf))) {
				pf->suspended[i] =
					pf->suspended[--pf->suspended_count];
				MHD_resume_connection(rq->cn);
				continue;
			}
			if (rq->until_us < next)
				next = rq->until_us;
			i++;
		}
		if (!pf->stopping)
			standin_cond_wait(&pf->cond, &pf->lock, next);
	}
	pthread_mutex_unlock(&pf->lock);
	return NULL;
}

/*
 * Returns the list of VMs that are live or leaving, after applying the state
 * changes that are due. Locked.
 */
static json_t *vms_json(struct platform *pf)
{
	json_t *list = json_array();
	int64_t now = standin_now_us();
	struct vm *vm;
	uint32_t i;

	for (i = 0; i < pf->vm_count; i++) {
		vm = &pf->vms[i];
		if (vm->next[0] && now >= vm->next_us) {
			memcpy(vm->state, vm->next, sizeof(vm->state));
			vm->next[0] = '\0';
		}
		if (!strcmp(vm->state, "live") || !strcmp(vm->state, "leaving"))
			json_array_append_new(list,
					      json_pack("{s:s,s:s}", "address",
							vm->address, "state",
							vm->state));
	}
	return json_pack("{s:o}", "vms", list);
}

/*
 * Sets the state of a VM, visible after `vms_lag_us`; adds an unknown VM.
 * Returns 0 if a text is missing or too long or VMS_MAX is reached. Locked.
 */
static int set_vm(struct platform *pf, const char *address, const char *state)
{
	struct vm *vm = NULL;
	uint32_t i;

	if (!address || !state || strlen(address) >= sizeof(vm->address) ||
	    strlen(state) >= sizeof(vm->state))
		return 0;
	for (i = 0; i < pf->vm_count && !vm; i++)
		if (!strcmp(pf->vms[i].address, address))
			vm = &pf->vms[i];
	if (!vm) {
		if (pf->vm_count == VMS_MAX)
			return 0;
		vm = &pf->vms[pf->vm_count++];
		memset(vm, 0, sizeof(*vm));
		memcpy(vm->address, address, strlen(address) + 1);
	}
	memcpy(vm->next, state, strlen(state) + 1);
	vm->next_us = standin_now_us() + pf->vms_lag_us;
	return 1;
}

/* Sets the state of a VM: {"address":A,"state":S}. */
static enum MHD_Result control_vm(struct platform *pf, struct request *rq)
{
	json_t *js = json_loadb(rq->body.text ? rq->body.text : "",
				rq->body.used, 0, NULL);
	int ok;

	pthread_mutex_lock(&pf->lock);
	ok = set_vm(pf, json_string_value(json_object_get(js, "address")),
		    json_string_value(json_object_get(js, "state")));
	pthread_mutex_unlock(&pf->lock);
	json_decref(js);
	if (!ok)
		return standin_reply_error(rq->cn, 400, "bad vm");
	return standin_reply_json(rq->cn, 200, json_object());
}

/*
 * Replaces the faults in force with those of a JSON object, {} for none:
 * down: close connections without an answer
 * stale: only this many notes are visible
 * delay_ms: time until an answer
 * vms_lag_ms: time until a change of a VM is visible in the list
 */
static enum MHD_Result control_fault(struct platform *pf, struct request *rq)
{
	json_t *v, *js = json_loadb(rq->body.text ? rq->body.text : "{}",
				    rq->body.text ? rq->body.used : 2, 0, NULL);

	if (!js)
		return standin_reply_error(rq->cn, 400, "bad JSON");
	pthread_mutex_lock(&pf->lock);
	pf->down = json_is_true(json_object_get(js, "down"));
	v = json_object_get(js, "stale");
	pf->stale = v ? json_integer_value(v) : -1;
	v = json_object_get(js, "delay_ms");
	pf->delay_us = json_integer_value(v) * 1000;
	v = json_object_get(js, "vms_lag_ms");
	pf->vms_lag_us = json_integer_value(v) * 1000;
	pthread_cond_signal(&pf->cond);
	pthread_mutex_unlock(&pf->lock);
	json_decref(js);
	return standin_reply_json(rq->cn, 200, json_object());
}

/* Answers a request below /control. */
static enum MHD_Result control(struct platform *pf, struct request *rq,
			       const char *url, int post)
{
	json_int_t up_ms = (standin_now_us() - pf->started_us) / 1000;
	uint32_t index;
	json_t *js;

	if (post && !strcmp(url, "/control/publish")) {
		index = publish(pf, rq->body.text, rq->body.used);
		if (!index || rq->body.too_long)
			return standin_reply_error(rq->cn, 400, "bad note");
		return standin_reply_json(
			rq->cn, 200, json_pack("{s:i}", "index", (int)index));
	}
	if (post && !strcmp(url, "/control/vm"))
		return control_vm(pf, rq);
	if (post && !strcmp(url, "/control/fault"))
		return control_fault(pf, rq);
	if (!post && !strcmp(url, "/control/stats")) {
		pthread_mutex_lock(&pf->lock);
		js = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "calls",
			       (json_int_t)pf->notes_calls +
				       (json_int_t)pf->vms_calls,
			       "notes_calls", (json_int_t)pf->notes_calls,
			       "vms_calls", (json_int_t)pf->vms_calls,
			       "watching", (json_int_t)pf->suspended_count,
			       "refused", (json_int_t)pf->refused, "index",
			       (json_int_t)pf->note_count, "uptime_ms", up_ms);
		pthread_mutex_unlock(&pf->lock);
		return standin_reply_json(rq->cn, 200, js);
	}
	return standin_reply_error(rq->cn, 404, "no such path");
}

/*
 * Answers a read of /v1/notes or /v1/vms, or suspends it: a long poll without
 * new notes, or any read with `delay_ms`. Called again on resumption. Locked.
 */
static enum MHD_Result answer_read(struct platform *pf, struct request *rq,
				   const char *url)
{
	int64_t now = standin_now_us();
	int notes = !strcmp(url, "/v1/notes");
	int64_t wait_ms = notes ? standin_query(rq->cn, "wait_ms", 0) : 0;
	int64_t after = notes ? standin_query(rq->cn, "after", 0) : 0;
	size_t bytes;
	char *text;

	if (!rq->was_suspended) {
		if (notes)
			pf->notes_calls++;
		else
			pf->vms_calls++;
		rq->after = after > 0 ? (uint64_t)after : 0;
		if (wait_ms > WAIT_MAX_MS)
			wait_ms = WAIT_MAX_MS;
		rq->long_poll = notes && wait_ms > 0;
	}
	if (pf->down || pf->stopping)
		return MHD_NO;
	if (!rq->was_suspended && rq->long_poll &&
	    rq->after >= visible_note_count(pf))
		return suspend(pf, rq, now + wait_ms * 1000 + pf->delay_us);
	if (!rq->was_suspended && pf->delay_us) {
		rq->long_poll = 0;
		return suspend(pf, rq, now + pf->delay_us);
	}
	if (!notes)
		return standin_reply_json(rq->cn, 200, vms_json(pf));
	text = notes_text(pf, rq->after, &bytes);
	if (!text)
		return MHD_NO;
	return standin_reply_text(rq->cn, 200, text, bytes);
}

/* Called by MHD for the head, for each part of the body and at its end. */
static enum MHD_Result handle(void *cls, struct MHD_Connection *cn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *data_bytes, void **con_cls)
{
	struct platform *pf = cls;
	struct request *rq = *con_cls;
	int post = !strcmp(method, "POST");
	enum MHD_Result ok;

	(void)version;
	if (!rq) {
		rq = calloc(1, sizeof(*rq));
		if (!rq)
			return MHD_NO;
		rq->pf = pf;
		rq->cn = cn;
		*con_cls = rq;
		return MHD_YES;
	}
	if (*data_bytes) {
		standin_body_add(&rq->body, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (!strncmp(url, "/control/", 9))
		return control(pf, rq, url, post);
	if (strcmp(method, "GET") != 0)
		return standin_reply_error(cn, 405, "read only");
	if (strcmp(url, "/v1/notes") != 0 && strcmp(url, "/v1/vms") != 0)
		return standin_reply_error(cn, 404, "no such path");
	pthread_mutex_lock(&pf->lock);
	ok = answer_read(pf, rq, url);
	pthread_mutex_unlock(&pf->lock);
	return ok;
}

static void completed(void *cls, struct MHD_Connection *cn, void **con_cls,
		      enum MHD_RequestTerminationCode toe)
{
	struct request *rq = *con_cls;

	(void)cls;
	(void)cn;
	(void)toe;
	if (!rq)
		return;
	free(rq->body.text);
	free(rq);
	*con_cls = NULL;
}

/* Publishes the release note in a file. Returns 0 and prints an error. */
static int publish_file(struct platform *pf, const char *path)
{
	FILE *in = fopen(path, "re");
	char *text = malloc(NOTES_REPLY_MAX_BYTES);
	size_t n = 0;

	if (in && text)
		n = fread(text, 1, NOTES_REPLY_MAX_BYTES, in);
	if (in)
		fclose(in);
	if (!n || !publish(pf, text, n)) {
		fprintf(stderr, "platform: %s: not a release note\n", path);
		n = 0;
	}
	free(text);
	return n > 0;
}

/* Serves until a signal arrives. Returns the exit status. */
static int run(struct platform *pf, const char *listen_text)
{
	struct sockaddr_in sa;
	sigset_t set;
	pthread_t th;

	if (!standin_address(listen_text, &sa)) {
		fprintf(stderr, "platform: --listen: not a loopback IP:PORT\n");
		return STANDIN_EXIT_USAGE;
	}
	standin_block_signals(&set);
	pf->started_us = standin_now_us();
	pf->server = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, handle, pf, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)SUSPENDED_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
	if (!pf->server) {
		fprintf(stderr, "platform: cannot listen on %s\n", listen_text);
		return STANDIN_EXIT_FAILURE;
	}
	if (pthread_create(&th, NULL, resume_thread, pf))
		return STANDIN_EXIT_FAILURE;
	standin_wait_signal(&set);
	pthread_mutex_lock(&pf->lock);
	pf->stopping = 1;
	pthread_cond_signal(&pf->cond);
	pthread_mutex_unlock(&pf->lock);
	pthread_join(th, NULL);
	MHD_stop_daemon(pf->server);
	return STANDIN_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_str *at = arg_str1(NULL, "listen", "IP:PORT",
				      "loopback address to serve");
	struct arg_file *notes = arg_filen(NULL, "note", "FILE", 0, NOTES_MAX,
					   "release note; each gets the next "
					   "index");
	struct arg_str *vms = arg_strn(NULL, "vm", "IP:PORT", 0, 4096,
				       "address of a live VM");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, at, notes, vms, end };
	struct platform *pf = calloc(1, sizeof(*pf));
	int i, status;

	status = standin_args(table, help, end, argc, argv,
			      "Stand-in for the configuration service and the "
			      "list of VMs.");
	if (status < 0 && pf) {
		pthread_mutex_init(&pf->lock, NULL);
		standin_cond_init(&pf->cond);
		pf->stale = -1;
		pf->vms = calloc(VMS_MAX, sizeof(*pf->vms));
		for (i = 0; i < notes->count; i++)
			if (!publish_file(pf, notes->filename[i]))
				status = STANDIN_EXIT_FAILURE;
		for (i = 0; i < vms->count; i++)
			set_vm(pf, vms->sval[i], "live");
		if (status < 0)
			status = run(pf, at->sval[0]);
		for (i = 0; i < (int)pf->note_count; i++)
			free(pf->notes[i]);
		free(pf->vms);
	}
	free(pf);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status < 0 ? STANDIN_EXIT_FAILURE : status;
}
