#include "eb_eject.h"

/*
 * Smoothing shift of an upstream's error rate, for a weight of 1/4: three
 * consecutive errors raise the rate from 0 to 0.58.
 */
#define RATE_SHIFT 2
/* The service's rate changes slowly, so that one upstream barely raises it. */
#define SERVICE_RATE_SHIFT 6
#define EJECT_PERMILLE 500
/* At most this share of a service's upstreams is ejected at a time. */
#define OUT_MAX_PERMILLE 500
#define PERIOD_US 500000
/* The longest period is 2 s: a recovered upstream returns within seconds. */
#define PERIOD_DOUBLINGS 2
#define RAMP_US 1000000
#define RAMP_FIRST_PERMILLE 50

/* Sets the default limits and times; there is no upstream yet. */
void eb_eject_init(struct eb_eject *ej)
{
	*ej = (struct eb_eject){
		.eject_permille = EJECT_PERMILLE,
		.ejected_max_permille = OUT_MAX_PERMILLE,
		.period_us = PERIOD_US,
		.ramp_us = RAMP_US,
	};
}

/* Returns the length of the upstream's current ejection period. */
static int64_t period_us(const struct eb_eject *ej,
			 const struct eb_eject_state *st)
{
	return ej->period_us << (st->periods - 1);
}

/* Whether one more upstream may be ejected. */
static int may_eject(const struct eb_eject *ej)
{
	return (ej->out + 1) * 1000 <= ej->total * ej->ejected_max_permille;
}

static void eject(struct eb_eject *ej, struct eb_eject_state *st,
		  int64_t now_us)
{
	if (st->periods <= PERIOD_DOUBLINGS)
		st->periods++;
	st->phase = EB_EJECT_EJECTED;
	st->since_us = now_us;
	ej->out++;
}

/*
 * Records how an attempt ended. A failure while the upstream is ramped up after
 * an ejection ejects it again at once. Returns 1 if this result ejects it.
 */
int eb_eject_record(struct eb_eject *ej, struct eb_eject_state *st,
		    enum eb_eject_result how, int64_t now_us)
{
	int64_t to = how == EB_EJECT_GOOD ? 0 : 1000, step;

	step = to - st->error_permille;
	st->error_permille =
		(uint16_t)(st->error_permille + step / (1 << RATE_SHIFT));
	step = to * 1000 - ej->error_permille * 1000;
	ej->error_permille =
		(uint32_t)(ej->error_permille +
			   step / 1000 / (1 << SERVICE_RATE_SHIFT));
	if (how == EB_EJECT_GOOD || st->phase == EB_EJECT_EJECTED ||
	    !may_eject(ej))
		return 0;
	if (how == EB_EJECT_UNREACHABLE && ej->eject_permille <= 1000)
		st->error_permille = 1000;
	if (st->error_permille < ej->eject_permille &&
	    !(st->phase == EB_EJECT_RAMP && st->periods))
		return 0;
	/* When the whole service fails, no upstream is ejected. */
	if (st->error_permille < 2 * ej->error_permille)
		return 0;
	eject(ej, st, now_us);
	return 1;
}

/* Starts the ramp-up of an upstream that returns or is new. */
void eb_eject_ramp(struct eb_eject *ej, struct eb_eject_state *st,
		   int64_t now_us)
{
	if (st->phase == EB_EJECT_EJECTED)
		ej->out--;
	st->phase = EB_EJECT_RAMP;
	st->error_permille = 0;
	st->since_us = now_us;
}

/* To be called before the state of an upstream is freed. */
void eb_eject_forget(struct eb_eject *ej, const struct eb_eject_state *st)
{
	if (st->phase == EB_EJECT_EJECTED)
		ej->out--;
}

/*
 * Returns the share of its normal traffic, in permille, that the upstream may
 * get at present. Starts the next phase when the present one is over.
 */
uint32_t eb_eject_share(struct eb_eject *ej, struct eb_eject_state *st,
			int64_t now_us)
{
	int64_t age_us = now_us - st->since_us;

	if (st->phase == EB_EJECT_ACTIVE)
		return 1000;
	if (st->phase == EB_EJECT_EJECTED) {
		if (age_us < period_us(ej, st))
			return 0;
		eb_eject_ramp(ej, st, now_us);
		age_us = 0;
	}
	if (age_us >= ej->ramp_us) {
		st->phase = EB_EJECT_ACTIVE;
		st->periods = 0;
		return 1000;
	}
	return (uint32_t)(RAMP_FIRST_PERMILLE +
			  (1000 - RAMP_FIRST_PERMILLE) * age_us / ej->ramp_us);
}
