#ifndef EB_MESH_H
#define EB_MESH_H

#include <stdint.h>

#include "eb_config.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_silence.h"
#include "eb_status.h"

/*
 * ZeroMQ between daemons: one bound ROUTER for what others send, one DEALER
 * for each peer that this daemon sends to. Used by the core thread only.
 */
struct eb_mesh;

#define EB_ROUTE_ID_BYTES 8

/* The way back to the sender of a frame that came in through the ROUTER. */
struct eb_back_route {
	uint8_t bytes[EB_ROUTE_ID_BYTES];
	uint8_t used_bytes; /* 0: none */
};

/* A peer that this daemon sends to; owned by the mesh. */
struct eb_peer {
	char address[64];
	char key[41];
	void *socket;
	uint64_t incarnation; /* 0: not heard of yet */
	struct eb_silence silence;
	int64_t last_sent_us;
	int64_t last_used_us;
	int64_t last_hello_us;
	int64_t dialled_us; /* last attempt to connect */
	int64_t busy_us;    /* last frame that was no heartbeat */
	uint32_t idle_heartbeat_ms;
	uint32_t user; /* for the core: number of the node */
	uint8_t up;
	uint8_t dirty;
};

/* Receives the frames; owns the reference it gets. */
struct eb_mesh_sink {
	/* `pr` is set for an answer of a peer, else `back` is. */
	void (*frame)(void *ctx, struct eb_frame *f, struct eb_peer *pr,
		      const struct eb_back_route *back);
	/* The peer is silent or was restarted: calls there are lost. */
	void (*lost)(void *ctx, struct eb_peer *pr, int restarted);
	/* The peer answers; it may be used from now on, or again. */
	void (*up)(void *ctx, struct eb_peer *pr);
	/* The peer owes an answer: others should get its work for now. */
	void (*suspected)(void *ctx, struct eb_peer *pr);
	/* A heartbeat is about to be sent: adds what it carries. */
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
			     const struct eb_back_route *back,
			     struct eb_frame *f);
int eb_mesh_receive(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		    int64_t now_us);
void eb_mesh_tick(struct eb_mesh *ms, const struct eb_mesh_sink *sink,
		  int64_t now_us);
/* Sends a heartbeat out of turn, unless one has no answer yet. */
void eb_mesh_ask(struct eb_mesh *ms, struct eb_peer *pr,
		 const struct eb_mesh_sink *sink, int64_t now_us);

#endif
