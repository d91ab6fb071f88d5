#include "ebonypier.h"

int main(int argc, char **argv)
{
	return ebonypier_tool_main(argc, argv);
}
