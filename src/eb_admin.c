#include "eb_admin.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eb_address.h"

#define CONNECTIONS_MAX 64
#define CONNECTION_MEMORY_BYTES 16384
#define IDLE_TIMEOUT_S 10
#define TRACE_ID_CHARS 32
/* No endpoint uses a request body; one up to this size is discarded. */
#define BODY_MAX_BYTES 4096

struct eb_admin {
	struct MHD_Daemon *http;
	struct MHD_Daemon *ready; /* the --ready address; NULL: not set */
	struct eb_metrics *metrics;
	struct eb_tracer *tracer;
	struct eb_log *log;
	const struct eb_admin_ops *ops;
	void *ctx;
};

struct endpoint {
	const char *path; /* after a final / follows an argument */
	const char *method;
	enum MHD_Result (*answer)(struct eb_admin *am, struct MHD_Connection *c,
				  const char *argument);
};

/*
 * Queues a response and takes ownership of `body`, also on failure. `allow` is
 * the Allow header or NULL.
 */
static enum MHD_Result send_body(struct MHD_Connection *c, unsigned status,
				 const char *type, const char *allow,
				 char *body, size_t bytes)
{
	struct MHD_Response *rs;
	enum MHD_Result result;

	rs = MHD_create_response_from_buffer(bytes, body,
					     MHD_RESPMEM_MUST_FREE);
	if (!rs) {
		free(body);
		return MHD_NO;
	}
	MHD_add_response_header(rs, "Content-Type", type);
	MHD_add_response_header(rs, "Cache-Control", "no-store");
	MHD_add_response_header(rs, "X-Content-Type-Options", "nosniff");
	if (allow)
		MHD_add_response_header(rs, "Allow", allow);
	result = MHD_queue_response(c, status, rs);
	MHD_destroy_response(rs);
	return result;
}

/* Sends a JSON value and releases it; NULL closes the connection. */
static enum MHD_Result send_json(struct MHD_Connection *c, unsigned status,
				 const char *allow, json_t *js)
{
	char *body = js ? json_dumps(js, JSON_INDENT(1)) : NULL;

	json_decref(js);
	if (!body)
		return MHD_NO;
	return send_body(c, status, "application/json", allow, body,
			 strlen(body));
}

static enum MHD_Result send_error(struct MHD_Connection *c, unsigned status,
				  const char *allow, const char *code,
				  const char *reason)
{
	return send_json(c, status, allow,
			 json_pack("{ss ss}", "error", code, "reason", reason));
}

static enum MHD_Result answer_metrics(struct eb_admin *am,
				      struct MHD_Connection *c,
				      const char *argument)
{
	char *body = NULL;
	size_t bytes = 0;
	FILE *out = open_memstream(&body, &bytes);

	(void)argument;
	if (!out)
		return MHD_NO;
	eb_metrics_set(am->metrics, EB_METRIC_LOG_LINES_DROPPED,
		       (int64_t)eb_log_dropped(am->log));
	eb_metrics_print(am->metrics, out);
	if (fclose(out)) {
		free(body);
		return MHD_NO;
	}
	return send_body(c, MHD_HTTP_OK, "text/plain; version=0.0.4", NULL,
			 body, bytes);
}

static enum MHD_Result answer_status(struct eb_admin *am,
				     struct MHD_Connection *c,
				     const char *argument)
{
	json_t *js = am->ops->status(am->ctx);

	(void)argument;
	if (!js)
		return send_error(c, MHD_HTTP_SERVICE_UNAVAILABLE, NULL,
				  "unavailable", "the status is not known yet");
	return send_json(c, MHD_HTTP_OK, NULL, js);
}

static enum MHD_Result answer_trace(struct eb_admin *am,
				    struct MHD_Connection *c,
				    const char *argument)
{
	if (strlen(argument) != TRACE_ID_CHARS ||
	    strspn(argument, "0123456789abcdefABCDEF") != TRACE_ID_CHARS)
		return send_error(c, MHD_HTTP_BAD_REQUEST, NULL, "bad-request",
				  "a trace has 32 hexadecimal digits");
	return send_json(c, MHD_HTTP_OK, NULL,
			 eb_tracer_find(am->tracer, argument));
}

static enum MHD_Result answer_health(struct eb_admin *am,
				     struct MHD_Connection *c,
				     const char *argument)
{
	int draining = eb_metrics_get(am->metrics, EB_METRIC_DRAINING) != 0;

	(void)argument;
	return send_json(
		c, draining ? MHD_HTTP_SERVICE_UNAVAILABLE : MHD_HTTP_OK, NULL,
		json_pack("{ss}", "health", draining ? "draining" : "ok"));
}

static enum MHD_Result answer_ready(struct eb_admin *am,
				    struct MHD_Connection *c,
				    const char *argument)
{
	int ready = (!am->ops->ready || am->ops->ready(am->ctx)) &&
		    !eb_metrics_get(am->metrics, EB_METRIC_DRAINING);

	(void)argument;
	return send_json(c, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
			 NULL, json_pack("{sb}", "ready", ready));
}

static enum MHD_Result answer_drain(struct eb_admin *am,
				    struct MHD_Connection *c,
				    const char *argument)
{
	(void)argument;
	eb_log_write(am->log, EB_LOG_INFO, "admin", "drain requested", NULL);
	am->ops->drain(am->ctx);
	return send_json(c, MHD_HTTP_ACCEPTED, NULL,
			 json_pack("{sb}", "draining", 1));
}

static enum MHD_Result answer_open_claims(struct eb_admin *am,
					  struct MHD_Connection *c,
					  const char *argument)
{
	(void)argument;
	eb_log_write(am->log, EB_LOG_WARN, "admin",
		     "claims opened: the operator stated that no "
		     "idempotency key was used before",
		     NULL);
	am->ops->open_claims(am->ctx);
	return send_json(c, MHD_HTTP_ACCEPTED, NULL,
			 json_pack("{sb}", "claims_open", 1));
}

static const struct endpoint endpoints[] = {
	{ "/metrics", "GET", answer_metrics },
	{ "/status", "GET", answer_status },
	{ "/traces/", "GET", answer_trace },
	{ "/health", "GET", answer_health },
	{ "/ready", "GET", answer_ready },
	{ "/drain", "POST", answer_drain },
	{ "/claims/open", "POST", answer_open_claims },
};

static const struct endpoint *find_endpoint(const char *url)
{
	size_t i, n;

	for (i = 0; i < sizeof(endpoints) / sizeof(*endpoints); i++) {
		n = strlen(endpoints[i].path);
		if (endpoints[i].path[n - 1] == '/'
			    ? !strncmp(url, endpoints[i].path, n)
			    : !strcmp(url, endpoints[i].path))
			return &endpoints[i];
	}
	return NULL;
}

/*
 * Returns 1 if the Host header is an IP address or localhost, with or without
 * a port. This blocks DNS rebinding: a web page whose domain resolves to this
 * address sends its own domain.
 */
static int host_allowed(const char *host)
{
	struct eb_address ad;
	char name[64];
	size_t n;

	if (!host)
		return 0;
	if (!eb_address_parse(host, &ad))
		return 1;
	n = strcspn(host, ":");
	if (*host == '[')
		n = strcspn(host, "]") + 1;
	if (n >= sizeof(name) || (host[n] && host[n] != ':'))
		return 0;
	memcpy(name, host, n);
	name[n] = 0;
	if (!strcasecmp(name, "localhost"))
		return 1;
	if (*name != '[')
		return !eb_address_parse_ip(name, 1, &ad);
	name[n - 1] = 0;
	return host[n - 1] == ']' && !eb_address_parse_ip(name + 1, 1, &ad);
}

static const char *header(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);
}

static enum MHD_Result answer(struct eb_admin *am, struct MHD_Connection *c,
			      const char *url, const char *method)
{
	const struct endpoint *ep = find_endpoint(url);

	if (!host_allowed(header(c, "Host")))
		return send_error(c, MHD_HTTP_FORBIDDEN, NULL, "host",
				  "the Host header must be an IP or localhost");
	/* Origin is sent only by browsers, for a web page. */
	if (header(c, "Origin"))
		return send_error(c, MHD_HTTP_FORBIDDEN, NULL, "origin",
				  "requests of web pages are refused");
	if (!ep)
		return send_error(c, MHD_HTTP_NOT_FOUND, NULL, "not-found",
				  "known: /metrics /status /traces/ID /health "
				  "/ready "
				  "/drain /claims/open");
	if (strcmp(method, ep->method) != 0)
		return send_error(c, MHD_HTTP_METHOD_NOT_ALLOWED, ep->method,
				  "method", "this path has another method");
	return ep->answer(am, c, url + strlen(ep->path));
}

static int body_too_long(struct MHD_Connection *c)
{
	const char *length = header(c, "Content-Length");

	return header(c, "Transfer-Encoding") ||
	       (length && strtoull(length, NULL, 10) > BODY_MAX_BYTES);
}

/*
 * Request handler of libmicrohttpd, which calls it once after the headers, once
 * for each part of the body, which is discarded, and once at the end.
 */
static enum MHD_Result handle(void *cls, struct MHD_Connection *c,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *bytes, void **state)
{
	static int seen;

	(void)version;
	(void)data;
	if (!*state) {
		*state = &seen;
		if (body_too_long(c))
			return send_error(c, MHD_HTTP_CONTENT_TOO_LARGE, NULL,
					  "body", "no path takes a body");
		return MHD_YES;
	}
	if (*bytes) {
		*bytes = 0;
		return MHD_YES;
	}
	return answer(cls, c, url, method);
}

/* Request handler of the --ready address, which serves only GET /ready. */
static enum MHD_Result handle_ready(void *cls, struct MHD_Connection *c,
				    const char *url, const char *method,
				    const char *version, const char *data,
				    size_t *bytes, void **state)
{
	(void)version;
	(void)data;
	(void)state;
	if (*bytes || strcmp(method, "GET") != 0 || strcmp(url, "/ready") != 0)
		return send_error(c, MHD_HTTP_NOT_FOUND, NULL, "not-found",
				  "known: GET /ready");
	return answer_ready(cls, c, "");
}

static enum eb_status start_ready(struct eb_admin *am, const char *address,
				  struct eb_error *err)
{
	struct eb_address ad;

	if (!eb_address_parse(address, &ad))
		am->ready = MHD_start_daemon(
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, 0,
			NULL, NULL, handle_ready, am, MHD_OPTION_SOCK_ADDR,
			(struct sockaddr *)&ad.sa, MHD_OPTION_CONNECTION_LIMIT,
			(unsigned)CONNECTIONS_MAX,
			MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
			MHD_OPTION_END);
	if (am->ready)
		return EB_OK;
	return eb_error_set(err, EB_EIO, "cannot listen on %s", address);
}

/*
 * Starts the admin port, and the --ready address if it is set, each in its own
 * thread. With port 0 the system chooses a free port; eb_admin_port() returns
 * it. Returns NULL and sets `err` when an address is not valid or cannot be
 * bound, or without memory. All arguments but `err` must outlive the admin
 * port.
 */
struct eb_admin *eb_admin_start(const struct eb_settings *se,
				struct eb_metrics *mt, struct eb_tracer *tr,
				struct eb_log *lg,
				const struct eb_admin_ops *ops, void *ctx,
				struct eb_error *err)
{
	unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL;
	struct eb_address ad;
	struct eb_admin *am;

	if (eb_address_parse_ip(se->admin_address, se->admin_port, &ad)) {
		eb_error_set(err, EB_EINVAL, "admin address %s is not an IP",
			     se->admin_address);
		return NULL;
	}
	am = calloc(1, sizeof(*am));
	if (!am) {
		eb_error_set(err, EB_ENOMEM, "no memory for the admin port");
		return NULL;
	}
	am->metrics = mt;
	am->tracer = tr;
	am->log = lg;
	am->ops = ops;
	am->ctx = ctx;
	if (ad.sa.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	am->http = MHD_start_daemon(
		flags, se->admin_port, NULL, NULL, handle, am,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&ad.sa,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (am->http) {
		if (!se->ready_address ||
		    !start_ready(am, se->ready_address, err))
			return am;
		eb_admin_stop(am);
		return NULL;
	}
	free(am);
	eb_error_set(err, EB_EIO, "cannot listen on admin port %s:%u",
		     se->admin_address, se->admin_port);
	return NULL;
}

/* Returns the TCP port of the admin port, or 0 if it is unknown. */
uint16_t eb_admin_port(const struct eb_admin *am)
{
	const union MHD_DaemonInfo *in =
		MHD_get_daemon_info(am->http, MHD_DAEMON_INFO_BIND_PORT);

	return in ? in->port : 0;
}

/* Ends the threads, after the requests they handle, and frees `am`. */
void eb_admin_stop(struct eb_admin *am)
{
	if (!am)
		return;
	if (am->ready)
		MHD_stop_daemon(am->ready);
	MHD_stop_daemon(am->http);
	free(am);
}
