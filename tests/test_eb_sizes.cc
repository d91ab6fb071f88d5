#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "eb_sizes.h"
}

namespace
{

/*
 * Guards against a size that one unusual answer changes much, that never
 * follows a change, or that is wrong for a kind without answers.
 */
TEST(Sizes, FollowTheAnswersOfTheirKind)
{
	const struct {
		const char *name;
		std::vector<uint64_t> answers;
		uint32_t least, most;
	} cases[] = {
		{ "none", {}, 0, 0 },
		{ "one", { 90000 }, 90000, 90000 },
		{ "an unusual one", { 90000, 90000, 540000 }, 140000, 150000 },
		{ "a change", std::vector<uint64_t>(60, 400), 400, 400 },
		{ "huge", { UINT64_MAX }, 1 << 30, 1 << 30 },
	};

	for (const auto &c : cases) {
		eb_sizes sz = {};
		int64_t now_us = 1;

		if (!strcmp(c.name, "a change"))
			eb_sizes_add(&sz, 7, 1000, now_us++);
		for (uint64_t n : c.answers)
			eb_sizes_add(&sz, 7, n, now_us++);
		eb_sizes_add(&sz, 8, 5, now_us);
		eb_sizes_add(&sz, 0, 5, now_us);
		EXPECT_LE(c.least, eb_sizes_expected(&sz, 7)) << c.name;
		EXPECT_GE(c.most + 7, eb_sizes_expected(&sz, 7)) << c.name;
		EXPECT_EQ(0u, eb_sizes_expected(&sz, 0)) << c.name;
		EXPECT_EQ(0u, eb_sizes_expected(&sz, 9)) << c.name;
	}
}

/* Guards against a full table that forgets the kinds in use for old ones. */
TEST(Sizes, AFullTableKeepsTheKindsInUse)
{
	eb_sizes sz = {};
	int64_t now_us = 1;

	for (uint32_t i = 1; i < 5000; i++) {
		eb_sizes_add(&sz, i + 10, i, ++now_us);
		eb_sizes_add(&sz, 3, 77, ++now_us);
		EXPECT_EQ(i, eb_sizes_expected(&sz, i + 10));
		EXPECT_EQ(77u, eb_sizes_expected(&sz, 3));
	}
}

/*
 * Guards against large answers that leave their failure domain though they have
 * time, and against short or urgent ones that wait where they could go on.
 */
TEST(Sizes, OnlyLargeAnswersWithTimeWait)
{
	const struct {
		uint64_t bytes; /* of the answers so far; 0: none */
		int64_t left_ms;
		int waits;
	} cases[] = {
		{ 0, 5000, 0 },	   { 400, 5000, 0 },   { 90000, 499, 0 },
		{ 90000, 500, 1 }, { 90000, 5000, 1 }, { 90000, -10, 0 },
	};

	for (const auto &c : cases) {
		eb_sizes sz = {};

		for (int i = 0; c.bytes && i < 50; i++)
			eb_sizes_add(&sz, 7, c.bytes, i * 1000);
		EXPECT_EQ(c.waits, eb_sizes_may_wait(&sz, 7, c.left_ms * 1000))
			<< c.bytes << " " << c.left_ms;
	}
}

} // namespace
