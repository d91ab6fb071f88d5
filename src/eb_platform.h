#ifndef EB_PLATFORM_H
#define EB_PLATFORM_H

#include "eb_adapter.h"

/*
 * The source for ebonypier's own platform. Its thread long-polls the log of
 * release notes, polls the list of VMs, and sends the resulting configuration
 * to the core.
 */
extern const struct eb_source_ops eb_platform_source;

#endif
