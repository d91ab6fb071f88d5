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
 * /traces/ID (JSON), /health, /ready; POST /drain, /claims/open.
 */
struct eb_admin;

/* Callbacks into the daemon; called from the admin port's threads. */
struct eb_admin_ops {
	json_t *(*status)(void *ctx); /* a new object, or NULL */
	void (*drain)(void *ctx);
	/* The operator states that no idempotency key was used before. */
	void (*open_claims)(void *ctx);
	int (*ready)(void *ctx); /* 1: requests are served; NULL: always 1 */
};

struct eb_admin *eb_admin_start(const struct eb_settings *se,
				struct eb_metrics *mt, struct eb_tracer *tr,
				struct eb_log *lg,
				const struct eb_admin_ops *ops, void *ctx,
				struct eb_error *err);
uint16_t eb_admin_port(const struct eb_admin *am);
void eb_admin_stop(struct eb_admin *am);

#endif
