#ifndef EB_CLAIM_HOLDER_H
#define EB_CLAIM_HOLDER_H

#include "eb_claim_queue.h"
#include "eb_claim_table.h"

/*
 * The holder of claims on idempotency keys: grants each key to one claim,
 * stores how its run ended, and copies claims from other holders after a
 * restart or a change of holders, before it grants. The module does no I/O:
 * its caller passes in messages and the monotonic time, and sends messages.
 */
struct eb_claim_holder;

/*
 * Limits of the claims that a holder stores: about 35 MB at most, 22 MB of
 * which hold responses. A longer retention needs more entries.
 */
#define EB_CLAIM_HOLDER_ENTRIES_MAX 65536
#define EB_CLAIM_HOLDER_RESPONSES_MAX_BYTES (22 << 20)
#define EB_CLAIM_HOLDER_RETENTION_MS 600000
/*
 * When the holders change, one without copies grants after the retention and
 * this time: daemons that have not received the configuration yet still grant
 * by the older one.
 */
#define EB_CLAIM_HOLDER_CONFIG_LAG_MS 60000

struct eb_claim_holder_config {
	const char *name; /* of the upstream of this daemon */
	uint64_t incarnation;
	int64_t retention_us;	      /* 0: EB_CLAIM_HOLDER_RETENTION_MS */
	int64_t config_lag_us;	      /* 0: EB_CLAIM_HOLDER_CONFIG_LAG_MS */
	uint32_t entries_max;	      /* 0: EB_CLAIM_HOLDER_ENTRIES_MAX */
	uint32_t responses_max_bytes; /* 0: EB_CLAIM_HOLDER_RESPONSES_MAX_BYTES
				       */
	uint8_t test_grant_at_once;   /* tests only: grants without copies */
};

struct eb_claim_holder_counters {
	uint64_t granted;
	uint64_t busy;	     /* another claim has the key */
	uint64_t mismatched; /* key used with another request */
	uint64_t table_full;
	uint64_t not_granting;	 /* the slot does not grant yet */
	uint64_t other_set;	 /* the claimant has another configuration */
	uint64_t stored;	 /* ends of runs */
	uint64_t conflicts;	 /* two runs were reported for one key */
	uint64_t copies_sent;	 /* messages */
	uint64_t copies_done;	 /* received in full */
	uint64_t opened_by_time; /* slots that opened without copies */
	uint64_t requirements_dropped;
	uint64_t bad_messages;
	uint64_t messages_dropped;
	uint64_t entries;
	uint64_t response_bytes;
	uint64_t responses_dropped;
	uint64_t expired;
};

struct eb_claim_holder *
eb_claim_holder_new(const struct eb_claim_holder_config *cf);
void eb_claim_holder_free(struct eb_claim_holder *ho);
enum eb_status eb_claim_holder_configure(struct eb_claim_holder *ho,
					 const struct eb_config *was,
					 const struct eb_config *cf,
					 int64_t now_us);
void eb_claim_holder_recv(struct eb_claim_holder *ho, const char *from,
			  const struct eb_claim_message *m, int64_t now_us);
void eb_claim_holder_tick(struct eb_claim_holder *ho, int64_t now_us);
void eb_claim_holder_open(struct eb_claim_holder *ho, int64_t now_us);
int eb_claim_holder_next(struct eb_claim_holder *ho, struct eb_claim_send *out);
void eb_claim_holder_read_counters(const struct eb_claim_holder *ho,
				   struct eb_claim_holder_counters *out);
void eb_claim_holder_slots(const struct eb_claim_holder *ho, uint32_t *held,
			   uint32_t *granting);

#endif
