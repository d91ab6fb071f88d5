#include "eb_fields.h"

#include <ctype.h>
#include <string.h>

#include "eb_check.h"
#include "eb_release.h"
#include "eb_tunables.h"

static const char *check_host(const char *text)
{
	const char *p;

	if (!*text || strlen(text) > 253)
		return "a host has 1 to 253 characters";
	for (p = text; *p; p++)
		if (!isalnum((unsigned char)*p) && !strchr(".-", *p))
			return "expected a host name or an IPv4 address, "
			       "without a port";
	return NULL;
}

static const char *check_prefix(const char *text)
{
	size_t n = strlen(text);
	const char *p;

	if (*text != '/')
		return "a path prefix begins with /";
	if (n > EB_TARGET_MAX_BYTES)
		return "the path prefix is too long";
	if (n > 1 && text[n - 1] == '/')
		return "a path prefix does not end with /";
	for (p = text; *p; p++)
		if (*p <= ' ' || *p > '~' || *p == '?' || *p == '#')
			return "a path prefix holds no query, space or control "
			       "character";
	return NULL;
}

static const char *check_key(const char *text)
{
	return *text ? eb_check_key(text) : NULL;
}

static const char *check_methods(const char *text)
{
	const char *p = text;
	size_t n;

	if (strlen(text) > 256)
		return "the list of methods is too long";
	while (*p) {
		n = strspn(p, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-");
		if (!n || (p[n] && p[n] != ' ') || (p[n] == ' ' && !p[n + 1]))
			return "expected methods in capitals, one space "
			       "between two";
		p += n + (p[n] == ' ');
	}
	return NULL;
}

#define AT(type, member) offsetof(struct type, member)

static const struct eb_field rule_fields[] = {
	{ "name", EB_FIELD_TEXT, 1, AT(eb_rule, name), .check = eb_check_name },
	{ "retry_permille", EB_FIELD_UINT, 0, AT(eb_rule, retry_permille),
	  .max = 1000, .value = EB_RULE_RETRY_PERMILLE },
	{ "queue", EB_FIELD_UINT, 0, AT(eb_rule, queue), .max = UINT16_MAX,
	  .value = EB_RULE_QUEUE },
	/* A daemon's whole control traffic is at most 24 KB/s. */
	{ "watch_bytes_per_s", EB_FIELD_UINT, 0, AT(eb_rule, watch_bytes_per_s),
	  .max = 24000, .value = EB_RULE_WATCH_BYTES_PER_S },
	{ "caller_rate_per_s", EB_FIELD_UINT, 0, AT(eb_rule, caller_rate_per_s),
	  .max = 1000000, .value = EB_RULE_CALLER_RATE_PER_S },
	{ "claims", EB_FIELD_BOOL, 0, AT(eb_rule, claims),
	  .value = EB_RULE_CLAIMS },
	{ "idempotent_methods", EB_FIELD_TEXT, 0,
	  AT(eb_rule, idempotent_methods), .text = EB_RULE_IDEMPOTENT_METHODS,
	  .check = check_methods },
	{ 0 }
};

static const struct eb_field match_fields[] = {
	{ "host", EB_FIELD_TEXT, 0, AT(eb_service, host), .check = check_host },
	{ "path_prefix", EB_FIELD_TEXT, 0, AT(eb_service, path_prefix),
	  .check = check_prefix },
	{ 0 }
};

static const struct eb_field service_fields[] = {
	{ "name", EB_FIELD_TEXT, 1, AT(eb_service, name),
	  .check = eb_check_name },
	{ "match", EB_FIELD_OBJECT, 1, 0, .members = match_fields },
	{ "deadline_ms", EB_FIELD_UINT, 0, AT(eb_service, deadline_ms),
	  .min = 1, .max = 3600000, .value = EB_DEADLINE_DEFAULT_MS },
	{ "rules", EB_FIELD_TEXT, 0, AT(eb_service, rule_name),
	  .check = eb_check_name },
	{ "regions", EB_FIELD_LIST, 0, AT(eb_service, regions),
	  .max = EB_RELEASE_SERVICE_REGIONS_MAX, .check = eb_check_name },
	{ 0 }
};

static const struct eb_field upstream_fields[] = {
	{ "name", EB_FIELD_TEXT, 1, AT(eb_upstream, name),
	  .check = eb_check_name },
	{ "service", EB_FIELD_TEXT, 1, AT(eb_upstream, service_name),
	  .check = eb_check_name },
	{ "address", EB_FIELD_TEXT, 1, AT(eb_upstream, address),
	  .check = eb_check_address },
	{ "daemon", EB_FIELD_TEXT, 1, AT(eb_upstream, daemon),
	  .check = eb_check_address },
	{ "key", EB_FIELD_KEY, 0, AT(eb_upstream, key), .check = check_key },
	{ "region", EB_FIELD_TEXT, 1, AT(eb_upstream, region),
	  .check = eb_check_name },
	{ "failure_domain", EB_FIELD_TEXT, 1, AT(eb_upstream, failure_domain),
	  .check = eb_check_name },
	{ "slots", EB_FIELD_UINT, 1, AT(eb_upstream, slots), .min = 1,
	  .max = UINT16_MAX },
	{ "connections", EB_FIELD_UINT, 1, AT(eb_upstream, connections),
	  .min = 1, .max = UINT16_MAX },
	{ 0 }
};

const struct eb_item_schema eb_item_schemas[EB_ITEM_KINDS] = {
	[EB_ITEM_RULE] = { "rule", "rules", rule_fields, EB_RELEASE_RULES_MAX },
	[EB_ITEM_SERVICE] = { "service", "services", service_fields,
			      EB_RELEASE_SERVICES_MAX },
	[EB_ITEM_UPSTREAM] = { "upstream", "upstreams", upstream_fields,
			       EB_RELEASE_UPSTREAMS_MAX },
};
