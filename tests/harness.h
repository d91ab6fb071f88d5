#ifndef HARNESS_H
#define HARNESS_H

#include <string>

std::string build_dir();

#endif
