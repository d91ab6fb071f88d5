#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <vector>

extern "C" {
#include "eb_admit.h"
#include "eb_backoff.h"
#include "eb_kind_times.h"
#include "eb_retry.h"
#include "eb_route.h"
#include "eb_urgency.h"
}

namespace
{

struct kind {
	uint8_t priority;
	int64_t gap_us; /* between two arrivals */
	int64_t work_us;
	int64_t objective_us;
	uint64_t callers;  /* callers that take turns */
	int retries_at_us; /* after a refusal; 0: no retry */
};

struct result {
	size_t arrived, on_time, refused;
	int64_t waited_most_us;
};

/* Arrivals from here on count; the reserve follows the load within seconds. */
constexpr int64_t FROM_US = 5000000;

/* A gate of six slots with a queue, and the requests of several kinds. */
struct load {
	struct request {
		uint32_t kind;
		int64_t arrived_us;
		uint64_t caller;
	};
	std::vector<kind> kinds;
	std::vector<result> results;
	std::vector<request> requests;
	std::vector<std::pair<int64_t, uint64_t>> running; /* until, id */
	std::deque<std::pair<int64_t, uint64_t>> retries;
	eb_admit *ad;
	int64_t now = 0;

	load(const std::vector<kind> &ks, uint32_t queue, int64_t end_us)
		: kinds(ks), results(ks.size())
	{
		eb_admit_config cf = { 6, queue, 0 };

		ad = eb_admit_new(&cf);
		for (uint32_t k = 0; k < ks.size(); k++)
			for (int i = 0; i < 20; i++)
				eb_admit_sample_kind(ad, k + 1, ks[k].work_us);
		for (; now < end_us; now += 1000)
			step();
	}
	~load()
	{
		eb_admit_free(ad);
	}
	void step()
	{
		eb_admit_action act;

		for (size_t i = running.size(); i-- > 0;)
			if (running[i].first <= now)
				finish(i);
		for (uint32_t k = 0; k < kinds.size(); k++)
			for (int64_t at = now; at < now + 1000; at++)
				if (at % kinds[k].gap_us == k * 500)
					arrive(k);
		while (!retries.empty() && retries[0].first <= now) {
			uint64_t id = retries[0].second;

			retries.pop_front();
			offer(id);
		}
		while (eb_admit_next(ad, now, &act))
			apply(act);
	}
	void finish(size_t i)
	{
		uint64_t id = running[i].second;
		const request &rq = requests[id];
		const kind &kn = kinds[rq.kind];

		running.erase(running.begin() + (long)i);
		eb_admit_sample_kind(ad, rq.kind + 1, kn.work_us);
		eb_admit_done(ad, id, kn.work_us, now);
		results[rq.kind].on_time +=
			rq.arrived_us >= FROM_US &&
			now - rq.arrived_us <= kn.objective_us;
	}
	void arrive(uint32_t k)
	{
		uint64_t turn = requests.size() % kinds[k].callers;

		results[k].arrived += now >= FROM_US;
		requests.push_back({ k, now, 100 * k + turn + 1 });
		offer(requests.size() - 1);
	}
	void offer(uint64_t id)
	{
		const request &r = requests[id];
		eb_admit_request rq = {};
		eb_admit_action act;

		rq.id = id;
		rq.caller = r.caller;
		rq.kind = r.kind + 1;
		rq.priority = kinds[r.kind].priority;
		rq.goal_us = r.arrived_us + kinds[r.kind].objective_us;
		rq.deadline_us = rq.goal_us + 1000000;
		rq.attempt = 3;
		eb_admit_offer(ad, &rq, now, &act);
		apply(act);
	}
	void apply(const eb_admit_action &act)
	{
		const request &r = requests[act.id];
		const kind &kn = kinds[r.kind];

		if (act.verdict == EB_ADMIT_RUN) {
			running.push_back({ now + kn.work_us, act.id });
			if (act.waited_us > results[r.kind].waited_most_us)
				results[r.kind].waited_most_us = act.waited_us;
		} else if (act.verdict == EB_ADMIT_REFUSE) {
			results[r.kind].refused++;
			if (kn.retries_at_us &&
			    now < r.arrived_us + kn.objective_us)
				retries.push_back(
					{ now + kn.retries_at_us, act.id });
		}
	}
};

/*
 * Guards against urgent requests that wait for, or are refused because of, the
 * slots that long and less urgent ones have taken.
 */
TEST(Urgency, LongRequestsLeaveSlotsToShortUrgentOnes)
{
	const struct {
		const char *name;
		kind urgent, other;
		size_t least_permille;
	} cases[] = {
		{ "short and rare",
		  { 0, 120000, 36000, 60000, 9, 0 },
		  { 2, 9000, 200000, 1200000, 9, 0 },
		  990 },
		{ "half of the slots",
		  { 0, 20000, 36000, 60000, 9, 0 },
		  { 2, 9000, 200000, 1200000, 9, 0 },
		  950 },
		{ "short objective, long other work",
		  { 1, 20000, 22000, 30000, 9, 0 },
		  { 2, 30000, 500000, 1200000, 9, 0 },
		  950 },
	};

	for (const auto &c : cases) {
		load l({ c.urgent, c.other }, 64, 20000000);

		EXPECT_GE(l.results[0].on_time * 1000,
			  l.results[0].arrived * c.least_permille)
			<< c.name;
		/* Less urgent requests are still served. */
		EXPECT_GT(l.results[1].on_time, l.results[1].arrived / 20)
			<< c.name;
	}
}

/* Guards against an urgent request that a full queue of others refuses. */
TEST(Urgency, AFullQueueGivesWayToTheMoreUrgent)
{
	eb_admit_config cf = { 1, 2, 0 };
	eb_admit *ad = eb_admit_new(&cf);
	eb_admit_request rq = {};
	eb_admit_action act;
	const struct {
		uint8_t priority;
		eb_admit_verdict verdict;
		uint64_t evicted; /* 0: none */
	} cases[] = {
		{ 2, EB_ADMIT_RUN, 0 },	   { 2, EB_ADMIT_WAIT, 0 },
		{ 2, EB_ADMIT_WAIT, 0 },   { 2, EB_ADMIT_REFUSE, 0 },
		{ 1, EB_ADMIT_WAIT, 3 },   { 0, EB_ADMIT_WAIT, 2 },
		{ 0, EB_ADMIT_WAIT, 5 },   { 0, EB_ADMIT_REFUSE, 0 },
		{ 1, EB_ADMIT_REFUSE, 0 },
	};

	for (const auto &c : cases) {
		rq.id++;
		rq.priority = c.priority;
		rq.deadline_us = 1000000000;
		rq.attempt = 3;
		eb_admit_offer(ad, &rq, 1000, &act);
		EXPECT_EQ(c.verdict, act.verdict) << rq.id;
		memset(&act, 0, sizeof(act));
		EXPECT_EQ(c.evicted != 0, eb_admit_next(ad, 1000, &act))
			<< rq.id;
		EXPECT_EQ(c.evicted, act.id) << rq.id;
		if (c.evicted) {
			EXPECT_EQ(EB_ADMIT_REFUSE, act.verdict);
			EXPECT_EQ(EB_REASON_QUEUE_FULL, act.reason);
			EXPECT_GT(act.retry_after_ms, 0u);
		}
	}
	eb_admit_free(ad);
}

/*
 * Guards against a caller that retries at once and often and so displaces
 * equally urgent requests of callers that do not.
 */
TEST(Urgency, ACallerThatRetriesAtOnceDisplacesNoOther)
{
	const int64_t WORK = 40000;
	/* Each kind has its own callers; all are equally urgent. */
	const kind calm = { 1, 20000, WORK, 150000, 5, 0 };
	const kind eager = { 1, 8000, WORK, 150000, 1, 1000 };
	load l({ calm, eager }, 8, 20000000);

	/* The calm callers ask for half of the capacity. */
	EXPECT_GE(l.results[0].on_time * 1000, l.results[0].arrived * 900);
	EXPECT_GT(l.results[1].on_time, 0u);
}

/*
 * Guards against a reserve in a fleet with one priority, which would only leave
 * slots unused, and against one that stays after urgent requests have ended.
 */
TEST(Urgency, TheReserveFollowsRecentUrgentLoad)
{
	const struct {
		const char *name;
		uint8_t urgent, asks;
		uint32_t gap_us, work_us, age_us, asks_us, least, most;
	} cases[] = {
		{ "none", 1, 1, 10000, 40000, 0, 90000, 0, 0 },
		{ "less urgent", 2, 1, 10000, 40000, 0, 90000, 0, 0 },
		{ "hardly any", 0, 2, 500000, 5000, 0, 90000, 0, 0 },
		{ "few short ones", 0, 2, 120000, 36000, 0, 90000, 1, 1 },
		{ "four at a time", 0, 2, 10000, 40000, 0, 90000, 4, 5 },
		{ "from as short ones", 0, 2, 10000, 40000, 0, 40000, 0, 0 },
		{ "ended", 0, 2, 10000, 40000, 20000000, 90000, 0, 0 },
		{ "beyond the levels", 254, 255, 10000, 40000, 0, 90000, 0, 0 },
	};

	for (const auto &c : cases) {
		int64_t now = 0;
		eb_urgency ug;

		eb_urgency_init(&ug, 2000000);
		for (; now < 10000000; now += c.gap_us)
			eb_urgency_record(&ug, c.urgent, c.work_us, now);
		now += c.age_us;
		EXPECT_GE(eb_urgency_reserve(&ug, c.asks, c.asks_us, now),
			  c.least)
			<< c.name;
		EXPECT_LE(eb_urgency_reserve(&ug, c.asks, c.asks_us, now),
			  c.most)
			<< c.name;
	}
}

/* Guards against a rank other than plain in a fleet with one priority. */
TEST(Urgency, RanksDependOnTheOtherRequests)
{
	const struct {
		const char *name;
		uint32_t counts[3];
		eb_urgency_rank ranks[3];
	} cases[] = {
		{ "one priority",
		  { 0, 100, 0 },
		  { EB_URGENCY_FIRST, EB_URGENCY_PLAIN, EB_URGENCY_LAST } },
		{ "few urgent ones",
		  { 10, 70, 20 },
		  { EB_URGENCY_FIRST, EB_URGENCY_PLAIN, EB_URGENCY_LAST } },
		{ "mostly urgent ones",
		  { 80, 0, 20 },
		  { EB_URGENCY_PLAIN, EB_URGENCY_PLAIN, EB_URGENCY_LAST } },
		{ "one odd request",
		  { 1, 99, 0 },
		  { EB_URGENCY_FIRST, EB_URGENCY_PLAIN, EB_URGENCY_LAST } },
		{ "none yet",
		  { 0, 0, 0 },
		  { EB_URGENCY_PLAIN, EB_URGENCY_PLAIN, EB_URGENCY_PLAIN } },
	};

	for (const auto &c : cases) {
		eb_urgency ug;

		eb_urgency_init(&ug, 10000000);
		for (uint8_t p = 0; p < 3; p++)
			for (uint32_t i = 0; i < c.counts[p]; i++)
				eb_urgency_record(&ug, p, 1000, 1000);
		for (uint8_t p = 0; p < 3; p++)
			EXPECT_EQ(c.ranks[p], eb_urgency_rank_of(&ug, p, 1000))
				<< c.name << " " << (int)p;
	}
}

/*
 * Guards against a kind that is refused as late for good, because its host was
 * slow once and refused requests give no new service times.
 */
TEST(Urgency, AServiceTimeWithoutSamplesFalls)
{
	const struct {
		int64_t normal_us, slow_us, age_us, least_us, most_us;
	} cases[] = {
		{ 36000, 144000, 0, 100000, 144000 },
		{ 36000, 144000, 500000, 36000, 72000 },
		{ 36000, 144000, 60000000, 36000, 55000 },
		/* Nothing else is known of a kind that was always slow. */
		{ 144000, 144000, 60000000, 144000, 144000 },
	};

	for (const auto &c : cases) {
		eb_kind_times kt = {};
		int64_t now = 0;

		for (int i = 0; i < 20; i++)
			eb_kind_times_sample(&kt, 1, c.normal_us, now += 10000);
		for (int i = 0; i < 10; i++)
			eb_kind_times_sample(&kt, 1, c.slow_us, now);
		now += c.age_us;
		EXPECT_GE(eb_kind_times_aged(&kt, 1, now), c.least_us);
		EXPECT_LE(eb_kind_times_aged(&kt, 1, now), c.most_us);
		EXPECT_EQ(0, eb_kind_times_aged(&kt, 2, now));
	}
}

/*
 * Guards against an urgent request that finds no re-route left because less
 * urgent ones have used them all, and against a changed budget without them.
 */
TEST(Urgency, LessUrgentRequestsLeaveReroutes)
{
	const struct {
		const char *name;
		eb_urgency_rank rank;
		int64_t left; /* re-routes */
		uint8_t mark; /* of the next attempt, then */
	} cases[] = {
		{ "plain", EB_URGENCY_PLAIN, 0, EB_ATTEMPTS_MAX - 1 },
		{ "last", EB_URGENCY_LAST, 5, EB_ATTEMPTS_MAX - 1 },
		{ "first", EB_URGENCY_FIRST, 0, EB_ATTEMPTS_MAX - 1 },
	};

	for (const auto &c : cases) {
		eb_retry_attempt at = {};
		eb_retry rb;

		eb_retry_init(&rb, 100);
		at.outcome = EB_OUTCOME_NOT_RUN;
		at.reason = EB_REASON_QUEUE_FULL;
		at.attempts = 1;
		at.mark = EB_ATTEMPTS_MAX - 1;
		at.remaining_us = 1000;
		at.rank = (uint8_t)c.rank;
		while (eb_retry_allow(&rb, &at))
			;
		EXPECT_EQ(c.left, eb_retry_reroutes_left(&rb)) << c.name;
		EXPECT_EQ(c.mark, eb_retry_next_attempt_of(&rb, 1, c.rank))
			<< c.name;
		at.rank = EB_URGENCY_FIRST;
		EXPECT_EQ(c.left > 0 ? 1 : EB_ATTEMPTS_MAX - 1,
			  eb_retry_next_attempt_of(&rb, 1, EB_URGENCY_FIRST))
			<< c.name;
		EXPECT_EQ(c.left > 0, eb_retry_allow(&rb, &at)) << c.name;
	}
}

/*
 * Guards against an urgent request that is sent to a busy upstream although one
 * of many is free.
 */
TEST(Urgency, AnUrgentRequestGoesToTheFreeUpstream)
{
	const uint32_t N = 13, FREE = 7;
	eb_route_upstream ups[N] = {};
	eb_route *rt = eb_route_new(1);
	eb_route_query q = {};
	uint32_t id, found[2] = {};

	for (uint32_t u = 0; u < N; u++) {
		ups[u].id = u;
		ups[u].slots = 6;
		ups[u].distance = EB_DISTANCE_REGION;
	}
	ASSERT_EQ(EB_OK, eb_route_set_upstreams(rt, ups, N, 0));
	for (uint32_t u = 0; u < N; u++) {
		eb_load ld = {};

		ld.slots = 6;
		ld.in_flight = u == FREE ? 1 : 6;
		ld.queued = u == FREE ? 0 : 3;
		ld.service_us = 30000;
		eb_route_load(rt, u, &ld, 1000);
	}
	q.remaining_us = 100000;
	for (int i = 0; i < 200; i++) {
		q.urgent = i & 1;
		ASSERT_EQ(EB_OK, eb_route_pick(rt, &q, 2000, &id));
		found[q.urgent] += id == FREE;
	}
	EXPECT_EQ(100u, found[1]);
	EXPECT_LT(found[0], 100u);
	eb_route_free(rt);
}

/* Guards against refused callers that all return at the same moment. */
TEST(Urgency, RefusedCallersReturnSpreadOut)
{
	const struct {
		uint32_t wait_ms, extra_ms, least_ms, most_ms;
	} cases[] = {
		{ 0, 0, 0, 0 },
		{ 1, 0, 1, 1 },
		{ 100, 0, 100, 150 },
		{ 2000, 0, 2000, 2500 },
		{ 100, 400, 400, 650 },
		{ 0, 900, 675, 1125 },
		{ UINT32_MAX, 900, UINT32_MAX / 4, UINT32_MAX / 4 },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(c.least_ms, eb_backoff_ms(c.wait_ms, c.extra_ms, 0))
			<< c.wait_ms;
		EXPECT_EQ(c.most_ms, eb_backoff_ms(c.wait_ms, c.extra_ms, 1000))
			<< c.wait_ms;
	}
}

} // namespace
