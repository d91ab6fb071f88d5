#ifndef EB_GATE_H
#define EB_GATE_H

#include <jansson.h>
#include <stdint.h>

#include "eb_admit.h"
#include "eb_config.h"
#include "eb_feed.h"
#include "eb_findings.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_crash_detect.h"
#include "eb_mesh.h"
#include "eb_metrics.h"
#include "eb_trace.h"

/*
 * The gate handles the calls to the upstream beside this daemon, from their
 * arrival to the last frame of the answer. It has no socket and no clock: it
 * sends frames by callbacks, and its functions take the monotonic time.
 */
struct eb_gate;

/* Functions that send frames; each one takes the reference over. */
struct eb_gate_callbacks {
	void (*to_client)(void *ctx, struct eb_frame *f);
	/* `back` is NULL for a call of this daemon's own origin. */
	void (*to_origin)(void *ctx, const struct eb_routing_id *back,
			  struct eb_frame *f);
	void *ctx;
};

struct eb_gate_config {
	const char *upstream; /* name of the upstream beside this daemon */
	uint64_t incarnation;
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	uint32_t link_mbps;	   /* bandwidth of the link; 0: unknown */
	int64_t answers_max_bytes; /* unread bytes of answers; 0: no bound */
};

struct eb_gate *eb_gate_new(const struct eb_gate_config *cf,
			    const struct eb_gate_callbacks *out,
			    struct eb_findings *fs);
void eb_gate_free(struct eb_gate *gt);
/* `up` is NULL while this upstream is not in the configuration. */
void eb_gate_configure(struct eb_gate *gt, const struct eb_upstream *up,
		       const struct eb_rule *rule);
/* The gate keeps a reference to the configuration. */
void eb_gate_set_config(struct eb_gate *gt, const struct eb_config *cf);
void eb_gate_set_warmup(struct eb_gate *gt, const struct eb_service *sv,
			const struct eb_upstream *up, int64_t now_us);
void eb_gate_drain(struct eb_gate *gt);
void eb_gate_set_resumed(struct eb_gate *gt, int resumed);
void eb_gate_set_log(struct eb_gate *gt, struct eb_log *lg,
		     const char *request_id);
/*
 * The first start of the upstream that answers belongs to this service, whether
 * or not that start is in the configuration yet.
 */
void eb_gate_set_service(struct eb_gate *gt, const char *service);
/* To be called when the upstream starts or stops leaving on its own. */
void eb_gate_set_leaving(struct eb_gate *gt, int leaving);
void eb_gate_set_unconfirmed(struct eb_gate *gt, int unconfirmed,
			     int64_t now_us);
void eb_gate_set_evacuated(struct eb_gate *gt, int evacuated, int64_t now_us);
/* What heartbeat replies say of this daemon's copy, or of its release. */
void eb_gate_set_copy(struct eb_gate *gt, const struct eb_feed_state *state);
void eb_gate_from_origin(struct eb_gate *gt, struct eb_frame *f,
			 const struct eb_routing_id *back, int64_t now_us);
void eb_gate_from_client(struct eb_gate *gt, struct eb_frame *f,
			 int64_t now_us);
void eb_gate_poll(struct eb_gate *gt, int64_t now_us);
int64_t eb_gate_wake_us(const struct eb_gate *gt, int64_t now_us);
struct eb_crash_detect *eb_gate_marks(struct eb_gate *gt);
void eb_gate_tick(struct eb_gate *gt, int64_t now_us);
void eb_gate_load(const struct eb_gate *gt, struct eb_load *ld);
uint32_t eb_gate_active(const struct eb_gate *gt);

#endif
