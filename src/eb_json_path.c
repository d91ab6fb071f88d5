#include "eb_json_path.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* A deeper value is reported as its ancestor at this depth. */
#define PATH_DEPTH_MAX 16

/* A position in the text and its line. */
struct scan {
	const char *p;
	const char *end;
	int32_t line;
};

struct key {
	const char *text; /* without its quotes */
	size_t bytes;
	int32_t line;
};

/*
 * Copies a text for a message, cut to `bytes` with the final NUL. Characters
 * other than printable ASCII become '?'.
 */
void eb_copy_printable(const char *text, char *out, size_t bytes)
{
	size_t i;

	for (i = 0; text[i] && i + 1 < bytes; i++)
		out[i] = text[i] < ' ' || text[i] > '~' ? '?' : text[i];
	out[i] = 0;
}

/* Prints the steps of a path; returns the length, cut to fit `bytes`. */
static size_t print_steps(const struct eb_json_path *path, char *out,
			  size_t bytes)
{
	char key[64];
	size_t n;
	int m;

	if (!path)
		return 0;
	n = print_steps(path->up, out, bytes);
	if (path->key) {
		eb_copy_printable(path->key, key, sizeof(key));
		m = snprintf(out + n, bytes - n, "%s%s", n ? "." : "", key);
	} else {
		m = snprintf(out + n, bytes - n, "[%zu]", path->index);
	}
	n += m > 0 ? (size_t)m : 0;
	return n < bytes ? n : bytes - 1;
}

/* Prints a path, as in added.rules[0].queue; the whole text is "note". */
void eb_json_path_print(const struct eb_json_path *path,
			char out[EB_JSON_PATH_TEXT_BYTES])
{
	out[0] = 0;
	print_steps(path, out, EB_JSON_PATH_TEXT_BYTES);
	if (!out[0])
		snprintf(out, EB_JSON_PATH_TEXT_BYTES, "note");
}

static void skip_space(struct scan *sc)
{
	while (sc->p < sc->end && strchr(" \t\r\n", *sc->p) && *sc->p) {
		sc->line += *sc->p == '\n';
		sc->p++;
	}
}

static void skip_string(struct scan *sc)
{
	sc->p++;
	while (sc->p < sc->end && *sc->p != '"')
		sc->p += *sc->p == '\\' ? 2 : 1;
	if (sc->p < sc->end)
		sc->p++;
}

/* Skips one value of any type. */
static void skip_value(struct scan *sc)
{
	uint32_t depth = 0;

	do {
		skip_space(sc);
		if (sc->p >= sc->end)
			return;
		if (*sc->p == '"') {
			skip_string(sc);
		} else if (strchr("[{", *sc->p) && *sc->p) {
			depth++;
			sc->p++;
		} else if (strchr("]}", *sc->p) && *sc->p) {
			depth--;
			sc->p++;
		} else if (strchr(",:", *sc->p) && *sc->p) {
			sc->p++;
		} else {
			do {
				sc->p++;
			} while (sc->p < sc->end &&
				 !strchr(",]} \t\r\n", *sc->p));
		}
	} while (depth);
}

/*
 * Moves the scan to the value of the next member or element of the open
 * container. Returns 1, or 0 at the end of the container.
 */
static int next_child(struct scan *sc, int object, struct key *key)
{
	skip_space(sc);
	if (sc->p < sc->end && *sc->p == ',') {
		sc->p++;
		skip_space(sc);
	}
	if (sc->p >= sc->end || *sc->p == '}' || *sc->p == ']') {
		sc->p += sc->p < sc->end;
		return 0;
	}
	if (!object)
		return 1;
	key->line = sc->line;
	key->text = sc->p + 1;
	skip_string(sc);
	key->bytes = (size_t)(sc->p - key->text) - 1;
	skip_space(sc);
	sc->p += sc->p < sc->end; /* the colon */
	return 1;
}

/* Returns the key with its escapes decoded, as a new reference, or NULL. */
static json_t *decode_key(const struct key *key)
{
	return json_loadb(key->text - 1, key->bytes + 2,
			  JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
}

static int same_key(const struct key *key, const char *name)
{
	json_t *js;
	int same;

	if (!memchr(key->text, '\\', key->bytes))
		return key->bytes == strlen(name) &&
		       !memcmp(key->text, name, key->bytes);
	js = decode_key(key);
	same = js && !strcmp(json_string_value(js), name);
	json_decref(js);
	return same;
}

/*
 * Moves the scan from a container to one of its children. Returns the line
 * of the child, or 0 when there is no such child. Of members with the same
 * key it takes the last, as jansson does.
 */
static int32_t descend(struct scan *sc, const struct eb_json_path *step)
{
	struct scan found = { 0 };
	struct key key = { 0 };
	int32_t line = 0;
	int object;
	size_t i;

	skip_space(sc);
	if (sc->p >= sc->end || (*sc->p != '{' && *sc->p != '['))
		return 0;
	object = *sc->p++ == '{';
	if (object != (step->key != NULL))
		return 0;
	for (i = 0; next_child(sc, object, &key); i++) {
		skip_space(sc);
		if (object ? same_key(&key, step->key) : i == step->index) {
			found = *sc;
			line = object ? key.line : sc->line;
			if (!object)
				break;
		}
		skip_value(sc);
	}
	if (!found.p)
		return 0;
	*sc = found;
	return line;
}

/*
 * Returns the line, from 1, of the value at `path`. When there is no such
 * value, as for a missing field, it is the line of its nearest ancestor.
 */
int32_t eb_json_path_line(const char *text, size_t bytes,
			  const struct eb_json_path *path)
{
	const struct eb_json_path *steps[PATH_DEPTH_MAX], *p;
	struct scan sc = { text, text + bytes, 1 };
	size_t depth = 0, i;
	int32_t line, at;

	for (p = path; p; p = p->up)
		depth++;
	for (i = depth, p = path; p; p = p->up)
		if (--i < PATH_DEPTH_MAX)
			steps[i] = p;
	if (depth > PATH_DEPTH_MAX)
		depth = PATH_DEPTH_MAX;
	skip_space(&sc);
	line = sc.line;
	for (i = 0; i < depth; i++) {
		at = descend(&sc, steps[i]);
		if (!at)
			break;
		line = at;
	}
	return line;
}

/* Reports the duplicate keys of the next value and skips it. */
static void find_duplicates(struct scan *sc, const struct eb_json_path *path,
			    const char *source, struct eb_findings *fs)
{
	struct eb_json_path child = { path, NULL, 0 };
	char field[EB_JSON_PATH_TEXT_BYTES];
	json_t *seen, *name;
	struct key key;
	int object;

	skip_space(sc);
	if (sc->p >= sc->end || (*sc->p != '{' && *sc->p != '[')) {
		skip_value(sc);
		return;
	}
	object = *sc->p++ == '{';
	seen = json_object();
	for (; next_child(sc, object, &key); child.index++) {
		name = object ? decode_key(&key) : NULL;
		child.key = name ? json_string_value(name) : NULL;
		if (name && json_object_get(seen, child.key)) {
			eb_json_path_print(&child, field);
			eb_findings_add(fs, source, key.line, field,
					"this field appears twice");
		} else if (name) {
			json_object_set_new(seen, child.key, json_true());
		}
		find_duplicates(sc, &child, source, fs);
		json_decref(name);
	}
	json_decref(seen);
}

/*
 * Reports each key that appears more than once in its object. The recursion
 * is as deep as the JSON values are nested, which jansson limits.
 */
void eb_json_path_duplicates(const char *source, const char *text, size_t bytes,
			     struct eb_findings *fs)
{
	struct scan sc = { text, text + bytes, 1 };

	find_duplicates(&sc, NULL, source, fs);
}
