#ifndef EB_TUNABLES_H
#define EB_TUNABLES_H

/* Bodies up to this size travel inside HEAD and can be sent again. */
#define EB_INLINE_BODY_BYTES 16384
/* Largest payload of one DATA or RDATA frame. */
#define EB_CHUNK_BYTES 65536
/* Bytes of a body in flight for each call and direction. */
#define EB_CREDIT_WINDOW_BYTES 262144
/*
 * A call that has lasted this long is listed in heartbeats. Longer than most
 * calls, and than a frame is on its way.
 */
#define EB_CALL_OVERDUE_MS 2000
/* Largest message that is accepted from a peer. */
#define EB_MESSAGE_MAX_BYTES 262144
/* Largest sum of the header names and values of a request or answer. */
#define EB_HEADERS_MAX_BYTES 16384
#define EB_HEADERS_MAX_COUNT 100
#define EB_TARGET_MAX_BYTES 8192
#define EB_IDEMPOTENCY_KEY_MAX_BYTES 200
/* Names in release notes, with the closing NUL. */
#define EB_NAME_SPACE_BYTES 64

/* Matches whose callers' deadlines are remembered. */
#define EB_MATCHES_KNOWN_MAX 4096

/* Calls a daemon holds at once, as origin and as gate together. */
#define EB_CALLS_MAX 4096
/*
 * Credit lets a call have at most eight data frames in a ring, and a call has
 * a few control frames, so a ring of this size never turns a frame away.
 */
#define EB_RING_SLOTS 65536
#define EB_FRONT_CONNECTIONS_MAX 2048
/* Requests of one connection that are in work at the same time. */
#define EB_PIPELINE_MAX 8
/* Closes a caller's connection that makes no progress. */
#define EB_FRONT_IDLE_TIMEOUT_S 75

#define EB_HOPS_DEFAULT 24
#define EB_DEADLINE_DEFAULT_MS 30000
/* Attempts of one call, the first one included. */
#define EB_ATTEMPTS_MAX 4

#define EB_CORE_TICK_MS 10
/* Frames taken from a ring or socket before the others get their turn. */
#define EB_BATCH_FRAMES 64
/* A call without progress of its body for this long is ended. */
#define EB_PROGRESS_TIMEOUT_MS 60000
#define EB_UPSTREAM_CONNECT_TIMEOUT_MS 2000

#define EB_PEER_HEARTBEAT_MS 1000
/*
 * To an idle peer in another region: bytes between regions are billed. Shorter
 * than the silence after which a gate gives up the calls of an origin.
 */
#define EB_PEER_HEARTBEAT_FAR_MS 3000
/* A peer counts as idle when nothing else was sent for this long. */
#define EB_PEER_BUSY_MS 3000
/* Pause between heartbeats to a peer that has not answered yet. */
#define EB_PEER_DIAL_HELLO_MS 50
/* A dial without an answer is made anew after this long. */
#define EB_PEER_REDIAL_MS 700
#define EB_PEER_RECONNECT_MS 20
#define EB_PEER_RECONNECT_MAX_MS 500
/*
 * A peer that owes the answer to a heartbeat for this long gets no new work
 * while others can have it: ten round trips between regions, and the tenth of
 * a second for which a machine may get no processor time.
 */
#define EB_PEER_SUSPECT_MS 250
/* A call without any word from its gate is asked about: most take less. */
#define EB_PEER_ASK_MS 200
/* A pause of this process that is longer than its idle wait. */
#define EB_PEER_STALL_MS 150
/* A peer that owes the answer to a heartbeat for this long is silent. */
#define EB_PEER_SILENT_MS 4000
/* Idle time after which the socket to a peer is closed. */
#define EB_PEER_IDLE_MS 60000
/* The socket to a daemon that has left stays open for its last answers. */
#define EB_PEER_GONE_MS 60000
#define EB_PEERS_MAX 1024
#define EB_PEER_HIGH_WATER_MESSAGES 8192

/* Daemons are dialled before the first request up to this many upstreams. */
#define EB_WARM_UPSTREAMS_MAX 64
/* Daemons of one service that a daemon dials; the nearest ones first. */
#define EB_SERVICE_PEERS_MAX 32
/* A request waits this long for the first daemon of its service. */
#define EB_PARK_MS 2000
/* Upstreams that one call may be offered to. */
#define EB_TRIED_MAX 8
/* Origins that a gate tracks. */
#define EB_ORIGINS_MAX 8192

/* What is known of the pace of a machine is good for this long. */
#define EB_PACE_FRESH_US 25000
/* A call waits this long for a probe of the pace. */
#define EB_PACE_WAIT_US 6000

/* A starting daemon waits this long for the first answer of a peer. */
#define EB_START_WAIT_MS 1500

#define EB_PLATFORM_WAIT_MS 10000
#define EB_PLATFORM_RETRY_MS 500
/* The list of VMs is polled; it has no watch. */
#define EB_PLATFORM_VMS_POLL_MS 1000

/* Items of the source, and how many removed ones are remembered. */
#define EB_FEED_ITEMS_MAX 65536
#define EB_FEED_REMOVED_MAX 4096
#define EB_FEED_KEY_MAX_BYTES 200
/* A packed change fits one message between daemons. */
#define EB_FEED_PACKED_MAX_BYTES 200000
#define EB_FEED_PLAIN_MAX_BYTES 33554432
/*
 * Items that went while the source was away may be back this long after its
 * return: the platform says about two seconds.
 */
#define EB_FEED_HOLD_MS 2500

/* Daemons of the whole fleet that read the source in the normal case. */
#define EB_SPREAD_READERS 2
/* A starting daemon reads by itself for this long: it knows no others yet. */
#define EB_SPREAD_START_MS 3000
/* A daemon that was not heard of for this long counts as silent. */
#define EB_SPREAD_HEARD_MS 1300
/* A reader's last read may be this old: a watch, its timeout, a heartbeat. */
#define EB_SPREAD_FRESH_MS 4000
/* Each place further back in the order waits this much longer. */
#define EB_SPREAD_STEP_MS 150
#define EB_SPREAD_STEPS_MAX 20
/* Nobody is asked, and nobody told again, within this time. */
#define EB_SPREAD_ASK_MS 200
/* Daemons that tell one that knows nobody; others follow after a time. */
#define EB_SPREAD_TELLERS 3
#define EB_SPREAD_BEHIND_MS 1500
/* Failures of reads for this long count as an outage of the source. */
#define EB_SPREAD_OUTAGE_MS 1000

#define EB_SPANS_MAX 8192
#define EB_LOG_LINES_PER_S 200

#endif
