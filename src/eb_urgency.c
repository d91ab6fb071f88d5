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
/*
 * Mean number of busy slots from which one is reserved: four requests of 36 ms
 * per second at an upstream, half of those of a kind with 107/s on 13
 * upstreams.
 */
#define BUSY_MIN 0.14
/* Smoothing shift of the mean work of a level. */
#define MEAN_SHIFT 3

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
	struct eb_urgency_level *lv = &ug->levels[level];

	lv->work_us = work_at(ug, level, now_us) + work_us;
	lv->at_us = now_us;
	if (!lv->mean_us)
		lv->mean_us = work_us;
	lv->mean_us += (work_us - lv->mean_us) / (1 << MEAN_SHIFT);
}

/* Whether there were recent requests of more than one level. */
int eb_urgency_is_mixed(const struct eb_urgency *ug, int64_t now_us)
{
	uint8_t i, n = 0;

	for (i = 0; i < EB_URGENCY_LEVELS; i++)
		n += work_at(ug, i, now_us) > 0;
	return n > 1;
}

/*
 * Returns the slots that more urgent and shorter requests than one of this
 * priority and work need: the mean number that they occupy, rounded up; 0
 * below BUSY_MIN. Without such requests it is 0. A request that is
 * no longer than they are frees its slot soon enough; slots reserved from such
 * ones were mostly left unused.
 */
uint32_t eb_urgency_reserve(const struct eb_urgency *ug, uint8_t priority,
			    int64_t work_us, int64_t now_us)
{
	uint8_t level = eb_urgency_level(priority), i;
	double busy = 0;

	for (i = 0; i < level; i++)
		if (ug->levels[i].mean_us < work_us)
			busy += (double)work_at(ug, i, now_us);
	busy /= (double)ug->window_us;
	return busy < BUSY_MIN ? 0 : (uint32_t)ceil(busy);
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
