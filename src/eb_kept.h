#ifndef EB_KEPT_H
#define EB_KEPT_H

#include <stdint.h>

#include "eb_frame.h"

/*
 * The last frames of calls that a gate has ended, for a while: a connection
 * that is lost takes with it what is on the way, and an origin then asks for it
 * or connects again. Only answers of one frame can be sent again. Bounded in
 * number, size and age; the oldest ones go first. Pure: times are monotonic, in
 * microseconds.
 */
struct eb_kept;

struct eb_kept *eb_kept_new(void);
void eb_kept_free(struct eb_kept *kp);
void eb_kept_add(struct eb_kept *kp, uint64_t origin, struct eb_frame *f,
		 int64_t now_us);
void eb_kept_expire(struct eb_kept *kp, int64_t now_us);
struct eb_frame *eb_kept_find(struct eb_kept *kp, uint64_t origin,
			      uint64_t call);
struct eb_frame *eb_kept_next(struct eb_kept *kp, uint64_t origin,
			      uint32_t *pos);

#endif
