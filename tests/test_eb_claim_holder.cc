#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <set>

#include "claim_world.h"

namespace
{

struct queued_message {
	std::string from, to, payload;
	uint8_t type;
};

/*
 * Three holders and two claimants. Messages are queued until the test delivers
 * them.
 */
struct claim_net {
	test_config before{ {} }, after{ { 0, 1, 2 } };
	std::map<std::string, eb_claim_holder *> holders;
	std::map<std::string, eb_claimant *> origins;
	std::deque<queued_message> messages;
	std::map<std::string, std::vector<eb_claimant_action>> actions;
	std::vector<uint64_t> delivered; /* calls whose answer was released */
	int64_t now_us = 0;

	explicit claim_net(bool ignore_generations = false)
	{
		for (int i = 0; i < 3; i++)
			start("u" + std::to_string(i), 10 + i, true);
		for (int i = 0; i < 2; i++) {
			eb_claimant_config cc{};

			cc.incarnation = i + 1;
			cc.test_ignore_generations = ignore_generations;
			std::string name = i ? "B" : "A";
			origins[name] = eb_claimant_new(&cc);
			eb_claimant_configure(origins[name], &after.cf);
		}
		settle();
	}
	~claim_net()
	{
		for (auto &h : holders)
			eb_claim_holder_free(h.second);
		for (auto &o : origins)
			eb_claimant_free(o.second);
		for (auto &l : actions)
			for (auto &a : l.second)
				eb_claimant_action_clear(&a);
	}
	void start(const std::string &name, uint64_t incarnation,
		   bool empty_fleet)
	{
		eb_claim_holder_config hc{};

		eb_claim_holder_free(holders[name]);
		hc.name = name.c_str();
		hc.incarnation = incarnation;
		holders[name] = eb_claim_holder_new(&hc);
		if (empty_fleet)
			eb_claim_holder_configure(holders[name], nullptr,
						  &before.cf, now_us);
		eb_claim_holder_configure(holders[name],
					  empty_fleet ? &before.cf : nullptr,
					  &after.cf, now_us);
	}
	void collect(const std::string &from, eb_claim_send &sd)
	{
		eb_claim_message m;

		ASSERT_EQ(EB_OK,
			  eb_claim_decode(sd.payload, sd.payload_bytes, &m));
		messages.push_back(
			{ from, sd.to,
			  std::string((char *)sd.payload, sd.payload_bytes),
			  m.type });
		eb_claim_message_clear(&m);
		eb_claim_send_clear(&sd);
	}
	void gather()
	{
		eb_claim_send sd;
		eb_claimant_action a;

		for (auto &h : holders)
			while (eb_claim_holder_next(h.second, &sd))
				collect(h.first, sd);
		for (auto &o : origins) {
			while (eb_claimant_next_send(o.second, &sd))
				collect(o.first, sd);
			while (eb_claimant_next(o.second, &a))
				if (a.kind == EB_CLAIMANT_DELIVER)
					delivered.push_back(a.call);
				else
					actions[o.first].push_back(a);
		}
	}
	void deliver(const queued_message &l)
	{
		eb_claim_message m;

		ASSERT_EQ(EB_OK, eb_claim_decode(l.payload.data(),
						 l.payload.size(), &m));
		if (eb_claim_for_holder(&m))
			eb_claim_holder_recv(holders[l.to], l.from.c_str(), &m,
					     now_us);
		else
			eb_claimant_recv(origins[l.to], l.from.c_str(), &m,
					 now_us);
		eb_claim_message_clear(&m);
		gather();
	}
	/* Delivers all messages that match, and replies that match. */
	void
	deliver_if(const std::function<bool(const queued_message &)> &match)
	{
		gather();
		for (size_t i = 0; i < messages.size();) {
			queued_message l = messages[i];

			if (!match(l)) {
				i++;
				continue;
			}
			messages.erase(messages.begin() + i);
			deliver(l);
		}
	}
	void deliver_all()
	{
		deliver_if([](const queued_message &) { return true; });
	}
	void deliver_between(const std::string &a, const std::string &b)
	{
		deliver_if([&](const queued_message &l) {
			return (l.from == a && l.to == b) ||
			       (l.from == b && l.to == a);
		});
	}
	/* Lets the holders copy from each other for 4 s. */
	void settle()
	{
		for (int i = 0; i < 200; i++) {
			now_us += 20000;
			for (auto &h : holders)
				eb_claim_holder_tick(h.second, now_us);
			deliver_if([](const queued_message &l) {
				return l.type >= EB_CLAIM_COPY;
			});
		}
	}
	void ask(const std::string &origin, uint64_t call, const char *body)
	{
		eb_claimant_request rq{};

		rq.call = call;
		rq.service = "agenda";
		rq.deadline_us = now_us + 20000000;
		eb_claim_key("agenda", "k", rq.key);
		eb_claim_digest("POST", "/", 1, body, strlen(body), rq.digest);
		eb_claimant_start(origins[origin], &rq, now_us);
		gather();
	}
	void tick(int64_t us)
	{
		now_us += us;
		for (auto &o : origins)
			eb_claimant_tick(o.second, now_us);
		for (auto &h : holders)
			eb_claim_holder_tick(h.second, now_us);
		gather();
	}
	int runs()
	{
		int n = 0;

		for (auto &l : actions)
			for (auto &a : l.second)
				n += a.kind == EB_CLAIMANT_RUN;
		return n;
	}
	/* Ends a run; the messages about it stay queued. */
	void end_unreported(const std::string &origin, uint64_t call,
			    eb_claim_state st, const std::string &body)
	{
		eb_claim_response rs{};

		rs.status = 201;
		rs.body = (const uint8_t *)body.data();
		rs.body_bytes = body.size();
		eb_claimant_ended(origins[origin], call, st, &rs, now_us);
		gather();
	}
	void end(const std::string &origin, uint64_t call, eb_claim_state st,
		 const std::string &body)
	{
		end_unreported(origin, call, st, body);
		deliver_all();
	}
};

struct resend_case {
	const char *name;
	eb_claim_state ended;
	size_t body_bytes;
	const char *body; /* of the resent request */
	uint8_t kind, refusal, outcome;
};

/*
 * Guards against a second run, or another response, when a call is resent
 * through another origin after the first run has ended.
 */
TEST(Claim, ResendThroughAnotherOrigin)
{
	const resend_case cases[] = {
		{ "stored", EB_CLAIM_DONE, 10, "x", EB_CLAIMANT_ANSWER_STORED,
		  EB_CLAIMANT_REFUSAL_NONE, EB_OUTCOME_RAN },
		{ "empty", EB_CLAIM_DONE, 0, "x", EB_CLAIMANT_ANSWER_STORED,
		  EB_CLAIMANT_REFUSAL_NONE, EB_OUTCOME_RAN },
		{ "too large", EB_CLAIM_DONE, EB_CLAIM_RESPONSE_MAX_BYTES + 1,
		  "x", EB_CLAIMANT_REFUSE, EB_CLAIMANT_REFUSAL_LARGE,
		  EB_OUTCOME_RAN },
		{ "lost", EB_CLAIM_LOST, 0, "x", EB_CLAIMANT_REFUSE,
		  EB_CLAIMANT_REFUSAL_LOST, EB_OUTCOME_UNKNOWN },
		{ "other body", EB_CLAIM_DONE, 10, "y", EB_CLAIMANT_REFUSE,
		  EB_CLAIMANT_REFUSAL_MISMATCH, EB_OUTCOME_NOT_RUN },
	};

	for (const resend_case &c : cases) {
		claim_net net;
		std::string body(c.body_bytes, 'r');

		net.ask("A", 1, "x");
		net.deliver_all();
		ASSERT_EQ(1, net.runs()) << c.name;
		net.end("A", 1, c.ended, body);
		net.ask("B", 2, c.body);
		net.deliver_all();
		ASSERT_EQ(1u, net.actions["B"].size()) << c.name;
		const eb_claimant_action &a = net.actions["B"][0];
		EXPECT_EQ(c.kind, a.kind) << c.name;
		EXPECT_EQ(c.refusal, a.refusal) << c.name;
		EXPECT_EQ(c.outcome, a.outcome) << c.name;
		if (c.kind == EB_CLAIMANT_ANSWER_STORED) {
			EXPECT_EQ(201, a.response.status);
			EXPECT_EQ(body, std::string((char *)a.response.body,
						    a.response.body_bytes));
		}
	}
}

/* Guards against a second run when two calls at one origin have one key. */
TEST(Claim, SecondCallAtTheSameOriginJoins)
{
	claim_net net;

	net.ask("A", 1, "x");
	net.ask("A", 2, "x");
	net.ask("A", 3, "y");
	net.deliver_all();
	ASSERT_EQ(1, net.runs());
	net.end("A", 1, EB_CLAIM_DONE, "r");
	ASSERT_EQ(3u, net.actions["A"].size());
	EXPECT_EQ(EB_CLAIMANT_REFUSAL_MISMATCH, net.actions["A"][0].refusal);
	EXPECT_EQ(EB_CLAIMANT_ANSWER_STORED, net.actions["A"][2].kind);
	EXPECT_EQ(2u, net.actions["A"][2].call);
}

/*
 * Guards against an answer that only the origin knows: if the origin died right
 * after it, a resend would be refused with an unknown result.
 */
TEST(Claim, TheAnswerWaitsUntilAMajorityHasTheResult)
{
	struct {
		const char *name;
		int holders; /* that the result reaches */
		int64_t waited_us;
		size_t delivered;
	} cases[] = {
		{ "no holder", 0, 0, 0 },
		{ "a minority", 1, 0, 0 },
		{ "a majority", 2, 0, 1 },
		{ "all", 3, 0, 1 },
		{ "none in time", 0, EB_CLAIMANT_RECORD_WAIT_MS * 1000, 1 },
	};

	for (auto &c : cases) {
		claim_net net;
		std::set<std::string> reached;

		net.ask("A", 1, "x");
		net.deliver_all();
		ASSERT_EQ(1, net.runs()) << c.name;
		net.end_unreported("A", 1, EB_CLAIM_DONE, "r");
		/* A call of the same key that arrives meanwhile waits too. */
		net.ask("A", 2, "x");
		net.deliver_if([&](const queued_message &l) {
			if (l.type == EB_CLAIM_COMPLETE &&
			    (int)reached.size() < c.holders)
				reached.insert(l.to);
			return reached.count(l.to) || reached.count(l.from);
		});
		net.tick(c.waited_us);
		EXPECT_EQ(c.delivered, net.delivered.size()) << c.name;
		EXPECT_EQ(1 + c.delivered, net.actions["A"].size()) << c.name;
		net.deliver_all();
		net.tick(EB_CLAIMANT_RECORD_WAIT_MS * 1000);
		EXPECT_EQ(1u, net.delivered.size()) << c.name;
		EXPECT_EQ(EB_CLAIMANT_ANSWER_STORED,
			  net.actions["A"].back().kind);
	}
}

/*
 * Guards against the outcome not-run, when the wait ends, for a key that
 * another origin may be running.
 */
TEST(Claim, OutcomeWhenTheWaitEnds)
{
	struct {
		const char *name;
		bool other_runs, reachable;
		uint8_t refusal, outcome;
	} cases[] = {
		{ "in progress elsewhere", true, true, EB_CLAIMANT_REFUSAL_BUSY,
		  EB_OUTCOME_UNKNOWN },
		{ "no holder answers", false, false,
		  EB_CLAIMANT_REFUSAL_NO_QUORUM, EB_OUTCOME_NOT_RUN },
	};

	for (auto &c : cases) {
		claim_net net;

		if (c.other_runs) {
			net.ask("A", 1, "x");
			net.deliver_all();
		}
		net.ask("B", 2, "x");
		for (int i = 0; i < 2100; i++) {
			if (c.reachable)
				net.deliver_all();
			net.tick(10000);
		}
		ASSERT_EQ(1u, net.actions["B"].size()) << c.name;
		EXPECT_EQ(c.refusal, net.actions["B"][0].refusal) << c.name;
		EXPECT_EQ(c.outcome, net.actions["B"][0].outcome) << c.name;
		/* Late grants must not start a run after the refusal. */
		net.deliver_all();
		EXPECT_EQ(c.other_runs ? 1 : 0, net.runs()) << c.name;
	}
}

/* Guards against a key that stays blocked after a call that was not run. */
TEST(Claim, NotRunFreesTheKey)
{
	claim_net net;

	net.ask("A", 1, "x");
	net.deliver_all();
	eb_claimant_not_run(net.origins["A"], 1, net.now_us);
	net.deliver_all();
	net.ask("B", 2, "x");
	net.deliver_all();
	EXPECT_EQ(2, net.runs());
}

/*
 * Guards against a second run by a grant that a holder gave before its restart,
 * counted together with a later grant of a holder that served the restarted one
 * a copy. Without the check of generations this history has two runs.
 */
TEST(Claim, GrantFromBeforeARestartIsVoid)
{
	for (bool ignore : { false, true }) {
		claim_net net(ignore);

		net.ask("A", 1, "x");
		net.deliver_between("A", "u0");
		net.start("u0", 20, false);
		net.settle();
		net.deliver_if([](const queued_message &l) {
			return l.from == "A" && l.to == "u1";
		});
		net.ask("B", 2, "x");
		net.deliver_between("B", "u0");
		net.deliver_between("B", "u2");
		ASSERT_EQ(1, net.runs());
		net.deliver_between("A", "u1");
		EXPECT_EQ(ignore ? 2 : 1, net.runs());
	}
}

/* Guards against grants of a restarted holder before it has copied. */
TEST(Holder, RestartedHolderCopiesFirst)
{
	claim_net net;
	uint32_t held, granting;

	net.ask("A", 1, "x");
	net.deliver_all();
	net.end("A", 1, EB_CLAIM_DONE, "r");
	net.start("u0", 20, false);
	eb_claim_holder_slots(net.holders["u0"], &held, &granting);
	EXPECT_EQ((uint32_t)EB_CLAIM_SLOTS, held);
	EXPECT_EQ(0u, granting);
	net.settle();
	eb_claim_holder_slots(net.holders["u0"], &held, &granting);
	EXPECT_EQ(held, granting);
	net.ask("B", 2, "x");
	net.deliver_between("B", "u0");
	ASSERT_EQ(1u, net.actions["B"].size());
	EXPECT_EQ(EB_CLAIMANT_ANSWER_STORED, net.actions["B"][0].kind);
}

/*
 * Guards against grants within the retention after two of three holders have
 * lost their claims.
 */
TEST(Holder, TwoRestartsWaitForTheRetention)
{
	claim_net net;
	uint32_t held, granting;

	net.start("u0", 20, false);
	net.start("u1", 21, false);
	net.settle();
	eb_claim_holder_slots(net.holders["u0"], &held, &granting);
	EXPECT_EQ(0u, granting);
	for (int i = 0; i <= EB_CLAIM_HOLDER_RETENTION_MS / 1000; i++)
		net.tick(1000000);
	eb_claim_holder_slots(net.holders["u0"], &held, &granting);
	EXPECT_EQ(held, granting);
}

/* Guards against claims or stored responses beyond their limits. */
TEST(Holder, BoundsAreKept)
{
	eb_claim_table *tb = new eb_claim_table();
	uint8_t key[EB_CLAIM_KEY_BYTES] = { 0 };
	eb_claim_response rs{};
	eb_claim_entry *e;

	tb->count_max = 10;
	tb->response_bytes_max = 25;
	tb->retention_us = 1000;
	rs.body = (const uint8_t *)"0123456789";
	rs.body_bytes = 10;
	for (int i = 0; i < 12; i++) {
		key[15] = i;
		e = eb_claim_table_add(tb, key, 0);
		ASSERT_EQ(i < 10, e != nullptr) << i;
		if (!e)
			continue;
		eb_claim_table_store(tb, e, EB_CLAIM_DONE, &rs);
		EXPECT_EQ(i < 2 ? EB_CLAIM_DONE : EB_CLAIM_LARGE, e->state);
	}
	EXPECT_EQ(2u, tb->rejected);
	EXPECT_EQ(8u, tb->dropped);
	EXPECT_EQ(nullptr, eb_claim_table_find(tb, key, 1000));
	EXPECT_NE(nullptr, eb_claim_table_add(tb, key, 1000));
	EXPECT_EQ(1u, tb->count);
	eb_claim_table_clear(tb);
	EXPECT_EQ(0u, tb->response_bytes);
	delete tb;
}

/*
 * Guards against holder sets that are too small, name a holder twice or do not
 * spread over failure domains.
 */
TEST(Holder, SetsSpreadOverFailureDomains)
{
	for (int size : { 1, 2, 3, 6, 19, 20, 30 }) {
		std::vector<int> members;

		for (int i = 0; i < size; i++)
			members.push_back(i);
		test_config tc(members, 5);
		uint32_t want = size < 3 ? size : size < 20 ? 3 : 5;
		std::set<std::string> used;

		for (uint32_t slot = 0; slot < EB_CLAIM_SLOTS; slot++) {
			eb_claim_set st;
			std::set<int> domains;

			ASSERT_EQ(EB_OK,
				  eb_claim_set_make(&st, &tc.cf, 0, slot));
			ASSERT_EQ(want, st.count);
			EXPECT_EQ(want / 2 + 1, st.majority);
			for (uint32_t i = 0; i < st.count; i++) {
				domains.insert(atoi(st.name[i] + 1) % 5);
				used.insert(st.name[i]);
			}
			EXPECT_EQ(want, domains.size());
			eb_claim_set_clear(&st);
		}
		EXPECT_EQ((size_t)size, used.size());
	}
}

/*
 * Guards against claims, which hold responses, outside the regions of their
 * service, and against sets that are larger than what is left.
 */
TEST(Holder, SetsStayInTheRegionsOfTheService)
{
	const struct {
		std::vector<std::string> regions;
		uint32_t want;
	} cases[] = {
		{ {}, 5 },	   { { "r0" }, 3 }, { { "r0", "r1" }, 5 },
		{ { "gone" }, 0 }, { { "r2" }, 1 },
	};

	for (const auto &c : cases) {
		std::vector<int> members;

		for (int i = 0; i < 25; i++)
			members.push_back(i);
		test_config tc(members, 5);
		eb_texts *ts = &tc.cf.services[0]->regions;

		for (const std::string &name : c.regions)
			ASSERT_EQ(EB_OK, eb_texts_add(ts, name.c_str()));
		for (uint32_t i = 0; i < 25; i++)
			tc.cf.upstreams[i]->region = (char *)(i == 24 ? "r2"
							      : i % 2 ? "r1"
								      : "r0");
		for (uint32_t slot = 0; slot < EB_CLAIM_SLOTS; slot++) {
			eb_claim_set st;

			ASSERT_EQ(EB_OK,
				  eb_claim_set_make(&st, &tc.cf, 0, slot));
			EXPECT_EQ(c.want, st.count);
			for (uint32_t i = 0; i < st.count; i++) {
				uint32_t id = EB_NONE;

				for (uint32_t k = 0; k < 25; k++)
					if (!strcmp(st.name[i],
						    tc.cf.upstreams[k]->name))
						id = k;
				ASSERT_NE(EB_NONE, id);
				EXPECT_TRUE(!ts->count ||
					    eb_texts_has(ts, tc.cf.upstreams[id]
								     ->region));
			}
			eb_claim_set_clear(&st);
		}
		eb_texts_clear(ts);
	}
}

std::string sample_message()
{
	eb_claim_message m{};
	eb_claim_record rc{};
	msgpack_sbuffer sb;

	m.type = EB_CLAIM_COPIED;
	m.slot = 7;
	m.members = 3;
	m.generations[1] = UINT64_MAX;
	m.required = 2;
	m.required_ids[0] = 5;
	m.record.response.headers = (const uint8_t *)"a\0b\0";
	m.record.response.headers_bytes = 4;
	m.records = 2;
	rc.state = EB_CLAIM_DONE;
	rc.response.body = (const uint8_t *)"body";
	rc.response.body_bytes = 4;
	eb_claim_record rcs[2] = { rc, rc };
	msgpack_sbuffer_init(&sb);
	EXPECT_EQ(EB_OK, eb_claim_encode(&m, rcs, &sb));
	std::string out(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return out;
}

/* Guards against reads past the end of damaged or malicious payloads. */
TEST(ClaimWire, DamagedMessages)
{
	std::string good = sample_message();
	eb_claim_message m;
	eb_claim_record rc;
	eb_rand rand;

	ASSERT_EQ(EB_OK, eb_claim_decode(good.data(), good.size(), &m));
	EXPECT_EQ(2u, m.records);
	EXPECT_EQ(UINT64_MAX, m.generations[1]);
	eb_claim_record_at(&m, 1, &rc);
	EXPECT_EQ(0, memcmp(rc.response.body, "body", 4));
	eb_claim_message_clear(&m);
	for (size_t n = 0; n < good.size(); n++) {
		std::vector<char> part(good.begin(), good.begin() + n);

		EXPECT_NE(EB_OK, eb_claim_decode(part.data(), n, &m)) << n;
	}
	std::string large(EB_CLAIM_MESSAGE_MAX_BYTES + 1, 'x');
	EXPECT_EQ(EB_EFULL, eb_claim_decode(large.data(), large.size(), &m));
	large = good + "x";
	EXPECT_EQ(EB_EPARSE, eb_claim_decode(large.data(), large.size(), &m));
	/* An array of 2^32 - 1 items must not be allocated. */
	large = std::string("\xdd\xff\xff\xff\xff", 5);
	EXPECT_EQ(0, eb_claim_items_valid(large.data(), large.size()));
	EXPECT_EQ(1, eb_claim_items_valid(good.data(), good.size()));
	eb_rand_seed(&rand, 3);
	for (int i = 0; i < 20000; i++) {
		std::string bad = good;

		for (int k = 0; k < 3; k++)
			bad[eb_rand_below(&rand, bad.size())] =
				(char)eb_rand_next(&rand);
		if (!eb_claim_decode(bad.data(), bad.size(), &m)) {
			EXPECT_GE((unsigned)EB_CLAIM_TYPE_MAX, m.type);
			eb_claim_message_clear(&m);
		}
	}
}

} // namespace
