#include "eb_mesh.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "eb_wire.h"
#include "eb_zap.h"
#include "eb_zmq.h"

#define EVENTS_MAX 64

struct eb_mesh {
	const struct eb_settings *settings;
	struct eb_metrics *metrics;
	struct eb_log *log;
	uint64_t incarnation;
	void *zmq;
	void *router;
	struct eb_zap *zap; /* NULL without CURVE */
	int epoll_fd;
	struct eb_peer *peers[EB_PEERS_MAX];
	uint32_t peer_count;
	struct eb_liveness_clock clock;
	uint8_t router_readable; /* may have messages to read */
	uint8_t zap_readable;
	msgpack_sbuffer out;
};

/* The data pointer of an epoll event: a tag or a struct eb_peer. */
enum epoll_tag {
	TAG_ROUTER = 1,
	TAG_ZAP = 2,
};

static int add_to_epoll(struct eb_mesh *ms, void *socket, void *tag)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = tag };
	size_t n = sizeof(int);
	int fd;

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &n))
		return -1;
	return epoll_ctl(ms->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
}

static int open_zap(struct eb_mesh *ms)
{
	if (ms->settings->plain_peers)
		return 0;
	ms->zap = eb_zap_new(ms->zmq, ms->metrics, ms->log);
	if (!ms->zap)
		return -1;
	ms->zap_readable = 1;
	return add_to_epoll(ms, eb_zap_socket(ms->zap), (void *)TAG_ZAP);
}

static int open_router(struct eb_mesh *ms)
{
	char endpoint[96];

	ms->router = zmq_socket(ms->zmq, ZMQ_ROUTER);
	if (!ms->router)
		return -1;
	eb_zmq_set_common(ms->router);
	eb_zmq_set_int(ms->router, ZMQ_ROUTER_MANDATORY, 1);
	if (eb_zmq_set_curve(ms->router, ms->settings, NULL))
		return -1;
	snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		 ms->settings->daemon_address);
	if (zmq_bind(ms->router, endpoint))
		return -1;
	ms->router_readable = 1;
	return add_to_epoll(ms, ms->router, (void *)TAG_ROUTER);
}

/*
 * Binds the daemon's endpoint. Returns NULL and sets `err` when that fails,
 * for instance because the address is in use.
 */
struct eb_mesh *eb_mesh_new(const struct eb_settings *se, uint64_t incarnation,
			    struct eb_metrics *mt, struct eb_log *lg,
			    struct eb_error *err)
{
	struct eb_mesh *ms = calloc(1, sizeof(*ms));

	if (!ms) {
		eb_error_set(err, EB_ENOMEM, "out of memory");
		return NULL;
	}
	ms->settings = se;
	ms->metrics = mt;
	ms->log = lg;
	ms->incarnation = incarnation;
	msgpack_sbuffer_init(&ms->out);
	ms->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ms->zmq = zmq_ctx_new();
	if (ms->zmq)
		zmq_ctx_set(ms->zmq, ZMQ_MAX_SOCKETS, 2 * EB_PEERS_MAX + 16);
	if (ms->epoll_fd < 0 || !ms->zmq || open_zap(ms) || open_router(ms)) {
		eb_error_set(err, EB_EIO, "cannot listen on %s: %s",
			     se->daemon_address, zmq_strerror(errno));
		eb_mesh_free(ms);
		return NULL;
	}
	return ms;
}

/* Closes all sockets and frees the mesh. NULL is allowed. */
void eb_mesh_free(struct eb_mesh *ms)
{
	if (!ms)
		return;
	while (ms->peer_count)
		eb_mesh_close(ms, ms->peers[ms->peer_count - 1]);
	if (ms->router)
		zmq_close(ms->router);
	eb_zap_free(ms->zap);
	if (ms->zmq)
		zmq_ctx_term(ms->zmq);
	if (ms->epoll_fd >= 0)
		close(ms->epoll_fd);
	msgpack_sbuffer_destroy(&ms->out);
	free(ms);
}

/* Returns a descriptor that is readable when frames may have arrived. */
int eb_mesh_fd(const struct eb_mesh *ms)
{
	return ms->epoll_fd;
}

/*
 * Replaces the set of public keys that may connect; see eb_zap_allow_keys().
 */
enum eb_status eb_mesh_allow_keys(struct eb_mesh *ms,
				  const struct eb_config *cf)
{
	return ms->zap ? eb_zap_allow_keys(ms->zap, cf) : EB_OK;
}

static void close_socket(struct eb_mesh *ms, void *socket)
{
	size_t n = sizeof(int);
	int fd;

	if (!zmq_getsockopt(socket, ZMQ_FD, &fd, &n))
		epoll_ctl(ms->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	zmq_close(socket);
}

/* Opens a socket to the address of a peer; NULL on failure. */
static void *open_dealer(struct eb_mesh *ms, struct eb_peer *pr)
{
	void *socket = zmq_socket(ms->zmq, ZMQ_DEALER);
	char endpoint[96];

	if (!socket)
		return NULL;
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", pr->address);
	eb_zmq_set_common(socket);
	eb_zmq_set_int(socket, ZMQ_IMMEDIATE, 1);
	eb_zmq_set_int(socket, ZMQ_RECONNECT_IVL, EB_PEER_RECONNECT_MS);
	eb_zmq_set_int(socket, ZMQ_RECONNECT_IVL_MAX, EB_PEER_RECONNECT_MAX_MS);
	if (eb_zmq_set_curve(socket, ms->settings, pr->key) ||
	    zmq_connect(socket, endpoint) || add_to_epoll(ms, socket, pr)) {
		zmq_close(socket);
		return NULL;
	}
	return socket;
}

/*
 * Opens a socket to a daemon. Nothing is queued before the connection is
 * established, so that a later daemon at this address gets no old messages.
 * Returns NULL when EB_PEERS_MAX is reached, the address or key is invalid, or
 * memory runs out.
 */
struct eb_peer *eb_mesh_dial(struct eb_mesh *ms, const char *address,
			     const char *key, uint32_t user, int64_t now_us)
{
	struct eb_peer *pr;

	if (ms->peer_count == EB_PEERS_MAX)
		return NULL;
	pr = calloc(1, sizeof(*pr));
	if (!pr)
		return NULL;
	snprintf(pr->address, sizeof(pr->address), "%s", address);
	snprintf(pr->key, sizeof(pr->key), "%s", key);
	pr->user = user;
	pr->last_used_us = now_us;
	eb_liveness_received(&pr->liveness, now_us);
	pr->dialled_us = now_us;
	pr->idle_heartbeat_ms = EB_PEER_HEARTBEAT_IDLE_MS;
	pr->socket = open_dealer(ms, pr);
	if (!pr->socket) {
		free(pr);
		return NULL;
	}
	ms->peers[ms->peer_count++] = pr;
	eb_metrics_set(ms->metrics, EB_METRIC_PEERS_ACTIVE, ms->peer_count);
	return pr;
}

/* Closes the second connection to a peer, if there is one. */
static void close_second(struct eb_mesh *ms, struct eb_peer *pr)
{
	if (pr->second)
		close_socket(ms, pr->second);
	pr->second = NULL;
	memset(&pr->reconnect, 0, sizeof(pr->reconnect));
}

/* Closes the sockets to a peer and frees the peer. */
void eb_mesh_close(struct eb_mesh *ms, struct eb_peer *pr)
{
	uint32_t i;

	for (i = 0; i < ms->peer_count; i++)
		if (ms->peers[i] == pr)
			break;
	assert(i < ms->peer_count);
	ms->peers[i] = ms->peers[--ms->peer_count];
	close_second(ms, pr);
	close_socket(ms, pr->socket);
	free(pr);
	eb_metrics_set(ms->metrics, EB_METRIC_PEERS_ACTIVE, ms->peer_count);
}

static void count_out(struct eb_mesh *ms, const struct eb_frame *f)
{
	eb_metrics_add(ms->metrics, EB_METRIC_FRAMES_OUT, 1);
	eb_metrics_add(ms->metrics, EB_METRIC_BYTES_OUT, (int64_t)ms->out.size);
	if (f->type == EB_FRAME_HELLO || f->type == EB_FRAME_GOSSIP ||
	    f->type == EB_FRAME_CLAIM || f->type == EB_FRAME_MARKS)
		eb_metrics_add(ms->metrics, EB_METRIC_CONTROL_BYTES,
			       (int64_t)ms->out.size);
}

static enum eb_status send_failed(struct eb_mesh *ms)
{
	eb_metrics_add(ms->metrics, EB_METRIC_PEER_SEND_FAILED, 1);
	return errno == EAGAIN ? EB_EAGAIN : EB_EPEER;
}

/*
 * Returns the version in which to send a frame. Heartbeats to a peer that has
 * not answered yet alternate, the newest version first.
 */
static uint8_t version_for(const struct eb_peer *pr, const struct eb_frame *f)
{
	if (f->type != EB_FRAME_HELLO)
		return pr->wire_version ? pr->wire_version : EB_WIRE_VERSION;
	if (!pr->up)
		return pr->dial_hellos % 2 ? EB_WIRE_VERSION_MIN
					   : EB_WIRE_VERSION;
	return pr->wire_version;
}

static enum eb_status send_on(struct eb_mesh *ms, struct eb_peer *pr,
			      void *socket, struct eb_frame *f, int64_t now_us)
{
	f->sender = ms->incarnation;
	/* A restarted daemon, with another incarnation, must accept it too. */
	f->target = f->type == EB_FRAME_HELLO ? 0 : pr->incarnation;
	msgpack_sbuffer_clear(&ms->out);
	if (eb_wire_encode(f, version_for(pr, f), &ms->out))
		return EB_EINVAL;
	pr->readable = 1;
	if (zmq_send(socket, ms->out.data, ms->out.size, ZMQ_DONTWAIT) < 0)
		return send_failed(ms);
	pr->last_sent_us = now_us;
	if (f->type != EB_FRAME_HELLO)
		pr->busy_us = now_us;
	count_out(ms, f);
	return EB_OK;
}

/*
 * Sends a frame to a peer; the reference stays with the caller. After an error
 * the frame has not been sent and will not be: EB_EAGAIN when the socket's
 * queue is full or it has no connection, EB_EINVAL for a frame that is not sent
 * between daemons, EB_EPEER for any other failure.
 */
enum eb_status eb_mesh_send(struct eb_mesh *ms, struct eb_peer *pr,
			    struct eb_frame *f, int64_t now_us)
{
	return send_on(ms, pr, pr->socket, f, now_us);
}

/*
 * Sends a frame to the sender of a received frame, through the ROUTER. The
 * errors are those of eb_mesh_send().
 */
enum eb_status eb_mesh_reply(struct eb_mesh *ms,
			     const struct eb_routing_id *back,
			     struct eb_frame *f)
{
	f->sender = ms->incarnation;
	msgpack_sbuffer_clear(&ms->out);
	if (eb_wire_encode(f,
			   back->wire_version ? back->wire_version
					      : EB_WIRE_VERSION,
			   &ms->out))
		return EB_EINVAL;
	ms->router_readable = 1;
	if (zmq_send(ms->router, back->bytes, back->used_bytes,
		     ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
	    zmq_send(ms->router, ms->out.data, ms->out.size, ZMQ_DONTWAIT) < 0)
		return send_failed(ms);
	count_out(ms, f);
	return EB_OK;
}

/*
 * Decodes a message. Returns NULL for a malformed one and for one to another
 * incarnation, and counts it.
 */
static struct eb_frame *decode(struct eb_mesh *ms, const void *bytes, size_t n)
{
	struct eb_frame *f;

	eb_metrics_add(ms->metrics, EB_METRIC_FRAMES_IN, 1);
	eb_metrics_add(ms->metrics, EB_METRIC_BYTES_IN, (int64_t)n);
	if (eb_wire_decode(bytes, n, &f)) {
		eb_metrics_add(ms->metrics, EB_METRIC_BAD_FRAMES, 1);
		return NULL;
	}
	if (!f->sender || (f->target && f->target != ms->incarnation)) {
		eb_metrics_add(ms->metrics, EB_METRIC_STALE_FRAMES, 1);
		eb_frame_unref(f);
		return NULL;
	}
	return f;
}

/*
 * Updates the liveness and incarnation of a peer that has sent a frame. A new
 * incarnation means that the calls sent to the old one are lost.
 */
static void update_incarnation(struct eb_mesh *ms, struct eb_peer *pr,
			       const struct eb_frame *f,
			       const struct eb_mesh_sink *sink, int64_t now_us)
{
	int suspected = eb_liveness_received(&pr->liveness, now_us);

	if (f->wire_version > pr->wire_version)
		pr->wire_version = f->wire_version;
	if (pr->up && pr->incarnation == f->sender) {
		if (suspected)
			sink->up(sink->ctx, pr);
		return;
	}
	if (pr->incarnation && pr->incarnation != f->sender) {
		eb_metrics_add(ms->metrics, EB_METRIC_PEERS_LOST, 1);
		sink->lost(sink->ctx, pr, 1);
	}
	pr->incarnation = f->sender;
	pr->wire_version = f->wire_version;
	pr->up = 1;
	sink->up(sink->ctx, pr);
}

/* Reads the answers on the second connection to a peer. */
static void receive_second(struct eb_mesh *ms, struct eb_peer *pr,
			   int64_t now_us)
{
	struct eb_frame *f;
	zmq_msg_t msg;

	for (;;) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, pr->second, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return;
		}
		f = decode(ms, zmq_msg_data(&msg), zmq_msg_size(&msg));
		zmq_msg_close(&msg);
		if (f)
			eb_reconnect_answered(&pr->reconnect,
					      f->sender != pr->incarnation,
					      now_us);
		eb_frame_unref(f);
	}
}

static int receive_peer(struct eb_mesh *ms, struct eb_peer *pr,
			const struct eb_mesh_sink *sink, int64_t now_us)
{
	struct eb_frame *f;
	zmq_msg_t msg;
	int i;

	if (pr->second)
		receive_second(ms, pr, now_us);
	for (i = 0; i < EB_BATCH_FRAMES; i++) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, pr->socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			pr->readable = 0;
			return 0;
		}
		f = decode(ms, zmq_msg_data(&msg), zmq_msg_size(&msg));
		zmq_msg_close(&msg);
		if (!f)
			continue;
		if (f->type == EB_FRAME_HELLO)
			pr->knows_checks =
				f->reply->body_kind == EB_HELLO_KNOWS_CHECKS;
		update_incarnation(ms, pr, f, sink, now_us);
		sink->frame(sink->ctx, f, pr, NULL);
	}
	return 1;
}

static int receive_router(struct eb_mesh *ms, const struct eb_mesh_sink *sink)
{
	struct eb_routing_id back;
	struct eb_frame *f;
	zmq_msg_t msg;
	int i, n;

	for (i = 0; i < EB_BATCH_FRAMES; i++) {
		n = zmq_recv(ms->router, back.bytes, sizeof(back.bytes),
			     ZMQ_DONTWAIT);
		if (n < 0) {
			ms->router_readable = 0;
			return 0;
		}
		back.used_bytes = (uint8_t)n;
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, ms->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			continue;
		}
		f = NULL;
		if (zmq_msg_more(&msg)) {
			eb_zmq_skip_parts(ms->router);
			eb_metrics_add(ms->metrics, EB_METRIC_BAD_FRAMES, 1);
		} else if (n <= (int)sizeof(back.bytes)) {
			f = decode(ms, zmq_msg_data(&msg), zmq_msg_size(&msg));
		} else {
			eb_metrics_add(ms->metrics, EB_METRIC_BAD_FRAMES, 1);
		}
		zmq_msg_close(&msg);
		if (!f)
			continue;
		back.wire_version = f->wire_version;
		sink->frame(sink->ctx, f, NULL, &back);
	}
	return 1;
}

/* Marks the sockets that epoll reports as readable. */
static void mark_readable(struct eb_mesh *ms)
{
	struct epoll_event ev[EVENTS_MAX];
	int i, n = epoll_wait(ms->epoll_fd, ev, EVENTS_MAX, 0);

	for (i = 0; i < n; i++) {
		if (ev[i].data.ptr == (void *)TAG_ROUTER)
			ms->router_readable = 1;
		else if (ev[i].data.ptr == (void *)TAG_ZAP)
			ms->zap_readable = 1;
		else
			((struct eb_peer *)ev[i].data.ptr)->readable = 1;
	}
}

/*
 * Passes a batch of received frames to the sink. Returns 1 when more may be
 * waiting: the caller then calls again without sleeping. The descriptors of
 * ZeroMQ are edge-triggered, and a send can consume the event too, so a socket
 * is read until it is empty after each event and after each send.
 */
int eb_mesh_receive(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		    int64_t now_us)
{
	uint32_t i;
	int more = 0;

	mark_readable(ms);
	if (ms->zap_readable && ms->zap) {
		ms->zap_readable = (uint8_t)eb_zap_receive(ms->zap);
		more |= ms->zap_readable;
	}
	if (ms->router_readable)
		more |= receive_router(ms, sink);
	for (i = 0; i < ms->peer_count; i++)
		if (ms->peers[i]->readable)
			more |= receive_peer(ms, ms->peers[i], sink, now_us);
	for (i = 0; i < ms->peer_count && !more; i++)
		more = ms->peers[i]->readable;
	return more || ms->router_readable;
}

/* Tells whether a socket to a peer has a connection that takes a frame. */
static int is_connected(struct eb_peer *pr, void *socket)
{
	/* The call may consume an event of the descriptor. */
	pr->readable = 1;
	return eb_zmq_is_connected(socket);
}

/*
 * Sends a heartbeat in the newest version as well: a peer that answered in an
 * older one may be new, and was asked in that version. An old one ignores it.
 */
static void ask_for_newest(struct eb_mesh *ms, struct eb_peer *pr,
			   const struct eb_frame *hello)
{
	msgpack_sbuffer_clear(&ms->out);
	if (!eb_wire_encode(hello, EB_WIRE_VERSION, &ms->out) &&
	    zmq_send(pr->socket, ms->out.data, ms->out.size, ZMQ_DONTWAIT) >= 0)
		count_out(ms, hello);
}

static void send_hello(struct eb_mesh *ms, struct eb_peer *pr,
		       const struct eb_mesh_sink *sink, int64_t now_us)
{
	struct eb_frame *f;

	pr->last_hello_us = now_us;
	eb_liveness_heartbeat_sent(&pr->liveness, now_us);
	if (!pr->up && !is_connected(pr, pr->socket))
		return;
	f = eb_frame_new(EB_FRAME_HELLO, 0);
	if (!f)
		return;
	sink->hello(sink->ctx, pr, f);
	if (!eb_mesh_send(ms, pr, f, now_us) && !pr->up)
		pr->dial_hellos++;
	if (pr->up && pr->wire_version < EB_WIRE_VERSION)
		ask_for_newest(ms, pr, f);
	eb_frame_unref(f);
}

/*
 * Tells whether the next heartbeat is due. Heartbeats are also sent during
 * other traffic: only their replies tell every origin in time that a gate is
 * draining.
 */
static int hello_due(const struct eb_peer *pr, int64_t now_us)
{
	int64_t interval_ms = pr->idle_heartbeat_ms;

	if (!pr->up)
		interval_ms = eb_liveness_dial_interval_ms(pr->dial_hellos);
	else if (now_us - pr->busy_us < EB_PEER_BUSY_MS * 1000)
		interval_ms = EB_PEER_HEARTBEAT_MS;
	return now_us - pr->last_hello_us >= interval_ms * 1000;
}

/* Closes the connection and opens a new one on the same socket. */
static void reconnect(struct eb_peer *pr, int64_t now_us)
{
	char endpoint[96];

	snprintf(endpoint, sizeof(endpoint), "tcp://%s", pr->address);
	zmq_disconnect(pr->socket, endpoint);
	zmq_connect(pr->socket, endpoint);
	pr->readable = 1;
	pr->dialled_us = now_us;
	pr->dial_hellos = 0;
	eb_liveness_received(&pr->liveness, now_us);
}

/*
 * Dials a peer again that could not be connected to for EB_PEER_REDIAL_MS:
 * ZeroMQ stops reconnecting for good when a key is refused, and a connection
 * that gets no answer is tried again only after seconds. With a connection, the
 * answer to the heartbeat is awaited: a daemon that starts beside hundreds of
 * others may need longer for it.
 */
static void redial(struct eb_peer *pr, int64_t now_us)
{
	if (now_us - pr->dialled_us < EB_PEER_REDIAL_MS * 1000)
		return;
	if (is_connected(pr, pr->socket))
		pr->dialled_us = now_us;
	else
		reconnect(pr, now_us);
}

/*
 * Restarts the failure detection of a peer after a pause of this process, and
 * reports a suspected peer as up.
 */
static void reset_liveness(struct eb_peer *pr, const struct eb_mesh_sink *sink)
{
	int suspected = pr->liveness.suspected;

	eb_liveness_reset(&pr->liveness);
	if (suspected)
		sink->up(sink->ctx, pr);
}

/*
 * Reports a peer as suspected or lost, once each. The link to an unresponsive
 * peer is reconnected, since a device on the path may have dropped the state of
 * the old connection.
 */
static void check_liveness(struct eb_mesh *ms, struct eb_peer *pr,
			   const struct eb_mesh_sink *sink, int64_t now_us)
{
	switch (eb_liveness_get(&pr->liveness, &ms->clock, now_us)) {
	case EB_LIVENESS_ALIVE:
		return;
	case EB_LIVENESS_SUSPECTED:
		if (!pr->up || pr->liveness.suspected)
			return;
		pr->liveness.suspected = 1;
		eb_metrics_add(ms->metrics, EB_METRIC_PEERS_SUSPECTED, 1);
		sink->suspected(sink->ctx, pr);
		return;
	case EB_LIVENESS_LOST:
		if (pr->up) {
			pr->up = 0;
			pr->dial_hellos = 0;
			eb_metrics_add(ms->metrics, EB_METRIC_PEERS_LOST, 1);
			sink->lost(sink->ctx, pr, 0);
		}
		reconnect(pr, now_us);
	}
}

/* Sends a heartbeat on the second connection to a peer. */
static void send_check(struct eb_mesh *ms, struct eb_peer *pr, int64_t now_us)
{
	struct eb_frame *f;

	if (!is_connected(pr, pr->second))
		return;
	f = eb_frame_new(EB_FRAME_HELLO, 0);
	if (!f)
		return;
	f->credit_bytes = EB_HELLO_CHECK;
	if (!send_on(ms, pr, pr->second, f, now_us))
		eb_reconnect_asked(&pr->reconnect, now_us);
	eb_frame_unref(f);
}

/*
 * Replaces the silent connection to a peer by the second one. The heartbeat
 * that lists the waiting calls goes first: a new call that arrived before it
 * would hide from the gate that older ones have not arrived.
 */
static void replace_connection(struct eb_mesh *ms, struct eb_peer *pr,
			       const struct eb_mesh_sink *sink, int64_t now_us)
{
	struct eb_frame *f = eb_frame_new(EB_FRAME_HELLO, 0);
	enum eb_status st;

	if (!f)
		return;
	f->credit_bytes = EB_HELLO_REPLACES;
	sink->hello(sink->ctx, pr, f);
	st = send_on(ms, pr, pr->second, f, now_us);
	eb_log_write(ms->log, EB_LOG_WARN, "mesh",
		     st ? "silent connection not replaced"
			: "silent connection replaced",
		     "address=%s silent_ms=%lld calls=%u restarted=%u",
		     pr->address,
		     (long long)(now_us - pr->liveness.asked_us) / 1000,
		     f->data_bytes / (uint32_t)sizeof(uint64_t),
		     pr->reconnect.restarted);
	eb_frame_unref(f);
	if (st) {
		close_second(ms, pr);
		return;
	}
	eb_metrics_add(ms->metrics, EB_METRIC_SILENT_REPLACED, 1);
	close_socket(ms, pr->socket);
	pr->socket = pr->second;
	pr->second = NULL;
	close_second(ms, pr);
	pr->dialled_us = now_us;
	pr->last_hello_us = now_us;
	eb_liveness_received(&pr->liveness, now_us);
	eb_liveness_heartbeat_sent(&pr->liveness, now_us);
	sink->up(sink->ctx, pr);
}

/* Finds out whether a suspected peer or only the connection to it is silent. */
static void check_connection(struct eb_mesh *ms, struct eb_peer *pr,
			     const struct eb_mesh_sink *sink, int64_t now_us)
{
	int suspected = pr->up && pr->knows_checks && pr->liveness.suspected;

	switch (eb_reconnect_next(&pr->reconnect, &ms->clock, suspected,
				  now_us)) {
	case EB_RECONNECT_WAIT:
		return;
	case EB_RECONNECT_DIAL:
		close_second(ms, pr);
		pr->second = open_dealer(ms, pr);
		if (pr->second)
			eb_reconnect_dialled(&pr->reconnect, now_us);
		return;
	case EB_RECONNECT_ASK:
		send_check(ms, pr, now_us);
		return;
	case EB_RECONNECT_REPLACE:
		replace_connection(ms, pr, sink, now_us);
		return;
	case EB_RECONNECT_CLOSE:
		close_second(ms, pr);
	}
}

/* Sends a heartbeat at once, unless one has not been answered yet. */
void eb_mesh_heartbeat_now(struct eb_mesh *ms, struct eb_peer *pr,
			   const struct eb_mesh_sink *sink, int64_t now_us)
{
	if (pr->up && !pr->liveness.asked_us)
		send_hello(ms, pr, sink, now_us);
}

/*
 * Sends the heartbeats that are due, detects unresponsive peers and reconnects
 * to them. To be called regularly: a long time between two calls counts as a
 * pause of this process, after which failure detection starts anew.
 */
void eb_mesh_tick(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		  int64_t now_us)
{
	int paused = eb_liveness_turn(&ms->clock, now_us);
	struct eb_peer *pr;
	uint32_t i;

	for (i = 0; i < ms->peer_count; i++) {
		pr = ms->peers[i];
		if (paused)
			reset_liveness(pr, sink);
		check_liveness(ms, pr, sink, now_us);
		check_connection(ms, pr, sink, now_us);
		if (!pr->up)
			redial(pr, now_us);
		if (hello_due(pr, now_us))
			send_hello(ms, pr, sink, now_us);
	}
}
