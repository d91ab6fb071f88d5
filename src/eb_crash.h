#ifndef EB_CRASH_H
#define EB_CRASH_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/*
 * Requests whose run ended with a crash of the upstream. A mark names a
 * request by its fingerprint and lists the upstreams that crashed. Marks
 * spread to all daemons of the service. Pure: time is passed in.
 */
struct eb_crash;

/*
 * Upstreams that one request may crash across the fleet. It is refused from
 * one fewer on, which leaves one for a run that began before the mark came.
 */
#define EB_CRASH_UPSTREAMS_MAX 3
#define EB_CRASH_REFUSE_AT (EB_CRASH_UPSTREAMS_MAX - 1)
#define EB_CRASH_MARKS_MAX 1024
/* A mark expires this long after its last crash. */
#define EB_CRASH_EXPIRE_MS 600000
/*
 * The answer to a run that crashed is held back this long, so that a caller
 * that resends at once meets daemons that have the mark already.
 */
#define EB_CRASH_ANSWER_DELAY_MS 50
/* Marks in one payload: under 4 KB. */
#define EB_CRASH_PAYLOAD_MARKS 64

/* What makes two requests the same one. */
struct eb_crash_request {
	const char *method;
	const char *target;
	const char *key; /* idempotency key or NULL */
	const void *body;
	size_t body_bytes;
	uint64_t whole_bytes; /* of the body, if not all of it is known */
	uint64_t caller;      /* hash of the caller's address */
};

struct eb_crash_counters {
	uint64_t reported;
	uint64_t refused;
	uint64_t learned;  /* crashes that other daemons told of */
	uint64_t evicted;  /* single crashes, to make room */
	uint64_t rejected; /* marks past EB_CRASH_MARKS_MAX */
	uint64_t bad_payloads;
	uint64_t marks;
	uint64_t crashes; /* of all marks together */
};

struct eb_crash *eb_crash_new(void);
void eb_crash_free(struct eb_crash *cr);
uint64_t eb_crash_fingerprint(const struct eb_crash_request *rq);
int eb_crash_check(struct eb_crash *cr, uint64_t fingerprint, int64_t now_us);
/* Time in ms until a refused request may run again; 0: it is not refused. */
uint32_t eb_crash_wait_ms(struct eb_crash *cr, uint64_t fingerprint,
			  int64_t now_us);
/* The request was answered: it does not crash what runs it. */
void eb_crash_clear(struct eb_crash *cr, uint64_t fingerprint);
void eb_crash_done(struct eb_crash *cr, uint64_t fingerprint);
void eb_crash_report(struct eb_crash *cr, uint64_t fingerprint,
		     const char *upstream, int64_t now_us);
void eb_crash_encode(struct eb_crash *cr, uint32_t *from, int all,
		     int64_t now_us, msgpack_sbuffer *out);
enum eb_status eb_crash_recv(struct eb_crash *cr, const void *payload, size_t n,
			     int64_t now_us);
void eb_crash_read_counters(const struct eb_crash *cr,
			    struct eb_crash_counters *out);

#endif
