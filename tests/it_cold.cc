#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "site.h"

extern "C" {
#include "eb_clock.h"
}

namespace
{

const int64_t SECOND = 1000000;
const int COLD_PER_S = 20;
/* The rule FAILBACK of docs/hard-load.md. */
const double BOUND = 1.5 * COLD_PER_S + 8;

/* Returns the most of `times` from `from` on that are within one second. */
size_t most_in_a_second(std::vector<int64_t> times, int64_t from)
{
	size_t most = 0;

	times.erase(times.begin(),
		    std::lower_bound(times.begin(), times.end(), from));
	for (size_t i = 0, j = 0; i < times.size(); i++) {
		while (times[i] - times[j] >= SECOND)
			j++;
		most = std::max(most, i - j + 1);
	}
	return most;
}

/*
 * Guards against more requests than the bound in any second at an upstream that
 * becomes cold under load without a restart, also when the daemon beside it is
 * killed and started again meanwhile, and against a limit that stays in force
 * when the upstream is warm again.
 */
TEST(Cold, AnUpstreamThatTurnsColdUnderLoadGetsNoMoreThanTheBound)
{
	Site site{ { "near", "far" } };
	SiteUpstream &up = *site.upstreams[1];
	std::mutex lock;
	std::vector<int64_t> times;
	std::vector<std::thread> callers;
	std::atomic<bool> ended{ false };
	std::atomic<int> next_id{ 0 };
	int64_t cold_us, warm_us;
	auto runs_since = [&](int64_t from) {
		std::lock_guard<std::mutex> hold(lock);

		return times.end() -
		       std::lower_bound(times.begin(), times.end(), from);
	};

	site.more_service =
		"\"coldS\":5,\"coldPerS\":" + std::to_string(COLD_PER_S) + ",";
	up.on("/load", [&](SiteConnection &cn, const SiteRequest &rq) {
		{
			std::lock_guard<std::mutex> hold(lock);

			times.push_back(eb_clock_now_us());
		}
		usleep(10000);
		cn.write(up.answer(rq, "load"));
	});
	site.start_all();
	for (size_t i = 0; i < 8; i++)
		callers.emplace_back([&, i] {
			while (!ended) {
				site.send(i % 2, "GET", "/far/load",
					  "load-" + std::to_string(next_id++),
					  "", 1000);
				usleep(2000);
			}
		});
	usleep(1500000);
	/* Otherwise the load could not break the bound. */
	EXPECT_GT(runs_since(eb_clock_now_us() - SECOND), 2 * BOUND);
	up.say("Ebonypier-Cold-Ms: 60000\r\n");
	cold_us = eb_clock_now_us();
	usleep(1700000);
	site.daemons[1]->kill();
	site.start_daemon(1);
	usleep(3000000);
	EXPECT_GE(runs_since(eb_clock_now_us() - SECOND), COLD_PER_S / 2);
	{
		std::lock_guard<std::mutex> hold(lock);

		EXPECT_LE(most_in_a_second(times, cold_us), BOUND);
	}
	up.say("Ebonypier-Cold-Ms: 0\r\n");
	warm_us = eb_clock_now_us();
	wait_until("the limit to be lifted", [&] {
		return runs_since(eb_clock_now_us() - SECOND) > 2 * BOUND;
	});
	EXPECT_LT(eb_clock_now_us() - warm_us, 5 * SECOND);
	ended = true;
	for (std::thread &t : callers)
		t.join();
	if (HasFailure())
		site.print_logs();
}

/*
 * Guards against a limit on an upstream that does not send the header, and
 * against an invalid or endless cold time that is taken for "not cold".
 */
TEST(Cold, TheHeaderOfTheHealthCheckIsRead)
{
	const struct {
		const char *header;
		int cold;
	} cases[] = {
		{ "", 0 },
		{ "Ebonypier-Cold-Ms: 300\r\n", 1 },
		{ "ebonypier-cold-ms: 0\r\n", 0 },
		{ "Ebonypier-Cold-Ms: soon\r\n", 1 },
		{ "Ebonypier-Cold-Ms: 0\r\n", 0 },
		{ "Ebonypier-Cold-Ms: -1\r\n", 1 },
		{ "Ebonypier-Cold-Ms: 0\r\nEbonypier-Cold-Ms: 9\r\n", 1 },
		{ "Ebonypier-Cold-Ms: 99999999999999999999999\r\n", 1 },
	};
	Site site{ { "near" } };
	int id = 0;

	site.more_service = "\"coldPerS\":20,";
	site.start_all();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.header);
		site.upstreams[0]->say(c.header);
		wait_until("the upstream to be cold or not", [&] {
			site.send(0, "GET", "/near/x", std::to_string(id++));
			return site.metric(0, "upstream_cold") == c.cold;
		});
	}
	if (HasFailure())
		site.print_logs();
}

/*
 * Guards against origins that send a cold upstream its full share, or none, or
 * do not return to the full share after the cold time.
 */
TEST(Cold, AnUpstreamWhoseEntryIsColdGetsASmallShare)
{
	Site site{ { "near", "far", "far" } };
	SiteUpstream &up = *site.upstreams[2];
	std::string entry = up.entry();
	std::atomic<int> id{ 0 };
	/*
	 * One by one, all requests would go to the faster upstream; with more
	 * at a time than the warm upstream has slots, the rest would go to the
	 * cold one.
	 */
	auto share_permille = [&](int n) {
		std::vector<std::thread> callers;
		int before = up.runs();

		for (int t = 0; t < 3; t++)
			callers.emplace_back([&] {
				for (int i = 0; i < n / 3; i++)
					site.send(0, "GET", "/far/slow",
						  "share-" +
							  std::to_string(id++));
			});
		for (std::thread &t : callers)
			t.join();
		return 1000 * (up.runs() - before) / n;
	};

	for (auto &each : site.upstreams)
		each->on("/slow",
			 [&](SiteConnection &cn, const SiteRequest &rq) {
				 usleep(5000);
				 cn.write(each->answer(rq, "slow"));
			 });
	/* A rate that the gate's limit does not reach in this test. */
	site.more_service = "\"coldPerS\":5000,";
	site.start_all();
	wait_until("both upstreams to share",
		   [&] { return share_permille(120) > 300; });
	entry.replace(entry.find("\"coldLeftMs\":0"), 14,
		      "\"coldLeftMs\":4000");
	site.store->put(up.key(), entry);
	wait_until("the share to fall",
		   [&] { return share_permille(60) < 200; });
	int cold = share_permille(300);
	EXPECT_GT(cold, 0);
	EXPECT_LT(cold, 200);
	wait_until("the share to rise",
		   [&] { return share_permille(120) > 300; });
	if (HasFailure())
		site.print_logs();
}

} // namespace
