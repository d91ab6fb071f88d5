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
 * Measures the latency and the CPU time that daemons add to a call. One run
 * sends the same load directly to a stand-in upstream, over one hop (the
 * upstream is beside the origin) and over two hops (origin and gate are
 * different daemons). Prints one JSON object per line.
 */

#define NODES 2
#define PORTS 5 /* of each node: the values of enum port */
#define ADDED_P99_TARGET_US 960
#define RESIDENT_TARGET_KB 65536
#define UPLOAD_BYTES 1073741824.0
#define CONNECTIONS_HELD 200
#define SAMPLE_US 20000

extern char **environ;

enum path { PATH_DIRECT = 0, PATH_ONE_HOP, PATH_TWO_HOPS, PATH_COUNT };

static const char *const path_names[] = { "direct", "one_hop", "two_hops" };
/* Each service has one upstream. That of the first is beside the origin. */
static const char *const service_names[] = { "near", "far" };

/* An upstream and the daemon beside it. */
struct node {
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
	struct node nd[NODES];
	int connections;
	int seconds;
	int rounds;
	int bytes;
	long ticks_per_s;
};

/* What one run of the stand-in caller measured. */
struct result {
	double p50_us;
	double p99_us;
	double p999_us;
	double per_s;
	double ok;
	double lost;
	double daemon_cpu_us; /* of all daemons together */
	double peer_bytes;    /* sent between daemons */
	double elapsed_us;
};

struct text {
	char *bytes;
	size_t used;
};

enum port {
	PORT_UPSTREAM = 0,
	PORT_CONTROL,
	PORT_CALLERS,
	PORT_DAEMONS,
	PORT_ADMIN
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Sends a signal to a child and reaps it. No child has a `pid` of 0. */
static void stop_program(pid_t pid, int sig)
{
	if (pid <= 0)
		return;
	kill(pid, sig);
	while (waitpid(pid, NULL, 0) < 0 && errno == EINTR)
		;
}

/* Returns 1 if a child still runs. Does not reap it. */
static int is_running(pid_t pid)
{
	siginfo_t info = { 0 };

	return !waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) &&
	       !info.si_pid;
}

static void stop_all(struct bench *bn)
{
	int i;

	for (i = 0; i < NODES; i++) {
		stop_program(bn->nd[i].daemon, SIGTERM);
		stop_program(bn->nd[i].upstream, SIGTERM);
	}
	stop_program(bn->platform, SIGTERM);
}

/* Prints `what`, stops all child processes and exits with 1. */
static void fail(struct bench *bn, const char *what)
{
	fprintf(stderr, "path: %s\n", what);
	stop_all(bn);
	exit(1);
}

/*
 * Starts argv[0] with its standard output on `fd` and, if `variable` is not
 * NULL, with one more environment variable. Returns its process id.
 */
static pid_t start_program(struct bench *bn, char **argv, int fd,
			   const char *variable)
{
	posix_spawn_file_actions_t actions;
	char *vars[512];
	pid_t pid;
	size_t n = 0;
	char **e;

	for (e = environ; *e && n < 510; e++)
		vars[n++] = *e;
	if (variable)
		vars[n++] = (char *)variable;
	vars[n] = NULL;
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, fd, 1);
	if (posix_spawn(&pid, argv[0], &actions, NULL, argv, vars))
		fail(bn, argv[0]);
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

static size_t append_text(char *data, size_t item_bytes, size_t n, void *arg)
{
	struct text *tx = arg;
	char *grown = realloc(tx->bytes, tx->used + n + 1);

	(void)item_bytes;
	if (!grown)
		return 0;
	tx->bytes = grown;
	memcpy(tx->bytes + tx->used, data, n);
	tx->used += n;
	tx->bytes[tx->used] = '\0';
	return n;
}

/* Returns the body of a page on loopback, to be freed, or NULL on failure. */
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
	curl_easy_setopt(cu, CURLOPT_WRITEFUNCTION, append_text);
	curl_easy_setopt(cu, CURLOPT_WRITEDATA, &tx);
	code = curl_easy_perform(cu);
	curl_easy_cleanup(cu);
	if (code == CURLE_OK)
		return tx.bytes;
	free(tx.bytes);
	return NULL;
}

/* Returns the value of a daemon's metric, or -1 on failure. */
static double read_metric(int admin_port, const char *name)
{
	char *text = fetch(admin_port, "/metrics"), *at, prefix[128];
	double value = -1;

	snprintf(prefix, sizeof(prefix), "\nebonypier_%s ", name);
	at = text ? strstr(text, prefix) : NULL;
	if (at)
		value = strtod(at + strlen(prefix), NULL);
	free(text);
	return value;
}

/* Returns the CPU time in us from /proc/PID/stat, or 0 on failure. */
static double process_cpu_us(const struct bench *bn, pid_t pid)
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
	/* Fields after the name: state, ten numbers, utime, stime. */
	if (!at || sscanf(at + 1,
			  " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
			  "%lu %lu",
			  &user, &sys) != 2)
		return 0;
	return (double)(user + sys) * 1e6 / (double)bn->ticks_per_s;
}

/* Returns a field of /proc/PID/status in kB, or 0 on failure. */
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

/* Writes a release note with two services of one upstream each. */
static void write_note(struct bench *bn, const char *path)
{
	json_t *sv = json_array(), *up = json_array(), *note;
	char address[32], gate[32], prefix[32];
	int i;

	for (i = 0; i < NODES; i++) {
		const struct node *nd = &bn->nd[i];

		snprintf(prefix, sizeof(prefix), "/%s", service_names[i]);
		json_array_append_new(sv, json_pack("{s:s,s:{s:s},s:i}", "name",
						    service_names[i], "match",
						    "path_prefix", prefix,
						    "deadline_ms", 600000));
		snprintf(address, sizeof(address), "127.0.0.1:%d",
			 nd->port[PORT_UPSTREAM]);
		snprintf(gate, sizeof(gate), "127.0.0.1:%d",
			 nd->port[PORT_DAEMONS]);
		json_array_append_new(
			up, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i}",
				      "name", service_names[i], "service",
				      service_names[i], "address", address,
				      "daemon", gate, "key", nd->public_key,
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

static void start_upstream(struct bench *bn, int i, int output_fd)
{
	struct node *nd = &bn->nd[i];
	char program[256], listen_at[32], control[32];
	char *argv[] = { program, "--listen",  listen_at, "--control",
			 control, "--slots",   "200",	  "--connections",
			 "250",	  "--records", "64",	  NULL };

	snprintf(program, sizeof(program), "%s/standins/upstream", bn->build);
	snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%d",
		 nd->port[PORT_UPSTREAM]);
	snprintf(control, sizeof(control), "127.0.0.1:%d",
		 nd->port[PORT_CONTROL]);
	nd->upstream = start_program(bn, argv, output_fd, NULL);
}

static void start_daemon(struct bench *bn, int i, int output_fd)
{
	struct node *nd = &bn->nd[i];
	char program[256], listen_at[32], gate[32], admin[16], platform[32];
	char secret[96];
	char *argv[] = { program,
			 "--upstream",
			 (char *)service_names[i],
			 "--listen",
			 listen_at,
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
			 nd->public_key,
			 NULL };

	snprintf(program, sizeof(program), "%s/ebonypierd", bn->build);
	snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%d",
		 nd->port[PORT_CALLERS]);
	snprintf(gate, sizeof(gate), "127.0.0.1:%d", nd->port[PORT_DAEMONS]);
	snprintf(admin, sizeof(admin), "%d", nd->port[PORT_ADMIN]);
	snprintf(platform, sizeof(platform), "127.0.0.1:%d", bn->platform_port);
	snprintf(secret, sizeof(secret), "EBONYPIER_CURVE_SECRET_KEY=%s",
		 nd->secret_key);
	nd->daemon = start_program(bn, argv, output_fd, secret);
}

/* Starts all programs and waits until the release is in force. */
static void start_all(struct bench *bn)
{
	char program[256], listen_at[32], note[96];
	char *argv[] = { program, "--listen", listen_at, "--note", note, NULL };
	int i, j, base = 10000 + getpid() % 1000 * 20, output_fd;

	output_fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	bn->platform_port = base;
	for (i = 0; i < NODES; i++) {
		for (j = 0; j < PORTS; j++)
			bn->nd[i].port[j] = base + 1 + i * PORTS + j;
		if (zmq_curve_keypair(bn->nd[i].public_key,
				      bn->nd[i].secret_key))
			fail(bn, "zmq_curve_keypair");
	}
	snprintf(note, sizeof(note), "%s/note.json", bn->dir);
	write_note(bn, note);
	snprintf(program, sizeof(program), "%s/standins/platform", bn->build);
	snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%d",
		 bn->platform_port);
	bn->platform = start_program(bn, argv, output_fd, NULL);
	for (i = 0; i < NODES; i++)
		start_upstream(bn, i, output_fd);
	usleep(200000);
	for (i = 0; i < NODES; i++)
		start_daemon(bn, i, output_fd);
	close(output_fd);
	for (i = 0; i < NODES; i++) {
		while (read_metric(bn->nd[i].port[PORT_ADMIN], "release") < 1) {
			if (!is_running(bn->nd[i].daemon))
				fail(bn, "a daemon has ended");
			usleep(20000);
		}
	}
	unlink(note);
}

/*
 * Starts the stand-in caller on a path, with further flags. Sets `out` to a
 * descriptor that reads its output.
 */
static pid_t start_caller(struct bench *bn, enum path path, char **flags,
			  int *out)
{
	char program[256], target[32], get_path[16], upload_path[16], *argv[32];
	const struct node *nd = &bn->nd[0];
	int n = 0, pipe_fds[2];
	pid_t pid;

	snprintf(program, sizeof(program), "%s/standins/caller", bn->build);
	snprintf(target, sizeof(target), "127.0.0.1:%d",
		 nd->port[path == PATH_DIRECT ? PORT_UPSTREAM : PORT_CALLERS]);
	snprintf(get_path, sizeof(get_path), "/%s/x",
		 service_names[path == PATH_TWO_HOPS ? 1 : 0]);
	memcpy(upload_path, get_path, sizeof(upload_path));
	argv[n++] = program;
	argv[n++] = "--target";
	argv[n++] = target;
	argv[n++] = "--get";
	argv[n++] = get_path;
	argv[n++] = "--upload";
	argv[n++] = upload_path;
	for (; *flags; flags++)
		argv[n++] = *flags;
	argv[n] = NULL;
	if (pipe2(pipe_fds, O_CLOEXEC))
		fail(bn, "pipe");
	pid = start_program(bn, argv, pipe_fds[1], NULL);
	close(pipe_fds[1]);
	*out = pipe_fds[0];
	return pid;
}

/* Reads the stand-in caller's report to its end and reaps the process. */
static json_t *caller_report(struct bench *bn, pid_t pid, int fd)
{
	FILE *in = fdopen(fd, "r");
	json_t *js = in ? json_loadf(in, 0, NULL) : NULL;

	if (in)
		fclose(in);
	stop_program(pid, SIGTERM);
	if (!js)
		fail(bn, "the caller gave no report");
	return js;
}

static double number(const json_t *js, const char *name)
{
	return json_number_value(json_object_get(js, name));
}

/*
 * Runs the load on a path for `ms`, at `rate` requests per second, or as fast
 * as possible if `rate` is 0.
 */
static struct result run_load(struct bench *bn, enum path path, double rate,
			      int ms)
{
	char connections[16], duration[16], per_s[32], bytes[16];
	char *flags[] = { "--connections", connections,	  "--duration-ms",
			  duration,	   "--get-bytes", bytes,
			  "--rate",	   per_s,	  NULL };
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
		flags[6] = NULL;
	for (i = 0; i < NODES; i++) {
		peer -= read_metric(bn->nd[i].port[PORT_ADMIN],
				    "peer_bytes_out_total");
		cpu -= process_cpu_us(bn, bn->nd[i].daemon);
	}
	began = now_us();
	pid = start_caller(bn, path, flags, &fd);
	js = caller_report(bn, pid, fd);
	rs.elapsed_us = (double)(now_us() - began);
	for (i = 0; i < NODES; i++) {
		peer += read_metric(bn->nd[i].port[PORT_ADMIN],
				    "peer_bytes_out_total");
		cpu += process_cpu_us(bn, bn->nd[i].daemon);
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

/* Prints a figure. There is no target if `target` is negative. */
static void print_figure(const char *name, const char *figure, double value,
			 double target, const char *baseline,
			 double baseline_value)
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

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double median(double *v, int n)
{
	qsort(v, (size_t)n, sizeof(*v), compare_doubles);
	return n % 2 ? v[n / 2] : (v[n / 2 - 1] + v[n / 2]) / 2;
}

/*
 * Measures the peak rate of each path. Rates per core refer to the CPU time of
 * the daemons only.
 */
static void measure_peaks(struct bench *bn, double peaks[PATH_COUNT])
{
	struct result rs;
	int i;

	for (i = 0; i < PATH_COUNT; i++) {
		run_load(bn, (enum path)i, 0, 300); /* open the connections */
		rs = run_load(bn, (enum path)i, 0, bn->seconds * 1000);
		peaks[i] = rs.per_s;
		print_figure(path_names[i], "peak_requests_per_s", rs.per_s, -1,
			     i ? "direct" : NULL, peaks[PATH_DIRECT]);
		if (i == PATH_DIRECT || rs.ok < 1)
			continue;
		print_figure(path_names[i], "peak_requests_per_s_per_core",
			     rs.ok * 1e6 / rs.daemon_cpu_us, -1, NULL, 0);
		print_figure(path_names[i], "cpu_us_per_request",
			     rs.daemon_cpu_us / rs.ok, -1, NULL, 0);
		print_figure(path_names[i], "peer_bytes_per_request",
			     rs.peer_bytes / rs.ok, -1, "body", bn->bytes);
	}
}

/*
 * Measures the latency that a path adds at half of its peak rate. Rounds on the
 * direct path at the same rate alternate with rounds on this path, so that
 * other load on the machine affects both. Compares the medians over the rounds.
 */
static void measure_added(struct bench *bn, enum path path, double peak)
{
	double p50[64] = { 0 }, p99[64] = { 0 }, p999[64] = { 0 };
	double direct_p50[64] = { 0 }, direct_p99[64] = { 0 },
	       direct_p999[64] = { 0 };
	double cpu = 0, ok = 0, base, rate = peak / 2;
	struct result rs;
	int i;

	for (i = 0; i < bn->rounds; i++) {
		rs = run_load(bn, PATH_DIRECT, rate, bn->seconds * 1000);
		direct_p50[i] = rs.p50_us;
		direct_p99[i] = rs.p99_us;
		direct_p999[i] = rs.p999_us;
		rs = run_load(bn, path, rate, bn->seconds * 1000);
		p50[i] = rs.p50_us;
		p99[i] = rs.p99_us;
		p999[i] = rs.p999_us;
		cpu += rs.daemon_cpu_us;
		ok += rs.ok;
	}
	print_figure(path_names[path], "half_peak_rate_per_s", rate, -1, NULL,
		     0);
	base = median(direct_p50, bn->rounds);
	print_figure(path_names[path], "p50_added_us",
		     median(p50, bn->rounds) - base, -1, "direct", base);
	base = median(direct_p99, bn->rounds);
	print_figure(path_names[path], "p99_added_us",
		     median(p99, bn->rounds) - base, ADDED_P99_TARGET_US,
		     "direct", base);
	base = median(direct_p999, bn->rounds);
	print_figure(path_names[path], "p999_added_us",
		     median(p999, bn->rounds) - base, -1, "direct", base);
	print_figure(path_names[path], "half_peak_cpu_us_per_request", cpu / ok,
		     -1, NULL, 0);
}

/* Measures memory with 200 connections and a 1 GiB upload over two hops. */
static void measure_memory(struct bench *bn)
{
	char held_connections[16], bytes[32];
	char *hold_flags[] = { "--connections",
			       held_connections,
			       "--duration-ms",
			       "600000",
			       "--rate",
			       "400",
			       NULL };
	char *upload_flags[] = {
		"--connections",  "1",	 "--requests", "1", "--mix", "0,0,1",
		"--upload-bytes", bytes, NULL
	};
	long kb, peak_kb[NODES] = { 0 }, idle_kb[NODES];
	int i, fd, hold_fd;
	pid_t pid, hold_pid;
	json_t *js;

	snprintf(held_connections, sizeof(held_connections), "%d",
		 CONNECTIONS_HELD - 1);
	snprintf(bytes, sizeof(bytes), "%.0f", UPLOAD_BYTES);
	hold_pid = start_caller(bn, PATH_ONE_HOP, hold_flags, &hold_fd);
	usleep(1000000);
	for (i = 0; i < NODES; i++)
		idle_kb[i] = status_kb(bn->nd[i].daemon, "VmRSS:");
	pid = start_caller(bn, PATH_TWO_HOPS, upload_flags, &fd);
	while (is_running(pid)) {
		for (i = 0; i < NODES; i++) {
			kb = status_kb(bn->nd[i].daemon, "VmRSS:");
			if (kb > peak_kb[i])
				peak_kb[i] = kb;
		}
		usleep(SAMPLE_US);
	}
	js = caller_report(bn, pid, fd);
	stop_program(hold_pid, SIGTERM);
	close(hold_fd);
	print_figure("two_hops", "uploads_of_1_gib_complete", number(js, "ok"),
		     -1, NULL, 0);
	print_figure("two_hops", "upload_mib_per_s",
		     UPLOAD_BYTES / 1048576 * 1000 / number(js, "elapsed_ms"),
		     -1, NULL, 0);
	json_decref(js);
	print_figure("origin", "resident_kb_200_connections_1_gib",
		     (double)peak_kb[0], RESIDENT_TARGET_KB, "200 connections",
		     (double)idle_kb[0]);
	print_figure("gate", "resident_kb_200_connections_1_gib",
		     (double)peak_kb[1], RESIDENT_TARGET_KB, "no upload",
		     (double)idle_kb[1]);
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
	measure_added(&bn, PATH_ONE_HOP, peaks[PATH_ONE_HOP]);
	measure_added(&bn, PATH_TWO_HOPS, peaks[PATH_TWO_HOPS]);
	measure_memory(&bn);
	stop_all(&bn);
	rmdir(bn.dir);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
