#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "eb_config.h"
#include "eb_release.h"
}

namespace
{

eb_config *apply_note(const eb_config *base, const std::string &text)
{
	eb_findings fs = {};
	eb_config *out = nullptr;

	EXPECT_EQ(EB_OK, eb_release_apply_text(base, text.data(), text.size(),
					       1, "note", &fs, &out));
	eb_findings_print(&fs, stderr);
	eb_findings_clear(&fs);
	return out;
}

eb_config *first(const std::string &text)
{
	eb_config *empty = eb_config_new_empty(),
		  *out = apply_note(empty, text);

	eb_config_unref(empty);
	return out;
}

std::string read_file(const char *name)
{
	std::stringstream out;

	out << std::ifstream(name).rdbuf();
	return out.str();
}

const char services[] = R"({ "release": 1, "builds_on": 0, "added": {
	"services": [
	{ "name": "all", "match": { "path_prefix": "/" } },
	{ "name": "agenda", "match": { "path_prefix": "/agenda" } },
	{ "name": "private", "match": { "path_prefix": "/agenda/private" } },
	{ "name": "host", "match": { "host": "a.example" } },
	{ "name": "host-agenda",
	  "match": { "host": "A.example", "path_prefix": "/agenda" } },
	{ "name": "ip", "match": { "host": "127.0.0.1" } } ] } })";

/* Guards against a request that is matched to the wrong service. */
TEST(Config, Match)
{
	const struct {
		const char *host;
		const char *path;
		const char *service;
	} cases[] = {
		{ nullptr, "/agenda", "agenda" },
		{ nullptr, "/agenda/", "agenda" },
		{ nullptr, "/agenda/1?x=/agenda/private", "agenda" },
		{ nullptr, "/agenda?x", "agenda" },
		{ nullptr, "/agenda#x", "agenda" },
		{ nullptr, "/agendas", "all" },
		{ nullptr, "/agend", "all" },
		{ nullptr, "/Agenda", "all" },
		{ nullptr, "/agenda/private", "private" },
		{ nullptr, "/agenda/private/x", "private" },
		{ nullptr, "/agenda/privately", "agenda" },
		{ nullptr, "/", "all" },
		{ "", "/", "all" },
		{ "b.example", "/", "all" },
		{ "a.example", "/", "host" },
		{ "A.EXAMPLE:8080", "/x", "host" },
		{ "a.example", "/agenda/private", "host-agenda" },
		{ "a.example.org", "/", "all" },
		{ "xa.example", "/", "all" },
		{ "127.0.0.1:80", "/agenda", "ip" },
		{ "[::1]:80", "/agenda", "agenda" },
		{ "[::1", "/agenda", "agenda" },
	};
	eb_config *cf = first(services);

	for (const auto &c : cases) {
		uint32_t i = eb_config_match(cf, c.host, c.path);

		ASSERT_NE(EB_NONE, i) << c.path;
		EXPECT_STREQ(c.service, cf->services[i]->name)
			<< (c.host ? c.host : "") << c.path;
	}
	eb_config_unref(cf);
}

/* Guards against a request that gets a service although none matches it. */
TEST(Config, NoMatch)
{
	eb_config *cf = first(R"({ "release": 1, "builds_on": 0, "added": {
		"services": [ { "name": "s",
				"match": { "path_prefix": "/s" } } ] } })");
	eb_config *empty = eb_config_new_empty();

	EXPECT_EQ(EB_NONE, eb_config_match(cf, nullptr, "/"));
	EXPECT_EQ(EB_NONE, eb_config_match(cf, nullptr, "*"));
	EXPECT_EQ(EB_NONE, eb_config_match(cf, nullptr, ""));
	EXPECT_EQ(EB_NONE, eb_config_match(empty, nullptr, "/s"));
	EXPECT_STREQ("default", eb_config_rule(empty, EB_NONE)->name);
	eb_config_unref(cf);
	eb_config_unref(empty);
}

/*
 * Guards against limits below the sizes of the two example configurations, and
 * against lookups by name that find the wrong item or none.
 */
TEST(Config, Examples)
{
	const struct {
		const char *file;
		uint32_t slots;
	} cases[] = { { "examples/hielos-1.json", 6 },
		      { "examples/karri-1.json", 10 } };

	for (const auto &c : cases) {
		eb_config *cf = first(read_file(c.file));

		ASSERT_NE(nullptr, cf) << c.file;
		ASSERT_EQ(3u, cf->service_total);
		ASSERT_EQ(18u, cf->upstream_total);
		for (uint32_t i = 0; i < 18; i++) {
			const eb_upstream *up = cf->upstreams[i];
			uint32_t sv = cf->upstream_service[i];

			EXPECT_EQ(i, eb_config_find_upstream(cf, up->name));
			EXPECT_EQ(sv,
				  eb_config_find_service(cf, up->service_name));
			EXPECT_LE(cf->service_first_upstream[sv], i);
			EXPECT_GT(cf->service_first_upstream[sv] +
					  cf->service_upstream_count[sv],
				  i);
			EXPECT_EQ(c.slots, up->slots);
			EXPECT_EQ(200u, up->connections);
			EXPECT_STREQ("", up->key);
		}
		EXPECT_EQ(EB_NONE, eb_config_find_upstream(cf, "none"));
		EXPECT_EQ(EB_NONE, eb_config_find_service(cf, ""));
		EXPECT_EQ(EB_NONE, eb_config_find_rule(cf, "zzz"));
		eb_config_unref(cf);
	}
}

/*
 * Guards against an item that is freed with the version it came from while a
 * later version shares it.
 */
TEST(Config, ItemsOutliveTheirVersion)
{
	eb_config *one = first(read_file("examples/hielos-1.json"));
	eb_config *two = apply_note(one, read_file("examples/hielos-2.json"));

	ASSERT_NE(nullptr, two);
	eb_config_unref(eb_config_ref(one));
	eb_config_unref(one);
	EXPECT_EQ(17u, two->upstream_total);
	EXPECT_EQ(EB_NONE, eb_config_find_upstream(two, "agenda-6"));
	for (uint32_t i = 0; i < two->upstream_total; i++)
		EXPECT_NE(0u, strlen(two->upstreams[i]->address));
	EXPECT_EQ(12u,
		  eb_config_rule(two, eb_config_find_service(two, "agenda"))
			  ->queue);
	eb_config_unref(two);
}

/* Guards against a request that gets the match of another path or host. */
TEST(Config, MatchesByHostAndLongestPrefix)
{
	const struct {
		const char *name;
		const char *host;
		const char *prefix;
	} matches[] = {
		{ "short", "a.example", "/x/" },
		{ "long", "a.example", "/x/y/" },
		{ "other", "b.example", "/x/" },
		{ "root", "c.example", "/" },
	};
	const struct {
		const char *host;
		const char *target;
		const char *want; /* NULL: none */
	} cases[] = {
		{ "a.example", "/x/", "short" },
		{ "a.example", "/x/1?q=/x/y/", "short" },
		{ "a.example", "/x/y/1", "long" },
		{ "A.Example:80", "/x/y/1", "long" },
		{ "a.example", "/x/y", "short" },
		{ "a.example", "/x", nullptr },
		{ "a.example", "/xy/", nullptr },
		{ "b.example", "/x/y/", "other" },
		{ "c.example", "/anything", "root" },
		{ "d.example", "/x/", nullptr },
		{ nullptr, "/x/", nullptr },
		{ "a.example", "/x?/y/", nullptr },
	};
	eb_config *cf = eb_config_new_empty();

	cf->has_matches = 1;
	cf->matches = (eb_match *)calloc(4, sizeof(*cf->matches));
	for (const auto &m : matches) {
		eb_match *mt = &cf->matches[cf->match_count++];

		mt->name = strdup(m.name);
		mt->host = strdup(m.host);
		mt->prefix = strdup(m.prefix);
	}
	for (const auto &c : cases) {
		const eb_match *mt = eb_config_find_match(cf, c.host, c.target);

		EXPECT_STREQ(c.want, mt ? mt->name : nullptr)
			<< (c.host ? c.host : "-") << " " << c.target;
	}
	eb_config_unref(cf);
}

/*
 * Guards against what was known of a start of an upstream being held against
 * the next one, which may have the same id, and being forgotten meanwhile.
 */
TEST(Config, StartsAreToldApart)
{
	const struct {
		const char *instance; /* NULL: none */
		uint64_t start_ms;
		const char *known;
		uint64_t known_ms;
		int other;
	} cases[] = {
		{ "i-1", 1000, "i-1", 1000, 0 },
		{ "i-2", 1000, "i-1", 1000, 1 },
		{ "i-1", 2000, "i-1", 1000, 1 },
		{ "i-1", 0, "i-1", 1000, 0 },
		{ "i-1", 1000, "i-1", 0, 0 },
		{ nullptr, 0, "", 0, 0 },
		{ nullptr, 0, "i-1", 0, 1 },
	};

	for (const auto &c : cases) {
		eb_upstream up = {};

		up.instance = (char *)c.instance;
		up.start_ms = c.start_ms;
		EXPECT_EQ(c.other,
			  eb_config_is_other_start(&up, c.known, c.known_ms))
			<< c.start_ms << " " << c.known << c.known_ms;
	}
}

} // namespace
