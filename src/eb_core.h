#ifndef EB_CORE_H
#define EB_CORE_H

#include <jansson.h>

#include "eb_adapter.h"
#include "eb_config.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_ring.h"
#include "eb_settings.h"
#include "eb_status.h"
#include "eb_trace.h"

/*
 * The core thread runs origin, gate and mesh, and passes frames between them,
 * the front and the client.
 */
struct eb_core;

struct eb_core_config {
	const struct eb_settings *settings;
	struct eb_ring *in; /* configurations, reports, lists of VMs, queries */
	struct eb_ring *from_front;
	struct eb_ring *from_client;
	struct eb_ring *to_front;
	struct eb_ring *to_client;
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	struct eb_log *log;
	const struct eb_adapter *adapter;
};

/* An entry of the platform's list of VMs. */
struct eb_vm {
	char address[64];
	uint8_t leaving;
};

struct eb_vm_list {
	uint32_t count;
	struct eb_vm *vms;
};

struct eb_core *eb_core_start(const struct eb_core_config *cf,
			      struct eb_error *err);
void eb_core_stop(struct eb_core *co);
void eb_core_free(struct eb_core *co);
/* The functions below may be called from any thread. */
void eb_core_set_source(struct eb_core *co, struct eb_source *sc);
enum eb_status eb_core_send_report(struct eb_core *co,
				   struct eb_source_report *rp);
int eb_core_serving(const struct eb_core *co);
enum eb_status eb_core_send_config(struct eb_core *co, struct eb_config *cf);
enum eb_status eb_core_send_vms(struct eb_core *co, struct eb_vm_list *list);
json_t *eb_core_status(struct eb_core *co);
void eb_core_drain(struct eb_core *co);
void eb_core_open_claims(struct eb_core *co);
uint32_t eb_core_active(const struct eb_core *co);

#endif
