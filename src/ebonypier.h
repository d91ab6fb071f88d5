#ifndef EBONYPIER_H
#define EBONYPIER_H

#include <stdint.h>
#include <stdio.h>

/* The public interface of the library; other headers are internal. */

#define EBONYPIER_VERSION "0.1.0"

#define EBONYPIER_EXIT_OK 0
#define EBONYPIER_EXIT_FAILURE 1
#define EBONYPIER_EXIT_USAGE 2

/*
 * Runs a daemon until SIGTERM or SIGINT and returns the exit status of the
 * process. Settings are read from the arguments and the environment.
 */
int ebonypier_daemon_main(int argc, char **argv);

/* Runs the operator's tool and returns the exit status of the process. */
int ebonypier_tool_main(int argc, char **argv);

#endif
