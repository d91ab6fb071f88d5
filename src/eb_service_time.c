#include "eb_service_time.h"

/*
 * Smoothing weight of the mean service time. It grows with the time since the
 * last answer, so that a recovery shows within seconds even when answers are
 * rare. A sample counts for at most four times the mean.
 */
#define WEIGHT_MIN_PERMILLE 30
#define WEIGHT_MAX_PERMILLE 500
#define WEIGHT_FULL_GAP_US 250000
#define SAMPLE_MAX_TIMES 4

/* Returns the slot time since the last completion. */
int64_t eb_service_time_busy_us(const struct eb_service_time *st,
				uint32_t in_flight, int64_t now_us)
{
	return st->busy_us + in_flight * (now_us - st->busy_at_us);
}

/* Adds up the slot time before the number of busy slots changes. */
void eb_service_time_update(struct eb_service_time *st, uint32_t in_flight,
			    int64_t now_us)
{
	st->busy_us = eb_service_time_busy_us(st, in_flight, now_us);
	st->busy_at_us = now_us;
}

static int64_t weight_permille(int64_t gap_us)
{
	int64_t weight = gap_us * 1000 / WEIGHT_FULL_GAP_US;

	if (weight < WEIGHT_MIN_PERMILLE)
		return WEIGHT_MIN_PERMILLE;
	return weight > WEIGHT_MAX_PERMILLE ? WEIGHT_MAX_PERMILLE : weight;
}

/* Records a completion; an error answer (0) has no service time. */
void eb_service_time_done(struct eb_service_time *st, int64_t service_us,
			  int64_t now_us)
{
	int64_t max_us = st->mean_us * SAMPLE_MAX_TIMES;
	int64_t weight = weight_permille(now_us - st->done_us);

	st->busy_us = 0;
	if (!service_us)
		return;
	st->done_us = now_us;
	if (!st->mean_us)
		st->mean_us = service_us;
	if (max_us && service_us > max_us)
		service_us = max_us;
	st->mean_us += (service_us - st->mean_us) * weight / 1000;
}
