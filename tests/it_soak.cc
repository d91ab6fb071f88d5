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
};

class Soak
{
public:
	Soak(uint32_t seed, size_t machines, const std::string &off = "")
		: site_(services(machines)), random_(seed), seed_(seed),
		  away_(machines), stopped_(machines), starts_(machines),
		  seen_starts_(machines),
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
	/* Some requests are answered badly, as their path says. */
	void spoil(SiteUpstream &up)
	{
		up.on("/cut", [&up](SiteConnection &cn, const SiteRequest &rq) {
			std::string whole = up.answer(rq, "whole");

			cn.write(whole.substr(0, whole.size() - 2));
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
		static const char *const kinds[] = { "plain", "plain", "plain",
						     "slow",  "cut",   "extra",
						     "lost",  "shed" };
		int newest = 0;

		for (int n = 0; !stopping_; n++) {
			std::string id = std::to_string(seed_) + "-" +
					 std::to_string(i) + "-" +
					 std::to_string(n);
			std::string service = pick(2) ? "near" : "far";
			bool once = pick(2);
			std::string path = "/" + service +
					   (once ? "/once/" : "/") +
					   kinds[pick(8)];
			std::string body(once ? pick(3) * 30000 : 0, 'x');
			HttpAnswer a = site_.send(i, once ? "POST" : "GET",
						  path, id, body, 4000);

			note({ id, once, a.status, !a.code,
			       a.header("Ebonypier-Request-Id"),
			       a.header("Ebonypier-Response-Stamp") });
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
		uint32_t what = pick(14);
		size_t i = pick((uint32_t)site_.services.size());
		SiteUpstream &up = *site_.upstreams[i];
		static const char *const names[] = {
			"kill",	  "pause",  "term",   "hup",	"leave",
			"remove", "return", "change", "silent", "history",
			"busy",	  "cut",    "forget", "answers"
		};

		/* One that is being stopped gets no further signal. */
		if (what < 4 && stopped_[i])
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
		default:
			site_.store->set_mode(SiteStore::ANSWERS);
			break;
		}
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
		size_t left = 0;

		for (size_t j = i % 2; j < away_.size(); j += 2)
			left += !away_[j];
		if (away_[i] || left < 2)
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
	void check()
	{
		for (const told &t : told_) {
			int runs = 0;

			for (auto &up : site_.upstreams)
				runs += up->runs(t.id);
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
	std::vector<bool> away_, stopped_;
	std::vector<std::atomic<int>> starts_, seen_starts_;
	Relay relay_; /* before the store */
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
};

/* Guards against a checker of the soak that never fails. */
TEST(SiteSoak, CheckersCatchWhatIsSwitchedOff)
{
	const off_case cases[] = {
		{ "retry-rule", " ran 2 times" },
		{ "not-run-rule", " was refused and ran" },
	};

	for (const off_case &c : cases) {
		bool found = false;

		for (uint32_t seed = 1; seed <= 10 && !found; seed++) {
			Soak soak(seed, 4, c.off);

			for (const std::string &text : soak.run(2))
				found |=
					text.find(c.found) != std::string::npos;
		}
		EXPECT_TRUE(found) << c.off;
	}
}

} // namespace
