#ifndef EB_EARLY_H
#define EB_EARLY_H

#include <stdint.h>

#include "eb_frame.h"
#include "eb_status.h"

/*
 * Requests that arrive while a daemon has no configuration that it may serve.
 * They wait for it for a short time. Pure: the caller passes the monotonic time
 * and answers the requests that are handed out.
 */
struct eb_early;

struct eb_early *eb_early_new(void);
void eb_early_free(struct eb_early *er);
enum eb_status eb_early_add(struct eb_early *er, struct eb_frame *head,
			    int64_t now_us);
struct eb_frame *eb_early_take(struct eb_early *er, int64_t until_us,
			       int64_t *received_us);
int eb_early_cancel(struct eb_early *er, uint64_t call);
uint32_t eb_early_count(const struct eb_early *er);

#endif
