#include "eb_caller_share.h"

#include <stddef.h>

#define REQUEST 1000
/*
 * Requests older than this count for nothing; a caller that slows down is
 * treated as the others again within that time.
 */
#define WINDOW_US 2000000
/* Fewer requests in the window are never excessive. */
#define EXCESSIVE_MIN (32 * REQUEST)
/*
 * How many times the mean of the other callers is excessive. In bench case
 * priorities-eager three times with a share of refusals of 600 found the eager
 * caller less often: others were on time 667 instead of 756 times in 1,000.
 */
#define EXCESSIVE_TIMES 5
/*
 * Share of last attempts refused from which a caller counts as not heeding
 * refusals. Counting earlier attempts, too, ordinary callers near a busy gate
 * were found excessive.
 */
#define REFUSED_PERMILLE 500

static int64_t decayed(int64_t count, int64_t age_us)
{
	if (age_us >= WINDOW_US)
		return 0;
	return age_us > 0 ? count - count * age_us / WINDOW_US : count;
}

static int is_of(const struct eb_caller_entry *en, uint64_t caller,
		 uint8_t priority)
{
	return en->caller == caller && en->priority == priority;
}

/* Returns the updated entry; a new one replaces that with the least count. */
static struct eb_caller_entry *entry_of(struct eb_caller_share *cs,
					uint64_t caller, uint8_t priority,
					int64_t now_us)
{
	struct eb_caller_entry *en = NULL, *least = NULL;
	int64_t count, least_count = 0;
	uint32_t i;

	for (i = 0; i < EB_CALLER_SHARE_MAX; i++) {
		en = &cs->entries[i];
		if (is_of(en, caller, priority))
			break;
		count = en->caller ? decayed(en->offered, now_us - en->at_us)
				   : -1;
		if (!least || count < least_count) {
			least = en;
			least_count = count;
		}
	}
	if (i == EB_CALLER_SHARE_MAX) {
		en = least;
		*en = (struct eb_caller_entry){ .caller = caller,
						.at_us = now_us,
						.priority = priority };
	}
	en->offered = decayed(en->offered, now_us - en->at_us);
	en->refused = decayed(en->refused, now_us - en->at_us);
	en->at_us = now_us;
	return en;
}

/* Counts a request; an unknown caller (0) is not counted. */
void eb_caller_share_offered(struct eb_caller_share *cs, uint64_t caller,
			     uint8_t priority, int64_t now_us)
{
	if (caller)
		entry_of(cs, caller, priority, now_us)->offered += REQUEST;
}

/* Counts a refusal of a request that was counted before. */
void eb_caller_share_refused(struct eb_caller_share *cs, uint64_t caller,
			     uint8_t priority, int64_t now_us)
{
	if (caller)
		entry_of(cs, caller, priority, now_us)->refused += REQUEST;
}

/*
 * Whether the caller sends several times the mean of the other recent callers
 * of this priority while most of its requests are refused. Without another
 * caller it is not excessive.
 */
int eb_caller_share_excessive(const struct eb_caller_share *cs, uint64_t caller,
			      uint8_t priority, int64_t now_us)
{
	int64_t own = 0, refused = 0, others = 0, count;
	const struct eb_caller_entry *en;
	uint32_t i, n = 0;

	for (i = 0; caller && i < EB_CALLER_SHARE_MAX; i++) {
		en = &cs->entries[i];
		if (!en->caller || en->priority != priority)
			continue;
		count = decayed(en->offered, now_us - en->at_us);
		if (en->caller == caller) {
			own = count;
			refused = decayed(en->refused, now_us - en->at_us);
		} else if (count) {
			others += count;
			n++;
		}
	}
	return n && own >= EXCESSIVE_MIN &&
	       own * n > EXCESSIVE_TIMES * others &&
	       refused * 1000 > own * REFUSED_PERMILLE;
}
