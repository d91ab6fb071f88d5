#ifndef EB_TOOL_H
#define EB_TOOL_H

#include <stdint.h>

/* The arguments of one command of the operators' tool. */
struct eb_tool_args {
	const char *const *items; /* files, addresses and other arguments */
	uint32_t count;
	int json; /* --json */
};

/*
 * The commands. Each prints its result on standard output and errors on
 * standard error, and returns the exit status of the process.
 */
int eb_tool_check(const struct eb_tool_args *ar);
int eb_tool_plan(const struct eb_tool_args *ar);
int eb_tool_keygen(const struct eb_tool_args *ar);
int eb_tool_status(const struct eb_tool_args *ar);
int eb_tool_trace(const struct eb_tool_args *ar);
int eb_tool_explain(const struct eb_tool_args *ar);
int eb_tool_metrics(const struct eb_tool_args *ar);
int eb_tool_drain(const struct eb_tool_args *ar);
int eb_tool_open_claims(const struct eb_tool_args *ar);

#endif
