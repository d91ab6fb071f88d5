#include <gtest/gtest.h>

#include <cstdlib>

#include "world.h"

namespace
{

int64_t env_number(const char *name, int64_t fallback)
{
	const char *text = getenv(name);

	return text ? atoll(text) : fallback;
}

std::vector<const Fault *> pair(size_t n)
{
	for (size_t a = 0; a < fault_count; a++)
		for (size_t b = a + 1; b < fault_count; b++)
			if (!n--)
				return { &faults[a], &faults[b] };
	return {};
}

/* Guards against a guarantee that holds under one fault but not under two. */
TEST(Pairs, KeepTheGuarantees)
{
	const size_t pairs = fault_count * (fault_count - 1) / 2;
	uint32_t seed = (uint32_t)env_number("SEED", 7);
	int64_t until_us = now_us() + env_number("DURATION", 0) * 1000000;
	int64_t count = env_number("PAIRS", 4);
	std::mt19937 random(seed);
	/* FIRST (index of the pair) with SEED repeats one schedule of a run. */
	size_t first = random() % pairs;

	first = (size_t)env_number("FIRST", (int64_t)first);

	/* Runs PAIRS schedules, and more until DURATION (seconds) is over. */
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
