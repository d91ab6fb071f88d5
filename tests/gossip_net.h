#ifndef GOSSIP_NET_H
#define GOSSIP_NET_H

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "eb_dist.h"
#include "eb_member.h"
}

constexpr int64_t MS = 1000, SEC = 1000000;

struct Net;

/* A daemon with both modules; `state` is the list of notes in force. */
struct Node : eb_sink {
	Net *net = nullptr;
	int i = 0, starts = 0;
	eb_member *member = nullptr;
	eb_dist *dist = nullptr;
	bool up = false, paused = false, ready = false, set_roster = false;
	bool snapshot_wanted = false, superseded = false;
	uint64_t watch_no = 0, watch_after = 0;
	bool watching = false;
	int64_t watch_end = 0;
	std::vector<std::string> state;
	size_t served_max = 0; /* of all processes at this address */
	std::vector<std::pair<int64_t, std::string>> backlog;
};

struct Event {
	int64_t at;
	uint64_t no;
	int to;
	int kind; /* 0 message, 1 tick, 2 platform answer */
	std::string data;
	uint64_t watch_no = 0;

	bool operator<(const Event &o) const
	{
		return at != o.at ? at > o.at : no > o.no;
	}
};

struct Shape {
	int regions, domains,
		nodes; /* domains of a region, nodes of a domain */
};

/* A network with a virtual clock, and a platform with a log of notes. */
struct Net {
	int64_t now = SEC;
	uint64_t event_no = 0;
	eb_rand rand;
	Shape shape;
	std::vector<std::string> names;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<int> node_of; /* by roster index */
	eb_roster *roster = nullptr;
	std::priority_queue<Event> events;
	uint32_t loss_permille = 0, member_off = 0, dist_off = 0;
	bool member_only = false, roster_at_start = true;
	std::function<bool(int, int)> cut = [](int, int) {
		return false;
	};
	std::function<bool(int)> platform_cut = [](int) {
		return false;
	};
	std::vector<std::string> log;
	size_t visible = 0; /* a stale platform shows fewer notes than log */
	bool platform_down = false;
	uint64_t platform_calls = 0, messages = 0, bytes = 0, deltas_cross = 0;
	std::set<int> readers;	   /* that began to read the platform */
	std::map<int, int> alarms; /* members reported down while running */
	std::vector<std::string> faults;

	Net(Shape s, uint64_t seed) : shape(s)
	{
		std::vector<eb_roster_daemon> places;
		std::vector<std::string> regions, domains;
		int n = s.regions * s.domains * s.nodes;

		eb_rand_seed(&rand, seed);
		for (int i = 0; i < n; i++) {
			int d = i / s.nodes;

			names.push_back("127.0.0.1:" + std::to_string(i));
			domains.push_back("d" + std::to_string(d));
			regions.push_back("r" + std::to_string(d / s.domains));
		}
		for (int i = 0; i < n; i++)
			places.push_back({ names[i].c_str(), regions[i].c_str(),
					   domains[i].c_str(), (uint32_t)i });
		roster = eb_roster_new(places.data(), (uint32_t)n);
		node_of.resize(n);
		for (int i = 0; i < n; i++) {
			nodes.emplace_back(new Node);
			nodes[i]->act = act;
			nodes[i]->net = this;
			nodes[i]->i = i;
			node_of[index_of(i)] = i;
		}
	}

	~Net()
	{
		for (auto &n : nodes)
			drop(*n);
		eb_roster_unref(roster);
	}

	uint32_t index_of(int i) const
	{
		return eb_roster_find(roster, eb_roster_id(names[i].c_str()));
	}

	int domain(int i) const
	{
		return i / shape.nodes;
	}

	int region(int i) const
	{
		return domain(i) / shape.domains;
	}

	void drop(Node &n)
	{
		eb_dist_free(n.dist);
		eb_member_free(n.member);
		n.dist = nullptr;
		n.member = nullptr;
	}

	void push(int64_t at, int to, int kind, std::string data = "",
		  uint64_t watch_no = 0)
	{
		events.push(Event{ at, event_no++, to, kind, std::move(data),
				   watch_no });
	}

	void start(int i)
	{
		Node &n = *nodes[i];
		const char *seeds[] = { names[0].c_str(),
					names[names.size() / 2].c_str(),
					names[names.size() - 1].c_str() };
		eb_dist_settings st = {};

		drop(n);
		n.starts++;
		n.up = true;
		n.paused = n.ready = n.watching = n.superseded = false;
		n.state.clear();
		n.backlog.clear();
		n.member =
			eb_member_new(names[i].c_str(), eb_rand_next(&rand) | 1,
				      eb_rand_next(&rand), &n, member_off);
		st.address = names[i].c_str();
		st.seeds = seeds;
		st.seed_count = 3;
		st.seed = eb_rand_next(&rand);
		st.test_off = dist_off;
		n.dist = eb_dist_new(&st, n.member, &n, now);
		if (roster_at_start)
			eb_member_set_roster(n.member, roster, now);
		push(now + eb_rand_below(&rand, 50 * MS), i, 1, "",
		     (uint64_t)n.starts);
	}

	void start_all()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			start((int)i);
	}

	void kill(int i)
	{
		nodes[i]->up = false;
		nodes[i]->ready = false;
	}

	void pause(int i)
	{
		nodes[i]->paused = true;
	}

	void resume(int i)
	{
		Node &n = *nodes[i];

		n.paused = false;
		for (auto &b : n.backlog)
			push(now + 1, i, 0, b.second);
		n.backlog.clear();
		push(now, i, 1, "", (uint64_t)n.starts);
	}

	int64_t delay(int a, int b)
	{
		int64_t d = region(a) != region(b)   ? 10 * MS
			    : domain(a) != domain(b) ? 1 * MS
						     : 300;

		return d + eb_rand_below(&rand, (uint32_t)d);
	}

	void fault(const Node &n, const std::string &text)
	{
		faults.push_back(names[n.i] + " at " +
				 std::to_string(now / MS) + " ms: " + text);
	}

	void send(Node &n, const eb_action *a)
	{
		uint32_t kind = 0;
		uint32_t m = eb_roster_find(roster, eb_roster_id(a->address));
		std::string data((const char *)a->data, a->bytes);
		int to = m == EB_NONE ? -1 : node_of[m];

		if (a->bytes > EB_GOSSIP_MAX_BYTES)
			fault(n, "message exceeds EB_GOSSIP_MAX_BYTES");
		messages++;
		bytes += a->bytes;
		eb_gossip_peek(a->data, a->bytes, &kind);
		if (to < 0 || cut(n.i, to) ||
		    eb_rand_below(&rand, 1000) < loss_permille)
			return;
		if (kind == EB_GOSSIP_DELTA && region(n.i) != region(to))
			deltas_cross++;
		push(now + delay(n.i, to), to, 0, std::move(data));
	}

	/*
	 * Checks invariant 7: releases come into force in order, and an address
	 * never returns to an older one.
	 */
	void put_in_force(Node &n, const eb_action *a)
	{
		std::string text((const char *)a->data, a->bytes);

		if (a->index <= n.state.size()) {
			fault(n, "an older release came into force");
			n.state.resize(a->index);
			return;
		}
		n.state.push_back(text);
		if (a->index != n.state.size() || a->index > log.size() ||
		    log[a->index - 1] != text)
			fault(n, "note and platform's log differ");
		n.set_roster = true;
		serve(n);
	}

	void serve(Node &n)
	{
		if (!n.ready)
			return;
		if (n.state.size() < n.served_max)
			fault(n, "serves an older release than before");
		n.served_max = std::max(n.served_max, n.state.size());
	}

	void load(Node &n, eb_action *a)
	{
		std::string all((const char *)a->data, a->bytes), line;
		size_t at = 0, end;

		n.state.clear();
		while ((end = all.find('\n', at)) != std::string::npos) {
			n.state.push_back(all.substr(at, end - at));
			at = end + 1;
		}
		if (n.state.size() != a->index || a->index > log.size())
			fault(n, "snapshot has the wrong number of notes");
		n.set_roster = true;
		serve(n);
	}

	static void act(eb_sink *sink, eb_action *a)
	{
		Node &n = *static_cast<Node *>(sink);
		Net &net = *n.net;

		switch (a->type) {
		case EB_ACTION_SEND:
			net.send(n, a);
			break;
		case EB_ACTION_MEMBER:
			if (a->state == EB_MEMBER_DOWN &&
			    net.nodes[net.node_of[a->member]]->up &&
			    !net.nodes[net.node_of[a->member]]->paused)
				net.alarms[net.node_of[a->member]]++;
			break;
		case EB_ACTION_SUPERSEDED:
			n.superseded = true;
			break;
		case EB_ACTION_WATCH:
			n.watching = true;
			n.watch_no++;
			n.watch_after = a->index;
			n.watch_end = net.now + a->wait_ms * MS;
			net.platform_calls++;
			net.readers.insert(n.i);
			break;
		case EB_ACTION_STOP_WATCH:
			n.watching = false;
			break;
		case EB_ACTION_APPLY:
			net.put_in_force(n, a);
			break;
		case EB_ACTION_SNAPSHOT_WANTED:
			n.snapshot_wanted = true;
			break;
		case EB_ACTION_LOAD_SNAPSHOT:
			net.load(n, a);
			break;
		case EB_ACTION_READY:
			n.ready = true;
			net.serve(n);
			break;
		}
	}

	void platform_answer(Node &n)
	{
		std::vector<eb_dist_text> notes;

		n.watching = false;
		if (platform_down || platform_cut(n.i)) {
			eb_dist_platform_failed(n.dist, now);
			return;
		}
		for (size_t k = n.watch_after; k < visible; k++)
			notes.push_back({ k + 1, log[k].data(),
					  (uint32_t)log[k].size() });
		eb_dist_platform(n.dist, visible, notes.data(),
				 (uint32_t)notes.size(), now);
	}

	/* Ends a pending watch with new notes, a failure or its timeout. */
	void poll_watch(Node &n)
	{
		if (!n.watching)
			return;
		if (platform_down || platform_cut(n.i) ||
		    visible > n.watch_after || now >= n.watch_end)
			push(now + 5 * MS, n.i, 2, "", n.watch_no);
	}

	void after(Node &n)
	{
		if (n.snapshot_wanted) {
			std::string all;

			for (auto &s : n.state)
				all += s + "\n";
			eb_dist_set_snapshot(n.dist, all.data(),
					     (uint32_t)all.size(), now);
			n.snapshot_wanted = false;
		}
		if (n.set_roster && n.member->roster != roster)
			eb_member_set_roster(n.member, roster, now);
		n.set_roster = false;
	}

	void message(Node &n, const std::string &data)
	{
		uint32_t kind = 0;

		/* With a copy of exact size a sanitizer detects overreads. */
		std::vector<char> copy(data.begin(), data.end());
		eb_gossip_peek(copy.data(), copy.size(), &kind);
		if (kind > EB_GOSSIP_MEMBER_MAX)
			eb_dist_recv(n.dist, copy.data(), copy.size(), now);
		else
			eb_member_recv(n.member, copy.data(), copy.size(), now);
	}

	void handle(const Event &e)
	{
		Node &n = *nodes[e.to];

		if (!n.up)
			return;
		if (e.kind == 1 && e.watch_no == (uint64_t)n.starts &&
		    !n.paused)
			push(now + 50 * MS, e.to, 1, "", e.watch_no);
		if (n.paused) {
			if (!e.kind)
				n.backlog.push_back({ now, e.data });
			return;
		}
		if (e.kind == 0) {
			message(n, e.data);
		} else if (e.kind == 2) {
			if (n.watching && e.watch_no == n.watch_no)
				platform_answer(n);
		} else if (e.watch_no == (uint64_t)n.starts) {
			eb_member_tick(n.member, now);
			if (!member_only)
				eb_dist_tick(n.dist, now);
			poll_watch(n);
		}
		after(n);
	}

	void run(int64_t us)
	{
		int64_t end = now + us;

		while (!events.empty() && events.top().at <= end) {
			Event e = events.top();

			events.pop();
			now = std::max(now, e.at);
			handle(e);
		}
		now = end;
	}

	/* Runs until `done`, at most `us`; returns the time in us, or -1. */
	int64_t run_until(int64_t us, const std::function<bool()> &done)
	{
		int64_t begin = now;

		while (now - begin < us) {
			if (done())
				return now - begin;
			run(50 * MS);
		}
		return done() ? now - begin : -1;
	}

	void append(size_t count, size_t bytes = 40)
	{
		for (size_t k = 0; k < count; k++) {
			std::string t = "{\"release\":" +
					std::to_string(log.size() + 1) +
					",\"note\":\"";

			t += std::string(bytes, 'x') + "\"}";
			log.push_back(t);
		}
		visible = log.size();
	}

	eb_member_state state(int viewer, int of) const
	{
		return eb_member_get_state(nodes[viewer]->member, index_of(of));
	}

	/* Whether all other running, unpaused daemons see `of` in state `s`. */
	bool all_see(int of, eb_member_state s) const
	{
		for (auto &n : nodes)
			if (n->up && !n->paused && n->i != of &&
			    state(n->i, of) != s)
				return false;
		return true;
	}

	bool all_in_force(size_t index) const
	{
		for (auto &n : nodes)
			if (n->up && !n->paused &&
			    (!n->ready || n->state.size() != index))
				return false;
		return true;
	}
};

#endif
