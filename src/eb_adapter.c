#include "eb_adapter.h"

/* The product's own interface. */
const struct eb_dialect eb_dialect_default = { 0 };
