#ifndef EB_GOSSIP_H
#define EB_GOSSIP_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/* Largest payload of one EB_FRAME_GOSSIP frame. */
#define EB_GOSSIP_MAX_BYTES 200000
#define EB_GOSSIP_VERSION 1
#define EB_GOSSIP_ADDRESS_MAX_BYTES 64

/*
 * The second element of a payload. Kinds up to EB_GOSSIP_MEMBER_MAX are read by
 * eb_member, the others by eb_dist.
 */
enum eb_gossip_kind {
	EB_GOSSIP_PING = 1,
	EB_GOSSIP_ACK,
	EB_GOSSIP_PING_REQUEST,
	EB_GOSSIP_NACK,
	EB_GOSSIP_SYNC,
	EB_GOSSIP_MEMBER_MAX = 15,
	EB_GOSSIP_DIGEST = 16,
	EB_GOSSIP_PULL,
	EB_GOSSIP_DELTA,
	EB_GOSSIP_OFFER,
	EB_GOSSIP_PIECE_REQUEST,
	EB_GOSSIP_PIECE,
	EB_GOSSIP_KIND_MAX = EB_GOSSIP_PIECE,
};

enum eb_action_type {
	EB_ACTION_SEND = 1,   /* `data` to the daemon at `address` */
	EB_ACTION_MEMBER,     /* `member` is now in `state` */
	EB_ACTION_SUPERSEDED, /* another process has this address */
	EB_ACTION_WATCH,      /* long poll for notes after `index` */
	EB_ACTION_STOP_WATCH, /* cancel the long poll in progress */
	EB_ACTION_APPLY,      /* put note `index` with text `data` in force */
	EB_ACTION_SNAPSHOT_WANTED, /* call eb_dist_set_snapshot() */
	EB_ACTION_LOAD_SNAPSHOT,   /* put the snapshot `data` in force */
	EB_ACTION_READY,	   /* the release in force may be served */
};

/* Pointers are valid only during the call of eb_sink.act(). */
struct eb_action {
	enum eb_action_type type;
	const char *address;
	const void *data;
	size_t bytes;
	uint64_t index;
	uint64_t digest;
	uint64_t boot;
	uint32_t member;  /* index into the roster */
	uint32_t wait_ms; /* longest time of a WATCH */
	uint8_t state;	  /* enum eb_member_state */
	uint8_t refused;  /* set by the receiver of LOAD_SNAPSHOT */
};

/*
 * Receives actions while an event is handled. It must not call back into the
 * module; a new roster is set after the event has been handled.
 */
struct eb_sink {
	void (*act)(struct eb_sink *sink, struct eb_action *act);
};

/* Reads the items of a decoded array; the first invalid item sets `bad`. */
struct eb_gossip_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *items;
	uint32_t count;
	uint32_t pos;
	int bad;
};

enum eb_status eb_gossip_open(struct eb_gossip_reader *rd, const void *data,
			      size_t n, uint32_t *kind);
void eb_gossip_close(struct eb_gossip_reader *rd);
uint64_t eb_gossip_uint(struct eb_gossip_reader *rd, uint64_t max);
const char *eb_gossip_bin(struct eb_gossip_reader *rd, uint32_t max,
			  uint32_t *n);
int eb_gossip_address(struct eb_gossip_reader *rd, char *out);
uint32_t eb_gossip_left(const struct eb_gossip_reader *rd);
enum eb_status eb_gossip_peek(const void *data, size_t n, uint32_t *kind);

void eb_gossip_begin(msgpack_packer *pk, msgpack_sbuffer *sb, uint32_t kind,
		     uint32_t fields);
void eb_gossip_pack_bin(msgpack_packer *pk, const void *data, size_t n);
void eb_gossip_pack_address(msgpack_packer *pk, const char *s);
void eb_gossip_send(struct eb_sink *sink, const char *address,
		    msgpack_sbuffer *sb);
uint64_t eb_gossip_mix(uint64_t a, uint64_t b);

#endif
