#include <gtest/gtest.h>

#include <signal.h>

#include <chrono>
#include <thread>

#include "site.h"

namespace
{

const int64_t EVAC_MS = 5000; /* bound of the rule EVAC */

/*
 * Real daemon processes. Machines 0 and 1 serve `near`, 2 and 3 `far`; 1 and 3
 * are in failure domain b, which the tests evacuate.
 */
struct Evacuation : testing::Test {
	Site site{ { "near", "near", "far", "far" } };
	int next = 0;

	void SetUp() override
	{
		site.upstreams[1]->zone = site.upstreams[3]->zone = "b";
		site.store->name_era();
		site.start_all();
	}
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}
	static void sleep_for(int ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}
	HttpAnswer get(size_t i, const std::string &path)
	{
		return site.send(i, "GET", path, "e-" + std::to_string(next++));
	}
	/* One request for each service at each machine; all must be served. */
	void round()
	{
		for (size_t i = 0; i < 4; i++)
			for (const char *path : { "/near/a", "/far/a" }) {
				HttpAnswer a = get(i, path);

				EXPECT_TRUE(a.complete(200))
					<< i << path << " " << a.status;
			}
	}
	int runs_in_b()
	{
		return site.upstreams[1]->runs() + site.upstreams[3]->runs();
	}
	void evacuate(const std::string &domain)
	{
		site.store->put("op/evacuate/" + domain, "{}");
	}
	void wait_in_force(double domains)
	{
		for (size_t i = 0; i < 4; i++)
			wait_until("the evacuations", [&] {
				return site.metric(i, "evacuated_domains") ==
				       domains;
			});
	}
	/* Sends requests for a time, in which none may run in domain b. */
	void expect_none_in_b(int ms)
	{
		auto until = std::chrono::steady_clock::now() +
			     std::chrono::milliseconds(ms);
		int before = runs_in_b();

		while (std::chrono::steady_clock::now() < until) {
			round();
			sleep_for(20);
		}
		EXPECT_EQ(before, runs_in_b());
	}
	void wait_used_again()
	{
		int one = site.upstreams[1]->runs();
		int other = site.upstreams[3]->runs();

		wait_until("domain b to be used", [&] {
			round();
			return site.upstreams[1]->runs() > one &&
			       site.upstreams[3]->runs() > other;
		});
	}
};

/*
 * Guards against requests that reach an evacuated domain, against an upload and
 * a call in flight that are cut, and against a domain that stays unused.
 */
TEST_F(Evacuation, UnderLoadAndTakenBack)
{
	RawSocket upload(site.listen_port(), 0, site.ip(3));
	auto start = std::chrono::steady_clock::now();
	std::string answer;

	/* Only machine 3 can run it: the other one has left for a moment. */
	site.store->put(site.upstreams[2]->key(),
			site.upstreams[2]->entry("draining", 2));
	wait_until("machine 2 to leave", [&] {
		int before = site.upstreams[2]->runs();

		for (int i = 0; i < 6; i++)
			get(3, "/far/a");
		return site.upstreams[2]->runs() == before;
	});
	upload.send(site.head("POST", "/far/once/up", "upload",
			      "Content-Length: 20000\r\n") +
		    std::string(10000, 'x'));
	wait_until("the upload to run",
		   [&] { return site.upstreams[3]->runs("upload") == 1; });
	site.store->put(site.upstreams[2]->key(),
			site.upstreams[2]->entry("ready", 3));
	wait_until("machine 2 to be back", [&] {
		int before = site.upstreams[2]->runs();

		for (int i = 0; i < 6; i++)
			get(0, "/far/a");
		return site.upstreams[2]->runs() > before;
	});
	start = std::chrono::steady_clock::now();
	evacuate("b");
	wait_in_force(1);
	EXPECT_LT(std::chrono::steady_clock::now() - start,
		  std::chrono::milliseconds(EVAC_MS));
	expect_none_in_b(1000);
	upload.send(std::string(10000, 'x'));
	answer = upload.receive_answer();
	EXPECT_EQ(200, raw_status(answer)) << answer;
	EXPECT_EQ(1, site.upstreams[3]->runs("upload"));
	site.store->remove("op/evacuate/b");
	wait_in_force(0);
	wait_used_again();
}

/* Guards against a daemon that restarts and has forgotten the evacuation. */
TEST_F(Evacuation, StaysWhenADaemonRestartsWhileTheStoreIsAway)
{
	evacuate("b");
	wait_in_force(1);
	site.store->set_mode(SiteStore::SILENT);
	site.start_daemon(3);
	site.wait_status(3, "/far/a", 200);
	wait_in_force(1);
	expect_none_in_b(1500);
	site.store->set_mode(SiteStore::ANSWERS);
	site.store->remove("op/evacuate/b");
	wait_in_force(0);
	wait_used_again();
}

/*
 * Guards against an evacuation that ends because the store has lost it, and
 * against one whose withdrawal after that has no effect.
 */
TEST_F(Evacuation, StaysWhenTheStoreGoesBackUntilItIsWithdrawn)
{
	site.store->copy();
	evacuate("b");
	wait_in_force(1);
	site.store->restore();
	for (size_t i = 0; i < 4; i++)
		wait_until("the new era",
			   [&] { return site.metric(i, "items_era") == 2; });
	expect_none_in_b(1500);
	/* It learns of the evacuation from the others. */
	site.start_daemon(3);
	site.wait_status(3, "/far/a", 200);
	wait_in_force(1);
	expect_none_in_b(1000);
	site.store->remove("op/evacuate/b");
	wait_in_force(0);
	wait_used_again();
}

/*
 * Guards against requests that wait, or run in spite of the order, when the
 * operator evacuates all domains of a service.
 */
TEST_F(Evacuation, WithoutAnUpstreamRequestsAreRefusedAtOnce)
{
	double refused = 0;
	int before;

	evacuate("a");
	evacuate("b");
	wait_in_force(2);
	before = runs_in_b() + site.upstreams[0]->runs() +
		 site.upstreams[2]->runs();
	for (size_t i = 0; i < 4; i++) {
		auto start = std::chrono::steady_clock::now();
		HttpAnswer a = get(i, "/far/a");

		EXPECT_TRUE(a.complete(503)) << a.status;
		EXPECT_EQ("not-run", a.outcome());
		EXPECT_NE("", a.header("Retry-After"));
		EXPECT_LT(std::chrono::steady_clock::now() - start,
			  std::chrono::milliseconds(300));
		refused += site.metric(i, "evacuated_refused_total");
	}
	EXPECT_EQ(4, refused);
	EXPECT_EQ(before, runs_in_b() + site.upstreams[0]->runs() +
				  site.upstreams[2]->runs());
	site.store->remove("op/evacuate/a");
	wait_in_force(1);
	wait_until("domain a", [&] { return get(3, "/far/a").status == 200; });
}

/*
 * Guards against requests that a daemon runs right after a pause, in which the
 * domain of its upstream was evacuated.
 */
TEST_F(Evacuation, AfterAPauseNothingRunsByTheOldConfiguration)
{
	const size_t paused = 3;
	std::vector<std::thread> callers;
	int before;

	site.daemons[paused]->signal(SIGSTOP);
	evacuate("b");
	sleep_for(EVAC_MS);
	before = runs_in_b();
	for (int i = 0; i < 16; i++)
		callers.emplace_back([this, i] {
			for (int k = 0; k < 40; k++)
				site.send(paused, "GET", "/far/a",
					  "p-" + std::to_string(i * 40 + k));
		});
	sleep_for(300);
	site.daemons[paused]->signal(SIGCONT);
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(before, runs_in_b());
	site.wait_status(paused, "/far/a", 200);
	site.store->remove("op/evacuate/b");
	wait_in_force(0);
	wait_used_again();
}

/* Guards against entries of another writer that take upstreams out of use. */
TEST_F(Evacuation, OtherEntriesHaveNoEffect)
{
	const char *keys[] = { "op/evacuate/", "op/evacuate/b/x",
			       "op/evacuate/b x", "op/evacuate/c" };

	for (const char *key : keys)
		site.store->put(key, "{}");
	site.store->put("op/evacuate/b", "no object");
	for (size_t i = 0; i < 4; i++)
		wait_until("the entries", [&] {
			return site.metric(i, "evacuations_ignored_total") == 5;
		});
	wait_used_again();
	EXPECT_EQ(0, site.metric(0, "evacuated_domains"));
}

} // namespace
