#include "eb_zap.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdlib.h>
#include <zmq.h>

#include "eb_tunables.h"
#include "eb_zmq.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_PARTS_MAX 8
#define ZAP_PART_BYTES 256
#define KEY_BYTES 32

struct eb_zap {
	void *socket;
	struct eb_metrics *metrics;
	struct eb_log *log;
	apr_pool_t *pool;
	apr_pool_t *key_pool;
	apr_hash_t *keys; /* public keys that may connect, 32 bytes each */
};

/* Binds the ZAP endpoint of a context. Returns NULL with errno on failure. */
struct eb_zap *eb_zap_new(void *zmq, struct eb_metrics *mt, struct eb_log *lg)
{
	struct eb_zap *zp = calloc(1, sizeof(*zp));

	if (!zp)
		return NULL;
	zp->metrics = mt;
	zp->log = lg;
	zp->socket = zmq_socket(zmq, ZMQ_REP);
	if (zp->socket)
		eb_zmq_set_int(zp->socket, ZMQ_LINGER, 0);
	if (!zp->socket || apr_pool_create(&zp->pool, NULL) != APR_SUCCESS ||
	    zmq_bind(zp->socket, ZAP_ENDPOINT)) {
		eb_zap_free(zp);
		return NULL;
	}
	return zp;
}

/* Closes the endpoint; NULL is allowed. */
void eb_zap_free(struct eb_zap *zp)
{
	if (!zp)
		return;
	if (zp->socket)
		zmq_close(zp->socket);
	if (zp->pool)
		apr_pool_destroy(zp->pool);
	free(zp);
}

/* Returns the socket, to wait for requests. */
void *eb_zap_socket(struct eb_zap *zp)
{
	return zp->socket;
}

/*
 * Replaces the set of public keys that may connect by those of the daemons in
 * `cf`. Returns EB_ENOMEM, with the old set in force, when memory runs out.
 */
enum eb_status eb_zap_allow_keys(struct eb_zap *zp, const struct eb_config *cf)
{
	apr_pool_t *pool;
	apr_hash_t *keys;
	uint8_t *key;
	uint32_t i;

	if (apr_pool_create(&pool, zp->pool) != APR_SUCCESS)
		return EB_ENOMEM;
	keys = apr_hash_make(pool);
	for (i = 0; i < cf->upstream_total; i++) {
		if (!cf->upstreams[i]->key[0])
			continue;
		key = apr_palloc(pool, KEY_BYTES);
		if (zmq_z85_decode(key, cf->upstreams[i]->key))
			apr_hash_set(keys, key, KEY_BYTES, key);
	}
	if (zp->key_pool)
		apr_pool_destroy(zp->key_pool);
	zp->key_pool = pool;
	zp->keys = keys;
	return EB_OK;
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
			eb_zmq_skip_parts(socket);
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
 * Answers ZAP requests, which ask whether a peer may connect. The parts are:
 * version, request, domain, address, identity, mechanism, key. Returns 1 when
 * more requests may be waiting.
 */
int eb_zap_receive(struct eb_zap *zp)
{
	struct zap_request rq;
	int ok, i;

	for (i = 0; i < EB_BATCH_FRAMES; i++) {
		if (read_zap_request(zp->socket, &rq))
			return 0;
		ok = rq.count >= 7 && rq.sizes[6] == KEY_BYTES && zp->keys &&
		     apr_hash_get(zp->keys, rq.parts[6], KEY_BYTES);
		if (!ok) {
			eb_metrics_add(zp->metrics, EB_METRIC_PEER_AUTH_FAILED,
				       1);
			eb_log_write(zp->log, EB_LOG_WARN, "mesh",
				     "refused a peer with an unknown key",
				     "address=%.*s",
				     rq.count > 3 ? rq.sizes[3] : 0,
				     rq.parts[3]);
		}
		zmq_send(zp->socket, "1.0", 3, ZMQ_SNDMORE);
		zmq_send(zp->socket, rq.parts[1], (size_t)rq.sizes[1],
			 ZMQ_SNDMORE);
		/*
		 * Status 300 lets the peer retry: its key may be in a release
		 * that has not arrived here yet. After 400 it would not retry.
		 */
		zmq_send(zp->socket, ok ? "200" : "300", 3, ZMQ_SNDMORE);
		zmq_send(zp->socket, "", 0, ZMQ_SNDMORE);
		zmq_send(zp->socket, "", 0, ZMQ_SNDMORE);
		zmq_send(zp->socket, "", 0, 0);
	}
	return 1;
}
