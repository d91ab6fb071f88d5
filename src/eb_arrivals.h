#ifndef EB_ARRIVALS_H
#define EB_ARRIVALS_H

#include <stdint.h>

/*
 * Which calls of one origin have arrived at a gate. An origin numbers its calls
 * in ascending order, and the frames of a connection arrive in order, so a call
 * with a higher number than all that have arrived has not arrived. The record
 * covers only calls that were numbered after it began. Pure.
 */
struct eb_arrivals {
	uint64_t since;	  /* the last call that was numbered before */
	uint64_t highest; /* of the calls that have arrived */
	uint64_t voided;  /* calls up to this one are no longer accepted */
	uint8_t begun;
};

void eb_arrivals_heartbeat(struct eb_arrivals *ar, uint64_t numbered);
int eb_arrivals_accept(struct eb_arrivals *ar, uint64_t call);
int eb_arrivals_void(struct eb_arrivals *ar, uint64_t call);

#endif
