#include "eb_claim_holder.h"

#include <stdlib.h>
#include <string.h>

#include "eb_claim_slot.h"

/*
 * Retry interval of a request for a copy that was not answered. It doubles up
 * to COPY_RETRY_DOUBLINGS times: a holder whose peers are gone would otherwise
 * send 100 KB/s of requests.
 */
#define COPY_RETRY_US 200000
#define COPY_RETRY_DOUBLINGS 6
/* Limits the copy requests that a restarted daemon sends in a tick. */
#define COPIES_PER_TICK 64
#define EXPIRE_BUCKETS_PER_TICK 16
#define COPY_RECORDS_MAX 512

struct eb_claim_holder {
	struct eb_claim_holder_config config;
	char *name;
	char *service;
	uint64_t self;
	uint64_t members_digest; /* of the current configuration */
	int configured;
	int64_t started_us; /* the first configuration was received */
	int64_t last_active_us;
	uint32_t tick_slot; /* the slot that the next tick starts with */
	struct eb_claim_slot slots[EB_CLAIM_SLOTS];
	struct eb_claim_table table;
	struct eb_claim_queue out;
	struct eb_claim_holder_counters counters;
};

/* Creates a holder with no claims. Returns NULL when out of memory. */
struct eb_claim_holder *
eb_claim_holder_new(const struct eb_claim_holder_config *cf)
{
	struct eb_claim_holder *ho = calloc(1, sizeof(*ho));

	if (!ho)
		return NULL;
	ho->config = *cf;
	ho->name = strdup(cf->name);
	if (!ho->name) {
		free(ho);
		return NULL;
	}
	ho->config.name = ho->name;
	ho->self = eb_claim_member(ho->name);
	if (!ho->config.retention_us)
		ho->config.retention_us = EB_CLAIM_HOLDER_RETENTION_MS * 1000LL;
	if (!ho->config.config_lag_us)
		ho->config.config_lag_us =
			EB_CLAIM_HOLDER_CONFIG_LAG_MS * 1000LL;
	ho->table.retention_us = ho->config.retention_us;
	ho->table.count_max =
		cf->entries_max ? cf->entries_max : EB_CLAIM_HOLDER_ENTRIES_MAX;
	ho->table.response_bytes_max =
		cf->responses_max_bytes ? cf->responses_max_bytes
					: EB_CLAIM_HOLDER_RESPONSES_MAX_BYTES;
	return ho;
}

/* Frees a holder; NULL is allowed. */
void eb_claim_holder_free(struct eb_claim_holder *ho)
{
	uint32_t i;

	if (!ho)
		return;
	for (i = 0; i < EB_CLAIM_SLOTS; i++)
		eb_claim_slot_clear(&ho->slots[i]);
	eb_claim_table_clear(&ho->table);
	eb_claim_queue_clear(&ho->out);
	free(ho->service);
	free(ho->name);
	free(ho);
}

/* Returns the parameters of a change of slots at this time. */
static struct eb_claim_slot_change change_at(const struct eb_claim_holder *ho,
					     int64_t now_us)
{
	const struct eb_claim_holder_config *cf = &ho->config;
	struct eb_claim_slot_change cg = { .self = ho->self };

	cg.tag = (uint32_t)(ho->config.incarnation >> 32 ^
			    ho->config.incarnation);
	cg.within_retention = now_us - ho->started_us < cf->retention_us;
	cg.open_after_restart_us = now_us + cf->retention_us;
	cg.open_after_change_us = cg.open_after_restart_us + cf->config_lag_us;
	return cg;
}

static uint32_t find_service(const struct eb_config *cf, const char *name)
{
	uint32_t i;

	for (i = 0; cf && i < cf->service_total; i++)
		if (!strcmp(cf->services[i]->name, name))
			return i;
	return EB_NONE;
}

/*
 * Sets the service of this daemon's upstream, if the configuration lists the
 * upstream. Returns EB_ENOMEM.
 */
static enum eb_status find_own_service(struct eb_claim_holder *ho,
				       const struct eb_config *cf)
{
	uint32_t i;

	for (i = 0; i < cf->upstream_total && !ho->service; i++)
		if (!strcmp(cf->upstreams[i]->name, ho->name)) {
			ho->service = strdup(cf->upstreams[i]->service_name);
			if (!ho->service)
				return EB_ENOMEM;
		}
	return EB_OK;
}

/* Digest of all that the holders of the service's keys depend on. */
static uint64_t digest_members(const struct eb_config *cf, uint32_t service)
{
	uint64_t digest = 0;
	const struct eb_upstream *up;
	uint32_t i, n;

	if (service == EB_NONE)
		return 0;
	n = cf->service_upstream_count[service];
	for (i = 0; i < n; i++) {
		up = cf->upstreams[cf->service_first_upstream[service] + i];
		digest = digest * 31 + eb_claim_member(up->name);
		digest = digest * 31 + eb_claim_member(up->failure_domain);
	}
	return digest;
}

/* `first`: the holder has no claims yet. Returns EB_ENOMEM. */
static enum eb_status configure_slot(struct eb_claim_holder *ho, uint32_t slot,
				     const struct eb_config *cf,
				     uint32_t service, int first,
				     int64_t now_us)
{
	struct eb_claim_slot_change cg = change_at(ho, now_us);
	struct eb_claim_slot *sl = &ho->slots[slot];
	enum eb_status st = EB_OK;
	struct eb_claim_set set;

	if (eb_claim_set_make(&set, cf, service, slot))
		return EB_ENOMEM;
	if (first)
		st = eb_claim_slot_start(sl, &set, &cg);
	else if (set.count && set.id != sl->set.id)
		st = eb_claim_slot_move(sl, &set, &cg,
					&ho->counters.requirements_dropped);
	eb_claim_set_clear(&set);
	if (!st && sl->requirement_count &&
	    eb_claim_slot_satisfied(sl, ho->self))
		eb_claim_slot_open(sl, 1);
	return st;
}

static enum eb_status configure_all(struct eb_claim_holder *ho,
				    const struct eb_config *cf, int first,
				    int64_t now_us)
{
	uint32_t service = find_service(cf, ho->service), i;

	for (i = 0; i < EB_CLAIM_SLOTS; i++)
		if (configure_slot(ho, i, cf, service, first, now_us))
			return EB_ENOMEM;
	return EB_OK;
}

/*
 * Applies a configuration; `was` is the previous one, NULL at first. The first
 * one is taken to be no older than any that an earlier incarnation had. A
 * service that loses all its upstreams keeps its holders, so that later
 * holders copy from them. Returns EB_ENOMEM; the daemon must stop then,
 * because its slots are incomplete.
 */
enum eb_status eb_claim_holder_configure(struct eb_claim_holder *ho,
					 const struct eb_config *was,
					 const struct eb_config *cf,
					 int64_t now_us)
{
	uint64_t digest;

	if (!ho->configured) {
		ho->configured = 1;
		ho->started_us = now_us;
		ho->last_active_us = now_us;
	}
	if (!ho->service) {
		if (find_own_service(ho, cf))
			return EB_ENOMEM;
		if (!ho->service)
			return EB_OK;
		/* Starts with the holders before this daemon was listed. */
		if (configure_all(ho, was ? was : cf, 1, now_us))
			return EB_ENOMEM;
	}
	digest = digest_members(cf, find_service(cf, ho->service));
	if (digest == ho->members_digest)
		return EB_OK;
	ho->members_digest = digest;
	return configure_all(ho, cf, 0, now_us);
}

/*
 * Makes a slot copy its claims again, with a generation above `newer`: the
 * daemon was paused, or another process has its name, and may have granted.
 */
static void restart_slot(struct eb_claim_holder *ho, struct eb_claim_slot *sl,
			 uint64_t newer, int64_t now_us)
{
	struct eb_claim_slot_change cg = change_at(ho, now_us);

	if (sl->fresh && !sl->granting) {
		eb_claim_slot_raise_generation(sl, newer, cg.tag);
		eb_claim_slot_restart_pulls(sl);
		return;
	}
	if (newer > sl->generation)
		sl->generation = newer;
	if (eb_claim_slot_start(sl, &sl->set, &cg))
		abort();
}

/* Sends `m` as the reply to a claimant's message `ask`. */
static void reply(struct eb_claim_holder *ho, const char *to,
		  const struct eb_claim_message *ask,
		  struct eb_claim_message *m)
{
	m->slot = ask->slot;
	m->incarnation = ho->config.incarnation;
	memcpy(m->record.key, ask->record.key, sizeof(m->record.key));
	m->record.claim = ask->record.claim;
	m->set_id = ho->slots[m->slot].set.id;
	eb_claim_slot_generations(&ho->slots[m->slot], ho->self, m);
	eb_claim_queue_add(&ho->out, to, m, NULL);
}

/*
 * Decides on a claim whose key has no finished run. `e` is the entry of the
 * key, or NULL.
 */
static enum eb_claim_verdict grant(struct eb_claim_holder *ho,
				   const struct eb_claim_message *ask,
				   struct eb_claim_entry *e, int64_t now_us)
{
	const struct eb_claim_record *rc = &ask->record;
	struct eb_claim_slot *sl = &ho->slots[ask->slot];

	if (ask->set_id != sl->set.id || !sl->member) {
		ho->counters.other_set++;
		return EB_CLAIM_OTHER_SET;
	}
	if (!sl->granting && !ho->config.test_grant_at_once) {
		ho->counters.not_granting++;
		return EB_CLAIM_NOT_GRANTING;
	}
	if (e && e->state != EB_CLAIM_FREE) {
		if (e->state == EB_CLAIM_HELD &&
		    eb_claim_id_equal(&e->claim, &rc->claim))
			return EB_CLAIM_GRANTED;
		ho->counters.busy++;
		return EB_CLAIM_BUSY;
	}
	if (e && e->claim.incarnation == rc->claim.incarnation &&
	    e->claim.number >= rc->claim.number)
		return EB_CLAIM_RELEASED;
	if (!e)
		e = eb_claim_table_add(&ho->table, rc->key, now_us);
	if (!e) {
		ho->counters.table_full++;
		return EB_CLAIM_FULL;
	}
	memcpy(e->digest, rc->digest, sizeof(e->digest));
	e->claim = rc->claim;
	e->since_us = now_us;
	eb_claim_table_store(&ho->table, e, EB_CLAIM_HELD, NULL);
	ho->counters.granted++;
	return EB_CLAIM_GRANTED;
}

static void on_ask(struct eb_claim_holder *ho, const char *from,
		   const struct eb_claim_message *ask, int64_t now_us)
{
	struct eb_claim_message m = { .type = EB_CLAIM_ANSWER };
	struct eb_claim_entry *e;

	e = eb_claim_table_find(&ho->table, ask->record.key, now_us);
	if (e && e->state != EB_CLAIM_FREE &&
	    !eb_claim_key_equal(e->digest, ask->record.digest)) {
		ho->counters.mismatched++;
		m.verdict = EB_CLAIM_MISMATCH;
	} else if (e && e->state >= EB_CLAIM_LOST) {
		m.verdict = EB_CLAIM_STORED;
		m.record.state = e->state;
		m.record.response = e->response;
	} else {
		m.verdict = (uint8_t)grant(ho, ask, e, now_us);
		if (m.verdict == EB_CLAIM_BUSY && e->state == EB_CLAIM_HELD)
			m.other = e->claim;
	}
	reply(ho, from, ask, &m);
}

static void on_release(struct eb_claim_holder *ho, const char *from,
		       const struct eb_claim_message *ask, int64_t now_us)
{
	struct eb_claim_message m = { .type = EB_CLAIM_ACK };
	struct eb_claim_entry *e;

	e = eb_claim_table_find(&ho->table, ask->record.key, now_us);
	if (!e)
		e = eb_claim_table_add(&ho->table, ask->record.key, now_us);
	if (e && (e->state == EB_CLAIM_FREE ||
		  (e->state == EB_CLAIM_HELD &&
		   eb_claim_id_equal(&e->claim, &ask->record.claim)))) {
		e->claim = ask->record.claim;
		e->since_us = now_us;
		eb_claim_table_store(&ho->table, e, EB_CLAIM_FREE, NULL);
	}
	reply(ho, from, ask, &m);
}

/*
 * Stores how a run ended. The report proves that its claim had a majority,
 * so it replaces a grant to any other claim.
 */
static void finish(struct eb_claim_holder *ho, const struct eb_claim_record *rc,
		   int64_t since_us, int64_t now_us)
{
	struct eb_claim_entry *e;

	if (rc->state < EB_CLAIM_LOST)
		return;
	e = eb_claim_table_find(&ho->table, rc->key, now_us);
	if (e && e->state >= EB_CLAIM_LOST) {
		if (!eb_claim_id_equal(&e->claim, &rc->claim))
			ho->counters.conflicts++;
		if (e->state >= rc->state)
			return;
	}
	if (!e)
		e = eb_claim_table_add(&ho->table, rc->key, now_us);
	if (!e)
		return;
	memcpy(e->digest, rc->digest, sizeof(e->digest));
	e->claim = rc->claim;
	e->since_us = since_us;
	eb_claim_table_store(&ho->table, e, (enum eb_claim_state)rc->state,
			     &rc->response);
	ho->counters.stored++;
}

static void on_complete(struct eb_claim_holder *ho, const char *from,
			const struct eb_claim_message *ask, int64_t now_us)
{
	struct eb_claim_message m = { .type = EB_CLAIM_ACK };

	finish(ho, &ask->record, now_us, now_us);
	reply(ho, from, ask, &m);
}

static void fill_record(struct eb_claim_record *rc,
			const struct eb_claim_entry *e, int64_t now_us)
{
	int64_t age_ms = (now_us - e->since_us) / 1000;

	memset(rc, 0, sizeof(*rc));
	memcpy(rc->key, e->key, sizeof(rc->key));
	memcpy(rc->digest, e->digest, sizeof(rc->digest));
	rc->state = e->state;
	rc->claim = e->claim;
	rc->age_ms = age_ms > 0 ? (uint32_t)age_ms : 0;
	rc->response = e->response;
}

/*
 * Sends the entries of a slot after the cursor, up to EB_CLAIM_COPY_BYTES or
 * COPY_RECORDS_MAX of them.
 */
static void send_part(struct eb_claim_holder *ho, const char *to,
		      const struct eb_claim_message *ask,
		      struct eb_claim_message *m, int64_t now_us)
{
	struct eb_claim_record *records;
	const uint8_t *key = ask->cursor;
	struct eb_claim_entry *e;
	size_t bytes = 0;

	records = calloc(COPY_RECORDS_MAX, sizeof(*records));
	if (!records)
		return;
	while ((e = eb_claim_table_after(&ho->table, m->slot, key, now_us))) {
		if (bytes > EB_CLAIM_COPY_BYTES ||
		    m->records == COPY_RECORDS_MAX)
			break;
		key = e->key;
		if (e->state == EB_CLAIM_FREE)
			continue;
		fill_record(&records[m->records++], e, now_us);
		bytes +=
			80 + e->response.headers_bytes + e->response.body_bytes;
	}
	m->done = !e;
	eb_claim_queue_add(&ho->out, to, m, records);
	ho->counters.copies_sent++;
	free(records);
}

/*
 * Answers a request for a copy. This holder's later answers name the generation
 * of the requesting daemon, so that a claimant does not count a grant of an
 * earlier generation together with a later grant of this holder.
 */
static void on_copy(struct eb_claim_holder *ho, const char *from,
		    const struct eb_claim_message *ask, int64_t now_us)
{
	struct eb_claim_slot *sl = &ho->slots[ask->slot];
	struct eb_claim_message m = { .type = EB_CLAIM_COPIED };
	uint64_t member = eb_claim_member(from);
	struct eb_claim_generation *kn = NULL;

	m.slot = ask->slot;
	m.set_id = ask->set_id;
	m.incarnation = ho->config.incarnation;
	m.generation = ask->generation;
	m.required = ask->required;
	memcpy(m.required_ids, ask->required_ids, sizeof(m.required_ids));
	memcpy(m.cursor, ask->cursor, sizeof(m.cursor));
	if (ask->set_id != sl->set.id) {
		m.verdict = EB_CLAIM_OTHER_SET;
		eb_claim_queue_add(&ho->out, from, &m, NULL);
		return;
	}
	if (eb_claim_set_find(&sl->set, member) != EB_NONE)
		kn = eb_claim_slot_known_generation(sl, member);
	eb_claim_slot_generations(sl, ho->self, &m);
	if (kn && ask->generation < kn->generation) {
		m.verdict = EB_CLAIM_STALE;
		eb_claim_queue_add(&ho->out, from, &m, NULL);
		return;
	}
	if (kn)
		kn->generation = ask->generation;
	eb_claim_slot_coverage(sl, ask, &m.seen, &m.full);
	send_part(ho, from, ask, &m, now_us);
}

/*
 * Adds a claim from a copy. A key that two holders granted to different claims
 * becomes EB_CLAIM_CONTESTED.
 */
static void merge(struct eb_claim_holder *ho, const struct eb_claim_record *rc,
		  int64_t now_us)
{
	int64_t since_us = now_us - (int64_t)rc->age_ms * 1000;
	struct eb_claim_entry *e;

	if (rc->state >= EB_CLAIM_LOST) {
		finish(ho, rc, since_us, now_us);
		return;
	}
	e = eb_claim_table_find(&ho->table, rc->key, now_us);
	if (e && e->state >= EB_CLAIM_LOST)
		return;
	if (e && e->state == EB_CLAIM_FREE &&
	    eb_claim_id_equal(&e->claim, &rc->claim))
		return;
	if (e && e->state != EB_CLAIM_FREE) {
		if (rc->state == EB_CLAIM_CONTESTED ||
		    !eb_claim_id_equal(&e->claim, &rc->claim))
			e->state = EB_CLAIM_CONTESTED;
		return;
	}
	if (!e)
		e = eb_claim_table_add(&ho->table, rc->key, now_us);
	if (!e)
		return;
	memcpy(e->digest, rc->digest, sizeof(e->digest));
	e->claim = rc->claim;
	e->since_us = since_us;
	eb_claim_table_store(&ho->table, e, (enum eb_claim_state)rc->state,
			     NULL);
}

/* Requests the next part of a copy, and sets the time of the retry. */
static void ask_copy(struct eb_claim_holder *ho, struct eb_claim_slot *sl,
		     struct eb_claim_pull *pl, int64_t now_us)
{
	struct eb_claim_message m = { .type = EB_CLAIM_COPY };
	uint32_t i;

	m.slot = (uint16_t)(sl - ho->slots);
	m.set_id = sl->set.id;
	m.incarnation = ho->config.incarnation;
	m.generation = sl->generation;
	m.required = sl->requirement_count;
	for (i = 0; i < sl->requirement_count; i++)
		m.required_ids[i] = sl->requirements[i].set.id;
	memcpy(m.cursor, pl->cursor, sizeof(m.cursor));
	pl->next_us = now_us + (COPY_RETRY_US << pl->tries);
	if (pl->tries < COPY_RETRY_DOUBLINGS)
		pl->tries++;
	eb_claim_queue_add(&ho->out, pl->name, &m, NULL);
}

/* Tells whether a part of a copy is the one that was requested. */
static int expected(const struct eb_claim_slot *sl,
		    const struct eb_claim_pull *pl,
		    const struct eb_claim_message *m)
{
	uint32_t i;

	if (!pl || m->set_id != sl->set.id || m->generation != sl->generation ||
	    m->required != sl->requirement_count ||
	    !eb_claim_key_equal(m->cursor, pl->cursor))
		return 0;
	for (i = 0; i < m->required; i++)
		if (m->required_ids[i] != sl->requirements[i].set.id)
			return 0;
	return 1;
}

static void restart_pull(struct eb_claim_pull *pl, int64_t now_us)
{
	memset(pl->cursor, 0, sizeof(pl->cursor));
	pl->started = 0;
	pl->next_us = now_us + (COPY_RETRY_US << pl->tries);
}

static void end_pull(struct eb_claim_holder *ho, struct eb_claim_slot *sl,
		     struct eb_claim_pull *pl, int64_t now_us)
{
	pl->done = 1;
	pl->seen = pl->seen_part;
	pl->full = pl->full_part;
	/* Requested again later: this copy may not cover all required sets. */
	restart_pull(pl, now_us);
	ho->counters.copies_done++;
	if (eb_claim_slot_satisfied(sl, ho->self))
		eb_claim_slot_open(sl, 1);
}

/*
 * Tells whether a copied claim is to be added. A grant may have been released
 * after it was copied: once this slot grants, its own entries decide, because a
 * late copy of a grant would block the key for all claimants until it expires.
 */
static int record_usable(const struct eb_claim_slot *sl,
			 const struct eb_claim_record *rc)
{
	return !sl->granting || rc->state >= EB_CLAIM_LOST;
}

/*
 * Handles a part of a copy. All parts must come from one incarnation of the
 * other daemon; otherwise the copy starts again.
 */
static void on_copied(struct eb_claim_holder *ho, const char *from,
		      const struct eb_claim_message *m, int64_t now_us)
{
	struct eb_claim_slot *sl = &ho->slots[m->slot];
	struct eb_claim_pull *pl =
		eb_claim_slot_pull(sl, eb_claim_member(from));
	struct eb_claim_record rc;
	uint64_t newer;
	uint32_t i;

	if (!expected(sl, pl, m) || m->verdict == EB_CLAIM_OTHER_SET)
		return;
	newer = eb_claim_slot_merge_generations(sl, ho->self, m);
	if (newer) {
		restart_slot(ho, sl, newer, now_us);
		return;
	}
	if (pl->started && pl->incarnation != m->incarnation) {
		restart_pull(pl, now_us);
		return;
	}
	for (i = 0; i < m->records; i++) {
		eb_claim_record_at(m, i, &rc);
		if (rc.key[0] == m->slot && record_usable(sl, &rc))
			merge(ho, &rc, now_us);
	}
	pl->seen_part = pl->started ? pl->seen_part & m->seen : m->seen;
	pl->full_part = pl->started ? pl->full_part & m->full : m->full;
	pl->started = 1;
	pl->incarnation = m->incarnation;
	if (m->done || !m->records) {
		end_pull(ho, sl, pl, now_us);
		return;
	}
	memcpy(pl->cursor, rc.key, sizeof(pl->cursor));
	ask_copy(ho, sl, pl, now_us);
}

/*
 * Restarts all slots after half the retention without activity: the process was
 * paused, and another one may have replaced it meanwhile.
 */
static void check_pause(struct eb_claim_holder *ho, int64_t now_us)
{
	int64_t gap_us = now_us - ho->last_active_us;
	uint32_t i;

	ho->last_active_us = now_us;
	if (gap_us < ho->config.retention_us / 2)
		return;
	for (i = 0; i < EB_CLAIM_SLOTS; i++)
		if (ho->slots[i].member)
			restart_slot(ho, &ho->slots[i], 0, now_us);
}

/*
 * Handles a message from the daemon of upstream `from`. Messages are dropped
 * until a configuration lists this daemon's upstream.
 */
void eb_claim_holder_recv(struct eb_claim_holder *ho, const char *from,
			  const struct eb_claim_message *m, int64_t now_us)
{
	if (!ho->service)
		return;
	check_pause(ho, now_us);
	if (m->type < EB_CLAIM_COPY && m->slot != m->record.key[0]) {
		ho->counters.bad_messages++;
		return;
	}
	switch (m->type) {
	case EB_CLAIM_ASK:
		on_ask(ho, from, m, now_us);
		break;
	case EB_CLAIM_RELEASE:
		on_release(ho, from, m, now_us);
		break;
	case EB_CLAIM_COMPLETE:
		on_complete(ho, from, m, now_us);
		break;
	case EB_CLAIM_COPY:
		on_copy(ho, from, m, now_us);
		break;
	case EB_CLAIM_COPIED:
		on_copied(ho, from, m, now_us);
		break;
	default:
		ho->counters.bad_messages++;
	}
}

/*
 * Opens a slot whose wait is over, and sends requests for copies that are due.
 * Returns the number of requests.
 */
static uint32_t tick_slot(struct eb_claim_holder *ho, struct eb_claim_slot *sl,
			  int64_t now_us)
{
	uint32_t i, sent = 0;

	if (sl->member && !sl->granting && now_us >= sl->open_at_us) {
		ho->counters.opened_by_time++;
		eb_claim_slot_open(sl, 0);
	}
	for (i = 0; i < sl->pull_count; i++)
		if (now_us >= sl->pulls[i].next_us) {
			ask_copy(ho, sl, &sl->pulls[i], now_us);
			sent++;
		}
	return sent;
}

/*
 * Makes all slots grant from the next tick on, without copies. Only safe if the
 * operator knows that no key was used within the retention.
 */
void eb_claim_holder_open(struct eb_claim_holder *ho, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < EB_CLAIM_SLOTS; i++)
		ho->slots[i].open_at_us = now_us;
}

/*
 * Requests copies, opens slots and removes expired claims. To be called every
 * few milliseconds.
 */
void eb_claim_holder_tick(struct eb_claim_holder *ho, int64_t now_us)
{
	uint32_t i, sent = 0;

	if (!ho->service)
		return;
	check_pause(ho, now_us);
	for (i = 0; i < EB_CLAIM_SLOTS && sent < COPIES_PER_TICK; i++) {
		sent += tick_slot(ho, &ho->slots[ho->tick_slot], now_us);
		ho->tick_slot = (ho->tick_slot + 1) % EB_CLAIM_SLOTS;
	}
	eb_claim_table_expire(&ho->table, EXPIRE_BUCKETS_PER_TICK, now_us);
}

/* Moves the next message to send to `out`; returns 0 when there is none. */
int eb_claim_holder_next(struct eb_claim_holder *ho, struct eb_claim_send *out)
{
	return eb_claim_queue_next(&ho->out, out);
}

void eb_claim_holder_read_counters(const struct eb_claim_holder *ho,
				   struct eb_claim_holder_counters *out)
{
	*out = ho->counters;
	out->messages_dropped = ho->out.dropped;
	out->entries = ho->table.count;
	out->response_bytes = ho->table.response_bytes;
	out->responses_dropped = ho->table.dropped;
	out->expired = ho->table.expired;
}

/* Counts the slots that this daemon holds and those of them that grant. */
void eb_claim_holder_slots(const struct eb_claim_holder *ho, uint32_t *held,
			   uint32_t *granting)
{
	uint32_t i;

	*held = 0;
	*granting = 0;
	for (i = 0; i < EB_CLAIM_SLOTS; i++) {
		*held += ho->slots[i].member;
		*granting += ho->slots[i].member && ho->slots[i].granting;
	}
}
