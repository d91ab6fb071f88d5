#ifndef EB_CHECK_H
#define EB_CHECK_H

/* Trace spans and log lines have room for names of this length. */
#define EB_NAME_MAX_BYTES 47
#define EB_CURVE_KEY_CHARS 40

/*
 * Checks of values that occur both in settings and in release notes. Each
 * returns the reason why the text is invalid, or NULL.
 */
const char *eb_check_name(const char *text);
const char *eb_check_address(const char *text);
const char *eb_check_key(const char *text);

#endif
