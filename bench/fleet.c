/*
 * Runs eb_member and eb_dist for a whole fleet on a virtual clock, with 8
 * regions and 19 failure domains, in normal operation and under the failures of
 * docs/design.md.
 * usage: fleet [--cpu] [CASE N]...
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "eb_dist.h"
#include "eb_member.h"

#define SEED 7
#define MS 1000LL
#define SEC 1000000LL
/* Below 100 daemons today's fleet, from 100 on that of section 1.7. */
#define REGIONS(n) ((n) < 100 ? 3U : 8U)
#define DOMAINS(n) ((n) < 100 ? 6U : 19U)
#define DOMAINS_MAX 19
#define TICK_MS 100
/*
 * Buckets of 1 ms. They must exceed the longest delay of an event: a read of
 * the platform that waits 2 s.
 */
#define WHEEL_SLOTS 4096
/* Assumed per message: eb_wire 32, ZMTP 9, TCP/IP with options 52. */
#define MESSAGE_OVERHEAD_BYTES 93
/* Rates of section 1.7, for 22,000 daemons. */
#define NOTES_PER_DAY 39000.0
#define RESTARTS_PER_DAY 4600.0
#define NOTE_BYTES 600
#define BINS 4000
#define BIN_US 10000

/* Messages within a failure domain, between failure domains and regions. */
enum { LOCAL, DOMAIN, REGION, CLASSES };

struct flow {
	uint64_t messages[CLASSES];
	uint64_t bytes[CLASSES];
};

/* A simulated daemon. */
struct inst {
	struct eb_sink sink; /* first, for the cast in act() */
	struct fleet *fl;
	struct eb_member *member;
	struct eb_dist *dist;
	struct flow out, in;
	uint32_t i;
	uint32_t starts;
	uint64_t index; /* release in force */
	int64_t up_since_us;
	int64_t ready_us;
	int64_t watch_end_us;
	uint64_t watch_after;
	uint32_t watch_no;
	uint8_t up;
	uint8_t watching;
	uint8_t reader; /* has read the platform in this case */
	uint8_t roster_wanted;
	uint8_t snapshot_wanted;
};

struct event {
	uint32_t to;
	uint32_t bytes;	  /* of a message; 0: a tick or an answer */
	uint32_t read_no; /* of the read that the platform answers, or 0 */
	uint32_t starts;  /* of the receiver when this was scheduled */
	char *data;
};

struct bucket {
	struct event *events;
	uint32_t count;
	uint32_t capacity;
};

/* A histogram of times, in bins of 10 ms. */
struct times {
	uint64_t bins[BINS];
	uint64_t count;
};

struct fleet {
	uint32_t n;
	struct inst *insts;
	struct eb_roster *roster;
	uint32_t *inst_of; /* by roster index */
	char (*names)[32];
	uint8_t *region;
	uint8_t *domain;
	struct bucket wheel[WHEEL_SLOTS];
	int64_t now_us;
	struct eb_rand rand;
	char **log;
	uint32_t *log_bytes;
	int64_t *log_added_us;
	uint32_t log_count;
	uint32_t log_capacity;
	uint64_t platform_calls;
	uint64_t platform_bytes;
	uint64_t dropped_bytes;
	uint64_t false_downs;
	uint64_t delta_crossings;
	uint32_t cut_region; /* cut off from all other regions, or EB_NONE */
	uint8_t platform_down;
	uint32_t victim;      /* roster index of the daemon last killed */
	uint32_t victim_seen; /* daemons that have it as down */
	int64_t victim_first_us;
	struct times in_force; /* from adding a note until in force */
	const char *name;
	int cpu;
};

static void times_add(struct times *t, int64_t us)
{
	int64_t bin = us / BIN_US;

	t->bins[bin < BINS ? bin : BINS - 1]++;
	t->count++;
}

/* Returns the upper end of a quantile's bin in ms, or -1 without times. */
static double times_ms(const struct times *t, double q)
{
	uint64_t need = (uint64_t)(q * (double)t->count), sum = 0;
	uint32_t i;

	for (i = 0; i < BINS; i++) {
		sum += t->bins[i];
		if (sum && sum >= need)
			return (i + 1) * (BIN_US / 1000.0);
	}
	return -1;
}

static void print(const struct fleet *fl, const char *figure, double value,
		  double target)
{
	printf("{\"bench\":\"fleet\",\"case\":\"%s\",\"seed\":%d,\"n\":%u,"
	       "\"figure\":\"%s\",\"value\":%.6g",
	       fl->name, SEED, fl->n, figure, value);
	if (target > 0)
		printf(",\"baseline\":\"target\",\"baseline_value\":%.6g",
		       target);
	puts("}");
	fflush(stdout);
}

/* Adds an event for a daemon. It is dropped if the daemon restarts before. */
static struct event *schedule(struct fleet *fl, int64_t delay_us, uint32_t to)
{
	int64_t ms = (fl->now_us + delay_us) / MS;
	struct bucket *b;
	struct event *e;

	if (ms <= fl->now_us / MS)
		ms = fl->now_us / MS + 1;
	assert(ms - fl->now_us / MS < WHEEL_SLOTS);
	b = &fl->wheel[ms % WHEEL_SLOTS];
	if (b->count == b->capacity) {
		b->capacity = b->capacity ? 2 * b->capacity : 64;
		b->events = realloc(b->events, b->capacity * sizeof(*e));
		if (!b->events)
			abort();
	}
	e = &b->events[b->count++];
	memset(e, 0, sizeof(*e));
	e->to = to;
	e->starts = fl->insts[to].starts;
	return e;
}

static void count_flow(struct flow *f, int class, size_t bytes)
{
	f->messages[class]++;
	f->bytes[class] += bytes + MESSAGE_OVERHEAD_BYTES;
}

static void send_message(struct inst *in, const struct eb_action *a)
{
	static const int64_t delay_us[CLASSES] = { 300, 1000, 10000 };
	struct fleet *fl = in->fl;
	uint32_t to = (uint32_t)strtoul(strchr(a->address, ':') + 1, NULL, 10);
	int class = LOCAL;
	uint32_t kind = 0;
	struct event *e;

	if (fl->region[in->i] != fl->region[to])
		class = REGION;
	else if (fl->domain[in->i] != fl->domain[to])
		class = DOMAIN;
	count_flow(&in->out, class, a->bytes);
	if (class == REGION && fl->cut_region != EB_NONE &&
	    (fl->region[in->i] == fl->cut_region ||
	     fl->region[to] == fl->cut_region))
		return;
	if (class == REGION && a->bytes > 2) {
		eb_gossip_peek(a->data, a->bytes, &kind);
		fl->delta_crossings += kind == EB_GOSSIP_DELTA;
	}
	if (!fl->insts[to].up)
		return;
	count_flow(&fl->insts[to].in, class, a->bytes);
	e = schedule(fl, delay_us[class], to);
	e->data = malloc(a->bytes);
	if (!e->data)
		abort();
	memcpy(e->data, a->data, a->bytes);
	e->bytes = (uint32_t)a->bytes;
}

static void on_member_state(struct inst *in, const struct eb_action *a)
{
	struct fleet *fl = in->fl;

	if (a->state != EB_MEMBER_DOWN)
		return;
	fl->false_downs += fl->insts[fl->inst_of[a->member]].up;
	if (a->member != fl->victim)
		return;
	if (!fl->victim_seen++)
		fl->victim_first_us = fl->now_us;
}

static void on_release_in_force(struct inst *in, uint64_t index)
{
	struct fleet *fl = in->fl;
	int64_t since = fl->log_added_us[index - 1];

	in->index = index;
	in->roster_wanted = !in->member->roster;
	if (in->ready_us && in->up_since_us < since)
		times_add(&fl->in_force, fl->now_us - since);
}

static void act(struct eb_sink *sink, struct eb_action *a)
{
	struct inst *in = (struct inst *)sink;

	switch (a->type) {
	case EB_ACTION_SEND:
		send_message(in, a);
		break;
	case EB_ACTION_MEMBER:
		on_member_state(in, a);
		break;
	case EB_ACTION_WATCH:
		in->watching = 1;
		in->reader = 1;
		in->watch_no++;
		in->watch_after = a->index;
		in->watch_end_us = in->fl->now_us + a->wait_ms * MS;
		in->fl->platform_calls++;
		break;
	case EB_ACTION_STOP_WATCH:
		in->watching = 0;
		break;
	case EB_ACTION_APPLY:
	case EB_ACTION_LOAD_SNAPSHOT:
		on_release_in_force(in, a->index);
		break;
	case EB_ACTION_SNAPSHOT_WANTED:
		in->snapshot_wanted = 1;
		break;
	case EB_ACTION_READY:
		in->ready_us = in->fl->now_us;
		break;
	default:
		break;
	}
}

static void stop_daemon(struct inst *in)
{
	eb_dist_free(in->dist);
	eb_member_free(in->member);
	in->dist = NULL;
	in->member = NULL;
	in->up = 0;
	in->watching = 0;
	in->starts++;
}

/* Starts a daemon with two seeds in its failure domain and one in another. */
static void start_daemon(struct fleet *fl, uint32_t i)
{
	uint32_t d = fl->domain[i];
	const char *seeds[] = {
		fl->names[d],
		fl->names[d + DOMAINS(fl->n) < fl->n ? d + DOMAINS(fl->n) : 0],
		fl->names[(d + 1) % DOMAINS(fl->n) % fl->n]
	};
	struct eb_dist_settings st = { 0 };
	struct inst *in = &fl->insts[i];

	if (in->up)
		stop_daemon(in);
	in->sink.act = act;
	in->fl = fl;
	in->i = i;
	in->up = 1;
	in->index = 0;
	in->ready_us = 0;
	in->up_since_us = fl->now_us;
	in->member = eb_member_new(fl->names[i], eb_rand_next(&fl->rand) | 1,
				   eb_rand_next(&fl->rand), &in->sink, 0);
	st.address = fl->names[i];
	st.seeds = seeds;
	st.seed_count = 3;
	st.seed = eb_rand_next(&fl->rand);
	in->dist = eb_dist_new(&st, in->member, &in->sink, fl->now_us);
	if (!in->member || !in->dist)
		abort();
	schedule(fl, eb_rand_below(&fl->rand, TICK_MS) * MS, i);
}

static void apply_pending(struct inst *in)
{
	struct fleet *fl = in->fl;
	static char *text;

	if (in->roster_wanted)
		eb_member_set_roster(in->member, fl->roster, fl->now_us);
	in->roster_wanted = 0;
	if (!in->snapshot_wanted)
		return;
	in->snapshot_wanted = 0;
	/* A compressed configuration has about 30 bytes per daemon. */
	if (!text)
		text = calloc(1, EB_DIST_SNAPSHOT_MAX_BYTES);
	if (text)
		eb_dist_set_snapshot(in->dist, text, 1000 + 30 * fl->n,
				     fl->now_us);
}

static void platform_answer(struct inst *in)
{
	struct fleet *fl = in->fl;
	struct eb_dist_text *notes;
	uint32_t i, n = 0, bytes = 300;

	in->watching = 0;
	if (fl->platform_down || (fl->cut_region != EB_NONE &&
				  fl->region[in->i] == fl->cut_region)) {
		eb_dist_platform_failed(in->dist, fl->now_us);
		return;
	}
	notes = calloc(fl->log_count + 1, sizeof(*notes));
	if (!notes)
		abort();
	for (i = (uint32_t)in->watch_after; i < fl->log_count; i++) {
		/* The platform returns values of at most 1 MB. */
		if (bytes + fl->log_bytes[i] > 1000000 && n)
			break;
		notes[n].index = i + 1;
		notes[n].text = fl->log[i];
		notes[n++].bytes = fl->log_bytes[i];
		bytes += fl->log_bytes[i];
	}
	fl->platform_bytes += bytes;
	eb_dist_platform(in->dist, fl->log_count, notes, n, fl->now_us);
	free(notes);
}

static void run_tick(struct inst *in)
{
	struct fleet *fl = in->fl;

	eb_member_tick(in->member, fl->now_us);
	eb_dist_tick(in->dist, fl->now_us);
	if (in->watching &&
	    (fl->platform_down || fl->log_count > in->watch_after ||
	     fl->now_us >= in->watch_end_us))
		schedule(fl, 10 * MS, in->i)->read_no = in->watch_no;
	schedule(fl, TICK_MS * MS, in->i);
}

static void handle_event(struct fleet *fl, struct event *e)
{
	struct inst *in = &fl->insts[e->to];
	uint32_t kind = 0;

	if (in->up && e->starts == in->starts) {
		if (e->data) {
			eb_gossip_peek(e->data, e->bytes, &kind);
			if (kind > EB_GOSSIP_MEMBER_MAX)
				eb_dist_recv(in->dist, e->data, e->bytes,
					     fl->now_us);
			else
				eb_member_recv(in->member, e->data, e->bytes,
					       fl->now_us);
		} else if (!e->read_no) {
			run_tick(in);
		} else if (in->watching && e->read_no == in->watch_no) {
			platform_answer(in);
		}
		apply_pending(in);
	}
	free(e->data);
}

static void append_note(struct fleet *fl, uint32_t bytes)
{
	char *text = malloc(bytes + 1);

	if (fl->log_count == fl->log_capacity) {
		uint32_t cap = fl->log_capacity ? 2 * fl->log_capacity : 64;

		fl->log = realloc(fl->log, cap * sizeof(*fl->log));
		fl->log_bytes = realloc(fl->log_bytes, cap * 4);
		fl->log_added_us =
			realloc(fl->log_added_us, cap * sizeof(int64_t));
		fl->log_capacity = cap;
	}
	if (!text || !fl->log || !fl->log_bytes || !fl->log_added_us)
		abort();
	memset(text, 'x', bytes);
	snprintf(text, bytes, "{\"release\":%u", fl->log_count + 1);
	fl->log[fl->log_count] = text;
	fl->log_bytes[fl->log_count] = bytes;
	fl->log_added_us[fl->log_count++] = fl->now_us;
}

static void step(struct fleet *fl)
{
	struct bucket *b;
	uint32_t i;

	fl->now_us += MS;
	b = &fl->wheel[fl->now_us / MS % WHEEL_SLOTS];
	for (i = 0; i < b->count; i++)
		handle_event(fl, &b->events[i]);
	b->count = 0;
}

/* Runs for `us`, with `notes` and `restarts` per second. */
static void run(struct fleet *fl, int64_t us, double notes, double restarts)
{
	int64_t end = fl->now_us + us;
	double note = 0, restart = 0;

	while (fl->now_us < end) {
		step(fl);
		note += notes / 1000;
		restart += restarts / 1000;
		if (note >= 1) {
			append_note(fl, NOTE_BYTES);
			note -= 1;
		}
		if (restart >= 1) {
			start_daemon(fl, eb_rand_below(&fl->rand, fl->n));
			restart -= 1;
		}
	}
}

static void reset_counters(struct fleet *fl)
{
	uint32_t i;

	fl->platform_calls = 0;
	fl->platform_bytes = 0;
	fl->false_downs = 0;
	fl->delta_crossings = 0;
	memset(&fl->in_force, 0, sizeof(fl->in_force));
	for (i = 0; i < fl->n; i++) {
		memset(&fl->insts[i].in, 0, sizeof(struct flow));
		memset(&fl->insts[i].out, 0, sizeof(struct flow));
		fl->insts[i].reader = 0;
	}
}

static struct fleet *fleet_new(const char *name, uint32_t n, int cpu)
{
	struct fleet *fl = calloc(1, sizeof(*fl));
	struct eb_roster_daemon *daemons = calloc(n, sizeof(*daemons));
	char(*places)[2][8] = calloc(DOMAINS_MAX, sizeof(*places));
	uint32_t i;

	if (!fl || !daemons || !places)
		abort();
	fl->name = name;
	fl->cpu = cpu;
	fl->n = n;
	fl->now_us = SEC;
	fl->cut_region = EB_NONE;
	fl->victim = EB_NONE;
	fl->insts = calloc(n, sizeof(*fl->insts));
	fl->names = calloc(n, sizeof(*fl->names));
	fl->region = calloc(n, 1);
	fl->domain = calloc(n, 1);
	fl->inst_of = calloc(n, sizeof(*fl->inst_of));
	if (!fl->insts || !fl->names || !fl->region || !fl->domain ||
	    !fl->inst_of)
		abort();
	eb_rand_seed(&fl->rand, SEED);
	for (i = 0; i < n; i++) {
		uint32_t d = i % DOMAINS(fl->n);

		snprintf(fl->names[i], sizeof(*fl->names), "127.0.0.1:%u", i);
		fl->domain[i] = (uint8_t)d;
		fl->region[i] = (uint8_t)(d % REGIONS(fl->n));
		snprintf(places[d][0], 8, "r%u", d % REGIONS(fl->n));
		snprintf(places[d][1], 8, "d%u", d);
		daemons[i].address = fl->names[i];
		daemons[i].region = places[d][0];
		daemons[i].failure_domain = places[d][1];
		daemons[i].upstream = i;
	}
	fl->roster = eb_roster_new(daemons, n);
	if (!fl->roster)
		abort();
	for (i = 0; i < n; i++)
		fl->inst_of[eb_roster_find(fl->roster,
					   eb_roster_id(fl->names[i]))] = i;
	free(daemons);
	free(places);
	return fl;
}

static void fleet_free(struct fleet *fl)
{
	uint32_t i, k;

	for (i = 0; i < fl->n; i++)
		stop_daemon(&fl->insts[i]);
	for (i = 0; i < WHEEL_SLOTS; i++) {
		for (k = 0; k < fl->wheel[i].count; k++)
			free(fl->wheel[i].events[k].data);
		free(fl->wheel[i].events);
	}
	for (i = 0; i < fl->log_count; i++)
		free(fl->log[i]);
	free(fl->log);
	free(fl->log_bytes);
	free(fl->log_added_us);
	eb_roster_unref(fl->roster);
	free(fl->inst_of);
	free(fl->insts);
	free(fl->names);
	free(fl->region);
	free(fl->domain);
	free(fl);
}

static uint32_t count_ready(const struct fleet *fl)
{
	uint32_t i, n = 0;

	for (i = 0; i < fl->n; i++)
		n += fl->insts[i].up && fl->insts[i].ready_us &&
		     fl->insts[i].index == fl->log_count;
	return n;
}

/*
 * Runs until `need` daemons are ready with the last note in force. Returns the
 * time in seconds, or -1 after `limit_us`.
 */
static double run_until_ready(struct fleet *fl, uint32_t need, int64_t limit_us)
{
	int64_t begin = fl->now_us;

	while (count_ready(fl) < need && fl->now_us - begin < limit_us)
		run(fl, 50 * MS, 0, 0);
	return count_ready(fl) < need ? -1 : (double)(fl->now_us - begin) / SEC;
}

static void start_all(struct fleet *fl, uint32_t notes, uint32_t bytes)
{
	uint32_t i;

	for (i = 0; i < notes; i++)
		append_note(fl, bytes);
	for (i = 0; i < fl->n; i++)
		start_daemon(fl, i);
}

static uint64_t flow_bytes(const struct inst *in, int out)
{
	const struct flow *f = out ? &in->out : &in->in;

	return f->bytes[LOCAL] + f->bytes[DOMAIN] + f->bytes[REGION];
}

/* Prints the means over all daemons and the rate of the busiest daemon. */
static void print_flows(const struct fleet *fl, double seconds)
{
	static const char *const names[CLASSES] = { "in_domain",
						    "between_domains",
						    "between_regions" };
	double messages[2][CLASSES] = { { 0 } }, bytes[2][CLASSES] = { { 0 } };
	double largest = 0, per = fl->n * seconds;
	char figure[64];
	uint32_t i;
	int c, out;

	for (i = 0; i < fl->n; i++) {
		const struct inst *in = &fl->insts[i];

		for (c = 0; c < CLASSES; c++) {
			messages[0][c] += (double)in->in.messages[c];
			messages[1][c] += (double)in->out.messages[c];
			bytes[0][c] += (double)in->in.bytes[c];
			bytes[1][c] += (double)in->out.bytes[c];
		}
		for (out = 0; out < 2; out++)
			if ((double)flow_bytes(in, out) > largest)
				largest = (double)flow_bytes(in, out);
	}
	for (out = 0; out < 2; out++) {
		for (c = 0; c < CLASSES; c++) {
			snprintf(figure, sizeof(figure), "%s_%s_messages_per_s",
				 out ? "out" : "in", names[c]);
			print(fl, figure, messages[out][c] / per, 0);
			snprintf(figure, sizeof(figure), "%s_%s_bytes_per_s",
				 out ? "out" : "in", names[c]);
			print(fl, figure, bytes[out][c] / per, 0);
		}
		snprintf(figure, sizeof(figure), "%s_bytes_per_s",
			 out ? "out" : "in");
		print(fl, figure,
		      (bytes[out][0] + bytes[out][1] + bytes[out][2]) / per,
		      24000);
	}
	print(fl, "busiest_daemon_bytes_per_s", largest / seconds, 24000);
	print(fl, "platform_calls_per_s", (double)fl->platform_calls / seconds,
	      2000);
	print(fl, "platform_bytes_per_s", (double)fl->platform_bytes / seconds,
	      0);
	print(fl, "delta_crossings_per_s",
	      (double)fl->delta_crossings / seconds, 0);
	print(fl, "false_downs", (double)fl->false_downs, 0);
}

enum { ROLE_ORDINARY, ROLE_READER, ROLE_RELAY, ROLES };

static int role_of(const struct inst *in)
{
	uint32_t i;

	if (in->reader)
		return ROLE_READER;
	for (i = 0; in->up && i < in->dist->link_count; i++)
		if (in->dist->links[i].crossing)
			return ROLE_RELAY;
	return ROLE_ORDINARY;
}

/* Prints the means per role. A reader that also relays counts as a reader. */
static void print_roles(const struct fleet *fl, double seconds)
{
	static const char *const names[ROLES] = { "ordinary", "reader",
						  "relay" };
	double sum[ROLES][2][CLASSES] = { { { 0 } } }, count[ROLES] = { 0 };
	char figure[64];
	uint32_t i;
	int r, c;

	for (i = 0; i < fl->n; i++) {
		const struct inst *in = &fl->insts[i];

		r = role_of(in);
		count[r]++;
		for (c = 0; c < CLASSES; c++) {
			sum[r][0][c] += (double)in->out.bytes[c] / seconds;
			sum[r][1][c] += (double)in->in.bytes[c] / seconds;
		}
	}
	for (r = 0; r < ROLES; r++) {
		snprintf(figure, sizeof(figure), "%s_daemons", names[r]);
		print(fl, figure, count[r], 0);
		for (c = 0; c < 2 * CLASSES && count[r] > 0; c++) {
			static const char *const places[CLASSES] = {
				"domain", "domains", "regions"
			};

			snprintf(figure, sizeof(figure), "%s_%s_%s_bytes_per_s",
				 names[r], c < CLASSES ? "out" : "in",
				 places[c % CLASSES]);
			print(fl, figure,
			      sum[r][c / CLASSES][c % CLASSES] / count[r], 0);
		}
	}
}

static void print_in_force(const struct fleet *fl)
{
	print(fl, "in_force_p50_ms", times_ms(&fl->in_force, 0.5), 6000);
	print(fl, "in_force_p99_ms", times_ms(&fl->in_force, 0.99), 6000);
	print(fl, "in_force_max_ms", times_ms(&fl->in_force, 1), 6000);
}

static void print_memory(const struct fleet *fl)
{
	double sum = 0, largest = 0;
	uint32_t i;

	for (i = 0; i < fl->n; i++) {
		double b = fl->insts[i].up
				   ? (double)(eb_member_bytes(
						      fl->insts[i].member) +
					      eb_dist_bytes(fl->insts[i].dist))
				   : 0;

		sum += b;
		if (b > largest)
			largest = b;
	}
	print(fl, "roster_bytes", (double)eb_roster_bytes(fl->roster), 0);
	print(fl, "mean_state_bytes", sum / fl->n, 0);
	print(fl, "largest_state_bytes", largest, 0);
}

static double cpu_s(void)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	return (double)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) +
	       (double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) / 1e6;
}

/* CPU time differs between runs, so it is printed only with --cpu. */
static void print_cpu(const struct fleet *fl, double used_s, double seconds)
{
	if (fl->cpu)
		print(fl, "cpu_permille_simulation_included",
		      1000 * used_s / (fl->n * seconds), 28);
}

static void case_ordinary(struct fleet *fl)
{
	double notes = NOTES_PER_DAY / 86400, cpu;
	double restarts = RESTARTS_PER_DAY / 86400 * fl->n / 22000;
	double seconds = 20;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	print(fl, "ready_daemons", count_ready(fl), 0);
	reset_counters(fl);
	cpu = cpu_s();
	run(fl, (int64_t)seconds * SEC, notes, restarts);
	print_cpu(fl, cpu_s() - cpu, seconds);
	print_flows(fl, seconds);
	print_roles(fl, seconds);
	run(fl, 3 * SEC, 0, 0);
	print_in_force(fl);
	print_memory(fl);
}

/*
 * Kills daemons one at a time. Measures the time until the first daemon and
 * until 99.9 % of the daemons have the killed one as down.
 */
static void case_detect(struct fleet *fl)
{
	struct times first = { { 0 }, 0 }, all = { { 0 }, 0 };
	uint32_t kills = fl->n < 100 ? 4 : 8, k;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	reset_counters(fl);
	for (k = 0; k < kills; k++) {
		uint32_t i = eb_rand_below(&fl->rand, fl->n);
		int64_t begin;

		while (!fl->insts[i].up)
			i = (i + 1) % fl->n;
		stop_daemon(&fl->insts[i]);
		fl->victim =
			eb_roster_find(fl->roster, eb_roster_id(fl->names[i]));
		fl->victim_seen = 0;
		begin = fl->now_us;
		/* Of the daemons that still run, one in 1000 may be late. */
		while (fl->victim_seen < (fl->n - k - 1) * 0.999 &&
		       fl->now_us - begin < 39 * SEC)
			step(fl);
		times_add(&all, fl->now_us - begin);
		if (fl->victim_seen)
			times_add(&first, fl->victim_first_us - begin);
	}
	print(fl, "detected", (double)first.count / kills, 0);
	print(fl, "first_knows_p50_ms", times_ms(&first, 0.5), 0);
	print(fl, "first_knows_max_ms", times_ms(&first, 1), 0);
	print(fl, "fleet_knows_p50_ms", times_ms(&all, 0.5), 0);
	print(fl, "fleet_knows_max_ms", times_ms(&all, 1), 0);
	print(fl, "false_downs", (double)fl->false_downs, 0);
}

static uint32_t count_without_group(const struct fleet *fl, uint32_t domain)
{
	uint32_t group =
		fl->roster
			->members[eb_roster_find(
				fl->roster, eb_roster_id(fl->names[domain]))]
			.group;
	uint32_t i, n = 0;

	for (i = 0; i < fl->n; i++)
		n += fl->insts[i].up && !eb_member_group_up(fl->insts[i].member,
							    group, fl->now_us);
	return n;
}

static void case_domain_lost(struct fleet *fl)
{
	uint32_t lost = 0, i;
	int64_t begin;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	reset_counters(fl);
	for (i = 0; i < fl->n; i += DOMAINS(fl->n), lost++)
		stop_daemon(&fl->insts[i]);
	begin = fl->now_us;
	while (count_without_group(fl, 0) < (fl->n - lost) * 0.99 &&
	       fl->now_us - begin < 40 * SEC)
		run(fl, 50 * MS, 0, 0);
	print(fl, "group_unreachable_p99_s", (double)(fl->now_us - begin) / SEC,
	      0);
	run(fl, 5 * SEC, 1, 0);
	print_flows(fl, (double)(fl->now_us - begin) / SEC);
	run(fl, 2 * SEC, 0, 0);
	print_in_force(fl);
	for (i = 0; i < fl->n; i += DOMAINS(fl->n))
		start_daemon(fl, i);
	print(fl, "restarted_ready_s", run_until_ready(fl, fl->n, 60 * SEC), 0);
}

/* A rack has one in 29 daemons of a domain: 40 of 22,000 daemons. */
static int is_in_rack(const struct fleet *fl, uint32_t i)
{
	return fl->domain[i] == 0 && i / DOMAINS(fl->n) % 29 == 0;
}

static void case_rack_lost(struct fleet *fl)
{
	uint32_t i, k, lost = 0, not_down = 0;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	reset_counters(fl);
	for (i = 0; i < fl->n; i++) {
		if (!is_in_rack(fl, i))
			continue;
		stop_daemon(&fl->insts[i]);
		lost++;
	}
	run(fl, 10 * SEC, 2, 0);
	for (i = 0; i < fl->n; i++)
		for (k = 0; fl->insts[i].up && k < fl->n; k++)
			not_down +=
				is_in_rack(fl, k) &&
				eb_member_get_state(
					fl->insts[i].member,
					eb_roster_find(
						fl->roster,
						eb_roster_id(fl->names[k]))) <
					EB_MEMBER_DOWN;
	print(fl, "lost_daemons", lost, 0);
	print(fl, "views_without_one_after_10s", not_down, 0);
	print(fl, "false_downs", (double)fl->false_downs, 0);
	print_flows(fl, 10);
	run(fl, 10 * SEC, 0, 0);
	print_in_force(fl);
}

/*
 * Cuts one region off from all other regions and from the platform for 10
 * minutes, then restores its network.
 */
static void case_regions_apart(struct fleet *fl)
{
	int64_t duration_us = 600 * SEC;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	fl->cut_region = 1;
	reset_counters(fl);
	run(fl, duration_us, NOTES_PER_DAY / 86400, 0);
	print_flows(fl, (double)duration_us / SEC);
	fl->cut_region = EB_NONE;
	reset_counters(fl);
	print(fl, "healed_in_force_s", run_until_ready(fl, fl->n, 60 * SEC), 6);
	print(fl, "healed_delta_crossings", (double)fl->delta_crossings, 0);
}

static void case_platform_down(struct fleet *fl)
{
	int64_t duration_us = 3600 * SEC;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	fl->platform_down = 1;
	reset_counters(fl);
	run(fl, duration_us, 0,
	    RESTARTS_PER_DAY / 86400 * fl->n / 22000 + 0.01);
	print_flows(fl, (double)duration_us / SEC);
	run(fl, 10 * SEC, 0, 0);
	print(fl, "ready_share", (double)count_ready(fl) / fl->n, 1);
	fl->platform_down = 0;
	append_note(fl, NOTE_BYTES);
	reset_counters(fl);
	print(fl, "back_in_force_s", run_until_ready(fl, fl->n, 60 * SEC), 6);
	run(fl, 2 * SEC, 0, 0);
	print(fl, "back_platform_calls", (double)fl->platform_calls, 0);
}

static void start_together(struct fleet *fl, uint32_t notes, uint32_t bytes)
{
	double t;

	start_all(fl, notes, bytes);
	t = run_until_ready(fl, fl->n - fl->n / 100, 120 * SEC);
	print(fl, "ready_p99_s", t, 0);
	print(fl, "ready_max_s", t + run_until_ready(fl, fl->n, 60 * SEC), 0);
	print_flows(fl, (double)fl->now_us / SEC - 1);
}

static void case_start_together(struct fleet *fl)
{
	start_together(fl, 20, NOTE_BYTES);
}

/* The configuration of 22,000 upstreams has about 4.4 MB of text. */
static void case_start_together_4mb(struct fleet *fl)
{
	start_together(fl, 10, 440000);
}

/* Cost of a new roster, which every change of the set of daemons needs. */
static void case_roster(struct fleet *fl)
{
	double cpu = cpu_s();
	struct eb_member *mb;
	uint32_t i;

	start_daemon(fl, 0);
	mb = fl->insts[0].member;
	for (i = 0; i < 20; i++)
		eb_member_set_roster(mb, fl->roster, fl->now_us);
	if (fl->cpu)
		print(fl, "set_roster_ms", 1000 * (cpu_s() - cpu) / 20, 0);
	cpu = cpu_s();
	for (i = 0; i < 5; i++)
		fleet_free(fleet_new(fl->name, fl->n, 0));
	if (fl->cpu)
		print(fl, "build_roster_ms_at_most", 1000 * (cpu_s() - cpu) / 5,
		      0);
	print(fl, "roster_bytes", (double)eb_roster_bytes(fl->roster), 0);
}

/* Fits a line by least squares. Prints both terms and the largest residual. */
static void print_fit(const struct fleet *fl, const char *what, const double *x,
		      const double *y, uint32_t n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, slope, base,
	       largest_residual = 0;
	char figure[64];
	uint32_t i;

	for (i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	base = (sy - slope * sx) / n;
	for (i = 0; i < n; i++) {
		double r = y[i] - base - slope * x[i];

		r = r < 0 ? -r : r;
		largest_residual = r > largest_residual ? r : largest_residual;
	}
	snprintf(figure, sizeof(figure), "%s_base", what);
	print(fl, figure, base, 0);
	snprintf(figure, sizeof(figure), "%s_slope", what);
	print(fl, figure, slope, 0);
	snprintf(figure, sizeof(figure), "%s_largest_residual", what);
	print(fl, figure, largest_residual, 0);
}

static double out_bytes_per_s(struct fleet *fl, double notes, double restarts)
{
	double sum = 0;
	uint32_t i;

	reset_counters(fl);
	run(fl, 20 * SEC, notes, restarts);
	for (i = 0; i < fl->n; i++)
		sum += (double)flow_bytes(&fl->insts[i], 1);
	return sum / fl->n / 20;
}

/* Growth of the bytes that a daemon sends with notes and with restarts. */
static void case_slopes(struct fleet *fl)
{
	static const double notes[] = { 0, 0.5, 1, 2, 4 };
	static const double restarts[] = { 0, 0.1, 0.2, 0.4, 0.8 };
	double y[5];
	uint32_t i;

	start_all(fl, 20, NOTE_BYTES);
	run(fl, 15 * SEC, 0, 0);
	for (i = 0; i < 5; i++)
		y[i] = out_bytes_per_s(fl, notes[i], 0);
	print_fit(fl, "bytes_per_s_by_notes_per_s", notes, y, 5);
	for (i = 0; i < 5; i++)
		y[i] = out_bytes_per_s(fl, 0, restarts[i]);
	print_fit(fl, "bytes_per_s_by_restarts_per_s", restarts, y, 5);
}

static const struct {
	const char *name;
	void (*run)(struct fleet *fl);
} cases[] = {
	{ "ordinary", case_ordinary },
	{ "detect", case_detect },
	{ "domain_lost", case_domain_lost },
	{ "rack_lost", case_rack_lost },
	{ "regions_apart", case_regions_apart },
	{ "platform_down", case_platform_down },
	{ "start_together", case_start_together },
	{ "start_together_4mb", case_start_together_4mb },
	{ "roster", case_roster },
	{ "slopes", case_slopes },
};

static int run_case(const char *name, uint32_t n, int cpu)
{
	uint32_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct fleet *fl;

		if (strcmp(cases[i].name, name) != 0)
			continue;
		fl = fleet_new(cases[i].name, n, cpu);
		cases[i].run(fl);
		fleet_free(fl);
		return 0;
	}
	fprintf(stderr, "fleet: no case %s\n", name);
	return 2;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		uint32_t n;
	} all[] = {
		{ "ordinary", 18 },
		{ "ordinary", 400 },
		{ "ordinary", 2000 },
		{ "ordinary", 22000 },
		{ "detect", 18 },
		{ "detect", 400 },
		{ "detect", 2000 },
		{ "domain_lost", 2000 },
		{ "rack_lost", 2000 },
		{ "regions_apart", 400 },
		{ "platform_down", 400 },
		{ "start_together", 18 },
		{ "start_together", 400 },
		{ "start_together", 2000 },
		{ "start_together_4mb", 400 },
		{ "slopes", 400 },
	};
	int cpu = argc > 1 && !strcmp(argv[1], "--cpu"), i, rc = 0;
	uint32_t k;

	if (argc > 1 + cpu) {
		for (i = 1 + cpu; i + 1 < argc && !rc; i += 2)
			rc = run_case(argv[i],
				      (uint32_t)strtoul(argv[i + 1], NULL, 10),
				      cpu);
		return rc;
	}
	for (k = 0; k < sizeof(all) / sizeof(*all) && !rc; k++)
		rc = run_case(all[k].name, all[k].n, cpu);
	return rc;
}
