#include "eb_names.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/*
 * Makes an empty index for up to `capacity` texts. Returns EB_ENOMEM when
 * memory runs out.
 */
enum eb_status eb_names_init(struct eb_names *ns, size_t capacity)
{
	memset(ns, 0, sizeof(*ns));
	ns->items = calloc(capacity + 1, sizeof(*ns->items));
	ns->capacity = capacity;
	return ns->items ? EB_OK : EB_ENOMEM;
}

/* Adds a text; call eb_names_sort() before eb_names_find(). */
void eb_names_add(struct eb_names *ns, const char *text, void *data)
{
	struct eb_name *nm = &ns->items[ns->count];

	assert(ns->count < ns->capacity);
	nm->text = text;
	nm->data = data;
	nm->order = ns->count++;
}

static int compare(const void *x, const void *y)
{
	const struct eb_name *a = x, *b = y;
	int order = strcmp(a->text, b->text);

	if (order)
		return order;
	return (a->order > b->order) - (a->order < b->order);
}

/* Sorts the index; equal texts keep the order in which they were added. */
void eb_names_sort(struct eb_names *ns)
{
	qsort(ns->items, ns->count, sizeof(*ns->items), compare);
}

/* Returns the first entry added with this text, or NULL. */
struct eb_name *eb_names_find(const struct eb_names *ns, const char *text)
{
	size_t low = 0, high = ns->count, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (strcmp(ns->items[mid].text, text) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == ns->count || strcmp(ns->items[low].text, text) != 0)
		return NULL;
	return &ns->items[low];
}

/* Frees the index; its texts and data stay with their owners. */
void eb_names_clear(struct eb_names *ns)
{
	free(ns->items);
	memset(ns, 0, sizeof(*ns));
}
