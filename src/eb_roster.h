#ifndef EB_ROSTER_H
#define EB_ROSTER_H

#include <stddef.h>
#include <stdint.h>

#include "eb_config.h"
#include "eb_status.h"

/* Rings of neighbours; in each ring one member probes a daemon. */
#define EB_ROSTER_RINGS 4
#define EB_ROSTER_NEIGHBOURS (2 * EB_ROSTER_RINGS)
/* Candidates kept for the links between two groups or two regions. */
#define EB_ROSTER_CANDIDATES 8
/* A smaller group has too few members to confirm the failure of one. */
#define EB_ROSTER_GROUP_MIN 4
#define EB_ROSTER_GROUPS_MAX 256

struct eb_roster_member {
	uint64_t id;
	char *address;
	uint32_t upstream; /* index into the configuration */
	uint16_t region;
	uint16_t domain;
	uint16_t group;
};

/* Indexes of members in some order; `order` belongs to the roster. */
struct eb_roster_set {
	uint32_t *order;
	uint32_t count;
};

/*
 * The daemons that a configuration names, sorted by id. Immutable and
 * reference counted. A group is a set of daemons that probe each other: a
 * failure domain; if it has fewer than EB_ROSTER_GROUP_MIN members, the small
 * domains of its region; if those regions are small, of the whole fleet.
 */
struct eb_roster {
	int32_t refs;
	uint64_t digest; /* of ids, failure domains and regions */
	struct eb_roster_member *members;
	uint32_t count;
	uint32_t region_count;
	uint32_t domain_count;
	uint32_t group_count;
	struct eb_roster_set *domains; /* by rank as a source reader */
	struct eb_roster_set *regions;
	struct eb_roster_set *groups;
	/* rings[r]: for each group in turn, its members in the ring's order */
	struct eb_roster_set *rings[EB_ROSTER_RINGS];
	uint32_t *ring_pos[EB_ROSTER_RINGS]; /* of each member */
	uint32_t *group_links;	/* [from][to][EB_ROSTER_CANDIDATES] */
	uint32_t *region_links; /* as group_links */
	uint16_t *group_region; /* region of a group's first member */
};

/* A daemon as eb_roster_new() takes it. */
struct eb_roster_daemon {
	const char *address;
	const char *region;
	const char *failure_domain;
	uint32_t upstream;
};

struct eb_roster *eb_roster_new(const struct eb_roster_daemon *daemons,
				uint32_t count);
struct eb_roster *eb_roster_from_config(const struct eb_config *cf);
struct eb_roster *eb_roster_ref(struct eb_roster *ro);
void eb_roster_unref(struct eb_roster *ro);
uint64_t eb_roster_id(const char *address);
uint64_t eb_roster_reader_rank(uint64_t id);
uint32_t eb_roster_find(const struct eb_roster *ro, uint64_t id);
uint32_t eb_roster_neighbour(const struct eb_roster *ro, uint32_t ring,
			     uint32_t member, int32_t step);
const uint32_t *eb_roster_group_link(const struct eb_roster *ro, uint32_t from,
				     uint32_t to);
const uint32_t *eb_roster_region_link(const struct eb_roster *ro, uint32_t from,
				      uint32_t to);
size_t eb_roster_bytes(const struct eb_roster *ro);

#endif
