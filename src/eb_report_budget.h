#ifndef EB_REPORT_BUDGET_H
#define EB_REPORT_BUDGET_H

#include <stdint.h>

/* Token bucket for the bytes of load reports. */
struct eb_report_budget {
	int64_t tokens; /* millionths of a byte */
	int64_t at_us;
};

int eb_report_budget_take(struct eb_report_budget *rb, uint32_t bytes,
			  uint32_t bytes_per_s, int64_t now_us);

#endif
