#ifndef EB_EJECT_H
#define EB_EJECT_H

#include <stdint.h>

/*
 * Ejects upstreams whose error rate is far above that of their service, and
 * readmits them gradually. Pure: the caller passes the monotonic time. There is
 * one struct eb_eject for each service and one struct eb_eject_state for each
 * upstream.
 */
enum eb_eject_phase {
	EB_EJECT_ACTIVE = 0,
	EB_EJECT_EJECTED, /* gets no requests until the period is over */
	EB_EJECT_RAMP,	  /* its share of requests grows to the full one */
};

struct eb_eject {
	uint32_t eject_permille;       /* error rate; over 1000: never */
	uint32_t ejected_max_permille; /* of the service's upstreams */
	int64_t period_us;
	int64_t ramp_us;	 /* 0: full share at once */
	uint32_t total;		 /* upstreams of the service */
	uint32_t out;		 /* upstreams ejected at present */
	uint32_t error_permille; /* of the whole service, smoothed */
};

struct eb_eject_state {
	int64_t since_us;	 /* start of the phase */
	uint16_t error_permille; /* smoothed */
	uint8_t phase;		 /* enum eb_eject_phase */
	uint8_t periods;	 /* consecutive ejections, for the backoff */
};

void eb_eject_init(struct eb_eject *ej);
/* How an attempt ended. */
enum eb_eject_result {
	EB_EJECT_GOOD = 0,
	EB_EJECT_FAILED,
	EB_EJECT_UNREACHABLE, /* no connection: ejects at once */
};

int eb_eject_record(struct eb_eject *ej, struct eb_eject_state *st,
		    enum eb_eject_result how, int64_t now_us);
uint32_t eb_eject_share(struct eb_eject *ej, struct eb_eject_state *st,
			int64_t now_us);
void eb_eject_ramp(struct eb_eject *ej, struct eb_eject_state *st,
		   int64_t now_us);
void eb_eject_forget(struct eb_eject *ej, const struct eb_eject_state *st);

#endif
