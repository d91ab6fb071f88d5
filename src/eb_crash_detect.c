#include "eb_crash_detect.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_headers.h"
#include "eb_tunables.h"

struct suspect {
	struct eb_crash_run run;
	int64_t closed_us;
	int64_t check_us; /* earliest time of a check */
	uint8_t stopped;  /* here, not by the upstream */
};

/* A fingerprint of a request that the upstream has answered. */
struct answer {
	uint64_t fingerprint; /* 0: none */
	int64_t answered_us;
};

struct eb_crash_detect {
	struct eb_crash *crash;
	char *upstream;
	/* By the upper bits of the fingerprint; a newer one overwrites. */
	struct answer answers[EB_CRASH_DETECT_ANSWERS_MAX];
	struct suspect suspects[EB_CRASH_DETECT_SUSPECTS_MAX];
	uint32_t suspect_count;
	uint32_t crashes;      /* of this upstream, since the daemon started */
	int64_t outage_us;     /* when the latest crash was found */
	uint32_t changes;      /* of the marks, here or by other daemons */
	uint32_t generation;   /* `changes` after the last one here */
	int64_t checked_us;    /* when the check was sent; 0: none is pending */
	int64_t cuts_since_us; /* it closes connections since; 0: it does not */
	int64_t next_check_us; /* of one that closes connections */
	uint8_t counted;       /* this outage is counted as a crash */
};

/* Returns NULL if out of memory. */
struct eb_crash_detect *eb_crash_detect_new(const char *upstream)
{
	struct eb_crash_detect *mk = calloc(1, sizeof(*mk));

	if (!mk)
		return NULL;
	mk->crash = eb_crash_new();
	mk->upstream = strdup(upstream);
	if (mk->crash && mk->upstream)
		return mk;
	eb_crash_detect_free(mk);
	return NULL;
}

/* Frees the marks; NULL is allowed. */
void eb_crash_detect_free(struct eb_crash_detect *mk)
{
	if (!mk)
		return;
	eb_crash_free(mk->crash);
	free(mk->upstream);
	free(mk);
}

/*
 * Returns the fingerprints of a request from the HEAD of its call. Of a body
 * that follows HEAD only the length counts. A body in chunks may be any; so may
 * a short one that does not come with HEAD, as one that does is known in full.
 */
struct eb_crash_id eb_crash_detect_identify(const struct eb_frame *head)
{
	const struct eb_head *h = head->head;
	struct eb_crash_request rq = { 0 };

	rq.method = h->method;
	rq.target = h->target;
	rq.key = h->key;
	rq.credentials = eb_headers_find(&h->headers, "Authorization");
	rq.body = head->data;
	rq.body_bytes = head->data_bytes;
	rq.total_bytes = h->body_bytes;
	rq.open = h->body_kind == EB_BODY_CHUNKED ||
		  (h->body_kind == EB_BODY_LENGTH &&
		   h->body_bytes <= EB_INLINE_BODY_BYTES);
	return eb_crash_identify(&rq);
}

/*
 * Decides whether a request may run. Returns 0 if so, and
 * eb_crash_detect_ended() must follow; else the time in ms after which the
 * request may be sent again. `id` is set to that of the request.
 */
uint32_t eb_crash_detect_refuse(struct eb_crash_detect *mk,
				const struct eb_frame *head, int64_t now_us,
				struct eb_crash_id *id)
{
	uint32_t wait_ms;

	*id = eb_crash_detect_identify(head);
	if (!eb_crash_detect_count(mk) || eb_crash_check(mk->crash, id, now_us))
		return 0;
	wait_ms = eb_crash_wait_ms(mk->crash, id, now_us);
	return wait_ms ? wait_ms : EB_CRASH_DETECT_TRIAL_WAIT_MS;
}

static struct answer *answer_of(struct eb_crash_detect *mk,
				uint64_t fingerprint)
{
	return &mk->answers[(fingerprint >> 32) &
			    (EB_CRASH_DETECT_ANSWERS_MAX - 1)];
}

static void remember(struct eb_crash_detect *mk, uint64_t fingerprint,
		     int64_t now_us)
{
	struct answer *an = answer_of(mk, fingerprint);

	an->fingerprint = fingerprint;
	an->answered_us = now_us;
}

static int is_remembered(struct eb_crash_detect *mk, uint64_t fingerprint,
			 int64_t now_us)
{
	const struct answer *an = answer_of(mk, fingerprint);

	return fingerprint && an->fingerprint == fingerprint &&
	       now_us - an->answered_us < EB_CRASH_DETECT_ANSWERED_MS * 1000LL;
}

/*
 * Remembers that the upstream has answered a request. Without its body, that
 * says nothing of others with the same target.
 */
void eb_crash_detect_answered(struct eb_crash_detect *mk,
			      const struct eb_crash_id *id, int64_t now_us)
{
	remember(mk, id->path, now_us);
	remember(mk, id->exact ? id->exact : id->open, now_us);
	if (!id->exact)
		remember(mk, id->any, now_us);
}

/*
 * Reports a crash during a run, except by the fingerprints under which the
 * upstream has answered requests lately. Returns whether there are others.
 */
static int report(struct eb_crash_detect *mk, const struct eb_crash_run *run,
		  const char *crash, int64_t now_us)
{
	struct eb_crash_id id = run->id;

	if (is_remembered(mk, id.exact ? id.exact : id.open, now_us))
		return 0;
	if (is_remembered(mk, id.any, now_us))
		id.any = 0;
	if (is_remembered(mk, id.path, now_us))
		id.path = 0;
	eb_crash_report(mk->crash, &id, crash, now_us);
	return 1;
}

/*
 * Ends a run that eb_crash_detect_refuse() allowed. An answer shows that the
 * request does not crash the upstream, so that its mark is removed.
 */
void eb_crash_detect_ended(struct eb_crash_detect *mk,
			   const struct eb_crash_id *id, int answered)
{
	if (answered)
		eb_crash_clear(mk->crash, id);
	eb_crash_done(mk->crash, id);
}

/* Adds a suspect; past EB_CRASH_DETECT_SUSPECTS_MAX the oldest is dropped. */
static void add_suspect(struct eb_crash_detect *mk,
			const struct suspect *suspect)
{
	if (mk->suspect_count == EB_CRASH_DETECT_SUSPECTS_MAX) {
		mk->suspect_count--;
		memmove(mk->suspects, mk->suspects + 1,
			mk->suspect_count * sizeof(mk->suspects[0]));
	}
	mk->suspects[mk->suspect_count++] = *suspect;
}

/* Adds a suspect whose run ended because the upstream closed the connection. */
void eb_crash_detect_closed(struct eb_crash_detect *mk,
			    const struct eb_crash_run *run, int64_t now_us)
{
	const struct suspect sp = { *run, now_us,
				    now_us + EB_CRASH_DETECT_CHECK_AFTER_MS *
						     1000LL,
				    0 };

	add_suspect(mk, &sp);
}

/*
 * Adds a suspect whose run was stopped without an answer, by its caller or its
 * deadline: an upstream that went silent closes no connection.
 */
void eb_crash_detect_stopped(struct eb_crash_detect *mk,
			     const struct eb_crash_run *run, int64_t now_us)
{
	const struct suspect sp = {
		*run, now_us, now_us + EB_CRASH_DETECT_STOPPED_MS * 1000LL, 1
	};

	add_suspect(mk, &sp);
}

/* Records that the upstream serves: what it closed before was no outage. */
static void end_outage(struct eb_crash_detect *mk)
{
	mk->cuts_since_us = 0;
	mk->counted = 0;
}

/* Tells whether an instance that answers is not the one that ran a suspect. */
static int is_replaced(const struct suspect *sp, uint64_t instance)
{
	return sp->run.instance && instance && sp->run.instance != instance;
}

/*
 * An instance of the upstream has answered a request, 0 if it is not known
 * which: it has not crashed on runs that were stopped.
 */
void eb_crash_detect_alive(struct eb_crash_detect *mk, uint64_t instance)
{
	const struct suspect *sp;
	uint32_t i, kept = 0;

	end_outage(mk);
	for (i = 0; i < mk->suspect_count; i++) {
		sp = &mk->suspects[i];
		if (!sp->stopped || is_replaced(sp, instance))
			mk->suspects[kept++] = *sp;
	}
	mk->suspect_count = kept;
}

/*
 * Whether the upstream is to be checked now. If so, the check counts as sent
 * and eb_crash_detect_checked() should follow.
 */
int eb_crash_detect_check_due(struct eb_crash_detect *mk, int64_t now_us)
{
	int pending =
		mk->checked_us &&
		now_us - mk->checked_us < EB_CRASH_DETECT_CHECK_LOST_MS * 1000;
	int due = mk->counted;
	uint32_t i;

	if (pending || (mk->cuts_since_us && now_us < mk->next_check_us))
		return 0;
	for (i = 0; i < mk->suspect_count && !due; i++)
		due = now_us >= mk->suspects[i].check_us;
	if (due)
		mk->checked_us = now_us;
	return due;
}

/*
 * Handles a check that found the upstream closing connections. Returns 1 once
 * it has done so for long enough to count as down.
 */
static int cuts_too_long(struct eb_crash_detect *mk, int64_t now_us)
{
	int64_t next_ms;

	if (!mk->cuts_since_us)
		mk->cuts_since_us = now_us;
	mk->counted |=
		now_us - mk->cuts_since_us >= EB_CRASH_DETECT_CUTS_MS * 1000LL;
	next_ms = mk->counted ? EB_CRASH_DETECT_BACK_CHECK_MS
			      : EB_CRASH_DETECT_CUTS_CHECK_MS;
	mk->next_check_us = now_us + next_ms * 1000;
	return mk->counted;
}

/*
 * Takes the result of a check. If the upstream has crashed, the suspects are
 * marked with this crash; one outage counts as one crash. Its name holds the
 * time, because the number starts again with the daemon, and marks of before
 * may come back from others. If the upstream is up, suspects whose connections
 * were closed at least EB_CRASH_DETECT_CHECK_AFTER_MS before the check was sent
 * are dropped; later ones remain for the next check. Returns how many requests
 * were marked.
 */
uint32_t eb_crash_detect_checked(struct eb_crash_detect *mk,
				 const struct eb_crash_check *result,
				 int64_t now_us)
{
	int64_t before_us =
		mk->checked_us - EB_CRASH_DETECT_CHECK_AFTER_MS * 1000;
	int counted = mk->counted, down = 0;
	uint32_t i, kept = 0, marked = 0;
	const struct suspect *sp;
	char crash[144];

	mk->checked_us = 0;
	if (result->state == EB_CRASH_STATE_CUTS)
		down = cuts_too_long(mk, now_us);
	else
		end_outage(mk);
	down |= result->state == EB_CRASH_STATE_DOWN;
	if (!counted)
		mk->outage_us = now_us;
	snprintf(crash, sizeof(crash), "%.100s %u %lld", mk->upstream,
		 mk->crashes + !counted, (long long)mk->outage_us);
	for (i = 0; i < mk->suspect_count; i++) {
		sp = &mk->suspects[i];
		if (down || is_replaced(sp, result->instance)) {
			marked += report(mk, &sp->run, crash, now_us);
		} else if (result->state == EB_CRASH_STATE_CUTS ||
			   sp->closed_us > before_us) {
			mk->suspects[kept++] = *sp;
		}
	}
	mk->suspect_count = kept;
	if (marked) {
		mk->crashes += !counted;
		mk->generation = ++mk->changes;
	}
	return marked;
}

/* Returns how many requests are marked, here or by other daemons. */
uint32_t eb_crash_detect_count(const struct eb_crash_detect *mk)
{
	struct eb_crash_counters ct;

	eb_crash_read_counters(mk->crash, &ct);
	return (uint32_t)ct.marks;
}

void eb_crash_detect_read_counters(const struct eb_crash_detect *mk,
				   struct eb_crash_counters *out)
{
	eb_crash_read_counters(mk->crash, out);
}

/*
 * Returns a number that grows when requests are marked here; 0 before. It is
 * that of eb_crash_detect_changes() at that time.
 */
uint32_t eb_crash_detect_generation(const struct eb_crash_detect *mk)
{
	return mk->generation;
}

/* Returns a number that grows with each change of the marks; 0 before. */
uint32_t eb_crash_detect_changes(const struct eb_crash_detect *mk)
{
	return mk->changes;
}

/*
 * Appends marks for another daemon, in parts: all, or those for which requests
 * are refused. See eb_crash_encode().
 */
void eb_crash_detect_encode(struct eb_crash_detect *mk, uint32_t *from, int all,
			    int64_t now_us, msgpack_sbuffer *out)
{
	eb_crash_encode(mk->crash, from, all, now_us, out);
}

/* Merges the marks of another daemon; errors as eb_crash_recv(). */
enum eb_status eb_crash_detect_receive(struct eb_crash_detect *mk,
				       const void *payload, size_t n,
				       int64_t now_us)
{
	struct eb_crash_counters before, after;
	enum eb_status st;

	eb_crash_read_counters(mk->crash, &before);
	st = eb_crash_recv(mk->crash, payload, n, now_us);
	eb_crash_read_counters(mk->crash, &after);
	mk->changes += after.learned > before.learned;
	return st;
}
