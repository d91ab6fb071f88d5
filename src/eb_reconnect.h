#ifndef EB_RECONNECT_H
#define EB_RECONNECT_H

#include <stdint.h>

#include "eb_liveness.h"

/*
 * Finds connections that are silent for good while new ones work. When a peer
 * is suspected, a second connection to it is opened. If the peer answers there
 * and still not on the first one, the second one replaces the first; without an
 * answer, the peer itself does not answer, and the first one stays. Pure: times
 * are monotonic, in microseconds.
 */
enum eb_reconnect_step {
	EB_RECONNECT_WAIT = 0,
	EB_RECONNECT_DIAL, /* open the second connection, or a newer one */
	EB_RECONNECT_ASK,  /* send a heartbeat on it */
	EB_RECONNECT_REPLACE,
	EB_RECONNECT_CLOSE, /* the first connection works */
};

/* The second connection; all zero without one. */
struct eb_reconnect {
	int64_t dialled_us;
	int64_t asked_us;    /* last heartbeat on it; 0: none */
	int64_t answered_us; /* first answer; 0: none */
	uint32_t asked;	     /* heartbeats sent on it */
	uint8_t restarted;   /* another incarnation has answered */
};

void eb_reconnect_dialled(struct eb_reconnect *rc, int64_t now_us);
void eb_reconnect_asked(struct eb_reconnect *rc, int64_t now_us);
void eb_reconnect_answered(struct eb_reconnect *rc, int restarted,
			   int64_t now_us);
enum eb_reconnect_step eb_reconnect_next(const struct eb_reconnect *rc,
					 const struct eb_liveness_clock *ck,
					 int suspected, int64_t now_us);

#endif
