#include <gtest/gtest.h>

#include <algorithm>

#include "harness.h"

namespace
{

/*
 * Guards against copies that daemons do not send, or that gates or upstreams
 * answer wrongly: with one upstream far slower than the others, callers get the
 * answer of a copy, and the cancelled runs leave nothing behind.
 */
TEST(Hedging, CopiesAnswerForASlowUpstream)
{
	FleetOptions op;

	op.services = { { "agenda", 4 } };
	op.regions = { "santiago" };
	op.service_us = 20000;
	op.daemon_flags = { "--hedge-permille=100" };
	Fleet fleet(op);
	fleet.start();
	Member &origin = fleet[0];
	HttpClient client;

	for (int i = 0; i < 120; i++)
		ASSERT_TRUE(client.get(origin.url("/agenda/x")).complete(200));
	EXPECT_EQ(120, origin.metric("copy_requests_total"));
	fleet[0].fault("{\"slow\":50}");
	for (int i = 0; i < 200 && origin.metric("copies_won_total") < 1; i++) {
		int64_t from_us = now_us();

		ASSERT_TRUE(client.get(origin.url("/agenda/x")).complete(200));
		if (origin.metric("copies_won_total") >= 1) {
			EXPECT_GT(500000, now_us() - from_us);
		}
	}
	EXPECT_LE(1, origin.metric("copies_won_total"));
	EXPECT_LE(origin.metric("copies_sent_total"),
		  3 + origin.metric("copy_requests_total") / 10);
	fleet[0].fault("{}");
	wait_until("no active calls", [&] {
		return std::all_of(fleet.members.begin(), fleet.members.end(),
				   [](const Member &m) {
					   return !m.metric("calls_active");
				   });
	});
}

} // namespace
