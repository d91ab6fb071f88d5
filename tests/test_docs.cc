#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "eb_fields.h"
#include "eb_frame.h"
#include "eb_metrics.h"
#include "eb_settings.h"
}

namespace
{

std::string page()
{
	std::stringstream out;

	out << std::ifstream("docs/OPERATIONS.md").rdbuf();
	return out.str();
}

std::vector<std::string> flags()
{
	char name[] = "ebonypierd", help[] = "--help",
	     *argv[] = { name, help, nullptr };
	std::vector<std::string> out;
	eb_settings se;
	eb_findings fs = {};
	std::string line;

	testing::internal::CaptureStdout();
	eb_settings_read(&se, 2, argv, &fs);
	std::istringstream in(testing::internal::GetCapturedStdout());
	while (std::getline(in, line))
		if (!line.compare(0, 4, "  --"))
			out.push_back(line.substr(
				2, line.find_first_of("=,", 2) - 2));
	return out;
}

/*
 * Guards against a flag, metric, reason, outcome or configuration field that
 * was added to the code but not to the operators' page.
 */
TEST(Docs, OperatingPageIsComplete)
{
	std::vector<std::string> words = flags();
	std::string text = page();

	EXPECT_LT(15u, words.size());
#define ADD(id, name, help) words.push_back(std::string("| `") + name + "`");
	EB_METRIC_TABLE(ADD)
#undef ADD
	for (unsigned i = 0; i <= EB_REASON_MAX; i++)
		words.push_back(std::string("| `") + eb_reason_name(i) + "`");
	for (unsigned i = 0; i <= EB_OUTCOME_NOT_RUN; i++)
		words.push_back(std::string("`") + eb_outcome_name(i) + "`");
	for (const eb_item_schema &kind : eb_item_schemas)
		for (const eb_field *fd = kind.fields; fd->name; fd++)
			words.push_back(std::string("`") + fd->name + "`");
	for (const std::string &w : words)
		EXPECT_NE(std::string::npos, text.find(w)) << w;
}

} // namespace
