#include "eb_claim_roles.h"

#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 255

/*
 * The claimant and the holder of a daemon. The payload of a frame starts with
 * the length of the name of the sender's upstream, in one byte, and the name.
 */
struct eb_claim_roles {
	struct eb_claimant *claimant;
	struct eb_claim_holder *holder;
	struct eb_config *config;
	char *name; /* of this daemon's upstream */
};

/* Creates both roles. Returns NULL when out of memory. */
struct eb_claim_roles *eb_claim_roles_new(const char *upstream,
					  uint64_t incarnation)
{
	struct eb_claimant_config cf = { .incarnation = incarnation,
					 .seed = incarnation };
	struct eb_claim_holder_config ho = { .name = upstream,
					     .incarnation = incarnation };
	struct eb_claim_roles *cs = calloc(1, sizeof(*cs));

	if (!cs)
		return NULL;
	cs->name = strdup(upstream);
	cs->claimant = eb_claimant_new(&cf);
	cs->holder = eb_claim_holder_new(&ho);
	if (!cs->name || !cs->claimant || !cs->holder) {
		eb_claim_roles_free(cs);
		return NULL;
	}
	return cs;
}

/* Frees both roles; NULL is allowed. */
void eb_claim_roles_free(struct eb_claim_roles *cs)
{
	if (!cs)
		return;
	eb_claimant_free(cs->claimant);
	eb_claim_holder_free(cs->holder);
	eb_config_unref(cs->config);
	free(cs->name);
	free(cs);
}

/* Returns the claimant, which the origin starts calls with. */
struct eb_claimant *eb_claim_roles_claimant(struct eb_claim_roles *cs)
{
	return cs->claimant;
}

/*
 * Applies a configuration to both roles. Returns EB_ENOMEM; the holder's slots
 * are incomplete then and the daemon must stop.
 */
enum eb_status eb_claim_roles_configure(struct eb_claim_roles *cs,
					struct eb_config *cf, int64_t now_us)
{
	struct eb_config *was = cs->config;
	enum eb_status st;

	st = eb_claim_holder_configure(cs->holder, was, cf, now_us);
	eb_claimant_configure(cs->claimant, cf);
	cs->config = eb_config_ref(cf);
	eb_config_unref(was);
	return st;
}

/*
 * Copies the name of the sender's upstream from a payload to `name`. Returns
 * EB_EPARSE when there is none or it exceeds `space` bytes.
 */
enum eb_status eb_claim_roles_sender(const void *data, size_t n, char *name,
				     size_t space)
{
	const uint8_t *p = data;

	if (n < 2 || !p[0] || p[0] >= n || p[0] >= space ||
	    memchr(p + 1, 0, p[0]))
		return EB_EPARSE;
	memcpy(name, p + 1, p[0]);
	name[p[0]] = 0;
	return EB_OK;
}

/* Passes a payload to its role. Returns EB_EPARSE if it cannot be decoded. */
enum eb_status eb_claim_roles_recv(struct eb_claim_roles *cs, const void *data,
				   size_t n, int64_t now_us)
{
	struct eb_claim_message m;
	char from[NAME_MAX_BYTES + 1];
	size_t skip;

	if (eb_claim_roles_sender(data, n, from, sizeof(from)))
		return EB_EPARSE;
	skip = 1 + strlen(from);
	if (eb_claim_decode((const uint8_t *)data + skip, n - skip, &m))
		return EB_EPARSE;
	if (eb_claim_for_holder(&m))
		eb_claim_holder_recv(cs->holder, from, &m, now_us);
	else
		eb_claimant_recv(cs->claimant, from, &m, now_us);
	eb_claim_message_clear(&m);
	return EB_OK;
}

/* To be called every few milliseconds, for retries and expiry of both roles. */
void eb_claim_roles_tick(struct eb_claim_roles *cs, int64_t now_us)
{
	eb_claimant_tick(cs->claimant, now_us);
	eb_claim_holder_tick(cs->holder, now_us);
}

/* Returns NULL when out of memory. */
static struct eb_frame *make_frame(const struct eb_claim_roles *cs,
				   const struct eb_claim_send *sd)
{
	size_t n = strlen(cs->name);
	struct eb_frame *f = eb_frame_new(EB_FRAME_CLAIM, 0);

	if (!f)
		return NULL;
	f->data = malloc(1 + n + sd->payload_bytes);
	if (!f->data) {
		eb_frame_unref(f);
		return NULL;
	}
	f->data[0] = (uint8_t)n;
	memcpy(f->data + 1, cs->name, n);
	memcpy(f->data + 1 + n, sd->payload, sd->payload_bytes);
	f->data_bytes = (uint32_t)(1 + n + sd->payload_bytes);
	return f;
}

/*
 * Returns the next frame to send, or NULL when there is none. `to` receives the
 * name of the upstream whose daemon it is for.
 */
struct eb_frame *eb_claim_roles_next(struct eb_claim_roles *cs, char *to,
				     size_t space)
{
	struct eb_claim_send sd;
	struct eb_frame *f = NULL;

	while (!f && (eb_claimant_next_send(cs->claimant, &sd) ||
		      eb_claim_holder_next(cs->holder, &sd))) {
		if (strlen(sd.to) < space) {
			memcpy(to, sd.to, strlen(sd.to) + 1);
			f = make_frame(cs, &sd);
		}
		eb_claim_send_clear(&sd);
	}
	return f;
}

/*
 * Makes all slots grant from the next tick on, without copies, for the first
 * start of a fleet. Only safe if the operator knows that no key was used within
 * the retention.
 */
void eb_claim_roles_open(struct eb_claim_roles *cs, int64_t now_us)
{
	eb_claim_holder_open(cs->holder, now_us);
}

/* Reports how many slots this daemon holds and how many of them grant. */
void eb_claim_roles_slots(const struct eb_claim_roles *cs, uint32_t *held,
			  uint32_t *granting)
{
	eb_claim_holder_slots(cs->holder, held, granting);
}
