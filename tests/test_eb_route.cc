#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

extern "C" {
#include "eb_route.h"
}

namespace
{

struct router {
	eb_route *rt = eb_route_new(7);
	std::vector<eb_route_upstream> ups;
	int64_t now = 1000000;

	~router()
	{
		eb_route_free(rt);
	}
	void add(uint32_t id, int distance, int leaving = 0)
	{
		eb_route_upstream up = {};

		up.id = id;
		up.slots = 6;
		up.distance = (uint8_t)distance;
		up.leaving = (uint8_t)leaving;
		ups.push_back(up);
	}
	void set()
	{
		ASSERT_EQ(EB_OK,
			  eb_route_set_upstreams(rt, ups.data(),
						 (uint32_t)ups.size(), now));
	}
	uint32_t pick(const std::vector<uint32_t> &tried = {})
	{
		eb_route_query q = {};
		uint32_t id = UINT32_MAX;

		q.tried = tried.data();
		q.tried_count = (uint32_t)tried.size();
		q.remaining_us = 1000000;
		eb_route_pick(rt, &q, now, &id);
		return id;
	}
	std::map<uint32_t, int> picks(int n,
				      const std::vector<uint32_t> &tried = {})
	{
		std::map<uint32_t, int> count;

		while (n--)
			count[pick(tried)]++;
		return count;
	}
	void done(uint32_t id, int outcome, int reason, int status,
		  int64_t elapsed_us)
	{
		eb_route_result rs = {};

		rs.outcome = (uint8_t)outcome;
		rs.reason = (uint8_t)reason;
		rs.status = (uint16_t)status;
		rs.elapsed_us = elapsed_us;
		eb_route_sent(rt, id, now - elapsed_us);
		eb_route_done(rt, id, &rs, now);
	}
	void good(uint32_t id, int64_t elapsed_us = 4000)
	{
		done(id, EB_OUTCOME_RAN, 0, 200, elapsed_us);
	}
	void refuse(uint32_t id, int reason)
	{
		done(id, EB_OUTCOME_NOT_RUN, reason, 0, 2000);
	}
	void load(uint32_t id, int in_flight, uint32_t service_us = 4000)
	{
		eb_load ld = {};

		ld.in_flight = (uint16_t)in_flight;
		ld.slots = 6;
		ld.service_us = service_us;
		eb_route_load(rt, id, &ld, now);
	}
};

/* Six upstreams of one failure domain with equal service times and loads. */
struct even : router {
	even()
	{
		for (uint32_t i = 0; i < 6; i++)
			add(i, EB_DISTANCE_DOMAIN);
		set();
		for (int n = 0; n < 200; n++)
			for (uint32_t i = 0; i < 6; i++) {
				good(i);
				load(i, 2);
			}
	}
};

/* Guards against a pick from an empty set or of an upstream that leaves. */
TEST(Route, LeavingAndMissingAreNotPicked)
{
	router r;

	EXPECT_EQ(UINT32_MAX, r.pick());
	r.add(1, EB_DISTANCE_DOMAIN, 1);
	r.set();
	EXPECT_EQ(UINT32_MAX, r.pick());
	r.add(2, EB_DISTANCE_FAR);
	r.set();
	EXPECT_EQ(100, r.picks(100)[2]);
}

/* Guards against an origin that sends everything to one upstream. */
TEST(Route, EvenUpstreamsShareEvenly)
{
	even r;

	for (auto &c : r.picks(6000))
		EXPECT_NEAR(1000, c.second, 200);
}

/* Guards against a retry at an upstream where the call has just failed. */
TEST(Route, TriedUpstreamsAreAvoided)
{
	even r;

	EXPECT_EQ(0u, r.picks(1000, { 2, 3 }).count(2));
}

/* Guards against a request that fails while an upstream could take it. */
TEST(Route, TriedUpstreamIsUsedWhenItIsTheOnlyOne)
{
	router r;

	r.add(1, EB_DISTANCE_DOMAIN);
	r.set();
	EXPECT_EQ(1u, r.pick({ 1 }));
}

struct slow_case {
	const char *name;
	void (*make)(even &r);
	int most; /* picks of upstream 0 in 6000; its share is 1000 */
};

/*
 * Guards against traffic to an upstream that is overloaded, slow or failing
 * according to its load reports or the origin's own measurements.
 */
TEST(Route, BadUpstreamGetsLittle)
{
	const slow_case cases[] = {
		{ "reported load", [](even &r) { r.load(0, 12); }, 300 },
		{ "reported time",
		  [](even &r) {
			  for (int i = 0; i < 20; i++)
				  r.load(0, 2, 80000);
		  },
		  100 },
		{ "slow though it reports idle",
		  [](even &r) {
			  for (int i = 0; i < 4; i++) {
				  r.good(0, 80000);
				  r.load(0, 0, 500);
			  }
		  },
		  100 },
		{ "call overdue",
		  [](even &r) {
			  eb_route_sent(r.rt, 0, r.now);
			  r.now += 50000;
		  },
		  100 },
		{ "handed back",
		  [](even &r) { r.refuse(0, EB_REASON_HANDED_BACK); }, 300 },
		{ "fast errors",
		  [](even &r) {
			  for (int i = 0; i < 3; i++)
				  r.done(0, EB_OUTCOME_RAN, 0, 500, 100);
		  },
		  0 },
		{ "connection refused",
		  [](even &r) {
			  for (int i = 0; i < 3; i++)
				  r.done(0, EB_OUTCOME_NOT_RUN,
					 EB_REASON_CONNECT, 0, 100);
		  },
		  0 },
	};

	for (const slow_case &c : cases) {
		even r;

		c.make(r);
		EXPECT_LE(r.picks(6000)[0], c.most) << c.name;
	}
}

/* Guards against an upstream that, once slow, never gets requests again. */
TEST(Route, MeasuredSlownessExpires)
{
	even r;

	for (int i = 0; i < 10; i++) {
		r.good(0, 80000);
		r.load(0, 2, 80000);
	}
	EXPECT_LE(r.picks(1000)[0], 20);
	r.now += 2000000;
	EXPECT_GE(r.picks(1000)[0], 50);
}

/*
 * Guards against a burst of requests to an upstream whose load report has
 * expired: it may still be slow.
 */
TEST(Route, ExpiredUpstreamIsProbedByOneCall)
{
	even r;

	r.now += 2000000;
	for (uint32_t i = 1; i < 6; i++)
		r.load(i, 2);
	eb_route_sent(r.rt, 0, r.now);
	EXPECT_LE(r.picks(1000)[0], 20);
}

/*
 * Guards against traffic between regions, which is billed, while the local
 * region has free capacity.
 */
TEST(Route, LocalRegionIsUsedWhileItHasRoom)
{
	even r;

	for (uint32_t i = 10; i < 16; i++)
		r.add(i, EB_DISTANCE_FAR);
	r.set();
	for (uint32_t i = 0; i < 6; i++)
		r.load(i, 5);
	for (auto &c : r.picks(1000, { 0 }))
		EXPECT_LT(c.first, 10u);
}

/*
 * Guards against requests that are refused in a full local region while other
 * regions have free capacity.
 */
TEST(Route, FullLocalRegionSpillsOver)
{
	even r;

	for (uint32_t i = 10; i < 16; i++)
		r.add(i, EB_DISTANCE_FAR);
	r.set();
	r.now += 2000000; /* after the slow start */
	for (int n = 0; n < 50; n++)
		for (uint32_t i = 0; i < 6; i++) {
			r.refuse(i, EB_REASON_QUEUE_FULL);
			r.load(i, 60);
		}
	EXPECT_GE(r.pick({ 0 }), 10u);
}

/* Guards against full traffic to an upstream that is new or has restarted. */
TEST(Route, NewAndRestartedUpstreamsRampUp)
{
	even r;

	r.add(6, EB_DISTANCE_DOMAIN);
	r.set();
	eb_route_restarted(r.rt, 0, r.now);
	std::map<uint32_t, int> early = r.picks(7000);
	EXPECT_LE(early[6], 150);
	EXPECT_LE(early[0], 150);
	r.now += 1100000;
	for (uint32_t i = 0; i < 7; i++)
		r.load(i, 2);
	std::map<uint32_t, int> late = r.picks(7000);
	EXPECT_GE(late[6], 500);
	EXPECT_GE(late[0], 500);
}

/*
 * Guards against wrong counters of calls in flight when an upstream is removed
 * and added again during a call.
 */
TEST(Route, LateResultOfARemovedUpstreamIsIgnored)
{
	even r;
	eb_route_result rs = {};

	eb_route_sent(r.rt, 5, r.now);
	r.ups.pop_back();
	r.set();
	eb_route_done(r.rt, 5, &rs, r.now);
	r.add(5, EB_DISTANCE_DOMAIN);
	r.set();
	eb_route_done(r.rt, 5, &rs, r.now);
	EXPECT_NE(UINT32_MAX, r.pick());
}

/*
 * Guards against load of an evacuated domain that crowds single upstreams: they
 * were listed as leaving, so that the router often compared one upstream only.
 * Counts the requests, of 20,000, that find all slots of their upstream taken.
 */
int crowded(bool listed)
{
	const int64_t service_us = 90000, gap_us = service_us / 36;
	std::multimap<int64_t, uint32_t> ends;
	std::map<uint32_t, uint16_t> running;
	int count = 0;
	router r;

	for (uint32_t id = 0; id < 16; id++)
		if (id < 8 || listed)
			r.add(id, EB_DISTANCE_REGION, id >= 8);
	r.set();
	for (int i = 0; i < 20000; i++) {
		r.now += gap_us;
		while (!ends.empty() && ends.begin()->first <= r.now) {
			uint32_t id = ends.begin()->second;
			eb_route_result rs = {};
			eb_load ld = {};

			ends.erase(ends.begin());
			ld.in_flight = --running[id];
			ld.slots = 6;
			rs.outcome = EB_OUTCOME_RAN;
			rs.status = 200;
			rs.elapsed_us = service_us;
			eb_route_done(r.rt, id, &rs, r.now);
			eb_route_load(r.rt, id, &ld, r.now);
		}
		uint32_t id = r.pick();

		count += running[id] >= 6;
		running[id]++;
		eb_route_sent(r.rt, id, r.now);
		ends.emplace(r.now + service_us, id);
	}
	return count;
}

TEST(Route, UnusableUpstreamsThatAreLeftOutSpreadTheLoadBetter)
{
	int listed = crowded(true), left_out = crowded(false);

	RecordProperty("listed", listed);
	RecordProperty("left_out", left_out);
	EXPECT_LT(2 * left_out, listed) << left_out << " " << listed;
}

/* Guards against picks that one seed and sequence of events do not repeat. */
TEST(Route, EqualSeedsGiveEqualPicks)
{
	even a, b;

	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(a.pick(), b.pick());
}

/* Guards against index entries that are lost among many upstreams. */
TEST(Route, ThousandUpstreamsAreAllFound)
{
	router r;
	eb_route_stats st;

	for (uint32_t i = 0; i < 1000; i++)
		r.add(i * 7919, EB_DISTANCE_DOMAIN);
	r.set();
	for (const eb_route_upstream &up : r.ups)
		for (int i = 0; i < 3; i++)
			r.done(up.id, EB_OUTCOME_RAN, 0, 500, 100);
	eb_route_read_stats(r.rt, &st);
	EXPECT_GT(st.ejections, 0u);
	EXPECT_LE(st.out, 500u);
}

/*
 * Guards against requests to an upstream on a VM that is slow at present while
 * another upstream is free.
 */
TEST(Route, SlowMachinesArePassedOver)
{
	router r;
	eb_load slow = { 0, 0, 6, 0, 4000, 400 },
		baseline = { 0, 0, 6, 0, 4000, 100 };

	r.add(1, EB_DISTANCE_DOMAIN);
	r.add(2, EB_DISTANCE_DOMAIN);
	r.set();
	for (int i = 0; i < 20; i++) {
		r.good(1);
		r.good(2);
	}
	eb_route_load(r.rt, 1, &slow, r.now);
	eb_route_load(r.rt, 2, &baseline, r.now);
	EXPECT_EQ(0, r.picks(100)[1]);
	/* A pace report expires quickly, as the pace changes quickly. */
	r.now += 5000000;
	EXPECT_GT(r.picks(200)[1], 20);
}

/*
 * Guards against retries that stay in the local region after each upstream
 * there has refused the request, while another region has free capacity: after
 * the loss of a failure domain's VMs, or in a burst in one region.
 */
TEST(Route, TakenNowhereAtHomeGoesToAnotherRegion)
{
	for (int reason : { EB_REASON_HANDED_BACK, EB_REASON_QUEUE_FULL }) {
		router r;
		uint32_t tried[] = { 1, 2 }, id = 0;
		eb_route_query q = {};

		r.add(1, EB_DISTANCE_DOMAIN);
		r.add(2, EB_DISTANCE_REGION);
		r.add(3, EB_DISTANCE_FAR);
		r.set();
		for (int i = 0; i < 20; i++) {
			r.good(1, 100000);
			r.good(2, 100000);
			r.good(3, 120000);
		}
		r.refuse(1, reason);
		q.remaining_us = 1000000;
		q.refused = 1;
		q.tried = tried;
		q.tried_count = 1;
		ASSERT_EQ(EB_OK, eb_route_pick(r.rt, &q, r.now, &id));
		EXPECT_EQ(2u, id) << "local region first";
		r.refuse(2, reason);
		q.tried_count = 2;
		ASSERT_EQ(EB_OK, eb_route_pick(r.rt, &q, r.now, &id));
		EXPECT_EQ(3u, id) << reason;
	}
}

struct limit_case {
	const char *name;
	std::vector<int> distances; /* of upstreams 0, 1, ... */
	std::vector<uint32_t> limited;
	std::vector<uint32_t> expected; /* picks, of a first attempt */
};

/*
 * Guards against first attempts at upstreams whose rate limit is used up, while
 * others have room: nearby, or in another region. When all of them are at their
 * limits, one of them may still queue the request.
 */
TEST(Route, UpstreamsAtTheirRateLimitAreAvoided)
{
	const int domain = EB_DISTANCE_DOMAIN, region = EB_DISTANCE_REGION,
		  far = EB_DISTANCE_FAR;
	const limit_case cases[] = {
		{ "one nearby", { domain, domain, region }, { 0 }, { 1, 2 } },
		{ "the domain", { domain, domain, region }, { 0, 1 }, { 2 } },
		{ "the region", { domain, region, far }, { 0, 1 }, { 2 } },
		{ "all", { domain, region }, { 0, 1 }, { 0 } },
	};

	for (const limit_case &c : cases) {
		SCOPED_TRACE(c.name);
		router r;
		for (uint32_t i = 0; i < c.distances.size(); i++)
			r.add(i, c.distances[i]);
		r.set();
		for (uint32_t id : c.limited) {
			eb_route_result rs = {};

			rs.outcome = EB_OUTCOME_NOT_RUN;
			rs.reason = EB_REASON_HANDED_BACK;
			rs.rate_wait_ms = 200;
			eb_route_sent(r.rt, id, r.now);
			eb_route_done(r.rt, id, &rs, r.now);
		}
		r.now += 199000;
		for (const auto &p : r.picks(200))
			EXPECT_NE(c.expected.end(),
				  std::find(c.expected.begin(),
					    c.expected.end(), p.first))
				<< p.first;
		r.now += 2000000;
		EXPECT_GT(r.picks(500)[c.limited[0]], 0);
	}
}

/*
 * Guards against large bodies that are sent to another region, where each byte
 * is billed, because the local region is busy, and against requests that fail
 * when the local region has no upstream left.
 */
TEST(Route, LargeBodiesLeaveTheirRegionOnlyWhenNobodyIsThere)
{
	const struct {
		const char *name;
		int local; /* upstreams in the local region */
		int leaving;
		std::vector<uint32_t> tried;
		int refused; /* by the tried upstreams, for load */
		uint32_t picked;
	} cases[] = {
		{ "local upstream", 1, 0, {}, 0, 1 },
		{ "local upstream is full", 1, 0, { 1 }, 1, 1 },
		{ "local upstream is lost", 1, 0, { 1 }, 0, 3 },
		{ "local upstream leaves", 1, 1, {}, 0, 3 },
		{ "local upstream was full and leaves now", 1, 1, { 1 }, 1, 3 },
		{ "no local upstream", 0, 0, {}, 0, 3 },
	};

	for (const auto &c : cases) {
		router r;
		eb_route_query q = {};
		uint32_t id = 0;

		for (int i = 0; i < c.local; i++)
			r.add(1, EB_DISTANCE_REGION, c.leaving);
		r.add(3, EB_DISTANCE_FAR);
		r.set();
		for (int i = 0; i < 20; i++)
			r.refuse(1, EB_REASON_QUEUE_FULL);
		q.remaining_us = 1000000;
		q.keep_in_region = 1;
		q.tried = c.tried.data();
		q.tried_count = (uint32_t)c.tried.size();
		q.refused = (uint8_t)c.refused;
		q.last = q.refused;
		ASSERT_EQ(EB_OK, eb_route_pick(r.rt, &q, r.now, &id)) << c.name;
		EXPECT_EQ(c.picked, id) << c.name;
	}
}

/*
 * Guards against large answers that cross failure domains or a narrow link
 * although an upstream nearby or behind a wide one is as free, and against ones
 * that stay where the wait is longer than the way.
 */
TEST(Route, LargeAnswersStayInTheirDomainUnlessItIsFull)
{
	const int DOMAIN_ = EB_DISTANCE_DOMAIN, REGION = EB_DISTANCE_REGION;
	const struct {
		const char *name;
		uint32_t answer_bytes;
		int distance[2];
		uint32_t link_mbps[2];
		int load[2];
		int least, most; /* picks of the first in 100 */
	} cases[] = {
		{ "small",
		  400,
		  { DOMAIN_, REGION },
		  { 0, 0 },
		  { 20, 0 },
		  0,
		  20 },
		{ "large",
		  90000,
		  { DOMAIN_, REGION },
		  {},
		  { 20, 0 },
		  100,
		  100 },
		{ "large and full",
		  90000,
		  { DOMAIN_, REGION },
		  {},
		  { 150, 0 },
		  0,
		  5 },
		{ "equal", 90000, { REGION, REGION }, { 50, 50 }, {}, 20, 80 },
		{ "narrow link",
		  90000,
		  { DOMAIN_, DOMAIN_ },
		  { 10, 200 },
		  {},
		  0,
		  0 },
		{ "small, narrow link",
		  400,
		  { DOMAIN_, DOMAIN_ },
		  { 10, 200 },
		  {},
		  20,
		  80 },
		{ "narrow domain",
		  90000,
		  { DOMAIN_, REGION },
		  { 10, 200 },
		  {},
		  0,
		  0 },
		{ "itself",
		  90000,
		  { EB_DISTANCE_SELF, DOMAIN_ },
		  { 10, 200 },
		  {},
		  100,
		  100 },
		{ "another region",
		  90000,
		  { EB_DISTANCE_FAR, REGION },
		  { 200, 10 },
		  { 0, 9 },
		  0,
		  0 },
	};

	for (const auto &c : cases) {
		router r;
		int picked = 0;

		for (int i = 0; i < 2; i++) {
			r.add(1 + i, c.distance[i]);
			r.ups[i].link_mbps = c.link_mbps[i];
		}
		r.set();
		for (int i = 0; i < 100; i++) {
			eb_route_query q = {};
			uint32_t id = 0;

			for (int n = 0; n < 2; n++)
				r.load(1 + n, c.load[n]);
			q.remaining_us = 1000000;
			q.answer_bytes = c.answer_bytes;
			q.link_mbps = 60;
			ASSERT_EQ(EB_OK, eb_route_pick(r.rt, &q, r.now, &id));
			picked += id == 1;
			r.now += 1000;
		}
		EXPECT_LE(c.least, picked) << c.name;
		EXPECT_GE(c.most, picked) << c.name;
	}
}

/*
 * Guards against another routing of small answers or unknown sizes, whatever is
 * known of the links.
 */
TEST(Route, SmallAnswersAreRoutedAsWithoutASize)
{
	router before, after;

	for (router *r : { &before, &after }) {
		for (uint32_t i = 0; i < 24; i++) {
			r->add(i, i % 4);
			r->ups[i].link_mbps = r == &after ? 10 + i : 0;
		}
		r->set();
	}
	for (uint32_t i = 0; i < 20000; i++) {
		uint32_t id[2] = {}, n = 0, tried = i % 24;

		for (router *r : { &before, &after }) {
			eb_route_query q = {};

			q.remaining_us = 1000000;
			q.tried = &tried;
			q.tried_count = i % 3 == 0;
			if (r == &after) {
				q.answer_bytes = i % 16385;
				q.link_mbps = 10;
			}
			eb_route_pick(r->rt, &q, r->now, &id[n]);
			eb_route_sent(r->rt, id[n], r->now);
			r->load(id[n], (int)(i % 13));
			if (i % 5)
				r->good(id[n]);
			else
				r->refuse(id[n], EB_REASON_QUEUE_FULL);
			r->now += 500;
			n++;
		}
		ASSERT_EQ(id[0], id[1]) << i;
	}
}

/*
 * Guards against callers that retry early in a long overload, to be refused
 * again, and against a long backoff in a short one.
 */
TEST(Route, BackoffGrowsWithTheShareOfRefusals)
{
	const struct {
		const char *name;
		int refused, accepted; /* of each 100, interleaved */
		uint32_t least_ms, most_ms;
	} cases[] = {
		{ "local region has free slots", 0, 100, 0, 0 },
		{ "half is refused", 50, 50, 0, 0 },
		{ "most is refused", 90, 10, 300, 850 },
		{ "all is refused", 100, 0, 850, 900 },
	};

	for (const auto &c : cases) {
		router r;

		r.add(1, EB_DISTANCE_DOMAIN);
		r.set();
		for (int i = 0; i < 400; i++) {
			if (i * c.accepted / 100 != (i + 1) * c.accepted / 100)
				r.good(1);
			else
				r.refuse(1, EB_REASON_QUEUE_FULL);
		}
		EXPECT_GE(eb_route_extra_backoff_ms(r.rt), c.least_ms)
			<< c.name;
		EXPECT_LE(eb_route_extra_backoff_ms(r.rt), c.most_ms) << c.name;
		/* The extra backoff ends with the overload. */
		for (int i = 0; i < 40; i++)
			r.good(1);
		EXPECT_EQ(0u, eb_route_extra_backoff_ms(r.rt)) << c.name;
	}
}

/*
 * Guards against a baseline pace that is raised by the VMs that are slow at
 * present: their gates would then hand no work back.
 */
TEST(Route, UsualPaceIsThatOfTheMachinesThatAreNotSlowed)
{
	const struct {
		const char *name;
		std::vector<uint16_t> reports; /* repeated in this order */
		uint16_t least, most;
	} cases[] = {
		{ "all at 100", { 100 }, 100, 100 },
		{ "a quarter slow", { 400, 100, 100, 100 }, 100, 150 },
		{ "half slow", { 400, 100 }, 100, 190 },
		{ "all at 200", { 200 }, 200, 200 },
		{ "all at 200, a quarter slower",
		  { 800, 200, 200, 200 },
		  200,
		  300 },
	};

	for (const auto &c : cases) {
		router r;

		r.add(1, EB_DISTANCE_DOMAIN);
		r.set();
		EXPECT_EQ(0, eb_route_baseline_pace(r.rt));
		for (size_t i = 0; i < 400; i++) {
			eb_load ld = {
				0, 0,	 6,
				0, 4000, c.reports[i % c.reports.size()]
			};

			eb_route_load(r.rt, 1, &ld, r.now);
			if (i < 40)
				continue;
			EXPECT_GE(eb_route_baseline_pace(r.rt), c.least)
				<< c.name;
			EXPECT_LE(eb_route_baseline_pace(r.rt), c.most)
				<< c.name;
		}
	}
}

/*
 * Guards against requests that leave their home regions when those have no
 * usable upstream: each way on which the router relaxes its choice is tried.
 */
TEST(Route, UpstreamsOutsideTheRegionsAreNeverPicked)
{
	const uint32_t tried[] = { 0, 1 };
	const struct {
		const char *state;
		uint64_t regions;
		uint32_t tried;
		int leaving, suspected, held;
		int found; /* an upstream of the home region is picked */
	} cases[] = {
		{ "usable", 1, 0, 0, 0, 0, 1 },
		{ "tried", 1, 2, 0, 0, 0, 1 },
		{ "suspected", 1, 0, 0, 1, 0, 1 },
		{ "at the rate limit", 1, 0, 0, 0, 1, 1 },
		{ "leaving", 1, 0, 1, 0, 0, 0 },
		{ "leaving and tried", 1, 2, 1, 0, 0, 0 },
		{ "no upstream there", 4, 0, 0, 0, 0, 0 },
		{ "no region", UINT64_C(1) << 63, 0, 0, 0, 0, 0 },
	};

	for (const auto &c : cases)
		for (int flags = 0; flags < 16; flags++) {
			SCOPED_TRACE(std::string(c.state) + " " +
				     std::to_string(flags));
			router r;
			eb_route_query q = {};

			for (uint32_t i = 0; i < 6; i++) {
				r.add(i,
				      i % 2 ? EB_DISTANCE_FAR
					    : EB_DISTANCE_DOMAIN,
				      i < 2 && c.leaving);
				r.ups[i].region = i < 2 ? 1 : 2;
				r.ups[i].suspected = i < 2 && c.suspected;
			}
			r.set();
			for (uint32_t i = 0; i < 2 && c.held; i++) {
				eb_route_result rs = {};

				rs.outcome = EB_OUTCOME_NOT_RUN;
				rs.reason = EB_REASON_HANDED_BACK;
				rs.rate_wait_ms = 2000;
				eb_route_sent(r.rt, i, r.now);
				eb_route_done(r.rt, i, &rs, r.now);
			}
			q.regions = c.regions;
			q.tried = tried;
			q.tried_count = c.tried;
			q.remaining_us = 1000000;
			q.keep_in_region = flags & 1;
			q.refused = (flags & 2) != 0;
			q.last = (flags & 4) != 0;
			q.idempotent = (flags & 8) != 0;
			for (int n = 0; n < 20; n++) {
				uint32_t id = UINT32_MAX;

				eb_route_pick(r.rt, &q, r.now, &id);
				EXPECT_TRUE(id == UINT32_MAX ||
					    (c.found && id < 2));
				/* A retry may have nowhere else to go. */
				EXPECT_TRUE(id != UINT32_MAX || !c.found ||
					    c.tried);
			}
			q.tried_count = 0;
			EXPECT_EQ(c.found && !c.suspected && !c.held,
				  eb_route_has_other(r.rt, &q, r.now));
		}
}

/*
 * Guards against detours to upstreams that are cold, against one that gets
 * nothing or all of its traffic as soon as its cold time ends, and against
 * requests that are not spread when all upstreams are cold.
 */
TEST(Route, ColdUpstreamsGetAShareThatRises)
{
	const struct {
		const char *name;
		std::vector<uint32_t> cold;
		int64_t warm_for_us; /* of upstream 0; -1: it is cold */
		int least, most;     /* of 6,000 picks */
	} cases[] = {
		{ "one is cold", { 0 }, -1, 20, 150 },
		{ "five are cold", { 0, 1, 2, 3, 4 }, -1, 20, 250 },
		{ "all are cold", { 0, 1, 2, 3, 4, 5 }, -1, 800, 1200 },
		{ "just warm", { 0 }, 0, 20, 150 },
		{ "warm for a second", { 0 }, 1000000, 300, 800 },
		{ "warm for two seconds", { 0 }, 2000000, 800, 1200 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		even r;

		for (uint32_t id : c.cold)
			r.ups[id].cold = 1;
		r.set();
		if (c.warm_for_us >= 0) {
			r.ups[0].cold = 0;
			r.set();
			r.now += c.warm_for_us;
		}
		int n = r.picks(6000)[0];
		EXPECT_GE(n, c.least);
		EXPECT_LE(n, c.most);
	}
}

/* Guards against requests that find no upstream as the nearest is cold. */
TEST(Route, ACombinationWithTheRateLimitLeavesAnUpstream)
{
	router r;
	eb_route_result rs = {};

	r.add(0, EB_DISTANCE_DOMAIN);
	r.add(1, EB_DISTANCE_DOMAIN);
	r.ups[0].cold = 1;
	r.set();
	rs.outcome = EB_OUTCOME_NOT_RUN;
	rs.reason = EB_REASON_HANDED_BACK;
	rs.rate_wait_ms = 200;
	eb_route_sent(r.rt, 1, r.now);
	eb_route_done(r.rt, 1, &rs, r.now);
	EXPECT_EQ(200, r.picks(200)[0]);
	EXPECT_EQ(0u, r.pick({ 1 }));
}

/*
 * Guards against copies that take capacity from first attempts, or that go to
 * an upstream which may not have them or would be slow itself.
 */
TEST(Route, CopiesGoWhereCapacityIsSpare)
{
	struct {
		const char *state;
		uint32_t expected; /* UINT32_MAX: none */
		std::function<void(router &r, eb_route_query &q)> change;
	} cases[] = {
		{ "all idle", 1,
		  [](router &, eb_route_query &) {
		  } },
		{ "no free slot", 2,
		  [](router &r, eb_route_query &) {
			  r.load(1, 6);
		  } },
		{ "slow VM", 2,
		  [](router &r, eb_route_query &) {
			  eb_load ld = { 0, 0, 6, 0, 4000, 100 };
			  eb_route_load(r.rt, 2, &ld, r.now);
			  ld.pace_percent = 250;
			  eb_route_load(r.rt, 1, &ld, r.now);
		  } },
		{ "errors", 2,
		  [](router &r, eb_route_query &) {
			  r.done(1, EB_OUTCOME_RAN, 0, 500, 4000);
			  r.load(1, 0);
		  } },
		{ "old report", UINT32_MAX,
		  [](router &r, eb_route_query &) {
			  r.now += 2600000;
		  } },
		{ "old report, and a heartbeat", 2,
		  [](router &r, eb_route_query &) {
			  eb_load ld = { 0, 0, 6, 0, 4000, 100 };
			  r.now += 2600000;
			  eb_route_heard(r.rt, 2, &ld, r.now);
		  } },
		{ "sent since the report", 2,
		  [](router &r, eb_route_query &) {
			  for (int i = 0; i < 6; i++)
				  eb_route_sent(r.rt, 1, r.now);
		  } },
		{ "tried, leaving, suspected, cold", 2,
		  [](router &r, eb_route_query &) {
			  for (uint32_t i = 3; i < 6; i++)
				  r.add(i, EB_DISTANCE_DOMAIN, i == 3);
			  r.ups[4].suspected = 1;
			  r.ups[5].cold = 1;
			  r.ups[1].cold = 1;
			  r.set();
			  for (uint32_t i = 3; i < 6; i++)
				  r.load(i, 0);
		  } },
		{ "new", UINT32_MAX,
		  [](router &r, eb_route_query &) {
			  for (uint32_t i = 0; i < 3; i++)
				  eb_route_restarted(r.rt, i, r.now);
			  for (uint32_t i = 0; i < 3; i++)
				  r.load(i, 0);
		  } },
		{ "no longer cold, but still with a rising share", 2,
		  [](router &r, eb_route_query &) {
			  r.ups[1].cold = 1;
			  r.set();
			  r.ups[1].cold = 0;
			  r.set();
		  } },
		{ "home regions", 2,
		  [](router &, eb_route_query &q) {
			  q.regions = 2;
		  } },
		{ "home region without upstreams", UINT32_MAX,
		  [](router &, eb_route_query &q) {
			  q.regions = 4;
		  } },
		{ "another region only", UINT32_MAX,
		  [](router &, eb_route_query &q) {
			  q.regions = 8;
		  } },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.state);
		router r;
		eb_route_query q = {};
		const uint32_t tried[] = { 0 };
		uint32_t id = UINT32_MAX;

		r.add(0, EB_DISTANCE_DOMAIN);
		r.add(1, EB_DISTANCE_DOMAIN);
		r.add(2, EB_DISTANCE_REGION);
		r.add(9, EB_DISTANCE_FAR);
		r.ups[1].region = 1;
		r.ups[2].region = 2;
		r.ups[3].region = 8;
		r.set();
		for (uint32_t i = 0; i < 10; i++)
			r.load(i, 0);
		q.tried = tried;
		q.tried_count = 1;
		c.change(r, q);
		eb_route_pick_spare(r.rt, &q, r.now, &id);
		EXPECT_EQ(c.expected, id);
	}
}

/*
 * Guards against a slow upstream that looks fast because its attempts were
 * cancelled, and against one that is ejected because of that.
 */
TEST(Route, SupersededAttemptsAreNoFailures)
{
	even r;
	eb_route_result rs = {};
	eb_route_stats st;

	rs.outcome = EB_OUTCOME_UNKNOWN;
	rs.superseded = 1;
	rs.elapsed_us = 90000;
	for (int i = 0; i < 30; i++) {
		eb_route_sent(r.rt, 1, r.now - rs.elapsed_us);
		eb_route_done(r.rt, 1, &rs, r.now);
	}
	eb_route_read_stats(r.rt, &st);
	EXPECT_EQ(0u, st.ejections);
	EXPECT_GT(100, r.picks(600)[1]);
	rs.elapsed_us = 100;
	for (int i = 0; i < 30; i++) {
		eb_route_sent(r.rt, 1, r.now - rs.elapsed_us);
		eb_route_done(r.rt, 1, &rs, r.now);
	}
	EXPECT_GT(100, r.picks(600)[1]);
}

} // namespace
