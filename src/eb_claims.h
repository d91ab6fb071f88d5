#ifndef EB_CLAIMS_H
#define EB_CLAIMS_H

#include <stdint.h>

#include "eb_claim.h"
#include "eb_config.h"
#include "eb_holder.h"

/*
 * The two roles of a daemon in claims on idempotency keys, claimant and
 * holder, behind one interface. Used by the core thread only.
 */
struct eb_claims;

struct eb_claims *eb_claims_new(const char *upstream, uint64_t incarnation);
void eb_claims_free(struct eb_claims *cs);
struct eb_claim *eb_claims_claimant(struct eb_claims *cs);
enum eb_status eb_claims_configure(struct eb_claims *cs, struct eb_config *cf,
				   int64_t now_us);
enum eb_status eb_claims_recv(struct eb_claims *cs, const void *data, size_t n,
			      int64_t now_us);
enum eb_status eb_claims_sender(const void *data, size_t n, char *name,
				size_t space);
void eb_claims_tick(struct eb_claims *cs, int64_t now_us);
struct eb_frame *eb_claims_next(struct eb_claims *cs, char *to, size_t space);
void eb_claims_open(struct eb_claims *cs, int64_t now_us);
void eb_claims_slots(const struct eb_claims *cs, uint32_t *held,
		     uint32_t *able);

#endif
