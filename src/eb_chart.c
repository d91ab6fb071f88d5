#include "eb_chart.h"

#include <stdlib.h>
#include <string.h>

#define NO_TRANSITION UINT16_MAX
#define NAME_BYTES 40

struct transition {
	uint16_t next;
	uint16_t action;
};

struct eb_chart {
	uint32_t states;
	uint32_t events;
	struct transition *table; /* states * events */
};

struct line {
	char state[NAME_BYTES];
	char event[NAME_BYTES];
	char next[NAME_BYTES];
	char action[NAME_BYTES];
	char extra[2]; /* start of what follows the action: an error */
};

static uint32_t count_names(const char *const *names)
{
	uint32_t n = 0;

	while (names[n])
		n++;
	return n;
}

/* Returns the index of a name, or adds a finding and returns -1. */
static int32_t find_name(const char *const *names, const char *name,
			 const char *what, const char *source, int32_t line,
			 struct eb_findings *fs)
{
	int32_t i;

	for (i = 0; names[i]; i++)
		if (!strcmp(names[i], name))
			return i;
	eb_findings_add(fs, source, line, what, "unknown name \"%s\"", name);
	return -1;
}

/*
 * Sets one transition. A wildcard never replaces one that exists already; a
 * second one without wildcard is a finding.
 */
static void set_transition(struct eb_chart *ch, uint32_t state, uint32_t event,
			   const struct transition *tn, int wildcard,
			   const char *source, int32_t line,
			   struct eb_findings *fs)
{
	struct transition *slot = &ch->table[state * ch->events + event];

	if (slot->next != NO_TRANSITION) {
		if (!wildcard)
			eb_findings_add(
				fs, source, line, "transition",
				"second transition of this state and event");
		return;
	}
	*slot = *tn;
}

static void add_line(struct eb_chart *ch, const struct line *ln, int wildcard,
		     const struct eb_chart_names *nm, const char *source,
		     int32_t line, struct eb_findings *fs)
{
	int32_t state = 0, event, next, action;
	struct transition tn;
	uint32_t i;

	if (!wildcard)
		state = find_name(nm->states, ln->state, "state", source, line,
				  fs);
	event = find_name(nm->events, ln->event, "event", source, line, fs);
	action = find_name(nm->actions, ln->action, "action", source, line, fs);
	if (!strcmp(ln->next, "="))
		next = wildcard ? 0 : state;
	else
		next = find_name(nm->states, ln->next, "next state", source,
				 line, fs);
	if (state < 0 || event < 0 || next < 0 || action < 0)
		return;
	tn.next = (uint16_t)next;
	tn.action = (uint16_t)action;
	if (!wildcard) {
		set_transition(ch, (uint32_t)state, (uint32_t)event, &tn, 0,
			       source, line, fs);
		return;
	}
	for (i = 0; i < ch->states; i++) {
		if (!strcmp(ln->next, "="))
			tn.next = (uint16_t)i;
		set_transition(ch, i, (uint32_t)event, &tn, 1, source, line,
			       fs);
	}
}

/*
 * Parses the lines that have, or without `wildcards` do not have, `*` as their
 * state. Malformed lines are reported without `wildcards` only.
 */
static void parse_lines(struct eb_chart *ch, const char *source,
			const char *text, int wildcards,
			const struct eb_chart_names *nm, struct eb_findings *fs)
{
	const char *p = text, *end;
	struct line ln;
	char buf[256];
	int32_t line = 0;
	size_t n;
	int words;

	for (; *p; p = *end ? end + 1 : end) {
		end = strchrnul(p, '\n');
		line++;
		n = (size_t)(end - p);
		if (n >= sizeof(buf)) {
			if (!wildcards)
				eb_findings_add(
					fs, source, line, "transition",
					"the line is longer than 255 bytes");
			continue;
		}
		memcpy(buf, p, n);
		buf[n] = 0;
		buf[strcspn(buf, "#")] = 0;
		words = sscanf(buf, "%39s %39s -> %39s %39s %1s", ln.state,
			       ln.event, ln.next, ln.action, ln.extra);
		if (words <= 0)
			continue;
		if (words != 4) {
			if (!wildcards)
				eb_findings_add(
					fs, source, line, "transition",
					"expected: state event -> next action");
			continue;
		}
		if ((strcmp(ln.state, "*") == 0) == wildcards)
			add_line(ch, &ln, wildcards, nm, source, line, fs);
	}
}

/*
 * Parses a chart. Returns NULL, with findings, when a line is malformed, a name
 * is unknown, or a transition appears twice, and without findings when memory
 * runs out. `source` names the chart in findings.
 */
struct eb_chart *eb_chart_parse(const char *source, const char *text,
				const struct eb_chart_names *nm,
				struct eb_findings *fs)
{
	struct eb_chart *ch = calloc(1, sizeof(*ch));
	uint32_t findings_before = fs->count, i;

	if (!ch)
		return NULL;
	ch->states = count_names(nm->states);
	ch->events = count_names(nm->events);
	ch->table =
		calloc((size_t)ch->states * ch->events + 1, sizeof(*ch->table));
	if (!ch->table) {
		eb_chart_free(ch);
		return NULL;
	}
	for (i = 0; i < ch->states * ch->events; i++)
		ch->table[i].next = NO_TRANSITION;
	parse_lines(ch, source, text, 0, nm, fs);
	parse_lines(ch, source, text, 1, nm, fs);
	if (fs->count != findings_before) {
		eb_chart_free(ch);
		return NULL;
	}
	return ch;
}

/* Parses the embedded chart `name`; see eb_chart_parse(). */
struct eb_chart *eb_chart_load(const char *name,
			       const struct eb_chart_names *nm,
			       struct eb_findings *fs)
{
	const struct eb_chart_text *ct;

	for (ct = eb_chart_texts; ct->name; ct++)
		if (!strcmp(ct->name, name))
			return eb_chart_parse(name, ct->text, nm, fs);
	eb_findings_add(fs, name, 0, "chart",
			"there is no such embedded chart");
	return NULL;
}

/* Frees a chart; NULL is allowed. */
void eb_chart_free(struct eb_chart *ch)
{
	if (!ch)
		return;
	free(ch->table);
	free(ch);
}

/*
 * Looks up the transition for a state and an event. Returns EB_ENOTFOUND when
 * the chart has none.
 */
enum eb_status eb_chart_step(const struct eb_chart *ch, uint32_t state,
			     uint32_t event, uint32_t *next, uint32_t *action)
{
	const struct transition *tn;

	if (state >= ch->states || event >= ch->events)
		return EB_ENOTFOUND;
	tn = &ch->table[state * ch->events + event];
	if (tn->next == NO_TRANSITION)
		return EB_ENOTFOUND;
	*next = tn->next;
	*action = tn->action;
	return EB_OK;
}
