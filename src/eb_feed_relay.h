#ifndef EB_FEED_RELAY_H
#define EB_FEED_RELAY_H

#include <stdint.h>

#include "eb_status.h"

/*
 * Passes large changes on along a tree of daemons, so that no daemon sends one
 * to all others. All daemons stand on a ring, neighbours in the same region. A
 * daemon that has a change for a part of the ring sends it to the daemon in the
 * middle of that part, which passes it on in the rear half, and goes on with
 * the front half. Copies leave one after another, at a pace that leaves room
 * for calls on the link. The module has no socket and no clock.
 */
struct eb_feed_relay;

/* Another daemon: its number in callbacks and its position on the ring. */
struct eb_feed_relay_member {
	uint32_t node;
	uint64_t position;
};

/* A copy to send to `node`, which passes it on up to the position `end`. */
struct eb_feed_relay_copy {
	uint32_t node;
	uint64_t end;
	const uint8_t *data; /* valid until the next call */
	uint32_t bytes;
};

struct eb_feed_relay *eb_feed_relay_new(uint64_t own_position);
void eb_feed_relay_free(struct eb_feed_relay *rl);
uint64_t eb_feed_relay_position(const char *region, uint64_t order);
enum eb_status
eb_feed_relay_set_members(struct eb_feed_relay *rl,
			  const struct eb_feed_relay_member *members,
			  uint32_t count);
enum eb_status eb_feed_relay_start(struct eb_feed_relay *rl, const void *data,
				   uint32_t bytes, uint64_t revision,
				   uint32_t part, int64_t start_us);
enum eb_status eb_feed_relay_pass_on(struct eb_feed_relay *rl, const void *data,
				     uint32_t bytes, uint64_t revision,
				     uint32_t part, uint64_t end,
				     int64_t now_us);
int eb_feed_relay_next(struct eb_feed_relay *rl,
		       int (*reachable)(void *ctx, uint32_t node), void *ctx,
		       int64_t now_us, struct eb_feed_relay_copy *out);
int eb_feed_relay_has_room(const struct eb_feed_relay *rl, int64_t now_us);
void eb_feed_relay_sent(struct eb_feed_relay *rl, uint32_t bytes,
			uint32_t bytes_per_ms, int64_t now_us);

#endif
