#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "eb_warmup.h"
}

namespace
{

const int64_t MS = 1000;
const int64_t SECOND = 1000000;

/* Sends what may be sent for a time in steps of 1 ms; returns the number. */
int drive(eb_warmup *wu, int64_t *now_us, int64_t ms)
{
	int n = 0;

	for (int64_t end_us = *now_us + ms * MS; *now_us < end_us;
	     *now_us += MS)
		while (!eb_warmup_wait_us(wu, 0, *now_us)) {
			eb_warmup_sent(wu, *now_us);
			if (++n > 1000)
				return n;
		}
	return n;
}

/* Steps: rate PER_S, milli PER_1000_S, entry MS, probe, result MS, restarted,
 * run MS. */
struct step {
	std::string what;
	int64_t value = 0;
	int sent = 0; /* by "run" */
};

const struct {
	const char *guards;
	std::vector<step> steps;
} cases[] = {
	{ "a service without a cold rate is limited", { { "run", 1, 1001 } } },
	{ "a fresh daemon sends a burst before the first probe result",
	  { { "rate", 20 }, { "run", 1000, 20 } } },
	{ "a warm upstream gets more than U unverified requests",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "run", 1, 14 },
	    { "run", 49, 0 },
	    { "run", 1, 1 } } },
	{ "requests after the probe was sent are taken for verified",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "run", 1, 14 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "probe", 0 },
	    { "run", 1, 14 },
	    { "result", 0 },
	    { "run", 1, 0 } } },
	{ "a cold notice leaves a burst, also when it ends at once",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "run", 1, 14 },
	    { "probe", 0 },
	    { "result", 5000 },
	    { "run", 500, 10 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "run", 400, 8 } } },
	{ "a probe without an answer counts as warm",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "probe", 0 },
	    { "result", EB_WARMUP_NO_ANSWER },
	    { "run", 1000, 20 } } },
	{ "the answer of an earlier start counts as warm",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "restarted", 0 },
	    { "result", 0 },
	    { "run", 1000, 20 } } },
	{ "a warm notice lifts the limit while the entry says cold",
	  { { "rate", 20 },
	    { "entry", 2000 },
	    { "probe", 0 },
	    { "result", 0 },
	    { "run", 1000, 20 } } },
	{ "an entry that says warm lifts the limit of a cold notice",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 2000 },
	    { "entry", 0 },
	    { "run", 1000, 25 } } },
	{ "a corrected entry still limits a warm upstream",
	  { { "rate", 20 },
	    { "entry", 60000 },
	    { "probe" },
	    { "result" },
	    { "entry", 0 },
	    { "run", 1, 14 } } },
	{ "the same entry, read again, extends its time",
	  { { "rate", 20 },
	    { "entry", 500 },
	    { "probe" },
	    { "result" },
	    { "run", 400, 8 },
	    { "entry", 500 },
	    { "run", 150, 2 + 4 } } },
	{ "a lost probe after the full pace leaves a whole burst",
	  { { "rate", 100 },
	    { "probe" },
	    { "result", 5000 },
	    { "run", 1000, 125 },
	    { "probe" },
	    { "result", EB_WARMUP_NO_ANSWER },
	    { "probe" },
	    { "result" },
	    { "run", 1, 54 - 25 } } },
	{ "a restart after the full pace leaves a whole burst",
	  { { "rate", 100 },
	    { "probe" },
	    { "result", 5000 },
	    { "run", 1000, 125 },
	    { "restarted" },
	    { "probe" },
	    { "result" },
	    { "run", 1, 54 - 25 } } },
	{ "a rate that is raised takes effect after the interval of the old",
	  { { "milli", 1 },
	    { "run", 1, 1 },
	    { "rate", 20 },
	    { "run", 1000, 19 } } },
	{ "a cold time that has ended lifts the limit without a probe",
	  { { "rate", 20 },
	    { "probe", 0 },
	    { "result", 100 },
	    { "run", 1000, 25 } } },
};

TEST(Warmup, Cases)
{
	for (const auto &c : cases) {
		eb_warmup wu = {};
		int64_t now_us = SECOND;

		SCOPED_TRACE(c.guards);
		for (const step &s : c.steps) {
			if (s.what == "rate")
				eb_warmup_set_rate(&wu, 1000 * s.value, now_us);
			else if (s.what == "milli")
				eb_warmup_set_rate(&wu, s.value, now_us);
			else if (s.what == "entry")
				eb_warmup_entry(&wu, s.value, now_us);
			else if (s.what == "probe")
				eb_warmup_probe_sent(&wu, now_us);
			else if (s.what == "result")
				eb_warmup_probe_result(&wu, s.value, now_us);
			else if (s.what == "restarted")
				eb_warmup_restarted(&wu);
			else
				EXPECT_EQ(s.sent, drive(&wu, &now_us, s.value));
		}
	}
}

/*
 * Guards against more than 1.5 times the cold rate and 8 requests in a second
 * to a cold upstream: it turns cold at any time, probe results are late or
 * lost, the daemon restarts or pauses. Guards also against more than 60 probes
 * a second, and against a warm upstream that stays limited.
 */
TEST(Warmup, BoundHoldsInEverySecond)
{
	for (unsigned seed = 1; seed <= 300; seed++) {
		std::mt19937 rnd(seed);
		auto below = [&](int n) {
			return (int64_t)(rnd() % n);
		};
		const int rate = 1 + (int)below(100);
		const int64_t cold_at = SECOND + below(4 * SECOND);
		const int64_t warm_at = cold_at + 500 * MS + below(4 * SECOND);
		std::deque<int64_t> sent, probes;
		eb_warmup wu = {};
		int64_t now = SECOND / 2, seen = 0, answer = INT64_MAX;
		int64_t served_warm = 0, cold_ms = 0;

		SCOPED_TRACE("seed " + std::to_string(seed));
		eb_warmup_set_rate(&wu, 1000 * rate, now);
		while (now < warm_at + 4 * SECOND) {
			now += 1 + below(400);
			if (!below(20000))
				now += below(800) * MS; /* paused */
			if (!below(20000)) {		/* restarted */
				now += 50 * MS;
				wu = {};
				answer = INT64_MAX;
				eb_warmup_set_rate(&wu, 1000 * rate, now);
			}
			if (now >= answer) {
				/* Evaluated between probe and answer. */
				eb_warmup_probe_result(&wu, cold_ms, now);
				answer = INT64_MAX;
			}
			while (!eb_warmup_wait_us(&wu, 0, now) && below(8)) {
				eb_warmup_sent(&wu, now);
				served_warm += now > warm_at + SECOND;
				if (now >= cold_at && now < warm_at)
					sent.push_back(now);
			}
			while (!sent.empty() && sent.front() <= now - SECOND)
				sent.pop_front();
			ASSERT_LE(sent.size(), rate * 1.5 + 8);
			if (eb_warmup_probe_due_us(&wu, now) > now)
				continue;
			eb_warmup_probe_sent(&wu, now);
			seen = now + below(2000);
			answer = seen + below(below(10) ? 1000 : 300 * MS);
			cold_ms = seen >= cold_at && seen < warm_at
					  ? (warm_at - seen) / MS + 1
					  : 0;
			if (!below(20))
				cold_ms = EB_WARMUP_NO_ANSWER;
			probes.push_back(now);
			while (probes.front() <= now - SECOND)
				probes.pop_front();
			ASSERT_LE(probes.size(), 45u);
		}
		EXPECT_GT(served_warm, 4 * rate + 8);
	}
}

} // namespace
