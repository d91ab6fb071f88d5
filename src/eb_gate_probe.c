#include "eb_gate_probe.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

/*
 * A probe whose result has not come after this time was lost within the daemon:
 * the client ends a probe after 300 ms.
 */
#define LOST_US 1000000

/* Frees what the state holds. */
void eb_gate_probe_clear(struct eb_gate_probe *pb)
{
	free(pb->where);
}

/* Sets the address and path of probes; `up` may be NULL. */
void eb_gate_probe_configure(struct eb_gate_probe *pb,
			     const struct eb_upstream *up)
{
	free(pb->where);
	pb->where = NULL;
	if (up && up->probe_path &&
	    asprintf(&pb->where, "%s %s", up->address, up->probe_path) < 0)
		pb->where = NULL;
}

/* Logs when the upstream becomes cold or warm, and sets the metric. */
static void report_cold(struct eb_gate_probe *pb, int64_t now_us)
{
	static const char *const states[] = { "unverified", "warm", "cold" };
	const struct eb_warmup *wu = pb->warmup;
	int cold = eb_warmup_is_cold(wu, now_us);
	int64_t cold_us = wu->cold_until_us > wu->entry_until_us
				  ? wu->cold_until_us
				  : wu->entry_until_us;

	if (cold == pb->cold)
		return;
	pb->cold = (uint8_t)cold;
	eb_metrics_set(pb->metrics, EB_METRIC_UPSTREAM_COLD, cold);
	eb_log_write(pb->log, EB_LOG_INFO, "gate",
		     cold ? "upstream is or may be cold, requests are limited"
			  : "upstream is no longer cold",
		     "probe=%s rate_milli=%lld cold_ms=%lld", states[wu->state],
		     (long long)wu->per_s_milli,
		     cold_us > now_us ? (long long)(cold_us - now_us) / 1000
				      : 0LL);
}

/* Sets the cold rate of the service and the cold time of the entry. */
void eb_gate_probe_set_warmup(struct eb_gate_probe *pb,
			      const struct eb_service *sv,
			      const struct eb_upstream *up, int64_t now_us)
{
	int changed = pb->warmup->per_s_milli != sv->cold_per_s_milli;

	eb_warmup_set_rate(pb->warmup, sv->cold_per_s_milli, now_us);
	eb_warmup_entry(pb->warmup, up->cold_ms, now_us);
	if (changed && sv->cold_per_s_milli && !pb->where)
		eb_log_write(pb->log, EB_LOG_WARN, "gate",
			     "service has a cold rate but no path for probes, "
			     "the limit always applies",
			     "service=%s", sv->name);
	report_cold(pb, now_us);
}

/*
 * Tells whether a call should wait for a load probe, because the known pace is
 * older than EB_PACE_FRESH_US; the pace of a VM changes many times a second. A
 * probe that is not answered holds calls for EB_PACE_WAIT_US at most.
 */
int eb_gate_probe_needed(const struct eb_gate_probe *pb, int64_t now_us)
{
	if (!pb->where)
		return 0;
	if (pb->pace_us && now_us - pb->pace_us < EB_PACE_FRESH_US)
		return 0;
	if (!pb->sent_us)
		return eb_warmup_may_probe(pb->warmup, now_us);
	return now_us - pb->sent_us < EB_PACE_WAIT_US;
}

/* Sends a load probe to the upstream, unless one is open. */
void eb_gate_probe_send(struct eb_gate_probe *pb, int64_t now_us)
{
	struct eb_frame *f;

	if (pb->sent_us || !eb_warmup_may_probe(pb->warmup, now_us))
		return;
	f = eb_frame_new(EB_FRAME_PROBE, 0);
	if (!f)
		return;
	f->object = strdup(pb->where);
	f->object_free = free;
	pb->sent_us = now_us;
	pb->demand = 0;
	eb_warmup_probe_sent(pb->warmup, now_us);
	pb->to_client(pb->ctx, f);
}

/*
 * Stores when a reply with the pace of the VM was received. Returns 0 for a
 * reply without it.
 */
int eb_gate_probe_save_pace(struct eb_gate_probe *pb, const struct eb_reply *r,
			    int64_t now_us)
{
	if (!r || !r->load.pace_percent)
		return 0;
	pb->pace_us = now_us;
	eb_metrics_stamp(pb->metrics, EB_AGE_PACE, now_us);
	return 1;
}

/* Handles the result of the open probe. */
void eb_gate_probe_answered(struct eb_gate_probe *pb, const struct eb_frame *f,
			    int64_t now_us)
{
	int64_t cold_ms = EB_WARMUP_NO_ANSWER;

	if (f->reply->cold_known)
		cold_ms = f->reply->cold_ms;
	pb->sent_us = 0;
	eb_warmup_probe_result(pb->warmup, cold_ms, now_us);
	report_cold(pb, now_us);
}

/*
 * To be called when another start of the upstream has answered a request: the
 * known pace is void, so that the next call waits for a probe.
 */
void eb_gate_probe_new_start(struct eb_gate_probe *pb)
{
	pb->pace_us = 0;
	eb_warmup_restarted(pb->warmup);
}

/* Tells whether calls have waited for the open probe for long enough. */
int eb_gate_probe_wait_over(const struct eb_gate_probe *pb, int64_t now_us)
{
	return pb->held && now_us - pb->sent_us >= EB_PACE_WAIT_US;
}

/* Sends the probe for the cold state that is due, if calls have arrived. */
void eb_gate_probe_poll(struct eb_gate_probe *pb, int64_t now_us)
{
	if (!pb->warmup->per_s_milli)
		return;
	if (pb->sent_us && now_us - pb->sent_us >= LOST_US) {
		pb->sent_us = 0;
		eb_warmup_probe_result(pb->warmup, EB_WARMUP_NO_ANSWER, now_us);
	}
	report_cold(pb, now_us);
	if (!pb->where || !pb->demand || pb->sent_us ||
	    now_us < eb_warmup_probe_due_us(pb->warmup, now_us))
		return;
	eb_metrics_add(pb->metrics, EB_METRIC_PROBES_COLD, 1);
	eb_gate_probe_send(pb, now_us);
}

/* Returns when eb_gate_probe_poll() or the end of a wait is due at the latest.
 */
int64_t eb_gate_probe_wake_us(const struct eb_gate_probe *pb, int64_t now_us)
{
	int64_t wake_us = INT64_MAX, due_us = INT64_MAX;
	int64_t result_us = pb->warmup->probe_us + EB_PACE_WAIT_US;

	if (pb->held)
		wake_us = pb->sent_us + EB_PACE_WAIT_US;
	if (!pb->warmup->per_s_milli)
		return wake_us;
	if (pb->where && pb->demand && !pb->sent_us)
		due_us = eb_warmup_probe_due_us(pb->warmup, now_us);
	/* Admission has calls that wait for the result. */
	else if (pb->sent_us && result_us >= now_us)
		due_us = result_us + 1;
	return due_us < wake_us ? due_us : wake_us;
}

/* Returns the age of the pace, or -1 when none was received yet. */
int64_t eb_gate_probe_pace_age_ms(const struct eb_gate_probe *pb,
				  int64_t now_us)
{
	return pb->pace_us ? (now_us - pb->pace_us) / 1000 : -1;
}
