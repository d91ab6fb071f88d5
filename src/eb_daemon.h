#ifndef EB_DAEMON_H
#define EB_DAEMON_H

#include <signal.h>

#include "eb_adapter.h"

void eb_daemon_block_signals(sigset_t *set);
int eb_daemon_run(int argc, char **argv, const struct eb_adapter *ad);

#endif
