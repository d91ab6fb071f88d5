#include "eb_ring.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct eb_ring {
	pthread_mutex_t lock;
	int fd;
	uint32_t slots;
	uint32_t head;
	uint32_t used;
	uint64_t refused;
	void **items;
};

/* Creates a ring for `slots` items; returns NULL without memory. */
struct eb_ring *eb_ring_new(uint32_t slots)
{
	struct eb_ring *rg = calloc(1, sizeof(*rg));

	if (!rg)
		return NULL;
	rg->items = calloc(slots, sizeof(*rg->items));
	rg->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (!rg->items || rg->fd < 0) {
		if (rg->fd >= 0)
			close(rg->fd);
		free(rg->items);
		free(rg);
		return NULL;
	}
	pthread_mutex_init(&rg->lock, NULL);
	rg->slots = slots;
	return rg;
}

/* Frees the ring, but not the items that are left in it. NULL is allowed. */
void eb_ring_free(struct eb_ring *rg)
{
	if (!rg)
		return;
	pthread_mutex_destroy(&rg->lock);
	close(rg->fd);
	free(rg->items);
	free(rg);
}

/* Returns the eventfd for the consumer's poll. */
int eb_ring_fd(const struct eb_ring *rg)
{
	return rg->fd;
}

/*
 * Appends an item. Returns EB_EFULL and counts the refusal when the ring is
 * full; the item then still belongs to the caller.
 */
enum eb_status eb_ring_push(struct eb_ring *rg, void *item)
{
	uint64_t one = 1;
	int wake;

	assert(item);
	pthread_mutex_lock(&rg->lock);
	if (rg->used == rg->slots) {
		rg->refused++;
		pthread_mutex_unlock(&rg->lock);
		return EB_EFULL;
	}
	rg->items[(rg->head + rg->used) % rg->slots] = item;
	wake = rg->used++ == 0;
	pthread_mutex_unlock(&rg->lock);
	if (wake && write(rg->fd, &one, sizeof(one)) < 0)
		return EB_OK; /* the counter is already non-zero */
	return EB_OK;
}

/*
 * Takes up to `max` items and returns their number. The eventfd stays
 * readable while items remain.
 */
uint32_t eb_ring_pop(struct eb_ring *rg, void **items, uint32_t max)
{
	uint64_t count;
	uint32_t i, n;

	pthread_mutex_lock(&rg->lock);
	n = rg->used < max ? rg->used : max;
	for (i = 0; i < n; i++) {
		items[i] = rg->items[rg->head];
		rg->head = (rg->head + 1) % rg->slots;
	}
	rg->used -= n;
	if (!rg->used && read(rg->fd, &count, sizeof(count)) < 0)
		count = 0; /* the eventfd was not signalled */
	pthread_mutex_unlock(&rg->lock);
	return n;
}

/* Returns how many items were refused because the ring was full. */
uint64_t eb_ring_refused(struct eb_ring *rg)
{
	uint64_t n;

	pthread_mutex_lock(&rg->lock);
	n = rg->refused;
	pthread_mutex_unlock(&rg->lock);
	return n;
}
