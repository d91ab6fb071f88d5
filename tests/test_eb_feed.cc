#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "eb_feed.h"
#include "eb_tunables.h"
}

namespace
{

const int64_t MS = 1000;

struct item {
	const char *key;
	const char *value; /* NULL: removed */
	uint64_t revision;
};

struct change {
	uint64_t after;
	uint64_t revision;
	bool full;
	std::vector<item> items;
	uint32_t hold_ms = 0;
};

enum eb_status apply(eb_feed *fd, const change &c, int64_t now_us, int *changed)
{
	eb_feed_change ch = {};
	enum eb_status st;

	ch.after = c.after;
	ch.revision = c.revision;
	ch.full = c.full;
	ch.hold_ms = c.hold_ms;
	for (const item &it : c.items) {
		const char *value = it.value ? it.value : "";

		EXPECT_EQ(EB_OK, eb_feed_change_add(&ch, it.key, value,
						    (uint32_t)strlen(value),
						    it.revision, !it.value));
	}
	st = eb_feed_apply(fd, &ch, now_us, changed);
	eb_feed_change_clear(&ch);
	return st;
}

/* Returns "key=value " for each item that counts as present. */
std::string content(const eb_feed *fd, int64_t now_us = 0)
{
	const eb_feed_item *it;
	std::string out;
	uint32_t pos = 0;

	while ((it = eb_feed_next(fd, now_us, &pos)))
		out += std::string(it->key) + "=" +
		       std::string((const char *)it->value, it->value_bytes) +
		       " ";
	return out;
}

/*
 * Guards against copies that are taken for equal since their revisions are, and
 * against equal ones that are taken for different because they were read or
 * received in another way.
 */
TEST(Feed, DigestsTellCopiesApart)
{
	const struct {
		const char *name;
		std::vector<change> one, other;
		bool equal, known;
	} cases[] = {
		{ "a full read and changes in turn",
		  { { 0, 9, true, { { "a", "1", 3 }, { "b", "2", 9 } } } },
		  { { 0, 5, true, { { "a", "1", 3 }, { "c", "3", 5 } } },
		    { 5, 9, false, { { "b", "2", 9 }, { "c", nullptr, 7 } } } },
		  true,
		  true },
		{ "an old item at a new revision",
		  { { 0, 9, true, { { "a", "1", 3 } } } },
		  { { 0, 9, true, { { "a", "2", 9 } } } },
		  false,
		  true },
		{ "a missing item",
		  { { 0, 9, true, { { "a", "1", 3 } } } },
		  { { 0, 9, true, { { "a", "1", 3 }, { "b", "2", 4 } } } },
		  false,
		  true },
		{ "a removal that one has not seen",
		  { { 0, 9, true, { { "a", "1", 3 }, { "b", "2", 4 } } } },
		  { { 0, 5, true, { { "a", "1", 3 }, { "b", "2", 4 } } },
		    { 5, 9, false, { { "b", nullptr, 8 } } } },
		  false,
		  true },
		{ "pages of which one is newer than the revision",
		  { { 0, 9, true, { { "a", "1", 3 }, { "b", "2", 11 } } } },
		  { { 0, 9, true, { { "a", "1", 3 }, { "b", "1", 4 } } } },
		  false,
		  false },
	};

	for (const auto &c : cases) {
		uint32_t digests[2];
		int changed;

		for (int i = 0; i < 2; i++) {
			eb_feed *fd = eb_feed_new();

			for (const change &ch : i ? c.other : c.one)
				EXPECT_EQ(EB_OK, apply(fd, ch, 0, &changed))
					<< c.name;
			digests[i] = eb_feed_digest(fd);
			eb_feed_free(fd);
		}
		EXPECT_EQ(c.known, digests[0] != 0) << c.name;
		EXPECT_EQ(c.equal, digests[0] == digests[1]) << c.name;
	}
}

/*
 * Guards against a copy that keeps what a stale read gave, as the change that
 * corrects it is not newer.
 */
TEST(Feed, AFullChangeReplacesAnUnverifiedCopy)
{
	for (uint64_t revision : { 7, 9, 12 }) {
		eb_feed *fd = eb_feed_new();
		eb_feed_change ch = {};
		int changed;

		ASSERT_EQ(EB_OK,
			  apply(fd,
				{ 0,
				  9,
				  true,
				  { { "a", "old", 3 }, { "b", "2", 4 } } },
				0, &changed));
		ch.full = 1;
		ch.revision = revision;
		ASSERT_EQ(EB_OK, eb_feed_change_add(&ch, "a", "new", 3, 7, 0));
		EXPECT_EQ(EB_OK, eb_feed_replace(fd, &ch, 0, &changed));
		EXPECT_EQ(1, changed);
		EXPECT_EQ("a=new ", content(fd));
		EXPECT_EQ(revision, eb_feed_revision(fd));
		ch.full = 0;
		EXPECT_EQ(EB_EINVAL, eb_feed_replace(fd, &ch, 0, &changed));
		eb_feed_change_clear(&ch);
		eb_feed_free(fd);
	}
}

/*
 * Guards against a copy that returns to an older state after a late change,
 * applies a change after a gap, or keeps removed items.
 */
TEST(Feed, ChangesInTurn)
{
	const struct {
		const char *name;
		change ch;
		eb_status status;
		int changed;
		uint64_t revision;
		const char *content;
	} cases[] = {
		{ "a change that leaves a gap",
		  { 5, 7, false, { { "a", "1", 7 } }, 0 },
		  EB_EAGAIN,
		  0,
		  0,
		  "" },
		{ "all items",
		  { 0, 10, true, { { "a", "1", 4 }, { "b", "2", 10 } }, 0 },
		  EB_OK,
		  1,
		  10,
		  "a=1 b=2 " },
		{ "an older full state",
		  { 0, 9, true, { { "a", "0", 3 } }, 0 },
		  EB_ENOTFOUND,
		  0,
		  10,
		  "a=1 b=2 " },
		{ "the same revision again",
		  { 0, 10, true, { { "a", "9", 10 } }, 0 },
		  EB_ENOTFOUND,
		  0,
		  10,
		  "a=1 b=2 " },
		{ "one item changes, one is new",
		  { 10, 12, false, { { "b", "3", 11 }, { "c", "4", 12 } }, 0 },
		  EB_OK,
		  1,
		  12,
		  "a=1 b=3 c=4 " },
		{ "a change that overlaps known revisions",
		  { 9, 13, false, { { "b", "2", 10 }, { "a", "5", 13 } }, 0 },
		  EB_OK,
		  1,
		  13,
		  "a=5 b=3 c=4 " },
		{ "an item is removed",
		  { 13, 14, false, { { "b", nullptr, 14 } }, 0 },
		  EB_OK,
		  1,
		  14,
		  "a=5 c=4 " },
		{ "the removed item's older value arrives late",
		  { 12, 15, false, { { "b", "3", 11 } }, 0 },
		  EB_OK,
		  0,
		  15,
		  "a=5 c=4 " },
		{ "all items, without one",
		  { 0, 16, true, { { "c", "4", 12 } }, 0 },
		  EB_OK,
		  1,
		  16,
		  "c=4 " },
		{ "only a newer revision",
		  { 16, 20, false, {}, 0 },
		  EB_OK,
		  0,
		  20,
		  "c=4 " },
	};
	eb_feed *fd = eb_feed_new();

	for (const auto &c : cases) {
		int changed = -1;

		EXPECT_EQ(c.status, apply(fd, c.ch, 0, &changed)) << c.name;
		EXPECT_EQ(c.changed, changed) << c.name;
		EXPECT_EQ(c.revision, eb_feed_revision(fd)) << c.name;
		EXPECT_EQ(c.content, content(fd)) << c.name;
	}
	eb_feed_free(fd);
}

/* Keys that begin with '!' are never removed; values count as numbers. */
enum eb_feed_age compare_numbers(const eb_feed_item *shown,
				 const eb_feed_item *known)
{
	int a, b;

	if (!shown)
		return *known->key == '!'   ? EB_FEED_OLDER
		       : *known->key == '~' ? EB_FEED_SAME
					    : EB_FEED_NEWER;
	a = atoi(std::string((const char *)shown->value, shown->value_bytes)
			 .c_str());
	b = atoi(std::string((const char *)known->value, known->value_bytes)
			 .c_str());
	if (!a || !b)
		return EB_FEED_AGE_UNKNOWN;
	return a < b ? EB_FEED_OLDER : a == b ? EB_FEED_SAME : EB_FEED_NEWER;
}

/* Revision `count` of the second era; plain numbers are of era 0. */
uint64_t later(uint64_t count)
{
	return eb_feed_make_revision(1, count);
}

/*
 * Guards against a source that has lost changes: a copy took older values for
 * newer ones, brought back what was removed, or kept what is gone. Two copies
 * that know different changes end equal, whichever hears of the other first.
 */
TEST(Feed, ItemsOfASourceThatLostChanges)
{
	const struct {
		const char *name;
		std::vector<item> known; /* at revision 9 */
		std::vector<item> shown; /* by the source, in the next era */
		const char *content;
		uint32_t kept;
	} cases[] = {
		{ "an older value",
		  { { "a", "7", 8 } },
		  { { "a", "5", later(3) } },
		  "a=7 ",
		  1 },
		{ "the same value",
		  { { "a", "7", 4 } },
		  { { "a", "7", later(4) } },
		  "a=7 ",
		  0 },
		{ "a newer value",
		  { { "a", "7", 8 } },
		  { { "a", "8", later(5) } },
		  "a=8 ",
		  0 },
		{ "a value that tells nothing",
		  { { "a", "7", 8 } },
		  { { "a", "x", later(5) } },
		  "a=x ",
		  0 },
		{ "an item that is lost", { { "a", "7", 8 } }, {}, "", 0 },
		{ "a lasting item that is lost",
		  { { "!a", "7", 8 } },
		  {},
		  "!a=7 ",
		  1 },
		{ "a removal that is lost",
		  { { "a", "7", 4 }, { "a", nullptr, 8 } },
		  { { "a", "7", later(4) } },
		  "",
		  1 },
		{ "a removal that is lost, of a newer value",
		  { { "a", "7", 4 }, { "a", nullptr, 8 } },
		  { { "a", "5", later(3) } },
		  "",
		  1 },
		{ "an item that is back after its removal",
		  { { "a", "7", 4 }, { "a", nullptr, 8 } },
		  { { "a", "8", later(5) } },
		  "a=8 ",
		  0 },
		{ "a new item", {}, { { "b", "1", later(5) } }, "b=1 ", 0 },
	};

	for (const auto &c : cases) {
		eb_feed *knows = eb_feed_new(), *starts = eb_feed_new();
		eb_feed *late = eb_feed_new();
		const change source = { 0, later(5), true, c.shown };
		eb_feed_change ch = {};
		uint64_t at = 0;
		uint8_t *packed;
		uint32_t bytes;
		int changed;

		SCOPED_TRACE(c.name);
		for (eb_feed *fd : { knows, starts, late })
			eb_feed_set_compare(fd, compare_numbers);
		for (const item &it : c.known) {
			apply(knows, { at, it.revision, !at, { it } }, 0,
			      &changed);
			at = it.revision;
		}
		apply(knows, { at, 9, !at, {} }, 0, &changed);
		EXPECT_EQ(EB_OK, apply(knows, source, 0, &changed));
		EXPECT_EQ(c.content, content(knows));
		EXPECT_EQ(c.kept, eb_feed_kept(knows));
		/* A second read does not change that. */
		EXPECT_EQ(EB_ENOTFOUND, apply(knows, source, 0, &changed));
		apply(knows, { 0, later(6), true, c.shown }, 0, &changed);
		EXPECT_EQ(c.content, content(knows));

		/* One that has read the source only, and one without a copy. */
		apply(starts, { 0, later(6), true, c.shown }, 0, &changed);
		ASSERT_EQ(EB_OK, eb_feed_pack(knows, 0, 0, &packed, &bytes));
		ASSERT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch));
		EXPECT_EQ(EB_ENOTFOUND,
			  eb_feed_apply(starts, &ch, 0, &changed));
		EXPECT_EQ(EB_OK, eb_feed_apply(late, &ch, 0, &changed));
		EXPECT_EQ(c.content, content(starts));
		EXPECT_EQ(c.content, content(late));
		EXPECT_EQ(eb_feed_digest(knows), eb_feed_digest(starts));
		EXPECT_EQ(eb_feed_digest(knows), eb_feed_digest(late));
		eb_feed_change_clear(&ch);
		free(packed);
		/* What the one that starts knew does not change the other. */
		ASSERT_EQ(EB_OK, eb_feed_pack(starts, 0, 0, &packed, &bytes));
		ASSERT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch));
		eb_feed_apply(knows, &ch, 0, &changed);
		EXPECT_EQ(c.content, content(knows));
		eb_feed_change_clear(&ch);
		free(packed);
		/* A removal in the new era is one. */
		apply(late,
		      { later(6),
			later(7),
			false,
			{ { "a", nullptr, later(7) } } },
		      0, &changed);
		EXPECT_EQ(nullptr, eb_feed_find(late, "a"));
		for (eb_feed *fd : { knows, starts, late })
			eb_feed_free(fd);
	}
}

/*
 * Guards against a stale read that names the new era and shows what was lost:
 * its revisions hid the writes that used them again.
 */
TEST(Feed, AStaleReadOfLostItemsHidesNothing)
{
	eb_feed *fd = eb_feed_new();
	eb_feed_change ch = {};
	int changed;

	eb_feed_set_compare(fd, compare_numbers);
	apply(fd,
	      { 0,
		later(40),
		true,
		{ { "!a", "7", later(39) },
		  { "b", "3", later(38) },
		  { "c", "1", later(37) } } },
	      0, &changed);
	ch.full = 1;
	ch.revision = later(30);
	eb_feed_change_add(&ch, "!a", "5", 1, later(20), 0);
	eb_feed_change_add(&ch, "c", "1", 1, later(21), 0);
	EXPECT_EQ(EB_OK, eb_feed_replace(fd, &ch, 0, &changed));
	eb_feed_change_clear(&ch);
	/* The state of the lost time stays, an entry that is gone does not. */
	EXPECT_EQ("!a=7 c=1 ", content(fd));
	EXPECT_NE(0u, eb_feed_digest(fd));
	EXPECT_EQ(EB_OK, apply(fd,
			       { later(30),
				 later(33),
				 false,
				 { { "!a", "8", later(31) },
				   { "b", "4", later(32) },
				   { "c", nullptr, later(33) } } },
			       0, &changed));
	EXPECT_EQ("!a=8 b=4 ", content(fd));
	eb_feed_free(fd);
}

/*
 * Guards against a source that goes back just after an outage: entries that
 * were missing then, but listed again now, counted as departures.
 */
TEST(Feed, AHeldItemIsNoDeparture)
{
	const int64_t now = 1000 * MS, later_us = now + 60000 * MS;
	eb_feed *fd = eb_feed_new();
	int changed;

	eb_feed_set_compare(fd, compare_numbers);
	apply(fd, { 0, 5, true, { { "a", "1", 3 }, { "b", "2", 4 } } }, now,
	      &changed);
	apply(fd, { 0, 9, true, { { "b", "2", 4 } }, EB_FEED_HOLD_MS }, now,
	      &changed);
	EXPECT_EQ("a=1 b=2 ", content(fd, now));
	apply(fd,
	      { 0,
		later(4),
		true,
		{ { "a", "1", later(3) }, { "b", "2", later(4) } },
		EB_FEED_HOLD_MS },
	      now + 1000 * MS, &changed);
	EXPECT_EQ("a=1 b=2 ", content(fd, now + 1000 * MS));
	EXPECT_EQ("a=1 b=2 ", content(fd, later_us));
	eb_feed_free(fd);
}

/* Takes over what another copy knows at the same revision. */
void join(eb_feed *to, eb_feed *from, int64_t now_us)
{
	eb_feed_change ch = {};
	uint8_t *packed;
	uint32_t bytes;
	int changed;

	ASSERT_EQ(EB_OK, eb_feed_pack(from, 0, now_us, &packed, &bytes));
	ASSERT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch));
	eb_feed_apply(to, &ch, now_us, &changed);
	eb_feed_change_clear(&ch);
	free(packed);
}

/*
 * Guards against an entry that expired, not ended, before the source went back,
 * and counts as gone although the source lists it on and on; and against copies
 * that never agree on it.
 */
TEST(Feed, ALostRemovalOverrulesForATimeOnly)
{
	const int64_t start = 1000 * MS, late = 5000 * MS,
		      whole = (EB_ENTRY_LAPSE_DEFAULT_MS + EB_FEED_HOLD_MS +
			       EB_FEED_OVERRULE_MARGIN_MS) *
			      MS,
		      end = start + whole;
	const change source = { 0,
				later(5),
				true,
				{ { "a", "1", later(3) },
				  { "b", "2", later(4) },
				  { "c", "3", later(5) } },
				0 };
	eb_feed *knows = eb_feed_new(), *learns = eb_feed_new();
	eb_feed *reads = eb_feed_new();
	int changed;

	for (eb_feed *fd : { knows, learns, reads })
		eb_feed_set_compare(fd, compare_numbers);
	apply(knows, { 0, 5, true, { { "a", "1", 3 }, { "b", "2", 4 } }, 0 },
	      start, &changed);
	apply(knows, { 5, 9, false, { { "a", nullptr, 9 } }, 0 }, start,
	      &changed);
	apply(knows, source, start, &changed);
	/* One that has read the source only knows of no removal. */
	apply(reads, source, start, &changed);
	EXPECT_EQ(0, eb_feed_watched(knows, late));
	join(learns, knows, late);
	EXPECT_EQ("b=2 c=3 ", content(knows, late));
	EXPECT_EQ("b=2 c=3 ", content(learns, late));
	EXPECT_EQ(0, eb_feed_watched(knows, whole - late - 1));
	EXPECT_EQ(1, eb_feed_watched(knows, 1));
	EXPECT_EQ(0, eb_feed_watched(knows, whole)) << "only once";
	EXPECT_EQ(0, eb_feed_watched(learns, whole - late));
	EXPECT_EQ("a=1 b=2 c=3 ", content(knows, end));
	EXPECT_EQ(0u, eb_feed_kept(knows));
	/* The one that learned of it later does not undo that. */
	join(knows, learns, end);
	EXPECT_EQ("a=1 b=2 c=3 ", content(knows, end));
	join(learns, knows, end);
	EXPECT_EQ("b=2 c=3 ", content(learns, end));
	EXPECT_EQ(1, eb_feed_watched(learns, late));
	EXPECT_EQ("a=1 b=2 c=3 ", content(learns, end));
	/* All copies agree with that of the source in the end. */
	EXPECT_EQ(eb_feed_digest(reads), eb_feed_digest(knows));
	EXPECT_EQ(eb_feed_digest(reads), eb_feed_digest(learns));
	for (eb_feed *fd : { knows, learns, reads })
		eb_feed_free(fd);
}

/* Guards against a departure that is undone since its removal was lost. */
TEST(Feed, ALostRemovalThatComesAgainStays)
{
	const int64_t start = 1000 * MS, end = start + 60000 * MS;
	const struct {
		const char *name;
		change again;
	} cases[] = {
		{ "removed once more",
		  { later(5),
		    later(7),
		    false,
		    { { "a", nullptr, later(7) } },
		    0 } },
		{ "no longer listed",
		  { 0, later(7), true, { { "b", "2", later(4) } }, 0 } },
	};

	for (const auto &c : cases) {
		eb_feed *fd = eb_feed_new();
		int changed;

		eb_feed_set_compare(fd, compare_numbers);
		apply(fd,
		      { 0, 5, true, { { "a", "1", 3 }, { "b", "2", 4 } }, 0 },
		      start, &changed);
		apply(fd, { 5, 9, false, { { "a", nullptr, 9 } }, 0 }, start,
		      &changed);
		apply(fd,
		      { 0,
			later(5),
			true,
			{ { "a", "1", later(3) }, { "b", "2", later(4) } },
			0 },
		      start, &changed);
		EXPECT_EQ(1u, eb_feed_kept(fd)) << c.name;
		apply(fd, c.again, start, &changed);
		EXPECT_EQ(0, eb_feed_watched(fd, end)) << c.name;
		EXPECT_EQ("b=2 ", content(fd, end)) << c.name;
		eb_feed_free(fd);
	}
}

/*
 * Guards against an evacuation that ends because the source has lost it, one
 * that stays for ever, and copies that give it to each other on and on.
 */
TEST(Feed, ALostItemStaysForATime)
{
	const int64_t whole = EB_FEED_LOST_KEEP_MS * MS;
	const change source = { 0, later(4), true, { { "a", "1", later(3) } } };
	eb_feed *knows = eb_feed_new(), *learns = eb_feed_new();
	int changed;

	for (eb_feed *fd : { knows, learns })
		eb_feed_set_compare(fd, compare_numbers);
	apply(knows, { 0, 9, true, { { "a", "1", 3 }, { "~b", "{}", 9 } } }, 0,
	      &changed);
	EXPECT_EQ(0, eb_feed_has_overrules(knows));
	apply(knows, source, 0, &changed);
	EXPECT_EQ("a=1 ~b={} ", content(knows));
	EXPECT_EQ(0, eb_feed_watched(knows, whole / 2));
	/* A daemon that starts takes it over, and has the time for itself. */
	join(learns, knows, 0);
	EXPECT_EQ("a=1 ~b={} ", content(learns));
	EXPECT_EQ(0, eb_feed_watched(knows, whole / 2 - 1));
	EXPECT_EQ(1, eb_feed_watched(knows, 1));
	EXPECT_EQ("a=1 ", content(knows));
	join(knows, learns, 0);
	EXPECT_EQ("a=1 ", content(knows));
	EXPECT_EQ(0, eb_feed_watched(learns, whole - 1));
	EXPECT_EQ(1, eb_feed_watched(learns, 1));
	EXPECT_EQ("a=1 ", content(learns));
	EXPECT_EQ(eb_feed_digest(knows), eb_feed_digest(learns));
	for (eb_feed *fd : { knows, learns })
		eb_feed_free(fd);
}

/* Guards against a lost item that can't be removed, or is once it is back. */
TEST(Feed, WhatIsWrittenAfterTheLossCounts)
{
	const struct {
		const char *name;
		std::vector<change> changes;
		const char *content; /* after the time of lost items */
	} cases[] = {
		{ "removed",
		  { { later(4),
		      later(5),
		      false,
		      { { "~b", nullptr, later(5) } } } },
		  "" },
		{ "written again",
		  { { later(4),
		      later(5),
		      false,
		      { { "~b", "{}", later(5) } } } },
		  "~b={} " },
		{ "written again and removed",
		  { { later(4), later(5), false, { { "~b", "{}", later(5) } } },
		    { 0, later(6), true, { { "a", "1", later(6) } } } },
		  "a=1 " },
		{ "lost in two eras",
		  { { 0, eb_feed_make_revision(2, 3), true, {} } },
		  "" },
		{ "a removal that is lost: the source lists it again",
		  { { later(4),
		      later(5),
		      false,
		      { { "~b", nullptr, later(5) } } },
		    { 0,
		      eb_feed_make_revision(2, 4),
		      true,
		      { { "~b", "{}", eb_feed_make_revision(2, 3) } } } },
		  "~b={} " },
	};

	for (const auto &c : cases) {
		eb_feed *fd = eb_feed_new();
		int changed;

		eb_feed_set_compare(fd, compare_numbers);
		apply(fd, { 0, 9, true, { { "~b", "{}", 9 } } }, 0, &changed);
		apply(fd, { 0, later(4), true, {} }, 0, &changed);
		EXPECT_EQ("~b={} ", content(fd)) << c.name;
		for (const change &ch : c.changes)
			EXPECT_EQ(EB_OK, apply(fd, ch, 0, &changed)) << c.name;
		eb_feed_watched(fd, EB_FEED_LOST_KEEP_MS * MS);
		EXPECT_EQ(c.content, content(fd)) << c.name;
		eb_feed_free(fd);
	}
}

/*
 * Guards against a daemon without knowledge of eras, whose revisions are all of
 * the first one: its changes must not replace what was read later.
 */
TEST(Feed, ChangesWithoutAnEraAreOlder)
{
	eb_feed *fd = eb_feed_new();
	uint8_t *packed;
	uint32_t bytes;
	int changed;

	apply(fd, { 0, later(5), true, { { "a", "7", later(5) } } }, 0,
	      &changed);
	EXPECT_EQ(EB_ENOTFOUND, apply(fd, { 0, 80, true, { { "a", "6", 80 } } },
				      0, &changed));
	EXPECT_EQ(EB_ENOTFOUND,
		  apply(fd, { 70, 81, false, { { "a", "9", 81 } } }, 0,
			&changed));
	EXPECT_EQ("a=7 ", content(fd));
	/* It gets all items, whatever its revision is. */
	EXPECT_EQ(0u, eb_feed_start_of_change(fd, 80));
	ASSERT_EQ(EB_OK, eb_feed_pack(fd, 80, 0, &packed, &bytes));
	free(packed);
	eb_feed_free(fd);
}

/*
 * Guards against upstreams that are dropped because their entries expired
 * during an outage of the source, and against entries that are never removed.
 */
TEST(Feed, RemovedItemsAreHeldAfterAnOutage)
{
	eb_feed *fd = eb_feed_new();
	int64_t now = 1000 * MS, until = now + EB_FEED_HOLD_MS * MS;
	int changed;

	apply(fd, { 0, 5, true, { { "a", "1", 4 }, { "b", "2", 5 } }, 0 }, now,
	      &changed);
	apply(fd, { 0, 9, true, { { "b", "2", 5 } }, EB_FEED_HOLD_MS }, now,
	      &changed);
	EXPECT_EQ("a=1 b=2 ", content(fd, now));
	EXPECT_EQ(0, eb_feed_end_hold(fd, until - 1));
	EXPECT_GT(eb_feed_hold_ms(fd, until - MS), 0u);
	EXPECT_EQ(1, eb_feed_end_hold(fd, until));
	EXPECT_EQ(0, eb_feed_end_hold(fd, until)) << "returns 1 only once";
	EXPECT_EQ("b=2 ", content(fd, until));
	EXPECT_EQ(nullptr, eb_feed_find(fd, "a"));
	eb_feed_free(fd);
}

/*
 * Guards against a change that peers refuse as malformed: one packed at the
 * start of a hold named a longer hold than the longest allowed one.
 */
TEST(Feed, AChangeAtTheStartOfAHoldIsAccepted)
{
	for (int64_t later_us : { 0, 1, 999, 1000, 1001 }) {
		const int64_t now = 1000 * MS;
		eb_feed *fd = eb_feed_new();
		eb_feed_change ch = {};
		uint8_t *packed;
		uint32_t bytes;
		int changed;

		apply(fd, { 0, 5, true, { { "a", "1", 4 } }, EB_FEED_HOLD_MS },
		      now, &changed);
		ASSERT_EQ(EB_OK,
			  eb_feed_pack(fd, 0, now + later_us, &packed, &bytes));
		EXPECT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch))
			<< later_us;
		EXPECT_GE((uint32_t)EB_FEED_HOLD_MS, ch.hold_ms) << later_us;
		eb_feed_change_clear(&ch);
		free(packed);
		eb_feed_free(fd);
	}
}

/*
 * Guards against an outage that brings back upstreams which left before it: the
 * hold of removed items covered all removals that the copy remembered. A peer
 * that was behind learns of the older removals and of the hold at once.
 */
TEST(Feed, AHoldKeepsOnlyWhatIsRemovedAfterTheOutage)
{
	const int64_t now = 1000 * MS;
	const struct {
		const char *name;
		uint64_t peer_at; /* revision of the peer before the change */
		const char *peer_content;
	} cases[] = {
		{ "a peer at the reader's revision", 7, "b=2 c=3 " },
		{ "a peer that missed a removal", 5, "b=2 c=3 " },
	};

	for (const auto &c : cases) {
		eb_feed *fd = eb_feed_new(), *peer = eb_feed_new();
		const change start = {
			0,
			5,
			true,
			{ { "a", "1", 3 }, { "b", "2", 4 }, { "c", "3", 5 } },
			0
		};
		const change left = { 5, 7, false, { { "a", nullptr, 7 } }, 0 };
		eb_feed_change ch = {};
		uint8_t *packed;
		uint32_t bytes;
		int changed;

		apply(fd, start, now, &changed);
		apply(peer, start, now, &changed);
		apply(fd, left, now, &changed);
		if (c.peer_at == 7)
			apply(peer, left, now, &changed);
		/* "b" is gone after the outage, and "a" was before it. */
		apply(fd, { 0, 9, true, { { "c", "3", 5 } }, EB_FEED_HOLD_MS },
		      now, &changed);
		EXPECT_EQ("b=2 c=3 ", content(fd, now)) << c.name;
		ASSERT_EQ(EB_OK,
			  eb_feed_pack(fd, c.peer_at, now, &packed, &bytes));
		ASSERT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch));
		EXPECT_EQ(EB_OK, eb_feed_apply(peer, &ch, now, &changed));
		EXPECT_EQ(c.peer_content, content(peer, now)) << c.name;
		EXPECT_EQ(1, eb_feed_end_hold(peer, now + 3000 * MS));
		EXPECT_EQ("c=3 ", content(peer, now + 3000 * MS)) << c.name;
		eb_feed_change_clear(&ch);
		free(packed);
		eb_feed_free(fd);
		eb_feed_free(peer);
	}
}

/*
 * Guards against a packed change that leaves out items or removals which a
 * peer at an older revision lacks.
 */
TEST(Feed, PeersAtAnyRevisionAreBroughtUpToDate)
{
	eb_feed *from = eb_feed_new();
	int changed;

	apply(from, { 0, 4, true, { { "a", "1", 3 }, { "b", "2", 4 } }, 0 }, 0,
	      &changed);
	apply(from,
	      { 4, 6, false, { { "a", nullptr, 5 }, { "c", "3", 6 } }, 0 }, 0,
	      &changed);
	for (uint64_t at : { 0, 2, 4, 5 }) {
		eb_feed *to = eb_feed_new();
		eb_feed_change ch = {};
		uint8_t *packed;
		uint32_t bytes;

		if (at == 5)
			apply(to, { 0, at, true, { { "b", "2", 4 } }, 0 }, 0,
			      &changed);
		else if (at >= 2)
			apply(to, { 0, at, true, { { "a", "1", 2 } }, 0 }, 0,
			      &changed);
		ASSERT_EQ(EB_OK, eb_feed_pack(from, at, 0, &packed, &bytes));
		ASSERT_EQ(EB_OK, eb_feed_unpack(packed, bytes, &ch));
		EXPECT_EQ(EB_OK, eb_feed_apply(to, &ch, 0, &changed)) << at;
		EXPECT_EQ(6u, eb_feed_revision(to)) << at;
		if (at < 4) {
			EXPECT_EQ("b=2 c=3 ", content(to)) << at;
		} else {
			EXPECT_EQ(nullptr, eb_feed_find(to, "a")) << at;
		}
		eb_feed_change_clear(&ch);
		free(packed);
		eb_feed_free(to);
	}
	eb_feed_free(from);
}

/* Guards against peer data that crashes a daemon or exhausts its memory. */
TEST(Feed, UnpackRefusesWhatIsNoChange)
{
	eb_feed *fd = eb_feed_new();
	eb_feed_change ch = {};
	uint8_t *packed;
	uint32_t bytes;
	int changed;

	apply(fd, { 0, 4, true, { { "a", "value", 3 } }, 0 }, 0, &changed);
	ASSERT_EQ(EB_OK, eb_feed_pack(fd, 0, 0, &packed, &bytes));
	for (uint32_t n = 0; n < bytes; n++) {
		/* A whole change of a daemon that sends no digest. */
		if (n == bytes - sizeof(ch.digest))
			continue;
		EXPECT_NE(EB_OK, eb_feed_unpack(packed, n, &ch)) << n;
		EXPECT_EQ(0u, ch.count);
	}
	EXPECT_EQ(EB_OK,
		  eb_feed_unpack(packed, bytes - sizeof(ch.digest), &ch));
	EXPECT_EQ(1u, ch.count);
	EXPECT_EQ(4u, ch.revision);
	EXPECT_EQ(0u, ch.digest);
	eb_feed_change_clear(&ch);
	for (uint32_t i = 0; i < bytes; i++) {
		packed[i] ^= 0x55;
		eb_feed_unpack(packed, bytes, &ch);
		eb_feed_change_clear(&ch);
		packed[i] ^= 0x55;
	}
	memset(packed, 0xff, 4);
	EXPECT_EQ(EB_EFULL, eb_feed_unpack(packed, bytes, &ch));
	free(packed);
	eb_feed_free(fd);
}

} // namespace
