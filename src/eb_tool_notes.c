#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "eb_plan.h"
#include "eb_release.h"
#include "eb_tool.h"
#include "ebonypier.h"

/*
 * The configurations before and after the last note that was applied; NULL if
 * unknown.
 */
struct history {
	struct eb_config *before;
	struct eb_config *now;
	int base_missing; /* the first note builds on a release not given */
	struct eb_findings findings;
};

/*
 * Reads a file, but at most one byte more than a note may have, so that a note
 * that is too long is found. Returns NULL and adds a finding on error. The
 * caller frees the text.
 */
static char *read_file(const char *name, size_t *bytes, struct eb_findings *fs)
{
	int from_stdin = !strcmp(name, "-");
	FILE *in = from_stdin ? stdin : fopen(name, "rb");
	char *text = in ? malloc(EB_RELEASE_NOTE_MAX_BYTES + 1) : NULL;

	if (text) {
		*bytes = fread(text, 1, EB_RELEASE_NOTE_MAX_BYTES + 1, in);
		if (ferror(in)) {
			free(text);
			text = NULL;
		}
	}
	if (!text)
		eb_findings_add(fs, name, 0, "file", "%s", strerror(errno));
	if (in && !from_stdin)
		fclose(in);
	return text;
}

/* Returns 1 if the note is JSON and builds on an earlier release. */
static int has_base(const char *text, size_t bytes)
{
	json_t *js = json_loadb(text, bytes, 0, NULL);
	int yes = json_integer_value(json_object_get(js, "builds_on")) > 0;

	json_decref(js);
	return yes;
}

/*
 * Applies one note to the configuration after the previous one. If that is
 * unknown, only checks the note on its own.
 */
static enum eb_status apply_file(struct history *hs, const char *name,
				 int first)
{
	struct eb_config *next = NULL;
	enum eb_status st = EB_EIO;
	size_t bytes = 0;
	char *text = read_file(name, &bytes, &hs->findings);

	if (text && first) {
		hs->base_missing = has_base(text, bytes);
		hs->now = hs->base_missing ? NULL : eb_config_new_empty();
	}
	if (text && hs->now)
		st = eb_release_apply_text(hs->now, text, bytes, 0, name,
					   &hs->findings, &next);
	else if (text)
		st = eb_release_check(name, text, bytes, &hs->findings);
	free(text);
	eb_config_unref(hs->before);
	hs->before = hs->now;
	hs->now = next;
	return st;
}

static void clear_history(struct history *hs)
{
	eb_config_unref(hs->before);
	eb_config_unref(hs->now);
	eb_findings_clear(&hs->findings);
}

/* ebonypier check FILE...: prints the findings of several notes. */
int eb_tool_check(const struct eb_tool_args *ar)
{
	struct history hs = { 0 };
	uint32_t i, count, dropped;
	int status;

	for (i = 0; i < ar->count; i++) {
		count = hs.findings.count;
		dropped = hs.findings.dropped;
		if (apply_file(&hs, ar->items[i], i == 0) == EB_ENOMEM)
			eb_findings_add(&hs.findings, ar->items[i], 0, "note",
					"out of memory");
		if (hs.findings.count != count ||
		    hs.findings.dropped != dropped)
			continue;
		if (hs.now)
			printf("%s: release %llu: no findings\n", ar->items[i],
			       (unsigned long long)hs.now->release);
		else
			printf("%s: no findings; the release it builds on was "
			       "not checked\n",
			       ar->items[i]);
	}
	eb_findings_print(&hs.findings, stdout);
	status = hs.findings.count ? EBONYPIER_EXIT_FAILURE : EBONYPIER_EXIT_OK;
	clear_history(&hs);
	return status;
}

/* ebonypier plan FILE...: prints what the last note changes. */
int eb_tool_plan(const struct eb_tool_args *ar)
{
	struct history hs = { 0 };
	int status = EBONYPIER_EXIT_FAILURE;
	uint32_t i;

	for (i = 0; i < ar->count && (!i || hs.now); i++)
		apply_file(&hs, ar->items[i], i == 0);
	if (hs.now) {
		eb_plan_print(hs.before, hs.now, stdout);
		status = EBONYPIER_EXIT_OK;
	}
	eb_findings_print(&hs.findings, stderr);
	if (hs.base_missing)
		fprintf(stderr,
			"ebonypier plan: name the notes before %s "
			"first, in order\n",
			ar->items[0]);
	clear_history(&hs);
	return status;
}

/* ebonypier keygen: prints a CURVE key pair as settings of the daemon. */
int eb_tool_keygen(const struct eb_tool_args *ar)
{
	char public_key[41], secret_key[41];

	(void)ar;
	if (zmq_curve_keypair(public_key, secret_key)) {
		fprintf(stderr, "ebonypier keygen: %s\n", zmq_strerror(errno));
		return EBONYPIER_EXIT_FAILURE;
	}
	/* Keys are in Z85, which has no single quote and no backslash. */
	printf("EBONYPIER_CURVE_PUBLIC_KEY='%s'\n", public_key);
	printf("EBONYPIER_CURVE_SECRET_KEY='%s'\n", secret_key);
	explicit_bzero(secret_key, sizeof(secret_key));
	return EBONYPIER_EXIT_OK;
}
