#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_feed_wire.h"
}

namespace
{

std::string bytes_of(const void *p, size_t n)
{
	return std::string((const char *)p, n);
}

std::string part(uint32_t total, uint32_t offset, const std::string &data)
{
	eb_feed_part_head head = { 0, 0, total, offset };

	return bytes_of(&head, sizeof(head)) + data;
}

/*
 * Guards against items that do not spread, or a daemon that crashes on them,
 * while daemons of both versions run.
 */
TEST(FeedWire, PayloadsOfTheFirstVersion)
{
	const std::string end(8, 'e'), rev(8, 'r'), state(24, 's');
	const struct {
		const char *name;
		std::string current, first;
		std::string back; /* of `first`; "": malformed */
	} cases[] = {
		{ "a change", "\1" + part(3, 0, "abc"), "\1abc",
		  "\1" + part(3, 0, "abc") },
		{ "a part of one", "\1" + part(9, 3, "abc"), "", "" },
		{ "a relayed change", "\4" + end + part(3, 0, "abc"),
		  "\4" + end + "abc", "\1" + part(3, 0, "abc") },
		{ "a request", "\2" + rev + std::string(16, '\0'), "\2" + rev,
		  "\2" + rev + std::string(16, '\0') },
		{ "a reader's state", "\3" + state, "\3" + state,
		  "\3" + state },
		{ "a change without content", "", "\1", "" },
		{ "a short request", "", "\2abc", "" },
		{ "a short relay", "", "\4" + end, "" },
	};

	for (const auto &c : cases) {
		std::vector<uint8_t> out(c.current.size() + c.first.size() +
					 EB_FEED_WIRE_MORE_BYTES);
		uint32_t n;

		if (!c.current.empty()) {
			n = eb_feed_wire_to_first(c.current.data(),
						  (uint32_t)c.current.size(),
						  out.data());
			EXPECT_EQ(c.first, bytes_of(out.data(), n)) << c.name;
		}
		n = eb_feed_wire_from_first(
			c.first.data(), (uint32_t)c.first.size(), out.data());
		EXPECT_EQ(c.back, bytes_of(out.data(), n)) << c.name;
	}
}

} // namespace
