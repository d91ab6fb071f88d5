#include "eb_claim_set.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Returns the number that identifies a daemon in messages and sets. */
uint64_t eb_claim_member(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/*
 * Tells whether the daemon beside an upstream may hold claims of its service,
 * which include the responses.
 */
static int may_hold(const struct eb_config *cf, uint32_t service,
		    const struct eb_upstream *up)
{
	const struct eb_texts *regions = &cf->services[service]->regions;

	return !regions->count || eb_texts_has(regions, up->region);
}

/* Returns how many daemons of a service may hold its claims. */
static uint32_t count_holders(const struct eb_config *cf, uint32_t service)
{
	uint32_t i = cf->service_first_upstream[service], n = 0;
	uint32_t end = i + cf->service_upstream_count[service];

	if (!cf->services[service]->regions.count)
		return end - i;
	for (; i < end; i++)
		n += (uint32_t)may_hold(cf, service, cf->upstreams[i]);
	return n;
}

/*
 * Returns the upstream with the highest score that is not chosen yet, or
 * EB_NONE. With `spread`, only from failure domains without a chosen one.
 */
static uint32_t best(const struct eb_config *cf, uint32_t service,
		     uint32_t slot, const uint32_t *chosen, uint32_t n,
		     int spread)
{
	uint32_t first = cf->service_first_upstream[service], i, k,
		 found = EB_NONE;
	uint64_t score, top = 0;
	const struct eb_upstream *up;

	for (i = first; i < first + cf->service_upstream_count[service]; i++) {
		up = cf->upstreams[i];
		for (k = 0; k < n; k++)
			if (chosen[k] == i ||
			    (spread &&
			     !strcmp(cf->upstreams[chosen[k]]->failure_domain,
				     up->failure_domain)))
				break;
		if (k < n || !may_hold(cf, service, up))
			continue;
		score = XXH3_64bits_withSeed(up->name, strlen(up->name), slot);
		if (found == EB_NONE || score > top) {
			found = i;
			top = score;
		}
	}
	return found;
}

/* Inserts a member in order. */
static enum eb_status add(struct eb_claim_set *st, const char *name)
{
	uint64_t member = eb_claim_member(name);
	uint32_t i = st->count;
	char *copy = strdup(name);

	if (!copy)
		return EB_ENOMEM;
	for (; i > 0 && st->member[i - 1] > member; i--) {
		st->member[i] = st->member[i - 1];
		st->name[i] = st->name[i - 1];
	}
	st->member[i] = member;
	st->name[i] = copy;
	st->count++;
	return EB_OK;
}

/*
 * Chooses the holders of a slot by rendezvous hashing over all daemons that
 * the configuration lists for the service in the service's regions, live or
 * not, and in different failure domains while there are enough. With EB_NONE as
 * service the set is empty. Returns EB_ENOMEM, with an empty set.
 */
enum eb_status eb_claim_set_make(struct eb_claim_set *st,
				 const struct eb_config *cf, uint32_t service,
				 uint32_t slot)
{
	uint32_t chosen[EB_CLAIM_HOLDERS_MAX], n = 0, want, i, able;

	memset(st, 0, sizeof(*st));
	if (!cf || service == EB_NONE)
		return EB_OK;
	able = count_holders(cf, service);
	if (!able)
		return EB_OK;
	want = able >= EB_CLAIM_LARGE_SERVICE ? EB_CLAIM_HOLDERS_MAX
					      : EB_CLAIM_HOLDERS;
	while (n < want) {
		i = best(cf, service, slot, chosen, n, 1);
		if (i == EB_NONE)
			i = best(cf, service, slot, chosen, n, 0);
		if (i == EB_NONE)
			break;
		chosen[n++] = i;
		if (add(st, cf->upstreams[i]->name)) {
			eb_claim_set_clear(st);
			return EB_ENOMEM;
		}
	}
	st->majority = st->count / 2 + 1;
	st->id = XXH3_64bits(st->member, st->count * sizeof(st->member[0]));
	return EB_OK;
}

/* Copies a set into an empty one. Returns EB_ENOMEM, with `to` empty. */
enum eb_status eb_claim_set_copy(struct eb_claim_set *to,
				 const struct eb_claim_set *from)
{
	uint32_t i;

	memset(to, 0, sizeof(*to));
	for (i = 0; i < from->count; i++)
		if (add(to, from->name[i])) {
			eb_claim_set_clear(to);
			return EB_ENOMEM;
		}
	to->id = from->id;
	to->majority = from->majority;
	return EB_OK;
}

/* Empties a set and frees its names. */
void eb_claim_set_clear(struct eb_claim_set *st)
{
	uint32_t i;

	for (i = 0; i < st->count; i++)
		free(st->name[i]);
	memset(st, 0, sizeof(*st));
}

/* Returns the index of a member in the set, or EB_NONE. */
uint32_t eb_claim_set_find(const struct eb_claim_set *st, uint64_t member)
{
	uint32_t i;

	for (i = 0; i < st->count; i++)
		if (st->member[i] == member)
			return i;
	return EB_NONE;
}

/* Returns how many members intersect with every majority; 0 if empty. */
uint32_t eb_claim_set_read_quorum(const struct eb_claim_set *st)
{
	return st->count ? st->count - st->majority + 1 : 0;
}

int eb_claim_id_equal(const struct eb_claim_id *a, const struct eb_claim_id *b)
{
	return a->incarnation == b->incarnation && a->number == b->number;
}

/* Compares two keys, or two digests. */
int eb_claim_key_equal(const uint8_t *a, const uint8_t *b)
{
	return memcmp(a, b, EB_CLAIM_KEY_BYTES) == 0;
}

static void put(crypto_generichash_state *hs, const void *data, size_t n)
{
	uint64_t bytes = n;

	/* The lengths make the input of different fields different. */
	crypto_generichash_update(hs, (const unsigned char *)&bytes,
				  sizeof(bytes));
	if (n)
		crypto_generichash_update(hs, data, n);
}

/*
 * Writes the hash that identifies an idempotency key of a service. It is a
 * cryptographic one, because a caller that can construct collisions would
 * receive the response to another caller's request.
 */
void eb_claim_key(const char *service, const char *key,
		  uint8_t out[EB_CLAIM_KEY_BYTES])
{
	crypto_generichash_state hs;

	crypto_generichash_init(&hs, NULL, 0, EB_CLAIM_KEY_BYTES);
	put(&hs, service, strlen(service));
	put(&hs, key, strlen(key));
	crypto_generichash_final(&hs, out, EB_CLAIM_KEY_BYTES);
}

/*
 * Writes the digest of a request. `body` holds the `n` bytes that are known
 * when the claim starts; of the rest only the length is included.
 */
void eb_claim_digest(const char *method, const char *target,
		     uint64_t body_bytes, const void *body, size_t n,
		     uint8_t out[EB_CLAIM_KEY_BYTES])
{
	crypto_generichash_state hs;

	crypto_generichash_init(&hs, NULL, 0, EB_CLAIM_KEY_BYTES);
	put(&hs, method, strlen(method));
	put(&hs, target, strlen(target));
	put(&hs, &body_bytes, sizeof(body_bytes));
	put(&hs, body, n);
	crypto_generichash_final(&hs, out, EB_CLAIM_KEY_BYTES);
}
