#include "eb_zmq.h"

#include <assert.h>
#include <zmq.h>

#include "eb_tunables.h"

/* Sets an option that every socket of its kind takes. */
void eb_zmq_set_int(void *socket, int option, int value)
{
	int rc = zmq_setsockopt(socket, option, &value, sizeof(value));

	assert(!rc);
	(void)rc;
}

/* Sets the options of all sockets between daemons. */
void eb_zmq_set_common(void *socket)
{
	eb_zmq_set_int(socket, ZMQ_LINGER, 0);
	eb_zmq_set_int(socket, ZMQ_SNDHWM, EB_PEER_HIGH_WATER_MESSAGES);
	eb_zmq_set_int(socket, ZMQ_RCVHWM, EB_PEER_HIGH_WATER_MESSAGES);
	eb_zmq_set_int(socket, ZMQ_TCP_KEEPALIVE, 1);
}

/*
 * Sets the daemon's own key pair. Without `server_key` the socket is the CURVE
 * server, which checks the keys of its peers by ZAP. Returns 0, or -1 with
 * errno.
 */
int eb_zmq_set_curve(void *socket, const struct eb_settings *se,
		     const char *server_key)
{
	if (se->plain_peers)
		return 0;
	if (zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, se->curve_public, 41) ||
	    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, se->curve_secret, 41))
		return -1;
	if (server_key)
		return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server_key,
				      41);
	eb_zmq_set_int(socket, ZMQ_CURVE_SERVER, 1);
	return zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "ebonypier", 9);
}

/* Tells whether a socket has a connection that takes a message. */
int eb_zmq_is_connected(void *socket)
{
	size_t n = sizeof(int);
	int events = 0;

	return !zmq_getsockopt(socket, ZMQ_EVENTS, &events, &n) &&
	       (events & ZMQ_POLLOUT);
}

/* Discards the remaining parts of a multipart message. */
void eb_zmq_skip_parts(void *socket)
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
