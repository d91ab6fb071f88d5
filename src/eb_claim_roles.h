#ifndef EB_CLAIM_ROLES_H
#define EB_CLAIM_ROLES_H

#include <stdint.h>

#include "eb_claimant.h"
#include "eb_config.h"
#include "eb_claim_holder.h"

/*
 * The two roles of a daemon in claims on idempotency keys, claimant and
 * holder, behind one interface. Used by the core thread only.
 */
struct eb_claim_roles;

struct eb_claim_roles *eb_claim_roles_new(const char *upstream,
					  uint64_t incarnation);
void eb_claim_roles_free(struct eb_claim_roles *cs);
struct eb_claimant *eb_claim_roles_claimant(struct eb_claim_roles *cs);
enum eb_status eb_claim_roles_configure(struct eb_claim_roles *cs,
					struct eb_config *cf, int64_t now_us);
enum eb_status eb_claim_roles_recv(struct eb_claim_roles *cs, const void *data,
				   size_t n, int64_t now_us);
enum eb_status eb_claim_roles_sender(const void *data, size_t n, char *name,
				     size_t space);
void eb_claim_roles_tick(struct eb_claim_roles *cs, int64_t now_us);
struct eb_frame *eb_claim_roles_next(struct eb_claim_roles *cs, char *to,
				     size_t space);
void eb_claim_roles_open(struct eb_claim_roles *cs, int64_t now_us);
void eb_claim_roles_slots(const struct eb_claim_roles *cs, uint32_t *held,
			  uint32_t *granting);

#endif
