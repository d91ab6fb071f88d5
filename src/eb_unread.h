#ifndef EB_UNREAD_H
#define EB_UNREAD_H

#include <stdint.h>

#include "eb_metrics.h"

/*
 * Bounds what a daemon holds of answers that callers do not read: the sum of
 * bytes, and the time in which a caller must read something. Tells which
 * connection is to be given up. Pure: the caller passes the monotonic time.
 */

/* One connection; part of it. All zero: nothing is held, it is not blocked. */
struct eb_unread_reader {
	struct eb_unread_reader *next, *previous; /* while blocked */
	int64_t held_bytes;
	int64_t blocked_us; /* since when it takes no bytes */
	uint8_t blocked;
};

struct eb_unread {
	struct eb_unread_reader *first, *last; /* blocked, the longest first */
	int64_t held_bytes;
	int64_t held_max_bytes;
	int64_t limit_us; /* 0: no limit */
};

void eb_unread_init(struct eb_unread *un, int64_t held_max_bytes,
		    uint32_t limit_ms);
void eb_unread_hold(struct eb_unread *un, struct eb_unread_reader *rd,
		    int64_t bytes);
void eb_unread_blocked(struct eb_unread *un, struct eb_unread_reader *rd,
		       int64_t now_us);
void eb_unread_progress(struct eb_unread *un, struct eb_unread_reader *rd);
void eb_unread_end(struct eb_unread *un, struct eb_unread_reader *rd);
struct eb_unread_reader *eb_unread_next(const struct eb_unread *un,
					int64_t now_us, enum eb_metric *reason);

#endif
