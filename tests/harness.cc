#include "harness.h"

#include <cstdlib>

std::string build_dir()
{
	const char *dir = getenv("EBONYPIER_BUILD");

	return dir ? dir : "build";
}
