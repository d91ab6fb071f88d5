#ifndef EB_ADAPTER_H
#define EB_ADAPTER_H

#include "eb_config.h"
#include "eb_feed.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_settings.h"
#include "eb_status.h"

/*
 * What differs from one platform to the next: the headers that callers and
 * upstreams speak, and where the configuration comes from.
 */

/* Names of headers; NULL where the platform has none. */
struct eb_dialect {
	/* Of a request, which its upstream repeats on the answer. */
	const char *request_id;
	/* Names the start of the upstream that a request is meant for. */
	const char *expect_instance;
	/* On an answer to a probe: which start of the upstream it is. */
	const char *instance;
	/* On an answer: the upstream did not run the request. */
	const char *not_run;
	/* The service beside which a request began. */
	const char *caller_service;
	/* On an answer: the load of the upstream and its machine. */
	const char *load;
	/* Reads that header's value; returns the pace, or 0. */
	uint16_t (*read_pace)(const char *value);
	/* Retry-After may have a fraction of a second. */
	uint8_t retry_after_fraction;
};

extern const struct eb_dialect eb_dialect_default;

/* How a daemon uses the source at the moment. */
enum eb_source_mode {
	EB_SOURCE_IDLE = 0, /* not at all: others pass changes on */
	EB_SOURCE_GLANCE,   /* cheap reads, which may be a little old */
	EB_SOURCE_READ,	    /* reads that are up to date */
	EB_SOURCE_WATCH,    /* reads, and waits for changes */
};

/* What one call to the source has brought. */
struct eb_source_report {
	uint8_t failed;
	struct eb_feed_change change;
};

struct eb_adapter;
struct eb_core;
struct eb_source;

struct eb_source_config {
	const struct eb_adapter *adapter;
	const struct eb_settings *settings;
	struct eb_core *core; /* gets what the source brings */
	struct eb_metrics *metrics;
	struct eb_log *log;
};

/*
 * A source of configuration. One that pushes whole configurations to the
 * core by itself has neither `want` nor `decode`.
 */
struct eb_source_ops {
	struct eb_source *(*start)(const struct eb_source_config *cf,
				   struct eb_error *err);
	/* Tells how to read from now on, and from which revision. */
	void (*want)(struct eb_source *sc, enum eb_source_mode mode,
		     uint64_t revision);
	/* Makes a configuration of all items; NULL while some are missing. */
	struct eb_config *(*decode)(const struct eb_adapter *ad,
				    const struct eb_settings *se,
				    const struct eb_feed *fd, int64_t now_us,
				    struct eb_log *lg);
	/* The settings may have changed; NULL: nothing is read again. */
	void (*reload)(struct eb_source *sc);
	void (*stop)(struct eb_source *sc);
};

/* The first member of every adapter. */
struct eb_adapter {
	const struct eb_dialect *dialect;
	const struct eb_source_ops *source;
};

#endif
