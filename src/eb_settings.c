#include "eb_settings.h"

#include <argtable2.h>
#include <ctype.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include "eb_address.h"
#include "eb_check.h"
#include "eb_hedge.h"
#include "eb_tunables.h"
#include "ebonypier.h"

#define PARSE_ERRORS_MAX 20
/* A day: longer than any upload, and within the range of the timers. */
#define DRAIN_TIMEOUT_MAX_MS 86400000
#define LINK_MAX_MBPS 1000000
#define ANSWERS_MAX_MB 1000000

enum setting_type {
	SETTING_TEXT = 0,  /* char * */
	SETTING_NAME,	   /* char *, a name as in release notes */
	SETTING_ADDRESS,   /* char *, IP:port */
	SETTING_ADDRESSES, /* char *, IP:port separated by commas */
	SETTING_IP,	   /* char *, IP */
	SETTING_KEY,	   /* char *, Z85 */
	SETTING_FILE,	   /* char *, a readable file */
	SETTING_PORT,	   /* uint16_t */
	SETTING_MS,	   /* uint32_t, milliseconds */
	SETTING_MBPS,	   /* uint32_t, Mbit/s */
	SETTING_MB,	   /* uint32_t, MB of 1,000,000 bytes */
	SETTING_HEDGE,	   /* uint32_t, permille of the requests */
	SETTING_LEVEL,	   /* enum eb_log_level */
	SETTING_SWITCH,	   /* uint8_t; its flag takes no value */
};

struct setting {
	const char *name;
	uint8_t type;
	uint8_t required;
	size_t offset;
	const char *value; /* default, or NULL */
	const char *datatype;
	const char *help;
};

#define AT(member) offsetof(struct eb_settings, member)

static const struct setting settings[] = {
	{ "upstream", SETTING_NAME, 1, AT(upstream), NULL, "NAME",
	  "name of the upstream beside this daemon, as in the release notes" },
	{ "listen", SETTING_ADDRESS, 1, AT(listen_address), NULL, "IP:PORT",
	  "address for callers (HTTP, or HTTPS with --tls-certificate)" },
	{ "daemon", SETTING_ADDRESS, 1, AT(daemon_address), NULL, "IP:PORT",
	  "address for other daemons" },
	{ "admin-address", SETTING_IP, 0, AT(admin_address), "127.0.0.1", "IP",
	  "address of the admin port (default 127.0.0.1)" },
	{ "admin-port", SETTING_PORT, 1, AT(admin_port), NULL, "PORT",
	  "port for metrics, status, traces and draining" },
	{ "platform", SETTING_ADDRESS, 1, AT(platform), NULL, "IP:PORT",
	  "address of the configuration service" },
	{ "region", SETTING_NAME, 1, AT(region), NULL, "NAME",
	  "region of this machine" },
	{ "failure-domain", SETTING_NAME, 1, AT(failure_domain), NULL, "NAME",
	  "failure domain of this machine" },
	{ "service", SETTING_NAME, 0, AT(service), NULL, "NAME",
	  "service of the upstream, where callers are identified by it" },
	{ "ready", SETTING_ADDRESS, 0, AT(ready_address), NULL, "IP:PORT",
	  "address that answers GET /ready with 200 while requests are "
	  "served" },
	{ "peers", SETTING_ADDRESSES, 0, AT(peers), "", "IP:PORT,...",
	  "other daemons to ask when the platform is down" },
	{ "curve-public-key", SETTING_KEY, 0, AT(curve_public), NULL, "KEY",
	  "CURVE public key of this daemon, from `ebonypier keygen`" },
	{ "curve-secret-key", SETTING_KEY, 0, AT(curve_secret), NULL, "KEY",
	  "CURVE secret key; set it by the variable, since flags are "
	  "shown in process lists" },
	{ "plain-peers", SETTING_SWITCH, 0, AT(plain_peers), NULL, NULL,
	  "talk to other daemons without encryption and without keys" },
	{ "tls-certificate", SETTING_FILE, 0, AT(tls_certificate), NULL, "FILE",
	  "PEM certificate for callers; needs --tls-key" },
	{ "tls-key", SETTING_FILE, 0, AT(tls_key), NULL, "FILE",
	  "PEM private key of the certificate" },
	{ "first-start", SETTING_SWITCH, 0, AT(first_start), NULL, NULL,
	  "the whole fleet starts for the first time" },
	{ "uploads-leave-region", SETTING_SWITCH, 0, AT(uploads_leave), NULL,
	  NULL,
	  "send large bodies to other regions when the local region "
	  "refuses them for load" },
	{ "admin-remote", SETTING_SWITCH, 0, AT(admin_remote), NULL, NULL,
	  "allow an admin address that other machines can reach" },
	{ "drain-timeout-ms", SETTING_MS, 0, AT(drain_timeout_ms), "600000",
	  "MS", "longest wait for requests in flight (default 600000)" },
	{ "drain-announce-ms", SETTING_MS, 0, AT(drain_announce_ms), "1500",
	  "MS",
	  "time to notify callers and daemons of a shutdown "
	  "(default 1500)" },
	{ "entry-lapse-ms", SETTING_MS, 0, AT(entry_lapse_ms), "4500", "MS",
	  "how long the source lists an entry that is not renewed (default "
	  "4500)" },
	{ "link-mbps", SETTING_MBPS, 0, AT(link_mbps), NULL, "MBPS",
	  "bandwidth of this machine's link; bounds large answers and "
	  "configurations on it (default: unknown)" },
	{ "answers-max-mb", SETTING_MB, 0, AT(answers_max_mb), "0", "MB",
	  "bound of the bytes of answers held in this daemon (default 0: an "
	  "eighth of the memory of the machine or control group)" },
	{ "answer-unread-ms", SETTING_MS, 0, AT(answer_unread_ms), "60000",
	  "MS",
	  "an answer of which the caller reads nothing for this long is given "
	  "up (default 60000; 0: never)" },
	{ "hedge-permille", SETTING_HEDGE, 0, AT(hedge_permille), "0",
	  "PERMILLE",
	  "copies of slow idempotent requests, at most so many for 1000 "
	  "requests, up to 100 (default 0: none)" },
	{ "log-level", SETTING_LEVEL, 0, AT(log_level), "info", "LEVEL",
	  "error, warn, info or debug (default info)" },
};

#define SETTING_COUNT (sizeof(settings) / sizeof(*settings))

/* Entries of the argtable after those of the settings. */
enum extra {
	EXTRA_HELP = SETTING_COUNT,
	EXTRA_VERSION,
	EXTRA_END,
	EXTRA_COUNT
};

struct reader {
	struct eb_settings *se;
	struct eb_findings *fs;
	void *table[EXTRA_COUNT];
	/* The flag or variable that each value is from; "" for a default. */
	char sources[SETTING_COUNT][48];
};

static void variable_name(const struct setting *st, char *out, size_t bytes)
{
	size_t n = (size_t)snprintf(out, bytes, "EBONYPIER_%s", st->name), i;

	for (i = 0; i < n && out[i]; i++)
		out[i] = out[i] == '-' ? '_'
				       : (char)toupper((unsigned char)out[i]);
}

static const char *check_addresses(const char *text)
{
	char one[64];
	size_t n;

	while (*text) {
		n = strcspn(text, ",");
		if (!n || n >= sizeof(one))
			return "expected IP:port, with commas between";
		memcpy(one, text, n);
		one[n] = 0;
		if (eb_check_address(one))
			return "expected IP:port, with commas between";
		text += n + (text[n] == ',');
	}
	return NULL;
}

static const char *check_file(const char *text)
{
	struct stat sb;

	if (stat(text, &sb) || !S_ISREG(sb.st_mode) || access(text, R_OK))
		return "not a readable file";
	return NULL;
}

static const char *read_number(const char *text, uint32_t min, uint32_t max,
			       uint32_t *out)
{
	unsigned long long n;
	char *end;

	if (!isdigit((unsigned char)*text))
		return "expected a number";
	n = strtoull(text, &end, 10);
	if (*end)
		return "expected a number";
	if (n < min || n > max)
		return "the number is out of range";
	*out = (uint32_t)n;
	return NULL;
}

static const char *read_switch(const char *text, uint8_t *out)
{
	if (strcmp(text, "1") != 0 && strcmp(text, "0") != 0)
		return "expected 1 or 0";
	*out = *text == '1';
	return NULL;
}

/* Returns why a text value is not valid, or NULL. */
static const char *check_text(const struct setting *st, const char *text)
{
	struct eb_address ad;

	switch (st->type) {
	case SETTING_NAME:
		return eb_check_name(text);
	case SETTING_ADDRESS:
		return eb_check_address(text);
	case SETTING_ADDRESSES:
		return check_addresses(text);
	case SETTING_IP:
		return eb_address_parse_ip(text, 1, &ad)
			       ? "expected an IP address"
			       : NULL;
	case SETTING_KEY:
		return eb_check_key(text);
	case SETTING_FILE:
		return check_file(text);
	default:
		return NULL;
	}
}

/* Stores one value in its member; returns why it is not valid, or NULL. */
static const char *read_value(const struct setting *st, const char *text,
			      struct eb_settings *se)
{
	void *dest = (char *)se + st->offset;
	const char *reason;
	uint32_t number = 0;

	switch (st->type) {
	case SETTING_PORT:
		reason = read_number(text, 1, UINT16_MAX, &number);
		*(uint16_t *)dest = (uint16_t)number;
		return reason;
	case SETTING_MS:
		return read_number(text, 0, DRAIN_TIMEOUT_MAX_MS, dest);
	case SETTING_MBPS:
		return read_number(text, 1, LINK_MAX_MBPS, dest);
	case SETTING_MB:
		return read_number(text, 0, ANSWERS_MAX_MB, dest);
	case SETTING_HEDGE:
		return read_number(text, 0, EB_HEDGE_PERMILLE_MAX, dest);
	case SETTING_SWITCH:
		return read_switch(text, dest);
	case SETTING_LEVEL:
		return eb_log_level_parse(text, dest)
			       ? "expected error, warn, info or debug"
			       : NULL;
	default:
		reason = check_text(st, text);
		if (reason)
			return reason;
		*(char **)dest = strdup(text);
		return *(char **)dest ? NULL : "out of memory";
	}
}

/*
 * Reads a setting from its flag, else its variable, else its default. Adds a
 * finding if a required one is missing or the value is not valid.
 */
static void read_setting(struct reader *rd, size_t i)
{
	const struct setting *st = &settings[i];
	const char *value = st->value, *env, *reason;
	struct arg_str *flag = rd->table[i];
	struct arg_lit *on = rd->table[i];
	char variable[48];

	variable_name(st, variable, sizeof(variable));
	env = getenv(variable);
	if (st->type == SETTING_SWITCH ? on->count : flag->count) {
		value = st->type == SETTING_SWITCH ? "1" : flag->sval[0];
		snprintf(rd->sources[i], sizeof(rd->sources[i]), "--%s",
			 st->name);
	} else if (env && *env) {
		value = env;
		memcpy(rd->sources[i], variable, sizeof(variable));
	}
	if (!value) {
		if (st->required)
			eb_findings_add(rd->fs, "settings", 0, st->name,
					"required: set --%s or %s", st->name,
					variable);
		return;
	}
	reason = read_value(st, value, rd->se);
	if (reason)
		eb_findings_add(rd->fs, rd->sources[i], 0, st->name, "%s",
				reason);
}

/* Returns the flag or variable that set a value, or "settings" for neither. */
static const char *source_of(const struct reader *rd, const char *name)
{
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++)
		if (!strcmp(settings[i].name, name))
			return *rd->sources[i] ? rd->sources[i] : "settings";
	return "settings";
}

/* Adds a finding if only one of tls-certificate and tls-key is set. */
static void check_tls(struct reader *rd)
{
	int certificate = strcmp(source_of(rd, "tls-certificate"), "settings");
	int key = strcmp(source_of(rd, "tls-key"), "settings");

	if (certificate && !key)
		eb_findings_add(rd->fs, source_of(rd, "tls-certificate"), 0,
				"tls-key", "required with tls-certificate");
	if (key && !certificate)
		eb_findings_add(rd->fs, source_of(rd, "tls-key"), 0,
				"tls-certificate", "required with tls-key");
}

/*
 * Adds a finding for a missing key, unless --plain-peers is set, and for a
 * public key that does not belong to the secret key.
 */
static void check_curve(struct reader *rd)
{
	static const char *const names[] = { "curve-public-key",
					     "curve-secret-key" };
	const struct eb_settings *se = rd->se;
	char derived[EB_CURVE_KEY_CHARS + 1];
	const char *source;
	int i;

	for (i = 0; i < 2 && !se->plain_peers; i++) {
		source = source_of(rd, names[i]);
		if (!strcmp(source, "settings"))
			eb_findings_add(rd->fs, source, 0, names[i],
					"required unless --plain-peers is set");
	}
	if (se->curve_public && se->curve_secret &&
	    !zmq_curve_public(derived, se->curve_secret) &&
	    strcmp(derived, se->curve_public) != 0)
		eb_findings_add(rd->fs, source_of(rd, names[0]), 0, names[0],
				"not the public key of curve-secret-key");
}

static void check_admin(struct reader *rd)
{
	const struct eb_settings *se = rd->se;
	struct eb_address ad;

	if (!se->admin_address || se->admin_remote ||
	    eb_address_parse_ip(se->admin_address, 1, &ad))
		return;
	if (!eb_address_is_loopback(&ad))
		eb_findings_add(rd->fs, source_of(rd, "admin-address"), 0,
				"admin-address",
				"not a loopback address; the admin port has no "
				"login, set --admin-remote to allow this");
}

/*
 * Adds a finding for each error of the command line. Values are not printed,
 * since one may be a secret key.
 */
static void add_parse_errors(struct reader *rd)
{
	struct arg_end *end = rd->table[EXTRA_END];
	struct arg_hdr *parent;
	char *text = NULL, *value;
	size_t bytes = 0;
	FILE *out;
	int i;

	for (i = 0; i < end->count; i++) {
		parent = end->parent[i];
		if (parent != &end->hdr) {
			eb_findings_add(rd->fs, "command line", 0,
					parent->longopts,
					"given more than once");
			continue;
		}
		out = open_memstream(&text, &bytes);
		if (!out)
			return;
		parent->errorfn(parent, out, end->error[i], end->argval[i], "");
		fclose(out);
		value = strchr(text, '=');
		if (value)
			memcpy(value, "\"", 2);
		text[strcspn(text, "\n")] = 0;
		eb_findings_add(rd->fs, "command line", 0, "flag", "%s",
				text + strspn(text, ": "));
		free(text);
		text = NULL;
	}
}

static void print_help(struct reader *rd)
{
	char variable[48];
	size_t i;

	printf("Usage: ebonypierd");
	arg_print_syntaxv(stdout, rd->table, "\n");
	printf("\nRuns the load balancer's daemon beside one upstream until "
	       "SIGTERM or SIGINT.\nA flag takes precedence over its "
	       "environment variable; an empty variable counts as not "
	       "set.\nVariables of flags without a value are 1 or 0.\n\n");
	for (i = 0; i < SETTING_COUNT; i++) {
		variable_name(&settings[i], variable, sizeof(variable));
		printf("  --%s%s%s, %s%s\n\t%s\n", settings[i].name,
		       settings[i].datatype ? "=" : "",
		       settings[i].datatype ? settings[i].datatype : "",
		       variable, settings[i].required ? " (required)" : "",
		       settings[i].help);
	}
	printf("  --help\n\tprint this text\n  --version\n\tprint the version\n"
	       "\nExample, with keys from `ebonypier keygen`:\n"
	       "  ebonypierd --upstream=agenda-1 --listen=127.0.0.1:25001 \\\n"
	       "    --daemon=127.0.0.1:23001 --admin-port=26001 \\\n"
	       "    --platform=127.0.0.1:20000 --region=santiago \\\n"
	       "    --failure-domain=santiago-a \\\n"
	       "    --curve-public-key=KEY --curve-secret-key=KEY\n"
	       "\nExit status: 0 after a shutdown, 1 after a failure, 2 for "
	       "wrong settings.\n");
}

static int make_table(struct reader *rd)
{
	const struct setting *st;
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		st = &settings[i];
		if (st->type == SETTING_SWITCH)
			rd->table[i] = arg_lit0(NULL, st->name, st->help);
		else
			rd->table[i] = arg_str0(NULL, st->name, st->datatype,
						st->help);
	}
	rd->table[EXTRA_HELP] = arg_lit0("h", "help", "print this text");
	rd->table[EXTRA_VERSION] = arg_lit0(NULL, "version", "the version");
	rd->table[EXTRA_END] = arg_end(PARSE_ERRORS_MAX);
	return arg_nullcheck(rd->table);
}

static enum eb_settings_result read_all(struct reader *rd, int argc,
					char **argv)
{
	uint32_t before = rd->fs->count;
	int errors = arg_parse(argc, argv, rd->table);
	size_t i;

	if (((struct arg_lit *)rd->table[EXTRA_HELP])->count) {
		print_help(rd);
		return EB_SETTINGS_EXIT;
	}
	if (((struct arg_lit *)rd->table[EXTRA_VERSION])->count) {
		printf("ebonypierd %s\n", EBONYPIER_VERSION);
		return EB_SETTINGS_EXIT;
	}
	if (errors)
		add_parse_errors(rd);
	for (i = 0; i < SETTING_COUNT; i++)
		read_setting(rd, i);
	check_tls(rd);
	check_curve(rd);
	check_admin(rd);
	return rd->fs->count == before ? EB_SETTINGS_RUN : EB_SETTINGS_INVALID;
}

/*
 * Reads all settings from the arguments and the environment. Returns
 * EB_SETTINGS_RUN with `se` filled in, which eb_settings_clear() frees;
 * EB_SETTINGS_EXIT after printing --help or --version to standard output; or
 * EB_SETTINGS_INVALID with a finding in `fs` for each setting that is missing
 * or not valid. After EXIT and WRONG `se` is empty.
 */
enum eb_settings_result eb_settings_read(struct eb_settings *se, int argc,
					 char **argv, struct eb_findings *fs)
{
	struct reader rd = { .se = se, .fs = fs };
	enum eb_settings_result result = EB_SETTINGS_INVALID;

	memset(se, 0, sizeof(*se));
	if (make_table(&rd))
		eb_findings_add(fs, "settings", 0, "all", "out of memory");
	else
		result = read_all(&rd, argc, argv);
	arg_freetable(rd.table, EXTRA_COUNT);
	if (result != EB_SETTINGS_RUN)
		eb_settings_clear(se);
	return result;
}

/* Returns the limit of a resource of this process, or `other` without one. */
static int64_t least_limit(int resource, int64_t other)
{
	struct rlimit rl;

	if (getrlimit(resource, &rl) || rl.rlim_cur == RLIM_INFINITY ||
	    rl.rlim_cur >= (uint64_t)other)
		return other;
	return (int64_t)rl.rlim_cur;
}

/* Returns the limit that a file of a control group has, or `other`. */
static int64_t group_limit(const char *file, int64_t other)
{
	FILE *in = fopen(file, "r");
	long long bytes = 0;

	if (!in)
		return other;
	/* The text is "max" without a limit. */
	if (fscanf(in, "%lld", &bytes) != 1)
		bytes = 0;
	fclose(in);
	return bytes > 0 && bytes < other ? bytes : other;
}

/*
 * Returns the bound of the bytes of answers that this daemon holds: one half
 * for those of its upstream, one for those to its callers. Without the setting
 * it is an eighth of the memory: of the machine, or less if the limits of the
 * process or its control group are lower.
 */
int64_t eb_settings_answers_max_bytes(const struct eb_settings *se)
{
	int64_t memory =
		(int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);

	if (se->answers_max_mb)
		return se->answers_max_mb * INT64_C(1000000);
	memory = least_limit(RLIMIT_AS, memory);
	memory = group_limit("/sys/fs/cgroup/memory.max", memory);
	memory = group_limit("/sys/fs/cgroup/memory/memory.limit_in_bytes",
			     memory);
	return memory / EB_ANSWERS_MEMORY_SHARE;
}

/* Frees all values, after overwriting the secret key, and empties `se`. */
void eb_settings_clear(struct eb_settings *se)
{
	size_t i;

	if (se->curve_secret)
		explicit_bzero(se->curve_secret, strlen(se->curve_secret));
	for (i = 0; i < SETTING_COUNT; i++)
		if (settings[i].type <= SETTING_FILE)
			free(*(char **)((char *)se + settings[i].offset));
	memset(se, 0, sizeof(*se));
}
