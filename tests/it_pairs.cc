#include <gtest/gtest.h>

#include <cstdlib>

#include "world.h"

namespace
{

int64_t number(const char *name, int64_t otherwise)
{
	const char *text = getenv(name);

	return text ? atoll(text) : otherwise;
}

std::vector<const Fault *> pair(size_t n)
{
	for (size_t a = 0; a < fault_count; a++)
		for (size_t b = a + 1; b < fault_count; b++)
			if (!n--)
				return { &faults[a], &faults[b] };
	return {};
}

/* Guards against a guarantee that two faults at the same time break. */
TEST(Pairs, KeepTheGuarantees)
{
	const size_t pairs = fault_count * (fault_count - 1) / 2;
	uint32_t seed = (uint32_t)number("SEED", 7);
	int64_t until_us = now_us() + number("DURATION", 0) * 1000000;
	int64_t count = number("PAIRS", 4);
	std::mt19937 random(seed);
	/* FIRST plays a schedule of a longer run again: its pair, and SEED. */
	size_t first = random() % pairs;

	first = (size_t)number("FIRST", (int64_t)first);

	/* With a duration all pairs in turn, else a few. */
	for (int64_t n = 0; n < count || now_us() < until_us; n++) {
		std::vector<const Fault *> list =
			pair((first + (size_t)n * 37) % pairs);
		World w;
		Outcome out = run_schedule(w, list, seed + (uint32_t)n);

		printf("%s+%s seed %u: calls %zu, violations %zu\n",
		       list[0]->name, list[1]->name, seed + (uint32_t)n,
		       out.calls, out.violations.size());
		for (size_t i = 0; i < out.violations.size() && i < 5; i++)
			printf("  %s\n", out.violations[i].c_str());
		fflush(stdout);
		EXPECT_TRUE(out.violations.empty())
			<< list[0]->name << "+" << list[1]->name;
	}
}

} // namespace
