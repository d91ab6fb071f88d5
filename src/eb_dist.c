#include "eb_dist.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FLAG_WANT 1 /* the receiver is asked for its digest */
#define FLAG_READY 2
#define FLAG_READER 4  /* the age is that of the sender's own read */
#define FLAG_ADDRESS 8 /* not sent: include the sender's address */
#define FLAGS_SENT 7
#define AGE_NONE UINT32_MAX
#define REFRESH_US 2000000
#define FETCH_TRIES_MAX 4
#define SENDER_FIELDS 2

struct sender {
	uint64_t id;
	uint32_t member; /* EB_NONE when it is not in the roster */
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES];
};

/* Returns the digest of the log at `at` extended by one note. */
static uint64_t chain_digest(const struct eb_dist_position *at, uint64_t index,
			     const char *text, uint32_t bytes)
{
	return eb_gossip_mix(at->digest ^ XXH64(text, bytes, 0), index);
}

/*
 * Creates the module with an empty log. `st->seeds` are daemons to ask while
 * there is no configuration. Returns NULL when the address is too long or
 * memory runs out.
 */
struct eb_dist *eb_dist_new(const struct eb_dist_settings *st,
			    struct eb_member *member, struct eb_sink *sink,
			    int64_t now_us)
{
	struct eb_dist *ds;
	uint32_t i;

	if (strlen(st->address) >= EB_GOSSIP_ADDRESS_MAX_BYTES)
		return NULL;
	ds = calloc(1, sizeof(*ds));
	if (!ds)
		return NULL;
	memcpy(ds->address, st->address, strlen(st->address) + 1);
	ds->id = eb_roster_id(st->address);
	for (i = 0; i < st->seed_count && i < EB_DIST_SEEDS_MAX; i++) {
		size_t n = strlen(st->seeds[i]);

		if (n >= EB_GOSSIP_ADDRESS_MAX_BYTES)
			continue;
		if (!strcmp(st->seeds[i], st->address))
			ds->is_seed = 1;
		else
			memcpy(ds->seeds[ds->seed_count++], st->seeds[i],
			       n + 1);
	}
	ds->member = member;
	ds->sink = sink;
	ds->test_off = st->test_off;
	ds->start_us = now_us;
	ds->fresh_us = INT64_MIN;
	ds->others_fresh_us = INT64_MIN;
	ds->readers_fresh_us = INT64_MIN;
	ds->serve_us = now_us;
	ds->serve_bytes = EB_DIST_SERVE_BURST_BYTES;
	ds->retry_wait_us = EB_DIST_RETRY_MIN_US;
	ds->ask_groups_us = now_us + EB_DIST_ASK_GROUPS_MIN_US;
	ds->ask_groups_wait_us = EB_DIST_ASK_GROUPS_MIN_US;
	eb_rand_seed(&ds->rand, st->seed);
	ds->digest_us =
		now_us + eb_rand_below(&ds->rand, EB_DIST_DIGEST_PERIOD_US);
	ds->no_roster_read_us =
		now_us + EB_DIST_NO_ROSTER_WAIT_US +
		eb_rand_below(&ds->rand, EB_DIST_NO_ROSTER_SPREAD_US);
	if (ds->is_seed)
		ds->no_roster_read_us = now_us + EB_DIST_PEERS_FIRST_US;
	return ds;
}

/* Frees the module; NULL is allowed. */
void eb_dist_free(struct eb_dist *ds)
{
	uint32_t i;

	if (!ds)
		return;
	for (i = 0; i < ds->count; i++)
		free(ds->notes[(ds->first + i) & (ds->capacity - 1)].text);
	free(ds->notes);
	free(ds->partial);
	free(ds->fetch.data);
	free(ds->snapshot);
	free(ds);
}

static const struct eb_roster *roster(const struct eb_dist *ds)
{
	return ds->member->roster;
}

static uint32_t self(const struct eb_dist *ds)
{
	return ds->member->self;
}

static struct eb_dist_note *note_at(const struct eb_dist *ds, uint32_t i)
{
	return &ds->notes[(ds->first + i) & (ds->capacity - 1)];
}

/* Frees the oldest note and moves the base after it. */
static void drop_oldest(struct eb_dist *ds)
{
	struct eb_dist_note *n = note_at(ds, 0);

	ds->base.index = n->index;
	ds->base.digest = n->digest;
	ds->tail_bytes -= n->bytes;
	free(n->text);
	ds->first = (ds->first + 1) & (ds->capacity - 1);
	ds->count--;
}

/* Doubles the ring of notes. Returns -1 when memory runs out. */
static int grow(struct eb_dist *ds)
{
	uint32_t cap = ds->capacity ? 2 * ds->capacity : 16, i;
	struct eb_dist_note *notes = calloc(cap, sizeof(*notes));

	if (!notes)
		return -1;
	for (i = 0; i < ds->count; i++)
		notes[i] = *note_at(ds, i);
	free(ds->notes);
	ds->notes = notes;
	ds->capacity = cap;
	ds->first = 0;
	return 0;
}

static void drop_partial(struct eb_dist *ds)
{
	free(ds->partial);
	ds->partial = NULL;
	ds->partial_bytes = 0;
	ds->partial_total = 0;
}

/*
 * Appends a note to the log. Drops the oldest notes at the bounds of the tail,
 * but never one that is not in force yet. Returns EB_EFULL or EB_ENOMEM.
 */
static enum eb_status append(struct eb_dist *ds, const char *text,
			     uint32_t bytes)
{
	struct eb_dist_note n = { 0 };

	while (ds->count && note_at(ds, 0)->index <= ds->force.index &&
	       (ds->count >= EB_DIST_TAIL_NOTES_MAX ||
		ds->tail_bytes + bytes > EB_DIST_TAIL_MAX_BYTES))
		drop_oldest(ds);
	if (ds->count >= EB_DIST_TAIL_NOTES_MAX) {
		ds->stats.full++;
		return EB_EFULL;
	}
	if (ds->count == ds->capacity && grow(ds))
		return EB_ENOMEM;
	n.text = malloc(bytes + 1);
	if (!n.text)
		return EB_ENOMEM;
	memcpy(n.text, text, bytes);
	n.text[bytes] = 0;
	n.bytes = bytes;
	n.index = ds->held.index + 1;
	n.digest = chain_digest(&ds->held, n.index, text, bytes);
	ds->count++;
	*note_at(ds, ds->count - 1) = n;
	ds->tail_bytes += bytes;
	ds->held.index = n.index;
	ds->held.digest = n.digest;
	ds->announce = 1;
	drop_partial(ds);
	return EB_OK;
}

/*
 * Returns the age of the last known read of the platform in milliseconds, or
 * AGE_NONE when there was none within an hour.
 */
static uint32_t platform_age_ms(const struct eb_dist *ds, int64_t now_us)
{
	int64_t t = ds->fresh_us > ds->others_fresh_us ? ds->fresh_us
						       : ds->others_fresh_us;

	if (t == INT64_MIN || now_us - t > 3600000000LL)
		return AGE_NONE;
	return (uint32_t)((now_us - t) / 1000);
}

/* Starts a message of `kind`; the caller packs the address and `fields`. */
static void begin_message(const struct eb_dist *ds, msgpack_packer *pk,
			  msgpack_sbuffer *sb, uint32_t kind, uint32_t fields)
{
	eb_gossip_begin(pk, sb, kind, fields + SENDER_FIELDS);
	msgpack_pack_uint64(pk, ds->id);
}

static void send_message(struct eb_dist *ds, const char *address,
			 msgpack_sbuffer *sb)
{
	ds->stats.sent++;
	eb_gossip_send(ds->sink, address, sb);
}

/*
 * Sends a digest: the position of the log and the age of the last read of the
 * platform, which is this daemon's own with FLAG_READER.
 */
static void send_digest(struct eb_dist *ds, const char *address, uint32_t flags,
			int64_t now_us)
{
	uint32_t age = flags & FLAG_READER
			       ? (uint32_t)((now_us - ds->fresh_us) / 1000)
			       : platform_age_ms(ds, now_us);
	msgpack_sbuffer sb;
	msgpack_packer pk;

	begin_message(ds, &pk, &sb, EB_GOSSIP_DIGEST, 5);
	/* A receiver with this daemon in its roster knows the address. */
	if (!ds->ready || (flags & (FLAG_WANT | FLAG_ADDRESS)))
		eb_gossip_pack_address(&pk, ds->address);
	else
		eb_gossip_pack_address(&pk, NULL);
	if (ds->ready)
		flags |= FLAG_READY;
	msgpack_pack_uint32(&pk, flags & FLAGS_SENT);
	msgpack_pack_uint64(&pk, ds->held.index);
	msgpack_pack_uint64(&pk, ds->held.digest);
	msgpack_pack_uint32(&pk, age);
	msgpack_pack_uint64(&pk, ds->platform_index);
	send_message(ds, address, &sb);
}

static void digest_to(struct eb_dist *ds, uint32_t member, uint32_t flags,
		      int64_t now_us)
{
	if (member != self(ds))
		send_digest(ds, roster(ds)->members[member].address, flags,
			    now_us);
}

static struct eb_dist_peer *find_peer(struct eb_dist *ds, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ds->peer_count; i++)
		if (ds->peers[i].id == id)
			return &ds->peers[i];
	return NULL;
}

static void add_link(struct eb_dist *ds, uint32_t member, uint32_t rank,
		     int crossing)
{
	struct eb_dist_link *l;

	if (member == EB_NONE)
		return;
	if (ds->link_count == EB_DIST_LINKS_MAX) {
		ds->stats.full++;
		return;
	}
	l = &ds->links[ds->link_count++];
	l->member = member;
	l->rank = rank;
	l->crossing = (uint8_t)crossing;
}

/* Selects the peers in other groups of the region and in other regions. */
static void refresh_links(struct eb_dist *ds)
{
	const struct eb_roster *ro = roster(ds);
	uint32_t own = ro->members[self(ds)].group;
	uint32_t region = ro->members[self(ds)].region;
	uint32_t i, m, rank = 0;

	ds->link_count = 0;
	for (i = 0; i < ro->group_count; i++) {
		if (i == own || ro->group_region[i] != region)
			continue;
		m = eb_member_link_target(ds->member,
					  eb_roster_group_link(ro, own, i),
					  eb_roster_group_link(ro, i, own),
					  EB_DIST_LINK_RANKS, &rank);
		add_link(ds, m, rank, 0);
	}
	for (i = 0; i < ro->region_count; i++) {
		if (i == region)
			continue;
		m = eb_member_link_target(ds->member,
					  eb_roster_region_link(ro, region, i),
					  eb_roster_region_link(ro, i, region),
					  EB_DIST_LINK_RANKS, &rank);
		add_link(ds, m, rank, 1);
	}
}

/* Updates peers and links from the membership. Old peers keep their state. */
static void refresh(struct eb_dist *ds, int64_t now_us)
{
	struct eb_dist_peer old[EB_ROSTER_NEIGHBOURS];
	uint32_t neighbours[EB_ROSTER_NEIGHBOURS], i, j, n = ds->peer_count;

	ds->refresh_us = now_us + REFRESH_US;
	ds->epoch = ds->member->epoch;
	if (self(ds) == EB_NONE) {
		ds->peer_count = 0;
		ds->link_count = 0;
		return;
	}
	if (ds->group_count != roster(ds)->group_count)
		memset(ds->group_ready, 0, sizeof(ds->group_ready));
	ds->group_count = roster(ds)->group_count;
	memcpy(old, ds->peers, sizeof(old));
	ds->peer_count = eb_member_neighbours(ds->member, neighbours);
	for (i = 0; i < ds->peer_count; i++) {
		struct eb_dist_peer p = { 0 };

		p.id = roster(ds)->members[neighbours[i]].id;
		for (j = 0; j < n; j++)
			if (old[j].id == p.id)
				p = old[j];
		p.member = neighbours[i];
		ds->peers[i] = p;
		if (!p.answered)
			digest_to(ds, neighbours[i], FLAG_WANT, now_us);
	}
	refresh_links(ds);
}

/*
 * Returns the newest index held by a quorum of the neighbours believed up:
 * half of them, rounded up. A starting daemon asks more than half, so it always
 * reaches a member of the quorum.
 */
static uint64_t quorum_index(const struct eb_dist *ds)
{
	uint64_t held[EB_ROSTER_NEIGHBOURS];
	uint32_t i, j, n = ds->peer_count;

	if (!n || (ds->test_off & EB_DIST_OFF_HOLD))
		return ds->held.index;
	for (i = 0; i < n; i++) {
		uint64_t x = ds->peers[i].held.index;

		for (j = i; j && held[j - 1] < x; j--)
			held[j] = held[j - 1];
		held[j] = x;
	}
	return held[(n + 1) / 2 - 1];
}

/*
 * Puts notes in force, in order: those held by a quorum, or all of them while
 * this daemon is not ready, since it serves nothing then.
 */
static void apply(struct eb_dist *ds)
{
	uint64_t limit = ds->ready ? quorum_index(ds) : ds->held.index;

	while (ds->force.index < ds->held.index && ds->force.index < limit) {
		uint32_t i = (uint32_t)(ds->force.index - ds->base.index);
		const struct eb_dist_note *n = note_at(ds, i);
		struct eb_action act = { .type = EB_ACTION_APPLY };

		act.index = n->index;
		act.digest = n->digest;
		act.data = n->text;
		act.bytes = n->bytes;
		ds->force.index = n->index;
		ds->force.digest = n->digest;
		ds->stats.applied++;
		ds->sink->act(ds->sink, &act);
	}
}

/* Tells whether more than half of the other groups have a ready member. */
static int other_groups_ready(const struct eb_dist *ds)
{
	uint32_t g, n = 0, all = roster(ds)->group_count - 1;

	for (g = 0; g < roster(ds)->group_count; g++)
		if (g != roster(ds)->members[self(ds)].group)
			n += ds->group_ready[g];
	return n && n > all / 2;
}

/*
 * Tells whether a read of the platform, by this daemon or another, began
 * after this process started and this daemon holds all notes that it returned.
 * The margin covers the latency of the message that reported the read.
 */
static int holds_platform_notes(const struct eb_dist *ds)
{
	return (ds->platform_read ||
		ds->others_fresh_us > ds->start_us + EB_DIST_START_MARGIN_US) &&
	       ds->held.index >= ds->platform_index;
}

/* Sends the sink an action with the position of the release in force. */
static void send_action(struct eb_dist *ds, enum eb_action_type type)
{
	struct eb_action act = { .type = type };

	act.index = ds->force.index;
	act.digest = ds->force.digest;
	ds->sink->act(ds->sink, &act);
}

/*
 * Sets ready once the log cannot be older than a release already in force
 * elsewhere.
 */
static void check_ready(struct eb_dist *ds)
{
	uint32_t i, answered = 0, ready = 0, need = 0;

	if (ds->ready || !roster(ds) || self(ds) == EB_NONE || !ds->held.index)
		return;
	for (i = 0; i < ds->peer_count; i++) {
		answered += ds->peers[i].answered;
		ready += ds->peers[i].answered && ds->peers[i].ready;
	}
	if (ds->peer_count)
		need = ds->peer_count / 2 + 1;
	else if (ds->seed_count && !ds->seed_answered)
		return;
	if (!(ds->test_off & EB_DIST_OFF_READY)) {
		if (ds->held.index < ds->max_peer_index ||
		    quorum_index(ds) < ds->held.index || answered < need)
			return;
		if (!holds_platform_notes(ds) && !(need && ready >= need) &&
		    !other_groups_ready(ds))
			return;
	}
	ds->ready = 1;
	send_action(ds, EB_ACTION_READY);
}

/* Requests the notes after the last one held from a peer. */
static void send_pull(struct eb_dist *ds, const struct eb_dist_source *from,
		      int64_t now_us)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	if (from != &ds->pull)
		ds->pull = *from;
	ds->pull.due_us = now_us + EB_DIST_PULL_TIMEOUT_US;
	begin_message(ds, &pk, &sb, EB_GOSSIP_PULL, 3);
	eb_gossip_pack_address(&pk, ds->address);
	msgpack_pack_uint64(&pk, ds->held.index);
	msgpack_pack_uint64(&pk, ds->held.digest);
	msgpack_pack_uint32(&pk, ds->partial_bytes);
	send_message(ds, ds->pull.address, &sb);
}

/*
 * Pulls from a peer that holds newer notes, at once or when the current pull
 * times out. A pull from another region is delayed, unless the log is empty.
 */
static void schedule_pull(struct eb_dist *ds, const struct sender *from,
			  uint64_t index, int64_t now_us)
{
	struct eb_dist_source s = { .index = index };
	int crossing = from->member != EB_NONE && self(ds) != EB_NONE &&
		       roster(ds)->members[from->member].region !=
			       roster(ds)->members[self(ds)].region;

	if (index <= ds->held.index || ds->fetch.data || !from->address[0])
		return;
	memcpy(s.address, from->address, sizeof(s.address));
	if (crossing && ds->held.index) {
		if (ds->crossing.index <= ds->held.index) {
			s.due_us = now_us + EB_DIST_REMOTE_PULL_DELAY_US;
			ds->crossing = s;
		}
	} else if (!ds->pull.due_us) {
		send_pull(ds, &s, now_us);
	} else if (strcmp(ds->pull.address, s.address) != 0) {
		ds->other = s;
	}
}

/*
 * Records that another daemon read the platform at `t`. A daemon that ranks
 * behind this one is sent this daemon's own recent read, so that it stops.
 */
static void record_reader(struct eb_dist *ds, const struct sender *from,
			  int64_t t, int64_t now_us)
{
	if (eb_roster_reader_rank(from->id) < eb_roster_reader_rank(ds->id)) {
		if (t > ds->readers_fresh_us)
			ds->readers_fresh_us = t;
	} else if (ds->fresh_us != INT64_MIN && from->address[0] &&
		   now_us - ds->fresh_us < EB_DIST_STANDBY_STOP_US) {
		send_digest(ds, from->address, FLAG_READER, now_us);
	}
}

/* Updates what is known of a peer, and of the platform, from a digest. */
static void update_peer(struct eb_dist *ds, const struct sender *from,
			uint32_t flags, const struct eb_dist_position *at,
			uint32_t age_ms, uint64_t platform, int64_t now_us)
{
	struct eb_dist_peer *p = find_peer(ds, from->id);
	uint32_t i;

	if (age_ms != AGE_NONE) {
		int64_t t = now_us - (int64_t)age_ms * 1000;

		if (t > ds->others_fresh_us)
			ds->others_fresh_us = t;
		if (platform > ds->platform_index)
			ds->platform_index = platform;
		if (flags & FLAG_READER)
			record_reader(ds, from, t, now_us);
	}
	if (at->index == ds->held.index && at->digest != ds->held.digest)
		ds->stats.diverged++;
	if (!ds->ready && at->index > ds->max_peer_index)
		ds->max_peer_index = at->index;
	for (i = 0; i < ds->seed_count; i++)
		if (!strcmp(ds->seeds[i], from->address))
			ds->seed_answered = 1;
	if (from->member != EB_NONE && (flags & FLAG_READY))
		ds->group_ready[roster(ds)->members[from->member].group] = 1;
	if (!p)
		return;
	p->answered = 1;
	p->ready = !!(flags & FLAG_READY);
	p->held = *at;
}

/* Handles a digest, and answers it when the sender wants or lacks something. */
static enum eb_status recv_digest(struct eb_dist *ds,
				  struct eb_gossip_reader *rd,
				  const struct sender *from, int64_t now_us)
{
	uint32_t flags = (uint32_t)eb_gossip_uint(rd, FLAGS_SENT);
	struct eb_dist_position at;
	uint64_t platform;
	uint32_t age;

	at.index = eb_gossip_uint(rd, INT64_MAX);
	at.digest = eb_gossip_uint(rd, UINT64_MAX);
	age = (uint32_t)eb_gossip_uint(rd, UINT32_MAX);
	platform = eb_gossip_uint(rd, INT64_MAX);
	if (rd->bad || eb_gossip_left(rd))
		return EB_EPARSE;
	update_peer(ds, from, flags, &at, age, platform, now_us);
	schedule_pull(ds, from, at.index, now_us);
	if (((flags & FLAG_WANT) || at.index < ds->held.index) &&
	    from->address[0])
		send_digest(ds, from->address, FLAG_ADDRESS, now_us);
	apply(ds);
	check_ready(ds);
	return EB_OK;
}

/*
 * Takes bytes from the serving budget. Returns 0 when it does not suffice. The
 * budget limits what many starting peers can request.
 */
static int may_serve(struct eb_dist *ds, uint32_t bytes, int64_t now_us)
{
	int64_t add = (now_us - ds->serve_us) / 1000 *
		      (EB_DIST_SERVE_BYTES_PER_S / 1000);

	if (add > 0) {
		ds->serve_us = now_us;
		ds->serve_bytes += add;
		if (ds->serve_bytes > EB_DIST_SERVE_BURST_BYTES)
			ds->serve_bytes = EB_DIST_SERVE_BURST_BYTES;
	}
	if (ds->serve_bytes < bytes) {
		ds->stats.throttled++;
		return 0;
	}
	ds->serve_bytes -= bytes;
	return 1;
}

/* Requests a snapshot from the core, once per EB_DIST_SNAPSHOT_REQUEST_GAP_US.
 */
static void request_snapshot(struct eb_dist *ds, int64_t now_us)
{
	if (now_us < ds->snapshot_want_us || !ds->force.index)
		return;
	ds->snapshot_want_us = now_us + EB_DIST_SNAPSHOT_REQUEST_GAP_US;
	send_action(ds, EB_ACTION_SNAPSHOT_WANTED);
}

/* Offers the snapshot to a daemon whose position is before the base. */
static void send_offer(struct eb_dist *ds, const struct sender *to,
		       int64_t now_us)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	if (!ds->snapshot || ds->snapshot_position.index < ds->base.index) {
		request_snapshot(ds, now_us);
		return;
	}
	ds->snapshot_used_us = now_us;
	begin_message(ds, &pk, &sb, EB_GOSSIP_OFFER, 4);
	eb_gossip_pack_address(&pk, ds->address);
	msgpack_pack_uint64(&pk, ds->snapshot_position.index);
	msgpack_pack_uint64(&pk, ds->snapshot_position.digest);
	msgpack_pack_uint32(&pk, ds->snapshot_bytes);
	msgpack_pack_uint64(&pk, ds->snapshot_hash);
	send_message(ds, to->address, &sb);
}

/*
 * Sends the notes after position `at`: as many as fit in one message, or the
 * part from byte `offset` on of a note that is too long for one.
 */
static void send_delta(struct eb_dist *ds, const struct sender *to,
		       const struct eb_dist_position *at, uint32_t offset,
		       int64_t now_us)
{
	uint32_t i = (uint32_t)(at->index - ds->base.index), n = 0, bytes = 0;
	const struct eb_dist_note *first = note_at(ds, i);
	uint32_t total = 0, k;
	msgpack_sbuffer sb;
	msgpack_packer pk;

	if (first->bytes > EB_DIST_CHUNK_BYTES) {
		total = first->bytes;
		if (offset >= total)
			offset = 0;
		bytes = total - offset < EB_DIST_CHUNK_BYTES
				? total - offset
				: EB_DIST_CHUNK_BYTES;
		n = 1;
	} else {
		offset = 0;
		while (i + n < ds->count && n < EB_DIST_DELTA_NOTES_MAX &&
		       bytes + note_at(ds, i + n)->bytes <= EB_DIST_CHUNK_BYTES)
			bytes += note_at(ds, i + n++)->bytes;
	}
	if (!may_serve(ds, bytes, now_us))
		return;
	ds->stats.deltas++;
	ds->stats.delta_bytes += bytes;
	begin_message(ds, &pk, &sb, EB_GOSSIP_DELTA, 5 + n);
	eb_gossip_pack_address(&pk, ds->address);
	msgpack_pack_uint64(&pk, at->index);
	msgpack_pack_uint64(&pk, at->digest);
	msgpack_pack_uint64(&pk, ds->held.index);
	msgpack_pack_uint32(&pk, offset);
	msgpack_pack_uint32(&pk, total);
	for (k = 0; k < n; k++) {
		const struct eb_dist_note *note = note_at(ds, i + k);

		eb_gossip_pack_bin(&pk, note->text + offset,
				   total ? bytes : note->bytes);
	}
	send_message(ds, to->address, &sb);
}

/* Answers a pull with a delta, or with an offer when the notes are dropped. */
static enum eb_status recv_pull(struct eb_dist *ds, struct eb_gossip_reader *rd,
				const struct sender *from, int64_t now_us)
{
	struct eb_dist_position at;
	uint64_t own_digest = ds->base.digest;
	uint32_t offset;

	at.index = eb_gossip_uint(rd, INT64_MAX);
	at.digest = eb_gossip_uint(rd, UINT64_MAX);
	offset = (uint32_t)eb_gossip_uint(rd, EB_DIST_NOTE_MAX_BYTES);
	if (rd->bad || eb_gossip_left(rd))
		return EB_EPARSE;
	if (at.index >= ds->held.index || !from->address[0])
		return EB_OK;
	if (at.index < ds->base.index) {
		send_offer(ds, from, now_us);
		return EB_OK;
	}
	if (at.index > ds->base.index)
		own_digest =
			note_at(ds, (uint32_t)(at.index - ds->base.index - 1))
				->digest;
	if (own_digest != at.digest) {
		ds->stats.diverged++;
		return EB_OK;
	}
	send_delta(ds, from, &at, offset, now_us);
	return EB_OK;
}

/* Adds a part of the next note, which is too long for one message. */
static enum eb_status append_part(struct eb_dist *ds, const char *data,
				  uint32_t n, uint32_t offset, uint32_t total)
{
	if (total > EB_DIST_NOTE_MAX_BYTES || !n || offset > total ||
	    n > total - offset)
		return EB_EPARSE;
	if (!offset || total != ds->partial_total)
		drop_partial(ds);
	if (offset != ds->partial_bytes)
		return EB_OK;
	if (!ds->partial) {
		ds->partial = malloc(total);
		if (!ds->partial)
			return EB_ENOMEM;
		ds->partial_total = total;
	}
	memcpy(ds->partial + offset, data, n);
	ds->partial_bytes += n;
	if (ds->partial_bytes < total)
		return EB_OK;
	return append(ds, ds->partial, total);
}

/* Appends the notes of a delta, or a part of one when `total` is set. */
static enum eb_status read_notes(struct eb_dist *ds,
				 struct eb_gossip_reader *rd, uint32_t offset,
				 uint32_t total)
{
	enum eb_status st = EB_OK;
	uint32_t n;

	while (!st && eb_gossip_left(rd)) {
		const char *text = eb_gossip_bin(rd, EB_GOSSIP_MAX_BYTES, &n);

		if (rd->bad)
			return EB_EPARSE;
		if (total)
			return append_part(ds, text, n, offset, total);
		st = append(ds, text, n);
	}
	return st;
}

/* Appends the notes of a delta and pulls again when the sender has more. */
static enum eb_status recv_delta(struct eb_dist *ds,
				 struct eb_gossip_reader *rd,
				 const struct sender *from, int64_t now_us)
{
	struct eb_dist_position at;
	enum eb_status st;
	uint64_t newest;
	uint32_t offset, total, i;

	at.index = eb_gossip_uint(rd, INT64_MAX);
	at.digest = eb_gossip_uint(rd, UINT64_MAX);
	newest = eb_gossip_uint(rd, INT64_MAX);
	offset = (uint32_t)eb_gossip_uint(rd, EB_DIST_NOTE_MAX_BYTES);
	total = (uint32_t)eb_gossip_uint(rd, EB_DIST_NOTE_MAX_BYTES);
	if (rd->bad || eb_gossip_left(rd) > EB_DIST_DELTA_NOTES_MAX ||
	    (total && eb_gossip_left(rd) != 1) ||
	    newest < at.index + eb_gossip_left(rd))
		return EB_EPARSE;
	for (i = rd->pos; i < rd->count; i++)
		if (rd->items[i].type != MSGPACK_OBJECT_BIN)
			return EB_EPARSE;
	/* At this daemon's own position the sender's log extends its log. */
	if (at.index != ds->held.index || at.digest != ds->held.digest)
		return EB_OK;
	ds->pull.due_us = 0;
	st = read_notes(ds, rd, offset, total);
	if (st)
		return st;
	apply(ds);
	check_ready(ds);
	schedule_pull(ds, from, newest, now_us);
	return EB_OK;
}

static void drop_fetch(struct eb_dist *ds)
{
	free(ds->fetch.data);
	memset(&ds->fetch, 0, sizeof(ds->fetch));
}

/* Requests the next piece of the snapshot that is being fetched. */
static void request_piece(struct eb_dist *ds, int64_t now_us)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	ds->fetch.deadline_us = now_us + EB_DIST_PULL_TIMEOUT_US;
	begin_message(ds, &pk, &sb, EB_GOSSIP_PIECE_REQUEST, 2);
	eb_gossip_pack_address(&pk, ds->address);
	msgpack_pack_uint64(&pk, ds->fetch.hash);
	msgpack_pack_uint32(&pk, ds->fetch.got);
	send_message(ds, ds->fetch.address, &sb);
}

/* Starts to fetch an offered snapshot that is newer than the log. */
static enum eb_status recv_offer(struct eb_dist *ds,
				 struct eb_gossip_reader *rd,
				 const struct sender *from, int64_t now_us)
{
	struct eb_dist_fetch f = { 0 };

	f.position.index = eb_gossip_uint(rd, INT64_MAX);
	f.position.digest = eb_gossip_uint(rd, UINT64_MAX);
	f.bytes = (uint32_t)eb_gossip_uint(rd, EB_DIST_SNAPSHOT_MAX_BYTES);
	f.hash = eb_gossip_uint(rd, UINT64_MAX);
	if (rd->bad || eb_gossip_left(rd) || !f.bytes)
		return EB_EPARSE;
	if (f.position.index <= ds->held.index || ds->fetch.data)
		return EB_OK;
	f.data = malloc(f.bytes);
	if (!f.data)
		return EB_ENOMEM;
	memcpy(f.address, from->address, sizeof(f.address));
	ds->fetch = f;
	ds->pull.due_us = 0;
	request_piece(ds, now_us);
	return EB_OK;
}

/* Sends a piece of the snapshot, within the serving budget. */
static enum eb_status recv_piece_request(struct eb_dist *ds,
					 struct eb_gossip_reader *rd,
					 const struct sender *from,
					 int64_t now_us)
{
	uint64_t hash = eb_gossip_uint(rd, UINT64_MAX);
	uint32_t at = (uint32_t)eb_gossip_uint(rd, EB_DIST_SNAPSHOT_MAX_BYTES);
	msgpack_sbuffer sb;
	msgpack_packer pk;
	uint32_t n;

	if (rd->bad || eb_gossip_left(rd))
		return EB_EPARSE;
	if (!ds->snapshot || hash != ds->snapshot_hash ||
	    at >= ds->snapshot_bytes || !from->address[0])
		return EB_OK;
	n = ds->snapshot_bytes - at;
	if (n > EB_DIST_CHUNK_BYTES)
		n = EB_DIST_CHUNK_BYTES;
	if (!may_serve(ds, n, now_us))
		return EB_OK;
	ds->snapshot_used_us = now_us;
	begin_message(ds, &pk, &sb, EB_GOSSIP_PIECE, 3);
	eb_gossip_pack_address(&pk, ds->address);
	msgpack_pack_uint64(&pk, hash);
	msgpack_pack_uint32(&pk, at);
	eb_gossip_pack_bin(&pk, ds->snapshot + at, n);
	send_message(ds, from->address, &sb);
	return EB_OK;
}

/* Puts a complete snapshot in force; the core may reject it as unreadable. */
static void load_snapshot(struct eb_dist *ds)
{
	struct eb_action act = { .type = EB_ACTION_LOAD_SNAPSHOT };
	struct eb_dist_fetch *f = &ds->fetch;

	if (XXH64(f->data, f->bytes, 0) == f->hash &&
	    f->position.index > ds->held.index) {
		act.index = f->position.index;
		act.digest = f->position.digest;
		act.data = f->data;
		act.bytes = f->bytes;
		ds->sink->act(ds->sink, &act);
		if (!act.refused) {
			while (ds->count)
				drop_oldest(ds);
			drop_partial(ds);
			ds->base = f->position;
			ds->held = f->position;
			ds->force = f->position;
			ds->announce = 1;
		}
	} else {
		ds->stats.rejected++;
	}
	drop_fetch(ds);
}

/* Adds a piece to the snapshot that is being fetched. */
static enum eb_status recv_piece(struct eb_dist *ds,
				 struct eb_gossip_reader *rd, int64_t now_us)
{
	struct eb_dist_fetch *f = &ds->fetch;
	uint64_t hash = eb_gossip_uint(rd, UINT64_MAX);
	uint32_t at = (uint32_t)eb_gossip_uint(rd, EB_DIST_SNAPSHOT_MAX_BYTES);
	uint32_t n;
	const char *data = eb_gossip_bin(rd, EB_GOSSIP_MAX_BYTES, &n);

	if (rd->bad || eb_gossip_left(rd) || !n)
		return EB_EPARSE;
	if (!f->data || hash != f->hash || at != f->got)
		return EB_OK;
	if (n > f->bytes - f->got)
		return EB_EPARSE;
	memcpy(f->data + at, data, n);
	f->got += n;
	f->tries = 0;
	if (f->got < f->bytes)
		request_piece(ds, now_us);
	else
		load_snapshot(ds);
	return EB_OK;
}

/* Reads the sender of a message and calls the handler of its kind. */
static enum eb_status recv_open(struct eb_dist *ds, struct eb_gossip_reader *rd,
				uint32_t kind, int64_t now_us)
{
	struct sender from = { 0 };

	from.id = eb_gossip_uint(rd, UINT64_MAX);
	eb_gossip_address(rd, from.address);
	if (rd->bad || !from.id)
		return EB_EPARSE;
	from.member =
		roster(ds) ? eb_roster_find(roster(ds), from.id) : EB_NONE;
	if (from.member != EB_NONE) {
		const char *a = roster(ds)->members[from.member].address;

		memcpy(from.address, a, strlen(a) + 1);
	}
	switch (kind) {
	case EB_GOSSIP_DIGEST:
		return recv_digest(ds, rd, &from, now_us);
	case EB_GOSSIP_PULL:
		return recv_pull(ds, rd, &from, now_us);
	case EB_GOSSIP_DELTA:
		return recv_delta(ds, rd, &from, now_us);
	case EB_GOSSIP_OFFER:
		return recv_offer(ds, rd, &from, now_us);
	case EB_GOSSIP_PIECE_REQUEST:
		return recv_piece_request(ds, rd, &from, now_us);
	case EB_GOSSIP_PIECE:
		return recv_piece(ds, rd, now_us);
	default:
		return EB_EPARSE;
	}
}

/*
 * Handles a payload from a peer. Returns EB_EPARSE or EB_EFULL for a
 * malformed one, which changes nothing but a counter.
 */
enum eb_status eb_dist_recv(struct eb_dist *ds, const void *data, size_t n,
			    int64_t now_us)
{
	struct eb_gossip_reader rd;
	uint32_t kind = 0;
	enum eb_status st = eb_gossip_open(&rd, data, n, &kind);

	if (!st) {
		ds->stats.received++;
		st = recv_open(ds, &rd, kind, now_us);
		eb_gossip_close(&rd);
	}
	if (st == EB_EPARSE || st == EB_EFULL)
		ds->stats.rejected++;
	return st;
}

/*
 * Returns this daemon's position among the members of its failure domain that
 * are up, at most `limit`.
 */
static uint32_t reader_rank(const struct eb_dist *ds, uint32_t limit)
{
	const struct eb_roster *ro = roster(ds);
	const struct eb_roster_set *s =
		&ro->domains[ro->members[self(ds)].domain];
	uint32_t i, rank = 0;

	for (i = 0; i < s->count && rank < limit; i++) {
		if (s->order[i] == self(ds))
			return rank;
		if (eb_member_get_state(ds->member, s->order[i]) <
		    EB_MEMBER_DOWN)
			rank++;
	}
	return limit;
}

/* Sends the readers and standbys the age of this daemon's last read. */
static void report_read(struct eb_dist *ds, int64_t now_us)
{
	const struct eb_roster *ro = roster(ds);
	const struct eb_roster_set *s;
	uint32_t i, n = 0;

	ds->report_due = 0;
	ds->report_us = now_us + EB_DIST_REPORT_GAP_US;
	if (self(ds) == EB_NONE)
		return;
	s = &ro->domains[ro->members[self(ds)].domain];
	for (i = 0; i < s->count && n < EB_DIST_STANDBYS; i++) {
		if (eb_member_get_state(ds->member, s->order[i]) >=
		    EB_MEMBER_DOWN)
			continue;
		n++;
		digest_to(ds, s->order[i], FLAG_READER, now_us);
	}
}

/*
 * Decides whether this daemon should watch the platform now. A standby stops
 * only for reads by daemons before it in the order: other daemons also report
 * this daemon's own reads, for which it must not stop.
 */
static int should_watch(const struct eb_dist *ds, int64_t now_us)
{
	int64_t start = ds->start_us, age, any_age;
	uint32_t rank, window, count;

	if (!roster(ds) || self(ds) == EB_NONE)
		return now_us >= ds->no_roster_read_us;
	if (!ds->held.index && now_us - start < EB_DIST_PEERS_FIRST_US)
		return 0;
	rank = reader_rank(ds, EB_DIST_STANDBYS);
	if (rank < EB_DIST_READERS)
		return 1;
	if (ds->test_off & EB_DIST_OFF_STANDBY)
		return 0;
	age = now_us -
	      (ds->readers_fresh_us > start ? ds->readers_fresh_us : start);
	if (rank < EB_DIST_STANDBYS)
		return age > (ds->watching ? EB_DIST_STANDBY_STOP_US
					   : EB_DIST_STANDBY_US);
	/*
	 * A daemon that reads continues while its reads succeed and no daemon
	 * before it reads. EB_DIST_STANDBY_US is longer than
	 * EB_DIST_STANDBY_STOP_US by at least a wait of the watch, so that it
	 * does not resume after a stop.
	 */
	if (age < EB_DIST_STANDBY_US)
		return 0;
	if (ds->fresh_us != INT64_MIN &&
	    now_us - ds->fresh_us < EB_DIST_STANDBY_STOP_US)
		return 1;
	any_age = now_us -
		  (ds->others_fresh_us > start ? ds->others_fresh_us : start);
	if (any_age < EB_DIST_WINDOW_US)
		return 0;
	/* The daemons of the domain take turns, EB_DIST_STANDBYS at a time. */
	count = roster(ds)->domains[roster(ds)->members[self(ds)].domain].count;
	window = (uint32_t)((any_age - EB_DIST_WINDOW_US) /
			    EB_DIST_WINDOW_STEP_US);
	window %= count / EB_DIST_STANDBYS + 1;
	return reader_rank(ds, count) / EB_DIST_STANDBYS == window;
}

/* Starts or stops the watch of the platform, as should_watch() says. */
static void update_watch(struct eb_dist *ds, int64_t now_us)
{
	struct eb_action act = { .type = EB_ACTION_WATCH };

	if (ds->watching && now_us - ds->watch_us > EB_DIST_WATCH_TIMEOUT_US)
		eb_dist_platform_failed(ds, now_us);
	if (!should_watch(ds, now_us)) {
		if (!ds->watching)
			return;
		ds->watching = 0;
		act.type = EB_ACTION_STOP_WATCH;
		ds->sink->act(ds->sink, &act);
		return;
	}
	if (ds->watching || now_us < ds->retry_us)
		return;
	ds->watching = 1;
	ds->watch_us = now_us;
	ds->stats.platform++;
	act.index = ds->held.index;
	act.wait_ms = EB_DIST_WATCH_WAIT_MS;
	ds->sink->act(ds->sink, &act);
}

/* For tests of EB_DIST_OFF_PREFIX: truncates the log after `index`. */
static void truncate_log(struct eb_dist *ds, uint64_t index)
{
	struct eb_action act = { .type = EB_ACTION_APPLY };

	while (ds->count && ds->held.index > index) {
		struct eb_dist_note *n = note_at(ds, ds->count - 1);

		ds->tail_bytes -= n->bytes;
		free(n->text);
		ds->count--;
		ds->held = ds->base;
		if (ds->count) {
			n = note_at(ds, ds->count - 1);
			ds->held.index = n->index;
			ds->held.digest = n->digest;
		}
	}
	if (ds->force.index <= ds->held.index)
		return;
	ds->force = ds->held;
	act.index = ds->held.index;
	act.digest = ds->held.digest;
	ds->sink->act(ds->sink, &act);
}

/*
 * Handles an answer of the platform: the index of its newest note, and the
 * notes after the requested index. Notes already held are skipped. An answer
 * that ends before the last note held is stale and does not count as a read.
 * Returns EB_EPARSE for an answer with a gap, EB_EFULL or EB_ENOMEM.
 */
enum eb_status eb_dist_platform(struct eb_dist *ds, uint64_t index,
				const struct eb_dist_text *notes, uint32_t n,
				int64_t now_us)
{
	enum eb_status st = EB_OK;
	uint32_t i;

	for (i = 0; i < n; i++)
		if ((i && notes[i].index != notes[i - 1].index + 1) ||
		    notes[i].bytes > EB_DIST_NOTE_MAX_BYTES ||
		    notes[i].index > index)
			st = EB_EPARSE;
	if (n && notes[0].index > ds->held.index + 1)
		st = EB_EPARSE;
	if (st) {
		ds->stats.rejected++;
		eb_dist_platform_failed(ds, now_us);
		return st;
	}
	ds->watching = 0;
	ds->retry_us = now_us;
	if (!ds->is_seed)
		ds->no_roster_read_us = now_us + EB_DIST_NO_ROSTER_SPREAD_US;
	ds->retry_wait_us = EB_DIST_RETRY_MIN_US;
	for (i = 0; i < n && !st; i++)
		if (notes[i].index > ds->held.index)
			st = append(ds, notes[i].text, notes[i].bytes);
	if (index < ds->held.index) {
		ds->stats.stale++;
		/* A stale platform answers at once; wait before the retry. */
		ds->retry_us = now_us + EB_DIST_RETRY_MAX_US;
		if (ds->test_off & EB_DIST_OFF_PREFIX)
			truncate_log(ds, index);
		return EB_OK;
	}
	ds->fresh_us = now_us;
	ds->platform_read = 1;
	if (index > ds->platform_index)
		ds->platform_index = index;
	if (!ds->report_due) {
		ds->report_due = 1;
		/*
		 * After the delay the peers have the notes and do not all pull
		 * them from this daemon.
		 */
		if (ds->report_us < now_us + EB_DIST_REPORT_DELAY_US)
			ds->report_us = now_us + EB_DIST_REPORT_DELAY_US;
	}
	apply(ds);
	check_ready(ds);
	eb_dist_tick(ds, now_us);
	return st;
}

/* Records that a read of the platform failed; doubles the retry delay. */
void eb_dist_platform_failed(struct eb_dist *ds, int64_t now_us)
{
	ds->watching = 0;
	ds->retry_us = now_us + ds->retry_wait_us +
		       eb_rand_below(&ds->rand, EB_DIST_RETRY_MIN_US);
	ds->retry_wait_us *= 2;
	if (ds->retry_wait_us > EB_DIST_RETRY_MAX_US)
		ds->retry_wait_us = EB_DIST_RETRY_MAX_US;
	if (!ds->is_seed)
		ds->no_roster_read_us = now_us + EB_DIST_NO_ROSTER_SPREAD_US;
}

/*
 * Stores a copy of the configuration in force as text, in response to
 * EB_ACTION_SNAPSHOT_WANTED. It must be the state after the last note applied.
 * Returns EB_EINVAL when it is empty or too long, or EB_ENOMEM.
 */
enum eb_status eb_dist_set_snapshot(struct eb_dist *ds, const void *data,
				    uint32_t bytes, int64_t now_us)
{
	uint8_t *copy;

	if (!bytes || bytes > EB_DIST_SNAPSHOT_MAX_BYTES)
		return EB_EINVAL;
	copy = malloc(bytes);
	if (!copy)
		return EB_ENOMEM;
	memcpy(copy, data, bytes);
	free(ds->snapshot);
	ds->snapshot = copy;
	ds->snapshot_bytes = bytes;
	ds->snapshot_hash = XXH64(data, bytes, 0);
	ds->snapshot_position = ds->force;
	ds->snapshot_used_us = now_us;
	return EB_OK;
}

/* Requests digests of the neighbours, and of seeds without roster or log. */
static void request_digests(struct eb_dist *ds, int64_t now_us)
{
	uint32_t i;

	ds->ask_us = now_us + (self(ds) == EB_NONE && ds->ready
				       ? 4 * EB_DIST_ASK_PERIOD_US
				       : EB_DIST_ASK_PERIOD_US);
	if (self(ds) == EB_NONE || !ds->held.index)
		for (i = 0; i < ds->seed_count; i++)
			send_digest(ds, ds->seeds[i], FLAG_WANT, now_us);
	for (i = 0; i < ds->peer_count; i++)
		digest_to(ds, ds->peers[i].member, FLAG_WANT, now_us);
}

/*
 * Requests a digest of a random member of each other group that is not known
 * to be ready, in case no daemon of the own group has a log.
 */
static void request_group_digests(struct eb_dist *ds, int64_t now_us)
{
	const struct eb_roster *ro = roster(ds);
	uint32_t g;

	ds->ask_groups_us = now_us + ds->ask_groups_wait_us;
	ds->ask_groups_wait_us *= 2;
	if (ds->ask_groups_wait_us > EB_DIST_ASK_GROUPS_MAX_US)
		ds->ask_groups_wait_us = EB_DIST_ASK_GROUPS_MAX_US;
	for (g = 0; g < ro->group_count; g++) {
		const struct eb_roster_set *s = &ro->groups[g];

		if (g != ro->members[self(ds)].group && !ds->group_ready[g])
			digest_to(ds,
				  s->order[eb_rand_below(&ds->rand, s->count)],
				  FLAG_WANT, now_us);
	}
}

/* Sends digests to the peers and links after the log has grown. */
static void announce(struct eb_dist *ds, int64_t now_us)
{
	uint32_t i;

	ds->announce = 0;
	ds->announce_us = now_us + EB_DIST_ANNOUNCE_GAP_US;
	for (i = 0; i < ds->peer_count; i++)
		digest_to(ds, ds->peers[i].member, 0, now_us);
	for (i = 0; i < ds->link_count; i++)
		if (!ds->links[i].crossing || !ds->links[i].rank)
			digest_to(ds, ds->links[i].member, 0, now_us);
}

/* Sends periodic digests, which repair lost announcements. */
static void send_periodic_digests(struct eb_dist *ds, int64_t now_us)
{
	uint32_t i;

	ds->digest_us += EB_DIST_DIGEST_PERIOD_US;
	if (ds->digest_us < now_us)
		ds->digest_us = now_us + EB_DIST_DIGEST_PERIOD_US;
	if (ds->test_off & EB_DIST_OFF_REPAIR)
		return;
	for (i = 0; i < EB_DIST_DIGEST_FANOUT && i < ds->peer_count; i++)
		digest_to(ds, ds->peers[ds->turn++ % ds->peer_count].member, 0,
			  now_us);
	for (i = 0; i < ds->link_count; i++)
		digest_to(ds, ds->links[i].member, 0, now_us);
}

/* Handles overdue pulls and pieces, and frees an unused snapshot. */
static void check_timeouts(struct eb_dist *ds, int64_t now_us)
{
	if (ds->pull.due_us && now_us >= ds->pull.due_us) {
		ds->pull.due_us = 0;
		ds->stats.pull_timeouts++;
		if (ds->other.index > ds->held.index)
			send_pull(ds, &ds->other, now_us);
		ds->other.index = 0;
	}
	if (ds->crossing.index && now_us >= ds->crossing.due_us) {
		if (ds->crossing.index > ds->held.index && !ds->pull.due_us)
			send_pull(ds, &ds->crossing, now_us);
		ds->crossing.index = 0;
	}
	if (ds->fetch.data && now_us >= ds->fetch.deadline_us) {
		if (++ds->fetch.tries > FETCH_TRIES_MAX)
			drop_fetch(ds);
		else
			request_piece(ds, now_us);
	}
	if (ds->snapshot &&
	    now_us - ds->snapshot_used_us > EB_DIST_SNAPSHOT_IDLE_US) {
		free(ds->snapshot);
		ds->snapshot = NULL;
	}
}

/* Performs the actions that are due. Call it at least every 100 ms. */
void eb_dist_tick(struct eb_dist *ds, int64_t now_us)
{
	if (roster(ds) &&
	    (ds->epoch != ds->member->epoch || now_us >= ds->refresh_us))
		refresh(ds, now_us);
	check_timeouts(ds, now_us);
	if (ds->announce && now_us >= ds->announce_us)
		announce(ds, now_us);
	if (ds->report_due && now_us >= ds->report_us)
		report_read(ds, now_us);
	if (now_us >= ds->digest_us)
		send_periodic_digests(ds, now_us);
	if ((!ds->ready || self(ds) == EB_NONE ||
	     ds->force.index < ds->held.index) &&
	    now_us >= ds->ask_us)
		request_digests(ds, now_us);
	if (!ds->ready && self(ds) != EB_NONE && now_us >= ds->ask_groups_us)
		request_group_digests(ds, now_us);
	update_watch(ds, now_us);
	apply(ds);
	check_ready(ds);
}

/* Returns the memory in use, in bytes. */
size_t eb_dist_bytes(const struct eb_dist *ds)
{
	return sizeof(*ds) + ds->capacity * sizeof(*ds->notes) +
	       ds->tail_bytes + ds->snapshot_bytes + ds->fetch.bytes +
	       ds->partial_total;
}
