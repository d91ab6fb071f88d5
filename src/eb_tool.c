#include "eb_tool.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "eb_check.h"
#include "ebonypier.h"

#define ITEMS_MAX 4096
#define ERRORS_MAX 10
#define ADMIN_VARIABLE "EBONYPIER_ADMIN"

struct command {
	const char *name;
	const char *arguments;
	const char *summary;
	const char *help;
	int (*run)(const struct eb_tool_args *ar);
	uint32_t before; /* arguments before the files or addresses */
	uint32_t min;	 /* files or addresses */
	uint32_t max;
	uint8_t addresses; /* takes addresses, also from EBONYPIER_ADMIN */
	uint8_t json;	   /* takes --json */
};

#define ADDRESS_HELP                                                     \
	"ADDRESS is the IP:port of a daemon's admin port. Without one, " \
	"EBONYPIER_ADMIN\nlists them, with commas between.\n"

static const struct command commands[] = {
	{ "check", "FILE...", "check release notes before publishing them",
	  "Applies the notes in the order given, each to the result of the "
	  "one before, and\nprints every finding as source:line: field: "
	  "reason. A first note that builds on\nanother release is checked on "
	  "its own. FILE may be - for standard input.\nExits with 1 if there "
	  "is "
	  "a finding.\n\nExample:\n  ebonypier check hielos-1.json "
	  "hielos-2.json\n",
	  eb_tool_check, 0, 1, ITEMS_MAX, 0, 0 },
	{ "plan", "FILE...", "show what the last of several notes changes",
	  "Applies the notes in the order given and prints what the last one "
	  "adds (+),\nwithdraws (-) and changes (~), and how the capacity of "
	  "services changes (=).\nExits with 1 if a note has a finding.\n\n"
	  "Example:\n  ebonypier plan hielos-1.json hielos-2.json\n",
	  eb_tool_plan, 0, 1, ITEMS_MAX, 0, 0 },
	{ "status", "[--json] [ADDRESS...]", "show the state of daemons",
	  "Prints a line for each daemon, or a JSON object by address with "
	  "--json. CALLS are\nthose of its callers, PEERS the daemons in its "
	  "view, itself included.\n" ADDRESS_HELP
	  "Exits with 1 if a daemon does not answer.\n\nExample:\n  ebonypier "
	  "status 127.0.0.1:26001 127.0.0.1:26002\n",
	  eb_tool_status, 0, 1, ITEMS_MAX, 1, 1 },
	{ "trace", "ID [ADDRESS...]", "show the path of one call",
	  "Collects the spans of a trace from the daemons and prints them as "
	  "a tree. ID is\nthe trace's 32 hexadecimal digits, as in the "
	  "traceparent header.\n" ADDRESS_HELP
	  "Exits with 1 if no span is found or a daemon does not answer.\n\n"
	  "Example:\n  ebonypier trace 4bf92f3577b34da6a3ce929d0e0e4736 "
	  "127.0.0.1:26001\n",
	  eb_tool_trace, 1, 1, ITEMS_MAX, 1, 0 },
	{ "explain", "ID [FILE...]", "print the log lines about one request",
	  "Reads the logs of daemons, or standard input without a FILE, and "
	  "prints the lines\nabout a request and the calls that its run made, "
	  "in the order of time, with the\nlast lines before them about the "
	  "daemon's release, dependencies and draining. ID\nis the request's "
	  "id as its caller sent it.\nExits with 1 if there is no such line "
	  "or a FILE cannot be read.\n\nExample:\n  ebonypier explain "
	  "9c41d07be2a35f68 machine-1.log machine-2.log\n",
	  eb_tool_explain, 1, 0, ITEMS_MAX, 0, 0 },
	{ "metrics", "[ADDRESS]", "print a daemon's metrics",
	  "Prints the metrics in Prometheus text form.\n" ADDRESS_HELP
	  "\nExample:\n  ebonypier metrics 127.0.0.1:26001\n",
	  eb_tool_metrics, 0, 1, 1, 1, 0 },
	{ "drain", "[ADDRESS]", "take an upstream out of service",
	  "Asks the daemon to let its upstream take no new work; what is in "
	  "flight is\nfinished. The daemon keeps running: end it with SIGTERM, "
	  "which drains as well.\n" ADDRESS_HELP
	  "\nExample:\n  ebonypier drain 127.0.0.1:26001\n",
	  eb_tool_drain, 0, 1, 1, 1, 0 },
	{ "open-claims", "[ADDRESS]...", "start a new fleet's claims",
	  "Says that no idempotency key was used within the last 10 minutes, "
	  "so that the\ndaemons grant keys without copies of earlier claims. "
	  "Use it once, right after the\nfirst start of a fleet, before "
	  "callers arrive: a key that was used before could\nrun a second "
	  "time.\n" ADDRESS_HELP
	  "\nExample:\n  ebonypier open-claims 127.0.0.1:26001 "
	  "127.0.0.1:26002\n",
	  eb_tool_open_claims, 0, 1, ITEMS_MAX, 1, 0 },
	{ "keygen", "", "make a CURVE key pair for a daemon",
	  "Prints the settings EBONYPIER_CURVE_PUBLIC_KEY and "
	  "EBONYPIER_CURVE_SECRET_KEY,\nquoted for a shell. The public key "
	  "also goes into the `key` of the upstream in\nthe release note; the "
	  "secret key stays with the daemon.\n",
	  eb_tool_keygen, 0, 0, 0, 0, 0 },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(*commands))

struct parser {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *items;
	struct arg_end *end;
};

/* Arguments of a command, with the addresses from EBONYPIER_ADMIN. */
struct items {
	const char *list[ITEMS_MAX + 1];
	uint32_t count;
	char *variable; /* copy of EBONYPIER_ADMIN, or NULL */
};

static void print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "Usage: ebonypier COMMAND [ARGUMENTS]\n\n"
		     "The operators' tool of the ebonypier load balancer.\n\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-9s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\n`ebonypier COMMAND --help` says more. `ebonypier "
		     "--version` prints the version.\nExit status: 0 for "
		     "success, 1 for a finding or failure, 2 for wrong "
		     "usage.\n");
}

static void print_command(const struct command *cm, FILE *out)
{
	fprintf(out, "Usage: ebonypier %s %s\n\n%s", cm->name, cm->arguments,
		cm->help);
}

/* Prints the reason and the usage; returns the exit status. */
static int usage_error(const struct command *cm, const char *reason)
{
	fprintf(stderr, "ebonypier %s: %s\n", cm->name, reason);
	fprintf(stderr, "Usage: ebonypier %s %s\n", cm->name, cm->arguments);
	return EBONYPIER_EXIT_USAGE;
}

/* Adds the addresses in EBONYPIER_ADMIN; returns -1 without memory. */
static int add_admin_variable(struct items *its)
{
	const char *text = getenv(ADMIN_VARIABLE);
	char *save = NULL, *one;

	if (!text)
		return 0;
	its->variable = strdup(text);
	if (!its->variable)
		return -1;
	for (one = strtok_r(its->variable, ",", &save);
	     one && its->count < ITEMS_MAX; one = strtok_r(NULL, ",", &save))
		its->list[its->count++] = one;
	return 0;
}

/* Checks the arguments of a command and runs it; returns the exit status. */
static int run_items(const struct command *cm, struct items *its, int json)
{
	struct eb_tool_args ar = { its->list, 0, json };
	char reason[128];
	uint32_t i;

	if (cm->addresses && its->count == cm->before &&
	    add_admin_variable(its))
		return EBONYPIER_EXIT_FAILURE;
	ar.count = its->count;
	if (ar.count < cm->before + cm->min)
		return usage_error(cm, cm->addresses
					       ? "no address given and none "
						 "in " ADMIN_VARIABLE
					       : "an argument is missing");
	if (ar.count > cm->before + cm->max)
		return usage_error(cm, "too many arguments");
	for (i = cm->before; cm->addresses && i < ar.count; i++) {
		if (!eb_check_address(its->list[i]))
			continue;
		snprintf(reason, sizeof(reason), "\"%.60s\" is not IP:port",
			 its->list[i]);
		return usage_error(cm, reason);
	}
	return cm->run(&ar);
}

/* Parses the options of a command and runs it; returns the exit status. */
static int parse_command(const struct command *cm, struct parser *ps, int argc,
			 char **argv)
{
	struct items its = { .count = 0 };
	int errors = arg_parse(argc, argv, (void **)ps), i, status;

	if (ps->help->count) {
		print_command(cm, stdout);
		return EBONYPIER_EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, ps->end, cm->name);
		return usage_error(cm, "wrong arguments");
	}
	if (ps->json->count && !cm->json)
		return usage_error(cm, "this command has no --json");
	for (i = 0; i < ps->items->count; i++)
		its.list[its.count++] = ps->items->sval[i];
	status = run_items(cm, &its, ps->json->count);
	free(its.variable);
	return status;
}

static int run_command(const struct command *cm, int argc, char **argv)
{
	struct parser ps = {
		.help = arg_lit0("h", "help", "print the usage"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.items = arg_strn(NULL, NULL, "ARGUMENT", 0, ITEMS_MAX, NULL),
		.end = arg_end(ERRORS_MAX),
	};
	int status = EBONYPIER_EXIT_FAILURE;

	if (arg_nullcheck((void **)&ps))
		fprintf(stderr, "ebonypier: out of memory\n");
	else
		status = parse_command(cm, &ps, argc, argv);
	arg_freetable((void **)&ps, sizeof(ps) / sizeof(void *));
	return status;
}

/* Flushes standard output; returns `status`, or a failure on a write error. */
static int flush_output(int status)
{
	if (fflush(stdout) || ferror(stdout)) {
		perror("ebonypier: standard output");
		return EBONYPIER_EXIT_FAILURE;
	}
	return status;
}

/* Runs the operators' tool; returns the exit status of the process. */
int ebonypier_tool_main(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		print_usage(stderr);
		return EBONYPIER_EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h") ||
	    !strcmp(argv[1], "help")) {
		print_usage(stdout);
		return flush_output(EBONYPIER_EXIT_OK);
	}
	if (!strcmp(argv[1], "--version")) {
		printf("ebonypier %s\n", EBONYPIER_VERSION);
		return flush_output(EBONYPIER_EXIT_OK);
	}
	for (i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return flush_output(
				run_command(&commands[i], argc - 1, argv + 1));
	fprintf(stderr, "ebonypier: no such command: %s\n", argv[1]);
	print_usage(stderr);
	return EBONYPIER_EXIT_USAGE;
}
