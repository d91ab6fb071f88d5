#include "eb_evacuation.h"

#include <stdlib.h>
#include <string.h>

#include "eb_json_path.h"
#include "eb_tunables.h"

struct domain {
	char *name;
	int64_t since_us; /* in force since; 0: no upstream of it is known */
	uint8_t listed;	  /* in the configuration of this update */
};

struct change {
	char name[EB_NAME_SPACE_BYTES];
	int64_t at_us;
	uint8_t in_force; /* since then; 0: ended */
};

struct eb_evacuation {
	struct eb_log *log;
	struct eb_metrics *metrics;
	struct domain *domains;
	uint32_t count;
	uint32_t invalid; /* entries that are none, in the last update */
	struct change changes[EB_EVACUATION_CHANGES_MAX];
	uint32_t change_count; /* of all time; the last ones are kept */
};

/* Creates a record without evacuations. Returns NULL without memory. */
struct eb_evacuation *eb_evacuation_new(struct eb_log *lg,
					struct eb_metrics *mt)
{
	struct eb_evacuation *ev = calloc(1, sizeof(*ev));

	if (!ev)
		return NULL;
	ev->log = lg;
	ev->metrics = mt;
	return ev;
}

/* Frees the record; NULL is allowed. */
void eb_evacuation_free(struct eb_evacuation *ev)
{
	uint32_t i;

	if (!ev)
		return;
	for (i = 0; i < ev->count; i++)
		free(ev->domains[i].name);
	free(ev->domains);
	free(ev);
}

static struct domain *find(const struct eb_evacuation *ev, const char *name)
{
	uint32_t i;

	for (i = 0; i < ev->count; i++)
		if (!strcmp(ev->domains[i].name, name))
			return &ev->domains[i];
	return NULL;
}

/* Returns how many upstreams of a failure domain the configuration has. */
static uint32_t upstreams_in(const struct eb_config *cf, const char *name)
{
	uint32_t i, n = 0;

	for (i = 0; i < cf->upstream_total; i++)
		n += !strcmp(cf->upstreams[i]->failure_domain, name);
	return n;
}

static void add_change(struct eb_evacuation *ev, const char *name, int in_force,
		       int64_t now_us)
{
	struct change *ch =
		&ev->changes[ev->change_count++ % EB_EVACUATION_CHANGES_MAX];

	memset(ch, 0, sizeof(*ch));
	strncpy(ch->name, name, sizeof(ch->name) - 1);
	ch->at_us = now_us;
	ch->in_force = in_force != 0;
}

/* Adds a domain that is newly listed; returns NULL without memory. */
static struct domain *add_domain(struct eb_evacuation *ev, const char *name)
{
	struct domain *list =
		realloc(ev->domains, (ev->count + 1) * sizeof(*list));

	if (!list)
		return NULL;
	ev->domains = list;
	list[ev->count] = (struct domain){ .name = strdup(name) };
	if (!list[ev->count].name)
		return NULL;
	return &list[ev->count++];
}

/* Takes over one domain that the configuration lists. */
static void list_domain(struct eb_evacuation *ev, const struct eb_config *cf,
			const char *name, int64_t now_us)
{
	struct domain *dm = find(ev, name);
	uint32_t upstreams;
	int is_new = !dm;

	if (is_new)
		dm = add_domain(ev, name);
	if (!dm)
		return;
	dm->listed = 1;
	/* Stays in force when the last upstream of the domain disappears. */
	if (dm->since_us)
		return;
	upstreams = upstreams_in(cf, name);
	if (upstreams) {
		dm->since_us = now_us;
		add_change(ev, name, 1, now_us);
		eb_log_write(ev->log, EB_LOG_WARN, "evacuation",
			     "evacuation in force", "domain=%s upstreams=%u",
			     name, upstreams);
	} else if (is_new) {
		eb_metrics_add(ev->metrics, EB_METRIC_EVACUATIONS_IGNORED, 1);
		eb_log_write(
			ev->log, EB_LOG_WARN, "evacuation",
			"evacuation of a failure domain without upstreams; "
			"no effect until there is one",
			"domain=%s", name);
	}
}

/* Removes a domain that is no longer listed. */
static void end_domain(struct eb_evacuation *ev, struct domain *dm,
		       int64_t now_us)
{
	if (dm->since_us) {
		add_change(ev, dm->name, 0, now_us);
		eb_log_write(ev->log, EB_LOG_WARN, "evacuation",
			     "evacuation withdrawn", "domain=%s lasted_ms=%lld",
			     dm->name,
			     (long long)(now_us - dm->since_us) / 1000);
	}
	free(dm->name);
	*dm = ev->domains[--ev->count];
}

/*
 * Counts and logs entries that are no evacuations, once for as many. They may
 * be those of another writer.
 */
static void note_invalid(struct eb_evacuation *ev, const struct eb_config *cf)
{
	char key[EB_FEED_KEY_MAX_BYTES + 1];

	if (cf->evacuations_invalid > ev->invalid) {
		eb_copy_printable(
			cf->evacuation_invalid ? cf->evacuation_invalid : "",
			key, sizeof(key));
		eb_metrics_add(ev->metrics, EB_METRIC_EVACUATIONS_IGNORED,
			       cf->evacuations_invalid - ev->invalid);
		eb_log_write(ev->log, EB_LOG_WARN, "evacuation",
			     "entries that are no evacuations are ignored",
			     "count=%u key=\"%s\"", cf->evacuations_invalid,
			     key);
	}
	ev->invalid = cf->evacuations_invalid;
}

/* Takes over the evacuations of the configuration in force. */
void eb_evacuation_update(struct eb_evacuation *ev, const struct eb_config *cf,
			  int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < ev->count; i++)
		ev->domains[i].listed = 0;
	for (i = 0; i < cf->evacuated.count; i++)
		list_domain(ev, cf, cf->evacuated.items[i], now_us);
	for (i = ev->count; i > 0; i--)
		if (!ev->domains[i - 1].listed)
			end_domain(ev, &ev->domains[i - 1], now_us);
	note_invalid(ev, cf);
	eb_metrics_set(ev->metrics, EB_METRIC_EVACUATED_DOMAINS,
		       eb_evacuation_in_force(ev));
}

/* Returns how many failure domains are evacuated. */
uint32_t eb_evacuation_in_force(const struct eb_evacuation *ev)
{
	uint32_t i, n = 0;

	for (i = 0; i < ev->count; i++)
		n += ev->domains[i].since_us != 0;
	return n;
}

/*
 * Returns the listed domains as JSON: for how long each has been evacuated, or
 * null for one without upstreams. The caller owns the result.
 */
json_t *eb_evacuation_status(const struct eb_evacuation *ev, int64_t now_us)
{
	json_t *list = json_array();
	const struct domain *dm;
	uint32_t i;

	for (i = 0; i < ev->count; i++) {
		dm = &ev->domains[i];
		json_array_append_new(
			list,
			json_pack("{ss so}", "domain", dm->name, "for_ms",
				  dm->since_us ? json_integer((now_us -
							       dm->since_us) /
							      1000)
					       : json_null()));
	}
	return list;
}

/* Returns the last changes as JSON, newest first; the caller owns it. */
json_t *eb_evacuation_changes(const struct eb_evacuation *ev, int64_t now_us)
{
	json_t *list = json_array();
	const struct change *ch;
	uint32_t i;

	for (i = 0; i < ev->change_count && i < EB_EVACUATION_CHANGES_MAX;
	     i++) {
		ch = &ev->changes[(ev->change_count - 1 - i) %
				  EB_EVACUATION_CHANGES_MAX];
		json_array_append_new(
			list,
			json_pack("{ss sb sI}", "domain", ch->name, "in_force",
				  ch->in_force, "age_ms",
				  (json_int_t)(now_us - ch->at_us) / 1000));
	}
	return list;
}
