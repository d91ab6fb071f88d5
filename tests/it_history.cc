#include <gtest/gtest.h>

#include "world.h"

namespace
{

std::string violations_text(const Violations &v)
{
	std::string out;

	for (size_t i = 0; i < v.size() && i < 20; i++)
		out += v[i] + "\n";
	return out + std::to_string(v.size()) + " violations";
}

struct SingleFault : testing::TestWithParam<size_t> {
};

INSTANTIATE_TEST_SUITE_P(Each, SingleFault,
			 testing::Range<size_t>(0, fault_count),
			 [](const testing::TestParamInfo<size_t> &info) {
				 return std::string(faults[info.param].name);
			 });

/* Guards against a guarantee that does not hold during one fault. */
TEST_P(SingleFault, KeepsTheGuarantees)
{
	World w;
	Outcome out = run_schedule(w, { &faults[GetParam()] }, 1);

	EXPECT_TRUE(out.violations.empty()) << violations_text(out.violations);
	printf("calls %zu, answered after the repair %zu\n", out.calls,
	       out.answered);
}

} // namespace
