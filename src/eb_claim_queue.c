#include "eb_claim_queue.h"

#include <stdlib.h>
#include <string.h>

/*
 * Encodes a message and appends it to the queue for upstream `to`. It is
 * dropped, and counted, if the queue is full, memory is out or the message is
 * too large.
 */
void eb_claim_queue_add(struct eb_claim_queue *oq, const char *to,
			const struct eb_claim_message *m,
			const struct eb_claim_record *records)
{
	struct eb_claim_send *sd;
	msgpack_sbuffer sb;

	if (!oq->items)
		oq->items = calloc(EB_CLAIM_QUEUE_MAX, sizeof(*oq->items));
	if (!oq->items || oq->count == EB_CLAIM_QUEUE_MAX) {
		oq->dropped++;
		return;
	}
	msgpack_sbuffer_init(&sb);
	sd = &oq->items[(oq->first + oq->count) % EB_CLAIM_QUEUE_MAX];
	sd->to = strdup(to);
	if (!sd->to || eb_claim_encode(m, records, &sb)) {
		free(sd->to);
		msgpack_sbuffer_destroy(&sb);
		oq->dropped++;
		return;
	}
	sd->payload_bytes = (uint32_t)sb.size;
	sd->payload = (uint8_t *)msgpack_sbuffer_release(&sb);
	oq->count++;
}

/* Moves the oldest message to `out`. Returns 0 when there is none. */
int eb_claim_queue_next(struct eb_claim_queue *oq, struct eb_claim_send *out)
{
	if (!oq->count)
		return 0;
	*out = oq->items[oq->first];
	oq->first = (oq->first + 1) % EB_CLAIM_QUEUE_MAX;
	oq->count--;
	return 1;
}

/* Frees the queue and all messages in it. */
void eb_claim_queue_clear(struct eb_claim_queue *oq)
{
	struct eb_claim_send sd;

	while (eb_claim_queue_next(oq, &sd))
		eb_claim_send_clear(&sd);
	free(oq->items);
	memset(oq, 0, sizeof(*oq));
}

/* Frees a message that eb_claim_queue_next() returned. */
void eb_claim_send_clear(struct eb_claim_send *sd)
{
	free(sd->to);
	free(sd->payload);
	memset(sd, 0, sizeof(*sd));
}
