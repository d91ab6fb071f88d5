#include <gtest/gtest.h>

#include <jansson.h>

#include <signal.h>

#include <atomic>
#include <thread>

#include "site.h"

namespace
{

/*
 * Known pitfalls of the libraries and the network, tested with real processes.
 * Callers use the daemon whose upstream serves `near`; `far` is served through
 * a second daemon behind a relay.
 */
struct Hazard : testing::Test {
	Fleet fleet;
	std::unique_ptr<Relay> relay;

	Hazard() : fleet(options())
	{
	}
	static FleetOptions options()
	{
		FleetOptions op;

		op.services = { { "near" }, { "far" } };
		op.slots = 4;
		return op;
	}
	void SetUp() override
	{
		relay = std::make_unique<Relay>(fleet[1].daemon_port);
		fleet[1].relay_port = relay->port;
		fleet.start();
	}
	Member &near()
	{
		return fleet[0];
	}
	Member &far()
	{
		return fleet[1];
	}
	HttpAnswer book(const std::string &path, const std::string &key,
			std::vector<std::string> headers = {})
	{
		headers.push_back("Idempotency-Key: " + key);
		return http_post(near().url(path), "booking", headers);
	}
	/* Sends requests to `path` until one succeeds. */
	void wait_served(const std::string &path)
	{
		wait_until(path, [&] {
			return http_get(near().url(path)).complete(200);
		});
	}
	/* Checks the outcome in an answer against the executions of its key. */
	void check_outcome(const HttpAnswer &a, const std::string &key)
	{
		int64_t n = fleet.executions(key);

		EXPECT_LE(n, 1) << key;
		ASSERT_EQ(0, a.code) << key;
		if (a.outcome() == "ran") {
			EXPECT_EQ(1, n) << key;
		} else if (a.outcome() == "not-run") {
			EXPECT_EQ(0, n) << key;
		} else {
			EXPECT_EQ("unknown", a.outcome()) << key;
		}
	}
};

/*
 * Guards against libcurl sending a POST again when the upstream closes a
 * reused connection after reading the request, and against giving up the
 * reuse of connections to prevent it.
 */
TEST_F(Hazard, PostOnAClosedReusedConnectionRunsOnce)
{
	for (const char *path : { "/near/x", "/far/x" }) {
		Member &m = path[1] == 'n' ? near() : far();
		std::string key = std::string("reused") + path;
		double stopped = m.metric("upstream_resends_stopped_total");
		HttpClient client;
		HttpAnswer a;

		for (int i = 0; i < 20; i++)
			ASSERT_TRUE(client.get(near().url(path)).complete(200));
		EXPECT_LT(m.metric("upstream_connections_total"), 20);
		m.fault("{\"close_reused\":true}");
		a = book(path, key);
		EXPECT_EQ("unknown", a.outcome()) << path << a.status;
		EXPECT_EQ(1, fleet.executions(key)) << path;
		EXPECT_GT(m.metric("upstream_resends_stopped_total"), stopped);
		m.fault("{}");
		EXPECT_TRUE(book(path, key + "-after").complete(200));
	}
}

/* The same with many concurrent bookings on new and reused connections. */
TEST_F(Hazard, PostsAmongClosingConnectionsRunAtMostOnce)
{
	std::vector<std::thread> callers;
	std::atomic<int> next{ 0 };

	near().fault("{\"close_reused\":true}");
	for (int t = 0; t < 4; t++) {
		callers.emplace_back([&] {
			HttpClient client;

			for (int i; (i = next++) < 200;)
				client.post(near().url("/near/x"), "booking",
					    { "Idempotency-Key: many-" +
					      std::to_string(i) });
		});
	}
	for (std::thread &t : callers)
		t.join();
	for (int i = 0; i < 200; i++)
		EXPECT_LE(near().executions("many-" + std::to_string(i)), 1);
}

/*
 * Guards against "not run" for a POST whose reused connection is reset before
 * the first byte of the answer.
 */
TEST_F(Hazard, ResetBeforeTheAnswerIsUnknown)
{
	HttpAnswer a;

	ASSERT_TRUE(http_get(near().url("/near/x")).complete(200));
	std::thread killer([this] {
		wait_until("the run",
			   [this] { return near().executions("reset") == 1; });
		near().upstream->kill();
	});
	a = book("/near/x?delay_us=3000000000", "reset");
	killer.join();
	EXPECT_EQ(0, a.code);
	EXPECT_EQ("unknown", a.outcome()) << a.status;
}

/*
 * Guards against old messages that ZeroMQ delivers to a restarted peer, and
 * that run there after their callers were answered "not-run".
 */
TEST_F(Hazard, RestartedPeerRunsNothingOld)
{
	std::vector<HttpAnswer> answers;

	wait_served("/far/x");
	far().daemon->kill();
	for (int i = 0; i < 5; i++)
		answers.push_back(book("/far/x", "old-" + std::to_string(i),
				       { "Ebonypier-Deadline-Ms: 400" }));
	fleet.start_daemon(1);
	fleet.wait_ready(1);
	wait_served("/far/x");
	for (int i = 0; i < 5; i++)
		check_outcome(answers[(size_t)i], "old-" + std::to_string(i));
}

/* Guards against a run that goes on when the origin of its call has died. */
TEST_F(Hazard, DeadOriginIsNoticedByTheGate)
{
	RawSocket s(near().listen_port);

	wait_served("/far/x");
	s.send("GET /far/long?delay_us=3000000000 HTTP/1.1\r\nHost: a\r\n\r\n");
	wait_until("the run",
		   [this] { return far().runs_count("in_flight") == 1; });
	near().daemon->kill();
	wait_until("the end of the run",
		   [this] { return far().runs_count("cut") == 1; });
	wait_until("the slot",
		   [this] { return !far().metric("calls_active"); });
}

/* Guards against a call that waits forever for a peer that has died. */
TEST_F(Hazard, DeadGateEndsCallsWithUnknown)
{
	HttpAnswer a;

	wait_served("/far/x");
	std::thread killer([this] {
		wait_until("the run",
			   [this] { return far().executions("dead") == 1; });
		far().daemon->kill();
	});
	a = book("/far/x?delay_us=3000000000", "dead");
	killer.join();
	EXPECT_EQ(0, a.code);
	EXPECT_EQ("unknown", a.outcome()) << a.status;
	EXPECT_TRUE(http_get(near().url("/near/x")).complete(200));
}

struct silence_case {
	const char *name;
	const char *fault; /* NULL: drops all data on the open links for good */
};

struct Silence : Hazard, testing::WithParamInterface<silence_case> {
};

INSTANTIATE_TEST_SUITE_P(
	Links, Silence,
	testing::Values(silence_case{ "Forward", "{\"silent\":\"forward\"}" },
			silence_case{ "Backward", "{\"silent\":\"backward\"}" },
			silence_case{ "BothWays", "{\"silent\":\"both\"}" },
			silence_case{ "OpenLinks", nullptr }),
	[](const testing::TestParamInfo<silence_case> &info) {
		return std::string(info.param.name);
	});

/*
 * Guards against an open connection that loses all data without an error:
 * calls on it end, nothing runs that was reported as not run, and the path is
 * used again once it works.
 */
TEST_P(Silence, EndsCallsAndRecovers)
{
	HttpAnswer a, b;

	wait_served("/far/x");
	std::thread during([&] { a = book("/far/x?delay_us=500000", "in"); });
	wait_until("the run", [this] { return far().executions("in") == 1; });
	if (GetParam().fault)
		relay->fault(GetParam().fault);
	else
		relay->silence_open();
	b = book("/far/x", "after");
	during.join();
	EXPECT_NE("not-run", a.outcome());
	check_outcome(a, "in");
	relay->fault("{}");
	wait_served("/far/x");
	check_outcome(b, "after");
}

/*
 * Guards against a call that keeps its slot forever: the message that its
 * caller disconnected was lost with the link, and the rest of the body that
 * the call waits for never arrives.
 */
TEST_P(Silence, LeavesNoCallAtTheGate)
{
	wait_served("/far/x");
	int64_t before = far().runs_count("started");
	RawSocket s(near().listen_port);

	s.send("PUT /far/x HTTP/1.1\r\nHost: a\r\n"
	       "Content-Length: 10000000\r\n\r\n");
	s.send(std::string(100000, 'x'));
	wait_until("the run",
		   [&] { return far().runs_count("started") > before; });
	if (GetParam().fault)
		relay->fault(GetParam().fault);
	else
		relay->silence_open();
	s.close();
	wait_until("the end at the origin",
		   [this] { return !near().metric("calls_active"); });
	/* Cutting the silent link discards the data buffered on it. */
	relay->cut();
	relay->fault("{}");
	wait_until("the end at the gate",
		   [this] { return !far().metric("calls_active"); });
	wait_served("/far/x");
}

/*
 * Guards against a silent connection that is believed for seconds: calls on it
 * were answered 502 after four seconds, though new connections worked and the
 * requests had not arrived or were still running.
 */
TEST_F(Hazard, ASilentConnectionIsReplaced)
{
	for (const std::string dir : { "both", "forward", "backward" }) {
		double replaced =
			near().metric("silent_connections_replaced_total");
		int64_t from_us, executed;
		HttpAnswer a, b;

		wait_served("/far/x");
		executed = far().runs_count("executed");
		std::thread during([&] {
			a = book("/far/x?delay_us=1500000", "in-" + dir);
		});
		wait_until("the run",
			   [&] { return far().executions("in-" + dir) == 1; });
		relay->silence_open(dir);
		from_us = now_us();
		/* A claim of a key would delay the request itself. */
		b = http_post(near().url("/far/x"), "booking");
		EXPECT_GT(1000, (now_us() - from_us) / 1000) << dir;
		during.join();
		EXPECT_TRUE(a.complete(200)) << dir << a.status;
		EXPECT_TRUE(b.complete(200)) << dir << b.status;
		EXPECT_EQ(executed + 2, far().runs_count("executed")) << dir;
		EXPECT_EQ(replaced + 1,
			  near().metric("silent_connections_replaced_total"))
			<< dir;
	}
	EXPECT_EQ(2, near().metric("calls_resent_total"));
}

/* Guards against messages that are lost or duplicated when a link is cut. */
TEST_F(Hazard, CutLinkRunsNothingTwice)
{
	std::vector<HttpAnswer> answers(120);
	std::vector<std::thread> callers;
	std::atomic<size_t> next{ 0 };

	wait_served("/far/x");
	for (int t = 0; t < 6; t++) {
		callers.emplace_back([&] {
			for (size_t i; (i = next++) < answers.size();)
				answers[i] =
					book("/far/x?delay_us=2000",
					     "cut-" + std::to_string(i),
					     { "Ebonypier-Deadline-Ms: 2000" });
		});
	}
	for (size_t at = 20; at < answers.size(); at += 20) {
		wait_until("calls", [&] { return next >= at; });
		relay->cut();
	}
	for (std::thread &t : callers)
		t.join();
	wait_served("/far/x");
	for (size_t i = 0; i < answers.size(); i++)
		check_outcome(answers[i], "cut-" + std::to_string(i));
}

/* The number of executed runs that `bytes` of body did not reach whole. */
int short_runs(const Member &m, int64_t bytes)
{
	json_t *js = json_loads(m.runs().c_str(), 0, nullptr), *run;
	size_t i;
	int n = 0;

	json_array_foreach(json_object_get(js, "runs"), i, run)
	{
		const char *method =
			json_string_value(json_object_get(run, "method"));

		n += !strcmp(method, "PUT") &&
		     json_is_true(json_object_get(run, "executed")) &&
		     json_integer_value(json_object_get(run, "bytes")) != bytes;
	}
	json_decref(js);
	return n;
}

/*
 * Guards against bodies with a gap: a link between two daemons that is cut in
 * the middle of an upload or an answer loses what is on the way.
 */
TEST_F(Hazard, CutLinkLeavesNoGapInABody)
{
	static const struct {
		const char *name;
		bool upload, chunked;
	} cases[] = {
		{ "upload with a length", true, false },
		{ "upload in chunks", true, true },
		{ "answer", false, false },
	};
	const uint64_t bytes = 600000;

	relay->fault("{\"delay_ms\":8}");
	wait_served("/far/x");
	for (const auto &c : cases) {
		for (int round = 0; round < 4; round++) {
			std::atomic<uint64_t> moved{ 0 };
			std::atomic<bool> cut{ false };
			HttpRequest rq;
			HttpAnswer a;

			SCOPED_TRACE(c.name);
			/* Passes a piece on; the link is cut at 200,000. */
			auto piece = [&](uint64_t total) {
				moved = total;
				while (total > 200000 && !cut)
					sleep_ms(1);
				sleep_ms(10);
				return true;
			};
			rq.url = near().url("/far/x");
			rq.headers = { "Ebonypier-Deadline-Ms: 8000" };
			if (c.upload) {
				rq.method = "PUT";
				rq.upload_bytes = bytes;
				rq.chunked = c.chunked;
				rq.on_upload = piece;
			} else {
				rq.url += "?bytes=" + std::to_string(bytes);
				rq.on_data = [&](size_t n) {
					return piece(moved + n);
				};
			}
			std::thread caller([&] { a = HttpClient().send(rq); });
			wait_until("half of the body",
				   [&] { return moved > 200000 || a.status; });
			relay->cut();
			cut = true;
			caller.join();
			if (a.complete(200)) {
				EXPECT_EQ(pattern_checksum(bytes),
					  c.upload ? a.json("checksum")
						   : a.checksum);
			}
			wait_served("/far/x");
		}
	}
	wait_until("the end of the calls",
		   [this] { return !far().metric("calls_active"); });
	EXPECT_EQ(0, short_runs(far(), (int64_t)bytes));
}

/*
 * Guards against an answer that is lost with the connection between two
 * daemons: the request has run, and its caller was told after seconds that this
 * is not known.
 */
TEST_F(Hazard, AnswersOnAResetLinkAreDelivered)
{
	relay->fault("{\"delay_ms\":50}");
	wait_served("/far/x");
	for (int i = 0; i < 8; i++) {
		std::string key = "answer-" + std::to_string(i);
		HttpAnswer a;

		std::thread caller([&] {
			a = book("/far/x?delay_us=300000", key,
				 { "Ebonypier-Deadline-Ms: 8000" });
		});
		wait_until("the run",
			   [&] { return fleet.executions(key) == 1; });
		/* The answer leaves about now, and is 50 ms on its way. */
		sleep_ms(260 + 10 * i);
		relay->cut();
		caller.join();
		EXPECT_EQ(1, fleet.executions(key));
		EXPECT_TRUE(a.complete(200)) << key << ": " << a.status;
		EXPECT_EQ("ran", a.outcome()) << key;
	}
}

/*
 * Guards against an upload that runs with a gap: the pieces on the way between
 * two daemons are lost when their connection is reset, while the caller sends
 * on. With a length, the upstream would notice; in chunks it does not.
 */
TEST_F(Hazard, AnUploadAcrossAResetLinkDoesNotRunWithAGap)
{
	const int chunks = 20, chunk_bytes = 3000;
	std::string chunk = "bb8\r\n" + std::string(chunk_bytes, 'x') + "\r\n";

	relay->fault("{\"delay_ms\":8}");
	wait_served("/far/x");
	for (int round = 0; round < 4; round++) {
		RawSocket cn(near().listen_port);

		cn.send("PUT /far/x HTTP/1.1\r\nHost: a\r\n"
			"Ebonypier-Deadline-Ms: 2500\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
		for (int i = 0; i < chunks; i++) {
			cn.send(chunk);
			if (i == chunks / 2)
				relay->cut();
			sleep_ms(40);
		}
		cn.send("0\r\n\r\n");
		cn.receive_answer();
		wait_served("/far/x");
	}
	wait_until("the end of the calls",
		   [this] { return !far().metric("calls_active"); });
	EXPECT_EQ(0, short_runs(far(), chunks * chunk_bytes));
}

/*
 * Guards against an answer that its caller gets only with the end of its own
 * upload: the upstream answers at once and reads the body later. An answer to a
 * request with a key settles the key's claim, with its last frame.
 */
TEST_F(Hazard, AnEarlyAnswerToARequestWithAKeyDoesNotWait)
{
	const size_t bytes = 400000, first = 100000;
	std::atomic<bool> go_on{ false };

	near().upstream->kill();
	SiteServer server(
		"127.0.0.1", near().upstream_port, [&](SiteConnection &cn) {
			SiteRequest rq;

			while (cn.read(rq, false)) {
				cn.write("HTTP/1.1 200 OK\r\n"
					 "Content-Length: 5\r\n\r\n"
					 "early");
				wait_until("the caller",
					   [&] { return go_on.load(); });
				cn.read_body(rq);
			}
		});
	for (bool keyed : { false, true }) {
		RawSocket s(near().listen_port);
		std::string key = keyed ? "Idempotency-Key: early\r\n" : "";
		bool early = false;

		go_on = false;
		s.send("POST /near/x HTTP/1.1\r\nHost: a\r\n" + key +
		       "Ebonypier-Deadline-Ms: 30000\r\nContent-Length: " +
		       std::to_string(bytes) + "\r\n\r\n" +
		       std::string(first, 'x'));
		for (int i = 0; i < 300 && !early; i++) {
			sleep_ms(10);
			early = s.readable();
		}
		EXPECT_TRUE(early) << "keyed: " << keyed;
		go_on = true;
		s.send(std::string(bytes - first, 'x'));
		EXPECT_EQ(200, raw_status(s.receive_answer()));
	}
}

/*
 * Guards against suspended requests, one for each waiting call, that block
 * other requests.
 */
TEST_F(Hazard, WaitingCallsDoNotStopOthers)
{
	std::vector<std::unique_ptr<RawSocket>> waiting;

	for (int i = 0; i < 300; i++) {
		waiting.push_back(
			std::make_unique<RawSocket>(near().listen_port));
		waiting.back()->send("GET /near/x?delay_us=3000000000 "
				     "HTTP/1.1\r\nHost: a\r\n\r\n");
	}
	wait_until("the slots",
		   [this] { return near().runs_count("in_flight") == 4; });
	wait_served("/far/x");
	EXPECT_TRUE(near().admin("/metrics").complete(200));
	waiting.clear();
	wait_until("the calls to leave",
		   [this] { return !near().metric("calls_active"); });
	wait_served("/near/x");
}

/* Guards against callers whose incomplete requests block other callers. */
TEST_F(Hazard, IdleConnectionsDoNotStopOthers)
{
	std::vector<std::unique_ptr<RawSocket>> idle;

	for (int i = 0; i < 300; i++) {
		idle.push_back(std::make_unique<RawSocket>(near().listen_port));
		idle.back()->send("GET /near/x HT");
	}
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(http_get(near().url("/near/x")).complete(200));
}

/*
 * Guards against stale work after SIGSTOP and SIGCONT: a request queued at a
 * paused gate must not run after its caller was answered "not-run".
 */
TEST_F(Hazard, PausedGateRunsNothingStale)
{
	std::vector<HttpAnswer> answers;

	wait_served("/far/x");
	far().daemon->signal(SIGSTOP);
	for (int i = 0; i < 4; i++)
		answers.push_back(book("/far/x", "stale-" + std::to_string(i),
				       { "Ebonypier-Deadline-Ms: 1500" }));
	far().daemon->signal(SIGCONT);
	wait_served("/far/x");
	for (int i = 0; i < 4; i++)
		check_outcome(answers[(size_t)i], "stale-" + std::to_string(i));
}

/*
 * Guards against a paused gate that is taken for a silent connection: it would
 * end the answer that it is sending.
 */
TEST_F(Hazard, APausedGateKeepsItsConnection)
{
	for (int pause_ms : { 300, 800, 2000 }) {
		std::string key = "kept-" + std::to_string(pause_ms);
		HttpAnswer a;

		wait_served("/far/x");
		std::thread pause([&] {
			wait_until("the run",
				   [&] { return far().executions(key) == 1; });
			far().daemon->signal(SIGSTOP);
			sleep_ms(pause_ms);
			far().daemon->signal(SIGCONT);
		});
		a = book("/far/x?delay_us=100000", key);
		pause.join();
		EXPECT_TRUE(a.complete(200)) << a.status << key;
		check_outcome(a, key);
	}
	EXPECT_EQ(0, near().metric("silent_connections_replaced_total"));
}

/* The same for a paused origin, whose calls have ended when it resumes. */
TEST_F(Hazard, PausedOriginAnswersItsCallers)
{
	HttpAnswer a;

	wait_served("/far/x");
	std::thread pause([this] {
		wait_until("the run",
			   [this] { return far().executions("paused") == 1; });
		near().daemon->signal(SIGSTOP);
		/* The gate detects the origin failure and ends its calls. */
		wait_until("the end of the run",
			   [this] { return far().runs_count("cut") == 1; });
		near().daemon->signal(SIGCONT);
	});
	a = book("/far/x?delay_us=3000000000", "paused",
		 { "Ebonypier-Deadline-Ms: 10000" });
	pause.join();
	EXPECT_NE("not-run", a.outcome());
	check_outcome(a, "paused");
	wait_served("/far/x");
}

/*
 * Guards against a caller that waits forever: the gate aborted an answer in
 * the middle while the origin was paused, and the origin resumes.
 */
TEST_F(Hazard, PausedOriginEndsAnAnswerThatWasGivenUp)
{
	wait_served("/far/x");
	RawSocket s(near().listen_port);

	s.send("GET /far/x?bytes=1000000000&trickle=1 HTTP/1.1\r\n"
	       "Host: a\r\n\r\n");
	wait_until("the answer's head", [&] { return s.readable(); });
	near().daemon->signal(SIGSTOP);
	wait_until("the end of the run",
		   [this] { return far().runs_count("cut") == 1; });
	near().daemon->signal(SIGCONT);
	wait_until("the end of the call",
		   [this] { return !near().metric("calls_active"); });
	wait_served("/far/x");
}

/* Guards against an upstream that accepts connections and never answers. */
TEST_F(Hazard, SilentUpstreamEndsAtTheDeadline)
{
	HttpAnswer a;

	near().fault("{\"silent\":true}");
	a = book("/near/x", "silent", { "Ebonypier-Deadline-Ms: 300" });
	EXPECT_EQ(0, a.code);
	EXPECT_NE("ran", a.outcome());
	near().fault("{}");
	wait_served("/near/x");
	check_outcome(a, "silent");
}

} // namespace
