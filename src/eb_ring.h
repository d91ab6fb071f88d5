#ifndef EB_RING_H
#define EB_RING_H

#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/*
 * A bounded queue of pointers between threads. Any thread pushes; one thread
 * pops. The consumer polls the ring's eventfd, which becomes readable when
 * the ring stops being empty.
 */
struct eb_ring;

struct eb_ring *eb_ring_new(uint32_t slots);
void eb_ring_free(struct eb_ring *rg);
int eb_ring_fd(const struct eb_ring *rg);
enum eb_status eb_ring_push(struct eb_ring *rg, void *item);
uint32_t eb_ring_pop(struct eb_ring *rg, void **items, uint32_t max);
uint64_t eb_ring_refused(struct eb_ring *rg);

#endif
