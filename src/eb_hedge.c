#include "eb_hedge.h"

#include <stdlib.h>
#include <string.h>

#include "eb_tunables.h"

/* Kinds and sizes whose response times are kept; the oldest is replaced. */
#define CLASSES_MAX 32
/* Bodies of a request from this size on are a class of their own. */
#define LARGE_BODY_BYTES 2048
/*
 * Buckets of response times: eight for each doubling, so that a quantile is at
 * most an eighth too high. They cover 0.25 ms to 65 s.
 */
#define STEPS 8
#define BUCKETS 144
#define LOWEST_US 256
/*
 * Counts are halved when a class has this many, or after this time, so that a
 * quantile follows changes of the load. An origin with one request of a kind in
 * a second still has enough responses for 30 copies in 1,000 requests.
 */
#define SAMPLES_MAX 4096
#define HALVE_US 60000000
/* A class needs this many responses above the quantile, and in total. */
#define TAIL_SAMPLES 2
#define SAMPLES_MIN 50
/* Before this delay, which covers a tick of the timers, no copy is sent. */
#define DELAY_MIN_US 5000
/* Thousandths of a copy that the budget holds at most. */
#define TOKENS_PER_COPY 1000
#define TOKENS_MAX 3000
/*
 * Share of refused attempts, smoothed, above which no copies are sent. With
 * noisy hosts, gates that are full for a moment refused 140 in 1,000 at 75% of
 * the capacity, where copies still helped, and 300 at 90%, where they did not.
 */
#define REFUSED_PERMILLE 200
#define REFUSED_SHIFT 6
/* After a request was refused to its caller, no copy is sent for this long. */
#define REFUSED_HOLD_US 2000000

struct class
{
	uint32_t kind;
	uint8_t large;
	uint8_t used;
	uint32_t total;
	int64_t halved_us;
	int64_t seen_us;
	uint32_t counts[BUCKETS];
};

struct eb_hedge {
	uint32_t permille;
	int64_t tokens;		/* thousandths of a copy */
	uint32_t refused_micro; /* smoothed share, millionths */
	int64_t hold_until_us;
	struct class classes[CLASSES_MAX];
};

/*
 * Creates the state of a service with at most `permille` copies for 1,000
 * requests. Returns NULL if that is 0, or without memory.
 */
struct eb_hedge *eb_hedge_new(uint32_t permille)
{
	struct eb_hedge *hg;

	if (!permille)
		return NULL;
	hg = calloc(1, sizeof(*hg));
	if (!hg)
		return NULL;
	hg->permille = permille > EB_HEDGE_PERMILLE_MAX ? EB_HEDGE_PERMILLE_MAX
							: permille;
	return hg;
}

/* Frees the state; NULL is allowed. */
void eb_hedge_free(struct eb_hedge *hg)
{
	free(hg);
}

/* Returns the bucket of a time: that of its highest bits. */
static uint32_t bucket_of(int64_t us)
{
	uint32_t octave = 0, i;

	if (us < LOWEST_US)
		return 0;
	while (us >= 2 * LOWEST_US) {
		us >>= 1;
		octave++;
	}
	i = octave * STEPS + (uint32_t)((us - LOWEST_US) * STEPS / LOWEST_US);
	return i < BUCKETS ? i : BUCKETS - 1;
}

/* Returns the upper bound of a bucket. */
static int64_t bound_us(uint32_t bucket)
{
	return ((int64_t)LOWEST_US << bucket / STEPS) / STEPS *
	       (STEPS + 1 + bucket % STEPS);
}

/* Returns the index of the class of a request, or CLASSES_MAX. */
static uint32_t find_class(const struct eb_hedge *hg, uint32_t kind,
			   uint64_t body_bytes)
{
	int large = body_bytes >= LARGE_BODY_BYTES;
	uint32_t i;

	for (i = 0; i < CLASSES_MAX; i++)
		if (hg->classes[i].used && hg->classes[i].kind == kind &&
		    hg->classes[i].large == large)
			break;
	return i;
}

/* Returns an unused class, or the one not seen for the longest, emptied. */
static struct class *add_class(struct eb_hedge *hg, uint32_t kind,
			       uint64_t body_bytes, int64_t now_us)
{
	struct class *cs = &hg->classes[0];
	uint32_t i;

	for (i = 0; i < CLASSES_MAX && cs->used; i++)
		if (!hg->classes[i].used ||
		    hg->classes[i].seen_us < cs->seen_us)
			cs = &hg->classes[i];
	memset(cs, 0, sizeof(*cs));
	cs->used = 1;
	cs->kind = kind;
	cs->large = body_bytes >= LARGE_BODY_BYTES;
	cs->halved_us = now_us;
	return cs;
}

static void halve(struct class *cs, int64_t now_us)
{
	uint32_t i;

	cs->total = 0;
	cs->halved_us = now_us;
	for (i = 0; i < BUCKETS; i++) {
		cs->counts[i] /= 2;
		cs->total += cs->counts[i];
	}
}

/* Returns the least bound that at most `above` responses of a class exceed. */
static int64_t quantile_us(const struct class *cs, uint32_t above)
{
	uint32_t i = BUCKETS - 1, sum = cs->counts[i];

	while (i && sum <= above)
		sum += cs->counts[--i];
	return bound_us(i);
}

/*
 * Counts an attempt that has ended, other than a copy. A gate refuses copies
 * first, so that their refusals do not show that the service is overloaded.
 */
void eb_hedge_attempt_ended(struct eb_hedge *hg, int refused)
{
	if (!hg)
		return;
	hg->refused_micro -= hg->refused_micro >> REFUSED_SHIFT;
	if (refused)
		hg->refused_micro += 1000000 >> REFUSED_SHIFT;
}

/* Notes that a caller was told that its request was refused for load. */
void eb_hedge_call_refused(struct eb_hedge *hg, int64_t now_us)
{
	if (hg)
		hg->hold_until_us = now_us + REFUSED_HOLD_US;
}

/*
 * Records a response `elapsed_us` after its first attempt was sent, also if it
 * is that of a copy, so that copies do not lower the delay. It adds to the
 * budget.
 */
void eb_hedge_answered(struct eb_hedge *hg, uint32_t kind, uint64_t body_bytes,
		       int64_t elapsed_us, int64_t now_us)
{
	struct class *cs;
	uint32_t i;

	if (!hg)
		return;
	hg->tokens += hg->permille;
	if (hg->tokens > TOKENS_MAX)
		hg->tokens = TOKENS_MAX;
	i = find_class(hg, kind, body_bytes);
	cs = i < CLASSES_MAX ? &hg->classes[i]
			     : add_class(hg, kind, body_bytes, now_us);
	cs->seen_us = now_us;
	if (cs->total >= SAMPLES_MAX || now_us - cs->halved_us >= HALVE_US)
		halve(cs, now_us);
	cs->counts[bucket_of(elapsed_us)]++;
	cs->total++;
}

/*
 * Returns the time after which a request of this kind and size gets a copy: the
 * response time that only the permitted share of them exceeds. Returns
 * INT64_MAX while too few responses are known.
 */
int64_t eb_hedge_delay_us(const struct eb_hedge *hg, uint32_t kind,
			  uint64_t body_bytes)
{
	const struct class *cs;
	uint32_t i, above;
	int64_t us;

	if (!hg)
		return INT64_MAX;
	i = find_class(hg, kind, body_bytes);
	if (i == CLASSES_MAX)
		return INT64_MAX;
	cs = &hg->classes[i];
	above = cs->total * hg->permille / 1000;
	if (cs->total < SAMPLES_MIN || above < TAIL_SAMPLES)
		return INT64_MAX;
	us = quantile_us(cs, above);
	return us > DELAY_MIN_US ? us : DELAY_MIN_US;
}

/* Returns the time that most requests of a class with a delay take. */
static int64_t usual_us(const struct eb_hedge *hg,
			const struct eb_hedge_request *rq)
{
	const struct class *cs =
		&hg->classes[find_class(hg, rq->kind, rq->body_bytes)];

	return quantile_us(cs, cs->total / 4);
}

/*
 * Tells whether a waiting request gets a copy now. A request that was retried
 * after a failure gets none: it has had its second run, and may have crashed an
 * upstream. One that was only refused may get one.
 */
enum eb_hedge_verdict eb_hedge_check(const struct eb_hedge *hg,
				     const struct eb_retry *rb,
				     const struct eb_hedge_request *rq,
				     int64_t now_us)
{
	int64_t delay_us;

	if (!hg)
		return EB_HEDGE_OFF;
	if (!rq->idempotent || !rq->inline_body)
		return EB_HEDGE_NOT_SAFE;
	if (rq->runs || rq->attempts >= EB_ATTEMPTS_MAX || rq->runs_max < 2)
		return EB_HEDGE_ATTEMPTS;
	delay_us = eb_hedge_delay_us(hg, rq->kind, rq->body_bytes);
	if (delay_us == INT64_MAX || now_us - rq->sent_us < delay_us)
		return EB_HEDGE_EARLY;
	if (rq->deadline_us - now_us < usual_us(hg, rq))
		return EB_HEDGE_NO_TIME;
	if (now_us < hg->hold_until_us ||
	    hg->refused_micro > REFUSED_PERMILLE * 1000)
		return EB_HEDGE_OVERLOADED;
	if (hg->tokens < TOKENS_PER_COPY || !eb_retry_has_spare(rb))
		return EB_HEDGE_NO_BUDGET;
	return EB_HEDGE_DUE;
}

/* Takes a copy that was sent from its budget and from that of the retries. */
void eb_hedge_sent(struct eb_hedge *hg, struct eb_retry *rb)
{
	hg->tokens -= TOKENS_PER_COPY;
	eb_retry_take_spare(rb);
}
