#include "eb_findings.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/*
 * Adds a finding; the reason is cut to 511 bytes. After EB_FINDINGS_MAX, or
 * when the list cannot grow, the finding is only counted in `dropped`.
 */
void eb_findings_add(struct eb_findings *fs, const char *source, int32_t line,
		     const char *field, const char *fmt, ...)
{
	struct eb_finding *items, *it;
	char text[512];
	uint32_t space;
	va_list ap;

	if (fs->count == EB_FINDINGS_MAX) {
		fs->dropped++;
		return;
	}
	if (fs->count == fs->space) {
		space = fs->space ? fs->space * 2 : 8;
		items = realloc(fs->items, space * sizeof(*items));
		if (!items) {
			fs->dropped++;
			return;
		}
		fs->items = items;
		fs->space = space;
	}
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	it = &fs->items[fs->count++];
	it->source = strdup(source);
	it->field = strdup(field);
	it->reason = strdup(text);
	it->line = line;
}

/* Prints one line for each finding: source:line: field: reason. */
void eb_findings_print(const struct eb_findings *fs, FILE *out)
{
	const struct eb_finding *it;
	uint32_t i;

	for (i = 0; i < fs->count; i++) {
		it = &fs->items[i];
		if (it->line)
			fprintf(out, "%s:%d: %s: %s\n", it->source, it->line,
				it->field, it->reason);
		else
			fprintf(out, "%s: %s: %s\n", it->source, it->field,
				it->reason);
	}
	if (fs->dropped)
		fprintf(out, "%u more findings are not shown\n", fs->dropped);
}

/* Frees all findings and leaves an empty list. */
void eb_findings_clear(struct eb_findings *fs)
{
	uint32_t i;

	for (i = 0; i < fs->count; i++) {
		free(fs->items[i].source);
		free(fs->items[i].field);
		free(fs->items[i].reason);
	}
	free(fs->items);
	memset(fs, 0, sizeof(*fs));
}
