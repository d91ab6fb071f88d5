#include "eb_core.h"

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "eb_claim_roles.h"
#include "eb_clock.h"
#include "eb_evacuation.h"
#include "eb_gate.h"
#include "eb_mesh.h"
#include "eb_nodes.h"
#include "eb_origin.h"
#include "eb_feed_relay.h"
#include "eb_feed_sync.h"
#include "eb_feed_wire.h"
#include "eb_test_off.h"
#include "eb_tunables.h"
#include "eb_wire.h"

#define QUERY_TIMEOUT_S 2
/* How often marks are sent to daemons that lack them; marks are rare. */
#define MARKS_SHARE_INTERVAL_US 100000
#define MARKS_REPEAT_INTERVAL_US 2000000
/* A longer gap between two iterations of the loop is a pause of the process. */
#define PAUSE_MIN_US 1000000
/*
 * After a longer pause the configuration is confirmed again before the gate
 * serves: changes of that time must take effect within seconds.
 */
#define PAUSE_CONFIRM_US 2000000
#define IDLE_WAIT_MS 100

enum query_kind { QUERY_STATUS, QUERY_DRAIN, QUERY_OPEN_CLAIMS };

/* A request of another thread to the core; the thread waits for the answer. */
struct query {
	int32_t refs; /* one of the thread, one of the frame */
	enum query_kind kind;
	pthread_mutex_t lock;
	pthread_cond_t done;
	int answered;
	json_t *answer;
};

/* A frame between this daemon's origin and its gate. */
struct local_frame {
	struct local_frame *next;
	struct eb_frame *frame;
	uint8_t to_gate;
};

struct eb_core {
	struct eb_core_config config;
	uint64_t incarnation;
	struct eb_mesh *mesh;
	struct eb_mesh_sink sink;
	struct eb_nodes *nodes;
	struct eb_evacuation *evacuation;
	struct eb_gate *gate;
	struct eb_origin *origin;
	struct eb_claim_roles *claims; /* NULL if `feed_sync` is used */
	uint32_t refutations;	       /* of the copy, that are logged */
	struct eb_feed_sync
		*feed_sync;	  /* NULL: the source sends configurations */
	struct eb_source *source; /* see eb_core_set_source(), or NULL */
	uint8_t items_changed;	  /* apply_items() is due */
	struct local_frame *first, *last;
	uint32_t self;	 /* number of the node of this daemon, or EB_NONE */
	uint32_t active; /* unfinished calls */
	int epoll_fd;
	int stopping;
	int draining;
	/*
	 * A daemon that starts puts its first release into force only when no
	 * peer is known to have a newer one: the platform may be stale.
	 */
	int serving;
	uint8_t paused;		   /* see PAUSE_CONFIRM_US */
	uint8_t unconfirmed;	   /* since then, until others confirm it */
	int peer_answered;	   /* a peer answered since the first release */
	uint64_t peer_index;	   /* newest release that a peer knows */
	int64_t configured_us;	   /* when the first release came; 0: not yet */
	int64_t loop_us;	   /* time at the loop's last clock reading */
	int64_t tick_us;	   /* when the timers ran */
	uint32_t era;		   /* of the source's items */
	int items_known;	   /* a revision of them is known */
	int64_t marks_shared_us;   /* when share_marks() ran */
	int64_t marks_repeated_us; /* when repeat_marks() sent some */
	uint32_t marks_repeated;   /* where it goes on */
	uint32_t marks_shared;	   /* change that all have that should; 0 */
	apr_pool_t *pool;
	apr_thread_t *thread;
};

/* ---- Frames sent by origin and gate ---- */

/* Passes a frame to another thread; drops it when the ring is full. */
static void push_frame(struct eb_core *co, struct eb_ring *rg,
		       struct eb_frame *f)
{
	if (!eb_ring_push(rg, f))
		return;
	eb_log_write(co->config.log, EB_LOG_ERROR, "core",
		     "ring is full, frame dropped", "type=%s",
		     eb_frame_type_name(f->type));
	eb_frame_unref(f);
}

/*
 * Queues a frame between this daemon's origin and gate, so that neither is
 * called again while it handles an event.
 */
static enum eb_status queue_local(struct eb_core *co, struct eb_frame *f,
				  int to_gate)
{
	struct local_frame *lf = calloc(1, sizeof(*lf));

	if (!lf) {
		eb_frame_unref(f);
		return EB_ENOMEM;
	}
	lf->frame = f;
	lf->to_gate = (uint8_t)to_gate;
	if (co->last)
		co->last->next = lf;
	else
		co->first = lf;
	co->last = lf;
	return EB_OK;
}

static void send_front(void *ctx, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	push_frame(co, co->config.to_front, f);
}

static void send_client(void *ctx, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	push_frame(co, co->config.to_client, f);
}

/*
 * Tells whether a request's body would be sent to a daemon that does not notice
 * a lost part of it: requests with such bodies go elsewhere.
 */
static int lacks_offsets(const struct eb_peer *pr, const struct eb_frame *f)
{
	return f->type == EB_FRAME_HEAD &&
	       pr->wire_version == EB_WIRE_VERSION_MIN &&
	       (f->head->body_kind == EB_BODY_LENGTH ||
		f->head->body_kind == EB_BODY_CHUNKED);
}

/* Sends a frame to the gate of a node; takes the reference over. */
static enum eb_status send_gate(void *ctx, uint32_t node, struct eb_frame *f)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);
	enum eb_status st = EB_EPEER;

	if (n && n->self)
		return queue_local(co, f, 1);
	if (n && n->peer && !lacks_offsets(n->peer, f))
		st = eb_mesh_send(co->mesh, n->peer, f, co->loop_us);
	eb_frame_unref(f);
	return st;
}

static void send_heartbeat(void *ctx, uint32_t node)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);

	if (n && n->peer)
		eb_mesh_heartbeat_now(co->mesh, n->peer, &co->sink,
				      co->loop_us);
}

/* Sends a frame to an origin; `back` is NULL for this daemon's own. */
static void send_origin(void *ctx, const struct eb_routing_id *back,
			struct eb_frame *f)
{
	struct eb_core *co = ctx;

	if (!back) {
		queue_local(co, f, 0);
		return;
	}
	/* An unreachable origin is found by the gate's failure detection. */
	eb_mesh_reply(co->mesh, back, f);
	eb_frame_unref(f);
}

/* ---- Claims ---- */

/* A way back is used only if a frame came by it within this time. */
#define BACK_ROUTE_MAX_AGE_US (EB_PEER_LOST_MS * 1000LL)

/*
 * Tells whether to reply to a daemon on the connection that it opened, instead
 * of this daemon's socket to it, which takes seconds to notice a restart of
 * that daemon.
 */
static int use_back_route(const struct eb_core *co, const struct eb_node *n)
{
	if (!n->back.used_bytes ||
	    co->loop_us - n->back_received_us >= BACK_ROUTE_MAX_AGE_US)
		return 0;
	return !n->peer || !n->peer->up ||
	       n->back_received_us > n->peer->liveness.heard_us;
}

/* Sends a message on a claim to the daemon of a node, or handles it here. */
static void send_claim(struct eb_core *co, uint32_t id, struct eb_frame *f)
{
	struct eb_node *n = eb_nodes_get(co->nodes, id);
	struct eb_peer *pr;

	if (!n || !n->present) {
		eb_frame_unref(f);
		return;
	}
	/* The claims module sends a message again that was lost. */
	if (n->self) {
		eb_claim_roles_recv(co->claims, f->data, f->data_bytes,
				    co->loop_us);
	} else if (use_back_route(co, n)) {
		f->target = 0;
		eb_mesh_reply(co->mesh, &n->back, f);
	} else {
		pr = eb_nodes_peer(co->nodes, id, co->loop_us);
		if (pr)
			eb_mesh_send(co->mesh, pr, f, co->loop_us);
	}
	eb_frame_unref(f);
}

/* Handles a message on a claim and stores the way back to its sender. */
static void on_claim(struct eb_core *co, struct eb_frame *f,
		     const struct eb_routing_id *back)
{
	char name[EB_NAME_SPACE_BYTES];
	struct eb_node *n;

	if (!co->claims ||
	    eb_claim_roles_sender(f->data, f->data_bytes, name, sizeof(name)) ||
	    eb_claim_roles_recv(co->claims, f->data, f->data_bytes,
				co->loop_us)) {
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	} else if (back) {
		n = eb_nodes_get(co->nodes, eb_nodes_find(co->nodes, name));
		if (n) {
			n->back = *back;
			n->back_received_us = co->loop_us;
		}
	}
	eb_frame_unref(f);
}

/* Sends the messages of claims and carries out the claimant's decisions. */
static void run_claims(struct eb_core *co)
{
	struct eb_claimant *cl;
	struct eb_claimant_action act;
	char to[EB_NAME_SPACE_BYTES];
	struct eb_frame *f;
	int more = 1;

	if (!co->claims)
		return;
	cl = eb_claim_roles_claimant(co->claims);
	while (more) {
		more = 0;
		while ((f = eb_claim_roles_next(co->claims, to, sizeof(to)))) {
			send_claim(co, eb_nodes_find(co->nodes, to), f);
			more = 1;
		}
		while (eb_claimant_next(cl, &act)) {
			eb_origin_claim_action(co->origin, &act, co->loop_us);
			eb_claimant_action_clear(&act);
			more = 1;
		}
	}
}

/* ---- Frames of the mesh ---- */

/* Stores the release that a peer's heartbeat reply names. */
static void save_peer_release(struct eb_core *co, const struct eb_frame *f)
{
	if (f->reply->body_bytes > co->peer_index)
		co->peer_index = f->reply->body_bytes;
	co->peer_answered |= co->configured_us != 0;
}

/* ---- Marks of requests that crash upstreams ---- */

/*
 * Returns a frame with a part of the marks, from `*from` on; NULL if there are
 * none, or without memory, which sets `*failed`.
 */
static struct eb_frame *new_marks_frame(struct eb_core *co, uint32_t *from,
					int all, int *failed)
{
	struct eb_frame *f = NULL;
	msgpack_sbuffer sb;

	msgpack_sbuffer_init(&sb);
	eb_crash_detect_encode(eb_gate_marks(co->gate), from, all, co->loop_us,
			       &sb);
	if (sb.size)
		f = eb_frame_new_data(EB_FRAME_MARKS, 0, sb.data,
				      (uint32_t)sb.size);
	*failed |= sb.size && !f;
	msgpack_sbuffer_destroy(&sb);
	return f;
}

/* Sends all marks to a daemon, in parts; -1 if a part could not be sent. */
static int send_marks(struct eb_core *co, struct eb_peer *pr)
{
	struct eb_frame *f;
	uint32_t from = 0;
	int failed = 0;

	do {
		f = new_marks_frame(co, &from, 1, &failed);
		if (f)
			failed |= eb_mesh_send(co->mesh, pr, f, co->loop_us) !=
				  EB_OK;
		eb_frame_unref(f);
	} while (from);
	return failed ? -1 : 0;
}

/*
 * Finds the daemons to which this one sends all that it learns of marks: the
 * EB_CRASH_PARTNERS next ones on a ring. Marks reach all daemons through them,
 * also those of other services, as a route may move, and those that start
 * after the daemon that saw the crash has ended. Returns how many there are.
 */
static uint32_t find_partners(const struct eb_core *co,
			      uint32_t ids[EB_CRASH_PARTNERS])
{
	uint64_t own = eb_feed_sync_order(co->config.settings->upstream);
	uint64_t distances[EB_CRASH_PARTNERS], distance;
	const struct eb_node *n;
	uint32_t i, at, count = 0;

	for (i = 0; i < eb_nodes_count(co->nodes); i++) {
		n = eb_nodes_get(co->nodes, i);
		if (!n->present || n->self)
			continue;
		distance = eb_feed_sync_order(n->name) - own;
		for (at = count; at && distances[at - 1] > distance; at--)
			if (at < EB_CRASH_PARTNERS) {
				distances[at] = distances[at - 1];
				ids[at] = ids[at - 1];
			}
		if (at == EB_CRASH_PARTNERS)
			continue;
		distances[at] = distance;
		ids[at] = i;
		count += count < EB_CRASH_PARTNERS;
	}
	return count;
}

/*
 * Sends the marks to a daemon that has those of an older change than
 * `changes`. Returns 0 if it has to be tried again.
 */
static int share_with(struct eb_core *co, uint32_t id, uint32_t changes)
{
	struct eb_node *n = eb_nodes_get(co->nodes, id);
	struct eb_peer *pr;

	if (n->marks_generation >= changes)
		return 1;
	pr = eb_nodes_peer(co->nodes, id, co->loop_us);
	if (!pr || !pr->up || send_marks(co, pr))
		return 0;
	n->marks_generation = eb_crash_detect_changes(eb_gate_marks(co->gate));
	return 1;
}

/*
 * Sends marks that were made here to the other daemons of this service, because
 * a marked request may reach their upstreams next, and all marks to this
 * daemon's partners. A daemon that is down receives them when it is up.
 */
static void share_marks(struct eb_core *co)
{
	const struct eb_crash_detect *marks = eb_gate_marks(co->gate);
	uint32_t changes = eb_crash_detect_changes(marks);
	uint32_t generation = eb_crash_detect_generation(marks);
	const struct eb_node *self = eb_nodes_get(co->nodes, co->self), *n;
	uint32_t partners[EB_CRASH_PARTNERS], count, i;
	int complete = 1;

	if (co->marks_shared == changes ||
	    co->loop_us - co->marks_shared_us < MARKS_SHARE_INTERVAL_US)
		return;
	co->marks_shared_us = co->loop_us;
	count = find_partners(co, partners);
	for (i = 0; i < count; i++)
		complete &= share_with(co, partners[i], changes);
	for (i = 0; self && i < eb_nodes_count(co->nodes); i++) {
		n = eb_nodes_get(co->nodes, i);
		if (n->present && !n->self && n->service == self->service)
			complete &= share_with(co, i, generation);
	}
	if (complete)
		co->marks_shared = changes;
}

/*
 * Sends a part of the marks for which requests are refused to the partners
 * again: one that was sent may be lost with its connection.
 */
static void repeat_marks(struct eb_core *co)
{
	uint32_t partners[EB_CRASH_PARTNERS], count, i;
	struct eb_frame *f;
	struct eb_peer *pr;
	int failed = 0;

	if (!eb_crash_detect_changes(eb_gate_marks(co->gate)) ||
	    co->loop_us - co->marks_repeated_us < MARKS_REPEAT_INTERVAL_US)
		return;
	co->marks_repeated_us = co->loop_us;
	f = new_marks_frame(co, &co->marks_repeated, 0, &failed);
	count = f ? find_partners(co, partners) : 0;
	for (i = 0; i < count; i++) {
		pr = eb_nodes_peer(co->nodes, partners[i], co->loop_us);
		if (pr && pr->up)
			eb_mesh_send(co->mesh, pr, f, co->loop_us);
	}
	eb_frame_unref(f);
}

static void on_marks(struct eb_core *co, struct eb_frame *f)
{
	if (eb_crash_detect_receive(eb_gate_marks(co->gate), f->data,
				    f->data_bytes, co->loop_us))
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	eb_frame_unref(f);
}

/* ---- Items of the source ---- */

/*
 * Returns a frame with a payload on items, in the form that a daemon of a
 * version understands; NULL if there is none, or without memory.
 */
static struct eb_frame *new_items_frame(uint8_t version, const void *data,
					uint32_t bytes)
{
	struct eb_frame *f;
	uint8_t *p;

	if (version != EB_WIRE_VERSION_MIN)
		return eb_frame_new_data(EB_FRAME_GOSSIP, 0, data, bytes);
	p = malloc(bytes);
	if (!p)
		return NULL;
	bytes = eb_feed_wire_to_first(data, bytes, p);
	f = bytes ? eb_frame_new_data(EB_FRAME_GOSSIP, 0, p, bytes) : NULL;
	free(p);
	return f;
}

static void send_gossip(void *ctx, uint32_t node, const void *data,
			uint32_t bytes)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);
	struct eb_frame *f;

	if (!n || !n->peer)
		return;
	f = new_items_frame(n->peer->wire_version, data, bytes);
	if (!f)
		return;
	eb_metrics_add(co->config.metrics, EB_METRIC_ITEM_BYTES, bytes);
	/* If this is lost, the next heartbeat shows the difference. */
	eb_mesh_send(co->mesh, n->peer, f, co->loop_us);
	eb_frame_unref(f);
}

/* Tells whether the daemon beside an upstream answers heartbeats. */
static int is_reachable(void *ctx, uint32_t node)
{
	struct eb_core *co = ctx;
	const struct eb_node *n = eb_nodes_get(co->nodes, node);

	return n && n->peer && n->peer->up && !n->peer->liveness.suspected;
}

/* Tells whether the daemon beside an upstream is known not to answer. */
static int is_silent(void *ctx, uint32_t node)
{
	struct eb_core *co = ctx;
	const struct eb_node *n = eb_nodes_get(co->nodes, node);

	return n && n->peer &&
	       eb_liveness_is_silent(&n->peer->liveness, n->peer->up,
				     co->loop_us);
}

static void on_items_changed(void *ctx)
{
	struct eb_core *co = ctx;

	co->items_changed = 1;
}

static void set_source_mode(void *ctx, enum eb_source_mode mode,
			    uint64_t revision)
{
	struct eb_core *co = ctx;
	struct eb_source *sc = __atomic_load_n(&co->source, __ATOMIC_ACQUIRE);

	if (sc)
		co->config.adapter->source->want(sc, mode, revision);
}

/* Handles a payload on items, in the form of the version of its frame. */
static enum eb_status receive_items(struct eb_core *co,
				    const struct eb_frame *f, uint8_t **reply,
				    uint32_t *reply_bytes)
{
	uint32_t n = f->data_bytes;
	enum eb_status st;
	uint8_t *p;

	*reply = NULL;
	if (f->wire_version != EB_WIRE_VERSION_MIN)
		return eb_feed_sync_receive(co->feed_sync, f->data, n,
					    co->loop_us, reply, reply_bytes);
	p = malloc(n + EB_FEED_WIRE_MORE_BYTES);
	if (!p)
		return EB_ENOMEM;
	n = eb_feed_wire_from_first(f->data, n, p);
	st = n ? eb_feed_sync_receive(co->feed_sync, p, n, co->loop_us, reply,
				      reply_bytes)
	       : EB_EPARSE;
	free(p);
	return st;
}

/* Handles a payload of gossip and sends the reply on its connection. */
static void on_gossip(struct eb_core *co, struct eb_frame *f,
		      struct eb_peer *pr, const struct eb_routing_id *back)
{
	struct eb_frame *out;
	uint32_t bytes = 0;
	uint8_t *reply = NULL;

	if (!co->feed_sync || receive_items(co, f, &reply, &bytes) == EB_EPARSE)
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	out = reply && bytes ? new_items_frame(f->wire_version, reply, bytes)
			     : NULL;
	if (out && pr)
		eb_mesh_send(co->mesh, pr, out, co->loop_us);
	else if (out)
		eb_mesh_reply(co->mesh, back, out);
	eb_frame_unref(out);
	free(reply);
	eb_frame_unref(f);
}

/* Handles a report of the source. */
static void on_report(struct eb_core *co, const struct eb_source_report *rp)
{
	if (!rp->failed)
		eb_metrics_stamp(co->config.metrics, EB_AGE_SOURCE_READ,
				 co->loop_us);
	if (co->feed_sync)
		eb_feed_sync_report(co->feed_sync, rp, co->loop_us);
}

/* Records what a heartbeat reply says of a daemon's copy of the items. */
static void save_peer_copy(struct eb_core *co, const struct eb_frame *f,
			   uint32_t node)
{
	struct eb_feed_state state = { 0 };

	state.revision = f->reply->body_bytes;
	state.read_age_ms = f->reply->retry_after_ms;
	state.digest = (uint32_t)f->offset_bytes;
	state.link_mbps = f->reply->status;
	state.unverified = f->credit_bytes == EB_HELLO_UNVERIFIED;
	state.knows_eras = f->credit_bytes == EB_HELLO_KNOWS_ERAS;
	eb_feed_sync_update_member(co->feed_sync, node, &state, co->loop_us);
}

/* Hands a frame to its module; `pr` is set for a reply of a gate. */
static void on_frame(void *ctx, struct eb_frame *f, struct eb_peer *pr,
		     const struct eb_routing_id *back)
{
	struct eb_core *co = ctx;

	eb_metrics_stamp(co->config.metrics, EB_AGE_PEER, co->loop_us);
	if (f->type == EB_FRAME_HELLO && pr) {
		if (co->feed_sync)
			save_peer_copy(co, f, pr->user);
		else
			save_peer_release(co, f);
	}
	if (f->type == EB_FRAME_GOSSIP)
		on_gossip(co, f, pr, back);
	else if (f->type == EB_FRAME_CLAIM)
		on_claim(co, f, back);
	else if (f->type == EB_FRAME_MARKS)
		on_marks(co, f);
	else if (pr)
		eb_origin_from_gate(co->origin, pr->user, f, co->loop_us);
	else
		eb_gate_from_origin(co->gate, f, back, co->loop_us);
}

/* Ends the attempts at a peer that was lost or has restarted. */
static void on_lost(void *ctx, struct eb_peer *pr, int restarted)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, pr->user);

	eb_log_write(co->config.log, EB_LOG_WARN, "core", "peer lost",
		     "upstream=%s address=%s restarted=%d", n->name,
		     pr->address, restarted);
	n->draining = 0;
	n->marks_generation = 0;
	co->marks_shared = 0;
	eb_origin_gate_lost(co->origin, pr->user, co->loop_us);
	if (restarted)
		eb_nodes_restarted(co->nodes, pr->user, co->loop_us);
}

static void on_up(void *ctx, struct eb_peer *pr)
{
	struct eb_core *co = ctx;

	eb_nodes_suspicion_changed(co->nodes, pr->user, co->loop_us);
	eb_origin_node_up(co->origin, co->loop_us);
}

/* Lets the origin move calls from a peer that does not answer. */
static void on_suspected(void *ctx, struct eb_peer *pr)
{
	struct eb_core *co = ctx;

	eb_nodes_suspicion_changed(co->nodes, pr->user, co->loop_us);
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "peer suspected",
		     "upstream=%s owes_ms=%lld cut_off=%d",
		     eb_nodes_get(co->nodes, pr->user)->name,
		     (long long)(co->loop_us - pr->liveness.asked_us) / 1000,
		     eb_nodes_cut_off(co->nodes));
	eb_origin_gate_suspected(co->origin, pr->user, co->loop_us);
}

/* Completes a heartbeat that is about to be sent. */
static void on_hello(void *ctx, const struct eb_peer *pr, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	eb_origin_list_overdue(co->origin, pr->user, f, co->loop_us);
}

/* ---- Frames of other threads ---- */

/* Puts the newest known release into force at the gate and the origin. */
static void serve_release(struct eb_core *co)
{
	const struct eb_config *cf = eb_nodes_config(co->nodes);
	struct eb_node *n = eb_nodes_get(co->nodes, co->self);
	const struct eb_service_state *sv;

	if (n && n->present) {
		sv = eb_nodes_service(co->nodes, n->service, co->loop_us);
		eb_gate_configure(co->gate, n->info,
				  eb_nodes_rule(co->nodes, sv));
		eb_gate_set_warmup(co->gate, cf->services[n->service], n->info,
				   co->loop_us);
		if (cf->has_matches)
			eb_gate_set_leaving(co->gate, n->info->leaving);
	} else if (cf->has_matches) {
		/*
		 * This upstream is no longer listed: its calls are finished,
		 * and new ones are refused.
		 */
		eb_gate_set_leaving(co->gate, 1);
	} else {
		eb_gate_configure(co->gate, NULL, NULL);
	}
	/* Its calls may still wait when this upstream is no longer listed. */
	if (cf->has_matches)
		eb_gate_set_evacuated(
			co->gate,
			(n && n->present && n->evacuated) ||
				eb_config_is_evacuated(
					cf,
					co->config.settings->failure_domain),
			co->loop_us);
	eb_gate_set_config(co->gate, eb_nodes_config(co->nodes));
	eb_origin_serve(co->origin, co->loop_us);
	eb_metrics_set(co->config.metrics, EB_METRIC_RELEASE,
		       (int64_t)cf->release);
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "release in force",
		     "release=%llu upstreams=%u known=%d leaving=%d",
		     (unsigned long long)cf->release, cf->upstream_total,
		     n && n->present, n && n->present && n->info->leaving);
}

/*
 * Tells whether the known release may be served: no peer has a newer one, as
 * far as the peers' answers or a wait of EB_START_WAIT_MS can show.
 */
static int can_serve(const struct eb_core *co)
{
	const struct eb_config *cf = eb_nodes_config(co->nodes);

	if (co->feed_sync)
		return cf->has_matches && eb_feed_sync_confirmed(co->feed_sync);
	if (!cf->release || cf->index < co->peer_index)
		return 0;
	return co->peer_answered || cf->upstream_total < 2 ||
	       co->loop_us - co->configured_us >= EB_START_WAIT_MS * 1000LL;
}

/* Puts the first release into force as soon as that is allowed. */
static void try_serving(struct eb_core *co)
{
	if (co->serving || !can_serve(co))
		return;
	__atomic_store_n(&co->serving, 1, __ATOMIC_RELEASE);
	serve_release(co);
}

/* Stores a configuration, and puts it into force if this daemon serves. */
static void apply_config(struct eb_core *co, struct eb_config *cf)
{
	const struct eb_feed_state release = { .revision = cf->index };

	/* Ignore an older release. The feed orders its revisions on its own. */
	if (!co->feed_sync && cf->index <= eb_nodes_config(co->nodes)->index &&
	    !eb_test_off("release-order"))
		return;
	if (eb_nodes_configure(co->nodes, cf, co->loop_us))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "cannot store the public keys of the peers", NULL);
	if (co->claims && eb_claim_roles_configure(co->claims, cf, co->loop_us))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "cannot set the holders of claims: out of memory",
			     NULL);
	co->self = eb_nodes_find(co->nodes, co->config.settings->upstream);
	eb_evacuation_update(co->evacuation, cf, co->loop_us);
	eb_metrics_stamp(co->config.metrics, EB_AGE_CONFIG, co->loop_us);
	if (!co->feed_sync)
		eb_gate_set_copy(co->gate, &release);
	if (!co->configured_us)
		co->configured_us = co->loop_us;
	co->marks_shared = 0;
	if (co->serving)
		serve_release(co);
	else
		try_serving(co);
}

/*
 * Gives the list of the other daemons, known by their upstreams, to the module
 * that spreads the source's items, and connects to those that read the source.
 */
static void set_members(struct eb_core *co)
{
	uint32_t i, n = 0, total = eb_nodes_count(co->nodes);
	struct eb_feed_sync_member *list = calloc(total + 1, sizeof(*list));
	const struct eb_node *node;

	if (!list)
		return;
	for (i = 0; i < total; i++) {
		node = eb_nodes_get(co->nodes, i);
		if (!node->present || node->self)
			continue;
		list[n].node = i;
		list[n].order = eb_feed_sync_order(node->name);
		list[n].position = eb_feed_relay_position(node->info->region,
							  list[n].order);
		n++;
	}
	if (eb_feed_sync_set_members(co->feed_sync, list, n))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "cannot set the list of daemons: out of memory",
			     NULL);
	for (i = 0; i < n; i++)
		if (eb_feed_sync_is_reader(co->feed_sync, list[i].node))
			eb_nodes_fast_heartbeat(co->nodes, list[i].node,
						co->loop_us);
	free(list);
}

/* Builds a configuration from the items and puts it into force. */
static void apply_items(struct eb_core *co)
{
	struct eb_config *cf;

	co->items_changed = 0;
	cf = co->config.adapter->source->decode(
		co->config.adapter, co->config.settings,
		eb_feed_sync_feed(co->feed_sync), co->loop_us, co->config.log);
	eb_metrics_set(co->config.metrics, EB_METRIC_FEED_KEPT,
		       eb_feed_kept(eb_feed_sync_feed(co->feed_sync)));
	if (!cf)
		return;
	apply_config(co, cf);
	eb_config_unref(cf);
	set_members(co);
}

/* Logs that the source has lost changes since this copy's last revision. */
static void log_era(struct eb_core *co, uint64_t revision)
{
	if (co->items_known)
		eb_log_write(co->config.log, EB_LOG_WARN, "core",
			     "source has lost changes; newer items are kept",
			     "era=%u before=%u revision=%llu kept=%u",
			     eb_feed_era(revision), co->era,
			     (unsigned long long)eb_feed_count(revision),
			     eb_feed_kept(eb_feed_sync_feed(co->feed_sync)));
	co->era = eb_feed_era(revision);
	eb_metrics_set(co->config.metrics, EB_METRIC_FEED_ERA, co->era);
}

/* Runs the timers of the spread of items, and applies changed items. */
static void tick_spread(struct eb_core *co)
{
	uint32_t refutations;
	struct eb_feed_state state;

	if (!co->feed_sync)
		return;
	eb_feed_sync_tick(co->feed_sync, co->loop_us);
	refutations = eb_feed_sync_refutations(co->feed_sync);
	eb_feed_sync_state(co->feed_sync, co->loop_us, &state);
	if (refutations != co->refutations)
		eb_log_write(co->config.log, EB_LOG_WARN, "core",
			     "items differ from those of a reader; they are "
			     "read again",
			     "era=%u revision=%llu",
			     eb_feed_era(state.revision),
			     (unsigned long long)eb_feed_count(state.revision));
	if (co->era != eb_feed_era(state.revision))
		log_era(co, state.revision);
	co->items_known = state.revision != 0;
	eb_metrics_add(co->config.metrics, EB_METRIC_FEED_REFUTED,
		       refutations - co->refutations);
	co->refutations = refutations;
	eb_gate_set_copy(co->gate, &state);
	if (co->items_changed)
		apply_items(co);
	if (co->unconfirmed && !co->paused &&
	    eb_feed_sync_confirmed(co->feed_sync)) {
		co->unconfirmed = 0;
		eb_gate_set_unconfirmed(co->gate, 0, co->loop_us);
		eb_log_write(co->config.log, EB_LOG_INFO, "core",
			     "configuration confirmed after a pause", NULL);
	}
}

/* Starts to drain: new calls are refused, and others are finished. */
static void drain(struct eb_core *co)
{
	if (co->draining || eb_test_off("drain"))
		return;
	co->draining = 1;
	eb_gate_drain(co->gate);
	eb_metrics_set(co->config.metrics, EB_METRIC_DRAINING, 1);
	if (co->self != EB_NONE) {
		eb_nodes_get(co->nodes, co->self)->draining = 1;
		eb_nodes_changed(co->nodes, co->self, co->loop_us);
	}
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "draining", NULL);
}

static void apply_vms(struct eb_core *co, const struct eb_vm_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++)
		eb_nodes_update_vm(co->nodes, list->vms[i].address,
				   list->vms[i].leaving, co->loop_us);
}

static json_t *node_status(const struct eb_node *n)
{
	const char *state = "down";

	if (n->evacuated)
		state = "evacuated";
	else if (n->leaving)
		state = "leaving";
	else if (n->draining)
		state = "draining";
	else if (n->self || (n->peer && n->peer->up))
		state = "up";
	return json_pack("{ss ss ss ss}", "upstream", n->name, "service",
			 n->info->service_name, "failure_domain",
			 n->info->failure_domain, "state", state);
}

static json_t *make_status(struct eb_core *co)
{
	const struct eb_config *cf = eb_nodes_config(co->nodes);
	const struct eb_settings *se = co->config.settings;
	const struct eb_node *self = eb_nodes_get(co->nodes, co->self);
	json_t *nodes = json_array();
	uint32_t claims_held = 0, claims_able = 0;
	struct eb_load ld = { 0 };
	struct eb_node *n;
	uint32_t i;

	eb_gate_load(co->gate, &ld);
	if (co->claims)
		eb_claim_roles_slots(co->claims, &claims_held, &claims_able);
	for (i = 0; i < eb_nodes_count(co->nodes); i++) {
		n = eb_nodes_get(co->nodes, i);
		if (n->present && (n->self || n->peer))
			json_array_append_new(nodes, node_status(n));
	}
	return json_pack(
		"{ss ss ss sI sI ss sb si si si si si si si si so so so}",
		"upstream", se->upstream, "region", se->region,
		"failure_domain", se->failure_domain, "release",
		(json_int_t)cf->release, "index", (json_int_t)cf->index,
		"state",
		co->draining				 ? "draining"
		: co->serving && self && self->evacuated ? "evacuated"
		: co->serving				 ? "serving"
							 : "waiting",
		"known", co->self != EB_NONE, "in_flight", (int)ld.in_flight,
		"queued", (int)ld.queued, "slots", (int)ld.slots, "service_us",
		(int)ld.service_us, "calls_origin",
		(int)eb_origin_active(co->origin), "calls_gate",
		(int)eb_gate_active(co->gate), "claim_slots_held",
		(int)claims_held, "claim_slots_able", (int)claims_able, "peers",
		nodes, "evacuations",
		eb_evacuation_status(co->evacuation, co->loop_us),
		"evacuation_changes",
		eb_evacuation_changes(co->evacuation, co->loop_us));
}

/* Drops a reference to a query; the last one frees it. */
static void unref_query(void *object)
{
	struct query *qu = object;

	if (__atomic_sub_fetch(&qu->refs, 1, __ATOMIC_ACQ_REL))
		return;
	json_decref(qu->answer);
	pthread_mutex_destroy(&qu->lock);
	pthread_cond_destroy(&qu->done);
	free(qu);
}

static void answer_query(struct eb_core *co, struct query *qu)
{
	json_t *answer = NULL;

	if (qu->kind == QUERY_DRAIN)
		drain(co);
	else if (qu->kind == QUERY_OPEN_CLAIMS && co->claims)
		eb_claim_roles_open(co->claims, co->loop_us);
	else
		answer = make_status(co);
	pthread_mutex_lock(&qu->lock);
	qu->answer = answer;
	qu->answered = 1;
	pthread_cond_signal(&qu->done);
	pthread_mutex_unlock(&qu->lock);
}

static void on_control(struct eb_core *co, struct eb_frame *f)
{
	if (f->type == EB_FRAME_CONFIG)
		apply_config(co, f->object);
	else if (f->type == EB_FRAME_VMS)
		apply_vms(co, f->object);
	else if (f->type == EB_FRAME_QUERY)
		answer_query(co, f->object);
	else if (f->type == EB_FRAME_REPORT)
		on_report(co, f->object);
	eb_frame_unref(f);
}

/* ---- Thread ---- */

/* Handles the frames queued between this daemon's origin and gate. */
static void run_local(struct eb_core *co)
{
	struct local_frame *lf;

	while ((lf = co->first)) {
		co->first = lf->next;
		if (!co->first)
			co->last = NULL;
		if (lf->to_gate)
			eb_gate_from_origin(co->gate, lf->frame, NULL,
					    co->loop_us);
		else
			eb_origin_from_gate(co->origin, co->self, lf->frame,
					    co->loop_us);
		free(lf);
	}
}

/* Handles a batch of frames from each ring; returns 1 if more may wait. */
static int take_frames(struct eb_core *co)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;
	int more = 0;

	n = eb_ring_pop(co->config.in, items, EB_BATCH_FRAMES);
	more |= n == EB_BATCH_FRAMES;
	for (i = 0; i < n; i++)
		on_control(co, items[i]);
	n = eb_ring_pop(co->config.from_client, items, EB_BATCH_FRAMES);
	more |= n == EB_BATCH_FRAMES;
	for (i = 0; i < n; i++)
		eb_gate_from_client(co->gate, items[i], co->loop_us);
	run_local(co);
	n = eb_ring_pop(co->config.from_front, items, EB_BATCH_FRAMES);
	more |= n == EB_BATCH_FRAMES;
	for (i = 0; i < n; i++)
		eb_origin_from_front(co->origin, items[i], co->loop_us);
	run_local(co);
	return more;
}

/* One iteration of the loop: all waiting frames, then the timers if due. */
static void run_once(struct eb_core *co)
{
	int64_t now_us = eb_clock_now_us(), before_us = co->loop_us;
	int more;

	co->loop_us = now_us;
	if (before_us && now_us - before_us > PAUSE_MIN_US)
		eb_gate_set_resumed(co->gate, 1);
	if (before_us && now_us - before_us > PAUSE_CONFIRM_US &&
	    co->feed_sync && co->serving) {
		co->paused = 1;
		co->unconfirmed = 1;
		eb_gate_set_unconfirmed(co->gate, 1, now_us);
		eb_log_write(co->config.log, EB_LOG_WARN, "core",
			     "paused; nothing runs until the configuration is "
			     "confirmed",
			     "pause_ms=%lld",
			     (long long)(now_us - before_us) / 1000);
	}
	do {
		more = take_frames(co);
		more |= eb_mesh_receive(co->mesh, &co->sink, co->loop_us);
		run_local(co);
		run_claims(co);
		run_local(co);
		if (co->items_changed)
			apply_items(co);
		co->loop_us = eb_clock_now_us();
	} while (more && co->loop_us - co->tick_us < EB_CORE_TICK_MS * 1000);
	if (!more)
		eb_gate_set_resumed(co->gate, 0);
	if (!more && co->paused) {
		co->paused = 0;
		eb_feed_sync_resumed(co->feed_sync, co->loop_us);
	}
	eb_gate_poll(co->gate, co->loop_us);
	if (co->loop_us - co->tick_us >= EB_CORE_TICK_MS * 1000) {
		co->tick_us = co->loop_us;
		eb_mesh_tick(co->mesh, &co->sink, co->loop_us);
		eb_nodes_tick(co->nodes, co->loop_us);
		tick_spread(co);
		try_serving(co);
		eb_gate_tick(co->gate, co->loop_us);
		eb_origin_tick(co->origin, co->loop_us);
		share_marks(co);
		repeat_marks(co);
		if (co->claims)
			eb_claim_roles_tick(co->claims, co->loop_us);
		run_claims(co);
		run_local(co);
	}
	__atomic_store_n(&co->active,
			 eb_gate_active(co->gate) +
				 eb_origin_active(co->origin),
			 __ATOMIC_RELEASE);
}

/* Returns the time to wait in epoll; idle daemons run their timers rarely. */
static int wait_ms(const struct eb_core *co)
{
	int64_t wake_us = eb_gate_wake_us(co->gate, co->loop_us);
	int ms = co->active ? EB_CORE_TICK_MS : IDLE_WAIT_MS;

	if (wake_us - co->loop_us >= ms * 1000)
		return ms;
	return wake_us <= co->loop_us
		       ? 0
		       : (int)((wake_us - co->loop_us) / 1000 + 1);
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct eb_core *co = data;
	const struct eb_mesh_sink sink = { on_frame,	 on_lost,  on_up,
					   on_suspected, on_hello, co };
	struct epoll_event ev[8];

	(void)thread;
	pthread_setname_np(pthread_self(), "eb-core");
	co->sink = sink;
	while (!__atomic_load_n(&co->stopping, __ATOMIC_ACQUIRE)) {
		run_once(co);
		epoll_wait(co->epoll_fd, ev, 8, wait_ms(co));
	}
	return NULL;
}

/* Adds the descriptors of rings and mesh to epoll; -1 on failure. */
static int add_fds(struct eb_core *co)
{
	int fds[4], i;

	fds[0] = eb_ring_fd(co->config.in);
	fds[1] = eb_ring_fd(co->config.from_front);
	fds[2] = eb_ring_fd(co->config.from_client);
	fds[3] = eb_mesh_fd(co->mesh);
	for (i = 0; i < 4; i++) {
		struct epoll_event ev = { .events = EPOLLIN };

		if (epoll_ctl(co->epoll_fd, EPOLL_CTL_ADD, fds[i], &ev))
			return -1;
	}
	return 0;
}

/* Creates the modules of the core; returns a status and sets `err`. */
static enum eb_status create_parts(struct eb_core *co, struct eb_error *err)
{
	const struct eb_core_config *cf = &co->config;
	struct eb_gate_callbacks gate_out = { send_client, send_origin, co };
	struct eb_origin_callbacks origin_out = { send_front, send_gate,
						  send_heartbeat, co };
	struct eb_gate_config gate = {
		cf->settings->upstream,
		co->incarnation,
		cf->metrics,
		cf->tracer,
		cf->settings->link_mbps,
		eb_settings_answers_max_bytes(cf->settings) / 2
	};
	struct eb_origin_config origin = { co->incarnation,
					   NULL,
					   cf->metrics,
					   cf->tracer,
					   NULL,
					   cf->log,
					   cf->adapter->dialect,
					   cf->settings->uploads_leave,
					   cf->settings->link_mbps };
	struct eb_feed_sync_callbacks feed_sync_out = {
		send_gossip,
		is_reachable,
		is_silent,
		send_heartbeat,
		on_items_changed,
		set_source_mode,
		co,
		cf->adapter->source->compare
	};
	uint64_t order = eb_feed_sync_order(cf->settings->upstream);
	struct eb_findings fs = { 0 };

	co->mesh = eb_mesh_new(cf->settings, co->incarnation, cf->metrics,
			       cf->log, err);
	if (!co->mesh)
		return err->status;
	if (cf->adapter->source->decode) {
		co->feed_sync = eb_feed_sync_new(
			&feed_sync_out, order,
			eb_feed_relay_position(cf->settings->region, order),
			cf->settings->first_start, eb_clock_now_us());
		if (!co->feed_sync)
			return eb_error_set(err, EB_ENOMEM, "out of memory");
		eb_feed_sync_set_link(co->feed_sync,
				      cf->settings->link_mbps
					      ? cf->settings->link_mbps
					      : EB_LINK_DEFAULT_MBPS);
		eb_feed_sync_set_lapse(co->feed_sync,
				       cf->settings->entry_lapse_ms);
	}
	co->nodes = eb_nodes_new(cf->settings, co->mesh, co->incarnation);
	co->evacuation = eb_evacuation_new(cf->log, cf->metrics);
	if (!co->feed_sync)
		co->claims = eb_claim_roles_new(cf->settings->upstream,
						co->incarnation);
	origin.nodes = co->nodes;
	if (co->nodes && (co->claims || co->feed_sync)) {
		if (co->claims)
			origin.claims = eb_claim_roles_claimant(co->claims);
		co->gate = eb_gate_new(&gate, &gate_out, &fs);
		co->origin = eb_origin_new(&origin, &origin_out, &fs);
	}
	if (co->gate) {
		eb_gate_set_log(co->gate, cf->log,
				cf->adapter->dialect->request_id);
		eb_gate_set_service(co->gate, cf->settings->service);
	}
	eb_findings_print(&fs, stderr);
	eb_findings_clear(&fs);
	if (!co->gate || !co->origin)
		return eb_error_set(err, EB_EINVAL,
				    "cannot create the gate or the origin");
	co->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (co->epoll_fd < 0 || add_fds(co))
		return eb_error_set(err, EB_EIO,
				    "cannot add the descriptors to epoll");
	return EB_OK;
}

/*
 * Binds the endpoint for other daemons and starts the thread. Returns NULL
 * and sets `err` on failure.
 */
struct eb_core *eb_core_start(const struct eb_core_config *cf,
			      struct eb_error *err)
{
	struct eb_core *co = calloc(1, sizeof(*co));

	if (!co || apr_pool_create(&co->pool, NULL) != APR_SUCCESS) {
		free(co);
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	co->config = *cf;
	co->self = EB_NONE;
	co->epoll_fd = -1;
	while (!co->incarnation)
		randombytes_buf(&co->incarnation, sizeof(co->incarnation));
	if (create_parts(co, err) ||
	    apr_thread_create(&co->thread, NULL, run, co, co->pool) !=
		    APR_SUCCESS) {
		eb_core_free(co);
		return NULL;
	}
	return co;
}

/*
 * Stops the thread; NULL is allowed. Until eb_core_free(), other threads may
 * still send to the core.
 */
void eb_core_stop(struct eb_core *co)
{
	apr_status_t status;

	if (!co || !co->thread)
		return;
	__atomic_store_n(&co->stopping, 1, __ATOMIC_RELEASE);
	apr_thread_join(&status, co->thread);
	co->thread = NULL;
}

/*
 * Stops the thread and frees everything; NULL is allowed. The source must have
 * been stopped: its thread sends reports to the core.
 */
void eb_core_free(struct eb_core *co)
{
	if (!co)
		return;
	eb_core_stop(co);
	run_local(co);
	eb_origin_free(co->origin);
	if (co->claims)
		eb_claim_roles_free(co->claims);
	eb_gate_free(co->gate);
	eb_feed_sync_free(co->feed_sync);
	eb_nodes_free(co->nodes);
	eb_evacuation_free(co->evacuation);
	eb_mesh_free(co->mesh);
	if (co->epoll_fd >= 0)
		close(co->epoll_fd);
	apr_pool_destroy(co->pool);
	free(co);
}

/*
 * Sends an object to the core in a frame, which frees it by `object_free`.
 * Returns EB_ENOMEM or EB_EFULL on failure; the object is freed then too.
 */
static enum eb_status send_object(struct eb_core *co, enum eb_frame_type type,
				  void *object, void (*object_free)(void *))
{
	struct eb_frame *f = eb_frame_new(type, 0);

	if (!f) {
		object_free(object);
		return EB_ENOMEM;
	}
	f->object = object;
	f->object_free = object_free;
	if (!eb_ring_push(co->config.in, f))
		return EB_OK;
	eb_frame_unref(f);
	return EB_EFULL;
}

static void free_config(void *object)
{
	eb_config_unref(object);
}

static void free_vms(void *object)
{
	struct eb_vm_list *list = object;

	free(list->vms);
	free(list);
}

/* Passes a configuration to the core; takes the reference over. */
enum eb_status eb_core_send_config(struct eb_core *co, struct eb_config *cf)
{
	return send_object(co, EB_FRAME_CONFIG, cf, free_config);
}

/* Passes the platform's list of VMs to the core; takes it over. */
enum eb_status eb_core_send_vms(struct eb_core *co, struct eb_vm_list *list)
{
	return send_object(co, EB_FRAME_VMS, list, free_vms);
}

static void free_report(void *object)
{
	struct eb_source_report *rp = object;

	eb_feed_change_clear(&rp->change);
	free(rp);
}

/* Passes a report of the source to the core; takes it over. */
enum eb_status eb_core_send_report(struct eb_core *co,
				   struct eb_source_report *rp)
{
	return send_object(co, EB_FRAME_REPORT, rp, free_report);
}

/* Sets the source whose read mode the core controls; NULL: none. */
void eb_core_set_source(struct eb_core *co, struct eb_source *sc)
{
	__atomic_store_n(&co->source, sc, __ATOMIC_RELEASE);
}

/* Tells whether a release is in force, so that requests are served. */
int eb_core_serving(const struct eb_core *co)
{
	return __atomic_load_n(&co->serving, __ATOMIC_ACQUIRE);
}

/*
 * Sends a query to the core and waits for the answer, for QUERY_TIMEOUT_S at
 * most. Returns the answer, which may be NULL, or NULL after the timeout.
 */
static json_t *run_query(struct eb_core *co, enum query_kind kind)
{
	struct query *qu = calloc(1, sizeof(*qu));
	struct timespec until;
	json_t *answer = NULL;

	if (!qu)
		return NULL;
	qu->refs = 2;
	qu->kind = kind;
	pthread_mutex_init(&qu->lock, NULL);
	pthread_cond_init(&qu->done, NULL);
	/* The frame holds the second reference. */
	send_object(co, EB_FRAME_QUERY, qu, unref_query);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += QUERY_TIMEOUT_S;
	pthread_mutex_lock(&qu->lock);
	/* This thread's reference keeps `qu`, even if the frame is freed. */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	while (!qu->answered)
		if (pthread_cond_timedwait(&qu->done, &qu->lock, &until))
			break;
	answer = qu->answer;
	qu->answer = NULL;
	pthread_mutex_unlock(&qu->lock);
	unref_query(qu);
	return answer;
}

/* Returns a new object with this daemon's state, or NULL after a timeout. */
json_t *eb_core_status(struct eb_core *co)
{
	return run_query(co, QUERY_STATUS);
}

/* Makes the gate refuse new calls, and the other daemons avoid it. */
void eb_core_drain(struct eb_core *co)
{
	json_decref(run_query(co, QUERY_DRAIN));
}

/* Opens claims on the operator's assurance that no key was used so far. */
void eb_core_open_claims(struct eb_core *co)
{
	json_decref(run_query(co, QUERY_OPEN_CLAIMS));
}

/* Returns the number of unfinished calls, of origin and gate together. */
uint32_t eb_core_active(const struct eb_core *co)
{
	return __atomic_load_n(&co->active, __ATOMIC_ACQUIRE);
}
