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

#include "eb_claims.h"
#include "eb_clock.h"
#include "eb_gate.h"
#include "eb_mesh.h"
#include "eb_nodes.h"
#include "eb_origin.h"
#include "eb_spread.h"
#include "eb_test_off.h"
#include "eb_tunables.h"

#define STATUS_TIMEOUT_S 2
/* Daemons that miss marks are looked for this often; marks are rare. */
#define MARKS_TELL_US 100000
/* A gap between two turns that says that the process was stopped. */
#define PAUSE_US 1000000
#define IDLE_WAIT_MS 100

enum query_kind { QUERY_STATUS, QUERY_DRAIN, QUERY_OPEN_CLAIMS };

/* A question of another thread, which waits for the answer. */
struct query {
	int32_t refs;
	enum query_kind kind;
	pthread_mutex_t lock;
	pthread_cond_t done;
	int answered;
	json_t *answer;
};

/* A frame between this daemon's own origin and gate. */
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
	struct eb_gate *gate;
	struct eb_origin *origin;
	struct eb_claims *claims; /* NULL: the platform knows no keys */
	struct eb_spread *spread; /* NULL: the source pushes by itself */
	struct eb_source *source; /* that this core directs, or NULL */
	uint8_t items_changed;
	struct local_frame *first, *last;
	uint32_t self; /* number of the node of this daemon, or EB_NONE */
	uint32_t active;
	int epoll_fd;
	int stopping;
	int draining;
	/*
	 * A daemon that starts puts its first release into force only when no
	 * peer is known to have a newer one: the platform may be stale.
	 */
	int serving;
	int heard;	       /* a peer answered since the first release */
	uint64_t heard_index;  /* newest release that a peer knows */
	int64_t configured_us; /* when the first release came; 0: not yet */
	int64_t turn_us;
	int64_t tick_us;
	int64_t marks_us; /* when daemons that miss marks were looked for */
	apr_pool_t *pool;
	apr_thread_t *thread;
};

/* ---- Outlets of origin and gate ---- */

static void push(struct eb_core *co, struct eb_ring *rg, struct eb_frame *f)
{
	if (!eb_ring_push(rg, f))
		return;
	eb_log_write(co->config.log, EB_LOG_ERROR, "core", "ring is full",
		     "type=%s", eb_frame_type_name(f->type));
	eb_frame_unref(f);
}

/*
 * Queues a frame between the own origin and gate, so that neither is called
 * while it is in the middle of a step.
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

static void out_front(void *ctx, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	push(co, co->config.to_front, f);
}

static void out_client(void *ctx, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	push(co, co->config.to_client, f);
}

static enum eb_status out_gate(void *ctx, uint32_t node, struct eb_frame *f)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);
	enum eb_status st = EB_EPEER;

	if (n && n->self)
		return queue_local(co, f, 1);
	if (n && n->peer)
		st = eb_mesh_send(co->mesh, n->peer, f, co->turn_us);
	eb_frame_unref(f);
	return st;
}

static void out_ask(void *ctx, uint32_t node)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);

	if (n && n->peer)
		eb_mesh_ask(co->mesh, n->peer, &co->sink, co->turn_us);
}

static void out_origin(void *ctx, const struct eb_back_route *back,
		       struct eb_frame *f)
{
	struct eb_core *co = ctx;

	if (!back) {
		queue_local(co, f, 0);
		return;
	}
	/* An origin that can't be reached is noticed by its silence. */
	eb_mesh_reply(co->mesh, back, f);
	eb_frame_unref(f);
}

/* ---- Claims ---- */

/* A way back that was used within this time still leads to its daemon. */
#define BACK_ROUTE_MAX_US (EB_PEER_SILENT_MS * 1000LL)

/*
 * Tells whether the way back is the better one: after a restart of the other
 * daemon, the socket to it takes seconds to notice.
 */
static int use_back_route(const struct eb_core *co, const struct eb_node *n)
{
	if (!n->back.used_bytes ||
	    co->turn_us - n->back_us >= BACK_ROUTE_MAX_US)
		return 0;
	return !n->peer || !n->peer->up ||
	       n->back_us > n->peer->silence.heard_us;
}

static void send_claim(struct eb_core *co, uint32_t id, struct eb_frame *f)
{
	struct eb_node *n = eb_nodes_get(co->nodes, id);
	struct eb_peer *pr;

	if (!n || !n->present) {
		eb_frame_unref(f);
		return;
	}
	/* A message that is lost is sent again by its module. */
	if (n->self) {
		eb_claims_recv(co->claims, f->data, f->data_bytes, co->turn_us);
	} else if (use_back_route(co, n)) {
		f->target = 0;
		eb_mesh_reply(co->mesh, &n->back, f);
	} else {
		pr = eb_nodes_peer(co->nodes, id, co->turn_us);
		if (pr)
			eb_mesh_send(co->mesh, pr, f, co->turn_us);
	}
	eb_frame_unref(f);
}

static void on_claim(struct eb_core *co, struct eb_frame *f,
		     const struct eb_back_route *back)
{
	char name[EB_NAME_SPACE_BYTES];
	struct eb_node *n;

	if (!co->claims ||
	    eb_claims_sender(f->data, f->data_bytes, name, sizeof(name)) ||
	    eb_claims_recv(co->claims, f->data, f->data_bytes, co->turn_us)) {
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	} else if (back) {
		n = eb_nodes_get(co->nodes, eb_nodes_find(co->nodes, name));
		if (n) {
			n->back = *back;
			n->back_us = co->turn_us;
		}
	}
	eb_frame_unref(f);
}

/* Carries out what the two roles of claims have decided. */
static void run_claims(struct eb_core *co)
{
	struct eb_claim *cl;
	struct eb_claim_action act;
	char to[EB_NAME_SPACE_BYTES];
	struct eb_frame *f;
	int more = 1;

	if (!co->claims)
		return;
	cl = eb_claims_claimant(co->claims);
	while (more) {
		more = 0;
		while ((f = eb_claims_next(co->claims, to, sizeof(to)))) {
			send_claim(co, eb_nodes_find(co->nodes, to), f);
			more = 1;
		}
		while (eb_claim_next(cl, &act)) {
			eb_origin_claim_action(co->origin, &act, co->turn_us);
			eb_claim_action_clear(&act);
			more = 1;
		}
	}
}

/* ---- Frames of the mesh ---- */

/* A heartbeat says which release its sender knows. */
static void note_peer_release(struct eb_core *co, const struct eb_frame *f)
{
	if (f->reply->body_bytes > co->heard_index)
		co->heard_index = f->reply->body_bytes;
	co->heard |= co->configured_us != 0;
}

/* ---- Marks of requests that crash upstreams ---- */

/* Sends all marks to a daemon; -1 when a part could not be sent. */
static int send_marks(struct eb_core *co, struct eb_peer *pr)
{
	msgpack_sbuffer sb;
	struct eb_frame *f;
	uint32_t from = 0;
	int failed = 0;

	do {
		msgpack_sbuffer_init(&sb);
		eb_marks_encode(eb_gate_marks(co->gate), &from, co->turn_us,
				&sb);
		f = sb.size ? eb_frame_new_data(EB_FRAME_MARKS, 0, sb.data,
						(uint32_t)sb.size)
			    : NULL;
		if (f) {
			failed |= eb_mesh_send(co->mesh, pr, f, co->turn_us) !=
				  EB_OK;
			eb_frame_unref(f);
		} else {
			failed |= sb.size > 0;
		}
		msgpack_sbuffer_destroy(&sb);
	} while (from);
	return failed ? -1 : 0;
}

/*
 * Tells the other daemons of this service, whose upstreams the request may
 * reach. One that is not up yet, or comes up anew, is told once it is.
 */
static void tell_marks(struct eb_core *co)
{
	uint32_t i, generation = eb_marks_generation(eb_gate_marks(co->gate));
	const struct eb_node *self = eb_nodes_get(co->nodes, co->self);
	struct eb_node *n;
	struct eb_peer *pr;

	if (!generation || !self || co->turn_us - co->marks_us < MARKS_TELL_US)
		return;
	co->marks_us = co->turn_us;
	for (i = 0; i < eb_nodes_count(co->nodes); i++) {
		n = eb_nodes_get(co->nodes, i);
		if (!n->present || n->self || n->service != self->service ||
		    n->marks_generation == generation)
			continue;
		pr = eb_nodes_peer(co->nodes, i, co->turn_us);
		if (pr && pr->up && !send_marks(co, pr))
			n->marks_generation = generation;
	}
}

static void on_marks(struct eb_core *co, struct eb_frame *f)
{
	if (eb_marks_receive(eb_gate_marks(co->gate), f->data, f->data_bytes,
			     co->turn_us))
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	eb_frame_unref(f);
}

/* ---- The copy of what the source publishes ---- */

static void out_spread(void *ctx, uint32_t node, const void *data,
		       uint32_t bytes)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, node);
	struct eb_frame *f;

	if (!n || !n->peer)
		return;
	f = eb_frame_new_data(EB_FRAME_GOSSIP, 0, data, bytes);
	if (!f)
		return;
	/* A lost one is noticed by the next heartbeat. */
	eb_mesh_send(co->mesh, n->peer, f, co->turn_us);
	eb_frame_unref(f);
}

static void out_changed(void *ctx)
{
	struct eb_core *co = ctx;

	co->items_changed = 1;
}

static void out_want(void *ctx, enum eb_source_mode mode, uint64_t revision)
{
	struct eb_core *co = ctx;
	struct eb_source *sc = __atomic_load_n(&co->source, __ATOMIC_ACQUIRE);

	if (sc)
		co->config.adapter->source->want(sc, mode, revision);
}

/* Takes in a payload and answers it on the way that it came. */
static void on_gossip(struct eb_core *co, struct eb_frame *f,
		      const struct eb_back_route *back)
{
	struct eb_frame *out;
	uint32_t bytes = 0;
	uint8_t *reply = NULL;

	if (!co->spread ||
	    eb_spread_receive(co->spread, f->data, f->data_bytes, co->turn_us,
			      &reply, &bytes) == EB_EPARSE)
		eb_metrics_add(co->config.metrics, EB_METRIC_BAD_FRAMES, 1);
	if (reply && back && bytes) {
		out = eb_frame_new_data(EB_FRAME_GOSSIP, 0, reply, bytes);
		if (out) {
			eb_mesh_reply(co->mesh, back, out);
			eb_frame_unref(out);
		}
	}
	free(reply);
	eb_frame_unref(f);
}

static void on_report(struct eb_core *co, const struct eb_source_report *rp)
{
	if (!rp->failed)
		eb_metrics_stamp(co->config.metrics, EB_AGE_SOURCE_READ,
				 co->turn_us);
	if (co->spread)
		eb_spread_report(co->spread, rp, co->turn_us);
}

static void on_frame(void *ctx, struct eb_frame *f, struct eb_peer *pr,
		     const struct eb_back_route *back)
{
	struct eb_core *co = ctx;

	eb_metrics_stamp(co->config.metrics, EB_AGE_PEER, co->turn_us);
	if (f->type == EB_FRAME_HELLO && pr) {
		if (co->spread)
			eb_spread_heard(co->spread, pr->user,
					f->reply->body_bytes,
					f->reply->retry_after_ms, co->turn_us);
		else
			note_peer_release(co, f);
	}
	if (f->type == EB_FRAME_GOSSIP)
		on_gossip(co, f, back);
	else if (f->type == EB_FRAME_CLAIM)
		on_claim(co, f, back);
	else if (f->type == EB_FRAME_MARKS)
		on_marks(co, f);
	else if (pr)
		eb_origin_from_gate(co->origin, pr->user, f, co->turn_us);
	else
		eb_gate_from_origin(co->gate, f, back, co->turn_us);
}

static void on_lost(void *ctx, struct eb_peer *pr, int restarted)
{
	struct eb_core *co = ctx;
	struct eb_node *n = eb_nodes_get(co->nodes, pr->user);

	eb_log_write(co->config.log, EB_LOG_WARN, "core", "peer lost",
		     "upstream=%s address=%s restarted=%d", n->name,
		     pr->address, restarted);
	n->draining = 0;
	n->marks_generation = 0;
	eb_origin_lost(co->origin, pr->user, co->turn_us);
	if (restarted)
		eb_nodes_restarted(co->nodes, pr->user, co->turn_us);
}

static void on_up(void *ctx, struct eb_peer *pr)
{
	struct eb_core *co = ctx;

	eb_nodes_suspicion(co->nodes, pr->user, co->turn_us);
	eb_origin_up(co->origin, co->turn_us);
}

static void on_suspected(void *ctx, struct eb_peer *pr)
{
	struct eb_core *co = ctx;

	eb_nodes_suspicion(co->nodes, pr->user, co->turn_us);
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "peer suspected",
		     "upstream=%s owes_ms=%lld cut_off=%d",
		     eb_nodes_get(co->nodes, pr->user)->name,
		     (long long)(co->turn_us - pr->silence.asked_us) / 1000,
		     eb_nodes_cut_off(co->nodes));
	eb_origin_suspect(co->origin, pr->user, co->turn_us);
}

static void on_hello(void *ctx, const struct eb_peer *pr, struct eb_frame *f)
{
	struct eb_core *co = ctx;

	eb_origin_list_overdue(co->origin, pr->user, f, co->turn_us);
}

/* ---- Frames of other threads ---- */

/* Puts the newest release known into force at the gate and the origin. */
static void serve_release(struct eb_core *co)
{
	const struct eb_config *cf = eb_nodes_config(co->nodes);
	struct eb_node *n = eb_nodes_get(co->nodes, co->self);
	const struct eb_service_state *sv;

	if (n && n->present) {
		sv = eb_nodes_service(co->nodes, n->service, co->turn_us);
		eb_gate_configure(co->gate, n->info,
				  eb_nodes_rule(co->nodes, sv));
		if (cf->has_matches)
			eb_gate_leave(co->gate, n->info->leaving);
	} else if (cf->has_matches) {
		/* Its entry is gone: what it has is finished. */
		eb_gate_leave(co->gate, 1);
	} else {
		eb_gate_configure(co->gate, NULL, NULL);
	}
	eb_origin_serve(co->origin);
	eb_metrics_set(co->config.metrics, EB_METRIC_RELEASE,
		       (int64_t)cf->release);
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "release in force",
		     "release=%llu upstreams=%u known=%d",
		     (unsigned long long)cf->release, cf->upstream_total,
		     n && n->present);
}

/* Tells whether an older release than the peers' can be ruled out. */
static int may_serve(const struct eb_core *co)
{
	const struct eb_config *cf = eb_nodes_config(co->nodes);

	if (co->spread)
		return cf->has_matches;
	if (!cf->release || cf->index < co->heard_index)
		return 0;
	return co->heard || cf->upstream_total < 2 ||
	       co->turn_us - co->configured_us >= EB_START_WAIT_MS * 1000LL;
}

static void start_serving(struct eb_core *co)
{
	if (co->serving || !may_serve(co))
		return;
	__atomic_store_n(&co->serving, 1, __ATOMIC_RELEASE);
	serve_release(co);
}

static void apply_config(struct eb_core *co, struct eb_config *cf)
{
	/* Never back to an older state; a copy of items sees to it itself. */
	if (!co->spread && cf->index <= eb_nodes_config(co->nodes)->index &&
	    !eb_test_off("release-order"))
		return;
	if (eb_nodes_configure(co->nodes, cf, co->turn_us))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "keys of the peers could not be stored", NULL);
	if (co->claims && eb_claims_configure(co->claims, cf, co->turn_us))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "out of memory for the holders of claims", NULL);
	co->self = eb_nodes_find(co->nodes, co->config.settings->upstream);
	eb_metrics_stamp(co->config.metrics, EB_AGE_CONFIG, co->turn_us);
	if (!co->spread)
		eb_gate_note_index(co->gate, cf->index, 0);
	if (!co->configured_us)
		co->configured_us = co->turn_us;
	if (co->serving)
		serve_release(co);
	else
		start_serving(co);
}

/* Lists the other daemons, which the source knows by their upstreams. */
static void set_members(struct eb_core *co)
{
	uint32_t i, n = 0, total = eb_nodes_count(co->nodes);
	struct eb_spread_member *list = calloc(total + 1, sizeof(*list));
	const struct eb_node *node;

	if (!list)
		return;
	for (i = 0; i < total; i++) {
		node = eb_nodes_get(co->nodes, i);
		if (!node->present || node->self)
			continue;
		list[n].node = i;
		list[n++].order = eb_spread_order(node->name);
	}
	if (eb_spread_set_members(co->spread, list, n))
		eb_log_write(co->config.log, EB_LOG_ERROR, "core",
			     "out of memory for the list of daemons", NULL);
	for (i = 0; i < n; i++)
		if (eb_spread_is_reader(co->spread, list[i].node))
			eb_nodes_listen(co->nodes, list[i].node, co->turn_us);
	free(list);
}

/* Makes a configuration of the items, and puts it into force. */
static void apply_items(struct eb_core *co)
{
	struct eb_config *cf;

	co->items_changed = 0;
	cf = co->config.adapter->source->decode(
		co->config.adapter, co->config.settings,
		eb_spread_feed(co->spread), co->turn_us, co->config.log);
	if (!cf)
		return;
	apply_config(co, cf);
	eb_config_unref(cf);
	set_members(co);
}

static void tick_spread(struct eb_core *co)
{
	if (!co->spread)
		return;
	eb_spread_tick(co->spread, co->turn_us);
	eb_gate_note_index(co->gate,
			   eb_feed_revision(eb_spread_feed(co->spread)),
			   eb_spread_read_age_ms(co->spread, co->turn_us));
	if (co->items_changed)
		apply_items(co);
}

static void drain(struct eb_core *co)
{
	if (co->draining || eb_test_off("drain"))
		return;
	co->draining = 1;
	eb_gate_drain(co->gate);
	eb_metrics_set(co->config.metrics, EB_METRIC_DRAINING, 1);
	if (co->self != EB_NONE) {
		eb_nodes_get(co->nodes, co->self)->draining = 1;
		eb_nodes_changed(co->nodes, co->self, co->turn_us);
	}
	eb_log_write(co->config.log, EB_LOG_INFO, "core", "draining", NULL);
}

static void note_vms(struct eb_core *co, const struct eb_vm_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++)
		eb_nodes_note_vm(co->nodes, list->vms[i].address,
				 list->vms[i].leaving, co->turn_us);
}

static json_t *node_status(const struct eb_node *n)
{
	const char *state = "down";

	if (n->leaving)
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
	json_t *nodes = json_array();
	uint32_t claims_held = 0, claims_able = 0;
	struct eb_load ld = { 0 };
	struct eb_node *n;
	uint32_t i;

	eb_gate_load(co->gate, &ld);
	if (co->claims)
		eb_claims_slots(co->claims, &claims_held, &claims_able);
	for (i = 0; i < eb_nodes_count(co->nodes); i++) {
		n = eb_nodes_get(co->nodes, i);
		if (n->present && (n->self || n->peer))
			json_array_append_new(nodes, node_status(n));
	}
	return json_pack("{ss ss ss sI sI ss sb si si si si si si si si so}",
			 "upstream", se->upstream, "region", se->region,
			 "failure_domain", se->failure_domain, "release",
			 (json_int_t)cf->release, "index",
			 (json_int_t)cf->index, "state",
			 co->draining  ? "draining"
			 : co->serving ? "serving"
				       : "waiting",
			 "known", co->self != EB_NONE, "in_flight",
			 (int)ld.in_flight, "queued", (int)ld.queued, "slots",
			 (int)ld.slots, "service_us", (int)ld.service_us,
			 "calls_origin", (int)eb_origin_active(co->origin),
			 "calls_gate", (int)eb_gate_active(co->gate),
			 "claim_slots_held", (int)claims_held,
			 "claim_slots_able", (int)claims_able, "peers", nodes);
}

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
		eb_claims_open(co->claims, co->turn_us);
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
		note_vms(co, f->object);
	else if (f->type == EB_FRAME_QUERY)
		answer_query(co, f->object);
	else if (f->type == EB_FRAME_REPORT)
		on_report(co, f->object);
	eb_frame_unref(f);
}

/* ---- Thread ---- */

static void run_local(struct eb_core *co)
{
	struct local_frame *lf;

	while ((lf = co->first)) {
		co->first = lf->next;
		if (!co->first)
			co->last = NULL;
		if (lf->to_gate)
			eb_gate_from_origin(co->gate, lf->frame, NULL,
					    co->turn_us);
		else
			eb_origin_from_gate(co->origin, co->self, lf->frame,
					    co->turn_us);
		free(lf);
	}
}

/* Takes a batch from each ring; returns 1 when more may wait. */
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
		eb_gate_from_client(co->gate, items[i], co->turn_us);
	run_local(co);
	n = eb_ring_pop(co->config.from_front, items, EB_BATCH_FRAMES);
	more |= n == EB_BATCH_FRAMES;
	for (i = 0; i < n; i++)
		eb_origin_from_front(co->origin, items[i], co->turn_us);
	run_local(co);
	return more;
}

/* One turn: everything that waits, then the timers. */
static void turn(struct eb_core *co)
{
	int64_t now_us = eb_clock_now_us(), before_us = co->turn_us;
	int more;

	co->turn_us = now_us;
	if (before_us && now_us - before_us > PAUSE_US)
		eb_gate_resumed(co->gate, 1);
	do {
		more = take_frames(co);
		more |= eb_mesh_receive(co->mesh, &co->sink, co->turn_us);
		run_local(co);
		run_claims(co);
		run_local(co);
		if (co->items_changed)
			apply_items(co);
		co->turn_us = eb_clock_now_us();
	} while (more && co->turn_us - co->tick_us < EB_CORE_TICK_MS * 1000);
	if (!more)
		eb_gate_resumed(co->gate, 0);
	eb_gate_poll(co->gate, co->turn_us);
	if (co->turn_us - co->tick_us >= EB_CORE_TICK_MS * 1000) {
		co->tick_us = co->turn_us;
		eb_mesh_tick(co->mesh, &co->sink, co->turn_us);
		eb_nodes_tick(co->nodes, co->turn_us);
		tick_spread(co);
		start_serving(co);
		eb_gate_tick(co->gate, co->turn_us);
		eb_origin_tick(co->origin, co->turn_us);
		tell_marks(co);
		if (co->claims)
			eb_claims_tick(co->claims, co->turn_us);
		run_claims(co);
		run_local(co);
	}
	__atomic_store_n(&co->active,
			 eb_gate_active(co->gate) +
				 eb_origin_active(co->origin),
			 __ATOMIC_RELEASE);
}

/* Timers need short waits only while there are calls. */
static int wait_ms(const struct eb_core *co)
{
	int64_t wake_us = eb_gate_wake_us(co->gate, co->turn_us);
	int ms = co->active ? EB_CORE_TICK_MS : IDLE_WAIT_MS;

	if (wake_us - co->turn_us >= ms * 1000)
		return ms;
	return wake_us <= co->turn_us
		       ? 0
		       : (int)((wake_us - co->turn_us) / 1000 + 1);
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
		turn(co);
		epoll_wait(co->epoll_fd, ev, 8, wait_ms(co));
	}
	return NULL;
}

static int watch(struct eb_core *co)
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

/* Creates the parts; returns a status and sets `err`. */
static enum eb_status create_parts(struct eb_core *co, struct eb_error *err)
{
	const struct eb_core_config *cf = &co->config;
	struct eb_gate_outlets gate_out = { out_client, out_origin, co };
	struct eb_origin_outlets origin_out = { out_front, out_gate, out_ask,
						co };
	struct eb_gate_config gate = { cf->settings->upstream, co->incarnation,
				       cf->metrics, cf->tracer };
	struct eb_origin_config origin = { co->incarnation,
					   NULL,
					   cf->metrics,
					   cf->tracer,
					   NULL,
					   cf->log,
					   cf->adapter->dialect,
					   cf->settings->uploads_leave };
	struct eb_spread_outlets spread_out = { out_spread, out_changed,
						out_want, co };
	struct eb_findings fs = { 0 };

	co->mesh = eb_mesh_new(cf->settings, co->incarnation, cf->metrics,
			       cf->log, err);
	if (!co->mesh)
		return err->status;
	if (cf->adapter->source->decode) {
		co->spread = eb_spread_new(
			&spread_out, eb_spread_order(cf->settings->upstream),
			cf->settings->first_start, eb_clock_now_us());
		if (!co->spread)
			return eb_error_set(err, EB_ENOMEM, "out of memory");
	}
	co->nodes = eb_nodes_new(cf->settings, co->mesh, co->incarnation);
	if (!co->spread)
		co->claims =
			eb_claims_new(cf->settings->upstream, co->incarnation);
	origin.nodes = co->nodes;
	if (co->nodes && (co->claims || co->spread)) {
		if (co->claims)
			origin.claims = eb_claims_claimant(co->claims);
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
		return eb_error_set(err, EB_EINVAL, "cannot create the core");
	co->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (co->epoll_fd < 0 || watch(co))
		return eb_error_set(err, EB_EIO, "cannot watch descriptors");
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
		eb_core_stop(co);
		return NULL;
	}
	return co;
}

/* Stops the thread and frees everything. */
void eb_core_stop(struct eb_core *co)
{
	apr_status_t status;

	if (!co)
		return;
	__atomic_store_n(&co->stopping, 1, __ATOMIC_RELEASE);
	if (co->thread)
		apr_thread_join(&status, co->thread);
	run_local(co);
	eb_origin_free(co->origin);
	if (co->claims)
		eb_claims_free(co->claims);
	eb_gate_free(co->gate);
	eb_spread_free(co->spread);
	eb_nodes_free(co->nodes);
	eb_mesh_free(co->mesh);
	if (co->epoll_fd >= 0)
		close(co->epoll_fd);
	apr_pool_destroy(co->pool);
	free(co);
}

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

/* Puts a configuration into force; takes the reference over. */
enum eb_status eb_core_send_config(struct eb_core *co, struct eb_config *cf)
{
	return send_object(co, EB_FRAME_CONFIG, cf, free_config);
}

/* Passes on the platform's list of VMs; takes it over. */
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

/* Passes on what the source has brought; takes it over. */
enum eb_status eb_core_send_report(struct eb_core *co,
				   struct eb_source_report *rp)
{
	return send_object(co, EB_FRAME_REPORT, rp, free_report);
}

/* Names the source that the core directs from now on; NULL for none. */
void eb_core_set_source(struct eb_core *co, struct eb_source *sc)
{
	__atomic_store_n(&co->source, sc, __ATOMIC_RELEASE);
}

/* Tells whether requests are served; from any thread. */
int eb_core_serving(const struct eb_core *co)
{
	return __atomic_load_n(&co->serving, __ATOMIC_ACQUIRE);
}

/* Asks the core and waits; returns NULL when it does not answer in time. */
static json_t *ask(struct eb_core *co, enum query_kind kind)
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
	until.tv_sec += STATUS_TIMEOUT_S;
	pthread_mutex_lock(&qu->lock);
	/* This reference keeps it, whatever the frame does. */
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

/* Returns a new object with the state of this daemon, or NULL. */
json_t *eb_core_status(struct eb_core *co)
{
	return ask(co, QUERY_STATUS);
}

/* Lets this daemon's upstream leave: its gate takes no new calls. */
void eb_core_drain(struct eb_core *co)
{
	json_decref(ask(co, QUERY_DRAIN));
}

/* Takes the operator's word that no key was used so far. */
void eb_core_open_claims(struct eb_core *co)
{
	json_decref(ask(co, QUERY_OPEN_CLAIMS));
}

/* Counts the calls that are not finished; from any thread. */
uint32_t eb_core_active(const struct eb_core *co)
{
	return __atomic_load_n(&co->active, __ATOMIC_ACQUIRE);
}
