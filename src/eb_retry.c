#include "eb_retry.h"

#include "eb_frame.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

#define TOKENS_PER_RETRY 1000
/*
 * A burst of three retries: over 21 levels of nested calls each daemon adds at
 * most 63 attempts to an outage. With ten retries it would add 210.
 */
#define TOKENS_MAX 3000
#define REROUTE_PERMILLE 1000
#define REROUTE_TOKENS_MAX 20000
#define REROUTE_TOKENS_LOW 5000 /* below this, attempts count as the last */
/*
 * Re-routes that the least urgent requests leave to more urgent ones, whose
 * objectives are too short to wait in the queue of the first gate.
 */
#define REROUTE_TOKENS_URGENT 5000

/* Starts with a full budget; `retry_permille` retries for 1000 successes. */
void eb_retry_init(struct eb_retry *rb, uint32_t retry_permille)
{
	rb->retry_permille = retry_permille;
	rb->reroute_permille = REROUTE_PERMILLE;
	rb->tokens = TOKENS_MAX;
	rb->tokens_max = TOKENS_MAX;
	rb->reroute_tokens = REROUTE_TOKENS_MAX;
}

/* Counts a first attempt, which adds a share of a re-route. */
void eb_retry_request(struct eb_retry *rb)
{
	rb->reroute_tokens += rb->reroute_permille;
	if (rb->reroute_tokens > REROUTE_TOKENS_MAX)
		rb->reroute_tokens = REROUTE_TOKENS_MAX;
}

/* Counts a request that succeeded, which adds a share of a retry. */
void eb_retry_success(struct eb_retry *rb)
{
	rb->tokens += rb->retry_permille;
	if (rb->tokens > rb->tokens_max)
		rb->tokens = rb->tokens_max;
}

/*
 * Sets the retries allowed for 1000 successes and the burst of this daemon, in
 * retries: all daemons together share the budget of a service. A burst of 0 or
 * above three means three.
 */
void eb_retry_limit(struct eb_retry *rb, uint32_t retry_permille,
		    uint32_t burst)
{
	rb->retry_permille = retry_permille;
	rb->tokens_max = TOKENS_MAX;
	if (burst && burst * TOKENS_PER_RETRY < TOKENS_MAX)
		rb->tokens_max = burst * TOKENS_PER_RETRY;
	if (rb->tokens > rb->tokens_max)
		rb->tokens = rb->tokens_max;
}

/*
 * Returns the attempt number that the next attempt carries to its gate, given
 * the number of attempts made so far. When few re-routes are left it is that of
 * a last attempt, so that the gate queues the request rather than refusing it.
 */
uint8_t eb_retry_next_attempt(const struct eb_retry *rb, uint8_t attempts)
{
	return eb_retry_next_attempt_of(rb, attempts, EB_URGENCY_PLAIN);
}

/* Returns the re-route tokens that a request leaves to more urgent ones. */
static int64_t tokens_kept(uint8_t rank)
{
	return rank == EB_URGENCY_LAST ? REROUTE_TOKENS_URGENT : 0;
}

/*
 * As eb_retry_next_attempt(), for a request of this rank. One that is ranked
 * first uses up the re-routes, as it has no time to wait in a queue.
 */
uint8_t eb_retry_next_attempt_of(const struct eb_retry *rb, uint8_t attempts,
				 enum eb_urgency_rank rank)
{
	int64_t low = rank == EB_URGENCY_FIRST
			      ? TOKENS_PER_RETRY
			      : REROUTE_TOKENS_LOW + tokens_kept(rank);

	if (rb->reroute_tokens < low)
		return EB_ATTEMPTS_MAX - 1;
	return attempts;
}

/* Returns the number of whole retries that are left now. */
int64_t eb_retry_left(const struct eb_retry *rb)
{
	return rb->tokens / TOKENS_PER_RETRY;
}

/* Returns the number of whole re-routes that are left now. */
int64_t eb_retry_reroutes_left(const struct eb_retry *rb)
{
	return rb->reroute_tokens / TOKENS_PER_RETRY;
}

/* Takes a token unless only `kept` or fewer would be left. */
static int take_token(int64_t *tokens, int64_t kept)
{
	if (*tokens < TOKENS_PER_RETRY + kept)
		return 0;
	*tokens -= TOKENS_PER_RETRY;
	return 1;
}

/*
 * Whether the budget has a retry for a second copy of a request that has not
 * failed. The last one is kept for a failure, unless the budget holds just one.
 */
int eb_retry_has_spare(const struct eb_retry *rb)
{
	int64_t need = 2 * TOKENS_PER_RETRY;

	return rb->tokens >= (rb->tokens_max < need ? rb->tokens_max : need);
}

/* Takes the retry for a copy; only after eb_retry_has_spare(). */
void eb_retry_take_spare(struct eb_retry *rb)
{
	rb->tokens -= TOKENS_PER_RETRY;
}

/*
 * Whether a gate refused for load or a drain, or the call was lost on its way
 * to it, so that nothing has failed.
 */
static int is_refusal(const struct eb_retry_attempt *at)
{
	return at->outcome == EB_OUTCOME_NOT_RUN &&
	       (at->reason == EB_REASON_QUEUE_FULL ||
		at->reason == EB_REASON_HANDED_BACK ||
		at->reason == EB_REASON_DRAINING ||
		at->reason == EB_REASON_NO_UPSTREAM ||
		at->reason == EB_REASON_LOST_PEER);
}

/*
 * Decides whether a failed or refused attempt may be retried, and takes the
 * token for it. Only requests that are known not to have run, or that are
 * idempotent, are ever retried. Returns 1 if a retry is allowed, else 0.
 */
int eb_retry_allow(struct eb_retry *rb, const struct eb_retry_attempt *at)
{
	if (at->attempts >= EB_ATTEMPTS_MAX || at->remaining_us <= 0)
		return 0;
	if (at->body_sent)
		return 0;
	if (at->outcome != EB_OUTCOME_NOT_RUN && !at->idempotent &&
	    !eb_test_off("retry-rule"))
		return 0;
	if (!is_refusal(at))
		return take_token(&rb->tokens, 0);
	/*
	 * Past the budget, a refused request is sent once more as a last
	 * attempt, so that it may wait in a queue. Without this, a burst on a
	 * service with one upstream was refused while the queue had room.
	 */
	return take_token(&rb->reroute_tokens, tokens_kept(at->rank)) ||
	       at->mark < EB_ATTEMPTS_MAX - 1;
}
