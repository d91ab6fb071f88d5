#ifndef EB_CLAIM_QUEUE_H
#define EB_CLAIM_QUEUE_H

#include "eb_claim_wire.h"

/* Limit of a queue. Messages beyond it are lost; claims and copies retry. */
#define EB_CLAIM_QUEUE_MAX 4096

/* A payload for the daemon beside an upstream. */
struct eb_claim_send {
	char *to; /* name of the upstream */
	uint8_t *payload;
	uint32_t payload_bytes;
};

/* A bounded queue of messages. */
struct eb_claim_queue {
	struct eb_claim_send *items;
	uint32_t first;
	uint32_t count;
	uint64_t dropped;
};

void eb_claim_queue_add(struct eb_claim_queue *oq, const char *to,
			const struct eb_claim_message *m,
			const struct eb_claim_record *records);
int eb_claim_queue_next(struct eb_claim_queue *oq, struct eb_claim_send *out);
void eb_claim_queue_clear(struct eb_claim_queue *oq);
void eb_claim_send_clear(struct eb_claim_send *sd);

#endif
