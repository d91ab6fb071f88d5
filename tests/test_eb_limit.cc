#include <gtest/gtest.h>

extern "C" {
#include "eb_limit.h"
}

namespace
{

struct limit_case {
	const char *name;
	eb_limit_config config;
	int callers, sends; /* each caller sends this often at time 0 */
	int allowed_each;
};

/* Guards against bounds that are off by one or shared between callers. */
TEST(Limit, Bounds)
{
	const limit_case cases[] = {
		{ "no limit", { 0, 0, 0, 0 }, 3, 50, 50 },
		{ "burst", { 10, 5, 0, 0 }, 3, 50, 5 },
		{ "burst of a second", { 10, 0, 0, 0 }, 3, 50, 10 },
		{ "in flight, alone", { 0, 0, 12, 0 }, 1, 50, 12 },
		{ "in flight, minimum", { 0, 0, 1, 0 }, 1, 50, 2 },
	};

	for (const limit_case &c : cases) {
		eb_limit *lm = eb_limit_new(&c.config);

		for (int k = 1; k <= c.callers; k++) {
			int allowed = 0;

			for (int i = 0; i < c.sends; i++)
				allowed += !eb_limit_take(lm, k, 0);
			EXPECT_EQ(c.allowed_each, allowed) << c.name;
		}
		eb_limit_free(lm);
	}
}

/* Guards against a busy caller whose requests get other callers refused. */
TEST(Limit, OthersKeepTheirShare)
{
	eb_limit_config cf = { 0, 0, 20, 0 };
	eb_limit *lm = eb_limit_new(&cf);
	int busy = 0, others = 0;

	for (int round = 0; round < 3000; round++) {
		int64_t now_us = round * 1000;
		int taken = 0;

		for (int i = 0; i < 100; i++)
			taken += !eb_limit_take(lm, 1, now_us);
		busy += taken;
		for (uint64_t k = 2; k < 6; k++)
			if (!eb_limit_take(lm, k, now_us)) {
				others++;
				eb_limit_done(lm, k);
			}
		while (taken--)
			eb_limit_done(lm, 1);
	}
	EXPECT_EQ(4 * 3000, others);
	/*
	 * Shares apply from half of the 20 in flight on; in the first round the
	 * busy caller is the only active one.
	 */
	EXPECT_GE(20 + 2999 * 10, busy);
	eb_limit_free(lm);
}

/* Guards against a rate that drifts, and a Retry-After that is too short. */
TEST(Limit, RateAndRetryAfter)
{
	eb_limit_config cf = { 100, 10, 0, 0 };
	eb_limit *lm = eb_limit_new(&cf);
	int allowed = 0;
	uint32_t wait_ms;

	for (int ms = 0; ms < 10000; ms++)
		allowed += !eb_limit_take(lm, 1, ms * 1000);
	EXPECT_LE(1000, allowed);
	EXPECT_GE(1011, allowed);
	wait_ms = eb_limit_take(lm, 1, 10000000);
	while (!wait_ms)
		wait_ms = eb_limit_take(lm, 1, 10000000);
	EXPECT_EQ(0u, eb_limit_take(lm, 1, 10000000 + wait_ms * 1000));
	eb_limit_free(lm);
}

/* Guards against unlimited connections, and closed ones that still count. */
TEST(Limit, Connections)
{
	eb_limit_config cf = { 0, 0, 0, 4 };
	eb_limit *lm = eb_limit_new(&cf);

	for (int i = 0; i < 10; i++)
		EXPECT_EQ(i < 4, eb_limit_connect(lm, 1, 0)) << i;
	EXPECT_EQ(1, eb_limit_connect(lm, 2, 0));
	eb_limit_disconnect(lm, 1);
	EXPECT_EQ(1, eb_limit_connect(lm, 1, 0));
	eb_limit_free(lm);
}

/*
 * Guards against a busy caller that gets a new burst because many other callers
 * or addresses push out its entry.
 */
TEST(Limit, ManyCallersDoNotResetABusyOne)
{
	eb_limit_config cf = { 10, 10, 0, 0 };
	eb_limit *lm = eb_limit_new(&cf);
	int allowed = 0;

	for (uint64_t k = 0; k < 200000; k++) {
		if (k % 100 == 0)
			allowed += !eb_limit_take(lm, 1, 0);
		if (!eb_limit_take(lm, 1000 + k * 7919, 0))
			eb_limit_done(lm, 1000 + k * 7919);
	}
	EXPECT_EQ(10, allowed);
	eb_limit_free(lm);
}

} // namespace
