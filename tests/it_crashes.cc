#include <gtest/gtest.h>

#include "harness.h"

namespace
{

struct resend_case {
	const char *name;
	const char *method;
};

/* Five upstreams of one service. */
struct Crashes : testing::TestWithParam<resend_case> {
	Fleet fleet;
	std::vector<int> crashes = std::vector<int>(5); /* by upstream */

	Crashes() : fleet(options())
	{
	}
	static FleetOptions options()
	{
		FleetOptions op;

		op.services = { { "agenda", 5 } };
		return op;
	}
	size_t stopped()
	{
		size_t n = 0;

		for (size_t i = 0; i < fleet.size(); i++)
			n += !fleet[i].upstream->running();
		return n;
	}
	/* Restarts stopped upstreams once their crashes are counted. */
	void restart()
	{
		for (size_t i = 0; i < fleet.size(); i++) {
			if (fleet[i].upstream->running())
				continue;
			crashes[i]++;
			wait_until("the crash to be counted", [&] {
				return fleet[i].metric(
					       "upstream_crashes_total") >=
				       crashes[i];
			});
			fleet.start_upstream(i);
		}
	}
};

INSTANTIATE_TEST_SUITE_P(Methods, Crashes,
			 testing::Values(resend_case{ "Idempotent", "GET" },
					 resend_case{ "OnceOnly", "POST" }),
			 [](const testing::TestParamInfo<resend_case> &info) {
				 return std::string(info.param.name);
			 });

/*
 * Guards against a request that crashes one upstream after another: its caller
 * resends it, through another daemon each time.
 */
TEST_P(Crashes, ResentRequestStopsEverywhere)
{
	int crashed = 0, refused = 0;

	fleet.start();
	for (size_t n = 0; refused < 10; n++) {
		HttpRequest rq;
		HttpAnswer a;
		Member &origin = fleet[n % fleet.size()];
		int64_t retries = origin.metric("retries_total"), new_crashes;

		rq.method = GetParam().method;
		rq.url = origin.url("/agenda/bad");
		rq.headers = { "X-Crash: 1" };
		a = http(rq);
		if (a.json("error") == "crashes-upstreams") {
			EXPECT_EQ(503, a.status);
			EXPECT_EQ("not-run", a.outcome());
			EXPECT_LT(60, atoi(a.header("Retry-After").c_str()));
			refused++;
			continue;
		}
		EXPECT_EQ("unknown", a.outcome()) << a.status << a.body;
		/* Each attempt crashed the upstream that it reached. */
		new_crashes = 1 + origin.metric("retries_total") - retries;
		wait_until("the crashes",
			   [&] { return (int64_t)stopped() == new_crashes; });
		crashed += (int)new_crashes;
		ASSERT_GE(3, crashed);
		restart();
		for (size_t i = 0; i < fleet.size(); i++)
			wait_until("the marks at all daemons", [&] {
				return fleet[i].metric("marked_crashes") >=
				       crashed;
			});
	}
	/* Other requests are still served. */
	for (size_t i = 0; i < fleet.size(); i++)
		EXPECT_TRUE(
			http_get(fleet[i].url("/agenda/good")).complete(200));
}

} // namespace
