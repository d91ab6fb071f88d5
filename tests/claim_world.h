#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

#include <cstdint>
#include <cstring>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

extern "C" {
#include "eb_claimant.h"
#include "eb_claim_holder.h"
#include "eb_rand.h"
}

/* A configuration with one service; upstream i is named u<i>. */
struct test_config {
	eb_config cf{};
	eb_service service{};
	eb_service *services[1];
	uint32_t first = 0, count = 0;
	std::vector<eb_upstream> upstreams;
	std::vector<eb_upstream *> pointers;
	std::vector<std::string> names, domains;

	explicit test_config(const std::vector<int> &members, int spread = 3)
	{
		service.name = const_cast<char *>("agenda");
		services[0] = &service;
		count = members.size();
		upstreams.resize(count);
		for (int i : members) {
			names.push_back("u" + std::to_string(i));
			domains.push_back("d" + std::to_string(i % spread));
		}
		for (uint32_t i = 0; i < count; i++) {
			upstreams[i].name = names[i].data();
			upstreams[i].service_name = service.name;
			upstreams[i].failure_domain = domains[i].data();
			pointers.push_back(&upstreams[i]);
		}
		cf.services = services;
		cf.service_total = 1;
		cf.service_first_upstream = &first;
		cf.service_upstream_count = &count;
		cf.upstreams = pointers.data();
		cf.upstream_total = count;
	}
	test_config(const test_config &) = delete;
};

/* One step of a generated history; the kind says what a, b and c select. */
struct world_op {
	int kind = 0;
	int at_ms = 0;
	int a = 0, b = 0, c = 0;
};

/*
 * OP_ZOMBIE pauses a process and starts another one under its name; the paused
 * process resumes and acts on its old state for ZOMBIE_LIFE_US.
 */
enum { OP_SEND, OP_KILL, OP_PAUSE, OP_CUT, OP_CONFIG, OP_ZOMBIE, OP_KINDS };

struct world_settings {
	int daemons = 6;
	int keys = 4;
	int span_ms = 15000;
	int key_span_ms = 0; /* time in which a key is used; 0: all */
	int64_t retention_ms = 120000;
	int64_t config_lag_ms = 10000;
	int64_t run_gap_min_ms =
		110000;		    /* two runs closer than this: violation */
	int fault_kinds = OP_KINDS; /* the first ones of the enum above */
	int loss_permille = 30, duplicate_permille = 30;
	int slow_permille = 30;
	uint32_t test_majority = 0;
	bool ignore_generations = false, grant_at_once = false;
};

/* `finals` counts final answers; `variant` selects the request's body. */
struct call_record {
	int key = 0, variant = 0, finals = 0, outcome = -1, refusal = 0;
	bool ran = false, stored = false;
	int64_t run_at_us = -1;
	std::string body;
	const void *origin = nullptr;
};

/*
 * Simulates daemons, with a claimant and a holder each, and a network that
 * loses, repeats and delays messages. Clocks differ between processes.
 */
class world
{
public:
	world(const world_settings &s, uint64_t seed);
	~world();
	void run(const std::vector<world_op> &ops);
	/* Stops all daemons and adds up their counters. */
	void stop_all();
	/* Returns the first violation in the history, or an empty string. */
	std::string check() const;

	std::map<uint64_t, call_record> calls;
	std::string unanswered; /* a call at a daemon that still runs */
	uint64_t sent = 0, kills = 0, stale_grants = 0, opened_by_time = 0;
	uint64_t copies = 0;

private:
	struct proc {
		int name;
		uint64_t incarnation;
		eb_claimant *claim;
		eb_claim_holder *holder;
		int64_t offset_us;
		int64_t paused_until_us = 0;
		size_t config = 0;
		bool alive = true, zombie = false;
	};
	struct event {
		int64_t at_us;
		uint64_t order;
		int kind; /* EV_MESSAGE etc. */
		int who, from;
		proc *target;
		uint64_t call;
		std::string payload;
		world_op op;
		bool operator<(const event &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: order > o.order;
		}
	};
	void push(event e, int64_t delay_us);
	void start(int name, size_t config);
	void stop(proc *p);
	void configure(proc *p, size_t to);
	void drain(proc *p);
	void post(proc *p, eb_claim_send &sd);
	void handle(event &e);
	void apply(const world_op &op);
	void send(int origin, int key, int variant);
	void finish(proc *p, uint64_t call);
	void on_action(proc *p, eb_claimant_action &a);
	void change_config(int pick);
	bool cut(int a, int b) const;
	proc *target_of(const event &e);
	int64_t clock(const proc *p) const
	{
		return now_us + p->offset_us;
	}

	world_settings settings;
	eb_rand rand;
	int64_t now_us = 0;
	uint64_t order = 0, next_call = 0, next_incarnation = 0;
	uint32_t cut_mask = 0;
	int64_t cut_until_us = 0;
	std::vector<int> members;
	std::vector<std::unique_ptr<test_config>> configs;
	std::vector<std::unique_ptr<proc>> procs;
	std::vector<proc *> current;
	std::vector<size_t> newest; /* newest configuration by name */
	std::priority_queue<event> events;
};

enum { EV_MESSAGE, EV_TICK, EV_OP, EV_RUN_END, EV_START, EV_CONFIG };
const int64_t TICK_US = 20000;
const int64_t ZOMBIE_LIFE_US = 3000000;

inline world::world(const world_settings &s, uint64_t seed) : settings(s)
{
	eb_rand_seed(&rand, seed);
	for (int i = 0; i < s.daemons; i++)
		members.push_back(i);
	configs.push_back(std::unique_ptr<test_config>(new test_config({})));
	configs.push_back(
		std::unique_ptr<test_config>(new test_config(members)));
	/* Two spare daemons can be added to the service. */
	current.resize(s.daemons + 2);
	newest.resize(s.daemons + 2, 1);
	/* The service has no upstreams at first, so all slots grant. */
	for (int i = 0; i < s.daemons + 2; i++) {
		start(i, 0);
		configure(current[i], 1);
	}
}

inline world::~world()
{
	stop_all();
}

inline void world::stop_all()
{
	for (auto &p : procs)
		stop(p.get());
}

inline void world::push(event e, int64_t delay_us)
{
	e.at_us = now_us + delay_us;
	e.order = order++;
	events.push(e);
}

inline void world::start(int name, size_t config)
{
	std::string text = "u" + std::to_string(name);
	std::unique_ptr<proc> p(new proc{});
	eb_claimant_config cc{};
	eb_claim_holder_config hc{};

	/* Incarnations are not ordered by time. */
	p->incarnation = 1 + (++next_incarnation * 0x9e3779b97f4a7c15ULL >> 8);
	p->name = name;
	p->offset_us = (int64_t)next_incarnation * 1000000007;
	cc.incarnation = p->incarnation;
	cc.seed = next_incarnation;
	cc.test_majority = settings.test_majority;
	cc.test_ignore_generations = settings.ignore_generations;
	hc.name = text.c_str();
	hc.incarnation = p->incarnation;
	hc.retention_us = settings.retention_ms * 1000;
	hc.config_lag_us = settings.config_lag_ms * 1000;
	hc.test_grant_at_once = settings.grant_at_once;
	p->claim = eb_claimant_new(&cc);
	p->holder = eb_claim_holder_new(&hc);
	current[name] = p.get();
	p->config = config;
	eb_claimant_configure(p->claim, &configs[config]->cf);
	eb_claim_holder_configure(p->holder, nullptr, &configs[config]->cf,
				  clock(p.get()));
	push({ 0, 0, EV_TICK, name, 0, p.get(), 0, "", {} }, TICK_US);
	procs.push_back(std::move(p));
}

inline void world::stop(proc *p)
{
	eb_claim_holder_counters hc;
	eb_claimant_counters cc;

	if (!p->alive)
		return;
	p->alive = false;
	eb_claim_holder_read_counters(p->holder, &hc);
	eb_claimant_read_counters(p->claim, &cc);
	opened_by_time += hc.opened_by_time;
	copies += hc.copies_done;
	stale_grants += cc.grants_void;
	eb_claimant_free(p->claim);
	eb_claim_holder_free(p->holder);
}

inline void world::configure(proc *p, size_t to)
{
	while (p->config < to) {
		const eb_config *was = &configs[p->config++]->cf;
		const eb_config *cf = &configs[p->config]->cf;

		eb_claimant_configure(p->claim, cf);
		eb_claim_holder_configure(p->holder, was, cf, clock(p));
	}
	if (newest[p->name] < p->config)
		newest[p->name] = p->config;
}

inline bool world::cut(int a, int b) const
{
	return now_us < cut_until_us &&
	       (cut_mask >> a & 1) != (cut_mask >> b & 1);
}

inline void world::post(proc *p, eb_claim_send &sd)
{
	int to = atoi(sd.to + 1);
	std::string payload((char *)sd.payload, sd.payload_bytes);
	event e{ 0, 0, EV_MESSAGE, to, p->name, current[to], 0, payload, {} };
	int copies_sent = 1;

	if (to == p->name) {
		e.target = p;
		push(e, 0);
		return;
	}
	if ((int)eb_rand_below(&rand, 1000) < settings.loss_permille)
		copies_sent = 0;
	if ((int)eb_rand_below(&rand, 1000) < settings.duplicate_permille)
		copies_sent++;
	while (copies_sent--) {
		int64_t us = 500 + eb_rand_below(&rand, 15000);

		if ((int)eb_rand_below(&rand, 1000) < settings.slow_permille)
			us += eb_rand_below(&rand, 2000000);
		push(e, us);
	}
}

inline void world::on_action(proc *p, eb_claimant_action &a)
{
	call_record &cr = calls[a.call];

	if (a.kind == EB_CLAIMANT_RUN) {
		/* One in ten is refused by the gate and never runs. */
		bool refused = eb_rand_below(&rand, 10) == 0;

		cr.ran = !refused;
		cr.run_at_us = now_us;
		push({ 0, 0, EV_RUN_END, p->name, 0, p, a.call, "", {} },
		     1000 + eb_rand_below(&rand, 100000));
		return;
	}
	/* The answer counts from the end of the run: see finish(). */
	if (a.kind == EB_CLAIMANT_DELIVER)
		return;
	cr.finals++;
	cr.outcome = a.outcome;
	cr.refusal = a.refusal;
	cr.stored = a.kind == EB_CLAIMANT_ANSWER_STORED;
	if (cr.stored)
		cr.body.assign((const char *)a.response.body,
			       a.response.body_bytes);
}

inline void world::drain(proc *p)
{
	eb_claimant_action a;
	eb_claim_send sd;

	while (eb_claimant_next(p->claim, &a)) {
		on_action(p, a);
		eb_claimant_action_clear(&a);
	}
	while (eb_claimant_next_send(p->claim, &sd) ||
	       eb_claim_holder_next(p->holder, &sd)) {
		post(p, sd);
		eb_claim_send_clear(&sd);
	}
}

inline void world::send(int origin, int key, int variant)
{
	proc *p = current[origin];
	eb_claimant_request rq{};
	std::string k = "key" + std::to_string(key);

	if (!p || !p->alive || p->paused_until_us > now_us)
		return;
	rq.call = ++next_call;
	rq.service = "agenda";
	eb_claim_key("agenda", k.c_str(), rq.key);
	eb_claim_digest("POST", "/agenda", 1, variant ? "b" : "a", 1,
			rq.digest);
	rq.deadline_us = clock(p) + 25000000;
	calls[rq.call].key = key;
	calls[rq.call].variant = variant;
	calls[rq.call].origin = p;
	sent++;
	eb_claimant_start(p->claim, &rq, clock(p));
	drain(p);
}

/* Ends the run of a call, with a response body that names the call. */
inline void world::finish(proc *p, uint64_t call)
{
	std::string body = "ran " + std::to_string(call);
	eb_claim_response rs{};
	call_record &cr = calls[call];
	uint32_t dice = eb_rand_below(&rand, 10);

	rs.status = 201;
	rs.body = (const uint8_t *)body.data();
	rs.body_bytes = body.size();
	if (!cr.ran) {
		cr.finals++;
		cr.outcome = EB_OUTCOME_NOT_RUN;
		eb_claimant_not_run(p->claim, call, clock(p));
	} else {
		cr.finals++;
		cr.outcome = dice == 0 ? EB_OUTCOME_UNKNOWN : EB_OUTCOME_RAN;
		eb_claimant_ended(p->claim, call,
				  dice == 0   ? EB_CLAIM_LOST
				  : dice == 1 ? EB_CLAIM_LARGE
					      : EB_CLAIM_DONE,
				  &rs, clock(p));
	}
	drain(p);
}

/* Adds or removes one daemon; the daemons are notified within 3 s. */
inline void world::change_config(int pick)
{
	int who = pick % (int)current.size();
	std::vector<int> next;
	bool found = false;

	for (int m : members) {
		if (m == who)
			found = true;
		else
			next.push_back(m);
	}
	if (!found)
		next.push_back(who);
	if (next.size() < 3)
		return;
	members = next;
	configs.push_back(
		std::unique_ptr<test_config>(new test_config(members)));
	for (size_t i = 0; i < current.size(); i++)
		push({ 0,
		       0,
		       EV_CONFIG,
		       (int)i,
		       0,
		       nullptr,
		       configs.size() - 1,
		       "",
		       {} },
		     eb_rand_below(&rand, 3000000));
}

inline void world::apply(const world_op &op)
{
	int n = (int)current.size(), who = op.a % n;
	proc *p = current[who];

	switch (op.kind) {
	case OP_SEND: {
		int key = op.a % settings.keys, racers = 1 + op.c % 3;

		if (settings.key_span_ms)
			key += op.at_ms / settings.key_span_ms * 100;
		for (int i = 0; i < racers; i++)
			send((op.b + i * 3) % n, key, op.c % 20 == 19);
		break;
	}
	case OP_KILL:
	case OP_ZOMBIE:
		if (!p)
			return;
		kills++;
		current[who] = nullptr;
		if (op.kind == OP_KILL) {
			stop(p);
		} else {
			p->zombie = true;
			p->paused_until_us = now_us + op.c % 5000 * 1000;
		}
		push({ 0, 0, EV_START, who, 0, nullptr, 0, "", {} },
		     op.b % 1500 * 1000);
		break;
	case OP_PAUSE:
		if (p)
			p->paused_until_us =
				now_us +
				(op.b % 10 ? op.b % 2000 : 30000) * 1000LL;
		break;
	case OP_CUT:
		cut_mask = (uint32_t)op.a;
		cut_until_us = now_us + op.b % 4000 * 1000;
		break;
	case OP_CONFIG:
		change_config(op.a);
		break;
	}
}

/* Returns the process that an event is for, or the one that replaced it. */
inline world::proc *world::target_of(const event &e)
{
	if (e.target && e.target->alive)
		return e.target;
	return e.kind == EV_MESSAGE || e.kind == EV_CONFIG ? current[e.who]
							   : nullptr;
}

inline void world::handle(event &e)
{
	eb_claim_message m;
	proc *p = target_of(e);

	if (e.kind == EV_OP) {
		apply(e.op);
		return;
	}
	if (e.kind == EV_START) {
		if (!current[e.who])
			start(e.who, newest[e.who]);
		return;
	}
	if (!p)
		return;
	if (p->paused_until_us > now_us) {
		push(e, p->paused_until_us - now_us);
		return;
	}
	if (p->zombie && now_us - p->paused_until_us > ZOMBIE_LIFE_US) {
		stop(p);
		return;
	}
	switch (e.kind) {
	case EV_MESSAGE:
		if (cut(e.from, p->name) ||
		    eb_claim_decode(e.payload.data(), e.payload.size(), &m))
			return;
		if (eb_claim_for_holder(&m))
			eb_claim_holder_recv(
				p->holder,
				("u" + std::to_string(e.from)).c_str(), &m,
				clock(p));
		else
			eb_claimant_recv(p->claim,
					 ("u" + std::to_string(e.from)).c_str(),
					 &m, clock(p));
		eb_claim_message_clear(&m);
		break;
	case EV_TICK:
		eb_claim_holder_tick(p->holder, clock(p));
		eb_claimant_tick(p->claim, clock(p));
		push(e, TICK_US);
		break;
	case EV_RUN_END:
		finish(p, e.call);
		return;
	case EV_CONFIG:
		configure(p, e.call);
		break;
	}
	drain(p);
}

inline void world::run(const std::vector<world_op> &ops)
{
	int64_t end_us = (settings.span_ms + 45000) * 1000LL;

	for (const world_op &op : ops)
		push({ 0, 0, EV_OP, 0, 0, nullptr, 0, "", op },
		     1000000 + op.at_ms * 1000LL);
	while (!events.empty()) {
		event e = events.top();

		events.pop();
		if (e.at_us > end_us)
			break;
		now_us = e.at_us;
		handle(e);
	}
	for (auto &it : calls)
		for (auto &p : procs)
			if (p.get() == it.second.origin && p->alive &&
			    !it.second.finals &&
			    p->paused_until_us < now_us - 27000000)
				unanswered = "no answer of call " +
					     std::to_string(it.first);
}

inline std::string world::check() const
{
	std::map<int, std::vector<std::pair<int64_t, uint64_t>>> runs;
	std::string where;

	for (auto &it : calls)
		if (it.second.ran)
			runs[it.second.key].push_back(
				{ it.second.run_at_us, it.first });
	for (auto &it : runs)
		for (auto &x : it.second)
			for (auto &y : it.second)
				if (x.second != y.second &&
				    llabs(x.first - y.first) <
					    settings.run_gap_min_ms * 1000)
					return "two runs of key " +
					       std::to_string(it.first);
	for (auto &it : calls) {
		const call_record &cr = it.second;

		where = " of call " + std::to_string(it.first);
		if (cr.finals > 1)
			return "two answers" + where;
		if (cr.ran && cr.outcome == EB_OUTCOME_NOT_RUN)
			return "not-run and run" + where;
		if (!cr.stored)
			continue;
		uint64_t by = strtoull(cr.body.c_str() + 4, nullptr, 10);
		auto first = calls.find(by);

		if (first == calls.end() || !first->second.ran ||
		    first->second.key != cr.key ||
		    first->second.variant != cr.variant)
			return "response of another run" + where;
	}
	return unanswered;
}

#endif
