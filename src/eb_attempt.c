#include "eb_attempt.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdlib.h>
#include <string.h>

#include "eb_overdue.h"

struct eb_attempts {
	apr_pool_t *pool;
	apr_hash_t *by_number; /* attempt number -> attempt */
};

/* Returns the frame that cancels an attempt at its gate; NULL without memory.
 */
struct eb_frame *eb_attempt_cancel(uint64_t number, uint64_t sender)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_CANCEL, number);

	if (f)
		f->sender = sender;
	return f;
}

/*
 * Stops the use of an upstream whose answer to the attempt says that it leaves.
 * Its gate refuses calls as well, but has forgotten that after a restart. `id`
 * is that of the request.
 */
void eb_attempt_note_leaving(const struct eb_attempt *at, struct eb_nodes *nd,
			     const struct eb_dialect *dl, struct eb_log *log,
			     const char *id, const struct eb_frame *f,
			     int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(nd, at->node);
	const char *value;

	if (!n || n->says_leaving || !dl || !dl->leaving)
		return;
	value = eb_headers_find(&f->reply->headers, dl->leaving);
	if (!value || strcmp(value, "1") != 0)
		return;
	/* The address may belong to another start by now. */
	if (strcmp(at->instance, n->instance) != 0)
		return;
	n->says_leaving = 1;
	eb_log_write(log, EB_LOG_INFO, "origin",
		     "answer says that the upstream leaves",
		     "id=%s upstream=%s instance=%s", id, n->name, n->instance);
	eb_nodes_changed(nd, at->node, now_us);
}

/* Reports an attempt's result to the router; logs an ejection by it. */
void eb_attempt_report(const struct eb_attempt *at, struct eb_nodes *nd,
		       struct eb_log *log, struct eb_service_state *sv,
		       const struct eb_route_result *rs, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(nd, at->node);
	struct eb_route_stats before, after;

	eb_route_read_stats(sv->route, &before);
	eb_route_done(sv->route, at->node, rs, now_us);
	eb_route_read_stats(sv->route, &after);
	if (after.ejections != before.ejections)
		eb_log_write(log, EB_LOG_INFO, "origin", "upstream ejected",
			     "upstream=%s service=%s outcome=%s reason=%s "
			     "status=%u out=%u",
			     n ? n->name : "-", sv->name,
			     eb_outcome_name(rs->outcome),
			     eb_reason_name(rs->reason), rs->status, after.out);
}

/* Creates an empty set of attempts. Returns NULL without memory. */
struct eb_attempts *eb_attempts_new(void)
{
	struct eb_attempts *as = calloc(1, sizeof(*as));

	if (!as)
		return NULL;
	if (apr_pool_create(&as->pool, NULL) != APR_SUCCESS) {
		free(as);
		return NULL;
	}
	as->by_number = apr_hash_make(as->pool);
	return as;
}

/* Frees the set, not its attempts; NULL is allowed. */
void eb_attempts_free(struct eb_attempts *as)
{
	if (!as)
		return;
	apr_pool_destroy(as->pool);
	free(as);
}

/* Adds an attempt by its number; it must stay in place until it is removed. */
void eb_attempts_add(struct eb_attempts *as, struct eb_attempt *at)
{
	apr_hash_set(as->by_number, &at->number, sizeof(at->number), at);
}

/* Makes the number of an attempt invalid: its late frames are dropped. */
void eb_attempts_remove(struct eb_attempts *as, struct eb_attempt *at)
{
	if (at->number)
		apr_hash_set(as->by_number, &at->number, sizeof(at->number),
			     NULL);
	at->number = 0;
}

/* Returns the attempt with this number, or NULL. */
struct eb_attempt *eb_attempts_find(const struct eb_attempts *as,
				    uint64_t number)
{
	return apr_hash_get(as->by_number, &number, sizeof(number));
}

/*
 * Adds the numbers of attempts that have been at a node's gate for long to
 * `f`, a heartbeat to that gate, or of all if the connection was replaced.
 */
void eb_attempts_list_overdue(const struct eb_attempts *as, uint32_t node,
			      struct eb_frame *f, int64_t now_us)
{
	apr_hash_index_t *hi;
	const struct eb_attempt *at;
	int all = f->credit_bytes == EB_HELLO_REPLACES;

	for (hi = apr_hash_first(NULL, as->by_number); hi;
	     hi = apr_hash_next(hi)) {
		at = apr_hash_this_val(hi);
		if (at->node == node &&
		    (all || eb_overdue(at->sent_us, now_us)) &&
		    eb_overdue_add(f, at->number))
			return;
	}
}
