#include "eb_feed_wire.h"

#include <string.h>

/* A request of version 1: its first byte and a revision. */
#define FIRST_REQUEST_BYTES (1 + sizeof(uint64_t))

/* Writes a change that has `lead_bytes` before its head without the head. */
static uint32_t cut_head(const uint8_t *p, uint32_t bytes, uint32_t lead_bytes,
			 uint8_t *out)
{
	struct eb_feed_part_head head;
	uint32_t n;

	if (bytes <= lead_bytes + sizeof(head))
		return 0;
	memcpy(&head, p + lead_bytes, sizeof(head));
	n = bytes - lead_bytes - (uint32_t)sizeof(head);
	if (head.offset_bytes || head.total_bytes != n)
		return 0;
	memcpy(out, p, lead_bytes);
	memcpy(out + lead_bytes, p + lead_bytes + sizeof(head), n);
	return lead_bytes + n;
}

/*
 * Converts a payload to version 1; `out` has space for `bytes`. Returns its
 * length, or 0 for one that has no such form: a change of several parts, which
 * a daemon of version 1 reads from the source.
 */
uint32_t eb_feed_wire_to_first(const void *data, uint32_t bytes, uint8_t *out)
{
	const uint8_t *p = data;

	switch (bytes ? p[0] : 0) {
	case EB_FEED_CHANGE:
		return cut_head(p, bytes, 1, out);
	case EB_FEED_RELAY:
		return cut_head(p, bytes, EB_FEED_RELAY_HEAD_BYTES, out);
	case EB_FEED_REQUEST:
		memcpy(out, p, FIRST_REQUEST_BYTES);
		return FIRST_REQUEST_BYTES;
	default:
		memcpy(out, p, bytes);
		return bytes;
	}
}

/*
 * Converts a payload from version 1; `out` has space for
 * EB_FEED_WIRE_MORE_BYTES more than `bytes`. A relayed change is taken as one
 * that is not passed on, since its revision is not known before it is applied;
 * those behind it request it. Returns the length, or 0 for a malformed payload.
 */
uint32_t eb_feed_wire_from_first(const void *data, uint32_t bytes, uint8_t *out)
{
	struct eb_feed_part_head head = { 0 };
	const uint8_t *p = data;
	uint32_t lead_bytes = 1;

	switch (bytes ? p[0] : 0) {
	case EB_FEED_REQUEST:
		if (bytes != FIRST_REQUEST_BYTES)
			return 0;
		memset(out, 0, EB_FEED_REQUEST_BYTES);
		memcpy(out, p, bytes);
		return EB_FEED_REQUEST_BYTES;
	case EB_FEED_RELAY:
		lead_bytes = EB_FEED_RELAY_HEAD_BYTES;
		/* fall through */
	case EB_FEED_CHANGE:
		if (bytes <= lead_bytes)
			return 0;
		head.total_bytes = bytes - lead_bytes;
		out[0] = EB_FEED_CHANGE;
		memcpy(out + 1, &head, sizeof(head));
		memcpy(out + 1 + sizeof(head), p + lead_bytes,
		       head.total_bytes);
		return 1 + (uint32_t)sizeof(head) + head.total_bytes;
	default:
		memcpy(out, p, bytes);
		return bytes;
	}
}
