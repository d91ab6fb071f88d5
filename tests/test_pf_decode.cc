#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "eb_home.h"
#include "pf_adapter.h"
#include "pf_cache.h"
#include "pf_decode.h"
}

namespace
{

struct item {
	std::string key;
	std::string value;
};

const item state = {
	"op/config",
	"{\"version\":7,\"routes\":{"
	"\"r-1\":{\"host\":\"a.example\",\"prefix\":\"/x/\",\"kind\":\"safe\","
	"\"timeoutMs\":1000,\"sloMs\":300,\"priority\":2,\"attempts\":2,"
	"\"split\":[{\"service\":\"near\",\"weight\":90},"
	"{\"service\":\"far\",\"weight\":10}]},"
	"\"r-2\":{\"host\":\"a.example\",\"prefix\":\"/y/\","
	"\"kind\":\"upload\",\"timeoutMs\":2500,\"sloMs\":400,"
	"\"priority\":1,\"attempts\":1,\"service\":\"far\"}},"
	"\"services\":{\"near\":{\"healthPath\":\"/health\"},"
	"\"far\":{\"healthPath\":\"/up\"}}}"
};

item entry(const std::string &id, const std::string &address,
	   const std::string &more = "", const std::string &service = "near",
	   const std::string &status = "ready")
{
	return { "servers/" + id, "{\"service\":\"" + service +
					  "\",\"address\":\"" + address +
					  "\",\"zone\":\"z1\",\"slots\":6,"
					  "\"state\":\"" +
					  status + "\"" + more + "}" };
}

/* Decodes items; the caller releases the configuration. */
eb_config *decode(const std::vector<item> &items, eb_log *lg = nullptr)
{
	pf_domain domains[] = { { (char *)"z1", (char *)"region-1" } };
	eb_feed_change ch = {};
	eb_settings se = {};
	pf_adapter ad = {};
	eb_config *cf;
	int changed;
	eb_feed *fd = eb_feed_new();

	ad.settings.domains = domains;
	ad.settings.domain_count = 1;
	se.daemon_address = (char *)"10.0.0.9:7000";
	ch.full = 1;
	ch.revision = 40;
	for (const item &it : items)
		eb_feed_change_add(&ch, it.key.c_str(), it.value.data(),
				   (uint32_t)it.value.size(), 5, 0);
	eb_feed_apply(fd, &ch, 0, &changed);
	cf = pf_decode(&ad.base, &se, fd, 0, lg);
	eb_feed_change_clear(&ch);
	eb_feed_free(fd);
	return cf;
}

/*
 * Guards against fields of the operator's state that are read as another field
 * or with a wrong default: an upload that counts as idempotent may run twice.
 */
TEST(PfDecode, StateOfTheOperator)
{
	eb_config *cf = decode({ state });
	const eb_match *x, *y;

	ASSERT_NE(nullptr, cf);
	EXPECT_EQ(7u, cf->release);
	x = eb_config_find_match(cf, "a.example", "/x/1");
	y = eb_config_find_match(cf, "a.example", "/y/1");
	ASSERT_TRUE(x && y);
	EXPECT_EQ(1, x->idempotent);
	EXPECT_EQ(0, y->idempotent) << "uploads run once";
	EXPECT_EQ(1000u, x->timeout_ms);
	EXPECT_EQ(300u, x->objective_ms);
	EXPECT_EQ(2, x->priority);
	EXPECT_EQ(2, x->attempts);
	ASSERT_EQ(2u, x->share_count);
	EXPECT_STREQ("near", cf->services[x->shares[0].service]->name);
	EXPECT_EQ(90u, x->shares[0].weight);
	ASSERT_EQ(1u, y->share_count);
	EXPECT_STREQ("far", cf->services[y->shares[0].service]->name);
	eb_config_unref(cf);
	EXPECT_EQ(nullptr, decode({ entry("i-1", "10.0.0.1:80") }));
	EXPECT_EQ(nullptr, decode({ { "op/config", "[" } }));
}

/*
 * Guards against home regions that cannot be read and are taken for none: the
 * route must serve nothing rather than serve everywhere.
 */
TEST(PfDecode, AllowedRegions)
{
	std::string many = "[\"x0\"";

	for (int i = 1; i < 70; i++)
		many += ",\"x" + std::to_string(i) + "\"";
	const struct {
		std::string value; /* "": absent */
		int restricted;
		uint32_t count;
		int allows_x1, allows_other;
	} cases[] = {
		{ "", 0, 0, 1, 1 },
		{ "null", 0, 0, 1, 1 },
		{ "[]", 0, 0, 1, 1 },
		{ "[\"x1\"]", 1, 1, 1, 0 },
		{ "[\"x0\",\"x1\"]", 1, 2, 1, 0 },
		{ many + "]", 1, 70, 1, 0 },
		{ "\"x1\"", 1, 0, 0, 0 },
		{ "7", 1, 0, 0, 0 },
		{ "{\"x1\":1}", 1, 0, 0, 0 },
		{ "[1,2]", 1, 0, 0, 0 },
		{ "[1,\"x1\"]", 1, 1, 1, 0 },
	};

	for (const auto &c : cases) {
		item st = state;
		const std::string at = "\"kind\":\"safe\"";

		SCOPED_TRACE(c.value);
		if (!c.value.empty())
			st.value.insert(st.value.find(at),
					"\"allowedRegions\":" + c.value + ",");
		eb_config *cf = decode({ st });
		ASSERT_NE(nullptr, cf);
		const eb_match *x =
			eb_config_find_match(cf, "a.example", "/x/1");
		const eb_match *y =
			eb_config_find_match(cf, "a.example", "/y/1");
		ASSERT_TRUE(x && y) << "nothing else is lost";
		EXPECT_EQ(c.restricted, x->restricted);
		EXPECT_EQ(c.count, x->regions.count);
		eb_home hm;
		eb_home_of(x, nullptr, &hm);
		EXPECT_EQ(c.allows_x1, eb_home_has(&hm, "x1"));
		EXPECT_EQ(c.allows_other, eb_home_has(&hm, "z"));
		EXPECT_EQ(0, y->restricted);
		eb_config_unref(cf);
	}
}

/*
 * Guards against a rate or a cold time that is malformed, contradictory or huge
 * and makes other values unreadable, lifts a limit, or sets one for ever.
 */
TEST(PfDecode, ColdRatesAndTimes)
{
	const struct {
		std::string value;
		uint32_t per_s_milli, cold_ms, rate_logs;
	} cases[] = {
		{ "0", 0, 0, 0 },
		{ "20", 20000, 20, 0 },
		{ "0.0001", 1, 0, 0 },
		{ "-5", 0, 0, 1 },
		{ "\"20\"", 0, 0, 1 },
		{ "[20]", 0, 0, 1 },
		{ "null", 0, 0, 0 },
		{ "5000000000", 0, 120000, 1 },
		{ "1e300", 0, 120000, 1 },
		{ "99999999999999999999", 0, 120000, 1 },
	};

	for (const auto &c : cases) {
		item st = state;
		const std::string at = "\"healthPath\":\"/health\"";
		FILE *file = tmpfile();
		eb_log *lg = eb_log_new(fileno(file), EB_LOG_ERROR);
		char line[1000];
		uint32_t logs = 0;

		SCOPED_TRACE(c.value);
		st.value.insert(st.value.find(at),
				"\"coldPerS\":" + c.value + ",");
		eb_config *cf =
			decode({ st, entry("i-1", "10.0.0.1:80",
					   ",\"coldLeftMs\":" + c.value) },
			       lg);
		eb_log_free(lg);
		rewind(file);
		while (fgets(line, sizeof(line), file))
			logs += strstr(line, "rate of cold") != nullptr;
		fclose(file);
		EXPECT_EQ(c.rate_logs, logs);
		ASSERT_NE(nullptr, cf);
		EXPECT_EQ(c.per_s_milli,
			  cf->services[eb_config_find_service(cf, "near")]
				  ->cold_per_s_milli);
		EXPECT_EQ(7u, cf->release);
		ASSERT_EQ(1u, cf->upstream_total);
		EXPECT_EQ(6u, cf->upstreams[0]->slots);
		EXPECT_EQ(c.cold_ms, cf->upstreams[0]->cold_ms);
		eb_config_unref(cf);
	}
}

/*
 * Guards against entries of other writers that count as evacuations, and
 * against an evacuation that is not read.
 */
TEST(PfDecode, Evacuations)
{
	const struct {
		item it;
		const char *domain; /* NULL: none */
	} cases[] = {
		{ { "op/evacuate/z1", "{}" }, "z1" },
		{ { "op/evacuate/z1", " {\"by\":\"x\"} " }, "z1" },
		{ { "op/evacuate/unknown", "{}" }, "unknown" },
		{ { "op/evacuate/z1", "" }, nullptr },
		{ { "op/evacuate/z1", "[]" }, nullptr },
		{ { "op/evacuate/z1", "{" }, nullptr },
		{ { "op/evacuate/z1", "\xff" }, nullptr },
		{ { "op/evacuate/", "{}" }, nullptr },
		{ { "op/evacuate/z1/", "{}" }, nullptr },
		{ { "op/evacuate/z 1", "{}" }, nullptr },
		{ { "op/evacuate/" + std::string(80, 'z'), "{}" }, nullptr },
	};

	for (const auto &c : cases) {
		eb_config *cf = decode({ state, c.it });

		ASSERT_NE(nullptr, cf) << c.it.key;
		ASSERT_EQ(c.domain ? 1u : 0u, cf->evacuated.count) << c.it.key;
		EXPECT_EQ(c.domain ? 0u : 1u, cf->evacuations_invalid);
		if (c.domain)
			EXPECT_STREQ(c.domain, cf->evacuated.items[0]);
		else
			EXPECT_EQ(c.it.key, cf->evacuation_invalid);
		eb_config_unref(cf);
	}
}

/*
 * Guards against invalid entries that become upstreams, and against a stale
 * entry that replaces the upstream now at its address: upstreams write the
 * entries themselves, and one of an earlier start may still be there.
 */
TEST(PfDecode, Entries)
{
	const struct {
		const char *name;
		std::vector<item> entries;
		const char *want; /* "NAME INSTANCE DAEMON leaving ..." */
	} cases[] = {
		{ "a whole one",
		  { entry("i-1", "10.0.0.1:80", ",\"born\":1000") },
		  "10.0.0.1-80 i-1 10.0.0.1:7000 stays " },
		{ "draining",
		  { entry("i-1", "10.0.0.1:80", "", "near", "draining") },
		  "10.0.0.1-80 i-1 10.0.0.1:7000 leaves " },
		{ "two starts at one address: the later one",
		  { entry("i-1", "10.0.0.1:80", ",\"born\":2000"),
		    entry("i-2", "10.0.0.1:80", ",\"born\":1000") },
		  "10.0.0.1-80 i-1 10.0.0.1:7000 stays " },
		{ "an unknown state",
		  { entry("i-1", "10.0.0.1:80", "", "near", "asleep") },
		  "" },
		{ "an unknown service",
		  { entry("i-1", "10.0.0.1:80", "", "other") },
		  "" },
		{ "an address that is none", { entry("i-1", "10.0.0.1") }, "" },
		{ "a start that is no whole number",
		  { entry("i-1", "10.0.0.1:80", ",\"born\":\"soon\"") },
		  "" },
		{ "no JSON beside a good one",
		  { { "servers/i-0", "\x01" }, entry("i-1", "10.0.0.1:80") },
		  "10.0.0.1-80 i-1 10.0.0.1:7000 stays " },
	};

	for (const auto &c : cases) {
		std::vector<item> all = c.entries;
		std::string got;

		all.push_back(state);
		eb_config *cf = decode(all);
		ASSERT_NE(nullptr, cf) << c.name;
		for (uint32_t i = 0; i < cf->upstream_total; i++) {
			const eb_upstream *up = cf->upstreams[i];

			got += std::string(up->name) + " " + up->instance +
			       " " + up->daemon +
			       (up->leaving ? " leaves " : " stays ");
			EXPECT_STREQ("region-1", up->region);
			EXPECT_STREQ("/health", up->probe_path);
			EXPECT_EQ(6u, up->slots);
		}
		EXPECT_EQ(c.want, got) << c.name;
		eb_config_unref(cf);
	}
}

/* What a configuration says, as text. */
std::string describe(const eb_config *cf)
{
	std::string out;

	if (!cf)
		return "none";
	out = "release " + std::to_string(cf->release) + " index " +
	      std::to_string(cf->index) + " burst " +
	      std::to_string(cf->rules[0]->retry_burst) + "\n";
	for (uint32_t i = 0; i < cf->match_count; i++)
		out += std::string(cf->matches[i].prefix) + " " +
		       std::to_string(cf->matches[i].timeout_ms) + "\n";
	for (uint32_t i = 0; i < cf->upstream_total; i++) {
		const eb_upstream *up = cf->upstreams[i];

		out += std::string(up->service_name) + " " + up->name + " " +
		       up->instance + " " + std::to_string(up->leaving) + " " +
		       std::to_string(cf->upstream_service[i]) + "\n";
	}
	return out;
}

/* A copy of the store, and an adapter that keeps what it decoded. */
struct cached_world {
	pf_domain domains[1] = { { (char *)"z1", (char *)"region-1" } };
	eb_settings se = {};
	pf_adapter cached = {}, plain = {};
	eb_feed *fd = eb_feed_new();
	uint64_t revision = 0;

	cached_world()
	{
		se.daemon_address = (char *)"10.0.0.9:7000";
		for (pf_adapter *ad : { &cached, &plain }) {
			ad->settings.domains = domains;
			ad->settings.domain_count = 1;
			ad->settings.retry_burst_total = 60;
		}
		cached.cache = pf_cache_new();
	}
	~cached_world()
	{
		pf_cache_free(cached.cache);
		eb_feed_free(fd);
	}
	void put(const item &it, bool removed = false)
	{
		eb_feed_change ch = {};
		int changed;

		ch.after = revision;
		ch.revision = revision + 1;
		eb_feed_change_add(&ch, it.key.c_str(), it.value.data(),
				   (uint32_t)it.value.size(), ++revision,
				   removed);
		EXPECT_EQ(EB_OK, eb_feed_apply(fd, &ch, 0, &changed));
		eb_feed_change_clear(&ch);
	}
	eb_config *decode(const pf_adapter &ad)
	{
		return pf_decode(&ad.base, &se, fd, 0, nullptr);
	}
};

/*
 * Guards against a configuration that keeps an upstream as it was before a
 * change: only the changed items are decoded again. In 40 histories of 60
 * changes, the result must equal that of an adapter that keeps nothing.
 */
TEST(PfDecode, KeptItemsGiveTheSameConfiguration)
{
	for (unsigned seed = 0; seed < 40; seed++) {
		std::mt19937 rand(seed);
		eb_config *before = nullptr;
		cached_world w;

		w.put({ state.key, state.value });
		for (int i = 0; i < 60; i++) {
			std::string n = std::to_string(rand() % 12);
			std::string ip = "10.0.0." +
					 std::to_string(1 + rand() % 8) + ":80";
			std::string born = ",\"born\":" +
					   std::to_string(rand() % 3 * 1000);

			switch (rand() % 10) {
			case 0:
				w.put({ state.key,
					rand() % 3 ? state.value : "[" });
				break;
			case 1:
			case 2:
				w.put(entry("i-" + n, ip), true);
				break;
			case 3:
				w.put({ "servers/i-" + n, "\x01" });
				break;
			default:
				w.put(entry("i-" + n, ip, born,
					    rand() % 2 ? "near" : "far",
					    rand() % 4 ? "ready" : "draining"));
			}
			eb_config *a = w.decode(w.cached);
			eb_config *b = w.decode(w.plain);

			ASSERT_EQ(describe(b), describe(a))
				<< "seed " << seed << " change " << i;
			eb_config_unref(b);
			/* The one in force stays valid beside the next one. */
			if (before)
				describe(before);
			eb_config_unref(before);
			before = a;
		}
		eb_config_unref(before);
	}
}

/*
 * Guards against work that grows with the fleet and the routes: a change of one
 * entry among hundreds must leave all other upstreams, and the matches, as they
 * are. On a VM with a tenth of a core, decoding all of them took 0.1 s for each
 * change of a release.
 */
TEST(PfDecode, AChangeOfOneEntryKeepsAllOthers)
{
	cached_world w;
	uint32_t kept = 0;

	w.put(state);
	for (int i = 0; i < 300; i++)
		w.put(entry("i-" + std::to_string(i),
			    "10.0." + std::to_string(i / 100) + "." +
				    std::to_string(i % 100) + ":80"));
	eb_config *a = w.decode(w.cached);
	w.put(entry("i-7", "10.0.0.7:80", "", "near", "draining"));
	eb_config *b = w.decode(w.cached);

	ASSERT_TRUE(a && b);
	ASSERT_EQ(300u, b->upstream_total);
	for (uint32_t i = 0; i < 300; i++)
		kept += a->upstreams[i] == b->upstreams[i];
	EXPECT_EQ(299u, kept);
	EXPECT_EQ(a->matches, b->matches);
	eb_config_unref(a);
	EXPECT_EQ(2u, b->match_count);
	EXPECT_STREQ("/x/", b->matches[0].prefix);
	eb_config_unref(b);
}

/*
 * Guards against a pace read from a load header that has none, or that does
 * not fit 16 bits.
 */
TEST(PfDecode, Pace)
{
	const struct {
		const char *value;
		uint16_t pace;
	} cases[] = {
		{ "3,0,8,100", 100 }, { "3,0,8,400", 400 },
		{ "3,0,8", 0 },	      { "", 0 },
		{ "3,0,8,x", 0 },     { "3,0,8,999999", 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.pace, pf_read_pace(c.value)) << c.value;
}

} // namespace
