#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

extern "C" {
#include "eb_settings.h"
}

namespace
{

typedef std::vector<std::string> strings;

/* A matching key pair, made for this test only. */
const char public_key[] = "xy}.e5mgz-N$MFw@65uGKFdGA^D7VsdacS[jzV8.";
const char secret_key[] = "yS)z^9&ffPP}&UZhre)c+PbS.G7!4@FRtL>3U+Bv";

const strings good = { "--upstream=agenda-1",	 "--listen=127.0.0.1:1",
		       "--daemon=127.0.0.1:2",	 "--admin-port=3",
		       "--platform=127.0.0.1:4", "--region=santiago",
		       "--failure-domain=a",	 "--plain-peers" };

class Settings : public testing::Test
{
protected:
	void TearDown() override
	{
		for (const std::string &name : variables)
			unsetenv(name.c_str());
		eb_settings_clear(&se);
		eb_findings_clear(&fs);
	}

	void set(const std::string &name, const std::string &value)
	{
		setenv(name.c_str(), value.c_str(), 1);
		variables.push_back(name);
	}

	eb_settings_result read(strings args)
	{
		std::vector<char *> argv;

		args.insert(args.begin(), "ebonypierd");
		for (std::string &a : args)
			argv.push_back(&a[0]);
		argv.push_back(nullptr);
		return eb_settings_read(&se, (int)args.size(), argv.data(),
					&fs);
	}

	strings findings()
	{
		strings out;

		for (uint32_t i = 0; i < fs.count; i++)
			out.push_back(std::string(fs.items[i].source) + ": " +
				      fs.items[i].field + ": " +
				      fs.items[i].reason);
		return out;
	}

	eb_settings se = {};
	eb_findings fs = {};
	strings variables;
};

/* Guards against a flag stored in the wrong member, and a wrong default. */
TEST_F(Settings, FlagsAndDefaults)
{
	ASSERT_EQ(EB_SETTINGS_RUN, read(good));
	EXPECT_STREQ("agenda-1", se.upstream);
	EXPECT_STREQ("127.0.0.1:1", se.listen_address);
	EXPECT_STREQ("127.0.0.1:2", se.daemon_address);
	EXPECT_STREQ("127.0.0.1", se.admin_address);
	EXPECT_EQ(3, se.admin_port);
	EXPECT_STREQ("127.0.0.1:4", se.platform);
	EXPECT_STREQ("santiago", se.region);
	EXPECT_STREQ("a", se.failure_domain);
	EXPECT_STREQ("", se.peers);
	EXPECT_EQ(nullptr, se.curve_secret);
	EXPECT_EQ(1, se.plain_peers);
	EXPECT_EQ(0, se.admin_remote);
	EXPECT_EQ(600000u, se.drain_timeout_ms);
	EXPECT_EQ(0u, se.hedge_permille);
	EXPECT_EQ(EB_LOG_INFO, se.log_level);
}

/*
 * Guards against a variable that is ignored, that takes precedence over its
 * flag, or that counts as set when it is empty.
 */
TEST_F(Settings, VariablesAndPrecedence)
{
	set("EBONYPIER_REGION", "biobio");
	set("EBONYPIER_ADMIN_PORT", "9");
	set("EBONYPIER_PLAIN_PEERS", "0");
	set("EBONYPIER_LOG_LEVEL", "debug");
	set("EBONYPIER_DRAIN_TIMEOUT_MS", "");
	set("EBONYPIER_HEDGE_PERMILLE", "100");
	strings args = good;
	args.erase(args.begin() + 3); /* --admin-port */
	ASSERT_EQ(EB_SETTINGS_RUN, read(args));
	EXPECT_STREQ("santiago", se.region);
	EXPECT_EQ(9, se.admin_port);
	EXPECT_EQ(1, se.plain_peers);
	EXPECT_EQ(100u, se.hedge_permille);
	EXPECT_EQ(EB_LOG_DEBUG, se.log_level);
	EXPECT_EQ(600000u, se.drain_timeout_ms);
}

/* Guards against reporting only the first of several invalid settings. */
TEST_F(Settings, AllFindingsTogether)
{
	set("EBONYPIER_PEERS", "127.0.0.1:1,,");
	EXPECT_EQ(EB_SETTINGS_INVALID,
		  read({ "--listen=localhost:1", "--admin-port=70000",
			 "--region=a b", "--platform=127.0.0.1:4",
			 "--hedge-permille=101" }));
	EXPECT_EQ((strings{
			  "settings: upstream: required: set --upstream or "
			  "EBONYPIER_UPSTREAM",
			  "--listen: listen: expected IP:port",
			  "settings: daemon: required: set --daemon or "
			  "EBONYPIER_DAEMON",
			  "--admin-port: admin-port: the number is out of "
			  "range",
			  "--region: region: a name consists of A-Z a-z 0-9 . "
			  "_ -",
			  "settings: failure-domain: required: set "
			  "--failure-domain or EBONYPIER_FAILURE_DOMAIN",
			  "EBONYPIER_PEERS: peers: expected IP:port, with "
			  "commas between",
			  "--hedge-permille: hedge-permille: the number is "
			  "out of range",
			  "settings: curve-public-key: required unless "
			  "--plain-peers is set",
			  "settings: curve-secret-key: required unless "
			  "--plain-peers is set",
		  }),
		  findings());
	EXPECT_EQ(nullptr, se.platform);
}

struct wrong {
	strings args; /* added to `good` */
	strings findings;
};

/*
 * Guards against accepting an invalid setting, which would fail only while the
 * daemon runs, and against a finding that names another flag.
 */
TEST_F(Settings, Wrong)
{
	const char remote[] =
		"--admin-address: admin-address: not a loopback address; the "
		"admin port has no login, set --admin-remote to allow this";
	const char key[] = "expected a CURVE key, Z85 of 40 characters";
	const char file[] = "not a readable file";
	const std::string pair = "--curve-public-key=" + std::string(40, '0');
	const wrong cases[] = {
		{ { "--admin-address=0.0.0.0" }, { remote } },
		{ { "--admin-address=::" }, { remote } },
		{ { "--admin-address=localhost" },
		  { "--admin-address: admin-address: expected an IP "
		    "address" } },
		{ { "--tls-key=Makefile" },
		  { "--tls-key: tls-certificate: required with tls-key" } },
		{ { "--tls-certificate=Makefile" },
		  { "--tls-certificate: tls-key: required with "
		    "tls-certificate" } },
		{ { "--tls-certificate=/nonexistent", "--tls-key=." },
		  { std::string("--tls-certificate: tls-certificate: ") + file,
		    std::string("--tls-key: tls-key: ") + file } },
		{ { "--curve-public-key=x" },
		  { std::string("--curve-public-key: curve-public-key: ") +
		    key } },
		{ { pair, std::string("--curve-secret-key=") + secret_key },
		  { "--curve-public-key: curve-public-key: not the public key "
		    "of curve-secret-key" } },
		{ { "--drain-timeout-ms=1s" },
		  { "--drain-timeout-ms: drain-timeout-ms: expected a "
		    "number" } },
		{ { "--drain-timeout-ms=-1" },
		  { "--drain-timeout-ms: drain-timeout-ms: expected a "
		    "number" } },
		{ { "--log-level=loud" },
		  { "--log-level: log-level: expected error, warn, info or "
		    "debug" } },
		{ { "--nonsense" },
		  { "command line: flag: invalid option \"--nonsense\"" } },
		{ { "extra" },
		  { "command line: flag: unexpected argument \"extra\"" } },
		{ { "--region=b" },
		  { "command line: region: given more than once" } },
		/* The value is not printed, since it may be a secret. */
		{ { "--curve-secret-kye=abc" },
		  { "command line: flag: invalid option "
		    "\"--curve-secret-kye\"" } },
		{ { "--log-level" },
		  { "command line: flag: option \"--log-level\" requires an "
		    "argument" } },
	};

	for (const wrong &c : cases) {
		strings args = good;

		args.insert(args.end(), c.args.begin(), c.args.end());
		EXPECT_EQ(EB_SETTINGS_INVALID, read(args)) << c.args[0];
		EXPECT_EQ(c.findings, findings()) << c.args[0];
		eb_findings_clear(&fs);
	}
}

/* Guards against rejecting a valid setting. */
TEST_F(Settings, Right)
{
	const std::string keys[] = {
		std::string("--curve-public-key=") + public_key,
		std::string("--curve-secret-key=") + secret_key
	};
	const strings cases[] = {
		{ "--admin-address=0.0.0.0", "--admin-remote" },
		{ "--admin-address=::1" },
		{ "--tls-certificate=Makefile", "--tls-key=Makefile" },
		{ "--peers=127.0.0.1:1,[::1]:2" },
		{ "--drain-timeout-ms=0", "--log-level=error" },
		{ keys[0], keys[1] },
	};

	for (const strings &c : cases) {
		strings args = good;

		args.insert(args.end(), c.begin(), c.end());
		EXPECT_EQ(EB_SETTINGS_RUN, read(args)) << c[0];
		EXPECT_EQ(strings{}, findings()) << c[0];
		eb_settings_clear(&se);
	}
	strings args(good.begin(), good.end() - 1);
	args.push_back(keys[0]);
	args.push_back(keys[1]);
	EXPECT_EQ(EB_SETTINGS_RUN, read(args));
}

/*
 * Guards against a flag that --help does not list, and against a start of the
 * daemon after --help or --version.
 */
TEST_F(Settings, HelpAndVersion)
{
	testing::internal::CaptureStdout();
	EXPECT_EQ(EB_SETTINGS_EXIT, read({ "--help" }));
	std::string help = testing::internal::GetCapturedStdout();
	const char *words[] = {
		"--upstream",	      "--listen",	    "--daemon",
		"--admin-address",    "--admin-port",	    "--platform",
		"--region",	      "--failure-domain",   "--peers",
		"--curve-public-key", "--curve-secret-key", "--plain-peers",
		"--tls-certificate",  "--tls-key",	    "--admin-remote",
		"--drain-timeout-ms", "--log-level",	    "EBONYPIER_TLS_KEY"
	};

	for (const char *w : words)
		EXPECT_NE(std::string::npos, help.find(w)) << w;
	testing::internal::CaptureStdout();
	EXPECT_EQ(EB_SETTINGS_EXIT, read({ "--version", "--nonsense" }));
	EXPECT_EQ(0u,
		  testing::internal::GetCapturedStdout().find("ebonypierd 0."));
}

} // namespace
