#ifndef EB_MESH_H
#define EB_MESH_H

#include <stdint.h>

#include "eb_config.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_liveness.h"
#include "eb_reconnect.h"
#include "eb_status.h"

/*
 * The ZeroMQ transport between daemons: one bound ROUTER for requests of other
 * daemons, and one DEALER for each peer that this daemon sends requests to.
 * Replies return on the socket that the request came from. Used by the core
 * thread only.
 */
struct eb_mesh;

#define EB_ROUTING_ID_BYTES 8

/* The ROUTER's routing id of the connection that a frame came from. */
struct eb_routing_id {
	uint8_t bytes[EB_ROUTING_ID_BYTES];
	uint8_t used_bytes;   /* 0: none */
	uint8_t wire_version; /* that the other daemon understands */
};

/* A peer that this daemon has a DEALER to; owned by the mesh. */
struct eb_peer {
	char address[64];
	char key[41];
	void *socket;
	void *second; /* connection that may replace `socket`; NULL: none */
	struct eb_reconnect reconnect;
	uint64_t incarnation; /* 0: has not answered yet */
	struct eb_liveness liveness;
	int64_t last_sent_us;
	int64_t last_used_us;
	int64_t last_hello_us;
	int64_t dialled_us; /* last attempt to connect */
	int64_t busy_us;    /* last sent frame other than a heartbeat */
	uint32_t idle_heartbeat_ms;
	uint32_t dial_hellos; /* heartbeats sent since dialled, while not up */
	uint32_t user;	      /* number of the node, for the core */
	uint8_t wire_version; /* that it answered in; 0: has not answered */
	uint8_t up;	      /* answers heartbeats */
	uint8_t knows_checks; /* see EB_HELLO_KNOWS_CHECKS */
	uint8_t readable;     /* may have messages to read */
};

/* The callbacks of the mesh. */
struct eb_mesh_sink {
	/*
	 * A frame was received; takes the reference. `pr` is set for a frame
	 * from a DEALER, `back` for one from the ROUTER.
	 */
	void (*frame)(void *ctx, struct eb_frame *f, struct eb_peer *pr,
		      const struct eb_routing_id *back);
	/* The peer is unresponsive or has restarted: calls to it are lost. */
	void (*lost)(void *ctx, struct eb_peer *pr, int restarted);
	/* The peer answers for the first time, or again. */
	void (*up)(void *ctx, struct eb_peer *pr);
	/* A heartbeat has no reply yet: other peers should get new calls. */
	void (*suspected)(void *ctx, struct eb_peer *pr);
	/* A heartbeat is about to be sent: adds its payload to `f`. */
	void (*hello)(void *ctx, const struct eb_peer *pr, struct eb_frame *f);
	void *ctx;
};

struct eb_mesh *eb_mesh_new(const struct eb_settings *se, uint64_t incarnation,
			    struct eb_metrics *mt, struct eb_log *lg,
			    struct eb_error *err);
void eb_mesh_free(struct eb_mesh *ms);
int eb_mesh_fd(const struct eb_mesh *ms);
enum eb_status eb_mesh_allow_keys(struct eb_mesh *ms,
				  const struct eb_config *cf);
struct eb_peer *eb_mesh_dial(struct eb_mesh *ms, const char *address,
			     const char *key, uint32_t user, int64_t now_us);
void eb_mesh_close(struct eb_mesh *ms, struct eb_peer *pr);
enum eb_status eb_mesh_send(struct eb_mesh *ms, struct eb_peer *pr,
			    struct eb_frame *f, int64_t now_us);
enum eb_status eb_mesh_reply(struct eb_mesh *ms,
			     const struct eb_routing_id *back,
			     struct eb_frame *f);
int eb_mesh_receive(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		    int64_t now_us);
void eb_mesh_tick(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		  int64_t now_us);
void eb_mesh_heartbeat_now(struct eb_mesh *ms, struct eb_peer *pr,
			   const struct eb_mesh_sink *sink, int64_t now_us);

#endif
