#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "eb_crash.h"
#include "eb_crash_detect.h"
}

namespace
{

const int64_t MS = 1000;

/* A request of an address; "" for credentials: it has none. */
eb_frame *request(const std::string &target, uint64_t address,
		  const std::string &credentials = "")
{
	eb_frame *f = eb_frame_new(EB_FRAME_HEAD, 1);

	f->head->method = strdup("GET");
	f->head->target = strdup(target.c_str());
	f->head->caller = address;
	if (!credentials.empty())
		eb_headers_add(&f->head->headers, "Authorization",
			       credentials.c_str());
	return f;
}

struct marks_case {
	const char *guards;
	/*
	 * Of "closed", "stopped", "alive" (as instance 7, or 8), "wait MS",
	 * "again", "answered", "served" (another run of it), and the results of
	 * checks below.
	 */
	std::vector<std::string> events;
	bool refused;
};

/* Results of checks; the runs are those of instance 7. */
const std::map<std::string, struct eb_crash_check> results = {
	{ "up", { EB_CRASH_STATE_UP, 7 } },
	{ "other", { EB_CRASH_STATE_UP, 8 } },
	{ "unnamed", { EB_CRASH_STATE_UP, 0 } },
	{ "down", { EB_CRASH_STATE_DOWN, 0 } },
	{ "cuts", { EB_CRASH_STATE_CUTS, 0 } },
};

const marks_case cases[] = {
	{ "a run that was cut counts as a crash", { "closed" }, false },
	{ "a reset of a sound upstream counts as a crash",
	  { "closed", "wait 20", "up", "closed", "wait 20", "up" },
	  false },
	{ "one crash, which may be a coincidence, is enough",
	  { "closed", "wait 20", "down" },
	  false },
	{ "a request that crashed two upstreams runs again",
	  { "closed", "wait 20", "down", "closed", "wait 20", "down" },
	  true },
	{ "an answered request stays suspected",
	  { "closed", "wait 20", "down", "closed", "wait 20", "down",
	    "answered" },
	  false },
	{ "a mark lasts for ever",
	  { "closed", "wait 20", "down", "closed", "wait 20", "down",
	    "wait 600000" },
	  false },
	{ "a run that was stopped at a silent upstream does not count",
	  { "stopped", "wait 300", "down", "stopped", "wait 300", "down" },
	  true },
	{ "a run that was stopped counts though its upstream answers others",
	  { "stopped", "alive", "closed", "wait 300", "down" },
	  false },
	{ "an answer to another run hides a crash",
	  { "closed", "alive", "wait 20", "down", "closed", "alive", "wait 20",
	    "down" },
	  true },
	{ "an upstream that crashes behind an open port is taken for a live "
	  "one",
	  { "closed", "wait 20", "cuts", "wait 500", "cuts", "wait 300", "up",
	    "closed", "wait 20", "cuts", "wait 500", "cuts" },
	  true },
	{ "an upstream that cuts connections for a moment counts as crashed",
	  { "closed", "wait 20", "cuts", "wait 200", "cuts", "wait 100", "up",
	    "closed", "wait 20", "down" },
	  false },
	{ "an upstream that is full counts as crashed",
	  { "closed", "wait 20", "cuts", "wait 200", "cuts", "alive",
	    "wait 100", "cuts", "closed", "wait 200", "cuts", "alive",
	    "wait 200", "cuts" },
	  false },
	{ "one outage counts as several crashes",
	  { "closed", "wait 20", "cuts", "wait 500", "cuts", "closed",
	    "wait 300", "cuts", "wait 300", "cuts" },
	  false },
	{ "another start of the upstream hides a crash",
	  { "closed", "wait 20", "other", "stopped", "wait 300", "other" },
	  true },
	{ "another start that answers others hides a crash",
	  { "stopped", "alive 8", "wait 300", "other", "stopped", "alive 8",
	    "wait 300", "other" },
	  true },
	{ "an upstream that does not name itself counts as another one",
	  { "closed", "wait 20", "unnamed", "closed", "wait 20", "unnamed" },
	  false },
	{ "a request that is served all the time is refused for two crashes",
	  { "served", "closed", "wait 20", "down", "wait 5000", "served",
	    "closed", "wait 20", "down" },
	  false },
	{ "an answer long ago hides that a request crashes its upstreams",
	  { "served", "wait 10000", "closed", "wait 20", "down", "closed",
	    "wait 20", "down" },
	  true },
	{ "a second run goes on beside the first one of a marked request",
	  { "closed", "wait 20", "down", "again" },
	  true },
};

/* Guards against the failure that `guards` of each case describes. */
TEST(Marks, Decisions)
{
	for (const marks_case &c : cases) {
		eb_crash_detect *mk = eb_crash_detect_new("agenda-1");
		eb_frame *f = request("/x", 1);
		eb_crash_run id = { eb_crash_detect_identify(f), 7 };
		eb_crash_id got;
		int64_t now_us = 1000 * MS;

		SCOPED_TRACE(c.guards);
		for (const std::string &ev : c.events) {
			if (ev == "closed") {
				eb_crash_detect_closed(mk, &id, now_us);
			} else if (ev == "stopped") {
				eb_crash_detect_stopped(mk, &id, now_us);
				EXPECT_FALSE(eb_crash_detect_check_due(
					mk, now_us + 299 * MS));
			} else if (ev == "alive" || ev == "alive 8") {
				eb_crash_detect_alive(mk,
						      ev == "alive" ? 7 : 8);
			} else if (ev == "served") {
				eb_crash_detect_answered(mk, &id.id, now_us);
			} else if (ev == "answered") {
				eb_crash_detect_ended(mk, &id.id, 1);
			} else if (ev == "again") {
				EXPECT_EQ(0u, eb_crash_detect_refuse(
						      mk, f, now_us, &got));
			} else if (ev.rfind("wait", 0) == 0) {
				now_us += atoll(ev.c_str() + 5) * MS;
			} else {
				EXPECT_TRUE(
					eb_crash_detect_check_due(mk, now_us));
				eb_crash_detect_checked(mk, &results.at(ev),
							now_us);
			}
		}
		EXPECT_EQ(c.refused,
			  eb_crash_detect_refuse(mk, f, now_us, &got) > 0);
		eb_frame_unref(f);
		eb_crash_detect_free(mk);
	}
}

/* Guards against a check too early, two at once, or one without a suspect. */
TEST(Marks, ChecksOnceAndNotBeforeTheListenerIsClosed)
{
	eb_crash_detect *mk = eb_crash_detect_new("agenda-1");
	const eb_crash_run a = { { 4, 5, 6, 7 }, 0 },
			   b = { { 8, 9, 10, 11 }, 0 },
			   c = { { 12, 13, 14, 15 }, 0 };

	EXPECT_FALSE(eb_crash_detect_check_due(mk, 100 * MS));
	eb_crash_detect_closed(mk, &a, 100 * MS);
	EXPECT_FALSE(eb_crash_detect_check_due(mk, 119 * MS));
	EXPECT_TRUE(eb_crash_detect_check_due(mk, 120 * MS));
	EXPECT_FALSE(eb_crash_detect_check_due(mk, 130 * MS));
	/* Closed after the check was sent, so its result does not count. */
	eb_crash_detect_closed(mk, &b, 121 * MS);
	EXPECT_EQ(0u, eb_crash_detect_checked(mk, &results.at("unnamed"),
					      122 * MS));
	EXPECT_TRUE(eb_crash_detect_check_due(mk, 141 * MS));
	EXPECT_EQ(1u,
		  eb_crash_detect_checked(mk, &results.at("down"), 142 * MS));
	EXPECT_FALSE(eb_crash_detect_check_due(mk, 200 * MS));
	EXPECT_EQ(1u, eb_crash_detect_generation(mk));
	/* A lost result of a check does not prevent the next check. */
	eb_crash_detect_closed(mk, &c, 200 * MS);
	EXPECT_TRUE(eb_crash_detect_check_due(mk, 220 * MS));
	EXPECT_FALSE(eb_crash_detect_check_due(mk, 1219 * MS));
	EXPECT_TRUE(eb_crash_detect_check_due(mk, 1220 * MS));
	eb_crash_detect_free(mk);
}

/*
 * Guards against a mark that also refuses other requests or callers, and
 * against one that does not refuse the caller at another address.
 */
TEST(Marks, OthersAreNotRefused)
{
	eb_crash_detect *mk = eb_crash_detect_new("agenda-1");
	eb_frame *bad = request("/x", 1, "anna");
	eb_frame *elsewhere = request("/x", 2, "anna");
	std::vector<eb_frame *> others = { request("/x", 1, "bert"),
					   request("/x", 1),
					   request("/y", 1, "anna") };
	eb_crash_run id = { eb_crash_detect_identify(bad), 0 };
	eb_crash_id got;

	for (int n = 0; n < 2; n++) {
		eb_crash_detect_closed(mk, &id, n * 100 * MS);
		ASSERT_TRUE(eb_crash_detect_check_due(mk, (n * 100 + 20) * MS));
		eb_crash_detect_checked(mk, &results.at("down"),
					(n * 100 + 20) * MS);
	}
	EXPECT_LT(0u, eb_crash_detect_refuse(mk, bad, 200 * MS, &got));
	EXPECT_LT(0u, eb_crash_detect_refuse(mk, elsewhere, 200 * MS, &got));
	for (eb_frame *f : others) {
		EXPECT_EQ(0u, eb_crash_detect_refuse(mk, f, 200 * MS, &got));
		eb_frame_unref(f);
	}
	eb_frame_unref(elsewhere);
	eb_frame_unref(bad);
	eb_crash_detect_free(mk);
}

/* Guards against unbounded suspects, and marks that no other daemon gets. */
TEST(Marks, ManySuspectsAndAnotherDaemon)
{
	eb_crash_detect *mk = eb_crash_detect_new("agenda-1");
	eb_crash_detect *other = eb_crash_detect_new("agenda-2");
	std::vector<std::string> parts;
	uint32_t from = 0;

	for (uint64_t n = 0; n < 2 * EB_CRASH_DETECT_SUSPECTS_MAX; n++) {
		const eb_crash_run id = {
			{ 4 * n + 4, 4 * n + 5, 4 * n + 6, 4 * n + 7 }, 0
		};

		eb_crash_detect_closed(mk, &id, 0);
	}
	ASSERT_TRUE(eb_crash_detect_check_due(mk, 20 * MS));
	EXPECT_EQ((uint32_t)EB_CRASH_DETECT_SUSPECTS_MAX,
		  eb_crash_detect_checked(mk, &results.at("down"), 20 * MS));
	do {
		msgpack_sbuffer sb;

		msgpack_sbuffer_init(&sb);
		eb_crash_detect_encode(mk, &from, 1, 20 * MS, &sb);
		parts.emplace_back(sb.data, sb.size);
		msgpack_sbuffer_destroy(&sb);
	} while (from);
	for (const std::string &part : parts)
		EXPECT_EQ(EB_OK, eb_crash_detect_receive(other, part.data(),
							 part.size(), 20 * MS));
	EXPECT_EQ(eb_crash_detect_count(mk), eb_crash_detect_count(other));
	EXPECT_EQ(0u, eb_crash_detect_generation(other));
	/* What it learns is passed on, not what it knows. */
	EXPECT_EQ(parts.size(), eb_crash_detect_changes(other));
	for (const std::string &part : parts)
		EXPECT_EQ(EB_OK, eb_crash_detect_receive(other, part.data(),
							 part.size(), 20 * MS));
	EXPECT_EQ(parts.size(), eb_crash_detect_changes(other));
	eb_crash_detect_free(other);
	eb_crash_detect_free(mk);
}

/*
 * Guards against crashes of one upstream that count as one, since its daemon
 * has restarted in between and learned the earlier mark from another daemon.
 */
TEST(Marks, CrashesOfOneUpstreamAcrossARestart)
{
	eb_crash_detect *mk = eb_crash_detect_new("agenda-1"), *next;
	eb_frame *bad = request("/x", 1);
	eb_crash_run run = { eb_crash_detect_identify(bad), 0 };
	eb_crash_id got;

	for (int n = 0; n < 2; n++) {
		int64_t now_us = (n + 1) * 3000 * MS;
		msgpack_sbuffer sb;
		uint32_t from = 0;

		EXPECT_EQ(0u, eb_crash_detect_refuse(mk, bad, now_us, &got));
		eb_crash_detect_closed(mk, &run, now_us);
		now_us += 20 * MS;
		ASSERT_TRUE(eb_crash_detect_check_due(mk, now_us));
		eb_crash_detect_checked(mk, &results.at("down"), now_us);
		msgpack_sbuffer_init(&sb);
		eb_crash_detect_encode(mk, &from, 1, now_us, &sb);
		next = eb_crash_detect_new("agenda-1");
		EXPECT_EQ(EB_OK, eb_crash_detect_receive(next, sb.data, sb.size,
							 now_us));
		msgpack_sbuffer_destroy(&sb);
		eb_crash_detect_free(mk);
		mk = next;
	}
	EXPECT_LT(0u, eb_crash_detect_refuse(mk, bad, 7000 * MS, &got));
	eb_frame_unref(bad);
	eb_crash_detect_free(mk);
}

/*
 * Guards against a popular path that is refused since requests to it, each with
 * another query, ran when upstreams crashed; and against a query that crashes
 * them and is not refused, as others to that path are served.
 */
TEST(Marks, APathThatIsServed)
{
	eb_crash_detect *mk = eb_crash_detect_new("agenda-1");
	eb_frame *good = request("/x?good", 1), *bad = request("/x?bad", 1);
	const eb_crash_id served = eb_crash_detect_identify(good);
	eb_crash_id got;

	for (int n = 0; n < 3; n++) {
		eb_frame *f = request("/x?" + std::to_string(n < 2 ? 0 : 1), 1);
		const eb_crash_run runs[] = {
			{ eb_crash_detect_identify(f), 0 },
			{ eb_crash_detect_identify(bad), 0 },
		};
		int64_t now_us = (n + 1) * 1000 * MS;

		eb_crash_detect_answered(mk, &served, now_us);
		for (const eb_crash_run &run : runs)
			eb_crash_detect_closed(mk, &run, now_us);
		ASSERT_TRUE(eb_crash_detect_check_due(mk, now_us + 20 * MS));
		eb_crash_detect_checked(mk, &results.at("down"),
					now_us + 20 * MS);
		eb_frame_unref(f);
	}
	EXPECT_EQ(0u, eb_crash_detect_refuse(mk, good, 4000 * MS, &got));
	EXPECT_LT(0u, eb_crash_detect_refuse(mk, bad, 4000 * MS, &got));
	eb_frame_unref(good);
	eb_frame_unref(bad);
	eb_crash_detect_free(mk);
}

} // namespace
