#include "eb_claimant.h"

#include <stdlib.h>
#include <string.h>

#include "eb_chart.h"
#include "eb_rand.h"

#define US_PER_MS 1000LL
#define BUCKETS 1024
#define BACKOFF_FIRST_MS 20

enum state { ASKING, WAITING, RUNNING, RECORDING, RELEASING, GONE };
static const char *const state_names[] = {
	"asking", "waiting", "running", "recording", "releasing", "gone", NULL,
};

enum event {
	MAJORITY,
	STORED,
	MISMATCH,
	FULL,
	OUTRANKED,
	EXPIRED,
	CANCELLED,
	ENDED,
	NOT_RUN,
	DUE,
	MOVED,
	RECORDED,
	SETTLED,
};
static const char *const event_names[] = {
	"majority", "stored",	 "mismatch", "full",	"outranked",
	"expired",  "cancelled", "ended",    "not_run", "due",
	"moved",    "recorded",	 "settled",  NULL,
};

enum action {
	NOTHING,
	RUN,
	ANSWER,
	REFUSE_MISMATCH,
	REFUSE_FULL,
	REFUSE_EXPIRED,
	REFUSE_NOT_RUN,
	RELEASE,
	ASK,
	ASK_AGAIN,
	RECORD,
	DELIVER,
	SEND_RECORD,
	SEND_RELEASE,
};
static const char *const action_names[] = {
	"nothing",	   "run",	   "answer",
	"refuse_mismatch", "refuse_full",  "refuse_expired",
	"refuse_not_run",  "release",	   "ask",
	"ask_again",	   "record",	   "deliver",
	"send_record",	   "send_release", NULL,
};

/* The last answer of a holder to the current try. */
struct vote {
	uint8_t verdict;
	uint8_t acked;		  /* acknowledged the end of the claim */
	struct eb_claim_id other; /* that has the key */
	uint64_t generations[EB_CLAIM_HOLDERS_MAX];
};

/*
 * A claim on one key. Each try to obtain the key has a number of its own;
 * messages of earlier tries are ignored.
 */
struct claim {
	struct claim *next;
	uint32_t state; /* enum state */
	uint8_t key[EB_CLAIM_KEY_BYTES];
	uint8_t digest[EB_CLAIM_KEY_BYTES];
	char *service;
	struct eb_claim_set set;	 /* of the current try */
	struct eb_claim_set current_set; /* at the last notify_holders() */
	uint64_t first_try;
	uint64_t number;			/* of the current try */
	uint64_t running_call;			/* the call that runs */
	uint64_t calls[EB_CLAIMANT_JOINED_MAX]; /* to be answered */
	uint32_t call_count;
	uint32_t backoffs;
	uint32_t notify_rounds; /* messages about the end */
	uint8_t saw_other;	/* a holder named another claim */
	uint8_t result;		/* enum eb_claim_state, of the run */
	uint8_t delivered;	/* the answer of the run was released */
	struct eb_claim_response response; /* owned */
	int64_t started_us;
	int64_t ended_us; /* of the run */
	int64_t try_start_us;
	int64_t deadline_us;
	int64_t next_us; /* of the next event DUE */
	struct vote votes[EB_CLAIM_HOLDERS_MAX];
};

struct eb_claimant {
	struct eb_claimant_config config;
	const struct eb_config *cf; /* borrowed until the next configure */
	struct eb_chart *chart;
	struct eb_rand rand;
	uint64_t next_number;
	struct claim *buckets[BUCKETS];
	uint32_t active;
	struct eb_claimant_action *actions; /* a ring */
	uint32_t action_first;
	uint32_t action_count;
	uint32_t action_space;
	struct eb_claim_queue out;
	struct eb_claimant_counters counters;
};

/* HTTP status by enum eb_claimant_refusal. */
static const uint16_t refusal_status[] = {
	0, 422, 409, 503, 503, 409, 409, 503
};

/* Creates a claimant. Returns NULL when out of memory. */
struct eb_claimant *eb_claimant_new(const struct eb_claimant_config *cf)
{
	static const struct eb_chart_names names = { state_names, event_names,
						     action_names };
	struct eb_claimant *cl = calloc(1, sizeof(*cl));
	struct eb_findings fs = { 0 };

	if (!cl)
		return NULL;
	cl->config = *cf;
	cl->chart = eb_chart_load("claim", &names, &fs);
	eb_findings_clear(&fs);
	if (!cl->chart) {
		free(cl);
		return NULL;
	}
	eb_rand_seed(&cl->rand, cf->seed);
	return cl;
}

/*
 * Sets the result of a claim and copies the response of EB_CLAIM_DONE. One
 * that is too large or cannot be copied makes the result EB_CLAIM_LARGE.
 */
static void set_response(struct claim *c, uint8_t result,
			 const struct eb_claim_response *rs)
{
	uint32_t n = rs ? rs->headers_bytes + rs->body_bytes : 0;
	uint8_t *block;

	free((void *)c->response.headers);
	memset(&c->response, 0, sizeof(c->response));
	c->result = result;
	if (result != EB_CLAIM_DONE)
		return;
	block = rs && n <= EB_CLAIM_RESPONSE_MAX_BYTES ? malloc(n + 1) : NULL;
	if (!block) {
		c->result = EB_CLAIM_LARGE;
		return;
	}
	if (rs->headers_bytes)
		memcpy(block, rs->headers, rs->headers_bytes);
	if (rs->body_bytes)
		memcpy(block + rs->headers_bytes, rs->body, rs->body_bytes);
	c->response = *rs;
	c->response.headers = block;
	c->response.body = block + rs->headers_bytes;
}

static void free_claim(struct claim *c)
{
	eb_claim_set_clear(&c->set);
	eb_claim_set_clear(&c->current_set);
	set_response(c, EB_CLAIM_FREE, NULL);
	free(c->service);
	free(c);
}

/* Frees a claimant; NULL is allowed. */
void eb_claimant_free(struct eb_claimant *cl)
{
	struct eb_claimant_action act;
	struct claim *c;
	uint32_t b;

	if (!cl)
		return;
	for (b = 0; b < BUCKETS; b++)
		while ((c = cl->buckets[b])) {
			cl->buckets[b] = c->next;
			free_claim(c);
		}
	while (eb_claimant_next(cl, &act))
		eb_claimant_action_clear(&act);
	free(cl->actions);
	eb_claim_queue_clear(&cl->out);
	eb_chart_free(cl->chart);
	free(cl);
}

/*
 * Sets the configuration that names the holders. It must stay valid until
 * the next call of this function.
 */
void eb_claimant_configure(struct eb_claimant *cl, const struct eb_config *cf)
{
	cl->cf = cf;
}

/* Appends an action; the size of the ring is a power of two. */
static struct eb_claimant_action *new_action(struct eb_claimant *cl)
{
	uint32_t space = cl->action_space ? cl->action_space * 2 : 64, i, k;
	struct eb_claimant_action *a;

	if (cl->action_count == cl->action_space) {
		a = calloc(space, sizeof(*a));
		if (!a)
			abort();
		for (i = 0; i < cl->action_count; i++) {
			k = (cl->action_first + i) & (cl->action_space - 1);
			a[i] = cl->actions[k];
		}
		free(cl->actions);
		cl->actions = a;
		cl->action_space = space;
		cl->action_first = 0;
	}
	k = (cl->action_first + cl->action_count++) & (cl->action_space - 1);
	a = &cl->actions[k];
	memset(a, 0, sizeof(*a));
	return a;
}

static void refuse(struct eb_claimant *cl, uint64_t call,
		   enum eb_claimant_refusal refusal, enum eb_outcome outcome)
{
	struct eb_claimant_action *a = new_action(cl);

	a->kind = EB_CLAIMANT_REFUSE;
	a->call = call;
	a->refusal = (uint8_t)refusal;
	a->outcome = (uint8_t)outcome;
	a->status = refusal_status[refusal];
	if (a->status == 503)
		a->retry_after_ms = 1000;
	cl->counters.refused[refusal]++;
}

/* Answers a call with the result of its claim. */
static void answer(struct eb_claimant *cl, uint64_t call, const struct claim *c)
{
	const struct eb_claim_response *rs = &c->response;
	uint32_t n = rs->headers_bytes + rs->body_bytes;
	struct eb_claimant_action *a;
	uint8_t *block;

	if (c->result != EB_CLAIM_DONE) {
		refuse(cl, call,
		       c->result == EB_CLAIM_LARGE ? EB_CLAIMANT_REFUSAL_LARGE
						   : EB_CLAIMANT_REFUSAL_LOST,
		       c->result == EB_CLAIM_LARGE ? EB_OUTCOME_RAN
						   : EB_OUTCOME_UNKNOWN);
		return;
	}
	block = malloc(n + 1);
	if (!block) {
		refuse(cl, call, EB_CLAIMANT_REFUSAL_LARGE, EB_OUTCOME_RAN);
		return;
	}
	memcpy(block, rs->headers, n);
	a = new_action(cl);
	a->kind = EB_CLAIMANT_ANSWER_STORED;
	a->call = call;
	a->outcome = EB_OUTCOME_RAN;
	a->response = *rs;
	a->response.headers = block;
	a->response.body = block + rs->headers_bytes;
	cl->counters.answered++;
}

/* Refuses all calls of a claim except one that runs. */
static void refuse_all(struct eb_claimant *cl, struct claim *c,
		       enum eb_claimant_refusal refusal,
		       enum eb_outcome outcome)
{
	uint32_t i;

	for (i = 0; i < c->call_count; i++)
		if (c->calls[i] != c->running_call || c->state != RUNNING)
			refuse(cl, c->calls[i], refusal, outcome);
	c->call_count = 0;
}

/* Removes a call that waits for a claim. */
static void remove_call(struct claim *c, uint64_t call)
{
	uint32_t i;

	for (i = 0; i < c->call_count && c->calls[i] != call;)
		i++;
	if (i == c->call_count)
		return;
	c->call_count--;
	memmove(&c->calls[i], &c->calls[i + 1],
		(c->call_count - i) * sizeof(c->calls[0]));
}

/* Answers all calls of a claim except one that runs. */
static void answer_all(struct eb_claimant *cl, struct claim *c)
{
	uint32_t i;

	for (i = 0; i < c->call_count; i++)
		if (c->calls[i] != c->running_call || c->state != RUNNING)
			answer(cl, c->calls[i], c);
	c->call_count = 0;
}

/* Queues a message to holder `i` of a set. */
static void send_to(struct eb_claimant *cl, const struct claim *c,
		    const struct eb_claim_set *set, uint32_t i,
		    enum eb_claim_type type, uint64_t number)
{
	struct eb_claim_message m = { 0 };

	m.type = (uint8_t)type;
	m.slot = c->key[0];
	m.set_id = c->set.id;
	m.incarnation = cl->config.incarnation;
	memcpy(m.record.key, c->key, sizeof(c->key));
	memcpy(m.record.digest, c->digest, sizeof(c->digest));
	m.record.claim.incarnation = cl->config.incarnation;
	m.record.claim.number = number;
	if (type == EB_CLAIM_COMPLETE) {
		m.record.state = c->result;
		m.record.response = c->response;
	}
	eb_claim_queue_add(&cl->out, set->name[i], &m, NULL);
}

/* Computes the holders of the claim's key in the current configuration. */
static void find_set(struct eb_claimant *cl, const struct claim *c,
		     struct eb_claim_set *set)
{
	uint32_t service = EB_NONE, i;

	for (i = 0; cl->cf && i < cl->cf->service_total; i++)
		if (!strcmp(cl->cf->services[i]->name, c->service))
			service = i;
	/* The set is empty when out of memory: the claim gets no majority. */
	(void)eb_claim_set_make(set, cl->cf, service, c->key[0]);
}

/*
 * Notifies the holders that have not acknowledged the end of a claim, and
 * holders of the current configuration that may have copied the claim.
 */
static void notify_holders(struct eb_claimant *cl, struct claim *c,
			   enum eb_claim_type type, int64_t now_us)
{
	uint32_t i;

	eb_claim_set_clear(&c->current_set);
	find_set(cl, c, &c->current_set);
	for (i = 0; i < c->set.count; i++)
		if (!c->votes[i].acked)
			send_to(cl, c, &c->set, i, type, c->number);
	if (c->current_set.id != c->set.id)
		for (i = 0; i < c->current_set.count; i++)
			if (eb_claim_set_find(&c->set,
					      c->current_set.member[i]) ==
			    EB_NONE)
				send_to(cl, c, &c->current_set, i, type,
					c->number);
	c->notify_rounds++;
	c->next_us = now_us + 2 * EB_CLAIMANT_RETRY_MS * US_PER_MS;
}

static void clear_votes(struct claim *c)
{
	memset(c->votes, 0, sizeof(c->votes));
}

/* Requests a grant for the current try from all holders. */
static void ask(struct eb_claimant *cl, struct claim *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->set.count; i++)
		send_to(cl, c, &c->set, i, EB_CLAIM_ASK, c->number);
	c->next_us = now_us + (c->saw_other ? EB_CLAIMANT_CONTENDED_RETRY_MS
					    : EB_CLAIMANT_RETRY_MS) *
				      US_PER_MS;
}

/* Starts a new try with a new number, for the current holders. */
static void ask_again(struct eb_claimant *cl, struct claim *c, int64_t now_us)
{
	eb_claim_set_clear(&c->set);
	find_set(cl, c, &c->set);
	clear_votes(c);
	c->number = ++cl->next_number;
	c->try_start_us = now_us;
	ask(cl, c, now_us);
}

/* Releases the current try at all of its holders. */
static void release_try(struct eb_claimant *cl, struct claim *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->set.count; i++)
		c->votes[i].acked = 0;
	c->notify_rounds = 0;
	notify_holders(cl, c, EB_CLAIM_RELEASE, now_us);
}

/*
 * Returns the backoff before the next try, in microseconds: it doubles up to
 * EB_CLAIMANT_BACKOFF_MAX_MS and has up to half as much added at random.
 */
static int64_t backoff_us(struct eb_claimant *cl, struct claim *c)
{
	int64_t ms = BACKOFF_FIRST_MS << (c->backoffs < 5 ? c->backoffs : 5);

	c->backoffs++;
	if (ms > EB_CLAIMANT_BACKOFF_MAX_MS)
		ms = EB_CLAIMANT_BACKOFF_MAX_MS;
	return ms * US_PER_MS +
	       eb_rand_below(&cl->rand, (uint32_t)(ms * US_PER_MS / 2));
}

/*
 * Refuses the calls of a claim whose wait is over. If another claim was seen,
 * it is unknown whether the request has run.
 */
static void refuse_expired(struct eb_claimant *cl, struct claim *c)
{
	if (c->saw_other)
		refuse_all(cl, c, EB_CLAIMANT_REFUSAL_BUSY, EB_OUTCOME_UNKNOWN);
	else
		refuse_all(cl, c, EB_CLAIMANT_REFUSAL_NO_QUORUM,
			   EB_OUTCOME_NOT_RUN);
}

static void run(struct eb_claimant *cl, struct claim *c)
{
	struct eb_claimant_action *a = new_action(cl);

	c->running_call = c->calls[0];
	a->kind = EB_CLAIMANT_RUN;
	a->call = c->running_call;
	cl->counters.won++;
}

/*
 * Releases the answer of the run, and answers the calls that waited for it. A
 * caller that sends the request again later gets the same answer.
 */
static void deliver(struct eb_claimant *cl, struct claim *c)
{
	struct eb_claimant_action *a;

	if (c->delivered)
		return;
	c->delivered = 1;
	a = new_action(cl);
	a->kind = EB_CLAIMANT_DELIVER;
	a->call = c->running_call;
	a->outcome = EB_OUTCOME_RAN;
	answer_all(cl, c);
}

/* Carries out an action of the state chart. */
static void act(struct eb_claimant *cl, struct claim *c, uint32_t action,
		int64_t now_us)
{
	switch (action) {
	case RUN:
		run(cl, c);
		break;
	case ANSWER:
		answer_all(cl, c);
		release_try(cl, c, now_us);
		break;
	case REFUSE_MISMATCH:
		refuse_all(cl, c, EB_CLAIMANT_REFUSAL_MISMATCH,
			   EB_OUTCOME_NOT_RUN);
		release_try(cl, c, now_us);
		break;
	case REFUSE_FULL:
		refuse_all(cl, c, EB_CLAIMANT_REFUSAL_FULL, EB_OUTCOME_NOT_RUN);
		release_try(cl, c, now_us);
		break;
	case REFUSE_EXPIRED:
		refuse_expired(cl, c);
		release_try(cl, c, now_us);
		break;
	case REFUSE_NOT_RUN:
		refuse_all(cl, c, EB_CLAIMANT_REFUSAL_NOT_RUN,
			   EB_OUTCOME_NOT_RUN);
		release_try(cl, c, now_us);
		break;
	case RELEASE:
		release_try(cl, c, now_us);
		c->next_us = now_us + backoff_us(cl, c);
		cl->counters.yielded++;
		break;
	case ASK:
		ask(cl, c, now_us);
		break;
	case ASK_AGAIN:
		ask_again(cl, c, now_us);
		break;
	case RECORD:
		/* The running call gets its own answer. */
		c->ended_us = now_us;
		remove_call(c, c->running_call);
		clear_votes(c);
		notify_holders(cl, c, EB_CLAIM_COMPLETE, now_us);
		break;
	case DELIVER:
		deliver(cl, c);
		break;
	case SEND_RECORD:
		notify_holders(cl, c, EB_CLAIM_COMPLETE, now_us);
		break;
	case SEND_RELEASE:
		notify_holders(cl, c, EB_CLAIM_RELEASE, now_us);
		break;
	default:
		break;
	}
}

/* Passes an event to the state chart of a claim. */
static void step(struct eb_claimant *cl, struct claim *c, enum event ev,
		 int64_t now_us)
{
	uint32_t next, action;

	if (eb_chart_step(cl->chart, c->state, ev, &next, &action))
		abort();
	act(cl, c, action, now_us);
	c->state = next;
}

static struct claim **bucket_of(struct eb_claimant *cl, const uint8_t *key)
{
	uint32_t h = (uint32_t)key[0] | (uint32_t)key[1] << 8;

	return &cl->buckets[h % BUCKETS];
}

/* Removes and frees a claim in state GONE. Returns 1 if it was removed. */
static int free_if_gone(struct eb_claimant *cl, struct claim *c)
{
	struct claim **link = bucket_of(cl, c->key);

	if (c->state != GONE)
		return 0;
	while (*link != c)
		link = &(*link)->next;
	*link = c->next;
	free_claim(c);
	cl->active--;
	return 1;
}

/*
 * Tells whether the grant of holder `i` is valid. It is void when another
 * holder that granted knows a newer generation of holder `i`: holder `i` has
 * lost its claims since, and may have granted the key to another claim.
 */
static int grant_valid(const struct claim *c, uint32_t i)
{
	uint32_t k;

	for (k = 0; k < c->set.count; k++)
		if (c->votes[k].verdict == EB_CLAIM_GRANTED &&
		    c->votes[k].generations[i] > c->votes[i].generations[i])
			return 0;
	return 1;
}

static uint32_t count_valid_grants(struct eb_claimant *cl, struct claim *c)
{
	uint32_t i, n = 0;

	for (i = 0; i < c->set.count; i++) {
		if (c->votes[i].verdict != EB_CLAIM_GRANTED)
			continue;
		if (cl->config.test_ignore_generations || grant_valid(c, i))
			n++;
		else
			cl->counters.grants_void++;
	}
	return n;
}

static uint32_t count_verdict(const struct claim *c, uint8_t verdict)
{
	uint32_t i, n = 0;

	for (i = 0; i < c->set.count; i++)
		n += c->votes[i].verdict == verdict;
	return n;
}

/*
 * Tells whether to yield to another claim: that one has a lower incarnation,
 * and this one cannot get a majority now or has had none for
 * EB_CLAIMANT_YIELD_MS. The order by incarnation is total and fixed, so two
 * claims never wait for each other.
 */
static int must_yield(const struct eb_claimant *cl, const struct claim *c,
		      int64_t now_us)
{
	uint32_t i;

	if (count_verdict(c, EB_CLAIM_BUSY) <= c->set.count - c->set.majority &&
	    now_us - c->try_start_us < EB_CLAIMANT_YIELD_MS * US_PER_MS)
		return 0;
	for (i = 0; i < c->set.count; i++)
		if (c->votes[i].verdict == EB_CLAIM_BUSY &&
		    c->votes[i].other.incarnation <= cl->config.incarnation)
			return 1;
	return 0;
}

/* Tells whether it is too late to run on the grants of the current try. */
static int run_window_over(const struct claim *c, int64_t now_us)
{
	return now_us - c->try_start_us >=
		       EB_CLAIMANT_RUN_WINDOW_MS * US_PER_MS ||
	       now_us >= c->deadline_us;
}

/* Checks whether the votes of a claim in state ASKING decide it. */
static void decide(struct eb_claimant *cl, struct claim *c, int64_t now_us)
{
	uint32_t need = c->set.majority;

	if (cl->config.test_majority)
		need = cl->config.test_majority;
	if (c->set.count && count_valid_grants(cl, c) >= need &&
	    !run_window_over(c, now_us))
		step(cl, c, MAJORITY, now_us);
	else if (count_verdict(c, EB_CLAIM_FULL) >
			 c->set.count - c->set.majority &&
		 !c->saw_other)
		step(cl, c, FULL, now_us);
	else if (must_yield(cl, c, now_us))
		step(cl, c, OUTRANKED, now_us);
}

/* Handles the answer of holder `i` to the current try. */
static void on_vote(struct eb_claimant *cl, struct claim *c, uint32_t i,
		    const struct eb_claim_message *m, int64_t now_us)
{
	struct vote *v = &c->votes[i];

	if (m->verdict == EB_CLAIM_STORED) {
		if (c->state == ASKING)
			set_response(c, m->record.state, &m->record.response);
		step(cl, c, STORED, now_us);
		return;
	}
	if (m->verdict == EB_CLAIM_MISMATCH) {
		step(cl, c, MISMATCH, now_us);
		return;
	}
	if (c->state != ASKING)
		return;
	if (m->set_id != c->set.id) {
		v->verdict = EB_CLAIM_OTHER_SET;
		return;
	}
	v->verdict = m->verdict;
	v->other = m->other;
	memcpy(v->generations, m->generations, sizeof(v->generations));
	if (v->verdict == EB_CLAIM_BUSY) {
		c->saw_other = 1;
		/* The release of an earlier try of this claim was lost. */
		if (v->other.incarnation == cl->config.incarnation &&
		    v->other.number >= c->first_try &&
		    v->other.number < c->number)
			send_to(cl, c, &c->set, i, EB_CLAIM_RELEASE,
				v->other.number);
	}
	decide(cl, c, now_us);
}

/* Handles the acknowledgement of holder `i`. */
static void on_ack(struct eb_claimant *cl, struct claim *c, uint32_t i,
		   int64_t now_us)
{
	uint32_t k, acks = 0;

	if (c->state != RECORDING && c->state != RELEASING)
		return;
	c->votes[i].acked = 1;
	for (k = 0; k < c->set.count; k++)
		acks += c->votes[k].acked;
	if (acks >= c->set.majority)
		step(cl, c, RECORDED, now_us);
	if (acks == c->set.count)
		step(cl, c, SETTLED, now_us);
}

/*
 * Handles a message of type EB_CLAIM_ANSWER or EB_CLAIM_ACK from the daemon of
 * upstream `from`. Messages for other incarnations and tries are ignored.
 */
void eb_claimant_recv(struct eb_claimant *cl, const char *from,
		      const struct eb_claim_message *m, int64_t now_us)
{
	struct claim *c = *bucket_of(cl, m->record.key);
	uint32_t i;

	if (m->record.claim.incarnation != cl->config.incarnation)
		return;
	while (c && (c->number != m->record.claim.number ||
		     !eb_claim_key_equal(c->key, m->record.key)))
		c = c->next;
	if (!c)
		return;
	i = eb_claim_set_find(&c->set, eb_claim_member(from));
	if (i == EB_NONE)
		return;
	if (m->type == EB_CLAIM_ANSWER)
		on_vote(cl, c, i, m, now_us);
	else if (m->type == EB_CLAIM_ACK)
		on_ack(cl, c, i, now_us);
	free_if_gone(cl, c);
}

/* Adds a call to a claim for the same key, or answers or refuses it at once. */
static void join(struct eb_claimant *cl, struct claim *c,
		 const struct eb_claimant_request *rq)
{
	cl->counters.joined++;
	if (!eb_claim_key_equal(c->digest, rq->digest))
		refuse(cl, rq->call, EB_CLAIMANT_REFUSAL_MISMATCH,
		       EB_OUTCOME_NOT_RUN);
	else if (c->state == RECORDING && c->delivered)
		answer(cl, rq->call, c);
	else if (c->call_count == EB_CLAIMANT_JOINED_MAX)
		refuse(cl, rq->call, EB_CLAIMANT_REFUSAL_BUSY,
		       EB_OUTCOME_UNKNOWN);
	else
		c->calls[c->call_count++] = rq->call;
}

/* Returns NULL when out of memory or at EB_CLAIMANT_ACTIVE_MAX claims. */
static struct claim *new_claim(struct eb_claimant *cl,
			       const struct eb_claimant_request *rq,
			       int64_t now_us)
{
	struct claim *c, **link = bucket_of(cl, rq->key);

	if (cl->active >= EB_CLAIMANT_ACTIVE_MAX)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->service = strdup(rq->service);
	if (!c->service) {
		free(c);
		return NULL;
	}
	memcpy(c->key, rq->key, sizeof(c->key));
	memcpy(c->digest, rq->digest, sizeof(c->digest));
	c->first_try = cl->next_number + 1;
	c->started_us = now_us;
	c->deadline_us = rq->deadline_us;
	c->calls[c->call_count++] = rq->call;
	c->next = *link;
	*link = c;
	cl->active++;
	return c;
}

/*
 * Starts a call with an idempotency key. eb_claimant_next() then returns one
 * action for the call: run it, answer it with the stored response, or refuse
 * it.
 */
void eb_claimant_start(struct eb_claimant *cl,
		       const struct eb_claimant_request *rq, int64_t now_us)
{
	struct claim *c = *bucket_of(cl, rq->key);

	cl->counters.started++;
	while (c &&
	       (c->state == RELEASING || !eb_claim_key_equal(c->key, rq->key)))
		c = c->next;
	if (c) {
		join(cl, c, rq);
		return;
	}
	c = new_claim(cl, rq, now_us);
	if (!c) {
		refuse(cl, rq->call, EB_CLAIMANT_REFUSAL_FULL,
		       EB_OUTCOME_NOT_RUN);
		return;
	}
	c->state = ASKING;
	ask_again(cl, c, now_us);
}

/* Returns the claim that a call waits for or runs under, or NULL. */
static struct claim *find_call(struct eb_claimant *cl, uint64_t call)
{
	struct claim *c;
	uint32_t b, i;

	for (b = 0; b < BUCKETS; b++)
		for (c = cl->buckets[b]; c; c = c->next) {
			if (c->state == RUNNING && c->running_call == call)
				return c;
			for (i = 0; i < c->call_count; i++)
				if (c->calls[i] == call)
					return c;
		}
	return NULL;
}

/*
 * Reports the end of a run: EB_CLAIM_DONE with the response, EB_CLAIM_LARGE
 * when it is too large to store, or EB_CLAIM_LOST when it may have run but
 * the result is unknown. EB_CLAIMANT_DELIVER follows when a majority of the
 * holders has the result, or after EB_CLAIMANT_RECORD_WAIT_MS; the other calls
 * that wait for the result are answered then too.
 */
void eb_claimant_ended(struct eb_claimant *cl, uint64_t call,
		       enum eb_claim_state state,
		       const struct eb_claim_response *rs, int64_t now_us)
{
	struct claim *c = find_call(cl, call);

	if (!c || c->state != RUNNING || c->running_call != call)
		return;
	set_response(c, (uint8_t)state, rs);
	step(cl, c, ENDED, now_us);
}

/* Reports that a call with action EB_CLAIMANT_RUN did not run and never will.
 */
void eb_claimant_not_run(struct eb_claimant *cl, uint64_t call, int64_t now_us)
{
	struct claim *c = find_call(cl, call);

	if (c && c->state == RUNNING && c->running_call == call)
		step(cl, c, NOT_RUN, now_us);
}

/*
 * Drops a call whose caller has disconnected. If the call runs, its claim
 * stays until eb_claimant_ended() or eb_claimant_not_run().
 */
void eb_claimant_cancel(struct eb_claimant *cl, uint64_t call, int64_t now_us)
{
	struct claim *c = find_call(cl, call);

	if (!c)
		return;
	remove_call(c, call);
	if (!c->call_count)
		step(cl, c, CANCELLED, now_us);
}

/* Tells whether the calls of a claim without a result are to be refused. */
static int wait_over(const struct claim *c, int64_t now_us)
{
	int64_t wait_ms = c->saw_other ? EB_CLAIMANT_RESULT_WAIT_MS
				       : EB_CLAIMANT_QUORUM_WAIT_MS;

	return now_us >= c->deadline_us ||
	       now_us - c->started_us >= wait_ms * US_PER_MS;
}

/* Tells whether the current configuration has other holders for the key. */
static int holders_changed(struct eb_claimant *cl, const struct claim *c)
{
	struct eb_claim_set set;
	int changed;

	find_set(cl, c, &set);
	changed = set.id != c->set.id;
	eb_claim_set_clear(&set);
	return changed;
}

static void tick_claim(struct eb_claimant *cl, struct claim *c, int64_t now_us)
{
	if (c->state <= WAITING && wait_over(c, now_us)) {
		step(cl, c, EXPIRED, now_us);
		return;
	}
	if (c->state == RECORDING &&
	    now_us - c->ended_us >= EB_CLAIMANT_RECORD_WAIT_MS * US_PER_MS)
		step(cl, c, RECORDED, now_us);
	if (now_us < c->next_us)
		return;
	if (c->state >= RECORDING &&
	    c->notify_rounds >= EB_CLAIMANT_NOTIFY_ROUNDS_MAX) {
		step(cl, c, SETTLED, now_us);
		return;
	}
	if (c->state == ASKING) {
		decide(cl, c, now_us);
		if (c->state != ASKING)
			return;
		if (holders_changed(cl, c) || run_window_over(c, now_us)) {
			release_try(cl, c, now_us);
			step(cl, c, MOVED, now_us);
			return;
		}
	}
	step(cl, c, DUE, now_us);
}

/*
 * Resends messages that are due, and ends claims that have waited too long.
 * To be called every few milliseconds.
 */
void eb_claimant_tick(struct eb_claimant *cl, int64_t now_us)
{
	struct claim *c, *next;
	uint32_t b;

	if (!cl->active)
		return;
	for (b = 0; b < BUCKETS; b++)
		for (c = cl->buckets[b]; c; c = next) {
			next = c->next;
			tick_claim(cl, c, now_us);
			free_if_gone(cl, c);
		}
}

/* Moves the next action to `out`; returns 0 when there is none. */
int eb_claimant_next(struct eb_claimant *cl, struct eb_claimant_action *out)
{
	if (!cl->action_count)
		return 0;
	*out = cl->actions[cl->action_first];
	cl->action_first = (cl->action_first + 1) & (cl->action_space - 1);
	cl->action_count--;
	return 1;
}

/* Moves the next message to send to `out`; returns 0 when there is none. */
int eb_claimant_next_send(struct eb_claimant *cl, struct eb_claim_send *out)
{
	return eb_claim_queue_next(&cl->out, out);
}

/* Frees the response of an action. */
void eb_claimant_action_clear(struct eb_claimant_action *a)
{
	free((void *)a->response.headers);
	memset(a, 0, sizeof(*a));
}

void eb_claimant_read_counters(const struct eb_claimant *cl,
			       struct eb_claimant_counters *out)
{
	*out = cl->counters;
	out->messages_dropped = cl->out.dropped;
	out->active = cl->active;
}

/* Returns the name of a refusal, for logs and response bodies. */
const char *eb_claimant_refusal_name(unsigned refusal)
{
	static const char *const names[] = {
		"none",
		"key-used-with-another-request",
		"key-in-progress",
		"claim-holders-unreachable",
		"claims-full",
		"result-unknown",
		"response-not-stored",
		"first-call-not-run",
	};

	return refusal <= EB_CLAIMANT_REFUSAL_MAX ? names[refusal] : "?";
}
