#include "eb_liveness.h"

#include "eb_tunables.h"

/*
 * Records a turn of the event loop; to be called in each one. Returns 1 when
 * this process was paused for longer than EB_PEER_HEARTBEAT_MS: heartbeats
 * without an answer then say nothing about the peers.
 */
int eb_liveness_turn(struct eb_liveness_clock *ck, int64_t now_us)
{
	int64_t gap_us = ck->turn_us ? now_us - ck->turn_us : 0;

	ck->turn_us = now_us;
	if (gap_us > EB_PEER_STALL_MS * 1000LL)
		ck->stalled_us = now_us;
	return gap_us > EB_PEER_HEARTBEAT_MS * 1000LL;
}

/* Records a sent heartbeat, unless an earlier one has no answer yet. */
void eb_liveness_heartbeat_sent(struct eb_liveness *si, int64_t now_us)
{
	if (!si->asked_us)
		si->asked_us = now_us;
}

/* Records a frame from the peer. Returns 1 when it was suspected. */
int eb_liveness_received(struct eb_liveness *si, int64_t now_us)
{
	int suspected = si->suspected;

	si->heard_us = now_us;
	si->asked_us = 0;
	si->suspected = 0;
	return suspected;
}

/* Discards the heartbeats without an answer after a pause of this process. */
void eb_liveness_reset(struct eb_liveness *si)
{
	si->asked_us = 0;
	si->suspected = 0;
}

/*
 * Returns the peer's state. After a stall of this process, answers may wait
 * unread, so the time before the end of the stall does not count towards
 * EB_PEER_SUSPECT_MS.
 */
enum eb_liveness_state eb_liveness_get(const struct eb_liveness *si,
				       const struct eb_liveness_clock *ck,
				       int64_t now_us)
{
	int64_t from_us = si->asked_us;

	if (!from_us)
		return EB_LIVENESS_ALIVE;
	if (now_us - from_us >= EB_PEER_LOST_MS * 1000LL)
		return EB_LIVENESS_LOST;
	if (from_us < ck->stalled_us)
		from_us = ck->stalled_us;
	return now_us - from_us >= EB_PEER_SUSPECT_MS * 1000LL
		       ? EB_LIVENESS_SUSPECTED
		       : EB_LIVENESS_ALIVE;
}

/*
 * Tells whether the peer is known not to answer; `up` says that it has answered
 * since it was dialled. One that was not asked for long enough to answer is not
 * silent.
 */
int eb_liveness_is_silent(const struct eb_liveness *si, int up, int64_t now_us)
{
	if (si->suspected)
		return 1;
	return !up && si->asked_us &&
	       now_us - si->asked_us >= EB_PEER_SUSPECT_MS * 1000LL;
}

/*
 * Whether the peer should be sent a heartbeat because of a call: nothing was
 * received from it since the call was sent EB_PEER_CHECK_MS or more ago, or for
 * EB_PEER_CHECK_AGAIN_MS, and no heartbeat is without an answer.
 */
int eb_liveness_check_due(const struct eb_liveness *si, int64_t sent_us,
			  int64_t now_us)
{
	if (si->asked_us || now_us - sent_us < EB_PEER_CHECK_MS * 1000LL)
		return 0;
	return si->heard_us < sent_us ||
	       now_us - si->heard_us >= EB_PEER_CHECK_AGAIN_MS * 1000LL;
}

/*
 * Returns the time until the next heartbeat to a peer that has not answered
 * yet, in milliseconds, after `sent` of them have left. It doubles from
 * EB_PEER_DIAL_HEARTBEAT_MS to EB_PEER_HEARTBEAT_MS, since a daemon that is
 * slow to answer gets them from all others at once.
 */
int64_t eb_liveness_dial_interval_ms(uint32_t sent)
{
	int64_t ms = EB_PEER_DIAL_HEARTBEAT_MS;

	while (sent-- && ms < EB_PEER_HEARTBEAT_MS)
		ms *= 2;
	return ms < EB_PEER_HEARTBEAT_MS ? ms : EB_PEER_HEARTBEAT_MS;
}
