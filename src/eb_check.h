#ifndef EB_CHECK_H
#define EB_CHECK_H

/* A span and a log line hold a name of this length. */
#define EB_NAME_MAX_BYTES 47
#define EB_CURVE_KEY_CHARS 40

/*
 * Checks of values that settings and release notes have in common. Each
 * returns why the text is wrong, or NULL.
 */
const char *eb_check_name(const char *text);
const char *eb_check_address(const char *text);
const char *eb_check_key(const char *text);

#endif
