#include <gtest/gtest.h>

#include "harness.h"

namespace
{

/* Guards against a caller that exceeds its rate and starves other callers. */
TEST(Limits, CallerOverItsRateIsRefusedAsNotRun)
{
	FleetOptions op;
	int answered = 0, refused = 0;

	op.rules = "[{\"name\":\"slow\",\"caller_rate_per_s\":1}]";
	op.services[0].rule = "slow";
	Fleet fleet(op);
	fleet.start();
	for (int i = 0; i < 200; i++) {
		HttpAnswer a = http_get(fleet[0].url("/agenda/x"));

		if (a.complete(200)) {
			answered++;
			continue;
		}
		EXPECT_TRUE(a.complete(429)) << a.status;
		EXPECT_EQ("not-run", a.outcome());
		EXPECT_EQ("caller-limit", a.json("error"));
		EXPECT_NE("", a.header("Retry-After"));
		refused++;
	}
	EXPECT_GE(answered, 1);
	EXPECT_GT(refused, 0);
	EXPECT_EQ(answered, fleet.runs_count("executed"));
	EXPECT_EQ(refused, fleet[0].metric("callers_limited_total"));
}

} // namespace
