#include <argtable2.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <spawn.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

/*
 * Measures what the path through daemons adds: the same load goes directly to
 * a stand-in upstream, through one hop (the upstream beside the origin) and
 * through two hops, in one run. Prints one JSON object a line.
 */

#define MEMBERS 2
#define PORTS 5 /* upstream, its control, callers, daemons, admin */
#define ADDED_P99_TARGET_US 960
#define RESIDENT_TARGET_KB 65536
#define UPLOAD_BYTES 1073741824.0
#define CONNECTIONS_HELD 200
#define SAMPLE_US 20000

extern char **environ;

enum path { PATH_DIRECT = 0, PATH_ONE, PATH_TWO, PATH_COUNT };

static const char *const path_names[] = { "direct", "one_hop", "two_hops" };
/* Each service has one upstream: the first is beside the origin. */
static const char *const service_names[] = { "near", "far" };

struct member {
	int port[PORTS];
	char public_key[41];
	char secret_key[41];
	pid_t upstream;
	pid_t daemon;
};

struct bench {
	const char *build;
	char dir[64];
	int platform_port;
	pid_t platform;
	struct member mb[MEMBERS];
	int connections;
	int seconds;
	int rounds;
	int bytes;
	long ticks_per_s;
};

/* What one run of the caller gave. */
struct result {
	double p50_us;
	double p99_us;
	double p999_us;
	double per_s;
	double ok;
	double lost;
	double daemon_cpu_us; /* of all daemons */
	double peer_bytes;
	double elapsed_us;
};

struct text {
	char *bytes;
	size_t used;
};

enum port { UPSTREAM = 0, CONTROL, CALLERS, DAEMONS, ADMIN };

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Ends a program by its id and reaps it. */
static void stop(pid_t pid, int sig)
{
	if (pid <= 0)
		return;
	kill(pid, sig);
	while (waitpid(pid, NULL, 0) < 0 && errno == EINTR)
		;
}

/* Tells whether a child still runs, without reaping it. */
static int is_running(pid_t pid)
{
	siginfo_t info = { 0 };

	return !waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) &&
	       !info.si_pid;
}

static void stop_all(struct bench *bn)
{
	int i;

	for (i = 0; i < MEMBERS; i++) {
		stop(bn->mb[i].daemon, SIGTERM);
		stop(bn->mb[i].upstream, SIGTERM);
	}
	stop(bn->platform, SIGTERM);
}

/* Ends the programs that were started, and then this one. */
static void fail(struct bench *bn, const char *what)
{
	fprintf(stderr, "path: %s\n", what);
	stop_all(bn);
	exit(1);
}

/*
 * Starts a program with its output in `fd` and, if not NULL, one more
 * variable in its environment.
 */
static pid_t start(struct bench *bn, char **argv, int fd, const char *variable)
{
	posix_spawn_file_actions_t acts;
	char *vars[512];
	pid_t pid;
	size_t n = 0;
	char **e;

	for (e = environ; *e && n < 510; e++)
		vars[n++] = *e;
	if (variable)
		vars[n++] = (char *)variable;
	vars[n] = NULL;
	posix_spawn_file_actions_init(&acts);
	posix_spawn_file_actions_adddup2(&acts, fd, 1);
	if (posix_spawn(&pid, argv[0], &acts, NULL, argv, vars))
		fail(bn, argv[0]);
	posix_spawn_file_actions_destroy(&acts);
	return pid;
}

static size_t on_text(char *data, size_t one, size_t n, void *cls)
{
	struct text *tx = cls;
	char *more = realloc(tx->bytes, tx->used + n + 1);

	(void)one;
	if (!more)
		return 0;
	tx->bytes = more;
	memcpy(tx->bytes + tx->used, data, n);
	tx->used += n;
	tx->bytes[tx->used] = '\0';
	return n;
}

/* Reads a page on loopback; NULL on failure. */
static char *fetch(int port, const char *path)
{
	struct text tx = { NULL, 0 };
	CURL *cu = curl_easy_init();
	char url[128];
	CURLcode code;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	curl_easy_setopt(cu, CURLOPT_URL, url);
	curl_easy_setopt(cu, CURLOPT_PROXY, "");
	curl_easy_setopt(cu, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(cu, CURLOPT_WRITEFUNCTION, on_text);
	curl_easy_setopt(cu, CURLOPT_WRITEDATA, &tx);
	code = curl_easy_perform(cu);
	curl_easy_cleanup(cu);
	if (code == CURLE_OK)
		return tx.bytes;
	free(tx.bytes);
	return NULL;
}

/* Reads a metric of a daemon, or -1. */
static double metric(int admin_port, const char *name)
{
	char *text = fetch(admin_port, "/metrics"), *at, head[128];
	double value = -1;

	snprintf(head, sizeof(head), "\nebonypier_%s ", name);
	at = text ? strstr(text, head) : NULL;
	if (at)
		value = strtod(at + strlen(head), NULL);
	free(text);
	return value;
}

/* Returns the CPU time that a process has used, from /proc/PID/stat. */
static double cpu_us(const struct bench *bn, pid_t pid)
{
	char path[64], line[1024], *at;
	unsigned long user = 0, sys = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	in = fopen(path, "re");
	if (!in)
		return 0;
	at = fgets(line, sizeof(line), in) ? strrchr(line, ')') : NULL;
	fclose(in);
	/* After the name: state and ten numbers, then utime and stime. */
	if (!at || sscanf(at + 1,
			  " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
			  "%lu %lu",
			  &user, &sys) != 2)
		return 0;
	return (double)(user + sys) * 1e6 / (double)bn->ticks_per_s;
}

/* Reads a field of /proc/PID/status in kB. */
static long status_kb(pid_t pid, const char *field)
{
	char path[64], line[256];
	long kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "re");
	while (in && fgets(line, sizeof(line), in))
		if (!strncmp(line, field, strlen(field)))
			kb = strtol(line + strlen(field) + 1, NULL, 10);
	if (in)
		fclose(in);
	return kb;
}

/* Writes the release note: two services with one upstream each. */
static void write_note(struct bench *bn, const char *path)
{
	json_t *sv = json_array(), *up = json_array(), *note;
	char address[32], gate[32], prefix[32];
	int i;

	for (i = 0; i < MEMBERS; i++) {
		const struct member *mb = &bn->mb[i];

		snprintf(prefix, sizeof(prefix), "/%s", service_names[i]);
		json_array_append_new(sv, json_pack("{s:s,s:{s:s},s:i}", "name",
						    service_names[i], "match",
						    "path_prefix", prefix,
						    "deadline_ms", 600000));
		snprintf(address, sizeof(address), "127.0.0.1:%d",
			 mb->port[UPSTREAM]);
		snprintf(gate, sizeof(gate), "127.0.0.1:%d", mb->port[DAEMONS]);
		json_array_append_new(
			up, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i}",
				      "name", service_names[i], "service",
				      service_names[i], "address", address,
				      "daemon", gate, "key", mb->public_key,
				      "region", "santiago", "failure_domain",
				      "santiago-1", "slots", 200, "connections",
				      200));
	}
	note = json_pack("{s:i,s:i,s:s,s:{s:o,s:o,s:[]}}", "release", 1,
			 "builds_on", 0, "note", "path benchmark", "added",
			 "services", sv, "upstreams", up, "rules");
	if (json_dump_file(note, path, JSON_INDENT(1)))
		fail(bn, "cannot write the release note");
	json_decref(note);
}

static void start_upstream(struct bench *bn, int i, int log)
{
	struct member *mb = &bn->mb[i];
	char program[256], at[32], control[32];
	char *argv[] = { program, "--listen",  at,    "--control",
			 control, "--slots",   "200", "--connections",
			 "250",	  "--records", "64",  NULL };

	snprintf(program, sizeof(program), "%s/standins/upstream", bn->build);
	snprintf(at, sizeof(at), "127.0.0.1:%d", mb->port[UPSTREAM]);
	snprintf(control, sizeof(control), "127.0.0.1:%d", mb->port[CONTROL]);
	mb->upstream = start(bn, argv, log, NULL);
}

static void start_daemon(struct bench *bn, int i, int log)
{
	struct member *mb = &bn->mb[i];
	char program[256], at[32], gate[32], admin[16], platform[32];
	char secret[96];
	char *argv[] = { program,
			 "--upstream",
			 (char *)service_names[i],
			 "--listen",
			 at,
			 "--daemon",
			 gate,
			 "--admin-port",
			 admin,
			 "--platform",
			 platform,
			 "--region",
			 "santiago",
			 "--failure-domain",
			 "santiago-1",
			 "--curve-public-key",
			 mb->public_key,
			 NULL };

	snprintf(program, sizeof(program), "%s/ebonypierd", bn->build);
	snprintf(at, sizeof(at), "127.0.0.1:%d", mb->port[CALLERS]);
	snprintf(gate, sizeof(gate), "127.0.0.1:%d", mb->port[DAEMONS]);
	snprintf(admin, sizeof(admin), "%d", mb->port[ADMIN]);
	snprintf(platform, sizeof(platform), "127.0.0.1:%d", bn->platform_port);
	snprintf(secret, sizeof(secret), "EBONYPIER_CURVE_SECRET_KEY=%s",
		 mb->secret_key);
	mb->daemon = start(bn, argv, log, secret);
}

/* Starts everything and waits until the release is in force. */
static void start_all(struct bench *bn)
{
	char program[256], at[32], note[96];
	char *argv[] = { program, "--listen", at, "--note", note, NULL };
	int i, j, base = 10000 + getpid() % 1000 * 20, log;

	log = open("/dev/null", O_WRONLY | O_CLOEXEC);
	bn->platform_port = base;
	for (i = 0; i < MEMBERS; i++) {
		for (j = 0; j < PORTS; j++)
			bn->mb[i].port[j] = base + 1 + i * PORTS + j;
		if (zmq_curve_keypair(bn->mb[i].public_key,
				      bn->mb[i].secret_key))
			fail(bn, "zmq_curve_keypair");
	}
	snprintf(note, sizeof(note), "%s/note.json", bn->dir);
	write_note(bn, note);
	snprintf(program, sizeof(program), "%s/standins/platform", bn->build);
	snprintf(at, sizeof(at), "127.0.0.1:%d", bn->platform_port);
	bn->platform = start(bn, argv, log, NULL);
	for (i = 0; i < MEMBERS; i++)
		start_upstream(bn, i, log);
	usleep(200000);
	for (i = 0; i < MEMBERS; i++)
		start_daemon(bn, i, log);
	close(log);
	for (i = 0; i < MEMBERS; i++) {
		while (metric(bn->mb[i].port[ADMIN], "release") < 1) {
			if (!is_running(bn->mb[i].daemon))
				fail(bn, "a daemon has ended");
			usleep(20000);
		}
	}
	unlink(note);
}

/* Starts the caller with a path and further flags; its output is in `out`. */
static pid_t start_caller(struct bench *bn, enum path path, char **more,
			  int *out)
{
	char program[256], target[32], get[16], post[16], *argv[32];
	const struct member *mb = &bn->mb[0];
	int n = 0, fds[2];
	pid_t pid;

	snprintf(program, sizeof(program), "%s/standins/caller", bn->build);
	snprintf(target, sizeof(target), "127.0.0.1:%d",
		 mb->port[path == PATH_DIRECT ? UPSTREAM : CALLERS]);
	snprintf(get, sizeof(get), "/%s/x",
		 service_names[path == PATH_TWO ? 1 : 0]);
	memcpy(post, get, sizeof(post));
	argv[n++] = program;
	argv[n++] = "--target";
	argv[n++] = target;
	argv[n++] = "--get";
	argv[n++] = get;
	argv[n++] = "--upload";
	argv[n++] = post;
	for (; *more; more++)
		argv[n++] = *more;
	argv[n] = NULL;
	if (pipe2(fds, O_CLOEXEC))
		fail(bn, "pipe");
	pid = start(bn, argv, fds[1], NULL);
	close(fds[1]);
	*out = fds[0];
	return pid;
}

/* Reads the caller's report to its end and reaps it. */
static json_t *caller_report(struct bench *bn, pid_t pid, int fd)
{
	FILE *in = fdopen(fd, "r");
	json_t *js = in ? json_loadf(in, 0, NULL) : NULL;

	if (in)
		fclose(in);
	stop(pid, SIGTERM);
	if (!js)
		fail(bn, "the caller gave no report");
	return js;
}

static double number(const json_t *js, const char *name)
{
	return json_number_value(json_object_get(js, name));
}

/* Runs the load on a path; `rate` 0 for as fast as possible. */
static struct result load(struct bench *bn, enum path path, double rate, int ms)
{
	char connections[16], duration[16], per_s[32], bytes[16];
	char *more[] = { "--connections", connections,	 "--duration-ms",
			 duration,	  "--get-bytes", bytes,
			 "--rate",	  per_s,	 NULL };
	struct result rs = { 0 };
	double peer = 0, cpu = 0;
	int64_t began;
	json_t *js;
	pid_t pid;
	int i, fd;

	snprintf(connections, sizeof(connections), "%d", bn->connections);
	snprintf(duration, sizeof(duration), "%d", ms);
	snprintf(bytes, sizeof(bytes), "%d", bn->bytes);
	snprintf(per_s, sizeof(per_s), "%.1f", rate);
	if (rate <= 0)
		more[6] = NULL;
	for (i = 0; i < MEMBERS; i++) {
		peer -= metric(bn->mb[i].port[ADMIN], "peer_bytes_out_total");
		cpu -= cpu_us(bn, bn->mb[i].daemon);
	}
	began = now_us();
	pid = start_caller(bn, path, more, &fd);
	js = caller_report(bn, pid, fd);
	rs.elapsed_us = (double)(now_us() - began);
	for (i = 0; i < MEMBERS; i++) {
		peer += metric(bn->mb[i].port[ADMIN], "peer_bytes_out_total");
		cpu += cpu_us(bn, bn->mb[i].daemon);
	}
	rs.p50_us = number(js, "p50_us");
	rs.p99_us = number(js, "p99_us");
	rs.p999_us = number(js, "p999_us");
	rs.per_s = number(js, "per_s");
	rs.ok = number(js, "ok");
	rs.lost = number(js, "lost");
	rs.daemon_cpu_us = cpu;
	rs.peer_bytes = peer;
	json_decref(js);
	if (rs.lost > 0 || rs.ok < 1)
		fprintf(stderr, "path: %s: %.0f requests lost\n",
			path_names[path], rs.lost);
	return rs;
}

/* Prints a line; `target` below 0 if there is none. */
static void line(const char *name, const char *figure, double value,
		 double target, const char *baseline, double baseline_value)
{
	json_t *js =
		json_pack("{s:s,s:s,s:i,s:s,s:f}", "bench", "path", "case",
			  name, "seed", 1, "figure", figure, "value", value);

	if (baseline) {
		json_object_set_new(js, "baseline", json_string(baseline));
		json_object_set_new(js, "baseline_value",
				    json_real(baseline_value));
	}
	if (target >= 0) {
		json_object_set_new(js, "target", json_real(target));
		json_object_set_new(js, "met", json_boolean(value <= target));
	}
	json_dumpf(js, stdout, JSON_COMPACT | JSON_REAL_PRECISION(7));
	putchar('\n');
	fflush(stdout);
	json_decref(js);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double median(double *v, int n)
{
	qsort(v, (size_t)n, sizeof(*v), compare);
	return n % 2 ? v[n / 2] : (v[n / 2 - 1] + v[n / 2]) / 2;
}

/* Measures the peak rate of each path; a core is what the daemons used. */
static void measure_peaks(struct bench *bn, double peaks[PATH_COUNT])
{
	struct result rs;
	int i;

	for (i = 0; i < PATH_COUNT; i++) {
		load(bn, (enum path)i, 0, 300); /* opens the connections */
		rs = load(bn, (enum path)i, 0, bn->seconds * 1000);
		peaks[i] = rs.per_s;
		line(path_names[i], "peak_requests_per_s", rs.per_s, -1,
		     i ? "direct" : NULL, peaks[PATH_DIRECT]);
		if (i == PATH_DIRECT || rs.ok < 1)
			continue;
		line(path_names[i], "peak_requests_per_s_per_core",
		     rs.ok * 1e6 / rs.daemon_cpu_us, -1, NULL, 0);
		line(path_names[i], "cpu_us_per_request",
		     rs.daemon_cpu_us / rs.ok, -1, NULL, 0);
		line(path_names[i], "peer_bytes_per_request",
		     rs.peer_bytes / rs.ok, -1, "body", bn->bytes);
	}
}

/*
 * Measures what a path adds to the latency at half of its peak rate. Rounds
 * alternate with the direct path at the same rate, so that a disturbance of
 * the machine meets both; the medians of the rounds are compared.
 */
static void measure_added(struct bench *bn, enum path path, double peak)
{
	double p50[64] = { 0 }, p99[64] = { 0 }, p999[64] = { 0 };
	double d50[64] = { 0 }, d99[64] = { 0 }, d999[64] = { 0 };
	double cpu = 0, ok = 0, base, rate = peak / 2;
	struct result rs;
	int i;

	for (i = 0; i < bn->rounds; i++) {
		rs = load(bn, PATH_DIRECT, rate, bn->seconds * 1000);
		d50[i] = rs.p50_us;
		d99[i] = rs.p99_us;
		d999[i] = rs.p999_us;
		rs = load(bn, path, rate, bn->seconds * 1000);
		p50[i] = rs.p50_us;
		p99[i] = rs.p99_us;
		p999[i] = rs.p999_us;
		cpu += rs.daemon_cpu_us;
		ok += rs.ok;
	}
	line(path_names[path], "half_peak_rate_per_s", rate, -1, NULL, 0);
	base = median(d50, bn->rounds);
	line(path_names[path], "p50_added_us", median(p50, bn->rounds) - base,
	     -1, "direct", base);
	base = median(d99, bn->rounds);
	line(path_names[path], "p99_added_us", median(p99, bn->rounds) - base,
	     ADDED_P99_TARGET_US, "direct", base);
	base = median(d999, bn->rounds);
	line(path_names[path], "p999_added_us", median(p999, bn->rounds) - base,
	     -1, "direct", base);
	line(path_names[path], "half_peak_cpu_us_per_request", cpu / ok, -1,
	     NULL, 0);
}

/* Measures memory with 200 connections and a 1 GiB upload over two hops. */
static void measure_memory(struct bench *bn)
{
	char held[16], bytes[32];
	char *hold[] = {
		"--connections", held, "--duration-ms", "600000", "--rate",
		"400",		 NULL
	};
	char *send[] = {
		"--connections",  "1",	 "--requests", "1", "--mix", "0,0,1",
		"--upload-bytes", bytes, NULL
	};
	long kb, most[MEMBERS] = { 0 }, idle[MEMBERS];
	int i, fd, hold_fd;
	pid_t pid, hold_pid;
	json_t *js;

	snprintf(held, sizeof(held), "%d", CONNECTIONS_HELD - 1);
	snprintf(bytes, sizeof(bytes), "%.0f", UPLOAD_BYTES);
	hold_pid = start_caller(bn, PATH_ONE, hold, &hold_fd);
	usleep(1000000);
	for (i = 0; i < MEMBERS; i++)
		idle[i] = status_kb(bn->mb[i].daemon, "VmRSS:");
	pid = start_caller(bn, PATH_TWO, send, &fd);
	while (is_running(pid)) {
		for (i = 0; i < MEMBERS; i++) {
			kb = status_kb(bn->mb[i].daemon, "VmRSS:");
			if (kb > most[i])
				most[i] = kb;
		}
		usleep(SAMPLE_US);
	}
	js = caller_report(bn, pid, fd);
	stop(hold_pid, SIGTERM);
	close(hold_fd);
	line("two_hops", "uploads_of_1_gib_complete", number(js, "ok"), -1,
	     NULL, 0);
	line("two_hops", "upload_mib_per_s",
	     UPLOAD_BYTES / 1048576 * 1000 / number(js, "elapsed_ms"), -1, NULL,
	     0);
	json_decref(js);
	line("origin", "resident_kb_200_connections_1_gib", (double)most[0],
	     RESIDENT_TARGET_KB, "200 connections", (double)idle[0]);
	line("gate", "resident_kb_200_connections_1_gib", (double)most[1],
	     RESIDENT_TARGET_KB, "no upload", (double)idle[1]);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_int *connections =
		arg_int0(NULL, "connections", "N", "of callers, default 32");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "of each load, default 2");
	struct arg_int *rounds =
		arg_int0(NULL, "rounds", "N", "of latency, default 5");
	struct arg_int *bytes =
		arg_int0(NULL, "bytes", "N", "of an answer, default 512");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, connections, seconds, rounds, bytes, end };
	struct bench bn = { .dir = "/tmp/ebonypier-path-XXXXXX" };
	double peaks[PATH_COUNT];

	connections->ival[0] = 32;
	seconds->ival[0] = 2;
	rounds->ival[0] = 5;
	bytes->ival[0] = 512;
	if (arg_parse(argc, argv, table) || help->count ||
	    rounds->ival[0] < 1 || rounds->ival[0] > 64) {
		fprintf(stderr, "usage: %s", argv[0]);
		arg_print_syntax(stderr, table, "\n");
		return 2;
	}
	bn.build = getenv("EBONYPIER_BUILD");
	if (!bn.build)
		bn.build = "build";
	bn.connections = connections->ival[0];
	bn.seconds = seconds->ival[0];
	bn.rounds = rounds->ival[0];
	bn.bytes = bytes->ival[0];
	bn.ticks_per_s = sysconf(_SC_CLK_TCK);
	curl_global_init(CURL_GLOBAL_ALL);
	if (!mkdtemp(bn.dir))
		fail(&bn, "mkdtemp");
	start_all(&bn);
	measure_peaks(&bn, peaks);
	measure_added(&bn, PATH_ONE, peaks[PATH_ONE]);
	measure_added(&bn, PATH_TWO, peaks[PATH_TWO]);
	measure_memory(&bn);
	stop_all(&bn);
	rmdir(bn.dir);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
