#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "eb_parse.h"
}

namespace
{

const std::string host = "Host: a\r\n";

/* What a parser makes of the bytes, given in pieces of `piece` bytes. */
std::string read_all(const std::string &bytes, size_t piece)
{
	std::string out, waiting;
	auto body = [](void *ctx, const void *data, size_t n) {
		static_cast<std::string *>(ctx)->append((const char *)data, n);
	};
	eb_parse *ps = eb_parse_new(body, &out);
	size_t at = 0, used;

	for (;;) {
		eb_parse_event ev =
			eb_parse_run(ps, waiting.data(), waiting.size(), &used);

		waiting.erase(0, used);
		if (ev == EB_PARSE_BAD) {
			out += "!" +
			       std::to_string(eb_parse_problem(ps)->status);
			break;
		}
		if (ev == EB_PARSE_HEAD) {
			const struct eb_parse_head *hd = eb_parse_head(ps);

			out += std::string(hd->method) + " " + hd->target +
			       (hd->keep_alive ? " [" : " close [");
		} else if (ev == EB_PARSE_END) {
			out += "] ";
		} else if (!used) {
			if (at == bytes.size())
				break;
			waiting += bytes.substr(at, piece);
			at = std::min(bytes.size(), at + piece);
		}
	}
	eb_parse_free(ps);
	return out;
}

/*
 * Guards against requests that are read in another way when their bytes come
 * in other pieces, and against heads that the HTTP parser would repair.
 */
TEST(Parse, RequestsInAnyPieces)
{
	const struct {
		const char *name;
		std::string bytes;
		std::string result;
	} cases[] = {
		{ "no body", "GET /a HTTP/1.1\r\n" + host + "\r\n",
		  "GET /a [] " },
		{ "empty line before it",
		  "\r\nGET /a HTTP/1.1\r\n" + host + "\r\n", "GET /a [] " },
		{ "length",
		  "POST /a HTTP/1.1\r\n" + host +
			  "Content-Length: 5\r\n\r\nhello",
		  "POST /a [hello] " },
		{ "chunks",
		  "POST /a HTTP/1.1\r\n" + host +
			  "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n"
			  "3\r\nllo\r\n0\r\nX-Trailer: 1\r\n\r\n",
		  "POST /a [hello] " },
		{ "three in a row",
		  "GET /a HTTP/1.1\r\n" + host + "\r\nPOST /b HTTP/1.1\r\n" +
			  host +
			  "Content-Length: 1\r\n\r\nxGET /c HTTP/1.1\r\n" +
			  host + "Connection: close\r\n\r\n",
		  "GET /a [] POST /b [x] GET /c close [] " },
		{ "an offer to upgrade is ignored",
		  "GET /a HTTP/1.1\r\n" + host +
			  "Connection: upgrade\r\nUpgrade: x\r\n\r\n"
			  "GET /b HTTP/1.1\r\n" +
			  host + "\r\n",
		  "GET /a [] GET /b [] " },
		{ "HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", "GET /a close [] " },
		{ "a folded line",
		  "GET /a HTTP/1.1\r\n" + host + "X: 1\r\n 2\r\n\r\n", "!400" },
		{ "a bare line feed", "GET /a HTTP/1.1\nHost: a\r\n\r\n",
		  "!400" },
		{ "a bare carriage return",
		  "GET /a HTTP/1.1\r\n" + host + "X: 1\r2\r\n\r\n", "!400" },
		{ "a NUL", std::string("GET /a\0b HTTP/1.1\r\n", 20), "!400" },
		{ "another version", "GET /a HTTP/2.0\r\n" + host + "\r\n",
		  "!505" },
		{ "an unknown method", "BREW /a HTTP/1.1\r\n" + host + "\r\n",
		  "!405" },
		{ "a bad chunk",
		  "POST /a HTTP/1.1\r\n" + host +
			  "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		  "POST /a [!400" },
		{ "a head without an end",
		  "GET /a HTTP/1.1\r\nX: " + std::string(40000, 'x'), "!431" },
		{ "a target without an end", "GET /" + std::string(40000, 'x'),
		  "!414" },
	};

	for (const auto &c : cases)
		for (size_t piece : { 1, 2, 3, 7, 64, 100000 })
			EXPECT_EQ(c.result, read_all(c.bytes, piece))
				<< c.name << " in pieces of " << piece;
}

} // namespace
