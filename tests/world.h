#ifndef WORLD_H
#define WORLD_H

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

#include "harness.h"
#include "history.h"

/*
 * Whether a caller resends a keyed call when it is unknown whether it ran. Only
 * claims on idempotency keys make that safe.
 */
const bool resend_after_unknown = true;

/* Number of upstreams in a World; half of them for each of two services. */
const size_t world_size = 6;

/* Two services with three upstreams each and a deadline of 3 s. */
FleetOptions world_options();

/* A fleet with a relay in front of each daemon that records a History. */
class World
{
public:
	explicit World(FleetOptions options = world_options());
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/* Starts caller threads that send until stop_load(). */
	void start_load(uint32_t seed, int callers = 6);
	/* Stops the callers and waits until no daemon has an active call. */
	void stop_load();
	/* Number of calls recorded so far. */
	size_t calls();
	/* Waits until `more` further calls are recorded. */
	void wait_calls(size_t more);
	/* Publishes an empty release note; returns the newest release. */
	int64_t publish();
	/* Whether daemon `i` has this release or a newer one in force. */
	bool in_force(size_t i, int64_t release);
	/* Restarts ended processes and waits until each daemon is ready. */
	void repair();
	/*
	 * Records that upstream `i` leaves; daemons can see it `hidden_us`
	 * from now.
	 */
	void leaves(size_t i, int64_t hidden_us = 0);
	/* Records the end of a leave. */
	void returned(size_t i);
	/* Sends one request with random parameters; does not record it. */
	CallRecord call(HttpClient &client, std::mt19937 &random, size_t daemon,
			const std::string &method, const std::string &key,
			const std::vector<std::string> &more = {});
	/* Records a call. */
	void add(const CallRecord &c);
	/* The history so far, with the runs of all upstreams. */
	History history();

	Fleet fleet;
	std::vector<std::unique_ptr<Relay>> relays;
	std::atomic<int64_t> release{ 1 };
	/* Whether a fault keeps platform changes from the daemons. */
	std::atomic<bool> platform_hidden{ false };
	/* Delay after which the platform's list of VMs shows a change. */
	std::atomic<int64_t> vms_lag_us{ 0 };

private:
	void caller_loop(uint32_t seed);
	void keyed_call(std::mt19937 &random);
	void poll_loop();

	std::string record_path_;
	std::mutex lock_;
	History history_;
	std::vector<std::thread> callers_;
	std::thread poller_;
	std::atomic<bool> stopping_{ false };
	std::atomic<uint64_t> next_{ 0 };
};

/* A fault of section 1.5 of the design, at one member of a World. */
struct Fault {
	const char *name;
	int64_t hold_ms; /* least time from begin to end */
	void (*begin)(World &w, size_t victim);
	void (*end)(World &w, size_t victim);
};

extern const Fault faults[];
extern const size_t fault_count;

/* The result of one schedule. */
struct Outcome {
	size_t calls = 0;
	size_t answered = 0; /* correctly, after the repair */
	Violations violations;
};

/*
 * Applies the faults under load, each to another member, then ends them,
 * restarts what has ended, and checks the history.
 */
Outcome run_schedule(World &w, const std::vector<const Fault *> &list,
		     uint32_t seed);

#endif
