#include <gtest/gtest.h>

#include "harness.h"

namespace
{

/*
 * Guards against a caller that stops reading a large answer and thereby delays
 * the other callers of the same gate, or holds its run and memory for as long
 * as its connection is open. The link is narrow and the bound of bytes is
 * small.
 */
TEST(Answers, AReaderThatStopsDelaysNobodyAndIsGivenUp)
{
	FleetOptions op;

	op.services = { { "near" }, { "far" } };
	op.slots = 4;
	op.daemon_flags = { "--link-mbps=13", "--answers-max-mb=4",
			    "--answer-unread-ms=3000" };
	Fleet fleet(op);
	fleet.start();
	Member &near = fleet[0], &far = fleet[1];
	const std::string unread = "answers_abandoned_total{reason=\"unread\"}";
	auto stopped = [&] {
		auto s = std::make_unique<RawSocket>(near.listen_port);

		s->send("GET /far/x?bytes=100000000 HTTP/1.1\r\n"
			"Host: a\r\n\r\n");
		wait_until("the answer's head", [&] { return s->readable(); });
		return s;
	};

	wait_until("the service",
		   [&] { return http_get(near.url("/far/x")).complete(200); });
	std::unique_ptr<RawSocket> first = stopped(), second = stopped();
	wait_until("the end of the credit", [&] {
		return far.metric("answers_in_flight_bytes") > 300000;
	});
	for (int i = 0; i < 5; i++) {
		HttpAnswer a = http_get(near.url("/far/x?bytes=300000"));

		EXPECT_TRUE(a.complete(200));
		EXPECT_EQ(300000u, a.body_bytes);
		EXPECT_TRUE(http_get(near.url("/far/x")).complete(200));
	}
	EXPECT_LE(near.metric("answers_held_bytes"), 2e6);
	EXPECT_LE(far.metric("answers_in_flight_bytes"), 2e6);
	wait_until("the end of the unread answers",
		   [&] { return near.metric(unread) == 2; });
	wait_until("the end of the calls", [&] {
		return !near.metric("calls_active") &&
		       !far.metric("calls_active");
	});
	EXPECT_EQ(2, far.runs_count("cut"));
	EXPECT_EQ(0, near.metric("answers_held_bytes"));
	wait_until("the end of the flow",
		   [&] { return !far.metric("answers_in_flight_bytes"); });
}

} // namespace
