#include <gtest/gtest.h>

#include "harness.h"

namespace
{

/* A request that must not reach an upstream. */
struct bad_request {
	const char *name;
	std::string bytes;
};

/* Prints the name instead of the bytes of the request. */
void PrintTo(const bad_request &c, std::ostream *out)
{
	*out << c.name;
}

const std::string host = "Host: a\r\n";

std::string get(const std::string &target)
{
	return "GET " + target + " HTTP/1.1\r\n" + host + "\r\n";
}

std::string post(const std::string &headers, const std::string &body)
{
	return "POST /near/x HTTP/1.1\r\n" + host + headers + "\r\n" + body;
}

/* A second request hidden in what a lenient parser takes for a body. */
const std::string hidden = "GET /near/hidden HTTP/1.1\r\nHost: a\r\n\r\n";

const std::vector<bad_request> framing = {
	{ "two equal lengths",
	  post("Content-Length: 1\r\nContent-Length: 1\r\n", "x") },
	{ "two lengths",
	  post("Content-Length: 1\r\nContent-Length: 40\r\n", "x" + hidden) },
	{ "length list", post("Content-Length: 1, 1\r\n", "x") },
	{ "length and chunked",
	  post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
	       "0\r\n\r\n" + hidden) },
	{ "chunked and length",
	  post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
	       "0\r\n\r\n" + hidden) },
	{ "two encodings", post("Transfer-Encoding: chunked\r\n"
				"Transfer-Encoding: identity\r\n",
				"0\r\n\r\n" + hidden) },
	{ "encoding list",
	  post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n") },
	{ "unknown encoding",
	  post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" + hidden) },
	{ "encoding with a tab",
	  post("Transfer-Encoding:\tchunked,\r\n", "0\r\n\r\n" + hidden) },
	{ "space before the colon",
	  post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n" + hidden) },
	{ "negative length", post("Content-Length: -1\r\n", hidden) },
	{ "signed length", post("Content-Length: +1\r\n", "x" + hidden) },
	{ "hexadecimal length", post("Content-Length: 0x1\r\n", "x" + hidden) },
	{ "huge length",
	  post("Content-Length: 18446744073709551617\r\n", "x" + hidden) },
	{ "empty length", post("Content-Length: \r\n", hidden) },
	{ "folded header",
	  post("X-A: b\r\n Transfer-Encoding: chunked\r\n", "") },
	{ "bare CR in a value", post("X-A: b\rTransfer-Encoding: chunked\r\n",
				     "0\r\n\r\n" + hidden) },
	{ "NUL in a value", post(std::string("X-A: b\0c\r\n", 10), "") },
	{ "NUL in a name", post(std::string("X-\0A: b\r\n", 9), "") },
	{ "header without a colon", post("X-A\r\n", "") },
	{ "header without a name", post(": b\r\n", "") },
	{ "space in a name", post("X A: b\r\n", "") },
};

const std::vector<bad_request> heads = {
	{ "long header", post("X-A: " + std::string(70000, 'a') + "\r\n", "") },
	{ "header over the limit",
	  post("X-A: " + std::string(17000, 'a') + "\r\n", "") },
	{ "long target", get("/near/" + std::string(9000, 'a')) },
	{ "many headers",
	  post(
		  [] {
			  std::string all;

			  for (int i = 0; i < 150; i++)
				  all += "X-" + std::to_string(i) + ": a\r\n";
			  return all;
		  }(),
		  "") },
	{ "bad method", "GE T /near/x HTTP/1.1\r\n" + host + "\r\n" },
	{ "method with a brace", "G{T /near/x HTTP/1.1\r\n" + host + "\r\n" },
	{ "long method",
	  std::string(200, 'A') + " /near/x HTTP/1.1\r\n" + host + "\r\n" },
	{ "CONNECT", "CONNECT a:80 HTTP/1.1\r\n" + host + "\r\n" },
	{ "TRACE", "TRACE /near/x HTTP/1.1\r\n" + host + "\r\n" },
	{ "no host", "GET /near/x HTTP/1.1\r\n\r\n" },
	{ "two hosts", "GET /near/x HTTP/1.1\r\n" + host + host + "\r\n" },
	{ "host with a path", "GET /near/x HTTP/1.1\r\nHost: a/b\r\n\r\n" },
	{ "version 2", "GET /near/x HTTP/2.0\r\n" + host + "\r\n" },
	{ "no version", "GET /near/x\r\n" + host + "\r\n" },
	{ "long key",
	  post("Idempotency-Key: " + std::string(300, 'k') + "\r\n", "") },
	{ "two keys",
	  post("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "") },
	{ "bad hops", post("Ebonypier-Hops: -1\r\n", "") },
	{ "bad deadline", post("Ebonypier-Deadline-Ms: soon\r\n", "") },
};

const std::vector<bad_request> targets = {
	{ "dot segments", get("/near/../far/x") },
	{ "dot segments at the end", get("/near/x/..") },
	{ "single dot", get("/near/./x") },
	{ "encoded dots", get("/near/%2e%2e/far/x") },
	{ "half encoded dots", get("/near/.%2E/far/x") },
	{ "encoded slash", get("/near%2fx") },
	{ "encoded slash after dots", get("/near/..%2ffar/x") },
	{ "encoded backslash", get("/near/..%5cfar") },
	{ "backslash", get("/near/..\\far") },
	{ "encoded NUL", get("/near/x%00") },
	{ "NUL", get(std::string("/near/x\0y", 9)) },
	{ "bad escape", get("/near/%zz") },
	{ "cut escape", get("/near/%2") },
	{ "control character", get("/near/\x01") },
	{ "byte over 127", get("/near/\xc3\xa9") },
	{ "absolute form", get("http://a/near/x") },
	{ "absolute form to another host", get("http://b:1/near/x") },
	{ "asterisk", get("*") },
	{ "no slash", get("near/x") },
	{ "double slash", get("//near/x") },
	{ "fragment", get("/near/x#y") },
};

struct Smuggling : testing::Test {
	static Fleet *fleet;

	static void SetUpTestSuite()
	{
		FleetOptions op;

		op.services = { { "near" }, { "far" } };
		fleet = new Fleet(op);
		fleet->start();
	}
	static void TearDownTestSuite()
	{
		delete fleet;
		fleet = nullptr;
	}
	/*
	 * Sends a request and returns its answer. Ends as well when the
	 * request has reached an upstream instead of being answered.
	 */
	std::string answer_to(const bad_request &c, int64_t before)
	{
		RawSocket s((*fleet)[0].listen_port);

		s.send(c.bytes);
		wait_until(std::string("an answer to: ") + c.name, [&] {
			return s.readable() ||
			       fleet->runs_count("started") > before;
		});
		s.finish_sending();
		return s.receive_all();
	}
};

Fleet *Smuggling::fleet;

struct BadRequest : Smuggling, testing::WithParamInterface<bad_request> {
};

/* Turns "two lengths" into "TwoLengths", as GoogleTest wants names. */
std::string case_name(const testing::TestParamInfo<bad_request> &info)
{
	std::string name;
	bool upper = true;

	for (const char *c = info.param.name; *c; c++) {
		if (isalnum(*c))
			name += upper ? (char)toupper(*c) : *c;
		upper = !isalnum(*c);
	}
	return name;
}

INSTANTIATE_TEST_SUITE_P(Framing, BadRequest, testing::ValuesIn(framing),
			 case_name);
INSTANTIATE_TEST_SUITE_P(Head, BadRequest, testing::ValuesIn(heads), case_name);
INSTANTIATE_TEST_SUITE_P(Target, BadRequest, testing::ValuesIn(targets),
			 case_name);

/*
 * Guards against a request that the daemon and an upstream read in different
 * ways: it is answered with 4xx (505 for another version), no success follows
 * on its connection, and no upstream sees it.
 */
TEST_P(BadRequest, IsRefusedAndNotForwarded)
{
	int64_t before = fleet->runs_count("started");
	Member &m = (*fleet)[0];
	std::string answer = answer_to(GetParam(), before);
	int status = raw_status(answer);

	EXPECT_TRUE(status / 100 == 4 || status == 505)
		<< answer.substr(0, 300);
	EXPECT_EQ(std::string::npos, answer.find("HTTP/1.1 200"));
	/* A later request shows that the bad one was not forwarded. */
	EXPECT_TRUE(http_get(m.url("/near/ok")).complete(200));
	EXPECT_TRUE(http_get(m.url("/far/ok")).complete(200));
	EXPECT_EQ(before + 2, fleet->runs_count("started"));
	ASSERT_TRUE(m.daemon->running()) << m.daemon->log();
}

/* Guards against a refusal that its caller cannot read. */
TEST_P(BadRequest, HasAReasonInJson)
{
	std::string answer =
		answer_to(GetParam(), fleet->runs_count("started"));
	size_t body = answer.find("\r\n\r\n");

	ASSERT_NE(std::string::npos, body);
	answer.erase(0, body + 4);
	EXPECT_NE("", json_member(answer, "error")) << answer;
	EXPECT_NE("", json_member(answer, "reason"));
}

/* Guards against a check that refuses valid requests. */
TEST_F(Smuggling, HarmlessRequestsPass)
{
	Member &m = (*fleet)[0];
	const std::string good[] = {
		get("/near/x"),
		get("/near/a..b/.c/..d"),
		get("/near/x?a=../..&b=%2F%00"),
		get("/near/%C3%A9%20"),
		get("/near/x;p=1,2/@:~!$&'()*+="),
		post("Content-Length: 1\r\n", "x"),
		post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"),
		post("Transfer-Encoding: Chunked\r\n", "0\r\n\r\n"),
		post("Content-Length: 0\r\nX-A: " + std::string(4000, 'a') +
			     "\r\n",
		     ""),
		"GET /near/x HTTP/1.0\r\n" + host + "\r\n",
	};

	for (const std::string &request : good) {
		RawSocket s(m.listen_port);

		s.send(request);
		EXPECT_EQ(200, raw_status(s.receive_answer()))
			<< request.substr(0, 100);
	}
}

/* Guards against pipelined answers that are out of order. */
TEST_F(Smuggling, PipelinedRequestsAreAnsweredInOrder)
{
	Member &m = (*fleet)[0];
	RawSocket s(m.listen_port);

	s.send(get("/far/x?bytes=5&seed=1&delay_us=30000") +
	       get("/near/x?bytes=5&seed=2") + get("/far/x?bytes=5&seed=3"));
	for (uint64_t seed = 1; seed <= 3; seed++) {
		std::string answer = s.receive_answer();

		EXPECT_EQ(200, raw_status(answer));
		EXPECT_EQ(pattern(5, seed), answer.substr(answer.size() - 5));
	}
}

/*
 * Guards against forwarded hop-by-hop headers: the upstream must neither see
 * nor act on headers that a caller sends for its connection to the daemon.
 */
TEST_F(Smuggling, HopByHopHeadersAreNotForwarded)
{
	Member &m = (*fleet)[0];
	HttpRequest rq;
	std::string seen;

	for (const char *path : { "/near/x?headers=1", "/far/x?headers=1" }) {
		rq.url = m.url(path);
		rq.headers = { "Connection: keep-alive, X-Private",
			       "X-Private: 1",
			       "Keep-Alive: timeout=5",
			       "TE: trailers",
			       "Upgrade: websocket",
			       "Proxy-Authorization: Basic YTpi",
			       "X-Public: 2" };
		seen = http(rq).json("headers");
		for (const char *name : { "X-Private", "Keep-Alive", "TE",
					  "Upgrade", "Proxy-Authorization" })
			EXPECT_EQ("", json_member(seen, name)) << name << seen;
		EXPECT_EQ("2", json_member(seen, "X-Public")) << seen;
	}
}

} // namespace
