#ifndef EB_CLAIMANT_H
#define EB_CLAIMANT_H

#include "eb_claim_queue.h"
#include "eb_frame.h"

/*
 * The claimant: claims idempotency keys for the calls of an origin. A call
 * with a key runs only after a majority of the key's holders have granted its
 * claim. The module does no I/O: its caller passes in messages, events and the
 * monotonic time, and carries out the actions and sends.
 */
struct eb_claimant;

#define EB_CLAIMANT_ACTIVE_MAX 4096
/* Calls that share one claim: the one that runs and those that wait for it. */
#define EB_CLAIMANT_JOINED_MAX 16
/* Interval between requests for a grant; doubled for the end of a claim. */
#define EB_CLAIMANT_RETRY_MS 50
/* Interval between requests while another claim has the key. */
#define EB_CLAIMANT_CONTENDED_RETRY_MS 15
/* A try without a majority yields to a lower incarnation after this. */
#define EB_CLAIMANT_YIELD_MS 100
/* Largest backoff of a claim that yielded, without its random part. */
#define EB_CLAIMANT_BACKOFF_MAX_MS 500
/* Refused as not run after this, when no other claim has the key. */
#define EB_CLAIMANT_QUORUM_WAIT_MS 3000
/* Refused as unknown after this, when another claim has the key. */
#define EB_CLAIMANT_RESULT_WAIT_MS 30000
/*
 * Grants of a try older than this do not start a run. Far below the retention
 * of the holders, so that an origin that was paused never runs a claim that
 * its holders no longer have.
 */
#define EB_CLAIMANT_RUN_WINDOW_MS 10000
/*
 * The answer of a run waits at most this long until a majority of the holders
 * has the result. A daemon that dies later than that loses no result, unless
 * its holders were out of reach.
 */
#define EB_CLAIMANT_RECORD_WAIT_MS 200
/* Rounds of messages about the end of a claim that are not acknowledged. */
#define EB_CLAIMANT_NOTIFY_ROUNDS_MAX 30

enum eb_claimant_action_kind {
	EB_CLAIMANT_RUN = 1,	   /* run this call now */
	EB_CLAIMANT_ANSWER_STORED, /* answer with the response of the run */
	EB_CLAIMANT_REFUSE,	   /* answer with refusal and outcome */
	EB_CLAIMANT_DELIVER,	   /* pass on the answer of this call's run */
};

/* Why a call with a key was refused, and the HTTP status proposed for it. */
enum eb_claimant_refusal {
	EB_CLAIMANT_REFUSAL_NONE = 0,
	EB_CLAIMANT_REFUSAL_MISMATCH,  /* 422: key used with another request */
	EB_CLAIMANT_REFUSAL_BUSY,      /* 409: another run may be in progress */
	EB_CLAIMANT_REFUSAL_NO_QUORUM, /* 503: no majority of holders */
	EB_CLAIMANT_REFUSAL_FULL,      /* 503: too many claims or keys */
	EB_CLAIMANT_REFUSAL_LOST,      /* 409: result of the run unknown */
	EB_CLAIMANT_REFUSAL_LARGE,     /* 409: ran; response not stored */
	EB_CLAIMANT_REFUSAL_NOT_RUN,   /* 503: the first call was not run */
	EB_CLAIMANT_REFUSAL_MAX = EB_CLAIMANT_REFUSAL_NOT_RUN,
};

struct eb_claimant_action {
	uint8_t kind;
	uint8_t refusal;
	uint8_t outcome; /* enum eb_outcome */
	uint16_t status; /* of a refusal */
	uint32_t retry_after_ms;
	uint64_t call;
	/* For EB_CLAIMANT_ANSWER_STORED; eb_claimant_action_clear() frees it.
	 */
	struct eb_claim_response response;
};

struct eb_claimant_config {
	uint64_t incarnation;
	uint64_t seed;
	uint32_t test_majority;		 /* tests only: grants that suffice */
	uint8_t test_ignore_generations; /* tests only: counts void grants */
};

struct eb_claimant_request {
	uint64_t call;
	const char *service;
	uint8_t key[EB_CLAIM_KEY_BYTES];    /* eb_claim_key() */
	uint8_t digest[EB_CLAIM_KEY_BYTES]; /* eb_claim_digest() */
	int64_t deadline_us;
};

struct eb_claimant_counters {
	uint64_t started;
	uint64_t joined;
	uint64_t won;
	uint64_t yielded;
	uint64_t answered; /* with a stored response */
	uint64_t refused[EB_CLAIMANT_REFUSAL_MAX + 1];
	uint64_t grants_void; /* the holder lost its claims later */
	uint64_t messages_dropped;
	uint64_t active;
};

struct eb_claimant *eb_claimant_new(const struct eb_claimant_config *cf);
void eb_claimant_free(struct eb_claimant *cl);
void eb_claimant_configure(struct eb_claimant *cl, const struct eb_config *cf);
void eb_claimant_start(struct eb_claimant *cl,
		       const struct eb_claimant_request *rq, int64_t now_us);
void eb_claimant_ended(struct eb_claimant *cl, uint64_t call,
		       enum eb_claim_state state,
		       const struct eb_claim_response *rs, int64_t now_us);
void eb_claimant_not_run(struct eb_claimant *cl, uint64_t call, int64_t now_us);
void eb_claimant_cancel(struct eb_claimant *cl, uint64_t call, int64_t now_us);
void eb_claimant_recv(struct eb_claimant *cl, const char *from,
		      const struct eb_claim_message *m, int64_t now_us);
void eb_claimant_tick(struct eb_claimant *cl, int64_t now_us);
int eb_claimant_next(struct eb_claimant *cl, struct eb_claimant_action *out);
int eb_claimant_next_send(struct eb_claimant *cl, struct eb_claim_send *out);
void eb_claimant_action_clear(struct eb_claimant_action *act);
void eb_claimant_read_counters(const struct eb_claimant *cl,
			       struct eb_claimant_counters *out);
const char *eb_claimant_refusal_name(unsigned refusal);

#endif
