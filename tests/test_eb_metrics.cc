#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "printed.h"

extern "C" {
#include "eb_clock.h"
#include "eb_metrics.h"
}

namespace
{

std::string print(const eb_metrics *mt)
{
	return printed([mt](FILE *out) { eb_metrics_print(mt, out); });
}

/* Guards against lost updates when several threads count at once. */
TEST(Metrics, CountersAndGauges)
{
	eb_metrics *mt = eb_metrics_new();
	std::vector<std::thread> threads;

	for (int i = 0; i < 4; i++)
		threads.emplace_back([&] {
			for (int n = 0; n < 10000; n++)
				eb_metrics_add(mt, EB_METRIC_REQUESTS, 1);
		});
	for (std::thread &t : threads)
		t.join();
	eb_metrics_set(mt, EB_METRIC_RELEASE, 7);
	eb_metrics_add(mt, EB_METRIC_CALLS_ACTIVE, -1);
	EXPECT_EQ(40000, eb_metrics_get(mt, EB_METRIC_REQUESTS));
	EXPECT_EQ(7, eb_metrics_get(mt, EB_METRIC_RELEASE));
	EXPECT_EQ(-1, eb_metrics_get(mt, EB_METRIC_CALLS_ACTIVE));
	eb_metrics_free(mt);
}

/*
 * Guards against a quantile from the wrong bucket: at a bucket's bound, for a
 * negative value, and above the last bucket.
 */
TEST(Metrics, Quantiles)
{
	const struct {
		std::vector<int64_t> values;
		uint32_t permille;
		int64_t expected;
	} cases[] = {
		{ {}, 990, 0 },
		{ { 960 }, 990, 960 },
		{ { 961 }, 990, 2000 },
		{ { -5 }, 500, 50 },
		{ { 1, 1, 1, 400 }, 500, 50 },
		{ { 1, 1, 1, 400 }, 750, 50 },
		{ { 1, 1, 1, 400 }, 751, 500 },
		{ { 99000000 }, 500, 30000000 },
	};

	for (const auto &c : cases) {
		eb_metrics *mt = eb_metrics_new();

		for (int64_t v : c.values)
			eb_metrics_observe(mt, EB_HISTOGRAM_QUEUE_US, v);
		EXPECT_EQ(c.expected,
			  eb_metrics_quantile_us(mt, EB_HISTOGRAM_QUEUE_US,
						 c.permille));
		eb_metrics_free(mt);
	}
}

/*
 * Guards against text that Prometheus rejects, such as two HELP or TYPE lines
 * for one name or two samples with the same labels.
 */
TEST(Metrics, PrometheusText)
{
	eb_metrics *mt = eb_metrics_new();
	std::map<std::string, int> helps, types, samples;
	std::string line, word, name;

	eb_metrics_observe(mt, EB_HISTOGRAM_CALL_US, 70);
	eb_metrics_observe(mt, EB_HISTOGRAM_CALL_US, 99000000);
	std::istringstream in(print(mt));
	while (std::getline(in, line)) {
		std::istringstream words(line);

		words >> word;
		if (word == "#") {
			words >> word >> name;
			(word == "HELP" ? helps : types)[name]++;
		} else {
			samples[word]++;
		}
	}
	for (const auto &h : helps) {
		EXPECT_EQ(1, h.second) << h.first;
		EXPECT_EQ(1, types[h.first]) << h.first;
	}
	for (const auto &s : samples)
		EXPECT_EQ(1, s.second) << s.first;
	EXPECT_EQ(1, samples["ebonypier_answers_total{outcome=\"not-run\"}"]);
	std::string text = print(mt);
	for (const char *part :
	     { "ebonypier_call_us_bucket{le=\"50\"} 0\n",
	       "ebonypier_call_us_bucket{le=\"100\"} 1\n",
	       "ebonypier_call_us_bucket{le=\"30000000\"} 1\n",
	       "ebonypier_call_us_bucket{le=\"+Inf\"} 2\n",
	       "ebonypier_call_us_sum 99000070\n",
	       "ebonypier_call_us_count 2\n" })
		EXPECT_NE(std::string::npos, text.find(part)) << part;
	eb_metrics_free(mt);
}

/* Guards against printing age 0, which looks recent, for no event at all. */
TEST(Metrics, AgesOfEvents)
{
	eb_metrics *mt = eb_metrics_new();

	eb_metrics_stamp(mt, EB_AGE_PEER, eb_clock_now_us() - 5000000);
	std::string s = print(mt);
	EXPECT_NE(std::string::npos, s.find("ebonypier_pace_age_ms -1\n"));
	size_t at = s.find("\nebonypier_peer_heard_age_ms ");
	ASSERT_NE(std::string::npos, at);
	EXPECT_LE(5000, atoll(s.c_str() + at + 29));
	eb_metrics_free(mt);
}

} // namespace
