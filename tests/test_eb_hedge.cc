#include <gtest/gtest.h>

#include <functional>

extern "C" {
#include "eb_frame.h"
#include "eb_hedge.h"
}

namespace
{

const int64_t MS = 1000, S = 1000000;

/* A service with 30 copies in 1,000 requests whose responses take 10 ms. */
class Hedge : public ::testing::Test
{
protected:
	eb_hedge *hg = nullptr;
	eb_retry rb = {};
	int64_t now_us = 100 * S;
	eb_hedge_request rq = { 7, 100, 1, 1, 1, 0, 4, 0, 0 };

	void SetUp() override
	{
		start(30);
	}

	void TearDown() override
	{
		eb_hedge_free(hg);
	}

	void start(uint32_t permille)
	{
		eb_hedge_free(hg);
		hg = eb_hedge_new(permille);
		eb_retry_init(&rb, 100);
	}

	void answers(int count, int64_t elapsed_us, uint32_t kind = 7,
		     uint64_t body_bytes = 100)
	{
		for (int i = 0; i < count; i++)
			eb_hedge_answered(hg, kind, body_bytes, elapsed_us,
					  now_us);
	}

	/* Of a request that has waited, with a second left. */
	eb_hedge_verdict check(int64_t waited_us)
	{
		rq.sent_us = now_us - waited_us;
		if (!rq.deadline_us)
			rq.deadline_us = now_us + S;
		return eb_hedge_check(hg, &rb, &rq, now_us);
	}
};

/*
 * Guards against copies that may run a request twice, that are sent without
 * need, in an overload or without budget, and against requests that never get
 * one.
 */
TEST_F(Hedge, Checks)
{
	struct {
		const char *guards;
		eb_hedge_verdict expected;
		int64_t waited_us;
		std::function<void()> change;
	} cases[] = {
		{ "a slow request without a copy", EB_HEDGE_DUE, 20 * MS,
		  [] {
		  } },
		{ "a copy for a request that is not slow", EB_HEDGE_EARLY,
		  9 * MS,
		  [] {
		  } },
		{ "a copy though 30 in 1,000 take as long", EB_HEDGE_EARLY,
		  20 * MS,
		  [&] {
			  answers(40, 50 * MS);
		  } },
		{ "a delay that one slow response raises", EB_HEDGE_DUE,
		  20 * MS,
		  [&] {
			  answers(1, 500 * MS);
		  } },
		{ "a copy by the responses of another kind", EB_HEDGE_EARLY,
		  20 * MS,
		  [&] {
			  rq.kind = 8;
		  } },
		{ "a copy by the responses to small requests", EB_HEDGE_EARLY,
		  20 * MS,
		  [&] {
			  rq.body_bytes = 9000;
		  } },
		{ "a copy from few responses", EB_HEDGE_EARLY, 20 * MS,
		  [&] {
			  start(30);
			  answers(60, 10 * MS);
		  } },
		{ "copies that are off", EB_HEDGE_OFF, 20 * MS,
		  [&] {
			  start(0);
		  } },
		{ "two runs of an unsafe request", EB_HEDGE_NOT_SAFE, 20 * MS,
		  [&] {
			  rq.idempotent = 0;
		  } },
		{ "a body that is sent again", EB_HEDGE_NOT_SAFE, 20 * MS,
		  [&] {
			  rq.inline_body = 0;
		  } },
		{ "a third run", EB_HEDGE_ATTEMPTS, 20 * MS,
		  [&] {
			  rq.runs = 1;
		  } },
		{ "no copies after a refusal", EB_HEDGE_DUE, 20 * MS,
		  [&] {
			  rq.attempts = 2;
		  } },
		{ "more attempts than allowed", EB_HEDGE_ATTEMPTS, 20 * MS,
		  [&] {
			  rq.attempts = 4;
		  } },
		{ "more runs than the route allows", EB_HEDGE_ATTEMPTS, 20 * MS,
		  [&] {
			  rq.runs_max = 1;
		  } },
		{ "a copy that ends too late", EB_HEDGE_NO_TIME, 20 * MS,
		  [&] {
			  rq.deadline_us = now_us + 5 * MS;
		  } },
		{ "a copy while callers are refused", EB_HEDGE_OVERLOADED,
		  20 * MS,
		  [&] {
			  eb_hedge_call_refused(hg, now_us - S);
		  } },
		{ "no copies long after a refusal", EB_HEDGE_DUE, 20 * MS,
		  [&] {
			  eb_hedge_call_refused(hg, now_us - 3 * S);
		  } },
		{ "a copy while many attempts are refused", EB_HEDGE_OVERLOADED,
		  20 * MS,
		  [&] {
			  for (int i = 0; i < 20; i++)
				  eb_hedge_attempt_ended(hg, 1);
		  } },
		{ "no copies because of a few refusals", EB_HEDGE_DUE, 20 * MS,
		  [&] {
			  eb_hedge_attempt_ended(hg, 1);
		  } },
		{ "a copy that leaves no retry for a failure",
		  EB_HEDGE_NO_BUDGET, 20 * MS,
		  [&] {
			  rb.tokens = 1900;
		  } },
		{ "no copies with a burst of one retry", EB_HEDGE_DUE, 20 * MS,
		  [&] {
			  eb_retry_limit(&rb, 100, 1);
		  } },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.guards);
		start(30);
		rq = { 7, 100, 1, 1, 1, 0, 4, 0, 0 };
		answers(1000, 10 * MS);
		c.change();
		EXPECT_EQ(c.expected, check(c.waited_us));
	}
}

/* Guards against more copies than the setting or the retries allow. */
TEST_F(Hedge, Budget)
{
	struct {
		const char *guards;
		uint32_t permille, retry_permille;
		int copies_min, copies_max;
	} cases[] = {
		{ "the budget of copies", 30, 100, 290, 303 },
		{ "the largest setting", 100, 200, 990, 1003 },
		{ "a setting above it", 500, 200, 990, 1003 },
		{ "the budget of the service's retries", 100, 20, 190, 203 },
	};

	for (auto &c : cases) {
		int sent = 0;

		SCOPED_TRACE(c.guards);
		start(c.permille);
		eb_retry_limit(&rb, c.retry_permille, 0);
		for (int i = 0; i < 10000; i++) {
			answers(1, 10 * MS);
			eb_retry_success(&rb);
			if (check(200 * MS) != EB_HEDGE_DUE)
				continue;
			eb_hedge_sent(hg, &rb);
			sent++;
		}
		EXPECT_LE(c.copies_min, sent);
		EXPECT_GE(c.copies_max, sent);
	}
}

/*
 * Guards against a delay that does not follow the load, and against classes
 * that are never given up.
 */
TEST_F(Hedge, Delay)
{
	EXPECT_EQ(INT64_MAX, eb_hedge_delay_us(hg, 7, 100));
	answers(4000, 10 * MS);
	EXPECT_GE(eb_hedge_delay_us(hg, 7, 100), 10 * MS);
	EXPECT_LE(eb_hedge_delay_us(hg, 7, 100), 13 * MS);
	answers(300, 80 * MS);
	EXPECT_GE(eb_hedge_delay_us(hg, 7, 100), 80 * MS);
	for (int i = 0; i < 12; i++) {
		now_us += 61 * S;
		answers(100, 1 * MS);
	}
	EXPECT_EQ(5 * MS, eb_hedge_delay_us(hg, 7, 100));
	for (uint32_t kind = 100; kind < 132; kind++) {
		now_us += MS;
		answers(100, 3600 * S, kind);
	}
	EXPECT_EQ(INT64_MAX, eb_hedge_delay_us(hg, 7, 100));
	EXPECT_GE(eb_hedge_delay_us(hg, 100, 100), 50 * S);
}

} // namespace
