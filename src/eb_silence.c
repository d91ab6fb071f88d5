#include "eb_silence.h"

#include "eb_tunables.h"

/* Notes a turn; after a pause of this process, silence says nothing. */
int eb_silence_turn(struct eb_silence_clock *ck, int64_t now_us)
{
	int64_t gap_us = ck->turn_us ? now_us - ck->turn_us : 0;

	ck->turn_us = now_us;
	if (gap_us > EB_PEER_STALL_MS * 1000LL)
		ck->stalled_us = now_us;
	return gap_us > EB_PEER_HEARTBEAT_MS * 1000LL;
}

/* Notes a heartbeat, unless an earlier one still has no answer. */
void eb_silence_asked(struct eb_silence *si, int64_t now_us)
{
	if (!si->asked_us)
		si->asked_us = now_us;
}

/* Ends the silence; see the header. */
int eb_silence_heard(struct eb_silence *si, int64_t now_us)
{
	int suspected = si->suspected;

	si->heard_us = now_us;
	si->asked_us = 0;
	si->suspected = 0;
	return suspected;
}

/* Forgets the heartbeats that have no answer. */
void eb_silence_forgive(struct eb_silence *si)
{
	si->asked_us = 0;
	si->suspected = 0;
}

/*
 * Returns what the silence means by now. A process that has just stalled may
 * owe it to itself that an answer was not read, so it suspects nobody then.
 */
enum eb_silence_level eb_silence_judge(const struct eb_silence *si,
				       const struct eb_silence_clock *ck,
				       int64_t now_us)
{
	int64_t from_us = si->asked_us;

	if (!from_us)
		return EB_SILENCE_NONE;
	if (now_us - from_us >= EB_PEER_SILENT_MS * 1000LL)
		return EB_SILENCE_LOST;
	if (from_us < ck->stalled_us)
		from_us = ck->stalled_us;
	return now_us - from_us >= EB_PEER_SUSPECT_MS * 1000LL
		       ? EB_SILENCE_SUSPECTED
		       : EB_SILENCE_NONE;
}

/* Tells whether a call got no word at all, nor any other call there. */
int eb_silence_doubtful(const struct eb_silence *si, int64_t sent_us,
			int64_t now_us)
{
	return !si->asked_us && si->heard_us < sent_us &&
	       now_us - sent_us >= EB_PEER_ASK_MS * 1000LL;
}
