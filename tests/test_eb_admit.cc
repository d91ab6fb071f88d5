#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "eb_admit.h"
}

namespace
{

constexpr int64_t SERVICE_US = 4000;
constexpr int64_t DEADLINE_US = 1000000000;

/* A gate whose mean service time is SERVICE_US at `now`. */
struct gate {
	eb_admit *ad;
	int64_t now = 0;

	explicit gate(uint32_t slots, uint32_t queue = 64)
	{
		eb_admit_config cf = { slots, queue, 0 };

		ad = eb_admit_new(&cf);
		for (int i = 0; i < 10; i++) {
			offer(0);
			now += SERVICE_US;
			eb_admit_done(ad, 0, SERVICE_US, now);
		}
	}
	~gate()
	{
		eb_admit_free(ad);
	}
	eb_admit_action offer(uint64_t id, uint8_t attempt = 0,
			      int64_t deadline_us = DEADLINE_US)
	{
		eb_admit_request rq = {};
		eb_admit_action act;

		rq.id = id;
		rq.attempt = attempt;
		rq.deadline_us = deadline_us;
		eb_admit_offer(ad, &rq, now, &act);
		return act;
	}
	std::vector<eb_admit_action> next()
	{
		std::vector<eb_admit_action> all;
		eb_admit_action act;

		while (eb_admit_next(ad, now, &act))
			all.push_back(act);
		return all;
	}
	void fill(uint32_t n)
	{
		for (uint32_t i = 0; i < n; i++)
			EXPECT_EQ(EB_ADMIT_RUN, offer(100 + i).verdict);
	}
};

/* Guards against more requests at the upstream than it has slots. */
TEST(Admit, SlotsAreNeverExceeded)
{
	gate g(4);
	eb_load ld;

	for (uint64_t i = 0; i < 20; i++)
		g.offer(i, 3);
	g.next();
	eb_admit_load(g.ad, &ld);
	EXPECT_EQ(4, ld.in_flight);
	EXPECT_EQ(16, ld.queued);
}

struct wait_case {
	uint8_t attempt;
	uint32_t least, most; /* requests that may wait at 4 slots */
};

/*
 * Guards against a wait that takes longer than an attempt at another upstream,
 * and against a request that is refused by one upstream after the other.
 */
TEST(Admit, LaterAttemptsWaitLonger)
{
	const wait_case cases[] = { { 0, 1, 4 }, { 1, 5, 16 }, { 3, 64, 64 } };

	for (const wait_case &c : cases) {
		gate g(4);
		uint32_t n = 0;

		g.fill(4);
		while (g.offer(n, c.attempt).verdict == EB_ADMIT_WAIT)
			n++;
		EXPECT_GE(n, c.least) << (int)c.attempt;
		EXPECT_LE(n, c.most) << (int)c.attempt;
	}
}

/*
 * Guards against a second copy of a request (its goal has passed) that waits,
 * or that goes before a request that waits.
 */
TEST(Admit, CopiesRunAtOnceOrAreRefused)
{
	const struct {
		uint32_t running, waiting;
		int verdict;
	} cases[] = { { 0, 0, EB_ADMIT_RUN },
		      { 3, 0, EB_ADMIT_RUN },
		      { 4, 0, EB_ADMIT_REFUSE },
		      { 4, 2, EB_ADMIT_REFUSE } };

	for (const auto &c : cases) {
		gate g(4);
		eb_admit_request rq = {};
		eb_admit_action act;

		g.fill(c.running);
		for (uint32_t i = 0; i < c.waiting; i++)
			EXPECT_EQ(EB_ADMIT_WAIT, g.offer(i).verdict);
		rq.id = 50;
		rq.deadline_us = DEADLINE_US;
		rq.goal_us = g.now - 1;
		eb_admit_offer(g.ad, &rq, g.now, &act);
		EXPECT_EQ(c.verdict, act.verdict) << c.running;
	}
}

/* Guards against a refusal without the time after which to retry. */
TEST(Admit, RefusalForLoadHasRetryAfter)
{
	gate g(1, 0);
	eb_admit_action act;

	g.fill(1);
	act = g.offer(1);
	EXPECT_EQ(EB_ADMIT_REFUSE, act.verdict);
	EXPECT_EQ(EB_REASON_QUEUE_FULL, act.reason);
	EXPECT_GT(act.retry_after_ms, 0u);
}

/* Guards against requests that wait in the queue of a stalled upstream. */
TEST(Admit, StalledUpstreamHandsBackTheQueue)
{
	gate g(4);
	int64_t wake;

	g.fill(4);
	g.offer(1);
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer(2).verdict);
	EXPECT_TRUE(g.next().empty());
	wake = eb_admit_wake_us(g.ad);
	EXPECT_LE(wake - g.now, 3 * SERVICE_US);
	g.now = wake;
	std::vector<eb_admit_action> all = g.next();
	ASSERT_EQ(2u, all.size());
	EXPECT_EQ(EB_ADMIT_REFUSE, all[0].verdict);
	EXPECT_EQ(EB_REASON_HANDED_BACK, all[0].reason);
	EXPECT_EQ(EB_REASON_HANDED_BACK, g.offer(3).reason);
}

/* Guards against a request that fails as its last attempt is handed back. */
TEST(Admit, LastAttemptIsNotHandedBack)
{
	gate g(4);

	g.fill(4);
	g.now += 100 * SERVICE_US;
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer(1, 3).verdict);
	EXPECT_TRUE(g.next().empty());
}

/* Guards against a gate that hands back requests after a stall has ended. */
TEST(Admit, StallEndsWithACompletion)
{
	gate g(2);

	g.fill(2);
	g.now += 10 * SERVICE_US;
	EXPECT_EQ(EB_REASON_HANDED_BACK, g.offer(1).reason);
	eb_admit_done(g.ad, 100, SERVICE_US, g.now);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(2).verdict);
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer(3).verdict);
}

/* Guards against free slots that stay unused during one long request. */
TEST(Admit, FreeSlotsStayOpenDuringALongRequest)
{
	gate g(4);

	g.fill(1);
	g.now += 100 * SERVICE_US;
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(1).verdict);
}

/* Guards against fast errors that make normal service times look stalled. */
TEST(Admit, ErrorAnswersDoNotLowerTheServiceTime)
{
	gate g(4);
	eb_load ld;

	for (int i = 0; i < 1000; i++) {
		g.offer(1);
		g.now += 100;
		eb_admit_done(g.ad, 1, 0, g.now);
	}
	eb_admit_load(g.ad, &ld);
	EXPECT_EQ((uint32_t)SERVICE_US, ld.service_us);
}

/* Guards against running a request whose deadline has passed. */
TEST(Admit, ExpiredRequestsAreRefusedNotRun)
{
	gate g(1);

	g.fill(1);
	EXPECT_EQ(EB_REASON_DEADLINE, g.offer(1, 0, g.now).reason);
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer(2, 3, g.now + 2 * SERVICE_US).verdict);
	EXPECT_LE(eb_admit_wake_us(g.ad), g.now + 2 * SERVICE_US);
	g.now += 2 * SERVICE_US;
	std::vector<eb_admit_action> all = g.next();
	ASSERT_EQ(1u, all.size());
	EXPECT_EQ(EB_REASON_DEADLINE, all[0].reason);
}

/* Guards against new requests at a draining gate, and loss of waiting ones. */
TEST(Admit, DrainingRefusesNewAndRunsWaiting)
{
	gate g(1);

	g.fill(1);
	g.offer(1);
	eb_admit_drain(g.ad, 1);
	EXPECT_EQ(EB_REASON_DRAINING, g.offer(2).reason);
	eb_admit_done(g.ad, 100, SERVICE_US, g.now);
	std::vector<eb_admit_action> all = g.next();
	ASSERT_EQ(1u, all.size());
	EXPECT_EQ(EB_ADMIT_RUN, all[0].verdict);
}

/*
 * Guards against requests that wait at the gate of an evacuated upstream and
 * run there long after the order.
 */
TEST(Admit, AnEvacuationRefusesWhatWaits)
{
	gate g(1);

	g.fill(1);
	g.offer(1);
	g.offer(2, 4);
	eb_admit_drain(g.ad, 1);
	eb_admit_evacuate(g.ad, 1);
	std::vector<eb_admit_action> all = g.next();
	ASSERT_EQ(2u, all.size());
	for (const eb_admit_action &act : all) {
		EXPECT_EQ(EB_ADMIT_REFUSE, act.verdict);
		EXPECT_EQ(EB_REASON_DRAINING, act.reason);
	}
	eb_admit_done(g.ad, 100, SERVICE_US, g.now);
	EXPECT_EQ(0u, g.next().size());
	eb_admit_drain(g.ad, 0);
	eb_admit_evacuate(g.ad, 0);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(3).verdict);
}

/* Guards against a cancelled request that still takes a slot. */
TEST(Admit, CancelledRequestDoesNotRun)
{
	gate g(1);

	g.fill(1);
	g.offer(1);
	EXPECT_EQ(1, eb_admit_cancel(g.ad, 1));
	EXPECT_EQ(0, eb_admit_cancel(g.ad, 1));
	eb_admit_done(g.ad, 100, SERVICE_US, g.now);
	EXPECT_TRUE(g.next().empty());
}

/* Guards against load reports that cost more than their budget. */
TEST(Admit, ReportsStayWithinTheBudget)
{
	for (uint32_t rate : { 0u, 100u, 4000u }) {
		eb_admit_config cf = { 4, 4, rate };
		eb_admit *ad = eb_admit_new(&cf);
		int64_t bytes = 0;
		eb_load ld;

		for (int64_t now = 0; now < 10000000; now += 100) {
			eb_admit_report(ad, now, &ld);
			bytes += ld.slots ? EB_ADMIT_REPORT_BYTES : 0;
		}
		EXPECT_LE(bytes, 10 * rate);
		EXPECT_GE(bytes, 9 * rate);
		eb_admit_free(ad);
	}
}

/* Guards against servers that slow down because nearly all slots are used. */
TEST(Admit, AFifthOfManySlotsStaysFree)
{
	const struct {
		uint32_t slots;
		uint16_t used;
	} cases[] = { { 1, 1 }, { 4, 4 }, { 5, 4 },
		      { 6, 4 }, { 9, 7 }, { 10, 8 } };

	for (const auto &c : cases) {
		gate g(c.slots);
		eb_load ld;

		for (uint64_t i = 0; i < 20; i++)
			g.offer(i, 3);
		eb_admit_load(g.ad, &ld);
		EXPECT_EQ(c.used, ld.in_flight) << c.slots;
	}
}

/*
 * Guards against short calls that are refused while long ones fill the gate:
 * other requests occupy slots of other upstreams until the short ones end.
 */
TEST(Admit, ShortKindsUseTheSlotsThatStayFree)
{
	const uint32_t SHORT = 7, LONG = 8, MIDDLE = 9;
	const struct {
		uint32_t kind;
		uint32_t slots;
		uint32_t running; /* long ones */
		uint32_t waiting; /* long ones */
		int verdict;
	} cases[] = {
		{ SHORT, 6, 4, 0, EB_ADMIT_RUN },
		{ SHORT, 6, 4, 3, EB_ADMIT_RUN },
		{ LONG, 6, 4, 0, EB_ADMIT_WAIT },
		{ MIDDLE, 6, 4, 0, EB_ADMIT_WAIT },
		{ 0, 6, 4, 0, EB_ADMIT_WAIT },
		{ SHORT, 4, 4, 0, EB_ADMIT_WAIT },
	};

	for (const auto &c : cases) {
		gate g(c.slots);
		eb_admit_request rq = {};
		eb_admit_action act;
		uint32_t i;

		for (i = 0; i < 50; i++) {
			eb_admit_sample_kind(g.ad, SHORT, SERVICE_US / 4);
			eb_admit_sample_kind(g.ad, LONG, SERVICE_US * 3 / 2);
			eb_admit_sample_kind(g.ad, MIDDLE, SERVICE_US * 3 / 4);
		}
		rq.deadline_us = DEADLINE_US;
		rq.attempt = 3;
		rq.kind = LONG;
		for (i = 0; i < c.running + c.waiting; i++) {
			rq.id = 100 + i;
			eb_admit_offer(g.ad, &rq, g.now, &act);
		}
		rq.kind = c.kind;
		rq.id = 1;
		eb_admit_offer(g.ad, &rq, g.now, &act);
		EXPECT_EQ(c.verdict, act.verdict)
			<< c.kind << " " << c.slots << " " << c.waiting;
	}
}

/*
 * Guards against more requests at the upstream than it has slots, and against
 * a short request that waits behind long ones while a slot is free for it.
 */
TEST(Admit, WaitingShortKindsTakeWhatIsFree)
{
	const uint32_t SHORT = 7, LONG = 8;
	gate g(6);
	eb_admit_request rq = {};
	eb_admit_action act;
	std::vector<eb_admit_action> all;
	uint32_t i;

	for (i = 0; i < 50; i++) {
		eb_admit_sample_kind(g.ad, SHORT, SERVICE_US / 4);
		eb_admit_sample_kind(g.ad, LONG, SERVICE_US * 3 / 2);
	}
	rq.deadline_us = DEADLINE_US;
	rq.attempt = 3;
	for (i = 0; i < 6; i++) {
		rq.id = 100 + i;
		rq.kind = LONG;
		eb_admit_offer(g.ad, &rq, g.now, &act);
	}
	for (i = 0; i < 3; i++) {
		rq.id = 200 + i;
		rq.kind = SHORT;
		eb_admit_offer(g.ad, &rq, g.now, &act);
		EXPECT_EQ(i < 2 ? EB_ADMIT_RUN : EB_ADMIT_WAIT, act.verdict);
	}
	EXPECT_EQ(0u, g.next().size());
	g.now += SERVICE_US / 4;
	eb_admit_done(g.ad, 200, SERVICE_US / 4, g.now);
	all = g.next();
	ASSERT_EQ(1u, all.size());
	EXPECT_EQ(202u, all[0].id);
	EXPECT_EQ(EB_ADMIT_RUN, all[0].verdict);
}

/* Guards against requests that run on a slow VM while other VMs are fast. */
TEST(Admit, ASlowMachineHandsBackUntilTheLastAttempt)
{
	const struct {
		uint16_t pace_percent;
		uint16_t baseline_percent;
		uint8_t attempt;
		eb_admit_verdict verdict;
	} cases[] = {
		{ 0, 0, 0, EB_ADMIT_RUN },
		{ 100, 100, 0, EB_ADMIT_RUN },
		{ 150, 100, 0, EB_ADMIT_RUN },
		{ 400, 100, 0, EB_ADMIT_REFUSE },
		{ 400, 0, 2, EB_ADMIT_REFUSE },
		{ 400, 100, 3, EB_ADMIT_RUN },
		/* All VMs are slow: after a restart, or under load. */
		{ 200, 200, 0, EB_ADMIT_RUN },
		{ 400, 350, 0, EB_ADMIT_RUN },
		{ 800, 350, 0, EB_ADMIT_REFUSE },
	};

	for (const auto &c : cases) {
		eb_admit_request rq = {};
		eb_admit_action act;
		gate g(4);

		eb_admit_pace(g.ad, c.pace_percent);
		rq.attempt = c.attempt;
		rq.deadline_us = DEADLINE_US;
		rq.baseline_pace_percent = c.baseline_percent;
		eb_admit_offer(g.ad, &rq, g.now, &act);
		EXPECT_EQ(c.verdict, act.verdict)
			<< c.pace_percent << " attempt " << (int)c.attempt;
		if (c.verdict == EB_ADMIT_REFUSE) {
			EXPECT_EQ(EB_REASON_HANDED_BACK, act.reason);
		}
	}
}

/*
 * A burst at `rate` times the capacity of four slots. Every fourth request is
 * urgent; each is a last attempt and has a goal of three service times.
 */
struct burst {
	eb_admit *ad;
	int64_t service_us = 100000, goal_us = 300000, now = 0;
	std::vector<int64_t> busy_until;
	std::vector<int64_t> goal, started;
	std::vector<uint8_t> urgent;

	explicit burst(double rate)
	{
		eb_admit_config cf = { 4, 64, 0 };
		int64_t gap_us = (int64_t)((double)service_us / 4 / rate);

		ad = eb_admit_new(&cf);
		for (int64_t end = 20 * service_us; now < end; now += 1000) {
			finish();
			if (now / gap_us != (now - 1000) / gap_us)
				arrive();
			next();
		}
		for (int64_t end = now + 10 * service_us; now < end;
		     now += 1000) {
			finish();
			next();
		}
	}
	~burst()
	{
		eb_admit_free(ad);
	}
	void arrive()
	{
		eb_admit_request rq = {};
		eb_admit_action act;

		rq.id = goal.size();
		urgent.push_back(rq.id % 4 == 0);
		goal.push_back(now + goal_us);
		started.push_back(-1);
		rq.attempt = 3;
		rq.priority = urgent.back() ? 1 : 2;
		rq.goal_us = goal.back();
		rq.deadline_us = now + 2000000;
		eb_admit_offer(ad, &rq, now, &act);
		if (act.verdict == EB_ADMIT_RUN)
			start(act.id);
	}
	void start(uint64_t id)
	{
		started[id] = now;
		busy_until.push_back(now + service_us);
	}
	void finish()
	{
		for (size_t i = 0; i < busy_until.size();) {
			if (busy_until[i] > now) {
				i++;
				continue;
			}
			busy_until.erase(busy_until.begin() + (long)i);
			eb_admit_done(ad, 0, service_us, now);
		}
	}
	void next()
	{
		eb_admit_action act;

		while (eb_admit_next(ad, now, &act))
			if (act.verdict == EB_ADMIT_RUN)
				start(act.id);
	}
	size_t on_time(bool only_urgent)
	{
		size_t n = 0;

		for (size_t i = 0; i < goal.size(); i++)
			n += started[i] >= 0 &&
			     started[i] + service_us <= goal[i] &&
			     (!only_urgent || urgent[i]);
		return n;
	}
};

/*
 * Guards against a burst in which all requests wait and none is answered on
 * time. At least 95 % of what the slots can serve is on time; up to twice the
 * capacity so are 95 % of the urgent requests, which fit into the slots.
 */
TEST(Admit, ABurstIsServedOnTimeAsFarAsThereAreSlots)
{
	for (double rate : { 1.5, 2.0, 5.0 }) {
		burst b(rate);
		size_t urgent = 0;

		for (uint8_t u : b.urgent)
			urgent += u;
		EXPECT_GE(b.on_time(false), 20u * 4 * 95 / 100) << rate;
		if (rate <= 2) {
			EXPECT_GE(b.on_time(true), urgent * 95 / 100) << rate;
		}
	}
}

/*
 * Guards against short calls that are refused as late because the mean service
 * time of their gate, which long requests raise, exceeds their goal.
 */
TEST(Admit, ShortKindsAreJudgedByTheirOwnTime)
{
	const uint32_t SHORT = 7, LONG = 8;
	const struct {
		const char *name;
		uint32_t kind;
		int64_t goal_us;
		eb_admit_verdict verdict;
	} cases[] = {
		{ "short, in time", SHORT, 3 * SERVICE_US, EB_ADMIT_WAIT },
		{ "short, too late", SHORT, SERVICE_US / 4, EB_ADMIT_REFUSE },
		{ "long, too late", LONG, 2 * SERVICE_US, EB_ADMIT_REFUSE },
		{ "long, in time", LONG, 9 * SERVICE_US, EB_ADMIT_WAIT },
		{ "unknown: as the others", 9, SERVICE_US, EB_ADMIT_REFUSE },
	};

	for (const auto &c : cases) {
		eb_admit_request rq = {};
		eb_admit_action act;
		gate g(1);

		eb_admit_sample_kind(g.ad, SHORT, SERVICE_US / 4);
		eb_admit_sample_kind(g.ad, LONG, 4 * SERVICE_US);
		g.fill(1);
		rq.attempt = 3;
		rq.deadline_us = DEADLINE_US;
		rq.goal_us = g.now + c.goal_us;
		rq.kind = c.kind;
		eb_admit_offer(g.ad, &rq, g.now, &act);
		EXPECT_EQ(c.verdict, act.verdict) << c.name;
	}
}

/*
 * Guards against more requests than the rate that the upstream has named, also
 * in the first seconds and with many that wait, and against an upstream that
 * gets fewer than it takes although it could have them.
 */
TEST(Admit, ANamedRateIsKeptAndUsed)
{
	const struct {
		uint32_t limit_milli;
		uint8_t attempt;
	} cases[] = { { 7800, 0 }, { 7800, 3 }, { 2900, 0 },
		      { 100, 3 },  { 1, 0 },	{ 40000, 3 } };

	for (const auto &c : cases) {
		const double limit = c.limit_milli / 1000.0;
		const int64_t window_us = 4000000;
		gate g(4);
		std::vector<int64_t> runs, running;
		int64_t start = g.now;
		uint64_t id = 1000;

		eb_admit_limit_rate(g.ad, c.limit_milli, g.now);
		/* 100 requests a second for 12 s. */
		for (; g.now < start + 3 * window_us; g.now += 1000) {
			size_t before = runs.size();

			while (!running.empty() && running[0] <= g.now) {
				eb_admit_done(g.ad, 0, SERVICE_US, g.now);
				running.erase(running.begin());
			}
			for (const auto &act : g.next())
				if (act.verdict == EB_ADMIT_RUN)
					runs.push_back(g.now);
			if ((g.now - start) % 10000 == 0 &&
			    g.offer(id++, c.attempt, g.now + 500000).verdict ==
				    EB_ADMIT_RUN)
				runs.push_back(g.now);
			for (; before < runs.size(); before++)
				running.push_back(g.now + SERVICE_US);
		}
		for (size_t i = 0, j = 0; i < runs.size(); i++) {
			while (runs[i] - runs[j] > window_us)
				j++;
			EXPECT_LE(i - j + 1, 1.5 * 4 * limit + 5) << limit;
		}
		EXPECT_GE(runs.size(), limit * 12 * 0.9) << limit;
	}
}

/*
 * Guards against origins that keep sending to an upstream whose rate is used
 * up: its load report must show the wait, and it refuses at once.
 */
TEST(Admit, AUsedUpRateShowsInTheLoadReport)
{
	eb_admit_config cf = { 4, 64, 100000 };
	gate g(4);
	eb_admit_action act;
	eb_load ld;

	eb_admit_configure(g.ad, &cf);
	eb_admit_limit_rate(g.ad, 2000, g.now);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(1).verdict);
	act = g.offer(2);
	EXPECT_EQ(EB_ADMIT_REFUSE, act.verdict);
	EXPECT_EQ(EB_REASON_HANDED_BACK, act.reason);
	EXPECT_EQ(1, act.rate_limited);
	EXPECT_LE(499u, act.retry_after_ms);
	EXPECT_GE(502u, act.retry_after_ms);
	g.now += 1000;
	eb_admit_report(g.ad, g.now, &ld);
	EXPECT_LT(ld.slots, ld.queued);
	/* After that time it takes one again. */
	g.now += 500000;
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(3).verdict);
	/* It takes all when it names no rate any more. */
	EXPECT_EQ(EB_ADMIT_REFUSE, g.offer(4).verdict);
	eb_admit_limit_rate(g.ad, 0, g.now);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(5).verdict);
}

/* A gate whose upstream takes 20 requests a second while it is cold. */
struct cold_gate : gate {
	cold_gate() : gate(4)
	{
		eb_warmup_set_rate(warmup(), 20000, now);
	}
	eb_warmup *warmup()
	{
		return eb_admit_warmup(ad);
	}
	void probe(int64_t cold_ms)
	{
		eb_warmup_probe_sent(warmup(), now);
		eb_warmup_probe_result(warmup(), cold_ms, now);
	}
	uint8_t offer_urgent(uint64_t id, uint8_t priority, int64_t goal_us = 0)
	{
		eb_admit_request rq = {};
		eb_admit_action act;

		rq.id = id;
		rq.attempt = 3;
		rq.priority = priority;
		rq.deadline_us = DEADLINE_US;
		rq.goal_us = goal_us;
		eb_admit_offer(ad, &rq, now, &act);
		return act.verdict;
	}
	/* Lets time pass; returns the ids that ran or, negative, were refused.
	 */
	std::vector<int> pass(int64_t us)
	{
		std::vector<int> ids;

		for (int64_t end = now + us; now < end; now += 1000)
			for (const auto &act : next()) {
				int id = (int)act.id;
				bool ran = act.verdict == EB_ADMIT_RUN;

				ids.push_back(ran ? id : -id);
				EXPECT_EQ(!ran, act.rate_limited && act.cold);
				if (ran)
					eb_admit_done(ad, 0, SERVICE_US, now);
			}
		return ids;
	}
};

/* Guards against a burst at a cold upstream, and against one that gets none. */
TEST(Admit, AColdUpstreamTakesNoBurst)
{
	cold_gate g;
	eb_admit_action act;
	int runs = 0, waits = 0;

	g.probe(5000);
	for (int i = 0; i < 20; i++) {
		act = g.offer(i);
		runs += act.verdict == EB_ADMIT_RUN;
		waits += act.verdict == EB_ADMIT_WAIT;
	}
	EXPECT_EQ(1, runs);
	EXPECT_EQ(1, waits);
	EXPECT_EQ(EB_ADMIT_REFUSE, act.verdict);
	EXPECT_EQ(EB_REASON_HANDED_BACK, act.reason);
	EXPECT_EQ(1, act.rate_limited);
	EXPECT_EQ(1, act.cold);
	EXPECT_LE(40u, act.retry_after_ms);
	EXPECT_EQ((std::vector<int>{ 1 }), g.pass(41000));
}

/*
 * Guards against a wait of a request of the last attempt, or one with an
 * attempt that no origin sends, that shifts by more than the type has bits.
 */
TEST(Admit, AnyAttemptMayWaitForAColdUpstream)
{
	for (uint8_t attempt : { 3, 32, 255 }) {
		cold_gate g;

		g.probe(5000);
		EXPECT_EQ(EB_ADMIT_RUN, g.offer(1).verdict);
		EXPECT_EQ(EB_ADMIT_WAIT, g.offer(2, attempt).verdict);
		EXPECT_EQ((std::vector<int>{ 2 }), g.pass(41000));
	}
}

/*
 * Guards against a loop without waiting while the limit of the upstream is
 * open, but all free slots are reserved, and against a request that waits
 * for the next event although its slot is free.
 */
TEST(Admit, OnlyWhatCanBeDecidedWakes)
{
	cold_gate g;
	eb_admit_request rq = {};
	eb_admit_action act;

	g.probe(0);
	rq.deadline_us = DEADLINE_US;
	rq.attempt = 3;
	for (int i = 0; i < 40; i++) { /* of 20 ms each */
		rq.kind = 1;
		rq.priority = 0;
		g.probe(0);
		eb_admit_offer(g.ad, &rq, g.now, &act);
		ASSERT_EQ(EB_ADMIT_RUN, act.verdict);
		g.now += 20000;
		eb_admit_sample_kind(g.ad, 1, 20000);
		eb_admit_sample_kind(g.ad, 2, 90000);
		eb_admit_sample_kind(g.ad, 3, 10000);
		eb_admit_done(g.ad, 0, 20000, g.now);
	}
	rq.priority = 2;
	rq.kind = 2;
	for (rq.id = 1; rq.id < 9; rq.id++) {
		g.probe(0);
		eb_admit_offer(g.ad, &rq, g.now, &act);
		if (act.verdict != EB_ADMIT_RUN)
			break;
	}
	ASSERT_EQ(EB_ADMIT_WAIT, act.verdict);
	ASSERT_EQ(4u, rq.id) << "the fourth slot is reserved";
	g.now += 60000;
	EXPECT_EQ(0, eb_admit_limit_wait_us(g.ad, g.now));
	EXPECT_EQ(0, eb_admit_next(g.ad, g.now, &act));
	EXPECT_LT(g.now, eb_admit_wake_us(g.ad));
	rq.id = 20;
	rq.kind = 3;
	eb_admit_offer(g.ad, &rq, g.now, &act);
	ASSERT_EQ(EB_ADMIT_WAIT, act.verdict);
	EXPECT_GE(g.now, eb_admit_wake_us(g.ad));
	ASSERT_EQ(1, eb_admit_next(g.ad, g.now, &act));
	EXPECT_EQ(20u, act.id);
	EXPECT_EQ(EB_ADMIT_RUN, act.verdict);
}

/*
 * Guards against a request that waits for a named rate for as long as if the
 * upstream, which is warm, were cold.
 */
TEST(Admit, AWarmUpstreamWakesWhenItsNamedRateDoes)
{
	cold_gate g;
	eb_admit_action act;

	eb_warmup_set_rate(g.warmup(), 5000, g.now);
	eb_admit_limit_rate(g.ad, 100000, g.now);
	g.probe(0);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(1).verdict);
	ASSERT_EQ(EB_ADMIT_WAIT, g.offer(2, 3).verdict);
	EXPECT_EQ(0, eb_admit_next(g.ad, g.now, &act));
	EXPECT_EQ(g.now + 10000, eb_admit_wake_us(g.ad));
	g.now += 10000;
	EXPECT_EQ(1, eb_admit_next(g.ad, g.now, &act));
}

/*
 * Guards against a request that waits for a reserved slot of a stalled upstream
 * until its deadline, and against a loop without waiting meanwhile.
 */
TEST(Admit, AStallHandsBackWhatWaitsForReservedSlots)
{
	gate g(4);
	eb_admit_request rq = {};
	eb_admit_action act;

	rq.deadline_us = DEADLINE_US;
	for (int i = 0; i < 40; i++) {
		eb_admit_offer(g.ad, &rq, g.now, &act);
		g.now += 20000;
		eb_admit_sample_kind(g.ad, 2, 90000);
		eb_admit_done(g.ad, 0, 20000, g.now);
	}
	rq.priority = 2;
	rq.kind = 2;
	for (rq.id = 1; rq.id < 4; rq.id++)
		eb_admit_offer(g.ad, &rq, g.now, &act);
	ASSERT_EQ(EB_ADMIT_RUN, act.verdict);
	rq.attempt = 2;
	eb_admit_offer(g.ad, &rq, g.now, &act);
	ASSERT_EQ(EB_ADMIT_WAIT, act.verdict) << "one slot is reserved";
	ASSERT_EQ(0, eb_admit_next(g.ad, g.now, &act));
	g.now = eb_admit_wake_us(g.ad);
	ASSERT_GT(2000000, g.now);
	ASSERT_EQ(1, eb_admit_next(g.ad, g.now, &act));
	EXPECT_EQ(EB_REASON_HANDED_BACK, act.reason);
	eb_admit_offer(g.ad, &rq, g.now, &act);
	EXPECT_EQ(EB_REASON_HANDED_BACK, act.reason);
}

/*
 * Guards against a cold upstream that serves less urgent requests first, and
 * against one that lets a request wait that can no longer be on time.
 */
TEST(Admit, AColdUpstreamServesTheMostUrgentFirst)
{
	cold_gate g;

	g.probe(5000);
	EXPECT_EQ(EB_ADMIT_RUN, g.offer(1).verdict);
	eb_admit_done(g.ad, 1, SERVICE_US, g.now);
	for (uint64_t id = 10; id < 12; id++)
		EXPECT_EQ(EB_ADMIT_WAIT, g.offer_urgent(id, 2));
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer_urgent(12, 1, g.now + 60000));
	EXPECT_EQ(EB_ADMIT_REFUSE, g.offer_urgent(13, 1, g.now + 60000));
	EXPECT_EQ(EB_ADMIT_WAIT, g.offer_urgent(14, 0, g.now + 60000));
	EXPECT_EQ((std::vector<int>{ -12 }), g.pass(40000));
	EXPECT_EQ((std::vector<int>{ 14, 10, 11 }), g.pass(200000));
}

/*
 * Guards against requests that are refused while a probe would show within
 * milliseconds that the upstream is warm, and against a wait without limit for
 * a probe that is not answered.
 */
TEST(Admit, RequestsWaitForTheResultOfAProbeForALimitedTime)
{
	for (bool answered : { false, true }) {
		cold_gate g;

		g.probe(0);
		for (int i = 1; i <= 14; i++) {
			EXPECT_EQ(EB_ADMIT_RUN, g.offer(i).verdict);
			eb_admit_done(g.ad, i, SERVICE_US, g.now);
		}
		eb_warmup_probe_sent(g.warmup(), g.now);
		EXPECT_EQ(EB_ADMIT_WAIT, g.offer(20, 1).verdict);
		EXPECT_EQ((std::vector<int>{}), g.pass(2000));
		if (answered)
			eb_warmup_probe_result(g.warmup(), 0, g.now);
		EXPECT_EQ((std::vector<int>{ answered ? 20 : -20 }),
			  g.pass(5000));
	}
}

/*
 * Guards against a service that, while all of its upstreams are cold, serves
 * less urgent requests before more urgent ones, or fewer than it could: then
 * requests come as last attempts, here 2.5 times as many as can be served.
 */
TEST(Admit, AllColdServesByUrgencyAndUsesTheWholeRate)
{
	cold_gate g;
	int sent[3] = {}, served[3] = {};
	std::vector<int> ids;

	g.probe(60000);
	for (int i = 0; i < 500; i++) {
		uint8_t priority = (uint8_t)(i * 7 % 3);
		uint64_t id = 1 + priority + 3 * (uint64_t)i;

		sent[priority]++;
		if (g.offer_urgent(id, priority, g.now + 400000) ==
		    EB_ADMIT_RUN) {
			ids.push_back((int)id);
			eb_admit_done(g.ad, 0, SERVICE_US, g.now);
		}
		for (int ran : g.pass(20000))
			ids.push_back(ran);
	}
	for (int id : ids)
		if (id > 0)
			served[(id - 1) % 3]++;
	EXPECT_GE(served[0], sent[0] - 2);
	EXPECT_LE(served[2], sent[2] / 10);
	/* 10 s at 1.25 times the rate of 20 a second. */
	EXPECT_GE(served[0] + served[1] + served[2], 243);
	EXPECT_LE(served[0] + served[1] + served[2], 252);
}

} // namespace
