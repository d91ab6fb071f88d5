#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "eb_rand.h"
#include "eb_trace.h"
}

namespace
{

const std::string trace = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string span = "00f067aa0ba902b7";
const std::string good = "00-" + trace + "-" + span + "-01";

/* Guards against accepting a traceparent header that W3C forbids. */
TEST(Trace, Parse)
{
	const struct {
		std::string text;
		int status;
	} cases[] = {
		{ good, 0 },
		{ "01-" + good.substr(3) + "-more", 0 },
		{ good + "-more", -1 },
		{ "ff-" + good.substr(3), -1 },
		{ good.substr(0, 54), -1 },
		{ "", -1 },
		{ "00-" + std::string(32, '0') + "-" + span + "-01", -1 },
		{ "00-" + trace + "-" + std::string(16, '0') + "-01", -1 },
		{ "00-4BF92F3577B34DA6A3CE929D0E0E4736-" + span + "-01", -1 },
		{ "00_" + good.substr(3), -1 },
	};

	for (const auto &c : cases) {
		eb_trace_id tid = {};

		EXPECT_EQ(c.status, eb_trace_parse(c.text.c_str(), &tid))
			<< c.text;
	}
}

/*
 * Guards against flags that are not read as hexadecimal digits, and against a
 * version that is not hexadecimal.
 */
TEST(Trace, FlagsAndVersionAreHexadecimal)
{
	const struct {
		std::string text;
		int status;
		int sampled;
	} cases[] = {
		{ good.substr(0, 53) + "00", 0, 0 },
		{ good.substr(0, 53) + "ff", 0, 1 },
		{ good.substr(0, 53) + "0a", 0, 0 },
		{ good.substr(0, 53) + "0b", 0, 1 },
		{ good.substr(0, 53) + "0x", -1, 0 },
		{ "0x" + good.substr(2), -1, 0 },
	};

	for (const auto &c : cases) {
		eb_trace_id tid = {};

		EXPECT_EQ(c.status, eb_trace_parse(c.text.c_str(), &tid))
			<< c.text;
		EXPECT_EQ(c.sampled, c.status ? 0 : tid.sampled) << c.text;
	}
}

/*
 * Guards against a trace that ends at a daemon, because the header written is
 * not the header read or cannot be read by the next daemon.
 */
TEST(Trace, FormatGivesWhatWasParsed)
{
	eb_trace_id tid = {};
	eb_rand rn;
	char out[56];

	ASSERT_EQ(0, eb_trace_parse(good.c_str(), &tid));
	eb_trace_format(&tid, out);
	EXPECT_EQ(good, out);
	eb_trace_new_trace(&tid);
	eb_rand_seed(&rn, 7);
	eb_trace_new_span(&rn, tid.span);
	eb_trace_format(&tid, out);
	EXPECT_EQ(0, eb_trace_parse(out, &tid)) << out;
}

/*
 * Guards against a store without a limit, and against a look-up that returns
 * spans of other traces or accepts an invalid identifier.
 */
TEST(Trace, StoreKeepsTheLastSpans)
{
	eb_tracer *tr = eb_tracer_new("127.0.0.1:2", 3);
	eb_span sp = {};

	for (int i = 1; i <= 5; i++) {
		memset(sp.trace, i == 4 ? 0x22 : 0x11, sizeof(sp.trace));
		sp.status = (uint16_t)i;
		sp.kind = EB_SPAN_GATE;
		eb_tracer_add(tr, &sp);
	}
	const struct {
		std::string id;
		size_t count;
	} cases[] = {
		{ std::string(32, '1'), 2 },
		{ std::string(32, '2'), 1 },
		{ std::string(32, '3'), 0 },
		{ "11", 0 },
		{ "", 0 },
		{ std::string(32, 'x'), 0 },
		{ std::string(34, '1'), 0 },
	};
	for (const auto &c : cases) {
		json_t *js = eb_tracer_find(tr, c.id.c_str());

		EXPECT_EQ(c.count, json_array_size(js)) << c.id;
		json_decref(js);
	}
	json_t *js = eb_tracer_find(tr, cases[0].id.c_str());
	json_t *first = json_array_get(js, 0);
	EXPECT_EQ(3, json_integer_value(json_object_get(first, "status")));
	EXPECT_STREQ("gate", json_string_value(json_object_get(first, "kind")));
	json_decref(js);
	eb_tracer_free(tr);
}

} // namespace
