#ifndef EB_SILENCE_H
#define EB_SILENCE_H

#include <stdint.h>

/*
 * Failure detection for one peer. A peer that has not answered a heartbeat is
 * suspected after EB_PEER_SUSPECT_MS, which moves new requests elsewhere, and
 * lost after EB_PEER_SILENT_MS, which ends its calls. Pure: times are
 * monotonic, in microseconds.
 */
enum eb_silence_level {
	EB_SILENCE_NONE = 0,
	EB_SILENCE_SUSPECTED,
	EB_SILENCE_LOST,
};

struct eb_silence {
	int64_t asked_us; /* first heartbeat without an answer; 0: none */
	int64_t heard_us; /* last frame from the peer, or its connection */
	uint8_t suspected;
};

/*
 * The event loop's turns. They show when this process was paused, so that a
 * pause of its own is not taken for an unresponsive peer.
 */
struct eb_silence_clock {
	int64_t turn_us;    /* last turn; 0: none yet */
	int64_t stalled_us; /* end of the last pause; 0: none */
};

int eb_silence_turn(struct eb_silence_clock *ck, int64_t now_us);
void eb_silence_asked(struct eb_silence *si, int64_t now_us);
int eb_silence_heard(struct eb_silence *si, int64_t now_us);
void eb_silence_forgive(struct eb_silence *si);
enum eb_silence_level eb_silence_judge(const struct eb_silence *si,
				       const struct eb_silence_clock *ck,
				       int64_t now_us);
int eb_silence_doubtful(const struct eb_silence *si, int64_t sent_us,
			int64_t now_us);

#endif
