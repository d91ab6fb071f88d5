#ifndef EBONYPIER_H
#define EBONYPIER_H

#include <stdint.h>
#include <stdio.h>

/* The public interface of the library; programs use nothing else of it. */

#define EBONYPIER_VERSION "0.1.0"

#define EBONYPIER_EXIT_OK 0
#define EBONYPIER_EXIT_FAILURE 1
#define EBONYPIER_EXIT_USAGE 2

/*
 * Runs a daemon until SIGTERM or SIGINT and returns the exit status of the
 * process. Settings come from the arguments and the environment.
 */
int ebonypier_daemon_main(int argc, char **argv);

/* Runs the operators' tool and returns the exit status of the process. */
int ebonypier_tool_main(int argc, char **argv);

#endif
