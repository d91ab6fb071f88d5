#include "eb_backoff.h"

/*
 * Callers that are refused at the same moment return spread over this share of
 * their wait, so that they do not overload the service together again.
 */
#define SPREAD_PERMILLE 500U
/*
 * Spreading callers further than this only costs them time: the queues of a
 * service are empty within a few hundred milliseconds.
 */
#define SPREAD_MAX_MS 500U

static uint32_t spread_ms(uint32_t wait_ms)
{
	uint64_t ms = (uint64_t)wait_ms * SPREAD_PERMILLE / 1000;

	return ms < SPREAD_MAX_MS ? (uint32_t)ms : SPREAD_MAX_MS;
}

/*
 * Returns after which time a refused caller should retry: never before the
 * expected wait, which is `wait_ms`. The extra backoff is only an estimate, so
 * that it is spread around its value. `random_permille` is uniform from 0 to
 * 1000. At most UINT32_MAX / 4 is returned.
 */
uint32_t eb_backoff_ms(uint32_t wait_ms, uint32_t extra_ms,
		       uint32_t random_permille)
{
	uint64_t ms = wait_ms;

	ms += (uint64_t)spread_ms(wait_ms) * random_permille / 1000;
	ms += extra_ms - spread_ms(extra_ms) / 2;
	ms += (uint64_t)spread_ms(extra_ms) * random_permille / 1000;
	return ms < UINT32_MAX / 4 ? (uint32_t)ms : UINT32_MAX / 4;
}
