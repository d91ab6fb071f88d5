#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "pf_compare.h"
}

namespace
{

eb_feed_item make(const char *key, const std::string &value)
{
	eb_feed_item it = {};

	it.key = const_cast<char *>(key);
	it.value = (uint8_t *)const_cast<char *>(value.data());
	it.value_bytes = (uint32_t)value.size();
	return it;
}

/*
 * Guards against a store that has returned to a copy of itself: an older state
 * or an entry from before a departure was taken for a newer one.
 */
TEST(Compare, Values)
{
	const struct {
		const char *key, *shown, *known;
		eb_feed_age age;
	} cases[] = {
		{ "op/config", "{\"version\":3}", "{\"version\":7}",
		  EB_FEED_OLDER },
		{ "op/config", "{\"version\":7,\"routes\":{}}",
		  "{\"version\":7}", EB_FEED_SAME },
		{ "op/config", "{\"version\":9}", "{\"version\":7}",
		  EB_FEED_NEWER },
		{ "op/config", "{\"version\":\"9\"}", "{\"version\":7}",
		  EB_FEED_AGE_UNKNOWN },
		{ "op/config", "[", "{\"version\":7}", EB_FEED_AGE_UNKNOWN },
		/* A number that fits into no integer hides the version. */
		{ "op/config", "{\"version\":9,\"x\":99999999999999999999}",
		  "{\"version\":7}", EB_FEED_NEWER },
		{ "op/config", nullptr, "{\"version\":7}", EB_FEED_OLDER },
		{ "servers/a", "{\"born\":5,\"seq\":1}",
		  "{\"born\":5,\"seq\":4}", EB_FEED_OLDER },
		{ "servers/a", "{\"born\":5,\"seq\":4}",
		  "{\"born\":5,\"seq\":4}", EB_FEED_SAME },
		{ "servers/a", "{\"born\":6,\"seq\":1}",
		  "{\"born\":5,\"seq\":4}", EB_FEED_NEWER },
		{ "servers/a", "{\"born\":4,\"seq\":9}",
		  "{\"born\":5,\"seq\":1}", EB_FEED_OLDER },
		{ "servers/a", "{\"seq\":9}", "{\"born\":5,\"seq\":1}",
		  EB_FEED_AGE_UNKNOWN },
		{ "servers/a", "\xff", "{\"born\":5,\"seq\":1}",
		  EB_FEED_AGE_UNKNOWN },
		/* The store may list again what was withdrawn. */
		{ "op/evacuate/b", "{}", "{}", EB_FEED_AGE_UNKNOWN },
		{ "op/evacuate/b", "{\"born\":4,\"seq\":1}",
		  "{\"born\":5,\"seq\":1}", EB_FEED_AGE_UNKNOWN },
		/* One that is lost stays for a time. */
		{ "op/evacuate/b", nullptr, "{}", EB_FEED_SAME },
		{ "servers/a", nullptr, "{\"born\":5,\"seq\":1}",
		  EB_FEED_NEWER },
	};

	for (const auto &c : cases) {
		std::string shown_text = c.shown ? c.shown : "";
		std::string known_text = c.known;
		eb_feed_item shown = make(c.key, shown_text);
		eb_feed_item known = make(c.key, known_text);

		EXPECT_EQ(c.age, pf_compare(c.shown ? &shown : nullptr, &known))
			<< c.key << " " << shown_text << " " << known_text;
	}
}

} // namespace
