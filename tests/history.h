#ifndef HISTORY_H
#define HISTORY_H

#include <cstdint>
#include <string>
#include <vector>

/* A call as its caller saw it; each send has a nonce of its own. */
struct CallRecord {
	std::string nonce;
	std::string key; /* "" without an idempotency key */
	std::string method;
	std::string outcome;	/* "" when there was no complete head */
	bool connected = false; /* a daemon took the connection */
	bool refused = false;	/* the last send was told "not-run" */
	bool complete = false;
	bool own = false; /* body and nonce are those of this call */
	long status = 0;
	int64_t start_us = 0;
	int64_t end_us = 0;
};

/* A run at an upstream; `executed` once the whole request was read. */
struct RunRecord {
	std::string upstream;
	std::string nonce;
	std::string key;
	std::string method;
	int64_t at_us = 0;
	bool executed = false;
};

/* The time for which an upstream was leaving, until it was replaced. */
struct LeaveRecord {
	std::string upstream;
	int64_t at_us = 0;
	int64_t until_us = INT64_MAX;
};

/* A release that a daemon had in force. */
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

/* A complete answer is the whole answer to the caller's own request. */
Violations check_own_answers(const History &h);
/* A call that was told "not-run" has no run, before or after. */
Violations check_not_run(const History &h);
/* A key, or a non-idempotent call without one, is executed at most once. */
Violations check_at_most_once(const History &h);
/* No run starts later than `limit_us` after its upstream began to leave. */
Violations check_leaving(const History &h, int64_t limit_us);
/* No daemon has an older release in force than it had before. */
Violations check_releases(const History &h);
/* Every call was answered in full; for graceful stops. */
Violations check_nothing_cut(const History &h);

/* Reads the file that stand-in upstreams append their runs to. */
std::vector<RunRecord> read_runs(const std::string &path);

#endif
