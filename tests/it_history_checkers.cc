#include <gtest/gtest.h>

#include "history.h"

namespace
{

CallRecord call(const char *nonce, const char *key, const char *method,
		const char *outcome, bool complete, bool own)
{
	CallRecord c;

	c.nonce = nonce;
	c.key = key;
	c.method = method;
	c.outcome = outcome;
	c.complete = complete;
	c.own = own;
	c.status = complete ? 200 : 0;
	return c;
}

RunRecord run(const char *upstream, const char *nonce, const char *key,
	      const char *method, int64_t at_us, bool executed = true)
{
	RunRecord r;

	r.upstream = upstream;
	r.nonce = nonce;
	r.key = key;
	r.method = method;
	r.at_us = at_us;
	r.executed = executed;
	return r;
}

struct checker_case {
	const char *name;
	History history;
	size_t own, not_run, once, leaving, releases, cut;
};

/* Guards against checkers that miss their fault or report a valid history. */
TEST(Checkers, CatchTheirFaultAndNothingElse)
{
	const checker_case cases[] = {
		{ "nothing", {}, 0, 0, 0, 0, 0, 0 },
		{ "one call, one run",
		  { { call("a", "", "POST", "ran", true, true) },
		    { run("u", "a", "", "POST", 5) },
		    {},
		    {},
		    9 },
		  0,
		  0,
		  0,
		  0,
		  0,
		  0 },
		{ "an answer of another call",
		  { { call("a", "", "GET", "ran", true, false) },
		    {},
		    {},
		    {},
		    9 },
		  1,
		  0,
		  0,
		  0,
		  0,
		  0 },
		{ "a cut answer is valid but not for a graceful stop",
		  { { call("a", "", "GET", "ran", false, false) },
		    {},
		    {},
		    {},
		    9 },
		  0,
		  0,
		  0,
		  0,
		  0,
		  1 },
		{ "not-run, and a run before",
		  { { call("a", "", "POST", "not-run", true, true) },
		    { run("u", "a", "", "POST", 1) },
		    {},
		    {},
		    9 },
		  0,
		  1,
		  0,
		  0,
		  0,
		  0 },
		{ "two runs of one call",
		  { { call("a", "", "POST", "unknown", true, true) },
		    { run("u", "a", "", "POST", 1),
		      run("w", "a", "", "POST", 2, false) },
		    {},
		    {},
		    9 },
		  0,
		  0,
		  1,
		  0,
		  0,
		  0 },
		{ "two runs of an idempotent call",
		  { { call("a", "", "GET", "ran", true, true) },
		    { run("u", "a", "", "GET", 1),
		      run("w", "a", "", "GET", 2) },
		    {},
		    {},
		    9 },
		  0,
		  0,
		  0,
		  0,
		  0,
		  0 },
		{ "two executions of one key by two sends",
		  { { call("a", "k", "POST", "unknown", true, true),
		      call("b", "k", "POST", "ran", true, true) },
		    { run("u", "a", "k", "POST", 1),
		      run("w", "b", "k", "POST", 2) },
		    {},
		    {},
		    9 },
		  0,
		  0,
		  1,
		  0,
		  0,
		  0 },
		{ "a keyed run that was not executed, and one that was",
		  { { call("a", "k", "POST", "unknown", true, true),
		      call("b", "k", "POST", "ran", true, true) },
		    { run("u", "a", "k", "POST", 1, false),
		      run("w", "b", "k", "POST", 2) },
		    {},
		    {},
		    9 },
		  0,
		  0,
		  0,
		  0,
		  0,
		  0 },
		{ "a run late after its upstream began to leave",
		  { {},
		    { run("u", "a", "", "GET", 200) },
		    { { "u", 50 } },
		    {},
		    300 },
		  0,
		  0,
		  0,
		  1,
		  0,
		  0 },
		{ "a daemon that returns to an older release",
		  { {},
		    {},
		    {},
		    { { "d", 1, 1 },
		      { "d", 2, 2 },
		      { "e", 1, 3 },
		      { "d", 1, 4 } },
		    9 },
		  0,
		  0,
		  0,
		  0,
		  1,
		  0 },
	};

	for (const checker_case &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.own, check_own_answers(c.history).size());
		EXPECT_EQ(c.not_run, check_not_run(c.history).size());
		EXPECT_EQ(c.once, check_at_most_once(c.history).size());
		EXPECT_EQ(c.leaving, check_leaving(c.history, 100).size());
		EXPECT_EQ(c.releases, check_releases(c.history).size());
		EXPECT_EQ(c.cut, check_all_answered(c.history).size());
	}
}

} // namespace
