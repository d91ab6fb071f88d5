#ifndef EB_DIST_H
#define EB_DIST_H

#include <stddef.h>
#include <stdint.h>

#include "eb_gossip.h"
#include "eb_member.h"
#include "eb_rand.h"

/* Daemons of a failure domain that watch the platform in normal operation. */
#define EB_DIST_READERS 2
/*
 * Daemons of a failure domain, readers included, that watch the platform when
 * the last read by the daemons before them is older than EB_DIST_STANDBY_US,
 * until it is younger than EB_DIST_STANDBY_STOP_US. Also the size of a window.
 */
#define EB_DIST_STANDBYS 8
#define EB_DIST_STANDBY_US 5000000
#define EB_DIST_STANDBY_STOP_US 3000000
/* Delay and least interval of the digests by which a reader reports a read. */
#define EB_DIST_REPORT_DELAY_US 200000
#define EB_DIST_REPORT_GAP_US 1500000
/*
 * When the newest read known is this old, windows of EB_DIST_STANDBYS daemons
 * take turns over the whole failure domain, each for one step.
 */
#define EB_DIST_WINDOW_US 30000000
#define EB_DIST_WINDOW_STEP_US 10000000
#define EB_DIST_WATCH_WAIT_MS 2000
#define EB_DIST_WATCH_TIMEOUT_US 5000000
#define EB_DIST_RETRY_MIN_US 500000
#define EB_DIST_RETRY_MAX_US 4000000
#define EB_DIST_DIGEST_PERIOD_US 1000000
#define EB_DIST_DIGEST_FANOUT 2
#define EB_DIST_ANNOUNCE_GAP_US 50000
#define EB_DIST_ASK_PERIOD_US 500000
#define EB_DIST_ASK_GROUPS_MIN_US 2000000
#define EB_DIST_ASK_GROUPS_MAX_US 30000000
#define EB_DIST_PULL_TIMEOUT_US 500000
/*
 * Delay before a pull from another region. The readers of the local region may
 * get the note within it, which saves traffic between regions.
 */
#define EB_DIST_REMOTE_PULL_DELAY_US 300000
#define EB_DIST_LINK_RANKS 2
#define EB_DIST_LINKS_MAX 64
/* For this long a starting daemon asks only its peers, not the platform. */
#define EB_DIST_PEERS_FIRST_US 2000000
/*
 * A daemon that has no roster and is no seed first reads the platform after
 * this wait and a random part of the spread, then once per spread.
 */
#define EB_DIST_NO_ROSTER_WAIT_US 15000000
#define EB_DIST_NO_ROSTER_SPREAD_US 60000000
#define EB_DIST_START_MARGIN_US 1000000
#define EB_DIST_SEEDS_MAX 8
#define EB_DIST_NOTE_MAX_BYTES 1048576
#define EB_DIST_TAIL_NOTES_MAX 2048
#define EB_DIST_TAIL_MAX_BYTES 2097152
#define EB_DIST_CHUNK_BYTES 131072
#define EB_DIST_DELTA_NOTES_MAX 512
#define EB_DIST_SNAPSHOT_MAX_BYTES 16777216
#define EB_DIST_SNAPSHOT_IDLE_US 60000000
#define EB_DIST_SNAPSHOT_REQUEST_GAP_US 1000000
#define EB_DIST_SERVE_BYTES_PER_S 4194304
#define EB_DIST_SERVE_BURST_BYTES 4194304

/* Mechanisms that a test disables to show that its checks find the fault. */
enum eb_dist_test_off {
	EB_DIST_OFF_PREFIX = 1,	  /* accept a shorter log */
	EB_DIST_OFF_HOLD = 2,	  /* put in force notes that no peer holds */
	EB_DIST_OFF_READY = 4,	  /* ready after the first answer */
	EB_DIST_OFF_REPAIR = 8,	  /* no periodic digests */
	EB_DIST_OFF_STANDBY = 16, /* only the readers watch */
};

struct eb_dist_note {
	uint64_t index;
	uint64_t digest; /* of the log up to and including this note */
	uint32_t bytes;
	char *text;
};

/* A position in the log. */
struct eb_dist_position {
	uint64_t index;
	uint64_t digest;
};

struct eb_dist_peer {
	uint64_t id;
	uint32_t member;
	uint8_t answered; /* since this process started */
	uint8_t ready;
	struct eb_dist_position held;
};

struct eb_dist_link {
	uint32_t member;
	uint32_t rank;
	uint8_t crossing; /* to another region */
};

/* A daemon that notes can be pulled from. */
struct eb_dist_source {
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES];
	uint64_t index; /* newest note that it holds; 0: no source */
	int64_t due_us;
};

struct eb_dist_fetch {
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES];
	struct eb_dist_position position;
	uint64_t hash;
	uint32_t bytes;
	uint32_t got;
	uint8_t *data; /* NULL: none in progress */
	int64_t deadline_us;
	uint32_t tries;
};

struct eb_dist_stats {
	uint64_t sent;
	uint64_t received;
	uint64_t rejected;
	uint64_t diverged; /* same index but another log */
	uint64_t stale;	   /* shorter answers of the platform */
	uint64_t platform; /* reads of the platform begun */
	uint64_t deltas;   /* sent */
	uint64_t delta_bytes;
	uint64_t pull_timeouts; /* pulls without an answer */
	uint64_t throttled;	/* requests over the serving budget */
	uint64_t applied;
	uint64_t full;
};

struct eb_dist {
	struct eb_sink *sink;
	struct eb_member *member;
	struct eb_rand rand;
	char address[EB_GOSSIP_ADDRESS_MAX_BYTES];
	char seeds[EB_DIST_SEEDS_MAX][EB_GOSSIP_ADDRESS_MAX_BYTES];
	uint64_t id;
	uint32_t seed_count;
	uint32_t test_off;
	uint8_t is_seed;
	uint8_t ready;
	uint8_t watching;
	uint8_t seed_answered;
	uint8_t platform_read; /* since this process started */
	uint8_t report_due;    /* a read is not reported yet */
	uint8_t announce;      /* the log grew since the last announcement */
	struct eb_dist_position base;  /* before the first note kept */
	struct eb_dist_position held;  /* last note of the log */
	struct eb_dist_position force; /* last note in force */
	struct eb_dist_note *notes;    /* ring of `capacity` */
	uint32_t first;
	uint32_t count;
	uint32_t capacity;
	uint64_t tail_bytes;
	char *partial; /* first part of note held.index + 1 */
	uint32_t partial_bytes;
	uint32_t partial_total;
	struct eb_dist_peer peers[EB_ROSTER_NEIGHBOURS];
	uint32_t peer_count;
	struct eb_dist_link links[EB_DIST_LINKS_MAX];
	uint32_t link_count;
	uint32_t group_count;
	uint32_t epoch; /* of the membership at the last refresh */
	uint32_t turn;	/* next peer for a periodic digest */
	uint8_t group_ready[EB_ROSTER_GROUPS_MAX];
	uint64_t max_peer_index;     /* newest index of a peer before ready */
	uint64_t platform_index;     /* newest note that any read returned */
	struct eb_dist_source pull;  /* in progress when due_us is set */
	struct eb_dist_source other; /* next when the pull times out */
	struct eb_dist_source crossing; /* in another region; pulled later */
	struct eb_dist_fetch fetch;
	uint8_t *snapshot;
	uint32_t snapshot_bytes;
	uint64_t snapshot_hash;
	struct eb_dist_position snapshot_position;
	int64_t snapshot_used_us;
	int64_t snapshot_want_us;
	int64_t serve_bytes;
	int64_t serve_us;
	int64_t start_us;
	int64_t fresh_us;	  /* last valid read by this daemon */
	int64_t readers_fresh_us; /* last read by daemons before it */
	int64_t others_fresh_us;  /* last read by any other daemon */
	int64_t report_us;
	int64_t watch_us;
	int64_t retry_us;
	int64_t no_roster_read_us; /* next read while there is no roster */
	int64_t retry_wait_us;
	int64_t digest_us;
	int64_t announce_us;
	int64_t ask_us;
	int64_t ask_groups_us;
	int64_t ask_groups_wait_us;
	int64_t refresh_us;
	struct eb_dist_stats stats;
};

struct eb_dist_settings {
	const char *address;
	const char *const *seeds;
	uint32_t seed_count;
	uint64_t seed;
	uint32_t test_off;
};

/* One note of an answer of the platform; the text is canonical JSON. */
struct eb_dist_text {
	uint64_t index;
	const char *text;
	uint32_t bytes;
};

struct eb_dist *eb_dist_new(const struct eb_dist_settings *st,
			    struct eb_member *member, struct eb_sink *sink,
			    int64_t now_us);
void eb_dist_free(struct eb_dist *ds);
void eb_dist_tick(struct eb_dist *ds, int64_t now_us);
enum eb_status eb_dist_recv(struct eb_dist *ds, const void *data, size_t n,
			    int64_t now_us);
enum eb_status eb_dist_platform(struct eb_dist *ds, uint64_t index,
				const struct eb_dist_text *notes, uint32_t n,
				int64_t now_us);
void eb_dist_platform_failed(struct eb_dist *ds, int64_t now_us);
enum eb_status eb_dist_set_snapshot(struct eb_dist *ds, const void *data,
				    uint32_t bytes, int64_t now_us);
size_t eb_dist_bytes(const struct eb_dist *ds);

#endif
