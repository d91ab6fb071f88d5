#include "eb_home.h"

/* Returns the regions of a match or, when it is NULL, of a service. */
void eb_home_of(const struct eb_match *mt, const struct eb_service *sv,
		struct eb_home *hm)
{
	if (mt) {
		hm->regions = &mt->regions;
		hm->restricted = mt->restricted;
		return;
	}
	hm->regions = &sv->regions;
	hm->restricted = sv->regions.count > 0;
}

/*
 * Finds the regions of a request whose head names its service. Returns 0 when
 * the configuration has neither its match nor its service: it says nothing
 * about the request.
 */
int eb_home_find(const struct eb_config *cf, const struct eb_head *h,
		 struct eb_home *hm)
{
	const struct eb_match *mt = NULL;
	uint32_t service = EB_NONE;

	if (cf->has_matches)
		mt = eb_config_find_match(
			cf, eb_headers_find(&h->headers, "Host"), h->target);
	else
		service = eb_config_find_service(cf, h->service);
	if (mt)
		eb_home_of(mt, NULL, hm);
	else if (service != EB_NONE)
		eb_home_of(NULL, cf->services[service], hm);
	return mt || service != EB_NONE;
}

/* Tells whether requests with these regions may run in a region. */
int eb_home_has(const struct eb_home *hm, const char *region)
{
	return !hm->restricted || eb_texts_has(hm->regions, region);
}

/* Tells whether a configuration restricts any request to regions. */
int eb_home_any(const struct eb_config *cf)
{
	uint32_t i;

	for (i = 0; i < cf->match_count; i++)
		if (cf->matches[i].restricted)
			return 1;
	for (i = 0; i < cf->service_total && !cf->has_matches; i++)
		if (cf->services[i]->regions.count)
			return 1;
	return 0;
}

/*
 * Tells whether a request may run in a region. One that the configuration does
 * not know may: its route was removed while it was under way, or is so new that
 * only its origin knows it, which has applied its regions.
 */
int eb_home_allows(const struct eb_config *cf, const struct eb_head *h,
		   const char *region)
{
	struct eb_home hm;

	return !eb_home_find(cf, h, &hm) || eb_home_has(&hm, region);
}
