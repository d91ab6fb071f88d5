#ifndef EB_CRASH_H
#define EB_CRASH_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/*
 * Requests whose run ended with a crash of the upstream. A mark names a
 * request by its fingerprint and lists the upstreams that crashed. Daemons of
 * a service send their marks to each other. Pure: time is passed in.
 */
struct eb_crash;

/*
 * Upstreams that one request may crash in the whole fleet. The request is
 * refused from one crash fewer on, because another run of it may have begun
 * before the mark arrived.
 */
#define EB_CRASH_UPSTREAMS_MAX 3
#define EB_CRASH_REFUSE_AT (EB_CRASH_UPSTREAMS_MAX - 1)
#define EB_CRASH_MARKS_MAX 3072
/* A mark expires this long after its last crash. */
#define EB_CRASH_EXPIRE_MS 600000
/*
 * Delay of the answer to a run that crashed, so that a caller that resends at
 * once reaches daemons that have received the mark.
 */
#define EB_CRASH_ANSWER_DELAY_MS 50
/* Daemons to which each one passes on marks that it learns. */
#define EB_CRASH_PARTNERS 4
/* Marks in one payload: under 4 KB. */
#define EB_CRASH_PAYLOAD_MARKS 64

/*
 * What makes two requests the same one. The caller counts by its credentials:
 * the address that it sends from changes with the machine that it uses.
 */
struct eb_crash_request {
	const char *method;
	const char *target;
	const char *key;	 /* idempotency key or NULL */
	const char *credentials; /* or NULL */
	const void *body;
	size_t body_bytes;
	uint64_t total_bytes; /* of the body, if not all of it is known */
	uint8_t open;	      /* neither the body nor its length is known */
};

/*
 * The fingerprints of a request. One body may be sent in several ways, and
 * nothing is known of it yet in some of them: such a request is taken for any
 * with that method, target and caller. A request may also come with another
 * query each time; requests that differ in nothing else are refused once they
 * have crashed EB_CRASH_UPSTREAMS_MAX upstreams together. The lowest bits tell
 * the four kinds apart.
 */
struct eb_crash_id {
	uint64_t exact; /* with the body; 0: the body is open */
	uint64_t open;	/* of requests whose body is open */
	uint64_t any;	/* whatever the body; 0: no request */
	uint64_t path;	/* whatever the query */
};

struct eb_crash_counters {
	uint64_t reported;
	uint64_t refused;
	uint64_t learned;  /* crashes received from other daemons */
	uint64_t evicted;  /* marks of one crash, to make room */
	uint64_t rejected; /* marks past EB_CRASH_MARKS_MAX */
	uint64_t bad_payloads;
	uint64_t marks;
	uint64_t crashes; /* of all marks together */
};

struct eb_crash *eb_crash_new(void);
void eb_crash_free(struct eb_crash *cr);
struct eb_crash_id eb_crash_identify(const struct eb_crash_request *rq);
int eb_crash_check(struct eb_crash *cr, const struct eb_crash_id *id,
		   int64_t now_us);
uint32_t eb_crash_wait_ms(struct eb_crash *cr, const struct eb_crash_id *id,
			  int64_t now_us);
void eb_crash_clear(struct eb_crash *cr, const struct eb_crash_id *id);
void eb_crash_done(struct eb_crash *cr, const struct eb_crash_id *id);
void eb_crash_report(struct eb_crash *cr, const struct eb_crash_id *id,
		     const char *upstream, int64_t now_us);
void eb_crash_encode(struct eb_crash *cr, uint32_t *from, int all,
		     int64_t now_us, msgpack_sbuffer *out);
enum eb_status eb_crash_recv(struct eb_crash *cr, const void *payload, size_t n,
			     int64_t now_us);
void eb_crash_read_counters(const struct eb_crash *cr,
			    struct eb_crash_counters *out);

#endif
