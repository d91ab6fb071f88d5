#ifndef SITE_H
#define SITE_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

/*
 * Stand-ins for the users' platform that follow its published protocol: the
 * store, the upstreams, and the settings of the daemons. Each machine has its
 * own loopback IP.
 */

/* A request that a stand-in server has read. */
struct SiteRequest {
	std::string method;
	std::string target;
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;

	std::string header(const std::string &name) const
	{
		auto it = headers.find(name);

		return it == headers.end() ? "" : it->second;
	}
};

/* A connection to a stand-in; handlers write raw bytes to it. */
class SiteConnection
{
public:
	explicit SiteConnection(int fd) : fd_(fd)
	{
	}
	~SiteConnection();
	/* Reads one request; false at the end of the connection. */
	bool read(SiteRequest &rq, bool with_body = true);
	/* Reads the body after read() with `with_body` false. */
	void read_body(SiteRequest &rq);
	void write(const std::string &bytes);
	/* Whether the peer has closed the connection. */
	bool closed();
	/* Makes the close at the handler's return send a reset. */
	void reset();

	int fd() const
	{
		return fd_;
	}

private:
	bool fill();

	int fd_;
	std::string in_;
};

/* A server with a thread for each connection. */
class SiteServer
{
public:
	using Handler = std::function<void(SiteConnection &)>;

	SiteServer(const std::string &ip, uint16_t port, Handler handler);
	~SiteServer();
	/* Closes all connections, accepts no new ones, joins the threads. */
	void stop();
	/*
	 * How a server looks after a crash: it refuses connections, and closes
	 * the open ones or leaves them open; or something in front of it still
	 * accepts connections, and closes each one without an answer.
	 */
	enum Crash { REFUSES, SILENT, CUTS };

	/* For use in a handler. */
	void crash(Crash how = REFUSES);

	const std::string address;

private:
	void accept_loop();

	Handler handler_;
	int fd_ = -1;
	std::atomic<bool> stopping_{ false };
	std::atomic<bool> cutting_{ false };
	std::mutex lock_;
	std::set<int> open_;
	std::vector<std::thread> threads_;
	std::thread accepting_;
};

/* The platform's store: the part of its interface that daemons may use. */
class SiteStore
{
public:
	/* Answers; accepts requests without an answer; answers 503. */
	enum Mode { ANSWERS, SILENT, BUSY };

	explicit SiteStore(const std::string &ip);

	void put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	/* Names the era, which is 1, in all answers from now on. */
	void name_era();
	/* Takes a copy, to which restore() returns. */
	void copy();
	/*
	 * Loses all changes since copy(): the revision goes back, and the era
	 * rises. Watches from a revision that is lost get 410.
	 */
	void restore();
	/* Reads that may be stale show what the last restore() has lost. */
	void show_lost(bool shown);
	/* Does restore() between two pages of the next read that has some. */
	void restore_between_pages();
	/* Watches that start at an older revision get 410 from now on. */
	void forget_history();
	/*
	 * Ranges have pages of this many items from now on. Those that may be
	 * stale show all but the first page as it is at this moment, and name
	 * the revision of that moment or, with `name_newest`, the newest one.
	 */
	void set_pages(size_t items, bool name_newest = false);
	void set_mode(Mode mode);
	/* Handles each call by `run` instead of an answer; null: answers. */
	void set_endless(std::function<void(SiteConnection &)> run);
	/* Number of requests received, of all kinds. */
	int calls() const
	{
		return calls_;
	}

	std::string address;

private:
	struct Item {
		std::string value;
		int64_t revision;
		bool removed;
	};

	void serve(SiteConnection &cn);
	void answer(SiteConnection &cn, const std::string &target);
	/* These set the header line with the era that they answer from. */
	std::string range(const std::string &prefix, const std::string &after,
			  bool stale_ok, std::string &era);
	std::string watch(const std::string &prefix, int64_t after,
			  int64_t wait_ms, std::string &era);
	std::string item_json(const std::string &key, const Item &it);
	std::string era_line() const;
	void go_back();

	std::mutex lock_;
	std::condition_variable changed_;
	std::map<std::string, Item> items_;
	std::map<std::string, Item> copied_items_;
	int64_t copied_revision_ = 0;
	int64_t era_ = 0; /* 0: answers name none */
	bool restore_due_ = false;
	bool lost_shown_ = false;
	std::map<std::string, Item> lost_items_;
	int64_t lost_revision_ = 0;
	size_t page_items_ = 0; /* 0: all on one page */
	bool name_newest_ = false;
	std::map<std::string, Item> old_items_;
	int64_t old_revision_ = 0;
	int64_t revision_ = 1;
	int64_t history_from_ = 0;
	Mode mode_ = ANSWERS;
	std::function<void(SiteConnection &)> endless_;
	std::atomic<int> calls_{ 0 };
	std::unique_ptr<SiteServer> server_;
};

/* The runs of one request at an upstream. */
struct SiteRun {
	int count = 0;
	std::string target;
	std::string caller; /* Ebonypier-Caller-Service of the last run */
	std::vector<int64_t> begun_us; /* now_us() at the start of each run */
};

/*
 * An upstream of the platform; its faults are set by path. Requests whose path
 * contains /shed are refused as not run.
 */
class SiteUpstream
{
public:
	/* Replaces the default handling; the run has been counted already. */
	using Run = std::function<void(SiteConnection &, const SiteRequest &)>;

	SiteUpstream(const std::string &ip, uint16_t port,
		     const std::string &id, const std::string &service);

	/* Requests whose target contains `part` are handled by `run`. */
	void on(const std::string &part, Run run);
	/* Number of runs of one request. */
	int runs(const std::string &request_id);
	/* Number of runs of all requests. */
	int runs();
	std::map<std::string, SiteRun> all_runs();
	/* Ends like a process that crashes; for use in a run. */
	void crash(SiteServer::Crash how = SiteServer::REFUSES)
	{
		server_->crash(how);
	}
	/* Stops the server for good; the record of runs is kept. */
	void stop()
	{
		server_->stop();
	}
	/* Requests that are being handled now. */
	int active() const
	{
		return active_;
	}
	/* The last request that was run; its body may not have been read. */
	SiteRequest last();
	/* A complete answer with a valid stamp and load report. */
	std::string answer(const SiteRequest &rq, const std::string &body,
			   const std::string &status = "200 OK") const;
	/* The answer to a request that was refused and not run. */
	std::string refusal(const SiteRequest &rq) const;
	/* JSON of this upstream's entry in the store. */
	std::string entry(const std::string &state = "ready",
			  int seq = 1) const;
	/* Key of that entry. */
	std::string key() const
	{
		return "servers/" + id;
	}

	const std::string ip;
	const std::string id;
	const std::string service;
	/* Zone of its machine; "a" is in region "r", "b" in "r-b". */
	std::string zone = "a";
	std::atomic<int> born{ 1000 }; /* time of its start */
	std::atomic<int> pace{ 100 };  /* percent; part of the load report */
	/* Header lines of what it says of itself in its answers. */
	void say(const std::string &lines);

private:
	void serve(SiteConnection &cn);
	std::string says() const;

	uint16_t port_;
	std::mutex lock_;
	std::map<std::string, SiteRun> runs_;
	int total_ = 0;
	std::atomic<int> active_{ 0 };
	SiteRequest last_;
	std::string says_;
	mutable std::mutex says_lock_;
	std::vector<std::pair<std::string, Run>> faults_;
	std::unique_ptr<SiteServer> server_;
};

/* A store, and machines with an upstream and a daemon each. */
class Site
{
public:
	/* One upstream for each entry of `services`. */
	explicit Site(const std::vector<std::string> &services);
	~Site();

	void start_daemon(size_t i);
	void start_all();
	/*
	 * Stops the upstream of a machine and starts one of another service at
	 * its address. Leaves the store's entries and the daemon as they are.
	 */
	void replace_upstream(size_t i, const std::string &id,
			      const std::string &service);
	/* Starts a new upstream of machine `i` in place of one that crashed. */
	void restart_upstream(size_t i);
	/*
	 * Stores a new configuration: per service a safe and an unsafe route,
	 * and the routes of `more_routes` (see route()), separated by commas.
	 */
	void publish(int version, const std::string &more_routes = "");
	/*
	 * JSON of a route; `kind` is "safe" or "unsafe", `regions` the JSON
	 * of its home regions.
	 */
	std::string route(const std::string &name, const std::string &prefix,
			  const std::string &kind, const std::string &service,
			  const std::string &regions = "[]");
	/* Sends a request to the daemon of machine `i`. */
	HttpAnswer send(size_t i, const std::string &method,
			const std::string &path, const std::string &id,
			const std::string &body = "",
			int64_t deadline_ms = 10000);
	/* The request line and headers for a RawSocket. */
	std::string head(const std::string &method, const std::string &path,
			 const std::string &id, const std::string &more = "");
	/* HTTP status of the readiness page of machine `i`. */
	long ready(size_t i);
	/* A daemon's metric without the prefix `ebonypier_`; -1 if absent. */
	double metric(size_t i, const std::string &name);
	uint16_t listen_port() const
	{
		return listen_port_;
	}
	std::string ip(size_t i) const;
	/* Prints the logs of all daemons; for a test that has failed. */
	void print_logs();
	/* Waits until machine `i` answers GET `path` with this status. */
	void wait_status(size_t i, const std::string &path, long status);

	std::unique_ptr<SiteStore> store;
	/* Store address in the daemons' settings; may be that of a relay. */
	std::string store_address;
	/* Further members of all services, each followed by a comma. */
	std::string more_service;
	/* Mechanism that ebonypier-site-test switches off; "": none. */
	std::string test_off;
	std::vector<std::unique_ptr<SiteUpstream>> upstreams;
	std::vector<std::unique_ptr<SiteUpstream>> ended_upstreams;
	std::vector<std::unique_ptr<Process>> daemons;
	std::vector<std::string> services;

private:
	void write_settings(size_t i);

	uint16_t listen_port_, ready_port_, daemon_port_, upstream_port_;
	uint32_t net_;	       /* third byte of the machines' IPs */
	int reservation_ = -1; /* socket that keeps other tests off `net_` */
	std::string dir_;
	std::atomic<int> next_id_{ 0 };
};

#endif
