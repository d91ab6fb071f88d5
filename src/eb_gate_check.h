#ifndef EB_GATE_CHECK_H
#define EB_GATE_CHECK_H

#include <stdint.h>

#include "eb_config.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_metrics.h"

/*
 * The upstream that a gate serves, as the configuration and its own answers
 * name it, and the checks of requests against both. `upstream` and `metrics`
 * must be set; the rest may be zero.
 */
struct eb_gate_check {
	const char *upstream; /* name; not owned */
	char *address;	      /* NULL: not configured */
	char *service;
	char *region;		  /* NULL: unknown */
	struct eb_config *config; /* NULL: requests run in any region */
	uint32_t generation;	  /* number of changes of the two above */
	char *instance;	   /* first start of the upstream that answered */
	char *own_service; /* service of `instance`; NULL: unknown */
	uint8_t replaced;  /* another start followed `instance` */
	char *configured;  /* instance in the configuration, or NULL */
	uint64_t start_ms; /* of `configured`; 0: unknown */
	struct eb_metrics *metrics;
	struct eb_log *log; /* NULL: nothing is logged */
};

void eb_gate_check_clear(struct eb_gate_check *gc);
int eb_gate_check_configure(struct eb_gate_check *gc,
			    const struct eb_upstream *up);
void eb_gate_check_set_config(struct eb_gate_check *gc,
			      const struct eb_config *cf);
void eb_gate_check_set_service(struct eb_gate_check *gc, const char *service);
void eb_gate_check_answered(struct eb_gate_check *gc, const char *instance);
int eb_gate_check_own_start(const struct eb_gate_check *gc,
			    const struct eb_head *h);
int eb_gate_check_addressed(const struct eb_gate_check *gc,
			    const struct eb_head *h);
int eb_gate_check_region(const struct eb_gate_check *gc,
			 const struct eb_head *h);

#endif
