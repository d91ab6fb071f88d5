#ifndef EB_ANSWER_H
#define EB_ANSWER_H

#include <stddef.h>
#include <stdint.h>

#include "eb_frame.h"

/* Writes answers to a caller into a buffer. */

/* Pending output; grows as needed. */
struct eb_answer_buffer {
	char *bytes;
	size_t first;
	size_t used;
	size_t space;
};

/* An error answer that the daemon writes itself. */
struct eb_answer_error {
	uint16_t status;
	const char *code;   /* for programs */
	const char *reason; /* for people */
	enum eb_outcome outcome;
	uint32_t retry_after_ms;
	uint8_t fraction; /* write Retry-After with milliseconds */
	uint8_t close;
	uint8_t no_body; /* the request method is HEAD */
};

/* The head of an upstream's answer. */
struct eb_answer_head {
	const struct eb_reply *reply;
	uint8_t http11;
	uint8_t is_head;
	uint8_t close;
};

size_t eb_answer_pending(const struct eb_answer_buffer *ob);
size_t eb_answer_peek(const struct eb_answer_buffer *ob, const void **data);
void eb_answer_consume(struct eb_answer_buffer *ob, size_t bytes);
void eb_answer_clear(struct eb_answer_buffer *ob);
enum eb_status eb_answer_append(struct eb_answer_buffer *ob, const void *data,
				size_t bytes);
enum eb_status eb_answer_append_chunk(struct eb_answer_buffer *ob,
				      const void *data, size_t bytes);
enum eb_status eb_answer_write_error(struct eb_answer_buffer *ob,
				     const struct eb_answer_error *own);
enum eb_status eb_answer_write_head(struct eb_answer_buffer *ob,
				    const struct eb_answer_head *ah);

#endif
