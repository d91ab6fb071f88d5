#include "eb_nodes.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_regions.h"
#include "eb_subset.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

/* A set of regions that has no upstream: the last bit is never given out. */
#define NO_REGION (UINT64_C(1) << (EB_REGIONS_MAX - 1))
/* With fewer suspected peers, each of them may have failed on its own. */
#define CUT_OFF_PEERS_MIN 3
/*
 * Window of the requests by urgency: an origin of 60 sees one or two requests
 * of a kind per second.
 */
#define URGENCY_WINDOW_US 10000000

struct eb_nodes {
	const struct eb_settings *settings;
	struct eb_mesh *mesh;
	uint64_t seed;
	struct eb_config *config;
	struct eb_node **nodes;
	uint32_t count;
	uint32_t capacity;
	apr_pool_t *pool;
	apr_hash_t *by_name;	/* name -> node number + 1 */
	apr_hash_t *by_address; /* daemon's IP:port -> node number + 1 */
	apr_hash_t *services;	/* name -> struct eb_service_state */
	struct eb_regions *regions;
	uint32_t generation; /* see eb_nodes_generation() */
	uint8_t cut_off;     /* all peers that are up are suspected */
};

/* Creates an empty registry. Returns NULL without memory. */
struct eb_nodes *eb_nodes_new(const struct eb_settings *se, struct eb_mesh *ms,
			      uint64_t seed)
{
	struct eb_nodes *nd = calloc(1, sizeof(*nd));

	if (!nd)
		return NULL;
	nd->settings = se;
	nd->mesh = ms;
	nd->seed = seed;
	nd->config = eb_config_new_empty();
	nd->regions = eb_regions_new();
	if (!nd->config || !nd->regions ||
	    apr_pool_create(&nd->pool, NULL) != APR_SUCCESS) {
		eb_config_unref(nd->config);
		eb_regions_free(nd->regions);
		free(nd);
		return NULL;
	}
	nd->by_name = apr_hash_make(nd->pool);
	nd->by_address = apr_hash_make(nd->pool);
	nd->services = apr_hash_make(nd->pool);
	return nd;
}

/* Frees the registry; eb_mesh_free() closes the sockets. NULL is allowed. */
void eb_nodes_free(struct eb_nodes *nd)
{
	struct eb_service_state *sv;
	apr_hash_index_t *hi;
	uint32_t i;

	if (!nd)
		return;
	for (hi = apr_hash_first(NULL, nd->services); hi;
	     hi = apr_hash_next(hi)) {
		sv = apr_hash_this_val(hi);
		eb_route_free(sv->route);
		eb_limit_free(sv->limit);
		eb_hedge_free(sv->hedge);
		free(sv->name);
		free(sv);
	}
	for (i = 0; i < nd->count; i++) {
		free(nd->nodes[i]->name);
		free(nd->nodes[i]);
	}
	free(nd->nodes);
	eb_config_unref(nd->config);
	eb_regions_free(nd->regions);
	apr_pool_destroy(nd->pool);
	free(nd);
}

/* Returns the configuration in force; never NULL. */
const struct eb_config *eb_nodes_config(const struct eb_nodes *nd)
{
	return nd->config;
}

/* Returns the number of configurations that have come into force. */
uint32_t eb_nodes_generation(const struct eb_nodes *nd)
{
	return nd->generation;
}

/* Returns the node with a number, or NULL when there is none. */
struct eb_node *eb_nodes_get(const struct eb_nodes *nd, uint32_t id)
{
	return id < nd->count ? nd->nodes[id] : NULL;
}

/*
 * Returns the number of nodes, including those that are no longer in the
 * configuration.
 */
uint32_t eb_nodes_count(const struct eb_nodes *nd)
{
	return nd->count;
}

static uint32_t lookup(apr_hash_t *table, const char *key)
{
	void *value = apr_hash_get(table, key, APR_HASH_KEY_STRING);

	return value ? (uint32_t)((uintptr_t)value - 1) : EB_NONE;
}

/* Returns the number of the node with this upstream name, or EB_NONE. */
uint32_t eb_nodes_find(const struct eb_nodes *nd, const char *name)
{
	return lookup(nd->by_name, name);
}

static uint8_t distance_of(const struct eb_settings *se,
			   const struct eb_upstream *up)
{
	if (!strcmp(up->name, se->upstream))
		return EB_DISTANCE_SELF;
	if (!strcmp(up->failure_domain, se->failure_domain) &&
	    !strcmp(up->region, se->region))
		return EB_DISTANCE_DOMAIN;
	if (!strcmp(up->region, se->region))
		return EB_DISTANCE_REGION;
	return EB_DISTANCE_FAR;
}

static struct eb_node *add_node(struct eb_nodes *nd, const char *name)
{
	uint32_t capacity = nd->capacity ? nd->capacity * 2 : 64;
	struct eb_node **nodes, *n;

	if (nd->count == nd->capacity) {
		nodes = realloc(nd->nodes, capacity * sizeof(*nodes));
		if (!nodes)
			return NULL;
		nd->nodes = nodes;
		nd->capacity = capacity;
	}
	n = calloc(1, sizeof(*n));
	if (!n)
		return NULL;
	n->name = strdup(name);
	n->self = !strcmp(name, nd->settings->upstream);
	nd->nodes[nd->count++] = n;
	apr_hash_set(nd->by_name, n->name, APR_HASH_KEY_STRING,
		     (void *)(uintptr_t)nd->count);
	return n;
}

/*
 * Closes the socket to a node whose daemon has another address or key now. The
 * socket to a node that was removed from the configuration stays open for a
 * while, since its daemon still answers the calls that it has.
 */
static void close_stale_peer(struct eb_nodes *nd, struct eb_node *n,
			     int64_t now_us)
{
	struct eb_peer *pr = n->peer;

	if (!n->present && n->present_before)
		n->removed_us = now_us;
	if (!pr || !n->present)
		return;
	if (!strcmp(pr->address, n->info->daemon) &&
	    !strcmp(pr->key, n->info->key))
		return;
	n->peer = NULL;
	eb_mesh_close(nd->mesh, pr);
}

/*
 * Updates until when an upstream is cold. The same cold time once more, of the
 * same start, is of the same entry and does not extend that time.
 */
static void update_cold(struct eb_nodes *nd, struct eb_node *n, int64_t now_us)
{
	const struct eb_service *sv = NULL;

	if (n->service != EB_NONE)
		sv = nd->config->services[n->service];
	if (n->replaced || n->info->cold_ms != n->cold_ms)
		n->cold_until_us = now_us + n->info->cold_ms * 1000LL;
	n->cold_ms = n->info->cold_ms;
	n->cold = sv && sv->cold_per_s_milli && now_us < n->cold_until_us;
}

static void update_node(struct eb_nodes *nd, uint32_t i, int64_t now_us)
{
	struct eb_upstream *up = nd->config->upstreams[i];
	uint32_t id = eb_nodes_find(nd, up->name);
	struct eb_node *n;

	n = id == EB_NONE ? add_node(nd, up->name) : nd->nodes[id];
	if (!n)
		return;
	n->replaced =
		n->present_before &&
		strcmp(n->instance, up->instance ? up->instance : "") != 0;
	if (eb_config_is_other_start(up, n->instance, n->start_ms))
		n->says_leaving = 0;
	snprintf(n->instance, sizeof(n->instance), "%s",
		 up->instance ? up->instance : "");
	n->start_ms = up->start_ms;
	if (nd->config->has_matches)
		n->leaving = up->leaving;
	n->present = 1;
	n->info = up;
	n->service = nd->config->upstream_service[i];
	n->distance = distance_of(nd->settings, up);
	n->region = eb_regions_bit(nd->regions, up->region);
	n->evacuated =
		(uint8_t)eb_config_is_evacuated(nd->config, up->failure_domain);
	update_cold(nd, n, now_us);
	apr_hash_set(nd->by_address, up->daemon, APR_HASH_KEY_STRING,
		     (void *)(uintptr_t)(eb_nodes_find(nd, up->name) + 1));
}

static int is_suspected(const struct eb_node *n)
{
	return n->peer && n->peer->up && n->peer->liveness.suspected;
}

/*
 * Tells whether an upstream may get new requests. When all peers are suspected
 * at once, this daemon is cut off from the network, and no suspected peer would
 * receive a request.
 */
static int is_routable(const struct eb_nodes *nd, const struct eb_node *n)
{
	if (!n->present || n->leaving || n->draining || n->says_leaving ||
	    n->evacuated)
		return 0;
	if (n->self)
		return 1;
	return n->peer && n->peer->up && !(nd->cut_off && is_suspected(n));
}

/*
 * Passes the upstreams of a service and their states to its router. Those that
 * are evacuated are left out: the router chooses among a few random upstreams,
 * and would choose among fewer while a whole failure domain is unusable. An
 * upstream that is taken back is new to the router, which ramps it up.
 */
static void update_route(struct eb_nodes *nd, struct eb_service_state *sv,
			 int64_t now_us)
{
	struct eb_route_upstream *ups;
	uint32_t first, count, i, id, used = 0;
	struct eb_node *n;

	if (sv->index == EB_NONE) {
		eb_route_set_upstreams(sv->route, NULL, 0, now_us);
		return;
	}
	first = nd->config->service_first_upstream[sv->index];
	count = nd->config->service_upstream_count[sv->index];
	ups = calloc(count ? count : 1, sizeof(*ups));
	if (!ups)
		return;
	for (i = 0; i < count; i++) {
		id = eb_nodes_find(nd, nd->config->upstreams[first + i]->name);
		n = nd->nodes[id];
		if (n->evacuated)
			continue;
		ups[used].id = id;
		ups[used].slots = (uint16_t)n->info->slots;
		ups[used].distance = n->distance;
		ups[used].leaving = !is_routable(nd, n);
		ups[used].suspected = (uint8_t)is_suspected(n);
		ups[used].cold = n->cold;
		ups[used].region = n->region;
		ups[used++].link_mbps = n->link_mbps;
	}
	eb_route_set_upstreams(sv->route, ups, used, now_us);
	free(ups);
}

/* Idle far peers get fewer heartbeats: traffic between regions is billed. */
static void set_heartbeat(struct eb_node *n)
{
	if (n->peer && n->distance == EB_DISTANCE_FAR)
		n->peer->idle_heartbeat_ms = EB_PEER_HEARTBEAT_FAR_MS;
}

/* Opens the socket to a node's daemon if there is none. */
static void dial(struct eb_nodes *nd, uint32_t id, int64_t now_us)
{
	struct eb_node *n = nd->nodes[id];

	if (n->peer)
		return;
	n->peer = eb_mesh_dial(nd->mesh, n->info->daemon, n->info->key, id,
			       now_us);
	set_heartbeat(n);
}

/*
 * Opens sockets to the daemons of a service, as far as there are none yet: to
 * all of them, or to a subset of EB_SERVICE_PEERS_MAX.
 */
static void dial_service(struct eb_nodes *nd, struct eb_service_state *sv,
			 int64_t now_us)
{
	uint32_t first = nd->config->service_first_upstream[sv->index];
	uint32_t count = nd->config->service_upstream_count[sv->index];
	uint64_t self = eb_subset_key(nd->settings->upstream);
	struct eb_subset_candidate *cs = calloc(count + 1, sizeof(*cs));
	uint32_t i, n = 0, id;

	sv->dialled_us = now_us;
	if (!cs)
		return;
	for (i = 0; i < count; i++) {
		id = eb_nodes_find(nd, nd->config->upstreams[first + i]->name);
		if (nd->nodes[id]->self)
			continue;
		cs[n].index = id;
		cs[n].key = eb_subset_key(nd->nodes[id]->name);
		cs[n++].distance = nd->nodes[id]->distance;
	}
	eb_subset_choose(self, cs, n, EB_SERVICE_PEERS_MAX);
	for (i = 0; i < n; i++)
		if (cs[i].chosen)
			dial(nd, cs[i].index, now_us);
	free(cs);
}

/* Each caller has the rate of the rule, and a share of EB_CALLS_MAX in flight.
 */
static struct eb_limit_config limit_config(const struct eb_rule *rule)
{
	struct eb_limit_config cf = { .rate_per_s = rule->caller_rate_per_s,
				      .in_flight_max = EB_CALLS_MAX };

	return cf;
}

static struct eb_service_state *add_service(struct eb_nodes *nd,
					    const char *name)
{
	struct eb_service_state *sv = calloc(1, sizeof(*sv));

	if (!sv)
		return NULL;
	sv->name = strdup(name);
	sv->route = eb_route_new(nd->seed + apr_hash_count(nd->services));
	sv->index = EB_NONE;
	apr_hash_set(nd->services, sv->name, APR_HASH_KEY_STRING, sv);
	return sv;
}

/*
 * Returns the state of the service with this index in the configuration. The
 * first call opens sockets to its daemons and sets up its router, limits and
 * retry budget. Returns NULL without memory.
 */
struct eb_service_state *eb_nodes_service(struct eb_nodes *nd, uint32_t index,
					  int64_t now_us)
{
	const char *name = nd->config->services[index]->name;
	struct eb_service_state *sv;
	struct eb_limit_config limit;
	const struct eb_rule *rule;

	sv = apr_hash_get(nd->services, name, APR_HASH_KEY_STRING);
	if (!sv)
		sv = add_service(nd, name);
	if (!sv || sv->dialled_us)
		return sv;
	sv->index = index;
	limit = limit_config(eb_nodes_rule(nd, sv));
	sv->limit = eb_limit_new(&limit);
	sv->hedge = eb_hedge_new(nd->settings->hedge_permille);
	rule = eb_nodes_rule(nd, sv);
	eb_retry_init(&sv->retry, rule->retry_permille);
	eb_urgency_init(&sv->urgency, URGENCY_WINDOW_US);
	eb_retry_limit(&sv->retry, rule->retry_permille, rule->retry_burst);
	dial_service(nd, sv, now_us);
	update_route(nd, sv, now_us);
	return sv;
}

/* Returns the state of a node's service, or NULL if that is not in use. */
struct eb_service_state *eb_nodes_service_of(const struct eb_nodes *nd,
					     uint32_t id)
{
	const struct eb_node *n = eb_nodes_get(nd, id);

	if (!n || !n->present || n->service == EB_NONE)
		return NULL;
	return apr_hash_get(nd->services,
			    nd->config->services[n->service]->name,
			    APR_HASH_KEY_STRING);
}

/* Applies the new configuration to the services in use. */
static void update_services(struct eb_nodes *nd, int64_t now_us)
{
	struct eb_limit_config limit;
	const struct eb_rule *rule;
	struct eb_service_state *sv;
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, nd->services); hi;
	     hi = apr_hash_next(hi)) {
		sv = apr_hash_this_val(hi);
		sv->index = eb_config_find_service(nd->config, sv->name);
		if (sv->index != EB_NONE) {
			rule = eb_nodes_rule(nd, sv);
			eb_retry_limit(&sv->retry, rule->retry_permille,
				       rule->retry_burst);
			limit = limit_config(eb_nodes_rule(nd, sv));
			eb_limit_configure(sv->limit, &limit);
			dial_service(nd, sv, now_us);
		}
		update_route(nd, sv, now_us);
	}
}

/*
 * Puts a configuration into force and takes a reference to it. Returns
 * EB_ENOMEM when the keys of the peers could not be stored.
 */
enum eb_status eb_nodes_configure(struct eb_nodes *nd, struct eb_config *cf,
				  int64_t now_us)
{
	struct eb_config *old = nd->config;
	enum eb_status st;
	uint32_t i;

	nd->config = eb_config_ref(cf);
	nd->generation++;
	apr_hash_clear(nd->by_address);
	for (i = 0; i < nd->count; i++) {
		nd->nodes[i]->present_before = nd->nodes[i]->present;
		nd->nodes[i]->replaced = 0;
		nd->nodes[i]->present = 0;
	}
	for (i = 0; i < cf->upstream_total; i++)
		update_node(nd, i, now_us);
	for (i = 0; i < nd->count; i++) {
		close_stale_peer(nd, nd->nodes[i], now_us);
		if (!nd->nodes[i]->present)
			nd->nodes[i]->info = NULL;
	}
	st = eb_mesh_allow_keys(nd->mesh, cf);
	update_services(nd, now_us);
	if (cf->upstream_total <= EB_EARLY_DIAL_UPSTREAMS_MAX)
		for (i = 0; i < cf->service_total; i++)
			eb_nodes_service(nd, i, now_us);
	for (i = 0; i < nd->count; i++)
		if (nd->nodes[i]->replaced)
			eb_nodes_restarted(nd, i, now_us);
	eb_config_unref(old);
	return st;
}

/* Returns the state of a node's service, or NULL when it is not in use. */
static struct eb_service_state *service_of(const struct eb_nodes *nd,
					   const struct eb_node *n)
{
	struct eb_service_state *sv;

	if (!n || !n->present)
		return NULL;
	sv = apr_hash_get(nd->services, n->info->service_name,
			  APR_HASH_KEY_STRING);
	return sv && sv->dialled_us ? sv : NULL;
}

/*
 * Returns the socket to a node's daemon, which is opened when there is none.
 * Returns NULL for this daemon itself, a node that is not in the configuration,
 * and when the socket can't be opened.
 */
struct eb_peer *eb_nodes_peer(struct eb_nodes *nd, uint32_t id, int64_t now_us)
{
	struct eb_node *n = eb_nodes_get(nd, id);

	if (!n || !n->present || n->self)
		return NULL;
	if (!n->peer)
		n->peer = eb_mesh_dial(nd->mesh, n->info->daemon, n->info->key,
				       id, now_us);
	return n->peer;
}

/*
 * Tells whether a daemon of the service has a socket but has not answered yet.
 * A daemon that was lost does not count: it is unknown when it will be back.
 * Neither does one outside `regions`, a set as in eb_nodes_allowed_regions(),
 * or in an evacuated failure domain: it gets no request when it is up.
 */
int eb_nodes_first_answer_pending(const struct eb_nodes *nd,
				  const struct eb_service_state *sv,
				  uint64_t regions)
{
	const struct eb_node *n;
	uint32_t i;

	for (i = 0; i < nd->count; i++) {
		n = nd->nodes[i];
		if (n->present && n->service == sv->index && !n->leaving &&
		    !n->draining && !n->says_leaving && !n->evacuated &&
		    (!regions || (regions & n->region)) && n->peer &&
		    !n->peer->up && !n->peer->incarnation)
			return 1;
	}
	return 0;
}

/* Tells whether an upstream of the service is in an evacuated domain. */
int eb_nodes_has_evacuated(const struct eb_nodes *nd,
			   const struct eb_service_state *sv)
{
	uint32_t i;

	for (i = 0; i < nd->count; i++)
		if (nd->nodes[i]->present && nd->nodes[i]->evacuated &&
		    nd->nodes[i]->service == sv->index)
			return 1;
	return 0;
}

/*
 * Closes the sockets to daemons that were removed from the configuration
 * EB_PEER_LINGER_MS ago or earlier, and updates the routers of upstreams whose
 * cold time has ended. To be called regularly.
 */
void eb_nodes_tick(struct eb_nodes *nd, int64_t now_us)
{
	struct eb_node *n;
	uint32_t i;

	for (i = 0; i < nd->count; i++) {
		n = nd->nodes[i];
		if (n->cold && now_us >= n->cold_until_us) {
			n->cold = 0;
			eb_nodes_changed(nd, i, now_us);
		}
		if (n->present || !n->peer ||
		    now_us - n->removed_us < EB_PEER_LINGER_MS * 1000LL)
			continue;
		eb_mesh_close(nd->mesh, n->peer);
		n->peer = NULL;
	}
}

/*
 * Opens a socket to a daemon if there is none, and sends it heartbeats as to a
 * busy peer even when it is idle or far.
 */
void eb_nodes_fast_heartbeat(struct eb_nodes *nd, uint32_t id, int64_t now_us)
{
	struct eb_peer *pr = eb_nodes_peer(nd, id, now_us);

	if (pr)
		pr->idle_heartbeat_ms = EB_PEER_HEARTBEAT_MS;
}

/*
 * Updates the router of a node's service. To be called when the node's daemon
 * has come up or has been lost, or when its draining or leaving changes.
 */
void eb_nodes_changed(struct eb_nodes *nd, uint32_t id, int64_t now_us)
{
	struct eb_service_state *sv = service_of(nd, eb_nodes_get(nd, id));

	if (sv)
		update_route(nd, sv, now_us);
}

/*
 * Tells whether all peers that are up are suspected, with at least
 * CUT_OFF_PEERS_MIN of them.
 */
static int is_cut_off(const struct eb_nodes *nd)
{
	uint32_t i, up = 0, suspected = 0;

	for (i = 0; i < nd->count; i++) {
		if (!nd->nodes[i]->peer || !nd->nodes[i]->peer->up)
			continue;
		up++;
		suspected += (uint32_t)is_suspected(nd->nodes[i]);
	}
	return up >= CUT_OFF_PEERS_MIN && suspected == up;
}

/*
 * Updates the routers. To be called when a node's peer becomes suspected and
 * when it answers again.
 */
void eb_nodes_suspicion_changed(struct eb_nodes *nd, uint32_t id,
				int64_t now_us)
{
	int cut_off = is_cut_off(nd);
	apr_hash_index_t *hi;

	if (cut_off == nd->cut_off) {
		eb_nodes_changed(nd, id, now_us);
		return;
	}
	nd->cut_off = (uint8_t)cut_off;
	for (hi = apr_hash_first(NULL, nd->services); hi;
	     hi = apr_hash_next(hi)) {
		update_route(nd, apr_hash_this_val(hi), now_us);
	}
}

/* Tells whether this daemon seems to be cut off from all of its peers. */
int eb_nodes_cut_off(const struct eb_nodes *nd)
{
	return nd->cut_off;
}

/*
 * Resets what the router has learned of a node. To be called when the node's
 * daemon or upstream has restarted.
 */
void eb_nodes_restarted(struct eb_nodes *nd, uint32_t id, int64_t now_us)
{
	struct eb_service_state *sv = service_of(nd, eb_nodes_get(nd, id));

	if (sv)
		eb_route_restarted(sv->route, id, now_us);
}

/*
 * Applies one entry of the platform's list of VMs, which lags behind. `address`
 * is that of the daemon; a VM that is `leaving` gets no new requests.
 */
void eb_nodes_update_vm(struct eb_nodes *nd, const char *address, int leaving,
			int64_t now_us)
{
	uint32_t id = lookup(nd->by_address, address);
	struct eb_node *n = eb_nodes_get(nd, id);

	if (!n || n->leaving == (leaving != 0))
		return;
	n->leaving = leaving != 0;
	eb_nodes_changed(nd, id, now_us);
}

/*
 * Returns the set of regions in which requests may run; 0: in any. A region
 * without a bit is in no set, so that requests whose regions are all unknown
 * have a set in which no upstream is. Only the regions of upstreams get bits:
 * those that routes name do not use up the 63 that there are.
 */
uint64_t eb_nodes_allowed_regions(const struct eb_nodes *nd,
				  const struct eb_home *hm)
{
	uint64_t set = 0;
	uint32_t i;

	if (eb_test_off("placement"))
		return 0;
	if (!hm->restricted || eb_test_off("origin-regions"))
		return 0;
	for (i = 0; i < hm->regions->count; i++)
		set |= eb_regions_find(nd->regions, hm->regions->items[i]);
	return set ? set : NO_REGION;
}

/* Writes the names of a set of regions for a log line. */
void eb_nodes_print_regions(const struct eb_nodes *nd, uint64_t regions,
			    char *out, size_t bytes)
{
	eb_regions_print(nd->regions, regions, out, bytes);
}

/* Returns the rule of a service, or the default rule when it has none. */
const struct eb_rule *eb_nodes_rule(const struct eb_nodes *nd,
				    const struct eb_service_state *sv)
{
	return eb_config_rule(nd->config, sv->index);
}
