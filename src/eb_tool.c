#include "ebonypier.h"

int ebonypier_tool_main(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return EBONYPIER_EXIT_USAGE;
}
