#ifndef EB_FIELDS_H
#define EB_FIELDS_H

#include <stddef.h>
#include <stdint.h>

#include "eb_config.h"

/* Types of the fields in the items of a release note. */
enum eb_field_type {
	EB_FIELD_TEXT = 0, /* char * */
	EB_FIELD_UINT,	   /* uint32_t */
	EB_FIELD_BOOL,	   /* uint8_t */
	EB_FIELD_KEY,	   /* char[41] */
	EB_FIELD_LIST,	   /* struct eb_texts, not empty if given */
	EB_FIELD_OBJECT,   /* members are fields of the same struct */
};

/* A field of an item: its offset in the struct and its valid values. */
struct eb_field {
	const char *name;
	uint8_t type;
	uint8_t required;
	size_t offset;
	uint32_t min; /* of EB_FIELD_UINT */
	uint32_t max;
	uint32_t value;	  /* default of EB_FIELD_UINT and EB_FIELD_BOOL */
	const char *text; /* default of EB_FIELD_TEXT, or NULL */
	/* Returns why a text is invalid, or NULL. */
	const char *(*check)(const char *text);
	const struct eb_field *members; /* of EB_FIELD_OBJECT */
};

/* A kind of item; its table of fields ends with one without a name. */
struct eb_item_schema {
	const char *name;
	const char *plural;
	const struct eb_field *fields;
	uint32_t max; /* items in a release */
};

extern const struct eb_item_schema eb_item_schemas[EB_ITEM_KINDS];

#endif
