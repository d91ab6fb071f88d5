#ifndef EB_GOAL_H
#define EB_GOAL_H

#include <stdint.h>

#include "eb_config.h"

/* The latest time at which an answer meets the objective of its path. */
struct eb_goal;

struct eb_goal *eb_goal_new(void);
void eb_goal_free(struct eb_goal *gl);
int64_t eb_goal_of(struct eb_goal *gl, const struct eb_match *pt,
		   int64_t remaining_us, int64_t started_us);

#endif
