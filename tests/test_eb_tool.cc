#include <gtest/gtest.h>

#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <unistd.h>

extern "C" {
#include "eb_admin.h"
}

namespace
{

struct result {
	int status;
	std::string output; /* standard output and standard error */
};

/* Runs the tool through a shell, as operators do. */
result run(const std::string &arguments)
{
	const char *dir = getenv("EBONYPIER_BUILD");
	std::string command = std::string("exec 2>&1; ") +
			      (dir ? dir : "build") + "/ebonypier " + arguments;
	FILE *in = popen(command.c_str(), "r");
	result out = { -1, "" };
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), in)) > 0)
		out.output.append(buf, n);
	out.status = WEXITSTATUS(pclose(in));
	return out;
}

const char hielos[] = "examples/hielos-1.json examples/hielos-2.json";

struct tool_case {
	std::string arguments;
	int status;
	std::string part; /* of the output */
};

void expect_cases(const std::vector<tool_case> &cases)
{
	for (const tool_case &c : cases) {
		result out = run(c.arguments);

		EXPECT_EQ(c.status, out.status) << c.arguments << out.output;
		EXPECT_NE(std::string::npos, out.output.find(c.part))
			<< c.arguments << ": " << out.output;
	}
}

/*
 * Guards against exit codes that hide a wrong command line from scripts, and
 * against messages that do not name the wrong argument.
 */
TEST(Tool, UsageAndExitCodes)
{
	unsetenv("EBONYPIER_ADMIN");
	expect_cases({
		{ "", 2, "Usage: ebonypier COMMAND" },
		{ "--help", 0, "Usage: ebonypier COMMAND" },
		{ "--version", 0, "ebonypier 0." },
		{ "nonsense", 2, "no such command: nonsense" },
		{ "check", 2, "an argument is missing" },
		{ "check --nonsense x", 2, "--nonsense" },
		{ "status", 2, "EBONYPIER_ADMIN" },
		{ "status localhost:1", 2, "\"localhost:1\" is not IP:port" },
		{ "metrics --json 127.0.0.1:1", 2, "no --json" },
		{ "metrics 127.0.0.1:1 127.0.0.1:2", 2, "too many" },
		{ "drain 127.0.0.1:1 127.0.0.1:2", 2, "too many" },
		{ "trace 12 127.0.0.1:1", 2, "32 hexadecimal" },
		{ "keygen extra", 2, "too many arguments" },
	});
	for (const char *name : { "check", "plan", "status", "trace", "metrics",
				  "drain", "keygen" })
		expect_cases({ { std::string(name) + " --help", 0,
				 std::string("Usage: ebonypier ") + name } });
}

/*
 * Guards against examples with findings, and against findings that are lost:
 * for a later file, an unreadable file, or when the output cannot be written.
 */
TEST(Tool, Check)
{
	expect_cases({
		{ std::string("check ") + hielos, 0,
		  "hielos-2.json: release 2: no findings" },
		{ "check examples/karri-1.json", 0, "release 1: no findings" },
		{ "check examples/hielos-2.json", 0, "was not checked" },
		{ "check - <examples/hielos-1.json", 0, "-: release 1" },
		{ "check examples/hielos-1.json examples/hielos-1.json", 1,
		  "examples/hielos-1.json:3: builds_on: release 1 is in "
		  "force, not 0" },
		{ "check Makefile nofile", 1, "Makefile:1: note: " },
		{ "check Makefile nofile", 1, "nofile: file: No such file" },
		{ "check examples", 1, "examples: file: Is a directory" },
		{ "check examples/karri-1.json >/dev/full", 1,
		  "standard output" },
	});
}

/*
 * Guards against a plan that omits a change or a loss of capacity, and against
 * one made without the notes that the last one builds on.
 */
TEST(Tool, Plan)
{
	expect_cases({
		{ std::string("plan ") + hielos, 0,
		  "release 1 -> 2\n"
		  "~ rule booking\n"
		  "    queue: 24 -> 12\n"
		  "- upstream agenda-6\n"
		  "= service agenda: upstreams 6 -> 5, slots 36 -> 30\n" },
		{ "plan examples/karri-1.json", 0,
		  "+ upstream loans-2 service=\"loans\"" },
		{ "plan examples/hielos-2.json", 1, "name the notes before" },
		{ "plan Makefile", 1, "Makefile:1: note: " },
	});
}

/*
 * Guards against keys that a daemon would reject because the output has another
 * length or setting name.
 */
TEST(Tool, Keygen)
{
	expect_cases({
		{ "keygen", 0, "EBONYPIER_CURVE_SECRET_KEY='" },
		{ "keygen | tr -d '\\n' | wc -c", 0, "138" },
	});
}

json_t *status(void *)
{
	return json_pack("{ss ss si si s[ss]}", "upstream", "agenda-1", "state",
			 "serving", "release", 7, "queued", 3, "peers", "a",
			 "b");
}

void drain(void *ctx)
{
	*(int *)ctx = 1;
}

void open_claims(void *ctx)
{
	*(int *)ctx = 2;
}

const eb_admin_ops ops = { status, drain, open_claims, nullptr };

/* Runs the admin ports of two daemons. */
class ToolAdmin : public testing::Test
{
protected:
	void SetUp() override
	{
		for (int i = 0; i < 2; i++) {
			tr[i] = eb_tracer_new(i ? "127.0.0.1:2" : "127.0.0.1:1",
					      16);
			am[i] = eb_admin_start(&se, mt, tr[i], lg, &ops,
					       &drained, nullptr);
			ASSERT_NE(nullptr, am[i]);
			address[i] = "127.0.0.1:" +
				     std::to_string(eb_admin_port(am[i]));
		}
		unsetenv("EBONYPIER_ADMIN");
	}

	void TearDown() override
	{
		unsetenv("EBONYPIER_ADMIN");
		for (int i = 0; i < 2; i++) {
			eb_admin_stop(am[i]);
			eb_tracer_free(tr[i]);
		}
		eb_metrics_free(mt);
		eb_log_free(lg);
	}

	void add_span(int daemon, uint8_t id, uint8_t parent, uint8_t kind,
		      int64_t start_us)
	{
		eb_span sp = {};

		memset(sp.trace, 0xab, sizeof(sp.trace));
		memset(sp.id, id, sizeof(sp.id));
		memset(sp.parent, parent, sizeof(sp.parent));
		sp.kind = kind;
		sp.outcome = EB_OUTCOME_RAN;
		sp.status = 200;
		sp.start_wall_us = start_us;
		sp.duration_us = id * 1000;
		snprintf(sp.upstream, sizeof(sp.upstream), "agenda-%d", daemon);
		eb_tracer_add(tr[daemon], &sp);
	}

	char loopback[16] = "127.0.0.1";
	int drained = 0;
	eb_settings se = {};
	eb_metrics *mt = eb_metrics_new();
	eb_log *lg = eb_log_new(2, EB_LOG_ERROR);
	eb_tracer *tr[2] = {};
	eb_admin *am[2] = {};
	std::string address[2];

	ToolAdmin()
	{
		se.admin_address = loopback;
	}
};

const char trace_id[] = "abababababababababababababababab";

/*
 * Guards against missing rows: an unreachable daemon must be listed with its
 * error and must not hide the others.
 */
TEST_F(ToolAdmin, Status)
{
	std::string both = address[0] + " " + address[1];
	result out = run("status " + both);

	EXPECT_EQ(0, out.status);
	EXPECT_NE(std::string::npos, out.output.find("ADDRESS"));
	EXPECT_NE(std::string::npos,
		  out.output.find("agenda-1         serving         7         "
				  "-      3     -      -     2\n"))
		<< out.output;
	EXPECT_NE(std::string::npos, out.output.find("\n" + address[1]));
	setenv("EBONYPIER_ADMIN", (address[0] + "," + address[1]).c_str(), 1);
	out = run("status --json");
	EXPECT_EQ(0, out.status);
	json_t *js = json_loads(out.output.c_str(), 0, nullptr);
	json_t *one = json_object_get(js, address[1].c_str());
	EXPECT_EQ(7, json_integer_value(json_object_get(one, "release")));
	json_decref(js);
	out = run("status 127.0.0.1:1 " + address[0]);
	EXPECT_EQ(1, out.status);
	EXPECT_NE(std::string::npos, out.output.find("connect"));
	EXPECT_NE(std::string::npos, out.output.find("agenda-1"));
}

/*
 * Guards against a tree that is out of order or repeats spans: the clock of the
 * second daemon is far behind, and the first daemon is asked twice.
 */
TEST_F(ToolAdmin, Trace)
{
	std::string both = address[0] + " " + address[1] + " " + address[0];

	add_span(0, 9, 0, EB_SPAN_CALL, 1000000);
	add_span(0, 4, 9, EB_SPAN_ATTEMPT, 1005000);
	add_span(0, 3, 9, EB_SPAN_ATTEMPT, 1001000);
	add_span(1, 2, 4, EB_SPAN_GATE, 5);
	add_span(1, 1, 2, EB_SPAN_UPSTREAM, 6);
	result out = run(std::string("trace ") + trace_id + " " + both);
	EXPECT_EQ(0, out.status);
	EXPECT_EQ("call 9.000 ms agenda-0 ran 200  at 127.0.0.1:1\n"
		  "  attempt 3.000 ms agenda-0 ran 200  at 127.0.0.1:1\n"
		  "  attempt 4.000 ms agenda-0 ran 200  at 127.0.0.1:1\n"
		  "    gate 2.000 ms agenda-1 ran 200  at 127.0.0.1:2\n"
		  "      upstream 1.000 ms agenda-1 ran 200  at 127.0.0.1:2\n",
		  out.output);
}

/* Guards against endless recursion when two spans are each other's parent. */
TEST_F(ToolAdmin, TraceWithACycle)
{
	add_span(0, 1, 2, EB_SPAN_CALL, 1);
	add_span(0, 2, 1, EB_SPAN_GATE, 2);
	result out = run(std::string("trace ") + trace_id + " " + address[0]);
	EXPECT_EQ(0, out.status);
	EXPECT_EQ("call 1.000 ms agenda-0 ran 200  at 127.0.0.1:1\n"
		  "  gate 2.000 ms agenda-0 ran 200  at 127.0.0.1:1\n",
		  out.output);
}

/*
 * Guards against exit status 0 for an incomplete trace: no daemon has a span,
 * or one daemon cannot be reached.
 */
TEST_F(ToolAdmin, TraceThatIsIncomplete)
{
	std::string id = trace_id;

	expect_cases({ { "trace " + id + " " + address[0], 1,
			 "no daemon knows a span" } });
	add_span(0, 9, 0, EB_SPAN_CALL, 1);
	expect_cases({ { "trace " + id + " 127.0.0.1:1 " + address[0], 1,
			 "127.0.0.1:1: " } });
}

/*
 * Guards against exit status 0 for metrics or a drain that failed because the
 * daemon cannot be reached.
 */
TEST_F(ToolAdmin, MetricsAndDrain)
{
	expect_cases({
		{ "metrics " + address[0], 0, "ebonypier_requests_total 0\n" },
		{ "metrics 127.0.0.1:1", 1, "127.0.0.1:1: " },
		{ "drain 127.0.0.1:1", 1, "127.0.0.1:1: " },
	});
	EXPECT_EQ(0, drained);
	expect_cases({ { "drain " + address[0], 0, "draining" } });
	EXPECT_EQ(1, drained);
}

} // namespace
