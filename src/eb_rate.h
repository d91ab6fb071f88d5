#ifndef EB_RATE_H
#define EB_RATE_H

#include <stdint.h>

/*
 * A rate limit: a token bucket for the requests that one upstream takes in a
 * second. Pure: the caller passes the monotonic time. All zero: no limit.
 */
struct eb_rate {
	int64_t per_s_milli; /* thousandths of a request; 0: no limit */
	int64_t tokens;	     /* billionths of a request */
	int64_t at_us;	     /* up to which tokens were added */
};

void eb_rate_set(struct eb_rate *rt, uint32_t per_s_milli, int64_t now_us);
int64_t eb_rate_wait_us(const struct eb_rate *rt, uint32_t ahead,
			int64_t now_us);
uint32_t eb_rate_parse(const char *value);
void eb_rate_take(struct eb_rate *rt, int64_t now_us);

#endif
