#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "eb_regions.h"
}

namespace
{

struct Regions : testing::Test {
	eb_regions *rg = eb_regions_new();

	~Regions() override
	{
		eb_regions_free(rg);
	}
	std::string print(uint64_t set, size_t bytes = 64)
	{
		std::string out(bytes, 'x');

		eb_regions_print(rg, set, &out[0], bytes);
		return out.c_str();
	}
};

/*
 * Guards against two regions with one bit, which would let requests leave their
 * home regions, and against a 64th region that shares the bit of no region.
 */
TEST_F(Regions, EachHasItsOwnBit)
{
	uint64_t all = 0, bit;

	for (int i = 0; i < 70; i++) {
		std::string name = "r" + std::to_string(i);

		EXPECT_EQ(0u, eb_regions_find(rg, name.c_str())) << i;
		bit = eb_regions_bit(rg, name.c_str());
		EXPECT_EQ(i < EB_REGIONS_MAX - 1, bit != 0) << i;
		EXPECT_EQ(0u, all & bit) << i;
		EXPECT_EQ(bit, eb_regions_bit(rg, name.c_str())) << i;
		EXPECT_EQ(bit, eb_regions_find(rg, name.c_str())) << i;
		all |= bit;
	}
	EXPECT_EQ(UINT64_MAX >> 1, all);
}

/* Guards against log lines that name other regions, or overrun their buffer. */
TEST_F(Regions, Print)
{
	uint64_t a = eb_regions_bit(rg, "alpha"), b = eb_regions_bit(rg, "b");

	EXPECT_EQ("any", print(0));
	EXPECT_EQ("none", print(UINT64_C(1) << 63));
	EXPECT_EQ("b", print(b));
	EXPECT_EQ("alpha,b", print(a | b));
	EXPECT_EQ("alpha", print(a | b, 7));
	EXPECT_EQ("b", print(a | b, 4));
}

} // namespace
