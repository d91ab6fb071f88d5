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
 * A randomized soak of the daemons on the users' platform: real processes,
 * faults from outside in overlapping series, and the promises checked from
 * what callers and upstreams see. SEED, SEEDS, DURATION (seconds) and MACHINES
 * choose the run; without them the seeds of tests/soak-seeds.txt are played.
 */

namespace
{

/* Kinds of faults, and the one that gives an address to another service. */
const uint32_t FAULTS = 15, REASSIGN = 13;
/* More than the daemons put into one frame. */
const size_t LARGE_BODY_BYTES = 60000;
/* An upstream that leaves gets no new work later than this. */
const int64_t LEAVE_LIMIT_US = 5000000;

int64_t number(const char *name, int64_t otherwise)
{
	const char *text = getenv(name);

	return text ? atoll(text) : otherwise;
}

/* What one caller has been told of a request. */
struct told {
	std::string id;
	bool once; /* may run once at most */
	long status;
	bool complete;
	std::string answer_id;
	std::string stamp;
	std::string target;
	std::string body;
	std::string caller; /* service beside the caller; "": it changed */
};

/* A change of the store that comes later than what it tells of. */
struct later {
	int64_t at_us;
	std::function<void()> act;
};

class Soak
{
public:
	/* With a mechanism switched off, a fault may be drawn more often. */
	Soak(uint32_t seed, size_t machines, const std::string &off = "",
	     int often = -1)
		: site_(services(machines)), random_(seed), seed_(seed),
		  often_(often), away_(machines), stopped_(machines),
		  starts_(machines), seen_starts_(machines),
		  relay_((uint16_t)atoi(
			  site_.store->address.substr(10).c_str()))
	{
		site_.store_address = loopback(relay_.port);
		site_.test_off = off;
		site_.start_all();
		for (auto &up : site_.upstreams)
			spoil(*up);
	}
	/* Returns the violations, one text each. */
	std::vector<std::string> run(int64_t duration_s)
	{
		std::vector<std::thread> callers;
		int64_t end = now_us() + duration_s * 1000000;

		for (size_t i = 0; i < site_.services.size(); i++)
			callers.emplace_back([this, i] { call(i); });
		while (now_us() < end) {
			settle(now_us());
			revive();
			fault();
			sleep_ms(pick(400) + 50);
		}
		heal();
		stopping_ = true;
		for (std::thread &t : callers)
			t.join();
		check();
		return violations_;
	}
	size_t requests()
	{
		return told_.size();
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
	uint32_t pick(uint32_t below)
	{
		std::lock_guard<std::mutex> hold(lock_);

		return (uint32_t)(random_() % below);
	}
	void violation(const std::string &text)
	{
		std::lock_guard<std::mutex> hold(lock_);

		violations_.push_back(text);
	}
	/* An answer in chunks, of which the first one is there. */
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
	/* Some requests are answered badly, as their path says. */
	void spoil(SiteUpstream &up)
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
	/* One caller beside each machine, request after request. */
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
			std::string service = pick(2) ? "near" : "far";
			bool once = pick(2);
			std::string path = "/" + service +
					   (once ? "/once/" : "/") +
					   kinds[pick(9)];
			std::string body(once ? pick(3) * 30000 : 0, 'x');
			std::string caller = service_of(i);
			HttpAnswer a = site_.send(i, once ? "POST" : "GET",
						  path, id, body, 4000);

			if (caller != service_of(i))
				caller = "";
			note({ id, once, a.status, !a.code,
			       a.header("Ebonypier-Request-Id"),
			       a.header("Ebonypier-Response-Stamp"), path,
			       a.body, caller });
			if (n % 10 == 0)
				newest = check_version(i, newest);
		}
	}
	void note(const told &t)
	{
		std::lock_guard<std::mutex> hold(lock_);

		told_.push_back(t);
	}
	/*
	 * A route that is there once stays: routes are only added. A daemon
	 * that started anew may not know the newest yet.
	 */
	int check_version(size_t i, int newest)
	{
		int starts = starts_[i];

		if (newest && probe(i, newest) == 404 && starts == starts_[i] &&
		    starts == seen_starts_[i])
			violation("machine " + std::to_string(i) +
				  " went back behind version " +
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
	void publish()
	{
		std::string more;

		version_++;
		for (int v = 1; v <= version_; v++)
			more += (v > 1 ? "," : "") +
				site_.route("v" + std::to_string(v),
					    "/v" + std::to_string(v) + "/",
					    "safe", v % 2 ? "near" : "far");
		site_.publish(version_ + 100, more);
	}
	void fault()
	{
		uint32_t what = pick(FAULTS);
		size_t i = pick((uint32_t)site_.services.size());
		SiteUpstream &up = *site_.upstreams[i];
		static const char *const names[] = {
			"kill",	  "pause",  "term",   "hup",	  "leave",
			"remove", "return", "change", "silent",	  "history",
			"busy",	  "cut",    "forget", "reassign", "answers"
		};

		if (often_ >= 0 && pick(2))
			what = (uint32_t)often_;
		/* One that is being stopped gets no further signal. */
		if ((what < 4 || what == REASSIGN) && stopped_[i])
			return;
		faults += std::string(faults.empty() ? "" : " ") + names[what];
		switch (what) {
		case 0:
			stop(i, SIGKILL);
			break;
		case 1:
			site_.daemons[i]->signal(SIGSTOP);
			sleep_ms(pick(1500));
			site_.daemons[i]->signal(SIGCONT);
			break;
		case 2:
			stop(i, SIGTERM);
			break;
		case 3:
			/* It would end a process that is still being loaded. */
			site_.daemons[i]->wait_holds(SIGHUP);
			site_.daemons[i]->signal(SIGHUP);
			break;
		case 4:
			leave(i, [&] {
				site_.store->put(up.key(),
						 up.entry("draining"));
			});
			break;
		case 5:
			leave(i, [&] { site_.store->remove(up.key()); });
			break;
		case 6:
			come_back(i);
			break;
		case 7:
			publish();
			break;
		case 8:
			site_.store->set_mode(SiteStore::SILENT);
			break;
		case 9:
			site_.store->forget_history();
			break;
		case 10:
			site_.store->set_mode(SiteStore::BUSY);
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
			site_.store->set_mode(SiteStore::ANSWERS);
			break;
		}
	}
	std::string service_of(size_t i)
	{
		std::lock_guard<std::mutex> hold(lock_);

		return site_.services[i];
	}
	/* Upstreams of a service that have not left. */
	size_t present(const std::string &service) const
	{
		size_t n = 0;

		for (size_t j = 0; j < away_.size(); j++)
			n += !away_[j] && site_.services[j] == service;
		return n;
	}
	/*
	 * A machine goes, and its address to one of the other service. The
	 * store learns of both later, in either order.
	 */
	void reassign(size_t i)
	{
		std::string old = site_.upstreams[i]->key();
		std::string to = site_.services[i] == "near" ? "far" : "near";

		if (away_[i] || present(site_.services[i]) < 2)
			return;
		stop(i, SIGKILL);
		site_.daemons[i]->wait();
		{
			std::lock_guard<std::mutex> hold(lock_);

			site_.replace_upstream(
				i, "n-" + std::to_string(++replaced_), to);
		}
		spoil(*site_.upstreams[i]);
		later_.push_back({ now_us() + pick(1500) * 1000, [this, old] {
					  site_.store->remove(old);
				  } });
		later_.push_back({ now_us() + pick(1500) * 1000,
				   [this, i, up = site_.upstreams[i].get()] {
					   if (!away_[i] &&
					       up == site_.upstreams[i].get())
						   come_back(i);
				   } });
	}
	/* Carries out the changes of the store that are due. */
	void settle(int64_t until_us)
	{
		std::vector<later> due;

		for (auto it = later_.begin(); it != later_.end();)
			if (it->at_us <= until_us) {
				due.push_back(*it);
				it = later_.erase(it);
			} else {
				++it;
			}
		for (const later &lt : due)
			lt.act();
	}
	void stop(size_t i, int sig)
	{
		site_.daemons[i]->signal(sig);
		stopped_[i] = true;
	}
	/* Starts the daemons that have ended, as the platform does. */
	void revive()
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
	/* At least one upstream of each service stays. */
	void leave(size_t i, const std::function<void()> &act)
	{
		if (away_[i] || present(site_.services[i]) < 2)
			return;
		away_[i] = true;
		act();
	}
	void come_back(size_t i)
	{
		away_[i] = false;
		site_.store->put(site_.upstreams[i]->key(),
				 site_.upstreams[i]->entry());
	}
	/* Ends all faults, and waits until everything is served everywhere. */
	void heal()
	{
		size_t gone = away_.size();

		wait_until("the daemons that were stopped", [this] {
			revive();
			return std::find(stopped_.begin(), stopped_.end(),
					 true) == stopped_.end();
		});
		site_.store->set_mode(SiteStore::ANSWERS);
		settle(INT64_MAX);
		for (size_t i = 0; i < away_.size(); i++) {
			if (away_[i] && gone == away_.size())
				gone = i;
			else
				come_back(i);
		}
		publish();
		for (size_t i = 0; i < away_.size(); i++)
			site_.wait_status(
				i, "/v" + std::to_string(version_) + "/plain",
				200);
		if (gone < away_.size())
			check_left(gone);
	}
	/* One that has left gets nothing of what is sent from now on. */
	void check_left(size_t i)
	{
		int64_t begun = now_us();
		int before;

		do {
			before = site_.upstreams[i]->runs();
			sleep_ms(1000);
		} while (site_.upstreams[i]->runs() != before &&
			 now_us() - begun < LEAVE_LIMIT_US);
		if (site_.upstreams[i]->runs() != before)
			violation("upstream " + std::to_string(i) +
				  " gets work though it left");
	}
	/* The runs of all upstreams, those that have ended too. */
	std::map<std::string, int> collect_runs()
	{
		std::map<std::string, std::string> callers;
		std::map<std::string, int> runs;

		for (const told &t : told_)
			callers[t.id] = t.caller;
		for (auto *list : { &site_.upstreams, &site_.ended_upstreams })
			for (auto &up : *list)
				for (const auto &run : up->all_runs()) {
					runs[run.first] += run.second.count;
					check_run(run.first, run.second, *up,
						  callers[run.first]);
				}
		return runs;
	}
	void check_run(const std::string &id, const SiteRun &run,
		       const SiteUpstream &up, const std::string &caller)
	{
		std::string wanted = up.service == "near" ? "/far/" : "/near/";

		if (!run.target.compare(0, wanted.size(), wanted))
			violation(id + " ran at another service");
		if (!caller.empty() && run.caller != caller)
			violation(id + " came from " + caller +
				  " and was sent as from " + run.caller);
	}
	static bool is_whole(const told &t)
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

		for (const told &t : told_) {
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
				violation(t.id + " got no upstream's answer");
		}
	}
	Site site_;
	std::mutex lock_;
	std::mt19937 random_;
	uint32_t seed_;
	int often_;
	std::vector<bool> away_, stopped_;
	std::vector<std::atomic<int>> starts_, seen_starts_;
	Relay relay_; /* before the store */
	std::vector<later> later_;
	int replaced_ = 0;
	std::atomic<int> version_{ 0 };
	std::atomic<bool> stopping_{ false };
	std::vector<told> told_;
	std::vector<std::string> violations_;
};

/* The seeds to play: those asked for, or those that failed once. */
std::vector<uint32_t> seeds()
{
	std::vector<uint32_t> out;
	int64_t count = number("SEEDS", 1);

	if (getenv("SEED") || getenv("SEEDS")) {
		for (int64_t n = 0; n < count; n++)
			out.push_back((uint32_t)(number("SEED", 1) + n));
		return out;
	}
	std::ifstream in("tests/soak-seeds.txt");
	for (std::string line; std::getline(in, line);)
		if (!line.empty() && isdigit(line[0]))
			out.push_back((uint32_t)atoll(line.c_str()));
	return out;
}

/* Guards against promises that break when several faults overlap. */
TEST(SiteSoak, KeepsThePromises)
{
	for (uint32_t seed : seeds()) {
		Soak soak(seed, (size_t)number("MACHINES", 6));
		std::vector<std::string> bad = soak.run(number("DURATION", 4));

		printf("seed %u: requests %zu, violations %zu, faults: %s\n",
		       seed, soak.requests(), bad.size(), soak.faults.c_str());
		for (size_t i = 0; i < bad.size() && i < 10; i++)
			printf("  %s\n", bad[i].c_str());
		fflush(stdout);
		EXPECT_TRUE(bad.empty()) << "seed " << seed;
	}
}

struct off_case {
	const char *off;
	const char *found; /* in the text of a violation */
	int often;	   /* the fault that it takes, or -1 */
};

/* Guards against a checker of the soak that never fails. */
TEST(SiteSoak, CheckersCatchWhatIsSwitchedOff)
{
	const off_case cases[] = {
		{ "retry-rule", " ran 2 times", -1 },
		{ "not-run-rule", " was refused and ran", -1 },
		{ "whole-answer", " got a part of its answer", -1 },
		{ "expect-instance", " ran at another service", (int)REASSIGN },
	};

	for (const off_case &c : cases) {
		bool found = false;

		for (uint32_t seed = 1; seed <= 10 && !found; seed++) {
			Soak soak(seed, 4, c.off, c.often);

			for (const std::string &text : soak.run(2))
				found |=
					text.find(c.found) != std::string::npos;
		}
		EXPECT_TRUE(found) << c.off;
	}
}

} // namespace
