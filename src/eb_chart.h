#ifndef EB_CHART_H
#define EB_CHART_H

#include <stdint.h>

#include "eb_findings.h"
#include "eb_status.h"

/* The text of a chart file; eb_charts_data.c holds all of them. */
struct eb_chart_text {
	const char *name;
	const char *text;
};

extern const struct eb_chart_text eb_chart_texts[];

/* The names that a chart may use; each list ends with NULL. */
struct eb_chart_names {
	const char *const *states;
	const char *const *events;
	const char *const *actions;
};

/*
 * A state chart. Each line of its file is a transition:
 *	state event -> next action
 * A '#' starts a comment. `*` as a state stands for all states that have no
 * transition of their own for the event. `=` as the next state means no change.
 */
struct eb_chart;

struct eb_chart *eb_chart_parse(const char *source, const char *text,
				const struct eb_chart_names *nm,
				struct eb_findings *fs);
struct eb_chart *eb_chart_load(const char *name,
			       const struct eb_chart_names *nm,
			       struct eb_findings *fs);
void eb_chart_free(struct eb_chart *ch);
enum eb_status eb_chart_step(const struct eb_chart *ch, uint32_t state,
			     uint32_t event, uint32_t *next, uint32_t *action);

#endif
