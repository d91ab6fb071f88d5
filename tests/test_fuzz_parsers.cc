#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "eb_chart.h"
#include "eb_rand.h"
#include "eb_release.h"
#include "eb_wire.h"
}

namespace
{

/* Limit for the growth of the address space in one test. */
const long memory_max_kb = 64 * 1024;

long peak_kb()
{
	std::ifstream in("/proc/self/status");
	std::string line;

	while (std::getline(in, line))
		if (!line.compare(0, 7, "VmPeak:"))
			return atol(line.c_str() + 7);
	return 0;
}

class Fuzz : public testing::Test
{
protected:
	void SetUp() override
	{
		eb_rand_seed(&rn, 7);
		before_kb = peak_kb();
		ASSERT_LT(0, before_kb);
	}

	void TearDown() override
	{
		EXPECT_GT(memory_max_kb, peak_kb() - before_kb);
	}

	uint32_t below(size_t bound)
	{
		return eb_rand_below(&rn, (uint32_t)bound);
	}

	/* Applies one to four random changes. */
	void mutate(std::string &s, const std::string &bytes)
	{
		for (uint32_t n = 1 + below(4); n; n--) {
			size_t at = below(s.size() + 1);
			size_t len = below(8);

			switch (below(5)) {
			case 0:
				if (at < s.size())
					s[at] = (char)below(256);
				break;
			case 1:
				s.insert(at, 1, bytes[below(bytes.size())]);
				break;
			case 2:
				s.erase(at, len);
				break;
			case 3:
				s.insert(at, s.substr(below(s.size() + 1),
						      below(200)));
				break;
			default:
				s.resize(below(8) ? s.size() : at);
			}
		}
	}

	/* Runs `check` on mutated seeds, each in a buffer of its exact size. */
	void run(const std::vector<std::string> &seeds, int count,
		 const std::string &bytes,
		 const std::function<void(const char *, size_t)> &check)
	{
		for (int i = 0; i < count; i++) {
			std::string s = seeds[below(seeds.size())];

			mutate(s, bytes);
			std::vector<char> exact(s.begin(), s.end());
			check(exact.data(), exact.size());
			ASSERT_FALSE(HasFailure()) << "mutation " << i;
		}
	}

	eb_rand rn;
	long before_kb = 0;
};

std::string encode(const eb_frame *f)
{
	msgpack_sbuffer sb;

	msgpack_sbuffer_init(&sb);
	EXPECT_EQ(EB_OK, eb_wire_encode(f, EB_WIRE_VERSION, &sb));
	std::string out(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return out;
}

std::string sample_frame(int type)
{
	eb_frame *f = eb_frame_new_data((eb_frame_type)type, 7, "abc", 3);

	if (f->head) {
		f->head->service = strdup("agenda");
		f->head->upstream = strdup("agenda-1");
		f->head->method = strdup("POST");
		f->head->target = strdup("/agenda/x?y=1");
		f->head->key = strdup("key");
		f->head->body_kind = EB_BODY_INLINE;
		f->head->body_bytes = 3;
		eb_headers_add(&f->head->headers, "Accept", "*/*");
	}
	if (f->reply)
		eb_headers_add(&f->reply->headers, "Etag", "x");
	std::string out = encode(f);
	eb_frame_unref(f);
	return out;
}

/*
 * Guards against a malformed peer message that crashes the decoder, and against
 * a message that changes when it is decoded and encoded again.
 */
TEST_F(Fuzz, Wire)
{
	std::vector<std::string> seeds;
	int decoded = 0;

	for (int type = EB_FRAME_HEAD; type <= EB_FRAME_CLAIM; type++)
		seeds.push_back(sample_frame(type));
	run(seeds, 50000, std::string("\x91\x9f\xdc\xdd\xde\xc6\xdb\xff\0", 9),
	    [&](const char *p, size_t n) {
		    eb_frame *f = nullptr, *g = nullptr;

		    if (eb_wire_decode(p, n, &f)) {
			    EXPECT_EQ(nullptr, f);
			    return;
		    }
		    std::string bytes = encode(f);
		    ASSERT_EQ(EB_OK,
			      eb_wire_decode(bytes.data(), bytes.size(), &g));
		    EXPECT_EQ(bytes, encode(g));
		    eb_frame_unref(f);
		    eb_frame_unref(g);
		    decoded++;
	    });
	EXPECT_LT(100, decoded) << "mutations do not reach past the header";
}

/*
 * Guards against a short message that declares a huge array, map or string and
 * makes the decoder allocate gigabytes.
 */
TEST_F(Fuzz, WireWithHugeDeclarations)
{
	const std::string good = sample_frame(EB_FRAME_HEAD);
	const std::string huge[] = {
		std::string("\xdd\xff\xff\xff\xff", 5), /* array32 */
		std::string("\xdd\x08\x00\x00\x00", 5),
		std::string("\xdc\xff\xff", 3),		    /* array16 */
		std::string("\xdf\xff\xff\xff\xff", 5),	    /* map32 */
		std::string("\xde\xff\xff", 3),		    /* map16 */
		std::string("\xc6\xff\xff\xff\xff", 5),	    /* bin32 */
		std::string("\xdb\xff\xff\xff\xff", 5),	    /* str32 */
		std::string("\xc9\xff\xff\xff\xff\x01", 6), /* ext32 */
		std::string("\xdc\x00\xff", 3),
	};

	for (const std::string &h : huge) {
		std::string nested;

		for (int i = 0; i < 50000; i++)
			nested += h;
		for (const std::string &s :
		     { h, "\x91" + h, "\x92\x01" + h, nested, good + h,
		       good.substr(0, 10) + h, good.substr(0, 1) + h,
		       good.substr(0, 3) + nested.substr(0, 200) }) {
			eb_frame *f = nullptr;

			EXPECT_NE(EB_OK,
				  eb_wire_decode(s.data(), s.size(), &f));
			EXPECT_EQ(nullptr, f);
		}
	}
}

std::string read_file(const char *name)
{
	std::stringstream out;

	out << std::ifstream(name).rdbuf();
	return out.str();
}

/*
 * Guards against a malformed release note that crashes the parser, or is
 * applied although findings were reported.
 */
TEST_F(Fuzz, Release)
{
	std::string first = read_file("examples/hielos-1.json");
	std::string second = read_file("examples/hielos-2.json");
	eb_config *empty = eb_config_new_empty(), *base = nullptr;
	eb_findings fs = {};
	int accepted = 0;

	ASSERT_EQ(EB_OK,
		  eb_release_apply_text(empty, first.data(), first.size(), 1,
					"n", &fs, &base));
	run({ first, second, second, second }, 6000, "{}[]\",:\\u0-9e.\n",
	    [&](const char *p, size_t n) {
		    int32_t lines = 1 + (int32_t)std::count(p, p + n, '\n');
		    eb_config *next = nullptr;
		    eb_status st = eb_release_check("n", p, n, &fs);

		    EXPECT_EQ(st == EB_OK, fs.count == 0);
		    for (uint32_t i = 0; i < fs.count; i++) {
			    EXPECT_LE(0, fs.items[i].line);
			    EXPECT_GE(lines, fs.items[i].line);
		    }
		    eb_findings_clear(&fs);
		    st = eb_release_apply_text(base, p, n, 2, "n", &fs, &next);
		    EXPECT_EQ(st == EB_OK, fs.count == 0);
		    EXPECT_EQ(st == EB_OK, next != nullptr);
		    accepted += st == EB_OK;
		    eb_config_unref(next);
		    eb_findings_clear(&fs);
	    });
	EXPECT_LT(100, accepted);
	eb_config_unref(base);
	eb_config_unref(empty);
}

/* Guards against deep nesting that overflows the stack of the line scan. */
TEST_F(Fuzz, ReleaseNestedDeeply)
{
	const struct {
		const char *open;
		const char *close;
	} cases[] = { { "[", "]" }, { "{\"a\":", "}" } };

	for (const auto &c : cases)
		for (int depth : { 100, 2000, 100000 }) {
			std::string s = "{\"release\":1,\"release\":1,\"x\":";
			eb_findings fs = {};

			for (int i = 0; i < depth; i++)
				s += c.open;
			s += "1";
			for (int i = 0; i < depth; i++)
				s += c.close;
			EXPECT_NE(EB_OK, eb_release_check("n", (s + "}").data(),
							  s.size() + 1, &fs));
			EXPECT_NE(0u, fs.count);
			eb_findings_clear(&fs);
		}
}

/*
 * Guards against a malformed chart that crashes the parser, or is returned
 * although findings were reported.
 */
TEST_F(Fuzz, Chart)
{
	const char *const states[] = { "idle", "running", nullptr };
	const char *const events[] = { "admitted", "lost", nullptr };
	const char *const actions[] = { "none", "start", nullptr };
	const eb_chart_names names = { states, events, actions };
	const std::string seed = "# comment\nidle admitted -> running start\n"
				 "* lost -> = none\n";

	run({ seed, std::string(300, 'x') + " " + seed }, 50000, "*=->#\n \t",
	    [&](const char *p, size_t n) {
		    std::string text(p, n);
		    eb_findings fs = {};
		    eb_chart *ch =
			    eb_chart_parse("c", text.c_str(), &names, &fs);

		    EXPECT_EQ(ch == nullptr, fs.count != 0);
		    eb_chart_free(ch);
		    eb_findings_clear(&fs);
	    });
}

} // namespace
