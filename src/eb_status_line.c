#include "eb_status_line.h"

#include <string.h>

#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599

static int is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Returns the length of a line without its line end. */
static size_t trimmed(const char *line, size_t bytes)
{
	if (bytes && line[bytes - 1] == '\n')
		bytes--;
	if (bytes && line[bytes - 1] == '\r')
		bytes--;
	return bytes;
}

/*
 * Returns the status of a status line, with or without its line end: HTTP/1.x,
 * a space, three digits from 100 to 599, and a space or the end of the line.
 * Returns 0 for anything else.
 */
uint16_t eb_status_line_parse(const char *line, size_t bytes)
{
	static const char version[] = "HTTP/1.";
	size_t at = sizeof(version) - 1, n = trimmed(line, bytes);
	uint16_t status = 0;
	int i;

	if (n < at + 5 || memcmp(line, version, at) != 0 ||
	    !is_digit(line[at]) || line[at + 1] != ' ')
		return 0;
	at += 2;
	for (i = 0; i < 3; i++, at++) {
		if (!is_digit(line[at]))
			return 0;
		status = (uint16_t)(status * 10 + (line[at] - '0'));
	}
	if (n > at && line[at] != ' ')
		return 0;
	return status >= STATUS_MIN && status <= STATUS_MAX ? status : 0;
}

/*
 * Reads the next line of an answer's heads. The first line of a head is its
 * status line; in a head, no other line is taken for one.
 */
enum eb_head_line eb_status_line_read(struct eb_status_line *sl,
				      const char *line, size_t bytes)
{
	if (sl->in_head) {
		if (trimmed(line, bytes))
			return EB_HEAD_LINE_FIELD;
		sl->in_head = 0;
		return EB_HEAD_LINE_END;
	}
	sl->status = eb_status_line_parse(line, bytes);
	sl->bad = !sl->status;
	sl->in_head = 1;
	return sl->bad ? EB_HEAD_LINE_BAD : EB_HEAD_LINE_STATUS;
}

/*
 * Tells whether a transfer that ended with `rc` had a bad status line. libcurl
 * rejects some of them itself and passes no line on.
 */
int eb_status_line_is_bad(const struct eb_status_line *sl, CURLcode rc)
{
	if (sl->bad)
		return 1;
	return !sl->in_head && sl->status < STATUS_FINAL_MIN &&
	       (rc == CURLE_UNSUPPORTED_PROTOCOL ||
		rc == CURLE_WEIRD_SERVER_REPLY);
}

/* Tells whether a final answer may have this status. */
int eb_status_is_final(uint32_t status)
{
	return status >= STATUS_FINAL_MIN && status <= STATUS_MAX;
}
