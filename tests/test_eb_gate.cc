#include <apr_general.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_gate.h"
#include "eb_overdue.h"
}

namespace
{

const uint64_t ORIGIN = 77;
const int64_t MS = 1000;

struct scenario {
	const char *guards;
	std::vector<std::string> events;
	std::vector<std::string> expected;
};

/* A gate with one slot and a queue of one; the frames it sends are recorded. */
class Gate : public ::testing::Test
{
protected:
	static void SetUpTestSuite()
	{
		apr_initialize();
	}

	eb_metrics *mt = eb_metrics_new();
	eb_tracer *tr = eb_tracer_new("test", 64);
	eb_gate *gt = nullptr;
	std::vector<std::string> out;
	std::string named; /* start of the upstream in the last HEAD sent */
	uint8_t connection = 1; /* that the origin's frames come by */
	int64_t now_us = 1000000;

	void SetUp() override
	{
		eb_gate_config cf = { "agenda-1", 5, mt, tr, 12, 0 };
		eb_gate_callbacks callbacks = { to_client, to_origin, this };
		eb_findings fs = {};

		gt = eb_gate_new(&cf, &callbacks, &fs);
		ASSERT_EQ(0u, fs.count);
		configure();
	}

	void TearDown() override
	{
		eb_gate_free(gt);
		eb_tracer_free(tr);
		eb_metrics_free(mt);
	}

	/* Creates a new gate, for the next case of a table. */
	void restart()
	{
		TearDown();
		mt = eb_metrics_new();
		tr = eb_tracer_new("test", 64);
		connection = 1;
		SetUp();
	}

	void configure(const char *probe_path = nullptr,
		       const char *service = "agenda",
		       const char *instance = nullptr)
	{
		eb_upstream up = {};
		eb_rule rule = {};

		up.probe_path = (char *)probe_path;
		up.instance = (char *)instance;
		up.address = strdup("127.0.0.1:1");
		up.service_name = strdup(service);
		up.region = (char *)"r";
		up.slots = 1;
		rule.queue = 1;
		eb_gate_configure(gt, &up, &rule);
		free(up.address);
		free(up.service_name);
	}

	static void note(void *ctx, const char *where, eb_frame *f)
	{
		std::string line = std::string(where) + " " +
				   eb_frame_type_name(f->type) + " " +
				   std::to_string(f->call);

		for (uint32_t i = 0;
		     f->type == EB_FRAME_HELLO && i < eb_overdue_count(f); i++)
			line += " has " + std::to_string(eb_overdue_at(f, i));
		if (f->reply && f->type != EB_FRAME_RHEAD)
			line += std::string(" ") +
				eb_outcome_name(f->reply->outcome) + " " +
				eb_reason_name(f->reply->reason);
		if (f->type == EB_FRAME_REFUSE &&
		    f->reply->status == EB_STATUS_RATE_LIMITED)
			line += " rate-limited";
		static_cast<Gate *>(ctx)->out.push_back(line);
		eb_frame_unref(f);
	}

	static void to_client(void *ctx, eb_frame *f)
	{
		if (f->head && f->head->instance)
			static_cast<Gate *>(ctx)->named = f->head->instance;
		note(ctx, "client", f);
	}

	static void to_origin(void *ctx, const eb_routing_id *back, eb_frame *f)
	{
		std::string where = back ? "origin" : "local";

		if (back && back->bytes[0] > 1)
			where += "@" + std::to_string(back->bytes[0]);
		note(ctx, where.c_str(), f);
	}

	/* Runs the events of a scenario and checks what the gate sends. */
	void play(const scenario &sc)
	{
		out.clear();
		for (const std::string &event : sc.events)
			run(event);
		EXPECT_EQ(sc.expected, out);
	}

	/* Puts a configuration into force with one route, of these regions. */
	void allow(const std::vector<std::string> &regions, int restricted = 1,
		   const char *prefix = "/agenda/")
	{
		eb_config *cf = eb_config_new_empty();
		eb_match *mt = (eb_match *)calloc(1, sizeof(*mt));

		cf->has_matches = 1;
		cf->matches = mt;
		cf->match_count = 1;
		mt->name = strdup("route");
		mt->host = strdup("");
		mt->prefix = strdup(prefix);
		mt->restricted = (uint8_t)restricted;
		for (const std::string &name : regions)
			eb_texts_add(&mt->regions, name.c_str());
		eb_gate_set_config(gt, cf);
		eb_config_unref(cf);
	}

	/* Events: "origin TYPE CALL", "client TYPE CALL", "wait MS", ... */
	void run(const std::string &event)
	{
		eb_routing_id back = { { connection }, 1, 0 };
		char where[16], what[16];
		int n = 0;

		ASSERT_LE(2, sscanf(event.c_str(), "%15s %15s %d", where, what,
				    &n));
		std::string w = where, t = what;
		if (w == "wait") {
			now_us += atoi(what) * MS;
			eb_gate_tick(gt, now_us);
		} else if (w == "evacuated") {
			eb_gate_set_evacuated(gt, atoi(what), now_us);
		} else if (w == "drain") {
			eb_gate_drain(gt);
		} else if (w == "allow") {
			allow({ what });
		} else if (w == "probe") {
			eb_frame *f = make("probe", 0);

			f->reply->load.pace_percent = (uint16_t)atoi(what);
			eb_gate_from_client(gt, f, now_us);
		} else if (w == "limit") { /* cold rate of the service */
			eb_service sv = {};
			eb_upstream up = {};

			sv.cold_per_s_milli = (uint32_t)atoi(what) * 1000;
			eb_gate_set_warmup(gt, &sv, &up, now_us);
		} else if (w == "cold") { /* result of a probe */
			eb_frame *f = make("probe", 0);

			f->reply->load.pace_percent = 100;
			f->reply->cold_known = 1;
			f->reply->cold_ms = (uint32_t)atoi(what);
			f->object = strdup("i-1");
			f->object_free = free;
			eb_gate_from_client(gt, f, now_us);
		} else if (w == "poll") {
			now_us += atoi(what) * MS;
			EXPECT_GE(now_us, eb_gate_wake_us(gt, now_us));
			eb_gate_poll(gt, now_us);
		} else if (w == "turn") {
			/* A turn of the loop, whether or not one is due. */
			now_us += atoi(what) * MS;
			eb_gate_poll(gt, now_us);
		} else if (w == "resumed") {
			eb_gate_set_resumed(gt, atoi(what));
		} else if (w == "connect") {
			connection = (uint8_t)atoi(what);
		} else if (w == "start") {
			configure(nullptr, "agenda", what);
		} else if (t == "limited" || t == "leaving") {
			/* An answer that names a limit, or says so. */
			eb_frame *f = make("rhead", (uint64_t)n);
			f->target = ORIGIN;
			f->reply->answered = 1;
			f->reply->rate_limit_milli = t == "limited" ? 500 : 0;
			f->reply->upstream_leaving = t == "leaving";
			eb_gate_from_client(gt, f, now_us);
		} else if (t == "lists" || t == "replaces" || t == "checks") {
			/* A check and a replacement follow call 9. */
			eb_frame *f = make("hello", t == "lists" ? 0 : 9);
			f->sender = ORIGIN;
			f->credit_bytes = t == "lists"	  ? 0
					  : t == "checks" ? EB_HELLO_CHECK
							  : EB_HELLO_REPLACES;
			if (t != "checks")
				eb_overdue_add(f, (uint64_t)n);
			eb_gate_from_origin(gt, f, &back, now_us);
		} else {
			eb_frame *f = make(t == "part"	   ? "rhead"
					   : t == "upload" ? "head"
							   : t,
					   (uint64_t)n);
			if (t == "rcredit")
				f->credit_bytes = EB_OUTFLOW_GRANT_BYTES;
			if (t == "part")
				f->reply->body_kind = EB_BODY_CHUNKED;
			if (t == "upload")
				f->head->body_kind = EB_BODY_CHUNKED;
			f->sender = ORIGIN;
			f->target = ORIGIN;
			if (w == "origin")
				eb_gate_from_origin(gt, f, &back, now_us);
			else
				eb_gate_from_client(gt, f, now_us);
		}
	}

	static eb_frame *make(const std::string &type, uint64_t call)
	{
		for (int i = 1; i <= EB_FRAME_TYPE_MAX; i++) {
			if (type != eb_frame_type_name((unsigned)i))
				continue;
			std::string data(i == EB_FRAME_RDATA
						 ? EB_OUTFLOW_GRANT_BYTES
						 : 0,
					 'x');
			eb_frame *f = eb_frame_new_data((eb_frame_type)i, call,
							data.data(),
							(uint32_t)data.size());
			if (f->head) {
				f->head->service = strdup("agenda");
				f->head->upstream = strdup("agenda-1");
				f->head->method = strdup("POST");
				f->head->target = strdup("/agenda/x");
				f->head->hops = 3;
				f->head->remaining_us = 100 * MS;
			}
			if (f->reply)
				f->reply->outcome = EB_OUTCOME_RAN;
			return f;
		}
		abort();
	}
};

const scenario scenarios[] = {
	{ "a request that fits is run and its answer goes back",
	  { "origin head 1", "client rhead 1" },
	  { "client head 1", "origin rhead 1" } },
	{ "an answer goes back by the newest connection of its origin",
	  { "origin head 1", "connect 2", "origin cancel 9", "client rhead 1" },
	  { "client head 1", "origin@2 rhead 1" } },
	{ "a late frame of the old connection does not bring that back",
	  { "origin head 1", "connect 2", "origin cancel 9", "connect 1",
	    "origin cancel 9", "client rhead 1" },
	  { "client head 1", "origin@2 rhead 1" } },
	{ "an upload whose connection is replaced is ended: frames may be lost",
	  { "origin upload 1", "connect 2", "origin cancel 9",
	    "origin data 1" },
	  { "client head 1", "client cancel 1",
	    "origin@2 abort 1 unknown lost-peer" } },
	{ "the same in the middle of an answer",
	  { "origin head 1", "client part 1", "connect 2", "origin cancel 9" },
	  { "client head 1", "origin rhead 1", "client cancel 1",
	    "origin@2 abort 1 unknown lost-peer" } },
	{ "a second request waits for the slot",
	  { "origin head 1", "origin head 2", "client rhead 1" },
	  { "client head 1", "origin rhead 1", "client head 2" } },
	{ "a request that finds the queue full is refused at once",
	  { "origin head 1", "origin head 2", "origin head 3" },
	  { "client head 1", "origin refuse 3 not-run queue-full" } },
	{ "a request that reaches its deadline in the queue is never run",
	  { "origin head 1", "origin head 2", "wait 90", "wait 11",
	    "client abort 1" },
	  { "client head 1", "client cancel 1",
	    "origin abort 1 unknown deadline",
	    "origin refuse 2 not-run deadline" } },
	{ "a cancelled request that waits is never run",
	  { "origin head 1", "origin head 2", "origin cancel 2",
	    "client rhead 1" },
	  { "client head 1", "origin rhead 1" } },
	{ "the slot of a cancelled request is used only once it is free",
	  { "origin head 1", "origin head 2", "origin cancel 1",
	    "client abort 1" },
	  { "client head 1", "client cancel 1", "client head 2" } },
	{ "HEAD that arrives twice runs once",
	  { "origin head 1", "origin head 1" },
	  { "client head 1" } },
	{ "a leaving upstream takes nothing new and finishes what it has",
	  { "origin head 1", "origin head 2", "drain now", "origin head 3",
	    "client rhead 1" },
	  { "client head 1", "origin hello 0 unknown none",
	    "local hello 0 unknown none", "origin refuse 3 not-run draining",
	    "origin rhead 1", "client head 2" } },
	{ "an upstream that says that it leaves gets nothing until it restarts",
	  { "start i-1", "origin head 1", "origin head 2", "client leaving 1",
	    "client rhead 2", "start i-1", "origin head 3", "start i-2",
	    "origin head 4" },
	  { "client head 1", "origin hello 0 unknown none",
	    "local hello 0 unknown none", "origin rhead 1", "client head 2",
	    "origin rhead 2", "origin refuse 3 not-run draining",
	    "origin hello 0 unknown none", "local hello 0 unknown none",
	    "client head 4" } },
	{ "an upstream gets no more than the rate it names until it restarts",
	  { "start i-1", "origin head 1", "client limited 1", "origin head 2",
	    "client limited 2", "origin head 3", "start i-2", "origin head 4" },
	  { "client head 1", "origin rhead 1", "client head 2",
	    "origin rhead 2",
	    "origin refuse 3 not-run handed-back rate-limited",
	    "client head 4" } },
	{ "an evacuated upstream finishes what runs and gets nothing that "
	  "waits",
	  { "origin head 1", "origin head 2", "evacuated 1", "origin head 3",
	    "client rhead 1", "evacuated 0", "origin head 4" },
	  { "client head 1", "origin hello 0 unknown none",
	    "local hello 0 unknown none", "origin refuse 2 not-run draining",
	    "origin refuse 3 not-run draining", "origin rhead 1",
	    "origin hello 0 unknown none", "local hello 0 unknown none",
	    "client head 4" } },
	{ "an idle origin is notified at once that the upstream leaves",
	  { "origin hello 0", "drain now" },
	  { "origin hello 0 unknown none", "origin hello 0 unknown none",
	    "local hello 0 unknown none" } },
	{ "requests from before a pause are not run",
	  { "resumed 1", "origin head 1", "resumed 0", "origin head 2" },
	  { "origin refuse 1 not-run deadline", "client head 2" } },
	{ "the calls of an unresponsive origin are cancelled",
	  { "origin head 1", "wait 50", "client credit 1", "wait 3960" },
	  { "client head 1", "origin credit 1", "client cancel 1",
	    "origin abort 1 unknown lost-peer" } },
	{ "an origin that was only paused receives an abort of its answer",
	  { "origin head 1", "client part 1", "wait 4010" },
	  { "client head 1", "origin rhead 1", "client cancel 1",
	    "origin abort 1 unknown lost-peer" } },
	{ "an answer after the request was cancelled is dropped",
	  { "origin head 1", "origin cancel 1", "client rhead 1",
	    "client rhead 1" },
	  { "client head 1", "client cancel 1" } },
	{ "a call that the origin has and the gate never had is aborted",
	  { "origin lists 1" },
	  { "origin abort 1 unknown lost-peer",
	    "origin hello 0 unknown none" } },
	{ "an answer that the origin still waits for is sent again",
	  { "origin head 1", "client rhead 1", "origin lists 1" },
	  { "client head 1", "origin rhead 1", "origin rhead 1",
	    "origin hello 0 unknown none" } },
	{ "the same for a refusal: the request has not run",
	  { "origin head 1", "origin head 2", "wait 90", "wait 11",
	    "client abort 1", "origin lists 2" },
	  { "client head 1", "client cancel 1",
	    "origin abort 1 unknown deadline",
	    "origin refuse 2 not-run deadline",
	    "origin refuse 2 not-run deadline",
	    "origin hello 0 unknown none" } },
	{ "an answer of more than one frame is not: its call is aborted",
	  { "origin head 1", "client part 1", "client rend 1",
	    "origin lists 1" },
	  { "client head 1", "origin rhead 1", "origin rend 1 ran none",
	    "origin abort 1 unknown lost-peer",
	    "origin hello 0 unknown none" } },
	{ "an answer is not kept for long",
	  { "origin head 1", "client rhead 1", "wait 5000", "origin lists 1" },
	  { "client head 1", "origin rhead 1",
	    "origin abort 1 unknown lost-peer",
	    "origin hello 0 unknown none" } },
	{ "answers that may be lost with a connection are sent by the next one",
	  { "origin head 1", "client rhead 1", "connect 2", "origin hello 0" },
	  { "client head 1", "origin rhead 1", "origin@2 rhead 1",
	    "origin@2 hello 0 unknown none" } },
	{ "a check on a second connection moves answers off a working one",
	  { "origin head 1", "connect 2", "origin checks", "connect 1",
	    "client rhead 1" },
	  { "client head 1", "origin@2 hello 0 unknown none",
	    "origin rhead 1" } },
	{ "a call that was lost on a silent connection counts as run",
	  { "origin hello 0", "origin head 1", "connect 2",
	    "origin replaces 2" },
	  { "origin hello 0 unknown none", "client head 1",
	    "origin@2 refuse 2 not-run lost-peer",
	    "origin@2 hello 0 has 1 unknown none" } },
	{ "a call that was refused as lost runs when it arrives late",
	  { "origin hello 0", "connect 2", "origin replaces 2", "connect 1",
	    "origin head 2", "connect 2", "origin head 3" },
	  { "origin hello 0 unknown none",
	    "origin@2 refuse 2 not-run lost-peer",
	    "origin@2 hello 0 unknown none", "client head 3" } },
	{ "a call that has ended is taken for one that never arrived",
	  { "origin hello 0", "origin head 1", "client part 1", "client rend 1",
	    "connect 2", "origin replaces 1" },
	  { "origin hello 0 unknown none", "client head 1", "origin rhead 1",
	    "origin rend 1 ran none", "origin@2 abort 1 unknown lost-peer",
	    "origin@2 hello 0 unknown none" } },
	{ "a gate that does not know the origin vouches for its calls",
	  { "origin checks", "connect 2", "origin replaces 2" },
	  { "origin hello 0 unknown none", "origin@2 abort 2 unknown lost-peer",
	    "origin@2 hello 0 unknown none" } },
	{ "an answer that was lost on a silent connection is not sent again",
	  { "origin hello 0", "origin head 1", "client rhead 1", "connect 2",
	    "origin replaces 1" },
	  { "origin hello 0 unknown none", "client head 1", "origin rhead 1",
	    "origin@2 rhead 1", "origin@2 hello 0 unknown none" } },
	{ "a call that origin and gate both have continues",
	  { "origin head 1", "client part 1", "wait 2000", "origin lists 1" },
	  { "client head 1", "origin rhead 1",
	    "origin hello 0 has 1 unknown none" } },
	{ "an answer is read on when its origin has confirmed a part of it",
	  { "origin head 1", "client part 1", "client rdata 1",
	    "client rdata 1", "origin rcredit 1" },
	  { "client head 1", "origin rhead 1", "client rcredit 1",
	    "origin rdata 1", "origin rdata 1", "client rcredit 1" } },
	{ "or, if the confirmation is lost, when the link has sent a part",
	  { "origin head 1", "client part 1", "client rdata 1",
	    "client rdata 1", "poll 11" },
	  { "client head 1", "origin rhead 1", "client rcredit 1",
	    "origin rdata 1", "origin rdata 1", "client rcredit 1" } },
	{ "but not after its call has ended",
	  { "origin head 1", "client part 1", "client rdata 1",
	    "client rdata 1", "origin cancel 1", "turn 11",
	    "origin rcredit 1" },
	  { "client head 1", "origin rhead 1", "client rcredit 1",
	    "origin rdata 1", "origin rdata 1", "client cancel 1" } },
	{ "heartbeats are answered",
	  { "origin hello 0" },
	  { "origin hello 0 unknown none" } },
};

/*
 * Guards against requests that run twice, run past their deadline, or keep a
 * slot: requests, cancellations, failures and time-outs come in any order.
 */
TEST_F(Gate, Scenarios)
{
	for (const scenario &sc : scenarios) {
		SCOPED_TRACE(sc.guards);
		restart();
		play(sc);
	}
}

/* The upstream is in region r; the origin knows an older configuration. */
const scenario homes[] = {
	{ "a request runs in a region that its route allows",
	  { "allow r", "origin head 1" },
	  { "client head 1" } },
	{ "a request is refused as not run elsewhere",
	  { "allow s", "origin head 1" },
	  { "origin refuse 1 not-run no-upstream" } },
	{ "a queued request is refused if its route has moved",
	  { "allow r", "origin head 1", "origin head 2", "allow s",
	    "client rhead 1" },
	  { "client head 1", "origin rhead 1",
	    "origin refuse 2 not-run no-upstream" } },
	{ "the slot that it would have got is free",
	  { "allow r", "origin head 1", "origin head 2", "allow s",
	    "client rhead 1", "allow r", "origin head 3" },
	  { "client head 1", "origin rhead 1",
	    "origin refuse 2 not-run no-upstream", "client head 3" } },
	{ "a request that runs goes on",
	  { "allow r", "origin head 1", "allow s", "client rhead 1" },
	  { "client head 1", "origin rhead 1" } },
};

/*
 * Guards against an origin with an outdated configuration whose requests run
 * outside the home regions of their route.
 */
TEST_F(Gate, HomeRegions)
{
	const struct {
		std::vector<std::string> regions;
		int restricted;
		const char *prefix;
		const char *want;
	} cases[] = {
		{ {}, 0, "/agenda/", "client head 1" },
		{ {}, 1, "/agenda/", "origin refuse 1 not-run no-upstream" },
		{ { "s", "r" }, 1, "/agenda/", "client head 1" },
		{ { "s" }, 1, "/other/", "client head 1" },
	};

	for (const scenario &sc : homes) {
		SCOPED_TRACE(sc.guards);
		restart();
		play(sc);
		ASSERT_FALSE(out.empty());
		EXPECT_EQ(out.back().find("refuse") != std::string::npos ||
				  out.size() == 4,
			  eb_metrics_get(mt, EB_METRIC_GATE_REGION_REFUSED));
	}
	for (const auto &c : cases) {
		SCOPED_TRACE(c.want);
		restart();
		out.clear();
		allow(c.regions, c.restricted, c.prefix);
		run("origin head 1");
		EXPECT_EQ(std::vector<std::string>{ c.want }, out);
	}
	restart();
	configure("/health");
	allow({ "r" });
	run("origin head 1");
	allow({ "s" });
	out.clear();
	run("probe 100");
	EXPECT_EQ((std::vector<std::string>{
			  "origin refuse 1 not-run no-upstream" }),
		  out)
		<< "a call that waited for a probe";
}

/* An upstream that answers probes with the pace of its VM. */
const scenario probed[] = {
	{ "a request waits for the reply to the probe, then runs",
	  { "origin head 1", "probe 100" },
	  { "client probe 0 unknown none", "client head 1" } },
	{ "a request is handed back while the VM is slow",
	  { "origin head 1", "probe 400" },
	  { "client probe 0 unknown none",
	    "origin refuse 1 not-run handed-back" } },
	{ "one probe serves all that wait",
	  { "origin head 1", "origin head 2", "origin cancel 2", "probe 100" },
	  { "client probe 0 unknown none", "client head 1" } },
	{ "a probe without an answer delays requests for a limited time",
	  { "origin head 1", "poll 6", "origin cancel 1", "client abort 1",
	    "origin head 2" },
	  { "client probe 0 unknown none", "client head 1", "client cancel 1",
	    "client head 2" } },
	{ "a request that is cancelled while it waits is never run",
	  { "origin head 1", "origin cancel 1", "probe 100" },
	  { "client probe 0 unknown none" } },
	{ "no probe is sent while the known pace is recent",
	  { "origin head 1", "probe 100", "client rhead 1", "origin head 2" },
	  { "client probe 0 unknown none", "client head 1", "origin rhead 1",
	    "client head 2" } },
	{ "a cold upstream gets no more than its cold rate; one call waits",
	  { "limit 20", "origin head 1", "cold 5000", "client rhead 1",
	    "origin head 2", "origin head 3", "wait 50", "origin head 4" },
	  { "client probe 0 unknown none", "client head 1", "origin rhead 1",
	    "origin refuse 3 not-run handed-back rate-limited", "client head 2",
	    "client probe 0 unknown none" } },
	{ "an upstream whose probe has no valid result gets no more than that",
	  { "limit 20", "origin head 1", "probe 100", "client rhead 1",
	    "origin head 2" },
	  { "client probe 0 unknown none", "client head 1", "origin rhead 1",
	    "origin refuse 2 not-run handed-back rate-limited" } },
	{ "a warm upstream is probed at half of its allowance, not when idle",
	  { "limit 1", "origin head 1", "cold 0", "client rhead 1",
	    "origin head 2", "client rhead 2", "wait 20", "origin head 3",
	    "poll 5", "cold 0", "client rhead 3", "wait 100", "wait 1000" },
	  { "client probe 0 unknown none", "client head 1", "origin rhead 1",
	    "client head 2", "origin rhead 2", "client head 3",
	    "client probe 0 unknown none", "origin rhead 3" } },
	{ "a leaving upstream is not probed",
	  { "drain now", "origin head 1" },
	  { "local hello 0 unknown none",
	    "origin refuse 1 not-run draining" } },
};

/*
 * Guards against requests that run without a recent pace of the VM, or that
 * wait for one without limit when the probe is not answered.
 */
TEST_F(Gate, ProbedUpstreams)
{
	for (const scenario &sc : probed) {
		SCOPED_TRACE(sc.guards);
		restart();
		configure("/health");
		play(sc);
	}
}

/*
 * Guards against a request that runs at another service, because the upstream's
 * address passed to that service while the request waited.
 */
TEST_F(Gate, NamesTheStartOfTheRequestsService)
{
	const struct {
		const char *own;   /* service with which the process started */
		const char *later; /* service in force when the call runs */
		const char *named;
	} cases[] = {
		{ "agenda", "agenda", "new" },
		{ "taller", "agenda", "old" },
		{ "agenda", "taller", "old" },
		{ "taller", "taller", "old" },
	};

	for (const auto &c : cases) {
		eb_routing_id back = { { 1 }, 1, 0 };
		eb_frame *f, *probe;

		SCOPED_TRACE(std::string(c.own) + ", " + c.later);
		restart();
		configure("/health");
		eb_gate_set_service(gt, c.own);
		f = make("head", 1);
		f->head->instance = strdup("old");
		f->sender = ORIGIN;
		eb_gate_from_origin(gt, f, &back, now_us);
		configure("/health", c.later);
		probe = make("probe", 0);
		probe->object = strdup("new");
		probe->object_free = free;
		eb_gate_from_client(gt, probe, now_us);
		EXPECT_EQ(c.named, named);
	}
}

/*
 * Guards against an operator who cannot tell a rate limit from an overload: the
 * metrics show the limit and the calls that it turned away.
 */
TEST_F(Gate, MetricsShowTheRateLimit)
{
	const struct {
		const char *event;
		int64_t rate_milli, refused;
	} steps[] = {
		{ "start i-1", 0, 0 },		{ "origin head 1", 0, 0 },
		{ "client limited 1", 500, 0 }, { "origin head 2", 500, 0 },
		{ "client limited 2", 500, 0 }, { "origin head 3", 500, 1 },
		{ "start i-2", 0, 1 },
	};

	for (const auto &s : steps) {
		run(s.event);
		EXPECT_EQ(s.rate_milli,
			  eb_metrics_get(mt, EB_METRIC_RATE_LIMIT))
			<< s.event;
		EXPECT_EQ(s.refused,
			  eb_metrics_get(mt, EB_METRIC_GATE_RATE_LIMITED))
			<< s.event;
	}
}

/*
 * Guards against a request that runs at the wrong upstream, because its origin
 * has an outdated address.
 */
TEST_F(Gate, RefusesOtherUpstreams)
{
	eb_routing_id back = { { 1 }, 1, 0 };
	eb_frame *f = make("head", 9);

	free(f->head->upstream);
	f->head->upstream = strdup("agenda-2");
	f->sender = ORIGIN;
	eb_gate_from_origin(gt, f, &back, now_us);
	EXPECT_EQ((std::vector<std::string>{
			  "origin refuse 9 not-run no-upstream" }),
		  out);
}

} // namespace
