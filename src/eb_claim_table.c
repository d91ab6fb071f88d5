#include "eb_claim_table.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS (EB_CLAIM_SLOTS * EB_CLAIM_SLOT_BUCKETS)

static uint32_t bucket_of(const uint8_t *key)
{
	return (uint32_t)key[0] * EB_CLAIM_SLOT_BUCKETS +
	       key[1] / (256 / EB_CLAIM_SLOT_BUCKETS);
}

/* Entries expire after the retention, released ones after EB_CLAIM_FREE_MS. */
static int expired(const struct eb_claim_table *tb,
		   const struct eb_claim_entry *e, int64_t now_us)
{
	int64_t keep_us = tb->retention_us;

	if (e->state == EB_CLAIM_FREE && keep_us > EB_CLAIM_FREE_MS * 1000LL)
		keep_us = EB_CLAIM_FREE_MS * 1000LL;
	return now_us - e->since_us >= keep_us;
}

static void drop_response(struct eb_claim_table *tb, struct eb_claim_entry *e)
{
	tb->response_bytes -=
		e->response.headers_bytes + e->response.body_bytes;
	free((void *)e->response.headers);
	memset(&e->response, 0, sizeof(e->response));
}

/* Removes the entry that `link` points to. */
static void remove_at(struct eb_claim_table *tb, struct eb_claim_entry **link)
{
	struct eb_claim_entry *e = *link;

	*link = e->next;
	drop_response(tb, e);
	free(e);
	tb->count--;
}

static void expire_bucket(struct eb_claim_table *tb, uint32_t b, int64_t now_us)
{
	struct eb_claim_entry **link = &tb->buckets[b];

	while (*link) {
		if (!expired(tb, *link, now_us)) {
			link = &(*link)->next;
			continue;
		}
		tb->expired++;
		remove_at(tb, link);
	}
}

void eb_claim_table_clear(struct eb_claim_table *tb)
{
	uint32_t b;

	for (b = 0; b < BUCKETS; b++)
		while (tb->buckets[b])
			remove_at(tb, &tb->buckets[b]);
}

/* Returns the entry of a key, or NULL if there is none or it has expired. */
struct eb_claim_entry *eb_claim_table_find(struct eb_claim_table *tb,
					   const uint8_t *key, int64_t now_us)
{
	struct eb_claim_entry *e;
	uint32_t b = bucket_of(key);

	expire_bucket(tb, b, now_us);
	for (e = tb->buckets[b]; e; e = e->next)
		if (eb_claim_key_equal(e->key, key))
			return e;
	return NULL;
}

/*
 * Adds an entry for a key that has none, in state EB_CLAIM_FREE. Returns NULL
 * when the table is full or out of memory: no entry is removed before it
 * expires, because a second run would be possible without it.
 */
struct eb_claim_entry *eb_claim_table_add(struct eb_claim_table *tb,
					  const uint8_t *key, int64_t now_us)
{
	struct eb_claim_entry **link = &tb->buckets[bucket_of(key)], *e;

	if (tb->count >= tb->count_max) {
		eb_claim_table_expire(tb, BUCKETS, now_us);
		link = &tb->buckets[bucket_of(key)];
	}
	e = tb->count < tb->count_max ? calloc(1, sizeof(*e)) : NULL;
	if (!e) {
		tb->rejected++;
		return NULL;
	}
	while (*link && memcmp((*link)->key, key, sizeof(e->key)) < 0)
		link = &(*link)->next;
	memcpy(e->key, key, sizeof(e->key));
	e->since_us = now_us;
	e->next = *link;
	*link = e;
	tb->count++;
	return e;
}

/*
 * Sets the state of an entry. The response is copied for EB_CLAIM_DONE; the
 * state becomes EB_CLAIM_LARGE when the response is too large, the space for
 * responses is used up or memory is out.
 */
void eb_claim_table_store(struct eb_claim_table *tb, struct eb_claim_entry *e,
			  enum eb_claim_state state,
			  const struct eb_claim_response *rs)
{
	uint32_t n = rs ? rs->headers_bytes + rs->body_bytes : 0;
	uint8_t *block = NULL;

	drop_response(tb, e);
	e->state = (uint8_t)state;
	if (state != EB_CLAIM_DONE)
		return;
	if (rs && n <= EB_CLAIM_RESPONSE_MAX_BYTES &&
	    tb->response_bytes + n <= tb->response_bytes_max)
		block = malloc(n + 1);
	if (!block) {
		tb->dropped++;
		e->state = EB_CLAIM_LARGE;
		return;
	}
	if (rs->headers_bytes)
		memcpy(block, rs->headers, rs->headers_bytes);
	if (rs->body_bytes)
		memcpy(block + rs->headers_bytes, rs->body, rs->body_bytes);
	e->response = *rs;
	e->response.headers = block;
	e->response.body = block + rs->headers_bytes;
	tb->response_bytes += n;
}

/* Returns the first entry of a slot whose key is above `key`, or NULL. */
struct eb_claim_entry *eb_claim_table_after(struct eb_claim_table *tb,
					    uint32_t slot, const uint8_t *key,
					    int64_t now_us)
{
	uint32_t b = slot * EB_CLAIM_SLOT_BUCKETS;
	uint32_t end = b + EB_CLAIM_SLOT_BUCKETS;
	struct eb_claim_entry *e;

	if (bucket_of(key) > b && bucket_of(key) < end)
		b = bucket_of(key);
	for (; b < end; b++)
		for (e = tb->buckets[b]; e; e = e->next)
			if (memcmp(e->key, key, sizeof(e->key)) > 0 &&
			    !expired(tb, e, now_us))
				return e;
	return NULL;
}

/* Removes expired entries from the next `buckets` buckets. */
void eb_claim_table_expire(struct eb_claim_table *tb, uint32_t buckets,
			   int64_t now_us)
{
	while (buckets--) {
		expire_bucket(tb, tb->expire_next, now_us);
		tb->expire_next = (tb->expire_next + 1) % BUCKETS;
	}
}
