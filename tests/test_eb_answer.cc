#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "eb_answer.h"
}

namespace
{

std::string take(eb_answer_buffer *ob)
{
	const void *data;
	size_t n = eb_answer_peek(ob, &data);
	std::string out((const char *)data, n);

	eb_answer_consume(ob, n);
	return out;
}

/*
 * Guards against an answer with conflicting or missing framing headers, which a
 * caller could read as another number of bytes.
 */
TEST(Answer, HeadsHaveOneFraming)
{
	const struct {
		const char *name;
		uint16_t status;
		uint8_t kind;
		uint64_t bytes;
		bool http11, close;
		const char *want;
	} cases[] = {
		{ "length", 200, EB_BODY_LENGTH, 7, true, false,
		  "Content-Length: 7\r\n" },
		{ "inline", 200, EB_BODY_INLINE, 0, true, false,
		  "Content-Length: 0\r\n" },
		{ "chunks", 200, EB_BODY_CHUNKED, 0, true, false,
		  "Transfer-Encoding: chunked\r\n" },
		{ "ends with the connection", 200, EB_BODY_CHUNKED, 0, false,
		  true, "Connection: close\r\n" },
		{ "no content", 204, EB_BODY_NONE, 0, true, false, "" },
		{ "not modified", 304, EB_BODY_NONE, 0, true, true,
		  "Connection: close\r\n" },
	};

	for (const auto &c : cases) {
		eb_answer_buffer ob = {};
		eb_reply r = {};
		eb_answer_head ah = { &r, c.http11, 0, c.close };
		std::string got;

		r.status = c.status;
		r.outcome = EB_OUTCOME_RAN;
		r.body_kind = c.kind;
		r.body_bytes = c.bytes;
		/* A hop-by-hop header, which must not be forwarded. */
		eb_headers_add(&r.headers, "Keep-Alive", "timeout=5");
		eb_headers_add(&r.headers, "X-A", "1");
		ASSERT_EQ(EB_OK, eb_answer_write_head(&ob, &ah));
		got = take(&ob);
		got.erase(0, got.find("\r\n") + 2);
		EXPECT_EQ("X-A: 1\r\nEbonypier-Outcome: ran\r\n" +
				  std::string(c.want) + "\r\n",
			  got)
			<< c.name;
		eb_headers_clear(&r.headers);
		eb_answer_clear(&ob);
	}
}

/*
 * Guards against a refusal without Retry-After, or with one that rounds the
 * delay down.
 */
TEST(Answer, RefusalsHaveRetryAfter)
{
	const struct {
		uint32_t retry_after_ms;
		uint8_t fraction;
		const char *want;
	} cases[] = {
		{ 0, 0, nullptr },
		{ 1, 0, "Retry-After: 1\r\n" },
		{ 1500, 0, "Retry-After: 2\r\n" },
		{ 250, 1, "Retry-After: 0.250\r\n" },
		{ 1005, 1, "Retry-After: 1.005\r\n" },
	};

	for (const auto &c : cases) {
		eb_answer_buffer ob = {};
		eb_answer_error ea = {};
		std::string got;

		ea.status = 503;
		ea.code = "queue-full";
		ea.reason = "the request was not run";
		ea.outcome = EB_OUTCOME_NOT_RUN;
		ea.retry_after_ms = c.retry_after_ms;
		ea.fraction = c.fraction;
		ASSERT_EQ(EB_OK, eb_answer_write_error(&ob, &ea));
		got = take(&ob);
		EXPECT_EQ(0u, got.find("HTTP/1.1 503 ")) << got;
		EXPECT_NE(std::string::npos,
			  got.find("{\"error\":\"queue-full\""));
		if (c.want)
			EXPECT_NE(std::string::npos, got.find(c.want)) << got;
		else
			EXPECT_EQ(std::string::npos, got.find("Retry-After"));
		eb_answer_clear(&ob);
	}
}

/* Guards against an empty chunk, which would end the body early. */
TEST(Answer, ChunksAreNeverEmpty)
{
	eb_answer_buffer ob = {};

	EXPECT_EQ(EB_OK, eb_answer_append_chunk(&ob, "", 0));
	EXPECT_EQ(0u, eb_answer_pending(&ob));
	EXPECT_EQ(EB_OK, eb_answer_append_chunk(&ob, "hello, world!!!!", 16));
	EXPECT_EQ("10\r\nhello, world!!!!\r\n", take(&ob));
	eb_answer_clear(&ob);
}

} // namespace
