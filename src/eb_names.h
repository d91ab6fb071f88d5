#ifndef EB_NAMES_H
#define EB_NAMES_H

#include <stddef.h>

#include "eb_status.h"

/*
 * A sorted index of texts, for a few of them that are looked up often. The
 * texts stay with their owner.
 */
struct eb_name {
	const char *text;
	void *data;
	size_t order; /* of adding */
};

struct eb_names {
	struct eb_name *items;
	size_t count;
	size_t space;
};

enum eb_status eb_names_init(struct eb_names *ns, size_t space);
void eb_names_add(struct eb_names *ns, const char *text, void *data);
void eb_names_sort(struct eb_names *ns);
struct eb_name *eb_names_find(const struct eb_names *ns, const char *text);
void eb_names_clear(struct eb_names *ns);

#endif
