#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

extern "C" {
#include "pf_settings.h"
}

namespace
{

struct PfSettings : testing::Test {
	std::string file = "/tmp/pf_settings_" + std::to_string(getpid());
	pf_settings ps = {};
	eb_findings fs = {};

	~PfSettings() override
	{
		pf_settings_clear(&ps);
		eb_findings_clear(&fs);
		unlink(file.c_str());
	}
	eb_status load(const std::string &text)
	{
		std::ofstream(file) << text;
		return pf_settings_load(&ps, file.c_str(), &fs);
	}
	bool has_flag(const std::string &flag)
	{
		for (int i = 0; i < ps.flag_count; i++)
			if (flag == ps.flags[i])
				return true;
		return false;
	}
};

const std::string whole =
	"{\"ip\":\"10.1.0.8\",\"zone\":\"stgo-a\",\"region\":\"santiago\","
	"\"appAddr\":\"10.1.0.8:8301\",\"service\":\"vitrina\","
	"\"bootstrap\":true,\"something\":{\"new\":[1,2]},"
	"\"listen\":{\"outbound\":\"10.1.0.8:8304\","
	"\"ready\":\"10.1.0.8:8302\"},\"portRange\":[7620,7635],"
	"\"zones\":{\"stgo-a\":\"santiago\",\"conce-a\":\"biobio\"},"
	"\"platform\":{\"address\":\"10.200.1.7:8309\"},"
	"\"heartbeatMs\":1400,"
	"\"bounds\":{\"graceS\":6}}";

/*
 * Guards against settings of the platform that become no flag or a wrong one,
 * and against a file that is rejected for members the daemon does not know.
 */
TEST_F(PfSettings, BecomeFlags)
{
	ASSERT_EQ(EB_OK, load(whole));
	for (const char *flag :
	     { "--upstream=10.1.0.8-8301", "--service=vitrina",
	       "--listen=10.1.0.8:8304", "--ready=10.1.0.8:8302",
	       "--daemon=10.1.0.8:7620", "--entry-lapse-ms=4200",
	       "--admin-address=10.1.0.8", "--platform=10.200.1.7:8309",
	       "--region=santiago", "--failure-domain=stgo-a", "--plain-peers",
	       "--first-start", "--drain-timeout-ms=5500" })
		EXPECT_TRUE(has_flag(flag)) << flag;
	EXPECT_STREQ("10.200.1.7:8309", ps.store);
	EXPECT_STREQ("biobio", pf_settings_region(&ps, "conce-a"));
	EXPECT_STREQ("", pf_settings_region(&ps, "nowhere"));
}

/*
 * Guards against a start with incomplete settings, and against a report of
 * only the first missing one, so that an operator needs several starts.
 */
TEST_F(PfSettings, EverythingMissingIsFound)
{
	const struct {
		const char *text;
		uint32_t findings;
	} cases[] = {
		{ "", 1 },
		{ "not json", 1 },
		{ "{}", 9 },
		{ "{\"ip\":\"10.1.0.8\"}", 8 },
		{ "{\"ip\":7,\"zone\":\"a\"}", 8 },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(EB_EPARSE, load(c.text));
		EXPECT_EQ(c.findings, fs.count) << c.text;
		pf_settings_clear(&ps);
		eb_findings_clear(&fs);
	}
	EXPECT_EQ(EB_EPARSE, pf_settings_load(&ps, "/nowhere", &fs));
}

} // namespace
