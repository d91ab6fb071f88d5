#include "eb_outflow.h"

#include <assert.h>
#include <string.h>

/* An unknown link is taken for one that is never full. */
#define UNKNOWN_LINK_MBPS 1000000

/*
 * Sets the bandwidth of the link, 0 if it is unknown, and the bound of all
 * calls' unread bytes.
 */
void eb_outflow_init(struct eb_outflow *of, uint32_t link_mbps,
		     int64_t held_max_bytes)
{
	memset(of, 0, sizeof(*of));
	of->bytes_per_ms =
		(int64_t)(link_mbps ? link_mbps : UNKNOWN_LINK_MBPS) *
		EB_LINK_BYTES_PER_MS;
	of->held_max_bytes = held_max_bytes;
}

/*
 * Returns the bound of the bytes in the queue of the link: what it sends in
 * EB_OUTFLOW_QUEUE_MS, but at least two grants, so that one can be read from
 * the upstream while the other is sent.
 */
int64_t eb_outflow_queue_max_bytes(const struct eb_outflow *of)
{
	int64_t bytes = of->bytes_per_ms * EB_OUTFLOW_QUEUE_MS;

	return bytes > 2 * EB_OUTFLOW_GRANT_BYTES ? bytes
						  : 2 * EB_OUTFLOW_GRANT_BYTES;
}

/*
 * Returns how many bytes of one call may be unconfirmed: an equal share of the
 * bound for all calls, within the limits that the protocol sets.
 */
static int64_t window_bytes(const struct eb_outflow *of)
{
	int64_t share = of->held_max_bytes / (of->streams ? of->streams : 1);

	if (share < EB_OUTFLOW_WINDOW_MIN_BYTES)
		return EB_OUTFLOW_WINDOW_MIN_BYTES;
	return share < EB_CREDIT_WINDOW_BYTES ? share : EB_CREDIT_WINDOW_BYTES;
}

static struct eb_outflow_entry *entry_at(struct eb_outflow *of, uint32_t i)
{
	return &of->entries[(of->entry_first + i) % EB_OUTFLOW_ENTRIES_MAX];
}

/* Removes the empty entries at the front of the queue. */
static void drop_empty(struct eb_outflow *of)
{
	while (of->entry_count && !entry_at(of, 0)->bytes) {
		of->entry_first =
			(of->entry_first + 1) % EB_OUTFLOW_ENTRIES_MAX;
		of->entry_count--;
	}
}

/* Removes what the link has sent since the last call, the oldest bytes first.
 */
static void drain(struct eb_outflow *of, int64_t now_us)
{
	int64_t us = now_us - of->at_us, bytes, n;
	struct eb_outflow_entry *en;

	if (us <= 0)
		return;
	/* A second empties the queue; a longer time could overflow. */
	if (us > 1000000 || (!of->queue_bytes && !of->other_bytes)) {
		bytes = us > 1000000 ? INT64_MAX : 0;
		of->at_us = now_us;
	} else {
		/* The remainder counts for the next call. */
		bytes = us * of->bytes_per_ms / 1000;
		of->at_us += bytes * 1000 / of->bytes_per_ms;
	}
	n = bytes < of->other_bytes ? bytes : of->other_bytes;
	of->other_bytes -= n;
	bytes -= n;
	while (bytes && of->entry_count) {
		en = entry_at(of, 0);
		n = bytes < en->bytes ? bytes : en->bytes;
		en->bytes -= (uint32_t)n;
		of->queue_bytes -= n;
		bytes -= n;
		if (en->stream)
			en->stream->left_bytes += (uint64_t)n;
		drop_empty(of);
	}
}

/* Adds granted bytes of a call to the queue of the link. */
static void enqueue(struct eb_outflow *of, struct eb_outflow_stream *st,
		    uint32_t bytes)
{
	struct eb_outflow_entry *en;

	if (of->entry_count == EB_OUTFLOW_ENTRIES_MAX) {
		st->left_bytes += bytes;
		return;
	}
	en = entry_at(of, of->entry_count++);
	en->stream = st;
	en->bytes = bytes;
	of->queue_bytes += bytes;
}

static void leave_turn(struct eb_outflow *of, struct eb_outflow_stream *st)
{
	if (!st->waits)
		return;
	if (st->previous)
		st->previous->next = st->next;
	else
		of->first = st->next;
	if (st->next)
		st->next->previous = st->previous;
	else
		of->last = st->previous;
	st->next = NULL;
	st->previous = NULL;
	st->waits = 0;
}

/*
 * Tells whether a call can use a grant: the client thread has less left than it
 * reads at once, and the window has room.
 */
static int wants_grant(const struct eb_outflow *of,
		       const struct eb_outflow_stream *st)
{
	return st->granted_bytes - st->sent_bytes < EB_OUTFLOW_GRANT_BYTES &&
	       (int64_t)(st->granted_bytes - st->read_bytes) +
			       EB_OUTFLOW_GRANT_BYTES <=
		       window_bytes(of);
}

/* Appends a call to those that wait for a grant, if it can use one. */
static void take_turn(struct eb_outflow *of, struct eb_outflow_stream *st)
{
	if (st->waits || !wants_grant(of, st))
		return;
	st->previous = of->last;
	if (of->last)
		of->last->next = st;
	else
		of->first = st;
	of->last = st;
	st->waits = 1;
}

static void grant(struct eb_outflow *of, struct eb_outflow_stream *st)
{
	st->granted_bytes += EB_OUTFLOW_GRANT_BYTES;
	of->held_bytes += EB_OUTFLOW_GRANT_BYTES;
	if (!st->local)
		enqueue(of, st, EB_OUTFLOW_GRANT_BYTES);
}

/*
 * Begins a streamed answer. Its call has a first grant already, since the
 * request was sent to the upstream, so that a short answer without a length is
 * not delayed.
 */
void eb_outflow_open(struct eb_outflow *of, struct eb_outflow_stream *st,
		     int local, int64_t now_us)
{
	assert(!st->open);
	drain(of, now_us);
	memset(st, 0, sizeof(*st));
	st->open = 1;
	st->local = local != 0;
	of->streams++;
	grant(of, st);
}

/* Records bytes of an answer that were sent to the origin. */
void eb_outflow_sent(struct eb_outflow *of, struct eb_outflow_stream *st,
		     uint32_t bytes)
{
	if (!st->open)
		return;
	st->sent_bytes += bytes;
	/* An answer that is whole before the request is sent has no grant. */
	if (st->sent_bytes > st->granted_bytes) {
		of->held_bytes += (int64_t)(st->sent_bytes - st->granted_bytes);
		st->left_bytes += st->sent_bytes - st->granted_bytes;
		st->granted_bytes = st->sent_bytes;
	}
	take_turn(of, st);
}

/*
 * Records bytes that the origin has passed on to the caller. They leave the
 * queue of the link if they are still in it. A count above what was sent is cut
 * off, as it comes from another daemon.
 */
void eb_outflow_confirmed(struct eb_outflow *of, struct eb_outflow_stream *st,
			  uint64_t bytes, int64_t now_us)
{
	struct eb_outflow_entry *en;
	uint64_t n;
	uint32_t i;

	if (!st->open)
		return;
	drain(of, now_us);
	if (bytes > st->sent_bytes - st->read_bytes)
		bytes = st->sent_bytes - st->read_bytes;
	st->read_bytes += bytes;
	of->held_bytes -= (int64_t)bytes;
	n = bytes < st->left_bytes ? bytes : st->left_bytes;
	st->left_bytes -= n;
	bytes -= n;
	for (i = 0; bytes && i < of->entry_count; i++) {
		en = entry_at(of, i);
		if (en->stream != st)
			continue;
		n = bytes < en->bytes ? bytes : en->bytes;
		en->bytes -= (uint32_t)n;
		of->queue_bytes -= (int64_t)n;
		bytes -= n;
	}
	drop_empty(of);
	take_turn(of, st);
}

/*
 * Ends a streamed answer. What was sent of it stays in the queue of the link
 * until the link has sent it.
 */
void eb_outflow_close(struct eb_outflow *of, struct eb_outflow_stream *st)
{
	uint64_t unsent = st->granted_bytes - st->sent_bytes, n;
	struct eb_outflow_entry *en;
	uint32_t i;

	if (!st->open)
		return;
	leave_turn(of, st);
	of->streams--;
	of->held_bytes -= (int64_t)(st->granted_bytes - st->read_bytes);
	/* The newest bytes are those that were not sent. */
	for (i = of->entry_count; i-- > 0;) {
		en = entry_at(of, i);
		if (en->stream != st)
			continue;
		n = unsent < en->bytes ? unsent : en->bytes;
		en->bytes -= (uint32_t)n;
		of->queue_bytes -= (int64_t)n;
		unsent -= n;
		en->stream = NULL;
	}
	drop_empty(of);
	memset(st, 0, sizeof(*st));
}

/*
 * Records bytes that are sent to other daemons without a grant. They take up to
 * half of the queue, so that streamed answers always make progress.
 */
void eb_outflow_other(struct eb_outflow *of, uint32_t bytes, int64_t now_us)
{
	int64_t most = eb_outflow_queue_max_bytes(of) / 2;

	drain(of, now_us);
	of->other_bytes += bytes;
	if (of->other_bytes > most)
		of->other_bytes = most;
}

/* Bytes by which the queue is too full for another grant; at most 0: none. */
static int64_t excess_bytes(const struct eb_outflow *of)
{
	return of->queue_bytes + of->other_bytes + EB_OUTFLOW_GRANT_BYTES -
	       eb_outflow_queue_max_bytes(of);
}

/*
 * Returns the call that gets the next grant of EB_OUTFLOW_GRANT_BYTES, or NULL.
 * Calls take turns.
 */
struct eb_outflow_stream *eb_outflow_next(struct eb_outflow *of, int64_t now_us)
{
	struct eb_outflow_stream *st, *next;
	int full;

	drain(of, now_us);
	full = excess_bytes(of) > 0 ||
	       of->entry_count == EB_OUTFLOW_ENTRIES_MAX;
	for (st = of->first; st; st = next) {
		next = st->next;
		/* The window may have shrunk while the call waited. */
		if (!wants_grant(of, st)) {
			leave_turn(of, st);
			continue;
		}
		if (full && !st->local)
			continue;
		leave_turn(of, st);
		grant(of, st);
		take_turn(of, st);
		return st;
	}
	return NULL;
}

/* Returns when the link has room for the next grant; INT64_MAX: none waits. */
int64_t eb_outflow_wake_us(const struct eb_outflow *of)
{
	int64_t excess = excess_bytes(of);

	if (!of->first)
		return INT64_MAX;
	if (excess < 1)
		excess = 1;
	return of->at_us + excess * 1000 / of->bytes_per_ms + 1;
}
