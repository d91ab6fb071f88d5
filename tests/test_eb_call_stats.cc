#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "printed.h"

extern "C" {
#include "eb_frame.h"
#include "eb_call_stats.h"
}

namespace
{

std::string print(const eb_call_stats *tl)
{
	return printed([tl](FILE *out) { eb_call_stats_print(tl, out); });
}

struct line_case {
	const char *guards;
	const char *line;
};

const line_case lines[] = {
	{ "calls that are counted for another route or way",
	  "ebonypier_route_calls_total{route=\"swans\",outcome=\"ran\","
	  "distance=\"far\"} 2\n" },
	{ "a refusal that hides its reason",
	  "ebonypier_route_failures_total{route=\"swans\","
	  "reason=\"queue-full\"} 1\n" },
	{ "a duration in the wrong bucket",
	  "ebonypier_route_call_us_bucket{route=\"swans\",le=\"5000\"} 1\n" },
	{ "a bucket that leaves out the shorter ones",
	  "ebonypier_route_call_us_bucket{route=\"swans\",le=\"20000\"} 2\n" },
	{ "a duration beyond all bounds that is lost",
	  "ebonypier_route_call_us_bucket{route=\"swans\",le=\"+Inf\"} 3\n" },
	{ "a sum that leaves out a call",
	  "ebonypier_route_call_us_sum{route=\"swans\"} 60011000\n" },
	{ "a budget of an earlier call",
	  "ebonypier_route_retries_left{route=\"swans\"} 2\n" },
	{ "a name that ends its label",
	  "ebonypier_route_calls_total{route=\"a\\\"b\",outcome=\"ran\","
	  "distance=\"self\"} 1\n" },
};

/* Guards against the failure that `guards` of each line describes. */
TEST(Tally, Lines)
{
	eb_call_stats *tl = eb_call_stats_new();
	uint32_t swans = eb_call_stats_route(tl, "swans");
	uint32_t odd = eb_call_stats_route(tl, "a\"b");
	const eb_call_stats_call calls[] = {
		{ EB_OUTCOME_RAN, EB_REASON_NONE, 3, 1000, 9, 20 },
		{ EB_OUTCOME_RAN, EB_REASON_NONE, 3, 10000, 5, 20 },
		{ EB_OUTCOME_NOT_RUN, EB_REASON_QUEUE_FULL,
		  EB_CALL_STATS_NOT_SENT, 60000000, 2, 20 },
	};

	for (const eb_call_stats_call &ca : calls)
		eb_call_stats_add(tl, swans, &ca);
	eb_call_stats_call self = {
		EB_OUTCOME_RAN, EB_REASON_NONE, 0, 1, 0, 0
	};
	eb_call_stats_add(tl, odd, &self);
	EXPECT_EQ(swans, eb_call_stats_route(tl, "swans"));
	for (const line_case &c : lines)
		EXPECT_NE(std::string::npos, print(tl).find(c.line))
			<< c.guards << "\n"
			<< print(tl);
	eb_call_stats_free(tl);
}

/* Guards against memory that grows with the number of routes. */
TEST(Tally, FurtherRoutesShareAnEntry)
{
	eb_call_stats *tl = eb_call_stats_new();
	uint32_t last = 0;
	eb_call_stats_call ca = { EB_OUTCOME_RAN, EB_REASON_NONE, 0, 1, 0, 0 };

	for (int i = 0; i < 2 * EB_CALL_STATS_ROUTES_MAX; i++) {
		last = eb_call_stats_route(tl,
					   ("r" + std::to_string(i)).c_str());
		eb_call_stats_add(tl, last, &ca);
	}
	EXPECT_EQ((uint32_t)EB_CALL_STATS_ROUTES_MAX - 1, last);
	EXPECT_NE(std::string::npos,
		  print(tl).find("{route=\"(others)\",outcome=\"ran\","
				 "distance=\"self\"} " +
				 std::to_string(EB_CALL_STATS_ROUTES_MAX + 1)));
	eb_call_stats_free(tl);
}

} // namespace
