#include "eb_claim_slot.h"

#include <stdlib.h>
#include <string.h>

static void drop_requirements(struct eb_claim_slot *sl)
{
	while (sl->requirement_count)
		eb_claim_set_clear(
			&sl->requirements[--sl->requirement_count].set);
}

static void drop_pulls(struct eb_claim_slot *sl)
{
	while (sl->pull_count)
		free(sl->pulls[--sl->pull_count].name);
	free(sl->pulls);
	sl->pulls = NULL;
}

/* Frees what a slot owns. */
void eb_claim_slot_clear(struct eb_claim_slot *sl)
{
	drop_requirements(sl);
	drop_pulls(sl);
	eb_claim_set_clear(&sl->set);
}

/* Returns EB_EFULL at EB_CLAIM_REQUIREMENTS_MAX, or EB_ENOMEM. */
static enum eb_status require(struct eb_claim_slot *sl,
			      const struct eb_claim_set *set, int full,
			      int self)
{
	struct eb_claim_requirement *rq;

	if (sl->requirement_count == EB_CLAIM_REQUIREMENTS_MAX)
		return EB_EFULL;
	rq = &sl->requirements[sl->requirement_count];
	if (eb_claim_set_copy(&rq->set, set))
		return EB_ENOMEM;
	rq->full = (uint8_t)full;
	rq->self = (uint8_t)self;
	sl->requirement_count++;
	return EB_OK;
}

/* Adds copies from the members of a set that have none yet. */
static enum eb_status add_pulls(struct eb_claim_slot *sl,
				const struct eb_claim_set *set, uint64_t self)
{
	struct eb_claim_pull *pl;
	uint32_t i;

	for (i = 0; i < set->count; i++) {
		if (set->member[i] == self ||
		    eb_claim_slot_pull(sl, set->member[i]))
			continue;
		pl = &sl->pulls[sl->pull_count];
		memset(pl, 0, sizeof(*pl));
		pl->member = set->member[i];
		pl->name = strdup(set->name[i]);
		if (!pl->name)
			return EB_ENOMEM;
		sl->pull_count++;
	}
	return EB_OK;
}

/* Sets up one copy for each other member of the required sets. */
static enum eb_status make_pulls(struct eb_claim_slot *sl, uint64_t self)
{
	uint32_t i;

	drop_pulls(sl);
	if (!sl->requirement_count)
		return EB_OK;
	sl->pulls = calloc(EB_CLAIM_PULLS_MAX, sizeof(*sl->pulls));
	if (!sl->pulls)
		return EB_ENOMEM;
	for (i = 0; i < sl->requirement_count; i++)
		if (add_pulls(sl, &sl->requirements[i].set, self))
			return EB_ENOMEM;
	return EB_OK;
}

/*
 * Sets the holders of a slot that has lost its claims: after the start of the
 * process, or after a long pause. Another incarnation may have granted in the
 * set, so the slot copies first. Returns EB_ENOMEM, and the slot must not be
 * used then.
 */
enum eb_status eb_claim_slot_start(struct eb_claim_slot *sl,
				   const struct eb_claim_set *set,
				   const struct eb_claim_slot_change *cg)
{
	struct eb_claim_set copy;

	if (eb_claim_set_copy(&copy, set))
		return EB_ENOMEM;
	eb_claim_set_clear(&sl->set);
	sl->set = copy;
	sl->member = eb_claim_set_find(&copy, cg->self) != EB_NONE;
	sl->granting = 0;
	sl->fresh = sl->member;
	drop_requirements(sl);
	sl->seen_count = 0;
	if (!sl->member)
		return make_pulls(sl, cg->self);
	eb_claim_slot_raise_generation(sl, 0, cg->tag);
	sl->open_at_us = cg->open_after_restart_us;
	if (require(sl, &copy, 1, 0))
		return EB_ENOMEM;
	return make_pulls(sl, cg->self);
}

/* Adds the current set to the earlier ones, in place of the oldest if full. */
static void save_set(struct eb_claim_slot *sl)
{
	struct eb_claim_past_set *sn;
	uint32_t i;

	for (i = 0; i < sl->seen_count; i++)
		if (sl->seen[i].id == sl->set.id)
			break;
	if (i == EB_CLAIM_PAST_SETS_MAX) {
		memmove(&sl->seen[0], &sl->seen[1],
			sizeof(sl->seen) - sizeof(sl->seen[0]));
		i--;
	} else if (i == sl->seen_count) {
		sl->seen_count++;
	}
	sn = &sl->seen[i];
	sn->id = sl->set.id;
	sn->granting = sl->granting;
	sn->grants_complete = !sl->fresh;
}

/* Tells whether the slot lost grants while this set was current before. */
static int lost_grants(const struct eb_claim_slot *sl, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < sl->seen_count; i++)
		if (sl->seen[i].id == id)
			return !sl->seen[i].grants_complete;
	return 0;
}

/*
 * Changes the requirements of the current set to those of the next one, in
 * which this daemon is a `member` or not.
 */
static enum eb_status next_requirements(struct eb_claim_slot *sl, int member)
{
	struct eb_claim_set *old = &sl->set;

	if (sl->granting) {
		drop_requirements(sl);
		return member ? require(sl, old, 0, 1) : EB_OK;
	}
	if (sl->requirement_count && sl->member && !sl->fresh)
		return require(sl, old, 0, 1);
	if (sl->requirement_count && !member)
		return EB_OK;
	drop_requirements(sl);
	return member ? require(sl, old, 1, 0) : EB_OK;
}

/*
 * Changes the holders of a slot. `dropped` counts the changes that exceed
 * EB_CLAIM_REQUIREMENTS_MAX required sets: the slot then requires a full copy
 * of the previous set instead. Returns EB_ENOMEM, and the slot must not be used
 * then.
 */
enum eb_status eb_claim_slot_move(struct eb_claim_slot *sl,
				  const struct eb_claim_set *set,
				  const struct eb_claim_slot_change *cg,
				  uint64_t *dropped)
{
	int member = eb_claim_set_find(set, cg->self) != EB_NONE;
	struct eb_claim_set copy;
	enum eb_status st;

	save_set(sl);
	st = next_requirements(sl, member);
	/*
	 * An earlier incarnation may have granted in the new set if the set
	 * was current before: the other members must receive this daemon's
	 * generation, which the request for a copy carries.
	 */
	if (!st && member && cg->within_retention)
		st = require(sl, set, 0, 0);
	if (st == EB_EFULL) {
		++*dropped;
		drop_requirements(sl);
		st = require(sl, &sl->set, 1, 0);
	}
	if (st || eb_claim_set_copy(&copy, set))
		return EB_ENOMEM;
	eb_claim_set_clear(&sl->set);
	sl->set = copy;
	sl->member = (uint8_t)member;
	sl->granting = 0;
	sl->fresh = member && lost_grants(sl, copy.id);
	if (cg->within_retention && member && !sl->generation)
		eb_claim_slot_raise_generation(sl, 0, cg->tag);
	sl->open_at_us = cg->open_after_change_us;
	return make_pulls(sl, cg->self);
}

/* Raises the generation above its current value and above `above`. */
void eb_claim_slot_raise_generation(struct eb_claim_slot *sl, uint64_t above,
				    uint32_t tag)
{
	if (above < sl->generation)
		above = sl->generation;
	sl->generation = ((above >> 32) + 1) << 32 | tag;
}

/* Starts all copies again, after the generation was raised. */
void eb_claim_slot_restart_pulls(struct eb_claim_slot *sl)
{
	struct eb_claim_pull *pl;
	uint32_t i;

	for (i = 0; i < sl->pull_count; i++) {
		pl = &sl->pulls[i];
		memset(pl->cursor, 0, sizeof(pl->cursor));
		pl->started = 0;
		pl->done = 0;
		pl->tries = 0;
		pl->next_us = 0;
	}
}

/* Returns the copy from a daemon, or NULL. */
struct eb_claim_pull *eb_claim_slot_pull(struct eb_claim_slot *sl,
					 uint64_t member)
{
	uint32_t i;

	for (i = 0; i < sl->pull_count; i++)
		if (sl->pulls[i].member == member)
			return &sl->pulls[i];
	return NULL;
}

/*
 * Tells whether requirement `bit` is met: enough members of its set have sent
 * complete copies that every majority includes one of them.
 */
static int covered(const struct eb_claim_slot *sl, uint32_t bit, uint64_t self)
{
	const struct eb_claim_requirement *rq = &sl->requirements[bit];
	const struct eb_claim_pull *pl;
	uint32_t have = 0, i;

	if (rq->self && eb_claim_set_find(&rq->set, self) != EB_NONE)
		have++;
	for (i = 0; i < sl->pull_count; i++) {
		pl = &sl->pulls[i];
		if (pl->done &&
		    ((rq->full ? pl->full : pl->full | pl->seen) >> bit & 1) &&
		    eb_claim_set_find(&rq->set, pl->member) != EB_NONE)
			have++;
	}
	return have >= eb_claim_set_read_quorum(&rq->set);
}

/* Tells whether the copies received contain all earlier claims. */
int eb_claim_slot_satisfied(const struct eb_claim_slot *sl, uint64_t self)
{
	uint32_t i;

	for (i = 0; i < sl->requirement_count && i < EB_CLAIM_REQUIREMENTS_MAX;
	     i++)
		if (!covered(sl, i, self))
			return 0;
	return 1;
}

/*
 * Makes a slot grant. `copied`: the copies are complete and end. Otherwise
 * they go on, because their requests carry the generation to the other holders.
 */
void eb_claim_slot_open(struct eb_claim_slot *sl, int copied)
{
	if (copied) {
		drop_requirements(sl);
		drop_pulls(sl);
	}
	sl->granting = 1;
	sl->fresh = 0;
}

/*
 * Writes masks of the required sets in `ask` for which this daemon has all
 * claims that it granted in the set (`seen`), and all earlier claims (`full`).
 */
void eb_claim_slot_coverage(const struct eb_claim_slot *sl,
			    const struct eb_claim_message *ask, uint8_t *seen,
			    uint8_t *full)
{
	uint32_t i, k;
	uint64_t id;

	*seen = 0;
	*full = 0;
	for (i = 0; i < ask->required; i++) {
		id = ask->required_ids[i];
		if (sl->granting)
			*full |= (uint8_t)(1u << i);
		if (id == sl->set.id && sl->member && !sl->fresh)
			*seen |= (uint8_t)(1u << i);
		for (k = 0; k < sl->seen_count; k++) {
			if (sl->seen[k].id != id || id == sl->set.id)
				continue;
			if (sl->seen[k].granting)
				*full |= (uint8_t)(1u << i);
			if (sl->seen[k].grants_complete)
				*seen |= (uint8_t)(1u << i);
		}
	}
}

/*
 * Returns the record of another holder's generation. A new record replaces
 * that of a daemon outside the current set once there are
 * EB_CLAIM_GENERATIONS_MAX.
 */
struct eb_claim_generation *
eb_claim_slot_known_generation(struct eb_claim_slot *sl, uint64_t member)
{
	uint32_t i;

	for (i = 0; i < sl->known_count; i++)
		if (sl->known[i].member == member)
			return &sl->known[i];
	if (sl->known_count < EB_CLAIM_GENERATIONS_MAX)
		i = sl->known_count++;
	else
		for (i = 0; i < EB_CLAIM_GENERATIONS_MAX - 1; i++)
			if (eb_claim_set_find(&sl->set, sl->known[i].member) ==
			    EB_NONE)
				break;
	memset(&sl->known[i], 0, sizeof(sl->known[i]));
	sl->known[i].member = member;
	return &sl->known[i];
}

/* Writes the known generations of all members of the current set. */
void eb_claim_slot_generations(const struct eb_claim_slot *sl, uint64_t self,
			       struct eb_claim_message *m)
{
	uint32_t i, k;

	m->members = (uint8_t)sl->set.count;
	for (i = 0; i < sl->set.count; i++) {
		m->generations[i] = 0;
		if (sl->set.member[i] == self)
			m->generations[i] = sl->generation;
		for (k = 0; k < sl->known_count; k++)
			if (sl->known[k].member == sl->set.member[i] &&
			    sl->set.member[i] != self)
				m->generations[i] = sl->known[k].generation;
	}
}

/*
 * Merges the generations that another holder of the same set knows. Returns
 * the generation of this daemon there if it is newer than its own, or 0.
 */
uint64_t eb_claim_slot_merge_generations(struct eb_claim_slot *sl,
					 uint64_t self,
					 const struct eb_claim_message *m)
{
	struct eb_claim_generation *kn;
	uint64_t newer = 0;
	uint32_t i;

	for (i = 0; i < m->members && i < sl->set.count; i++) {
		if (sl->set.member[i] == self) {
			if (m->generations[i] > sl->generation)
				newer = m->generations[i];
			continue;
		}
		kn = eb_claim_slot_known_generation(sl, sl->set.member[i]);
		if (m->generations[i] > kn->generation)
			kn->generation = m->generations[i];
	}
	return newer;
}
