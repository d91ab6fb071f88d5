#include "eb_unread.h"

#include <string.h>

/* Sets the bounds; a `limit_ms` of 0 is no limit. */
void eb_unread_init(struct eb_unread *un, int64_t held_max_bytes,
		    uint32_t limit_ms)
{
	memset(un, 0, sizeof(*un));
	un->held_max_bytes = held_max_bytes;
	un->limit_us = limit_ms * INT64_C(1000);
}

/* Adds to the bytes that are held for a connection, or subtracts from them. */
void eb_unread_hold(struct eb_unread *un, struct eb_unread_reader *rd,
		    int64_t bytes)
{
	rd->held_bytes += bytes;
	un->held_bytes += bytes;
}

/* Records that a connection takes no bytes; a second record changes nothing. */
void eb_unread_blocked(struct eb_unread *un, struct eb_unread_reader *rd,
		       int64_t now_us)
{
	if (rd->blocked)
		return;
	rd->blocked = 1;
	rd->blocked_us = now_us;
	rd->previous = un->last;
	rd->next = NULL;
	if (un->last)
		un->last->next = rd;
	else
		un->first = rd;
	un->last = rd;
}

/* Records that a connection has taken bytes or has nothing to take. */
void eb_unread_progress(struct eb_unread *un, struct eb_unread_reader *rd)
{
	if (!rd->blocked)
		return;
	rd->blocked = 0;
	if (rd->previous)
		rd->previous->next = rd->next;
	else
		un->first = rd->next;
	if (rd->next)
		rd->next->previous = rd->previous;
	else
		un->last = rd->previous;
}

/* Forgets a connection that is closed. */
void eb_unread_end(struct eb_unread *un, struct eb_unread_reader *rd)
{
	eb_unread_progress(un, rd);
	eb_unread_hold(un, rd, -rd->held_bytes);
}

/*
 * Returns the connection that is to be given up, and the metric that counts
 * why: the one that has been blocked for longest, when its time is over or too
 * many bytes are held. NULL: none. A connection that takes bytes is never given
 * up, since what is held for it is on its way.
 */
struct eb_unread_reader *eb_unread_next(const struct eb_unread *un,
					int64_t now_us, enum eb_metric *reason)
{
	struct eb_unread_reader *rd = un->first;

	if (rd && un->limit_us && now_us - rd->blocked_us >= un->limit_us) {
		*reason = EB_METRIC_ANSWERS_UNREAD;
		return rd;
	}
	if (un->held_bytes <= un->held_max_bytes)
		return NULL;
	/* One that holds nothing would be given up for nothing. */
	while (rd && rd->held_bytes <= 0)
		rd = rd->next;
	*reason = EB_METRIC_ANSWERS_MEMORY;
	return rd;
}
