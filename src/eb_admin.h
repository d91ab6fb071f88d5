#ifndef EB_ADMIN_H
#define EB_ADMIN_H

#include <jansson.h>

#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_status.h"
#include "eb_trace.h"

/*
 * The admin port: GET /metrics (Prometheus text), /status (JSON),
 * /traces/ID (JSON), /health, /ready; POST /drain,
 * /claims/open. It runs in a thread of its own.
 */
struct eb_admin;

/* What the admin port asks of the daemon; called from its thread. */
struct eb_admin_ops {
	json_t *(*status)(void *ctx); /* a new object */
	void (*drain)(void *ctx);
	/* The operator's word that no idempotency key was used so far. */
	void (*open_claims)(void *ctx);
	int (*ready)(void *ctx); /* requests are served; NULL: always */
};

struct eb_admin *eb_admin_start(const struct eb_settings *se,
				struct eb_metrics *mt, struct eb_tracer *tr,
				struct eb_log *lg,
				const struct eb_admin_ops *ops, void *ctx,
				struct eb_error *err);
uint16_t eb_admin_port(const struct eb_admin *am);
void eb_admin_stop(struct eb_admin *am);

#endif
