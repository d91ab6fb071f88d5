#include "eb_gate_origin.h"

#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

static int is_same_way(const struct eb_routing_id *a,
		       const struct eb_routing_id *b)
{
	return a->used_bytes == b->used_bytes &&
	       !memcmp(a->bytes, b->bytes, a->used_bytes);
}

/*
 * Stores the connection that a frame of an origin came by. Frames of those
 * before it may still be read after its first: a connection that was silent and
 * is closed may deliver what TCP sends again. Returns 1 when the connection has
 * replaced another one.
 */
static int update_way_back(struct eb_gate_origin *og,
			   const struct eb_routing_id *back)
{
	uint32_t i;

	if (is_same_way(&og->back, back)) {
		og->back.wire_version = back->wire_version;
		return 0;
	}
	for (i = 0; i < og->ways && i < EB_GATE_ORIGIN_WAYS; i++)
		if (is_same_way(&og->before[i], back))
			return 0;
	i = og->back.used_bytes != 0;
	if (i)
		og->before[og->ways++ % EB_GATE_ORIGIN_WAYS] = og->back;
	og->back = *back;
	return (int)i;
}

/*
 * Returns the entry of a frame's origin, with the time and the way back of the
 * frame; adds an unknown origin. A check on a second connection leaves the way
 * back as it is. Sets `*replaced` when the frame's connection has replaced
 * another one. NULL when EB_ORIGINS_MAX are known, or without memory.
 */
struct eb_gate_origin *eb_gate_origin_find(apr_hash_t *all,
					   const struct eb_frame *f,
					   const struct eb_routing_id *back,
					   int64_t now_us, int *replaced)
{
	int check =
		f->type == EB_FRAME_HELLO && f->credit_bytes == EB_HELLO_CHECK;
	struct eb_gate_origin *og;

	*replaced = 0;
	og = apr_hash_get(all, &f->sender, sizeof(f->sender));
	if (!og) {
		if (apr_hash_count(all) >= EB_ORIGINS_MAX)
			return NULL;
		og = calloc(1, sizeof(*og));
		if (!og)
			return NULL;
		og->incarnation = f->sender;
		og->local = back == NULL;
		apr_hash_set(all, &og->incarnation, sizeof(og->incarnation),
			     og);
	}
	og->received_us = now_us;
	if (back && !(check && og->back.used_bytes))
		*replaced = update_way_back(og, back);
	return og;
}

/* Removes the origins without calls that were idle for EB_ORIGIN_IDLE_MS. */
void eb_gate_origin_expire(apr_hash_t *all, int64_t now_us)
{
	struct eb_gate_origin *og;
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, all); hi; hi = apr_hash_next(hi)) {
		og = apr_hash_this_val(hi);
		if (og->calls ||
		    now_us - og->received_us < EB_ORIGIN_IDLE_MS * 1000LL)
			continue;
		apr_hash_set(all, &og->incarnation, sizeof(og->incarnation),
			     NULL);
		free(og);
	}
}
