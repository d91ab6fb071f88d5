#ifndef EB_HOME_H
#define EB_HOME_H

#include "eb_config.h"
#include "eb_frame.h"

/*
 * The regions in which a request may run: those of its match, or of its service
 * in a configuration without matches.
 */
struct eb_home {
	const struct eb_texts *regions;
	uint8_t restricted; /* to `regions`; may be none */
};

int eb_home_find(const struct eb_config *cf, const struct eb_head *h,
		 struct eb_home *hm);
void eb_home_of(const struct eb_match *mt, const struct eb_service *sv,
		struct eb_home *hm);
int eb_home_has(const struct eb_home *hm, const char *region);
int eb_home_any(const struct eb_config *cf);
int eb_home_allows(const struct eb_config *cf, const struct eb_head *h,
		   const char *region);

#endif
