#ifndef EB_OVERDUE_H
#define EB_OVERDUE_H

#include <stdint.h>

#include "eb_frame.h"

/*
 * Numbers of calls that have lasted for long, as heartbeats and their answers
 * list them. Each side ends a call that the other one no longer has: a frame
 * that was lost with a connection would leave it open for ever.
 */

/* Tells whether a call that began at `started_us` is to be listed. */
int eb_overdue(int64_t started_us, int64_t now_us);
int eb_overdue_add(struct eb_frame *f, uint64_t number);
uint32_t eb_overdue_count(const struct eb_frame *f);
uint64_t eb_overdue_at(const struct eb_frame *f, uint32_t i);

#endif
