#include "eb_overdue.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

#define NUMBER_BYTES ((uint32_t)sizeof(uint64_t))

/*
 * Whether a call that began at `started_us` is listed in heartbeats, that is,
 * is at least EB_CALL_OVERDUE_MS old.
 */
int eb_overdue(int64_t started_us, int64_t now_us)
{
	return now_us - started_us >= EB_CALL_OVERDUE_MS * 1000LL;
}

/*
 * Adds the number of a call to the list of a heartbeat. Returns -1 when out of
 * memory, and when the list holds EB_CALLS_MAX numbers; a later heartbeat has
 * room again.
 */
int eb_overdue_add(struct eb_frame *f, uint64_t number)
{
	uint64_t wire = htobe64(number);
	uint8_t *p;

	if (f->data_bytes >= EB_CALLS_MAX * NUMBER_BYTES)
		return -1;
	p = realloc(f->data, f->data_bytes + NUMBER_BYTES);
	if (!p)
		return -1;
	memcpy(p + f->data_bytes, &wire, NUMBER_BYTES);
	f->data = p;
	f->data_bytes += NUMBER_BYTES;
	return 0;
}

/* Returns how many complete numbers a heartbeat lists. */
uint32_t eb_overdue_count(const struct eb_frame *f)
{
	return f->data_bytes / NUMBER_BYTES;
}

/* Returns the number at index `i`, which is below eb_overdue_count(). */
uint64_t eb_overdue_at(const struct eb_frame *f, uint32_t i)
{
	uint64_t wire;

	memcpy(&wire, f->data + (size_t)i * NUMBER_BYTES, NUMBER_BYTES);
	return be64toh(wire);
}
