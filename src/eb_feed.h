#ifndef EB_FEED_H
#define EB_FEED_H

#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/*
 * A daemon's copy of what the source of configuration publishes: items with a
 * key, and one revision that grows with each change of any item. Daemons
 * synchronize their copies by changes, each of which names the revision that
 * it starts from. The module has no socket and no clock.
 *
 * A source may lose changes that it has acknowledged and count on from an
 * older state. Each time a new era begins. A revision orders all states: its
 * upper bits are the era, the others what the source counts. Items whose value
 * was lost keep it, with their revision of the earlier era, until the source
 * has one that is not older. Items whose removal was lost stay removed until
 * then, or until the source has been seen to list them for longer than one
 * lasts that is not renewed. Of items that are written without a version, such
 * as evacuations, a lost one stays for EB_FEED_LOST_KEEP_MS of watching or
 * until the source names its removal.
 */
struct eb_feed;

#define EB_FEED_ERA_SHIFT 48
#define EB_FEED_ERA_MAX UINT16_MAX
/* Largest count of a source in one era. */
#define EB_FEED_COUNT_MAX ((UINT64_C(1) << EB_FEED_ERA_SHIFT) - 1)

struct eb_feed_item {
	char *key;
	uint8_t *value; /* of a removed item: its last value, or NULL */
	uint32_t value_bytes;
	uint64_t revision; /* of the item's last change */
	uint8_t removed;
	uint8_t overrules; /* removed, though the source lists an older value */
	uint8_t left; /* removed, and was so before: a hold is not for it */
	uint32_t overrules_era;	    /* in which it lists that */
	uint32_t settled_era;	    /* in which that has ended; 0: none */
	int64_t overrules_until_us; /* see eb_feed_watched() */
	int64_t kept_until_us; /* it is lost, and stays until then; 0: none */
};

/* What the values of an item say of their order. */
enum eb_feed_age {
	EB_FEED_AGE_UNKNOWN = 0,
	EB_FEED_OLDER,
	EB_FEED_SAME,
	EB_FEED_NEWER
};

/*
 * Tells whether a value that the source shows is older than one that it had
 * shown in an earlier era. `shown` is NULL for an item that it does not list:
 * EB_FEED_OLDER means that such items are never removed, EB_FEED_SAME that they
 * stay for a time, in which they can be written again.
 */
typedef enum eb_feed_age (*eb_feed_compare)(const struct eb_feed_item *shown,
					    const struct eb_feed_item *known);

/* The changes from revision `after` to `revision`; owns its items. */
struct eb_feed_change {
	uint64_t after;
	uint64_t revision;
	/* Newest revision that any part of it was read at; 0: `revision`. */
	uint64_t newest_revision;
	uint32_t digest; /* of the sender's copy at `revision`; 0: unknown */
	uint8_t full;	 /* lists all items; those not listed are removed */
	/* Items removed after `hold_after` may come back within this time. */
	uint32_t hold_ms;
	uint64_t hold_after;
	struct eb_feed_item *items;
	uint32_t count;
	uint32_t space;
};

/*
 * What a daemon says of its copy. Equal revisions alone do not show that two
 * copies are equal: a read that may be stale can name a revision whose items it
 * lacks. Equal digests do.
 */
struct eb_feed_state {
	uint64_t revision;
	uint32_t digest; /* see eb_feed_digest(); 0: unknown */
	uint32_t
		read_age_ms; /* of its last up-to-date read; UINT32_MAX: none */
	uint32_t link_mbps;  /* of its machine; 0: unknown */
	uint8_t unverified;  /* may lack items of its revision */
	uint8_t knows_eras;  /* 0 also if that is not known */
};

struct eb_feed *eb_feed_new(void);
void eb_feed_set_compare(struct eb_feed *fd, eb_feed_compare compare);
void eb_feed_set_lapse(struct eb_feed *fd, uint32_t lapse_ms);
uint32_t eb_feed_era(uint64_t revision);
uint64_t eb_feed_count(uint64_t revision);
uint64_t eb_feed_make_revision(uint32_t era, uint64_t count);
uint32_t eb_feed_kept(const struct eb_feed *fd);
void eb_feed_free(struct eb_feed *fd);
uint64_t eb_feed_revision(const struct eb_feed *fd);
uint32_t eb_feed_digest(struct eb_feed *fd);
uint64_t eb_feed_start_of_change(const struct eb_feed *fd, uint64_t after);
uint64_t eb_feed_bytes_after(const struct eb_feed *fd, uint64_t after);
enum eb_status eb_feed_apply(struct eb_feed *fd,
			     const struct eb_feed_change *ch, int64_t now_us,
			     int *changed);
enum eb_status eb_feed_replace(struct eb_feed *fd,
			       const struct eb_feed_change *ch, int64_t now_us,
			       int *changed);
int eb_feed_end_hold(struct eb_feed *fd, int64_t now_us);
int eb_feed_has_overrules(const struct eb_feed *fd);
int eb_feed_watched(struct eb_feed *fd, int64_t us);
uint32_t eb_feed_hold_ms(const struct eb_feed *fd, int64_t now_us);
const struct eb_feed_item *eb_feed_next(const struct eb_feed *fd,
					int64_t now_us, uint32_t *pos);
const struct eb_feed_item *eb_feed_find(const struct eb_feed *fd,
					const char *key);

/* Changes */
enum eb_status eb_feed_change_add(struct eb_feed_change *ch, const char *key,
				  const void *value, uint32_t bytes,
				  uint64_t revision, int removed);
void eb_feed_change_clear(struct eb_feed_change *ch);
enum eb_status eb_feed_pack(struct eb_feed *fd, uint64_t after, int64_t now_us,
			    uint8_t **out, uint32_t *bytes);
enum eb_status eb_feed_unpack(const void *data, uint32_t bytes,
			      struct eb_feed_change *ch);

#endif
