#include <gtest/gtest.h>

#include <signal.h>

#include <thread>

#include "harness.h"

namespace
{

/* Limit of the resident memory of a daemon at any load. */
const int64_t memory_limit_kb = 65536;

/*
 * Two services with one upstream each. Callers use the daemon beside the
 * upstream of `near`: `near` takes one hop and `far` takes two.
 */
struct Path : testing::TestWithParam<const char *> {
	Fleet fleet;

	Path() : fleet(options())
	{
	}
	static FleetOptions options()
	{
		FleetOptions op;

		op.services = { { "near" }, { "far" } };
		op.slots = 100;
		return op;
	}
	void SetUp() override
	{
		fleet.start();
	}
	std::string path(const std::string &rest) const
	{
		return std::string("/") + GetParam() + rest;
	}
	std::string url(const std::string &rest)
	{
		return fleet[0].url(path(rest));
	}
	/* The upstream that serves the requests of this test. */
	Member &up()
	{
		return fleet[GetParam() == std::string("near") ? 0 : 1];
	}
	/* Checks that each daemon runs and kept within its memory limit. */
	void TearDown() override
	{
		for (size_t i = 0; i < fleet.size(); i++) {
			ASSERT_TRUE(fleet[i].daemon->running())
				<< fleet[i].daemon->log();
			EXPECT_LT(fleet[i].daemon->memory_kb("VmHWM"),
				  memory_limit_kb);
		}
	}
};

INSTANTIATE_TEST_SUITE_P(Hops, Path, testing::Values("near", "far"),
			 [](const testing::TestParamInfo<const char *> &info) {
				 return std::string(info.param);
			 });

/* Guards against answers that are cut, padded or sent to another caller. */
TEST_P(Path, AnswersOfEachSizeAreWhole)
{
	HttpClient client;

	for (uint64_t n : { 0, 1, 512, 16384, 16385, 65536, 65537, 3000000 }) {
		for (const char *more : { "", "&chunked=1" }) {
			std::string nonce = std::to_string(n) + more;
			HttpRequest rq;
			HttpAnswer a;

			rq.url = url("/x?seed=" + std::to_string(n % 99) +
				     "&bytes=" + std::to_string(n) + more);
			rq.headers = { "X-Nonce: " + nonce };
			a = client.send(rq);
			EXPECT_TRUE(a.complete(200)) << nonce;
			EXPECT_TRUE(pattern(n, n % 99) == a.body) << nonce;
			EXPECT_EQ(nonce, a.header("X-Nonce"));
			EXPECT_EQ(up().name, a.header("X-Upstream"));
			EXPECT_EQ("ran", a.outcome());
		}
	}
}

/* Guards against bodies that lose bytes between HEAD, DATA and END frames. */
TEST_P(Path, BodiesOfEachSizeArrive)
{
	HttpClient client;

	for (uint64_t n : { 0, 1, 16384, 16385, 65536, 262145, 3000000 }) {
		for (bool chunked : { false, true }) {
			HttpRequest rq;
			HttpAnswer a;

			rq.method = "PUT";
			rq.url = url("/x");
			rq.upload_bytes = n;
			rq.chunked = chunked;
			a = client.send(rq);
			EXPECT_TRUE(a.complete(200)) << n << chunked;
			EXPECT_EQ(std::to_string(n), a.json("length"));
			EXPECT_EQ(pattern_checksum(n), a.json("checksum"));
		}
	}
}

/* Guards against a method or target that is changed in forwarding. */
TEST_P(Path, MethodAndTargetArriveUnchanged)
{
	for (const char *method :
	     { "GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" }) {
		std::string target = path("/a%20b;c/d?x=%2F&y=1");
		HttpRequest rq;

		rq.method = method;
		rq.url = fleet[0].url(target);
		EXPECT_TRUE(http(rq).complete(200)) << method;
		EXPECT_EQ(method, json_member(up().last_run(), "method"));
		EXPECT_EQ(target, json_member(up().last_run(), "target"));
	}
}

/* Guards against a new connection for each request, on either side. */
TEST_P(Path, KeepsConnectionsOpen)
{
	int64_t before = up().runs_count("connections_seen");
	HttpClient client;
	long connects = 0;

	for (int i = 0; i < 100; i++) {
		HttpAnswer a = client.get(url("/x?bytes=10"));

		ASSERT_TRUE(a.complete(200));
		connects += a.connects;
	}
	EXPECT_EQ(1, connects);
	/* Each read of the record opens one connection too. */
	EXPECT_LE(up().runs_count("connections_seen") - before, 3);
}

/* Guards against a HEAD answer with a body or without its length. */
TEST_P(Path, HeadHasLengthAndNoBody)
{
	RawSocket s(fleet[0].listen_port);
	std::string answer;

	s.send("HEAD " + path("/x?bytes=100") + " HTTP/1.1\r\nHost: a\r\n\r\n");
	answer = s.receive_answer(true);
	EXPECT_EQ(200, raw_status(answer));
	EXPECT_NE(std::string::npos, answer.find("Content-Length: 100\r\n"));
	s.send("GET " + path("/x?bytes=3") + " HTTP/1.1\r\nHost: a\r\n\r\n");
	answer = s.receive_answer();
	EXPECT_EQ(200, raw_status(answer));
	EXPECT_EQ(pattern(3), answer.substr(answer.size() - 3));
}

/* Guards against a 100 Continue before the gate admits the call. */
TEST_P(Path, ContinueFollowsAdmission)
{
	std::string body(100000, 'x'), head, answer;
	RawSocket s(fleet[0].listen_port);

	head = "POST " + path("/x") +
	       " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
	       "Content-Length: 100000\r\n";
	s.send(head + "\r\n");
	EXPECT_EQ(100, raw_status(s.receive_answer()));
	s.send(body);
	answer = s.receive_answer();
	EXPECT_EQ(200, raw_status(answer));
	EXPECT_NE(std::string::npos, answer.find(checksum(body)));

	RawSocket refused(fleet[0].listen_port);
	refused.send(head + "Ebonypier-Hops: 0\r\n\r\n");
	EXPECT_EQ(508, raw_status(refused.receive_answer()));
	EXPECT_EQ(1, up().runs_count("started"));
}

/* Guards against bodies that are held in memory instead of streamed. */
TEST_P(Path, OneGibibyteEachWay)
{
	const uint64_t gib = 1ull << 30;
	HttpRequest rq;
	HttpAnswer a;

	rq.url = url("/x?bytes=" + std::to_string(gib));
	rq.keep_body = false;
	a = http(rq);
	EXPECT_TRUE(a.complete(200));
	EXPECT_EQ(gib, a.body_bytes);
	EXPECT_EQ(pattern_checksum(gib), a.checksum);
	rq.method = "PUT";
	rq.url = url("/x");
	rq.upload_bytes = gib;
	rq.keep_body = true;
	a = http(rq);
	EXPECT_TRUE(a.complete(200));
	EXPECT_EQ(std::to_string(gib), a.json("length"));
	EXPECT_EQ(pattern_checksum(gib), a.json("checksum"));
}

/* Guards against a slow reader that fills memory or blocks other callers. */
TEST_P(Path, SlowReaderHoldsTheSenderBack)
{
	const uint64_t bytes = 100 << 20;
	RawSocket s(fleet[0].listen_port, 65536);
	HttpClient others;
	std::string answer;
	size_t head;

	s.send("GET " + path("/slow?bytes=" + std::to_string(bytes)) +
	       " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	wait_until("the slow request",
		   [this] { return up().runs_count("started") == 1; });
	for (int i = 0; i < 300; i++)
		ASSERT_TRUE(others.get(url("/x?bytes=1000")).complete(200));
	/* The data buffered for the reader is far below the body's length. */
	wait_until("the other runs",
		   [this] { return up().runs_count("ended") >= 300; });
	EXPECT_EQ(300, up().runs_count("ended"));
	answer = s.receive_all();
	head = answer.find("\r\n\r\n") + 4;
	ASSERT_EQ(head + bytes, answer.size());
	EXPECT_EQ(pattern_checksum(bytes), checksum(answer.substr(head)));
}

/* Guards against work that continues after its caller disconnected. */
TEST_P(Path, HangUpInMidUploadCancelsTheWork)
{
	RawSocket s(fleet[0].listen_port);

	s.send("POST " + path("/x") +
	       " HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n");
	s.send(std::string(1000000, 'x'));
	wait_until("the upload",
		   [this] { return up().runs_count("started") == 1; });
	s.reset();
	wait_until("the end of the upload",
		   [this] { return up().runs_count("cut") == 1; });
	EXPECT_EQ(0, up().runs_count("executed"));
	EXPECT_TRUE(http_get(url("/x")).complete(200));
}

/* The same for a disconnect before the answer and in the middle of it. */
TEST_P(Path, HangUpBeforeAndInTheAnswerCancelsTheWork)
{
	int64_t cut = 0;

	for (const char *query :
	     { "/x?delay_us=3000000000", "/x?bytes=1000000000&trickle=1" }) {
		RawSocket s(fleet[0].listen_port);

		s.send("GET " + path(query) + " HTTP/1.1\r\nHost: a\r\n\r\n");
		cut++;
		wait_until("the run",
			   [&] { return up().runs_count("started") == cut; });
		s.close();
		wait_until("the end of the run",
			   [&] { return up().runs_count("cut") == cut; });
	}
	wait_until("the calls to end", [this] {
		return !fleet[0].metric("calls_active") &&
		       !fleet[1].metric("calls_active");
	});
}

/* Guards against a partial answer that looks complete. */
TEST_P(Path, CutAnswersNeverLookComplete)
{
	for (const char *more : { "", "&chunked=1" }) {
		for (int at : { 0, 1, 100, 20000, 150000 }) {
			HttpAnswer a;

			up().fault("{\"cut_bytes\":" + std::to_string(at) +
				   "}");
			a = http_get(
				url(std::string("/x?bytes=200000") + more));
			EXPECT_FALSE(a.complete(200)) << at << more;
			if (!a.code) {
				EXPECT_EQ("unknown", a.outcome()) << at;
			}
		}
	}
}

/* Guards against "not-run" for a booking that an upstream had begun. */
TEST_P(Path, UpstreamDyingInARunGivesUnknown)
{
	HttpAnswer a = http_post(url("/x"), "a",
				 { "X-Crash: 1", "Idempotency-Key: k" });

	EXPECT_EQ(0, a.code);
	EXPECT_GE(a.status, 500);
	EXPECT_EQ("unknown", a.outcome());
	EXPECT_NE("", a.json("error"));
	EXPECT_NE("", a.json("reason"));
	EXPECT_EQ(3, up().upstream->wait());
}

/* Guards against "unknown" or an execution where nothing was sent. */
TEST_P(Path, UpstreamRefusingConnectionsGivesNotRun)
{
	HttpAnswer a;

	up().fault("{\"refuse\":true}");
	a = http_post(url("/x"), "a");
	EXPECT_TRUE(a.complete(503)) << a.status;
	EXPECT_EQ("not-run", a.outcome());
	EXPECT_TRUE(a.has("Retry-After"));
	EXPECT_NE("", a.json("reason"));
	EXPECT_EQ(0, up().runs_count("executed"));
	up().fault("{}");
	EXPECT_TRUE(http_post(url("/x"), "a").complete(200));
}

/* Guards against calls that outlive their deadline. */
TEST_P(Path, DeadlineEndsTheCallAndTheRun)
{
	HttpRequest rq;
	HttpAnswer a;

	rq.url = url("/x?delay_us=3000000000");
	rq.headers = { "Ebonypier-Deadline-Ms: 300" };
	/* On a slow machine the deadline may expire before the run begins. */
	do {
		a = http(rq);
	} while (a.outcome() == "not-run" && !up().runs_count("started"));
	EXPECT_TRUE(a.complete(504)) << a.status;
	EXPECT_EQ("unknown", a.outcome());
	wait_until("the end of the run",
		   [this] { return up().runs_count("cut") == 1; });
	rq.headers = { "Ebonypier-Deadline-Ms: 0" };
	a = http(rq);
	EXPECT_EQ("not-run", a.outcome());
	EXPECT_EQ(1, up().runs_count("started"));
}

/* Guards against a deadline header above the time that remains. */
TEST_P(Path, DeadlineAndHopsAreForwarded)
{
	HttpRequest rq;
	std::string headers;
	int64_t remaining_ms;

	rq.url = url("/x?headers=1");
	rq.headers = { "Ebonypier-Deadline-Ms: 20000", "Ebonypier-Hops: 5" };
	headers = http(rq).json("headers");
	remaining_ms =
		atoll(json_member(headers, "Ebonypier-Deadline-Ms").c_str());
	EXPECT_GT(remaining_ms, 0) << headers;
	EXPECT_LE(remaining_ms, 20000);
	EXPECT_EQ("4", json_member(headers, "Ebonypier-Hops"));
	rq.headers = {};
	headers = http(rq).json("headers");
	remaining_ms =
		atoll(json_member(headers, "Ebonypier-Deadline-Ms").c_str());
	EXPECT_GT(remaining_ms, 0) << headers;
	EXPECT_LE(remaining_ms, 30000);
	EXPECT_EQ("23", json_member(headers, "Ebonypier-Hops"));
}

/* Guards against endless loops between services. */
TEST_P(Path, HopLimitRefusesAsNotRun)
{
	HttpRequest rq;
	HttpAnswer a;

	rq.url = url("/x");
	rq.headers = { "Ebonypier-Hops: 0" };
	a = http(rq);
	EXPECT_TRUE(a.complete(508)) << a.status;
	EXPECT_EQ("not-run", a.outcome());
	EXPECT_NE("", a.json("reason"));
	EXPECT_EQ(0, up().runs_count("started"));
}

/* Guards against a trace that ends at the daemon, and a reused span id. */
TEST_P(Path, TraceContextIsContinued)
{
	const std::string trace = "0af7651916cd43dd8448eb211c80319c";
	const std::string span = "b7ad6b7169203331";
	std::string parent, spans;
	HttpRequest rq;

	rq.url = url("/x?headers=1");
	rq.headers = { "traceparent: 00-" + trace + "-" + span + "-01" };
	parent = json_member(http(rq).json("headers"), "traceparent");
	ASSERT_EQ(55u, parent.size()) << parent;
	EXPECT_EQ(trace, parent.substr(3, 32));
	EXPECT_NE(span, parent.substr(36, 16));
	wait_until("the spans", [&] {
		spans = fleet[0].admin("/traces/" + trace).body +
			up().admin("/traces/" + trace).body;
		return spans.find(parent.substr(36, 16)) != std::string::npos;
	});
	EXPECT_NE(std::string::npos, spans.find(span));
	rq.headers = {};
	parent = json_member(http(rq).json("headers"), "traceparent");
	EXPECT_EQ(55u, parent.size()) << parent;
}

struct outcome_case {
	const char *path;
	long status;
	const char *outcome;
};

/* Guards against answers without an outcome, or with a false one. */
TEST_P(Path, EachAnswerHasAnOutcome)
{
	const outcome_case cases[] = {
		{ "/near/x", 200, "ran" },
		{ "/near/x?status=404", 404, "ran" },
		{ "/near/x?status=500", 500, "ran" },
		{ "/nowhere", 404, "not-run" },
	};

	for (const outcome_case &c : cases) {
		HttpAnswer a = http_get(fleet[0].url(c.path));

		EXPECT_TRUE(a.complete(c.status)) << c.path << a.status;
		EXPECT_EQ(c.outcome, a.outcome()) << c.path;
	}
}

/* Guards against answers that are mixed up between concurrent calls. */
TEST_P(Path, ConcurrentCallsAreVerified)
{
	Process caller({ build_dir() + "/standins/caller", "--target",
			 loopback(fleet[0].listen_port), "--requests", "3000",
			 "--connections", "24", "--mix", "5,4,1", "--get",
			 path("/x"), "--post", path("/x"), "--upload",
			 path("/x"), "--get-bytes", "30000", "--upload-bytes",
			 "400000" });

	EXPECT_EQ(0, caller.wait()) << caller.log();
	EXPECT_EQ(3000, up().runs_count("executed"));
	EXPECT_EQ(0, up().runs_count("cut"));
}

} // namespace
