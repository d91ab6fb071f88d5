#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "site.h"

namespace
{

/*
 * Real daemon processes on a store that returns to a copy of itself: what it
 * acknowledged since is lost, and its revisions are used again.
 */
struct restore_case {
	const char *name;
	std::vector<size_t> restarted; /* daemons, after the restore */
	int writes;		       /* that come after it, besides states */
	int lost;		       /* writes that are lost besides */
	bool stale_lost;	       /* stale reads show what was lost */
};

const char *all_served = "200 200 200 200 200 200 ";

struct Restore : testing::TestWithParam<restore_case> {
	Site site{ { "near", "near", "near", "far", "far", "far" } };
	int next = 0;

	void SetUp() override
	{
		site.store->name_era();
		site.start_all();
	}
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}
	/* Writes entries that name no upstream. */
	void write(int count)
	{
		for (int i = 0; i < count; i++)
			site.store->put("servers/x-" + std::to_string(i), "{}");
	}
	/* The store is away for a moment and comes back from its copy. */
	void restore()
	{
		site.store->set_mode(SiteStore::BUSY);
		site.store->restore();
		site.store->show_lost(GetParam().stale_lost);
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		site.store->set_mode(SiteStore::ANSWERS);
	}
	/* Status of a path at each machine, such as "200 200 200 404 ". */
	std::string statuses(const std::string &path)
	{
		std::string out;

		for (size_t i = 0; i < site.daemons.size(); i++)
			out += std::to_string(
				       site.send(i, "GET", path,
						 "r-" + std::to_string(next++))
					       .status) +
			       " ";
		return out;
	}
	/* Waits up to `ms` until all machines answer a path so. */
	std::string wait_all(const std::string &path, long status, int ms)
	{
		std::string all, want;
		auto until = std::chrono::steady_clock::now() +
			     std::chrono::milliseconds(ms);

		for (size_t i = 0; i < site.daemons.size(); i++)
			want += std::to_string(status) + " ";
		do {
			all = statuses(path);
		} while (all != want &&
			 std::chrono::steady_clock::now() < until);
		return all == want ? "" : path + ": " + all;
	}
	std::string new_route(const std::string &name)
	{
		return site.route(name, "/" + name + "/", "safe", "far");
	}
};

INSTANTIATE_TEST_SUITE_P(
	Store, Restore,
	testing::Values(
		restore_case{ "AllDaemonsStay", {}, 0, 20, false },
		restore_case{ "WritesInBetween", {}, 5, 20, false },
		restore_case{ "WritesBeyondTheLost", {}, 9, 3, false },
		restore_case{ "OneRestarts", { 1 }, 0, 20, false },
		restore_case{ "TwoRestart", { 0, 2 }, 0, 20, false },
		restore_case{ "ThreeRestart", { 0, 1, 3 }, 2, 20, false },
		restore_case{ "StaleReadsShowTheLost",
			      { 0, 2, 4 },
			      0,
			      20,
			      true }),
	[](const testing::TestParamInfo<restore_case> &info) {
		return std::string(info.param.name);
	});

/*
 * Guards against a store that loses acknowledged changes: daemons went back to
 * an older state, or did not take the next ones since their revisions were not
 * newer than those of the lost ones.
 */
TEST_P(Restore, StatesDoNotGoBackAndNewOnesComeIntoForce)
{
	site.store->copy();
	write(GetParam().lost);
	site.publish(2, new_route("second"));
	ASSERT_EQ("", wait_all("/second/a", 200, 5000));
	restore();
	for (size_t i : GetParam().restarted)
		site.start_daemon(i);
	for (size_t i : GetParam().restarted)
		site.wait_status(i, "/far/warm", 200);
	write(GetParam().writes);
	if (GetParam().restarted.empty()) {
		for (int i = 0; i < 20; i++) {
			EXPECT_EQ(all_served, statuses("/second/a"));
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
	} else {
		EXPECT_EQ("", wait_all("/second/a", 200, 3000));
	}
	site.publish(2, new_route("second"));
	site.publish(3, new_route("third"));
	EXPECT_EQ("", wait_all("/third/a", 200, 3000));
	EXPECT_EQ(all_served, statuses("/third/a"));
	site.publish(4, new_route("fourth"));
	EXPECT_EQ("", wait_all("/fourth/a", 200, 3000));
}

/*
 * Guards against a store that shows an upstream again which has left, and
 * against departures after it has lost changes that nobody takes: requests ran
 * at these upstreams, or failed there.
 */
TEST_P(Restore, UpstreamsThatLeaveBeforeOrAfterItAreNotUsed)
{
	auto runs = [this](size_t i) {
		return site.upstreams[i]->runs();
	};
	int before, later;

	site.store->copy();
	write(GetParam().lost);
	site.store->put("servers/i-0", site.upstreams[0]->entry("draining", 2));
	site.store->remove("servers/i-3");
	wait_until("the upstreams to leave", [&] {
		before = runs(0) + runs(3);
		for (int i = 0; i < 6; i++) {
			statuses("/near/a");
			statuses("/far/a");
		}
		return before == runs(0) + runs(3);
	});
	restore();
	for (size_t i : GetParam().restarted)
		site.start_daemon(i);
	for (size_t i : GetParam().restarted)
		site.wait_status(i, "/far/warm", 200);
	/* A daemon that starts may learn of the departures a moment later. */
	if (!GetParam().restarted.empty())
		std::this_thread::sleep_for(std::chrono::seconds(3));
	before = runs(0) + runs(3);
	write(GetParam().writes);
	site.store->put("servers/i-1", site.upstreams[1]->entry("draining", 2));
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(all_served, statuses("/near/a"));
		EXPECT_EQ(all_served, statuses("/far/a"));
		std::this_thread::sleep_for(std::chrono::milliseconds(100));
	}
	EXPECT_EQ(before, runs(0) + runs(3));
	later = runs(1);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(all_served, statuses("/near/a"));
	EXPECT_EQ(later, runs(1));
}

/*
 * Guards against a read of several pages that the store answers from two eras:
 * the daemons had a list that was neither, at a revision that hid the rest.
 */
TEST(RestoreBetweenPages, StatesComeIntoForce)
{
	Site site{ { "near", "far" } };
	auto served = [&site](const std::string &path) {
		wait_until(path + " at both machines", [&] {
			return site.send(0, "GET", path, "p").status == 200 &&
			       site.send(1, "GET", path, "q").status == 200;
		});
	};
	auto route = [&site](const std::string &name) {
		return site.route(name, "/" + name + "/", "safe", "far");
	};

	site.store->name_era();
	site.store->set_pages(1);
	site.start_all();
	site.store->copy();
	for (int i = 0; i < 9; i++)
		site.store->put("servers/x-" + std::to_string(i), "{}");
	site.publish(2, route("second"));
	served("/second/a");
	site.store->restore_between_pages();
	/* Watches get 410, and the readers read all pages. */
	site.store->forget_history();
	std::this_thread::sleep_for(std::chrono::seconds(2));
	EXPECT_EQ(200, site.send(0, "GET", "/second/a", "r").status);
	site.publish(2, route("second"));
	site.publish(3, route("third"));
	served("/third/a");
	EXPECT_EQ(404, site.send(0, "GET", "/second/a", "s").status);
	if (HasFailure())
		site.print_logs();
}

/*
 * Guards against an upstream that is never used again: its entry lapsed while
 * it lived, and the store went back to a copy that lists it, unchanged.
 */
TEST(RestoreAfterLapse, TheUpstreamIsUsedAgain)
{
	Site site{ { "near", "near", "far" } };
	int n = 0, before;

	site.store->name_era();
	site.start_all();
	site.store->copy();
	site.store->remove(site.upstreams[0]->key());
	wait_until("the entry to be gone", [&] {
		before = site.upstreams[0]->runs();
		for (int i = 0; i < 6; i++)
			site.send(2, "GET", "/near/a",
				  "l-" + std::to_string(n++));
		return before == site.upstreams[0]->runs();
	});
	site.store->restore();
	wait_until("the upstream to be used", [&] {
		site.send(2, "GET", "/near/a", "l-" + std::to_string(n++));
		return before < site.upstreams[0]->runs();
	});
	if (HasFailure())
		site.print_logs();
}

} // namespace
