#include "ebonypier.h"

int main(int argc, char **argv)
{
	return ebonypier_daemon_main(argc, argv);
}
