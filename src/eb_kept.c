#include "eb_kept.h"

#include <stdlib.h>

#include "eb_tunables.h"

struct kept {
	uint64_t origin; /* incarnation */
	struct eb_frame *frame;
	uint32_t bytes;
	int64_t sent_us;
};

struct eb_kept {
	struct kept items[EB_KEPT_ANSWERS_MAX]; /* a ring, in order of time */
	uint32_t first;
	uint32_t count;
	uint32_t bytes;
};

/* Returns an empty store, or NULL when memory runs out. */
struct eb_kept *eb_kept_new(void)
{
	return calloc(1, sizeof(struct eb_kept));
}

static struct kept *item(struct eb_kept *kp, uint32_t i)
{
	return &kp->items[(kp->first + i) % EB_KEPT_ANSWERS_MAX];
}

static void drop_first(struct eb_kept *kp)
{
	struct kept *it = item(kp, 0);

	kp->bytes -= it->bytes;
	eb_frame_unref(it->frame);
	kp->first = (kp->first + 1) % EB_KEPT_ANSWERS_MAX;
	kp->count--;
}

/* Frees the store and its references; NULL is allowed. */
void eb_kept_free(struct eb_kept *kp)
{
	if (!kp)
		return;
	while (kp->count)
		drop_first(kp);
	free(kp);
}

/* Drops what is older than EB_KEPT_ANSWERS_MS. */
void eb_kept_expire(struct eb_kept *kp, int64_t now_us)
{
	while (kp->count &&
	       now_us - item(kp, 0)->sent_us >= EB_KEPT_ANSWERS_MS * 1000LL)
		drop_first(kp);
}

/*
 * Keeps a reference to the last frame of an origin's call. It makes way for
 * newer ones when the store is full.
 */
void eb_kept_add(struct eb_kept *kp, uint64_t origin, struct eb_frame *f,
		 int64_t now_us)
{
	uint32_t bytes = (uint32_t)sizeof(*f) + f->data_bytes;
	struct kept *it;

	if (f->reply)
		bytes += (uint32_t)sizeof(*f->reply) +
			 f->reply->headers.used_bytes;
	if (bytes > EB_KEPT_ANSWERS_BYTES)
		return;
	eb_kept_expire(kp, now_us);
	while (kp->count == EB_KEPT_ANSWERS_MAX ||
	       kp->bytes + bytes > EB_KEPT_ANSWERS_BYTES)
		drop_first(kp);
	it = item(kp, kp->count++);
	it->origin = origin;
	it->frame = eb_frame_ref(f);
	it->bytes = bytes;
	it->sent_us = now_us;
	kp->bytes += bytes;
}

/* Returns the frame that ended a call, or NULL; the store keeps it. */
struct eb_frame *eb_kept_find(struct eb_kept *kp, uint64_t origin,
			      uint64_t call)
{
	struct eb_frame *f;
	uint32_t pos = 0;

	while ((f = eb_kept_next(kp, origin, &pos)))
		if (f->call == call)
			return f;
	return NULL;
}

/*
 * Returns the next frame for an origin, or NULL at the end. `*pos` is 0 before
 * the first call.
 */
struct eb_frame *eb_kept_next(struct eb_kept *kp, uint64_t origin,
			      uint32_t *pos)
{
	struct kept *it;

	while (*pos < kp->count) {
		it = item(kp, (*pos)++);
		if (it->origin == origin)
			return it->frame;
	}
	return NULL;
}
