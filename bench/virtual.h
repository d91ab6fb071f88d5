#ifndef VIRTUAL_H
#define VIRTUAL_H

#include <assert.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/*
 * Event queue of a virtual clock: a binary heap, ordered by time and among
 * equal times by insertion. The caller defines the kinds of events and what
 * `who` (such as the index of an upstream) and `what` mean for each.
 */
struct event {
	int64_t at_us;
	uint32_t order; /* of insertion */
	uint32_t kind;
	uint32_t who;
	uint32_t what;
};

struct events {
	struct event *heap;
	uint32_t count;
	uint32_t space; /* allocated events */
	uint32_t order; /* of the next event */
};

/* Orders numbers for qsort(). */
static inline int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static inline int event_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static inline void event_push(struct events *es, int64_t at_us, uint32_t kind,
			      uint32_t who, uint32_t what)
{
	struct event e = { at_us, es->order++, kind, who, what };
	uint32_t i = es->count++;

	if (i == es->space) {
		es->space = es->space ? 2 * es->space : 1024;
		es->heap = realloc(es->heap, es->space * sizeof(*es->heap));
		assert(es->heap);
	}
	for (; i && event_before(&e, &es->heap[(i - 1) / 2]); i = (i - 1) / 2)
		es->heap[i] = es->heap[(i - 1) / 2];
	es->heap[i] = e;
}

static inline struct event event_pop(struct events *es)
{
	struct event top = es->heap[0], e = es->heap[--es->count];
	uint32_t i = 0, k;

	while ((k = 2 * i + 1) < es->count) {
		if (k + 1 < es->count &&
		    event_before(&es->heap[k + 1], &es->heap[k]))
			k++;
		if (event_before(&e, &es->heap[k]))
			break;
		es->heap[i] = es->heap[k];
		i = k;
	}
	es->heap[i] = e;
	return top;
}

/* A first-in first-out queue of indices, in a ring buffer. */
struct fifo {
	uint32_t *items;
	uint32_t head;
	uint32_t count;
	uint32_t space; /* a power of two */
};

static inline void fifo_push(struct fifo *q, uint32_t item)
{
	uint32_t space = q->space ? 2 * q->space : 64, i, *items;

	if (q->count == q->space) {
		items = malloc(space * sizeof(*items));
		assert(items);
		for (i = 0; i < q->count; i++)
			items[i] = q->items[(q->head + i) & (q->space - 1)];
		free(q->items);
		q->items = items;
		q->space = space;
		q->head = 0;
	}
	q->items[(q->head + q->count++) & (q->space - 1)] = item;
}

static inline uint32_t fifo_first(const struct fifo *q)
{
	return q->items[q->head];
}

static inline uint32_t fifo_pop(struct fifo *q)
{
	uint32_t item = q->items[q->head];

	q->head = (q->head + 1) & (q->space - 1);
	q->count--;
	return item;
}

/* Measured times in us. */
struct times {
	uint32_t *us;
	uint32_t count;
	uint32_t space;
};

static inline void times_add(struct times *t, int64_t us)
{
	if (t->count == t->space) {
		t->space = t->space ? 2 * t->space : 4096;
		t->us = realloc(t->us, t->space * sizeof(*t->us));
		assert(t->us);
	}
	t->us[t->count++] = (uint32_t)us;
}

static inline int compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static inline void times_sort(struct times *t)
{
	if (t->count)
		qsort(t->us, t->count, sizeof(*t->us), compare_us);
}

/* Returns a quantile in ms of sorted times, or 0 if there are none. */
static inline double times_ms(const struct times *t, uint32_t permille)
{
	uint64_t i = (uint64_t)t->count * permille / 1000;

	if (!t->count)
		return 0;
	return t->us[i < t->count ? i : t->count - 1] / 1000.0;
}

#endif
