#ifndef EB_PLATFORM_H
#define EB_PLATFORM_H

#include "eb_adapter.h"

/*
 * The source that reads the product's own platform in a thread of its own: it
 * watches the log of release notes and polls the list of VMs. The
 * configuration that results goes to the core.
 */
extern const struct eb_source_ops eb_platform_source;

#endif
