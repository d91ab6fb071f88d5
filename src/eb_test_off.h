#ifndef EB_TEST_OFF_H
#define EB_TEST_OFF_H

/*
 * Only for ebonypierd-test: tells whether EBONYPIER_TEST_OFF names this
 * mechanism, which is then off, so that tests can show what breaks without it.
 * In ebonypierd it is always on.
 */
#ifdef EB_TEST_SWITCHES
#include <stdlib.h>
#include <string.h>

static inline int eb_test_off(const char *mechanism)
{
	const char *off = getenv("EBONYPIER_TEST_OFF");

	return off && !strcmp(off, mechanism);
}
#else
#define eb_test_off(mechanism) 0
#endif

#endif
