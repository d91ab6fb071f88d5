#ifndef EB_FRAME_H
#define EB_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "eb_headers.h"
#include "eb_tunables.h"

enum eb_frame_type {
	EB_FRAME_HEAD = 1, /* a request: origin to gate */
	EB_FRAME_DATA,	   /* body bytes of a request */
	EB_FRAME_END,	   /* the body of a request is complete */
	EB_FRAME_CREDIT,   /* gate grants credit for request body bytes */
	EB_FRAME_CANCEL,   /* origin cancels the call */
	EB_FRAME_RHEAD,	   /* status and headers of an answer */
	/*
	 * Body bytes of an answer. An empty one says that the answer is whole
	 * while the request's body is still being sent; REND follows.
	 */
	EB_FRAME_RDATA,
	EB_FRAME_REND,	  /* the answer is complete */
	EB_FRAME_RCREDIT, /* origin grants credit for answer body bytes */
	EB_FRAME_REFUSE,  /* the request was not run */
	EB_FRAME_ABORT,	  /* the call failed; see outcome */
	EB_FRAME_HELLO,	  /* heartbeat between two daemons */
	EB_FRAME_GOSSIP,  /* membership and releases */
	EB_FRAME_CLAIM,	  /* claims of idempotency keys */
	EB_FRAME_MARKS,	  /* requests that crash upstreams */
	EB_FRAME_CONFIG,  /* within a daemon: a new configuration */
	EB_FRAME_VMS,	  /* within a daemon: the list of VMs */
	EB_FRAME_QUERY,	  /* within a daemon: a query of the admin port */
	EB_FRAME_REPORT,  /* within a daemon: changes read from the source */
	/*
	 * Within a daemon: asks the upstream for its pace or, with
	 * EB_PROBE_CHECK as `call`, checks whether it accepts connections.
	 */
	EB_FRAME_PROBE,
	EB_FRAME_TYPE_MAX = EB_FRAME_PROBE,
};

#define EB_PROBE_CHECK 1

/*
 * `credit_bytes` of a HELLO: the sender's copy of the source's items may lack
 * some of its revision.
 */
#define EB_HELLO_UNVERIFIED 1
/* Of a sender that can read a source which has lost changes. */
#define EB_HELLO_KNOWS_ERAS 2
/*
 * `credit_bytes` of a HELLO from an origin: it comes on a second connection,
 * and answers still go back on the first one; or this connection replaces the
 * first one, and the list has all calls that wait for this gate.
 */
#define EB_HELLO_CHECK 3
#define EB_HELLO_REPLACES 4
/* `body_kind` of a HELLO from a gate that understands these two. */
#define EB_HELLO_KNOWS_CHECKS 1
/* `offset_bytes` of a frame whose sender does not name it. */
#define EB_OFFSET_UNKNOWN UINT64_MAX
/* Largest bandwidth of a link that `status` of a HELLO names, in Mbit/s. */
#define EB_HELLO_MBPS_MAX 999
/* Status of a REFUSE for the rate limit that the upstream has named. */
#define EB_STATUS_RATE_LIMITED 429

/* Whether the upstream ran a request, as known when its call ends. */
enum eb_outcome {
	EB_OUTCOME_UNKNOWN = 0,
	EB_OUTCOME_RAN,
	EB_OUTCOME_NOT_RUN,
};

/* Why a request was refused or its call failed. */
enum eb_reason {
	EB_REASON_NONE = 0,
	EB_REASON_NO_ROUTE,
	EB_REASON_NO_UPSTREAM,
	EB_REASON_QUEUE_FULL,
	EB_REASON_DEADLINE,
	EB_REASON_DRAINING,
	EB_REASON_CONNECT,
	EB_REASON_HANDED_BACK,
	EB_REASON_CALLER_LIMIT,
	EB_REASON_CRASHES,
	EB_REASON_CLAIM,
	EB_REASON_HOPS,
	EB_REASON_LOST_PEER,
	EB_REASON_UPSTREAM_CLOSED,
	EB_REASON_STALLED,
	EB_REASON_INTERNAL,
	EB_REASON_UPSTREAM_REFUSED,
	EB_REASON_MAX = EB_REASON_UPSTREAM_REFUSED,
};

enum eb_body_kind {
	EB_BODY_NONE = 0,
	EB_BODY_INLINE,	 /* whole body in the HEAD frame */
	EB_BODY_LENGTH,	 /* `body_bytes` follow in DATA frames */
	EB_BODY_CHUNKED, /* unknown length, DATA frames until END */
};

/* The load of an upstream as its gate sees it; sent with answers. */
struct eb_load {
	uint16_t in_flight;
	uint16_t queued;
	uint16_t slots;
	uint16_t draining;
	uint32_t service_us; /* smoothed time of one request in a slot */
	/* How long work takes on its VM now; 100: normal, 0: unknown. */
	uint16_t pace_percent;
};

struct eb_trace_id {
	uint8_t trace[16];
	uint8_t span[8]; /* of the sender: the parent of the next span */
	uint8_t sampled;
};

/* The fields of HEAD besides the body. Strings are owned by the frame. */
struct eb_head {
	char *service;
	char *upstream; /* name of the upstream that the origin chose */
	char *method;
	char *target;	/* path and query, as the caller sent them */
	char *key;	/* idempotency key or NULL */
	char *instance; /* the instance id that must run it, or NULL */
	struct eb_headers headers;
	uint64_t caller;     /* hash of the caller's address */
	uint64_t body_bytes; /* for EB_BODY_INLINE and EB_BODY_LENGTH */
	int64_t remaining_us;
	int64_t goal_us; /* time left until the latency goal; INT64_MAX: none */
	uint8_t hops;
	uint8_t body_kind;
	uint8_t attempt; /* 0 for the first */
	uint8_t idempotent;
	uint8_t priority; /* 0 is the most urgent */
	uint32_t kind;	  /* class of similar service time; 0: unknown */
	/* Of the service's upstreams; 0: unknown. */
	uint16_t baseline_pace_percent;
	struct eb_trace_id trace;
};

/* The fields of RHEAD, REND, REFUSE, ABORT, HELLO and PROBE. */
struct eb_reply {
	uint16_t status; /* of HELLO: bandwidth of the sender's link, Mbit/s */
	uint8_t outcome;
	uint8_t reason;
	uint8_t body_kind;   /* of RHEAD: NONE, LENGTH or CHUNKED */
	uint64_t body_bytes; /* of HELLO: newest release or revision known */
	uint32_t retry_after_ms; /* of HELLO: age of the last source read */
	struct eb_load load;
	struct eb_headers headers;
	/*
	 * Within a daemon: whether the upstream has answered, whether its
	 * answer says that it leaves, and the limit that it names, in requests
	 * per 1,000 s; 0: none.
	 */
	uint8_t answered;
	uint8_t upstream_leaving;
	uint32_t rate_limit_milli;
	/* Of PROBE: how long the upstream stays cold; 0: it is not cold. */
	uint32_t cold_ms;
	uint8_t cold_known; /* the answer has a valid `cold_ms` */
};

/*
 * A message between threads or daemons. A frame is reference counted and not
 * changed once it has been passed on.
 */
struct eb_frame {
	int32_t refs;
	uint8_t type;
	/*
	 * Number that the origin gave; of its HELLO: the last that it gave.
	 */
	uint64_t call;
	uint64_t sender;       /* incarnation of the sending daemon */
	uint64_t target;       /* incarnation of the receiver; 0: any */
	uint64_t credit_bytes; /* of HELLO: EB_HELLO_..., or 0 */
	/*
	 * Of DATA, END, RDATA and REND: bytes of the body before it. Of HELLO:
	 * the digest of the sender's items, 0 if unknown.
	 */
	uint64_t offset_bytes;
	uint8_t wire_version;	/* that it came in; 0: from this daemon */
	struct eb_head *head;	/* HEAD */
	struct eb_reply *reply; /* RHEAD, REND, REFUSE, ABORT, HELLO, PROBE */
	void *object;		/* frames within a daemon */
	void (*object_free)(void *object);
	uint32_t data_bytes;
	uint8_t *data; /* body bytes or an opaque payload */
};

struct eb_frame *eb_frame_new(enum eb_frame_type type, uint64_t call);
struct eb_frame *eb_frame_new_data(enum eb_frame_type type, uint64_t call,
				   const void *data, uint32_t bytes);
struct eb_frame *eb_frame_unshare_head(struct eb_frame *f);
struct eb_frame *eb_frame_ref(struct eb_frame *f);
void eb_frame_unref(struct eb_frame *f);
int eb_frame_ends_answer(const struct eb_frame *f);
const char *eb_frame_type_name(unsigned type);
const char *eb_outcome_name(unsigned outcome);
const char *eb_reason_name(unsigned reason);

#endif
