#ifndef EB_MEMBER_H
#define EB_MEMBER_H

#include <stddef.h>
#include <stdint.h>

#include "eb_gossip.h"
#include "eb_rand.h"
#include "eb_roster.h"

/* Probe periods of links inside the own group and to other groups. */
#define EB_MEMBER_PROBE_PERIOD_US 1000000
#define EB_MEMBER_CROSS_PERIOD_US 2000000
/* Without an answer in this time, helpers are asked to probe. */
#define EB_MEMBER_DIRECT_TIMEOUT_US 300000
#define EB_MEMBER_INDIRECT_TIMEOUT_US 400000
#define EB_MEMBER_HELPERS 3
/*
 * Time to refute a suspicion, with one accuser and with EB_MEMBER_ACCUSERS_MAX.
 * An accuser is a daemon that suspects the member on its own evidence.
 */
#define EB_MEMBER_SUSPECT_MAX_US 4000000
#define EB_MEMBER_SUSPECT_MIN_US 1500000
#define EB_MEMBER_ACCUSERS_MAX 3
/* A longer gap between two ticks counts as a pause of this process. */
#define EB_MEMBER_STALL_US 1000000
/* After a pause this daemon suspects and declares down nobody for this time. */
#define EB_MEMBER_GRACE_US 2000000
/* A daemon without an answer for this long may itself be cut off. */
#define EB_MEMBER_ISOLATED_US 2500000
/* A group from which nothing arrived for this long is unreachable. */
#define EB_MEMBER_GROUP_TIMEOUT_US 10000000
/* Members believed down are probed to detect the end of a partition. */
#define EB_MEMBER_DOWN_PROBE_PERIOD_US 5000000
#define EB_MEMBER_SYNC_PERIOD_US 5000000
/*
 * A process that joined longer ago than this is superseded by another process
 * with its address; a younger one supersedes that process instead.
 */
#define EB_MEMBER_SUPERSEDED_AFTER_US 60000000
/* Consecutive answers with another digest before records are exchanged. */
#define EB_MEMBER_MISMATCHES 4
#define EB_MEMBER_HEALTH_MAX 4
/* A record is sent twice over each of the eight links of a daemon. */
#define EB_MEMBER_SENDS_MAX 16
#define EB_MEMBER_PIGGYBACK_MAX 32
#define EB_MEMBER_SYNC_MAX 1024
#define EB_MEMBER_ENTRIES_MAX 8192
#define EB_MEMBER_ALIVE_ENTRIES_MAX 1024
#define EB_MEMBER_PROBES_MAX 32
#define EB_MEMBER_CROSS_LINKS 3
#define EB_MEMBER_LINKS_MAX 96

enum eb_member_state {
	EB_MEMBER_ALIVE = 0,
	EB_MEMBER_SUSPECT,
	EB_MEMBER_DOWN,
	EB_MEMBER_LEFT,
};

/* Mechanisms that a test disables to show that its checks detect it. */
enum eb_member_test_off {
	EB_MEMBER_OFF_INDIRECT = 1,
	EB_MEMBER_OFF_REFUTE = 2,
	EB_MEMBER_OFF_SUSPICION = 4,
	EB_MEMBER_OFF_STALL = 8,
	EB_MEMBER_OFF_ISOLATED = 16,
	EB_MEMBER_OFF_SYNC = 32,
	EB_MEMBER_OFF_DOWN_PROBE = 64,
};

/*
 * The state of one incarnation of a daemon. `gen` grows with each process at
 * an address and `ref` with each suspicion that the process refutes.
 */
struct eb_member_record {
	uint64_t id;
	uint64_t boot; /* random number of the process; 0: unknown */
	uint32_t gen;
	uint32_t ref;
	uint32_t by; /* low 32 bits of the id of an accuser */
	uint8_t state;
};

struct eb_member_entry {
	struct eb_member_record rec;
	uint32_t index;			     /* into the roster */
	uint32_t by[EB_MEMBER_ACCUSERS_MAX]; /* distinct accusers */
	int64_t since_us; /* time of the last change of the record */
	uint8_t by_count;
	uint8_t sends_left;
	uint8_t other_groups; /* also sent to other groups */
};

struct eb_member_probe {
	uint32_t seq;
	uint32_t target;
	uint32_t asker; /* member this probe is made for, or EB_NONE */
	uint32_t asker_seq;
	int64_t sent_us;
	int64_t deadline_us;
	uint8_t active;
	uint8_t helpers_asked; /* helpers have been asked */
	uint8_t nacks;
};

struct eb_member_link {
	uint32_t member;
	uint32_t group;
	int64_t due_us;
	uint8_t cross; /* to another group */
	uint8_t failed;
	uint8_t mismatches;
};

struct eb_member_stats {
	uint64_t sent;
	uint64_t received;
	uint64_t rejected; /* malformed messages */
	uint64_t unknown;  /* from or about daemons not in the roster */
	uint64_t full;	   /* records, probes, links dropped at a limit */
	uint64_t probes_failed;
	uint64_t suspected;
	uint64_t refuted;
	uint64_t downs;
	uint64_t stalls;
	uint64_t syncs;
};

struct eb_member {
	struct eb_sink *sink;
	struct eb_roster *roster;
	struct eb_rand rand;
	struct eb_member_record self_rec;
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES];
	uint32_t self; /* index into the roster, or EB_NONE */
	uint32_t test_off;
	struct eb_member_entry *entries; /* sorted by id */
	uint32_t count;
	uint32_t capacity;
	uint32_t alive_count;
	uint32_t pending;  /* entries with sends left */
	uint32_t suspects; /* entries in state SUSPECT */
	uint32_t cursor;   /* next entry to piggyback */
	uint32_t sync_cursor;
	uint64_t down_digest; /* over the records of members down or left */
	struct eb_member_probe probes[EB_MEMBER_PROBES_MAX];
	struct eb_member_link links[EB_MEMBER_LINKS_MAX];
	uint32_t link_count;
	uint32_t seq;

	uint32_t epoch;	   /* grows with each change of any state */
	int64_t *heard_us; /* last message from each group */
	int64_t last_tick_us;
	int64_t last_answer_us;
	int64_t joined_us; /* 0: no answer yet */
	int64_t grace_us;
	int64_t refresh_us;
	int64_t down_probe_us;
	int64_t sync_us;
	uint8_t health; /* 0: good; a higher value raises timeouts */
	uint8_t self_sends;
	uint8_t left;
	uint8_t superseded;
	uint8_t links_stale;
	struct eb_member_stats stats;
};

struct eb_member *eb_member_new(const char *address, uint64_t boot,
				uint64_t seed, struct eb_sink *sink,
				uint32_t test_off);
void eb_member_free(struct eb_member *mb);
enum eb_status eb_member_set_roster(struct eb_member *mb, struct eb_roster *ro,
				    int64_t now_us);
void eb_member_tick(struct eb_member *mb, int64_t now_us);
enum eb_status eb_member_recv(struct eb_member *mb, const void *data, size_t n,
			      int64_t now_us);
void eb_member_contact(struct eb_member *mb, uint32_t index, uint64_t boot,
		       int64_t now_us);
void eb_member_check(struct eb_member *mb, uint32_t index, int64_t now_us);
void eb_member_leave(struct eb_member *mb, int64_t now_us);
enum eb_member_state eb_member_get_state(const struct eb_member *mb,
					 uint32_t index);
uint64_t eb_member_get_boot(const struct eb_member *mb, uint32_t index);
int eb_member_group_up(const struct eb_member *mb, uint32_t group,
		       int64_t now_us);
int eb_member_up(const struct eb_member *mb, uint32_t index, int64_t now_us);
uint32_t eb_member_neighbours(const struct eb_member *mb, uint32_t *out);
uint32_t eb_member_link_target(const struct eb_member *mb, const uint32_t *mine,
			       const uint32_t *theirs, uint32_t ranks,
			       uint32_t *rank);
size_t eb_member_bytes(const struct eb_member *mb);

#endif
