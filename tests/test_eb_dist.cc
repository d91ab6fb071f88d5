#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "gossip_net.h"

namespace
{

const Shape SMALL = { 3, 2, 3 }, WIDE = { 2, 2, 20 };

std::unique_ptr<Net> fleet(Shape s, uint64_t seed, uint32_t off = 0,
			   size_t notes = 5)
{
	std::unique_ptr<Net> net(new Net(s, seed));

	net->roster_at_start = false;
	net->dist_off = off;
	net->append(notes);
	net->start_all();
	net->run(30 * SEC);
	return net;
}

testing::AssertionResult no_faults(const Net &net)
{
	if (net.faults.empty())
		return testing::AssertionSuccess();
	return testing::AssertionFailure()
	       << net.faults.size() << " faults, first: " << net.faults[0];
}

/* Time until the newest note is in force on every running daemon. */
int64_t time_to_all(Net &net, int64_t limit = 60 * SEC)
{
	return net.run_until(limit,
			     [&] { return net.all_in_force(net.log.size()); });
}

/* Guards against a fleet without any log that never becomes ready. */
TEST(Dist, FleetStartsTogether)
{
	for (Shape s : { SMALL, WIDE }) {
		auto net = fleet(s, 1);

		EXPECT_TRUE(net->all_in_force(5));
		EXPECT_TRUE(no_faults(*net));
	}
}

/*
 * Guards against slow distribution of notes, and against sending a note more
 * than once from a region to another.
 */
TEST(Dist, NoteIsInForceWithin6s)
{
	for (Shape s : { SMALL, WIDE }) {
		auto net = fleet(s, 2);
		int64_t worst = 0;

		net->deltas_cross = 0;
		for (int k = 0; k < 20; k++) {
			net->append(1);
			worst = std::max(worst, time_to_all(*net));
			net->run(SEC);
		}
		EXPECT_LE(worst, 6 * SEC);
		EXPECT_LE(net->deltas_cross, 20u * s.regions * (s.regions - 1));
		EXPECT_TRUE(no_faults(*net));
	}
}

/* Guards against lost messages that are never repaired. */
TEST(Dist, LossIsRepaired)
{
	auto net = fleet(WIDE, 3);

	net->loss_permille = 200;
	for (int k = 0; k < 10; k++) {
		int64_t t;

		net->append(3);
		t = time_to_all(*net);
		EXPECT_GE(t, 0);
		EXPECT_LE(t, 6 * SEC);
	}
	EXPECT_TRUE(no_faults(*net));
}

int64_t spread_without_announcement(uint32_t off)
{
	auto net = fleet(WIDE, 4, off);

	/* Region 1 is cut off while the note is distributed in region 0. */
	net->cut = [&](int a, int b) {
		return net->region(a) != net->region(b);
	};
	net->platform_cut = [&](int a) {
		return net->region(a) == 1;
	};
	net->append(1);
	net->run(5 * SEC);
	net->cut = [](int, int) {
		return false;
	};
	return time_to_all(*net, 20 * SEC);
}

/* Guards against a region that misses an announcement and stays outdated. */
TEST(Dist, DigestsRepairAfterPartition)
{
	int64_t t = spread_without_announcement(0);

	EXPECT_GE(t, 0);
	EXPECT_LE(t, 6 * SEC);
	EXPECT_LT(spread_without_announcement(EB_DIST_OFF_REPAIR), 0);
}

/* Guards against too many or too few readers of the platform. */
TEST(Dist, PlatformCallsStayFew)
{
	auto net = fleet(WIDE, 5);
	uint64_t before = net->platform_calls;
	int watching = 0;

	net->run(60 * SEC);
	for (auto &n : net->nodes)
		watching += n->watching;
	EXPECT_EQ(4 * EB_DIST_READERS, watching);
	EXPECT_LE(net->platform_calls - before, 4u * EB_DIST_READERS * 31);
}

int64_t takeover(uint32_t off)
{
	auto net = fleet(WIDE, 6, off);
	std::vector<bool> first(net->nodes.size());

	/* All readers lose the platform; other daemons still reach it. */
	for (auto &n : net->nodes)
		first[n->i] = n->watching;
	net->platform_cut = [first](int i) {
		return first[i];
	};
	net->run(20 * SEC);
	net->append(1);
	return time_to_all(*net, 20 * SEC);
}

/* Guards against readers that lose the platform and are not replaced. */
TEST(Dist, OthersTakeOver)
{
	int64_t t = takeover(0);

	EXPECT_GE(t, 0);
	EXPECT_LE(t, 6 * SEC);
	EXPECT_LT(takeover(EB_DIST_OFF_STANDBY), 0);
}

/* Guards against notes that nobody reads because the readers are paused. */
TEST(Dist, PausedReadersAreReplaced)
{
	auto net = fleet(WIDE, 7);

	for (auto &n : net->nodes)
		if (n->watching)
			net->pause(n->i);
	net->run(20 * SEC);
	net->append(1);
	EXPECT_LE(time_to_all(*net), 6 * SEC);
	for (auto &n : net->nodes)
		if (n->paused)
			net->resume(n->i);
	EXPECT_LE(time_to_all(*net), 6 * SEC);
	EXPECT_TRUE(no_faults(*net));
}

size_t faults_with_stale_platform(uint32_t off)
{
	auto net = fleet(SMALL, 8, off, 9);

	net->visible = 4;
	net->run(10 * SEC);
	for (int i = 0; i < 18; i += 3) {
		net->start(i);
		net->run(10 * SEC);
	}
	if (!off) {
		EXPECT_TRUE(net->all_in_force(9));
	}
	return net->faults.size();
}

/* Guards against a stale platform that returns a daemon to an older log. */
TEST(Dist, StalePlatformTakesNobodyBack)
{
	EXPECT_EQ(0u, faults_with_stale_platform(0));
	EXPECT_GT(faults_with_stale_platform(EB_DIST_OFF_PREFIX), 0u);
}

size_t faults_of_cut_off_start(uint32_t off)
{
	auto net = fleet(SMALL, 15, off, 9);

	net->visible = 4;
	net->cut = [](int a, int b) {
		return a == 0 || b == 0;
	};
	net->start(0);
	net->run(60 * SEC);
	if (!off) {
		EXPECT_FALSE(net->nodes[0]->ready);
	}
	net->cut = [](int, int) {
		return false;
	};
	net->run(10 * SEC);
	EXPECT_TRUE(net->all_in_force(9));
	return net->faults.size();
}

/*
 * Guards against a starting daemon that reaches no peer and becomes ready with
 * the log of a stale platform.
 */
TEST(Dist, StartWithoutPeersIsNotReady)
{
	EXPECT_EQ(0u, faults_of_cut_off_start(0));
	EXPECT_GT(faults_of_cut_off_start(EB_DIST_OFF_READY), 0u);
}

/*
 * A reader reads a note that no other daemon receives. Then the reader restarts
 * and the platform no longer shows the note.
 */
size_t faults_of_lone_reader(uint32_t off)
{
	auto net = fleet(WIDE, 9, off);
	int reader = 0;

	while (!net->nodes[reader]->watching)
		reader++;
	net->cut = [reader](int a, int b) {
		return a == reader || b == reader;
	};
	net->platform_cut = [reader](int i) {
		return i != reader;
	};
	net->append(1);
	net->run(2 * SEC);
	net->visible = 5;
	net->cut = [](int, int) {
		return false;
	};
	net->start(reader);
	net->run(20 * SEC);
	EXPECT_TRUE(net->nodes[reader]->ready);
	return net->faults.size();
}

/* Guards against a release in force that no other daemon holds. */
TEST(Dist, NothingInForceBeforeOthersHoldIt)
{
	EXPECT_EQ(0u, faults_of_lone_reader(0));
	EXPECT_GT(faults_of_lone_reader(EB_DIST_OFF_HOLD), 0u);
}

/* Guards against a start that fails without the platform despite its peers. */
TEST(Dist, StartWhilePlatformIsDown)
{
	auto net = fleet(WIDE, 10);

	net->platform_down = true;
	for (int i : { 0, 25, 79 }) {
		net->start(i);
		EXPECT_GE(net->run_until(6 * SEC,
					 [&] { return net->all_in_force(5); }),
			  0);
	}
	/* A failure domain that starts together gets the others' log. */
	for (int i = 0; i < 20; i++)
		net->start(i);
	EXPECT_GE(
		net->run_until(15 * SEC, [&] { return net->all_in_force(5); }),
		0);
	/* When no daemon holds the log, no daemon becomes ready. */
	net->start_all();
	net->run(60 * SEC);
	for (auto &n : net->nodes)
		EXPECT_FALSE(n->ready);
	net->platform_down = false;
	EXPECT_GE(time_to_all(*net), 0);
	EXPECT_TRUE(no_faults(*net));
}

/* Guards against a log over the kept bytes and notes over a message's size. */
TEST(Dist, SnapshotAndLongNotes)
{
	auto net = fleet({ 1, 2, 5 }, 11, 0, 3);

	net->append(2, 700000);
	EXPECT_GE(time_to_all(*net), 0);
	net->append(4, 900000);
	EXPECT_GE(time_to_all(*net), 0);
	net->platform_down = true;
	net->start(3);
	EXPECT_GE(time_to_all(*net), 0);
	EXPECT_EQ(0u, net->nodes[3]->dist->stats.applied);
	EXPECT_TRUE(no_faults(*net));
}

/* Guards against a burst of notes that exceeds the bounds of the log. */
TEST(Dist, BurstOfNotes)
{
	auto net = fleet(SMALL, 12);

	net->append(5000);
	EXPECT_GE(time_to_all(*net), 0);
	EXPECT_TRUE(no_faults(*net));
	EXPECT_LE(net->nodes[0]->dist->count, EB_DIST_TAIL_NOTES_MAX + 0u);
}

struct platform_case {
	const char *name;
	uint64_t index;
	std::vector<uint64_t> notes;
	eb_status status;
	uint64_t held;
};

/* Guards against accepting an answer that does not continue the log. */
TEST(Dist, PlatformAnswers)
{
	const platform_case cases[] = {
		{ "empty", 0, {}, EB_OK, 0 },
		{ "first notes", 2, { 1, 2 }, EB_OK, 2 },
		{ "partial", 9, { 1, 2 }, EB_OK, 2 },
		{ "gap at the start", 3, { 2, 3 }, EB_EPARSE, 0 },
		{ "gap inside", 3, { 1, 3 }, EB_EPARSE, 0 },
		{ "out of order", 2, { 2, 1 }, EB_EPARSE, 0 },
		{ "beyond its own index", 1, { 1, 2 }, EB_EPARSE, 0 },
	};

	for (const platform_case &c : cases) {
		Net net({ 1, 1, 1 }, 13);
		std::vector<eb_dist_text> notes;

		for (uint64_t i : c.notes)
			notes.push_back({ i, "{}", 2 });
		net.log.assign(9, "{}");
		net.start(0);
		EXPECT_EQ(c.status,
			  eb_dist_platform(net.nodes[0]->dist, c.index,
					   notes.data(), (uint32_t)notes.size(),
					   net.now))
			<< c.name;
		EXPECT_EQ(c.held, net.nodes[0]->dist->held.index) << c.name;
		EXPECT_TRUE(no_faults(net)) << c.name;
	}
}

/* Guards against accepting malformed payloads or reading past their end. */
TEST(Dist, MalformedPayloadsAreRefused)
{
	auto net = fleet({ 1, 1, 4 }, 14);
	std::vector<std::string> seen;
	Node &n = *net->nodes[0];

	net->append(1);
	while (!net->events.empty() && seen.size() < 200) {
		Event e = net->events.top();
		uint32_t kind = 0;

		net->events.pop();
		net->now = std::max(net->now, e.at);
		eb_gossip_peek(e.data.data(), e.data.size(), &kind);
		if (!e.kind && kind > EB_GOSSIP_MEMBER_MAX)
			seen.push_back(e.data);
		net->handle(e);
	}
	ASSERT_EQ(200u, seen.size());
	for (const std::string &good : seen) {
		for (size_t k = 0; k < good.size(); k++) {
			std::vector<char> part(good.begin(), good.begin() + k);

			EXPECT_EQ(EB_EPARSE, eb_dist_recv(n.dist, part.data(),
							  k, net->now));
		}
		for (int k = 0; k < 100; k++) {
			std::vector<char> bad(good.begin(), good.end());
			uint32_t at =
				eb_rand_below(&net->rand, (uint32_t)bad.size());

			bad[at] = (char)eb_rand_next(&net->rand);
			eb_dist_recv(n.dist, bad.data(), bad.size(), net->now);
		}
	}
	EXPECT_GT(n.dist->stats.rejected, 200u);
}

void random_step(Net &net)
{
	int n = (int)net.nodes.size();
	int i = (int)eb_rand_below(&net.rand, (uint32_t)n);

	switch (eb_rand_below(&net.rand, 9)) {
	case 0:
		net.kill(i);
		break;
	case 1:
		net.start(i);
		break;
	case 2:
		net.pause(i);
		break;
	case 3:
		if (net.nodes[i]->paused)
			net.resume(i);
		break;
	case 4:
		net.cut = [i](int a, int b) {
			return (a == i) != (b == i);
		};
		break;
	case 5:
		net.cut = [&net](int a, int b) {
			return net.region(a) < net.region(b);
		};
		break;
	case 6:
		net.platform_down = !net.platform_down;
		break;
	case 7:
		net.visible =
			eb_rand_below(&net.rand, (uint32_t)net.log.size() + 1);
		break;
	default:
		net.append(1 + eb_rand_below(&net.rand, 3));
	}
	net.run(eb_rand_below(&net.rand, 6000) * MS);
}

/* Returns the first fault of a random history, or an empty string. */
std::string history(uint64_t seed, uint32_t off)
{
	auto net = fleet({ 2, 2, 5 }, seed, off);

	net->loss_permille = 20;
	for (int step = 0; step < 15; step++)
		random_step(*net);
	net->loss_permille = 0;
	net->cut = [](int, int) {
		return false;
	};
	net->platform_down = false;
	net->visible = net->log.size();
	for (auto &n : net->nodes) {
		if (n->paused && n->up)
			net->resume(n->i);
		if (!n->up)
			net->start(n->i);
	}
	net->run(30 * SEC);
	net->append(1);
	if (time_to_all(*net, 6 * SEC) < 0)
		return "no convergence";
	return net->faults.empty() ? "" : net->faults[0];
}

/*
 * Guards against daemons that return to an older release or never converge,
 * under random mixes of failures.
 */
TEST(Dist, HistoriesNeverGoBackAndConverge)
{
	EXPECT_TRUE(rc::check(
		[](uint64_t seed) { RC_ASSERT(history(seed, 0) == ""); }));
}

/* Shows that the checker of histories detects a return to an older release. */
TEST(Dist, HistoryCheckerSeesFaults)
{
	int bad = 0;

	for (uint64_t seed = 0; seed < 10; seed++)
		bad += history(seed, EB_DIST_OFF_PREFIX) != "";
	EXPECT_GT(bad, 0);
}

} // namespace
