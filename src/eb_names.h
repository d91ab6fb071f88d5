#ifndef EB_NAMES_H
#define EB_NAMES_H

#include <stddef.h>

#include "eb_status.h"

struct eb_name {
	const char *text;
	void *data;
	size_t order; /* number of texts added before */
};

/*
 * A sorted array of texts with binary search, for a few texts that are looked
 * up often. It owns neither the texts nor their data.
 */
struct eb_names {
	struct eb_name *items;
	size_t count;
	size_t capacity;
};

enum eb_status eb_names_init(struct eb_names *ns, size_t capacity);
void eb_names_add(struct eb_names *ns, const char *text, void *data);
void eb_names_sort(struct eb_names *ns);
struct eb_name *eb_names_find(const struct eb_names *ns, const char *text);
void eb_names_clear(struct eb_names *ns);

#endif
