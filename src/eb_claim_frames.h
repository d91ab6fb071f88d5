#ifndef EB_CLAIM_FRAMES_H
#define EB_CLAIM_FRAMES_H

#include <stdint.h>

#include "eb_claim_slot.h"
#include "eb_frame.h"

/* What claims on idempotency keys take from requests and answers. */

void eb_claim_digest_request(const struct eb_frame *f, uint8_t *digest);
enum eb_claim_state eb_claim_result(const struct eb_frame *f,
				    struct eb_claim_response *rs);
struct eb_frame *eb_claim_stored_answer(const struct eb_claim_response *rs);

#endif
