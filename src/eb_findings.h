#ifndef EB_FINDINGS_H
#define EB_FINDINGS_H

#include <stdint.h>
#include <stdio.h>

/* A fault in an input, such as a setting or a release note. */
struct eb_finding {
	char *source; /* file name, flag or environment variable */
	char *field;
	char *reason;
	int32_t line; /* 0: no line */
};

/* Findings are collected, so that they can be reported all together. */
struct eb_findings {
	struct eb_finding *items;
	uint32_t count;
	uint32_t space;
	uint32_t dropped; /* not kept: over EB_FINDINGS_MAX, or no memory */
};

#define EB_FINDINGS_MAX 1000

void eb_findings_add(struct eb_findings *fs, const char *source, int32_t line,
		     const char *field, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
void eb_findings_print(const struct eb_findings *fs, FILE *out);
void eb_findings_clear(struct eb_findings *fs);

#endif
