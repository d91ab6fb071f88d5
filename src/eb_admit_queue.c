#include "eb_admit_queue.h"

#include <stdlib.h>
#include <string.h>

#define SPACE_INITIAL 16

/* Frees the memory of the queue. */
void eb_admit_queue_free(struct eb_admit_queue *qu)
{
	free(qu->items);
	memset(qu, 0, sizeof(*qu));
}

/* Appends a request; -1 without memory. */
int eb_admit_queue_append(struct eb_admit_queue *qu,
			  const struct eb_admit_waiter *w)
{
	uint32_t space = qu->space ? qu->space * 2 : SPACE_INITIAL;
	struct eb_admit_waiter *q;

	if (qu->count == qu->space) {
		q = realloc(qu->items, space * sizeof(*q));
		if (!q)
			return -1;
		qu->items = q;
		qu->space = space;
	}
	qu->items[qu->count++] = *w;
	return 0;
}

/* Removes the request at an index. */
void eb_admit_queue_remove(struct eb_admit_queue *qu, uint32_t i)
{
	qu->evicted -= qu->items[i].evicted;
	qu->count--;
	memmove(&qu->items[i], &qu->items[i + 1],
		(qu->count - i) * sizeof(*qu->items));
}

/* Returns the index of a request, or `count` if it does not wait. */
uint32_t eb_admit_queue_find(const struct eb_admit_queue *qu, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < qu->count; i++)
		if (qu->items[i].rq.id == id)
			break;
	return i;
}

/* Whether the answer would be too late even if the request ran now. */
int eb_admit_is_late(const struct eb_admit_waiter *w, int64_t now_us)
{
	return w->rq.goal_us && now_us + w->run_us > w->rq.goal_us;
}

/*
 * Whether request a runs before b whatever their order of arrival: one that can
 * be on time before a late one, then the more urgent one, then that of a caller
 * which is not excessive. Equal requests run in order of arrival.
 */
int eb_admit_goes_before(const struct eb_admit_waiter *a,
			 const struct eb_admit_waiter *b, int64_t now_us)
{
	int late_a = eb_admit_is_late(a, now_us);
	int late_b = eb_admit_is_late(b, now_us);

	if (late_a != late_b)
		return late_b;
	if (a->rq.priority != b->rq.priority)
		return a->rq.priority < b->rq.priority;
	return a->excessive < b->excessive;
}

/* Returns how many waiting requests would run before a new one. */
uint32_t eb_admit_queue_ahead(const struct eb_admit_queue *qu,
			      const struct eb_admit_waiter *w, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < qu->count; i++)
		n += !qu->items[i].evicted &&
		     !eb_admit_goes_before(w, &qu->items[i], now_us);
	return n;
}

/* Returns how many waiting requests would run before another one of them. */
uint32_t eb_admit_queue_before(const struct eb_admit_queue *qu,
			       const struct eb_admit_waiter *w, int64_t now_us)
{
	const struct eb_admit_waiter *other, *end = qu->items + qu->count;
	uint32_t n = 0;

	for (other = qu->items; other < end; other++) {
		if (other == w || other->evicted)
			continue;
		n += other < w ? !eb_admit_goes_before(w, other, now_us)
			       : eb_admit_goes_before(other, w, now_us);
	}
	return n;
}

/* Whether all waiting requests are less urgent than a priority. */
int eb_admit_queue_only_less_urgent(const struct eb_admit_queue *qu,
				    uint8_t priority)
{
	uint32_t i;

	for (i = 0; i < qu->count; i++)
		if (qu->items[i].rq.priority <= priority)
			return 0;
	return 1;
}

/*
 * Whether a waiting request gives way to a new one when the queue is full: it
 * is less urgent, or equally urgent and only its caller is excessive.
 */
static int gives_way(const struct eb_admit_waiter *waiting,
		     const struct eb_admit_waiter *w)
{
	if (waiting->rq.priority != w->rq.priority)
		return waiting->rq.priority > w->rq.priority;
	return waiting->excessive && !w->excessive;
}

/*
 * Returns the index of the request that gives way to a new one when the queue
 * is full: of the least urgent ones the youngest, excessive callers' first;
 * `count` if none does.
 */
uint32_t eb_admit_queue_victim(const struct eb_admit_queue *qu,
			       const struct eb_admit_waiter *w)
{
	const struct eb_admit_waiter *q = qu->items;
	uint32_t i, best = qu->count;

	for (i = 0; i < qu->count; i++) {
		if (q[i].evicted || !gives_way(&q[i], w))
			continue;
		if (best == qu->count ||
		    q[i].rq.priority > q[best].rq.priority ||
		    (q[i].rq.priority == q[best].rq.priority &&
		     q[i].excessive >= q[best].excessive))
			best = i;
	}
	return best;
}

/* Marks a request to be refused at the next decision. */
void eb_admit_queue_evict(struct eb_admit_queue *qu, uint32_t i)
{
	qu->items[i].evicted = 1;
	qu->evicted++;
}
