#ifndef EB_TRACE_H
#define EB_TRACE_H

#include <jansson.h>
#include <stdint.h>

#include "eb_frame.h"
#include "eb_rand.h"

/* The stage of a call that a span covers. */
enum eb_span_kind {
	EB_SPAN_CALL = 0, /* at the origin: request read to answer complete */
	EB_SPAN_ATTEMPT,  /* at the origin: one attempt at a gate */
	EB_SPAN_GATE,	  /* at the gate: arrival to last byte */
	EB_SPAN_QUEUE,	  /* at the gate: wait for a slot */
	EB_SPAN_UPSTREAM, /* at the gate: request to the upstream */
};

struct eb_span {
	uint8_t trace[16];
	uint8_t id[8];
	uint8_t parent[8];
	uint8_t kind;
	uint8_t outcome;
	uint8_t reason;
	uint16_t status;
	int64_t start_wall_us; /* wall-clock time, only for display */
	int64_t duration_us;
	char upstream[48];
};

struct eb_tracer;

struct eb_tracer *eb_tracer_new(const char *daemon, uint32_t spans);
void eb_tracer_free(struct eb_tracer *tr);
void eb_tracer_add(struct eb_tracer *tr, const struct eb_span *sp);
json_t *eb_tracer_find(struct eb_tracer *tr, const char *trace_hex);

void eb_trace_new_span(struct eb_rand *rn, uint8_t id[8]);
void eb_trace_new_trace(struct eb_trace_id *tid);
int eb_trace_parse(const char *traceparent, struct eb_trace_id *tid);
void eb_trace_format(const struct eb_trace_id *tid, char out[56]);
void eb_trace_hex(const uint8_t *bytes, uint32_t n, char *out);

#endif
