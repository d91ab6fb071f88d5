#include "eb_warmup.h"

#include "eb_test_off.h"
#include "eb_tunables.h"

/* Requests that may be unverified in addition to half of the cold rate. */
#define ALLOWANCE_EXTRA 4
/*
 * Pace of a known cold upstream, of its rate. Operators state the rate that it
 * bears for long, and allow half as much again in any second.
 */
#define PACE_PERMILLE 1250
/* Unverified requests that leave room for the full pace. */
#define CARRIED_LOW 4
/* The bound on cold upstreams holds in each window of this length. */
#define WINDOW_US 1000000
/*
 * Least time between two probes, 40 a second: the platform allows 60 a second
 * and upstream.
 */
#define PROBE_GAP_US 25000
/* A cold or unresponsive upstream is probed this often under load. */
#define RECHECK_US 250000
/* Unanswered probes that are repeated without waiting for RECHECK_US. */
#define QUICK_RETRIES 2
/* A request may wait this long for the result of a probe. */
#define RESULT_WAIT_US EB_PACE_WAIT_US

/* Returns U: the most requests since the last result "not cold". */
static uint32_t allowance(const struct eb_warmup *wu)
{
	return (uint32_t)(wu->per_s_milli / 2000) + ALLOWANCE_EXTRA;
}

/* Returns the part of the allowance that an earlier cold time has used. */
static uint32_t carried(const struct eb_warmup *wu, int64_t now_us)
{
	return now_us < wu->carried_until_us ? wu->carried : 0;
}

/* Tells whether requests are paced at more than the stated rate. */
static int has_full_pace(const struct eb_warmup *wu, int64_t now_us)
{
	return wu->state == EB_WARMUP_COLD &&
	       carried(wu, now_us) <= CARRIED_LOW;
}

/*
 * Returns the least time between two requests to a cold upstream. An upstream
 * that is known to be cold gets the full pace once what was sent before the
 * notice no longer counts; one that may be cold gets its stated rate.
 */
static int64_t interval_us(const struct eb_warmup *wu, int64_t now_us)
{
	int64_t rate = wu->per_s_milli;

	if (has_full_pace(wu, now_us))
		rate = rate * PACE_PERMILLE / 1000;
	return (1000000000 + rate - 1) / rate;
}

/* Returns how many requests may be sent without pacing. */
static uint32_t left(const struct eb_warmup *wu, int64_t now_us)
{
	uint32_t used = wu->sent + carried(wu, now_us);

	if (wu->state != EB_WARMUP_WARM || now_us < wu->entry_until_us ||
	    used >= allowance(wu))
		return 0;
	return allowance(wu) - used;
}

/*
 * Stores that the upstream is cold. The requests sent since the last result
 * "not cold" may have reached it cold, so they count in the window that
 * follows, also if it becomes warm and cold again within that window.
 */
static void set_cold(struct eb_warmup *wu, int64_t cold_ms, int64_t now_us)
{
	if (wu->state != EB_WARMUP_COLD) {
		wu->carried = wu->sent + carried(wu, now_us);
		wu->carried_until_us = now_us + WINDOW_US;
	}
	if (cold_ms > EB_COLD_MAX_MS)
		cold_ms = EB_COLD_MAX_MS;
	wu->cold_until_us = now_us + cold_ms * 1000;
	wu->state = EB_WARMUP_COLD;
}

/*
 * Sets the rate of a cold upstream in thousandths of a request per second; 0:
 * no limit. The first rate starts in the state of a fresh daemon: possibly
 * cold, with one request that may be sent.
 */
void eb_warmup_set_rate(struct eb_warmup *wu, uint32_t per_s_milli,
			int64_t now_us)
{
	if (eb_test_off("placement"))
		per_s_milli = 0;
	if (per_s_milli && !wu->per_s_milli) {
		wu->state = EB_WARMUP_UNKNOWN;
		wu->unanswered = 0;
		wu->probe_void = wu->probe_open;
		wu->next_us = now_us;
	}
	wu->per_s_milli = per_s_milli;
	/* The interval of a lower rate may be minutes long. */
	if (per_s_milli && wu->next_us > now_us + interval_us(wu, now_us))
		wu->next_us = now_us + interval_us(wu, now_us);
}

/*
 * Sets the time that the upstream stays cold according to its entry. It may be
 * seconds old, so it only makes the limit stricter: while it lasts, requests
 * are paced whatever probes say. The same value once more is of the same entry
 * and does not extend that time.
 */
void eb_warmup_entry(struct eb_warmup *wu, uint32_t cold_ms, int64_t now_us)
{
	if (cold_ms > EB_COLD_MAX_MS)
		cold_ms = EB_COLD_MAX_MS;
	if (cold_ms == wu->entry_ms)
		return;
	wu->entry_ms = cold_ms;
	wu->entry_until_us = now_us + cold_ms * 1000LL;
}

/*
 * To be called when another start of the upstream is known: it may be cold, and
 * an open probe may have been answered by the earlier start. The time of the
 * entry stays in force, as the entry may already be that of the new start.
 */
void eb_warmup_restarted(struct eb_warmup *wu)
{
	wu->state = EB_WARMUP_UNKNOWN;
	wu->unanswered = 0;
	wu->entry_ms = 0;
	wu->probe_void = wu->probe_open;
}

/* Counts a request that is sent to the upstream now. */
void eb_warmup_sent(struct eb_warmup *wu, int64_t now_us)
{
	if (!wu->per_s_milli)
		return;
	wu->sent++;
	wu->sent_open++;
	if (has_full_pace(wu, now_us))
		wu->full_until_us = now_us + WINDOW_US;
	if (wu->next_us < now_us + interval_us(wu, now_us))
		wu->next_us = now_us + interval_us(wu, now_us);
}

/* Records that a probe is sent now. */
void eb_warmup_probe_sent(struct eb_warmup *wu, int64_t now_us)
{
	wu->probe_us = now_us;
	wu->probed = 1;
	wu->probe_open = 1;
	wu->probe_void = 0;
	wu->sent_open = 0;
}

/*
 * Lets what the full pace has sent beyond the stated rate count for a second
 * against the requests that a warm upstream may get unverified: it may be cold
 * again at once.
 */
static void keep_excess(struct eb_warmup *wu, int64_t now_us)
{
	uint32_t excess =
		(uint32_t)(wu->per_s_milli * (PACE_PERMILLE - 1000) / 1000000);

	if (carried(wu, now_us) >= excess)
		return;
	wu->carried = excess;
	wu->carried_until_us = now_us + WINDOW_US;
}

/*
 * Records the result of the open probe: the time that the upstream stays cold,
 * 0 if it is not cold, or EB_WARMUP_NO_ANSWER. The upstream was in this state
 * at some time after the probe was sent, so that requests since then remain
 * unverified.
 */
void eb_warmup_probe_result(struct eb_warmup *wu, int64_t cold_ms,
			    int64_t now_us)
{
	if (!wu->probe_open)
		return;
	wu->probe_open = 0;
	if (cold_ms < 0 || wu->probe_void) {
		wu->state = EB_WARMUP_UNKNOWN;
		wu->unanswered += wu->unanswered < UINT8_MAX;
	} else if (cold_ms) {
		set_cold(wu, cold_ms, now_us);
		wu->unanswered = 0;
	} else {
		/* A lost probe or a restart may lie in between. */
		if (wu->state == EB_WARMUP_COLD || now_us < wu->full_until_us)
			keep_excess(wu, now_us);
		wu->state = EB_WARMUP_WARM;
		wu->unanswered = 0;
		wu->sent = wu->sent_open;
	}
}

/*
 * Returns how long a request is expected to wait until the result of a probe
 * renews the allowance of a warm upstream, or INT64_MAX.
 */
static int64_t result_wait_us(const struct eb_warmup *wu, int64_t now_us)
{
	int64_t at_us = wu->probe_us + RESULT_WAIT_US;

	if (wu->state != EB_WARMUP_WARM || now_us < wu->entry_until_us ||
	    carried(wu, now_us))
		return INT64_MAX;
	if (!wu->probe_open)
		at_us = wu->probe_us + PROBE_GAP_US + RESULT_WAIT_US;
	return now_us < at_us ? at_us - now_us : INT64_MAX;
}

/*
 * Returns how long a request with `ahead` others before it has to wait. It may
 * be sent now if the result is 0 with `ahead` 0. While the allowance of a warm
 * upstream lasts, the requests ahead do not count, as probes renew it.
 */
int64_t eb_warmup_wait_us(const struct eb_warmup *wu, uint32_t ahead,
			  int64_t now_us)
{
	int64_t wait_us, result_us;

	if (!wu->per_s_milli || left(wu, now_us))
		return 0;
	wait_us = wu->next_us > now_us ? wu->next_us - now_us : 0;
	wait_us += ahead * interval_us(wu, now_us);
	result_us = result_wait_us(wu, now_us);
	return result_us < wait_us ? result_us : wait_us;
}

/*
 * Returns when a waiting request is to be looked at again if no probe is
 * answered before; INT64_MAX without a limit.
 */
int64_t eb_warmup_wake_us(const struct eb_warmup *wu)
{
	return wu->per_s_milli ? wu->next_us : INT64_MAX;
}

/* Tells whether a probe stays within the limit of probes per second. */
int eb_warmup_may_probe(const struct eb_warmup *wu, int64_t now_us)
{
	return !wu->per_s_milli || !wu->probed ||
	       now_us - wu->probe_us >= PROBE_GAP_US;
}

/*
 * Returns when the next probe should be sent if there are requests, or
 * INT64_MAX. Not to be asked while there are none, so that an idle upstream is
 * not probed.
 */
int64_t eb_warmup_probe_due_us(const struct eb_warmup *wu, int64_t now_us)
{
	int64_t first_us = wu->probe_us + PROBE_GAP_US;
	int64_t recheck_us = wu->probe_us + RECHECK_US;

	if (!wu->per_s_milli || wu->probe_open)
		return INT64_MAX;
	if (!wu->probed)
		return now_us;
	if (wu->state == EB_WARMUP_UNKNOWN)
		return wu->unanswered <= QUICK_RETRIES ? first_us : recheck_us;
	if (wu->state == EB_WARMUP_WARM)
		return wu->sent + carried(wu, now_us) >= allowance(wu) / 2
			       ? first_us
			       : INT64_MAX;
	if (wu->cold_until_us < recheck_us)
		return wu->cold_until_us > first_us ? wu->cold_until_us
						    : first_us;
	return recheck_us;
}

/* Tells whether requests are paced because the upstream is or may be cold. */
int eb_warmup_is_cold(const struct eb_warmup *wu, int64_t now_us)
{
	return wu->per_s_milli &&
	       (wu->state != EB_WARMUP_WARM || now_us < wu->entry_until_us);
}
