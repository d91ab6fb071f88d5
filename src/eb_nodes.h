#ifndef EB_NODES_H
#define EB_NODES_H

#include <stdint.h>

#include "eb_config.h"
#include "eb_hedge.h"
#include "eb_home.h"
#include "eb_limit.h"
#include "eb_mesh.h"
#include "eb_retry.h"
#include "eb_urgency.h"
#include "eb_route.h"
#include "eb_settings.h"
#include "eb_tunables.h"

/*
 * Registry of the known upstreams, the sockets to the daemons beside them, and
 * the router of each service in use. Used by the core thread only.
 */
struct eb_nodes;

/* An upstream and the daemon beside it. Its number never changes. */
struct eb_node {
	char *name;
	struct eb_upstream *info; /* of the configuration in force */
	struct eb_peer *peer;	  /* NULL: no socket */
	uint32_t service;	  /* index in the configuration */
	uint8_t present;	  /* in the configuration */
	uint8_t present_before;	  /* in the previous configuration */
	uint8_t replaced;	  /* its instance has changed */
	uint8_t self;		  /* beside this daemon */
	uint8_t leaving;	  /* in the platform's list of VMs */
	uint8_t draining;	  /* according to its daemon */
	uint8_t says_leaving;	  /* in an answer of this start */
	uint8_t distance;	  /* enum eb_distance */
	uint8_t evacuated;	  /* its failure domain is */
	uint8_t cold;		  /* it is, and its service has a cold rate */
	uint32_t cold_ms;	  /* last cold time of its entry */
	int64_t cold_until_us;	  /* according to its entry */
	uint64_t region;	  /* bit of its region, see eb_regions */
	uint32_t link_mbps;	  /* of its VM, in heartbeats; 0: unknown */
	/*
	 * The incoming connection that the daemon last sent claims over, and
	 * when. Claims can be sent over it without a socket to the daemon.
	 */
	struct eb_routing_id back;
	int64_t back_received_us;
	int64_t removed_us; /* when it was removed from the configuration */
	char instance[EB_NAME_SPACE_BYTES]; /* id of its start, or "" */
	uint64_t start_ms;		    /* when it started, Unix time */
	uint32_t marks_generation; /* of the marks last sent to its daemon */
};

/* The state that an origin keeps for a service. */
struct eb_service_state {
	char *name;
	struct eb_route *route;
	struct eb_retry retry;
	struct eb_urgency urgency; /* of the requests from here */
	struct eb_limit *limit;	   /* of each caller */
	struct eb_hedge *hedge;	   /* NULL: no copies of slow requests */
	uint32_t index;	    /* in the configuration in force, or EB_NONE */
	int64_t dialled_us; /* 0: not in use yet */
};

struct eb_nodes *eb_nodes_new(const struct eb_settings *se, struct eb_mesh *ms,
			      uint64_t seed);
void eb_nodes_free(struct eb_nodes *nd);
enum eb_status eb_nodes_configure(struct eb_nodes *nd, struct eb_config *cf,
				  int64_t now_us);
const struct eb_config *eb_nodes_config(const struct eb_nodes *nd);
struct eb_node *eb_nodes_get(const struct eb_nodes *nd, uint32_t id);
uint32_t eb_nodes_find(const struct eb_nodes *nd, const char *name);
uint32_t eb_nodes_count(const struct eb_nodes *nd);
struct eb_service_state *eb_nodes_service(struct eb_nodes *nd, uint32_t index,
					  int64_t now_us);
struct eb_service_state *eb_nodes_service_of(const struct eb_nodes *nd,
					     uint32_t id);
struct eb_peer *eb_nodes_peer(struct eb_nodes *nd, uint32_t id, int64_t now_us);
int eb_nodes_has_evacuated(const struct eb_nodes *nd,
			   const struct eb_service_state *sv);
int eb_nodes_first_answer_pending(const struct eb_nodes *nd,
				  const struct eb_service_state *sv,
				  uint64_t regions);
void eb_nodes_tick(struct eb_nodes *nd, int64_t now_us);
void eb_nodes_fast_heartbeat(struct eb_nodes *nd, uint32_t id, int64_t now_us);
void eb_nodes_changed(struct eb_nodes *nd, uint32_t id, int64_t now_us);
void eb_nodes_suspicion_changed(struct eb_nodes *nd, uint32_t id,
				int64_t now_us);
int eb_nodes_cut_off(const struct eb_nodes *nd);
void eb_nodes_restarted(struct eb_nodes *nd, uint32_t id, int64_t now_us);
void eb_nodes_update_vm(struct eb_nodes *nd, const char *address, int leaving,
			int64_t now_us);
uint64_t eb_nodes_allowed_regions(const struct eb_nodes *nd,
				  const struct eb_home *hm);
uint32_t eb_nodes_generation(const struct eb_nodes *nd);
void eb_nodes_print_regions(const struct eb_nodes *nd, uint64_t regions,
			    char *out, size_t bytes);
const struct eb_rule *eb_nodes_rule(const struct eb_nodes *nd,
				    const struct eb_service_state *sv);

#endif
