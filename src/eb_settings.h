#ifndef EB_SETTINGS_H
#define EB_SETTINGS_H

#include <stdint.h>

#include "eb_findings.h"
#include "eb_log.h"
#include "eb_status.h"

/*
 * Settings of the daemon. Each flag has an environment variable of the same
 * name, such as EBONYPIER_ADMIN_PORT for --admin-port. The flag takes
 * precedence.
 */
struct eb_settings {
	char *upstream;	       /* --upstream: name in the release notes */
	char *listen_address;  /* --listen: IP:port for callers */
	char *daemon_address;  /* --daemon: IP:port for other daemons */
	char *admin_address;   /* --admin-address: IP, default 127.0.0.1 */
	uint16_t admin_port;   /* --admin-port */
	char *platform;	       /* --platform: IP:port */
	char *region;	       /* --region */
	char *failure_domain;  /* --failure-domain */
	char *service;	       /* --service: service of the upstream */
	char *ready_address;   /* --ready: IP:port for GET /ready */
	char *peers;	       /* --peers: IP:port,... of other daemons */
	char *curve_public;    /* --curve-public-key: Z85, 40 characters */
	char *curve_secret;    /* --curve-secret-key: Z85, 40 characters */
	uint8_t plain_peers;   /* --plain-peers: no CURVE between daemons */
	char *tls_certificate; /* --tls-certificate: PEM file */
	char *tls_key;	       /* --tls-key: PEM file */
	uint8_t first_start;   /* --first-start: first start of the fleet */
	uint8_t uploads_leave; /* --uploads-leave-region: under load */
	uint8_t admin_remote;  /* --admin-remote: allow other than loopback */
	uint32_t drain_timeout_ms;   /* --drain-timeout-ms, default 600000 */
	uint32_t drain_announce_ms;  /* --drain-announce-ms, default 1500 */
	uint32_t entry_lapse_ms;     /* --entry-lapse-ms, default 4500 */
	uint32_t link_mbps;	     /* --link-mbps, 0: unknown */
	uint32_t answers_max_mb;     /* --answers-max-mb, 0: from memory */
	uint32_t answer_unread_ms;   /* --answer-unread-ms, default 60000 */
	uint32_t hedge_permille;     /* --hedge-permille, default 0: off */
	enum eb_log_level log_level; /* --log-level */
};

enum eb_settings_result {
	EB_SETTINGS_RUN = 0,
	EB_SETTINGS_EXIT, /* --help or --version was printed */
	EB_SETTINGS_INVALID,
};

enum eb_settings_result eb_settings_read(struct eb_settings *se, int argc,
					 char **argv, struct eb_findings *fs);
int64_t eb_settings_answers_max_bytes(const struct eb_settings *se);
void eb_settings_clear(struct eb_settings *se);

#endif
