#include "eb_member.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_FIELDS 9
#define RECORD_FIELDS 6
/* The time since the last message of a group is sent as a byte of this unit. */
#define AGE_UNIT_US 250000
/* Members tried in one direction of a ring. */
#define RING_SKIP_MAX 16
#define LINK_REFRESH_US 5000000

struct message {
	uint32_t kind;
	struct eb_member_record from;
	uint64_t seq;
	uint64_t aux; /* PING_REQUEST: id of the target; SYNC: last id */
	uint64_t digest;
	const char *ages;
	uint32_t age_count;
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES]; /* PING only */
};

/*
 * Tells whether record `a` replaces record `b` of the same daemon. All daemons
 * keep the same record, in whatever order they receive the two.
 */
static int is_newer(const struct eb_member_record *a,
		    const struct eb_member_record *b)
{
	if (a->gen != b->gen)
		return a->gen > b->gen;
	if (a->boot != b->boot)
		return a->boot > b->boot;
	if (a->ref != b->ref)
		return a->ref > b->ref;
	return a->state > b->state;
}

/* Returns the index of the first entry whose id is not below `id`. */
static uint32_t lower_bound(const struct eb_member *mb, uint64_t id)
{
	uint32_t lo = 0, hi = mb->count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (mb->entries[mid].rec.id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns the entry of the daemon with this id, or NULL. */
static struct eb_member_entry *find(const struct eb_member *mb, uint64_t id)
{
	uint32_t i = lower_bound(mb, id);

	return i < mb->count && mb->entries[i].rec.id == id ? &mb->entries[i]
							    : NULL;
}

/* Returns the entry of the member at an index of the roster, or NULL. */
static struct eb_member_entry *find_index(const struct eb_member *mb,
					  uint32_t index)
{
	return find(mb, mb->roster->members[index].id);
}

static uint64_t record_hash(const struct eb_member_record *r)
{
	uint64_t h = eb_gossip_mix(r->id, r->boot);

	return eb_gossip_mix(h, ((uint64_t)r->gen << 32) ^
					((uint64_t)r->ref << 2) ^ r->state);
}

/*
 * Adds an entry to the counters and the digest over all entries, or removes
 * it when `sign` is -1.
 */
static void update_totals(struct eb_member *mb, const struct eb_member_entry *e,
			  int sign)
{
	mb->pending += e->sends_left ? sign : 0;
	mb->suspects += e->rec.state == EB_MEMBER_SUSPECT ? sign : 0;
	mb->alive_count += e->rec.state == EB_MEMBER_ALIVE ? sign : 0;
	if (e->rec.state >= EB_MEMBER_DOWN)
		mb->down_digest ^= record_hash(&e->rec);
}

static void remove_at(struct eb_member *mb, uint32_t i)
{
	update_totals(mb, &mb->entries[i], -1);
	mb->count--;
	memmove(&mb->entries[i], &mb->entries[i + 1],
		(mb->count - i) * sizeof(*mb->entries));
}

/* Drops the member alive that changed longest ago and has no sends left. */
static void evict_alive(struct eb_member *mb)
{
	uint32_t i, oldest = EB_NONE;

	for (i = 0; i < mb->count; i++) {
		const struct eb_member_entry *e = &mb->entries[i];

		if (e->rec.state != EB_MEMBER_ALIVE || e->sends_left)
			continue;
		if (oldest == EB_NONE ||
		    e->since_us < mb->entries[oldest].since_us)
			oldest = i;
	}
	if (oldest != EB_NONE)
		remove_at(mb, oldest);
}

/* Returns a new entry with an empty record, or NULL at a limit. */
static struct eb_member_entry *insert(struct eb_member *mb, uint64_t id,
				      uint32_t index)
{
	struct eb_member_entry *e;
	uint32_t i;

	if (mb->alive_count >= EB_MEMBER_ALIVE_ENTRIES_MAX ||
	    mb->count >= EB_MEMBER_ENTRIES_MAX)
		evict_alive(mb);
	if (mb->count >= EB_MEMBER_ENTRIES_MAX) {
		mb->stats.full++;
		return NULL;
	}
	if (mb->count == mb->capacity) {
		uint32_t cap = mb->capacity ? 2 * mb->capacity : 16;

		e = realloc(mb->entries, cap * sizeof(*e));
		if (!e) {
			mb->stats.full++;
			return NULL;
		}
		mb->entries = e;
		mb->capacity = cap;
	}
	i = lower_bound(mb, id);
	memmove(&mb->entries[i + 1], &mb->entries[i],
		(mb->count - i) * sizeof(*mb->entries));
	mb->count++;
	e = &mb->entries[i];
	memset(e, 0, sizeof(*e));
	e->rec.id = id;
	e->index = index;
	update_totals(mb, e, 1);
	return e;
}

/*
 * Makes the membership state of this daemon, without a roster. `boot` is a
 * random number of this process, not 0. Returns NULL when the address is too
 * long or memory runs out.
 */
struct eb_member *eb_member_new(const char *address, uint64_t boot,
				uint64_t seed, struct eb_sink *sink,
				uint32_t test_off)
{
	struct eb_member *mb;

	assert(boot);
	if (strlen(address) >= EB_GOSSIP_ADDRESS_MAX_BYTES)
		return NULL;
	mb = calloc(1, sizeof(*mb));
	if (!mb)
		return NULL;
	memcpy(mb->address, address, strlen(address) + 1);
	mb->self_rec.id = eb_roster_id(address);
	mb->self_rec.boot = boot;
	mb->self = EB_NONE;
	mb->sink = sink;
	mb->test_off = test_off;
	mb->last_tick_us = INT64_MIN;
	eb_rand_seed(&mb->rand, seed);
	return mb;
}

/* Frees the module and its reference to the roster; NULL is allowed. */
void eb_member_free(struct eb_member *mb)
{
	if (!mb)
		return;
	eb_roster_unref(mb->roster);
	free(mb->entries);
	free(mb->heard_us);
	free(mb);
}

/*
 * Renumbers the members in probes and links for the roster `ro`, and drops
 * those whose member it does not have.
 */
static void remap(struct eb_member *mb, const struct eb_roster *ro)
{
	const struct eb_roster_member *old = mb->roster->members;
	uint32_t i, n = 0;

	for (i = 0; i < EB_MEMBER_PROBES_MAX; i++) {
		struct eb_member_probe *p = &mb->probes[i];

		if (!p->active)
			continue;
		p->target = eb_roster_find(ro, old[p->target].id);
		if (p->target == EB_NONE)
			p->active = 0;
		if (p->asker == EB_NONE)
			continue;
		p->asker = eb_roster_find(ro, old[p->asker].id);
		if (p->asker == EB_NONE)
			p->active = 0;
	}
	for (i = 0; i < mb->link_count; i++) {
		struct eb_member_link l = mb->links[i];

		l.member = eb_roster_find(ro, old[l.member].id);
		if (l.member != EB_NONE)
			mb->links[n++] = l;
	}
	mb->link_count = n;
}

/*
 * Takes a reference to a new roster. Records of daemons that are in it are
 * kept, other records dropped. Returns EB_ENOMEM and keeps the old roster when
 * memory runs out.
 */
enum eb_status eb_member_set_roster(struct eb_member *mb, struct eb_roster *ro,
				    int64_t now_us)
{
	int64_t *heard = calloc(ro->group_count + 1, sizeof(*heard));
	uint32_t i, g;

	if (!heard)
		return EB_ENOMEM;
	/* Groups count as reachable for EB_MEMBER_GROUP_TIMEOUT_US. */
	for (g = 0; g < ro->group_count; g++)
		heard[g] = now_us;
	if (mb->roster && mb->roster->group_count == ro->group_count)
		memcpy(heard, mb->heard_us, ro->group_count * sizeof(*heard));
	free(mb->heard_us);
	mb->heard_us = heard;
	if (mb->roster)
		remap(mb, ro);
	eb_roster_ref(ro);
	eb_roster_unref(mb->roster);
	mb->roster = ro;
	mb->self = eb_roster_find(ro, mb->self_rec.id);
	for (i = mb->count; i--;) {
		struct eb_member_entry *e = &mb->entries[i];

		e->index = eb_roster_find(ro, e->rec.id);
		if (e->index == EB_NONE)
			remove_at(mb, i);
	}
	mb->links_stale = 1;
	mb->epoch++;
	return EB_OK;
}

/* Returns the group of this daemon; EB_NONE when it is not in the roster. */
static uint32_t own_group(const struct eb_member *mb)
{
	return mb->self == EB_NONE ? EB_NONE
				   : mb->roster->members[mb->self].group;
}

/* Tells whether a member is in the group of this daemon. */
static int same_group(const struct eb_member *mb, uint32_t index)
{
	return mb->self != EB_NONE &&
	       mb->roster->members[index].group == own_group(mb);
}

/* Reports the state of a member as EB_ACTION_MEMBER. */
static void report(struct eb_member *mb, const struct eb_member_entry *e)
{
	struct eb_action act = { .type = EB_ACTION_MEMBER };

	act.member = e->index;
	act.state = e->rec.state;
	act.boot = e->rec.boot;
	act.address = mb->roster->members[e->index].address;
	mb->epoch++;
	mb->sink->act(mb->sink, &act);
}

/* Adds an accuser that is not known yet; the record is then sent again. */
static void add_accuser(struct eb_member_entry *e, uint32_t by)
{
	uint32_t i;

	for (i = 0; i < e->by_count; i++)
		if (e->by[i] == by)
			return;
	if (e->by_count == EB_MEMBER_ACCUSERS_MAX)
		return;
	e->by[e->by_count++] = by;
	e->rec.by = by;
	e->sends_left = EB_MEMBER_SENDS_MAX;
}

/* Replaces the record of an entry; reports a new state or process. */
static void replace_record(struct eb_member *mb, struct eb_member_entry *e,
			   const struct eb_member_record *r, int64_t now_us)
{
	uint8_t old = e->rec.state;
	int restarted = e->rec.boot != r->boot;

	update_totals(mb, e, -1);
	e->rec = *r;
	e->since_us = now_us;
	e->by_count = 0;
	if (r->state != EB_MEMBER_ALIVE || old != EB_MEMBER_ALIVE)
		e->sends_left = EB_MEMBER_SENDS_MAX;
	/* Other groups that received it as down need all later changes. */
	e->other_groups |= r->state >= EB_MEMBER_DOWN;
	if (r->state == EB_MEMBER_SUSPECT)
		add_accuser(e, r->by);
	update_totals(mb, e, 1);
	if (r->state == EB_MEMBER_SUSPECT)
		mb->stats.suspected++;
	if (r->state == EB_MEMBER_DOWN)
		mb->stats.downs++;
	if (old != r->state &&
	    (old >= EB_MEMBER_DOWN || r->state >= EB_MEMBER_DOWN))
		mb->links_stale = 1;
	if (old != r->state || restarted)
		report(mb, e);
}

/*
 * Handles a record about this daemon. Refutes a suspicion; with a record of
 * another process at this address, takes a newer generation or is superseded.
 */
static void handle_own_record(struct eb_member *mb,
			      const struct eb_member_record *r, int64_t now_us)
{
	struct eb_action act = { .type = EB_ACTION_SUPERSEDED };
	struct eb_member_record *me = &mb->self_rec;

	if (!is_newer(r, me) || mb->left ||
	    (mb->test_off & EB_MEMBER_OFF_REFUTE))
		return;
	mb->self_sends = EB_MEMBER_SENDS_MAX;
	if (r->boot == me->boot) {
		me->ref = r->ref + 1;
		mb->stats.refuted++;
		if (mb->health < EB_MEMBER_HEALTH_MAX)
			mb->health++;
		return;
	}
	if (mb->joined_us &&
	    now_us - mb->joined_us > EB_MEMBER_SUPERSEDED_AFTER_US) {
		if (!mb->superseded)
			mb->sink->act(mb->sink, &act);
		mb->superseded = 1;
		return;
	}
	me->gen = r->gen + 1;
	me->ref = 0;
}

/* Merges a record that was received or made here. */
static void merge_record(struct eb_member *mb, const struct eb_member_record *r,
			 int64_t now_us)
{
	struct eb_member_entry *e;
	uint32_t index;

	if (r->id == mb->self_rec.id) {
		handle_own_record(mb, r, now_us);
		return;
	}
	index = mb->roster ? eb_roster_find(mb->roster, r->id) : EB_NONE;
	if (index == EB_NONE) {
		mb->stats.unknown++;
		return;
	}
	if (r->state == EB_MEMBER_SUSPECT && !same_group(mb, index))
		return;
	e = find(mb, r->id);
	if (!e)
		e = insert(mb, r->id, index);
	if (!e)
		return;
	if (is_newer(r, &e->rec)) {
		replace_record(mb, e, r, now_us);
	} else if (r->state == EB_MEMBER_SUSPECT && !is_newer(&e->rec, r)) {
		update_totals(mb, e, -1);
		add_accuser(e, r->by);
		update_totals(mb, e, 1);
	}
}

static void pack_record(msgpack_packer *pk, const struct eb_member_record *r)
{
	msgpack_pack_uint64(pk, r->id);
	msgpack_pack_uint64(pk, r->boot);
	msgpack_pack_uint32(pk, r->gen);
	msgpack_pack_uint32(pk, r->ref);
	msgpack_pack_uint8(pk, r->state);
	msgpack_pack_uint32(pk, r->by);
}

/*
 * Chooses the records to piggyback on a message to `to` and counts them as
 * sent. The record of the receiver comes first when it is not alive or
 * `contested`, so that the receiver can refute it.
 */
static uint32_t choose_records(struct eb_member *mb, uint32_t to, int contested,
			       const struct eb_member_record **out)
{
	const struct eb_member_entry *receiver = find_index(mb, to);
	int in_group = same_group(mb, to);
	uint32_t n = 0, seen;

	if (receiver && (contested || receiver->rec.state != EB_MEMBER_ALIVE))
		out[n++] = &receiver->rec;
	for (seen = 0;
	     mb->pending && seen < mb->count && n < EB_MEMBER_PIGGYBACK_MAX;
	     seen++) {
		struct eb_member_entry *e;

		mb->cursor = mb->cursor + 1 < mb->count ? mb->cursor + 1 : 0;
		e = &mb->entries[mb->cursor];
		if (!e->sends_left || e == receiver ||
		    (!in_group &&
		     (!e->other_groups || e->rec.state == EB_MEMBER_SUSPECT)))
			continue;
		out[n++] = &e->rec;
		if (!--e->sends_left)
			mb->pending--;
	}
	return n;
}

/* Packs the ages of all groups for a member of the own group, else none. */
static void pack_ages(struct eb_member *mb, msgpack_packer *pk, int in_group,
		      int64_t now_us)
{
	uint8_t ages[EB_ROSTER_GROUPS_MAX];
	uint32_t i, n = in_group ? mb->roster->group_count : 0;

	for (i = 0; i < n; i++) {
		int64_t age = (now_us - mb->heard_us[i]) / AGE_UNIT_US;

		ages[i] = (uint8_t)(age > UINT8_MAX ? UINT8_MAX : age);
	}
	eb_gossip_pack_bin(pk, ages, n);
}

/*
 * A PING has the address of its sender, so that a starting daemon can answer
 * before it has a roster.
 */
static void pack_header(struct eb_member *mb, msgpack_packer *pk, uint32_t kind,
			uint64_t seq, uint64_t aux, int in_group,
			int64_t now_us)
{
	msgpack_pack_uint64(pk, mb->self_rec.id);
	msgpack_pack_uint64(pk, mb->self_rec.boot);
	msgpack_pack_uint32(pk, mb->self_rec.gen);
	msgpack_pack_uint32(pk, mb->self_rec.ref);
	msgpack_pack_uint64(pk, seq);
	msgpack_pack_uint64(pk, aux);
	msgpack_pack_uint64(pk, mb->down_digest);
	pack_ages(mb, pk, in_group, now_us);
	eb_gossip_pack_address(pk, kind == EB_GOSSIP_PING ? mb->address : NULL);
}

/* Answers a PING from outside the roster, or while there is no roster. */
static void answer_unknown_sender(struct eb_member *mb, const struct message *m,
				  int64_t now_us)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	if (m->kind != EB_GOSSIP_PING || !m->address[0] || mb->left ||
	    mb->superseded)
		return;
	eb_gossip_begin(&pk, &sb, EB_GOSSIP_ACK, HEADER_FIELDS);
	pack_header(mb, &pk, EB_GOSSIP_ACK, m->seq, 0, 0, now_us);
	mb->stats.sent++;
	eb_gossip_send(mb->sink, m->address, &sb);
}

/* Sends a message with piggybacked records, unless superseded. */
static void send_kind(struct eb_member *mb, uint32_t kind, uint32_t to,
		      uint64_t seq, uint64_t aux, int contested, int64_t now_us)
{
	const struct eb_member_record *recs[EB_MEMBER_PIGGYBACK_MAX + 1];
	msgpack_sbuffer sb;
	msgpack_packer pk;
	uint32_t i, n;

	if (mb->superseded)
		return;
	n = choose_records(mb, to, contested, recs);
	if (mb->self_sends) {
		mb->self_sends--;
		recs[n++] = &mb->self_rec;
	}
	eb_gossip_begin(&pk, &sb, kind, HEADER_FIELDS + n * RECORD_FIELDS);
	pack_header(mb, &pk, kind, seq, aux, same_group(mb, to), now_us);
	for (i = 0; i < n; i++)
		pack_record(&pk, recs[i]);
	mb->stats.sent++;
	eb_gossip_send(mb->sink, mb->roster->members[to].address, &sb);
}

/* Returns an unused probe; NULL, and counts it, when all are active. */
static struct eb_member_probe *find_free_probe(struct eb_member *mb)
{
	uint32_t i;

	for (i = 0; i < EB_MEMBER_PROBES_MAX; i++)
		if (!mb->probes[i].active)
			return &mb->probes[i];
	mb->stats.full++;
	return NULL;
}

/*
 * Sends a PING to `target`, for this daemon or for `asker`. A raised `health`
 * extends the timeout.
 */
static void start_probe(struct eb_member *mb, uint32_t target, uint32_t asker,
			uint32_t asker_seq, int64_t now_us)
{
	struct eb_member_probe *p = find_free_probe(mb);

	if (!p)
		return;
	memset(p, 0, sizeof(*p));
	p->seq = ++mb->seq;
	p->target = target;
	p->asker = asker;
	p->asker_seq = asker_seq;
	p->sent_us = now_us;
	p->deadline_us =
		now_us + EB_MEMBER_DIRECT_TIMEOUT_US * (2 + mb->health) / 2;
	p->active = 1;
	send_kind(mb, EB_GOSSIP_PING, target, p->seq, 0, 0, now_us);
}

static int is_down(const struct eb_member *mb, uint32_t index)
{
	const struct eb_member_entry *e = find_index(mb, index);

	return e && e->rec.state >= EB_MEMBER_DOWN;
}

/*
 * Returns the nearest member not believed down in a direction of a ring, or
 * EB_NONE when RING_SKIP_MAX members are down or the ring has no other.
 */
static uint32_t ring_next(const struct eb_member *mb, uint32_t ring,
			  int32_t step)
{
	int32_t i;

	for (i = 1; i <= RING_SKIP_MAX; i++) {
		uint32_t m = eb_roster_neighbour(mb->roster, ring, mb->self,
						 i * step);

		if (m == mb->self)
			return EB_NONE;
		if (!is_down(mb, m))
			return m;
	}
	return EB_NONE;
}

/*
 * Writes the distinct neighbours in all rings that are not believed down to
 * `out`, at most EB_ROSTER_NEIGHBOURS. Returns their number.
 */
uint32_t eb_member_neighbours(const struct eb_member *mb, uint32_t *out)
{
	uint32_t ring, n = 0, i;
	int32_t step;

	if (mb->self == EB_NONE)
		return 0;
	for (step = 1; step >= -1; step -= 2) {
		for (ring = 0; ring < EB_ROSTER_RINGS; ring++) {
			uint32_t m = ring_next(mb, ring, step);

			for (i = 0; i < n && out[i] != m; i++)
				;
			if (m != EB_NONE && i == n)
				out[n++] = m;
		}
	}
	return n;
}

/* Writes the first `ranks` candidates not believed down; returns how many. */
static uint32_t up_candidates(const struct eb_member *mb, const uint32_t *from,
			      uint32_t ranks, uint32_t *out)
{
	uint32_t i, n = 0;

	for (i = 0; i < EB_ROSTER_CANDIDATES && n < ranks; i++)
		if (from[i] != EB_NONE && !is_down(mb, from[i]))
			out[n++] = from[i];
	return n;
}

/*
 * If this daemon is among the first `ranks` candidates in `mine`, returns the
 * daemon of the same rank in `theirs` and sets `rank`; otherwise EB_NONE.
 */
uint32_t eb_member_link_target(const struct eb_member *mb, const uint32_t *mine,
			       const uint32_t *theirs, uint32_t ranks,
			       uint32_t *rank)
{
	uint32_t a[EB_ROSTER_CANDIDATES], b[EB_ROSTER_CANDIDATES];
	uint32_t i, n = up_candidates(mb, mine, ranks, a);
	uint32_t m = up_candidates(mb, theirs, ranks, b);

	for (i = 0; i < n && m; i++) {
		if (a[i] == mb->self) {
			*rank = i;
			return b[i % m];
		}
	}
	return EB_NONE;
}

/* Adds a link; one that was in `old` keeps its probe time if earlier. */
static void add_link(struct eb_member *mb, const struct eb_member_link *old,
		     uint32_t old_count, uint32_t member, uint32_t cross,
		     int64_t now_us)
{
	struct eb_member_link *l;
	uint32_t i;
	uint32_t period =
		cross ? EB_MEMBER_CROSS_PERIOD_US : EB_MEMBER_PROBE_PERIOD_US;

	for (i = 0; i < mb->link_count; i++)
		if (mb->links[i].member == member)
			return;
	if (mb->link_count == EB_MEMBER_LINKS_MAX) {
		mb->stats.full++;
		return;
	}
	l = &mb->links[mb->link_count++];
	memset(l, 0, sizeof(*l));
	l->member = member;
	l->group = mb->roster->members[member].group;
	l->cross = (uint8_t)cross;
	l->due_us = now_us + eb_rand_below(&mb->rand, period);
	for (i = 0; i < old_count; i++)
		if (old[i].member == member && old[i].due_us < l->due_us)
			l->due_us = old[i].due_us;
}

/*
 * Chooses the members to probe: the successor in each ring, and for each other
 * group the partner if this daemon links to it.
 */
static void refresh_links(struct eb_member *mb, int64_t now_us)
{
	struct eb_member_link old[EB_MEMBER_LINKS_MAX];
	const struct eb_roster *ro = mb->roster;
	uint32_t n = mb->link_count, i, g, rank, own = own_group(mb);

	memcpy(old, mb->links, n * sizeof(*old));
	mb->link_count = 0;
	mb->links_stale = 0;
	mb->refresh_us = now_us + LINK_REFRESH_US;
	for (i = 0; i < EB_ROSTER_RINGS; i++) {
		uint32_t m = ring_next(mb, i, 1);

		if (m != EB_NONE)
			add_link(mb, old, n, m, 0, now_us);
	}
	for (g = 0; g < ro->group_count; g++) {
		uint32_t m;

		if (g == own)
			continue;
		m = eb_member_link_target(mb, eb_roster_group_link(ro, own, g),
					  eb_roster_group_link(ro, g, own),
					  EB_MEMBER_CROSS_LINKS, &rank);
		if (m != EB_NONE)
			add_link(mb, old, n, m, 1, now_us);
	}
}

/* Tells whether this daemon may be cut off and cannot judge others. */
static int isolated(const struct eb_member *mb, int64_t now_us)
{
	return !(mb->test_off & EB_MEMBER_OFF_ISOLATED) &&
	       now_us - mb->last_answer_us > EB_MEMBER_ISOLATED_US;
}

/* Makes this daemon an accuser of `target`, unless that is down or left. */
static void suspect(struct eb_member *mb, uint32_t target, int64_t now_us)
{
	struct eb_member_entry *e = find_index(mb, target);
	struct eb_member_record r = { 0 };

	if (e)
		r = e->rec;
	if (r.state >= EB_MEMBER_DOWN)
		return;
	r.id = mb->roster->members[target].id;
	r.by = (uint32_t)mb->self_rec.id;
	r.state = mb->test_off & EB_MEMBER_OFF_SUSPICION ? EB_MEMBER_DOWN
							 : EB_MEMBER_SUSPECT;
	merge_record(mb, &r, now_us);
}

/* Asks helpers to probe the target of a probe that got no answer. */
static void ask_helpers(struct eb_member *mb, struct eb_member_probe *p,
			int64_t now_us)
{
	uint32_t near[EB_ROSTER_NEIGHBOURS];
	uint32_t n = eb_member_neighbours(mb, near), asked = 0;
	uint64_t id = mb->roster->members[p->target].id;

	p->helpers_asked = 1;
	p->deadline_us =
		now_us + EB_MEMBER_INDIRECT_TIMEOUT_US * (2 + mb->health) / 2;
	if (mb->test_off & EB_MEMBER_OFF_INDIRECT)
		return;
	while (n && asked < EB_MEMBER_HELPERS) {
		uint32_t i = eb_rand_below(&mb->rand, n), m = near[i];

		near[i] = near[--n];
		if (m == p->target)
			continue;
		asked++;
		send_kind(mb, EB_GOSSIP_PING_REQUEST, m, p->seq, id, 0, now_us);
	}
}

/* Sets or clears the failure mark of the link to a member. */
static void mark_link(struct eb_member *mb, uint32_t member, int failed)
{
	uint32_t i;

	for (i = 0; i < mb->link_count; i++)
		if (mb->links[i].member == member)
			mb->links[i].failed = (uint8_t)failed;
}

/* Handles a probe without an answer before its deadline. */
static void probe_expired(struct eb_member *mb, struct eb_member_probe *p,
			  int64_t now_us)
{
	if (p->asker != EB_NONE) {
		p->active = 0;
		send_kind(mb, EB_GOSSIP_NACK, p->asker, p->asker_seq, 0, 0,
			  now_us);
		return;
	}
	if (!p->helpers_asked) {
		ask_helpers(mb, p, now_us);
		return;
	}
	p->active = 0;
	mb->stats.probes_failed++;
	mark_link(mb, p->target, 1);
	if (mb->health < EB_MEMBER_HEALTH_MAX && !p->nacks)
		mb->health++;
	/*
	 * Only members of its group suspect a daemon. Without an answer from
	 * any member since the probe began, this daemon may be cut off.
	 */
	if (!same_group(mb, p->target) || now_us < mb->grace_us ||
	    isolated(mb, now_us))
		return;
	if (mb->last_answer_us <= p->sent_us &&
	    !(mb->test_off & EB_MEMBER_OFF_ISOLATED))
		return;
	suspect(mb, p->target, now_us);
}

/* Returns how long a suspected daemon may refute, given its accusers. */
static int64_t suspicion_us(const struct eb_member *mb,
			    const struct eb_member_entry *e)
{
	int64_t span = EB_MEMBER_SUSPECT_MAX_US - EB_MEMBER_SUSPECT_MIN_US;
	int64_t more = e->by_count ? e->by_count - 1 : 0;

	span = EB_MEMBER_SUSPECT_MAX_US -
	       span * more / (EB_MEMBER_ACCUSERS_MAX - 1);
	return span * (4 + mb->health) / 4;
}

/* Declares down the members that did not refute a suspicion in time. */
static void expire_suspicions(struct eb_member *mb, int64_t now_us)
{
	uint32_t i;

	if (!mb->suspects || now_us < mb->grace_us || isolated(mb, now_us))
		return;
	for (i = 0; i < mb->count; i++) {
		struct eb_member_entry *e = &mb->entries[i];
		struct eb_member_record r = e->rec;

		if (r.state != EB_MEMBER_SUSPECT ||
		    now_us - e->since_us < suspicion_us(mb, e))
			continue;
		r.state = EB_MEMBER_DOWN;
		r.by = 0;
		replace_record(mb, e, &r, now_us);
	}
}

/*
 * Resets all timers after a pause of this process, so that no member is
 * suspected for answers that this process could not read meanwhile.
 */
static void reset_after_pause(struct eb_member *mb, int64_t now_us)
{
	uint32_t i;

	mb->stats.stalls++;
	memset(mb->probes, 0, sizeof(mb->probes));
	for (i = 0; i < mb->count; i++)
		if (mb->entries[i].rec.state == EB_MEMBER_SUSPECT)
			mb->entries[i].since_us = now_us;
	for (i = 0; i < mb->roster->group_count; i++)
		mb->heard_us[i] = now_us;
	mb->grace_us = now_us + EB_MEMBER_GRACE_US;
	mb->health = EB_MEMBER_HEALTH_MAX;
}

/* Sends the due probes over all links. */
static void probe_links(struct eb_member *mb, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < mb->link_count; i++) {
		struct eb_member_link *l = &mb->links[i];
		uint32_t target = l->member;

		if (now_us < l->due_us)
			continue;
		l->due_us += l->cross ? EB_MEMBER_CROSS_PERIOD_US
				      : EB_MEMBER_PROBE_PERIOD_US;
		if (l->due_us < now_us)
			l->due_us = now_us + EB_MEMBER_PROBE_PERIOD_US;
		if (l->cross && l->failed) {
			/* The partner may be down while its group is up. */
			const struct eb_roster_set *s =
				&mb->roster->groups[l->group];

			target = s->order[eb_rand_below(&mb->rand, s->count)];
			l->failed = 0;
		}
		start_probe(mb, target, EB_NONE, 0, now_us);
	}
}

/* Probes a random member of the own group that is believed down. */
static void probe_down_member(struct eb_member *mb, int64_t now_us)
{
	uint32_t i, n = 0, pick = EB_NONE;

	mb->down_probe_us = now_us + EB_MEMBER_DOWN_PROBE_PERIOD_US;
	if (mb->test_off & EB_MEMBER_OFF_DOWN_PROBE)
		return;
	for (i = 0; mb->down_digest && i < mb->count; i++) {
		const struct eb_member_entry *e = &mb->entries[i];

		if (e->rec.state != EB_MEMBER_DOWN || !same_group(mb, e->index))
			continue;
		if (!eb_rand_below(&mb->rand, ++n))
			pick = e->index;
	}
	if (pick != EB_NONE)
		start_probe(mb, pick, EB_NONE, 0, now_us);
}

/*
 * Sends the records of members down or left, at most EB_MEMBER_SYNC_MAX from
 * the sync cursor on.
 */
static void send_sync(struct eb_member *mb, uint32_t to, int64_t now_us)
{
	const struct eb_member_entry *recs[EB_MEMBER_SYNC_MAX];
	msgpack_sbuffer sb;
	msgpack_packer pk;
	uint32_t n = 0, i = mb->sync_cursor;
	uint64_t first, last = UINT64_MAX;

	mb->sync_us = now_us + EB_MEMBER_SYNC_PERIOD_US;

	mb->stats.syncs++;
	if (i >= mb->count)
		i = 0;
	first = i ? mb->entries[i].rec.id : 0;
	for (; i < mb->count && n < EB_MEMBER_SYNC_MAX; i++)
		if (mb->entries[i].rec.state >= EB_MEMBER_DOWN)
			recs[n++] = &mb->entries[i];
	if (i < mb->count)
		last = mb->entries[i].rec.id - 1;
	mb->sync_cursor = i < mb->count ? i : 0;
	eb_gossip_begin(&pk, &sb, EB_GOSSIP_SYNC,
			HEADER_FIELDS + n * RECORD_FIELDS);
	pack_header(mb, &pk, EB_GOSSIP_SYNC, first, last, 0, now_us);
	for (i = 0; i < n; i++)
		pack_record(&pk, &recs[i]->rec);
	mb->stats.sent++;
	eb_gossip_send(mb->sink, mb->roster->members[to].address, &sb);
}

/*
 * Sends due probes and handles timeouts of probes and suspicions. Call it at
 * least every 100 ms; a gap over EB_MEMBER_STALL_US counts as a pause.
 */
void eb_member_tick(struct eb_member *mb, int64_t now_us)
{
	uint32_t i;

	if (mb->left || mb->superseded || !mb->roster || mb->self == EB_NONE) {
		mb->last_tick_us = now_us;
		return;
	}
	if (mb->last_tick_us == INT64_MIN) {
		mb->last_answer_us = now_us;
		mb->down_probe_us = now_us + EB_MEMBER_DOWN_PROBE_PERIOD_US;
	} else if (now_us - mb->last_tick_us > EB_MEMBER_STALL_US &&
		   !(mb->test_off & EB_MEMBER_OFF_STALL)) {
		reset_after_pause(mb, now_us);
	}
	mb->last_tick_us = now_us;
	for (i = 0; i < EB_MEMBER_PROBES_MAX; i++)
		if (mb->probes[i].active && now_us >= mb->probes[i].deadline_us)
			probe_expired(mb, &mb->probes[i], now_us);
	expire_suspicions(mb, now_us);
	if (mb->links_stale || now_us >= mb->refresh_us)
		refresh_links(mb, now_us);
	probe_links(mb, now_us);
	if (now_us >= mb->down_probe_us)
		probe_down_member(mb, now_us);
}

/* Reads a record; returns nonzero when it is malformed. */
static int read_record(struct eb_gossip_reader *rd, struct eb_member_record *r)
{
	r->id = eb_gossip_uint(rd, UINT64_MAX);
	r->boot = eb_gossip_uint(rd, UINT64_MAX);
	/* Limited to INT32_MAX so that an increment does not overflow. */
	r->gen = (uint32_t)eb_gossip_uint(rd, INT32_MAX);
	r->ref = (uint32_t)eb_gossip_uint(rd, INT32_MAX);
	r->state = (uint8_t)eb_gossip_uint(rd, EB_MEMBER_LEFT);
	r->by = (uint32_t)eb_gossip_uint(rd, UINT32_MAX);
	return rd->bad;
}

/* Reads the fields before the records; returns nonzero when malformed. */
static int read_header(struct eb_gossip_reader *rd, struct message *m)
{
	m->from.id = eb_gossip_uint(rd, UINT64_MAX);
	m->from.boot = eb_gossip_uint(rd, UINT64_MAX);
	m->from.gen = (uint32_t)eb_gossip_uint(rd, INT32_MAX);
	m->from.ref = (uint32_t)eb_gossip_uint(rd, INT32_MAX);
	m->from.state = EB_MEMBER_ALIVE;
	m->from.by = 0;
	m->seq = eb_gossip_uint(rd, UINT64_MAX);
	m->aux = eb_gossip_uint(rd, UINT64_MAX);
	m->digest = eb_gossip_uint(rd, UINT64_MAX);
	m->ages = eb_gossip_bin(rd, EB_ROSTER_GROUPS_MAX, &m->age_count);
	eb_gossip_address(rd, m->address);
	return rd->bad || !m->from.id || !m->from.boot ||
	       eb_gossip_left(rd) % RECORD_FIELDS ||
	       eb_gossip_left(rd) / RECORD_FIELDS > EB_MEMBER_SYNC_MAX;
}

/* Merges the times since the last message from each group. */
static void merge_ages(struct eb_member *mb, const struct message *m,
		       int64_t now_us)
{
	uint32_t i;

	/* With another number of groups the rosters differ. */
	if (m->age_count != mb->roster->group_count)
		return;
	for (i = 0; i < m->age_count; i++) {
		uint8_t age = (uint8_t)m->ages[i];
		int64_t t = now_us - (age + 1) * (int64_t)AGE_UNIT_US;

		if (age != UINT8_MAX && t > mb->heard_us[i])
			mb->heard_us[i] = t;
	}
}

/* Handles an answer to a probe; forwards it to the daemon that asked. */
static void handle_ack(struct eb_member *mb, const struct message *m,
		       int64_t now_us)
{
	uint32_t i;

	if (!mb->joined_us)
		mb->joined_us = now_us;
	mb->last_answer_us = now_us;
	for (i = 0; i < EB_MEMBER_PROBES_MAX; i++) {
		struct eb_member_probe *p = &mb->probes[i];

		if (!p->active || p->seq != m->seq)
			continue;
		p->active = 0;
		if (p->asker != EB_NONE) {
			send_kind(mb, EB_GOSSIP_ACK, p->asker, p->asker_seq,
				  m->from.id, 0, now_us);
			return;
		}
		mark_link(mb, p->target, 0);
		if (mb->health)
			mb->health--;
		return;
	}
}

/*
 * Starts an exchange of records when EB_MEMBER_MISMATCHES consecutive answers
 * over a link had another digest and no record is waiting to be sent.
 */
static void compare_digest(struct eb_member *mb, const struct message *m,
			   uint32_t from, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < mb->link_count && mb->links[i].member != from; i++)
		;
	if (i == mb->link_count)
		return;
	if (m->digest == mb->down_digest || mb->pending) {
		mb->links[i].mismatches = 0;
		return;
	}
	if (++mb->links[i].mismatches < EB_MEMBER_MISMATCHES ||
	    now_us < mb->sync_us || (mb->test_off & EB_MEMBER_OFF_SYNC))
		return;
	mb->links[i].mismatches = 0;
	send_sync(mb, from, now_us);
}

/*
 * Answers a SYNC with the records of its range that are newer than the `n`
 * records `theirs`, sorted by id, or down or left and missing from them.
 */
static void answer_sync(struct eb_member *mb, const struct message *m,
			uint32_t to, const struct eb_member_record *theirs,
			uint32_t n, int64_t now_us)
{
	const struct eb_member_entry *recs[EB_MEMBER_SYNC_MAX];
	msgpack_sbuffer sb;
	msgpack_packer pk;
	uint32_t i, k = 0, j = 0;

	for (i = lower_bound(mb, m->seq);
	     i < mb->count && mb->entries[i].rec.id <= m->aux &&
	     k < EB_MEMBER_SYNC_MAX;
	     i++) {
		const struct eb_member_entry *e = &mb->entries[i];

		while (j < n && theirs[j].id < e->rec.id)
			j++;
		if (j < n && theirs[j].id == e->rec.id) {
			if (is_newer(&e->rec, &theirs[j]))
				recs[k++] = e;
		} else if (e->rec.state >= EB_MEMBER_DOWN) {
			recs[k++] = e;
		}
	}
	if (!k)
		return;
	eb_gossip_begin(&pk, &sb, EB_GOSSIP_SYNC,
			HEADER_FIELDS + k * RECORD_FIELDS);
	pack_header(mb, &pk, EB_GOSSIP_SYNC, 0, 0, 0, now_us);
	for (i = 0; i < k; i++)
		pack_record(&pk, &recs[i]->rec);
	mb->stats.sent++;
	eb_gossip_send(mb->sink, mb->roster->members[to].address, &sb);
}

/* Handles a message of the member `from` after its records were merged. */
static void dispatch(struct eb_member *mb, const struct message *m,
		     uint32_t from, const struct eb_member_record *recs,
		     uint32_t n, int64_t now_us)
{
	const struct eb_member_entry *e;
	uint32_t target;

	switch (m->kind) {
	case EB_GOSSIP_PING:
		e = find(mb, m->from.id);
		send_kind(mb, EB_GOSSIP_ACK, from, m->seq, 0,
			  e && is_newer(&e->rec, &m->from), now_us);
		break;
	case EB_GOSSIP_ACK:
		handle_ack(mb, m, now_us);
		compare_digest(mb, m, from, now_us);
		break;
	case EB_GOSSIP_PING_REQUEST:
		target = eb_roster_find(mb->roster, m->aux);
		if (target != EB_NONE && target != mb->self)
			start_probe(mb, target, from, (uint32_t)m->seq, now_us);
		break;
	case EB_GOSSIP_NACK:
		mb->last_answer_us = now_us;
		for (target = 0; target < EB_MEMBER_PROBES_MAX; target++)
			if (mb->probes[target].active &&
			    mb->probes[target].seq == m->seq)
				mb->probes[target].nacks++;
		break;
	default:
		if (m->aux)
			answer_sync(mb, m, from, recs, n, now_us);
		break;
	}
}

/* Handles a decoded payload. Returns the errors of eb_member_recv(). */
static enum eb_status recv_open(struct eb_member *mb,
				struct eb_gossip_reader *rd, struct message *m,
				int64_t now_us)
{
	struct eb_member_record recs[EB_MEMBER_SYNC_MAX];
	uint32_t from, n, i;

	if (m->kind > EB_GOSSIP_SYNC || read_header(rd, m))
		return EB_EPARSE;
	n = eb_gossip_left(rd) / RECORD_FIELDS;
	for (i = 0; i < n; i++)
		if (read_record(rd, &recs[i]))
			return EB_EPARSE;
	mb->stats.received++;
	from = mb->roster ? eb_roster_find(mb->roster, m->from.id) : EB_NONE;
	if (from == EB_NONE || from == mb->self || mb->left) {
		mb->stats.unknown++;
		answer_unknown_sender(mb, m, now_us);
		return EB_ENOTFOUND;
	}
	mb->heard_us[mb->roster->members[from].group] = now_us;
	if (mb->self != EB_NONE)
		mb->heard_us[own_group(mb)] = now_us;
	merge_record(mb, &m->from, now_us);
	merge_ages(mb, m, now_us);
	for (i = 0; i < n; i++)
		merge_record(mb, &recs[i], now_us);
	dispatch(mb, m, from, recs, n, now_us);
	return EB_OK;
}

/*
 * Handles a payload from a peer. Returns EB_EPARSE when it is malformed,
 * EB_EFULL when it is too long and EB_ENOTFOUND when the sender is not in the
 * roster; the records are unchanged then.
 */
enum eb_status eb_member_recv(struct eb_member *mb, const void *data, size_t n,
			      int64_t now_us)
{
	struct eb_gossip_reader rd;
	struct message m = { 0 };
	enum eb_status st = eb_gossip_open(&rd, data, n, &m.kind);

	if (!st) {
		st = recv_open(mb, &rd, &m, now_us);
		eb_gossip_close(&rd);
	}
	if (st == EB_EPARSE || st == EB_EFULL)
		mb->stats.rejected++;
	return st;
}

/* Records that a frame other than gossip arrived from a process of a member. */
void eb_member_contact(struct eb_member *mb, uint32_t index, uint64_t boot,
		       int64_t now_us)
{
	struct eb_member_entry *e = find_index(mb, index);
	struct eb_member_record r = { .boot = boot };

	mb->heard_us[mb->roster->members[index].group] = now_us;
	if (e && e->rec.boot)
		return;
	/* Generation 0, so that any record of its process replaces this one. */
	r.id = mb->roster->members[index].id;
	merge_record(mb, &r, now_us);
}

/*
 * Probes a member at once, because its connection became unresponsive or the
 * list of VMs no longer has it. This alone changes no state.
 */
void eb_member_check(struct eb_member *mb, uint32_t index, int64_t now_us)
{
	if (mb->self != EB_NONE && index != mb->self && !mb->left)
		start_probe(mb, index, EB_NONE, 0, now_us);
}

/* Announces to all neighbours that this process stops; then sends nothing. */
void eb_member_leave(struct eb_member *mb, int64_t now_us)
{
	uint32_t near[EB_ROSTER_NEIGHBOURS], i, n;

	if (mb->left || !mb->roster)
		return;
	mb->self_rec.state = EB_MEMBER_LEFT;
	n = eb_member_neighbours(mb, near);
	for (i = 0; i < n; i++) {
		mb->self_sends = 1;
		send_kind(mb, EB_GOSSIP_PING, near[i], 0, 0, 0, now_us);
	}
	mb->left = 1;
}

/* Returns the state of a member, even when its group is unreachable. */
enum eb_member_state eb_member_get_state(const struct eb_member *mb,
					 uint32_t index)
{
	const struct eb_member_entry *e = find_index(mb, index);

	return e ? (enum eb_member_state)e->rec.state : EB_MEMBER_ALIVE;
}

/* Returns the boot number of the process of a member, or 0 if unknown. */
uint64_t eb_member_get_boot(const struct eb_member *mb, uint32_t index)
{
	const struct eb_member_entry *e = find_index(mb, index);

	return e ? e->rec.boot : 0;
}

/* Tells whether a group is reachable; the own group always is. */
int eb_member_group_up(const struct eb_member *mb, uint32_t group,
		       int64_t now_us)
{
	return group == own_group(mb) ||
	       now_us - mb->heard_us[group] < EB_MEMBER_GROUP_TIMEOUT_US;
}

/* Tells whether a member is not down or left and its group is reachable. */
int eb_member_up(const struct eb_member *mb, uint32_t index, int64_t now_us)
{
	return !is_down(mb, index) &&
	       eb_member_group_up(mb, mb->roster->members[index].group, now_us);
}

/* Returns the memory in use in bytes, without the roster. */
size_t eb_member_bytes(const struct eb_member *mb)
{
	return sizeof(*mb) + mb->capacity * sizeof(*mb->entries) +
	       (mb->roster ? mb->roster->group_count * sizeof(int64_t) : 0);
}
