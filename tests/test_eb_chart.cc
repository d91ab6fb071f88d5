#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "eb_chart.h"
}

namespace
{

const char *const states[] = { "idle", "running", "over", nullptr };
const char *const events[] = { "admitted", "ended", "lost", nullptr };
const char *const actions[] = { "none", "start", "stop", nullptr };
const eb_chart_names names = { states, events, actions };

const char text[] = "# comment\n"
		    "\n"
		    "idle admitted -> running start # more\n"
		    "* lost -> = stop\n"
		    "running lost -> over none\n";

/*
 * Guards against a transition that is ignored, and a wildcard that replaces the
 * transition of a single state.
 */
TEST(Chart, Steps)
{
	const struct {
		uint32_t state, event;
		enum eb_status status;
		uint32_t next, action;
	} cases[] = {
		{ 0, 0, EB_OK, 1, 1 },	      { 1, 0, EB_ENOTFOUND, 0, 0 },
		{ 0, 2, EB_OK, 0, 2 },	      { 1, 2, EB_OK, 2, 0 },
		{ 2, 2, EB_OK, 2, 2 },	      { 0, 1, EB_ENOTFOUND, 0, 0 },
		{ 3, 0, EB_ENOTFOUND, 0, 0 }, { 0, 3, EB_ENOTFOUND, 0, 0 },
	};
	eb_findings fs = {};
	eb_chart *ch = eb_chart_parse("t", text, &names, &fs);

	ASSERT_NE(nullptr, ch);
	EXPECT_EQ(0u, fs.count);
	for (const auto &c : cases) {
		uint32_t next = 0, action = 0;

		EXPECT_EQ(c.status,
			  eb_chart_step(ch, c.state, c.event, &next, &action))
			<< c.state << " " << c.event;
		EXPECT_EQ(c.next, next) << c.state << " " << c.event;
		EXPECT_EQ(c.action, action) << c.state << " " << c.event;
	}
	eb_chart_free(ch);
}

struct bad_chart {
	const char *text;
	int line;
	const char *field;
};

void expect_bad(const bad_chart &c)
{
	eb_findings fs = {};

	EXPECT_EQ(nullptr, eb_chart_parse("t", c.text, &names, &fs)) << c.text;
	ASSERT_LT(0u, fs.count) << c.text;
	EXPECT_EQ(c.line, fs.items[0].line) << c.text;
	EXPECT_STREQ(c.field, fs.items[0].field) << c.text;
	eb_findings_clear(&fs);
}

/* Guards against a malformed chart that is accepted. */
TEST(Chart, Malformed)
{
	const bad_chart cases[] = {
		{ "\nidle\n", 2, "transition" },
		{ "idle admitted running start", 1, "transition" },
		{ "idle admitted -> running", 1, "transition" },
		{ "none admitted -> running start", 1, "state" },
		{ "idle nothing -> running start", 1, "event" },
		{ "idle admitted -> nowhere start", 1, "next state" },
		{ "idle admitted -> running never", 1, "action" },
		{ "* nothing -> = stop", 1, "event" },
		{ "idle ended -> over none\nidle ended -> idle none", 2,
		  "transition" },
	};

	for (const bad_chart &c : cases)
		expect_bad(c);
}

/* Guards against text after the action that is silently ignored. */
TEST(Chart, TrailingWords)
{
	expect_bad({ "idle admitted -> running start stop", 1, "transition" });
}

/* Guards against an unknown chart name that is not reported. */
TEST(Chart, LoadUnknown)
{
	eb_findings fs = {};

	EXPECT_EQ(nullptr, eb_chart_load("nothing", &names, &fs));
	EXPECT_EQ(1u, fs.count);
	eb_findings_clear(&fs);
	eb_chart_free(nullptr);
}

} // namespace
