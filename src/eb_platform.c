#include "eb_platform.h"

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "eb_fetch.h"
#include "eb_clock.h"
#include "eb_core.h"
#include "eb_release.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/* A note is at most a megabyte; an answer holds several notes. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
/* A watch not answered this long after its wait has a dead connection. */
#define WATCH_SLACK_MS 5000
#define VMS_TIMEOUT_MS 2000

struct fetch {
	struct eb_source *platform;
	CURL *easy;
	struct eb_fetch answer;
	int busy;
	int64_t due_us;
};

struct eb_source {
	struct eb_source_config config;
	CURLM *multi;
	struct fetch notes;
	struct fetch vms;
	struct eb_config *last; /* result of the newest note applied */
	uint64_t seen_index;	/* newest note read, also if rejected */
	int stopping;
	int failing;
	apr_pool_t *pool;
	apr_thread_t *thread;
};

/* Starts a GET request for `path` and counts it as `kind`. */
static void start_fetch(struct fetch *ft, const char *path, long timeout_ms,
			enum eb_metric kind)
{
	struct eb_source *pl = ft->platform;
	char url[256];

	snprintf(url, sizeof(url), "http://%s%s", pl->config.settings->platform,
		 path);
	curl_easy_setopt(ft->easy, CURLOPT_URL, url);
	curl_easy_setopt(ft->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	eb_fetch_reset(&ft->answer);
	ft->busy = 1;
	eb_metrics_add(pl->config.metrics, EB_METRIC_PLATFORM_CALLS, 1);
	eb_metrics_add(pl->config.metrics, kind, 1);
	curl_multi_add_handle(pl->multi, ft->easy);
}

/* Starts the calls that are due and not in progress. */
static void start_due(struct eb_source *pl, int64_t now_us)
{
	char path[96];

	if (!pl->notes.busy && now_us >= pl->notes.due_us) {
		snprintf(path, sizeof(path), "/v1/notes?after=%llu&wait_ms=%d",
			 (unsigned long long)pl->seen_index,
			 EB_PLATFORM_WAIT_MS);
		start_fetch(&pl->notes, path,
			    EB_PLATFORM_WAIT_MS + WATCH_SLACK_MS,
			    EB_METRIC_PLATFORM_WATCHES);
	}
	if (!pl->vms.busy && now_us >= pl->vms.due_us)
		start_fetch(&pl->vms, "/v1/vms", VMS_TIMEOUT_MS,
			    EB_METRIC_PLATFORM_READS);
}

/* Applies one note of the log. A rejected note is logged and skipped. */
static void apply_note(struct eb_source *pl, uint64_t index, const json_t *note)
{
	struct eb_findings fs = { 0 };
	struct eb_config *next = NULL;

	if (eb_release_apply(pl->last, note, index, "platform", &fs, &next)) {
		eb_metrics_add(pl->config.metrics, EB_METRIC_RELEASES_REJECTED,
			       1);
		eb_log_write(pl->config.log, EB_LOG_WARN, "platform",
			     "release note rejected",
			     "index=%llu field=\"%s\" reason=\"%s\"",
			     (unsigned long long)index,
			     fs.count ? fs.items[0].field : "",
			     fs.count ? fs.items[0].reason : "");
	} else {
		eb_config_unref(pl->last);
		pl->last = next;
	}
	eb_findings_clear(&fs);
}

/*
 * Applies the notes of an answer whose index is above the last one read, in
 * the answer's order; the others are ignored. Sends the core the new
 * configuration, if any. Returns -1 for a malformed answer.
 */
static int apply_notes(struct eb_source *pl, const json_t *root)
{
	const json_t *notes = json_object_get(root, "notes"), *entry;
	uint64_t release = pl->last->index, index;
	size_t i;

	if (!json_is_array(notes))
		return -1;
	if (eb_test_off("release-order") &&
	    (uint64_t)json_integer_value(json_object_get(root, "index")) <
		    pl->seen_index) {
		eb_config_unref(pl->last);
		pl->last = eb_config_new_empty();
		pl->seen_index = 0;
	}
	json_array_foreach(notes, i, entry)
	{
		index = (uint64_t)json_integer_value(
			json_object_get(entry, "index"));
		if (index <= pl->seen_index)
			continue;
		apply_note(pl, index, json_object_get(entry, "note"));
		pl->seen_index = index;
	}
	if (pl->last->index != release)
		eb_core_send_config(pl->config.core, eb_config_ref(pl->last));
	return 0;
}

/*
 * Sends the core the list of VMs. Returns -1 for a malformed answer or when
 * memory runs out.
 */
static int send_vms(struct eb_source *pl, const json_t *root)
{
	const json_t *vms = json_object_get(root, "vms"), *entry;
	struct eb_vm_list *list;
	const char *text;
	struct eb_vm *vm;
	size_t i;

	if (!json_is_array(vms))
		return -1;
	list = calloc(1, sizeof(*list));
	if (!list)
		return -1;
	list->vms = calloc(json_array_size(vms) + 1, sizeof(*list->vms));
	if (!list->vms) {
		free(list);
		return -1;
	}
	json_array_foreach(vms, i, entry)
	{
		vm = &list->vms[list->count++];
		text = json_string_value(json_object_get(entry, "address"));
		if (text)
			strncpy(vm->address, text, sizeof(vm->address) - 1);
		text = json_string_value(json_object_get(entry, "state"));
		vm->leaving = text && !strcmp(text, "leaving");
	}
	eb_core_send_vms(pl->config.core, list);
	return 0;
}

/* Counts a failed call; logs only the first failure after a success. */
static void record_failure(struct eb_source *pl, const char *what)
{
	eb_metrics_add(pl->config.metrics, EB_METRIC_PLATFORM_FAILED, 1);
	if (!pl->failing)
		eb_log_write(pl->config.log, EB_LOG_WARN, "platform",
			     "cannot read the platform", "call=%s", what);
	pl->failing = 1;
}

/*
 * Processes the answer of a finished call and schedules the next one: notes at
 * once, or after EB_PLATFORM_RETRY_MS when the call failed, and VMs after
 * EB_PLATFORM_VMS_POLL_MS.
 */
static void finish_fetch(struct fetch *ft, CURLcode rc)
{
	struct eb_source *pl = ft->platform;
	int is_notes = ft == &pl->notes, bad = 1;
	int64_t now_us = eb_clock_now_us();
	json_t *root = NULL;
	long status = 0;

	curl_easy_getinfo(ft->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(pl->multi, ft->easy);
	ft->busy = 0;
	if (eb_status_line_is_bad(&ft->answer.line, rc))
		eb_metrics_add(pl->config.metrics,
			       EB_METRIC_PLATFORM_BAD_STATUS, 1);
	if (!rc && status == 200)
		root = json_loadb(
			ft->answer.body.text ? ft->answer.body.text : "",
			ft->answer.body.bytes, JSON_REJECT_DUPLICATES, NULL);
	if (root)
		bad = is_notes ? apply_notes(pl, root) : send_vms(pl, root);
	json_decref(root);
	if (bad)
		record_failure(pl, is_notes ? "notes" : "vms");
	else
		pl->failing = 0;
	ft->due_us = now_us;
	if (!is_notes)
		ft->due_us += EB_PLATFORM_VMS_POLL_MS * 1000;
	else if (bad)
		ft->due_us += EB_PLATFORM_RETRY_MS * 1000;
}

/* The thread: starts and finishes calls until stop() is called. */
static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct eb_source *pl = data;
	struct fetch *ft = NULL;
	int running, left;
	CURLMsg *msg;

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-platform");
	while (!__atomic_load_n(&pl->stopping, __ATOMIC_ACQUIRE)) {
		start_due(pl, eb_clock_now_us());
		curl_multi_perform(pl->multi, &running);
		while ((msg = curl_multi_info_read(pl->multi, &left))) {
			if (msg->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
					  &ft);
			finish_fetch(ft, msg->data.result);
		}
		curl_multi_poll(pl->multi, NULL, 0, 100, NULL);
	}
	return NULL;
}

static void init_fetch(struct eb_source *pl, struct fetch *ft)
{
	ft->platform = pl;
	ft->easy = curl_easy_init();
	curl_easy_setopt(ft->easy, CURLOPT_PRIVATE, ft);
	ft->answer.body_max_bytes = ANSWER_MAX_BYTES;
	eb_fetch_attach(&ft->answer, ft->easy);
	curl_easy_setopt(ft->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(ft->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(ft->easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
}

static void free_fetch(struct fetch *ft)
{
	if (ft->busy)
		curl_multi_remove_handle(ft->platform->multi, ft->easy);
	curl_easy_cleanup(ft->easy);
	free(ft->answer.body.text);
}

/* Stops the thread, aborting calls in progress, and frees the source. */
static void stop(struct eb_source *pl)
{
	apr_status_t status;

	if (!pl)
		return;
	__atomic_store_n(&pl->stopping, 1, __ATOMIC_RELEASE);
	curl_multi_wakeup(pl->multi);
	if (pl->thread)
		apr_thread_join(&status, pl->thread);
	free_fetch(&pl->notes);
	free_fetch(&pl->vms);
	curl_multi_cleanup(pl->multi);
	eb_config_unref(pl->last);
	apr_pool_destroy(pl->pool);
	free(pl);
}

/* Starts the thread. Returns NULL and sets `err` on failure. */
static struct eb_source *start(const struct eb_source_config *cf,
			       struct eb_error *err)
{
	struct eb_source *pl = calloc(1, sizeof(*pl));

	if (!pl || apr_pool_create(&pl->pool, NULL) != APR_SUCCESS) {
		free(pl);
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	pl->config = *cf;
	pl->last = eb_config_new_empty();
	pl->multi = curl_multi_init();
	init_fetch(pl, &pl->notes);
	init_fetch(pl, &pl->vms);
	if (apr_thread_create(&pl->thread, NULL, run, pl, pl->pool) !=
	    APR_SUCCESS) {
		eb_error_set(err, EB_EIO, "cannot create the platform thread");
		stop(pl);
		return NULL;
	}
	return pl;
}

const struct eb_source_ops eb_platform_source = { .start = start,
						  .stop = stop };
