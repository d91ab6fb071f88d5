#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_unread.h"
}

namespace
{

/*
 * Guards against a reader that is given up although it reads, before its time
 * or instead of one that has been blocked for longer, and against a bound of
 * bytes that gives up more than needed. Steps: "hold READER BYTES",
 * "blocked READER", "reads READER", "end READER", "wait MS"; after each case
 * all that is to be given up is: names of the readers, with the reason.
 */
TEST(Unread, GivesUpTheReaderBlockedForLongest)
{
	const struct {
		const char *name;
		uint32_t limit_ms;
		std::vector<const char *> steps;
		const char *given_up;
	} cases[] = {
		{ "none is blocked", 100, { "hold 0 5000", "wait 900" }, "" },
		{ "in time", 100, { "hold 0 9", "blocked 0", "wait 99" }, "" },
		{ "too late",
		  100,
		  { "hold 0 9", "blocked 0", "wait 50", "blocked 0", "wait 50",
		    "blocked 1" },
		  "0:unread " },
		{ "no limit", 0, { "hold 0 9", "blocked 0", "wait 9999" }, "" },
		{ "reads on",
		  100,
		  { "blocked 0", "blocked 1", "blocked 2", "wait 60", "reads 1",
		    "wait 60", "blocked 1" },
		  "0:unread 2:unread " },
		{ "too many bytes",
		  0,
		  { "hold 0 400", "hold 1 400", "hold 2 400", "blocked 2",
		    "wait 1", "blocked 1" },
		  "2:memory " },
		{ "one that holds nothing stays",
		  0,
		  { "blocked 0", "wait 1", "hold 1 900", "blocked 1",
		    "hold 2 200" },
		  "1:memory " },
		{ "an ended one is forgotten",
		  100,
		  { "hold 0 1200", "blocked 0", "wait 200", "end 0" },
		  "" },
	};

	for (const auto &c : cases) {
		eb_unread_reader rd[3] = {}, *out;
		enum eb_metric reason;
		eb_unread un;
		int64_t now_us = 7;
		std::string got;

		eb_unread_init(&un, 1000, c.limit_ms);
		for (const char *step : c.steps) {
			char what[16];
			int n = 0, bytes = 0;

			ASSERT_LE(2,
				  sscanf(step, "%15s %d %d", what, &n, &bytes));
			std::string w = what;
			if (w == "hold")
				eb_unread_hold(&un, &rd[n], bytes);
			else if (w == "blocked")
				eb_unread_blocked(&un, &rd[n], now_us);
			else if (w == "reads")
				eb_unread_progress(&un, &rd[n]);
			else if (w == "end")
				eb_unread_end(&un, &rd[n]);
			else
				now_us += n * 1000;
		}
		while ((out = eb_unread_next(&un, now_us, &reason))) {
			got += std::to_string(out - rd) +
			       (reason == EB_METRIC_ANSWERS_UNREAD
					? ":unread "
					: ":memory ");
			eb_unread_end(&un, out);
		}
		EXPECT_EQ(c.given_up, got) << c.name;
	}
}

} // namespace
