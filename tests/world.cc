#include "world.h"

#include <curl/curl.h>
#include <signal.h>

/* A call without an answer ends then; longer than pause_hold_ms. */
static const int64_t call_timeout_ms = 12000;
static const int64_t poll_timeout_ms = 300;
static const int64_t poll_ms = 100;
/* Service deadline; shorter than call_timeout_ms, so a daemon answers first. */
static const uint32_t deadline_ms = 3000;
static const int sends_max = 5;
static const int64_t leaving_limit_us = 3000000;

FleetOptions world_options()
{
	FleetOptions op;

	/* With two services, some calls go from daemon to daemon. */
	op.services = { { "agenda", (int)world_size / 2 },
			{ "taller", (int)world_size / 2 } };
	for (ServiceOptions &s : op.services)
		s.deadline_ms = deadline_ms;
	op.service_us = 2000;
	return op;
}

static std::string new_record_path()
{
	static int number;

	return temp_dir() + "/runs-" + std::to_string(number++);
}

static FleetOptions with_record(FleetOptions op, const std::string &path)
{
	op.upstream_flags.push_back("--record");
	op.upstream_flags.push_back(path);
	return op;
}

World::World(FleetOptions op)
	: fleet(with_record(std::move(op), new_record_path()))
{
	record_path_ = fleet.options.upstream_flags.back();
	for (Member &m : fleet.members) {
		relays.push_back(std::make_unique<Relay>(m.daemon_port));
		m.relay_port = relays.back()->port;
	}
	fleet.start();
	for (size_t i = 0; i < fleet.size(); i++)
		wait_until("links of " + fleet[i].name, [this, i] {
			return fleet[i].admin("/status").body.find(
				       "\"down\"") == std::string::npos;
		});
}

World::~World()
{
	stopping_ = true;
	for (Member &m : fleet.members) {
		if (m.daemon)
			m.daemon->signal(SIGCONT);
		if (m.upstream)
			m.upstream->signal(SIGCONT);
	}
	for (std::thread &t : callers_)
		t.join();
	if (poller_.joinable())
		poller_.join();
}

size_t World::calls()
{
	std::lock_guard<std::mutex> hold(lock_);

	return history_.calls.size();
}

void World::add(const CallRecord &c)
{
	std::lock_guard<std::mutex> hold(lock_);

	history_.calls.push_back(c);
}

void World::leaves(size_t i, int64_t hidden_us)
{
	LeaveRecord l;

	l.upstream = fleet[i].name;
	l.at_us = now_us() + hidden_us;
	std::lock_guard<std::mutex> hold(lock_);
	history_.leaves.push_back(l);
}

void World::returned(size_t i)
{
	std::lock_guard<std::mutex> hold(lock_);

	for (LeaveRecord &l : history_.leaves)
		if (l.upstream == fleet[i].name)
			l.until_us = std::min(l.until_us, now_us());
}

History World::history()
{
	std::lock_guard<std::mutex> hold(lock_);
	History h = history_;

	h.runs = read_runs(record_path_);
	h.end_us = now_us();
	return h;
}

CallRecord World::call(HttpClient &client, std::mt19937 &random, size_t daemon,
		       const std::string &method, const std::string &key,
		       const std::vector<std::string> &more)
{
	uint64_t bytes = random() % 8 ? random() % 4000 : random() % 200000;
	uint64_t seed = random() % 97;
	CallRecord c;
	HttpRequest rq;
	HttpAnswer a;

	c.nonce = "n" + std::to_string(next_++);
	c.key = key;
	c.method = rq.method = method;
	rq.timeout_ms = call_timeout_ms;
	rq.headers = more;
	rq.headers.push_back("X-Nonce: " + c.nonce);
	if (!key.empty())
		rq.headers.push_back("Idempotency-Key: " + key);
	rq.url = fleet[daemon].url(random() % 2 ? "/agenda/x" : "/taller/x");
	if (method == "GET")
		rq.url += "?bytes=" + std::to_string(bytes) +
			  "&seed=" + std::to_string(seed) +
			  (random() % 2 ? "&chunked=1" : "");
	else
		rq.body = pattern(bytes % 20000, seed);
	c.start_us = now_us();
	a = client.send(rq);
	c.end_us = now_us();
	c.connected = a.code != CURLE_COULDNT_CONNECT;
	c.complete = !a.code;
	c.status = a.status;
	c.outcome = a.outcome();
	c.refused = c.outcome == "not-run";
	c.own = a.header("X-Nonce") == c.nonce;
	if (method == "GET")
		c.own = c.own && a.body == pattern(bytes, seed);
	else
		c.own = c.own && a.json("nonce") == c.nonce &&
			a.json("checksum") == checksum(rq.body);
	/*
	 * libcurl resends a GET on a new connection when a kept one turns out
	 * to be closed. The outcome is then that of the second send; the first
	 * one may have run.
	 */
	if (method == "GET" && a.connects)
		c.outcome = "";
	return c;
}

/* Sends a call with a key until it succeeds, at most sends_max times. */
void World::keyed_call(std::mt19937 &random)
{
	std::string key = "k" + std::to_string(next_++);
	uint32_t shape = random();

	for (int i = 0; i < sends_max && !stopping_; i++) {
		/* The same seed: each send has the same service and body. */
		std::mt19937 same(shape);
		HttpClient own;
		CallRecord c =
			call(own, same, random() % fleet.size(), "POST", key);

		add(c);
		if (c.complete && c.status == 200)
			return;
		if (c.outcome != "not-run" && !resend_after_unknown)
			return;
		sleep_ms(random() % 20);
	}
}

void World::caller_loop(uint32_t seed)
{
	std::mt19937 random(seed);
	HttpClient kept;

	while (!stopping_) {
		uint32_t kind = random() % 4;

		if (kind == 0) {
			keyed_call(random);
		} else if (kind == 1) {
			HttpClient own;

			add(call(own, random, random() % fleet.size(), "POST",
				 ""));
		} else {
			add(call(kept, random, random() % fleet.size(), "GET",
				 ""));
		}
		sleep_ms(random() % 6);
	}
}

/* Records the release that each daemon has in force, across restarts. */
void World::poll_loop()
{
	while (!stopping_) {
		for (size_t i = 0; i < fleet.size(); i++) {
			HttpRequest rq;
			HttpAnswer a;
			ReleaseRecord r;
			size_t at;

			rq.url = "http://" + loopback(fleet[i].admin_port) +
				 "/metrics";
			rq.timeout_ms = poll_timeout_ms;
			a = http(rq);
			at = a.body.find("\nebonypier_release ");
			if (!a.complete(200) || at == std::string::npos)
				continue;
			r.daemon = fleet[i].name;
			r.release = atoll(a.body.c_str() + at + 19);
			r.at_us = now_us();
			/* A daemon without a release serves nothing: skip it.
			 */
			if (!r.release)
				continue;
			std::lock_guard<std::mutex> hold(lock_);
			history_.releases.push_back(r);
		}
		sleep_ms(poll_ms);
	}
}

void World::start_load(uint32_t seed, int callers)
{
	stopping_ = false;
	poller_ = std::thread([this] { poll_loop(); });
	for (int i = 0; i < callers; i++)
		callers_.emplace_back([this, seed, i] {
			caller_loop(seed * 100 + (uint32_t)i);
		});
}

void World::stop_load()
{
	stopping_ = true;
	for (std::thread &t : callers_)
		t.join();
	callers_.clear();
	poller_.join();
	for (Member &m : fleet.members)
		wait_until("the end of all calls at " + m.name, [&m] {
			return !m.daemon->running() ||
			       m.metric("calls_active") == 0;
		});
}

void World::wait_calls(size_t more)
{
	size_t until = calls() + more;

	wait_until("more calls", [this, until] { return calls() >= until; });
}

int64_t World::publish()
{
	int64_t next = release + 1;
	std::string note = "{\"release\":" + std::to_string(next) +
			   ",\"builds_on\":" + std::to_string(next - 1) +
			   ",\"note\":\"empty\"}";

	if (fleet.publish(note))
		release = next;
	return release;
}

bool World::in_force(size_t i, int64_t wanted)
{
	return fleet[i].metric("release") >= (double)wanted;
}

void World::repair()
{
	for (size_t i = 0; i < fleet.size(); i++) {
		if (!fleet[i].upstream->running())
			fleet.start_upstream(i);
		if (!fleet[i].daemon->running())
			fleet.start_daemon(i);
	}
	for (size_t i = 0; i < fleet.size(); i++)
		fleet.wait_ready(i);
}

/* ---- Faults ---- */

/* Sets a fault, if no other fault has ended the upstream. */
static void upstream_fault(World &w, size_t i, const char *json)
{
	try {
		w.fleet[i].fault(json);
	} catch (const std::exception &) {
	}
}

static void publish_and_wait(World &w)
{
	w.publish();
	/* Waits a fixed time: another fault may keep a daemon from it. */
	sleep_ms(500);
}

static void restart_daemon(World &w, size_t i)
{
	w.fleet[i].daemon->stop();
	w.returned(i);
	w.fleet.start_daemon(i);
}

static void crash_and_resend(World &w, size_t i)
{
	std::mt19937 random((uint32_t)i);

	for (int n = 0; n < 3; n++) {
		HttpClient own;

		w.add(w.call(own, random, (i + (size_t)n) % w.fleet.size(),
			     n % 2 ? "POST" : "GET", "", { "X-Crash: 1" }));
	}
}

static void no_op(World &w, size_t i)
{
	(void)w;
	(void)i;
}

static void clear_link_fault(World &w, size_t i)
{
	w.relays[i]->fault("{}");
}

static void clear_upstream_fault(World &w, size_t i)
{
	upstream_fault(w, i, "{}");
}

static void restore_platform(World &w, size_t i)
{
	(void)i;
	w.fleet.platform_fault("{}");
	w.platform_hidden = false;
	w.vms_lag_us = 0;
}

static void start_daemon(World &w, size_t i)
{
	w.fleet.start_daemon(i);
}

static void start_upstream(World &w, size_t i)
{
	if (!w.fleet[i].upstream->running())
		w.fleet.start_upstream(i);
}

static void restore_vm(World &w, size_t i)
{
	w.returned(i);
	w.fleet.vm(i, "live");
	w.fleet.platform_fault("{}");
}

/* Longer than the time after which an unresponsive peer counts as lost. */
static const int64_t pause_hold_ms = 6000;
static const int64_t leave_hold_ms = 4500;

const Fault faults[] = {
	{ "KillDaemon", 700,
	  [](World &w, size_t i) { w.fleet[i].daemon->kill(); }, start_daemon },
	{ "KillUpstream", 700,
	  [](World &w, size_t i) { w.fleet[i].upstream->kill(); },
	  start_upstream },
	{ "PauseDaemon", pause_hold_ms,
	  [](World &w, size_t i) { w.fleet[i].daemon->signal(SIGSTOP); },
	  [](World &w, size_t i) {
		  w.fleet[i].daemon->signal(SIGCONT);
	  } },
	{ "PauseUpstream", pause_hold_ms,
	  [](World &w, size_t i) { w.fleet[i].upstream->signal(SIGSTOP); },
	  [](World &w, size_t i) {
		  w.fleet[i].upstream->signal(SIGCONT);
	  } },
	{ "CutLinks", 700,
	  [](World &w, size_t i) {
		  w.relays[i]->fault("{\"refuse\":true}");
		  w.relays[i]->cut();
	  },
	  clear_link_fault },
	{ "OneWayCutForward", 1500,
	  [](World &w, size_t i) {
		  w.relays[i]->fault("{\"silent\":\"forward\"}");
	  },
	  clear_link_fault },
	{ "OneWayCutBackward", 1500,
	  [](World &w, size_t i) {
		  w.relays[i]->fault("{\"silent\":\"backward\"}");
	  },
	  clear_link_fault },
	{ "SlowLink", 1000,
	  [](World &w, size_t i) {
		  w.relays[i]->fault("{\"delay_ms\":200,\"jitter_ms\":100}");
	  },
	  clear_link_fault },
	{ "SilentOpenLinks", 1500,
	  [](World &w, size_t i) { w.relays[i]->silence_open(); }, no_op },
	{ "PlatformDown", 1000,
	  [](World &w, size_t i) {
		  (void)i;
		  w.platform_hidden = true;
		  w.fleet.platform_fault("{\"down\":true}");
	  },
	  restore_platform },
	{ "PlatformStale", 1000,
	  [](World &w, size_t i) {
		  (void)i;
		  publish_and_wait(w);
		  w.platform_hidden = true;
		  w.fleet.platform_fault("{\"stale\":1}");
	  },
	  restore_platform },
	{ "LaggingVmList", 1000,
	  [](World &w, size_t i) {
		  w.vms_lag_us = 60000000;
		  w.fleet.platform_fault("{\"vms_lag_ms\":60000}");
		  w.fleet.vm(i, "leaving");
		  w.fleet[i].upstream->kill();
	  },
	  [](World &w, size_t i) {
		  start_upstream(w, i);
		  restore_vm(w, i);
	  } },
	{ "VmLeaving", leave_hold_ms,
	  [](World &w, size_t i) {
		  if (!w.platform_hidden)
			  w.leaves(i, w.vms_lag_us);
		  w.fleet.vm(i, "leaving");
	  },
	  restore_vm },
	{ "Straggler", 1000,
	  [](World &w, size_t i) { upstream_fault(w, i, "{\"slow\":50}"); },
	  clear_upstream_fault },
	{ "FastFailure", 1000,
	  [](World &w, size_t i) { upstream_fault(w, i, "{\"fail\":500}"); },
	  clear_upstream_fault },
	{ "CrashingRequest", 300, crash_and_resend,
	  [](World &w, size_t i) {
		  (void)i;
		  for (size_t n = 0; n < w.fleet.size(); n++)
			  start_upstream(w, n);
	  } },
	{ "GracefulDaemonRestart", 100,
	  [](World &w, size_t i) {
		  w.leaves(i);
		  w.fleet[i].daemon->signal(SIGTERM);
	  },
	  restart_daemon },
	{ "DrainUpstream", leave_hold_ms,
	  [](World &w, size_t i) {
		  w.leaves(i);
		  http_post("http://" + loopback(w.fleet[i].admin_port) +
				    "/drain",
			    "");
	  },
	  restart_daemon },
};
const size_t fault_count = sizeof(faults) / sizeof(faults[0]);

static void add_violations(Violations &out, const char *name,
			   const Violations &in)
{
	for (const std::string &text : in)
		out.push_back(std::string(name) + ": " + text);
}

/* Prints the sends and runs of each key that was executed more than once. */
static void print_keys(const History &h)
{
	std::map<std::string, int> executed;

	for (const RunRecord &r : h.runs)
		if (!r.key.empty())
			executed[r.key] += r.executed;
	for (const auto &k : executed) {
		if (k.second < 2)
			continue;
		for (const CallRecord &c : h.calls)
			if (c.key == k.first)
				printf("%s: %s sent at %lld until %lld: status "
				       "%ld outcome %s\n",
				       c.key.c_str(), c.nonce.c_str(),
				       (long long)c.start_us,
				       (long long)c.end_us, c.status,
				       c.outcome.c_str());
		for (const RunRecord &r : h.runs)
			if (r.key == k.first)
				printf("%s: %s ran at %s from %lld, executed "
				       "%d\n",
				       r.key.c_str(), r.nonce.c_str(),
				       r.upstream.c_str(), (long long)r.at_us,
				       r.executed);
	}
}

Outcome run_schedule(World &w, const std::vector<const Fault *> &list,
		     uint32_t seed)
{
	std::mt19937 random(seed);
	size_t first = random() % w.fleet.size(), ended = 0;
	int64_t hold_ms = 0;
	Outcome out;
	History h;

	w.start_load(seed);
	w.wait_calls(100);
	for (size_t i = 0; i < list.size(); i++) {
		sleep_ms(random() % 100);
		list[i]->begin(w, (first + i) % w.fleet.size());
		hold_ms = std::max(hold_ms, list[i]->hold_ms);
	}
	w.publish();
	sleep_ms(hold_ms);
	for (size_t i = 0; i < list.size(); i++)
		list[i]->end(w, (first + i) % w.fleet.size());
	w.repair();
	ended = w.calls();
	w.wait_calls(100);
	w.stop_load();
	h = w.history();
	out.calls = h.calls.size();
	for (size_t i = ended; i < h.calls.size(); i++)
		out.answered += h.calls[i].complete && h.calls[i].own;
	add_violations(out.violations, "own answers", check_own_answers(h));
	add_violations(out.violations, "not run", check_not_run(h));
	add_violations(out.violations, "at most once", check_at_most_once(h));
	add_violations(out.violations, "leaving",
		       check_leaving(h, leaving_limit_us));
	add_violations(out.violations, "releases", check_releases(h));
	print_keys(h);
	if (!out.answered)
		out.violations.push_back("no call succeeds after the repair");
	return out;
}
