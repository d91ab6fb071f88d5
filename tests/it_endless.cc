#include <gtest/gtest.h>

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>

#include "site.h"

namespace
{

/* What a daemon may hold for bytes that are no answer. */
const long GROWTH_MAX_KB = 32768;

/* A way in which a server sends bytes that are no answer, without end. */
struct endless_case {
	const char *name;
	const char *first; /* sent once; %s stands for the headers */
	const char *more;  /* sent again and again */
};

const endless_case cases[] = {
	{ "no line end", "", "x" },
	{ "status line", "HTTP/1.1 200 ", "OK " },
	{ "header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
	{ "header line", "HTTP/1.1 200 OK\r\nA: ", "b" },
	{ "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
	{ "chunk size", "HTTP/1.1 200 OK\r\n%s\r\n", "0" },
	{ "chunk extension", "HTTP/1.1 200 OK\r\n%s\r\n5;", "a" },
	{ "chunk extension after content",
	  "HTTP/1.1 200 OK\r\n%s\r\n5\r\nwhole\r\n5;", "a" },
	{ "trailer lines", "HTTP/1.1 200 OK\r\n%s\r\n5\r\nwhole\r\n0\r\n",
	  "A: b\r\n" },
	{ "trailer line",
	  "HTTP/1.1 200 OK\r\n%s\r\n5\r\nwhole\r\n0\r\nA: ", "b" },
	{ "chunks", "HTTP/1.1 200 OK\r\n%s\r\n", "1\r\nx\r\n" },
};

/* Sends a case until the peer closes; the time between parts in ms. */
void send_endless(SiteConnection &cn, const endless_case &c,
		  const std::string &headers, int pause_ms)
{
	std::string first = c.first, part;
	size_t at = first.find("%s");

	if (at != std::string::npos)
		first.replace(at, 2, headers);
	cn.write(first);
	while (part.size() < (pause_ms ? 1 : 65536))
		part += c.more;
	while (!cn.closed()) {
		cn.write(part);
		std::this_thread::sleep_for(
			std::chrono::milliseconds(pause_ms));
	}
}

std::string chunked_head(const SiteRequest &rq)
{
	return "Ebonypier-Request-Id: " + rq.header("ebonypier-request-id") +
	       "\r\nEbonypier-Response-Stamp: 1.2\r\n"
	       "Transfer-Encoding: chunked\r\n";
}

/* Peak resident memory of a process in KB. */
long peak_kb(pid_t pid)
{
	std::ifstream in("/proc/" + std::to_string(pid) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (line.rfind("VmHWM:", 0) == 0)
			return atol(line.c_str() + 6);
	return 0;
}

struct Endless : testing::Test {
	Site site{ { "near", "near", "far" } };

	void SetUp() override
	{
		site.start_all();
	}
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}
	int active()
	{
		int n = 0;

		for (auto &up : site.upstreams)
			n += up->active();
		return n;
	}
	int runs(const std::string &id)
	{
		int n = 0;

		for (auto &up : site.upstreams)
			n += up->runs(id);
		return n;
	}
};

/*
 * Guards against a server that never stops sending: it must not fill the
 * daemon's memory, keep its slot, leave its connection in use or make its
 * caller wait past the deadline or believe in a whole answer. A request that
 * must not repeat runs once, and its outcome is not called not-run.
 */
TEST_F(Endless, BytesThatAreNoAnswerEndTheCall)
{
	int n = 0;

	for (const endless_case &c : cases)
		for (int pause_ms : { 0, 20 }) {
			std::string id = "endless-" + std::to_string(n++);
			std::string path = "/near/once/" + id;
			long before[] = { peak_kb(site.daemons[0]->pid()),
					  peak_kb(site.daemons[1]->pid()) };

			SCOPED_TRACE(std::string(c.name) +
				     (pause_ms ? ", slowly" : ""));
			for (auto &up : site.upstreams)
				up->on(path, [&](SiteConnection &cn,
						 const SiteRequest &rq) {
					send_endless(cn, c, chunked_head(rq),
						     pause_ms);
				});
			HttpAnswer a = site.send(0, "POST", path, id, "", 1500);

			EXPECT_FALSE(a.complete(200));
			for (int status : { 408, 421, 429, 503 })
				EXPECT_NE(status, a.status);
			EXPECT_NE("not-run", a.outcome());
			EXPECT_EQ(1, runs(id));
			wait_until("the connection is closed",
				   [&] { return active() == 0; });
			for (size_t i = 0; i < 2; i++)
				EXPECT_GT(GROWTH_MAX_KB,
					  peak_kb(site.daemons[i]->pid()) -
						  before[i]);
			/* The slot and a new connection serve the next call. */
			EXPECT_EQ(200, site.send(0, "GET", "/near/ok", id + "k")
					       .status);
		}
}

/*
 * Guards against good calls that are lost or changed while many servers'
 * answers never end. Prints the latency of the good calls in us; the machine
 * decides about that, so no bound is checked.
 */
TEST_F(Endless, GoodCallsAreServedBesideThem)
{
	const int callers = 32;
	const size_t kinds = sizeof(cases) / sizeof(cases[0]);
	std::vector<std::thread> threads;
	std::vector<int64_t> took_us;
	std::atomic<int> left{ callers };
	long before = peak_kb(site.daemons[0]->pid());

	for (int n = 0; n < callers; n++)
		for (auto &up : site.upstreams)
			up->on("/bad-" + std::to_string(n) + "/",
			       [n](SiteConnection &cn, const SiteRequest &rq) {
				       send_endless(cn, cases[n % kinds],
						    chunked_head(rq),
						    n % 2 * 10);
			       });
	for (int n = 0; n < callers; n++)
		threads.emplace_back([&, n] {
			std::string id = "bad-" + std::to_string(n);
			HttpAnswer a =
				site.send(0, "POST", "/near/once/" + id + "/x",
					  id, "", 2000);

			EXPECT_FALSE(a.complete(200)) << id;
			EXPECT_GE(1, runs(id)) << id;
			left--;
		});
	for (int i = 0; left > 0 || i < 50; i++) {
		auto from = std::chrono::steady_clock::now();
		HttpAnswer a = site.send(0, "GET", "/far/ok",
					 "good-" + std::to_string(i));

		took_us.push_back(
			std::chrono::duration_cast<std::chrono::microseconds>(
				std::chrono::steady_clock::now() - from)
				.count());
		EXPECT_TRUE(a.complete(200)) << a.status << a.body;
	}
	for (std::thread &t : threads)
		t.join();
	std::sort(took_us.begin(), took_us.end());
	printf("%zu good calls beside %d endless answers: p50 %ld us, p99 %ld "
	       "us\n",
	       took_us.size(), callers, (long)took_us[took_us.size() / 2],
	       (long)took_us[took_us.size() * 99 / 100]);
	EXPECT_GT(GROWTH_MAX_KB, peak_kb(site.daemons[0]->pid()) - before);
	wait_until("the connections are closed", [&] { return active() == 0; });
}

/*
 * Guards against a store that never stops sending: the daemons serve on with
 * what they have, in bounded memory, and read the store again once it answers.
 */
TEST_F(Endless, AStoreWithoutEndIsReadLater)
{
	for (const endless_case &c : cases) {
		long before = peak_kb(site.daemons[0]->pid());
		int calls = site.store->calls();

		SCOPED_TRACE(c.name);
		site.store->set_endless([&](SiteConnection &cn) {
			send_endless(cn, c, "Transfer-Encoding: chunked\r\n",
				     0);
		});
		wait_until("calls to the store",
			   [&] { return site.store->calls() > calls + 1; });
		EXPECT_EQ(200, site.send(0, "GET", "/near/ok", c.name).status);
		site.store->set_endless(nullptr);
		EXPECT_GT(GROWTH_MAX_KB,
			  peak_kb(site.daemons[0]->pid()) - before);
	}
	site.publish(2, site.route("late", "/late/", "safe", "near"));
	site.wait_status(0, "/late/x", 200);
	site.wait_status(1, "/late/x", 200);
}

} // namespace
