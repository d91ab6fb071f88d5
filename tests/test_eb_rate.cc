#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "eb_rate.h"
#include "eb_tunables.h"
}

namespace
{

/* Guards against a header that is no number being taken for a limit. */
TEST(Rate, Parse)
{
	const struct {
		const char *value;
		uint32_t per_s_milli;
	} cases[] = {
		{ "7.8", 7800 },  { "2", 2000 },   { "0.5", 500 },
		{ "0", 1 },	  { "0.0001", 1 }, { "1000000", 1000000000 },
		{ "1000001", 0 }, { "1e99", 0 },   { "-1", 0 },
		{ "", 0 },	  { "7.8/s", 0 },  { "nan", 0 },
		{ "inf", 0 },	  { "many", 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.per_s_milli, eb_rate_parse(c.value)) << c.value;
}

/*
 * Guards against more requests in some span than the rate allows, whatever the
 * arrivals, and while the upstream names other rates meanwhile.
 */
TEST(Rate, NoSpanHasMoreThanTheRateAllows)
{
	const int64_t span_us = 4000000;

	for (uint32_t seed = 1; seed <= 50; seed++) {
		std::minstd_rand rand(seed);
		const uint32_t rates[] = { (uint32_t)(1 + rand() % 100000),
					   (uint32_t)(1 + rand() % 9000) };
		const double most = std::max({ rates[0], rates[1],
					       (uint32_t)EB_RATE_MIN_MILLI }) /
				    1000.0;
		std::vector<int64_t> runs;
		eb_rate rt = {};
		int64_t now = 1;

		eb_rate_set(&rt, rates[0], now);
		for (int i = 0; i < 5000; i++) {
			now += rand() % 20000;
			if (rand() % 100 == 0)
				eb_rate_set(&rt, rates[rand() % 2], now);
			if (eb_rate_wait_us(&rt, 0, now))
				continue;
			eb_rate_take(&rt, now);
			runs.push_back(now);
		}
		for (size_t i = 0, j = 0; i < runs.size(); i++) {
			while (runs[i] - runs[j] > span_us)
				j++;
			ASSERT_LE((double)(i - j + 1), 4 * most + most / 4 + 2)
				<< "seed " << seed;
		}
	}
}

/* Guards against a wait that is too short or longer than needed. */
TEST(Rate, AfterItsWaitARequestMayRun)
{
	for (uint32_t rate : { 1u, 500u, 700u, 2900u, 7800u, 123456u }) {
		eb_rate rt = {};
		int64_t now = 5000000;

		eb_rate_set(&rt, rate, now);
		for (int i = 0; i < 100; i++) {
			int64_t wait_us = eb_rate_wait_us(&rt, 0, now);

			if (wait_us > 1) {
				EXPECT_LT(0, eb_rate_wait_us(&rt, 0,
							     now + wait_us - 2))
					<< rate;
			}
			now += wait_us;
			ASSERT_EQ(0, eb_rate_wait_us(&rt, 0, now)) << rate;
			eb_rate_take(&rt, now);
		}
		/* Without a limit nothing waits. */
		eb_rate_set(&rt, 0, now);
		EXPECT_EQ(0, eb_rate_wait_us(&rt, 1000, now));
	}
}

} // namespace
