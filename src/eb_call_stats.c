#include "eb_call_stats.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_frame.h"
#include "eb_tunables.h"

#define DISTANCES (EB_CALL_STATS_NOT_SENT + 1)
#define OUTCOMES (EB_OUTCOME_NOT_RUN + 1)
#define REASONS (EB_REASON_MAX + 1)
#define BUCKETS 9
#define OTHER_ROUTES "(others)"

struct route {
	char name[EB_NAME_SPACE_BYTES];
	uint64_t calls[OUTCOMES][DISTANCES];
	uint64_t reasons[REASONS];
	uint64_t buckets[BUCKETS + 1];
	uint64_t sum_us;
	int64_t retries_left;
	int64_t reroutes_left;
};

struct eb_call_stats {
	struct route *routes[EB_CALL_STATS_ROUTES_MAX];
	uint32_t count; /* set after the route is complete, for
			 * eb_call_stats_print()
			 */
};

/* Bounds from the limit on added latency to the longest deadline. */
static const int64_t bounds_us[BUCKETS] = { 1000,   5000,    20000,
					    50000,  100000,  200000,
					    500000, 2000000, 30000000 };

/* Returns NULL if out of memory. */
struct eb_call_stats *eb_call_stats_new(void)
{
	return calloc(1, sizeof(struct eb_call_stats));
}

/* Frees the statistics; NULL is allowed. */
void eb_call_stats_free(struct eb_call_stats *tl)
{
	uint32_t i;

	for (i = 0; tl && i < tl->count; i++)
		free(tl->routes[i]);
	free(tl);
}

/*
 * Returns the index of a route for eb_call_stats_add(), which stays the same.
 * If out of memory it is EB_CALL_STATS_ROUTES_MAX, for which nothing is
 * counted.
 */
uint32_t eb_call_stats_route(struct eb_call_stats *tl, const char *name)
{
	uint32_t i;

	for (i = 0; i < tl->count; i++)
		if (!strncmp(tl->routes[i]->name, name,
			     EB_NAME_SPACE_BYTES - 1))
			return i;
	if (i == EB_CALL_STATS_ROUTES_MAX)
		return i - 1;
	tl->routes[i] = calloc(1, sizeof(*tl->routes[i]));
	if (!tl->routes[i])
		return EB_CALL_STATS_ROUTES_MAX;
	if (i == EB_CALL_STATS_ROUTES_MAX - 1)
		name = OTHER_ROUTES;
	strncpy(tl->routes[i]->name, name, EB_NAME_SPACE_BYTES - 1);
	__atomic_store_n(&tl->count, i + 1, __ATOMIC_RELEASE);
	return i;
}

static void add_relaxed(uint64_t *n, uint64_t by)
{
	__atomic_add_fetch(n, by, __ATOMIC_RELAXED);
}

/* Counts a call of the route with this index. */
void eb_call_stats_add(struct eb_call_stats *tl, uint32_t route,
		       const struct eb_call_stats_call *ca)
{
	uint64_t us = ca->us > 0 ? (uint64_t)ca->us : 0;
	struct route *rt;
	uint32_t i = 0;

	if (route >= tl->count)
		return;
	assert(ca->outcome < OUTCOMES && ca->reason < REASONS &&
	       ca->distance < DISTANCES);
	rt = tl->routes[route];
	while (i < BUCKETS && (int64_t)us > bounds_us[i])
		i++;
	add_relaxed(&rt->calls[ca->outcome][ca->distance], 1);
	add_relaxed(&rt->reasons[ca->reason], 1);
	add_relaxed(&rt->buckets[i], 1);
	add_relaxed(&rt->sum_us, us);
	__atomic_store_n(&rt->retries_left, ca->retries_left, __ATOMIC_RELAXED);
	__atomic_store_n(&rt->reroutes_left, ca->reroutes_left,
			 __ATOMIC_RELAXED);
}

/* ---- Printing ---- */

/*
 * Prints the name of a metric and its label of the route, with the value of the
 * label escaped; the caller prints the other labels and the closing brace.
 */
static void print_metric(FILE *out, const char *name, const struct route *rt)
{
	const char *p;

	fprintf(out, "ebonypier_%s{route=\"", name);
	for (p = rt->name; *p; p++) {
		if (*p == '"' || *p == '\\')
			fputc('\\', out);
		fputc(*p == '\n' ? ' ' : *p, out);
	}
	fputc('"', out);
}

static uint64_t load_relaxed(const uint64_t *n)
{
	return __atomic_load_n(n, __ATOMIC_RELAXED);
}

static void print_calls(FILE *out, const struct route *rt)
{
	uint32_t o, d;
	uint64_t n;

	for (o = 0; o < OUTCOMES; o++)
		for (d = 0; d < DISTANCES; d++) {
			n = load_relaxed(&rt->calls[o][d]);
			if (!n)
				continue;
			print_metric(out, "route_calls_total", rt);
			fprintf(out, ",outcome=\"%s\",distance=\"%s\"} %llu\n",
				eb_outcome_name(o), eb_distance_name(d),
				(unsigned long long)n);
		}
}

static void print_reasons(FILE *out, const struct route *rt)
{
	uint64_t n;
	uint32_t i;

	for (i = EB_REASON_NONE + 1; i < REASONS; i++) {
		n = load_relaxed(&rt->reasons[i]);
		if (!n)
			continue;
		print_metric(out, "route_failures_total", rt);
		fprintf(out, ",reason=\"%s\"} %llu\n", eb_reason_name(i),
			(unsigned long long)n);
	}
}

static void print_times(FILE *out, const struct route *rt)
{
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i <= BUCKETS; i++) {
		seen += load_relaxed(&rt->buckets[i]);
		print_metric(out, "route_call_us_bucket", rt);
		if (i < BUCKETS)
			fprintf(out, ",le=\"%lld\"} %llu\n",
				(long long)bounds_us[i],
				(unsigned long long)seen);
		else
			fprintf(out, ",le=\"+Inf\"} %llu\n",
				(unsigned long long)seen);
	}
	print_metric(out, "route_call_us_sum", rt);
	fprintf(out, "} %llu\n", (unsigned long long)load_relaxed(&rt->sum_us));
	print_metric(out, "route_call_us_count", rt);
	fprintf(out, "} %llu\n", (unsigned long long)seen);
}

static void print_gauge(FILE *out, const char *name, const struct route *rt,
			const int64_t *value)
{
	print_metric(out, name, rt);
	fprintf(out, "} %lld\n",
		(long long)__atomic_load_n(value, __ATOMIC_RELAXED));
}

static void print_retries(FILE *out, const struct route *rt)
{
	print_gauge(out, "route_retries_left", rt, &rt->retries_left);
}

static void print_reroutes(FILE *out, const struct route *rt)
{
	print_gauge(out, "route_reroutes_left", rt, &rt->reroutes_left);
}

static const struct family {
	const char *name, *type, *help;
	void (*print)(FILE *out, const struct route *rt);
} families[] = {
	{ "route_calls_total", "counter",
	  "Calls by route, outcome and distance of the last upstream",
	  print_calls },
	{ "route_failures_total", "counter",
	  "Calls that were not served, by route and reason", print_reasons },
	{ "route_call_us", "histogram",
	  "Time from the request to its whole answer, by route", print_times },
	{ "route_retries_left", "gauge",
	  "Retries left in the budget of the route's service", print_retries },
	{ "route_reroutes_left", "gauge",
	  "Re-routes of refused requests left to the route's service",
	  print_reroutes },
};

/* Prints all metrics in the Prometheus text format; from any thread. */
void eb_call_stats_print(const struct eb_call_stats *tl, FILE *out)
{
	uint32_t routes = __atomic_load_n(&tl->count, __ATOMIC_ACQUIRE), i, r;
	const struct family *fm;

	for (i = 0; i < sizeof(families) / sizeof(families[0]); i++) {
		fm = &families[i];
		fprintf(out, "# HELP ebonypier_%s %s\n# TYPE ebonypier_%s %s\n",
			fm->name, fm->help, fm->name, fm->type);
		for (r = 0; r < routes; r++)
			fm->print(out, tl->routes[r]);
	}
}
