#include "eb_config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_test_off.h"

/* The first members of each kind of item. */
struct item {
	int32_t refs;
	char *name;
};

struct kind_info {
	size_t bytes;
	size_t texts[10]; /* offsets of owned strings; ends with 0 */
	size_t list;	  /* offset of a struct eb_texts, or 0 */
};

static const struct kind_info kinds[EB_ITEM_KINDS] = {
	[EB_ITEM_RULE] = { sizeof(struct eb_rule),
			   { offsetof(struct eb_rule, name),
			     offsetof(struct eb_rule, idempotent_methods) } },
	[EB_ITEM_SERVICE] = { sizeof(struct eb_service),
			      { offsetof(struct eb_service, name),
				offsetof(struct eb_service, host),
				offsetof(struct eb_service, path_prefix),
				offsetof(struct eb_service, rule_name),
				offsetof(struct eb_service, probe_path) },
			      offsetof(struct eb_service, regions) },
	[EB_ITEM_UPSTREAM] = { sizeof(struct eb_upstream),
			       { offsetof(struct eb_upstream, name),
				 offsetof(struct eb_upstream, service_name),
				 offsetof(struct eb_upstream, address),
				 offsetof(struct eb_upstream, daemon),
				 offsetof(struct eb_upstream, region),
				 offsetof(struct eb_upstream, instance),
				 offsetof(struct eb_upstream, probe_path),
				 offsetof(struct eb_upstream,
					  failure_domain) } },
};

/* Writable only because the members of the struct are not const. */
static char default_name[] = "default";
static char default_methods[] = EB_RULE_IDEMPOTENT_METHODS;

static const struct eb_rule default_rule = {
	.refs = 1,
	.name = default_name,
	.retry_permille = EB_RULE_RETRY_PERMILLE,
	.queue = EB_RULE_QUEUE,
	.watch_bytes_per_s = EB_RULE_WATCH_BYTES_PER_S,
	.caller_rate_per_s = EB_RULE_CALLER_RATE_PER_S,
	.claims = EB_RULE_CLAIMS,
	.idempotent_methods = default_methods,
};

/* Creates an empty item with one reference; NULL when out of memory. */
void *eb_config_item_new(enum eb_item_kind kind)
{
	struct item *it = calloc(1, kinds[kind].bytes);

	if (it)
		it->refs = 1;
	return it;
}

/* Appends a copy of a string. Returns EB_ENOMEM, with the list unchanged. */
enum eb_status eb_texts_add(struct eb_texts *ts, const char *text)
{
	char **items = realloc(ts->items, (ts->count + 1) * sizeof(*items));

	if (!items)
		return EB_ENOMEM;
	ts->items = items;
	items[ts->count] = strdup(text);
	if (!items[ts->count])
		return EB_ENOMEM;
	ts->count++;
	return EB_OK;
}

/* Frees the strings and empties the list. */
void eb_texts_clear(struct eb_texts *ts)
{
	uint32_t i;

	for (i = 0; i < ts->count; i++)
		free(ts->items[i]);
	free(ts->items);
	memset(ts, 0, sizeof(*ts));
}

/* Tells whether a list contains a string. */
int eb_texts_has(const struct eb_texts *ts, const char *text)
{
	uint32_t i;

	for (i = 0; i < ts->count; i++)
		if (!strcmp(ts->items[i], text))
			return 1;
	return 0;
}

/* Replaces a list that shares its strings by a copy; -1 without memory. */
static int own_texts(struct eb_texts *ts)
{
	struct eb_texts from = *ts;
	uint32_t i;

	memset(ts, 0, sizeof(*ts));
	for (i = 0; i < from.count; i++)
		if (eb_texts_add(ts, from.items[i]))
			return -1;
	return 0;
}

/* Copies an item and its strings; returns NULL when out of memory. */
void *eb_config_item_copy(enum eb_item_kind kind, const void *item)
{
	const struct kind_info *in = &kinds[kind];
	char *copy = malloc(in->bytes);
	char **text;
	int i, failed = 0;

	if (!copy)
		return NULL;
	memcpy(copy, item, in->bytes);
	((struct item *)copy)->refs = 1;
	for (i = 0; in->texts[i]; i++) {
		text = (char **)(copy + in->texts[i]);
		if (!*text)
			continue;
		*text = strdup(*text);
		failed |= !*text;
	}
	if (in->list)
		failed |= own_texts((struct eb_texts *)(copy + in->list)) != 0;
	if (!failed)
		return copy;
	eb_config_item_unref(kind, copy);
	return NULL;
}

/* Takes a reference; from any thread. */
void *eb_config_item_ref(void *item)
{
	__atomic_add_fetch(&((struct item *)item)->refs, 1, __ATOMIC_RELAXED);
	return item;
}

/* Drops a reference and frees the item with the last one. */
void eb_config_item_unref(enum eb_item_kind kind, void *item)
{
	const struct kind_info *in = &kinds[kind];
	struct item *it = item;
	int i;

	if (!it || __atomic_sub_fetch(&it->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (i = 0; in->texts[i]; i++)
		free(*(char **)((char *)item + in->texts[i]));
	if (in->list)
		eb_texts_clear((struct eb_texts *)((char *)item + in->list));
	free(item);
}

/*
 * Creates the configuration before any note: release 0, no items. Returns
 * NULL when out of memory.
 */
struct eb_config *eb_config_new_empty(void)
{
	struct eb_config *cf = calloc(1, sizeof(*cf));

	if (cf)
		cf->refs = 1;
	return cf;
}

/* Takes a reference; from any thread. */
struct eb_config *eb_config_ref(struct eb_config *cf)
{
	__atomic_add_fetch(&cf->refs, 1, __ATOMIC_RELAXED);
	return cf;
}

static void free_matches(struct eb_config *cf)
{
	uint32_t i;

	for (i = 0; i < cf->match_count; i++) {
		free(cf->matches[i].name);
		free(cf->matches[i].host);
		free(cf->matches[i].prefix);
		eb_texts_clear(&cf->matches[i].regions);
	}
	free(cf->matches);
}

/*
 * Makes `cf` use the rules, services and matches of `base`, which has no
 * upstreams. The rules are copied, as they may be changed. Returns EB_ENOMEM;
 * `cf` can only be freed then.
 */
enum eb_status eb_config_extend(struct eb_config *cf, struct eb_config *base)
{
	uint32_t i;

	cf->release = base->release;
	cf->has_matches = base->has_matches;
	cf->matches = base->matches;
	cf->match_count = base->match_count;
	cf->matches_owner = eb_config_ref(base);
	cf->rules = calloc(base->rule_count + 1, sizeof(*cf->rules));
	cf->services = calloc(base->service_total + 1, sizeof(*cf->services));
	if (!cf->rules || !cf->services)
		return EB_ENOMEM;
	for (i = 0; i < base->rule_count; i++) {
		cf->rules[i] =
			eb_config_item_copy(EB_ITEM_RULE, base->rules[i]);
		if (!cf->rules[i])
			return EB_ENOMEM;
		cf->rule_count++;
	}
	for (i = 0; i < base->service_total; i++)
		cf->services[i] = eb_config_item_ref(base->services[i]);
	cf->service_total = base->service_total;
	return EB_OK;
}

/*
 * Drops a reference. The last one frees the configuration and the items that
 * no other version shares.
 */
void eb_config_unref(struct eb_config *cf)
{
	uint32_t i;

	if (!cf || __atomic_sub_fetch(&cf->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (i = 0; i < cf->rule_count; i++)
		eb_config_item_unref(EB_ITEM_RULE, cf->rules[i]);
	for (i = 0; i < cf->service_total; i++)
		eb_config_item_unref(EB_ITEM_SERVICE, cf->services[i]);
	for (i = 0; i < cf->upstream_total; i++)
		eb_config_item_unref(EB_ITEM_UPSTREAM, cf->upstreams[i]);
	if (cf->matches_owner)
		eb_config_unref(cf->matches_owner);
	else
		free_matches(cf);
	eb_texts_clear(&cf->evacuated);
	free(cf->evacuation_invalid);
	free(cf->rules);
	free(cf->services);
	free(cf->upstreams);
	free(cf->upstream_service);
	free(cf->service_first_upstream);
	free(cf->service_upstream_count);
	free(cf);
}

/* Returns the index of an upstream by its name, or EB_NONE. */
uint32_t eb_config_find_upstream(const struct eb_config *cf, const char *name)
{
	uint32_t i;

	for (i = 0; i < cf->upstream_total; i++)
		if (!strcmp(cf->upstreams[i]->name, name))
			return i;
	return EB_NONE;
}

/* Returns the index of an item in a list sorted by name, or EB_NONE. */
static uint32_t find_sorted(const void *items, uint32_t count, const char *name)
{
	const struct item *const *list = items;
	uint32_t low = 0, high = count, mid;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(name, list[mid]->name);
		if (!order)
			return mid;
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return EB_NONE;
}

/*
 * Tells whether an upstream is another start than the one with this instance
 * and time of start. An upstream may start again under the instance that it
 * had.
 */
int eb_config_is_other_start(const struct eb_upstream *up, const char *instance,
			     uint64_t start_ms)
{
	if (strcmp(up->instance ? up->instance : "", instance) != 0)
		return 1;
	return up->start_ms && start_ms && up->start_ms != start_ms;
}

/* Tells whether the operator has evacuated a failure domain. */
int eb_config_is_evacuated(const struct eb_config *cf,
			   const char *failure_domain)
{
	return !eb_test_off("placement") &&
	       eb_texts_has(&cf->evacuated, failure_domain);
}

/* Returns the index of a service by its name, or EB_NONE. */
uint32_t eb_config_find_service(const struct eb_config *cf, const char *name)
{
	return find_sorted(cf->services, cf->service_total, name);
}

/* Returns the index of a rule by its name, or EB_NONE. */
uint32_t eb_config_find_rule(const struct eb_config *cf, const char *name)
{
	return find_sorted(cf->rules, cf->rule_count, name);
}

/* Returns the rule of a service, or the default rule; never NULL. */
const struct eb_rule *eb_config_rule(const struct eb_config *cf,
				     uint32_t service)
{
	if (service >= cf->service_total ||
	    cf->services[service]->rule == EB_NONE)
		return &default_rule;
	return cf->rules[cf->services[service]->rule];
}

/* Returns the length of a host without its port. */
static size_t host_length(const char *host)
{
	const char *end;

	if (*host == '[') {
		end = strchr(host, ']');
		return end ? (size_t)(end - host) + 1 : strlen(host);
	}
	return strcspn(host, ":");
}

/*
 * Returns how many bytes of the path a prefix covers, or -1 when it does not
 * match. A prefix covers whole segments: /agenda is no prefix of /agendas.
 */
static int64_t match_prefix(const char *prefix, const char *path)
{
	size_t n = 0;

	while (prefix[n] && prefix[n] == path[n])
		n++;
	/* Only a slash at its end may be missing in the path. */
	if (prefix[n] && (prefix[n] != '/' || prefix[n + 1]))
		return -1;
	while (n && prefix[n - 1] == '/')
		n--;
	if (path[n] && path[n] != '/' && path[n] != '?' && path[n] != '#')
		return -1;
	return (int64_t)n;
}

/*
 * Returns the service of a request, or EB_NONE. `host` is the value of the
 * Host header, whose port and case are ignored, or NULL; `path` may end with
 * a query. A service with the request's host takes precedence over one
 * without a host, then the longest path prefix wins.
 */
uint32_t eb_config_match(const struct eb_config *cf, const char *host,
			 const char *path)
{
	size_t n = host ? host_length(host) : 0;
	uint32_t i, best = EB_NONE;
	int64_t score, best_score = -1;
	const struct eb_service *sv;

	for (i = 0; i < cf->service_total; i++) {
		sv = cf->services[i];
		score = 0;
		if (sv->path_prefix)
			score = match_prefix(sv->path_prefix, path);
		if (score < 0)
			continue;
		if (sv->host) {
			if (!n || strlen(sv->host) != n ||
			    strncasecmp(sv->host, host, n) != 0)
				continue;
			score += (int64_t)1 << 32;
		}
		if (score > best_score) {
			best_score = score;
			best = i;
		}
	}
	return best;
}

/*
 * Returns the kind of the requests of a match, a hash of its name. It is the
 * same in every daemon and never 0.
 */
uint32_t eb_config_request_kind(const char *name)
{
	uint32_t kind = (uint32_t)XXH64(name, strlen(name), 0);

	return kind ? kind : 1;
}

/* Whether a host of `n` bytes, its port left out, is `want` in any case. */
static int same_host(const char *want, const char *host, size_t n)
{
	return strlen(want) == n && !strncasecmp(want, host, n);
}

/*
 * Returns the match of a request: of those of its host, the one with the
 * longest prefix that the target begins with. NULL when there is none. The
 * port and case of `host` are ignored.
 */
const struct eb_match *eb_config_find_match(const struct eb_config *cf,
					    const char *host,
					    const char *target)
{
	size_t n = host ? host_length(host) : 0, len = strcspn(target, "?#");
	const struct eb_match *mt, *best = NULL;
	size_t prefix, best_prefix = 0;
	uint32_t i;

	for (i = 0; i < cf->match_count; i++) {
		mt = &cf->matches[i];
		prefix = strlen(mt->prefix);
		if (prefix > len || prefix <= best_prefix ||
		    memcmp(mt->prefix, target, prefix) != 0 ||
		    !same_host(mt->host, host ? host : "", n))
			continue;
		best = mt;
		best_prefix = prefix;
	}
	return best;
}

static int compare_upstreams(const void *a, const void *b)
{
	const struct eb_upstream *const *x = a, *const *y = b;
	int order = strcmp((*x)->service_name, (*y)->service_name);

	return order ? order : strcmp((*x)->name, (*y)->name);
}

/*
 * Sorts the upstreams by service and name, and sets which service each
 * upstream has and which upstreams each service has. The services must be
 * sorted by name, and the service of each upstream must exist. Returns EB_OK
 * or EB_ENOMEM.
 */
enum eb_status eb_config_group_upstreams(struct eb_config *cf)
{
	uint32_t i, service = 0;

	if (cf->upstream_total)
		qsort(cf->upstreams, cf->upstream_total, sizeof(*cf->upstreams),
		      compare_upstreams);
	cf->upstream_service =
		calloc((size_t)cf->upstream_total + 1, sizeof(uint32_t));
	cf->service_first_upstream =
		calloc((size_t)cf->service_total + 1, sizeof(uint32_t));
	cf->service_upstream_count =
		calloc((size_t)cf->service_total + 1, sizeof(uint32_t));
	if (!cf->upstream_service || !cf->service_first_upstream ||
	    !cf->service_upstream_count)
		return EB_ENOMEM;
	for (i = 0; i < cf->upstream_total; i++) {
		while (strcmp(cf->services[service]->name,
			      cf->upstreams[i]->service_name) != 0)
			cf->service_first_upstream[++service] = i;
		cf->upstream_service[i] = service;
		cf->service_upstream_count[service]++;
	}
	while (service + 1 < cf->service_total)
		cf->service_first_upstream[++service] = i;
	return EB_OK;
}
