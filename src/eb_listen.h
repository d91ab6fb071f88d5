#ifndef EB_LISTEN_H
#define EB_LISTEN_H

#include "eb_status.h"

int eb_listen_open(const char *address, struct eb_error *err);

#endif
