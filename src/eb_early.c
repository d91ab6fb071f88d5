#include "eb_early.h"

#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

struct entry {
	struct eb_frame *head;
	int64_t received_us;
};

struct eb_early {
	struct entry list[EB_EARLY_CALLS_MAX]; /* oldest first */
	uint32_t count;
};

/* Creates an empty list. Returns NULL without memory. */
struct eb_early *eb_early_new(void)
{
	return calloc(1, sizeof(struct eb_early));
}

/* Frees the list and the requests in it; NULL is allowed. */
void eb_early_free(struct eb_early *er)
{
	uint32_t i;

	for (i = 0; er && i < er->count; i++)
		eb_frame_unref(er->list[i].head);
	free(er);
}

/*
 * Adds a request and takes its reference over. Returns EB_EFULL, and takes
 * nothing over, when EB_EARLY_CALLS_MAX requests wait.
 */
enum eb_status eb_early_add(struct eb_early *er, struct eb_frame *head,
			    int64_t now_us)
{
	if (er->count == EB_EARLY_CALLS_MAX)
		return EB_EFULL;
	er->list[er->count].head = head;
	er->list[er->count++].received_us = now_us;
	return EB_OK;
}

static void remove_entry(struct eb_early *er, uint32_t i)
{
	er->count--;
	memmove(&er->list[i], &er->list[i + 1],
		(er->count - i) * sizeof(er->list[0]));
}

/*
 * Takes the oldest request if it arrived at `until_us` or before. Returns NULL
 * if there is none; the caller gets the reference.
 */
struct eb_frame *eb_early_take(struct eb_early *er, int64_t until_us,
			       int64_t *received_us)
{
	struct eb_frame *f;

	if (!er->count || er->list[0].received_us > until_us)
		return NULL;
	f = er->list[0].head;
	*received_us = er->list[0].received_us;
	remove_entry(er, 0);
	return f;
}

/* Drops a request whose caller is gone; returns 1 if it was waiting, else 0. */
int eb_early_cancel(struct eb_early *er, uint64_t call)
{
	uint32_t i;

	for (i = 0; i < er->count; i++) {
		if (er->list[i].head->call != call)
			continue;
		eb_frame_unref(er->list[i].head);
		remove_entry(er, i);
		return 1;
	}
	return 0;
}

/* Returns the number of requests that wait. */
uint32_t eb_early_count(const struct eb_early *er)
{
	return er->count;
}
