#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "eb_config.h"
#include "eb_feed_relay.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;

/* Relays that stand on one ring and send to each other. */
class Ring
{
public:
	Ring(uint32_t n, uint32_t regions)
	{
		for (uint32_t i = 0; i < n; i++) {
			region.push_back("region-" +
					 std::to_string(i % regions));
			position.push_back(eb_feed_relay_position(
				region[i].c_str(),
				i * UINT64_C(0x9e3779b97f4a7c15)));
		}
		for (uint32_t i = 0; i < n; i++) {
			std::vector<eb_feed_relay_member> others;

			relays.push_back(eb_feed_relay_new(position[i]));
			for (uint32_t j = 0; j < n; j++)
				if (j != i)
					others.push_back({ j, position[j] });
			EXPECT_EQ(EB_OK, eb_feed_relay_set_members(
						 relays[i], others.data(),
						 (uint32_t)others.size()));
		}
	}
	~Ring()
	{
		for (auto *rl : relays)
			eb_feed_relay_free(rl);
	}
	/* Sends all copies; returns when the last one was received. */
	int64_t spread(uint64_t revision)
	{
		int64_t last = now, idle_since = now;

		EXPECT_EQ(EB_OK, eb_feed_relay_start(relays[0], "x", 1,
						     revision, 1, now));
		for (; now - idle_since < 500 * MS; now += MS) {
			for (uint32_t i = 0; i < relays.size(); i++) {
				eb_feed_relay_copy c;

				while (eb_feed_relay_next(relays[i], reachable,
							  this, now, &c)) {
					idle_since = last = now;
					receive(i, c, revision);
				}
			}
		}
		return last;
	}

	int64_t now = 1000 * MS;
	std::set<uint32_t> down;
	std::map<uint32_t, int> copies;
	int between_regions = 0;

private:
	static int reachable(void *ctx, uint32_t node)
	{
		return !static_cast<Ring *>(ctx)->down.count(node);
	}
	void receive(uint32_t from, const eb_feed_relay_copy &c,
		     uint64_t revision)
	{
		copies[c.node]++;
		between_regions += region[from] != region[c.node];
		eb_feed_relay_pass_on(relays[c.node], c.data, c.bytes, revision,
				      1, c.end, now);
	}

	std::vector<std::string> region;
	std::vector<uint64_t> position;
	std::vector<eb_feed_relay *> relays;
};

/*
 * Guards against daemons that a relayed change does not reach, or reaches more
 * than once, and against a copy for each daemon of another region.
 */
TEST(FeedRelay, EachReachableDaemonGetsOneCopy)
{
	const struct {
		uint32_t daemons, regions;
		std::set<uint32_t> down;
	} cases[] = {
		{ 2, 1, {} },	    { 18, 3, {} },
		{ 83, 3, { 1 } },   { 83, 3, { 3, 4, 5, 40, 41, 80, 81, 82 } },
		{ 300, 8, { 17 } },
	};

	for (const auto &c : cases) {
		Ring rg(c.daemons, c.regions);

		rg.down = c.down;
		rg.spread(7);
		EXPECT_EQ(c.daemons - 1 - c.down.size(), rg.copies.size())
			<< c.daemons;
		for (const auto &pair : rg.copies)
			EXPECT_EQ(1, pair.second) << pair.first;
		EXPECT_LE(rg.between_regions, (int)c.regions * 4) << c.daemons;
	}
}

/* Guards against a daemon that relays the same change again and again. */
TEST(FeedRelay, AKnownRevisionIsNotRelayed)
{
	Ring rg(18, 3);
	int sent;

	rg.spread(7);
	sent = (int)rg.copies.size();
	rg.copies.clear();
	rg.spread(9);
	EXPECT_EQ(sent, (int)rg.copies.size());
}

/*
 * Guards against two readers that both send a change to all daemons: the second
 * one waits for the first, and takes its part only.
 */
TEST(FeedRelay, ASecondReaderTakesThePartThatItReceives)
{
	const eb_feed_relay_member others[] = { { 1, 100 },
						{ 2, 200 },
						{ 3, 300 } };
	auto all = [](void *, uint32_t) {
		return 1;
	};
	const int64_t later = EB_FEED_SYNC_BACKUP_MS * MS;

	for (bool received : { false, true }) {
		eb_feed_relay *rl = eb_feed_relay_new(50);
		std::set<uint32_t> nodes;
		eb_feed_relay_copy c;

		eb_feed_relay_set_members(rl, others, 3);
		eb_feed_relay_start(rl, "x", 1, 7, 1, later);
		EXPECT_EQ(0, eb_feed_relay_next(rl, all, nullptr, 0, &c));
		EXPECT_EQ(EB_OK, received ? eb_feed_relay_pass_on(rl, "x", 1, 7,
								  1, 200, MS)
					  : EB_OK);
		EXPECT_EQ(EB_ENOTFOUND,
			  eb_feed_relay_start(rl, "x", 1, 7, 1, 2 * MS));
		for (int64_t at = MS; at < 2 * later; at += MS)
			while (eb_feed_relay_next(rl, all, nullptr, at, &c))
				nodes.insert(c.node);
		/* Up to 200 stands only the first one. */
		EXPECT_EQ(received, nodes == std::set<uint32_t>{ 1 });
		EXPECT_EQ(received ? 1u : 2u, nodes.size());
		eb_feed_relay_free(rl);
	}
}

/*
 * Guards against copies that leave at once: the link is left to calls in
 * between, also when a change follows another one.
 */
TEST(FeedRelay, CopiesLeaveAtAPace)
{
	const uint32_t bytes = 64 * EB_FEED_RELAY_BYTES_PER_MS;
	auto all = [](void *, uint32_t) {
		return 1;
	};
	std::vector<eb_feed_relay_member> others;
	std::string data(bytes, 'x');
	eb_feed_relay *rl = eb_feed_relay_new(1);
	eb_feed_relay_copy c;
	uint64_t sent = 0;

	for (uint32_t i = 0; i < 40; i++)
		others.push_back({ i, 100 + i * 10 });
	eb_feed_relay_set_members(rl, others.data(), 40);
	for (uint64_t revision : { 5, 6 })
		eb_feed_relay_start(rl, data.data(), bytes, revision, 1, 0);
	for (int64_t at = 0; at < 1000 * MS; at += MS) {
		while (eb_feed_relay_next(rl, all, nullptr, at, &c))
			sent += c.bytes;
		EXPECT_LE(sent, bytes + at / MS * EB_FEED_RELAY_BYTES_PER_MS);
	}
	EXPECT_EQ(12u, sent / bytes); /* 6 halves of 40, twice */
	eb_feed_relay_free(rl);
}

} // namespace
