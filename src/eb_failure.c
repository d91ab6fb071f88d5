#include "eb_failure.h"

/* Retry-After of a refusal for which no wait is known. */
#define RETRY_AFTER_MS 1000

/* The HTTP status of a call that failed, by reason. */
static const uint16_t reason_status[EB_REASON_MAX + 1] = {
	[EB_REASON_NONE] = 502,
	[EB_REASON_NO_ROUTE] = 404,
	[EB_REASON_NO_UPSTREAM] = 503,
	[EB_REASON_QUEUE_FULL] = 503,
	[EB_REASON_DEADLINE] = 504,
	[EB_REASON_DRAINING] = 503,
	[EB_REASON_CONNECT] = 503,
	[EB_REASON_HANDED_BACK] = 503,
	[EB_REASON_CALLER_LIMIT] = 429,
	[EB_REASON_CRASHES] = 503,
	[EB_REASON_CLAIM] = 409,
	[EB_REASON_HOPS] = 508,
	[EB_REASON_LOST_PEER] = 502,
	[EB_REASON_UPSTREAM_CLOSED] = 502,
	[EB_REASON_STALLED] = 504,
	[EB_REASON_INTERNAL] = 500,
	[EB_REASON_UPSTREAM_REFUSED] = 503,
};

/*
 * Returns the frame that tells a caller that its call failed: a refusal, if it
 * has not run. A `status` of 0 is that of the reason. The caller should wait
 * for `wait_ms`, if that is known, and `extra_ms`. Returns NULL without memory.
 */
struct eb_frame *eb_failure_frame(uint64_t call, uint8_t outcome,
				  uint8_t reason, uint16_t status,
				  uint32_t wait_ms, uint32_t extra_ms)
{
	int not_run = outcome == EB_OUTCOME_NOT_RUN;
	struct eb_frame *f;

	f = eb_frame_new(not_run ? EB_FRAME_REFUSE : EB_FRAME_ABORT, call);
	if (!f)
		return NULL;
	f->reply->outcome = outcome;
	f->reply->reason = reason;
	f->reply->status = status ? status : reason_status[reason];
	/* It is proven that the gate never got the request. */
	if (not_run && reason == EB_REASON_LOST_PEER)
		f->reply->status = 503;
	f->reply->retry_after_ms = wait_ms + extra_ms;
	/* Clients retry on 503, which is safe only if nothing ran. */
	if (f->reply->status == 503 && !not_run)
		f->reply->status = 502;
	if (f->reply->status == 503 && !wait_ms)
		f->reply->retry_after_ms = RETRY_AFTER_MS;
	return f;
}
