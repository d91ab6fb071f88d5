#include <gtest/gtest.h>

#include <sstream>
#include <string>

extern "C" {
#include "eb_reconnect.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;

struct scenario {
	const char *guards;
	/* "dial", "ask", "answer", "restart" or "stall", at a time in ms. */
	const char *events;
	int at_ms;
	bool suspected;
	eb_reconnect_step expected;
};

const int WAIT_MS = EB_PEER_REPLACE_WAIT_MS;
const int REDIAL_MS = EB_PEER_SECOND_REDIAL_MS;

const scenario scenarios[] = {
	{ "each peer gets a second connection", "", 100, false,
	  EB_RECONNECT_WAIT },
	{ "a silent connection is believed until the peer is lost", "", 100,
	  true, EB_RECONNECT_DIAL },
	{ "the second connection is not asked", "dial 0", 10, true,
	  EB_RECONNECT_ASK },
	{ "it gets a heartbeat in each turn", "dial 0 ask 10", 20, true,
	  EB_RECONNECT_WAIT },
	{ "a heartbeat that is lost on it is its last", "dial 0 ask 10",
	  10 + EB_PEER_DIAL_HEARTBEAT_MS, true, EB_RECONNECT_ASK },
	{ "a second connection that is silent too is kept", "dial 0 ask 10",
	  REDIAL_MS, true, EB_RECONNECT_DIAL },
	{ "an answer on its way on the first connection is not awaited",
	  "dial 0 ask 10 answer 20", 20 + WAIT_MS - 1, true,
	  EB_RECONNECT_WAIT },
	{ "the connection is not replaced, or only after a later answer",
	  "dial 0 ask 10 answer 20 answer 60", 20 + WAIT_MS, true,
	  EB_RECONNECT_REPLACE },
	{ "after a stall, answers that wait unread are not awaited",
	  "dial 0 ask 10 answer 20 stall 400", 400 + WAIT_MS - 1, true,
	  EB_RECONNECT_WAIT },
	{ "a connection that works again, as after a pause, is replaced",
	  "dial 0 ask 10 answer 20", 20 + WAIT_MS, false, EB_RECONNECT_CLOSE },
	{ "answers of a daemon that has ended are awaited",
	  "dial 0 ask 10 restart 20", 20, true, EB_RECONNECT_REPLACE },
};

TEST(Reconnect, Scenarios)
{
	const int64_t start_us = 5000 * MS;

	for (const scenario &sc : scenarios) {
		eb_liveness_clock ck = {};
		eb_reconnect rc = {};
		std::istringstream events(sc.events);
		std::string what;
		int64_t at_us;

		eb_liveness_turn(&ck, start_us);
		while (events >> what >> at_us) {
			at_us = start_us + at_us * MS;
			if (what == "dial")
				eb_reconnect_dialled(&rc, at_us);
			else if (what == "ask")
				eb_reconnect_asked(&rc, at_us);
			else if (what == "stall")
				eb_liveness_turn(&ck, at_us);
			else
				eb_reconnect_answered(&rc, what == "restart",
						      at_us);
		}
		EXPECT_EQ(sc.expected,
			  eb_reconnect_next(&rc, &ck, sc.suspected,
					    start_us + sc.at_ms * MS))
			<< sc.guards;
	}
}

/*
 * Guards against times that add up to more than a second from the first lost
 * frame, with 200 ms for the handshake and answer on the second connection.
 */
TEST(Reconnect, ASilentConnectionIsReplacedWithinASecond)
{
	EXPECT_GE(1000, EB_PEER_CHECK_AGAIN_MS + EB_PEER_SUSPECT_MS + 200 +
				EB_PEER_REPLACE_WAIT_MS + 4 * EB_CORE_TICK_MS);
}

} // namespace
