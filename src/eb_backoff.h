#ifndef EB_BACKOFF_H
#define EB_BACKOFF_H

#include <stdint.h>

uint32_t eb_backoff_ms(uint32_t wait_ms, uint32_t extra_ms,
		       uint32_t random_permille);

#endif
