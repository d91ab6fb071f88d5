/*
 * Cost of a routing decision: CPU time of eb_route_pick() with 30 and with
 * 1,000 upstreams, and memory for 22,000 upstreams. The figures depend on the
 * machine.
 */
#include <malloc.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "eb_route.h"

#define PICKS_PER_ROUND 200000
#define ROUNDS 15
#define UPSTREAMS 22000
#define SERVICES 730

static int64_t cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static struct eb_route *make_route(uint32_t count)
{
	struct eb_route_upstream *ups = calloc(count, sizeof(*ups));
	struct eb_route *rt = eb_route_new(1);
	uint32_t i;

	if (!ups || !rt)
		abort();
	for (i = 0; i < count; i++) {
		ups[i].id = i;
		ups[i].slots = 10;
		/*
		 * One upstream in three is in the local region: half of them in
		 * the local failure domain, half in another one.
		 */
		ups[i].distance = i % 3	  ? EB_DISTANCE_FAR
				  : i % 2 ? EB_DISTANCE_DOMAIN
					  : EB_DISTANCE_REGION;
	}
	if (eb_route_set_upstreams(rt, ups, count, 0))
		abort();
	free(ups);
	return rt;
}

/* Returns the mean CPU time in ns of a pick and the bookkeeping of its call. */
static double round_ns(struct eb_route *rt, int64_t *now_us)
{
	struct eb_load ld = { .in_flight = 4, .slots = 10, .service_us = 4000 };
	struct eb_route_result rs = { .outcome = EB_OUTCOME_RAN,
				      .status = 200,
				      .elapsed_us = 4200 };
	struct eb_route_query q = { .remaining_us = 250000 };
	int64_t start_ns = cpu_ns();
	uint32_t i, id;

	for (i = 0; i < PICKS_PER_ROUND; i++) {
		*now_us += 10;
		if (eb_route_pick(rt, &q, *now_us, &id))
			abort();
		eb_route_sent(rt, id, *now_us);
		eb_route_load(rt, id, &ld, *now_us);
		eb_route_done(rt, id, &rs, *now_us);
	}
	return (double)(cpu_ns() - start_ns) / PICKS_PER_ROUND;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print(const char *size, const char *figure, double value,
		  double bound)
{
	printf("{\"bench\":\"decision\",\"case\":\"%s\",\"figure\":\"%s\","
	       "\"value\":%.3f,\"target\":\"at-most %g\",\"met\":%s}\n",
	       size, figure, value, bound, value <= bound ? "true" : "false");
}

int main(void)
{
	struct eb_route *small = make_route(30), *large = make_route(1000);
	struct eb_route *routes[SERVICES];
	double small_ns[ROUNDS], large_ns[ROUNDS];
	int64_t now_us = 1000000;
	size_t before_bytes;
	uint32_t i;

	/* Rounds alternate, so that a busy machine slows both sizes alike. */
	for (i = 0; i < ROUNDS; i++) {
		small_ns[i] = round_ns(small, &now_us);
		large_ns[i] = round_ns(large, &now_us);
	}
	qsort(small_ns, ROUNDS, sizeof(small_ns[0]), compare_doubles);
	qsort(large_ns, ROUNDS, sizeof(large_ns[0]), compare_doubles);
	print("30", "pick_and_bookkeeping_us", small_ns[ROUNDS / 2] / 1000, 2);
	print("1000", "pick_and_bookkeeping_us", large_ns[ROUNDS / 2] / 1000,
	      2);
	print("1000", "growth_over_30",
	      large_ns[ROUNDS / 2] / small_ns[ROUNDS / 2], 1.1);
	before_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
	for (i = 0; i < SERVICES; i++)
		routes[i] = make_route(UPSTREAMS / SERVICES +
				       (i < UPSTREAMS % SERVICES));
	print("22000", "memory_bytes",
	      (double)(mallinfo2().uordblks + mallinfo2().hblkhd -
		       before_bytes),
	      16e6);
	for (i = 0; i < SERVICES; i++)
		eb_route_free(routes[i]);
	eb_route_free(small);
	eb_route_free(large);
	return 0;
}
