#include <gtest/gtest.h>

#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "site.h"

extern "C" {
#include "eb_clock.h"
}

namespace
{

/*
 * Runs real daemon processes on the stand-ins of the users' platform. Machines
 * 0 and 1 serve `near`, machines 2 and 3 serve `far`.
 */
struct SiteTest : testing::Test {
	Site site{ { "near", "near", "far", "far" } };

	void SetUp() override
	{
		site.start_all();
	}
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}
	/* Runs of a request at all upstreams together. */
	int runs(const std::string &id)
	{
		int n = 0;

		for (auto &up : site.upstreams)
			n += up->runs(id);
		return n;
	}
	/* Sets a fault at all upstreams. */
	void on(const std::string &part, SiteUpstream::Run run)
	{
		for (auto &up : site.upstreams)
			up->on(part, run);
	}
	/* Requests that upstreams are handling now. */
	int active()
	{
		int n = 0;

		for (auto &up : site.upstreams)
			n += up->active();
		return n;
	}
	/* A complete answer; its stamp is always that of upstream 0. */
	std::string answer(const SiteRequest &rq, const std::string &body)
	{
		return site.upstreams[0]->answer(rq, body);
	}
};

/*
 * Guards against requests that are lost, run twice, routed to the wrong service
 * or forwarded with a changed method, target, id or deadline.
 */
TEST_F(SiteTest, RequestsReachTheirService)
{
	const struct {
		const char *method;
		const char *path;
		const char *service;
		std::string body;
	} cases[] = {
		{ "GET", "/near/a?q=1%2F", "near", "" },
		{ "GET", "/far/a", "far", "" },
		{ "POST", "/far/once/b", "far", "short" },
		{ "POST", "/near/once/c", "near", std::string(300000, 'x') },
		{ "DELETE", "/far/once/d", "far", "" },
	};
	int n = 0;

	for (const auto &c : cases) {
		std::string id = "request-" + std::to_string(n++);
		HttpAnswer a = site.send(0, c.method, c.path, id, c.body);
		SiteRequest seen;

		ASSERT_TRUE(a.complete(200)) << c.path << a.status;
		EXPECT_EQ(id, a.header("Ebonypier-Request-Id"));
		EXPECT_EQ(1, runs(id));
		for (auto &up : site.upstreams) {
			if (!up->runs(id))
				continue;
			EXPECT_EQ(c.service, up->service);
			EXPECT_EQ("stamp-" + up->id,
				  a.header("Ebonypier-Response-Stamp"));
			seen = up->last();
			EXPECT_EQ(up->id,
				  seen.header("ebonypier-expect-instance"));
		}
		EXPECT_EQ(c.method, seen.method);
		EXPECT_EQ(c.path, seen.target);
		EXPECT_EQ(id, seen.header("ebonypier-request-id"));
		/* The service of the machine whose daemon got the request. */
		EXPECT_EQ("near", seen.header("ebonypier-caller-service"));
		EXPECT_LE(atoll(seen.header("ebonypier-deadline-ms").c_str()),
			  5000);
	}
	EXPECT_TRUE(site.send(0, "GET", "/nowhere/a", "x").complete(404));
}

/*
 * Guards against callers that forge their service: the daemon must overwrite
 * an Ebonypier-Caller-Service header in the request.
 */
TEST_F(SiteTest, TheCallersServiceIsSetWhateverWasSent)
{
	RawSocket s(site.listen_port(), 0, site.ip(2));

	s.send(site.head("GET", "/near/a", "liar",
			 "Ebonypier-Caller-Service: near\r\n"
			 "Ebonypier-Expect-Instance: i-9\r\n"));
	EXPECT_EQ(200, raw_status(s.receive_answer()));
	for (auto &up : site.upstreams)
		if (up->runs("liar")) {
			EXPECT_EQ("far", up->last().header(
						 "ebonypier-caller-service"));
		}
}

/*
 * Guards against a new configuration that is not applied by every daemon, also
 * when versions are skipped or the store has dropped its history.
 */
TEST_F(SiteTest, StatesOfTheOperatorComeIntoForce)
{
	site.wait_status(1, "/extra/a", 404);
	site.publish(2, site.route("extra", "/extra/", "safe", "near"));
	for (size_t i = 0; i < 4; i++)
		site.wait_status(i, "/extra/a", 200);
	site.publish(5, site.route("extra", "/extra/", "safe", "far"));
	for (size_t i = 0; i < 4; i++)
		wait_until("the route to move", [&] {
			return site.send(i, "GET", "/extra/b", "moved")
					       .body.find("i-2 ") == 0 ||
			       site.send(i, "GET", "/extra/b", "moved")
					       .body.find("i-3 ") == 0;
		});
	site.publish(9);
	for (size_t i = 0; i < 4; i++)
		site.wait_status(i, "/extra/a", 404);
	/* Without the history daemons must read the whole state again. */
	site.store->forget_history();
	site.publish(10, site.route("extra", "/extra/", "safe", "near"));
	for (size_t i = 0; i < 4; i++)
		site.wait_status(i, "/extra/a", 200);
}

/* Guards against new requests to an upstream that is draining or removed. */
TEST_F(SiteTest, LeavingUpstreamsGetNoNewRequests)
{
	const struct {
		const char *how;
		std::function<void(SiteUpstream &)> leave;
	} cases[] = {
		{ "draining",
		  [&](SiteUpstream &up) {
			  site.store->put(up.key(), up.entry("draining"));
		  } },
		{ "removed",
		  [&](SiteUpstream &up) {
			  site.store->remove(up.key());
		  } },
	};

	for (const auto &c : cases) {
		SiteUpstream &up = *site.upstreams[3];
		int before, quiet = 0;

		c.leave(up);
		/* It has left once 3 rounds of 20 requests do not reach it. */
		wait_until(c.how, [&] {
			before = up.runs();
			for (int i = 0; i < 20; i++) {
				HttpAnswer a = site.send((size_t)i % 4, "GET",
							 "/far/x", "leave");

				EXPECT_TRUE(a.complete(200))
					<< c.how << " " << i << " " << a.code
					<< " " << a.status << " " << a.body;
			}
			quiet = up.runs() == before ? quiet + 1 : 0;
			return quiet == 3;
		});
		site.store->put(up.key(), up.entry());
		wait_until("the upstream to get work again", [&] {
			before = up.runs();
			for (int i = 0; i < 20; i++)
				site.send((size_t)i % 4, "GET", "/far/x",
					  "back");
			return up.runs() > before;
		});
	}
}

/*
 * Guards against an upstream that gets more requests than it says it takes, and
 * against one that gets none any more when it has stopped saying so.
 */
TEST_F(SiteTest, RateLimitsThatUpstreamsNameAreKept)
{
	const double limits[] = { 5, 2.5, 0 };
	SiteUpstream &up = *site.upstreams[3];

	for (double limit : limits) {
		int64_t start, before;
		int i = 0;

		up.say("Server-Limit: " + std::to_string(limit) + "\r\n");
		/* The limit is known when the upstream has answered with it. */
		before = up.runs();
		wait_until("answers that name the limit", [&] {
			site.send((size_t)i++ % 4, "GET", "/far/x", "limit");
			return up.runs() - before >= 3;
		});
		before = up.runs();
		start = eb_clock_now_us();
		while (eb_clock_now_us() - start < 4000000) {
			HttpAnswer a = site.send((size_t)i++ % 4, "GET",
						 "/far/x", "limit");

			EXPECT_TRUE(a.complete(200)) << a.code << a.status;
		}
		EXPECT_LE(up.runs() - before,
			  1.5 * limit * (eb_clock_now_us() - start) / 1e6 + 5)
			<< limit;
		EXPECT_GE(up.runs() - before, 1) << limit;
	}
	up.say("");
	wait_until("the limit to be lifted", [&] {
		int before_round = up.runs();

		for (int i = 0; i < 20; i++)
			site.send((size_t)i % 4, "GET", "/far/x", "lifted");
		return up.runs() - before_round >= 5;
	});
}

/*
 * Guards against a burst at an upstream with a rate limit when the daemon
 * beside it has just been restarted and no request has been answered yet.
 */
TEST_F(SiteTest, ARestartedDaemonKnowsTheRateLimitAtOnce)
{
	SiteUpstream &up = *site.upstreams[3];
	std::vector<std::thread> callers;
	std::atomic<bool> released{ false };
	int64_t start;
	int before;

	up.say("Server-Limit: 1\r\n");
	site.store->remove(site.upstreams[2]->key());
	up.on("/slow", [&](SiteConnection &cn, const SiteRequest &rq) {
		wait_until("the release", [&] { return released.load(); });
		cn.write(up.answer(rq, "slow"));
	});
	site.daemons[3]->kill();
	site.start_daemon(3);
	wait_until("the daemon to be ready",
		   [&] { return site.ready(3) == 200; });
	before = up.runs();
	start = eb_clock_now_us();
	for (size_t i = 0; i < 6; i++)
		callers.emplace_back(
			[&] { site.send(3, "GET", "/far/slow", "burst"); });
	while (eb_clock_now_us() - start < 1500000)
		usleep(10000);
	EXPECT_GE(up.runs() - before, 1);
	EXPECT_LE(up.runs() - before,
		  1 + (eb_clock_now_us() - start + 999999) / 1000000);
	released = true;
	for (std::thread &t : callers)
		t.join();
}

/*
 * Guards against requests at an upstream that says in its answers that it
 * leaves, while its entry in the store is unchanged: at once, and after the
 * daemon beside it has lost what it knew. Guards as well against one that gets
 * none any more when it has started again, under the id that it had.
 */
TEST_F(SiteTest, UpstreamsThatSayThatTheyLeaveGetNoNewRequests)
{
	SiteUpstream &up = *site.upstreams[3];
	int before = up.runs();
	int64_t start;

	up.say("Server-Leaving: 1\r\n");
	wait_until("an answer that says so", [&] {
		site.send(0, "GET", "/far/x", "leave");
		return up.runs() > before;
	});
	before = up.runs();
	for (size_t i = 0; i < 60; i++)
		EXPECT_TRUE(site.send(i % 4, "GET", "/far/x", "left")
				    .complete(200));
	EXPECT_EQ(before, up.runs());
	/* The daemon that has passed the answer on still knows. */
	site.daemons[3]->kill();
	site.start_daemon(3);
	wait_until("the daemon to be ready",
		   [&] { return site.ready(3) == 200; });
	start = eb_clock_now_us();
	while (eb_clock_now_us() - start < 3000000)
		EXPECT_TRUE(
			site.send(0, "GET", "/far/x", "left").complete(200));
	EXPECT_EQ(before, up.runs());
	up.say("");
	up.born = 2000;
	site.store->put(up.key(), up.entry());
	wait_until("the next start to get work", [&] {
		for (size_t i = 0; i < 20; i++)
			site.send(i % 4, "GET", "/far/x", "back");
		return up.runs() > before;
	});
}

/*
 * Guards against calls in flight that fail when the entry of their upstream is
 * removed from the store.
 */
TEST_F(SiteTest, CallsInFlightAreAnsweredAfterTheirUpstreamIsRemoved)
{
	std::atomic<bool> go{ false };
	std::vector<std::thread> callers;
	std::vector<HttpAnswer> answers(4);

	on("/held", [&](SiteConnection &cn, const SiteRequest &rq) {
		wait_until("the entry to go", [&] { return go.load(); });
		cn.write(answer(rq, "whole"));
	});
	for (size_t i = 0; i < 4; i++)
		callers.emplace_back([&, i] {
			answers[i] = site.send(i, "POST", "/far/once/held",
					       "held-" + std::to_string(i));
		});
	wait_until("all runs", [&] { return active() == 4; });
	for (size_t i = 2; i < 4; i++)
		site.store->remove(site.upstreams[i]->key());
	for (size_t i = 0; i < 4; i++)
		site.wait_status(i, "/far/x", 503);
	go = true;
	for (std::thread &t : callers)
		t.join();
	for (const HttpAnswer &a : answers)
		EXPECT_TRUE(a.complete(200)) << a.status;
}

/* Guards against store requests that the total counts but no kind does. */
TEST_F(SiteTest, CallsToTheStoreAreCountedByKind)
{
	wait_until("watches", [&] {
		return site.metric(0, "platform_watches_total") +
			       site.metric(1, "platform_watches_total") +
			       site.metric(2, "platform_watches_total") +
			       site.metric(3, "platform_watches_total") >
		       2;
	});
	for (size_t i = 0; i < 4; i++)
		wait_until("the sum of the kinds", [&] {
			double calls = site.metric(i, "platform_calls_total");

			return calls >= 1 &&
			       calls == site.metric(i, "platform_reads_total") +
						site.metric(i, "platform_stale_"
							       "reads_total") +
						site.metric(i, "platform_"
							       "watches_total");
		});
}

/*
 * Guards against a malformed entry in the store that stops the daemon from
 * applying the valid entries and the configuration.
 */
TEST_F(SiteTest, MalformedEntriesAreLeftOut)
{
	const std::string cases[] = {
		"",
		"not json",
		"[]",
		"{\"service\":\"near\"}",
		"{\"service\":\"near\",\"address\":7,\"zone\":\"a\","
		"\"slots\":6,\"state\":\"ready\"}",
		"{\"service\":\"other\",\"address\":\"127.0.0.1:1\","
		"\"zone\":\"a\",\"slots\":6,\"state\":\"ready\"}",
		"{\"service\":\"near\",\"address\":\"127.0.0.1:1\","
		"\"zone\":\"a\",\"slots\":6,\"state\":\"asleep\"}",
	};
	int n = 0;

	for (const std::string &value : cases)
		site.store->put("servers/bad-" + std::to_string(n++), value);
	site.publish(3, site.route("extra", "/extra/", "safe", "near"));
	site.wait_status(0, "/extra/a", 200);
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(
			site.send(0, "GET", "/near/x", "good").complete(200));
}

/*
 * Guards against a caller that gets the answer to another request: an upstream
 * sends an answer twice, sends a late answer first, or omits the request id.
 */
TEST_F(SiteTest, AnswersToOtherRequestsAreDropped)
{
	on("/twice", [this](SiteConnection &cn, const SiteRequest &rq) {
		cn.write(answer(rq, "first") + answer(rq, "again"));
	});
	/* Sends an answer with another request's id before its own answer. */
	on("/late", [this](SiteConnection &cn, const SiteRequest &rq) {
		SiteRequest other = rq;

		other.headers["ebonypier-request-id"] = "somebody-else";
		cn.write(answer(other, "foreign") + answer(rq, "own"));
	});
	on("/nameless", [](SiteConnection &cn, const SiteRequest &) {
		cn.write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign");
	});
	for (int i = 0; i < 10; i++) {
		std::string id = "own-" + std::to_string(i);

		EXPECT_EQ("first",
			  site.send(0, "GET", "/near/twice", id + "t").body);
		for (const char *path : { "/near/late", "/near/nameless" }) {
			HttpAnswer a = site.send(0, "GET", path, id + path);

			EXPECT_EQ(std::string::npos, a.body.find("foreign"));
			EXPECT_NE(200, a.status) << a.body;
		}
		EXPECT_EQ(id + "p", site.send(0, "GET", "/near/plain", id + "p")
					    .header("Ebonypier-Request-Id"));
	}
}

/* A way in which an upstream breaks its answer. */
struct broken_answer_case {
	const char *name;
	SiteUpstream::Run run;
	bool complete; /* the caller must get it as a complete answer */
};

/*
 * Guards against a truncated answer that reaches the caller as complete, and
 * against a refusal (503, 429) of a request that has run.
 */
TEST_F(SiteTest, BrokenAnswersNeverLookComplete)
{
	const broken_answer_case cases[] = {
		{ "without a length",
		  [this](SiteConnection &cn, const SiteRequest &rq) {
			  std::string whole = answer(rq, "whole body");
			  size_t at = whole.find("Content-Length");

			  whole.erase(at, whole.find("\r\n", at) + 2 - at);
			  cn.write(whole);
			  shutdown(cn.fd(), SHUT_RDWR);
		  },
		  true },
		{ "cut",
		  [this](SiteConnection &cn, const SiteRequest &rq) {
			  std::string whole = answer(rq, "whole body");

			  cn.write(whole.substr(0, whole.size() - 3));
			  shutdown(cn.fd(), SHUT_RDWR);
		  },
		  false },
		{ "reset without a length",
		  [](SiteConnection &cn, const SiteRequest &rq) {
			  cn.write("HTTP/1.1 200 OK\r\nEbonypier-Request-Id: " +
				   rq.header("ebonypier-request-id") +
				   "\r\n\r\nwhole");
			  cn.reset();
		  },
		  false },
		{ "no HTTP",
		  [](SiteConnection &cn, const SiteRequest &) {
			  cn.write("whole body\r\n\r\n");
			  shutdown(cn.fd(), SHUT_RDWR);
		  },
		  false },
	};
	int n = 0;

	for (const broken_answer_case &c : cases) {
		std::string path = "/near/once/spoilt-" + std::to_string(n++);
		HttpAnswer a;

		on(path, c.run);
		a = site.send(0, "POST", path, path);
		if (c.complete) {
			EXPECT_TRUE(a.complete(200)) << c.name << a.status;
			EXPECT_EQ("whole body", a.body);
		} else {
			EXPECT_FALSE(a.complete(200)) << c.name;
			/* 503 and 429 would say that it did not run. */
			EXPECT_NE(503, a.status) << c.name;
			EXPECT_NE(429, a.status) << c.name;
		}
		EXPECT_EQ(1, runs(path)) << c.name;
	}
}

/*
 * Guards against an answer that is never delivered to its end: the caller reads
 * late, so that all of it waits in the daemon, and no event follows the one
 * that shows the caller reading again.
 */
TEST_F(SiteTest, AnswersThatWaitForTheirCallerAreDeliveredWhole)
{
	for (size_t kb : { 100, 200, 300, 400, 600, 1000, 2000, 3000, 4000 }) {
		std::string id = "late-" + std::to_string(kb), got;
		std::string body(kb * 1024, 'x');
		RawSocket caller(site.listen_port(), 4096, site.ip(0));

		on("/" + id, [&](SiteConnection &cn, const SiteRequest &rq) {
			cn.write(answer(rq, body));
		});
		ASSERT_TRUE(caller.send(site.head("GET", "/near/" + id, id)));
		/* Most sizes fit into the buffers on the way; not all need to.
		 */
		for (int i = 0; i < 50 && site.metric(0, "calls_active") != 0;
		     i++)
			std::this_thread::sleep_for(
				std::chrono::milliseconds(10));
		got = caller.receive_answer();
		EXPECT_EQ(200, raw_status(got)) << kb;
		EXPECT_EQ(body.size(), got.size() - got.find("\r\n\r\n") - 4)
			<< kb;
	}
}

/*
 * Guards against a retry of an unsafe request that may have run, and against
 * reporting it as not run: the upstream closes the connection unanswered.
 */
TEST_F(SiteTest, RequestsThatMayHaveRunAreNotRetried)
{
	on("/lost", [](SiteConnection &cn, const SiteRequest &) {
		shutdown(cn.fd(), SHUT_RDWR);
	});
	for (int i = 0; i < 5; i++) {
		std::string id = "once-" + std::to_string(i);
		HttpAnswer a = site.send(0, "POST", "/near/once/lost", id);

		EXPECT_EQ(1, runs(id));
		EXPECT_TRUE(a.status == 502 || a.status == 504) << a.status;
		EXPECT_EQ("unknown", a.outcome());
	}
	HttpAnswer a = site.send(0, "POST", "/near/once/shed", "shed");
	EXPECT_EQ(503, a.status);
	EXPECT_EQ(0, runs("shed"));
	EXPECT_EQ("not-run", a.outcome());
	EXPECT_NE("", a.header("Retry-After"));
	/* A safe request is retried up to the two attempts of its route. */
	a = site.send(0, "GET", "/near/lost", "safe");
	EXPECT_EQ(502, a.status);
	EXPECT_EQ(2, runs("safe"));
}

/* Guards against calls that go on after their caller has disconnected. */
TEST_F(SiteTest, CallsOfDisconnectedCallersAreCancelled)
{
	on("/slow", [this](SiteConnection &cn, const SiteRequest &rq) {
		wait_until("the end of a slow run",
			   [&] { return cn.closed(); });
		cn.write(answer(rq, "late"));
	});
	for (const char *path : { "/near/slow", "/far/slow" }) {
		auto s = std::make_unique<RawSocket>(site.listen_port(), 0,
						     site.ip(0));

		s->send(site.head("GET", path, path));
		wait_until("the run", [&] { return runs(path) == 1; });
		EXPECT_EQ(1, active());
		s.reset();
		wait_until("its end", [&] { return active() == 0; });
		EXPECT_EQ(1, runs(path));
	}
}

/* Guards against answers to pipelined requests in the wrong order. */
TEST_F(SiteTest, PipelinedRequestsAreAnsweredInOrder)
{
	RawSocket s(site.listen_port(), 0, site.ip(0));
	std::atomic<bool> go{ false };

	on("/first", [&](SiteConnection &cn, const SiteRequest &rq) {
		wait_until("the second request", [&] { return go.load(); });
		cn.write(answer(rq, "1"));
	});
	on("/second", [&](SiteConnection &cn, const SiteRequest &rq) {
		go = true;
		cn.write(answer(rq, "2"));
	});
	/* The first run waits for the second, so both must run at once. */
	s.send(site.head("GET", "/near/first", "p1") +
	       site.head("GET", "/far/second", "p2") +
	       site.head("GET", "/near/third", "p3"));
	for (const char *id : { "p1", "p2", "p3" }) {
		std::string a = s.receive_answer();

		EXPECT_EQ(200, raw_status(a));
		EXPECT_NE(std::string::npos,
			  a.find("Ebonypier-Request-Id: " + std::string(id)))
			<< a;
	}
}

/*
 * Guards against requests that run although their connection is closed before
 * their answer, since the answer before theirs fails midway: their callers send
 * them again.
 */
TEST_F(SiteTest, RequestsBehindACutAnswerDoNotRun)
{
	static const struct {
		const char *path;
		bool cut;
	} cases[] = { { "/near/cut", true }, { "/near/slow", false } };
	const std::string body(40000, 'x');
	int n = 0;

	on("/cut", [](SiteConnection &cn, const SiteRequest &rq) {
		cn.write("HTTP/1.1 200 OK\r\nEbonypier-Request-Id: " +
			 rq.header("ebonypier-request-id") +
			 "\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "4\r\npart\r\n");
		sleep_ms(200);
		shutdown(cn.fd(), SHUT_RDWR);
	});
	on("/slow", [this](SiteConnection &cn, const SiteRequest &rq) {
		sleep_ms(200);
		cn.write(answer(rq, "slow"));
	});
	for (const auto &c : cases) {
		/* One that fits the first frame, and a longer one. */
		for (size_t bytes : { (size_t)4, body.size() }) {
			RawSocket s(site.listen_port(), 0, site.ip(0));
			std::string id = "held-" + std::to_string(n++), a;

			SCOPED_TRACE(c.path);
			s.send(site.head("GET", c.path, id) +
			       site.head("POST", "/far/once/b", id + "b",
					 "Content-Length: " +
						 std::to_string(bytes) +
						 "\r\n") +
			       body.substr(0, bytes) +
			       site.head("GET", "/far/c", id + "c"));
			for (int k = 0; k < 3; k++)
				a += s.receive_answer();
			EXPECT_EQ(!c.cut, a.find(id + "b") != std::string::npos)
				<< a;
			EXPECT_EQ(!c.cut, a.find(id + "c") != std::string::npos)
				<< a;
			EXPECT_EQ(c.cut ? 0 : 1, runs(id + "b"));
		}
	}
}

/*
 * Guards against the rest of a request body being parsed as the next request
 * after an upstream has answered before reading the body.
 */
TEST_F(SiteTest, EarlyAnswersLeaveTheConnectionUsable)
{
	std::string body(400000, 'x');

	on("/early", [](SiteConnection &cn, const SiteRequest &rq) {
		SiteRequest copy = rq;

		cn.write("HTTP/1.1 403 Forbidden\r\nEbonypier-Request-Id: " +
			 rq.header("ebonypier-request-id") +
			 "\r\nContent-Length: 2\r\n\r\nno");
		cn.read_body(copy);
	});
	for (int i = 0; i < 5; i++) {
		RawSocket s(site.listen_port(), 0, site.ip(0));
		std::string id = "early-" + std::to_string(i), a;

		s.send(site.head("POST", "/near/once/early", id,
				 "Content-Length: " +
					 std::to_string(body.size()) + "\r\n") +
		       body);
		EXPECT_EQ(403, raw_status(s.receive_answer()));
		s.send(site.head("GET", "/near/next", id + "n"));
		a = s.receive_answer();
		EXPECT_EQ(200, raw_status(a)) << a;
		EXPECT_NE(std::string::npos, a.find(id + "n"));
	}
}

/*
 * Guards against requests that run and get no answer because an upload before
 * them on their connection was answered early: its call lasted until its
 * deadline and then closed the connection. The upstream reads the rest of the
 * body later or never.
 */
TEST_F(SiteTest, RequestsBehindAnEarlyAnswerAreAnswered)
{
	static const size_t later = 400000, never = 9000000;
	static const struct {
		const char *name;
		const char *framing;
		size_t answer_bytes, piece_bytes, body_bytes;
	} cases[] = {
		{ "length", "Content-Length: 20000", 20000, 20000, later },
		{ "small", "Content-Length: 900", 900, 900, later },
		{ "empty", "Content-Length: 0", 0, 0, later },
		{ "chunked", "Transfer-Encoding: chunked", 20000, 5000, later },
		{ "small-never", "Content-Length: 900", 900, 900, never },
		{ "chunked-never", "Transfer-Encoding: chunked", 20000, 5000,
		  never },
	};
	std::atomic<size_t> seen{ 0 };
	std::atomic<bool> over{ false };

	for (const auto &c : cases) {
		RawSocket s(site.listen_port(), 0, site.ip(0));
		std::string id = std::string("up-") + c.name, a;
		bool chunked = strstr(c.framing, "chunked") != nullptr;

		SCOPED_TRACE(c.name);
		seen = 0;
		over = false;
		on("/early-" + std::string(c.name), [&](SiteConnection &cn,
							const SiteRequest &rq) {
			std::string out = answer(rq, "");
			std::string piece(c.piece_bytes, 'y');
			SiteRequest copy = rq;
			char size[16];

			out.replace(out.find("Content-Length: 0"), 17,
				    c.framing);
			snprintf(size, sizeof(size), "%zx\r\n", c.piece_bytes);
			for (size_t n = 0; n < c.answer_bytes;
			     n += c.piece_bytes)
				out += chunked ? size + piece + "\r\n" : piece;
			cn.write(chunked ? out + "0\r\n\r\n" : out);
			if (c.body_bytes == never) {
				wait_until("the second answer",
					   [&] { return over.load(); });
				return;
			}
			sleep_ms(600);
			cn.read_body(copy);
			seen = copy.body.size();
		});
		std::thread upload([&] {
			s.send(site.head("POST",
					 "/near/once/early-" +
						 std::string(c.name),
					 id,
					 "Content-Length: " +
						 std::to_string(c.body_bytes) +
						 "\r\n") +
			       std::string(c.body_bytes, 'x') +
			       site.head("POST", "/far/once/b", id + "-next"));
		});
		a = s.receive_answer();
		EXPECT_EQ(200, raw_status(a));
		EXPECT_TRUE(!chunked ||
			    a.find("\r\n0\r\n\r\n") != std::string::npos);
		a = s.receive_answer();
		EXPECT_EQ(200, raw_status(a));
		EXPECT_NE(std::string::npos, a.find(id + "-next"));
		EXPECT_EQ(1, runs(id + "-next"));
		over = true;
		upload.join();
		s.close();
		wait_until("the end of the upload", [&] { return !active(); });
		if (c.body_bytes == later)
			wait_until("the rest of the body",
				   [&] { return seen == c.body_bytes; });
	}
}

/*
 * Guards against a request that waits for the deadline of an upload before it
 * on its connection, which was answered early and is never read.
 */
TEST_F(SiteTest, AnUploadThatIsNeverReadHoldsNothingBack)
{
	RawSocket s(site.listen_port(), 0, site.ip(0));
	std::atomic<bool> over{ false };
	bool answered = false;

	on("/early-unread", [&](SiteConnection &cn, const SiteRequest &rq) {
		cn.write(answer(rq, "early"));
		wait_until("the end", [&] { return over.load(); });
	});
	std::thread upload([&] {
		s.send(site.head("POST", "/near/once/early-unread", "unread",
				 "Content-Length: 9000000\r\n") +
		       std::string(9000000, 'x') +
		       site.head("POST", "/far/once/b", "behind"));
	});
	EXPECT_EQ(200, raw_status(s.receive_answer()));
	/* The route gives the upload 5 s. */
	for (int i = 0; i < 300 && !answered; i++) {
		sleep_ms(10);
		answered = s.readable();
	}
	EXPECT_TRUE(answered);
	over = true;
	EXPECT_EQ(200, raw_status(s.receive_answer()));
	upload.join();
}

/*
 * Guards against a call that keeps its slot and its caller until it counts as
 * stalled: the upstream closes in the middle of its answer while the request
 * body is still being received.
 */
TEST_F(SiteTest, AnswersCutBeforeTheWholeRequestIsReadEndTheCall)
{
	on("/short", [](SiteConnection &cn, const SiteRequest &rq) {
		cn.write("HTTP/1.1 200 OK\r\nEbonypier-Request-Id: " +
			 rq.header("ebonypier-request-id") +
			 "\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "4\r\npart\r\n");
		shutdown(cn.fd(), SHUT_RDWR);
	});
	for (int i = 0; i < 5; i++) {
		RawSocket s(site.listen_port(), 0, site.ip(0));
		std::string id = "short-" + std::to_string(i), line, a;

		s.send(site.head("POST", "/near/once/short", id,
				 "Content-Length: 40000\r\n") +
		       std::string(20000, 'x'));
		a = s.receive_all();
		EXPECT_EQ(200, raw_status(a)) << a;
		EXPECT_EQ(std::string::npos, a.find("\r\n0\r\n")) << a;
		wait_until("the log line of the call", [&] {
			std::istringstream log(site.daemons[0]->log());

			while (std::getline(log, line))
				if (line.find("call ended\" id=" + id + " ") !=
				    std::string::npos)
					return true;
			return false;
		});
		EXPECT_NE(std::string::npos,
			  line.find("reason=upstream-closed"))
			<< line;
	}
}

/*
 * Guards against entries of another writer after which daemons follow no other
 * change: a large one that cannot be read, a large one that can, and a key that
 * is too long.
 */
TEST_F(SiteTest, UnusableEntriesBlockNoChange)
{
	std::minstd_rand rand(31);
	std::string noise, text;

	while (noise.size() < 300000) {
		noise.push_back((char)rand());
		text.push_back((char)('!' + rand() % 90));
		if (text.back() == '\\' || text.back() == '"')
			text.back() = '.';
	}
	const std::pair<std::string, std::string> entries[] = {
		{ "servers/noise", noise },
		{ "servers/text", "{\"service\":7,\"x\":\"" + text + "\"}" },
		{ "servers/" + std::string(300, 'k'), "{}" },
	};
	int version = 40;

	for (const auto &en : entries) {
		std::string path = "/new-" + std::to_string(version) + "/";

		site.store->put(en.first, en.second);
		sleep_ms(1000);
		site.publish(version++,
			     site.route("new", path, "safe", "near"));
		for (size_t i = 0; i < 4; i++)
			site.wait_status(i, path + "a", 200);
	}
	/* A daemon that starts gets all of it. */
	site.daemons[3]->kill();
	site.start_daemon(3);
	site.wait_status(3, "/new-42/a", 200);
}

/*
 * Guards against a restarted daemon that takes old pages of the store for new
 * ones and uses the upstream beside it, which leaves.
 */
TEST_F(SiteTest, OldPagesOfTheStoreAreNotTakenForNewOnes)
{
	SiteUpstream &leaving = *site.upstreams[1];

	for (int i = 0; i < 5; i++)
		site.store->put("a/" + std::to_string(i), "{}");
	site.store->set_pages(5);
	site.store->put(leaving.key(), leaving.entry("draining"));
	site.store->put("a/0", "{}");
	sleep_ms(500);
	site.daemons[1]->kill();
	site.start_daemon(1);
	site.wait_status(1, "/near/a", 200);
	sleep_ms(2000);
	for (int i = 0; i < 40; i++) {
		std::string id = "after-" + std::to_string(i);

		EXPECT_TRUE(site.send(1, "GET", "/near/a", id).complete(200));
		EXPECT_EQ(0, leaving.runs(id));
	}
}

/*
 * Guards against a restarted daemon that uses an upstream which leaves since a
 * read that may be stale names the store's newest revision: any daemon, so that
 * those that read the store are among them, and all of them at once.
 */
TEST_F(SiteTest, AStaleReadThatNamesANewRevisionIsNotTakenForIt)
{
	SiteUpstream &leaving = *site.upstreams[1];
	std::vector<std::vector<size_t>> cases = {
		{ 0 }, { 1 }, { 2 }, { 3 }, { 0, 1, 2, 3 }
	};

	for (int i = 0; i < 5; i++)
		site.store->put("a/" + std::to_string(i), "{}");
	site.store->set_pages(5, true);
	site.store->put(leaving.key(), leaving.entry("draining"));
	site.store->put("a/0", "{}");
	sleep_ms(2500);
	for (const auto &restarted : cases) {
		for (size_t i : restarted)
			site.daemons[i]->kill();
		for (size_t i : restarted)
			site.start_daemon(i);
		for (size_t i : restarted)
			site.wait_status(i, "/near/a", 200);
		for (int i = 0; i < 40; i++) {
			size_t at = restarted[(size_t)i % restarted.size()];
			std::string id = std::to_string(restarted.size()) +
					 "-" + std::to_string(at) + "-" +
					 std::to_string(i);

			EXPECT_TRUE(site.send(at, "GET", "/near/a", id)
					    .complete(200));
			EXPECT_EQ(0, leaving.runs(id)) << id;
		}
	}
}

/*
 * Guards against daemons that cannot serve or restart while the store does not
 * answer or answers 503, or that miss changes afterwards.
 */
TEST_F(SiteTest, DaemonsServeWhileTheStoreIsUnavailable)
{
	for (SiteStore::Mode mode : { SiteStore::SILENT, SiteStore::BUSY }) {
		site.store->set_mode(mode);
		site.daemons[1]->kill();
		site.start_daemon(1);
		site.wait_status(1, "/far/a", 200);
		for (int i = 0; i < 20; i++)
			EXPECT_TRUE(site.send((size_t)i % 4, "GET", "/near/a",
					      "away")
					    .complete(200));
		site.store->set_mode(SiteStore::ANSWERS);
		site.publish((int)mode + 20,
			     site.route("extra",
					"/extra-" + std::to_string(mode) + "/",
					"safe", "near"));
		for (size_t i = 0; i < 4; i++)
			site.wait_status(
				i, "/extra-" + std::to_string(mode) + "/a",
				200);
	}
}

/*
 * Guards against a SIGTERM that interrupts calls in flight, refuses new ones
 * before callers can notice, or leaves the readiness page at 200; and against
 * a SIGHUP that ends the daemon.
 */
TEST_F(SiteTest, SigtermCutsNothing)
{
	std::atomic<bool> go{ false };
	HttpAnswer own, others;

	EXPECT_EQ(200, site.ready(2));
	on("/held", [&](SiteConnection &cn, const SiteRequest &rq) {
		wait_until("the shutdown", [&] { return go.load(); });
		cn.write(answer(rq, "whole"));
	});
	/* One call with its origin and one with its gate at machine 2. */
	std::thread a(
		[&] { own = site.send(2, "POST", "/near/once/held", "own"); });
	std::thread b([&] {
		others = site.send(0, "POST", "/far/once/held", "others");
	});
	RawSocket idle(site.listen_port(), 0, site.ip(2));
	idle.send(site.head("GET", "/near/a", "idle"));
	EXPECT_EQ(200, raw_status(idle.receive_answer()));
	wait_until("both runs", [&] { return active() == 2; });
	site.daemons[2]->signal(SIGTERM);
	site.daemons[3]->signal(SIGHUP);
	wait_until("machine 2 to be not ready",
		   [&] { return site.ready(2) == 503; });
	/* It still serves callers that have not noticed yet. */
	ASSERT_TRUE(idle.connected());
	EXPECT_TRUE(site.send(2, "GET", "/near/b", "late").complete(200));
	/* A kept connection closes early enough to send again. */
	EXPECT_TRUE(idle.at_end());
	EXPECT_EQ(2, active());
	go = true;
	a.join();
	b.join();
	EXPECT_TRUE(own.complete(200)) << own.status;
	EXPECT_TRUE(others.complete(200)) << others.status;
	EXPECT_EQ(0, site.daemons[2]->wait());
	EXPECT_TRUE(site.daemons[3]->running());
	EXPECT_EQ(200, site.ready(3));
}

/*
 * Guards against requests that run and get no answer at a stop: they arrive on
 * kept connections, alone or pipelined, until the daemon has ended.
 */
TEST_F(SiteTest, RequestsThatRunDuringAStopAreAnswered)
{
	static const struct {
		const char *what;
		int behind; /* requests sent behind each one */
		int connections;
		int first_ms; /* from SIGTERM to the first request */
		int step_ms;
	} cases[] = {
		{ "alone-a", 0, 8, 2620, 0 },
		{ "alone-b", 0, 8, 2640, 0 },
		{ "alone-c", 0, 40, 2960, 2 },
		{ "pipelined", 3, 12, 50, 200 },
	};

	on("/slow", [this](SiteConnection &cn, const SiteRequest &rq) {
		sleep_ms(120);
		cn.write(answer(rq, "slow"));
	});
	for (const auto &c : cases) {
		std::vector<std::unique_ptr<RawSocket>> kept;
		int64_t start_us;

		SCOPED_TRACE(c.what);
		for (int i = 0; i < c.connections; i++) {
			kept.emplace_back(new RawSocket(site.listen_port(), 0,
							site.ip(0)));
			kept[i]->send(site.head("GET", "/near/a", "kept"));
			EXPECT_EQ(200, raw_status(kept[i]->receive_answer()));
		}
		site.daemons[0]->signal(SIGTERM);
		start_us = now_us();
		for (int i = 0; i < c.connections; i++) {
			std::string text;

			for (int k = 0; k <= c.behind; k++)
				text += site.head(c.behind ? "GET" : "POST",
						  "/near/once/slow",
						  c.what + std::to_string(i) +
							  "." +
							  std::to_string(k));
			while (now_us() - start_us <
			       (c.first_ms + i * c.step_ms) * 1000LL)
				sleep_ms(1);
			kept[i]->send(text);
		}
		for (int i = 0; i < c.connections; i++) {
			for (int k = 0; k <= c.behind; k++) {
				std::string id = c.what + std::to_string(i) +
						 "." + std::to_string(k);
				int status =
					raw_status(kept[i]->receive_answer());

				EXPECT_EQ(status == 200, runs(id) == 1) << id;
			}
		}
		EXPECT_EQ(0, site.daemons[0]->wait());
		site.start_daemon(0);
		site.wait_status(0, "/far/a", 200);
	}
}

/*
 * Four machines of one service; 0 and 1 are in region r, 2 and 3 in r-b. The
 * routes below /home/ may run in the regions of `regions` only.
 */
struct HomeSite {
	Site site{ { "near", "near", "near", "near" } };
	int version = 1, sent = 0;

	explicit HomeSite(const std::string &test_off = "")
	{
		site.test_off = test_off;
		site.upstreams[2]->zone = site.upstreams[3]->zone = "b";
		site.start_all();
	}
	void publish(const std::string &regions)
	{
		site.publish(
			++version,
			site.route("home", "/home/", "safe", "near", regions) +
				"," +
				site.route("home-once", "/home/once/", "unsafe",
					   "near", regions));
	}
	/* Sends requests through all daemons; counts answers by status. */
	std::map<long, int> send()
	{
		std::map<long, int> count;

		for (size_t i = 0; i < 24; i++) {
			int64_t from_us = eb_clock_now_us();
			HttpAnswer a = site.send(
				i % 4, i % 2 ? "GET" : "POST",
				i % 2 ? "/home/x" : "/home/once/x",
				"home-" + std::to_string(sent++), "body");

			count[a.code ? -1 : a.status]++;
			if (a.status != 503)
				continue;
			EXPECT_EQ("not-run", a.outcome());
			EXPECT_EQ("no-upstream", a.json("error"));
			EXPECT_EQ(1, atof(a.header("Retry-After").c_str()));
			EXPECT_GT(1000000, eb_clock_now_us() - from_us);
		}
		return count;
	}
	/* Runs below /home/ at the machines of one region. */
	int runs(size_t first)
	{
		int n = 0;

		for (size_t i = first; i < first + 2; i++)
			for (auto &run : site.upstreams[i]->all_runs())
				if (run.second.target.find("/home/") == 0)
					n += run.second.count;
		return n;
	}
	void wait_all(const std::string &path, long status)
	{
		for (size_t i = 0; i < 4; i++)
			site.wait_status(i, path, status);
	}
	~HomeSite()
	{
		if (testing::Test::HasFailure())
			site.print_logs();
	}
};

/*
 * Guards against requests that leave their home regions when the upstreams
 * there are evacuated or removed, and against ones that wait then.
 */
TEST(SiteHome, RequestsAreRefusedRatherThanSentElsewhere)
{
	using counts = std::map<long, int>;
	HomeSite hs;
	Site &site = hs.site;

	hs.publish("[\"r-b\",\"unknown\"]");
	hs.wait_all("/home/x", 200);
	EXPECT_EQ((counts{ { 200, 24 } }), hs.send());
	EXPECT_EQ(0, hs.runs(0));

	site.store->put("op/evacuate/b", "{}");
	hs.wait_all("/home/x", 503);
	EXPECT_EQ((counts{ { 503, 24 } }), hs.send());
	hs.wait_all("/near/x", 200);
	site.store->remove("op/evacuate/b");
	hs.wait_all("/home/x", 200);

	for (size_t i = 2; i < 4; i++)
		site.store->remove(site.upstreams[i]->key());
	hs.wait_all("/home/x", 503);
	EXPECT_EQ((counts{ { 503, 24 } }), hs.send());
	EXPECT_LE(24, site.metric(0, "home_regions_refused_total") +
			      site.metric(1, "home_regions_refused_total") +
			      site.metric(2, "home_regions_refused_total") +
			      site.metric(3, "home_regions_refused_total"));
	for (size_t i = 2; i < 4; i++)
		site.store->put(site.upstreams[i]->key(),
				site.upstreams[i]->entry());
	hs.wait_all("/home/x", 200);
	EXPECT_EQ((counts{ { 200, 24 } }), hs.send());
	EXPECT_EQ(0, hs.runs(0));

	hs.publish("\"r\"");
	hs.wait_all("/home/x", 503);
	EXPECT_EQ((counts{ { 503, 24 } }), hs.send());
	EXPECT_EQ(0, hs.runs(0)) << "regions that are no list allow none";
}

/*
 * Guards against origins that do not know the regions: here they ignore them,
 * and only the gates keep requests out of the other region.
 */
TEST(SiteHome, GatesRefuseWhatOriginsMustNotSend)
{
	HomeSite hs("origin-regions");
	double refused = 0;

	hs.publish("[\"r-b\"]");
	for (size_t i = 0; i < 2; i++)
		wait_until("the gates to refuse", [&] {
			hs.send();
			return hs.site.metric(i, "gate_region_refused_total") >
			       0;
		});
	int before = hs.runs(0);

	hs.send();
	for (size_t i = 0; i < 4; i++)
		refused += hs.site.metric(i, "gate_region_refused_total");
	EXPECT_LT(0, refused);
	EXPECT_EQ(before, hs.runs(0));
}

/* Guards against a daemon that is ready before it has a configuration. */
TEST(SiteStart, ADaemonWithoutAStateIsNotReady)
{
	Site site({ "near" });
	HttpAnswer a;

	site.start_daemon(0);
	wait_until("the daemon", [&] { return site.ready(0) == 503; });
	a = site.send(0, "GET", "/near/a", "early");
	EXPECT_EQ(503, a.status);
	EXPECT_EQ("not-run", a.outcome());
	site.store->put(site.upstreams[0]->key(), site.upstreams[0]->entry());
	site.publish(1);
	site.wait_status(0, "/near/a", 200);
	EXPECT_EQ(200, site.ready(0));
}

/*
 * Guards against a daemon that crashes at the end of its stop, when the store
 * sends a change to a core that is freed.
 */
TEST(SiteStop, ADaemonEndsWhileALargeStateChanges)
{
	std::vector<std::thread> threads;
	std::atomic<int> crashed{ 0 };

	for (int k = 0; k < 4; k++) {
		threads.emplace_back([&, k] {
			std::atomic<bool> over{ false };
			Site site({ "near" });
			std::string routes;

			for (int i = 0; i < 4500; i++) {
				std::string name = "r" + std::to_string(i);

				routes += (i ? "," : "") +
					  site.route(name, "/" + name + "/",
						     "safe", "near");
			}
			site.store->put(site.upstreams[0]->key(),
					site.upstreams[0]->entry());
			site.publish(1, routes);
			std::thread writer([&] {
				for (int v = 2; !over; v++) {
					site.publish(v, routes);
					sleep_ms(100);
				}
			});
			for (int r = 0; r < 4; r++) {
				site.start_daemon(0);
				site.wait_status(0, "/near/a", 200);
				sleep_ms(200 + 37 * (k + r));
				site.daemons[0]->signal(SIGTERM);
				crashed += site.daemons[0]->wait() != 0;
			}
			over = true;
			writer.join();
		});
	}
	for (std::thread &t : threads)
		t.join();
	EXPECT_EQ(0, crashed);
}

/*
 * Guards against a SIGHUP that ends the daemon because it arrives while the
 * settings are read. A pipe without a writer blocks that read.
 */
TEST(SiteStart, HangUpWhileTheSettingsAreRead)
{
	std::string pipe = temp_dir() + "/settings-pipe";

	ASSERT_EQ(0, mkfifo(pipe.c_str(), 0600));
	Process daemon({ build_dir() + "/ebonypier-site" },
		       { "EBONYPIER_BOOT=" + pipe });
	daemon.wait_signal_blocked(SIGHUP);
	daemon.signal(SIGHUP);
	EXPECT_TRUE(daemon.running());
	daemon.kill();
}

} // namespace
