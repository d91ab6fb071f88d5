#include "eb_retry.h"

#include "eb_frame.h"
#include "eb_tunables.h"

/* Tokens that may be saved up: a burst of ten retries. */
#define TOKENS_MAX 10000
#define TOKENS_PER_RETRY 1000

/* Starts with a full budget; `retry_permille` retries for 1000 requests. */
void eb_retry_init(struct eb_retry *rb, uint32_t retry_permille)
{
	rb->retry_permille = retry_permille;
	rb->tokens = TOKENS_MAX;
}

/* Counts a first attempt, which pays for a share of a retry. */
void eb_retry_request(struct eb_retry *rb)
{
	rb->tokens += rb->retry_permille;
	if (rb->tokens > TOKENS_MAX)
		rb->tokens = TOKENS_MAX;
}

/*
 * Decides whether a failed attempt may be tried again, and pays for it. Only
 * what is proven not run, or idempotent, is ever tried again.
 */
int eb_retry_allow(struct eb_retry *rb, const struct eb_retry_attempt *at)
{
	if (at->attempts >= EB_ATTEMPTS_MAX || at->remaining_us <= 0)
		return 0;
	if (at->body_sent)
		return 0;
	if (at->outcome != EB_OUTCOME_NOT_RUN && !at->idempotent)
		return 0;
	if (rb->tokens < TOKENS_PER_RETRY)
		return 0;
	rb->tokens -= TOKENS_PER_RETRY;
	return 1;
}
