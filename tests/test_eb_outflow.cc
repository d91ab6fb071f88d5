#include <gtest/gtest.h>

#include <deque>
#include <vector>

extern "C" {
#include "eb_outflow.h"
}

namespace
{

const int64_t GRANT = EB_OUTFLOW_GRANT_BYTES;

/* Answers that are read from the upstream as fast as they are granted. */
struct Outflow : testing::Test {
	eb_outflow of = {};
	std::vector<eb_outflow_stream> st = std::vector<eb_outflow_stream>(40);
	std::deque<size_t> link; /* calls of the grants on their way */
	int64_t link_bytes = 0;	 /* that it has sent of the first one */
	int64_t link_mbps = 0;
	int64_t now_us = 5000000;

	void init(uint32_t mbps, int64_t held_max = INT64_MAX)
	{
		link.clear();
		link_mbps = mbps;
		eb_outflow_init(&of, mbps, held_max);
	}
	void open(size_t i, int local = 0)
	{
		eb_outflow_open(&of, &st[i], local, now_us);
		send(&st[i]);
	}
	void send(eb_outflow_stream *s)
	{
		eb_outflow_sent(&of, s, GRANT);
		if (!s->local)
			link.push_back((size_t)(s - st.data()));
	}
	/* Sends what is granted now. */
	void run()
	{
		eb_outflow_stream *s;

		while ((s = eb_outflow_next(&of, now_us)))
			send(s);
	}
	/*
	 * Runs for a time in steps of 1 ms. The calls from `reading` on confirm
	 * what the link has brought them.
	 */
	void wait(int ms, size_t reading)
	{
		for (; ms > 0; ms--) {
			link_bytes += link_mbps * 125;
			while (!link.empty() && link_bytes >= GRANT) {
				size_t i = link.front();

				link.pop_front();
				link_bytes -= GRANT;
				if (i >= reading)
					eb_outflow_confirmed(&of, &st[i], GRANT,
							     now_us);
			}
			if (link.empty())
				link_bytes = 0;
			run();
			now_us += 1000;
		}
	}
};

/*
 * Guards against a queue of large answers in front of a short one that grows
 * with their number or size, and against a bound below two grants, at which the
 * link would be idle while the upstream is read.
 */
TEST_F(Outflow, LargeAnswersFillTheLinkForTenMilliseconds)
{
	const struct {
		uint32_t mbps;
		int64_t most;
	} cases[] = {
		{ 0, 1250000000 }, /* unknown: not paced */
		{ 10, 2 * GRANT }, { 13, 2 * GRANT }, { 60, 75000 },
		{ 200, 250000 },   { 1000, 1250000 },
	};

	for (const auto &c : cases) {
		init(c.mbps);
		for (auto &s : st)
			s = {};
		EXPECT_EQ(c.most, eb_outflow_queue_max_bytes(&of));
		open(0);
		open(1);
		for (int i = 0; i < 50; i++) {
			run();
			EXPECT_LE(of.queue_bytes, c.most) << c.mbps;
			now_us += 500;
		}
	}
}

/*
 * Guards against a loss of bandwidth: without any confirmation, as over a long
 * way, answers leave at the bandwidth of the link until their windows are full.
 * Then they wait, whatever the link could take.
 */
TEST_F(Outflow, LostConfirmationsStopOnlyTheirCall)
{
	init(13);
	open(0);
	wait(100, 1);
	/* 13 Mbit/s for 100 ms, and what the queue holds. */
	EXPECT_NEAR(13 * 125 * 100 + 2 * GRANT, (double)st[0].sent_bytes,
		    2 * GRANT);
	wait(1000, 1);
	EXPECT_EQ((uint64_t)EB_CREDIT_WINDOW_BYTES, st[0].sent_bytes);
	EXPECT_EQ(0, of.queue_bytes);
	EXPECT_EQ(INT64_MAX, eb_outflow_wake_us(&of));
	open(1);
	wait(1000, 1);
	EXPECT_NEAR(13 * 125 * 1000, (double)st[1].sent_bytes, 6 * GRANT);
	/* A confirmation that arrives late continues the call. */
	eb_outflow_confirmed(&of, &st[0], 65536, now_us);
	wait(200, 1);
	EXPECT_EQ((uint64_t)EB_CREDIT_WINDOW_BYTES + 65536, st[0].sent_bytes);
}

/*
 * Guards against calls that get more of the link than others, and against
 * readers that stop and keep their share.
 */
TEST_F(Outflow, ReadersShareTheLinkWhoeverStops)
{
	const size_t stopped = 5;

	init(20);
	for (size_t i = 0; i < 10; i++)
		open(i);
	/* In 2 s the link sends more than all windows. */
	wait(2000, stopped);
	std::vector<uint64_t> before;
	for (auto &s : st)
		before.push_back(s.sent_bytes);
	wait(2000, stopped);
	uint64_t sum = 0;
	for (size_t i = 0; i < 10; i++) {
		uint64_t n = st[i].sent_bytes - before[i];
		if (i < stopped)
			EXPECT_EQ(0u, n) << i;
		else
			EXPECT_NEAR(20 * 125 * 2000 / 5, (double)n, 2 * GRANT);
		sum += n;
	}
	EXPECT_NEAR(20 * 125 * 2000, (double)sum, 10 * GRANT);
}

/*
 * Guards against an answer to a caller of this daemon that waits for the link,
 * which it does not use, and against one that has no window.
 */
TEST_F(Outflow, LocalAnswersDoNotUseTheLink)
{
	init(10);
	open(0);
	open(1);
	open(2, 1);
	run();
	EXPECT_EQ((uint64_t)EB_CREDIT_WINDOW_BYTES, st[2].sent_bytes);
	EXPECT_LE(of.queue_bytes, 2 * GRANT);
}

/*
 * Guards against confirmations that count twice: for bytes that have already
 * left the link by time, bytes never sent, or a call that has ended.
 */
TEST_F(Outflow, ConfirmationsCountOnce)
{
	init(13);
	open(0);
	open(1);
	/* A link of 13 Mbit/s sends 16,250 bytes in 10 ms: those of call 0. */
	now_us += 10000;
	eb_outflow_confirmed(&of, &st[0], GRANT, now_us);
	EXPECT_NEAR(GRANT, (double)of.queue_bytes, 200);
	eb_outflow_confirmed(&of, &st[0], GRANT, now_us);
	EXPECT_NEAR(GRANT, (double)of.queue_bytes, 200);
	EXPECT_EQ(GRANT, of.held_bytes);
	eb_outflow_confirmed(&of, &st[1], UINT64_MAX, now_us);
	EXPECT_NEAR(0, (double)of.queue_bytes, 200);
	EXPECT_EQ(0, of.held_bytes);
	eb_outflow_close(&of, &st[0]);
	eb_outflow_confirmed(&of, &st[0], GRANT, now_us);
	EXPECT_EQ(0, of.held_bytes);
}

/*
 * Guards against bytes of an ended call that stay counted, and against bytes
 * on the link that are forgotten with their call.
 */
TEST_F(Outflow, EndedCallsLeaveWhatIsOnTheLink)
{
	init(10);
	open(0);
	ASSERT_EQ(&st[0], eb_outflow_next(&of, now_us)); /* and never sent */
	EXPECT_EQ(2 * GRANT, of.queue_bytes);
	eb_outflow_close(&of, &st[0]);
	EXPECT_EQ(GRANT, of.queue_bytes);
	EXPECT_EQ(0, of.held_bytes);
	EXPECT_EQ(0u, of.streams);
	open(1);
	EXPECT_EQ(nullptr, eb_outflow_next(&of, now_us));
	/* The next grant comes when eb_outflow_wake_us() says, not before. */
	now_us = eb_outflow_wake_us(&of) - 2000;
	EXPECT_EQ(nullptr, eb_outflow_next(&of, now_us));
	now_us += 2000;
	EXPECT_EQ(&st[1], eb_outflow_next(&of, now_us));
}

/* Guards against short answers that take the whole link from streamed ones. */
TEST_F(Outflow, ShortAnswersTakeAtMostHalfTheQueue)
{
	init(10);
	open(0);
	for (int i = 0; i < 1000; i++) {
		eb_outflow_other(&of, 16000, now_us);
		eb_outflow_confirmed(&of, &st[0], GRANT, now_us);
		run();
		now_us += 1000;
	}
	EXPECT_LE(of.other_bytes, GRANT);
	EXPECT_GT(st[0].sent_bytes, 500000u);
}

/*
 * Guards against a sum over all calls that grows past its bound, except for the
 * least windows, which origins of earlier versions need.
 */
TEST_F(Outflow, UnreadBytesOfAllCallsAreBounded)
{
	const struct {
		int64_t held_max;
		size_t calls;
		int64_t most;
	} cases[] = {
		{ INT64_MAX, 4, 4 * EB_CREDIT_WINDOW_BYTES },
		{ 2000000, 4, 4 * EB_CREDIT_WINDOW_BYTES },
		{ 2000000, 16, 2000000 },
		{ 2000000, 40, 40 * EB_OUTFLOW_WINDOW_MIN_BYTES },
	};

	for (const auto &c : cases) {
		init(1000, c.held_max);
		for (auto &s : st)
			s = {};
		for (size_t i = 0; i < c.calls; i++)
			open(i);
		wait(1000, c.calls);
		EXPECT_LE(of.held_bytes, c.most) << c.calls;
		EXPECT_GE(of.held_bytes, c.most - (int64_t)c.calls * GRANT);
	}
}

} // namespace
