#include "eb_route.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_eject.h"
#include "eb_rand.h"

#define TIERS (EB_DISTANCE_FAR + 1)
/* Random candidates of each tier that is looked at. */
#define CHOICES 2
/* Half of a load report's weight is gone after this many service times. */
#define REPORT_AGE_TIMES 4
/* A sender's own latency counts only when it is this far from the mean. */
#define OUTLIER_TIMES 6
/* An error costs the caller a retry, in mean service times. */
#define ERROR_TIMES 8
/* Added for each upstream whose first answer after expiry is awaited. */
#define PROBE_TIMES 8
/*
 * A request that was handed back counts as a load report of this many times
 * the slots. With the report alone, p99 at 50 % load with noise (6x6) is
 * 27.4 ms.
 */
#define STALLED_LOADS 3U
/* A request out for this many mean times marks its upstream as overdue. */
#define OVERDUE_TIMES 4
#define LATENCY_SHIFT 2
#define MEAN_SHIFT 6
/*
 * What is known of an upstream expires, so that one that was slow is tried
 * again within seconds; one call at a time until there is an answer. Routers
 * differ by up to half of it, so that they do not try at the same moment.
 */
#define EXPIRY_US 1000000
/* Pressure above which the home region counts as full. */
#define FULL_PERMILLE 500
#define PRESSURE_SHIFT 5
/* Pressure above which an overload lasts, and the pause when all is refused. */
#define LASTING_PERMILLE 700
#define COME_BACK_MAX_MS 900U
/* Calls to other regions before the first answer, and at most. */
#define FAR_WINDOW_FIRST 2
#define FAR_WINDOW_MAX 1024
/* Other regions that are full as well are left alone for this long. */
#define FAR_HOLD_US 250000
#define SERVICE_FIRST_US 1000
#define PACE_AGE_US 150000
/* With a quarter of the machines four times slower, it stays below 110. */
#define PACE_FALL_SHIFT 2
#define PACE_RISE_SHIFT 6
#define PACE_MAX_PERCENT 10000U
/* Keeps nine tenths of the requests within the failure domain. */
#define LEAVE_US 3000
#define EJECT_PERMILLE 500
#define RAMP_US 1000000

const struct eb_route_tuning eb_route_tuning_default = {
	.choices = CHOICES,
	.report_age_times = REPORT_AGE_TIMES,
	.outlier_times = OUTLIER_TIMES,
	.overdue_times = OVERDUE_TIMES,
	.full_permille = FULL_PERMILLE,
	.leave_us = LEAVE_US,
	.eject_permille = EJECT_PERMILLE,
	.ramp_us = RAMP_US,
};

/* Round trips to each tier. */
static const int64_t distance_us[TIERS] = { 0, 200, 2000, 20000 };

struct upstream {
	struct eb_route_upstream info;
	uint32_t in_flight; /* sent from here and not answered */
	uint32_t sent;	    /* of these, sent after the last report */
	uint32_t service_us;
	uint32_t pace_percent; /* of its machine at the last report */
	uint32_t latency_us;   /* smoothed, without the network */
	uint32_t reported;     /* in flight and queued at the gate */
	int64_t started_us;    /* sum of the send times of those in flight */
	int64_t report_at_us;
	int64_t latency_at_us;
	int64_t failed_at_us;
	struct eb_eject_state eject;
};

struct eb_route {
	struct eb_rand rand;
	struct eb_route_tuning tune;
	struct upstream *ups; /* by tier, then id */
	uint32_t *slots;      /* hash of id to index + 1 */
	uint32_t slot_mask;
	uint32_t count;
	uint32_t first[TIERS + 1]; /* first upstream of each tier */
	int64_t expiry_us;
	int64_t service_us;	    /* smoothed over all upstreams */
	uint32_t load_permille;	    /* reported load by slot, smoothed */
	uint32_t pace_percent;	    /* usual one; 0: none reported yet */
	uint32_t pressure_permille; /* refusals at home, smoothed */
	uint32_t far_in_flight;
	uint32_t far_window;
	int64_t far_hold_until_us;
	struct eb_eject eject;
	struct eb_route_stats stats;
};

/* Returns the name that logs and metrics use for a distance; see the header. */
const char *eb_distance_name(unsigned distance)
{
	static const char *const names[TIERS] = { "self", "domain", "region",
						  "far" };

	return distance < TIERS ? names[distance] : "nowhere";
}

/* Creates a router without upstreams. Returns NULL without memory. */
struct eb_route *eb_route_new(uint64_t seed)
{
	struct eb_route *rt = calloc(1, sizeof(*rt));

	if (!rt)
		return NULL;
	eb_rand_seed(&rt->rand, seed);
	eb_eject_init(&rt->eject);
	rt->tune = eb_route_tuning_default;
	rt->far_window = FAR_WINDOW_FIRST;
	rt->expiry_us = EXPIRY_US / 2 + eb_rand_below(&rt->rand, EXPIRY_US);
	return rt;
}

/* Replaces the constants of the policy. */
void eb_route_tune(struct eb_route *rt, const struct eb_route_tuning *tn)
{
	rt->tune = *tn;
	rt->eject.eject_permille = tn->eject_permille;
	rt->eject.ramp_us = tn->ramp_us;
}

/* Frees a router; NULL is allowed. */
void eb_route_free(struct eb_route *rt)
{
	if (!rt)
		return;
	free(rt->slots);
	free(rt->ups);
	free(rt);
}

static int compare_tiers(const void *a, const void *b)
{
	const struct upstream *x = a, *y = b;

	if (x->info.distance != y->info.distance)
		return x->info.distance < y->info.distance ? -1 : 1;
	return (x->info.id > y->info.id) - (x->info.id < y->info.id);
}

static uint32_t hash(uint32_t id)
{
	return id * 2654435761U;
}

static struct upstream *find(const struct eb_route *rt, uint32_t id)
{
	uint32_t i;

	if (!rt->count)
		return NULL;
	for (i = hash(id) & rt->slot_mask; rt->slots[i];
	     i = (i + 1) & rt->slot_mask)
		if (rt->ups[rt->slots[i] - 1].info.id == id)
			return &rt->ups[rt->slots[i] - 1];
	return NULL;
}

/* Builds the tiers and the index over the new array. */
static void index_upstreams(struct eb_route *rt)
{
	uint32_t i, s;
	int t = 0;

	rt->far_in_flight = 0;
	for (i = 0; i < rt->count; i++) {
		if (rt->ups[i].info.distance == EB_DISTANCE_FAR)
			rt->far_in_flight += rt->ups[i].in_flight;
		while (t <= rt->ups[i].info.distance)
			rt->first[t++] = i;
		s = hash(rt->ups[i].info.id) & rt->slot_mask;
		while (rt->slots[s])
			s = (s + 1) & rt->slot_mask;
		rt->slots[s] = i + 1;
	}
	while (t <= TIERS)
		rt->first[t++] = rt->count;
}

/*
 * Replaces the set of upstreams; what is known of those that stay is kept.
 * Those that are new to a set that was not empty are ramped up. Returns
 * EB_ENOMEM, and changes nothing, without memory.
 */
enum eb_status eb_route_set_upstreams(struct eb_route *rt,
				      const struct eb_route_upstream *ups,
				      uint32_t count, int64_t now_us)
{
	struct upstream *next = calloc(count ? count : 1, sizeof(*next)), *old;
	uint32_t size = 4, i, *slots;

	while (size < 2 * count)
		size *= 2;
	slots = calloc(size, sizeof(*slots));
	if (!next || !slots) {
		free(next);
		free(slots);
		return EB_ENOMEM;
	}
	rt->eject.total = count;
	rt->eject.out = 0;
	for (i = 0; i < count; i++) {
		old = find(rt, ups[i].id);
		if (old)
			next[i] = *old;
		else if (rt->count)
			eb_eject_ramp(&rt->eject, &next[i].eject, now_us);
		next[i].info = ups[i];
		if (next[i].info.distance >= TIERS)
			next[i].info.distance = EB_DISTANCE_FAR;
		if (!next[i].info.slots)
			next[i].info.slots = 1;
		if (next[i].eject.phase == EB_EJECT_OUT)
			rt->eject.out++;
	}
	qsort(next, count, sizeof(*next), compare_tiers);
	free(rt->ups);
	free(rt->slots);
	rt->ups = next;
	rt->slots = slots;
	rt->slot_mask = size - 1;
	rt->count = count;
	index_upstreams(rt);
	return EB_OK;
}

static int64_t mean_us(const struct eb_route *rt)
{
	return rt->service_us ? rt->service_us : SERVICE_FIRST_US;
}

/* Expected wait for a slot when `load` requests are ahead. */
static int64_t wait_us(int64_t service_us, int64_t load_permille,
		       uint32_t slots)
{
	int64_t x = (load_permille + 1000) / slots;

	if (x <= 1000)
		return service_us * x * x / 1000 * x / 1000 * x / 1000 /
		       (2000 * (int64_t)slots);
	return service_us / (2 * slots) + service_us * (x - 1000) / 1000;
}

/* Requests at the upstream, in thousandths, from what is known now. */
static int64_t load_permille(const struct eb_route *rt,
			     const struct upstream *up, int64_t now_us)
{
	int64_t scale_us = rt->tune.report_age_times * mean_us(rt);
	int64_t age_us = now_us - up->report_at_us;
	int64_t fresh = (int64_t)(up->reported + up->sent) * 1000;
	int64_t usual = (int64_t)rt->load_permille * up->info.slots;
	int64_t own = (int64_t)up->in_flight * 1000, load;

	if (!up->report_at_us || !scale_us || age_us > rt->expiry_us)
		load = usual;
	else
		load = (fresh * scale_us + usual * age_us) /
		       (scale_us + age_us);
	return load > own ? load : own;
}

/* Delay that the sender's own observations add to an upstream's score. */
static int64_t penalty_us(const struct eb_route *rt, const struct upstream *up,
			  int64_t now_us)
{
	int64_t mean = mean_us(rt), x;
	int64_t sum = 0;

	if (now_us - up->failed_at_us < rt->expiry_us)
		sum = ERROR_TIMES * mean * up->eject.error_permille / 1000;
	if (rt->tune.outlier_times &&
	    up->latency_us > rt->tune.outlier_times * mean &&
	    now_us - up->latency_at_us < rt->expiry_us)
		sum += up->latency_us - mean;
	if (up->in_flight && up->report_at_us &&
	    now_us - up->report_at_us > rt->expiry_us)
		sum += PROBE_TIMES * mean;
	if (rt->tune.overdue_times && up->in_flight) {
		x = now_us - up->started_us / up->in_flight -
		    distance_us[up->info.distance];
		if (x > rt->tune.overdue_times * mean)
			sum += x;
	}
	return sum;
}

/*
 * Service time at the pace that the upstream's machine had; half of the
 * difference to the usual one is gone after PACE_AGE_US.
 */
static int64_t paced_us(const struct eb_route *rt, const struct upstream *up,
			int64_t service_us, int64_t now_us)
{
	int64_t age_us = now_us - up->report_at_us;
	int64_t extra = (int64_t)up->pace_percent - 100;

	if (extra <= 0 || age_us > rt->expiry_us)
		return service_us;
	return service_us +
	       service_us * extra / 100 * PACE_AGE_US / (PACE_AGE_US + age_us);
}

static int64_t score_us(const struct eb_route *rt, const struct upstream *up,
			int64_t now_us)
{
	int64_t service = mean_us(rt);

	/* A faster upstream shows in its load; a low figure may be false. */
	if (up->service_us > service &&
	    now_us - up->report_at_us < rt->expiry_us)
		service = up->service_us;

	service = paced_us(rt, up, service, now_us);
	return distance_us[up->info.distance] + service +
	       (up->info.distance >= EB_DISTANCE_REGION ? rt->tune.leave_us
							: 0) +
	       wait_us(service, load_permille(rt, up, now_us), up->info.slots) +
	       penalty_us(rt, up, now_us);
}

/* A large body leaves its region when what it met at home was no full queue. */
static int stays_home(const struct eb_route_query *q)
{
	return q->stays_home && (!q->tried_count || q->refused);
}

static int usable(const struct upstream *up, const struct eb_route_query *q)
{
	uint32_t i;

	if (up->info.leaving || (up->info.suspected && !q->suspects) ||
	    (stays_home(q) && up->info.distance == EB_DISTANCE_FAR))
		return 0;
	for (i = 0; i < q->tried_count; i++)
		if (q->tried[i] == up->info.id)
			return 0;
	return 1;
}

struct best {
	struct upstream *up;
	int64_t score_us;
};

/*
 * Scores up to `choices` random upstreams of ups[from..to). An upstream that
 * is ejected or ramping up is passed over unless its share allows it.
 */
static void sample(struct eb_route *rt, uint32_t from, uint32_t to,
		   uint32_t choices, const struct eb_route_query *q,
		   int64_t now_us, struct best *best)
{
	uint32_t n = to - from, i, at, share;
	struct upstream *up;
	int64_t score;

	if (!n)
		return;
	at = eb_rand_below(&rt->rand, n);
	for (i = 0; i < choices && i < n; i++) {
		/* A small tier is walked, a large one drawn from. */
		if (n <= 2 * choices)
			at = (at + 1) % n;
		else if (i)
			at = eb_rand_below(&rt->rand, n);
		up = &rt->ups[from + at];
		if (up->eject.phase != EB_EJECT_IN) {
			share = eb_eject_share(&rt->eject, &up->eject, now_us);
			if (share < 1000 &&
			    eb_rand_below(&rt->rand, 1000) >= share)
				continue;
		}
		if (!usable(up, q))
			continue;
		score = score_us(rt, up, now_us);
		if (!best->up || score < best->score_us) {
			best->up = up;
			best->score_us = score;
		}
	}
}

/* Any upstream that may be used, nearest tier first, ejected or not. */
static struct upstream *last_resort(struct eb_route *rt,
				    const struct eb_route_query *q)
{
	uint32_t t, n, i, start;
	struct upstream *up;

	for (t = 0; t < TIERS; t++) {
		n = rt->first[t + 1] - rt->first[t];
		start = n ? eb_rand_below(&rt->rand, n) : 0;
		for (i = 0; i < n; i++) {
			up = &rt->ups[rt->first[t] + (start + i) % n];
			if (usable(up, q))
				return up;
		}
	}
	return NULL;
}

/*
 * Picks the upstream with the least expected time among a few random ones of
 * each near tier. Other regions are looked at only when nobody is left to ask
 * at home, or when home refuses and has been refusing. Returns EB_ENOTFOUND
 * when none may be used.
 */
enum eb_status eb_route_pick(struct eb_route *rt,
			     const struct eb_route_query *q, int64_t now_us,
			     uint32_t *id)
{
	const uint32_t *first = rt->first;
	/* None that was tried is excluded. */
	struct eb_route_query again = { .stays_home = stays_home(q) };
	struct best best = { NULL, 0 };
	int64_t enough = mean_us(rt) * 2 + distance_us[EB_DISTANCE_REGION];
	int full;

	if (!rt->count)
		return EB_ENOTFOUND;
	sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_REGION],
	       rt->tune.choices, q, now_us, &best);
	sample(rt, first[EB_DISTANCE_REGION], first[EB_DISTANCE_FAR],
	       rt->tune.choices, q, now_us, &best);
	if (!best.up || best.score_us > enough)
		sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_FAR],
		       2 * rt->tune.choices, q, now_us, &best);
	full = q->tried_count &&
	       rt->pressure_permille > rt->tune.full_permille &&
	       rt->far_in_flight < rt->far_window &&
	       now_us >= rt->far_hold_until_us;
	if (!best.up || full)
		sample(rt, first[EB_DISTANCE_FAR], first[TIERS],
		       rt->tune.choices, q, now_us, &best);
	/*
	 * The last attempt may wait, also where there was no slot before. An
	 * earlier one would only be refused again.
	 */
	if (q->tried_count && (!best.up || (q->last && best.score_us > enough)))
		sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_FAR],
		       rt->tune.choices, &again, now_us, &best);
	if (!best.up)
		best.up = last_resort(rt, q);
	/* Where all have refused for load, the request waits at one of them. */
	if (!best.up && q->refused)
		best.up = last_resort(rt, &again);
	/* With nobody at home, a large body leaves the region all the same. */
	if (!best.up && q->stays_home) {
		again = *q;
		again.stays_home = 0;
		best.up = last_resort(rt, &again);
	}
	if (!best.up) {
		again = *q;
		again.suspects = 1;
		best.up = last_resort(rt, &again);
	}
	if (!best.up)
		return EB_ENOTFOUND;
	rt->stats.picks++;
	rt->stats.picks_far += best.up->info.distance == EB_DISTANCE_FAR;
	*id = best.up->info.id;
	return EB_OK;
}

/* Tells whether a request could go to an upstream that is not suspected. */
int eb_route_has_other(const struct eb_route *rt,
		       const struct eb_route_query *q)
{
	uint32_t i;

	for (i = 0; i < rt->count; i++)
		if (usable(&rt->ups[i], q))
			return 1;
	return 0;
}

/* Notes that a request was handed to the upstream. */
void eb_route_sent(struct eb_route *rt, uint32_t id, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	if (!up)
		return;
	up->in_flight++;
	rt->far_in_flight += up->info.distance == EB_DISTANCE_FAR;
	up->sent++;
	up->started_us += now_us;
}

static void learn_latency(struct eb_route *rt, struct upstream *up,
			  int64_t elapsed_us, int64_t now_us)
{
	int64_t us = elapsed_us - distance_us[up->info.distance];

	if (us < 0)
		us = 0;
	if (us > UINT32_MAX / 2)
		us = UINT32_MAX / 2;
	if (!up->latency_us)
		up->latency_us = (uint32_t)mean_us(rt);
	up->latency_us =
		(uint32_t)(up->latency_us +
			   (us - up->latency_us) / (1 << LATENCY_SHIFT));
	up->latency_at_us = now_us;
	/* One slow upstream must not raise the mean it is compared with. */
	if (rt->service_us && us > 4 * rt->service_us)
		us = 4 * rt->service_us;
	if (!rt->service_us)
		rt->service_us = us;
	rt->service_us += (us - rt->service_us) / (1 << MEAN_SHIFT);
}

/*
 * Keeps the share of refusals at home, and the window of calls that may be out
 * to other regions: one more for each answer, half for each refusal. So the
 * spill-over grows to what they have room for, and ends when they are full.
 */
static void learn_pressure(struct eb_route *rt, int far, int refused,
			   int64_t now_us)
{
	int step;

	if (!far) {
		step = (refused ? 1000 : 0) - (int)rt->pressure_permille;
		/* Rounded away from zero, so that it gets to both ends. */
		step += step > 0 ? (1 << PRESSURE_SHIFT) - 1
				 : -(1 << PRESSURE_SHIFT) + 1;
		rt->pressure_permille =
			(uint32_t)((int)rt->pressure_permille +
				   step / (1 << PRESSURE_SHIFT));
	} else if (!refused) {
		if (rt->far_window < FAR_WINDOW_MAX)
			rt->far_window++;
	} else {
		rt->far_window /= 2;
		if (rt->far_window < FAR_WINDOW_FIRST)
			rt->far_hold_until_us = now_us + FAR_HOLD_US;
		if (!rt->far_window)
			rt->far_window = 1;
	}
}

static enum eb_eject_result judge(const struct eb_route_result *rs)
{
	if (rs->reason == EB_REASON_CONNECT ||
	    rs->reason == EB_REASON_LOST_PEER)
		return EB_EJECT_UNREACHABLE;
	if (rs->outcome == EB_OUTCOME_UNKNOWN || rs->status >= 500)
		return EB_EJECT_FAILED;
	return EB_EJECT_GOOD;
}

/* Notes how the attempt ended; once for each eb_route_sent(). */
void eb_route_done(struct eb_route *rt, uint32_t id,
		   const struct eb_route_result *rs, int64_t now_us)
{
	struct upstream *up = find(rt, id);
	int refused = rs->outcome == EB_OUTCOME_NOT_RUN;
	enum eb_eject_result how = judge(rs);
	uint32_t least;

	/* It may have been replaced by a new entry since it was sent. */
	if (!up || !up->in_flight)
		return;
	up->started_us -=
		up->in_flight == 1 ? up->started_us : now_us - rs->elapsed_us;
	up->in_flight--;
	rt->far_in_flight -= up->info.distance == EB_DISTANCE_FAR;
	learn_pressure(rt, up->info.distance == EB_DISTANCE_FAR, refused,
		       now_us);
	if (how != EB_EJECT_GOOD) {
		up->failed_at_us = now_us;
		if (eb_eject_learn(&rt->eject, &up->eject, how, now_us))
			rt->stats.ejections++;
	} else if (!refused) {
		eb_eject_learn(&rt->eject, &up->eject, how, now_us);
		learn_latency(rt, up, rs->elapsed_us, now_us);
	} else if (rs->reason == EB_REASON_QUEUE_FULL ||
		   rs->reason == EB_REASON_HANDED_BACK) {
		/* The refusal is believed, whatever the report says. */
		least = up->info.slots + 1U;
		if (rs->reason == EB_REASON_HANDED_BACK)
			least = STALLED_LOADS * up->info.slots;
		if (up->reported < least)
			up->reported = least;
		up->report_at_us = now_us;
	}
}

/*
 * Learns the usual pace, which is that of the machines that are not slowed
 * down: it falls fast and rises slowly.
 */
static void learn_pace(struct eb_route *rt, uint32_t pace_percent)
{
	uint32_t usual = rt->pace_percent;

	if (!pace_percent)
		return;
	if (pace_percent > PACE_MAX_PERCENT)
		pace_percent = PACE_MAX_PERCENT;
	if (!usual)
		rt->pace_percent = pace_percent;
	else if (pace_percent < usual)
		rt->pace_percent -= (usual - pace_percent) >> PACE_FALL_SHIFT;
	else
		rt->pace_percent += (pace_percent - usual) >> PACE_RISE_SHIFT;
}

/* Returns the usual pace, or 0 while none is known. */
uint16_t eb_route_usual_pace(const struct eb_route *rt)
{
	return (uint16_t)rt->pace_percent;
}

/*
 * Returns how much later than the expected wait a caller that was refused
 * should come back. While home refuses nearly everything, one that comes back
 * soon is refused again, and its few tries are over before the overload is.
 */
uint32_t eb_route_come_back_ms(const struct eb_route *rt)
{
	if (rt->pressure_permille <= LASTING_PERMILLE)
		return 0;
	return (rt->pressure_permille - LASTING_PERMILLE) * COME_BACK_MAX_MS /
	       (1000 - LASTING_PERMILLE);
}

/* Takes in a load that rode on an answer; one without slots is empty. */
void eb_route_load(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		   int64_t now_us)
{
	struct upstream *up = find(rt, id);
	uint32_t load;

	if (!up || !ld->slots)
		return;
	up->reported = (uint32_t)ld->in_flight + ld->queued;
	up->report_at_us = now_us;
	up->sent = 0;
	up->service_us = ld->service_us;
	up->pace_percent = ld->pace_percent;
	learn_pace(rt, ld->pace_percent);
	load = up->reported * 1000 / ld->slots;
	if (load > 2000)
		load = 2000;
	rt->load_permille = (rt->load_permille * 63 + load) / 64;
}

/* Forgets what was known of an upstream that has started anew. */
void eb_route_restarted(struct eb_route *rt, uint32_t id, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	if (!up)
		return;
	up->service_us = 0;
	up->latency_us = 0;
	up->report_at_us = 0;
	up->eject.error_permille = 0;
	eb_eject_ramp(&rt->eject, &up->eject, now_us);
}

/* Copies the counters. */
void eb_route_read_stats(const struct eb_route *rt, struct eb_route_stats *out)
{
	*out = rt->stats;
	out->out = rt->eject.out;
}
