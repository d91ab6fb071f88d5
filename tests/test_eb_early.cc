#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_early.h"
#include "eb_tunables.h"
}

namespace
{

struct step {
	char what;	  /* '+' add, '-' cancel, 'u' take until */
	uint64_t arg;	  /* call, or time for 'u' */
	int64_t now_us;	  /* of '+' */
	std::string want; /* calls that 'u' takes, or 1/0 of '-' */
};

struct early_case {
	const char *name;
	std::vector<step> steps;
};

std::string take_until(eb_early *er, int64_t until_us)
{
	std::string out;
	int64_t at = 0;

	while (eb_frame *f = eb_early_take(er, until_us, &at)) {
		out += std::to_string(f->call) + "@" + std::to_string(at) + " ";
		eb_frame_unref(f);
	}
	return out;
}

/*
 * Guards against requests that are lost, served out of order, or kept after
 * their caller has left while a daemon starts.
 */
TEST(Early, RequestsWaitInOrderAndLeaveOnce)
{
	const early_case cases[] = {
		{ "all are taken in order of arrival",
		  { { '+', 7, 100, "" },
		    { '+', 3, 200, "" },
		    { 'u', INT64_MAX, 0, "7@100 3@200 " },
		    { 'u', INT64_MAX, 0, "" } } },
		{ "only the expired ones are taken",
		  { { '+', 1, 100, "" },
		    { '+', 2, 500, "" },
		    { 'u', 400, 0, "1@100 " },
		    { 'u', 500, 0, "2@500 " } } },
		{ "a caller that left is not served",
		  { { '+', 1, 100, "" },
		    { '+', 2, 200, "" },
		    { '-', 1, 0, "1" },
		    { '-', 1, 0, "0" },
		    { 'u', INT64_MAX, 0, "2@200 " } } },
	};

	for (const early_case &c : cases) {
		SCOPED_TRACE(c.name);
		eb_early *er = eb_early_new();

		for (const step &s : c.steps) {
			if (s.what == '+')
				ASSERT_EQ(
					eb_early_add(er,
						     eb_frame_new(EB_FRAME_HEAD,
								  s.arg),
						     s.now_us),
					EB_OK);
			else if (s.what == '-')
				EXPECT_EQ(std::to_string(
						  eb_early_cancel(er, s.arg)),
					  s.want);
			else
				EXPECT_EQ(take_until(er, (int64_t)s.arg),
					  s.want);
		}
		eb_early_free(er);
	}
}

/* Guards against a list that grows without bound while there is no store. */
TEST(Early, TheListIsBounded)
{
	eb_early *er = eb_early_new();
	eb_frame *f = eb_frame_new(EB_FRAME_HEAD, 9);

	for (uint64_t i = 0; i < EB_EARLY_CALLS_MAX; i++)
		ASSERT_EQ(eb_early_add(er, eb_frame_new(EB_FRAME_HEAD, i), 0),
			  EB_OK);
	EXPECT_EQ(eb_early_add(er, f, 0), EB_EFULL);
	EXPECT_EQ(eb_early_count(er), (uint32_t)EB_EARLY_CALLS_MAX);
	eb_frame_unref(f);
	eb_early_free(er);
}

} // namespace
