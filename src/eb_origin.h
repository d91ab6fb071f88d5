#ifndef EB_ORIGIN_H
#define EB_ORIGIN_H

#include <stdint.h>

#include "eb_adapter.h"
#include "eb_claimant.h"
#include "eb_findings.h"
#include "eb_frame.h"
#include "eb_metrics.h"
#include "eb_nodes.h"
#include "eb_trace.h"

/*
 * The origin handles the calls of this daemon's callers, from the request to
 * the last frame of the answer. It picks the upstream, sends the request to its
 * gate, and decides about retries. It has no socket and no clock: it sends
 * frames by callbacks, and its functions take the monotonic time.
 */
struct eb_origin;

/* Functions that send frames; each one takes the reference over. */
struct eb_origin_callbacks {
	void (*to_front)(void *ctx, struct eb_frame *f);
	/*
	 * Sends to the gate of a node. After an error the frame is not sent
	 * later either.
	 */
	enum eb_status (*to_gate)(void *ctx, uint32_t node, struct eb_frame *f);
	/* Sends a heartbeat to the daemon of a node. */
	void (*ask)(void *ctx, uint32_t node);
	void *ctx;
};

struct eb_origin_config {
	uint64_t incarnation;
	struct eb_nodes *nodes;
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	struct eb_claimant *claims; /* NULL: keys are passed on only */
	struct eb_log *log;	    /* NULL: nothing is logged */
	const struct eb_dialect *dialect;
	/* Streamed bodies may go to other regions if the local one is full. */
	uint8_t uploads_leave_region;
	uint32_t link_mbps; /* bandwidth of the link; 0: unknown */
};

struct eb_origin *eb_origin_new(const struct eb_origin_config *cf,
				const struct eb_origin_callbacks *out,
				struct eb_findings *fs);
void eb_origin_free(struct eb_origin *og);
/* Until this call requests are held, as the release may be outdated. */
void eb_origin_serve(struct eb_origin *og, int64_t now_us);
void eb_origin_from_front(struct eb_origin *og, struct eb_frame *f,
			  int64_t now_us);
void eb_origin_from_gate(struct eb_origin *og, uint32_t node,
			 struct eb_frame *f, int64_t now_us);
void eb_origin_list_overdue(const struct eb_origin *og, uint32_t node,
			    struct eb_frame *f, int64_t now_us);
void eb_origin_gate_lost(struct eb_origin *og, uint32_t node, int64_t now_us);
/* To be called when a node's daemon is suspected by failure detection. */
void eb_origin_gate_suspected(struct eb_origin *og, uint32_t node,
			      int64_t now_us);
void eb_origin_claim_action(struct eb_origin *og,
			    const struct eb_claimant_action *act,
			    int64_t now_us);
void eb_origin_node_up(struct eb_origin *og, int64_t now_us);
void eb_origin_tick(struct eb_origin *og, int64_t now_us);
uint32_t eb_origin_active(const struct eb_origin *og);

#endif
