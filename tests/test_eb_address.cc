#include <gtest/gtest.h>

extern "C" {
#include "eb_address.h"
}

namespace
{

/*
 * Guards against an address that one module accepts and another refuses, such
 * as one with a leading zero, a space or a host name.
 */
TEST(Address, Parse)
{
	const struct {
		const char *text;
		int status, port, loopback;
	} cases[] = {
		{ "127.0.0.1:1", 0, 1, 1 },
		{ "127.255.0.9:65535", 0, 65535, 1 },
		{ "10.0.0.1:80", 0, 80, 0 },
		{ "0.0.0.0:80", 0, 80, 0 },
		{ "[::1]:80", 0, 80, 1 },
		{ "[::]:80", 0, 80, 0 },
		{ "[::ffff:127.0.0.1]:80", 0, 80, 0 },
		{ "127.0.0.1", -1, 0, 0 },
		{ "127.0.0.1:", -1, 0, 0 },
		{ "127.0.0.1:0", -1, 0, 0 },
		{ "127.0.0.1:080", -1, 0, 0 },
		{ "127.0.0.1:65536", -1, 0, 0 },
		{ "127.0.0.1:99999999999999999999", -1, 0, 0 },
		{ "127.0.0.1:80 ", -1, 0, 0 },
		{ "127.0.0.1:+80", -1, 0, 0 },
		{ "::1:80", -1, 0, 0 },
		{ "[127.0.0.1]:80", -1, 0, 0 },
		{ "[::1:80", -1, 0, 0 },
		{ "[]:80", -1, 0, 0 },
		{ ":80", -1, 0, 0 },
		{ "localhost:80", -1, 0, 0 },
		{ "", -1, 0, 0 },
	};

	for (const auto &c : cases) {
		eb_address ad = {};

		ASSERT_EQ(c.status, eb_address_parse(c.text, &ad)) << c.text;
		if (c.status)
			continue;
		EXPECT_EQ(c.port, ad.port) << c.text;
		EXPECT_EQ(c.loopback, eb_address_is_loopback(&ad)) << c.text;
	}
}

} // namespace
