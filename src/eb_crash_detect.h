#ifndef EB_CRASH_DETECT_H
#define EB_CRASH_DETECT_H

#include <msgpack.h>
#include <stdint.h>

#include "eb_crash.h"
#include "eb_frame.h"
#include "eb_status.h"

/*
 * Detects crashes of the upstream at its gate and keeps the marks of requests
 * that crash upstreams (eb_crash.h). A request whose run ended with a closed
 * connection, or was stopped before its upstream answered, is a suspect. Then
 * the upstream is checked: it has crashed if it cannot be reached, if it closes
 * each connection without an answer for a while, as something that holds its
 * port may, or if it answers as another instance than the one that ran the
 * request. After a crash the suspects are marked. Pure: time is passed in, and
 * the caller carries out the checks.
 */
struct eb_crash_detect;

/* A run that ended without a whole answer. */
struct eb_crash_run {
	struct eb_crash_id id;
	uint64_t instance; /* of the upstream that ran it; 0: unknown */
};

enum eb_crash_state {
	EB_CRASH_STATE_UP = 0, /* it answers, or accepts connections */
	EB_CRASH_STATE_DOWN,   /* it cannot be reached */
	EB_CRASH_STATE_CUTS    /* it closes connections without an answer */
};

/* The result of a check. */
struct eb_crash_check {
	enum eb_crash_state state;
	uint64_t instance; /* that answered; 0: unknown */
};

/* A process that ends has closed its listening socket within this time. */
#define EB_CRASH_DETECT_CHECK_AFTER_MS 20
/*
 * A run that was stopped has a live upstream if that answers something within
 * this time; otherwise the upstream is checked.
 */
#define EB_CRASH_DETECT_STOPPED_MS 300
/*
 * An upstream that closes connections for this long, and answers no request
 * meanwhile, has crashed. One that is only full still answers what it runs.
 */
#define EB_CRASH_DETECT_CUTS_MS 250
/* Time between the checks of an upstream that closes connections. */
#define EB_CRASH_DETECT_CUTS_CHECK_MS 100
/* Time between the checks whether an upstream that crashed so is back. */
#define EB_CRASH_DETECT_BACK_CHECK_MS 300
/* A check without a result counts as lost after this; one takes 300 ms. */
#define EB_CRASH_DETECT_CHECK_LOST_MS 1000
/*
 * A request that the upstream has answered within this time is no suspect: many
 * callers send it, so that it often runs when something else ends the upstream.
 */
#define EB_CRASH_DETECT_ANSWERED_MS 10000
/* Answers that are remembered, a power of two. */
#define EB_CRASH_DETECT_ANSWERS_MAX 2048
/* Suspects that are kept at a time. */
#define EB_CRASH_DETECT_SUSPECTS_MAX 64
/* Retry delay of a marked request while another run of it is in progress. */
#define EB_CRASH_DETECT_TRIAL_WAIT_MS 1000

struct eb_crash_detect *eb_crash_detect_new(const char *upstream);
void eb_crash_detect_free(struct eb_crash_detect *mk);
struct eb_crash_id eb_crash_detect_identify(const struct eb_frame *head);
uint32_t eb_crash_detect_refuse(struct eb_crash_detect *mk,
				const struct eb_frame *head, int64_t now_us,
				struct eb_crash_id *id);
void eb_crash_detect_answered(struct eb_crash_detect *mk,
			      const struct eb_crash_id *id, int64_t now_us);
void eb_crash_detect_ended(struct eb_crash_detect *mk,
			   const struct eb_crash_id *id, int answered);
void eb_crash_detect_closed(struct eb_crash_detect *mk,
			    const struct eb_crash_run *run, int64_t now_us);
void eb_crash_detect_stopped(struct eb_crash_detect *mk,
			     const struct eb_crash_run *run, int64_t now_us);
void eb_crash_detect_alive(struct eb_crash_detect *mk, uint64_t instance);
int eb_crash_detect_check_due(struct eb_crash_detect *mk, int64_t now_us);
uint32_t eb_crash_detect_checked(struct eb_crash_detect *mk,
				 const struct eb_crash_check *result,
				 int64_t now_us);
uint32_t eb_crash_detect_count(const struct eb_crash_detect *mk);
void eb_crash_detect_read_counters(const struct eb_crash_detect *mk,
				   struct eb_crash_counters *out);
uint32_t eb_crash_detect_generation(const struct eb_crash_detect *mk);
uint32_t eb_crash_detect_changes(const struct eb_crash_detect *mk);
void eb_crash_detect_encode(struct eb_crash_detect *mk, uint32_t *from, int all,
			    int64_t now_us, msgpack_sbuffer *out);
enum eb_status eb_crash_detect_receive(struct eb_crash_detect *mk,
				       const void *payload, size_t n,
				       int64_t now_us);

#endif
