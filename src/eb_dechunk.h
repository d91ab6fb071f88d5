#ifndef EB_DECHUNK_H
#define EB_DECHUNK_H

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decodes a chunked body with a bound on the bytes that are not content: chunk
 * sizes, chunk extensions and trailer fields. libcurl drops these without
 * telling, however many a server sends; so it passes on the body undecoded
 * (CURLOPT_HTTP_TRANSFER_DECODING is 0), and this module decodes it.
 */

/* Bytes besides the content that any body may have. */
#define EB_DECHUNK_FRAMING_MAX_BYTES 16384
/* And that many more for each byte of content: for small chunks. */
#define EB_DECHUNK_FRAMING_PER_BYTE 16

struct eb_dechunk {
	http_parser parser;
	uint64_t raw_bytes;	/* as received */
	uint64_t content_bytes; /* of all parts so far */
	uint8_t *out;		/* of the part that is being decoded */
	size_t out_bytes;
	uint8_t done; /* the last chunk and the trailer are complete */
};

void eb_dechunk_init(struct eb_dechunk *dc);
int eb_dechunk_feed(struct eb_dechunk *dc, const void *data, size_t bytes,
		    uint8_t *out, size_t *out_bytes);

#endif
