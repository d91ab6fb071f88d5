#ifndef EB_MARKS_H
#define EB_MARKS_H

#include <msgpack.h>
#include <stdint.h>

#include "eb_frame.h"
#include "eb_status.h"

/*
 * Marks of requests that crash upstreams, as a gate uses them. A run that
 * ends with a closed connection is suspected; once the upstream refuses
 * connections it has crashed, and the suspects are marked. Pure: time is
 * passed in, and the caller carries out the checks.
 */
struct eb_marks;
struct eb_crash_counters;

/* A process that ends has closed its listening socket within this time. */
#define EB_MARKS_CHECK_AFTER_MS 20
/* A check without a result counts as lost after this; one takes 300 ms. */
#define EB_MARKS_CHECK_LOST_MS 1000
/* Runs that ended without an answer are remembered up to this number. */
#define EB_MARKS_SUSPECTS_MAX 64
/* A request whose other run is in progress may be sent again after this. */
#define EB_MARKS_TRIAL_WAIT_MS 1000

struct eb_marks *eb_marks_new(const char *upstream);
void eb_marks_free(struct eb_marks *mk);
/* What makes two requests the same one, from the HEAD of a call. */
uint64_t eb_marks_fingerprint(const struct eb_frame *head);
/*
 * Tells whether a request may run: 0, or the pause in ms after which it may
 * be sent again. `fingerprint` is set, to 0 when nothing is marked at all;
 * a request that may run is followed by eb_marks_ended().
 */
uint32_t eb_marks_refuse(struct eb_marks *mk, const struct eb_frame *head,
			 int64_t now_us, uint64_t *fingerprint);
/* A request that was let through has ended, with an answer or without. */
void eb_marks_ended(struct eb_marks *mk, uint64_t fingerprint, int answered);
/* A run has ended because the upstream closed its connection. */
void eb_marks_closed(struct eb_marks *mk, uint64_t fingerprint, int64_t now_us);
/* Whether the upstream is to be checked now; the check counts as sent. */
int eb_marks_check_due(struct eb_marks *mk, int64_t now_us);
/* The check has ended; returns how many requests were marked. */
uint32_t eb_marks_checked(struct eb_marks *mk, int down, int64_t now_us);
/* How many requests are marked, here or by other daemons. */
uint32_t eb_marks_count(const struct eb_marks *mk);
/* What has been counted so far. */
void eb_marks_read_counters(const struct eb_marks *mk,
			    struct eb_crash_counters *out);
/* Grows with each mark made here; 0 while there was none. */
uint32_t eb_marks_generation(const struct eb_marks *mk);
/* All marks for another daemon, in parts; see eb_crash_encode(). */
void eb_marks_encode(struct eb_marks *mk, uint32_t *from, int64_t now_us,
		     msgpack_sbuffer *out);
enum eb_status eb_marks_receive(struct eb_marks *mk, const void *payload,
				size_t n, int64_t now_us);

#endif
