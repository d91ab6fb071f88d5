#include "eb_metrics.h"

#include <stdlib.h>
#include <string.h>

#include "eb_clock.h"
#include "eb_call_stats.h"

#define BUCKET_COUNT 18

struct histogram {
	uint64_t counts[BUCKET_COUNT + 1];
	uint64_t sum_us;
};

struct eb_metrics {
	int64_t values[EB_METRIC_COUNT];
	int64_t stamps_us[EB_AGE_COUNT]; /* monotonic time; 0: never */
	struct histogram histograms[EB_HISTOGRAM_COUNT];
	struct eb_call_stats *call_stats;
};

struct metric_info {
	const char *name;
	const char *help;
};

static const struct metric_info metric_infos[] = {
#define INFO(id, name, help) { name, help },
	EB_METRIC_TABLE(INFO)
};

static const struct metric_info age_infos[] = { EB_AGE_TABLE(INFO) };
#undef INFO

static const struct metric_info histogram_infos[EB_HISTOGRAM_COUNT] = {
	[EB_HISTOGRAM_CALL_US] = { "call_us", "Time from the request to its "
					      "whole answer" },
	[EB_HISTOGRAM_UPSTREAM_US] = { "upstream_us",
				       "Time of a request at the upstream" },
	[EB_HISTOGRAM_QUEUE_US] = { "queue_us", "Wait for a slot at the gate" },
};

/* Upper bounds of the buckets; 960 us is the limit for added latency. */
static const int64_t bounds_us[BUCKET_COUNT] = {
	50,	100,	200,	 300,	  500,	    960,
	2000,	5000,	10000,	 20000,	  50000,    100000,
	200000, 500000, 1000000, 5000000, 10000000, 30000000
};

/* Creates metrics that all start at 0. Returns NULL without memory. */
struct eb_metrics *eb_metrics_new(void)
{
	struct eb_metrics *mt = calloc(1, sizeof(*mt));

	if (!mt)
		return NULL;
	mt->call_stats = eb_call_stats_new();
	if (mt->call_stats)
		return mt;
	free(mt);
	return NULL;
}

/* Frees the metrics; NULL is allowed. */
void eb_metrics_free(struct eb_metrics *mt)
{
	if (mt)
		eb_call_stats_free(mt->call_stats);
	free(mt);
}

/* Returns the counts by route; only one thread may change them. */
struct eb_call_stats *eb_metrics_call_stats(struct eb_metrics *mt)
{
	return mt->call_stats;
}

/*
 * Records that the event happened at `now_us`, monotonic time, for its age.
 * From any thread.
 */
void eb_metrics_stamp(struct eb_metrics *mt, enum eb_age a, int64_t now_us)
{
	__atomic_store_n(&mt->stamps_us[a], now_us, __ATOMIC_RELAXED);
}

/* Adds `by`, which may be negative for a gauge; from any thread. */
void eb_metrics_add(struct eb_metrics *mt, enum eb_metric m, int64_t by)
{
	__atomic_add_fetch(&mt->values[m], by, __ATOMIC_RELAXED);
}

/*
 * Counts a call in one of three counters that follow each other, for priority
 * 0, for 1, and for 2 and above.
 */
void eb_metrics_add_priority(struct eb_metrics *mt, enum eb_metric first,
			     uint8_t priority)
{
	eb_metrics_add(mt, first + (priority < 2 ? priority : 2), 1);
}

/* Sets a gauge; from any thread. */
void eb_metrics_set(struct eb_metrics *mt, enum eb_metric m, int64_t value)
{
	__atomic_store_n(&mt->values[m], value, __ATOMIC_RELAXED);
}

/* Returns the value of a counter or gauge; from any thread. */
int64_t eb_metrics_get(const struct eb_metrics *mt, enum eb_metric m)
{
	return __atomic_load_n(&mt->values[m], __ATOMIC_RELAXED);
}

/*
 * Records a duration in microseconds; a negative one counts as 0. From any
 * thread.
 */
void eb_metrics_observe(struct eb_metrics *mt, enum eb_histogram h, int64_t us)
{
	struct histogram *hg = &mt->histograms[h];
	int i = 0;

	if (us < 0)
		us = 0;
	while (i < BUCKET_COUNT && us > bounds_us[i])
		i++;
	__atomic_add_fetch(&hg->counts[i], 1, __ATOMIC_RELAXED);
	__atomic_add_fetch(&hg->sum_us, (uint64_t)us, __ATOMIC_RELAXED);
}

/*
 * Returns the upper bound, in microseconds, of the bucket that holds the
 * quantile, or 0 if nothing was recorded. For a duration above all buckets it
 * is the bound of the last one.
 */
int64_t eb_metrics_quantile_us(const struct eb_metrics *mt, enum eb_histogram h,
			       uint32_t permille)
{
	const struct histogram *hg = &mt->histograms[h];
	uint64_t total = 0, seen = 0;
	int i;

	for (i = 0; i <= BUCKET_COUNT; i++)
		total += hg->counts[i];
	if (!total)
		return 0;
	for (i = 0; i < BUCKET_COUNT; i++) {
		seen += hg->counts[i];
		if (seen * 1000 >= total * permille)
			return bounds_us[i];
	}
	return bounds_us[BUCKET_COUNT - 1];
}

/*
 * Prints the HELP and TYPE lines of a metric, unless `previous` is the same
 * name with other labels.
 */
static void print_help(FILE *out, const struct metric_info *info,
		       const char *previous)
{
	size_t n = strcspn(info->name, "{");

	if (previous && !strncmp(previous, info->name, n) &&
	    (previous[n] == '{' || !previous[n]))
		return;
	fputs("# HELP ebonypier_", out);
	fwrite(info->name, 1, n, out);
	fprintf(out, " %s\n# TYPE ebonypier_", info->help);
	fwrite(info->name, 1, n, out);
	fprintf(out, " %s\n",
		strstr(info->name, "_total") ? "counter" : "gauge");
}

static void print_histogram(FILE *out, const struct metric_info *info,
			    const struct histogram *hg)
{
	uint64_t seen = 0;
	int i;

	fprintf(out, "# HELP ebonypier_%s %s\n# TYPE ebonypier_%s histogram\n",
		info->name, info->help, info->name);
	for (i = 0; i < BUCKET_COUNT; i++) {
		seen += hg->counts[i];
		fprintf(out, "ebonypier_%s_bucket{le=\"%lld\"} %llu\n",
			info->name, (long long)bounds_us[i],
			(unsigned long long)seen);
	}
	seen += hg->counts[BUCKET_COUNT];
	fprintf(out, "ebonypier_%s_bucket{le=\"+Inf\"} %llu\n", info->name,
		(unsigned long long)seen);
	fprintf(out, "ebonypier_%s_sum %llu\nebonypier_%s_count %llu\n",
		info->name, (unsigned long long)hg->sum_us, info->name,
		(unsigned long long)seen);
}

/* Prints the age of each event in milliseconds; -1 if it never happened. */
static void print_ages(const struct eb_metrics *mt, FILE *out)
{
	int64_t now_us = eb_clock_now_us(), at_us;
	int i;

	for (i = 0; i < EB_AGE_COUNT; i++) {
		at_us = __atomic_load_n(&mt->stamps_us[i], __ATOMIC_RELAXED);
		print_help(out, &age_infos[i], NULL);
		fprintf(out, "ebonypier_%s %lld\n", age_infos[i].name,
			at_us ? (long long)(now_us - at_us) / 1000 : -1LL);
	}
}

/* Prints all metrics in the Prometheus text format; from any thread. */
void eb_metrics_print(const struct eb_metrics *mt, FILE *out)
{
	const char *previous = NULL;
	int i;

	for (i = 0; i < EB_METRIC_COUNT; i++) {
		print_help(out, &metric_infos[i], previous);
		previous = metric_infos[i].name;
		fprintf(out, "ebonypier_%s %lld\n", metric_infos[i].name,
			(long long)eb_metrics_get(mt, (enum eb_metric)i));
	}
	for (i = 0; i < EB_HISTOGRAM_COUNT; i++)
		print_histogram(out, &histogram_infos[i], &mt->histograms[i]);
	print_ages(mt, out);
	eb_call_stats_print(mt->call_stats, out);
}
