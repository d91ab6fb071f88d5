#ifndef EB_STATUS_LINE_H
#define EB_STATUS_LINE_H

#include <curl/curl.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Reads the heads of an answer line by line, as libcurl passes them on. libcurl
 * accepts statuses such as 999 and takes 200a for 200; this module does not.
 */

enum eb_head_line {
	EB_HEAD_LINE_BAD, /* not a status line where one must be */
	EB_HEAD_LINE_STATUS,
	EB_HEAD_LINE_FIELD,
	EB_HEAD_LINE_END, /* the empty line */
};

struct eb_status_line {
	uint16_t status; /* of the newest head; 0: none or a bad one */
	uint8_t in_head; /* its status line was read, the empty line not */
	uint8_t bad;	 /* a line was EB_HEAD_LINE_BAD */
};

uint16_t eb_status_line_parse(const char *line, size_t bytes);
enum eb_head_line eb_status_line_read(struct eb_status_line *sl,
				      const char *line, size_t bytes);
int eb_status_line_is_bad(const struct eb_status_line *sl, CURLcode rc);
int eb_status_is_final(uint32_t status);

#endif
