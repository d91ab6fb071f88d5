#include "eb_route.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_eject.h"
#include "eb_rand.h"
#include "eb_tunables.h"

#define TIERS (EB_DISTANCE_FAR + 1)
/* Random candidates of each tier that is searched. */
#define CHOICES 2
/* A load report has lost half of its weight after this many service times. */
#define REPORT_AGE_TIMES 4
/* A measured latency counts only above this many mean service times. */
#define OUTLIER_TIMES 6
/* Penalty of an error rate of 1, in mean service times: it costs a retry. */
#define ERROR_TIMES 8
/*
 * Penalty, in mean service times, of an upstream whose load report has expired
 * and that has a call in flight, so that one call at a time probes it.
 */
#define PROBE_TIMES 8
/*
 * A request that was handed back counts as a load report of this many times
 * the slots: its VM is slow or has stalled, perhaps with slots free.
 */
#define HANDED_BACK_LOAD_TIMES 3U
/* A request without an answer for this many mean service times is overdue. */
#define OVERDUE_TIMES 4
#define LATENCY_SHIFT 2
#define MEAN_SHIFT 6
/*
 * Measurements of an upstream expire, so that a slow one is tried again within
 * seconds, with one call at a time until it answers. Each router adds or
 * subtracts up to half of this time at random, so that routers do not try the
 * upstream at the same moment.
 */
#define EXPIRY_US 1000000
/* Share of refusals above which the local region counts as full. */
#define FULL_PERMILLE 500
#define REFUSAL_SHIFT 5
/*
 * Refused callers get an extra backoff above this share of refusals in the
 * local region; it grows to the maximum when every attempt is refused.
 */
#define BACKOFF_REFUSAL_PERMILLE 700
#define EXTRA_BACKOFF_MAX_MS 900U
/* Initial and largest number of concurrent calls to other regions. */
#define FAR_WINDOW_INITIAL 2
#define FAR_WINDOW_MAX 1024
/* When other regions are full too, they get no calls for this long. */
#define FAR_HOLD_US 250000
#define SERVICE_INITIAL_US 1000
/* A reported pace has lost half of its weight at this age. */
#define PACE_AGE_US 150000
/*
 * Smoothing shifts of the baseline pace. With a quarter of the machines four
 * times slower, the baseline stays below 110.
 */
#define PACE_FALL_SHIFT 2
#define PACE_RISE_SHIFT 6
#define PACE_MAX_PERCENT 10000U
/* Keeps nine tenths of the requests within the failure domain. */
#define LEAVE_US 3000
#define EJECT_PERMILLE 500
#define RAMP_US 1000000
/*
 * Share of the normal traffic of an upstream that is cold, and the time in
 * which the share rises to all of it when the upstream is no longer cold. The
 * gate bounds what a cold upstream gets; the share keeps requests from being
 * refused there first.
 */
#define COLD_SHARE_PERMILLE 100
#define COLD_RAMP_US 2000000
/*
 * Age of a load, longer than EB_PEER_HEARTBEAT_IDLE_MS, up to which it may show
 * spare capacity. While load is low an origin hears of others by heartbeats
 * only, as it sends most requests to the upstream beside it.
 */
#define SPARE_HEARD_US 2500000
/* From this many times the baseline pace on, gates hand requests back. */
#define SPARE_SLOW_TIMES 2

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

/*
 * Bytes to another failure domain are expensive, and regions share one link for
 * all traffic: there a large answer counts as if its bytes took the link of
 * this VM so many times more.
 */
static const int64_t way_times[] = { 0, 0, 1, 3 };

/* Round trips to each tier. */
static const int64_t distance_us[TIERS] = { 0, 200, 2000, 20000 };

struct upstream {
	struct eb_route_upstream info;
	uint32_t in_flight; /* sent by this origin and not answered */
	uint32_t sent;	    /* sent after the last load report */
	uint32_t service_us;
	uint32_t pace_percent; /* of its VM, in the last load report */
	uint32_t latency_us;   /* smoothed, without the network */
	uint32_t reported;     /* load: in flight and queued at the gate */
	int64_t started_us;    /* sum of the send times of calls in flight */
	int64_t report_at_us;
	int64_t latency_at_us;
	int64_t failed_at_us;
	struct eb_load heard;  /* last load, that of heartbeats included */
	uint32_t heard_sent;   /* sent after that */
	int64_t heard_at_us;   /* 0: never */
	int64_t held_until_us; /* its rate limit is used up until then */
	int64_t warmed_at_us;  /* when it was no longer cold; 0: never cold */
	struct eb_eject_state eject;
};

struct eb_route {
	struct eb_rand rand;
	struct eb_route_tuning tune;
	struct upstream *ups; /* by tier, then id */
	uint32_t *slots;      /* hash of id to index + 1 */
	uint32_t slot_mask;
	uint32_t count;
	uint32_t cold;		   /* upstreams that are cold or were */
	uint32_t first[TIERS + 1]; /* first upstream of each tier */
	int64_t expiry_us;
	int64_t service_us;	   /* smoothed over all upstreams */
	uint32_t load_permille;	   /* reported load per slot, smoothed */
	uint32_t pace_percent;	   /* baseline; 0: none reported yet */
	uint32_t refusal_permille; /* of local attempts, smoothed */
	uint32_t far_in_flight;
	uint32_t far_window;
	int64_t far_hold_until_us;
	struct eb_eject eject;
	struct eb_route_stats stats;
};

/*
 * Returns the name of a distance in logs and metrics, or "nowhere" for a value
 * past EB_DISTANCE_FAR.
 */
const char *eb_distance_name(unsigned distance)
{
	static const char *const names[TIERS] = { "self", "domain", "region",
						  "far" };

	return distance < TIERS ? names[distance] : "nowhere";
}

/* Creates a router without upstreams. Returns NULL when out of memory. */
struct eb_route *eb_route_new(uint64_t seed)
{
	struct eb_route *rt = calloc(1, sizeof(*rt));

	if (!rt)
		return NULL;
	eb_rand_seed(&rt->rand, seed);
	eb_eject_init(&rt->eject);
	rt->tune = eb_route_tuning_default;
	rt->far_window = FAR_WINDOW_INITIAL;
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

/* Rebuilds the start of each tier and the index by id. */
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
 * Replaces the set of upstreams. An upstream that stays keeps its measurements.
 * A new one is ramped up, unless the set was empty before. Returns EB_ENOMEM
 * and changes nothing when out of memory.
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
	rt->cold = 0;
	for (i = 0; i < count; i++) {
		old = find(rt, ups[i].id);
		if (old)
			next[i] = *old;
		else if (rt->count)
			eb_eject_ramp(&rt->eject, &next[i].eject, now_us);
		if (old && old->info.cold && !ups[i].cold)
			next[i].warmed_at_us = now_us;
		rt->cold += ups[i].cold || next[i].warmed_at_us;
		next[i].info = ups[i];
		if (next[i].info.distance >= TIERS)
			next[i].info.distance = EB_DISTANCE_FAR;
		if (!next[i].info.slots)
			next[i].info.slots = 1;
		if (next[i].eject.phase == EB_EJECT_EJECTED)
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
	return rt->service_us ? rt->service_us : SERVICE_INITIAL_US;
}

/* Expected wait for a slot, in microseconds, at a load in thousandths. */
static int64_t wait_us(int64_t service_us, int64_t load_permille,
		       uint32_t slots)
{
	int64_t x = (load_permille + 1000) / slots;

	if (x <= 1000)
		return service_us * x * x / 1000 * x / 1000 * x / 1000 /
		       (2000 * (int64_t)slots);
	return service_us / (2 * slots) + service_us * (x - 1000) / 1000;
}

/*
 * Estimated number of requests at the upstream, in thousandths: the last load
 * report, weighted by its age against the mean of all upstreams, but no less
 * than this origin has in flight there.
 */
static int64_t load_permille(const struct eb_route *rt,
			     const struct upstream *up, int64_t now_us)
{
	int64_t scale_us = rt->tune.report_age_times * mean_us(rt);
	int64_t age_us = now_us - up->report_at_us;
	int64_t fresh = (int64_t)(up->reported + up->sent) * 1000;
	int64_t baseline = (int64_t)rt->load_permille * up->info.slots;
	int64_t own = (int64_t)up->in_flight * 1000, load;

	if (!up->report_at_us || !scale_us || age_us > rt->expiry_us)
		load = baseline;
	else
		load = (fresh * scale_us + baseline * age_us) /
		       (scale_us + age_us);
	return load > own ? load : own;
}

/* Added to an upstream's score for the errors and latencies seen here. */
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
 * Returns the service time at the pace that the upstream's VM last reported.
 * The excess over 100 percent is halved at an age of PACE_AGE_US.
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

	/*
	 * Only a service time above the mean counts: a fast upstream has a
	 * lower load anyway, and a low value may be false.
	 */
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

/* Returns how long a link takes for so many bytes; 0 if it is not known. */
static int64_t link_us(uint32_t bytes, uint32_t mbps)
{
	return mbps ? (int64_t)bytes * 1000 / (mbps * EB_LINK_BYTES_PER_MS) : 0;
}

static int is_large(const struct eb_route_query *q)
{
	return q->answer_bytes > EB_ANSWER_LARGE_BYTES;
}

/* Returns how long the link of this VM takes for the expected answer. */
static int64_t own_link_us(const struct eb_route_query *q)
{
	return link_us(q->answer_bytes, q->link_mbps);
}

/*
 * Returns what the expected answer adds to the score of an upstream: the time
 * that its bytes take on the upstream's link, and the cost of the way from
 * another failure domain or region. Nothing for a small answer, or if it does
 * not leave this VM.
 */
static int64_t transfer_us(const struct eb_route_query *q,
			   const struct upstream *up)
{
	if (!is_large(q) || up->info.distance == EB_DISTANCE_SELF)
		return 0;
	return link_us(q->answer_bytes, up->info.link_mbps) +
	       way_times[up->info.distance] * own_link_us(q);
}

/*
 * Whether a large body must stay in the local region: on the first attempt, and
 * while the last attempt was refused for load.
 */
static int keep_in_region(const struct eb_route_query *q)
{
	return q->keep_in_region && (!q->tried_count || q->refused);
}

static int usable(const struct upstream *up, const struct eb_route_query *q,
		  int64_t now_us)
{
	uint32_t i;

	if (up->info.leaving || (up->info.suspected && !q->suspects) ||
	    (now_us < up->held_until_us && !q->held) ||
	    (q->regions && !(q->regions & up->info.region)) ||
	    (keep_in_region(q) && up->info.distance == EB_DISTANCE_FAR))
		return 0;
	for (i = 0; i < q->tried_count; i++)
		if (q->tried[i] == up->info.id)
			return 0;
	return 1;
}

/*
 * Returns the share of its normal traffic, in permille, that an upstream may
 * get because it is cold or was until recently; never 0.
 */
static uint32_t cold_share(const struct upstream *up, int64_t now_us)
{
	int64_t age_us = now_us - up->warmed_at_us;

	if (up->info.cold)
		return COLD_SHARE_PERMILLE;
	if (!up->warmed_at_us || age_us >= COLD_RAMP_US)
		return 1000;
	return (uint32_t)(COLD_SHARE_PERMILLE +
			  (1000 - COLD_SHARE_PERMILLE) * age_us / COLD_RAMP_US);
}

/*
 * Whether cold upstreams get only a share: one that is not cold can be used.
 * Otherwise requests are spread over all of them.
 */
static int spares_cold(const struct eb_route *rt,
		       const struct eb_route_query *q, int64_t now_us)
{
	uint32_t i;

	for (i = 0; rt->cold && i < rt->count; i++)
		if (!rt->ups[i].info.cold && usable(&rt->ups[i], q, now_us))
			return 1;
	return 0;
}

struct best {
	struct upstream *up;
	int64_t score_us;
	int spare_cold; /* see spares_cold() */
};

/*
 * Scores up to `choices` random upstreams of ups[from..to) and keeps the best
 * in `best`. An upstream that is ejected, ramping up or cold is considered with
 * the probability of its share.
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
		/* A small range is iterated, a large one sampled. */
		if (n <= 2 * choices)
			at = (at + 1) % n;
		else if (i)
			at = eb_rand_below(&rt->rand, n);
		up = &rt->ups[from + at];
		share = 1000;
		if (up->eject.phase != EB_EJECT_ACTIVE)
			share = eb_eject_share(&rt->eject, &up->eject, now_us);
		if (best->spare_cold && cold_share(up, now_us) < share)
			share = cold_share(up, now_us);
		if (share < 1000 && eb_rand_below(&rt->rand, 1000) >= share)
			continue;
		if (!usable(up, q, now_us))
			continue;
		score = score_us(rt, up, now_us) + transfer_us(q, up);
		if (!best->up || score < best->score_us) {
			best->up = up;
			best->score_us = score;
		}
	}
}

/*
 * Returns a usable upstream of the nearest tier, even if ejected, or NULL; with
 * `skip_cold`, one that is not cold.
 */
static struct upstream *any_of(struct eb_route *rt,
			       const struct eb_route_query *q, int skip_cold,
			       int64_t now_us)
{
	uint32_t t, n, i, start;
	struct upstream *up;

	for (t = 0; t < TIERS; t++) {
		n = rt->first[t + 1] - rt->first[t];
		start = n ? eb_rand_below(&rt->rand, n) : 0;
		for (i = 0; i < n; i++) {
			up = &rt->ups[rt->first[t] + (start + i) % n];
			if (!(skip_cold && up->info.cold) &&
			    usable(up, q, now_us))
				return up;
		}
	}
	return NULL;
}

static struct upstream *
any_usable(struct eb_route *rt, const struct eb_route_query *q, int64_t now_us)
{
	return any_of(rt, q, 0, now_us);
}

/*
 * Picks the upstream with the least expected time among a few random ones of
 * each tier in the local region, and stores its id. Other regions are
 * considered only when no local upstream is left that was not tried and is
 * below its rate limit, or for a retry while the local region refuses much of
 * its load. A large body (`keep_in_region`) is sent to another region only when
 * its last attempt failed for another reason than load or no local upstream is
 * usable, as traffic between regions is billed. A large answer stays in the
 * failure domain while its transfer from elsewhere takes longer than the wait
 * there. An urgent request compares all local upstreams, as it has no time to
 * be refused first; only the lesser part of a service's requests is urgent, so
 * that they do not all meet at one upstream. Returns EB_ENOTFOUND when no
 * upstream can be used.
 */
enum eb_status eb_route_pick(struct eb_route *rt,
			     const struct eb_route_query *q, int64_t now_us,
			     uint32_t *id)
{
	const uint32_t *first = rt->first;
	/* Allows upstreams that were tried before. */
	struct eb_route_query relaxed = { .keep_in_region = keep_in_region(q),
					  .regions = q->regions,
					  .answer_bytes = q->answer_bytes,
					  .link_mbps = q->link_mbps };
	struct best best = { NULL, 0, spares_cold(rt, q, now_us) };
	int64_t enough = mean_us(rt) * 2 + distance_us[EB_DISTANCE_REGION];
	uint32_t choices = q->urgent ? rt->count : rt->tune.choices;
	int full;

	if (!rt->count)
		return EB_ENOTFOUND;
	/* The transfer of a large answer does not show that upstreams are full.
	 */
	if (is_large(q))
		enough += own_link_us(q);
	sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_REGION], choices,
	       q, now_us, &best);
	sample(rt, first[EB_DISTANCE_REGION], first[EB_DISTANCE_FAR], choices,
	       q, now_us, &best);
	if (!q->urgent && (!best.up || best.score_us > enough))
		sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_FAR],
		       2 * rt->tune.choices, q, now_us, &best);
	full = (q->tried_count || q->urgent) &&
	       rt->refusal_permille > rt->tune.full_permille &&
	       rt->far_in_flight < rt->far_window &&
	       now_us >= rt->far_hold_until_us;
	if (!best.up || full)
		sample(rt, first[EB_DISTANCE_FAR], first[TIERS], choices, q,
		       now_us, &best);
	/*
	 * The last attempt may wait in a queue, also at an upstream that has
	 * refused the request. An earlier attempt would be refused again.
	 */
	if (q->tried_count && (!best.up || (q->last && best.score_us > enough)))
		sample(rt, first[EB_DISTANCE_SELF], first[EB_DISTANCE_FAR],
		       rt->tune.choices, &relaxed, now_us, &best);
	if (!best.up)
		best.up = any_of(rt, q, best.spare_cold, now_us);
	/* If all upstreams have refused for load, it waits at one of them. */
	if (!best.up && q->refused)
		best.up = any_usable(rt, &relaxed, now_us);
	/* Without a local upstream, a large body goes to another region. */
	if (!best.up && q->keep_in_region) {
		relaxed = *q;
		relaxed.keep_in_region = 0;
		best.up = any_usable(rt, &relaxed, now_us);
	}
	if (!best.up) {
		relaxed = *q;
		relaxed.held = 1;
		best.up = any_usable(rt, &relaxed, now_us);
	}
	if (!best.up) {
		relaxed.suspects = 1;
		best.up = any_usable(rt, &relaxed, now_us);
	}
	if (!best.up)
		return EB_ENOTFOUND;
	rt->stats.picks++;
	rt->stats.picks_far += best.up->info.distance == EB_DISTANCE_FAR;
	*id = best.up->info.id;
	return EB_OK;
}

/*
 * Whether an upstream can take a second copy of a request: its load report is
 * recent and shows a slot that its gate gives to any request, its VM is not
 * slow, and it is neither cold nor ramping up, failing or overdue.
 */
static int has_spare(const struct eb_route *rt, const struct upstream *up,
		     int64_t now_us)
{
	uint32_t load = up->heard.in_flight + up->heard.queued + up->heard_sent;
	uint32_t baseline = rt->pace_percent;

	if (load < up->in_flight)
		load = up->in_flight;
	if (baseline < 100)
		baseline = 100;
	return up->heard_at_us && now_us - up->heard_at_us < SPARE_HEARD_US &&
	       load < up->heard.slots &&
	       up->heard.pace_percent < SPARE_SLOW_TIMES * baseline &&
	       cold_share(up, now_us) == 1000 &&
	       up->eject.phase == EB_EJECT_ACTIVE &&
	       !penalty_us(rt, up, now_us);
}

/*
 * Picks an upstream with spare capacity for a second copy of a request, and
 * stores its id: the one with the least expected time in this failure domain,
 * else in the local region. Other regions get no copies, as traffic to them is
 * billed. Returns EB_ENOTFOUND when no upstream is known to have spare
 * capacity.
 */
enum eb_status eb_route_pick_spare(const struct eb_route *rt,
				   const struct eb_route_query *q,
				   int64_t now_us, uint32_t *id)
{
	const struct upstream *best = NULL;
	int64_t score, best_us = 0;
	uint32_t i;

	if (!rt->count)
		return EB_ENOTFOUND;
	for (i = 0; i < rt->first[EB_DISTANCE_FAR]; i++) {
		if (best && i >= rt->first[EB_DISTANCE_REGION] &&
		    best->info.distance < EB_DISTANCE_REGION)
			break;
		if (!usable(&rt->ups[i], q, now_us) ||
		    !has_spare(rt, &rt->ups[i], now_us))
			continue;
		score = score_us(rt, &rt->ups[i], now_us);
		if (!best || score < best_us) {
			best = &rt->ups[i];
			best_us = score;
		}
	}
	if (!best)
		return EB_ENOTFOUND;
	*id = best->info.id;
	return EB_OK;
}

/*
 * Whether an upstream is left that was not tried, is not suspected and is not
 * at its rate limit.
 */
int eb_route_has_other(const struct eb_route *rt,
		       const struct eb_route_query *q, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < rt->count; i++)
		if (usable(&rt->ups[i], q, now_us))
			return 1;
	return 0;
}

/* Records that a request was sent to the upstream. */
void eb_route_sent(struct eb_route *rt, uint32_t id, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	if (!up)
		return;
	up->in_flight++;
	rt->far_in_flight += up->info.distance == EB_DISTANCE_FAR;
	up->sent++;
	up->heard_sent++;
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
	/* Limits how far one slow upstream raises the mean of all. */
	if (rt->service_us && us > 4 * rt->service_us)
		us = 4 * rt->service_us;
	if (!rt->service_us)
		rt->service_us = us;
	rt->service_us += (us - rt->service_us) / (1 << MEAN_SHIFT);
}

/*
 * Updates the share of refusals in the local region, and the limit of
 * concurrent calls to other regions, which grows by one for each answer and is
 * halved by each refusal. So the load sent to other regions grows up to their
 * free capacity and stops when they are full.
 */
static void learn_refusals(struct eb_route *rt, int far, int refused,
			   int64_t now_us)
{
	int step;

	if (!far) {
		step = (refused ? 1000 : 0) - (int)rt->refusal_permille;
		/* Rounded away from zero, so that it reaches 0 and 1000. */
		step += step > 0 ? (1 << REFUSAL_SHIFT) - 1
				 : -(1 << REFUSAL_SHIFT) + 1;
		rt->refusal_permille = (uint32_t)((int)rt->refusal_permille +
						  step / (1 << REFUSAL_SHIFT));
	} else if (!refused) {
		if (rt->far_window < FAR_WINDOW_MAX)
			rt->far_window++;
	} else {
		rt->far_window /= 2;
		if (rt->far_window < FAR_WINDOW_INITIAL)
			rt->far_hold_until_us = now_us + FAR_HOLD_US;
		if (!rt->far_window)
			rt->far_window = 1;
	}
}

static enum eb_eject_result classify(const struct eb_route_result *rs)
{
	if (rs->reason == EB_REASON_CONNECT ||
	    rs->reason == EB_REASON_LOST_PEER)
		return EB_EJECT_UNREACHABLE;
	if (rs->outcome == EB_OUTCOME_UNKNOWN || rs->status >= 500)
		return EB_EJECT_FAILED;
	return EB_EJECT_GOOD;
}

/* Records how an attempt ended; once for each eb_route_sent(). */
void eb_route_done(struct eb_route *rt, uint32_t id,
		   const struct eb_route_result *rs, int64_t now_us)
{
	struct upstream *up = find(rt, id);
	int refused = rs->outcome == EB_OUTCOME_NOT_RUN;
	enum eb_eject_result how = classify(rs);
	uint32_t least;

	/* The upstream may have been removed, and added again, meanwhile. */
	if (!up || !up->in_flight)
		return;
	up->started_us -=
		up->in_flight == 1 ? up->started_us : now_us - rs->elapsed_us;
	up->in_flight--;
	rt->far_in_flight -= up->info.distance == EB_DISTANCE_FAR;
	/* Lost on a silent connection: says nothing about the upstream. */
	if (refused && rs->reason == EB_REASON_LOST_PEER)
		return;
	if (rs->superseded) {
		/* It would have taken longer: only a higher latency counts. */
		if (rs->elapsed_us > up->latency_us + mean_us(rt))
			learn_latency(rt, up, rs->elapsed_us, now_us);
		return;
	}
	learn_refusals(rt, up->info.distance == EB_DISTANCE_FAR, refused,
		       now_us);
	if (how != EB_EJECT_GOOD) {
		up->failed_at_us = now_us;
		if (eb_eject_record(&rt->eject, &up->eject, how, now_us))
			rt->stats.ejections++;
	} else if (!refused) {
		eb_eject_record(&rt->eject, &up->eject, how, now_us);
		learn_latency(rt, up, rs->elapsed_us, now_us);
	} else if (rs->reason == EB_REASON_QUEUE_FULL ||
		   rs->reason == EB_REASON_HANDED_BACK) {
		/* A refusal overrides an older report of a lower load. */
		least = up->info.slots + 1U;
		if (rs->reason == EB_REASON_HANDED_BACK)
			least = HANDED_BACK_LOAD_TIMES * up->info.slots;
		if (up->reported < least)
			up->reported = least;
		up->report_at_us = now_us;
		if (rs->rate_wait_ms)
			up->held_until_us = now_us + rs->rate_wait_ms * 1000LL;
	}
}

/*
 * Updates the baseline pace, which is that of the VMs that are not slowed down
 * at present: it falls fast and rises slowly.
 */
static void learn_pace(struct eb_route *rt, uint32_t pace_percent)
{
	uint32_t baseline = rt->pace_percent;

	if (!pace_percent)
		return;
	if (pace_percent > PACE_MAX_PERCENT)
		pace_percent = PACE_MAX_PERCENT;
	if (!baseline)
		rt->pace_percent = pace_percent;
	else if (pace_percent < baseline)
		rt->pace_percent -=
			(baseline - pace_percent) >> PACE_FALL_SHIFT;
	else
		rt->pace_percent +=
			(pace_percent - baseline) >> PACE_RISE_SHIFT;
}

/* Returns the baseline pace in percent, or 0 before the first report. */
uint16_t eb_route_baseline_pace(const struct eb_route *rt)
{
	return (uint16_t)rt->pace_percent;
}

/*
 * Returns how long a refused caller should back off beyond the expected wait,
 * in milliseconds. While the local region refuses nearly every request, a
 * caller that retries early uses up its few retries before the overload ends.
 */
uint32_t eb_route_extra_backoff_ms(const struct eb_route *rt)
{
	if (rt->refusal_permille <= BACKOFF_REFUSAL_PERMILLE)
		return 0;
	return (rt->refusal_permille - BACKOFF_REFUSAL_PERMILLE) *
	       EXTRA_BACKOFF_MAX_MS / (1000 - BACKOFF_REFUSAL_PERMILLE);
}

/*
 * Records the load in a heartbeat, which only copies use: first attempts go by
 * the load reports of answers. One without slots is ignored.
 */
void eb_route_heard(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		    int64_t now_us)
{
	struct upstream *up = find(rt, id);

	if (!up || !ld->slots)
		return;
	up->heard = *ld;
	up->heard_sent = 0;
	up->heard_at_us = now_us;
}

/* Records the load report of an answer; one without slots is ignored. */
void eb_route_load(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		   int64_t now_us)
{
	struct upstream *up = find(rt, id);
	uint32_t load;

	if (!up || !ld->slots)
		return;
	eb_route_heard(rt, id, ld, now_us);
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

/*
 * Discards the measurements of an upstream whose daemon has a new incarnation,
 * and ramps up its traffic.
 */
void eb_route_restarted(struct eb_route *rt, uint32_t id, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	if (!up)
		return;
	up->service_us = 0;
	up->latency_us = 0;
	up->report_at_us = 0;
	up->heard_at_us = 0;
	up->held_until_us = 0;
	up->eject.error_permille = 0;
	eb_eject_ramp(&rt->eject, &up->eject, now_us);
}

/* Copies the counters. */
void eb_route_read_stats(const struct eb_route *rt, struct eb_route_stats *out)
{
	*out = rt->stats;
	out->out = rt->eject.out;
}
