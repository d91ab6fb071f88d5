#include <apr_general.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_origin.h"
#include "eb_overdue.h"
#include "eb_release.h"
}

namespace
{

const int64_t MS = 1000;

const char *const NOTE =
	"{\"release\":1,\"builds_on\":0,\"note\":\"t\",\"added\":{"
	"\"services\":[{\"name\":\"agenda\",\"match\":{\"path_prefix\":"
	"\"/agenda\"},\"deadline_ms\":100}],\"upstreams\":["
	"{\"name\":\"a-1\",\"service\":\"agenda\",\"address\":\"127.0.0.1:1\","
	"\"daemon\":\"127.0.0.1:2\",\"key\":\"\",\"region\":\"r\","
	"\"failure_domain\":\"d\",\"slots\":1,\"connections\":9},"
	"{\"name\":\"a-2\",\"service\":\"agenda\",\"address\":\"127.0.0.1:3\","
	"\"daemon\":\"127.0.0.1:4\",\"key\":\"\",\"region\":\"r\","
	"\"failure_domain\":\"e\",\"slots\":1,\"connections\":9}]}}";

/*
 * An origin without an upstream of its own, and two peers that are up. The
 * frames that it sends are recorded; "gate" is the gate of the picked node.
 */
class Origin : public ::testing::Test
{
protected:
	static void SetUpTestSuite()
	{
		apr_initialize();
	}

	eb_settings se = {};
	eb_metrics *mt = nullptr;
	eb_tracer *tr = nullptr;
	eb_mesh *ms = nullptr;
	eb_nodes *nd = nullptr;
	eb_origin *og = nullptr;
	std::vector<std::string> out;
	std::vector<uint64_t> numbers; /* of the attempts so far */
	std::vector<uint32_t> nodes;   /* of the attempts so far */
	int64_t now_us = 1000000;
	/* Regions of the service, as JSON, and of the second upstream. */
	std::string regions = "null", second_region = "r";
	char own_region[2] = "d";    /* of the origin */
	uint32_t retry_after_ms = 0; /* of the last answer */
	uint16_t slots = 0;	     /* in load reports; 0: none are sent */

	void start(bool serving = true)
	{
		eb_origin_callbacks callbacks = { to_front, to_gate, ask,
						  this };
		eb_findings fs = {};
		eb_error err = {};

		se.upstream = (char *)"other-1";
		se.daemon_address = (char *)"127.0.0.1:*";
		se.region = se.failure_domain = own_region;
		se.plain_peers = 1;
		mt = eb_metrics_new();
		tr = eb_tracer_new("test", 64);
		ms = eb_mesh_new(&se, 5, mt, nullptr, &err);
		ASSERT_NE(nullptr, ms) << err.message;
		nd = eb_nodes_new(&se, ms, 1);
		eb_origin_config cf = { 5,	 nd,	  mt, tr, nullptr,
					nullptr, nullptr, 0,  0 };
		og = eb_origin_new(&cf, &callbacks, &fs);
		ASSERT_EQ(0u, fs.count);
		configure();
		if (serving)
			eb_origin_serve(og, now_us);
		out.clear();
		numbers.clear();
		nodes.clear();
	}

	void stop()
	{
		eb_origin_free(og);
		eb_nodes_free(nd);
		eb_mesh_free(ms);
		eb_tracer_free(tr);
		eb_metrics_free(mt);
	}

	/* Puts NOTE in force; upstreams are in failure domains d and e. */
	void configure(const std::vector<std::string> &evacuated = {})
	{
		json_t *note = json_loads(NOTE, 0, nullptr);
		json_t *added = json_object_get(note, "added");
		eb_config *base = eb_config_new_empty(), *cf = nullptr;
		eb_findings fs = {};

		if (regions != "null")
			json_object_set_new(
				json_array_get(
					json_object_get(added, "services"), 0),
				"regions",
				json_loads(regions.c_str(), 0, nullptr));
		json_object_set_new(
			json_array_get(json_object_get(added, "upstreams"), 1),
			"region", json_string(second_region.c_str()));
		ASSERT_EQ(EB_OK,
			  eb_release_apply(base, note, 1, "t", &fs, &cf));
		for (const std::string &domain : evacuated)
			eb_texts_add(&cf->evacuated, domain.c_str());
		eb_nodes_configure(nd, cf, now_us);
		for (uint32_t i = 0; i < eb_nodes_count(nd); i++) {
			eb_nodes_get(nd, i)->peer->up = 1;
			eb_nodes_changed(nd, i, now_us);
		}
		eb_config_unref(cf);
		eb_config_unref(base);
		json_decref(note);
	}

	static void to_front(void *ctx, eb_frame *f)
	{
		Origin *t = static_cast<Origin *>(ctx);
		std::string line =
			std::string("front ") + eb_frame_type_name(f->type);

		if (f->reply && f->type != EB_FRAME_RHEAD)
			line += " " + std::to_string(f->reply->status) + " " +
				eb_outcome_name(f->reply->outcome) + " " +
				eb_reason_name(f->reply->reason);
		if (f->reply)
			t->retry_after_ms = f->reply->retry_after_ms;
		t->out.push_back(line);
		eb_frame_unref(f);
	}

	static eb_status to_gate(void *ctx, uint32_t node, eb_frame *f)
	{
		Origin *t = static_cast<Origin *>(ctx);

		if (f->type == EB_FRAME_HEAD) {
			t->numbers.push_back(f->call);
			t->nodes.push_back(node);
		}
		t->out.push_back(std::string("gate ") +
				 eb_frame_type_name(f->type));
		if (f->head && f->head->goal_us < 0 && !f->head->attempt)
			t->out.back() += " copy";
		eb_frame_unref(f);
		return EB_OK;
	}

	static void ask(void *ctx, uint32_t)
	{
		static_cast<Origin *>(ctx)->out.push_back("ask");
	}

	eb_frame *head(const char *method, int kind)
	{
		eb_frame *f = eb_frame_new(EB_FRAME_HEAD, 40);

		f->head->method = strdup(method);
		f->head->target = strdup("/agenda/x");
		f->head->hops = 3;
		f->head->body_kind = (uint8_t)kind;
		return f;
	}

	/* A frame of the gate of attempt `n`, counted from 1. */
	void gate(eb_frame_type type, int n, eb_outcome outcome,
		  eb_reason reason, int kind)
	{
		eb_frame *f = eb_frame_new(type, numbers.at((size_t)n - 1));

		if (f->reply) {
			f->reply->status = 200;
			f->reply->outcome = (uint8_t)outcome;
			f->reply->reason = (uint8_t)reason;
			f->reply->body_kind = (uint8_t)kind;
			f->reply->load.slots = slots;
		}
		eb_origin_from_gate(og, nodes.at((size_t)n - 1), f, now_us);
	}

	/* Sets whether the second peer is up; `incarnation` is 0 until then. */
	void set_second(int up, uint64_t incarnation)
	{
		eb_node *n = eb_nodes_get(nd, 1);

		n->peer->up = (uint8_t)up;
		n->peer->incarnation = incarnation;
		eb_nodes_changed(nd, 1, now_us);
		if (up)
			eb_origin_node_up(og, now_us);
	}

	void suspect(uint32_t node)
	{
		eb_nodes_get(nd, node)->peer->liveness.suspected = 1;
		eb_nodes_suspicion_changed(nd, node, now_us);
		eb_origin_gate_suspected(og, node, now_us);
	}

	void run(const std::string &ev)
	{
		int n = atoi(ev.c_str() + ev.size() - 1);

		if (ev == "get")
			eb_origin_from_front(og, head("GET", EB_BODY_NONE),
					     now_us);
		else if (ev == "post")
			eb_origin_from_front(og, head("POST", EB_BODY_NONE),
					     now_us);
		else if (ev == "upload")
			eb_origin_from_front(og, head("PUT", EB_BODY_CHUNKED),
					     now_us);
		else if (ev == "gone")
			eb_origin_from_front(
				og, eb_frame_new(EB_FRAME_CANCEL, 40), now_us);
		else if (ev == "data")
			eb_origin_from_front(
				og,
				eb_frame_new_data(EB_FRAME_DATA, 40, "x", 1),
				now_us);
		else if (ev == "heartbeats")
			for (uint32_t i = 0; i < 2; i++) {
				eb_frame *f = eb_frame_new(EB_FRAME_HELLO, 0);

				f->reply->load.slots = slots;
				eb_origin_from_gate(og, i, f, now_us);
			}
		else if (ev == "elsewhere")
			second_region = "s";
		else if (ev.rfind("home ", 0) == 0) {
			regions = "[\"" + ev.substr(5) + "\"]";
			configure();
		} else if (ev == "undialled")
			set_second(0, 0);
		else if (ev == "silent")
			set_second(0, 7);
		else if (ev == "reached")
			set_second(1, 7);
		else if (ev.rfind("evacuated", 0) == 0) {
			eb_nodes_get(nd, (uint32_t)n - 1)->evacuated = 1;
			eb_nodes_changed(nd, (uint32_t)n - 1, now_us);
		} else if (ev.rfind("suspect", 0) == 0)
			suspect(nodes.at((size_t)n - 1));
		else if (ev.rfind("moved", 0) == 0)
			gate(EB_FRAME_REFUSE, n, EB_OUTCOME_NOT_RUN,
			     EB_REASON_NO_UPSTREAM, 0);
		else if (ev.rfind("leaves", 0) == 0)
			gate(EB_FRAME_REFUSE, n, EB_OUTCOME_NOT_RUN,
			     EB_REASON_DRAINING, 0);
		else if (ev.rfind("full", 0) == 0)
			gate(EB_FRAME_REFUSE, n, EB_OUTCOME_NOT_RUN,
			     EB_REASON_QUEUE_FULL, 0);
		else if (ev.rfind("missed", 0) == 0)
			gate(EB_FRAME_REFUSE, n, EB_OUTCOME_NOT_RUN,
			     EB_REASON_LOST_PEER, 0);
		else if (ev.rfind("refuse", 0) == 0)
			gate(EB_FRAME_REFUSE, n, EB_OUTCOME_NOT_RUN,
			     EB_REASON_CONNECT, 0);
		else if (ev.rfind("abort", 0) == 0)
			gate(EB_FRAME_ABORT, n, EB_OUTCOME_UNKNOWN,
			     EB_REASON_UPSTREAM_CLOSED, 0);
		else if (ev.rfind("whole", 0) == 0)
			gate(EB_FRAME_RHEAD, n, EB_OUTCOME_RAN, EB_REASON_NONE,
			     EB_BODY_INLINE);
		else if (ev.rfind("begin", 0) == 0)
			gate(EB_FRAME_RHEAD, n, EB_OUTCOME_RAN, EB_REASON_NONE,
			     EB_BODY_LENGTH);
		else if (ev.rfind("end", 0) == 0)
			gate(EB_FRAME_REND, n, EB_OUTCOME_RAN, EB_REASON_NONE,
			     0);
		else if (ev.rfind("credit", 0) == 0)
			gate(EB_FRAME_CREDIT, n, EB_OUTCOME_RAN, EB_REASON_NONE,
			     0);
		else if (ev.rfind("listed", 0) == 0) {
			eb_frame *f = eb_frame_new(EB_FRAME_HELLO, 0);

			eb_overdue_add(f, numbers.at((size_t)n - 1));
			eb_origin_from_gate(og, nodes.at((size_t)n - 1), f,
					    now_us);
		} else if (ev.rfind("lists", 0) == 0 ||
			   ev.rfind("replaced", 0) == 0) {
			eb_frame *f = eb_frame_new(EB_FRAME_HELLO, 0);

			if (ev[0] == 'r')
				f->credit_bytes = EB_HELLO_REPLACES;

			eb_origin_list_overdue(og, nodes.at((size_t)n - 1), f,
					       now_us);
			out.push_back("lists " +
				      std::to_string(eb_overdue_count(f)));
			eb_frame_unref(f);
		} else if (ev.rfind("lost", 0) == 0)
			eb_origin_gate_lost(og, nodes.at((size_t)n - 1),
					    now_us);
		else if (ev.rfind("wait", 0) == 0) {
			now_us += atoi(ev.c_str() + 4) * MS;
			eb_origin_tick(og, now_us);
		} else
			FAIL() << ev;
	}
};

struct scenario {
	const char *guards;
	std::vector<std::string> events;
	std::vector<std::string> expected;
};

const scenario scenarios[] = {
	{ "an answer reaches its caller",
	  { "post", "whole 1" },
	  { "gate head", "front rhead" } },
	{ "a refused request goes to another upstream",
	  { "post", "refuse 1", "whole 2" },
	  { "gate head", "gate head", "front rhead" } },
	{ "a request that every upstream refused was not run",
	  { "post", "refuse 1", "refuse 2" },
	  { "gate head", "gate head",
	    "front refuse 503 not-run connect-failed" } },
	{ "a request that may have run is not sent again unless idempotent",
	  { "post", "abort 1" },
	  { "gate head", "front abort 502 unknown upstream-closed" } },
	{ "an idempotent request is sent again",
	  { "get", "abort 1", "whole 2" },
	  { "gate head", "gate head", "front rhead" } },
	{ "a refusal does not hide that an earlier attempt may have run",
	  { "get", "abort 1", "refuse 2" },
	  { "gate head", "gate head",
	    "front abort 502 unknown connect-failed" } },
	{ "the answer of an earlier attempt is dropped",
	  { "get", "abort 1", "whole 1", "whole 2" },
	  { "gate head", "gate head", "front rhead" } },
	{ "a request at a lost gate has an unknown outcome",
	  { "post", "lost 1" },
	  { "gate head", "front abort 502 unknown lost-peer" } },
	{ "an answer that was cut off is never completed by another attempt",
	  { "get", "begin 1", "lost 1" },
	  { "gate head", "front rhead", "front abort 502 unknown lost-peer" } },
	{ "a body that has begun is not sent again",
	  { "upload", "credit 1", "data", "refuse 1" },
	  { "gate head", "front credit", "gate data",
	    "front refuse 503 not-run connect-failed" } },
	{ "a request past its deadline has an unknown outcome",
	  { "post", "wait 200" },
	  { "gate head", "gate cancel", "front abort 504 unknown deadline" } },
	{ "a call whose cancellation was lost is cancelled again",
	  { "post", "gone", "listed 1" },
	  { "gate head", "gate cancel", "gate cancel" } },
	{ "a call that origin and gate both have continues",
	  { "post", "listed 1", "whole 1" },
	  { "gate head", "front rhead" } },
	{ "only calls that have lasted for long are listed",
	  { "post", "begin 1", "lists 1", "wait 2000", "lists 1" },
	  { "gate head", "front rhead", "lists 0", "ask", "lists 1" } },
	{ "a call refused by a leaving upstream waits for a first connection",
	  { "undialled", "post", "leaves 1", "reached", "whole 2" },
	  { "gate head", "gate head", "front rhead" } },
	{ "a call does not wait for a first connection past its deadline",
	  { "undialled", "post", "leaves 1", "wait 50", "wait 50" },
	  { "gate head", "front refuse 503 not-run draining" } },
	{ "a call does not wait for an unresponsive peer",
	  { "silent", "post", "leaves 1" },
	  { "gate head", "front refuse 503 not-run draining" } },
	{ "a replaced connection leaves the calls that wait on it unmentioned",
	  { "post", "replaced 1" },
	  { "gate head", "lists 1" } },
	{ "a call that did not arrive at the only gate is not sent there again",
	  { "silent", "post", "missed 1", "whole 2" },
	  { "gate head", "gate head", "front rhead" } },
	{ "an idempotent call at a suspected gate is sent to another one",
	  { "get", "suspect 1", "whole 2", "whole 1" },
	  { "gate head", "gate cancel", "gate head", "front rhead" } },
	{ "a call that is not idempotent stays at a suspected gate",
	  { "post", "suspect 1", "whole 1" },
	  { "gate head", "front rhead" } },
	{ "an idempotent call stays when there is no other upstream",
	  { "silent", "get", "suspect 1", "whole 1" },
	  { "gate head", "front rhead" } },
	{ "a new call goes to a gate that is not suspected",
	  { "get", "suspect 1", "whole 2", "get", "whole 3" },
	  { "gate head", "gate cancel", "gate head", "front rhead", "gate head",
	    "front rhead" } },
	{ "the call of a caller that closed its connection is cancelled",
	  { "post", "gone" },
	  { "gate head", "gate cancel" } },
};

/*
 * Guards against calls that end with a wrong outcome, or that are sent twice
 * though they may have run: replies, failures and time-outs come in any order.
 */
TEST_F(Origin, Scenarios)
{
	for (const scenario &sc : scenarios) {
		SCOPED_TRACE(sc.guards);
		start();
		for (const std::string &event : sc.events)
			run(event);
		EXPECT_EQ(sc.expected, out);
		stop();
	}
}

/*
 * Guards against calls that go on to an upstream which has just refused one for
 * its rate limit, and against an upstream that is left out for good.
 */
TEST_F(Origin, UpstreamsAtTheirRateLimitAreLeftOut)
{
	uint32_t limited;
	int again = 0;

	start();
	run("post");
	limited = nodes[0];
	eb_frame *f = eb_frame_new(EB_FRAME_REFUSE, numbers[0]);
	f->reply->outcome = EB_OUTCOME_NOT_RUN;
	f->reply->reason = EB_REASON_HANDED_BACK;
	f->reply->status = EB_STATUS_RATE_LIMITED;
	f->reply->retry_after_ms = 1900;
	eb_origin_from_gate(og, limited, f, now_us);
	run("whole 2");
	for (int n = 3; n < 43; n++) {
		run("post");
		EXPECT_NE(limited, nodes.back());
		run("wait 45");
		gate(EB_FRAME_RHEAD, n, EB_OUTCOME_RAN, EB_REASON_NONE,
		     EB_BODY_INLINE);
	}
	run("wait 2000");
	for (int n = 43; n < 83; n++) {
		run("post");
		again += limited == nodes.back();
		gate(EB_FRAME_RHEAD, n, EB_OUTCOME_RAN, EB_REASON_NONE,
		     EB_BODY_INLINE);
	}
	EXPECT_GT(again, 0);
	stop();
}

struct home_scenario {
	const char *guards;
	std::vector<std::string> events;
	std::vector<std::string> expected;
	std::vector<uint32_t> nodes; /* of the attempts */
	int64_t refused;	     /* counted for lack of an upstream */
};

/* The first upstream is in region r, the second in region s. */
const home_scenario home_scenarios[] = {
	{ "a request runs in its home region",
	  { "home s", "post", "whole 1" },
	  { "gate head", "front rhead" },
	  { 1 },
	  0 },
	{ "a refused request does not leave it",
	  { "home s", "get", "refuse 1" },
	  { "gate head", "front refuse 503 not-run connect-failed" },
	  { 1 },
	  0 },
	{ "nor does one whose upstream leaves",
	  { "home s", "get", "leaves 1" },
	  { "gate head", "front refuse 503 not-run draining" },
	  { 1 },
	  1 },
	{ "nor one at a gate that is suspected",
	  { "home s", "get", "suspect 1", "whole 1" },
	  { "gate head", "front rhead" },
	  { 1 },
	  0 },
	{ "nor one at a gate that is lost",
	  { "home s", "get", "silent", "lost 1" },
	  { "gate head", "front abort 502 unknown lost-peer" },
	  { 1 },
	  0 },
	{ "without an upstream there it is refused at once",
	  { "silent", "home s", "silent", "post" },
	  { "front refuse 503 not-run no-upstream" },
	  {},
	  1 },
	{ "also if that is evacuated",
	  { "home s", "evacuated 2", "post" },
	  { "front refuse 503 not-run no-upstream" },
	  {},
	  1 },
	{ "it does not wait for a daemon elsewhere that has not answered",
	  { "home r", "undialled", "evacuated 1", "post" },
	  { "front refuse 503 not-run no-upstream" },
	  {},
	  1 },
	{ "nor for one in an evacuated failure domain",
	  { "home s", "undialled", "evacuated 2", "post" },
	  { "front refuse 503 not-run no-upstream" },
	  {},
	  1 },
	{ "it waits for one at home",
	  { "home s", "undialled", "post", "reached", "whole 1" },
	  { "gate head", "front rhead" },
	  { 1 },
	  0 },
	{ "a parked request follows a change of the regions",
	  { "home s", "undialled", "post", "home r", "wait 1", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0 },
	  0 },
	{ "one whose daemon is evacuated while it waits is refused",
	  { "home s", "undialled", "post", "evacuated 2", "wait 1" },
	  { "front refuse 503 not-run no-upstream" },
	  {},
	  1 },
	{ "a retry uses the regions that are now in force",
	  { "home r", "post", "home s", "moved 1", "whole 2" },
	  { "gate head", "gate head", "front rhead" },
	  { 0, 1 },
	  0 },
	{ "a move from a suspected gate uses them, too",
	  { "home s", "get", "home r", "suspect 1", "whole 2" },
	  { "gate head", "gate cancel", "gate head", "front rhead" },
	  { 1, 0 },
	  0 },
	{ "a gate that refuses the region ends a call without another one",
	  { "home s", "post", "moved 1" },
	  { "gate head", "front refuse 503 not-run no-upstream" },
	  { 1 },
	  1 },
};

/*
 * Guards against requests that reach upstreams outside the home regions of
 * their route, and against refusals without a time to come back.
 */
TEST_F(Origin, HomeRegions)
{
	for (const home_scenario &sc : home_scenarios) {
		SCOPED_TRACE(sc.guards);
		regions = "null";
		second_region = "s";
		retry_after_ms = 0;
		start();
		for (const std::string &event : sc.events)
			run(event);
		EXPECT_EQ(sc.expected, out);
		EXPECT_EQ(sc.nodes, nodes);
		EXPECT_EQ(sc.refused,
			  eb_metrics_get(mt, EB_METRIC_HOME_REFUSED));
		ASSERT_FALSE(out.empty());
		EXPECT_EQ(out.back().find(" 503 ") != std::string::npos ? 1000
									: 0,
			  (int)retry_after_ms);
		stop();
	}
}

/*
 * Guards against requests that are sent to evacuated upstreams, that wait for
 * the first answer of one, and against a sudden return of its load.
 */
TEST_F(Origin, EvacuatedUpstreamsAreLeftOut)
{
	int early = 0, late = 0;
	auto call = [this] {
		run("post");
		gate(EB_FRAME_RHEAD, (int)numbers.size(), EB_OUTCOME_RAN,
		     EB_REASON_NONE, EB_BODY_INLINE);
		return nodes.back() == 1;
	};

	start();
	configure({ "e", "unknown" });
	for (int i = 0; i < 100; i++)
		EXPECT_FALSE(call());
	configure({ "d", "e" });
	set_second(0, 0);
	out.clear();
	run("post");
	EXPECT_EQ((std::vector<std::string>{
			  "front refuse 503 not-run no-upstream" }),
		  out);
	EXPECT_EQ(1, eb_metrics_get(mt, EB_METRIC_EVACUATED_REFUSED));
	configure({ "e" });
	EXPECT_FALSE(call());
	run("wait 2000");
	configure();
	for (int i = 0; i < 100; i++)
		early += call();
	run("wait 2000");
	for (int i = 0; i < 100; i++)
		late += call();
	EXPECT_LT(early, 15);
	EXPECT_GT(late, 30);
	stop();
}

struct copy_scenario {
	const char *guards;
	std::vector<std::string> events;
	std::vector<std::string> expected;
	/* Copies sent, won, cancelled as the first attempt won, refused. */
	std::vector<int64_t> copies;
};

/* A copy is due after 13 ms; the deadline is 100 ms. */
const copy_scenario copy_scenarios[] = {
	{ "no copy of a request that is not slow",
	  { "get", "wait 9", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "the copy answers first, the other answer is dropped",
	  { "get", "wait 20", "whole 2", "whole 1" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 1, 0, 0 } },
	{ "the first attempt answers first",
	  { "get", "wait 20", "whole 1", "whole 2" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 0, 1, 0 } },
	{ "one copy only",
	  { "get", "wait 20", "wait 20", "whole 1" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 0, 1, 0 } },
	{ "the first attempt fails, the copy answers",
	  { "get", "wait 20", "abort 1", "whole 2" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "the copy fails, the first attempt answers",
	  { "get", "wait 20", "abort 2", "whole 1" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "the copy is refused, the first attempt answers",
	  { "get", "wait 20", "full 2", "whole 1" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 1 } },
	{ "the first attempt is refused, the copy answers",
	  { "get", "wait 20", "leaves 1", "whole 2" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "both fail: the request may have run and is not sent a third time",
	  { "get", "wait 20", "abort 2", "abort 1" },
	  { "gate head", "gate head copy",
	    "front abort 502 unknown upstream-closed" },
	  { 1, 0, 0, 0 } },
	{ "both are refused: the request is sent again",
	  { "get", "wait 20", "refuse 1", "refuse 2", "whole 3" },
	  { "gate head", "gate head copy", "gate head", "front rhead" },
	  { 1, 0, 0, 1 } },
	{ "all are refused: the request has not run",
	  { "get", "wait 20", "refuse 1", "refuse 2", "refuse 3", "refuse 4" },
	  { "gate head", "gate head copy", "gate head", "gate head",
	    "front refuse 503 not-run connect-failed" },
	  { 1, 0, 0, 1 } },
	{ "refusals do not hide that the first attempt may have run",
	  { "get", "wait 20", "abort 1", "refuse 2", "refuse 3", "refuse 4" },
	  { "gate head", "gate head copy", "gate head", "gate head",
	    "front abort 502 unknown connect-failed" },
	  { 1, 0, 0, 1 } },
	{ "both are cancelled when the caller leaves",
	  { "get", "wait 20", "gone", "whole 2", "listed 1", "listed 2" },
	  { "gate head", "gate head copy", "gate cancel", "gate cancel",
	    "gate cancel", "gate cancel" },
	  { 1, 0, 0, 0 } },
	{ "both are cancelled at the deadline",
	  { "get", "wait 20", "wait 150" },
	  { "gate head", "gate head copy", "gate cancel", "gate cancel",
	    "front abort 504 unknown deadline" },
	  { 1, 0, 0, 0 } },
	{ "one remains until the deadline",
	  { "get", "wait 20", "abort 1", "wait 150" },
	  { "gate head", "gate head copy", "gate cancel",
	    "front abort 504 unknown deadline" },
	  { 1, 0, 0, 0 } },
	{ "the gate of the first attempt is lost",
	  { "get", "wait 20", "lost 1", "whole 2" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "the gate of the copy is lost",
	  { "get", "wait 20", "lost 2", "whole 1" },
	  { "gate head", "gate head copy", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "a request is not moved from a suspected gate to the copy's",
	  { "get", "wait 20", "suspect 1", "whole 1" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 0, 1, 0 } },
	{ "the head of a streamed answer decides; a cut answer stays cut",
	  { "get", "wait 20", "begin 2", "whole 1", "lost 2" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead",
	    "front abort 502 unknown lost-peer" },
	  { 1, 1, 0, 0 } },
	{ "part of an answer whose head was lost does not win",
	  { "get", "wait 20", "end 2", "whole 1" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 0, 0, 0 } },
	{ "no copy once an answer has begun",
	  { "get", "begin 1", "wait 20" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "no copy of a request that may run only once",
	  { "post", "wait 20", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "no copy of a body that is not in the head",
	  { "upload", "wait 20", "gone" },
	  { "gate head", "gate cancel" },
	  { 0, 0, 0, 0 } },
	{ "no copy to an evacuated failure domain",
	  { "evacuated 1", "get", "evacuated 2", "wait 20", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "no copy outside the home regions",
	  { "elsewhere", "home s", "get", "wait 20", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "no copy without a recent load of another upstream",
	  { "wait 2600", "get", "wait 20", "whole 1" },
	  { "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
	{ "a heartbeat tells of its load",
	  { "wait 2600", "heartbeats", "get", "wait 20", "whole 2" },
	  { "gate head", "gate head copy", "gate cancel", "front rhead" },
	  { 1, 1, 0, 0 } },
	{ "no copy after a retry",
	  { "get", "refuse 1", "wait 20", "whole 2" },
	  { "gate head", "gate head", "front rhead" },
	  { 0, 0, 0, 0 } },
};

/*
 * Guards against answers of both attempts, lost answers, wrong outcomes and
 * attempts that go on without a call, whatever the order of events, and against
 * copies that are not allowed.
 */
TEST_F(Origin, Copies)
{
	for (const copy_scenario &sc : copy_scenarios) {
		SCOPED_TRACE(sc.guards);
		se.hedge_permille = 30;
		own_region[0] = 'r';
		regions = "null";
		second_region = "r";
		slots = 1;
		start();
		for (int n = 1; n <= 100; n++) {
			run("get");
			run("wait 10");
			gate(EB_FRAME_RHEAD, n, EB_OUTCOME_RAN, EB_REASON_NONE,
			     EB_BODY_INLINE);
		}
		out.clear();
		numbers.clear();
		nodes.clear();
		for (const std::string &event : sc.events)
			run(event);
		EXPECT_EQ(sc.expected, out);
		EXPECT_EQ(
			sc.copies,
			(std::vector<int64_t>{
				eb_metrics_get(mt, EB_METRIC_COPIES_SENT),
				eb_metrics_get(mt, EB_METRIC_COPIES_WON),
				eb_metrics_get(mt, EB_METRIC_COPIES_CANCELLED),
				eb_metrics_get(mt,
					       EB_METRIC_COPIES_REFUSED) }));
		stop();
	}
}

/*
 * Guards against the ejection of an upstream whose caller left, because of the
 * reason for which an earlier attempt of the call ended.
 */
TEST_F(Origin, CallersThatLeaveDoNotEject)
{
	eb_route_stats st;

	start();
	for (const char *event : { "silent", "post", "missed 1", "gone" })
		run(event);
	EXPECT_EQ((std::vector<std::string>{ "gate head", "gate head",
					     "gate cancel" }),
		  out);
	eb_route_read_stats(eb_nodes_service(nd, 0, now_us)->route, &st);
	EXPECT_EQ(0u, st.ejections);
	stop();
}

const scenario held_scenarios[] = {
	{ "a held request is sent when the daemon serves",
	  { "post", "wait 90" },
	  { "gate head" } },
	{ "a request held past its deadline has not run, and is not sent",
	  { "post", "wait 160" },
	  { "front refuse 504 not-run deadline" } },
	{ "the default deadline of an upload counts from the end of its body",
	  { "upload", "wait 160" },
	  { "gate head" } },
	{ "a held request whose caller has left is not sent",
	  { "post", "gone" },
	  {} },
};

/*
 * Guards against requests that are sent though they can't be answered in time
 * any more, and reported as possibly run, when a daemon begins to serve.
 */
TEST_F(Origin, HeldRequests)
{
	for (const scenario &sc : held_scenarios) {
		SCOPED_TRACE(sc.guards);
		start(false);
		for (const std::string &event : sc.events)
			run(event);
		eb_origin_serve(og, now_us);
		eb_origin_tick(og, now_us);
		EXPECT_EQ(sc.expected, out);
		stop();
	}
}

struct refusal {
	const char *guards;
	const char *target;
	int hops;
	int remaining_us;
	const char *expected;
};

const refusal refusals[] = {
	{ "a loop of calls", "/agenda", 0, 0,
	  "front refuse 508 not-run hop-limit" },
	{ "a call without time left", "/agenda", 3, -1,
	  "front refuse 504 not-run deadline" },
	{ "a path that matches no service", "/agendas", 3, 0,
	  "front refuse 404 not-run no-route" },
};

/* Guards against requests that reach an upstream though they can't be served.
 */
TEST_F(Origin, RefusesBeforeRouting)
{
	for (const refusal &c : refusals) {
		SCOPED_TRACE(c.guards);
		start();
		eb_frame *f = head("GET", EB_BODY_NONE);
		free(f->head->target);
		f->head->target = strdup(c.target);
		f->head->hops = (uint8_t)c.hops;
		f->head->remaining_us = c.remaining_us;
		eb_origin_from_front(og, f, now_us);
		EXPECT_EQ(std::vector<std::string>{ c.expected }, out);
		stop();
	}
}

} // namespace
