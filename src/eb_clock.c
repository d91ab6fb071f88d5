#include "eb_clock.h"

#include <time.h>

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns the monotonic time in microseconds, for durations and deadlines. */
int64_t eb_clock_now_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

/*
 * Returns the wall-clock time in microseconds since 1970 (UTC). Only for
 * display in logs and spans: decisions never depend on it, since it can jump.
 */
int64_t eb_clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}
