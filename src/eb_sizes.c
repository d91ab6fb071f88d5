#include "eb_sizes.h"

#include <stddef.h>

/* An answer counts for an eighth, so that a single large one changes little. */
#define SIZE_SHIFT 3
/* Entries that a kind may use, from the one that its number names. */
#define PROBES 4
/* A larger answer counts as one of this size. */
#define SIZE_MAX_BYTES (1U << 30)

static uint32_t slot(uint32_t kind, uint32_t i)
{
	return (kind * 2654435761U + i) % EB_SIZES_KINDS;
}

/*
 * Records the size of a complete and successful answer. A new kind replaces the
 * one that had no answer for longest among those that share its entries.
 */
void eb_sizes_add(struct eb_sizes *sz, uint32_t kind, uint64_t bytes,
		  int64_t now_us)
{
	struct eb_sizes_entry *en, *at = NULL;
	int64_t size, old;
	uint32_t i;

	if (!kind)
		return;
	for (i = 0; i < PROBES; i++) {
		en = &sz->entries[slot(kind, i)];
		if (en->kind == kind) {
			at = en;
			break;
		}
		if (!at || !en->kind || (at->kind && en->at_us < at->at_us))
			at = en;
	}
	size = bytes < SIZE_MAX_BYTES ? (int64_t)bytes : SIZE_MAX_BYTES;
	old = at->kind == kind ? at->bytes : size;
	at->kind = kind;
	at->bytes = (uint32_t)(old + (size - old) / (1 << SIZE_SHIFT));
	at->at_us = now_us;
}

/* Returns the expected size of an answer; 0: unknown. */
uint32_t eb_sizes_expected(const struct eb_sizes *sz, uint32_t kind)
{
	const struct eb_sizes_entry *en;
	uint32_t i;

	for (i = 0; kind && i < PROBES; i++) {
		en = &sz->entries[slot(kind, i)];
		if (en->kind == kind)
			return en->bytes;
	}
	return 0;
}

/*
 * Tells whether a request should rather wait at the first gate than go on to
 * another one: its answer is large, and `left_us` until its objective is long.
 * Each detour ends farther away, at the cost of a link that urgent requests
 * need.
 */
int eb_sizes_may_wait(const struct eb_sizes *sz, uint32_t kind, int64_t left_us)
{
	return eb_sizes_expected(sz, kind) > EB_ANSWER_LARGE_BYTES &&
	       left_us >= EB_ANSWER_WAIT_MS * 1000LL;
}
