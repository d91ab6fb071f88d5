#ifndef EB_FAILURE_H
#define EB_FAILURE_H

#include <stdint.h>

#include "eb_frame.h"

struct eb_frame *eb_failure_frame(uint64_t call, uint8_t outcome,
				  uint8_t reason, uint16_t status,
				  uint32_t wait_ms, uint32_t extra_ms);

#endif
