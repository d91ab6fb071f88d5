#ifndef EB_PLAN_H
#define EB_PLAN_H

#include <stdio.h>

#include "eb_config.h"

/* Prints what changes between two configurations. */
void eb_plan_print(const struct eb_config *from, const struct eb_config *to,
		   FILE *out);

#endif
