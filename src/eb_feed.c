#include "eb_feed.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zlib.h>

#include "eb_tunables.h"

struct eb_feed {
	struct eb_feed_item *items; /* sorted by key, with removed items */
	uint32_t count;
	uint32_t space;
	uint64_t revision;
	/* From this revision on the items are exactly those of the revision. */
	uint64_t exact_revision;
	uint32_t digest; /* see eb_feed_digest(); 0: not computed yet */
	uint64_t dropped_revision; /* removals up to it are not kept */
	/*
	 * Revisions up to `dropped_revision` at which this copy was complete:
	 * what changed since any of them is known nevertheless. 0: unused.
	 */
	uint64_t past[EB_FEED_PAST_MAX];
	uint32_t past_next;
	/* Items removed after `hold_after` count as present until then. */
	int64_t hold_until_us;
	uint64_t hold_after;
	uint8_t holding;	 /* eb_feed_end_hold() has not returned 1 yet */
	eb_feed_compare compare; /* NULL: values say nothing of their order */
	int64_t overrule_us; /* how long a lost removal overrules the source */
	int64_t watched_us;  /* how long the source has been watched */
	int64_t overrules_end_us; /* the first one ends; 0: there is none */
};

/* Creates an empty copy at revision 0. Returns NULL when memory runs out. */
struct eb_feed *eb_feed_new(void)
{
	struct eb_feed *fd = calloc(1, sizeof(*fd));

	if (fd)
		eb_feed_set_lapse(fd, EB_ENTRY_LAPSE_DEFAULT_MS);
	return fd;
}

/* Sets how values of different eras are compared. */
void eb_feed_set_compare(struct eb_feed *fd, eb_feed_compare compare)
{
	fd->compare = compare;
}

/*
 * Sets for how long the source lists an item that nobody renews. It may list
 * one that comes back a little later.
 */
void eb_feed_set_lapse(struct eb_feed *fd, uint32_t lapse_ms)
{
	fd->overrule_us = ((int64_t)lapse_ms + EB_FEED_HOLD_MS +
			   EB_FEED_OVERRULE_MARGIN_MS) *
			  1000;
}

/* Returns how often the source had lost changes at a revision. */
uint32_t eb_feed_era(uint64_t revision)
{
	return (uint32_t)(revision >> EB_FEED_ERA_SHIFT);
}

/* Returns what the source counted at a revision. */
uint64_t eb_feed_count(uint64_t revision)
{
	return revision & EB_FEED_COUNT_MAX;
}

/* Returns the revision of an era and a count, both within their limits. */
uint64_t eb_feed_make_revision(uint32_t era, uint64_t count)
{
	return (uint64_t)era << EB_FEED_ERA_SHIFT | count;
}

static void clear_item(struct eb_feed_item *it)
{
	free(it->key);
	free(it->value);
}

/* Frees the copy; NULL is allowed. */
void eb_feed_free(struct eb_feed *fd)
{
	uint32_t i;

	if (!fd)
		return;
	for (i = 0; i < fd->count; i++)
		clear_item(&fd->items[i]);
	free(fd->items);
	free(fd);
}

/* Returns the revision up to which the copy is complete. */
uint64_t eb_feed_revision(const struct eb_feed *fd)
{
	return fd->revision;
}

/*
 * Returns a digest of the items at the copy's revision, or 0 when it is not
 * known: the copy is empty, or parts of it are newer than its revision. Copies
 * of one source with equal revisions and digests have the same items.
 */
uint32_t eb_feed_digest(struct eb_feed *fd)
{
	const struct eb_feed_item *it;
	uint32_t i;

	if (!fd->revision || fd->revision < fd->exact_revision)
		return 0;
	if (fd->digest)
		return fd->digest;
	for (i = 0; i < fd->count; i++) {
		it = &fd->items[i];
		if (!it->removed)
			fd->digest += (uint32_t)XXH64(it->key, strlen(it->key),
						      it->revision);
	}
	fd->digest += !fd->digest;
	return fd->digest;
}

/* Returns the index of a key, or where to insert it; sets `*found`. */
static uint32_t search(const struct eb_feed *fd, const char *key, int *found)
{
	uint32_t low = 0, high = fd->count, mid;
	int order;

	*found = 0;
	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(key, fd->items[mid].key);
		if (!order) {
			*found = 1;
			return mid;
		}
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

/* Returns an item that is not removed, or NULL. */
const struct eb_feed_item *eb_feed_find(const struct eb_feed *fd,
					const char *key)
{
	int found;
	uint32_t i = search(fd, key, &found);

	return found && !fd->items[i].removed ? &fd->items[i] : NULL;
}

/* Inserts an empty item at index `at`. Returns NULL on failure. */
static struct eb_feed_item *insert(struct eb_feed *fd, const char *key,
				   uint32_t at)
{
	uint32_t space = fd->space ? fd->space * 2 : 32;
	struct eb_feed_item *items;
	char *copy;

	if (fd->count == EB_FEED_ITEMS_MAX)
		return NULL;
	if (!fd->items || fd->count == fd->space) {
		items = realloc(fd->items, space * sizeof(*items));
		if (!items)
			return NULL;
		fd->items = items;
		fd->space = space;
	}
	copy = strdup(key);
	if (!copy)
		return NULL;
	memmove(&fd->items[at + 1], &fd->items[at],
		(fd->count - at) * sizeof(*fd->items));
	memset(&fd->items[at], 0, sizeof(*fd->items));
	fd->items[at].key = copy;
	fd->count++;
	return &fd->items[at];
}

/* Returns how an item compares to its absence in a list of the source. */
static enum eb_feed_age lost_age(const struct eb_feed *fd,
				 const struct eb_feed_item *it)
{
	return fd->compare ? fd->compare(NULL, it) : EB_FEED_NEWER;
}

/* Tells whether an item stays, at least for a time, when the source lost it. */
static int is_lasting(const struct eb_feed *fd, const struct eb_feed_item *it)
{
	enum eb_feed_age age = lost_age(fd, it);

	return age == EB_FEED_OLDER || age == EB_FEED_SAME;
}

/* Has eb_feed_watched() look at an item at a time at the latest. */
static void end_at(struct eb_feed *fd, int64_t until_us)
{
	if (!fd->overrules_end_us || until_us < fd->overrules_end_us)
		fd->overrules_end_us = until_us;
}

/* Compares the values of an item, of which both must be known. */
static enum eb_feed_age compare(const struct eb_feed *fd,
				const struct eb_feed_item *shown,
				const struct eb_feed_item *known)
{
	if (!fd->compare || !shown->value_bytes || !known->value_bytes)
		return EB_FEED_AGE_UNKNOWN;
	return fd->compare(shown, known);
}

/* Tells whether a removed item counts as present. */
static int is_held(const struct eb_feed *fd, const struct eb_feed_item *it,
		   int64_t now_us)
{
	return it->value && !it->overrules && !it->left &&
	       now_us < fd->hold_until_us && it->revision > fd->hold_after;
}

/* Tells whether an item of a change is a removal that overrules the source. */
static int is_overruling(const struct eb_feed_item *from)
{
	return from->removed && from->value_bytes;
}

/*
 * Lets a removed item overrule the source, which lists it at a revision. The
 * time begins anew in each era.
 */
static void overrule(struct eb_feed *fd, struct eb_feed_item *it,
		     uint64_t revision)
{
	uint32_t era = eb_feed_era(revision);

	it->revision = revision;
	if (it->overrules && it->overrules_era >= era)
		return;
	it->overrules = 1;
	it->overrules_era = era;
	it->overrules_until_us = fd->watched_us + fd->overrule_us;
	end_at(fd, it->overrules_until_us);
}

/* Tells whether a removal may still overrule an item of the copy. */
static int may_overrule(const struct eb_feed_item *it)
{
	return !it->removed && it->settled_era != eb_feed_era(it->revision);
}

/*
 * Tells whether an item of a change was written in the era in which this copy
 * is. A full change may list what was written before.
 */
static int is_written_since(const struct eb_feed *fd,
			    const struct eb_feed_change *ch,
			    const struct eb_feed_item *from)
{
	return !ch->full && from->revision > fd->revision &&
	       eb_feed_era(from->revision) == eb_feed_era(fd->revision);
}

/*
 * Tells whether an item of the copy gives way to one of a later era. What was
 * removed comes back only with a newer value: a departure is not undone by the
 * entry that it ended. Exceptions are what is held and what is written again in
 * the new era.
 */
static int gives_way(const struct eb_feed *fd, const struct eb_feed_item *it,
		     const struct eb_feed_change *ch,
		     const struct eb_feed_item *from, int64_t now_us)
{
	enum eb_feed_age age;

	/* A removal that the source names ends an item that is kept for a time.
	 */
	if (from->removed && !is_overruling(from))
		return lost_age(fd, it) != EB_FEED_OLDER;
	age = compare(fd, from, it);
	if (it->removed && !from->removed && age == EB_FEED_SAME)
		return is_held(fd, it, now_us) ||
		       is_written_since(fd, ch, from);
	return age != EB_FEED_OLDER;
}

/*
 * Tells whether an item of an earlier era overrules the one of the copy. Not
 * if that was removed since, or is settled.
 */
static int overrules(const struct eb_feed *fd, const struct eb_feed_item *from,
		     const struct eb_feed_item *it)
{
	enum eb_feed_age age;

	if (it->removed || (from->removed && !may_overrule(it)))
		return 0;
	age = compare(fd, it, from);
	return age == EB_FEED_OLDER || (from->removed && age == EB_FEED_SAME);
}

/* Tells whether an item of a change replaces the one of the copy. */
static int is_newer(struct eb_feed *fd, const struct eb_feed_change *ch,
		    const struct eb_feed_item *from, struct eb_feed_item *it,
		    int64_t now_us)
{
	uint32_t era = eb_feed_era(it->revision);
	uint32_t from_era = eb_feed_era(from->revision);

	if (from_era == era)
		return from->revision > it->revision ||
		       (from->revision == it->revision && is_overruling(from) &&
			may_overrule(it));
	if (from_era < era)
		return overrules(fd, from, it);
	if (gives_way(fd, it, ch, from, now_us))
		return 1;
	if (it->removed && is_held(fd, it, now_us))
		it->removed = 0;
	else if (it->removed)
		overrule(fd, it, from->revision);
	return 0;
}

/* Replaces the value of an item by that of a change; returns EB_ENOMEM. */
static enum eb_status copy_value(struct eb_feed_item *it,
				 const struct eb_feed_item *from)
{
	uint8_t *value = malloc((size_t)from->value_bytes + 1);

	if (!value)
		return EB_ENOMEM;
	if (from->value_bytes)
		memcpy(value, from->value, from->value_bytes);
	value[from->value_bytes] = 0;
	free(it->value);
	it->value = value;
	it->value_bytes = from->value_bytes;
	return EB_OK;
}

/*
 * Applies one item of a change unless the copy has it at the same or a newer
 * revision. Returns EB_EFULL or EB_ENOMEM.
 */
static enum eb_status put(struct eb_feed *fd, const struct eb_feed_change *ch,
			  const struct eb_feed_item *from, int64_t now_us,
			  int *changed)
{
	struct eb_feed_item *it;
	uint32_t at;
	int found;

	at = search(fd, from->key, &found);
	it = found ? &fd->items[at] : NULL;
	if (it && !is_newer(fd, ch, from, it, now_us))
		return EB_OK;
	if (!it && from->removed && !is_overruling(from))
		return EB_OK;
	if (!it)
		it = insert(fd, from->key, at);
	if (!it)
		return EB_EFULL;
	if ((!from->removed || is_overruling(from)) && copy_value(it, from))
		return EB_ENOMEM;
	it->left = from->removed && it->removed && !is_held(fd, it, now_us);
	it->removed = from->removed;
	it->revision = from->revision;
	it->kept_until_us = 0;
	if (!is_overruling(from))
		it->overrules = 0;
	else
		overrule(fd, it, from->revision);
	if (is_written_since(fd, ch, from))
		it->settled_era = eb_feed_era(from->revision);
	*changed = 1;
	return EB_OK;
}

/*
 * Marks the items that a full change does not list as removed, also those that
 * were removed before and overrule a list that they are no longer on.
 */
static void remove_missing(struct eb_feed *fd, const struct eb_feed_change *ch,
			   int *changed)
{
	struct eb_feed_item *it;
	uint32_t i, j;

	for (i = 0; i < fd->count; i++) {
		it = &fd->items[i];
		if ((it->removed && !it->overrules) ||
		    it->revision > ch->revision)
			continue;
		for (j = 0; j < ch->count; j++)
			if (!strcmp(ch->items[j].key, it->key))
				break;
		/* put() has decided on a removal that overrules. */
		if (j < ch->count && (it->removed || !ch->items[j].removed ||
				      ch->items[j].value_bytes))
			continue;
		if (!it->removed &&
		    eb_feed_era(it->revision) < eb_feed_era(ch->revision) &&
		    is_lasting(fd, it))
			continue;
		it->left = it->removed;
		it->removed = 1;
		it->overrules = 0;
		it->revision = ch->revision;
		*changed = 1;
	}
}

/*
 * Drops the removed items when there are EB_FEED_REMOVED_MAX or more. Peers at
 * an older revision then receive a full change.
 */
static void drop_removed(struct eb_feed *fd)
{
	uint32_t i, kept = 0, removed = 0;

	for (i = 0; i < fd->count; i++)
		removed += fd->items[i].removed;
	if (removed < EB_FEED_REMOVED_MAX)
		return;
	for (i = 0; i < fd->count; i++) {
		if (fd->items[i].removed)
			clear_item(&fd->items[i]);
		else
			fd->items[kept++] = fd->items[i];
	}
	fd->count = kept;
	fd->dropped_revision = fd->revision;
	memset(fd->past, 0, sizeof(fd->past));
}

/*
 * Holds the items that a change removes. Those removed before `hold_after`, or
 * before this copy's revision, stay removed.
 */
static void extend_hold(struct eb_feed *fd, const struct eb_feed_change *ch,
			int64_t now_us)
{
	uint64_t after = fd->revision;

	if (after < ch->hold_after)
		after = ch->hold_after;
	if (now_us >= fd->hold_until_us || after < fd->hold_after)
		fd->hold_after = after;
	if (now_us + ch->hold_ms * 1000LL <= fd->hold_until_us)
		return;
	fd->hold_until_us = now_us + ch->hold_ms * 1000LL;
	fd->holding = 1;
}

/* Records from which revision on the items are exactly those of a revision. */
static void extend_exact(struct eb_feed *fd, const struct eb_feed_change *ch)
{
	uint32_t i;

	if (fd->exact_revision < ch->newest_revision)
		fd->exact_revision = ch->newest_revision;
	for (i = 0; i < ch->count; i++)
		if (fd->exact_revision < ch->items[i].revision)
			fd->exact_revision = ch->items[i].revision;
}

/*
 * Tells whether a copy takes over an item from one at the same revision: what
 * one daemon knows of changes that the source has lost, another one may not. An
 * entry that the source does not list stays away.
 */
static int is_joined(const struct eb_feed *fd, const struct eb_feed_item *from)
{
	uint32_t era = eb_feed_era(fd->revision);
	const struct eb_feed_item *it;
	int found;
	uint32_t at = search(fd, from->key, &found);

	it = found ? &fd->items[at] : NULL;
	if (eb_feed_era(from->revision) < era)
		return (it && !it->removed) || is_lasting(fd, from);
	/* This copy may not know that it is listed, or that it has left. */
	return is_overruling(from) ||
	       (it && it->removed && eb_feed_era(it->revision) < era);
}

/* Takes over items from a change that is no newer than the copy. */
static enum eb_status join(struct eb_feed *fd, const struct eb_feed_change *ch,
			   int64_t now_us, int *changed)
{
	const struct eb_feed_item *from;
	enum eb_status st;
	uint32_t i;

	if (ch->revision != fd->revision)
		return EB_OK;
	for (i = 0; i < ch->count; i++) {
		from = &ch->items[i];
		if (!is_joined(fd, from))
			continue;
		fd->digest = 0;
		st = put(fd, ch, from, now_us, changed);
		if (st)
			return st;
	}
	return EB_OK;
}

/*
 * Sets how long items stay that the source has lost, those that are not kept
 * for ever. The time begins when this copy first finds them so.
 */
static void keep_lost(struct eb_feed *fd)
{
	uint32_t era = eb_feed_era(fd->revision), i;
	struct eb_feed_item *it;

	for (i = 0; era && i < fd->count; i++) {
		it = &fd->items[i];
		if (it->removed || it->kept_until_us ||
		    eb_feed_era(it->revision) >= era ||
		    lost_age(fd, it) != EB_FEED_SAME)
			continue;
		it->kept_until_us =
			fd->watched_us + EB_FEED_LOST_KEEP_MS * 1000LL;
		end_at(fd, it->kept_until_us);
	}
}

/*
 * Applies a change to the copy and sets `*changed` to 1 when an item differs,
 * else to 0. Returns EB_EAGAIN when the change starts after the copy's
 * revision, EB_ENOTFOUND when the copy is at the change's revision or a newer
 * one (items of earlier eras are taken over even so), EB_EFULL or EB_ENOMEM.
 * After an error the revision is unchanged, so the change is requested again.
 * The revision never decreases.
 */
enum eb_status eb_feed_apply(struct eb_feed *fd,
			     const struct eb_feed_change *ch, int64_t now_us,
			     int *changed)
{
	enum eb_status st;
	uint32_t i;

	*changed = 0;
	if (!ch->full && ch->after > fd->revision)
		return EB_EAGAIN;
	if (ch->revision <= fd->revision) {
		st = join(fd, ch, now_us, changed);
		keep_lost(fd);
		return st ? st : EB_ENOTFOUND;
	}
	if (ch->hold_ms)
		extend_hold(fd, ch, now_us);
	fd->digest = 0;
	extend_exact(fd, ch);
	for (i = 0; i < ch->count; i++) {
		st = put(fd, ch, &ch->items[i], now_us, changed);
		if (st)
			return st;
	}
	if (ch->full) {
		remove_missing(fd, ch, changed);
		/* An item may have come and gone since; others may have it. */
		fd->past[fd->past_next++ % EB_FEED_PAST_MAX] = fd->revision;
		fd->dropped_revision = ch->revision;
	}
	fd->revision = ch->revision;
	keep_lost(fd);
	drop_removed(fd);
	return EB_OK;
}

/*
 * Counts the items that are newer than a change as those of the earlier era, so
 * that their values decide, not their revisions: a read that may be stale can
 * name the new era and show what was lost before it.
 */
static void distrust_newer(struct eb_feed *fd, const struct eb_feed_change *ch)
{
	uint32_t era = eb_feed_era(ch->revision), i;
	uint64_t newest = ch->newest_revision > ch->revision
				  ? ch->newest_revision
				  : ch->revision;
	struct eb_feed_item *it;

	for (i = 0; era && i < fd->count; i++) {
		it = &fd->items[i];
		if (it->revision > newest && eb_feed_era(it->revision) == era)
			it->revision = eb_feed_make_revision(
				era - 1, eb_feed_count(it->revision));
	}
	if (era && fd->exact_revision > newest)
		fd->exact_revision = newest;
}

/*
 * Replaces a copy that may lack items of its revision by a full change, of
 * whatever revision. Items that are newer than the change are kept, if the
 * source has lost no changes or their values are newer too. Returns
 * EB_EINVAL for a change that is not full, EB_EFULL or EB_ENOMEM.
 */
enum eb_status eb_feed_replace(struct eb_feed *fd,
			       const struct eb_feed_change *ch, int64_t now_us,
			       int *changed)
{
	*changed = 0;
	if (!ch->full || !ch->revision)
		return EB_EINVAL;
	distrust_newer(fd, ch);
	if (fd->revision >= ch->revision)
		fd->revision = ch->revision - 1;
	return eb_feed_apply(fd, ch, now_us, changed);
}

/* Returns how many items overrule what the source lists or lacks. */
uint32_t eb_feed_kept(const struct eb_feed *fd)
{
	const struct eb_feed_item *it;
	uint32_t i, n = 0;

	for (i = 0; i < fd->count; i++) {
		it = &fd->items[i];
		n += it->removed ? it->overrules
				 : eb_feed_era(it->revision) <
					   eb_feed_era(fd->revision);
	}
	return n;
}

/*
 * Returns 1 once when the hold of removed items has ended: they no longer
 * count as present. Otherwise returns 0.
 */
int eb_feed_end_hold(struct eb_feed *fd, int64_t now_us)
{
	if (!fd->holding || now_us < fd->hold_until_us)
		return 0;
	fd->holding = 0;
	return 1;
}

/* Tells whether a lost removal or a lost item overrules the source. */
int eb_feed_has_overrules(const struct eb_feed *fd)
{
	return fd->overrules_end_us != 0;
}

/* Removes an item that the source has lost, and that has stayed long enough. */
static void end_lost(struct eb_feed *fd, struct eb_feed_item *it)
{
	it->removed = 1;
	it->kept_until_us = 0;
	/* A copy that still has it, of an earlier era, must not return it. */
	it->revision = fd->revision;
	it->left = 1;
	fd->digest = 0;
}

/*
 * Records that the source has been watched for some more time, with all its
 * changes applied. Lost removals overrule it, and lost items stay, for a time
 * that is counted so: after that, the source is right. Returns 1 when an item
 * has come back or has ended, else 0.
 */
int eb_feed_watched(struct eb_feed *fd, int64_t us)
{
	struct eb_feed_item *it;
	int64_t end_us = 0, until_us;
	int changed = 0;
	uint32_t i;

	fd->watched_us += us;
	if (!fd->overrules_end_us || fd->watched_us < fd->overrules_end_us)
		return 0;
	for (i = 0; i < fd->count; i++) {
		it = &fd->items[i];
		until_us = it->removed ? it->overrules_until_us
				       : it->kept_until_us;
		if (it->removed ? !it->overrules : !until_us)
			continue;
		if (fd->watched_us < until_us) {
			if (!end_us || until_us < end_us)
				end_us = until_us;
			continue;
		}
		changed = 1;
		if (!it->removed) {
			end_lost(fd, it);
			continue;
		}
		it->removed = 0;
		it->overrules = 0;
		it->settled_era = eb_feed_era(it->revision);
		fd->digest = 0;
	}
	fd->overrules_end_us = end_us;
	return changed;
}

/* Returns for how many more milliseconds removed items count as present. */
uint32_t eb_feed_hold_ms(const struct eb_feed *fd, int64_t now_us)
{
	if (now_us >= fd->hold_until_us)
		return 0;
	return (uint32_t)((fd->hold_until_us - now_us + 999) / 1000);
}

/*
 * Returns the next item that counts as present, or NULL at the end. `*pos` is
 * 0 before the first call.
 */
const struct eb_feed_item *eb_feed_next(const struct eb_feed *fd,
					int64_t now_us, uint32_t *pos)
{
	const struct eb_feed_item *it;

	while (*pos < fd->count) {
		it = &fd->items[(*pos)++];
		if (!it->removed || is_held(fd, it, now_us))
			return it;
	}
	return NULL;
}

/*
 * Appends an item to a change; key and value are copied. Returns EB_ENOMEM or
 * EB_EFULL.
 */
enum eb_status eb_feed_change_add(struct eb_feed_change *ch, const char *key,
				  const void *value, uint32_t bytes,
				  uint64_t revision, int removed)
{
	uint32_t space = ch->space ? ch->space * 2 : 16;
	struct eb_feed_item *it;

	if (ch->count == EB_FEED_ITEMS_MAX)
		return EB_EFULL;
	if (ch->count == ch->space) {
		it = realloc(ch->items, space * sizeof(*it));
		if (!it)
			return EB_ENOMEM;
		ch->items = it;
		ch->space = space;
	}
	it = &ch->items[ch->count];
	memset(it, 0, sizeof(*it));
	it->key = strdup(key);
	it->value = malloc((size_t)bytes + 1);
	if (!it->key || !it->value) {
		clear_item(it);
		return EB_ENOMEM;
	}
	if (bytes)
		memcpy(it->value, value, bytes);
	it->value_bytes = bytes;
	it->revision = revision;
	it->removed = removed != 0;
	ch->count++;
	return EB_OK;
}

/* Frees the items of a change and resets it to an empty one. */
void eb_feed_change_clear(struct eb_feed_change *ch)
{
	uint32_t i;

	for (i = 0; i < ch->count; i++)
		clear_item(&ch->items[i]);
	free(ch->items);
	memset(ch, 0, sizeof(*ch));
}

/*
 * ---- Wire format: length, a zlib-compressed MessagePack array, and the digest
 * of the sender's copy. Daemons that know no digest ignore what follows the
 * compressed data.
 */

#define CHANGE_FIELDS 4
/* One field more during a hold: the revision after which removals are held. */
#define CHANGE_FIELDS_HOLD 5
#define ITEM_FIELDS 4

static void pack_item(msgpack_packer *pk, const struct eb_feed_item *it)
{
	uint32_t bytes = it->removed && !it->overrules ? 0 : it->value_bytes;

	msgpack_pack_str(pk, strlen(it->key));
	msgpack_pack_str_body(pk, it->key, strlen(it->key));
	msgpack_pack_uint64(pk, it->revision);
	msgpack_pack_uint8(pk, it->removed);
	msgpack_pack_bin(pk, bytes);
	if (bytes)
		msgpack_pack_bin_body(pk, it->value, bytes);
}

/* Compresses the packed change. Returns EB_EFULL or EB_ENOMEM. */
static enum eb_status compress_out(const msgpack_sbuffer *sb, uint32_t digest,
				   uint8_t **out, uint32_t *bytes)
{
	uLongf n = compressBound(sb->size);
	uint32_t plain_bytes = htonl((uint32_t)sb->size);
	uint8_t *p = malloc(sizeof(plain_bytes) + n + sizeof(digest));

	if (!p)
		return EB_ENOMEM;
	memcpy(p, &plain_bytes, sizeof(plain_bytes));
	if (compress2(p + sizeof(plain_bytes), &n, (const Bytef *)sb->data,
		      sb->size, Z_BEST_SPEED) != Z_OK ||
	    n + sizeof(plain_bytes) + sizeof(digest) >
		    EB_FEED_PACKED_MAX_BYTES) {
		free(p);
		return EB_EFULL;
	}
	memcpy(p + sizeof(plain_bytes) + n, &digest, sizeof(digest));
	*out = p;
	*bytes = (uint32_t)(n + sizeof(plain_bytes) + sizeof(digest));
	return EB_OK;
}

/* Tells whether a copy at revision `after` needs all items. */
static int needs_full(const struct eb_feed *fd, uint64_t after)
{
	uint32_t i;

	/* All items have other revisions in another era. */
	if (!after || eb_feed_era(after) < eb_feed_era(fd->revision))
		return 1;
	if (after >= fd->dropped_revision)
		return 0;
	for (i = 0; i < EB_FEED_PAST_MAX; i++)
		if (fd->past[i] == after)
			return 0;
	return 1;
}

/*
 * Returns the revision that a packed change for a copy at `after` starts from:
 * 0 for one with all items.
 */
uint64_t eb_feed_start_of_change(const struct eb_feed *fd, uint64_t after)
{
	return needs_full(fd, after) ? 0 : after;
}

/*
 * Returns the size in bytes, before compression, of the items that a copy at
 * revision `after` lacks.
 */
uint64_t eb_feed_bytes_after(const struct eb_feed *fd, uint64_t after)
{
	int full = needs_full(fd, after);
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < fd->count; i++)
		if (!fd->items[i].removed &&
		    (full || fd->items[i].revision > after))
			bytes += fd->items[i].value_bytes;
	return bytes;
}

/*
 * Tells whether a packed change lists an item. A full change implies removals;
 * it lists those that overrule an entry, and during a hold those not held.
 */
static uint32_t is_packed(const struct eb_feed *fd,
			  const struct eb_feed_item *it, int full,
			  uint64_t after, uint32_t hold_ms)
{
	if (!full)
		return it->revision > after;
	return !it->removed || it->overrules ||
	       (hold_ms && it->revision <= fd->hold_after);
}

/*
 * Packs what a copy at revision `after` lacks: the items changed since then,
 * or all items when `after` is 0 or removals since `after` were dropped. The
 * caller frees `*out`. Returns EB_EFULL when it does not fit one message, or
 * EB_ENOMEM.
 */
enum eb_status eb_feed_pack(struct eb_feed *fd, uint64_t after, int64_t now_us,
			    uint8_t **out, uint32_t *bytes)
{
	int full = needs_full(fd, after);
	uint32_t hold_ms = eb_feed_hold_ms(fd, now_us);
	uint32_t i, n = 0;
	enum eb_status st;
	msgpack_sbuffer sb;
	msgpack_packer pk;

	for (i = 0; i < fd->count; i++)
		n += is_packed(fd, &fd->items[i], full, after, hold_ms);
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, (hold_ms ? CHANGE_FIELDS_HOLD : CHANGE_FIELDS) +
					n * ITEM_FIELDS);
	msgpack_pack_uint64(&pk, full ? 0 : after);
	msgpack_pack_uint64(&pk, fd->revision);
	msgpack_pack_uint8(&pk, (uint8_t)full);
	msgpack_pack_uint32(&pk, hold_ms);
	if (hold_ms)
		msgpack_pack_uint64(&pk, fd->hold_after);
	for (i = 0; i < fd->count; i++)
		if (is_packed(fd, &fd->items[i], full, after, hold_ms))
			pack_item(&pk, &fd->items[i]);
	st = compress_out(&sb, eb_feed_digest(fd), out, bytes);
	msgpack_sbuffer_destroy(&sb);
	return st;
}

static int read_uint(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return -1;
	*out = o->via.u64;
	return 0;
}

/* Reads an item from ITEM_FIELDS objects and appends it to a change. */
static enum eb_status read_item(const msgpack_object *o,
				struct eb_feed_change *ch)
{
	char key[EB_FEED_KEY_MAX_BYTES + 1];
	uint64_t revision, removed;

	if (o[0].type != MSGPACK_OBJECT_STR ||
	    o[0].via.str.size > EB_FEED_KEY_MAX_BYTES ||
	    read_uint(&o[1], UINT64_MAX, &revision) ||
	    read_uint(&o[2], 1, &removed) || o[3].type != MSGPACK_OBJECT_BIN)
		return EB_EPARSE;
	memcpy(key, o[0].via.str.ptr, o[0].via.str.size);
	key[o[0].via.str.size] = 0;
	return eb_feed_change_add(ch, key, o[3].via.bin.ptr, o[3].via.bin.size,
				  revision, removed != 0);
}

/* Reads an unpacked change. Returns EB_EPARSE, EB_EFULL or EB_ENOMEM. */
static enum eb_status read_change(const msgpack_object *o,
				  struct eb_feed_change *ch)
{
	uint64_t full, hold_ms;
	enum eb_status st;
	uint32_t i, n, fields = CHANGE_FIELDS;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return EB_EPARSE;
	n = o->via.array.size;
	o = o->via.array.ptr;
	if (n % ITEM_FIELDS == CHANGE_FIELDS_HOLD % ITEM_FIELDS)
		fields = CHANGE_FIELDS_HOLD;
	if (n < fields || (n - fields) % ITEM_FIELDS ||
	    read_uint(&o[0], UINT64_MAX, &ch->after) ||
	    read_uint(&o[1], UINT64_MAX, &ch->revision) ||
	    read_uint(&o[2], 1, &full) ||
	    read_uint(&o[3], EB_FEED_HOLD_MS, &hold_ms) ||
	    (fields == CHANGE_FIELDS_HOLD &&
	     read_uint(&o[4], UINT64_MAX, &ch->hold_after)))
		return EB_EPARSE;
	ch->full = (uint8_t)full;
	ch->hold_ms = (uint32_t)hold_ms;
	for (i = fields; i < n; i += ITEM_FIELDS) {
		st = read_item(&o[i], ch);
		if (st)
			return st;
	}
	return EB_OK;
}

/*
 * Unpacks a change from a peer into `ch`, which must be empty. Returns
 * EB_EPARSE for malformed data, EB_EFULL for a change that is too large, or
 * EB_ENOMEM; `ch` is empty then.
 */
enum eb_status eb_feed_unpack(const void *data, uint32_t bytes,
			      struct eb_feed_change *ch)
{
	enum eb_status st = EB_EPARSE;
	msgpack_unpacked up;
	uint32_t plain_bytes;
	uLongf n, used;
	char *p;

	if (bytes <= sizeof(plain_bytes))
		return EB_EPARSE;
	memcpy(&plain_bytes, data, sizeof(plain_bytes));
	n = ntohl(plain_bytes);
	used = bytes - sizeof(plain_bytes);
	if (n > EB_FEED_UNPACKED_MAX_BYTES)
		return EB_EFULL;
	p = malloc(n + 1);
	if (!p)
		return EB_ENOMEM;
	msgpack_unpacked_init(&up);
	if (uncompress2((Bytef *)p, &n,
			(const Bytef *)data + sizeof(plain_bytes),
			&used) == Z_OK &&
	    msgpack_unpack_next(&up, p, n, NULL) == MSGPACK_UNPACK_SUCCESS)
		st = read_change(&up.data, ch);
	msgpack_unpacked_destroy(&up);
	free(p);
	used += sizeof(plain_bytes);
	if (!st && bytes - used == sizeof(ch->digest))
		memcpy(&ch->digest, (const uint8_t *)data + used,
		       sizeof(ch->digest));
	else if (!st && bytes != used)
		st = EB_EPARSE;
	if (st)
		eb_feed_change_clear(ch);
	return st;
}
