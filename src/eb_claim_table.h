#ifndef EB_CLAIM_TABLE_H
#define EB_CLAIM_TABLE_H

#include "eb_claim_wire.h"

/* Hash buckets of each slot; a bucket's entries are sorted by key. */
#define EB_CLAIM_SLOT_BUCKETS 16
/* Retention of a released entry, which rejects late repeats of its claim. */
#define EB_CLAIM_FREE_MS 30000

/* The claim that a holder stores for a key. */
struct eb_claim_entry {
	struct eb_claim_entry *next;
	uint8_t key[EB_CLAIM_KEY_BYTES];
	uint8_t digest[EB_CLAIM_KEY_BYTES];
	uint8_t state; /* enum eb_claim_state */
	struct eb_claim_id claim;
	int64_t since_us; /* of the grant, the release or the end of the run */
	struct eb_claim_response response; /* owned, in one block */
};

/* The claims of a holder: bounded in number, bytes and age. */
struct eb_claim_table {
	struct eb_claim_entry *buckets[EB_CLAIM_SLOTS * EB_CLAIM_SLOT_BUCKETS];
	uint32_t count;
	uint32_t count_max;
	uint32_t response_bytes;
	uint32_t response_bytes_max;
	uint32_t expire_next; /* bucket that is checked next */
	int64_t retention_us;
	uint64_t rejected; /* entries over count_max, or out of memory */
	uint64_t dropped;  /* responses that were not stored */
	uint64_t expired;
};

void eb_claim_table_clear(struct eb_claim_table *tb);
struct eb_claim_entry *eb_claim_table_find(struct eb_claim_table *tb,
					   const uint8_t *key, int64_t now_us);
struct eb_claim_entry *eb_claim_table_add(struct eb_claim_table *tb,
					  const uint8_t *key, int64_t now_us);
void eb_claim_table_store(struct eb_claim_table *tb, struct eb_claim_entry *e,
			  enum eb_claim_state state,
			  const struct eb_claim_response *rs);
struct eb_claim_entry *eb_claim_table_after(struct eb_claim_table *tb,
					    uint32_t slot, const uint8_t *key,
					    int64_t now_us);
void eb_claim_table_expire(struct eb_claim_table *tb, uint32_t buckets,
			   int64_t now_us);

#endif
