#include "eb_matcher.h"

#include <string.h>

/* 2^32 divided by the golden ratio; see pick_share(). */
#define GOLDEN_RATIO_STEP 2654435769U

/*
 * Picks the service of a path whose traffic is split by weight. Stepping the
 * position by the golden ratio of its range spreads the requests evenly over
 * the shares, also in each short sequence of them.
 */
static uint32_t pick_share(struct eb_matcher *mc, const struct eb_match *mt)
{
	uint64_t sum = 0, at;
	uint32_t i;

	if (mt->share_count < 2)
		return mt->share_count ? mt->shares[0].service : EB_NONE;
	for (i = 0; i < mt->share_count; i++)
		sum += mt->shares[i].weight;
	mc->split_position += GOLDEN_RATIO_STEP;
	at = mc->split_position * sum >> 32;
	for (i = 0; i + 1 < mt->share_count; i++) {
		if (at < mt->shares[i].weight)
			break;
		at -= mt->shares[i].weight;
	}
	return mt->shares[i].service;
}

/*
 * Returns the index of a request's service, or EB_NONE. Stores its match, or
 * NULL in a configuration without matches or when none fits.
 */
uint32_t eb_matcher_service(struct eb_matcher *mc, const struct eb_config *cf,
			    const struct eb_head *h, const struct eb_match **mt)
{
	const char *host = eb_headers_find(&h->headers, "Host");

	*mt = NULL;
	if (!cf->has_matches)
		return eb_config_match(cf, host, h->target);
	*mt = eb_config_find_match(cf, host, h->target);
	return *mt ? pick_share(mc, *mt) : EB_NONE;
}

/* Tells whether `method` is in a list of methods separated by spaces. */
int eb_matcher_idempotent(const char *methods, const char *method)
{
	size_t want = strlen(method), n;
	const char *p;

	for (p = methods; *p; p += n) {
		p += strspn(p, " ");
		n = strcspn(p, " ");
		if (n == want && !strncmp(p, method, n))
			return 1;
	}
	return 0;
}
