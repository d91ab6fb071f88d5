#include "eb_log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "eb_tunables.h"

struct eb_log {
	pthread_mutex_t lock;
	int fd;
	enum eb_log_level level;
	time_t window_s;
	uint32_t lines;
	uint64_t dropped;
	uint64_t reported; /* dropped lines already reported in the log */
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

/*
 * Creates a logger that writes to `fd`, which the caller closes. Returns NULL
 * without memory.
 */
struct eb_log *eb_log_new(int fd, enum eb_log_level level)
{
	struct eb_log *lg = calloc(1, sizeof(*lg));

	if (!lg)
		return NULL;
	pthread_mutex_init(&lg->lock, NULL);
	lg->fd = fd;
	lg->level = level;
	return lg;
}

/* Frees the logger; its file descriptor stays open. */
void eb_log_free(struct eb_log *lg)
{
	if (!lg)
		return;
	pthread_mutex_destroy(&lg->lock);
	free(lg);
}

/* Finds a level by its name; returns 0, or -1 for an unknown name. */
int eb_log_level_parse(const char *name, enum eb_log_level *level)
{
	int i;

	for (i = 0; i < 4; i++) {
		if (!strcmp(name, level_names[i])) {
			*level = (enum eb_log_level)i;
			return 0;
		}
	}
	return -1;
}

/*
 * A line is dropped if this many lines, of all levels together, were already
 * written in the same second. Errors have the highest limit, so they are
 * dropped last.
 */
static const uint32_t level_lines_per_s[] = {
	[EB_LOG_ERROR] = 2 * EB_LOG_LINES_PER_S,
	[EB_LOG_WARN] = EB_LOG_LINES_PER_S * 3 / 2,
	[EB_LOG_INFO] = EB_LOG_LINES_PER_S,
	[EB_LOG_DEBUG] = EB_LOG_LINES_PER_S,
};

/* Counts a line of this second; returns 0 if the rate limit drops it. */
static int count_line(struct eb_log *lg, enum eb_log_level level, time_t now_s)
{
	int ok = 1;

	pthread_mutex_lock(&lg->lock);
	if (lg->window_s != now_s) {
		lg->window_s = now_s;
		lg->lines = 0;
	}
	if (lg->lines >= level_lines_per_s[level]) {
		lg->dropped++;
		ok = 0;
	} else {
		lg->lines++;
	}
	pthread_mutex_unlock(&lg->lock);
	return ok;
}

/*
 * Writes a line, or drops it if `fd` is not writable: a stopped reader must not
 * block requests. A pipe that is writable has room for a whole line.
 */
static void write_line(struct eb_log *lg, const char *line, size_t n)
{
	struct pollfd pf = { .fd = lg->fd, .events = POLLOUT };

	if (poll(&pf, 1, 0) == 1 && pf.revents & POLLOUT &&
	    write(lg->fd, line, n) == (ssize_t)n)
		return;
	pthread_mutex_lock(&lg->lock);
	lg->dropped++;
	pthread_mutex_unlock(&lg->lock);
}

/*
 * Logs the number of lines dropped since the last report, once this second's
 * lines are below the limit.
 */
static void report_dropped(struct eb_log *lg)
{
	char line[96];
	uint64_t n;
	int len;

	pthread_mutex_lock(&lg->lock);
	n = lg->lines < EB_LOG_LINES_PER_S ? lg->dropped - lg->reported : 0;
	lg->reported += n;
	pthread_mutex_unlock(&lg->lock);
	if (!n)
		return;
	len = snprintf(line, sizeof(line),
		       "level=warn module=log msg=\"lines dropped\" "
		       "lines=%llu\n",
		       (unsigned long long)n);
	write_line(lg, line, (size_t)len);
}

/*
 * Writes one logfmt line: time, level, module, msg, and then `fmt`, which holds
 * further key=value pairs or is NULL. A line has at most 1023 bytes; the rest
 * is cut off. Control characters are replaced by '?'. Does nothing if `lg` is
 * NULL or the level is not logged. From any thread.
 */
void eb_log_write(struct eb_log *lg, enum eb_log_level level,
		  const char *module, const char *msg, const char *fmt, ...)
{
	char line[1024];
	struct timespec ts;
	struct tm tm;
	va_list ap;
	int n, m, i;

	if (!lg || level > lg->level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (!count_line(lg, level, ts.tv_sec))
		return;
	gmtime_r(&ts.tv_sec, &tm);
	n = (int)strftime(line, sizeof(line), "time=%Y-%m-%dT%H:%M:%S", &tm);
	n += snprintf(line + n, sizeof(line) - (size_t)n,
		      ".%03ldZ level=%s module=%s msg=\"%s\"",
		      ts.tv_nsec / 1000000, level_names[level], module, msg);
	if (fmt && n < (int)sizeof(line) - 2) {
		line[n++] = ' ';
		va_start(ap, fmt);
		m = vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
		va_end(ap);
		if (m > 0)
			n += m;
	}
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	for (i = 0; i < n; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	line[n++] = '\n';
	write_line(lg, line, (size_t)n);
	report_dropped(lg);
}

/*
 * Returns the number of lines dropped so far, by the rate limit or because `fd`
 * was not writable. From any thread.
 */
uint64_t eb_log_dropped(struct eb_log *lg)
{
	uint64_t n;

	pthread_mutex_lock(&lg->lock);
	n = lg->dropped;
	pthread_mutex_unlock(&lg->lock);
	return n;
}
