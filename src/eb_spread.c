#include "eb_spread.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "eb_tunables.h"

/* First byte of a payload. */
enum payload { PAYLOAD_CHANGE = 1, PAYLOAD_REQUEST, PAYLOAD_WORD };

#define REQUEST_BYTES (1 + sizeof(uint64_t))

/* What a daemon says of itself when it begins or ceases to read. */
struct word {
	uint64_t order; /* its place */
	uint64_t revision;
	uint32_t read_age_ms;
	uint32_t reserved;
};

struct member {
	struct eb_spread_member info;
	uint64_t revision;
	int64_t heard_us; /* 0: never */
	int64_t read_us;  /* its last read by this daemon's clock; 0: none */
	int64_t pushed_us;
	int64_t behind_us; /* since when it lacks something; 0: it does not */
};

struct eb_spread {
	struct eb_spread_outlets out;
	struct eb_feed *feed;
	uint64_t own_order;
	struct member *members; /* by their place in the order */
	uint32_t count;
	uint32_t ahead; /* members before this daemon in the order */
	int64_t started_us;
	int64_t read_us;    /* last read that succeeded; 0: none */
	int64_t failing_us; /* since when reads fail; 0: they don't */
	int64_t asked_us;   /* last request to any member */
	int64_t lacking_us; /* since when too few readers are known; 0: not */
	uint8_t last_failed;
	uint8_t first_start; /* of the whole fleet */
	enum eb_source_mode mode;
};

/* Creates an empty copy. Returns NULL without memory. */
struct eb_spread *eb_spread_new(const struct eb_spread_outlets *out,
				uint64_t own_order, int first_start,
				int64_t now_us)
{
	struct eb_spread *sp = calloc(1, sizeof(*sp));

	if (!sp)
		return NULL;
	sp->out = *out;
	sp->own_order = own_order;
	sp->first_start = first_start != 0;
	sp->started_us = now_us;
	sp->feed = eb_feed_new();
	if (!sp->feed) {
		free(sp);
		return NULL;
	}
	return sp;
}

/* Frees the copy; NULL is allowed. */
void eb_spread_free(struct eb_spread *sp)
{
	if (!sp)
		return;
	eb_feed_free(sp->feed);
	free(sp->members);
	free(sp);
}

/* Returns the copy of the items; never NULL. */
const struct eb_feed *eb_spread_feed(const struct eb_spread *sp)
{
	return sp->feed;
}

/* Returns the place in the order; the same on every daemon. */
uint64_t eb_spread_order(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static struct member *find(const struct eb_spread *sp, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < sp->count; i++)
		if (sp->members[i].info.node == node)
			return &sp->members[i];
	return NULL;
}

static int compare_order(const void *a, const void *b)
{
	const struct member *x = a, *y = b;

	return (x->info.order > y->info.order) -
	       (x->info.order < y->info.order);
}

/* Replaces the list of other daemons. Returns EB_ENOMEM without memory. */
enum eb_status eb_spread_set_members(struct eb_spread *sp,
				     const struct eb_spread_member *members,
				     uint32_t count)
{
	struct member *next = calloc(count ? count : 1, sizeof(*next));
	const struct member *old;
	uint32_t i;

	if (!next)
		return EB_ENOMEM;
	sp->ahead = 0;
	for (i = 0; i < count; i++) {
		old = find(sp, members[i].node);
		if (old)
			next[i] = *old;
		next[i].info = members[i];
		sp->ahead += members[i].order < sp->own_order;
	}
	qsort(next, count, sizeof(*next), compare_order);
	free(sp->members);
	sp->members = next;
	sp->count = count;
	return EB_OK;
}

/* Tells whether a daemon is one of those that read in the normal case. */
int eb_spread_is_reader(const struct eb_spread *sp, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < sp->count && i <= EB_SPREAD_READERS; i++)
		if (sp->members[i].info.node == node)
			return 1;
	return 0;
}

/* Returns how long ago this daemon read the source; see the header. */
uint32_t eb_spread_read_age_ms(const struct eb_spread *sp, int64_t now_us)
{
	if (!sp->read_us || sp->last_failed)
		return UINT32_MAX;
	return (uint32_t)((now_us - sp->read_us) / 1000);
}

/* Builds a payload from a packed change; returns 0 without memory. */
static uint32_t make_change(const struct eb_spread *sp, uint64_t after,
			    int64_t now_us, uint8_t **out)
{
	uint8_t *packed, *p;
	uint32_t n;

	if (eb_feed_pack(sp->feed, after, now_us, &packed, &n))
		return 0;
	p = malloc(n + 1);
	if (p) {
		p[0] = PAYLOAD_CHANGE;
		memcpy(p + 1, packed, n);
		*out = p;
	}
	free(packed);
	return p ? n + 1 : 0;
}

/* Sends a member what its copy lacks. */
static void push(struct eb_spread *sp, struct member *mb, uint64_t after,
		 int64_t now_us)
{
	uint8_t *data;
	uint32_t n = make_change(sp, after, now_us, &data);

	if (!n)
		return;
	mb->pushed_us = now_us;
	sp->out.send(sp->out.ctx, mb->info.node, data, n);
	free(data);
}

/* Tells all others of a change that this daemon has read. */
static void push_all(struct eb_spread *sp, uint64_t after, int64_t now_us)
{
	uint8_t *data;
	uint32_t i, n = make_change(sp, after, now_us, &data);

	if (!n)
		return;
	for (i = 0; i < sp->count; i++) {
		if (sp->members[i].revision >= eb_feed_revision(sp->feed))
			continue;
		sp->members[i].pushed_us = now_us;
		sp->out.send(sp->out.ctx, sp->members[i].info.node, data, n);
	}
	free(data);
}

/* Asks a member for what this copy lacks. */
static void request(struct eb_spread *sp, const struct member *mb,
		    int64_t now_us)
{
	uint64_t revision = eb_feed_revision(sp->feed);
	uint8_t data[REQUEST_BYTES];

	sp->asked_us = now_us;
	data[0] = PAYLOAD_REQUEST;
	memcpy(data + 1, &revision, sizeof(revision));
	sp->out.send(sp->out.ctx, mb->info.node, data, sizeof(data));
}

/* Tells all others that this daemon reads the source, or can't. */
static void send_word(struct eb_spread *sp, int64_t now_us)
{
	struct word wd = { sp->own_order, eb_feed_revision(sp->feed),
			   eb_spread_read_age_ms(sp, now_us), 0 };
	uint8_t data[1 + sizeof(wd)];
	uint32_t i;

	data[0] = PAYLOAD_WORD;
	memcpy(data + 1, &wd, sizeof(wd));
	for (i = 0; i < sp->count; i++)
		sp->out.send(sp->out.ctx, sp->members[i].info.node, data,
			     sizeof(data));
}

/* Notes whether reads succeed; a change matters to those who rely on it. */
static void note_result(struct eb_spread *sp, int failed, int64_t now_us)
{
	int news = sp->mode == EB_SOURCE_WATCH && sp->count &&
		   (sp->last_failed != failed || !sp->read_us);

	sp->last_failed = (uint8_t)failed;
	if (!failed)
		sp->read_us = now_us;
	if (news)
		send_word(sp, now_us);
}

/*
 * Takes in what a call to the source has brought. Items that went while the
 * source was away are held for a while, since they may come back.
 */
void eb_spread_report(struct eb_spread *sp, const struct eb_source_report *rp,
		      int64_t now_us)
{
	struct eb_feed_change ch = rp->change;
	uint64_t before = eb_feed_revision(sp->feed);
	int changed = 0;

	note_result(sp, rp->failed, now_us);
	if (rp->failed) {
		if (!sp->failing_us)
			sp->failing_us = now_us;
		return;
	}
	if (sp->failing_us &&
	    now_us - sp->failing_us >= EB_SPREAD_OUTAGE_MS * 1000LL)
		ch.hold_ms = EB_FEED_HOLD_MS;
	else
		ch.hold_ms = eb_feed_hold_ms(sp->feed, now_us);
	sp->failing_us = 0;
	if (eb_feed_apply(sp->feed, &ch, now_us, &changed))
		return;
	if (changed)
		sp->out.changed(sp->out.ctx);
	/* In a first start everyone reads, and nobody has to be told. */
	if (sp->mode == EB_SOURCE_WATCH)
		push_all(sp, before, now_us);
}

/*
 * Tells whether this daemon is to bring a member up to date. It asks by itself
 * as a rule; one that knows nobody yet is told by the few before it in the
 * order, and by anyone when these do not.
 */
static int should_push(const struct eb_spread *sp, const struct member *mb,
		       int64_t now_us)
{
	uint32_t place = (uint32_t)(mb - sp->members);
	uint32_t steps = (place + sp->count - sp->ahead) % sp->count;

	if (now_us - mb->pushed_us < EB_SPREAD_ASK_MS * 1000LL)
		return 0;
	return sp->mode == EB_SOURCE_WATCH || steps < EB_SPREAD_TELLERS ||
	       now_us - mb->behind_us >= EB_SPREAD_BEHIND_MS * 1000LL;
}

/* Takes in a member's word; one that is behind is told, one ahead asked. */
static void hear(struct eb_spread *sp, struct member *mb, uint64_t revision,
		 uint32_t read_age_ms, int64_t now_us)
{
	uint64_t own = eb_feed_revision(sp->feed);

	mb->revision = revision;
	mb->heard_us = now_us;
	mb->read_us =
		read_age_ms == UINT32_MAX ? 0 : now_us - read_age_ms * 1000LL;
	if (revision >= own)
		mb->behind_us = 0;
	else if (!mb->behind_us)
		mb->behind_us = now_us;
	if (revision > own &&
	    now_us - sp->asked_us >= EB_SPREAD_ASK_MS * 1000LL)
		request(sp, mb, now_us);
	else if (revision < own && should_push(sp, mb, now_us))
		push(sp, mb, revision, now_us);
}

/* Takes in what a daemon says of itself; see the header. */
void eb_spread_heard(struct eb_spread *sp, uint32_t node, uint64_t revision,
		     uint32_t read_age_ms, int64_t now_us)
{
	struct member *mb = find(sp, node);

	if (mb)
		hear(sp, mb, revision, read_age_ms, now_us);
}

static void take_word(struct eb_spread *sp, const uint8_t *data, int64_t now_us)
{
	struct word wd;
	uint32_t i;

	memcpy(&wd, data, sizeof(wd));
	for (i = 0; i < sp->count; i++)
		if (sp->members[i].info.order == wd.order)
			hear(sp, &sp->members[i], wd.revision, wd.read_age_ms,
			     now_us);
}

/*
 * Takes in a payload of another daemon. `*reply` is set to an answer for its
 * sender, which the caller frees, or to NULL. Returns EB_EPARSE for a payload
 * that is not valid, and EB_EAGAIN when the copy lacks what came before.
 */
enum eb_status eb_spread_receive(struct eb_spread *sp, const void *data,
				 uint32_t bytes, int64_t now_us,
				 uint8_t **reply, uint32_t *reply_bytes)
{
	const uint8_t *p = data;
	struct eb_feed_change ch = { 0 };
	uint64_t revision;
	enum eb_status st;
	int changed = 0;

	*reply = NULL;
	if (!bytes)
		return EB_EPARSE;
	if (p[0] == PAYLOAD_REQUEST && bytes == REQUEST_BYTES) {
		memcpy(&revision, p + 1, sizeof(revision));
		if (revision < eb_feed_revision(sp->feed))
			*reply_bytes = make_change(sp, revision, now_us, reply);
		return EB_OK;
	}
	if (p[0] == PAYLOAD_WORD && bytes == 1 + sizeof(struct word)) {
		take_word(sp, p + 1, now_us);
		return EB_OK;
	}
	if (p[0] != PAYLOAD_CHANGE)
		return EB_EPARSE;
	st = eb_feed_unpack(p + 1, bytes - 1, &ch);
	if (st)
		return st;
	st = eb_feed_apply(sp->feed, &ch, now_us, &changed);
	eb_feed_change_clear(&ch);
	if (changed)
		sp->out.changed(sp->out.ctx);
	return st == EB_ENOTFOUND ? EB_OK : st;
}

static int is_fresh(const struct member *mb, int64_t now_us)
{
	return mb->heard_us && mb->read_us &&
	       now_us - mb->heard_us < EB_SPREAD_HEARD_MS * 1000LL &&
	       now_us - mb->read_us < EB_SPREAD_FRESH_MS * 1000LL;
}

/* How long a daemon lets those before it in the order step in first. */
static int64_t patience_us(const struct eb_spread *sp)
{
	uint32_t place = sp->ahead - EB_SPREAD_READERS;

	if (place > EB_SPREAD_STEPS_MAX)
		place = EB_SPREAD_STEPS_MAX;
	return place * EB_SPREAD_STEP_MS * 1000LL;
}

/* Tells whether this daemon should read the source now. */
static int should_read(struct eb_spread *sp, int64_t now_us)
{
	uint32_t i, fresh = 0;

	if (sp->ahead < EB_SPREAD_READERS)
		return 1;
	for (i = 0; i < sp->ahead && i < sp->count; i++)
		fresh += (uint32_t)is_fresh(&sp->members[i], now_us);
	if (fresh >= EB_SPREAD_READERS) {
		sp->lacking_us = 0;
		return 0;
	}
	if (!sp->lacking_us)
		sp->lacking_us = now_us;
	return now_us - sp->lacking_us >= patience_us(sp);
}

/*
 * Tells whether this daemon still learns who the others are. When the whole
 * fleet starts for the first time, all of them read while the items come in;
 * later, those of before are there at the first read.
 */
static int is_starting(const struct eb_spread *sp, int64_t now_us)
{
	if (now_us - sp->started_us >= EB_SPREAD_START_MS * 1000LL)
		return 0;
	return sp->first_start || !sp->count;
}

/* Chooses how to use the source, and lets held items go that did not return. */
void eb_spread_tick(struct eb_spread *sp, int64_t now_us)
{
	enum eb_source_mode mode = EB_SOURCE_IDLE;

	if (eb_feed_settle(sp->feed, now_us))
		sp->out.changed(sp->out.ctx);
	if (is_starting(sp, now_us))
		mode = sp->first_start ? EB_SOURCE_GLANCE : EB_SOURCE_READ;
	else if (should_read(sp, now_us))
		mode = EB_SOURCE_WATCH;
	sp->mode = mode;
	sp->out.want(sp->out.ctx, mode, eb_feed_revision(sp->feed));
}
