#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_json_path.h"
#include "eb_tool.h"
#include "eb_tool_http.h"
#include "ebonypier.h"

#define TRACE_ID_CHARS 32
/* More spans than a call of 21 levels with 4 attempts each can have. */
#define SPANS_MAX 10000
#define DEPTH_MAX 200
#define TEXT_BYTES 64

/* One span of the trace; strings belong to `json`. */
struct span {
	const json_t *json;
	const char *id;
	const char *parent;
	const char *daemon;
	json_int_t start_us; /* by the clock of its daemon */
	int printed;
};

struct trace {
	json_t *answers; /* of the daemons; the spans point into them */
	struct span *spans;
	uint32_t count;
};

/* Returns a member that is a string, or "". */
static const char *text_of(const json_t *js, const char *key)
{
	const char *text = json_string_value(json_object_get(js, key));

	return text ? text : "";
}

/* Returns a member that is an integer, or 0. */
static json_int_t number_of(const json_t *js, const char *key)
{
	return json_integer_value(json_object_get(js, key));
}

static int has_span(const struct trace *tc, const char *id)
{
	uint32_t i;

	for (i = 0; i < tc->count; i++)
		if (!strcmp(tc->spans[i].id, id))
			return 1;
	return 0;
}

/*
 * Adds the spans of one daemon's answer, except those that are known already.
 * Returns -1 if the answer is not a JSON list.
 */
static int add_spans(struct trace *tc, const struct eb_tool_request *cl)
{
	json_t *js =
		json_loadb(cl->answer.body.text ? cl->answer.body.text : "",
			   cl->answer.body.bytes, 0, NULL);
	const json_t *one;
	struct span *sp;
	size_t i;

	if (!json_is_array(js)) {
		json_decref(js);
		return -1;
	}
	json_array_append_new(tc->answers, js);
	json_array_foreach(js, i, one)
	{
		if (tc->count == SPANS_MAX || !*text_of(one, "span") ||
		    has_span(tc, text_of(one, "span")))
			continue;
		sp = &tc->spans[tc->count++];
		sp->json = one;
		sp->id = text_of(one, "span");
		sp->parent = text_of(one, "parent");
		sp->daemon = text_of(one, "daemon");
		sp->start_us = number_of(one, "start_wall_us");
	}
	return 0;
}

/*
 * Orders spans by daemon, then by start. Start times of two daemons are not
 * compared, since their clocks may differ.
 */
static int compare_spans(const void *x, const void *y)
{
	const struct span *a = x, *b = y;
	int order = strcmp(a->daemon, b->daemon);

	if (order)
		return order;
	return (a->start_us > b->start_us) - (a->start_us < b->start_us);
}

/* Prints a space and a member that is a string, unless it is empty. */
static void print_text(const json_t *js, const char *key)
{
	char text[TEXT_BYTES];

	eb_copy_printable(text_of(js, key), text, sizeof(text));
	if (*text)
		printf(" %s", text);
}

/* Prints the line of one span, indented by its depth. */
static void print_span(const struct span *sp, uint32_t depth)
{
	json_int_t us = number_of(sp->json, "duration_us");
	json_int_t status = number_of(sp->json, "status");
	char kind[TEXT_BYTES];

	eb_copy_printable(text_of(sp->json, "kind"), kind, sizeof(kind));
	printf("%*s%s %.3f ms", (int)depth * 2, "", kind, (double)us / 1000);
	print_text(sp->json, "upstream");
	print_text(sp->json, "outcome");
	if (strcmp(text_of(sp->json, "reason"), "none") != 0)
		print_text(sp->json, "reason");
	if (status)
		printf(" %lld", (long long)status);
	printf("  at");
	print_text(sp->json, "daemon");
	printf("\n");
}

/* Prints a span and its descendants, down to DEPTH_MAX. */
static void print_tree(struct trace *tc, struct span *sp, uint32_t depth)
{
	uint32_t i;

	sp->printed = 1;
	print_span(sp, depth);
	if (depth == DEPTH_MAX)
		return;
	for (i = 0; i < tc->count; i++)
		if (!tc->spans[i].printed &&
		    !strcmp(tc->spans[i].parent, sp->id))
			print_tree(tc, &tc->spans[i], depth + 1);
}

/*
 * Prints the trees of the roots, which are the spans without a known parent.
 * Then prints the spans that no root leads to: those in a cycle of parents, and
 * those below DEPTH_MAX.
 */
static void print_trace(struct trace *tc)
{
	uint32_t i;

	qsort(tc->spans, tc->count, sizeof(*tc->spans), compare_spans);
	for (i = 0; i < tc->count; i++)
		if (!has_span(tc, tc->spans[i].parent))
			print_tree(tc, &tc->spans[i], 0);
	for (i = 0; i < tc->count; i++)
		if (!tc->spans[i].printed)
			print_tree(tc, &tc->spans[i], 0);
}

/* Collects the spans and prints the tree; returns the exit status. */
static int run_trace(struct trace *tc, struct eb_tool_request *calls,
		     uint32_t count, const char *path)
{
	int status = EBONYPIER_EXIT_OK;
	uint32_t i;

	eb_tool_http_run(calls, count, "GET", path);
	for (i = 0; i < count; i++) {
		if (calls[i].status == 200 && !add_spans(tc, &calls[i]))
			continue;
		fprintf(stderr, "ebonypier trace: %s: %s\n", calls[i].address,
			calls[i].error[0]
				? calls[i].error
				: "the answer is not a list of spans");
		status = EBONYPIER_EXIT_FAILURE;
	}
	if (!tc->count) {
		fprintf(stderr, "ebonypier trace: no daemon knows a span of "
				"this trace\n");
		return EBONYPIER_EXIT_FAILURE;
	}
	print_trace(tc);
	return status;
}

/* ebonypier trace ID ADDRESS...: prints the spans of a call as a tree. */
int eb_tool_trace(const struct eb_tool_args *ar)
{
	const char *id = ar->items[0];
	uint32_t count = ar->count - 1, i;
	struct eb_tool_request *calls;
	struct trace tc = { 0 };
	char path[64];
	int status = EBONYPIER_EXIT_FAILURE;

	if (strlen(id) != TRACE_ID_CHARS ||
	    strspn(id, "0123456789abcdefABCDEF") != TRACE_ID_CHARS) {
		fprintf(stderr, "ebonypier trace: ID must have 32 hexadecimal "
				"digits\n");
		return EBONYPIER_EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/traces/%s", id);
	calls = calloc(count, sizeof(*calls));
	tc.answers = json_array();
	tc.spans = calloc(SPANS_MAX, sizeof(*tc.spans));
	for (i = 0; calls && i < count; i++)
		calls[i].address = ar->items[i + 1];
	if (calls && tc.answers && tc.spans)
		status = run_trace(&tc, calls, count, path);
	if (calls)
		eb_tool_http_free(calls, count);
	json_decref(tc.answers);
	free(tc.spans);
	return status;
}
