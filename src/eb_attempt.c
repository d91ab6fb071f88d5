#include "eb_attempt.h"

#include <stdlib.h>
#include <string.h>

/*
 * Returns the request's HEAD with a single reference, so that it may be changed
 * for the next attempt; replaces a shared one by a copy. Returns NULL without
 * memory.
 */
struct eb_frame *eb_attempt_unshare_head(struct eb_frame **head)
{
	struct eb_frame *old = *head, *f;
	struct eb_head *from = old->head, *to;

	if (__atomic_load_n(&old->refs, __ATOMIC_ACQUIRE) == 1)
		return old;
	f = eb_frame_new_data(EB_FRAME_HEAD, 0, old->data, old->data_bytes);
	if (!f)
		return NULL;
	to = f->head;
	*to = *from;
	memset(&to->headers, 0, sizeof(to->headers));
	to->service = strdup(from->service);
	to->upstream = NULL;
	to->method = strdup(from->method);
	to->target = strdup(from->target);
	to->key = from->key ? strdup(from->key) : NULL;
	to->instance = NULL;
	eb_headers_load(&to->headers, from->headers.block,
			from->headers.used_bytes);
	eb_frame_unref(old);
	*head = f;
	return f;
}

/* Returns the frame that cancels an attempt at its gate; NULL without memory.
 */
struct eb_frame *eb_attempt_cancel(const struct eb_attempt *at, uint64_t sender)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_CANCEL, at->number);

	if (f)
		f->sender = sender;
	return f;
}

/*
 * Tells whether an answer to the attempt says for the first time that its
 * upstream leaves.
 */
int eb_attempt_says_leaving(const struct eb_attempt *at,
			    const struct eb_node *n,
			    const struct eb_dialect *dl,
			    const struct eb_frame *f)
{
	const char *value;

	if (!n || n->says_leaving || !dl || !dl->leaving)
		return 0;
	value = eb_headers_find(&f->reply->headers, dl->leaving);
	if (!value || strcmp(value, "1") != 0)
		return 0;
	/* The address may belong to another start by now. */
	return !strcmp(at->instance, n->instance);
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
