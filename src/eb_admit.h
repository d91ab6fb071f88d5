#ifndef EB_ADMIT_H
#define EB_ADMIT_H

#include <stdint.h>

#include "eb_frame.h"
#include "eb_warmup.h"

/*
 * Admission at a gate: which request gets a slot of the upstream now, which
 * one waits, and which one is refused as not run. Pure: the caller passes
 * the monotonic time and carries out the actions.
 */
struct eb_admit;

struct eb_admit_config {
	uint32_t slots;
	uint32_t queue;		    /* most requests that may wait */
	uint32_t watch_bytes_per_s; /* budget of load reports; 0: none */
};

/* Policy constants, which the bench varies. */
struct eb_admit_tuning {
	/* In mean service times of busy slots; 0: no stall is detected. */
	int64_t stall_times;
	int64_t wait_us; /* longest expected wait of a first attempt */
	/* Most slots that more urgent kinds reserve, of all that are used. */
	uint32_t reserve_max_permille;
	uint8_t urgency; /* 0: no reserve, no eviction, equal callers */
};

extern const struct eb_admit_tuning eb_admit_tuning_default;

struct eb_admit_request {
	uint64_t id;
	uint64_t caller;
	int64_t deadline_us; /* monotonic time of this daemon */
	int64_t goal_us;     /* an answer until then is on time; 0: no goal */
	uint32_t kind;	     /* whose service time is kept; 0: unknown */
	uint8_t idempotent;
	uint8_t attempt;  /* 0 for the first; later ones may wait longer */
	uint8_t priority; /* 0 is the most urgent */
	uint16_t baseline_pace_percent; /* of the service; 0: unknown */
};

enum eb_admit_verdict {
	EB_ADMIT_RUN,	 /* takes a slot now */
	EB_ADMIT_WAIT,	 /* queued; eb_admit_next() decides later */
	EB_ADMIT_REFUSE, /* not run; see reason */
};

struct eb_admit_action {
	uint64_t id;
	uint8_t verdict;      /* enum eb_admit_verdict */
	uint8_t reason;	      /* enum eb_reason, for EB_ADMIT_REFUSE */
	uint8_t rate_limited; /* refused for the upstream's rate limit */
	uint8_t cold;	      /* refused as the upstream is or may be cold */
	uint32_t retry_after_ms;
	int64_t waited_us;
};

struct eb_admit *eb_admit_new(const struct eb_admit_config *cf);
void eb_admit_free(struct eb_admit *ad);
void eb_admit_configure(struct eb_admit *ad, const struct eb_admit_config *cf);
void eb_admit_tune(struct eb_admit *ad, const struct eb_admit_tuning *tn);
void eb_admit_pace(struct eb_admit *ad, uint16_t pace_percent);
void eb_admit_limit_rate(struct eb_admit *ad, uint32_t per_s_milli,
			 int64_t now_us);
struct eb_warmup *eb_admit_warmup(struct eb_admit *ad);
int64_t eb_admit_limit_wait_us(const struct eb_admit *ad, int64_t now_us);
void eb_admit_drain(struct eb_admit *ad, int draining);
void eb_admit_evacuate(struct eb_admit *ad, int evacuated);
void eb_admit_offer(struct eb_admit *ad, const struct eb_admit_request *rq,
		    int64_t now_us, struct eb_admit_action *act);
void eb_admit_done(struct eb_admit *ad, uint64_t id, int64_t service_us,
		   int64_t now_us);
void eb_admit_sample_kind(struct eb_admit *ad, uint32_t kind,
			  int64_t service_us);
int eb_admit_cancel(struct eb_admit *ad, uint64_t id);
int eb_admit_next(struct eb_admit *ad, int64_t now_us,
		  struct eb_admit_action *act);
int64_t eb_admit_wake_us(const struct eb_admit *ad);
/* Bytes that a load report adds to an answer. */
#define EB_ADMIT_REPORT_BYTES 16
void eb_admit_report(struct eb_admit *ad, int64_t now_us, struct eb_load *ld);
void eb_admit_load(const struct eb_admit *ad, struct eb_load *ld);

#endif
