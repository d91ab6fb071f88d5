#include "eb_urgency.h"

#include <math.h>
#include <string.h>

/*
 * A level counts as in use from this share of the recent load on, so that a
 * single odd request changes no rank.
 */
#define IN_USE_PERMILLE 50
/*
 * Largest share of the requests that are ranked first. If most were, their
 * preference for the same upstreams would overload those.
 */
#define FIRST_MAX_PERMILLE 500

/* Returns the level of a priority. */
uint8_t eb_urgency_level(uint8_t priority)
{
	return priority < EB_URGENCY_LEVELS ? priority : EB_URGENCY_LEVELS - 1;
}

/* Starts without load; older requests than the window count for nothing. */
void eb_urgency_init(struct eb_urgency *ug, int64_t window_us)
{
	memset(ug, 0, sizeof(*ug));
	ug->window_us = window_us;
}

/* Returns the recent work of a level. */
static int64_t work_at(const struct eb_urgency *ug, uint8_t level,
		       int64_t now_us)
{
	const struct eb_urgency_level *lv = &ug->levels[level];
	double age_us = (double)(now_us - lv->at_us);

	if (!lv->work_us || age_us <= 0)
		return lv->work_us;
	return (int64_t)((double)lv->work_us *
			 exp(-age_us / (double)ug->window_us));
}

/* Counts an arrival that needs a slot for `work_us`. */
void eb_urgency_record(struct eb_urgency *ug, uint8_t priority, int64_t work_us,
		       int64_t now_us)
{
	uint8_t level = eb_urgency_level(priority);

	ug->levels[level].work_us = work_at(ug, level, now_us) + work_us;
	ug->levels[level].at_us = now_us;
}

/*
 * Returns the slots that requests more urgent than a priority need: the mean
 * number that they occupy and one standard deviation (that of a Poisson
 * distribution), rounded to the nearest. Without such requests it is 0.
 */
uint32_t eb_urgency_reserve(const struct eb_urgency *ug, uint8_t priority,
			    int64_t now_us)
{
	uint8_t level = eb_urgency_level(priority), i;
	double busy = 0;

	for (i = 0; i < level; i++)
		busy += (double)work_at(ug, i, now_us);
	busy /= (double)ug->window_us;
	return (uint32_t)(busy + sqrt(busy) + 0.5);
}

/* Ranks a priority among the recent requests. */
enum eb_urgency_rank eb_urgency_rank_of(const struct eb_urgency *ug,
					uint8_t priority, int64_t now_us)
{
	uint8_t level = eb_urgency_level(priority), i;
	int64_t more = 0, less = 0, all = 0, work;

	for (i = 0; i < EB_URGENCY_LEVELS; i++) {
		work = work_at(ug, i, now_us);
		all += work;
		more += i < level ? work : 0;
		less += i > level ? work : 0;
	}
	if (less && less * 1000 >= all * (1000 - FIRST_MAX_PERMILLE))
		return EB_URGENCY_FIRST;
	if (more && more * 1000 >= all * IN_USE_PERMILLE &&
	    less * 1000 < all * IN_USE_PERMILLE)
		return EB_URGENCY_LAST;
	return EB_URGENCY_PLAIN;
}
