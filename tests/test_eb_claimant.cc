#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "claim_world.h"

namespace
{

typedef std::vector<world_op> history;

/* Three in four steps send calls; the rest are spread evenly over all kinds. */
rc::Gen<world_op> gen_op(const world_settings &s)
{
	int kinds = s.fault_kinds;

	return rc::gen::map(
		rc::gen::tuple(rc::gen::inRange(0, 4 * kinds),
			       rc::gen::inRange(0, s.span_ms),
			       rc::gen::inRange(0, 1 << 16),
			       rc::gen::inRange(0, 1 << 16),
			       rc::gen::inRange(0, 1 << 16)),
		[kinds](const std::tuple<int, int, int, int, int> &t) {
			world_op op;

			op.kind = std::get<0>(t) < kinds ? std::get<0>(t)
							 : OP_SEND;
			op.at_ms = std::get<1>(t);
			op.a = std::get<2>(t);
			op.b = std::get<3>(t);
			op.c = std::get<4>(t);
			return op;
		});
}

struct totals {
	int violations = 0;
	uint64_t ran = 0, stored = 0, not_run = 0, unknown = 0, pending = 0;
	uint64_t kills = 0, opened_by_time = 0, grants_void = 0;
	std::string first;
};

void add(totals &t, const world &w, int i)
{
	std::string fault = w.check();

	if (!fault.empty() && !t.violations++)
		t.first = "history " + std::to_string(i) + ": " + fault;
	for (auto &it : w.calls) {
		const call_record &cr = it.second;

		t.ran += cr.ran;
		t.stored += cr.stored;
		t.pending += !cr.finals;
		t.not_run += cr.outcome == EB_OUTCOME_NOT_RUN;
		t.unknown += cr.outcome == EB_OUTCOME_UNKNOWN;
	}
	t.kills += w.kills;
	t.opened_by_time += w.opened_by_time;
	t.grants_void += w.stale_grants;
}

/* Runs `count` generated histories with seeds from `seed` on. */
totals run_many(const world_settings &s, int count, uint64_t seed, int ops)
{
	totals t;

	for (int i = 0; i < count; i++) {
		rc::Random random(seed + i);
		history steps = rc::gen::container<history>(
					(size_t)ops, gen_op(s))(random, 100)
					.value();
		world w(s, seed + i);

		w.run(steps);
		w.stop_all();
		add(t, w, i);
	}
	printf("%d histories: ran %lu stored %lu not-run %lu unknown %lu "
	       "unanswered %lu kills %lu opened-by-time %lu void-grants %lu "
	       "faulty %d %s\n",
	       count, t.ran, t.stored, t.not_run, t.unknown, t.pending, t.kills,
	       t.opened_by_time, t.grants_void, t.violations, t.first.c_str());
	return t;
}

/*
 * Guards against a second run of a key, the response of another run and the
 * outcome not-run for a call that ran, under all kinds of faults.
 */
TEST(ClaimHistory, AtMostOneRunUnderAllFaults)
{
	totals t = run_many({}, 80, 1000, 60);

	EXPECT_EQ(0, t.violations) << t.first;
	EXPECT_LT(80u, t.ran);
	EXPECT_LT(80u, t.stored);
}

/* Guards against the same violations, and shrinks a failing history. */
TEST(ClaimHistory, Property)
{
	setenv("RC_PARAMS", "seed=20 max_success=40 max_size=60", 1);
	EXPECT_TRUE(rc::check("at most one run", [] {
		world_settings s;
		history ops = *rc::gen::container<history>(gen_op(s));
		world w(s, 7);

		w.run(ops);
		RC_ASSERT(w.check() == "");
	}));
}

/*
 * Guards against a second run when several holders lose their claims and grant
 * again, without copies, once the retention period has passed.
 */
TEST(ClaimHistory, ShortRetention)
{
	world_settings s;

	s.span_ms = 60000;
	s.key_span_ms = 4000;
	s.retention_ms = 22000;
	s.config_lag_ms = 6000;
	s.run_gap_min_ms = 12000;
	totals t = run_many(s, 25, 3000, 150);

	EXPECT_EQ(0, t.violations) << t.first;
	EXPECT_LT(0u, t.opened_by_time);
}

/* Guards against violations that only occur with five holders for a key. */
TEST(ClaimHistory, LargeService)
{
	world_settings s;

	s.daemons = 20;
	totals t = run_many(s, 15, 4000, 90);

	EXPECT_EQ(0, t.violations) << t.first;
}

/*
 * Guards against livelock between calls that race for a key: without faults,
 * each call gets an answer, and each key runs at most once.
 */
TEST(ClaimHistory, RacesWithoutFaultsEnd)
{
	world_settings s;
	history ops;

	s.keys = 200;
	s.loss_permille = s.duplicate_permille = s.slow_permille = 0;
	for (int i = 0; i < 200; i++) {
		world_op op;

		op.at_ms = i * 50;
		op.a = op.b = i;
		op.c = 2;
		ops.push_back(op);
	}
	world w(s, 5);
	totals t;

	w.run(ops);
	add(t, w, 0);
	EXPECT_EQ("", w.check());
	EXPECT_EQ(600u, w.calls.size());
	EXPECT_EQ(0u, t.pending);
	std::map<int, int> runs;
	for (auto &it : w.calls)
		runs[it.second.key] += it.second.ran;
	for (auto &it : runs)
		EXPECT_GE(1, it.second);
	/* The simulated gate refuses one run in ten. */
	EXPECT_LT(160u, t.ran);
}

/* Guards against a checker that misses the runs that one grant allows. */
TEST(ClaimHistory, CheckerCatchesGrantOfOne)
{
	world_settings s;

	s.test_majority = 1;
	EXPECT_LT(0, run_many(s, 10, 1000, 60).violations);
}

/*
 * Guards against a checker that misses second runs: they occur when restarted
 * holders grant without copying first.
 */
TEST(ClaimHistory, CheckerCatchesGrantAfterRestart)
{
	world_settings s;

	s.daemons = 3;
	s.keys = 2;
	s.fault_kinds = OP_KILL + 1;
	s.loss_permille = 300;
	EXPECT_EQ(0, run_many(s, 20, 1000, 80).violations);
	s.grant_at_once = true;
	EXPECT_LT(0, run_many(s, 20, 1000, 80).violations);
}

} // namespace
