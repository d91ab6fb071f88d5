#include "eb_crash.h"

#include <stdlib.h>
#include <string.h>

#include "eb_claim_wire.h"

#define PAYLOAD_MAX_BYTES 8192
#define MARK_FIELDS (2 + EB_CRASH_UPSTREAMS_MAX)

struct mark {
	uint64_t fingerprint;
	uint64_t upstreams[EB_CRASH_UPSTREAMS_MAX];
	int64_t last_us; /* of the last crash */
	uint32_t count;	 /* 0: not in use */
	uint8_t trial;	 /* a run of the request is in progress here */
};

struct eb_crash {
	struct mark marks[EB_CRASH_MARKS_MAX];
	uint32_t used; /* marks below this index may be in use */
	struct eb_crash_counters counters;
};

/* Creates an empty table of marks. Returns NULL if out of memory. */
struct eb_crash *eb_crash_new(void)
{
	return calloc(1, sizeof(struct eb_crash));
}

/* Frees a table; NULL is allowed. */
void eb_crash_free(struct eb_crash *cr)
{
	free(cr);
}

/* Kinds of fingerprints, in their lowest bits. */
enum kind { KIND_EXACT = 0, KIND_OPEN, KIND_ANY, KIND_PATH };
#define KIND_MASK 3

/* The parts of a request that a fingerprint may cover, as digests. */
struct parts {
	uint8_t target[EB_CLAIM_KEY_BYTES]; /* and method */
	uint8_t caller[EB_CLAIM_KEY_BYTES]; /* and idempotency key */
	uint8_t body[EB_CLAIM_KEY_BYTES];   /* or zeros */
};

static uint64_t fingerprint(const struct parts *pt, enum kind kind)
{
	uint8_t whole[EB_CLAIM_KEY_BYTES];
	uint64_t out;

	eb_claim_digest("", "", 0, pt, sizeof(*pt), whole);
	memcpy(&out, whole, sizeof(out));
	return (out & ~(uint64_t)KIND_MASK) | (uint64_t)kind;
}

/* Returns the fingerprints of a request, from cryptographic digests. */
struct eb_crash_id eb_crash_identify(const struct eb_crash_request *rq)
{
	struct eb_crash_id id = { 0 };
	const char *who = rq->credentials;
	struct parts pt = { 0 };

	eb_claim_digest(rq->method, rq->target, 0, NULL, 0, pt.target);
	eb_claim_digest(rq->key ? "key" : "", rq->key ? rq->key : "", 0,
			who ? who : "", who ? strlen(who) : 0, pt.caller);
	id.any = fingerprint(&pt, KIND_ANY);
	id.open = fingerprint(&pt, KIND_OPEN);
	if (!rq->open) {
		eb_claim_digest("", "",
				rq->total_bytes ? rq->total_bytes
						: rq->body_bytes,
				rq->body, rq->body_bytes, pt.body);
		id.exact = fingerprint(&pt, KIND_EXACT);
	}
	eb_claim_digest(rq->method, "", 0, rq->target, strcspn(rq->target, "?"),
			pt.target);
	id.path = fingerprint(&pt, KIND_PATH);
	return id;
}

static int expired(const struct mark *mk, int64_t now_us)
{
	return now_us - mk->last_us >= EB_CRASH_EXPIRE_MS * 1000LL;
}

/* Returns the mark of a request or NULL; drops expired marks that it passes. */
static struct mark *find(struct eb_crash *cr, uint64_t fingerprint,
			 int64_t now_us)
{
	struct mark *mk;
	uint32_t i;

	for (i = 0; i < cr->used; i++) {
		mk = &cr->marks[i];
		if (mk->count && expired(mk, now_us))
			mk->count = 0;
		if (mk->count && mk->fingerprint == fingerprint)
			return mk;
	}
	return NULL;
}

/*
 * Returns the mark of a request, or an empty one. A full table evicts its
 * oldest mark with a single crash; without one it returns NULL.
 */
static struct mark *make(struct eb_crash *cr, uint64_t fingerprint,
			 int64_t now_us)
{
	struct mark *mk = find(cr, fingerprint, now_us), *oldest = NULL;
	uint32_t i;

	if (mk)
		return mk;
	for (i = 0; i < EB_CRASH_MARKS_MAX; i++) {
		mk = &cr->marks[i];
		if (!mk->count)
			break;
		if (mk->count < EB_CRASH_REFUSE_AT &&
		    (!oldest || mk->last_us < oldest->last_us))
			oldest = mk;
	}
	if (i == EB_CRASH_MARKS_MAX) {
		if (!oldest) {
			cr->counters.rejected++;
			return NULL;
		}
		mk = oldest;
		cr->counters.evicted++;
	}
	if (i < EB_CRASH_MARKS_MAX && i >= cr->used)
		cr->used = i + 1;
	memset(mk, 0, sizeof(*mk));
	mk->fingerprint = fingerprint;
	return mk;
}

/* Returns the mark by which a request is counted, or NULL. */
static struct mark *own_mark(struct eb_crash *cr, const struct eb_crash_id *id,
			     int64_t now_us)
{
	return find(cr, id->exact ? id->exact : id->any, now_us);
}

/* Returns the mark of a fingerprint if it has so many crashes, or NULL. */
static const struct mark *find_crashes(struct eb_crash *cr,
				       uint64_t fingerprint, uint32_t crashes,
				       int64_t now_us)
{
	const struct mark *mk =
		fingerprint ? find(cr, fingerprint, now_us) : NULL;

	return mk && mk->count >= crashes ? mk : NULL;
}

/*
 * Returns a mark for which a request must be refused, or NULL: its own one,
 * that of runs with an unknown body, which may have been the same, or that of
 * runs with other queries.
 */
static const struct mark *
refusing_mark(struct eb_crash *cr, const struct eb_crash_id *id, int64_t now_us)
{
	const struct mark *mk;

	mk = find_crashes(cr, id->exact ? id->exact : id->any,
			  EB_CRASH_REFUSE_AT, now_us);
	if (!mk && id->exact)
		mk = find_crashes(cr, id->open, EB_CRASH_REFUSE_AT, now_us);
	return mk ? mk
		  : find_crashes(cr, id->path, EB_CRASH_UPSTREAMS_MAX, now_us);
}

/*
 * Decides whether a request may run. Returns 0 when it must be refused as not
 * run: it crashed EB_CRASH_REFUSE_AT upstreams, or it crashed one and another
 * run of it is in progress here. Otherwise returns 1, and eb_crash_done() or
 * eb_crash_report() must follow.
 */
int eb_crash_check(struct eb_crash *cr, const struct eb_crash_id *id,
		   int64_t now_us)
{
	struct mark *mk = own_mark(cr, id, now_us);

	if ((mk && mk->trial) || refusing_mark(cr, id, now_us)) {
		cr->counters.refused++;
		return 0;
	}
	if (mk)
		mk->trial = 1;
	return 1;
}

/*
 * Returns the ms until a refused request may run again; 0: it is not refused.
 */
uint32_t eb_crash_wait_ms(struct eb_crash *cr, const struct eb_crash_id *id,
			  int64_t now_us)
{
	const struct mark *mk = refusing_mark(cr, id, now_us);

	if (!mk)
		return 0;
	return EB_CRASH_EXPIRE_MS - (uint32_t)((now_us - mk->last_us) / 1000);
}

/* Removes one mark. */
static void drop(struct eb_crash *cr, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < cr->used; i++)
		if (cr->marks[i].fingerprint == fingerprint)
			cr->marks[i].count = 0;
}

/*
 * Removes the marks of a request that was answered without a crash. Those of
 * requests with other bodies stay.
 */
void eb_crash_clear(struct eb_crash *cr, const struct eb_crash_id *id)
{
	drop(cr, id->path);
	if (id->exact) {
		drop(cr, id->exact);
		return;
	}
	drop(cr, id->open);
	drop(cr, id->any);
}

/* Ends a run that eb_crash_check() allowed and that did not crash. */
void eb_crash_done(struct eb_crash *cr, const struct eb_crash_id *id)
{
	uint64_t own = id->exact ? id->exact : id->any;
	uint32_t i;

	for (i = 0; i < cr->used; i++)
		if (cr->marks[i].fingerprint == own)
			cr->marks[i].trial = 0;
}

/* Adds a crash to a mark; returns 0 if the mark has it already or is full. */
static int add_upstream(struct mark *mk, uint64_t upstream)
{
	uint32_t i;

	for (i = 0; i < mk->count; i++)
		if (mk->upstreams[i] == upstream)
			return 0;
	if (mk->count == EB_CRASH_UPSTREAMS_MAX)
		return 0;
	mk->upstreams[mk->count++] = upstream;
	return 1;
}

/* Adds a crash to the mark of one fingerprint, if there is one. */
static void add_crash(struct eb_crash *cr, uint64_t fingerprint,
		      uint64_t upstream, int64_t now_us)
{
	struct mark *mk = fingerprint ? make(cr, fingerprint, now_us) : NULL;

	if (!mk)
		return;
	mk->trial = 0;
	mk->last_us = now_us;
	add_upstream(mk, upstream);
}

/*
 * Records that an upstream crashed while it ran the request. All requests that
 * it ran at that time are reported; one that did not cause the crash is served
 * by another upstream and is refused only if that one crashes during its run.
 */
void eb_crash_report(struct eb_crash *cr, const struct eb_crash_id *id,
		     const char *upstream, int64_t now_us)
{
	uint64_t member = eb_claim_member(upstream);

	cr->counters.reported++;
	add_crash(cr, id->exact ? id->exact : id->open, member, now_us);
	add_crash(cr, id->any, member, now_us);
	add_crash(cr, id->path, member, now_us);
}

static void pack_mark(msgpack_packer *pk, const struct mark *mk, int64_t now_us)
{
	uint32_t i;

	msgpack_pack_array(pk, MARK_FIELDS);
	msgpack_pack_uint64(pk, mk->fingerprint);
	msgpack_pack_uint64(pk, (uint64_t)(now_us - mk->last_us) / 1000);
	for (i = 0; i < EB_CRASH_UPSTREAMS_MAX; i++)
		msgpack_pack_uint64(pk, i < mk->count ? mk->upstreams[i] : 0);
}

/*
 * Appends up to EB_CRASH_PAYLOAD_MARKS marks from index `*from` on: all of
 * them, or those for which requests are refused. `*from` is 0 again when the
 * last one was written; an empty `out` means that there is nothing to send.
 */
void eb_crash_encode(struct eb_crash *cr, uint32_t *from, int all,
		     int64_t now_us, msgpack_sbuffer *out)
{
	struct mark *list[EB_CRASH_PAYLOAD_MARKS], *mk;
	msgpack_packer pk;
	uint32_t n = 0, i;

	for (i = *from; i < cr->used && n < EB_CRASH_PAYLOAD_MARKS; i++) {
		mk = &cr->marks[i];
		if (mk->count && !expired(mk, now_us) &&
		    (all || mk->count >= EB_CRASH_REFUSE_AT))
			list[n++] = mk;
	}
	*from = i < cr->used ? i : 0;
	if (!n)
		return;
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n);
	for (i = 0; i < n; i++)
		pack_mark(&pk, list[i], now_us);
}

static int valid(const msgpack_object *o)
{
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != MARK_FIELDS)
		return 0;
	for (i = 0; i < MARK_FIELDS; i++)
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return 0;
	return o->via.array.ptr[1].via.u64 < EB_CRASH_EXPIRE_MS;
}

static void merge(struct eb_crash *cr, const msgpack_object *o, int64_t now_us)
{
	const msgpack_object *f = o->via.array.ptr;
	int64_t last_us = now_us - (int64_t)f[1].via.u64 * 1000;
	struct mark *mk = make(cr, f[0].via.u64, now_us);
	uint32_t i;

	if (!mk)
		return;
	for (i = 0; i < EB_CRASH_UPSTREAMS_MAX; i++)
		if (f[2 + i].via.u64 && add_upstream(mk, f[2 + i].via.u64)) {
			cr->counters.learned++;
			if (mk->count == 1 || last_us > mk->last_us)
				mk->last_us = last_us;
		}
}

/*
 * Merges the marks of another daemon. Only a mark that gains a crash is sent
 * on, so that the exchange of marks ends. Returns EB_EPARSE for anything that
 * is not a list of marks, and EB_EFULL for one that is too large.
 */
enum eb_status eb_crash_recv(struct eb_crash *cr, const void *payload, size_t n,
			     int64_t now_us)
{
	enum eb_status st = EB_EPARSE;
	const msgpack_object_array *list;
	msgpack_unpacked up;
	size_t off = 0;
	uint32_t i;

	if (n > PAYLOAD_MAX_BYTES) {
		cr->counters.bad_payloads++;
		return EB_EFULL;
	}
	msgpack_unpacked_init(&up);
	if (eb_claim_items_valid(payload, n) &&
	    msgpack_unpack_next(&up, payload, n, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == n && up.data.type == MSGPACK_OBJECT_ARRAY) {
		list = &up.data.via.array;
		for (i = 0; i < list->size && valid(&list->ptr[i]); i++)
			;
		if (i == list->size) {
			for (i = 0; i < list->size; i++)
				merge(cr, &list->ptr[i], now_us);
			st = EB_OK;
		}
	}
	msgpack_unpacked_destroy(&up);
	if (st)
		cr->counters.bad_payloads++;
	return st;
}

void eb_crash_read_counters(const struct eb_crash *cr,
			    struct eb_crash_counters *out)
{
	uint32_t i;

	*out = cr->counters;
	out->marks = 0;
	out->crashes = 0;
	for (i = 0; i < cr->used; i++) {
		if ((cr->marks[i].fingerprint & KIND_MASK) >= KIND_ANY)
			continue; /* counted by another mark */
		out->marks += cr->marks[i].count > 0;
		out->crashes += cr->marks[i].count;
	}
}
