#include "eb_gossip.h"

#include <assert.h>
#include <string.h>

static uint64_t big_endian(const uint8_t *p, uint32_t n)
{
	uint64_t x = 0;

	while (n--)
		x = x << 8 | *p++;
	return x;
}

/*
 * Returns the encoded size in bytes of the number or string at `p`, or 0 for
 * any other type. `left` is the number of bytes to the end of the payload.
 */
static uint64_t encoded_bytes(const uint8_t *p, size_t left)
{
	uint32_t width;

	if (*p < 0x80)
		return 1;
	if (*p >= 0xa0 && *p < 0xc0)
		return 1 + (*p & 0x1fU);
	if (*p >= 0xcc && *p <= 0xcf)
		return 1 + (1U << (*p - 0xcc));
	if (*p >= 0xc4 && *p <= 0xc6)
		width = 1U << (*p - 0xc4);
	else if (*p >= 0xd9 && *p <= 0xdb)
		width = 1U << (*p - 0xd9);
	else
		return 0;
	return left > width ? 1 + width + big_endian(p + 1, width) : 0;
}

/*
 * Checks that the payload is one array of numbers and strings that ends with
 * the last byte. The decoder allocates the length that an array header states,
 * so a few bytes could otherwise make it allocate gigabytes.
 */
static int is_flat(const uint8_t *p, size_t n)
{
	uint32_t width = 0;
	uint64_t count, size;

	if (!n)
		return 0;
	if (*p == 0xdc || *p == 0xdd)
		width = *p == 0xdc ? 2 : 4;
	else if ((*p & 0xf0) != 0x90)
		return 0;
	if (n <= width)
		return 0;
	count = width ? big_endian(p + 1, width) : *p & 0x0fU;
	p += 1 + width;
	n -= 1 + width;
	for (; count; count--) {
		size = n ? encoded_bytes(p, n) : 0;
		if (!size || size > n)
			return 0;
		p += size;
		n -= size;
	}
	return !n;
}

/*
 * Decodes a payload whose first two elements are the version and the kind.
 * Returns EB_EFULL for a payload that is too long and EB_EPARSE for one that
 * is not exactly one array. After EB_OK the reader must be closed.
 */
enum eb_status eb_gossip_open(struct eb_gossip_reader *rd, const void *data,
			      size_t n, uint32_t *kind)
{
	size_t off = 0;

	if (n > EB_GOSSIP_MAX_BYTES)
		return EB_EFULL;
	if (!is_flat(data, n))
		return EB_EPARSE;
	memset(rd, 0, sizeof(*rd));
	msgpack_unpacked_init(&rd->unpacked);
	if (msgpack_unpack_next(&rd->unpacked, data, n, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == n && rd->unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		rd->items = rd->unpacked.data.via.array.ptr;
		rd->count = rd->unpacked.data.via.array.size;
		if (eb_gossip_uint(rd, UINT8_MAX) == EB_GOSSIP_VERSION) {
			*kind = (uint32_t)eb_gossip_uint(rd,
							 EB_GOSSIP_KIND_MAX);
			if (!rd->bad && *kind)
				return EB_OK;
		}
	}
	msgpack_unpacked_destroy(&rd->unpacked);
	return EB_EPARSE;
}

/* Releases the decoded payload. */
void eb_gossip_close(struct eb_gossip_reader *rd)
{
	msgpack_unpacked_destroy(&rd->unpacked);
}

/* Returns the next item if it has this type; otherwise NULL, and sets `bad`. */
static const msgpack_object *next(struct eb_gossip_reader *rd,
				  msgpack_object_type type)
{
	if (rd->bad || rd->pos >= rd->count ||
	    rd->items[rd->pos].type != type) {
		rd->bad = 1;
		return NULL;
	}
	return &rd->items[rd->pos++];
}

/* Returns the next item, a number up to `max`; otherwise 0, and sets `bad`. */
uint64_t eb_gossip_uint(struct eb_gossip_reader *rd, uint64_t max)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o)
		return 0;
	if (o->via.u64 > max) {
		rd->bad = 1;
		return 0;
	}
	return o->via.u64;
}

/*
 * Returns the next item, a byte string of at most `max` bytes that the reader
 * owns, and its length in `n`; otherwise an empty one, and sets `bad`.
 */
const char *eb_gossip_bin(struct eb_gossip_reader *rd, uint32_t max,
			  uint32_t *n)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_BIN);

	*n = 0;
	if (!o)
		return "";
	if (o->via.bin.size > max) {
		rd->bad = 1;
		return "";
	}
	*n = o->via.bin.size;
	return *n ? o->via.bin.ptr : "";
}

/*
 * Reads an address of at most EB_GOSSIP_ADDRESS_MAX_BYTES - 1 bytes into
 * `out`. Returns its length; for an invalid item 0, and sets `bad`.
 */
int eb_gossip_address(struct eb_gossip_reader *rd, char *out)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_STR);
	uint32_t n;

	out[0] = 0;
	if (!o)
		return 0;
	n = o->via.str.size;
	if (n >= EB_GOSSIP_ADDRESS_MAX_BYTES ||
	    (n && memchr(o->via.str.ptr, 0, n))) {
		rd->bad = 1;
		return 0;
	}
	if (n)
		memcpy(out, o->via.str.ptr, n);
	out[n] = 0;
	return (int)n;
}

/* Returns the number of items not read yet. */
uint32_t eb_gossip_left(const struct eb_gossip_reader *rd)
{
	return rd->count - rd->pos;
}

/*
 * Sets `kind` to the kind of a payload. Returns the errors of
 * eb_gossip_open().
 */
enum eb_status eb_gossip_peek(const void *data, size_t n, uint32_t *kind)
{
	struct eb_gossip_reader rd;
	enum eb_status st = eb_gossip_open(&rd, data, n, kind);

	if (!st)
		eb_gossip_close(&rd);
	return st;
}

/* Starts a payload of `fields` items after the version and the kind. */
void eb_gossip_begin(msgpack_packer *pk, msgpack_sbuffer *sb, uint32_t kind,
		     uint32_t fields)
{
	msgpack_sbuffer_init(sb);
	msgpack_packer_init(pk, sb, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields + 2);
	msgpack_pack_uint8(pk, EB_GOSSIP_VERSION);
	msgpack_pack_uint32(pk, kind);
}

/* Appends a byte string. */
void eb_gossip_pack_bin(msgpack_packer *pk, const void *data, size_t n)
{
	msgpack_pack_bin(pk, n);
	if (n)
		msgpack_pack_bin_body(pk, data, n);
}

/* Appends an address; NULL is written as an empty string. */
void eb_gossip_pack_address(msgpack_packer *pk, const char *s)
{
	size_t n = s ? strlen(s) : 0;

	msgpack_pack_str(pk, n);
	if (n)
		msgpack_pack_str_body(pk, s, n);
}

/* Passes a complete payload to the sink as EB_ACTION_SEND and frees it. */
void eb_gossip_send(struct eb_sink *sink, const char *address,
		    msgpack_sbuffer *sb)
{
	struct eb_action act = { .type = EB_ACTION_SEND };

	assert(sb->size <= EB_GOSSIP_MAX_BYTES);
	act.address = address;
	act.data = sb->data;
	act.bytes = sb->size;
	sink->act(sink, &act);
	msgpack_sbuffer_destroy(sb);
}

/* Hashes two numbers into one; used for ranks and digests of sets. */
uint64_t eb_gossip_mix(uint64_t a, uint64_t b)
{
	uint64_t z = a ^ (b * 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}
