#ifndef EB_CLIENT_H
#define EB_CLIENT_H

#include "eb_adapter.h"
#include "eb_frame.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_ring.h"
#include "eb_status.h"

/*
 * The HTTP client for the upstream beside this daemon, in its own thread. It
 * reads HEAD, DATA, END, RCREDIT and CANCEL from `in` and writes
 * CREDIT, RHEAD, RDATA, REND, REFUSE and ABORT to `out`.
 */
struct eb_client;

struct eb_client_config {
	struct eb_ring *in;
	struct eb_ring *out;
	struct eb_metrics *metrics;
	struct eb_log *log;
	uint32_t connections; /* most connections, idle and busy */
	const struct eb_dialect *dialect;
};

struct eb_client *eb_client_start(const struct eb_client_config *cf,
				  struct eb_error *err);
void eb_client_stop(struct eb_client *cl);

#endif
