#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "eb_headers.h"
#include "eb_tunables.h"
}

namespace
{

/* Guards against reordered or merged headers and case-sensitive look-ups. */
TEST(Headers, AddFindAndStep)
{
	eb_headers hs = {};
	eb_header h;
	uint32_t pos = 0;
	std::string all;

	EXPECT_EQ(nullptr, eb_headers_find(&hs, "A"));
	EXPECT_EQ(0, eb_headers_next(&hs, &pos, &h));
	EXPECT_EQ(EB_OK, eb_headers_add(&hs, "Accept", "a"));
	EXPECT_EQ(EB_OK, eb_headers_add(&hs, "Empty", ""));
	EXPECT_EQ(EB_OK, eb_headers_add(&hs, "accept", "b"));
	while (eb_headers_next(&hs, &pos, &h))
		all += std::string(h.name) + "=" + h.value + ";";
	EXPECT_EQ("Accept=a;Empty=;accept=b;", all);
	EXPECT_STREQ("a", eb_headers_find(&hs, "ACCEPT"));
	EXPECT_STREQ("", eb_headers_find(&hs, "empty"));
	EXPECT_EQ(nullptr, eb_headers_find(&hs, "Accep"));
	eb_headers_clear(&hs);
	EXPECT_EQ(0u, hs.used_bytes + hs.count);
}

/* Guards against reading past the end of a truncated block from a peer. */
TEST(Headers, Load)
{
	const struct {
		std::string block;
		enum eb_status status;
		uint32_t count;
	} cases[] = {
		{ "", EB_OK, 0 },
		{ std::string("A\0b\0", 4), EB_OK, 1 },
		{ std::string("A\0\0B\0c\0", 7), EB_OK, 2 },
		{ "A", EB_EPARSE, 0 },
		{ std::string("A\0b", 3), EB_EPARSE, 0 },
		{ std::string("\0b\0", 3), EB_EPARSE, 0 },
		{ std::string("A\0b\0C\0", 6), EB_EPARSE, 1 },
		{ std::string(EB_HEADERS_MAX_BYTES + 1, 'x'), EB_EFULL, 0 },
	};

	for (const auto &c : cases) {
		/* A copy of the exact size, so that sanitizers see overruns. */
		std::string block(c.block.begin(), c.block.end());
		eb_headers hs = {};

		block.shrink_to_fit();
		EXPECT_EQ(c.status,
			  eb_headers_load(&hs, block.data(), block.size()));
		EXPECT_EQ(c.count, hs.count);
		eb_headers_clear(&hs);
	}
}

/* Guards against a list that grows past its limits. */
TEST(Headers, Bounds)
{
	const struct {
		size_t value_bytes;
		uint32_t accepted;
	} cases[] = {
		/* The name of one byte and two NUL bytes add 3 bytes. */
		{ 1, EB_HEADERS_MAX_COUNT },
		{ EB_HEADERS_MAX_BYTES - 3, 1 },
		{ EB_HEADERS_MAX_BYTES - 2, 0 },
		{ EB_HEADERS_MAX_BYTES / 2 - 3, 2 },
	};

	for (const auto &c : cases) {
		std::string value(c.value_bytes, 'v');
		eb_headers hs = {};
		uint32_t n = 0;

		while (eb_headers_add(&hs, "n", value.c_str()) == EB_OK)
			n++;
		EXPECT_EQ(c.accepted, n) << c.value_bytes;
		EXPECT_EQ(c.accepted, hs.count);
		EXPECT_GE((uint32_t)EB_HEADERS_MAX_BYTES, hs.used_bytes);
		eb_headers_clear(&hs);
	}
}

} // namespace
