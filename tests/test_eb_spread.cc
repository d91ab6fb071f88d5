#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "eb_spread.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;
/* One way between two daemons, and to the source. */
const int64_t LINK_US = 8 * MS;
const int64_t WATCH_US = 800 * MS;
const int64_t CALL_TIMEOUT_US = 1200 * MS;
const int64_t HEARTBEAT_US = 1000 * MS;

class Fleet;

struct daemon {
	Fleet *fleet;
	uint32_t id;
	eb_spread *sp;
	eb_source_mode mode = EB_SOURCE_IDLE;
	bool up = true;
	bool blind = false; /* the source does not answer it, in silence */
	uint64_t reading_from = 0;
	int64_t call_at = -1; /* when its call to the source was begun */
	int64_t next_call = 0;
	uint64_t best = 0; /* newest revision it ever had */
	bool went_back = false;
};

/* Daemons, their links and a source, on a virtual clock. */
class Fleet
{
public:
	explicit Fleet(uint32_t n)
	{
		for (uint32_t i = 0; i < n; i++) {
			auto dm = std::make_unique<daemon>();
			eb_spread_outlets out = { send, changed, want,
						  dm.get() };

			dm->fleet = this;
			dm->id = i;
			dm->sp = eb_spread_new(&out, order(i), 1, now);
			daemons.push_back(std::move(dm));
		}
		for (auto &dm : daemons)
			join(*dm);
	}
	~Fleet()
	{
		for (auto &dm : daemons)
			eb_spread_free(dm->sp);
	}
	static uint64_t order(uint32_t id)
	{
		return eb_spread_order(
			("10.0.0." + std::to_string(id)).c_str());
	}
	/* Daemons in the order in which they are to read. */
	std::vector<daemon *> by_order()
	{
		std::map<uint64_t, daemon *> sorted;
		std::vector<daemon *> out;

		for (auto &dm : daemons)
			sorted[order(dm->id)] = dm.get();
		for (auto &pair : sorted)
			out.push_back(pair.second);
		return out;
	}
	void publish()
	{
		revision++;
	}
	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end; now += MS)
			step();
	}
	/* Time until all that are up and not in `except` have `revision`. */
	int64_t time_to_all(int64_t limit_us)
	{
		int64_t begun = now;

		while (now - begun < limit_us) {
			bool all = true;

			for (auto &dm : daemons)
				all &= !dm->up || have(*dm) >= revision;
			if (all)
				break;
			step();
			now += MS;
		}
		return now - begun;
	}
	static uint64_t have(const daemon &dm)
	{
		return eb_feed_revision(eb_spread_feed(dm.sp));
	}

	std::vector<std::unique_ptr<daemon>> daemons;
	int64_t now = 1000 * 1000 * MS;
	uint64_t revision = 5;
	int calls = 0;
	bool down = false;

private:
	std::multimap<int64_t, std::function<void()>> events;

	void join(daemon &dm)
	{
		std::vector<eb_spread_member> list;

		for (auto &other : daemons)
			if (other->id != dm.id)
				list.push_back({ other->id, order(other->id) });
		ASSERT_EQ(EB_OK, eb_spread_set_members(dm.sp, list.data(),
						       (uint32_t)list.size()));
	}
	static void send(void *ctx, uint32_t node, const void *data,
			 uint32_t bytes)
	{
		daemon *from = static_cast<daemon *>(ctx);
		Fleet *fl = from->fleet;
		std::string copy((const char *)data, bytes);
		uint32_t back = from->id;

		if (!from->up)
			return;
		fl->events.emplace(fl->now + LINK_US, [fl, node, copy, back] {
			fl->deliver(node, copy, back);
		});
	}
	void deliver(uint32_t to, const std::string &data, uint32_t back)
	{
		daemon *dm = daemons[to].get();
		uint8_t *reply = nullptr;
		uint32_t bytes = 0;

		if (!dm->up)
			return;
		eb_spread_receive(dm->sp, data.data(), (uint32_t)data.size(),
				  now, &reply, &bytes);
		if (reply)
			send(dm, back, reply, bytes);
		free(reply);
	}
	static void changed(void *ctx)
	{
		daemon *dm = static_cast<daemon *>(ctx);

		dm->went_back |= have(*dm) < dm->best;
		dm->best = have(*dm);
	}
	static void want(void *ctx, eb_source_mode mode, uint64_t)
	{
		daemon *dm = static_cast<daemon *>(ctx);

		dm->mode = mode;
		if (mode == EB_SOURCE_IDLE)
			dm->call_at = -1;
	}
	void report(daemon &dm, bool failed)
	{
		eb_source_report rp = {};
		std::string value = std::to_string(revision);

		dm.call_at = -1;
		rp.failed = failed;
		if (!failed) {
			rp.change.full = 1;
			rp.change.revision = revision;
			eb_feed_change_add(&rp.change, "state", value.data(),
					   (uint32_t)value.size(), revision, 0);
		}
		dm.next_call = now + (failed ? 200 : 1) * MS;
		eb_spread_report(dm.sp, &rp, now);
		eb_feed_change_clear(&rp.change);
	}
	void use_source(daemon &dm)
	{
		if (!dm.up || dm.mode == EB_SOURCE_IDLE)
			return;
		if (dm.call_at < 0) {
			if (now < dm.next_call)
				return;
			dm.call_at = now;
			dm.reading_from = have(dm);
			calls++;
		}
		if (down || dm.blind) {
			if (now - dm.call_at >= CALL_TIMEOUT_US)
				report(dm, true);
		} else if (revision > dm.reading_from ||
			   now - dm.call_at >= WATCH_US ||
			   dm.mode == EB_SOURCE_GLANCE) {
			report(dm, false);
			if (dm.mode == EB_SOURCE_GLANCE)
				dm.next_call = now + 700 * MS;
		}
	}
	void heartbeats()
	{
		for (auto &a : daemons)
			for (auto &b : daemons)
				if (a != b && a->up && b->up)
					eb_spread_heard(a->sp, b->id, have(*b),
							eb_spread_read_age_ms(
								b->sp, now),
							now);
	}
	void step()
	{
		if (now % HEARTBEAT_US == 0)
			heartbeats();
		while (!events.empty() && events.begin()->first <= now) {
			auto act = events.begin()->second;

			events.erase(events.begin());
			act();
		}
		for (auto &dm : daemons) {
			use_source(*dm);
			if (dm->up && now % (10 * MS) == 0)
				eb_spread_tick(dm->sp, now);
		}
	}
};

/* Changes are to be in force everywhere within this time. */
const int64_t BOUND_US = 2000 * MS;

/*
 * Guards against calls to the source that grow with the fleet, and against
 * changes that come late.
 */
TEST(Spread, CallsStayFlat)
{
	for (uint32_t n : { 1, 2, 6, 18, 80 }) {
		Fleet fl(n);
		int before;

		fl.run(EB_SPREAD_START_MS * MS + 2000 * MS);
		before = fl.calls;
		for (int i = 0; i < 10; i++) {
			fl.publish();
			EXPECT_LE(fl.time_to_all(BOUND_US), 100 * MS) << n;
			fl.run(900 * MS);
		}
		/* Two readers: a watch each 0.8 s, and one for each change. */
		EXPECT_LE(fl.calls - before, 2 * (10 + 10 * 2)) << n;
		for (auto &dm : fl.daemons)
			EXPECT_FALSE(dm->went_back);
	}
}

/* How some daemons cease to read. */
enum trouble { KILLED, BLIND };

/*
 * Guards against changes that wait for readers which are dead, or cannot
 * reach the source and find no answer at all.
 */
TEST(Spread, OthersStepIn)
{
	const struct {
		const char *name;
		trouble how;
		uint32_t first;
		uint32_t count;
	} cases[] = {
		{ "one reader is killed", KILLED, 0, 1 },
		{ "both readers are killed", KILLED, 0, 2 },
		{ "the first ten are killed", KILLED, 0, 10 },
		{ "one reader is cut off in silence", BLIND, 1, 1 },
		{ "both readers are cut off in silence", BLIND, 0, 2 },
		{ "the first six are cut off in silence", BLIND, 0, 6 },
	};

	for (const auto &c : cases) {
		Fleet fl(18);
		auto order = fl.by_order();

		fl.run(EB_SPREAD_START_MS * MS + 3000 * MS);
		for (uint32_t i = c.first; i < c.first + c.count; i++) {
			if (c.how == KILLED)
				order[i]->up = false;
			else
				order[i]->blind = true;
		}
		fl.publish();
		EXPECT_LT(fl.time_to_all(10 * BOUND_US), BOUND_US) << c.name;
		/* When they are back, the others cease to read. */
		for (auto &dm : fl.daemons)
			dm->blind = false;
		fl.run(6000 * MS);
		if (c.how == BLIND) {
			uint32_t reading = 0;

			for (auto &dm : fl.daemons)
				reading += dm->mode == EB_SOURCE_WATCH;
			EXPECT_EQ(2u, reading) << c.name;
		}
	}
}

/* Guards against a storm of calls by a fleet that finds the source down. */
TEST(Spread, AnOutageCostsFewCallsAndEndsAtOnce)
{
	Fleet fl(18);
	int before;

	fl.run(EB_SPREAD_START_MS * MS + 2000 * MS);
	before = fl.calls;
	fl.down = true;
	fl.run(9000 * MS);
	/* Each daemon one call in its time-out, at most. */
	EXPECT_LE(fl.calls - before, 18 * 9);
	fl.publish();
	fl.down = false;
	EXPECT_LT(fl.time_to_all(10 * BOUND_US), BOUND_US);
}

/* Guards against a daemon that starts while the source is down and stays empty.
 */
TEST(Spread, AStartingDaemonLearnsFromOthers)
{
	Fleet fl(6);
	daemon &last = *fl.daemons[5];

	last.up = false;
	fl.run(EB_SPREAD_START_MS * MS + 2000 * MS);
	fl.publish();
	fl.run(500 * MS);
	fl.down = true;
	last.up = true;
	EXPECT_LT(fl.time_to_all(10 * BOUND_US), BOUND_US);
}

/* Guards against payloads of a peer that crash a daemon. */
TEST(Spread, BadPayloadsAreRefused)
{
	Fleet fl(2);
	const std::string cases[] = { "",	 "\x01",
				      "\x02",	 "\x03",
				      "\x07xyz", std::string(400, '\x01') };

	for (const std::string &c : cases) {
		uint8_t *reply = nullptr;
		uint32_t bytes = 0;

		EXPECT_NE(EB_OK, eb_spread_receive(fl.daemons[0]->sp, c.data(),
						   (uint32_t)c.size(), fl.now,
						   &reply, &bytes));
		EXPECT_EQ(nullptr, reply);
	}
}

} // namespace
