#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_release.h"
}

namespace
{

const char first_note[] = R"({
 "release": 1, "builds_on": 0, "note": "first",
 "added": {
  "rules": [ { "name": "fast", "queue": 8 }, { "name": "spare" } ],
  "services": [
   { "name": "agenda", "match": { "path_prefix": "/agenda" },
     "rules": "fast" },
   { "name": "vitrina", "match": { "path_prefix": "/vitrina" } } ],
  "upstreams": [
   { "name": "a-1", "service": "agenda", "address": "127.0.0.1:1",
     "daemon": "127.0.0.1:2", "region": "r", "failure_domain": "r-a",
     "slots": 6, "connections": 200 },
   { "name": "a-2", "service": "agenda", "address": "127.0.0.1:3",
     "daemon": "127.0.0.1:4", "region": "r", "failure_domain": "r-a",
     "slots": 6, "connections": 200 } ] } })";

std::vector<std::string> lines_of(const eb_findings &fs)
{
	std::vector<std::string> out;

	for (uint32_t i = 0; i < fs.count; i++)
		out.push_back(std::string(fs.items[i].source) + ":" +
			      std::to_string(fs.items[i].line) + ": " +
			      fs.items[i].field + ": " + fs.items[i].reason);
	return out;
}

eb_status apply(const eb_config *base, const std::string &text, eb_findings *fs,
		eb_config **out)
{
	return eb_release_apply_text(base, text.data(), text.size(), 1, "n", fs,
				     out);
}

class Release : public testing::Test
{
protected:
	void SetUp() override
	{
		eb_config *empty = eb_config_new_empty();

		ASSERT_EQ(EB_OK, apply(empty, first_note, &fs, &base));
		eb_config_unref(empty);
	}

	void TearDown() override
	{
		eb_config_unref(base);
		eb_findings_clear(&fs);
	}

	eb_findings fs = {};
	eb_config *base = nullptr;
};

/* Guards against items that are lost, unsorted or linked to the wrong item. */
TEST_F(Release, FirstNote)
{
	ASSERT_EQ(2u, base->upstream_total);
	ASSERT_EQ(2u, base->service_total);
	EXPECT_EQ(1u, base->release);
	EXPECT_EQ(1u, base->index);
	EXPECT_EQ(0u, base->service_first_upstream[0]);
	EXPECT_EQ(2u, base->service_upstream_count[0]);
	EXPECT_EQ(0u, base->service_upstream_count[1]);
	EXPECT_EQ(0u, base->upstream_service[1]);
	EXPECT_EQ(8u, eb_config_rule(base, 0)->queue);
	EXPECT_EQ(30000u, base->services[0]->deadline_ms);
	EXPECT_STREQ("", base->upstreams[0]->key);
}

/* Guards against defaults that differ from the documented ones. */
TEST_F(Release, DefaultRule)
{
	const eb_rule *rules[] = {
		eb_config_rule(base, 1),
		base->rules[eb_config_find_rule(base, "spare")]
	};

	for (const eb_rule *r : rules) {
		EXPECT_EQ(100u, r->retry_permille);
		EXPECT_EQ(64u, r->queue);
		EXPECT_EQ(2048u, r->watch_bytes_per_s);
		EXPECT_EQ(0u, r->caller_rate_per_s);
		EXPECT_EQ(1u, r->claims);
		EXPECT_STREQ("GET HEAD OPTIONS PUT DELETE TRACE",
			     r->idempotent_methods);
	}
}

/*
 * Guards against a note that changes an older version, since versions share
 * their items, and against copies of items that a note does not change.
 */
TEST_F(Release, VersionsShareWhatDidNotChange)
{
	eb_config *next = nullptr;
	const char note[] = R"({ "release": 2, "builds_on": 1,
		"added": { "rules": [ { "name": "aaa" } ] },
		"changed": { "upstreams": [ { "name": "a-1", "slots": 9 } ] },
		"withdrawn": { "rules": [ "spare" ] } })";

	ASSERT_EQ(EB_OK, apply(base, note, &fs, &next));
	EXPECT_EQ(base->upstreams[1], next->upstreams[1]);
	EXPECT_EQ(base->services[1], next->services[1]);
	EXPECT_NE(base->upstreams[0], next->upstreams[0]);
	EXPECT_EQ(6u, base->upstreams[0]->slots);
	EXPECT_EQ(9u, next->upstreams[0]->slots);
	EXPECT_EQ(200u, next->upstreams[0]->connections);
	/* "fast" moved from index 0 to 1 in the new version only. */
	EXPECT_STREQ("fast", eb_config_rule(base, 0)->name);
	EXPECT_STREQ("fast", eb_config_rule(next, 0)->name);
	EXPECT_NE(base->digest, next->digest);
	eb_config_unref(base);
	base = next;
	EXPECT_EQ(8u, eb_config_rule(base, 0)->queue);
}

/* Guards against an optional field that null does not reset. */
TEST_F(Release, NullInAChangeRestoresTheDefault)
{
	eb_config *next = nullptr;
	const char note[] = R"({ "release": 2, "builds_on": 1, "changed": {
		"services": [ { "name": "agenda", "rules": null } ],
		"rules": [ { "name": "fast", "queue": null } ] } })";

	ASSERT_EQ(EB_OK, apply(base, note, &fs, &next));
	EXPECT_STREQ("default", eb_config_rule(next, 0)->name);
	EXPECT_EQ(64u, next->rules[0]->queue);
	eb_config_unref(next);
}

/*
 * Guards against regions of a service that are lost by a note that does not
 * change them, or shared with an older version that is then changed.
 */
TEST_F(Release, RegionsOfAService)
{
	const char *region = base->upstreams[0]->region;
	const std::string notes[] = {
		std::string(R"({ "release": 2, "builds_on": 1, "changed": {
			"services": [ { "name": "agenda", "regions": [ ")") +
			region + "\" ] } ] } }",
		R"({ "release": 3, "builds_on": 2, "changed": {
			"services": [ { "name": "agenda",
			"deadline_ms": 7 } ] } })",
		R"({ "release": 4, "builds_on": 3, "changed": {
			"services": [ { "name": "agenda",
			"regions": null } ] } })",
	};
	const uint32_t want[] = { 1, 1, 0 };
	eb_config *next = nullptr;

	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(EB_OK, apply(base, notes[i], &fs, &next)) << i;
		eb_config_unref(base);
		base = next;
		eb_texts *ts = &base->services[0]->regions;
		ASSERT_EQ(want[i], ts->count) << i;
		EXPECT_EQ(want[i] != 0, eb_texts_has(ts, region));
	}
}

/*
 * Guards against daemons with different digests after the same notes, when
 * the texts that they read differ in layout.
 */
TEST_F(Release, DigestIgnoresLayout)
{
	const char *notes[] = {
		"{\"release\":2,\"builds_on\":1}",
		"{ \"builds_on\": 1,\n \"release\": 2 }",
		"{\"release\":2,\"builds_on\":1,\"note\":\"other\"}",
	};
	uint64_t digests[3];

	for (int i = 0; i < 3; i++) {
		eb_config *next = nullptr;

		ASSERT_EQ(EB_OK, apply(base, notes[i], &fs, &next));
		digests[i] = next->digest;
		eb_config_unref(next);
	}
	EXPECT_EQ(digests[0], digests[1]);
	EXPECT_NE(digests[0], digests[2]);
}

struct bad_note {
	const char *name;
	std::string note; /* applied to first_note */
	std::vector<std::string> findings;
};

std::string wrap(const std::string &rest)
{
	return "{\"release\":2,\"builds_on\":1,\n" + rest + "}";
}

std::string upstream(const std::string &fields)
{
	return wrap("\"added\":{\"upstreams\":[\n{\"name\":\"b\",\"service\":"
		    "\"agenda\",\"address\":\"127.0.0.1:9\",\"daemon\":"
		    "\"127.0.0.1:10\",\"region\":\"r\",\"failure_domain\":"
		    "\"d\",\"slots\":1,\"connections\":1,\n" +
		    fields + "}]}");
}

const bad_note bad_notes[] = {
	{ "not JSON",
	  "{\n,}",
	  { "n:2: note: string or '}' expected near ','" } },
	{ "empty", "", { "n:0: note: the note is empty" } },
	{ "not an object", "\n[]", { "n:2: note: expected an object" } },
	{ "no fields",
	  "{}",
	  { "n:1: builds_on: expected a non-negative integer",
	    "n:1: release: expected a positive integer" } },
	{ "wrong base",
	  "{\"release\":9,\n\"builds_on\":8}",
	  { "n:2: builds_on: release 1 is in force, not 8" } },
	{ "release not above its base",
	  "{\"release\":1,\"builds_on\":1}",
	  { "n:1: release: expected a number above builds_on" } },
	{ "release as a real number",
	  "{\"release\":2.5,\"builds_on\":1}",
	  { "n:1: release: expected a positive integer" } },
	{ "unknown fields",
	  wrap("\"relase\":1,\n\"added\":{\"hosts\":[]}"),
	  { "n:2: relase: unknown field", "n:3: added.hosts: unknown field" } },
	{ "unknown field of an item",
	  wrap("\"added\":{\"rules\":[{\"name\":\"x\",\n\"qeue\":1}]}"),
	  { "n:3: added.rules[0].qeue: unknown field" } },
	{ "control characters do not reach the terminal",
	  wrap("\"\\u001b[2J\":1"),
	  { "n:2: ?[2J: unknown field" } },
	{ "repeated fields",
	  wrap("\"added\":{\"rules\":[{\"name\":\"x\",\n\"queue\":1,\n"
	       "\"queue\":70000}]},\n\"note\":\"\",\"note\":\"\""),
	  { "n:4: added.rules[0].queue: expected 0 to 65535, not 70000",
	    "n:4: added.rules[0].queue: this field appears twice",
	    "n:5: note: this field appears twice" } },
	{ "wrong containers",
	  wrap("\"added\":[],\n\"changed\":{\"rules\":{}},\n"
	       "\"withdrawn\":{\"rules\":[1]}"),
	  { "n:2: added: expected an object",
	    "n:3: changed.rules: expected an array",
	    "n:4: withdrawn.rules[0]: expected a name" } },
	{ "wrong types",
	  wrap("\"added\":{\"rules\":[{\"name\":\"x\",\n\"queue\":\"1\",\n"
	       "\"claims\":1,\n\"idempotent_methods\":[]},\n3,{}]}"),
	  { "n:3: added.rules[0].queue: expected an integer",
	    "n:4: added.rules[0].claims: expected true or false",
	    "n:5: added.rules[0].idempotent_methods: expected a string",
	    "n:6: added.rules[1]: expected an object",
	    "n:6: added.rules[2].name: a name is required" } },
	{ "values out of range",
	  wrap("\"added\":{\"rules\":[{\"name\":\"x\",\n"
	       "\"retry_permille\":1001,\n\"queue\":-1,\n"
	       "\"watch_bytes_per_s\":24001}]}"),
	  { "n:3: added.rules[0].retry_permille: expected 0 to 1000, not 1001",
	    "n:4: added.rules[0].queue: expected 0 to 65535, not -1",
	    "n:5: added.rules[0].watch_bytes_per_s: "
	    "expected 0 to 24000, not 24001" } },
	{ "names",
	  wrap("\"added\":{\"rules\":[{\"name\":\"a b\"},\n"
	       "{\"name\":\"\"}]}"),
	  { "n:2: added.rules[0].name: a name consists of A-Z a-z 0-9 . _ -",
	    "n:3: added.rules[1].name: a name has 1 to 47 characters" } },
	{ "methods",
	  wrap("\"changed\":{\"rules\":[{\"name\":\"fast\",\n"
	       "\"idempotent_methods\":\"GET,PUT\"}]}"),
	  { "n:3: changed.rules[0].idempotent_methods: "
	    "expected methods in capitals, one space between two" } },
	{ "address without a port",
	  upstream("\"address\":\"127.0.0.1\""),
	  { "n:4: added.upstreams[0].address: expected IP:port",
	    "n:4: added.upstreams[0].address: this field appears twice" } },
	{ "key",
	  upstream("\"key\":\"short\""),
	  { "n:4: added.upstreams[0].key: "
	    "expected a CURVE key, Z85 of 40 characters" } },
	{ "shared address and daemon",
	  upstream("\"key\":\"\"},{\"name\":\"c\",\"service\":\"agenda\",\n"
		   "\"address\":\"127.0.0.1:9\",\n\"daemon\":\"127.0.0.1:2\","
		   "\"region\":\"r\",\"failure_domain\":\"d\",\"slots\":1,"
		   "\"connections\":1"),
	  { "n:5: added.upstreams[1].address: the same as that of upstream "
	    "\"b\"",
	    "n:6: added.upstreams[1].daemon: "
	    "the same as that of upstream \"a-1\"" } },
	{ "missing fields",
	  wrap("\"added\":{\"services\":[{\"name\":\"s\"}],\"upstreams\":[\n"
	       "{\"name\":\"u\",\"service\":\"agenda\","
	       "\"address\":\"127.0.0.1:9\",\"daemon\":\"127.0.0.1:10\","
	       "\"region\":\"r\",\"failure_domain\":\"d\",\"slots\":0}]}"),
	  { "n:2: added.services[0].match: this field is required",
	    "n:3: added.upstreams[0].connections: this field is required",
	    "n:3: added.upstreams[0].slots: expected 1 to 65535, not 0" } },
	{ "match",
	  wrap("\"added\":{\"services\":[\n{\"name\":\"s\",\"match\":{}},\n"
	       "{\"name\":\"t\",\"match\":{\"path_prefix\":\"x\","
	       "\"host\":\"a:80\"}},\n"
	       "{\"name\":\"u\",\"match\":{\"path_prefix\":\"/agenda\"}}]}"),
	  { "n:3: added.services[0].match: expected at least one field",
	    "n:4: added.services[1].match.host: expected a host name or an "
	    "IPv4 address, without a port",
	    "n:4: added.services[1].match.path_prefix: "
	    "a path prefix begins with /",
	    "n:5: added.services[2].match: the same as that of service "
	    "\"agenda\"" } },
	{ "duplicates and dangling names",
	  wrap("\"added\":{\"rules\":[{\"name\":\"fast\"}]},\n"
	       "\"changed\":{\"rules\":[{\"name\":\"none\"}],\n\"services\":["
	       "{\"name\":\"agenda\",\"rules\":\"nowhere\"}],\n\"upstreams\":["
	       "{\"name\":\"a-1\",\"service\":\"gone\"}]},\n"
	       "\"withdrawn\":{\"upstreams\":[\"a-1\",\"a-9\"]}"),
	  { "n:2: added.rules[0].name: \"fast\" exists already",
	    "n:3: changed.rules[0].name: there is no \"none\"",
	    "n:4: changed.services[0].rules: there is no rule \"nowhere\"",
	    "n:5: changed.upstreams[0].service: there is no service \"gone\"",
	    "n:6: withdrawn.upstreams[0]: \"a-1\" appears twice in this note",
	    "n:6: withdrawn.upstreams[1]: there is no \"a-9\"" } },
	{ "regions",
	  wrap("\"added\":{\"services\":[\n"
	       "{\"name\":\"s\",\"match\":{\"path_prefix\":\"/s\"},"
	       "\"regions\":[]},\n"
	       "{\"name\":\"t\",\"match\":{\"path_prefix\":\"/t\"},"
	       "\"regions\":\"eu\"},\n"
	       "{\"name\":\"u\",\"match\":{\"path_prefix\":\"/u\"},"
	       "\"regions\":[\"nowhere\",\n1,\n\"a b\"]}]},\n"
	       "\"changed\":{\"services\":[{\"name\":\"agenda\","
	       "\"regions\":[\"gone\",\n\"gone\"]}]}"),
	  { "n:3: added.services[0].regions: "
	    "expected an array of 1 to 63 strings",
	    "n:4: added.services[1].regions: "
	    "expected an array of 1 to 63 strings",
	    "n:5: added.services[2].regions[0]: "
	    "no upstream is in region \"nowhere\"",
	    "n:6: added.services[2].regions[1]: expected a string",
	    "n:7: added.services[2].regions[2]: "
	    "a name consists of A-Z a-z 0-9 . _ -",
	    "n:8: changed.services[0].regions[0]: "
	    "no upstream is in region \"gone\"",
	    "n:9: changed.services[0].regions[1]: "
	    "appears twice in this list",
	    "n:9: changed.services[0].regions[1]: "
	    "no upstream is in region \"gone\"" } },
	{ "withdrawn but in use",
	  wrap("\"withdrawn\":{\"rules\":[\"spare\",\n\"fast\"],\n"
	       "\"services\":[\"vitrina\",\n\"agenda\"]}"),
	  { "n:5: withdrawn.services[1]: still in use by upstream \"a-1\"",
	    "n:5: withdrawn.services[1]: still in use by upstream \"a-2\"" } },
	{ "withdrawn rule in use",
	  wrap("\"withdrawn\":{\"rules\":[\"spare\",\n\"fast\"]}"),
	  { "n:3: withdrawn.rules[1]: still in use by service \"agenda\"" } },
};

/*
 * Guards against a wrong note that is applied, a fault without a finding, and
 * a finding with the wrong line or field.
 */
TEST_F(Release, WrongNotes)
{
	for (const bad_note &c : bad_notes) {
		eb_config *next = nullptr;

		EXPECT_NE(EB_OK, apply(base, c.note, &fs, &next)) << c.name;
		EXPECT_EQ(nullptr, next) << c.name;
		EXPECT_EQ(c.findings, lines_of(fs)) << c.name;
		eb_findings_clear(&fs);
	}
}

/*
 * Guards against a note that is accepted as JSON, as a daemon reads it, and
 * rejected as text, as the tool reads it, or the reverse.
 */
TEST_F(Release, JsonAndTextAgree)
{
	for (const bad_note &c : bad_notes) {
		eb_config *next = nullptr;
		json_t *js = eb_release_parse("n", c.note.data(), c.note.size(),
					      &fs);

		if (js) {
			EXPECT_EQ(EB_EINVAL, eb_release_apply(base, js, 2, "n",
							      &fs, &next))
				<< c.name;
		}
		EXPECT_NE(0u, fs.count) << c.name;
		json_decref(js);
		eb_findings_clear(&fs);
	}
}

/*
 * Guards against a check that needs the release a note builds on, which the
 * tool does not have.
 */
TEST_F(Release, CheckByItself)
{
	const struct {
		std::string note;
		std::vector<std::string> findings;
	} cases[] = {
		{ first_note, {} },
		{ wrap("\"changed\":{\"rules\":[{\"name\":\"q\"}]},"
		       "\"withdrawn\":{\"services\":[\"z\"]}"),
		  {} },
		{ wrap("\"changed\":{\"rules\":[{\"name\":\"q\",\n"
		       "\"queue\":true}]}"),
		  { "n:3: changed.rules[0].queue: expected an integer" } },
		{ "{\"release\":1,\"builds_on\":0,\n"
		  "\"withdrawn\":{\"rules\":[\"x\"]}}",
		  { "n:2: withdrawn.rules[0]: there is no \"x\"" } },
	};

	for (const auto &c : cases) {
		eb_status st = eb_release_check("n", c.note.data(),
						c.note.size(), &fs);

		EXPECT_EQ(c.findings.empty(), st == EB_OK) << c.note;
		EXPECT_EQ(c.findings, lines_of(fs)) << c.note;
		eb_findings_clear(&fs);
	}
}

/* Guards against a note that is too large for the platform to store. */
TEST_F(Release, TooLong)
{
	std::string note(EB_RELEASE_NOTE_MAX_BYTES + 1, ' ');
	eb_config *next = nullptr;

	EXPECT_EQ(EB_EPARSE, apply(base, note, &fs, &next));
	EXPECT_EQ(1u, fs.count);
}

/* Guards against unbounded memory for the findings of one note. */
TEST_F(Release, FindingsAreBounded)
{
	std::string note = "{\"release\":2,\"builds_on\":1,\"withdrawn\":"
			   "{\"rules\":[1";
	eb_config *next = nullptr;

	for (int i = 0; i < 2 * EB_FINDINGS_MAX; i++)
		note += ",1";
	EXPECT_EQ(EB_EINVAL, apply(base, note + "]}}", &fs, &next));
	EXPECT_EQ((uint32_t)EB_FINDINGS_MAX, fs.count);
	EXPECT_EQ((uint32_t)EB_FINDINGS_MAX + 1, fs.dropped);
}

} // namespace
