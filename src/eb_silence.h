#ifndef EB_SILENCE_H
#define EB_SILENCE_H

#include <stdint.h>

/*
 * What the silence of a peer means. A peer that owes the answer to a heartbeat
 * is suspected first, which moves new work elsewhere, and lost later, which
 * ends the calls that it has. Pure: times are monotonic, in microseconds.
 */
enum eb_silence_level {
	EB_SILENCE_NONE = 0,
	EB_SILENCE_SUSPECTED,
	EB_SILENCE_LOST,
};

struct eb_silence {
	int64_t asked_us; /* first heartbeat without an answer; 0: none */
	int64_t heard_us;
	uint8_t suspected;
};

/* The turns of this process, to tell its own pauses from silence. */
struct eb_silence_clock {
	int64_t turn_us;    /* 0: none yet */
	int64_t stalled_us; /* end of the last pause; 0: none */
};

/* To be called in each turn. Returns 1 when the process has been paused. */
int eb_silence_turn(struct eb_silence_clock *ck, int64_t now_us);
/* A heartbeat was sent. */
void eb_silence_asked(struct eb_silence *si, int64_t now_us);
/* Anything has come from the peer; returns 1 when it was suspected. */
int eb_silence_heard(struct eb_silence *si, int64_t now_us);
/* Starts over, after a pause or with a new connection. */
void eb_silence_forgive(struct eb_silence *si);
enum eb_silence_level eb_silence_judge(const struct eb_silence *si,
				       const struct eb_silence_clock *ck,
				       int64_t now_us);
/* Whether the peer should be asked about a call that was sent to it then. */
int eb_silence_doubtful(const struct eb_silence *si, int64_t sent_us,
			int64_t now_us);

#endif
