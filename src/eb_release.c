#include "eb_release.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "eb_check.h"
#include "eb_fields.h"
#include "eb_json_path.h"
#include "eb_names.h"

#define AT(type, member) offsetof(struct type, member)

enum section { ADDED = 0, CHANGED, WITHDRAWN, SECTIONS };

static const char *const section_names[SECTIONS] = { "added", "changed",
						     "withdrawn" };

/* An element of one of the note's lists; it names an item. */
struct change {
	const char *name;
	const json_t *json;
	enum section section;
	size_t index;
	const void *base; /* the item in the base, or NULL */
	void *item;	  /* the new item, or NULL */
	int repeated;	  /* an earlier change has the same name */
};

/*
 * An item of the next configuration; `change` is NULL for one that the note
 * leaves as it is.
 */
struct entry {
	void *item;
	const struct change *change;
};

/* The changes and the resulting items of one kind. */
struct list {
	struct change *changes;
	size_t change_count;
	struct entry *entries;
	uint32_t count;
};

struct note {
	const struct eb_config *base; /* NULL: not known */
	const json_t *json;
	const char *source;
	const char *text; /* NULL: findings have no line */
	size_t bytes;
	struct eb_findings *fs;
	struct list lists[EB_ITEM_KINDS];
	uint64_t release;
	int failed; /* out of memory */
};

/* The first members of each kind of item. */
struct item {
	int32_t refs;
	char *name;
};

/* Adds a finding on the value at `path`. */
static void report(const struct note *nt, const struct eb_json_path *path,
		   const char *fmt, ...) __attribute__((format(printf, 3, 4)));

static void report(const struct note *nt, const struct eb_json_path *path,
		   const char *fmt, ...)
{
	char field[EB_JSON_PATH_TEXT_BYTES], reason[320];
	int32_t line = 0;
	va_list ap;

	if (nt->fs->count == EB_FINDINGS_MAX) {
		nt->fs->dropped++;
		return;
	}
	va_start(ap, fmt);
	vsnprintf(reason, sizeof(reason), fmt, ap);
	va_end(ap);
	eb_json_path_print(path, field);
	if (nt->text)
		line = eb_json_path_line(nt->text, nt->bytes, path);
	eb_findings_add(nt->fs, nt->source, line, field, "%s", reason);
}

/*
 * Adds a finding on a change, or with `key` on that member of it. `fmt` has
 * one %s, which stands for `name`.
 */
static void report_change(const struct note *nt, enum eb_item_kind kind,
			  const struct change *ch, const char *key,
			  const char *fmt, const char *name)
{
	struct eb_json_path section = { NULL, section_names[ch->section], 0 };
	struct eb_json_path list = { &section, eb_item_schemas[kind].plural,
				     0 };
	struct eb_json_path item = { &list, NULL, ch->index };
	struct eb_json_path member = { &item, key, 0 };
	char printable[128];

	eb_copy_printable(name, printable, sizeof(printable));
	report(nt, key ? &member : &item, fmt, printable);
}

static void set_text(struct note *nt, char **slot, const char *text)
{
	free(*slot);
	*slot = text ? strdup(text) : NULL;
	if (text && !*slot)
		nt->failed = 1;
}

static void set_default(struct note *nt, const struct eb_field *fd, char *item)
{
	const struct eb_field *m;

	switch (fd->type) {
	case EB_FIELD_TEXT:
		set_text(nt, (char **)(item + fd->offset), fd->text);
		break;
	case EB_FIELD_UINT:
		*(uint32_t *)(item + fd->offset) = fd->value;
		break;
	case EB_FIELD_BOOL:
		*(uint8_t *)(item + fd->offset) = (uint8_t)fd->value;
		break;
	case EB_FIELD_KEY:
		item[fd->offset] = 0;
		break;
	case EB_FIELD_LIST:
		eb_texts_clear((struct eb_texts *)(item + fd->offset));
		break;
	default:
		for (m = fd->members; m->name; m++)
			set_default(nt, m, item);
	}
}

static void read_text(struct note *nt, const struct eb_field *fd,
		      const json_t *value, const struct eb_json_path *path,
		      char *item)
{
	const char *text = json_string_value(value), *reason;

	if (!text) {
		report(nt, path, "expected a string");
		return;
	}
	reason = fd->check(text);
	if (reason)
		report(nt, path, "%s", reason);
	else if (fd->type == EB_FIELD_KEY)
		memcpy(item + fd->offset, text, strlen(text) + 1);
	else
		set_text(nt, (char **)(item + fd->offset), text);
}

static void read_number(struct note *nt, const struct eb_field *fd,
			const json_t *value, const struct eb_json_path *path,
			char *item)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value))
		report(nt, path, "expected an integer");
	else if (number < fd->min || number > fd->max)
		report(nt, path, "expected %u to %u, not %lld", fd->min,
		       fd->max, (long long)number);
	else
		*(uint32_t *)(item + fd->offset) = (uint32_t)number;
}

/* Reads a list of different strings, which must not be empty. */
static void read_texts(struct note *nt, const struct eb_field *fd,
		       const json_t *value, const struct eb_json_path *path,
		       char *item)
{
	struct eb_texts *ts = (struct eb_texts *)(item + fd->offset);
	struct eb_json_path at = { path, NULL, 0 };
	const char *text, *reason;

	eb_texts_clear(ts);
	if (!json_is_array(value) || !json_array_size(value) ||
	    json_array_size(value) > fd->max) {
		report(nt, path, "expected an array of 1 to %u strings",
		       fd->max);
		return;
	}
	for (; at.index < json_array_size(value); at.index++) {
		text = json_string_value(json_array_get(value, at.index));
		reason = text ? fd->check(text) : "expected a string";
		if (!reason && eb_texts_has(ts, text))
			reason = "appears twice in this list";
		if (reason)
			report(nt, &at, "%s", reason);
		else if (eb_texts_add(ts, text))
			nt->failed = 1;
	}
}

static void read_fields(struct note *nt, const struct eb_field *fields,
			const json_t *json, const struct eb_json_path *path,
			int partial, char *item);

static void read_field(struct note *nt, const struct eb_field *fd,
		       const json_t *value, const struct eb_json_path *path,
		       char *item)
{
	switch (fd->type) {
	case EB_FIELD_UINT:
		read_number(nt, fd, value, path, item);
		break;
	case EB_FIELD_BOOL:
		if (json_is_boolean(value))
			item[fd->offset] = json_is_true(value);
		else
			report(nt, path, "expected true or false");
		break;
	case EB_FIELD_LIST:
		read_texts(nt, fd, value, path, item);
		break;
	case EB_FIELD_OBJECT:
		if (!json_is_object(value)) {
			report(nt, path, "expected an object");
			break;
		}
		set_default(nt, fd, item);
		read_fields(nt, fd->members, value, path, 0, item);
		if (!json_object_size(value))
			report(nt, path, "expected at least one field");
		break;
	default:
		read_text(nt, fd, value, path, item);
	}
}

static const struct eb_field *find_field(const struct eb_field *fields,
					 const char *name)
{
	for (; fields->name; fields++)
		if (!strcmp(fields->name, name))
			return fields;
	return NULL;
}

/*
 * Reads all fields of an object into an item. With `partial`, a field that
 * is not given keeps its value, and null gives an optional one its default.
 */
static void read_fields(struct note *nt, const struct eb_field *fields,
			const json_t *json, const struct eb_json_path *path,
			int partial, char *item)
{
	struct eb_json_path at = { path, NULL, 0 };
	const struct eb_field *fd;
	const json_t *value;

	for (fd = fields; fd->name; fd++) {
		at.key = fd->name;
		value = json_object_get(json, fd->name);
		if (value && !(partial && json_is_null(value)))
			read_field(nt, fd, value, &at, item);
		else if (fd->required && !(partial && !value))
			report(nt, &at, "this field is required");
		else if (!partial || value)
			set_default(nt, fd, item);
	}
	json_object_foreach((json_t *)json, at.key,
			    value) if (!find_field(fields, at.key))
		report(nt, &at, "unknown field");
}

/*
 * Returns the name of the item that an element of a list changes, or NULL
 * after adding a finding.
 */
static const char *read_name(struct note *nt, enum section section,
			     const json_t *json,
			     const struct eb_json_path *path)
{
	struct eb_json_path at = { path, "name", 0 };
	const char *name, *reason;

	if (section == WITHDRAWN) {
		name = json_string_value(json);
		if (!name)
			report(nt, path, "expected a name");
		return name;
	}
	if (!json_is_object(json)) {
		report(nt, path, "expected an object");
		return NULL;
	}
	name = json_string_value(json_object_get(json, "name"));
	if (!name) {
		report(nt, &at, "a name is required");
		return NULL;
	}
	reason = section == CHANGED ? eb_check_name(name) : NULL;
	if (reason)
		report(nt, &at, "%s", reason);
	return reason ? NULL : name;
}

static void read_list(struct note *nt, enum eb_item_kind kind,
		      enum section section, const json_t *json,
		      const struct eb_json_path *path)
{
	struct list *ls = &nt->lists[kind];
	struct eb_json_path at = { path, NULL, 0 };
	struct change *ch;
	const json_t *value;
	const char *name;

	if (json && !json_is_array(json)) {
		report(nt, path, "expected an array");
		return;
	}
	for (at.index = 0; at.index < json_array_size(json); at.index++) {
		value = json_array_get(json, at.index);
		name = read_name(nt, section, value, &at);
		if (!name)
			continue;
		ch = &ls->changes[ls->change_count++];
		ch->name = name;
		ch->json = value;
		ch->section = section;
		ch->index = at.index;
	}
}

static size_t count_changes(const json_t *json, enum eb_item_kind kind)
{
	const json_t *section;
	size_t n = 0;
	int i;

	for (i = 0; i < SECTIONS; i++) {
		section = json_object_get(json, section_names[i]);
		n += json_array_size(
			json_object_get(section, eb_item_schemas[kind].plural));
	}
	return n;
}

static void read_section(struct note *nt, enum section section)
{
	const json_t *json = json_object_get(nt->json, section_names[section]);
	struct eb_json_path top = { NULL, section_names[section], 0 };
	struct eb_json_path at = { &top, NULL, 0 };
	const json_t *value;
	int i;

	if (!json)
		return;
	if (!json_is_object(json)) {
		report(nt, &top, "expected an object");
		return;
	}
	json_object_foreach((json_t *)json, at.key, value)
	{
		for (i = 0; i < EB_ITEM_KINDS; i++)
			if (!strcmp(eb_item_schemas[i].plural, at.key))
				break;
		if (i == EB_ITEM_KINDS)
			report(nt, &at, "unknown field");
		else
			read_list(nt, (enum eb_item_kind)i, section, value,
				  &at);
	}
}

/* Reads `release` and checks the top-level fields except the sections. */
static void read_top_level(struct note *nt)
{
	static const char *const known[] = { "release", "builds_on",
					     "note",	"added",
					     "changed", "withdrawn",
					     NULL };
	const json_t *release = json_object_get(nt->json, "release");
	const json_t *builds = json_object_get(nt->json, "builds_on");
	const json_t *text = json_object_get(nt->json, "note"), *value;
	struct eb_json_path at = { NULL, "release", 0 };
	int i;

	if (json_integer_value(release) < 1)
		report(nt, &at, "expected a positive integer");
	else if (json_is_integer(builds) &&
		 json_integer_value(release) <= json_integer_value(builds))
		report(nt, &at, "expected a number above builds_on");
	nt->release = (uint64_t)json_integer_value(release);
	at.key = "builds_on";
	if (!json_is_integer(builds) || json_integer_value(builds) < 0)
		report(nt, &at, "expected a non-negative integer");
	else if (nt->base &&
		 (uint64_t)json_integer_value(builds) != nt->base->release)
		report(nt, &at, "release %llu is in force, not %lld",
		       (unsigned long long)nt->base->release,
		       (long long)json_integer_value(builds));
	at.key = "note";
	if (text && !json_is_string(text))
		report(nt, &at, "expected a string");
	json_object_foreach((json_t *)nt->json, at.key, value)
	{
		for (i = 0; known[i] && strcmp(known[i], at.key) != 0; i++)
			;
		if (!known[i])
			report(nt, &at, "unknown field");
	}
}

/* Reports each change that has the name of an earlier one. */
static void find_repeated(struct note *nt, enum eb_item_kind kind,
			  const struct eb_names *names)
{
	struct change *ch;
	size_t i;

	for (i = 1; i < names->count; i++) {
		ch = names->items[i].data;
		ch->repeated = !strcmp(names->items[i - 1].text, ch->name);
		if (ch->repeated)
			report_change(nt, kind, ch, NULL,
				      "\"%s\" appears twice in this note",
				      ch->name);
	}
}

/*
 * Links each change to the item of the base that it names, and keeps the
 * other items in their order. The index holds the names of the note rather
 * than those of the base: a note comes every few seconds and has few names,
 * and the base is large.
 */
static void match_base(struct note *nt, enum eb_item_kind kind,
		       const void *items, uint32_t count)
{
	struct item *const *list = items;
	struct list *ls = &nt->lists[kind];
	struct eb_names names;
	struct eb_name *nm;
	struct change *ch;
	size_t i;

	if (eb_names_init(&names, ls->change_count)) {
		nt->failed = 1;
		return;
	}
	for (i = 0; i < ls->change_count; i++)
		eb_names_add(&names, ls->changes[i].name, &ls->changes[i]);
	eb_names_sort(&names);
	find_repeated(nt, kind, &names);
	for (i = 0; i < count; i++) {
		nm = eb_names_find(&names, list[i]->name);
		ch = nm ? nm->data : NULL;
		if (ch)
			ch->base = list[i];
		if (!ch || ch->section == ADDED)
			ls->entries[ls->count++].item =
				eb_config_item_ref(list[i]);
	}
	eb_names_clear(&names);
}

/* Creates the item of an added or changed element and checks its fields. */
static void make_item(struct note *nt, enum eb_item_kind kind,
		      struct change *ch)
{
	struct eb_json_path section = { NULL, section_names[ch->section], 0 };
	struct eb_json_path list = { &section, eb_item_schemas[kind].plural,
				     0 };
	struct eb_json_path path = { &list, NULL, ch->index };
	struct list *ls = &nt->lists[kind];
	int partial = ch->section == CHANGED;

	if (ch->section == ADDED && ch->base)
		report_change(nt, kind, ch, "name", "\"%s\" exists already",
			      ch->name);
	if (ch->section != ADDED && !ch->base && !ch->repeated && nt->base)
		report_change(nt, kind, ch, partial ? "name" : NULL,
			      "there is no \"%s\"", ch->name);
	if (ch->section == WITHDRAWN)
		return;
	if (partial && ch->base)
		ch->item = eb_config_item_copy(kind, ch->base);
	else
		ch->item = eb_config_item_new(kind);
	if (!ch->item) {
		nt->failed = 1;
		return;
	}
	read_fields(nt, eb_item_schemas[kind].fields, ch->json, &path, partial,
		    ch->item);
	if (partial && !ch->base) {
		/* Incomplete without its base; only its fields are checked. */
		eb_config_item_unref(kind, ch->item);
		ch->item = NULL;
		return;
	}
	ls->entries[ls->count].item = ch->item;
	ls->entries[ls->count++].change = ch;
}

static const void *base_items(const struct note *nt, enum eb_item_kind kind,
			      uint32_t *count)
{
	*count = 0;
	if (!nt->base)
		return NULL;
	if (kind == EB_ITEM_RULE) {
		*count = nt->base->rule_count;
		return nt->base->rules;
	}
	if (kind == EB_ITEM_SERVICE) {
		*count = nt->base->service_total;
		return nt->base->services;
	}
	*count = nt->base->upstream_total;
	return nt->base->upstreams;
}

static const char *sort_key(enum eb_item_kind kind, const void *item)
{
	if (kind != EB_ITEM_UPSTREAM)
		return "";
	return ((const struct eb_upstream *)item)->service_name
		       ? ((const struct eb_upstream *)item)->service_name
		       : "";
}

static int compare_names(const struct entry *x, const struct entry *y)
{
	const char *p = ((const struct item *)x->item)->name;
	const char *q = ((const struct item *)y->item)->name;

	return strcmp(p ? p : "", q ? q : "");
}

static int compare_entries(const void *x, const void *y)
{
	return compare_names(x, y);
}

static int compare_upstreams(const void *x, const void *y)
{
	const struct entry *a = x, *b = y;
	int order = strcmp(sort_key(EB_ITEM_UPSTREAM, a->item),
			   sort_key(EB_ITEM_UPSTREAM, b->item));

	return order ? order : compare_names(a, b);
}

/*
 * Sorts the entries, of which the first `old` are in order already. Returns
 * 0, or -1 when out of memory.
 */
static int sort_entries(struct list *ls, uint32_t old,
			int (*compare)(const void *x, const void *y))
{
	struct entry *added, *en = ls->entries;
	uint32_t count = ls->count - old, i = old, j = count, k = ls->count;

	if (!count)
		return 0;
	added = calloc(count, sizeof(*added));
	if (!added)
		return -1;
	memcpy(added, en + old, count * sizeof(*added));
	qsort(added, count, sizeof(*added), compare);
	while (j) {
		if (i && compare(&en[i - 1], &added[j - 1]) > 0)
			en[--k] = en[--i];
		else
			en[--k] = added[--j];
	}
	free(added);
	return 0;
}

/* Applies the changes of one kind to the items of the base. */
static void build_list(struct note *nt, enum eb_item_kind kind)
{
	struct list *ls = &nt->lists[kind];
	struct eb_json_path at = { NULL, "added", 0 };
	uint32_t count, old;
	const void *items = base_items(nt, kind, &count);
	size_t i;

	ls->entries =
		calloc(ls->change_count + count + 1, sizeof(*ls->entries));
	if (!ls->entries) {
		nt->failed = 1;
		return;
	}
	match_base(nt, kind, items, count);
	old = ls->count;
	for (i = 0; i < ls->change_count && !nt->failed; i++)
		make_item(nt, kind, &ls->changes[i]);
	if (ls->count > eb_item_schemas[kind].max)
		report(nt, &at, "more than %u %s", eb_item_schemas[kind].max,
		       eb_item_schemas[kind].plural);
	if (sort_entries(ls, old,
			 kind == EB_ITEM_UPSTREAM ? compare_upstreams
						  : compare_entries))
		nt->failed = 1;
}

static const struct entry *find_entry(const struct list *ls, const char *name)
{
	struct item item = { 0, (char *)name };
	struct entry key = { &item, NULL };

	return bsearch(&key, ls->entries, ls->count, sizeof(key),
		       compare_entries);
}

/*
 * Checks that `name`, which the item of `en` gives in its field `key`, is an
 * item of kind `to`. For an item that the note leaves as it is, it can only
 * be missing because the note withdraws it: that change gets the finding.
 */
static void check_reference(struct note *nt, enum eb_item_kind kind,
			    const struct entry *en, const char *key,
			    enum eb_item_kind to, const char *name)
{
	const struct item *it = en->item;
	const struct list *ls = &nt->lists[to];
	char text[256];
	size_t i;

	if (!name || find_entry(ls, name))
		return;
	if (en->change) {
		snprintf(text, sizeof(text), "there is no %s \"%%s\"",
			 eb_item_schemas[to].name);
		report_change(nt, kind, en->change, key, text, name);
		return;
	}
	snprintf(text, sizeof(text), "still in use by %s \"%%s\"",
		 eb_item_schemas[kind].name);
	for (i = 0; i < ls->change_count; i++)
		if (!strcmp(ls->changes[i].name, name)) {
			report_change(nt, to, &ls->changes[i], NULL, text,
				      it->name);
			return;
		}
}

/*
 * Checks that the rules of services and the services of upstreams exist. It
 * needs the base, which may have them.
 */
static void check_references(struct note *nt)
{
	const struct list *services = &nt->lists[EB_ITEM_SERVICE];
	const struct list *upstreams = &nt->lists[EB_ITEM_UPSTREAM];
	const struct eb_service *sv;
	const struct eb_upstream *up;
	const char *known = NULL;
	uint32_t i;

	for (i = 0; i < services->count; i++) {
		sv = services->entries[i].item;
		check_reference(nt, EB_ITEM_SERVICE, &services->entries[i],
				"rules", EB_ITEM_RULE, sv->rule_name);
	}
	for (i = 0; i < upstreams->count; i++) {
		up = upstreams->entries[i].item;
		/* Sorted by service: most have the same as the previous. */
		if (known && up->service_name &&
		    !strcmp(known, up->service_name))
			continue;
		check_reference(nt, EB_ITEM_UPSTREAM, &upstreams->entries[i],
				"service", EB_ITEM_SERVICE, up->service_name);
		known = NULL;
		if (up->service_name && find_entry(services, up->service_name))
			known = up->service_name;
	}
}

/* Tells whether any upstream is in a region. */
static int has_upstream(const struct list *upstreams, const char *region)
{
	const struct eb_upstream *up;
	uint32_t i;

	for (i = 0; i < upstreams->count; i++) {
		up = upstreams->entries[i].item;
		if (up->region && !strcmp(up->region, region))
			return 1;
	}
	return 0;
}

/*
 * Checks that the regions that the note gives a service have upstreams, of any
 * service: those of a new service may follow in a later note. A note that
 * withdraws the last upstream of a region is not refused for it.
 */
static void check_regions(struct note *nt)
{
	const struct list *services = &nt->lists[EB_ITEM_SERVICE];
	struct eb_json_path section = { 0 }, list = { &section, NULL, 0 },
			    item = { &list, NULL, 0 },
			    field = { &item, "regions", 0 },
			    at = { &field, NULL, 0 };
	const struct change *ch;
	const json_t *json;
	const char *region;
	uint32_t i;

	list.key = eb_item_schemas[EB_ITEM_SERVICE].plural;
	for (i = 0; i < services->count; i++) {
		ch = services->entries[i].change;
		json = ch ? json_object_get(ch->json, "regions") : NULL;
		section.key = ch ? section_names[ch->section] : NULL;
		item.index = ch ? ch->index : 0;
		for (at.index = 0; at.index < json_array_size(json);
		     at.index++) {
			region = json_string_value(
				json_array_get(json, at.index));
			if (region && !eb_check_name(region) &&
			    !has_upstream(&nt->lists[EB_ITEM_UPSTREAM], region))
				report(nt, &at,
				       "no upstream is in region "
				       "\"%s\"",
				       region);
		}
	}
}

static int match_equal(const struct eb_service *x, const struct eb_service *y)
{
	if (!x->host != !y->host || !x->path_prefix != !y->path_prefix)
		return 0;
	return (!x->host || !strcasecmp(x->host, y->host)) &&
	       (!x->path_prefix || !strcmp(x->path_prefix, y->path_prefix));
}

/* Checks that no two services match the same requests. */
static void check_matches(struct note *nt)
{
	const struct list *ls = &nt->lists[EB_ITEM_SERVICE];
	const struct eb_service *sv, *other;
	uint32_t i, j;

	for (i = 0; i < ls->count; i++) {
		sv = ls->entries[i].item;
		if (!ls->entries[i].change || (!sv->host && !sv->path_prefix))
			continue;
		for (j = 0; j < ls->count; j++) {
			other = ls->entries[j].item;
			if (j == i || (j > i && ls->entries[j].change) ||
			    !match_equal(sv, other))
				continue;
			report_change(nt, EB_ITEM_SERVICE,
				      ls->entries[i].change, "match",
				      "the same as that of service \"%s\"",
				      other->name ? other->name : "");
			break;
		}
	}
}

/* Reports that an upstream of the note has the address of another one. */
static void report_address(struct note *nt, const struct entry *en,
			   const char *key, const struct item *other)
{
	report_change(nt, EB_ITEM_UPSTREAM, en->change, key,
		      "the same as that of upstream \"%s\"",
		      other->name ? other->name : "");
}

/*
 * Reports the addresses in `names`, those of the note's upstreams, that occur
 * twice or belong to an upstream that the note leaves as it is.
 */
static void compare_addresses(struct note *nt, const char *key, size_t offset,
			      const struct eb_names *names)
{
	const struct list *ls = &nt->lists[EB_ITEM_UPSTREAM];
	const struct entry *en;
	const struct eb_name *nm;
	size_t i;

	for (i = 1; i < names->count; i++) {
		nm = &names->items[i];
		if (strcmp(nm[-1].text, nm->text) != 0)
			continue;
		en = eb_names_find(names, nm->text)->data;
		report_address(nt, nm->data, key, en->item);
	}
	for (i = 0; i < ls->count && names->count; i++) {
		en = &ls->entries[i];
		if (en->change)
			continue;
		nm = eb_names_find(names,
				   *(char **)((char *)en->item + offset));
		if (nm)
			report_address(nt, nm->data, key, en->item);
	}
}

/* Checks that no two upstreams share an address of the given field. */
static void check_addresses(struct note *nt, const char *key, size_t offset)
{
	struct list *ls = &nt->lists[EB_ITEM_UPSTREAM];
	struct eb_names names;
	const char *text;
	uint32_t i;

	if (eb_names_init(&names, ls->change_count)) {
		nt->failed = 1;
		return;
	}
	for (i = 0; i < ls->count; i++) {
		text = *(char **)((char *)ls->entries[i].item + offset);
		if (text && ls->entries[i].change)
			eb_names_add(&names, text, &ls->entries[i]);
	}
	eb_names_sort(&names);
	compare_addresses(nt, key, offset, &names);
	eb_names_clear(&names);
}

/* Moves the items of a list into an array of the configuration. */
static void *move_items(struct note *nt, enum eb_item_kind kind,
			uint32_t *count)
{
	struct list *ls = &nt->lists[kind];
	void **items = calloc((size_t)ls->count + 1, sizeof(*items));
	uint32_t i;

	if (!items) {
		nt->failed = 1;
		return NULL;
	}
	for (i = 0; i < ls->count; i++)
		items[i] = ls->entries[i].item;
	*count = ls->count;
	ls->count = 0;
	return items;
}

/*
 * Sets the rule index of each service. A service whose index changes is
 * copied if older versions share it, since their index stays.
 */
static void link_rules(struct note *nt, struct eb_config *cf)
{
	struct eb_service *sv, *copy;
	uint32_t i, rule;

	for (i = 0; i < cf->service_total; i++) {
		sv = cf->services[i];
		rule = sv->rule_name ? eb_config_find_rule(cf, sv->rule_name)
				     : EB_NONE;
		if (rule == sv->rule)
			continue;
		if (__atomic_load_n(&sv->refs, __ATOMIC_ACQUIRE) > 1) {
			copy = eb_config_item_copy(EB_ITEM_SERVICE, sv);
			if (!copy) {
				nt->failed = 1;
				return;
			}
			eb_config_item_unref(EB_ITEM_SERVICE, sv);
			cf->services[i] = sv = copy;
		}
		sv->rule = rule;
	}
}

/*
 * Returns the digest of all notes up to this one. It covers the note with
 * sorted keys and without white space, so that layout does not matter.
 */
static uint64_t digest_note(struct note *nt)
{
	char *text = json_dumps(nt->json, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t digest = 0;

	if (text)
		digest = XXH64(text, strlen(text), nt->base->digest);
	else
		nt->failed = 1;
	free(text);
	return digest;
}

static struct eb_config *build_config(struct note *nt, uint64_t index)
{
	struct eb_config *cf = eb_config_new_empty();

	assert(nt->base);
	if (!cf) {
		nt->failed = 1;
		return NULL;
	}
	cf->release = nt->release;
	cf->index = index;
	cf->digest = digest_note(nt);
	cf->rules = move_items(nt, EB_ITEM_RULE, &cf->rule_count);
	cf->services = move_items(nt, EB_ITEM_SERVICE, &cf->service_total);
	cf->upstreams = move_items(nt, EB_ITEM_UPSTREAM, &cf->upstream_total);
	if (!nt->failed)
		link_rules(nt, cf);
	if (!nt->failed)
		nt->failed = eb_config_group_upstreams(cf) != EB_OK;
	if (!nt->failed)
		return cf;
	eb_config_unref(cf);
	return NULL;
}

static int compare_findings(const void *x, const void *y)
{
	const struct eb_finding *a = x, *b = y;
	int order;

	if (a->line != b->line)
		return a->line < b->line ? -1 : 1;
	order = strcmp(a->field, b->field);
	return order ? order : strcmp(a->reason, b->reason);
}

/* Sorts the findings after the first `before` by their line. */
static void sort_findings(struct eb_findings *fs, uint32_t before)
{
	if (fs->count > before)
		qsort(fs->items + before, fs->count - before,
		      sizeof(*fs->items), compare_findings);
}

/* Reads and checks the whole note; each fault becomes a finding. */
static void read_note(struct note *nt)
{
	int i;

	read_top_level(nt);
	for (i = 0; i < EB_ITEM_KINDS; i++) {
		nt->lists[i].changes = calloc(
			count_changes(nt->json, (enum eb_item_kind)i) + 1,
			sizeof(struct change));
		if (!nt->lists[i].changes)
			nt->failed = 1;
	}
	if (nt->failed)
		return;
	for (i = 0; i < SECTIONS; i++)
		read_section(nt, (enum section)i);
	for (i = 0; i < EB_ITEM_KINDS && !nt->failed; i++)
		build_list(nt, (enum eb_item_kind)i);
	if (nt->failed)
		return;
	if (nt->base) {
		check_references(nt);
		check_regions(nt);
	}
	check_matches(nt);
	check_addresses(nt, "address", AT(eb_upstream, address));
	check_addresses(nt, "daemon", AT(eb_upstream, daemon));
}

static void clear_note(struct note *nt)
{
	struct list *ls;
	uint32_t i, j;

	for (i = 0; i < EB_ITEM_KINDS; i++) {
		ls = &nt->lists[i];
		for (j = 0; j < ls->count; j++)
			eb_config_item_unref((enum eb_item_kind)i,
					     ls->entries[j].item);
		free(ls->entries);
		free(ls->changes);
	}
}

/* Checks the note and, with `out`, builds the next configuration. */
static enum eb_status process_note(struct note *nt, uint64_t index,
				   struct eb_config **out)
{
	uint32_t before = nt->fs->count, dropped = nt->fs->dropped;
	struct eb_config *cf = NULL;
	struct eb_json_path at = { 0 };
	enum eb_status st = EB_OK;

	if (json_is_object(nt->json))
		read_note(nt);
	else
		report(nt, at.up, "expected an object");
	if (nt->fs->count != before || nt->fs->dropped != dropped)
		st = EB_EINVAL;
	else if (out && !nt->failed)
		cf = build_config(nt, index);
	if (nt->failed)
		st = EB_ENOMEM;
	sort_findings(nt->fs, before);
	clear_note(nt);
	if (out && !st)
		*out = cf;
	return st;
}

/*
 * Parses the text of a note. Returns NULL and adds a finding if the text is
 * not JSON, is over EB_RELEASE_NOTE_MAX_BYTES or repeats a field.
 */
json_t *eb_release_parse(const char *source, const char *text, size_t bytes,
			 struct eb_findings *fs)
{
	json_error_t error;
	json_t *js;

	if (bytes > EB_RELEASE_NOTE_MAX_BYTES) {
		eb_findings_add(fs, source, 0, "note",
				"%zu bytes; the platform stores at most %d",
				bytes, EB_RELEASE_NOTE_MAX_BYTES);
		return NULL;
	}
	if (!bytes) {
		eb_findings_add(fs, source, 0, "note", "the note is empty");
		return NULL;
	}
	js = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);
	if (!js)
		eb_findings_add(fs, source, error.line > 0 ? error.line : 0,
				"note", "%s", error.text);
	return js;
}

/*
 * Parses the text of a note. As eb_release_parse(), but adds a finding for
 * every repeated field and returns the note nevertheless, for its checks.
 */
static json_t *parse_all(const char *source, const char *text, size_t bytes,
			 struct eb_findings *fs)
{
	json_error_t error;
	json_t *js;

	if (!bytes || bytes > EB_RELEASE_NOTE_MAX_BYTES)
		return eb_release_parse(source, text, bytes, fs);
	js = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);
	if (js || json_error_code(&error) != json_error_duplicate_key) {
		json_decref(js);
		return eb_release_parse(source, text, bytes, fs);
	}
	js = json_loadb(text, bytes, 0, &error);
	if (!js)
		return eb_release_parse(source, text, bytes, fs);
	eb_json_path_duplicates(source, text, bytes, fs);
	return js;
}

/*
 * Checks the text of a note and, with `out`, builds the next configuration.
 * Without `base`, a note that builds on release 0 gets the empty one.
 */
static enum eb_status process_text(const struct eb_config *base,
				   const char *text, size_t bytes,
				   uint64_t index, const char *source,
				   struct eb_findings *fs,
				   struct eb_config **out)
{
	struct note nt = { .base = base,
			   .source = source,
			   .text = text,
			   .bytes = bytes,
			   .fs = fs };
	uint32_t before = fs->count, dropped = fs->dropped;
	struct eb_config *empty = NULL;
	enum eb_status st;
	json_t *js;

	js = parse_all(source, text, bytes, fs);
	if (!js)
		return EB_EPARSE;
	if (!base && json_is_integer(json_object_get(js, "builds_on")) &&
	    !json_integer_value(json_object_get(js, "builds_on")))
		nt.base = empty = eb_config_new_empty();
	nt.json = js;
	st = process_note(&nt, index, fs->count == before ? out : NULL);
	if (!st && (fs->count != before || fs->dropped != dropped))
		st = EB_EINVAL;
	sort_findings(fs, before);
	eb_config_unref(empty);
	json_decref(js);
	return st;
}

/*
 * Checks a note on its own. The items that it needs of the release it builds
 * on are assumed to exist, unless it builds on release 0, which has none.
 * Returns EB_OK, EB_EPARSE or EB_EINVAL with findings, or EB_ENOMEM.
 */
enum eb_status eb_release_check(const char *source, const char *text,
				size_t bytes, struct eb_findings *fs)
{
	return process_text(NULL, text, bytes, 0, source, fs, NULL);
}

/*
 * Applies a note to the configuration it builds on; `index` is the position
 * of the note in the platform's log. Returns EB_OK and a new configuration with
 * one reference, EB_EINVAL with findings, or EB_ENOMEM. The base is not
 * changed.
 */
enum eb_status eb_release_apply(const struct eb_config *base,
				const json_t *note, uint64_t index,
				const char *source, struct eb_findings *fs,
				struct eb_config **out)
{
	struct note nt = {
		.base = base, .json = note, .source = source, .fs = fs
	};

	return process_note(&nt, index, out);
}

/*
 * As eb_release_apply(), from the text of the note, so that findings have a
 * line. Returns EB_EPARSE if the text cannot be parsed.
 */
enum eb_status eb_release_apply_text(const struct eb_config *base,
				     const char *text, size_t bytes,
				     uint64_t index, const char *source,
				     struct eb_findings *fs,
				     struct eb_config **out)
{
	return process_text(base, text, bytes, index, source, fs, out);
}
