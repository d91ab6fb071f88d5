#ifndef EB_ADAPTER_H
#define EB_ADAPTER_H

#include "eb_config.h"
#include "eb_feed.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_status.h"

/*
 * What depends on the platform: the headers that callers and upstreams use,
 * and the source of the configuration.
 */

/* Names of HTTP headers; NULL where the platform has none. */
struct eb_dialect {
	/* Id of a request, which the upstream repeats on the answer. */
	const char *request_id;
	/* On a request: the incarnation of the upstream that it is for. */
	const char *expect_instance;
	/* On the answer to a probe: the upstream's incarnation. */
	const char *instance;
	/* On an answer: the upstream did not run the request. */
	const char *not_run;
	/* On a request: the service that sent it. */
	const char *caller_service;
	/* On an answer: load report of the upstream and its VM. */
	const char *load;
	/* Parses the value of `load`; returns the pace in percent, or 0. */
	uint16_t (*read_pace)(const char *value);
	/* On an answer: requests per second that the upstream takes. */
	const char *rate_limit;
	/* On the answer to a probe: time that the upstream stays cold, ms. */
	const char *cold_left;
	/* On an answer: "1" while the upstream leaves. */
	const char *leaving;
	/* Whether Retry-After may have a fraction of a second. */
	uint8_t retry_after_fraction;
};

extern const struct eb_dialect eb_dialect_default;

/* How a daemon uses the source at the moment. */
enum eb_source_mode {
	EB_SOURCE_IDLE = 0,   /* no reads: peers send the changes */
	EB_SOURCE_READ_STALE, /* cheap reads that may be slightly stale */
	EB_SOURCE_WATCH,      /* up-to-date reads, then long polls */
};

/* The result of one call to the source. */
struct eb_source_report {
	uint8_t failed;
	uint8_t stale; /* the change may lack what is newer at the source */
	struct eb_feed_change change;
};

struct eb_adapter;
struct eb_core;
struct eb_source;

struct eb_source_config {
	const struct eb_adapter *adapter;
	const struct eb_settings *settings;
	struct eb_core *core; /* receives what the source reads */
	struct eb_metrics *metrics;
	struct eb_log *log;
};

/*
 * A source of configuration. `want` and `decode` are NULL for a source that
 * sends whole configurations to the core on its own.
 */
struct eb_source_ops {
	struct eb_source *(*start)(const struct eb_source_config *cf,
				   struct eb_error *err);
	/* Sets how to read from now on, and from which revision. */
	void (*want)(struct eb_source *sc, enum eb_source_mode mode,
		     uint64_t revision);
	/* Builds a configuration from all items; NULL if some are missing. */
	struct eb_config *(*decode)(const struct eb_adapter *ad,
				    const struct eb_settings *se,
				    const struct eb_feed *fd, int64_t now_us,
				    struct eb_log *lg);
	/* Compares values of an item of different eras; see eb_feed.h. */
	eb_feed_compare compare;
	/* Rereads the settings, which may have changed; may be NULL. */
	void (*reload)(struct eb_source *sc);
	void (*stop)(struct eb_source *sc);
};

/* The first member of every adapter. */
struct eb_adapter {
	const struct eb_dialect *dialect;
	const struct eb_source_ops *source;
};

#endif
