#include "eb_wire.h"

#include <stdlib.h>
#include <string.h>

#include "eb_status_line.h"

#define COMMON_FIELDS 6
#define HEAD_FIELDS 21
#define REPLY_FIELDS 13
/* The most fields that a frame of any type has. */
#define FIELDS_MAX (COMMON_FIELDS + 2 + HEAD_FIELDS)

struct reader {
	const msgpack_object *items;
	uint32_t count;
	uint32_t pos;
	int bad;
};

static void pack_str(msgpack_packer *pk, const char *s)
{
	if (!s) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_str(pk, strlen(s));
	msgpack_pack_str_body(pk, s, strlen(s));
}

static void pack_bin(msgpack_packer *pk, const void *data, size_t n)
{
	msgpack_pack_bin(pk, n);
	if (n)
		msgpack_pack_bin_body(pk, data, n);
}

static void pack_head(msgpack_packer *pk, const struct eb_frame *f)
{
	const struct eb_head *h = f->head;

	pack_str(pk, h->service);
	pack_str(pk, h->upstream);
	pack_str(pk, h->method);
	pack_str(pk, h->target);
	pack_str(pk, h->key);
	pack_str(pk, h->instance);
	pack_bin(pk, h->headers.block, h->headers.used_bytes);
	msgpack_pack_uint64(pk, h->caller);
	msgpack_pack_uint64(pk, h->body_bytes);
	msgpack_pack_int64(pk, h->remaining_us);
	msgpack_pack_int64(pk, h->goal_us);
	msgpack_pack_uint8(pk, h->hops);
	msgpack_pack_uint8(pk, h->body_kind);
	msgpack_pack_uint8(pk, h->attempt);
	msgpack_pack_uint8(pk, h->idempotent);
	msgpack_pack_uint8(pk, h->priority);
	msgpack_pack_uint16(pk, h->baseline_pace_percent);
	msgpack_pack_uint32(pk, h->kind);
	pack_bin(pk, h->trace.trace, sizeof(h->trace.trace));
	pack_bin(pk, h->trace.span, sizeof(h->trace.span));
	msgpack_pack_uint8(pk, h->trace.sampled);
}

static void pack_reply(msgpack_packer *pk, const struct eb_reply *r)
{
	msgpack_pack_uint16(pk, r->status);
	msgpack_pack_uint8(pk, r->outcome);
	msgpack_pack_uint8(pk, r->reason);
	msgpack_pack_uint8(pk, r->body_kind);
	msgpack_pack_uint64(pk, r->body_bytes);
	msgpack_pack_uint32(pk, r->retry_after_ms);
	msgpack_pack_uint16(pk, r->load.in_flight);
	msgpack_pack_uint16(pk, r->load.queued);
	msgpack_pack_uint16(pk, r->load.slots);
	msgpack_pack_uint16(pk, r->load.draining);
	msgpack_pack_uint32(pk, r->load.service_us);
	msgpack_pack_uint16(pk, r->load.pace_percent);
	pack_bin(pk, r->headers.block, r->headers.used_bytes);
}

/*
 * Appends the frame to `out`, as daemons of a version expect it. Returns
 * EB_EINVAL for a type that is not sent between daemons.
 */
enum eb_status eb_wire_encode(const struct eb_frame *f, uint8_t version,
			      msgpack_sbuffer *out)
{
	msgpack_packer pk;
	uint32_t fields = COMMON_FIELDS + 2;

	if (f->type >= EB_FRAME_CONFIG)
		return EB_EINVAL;
	if (version == EB_WIRE_VERSION_MIN)
		fields--;
	if (f->head)
		fields += HEAD_FIELDS;
	if (f->reply)
		fields += REPLY_FIELDS;
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, fields);
	msgpack_pack_uint8(&pk, version);
	msgpack_pack_uint8(&pk, f->type);
	msgpack_pack_uint64(&pk, f->call);
	msgpack_pack_uint64(&pk, f->sender);
	msgpack_pack_uint64(&pk, f->target);
	msgpack_pack_uint64(&pk, f->credit_bytes);
	if (version != EB_WIRE_VERSION_MIN)
		msgpack_pack_uint64(&pk, f->offset_bytes);
	pack_bin(&pk, f->data, f->data_bytes);
	if (f->head)
		pack_head(&pk, f);
	if (f->reply)
		pack_reply(&pk, f->reply);
	return EB_OK;
}

/* Returns the next field. Returns a nil and sets `bad` for another type. */
static const msgpack_object *next_field(struct reader *rd,
					msgpack_object_type type)
{
	static const msgpack_object nil;

	if (rd->bad || rd->pos >= rd->count ||
	    rd->items[rd->pos].type != type) {
		rd->bad = 1;
		return &nil;
	}
	return &rd->items[rd->pos++];
}

static uint64_t read_uint(struct reader *rd, uint64_t max)
{
	const msgpack_object *o =
		next_field(rd, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (rd->bad || o->via.u64 > max) {
		rd->bad = 1;
		return 0;
	}
	return o->via.u64;
}

static int64_t read_int(struct reader *rd)
{
	if (rd->pos < rd->count &&
	    rd->items[rd->pos].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return rd->items[rd->pos++].via.i64;
	return (int64_t)read_uint(rd, INT64_MAX);
}

/*
 * Reads a string of at most `max` bytes, without NUL bytes. Returns a copy, or
 * NULL for a nil where it is allowed.
 */
static char *read_str(struct reader *rd, uint32_t max, int nil_allowed)
{
	const msgpack_object *o;

	if (nil_allowed && rd->pos < rd->count &&
	    rd->items[rd->pos].type == MSGPACK_OBJECT_NIL) {
		rd->pos++;
		return NULL;
	}
	o = next_field(rd, MSGPACK_OBJECT_STR);
	if (rd->bad || o->via.str.size > max ||
	    (o->via.str.size && memchr(o->via.str.ptr, 0, o->via.str.size))) {
		rd->bad = 1;
		return NULL;
	}
	return strndup(o->via.str.size ? o->via.str.ptr : "", o->via.str.size);
}

static void read_bytes(struct reader *rd, uint8_t *out, uint32_t n)
{
	const msgpack_object *o = next_field(rd, MSGPACK_OBJECT_BIN);

	if (rd->bad || o->via.bin.size != n)
		rd->bad = 1;
	else
		memcpy(out, o->via.bin.ptr, n);
}

static void read_headers(struct reader *rd, struct eb_headers *hs)
{
	const msgpack_object *o = next_field(rd, MSGPACK_OBJECT_BIN);

	if (rd->bad)
		return;
	if (eb_headers_load(hs, o->via.bin.ptr, o->via.bin.size))
		rd->bad = 1;
}

static void read_data(struct reader *rd, struct eb_frame *f)
{
	const msgpack_object *o = next_field(rd, MSGPACK_OBJECT_BIN);
	uint32_t n;

	if (rd->bad || !o->via.bin.size)
		return;
	n = o->via.bin.size;
	f->data = malloc(n);
	if (!f->data) {
		rd->bad = 1;
		return;
	}
	memcpy(f->data, o->via.bin.ptr, n);
	f->data_bytes = n;
}

static void read_head(struct reader *rd, struct eb_frame *f)
{
	struct eb_head *h = f->head;

	h->service = read_str(rd, 256, 0);
	h->upstream = read_str(rd, 256, 0);
	h->method = read_str(rd, 32, 0);
	h->target = read_str(rd, EB_TARGET_MAX_BYTES, 0);
	h->key = read_str(rd, EB_IDEMPOTENCY_KEY_MAX_BYTES, 1);
	h->instance = read_str(rd, 256, 1);
	read_headers(rd, &h->headers);
	h->caller = read_uint(rd, UINT64_MAX);
	h->body_bytes = read_uint(rd, UINT64_MAX);
	h->remaining_us = read_int(rd);
	h->goal_us = read_int(rd);
	h->hops = (uint8_t)read_uint(rd, UINT8_MAX);
	h->body_kind = (uint8_t)read_uint(rd, EB_BODY_CHUNKED);
	h->attempt = (uint8_t)read_uint(rd, UINT8_MAX);
	h->idempotent = (uint8_t)read_uint(rd, 1);
	h->priority = (uint8_t)read_uint(rd, UINT8_MAX);
	h->baseline_pace_percent = (uint16_t)read_uint(rd, UINT16_MAX);
	h->kind = (uint32_t)read_uint(rd, UINT32_MAX);
	read_bytes(rd, h->trace.trace, sizeof(h->trace.trace));
	read_bytes(rd, h->trace.span, sizeof(h->trace.span));
	h->trace.sampled = (uint8_t)read_uint(rd, 1);
	if (h->body_kind == EB_BODY_INLINE && h->body_bytes != f->data_bytes)
		rd->bad = 1;
}

static void read_reply(struct reader *rd, struct eb_reply *r)
{
	r->status = (uint16_t)read_uint(rd, 999);
	r->outcome = (uint8_t)read_uint(rd, EB_OUTCOME_NOT_RUN);
	r->reason = (uint8_t)read_uint(rd, EB_REASON_MAX);
	r->body_kind = (uint8_t)read_uint(rd, EB_BODY_CHUNKED);
	r->body_bytes = read_uint(rd, UINT64_MAX);
	r->retry_after_ms = (uint32_t)read_uint(rd, UINT32_MAX);
	r->load.in_flight = (uint16_t)read_uint(rd, UINT16_MAX);
	r->load.queued = (uint16_t)read_uint(rd, UINT16_MAX);
	r->load.slots = (uint16_t)read_uint(rd, UINT16_MAX);
	r->load.draining = (uint16_t)read_uint(rd, 1);
	r->load.service_us = (uint32_t)read_uint(rd, UINT32_MAX);
	r->load.pace_percent = (uint16_t)read_uint(rd, UINT16_MAX);
	read_headers(rd, &r->headers);
}

/*
 * Replaces a status that no answer may have: older daemons pass on up to 999.
 * An answer with one ends as an abort, so that its call does not wait for it.
 */
static void check_status(struct eb_frame *f)
{
	struct eb_reply *r = f->reply;

	if (eb_status_is_final(r->status) ||
	    (!r->status && f->type != EB_FRAME_RHEAD))
		return;
	r->status = 0;
	if (f->type != EB_FRAME_RHEAD)
		return;
	f->type = EB_FRAME_ABORT;
	r->outcome = EB_OUTCOME_UNKNOWN;
	r->reason = EB_REASON_UPSTREAM_CLOSED;
	r->body_kind = EB_BODY_NONE;
	r->body_bytes = 0;
	eb_headers_clear(&r->headers);
	free(f->data);
	f->data = NULL;
	f->data_bytes = 0;
}

static enum eb_status decode_array(const msgpack_object *o,
				   struct eb_frame **out)
{
	struct reader rd = { 0 };
	struct eb_frame *f;
	uint64_t version, type, call;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return EB_EPARSE;
	rd.items = o->via.array.ptr;
	rd.count = o->via.array.size;
	version = read_uint(&rd, UINT8_MAX);
	if (version < EB_WIRE_VERSION_MIN || version > EB_WIRE_VERSION)
		return EB_EPARSE;
	type = read_uint(&rd, EB_FRAME_CONFIG - 1);
	call = read_uint(&rd, UINT64_MAX);
	if (rd.bad || !type)
		return EB_EPARSE;
	f = eb_frame_new((enum eb_frame_type)type, call);
	if (!f)
		return EB_ENOMEM;
	f->sender = read_uint(&rd, UINT64_MAX);
	f->target = read_uint(&rd, UINT64_MAX);
	f->credit_bytes = read_uint(&rd, UINT32_MAX);
	f->wire_version = (uint8_t)version;
	if (version != EB_WIRE_VERSION_MIN)
		f->offset_bytes = read_uint(&rd, UINT64_MAX);
	else if (f->type != EB_FRAME_HELLO)
		f->offset_bytes = EB_OFFSET_UNKNOWN;
	read_data(&rd, f);
	if (f->head)
		read_head(&rd, f);
	if (f->reply)
		read_reply(&rd, f->reply);
	if (rd.bad || rd.pos != rd.count) {
		eb_frame_unref(f);
		return EB_EPARSE;
	}
	if (f->reply)
		check_status(f);
	*out = f;
	return EB_OK;
}

/* The encoded size of a scalar, for each type byte. */
struct scalar_size {
	uint8_t bytes;	      /* type byte, length and fixed-size value */
	uint8_t length_bytes; /* payload length, right after the type byte */
};

/* Type bytes 0xc0 to 0xdb; a type of size 0 is not allowed in a frame. */
static const struct scalar_size scalar_sizes[] = {
	[0x00] = { 1, 0 }, [0x02] = { 1, 0 }, [0x03] = { 1, 0 },
	[0x04] = { 2, 1 }, [0x05] = { 3, 2 }, [0x06] = { 5, 4 },
	[0x0a] = { 5, 0 }, [0x0b] = { 9, 0 }, [0x0c] = { 2, 0 },
	[0x0d] = { 3, 0 }, [0x0e] = { 5, 0 }, [0x0f] = { 9, 0 },
	[0x10] = { 2, 0 }, [0x11] = { 3, 0 }, [0x12] = { 5, 0 },
	[0x13] = { 9, 0 }, [0x19] = { 2, 1 }, [0x1a] = { 3, 2 },
	[0x1b] = { 5, 4 },
};

static uint32_t read_big_endian(const uint8_t *p, uint32_t n)
{
	uint32_t value = 0;

	while (n--)
		value = value << 8 | *p++;
	return value;
}

/*
 * Returns the size of the scalar at `p` in bytes, or 0 for a container, an
 * extension or a value that is longer than the message.
 */
static size_t scalar_bytes(const uint8_t *p, size_t left)
{
	const struct scalar_size *fm;
	size_t size;

	if (!left)
		return 0;
	if (*p <= 0x7f || *p >= 0xe0)
		return 1;
	if (*p >= 0xa0 && *p <= 0xbf) {
		size = 1U + (*p & 0x1f);
		return size <= left ? size : 0;
	}
	if (*p < 0xc0 || *p > 0xdb)
		return 0;
	fm = &scalar_sizes[*p - 0xc0];
	if (!fm->bytes || fm->bytes > left)
		return 0;
	size = fm->bytes + (size_t)read_big_endian(p + 1, fm->length_bytes);
	return size <= left ? size : 0;
}

/*
 * Returns 1 for exactly one array of at most FIELDS_MAX scalars. msgpack
 * allocates the declared number of elements before it reads them, so a message
 * of a few bytes could otherwise take gigabytes.
 */
static int is_flat_array(const uint8_t *p, size_t n)
{
	const uint8_t *end = p + n;
	uint32_t count;
	size_t size;

	if (!n)
		return 0;
	if ((*p & 0xf0) == 0x90) {
		count = *p & 0x0f;
		p++;
	} else if (*p == 0xdc && n >= 3) {
		count = read_big_endian(p + 1, 2);
		p += 3;
	} else {
		return 0;
	}
	if (count > FIELDS_MAX)
		return 0;
	for (; count; count--) {
		size = scalar_bytes(p, (size_t)(end - p));
		if (!size)
			return 0;
		p += size;
	}
	return p == end;
}

/*
 * Decodes one message from a peer into a new frame. Returns EB_EPARSE for
 * anything that is not exactly one frame of a known version, EB_EFULL for a
 * message over EB_MESSAGE_MAX_BYTES, and EB_ENOMEM without memory.
 */
enum eb_status eb_wire_decode(const void *bytes, size_t n,
			      struct eb_frame **out)
{
	msgpack_unpacked up;
	enum eb_status st;
	size_t off = 0;

	if (n > EB_MESSAGE_MAX_BYTES)
		return EB_EFULL;
	if (!is_flat_array(bytes, n))
		return EB_EPARSE;
	msgpack_unpacked_init(&up);
	if (msgpack_unpack_next(&up, bytes, n, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    off != n) {
		msgpack_unpacked_destroy(&up);
		return EB_EPARSE;
	}
	st = decode_array(&up.data, out);
	msgpack_unpacked_destroy(&up);
	return st;
}
