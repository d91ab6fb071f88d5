#ifndef EB_WIRE_H
#define EB_WIRE_H

#include <msgpack.h>

#include "eb_frame.h"
#include "eb_status.h"

#define EB_WIRE_VERSION 2
/* The oldest version that is spoken; its frames have no offsets. */
#define EB_WIRE_VERSION_MIN 1

/*
 * Frames between daemons are MessagePack arrays:
 * [version, type, call, sender, target, ...fields of the type].
 */
enum eb_status eb_wire_encode(const struct eb_frame *f, uint8_t version,
			      msgpack_sbuffer *out);
enum eb_status eb_wire_decode(const void *bytes, size_t n,
			      struct eb_frame **out);

#endif
