#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "eb_wire.h"
}

namespace
{

eb_frame *sample(eb_frame_type type)
{
	eb_frame *f = eb_frame_new_data(type, 7, "abc", 3);

	f->sender = 11;
	f->target = UINT64_MAX;
	f->credit_bytes = 5;
	if (f->head) {
		f->head->service = strdup("agenda");
		f->head->upstream = strdup("agenda-1");
		f->head->method = strdup("POST");
		f->head->target = strdup("/agenda/x?y=1");
		f->head->body_kind = EB_BODY_INLINE;
		f->head->body_bytes = 3;
		f->head->remaining_us = -4;
		eb_headers_add(&f->head->headers, "Accept", "*/*");
	}
	if (f->reply) {
		f->reply->status = 200;
		f->reply->outcome = EB_OUTCOME_RAN;
		f->reply->load.service_us = 1234;
		eb_headers_add(&f->reply->headers, "Etag", "");
	}
	return f;
}

std::string encode(const eb_frame *f, uint8_t version = EB_WIRE_VERSION)
{
	msgpack_sbuffer sb;

	msgpack_sbuffer_init(&sb);
	EXPECT_EQ(EB_OK, eb_wire_encode(f, version, &sb));
	std::string out(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return out;
}

/*
 * Guards against an older daemon's answer with a status that does not exist:
 * passed on as it is, or lost so that its call waits.
 */
TEST(Wire, AnswersWithABadStatusAreAborts)
{
	for (uint16_t status : { 0, 99, 101, 199, 600, 999 }) {
		eb_frame *f = sample(EB_FRAME_RHEAD), *g = nullptr;

		f->reply->status = status;
		std::string bytes = encode(f);
		ASSERT_EQ(EB_OK,
			  eb_wire_decode(bytes.data(), bytes.size(), &g));
		EXPECT_EQ(EB_FRAME_ABORT, g->type) << status;
		EXPECT_EQ(EB_OUTCOME_UNKNOWN, g->reply->outcome) << status;
		EXPECT_EQ(0, g->reply->status) << status;
		eb_frame_unref(f);
		eb_frame_unref(g);
	}
}

/*
 * Guards against daemons that do not understand each other while a fleet is
 * updated, and against bodies of the first version that are taken for ones
 * whose parts have a place.
 */
TEST(Wire, EachVersionIsUnderstood)
{
	const struct {
		uint8_t version;
		eb_frame_type type;
		uint64_t offset;
	} cases[] = {
		{ 2, EB_FRAME_DATA, 4242 },
		{ 1, EB_FRAME_DATA, EB_OFFSET_UNKNOWN },
		{ 1, EB_FRAME_REND, EB_OFFSET_UNKNOWN },
		{ 1, EB_FRAME_HELLO, 0 },
	};

	for (const auto &c : cases) {
		eb_frame *f = sample(c.type), *g = nullptr;

		f->offset_bytes = 4242;
		std::string bytes = encode(f, c.version);

		ASSERT_EQ(EB_OK,
			  eb_wire_decode(bytes.data(), bytes.size(), &g));
		EXPECT_EQ(c.version, g->wire_version);
		EXPECT_EQ(c.offset, g->offset_bytes);
		EXPECT_EQ(f->data_bytes, g->data_bytes);
		eb_frame_unref(f);
		eb_frame_unref(g);
	}
}

/* Guards against a field that is written but not read back. */
TEST(Wire, RoundTripOfEachType)
{
	for (int type = EB_FRAME_HEAD; type <= EB_FRAME_CLAIM; type++) {
		eb_frame *f = sample((eb_frame_type)type), *g = nullptr;
		std::string bytes = encode(f);

		ASSERT_EQ(EB_OK, eb_wire_decode(bytes.data(), bytes.size(), &g))
			<< eb_frame_type_name((unsigned)type);
		EXPECT_EQ(type, g->type);
		EXPECT_EQ(7u, g->call);
		EXPECT_EQ(11u, g->sender);
		EXPECT_EQ(UINT64_MAX, g->target);
		EXPECT_EQ(bytes, encode(g));
		eb_frame_unref(f);
		eb_frame_unref(g);
	}
}

/* Guards against reading past the end of a truncated message. */
TEST(Wire, EveryTruncationIsRefused)
{
	eb_frame *f = sample(EB_FRAME_HEAD);
	std::string bytes = encode(f);

	for (size_t n = 0; n < bytes.size(); n++) {
		std::vector<char> part(bytes.begin(), bytes.begin() + n);
		eb_frame *g = nullptr;

		EXPECT_NE(EB_OK, eb_wire_decode(part.data(), n, &g)) << n;
	}
	eb_frame_unref(f);
}

struct bad_case {
	const char *name;
	std::string bytes;
};

/* Guards against accepting a message that is not one frame. */
TEST(Wire, BadMessagesAreRefused)
{
	eb_frame *f = sample(EB_FRAME_DATA);
	std::string good = encode(f);
	std::string version = good, type = good;

	version[1] = 99;
	type[2] = 0;
	const bad_case cases[] = {
		{ "empty", "" },
		{ "not an array", std::string("\x01", 1) },
		{ "other version", version },
		{ "type zero", type },
		{ "trailing byte", good + std::string(1, '\0') },
		{ "huge array", std::string("\xdd\xff\xff\xff\xff", 5) },
		{ "over the limit",
		  good + std::string(EB_MESSAGE_MAX_BYTES, 'x') },
	};

	for (const bad_case &c : cases) {
		eb_frame *g = nullptr;

		EXPECT_NE(EB_OK,
			  eb_wire_decode(c.bytes.data(), c.bytes.size(), &g))
			<< c.name;
	}
	eb_frame_unref(f);
}

} // namespace
