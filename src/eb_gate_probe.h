#ifndef EB_GATE_PROBE_H
#define EB_GATE_PROBE_H

#include "eb_config.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_warmup.h"

/*
 * The gate's probes of the upstream: when one is sent, what the last one has
 * shown, and how long calls wait for the result. It is part of the gate and has
 * no socket and no clock.
 */
struct eb_gate_probe {
	struct eb_warmup *warmup; /* of admission */
	struct eb_metrics *metrics;
	struct eb_log *log; /* NULL: nothing is logged */
	void (*to_client)(void *ctx, struct eb_frame *f);
	void *ctx;
	char *where;	 /* address and path, or NULL */
	int64_t pace_us; /* when the pace was received; 0: never */
	int64_t sent_us; /* when the open probe was sent; 0: none */
	uint32_t held;	 /* calls that wait for the open probe */
	uint8_t demand;	 /* a call arrived after the last probe was sent */
	uint8_t cold;	 /* as last logged */
};

void eb_gate_probe_clear(struct eb_gate_probe *pb);
void eb_gate_probe_configure(struct eb_gate_probe *pb,
			     const struct eb_upstream *up);
void eb_gate_probe_set_warmup(struct eb_gate_probe *pb,
			      const struct eb_service *sv,
			      const struct eb_upstream *up, int64_t now_us);
int eb_gate_probe_needed(const struct eb_gate_probe *pb, int64_t now_us);
void eb_gate_probe_send(struct eb_gate_probe *pb, int64_t now_us);
int eb_gate_probe_save_pace(struct eb_gate_probe *pb, const struct eb_reply *r,
			    int64_t now_us);
void eb_gate_probe_answered(struct eb_gate_probe *pb, const struct eb_frame *f,
			    int64_t now_us);
void eb_gate_probe_new_start(struct eb_gate_probe *pb);
int eb_gate_probe_wait_over(const struct eb_gate_probe *pb, int64_t now_us);
void eb_gate_probe_poll(struct eb_gate_probe *pb, int64_t now_us);
int64_t eb_gate_probe_wake_us(const struct eb_gate_probe *pb, int64_t now_us);
int64_t eb_gate_probe_pace_age_ms(const struct eb_gate_probe *pb,
				  int64_t now_us);

#endif
