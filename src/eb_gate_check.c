#include "eb_gate_check.h"

#include <stdlib.h>
#include <string.h>

#include "eb_home.h"
#include "eb_test_off.h"

/* Frees what the checks own. */
void eb_gate_check_clear(struct eb_gate_check *gc)
{
	eb_config_unref(gc->config);
	free(gc->address);
	free(gc->service);
	free(gc->region);
	free(gc->instance);
	free(gc->own_service);
	free(gc->configured);
	memset(gc, 0, sizeof(*gc));
}

static char *copy(const char *text)
{
	return text ? strdup(text) : NULL;
}

/*
 * Sets the upstream; NULL: it is not in the configuration. Tells whether the
 * configuration names another start of it than before.
 */
int eb_gate_check_configure(struct eb_gate_check *gc,
			    const struct eb_upstream *up)
{
	int other;

	free(gc->address);
	free(gc->service);
	gc->address = up ? copy(up->address) : NULL;
	gc->service = up ? copy(up->service_name) : NULL;
	if (!up)
		return 0;
	free(gc->region);
	gc->region = copy(up->region);
	gc->generation++;
	if (!up->instance)
		return 0;
	other = gc->configured &&
		eb_config_is_other_start(up, gc->configured, gc->start_ms);
	free(gc->configured);
	gc->configured = copy(up->instance);
	gc->start_ms = up->start_ms;
	return other;
}

/*
 * Sets the configuration that allows requests in regions. One that restricts
 * none is not kept, which saves the search for the route of each request.
 */
void eb_gate_check_set_config(struct eb_gate_check *gc,
			      const struct eb_config *cf)
{
	struct eb_config *old = gc->config;

	gc->config =
		eb_home_any(cf) ? eb_config_ref((struct eb_config *)cf) : NULL;
	gc->generation++;
	eb_config_unref(old);
}

/* Sets the service that this process was started with; NULL: unknown. */
void eb_gate_check_set_service(struct eb_gate_check *gc, const char *service)
{
	free(gc->own_service);
	gc->own_service = copy(service);
}

/* Stores the start of the upstream that answered a probe; NULL: no answer. */
void eb_gate_check_answered(struct eb_gate_check *gc, const char *instance)
{
	if (!instance)
		return;
	if (!gc->instance)
		gc->instance = strdup(instance);
	else if (strcmp(gc->instance, instance) != 0)
		gc->replaced = 1;
}

/*
 * Tells whether the upstream is still the start beside which this process was
 * started, and belongs to the request's service. Then the request may run even
 * if its origin knows only an earlier start. The check is needed because the
 * address may pass to another service while a call waits.
 */
int eb_gate_check_own_start(const struct eb_gate_check *gc,
			    const struct eb_head *h)
{
	return gc->instance && !gc->replaced && gc->own_service &&
	       !strcmp(gc->own_service, gc->service) &&
	       !strcmp(gc->own_service, h->service);
}

/* Tells whether a request is meant for this upstream and its service. */
int eb_gate_check_addressed(const struct eb_gate_check *gc,
			    const struct eb_head *h)
{
	return gc->address && !strcmp(h->upstream, gc->upstream) &&
	       !strcmp(h->service, gc->service);
}

/*
 * Tells whether this daemon's own configuration allows a request in the region
 * of the upstream; if not, counts and logs that. The origin may have chosen the
 * upstream by an older configuration.
 */
int eb_gate_check_region(const struct eb_gate_check *gc,
			 const struct eb_head *h)
{
	if (!gc->config || !gc->region || eb_test_off("placement") ||
	    eb_home_allows(gc->config, h, gc->region))
		return 1;
	eb_metrics_add(gc->metrics, EB_METRIC_GATE_REGION_REFUSED, 1);
	eb_log_write(gc->log, EB_LOG_WARN, "gate",
		     "route excludes the region, refusing the call",
		     "service=%s region=%s", h->service, gc->region);
	return 0;
}
