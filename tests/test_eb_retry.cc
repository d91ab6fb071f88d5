#include <gtest/gtest.h>

extern "C" {
#include "eb_frame.h"
#include "eb_retry.h"
#include "eb_tunables.h"
}

namespace
{

eb_retry_attempt attempt(int outcome, int reason, int idempotent)
{
	eb_retry_attempt at = {};

	at.outcome = (uint8_t)outcome;
	at.reason = (uint8_t)reason;
	at.idempotent = (uint8_t)idempotent;
	at.attempts = 1;
	at.remaining_us = 1000;
	return at;
}

struct allow_case {
	const char *name;
	eb_retry_attempt at;
	int allowed;
};

/* Guards against a retry that runs a request twice that is not idempotent. */
TEST(Retry, OnlySafeRequestsAreRetried)
{
	allow_case cases[] = {
		{ "refused",
		  attempt(EB_OUTCOME_NOT_RUN, EB_REASON_QUEUE_FULL, 0), 1 },
		{ "handed back",
		  attempt(EB_OUTCOME_NOT_RUN, EB_REASON_HANDED_BACK, 0), 1 },
		{ "not connected",
		  attempt(EB_OUTCOME_NOT_RUN, EB_REASON_CONNECT, 0), 1 },
		{ "unknown, once only",
		  attempt(EB_OUTCOME_UNKNOWN, EB_REASON_LOST_PEER, 0), 0 },
		{ "ran, once only", attempt(EB_OUTCOME_RAN, 0, 0), 0 },
		{ "unknown, idempotent",
		  attempt(EB_OUTCOME_UNKNOWN, EB_REASON_LOST_PEER, 1), 1 },
		{ "out of time", attempt(EB_OUTCOME_NOT_RUN, 0, 1), 0 },
		{ "out of attempts", attempt(EB_OUTCOME_NOT_RUN, 0, 1), 0 },
		{ "body has begun", attempt(EB_OUTCOME_NOT_RUN, 0, 1), 0 },
	};

	cases[6].at.remaining_us = 0;
	cases[7].at.attempts = EB_ATTEMPTS_MAX;
	cases[8].at.body_sent = 1;
	for (const allow_case &c : cases) {
		eb_retry rb;

		eb_retry_init(&rb, 100);
		EXPECT_EQ(c.allowed, eb_retry_allow(&rb, &c.at)) << c.name;
	}
}

int count_allowed(eb_retry *rb, const eb_retry_attempt &at, int tries)
{
	int n = 0;

	for (int i = 0; i < tries; i++)
		n += eb_retry_allow(rb, &at);
	return n;
}

/* Guards against retries that multiply the load of a service that is down. */
TEST(Retry, FailuresAloneEarnNoRetries)
{
	eb_retry_attempt at = attempt(EB_OUTCOME_RAN, 0, 1);
	eb_retry rb;
	int n = 0;

	eb_retry_init(&rb, 1000);
	for (int i = 0; i < 10000; i++) {
		eb_retry_request(&rb);
		n += eb_retry_allow(&rb, &at);
	}
	EXPECT_LE(n, 3);
}

/* Guards against more or fewer retries than the share that is configured. */
TEST(Retry, SuccessesEarnTheShareOfTheRule)
{
	for (uint32_t permille : { 0u, 10u, 100u, 500u }) {
		eb_retry_attempt at = attempt(EB_OUTCOME_RAN, 0, 1);
		eb_retry rb;
		int n = 0;

		eb_retry_init(&rb, permille);
		count_allowed(&rb, at, 100);
		for (int i = 0; i < 2000; i++) {
			eb_retry_success(&rb);
			n += eb_retry_allow(&rb, &at);
		}
		EXPECT_EQ((int)(2 * permille), n);
	}
}

/* Guards against refusals by a busy gate that use up the retry budget. */
TEST(Retry, ReroutesAndRetriesHaveSeparateBudgets)
{
	eb_retry_attempt refused =
		attempt(EB_OUTCOME_NOT_RUN, EB_REASON_QUEUE_FULL, 1);
	eb_retry_attempt failed = attempt(EB_OUTCOME_RAN, 0, 1);
	eb_retry rb;

	refused.mark = EB_ATTEMPTS_MAX - 1;
	eb_retry_init(&rb, 100);
	EXPECT_EQ(20, count_allowed(&rb, refused, 1000));
	EXPECT_EQ(3, count_allowed(&rb, failed, 1000));
	eb_retry_request(&rb);
	EXPECT_EQ(1, count_allowed(&rb, refused, 10));
	EXPECT_EQ(0, count_allowed(&rb, failed, 10));
}

/*
 * Guards against refusing a caller whose request a gate would have queued: when
 * the budget is used up, a refused attempt is sent again as the last one,
 * unless it already was.
 */
TEST(Retry, RefusedRequestIsSentAgainAsLastAttempt)
{
	eb_retry_attempt refused =
		attempt(EB_OUTCOME_NOT_RUN, EB_REASON_QUEUE_FULL, 1);
	eb_retry rb;

	eb_retry_init(&rb, 100);
	refused.mark = EB_ATTEMPTS_MAX - 1;
	count_allowed(&rb, refused, 1000);
	for (uint8_t mark = 0; mark < EB_ATTEMPTS_MAX; mark++) {
		refused.mark = mark;
		EXPECT_EQ(mark < EB_ATTEMPTS_MAX - 1,
			  eb_retry_allow(&rb, &refused))
			<< (int)mark;
	}
}

/* Guards against refusing a caller while the queue of a gate has room. */
TEST(Retry, FewReroutesLeftMakeTheAttemptTheLast)
{
	eb_retry_attempt refused =
		attempt(EB_OUTCOME_NOT_RUN, EB_REASON_QUEUE_FULL, 1);
	eb_retry rb;

	eb_retry_init(&rb, 100);
	EXPECT_EQ(0, eb_retry_next_attempt(&rb, 0));
	EXPECT_EQ(2, eb_retry_next_attempt(&rb, 2));
	count_allowed(&rb, refused, 1000);
	EXPECT_EQ(EB_ATTEMPTS_MAX - 1, eb_retry_next_attempt(&rb, 0));
}

/* Guards against many daemons that together exceed the burst of a service. */
TEST(Retry, BurstIsSharedAmongDaemons)
{
	const struct {
		uint32_t burst;
		int retries;
	} cases[] = { { 0, 3 }, { 1, 1 }, { 2, 2 }, { 3, 3 }, { 50, 3 } };

	for (const auto &c : cases) {
		eb_retry_attempt at = {};
		eb_retry rb;
		int n = 0;

		eb_retry_init(&rb, 100);
		eb_retry_limit(&rb, 100, c.burst);
		at.outcome = EB_OUTCOME_UNKNOWN;
		at.idempotent = 1;
		at.attempts = 1;
		at.remaining_us = 1000000;
		while (eb_retry_allow(&rb, &at))
			n++;
		EXPECT_EQ(c.retries, n) << c.burst;
		for (int i = 0; i < 1000; i++)
			eb_retry_success(&rb);
		for (n = 0; eb_retry_allow(&rb, &at);)
			n++;
		EXPECT_EQ(c.retries, n) << c.burst;
	}
}

} // namespace
