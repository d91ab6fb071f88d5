#ifndef EB_CLAIM_OUT_H
#define EB_CLAIM_OUT_H

#include "eb_claim_wire.h"

/* Limit of a queue. Messages beyond it are lost; claims and copies retry. */
#define EB_CLAIM_OUT_MAX 4096

/* A payload for the daemon beside an upstream. */
struct eb_claim_send {
	char *to; /* name of the upstream */
	uint8_t *payload;
	uint32_t payload_bytes;
};

/* A bounded queue of messages. */
struct eb_claim_out {
	struct eb_claim_send *items;
	uint32_t first;
	uint32_t count;
	uint64_t dropped;
};

void eb_claim_out_add(struct eb_claim_out *oq, const char *to,
		      const struct eb_claim_message *m,
		      const struct eb_claim_record *records);
int eb_claim_out_next(struct eb_claim_out *oq, struct eb_claim_send *out);
void eb_claim_out_clear(struct eb_claim_out *oq);
void eb_claim_send_clear(struct eb_claim_send *sd);

#endif
