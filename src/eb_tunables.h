#ifndef EB_TUNABLES_H
#define EB_TUNABLES_H

/* Bodies up to this size are part of the HEAD frame and can be sent again. */
#define EB_INLINE_BODY_BYTES 16384
/* Largest payload of one DATA or RDATA frame. */
#define EB_CHUNK_BYTES 65536
/* Bytes of a body in flight for each call and direction. */
#define EB_CREDIT_WINDOW_BYTES 262144
/*
 * Bytes of a streamed answer that are granted at once: what curl passes on at
 * once at most (CURL_MAX_WRITE_SIZE), so that one grant always allows progress.
 */
#define EB_OUTFLOW_GRANT_BYTES 16384
/* Streamed answers fill the link to other daemons for at most this long. */
#define EB_OUTFLOW_QUEUE_MS 10
/*
 * Least window of a streamed answer: origins of earlier versions confirm bytes
 * in batches of 64 KB, and one grant more must fit on each side of a batch.
 */
#define EB_OUTFLOW_WINDOW_MIN_BYTES 98304
/* Grants in the queue of a link; a link of 1 Gbit/s has 77. */
#define EB_OUTFLOW_ENTRIES_MAX 512
/* Answers get this part of the memory, as a VM also holds its upstream. */
#define EB_ANSWERS_MEMORY_SHARE 8
/* Kinds of request whose answers' size an origin knows. */
#define EB_SIZES_KINDS 256
/*
 * Answers above this size are large: their transfer counts in routing. Smaller
 * ones are sent in one frame.
 */
#define EB_ANSWER_LARGE_BYTES EB_INLINE_BODY_BYTES
/* A request for a large answer waits where it is with this much time left. */
#define EB_ANSWER_WAIT_MS 500
/*
 * Calls of at least this age are listed in heartbeats. Longer than most calls
 * take, and longer than a frame takes to arrive.
 */
#define EB_CALL_OVERDUE_MS 2000
/*
 * Answers of one frame that a gate keeps after it has sent them, in case the
 * connection to the origin is lost.
 */
#define EB_KEPT_ANSWERS_MAX 256
#define EB_KEPT_ANSWERS_BYTES 524288
#define EB_KEPT_ANSWERS_MS 5000
/* Largest message that is accepted from a peer. */
#define EB_MESSAGE_MAX_BYTES 262144
/* Largest sum of the header names and values of a request or answer. */
#define EB_HEADERS_MAX_BYTES 16384
#define EB_HEADERS_MAX_COUNT 100
/* All header lines of one answer, those of the 1xx answers before it too. */
#define EB_ANSWER_HEADS_MAX_BYTES 65536
#define EB_TARGET_MAX_BYTES 8192
#define EB_IDEMPOTENCY_KEY_MAX_BYTES 200
/* Space for a name in a release note, with the terminating NUL. */
#define EB_NAME_SPACE_BYTES 64

/* Matches whose longest caller deadline is stored. */
#define EB_MATCH_DEADLINES_MAX 4096

/* Concurrent calls of a daemon, as origin and as gate together. */
#define EB_CALLS_MAX 4096
/*
 * Credit limits a call to eight data frames in a ring, and a call has a few
 * control frames, so a ring of this size is never full.
 */
#define EB_RING_SLOTS 65536
#define EB_FRONT_CONNECTIONS_MAX 2048
/* Concurrent requests of one connection. */
#define EB_PIPELINE_MAX 8
/* A caller's connection without progress is closed after this long. */
#define EB_FRONT_IDLE_TIMEOUT_S 75

#define EB_HOPS_DEFAULT 24
#define EB_DEADLINE_DEFAULT_MS 30000
/* Attempts of one call, the first one included. */
#define EB_ATTEMPTS_MAX 4

#define EB_CORE_TICK_MS 10
/* Frames read from one ring or socket before the next one is served. */
#define EB_BATCH_FRAMES 64
/* A call whose body makes no progress for this long is ended. */
#define EB_PROGRESS_TIMEOUT_MS 60000
#define EB_UPSTREAM_CONNECT_TIMEOUT_MS 2000

#define EB_PEER_HEARTBEAT_MS 1000
/* To an idle peer: in a large fleet most of a daemon's messages are these. */
#define EB_PEER_HEARTBEAT_IDLE_MS 2000
/*
 * To an idle peer in another region, as traffic between regions is billed.
 * Shorter than EB_PEER_LOST_MS, after which a gate ends the calls of an
 * origin.
 */
#define EB_PEER_HEARTBEAT_FAR_MS 3000
/* A peer is idle when nothing but heartbeats was sent to it for this long. */
#define EB_PEER_BUSY_MS 3000
/* Between heartbeats to a peer that has not answered the first one. */
#define EB_PEER_DIAL_HEARTBEAT_MS 50
/* Without an answer, a peer is dialled again after this long. */
#define EB_PEER_REDIAL_MS 700
#define EB_PEER_RECONNECT_MS 20
#define EB_PEER_RECONNECT_MAX_MS 500
/*
 * A peer that has not answered a heartbeat for this long gets no new requests
 * while another upstream can take them: ten round trips between regions, and
 * the 0.1 s for which a VM may get no processor time.
 */
#define EB_PEER_SUSPECT_MS 250
/*
 * A gate from which nothing was received since a call was sent this long ago
 * gets a heartbeat. Most calls take less.
 */
#define EB_PEER_CHECK_MS 200
/*
 * The same for a gate that has sent something since the call was sent, but
 * nothing for this long. With the times below and a round trip of 40 ms, five
 * of which a new connection takes, a connection that goes silent is replaced
 * within a second.
 */
#define EB_PEER_CHECK_AGAIN_MS 400
/*
 * The first connection to a peer has this long to answer after the peer has
 * answered on the second one.
 */
#define EB_PEER_REPLACE_WAIT_MS 50
/* A second connection without an answer is replaced by a newer one. */
#define EB_PEER_SECOND_REDIAL_MS 1000
/* A gap between two turns above this is a pause; an idle wait is shorter. */
#define EB_PEER_STALL_MS 150
/* A peer that has not answered a heartbeat for this long is lost. */
#define EB_PEER_LOST_MS 4000
/* A gate forgets an origin without calls after this long without a frame. */
#define EB_ORIGIN_IDLE_MS 60000
/* The socket to a daemon that has left stays open this long for answers. */
#define EB_PEER_LINGER_MS 60000
#define EB_PEERS_MAX 1024
#define EB_PEER_HIGH_WATER_MESSAGES 8192

/* Up to this many upstreams, all are dialled before the first request. */
#define EB_EARLY_DIAL_UPSTREAMS_MAX 64
/* Daemons of one service that a daemon dials: see eb_subset. */
#define EB_SERVICE_PEERS_MAX 32
/* A request waits this long for a connection to a daemon of its service. */
#define EB_UPSTREAM_WAIT_MS 2000
/* Upstreams that one call may be sent to. */
#define EB_TRIED_MAX 8
/* Origins that a gate tracks. */
#define EB_ORIGINS_MAX 8192

/*
 * An upstream that names a lower limit still gets this rate, in thousandths of
 * a request per second: only its answers show when the limit has changed.
 */
#define EB_RATE_MIN_MILLI 500
/* Requests per second; a higher limit is none. */
#define EB_RATE_MAX 1000000

/* Longest time that an upstream may say that it stays cold. */
#define EB_COLD_MAX_MS 120000

/* Evacuations that are read; another writer could add any number of them. */
#define EB_EVACUATIONS_MAX 1024
/* Changes of evacuations that /status lists. */
#define EB_EVACUATION_CHANGES_MAX 16

/* A measured pace of a VM is valid for this long. */
#define EB_PACE_FRESH_US 25000
/* A call waits this long for a load probe that measures the pace. */
#define EB_PACE_WAIT_US 6000

/*
 * A daemon that starts holds requests until it may serve its configuration:
 * this many of them, for this long. A VM with a tenth of a core needs 0.3 s.
 */
#define EB_EARLY_CALLS_MAX 256
#define EB_EARLY_WAIT_MS 500
/* Retry-After of those that cannot wait longer. */
#define EB_EARLY_RETRY_MS 250

/* A starting daemon waits this long for a first answer of any peer. */
#define EB_START_WAIT_MS 1500

#define EB_PLATFORM_WAIT_MS 10000
#define EB_PLATFORM_RETRY_MS 500
/* The list of VMs is polled, as the platform offers no watch for it. */
#define EB_PLATFORM_VMS_POLL_MS 1000

/* Items of the source, and removed items whose removal is kept. */
#define EB_FEED_ITEMS_MAX 65536
#define EB_FEED_REMOVED_MAX 4096
/* Revisions before full reads from which a copy can list the changes. */
#define EB_FEED_PAST_MAX 8
#define EB_FEED_KEY_MAX_BYTES 200
/* A packed change, and the part of it that fits one message. */
#define EB_FEED_PACKED_MAX_BYTES 8388608
#define EB_FEED_PART_BYTES 190000
#define EB_FEED_UNPACKED_MAX_BYTES 33554432
/*
 * Items that are missing after an outage of the source are kept this long, as
 * they may reappear: the platform states about two seconds.
 */
#define EB_FEED_HOLD_MS 2500

/* For how long an entry that is not renewed is listed, if no setting says. */
#define EB_ENTRY_LAPSE_DEFAULT_MS 4500
/* Added to that time for leases that start anew, and for late reads. */
#define EB_FEED_OVERRULE_MARGIN_MS 3000
/*
 * How long an evacuation stays that the source has lost: an operator or a tool
 * has time to write it again, and one that nobody wants ends.
 */
#define EB_FEED_LOST_KEEP_MS 120000

/* Daemons of the whole fleet that normally read the source. */
#define EB_FEED_SYNC_READERS 2
/* A starting daemon reads on its own for this long: it knows no others yet. */
#define EB_FEED_SYNC_START_MS 3000
/*
 * A daemon that has started asks the source itself when no other daemon has
 * confirmed its copy within this time.
 */
#define EB_FEED_SYNC_CONFIRM_MS 600
/* A reader without a message for this long counts as unresponsive. */
#define EB_FEED_SYNC_UNRESPONSIVE_MS 1300
/* Largest age of a reader's last read: a watch, its timeout, a heartbeat. */
#define EB_FEED_SYNC_FRESH_MS 4000
/*
 * When readers are missing, each daemon starts to read this much later than the
 * one before it in the order.
 */
#define EB_FEED_SYNC_STEP_MS 150
/* Daemons after the readers that ask those before them whether they answer. */
#define EB_FEED_SYNC_ASKERS_MAX 32
/* Least time between requests to members, and between updates to one. */
#define EB_FEED_SYNC_RESEND_MS 200
/*
 * Daemons that send the feed to one that is behind. After the delay, any
 * daemon does.
 */
#define EB_FEED_SYNC_SENDERS 3
#define EB_FEED_SYNC_BEHIND_MS 1500
/*
 * A daemon that is behind waits this long for a change that is on its way
 * before it requests it.
 */
#define EB_FEED_SYNC_PATIENCE_MS 600
/*
 * A change of up to this many bytes for all daemons together is sent to each
 * of them directly; a larger one is relayed.
 */
#define EB_FEED_SYNC_DIRECT_BYTES 65536
/* Items of up to this size are sent at any time: they need little of a link. */
#define EB_FEED_SYNC_SMALL_BYTES 16384
/* A reader relays a change this much later than the reader before it. */
#define EB_FEED_SYNC_BACKUP_MS 300
/* Parts of changes that a daemon passes on at the same time. */
#define EB_FEED_RELAYS_MAX 32
/* A packed change is kept this long for daemons that request its parts. */
#define EB_FEED_SYNC_PACKED_MS 5000
/* On the first start the readers stop reading cheaply this much earlier. */
#define EB_FEED_SYNC_HANDOVER_MS 300
/* Least time between two replacements of a copy that differs from others. */
#define EB_FEED_SYNC_REFUTE_MS 5000
/*
 * A daemon that stays behind the others for this long without progress reads
 * the source itself.
 */
#define EB_FEED_SYNC_STUCK_MS 5000
/* Large changes use this share of a link. */
#define EB_FEED_RELAY_SHARE_PERMILLE 500
/* A link of 1 Mbit/s; and a link whose bandwidth is not known, in Mbit/s. */
#define EB_LINK_BYTES_PER_MS 125
#define EB_LINK_DEFAULT_MBPS 12
#define EB_FEED_RELAY_BYTES_PER_MS                     \
	(EB_LINK_DEFAULT_MBPS * EB_LINK_BYTES_PER_MS * \
	 EB_FEED_RELAY_SHARE_PERMILLE / 1000)
/* Reads that fail for this long count as an outage of the source. */
#define EB_FEED_SYNC_OUTAGE_MS 1000

#define EB_SPANS_MAX 8192
#define EB_LOG_LINES_PER_S 200

#endif
