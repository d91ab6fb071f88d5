#include <gtest/gtest.h>

#include <signal.h>
#include <sys/socket.h>

#include <thread>

#include "site.h"

extern "C" {
#include "eb_tool_http.h"
}

namespace
{

/*
 * Raw answers of upstreams over real daemons. Callers use the daemon of machine
 * 0; `near` is its own upstream, `far` that of machine 1.
 */
struct Untrusted : testing::Test {
	Site site{ { "near", "far" } };

	void SetUp() override
	{
		site.start_all();
	}
	void TearDown() override
	{
		if (HasFailure())
			site.print_logs();
	}
	void on(const std::string &part, SiteUpstream::Run run)
	{
		for (auto &up : site.upstreams)
			up->on(part, run);
	}
	int runs(const std::string &id)
	{
		return site.upstreams[0]->runs(id) +
		       site.upstreams[1]->runs(id);
	}
	/* The head of a request to machine 0 with a version of HTTP. */
	std::string head(const std::string &version, const std::string &method,
			 const std::string &path, const std::string &more = "")
	{
		std::string out = site.head(method, path, path, more);

		out.replace(out.find("HTTP/1.1"), 8, version);
		return out;
	}
};

/* Paths through the caller's own daemon only, and through another one. */
const std::string services[] = { "/near/once/", "/far/once/" };

std::string id_line(const SiteRequest &rq)
{
	return "Ebonypier-Request-Id: " + rq.header("ebonypier-request-id") +
	       "\r\n";
}

/*
 * Guards against an answer without a usable status that is passed on: its
 * caller could take 200a for 200, or 600 for a status of its own.
 */
TEST_F(Untrusted, OnlyThreeDigitsFrom100To599AreAStatus)
{
	const struct {
		const char *line;
		long status; /* 0: none */
	} cases[] = { { "HTTP/1.1 000 A", 0 },	{ "HTTP/1.1 099 A", 0 },
		      { "HTTP/1.1 600 A", 0 },	{ "HTTP/1.1 999 A", 0 },
		      { "HTTP/1.1 1000 A", 0 }, { "HTTP/1.1 2000 A", 0 },
		      { "HTTP/1.1 20 A", 0 },	{ "HTTP/1.1 2x0 A", 0 },
		      { "HTTP/1.1 -200 A", 0 }, { "HTTP/1.1 200a", 0 },
		      { "HTTP/1.1  200 A", 0 }, { "HTTP/1.1\t200 A", 0 },
		      { "HTTP/1.1 200\tA", 0 }, { "HTTP/1.1 ", 0 },
		      { "HTTP/2 200 A", 0 },	{ "HTTP/1.10 200 A", 0 },
		      { "http/1.1 200 A", 0 },	{ "HTTP/1.1 200", 200 },
		      { "HTTP/1.1 200 ", 200 }, { "HTTP/1.0 200 A", 200 },
		      { "HTTP/1.1 599 A", 599 } };
	int n = 0;

	for (const auto &c : cases) {
		for (size_t i = 0; i < 2; i++) {
			std::string path =
				services[i] + "status-" + std::to_string(n++);
			double before =
				site.metric(i, "upstream_bad_status_total");
			HttpAnswer a;

			SCOPED_TRACE(std::string(c.line) + " " + path);
			on(path,
			   [&](SiteConnection &cn, const SiteRequest &rq) {
				   cn.write(std::string(c.line) + "\r\n" +
					    id_line(rq) +
					    "Content-Length: 2\r\n\r\nok");
				   shutdown(cn.fd(), SHUT_WR);
			   });
			a = site.send(0, "POST", path, path);
			EXPECT_EQ(c.status ? c.status : 502, a.status);
			EXPECT_EQ(c.status ? "ran" : "unknown", a.outcome());
			EXPECT_EQ(before + !c.status,
				  site.metric(i, "upstream_bad_status_total"));
			EXPECT_EQ(1, runs(path));
		}
	}
}

/*
 * Guards against a store's answer with such a status that is used, and against
 * its loss in the metrics.
 */
TEST_F(Untrusted, TheStoreNeedsAStatusToo)
{
	for (const char *line : { "HTTP/1.1 200a", "HTTP/1.1 600 A" }) {
		double before = site.metric(0, "platform_bad_status_total");

		site.store->set_endless([&](SiteConnection &cn) {
			cn.write(std::string(line) +
				 "\r\nContent-Length: 2\r\n\r\n{}");
		});
		wait_until("the count", [&] {
			return site.metric(0, "platform_bad_status_total") >
			       before + 1;
		});
		EXPECT_EQ(200, site.send(0, "GET", "/near/x", line).status);
		site.store->set_endless(nullptr);
	}
	site.publish(2, site.route("late", "/late/", "safe", "near"));
	site.wait_status(0, "/late/x", 200);
}

/* Guards against an admin client that takes such an answer for a success. */
TEST(UntrustedAdmin, TheClientNeedsAStatusToo)
{
	for (const char *line :
	     { "HTTP/1.1 200a", "HTTP/1.1 600 A", "HTTP/1.1 099 A" }) {
		uint16_t port = free_port();
		SiteServer server("127.0.0.1", port, [&](SiteConnection &cn) {
			SiteRequest rq;

			cn.read(rq);
			cn.write(std::string(line) +
				 "\r\nContent-Length: 2\r\n\r\n{}");
		});
		eb_tool_request *rq = (eb_tool_request *)calloc(1, sizeof(*rq));

		rq->address = server.address.c_str();
		EXPECT_EQ(0, eb_tool_http_run(rq, 1, "GET", "/status")) << line;
		EXPECT_STREQ("answered without a valid status", rq->error);
		eb_tool_http_free(rq, 1);
	}
}

/* How an answer to a caller that speaks HTTP/1.0 breaks off. */
enum break_off {
	UPSTREAM_RESETS,
	UPSTREAM_DAEMON_DIES,
	ORIGIN_DIES,
	ORIGIN_STOPS,
	CALLER_HALF_CLOSES,
	NOTHING, /* the answer is whole */
};

/*
 * Guards against an answer that looks complete, as it ends with an orderly end
 * of the connection: that is how HTTP/1.0 delimits an answer without a length.
 */
TEST_F(Untrusted, AnAnswerThatBreaksOffEndsWithAReset)
{
	const struct {
		const char *name;
		break_off how;
	} cases[] = {
		{ "upstream resets", UPSTREAM_RESETS },
		{ "upstream's daemon dies", UPSTREAM_DAEMON_DIES },
		{ "caller half-closes", CALLER_HALF_CLOSES },
		{ "whole", NOTHING },
		{ "origin dies", ORIGIN_DIES },
		{ "origin stops", ORIGIN_STOPS },
	};
	int n = 0;

	for (const auto &c : cases)
		for (size_t i = 0; i < 2; i++) {
			std::string path =
				services[i] + "cut-" + std::to_string(n++);
			std::atomic<bool> sent{ false }, broken{ false };
			RawSocket s(site.listen_port(), 4096, site.ip(0));
			std::string got;

			if (c.how == UPSTREAM_DAEMON_DIES && !i)
				continue;
			SCOPED_TRACE(c.name + path);
			on(path, [&](SiteConnection &cn,
				     const SiteRequest &rq) {
				cn.write("HTTP/1.1 200 OK\r\n" + id_line(rq) +
					 "\r\n" + std::string(40000, 'x'));
				sent = true;
				if (c.how == NOTHING) {
					shutdown(cn.fd(), SHUT_RDWR);
					return;
				}
				wait_until("the break", [&] {
					return broken || cn.closed();
				});
				cn.reset();
			});
			ASSERT_TRUE(s.send(head("HTTP/1.0", "POST", path)));
			wait_until("the answer",
				   [&] { return sent && s.readable(); });
			switch (c.how) {
			case UPSTREAM_DAEMON_DIES:
				site.daemons[1]->kill();
				break;
			case ORIGIN_DIES:
				site.daemons[0]->kill();
				break;
			case ORIGIN_STOPS:
				site.daemons[0]->stop();
				break;
			case CALLER_HALF_CLOSES:
				s.finish_sending();
				break;
			default:
				break;
			}
			broken = c.how == UPSTREAM_RESETS;
			got = s.receive_all();
			EXPECT_EQ(c.how != NOTHING, s.was_reset());
			if (c.how == NOTHING) {
				EXPECT_EQ(40000, got.size() -
							 got.find("\r\n\r\n") -
							 4);
			}
			for (size_t k = 0; k < 2; k++)
				if (!site.daemons[k]->running())
					site.start_daemon(k);
			site.wait_status(0, "/near/x", 200);
			site.wait_status(0, "/far/x", 200);
		}
}

/* Sends `bytes` of a body in 20 parts. Returns whether all were taken. */
bool upload(RawSocket &s, size_t bytes, int pause_ms)
{
	std::string part(bytes / 20 + 1, 'x');

	for (size_t at = 0; at < bytes; at += part.size()) {
		if (!s.send(part.substr(0, bytes - at)))
			return false;
		sleep_ms(pause_ms);
	}
	return true;
}

/* How an early answer without a length ends, and an upload during it. */
struct early_case {
	const char *version; /* of the caller */
	std::string service;
	size_t bytes;
	int pause_ms;
};

struct Early : Untrusted {
	int n = 0;

	/*
	 * Uploads to an upstream that answers at once with this status and a
	 * part of a body without a length, and then does `end`. Sets `got` to
	 * what the caller receives; returns whether it is complete.
	 */
	bool run(const early_case &c, const char *status,
		 std::function<void(SiteConnection &)> end, std::string &got)
	{
		std::string path = c.service + "early-" + std::to_string(n++);
		RawSocket s(site.listen_port(), 0, site.ip(0));
		bool sent = true, complete;

		on(path, [&](SiteConnection &cn, const SiteRequest &rq) {
			cn.write(std::string("HTTP/1.1 ") + status + " A\r\n" +
				 id_line(rq) + "\r\npart");
			sleep_ms(20);
			end(cn);
		});
		s.send(head(c.version, "POST", path,
			    "Connection: close\r\nContent-Length: " +
				    std::to_string(c.bytes) + "\r\n"));
		std::thread up([&] { sent = upload(s, c.bytes, c.pause_ms); });
		got = s.receive_all();
		up.join();
		EXPECT_EQ(1, runs(path));
		if (raw_status(got) != atoi(status))
			return false;
		/* A reset is reported once, by the read or by the write. */
		complete = c.version[7] == '0' ? !s.was_reset() && sent
					       : got.find("\r\n0\r\n\r\n") !=
							 std::string::npos;
		return complete && got.find("part") != std::string::npos;
	}
	void for_all(std::function<void(const early_case &)> check)
	{
		for (const std::string &service : services)
			for (size_t bytes : { 0, 300000, 8000000 })
				for (int pause_ms : { 0, 10 })
					for (const char *version :
					     { "HTTP/1.0", "HTTP/1.1" }) {
						SCOPED_TRACE(
							version + service +
							std::to_string(bytes) +
							" " +
							std::to_string(
								pause_ms));
						check({ version, service, bytes,
							pause_ms });
					}
	}
};

/*
 * Guards against an answer without a length that looks complete, though its
 * upstream reset the connection, also while the request was being written.
 */
TEST_F(Early, ResetAnswersNeverLookComplete)
{
	for_all([&](const early_case &c) {
		std::string got;

		EXPECT_FALSE(run(
			c, "200", [](SiteConnection &cn) { cn.reset(); }, got))
			<< got;
	});
}

/*
 * Guards against a 2xx that looks complete, though its upstream closed the
 * connection without reading the request, and against one that is cut, though
 * the request had been sent. Of the fast upload of 300 KB, all may be sent.
 */
TEST_F(Early, AnswersThatEndDuringTheUploadAreCut)
{
	for_all([&](const early_case &c) {
		std::string got;
		bool complete = run(
			c, "200",
			[](SiteConnection &cn) { shutdown(cn.fd(), SHUT_WR); },
			got);

		if (c.bytes != 300000 || c.pause_ms) {
			EXPECT_EQ(!c.bytes, complete) << got;
		}
	});
}

/*
 * Guards against the loss of an error answer whose upstream takes no more of
 * the upload.
 */
TEST_F(Early, ErrorsThatEndInOrderAreDelivered)
{
	for_all([&](const early_case &c) {
		std::string got;

		EXPECT_TRUE(run(
			c, "413",
			[](SiteConnection &cn) {
				char buf[65536];

				shutdown(cn.fd(), SHUT_WR);
				while (recv(cn.fd(), buf, sizeof(buf), 0) > 0)
					;
			},
			got))
			<< got;
	});
}

/*
 * Guards against bytes after an answer that become the answer to the next
 * request on the connection, or part of this one.
 */
TEST_F(Untrusted, BytesAfterAnAnswerReachNobody)
{
	const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n";
	const struct {
		const char *name, *method;
		std::string head, more;
		int status;
		std::string body;
	} cases[] = {
		{ "1xx after the final answer", "POST",
		  "200 OK\r\nContent-Length: 2\r\n",
		  "okHTTP/1.1 102 Processing\r\n\r\n", 200, "ok" },
		{ "204 with a body", "POST", "204 A\r\nContent-Length: 7\r\n",
		  "foreign", 204, "" },
		{ "204 with chunks", "POST",
		  "204 A\r\nTransfer-Encoding: chunked\r\n",
		  "7\r\nforeign\r\n0\r\n\r\n", 204, "" },
		{ "304 with a body", "GET", "304 A\r\nContent-Length: 7\r\n",
		  "foreign", 304, "" },
		{ "HEAD with a body", "HEAD", "200 A\r\nContent-Length: 7\r\n",
		  "foreign", 200, "" },
		{ "two answers", "POST", "200 OK\r\nContent-Length: 2\r\n",
		  "ok" + other + "%s\r\nforeign", 200, "ok" },
	};
	int n = 0;

	for (const auto &c : cases)
		for (const std::string &service : services)
			for (int split_ms : { 0, 30 }) {
				std::string path = service + "after-" +
						   std::to_string(n++);
				RawSocket s(site.listen_port(), 0, site.ip(0));
				std::atomic<bool> written{ false };
				std::string got;

				SCOPED_TRACE(c.name + path);
				on(path, [&](SiteConnection &cn,
					     const SiteRequest &rq) {
					std::string more = c.more;
					size_t at = more.find("%s");

					cn.read_body(
						const_cast<SiteRequest &>(rq));
					/* The id of the next request. */
					if (at != std::string::npos)
						more.replace(
							at, 2,
							"Ebonypier-Request-Id:"
							" next-" +
								path + "\r\n");
					cn.write("HTTP/1.1 " + c.head +
						 id_line(rq) + "\r\n" +
						 (split_ms ? "" : more));
					sleep_ms(split_ms);
					if (split_ms)
						cn.write(more);
					written = true;
				});
				s.send(head("HTTP/1.1", c.method, path));
				got = s.receive_answer(c.body.empty());
				EXPECT_EQ(c.status, raw_status(got));
				EXPECT_EQ(std::string::npos,
					  got.find("foreign"));
				/* What comes after the next request may answer
				 * it. */
				wait_until("all bytes",
					   [&] { return written.load(); });
				sleep_ms(20);
				HttpAnswer a =
					site.send(0, "POST", service + "plain",
						  "next-" + path);
				EXPECT_NE("foreign", a.body);
				EXPECT_EQ(200, a.status);
			}
}

/*
 * The same without request ids, by which the platform's upstreams tell their
 * answers apart.
 */
TEST(UntrustedPlain, ASecondAnswerReachesNobody)
{
	Fleet fleet;
	std::atomic<int> written{ 0 };

	fleet.start();
	fleet[0].upstream->kill();
	SiteServer upstream(
		"127.0.0.1", fleet[0].upstream_port, [&](SiteConnection &cn) {
			const std::string head = "HTTP/1.1 200 OK\r\n"
						 "Content-Length: 7\r\n\r\n";
			SiteRequest rq;

			while (cn.read(rq)) {
				cn.write(head);
				sleep_ms(30);
				cn.write("correct" + head + "foreign");
				written++;
			}
		});
	wait_until("an answer", [&] {
		return http_post(fleet[0].url("/agenda/x"), "").complete(200);
	});
	for (int i = 0; i < 5; i++) {
		int before = written;
		HttpAnswer a = http_post(fleet[0].url("/agenda/x"), "");

		EXPECT_TRUE(a.complete(200)) << a.status;
		EXPECT_EQ("correct", a.body);
		wait_until("the second answer",
			   [&] { return written > before; });
		sleep_ms(20);
	}
}

} // namespace
