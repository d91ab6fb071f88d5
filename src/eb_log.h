#ifndef EB_LOG_H
#define EB_LOG_H

#include <stdint.h>

enum eb_log_level {
	EB_LOG_ERROR = 0,
	EB_LOG_WARN,
	EB_LOG_INFO,
	EB_LOG_DEBUG,
};

struct eb_log;

struct eb_log *eb_log_new(int fd, enum eb_log_level level);
void eb_log_free(struct eb_log *lg);
int eb_log_level_parse(const char *name, enum eb_log_level *level);

void eb_log_write(struct eb_log *lg, enum eb_log_level level,
		  const char *module, const char *msg, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
uint64_t eb_log_dropped(struct eb_log *lg);

#endif
