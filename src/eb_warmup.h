#ifndef EB_WARMUP_H
#define EB_WARMUP_H

#include <stdint.h>

/*
 * Bounds the requests that the gate sends to an upstream that is cold, or may
 * be cold without having said so yet. Pure: the caller passes the monotonic
 * time, which must not decrease. All zero: no limit.
 */
enum eb_warmup_state {
	EB_WARMUP_UNKNOWN = 0, /* possibly cold: no valid probe result */
	EB_WARMUP_WARM,	       /* the last probe result was "not cold" */
	EB_WARMUP_COLD,	       /* the last probe result was "cold" */
};

struct eb_warmup {
	int64_t per_s_milli; /* rate of a cold upstream; 0: no limit */
	uint32_t sent;	     /* since the last "not cold" probe was sent */
	uint32_t sent_open;  /* since the open probe was sent */
	/* Sent unverified before the upstream was found cold, and until when
	 * that reduces the allowance. */
	uint32_t carried;
	int64_t carried_until_us;
	int64_t full_until_us;	/* a second after the last at the full pace */
	int64_t next_us;	/* when pacing lets the next request through */
	int64_t cold_until_us;	/* according to the last probe result */
	int64_t entry_until_us; /* according to the entry */
	int64_t probe_us;	/* when the last probe was sent */
	uint32_t entry_ms;	/* last value of the entry */
	uint8_t state;		/* enum eb_warmup_state */
	uint8_t probed;		/* a probe was sent before */
	uint8_t probe_open;	/* its result is awaited */
	uint8_t probe_void;	/* its result is about an earlier start */
	uint8_t unanswered;	/* probes in a row without a valid result */
};

/* Result of a probe that was not answered with a valid cold time. */
#define EB_WARMUP_NO_ANSWER (-1)

void eb_warmup_set_rate(struct eb_warmup *wu, uint32_t per_s_milli,
			int64_t now_us);
void eb_warmup_entry(struct eb_warmup *wu, uint32_t cold_ms, int64_t now_us);
void eb_warmup_restarted(struct eb_warmup *wu);
void eb_warmup_sent(struct eb_warmup *wu, int64_t now_us);
void eb_warmup_probe_sent(struct eb_warmup *wu, int64_t now_us);
void eb_warmup_probe_result(struct eb_warmup *wu, int64_t cold_ms,
			    int64_t now_us);
int64_t eb_warmup_wait_us(const struct eb_warmup *wu, uint32_t ahead,
			  int64_t now_us);
int64_t eb_warmup_wake_us(const struct eb_warmup *wu);
int eb_warmup_may_probe(const struct eb_warmup *wu, int64_t now_us);
int64_t eb_warmup_probe_due_us(const struct eb_warmup *wu, int64_t now_us);
int eb_warmup_is_cold(const struct eb_warmup *wu, int64_t now_us);

#endif
