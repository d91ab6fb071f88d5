#ifndef EB_CLOCK_H
#define EB_CLOCK_H

#include <stdint.h>

int64_t eb_clock_now_us(void);
int64_t eb_clock_wall_us(void);

#endif
