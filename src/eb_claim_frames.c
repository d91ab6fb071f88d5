#include "eb_claim_frames.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_claim_set.h"

/*
 * Computes the digest that binds a key to its request. It covers the caller's
 * credentials, so that two callers that use the same key by accident never get
 * each other's answer. Of a streamed body only the length is known here.
 */
void eb_claim_digest_request(const struct eb_frame *f, uint8_t *digest)
{
	const struct eb_head *h = f->head;
	const char *auth = eb_headers_find(&h->headers, "Authorization");
	size_t n = strlen(h->target) + (auth ? strlen(auth) : 0) + 2;
	char *text = malloc(n);

	if (text)
		snprintf(text, n, "%s\n%s", h->target, auth ? auth : "");
	eb_claim_digest(h->method, text ? text : h->target, h->body_bytes,
			f->data, f->data_bytes, digest);
	free(text);
}

/*
 * Returns the state in which the run of a claimed request ended, and sets the
 * response to be stored. `f` is the complete answer, the last frame of a
 * streamed one, or NULL if the run failed. The response refers to the frame.
 */
enum eb_claim_state eb_claim_result(const struct eb_frame *f,
				    struct eb_claim_response *rs)
{
	enum eb_claim_state state = EB_CLAIM_LOST;

	if (f && f->type == EB_FRAME_REND) {
		state = EB_CLAIM_LARGE;
	} else if (f) {
		rs->status = f->reply->status;
		rs->headers = (const uint8_t *)f->reply->headers.block;
		rs->headers_bytes = f->reply->headers.used_bytes;
		rs->body = f->data;
		rs->body_bytes = f->data_bytes;
		state = rs->headers_bytes + rs->body_bytes >
					EB_CLAIM_RESPONSE_MAX_BYTES
				? EB_CLAIM_LARGE
				: EB_CLAIM_DONE;
	}
	return state;
}

/* Returns an answer with the stored response; NULL without memory. */
struct eb_frame *eb_claim_stored_answer(const struct eb_claim_response *rs)
{
	struct eb_frame *f;

	f = eb_frame_new_data(EB_FRAME_RHEAD, 0, rs->body, rs->body_bytes);
	if (!f)
		return NULL;
	f->reply->status = rs->status;
	f->reply->outcome = EB_OUTCOME_RAN;
	f->reply->body_kind = EB_BODY_INLINE;
	f->reply->body_bytes = rs->body_bytes;
	if (eb_headers_load(&f->reply->headers, rs->headers,
			    rs->headers_bytes) ||
	    eb_headers_add(&f->reply->headers, "Ebonypier-Replayed", "1")) {
		eb_frame_unref(f);
		return NULL;
	}
	return f;
}
