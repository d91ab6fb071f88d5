#include <gtest/gtest.h>

#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "site.h"

/*
 * Randomized fault soak of the daemons on the users' platform. It runs real
 * processes, injects overlapping faults, and checks the guarantees against what
 * callers and upstreams observed. SEED (the first one), SEEDS (how many),
 * DURATION (seconds) and MACHINES choose the run; without SEED and SEEDS the
 * seeds of tests/soak-seeds.txt are run.
 */

namespace
{

/* Number of fault kinds; the kind that gives an address to another service. */
const uint32_t FAULTS = 15, REASSIGN = 13;
/* Larger than one frame between daemons. */
const size_t LARGE_BODY_BYTES = 60000;
/* Longest time for which an upstream that has left still gets new requests. */
const int64_t LEAVE_LIMIT_US = 5000000;
/*
 * Events that are drawn from a generator of their own, so that a seed gives
 * the same choices of faults as without them. Numbers from WARM + 1 to
 * EVENTS - 1 stand for no event.
 */
enum { EVACUATE, TAKE_BACK, COLD, COLD_TOO, WARM, EVENTS = 12 };
/* Low, as a cold upstream of the soak gets only a few requests a second. */
const int COLD_PER_S = 4;
/* The rule FAILBACK of docs/hard-load.md. */
const size_t COLD_BOUND = COLD_PER_S * 3 / 2 + 8;

int64_t env_number(const char *name, int64_t fallback)
{
	const char *text = getenv(name);

	return text ? atoll(text) : fallback;
}

/* A request and the response that its caller received. */
struct exchange {
	std::string id;
	bool once; /* the route is unsafe: at most one run is allowed */
	long status;
	bool complete;
	std::string answer_id;
	std::string stamp;
	std::string target;
	std::string body;
	/* Service of the caller's machine; "" if it changed meanwhile. */
	std::string caller;
};

/* A store update that is applied some time after the event it reports. */
struct delayed_update {
	int64_t at_us;
	std::function<void()> act;
};

/* A time in which upstreams are cold, or their domain is evacuated. */
struct period {
	SiteUpstream *up; /* null: all of failure domain b */
	int64_t from_us;
	int64_t to_us;
	/* Time in it for which the store has not answered. */
	int64_t stretch_us;
};

class Soak
{
public:
	/*
	 * `off` names a mechanism of the daemons to switch off. Unless it is
	 * -1, fault kind `forced_fault` replaces every second random choice;
	 * FAULTS stands for evacuations and cold upstreams as all events.
	 */
	Soak(uint32_t seed, size_t machines, const std::string &off = "",
	     int forced_fault = -1)
		: site_(services(machines)), random_(seed), event_random_(seed),
		  seed_(seed), forced_fault_(forced_fault),
		  withdrawn_(machines), stopped_(machines), starts_(machines),
		  seen_starts_(machines),
		  relay_((uint16_t)atoi(
			  site_.store->address.substr(10).c_str()))
	{
		site_.store_address = loopback(relay_.port);
		site_.test_off = off;
		site_.more_service =
			"\"coldPerS\":" + std::to_string(COLD_PER_S) + ",";
		for (size_t i = 0; i < machines; i++)
			site_.upstreams[i]->zone = i % 4 < 2 ? "a" : "b";
		site_.start_all();
		site_.publish(2, home_route());
		for (auto &up : site_.upstreams)
			add_faulty_paths(*up);
	}
	/* Returns the violations, one text each. */
	std::vector<std::string> run(int64_t duration_s)
	{
		std::vector<std::thread> callers;
		int64_t end = now_us() + duration_s * 1000000;

		for (size_t i = 0; i < site_.services.size(); i++)
			callers.emplace_back([this, i] { call(i); });
		while (now_us() < end) {
			apply_due_updates(now_us());
			restart_stopped();
			fault();
			event();
			sleep_ms(random_below(400) + 50);
		}
		end_faults();
		stopping_ = true;
		for (std::thread &t : callers)
			t.join();
		check();
		return violations_;
	}
	size_t requests()
	{
		return exchanges_.size();
	}

	std::string faults;

private:
	static std::vector<std::string> services(size_t machines)
	{
		std::vector<std::string> out;

		for (size_t i = 0; i < machines; i++)
			out.push_back(i % 2 ? "far" : "near");
		return out;
	}
	uint32_t random_below(uint32_t below)
	{
		std::lock_guard<std::mutex> hold(lock_);

		return (uint32_t)(random_() % below);
	}
	void violation(const std::string &text)
	{
		std::lock_guard<std::mutex> hold(lock_);

		violations_.push_back(text);
	}
	/* The head and the first chunk of a chunked answer. */
	static std::string first_chunk(const SiteRequest &rq)
	{
		char size[32];

		snprintf(size, sizeof(size), "%zx\r\n", LARGE_BODY_BYTES);
		return "HTTP/1.1 200 OK\r\nEbonypier-Request-Id: " +
		       rq.header("ebonypier-request-id") +
		       "\r\nEbonypier-Response-Stamp: stamp\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n" +
		       size + std::string(LARGE_BODY_BYTES, 'c') + "\r\n";
	}
	/* Makes the upstream answer some paths with a fault. */
	void add_faulty_paths(SiteUpstream &up)
	{
		up.on("/cut", [&up](SiteConnection &cn, const SiteRequest &rq) {
			std::string whole = up.answer(rq, "whole");

			cn.write(whole.substr(0, whole.size() - 2));
			shutdown(cn.fd(), SHUT_RDWR);
		});
		up.on("/short", [](SiteConnection &cn, const SiteRequest &rq) {
			cn.write(first_chunk(rq));
			shutdown(cn.fd(), SHUT_RDWR);
		});
		up.on("/extra",
		      [&up](SiteConnection &cn, const SiteRequest &rq) {
			      cn.write(up.answer(rq, "whole") +
				       up.answer(rq, "again"));
		      });
		up.on("/lost", [](SiteConnection &cn, const SiteRequest &) {
			cn.reset();
		});
		up.on("/slow",
		      [&up](SiteConnection &cn, const SiteRequest &rq) {
			      sleep_ms(150);
			      cn.write(up.answer(rq, "whole"));
		      });
	}
	/* Sends requests to machine `i`, one at a time, until stopped. */
	void call(size_t i)
	{
		static const char *const kinds[] = {
			"plain", "plain", "plain", "slow", "cut",
			"extra", "lost",  "shed",  "short"
		};
		int newest = 0;

		for (int n = 0; !stopping_; n++) {
			std::string id = std::to_string(seed_) + "-" +
					 std::to_string(i) + "-" +
					 std::to_string(n);
			std::string service = random_below(2) ? "near" : "far";
			bool once = random_below(2);
			std::string path = "/" + service +
					   (once ? "/once/" : "/") +
					   kinds[random_below(9)];
			if (n % 5 == 4) {
				once = false;
				path = "/home/" + service;
			}
			std::string body(once ? random_below(3) * 30000 : 0,
					 'x');
			std::string caller = service_of(i);
			HttpAnswer a = site_.send(i, once ? "POST" : "GET",
						  path, id, body, 4000);

			if (caller != service_of(i))
				caller = "";
			record({ id, once, a.status, !a.code,
				 a.header("Ebonypier-Request-Id"),
				 a.header("Ebonypier-Response-Stamp"), path,
				 a.body, caller });
			if (n % 10 == 0)
				newest = check_version(i, newest);
		}
	}
	void record(const exchange &t)
	{
		std::lock_guard<std::mutex> hold(lock_);

		exchanges_.push_back(t);
	}
	/*
	 * Checks that a daemon does not fall back to an older configuration,
	 * and returns the newest version seen in force. Versions only add
	 * routes, so a route that was served must stay. A restarted daemon is
	 * exempt, because it may not have read the newest version yet.
	 */
	int check_version(size_t i, int newest)
	{
		int starts = starts_[i];

		if (newest && probe(i, newest) == 404 && starts == starts_[i] &&
		    starts == seen_starts_[i])
			violation("machine " + std::to_string(i) +
				  " lost a route of version " +
				  std::to_string(newest));
		seen_starts_[i] = starts;
		if (newest < version_ && probe(i, newest + 1) == 200)
			newest++;
		return newest;
	}
	long probe(size_t i, int version)
	{
		return site_
			.send(i, "GET",
			      "/v" + std::to_string(version) + "/plain",
			      "probe")
			.status;
	}
	std::string home_route()
	{
		return site_.route("home", "/home/", "safe", "far", "[\"r\"]");
	}
	void publish()
	{
		std::string more = home_route();

		version_++;
		for (int v = 1; v <= version_; v++)
			more += "," +
				site_.route("v" + std::to_string(v),
					    "/v" + std::to_string(v) + "/",
					    "safe", v % 2 ? "near" : "far");
		site_.publish(version_ + 100, more);
	}
	void fault()
	{
		uint32_t what = random_below(FAULTS);
		size_t i = random_below((uint32_t)site_.services.size());
		SiteUpstream &up = *site_.upstreams[i];
		static const char *const names[] = {
			"kill",	  "pause",  "term",   "hup",	  "leave",
			"remove", "return", "change", "silent",	  "history",
			"busy",	  "cut",    "forget", "reassign", "answers"
		};

		if (forced_fault_ >= 0 && forced_fault_ < (int)FAULTS &&
		    random_below(2))
			what = (uint32_t)forced_fault_;
		/* A daemon that is being stopped gets no further signal. */
		if ((what < 4 || what == REASSIGN) && stopped_[i])
			return;
		faults += std::string(faults.empty() ? "" : " ") + names[what];
		switch (what) {
		case 0:
			stop(i, SIGKILL);
			break;
		case 1:
			site_.daemons[i]->signal(SIGSTOP);
			sleep_ms(random_below(1500));
			site_.daemons[i]->signal(SIGCONT);
			break;
		case 2:
			stop(i, SIGTERM);
			break;
		case 3:
			/* SIGHUP ends a process that has not blocked it yet. */
			site_.daemons[i]->wait_signal_blocked(SIGHUP);
			site_.daemons[i]->signal(SIGHUP);
			break;
		case 4:
			withdraw(i, [&] {
				site_.store->put(up.key(),
						 up.entry("draining"));
			});
			break;
		case 5:
			withdraw(i, [&] { site_.store->remove(up.key()); });
			break;
		case 6:
			restore_upstream(i);
			break;
		case 7:
			publish();
			break;
		case 8:
			set_store(SiteStore::SILENT);
			break;
		case 9:
			site_.store->forget_history();
			break;
		case 10:
			set_store(SiteStore::BUSY);
			break;
		case 11:
			relay_.cut();
			break;
		case 12:
			relay_.silence_open();
			break;
		case REASSIGN:
			reassign(i);
			break;
		default:
			set_store(SiteStore::ANSWERS);
			break;
		}
	}
	/* The events after the faults; see EVENTS. */
	void event()
	{
		uint32_t what = event_random_() % EVENTS;
		size_t i = event_random_() % site_.upstreams.size();

		if (forced_fault_ >= (int)FAULTS)
			what = what % 2 ? COLD : EVACUATE;
		if (what <= WARM)
			faults += what == EVACUATE    ? " evacuate"
				  : what == TAKE_BACK ? " take-back"
				  : what == WARM      ? " warm"
						      : " cold";
		if (what == EVACUATE && !open_period(nullptr)) {
			site_.store->put("op/evacuate/b", "{}");
			periods_.push_back({ nullptr, now_us(), INT64_MAX, 0 });
		} else if (what == TAKE_BACK) {
			take_back();
		} else if (what == COLD || what == COLD_TOO) {
			cold(*site_.upstreams[i]);
		} else if (what == WARM) {
			warm(*site_.upstreams[i]);
		}
	}
	period *open_period(const SiteUpstream *up)
	{
		for (period &p : periods_)
			if (p.up == up && p.to_us == INT64_MAX)
				return &p;
		return nullptr;
	}
	void take_back()
	{
		if (!open_period(nullptr))
			return;
		open_period(nullptr)->to_us = now_us();
		site_.store->remove("op/evacuate/b");
	}
	void cold(SiteUpstream &up)
	{
		if (open_period(&up))
			return;
		up.say("Ebonypier-Cold-Ms: 60000\r\n");
		periods_.push_back({ &up, now_us(), INT64_MAX, 0 });
	}
	void warm(SiteUpstream &up)
	{
		if (!open_period(&up))
			return;
		open_period(&up)->to_us = now_us();
		up.say("Ebonypier-Cold-Ms: 0\r\n");
	}
	/* Sets the store's mode, and adds up the time without answers. */
	void set_store(SiteStore::Mode mode)
	{
		int64_t now = now_us();

		for (period &p : periods_)
			if (silent_from_us_ && p.to_us > silent_from_us_)
				p.stretch_us +=
					std::min(now, p.to_us) -
					std::max(p.from_us, silent_from_us_);
		silent_from_us_ = mode == SiteStore::ANSWERS ? 0 : now;
		site_.store->set_mode(mode);
	}
	/* Whether each service has an upstream outside failure domain b. */
	bool served_without_b(size_t gone)
	{
		std::set<std::string> served;

		for (size_t j = 0; j < site_.upstreams.size(); j++)
			if (j != gone && site_.upstreams[j]->zone != "b")
				served.insert(site_.services[j]);
		return served.size() == 2;
	}
	std::string service_of(size_t i)
	{
		std::lock_guard<std::mutex> hold(lock_);

		return site_.services[i];
	}
	/* Number of upstreams of a service that have not left. */
	size_t present(const std::string &service) const
	{
		size_t n = 0;

		for (size_t j = 0; j < withdrawn_.size(); j++)
			n += !withdrawn_[j] && site_.services[j] == service;
		return n;
	}
	/*
	 * Replaces a machine by one of the other service at the same address.
	 * The store is updated afterwards: it removes the old entry and
	 * adds the new one in either order.
	 */
	void reassign(size_t i)
	{
		std::string old = site_.upstreams[i]->key();
		std::string to = site_.services[i] == "near" ? "far" : "near";

		if (withdrawn_[i] || present(site_.services[i]) < 2)
			return;
		stop(i, SIGKILL);
		site_.daemons[i]->wait();
		{
			std::lock_guard<std::mutex> hold(lock_);

			site_.replace_upstream(
				i, "n-" + std::to_string(++replaced_), to);
		}
		add_faulty_paths(*site_.upstreams[i]);
		delayed_updates_.push_back(
			{ now_us() + random_below(1500) * 1000, [this, old] {
				 site_.store->remove(old);
			 } });
		delayed_updates_.push_back(
			{ now_us() + random_below(1500) * 1000,
			  [this, i, up = site_.upstreams[i].get()] {
				  if (!withdrawn_[i] &&
				      up == site_.upstreams[i].get())
					  restore_upstream(i);
			  } });
	}
	/* Applies the delayed store updates due until `until_us`. */
	void apply_due_updates(int64_t until_us)
	{
		std::vector<delayed_update> due;

		for (auto it = delayed_updates_.begin();
		     it != delayed_updates_.end();)
			if (it->at_us <= until_us) {
				due.push_back(*it);
				it = delayed_updates_.erase(it);
			} else {
				++it;
			}
		for (const delayed_update &lt : due)
			lt.act();
	}
	void stop(size_t i, int sig)
	{
		site_.daemons[i]->signal(sig);
		stopped_[i] = true;
	}
	/* Restarts the daemons that have ended, as the platform does. */
	void restart_stopped()
	{
		for (size_t i = 0; i < stopped_.size(); i++) {
			if (!stopped_[i] || site_.daemons[i]->running())
				continue;
			site_.daemons[i]->wait();
			starts_[i]++;
			stopped_[i] = false;
			site_.start_daemon(i);
		}
	}
	/* Withdraws an upstream, unless it is the last one of its service. */
	void withdraw(size_t i, const std::function<void()> &act)
	{
		if (withdrawn_[i] || present(site_.services[i]) < 2)
			return;
		withdrawn_[i] = true;
		act();
	}
	void restore_upstream(size_t i)
	{
		withdrawn_[i] = false;
		site_.store->put(site_.upstreams[i]->key(),
				 site_.upstreams[i]->entry());
	}
	/*
	 * Ends all faults except one withdrawn upstream, and waits until each
	 * machine serves the newest version. That upstream must get no work.
	 */
	void end_faults()
	{
		size_t gone = withdrawn_.size();

		wait_until("the restart of the stopped daemons", [this] {
			restart_stopped();
			return std::find(stopped_.begin(), stopped_.end(),
					 true) == stopped_.end();
		});
		set_store(SiteStore::ANSWERS);
		apply_due_updates(INT64_MAX);
		for (size_t i = 0; i < withdrawn_.size(); i++) {
			if (withdrawn_[i] && gone == withdrawn_.size())
				gone = i;
			else
				restore_upstream(i);
		}
		for (auto &up : site_.upstreams)
			warm(*up);
		if (!served_without_b(gone))
			take_back();
		publish();
		for (size_t i = 0; i < withdrawn_.size(); i++)
			site_.wait_status(
				i, "/v" + std::to_string(version_) + "/plain",
				200);
		check_left(gone);
	}
	/* Runs at the upstream that has left and at evacuated ones. */
	int runs_of_absent(size_t gone)
	{
		int n = 0;

		for (size_t j = 0; j < site_.upstreams.size(); j++)
			if (j == gone || (open_period(nullptr) &&
					  site_.upstreams[j]->zone == "b"))
				n += site_.upstreams[j]->runs();
		return n;
	}
	/* Checks that upstreams that left or are evacuated get no requests. */
	void check_left(size_t gone)
	{
		int64_t begun = now_us();
		int before;

		if (gone == withdrawn_.size() && !open_period(nullptr))
			return;
		do {
			before = runs_of_absent(gone);
			sleep_ms(1000);
		} while (runs_of_absent(gone) != before &&
			 now_us() - begun < LEAVE_LIMIT_US);
		if (runs_of_absent(gone) != before)
			violation("upstream " + std::to_string(gone) +
				  (open_period(nullptr) ? " or domain b" : "") +
				  " still gets requests after it left");
	}
	/* Checks the runs of an upstream against the periods that concern it.
	 */
	void check_periods(SiteUpstream &up)
	{
		std::vector<int64_t> times;

		for (const auto &run : up.all_runs())
			times.insert(times.end(), run.second.begun_us.begin(),
				     run.second.begun_us.end());
		std::sort(times.begin(), times.end());
		for (const period &p : periods_)
			if (p.up == &up)
				check_cold(p, times);
			else if (!p.up && up.zone == "b")
				check_evacuated(p, times);
	}
	void check_cold(const period &p, const std::vector<int64_t> &times)
	{
		size_t most = 0;

		for (size_t i = 0, j = 0; i < times.size(); i++) {
			while (times[j] < p.from_us && j < i)
				j++;
			while (times[i] - times[j] >= 1000000)
				j++;
			if (times[j] >= p.from_us && times[i] < p.to_us)
				most = std::max(most, i - j + 1);
		}
		if (most > COLD_BOUND)
			violation(p.up->id + " was cold and got " +
				  std::to_string(most) +
				  " requests in a second");
	}
	void check_evacuated(const period &p, const std::vector<int64_t> &times)
	{
		int64_t limit = p.from_us + LEAVE_LIMIT_US + p.stretch_us;

		for (int64_t at : times)
			if (at > limit && at < p.to_us) {
				violation("a request ran in an evacuated "
					  "domain " +
					  std::to_string((at - p.from_us) /
							 1000) +
					  " ms after the order");
				return;
			}
	}
	/* Returns how often each request ran, also at ended upstreams. */
	std::map<std::string, int> collect_runs()
	{
		std::map<std::string, std::string> callers;
		std::map<std::string, int> runs;

		for (const exchange &t : exchanges_)
			callers[t.id] = t.caller;
		for (auto *list : { &site_.upstreams, &site_.ended_upstreams })
			for (auto &up : *list) {
				check_periods(*up);
				for (const auto &run : up->all_runs()) {
					runs[run.first] += run.second.count;
					check_run(run.first, run.second, *up,
						  callers[run.first]);
				}
			}
		return runs;
	}
	void check_run(const std::string &id, const SiteRun &run,
		       const SiteUpstream &up, const std::string &caller)
	{
		std::string wanted = up.service == "near" ? "/far/" : "/near/";

		if (!run.target.compare(0, wanted.size(), wanted))
			violation(id + " ran at another service");
		if (!run.target.compare(0, 6, "/home/") && up.zone != "a")
			violation(id + " ran outside its home regions");
		if (!caller.empty() && run.caller != caller)
			violation(id + " came from " + caller +
				  " and was sent as from " + run.caller);
	}
	static bool is_whole(const exchange &t)
	{
		std::string end = " " + t.target;

		if (t.body == "whole")
			return true;
		return t.body.size() >= end.size() &&
		       !t.body.compare(t.body.size() - end.size(), end.size(),
				       end);
	}
	void check()
	{
		std::map<std::string, int> all = collect_runs();

		for (const exchange &t : exchanges_) {
			int runs = all[t.id];

			if (t.complete && t.status == 200 && !is_whole(t))
				violation(t.id + " got a part of its answer");
			if (t.once && runs > 1)
				violation(t.id + " ran " +
					  std::to_string(runs) + " times");
			if (t.once && runs &&
			    (t.status == 503 || t.status == 429))
				violation(t.id + " was refused and ran");
			if (t.complete && t.status == 200 &&
			    t.answer_id != t.id)
				violation(t.id + " got the answer to " +
					  t.answer_id);
			if (t.complete && t.status == 200 && t.stamp.empty())
				violation(t.id + " got an answer without an "
						 "upstream's stamp");
		}
	}
	Site site_;
	std::mutex lock_;
	std::mt19937 random_, event_random_;
	uint32_t seed_;
	int forced_fault_;
	std::vector<bool> withdrawn_, stopped_;
	std::vector<std::atomic<int>> starts_, seen_starts_;
	Relay relay_; /* between the daemons and the store */
	std::vector<delayed_update> delayed_updates_;
	std::vector<period> periods_;
	int64_t silent_from_us_ = 0; /* 0: the store answers */
	int replaced_ = 0;
	std::atomic<int> version_{ 0 };
	std::atomic<bool> stopping_{ false };
	std::vector<exchange> exchanges_;
	std::vector<std::string> violations_;
};

/* Returns the seeds of the environment, or those of soak-seeds.txt. */
std::vector<uint32_t> seeds()
{
	std::vector<uint32_t> out;
	int64_t count = env_number("SEEDS", 1);

	if (getenv("SEED") || getenv("SEEDS")) {
		for (int64_t n = 0; n < count; n++)
			out.push_back((uint32_t)(env_number("SEED", 1) + n));
		return out;
	}
	std::ifstream in("tests/soak-seeds.txt");
	for (std::string line; std::getline(in, line);)
		if (!line.empty() && isdigit(line[0]))
			out.push_back((uint32_t)atoll(line.c_str()));
	return out;
}

/* Guards against guarantees that break when several faults overlap. */
TEST(SiteSoak, KeepsTheGuarantees)
{
	for (uint32_t seed : seeds()) {
		Soak soak(seed, (size_t)env_number("MACHINES", 6));
		std::vector<std::string> bad =
			soak.run(env_number("DURATION", 4));

		printf("seed %u: requests %zu, violations %zu, faults: %s\n",
		       seed, soak.requests(), bad.size(), soak.faults.c_str());
		for (size_t i = 0; i < bad.size() && i < 10; i++)
			printf("  %s\n", bad[i].c_str());
		fflush(stdout);
		EXPECT_TRUE(bad.empty()) << "seed " << seed;
	}
}

struct disabled_case {
	const char *off;
	/* Parts of the expected violation texts. */
	std::vector<std::string> found;
	int forced_fault; /* fault kind to choose more often, or -1 */
};

/*
 * Guards against a checker that never fails: with a mechanism of the daemons
 * switched off, up to 10 seeds must give the matching violations.
 */
TEST(SiteSoak, CheckersDetectDisabledMechanisms)
{
	const disabled_case cases[] = {
		{ "retry-rule", { " ran 2 times" }, -1 },
		{ "not-run-rule", { " was refused and ran" }, -1 },
		{ "whole-answer", { " got a part of its answer" }, -1 },
		{ "expect-instance",
		  { " ran at another service" },
		  (int)REASSIGN },
		/* Home regions, the limit on cold upstreams, evacuation. */
		{ "placement",
		  { " ran outside its home regions", " was cold and got ",
		    " still gets requests after" },
		  (int)FAULTS },
	};

	for (const disabled_case &c : cases) {
		std::vector<std::string> left = c.found;

		for (uint32_t seed = 1; seed <= 10 && !left.empty(); seed++) {
			Soak soak(seed, 4, c.off, c.forced_fault);

			for (const std::string &text : soak.run(2))
				left.erase(std::remove_if(
						   left.begin(), left.end(),
						   [&](const std::string &f) {
							   return text.find(
									  f) !=
								  std::string::
									  npos;
						   }),
					   left.end());
		}
		EXPECT_EQ(std::vector<std::string>(), left) << c.off;
	}
}

} // namespace
