#ifndef EB_OUTFLOW_H
#define EB_OUTFLOW_H

#include <stdint.h>

#include "eb_tunables.h"

/*
 * Flow control of the answers that a gate streams: how many bytes of which call
 * the client thread may read from the upstream next. The bytes on the way to
 * other daemons are bounded by the bandwidth of this VM's link, and those that
 * a caller has not read by a window for each call. Pure: the caller passes the
 * monotonic time.
 *
 * Bytes leave the link's queue when the origin confirms them, or at the latest
 * at the bandwidth of the link. Therefore a lost confirmation, a lost origin or
 * a caller that does not read never holds up another call.
 */

/* Bytes of one call in the queue of the link, in the order of their grants. */
struct eb_outflow_entry {
	struct eb_outflow_stream *stream; /* NULL: the call has ended */
	uint32_t bytes;
};

/* An answer that is streamed; part of the call. All zero: not open. */
struct eb_outflow_stream {
	struct eb_outflow_stream *next, *previous; /* while it waits */
	uint64_t granted_bytes;
	uint64_t sent_bytes;
	uint64_t read_bytes; /* confirmed by the origin */
	/* Confirmed only after the time by which they had left the link. */
	uint64_t left_bytes;
	uint8_t open;
	uint8_t local; /* to a caller of this daemon: the link is not used */
	uint8_t waits;
};

struct eb_outflow {
	struct eb_outflow_stream *first, *last; /* calls that wait, in turn */
	struct eb_outflow_entry entries[EB_OUTFLOW_ENTRIES_MAX];
	uint32_t entry_first;
	uint32_t entry_count;
	uint32_t streams;
	int64_t bytes_per_ms;	/* bandwidth of the link */
	int64_t queue_bytes;	/* in `entries` */
	int64_t other_bytes;	/* of answers that are not streamed */
	int64_t held_bytes;	/* granted and not confirmed, of all calls */
	int64_t held_max_bytes; /* bound of it */
	int64_t at_us;		/* up to which the link has sent */
};

void eb_outflow_init(struct eb_outflow *of, uint32_t link_mbps,
		     int64_t held_max_bytes);
void eb_outflow_open(struct eb_outflow *of, struct eb_outflow_stream *st,
		     int local, int64_t now_us);
void eb_outflow_sent(struct eb_outflow *of, struct eb_outflow_stream *st,
		     uint32_t bytes);
void eb_outflow_confirmed(struct eb_outflow *of, struct eb_outflow_stream *st,
			  uint64_t bytes, int64_t now_us);
void eb_outflow_close(struct eb_outflow *of, struct eb_outflow_stream *st);
void eb_outflow_other(struct eb_outflow *of, uint32_t bytes, int64_t now_us);
struct eb_outflow_stream *eb_outflow_next(struct eb_outflow *of,
					  int64_t now_us);
int64_t eb_outflow_wake_us(const struct eb_outflow *of);
int64_t eb_outflow_queue_max_bytes(const struct eb_outflow *of);

#endif
