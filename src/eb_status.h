#ifndef EB_STATUS_H
#define EB_STATUS_H

enum eb_status {
	EB_OK = 0,
	EB_EINVAL,
	EB_ENOMEM,
	EB_EFULL,
	EB_EAGAIN,
	EB_ENOTFOUND,
	EB_EPARSE,
	EB_EIO,
	EB_ETIMEOUT,
	EB_ECLOSED,
	EB_EPEER,
};

/* Why an operation failed: its status and a message for the log. */
struct eb_error {
	enum eb_status status;
	char message[256];
};

enum eb_status eb_error_set(struct eb_error *err, enum eb_status status,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
const char *eb_status_name(enum eb_status status);

#endif
