#include "eb_trace.h"

#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[] = { "call", "attempt", "gate", "queue",
					  "upstream" };

struct eb_tracer {
	pthread_mutex_t lock;
	char daemon[64];
	uint32_t capacity; /* spans */
	uint64_t added;	   /* spans added so far, also overwritten ones */
	struct eb_span *spans;
};

/*
 * Creates a store that keeps the last `spans` spans of this daemon. Returns
 * NULL without memory.
 */
struct eb_tracer *eb_tracer_new(const char *daemon, uint32_t spans)
{
	struct eb_tracer *tr = calloc(1, sizeof(*tr));

	if (!tr)
		return NULL;
	tr->spans = calloc(spans, sizeof(*tr->spans));
	if (!tr->spans) {
		free(tr);
		return NULL;
	}
	tr->capacity = spans;
	snprintf(tr->daemon, sizeof(tr->daemon), "%s", daemon);
	pthread_mutex_init(&tr->lock, NULL);
	return tr;
}

/* Frees the store. */
void eb_tracer_free(struct eb_tracer *tr)
{
	if (!tr)
		return;
	pthread_mutex_destroy(&tr->lock);
	free(tr->spans);
	free(tr);
}

/* Stores a copy of the span; a full store overwrites its oldest span. */
void eb_tracer_add(struct eb_tracer *tr, const struct eb_span *sp)
{
	pthread_mutex_lock(&tr->lock);
	tr->spans[tr->added++ % tr->capacity] = *sp;
	pthread_mutex_unlock(&tr->lock);
}

static json_t *span_json(const struct eb_tracer *tr, const struct eb_span *sp)
{
	char trace[33], id[17], parent[17];

	eb_trace_hex(sp->trace, 16, trace);
	eb_trace_hex(sp->id, 8, id);
	eb_trace_hex(sp->parent, 8, parent);
	return json_pack("{ss ss ss ss ss ss ss ss si sI sI}", "trace", trace,
			 "span", id, "parent", parent, "daemon", tr->daemon,
			 "kind", kind_names[sp->kind], "upstream", sp->upstream,
			 "outcome", eb_outcome_name(sp->outcome), "reason",
			 eb_reason_name(sp->reason), "status", (int)sp->status,
			 "start_wall_us", (json_int_t)sp->start_wall_us,
			 "duration_us", (json_int_t)sp->duration_us);
}

/*
 * Returns a new array with the stored spans of a trace, oldest first. The array
 * is empty if there are none or if `trace_hex` is not 32 hexadecimal digits.
 */
json_t *eb_tracer_find(struct eb_tracer *tr, const char *trace_hex)
{
	json_t *out = json_array();
	uint8_t wanted[16];
	uint64_t i, first;
	size_t n = 0;

	if (sodium_hex2bin(wanted, 16, trace_hex, strlen(trace_hex), NULL, &n,
			   NULL) ||
	    n != 16)
		return out;
	pthread_mutex_lock(&tr->lock);
	first = tr->added > tr->capacity ? tr->added - tr->capacity : 0;
	for (i = first; i < tr->added; i++) {
		const struct eb_span *sp = &tr->spans[i % tr->capacity];

		if (!memcmp(sp->trace, wanted, 16))
			json_array_append_new(out, span_json(tr, sp));
	}
	pthread_mutex_unlock(&tr->lock);
	return out;
}

/*
 * Sets `id` to a random span identifier, which is never all zero. `rn` is
 * seeded once from the system's random numbers: reading these for each span
 * took 3% of the daemon's CPU time.
 */
void eb_trace_new_span(struct eb_rand *rn, uint8_t id[8])
{
	uint64_t n = eb_rand_next(rn);

	memcpy(id, &n, 8);
	id[0] |= 1;
}

/* Starts a new sampled trace without a parent span. */
void eb_trace_new_trace(struct eb_trace_id *tid)
{
	memset(tid, 0, sizeof(*tid));
	randombytes_buf(tid->trace, sizeof(tid->trace));
	tid->trace[0] |= 1;
	tid->sampled = 1;
}

/* Reads `n` bytes from lower-case hexadecimal digits; returns 0 or -1. */
static int read_hex(const char *text, uint32_t n, uint8_t *out)
{
	size_t got = 0;
	uint32_t i;

	for (i = 0; i < n * 2; i++)
		if (!text[i] || !strchr("0123456789abcdef", text[i]))
			return -1;
	return sodium_hex2bin(out, n, text, (size_t)n * 2, NULL, &got, NULL);
}

/* Reads an identifier of `n` bytes; returns -1 also if it is all zero. */
static int read_id(const char *text, uint32_t n, uint8_t *out)
{
	if (read_hex(text, n, out) || sodium_is_zero(out, n))
		return -1;
	return 0;
}

/*
 * Parses a W3C traceparent header. Returns 0, or -1 if it is not valid; `tid`
 * is then undefined.
 */
int eb_trace_parse(const char *traceparent, struct eb_trace_id *tid)
{
	const char *p = traceparent;
	size_t n = strlen(p);
	uint8_t version, flags;

	if (n < 55 || p[2] != '-' || p[35] != '-' || p[52] != '-')
		return -1;
	if (read_hex(p, 1, &version) || read_hex(p + 53, 1, &flags))
		return -1;
	if (version == 0xff || (!version && n != 55))
		return -1;
	if (read_id(p + 3, 16, tid->trace) || read_id(p + 36, 8, tid->span))
		return -1;
	tid->sampled = flags & 1;
	return 0;
}

/* Writes the value of the traceparent header with its closing NUL. */
void eb_trace_format(const struct eb_trace_id *tid, char out[56])
{
	char trace[33], span[17];

	eb_trace_hex(tid->trace, 16, trace);
	eb_trace_hex(tid->span, 8, span);
	snprintf(out, 56, "00-%s-%s-%02x", trace, span, tid->sampled & 1U);
}

/* Writes `n` bytes as 2 * n hexadecimal digits and a NUL. */
void eb_trace_hex(const uint8_t *bytes, uint32_t n, char *out)
{
	sodium_bin2hex(out, (size_t)n * 2 + 1, bytes, n);
}
