#ifndef EB_CONFIG_H
#define EB_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "eb_status.h"

/* The index when there is no such item. */
#define EB_NONE UINT32_MAX

/* Defaults of a rule's fields, and the rule of a service that names none. */
#define EB_RULE_RETRY_PERMILLE 100
#define EB_RULE_QUEUE 64
#define EB_RULE_WATCH_BYTES_PER_S 2048
#define EB_RULE_CALLER_RATE_PER_S 0
#define EB_RULE_CLAIMS 1
#define EB_RULE_IDEMPOTENT_METHODS "GET HEAD OPTIONS PUT DELETE TRACE"

/* The kinds of items; each struct begins with `refs` and `name`. */
enum eb_item_kind {
	EB_ITEM_RULE = 0,
	EB_ITEM_SERVICE,
	EB_ITEM_UPSTREAM,
	EB_ITEM_KINDS
};

/* How requests of a service are handled. */
struct eb_rule {
	int32_t refs;
	char *name;
	uint32_t retry_permille;    /* retries allowed for 1000 requests */
	uint32_t retry_burst;	    /* of retries, per daemon; 0: default */
	uint32_t queue;		    /* requests that may wait at a gate */
	uint32_t watch_bytes_per_s; /* budget of load reports, per daemon */
	uint32_t caller_rate_per_s; /* 0: no limit */
	uint8_t claims;		    /* idempotency keys are honoured */
	char *idempotent_methods;   /* separated by spaces */
};

/* An owned list of strings. */
struct eb_texts {
	char **items;
	uint32_t count;
};

struct eb_service {
	int32_t refs;
	char *name;
	char *host;	   /* NULL: any */
	char *path_prefix; /* NULL: any */
	char *rule_name;   /* NULL: defaults */
	char *probe_path;  /* load probe of its upstreams, or NULL */
	/* Its requests run and its claims are held only there; empty: anywhere.
	 */
	struct eb_texts regions;
	/* Requests that a cold upstream takes in 1,000 s; 0: no limit. */
	uint32_t cold_per_s_milli;
	uint32_t cold_ms; /* an upstream is cold for this long from its start */
	uint32_t deadline_ms;
	uint32_t rule; /* index into rules, or EB_NONE */
};

struct eb_upstream {
	int32_t refs;
	char *name;
	char *service_name;
	char *address; /* IP:port of its HTTP server */
	char *daemon;  /* IP:port of the daemon beside it */
	char *region;
	char *failure_domain;
	char key[41];	   /* CURVE public key of the daemon, Z85; or "" */
	char *instance;	   /* identifies its incarnation, or NULL */
	uint64_t start_ms; /* Unix time of its start; 0: unknown */
	char *probe_path;  /* path of its load probe, or NULL */
	uint32_t slots;
	uint32_t connections;
	uint32_t cold_ms; /* time left that it is slow after its start */
	uint8_t leaving;  /* gets no new requests */
};

/* Most services that the requests of one match are split over. */
#define EB_SHARES_MAX 8

/* A service that gets a share of the requests of a match. */
struct eb_share {
	uint32_t service; /* index into services, or EB_NONE */
	uint32_t weight;
};

/*
 * Selects requests by host and path prefix, and says which services they go
 * to and how they are handled. Release notes have none: there, each service
 * has its own host and path prefix.
 */
struct eb_match {
	char *name;
	uint32_t kind; /* of its requests: a hash of the name, not 0 */
	char *host;    /* without a port */
	char *prefix;  /* of the path; begins and ends with a slash */
	struct eb_share shares[EB_SHARES_MAX];
	uint32_t share_count;
	uint32_t timeout_ms;   /* longest time to an answer; 0: none */
	uint32_t objective_ms; /* latency objective; 0: none */
	uint8_t attempts;      /* upstreams that one request may run on */
	uint8_t priority;      /* 0 is the most urgent */
	uint8_t idempotent;    /* may run more than once */
	/*
	 * With `restricted`, the requests may be sent to and stored in these
	 * regions only; none if they could not be read.
	 */
	uint8_t restricted;
	struct eb_texts regions;
};

/*
 * The configuration in force after a release note: immutable and reference
 * counted. Items are shared between configurations.
 */
struct eb_config {
	int32_t refs;
	uint64_t release;
	uint64_t index;	 /* of the last note, in the platform's log */
	uint64_t digest; /* of all notes applied so far */
	struct eb_rule **rules;
	struct eb_service **services;
	struct eb_upstream **upstreams;	  /* sorted by service, then name */
	uint32_t *upstream_service;	  /* service index of each upstream */
	uint32_t *service_first_upstream; /* first upstream of each service */
	uint32_t *service_upstream_count;
	uint32_t rule_count;
	uint32_t service_total;
	uint32_t upstream_total;
	/* Requests are routed by `matches`, not by the services' own match. */
	uint8_t has_matches;
	struct eb_match *matches;
	uint32_t match_count;
	/* Owns `matches`, which are shared with it; NULL: this one does. */
	struct eb_config *matches_owner;
	/* Failure domains whose upstreams get no new requests. */
	struct eb_texts evacuated;
	/* Entries among the evacuations that are none, and one of them. */
	uint32_t evacuations_invalid;
	char *evacuation_invalid;
};

struct eb_config *eb_config_new_empty(void);
struct eb_config *eb_config_ref(struct eb_config *cf);
void eb_config_unref(struct eb_config *cf);
void *eb_config_item_new(enum eb_item_kind kind);
void *eb_config_item_copy(enum eb_item_kind kind, const void *item);
void *eb_config_item_ref(void *item);
void eb_config_item_unref(enum eb_item_kind kind, void *item);
uint32_t eb_config_find_upstream(const struct eb_config *cf, const char *name);
int eb_config_is_evacuated(const struct eb_config *cf,
			   const char *failure_domain);
int eb_config_is_other_start(const struct eb_upstream *up, const char *instance,
			     uint64_t start_ms);
uint32_t eb_config_find_service(const struct eb_config *cf, const char *name);
uint32_t eb_config_find_rule(const struct eb_config *cf, const char *name);
enum eb_status eb_texts_add(struct eb_texts *ts, const char *text);
void eb_texts_clear(struct eb_texts *ts);
int eb_texts_has(const struct eb_texts *ts, const char *text);
const struct eb_rule *eb_config_rule(const struct eb_config *cf,
				     uint32_t service);
uint32_t eb_config_match(const struct eb_config *cf, const char *host,
			 const char *path);
uint32_t eb_config_request_kind(const char *name);
const struct eb_match *eb_config_find_match(const struct eb_config *cf,
					    const char *host,
					    const char *target);
enum eb_status eb_config_extend(struct eb_config *cf, struct eb_config *base);
enum eb_status eb_config_group_upstreams(struct eb_config *cf);

#endif
