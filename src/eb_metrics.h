#ifndef EB_METRICS_H
#define EB_METRICS_H

#include <stdint.h>
#include <stdio.h>

/* One line for each counter or gauge: identifier, name with labels, help. */
#define EB_METRIC_TABLE(X)                                                   \
	X(REQUESTS, "requests_total", "Requests read from callers")          \
	X(REJECTED, "requests_rejected_total",                               \
	  "Requests answered with 4xx before routing")                       \
	X(ANSWER_RAN, "answers_total{outcome=\"ran\"}",                      \
	  "Answers to callers by outcome")                                   \
	X(ANSWER_NOT_RUN, "answers_total{outcome=\"not-run\"}",              \
	  "Answers to callers by outcome")                                   \
	X(ANSWER_UNKNOWN, "answers_total{outcome=\"unknown\"}",              \
	  "Answers to callers by outcome")                                   \
	X(ANSWERS_AGAIN, "answers_again_total",                              \
	  "Answers sent to an origin once more, after its connection was "   \
	  "lost or when it asked")                                           \
	X(ANSWER_CUT, "answers_cut_total",                                   \
	  "Connections ended because an answer could not be completed")      \
	X(ANSWER_BYTES_SELF, "answer_bytes_total{distance=\"self\"}",        \
	  "Bytes of answers to callers, by distance of the upstream")        \
	X(ANSWER_BYTES_DOMAIN, "answer_bytes_total{distance=\"domain\"}",    \
	  "Bytes of answers to callers, by distance of the upstream")        \
	X(ANSWER_BYTES_REGION, "answer_bytes_total{distance=\"region\"}",    \
	  "Bytes of answers to callers, by distance of the upstream")        \
	X(ANSWER_BYTES_FAR, "answer_bytes_total{distance=\"far\"}",          \
	  "Bytes of answers to callers, by distance of the upstream")        \
	X(ANSWERS_UNREAD, "answers_abandoned_total{reason=\"unread\"}",      \
	  "Answers given up because of their caller")                        \
	X(ANSWERS_MEMORY, "answers_abandoned_total{reason=\"memory\"}",      \
	  "Answers given up because of their caller")                        \
	X(ANSWERS_HELD, "answers_held_bytes",                                \
	  "Bytes of answers that callers have yet to read")                  \
	X(ANSWERS_IN_FLIGHT, "answers_in_flight_bytes",                      \
	  "Bytes of streamed answers of the upstream that are granted and "  \
	  "not confirmed")                                                   \
	X(CALLER_GONE, "callers_gone_total",                                 \
	  "Callers that hung up before their answer was complete")           \
	X(EARLY_CALLS, "early_calls_total",                                  \
	  "Requests held until this daemon may serve")                       \
	X(CALLERS_LIMITED, "callers_limited_total",                          \
	  "Requests refused because their caller sends more than its share") \
	X(CALLS_ACTIVE, "calls_active", "Calls in the table now")            \
	X(CALLS_REFUSED, "calls_refused_total",                              \
	  "Calls refused because the call table was full")                   \
	X(LOCAL_CALLS, "calls_local_total",                                  \
	  "Calls handed to the upstream beside this daemon")                 \
	X(REMOTE_CALLS, "calls_remote_total", "Calls handed to a peer")      \
	X(GATE_ADMITTED, "gate_admitted_total", "Calls that got a slot")     \
	X(GATE_REFUSED, "gate_refused_total",                                \
	  "Calls this gate refused as not run")                              \
	X(EVACUATED_REFUSED, "evacuated_refused_total",                      \
	  "Calls refused as not run because of an evacuation")               \
	X(EVACUATED_DOMAINS, "evacuated_domains",                            \
	  "Failure domains whose evacuation is in force")                    \
	X(EVACUATIONS_IGNORED, "evacuations_ignored_total",                  \
	  "Entries that name no known failure domain to evacuate")           \
	X(GATE_REFUSED_0, "gate_refused_priority_0_total",                   \
	  "Calls of priority 0 this gate refused")                           \
	X(GATE_REFUSED_1, "gate_refused_priority_1_total",                   \
	  "Calls of priority 1 this gate refused")                           \
	X(GATE_REFUSED_2, "gate_refused_priority_2_total",                   \
	  "Calls of priority 2 and above this gate refused")                 \
	X(GATE_ON_TIME_0, "gate_on_time_priority_0_total",                   \
	  "Calls of priority 0 that ended within their objective")           \
	X(GATE_ON_TIME_1, "gate_on_time_priority_1_total",                   \
	  "Calls of priority 1 that ended within their objective")           \
	X(GATE_ON_TIME_2, "gate_on_time_priority_2_total",                   \
	  "Calls of priority 2 and above that ended within their objective") \
	X(GATE_RATE_LIMITED, "gate_rate_limited_total",                      \
	  "Calls this gate refused for the upstream's rate limit")           \
	X(GATE_REGION_REFUSED, "gate_region_refused_total",                  \
	  "Calls this gate refused because their route excludes its region") \
	X(HOME_REFUSED, "home_regions_refused_total",                        \
	  "Calls refused as no upstream in their route's regions is left")   \
	X(RATE_LIMIT, "upstream_rate_limit_milli",                           \
	  "Requests per 1,000 s that the upstream takes, 0 for no limit")    \
	X(GATE_QUEUED, "gate_queued_total", "Calls that waited for a slot")  \
	X(CRASHES, "upstream_crashes_total",                                 \
	  "Crashes of the upstream that runs met")                           \
	X(MARKS, "marked_requests", "Requests known to crash upstreams")     \
	X(MARKED_CRASHES, "marked_crashes",                                  \
	  "Crashes that the marked requests met, all together")              \
	X(RETRIES, "retries_total", "Further attempts of a call")            \
	X(RETRY_DENIED, "retries_denied_total",                              \
	  "Retries that the budget turned away")                             \
	X(COPY_REQUESTS, "copy_requests_total",                              \
	  "Requests while copies of slow requests are on")                   \
	X(COPIES_SENT, "copies_sent_total",                                  \
	  "Slow requests of which a copy was sent")                          \
	X(COPIES_WON, "copies_won_total",                                    \
	  "Copies that answered first, the first attempt was cancelled")     \
	X(COPIES_CANCELLED, "copies_cancelled_total",                        \
	  "Copies cancelled as the first attempt answered")                  \
	X(COPIES_REFUSED, "copies_refused_total",                            \
	  "Copies refused by their gate")                                    \
	X(COPIES_PERMILLE, "copies_permille",                                \
	  "Copies sent for 1,000 requests since the start")                  \
	X(LATE_FRAMES, "frames_late_total",                                  \
	  "Frames for a call that no longer exists")                         \
	X(BODY_GAPS, "body_gaps_total",                                      \
	  "Calls ended because a part of a body was lost between daemons")   \
	X(FEED_REFUTED, "items_refuted_total",                               \
	  "Copies of the items found to differ from that of a reader")       \
	X(FEED_ERA, "items_era",                                             \
	  "Era of the source: rises when it has lost changes")               \
	X(FEED_KEPT, "items_kept",                                           \
	  "Items that the source has lost or shows an older value of")       \
	X(STALE_FRAMES, "frames_stale_total",                                \
	  "Frames from or for another incarnation")                          \
	X(BAD_FRAMES, "frames_bad_total",                                    \
	  "Messages from peers that could not be decoded")                   \
	X(FRAMES_IN, "frames_in_total", "Frames received from peers")        \
	X(FRAMES_OUT, "frames_out_total", "Frames sent to peers")            \
	X(BYTES_IN, "peer_bytes_in_total", "Bytes received from peers")      \
	X(BYTES_OUT, "peer_bytes_out_total", "Bytes sent to peers")          \
	X(PROBES, "probes_total", "Probes of the upstream's pace")           \
	X(PROBES_COLD, "probes_cold_total",                                  \
	  "Probes sent to find whether the upstream is cold")                \
	X(UPSTREAM_COLD, "upstream_cold",                                    \
	  "1 while the upstream is cold or may be cold, and limited")        \
	X(GATE_REFUSED_COLD, "gate_refused_cold_total",                      \
	  "Calls this gate refused as the upstream is or may be cold")       \
	X(WATCH_BYTES, "watch_bytes_total",                                  \
	  "Bytes spent on watching the load of upstreams")                   \
	X(CONTROL_BYTES, "control_bytes_total",                              \
	  "Bytes spent on heartbeats, membership, releases and claims")      \
	X(ITEM_BYTES, "item_bytes_out_total",                                \
	  "Bytes of the source's items sent to other daemons")               \
	X(PEERS_ACTIVE, "peers_active", "Peers with an open socket")         \
	X(PEERS_SUSPECTED, "peers_suspected_total",                          \
	  "Peers passed over because they owed an answer")                   \
	X(PEERS_LOST, "peers_lost_total",                                    \
	  "Peers found silent or in a new incarnation")                      \
	X(SILENT_REPLACED, "silent_connections_replaced_total",              \
	  "Connections to peers replaced because they were silent")          \
	X(CALLS_RESENT, "calls_resent_total",                                \
	  "Calls sent again that had not arrived at their gate")             \
	X(PEER_SEND_FAILED, "peer_send_failed_total",                        \
	  "Frames that could not be handed to a peer")                       \
	X(PEER_AUTH_FAILED, "peer_auth_failed_total",                        \
	  "Connections of peers refused because of their key")               \
	X(UPSTREAM_CONNECTIONS, "upstream_connections_total",                \
	  "Connections opened to the upstream")                              \
	X(UPSTREAM_STRAY_INPUT, "upstream_stray_input_total",                \
	  "Connections not used again, as input had arrived on them")        \
	X(UPSTREAM_RESENDS_STOPPED, "upstream_resends_stopped_total",        \
	  "Second sends of one request that were prevented")                 \
	X(UPSTREAM_BAD_STATUS, "upstream_bad_status_total",                  \
	  "Answers of the upstream without a valid status line")             \
	X(UPSTREAM_CANCELLED, "upstream_cancelled_total",                    \
	  "Requests cancelled at the upstream")                              \
	X(PLATFORM_CALLS, "platform_calls_total",                            \
	  "Calls to the configuration service and the list of VMs")          \
	X(PLATFORM_READS, "platform_reads_total",                            \
	  "Calls to the platform that read all items")                       \
	X(PLATFORM_STALE_READS, "platform_stale_reads_total",                \
	  "Calls to the platform that may be answered with older items")     \
	X(PLATFORM_WATCHES, "platform_watches_total",                        \
	  "Calls to the platform that wait for a change")                    \
	X(PLATFORM_FAILED, "platform_failed_total",                          \
	  "Platform calls that failed")                                      \
	X(PLATFORM_BAD_STATUS, "platform_bad_status_total",                  \
	  "Platform calls answered without a valid status line")             \
	X(LOG_LINES_DROPPED, "log_lines_dropped_total",                      \
	  "Log lines that the limit of lines a second turned away")          \
	X(RELEASE, "release", "Number of the release in force")              \
	X(RELEASES_REJECTED, "releases_rejected_total",                      \
	  "Release notes that were not accepted")                            \
	X(DRAINING, "draining", "1 while this daemon or its upstream leaves")

/* Events whose age is exported: identifier, name, help. */
#define EB_AGE_TABLE(X)                                                  \
	X(SOURCE_READ, "source_read_age_ms",                             \
	  "Since this daemon's last successful read of the source")      \
	X(CONFIG, "configuration_age_ms",                                \
	  "Since the configuration in force last changed")               \
	X(PEER, "peer_heard_age_ms", "Since the last frame of any peer") \
	X(PACE, "pace_age_ms", "Since the upstream's VM last told its pace")

enum eb_age {
#define EB_AGE_ENUM(id, name, help) EB_AGE_##id,
	EB_AGE_TABLE(EB_AGE_ENUM)
#undef EB_AGE_ENUM
		EB_AGE_COUNT
};

enum eb_metric {
#define EB_METRIC_ENUM(id, name, help) EB_METRIC_##id,
	EB_METRIC_TABLE(EB_METRIC_ENUM)
#undef EB_METRIC_ENUM
		EB_METRIC_COUNT
};

enum eb_histogram {
	EB_HISTOGRAM_CALL_US,	  /* request read until answer complete */
	EB_HISTOGRAM_UPSTREAM_US, /* request sent until answer complete */
	EB_HISTOGRAM_QUEUE_US,	  /* wait for a slot at the gate */
	EB_HISTOGRAM_COUNT
};

struct eb_metrics;
struct eb_call_stats;

struct eb_metrics *eb_metrics_new(void);
void eb_metrics_free(struct eb_metrics *mt);
void eb_metrics_add(struct eb_metrics *mt, enum eb_metric m, int64_t by);
void eb_metrics_add_priority(struct eb_metrics *mt, enum eb_metric first,
			     uint8_t priority);
void eb_metrics_set(struct eb_metrics *mt, enum eb_metric m, int64_t value);
int64_t eb_metrics_get(const struct eb_metrics *mt, enum eb_metric m);
void eb_metrics_stamp(struct eb_metrics *mt, enum eb_age a, int64_t now_us);
struct eb_call_stats *eb_metrics_call_stats(struct eb_metrics *mt);
void eb_metrics_observe(struct eb_metrics *mt, enum eb_histogram h, int64_t us);
int64_t eb_metrics_quantile_us(const struct eb_metrics *mt, enum eb_histogram h,
			       uint32_t permille);
void eb_metrics_print(const struct eb_metrics *mt, FILE *out);

#endif
