#include "eb_frame.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static const char *const type_names[EB_FRAME_TYPE_MAX + 1] = {
	[EB_FRAME_HEAD] = "head",	[EB_FRAME_DATA] = "data",
	[EB_FRAME_END] = "end",		[EB_FRAME_CREDIT] = "credit",
	[EB_FRAME_CANCEL] = "cancel",	[EB_FRAME_RHEAD] = "rhead",
	[EB_FRAME_RDATA] = "rdata",	[EB_FRAME_REND] = "rend",
	[EB_FRAME_RCREDIT] = "rcredit", [EB_FRAME_REFUSE] = "refuse",
	[EB_FRAME_ABORT] = "abort",	[EB_FRAME_HELLO] = "hello",
	[EB_FRAME_GOSSIP] = "gossip",	[EB_FRAME_CLAIM] = "claim",
	[EB_FRAME_CONFIG] = "config",	[EB_FRAME_VMS] = "vms",
	[EB_FRAME_QUERY] = "query",	[EB_FRAME_REPORT] = "report",
	[EB_FRAME_PROBE] = "probe",	[EB_FRAME_MARKS] = "marks",
};

static const char *const outcome_names[] = { "unknown", "ran", "not-run" };

static const char *const reason_names[EB_REASON_MAX + 1] = {
	[EB_REASON_NONE] = "none",
	[EB_REASON_NO_ROUTE] = "no-route",
	[EB_REASON_NO_UPSTREAM] = "no-upstream",
	[EB_REASON_QUEUE_FULL] = "queue-full",
	[EB_REASON_DEADLINE] = "deadline",
	[EB_REASON_DRAINING] = "draining",
	[EB_REASON_CONNECT] = "connect-failed",
	[EB_REASON_HANDED_BACK] = "handed-back",
	[EB_REASON_CALLER_LIMIT] = "caller-limit",
	[EB_REASON_CRASHES] = "crashes-upstreams",
	[EB_REASON_CLAIM] = "claim-refused",
	[EB_REASON_HOPS] = "hop-limit",
	[EB_REASON_LOST_PEER] = "lost-peer",
	[EB_REASON_UPSTREAM_CLOSED] = "upstream-closed",
	[EB_REASON_STALLED] = "stalled",
	[EB_REASON_INTERNAL] = "internal",
	[EB_REASON_UPSTREAM_REFUSED] = "upstream-refused",
};

/*
 * Creates a frame with one reference. HEAD and the frames with a reply get
 * an empty `head` or `reply`. Returns NULL without memory.
 */
struct eb_frame *eb_frame_new(enum eb_frame_type type, uint64_t call)
{
	struct eb_frame *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->refs = 1;
	f->type = (uint8_t)type;
	f->call = call;
	if (type == EB_FRAME_HEAD)
		f->head = calloc(1, sizeof(*f->head));
	else if (type == EB_FRAME_RHEAD || type == EB_FRAME_REND ||
		 type == EB_FRAME_REFUSE || type == EB_FRAME_ABORT ||
		 type == EB_FRAME_HELLO || type == EB_FRAME_PROBE)
		f->reply = calloc(1, sizeof(*f->reply));
	else
		return f;
	if (!f->head && !f->reply) {
		free(f);
		return NULL;
	}
	return f;
}

/* Creates a frame with a copy of the data. Returns NULL without memory. */
struct eb_frame *eb_frame_new_data(enum eb_frame_type type, uint64_t call,
				   const void *data, uint32_t bytes)
{
	struct eb_frame *f = eb_frame_new(type, call);

	if (!f)
		return NULL;
	f->data = malloc(bytes ? bytes : 1);
	if (!f->data) {
		eb_frame_unref(f);
		return NULL;
	}
	if (bytes)
		memcpy(f->data, data, bytes);
	f->data_bytes = bytes;
	return f;
}

/*
 * Returns a HEAD with a single reference, so that it may be changed for another
 * attempt: the frame itself, or a copy without `upstream` and `instance` that
 * takes its place. Returns NULL, and keeps the reference, without memory.
 */
struct eb_frame *eb_frame_unshare_head(struct eb_frame *old)
{
	struct eb_head *from = old->head, *to;
	struct eb_frame *f;

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
	return f;
}

/* Adds a reference and returns the frame. */
struct eb_frame *eb_frame_ref(struct eb_frame *f)
{
	__atomic_add_fetch(&f->refs, 1, __ATOMIC_RELAXED);
	return f;
}

static void free_head(struct eb_head *h)
{
	if (!h)
		return;
	free(h->service);
	free(h->upstream);
	free(h->method);
	free(h->target);
	free(h->key);
	free(h->instance);
	eb_headers_clear(&h->headers);
	free(h);
}

/* Drops one reference; the last one frees the frame. NULL is allowed. */
void eb_frame_unref(struct eb_frame *f)
{
	int32_t refs;

	if (!f)
		return;
	refs = __atomic_sub_fetch(&f->refs, 1, __ATOMIC_ACQ_REL);
	assert(refs >= 0);
	if (refs)
		return;
	free_head(f->head);
	if (f->reply) {
		eb_headers_clear(&f->reply->headers);
		free(f->reply);
	}
	if (f->object && f->object_free)
		f->object_free(f->object);
	free(f->data);
	free(f);
}

/* Tells whether an RHEAD or REND frame is the last one of its answer. */
int eb_frame_ends_answer(const struct eb_frame *f)
{
	if (f->type == EB_FRAME_REND)
		return 1;
	assert(f->type == EB_FRAME_RHEAD && f->reply);
	return f->reply->body_kind == EB_BODY_NONE ||
	       f->reply->body_kind == EB_BODY_INLINE;
}

/* Returns the name of a frame type, or "invalid". */
const char *eb_frame_type_name(unsigned type)
{
	if (type > EB_FRAME_TYPE_MAX || !type_names[type])
		return "invalid";
	return type_names[type];
}

/* Returns the value of the header Ebonypier-Outcome. */
const char *eb_outcome_name(unsigned outcome)
{
	if (outcome > EB_OUTCOME_NOT_RUN)
		return "unknown";
	return outcome_names[outcome];
}

/* Returns the name of a reason as answers and logs show it. */
const char *eb_reason_name(unsigned reason)
{
	if (reason > EB_REASON_MAX)
		return "invalid";
	return reason_names[reason];
}
