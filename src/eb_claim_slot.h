#ifndef EB_CLAIM_SLOT_H
#define EB_CLAIM_SLOT_H

#include "eb_claim_wire.h"

/* Earlier holder sets of a slot, and generations of other holders. */
#define EB_CLAIM_PAST_SETS_MAX 8
#define EB_CLAIM_GENERATIONS_MAX 8
/* Members of all required sets and the current set. */
#define EB_CLAIM_PULLS_MAX \
	((EB_CLAIM_REQUIREMENTS_MAX + 1) * EB_CLAIM_HOLDERS_MAX)

/* The newest known generation of another holder. */
struct eb_claim_generation {
	uint64_t member;
	uint64_t generation;
};

/* An earlier holder set of a slot in this process. */
struct eb_claim_past_set {
	uint64_t id;
	uint8_t granting;	 /* had all earlier claims when the set ended */
	uint8_t grants_complete; /* has all claims that it granted in the set */
};

/*
 * A set whose claims must be copied before the slot grants. `full`: claims from
 * before that set are missing as well. `self`: this daemon has its own grants
 * in the set and counts as one of its members.
 */
struct eb_claim_requirement {
	struct eb_claim_set set;
	uint8_t full;
	uint8_t self;
};

/* The copy from one other daemon. */
struct eb_claim_pull {
	uint64_t member;
	char *name;
	uint64_t incarnation;		    /* that sent the first part */
	int64_t next_us;		    /* time of the next request */
	uint8_t cursor[EB_CLAIM_KEY_BYTES]; /* last key received */
	uint8_t tries;	   /* doublings of the retry interval */
	uint8_t started;   /* the first part was received */
	uint8_t seen_part; /* masks of the parts so far */
	uint8_t full_part;
	uint8_t done;
	uint8_t seen; /* masks of the complete copy */
	uint8_t full;
};

/* What a daemon keeps for each slot of its service. */
struct eb_claim_slot {
	struct eb_claim_set set; /* of the current configuration */
	uint8_t member;		 /* this daemon is in `set` */
	uint8_t granting;	 /* grants */
	uint8_t fresh;		 /* may have lost claims granted in `set` */
	uint8_t seen_count;
	uint8_t known_count;
	uint8_t requirement_count;
	uint8_t pull_count;
	/*
	 * Of this daemon, raised when it has lost its claims: a count in the
	 * upper 32 bits, and 32 bits derived from the incarnation, so that two
	 * incarnations with the same count have an order. 0 if it never lost
	 * its claims.
	 */
	uint64_t generation;
	int64_t open_at_us; /* grants from then on even without copies */
	struct eb_claim_past_set seen[EB_CLAIM_PAST_SETS_MAX];
	struct eb_claim_generation known[EB_CLAIM_GENERATIONS_MAX];
	struct eb_claim_requirement requirements[EB_CLAIM_REQUIREMENTS_MAX];
	struct eb_claim_pull *pulls;
};

/* Parameters of a change of a slot. */
struct eb_claim_slot_change {
	uint64_t self;		       /* member of this daemon */
	uint32_t tag;		       /* of its incarnation, for generations */
	uint8_t within_retention;      /* started less than the retention ago */
	int64_t open_after_restart_us; /* open_at_us of a slot that lost its
					  claims */
	int64_t open_after_change_us;  /* open_at_us of a slot with new holders
					*/
};

enum eb_status eb_claim_slot_start(struct eb_claim_slot *sl,
				   const struct eb_claim_set *set,
				   const struct eb_claim_slot_change *cg);
enum eb_status eb_claim_slot_move(struct eb_claim_slot *sl,
				  const struct eb_claim_set *set,
				  const struct eb_claim_slot_change *cg,
				  uint64_t *dropped);
void eb_claim_slot_clear(struct eb_claim_slot *sl);
void eb_claim_slot_raise_generation(struct eb_claim_slot *sl, uint64_t above,
				    uint32_t tag);
void eb_claim_slot_restart_pulls(struct eb_claim_slot *sl);
struct eb_claim_pull *eb_claim_slot_pull(struct eb_claim_slot *sl,
					 uint64_t member);
int eb_claim_slot_satisfied(const struct eb_claim_slot *sl, uint64_t self);
void eb_claim_slot_open(struct eb_claim_slot *sl, int copied);
void eb_claim_slot_coverage(const struct eb_claim_slot *sl,
			    const struct eb_claim_message *ask, uint8_t *seen,
			    uint8_t *full);
struct eb_claim_generation *
eb_claim_slot_known_generation(struct eb_claim_slot *sl, uint64_t member);
void eb_claim_slot_generations(const struct eb_claim_slot *sl, uint64_t self,
			       struct eb_claim_message *m);
uint64_t eb_claim_slot_merge_generations(struct eb_claim_slot *sl,
					 uint64_t self,
					 const struct eb_claim_message *m);

#endif
