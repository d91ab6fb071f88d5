#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "gossip_net.h"

namespace
{

const Shape SMALL = { 3, 2, 3 }, WIDE = { 2, 2, 20 };

std::unique_ptr<Net> members(Shape s, uint64_t seed, uint32_t off = 0)
{
	std::unique_ptr<Net> net(new Net(s, seed));

	net->member_only = true;
	net->member_off = off;
	net->start_all();
	net->run(10 * SEC);
	return net;
}

/* Guards against false alarms on a healthy network that loses 2 % of messages.
 */
TEST(Member, NoAlarmsOnHealthyNetwork)
{
	for (Shape s : { SMALL, WIDE }) {
		auto net = members(s, 1);

		net->loss_permille = 20;
		net->run(120 * SEC);
		EXPECT_TRUE(net->alarms.empty());
		for (auto &n : net->nodes)
			for (uint32_t g = 0; g < net->roster->group_count; g++)
				EXPECT_TRUE(eb_member_group_up(n->member, g,
							       net->now));
	}
}

/*
 * Guards against a crash, or the start of the replacement, that some daemon
 * never sees or sees after more than 15 s.
 */
TEST(Member, CrashIsSeenByAllAndReplacementToo)
{
	for (Shape s : { SMALL, WIDE }) {
		auto net = members(s, 2);
		int64_t t;

		net->kill(4);
		t = net->run_until(30 * SEC, [&] {
			return net->all_see(4, EB_MEMBER_DOWN);
		});
		EXPECT_GE(t, 0);
		EXPECT_LE(t, 15 * SEC);
		net->start(4);
		t = net->run_until(30 * SEC, [&] {
			return net->all_see(4, EB_MEMBER_ALIVE);
		});
		EXPECT_GE(t, 0);
		EXPECT_LE(t, 15 * SEC);
		EXPECT_TRUE(net->alarms.empty());
		EXPECT_EQ(1, net->nodes[4]->starts - 1);
		EXPECT_EQ(net->nodes[4]->member->self_rec.boot,
			  eb_member_get_boot(net->nodes[0]->member,
					     net->index_of(4)));
	}
}

size_t alarms_after_pause(uint32_t off)
{
	auto net = members(WIDE, 3, off);

	/* Daemon 7 suspects members that are cut off, and is then paused. */
	net->cut = [](int a, int b) {
		return a < 7 || b < 7;
	};
	net->run(1900 * MS);
	net->pause(7);
	net->cut = [](int, int) {
		return false;
	};
	net->run(20 * SEC);
	EXPECT_TRUE(net->all_see(7, EB_MEMBER_DOWN));
	net->alarms.clear();
	net->resume(7);
	net->run(20 * SEC);
	if (!off) {
		EXPECT_TRUE(net->all_see(7, EB_MEMBER_ALIVE));
	}
	net->alarms.erase(7);
	return net->alarms.size();
}

/*
 * Guards against a daemon that reports members down after a pause because its
 * timers ran out during it.
 */
TEST(Member, PausedDaemonAccusesNobody)
{
	EXPECT_EQ(0u, alarms_after_pause(0));
	EXPECT_GT(alarms_after_pause(EB_MEMBER_OFF_STALL |
				     EB_MEMBER_OFF_ISOLATED),
		  0u);
}

bool cut_link_alarms(uint32_t off)
{
	auto net = members(WIDE, 4, off);

	/* One direction of some links is cut; every daemon stays reachable. */
	net->cut = [](int a, int b) {
		return a % 4 == 0 && b % 4 == 1;
	};
	net->run(60 * SEC);
	return !net->alarms.empty();
}

/* Guards against reporting daemons down that only some links cannot reach. */
TEST(Member, OneWayCutOfSomeLinksIsNoAlarm)
{
	EXPECT_FALSE(cut_link_alarms(0));
	EXPECT_TRUE(
		cut_link_alarms(EB_MEMBER_OFF_INDIRECT | EB_MEMBER_OFF_REFUTE));
}

/* Guards against missing a daemon that receives messages but cannot send. */
TEST(Member, DaemonThatCannotSendIsSeen)
{
	auto net = members(WIDE, 5);

	net->cut = [](int a, int) {
		return a == 3;
	};
	net->run(15 * SEC);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(i == 3 ? EB_MEMBER_ALIVE : EB_MEMBER_DOWN,
			  net->state(i, 3));
	EXPECT_EQ(1u, net->alarms.size());
}

size_t alarms_without_receiving(uint32_t off)
{
	auto net = members(WIDE, 6, off);

	net->cut = [](int, int b) {
		return b == 3;
	};
	net->run(30 * SEC);
	net->alarms.erase(3);
	return net->alarms.size();
}

/*
 * Guards against a daemon that receives nothing and therefore reports all
 * other members down.
 */
TEST(Member, DaemonThatCannotReceiveAccusesNobody)
{
	EXPECT_EQ(0u, alarms_without_receiving(0));
	EXPECT_GT(alarms_without_receiving(EB_MEMBER_OFF_ISOLATED |
					   EB_MEMBER_OFF_REFUTE),
		  0u);
}

bool partition_heals(uint32_t off)
{
	auto net = members(WIDE, 7, off);
	bool ok = true;

	/* Failure domain 0 is split into two halves for 60 s. */
	net->cut = [](int a, int b) {
		return a < 20 && b < 20 && (a < 10) != (b < 10);
	};
	net->run(60 * SEC);
	net->cut = [](int, int) {
		return false;
	};
	net->run(120 * SEC);
	for (int i = 0; i < 80; i++)
		ok = ok && net->all_see(i, EB_MEMBER_ALIVE);
	return ok;
}

/* Guards against sides of a partition that keep each other as down after it. */
TEST(Member, PartitionHeals)
{
	EXPECT_TRUE(partition_heals(0));
	EXPECT_FALSE(partition_heals(EB_MEMBER_OFF_REFUTE));
}

/* Guards against a lost failure domain that still counts as reachable. */
TEST(Member, LostGroupIsUnreachable)
{
	auto net = members(WIDE, 8);
	uint32_t group = net->roster->members[net->index_of(0)].group;

	for (int i = 0; i < 20; i++)
		net->kill(i);
	net->run(20 * SEC);
	for (int i = 20; i < 80; i++)
		EXPECT_FALSE(eb_member_group_up(net->nodes[i]->member, group,
						net->now));
	for (int i = 0; i < 20; i++)
		net->start(i);
	net->run(10 * SEC);
	for (int i = 0; i < 80; i++)
		EXPECT_TRUE(eb_member_group_up(net->nodes[i]->member, group,
					       net->now));
}

/* Guards against a paused process that resumes beside its replacement. */
TEST(Member, ReplacedProcessIsSuperseded)
{
	auto net = members(WIDE, 9);
	Node &n = *net->nodes[2];
	eb_member *old = n.member;

	net->run(2 * EB_MEMBER_SUPERSEDED_AFTER_US);
	net->pause(2);
	net->run(20 * SEC);
	n.member = nullptr;
	net->start(2);
	net->run(20 * SEC);
	EXPECT_FALSE(n.superseded);
	/* The old process resumes and receives the record of the new one. */
	std::swap(n.member, old);
	net->run(20 * SEC);
	EXPECT_TRUE(n.superseded);
	std::swap(n.member, old);
	eb_member_free(old);
}

/* Guards against a graceful leave that is reported as a crash or reverted. */
TEST(Member, LeaveIsSpread)
{
	auto net = members(WIDE, 10);

	eb_member_leave(net->nodes[5]->member, net->now);
	net->run(20 * SEC);
	EXPECT_TRUE(net->all_see(5, EB_MEMBER_LEFT));
	EXPECT_TRUE(net->alarms.empty());
}

uint64_t messages_per_daemon(int nodes)
{
	auto net = members({ 2, 2, nodes }, 11);
	uint64_t before = net->messages;

	net->run(30 * SEC);
	return (net->messages - before) / 30 * 100 / net->nodes.size();
}

/* Guards against message rates per daemon that grow with the fleet. */
TEST(Member, MessageRateIsIndependentOfFleetSize)
{
	uint64_t small = messages_per_daemon(10), big = messages_per_daemon(80);

	EXPECT_LE(big, small * 11 / 10);
	EXPECT_LE(big, 1500u); /* hundredths: 15 messages/s */
}

bool history_converges(uint64_t seed, uint32_t off)
{
	auto net = members({ 2, 2, 6 }, seed, off);
	bool ok = true;

	net->loss_permille = 30;
	for (int step = 0; step < 12; step++) {
		int i = (int)eb_rand_below(&net->rand, 24);

		switch (eb_rand_below(&net->rand, 4)) {
		case 0:
			net->kill(i);
			break;
		case 1:
			net->start(i);
			break;
		case 2:
			if (net->nodes[i]->up && !net->nodes[i]->paused)
				net->pause(i);
			break;
		default:
			net->cut = [i](int a, int b) {
				return (a == i) != (b == i) && a < b;
			};
		}
		net->run(eb_rand_below(&net->rand, 8) * SEC);
	}
	net->cut = [](int, int) {
		return false;
	};
	net->loss_permille = 0;
	for (auto &n : net->nodes)
		if (n->paused)
			net->resume(n->i);
	net->run(90 * SEC);
	for (auto &n : net->nodes)
		ok = ok && net->all_see(n->i, n->up ? EB_MEMBER_ALIVE
						    : EB_MEMBER_DOWN);
	return ok;
}

/* Guards against states that stay wrong after a random mix of failures. */
TEST(Member, HistoriesConverge)
{
	EXPECT_TRUE(rc::check(
		[](uint64_t seed) { RC_ASSERT(history_converges(seed, 0)); }));
}

/* Checks that HistoriesConverge detects a missing mechanism. */
TEST(Member, HistoryCheckerDetectsFaults)
{
	int bad = 0;

	for (uint64_t seed = 0; seed < 10; seed++)
		bad += !history_converges(seed, EB_MEMBER_OFF_REFUTE);
	EXPECT_GT(bad, 0);
}

/* Guards against reporting daemons down that have no roster yet. */
TEST(Member, DaemonWithoutRosterIsUp)
{
	Net net({ 1, 2, 5 }, 13);

	net.member_only = true;
	net.roster_at_start = false;
	net.start_all();
	for (int i = 0; i < 9; i++)
		eb_member_set_roster(net.nodes[i]->member, net.roster, net.now);
	net.run(30 * SEC);
	EXPECT_TRUE(net.alarms.empty());
	net.kill(9);
	net.run(15 * SEC);
	for (int i = 5; i < 9; i++)
		EXPECT_EQ(EB_MEMBER_DOWN, net.state(i, 9));
}

struct Collect : eb_sink {
	std::vector<std::string> sent;

	Collect()
	{
		act = [](eb_sink *s, eb_action *a) {
			if (a->type == EB_ACTION_SEND)
				static_cast<Collect *>(s)->sent.emplace_back(
					(const char *)a->data, a->bytes);
		};
	}
};

/* Guards against a malformed payload that is accepted or read past its end. */
TEST(Member, MalformedPayloadsAreRefused)
{
	Net net(SMALL, 12);
	Collect sink;
	eb_member *a, *b;
	uint64_t rejected;

	a = eb_member_new(net.names[0].c_str(), 1, 1, &sink, 0);
	b = eb_member_new(net.names[1].c_str(), 2, 2, &sink, 0);
	eb_member_set_roster(a, net.roster, 0);
	eb_member_set_roster(b, net.roster, 0);
	eb_member_check(a, net.index_of(1), 0);
	ASSERT_EQ(1u, sink.sent.size());
	const std::string good = sink.sent[0];
	for (size_t n = 0; n < good.size(); n++) {
		std::vector<char> part(good.begin(), good.begin() + n);

		EXPECT_EQ(EB_EPARSE, eb_member_recv(b, part.data(), n, 0));
	}
	rejected = b->stats.rejected;
	EXPECT_EQ(good.size(), rejected);
	for (size_t i = 0; i < good.size(); i++) {
		for (int bit = 0; bit < 8; bit++) {
			std::string bad = good;

			bad[i] = (char)(bad[i] ^ (1 << bit));
			eb_member_recv(b, bad.data(), bad.size(), 0);
		}
	}
	EXPECT_EQ(EB_EFULL,
		  eb_member_recv(b, good.data(), EB_GOSSIP_MAX_BYTES + 1, 0));
	EXPECT_EQ(EB_OK, eb_member_recv(b, good.data(), good.size(), 0));
	eb_member_free(a);
	eb_member_free(b);
}

} // namespace
