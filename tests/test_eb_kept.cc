#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_kept.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;

/*
 * Guards against memory that grows with the answers of a gate, against answers
 * that go to another origin, and against ones that are kept for too long.
 */
TEST(Kept, IsBoundedInNumberSizeAndAge)
{
	const struct {
		const char *name;
		uint32_t answers;
		uint32_t bytes;	   /* of the body of each */
		int64_t age_ms;	   /* of the newest */
		uint32_t kept_min; /* of them, the newest ones */
		uint32_t kept_max;
	} cases[] = {
		{ "few", 10, 100, 0, 10, 10 },
		{ "as many as fit", EB_KEPT_ANSWERS_MAX, 100, 0,
		  EB_KEPT_ANSWERS_MAX, EB_KEPT_ANSWERS_MAX },
		{ "too many", 3 * EB_KEPT_ANSWERS_MAX, 100, 0,
		  EB_KEPT_ANSWERS_MAX, EB_KEPT_ANSWERS_MAX },
		{ "too large together", 100, EB_INLINE_BODY_BYTES, 0, 20,
		  EB_KEPT_ANSWERS_BYTES / EB_INLINE_BODY_BYTES },
		{ "one that is too large", 1, EB_KEPT_ANSWERS_BYTES, 0, 0, 0 },
		{ "old ones", 10, 100, EB_KEPT_ANSWERS_MS, 0, 0 },
	};

	for (const auto &c : cases) {
		eb_kept *kp = eb_kept_new();
		std::string body(c.bytes, 'x');
		int64_t now = 9000 * MS;
		uint32_t n = 0, pos = 0;

		for (uint32_t i = 1; i <= c.answers; i++) {
			eb_frame *f = eb_frame_new_data(EB_FRAME_RHEAD, i,
							body.data(),
							(uint32_t)body.size());

			eb_kept_add(kp, 7, f, now);
			eb_frame_unref(f);
		}
		eb_kept_expire(kp, now + c.age_ms * MS);
		while (eb_kept_next(kp, 7, &pos))
			n++;
		EXPECT_LE(c.kept_min, n) << c.name;
		EXPECT_GE(c.kept_max, n) << c.name;
		EXPECT_EQ(n > 0, eb_kept_find(kp, 7, c.answers) != nullptr)
			<< c.name;
		EXPECT_EQ(nullptr, eb_kept_find(kp, 8, c.answers)) << c.name;
		eb_kept_free(kp);
	}
}

} // namespace
