#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

#include "site.h"

namespace
{

/* The address from which each resend comes. */
enum source { SAME_ADDRESS, OWN_OF_EACH_DAEMON, ANOTHER_EACH_TIME };

struct resend_case {
	const char *name;
	const char *method;
	enum source source;
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

INSTANTIATE_TEST_SUITE_P(
	Methods, Crashes,
	testing::Values(resend_case{ "Idempotent", "GET", SAME_ADDRESS },
			resend_case{ "OnceOnly", "POST", SAME_ADDRESS },
			resend_case{ "IdempotentEachMachine", "GET",
				     OWN_OF_EACH_DAEMON },
			resend_case{ "OnceOnlyEachMachine", "POST",
				     OWN_OF_EACH_DAEMON },
			resend_case{ "OnceOnlyNewAddress", "POST",
				     ANOTHER_EACH_TIME }),
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
		if (GetParam().source == OWN_OF_EACH_DAEMON)
			rq.from = "127.0.0." +
				  std::to_string(2 + n % fleet.size());
		else if (GetParam().source == ANOTHER_EACH_TIME)
			rq.from = "127.0.0." + std::to_string(2 + n);
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

/* How a request that crashes upstreams comes again, beside other machines. */
struct again_case {
	const char *name;
	const char *method;
	bool chunked;  /* each second time */
	bool moves;    /* its route goes to the other service */
	bool queries;  /* another one each time */
	bool restarts; /* daemons restart one after the other */
	size_t body_bytes;
	SiteServer::Crash how;
	bool at_once; /* another start of the upstream takes over at once */
};

/*
 * Machines of two services on the stand-ins of the users' platform. Each sends
 * from an address of its own.
 */
struct CrashesAcrossServices : testing::TestWithParam<again_case> {
	Site site{ { "near", "near", "near", "far", "far", "far" } };
	std::atomic<int> crashes{ 0 };
	std::vector<std::future<void>> takeovers;

	/* Also after an exception, such as that of a wait. */
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}

	/* Starts an upstream with another id in place of one that crashed. */
	void take_over(const SiteUpstream *up)
	{
		std::string key = up->key();
		size_t i = 0;

		while (site.upstreams[i].get() != up)
			i++;
		site.replace_upstream(i, up->id + "n", up->service);
		break_upstream(i);
		site.store->put(site.upstreams[i]->key(),
				site.upstreams[i]->entry());
		site.store->remove(key);
	}
	void break_upstream(size_t i)
	{
		SiteUpstream *up = site.upstreams[i].get();

		up->on("/bad",
		       [this, up](SiteConnection &, const SiteRequest &) {
			       crashes++;
			       up->crash(GetParam().how);
			       if (GetParam().at_once)
				       takeovers.push_back(std::async(
					       std::launch::async,
					       [this, up] { take_over(up); }));
			       if (GetParam().how == SiteServer::SILENT)
				       std::this_thread::sleep_for(
					       std::chrono::seconds(3));
		       });
	}
	void publish(int version, const std::string &service)
	{
		site.publish(version,
			     site.route("bad", "/bad/", "unsafe", service));
	}
	HttpAnswer send(size_t i, int n)
	{
		HttpRequest rq;

		rq.method = GetParam().method;
		rq.url = "http://" + site.ip(i) + ":" +
			 std::to_string(site.listen_port()) + "/bad/a";
		if (GetParam().queries)
			rq.url += "?page=" + std::to_string(n);
		rq.from = site.ip(i);
		rq.headers = { "Host: site.example",
			       "Ebonypier-Request-Id: b-" + std::to_string(n),
			       "Ebonypier-Deadline-Ms: 2000" };
		rq.chunked = GetParam().chunked && n % 2;
		rq.upload_bytes = GetParam().body_bytes;
		return http(rq);
	}
};

INSTANTIATE_TEST_SUITE_P(
	Requests, CrashesAcrossServices,
	testing::Values(again_case{ "Plain", "POST", false, false, false, false,
				    0, SiteServer::REFUSES, false },
			again_case{ "Short", "POST", true, false, false, false,
				    3000, SiteServer::REFUSES, false },
			again_case{ "Long", "POST", true, false, false, false,
				    40000, SiteServer::REFUSES, false },
			again_case{ "Queries", "GET", false, false, true, false,
				    0, SiteServer::REFUSES, false },
			again_case{ "Moves", "POST", false, true, false, false,
				    0, SiteServer::REFUSES, false },
			again_case{ "Silent", "GET", false, false, false, false,
				    0, SiteServer::SILENT, false },
			again_case{ "Cuts", "GET", false, false, false, false,
				    0, SiteServer::CUTS, false },
			again_case{ "CutsOnceOnly", "POST", false, false, false,
				    false, 0, SiteServer::CUTS, false },
			again_case{ "BackAtOnce", "POST", false, false, false,
				    false, 0, SiteServer::REFUSES, true },
			again_case{ "Restarts", "GET", false, false, false,
				    true, 0, SiteServer::REFUSES, false }),
	[](const testing::TestParamInfo<again_case> &info) {
		return std::string(info.param.name);
	});

/*
 * Guards against a request that comes again at each machine and crashes one
 * upstream after the other: with a body sent in another way, by a route that
 * has moved to another service, or while the daemons that saw it restart.
 */
TEST_P(CrashesAcrossServices, AtMostThreeCrash)
{
	const int sends = 18;
	int version = 2, n;

	for (size_t i = 0; i < site.upstreams.size(); i++)
		break_upstream(i);
	site.start_all();
	publish(version, "near");
	std::this_thread::sleep_for(std::chrono::seconds(2));
	for (n = 0; n < sends; n++) {
		size_t at = (size_t)n % site.daemons.size();
		int before = crashes;

		send(at, n);
		if (crashes == before)
			continue;
		std::this_thread::sleep_for(std::chrono::milliseconds(600));
		takeovers.clear(); /* waits for them */
		for (size_t i = 0; i < site.upstreams.size(); i++) {
			if (GetParam().at_once)
				break;
			site.restart_upstream(i);
			break_upstream(i);
		}
		if (GetParam().moves)
			publish(version + 1, version % 2 ? "near" : "far");
		version++;
		if (GetParam().restarts)
			for (size_t i = 0; i < 3; i++) {
				site.start_daemon(i);
				site.wait_status(i, "/near/warm", 200);
				std::this_thread::sleep_for(
					std::chrono::milliseconds(600));
			}
		std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	}
	EXPECT_LE(1, crashes);
	EXPECT_GE(3, crashes);
	for (size_t i = 0; i < site.daemons.size(); i++)
		EXPECT_EQ(200, site.send(i, "GET", "/near/good", "g").status);
}

/*
 * Guards against a request that many callers send and that is refused by all
 * daemons, since it ran at three upstreams when they crashed for other reasons.
 */
TEST(CrashesOfOthers, APopularRequestIsStillServed)
{
	Site site{ { "near", "near", "near", "near", "far" } };
	std::atomic<bool> armed{ false };
	int n = 0;

	auto send = [&](size_t i, const std::string &path) {
		return site.send(i, "GET", path, "p-" + std::to_string(n++))
			.status;
	};

	site.start_all();
	for (size_t k = 0; k < 3; k++) {
		SiteUpstream *up = site.upstreams[k].get();
		int before = up->runs();

		/* All daemons run it, each upstream within seconds. */
		for (int i = 0; i < 12; i++)
			EXPECT_EQ(200, send(4, "/near/popular?page=1"));
		armed = true;
		up->on("/popular",
		       [&, up](SiteConnection &cn, const SiteRequest &rq) {
			       if (armed.exchange(false))
				       up->crash();
			       else
				       cn.write(up->answer(rq, "x"));
		       });
		wait_until("the upstream to run it", [&] {
			send(4, "/near/popular?page=1");
			return !armed;
		});
		EXPECT_LT(before, up->runs());
		std::this_thread::sleep_for(std::chrono::milliseconds(600));
		site.restart_upstream(k);
		std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	}
	for (size_t i = 0; i < site.daemons.size(); i++) {
		EXPECT_EQ(200, send(i, "/near/popular?page=1")) << i;
		EXPECT_EQ(200, send(i, "/near/popular?page=2")) << i;
	}
	if (HasFailure())
		site.print_logs();
}

} // namespace
