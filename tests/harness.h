#ifndef HARNESS_H
#define HARNESS_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/*
 * Helpers for integration tests with real processes. No result depends on the
 * machine's speed: a wait lasts until its condition holds or a process that it
 * depends on has ended. Only a wait far longer than every timer of the system
 * (90 s) counts as hung.
 */

/* The directory of the programs under test. */
std::string build_dir();

/* A directory for files of this test program, removed at its end. */
std::string temp_dir();

/* Whether a server can listen on this port of this machine now. */
bool is_free(const std::string &ip, uint16_t port);
/* A loopback port outside the range of outgoing connections. */
uint16_t free_port();
std::string loopback(uint16_t port);

int64_t now_us();
void sleep_ms(int64_t ms);

/*
 * Polls until `done` returns true; prints `what` on standard error every ten
 * seconds. Throws when the wait counts as hung.
 */
void wait_until(const std::string &what, const std::function<bool()> &done);

/* Bytes of the deterministic body that the stand-in upstream serves. */
std::string pattern(uint64_t bytes, uint64_t seed = 0);
/* XXH64 of that body, in hexadecimal, without holding it in memory. */
std::string pattern_checksum(uint64_t bytes, uint64_t seed = 0);
std::string checksum(const std::string &bytes);

/* A child process; it is always reaped, and killed by id if it still runs. */
class Process
{
public:
	Process(std::vector<std::string> argv,
		std::vector<std::string> env = {});
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	pid_t pid() const
	{
		return pid_;
	}
	bool running();
	/* Waits until the process blocks a signal or waits for signals. */
	void wait_signal_blocked(int sig);
	void signal(int sig);
	/* Waits for its end; the exit status, or 256 plus the signal. */
	int wait();
	/* SIGTERM, then wait(). */
	int stop();
	/* SIGKILL, then wait(). */
	int kill();
	/* Standard output and standard error so far. */
	std::string log() const;
	/* A field of /proc/PID/status in kB, such as VmRSS or VmHWM. */
	int64_t memory_kb(const std::string &field) const;

private:
	pid_t pid_ = -1;
	int status_ = -1;
	bool ended_ = false;
	std::string log_path_;
};

/* The value of `ebonypier_NAME` on a page of metrics; -1 if absent. */
double metric_of(const std::string &page, const std::string &name);

struct HttpRequest {
	std::string method = "GET";
	std::string url;
	std::string from;		  /* the caller's IP; "": any */
	std::vector<std::string> headers; /* "Name: value" */
	std::string body;
	uint64_t upload_bytes = 0; /* streams that much of pattern() */
	bool chunked = false;	   /* upload without Content-Length */
	bool path_as_is = true;
	/* Ends the request when no complete answer came in time; 0: never. */
	int64_t timeout_ms = 0;
	/* Keeps the answer's body; otherwise only its checksum. */
	bool keep_body = true;
	/* Called for each piece of the answer; false ends the request. */
	std::function<bool(size_t)> on_data;
	/* Called before each piece of the upload; false ends the request. */
	std::function<bool(uint64_t)> on_upload;
};

struct HttpAnswer {
	int code = 0; /* CURLcode: 0 when the answer is complete */
	long status = 0;
	std::vector<std::pair<std::string, std::string>> headers;
	std::string body;
	uint64_t body_bytes = 0;
	std::string checksum;
	long connects = 0; /* connections opened for this request */

	/* Whether it is a complete answer with this status. */
	bool complete(long wanted) const
	{
		return !code && status == wanted;
	}
	/* The last value of a header, or "". Names ignore case. */
	std::string header(const std::string &name) const;
	bool has(const std::string &name) const;
	/* A member of a JSON object in the body, as text, or "". */
	std::string json(const std::string &member) const;
	/* The header Ebonypier-Outcome. */
	std::string outcome() const
	{
		return header("Ebonypier-Outcome");
	}
};

/* An HTTP client that keeps its connections; use it from one thread. */
class HttpClient
{
public:
	HttpClient();
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;
	HttpAnswer send(const HttpRequest &rq);
	HttpAnswer get(const std::string &url);
	HttpAnswer post(const std::string &url, const std::string &body,
			std::vector<std::string> headers = {});

private:
	void *curl_;
};

/* One request over a connection of its own. */
HttpAnswer http(const HttpRequest &rq);
HttpAnswer http_get(const std::string &url);
HttpAnswer http_post(const std::string &url, const std::string &body,
		     std::vector<std::string> headers = {});

/* A TCP connection for raw bytes, such as malformed requests. */
class RawSocket
{
public:
	RawSocket(uint16_t port, int receive_buffer_bytes = 0,
		  const std::string &ip = "127.0.0.1");
	~RawSocket();
	RawSocket(const RawSocket &) = delete;
	RawSocket &operator=(const RawSocket &) = delete;
	bool connected() const
	{
		return fd_ >= 0;
	}
	/* Writes all bytes; false if the connection has ended. */
	bool send(const std::string &bytes);
	/* Reads at least one byte, at most `max`; "" at the end. */
	std::string receive(size_t max = 65536);
	/* Reads until the peer closes. */
	std::string receive_all();
	/*
	 * Reads one answer with a Content-Length or in chunks, its head
	 * included; less when the peer closes before its end.
	 */
	std::string receive_answer(bool head_only = false);
	/* Whether receive() would return at once, with bytes or at the end. */
	bool readable();
	/* Whether the peer closes before it sends anything more. */
	bool at_end();
	/* Whether the last receive() ended with a TCP reset. */
	bool was_reset() const
	{
		return was_reset_;
	}
	/* Shuts down the sending side. */
	void finish_sending();
	void close();
	/* Closes with a TCP reset. */
	void reset();

private:
	int fd_ = -1;
	bool was_reset_ = false;
	std::string left_;
};

/* The status of an HTTP/1 answer as received, or 0. */
int raw_status(const std::string &answer);

/* A member of a JSON object as text, or "". */
std::string json_member(const std::string &text, const std::string &member);

struct KeyPair {
	std::string public_key;
	std::string secret_key;
};
KeyPair new_key_pair();

struct ServiceOptions {
	ServiceOptions(std::string service, int count = 1)
		: name(std::move(service)), upstreams(count)
	{
	}
	std::string name;
	int upstreams;
	std::string path_prefix; /* "": "/NAME" */
	uint32_t deadline_ms = 30000;
	std::string rule;
};

struct FleetOptions {
	std::vector<ServiceOptions> services = { { "agenda" } };
	uint32_t slots = 6;
	uint32_t connections = 200;
	uint32_t service_us = 0;
	bool plain_peers = false;
	/* JSON of the list of rules in the release note. */
	std::string rules = "[]";
	std::vector<std::string> regions = { "santiago", "valparaiso",
					     "biobio" };
	/* start() waits until each daemon has a link to all others. */
	bool wait_links = true;
	std::vector<std::string> upstream_flags;
	std::vector<std::string> daemon_flags;
	/* "ebonypierd-test" is built with EB_TEST_SWITCHES. */
	std::string daemon_program = "ebonypierd";
	/* Name of the mechanism that ebonypierd-test switches off; "": none. */
	std::string test_off;
};

/* An upstream and its daemon. */
struct Member {
	std::string name;
	std::string service;
	std::string region;
	std::string failure_domain;
	uint16_t upstream_port = 0;
	uint16_t upstream_control_port = 0;
	uint16_t listen_port = 0;
	uint16_t daemon_port = 0;
	/* Port of a relay, for the release note; 0: daemon_port. */
	uint16_t relay_port = 0;
	uint16_t admin_port = 0;
	KeyPair keys;
	/* Port at which other daemons reach this one. */
	uint16_t peer_port() const
	{
		return relay_port ? relay_port : daemon_port;
	}
	std::unique_ptr<Process> upstream;
	std::unique_ptr<Process> daemon;

	/* URL of a path at the daemon's port for callers. */
	std::string url(const std::string &path) const;
	/* URL of a path at the upstream itself. */
	std::string direct(const std::string &path) const;
	/* Replaces the faults of the upstream; "{}" for none. */
	void fault(const std::string &json) const;
	/* JSON of GET /control/runs at the upstream: its runs or a summary. */
	std::string runs(bool summary = false) const;
	/* A number of that summary. */
	int64_t runs_count(const std::string &field) const;
	/* The last run at the upstream, as JSON. */
	std::string last_run() const;
	/* Executions of an idempotency key at this upstream. */
	int64_t executions(const std::string &key) const;
	/* A page of the daemon's admin port. */
	HttpAnswer admin(const std::string &path) const;
	/* A metric of the daemon, without the prefix `ebonypier_`. */
	double metric(const std::string &name) const;
};

/* A TCP relay in front of a port that can inject faults. */
class Relay
{
public:
	explicit Relay(uint16_t target);
	/* Replaces the faults of the link; "{}" for none. */
	void fault(const std::string &json);
	/* Resets all open connections. */
	void cut();
	/*
	 * Forwards no more bytes on open connections, in one or both
	 * directions; new ones work.
	 */
	void silence_open(const std::string &directions = "both");
	/* A number of the relay's statistics. */
	int64_t stat(const std::string &field);

	uint16_t port;
	uint16_t control_port;
	std::unique_ptr<Process> process;
};

/* A platform, upstreams and daemons, run with a generated release note. */
class Fleet
{
public:
	explicit Fleet(const FleetOptions &options = {});
	~Fleet();
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	/*
	 * Starts everything and waits until the release is in force and
	 * the daemons are linked.
	 */
	void start();
	void start_platform();
	void start_upstream(size_t i);
	void start_daemon(size_t i);
	void wait_ready(size_t i);
	void wait_linked(size_t i);
	size_t size() const
	{
		return members.size();
	}
	Member &operator[](size_t i)
	{
		return members[i];
	}
	/* JSON of the first release note. */
	std::string note() const;
	/* Publishes a note and returns its index, 0 if it was refused. */
	int publish(const std::string &note);
	void platform_fault(const std::string &json);
	/* Sets the state of a VM in the platform's list. */
	void vm(size_t i, const std::string &state);
	int64_t platform_stat(const std::string &field);
	/* Executions of an idempotency key at all upstreams together. */
	int64_t executions(const std::string &key);
	int64_t runs_count(const std::string &field);

	FleetOptions options;
	std::vector<Member> members;
	uint16_t platform_port = 0;
	std::unique_ptr<Process> platform;
};

#endif
