#ifndef EB_DAEMON_H
#define EB_DAEMON_H

#include <signal.h>

#include "eb_adapter.h"

/*
 * Holds the signals that the daemon acts on until it waits for them. A program
 * calls it first of all: SIGHUP ends a process that has not done so. Sets
 * `held` to the signals.
 */
void eb_daemon_hold_signals(sigset_t *held);
/* A daemon with any adapter, which must outlive it. */
int eb_daemon_run(int argc, char **argv, const struct eb_adapter *ad);

#endif
