#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_json_path.h"
#include "eb_tool.h"
#include "eb_tool_http.h"
#include "ebonypier.h"

#define CELL_BYTES 48

/* A column of the table; a negative width aligns to the left. */
struct column {
	const char *title;
	const char *field;
	int width;
};

static const struct column columns[] = {
	{ "UPSTREAM", "upstream", -16 }, { "STATE", "state", -9 },
	{ "RELEASE", "release", 7 },	 { "IN_FLIGHT", "in_flight", 9 },
	{ "QUEUED", "queued", 6 },	 { "SLOTS", "slots", 5 },
	{ "CALLS", "calls_origin", 6 },	 { "PEERS", "peers", 5 },
};

#define COLUMN_COUNT (sizeof(columns) / sizeof(*columns))

/* Formats a value of /status as text; a list as its length. */
static void print_cell(const json_t *js, char out[CELL_BYTES])
{
	if (json_is_string(js))
		eb_copy_printable(json_string_value(js), out, CELL_BYTES);
	else if (json_is_integer(js))
		snprintf(out, CELL_BYTES, "%lld",
			 (long long)json_integer_value(js));
	else if (json_is_boolean(js))
		snprintf(out, CELL_BYTES, "%s",
			 json_is_true(js) ? "yes" : "no");
	else if (json_is_array(js))
		snprintf(out, CELL_BYTES, "%zu", json_array_size(js));
	else
		snprintf(out, CELL_BYTES, "-");
}

/* Makes a call for each address; returns NULL without memory. */
static struct eb_tool_request *new_calls(const struct eb_tool_args *ar)
{
	struct eb_tool_request *calls = calloc(ar->count, sizeof(*calls));
	uint32_t i;

	for (i = 0; calls && i < ar->count; i++)
		calls[i].address = ar->items[i];
	return calls;
}

/* Returns the answer's JSON object, or NULL; then `error` is set. */
static json_t *parse_status(struct eb_tool_request *cl)
{
	json_t *js = NULL;

	if (cl->status != 200)
		return NULL;
	js = json_loadb(cl->answer.body.text ? cl->answer.body.text : "",
			cl->answer.body.bytes, 0, NULL);
	if (json_is_object(js))
		return js;
	json_decref(js);
	snprintf(cl->error, sizeof(cl->error),
		 "the answer is not a JSON object");
	return NULL;
}

/* Prints one row of the table, or the error if `js` is NULL. */
static void print_row(const char *address, const json_t *js, const char *error)
{
	char cell[CELL_BYTES];
	size_t i;

	printf("%-21s", address);
	if (!js) {
		printf(" %s\n", error);
		return;
	}
	for (i = 0; i < COLUMN_COUNT; i++) {
		print_cell(json_object_get(js, columns[i].field), cell);
		printf(" %*s", columns[i].width, cell);
	}
	printf("\n");
}

/* Prints the answers as a table or as JSON; returns the exit status. */
static int print_status(struct eb_tool_request *calls, uint32_t count, int json)
{
	json_t *all = json_object(), *js;
	uint32_t i, failed = 0;
	size_t k;

	if (!json) {
		printf("%-21s", "ADDRESS");
		for (k = 0; k < COLUMN_COUNT; k++)
			printf(" %*s", columns[k].width, columns[k].title);
		printf("\n");
	}
	for (i = 0; i < count; i++) {
		js = parse_status(&calls[i]);
		failed += !js;
		if (!json)
			print_row(calls[i].address, js, calls[i].error);
		else if (!js)
			js = json_pack("{ss}", "error", calls[i].error);
		if (json)
			json_object_set(all, calls[i].address, js);
		json_decref(js);
	}
	if (json) {
		json_dumpf(all, stdout, JSON_INDENT(1));
		printf("\n");
	}
	json_decref(all);
	return failed ? EBONYPIER_EXIT_FAILURE : EBONYPIER_EXIT_OK;
}

/* ebonypier status [--json] ADDRESS...: prints the state of daemons. */
int eb_tool_status(const struct eb_tool_args *ar)
{
	struct eb_tool_request *calls = new_calls(ar);
	int status;

	if (!calls)
		return EBONYPIER_EXIT_FAILURE;
	eb_tool_http_run(calls, ar->count, "GET", "/status");
	status = print_status(calls, ar->count, ar->json);
	eb_tool_http_free(calls, ar->count);
	return status;
}

/*
 * Sends one request and prints the body if `show`, or else "draining"; prints
 * errors on standard error. Returns the exit status.
 */
static int run_one(const struct eb_tool_args *ar, const char *method,
		   const char *path, int show)
{
	struct eb_tool_request *cl = new_calls(ar);
	int answered;

	if (!cl)
		return EBONYPIER_EXIT_FAILURE;
	answered = eb_tool_http_run(cl, 1, method, path);
	if (!answered)
		fprintf(stderr, "ebonypier: %s: %s\n", cl->address, cl->error);
	else if (show)
		fwrite(cl->answer.body.text, 1, cl->answer.body.bytes, stdout);
	else
		printf("%s: draining\n", cl->address);
	eb_tool_http_free(cl, 1);
	return answered ? EBONYPIER_EXIT_OK : EBONYPIER_EXIT_FAILURE;
}

/* ebonypier metrics ADDRESS: prints the metrics of one daemon. */
int eb_tool_metrics(const struct eb_tool_args *ar)
{
	return run_one(ar, "GET", "/metrics", 1);
}

/* ebonypier drain ADDRESS: takes the upstream of a daemon out of service. */
int eb_tool_drain(const struct eb_tool_args *ar)
{
	return run_one(ar, "POST", "/drain", 0);
}

/*
 * ebonypier open-claims ADDRESS...: tells the daemons at the first start of a
 * fleet that no idempotency key was used within the retention.
 */
int eb_tool_open_claims(const struct eb_tool_args *ar)
{
	struct eb_tool_request *calls = new_calls(ar);
	uint32_t i, answered;

	if (!calls)
		return EBONYPIER_EXIT_FAILURE;
	answered = eb_tool_http_run(calls, ar->count, "POST", "/claims/open");
	for (i = 0; i < ar->count; i++)
		if (calls[i].error[0])
			fprintf(stderr, "ebonypier: %s: %s\n", calls[i].address,
				calls[i].error);
	eb_tool_http_free(calls, ar->count);
	return answered == ar->count ? EBONYPIER_EXIT_OK
				     : EBONYPIER_EXIT_FAILURE;
}
