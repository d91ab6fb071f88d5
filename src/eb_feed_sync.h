#ifndef EB_FEED_SYNC_H
#define EB_FEED_SYNC_H

#include <stdint.h>

#include "eb_adapter.h"
#include "eb_feed.h"

/*
 * Replicates the items of the source to all daemons while only a few of them
 * read it. The readers are chosen without coordination: they are the first
 * daemons in an order that every daemon computes alike. A daemon further back
 * in the order starts to read when those before it are unresponsive or cannot
 * reach the source. The module has no socket and no clock.
 */
struct eb_feed_sync;

struct eb_feed_sync_callbacks {
	/* Sends a payload to a daemon; `data` is valid during the call. */
	void (*send)(void *ctx, uint32_t node, const void *data,
		     uint32_t bytes);
	/* Tells whether a payload to a daemon would arrive, as far as known. */
	int (*reachable)(void *ctx, uint32_t node);
	/* Tells whether a daemon is known not to answer. */
	int (*silent)(void *ctx, uint32_t node);
	/* Finds out soon whether a daemon answers. */
	void (*ask)(void *ctx, uint32_t node);
	/* The items have changed. */
	void (*changed)(void *ctx);
	/*
	 * How to use the source from now on; called on each tick. Revision 0:
	 * the copy may lack items of its revision, so all are to be read.
	 */
	void (*want)(void *ctx, enum eb_source_mode mode, uint64_t revision);
	void *ctx;
	/* How values of different eras are compared; may be NULL. */
	eb_feed_compare compare;
};

/*
 * Another daemon: its number in callbacks, its position in the order, and its
 * position on the ring of eb_feed_relay.
 */
struct eb_feed_sync_member {
	uint32_t node;
	uint64_t order;
	uint64_t position;
};

struct eb_feed_sync *eb_feed_sync_new(const struct eb_feed_sync_callbacks *out,
				      uint64_t own_order, uint64_t own_position,
				      int first_start, int64_t now_us);
void eb_feed_sync_free(struct eb_feed_sync *sp);
void eb_feed_sync_set_lapse(struct eb_feed_sync *sp, uint32_t lapse_ms);
void eb_feed_sync_set_link(struct eb_feed_sync *sp, uint32_t mbps);
const struct eb_feed *eb_feed_sync_feed(const struct eb_feed_sync *sp);
uint64_t eb_feed_sync_order(const char *name);
enum eb_status
eb_feed_sync_set_members(struct eb_feed_sync *sp,
			 const struct eb_feed_sync_member *members,
			 uint32_t count);
void eb_feed_sync_report(struct eb_feed_sync *sp,
			 const struct eb_source_report *rp, int64_t now_us);
void eb_feed_sync_update_member(struct eb_feed_sync *sp, uint32_t node,
				const struct eb_feed_state *state,
				int64_t now_us);
enum eb_status eb_feed_sync_receive(struct eb_feed_sync *sp, const void *data,
				    uint32_t bytes, int64_t now_us,
				    uint8_t **reply, uint32_t *reply_bytes);
void eb_feed_sync_state(const struct eb_feed_sync *sp, int64_t now_us,
			struct eb_feed_state *out);
int eb_feed_sync_confirmed(const struct eb_feed_sync *sp);
void eb_feed_sync_resumed(struct eb_feed_sync *sp, int64_t now_us);
uint32_t eb_feed_sync_refutations(const struct eb_feed_sync *sp);
int eb_feed_sync_is_reader(const struct eb_feed_sync *sp, uint32_t node);
void eb_feed_sync_tick(struct eb_feed_sync *sp, int64_t now_us);

#endif
