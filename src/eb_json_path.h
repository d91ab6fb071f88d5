#ifndef EB_JSON_PATH_H
#define EB_JSON_PATH_H

#include <stddef.h>
#include <stdint.h>

#include "eb_findings.h"

/*
 * Line numbers of values in a JSON text. jansson does not keep them, so the
 * text is scanned again when there is something to report. The text has been
 * parsed before, so the scan relies on valid JSON.
 */

/*
 * The path to a value; its last step is a member of an object or an element
 * of an array.
 */
struct eb_json_path {
	const struct eb_json_path
		*up;	 /* path of the container; NULL: the text */
	const char *key; /* NULL: an element */
	size_t index;
};

#define EB_JSON_PATH_TEXT_BYTES 256

void eb_json_path_print(const struct eb_json_path *path,
			char out[EB_JSON_PATH_TEXT_BYTES]);
int32_t eb_json_path_line(const char *text, size_t bytes,
			  const struct eb_json_path *path);
void eb_json_path_duplicates(const char *source, const char *text, size_t bytes,
			     struct eb_findings *fs);
void eb_copy_printable(const char *text, char *out, size_t bytes);

#endif
