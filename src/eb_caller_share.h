#ifndef EB_CALLER_SHARE_H
#define EB_CALLER_SHARE_H

#include <stdint.h>

/*
 * Recent requests of each caller at a gate. Finds callers that go on sending
 * far more than others of the same priority although most of it is refused.
 * Pure: the caller passes the monotonic time.
 */
#define EB_CALLER_SHARE_MAX 64

struct eb_caller_entry {
	uint64_t caller; /* 0: free */
	int64_t at_us;	 /* time for which the counts are valid */
	int64_t offered; /* thousandths of a request, decaying */
	int64_t refused;
	uint8_t priority;
};

struct eb_caller_share {
	struct eb_caller_entry entries[EB_CALLER_SHARE_MAX];
};

void eb_caller_share_offered(struct eb_caller_share *cs, uint64_t caller,
			     uint8_t priority, int64_t now_us);
void eb_caller_share_refused(struct eb_caller_share *cs, uint64_t caller,
			     uint8_t priority, int64_t now_us);
int eb_caller_share_excessive(const struct eb_caller_share *cs, uint64_t caller,
			      uint8_t priority, int64_t now_us);

#endif
