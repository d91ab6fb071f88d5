#include "eb_goal.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <stdlib.h>

#include "eb_tunables.h"

struct eb_goal {
	apr_pool_t *pool;
	apr_hash_t *longest; /* match name -> longest deadline seen, us */
};

/* Creates the state, without deadlines. Returns NULL without memory. */
struct eb_goal *eb_goal_new(void)
{
	struct eb_goal *gl = calloc(1, sizeof(*gl));

	if (!gl)
		return NULL;
	if (apr_pool_create(&gl->pool, NULL) != APR_SUCCESS) {
		free(gl);
		return NULL;
	}
	gl->longest = apr_hash_make(gl->pool);
	return gl;
}

/* Frees the state; NULL is allowed. */
void eb_goal_free(struct eb_goal *gl)
{
	if (!gl)
		return;
	apr_pool_destroy(gl->pool);
	free(gl);
}

/*
 * Returns the time until which an answer meets the path's objective, counted
 * from the caller's first try, or 0 without an objective. The time that passed
 * since the first try is estimated as the difference between the longest
 * deadline seen on this match and `remaining_us`, the time left to this
 * request.
 */
int64_t eb_goal_of(struct eb_goal *gl, const struct eb_match *pt,
		   int64_t remaining_us, int64_t started_us)
{
	int64_t *longest, spent_us = 0;

	if (!pt->objective_ms)
		return 0;
	longest = apr_hash_get(gl->longest, pt->name, APR_HASH_KEY_STRING);
	if (!longest && apr_hash_count(gl->longest) < EB_MATCH_DEADLINES_MAX) {
		longest = apr_pcalloc(gl->pool, sizeof(*longest));
		apr_hash_set(gl->longest, apr_pstrdup(gl->pool, pt->name),
			     APR_HASH_KEY_STRING, longest);
	}
	if (longest && remaining_us > *longest)
		*longest = remaining_us;
	if (longest && remaining_us > 0)
		spent_us = *longest - remaining_us;
	return started_us + pt->objective_ms * 1000LL - spent_us;
}
