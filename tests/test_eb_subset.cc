#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "eb_route.h"
#include "eb_subset.h"
#include "eb_tunables.h"
}

namespace
{

/* An upstream with its daemon; domains with the same first letter are near. */
struct place {
	std::string name;
	std::string domain;
};

uint8_t distance(const place &a, const place &b)
{
	if (a.domain == b.domain)
		return EB_DISTANCE_DOMAIN;
	return a.domain[0] == b.domain[0] ? EB_DISTANCE_REGION
					  : EB_DISTANCE_FAR;
}

/* The names that a daemon chooses among `all`. */
std::set<std::string> choose(const place &self, const std::vector<place> &all,
			     uint32_t max = EB_SERVICE_PEERS_MAX)
{
	std::vector<eb_subset_candidate> cs;
	std::set<std::string> out;

	for (uint32_t i = 0; i < all.size(); i++)
		if (all[i].name != self.name)
			cs.push_back({ eb_subset_key(all[i].name.c_str()), i,
				       distance(self, all[i]), 0, 0 });
	eb_subset_choose(eb_subset_key(self.name.c_str()), cs.data(),
			 (uint32_t)cs.size(), max);
	for (const auto &c : cs)
		if (c.chosen)
			out.insert(all[c.index].name);
	return out;
}

/* Upstreams by domain, with names that do not follow their order. */
std::vector<place> make(const std::map<std::string, int> &sizes)
{
	std::vector<place> all;

	for (const auto &s : sizes)
		for (int i = 0; i < s.second; i++)
			all.push_back(
				{ s.first + "-" + std::to_string(i), s.first });
	return all;
}

/*
 * Guards against subsets without anything outside a domain or region that is
 * lost, and against more connections than allowed.
 */
TEST(Subset, NearOnesFirstAndSomeOutside)
{
	const struct {
		const char *name;
		std::map<std::string, int> sizes;
		uint32_t max;
		uint32_t domain, region, far; /* of daemon a1-0 */
	} cases[] = {
		{ "all fit",
		  { { "a1", 4 }, { "a2", 3 }, { "b1", 5 } },
		  32,
		  3,
		  3,
		  5 },
		{ "many everywhere",
		  { { "a1", 40 }, { "a2", 40 }, { "b1", 40 } },
		  32,
		  16,
		  8,
		  8 },
		{ "a small own domain",
		  { { "a1", 3 }, { "a2", 40 }, { "b1", 40 } },
		  32,
		  2,
		  22,
		  8 },
		{ "one domain", { { "a1", 80 } }, 32, 32, 0, 0 },
		{ "only far ones",
		  { { "a1", 1 }, { "b1", 80 } },
		  32,
		  0,
		  0,
		  32 },
		{ "few far ones",
		  { { "a1", 40 }, { "a2", 40 }, { "b1", 2 } },
		  32,
		  22,
		  8,
		  2 },
		{ "one place", { { "a1", 9 }, { "b1", 9 } }, 1, 1, 0, 0 },
		{ "none", { { "a1", 1 } }, 32, 0, 0, 0 },
	};

	for (const auto &c : cases) {
		std::vector<place> all = make(c.sizes);
		uint32_t got[EB_DISTANCE_FAR + 1] = { 0 };

		for (const std::string &name : choose(all[0], all, c.max))
			for (const place &p : all)
				if (p.name == name)
					got[distance(all[0], p)]++;
		EXPECT_EQ(c.domain, got[EB_DISTANCE_DOMAIN]) << c.name;
		EXPECT_EQ(c.region, got[EB_DISTANCE_REGION]) << c.name;
		EXPECT_EQ(c.far, got[EB_DISTANCE_FAR]) << c.name;
	}
}

/*
 * Guards against hundreds of daemons that all connect to the same few upstreams
 * of their region, in the order of the list, while the others get no calls:
 * each upstream must be in half to twice as many subsets as the mean of its
 * domain, at full strength, after the loss of a domain, and while half of the
 * upstreams are replaced.
 */
TEST(Subset, AllUpstreamsGetTheirShareOfDaemons)
{
	const std::map<std::string, int> full = { { "a1", 17 }, { "a2", 14 },
						  { "a3", 16 }, { "b1", 12 },
						  { "b2", 18 }, { "b3", 15 },
						  { "c1", 16 }, { "c2", 13 },
						  { "c3", 18 } };
	std::map<std::string, int> lost = full;
	std::vector<std::vector<place>> fleets;

	lost.erase("a2");
	fleets.push_back(make(full));
	fleets.push_back(make(lost));
	fleets.push_back(make(full));
	for (size_t i = 0; i < fleets[2].size(); i += 2)
		fleets[2][i].name += "-new";
	for (size_t f = 0; f < fleets.size(); f++) {
		const std::vector<place> &all = fleets[f];
		std::map<std::string, double> subsets, total, size;

		for (const place &p : all) {
			std::set<std::string> chosen = choose(p, all);

			EXPECT_GE((size_t)EB_SERVICE_PEERS_MAX, chosen.size());
			for (const std::string &name : chosen)
				subsets[name]++;
		}
		for (const place &p : all) {
			total[p.domain] += subsets[p.name];
			size[p.domain]++;
		}
		for (const place &p : all) {
			double mean = total[p.domain] / size[p.domain];

			EXPECT_LT(mean / 2, subsets[p.name]) << f << p.name;
			EXPECT_GT(mean * 2, subsets[p.name]) << f << p.name;
		}
	}
}

/*
 * Guards against a loss of upstreams that makes daemons connect anew to others
 * than those that take the places of the lost ones.
 */
TEST(Subset, ALossMovesOnlyTheLostConnections)
{
	const std::vector<std::string> domains = { "a2", "b1", "c3" };
	std::vector<place> all = make({ { "a1", 20 },
					{ "a2", 20 },
					{ "b1", 30 },
					{ "b2", 9 },
					{ "c3", 40 } });

	for (const std::string &lost : domains) {
		std::vector<place> left;

		for (const place &p : all)
			if (p.domain != lost)
				left.push_back(p);
		for (const place &p : left) {
			std::set<std::string> before = choose(p, all), after;
			size_t gone = 0, moved = 0;

			after = choose(p, left);
			for (const std::string &name : before)
				gone += name.rfind(lost, 0) == 0;
			for (const std::string &name : after)
				moved += !before.count(name);
			EXPECT_EQ(gone, moved) << p.name << " without " << lost;
		}
	}
}

} // namespace
