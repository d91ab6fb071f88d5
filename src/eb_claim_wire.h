#ifndef EB_CLAIM_WIRE_H
#define EB_CLAIM_WIRE_H

#include <msgpack.h>

#include "eb_claim_set.h"

/*
 * Largest payload of a CLAIM frame; leaves room for other frames in a message
 * of EB_MESSAGE_MAX_BYTES.
 */
#define EB_CLAIM_MESSAGE_MAX_BYTES 131072
/* A copy is split into messages of about this size. */
#define EB_CLAIM_COPY_BYTES 49152
/* Largest response (headers and body) that a holder stores. */
#define EB_CLAIM_RESPONSE_MAX_BYTES 4096
/* Older holder sets that a holder still copies from. */
#define EB_CLAIM_REQUIREMENTS_MAX 4

enum eb_claim_type {
	EB_CLAIM_ASK = 1,  /* claimant to holder: requests a grant */
	EB_CLAIM_ANSWER,   /* holder to claimant, see the verdict */
	EB_CLAIM_RELEASE,  /* claimant to holder: this try will never run */
	EB_CLAIM_COMPLETE, /* claimant to holder: the run has ended */
	EB_CLAIM_ACK,	   /* holder to claimant: RELEASE, COMPLETE received */
	EB_CLAIM_COPY,	   /* holder to holder: requests a copy of a slot */
	EB_CLAIM_COPIED,   /* holder to holder: part of a copy */
	EB_CLAIM_TYPE_MAX = EB_CLAIM_COPIED,
};

enum eb_claim_verdict {
	EB_CLAIM_GRANTED = 1,
	EB_CLAIM_BUSY,	       /* another claim has the key */
	EB_CLAIM_STORED,       /* the run has ended, see the state */
	EB_CLAIM_MISMATCH,     /* the key belongs to another request */
	EB_CLAIM_FULL,	       /* the holder's table is full */
	EB_CLAIM_NOT_GRANTING, /* the holder does not grant yet */
	EB_CLAIM_OTHER_SET,    /* the holder has another configuration */
	EB_CLAIM_STALE,	       /* COPIED: the holder knows a newer generation */
	EB_CLAIM_RELEASED,     /* this claim or a later one was released */
	EB_CLAIM_VERDICT_MAX = EB_CLAIM_RELEASED,
};

enum eb_claim_state {
	EB_CLAIM_FREE = 0,  /* released; the entry names the last claim */
	EB_CLAIM_HELD,	    /* granted; a run may be in progress */
	EB_CLAIM_CONTESTED, /* copies have grants to different claims */
	EB_CLAIM_LOST,	    /* a run may have happened; result unknown */
	EB_CLAIM_LARGE,	    /* ran; the response is not stored */
	EB_CLAIM_DONE,	    /* ran; the response is stored */
	EB_CLAIM_STATE_MAX = EB_CLAIM_DONE,
};

/* A stored response; the bytes are owned by the code that fills it in. */
struct eb_claim_response {
	uint16_t status;
	uint32_t headers_bytes;
	uint32_t body_bytes;
	const uint8_t *headers; /* a block of eb_headers */
	const uint8_t *body;
};

/* A claim in a message. */
struct eb_claim_record {
	uint8_t key[EB_CLAIM_KEY_BYTES];
	uint8_t digest[EB_CLAIM_KEY_BYTES];
	uint8_t state;
	struct eb_claim_id claim;
	uint32_t age_ms;
	struct eb_claim_response response;
};

/* All messages have one layout; a type uses the fields that it needs. */
struct eb_claim_message {
	uint8_t type;
	uint8_t verdict;
	uint8_t done; /* COPIED: the last part */
	/* COPIED: a bit per required set, see eb_claim_slot_coverage() */
	uint8_t seen;
	uint8_t full;
	uint8_t members;  /* in generations */
	uint8_t required; /* in required_ids */
	uint16_t slot;
	uint64_t set_id;
	uint64_t incarnation; /* of the sender */
	uint64_t generation;
	struct eb_claim_id other; /* ANSWER: the claim that has the key */
	/* ANSWER and COPIED: known generations, in the order of the set */
	uint64_t generations[EB_CLAIM_HOLDERS_MAX];
	uint64_t required_ids[EB_CLAIM_REQUIREMENTS_MAX];
	uint8_t cursor[EB_CLAIM_KEY_BYTES]; /* last key of the previous part */
	struct eb_claim_record record;	    /* key, digest, claim, response */
	uint32_t records;		    /* COPIED: number of them */
	msgpack_unpacked unpacked;   /* owns the data of a decoded message */
	const msgpack_object *items; /* of a decoded message: the records */
};

int eb_claim_items_valid(const void *bytes, size_t n);
enum eb_status eb_claim_encode(const struct eb_claim_message *m,
			       const struct eb_claim_record *records,
			       msgpack_sbuffer *out);
enum eb_status eb_claim_decode(const void *bytes, size_t n,
			       struct eb_claim_message *m);
void eb_claim_record_at(const struct eb_claim_message *m, uint32_t i,
			struct eb_claim_record *rc);
void eb_claim_message_clear(struct eb_claim_message *m);
int eb_claim_for_holder(const struct eb_claim_message *m);

#endif
