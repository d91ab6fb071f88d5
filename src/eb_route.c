#include "eb_route.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "eb_rand.h"

struct upstream {
	struct eb_route_upstream info;
	uint32_t in_flight; /* sent from here and not answered */
};

struct eb_route {
	struct eb_rand rand;
	struct upstream *ups; /* sorted by id */
	uint32_t count;
};

/* Creates a router without upstreams. Returns NULL without memory. */
struct eb_route *eb_route_new(uint64_t seed)
{
	struct eb_route *rt = calloc(1, sizeof(*rt));

	if (rt)
		eb_rand_seed(&rt->rand, seed);
	return rt;
}

/* Frees a router; NULL is allowed. */
void eb_route_free(struct eb_route *rt)
{
	if (!rt)
		return;
	free(rt->ups);
	free(rt);
}

static int compare_ids(const void *a, const void *b)
{
	const struct upstream *x = a, *y = b;

	return (x->info.id > y->info.id) - (x->info.id < y->info.id);
}

static struct upstream *find(const struct eb_route *rt, uint32_t id)
{
	struct upstream key = { .info = { .id = id } };

	if (!rt->count)
		return NULL;
	return bsearch(&key, rt->ups, rt->count, sizeof(key), compare_ids);
}

/*
 * Replaces the set of upstreams; what is known of those that stay is kept.
 * Returns EB_ENOMEM, and changes nothing, without memory.
 */
enum eb_status eb_route_set_upstreams(struct eb_route *rt,
				      const struct eb_route_upstream *ups,
				      uint32_t count, int64_t now_us)
{
	struct upstream *next = calloc(count ? count : 1, sizeof(*next)), *old;
	uint32_t i;

	(void)now_us;
	if (!next)
		return EB_ENOMEM;
	for (i = 0; i < count; i++) {
		old = find(rt, ups[i].id);
		if (old)
			next[i] = *old;
		next[i].info = ups[i];
	}
	qsort(next, count, sizeof(*next), compare_ids);
	free(rt->ups);
	rt->ups = next;
	rt->count = count;
	return EB_OK;
}

static int usable(const struct upstream *up, const struct eb_route_query *q)
{
	uint32_t i;

	if (up->info.leaving)
		return 0;
	for (i = 0; i < q->tried_count; i++)
		if (q->tried[i] == up->info.id)
			return 0;
	return 1;
}

/*
 * Picks the better of two random upstreams by requests in flight; ties go to
 * the nearer one. Returns EB_ENOTFOUND when none may be used.
 */
enum eb_status eb_route_pick(struct eb_route *rt,
			     const struct eb_route_query *q, int64_t now_us,
			     uint32_t *id)
{
	const struct upstream *best = NULL, *up;
	uint32_t i, start, seen = 0;

	(void)now_us;
	if (!rt->count)
		return EB_ENOTFOUND;
	start = eb_rand_below(&rt->rand, rt->count);
	for (i = 0; i < rt->count && seen < 2; i++) {
		up = &rt->ups[(start + i) % rt->count];
		if (!usable(up, q))
			continue;
		seen++;
		if (!best || up->in_flight < best->in_flight ||
		    (up->in_flight == best->in_flight &&
		     up->info.distance < best->info.distance))
			best = up;
	}
	if (!best)
		return EB_ENOTFOUND;
	*id = best->info.id;
	return EB_OK;
}

/* Notes that a request was handed to the upstream. */
void eb_route_sent(struct eb_route *rt, uint32_t id, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	(void)now_us;
	if (up)
		up->in_flight++;
}

/* Notes how the attempt ended; once for each eb_route_sent(). */
void eb_route_done(struct eb_route *rt, uint32_t id,
		   const struct eb_route_result *rs, int64_t now_us)
{
	struct upstream *up = find(rt, id);

	(void)rs;
	(void)now_us;
	if (!up)
		return;
	assert(up->in_flight);
	up->in_flight--;
}

/* Takes in a load that rode on an answer. */
void eb_route_load(struct eb_route *rt, uint32_t id, const struct eb_load *ld,
		   int64_t now_us)
{
	(void)rt;
	(void)id;
	(void)ld;
	(void)now_us;
}
