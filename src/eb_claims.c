#include "eb_claims.h"

#include <stdlib.h>
#include <string.h>

#define NAME_MAX_BYTES 255

/*
 * The claimant and the holder of a daemon. The payload of a frame starts with
 * the length of the name of the sender's upstream, in one byte, and the name.
 */
struct eb_claims {
	struct eb_claim *claimant;
	struct eb_holder *holder;
	struct eb_config *config;
	char *name; /* of this daemon's upstream */
};

/* Creates both roles. Returns NULL when out of memory. */
struct eb_claims *eb_claims_new(const char *upstream, uint64_t incarnation)
{
	struct eb_claim_config cf = { .incarnation = incarnation,
				      .seed = incarnation };
	struct eb_holder_config ho = { .name = upstream,
				       .incarnation = incarnation };
	struct eb_claims *cs = calloc(1, sizeof(*cs));

	if (!cs)
		return NULL;
	cs->name = strdup(upstream);
	cs->claimant = eb_claim_new(&cf);
	cs->holder = eb_holder_new(&ho);
	if (!cs->name || !cs->claimant || !cs->holder) {
		eb_claims_free(cs);
		return NULL;
	}
	return cs;
}

/* Frees both roles; NULL is allowed. */
void eb_claims_free(struct eb_claims *cs)
{
	if (!cs)
		return;
	eb_claim_free(cs->claimant);
	eb_holder_free(cs->holder);
	eb_config_unref(cs->config);
	free(cs->name);
	free(cs);
}

/* Returns the claimant, which the origin starts calls with. */
struct eb_claim *eb_claims_claimant(struct eb_claims *cs)
{
	return cs->claimant;
}

/*
 * Applies a configuration to both roles. Returns EB_ENOMEM; the holder's slots
 * are incomplete then and the daemon must stop.
 */
enum eb_status eb_claims_configure(struct eb_claims *cs, struct eb_config *cf,
				   int64_t now_us)
{
	struct eb_config *was = cs->config;
	enum eb_status st;

	st = eb_holder_configure(cs->holder, was, cf, now_us);
	eb_claim_configure(cs->claimant, cf);
	cs->config = eb_config_ref(cf);
	eb_config_unref(was);
	return st;
}

/*
 * Copies the name of the sender's upstream from a payload to `name`. Returns
 * EB_EPARSE when there is none or it exceeds `space` bytes.
 */
enum eb_status eb_claims_sender(const void *data, size_t n, char *name,
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
enum eb_status eb_claims_recv(struct eb_claims *cs, const void *data, size_t n,
			      int64_t now_us)
{
	struct eb_claim_message m;
	char from[NAME_MAX_BYTES + 1];
	size_t skip;

	if (eb_claims_sender(data, n, from, sizeof(from)))
		return EB_EPARSE;
	skip = 1 + strlen(from);
	if (eb_claim_decode((const uint8_t *)data + skip, n - skip, &m))
		return EB_EPARSE;
	if (eb_claim_for_holder(&m))
		eb_holder_recv(cs->holder, from, &m, now_us);
	else
		eb_claim_recv(cs->claimant, from, &m, now_us);
	eb_claim_message_clear(&m);
	return EB_OK;
}

/* To be called every few milliseconds, for retries and expiry of both roles. */
void eb_claims_tick(struct eb_claims *cs, int64_t now_us)
{
	eb_claim_tick(cs->claimant, now_us);
	eb_holder_tick(cs->holder, now_us);
}

/* Returns NULL when out of memory. */
static struct eb_frame *make_frame(const struct eb_claims *cs,
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
struct eb_frame *eb_claims_next(struct eb_claims *cs, char *to, size_t space)
{
	struct eb_claim_send sd;
	struct eb_frame *f = NULL;

	while (!f && (eb_claim_next_send(cs->claimant, &sd) ||
		      eb_holder_next(cs->holder, &sd))) {
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
void eb_claims_open(struct eb_claims *cs, int64_t now_us)
{
	eb_holder_open(cs->holder, now_us);
}

/* Reports how many slots this daemon holds and how many of them grant. */
void eb_claims_slots(const struct eb_claims *cs, uint32_t *held, uint32_t *able)
{
	eb_holder_slots(cs->holder, held, able);
}
