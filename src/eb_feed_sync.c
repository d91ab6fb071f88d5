#include "eb_feed_sync.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_config.h"
#include "eb_feed_relay.h"
#include "eb_feed_wire.h"
#include "eb_tunables.h"

/* A change that is being received in parts, in their order. */
struct assembly {
	struct eb_feed_part_head head; /* of the first part */
	uint8_t *data;		       /* NULL: none */
	uint32_t have_bytes;
	int64_t progress_us;
};

/* A change of several parts, kept for daemons that request them. */
struct packed {
	uint64_t wanted_after; /* as requested */
	uint64_t after;	       /* that it starts from; 0: it is full */
	uint64_t revision;
	uint8_t *data; /* NULL: none */
	uint32_t bytes;
	uint8_t held; /* names how long a hold lasts: only for a request going
			 on */
	int64_t used_us;
};

/* What is known of the items in this daemon's copy. */
enum trust {
	/* From a read that may be stale: some items may be missing. */
	TRUST_NONE,
	/* It differs from the copy of a daemon that reads the source. */
	TRUST_REFUTED,
	/* From the source or from a daemon whose copy is verified. */
	TRUST_VERIFIED
};

struct member {
	struct eb_feed_sync_member info;
	uint64_t revision;
	uint32_t digest;    /* of its copy; 0: unknown */
	uint32_t link_mbps; /* of its machine; 0: unknown */
	uint8_t unverified;
	uint8_t knows_eras;
	int64_t heard_us; /* 0: never */
	int64_t read_us;  /* its last read, on this daemon's clock; 0: none */
	int64_t pushed_us;
	int64_t behind_since_us; /* its revision is older since; 0: it is not */
};

struct eb_feed_sync {
	struct eb_feed_sync_callbacks out;
	struct eb_feed *feed;
	struct eb_feed_relay *relay;
	uint64_t own_order;
	struct member *members; /* sorted by `info.order` */
	uint32_t count;
	uint32_t *by_node; /* node -> index in `members`, or EB_NONE */
	uint32_t node_count;
	uint32_t own_rank; /* members before this daemon in the order */
	uint32_t link_mbps;
	int64_t start_us;
	int64_t confirm_from_us;  /* the start, or the end of a pause */
	int64_t resumed_us;	  /* the end of a pause; 0: there was none */
	uint8_t old_call;	  /* a call may be from before the pause */
	int64_t read_us;	  /* last read that succeeded; 0: none */
	int64_t watched_until_us; /* see count_watched() */
	int64_t failing_since_us; /* since when reads fail; 0: they do not */
	int64_t requested_us;	  /* last request, or part received */
	uint32_t requested_node;  /* of the last request, or EB_NONE */
	uint8_t joining; /* the last request was for all items of a copy */
	struct assembly assembly;
	struct packed packed;
	int64_t shortage_since_us; /* too few fresh readers since; 0: enough */
	int64_t behind_since_us;   /* others are newer, without progress; 0 */
	uint64_t missed_revision;  /* of changes that started after the copy */
	uint8_t incomplete; /* the copy has grown since, but not up to these */
	uint8_t last_failed;
	uint8_t announced; /* others know whether this daemon's reads succeed */
	uint8_t confirmed; /* see eb_feed_sync_confirmed() */
	uint8_t trust;	   /* enum trust */
	int64_t refuted_us; /* last time that the copy was refuted; 0: never */
	uint32_t refutations;
	/* An unverified copy is ahead of a reader's since; 0: it is not. */
	int64_t ahead_since_us;
	uint8_t first_start; /* of the whole fleet */
	enum eb_source_mode mode;
};

/*
 * Creates an empty copy. `own_order` is this daemon's position in the order,
 * from eb_feed_sync_order(), and `own_position` the one on the ring, from
 * eb_feed_relay_position(); `first_start` says that the whole fleet starts for
 * the first time. Returns NULL when memory runs out.
 */
struct eb_feed_sync *eb_feed_sync_new(const struct eb_feed_sync_callbacks *out,
				      uint64_t own_order, uint64_t own_position,
				      int first_start, int64_t now_us)
{
	struct eb_feed_sync *sp = calloc(1, sizeof(*sp));

	if (!sp)
		return NULL;
	sp->out = *out;
	sp->own_order = own_order;
	sp->first_start = first_start != 0;
	sp->confirmed = first_start != 0;
	sp->start_us = now_us;
	sp->confirm_from_us = now_us;
	sp->requested_node = EB_NONE;
	sp->link_mbps = EB_LINK_DEFAULT_MBPS;
	sp->feed = eb_feed_new();
	sp->relay = eb_feed_relay_new(own_position);
	if (!sp->feed || !sp->relay) {
		eb_feed_sync_free(sp);
		return NULL;
	}
	eb_feed_set_compare(sp->feed, out->compare);
	return sp;
}

/* Frees the copy; NULL is allowed. */
void eb_feed_sync_free(struct eb_feed_sync *sp)
{
	if (!sp)
		return;
	eb_feed_free(sp->feed);
	eb_feed_relay_free(sp->relay);
	free(sp->members);
	free(sp->by_node);
	free(sp->assembly.data);
	free(sp->packed.data);
	free(sp);
}

/* Returns the pace of large changes over a link, in bytes per ms. */
static uint32_t pace(uint32_t mbps)
{
	return (uint32_t)((uint64_t)mbps * EB_LINK_BYTES_PER_MS *
			  EB_FEED_RELAY_SHARE_PERMILLE / 1000);
}

/* Sets the bandwidth of this machine's link in Mbit/s, for large changes. */
void eb_feed_sync_set_link(struct eb_feed_sync *sp, uint32_t mbps)
{
	sp->link_mbps = mbps;
}

/* Sets for how long the source lists an entry that is not renewed. */
void eb_feed_sync_set_lapse(struct eb_feed_sync *sp, uint32_t lapse_ms)
{
	eb_feed_set_lapse(sp->feed, lapse_ms);
}

/* Returns the copy of the items; never NULL. */
const struct eb_feed *eb_feed_sync_feed(const struct eb_feed_sync *sp)
{
	return sp->feed;
}

/* Returns a daemon's position in the order, a hash of its name. */
uint64_t eb_feed_sync_order(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static struct member *find(const struct eb_feed_sync *sp, uint32_t node)
{
	if (node >= sp->node_count || sp->by_node[node] == EB_NONE)
		return NULL;
	return &sp->members[sp->by_node[node]];
}

/*
 * Returns an empty index for the nodes of a list, and their number in
 * `*node_count`; NULL when memory runs out.
 */
static uint32_t *new_index(const struct eb_feed_sync_member *members,
			   uint32_t count, uint32_t *node_count)
{
	uint32_t i, nodes = 1;
	uint32_t *index;

	for (i = 0; i < count; i++)
		if (members[i].node >= nodes)
			nodes = members[i].node + 1;
	index = malloc(nodes * sizeof(*index));
	if (index)
		memset(index, 0xff, nodes * sizeof(*index));
	*node_count = nodes;
	return index;
}

static int compare_order(const void *a, const void *b)
{
	const struct member *x = a, *y = b;

	return (x->info.order > y->info.order) -
	       (x->info.order < y->info.order);
}

/* Gives the list of other daemons to the relay. */
static enum eb_status set_relay_members(struct eb_feed_sync *sp,
					const struct eb_feed_sync_member *from,
					uint32_t count)
{
	struct eb_feed_relay_member *list;
	enum eb_status st;
	uint32_t i;

	list = calloc(count ? count : 1, sizeof(*list));
	if (!list)
		return EB_ENOMEM;
	for (i = 0; i < count; i++) {
		list[i].node = from[i].node;
		list[i].position = from[i].position;
	}
	st = eb_feed_relay_set_members(sp->relay, list, count);
	free(list);
	return st;
}

/*
 * Replaces the list of other daemons. Members that were on the old list keep
 * their state. Returns EB_ENOMEM, with the old list kept, when memory runs out.
 */
enum eb_status
eb_feed_sync_set_members(struct eb_feed_sync *sp,
			 const struct eb_feed_sync_member *members,
			 uint32_t count)
{
	struct member *next = calloc(count ? count : 1, sizeof(*next));
	const struct member *old;
	uint32_t i, node_count, *by_node;

	by_node = new_index(members, count, &node_count);
	if (!next || !by_node || set_relay_members(sp, members, count)) {
		free(next);
		free(by_node);
		return EB_ENOMEM;
	}
	sp->own_rank = 0;
	for (i = 0; i < count; i++) {
		old = find(sp, members[i].node);
		if (old)
			next[i] = *old;
		next[i].info = members[i];
		sp->own_rank += members[i].order < sp->own_order;
	}
	qsort(next, count, sizeof(*next), compare_order);
	for (i = 0; i < count; i++)
		by_node[next[i].info.node] = i;
	free(sp->members);
	free(sp->by_node);
	sp->members = next;
	sp->count = count;
	sp->by_node = by_node;
	sp->node_count = node_count;
	return EB_OK;
}

/*
 * Tells whether a daemon is among the first EB_FEED_SYNC_READERS + 1 others in
 * the order: these include the daemons that read the source in normal
 * operation. All daemons listen to them.
 */
int eb_feed_sync_is_reader(const struct eb_feed_sync *sp, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < sp->count && i <= EB_FEED_SYNC_READERS; i++)
		if (sp->members[i].info.node == node)
			return 1;
	return 0;
}

/*
 * Returns the age of this daemon's last up-to-date read of the source in
 * milliseconds, or UINT32_MAX when there was none or the last one failed.
 */
static uint32_t read_age_ms(const struct eb_feed_sync *sp, int64_t now_us)
{
	if (!sp->read_us || sp->last_failed)
		return UINT32_MAX;
	return (uint32_t)((now_us - sp->read_us) / 1000);
}

/* Says what others need to know of this copy. */
void eb_feed_sync_state(const struct eb_feed_sync *sp, int64_t now_us,
			struct eb_feed_state *out)
{
	out->revision = eb_feed_revision(sp->feed);
	out->digest = eb_feed_digest(sp->feed);
	out->read_age_ms = read_age_ms(sp, now_us);
	out->unverified = sp->trust != TRUST_VERIFIED;
	out->link_mbps = sp->link_mbps;
	out->knows_eras = 1;
}

/*
 * Returns what a copy at revision `after` lacks, packed, or NULL when it is too
 * large or memory runs out. A change of several parts is kept, so that they are
 * parts of the same one: the one for `revision` if it is asked for again, or
 * else the newest. Valid until the next call.
 */
static const struct packed *pack(struct eb_feed_sync *sp, uint64_t after,
				 uint64_t revision, int64_t now_us)
{
	struct packed *pd = &sp->packed;

	if (pd->data && pd->wanted_after == after &&
	    (pd->revision == revision ||
	     (pd->revision == eb_feed_revision(sp->feed) && !pd->held))) {
		pd->used_us = now_us;
		return pd;
	}
	free(pd->data);
	pd->data = NULL;
	if (eb_feed_pack(sp->feed, after, now_us, &pd->data, &pd->bytes))
		return NULL;
	pd->wanted_after = after;
	pd->after = eb_feed_start_of_change(sp->feed, after);
	pd->revision = eb_feed_revision(sp->feed);
	pd->held = eb_feed_hold_ms(sp->feed, now_us) > 0;
	pd->used_us = now_us;
	return pd;
}

/* Frees the packed change when no part of it was requested for a while. */
static void drop_packed(struct eb_feed_sync *sp, int64_t now_us)
{
	if (!sp->packed.data ||
	    (sp->packed.bytes > EB_FEED_PART_BYTES &&
	     now_us - sp->packed.used_us < EB_FEED_SYNC_PACKED_MS * 1000LL))
		return;
	free(sp->packed.data);
	sp->packed.data = NULL;
}

/*
 * Builds the payload with the part of a packed change at an offset, after
 * `lead_bytes` of space. Returns its length, or 0 without memory. The caller
 * frees `*out`.
 */
static uint32_t make_part(const struct packed *pd, uint32_t offset_bytes,
			  uint32_t lead_bytes, uint8_t **out)
{
	struct eb_feed_part_head head = { 0 };
	uint32_t n = pd->bytes - offset_bytes;
	uint8_t *p;

	if (n > EB_FEED_PART_BYTES)
		n = EB_FEED_PART_BYTES;
	p = malloc(lead_bytes + sizeof(head) + n);
	if (!p)
		return 0;
	head.after = pd->after;
	head.revision = pd->revision;
	head.total_bytes = pd->bytes;
	head.offset_bytes = offset_bytes;
	memcpy(p + lead_bytes, &head, sizeof(head));
	memcpy(p + lead_bytes + sizeof(head), pd->data + offset_bytes, n);
	*out = p;
	return lead_bytes + (uint32_t)sizeof(head) + n;
}

/*
 * Tells whether the changes after `after` may be sent to a single daemon now.
 * Large ones have to wait: the daemon requests them again, from another.
 */
static int may_send(const struct eb_feed_sync *sp, uint64_t after,
		    int64_t now_us)
{
	return eb_feed_relay_has_room(sp->relay, now_us) ||
	       eb_feed_bytes_after(sp->feed, after) <= EB_FEED_SYNC_SMALL_BYTES;
}

/*
 * Builds the payload for a daemon that lacks changes: the part that it asks
 * for, if that change is still packed, or else the first part of what it lacks.
 * Counts a large one. Returns its length, or 0 when it has to wait, is too
 * large, or memory runs out.
 */
static uint32_t make_single_part(struct eb_feed_sync *sp,
				 const struct eb_feed_request *rq,
				 int64_t now_us, uint8_t **out)
{
	const struct packed *pd;
	uint32_t offset = 0, n;

	if (sp->trust != TRUST_VERIFIED ||
	    !may_send(sp, rq->own_revision, now_us))
		return 0;
	pd = pack(sp, rq->own_revision, rq->part_revision, now_us);
	if (!pd)
		return 0;
	if (pd->revision == rq->part_revision &&
	    rq->part_offset_bytes < pd->bytes)
		offset = rq->part_offset_bytes;
	n = make_part(pd, offset, 1, out);
	if (n)
		(*out)[0] = EB_FEED_CHANGE;
	if (n > EB_FEED_SYNC_SMALL_BYTES)
		eb_feed_relay_sent(sp->relay, n, pace(sp->link_mbps), now_us);
	return n;
}

/* Sends a member the changes after the revision `after`. */
static void push(struct eb_feed_sync *sp, struct member *mb, uint64_t after,
		 int64_t now_us)
{
	struct eb_feed_request rq = { after, 0, 0, 0 };
	uint8_t *data;
	uint32_t n = make_single_part(sp, &rq, now_us, &data);

	if (!n)
		return;
	mb->pushed_us = now_us;
	sp->out.send(sp->out.ctx, mb->info.node, data, n);
	free(data);
}

/* Sends a change to all members with an older revision. */
static void send_directly(struct eb_feed_sync *sp, const uint8_t *data,
			  uint32_t bytes, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < sp->count; i++) {
		if (sp->members[i].revision >= eb_feed_revision(sp->feed))
			continue;
		sp->members[i].pushed_us = now_us;
		sp->out.send(sp->out.ctx, sp->members[i].info.node, data,
			     bytes);
	}
}

/* Returns the pace of large changes to a member: the narrower link counts. */
static uint32_t pace_to(const struct eb_feed_sync *sp, uint32_t node)
{
	const struct member *mb = find(sp, node);
	uint32_t mbps =
		mb && mb->link_mbps ? mb->link_mbps : EB_LINK_DEFAULT_MBPS;

	return pace(mbps < sp->link_mbps ? mbps : sp->link_mbps);
}

/* Sends the copies of relayed changes that are due. */
static void run_relay(struct eb_feed_sync *sp, int64_t now_us)
{
	struct eb_feed_relay_copy c;
	uint8_t *data;

	while (eb_feed_relay_next(sp->relay, sp->out.reachable, sp->out.ctx,
				  now_us, &c)) {
		data = malloc(EB_FEED_RELAY_HEAD_BYTES + c.bytes);
		if (!data)
			return;
		data[0] = EB_FEED_RELAY;
		memcpy(data + 1, &c.end, sizeof(c.end));
		memcpy(data + EB_FEED_RELAY_HEAD_BYTES, c.data, c.bytes);
		sp->out.send(sp->out.ctx, c.node, data,
			     EB_FEED_RELAY_HEAD_BYTES + c.bytes);
		eb_feed_relay_sent(sp->relay, c.bytes, pace_to(sp, c.node),
				   now_us);
		free(data);
	}
}

/* Tells whether a member is alive and has read the source recently. */
static int is_fresh(const struct member *mb, int64_t now_us)
{
	return mb->heard_us && mb->read_us &&
	       now_us - mb->heard_us < EB_FEED_SYNC_UNRESPONSIVE_MS * 1000LL &&
	       now_us - mb->read_us < EB_FEED_SYNC_FRESH_MS * 1000LL;
}

/*
 * Returns how many readers before this daemon in the order are working. Those
 * that know no eras cannot go on from a revision that has one.
 */
static uint32_t readers_before(const struct eb_feed_sync *sp, int64_t now_us)
{
	int eras = eb_feed_era(eb_feed_revision(sp->feed)) > 0;
	uint32_t i, n = 0;

	for (i = 0; i < sp->own_rank && i < sp->count; i++)
		n += is_fresh(&sp->members[i], now_us) &&
		     (!eras || sp->members[i].knows_eras);
	return n;
}

/*
 * Sends all members this daemon's revision and the age of its last read, unless
 * its copy may lack items of the revision.
 */
static void send_state(struct eb_feed_sync *sp, int64_t now_us)
{
	struct eb_feed_reader_state rs = { sp->own_order,
					   eb_feed_revision(sp->feed),
					   read_age_ms(sp, now_us),
					   eb_feed_digest(sp->feed) };
	uint8_t data[1 + sizeof(rs)];
	uint32_t i;

	if (sp->trust != TRUST_VERIFIED)
		return;
	data[0] = EB_FEED_STATE;
	memcpy(data + 1, &rs, sizeof(rs));
	for (i = 0; i < sp->count; i++)
		sp->out.send(sp->out.ctx, sp->members[i].info.node, data,
			     sizeof(data));
}

/* Starts to relay all parts of a packed change. */
static void relay_parts(struct eb_feed_sync *sp, const struct packed *pd,
			int64_t start_us)
{
	uint32_t offset, part = 0, n;
	uint8_t *data;

	for (offset = 0; offset < pd->bytes; offset += EB_FEED_PART_BYTES) {
		n = make_part(pd, offset, 0, &data);
		if (!n)
			return;
		eb_feed_relay_start(sp->relay, data, n, pd->revision, ++part,
				    start_us);
		free(data);
	}
}

/*
 * Sends the changes after `after` to all members: small ones directly, large
 * ones by relay. The first reader starts it, and another one only when nothing
 * was received from the first meanwhile. What is too large for a relay is
 * requested by each member.
 */
static void push_all(struct eb_feed_sync *sp, uint64_t after, int64_t now_us)
{
	const struct packed *pd = pack(sp, after, 0, now_us);
	uint8_t *data;
	uint32_t n;

	if (!pd || pd->bytes > EB_FEED_RELAYS_MAX * EB_FEED_PART_BYTES) {
		send_state(sp, now_us);
		return;
	}
	if ((uint64_t)pd->bytes * sp->count <= EB_FEED_SYNC_DIRECT_BYTES) {
		n = make_part(pd, 0, 1, &data);
		if (!n)
			return;
		data[0] = EB_FEED_CHANGE;
		send_directly(sp, data, n, now_us);
		free(data);
	} else {
		relay_parts(sp, pd,
			    now_us + readers_before(sp, now_us) *
					     EB_FEED_SYNC_BACKUP_MS * 1000LL);
	}
	run_relay(sp, now_us);
}

/* Builds a request for what this copy lacks. */
static void make_request(const struct eb_feed_sync *sp, uint8_t *data)
{
	struct eb_feed_request rq = { eb_feed_revision(sp->feed), 0, 0, 0 };

	if (sp->joining)
		rq.own_revision = 0;
	if (sp->assembly.data) {
		rq.part_revision = sp->assembly.head.revision;
		rq.part_offset_bytes = sp->assembly.have_bytes;
	}
	data[0] = EB_FEED_REQUEST;
	memcpy(data + 1, &rq, sizeof(rq));
}

/*
 * Requests the changes after this copy's revision from a member, or all items
 * if that is not enough: when this copy is refuted, or when `join` says that
 * both know items of an earlier era that the other one may not.
 */
static void request(struct eb_feed_sync *sp, const struct member *mb, int join,
		    int64_t now_us)
{
	uint8_t data[EB_FEED_REQUEST_BYTES];

	sp->requested_us = now_us;
	sp->requested_node = mb->info.node;
	sp->joining = join || sp->trust == TRUST_REFUTED;
	make_request(sp, data);
	sp->out.send(sp->out.ctx, mb->info.node, data, sizeof(data));
}

/* Records that the copy is that of the source at its revision. */
static void verify(struct eb_feed_sync *sp)
{
	sp->trust = TRUST_VERIFIED;
	sp->ahead_since_us = 0;
}

/*
 * Records that a daemon with a verified copy shows another one at the same
 * revision. Only once in EB_FEED_SYNC_REFUTE_MS, so that two readers that
 * disagree do not make everybody fetch all items again and again.
 */
static void refute(struct eb_feed_sync *sp, int64_t now_us)
{
	if (sp->trust == TRUST_REFUTED ||
	    (sp->refuted_us &&
	     now_us - sp->refuted_us < EB_FEED_SYNC_REFUTE_MS * 1000LL))
		return;
	sp->trust = TRUST_REFUTED;
	sp->refuted_us = now_us;
	sp->refutations++;
}

/*
 * Compares the copy with a digest of the one that it should equal, 0 if that is
 * not known. Returns 1 if they are equal, 0 if that cannot be told.
 */
static int check_digest(struct eb_feed_sync *sp, uint32_t digest,
			int64_t now_us)
{
	uint32_t own = eb_feed_digest(sp->feed);

	if (!own || !digest)
		return 0;
	if (own == digest)
		return 1;
	refute(sp, now_us);
	return 0;
}

/*
 * Tells whether a full change replaces the copy even if its revision is not
 * newer. What another daemon sends may have been on its way for long: an older
 * one is taken only for a copy that is known to be wrong.
 */
static int replaces_copy(const struct eb_feed_sync *sp,
			 const struct eb_feed_change *ch, int from_source)
{
	if (!ch->full || sp->trust == TRUST_VERIFIED)
		return 0;
	return from_source || sp->trust == TRUST_REFUTED ||
	       ch->revision >= eb_feed_revision(sp->feed);
}

/*
 * Applies a change to the copy, or replaces one that is not verified by a full
 * change. `from_source` says that it was read there just now. Errors are those
 * of eb_feed_apply().
 */
static enum eb_status apply(struct eb_feed_sync *sp,
			    const struct eb_feed_change *ch, int from_source,
			    int64_t now_us, int *changed)
{
	enum eb_status st;

	if (replaces_copy(sp, ch, from_source))
		st = eb_feed_replace(sp->feed, ch, now_us, changed);
	else
		st = eb_feed_apply(sp->feed, ch, now_us, changed);
	if (st)
		return st;
	/* What follows an unverified copy does not complete it. */
	if (ch->full || (from_source && sp->trust == TRUST_VERIFIED))
		verify(sp);
	if (!from_source && check_digest(sp, ch->digest, now_us))
		verify(sp);
	return EB_OK;
}

/*
 * Records whether a read succeeded. When that changes, and when it begins to
 * read, a reader notifies the other daemons at once, since they choose by it
 * whether to read.
 */
static void record_result(struct eb_feed_sync *sp, int failed, int stale,
			  int64_t now_us)
{
	int notify = sp->mode == EB_SOURCE_WATCH && sp->count && !stale &&
		     (sp->last_failed != failed || !sp->announced);

	sp->last_failed = (uint8_t)failed;
	if (!failed && !stale)
		sp->read_us = now_us;
	if (!notify)
		return;
	sp->announced = 1;
	send_state(sp, now_us);
}

/* Records that the copy has reached a newer revision. */
static void record_progress(struct eb_feed_sync *sp)
{
	sp->behind_since_us = 0;
	sp->incomplete = sp->missed_revision > eb_feed_revision(sp->feed);
}

/* Tells whether reads had failed for long before one that succeeded. */
static int is_outage_over(const struct eb_feed_sync *sp, int64_t now_us)
{
	return sp->failing_since_us &&
	       now_us - sp->failing_since_us >= EB_FEED_SYNC_OUTAGE_MS * 1000LL;
}

/* Tells whether the source has lost changes since this copy was read. */
static int enters_era(const struct eb_feed_sync *sp,
		      const struct eb_feed_change *ch)
{
	uint64_t own = eb_feed_revision(sp->feed);

	return own && eb_feed_era(ch->revision) > eb_feed_era(own);
}

/*
 * Applies the result of a call to the source. After an outage of the source
 * of at least EB_FEED_SYNC_OUTAGE_MS, and after it has lost changes, removed
 * items count as present for EB_FEED_HOLD_MS: their entries may have expired
 * or may be lost, and come back.
 */
void eb_feed_sync_report(struct eb_feed_sync *sp,
			 const struct eb_source_report *rp, int64_t now_us)
{
	struct eb_feed_change ch = rp->change;
	uint64_t before = eb_feed_revision(sp->feed);
	int verified_before = sp->trust == TRUST_VERIFIED;
	enum eb_status st;
	int changed = 0;

	record_result(sp, rp->failed, rp->stale, now_us);
	if (rp->failed) {
		sp->old_call = 0;
		if (!sp->failing_since_us)
			sp->failing_since_us = now_us;
		return;
	}
	if (is_outage_over(sp, now_us) || enters_era(sp, &ch))
		ch.hold_ms = EB_FEED_HOLD_MS;
	else
		ch.hold_ms = eb_feed_hold_ms(sp->feed, now_us);
	sp->failing_since_us = 0;
	if (rp->stale)
		st = sp->trust == TRUST_NONE
			     ? eb_feed_apply(sp->feed, &ch, now_us, &changed)
			     : EB_ENOTFOUND;
	else
		st = apply(sp, &ch, 1, now_us, &changed);
	if (st && st != EB_ENOTFOUND) {
		/* What the source gave is not stored, but was read. */
		sp->refuted_us = 0;
		refute(sp, now_us);
	} else if (!rp->stale) {
		sp->confirmed |= !sp->old_call;
		sp->old_call = 0;
	}
	if (st)
		return;
	record_progress(sp);
	if (changed)
		sp->out.changed(sp->out.ctx);
	/* During the first start every daemon reads, so nothing is pushed. */
	if (sp->mode != EB_SOURCE_WATCH)
		return;
	/* A read of all items: others request what they lack. */
	if (before && verified_before)
		push_all(sp, before, now_us);
	else
		send_state(sp, now_us);
}

/*
 * Tells whether this daemon sends an outdated member what it lacks. A member
 * normally requests it on its own. One that has no member list yet receives
 * it from readers and from the EB_FEED_SYNC_SENDERS daemons before it in the
 * order, and from every daemon after EB_FEED_SYNC_BEHIND_MS.
 */
static int should_push(const struct eb_feed_sync *sp, const struct member *mb,
		       int64_t now_us)
{
	uint32_t rank = (uint32_t)(mb - sp->members);
	uint32_t steps = (rank + sp->count - sp->own_rank) % sp->count;

	if (now_us - mb->pushed_us < EB_FEED_SYNC_RESEND_MS * 1000LL)
		return 0;
	if (mb->revision &&
	    now_us - mb->behind_since_us < EB_FEED_SYNC_PATIENCE_MS * 1000LL)
		return 0;
	return sp->mode == EB_SOURCE_WATCH || steps < EB_FEED_SYNC_SENDERS ||
	       now_us - mb->behind_since_us >= EB_FEED_SYNC_BEHIND_MS * 1000LL;
}

/*
 * Tells whether this daemon requests the changes that it lacks. Normally they
 * are on their way. They are not when the daemon has just started, or when they
 * arrived before the ones that they continue.
 */
static int should_request(const struct eb_feed_sync *sp, int64_t now_us)
{
	int64_t patience_us = EB_FEED_SYNC_PATIENCE_MS * 1000LL;

	if (!sp->confirmed || !eb_feed_revision(sp->feed) || sp->incomplete)
		return now_us - sp->requested_us >=
		       EB_FEED_SYNC_RESEND_MS * 1000LL;
	return now_us - sp->behind_since_us >= patience_us &&
	       now_us - sp->requested_us >= patience_us;
}

/*
 * Compares this copy with that of a member. One that reads the source refutes
 * this copy if it has another one at the same revision, or if an unverified
 * copy here stays ahead of it.
 */
static void compare_copies(struct eb_feed_sync *sp, const struct member *mb,
			   int64_t now_us)
{
	uint64_t own = eb_feed_revision(sp->feed);

	if (!own || mb->unverified)
		return;
	if (mb->revision == own && mb->digest == eb_feed_digest(sp->feed) &&
	    mb->digest) {
		verify(sp);
		return;
	}
	if (!is_fresh(mb, now_us))
		return;
	if (mb->revision == own) {
		check_digest(sp, mb->digest, now_us);
	} else if (mb->revision < own && sp->trust == TRUST_NONE &&
		   mb->digest) {
		if (!sp->ahead_since_us)
			sp->ahead_since_us = now_us;
		if (now_us - sp->ahead_since_us >=
		    EB_FEED_SYNC_PATIENCE_MS * 1000LL)
			refute(sp, now_us);
	}
}

/*
 * Tells whether to request all items from a member, as this copy lacks some of
 * its own revision. A daemon that reads the source reads them there.
 */
static int should_replace(const struct eb_feed_sync *sp,
			  const struct member *mb, int64_t now_us)
{
	return sp->trust == TRUST_REFUTED && sp->mode != EB_SOURCE_WATCH &&
	       is_fresh(mb, now_us) &&
	       now_us - sp->requested_us >= EB_FEED_SYNC_RESEND_MS * 1000LL;
}

/*
 * Tells whether to request all items from a member whose copy differs at the
 * same revision. That may be so for long once the source has lost changes:
 * what it shows is not all that one of them knows.
 */
static int should_join(const struct eb_feed_sync *sp, const struct member *mb,
		       int64_t now_us)
{
	uint64_t own = eb_feed_revision(sp->feed);
	uint32_t digest = eb_feed_digest(sp->feed);

	return eb_feed_era(own) && mb->revision == own && !mb->unverified &&
	       mb->digest && digest && mb->digest != digest &&
	       now_us - sp->requested_us >= EB_FEED_SYNC_PATIENCE_MS * 1000LL;
}

/*
 * Updates a member's state. Requests changes from a member with a newer
 * revision and sends them to one with an older revision. The revision of a copy
 * that is not verified shows nothing that this one lacks.
 */
static void update_member(struct eb_feed_sync *sp, struct member *mb,
			  const struct eb_feed_state *state, int64_t now_us)
{
	uint64_t own = eb_feed_revision(sp->feed);
	uint64_t revision = state->revision;
	int join, lacks;

	mb->revision = revision;
	mb->digest = state->digest;
	mb->unverified = state->unverified;
	mb->knows_eras |= state->knows_eras;
	if (state->link_mbps)
		mb->link_mbps = state->link_mbps;
	mb->heard_us = now_us;
	mb->read_us = state->read_age_ms == UINT32_MAX
			      ? 0
			      : now_us - state->read_age_ms * 1000LL;
	if (revision >= own)
		mb->behind_since_us = 0;
	else if (!mb->behind_since_us)
		mb->behind_since_us = now_us;
	compare_copies(sp, mb, now_us);
	if (revision > own && !mb->unverified && !sp->behind_since_us)
		sp->behind_since_us = now_us;
	join = should_join(sp, mb, now_us);
	lacks = join || should_replace(sp, mb, now_us) ||
		(revision > own && should_request(sp, now_us));
	if (lacks && !mb->unverified)
		request(sp, mb, join, now_us);
	else if (revision < own && should_push(sp, mb, now_us))
		push(sp, mb, revision, now_us);
}

/* Records what a daemon says of its copy. Unknown daemons are ignored. */
void eb_feed_sync_update_member(struct eb_feed_sync *sp, uint32_t node,
				const struct eb_feed_state *state,
				int64_t now_us)
{
	struct member *mb = find(sp, node);

	if (mb)
		update_member(sp, mb, state, now_us);
}

static void receive_state(struct eb_feed_sync *sp, const uint8_t *data,
			  int64_t now_us)
{
	struct eb_feed_state state = { 0 };
	struct eb_feed_reader_state rs;
	uint32_t i;

	memcpy(&rs, data, sizeof(rs));
	state.revision = rs.revision;
	state.read_age_ms = rs.read_age_ms;
	state.digest = rs.digest;
	for (i = 0; i < sp->count; i++)
		if (sp->members[i].info.order == rs.order)
			update_member(sp, &sp->members[i], &state, now_us);
}

/* Applies a packed change that has been received completely. */
static enum eb_status apply_packed(struct eb_feed_sync *sp, const void *data,
				   uint32_t bytes, int64_t now_us)
{
	struct eb_feed_change ch = { 0 };
	uint64_t before = eb_feed_revision(sp->feed);
	enum eb_status st = eb_feed_unpack(data, bytes, &ch);
	int changed = 0;

	if (st)
		return st;
	st = apply(sp, &ch, 0, now_us, &changed);
	if (st == EB_EAGAIN && ch.revision > sp->missed_revision)
		sp->missed_revision = ch.revision;
	if (ch.full)
		sp->joining = 0;
	eb_feed_change_clear(&ch);
	if (eb_feed_revision(sp->feed) > before)
		record_progress(sp);
	if (changed)
		sp->out.changed(sp->out.ctx);
	return st == EB_ENOTFOUND ? EB_OK : st;
}

static void drop_assembly(struct eb_feed_sync *sp)
{
	free(sp->assembly.data);
	sp->assembly.data = NULL;
	sp->assembly.have_bytes = 0;
}

/*
 * Tells whether a change of several parts brings nothing: the copy is at its
 * revision or a newer one, and all items were not requested.
 */
static int is_obsolete(const struct eb_feed_sync *sp,
		       const struct eb_feed_part_head *head)
{
	uint64_t own = eb_feed_revision(sp->feed);

	if (sp->joining && !head->after)
		return sp->trust != TRUST_REFUTED && head->revision < own;
	return head->revision <= own;
}

/* Tells whether a part belongs to the change that is being received. */
static int is_expected(const struct assembly *as,
		       const struct eb_feed_part_head *head)
{
	return as->data && as->head.after == head->after &&
	       as->head.revision == head->revision &&
	       as->head.total_bytes == head->total_bytes;
}

/*
 * Appends a part to the change that is being received. Returns 1 when that is
 * complete, 0 when parts are missing, -1 for a part that is not the next one.
 * A change that has made no progress for EB_FEED_SYNC_PATIENCE_MS makes way for
 * the first part of another one.
 */
static int append_part(struct eb_feed_sync *sp,
		       const struct eb_feed_part_head *head,
		       const uint8_t *data, uint32_t bytes, int64_t now_us)
{
	struct assembly *as = &sp->assembly;
	uint8_t *p;

	if (!is_expected(as, head)) {
		if (head->offset_bytes ||
		    (as->data && now_us - as->progress_us <
					 EB_FEED_SYNC_PATIENCE_MS * 1000LL))
			return -1;
		drop_assembly(sp);
		as->head = *head;
	}
	/* A first part that comes again is from a daemon that pushes it. */
	if (head->offset_bytes != as->have_bytes)
		return head->offset_bytes ? -1 : 0;
	p = realloc(as->data, as->have_bytes + bytes);
	if (!p)
		return -1;
	memcpy(p + as->have_bytes, data, bytes);
	as->data = p;
	as->have_bytes += bytes;
	as->progress_us = now_us;
	/* More is on its way. */
	sp->requested_us = now_us;
	if (sp->behind_since_us)
		sp->behind_since_us = now_us;
	return as->have_bytes == head->total_bytes;
}

/* Reads and checks the head of a part; returns EB_EPARSE for a bad one. */
static enum eb_status read_part_head(const uint8_t *data, uint32_t bytes,
				     struct eb_feed_part_head *head)
{
	if (bytes <= sizeof(*head))
		return EB_EPARSE;
	memcpy(head, data, sizeof(*head));
	if (head->total_bytes > EB_FEED_PACKED_MAX_BYTES ||
	    head->offset_bytes > head->total_bytes ||
	    bytes - sizeof(*head) > head->total_bytes - head->offset_bytes)
		return EB_EPARSE;
	return EB_OK;
}

/*
 * Handles a part of a packed change, and passes it on up to the position `*end`
 * unless `end` is NULL. Then the sender is asked for the next part, if there is
 * one, in `*reply`.
 */
static enum eb_status receive_part(struct eb_feed_sync *sp, const uint8_t *data,
				   uint32_t bytes, const uint64_t *end,
				   int64_t now_us, uint8_t **reply,
				   uint32_t *reply_bytes)
{
	struct eb_feed_part_head head;
	enum eb_status st = read_part_head(data, bytes, &head);
	uint32_t n = bytes - (uint32_t)sizeof(head);

	if (st)
		return st;
	if (end) {
		/* A part that is not new has been passed on before. */
		eb_feed_relay_pass_on(sp->relay, data, bytes, head.revision,
				      head.offset_bytes / EB_FEED_PART_BYTES +
					      1,
				      *end, now_us);
		run_relay(sp, now_us);
	}
	data += sizeof(head);
	if (n == head.total_bytes)
		return apply_packed(sp, data, n, now_us);
	if (is_obsolete(sp, &head))
		return EB_OK;
	if (head.after > eb_feed_revision(sp->feed)) {
		if (head.revision > sp->missed_revision)
			sp->missed_revision = head.revision;
		return EB_EAGAIN;
	}
	switch (append_part(sp, &head, data, n, now_us)) {
	case 1:
		st = apply_packed(sp, sp->assembly.data,
				  sp->assembly.have_bytes, now_us);
		drop_assembly(sp);
		return st;
	case 0:
		*reply = end ? NULL : malloc(EB_FEED_REQUEST_BYTES);
		if (!*reply)
			return EB_OK;
		make_request(sp, *reply);
		*reply_bytes = EB_FEED_REQUEST_BYTES;
		return EB_OK;
	default:
		return EB_OK;
	}
}

/*
 * Handles a payload from another daemon. `*reply` is set to an answer for the
 * sender, which the caller frees, or to NULL. Returns EB_EPARSE for an invalid
 * payload, EB_EAGAIN for a change that starts after this copy's revision,
 * EB_EFULL or EB_ENOMEM.
 */
enum eb_status eb_feed_sync_receive(struct eb_feed_sync *sp, const void *data,
				    uint32_t bytes, int64_t now_us,
				    uint8_t **reply, uint32_t *reply_bytes)
{
	const uint8_t *p = data;
	struct eb_feed_request rq;
	uint64_t end;

	*reply = NULL;
	if (!bytes)
		return EB_EPARSE;
	if (p[0] == EB_FEED_REQUEST && bytes == EB_FEED_REQUEST_BYTES) {
		memcpy(&rq, p + 1, sizeof(rq));
		if (rq.own_revision < eb_feed_revision(sp->feed))
			*reply_bytes = make_single_part(sp, &rq, now_us, reply);
		return EB_OK;
	}
	if (p[0] == EB_FEED_STATE &&
	    bytes == 1 + sizeof(struct eb_feed_reader_state)) {
		receive_state(sp, p + 1, now_us);
		return EB_OK;
	}
	if (p[0] == EB_FEED_RELAY && bytes > EB_FEED_RELAY_HEAD_BYTES) {
		memcpy(&end, p + 1, sizeof(end));
		return receive_part(sp, p + EB_FEED_RELAY_HEAD_BYTES,
				    bytes - EB_FEED_RELAY_HEAD_BYTES, &end,
				    now_us, reply, reply_bytes);
	}
	if (p[0] != EB_FEED_CHANGE)
		return EB_EPARSE;
	return receive_part(sp, p + 1, bytes - 1, NULL, now_us, reply,
			    reply_bytes);
}

/*
 * Returns how long this daemon waits before it reads in place of missing
 * readers: daemons earlier in the order start first, but those that do not
 * answer are not waited for. The delay has no limit, so that an outage of the
 * source has as many daemons calling in a large fleet as in a small one.
 */
static int64_t takeover_delay_us(const struct eb_feed_sync *sp)
{
	uint32_t i, steps = 0;

	for (i = EB_FEED_SYNC_READERS; i < sp->own_rank; i++)
		steps += !sp->out.silent(sp->out.ctx, sp->members[i].info.node);
	return (int64_t)steps * EB_FEED_SYNC_STEP_MS * 1000;
}

/*
 * Asks the daemons before this one whether they answer, so that it does not
 * wait for those that were lost together with the readers.
 */
static void ask_candidates(const struct eb_feed_sync *sp)
{
	uint32_t i;

	if (sp->own_rank > EB_FEED_SYNC_READERS + EB_FEED_SYNC_ASKERS_MAX)
		return;
	for (i = 0; i < sp->own_rank; i++)
		sp->out.ask(sp->out.ctx, sp->members[i].info.node);
}

/* Tells whether what this daemon lacks does not arrive from the others. */
static int is_stuck(const struct eb_feed_sync *sp, int64_t now_us)
{
	return sp->behind_since_us &&
	       now_us - sp->behind_since_us >= EB_FEED_SYNC_STUCK_MS * 1000LL;
}

/* Requests the next part again when it does not arrive. */
static void continue_assembly(struct eb_feed_sync *sp, int64_t now_us)
{
	const struct member *mb = find(sp, sp->requested_node);

	if (!sp->assembly.data)
		return;
	if (is_obsolete(sp, &sp->assembly.head))
		drop_assembly(sp);
	else if (mb &&
		 now_us - sp->requested_us >= EB_FEED_SYNC_RESEND_MS * 1000LL)
		request(sp, mb, sp->joining, now_us);
}

/*
 * Returns how long after its start this daemon asks the source itself when no
 * other daemon has confirmed its copy. Readers ask at once, and those that hear
 * from a reader which starts as well wait for what it reads.
 */
static int64_t confirm_delay_us(const struct eb_feed_sync *sp)
{
	int64_t delay_us = EB_FEED_SYNC_CONFIRM_MS * 1000LL;
	uint32_t i;

	if (sp->own_rank < EB_FEED_SYNC_READERS && sp->count)
		return 0;
	for (i = 0; i < EB_FEED_SYNC_READERS && i < sp->count; i++)
		if (sp->members[i].heard_us && sp->members[i].unverified)
			return 2 * delay_us;
	return delay_us;
}

/*
 * Tells whether others may soon verify the copy of this daemon, which has
 * started again: that saves a read of all items.
 */
static int awaits_peers(const struct eb_feed_sync *sp, int64_t now_us)
{
	return !sp->first_start && sp->trust == TRUST_NONE &&
	       eb_feed_revision(sp->feed) &&
	       now_us - sp->start_us < confirm_delay_us(sp);
}

/* Tells whether this daemon should read the source now. */
static int should_read(struct eb_feed_sync *sp, int64_t now_us)
{
	if (awaits_peers(sp, now_us))
		return 0;
	if (sp->own_rank < EB_FEED_SYNC_READERS || is_stuck(sp, now_us))
		return 1;
	if (readers_before(sp, now_us) >= EB_FEED_SYNC_READERS) {
		sp->shortage_since_us = 0;
		return 0;
	}
	if (!sp->shortage_since_us) {
		sp->shortage_since_us = now_us;
		ask_candidates(sp);
	}
	return now_us - sp->shortage_since_us >= takeover_delay_us(sp);
}

/*
 * Tells whether this daemon started recently and does not rely on the readers
 * yet. On the first start of the fleet every daemon reads for
 * EB_FEED_SYNC_START_MS while the items are published. Later a daemon reads on
 * its own only until it knows other daemons. These reads are cheap and may be
 * stale.
 */
static int is_starting(const struct eb_feed_sync *sp, int64_t now_us)
{
	int64_t limit_us = EB_FEED_SYNC_START_MS * 1000LL;

	/* The others then find readers with an up-to-date copy. */
	if (sp->own_rank < EB_FEED_SYNC_READERS && sp->count)
		limit_us -= EB_FEED_SYNC_HANDOVER_MS * 1000LL;
	if (now_us - sp->start_us >= limit_us)
		return 0;
	return sp->first_start || !sp->count;
}

/*
 * Tells whether a member shows that this copy is not stale: it is no newer, and
 * it has read the source recently. While the source does not answer, any member
 * will do: no daemon can know more. A member that names the digest of its copy
 * has verified this one, or does not confirm it.
 */
static int is_confirmed_by(const struct eb_feed_sync *sp,
			   const struct member *mb, int64_t now_us)
{
	if (!mb->heard_us || mb->heard_us <= sp->resumed_us || mb->unverified ||
	    sp->trust == TRUST_REFUTED ||
	    mb->revision > eb_feed_revision(sp->feed))
		return 0;
	if (mb->digest && sp->trust != TRUST_VERIFIED && !sp->last_failed)
		return 0;
	return sp->last_failed ||
	       (mb->read_us &&
		now_us - mb->read_us < EB_FEED_SYNC_FRESH_MS * 1000LL);
}

/*
 * Checks whether the copy of a daemon that has started is as new as those of
 * the others. It is taken as it is EB_FEED_SYNC_START_MS after the start, so
 * that a daemon that reaches nobody still serves.
 */
static void check_confirmed(struct eb_feed_sync *sp, int64_t now_us)
{
	uint32_t i;

	if (sp->confirmed || !eb_feed_revision(sp->feed))
		return;
	for (i = 0; i < sp->count && !sp->confirmed; i++)
		sp->confirmed =
			(uint8_t)is_confirmed_by(sp, &sp->members[i], now_us);
	if (now_us - sp->confirm_from_us >= EB_FEED_SYNC_START_MS * 1000LL)
		sp->confirmed = 1;
}

/*
 * To be called after a pause of this process, when what had waited in its
 * sockets was read: the copy must be confirmed again as after a start. The
 * source may have answered a call in flight before changes of that time.
 */
void eb_feed_sync_resumed(struct eb_feed_sync *sp, int64_t now_us)
{
	sp->confirmed = 0;
	sp->confirm_from_us = now_us;
	sp->resumed_us = now_us;
	sp->old_call = 1;
}

/*
 * Tells whether this copy may be served: after a start, a read that may be
 * stale is not enough, since an upstream or a route in it may be gone.
 */
int eb_feed_sync_confirmed(const struct eb_feed_sync *sp)
{
	return sp->confirmed;
}

/* Returns how often this copy was found to lack items of its revision. */
uint32_t eb_feed_sync_refutations(const struct eb_feed_sync *sp)
{
	return sp->refutations;
}

/* Tells whether to ask the source because no other daemon has confirmed. */
static int must_confirm(const struct eb_feed_sync *sp, int64_t now_us)
{
	return !sp->confirmed &&
	       now_us - sp->confirm_from_us >= confirm_delay_us(sp);
}

/* Returns when the source was last read, as this daemon knows; 0: never. */
static int64_t last_read_us(const struct eb_feed_sync *sp)
{
	int64_t read_us = sp->read_us;
	uint32_t i;

	for (i = 0; i < sp->count; i++)
		if (sp->members[i].read_us > read_us &&
		    !sp->members[i].unverified)
			read_us = sp->members[i].read_us;
	return read_us;
}

/*
 * Counts how long the source has been watched while lost removals overrule it,
 * without the gaps between reads that are too far apart, and only up to what
 * this copy has.
 */
static void count_watched(struct eb_feed_sync *sp)
{
	int64_t read_us, us;

	if (!eb_feed_has_overrules(sp->feed) || sp->behind_since_us ||
	    sp->trust != TRUST_VERIFIED)
		return;
	read_us = last_read_us(sp);
	us = read_us - sp->watched_until_us;
	if (us <= 0)
		return;
	sp->watched_until_us = read_us;
	if (us <= EB_FEED_SYNC_FRESH_MS * 1000LL &&
	    eb_feed_watched(sp->feed, us))
		sp->out.changed(sp->out.ctx);
}

/* Chooses how to use the source and ends the hold of removed items. */
void eb_feed_sync_tick(struct eb_feed_sync *sp, int64_t now_us)
{
	enum eb_source_mode mode = EB_SOURCE_IDLE;

	if (eb_feed_end_hold(sp->feed, now_us))
		sp->out.changed(sp->out.ctx);
	count_watched(sp);
	check_confirmed(sp, now_us);
	run_relay(sp, now_us);
	continue_assembly(sp, now_us);
	drop_packed(sp, now_us);
	if (must_confirm(sp, now_us))
		mode = EB_SOURCE_WATCH;
	else if (is_starting(sp, now_us))
		mode = EB_SOURCE_READ_STALE;
	else if (should_read(sp, now_us))
		mode = EB_SOURCE_WATCH;
	sp->mode = mode;
	if (mode != EB_SOURCE_WATCH)
		sp->announced = 0;
	sp->out.want(sp->out.ctx, mode,
		     sp->trust == TRUST_VERIFIED ? eb_feed_revision(sp->feed)
						 : 0);
}
