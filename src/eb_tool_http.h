#ifndef EB_TOOL_HTTP_H
#define EB_TOOL_HTTP_H

#include <stdint.h>

#include "eb_fetch.h"

/* One request to an admin port and its answer. */
struct eb_tool_request {
	const char *address; /* IP:port */
	struct eb_fetch answer;
	int32_t status;	 /* HTTP status, or 0 without an answer */
	char error[256]; /* reason of a failure */
};

int eb_tool_http_run(struct eb_tool_request *calls, uint32_t count,
		     const char *method, const char *path);
void eb_tool_http_free(struct eb_tool_request *calls, uint32_t count);

#endif
