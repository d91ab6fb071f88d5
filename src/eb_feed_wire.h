#ifndef EB_FEED_WIRE_H
#define EB_FEED_WIRE_H

#include <stdint.h>

/*
 * The payloads by which daemons exchange items, and their form in version 1 of
 * the frames: there, a change has no head and one part, and a request names
 * its revision only.
 */

/* First byte of a payload. */
enum eb_feed_payload {
	EB_FEED_CHANGE = 1,
	EB_FEED_REQUEST,
	EB_FEED_STATE,
	EB_FEED_RELAY
};

/* Before a relayed part: the end of the part of the ring to pass it on in. */
#define EB_FEED_RELAY_HEAD_BYTES (1 + sizeof(uint64_t))

/*
 * Before each part of a packed change. A change of up to EB_FEED_PART_BYTES has
 * one part.
 */
struct eb_feed_part_head {
	uint64_t after;
	uint64_t revision;
	uint32_t total_bytes; /* of the packed change */
	uint32_t offset_bytes;
};

/* What a daemon lacks: the changes after a revision, or a part of them. */
struct eb_feed_request {
	uint64_t own_revision;	/* 0: all items are wanted */
	uint64_t part_revision; /* of the change that is being received, or 0 */
	uint32_t part_offset_bytes;
	uint32_t reserved;
};

#define EB_FEED_REQUEST_BYTES (1 + sizeof(struct eb_feed_request))

/* Sent by a reader when its reads begin to succeed or to fail. */
struct eb_feed_reader_state {
	uint64_t order; /* of the sender */
	uint64_t revision;
	uint32_t read_age_ms;
	uint32_t digest; /* of its copy; 0: unknown */
};

/* Most bytes by which the current form is longer than that of version 1. */
#define EB_FEED_WIRE_MORE_BYTES sizeof(struct eb_feed_part_head)

uint32_t eb_feed_wire_to_first(const void *data, uint32_t bytes, uint8_t *out);
uint32_t eb_feed_wire_from_first(const void *data, uint32_t bytes,
				 uint8_t *out);

#endif
