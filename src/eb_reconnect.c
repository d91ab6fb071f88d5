#include "eb_reconnect.h"

#include <string.h>

#include "eb_tunables.h"

/* Records that the second connection was opened, in place of an older one. */
void eb_reconnect_dialled(struct eb_reconnect *rc, int64_t now_us)
{
	memset(rc, 0, sizeof(*rc));
	rc->dialled_us = now_us;
}

/* Records a heartbeat that was sent on the second connection. */
void eb_reconnect_asked(struct eb_reconnect *rc, int64_t now_us)
{
	rc->asked_us = now_us;
	rc->asked++;
}

/* Records an answer on the second connection. */
void eb_reconnect_answered(struct eb_reconnect *rc, int restarted,
			   int64_t now_us)
{
	if (!rc->answered_us)
		rc->answered_us = now_us;
	rc->restarted |= restarted != 0;
}

/*
 * Returns the next step; `suspected` tells whether the peer has not answered on
 * the first connection. A peer that was paused reads the older heartbeat on the
 * first connection before it answers on the second one, so an answer on the
 * first that is still on its way is awaited for EB_PEER_REPLACE_WAIT_MS. The
 * wait starts anew after a stall of this process, in which answers may wait
 * unread.
 */
enum eb_reconnect_step eb_reconnect_next(const struct eb_reconnect *rc,
					 const struct eb_liveness_clock *ck,
					 int suspected, int64_t now_us)
{
	int64_t from_us = rc->answered_us;

	if (!suspected)
		return rc->dialled_us ? EB_RECONNECT_CLOSE : EB_RECONNECT_WAIT;
	if (!rc->dialled_us)
		return EB_RECONNECT_DIAL;
	if (rc->restarted)
		return EB_RECONNECT_REPLACE;
	if (from_us) {
		if (from_us < ck->stalled_us)
			from_us = ck->stalled_us;
		return now_us - from_us >= EB_PEER_REPLACE_WAIT_MS * 1000LL
			       ? EB_RECONNECT_REPLACE
			       : EB_RECONNECT_WAIT;
	}
	if (now_us - rc->dialled_us >= EB_PEER_SECOND_REDIAL_MS * 1000LL)
		return EB_RECONNECT_DIAL;
	if (rc->asked &&
	    now_us - rc->asked_us <
		    eb_liveness_dial_interval_ms(rc->asked - 1) * 1000)
		return EB_RECONNECT_WAIT;
	return EB_RECONNECT_ASK;
}
