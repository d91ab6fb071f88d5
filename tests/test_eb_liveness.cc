#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_liveness.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;

struct scenario {
	const char *guards;
	/* "ask", "hear" or "stall", each at a time in milliseconds. */
	std::vector<std::pair<const char *, int>> events;
	int at_ms;
	eb_liveness_state expected;
};

const scenario scenarios[] = {
	{ "a peer without an unanswered heartbeat is suspected",
	  {},
	  60000,
	  EB_LIVENESS_ALIVE },
	{ "a peer is suspected within a round trip and a scheduling delay",
	  { { "ask", 0 } },
	  EB_PEER_SUSPECT_MS - 1,
	  EB_LIVENESS_ALIVE },
	{ "a peer that is cut off keeps getting new requests",
	  { { "ask", 0 } },
	  EB_PEER_SUSPECT_MS,
	  EB_LIVENESS_SUSPECTED },
	{ "later heartbeats delay the suspicion",
	  { { "ask", 0 }, { "ask", 200 } },
	  EB_PEER_SUSPECT_MS,
	  EB_LIVENESS_SUSPECTED },
	{ "a peer that answers late stays suspected",
	  { { "ask", 0 }, { "hear", 900 } },
	  1000,
	  EB_LIVENESS_ALIVE },
	{ "a peer that stays unresponsive is never lost",
	  { { "ask", 0 } },
	  EB_PEER_LOST_MS,
	  EB_LIVENESS_LOST },
	{ "a stall of this process makes all its peers suspected",
	  { { "ask", 0 }, { "stall", 400 } },
	  450,
	  EB_LIVENESS_ALIVE },
	{ "a peer without an answer after a stall is not suspected",
	  { { "ask", 0 }, { "stall", 400 } },
	  400 + EB_PEER_SUSPECT_MS,
	  EB_LIVENESS_SUSPECTED },
};

TEST(Liveness, Scenarios)
{
	for (const scenario &sc : scenarios) {
		const int64_t start_us = 5000 * MS;
		eb_liveness_clock ck = {};
		eb_liveness si = {};

		eb_liveness_received(&si, start_us);
		eb_liveness_turn(&ck, start_us);
		for (const auto &ev : sc.events) {
			int64_t at_us = start_us + ev.second * MS;

			if (std::string(ev.first) == "ask")
				eb_liveness_heartbeat_sent(&si, at_us);
			else if (std::string(ev.first) == "hear")
				eb_liveness_received(&si, at_us);
			else
				eb_liveness_turn(&ck, at_us);
		}
		EXPECT_EQ(sc.expected,
			  eb_liveness_get(&si, &ck, start_us + sc.at_ms * MS))
			<< sc.guards;
	}
}

/*
 * Guards against a heartbeat for each call, and against a call without any
 * answer that causes no heartbeat.
 */
TEST(Liveness, OnlyCallsWithoutAnyFrameSinceCauseAHeartbeat)
{
	const struct {
		const char *name;
		int heard_ms, sent_ms, now_ms;
		bool asked, due;
	} cases[] = {
		{ "sent just now", 0, 100, 100 + EB_PEER_CHECK_MS - 1, false,
		  false },
		{ "nothing received since", 0, 100, 100 + EB_PEER_CHECK_MS,
		  false, true },
		{ "another call was answered", 150, 100, 100 + EB_PEER_CHECK_MS,
		  false, false },
		{ "another call was answered, but long ago", 150, 100,
		  150 + EB_PEER_CHECK_AGAIN_MS, false, true },
		{ "heartbeat sent already", 0, 100, 100 + EB_PEER_CHECK_MS,
		  true, false },
	};

	for (const auto &c : cases) {
		eb_liveness si = {};

		eb_liveness_received(&si, c.heard_ms * MS);
		if (c.asked)
			eb_liveness_heartbeat_sent(&si, c.sent_ms * MS);
		EXPECT_EQ(c.due, eb_liveness_check_due(&si, c.sent_ms * MS,
						       c.now_ms * MS) != 0)
			<< c.name;
	}
}

/*
 * Guards against a start of hundreds of daemons at once in which each sends all
 * others heartbeats faster than they can be answered. Without an answer, twenty
 * a second left for each peer before.
 */
TEST(Liveness, HeartbeatsToAPeerThatDoesNotAnswerBecomeRare)
{
	const struct {
		uint32_t sent;
		int64_t interval_ms;
	} cases[] = {
		{ 0, EB_PEER_DIAL_HEARTBEAT_MS },
		{ 1, 2 * EB_PEER_DIAL_HEARTBEAT_MS },
		{ 2, 4 * EB_PEER_DIAL_HEARTBEAT_MS },
		{ 10, EB_PEER_HEARTBEAT_MS },
		{ UINT32_MAX, EB_PEER_HEARTBEAT_MS },
	};
	int64_t at_ms = 0;
	uint32_t in_4_s = 0;

	for (const auto &c : cases)
		EXPECT_EQ(c.interval_ms, eb_liveness_dial_interval_ms(c.sent))
			<< c.sent;
	for (; at_ms < EB_PEER_LOST_MS; in_4_s++)
		at_ms += eb_liveness_dial_interval_ms(in_4_s);
	EXPECT_GE(10u, in_4_s);
}

/*
 * Guards against daemons that all take the place of one reader, since they
 * count peers that were just asked, or never, as silent.
 */
TEST(Liveness, APeerIsSilentOnceItHadTimeToAnswer)
{
	const struct {
		const char *name;
		int64_t asked_ms; /* before now; -1: never */
		uint8_t suspected;
		int up, silent;
	} cases[] = {
		{ "never asked", -1, 0, 0, 0 },
		{ "just asked", 1, 0, 0, 0 },
		{ "asked, no answer", EB_PEER_SUSPECT_MS, 0, 0, 1 },
		{ "it answers", EB_PEER_SUSPECT_MS - 1, 0, 1, 0 },
		{ "suspected", EB_PEER_SUSPECT_MS, 1, 1, 1 },
	};
	int64_t now = 9000 * MS;

	for (const auto &c : cases) {
		eb_liveness si = {};

		si.asked_us = c.asked_ms < 0 ? 0 : now - c.asked_ms * MS;
		si.suspected = c.suspected;
		EXPECT_EQ(c.silent, eb_liveness_is_silent(&si, c.up, now))
			<< c.name;
	}
}

/*
 * Guards against a pause of this process that is not detected: heartbeats from
 * before the pause would then end all calls.
 */
TEST(Liveness, PausesAreDetected)
{
	eb_liveness_clock ck = {};

	EXPECT_EQ(0, eb_liveness_turn(&ck, 9000 * MS));
	EXPECT_EQ(0, eb_liveness_turn(&ck, 9100 * MS));
	EXPECT_EQ(1, eb_liveness_turn(&ck, 12000 * MS));
}

} // namespace
