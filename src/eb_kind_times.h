#ifndef EB_KIND_TIMES_H
#define EB_KIND_TIMES_H

#include <stdint.h>

/* Smoothed service times of recent kinds of requests. */
#define EB_KIND_TIMES_MAX 32

struct eb_kind_time {
	uint32_t kind; /* 0: free */
	int64_t service_us;
	int64_t least_us; /* of recent samples; rises slowly */
	int64_t at_us;	  /* last sample */
};

struct eb_kind_times {
	struct eb_kind_time entries[EB_KIND_TIMES_MAX];
	uint32_t next; /* index of the entry to reuse next */
};

int64_t eb_kind_times_get(const struct eb_kind_times *kt, uint32_t kind);
int64_t eb_kind_times_aged(const struct eb_kind_times *kt, uint32_t kind,
			   int64_t now_us);
void eb_kind_times_sample(struct eb_kind_times *kt, uint32_t kind,
			  int64_t service_us, int64_t now_us);

#endif
