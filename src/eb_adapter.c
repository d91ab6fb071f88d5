#include "eb_adapter.h"

/* Names no headers: callers and upstreams use ebonypier's own. */
const struct eb_dialect eb_dialect_default = { 0 };
