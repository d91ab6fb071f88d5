#include "eb_rate.h"

#include <math.h>
#include <stdlib.h>

#include "eb_tunables.h"

/* One request, in the unit of tokens: microseconds times per_s_milli. */
#define REQUEST_TOKENS INT64_C(1000000000)
/* Unused tokens are kept for this long; one request may always be kept. */
#define BURST_US 250000

/* Returns the most tokens that are kept. */
static int64_t burst(const struct eb_rate *rt)
{
	int64_t tokens = rt->per_s_milli * BURST_US;

	return tokens < REQUEST_TOKENS ? REQUEST_TOKENS : tokens;
}

/* Returns the tokens at a time, which must not be before the last one. */
static int64_t tokens_at(const struct eb_rate *rt, int64_t now_us)
{
	int64_t most = burst(rt);
	int64_t full_us = (most - rt->tokens) / rt->per_s_milli + 1;

	if (now_us - rt->at_us >= full_us)
		return most;
	return rt->tokens + (now_us - rt->at_us) * rt->per_s_milli;
}

/*
 * Returns the rate that a decimal number of requests per second names, in
 * thousandths and at least 1; 0 for anything else.
 */
uint32_t eb_rate_parse(const char *value)
{
	char *end;
	double rate = strtod(value, &end);

	if (end == value || *end || !isfinite(rate) || rate < 0 ||
	    rate > EB_RATE_MAX)
		return 0;
	return rate < 0.001 ? 1 : (uint32_t)(rate * 1000);
}

/*
 * Sets the limit in thousandths of a request per second; 0: no limit. A limit
 * below EB_RATE_MIN_MILLI is raised to it, so that an answer shows when the
 * limit has changed. A new limit starts with one request.
 */
void eb_rate_set(struct eb_rate *rt, uint32_t per_s_milli, int64_t now_us)
{
	if (!per_s_milli) {
		rt->per_s_milli = 0;
		return;
	}
	rt->tokens = rt->per_s_milli ? tokens_at(rt, now_us) : REQUEST_TOKENS;
	rt->at_us = now_us;
	rt->per_s_milli = per_s_milli < EB_RATE_MIN_MILLI ? EB_RATE_MIN_MILLI
							  : per_s_milli;
}

/*
 * Returns how many microseconds a request with `ahead` others before it has to
 * wait; 0: none.
 */
int64_t eb_rate_wait_us(const struct eb_rate *rt, uint32_t ahead,
			int64_t now_us)
{
	int64_t lacking;

	if (!rt->per_s_milli)
		return 0;
	lacking = (ahead + 1) * REQUEST_TOKENS - tokens_at(rt, now_us);
	if (lacking <= 0)
		return 0;
	return (lacking + rt->per_s_milli - 1) / rt->per_s_milli;
}

/* Counts a request that is sent now. */
void eb_rate_take(struct eb_rate *rt, int64_t now_us)
{
	if (!rt->per_s_milli)
		return;
	rt->tokens = tokens_at(rt, now_us) - REQUEST_TOKENS;
	rt->at_us = now_us;
}
