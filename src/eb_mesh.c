#include "eb_mesh.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "eb_wire.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_PARTS_MAX 8
#define ZAP_PART_BYTES 256
#define KEY_BYTES 32
#define EVENTS_MAX 64

struct eb_mesh {
	const struct eb_settings *settings;
	struct eb_metrics *metrics;
	struct eb_log *log;
	uint64_t incarnation;
	void *zmq;
	void *router;
	void *zap; /* NULL without CURVE */
	int epoll_fd;
	struct eb_peer *peers[EB_PEERS_MAX];
	uint32_t peer_count;
	struct eb_liveness_clock clock;
	uint8_t router_readable; /* may have messages to read */
	uint8_t zap_readable;
	apr_pool_t *pool;
	apr_pool_t *key_pool;
	apr_hash_t *keys; /* public keys that may connect, 32 bytes each */
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

static void set_int(void *socket, int option, int value)
{
	int rc = zmq_setsockopt(socket, option, &value, sizeof(value));

	assert(!rc);
	(void)rc;
}

static void set_common(void *socket)
{
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, EB_PEER_HIGH_WATER_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, EB_PEER_HIGH_WATER_MESSAGES);
	set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
}

/*
 * Sets the daemon's own key pair. Without `server_key` the socket is the CURVE
 * server, which checks the keys of its peers by ZAP. Returns 0, or -1 with
 * errno.
 */
static int set_curve(struct eb_mesh *ms, void *socket, const char *server_key)
{
	const struct eb_settings *se = ms->settings;

	if (se->plain_peers)
		return 0;
	if (zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, se->curve_public, 41) ||
	    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, se->curve_secret, 41))
		return -1;
	if (server_key)
		return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server_key,
				      41);
	set_int(socket, ZMQ_CURVE_SERVER, 1);
	return zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "ebonypier", 9);
}

static int open_zap(struct eb_mesh *ms)
{
	if (ms->settings->plain_peers)
		return 0;
	ms->zap = zmq_socket(ms->zmq, ZMQ_REP);
	if (!ms->zap)
		return -1;
	set_int(ms->zap, ZMQ_LINGER, 0);
	if (zmq_bind(ms->zap, ZAP_ENDPOINT))
		return -1;
	ms->zap_readable = 1;
	return add_to_epoll(ms, ms->zap, (void *)TAG_ZAP);
}

static int open_router(struct eb_mesh *ms)
{
	char endpoint[96];

	ms->router = zmq_socket(ms->zmq, ZMQ_ROUTER);
	if (!ms->router)
		return -1;
	set_common(ms->router);
	set_int(ms->router, ZMQ_ROUTER_MANDATORY, 1);
	if (set_curve(ms, ms->router, NULL))
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
	apr_pool_create(&ms->pool, NULL);
	ms->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ms->zmq = zmq_ctx_new();
	if (ms->zmq)
		zmq_ctx_set(ms->zmq, ZMQ_MAX_SOCKETS, EB_PEERS_MAX + 16);
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
	if (ms->zap)
		zmq_close(ms->zap);
	if (ms->zmq)
		zmq_ctx_term(ms->zmq);
	if (ms->epoll_fd >= 0)
		close(ms->epoll_fd);
	msgpack_sbuffer_destroy(&ms->out);
	apr_pool_destroy(ms->pool);
	free(ms);
}

/* Returns a descriptor that is readable when frames may have arrived. */
int eb_mesh_fd(const struct eb_mesh *ms)
{
	return ms->epoll_fd;
}

/*
 * Replaces the set of public keys that may connect by those of the daemons in
 * `cf`. Returns EB_ENOMEM, with the old set in force, when memory runs out.
 */
enum eb_status eb_mesh_allow_keys(struct eb_mesh *ms,
				  const struct eb_config *cf)
{
	apr_pool_t *pool;
	apr_hash_t *keys;
	uint8_t *key;
	uint32_t i;

	if (apr_pool_create(&pool, ms->pool) != APR_SUCCESS)
		return EB_ENOMEM;
	keys = apr_hash_make(pool);
	for (i = 0; i < cf->upstream_total; i++) {
		if (!cf->upstreams[i]->key[0])
			continue;
		key = apr_palloc(pool, KEY_BYTES);
		if (zmq_z85_decode(key, cf->upstreams[i]->key))
			apr_hash_set(keys, key, KEY_BYTES, key);
	}
	if (ms->key_pool)
		apr_pool_destroy(ms->key_pool);
	ms->key_pool = pool;
	ms->keys = keys;
	return EB_OK;
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
	char endpoint[96];

	if (ms->peer_count == EB_PEERS_MAX)
		return NULL;
	pr = calloc(1, sizeof(*pr));
	if (!pr)
		return NULL;
	snprintf(pr->address, sizeof(pr->address), "%s", address);
	snprintf(pr->key, sizeof(pr->key), "%s", key);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	pr->user = user;
	pr->last_used_us = now_us;
	eb_liveness_received(&pr->liveness, now_us);
	pr->dialled_us = now_us;
	pr->idle_heartbeat_ms = EB_PEER_HEARTBEAT_IDLE_MS;
	pr->socket = zmq_socket(ms->zmq, ZMQ_DEALER);
	if (!pr->socket) {
		free(pr);
		return NULL;
	}
	set_common(pr->socket);
	set_int(pr->socket, ZMQ_IMMEDIATE, 1);
	set_int(pr->socket, ZMQ_RECONNECT_IVL, EB_PEER_RECONNECT_MS);
	set_int(pr->socket, ZMQ_RECONNECT_IVL_MAX, EB_PEER_RECONNECT_MAX_MS);
	if (set_curve(ms, pr->socket, pr->key) ||
	    zmq_connect(pr->socket, endpoint) ||
	    add_to_epoll(ms, pr->socket, pr)) {
		zmq_close(pr->socket);
		free(pr);
		return NULL;
	}
	ms->peers[ms->peer_count++] = pr;
	eb_metrics_set(ms->metrics, EB_METRIC_PEERS_ACTIVE, ms->peer_count);
	return pr;
}

/* Closes the socket to a peer and frees the peer. */
void eb_mesh_close(struct eb_mesh *ms, struct eb_peer *pr)
{
	size_t n = sizeof(int);
	uint32_t i;
	int fd;

	for (i = 0; i < ms->peer_count; i++)
		if (ms->peers[i] == pr)
			break;
	assert(i < ms->peer_count);
	ms->peers[i] = ms->peers[--ms->peer_count];
	if (!zmq_getsockopt(pr->socket, ZMQ_FD, &fd, &n))
		epoll_ctl(ms->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	zmq_close(pr->socket);
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

/*
 * Sends a frame to a peer; the reference stays with the caller. After an error
 * the frame has not been sent and will not be: EB_EAGAIN when the socket's
 * queue is full or it has no connection, EB_EINVAL for a frame that is not sent
 * between daemons, EB_EPEER for any other failure.
 */
enum eb_status eb_mesh_send(struct eb_mesh *ms, struct eb_peer *pr,
			    struct eb_frame *f, int64_t now_us)
{
	f->sender = ms->incarnation;
	/* A restarted daemon, with another incarnation, must accept it too. */
	f->target = f->type == EB_FRAME_HELLO ? 0 : pr->incarnation;
	msgpack_sbuffer_clear(&ms->out);
	if (eb_wire_encode(f, version_for(pr, f), &ms->out))
		return EB_EINVAL;
	pr->readable = 1;
	if (zmq_send(pr->socket, ms->out.data, ms->out.size, ZMQ_DONTWAIT) < 0)
		return send_failed(ms);
	pr->last_sent_us = now_us;
	if (f->type != EB_FRAME_HELLO)
		pr->busy_us = now_us;
	count_out(ms, f);
	return EB_OK;
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

static int receive_peer(struct eb_mesh *ms, struct eb_peer *pr,
			const struct eb_mesh_sink *sink, int64_t now_us)
{
	struct eb_frame *f;
	zmq_msg_t msg;
	int i;

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
		update_incarnation(ms, pr, f, sink, now_us);
		sink->frame(sink->ctx, f, pr, NULL);
	}
	return 1;
}

/* Discards the remaining parts of a multipart message. */
static void skip_parts(void *socket)
{
	size_t n = sizeof(int);
	zmq_msg_t msg;
	int more = 1;

	while (more) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return;
		}
		zmq_msg_close(&msg);
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &n);
	}
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
			skip_parts(ms->router);
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

struct zap_request {
	char parts[ZAP_PARTS_MAX][ZAP_PART_BYTES];
	int sizes[ZAP_PARTS_MAX];
	int count;
};

static int read_zap_request(void *socket, struct zap_request *rq)
{
	size_t size = sizeof(int);
	int more = 1, n;

	rq->count = 0;
	while (more) {
		if (rq->count == ZAP_PARTS_MAX) {
			skip_parts(socket);
			return 0;
		}
		n = zmq_recv(socket, rq->parts[rq->count], ZAP_PART_BYTES,
			     ZMQ_DONTWAIT);
		if (n < 0)
			return -1;
		if (n > ZAP_PART_BYTES)
			n = ZAP_PART_BYTES;
		rq->sizes[rq->count++] = n;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return 0;
}

/*
 * Answers ZAP requests of ZeroMQ, which ask whether a peer may connect (RFC
 * 27). The parts are: version, request, domain, address, identity, mechanism,
 * key. Returns 1 when more requests may be waiting.
 */
static int receive_zap(struct eb_mesh *ms)
{
	struct zap_request rq;
	int ok, i;

	for (i = 0; i < EB_BATCH_FRAMES; i++) {
		if (read_zap_request(ms->zap, &rq)) {
			ms->zap_readable = 0;
			return 0;
		}
		ok = rq.count >= 7 && rq.sizes[6] == KEY_BYTES && ms->keys &&
		     apr_hash_get(ms->keys, rq.parts[6], KEY_BYTES);
		if (!ok) {
			eb_metrics_add(ms->metrics, EB_METRIC_PEER_AUTH_FAILED,
				       1);
			eb_log_write(ms->log, EB_LOG_WARN, "mesh",
				     "refused a peer with an unknown key",
				     "address=%.*s",
				     rq.count > 3 ? rq.sizes[3] : 0,
				     rq.parts[3]);
		}
		zmq_send(ms->zap, "1.0", 3, ZMQ_SNDMORE);
		zmq_send(ms->zap, rq.parts[1], (size_t)rq.sizes[1],
			 ZMQ_SNDMORE);
		/*
		 * Status 300 lets the peer retry: its key may be in a release
		 * that has not arrived here yet. After 400 it would not retry.
		 */
		zmq_send(ms->zap, ok ? "200" : "300", 3, ZMQ_SNDMORE);
		zmq_send(ms->zap, "", 0, ZMQ_SNDMORE);
		zmq_send(ms->zap, "", 0, ZMQ_SNDMORE);
		zmq_send(ms->zap, "", 0, 0);
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
	if (ms->zap_readable && ms->zap)
		more |= receive_zap(ms);
	if (ms->router_readable)
		more |= receive_router(ms, sink);
	for (i = 0; i < ms->peer_count; i++)
		if (ms->peers[i]->readable)
			more |= receive_peer(ms, ms->peers[i], sink, now_us);
	for (i = 0; i < ms->peer_count && !more; i++)
		more = ms->peers[i]->readable;
	return more || ms->router_readable;
}

/* Tells whether the socket to a peer has a connection that takes a frame. */
static int is_connected(struct eb_peer *pr)
{
	size_t n = sizeof(int);
	int events = 0;

	/* The call may consume an event of the descriptor. */
	pr->readable = 1;
	return !zmq_getsockopt(pr->socket, ZMQ_EVENTS, &events, &n) &&
	       (events & ZMQ_POLLOUT);
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
	if (!pr->up && !is_connected(pr))
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
	if (is_connected(pr))
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
		if (!pr->up)
			redial(pr, now_us);
		if (hello_due(pr, now_us))
			send_hello(ms, pr, sink, now_us);
	}
}
