#ifndef EB_DAEMON_H
#define EB_DAEMON_H

#include "eb_adapter.h"

/* A daemon with any adapter, which must outlive it. */
int eb_daemon_run(int argc, char **argv, const struct eb_adapter *ad);

#endif
