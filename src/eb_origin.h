#ifndef EB_ORIGIN_H
#define EB_ORIGIN_H

#include <stdint.h>

#include "eb_adapter.h"
#include "eb_claim.h"
#include "eb_findings.h"
#include "eb_frame.h"
#include "eb_metrics.h"
#include "eb_nodes.h"
#include "eb_trace.h"

/*
 * The origin: calls of this daemon's callers, from the request to the last
 * frame of the answer. It picks the upstream, hands the request to its gate,
 * and decides what to do when that fails. It has no socket and no clock;
 * frames leave through its outlets.
 */
struct eb_origin;

/* Where frames go; each one takes the reference over. */
struct eb_origin_outlets {
	void (*to_front)(void *ctx, struct eb_frame *f);
	/*
	 * Sends to the gate of a node. After an error the frame has not
	 * left this daemon and never will.
	 */
	enum eb_status (*to_gate)(void *ctx, uint32_t node, struct eb_frame *f);
	/* Asks the daemon of a node for a sign of life. */
	void (*ask)(void *ctx, uint32_t node);
	void *ctx;
};

struct eb_origin_config {
	uint64_t incarnation;
	struct eb_nodes *nodes;
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	struct eb_claim *claims; /* NULL: keys are passed on only */
	struct eb_log *log;	 /* NULL: nothing is logged */
	const struct eb_dialect *dialect;
	uint8_t uploads_leave_region; /* when home refuses them for load */
};

struct eb_origin *eb_origin_new(const struct eb_origin_config *cf,
				const struct eb_origin_outlets *out,
				struct eb_findings *fs);
void eb_origin_free(struct eb_origin *og);
/* Requests are refused until then: the release may be an old one. */
void eb_origin_serve(struct eb_origin *og);
void eb_origin_from_front(struct eb_origin *og, struct eb_frame *f,
			  int64_t now_us);
/* A frame of the gate of a node. */
void eb_origin_from_gate(struct eb_origin *og, uint32_t node,
			 struct eb_frame *f, int64_t now_us);
/* Lists the calls that have been at the gate of a node for long. */
void eb_origin_list_overdue(const struct eb_origin *og, uint32_t node,
			    struct eb_frame *f, int64_t now_us);
/* The gate of a node is lost, and with it what was sent there. */
void eb_origin_lost(struct eb_origin *og, uint32_t node, int64_t now_us);
/* The gate of a node owes a sign of life: calls are moved where they may be. */
void eb_origin_suspect(struct eb_origin *og, uint32_t node, int64_t now_us);
/* Carries out what the claimant has decided for a call. */
void eb_origin_claim_action(struct eb_origin *og,
			    const struct eb_claim_action *act, int64_t now_us);
/* A node has come up: requests that wait for one are tried again. */
void eb_origin_up(struct eb_origin *og, int64_t now_us);
void eb_origin_tick(struct eb_origin *og, int64_t now_us);
uint32_t eb_origin_active(const struct eb_origin *og);

#endif
