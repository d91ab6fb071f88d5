#ifndef EB_SERVICE_TIME_H
#define EB_SERVICE_TIME_H

#include <stdint.h>

/*
 * Smoothed service time of an upstream, and the time that its busy slots have
 * spent without a completion. Pure: the caller passes the monotonic time.
 */
struct eb_service_time {
	int64_t mean_us;    /* 0: not known yet */
	int64_t busy_us;    /* slot time since the last completion */
	int64_t busy_at_us; /* time up to which busy_us counts */
	int64_t done_us;    /* last completion */
};

int64_t eb_service_time_busy_us(const struct eb_service_time *st,
				uint32_t in_flight, int64_t now_us);
void eb_service_time_update(struct eb_service_time *st, uint32_t in_flight,
			    int64_t now_us);
void eb_service_time_done(struct eb_service_time *st, int64_t service_us,
			  int64_t now_us);

#endif
