#ifndef EB_ZMQ_H
#define EB_ZMQ_H

#include "eb_settings.h"

/* Options and states of ZeroMQ sockets. */
void eb_zmq_set_int(void *socket, int option, int value);
void eb_zmq_set_common(void *socket);
int eb_zmq_set_curve(void *socket, const struct eb_settings *se,
		     const char *server_key);
int eb_zmq_is_connected(void *socket);
void eb_zmq_skip_parts(void *socket);

#endif
