#include "eb_claim_wire.h"

#include <string.h>

#include "eb_headers.h"

#define WIRE_VERSION 1
#define FIELDS 19
#define RECORD_FIELDS 9

/* Reads the items of an array in order; `bad` is set by the first error. */
struct reader {
	const msgpack_object *items;
	uint32_t count;
	uint32_t pos;
	int bad;
};

static void pack_bin(msgpack_packer *pk, const void *data, size_t n)
{
	msgpack_pack_bin(pk, n);
	if (n)
		msgpack_pack_bin_body(pk, data, n);
}

static void pack_numbers(msgpack_packer *pk, const uint64_t *v, uint32_t n)
{
	uint32_t i;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++)
		msgpack_pack_uint64(pk, v[i]);
}

static void pack_record(msgpack_packer *pk, const struct eb_claim_record *rc)
{
	msgpack_pack_array(pk, RECORD_FIELDS);
	pack_bin(pk, rc->key, sizeof(rc->key));
	pack_bin(pk, rc->digest, sizeof(rc->digest));
	msgpack_pack_uint8(pk, rc->state);
	msgpack_pack_uint64(pk, rc->claim.incarnation);
	msgpack_pack_uint64(pk, rc->claim.number);
	msgpack_pack_uint32(pk, rc->age_ms);
	msgpack_pack_uint16(pk, rc->response.status);
	pack_bin(pk, rc->response.headers, rc->response.headers_bytes);
	pack_bin(pk, rc->response.body, rc->response.body_bytes);
}

/*
 * Appends a message to `out`, with the `m->records` records given. Returns
 * EB_EFULL for one over EB_CLAIM_MESSAGE_MAX_BYTES.
 */
enum eb_status eb_claim_encode(const struct eb_claim_message *m,
			       const struct eb_claim_record *records,
			       msgpack_sbuffer *out)
{
	msgpack_packer pk;
	uint32_t i;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, FIELDS);
	msgpack_pack_uint8(&pk, WIRE_VERSION);
	msgpack_pack_uint8(&pk, m->type);
	msgpack_pack_uint8(&pk, m->verdict);
	msgpack_pack_uint8(&pk, m->done);
	msgpack_pack_uint8(&pk, m->seen);
	msgpack_pack_uint8(&pk, m->full);
	msgpack_pack_uint16(&pk, m->slot);
	msgpack_pack_uint64(&pk, m->set_id);
	msgpack_pack_uint64(&pk, m->incarnation);
	msgpack_pack_uint64(&pk, m->generation);
	msgpack_pack_uint64(&pk, m->other.incarnation);
	msgpack_pack_uint64(&pk, m->other.number);
	pack_numbers(&pk, m->generations, m->members);
	pack_numbers(&pk, m->required_ids, m->required);
	pack_bin(&pk, m->cursor, sizeof(m->cursor));
	pack_record(&pk, &m->record);
	msgpack_pack_array(&pk, m->records);
	for (i = 0; i < m->records; i++)
		pack_record(&pk, &records[i]);
	/* Two reserved fields for later versions. */
	msgpack_pack_nil(&pk);
	msgpack_pack_nil(&pk);
	return out->size > EB_CLAIM_MESSAGE_MAX_BYTES ? EB_EFULL : EB_OK;
}

/*
 * Returns the length in bytes of the item at `p`, without the members of an
 * array. Returns 0 for a type that no message has, and for an array that
 * cannot be complete.
 */
static size_t item_bytes(const uint8_t *p, size_t left)
{
	if (*p <= 0x7f || *p == 0xc0)
		return 1;
	if (*p >= 0x90 && *p <= 0x9f)
		return (size_t)(*p & 0xf) < left ? 1 : 0;
	if (*p >= 0xcc && *p <= 0xcf)
		return 1 + ((size_t)1 << (*p - 0xcc));
	if (*p == 0xc4 && left >= 2)
		return 2 + (size_t)p[1];
	if (left < 3)
		return 0;
	if (*p == 0xc5)
		return 3 + ((size_t)p[1] << 8 | p[2]);
	if (*p == 0xdc)
		return ((size_t)p[1] << 8 | p[2]) <= left - 3 ? 3 : 0;
	return 0;
}

/*
 * Tells whether a payload consists of complete integers, byte strings and
 * arrays only. To be called before unpacking, because the library allocates
 * the announced size of an array (up to 64 GB) before it reads the members.
 */
int eb_claim_items_valid(const void *bytes, size_t n)
{
	const uint8_t *p = bytes;
	size_t item;

	while (n) {
		item = item_bytes(p, n);
		if (!item || item > n)
			return 0;
		p += item;
		n -= item;
	}
	return 1;
}

/* Returns the next item; if it has another type, NULL, and sets `bad`. */
static const msgpack_object *next(struct reader *rd, msgpack_object_type type)
{
	if (rd->bad || rd->pos >= rd->count ||
	    rd->items[rd->pos].type != type) {
		rd->bad = 1;
		return NULL;
	}
	return &rd->items[rd->pos++];
}

static uint64_t read_uint(struct reader *rd, uint64_t max)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o || o->via.u64 > max) {
		rd->bad = 1;
		return 0;
	}
	return o->via.u64;
}

static const uint8_t *read_bin(struct reader *rd, uint32_t max, uint32_t *n)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_BIN);

	*n = 0;
	if (!o || o->via.bin.size > max) {
		rd->bad = 1;
		return NULL;
	}
	*n = o->via.bin.size;
	return (const uint8_t *)o->via.bin.ptr;
}

static void read_key(struct reader *rd, uint8_t out[EB_CLAIM_KEY_BYTES])
{
	uint32_t n;
	const uint8_t *p = read_bin(rd, EB_CLAIM_KEY_BYTES, &n);

	if (!p || n != EB_CLAIM_KEY_BYTES)
		rd->bad = 1;
	else
		memcpy(out, p, n);
}

/* Returns a reader of the next item, an array of at most `max` items. */
static struct reader read_array(struct reader *rd, uint32_t max)
{
	const msgpack_object *o = next(rd, MSGPACK_OBJECT_ARRAY);
	struct reader in = { 0 };

	if (!o || o->via.array.size > max) {
		rd->bad = 1;
		return in;
	}
	in.items = o->via.array.ptr;
	in.count = o->via.array.size;
	return in;
}

static uint8_t read_numbers(struct reader *rd, uint64_t *out, uint32_t max)
{
	struct reader in = read_array(rd, max);
	uint32_t i;

	for (i = 0; i < in.count; i++)
		out[i] = read_uint(&in, UINT64_MAX);
	rd->bad |= in.bad;
	return (uint8_t)in.count;
}

static int headers_valid(const uint8_t *block, uint32_t n)
{
	struct eb_headers hs = { 0 };
	int valid = !n || !eb_headers_load(&hs, block, n);

	eb_headers_clear(&hs);
	return valid;
}

static void read_record(struct reader *rd, struct eb_claim_record *rc)
{
	struct eb_claim_response *rs = &rc->response;
	struct reader in = read_array(rd, RECORD_FIELDS);

	if (in.count != RECORD_FIELDS) {
		rd->bad = 1;
		return;
	}
	read_key(&in, rc->key);
	read_key(&in, rc->digest);
	rc->state = (uint8_t)read_uint(&in, EB_CLAIM_STATE_MAX);
	rc->claim.incarnation = read_uint(&in, UINT64_MAX);
	rc->claim.number = read_uint(&in, UINT64_MAX);
	rc->age_ms = (uint32_t)read_uint(&in, UINT32_MAX);
	rs->status = (uint16_t)read_uint(&in, 999);
	rs->headers =
		read_bin(&in, EB_CLAIM_RESPONSE_MAX_BYTES, &rs->headers_bytes);
	rs->body = read_bin(&in, EB_CLAIM_RESPONSE_MAX_BYTES, &rs->body_bytes);
	if (in.bad ||
	    rs->headers_bytes + rs->body_bytes > EB_CLAIM_RESPONSE_MAX_BYTES ||
	    !headers_valid(rs->headers, rs->headers_bytes))
		rd->bad = 1;
}

static void read_message(struct reader *rd, struct eb_claim_message *m)
{
	struct eb_claim_record rc;
	struct reader in;
	uint32_t i;

	if (read_uint(rd, UINT8_MAX) != WIRE_VERSION)
		rd->bad = 1;
	m->type = (uint8_t)read_uint(rd, EB_CLAIM_TYPE_MAX);
	m->verdict = (uint8_t)read_uint(rd, EB_CLAIM_VERDICT_MAX);
	m->done = (uint8_t)read_uint(rd, 1);
	m->seen = (uint8_t)read_uint(rd, UINT8_MAX);
	m->full = (uint8_t)read_uint(rd, UINT8_MAX);
	m->slot = (uint16_t)read_uint(rd, EB_CLAIM_SLOTS - 1);
	m->set_id = read_uint(rd, UINT64_MAX);
	m->incarnation = read_uint(rd, UINT64_MAX);
	m->generation = read_uint(rd, UINT64_MAX);
	m->other.incarnation = read_uint(rd, UINT64_MAX);
	m->other.number = read_uint(rd, UINT64_MAX);
	m->members = read_numbers(rd, m->generations, EB_CLAIM_HOLDERS_MAX);
	m->required =
		read_numbers(rd, m->required_ids, EB_CLAIM_REQUIREMENTS_MAX);
	read_key(rd, m->cursor);
	read_record(rd, &m->record);
	in = read_array(rd, EB_CLAIM_MESSAGE_MAX_BYTES);
	m->items = in.items;
	m->records = in.count;
	for (i = 0; i < in.count && !in.bad; i++)
		read_record(&in, &rc);
	rd->bad |= in.bad || !m->type;
}

/*
 * Decodes a payload. Returns EB_EPARSE for anything that is not exactly one
 * message of this version and EB_EFULL for one over EB_CLAIM_MESSAGE_MAX_BYTES;
 * `m` needs no clearing then.
 */
enum eb_status eb_claim_decode(const void *bytes, size_t n,
			       struct eb_claim_message *m)
{
	struct reader rd = { 0 };
	size_t off = 0;

	memset(m, 0, sizeof(*m));
	if (n > EB_CLAIM_MESSAGE_MAX_BYTES)
		return EB_EFULL;
	if (!eb_claim_items_valid(bytes, n))
		return EB_EPARSE;
	msgpack_unpacked_init(&m->unpacked);
	if (msgpack_unpack_next(&m->unpacked, bytes, n, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == n && m->unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    m->unpacked.data.via.array.size == FIELDS) {
		rd.items = m->unpacked.data.via.array.ptr;
		rd.count = FIELDS;
		read_message(&rd, m);
		if (!rd.bad)
			return EB_OK;
	}
	msgpack_unpacked_destroy(&m->unpacked);
	return EB_EPARSE;
}

/* Reads record `i` of a decoded message; its bytes are valid as long as `m`. */
void eb_claim_record_at(const struct eb_claim_message *m, uint32_t i,
			struct eb_claim_record *rc)
{
	struct reader rd = { m->items, m->records, i, 0 };

	memset(rc, 0, sizeof(*rc));
	read_record(&rd, rc);
}

/* Frees the data of a decoded message. */
void eb_claim_message_clear(struct eb_claim_message *m)
{
	msgpack_unpacked_destroy(&m->unpacked);
}

/* Tells whether a message is for the holder; otherwise for the claimant. */
int eb_claim_for_holder(const struct eb_claim_message *m)
{
	return m->type != EB_CLAIM_ANSWER && m->type != EB_CLAIM_ACK;
}
