#ifndef EB_LIMIT_H
#define EB_LIMIT_H

#include <stdint.h>

/*
 * Limits of each caller at an origin: a token bucket, a fair share of the
 * requests in flight and a bound on connections. Memory does not grow with
 * the number of callers. Pure: time is passed in.
 */
struct eb_limit;

/* Callers with an entry of their own in a hash table with rows of 4 entries. */
#define EB_LIMIT_CALLERS_MAX 4096
#define EB_LIMIT_ROW_ENTRIES 4
/* A caller may always have this many requests in flight. */
#define EB_LIMIT_IN_FLIGHT_MIN 2
/* A caller counts as active for this long after its last request. */
#define EB_LIMIT_ACTIVE_MS 1000

struct eb_limit_config {
	uint32_t rate_per_s;	  /* of one caller; 0: no limit */
	uint32_t burst;		  /* requests; 0: those of 1 s at the rate */
	uint32_t in_flight_max;	  /* of all callers; 0: no limit */
	uint32_t connections_max; /* of one caller; 0: no limit */
};

struct eb_limit_counters {
	uint64_t taken;
	uint64_t refused_rate;
	uint64_t refused_in_flight;
	uint64_t refused_connections;
	uint64_t shared; /* a caller found no entry and used that of another */
	uint64_t active; /* callers with a request in the last second */
};

struct eb_limit *eb_limit_new(const struct eb_limit_config *cf);
void eb_limit_free(struct eb_limit *lm);
void eb_limit_configure(struct eb_limit *lm, const struct eb_limit_config *cf);
uint32_t eb_limit_take(struct eb_limit *lm, uint64_t caller, int64_t now_us);
void eb_limit_done(struct eb_limit *lm, uint64_t caller);
int eb_limit_connect(struct eb_limit *lm, uint64_t caller, int64_t now_us);
void eb_limit_disconnect(struct eb_limit *lm, uint64_t caller);
void eb_limit_read_counters(const struct eb_limit *lm,
			    struct eb_limit_counters *out);

#endif
