#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "printed.h"

extern "C" {
#include "eb_findings.h"
}

namespace
{

std::string print(const eb_findings &fs)
{
	return printed([&fs](FILE *out) { eb_findings_print(&fs, out); });
}

/*
 * Guards against a format other than file:line:, which editors parse to jump to
 * the line, and against text of the input that is used as a format string.
 */
TEST(Findings, Format)
{
	const struct {
		const char *source, *field, *reason;
		int line;
		const char *printed;
	} cases[] = {
		{ "a.json", "f", "bad", 3, "a.json:3: f: bad\n" },
		{ "--flag", "f", "bad", 0, "--flag: f: bad\n" },
		{ "a%s", "f%n", "%d", 1, "a%s:1: f%n: %d\n" },
	};

	for (const auto &c : cases) {
		eb_findings fs = {};

		eb_findings_add(&fs, c.source, c.line, c.field, "%s", c.reason);
		EXPECT_EQ(c.printed, print(fs));
		eb_findings_clear(&fs);
		EXPECT_EQ("", print(fs));
	}
}

/*
 * Guards against unbounded memory for findings, and against dropped findings
 * that the printed list does not mention.
 */
TEST(Findings, Bound)
{
	eb_findings fs = {};

	for (int i = 0; i < EB_FINDINGS_MAX + 7; i++)
		eb_findings_add(&fs, "s", i, "f", "reason %d", i);
	EXPECT_EQ((uint32_t)EB_FINDINGS_MAX, fs.count);
	EXPECT_EQ(7u, fs.dropped);
	EXPECT_NE(std::string::npos,
		  print(fs).find("7 more findings are not shown\n"));
	eb_findings_clear(&fs);
	EXPECT_EQ(0u, fs.count + fs.dropped);
}

} // namespace
