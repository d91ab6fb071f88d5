#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_tool.h"
#include "ebonypier.h"

#define LINE_BYTES 4096
/* A call of 21 levels with 4 attempts each has fewer lines. */
#define LINES_MAX 20000

/* What a daemon last said of itself before a line of the call. */
enum belief { BELIEF_STATE, BELIEF_DEPENDENCY, BELIEFS };

static const char *const belief_marks[][2] = {
	[BELIEF_STATE] = { "msg=\"release in force\"", NULL },
	[BELIEF_DEPENDENCY] = { "msg=\"dependency", "msg=\"draining\"" },
};

struct line {
	char *time; /* as it stands in the log; sorts by itself */
	char *text;
	const char *source;
	uint32_t order; /* lines of one moment keep their order */
};

struct story {
	const char *id;
	struct line *lines;
	uint32_t count;
	int failed;
};

/* Returns the value of time=, or "" for a line that has none. */
static char *time_of(const char *text)
{
	const char *at = strstr(text, "time=");

	return at ? strndup(at + 5, strcspn(at + 5, " \n")) : strdup("");
}

static void add_line(struct story *sr, const char *source, const char *text)
{
	struct line *ln;

	if (sr->count == LINES_MAX) {
		sr->failed = 1;
		return;
	}
	ln = realloc(sr->lines, (sr->count + 1) * sizeof(*ln));
	if (!ln) {
		sr->failed = 1;
		return;
	}
	sr->lines = ln;
	ln = &sr->lines[sr->count];
	ln->time = time_of(text);
	ln->text = strndup(text, strcspn(text, "\n"));
	ln->source = source;
	ln->order = sr->count++;
}

/* Whether a line is about the request, or a call that its run has made. */
static int is_about(const char *text, const char *id)
{
	const char *at = strstr(text, " id=");
	size_t n = strlen(id);

	return at && !strncmp(at + 4, id, n) &&
	       (at[4 + n] == ' ' || at[4 + n] == '.' || at[4 + n] == '\n' ||
		!at[4 + n]);
}

static void note_belief(char beliefs[BELIEFS][LINE_BYTES], const char *text)
{
	int i, j;

	for (i = 0; i < BELIEFS; i++)
		for (j = 0; j < 2; j++)
			if (belief_marks[i][j] &&
			    strstr(text, belief_marks[i][j]))
				snprintf(beliefs[i], LINE_BYTES, "%s", text);
}

/* Collects the lines of one log; what the daemon believed comes before. */
static void read_log(struct story *sr, FILE *in, const char *source)
{
	char text[LINE_BYTES], beliefs[BELIEFS][LINE_BYTES] = { { 0 } };
	int i;

	while (fgets(text, sizeof(text), in)) {
		note_belief(beliefs, text);
		if (!is_about(text, sr->id))
			continue;
		for (i = 0; i < BELIEFS; i++) {
			if (*beliefs[i])
				add_line(sr, source, beliefs[i]);
			*beliefs[i] = 0;
		}
		add_line(sr, source, text);
	}
}

static int compare_lines(const void *a, const void *b)
{
	const struct line *x = a, *y = b;
	int order = strcmp(x->time, y->time);

	return order ? order : (x->order > y->order) - (x->order < y->order);
}

static int read_logs(struct story *sr, const struct eb_tool_args *ar)
{
	int status = EBONYPIER_EXIT_OK;
	uint32_t i;
	FILE *in;

	if (ar->count == 1)
		read_log(sr, stdin, "-");
	for (i = 1; i < ar->count; i++) {
		if (!strcmp(ar->items[i], "-")) {
			read_log(sr, stdin, "-");
			continue;
		}
		in = fopen(ar->items[i], "r");
		if (!in) {
			fprintf(stderr, "ebonypier: cannot read %s\n",
				ar->items[i]);
			status = EBONYPIER_EXIT_FAILURE;
			continue;
		}
		read_log(sr, in, ar->items[i]);
		fclose(in);
	}
	return status;
}

/*
 * Prints the lines of one request from the logs of several daemons, in the
 * order of time. Clocks of machines differ by little; the order of lines of
 * one daemon is always right.
 */
int eb_tool_explain(const struct eb_tool_args *ar)
{
	struct story sr = { .id = ar->items[0] };
	int status = read_logs(&sr, ar);
	uint32_t i;

	if (sr.count)
		qsort(sr.lines, sr.count, sizeof(*sr.lines), compare_lines);
	for (i = 0; i < sr.count; i++) {
		printf("%s: %s\n", sr.lines[i].source, sr.lines[i].text);
		free(sr.lines[i].time);
		free(sr.lines[i].text);
	}
	free(sr.lines);
	if (!sr.count) {
		fprintf(stderr, "ebonypier: no line about %s\n", sr.id);
		return EBONYPIER_EXIT_FAILURE;
	}
	if (sr.failed) {
		fprintf(stderr, "ebonypier: some lines were left out\n");
		return EBONYPIER_EXIT_FAILURE;
	}
	return status;
}
