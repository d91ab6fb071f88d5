#include "eb_roster.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "eb_gossip.h"

#define READER_SALT 0x7265616465720000ULL
#define RING_SALT 0x72696e6700000000ULL
#define GROUP_SALT 0x67726f7570000000ULL
#define REGION_SALT 0x726567696f6e0000ULL

struct ranked {
	uint64_t rank;
	uint32_t member;
};

/* The distinct names of the failure domains or regions, sorted. */
struct names {
	const char **names;
	uint32_t count;
};

static int by_rank(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return x->member < y->member ? -1 : x->member > y->member;
}

static int by_id(const void *a, const void *b)
{
	const struct eb_roster_member *x = a, *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

static int by_name(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the id of the daemon at `address`; never 0. */
uint64_t eb_roster_id(const char *address)
{
	uint64_t id = XXH64(address, strlen(address), 0);

	return id ? id : 1;
}

/*
 * Returns the rank of a daemon as a reader of the source; the daemons with the
 * lowest ranks read it.
 */
uint64_t eb_roster_reader_rank(uint64_t id)
{
	return eb_gossip_mix(id, READER_SALT);
}

/*
 * Collects the distinct names at offset `field` of the daemons. They are
 * sorted so that every daemon assigns the same numbers. Returns -1 when memory
 * runs out.
 */
static int collect_names(struct names *ns, const struct eb_roster_daemon *ds,
			 uint32_t count, size_t field)
{
	uint32_t i, n = 0;
	const char *last = NULL;

	ns->names = calloc(count ? count : 1, sizeof(*ns->names));
	if (!ns->names)
		return -1;
	for (i = 0; i < count; i++) {
		const char *s = *(char *const *)((const char *)&ds[i] + field);

		/* Consecutive daemons mostly share a name. */
		if (last && !strcmp(last, s))
			continue;
		last = s;
		ns->names[n++] = s;
	}
	qsort(ns->names, n, sizeof(*ns->names), by_name);
	for (i = 0; i < n; i++)
		if (!ns->count ||
		    strcmp(ns->names[ns->count - 1], ns->names[i]) != 0)
			ns->names[ns->count++] = ns->names[i];
	return 0;
}

/* Returns the index of a name that the list has. */
static uint16_t find_name(const struct names *ns, const char *s)
{
	const char **p =
		bsearch(&s, ns->names, ns->count, sizeof(*ns->names), by_name);

	assert(p);
	return (uint16_t)(p - ns->names);
}

/*
 * Makes the members, sorted by id and without duplicates. Returns -1 when
 * memory runs out.
 */
static int copy_members(struct eb_roster *ro, const struct eb_roster_daemon *ds,
			uint32_t count, const struct names *regions,
			const struct names *domains)
{
	uint32_t i, n = 0;

	ro->members = calloc(count ? count : 1, sizeof(*ro->members));
	if (!ro->members)
		return -1;
	for (i = 0; i < count; i++) {
		struct eb_roster_member *m = &ro->members[i];

		m->id = eb_roster_id(ds[i].address);
		m->address = strdup(ds[i].address);
		if (!m->address)
			return -1;
		ro->count++;
		m->upstream = ds[i].upstream;
		m->region = find_name(regions, ds[i].region);
		m->domain = find_name(domains, ds[i].failure_domain);
	}
	qsort(ro->members, ro->count, sizeof(*ro->members), by_id);
	for (i = 0; i < ro->count; i++) {
		struct eb_roster_member *m = &ro->members[i];

		if (n && ro->members[n - 1].id == m->id)
			free(m->address);
		else
			ro->members[n++] = *m;
	}
	ro->count = n;
	return 0;
}

/* Assigns each member its group; the sizes are numbers of members. */
static void assign_groups(struct eb_roster *ro, const uint32_t *domain_size,
			  const uint32_t *region_size, uint16_t *domain_group)
{
	uint32_t i;

	memset(domain_group, 0xff,
	       sizeof(*domain_group) *
		       (ro->domain_count + ro->region_count + 1));
	for (i = 0; i < ro->count; i++) {
		struct eb_roster_member *m = &ro->members[i];
		uint32_t key = m->domain;

		if (domain_size[m->domain] < EB_ROSTER_GROUP_MIN)
			key = ro->domain_count + m->region;
		if (key != m->domain &&
		    region_size[m->region] < EB_ROSTER_GROUP_MIN)
			key = ro->domain_count + ro->region_count;
		domain_group[key] = 0;
		m->group = (uint16_t)key;
	}
	/* Numbers follow the sorted names, not the order of the members. */
	for (i = 0; i <= ro->domain_count + ro->region_count; i++)
		if (!domain_group[i])
			domain_group[i] = (uint16_t)ro->group_count++;
	for (i = 0; i < ro->count; i++)
		ro->members[i].group = domain_group[ro->members[i].group];
}

/* Assigns the groups. Returns -1 when memory runs out. */
static int make_groups(struct eb_roster *ro)
{
	uint32_t *domain_size = calloc(ro->domain_count + 1, 4);
	uint32_t *region_size = calloc(ro->region_count + 1, 4);
	uint16_t *group =
		calloc(ro->domain_count + ro->region_count + 1, sizeof(*group));
	uint32_t i;
	int rc = -1;

	if (domain_size && region_size && group) {
		for (i = 0; i < ro->count; i++) {
			domain_size[ro->members[i].domain]++;
			region_size[ro->members[i].region]++;
		}
		assign_groups(ro, domain_size, region_size, group);
		rc = 0;
	}
	free(domain_size);
	free(region_size);
	free(group);
	return rc;
}

/*
 * Sorts by rank with a stable radix sort that uses `spare` as a buffer. With
 * qsort() for the seven orders a roster of 22,000 took twice as long to build.
 */
static void sort_ranked(struct ranked *all, struct ranked *spare, uint32_t n)
{
	uint32_t shift, i, sum;

	for (shift = 0; shift < 64; shift += 8) {
		uint32_t at[256] = { 0 };
		struct ranked *swap = all;

		for (i = 0; i < n; i++)
			at[all[i].rank >> shift & 0xff]++;
		for (i = 0, sum = 0; i < 256; i++) {
			uint32_t count = at[i];

			at[i] = sum;
			sum += count;
		}
		for (i = 0; i < n; i++)
			spare[at[all[i].rank >> shift & 0xff]++] = all[i];
		all = spare;
		spare = swap;
	}
}

/* Returns the domain (0), region (1) or group (2) of a member. */
static uint32_t set_index(const struct eb_roster_member *m, int by)
{
	if (by == 0)
		return m->domain;
	return by == 1 ? m->region : m->group;
}

/*
 * Splits the members into `sets` by domain (0), region (1) or group (2); each
 * set is sorted by the rank under `salt`. All orders share one allocation,
 * kept in the extra set at the end. Returns NULL when memory runs out.
 */
static struct eb_roster_set *make_sets(const struct eb_roster *ro,
				       uint32_t sets, int by, uint64_t salt)
{
	struct eb_roster_set *out = calloc(sets + 1, sizeof(*out));
	uint32_t *order = calloc(ro->count + 1, sizeof(*order));
	struct ranked *all = calloc(2 * (size_t)ro->count + 1, sizeof(*all));
	uint32_t i, first = 0;

	if (!out || !order || !all) {
		free(out);
		free(order);
		free(all);
		return NULL;
	}
	for (i = 0; i < ro->count; i++)
		out[set_index(&ro->members[i], by)].count++;
	for (i = 0; i < sets; i++) {
		out[i].order = order + first;
		first += out[i].count;
		out[i].count = 0;
	}
	out[sets].order = order;
	for (i = 0; i < ro->count; i++) {
		all[i].rank = eb_gossip_mix(ro->members[i].id, salt);
		all[i].member = i;
	}
	sort_ranked(all, all + ro->count, ro->count);
	for (i = 0; i < ro->count; i++) {
		struct eb_roster_set *s =
			&out[set_index(&ro->members[all[i].member], by)];

		s->order[s->count++] = all[i].member;
	}
	free(all);
	return out;
}

static void free_sets(struct eb_roster_set *sets, uint32_t count)
{
	if (sets)
		free(sets[count].order);
	free(sets);
}

/* Inserts `r` into the sorted candidates `best` if its rank is low enough. */
static void keep_lowest(struct ranked *best, const struct ranked *r)
{
	uint32_t i = EB_ROSTER_CANDIDATES;

	if (by_rank(r, &best[EB_ROSTER_CANDIDATES - 1]) >= 0)
		return;
	while (--i && by_rank(r, &best[i - 1]) < 0)
		best[i] = best[i - 1];
	best[i] = *r;
}

/*
 * Chooses for each pair of sets the EB_ROSTER_CANDIDATES members of the first
 * with the lowest rank for links to the second.
 */
static uint32_t *make_links(const struct eb_roster *ro,
			    const struct eb_roster_set *sets, uint32_t count,
			    uint64_t salt)
{
	uint32_t *links =
		calloc((size_t)count * count * EB_ROSTER_CANDIDATES + 1,
		       sizeof(*links));
	uint32_t from, to, i;

	if (!links)
		return NULL;
	for (from = 0; from < count; from++) {
		for (to = 0; to < count; to++) {
			struct ranked best[EB_ROSTER_CANDIDATES];
			uint32_t *out = links + (from * count + to) *
							EB_ROSTER_CANDIDATES;

			memset(best, 0xff, sizeof(best));
			for (i = 0; i < sets[from].count; i++) {
				struct ranked r = { 0, sets[from].order[i] };

				r.rank = eb_gossip_mix(ro->members[r.member].id,
						       salt + to);
				keep_lowest(best, &r);
			}
			for (i = 0; i < EB_ROSTER_CANDIDATES; i++)
				out[i] = best[i].member;
		}
	}
	return links;
}

/* Makes the sets, the rings and the links. Returns -1 when memory runs out. */
static int make_orders(struct eb_roster *ro)
{
	uint32_t r, g, i;

	ro->domains = make_sets(ro, ro->domain_count, 0, READER_SALT);
	ro->regions = make_sets(ro, ro->region_count, 1, REGION_SALT);
	ro->groups = make_sets(ro, ro->group_count, 2, GROUP_SALT);
	ro->group_region = calloc(ro->group_count + 1, sizeof(uint16_t));
	if (!ro->domains || !ro->regions || !ro->groups || !ro->group_region)
		return -1;
	for (r = 0; r < EB_ROSTER_RINGS; r++) {
		ro->rings[r] = make_sets(ro, ro->group_count, 2, RING_SALT + r);
		ro->ring_pos[r] = calloc(ro->count + 1, sizeof(uint32_t));
		if (!ro->rings[r] || !ro->ring_pos[r])
			return -1;
		for (g = 0; g < ro->group_count; g++)
			for (i = 0; i < ro->rings[r][g].count; i++)
				ro->ring_pos[r][ro->rings[r][g].order[i]] = i;
	}
	for (g = 0; g < ro->group_count; g++)
		ro->group_region[g] =
			ro->members[ro->groups[g].order[0]].region;
	ro->group_links =
		make_links(ro, ro->groups, ro->group_count, GROUP_SALT);
	ro->region_links =
		make_links(ro, ro->regions, ro->region_count, REGION_SALT);
	return ro->group_links && ro->region_links ? 0 : -1;
}

/*
 * Builds a roster of `count` daemons; of several with the same address one is
 * kept. Returns NULL when memory runs out or when there are
 * EB_ROSTER_GROUPS_MAX or more failure domains and regions in total.
 */
struct eb_roster *eb_roster_new(const struct eb_roster_daemon *daemons,
				uint32_t count)
{
	struct eb_roster *ro = calloc(1, sizeof(*ro));
	struct names regions = { 0 }, domains = { 0 };
	uint32_t i;
	int rc = -1;

	if (!ro)
		return NULL;
	ro->refs = 1;
	if (!collect_names(&regions, daemons, count,
			   offsetof(struct eb_roster_daemon, region)) &&
	    !collect_names(&domains, daemons, count,
			   offsetof(struct eb_roster_daemon, failure_domain)) &&
	    regions.count + domains.count < EB_ROSTER_GROUPS_MAX) {
		ro->region_count = regions.count;
		ro->domain_count = domains.count;
		if (!copy_members(ro, daemons, count, &regions, &domains) &&
		    !make_groups(ro) && !make_orders(ro))
			rc = 0;
	}
	free(regions.names);
	free(domains.names);
	if (rc) {
		eb_roster_unref(ro);
		return NULL;
	}
	for (i = 0; i < ro->count; i++)
		ro->digest = eb_gossip_mix(ro->digest ^ ro->members[i].id,
					   ro->members[i].domain * 65536U +
						   ro->members[i].region + 1);
	return ro;
}

/* Builds the roster of a configuration. Returns NULL like eb_roster_new(). */
struct eb_roster *eb_roster_from_config(const struct eb_config *cf)
{
	struct eb_roster_daemon *ds =
		calloc(cf->upstream_total + 1, sizeof(*ds));
	struct eb_roster *ro;
	uint32_t i;

	if (!ds)
		return NULL;
	for (i = 0; i < cf->upstream_total; i++) {
		ds[i].address = cf->upstreams[i]->daemon;
		ds[i].region = cf->upstreams[i]->region;
		ds[i].failure_domain = cf->upstreams[i]->failure_domain;
		ds[i].upstream = i;
	}
	ro = eb_roster_new(ds, cf->upstream_total);
	free(ds);
	return ro;
}

/* Takes a reference. */
struct eb_roster *eb_roster_ref(struct eb_roster *ro)
{
	ro->refs++;
	return ro;
}

/* Drops a reference and frees the roster with the last one; NULL is allowed. */
void eb_roster_unref(struct eb_roster *ro)
{
	uint32_t i;

	if (!ro || --ro->refs)
		return;
	for (i = 0; ro->members && i < ro->count; i++)
		free(ro->members[i].address);
	free(ro->members);
	free_sets(ro->domains, ro->domain_count);
	free_sets(ro->regions, ro->region_count);
	free_sets(ro->groups, ro->group_count);
	for (i = 0; i < EB_ROSTER_RINGS; i++) {
		free_sets(ro->rings[i], ro->group_count);
		free(ro->ring_pos[i]);
	}
	free(ro->group_links);
	free(ro->region_links);
	free(ro->group_region);
	free(ro);
}

/* Returns the index of the daemon with this id, or EB_NONE. */
uint32_t eb_roster_find(const struct eb_roster *ro, uint64_t id)
{
	uint32_t lo = 0, hi = ro->count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (ro->members[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < ro->count && ro->members[lo].id == id ? lo : EB_NONE;
}

/*
 * Returns the member `step` positions after (or before, when negative)
 * `member` in a ring of its group. The ring wraps around.
 */
uint32_t eb_roster_neighbour(const struct eb_roster *ro, uint32_t ring,
			     uint32_t member, int32_t step)
{
	const struct eb_roster_set *s =
		&ro->rings[ring][ro->members[member].group];
	int64_t pos = (int64_t)ro->ring_pos[ring][member] + step;
	int64_t n = s->count;

	return s->order[((pos % n) + n) % n];
}

/*
 * Returns the EB_ROSTER_CANDIDATES members of group `from` that are preferred
 * for links to group `to`, padded with EB_NONE.
 */
const uint32_t *eb_roster_group_link(const struct eb_roster *ro, uint32_t from,
				     uint32_t to)
{
	return ro->group_links +
	       (from * ro->group_count + to) * EB_ROSTER_CANDIDATES;
}

/* Like eb_roster_group_link(), for regions. */
const uint32_t *eb_roster_region_link(const struct eb_roster *ro, uint32_t from,
				      uint32_t to)
{
	return ro->region_links +
	       (from * ro->region_count + to) * EB_ROSTER_CANDIDATES;
}

/* Returns the size of the roster in bytes, without allocator overhead. */
size_t eb_roster_bytes(const struct eb_roster *ro)
{
	size_t n = sizeof(*ro), per = sizeof(*ro->members);
	uint32_t i;

	for (i = 0; i < ro->count; i++)
		n += strlen(ro->members[i].address) + 1;
	per += (3 + 2 * EB_ROSTER_RINGS) * sizeof(uint32_t);
	n += per * ro->count;
	n += (size_t)ro->group_count * ro->group_count * EB_ROSTER_CANDIDATES *
	     sizeof(uint32_t);
	n += (size_t)ro->region_count * ro->region_count *
	     EB_ROSTER_CANDIDATES * sizeof(uint32_t);
	return n;
}
