#include "eb_feed_relay.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_config.h"
#include "eb_tunables.h"

/* Bits of a position that name the region. */
#define REGION_BITS 24

/* Another daemon, and how far it is from this one, clockwise. */
struct stop {
	uint32_t node;
	uint64_t distance;
};

/* A part of a change, and of the ring that this daemon passes it on in. */
struct relay {
	uint8_t *data;
	uint32_t bytes;
	uint64_t revision;
	uint32_t part; /* grows with each part of the change */
	uint64_t end;  /* the part ends before it; the own position: all */
	int64_t start_us;
	uint8_t own;	 /* read by this daemon, not received */
	uint8_t started; /* a copy was sent */
};

struct eb_feed_relay {
	uint64_t own_position;
	struct stop *stops; /* sorted by distance */
	uint32_t count;
	struct relay relays[EB_FEED_RELAYS_MAX]; /* in order of arrival */
	uint32_t relay_count;
	uint64_t newest; /* newest revision that was added */
	uint32_t newest_part;
	int64_t free_us; /* the share of the link is used up until then */
};

/* Creates a relay without members. Returns NULL when memory runs out. */
struct eb_feed_relay *eb_feed_relay_new(uint64_t own_position)
{
	struct eb_feed_relay *rl = calloc(1, sizeof(*rl));

	if (rl)
		rl->own_position = own_position;
	return rl;
}

/* Frees a relay; NULL is allowed. */
void eb_feed_relay_free(struct eb_feed_relay *rl)
{
	uint32_t i;

	if (!rl)
		return;
	for (i = 0; i < rl->relay_count; i++)
		free(rl->relays[i].data);
	free(rl->stops);
	free(rl);
}

/* Returns a daemon's position on the ring: by region, then by `order`. */
uint64_t eb_feed_relay_position(const char *region, uint64_t order)
{
	uint64_t hash = XXH64(region, strlen(region), 0);

	return hash >> (64 - REGION_BITS) << (64 - REGION_BITS) |
	       order >> REGION_BITS;
}

static int compare_distance(const void *a, const void *b)
{
	const struct stop *x = a, *y = b;

	return (x->distance > y->distance) - (x->distance < y->distance);
}

/*
 * Replaces the list of other daemons. Returns EB_ENOMEM, with the old list
 * kept, when memory runs out.
 */
enum eb_status
eb_feed_relay_set_members(struct eb_feed_relay *rl,
			  const struct eb_feed_relay_member *members,
			  uint32_t count)
{
	struct stop *stops = malloc((count ? count : 1) * sizeof(*stops));
	uint32_t i;

	if (!stops)
		return EB_ENOMEM;
	for (i = 0; i < count; i++) {
		stops[i].node = members[i].node;
		stops[i].distance = members[i].position - rl->own_position;
		/* A distance of 0 stands for the whole ring. */
		if (!stops[i].distance)
			stops[i].distance = 1;
	}
	qsort(stops, count, sizeof(*stops), compare_distance);
	free(rl->stops);
	rl->stops = stops;
	rl->count = count;
	return EB_OK;
}

static void drop(struct eb_feed_relay *rl, uint32_t i)
{
	free(rl->relays[i].data);
	rl->relay_count--;
	memmove(&rl->relays[i], &rl->relays[i + 1],
		(rl->relay_count - i) * sizeof(*rl->relays));
}

/*
 * Appends a change. When there is no space, the oldest one is dropped: it is
 * the one that most daemons have. Returns EB_ENOMEM, or EB_ENOTFOUND for a
 * revision that is not newer than all before.
 */
static enum eb_status add(struct eb_feed_relay *rl, const struct relay *from,
			  const void *data)
{
	struct relay *r;
	uint8_t *copy;

	if (from->revision < rl->newest ||
	    (from->revision == rl->newest && from->part <= rl->newest_part))
		return EB_ENOTFOUND;
	copy = malloc(from->bytes);
	if (!copy)
		return EB_ENOMEM;
	memcpy(copy, data, from->bytes);
	if (rl->relay_count == EB_FEED_RELAYS_MAX)
		drop(rl, 0);
	r = &rl->relays[rl->relay_count++];
	*r = *from;
	r->data = copy;
	rl->newest = from->revision;
	rl->newest_part = from->part;
	return EB_OK;
}

/*
 * Starts to send a part of a change that this daemon has read to all others,
 * from `start_us` on unless it is received from another daemon before. The
 * parts of a change have rising numbers from 1 on and are started in order.
 * Returns EB_ENOMEM, or EB_ENOTFOUND for a part that is being relayed already.
 */
enum eb_status eb_feed_relay_start(struct eb_feed_relay *rl, const void *data,
				   uint32_t bytes, uint64_t revision,
				   uint32_t part, int64_t start_us)
{
	struct relay r = { NULL,     bytes, revision, part, rl->own_position,
			   start_us, 1,	    0 };

	return add(rl, &r, data);
}

/* Replaces the content of a relay by what was received; -1 without memory. */
static int replace_data(struct relay *r, const void *data, uint32_t bytes)
{
	uint8_t *copy = malloc(bytes);

	if (!copy)
		return -1;
	memcpy(copy, data, bytes);
	free(r->data);
	r->data = copy;
	r->bytes = bytes;
	return 0;
}

/*
 * Passes a received part of a change on to the daemons from this one up to the
 * position `end`. Errors as eb_feed_relay_start().
 */
enum eb_status eb_feed_relay_pass_on(struct eb_feed_relay *rl, const void *data,
				     uint32_t bytes, uint64_t revision,
				     uint32_t part, uint64_t end,
				     int64_t now_us)
{
	struct relay r = { NULL, bytes, revision, part, end, now_us, 0, 0 };
	uint32_t i;

	for (i = 0; i < rl->relay_count; i++) {
		if (rl->relays[i].revision != revision ||
		    rl->relays[i].part != part || !rl->relays[i].own ||
		    rl->relays[i].started)
			continue;
		/* Another reader has started; its parts may differ. */
		if (replace_data(&rl->relays[i], data, bytes))
			return EB_ENOMEM;
		rl->relays[i].own = 0;
		rl->relays[i].end = end;
		rl->relays[i].start_us = now_us;
		return EB_OK;
	}
	return add(rl, &r, data);
}

/* Returns how many other daemons stand before the end of a relay's part. */
static uint32_t stops_before(const struct eb_feed_relay *rl, uint64_t end)
{
	uint64_t limit = end - rl->own_position;
	uint32_t low = 0, high = rl->count, mid;

	if (!limit)
		return rl->count;
	while (low < high) {
		mid = low + (high - low) / 2;
		if (rl->stops[mid].distance < limit)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/*
 * Returns the reachable daemon that takes the rear half of the first `count`,
 * or EB_NONE: the one in the middle, else one behind it, else one before it.
 */
static uint32_t choose(const struct eb_feed_relay *rl, uint32_t count,
		       int (*reachable)(void *ctx, uint32_t node), void *ctx)
{
	uint32_t i;

	for (i = count / 2; i < count; i++)
		if (reachable(ctx, rl->stops[i].node))
			return i;
	for (i = count / 2; i-- > 0;)
		if (reachable(ctx, rl->stops[i].node))
			return i;
	return EB_NONE;
}

/*
 * Chooses the next copy to send. Returns 1 with `*out` set, or 0 when there is
 * nothing to send now. The copy counts as sent over a link of unknown bandwidth
 * unless eb_feed_relay_sent() is called for it.
 */
int eb_feed_relay_next(struct eb_feed_relay *rl,
		       int (*reachable)(void *ctx, uint32_t node), void *ctx,
		       int64_t now_us, struct eb_feed_relay_copy *out)
{
	uint32_t i = 0, at;
	struct relay *r;

	if (!eb_feed_relay_has_room(rl, now_us))
		return 0;
	while (i < rl->relay_count) {
		r = &rl->relays[i];
		if (now_us < r->start_us) {
			i++;
			continue;
		}
		at = choose(rl, stops_before(rl, r->end), reachable, ctx);
		if (at == EB_NONE) {
			drop(rl, i);
			continue;
		}
		out->node = rl->stops[at].node;
		out->end = r->end;
		out->data = r->data;
		out->bytes = r->bytes;
		r->end = rl->own_position + rl->stops[at].distance;
		r->started = 1;
		eb_feed_relay_sent(rl, r->bytes, EB_FEED_RELAY_BYTES_PER_MS,
				   now_us);
		return 1;
	}
	return 0;
}

/* Tells whether the link has room for a large change. */
int eb_feed_relay_has_room(const struct eb_feed_relay *rl, int64_t now_us)
{
	return now_us >= rl->free_us;
}

/* Records that a large change was sent, at a pace that suits its receiver. */
void eb_feed_relay_sent(struct eb_feed_relay *rl, uint32_t bytes,
			uint32_t bytes_per_ms, int64_t now_us)
{
	rl->free_us = now_us + bytes * 1000LL / bytes_per_ms;
}
