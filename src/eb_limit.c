#include "eb_limit.h"

#include <stdlib.h>
#include <string.h>

#define ROWS (EB_LIMIT_CALLERS_MAX / EB_LIMIT_ROW_ENTRIES)
#define US_PER_S 1000000LL

struct caller {
	uint64_t id;
	int64_t full_us; /* time at which the bucket is full again */
	int64_t last_us; /* of the last request or connection */
	uint32_t in_flight;
	uint32_t connections;
	uint32_t epoch; /* in which the caller was last counted as active */
	uint8_t used;
};

struct eb_limit {
	struct eb_limit_config config;
	struct caller callers[EB_LIMIT_CALLERS_MAX];
	uint32_t in_flight;
	uint32_t epoch;		/* counts periods of EB_LIMIT_ACTIVE_MS */
	uint32_t active;	/* callers in this period */
	uint32_t active_before; /* callers in the previous one */
	int64_t epoch_us;	/* start of the period */
	struct eb_limit_counters counters;
};

/* Creates the limits of all callers. Returns NULL if out of memory. */
struct eb_limit *eb_limit_new(const struct eb_limit_config *cf)
{
	struct eb_limit *lm = calloc(1, sizeof(*lm));

	if (!lm)
		return NULL;
	lm->epoch = 1;
	eb_limit_configure(lm, cf);
	return lm;
}

/* Frees the limits; NULL is allowed. */
void eb_limit_free(struct eb_limit *lm)
{
	free(lm);
}

/* Sets the bounds. The usage of each caller is kept. */
void eb_limit_configure(struct eb_limit *lm, const struct eb_limit_config *cf)
{
	lm->config = *cf;
	if (!lm->config.burst)
		lm->config.burst = cf->rate_per_s ? cf->rate_per_s : 1;
}

static int is_idle(const struct caller *c)
{
	return !c->in_flight && !c->connections;
}

/*
 * Returns the entry of a caller, which is created if `create` is set. In a full
 * row it replaces the idle caller whose bucket is closest to full, so that a
 * busy one does not get a new burst. If no caller of the row is idle, or the
 * entry is missing without `create`, it is the first entry of the row, which
 * the caller then shares with another one.
 */
static struct caller *find_entry(struct eb_limit *lm, uint64_t id, int create)
{
	uint64_t row = (id ^ id >> 32) * 0x9e3779b97f4a7c15ULL >> 32;
	struct caller *c = &lm->callers[row % ROWS * EB_LIMIT_ROW_ENTRIES];
	struct caller *found = NULL;
	uint32_t i;

	for (i = 0; i < EB_LIMIT_ROW_ENTRIES; i++)
		if (c[i].used && c[i].id == id)
			return &c[i];
	if (!create)
		return c;
	for (i = 0; i < EB_LIMIT_ROW_ENTRIES; i++) {
		if (!c[i].used) {
			found = &c[i];
			break;
		}
		if (is_idle(&c[i]) && (!found || c[i].full_us < found->full_us))
			found = &c[i];
	}
	if (!found) {
		lm->counters.shared++;
		return c;
	}
	memset(found, 0, sizeof(*found));
	found->used = 1;
	found->id = id;
	return found;
}

/* Counts the active callers by period, so that no list of them is needed. */
static void count_active(struct eb_limit *lm, struct caller *c, int64_t now_us)
{
	int64_t period_us = EB_LIMIT_ACTIVE_MS * 1000LL;

	if (now_us - lm->epoch_us >= period_us) {
		lm->active_before =
			now_us - lm->epoch_us < 2 * period_us ? lm->active : 0;
		lm->active = 0;
		lm->epoch++;
		lm->epoch_us = now_us;
	}
	if (c->epoch != lm->epoch) {
		c->epoch = lm->epoch;
		lm->active++;
	}
	c->last_us = now_us;
}

/*
 * A caller's share of the requests in flight. It divides them by the larger
 * number of active callers of the present period and the one before.
 */
static uint32_t fair_share(const struct eb_limit *lm)
{
	uint32_t n =
		lm->active > lm->active_before ? lm->active : lm->active_before;
	uint32_t each = lm->config.in_flight_max / (n ? n : 1);

	return each > EB_LIMIT_IN_FLIGHT_MIN ? each : EB_LIMIT_IN_FLIGHT_MIN;
}

/*
 * Decides on a request. Returns 0 if it is admitted, and eb_limit_done() must
 * follow; else the time in ms after which the caller may retry, for
 * Retry-After. The share of the requests in flight applies from half of
 * in_flight_max on; a caller within it is never refused because of others.
 */
uint32_t eb_limit_take(struct eb_limit *lm, uint64_t caller, int64_t now_us)
{
	const struct eb_limit_config *cf = &lm->config;
	struct caller *c = find_entry(lm, caller, 1);
	int64_t step_us, start_us;

	count_active(lm, c, now_us);
	/*
	 * Below half of the limit the shares do not apply: they would refuse
	 * 6.5% of the requests of 40 equal callers at half load.
	 */
	if (cf->in_flight_max && lm->in_flight * 2 >= cf->in_flight_max &&
	    c->in_flight >= fair_share(lm)) {
		lm->counters.refused_in_flight++;
		return 1000;
	}
	if (cf->rate_per_s) {
		step_us = US_PER_S / cf->rate_per_s;
		start_us = c->full_us > now_us ? c->full_us : now_us;
		if (start_us + step_us - now_us > step_us * cf->burst) {
			lm->counters.refused_rate++;
			return (uint32_t)((start_us + step_us - now_us -
					   step_us * cf->burst) /
					  1000) +
			       1;
		}
		c->full_us = start_us + step_us;
	}
	c->in_flight++;
	lm->in_flight++;
	lm->counters.taken++;
	return 0;
}

/* Ends a request that eb_limit_take() admitted. */
void eb_limit_done(struct eb_limit *lm, uint64_t caller)
{
	struct caller *c = find_entry(lm, caller, 0);

	if (c->in_flight)
		c->in_flight--;
	if (lm->in_flight)
		lm->in_flight--;
}

/*
 * Decides on a new connection. Returns 1 if the caller may have it, and
 * eb_limit_disconnect() must follow; else 0.
 */
int eb_limit_connect(struct eb_limit *lm, uint64_t caller, int64_t now_us)
{
	struct caller *c = find_entry(lm, caller, 1);

	c->last_us = now_us;
	if (lm->config.connections_max &&
	    c->connections >= lm->config.connections_max) {
		lm->counters.refused_connections++;
		return 0;
	}
	c->connections++;
	return 1;
}

/* Ends a connection that eb_limit_connect() allowed. */
void eb_limit_disconnect(struct eb_limit *lm, uint64_t caller)
{
	struct caller *c = find_entry(lm, caller, 0);

	if (c->connections)
		c->connections--;
}

void eb_limit_read_counters(const struct eb_limit *lm,
			    struct eb_limit_counters *out)
{
	*out = lm->counters;
	out->active =
		lm->active > lm->active_before ? lm->active : lm->active_before;
}
