#ifndef EB_EVACUATION_H
#define EB_EVACUATION_H

#include <jansson.h>
#include <stdint.h>

#include "eb_config.h"
#include "eb_log.h"
#include "eb_metrics.h"

/*
 * Records which failure domains are evacuated and since when, and logs when an
 * evacuation comes into force or ends. It is in force while the configuration
 * lists it, from when the configuration has an upstream of that domain on.
 */
struct eb_evacuation;

struct eb_evacuation *eb_evacuation_new(struct eb_log *lg,
					struct eb_metrics *mt);
void eb_evacuation_free(struct eb_evacuation *ev);
void eb_evacuation_update(struct eb_evacuation *ev, const struct eb_config *cf,
			  int64_t now_us);
uint32_t eb_evacuation_in_force(const struct eb_evacuation *ev);
json_t *eb_evacuation_status(const struct eb_evacuation *ev, int64_t now_us);
json_t *eb_evacuation_changes(const struct eb_evacuation *ev, int64_t now_us);

#endif
