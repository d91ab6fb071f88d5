#ifndef LAB_H
#define LAB_H

/*
 * A small deployment on loopback for the cases of the review: the platform's
 * store (SiteStore of tests/site.h), servers of applications, and one daemon
 * beside each, started as the deploy file says. Each machine has its own
 * loopback address.
 */

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <list>
#include <mutex>
#include <set>
#include <thread>

#include "site.h"

/* False with TROUBLE=0: the case runs without its disruption. */
inline bool trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

/* The record of a case: lines with the time since its start. */
class Record
{
public:
	explicit Record(const std::string &path)
		: out_(fopen(path.c_str(), "w")), start_us_(now_us())
	{
	}
	~Record()
	{
		if (out_)
			fclose(out_);
	}
	void line(const char *fmt, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> hold(lock_);
		char text[1024];
		va_list ap;

		va_start(ap, fmt);
		vsnprintf(text, sizeof(text), fmt, ap);
		va_end(ap);
		for (FILE *to : { out_, stdout }) {
			if (!to)
				continue;
			fprintf(to, "%8.3f s  %s\n",
				(double)(now_us() - start_us_) / 1e6, text);
			fflush(to);
		}
	}

private:
	FILE *out_;
	int64_t start_us_;
	std::mutex lock_;
};

/* Where the guard reads the ids of the daemons; -1: there is no guard. */
inline int lab_guard_fd = -1;

/* Tells the guard that a daemon has been started, or (-pid) has ended. */
inline void lab_tell_guard(pid_t pid)
{
	if (lab_guard_fd >= 0 && pid &&
	    write(lab_guard_fd, &pid, sizeof(pid)) != sizeof(pid))
		abort();
}

/* Whether a process is a daemon; its id may belong to another one by now. */
inline bool lab_is_daemon(pid_t pid)
{
	std::ifstream in("/proc/" + std::to_string(pid) + "/comm");
	std::string name;

	return std::getline(in, name) && name == "ebonypier-site";
}

/* Ends the daemons that are left when the case has ended in any way. */
inline void lab_run_guard(int fd)
{
	std::set<pid_t> pids;
	pid_t pid;

	while (read(fd, &pid, sizeof(pid)) == sizeof(pid)) {
		if (pid > 0)
			pids.insert(pid);
		else
			pids.erase(-pid);
	}
	for (pid_t left : pids)
		if (lab_is_daemon(left))
			kill(left, SIGKILL);
	_exit(0);
}

inline void lab_end(int)
{
	_exit(2);
}

/*
 * Starts the guard, before the first thread. Ends the case with status 2 on a
 * signal or after `limit_s` seconds.
 */
inline void lab_guard(unsigned limit_s)
{
	int fds[2];
	pid_t pid;

	signal(SIGPIPE, SIG_IGN);
	if (pipe2(fds, O_CLOEXEC))
		_exit(2);
	pid = fork();
	if (pid < 0)
		_exit(2);
	if (!pid) {
		for (int sig : { SIGTERM, SIGINT, SIGHUP })
			signal(sig, SIG_IGN);
		close(fds[1]);
		lab_run_guard(fds[0]);
	}
	close(fds[0]);
	lab_guard_fd = fds[1];
	for (int sig : { SIGTERM, SIGINT, SIGHUP, SIGALRM, SIGABRT })
		signal(sig, lab_end);
	alarm(limit_s);
}

inline void set_reset_on_close(int fd)
{
	linger lg = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
}

/*
 * The network path to an address: passes bytes on after `delay_ms` in each
 * direction, and can reset all open connections. New ones work at once.
 */
class Path
{
public:
	Path(const std::string &ip, uint16_t port, const std::string &to_ip,
	     int delay_ms)
		: to_ip_(to_ip), port_(port), delay_us_(delay_ms * 1000),
		  server_(ip, port, [this](SiteConnection &cn) { pass(cn); })
	{
	}
	/* Resets both ends; bytes on the way are lost. Returns how many. */
	int reset_all()
	{
		int n = open_;

		generation_++;
		while (open_ && n)
			sleep_ms(1);
		return n;
	}

private:
	struct Piece {
		int64_t due_us;
		std::string bytes;
	};
	struct Side {
		int from, to;
		std::list<Piece> queue;
		bool ended = false;
	};

	static bool read_side(Side &sd, int64_t delay_us)
	{
		char buf[65536];
		ssize_t n = recv(sd.from, buf, sizeof(buf), MSG_DONTWAIT);

		if (n > 0)
			sd.queue.push_back({ now_us() + delay_us,
					     std::string(buf, (size_t)n) });
		else if (!n)
			sd.ended = true;
		return n >= 0 || errno == EAGAIN || errno == EINTR;
	}
	static bool write_side(Side &sd)
	{
		while (!sd.queue.empty() &&
		       sd.queue.front().due_us <= now_us()) {
			std::string &p = sd.queue.front().bytes;
			ssize_t n = ::send(sd.to, p.data(), p.size(),
					   MSG_NOSIGNAL | MSG_DONTWAIT);

			if (n < 0)
				return errno == EAGAIN;
			p.erase(0, (size_t)n);
			if (p.empty())
				sd.queue.pop_front();
		}
		return true;
	}
	void pass(SiteConnection &cn)
	{
		int born = generation_, one = 1;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sockaddr_in sa = {};
		Side out = { cn.fd(), fd, {} }, back = { fd, cn.fd(), {} };

		sa.sin_family = AF_INET;
		sa.sin_port = htons(port_);
		inet_pton(AF_INET, to_ip_.c_str(), &sa.sin_addr);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (connect(fd, (sockaddr *)&sa, sizeof(sa))) {
			::close(fd);
			cn.reset();
			return;
		}
		open_++;
		while (born == generation_) {
			pollfd pf[2] = {
				{ cn.fd(), (short)(out.ended ? 0 : POLLIN), 0 },
				{ fd, (short)(back.ended ? 0 : POLLIN), 0 }
			};

			poll(pf, 2, 1);
			if ((pf[0].revents && !out.ended &&
			     !read_side(out, delay_us_)) ||
			    (pf[1].revents && !back.ended &&
			     !read_side(back, delay_us_)) ||
			    !write_side(out) || !write_side(back))
				break;
			if ((out.ended && out.queue.empty()) ||
			    (back.ended && back.queue.empty()))
				break;
		}
		if (born != generation_) {
			set_reset_on_close(fd);
			set_reset_on_close(cn.fd());
		}
		::close(fd);
		open_--;
	}

	std::string to_ip_;
	uint16_t port_;
	int64_t delay_us_;
	std::atomic<int> generation_{ 0 }, open_{ 0 };
	SiteServer server_;
};

/* What a server of an application ran. */
struct LabRun {
	std::string id, method, target, body, server, service;
	int64_t at_us;
};

/*
 * A server of an application. It begins to work on a request when the whole of
 * it has arrived, and answers with its receipt.
 */
class LabServer
{
public:
	/* Replaces the answer to a request that has been run. */
	using Answer = std::function<void(SiteConnection &, SiteRequest &,
					  const std::string &)>;

	LabServer(const std::string &ip, uint16_t port, const std::string &id,
		  const std::string &service)
		: id(id), service(service),
		  address(ip + ":" + std::to_string(port)),
		  server_(ip, port, [this](SiteConnection &cn) { serve(cn); })
	{
	}
	std::string entry(const std::string &state = "ready") const
	{
		return "{\"service\":\"" + service + "\",\"address\":\"" +
		       address +
		       "\",\"zone\":\"stgo-a\",\"version\":\"v1\",\"slots\":6,"
		       "\"state\":\"" +
		       state + "\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}";
	}
	std::vector<LabRun> runs()
	{
		std::lock_guard<std::mutex> hold(lock_);

		return runs_;
	}
	std::string head(const SiteRequest &rq, const std::string &framing,
			 const std::string &status = "200 OK") const
	{
		return "HTTP/1.1 " + status + "\r\nEbonypier-Request-Id: " +
		       rq.header("ebonypier-request-id") +
		       "\r\nEbonypier-Response-Stamp: stamp-" + id +
		       "\r\nEbonypier-Server-Load: 1,0,6,100\r\n" + framing +
		       "\r\n";
	}
	std::string full(const SiteRequest &rq, const std::string &body) const
	{
		return head(rq, "Content-Length: " +
					std::to_string(body.size()) + "\r\n") +
		       body;
	}
	/* Called instead of the usual handling, before the body is read. */
	std::function<bool(SiteConnection &, SiteRequest &)> early;
	std::atomic<int> work_ms{ 20 };
	/* Longer work for targets with this text. */
	std::string slow_part;
	std::atomic<int> slow_ms{ 0 };
	std::atomic<int> begun{ 0 };

	void note(const SiteRequest &rq)
	{
		std::lock_guard<std::mutex> hold(lock_);

		runs_.push_back({ rq.header("ebonypier-request-id"), rq.method,
				  rq.target, rq.body, id, service, now_us() });
	}

	const std::string id, service, address;

private:
	/* Whether the peer has ended the connection. */
	static bool ended(SiteConnection &cn)
	{
		char byte;
		ssize_t n = recv(cn.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

		return !n || (n < 0 && errno != EAGAIN);
	}
	void serve(SiteConnection &cn)
	{
		SiteRequest rq;

		while (cn.read(rq, false)) {
			std::string want =
				rq.header("ebonypier-expect-instance");

			if (rq.target == "/health") {
				cn.write("HTTP/1.1 200 OK\r\n"
					 "Ebonypier-Instance-Id: " +
					 id +
					 "\r\nEbonypier-Server-Load: 1,0,6,100"
					 "\r\nContent-Length: 0\r\n\r\n");
				continue;
			}
			if (!want.empty() && want != id) {
				cn.read_body(rq);
				cn.write("HTTP/1.1 421 Misdirected Request\r\n"
					 "Ebonypier-Request-Id: " +
					 rq.header("ebonypier-request-id") +
					 "\r\nEbonypier-Instance-Id: " + id +
					 "\r\nContent-Length: 0\r\n\r\n");
				continue;
			}
			if (early && early(cn, rq))
				continue;
			cn.read_body(rq);
			/* A request that is cut off on its way is not run. */
			if (ended(cn))
				return;
			note(rq);
			begun++;
			sleep_ms(!slow_part.empty() &&
						 rq.target.find(slow_part) !=
							 std::string::npos
					 ? slow_ms
					 : work_ms);
			cn.write(full(rq, id + " " + rq.target));
		}
	}

	std::mutex lock_;
	std::vector<LabRun> runs_;
	SiteServer server_;
};

/* The deployment. */
class Lab
{
public:
	explicit Lab(const std::vector<std::string> &list) : services(list)
	{
		do {
			net_ = (uint32_t)(getpid() + 7 * tries_++) % 200 + 20;
		} while (!is_free(ip(0), 9464));
		listen_port = free_port();
		ready_port_ = free_port();
		peer_port = free_port();
		app_port_ = free_port();
		store = std::make_unique<SiteStore>("127.0.0.1");
		store_address = store->address;
		put = [this](const std::string &key, const std::string &value) {
			store->put(key, value);
		};
		for (size_t i = 0; i < services.size(); i++)
			servers.push_back(std::make_unique<LabServer>(
				ip(i), app_port_, "i-" + std::to_string(i),
				services[i]));
		own_ip.resize(services.size());
		daemons.resize(services.size());
	}
	~Lab()
	{
		for (size_t i = 0; i < daemons.size(); i++)
			end_daemon(i);
	}
	/* Ends a daemon, if it runs. */
	void end_daemon(size_t i)
	{
		pid_t pid = daemons[i] ? daemons[i]->pid() : 0;

		daemons[i].reset();
		lab_tell_guard(-pid);
	}
	std::string ip(size_t i) const
	{
		return "127.1." + std::to_string(net_) + "." +
		       std::to_string(i + 1);
	}
	/* JSON of a route. */
	std::string route(const std::string &name, const std::string &prefix,
			  const std::string &kind,
			  const std::string &service) const
	{
		return "\"" + name +
		       "\":{\"host\":\"hielo.example\",\"prefix\":\"" + prefix +
		       "\",\"kind\":\"" + kind +
		       "\",\"timeoutMs\":2500,\"sloMs\":400,\"priority\":1,"
		       "\"service\":\"" +
		       service + "\",\"attempts\":3}";
	}
	void publish(int version, const std::string &routes)
	{
		std::set<std::string> names(services.begin(), services.end());
		std::string list;

		for (const std::string &name : names)
			list += (list.empty() ? "" : ",") + ("\"" + name) +
				"\":{\"healthPath\":\"/health\","
				"\"maxConns\":220,\"protocol\":\"h1\","
				"\"tls\":false}";
		put("op/config", "{\"version\":" + std::to_string(version) +
					 ",\"routes\":{" + routes +
					 "},\"services\":{" + list +
					 "},\"limits\":{\"headerBytes\":16384,"
					 "\"maxBodyBytes\":8388608,"
					 "\"headerTimeoutMs\":5000,"
					 "\"idleTimeoutMs\":30000}}");
	}
	/* The settings of a machine, from the template of the deploy file. */
	void write_settings(size_t i)
	{
		std::string own = own_ip[i].empty() ? ip(i) : own_ip[i];
		auto at = [](const std::string &host, uint16_t port) {
			return "\"" + host + ":" + std::to_string(port) + "\"";
		};
		std::ofstream out(settings(i));

		out << "{\"node\":\"sidecar-stgo-a-" << i + 1
		    << "\",\"role\":\"daemon\",\"machineClass\":\"sidecar\","
		       "\"serves\":[\"sidecar\"],\"ip\":\""
		    << own
		    << "\",\"zone\":\"stgo-a\",\"region\":\"santiago\","
		       "\"lossCounted\":false,\"bootstrap\":"
		    << (first_start ? "true" : "false")
		    << ",\"dataDir\":null,"
		       "\"limits\":{\"cpuShare\":0.2,\"cpuSpeed\":1,"
		       "\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,"
		       "\"diskMb\":0},\"appAddr\":"
		    << at(ip(i), app_port_) << ",\"service\":\"" << services[i]
		    << "\",\"listen\":{\"inbound\":\"\",\"outbound\":"
		    << at(ip(i), listen_port)
		    << ",\"ready\":" << at(ip(i), ready_port_)
		    << "},\"portRange\":[" << peer_port << "," << peer_port
		    << "],\"seeds\":[],\"zones\":{\"stgo-a\":\"santiago\"},"
		       "\"discovery\":\"platform\",\"entry\":\"static\","
		       "\"heartbeatMs\":1500,\"platform\":{\"address\":\""
		    << store_address
		    << "\",\"form\":\"read\",\"writesPerS\":400,"
		       "\"readsPerS\":2000,\"historyS\":20,"
		       "\"valueBytes\":1048576,\"ttlMinMs\":1000},"
		       "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
		       "\"retry\",\"recover\",\"health\",\"platform\"],"
		       "\"tolerate\":{\"machines\":2,\"zones\":0,"
		       "\"regions\":0},\"bounds\":{\"seedLagS\":3,"
		       "\"reuseAfterS\":2,\"stableWindowMs\":3000,"
		       "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
		       "\"graceS\":6,\"lostSlackMs\":200,\"configMs\":2000,"
		       "\"backSlackMs\":250,\"maxStretchMs\":5000,"
		       "\"budgetRatio\":0.2,\"budgetWindowS\":10,"
		       "\"budgetExtra\":56,\"recoverS\":15,"
		       "\"probesPerS\":60}}";
	}
	void start_daemon(size_t i)
	{
		write_settings(i);
		end_daemon(i);
		daemons[i] = std::make_unique<Process>(
			std::vector<std::string>{ build_dir() +
						  "/ebonypier-site" },
			std::vector<std::string>{ "EBONYPIER_BOOT=" +
						  settings(i) });
		lab_tell_guard(daemons[i]->pid());
	}
	bool ready(size_t i)
	{
		return http_get("http://" + ip(i) + ":" +
				std::to_string(ready_port_) + "/ready")
			       .status == 200;
	}
	void start(const std::string &routes)
	{
		for (auto &sv : servers)
			put("servers/" + sv->id, sv->entry());
		publish(1, routes);
		sleep_ms(settle_ms);
		for (size_t i = 0; i < services.size(); i++)
			start_daemon(i);
		for (size_t i = 0; i < services.size(); i++)
			wait_until("a daemon to be ready",
				   [&] { return ready(i); });
		/* As on the platform, traffic starts 8 s after the machines. */
		sleep_ms(8000);
		first_start = false;
	}
	std::string head(const std::string &method, const std::string &target,
			 const std::string &id, int64_t deadline_ms,
			 const std::string &more = "") const
	{
		return method + " " + target +
		       " HTTP/1.1\r\nHost: hielo.example\r\n"
		       "Ebonypier-Request-Id: " +
		       id + "\r\nEbonypier-Deadline-Ms: " +
		       std::to_string(deadline_ms) + "\r\n" + more + "\r\n";
	}
	/* A consumer's request on a connection of its own. */
	HttpAnswer send(size_t i, const std::string &method,
			const std::string &target, const std::string &id,
			int64_t deadline_ms = 2000)
	{
		HttpRequest rq;

		rq.method = method;
		rq.url = "http://" + ip(i) + ":" + std::to_string(listen_port) +
			 target;
		rq.headers = { "Host: hielo.example",
			       "Ebonypier-Request-Id: " + id,
			       "Ebonypier-Deadline-Ms: " +
				       std::to_string(deadline_ms) };
		rq.timeout_ms = deadline_ms + 2000;
		return http(rq);
	}

	uint16_t listen_port, peer_port;
	bool first_start = true;
	/* Time between the first writes to the store and the daemons' start. */
	int settle_ms = 0;
	std::vector<std::string> services;
	/* Where a daemon binds for its peers, if a Path stands before it. */
	std::vector<std::string> own_ip;
	std::unique_ptr<SiteStore> store;
	/* Another store, if a case needs one of its own. */
	std::string store_address;
	std::function<void(const std::string &, const std::string &)> put;
	std::vector<std::unique_ptr<LabServer>> servers;
	std::vector<std::unique_ptr<Process>> daemons;

private:
	std::string settings(size_t i) const
	{
		return temp_dir() + "/boot-" + std::to_string(net_) + "-" +
		       std::to_string(i);
	}

	uint32_t net_ = 0, tries_ = 0;
	uint16_t ready_port_, app_port_;
};

#endif
