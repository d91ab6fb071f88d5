#include "eb_daemon.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "eb_adapter.h"
#include "eb_admin.h"
#include "eb_client.h"
#include "eb_clock.h"
#include "eb_core.h"
#include "eb_front.h"
#include "eb_platform.h"
#include "eb_test_off.h"
#include "eb_tunables.h"
#include "ebonypier.h"

#define STOP_POLL_MS 20
/*
 * A caller may send another request on an open connection until it receives
 * "Connection: close", so the daemon keeps running for this long after the last
 * answer.
 */
#define STOP_LINGER_MS 500
/*
 * Idle connections are closed this long before the drain timeout, since a
 * request that arrives later could be aborted by the timeout.
 */
#define IDLE_CLOSE_LEAD_MS 2500

struct daemon {
	struct eb_settings settings;
	struct eb_log *log;
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	struct eb_ring *rings[5];
	struct eb_client *client;
	struct eb_core *core;
	struct eb_front *front;
	const struct eb_adapter *adapter;
	struct eb_source *source;
	struct eb_admin *admin;
};

enum ring {
	RING_CONTROL,
	RING_FRONT_IN,
	RING_FRONT_OUT,
	RING_CLIENT_IN,
	RING_CLIENT_OUT
};

static json_t *admin_status(void *ctx)
{
	struct daemon *dm = ctx;

	return eb_core_status(dm->core);
}

static int admin_ready(void *ctx)
{
	struct daemon *dm = ctx;

	return eb_core_serving(dm->core);
}

static void admin_drain(void *ctx)
{
	struct daemon *dm = ctx;

	eb_core_drain(dm->core);
}

static void admin_open_claims(void *ctx)
{
	struct daemon *dm = ctx;

	eb_core_open_claims(dm->core);
}

static enum eb_status start_base(struct daemon *dm, struct eb_error *err)
{
	int i;

	dm->log = eb_log_new(STDOUT_FILENO, dm->settings.log_level);
	dm->metrics = eb_metrics_new();
	dm->tracer = eb_tracer_new(dm->settings.upstream, EB_SPANS_MAX);
	for (i = 0; i < 5; i++) {
		dm->rings[i] = eb_ring_new(EB_RING_SLOTS);
		if (!dm->rings[i])
			return eb_error_set(err, EB_ENOMEM, "out of memory");
	}
	if (!dm->log || !dm->metrics || !dm->tracer)
		return eb_error_set(err, EB_ENOMEM, "out of memory");
	return EB_OK;
}

static enum eb_status start_threads(struct daemon *dm, struct eb_error *err)
{
	struct eb_client_config client = { dm->rings[RING_CLIENT_IN],
					   dm->rings[RING_CLIENT_OUT],
					   dm->metrics,
					   dm->log,
					   200,
					   dm->adapter->dialect };
	struct eb_core_config core = {
		&dm->settings,
		dm->rings[RING_CONTROL],
		dm->rings[RING_FRONT_OUT],
		dm->rings[RING_CLIENT_OUT],
		dm->rings[RING_FRONT_IN],
		dm->rings[RING_CLIENT_IN],
		dm->metrics,
		dm->tracer,
		dm->log,
		dm->adapter,
	};
	struct eb_front_config front = { &dm->settings,
					 dm->rings[RING_FRONT_IN],
					 dm->rings[RING_FRONT_OUT],
					 dm->metrics,
					 dm->log,
					 dm->adapter->dialect };
	struct eb_source_config source = { dm->adapter, &dm->settings, NULL,
					   dm->metrics, dm->log };
	static const struct eb_admin_ops ops = { admin_status, admin_drain,
						 admin_open_claims,
						 admin_ready };

	dm->client = eb_client_start(&client, err);
	if (!dm->client)
		return err->status;
	dm->core = eb_core_start(&core, err);
	if (!dm->core)
		return err->status;
	dm->front = eb_front_start(&front, err);
	if (!dm->front)
		return err->status;
	dm->admin = eb_admin_start(&dm->settings, dm->metrics, dm->tracer,
				   dm->log, &ops, dm, err);
	if (!dm->admin)
		return err->status;
	source.core = dm->core;
	dm->source = dm->adapter->source->start(&source, err);
	if (!dm->source)
		return err->status;
	if (dm->adapter->source->want)
		eb_core_set_source(dm->core, dm->source);
	return EB_OK;
}

static void free_ring(struct eb_ring *rg)
{
	void *items[EB_BATCH_FRAMES];
	uint32_t i, n;

	if (!rg)
		return;
	while ((n = eb_ring_pop(rg, items, EB_BATCH_FRAMES)))
		for (i = 0; i < n; i++)
			eb_frame_unref(items[i]);
	eb_ring_free(rg);
}

/*
 * Stops all threads and frees everything. The core and the source call each
 * other: the core's thread is stopped first, and the core is freed last.
 */
static void stop_all(struct daemon *dm)
{
	int i;

	eb_admin_stop(dm->admin);
	eb_front_stop(dm->front);
	eb_core_stop(dm->core);
	if (dm->source)
		dm->adapter->source->stop(dm->source);
	eb_core_free(dm->core);
	eb_client_stop(dm->client);
	for (i = 0; i < 5; i++)
		free_ring(dm->rings[i]);
	eb_tracer_free(dm->tracer);
	eb_metrics_free(dm->metrics);
	eb_log_free(dm->log);
}

static void sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	nanosleep(&ts, NULL);
}

/*
 * Waits until the callers have closed the connections that this daemon has
 * closed, for STOP_LINGER_MS at most: the end of the process resets those from
 * which it has not read everything.
 */
static void wait_for_callers(const struct daemon *dm)
{
	int64_t until_us = eb_clock_now_us() + STOP_LINGER_MS * 1000;

	while (eb_front_connections(dm->front) && eb_clock_now_us() < until_us)
		sleep_ms(STOP_POLL_MS);
}

/* Tells whether a request is in flight at the front, origin or gate. */
static int is_active(const struct daemon *dm)
{
	return eb_core_active(dm->core) || eb_front_active(dm->front);
}

/*
 * Drains the daemon: the gate refuses new calls, and the front accepts
 * connections for the announce time, in which callers and other daemons are
 * notified. Then the listener is closed and the requests in flight finish. When
 * none was in flight for STOP_LINGER_MS since then, the idle connections are
 * closed: a request is either read before that and answered, or never read.
 *
 * Returns when no connection is open, or at the drain timeout; stop_all() then
 * aborts the requests that are left.
 */
static void drain(struct daemon *dm)
{
	int64_t start_us = eb_clock_now_us(), idle_us = start_us, now_us;
	int64_t announce_us = dm->settings.drain_announce_ms * 1000LL;
	int64_t limit_us = dm->settings.drain_timeout_ms * 1000LL;
	int closing = 0;

	if (eb_test_off("graceful-stop"))
		return;
	eb_core_drain(dm->core);
	eb_front_drain(dm->front);
	for (;;) {
		now_us = eb_clock_now_us();
		if (closing && !eb_front_open(dm->front) && !is_active(dm)) {
			wait_for_callers(dm);
			break;
		}
		if (is_active(dm))
			idle_us = now_us;
		if (now_us - start_us >= announce_us)
			eb_front_close_listener(dm->front);
		/* A connection that was just accepted may carry a request. */
		if (now_us - start_us >= announce_us + STOP_LINGER_MS * 1000)
			closing |= now_us - idle_us >= STOP_LINGER_MS * 1000;
		closing |= now_us - start_us >
			   limit_us - IDLE_CLOSE_LEAD_MS * 1000;
		if (closing) {
			eb_front_close_listener(dm->front);
			eb_front_close_idle(dm->front);
		}
		if (now_us - start_us > limit_us) {
			eb_log_write(
				dm->log, EB_LOG_ERROR, "daemon",
				"drain timeout: requests in flight are aborted",
				"calls=%u", eb_core_active(dm->core));
			break;
		}
		sleep_ms(STOP_POLL_MS);
	}
}

/*
 * Reloads the source at each SIGHUP and returns at the first SIGTERM or SIGINT.
 * Only this thread handles signals.
 */
static void wait_for_signal(struct daemon *dm, sigset_t *set)
{
	int sig;

	for (;;) {
		if (sigwait(set, &sig))
			continue;
		if (sig != SIGHUP)
			return;
		eb_log_write(dm->log, EB_LOG_INFO, "daemon", "reload", NULL);
		if (dm->adapter->source->reload)
			dm->adapter->source->reload(dm->source);
	}
}

static int run(struct daemon *dm, sigset_t *signals)
{
	struct eb_error err = { 0 };

	if (start_base(dm, &err) || start_threads(dm, &err)) {
		fprintf(stderr, "ebonypierd: %s\n", err.message);
		stop_all(dm);
		return EBONYPIER_EXIT_FAILURE;
	}
	eb_log_write(dm->log, EB_LOG_INFO, "daemon", "started",
		     "upstream=%s listen=%s daemon=%s", dm->settings.upstream,
		     dm->settings.listen_address, dm->settings.daemon_address);
	wait_for_signal(dm, signals);
	drain(dm);
	eb_log_write(dm->log, EB_LOG_INFO, "daemon", "stopped", NULL);
	stop_all(dm);
	return EBONYPIER_EXIT_OK;
}

/*
 * Blocks the signals that the daemon waits for and stores them in `set`. A
 * program calls it before anything else, since an unblocked SIGHUP ends the
 * process.
 */
void eb_daemon_block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

/*
 * Runs the daemon with an adapter, which must outlive it. The first SIGTERM or
 * SIGINT shuts it down; further ones have no effect. Returns the exit status of
 * the process.
 */
int eb_daemon_run(int argc, char **argv, const struct eb_adapter *ad)
{
	struct daemon dm = { .adapter = ad };
	struct eb_findings fs = { 0 };
	sigset_t signals;
	int status = EBONYPIER_EXIT_OK;

	eb_daemon_block_signals(&signals);
	signal(SIGPIPE, SIG_IGN);
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT))
		return EBONYPIER_EXIT_FAILURE;
	switch (eb_settings_read(&dm.settings, argc, argv, &fs)) {
	case EB_SETTINGS_RUN:
		status = run(&dm, &signals);
		break;
	case EB_SETTINGS_EXIT:
		break;
	default:
		eb_findings_print(&fs, stderr);
		status = EBONYPIER_EXIT_USAGE;
		break;
	}
	eb_findings_clear(&fs);
	eb_settings_clear(&dm.settings);
	curl_global_cleanup();
	apr_terminate();
	return status;
}

/*
 * Runs the daemon with the adapter that reads release notes. Returns the exit
 * status of the process.
 */
int ebonypier_daemon_main(int argc, char **argv)
{
	static const struct eb_adapter default_adapter = {
		&eb_dialect_default, &eb_platform_source
	};

	return eb_daemon_run(argc, argv, &default_adapter);
}
