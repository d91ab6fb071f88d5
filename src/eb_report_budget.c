#include "eb_report_budget.h"

/* Unused budget of load reports is kept for a tenth of a second. */
#define REPORT_BURST_US 100000
#define REPORT_GAP_MAX_US 100000000 /* keeps the product in 64 bits */

/* Takes the bytes of a report. Returns 0 if the budget does not allow it. */
int eb_report_budget_take(struct eb_report_budget *rb, uint32_t bytes,
			  uint32_t bytes_per_s, int64_t now_us)
{
	/* With the burst, each window of two seconds stays within budget. */
	int64_t rate = bytes_per_s * 95LL / 100;
	int64_t cost = bytes * 1000000LL;
	int64_t max = rate * REPORT_BURST_US + cost;
	int64_t gap_us = now_us - rb->at_us;

	if (gap_us > REPORT_GAP_MAX_US)
		gap_us = REPORT_GAP_MAX_US;
	/* In millionths of a byte, so that a slow rate is not rounded away. */
	rb->tokens += gap_us * rate;
	if (rb->tokens > max)
		rb->tokens = max;
	rb->at_us = now_us;
	if (rb->tokens < cost)
		return 0;
	rb->tokens -= cost;
	return 1;
}
