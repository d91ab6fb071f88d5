#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "eb_eject.h"
}

namespace
{

struct fleet {
	eb_eject ej;
	std::vector<eb_eject_state> ups;

	explicit fleet(size_t n) : ups(n)
	{
		eb_eject_init(&ej);
		ej.total = (uint32_t)n;
	}
	int result(size_t up, int failed, int64_t now_us)
	{
		return eb_eject_record(&ej, &ups[up],
				       failed ? EB_EJECT_FAILED : EB_EJECT_GOOD,
				       now_us);
	}
	uint32_t share(size_t up, int64_t now_us)
	{
		return eb_eject_share(&ej, &ups[up], now_us);
	}
};

/*
 * Guards against an upstream that fails each request within 0.1 ms and keeps
 * getting requests, as its low latency makes it look idle.
 */
TEST(Eject, ThreeErrorsInARowEject)
{
	fleet f(6);

	EXPECT_EQ(0, f.result(0, 1, 0));
	EXPECT_EQ(0, f.result(0, 1, 0));
	EXPECT_EQ(1, f.result(0, 1, 0));
	EXPECT_EQ(0u, f.share(0, f.ej.period_us - 1));
	EXPECT_EQ(1000u, f.share(1, 0));
}

/*
 * Guards against retries that use up the retry budget after the loss of a
 * failure domain, as each of its upstreams is tried several times.
 */
TEST(Eject, OneRefusedConnectionEjects)
{
	fleet f(6);

	EXPECT_EQ(1,
		  eb_eject_record(&f.ej, &f.ups[0], EB_EJECT_UNREACHABLE, 0));
	EXPECT_EQ(0u, f.share(0, 0));
}

/* Guards against ejecting an upstream for rare errors. */
TEST(Eject, RareErrorsDoNotEject)
{
	fleet f(6);

	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(0, f.result(0, i % 4 == 0, i));
}

/* Guards against ejections that leave too few upstreams for the load. */
TEST(Eject, HalfOfTheUpstreamsAreNotEjected)
{
	fleet f(7);

	for (int i = 0; i < 30; i++)
		for (size_t u = 0; u < 7; u++)
			f.result(u, u < 5, i);
	EXPECT_LE(f.ej.out, 3u);
}

/* Guards against ejecting an upstream when the whole service fails. */
TEST(Eject, CommonFailureEjectsNoneForLong)
{
	fleet f(6);

	for (int i = 0; i < 1000; i++)
		for (size_t u = 0; u < 6; u++)
			f.result(u, 1, i);
	f.ups[5] = eb_eject_state();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(0, f.result(5, 1, i));
}

/*
 * Guards against a recovered upstream that gets its full traffic at once, or
 * none for good.
 */
TEST(Eject, ShareGrowsFromSmallToFull)
{
	fleet f(6);
	int64_t back = f.ej.period_us;
	uint32_t last = 0;

	for (int i = 0; i < 3; i++)
		f.result(0, 1, 0);
	EXPECT_LE(f.share(0, back), 100u);
	for (int64_t t = back; t <= back + f.ej.ramp_us; t += 1000) {
		EXPECT_GE(f.share(0, t), last);
		last = f.share(0, t);
	}
	EXPECT_EQ(1000u, last);
	EXPECT_EQ(0u, f.ej.out);
}

/*
 * Guards against frequent requests to an upstream that still fails, and against
 * an ejection that lasts for hours.
 */
TEST(Eject, PeriodsDoubleUpToTwoSeconds)
{
	fleet f(6);
	int64_t now = 0, period;

	for (int i = 0; i < 3; i++)
		f.result(0, 1, now);
	for (int round = 0; round < 6; round++) {
		for (period = 0; !f.share(0, now + period);)
			period += 1000;
		EXPECT_EQ(500000LL << (round < 2 ? round : 2), period);
		now += period;
		for (int i = 0; i < 20; i++)
			f.result(1, 0, now);
		EXPECT_EQ(1, f.result(0, 1, now));
	}
}

/*
 * Guards against a count of ejected upstreams that keeps those that were
 * removed while ejected.
 */
TEST(Eject, ForgottenUpstreamIsNotCounted)
{
	fleet f(6);

	for (int i = 0; i < 3; i++)
		f.result(0, 1, 0);
	EXPECT_EQ(1u, f.ej.out);
	eb_eject_forget(&f.ej, &f.ups[0]);
	EXPECT_EQ(0u, f.ej.out);
}

} // namespace
