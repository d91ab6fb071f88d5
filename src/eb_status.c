#include "eb_status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[] = {
	[EB_OK] = "ok",
	[EB_EINVAL] = "invalid argument",
	[EB_ENOMEM] = "out of memory",
	[EB_EFULL] = "full",
	[EB_EAGAIN] = "try again",
	[EB_ENOTFOUND] = "not found",
	[EB_EPARSE] = "parse error",
	[EB_EIO] = "input/output error",
	[EB_ETIMEOUT] = "timeout",
	[EB_ECLOSED] = "closed",
	[EB_EPEER] = "peer error",
};

/*
 * Stores a failure in `err`, which may be NULL, and returns `status`, so that a
 * caller can set the error and return in one statement. The message is cut off
 * at the size of `err->message`.
 */
enum eb_status eb_error_set(struct eb_error *err, enum eb_status status,
			    const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return status;
	err->status = status;
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return status;
}

/* Returns a short constant text for a status. */
const char *eb_status_name(enum eb_status status)
{
	if ((unsigned)status >= sizeof(status_names) / sizeof(*status_names))
		return "unknown";
	return status_names[status];
}
