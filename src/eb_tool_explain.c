#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_tool.h"
#include "ebonypier.h"

#define LINE_BYTES 4096
/* More lines than a call of 21 levels with 4 attempts each can have. */
#define LINES_MAX 20000

/*
 * Kinds of lines about the daemon itself. The last one of each kind is printed
 * before the next line of the call, to show what the daemon knew at that time.
 */
enum context { CONTEXT_RELEASE, CONTEXT_DEPENDENCY, CONTEXT_KINDS };

/* Texts by which the lines of a kind are found; NULL if there is one text. */
static const char *const context_marks[][2] = {
	[CONTEXT_RELEASE] = { "msg=\"release in force\"", NULL },
	[CONTEXT_DEPENDENCY] = { "msg=\"dependency", "msg=\"draining\"" },
};

struct line {
	char *time; /* as in the log; the order of the text is that of time */
	char *text;
	const char *source; /* name of the log file, or "-" */
	uint32_t order;	    /* position; orders lines with the same time */
};

/* The lines found for one request. */
struct excerpt {
	const char *id;
	struct line *lines;
	uint32_t count;
	int failed; /* lines are missing */
};

/* Returns a copy of the value of time=, "" if the line has none. */
static char *time_of(const char *text)
{
	const char *at = strstr(text, "time=");

	return at ? strndup(at + 5, strcspn(at + 5, " \n")) : strdup("");
}

/* Adds a copy of a line; sets `failed` at LINES_MAX or without memory. */
static void add_line(struct excerpt *ex, const char *source, const char *text)
{
	struct line *ln;

	if (ex->count == LINES_MAX) {
		ex->failed = 1;
		return;
	}
	ln = realloc(ex->lines, (ex->count + 1) * sizeof(*ln));
	if (!ln) {
		ex->failed = 1;
		return;
	}
	ex->lines = ln;
	ln = &ex->lines[ex->count];
	ln->time = time_of(text);
	ln->text = strndup(text, strcspn(text, "\n"));
	ln->source = source;
	ln->order = ex->count++;
}

/*
 * Returns 1 for a line of the request or of a call that its run made: such a
 * call has the id of the request, a dot and a suffix.
 */
static int matches_request(const char *text, const char *id)
{
	const char *at = strstr(text, " id=");
	size_t n = strlen(id);

	return at && !strncmp(at + 4, id, n) &&
	       (at[4 + n] == ' ' || at[4 + n] == '.' || at[4 + n] == '\n' ||
		!at[4 + n]);
}

/* Keeps a line about the daemon itself as the last one of its kind. */
static void keep_context(char contexts[CONTEXT_KINDS][LINE_BYTES],
			 const char *text)
{
	int i, j;

	for (i = 0; i < CONTEXT_KINDS; i++)
		for (j = 0; j < 2; j++)
			if (context_marks[i][j] &&
			    strstr(text, context_marks[i][j]))
				snprintf(contexts[i], LINE_BYTES, "%s", text);
}

/*
 * Collects the lines of one log. Each line of the request is preceded by those
 * lines about the daemon itself that came since the previous one.
 */
static void read_log(struct excerpt *ex, FILE *in, const char *source)
{
	char text[LINE_BYTES], contexts[CONTEXT_KINDS][LINE_BYTES] = { { 0 } };
	int i;

	while (fgets(text, sizeof(text), in)) {
		keep_context(contexts, text);
		if (!matches_request(text, ex->id))
			continue;
		for (i = 0; i < CONTEXT_KINDS; i++) {
			if (*contexts[i])
				add_line(ex, source, contexts[i]);
			*contexts[i] = 0;
		}
		add_line(ex, source, text);
	}
}

/* Orders lines by time, then by position. */
static int compare_lines(const void *a, const void *b)
{
	const struct line *x = a, *y = b;
	int order = strcmp(x->time, y->time);

	return order ? order : (x->order > y->order) - (x->order < y->order);
}

/* Reads all logs, or standard input; returns the exit status. */
static int read_logs(struct excerpt *ex, const struct eb_tool_args *ar)
{
	int status = EBONYPIER_EXIT_OK;
	uint32_t i;
	FILE *in;

	if (ar->count == 1)
		read_log(ex, stdin, "-");
	for (i = 1; i < ar->count; i++) {
		if (!strcmp(ar->items[i], "-")) {
			read_log(ex, stdin, "-");
			continue;
		}
		in = fopen(ar->items[i], "r");
		if (!in) {
			fprintf(stderr, "ebonypier: cannot read %s\n",
				ar->items[i]);
			status = EBONYPIER_EXIT_FAILURE;
			continue;
		}
		read_log(ex, in, ar->items[i]);
		fclose(in);
	}
	return status;
}

/*
 * ebonypier explain ID [FILE...]: prints the lines about a request from the
 * logs of several daemons in the order of time. Lines of one daemon are always
 * in the right order; those of two daemons may not be, since the clocks of
 * their machines differ by a little.
 */
int eb_tool_explain(const struct eb_tool_args *ar)
{
	struct excerpt ex = { .id = ar->items[0] };
	int status = read_logs(&ex, ar);
	uint32_t i;

	if (ex.count)
		qsort(ex.lines, ex.count, sizeof(*ex.lines), compare_lines);
	for (i = 0; i < ex.count; i++) {
		printf("%s: %s\n", ex.lines[i].source, ex.lines[i].text);
		free(ex.lines[i].time);
		free(ex.lines[i].text);
	}
	free(ex.lines);
	if (!ex.count) {
		fprintf(stderr, "ebonypier: no log line about request %s\n",
			ex.id);
		return EBONYPIER_EXIT_FAILURE;
	}
	if (ex.failed) {
		fprintf(stderr, "ebonypier: too many lines or out of memory; "
				"some lines are missing\n");
		return EBONYPIER_EXIT_FAILURE;
	}
	return status;
}
