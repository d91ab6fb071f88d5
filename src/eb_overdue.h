#ifndef EB_OVERDUE_H
#define EB_OVERDUE_H

#include <stdint.h>

#include "eb_frame.h"

/*
 * The list of long calls in heartbeats and their answers. An origin or a gate
 * that does not have a listed call makes the peer end it. Otherwise a call
 * would stay open for ever after a frame was lost with its connection.
 */

int eb_overdue(int64_t started_us, int64_t now_us);
int eb_overdue_add(struct eb_frame *f, uint64_t number);
uint32_t eb_overdue_count(const struct eb_frame *f);
uint64_t eb_overdue_at(const struct eb_frame *f, uint32_t i);

#endif
