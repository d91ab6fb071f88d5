#include "eb_plan.h"

#include <stdlib.h>
#include <string.h>

#include "eb_fields.h"

#define VALUE_BYTES 300

/* The first members of each kind of item. */
struct item {
	int32_t refs;
	char *name;
};

/* The items of one kind of a configuration. */
struct items {
	const void **list; /* sorted by name */
	uint32_t count;
};

static const char *name_of(const void *item)
{
	return ((const struct item *)item)->name;
}

/* Prints the strings of a list, cut to fit; an empty one prints as none. */
static void print_list(const struct eb_texts *ts, char out[VALUE_BYTES])
{
	size_t used = 0;
	uint32_t i;

	snprintf(out, VALUE_BYTES, "none");
	for (i = 0; i < ts->count && used < VALUE_BYTES; i++)
		used += (size_t)snprintf(out + used, VALUE_BYTES - used, "%s%s",
					 i ? "," : "", ts->items[i]);
}

/* Prints the value of a field, cut to fit; an unset text prints as none. */
static void print_value(const struct eb_field *fd, const char *item,
			char out[VALUE_BYTES])
{
	const char *text;

	switch (fd->type) {
	case EB_FIELD_UINT:
		snprintf(out, VALUE_BYTES, "%u",
			 *(const uint32_t *)(item + fd->offset));
		break;
	case EB_FIELD_BOOL:
		snprintf(out, VALUE_BYTES, "%s",
			 item[fd->offset] ? "true" : "false");
		break;
	case EB_FIELD_KEY:
		snprintf(out, VALUE_BYTES, "\"%s\"", item + fd->offset);
		break;
	case EB_FIELD_LIST:
		print_list((const struct eb_texts *)(item + fd->offset), out);
		break;
	default:
		text = *(char *const *)(item + fd->offset);
		snprintf(out, VALUE_BYTES, text ? "\"%s\"" : "none", text);
	}
}

/*
 * Prints the fields that differ, one per line, or without `from` all fields
 * but the name in one line. Returns how many differ. With `from`, `out` may
 * be NULL, to count only.
 */
static int print_fields(const struct eb_field *fields, const void *from,
			const void *to, FILE *out)
{
	char before[VALUE_BYTES], after[VALUE_BYTES];
	const struct eb_field *fd;
	int n = 0;

	for (fd = fields; fd->name; fd++) {
		if (fd->type == EB_FIELD_OBJECT) {
			n += print_fields(fd->members, from, to, out);
			continue;
		}
		print_value(fd, to, after);
		if (!from) {
			if (strcmp(fd->name, "name") != 0)
				fprintf(out, " %s=%s", fd->name, after);
			continue;
		}
		print_value(fd, from, before);
		if (!strcmp(before, after))
			continue;
		if (out)
			fprintf(out, "    %s: %s -> %s\n", fd->name, before,
				after);
		n++;
	}
	return n;
}

/* Prints how two lists of one kind differ; returns 1 if they do, else 0. */
static int print_kind(enum eb_item_kind kind, const struct items *from,
		      const struct items *to, FILE *out)
{
	const struct eb_item_schema *kn = &eb_item_schemas[kind];
	uint32_t i = 0, j = 0;
	int order, any = 0;

	while (i < from->count || j < to->count) {
		if (i == from->count)
			order = 1;
		else if (j == to->count)
			order = -1;
		else
			order = strcmp(name_of(from->list[i]),
				       name_of(to->list[j]));
		if (order < 0) {
			fprintf(out, "- %s %s\n", kn->name,
				name_of(from->list[i]));
			any = 1;
		} else if (order > 0) {
			fprintf(out, "+ %s %s", kn->name, name_of(to->list[j]));
			print_fields(kn->fields, NULL, to->list[j], out);
			fprintf(out, "\n");
			any = 1;
		} else if (print_fields(kn->fields, from->list[i], to->list[j],
					NULL)) {
			fprintf(out, "~ %s %s\n", kn->name,
				name_of(to->list[j]));
			print_fields(kn->fields, from->list[i], to->list[j],
				     out);
			any = 1;
		}
		i += order <= 0;
		j += order >= 0;
	}
	return any;
}

/* Adds up the upstreams and slots of a service; 0 if it does not exist. */
static void sum_service(const struct eb_config *cf, const char *name,
			uint32_t *upstreams, uint32_t *slots)
{
	uint32_t sv = eb_config_find_service(cf, name), i;

	*upstreams = *slots = 0;
	if (sv == EB_NONE)
		return;
	*upstreams = cf->service_upstream_count[sv];
	for (i = 0; i < *upstreams; i++)
		*slots += cf->upstreams[cf->service_first_upstream[sv] + i]
				  ->slots;
}

/*
 * Prints the services of `to` whose capacity changes or that have no
 * upstream. Returns 1 if there is any, else 0.
 */
static int print_capacity(const struct eb_config *from,
			  const struct eb_config *to, FILE *out)
{
	uint32_t i, upstreams, slots, new_upstreams, new_slots;
	const char *name;
	int any = 0;

	for (i = 0; i < to->service_total; i++) {
		name = to->services[i]->name;
		sum_service(from, name, &upstreams, &slots);
		sum_service(to, name, &new_upstreams, &new_slots);
		if (upstreams == new_upstreams && slots == new_slots &&
		    new_upstreams)
			continue;
		fprintf(out,
			"= service %s: upstreams %u -> %u, slots %u -> %u%s\n",
			name, upstreams, new_upstreams, slots, new_slots,
			new_upstreams ? "" : " (no upstream)");
		any = 1;
	}
	return any;
}

static int compare_items(const void *x, const void *y)
{
	return strcmp(name_of(*(const void *const *)x),
		      name_of(*(const void *const *)y));
}

/* Copies a list of items, sorted by name. */
static void sort_items(struct items *its, const void *list, uint32_t count)
{
	its->list = calloc((size_t)count + 1, sizeof(void *));
	its->count = its->list ? count : 0;
	if (!its->count)
		return;
	memcpy(its->list, list, count * sizeof(void *));
	qsort(its->list, count, sizeof(void *), compare_items);
}

static void sort_kind(const struct eb_config *cf, enum eb_item_kind kind,
		      struct items *its)
{
	if (kind == EB_ITEM_RULE)
		sort_items(its, cf->rules, cf->rule_count);
	else if (kind == EB_ITEM_SERVICE)
		sort_items(its, cf->services, cf->service_total);
	else
		sort_items(its, cf->upstreams, cf->upstream_total);
}

/*
 * Prints the items that are added (+), withdrawn (-) and changed (~) with
 * their fields, and the services whose capacity changes or that have no
 * upstream (=).
 */
void eb_plan_print(const struct eb_config *from, const struct eb_config *to,
		   FILE *out)
{
	struct items a, b;
	int kind, any = 0;

	fprintf(out, "release %llu -> %llu\n",
		(unsigned long long)from->release,
		(unsigned long long)to->release);
	for (kind = 0; kind < EB_ITEM_KINDS; kind++) {
		sort_kind(from, (enum eb_item_kind)kind, &a);
		sort_kind(to, (enum eb_item_kind)kind, &b);
		any |= print_kind((enum eb_item_kind)kind, &a, &b, out);
		free(a.list);
		free(b.list);
	}
	any |= print_capacity(from, to, out);
	if (!any)
		fprintf(out, "nothing changes\n");
}
