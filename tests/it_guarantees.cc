#include <gtest/gtest.h>

#include <signal.h>

#include <cstring>

#include "world.h"

namespace
{

const int64_t release_limit_us = 6000000;
/* Load report limit of the default rule. */
const double load_report_limit_bytes_per_s = 2048;
const int64_t measure_us = 3000000;

std::string violations_text(const Violations &v)
{
	std::string out;

	for (size_t i = 0; i < v.size() && i < 20; i++)
		out += v[i] + "\n";
	return out + std::to_string(v.size()) + " violations";
}

/*
 * Returns the calls of a history that a daemon accepted. A call refused as not
 * run, or one whose connection was not accepted, cannot be interrupted.
 */
History accepted(const History &h)
{
	History out;

	for (const CallRecord &c : h.calls)
		if (c.connected && !c.refused)
			out.calls.push_back(c);
	return out;
}

/* Uploads to the service of member `i` over about `ms` milliseconds. */
CallRecord slow_upload(World &w, size_t i, int64_t ms)
{
	const uint64_t bytes = 8000000;
	HttpClient client;
	CallRecord c;
	HttpRequest rq;
	HttpAnswer a;
	uint64_t seen = 0;

	c.nonce = "upload" + std::to_string(i);
	c.method = rq.method = "PUT";
	rq.url = w.fleet[i].url("/" + w.fleet[i].service + "/x");
	rq.upload_bytes = bytes;
	rq.headers = { "X-Nonce: " + c.nonce };
	rq.on_upload = [&seen, ms](uint64_t sent) {
		sleep_ms(ms * (int64_t)(sent - seen) / (int64_t)bytes);
		seen = sent;
		return true;
	};
	a = client.send(rq);
	c.complete = !a.code;
	c.connected = true;
	c.status = a.status;
	c.outcome = a.outcome();
	c.refused = c.outcome == "not-run";
	c.own = a.json("checksum") == pattern_checksum(bytes);
	return c;
}

/* Guards against a graceful stop that cuts a request or an upload. */
TEST(Graceful, RollingRestartUnderLoadCutsNothing)
{
	World w;
	Violations v;
	History h;

	w.start_load(3);
	w.wait_calls(100);
	for (size_t i = 0; i < w.fleet.size(); i++) {
		CallRecord up;
		std::thread upload(
			[&] { up = slow_upload(w, i, i < 2 ? 3000 : 700); });

		sleep_ms(400);
		w.fleet[i].daemon->signal(SIGTERM);
		upload.join();
		EXPECT_EQ(0, w.fleet[i].daemon->wait());
		EXPECT_TRUE(up.complete && up.status == 200 && up.own)
			<< up.status << " " << up.outcome;
		w.fleet.start_daemon(i);
		w.fleet.wait_ready(i);
	}
	w.wait_calls(100);
	w.stop_load();
	h = accepted(w.history());
	v = check_all_answered(h);
	EXPECT_TRUE(v.empty()) << violations_text(v);
	printf("calls %zu\n", h.calls.size());
}

/* Guards against a release that takes too long to reach every daemon. */
TEST(Releases, AreInForceEverywhereInTime)
{
	World w;
	int64_t slowest_us = 0;

	w.start_load(4);
	for (int n = 0; n < 5; n++) {
		int64_t from_us = now_us(), r = w.publish();

		for (size_t i = 0; i < w.fleet.size(); i++)
			wait_until("the release",
				   [&] { return w.in_force(i, r); });
		slowest_us = std::max(slowest_us, now_us() - from_us);
	}
	w.stop_load();
	EXPECT_LE(slowest_us, release_limit_us);
	EXPECT_TRUE(check_releases(w.history()).empty());
	printf("slowest of 5 releases: %lld us\n", (long long)slowest_us);
}

std::string racing_note(const char *what)
{
	return std::string("{\"release\":2,\"builds_on\":1,\"note\":\"") +
	       what + "\",\"added\":{\"rules\":[{\"name\":\"" + what +
	       "\",\"queue\":9}]}}";
}

/* Guards against daemons that accept different ones of two racing notes. */
TEST(Releases, OneOfTwoRacingNotesWinsEverywhere)
{
	World w;
	int index[2] = { 0, 0 };
	std::string first;

	w.start_load(5);
	std::thread concurrent(
		[&] { index[1] = w.fleet.publish(racing_note("second")); });
	index[0] = w.fleet.publish(racing_note("first"));
	concurrent.join();
	ASSERT_NE(0, index[0]);
	ASSERT_NE(0, index[1]);
	for (size_t i = 0; i < w.fleet.size(); i++) {
		wait_until("the rejection", [&] {
			return w.fleet[i].metric("releases_rejected_total") >=
			       1;
		});
		EXPECT_EQ(1, w.fleet[i].metric("releases_rejected_total"));
		EXPECT_EQ("2", w.fleet[i].admin("/status").json("release"));
		EXPECT_EQ(std::to_string(std::min(index[0], index[1])),
			  w.fleet[i].admin("/status").json("index"));
		/* The log gives the operator the reason for the rejection. */
		EXPECT_NE(std::string::npos, w.fleet[i].daemon->log().find(
						     "release note rejected"));
	}
	w.stop_load();
}

/*
 * Guards against a daemon that restarts while the platform serves stale notes
 * and then puts an older release in force than before.
 */
TEST(Releases, ARestartUnderAStalePlatformDoesNotGoBack)
{
	World w;

	w.start_load(9, 1);
	w.publish();
	for (size_t i = 0; i < w.fleet.size(); i++)
		wait_until("release 2", [&] { return w.in_force(i, 2); });
	w.fleet.platform_fault("{\"stale\":1}");
	w.fleet[0].daemon->kill();
	w.fleet.start_daemon(0);
	/* The daemon may also refuse all requests until it has a release. */
	wait_until("the list of VMs", [&] {
		return w.fleet[0].metric("platform_calls_total") >= 3;
	});
	w.fleet.platform_fault("{}");
	w.stop_load();
	EXPECT_EQ(0u, check_releases(w.history()).size());
}

/*
 * Guards against a daemon that stays unreachable because a peer connected to
 * it before it had the release with the keys of its peers.
 */
TEST(Startup, ADaemonIsReachableOnceItHasItsRelease)
{
	FleetOptions op;

	op.services = { { "near" }, { "far" } };
	Fleet fleet(op);
	fleet.start_platform();
	fleet.start_upstream(0);
	fleet.start_upstream(1);
	fleet.start_daemon(0);
	fleet.wait_ready(0);
	fleet.platform_fault("{\"down\":true}");
	fleet.start_daemon(1);
	wait_until("the refusal", [&] {
		return fleet[1].metric("peer_auth_failed_total") >= 1;
	});
	fleet.platform_fault("{}");
	fleet.wait_ready(1);
	EXPECT_TRUE(http_get(fleet[0].url("/far/x")).complete(200));
}

/* Guards against load reports that exceed their limit in bytes/s. */
TEST(Bounds, WatchBytesStayWithinTheBudget)
{
	World w;
	std::vector<double> before, calls;
	int64_t from_us;

	w.start_load(6);
	w.wait_calls(100);
	from_us = now_us();
	for (size_t i = 0; i < w.fleet.size(); i++) {
		before.push_back(w.fleet[i].metric("watch_bytes_total"));
		calls.push_back(w.fleet[i].metric("platform_calls_total"));
	}
	sleep_ms(measure_us / 1000);
	for (size_t i = 0; i < w.fleet.size(); i++) {
		double bytes = w.fleet[i].metric("watch_bytes_total");
		double calls_now = w.fleet[i].metric("platform_calls_total");
		double s = (double)(now_us() - from_us) / 1e6;

		EXPECT_GT(bytes, 0);
		EXPECT_LE((bytes - before[i]) / s,
			  load_report_limit_bytes_per_s);
		printf("%s: %.0f B/s of load reports, %.2f platform calls/s\n",
		       w.fleet[i].name.c_str(), (bytes - before[i]) / s,
		       (calls_now - calls[i]) / s);
	}
	w.stop_load();
}

/* Options of a world whose daemons run with one mechanism switched off. */
FleetOptions off(const char *mechanism)
{
	FleetOptions op = world_options();

	op.daemon_program = "ebonypierd-test";
	op.test_off = mechanism;
	return op;
}

/* Sends a booking without a key that crashes its upstream. */
History crash_a_booking(World &w)
{
	std::mt19937 random(1);
	HttpClient client;

	w.add(w.call(client, random, 0, "POST", "", { "X-Crash: 1" }));
	return w.history();
}

/* Checks that the checker reports a booking that was retried. */
TEST(Switches, WithoutTheRetryRuleABookingRunsTwice)
{
	World with(off("")), without(off("retry-rule"));

	EXPECT_EQ(0u, check_at_most_once(crash_a_booking(with)).size());
	EXPECT_EQ(1u, check_at_most_once(crash_a_booking(without)).size());
}

/* Checks that the checker reports a false "not-run". */
TEST(Switches, WithoutTheNotRunRuleACallerGetsAFalseNotRun)
{
	World with(off("")), without(off("not-run-rule"));

	EXPECT_EQ(0u, check_not_run(crash_a_booking(with)).size());
	EXPECT_EQ(1u, check_not_run(crash_a_booking(without)).size());
}

FleetOptions claims(const char *on)
{
	FleetOptions op = world_options();

	op.rules = std::string("[{\"name\":\"r\",\"claims\":") + on + "}]";
	for (ServiceOptions &s : op.services)
		s.rule = "r";
	return op;
}

/* Sends a booking that crashes its upstream, then resends its key. */
History resend_a_key(World &w)
{
	for (int n = 0; n < 2; n++) {
		std::mt19937 same(1);
		HttpClient client;
		std::vector<std::string> more;

		if (!n)
			more.push_back("X-Crash: 1");
		w.add(w.call(client, same, (size_t)n, "POST", "key", more));
	}
	return w.history();
}

/* Checks that the checker reports a key that runs twice. */
TEST(Switches, WithoutClaimsAResentKeyRunsTwice)
{
	World with(claims("true")), without(claims("false"));

	EXPECT_EQ(0u, check_at_most_once(resend_a_key(with)).size());
	EXPECT_EQ(1u, check_at_most_once(resend_a_key(without)).size());
}

/* Requests answers that their upstreams cut after five bytes. */
History cut_an_answer(World &w)
{
	std::mt19937 random(1);

	for (size_t i = 0; i < w.fleet.size(); i++)
		w.fleet[i].fault("{\"cut_bytes\":5}");
	for (int n = 0; n < 20; n++) {
		HttpClient client;

		w.add(w.call(client, random, 0, "GET", ""));
	}
	return w.history();
}

/* Checks that the checker reports a partial answer sent as complete. */
TEST(Switches, WithoutTheWholeAnswerRuleAFragmentPasses)
{
	World with(off("")), without(off("whole-answer"));

	EXPECT_EQ(0u, check_own_answers(cut_an_answer(with)).size());
	EXPECT_LT(0u, check_own_answers(cut_an_answer(without)).size());
}

History calls_after_drain(World &w)
{
	HttpClient client;

	w.leaves(0);
	http_post("http://" + loopback(w.fleet[0].admin_port) + "/drain", "");
	sleep_ms(3200);
	for (int n = 0; n < 20; n++)
		client.get(w.fleet[0].url("/" + w.fleet[0].service + "/x"));
	return w.history();
}

/* Checks that the checker reports runs at a leaving upstream. */
TEST(Switches, WithoutDrainingALeavingUpstreamGetsWork)
{
	World with(off("")), without(off("drain"));
	History h;
	std::thread concurrent([&] { h = calls_after_drain(without); });

	EXPECT_EQ(0u, check_leaving(calls_after_drain(with), 3000000).size());
	concurrent.join();
	EXPECT_LT(0u, check_leaving(h, 3000000).size());
}

History stop_during_an_upload(World &w)
{
	CallRecord up;
	std::thread upload([&] { up = slow_upload(w, 0, 1500); });

	sleep_ms(500);
	w.fleet[0].daemon->signal(SIGTERM);
	upload.join();
	w.add(up);
	return accepted(w.history());
}

/* Checks that the checker reports an upload cut by a graceful stop. */
TEST(Switches, WithoutTheGracefulStopAnUploadIsCut)
{
	World with(off("")), without(off("graceful-stop"));

	EXPECT_EQ(0u, check_all_answered(stop_during_an_upload(with)).size());
	EXPECT_EQ(1u,
		  check_all_answered(stop_during_an_upload(without)).size());
}

/* Serves running daemons a shorter log of notes than before. */
History stale_platform(World &w)
{
	w.start_load(8, 1);
	w.publish();
	for (size_t i = 0; i < w.fleet.size(); i++)
		wait_until("release 2", [&] { return w.in_force(i, 2); });
	wait_until("the long polls", [&] {
		return w.fleet.platform_stat("watching") ==
		       (int64_t)w.fleet.size();
	});
	w.fleet.platform_fault("{\"stale\":1}");
	/* Waits until the long poll of each daemon has been answered. */
	int64_t until =
		w.fleet.platform_stat("notes_calls") + (int64_t)w.fleet.size();

	wait_until("stale answers", [&] {
		return w.fleet.platform_stat("notes_calls") >= until;
	});
	sleep_ms(500);
	w.stop_load();
	return w.history();
}

/* Checks that the checker reports a return to an older release. */
TEST(Switches, WithoutTheReleaseOrderADaemonGoesBack)
{
	std::unique_ptr<World> with, without;
	History h[2];

	with = std::make_unique<World>(off(""));
	without = std::make_unique<World>(off("release-order"));
	std::thread concurrent([&] { h[1] = stale_platform(*without); });
	h[0] = stale_platform(*with);
	concurrent.join();
	EXPECT_EQ(0u, check_releases(h[0]).size());
	EXPECT_LT(0u, check_releases(h[1]).size());
}

} // namespace
