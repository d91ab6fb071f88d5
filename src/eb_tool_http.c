#include "eb_tool_http.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ebonypier.h"

#define TIMEOUT_MS 5000L
#define CONNECT_TIMEOUT_MS 2000L
#define CONNECTIONS_MAX 64L
#define ANSWER_MAX_BYTES (8 * 1024 * 1024)

/* Makes a transfer to one address; returns NULL without memory. */
static CURL *make_request(struct eb_tool_request *cl, const char *method,
			  const char *path)
{
	char url[256];
	CURL *easy = curl_easy_init();

	if (!easy)
		return NULL;
	snprintf(url, sizeof(url), "http://%s%s", cl->address, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_USERAGENT,
			 "ebonypier/" EBONYPIER_VERSION);
	cl->answer.body_max_bytes = ANSWER_MAX_BYTES;
	eb_fetch_attach(&cl->answer, easy);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, cl->error);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, cl);
	if (!strcmp(method, "POST")) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	}
	return easy;
}

/* Stores the status or the error of each transfer that has ended. */
static void store_results(CURLM *multi)
{
	struct eb_tool_request *cl;
	CURLMsg *msg;
	int left;
	long status;

	while ((msg = curl_multi_info_read(multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &cl);
		if (msg->data.result) {
			if (eb_status_line_is_bad(&cl->answer.line,
						  msg->data.result))
				snprintf(cl->error, sizeof(cl->error),
					 "answered without a valid status");
			else if (!cl->error[0])
				snprintf(cl->error, sizeof(cl->error), "%s",
					 curl_easy_strerror(msg->data.result));
			continue;
		}
		curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE,
				  &status);
		cl->status = (int32_t)status;
		if (status >= 400)
			snprintf(cl->error, sizeof(cl->error),
				 "answered with status %ld", status);
	}
}

/* Runs all transfers until they have ended. */
static void run_all(CURLM *multi)
{
	int running = 1;

	while (running) {
		if (curl_multi_perform(multi, &running))
			break;
		store_results(multi);
		if (running && curl_multi_poll(multi, NULL, 0, 1000, NULL))
			break;
	}
	store_results(multi);
}

/*
 * Sends the same request to all addresses, up to CONNECTIONS_MAX at a time, and
 * waits for the answers. Returns how many calls were answered with a status
 * below 400; each other call has its `error` set.
 */
int eb_tool_http_run(struct eb_tool_request *calls, uint32_t count,
		     const char *method, const char *path)
{
	CURL **easies = calloc((size_t)count + 1, sizeof(void *));
	CURLM *multi = curl_multi_init();
	uint32_t i;
	int answered = 0;

	for (i = 0; easies && multi && i < count; i++) {
		easies[i] = make_request(&calls[i], method, path);
		if (easies[i])
			curl_multi_add_handle(multi, easies[i]);
	}
	if (easies && multi) {
		curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
				  CONNECTIONS_MAX);
		run_all(multi);
	}
	for (i = 0; i < count; i++) {
		if (!calls[i].status && !calls[i].error[0])
			snprintf(calls[i].error, sizeof(calls[i].error),
				 "the request could not be made");
		answered += calls[i].status && calls[i].status < 400;
		if (!easies || !easies[i])
			continue;
		curl_multi_remove_handle(multi, easies[i]);
		curl_easy_cleanup(easies[i]);
	}
	curl_multi_cleanup(multi);
	free(easies);
	return answered;
}

/* Frees the calls and their answers. */
void eb_tool_http_free(struct eb_tool_request *calls, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		free(calls[i].answer.body.text);
	free(calls);
}
