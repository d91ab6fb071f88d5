#ifndef EB_CLAIM_SET_H
#define EB_CLAIM_SET_H

#include <stddef.h>
#include <stdint.h>

#include "eb_config.h"
#include "eb_status.h"

/* The keys of a service are divided by hash into this many slots. */
#define EB_CLAIM_SLOTS 256
#define EB_CLAIM_HOLDERS 3
#define EB_CLAIM_HOLDERS_MAX 5
/*
 * Services with this many upstreams have EB_CLAIM_HOLDERS_MAX holders for a
 * key, so that two of them may be down or restarting at once.
 */
#define EB_CLAIM_LARGE_SERVICE 20
#define EB_CLAIM_KEY_BYTES 16

/* One try of an origin to obtain a key; numbers are not reused. */
struct eb_claim_id {
	uint64_t incarnation;
	uint64_t number;
};

/* The holders of a slot in one configuration, sorted by member. */
struct eb_claim_set {
	uint64_t id; /* digest of the members; 0 when there are none */
	uint32_t count;
	uint32_t majority;
	uint64_t member[EB_CLAIM_HOLDERS_MAX]; /* eb_claim_member() of name */
	char *name[EB_CLAIM_HOLDERS_MAX];      /* owned */
};

uint64_t eb_claim_member(const char *name);
enum eb_status eb_claim_set_make(struct eb_claim_set *st,
				 const struct eb_config *cf, uint32_t service,
				 uint32_t slot);
enum eb_status eb_claim_set_copy(struct eb_claim_set *to,
				 const struct eb_claim_set *from);
void eb_claim_set_clear(struct eb_claim_set *st);
uint32_t eb_claim_set_find(const struct eb_claim_set *st, uint64_t member);
uint32_t eb_claim_set_read_quorum(const struct eb_claim_set *st);
int eb_claim_id_equal(const struct eb_claim_id *a, const struct eb_claim_id *b);
int eb_claim_key_equal(const uint8_t *a, const uint8_t *b);
void eb_claim_key(const char *service, const char *key,
		  uint8_t out[EB_CLAIM_KEY_BYTES]);
void eb_claim_digest(const char *method, const char *target,
		     uint64_t body_bytes, const void *body, size_t n,
		     uint8_t out[EB_CLAIM_KEY_BYTES]);

#endif
