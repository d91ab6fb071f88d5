#ifndef EB_LIVENESS_H
#define EB_LIVENESS_H

#include <stdint.h>

/*
 * Failure detection for one peer. A peer that has not answered a heartbeat is
 * suspected after EB_PEER_SUSPECT_MS, which moves new requests elsewhere, and
 * lost after EB_PEER_LOST_MS, which ends its calls. Pure: times are
 * monotonic, in microseconds.
 */
enum eb_liveness_state {
	EB_LIVENESS_ALIVE = 0,
	EB_LIVENESS_SUSPECTED,
	EB_LIVENESS_LOST,
};

struct eb_liveness {
	int64_t asked_us; /* first heartbeat without an answer; 0: none */
	int64_t heard_us; /* last frame from the peer, or its connection */
	uint8_t suspected;
};

/*
 * The event loop's turns. They show when this process was paused, so that a
 * pause of its own is not taken for an unresponsive peer.
 */
struct eb_liveness_clock {
	int64_t turn_us;    /* last turn; 0: none yet */
	int64_t stalled_us; /* end of the last pause; 0: none */
};

int eb_liveness_turn(struct eb_liveness_clock *ck, int64_t now_us);
void eb_liveness_heartbeat_sent(struct eb_liveness *si, int64_t now_us);
int eb_liveness_received(struct eb_liveness *si, int64_t now_us);
void eb_liveness_reset(struct eb_liveness *si);
enum eb_liveness_state eb_liveness_get(const struct eb_liveness *si,
				       const struct eb_liveness_clock *ck,
				       int64_t now_us);
int64_t eb_liveness_dial_interval_ms(uint32_t sent);
int eb_liveness_is_silent(const struct eb_liveness *si, int up, int64_t now_us);
int eb_liveness_check_due(const struct eb_liveness *si, int64_t sent_us,
			  int64_t now_us);

#endif
