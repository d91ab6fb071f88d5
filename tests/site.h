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
 * Stand-ins for the users' platform, which speak its published protocol: the
 * store, the upstreams and the settings of the daemons. Each machine has a
 * loopback IP of its own.
 */

/* A request as a server of these stand-ins has read it. */
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

/* A connection to a stand-in; the handler writes what it likes. */
class SiteConnection
{
public:
	explicit SiteConnection(int fd) : fd_(fd)
	{
	}
	~SiteConnection();
	/* Reads one request; false at the end of the connection. */
	bool read(SiteRequest &rq, bool with_body = true);
	/* Reads the body of a request that was read without it. */
	void read_body(SiteRequest &rq);
	void write(const std::string &bytes);
	/* Whether the other side has closed the connection. */
	bool closed();
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
	/* Ends all connections and takes no new ones. */
	void stop();

	const std::string address;

private:
	void accept_loop();

	Handler handler_;
	int fd_ = -1;
	std::atomic<bool> stopping_{ false };
	std::mutex lock_;
	std::set<int> open_;
	std::vector<std::thread> threads_;
	std::thread accepting_;
};

/* The platform's store, as far as the system may use it. */
class SiteStore
{
public:
	enum Mode { ANSWERS, SILENT, BUSY };

	explicit SiteStore(const std::string &ip);

	void put(const std::string &key, const std::string &value);
	void remove(const std::string &key);
	/* Watches from before now get 410. */
	void forget_history();
	void set_mode(Mode mode);
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
	std::string range(const std::string &prefix);
	std::string watch(const std::string &prefix, int64_t after,
			  int64_t wait_ms);
	std::string item_json(const std::string &key, const Item &it);

	std::mutex lock_;
	std::condition_variable changed_;
	std::map<std::string, Item> items_;
	int64_t revision_ = 1;
	int64_t history_from_ = 0;
	Mode mode_ = ANSWERS;
	std::atomic<int> calls_{ 0 };
	std::unique_ptr<SiteServer> server_;
};

/* What an upstream knows of the runs of one request. */
struct SiteRun {
	int count = 0;
	std::string target;
	std::string caller; /* service that the request says it comes from */
};

/*
 * An upstream of the platform; its faults are set by path. Requests for a path
 * with /shed in it are refused as not run.
 */
class SiteUpstream
{
public:
	/* Handles a request whose run has been counted. */
	using Run = std::function<void(SiteConnection &, const SiteRequest &)>;

	SiteUpstream(const std::string &ip, uint16_t port,
		     const std::string &id, const std::string &service);

	/* Requests whose target contains `part` are handled by `run`. */
	void on(const std::string &part, Run run);
	/* Runs of a request, by its number. */
	int runs(const std::string &request_id);
	int runs();
	std::map<std::string, SiteRun> all_runs();
	/* Ends for good; what it has run stays known. */
	void stop()
	{
		server_->stop();
	}
	/* Requests that are being handled now. */
	int active() const
	{
		return active_;
	}
	SiteRequest last();
	/* The usual answer to a request. */
	std::string answer(const SiteRequest &rq, const std::string &body,
			   const std::string &status = "200 OK") const;
	/* The answer to a request that was not run; see /shed. */
	std::string refusal(const SiteRequest &rq) const;
	std::string entry(const std::string &state = "ready") const;
	std::string key() const
	{
		return "servers/" + id;
	}

	const std::string ip;
	const std::string id;
	const std::string service;
	std::atomic<int> pace{ 100 };

private:
	void serve(SiteConnection &cn);

	uint16_t port_;
	std::mutex lock_;
	std::map<std::string, SiteRun> runs_;
	int total_ = 0;
	std::atomic<int> active_{ 0 };
	SiteRequest last_;
	std::vector<std::pair<std::string, Run>> faults_;
	std::unique_ptr<SiteServer> server_;
};

/* A store, machines with an upstream and a daemon each, and callers. */
class Site
{
public:
	/* One upstream for each entry of `services`. */
	explicit Site(const std::vector<std::string> &services);
	~Site();

	void start_daemon(size_t i);
	void start_all();
	/*
	 * The upstream of a machine has ended, and its address belongs to one
	 * of another service. Entries and the daemon are the caller's concern.
	 */
	void replace_upstream(size_t i, const std::string &id,
			      const std::string &service);
	/* The operator's state: a route for each service, and further ones. */
	void publish(int version, const std::string &more_routes = "");
	std::string route(const std::string &name, const std::string &prefix,
			  const std::string &kind, const std::string &service);
	/* Sends a request at the daemon of machine `i`. */
	HttpAnswer send(size_t i, const std::string &method,
			const std::string &path, const std::string &id,
			const std::string &body = "",
			int64_t deadline_ms = 10000);
	std::string head(const std::string &method, const std::string &path,
			 const std::string &id, const std::string &more = "");
	long ready(size_t i);
	double metric(size_t i, const std::string &name);
	uint16_t listen_port() const
	{
		return listen_port_;
	}
	std::string ip(size_t i) const;
	/* Waits until a path is served as wanted at machine `i`. */
	void wait_status(size_t i, const std::string &path, long status);

	std::unique_ptr<SiteStore> store;
	/* Where daemons find the store; a relay may stand before it. */
	std::string store_address;
	/* A mechanism of the daemons that is switched off, or "". */
	std::string test_off;
	std::vector<std::unique_ptr<SiteUpstream>> upstreams;
	std::vector<std::unique_ptr<SiteUpstream>> ended_upstreams;
	std::vector<std::unique_ptr<Process>> daemons;
	std::vector<std::string> services;

private:
	void write_settings(size_t i);

	uint16_t listen_port_, ready_port_, daemon_port_, upstream_port_;
	uint32_t net_; /* third byte of the machines' IPs */
	std::string dir_;
	std::atomic<int> next_id_{ 0 };
};

#endif
