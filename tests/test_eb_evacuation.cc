#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_evacuation.h"
}

namespace
{

struct step {
	std::vector<std::string> listed;
	std::vector<std::string> upstreams; /* failure domain of each */
	uint32_t invalid;
	uint32_t in_force;
	int64_t ignored;
	size_t changes;
};

/* Returns a configuration; the caller releases it. */
eb_config *make(const step &st)
{
	eb_config *cf = eb_config_new_empty();

	cf->upstreams = (eb_upstream **)calloc(st.upstreams.size() + 1,
					       sizeof(*cf->upstreams));
	for (const std::string &domain : st.upstreams) {
		auto *up = (eb_upstream *)eb_config_item_new(EB_ITEM_UPSTREAM);

		up->failure_domain = strdup(domain.c_str());
		cf->upstreams[cf->upstream_total++] = up;
	}
	for (const std::string &domain : st.listed)
		eb_texts_add(&cf->evacuated, domain.c_str());
	cf->evacuations_invalid = st.invalid;
	if (st.invalid)
		cf->evacuation_invalid = strdup("x\n");
	return cf;
}

/*
 * Guards against evacuations that are logged or counted at each update, that
 * end when their last upstream disappears, and unknown domains that count.
 */
TEST(Evacuation, ChangesAreRecordedOnce)
{
	const step steps[] = {
		{ {}, { "a", "b" }, 0, 0, 0, 0 },
		{ { "b" }, { "a", "b" }, 0, 1, 0, 1 },
		{ { "b" }, { "a", "b" }, 0, 1, 0, 1 },
		{ { "b" }, { "a" }, 0, 1, 0, 1 },
		{ { "b", "c" }, { "a", "b" }, 0, 1, 1, 1 },
		{ { "b", "c" }, { "a", "b" }, 2, 1, 3, 1 },
		{ { "b", "c" }, { "a", "b" }, 2, 1, 3, 1 },
		{ { "b", "c" }, { "a", "b", "c" }, 0, 2, 3, 2 },
		{ { "c" }, { "a", "b", "c" }, 1, 1, 4, 3 },
		{ {}, { "a", "b", "c" }, 0, 0, 4, 4 },
	};
	eb_metrics *mt = eb_metrics_new();
	eb_evacuation *ev = eb_evacuation_new(nullptr, mt);
	int64_t now_us = 5000000;
	size_t i = 0;

	for (const step &st : steps) {
		eb_config *cf = make(st);
		json_t *changes;

		now_us += 1000000;
		eb_evacuation_update(ev, cf, now_us);
		changes = eb_evacuation_changes(ev, now_us);
		EXPECT_EQ(st.in_force, eb_evacuation_in_force(ev)) << i;
		EXPECT_EQ(st.in_force,
			  eb_metrics_get(mt, EB_METRIC_EVACUATED_DOMAINS));
		EXPECT_EQ(st.ignored,
			  eb_metrics_get(mt, EB_METRIC_EVACUATIONS_IGNORED))
			<< i;
		EXPECT_EQ(st.changes, json_array_size(changes)) << i;
		json_decref(changes);
		eb_config_unref(cf);
		i++;
	}
	eb_evacuation_free(ev);
	eb_metrics_free(mt);
}

} // namespace
