#ifndef HISTORY_H
#define HISTORY_H

#include <cstdint>
#include <string>
#include <vector>

/* One send of a call as its caller saw it; each has its own nonce. */
struct CallRecord {
	std::string nonce;
	std::string key; /* "" without an idempotency key */
	std::string method;
	std::string outcome;	/* Ebonypier-Outcome; "" if there is none */
	bool connected = false; /* a daemon accepted the connection */
	bool refused = false;	/* the last send was answered "not-run" */
	bool complete = false;
	bool own = false; /* body and nonce are those expected for this call */
	long status = 0;
	int64_t start_us = 0;
	int64_t end_us = 0;
};

/* A run at an upstream; `executed` is set once the whole request is read. */
struct RunRecord {
	std::string upstream;
	std::string nonce;
	std::string key;
	std::string method;
	int64_t at_us = 0;
	bool executed = false;
};

/* The time from which an upstream was leaving until it was replaced. */
struct LeaveRecord {
	std::string upstream;
	int64_t at_us = 0;
	int64_t until_us = INT64_MAX;
};

/* A release that a daemon had in force at a point in time. */
struct ReleaseRecord {
	std::string daemon;
	int64_t release = 0;
	int64_t at_us = 0;
};

struct History {
	std::vector<CallRecord> calls;
	std::vector<RunRecord> runs;
	std::vector<LeaveRecord> leaves;
	std::vector<ReleaseRecord> releases;
	int64_t end_us = 0;
};

using Violations = std::vector<std::string>;

/* A complete answer with status 200 is unmodified and for that request. */
Violations check_own_answers(const History &h);
/* A call that was answered "not-run" has no run, before or after. */
Violations check_not_run(const History &h);
/*
 * A key is executed at most once by non-idempotent methods; a non-idempotent
 * call without a key runs at most once.
 */
Violations check_at_most_once(const History &h);
/* No run starts later than `limit_us` after its upstream began to leave. */
Violations check_leaving(const History &h, int64_t limit_us);
/* No daemon goes back to an older release. */
Violations check_releases(const History &h);
/* Every call got a complete answer with status 200; for graceful stops. */
Violations check_all_answered(const History &h);

/* Reads the file to which stand-in upstreams append their runs. */
std::vector<RunRecord> read_runs(const std::string &path);

#endif
