#ifndef STANDIN_H
#define STANDIN_H

#include <argtable2.h>
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <time.h>
#include <unistd.h>

/* Helpers that the stand-in programs and the tests' harness share. */

/* Exit statuses of the programs. */
#define STANDIN_EXIT_OK 0
#define STANDIN_EXIT_FAILURE 1
#define STANDIN_EXIT_USAGE 2
#define STANDIN_PATTERN_BYTES 65521
#define STANDIN_CONTROL_BODY_BYTES (2 << 20)

/*
 * Fills in the pattern of the deterministic bodies: byte `i` of a body with
 * seed `s` is pattern[(i + s) % STANDIN_PATTERN_BYTES]. The length is a prime,
 * so that a shift by a power of two is always detected.
 */
static inline void standin_pattern_init(uint8_t *pattern)
{
	uint64_t z, x = 0;
	uint32_t i;

	for (i = 0; i < STANDIN_PATTERN_BYTES; i++) {
		x += 0x9e3779b97f4a7c15ULL;
		z = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
		z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
		pattern[i] = (uint8_t)(z >> 56);
	}
}

/* Writes `n` bytes of the body with `seed`, beginning at `offset`. */
static inline void standin_fill(const uint8_t *pattern, uint64_t seed,
				uint64_t offset, uint8_t *out, size_t n)
{
	size_t at = (size_t)((offset + seed) % STANDIN_PATTERN_BYTES);
	size_t part;

	while (n) {
		part = STANDIN_PATTERN_BYTES - at;
		if (part > n)
			part = n;
		memcpy(out, pattern + at, part);
		out += part;
		n -= part;
		at = 0;
	}
}

/* Returns 1 if `n` bytes are those at `offset` of the body with `seed`. */
static inline int standin_same(const uint8_t *pattern, uint64_t seed,
			       uint64_t offset, const uint8_t *in, size_t n)
{
	size_t at = (size_t)((offset + seed) % STANDIN_PATTERN_BYTES);
	size_t part;

	while (n) {
		part = STANDIN_PATTERN_BYTES - at;
		if (part > n)
			part = n;
		if (memcmp(in, pattern + at, part))
			return 0;
		in += part;
		n -= part;
		at = 0;
	}
	return 1;
}

/* Returns the monotonic time in microseconds. */
static inline int64_t standin_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Initialises a condition variable that uses the monotonic clock. */
static inline void standin_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t at;

	pthread_condattr_init(&at);
	pthread_condattr_setclock(&at, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &at);
	pthread_condattr_destroy(&at);
}

/*
 * Waits until the condition is signalled or the monotonic time `until_us` is
 * reached; INT64_MAX is no limit. May return early.
 */
static inline void standin_cond_wait(pthread_cond_t *cond,
				     pthread_mutex_t *lock, int64_t until_us)
{
	struct timespec ts;

	if (until_us == INT64_MAX) {
		pthread_cond_wait(cond, lock);
		return;
	}
	ts.tv_sec = until_us / 1000000;
	ts.tv_nsec = until_us % 1000000 * 1000;
	pthread_cond_timedwait(cond, lock, &ts);
}

/*
 * Parses IP:PORT. Returns 0 on an error and if the address is not in
 * 127.0.0.0/8, as stand-ins use the loopback only.
 */
static inline int standin_address(const char *text, struct sockaddr_in *sa)
{
	char ip[32];
	const char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return 0;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port > 65535)
		return 0;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, ip, &sa->sin_addr) != 1)
		return 0;
	return ntohl(sa->sin_addr.s_addr) >> 24 == 127;
}

/*
 * Blocks the signals that end the program and ignores SIGPIPE. Call it before
 * starting threads, which inherit the mask.
 */
static inline void standin_block_signals(sigset_t *set)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

/* Waits for SIGTERM or SIGINT. */
static inline void standin_wait_signal(const sigset_t *set)
{
	int sig;

	while (sigwait(set, &sig))
		;
}

/*
 * Parses the arguments into `table`, which contains `help` and ends with `end`.
 * Returns -1 if the program continues, or its exit status after --help or a
 * usage error.
 */
static inline int standin_args(void **table, struct arg_lit *help,
			       struct arg_end *end, int argc, char **argv,
			       const char *about)
{
	int error_count = arg_parse(argc, argv, table);

	if (help->count) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n", about);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return STANDIN_EXIT_OK;
	}
	if (error_count) {
		arg_print_errors(stderr, end, argv[0]);
		return STANDIN_EXIT_USAGE;
	}
	return -1;
}

/* The body of a control request, with a final NUL; NULL while empty. */
struct standin_body {
	char *text;
	size_t used;
	size_t space;
	int too_long;
};

/*
 * Appends to a body. Sets `too_long` without memory or past
 * STANDIN_CONTROL_BODY_BYTES, and then drops the data.
 */
static inline void standin_body_add(struct standin_body *b, const char *data,
				    size_t n)
{
	size_t space = b->space ? b->space : 1024;
	char *text;

	if (b->too_long || b->used + n > STANDIN_CONTROL_BODY_BYTES) {
		b->too_long = 1;
		return;
	}
	while (space < b->used + n + 1)
		space *= 2;
	if (space != b->space) {
		text = (char *)realloc(b->text, space);
		if (!text) {
			b->too_long = 1;
			return;
		}
		b->text = text;
		b->space = space;
	}
	memcpy(b->text + b->used, data, n);
	b->used += n;
	b->text[b->used] = '\0';
}

/* Answers with a JSON text, which is freed. Returns MHD_NO on failure. */
static inline enum MHD_Result standin_reply_text(struct MHD_Connection *cn,
						 unsigned status, char *text,
						 size_t bytes)
{
	struct MHD_Response *rs;
	enum MHD_Result ok;

	rs = MHD_create_response_from_buffer(bytes, text,
					     MHD_RESPMEM_MUST_FREE);
	if (!rs) {
		free(text);
		return MHD_NO;
	}
	MHD_add_response_header(rs, "Content-Type", "application/json");
	ok = MHD_queue_response(cn, status, rs);
	MHD_destroy_response(rs);
	return ok;
}

/* Answers with a JSON value, whose reference is released. */
static inline enum MHD_Result standin_reply_json(struct MHD_Connection *cn,
						 unsigned status, json_t *js)
{
	char *text = js ? json_dumps(js, JSON_COMPACT) : NULL;

	json_decref(js);
	if (!text)
		return MHD_NO;
	return standin_reply_text(cn, status, text, strlen(text));
}

/* Answers with {"error": reason}. */
static inline enum MHD_Result standin_reply_error(struct MHD_Connection *cn,
						  unsigned status,
						  const char *reason)
{
	return standin_reply_json(cn, status,
				  json_pack("{s:s}", "error", reason));
}

/* Returns a number of the query, or `fallback` if it is missing or empty. */
static inline int64_t standin_query(struct MHD_Connection *cn, const char *name,
				    int64_t fallback)
{
	const char *v =
		MHD_lookup_connection_value(cn, MHD_GET_ARGUMENT_KIND, name);

	return v && *v ? strtoll(v, NULL, 10) : fallback;
}

#endif
