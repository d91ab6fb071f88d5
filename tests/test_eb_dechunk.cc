#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_dechunk.h"
}

namespace
{

/* Decodes `body` in parts of `step` bytes; "failed" when it is refused. */
std::string decode(const std::string &body, size_t step)
{
	std::vector<uint8_t> content(step);
	std::string out;
	eb_dechunk dc;
	size_t n;

	eb_dechunk_init(&dc);
	for (size_t at = 0; at < body.size(); at += step) {
		std::string part = body.substr(at, step);

		if (eb_dechunk_feed(&dc, part.data(), part.size(),
				    content.data(), &n))
			return "failed";
		out.append((const char *)content.data(), n);
	}
	return dc.done ? out : "incomplete " + out;
}

std::string repeat(const std::string &text, size_t bytes)
{
	std::string out;

	while (out.size() < bytes)
		out += text;
	return out;
}

/*
 * Guards against a server that sends framing without end: chunk extensions and
 * trailer fields are no content, so no limit on the body stops them. Bodies in
 * small chunks and short trailers must pass.
 */
TEST(Dechunk, BoundsWhatIsNoContent)
{
	const size_t much = EB_DECHUNK_FRAMING_MAX_BYTES * 2;
	struct {
		const char *name;
		std::string body;
		std::string want;
	} cases[] = {
		{ "one chunk", "5\r\nwhole\r\n0\r\n\r\n", "whole" },
		{ "two chunks", "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n", "whole" },
		{ "extension", "5;a=b\r\nwhole\r\n0;c\r\n\r\n", "whole" },
		{ "trailer", "5\r\nwhole\r\n0\r\nA: b\r\nC: d\r\n\r\n",
		  "whole" },
		{ "bytes behind the end", "1\r\nx\r\n0\r\n\r\nHTTP/1.1 200 OK",
		  "x" },
		{ "many small chunks", repeat("1\r\nx\r\n", much) + "0\r\n\r\n",
		  std::string((much + 5) / 6, 'x') },
		{ "not ended", "5\r\nwhole\r\n", "incomplete whole" },
		{ "no chunk size", "whole\r\n", "failed" },
		{ "negative size", "-5\r\nwhole\r\n0\r\n\r\n", "failed" },
		{ "size without end", repeat("0", much), "failed" },
		{ "extension without end", "5;" + repeat("a", much), "failed" },
		{ "extension without end after content",
		  "5\r\nwhole\r\n5;" + repeat("a", much), "failed" },
		{ "trailer without end",
		  "5\r\nwhole\r\n0\r\n" + repeat("A: b\r\n", much), "failed" },
		{ "trailer field without end", "0\r\nA: " + repeat("b", much),
		  "failed" },
		{ "a long extension at each byte",
		  repeat("1;" + std::string(100, 'e') + "\r\nx\r\n", 4 * much),
		  "failed" },
	};

	for (auto &c : cases)
		for (size_t step : { 1, 3, 4096 })
			EXPECT_EQ(c.want, decode(c.body, step))
				<< c.name << " in parts of " << step;
}

} // namespace
