#include "eb_arrivals.h"

/*
 * Begins the record with the first heartbeat of the origin; `numbered` is the
 * last number that the origin had given when it sent the heartbeat. Earlier
 * calls may have arrived before the gate knew the origin, or had forgotten it.
 */
void eb_arrivals_heartbeat(struct eb_arrivals *ar, uint64_t numbered)
{
	if (ar->begun)
		return;
	ar->begun = 1;
	ar->since = numbered;
}

/*
 * Records a call that arrives. Returns 0 when its origin was told that it will
 * not run.
 */
int eb_arrivals_accept(struct eb_arrivals *ar, uint64_t call)
{
	if (call <= ar->voided)
		return 0;
	if (call > ar->highest)
		ar->highest = call;
	return 1;
}

/*
 * Returns 1 when a call is known not to have arrived, and makes sure that it is
 * not accepted if it arrives late. Returns 0 when it may have arrived.
 */
int eb_arrivals_void(struct eb_arrivals *ar, uint64_t call)
{
	if (!ar->begun || call <= ar->since || call <= ar->highest)
		return 0;
	if (call > ar->voided)
		ar->voided = call;
	return 1;
}
