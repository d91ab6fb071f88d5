#ifndef COMMON_2_H
#define COMMON_2_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

/*
 * What the cases of the second review share: machines with a daemon and a
 * backend each, with the settings of a small deployment, and a path from each
 * machine to the platform's store that can be cut.
 */

/* Whether the run has its disruption: TROUBLE=0 leaves it out. */
inline bool with_trouble()
{
	const char *text = getenv("TROUBLE");

	return !text || std::string(text) != "0";
}

/* Writes record.txt; lines have the time since the start in ms. */
class Record
{
public:
	explicit Record(const std::string &path) : out_(path), start_(now_us())
	{
	}
	void line(const std::string &text)
	{
		std::lock_guard<std::mutex> hold(lock_);

		out_ << (now_us() - start_) / 1000 << " ms  " << text
		     << std::endl;
	}

private:
	std::mutex lock_;
	std::ofstream out_;
	int64_t start_;
};

/*
 * The path from one machine to the store. While it is cut, no byte passes in
 * either direction and new connections get no answer; the connections of that
 * time stay silent for good. Answers take `delay_ms` longer.
 */
class Path
{
public:
	Path(const std::string &ip, const std::string &target)
		: port(free_port()), target_(target)
	{
		sockaddr_in sa = {};
		int one = 1;

		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		sa.sin_family = AF_INET;
		sa.sin_port = htons(port);
		inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
		if (bind(fd_, (sockaddr *)&sa, sizeof(sa)) || listen(fd_, 64))
			throw std::runtime_error("no port for a path");
		address = ip + ":" + std::to_string(port);
		accepting_ = std::thread([this] { accept_all(); });
	}
	~Path()
	{
		stopping_ = true;
		shutdown(fd_, SHUT_RDWR);
		accepting_.join();
		close(fd_);
		for (std::thread &t : threads_)
			t.join();
	}
	/* Whether a call has not been answered yet. */
	bool waits() const
	{
		return waiting_ > 0;
	}
	void cut()
	{
		generation_++;
		cut_ = true;
	}
	void heal()
	{
		generation_++;
		answered_us = 0;
		cut_ = false;
	}

	std::string address;
	uint16_t port;
	std::atomic<int> delay_ms{ 0 };
	std::atomic<int> requests{ 0 };
	/* Called for each call; the call passes if it returns true. */
	std::function<bool()> admit;
	/* When an answer passed first after heal(); 0: not yet. */
	std::atomic<int64_t> answered_us{ 0 };

private:
	void accept_all()
	{
		int fd;

		while ((fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0)
			threads_.emplace_back([this, fd] { pass(fd); });
	}
	int dial()
	{
		size_t colon = target_.find(':');
		sockaddr_in sa = {};
		int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		sa.sin_family = AF_INET;
		sa.sin_port = htons(
			(uint16_t)atoi(target_.c_str() + colon + 1));
		inet_pton(AF_INET, target_.substr(0, colon).c_str(),
			  &sa.sin_addr);
		if (connect(fd, (sockaddr *)&sa, sizeof(sa))) {
			close(fd);
			return -1;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		return fd;
	}
	void pass(int fd)
	{
		int generation = generation_, out = dial(), one = 1;
		pollfd pf[2] = { { fd, POLLIN, 0 }, { out, POLLIN, 0 } };
		char buf[65536];
		bool silent = cut_, asked = false;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		while (out >= 0 && !stopping_) {
			if (poll(pf, 2, 20) < 0)
				break;
			silent |= generation != generation_;
			for (int i = 0; i < 2; i++) {
				if (!pf[i].revents)
					continue;
				ssize_t n = recv(pf[i].fd, buf, sizeof(buf), 0);

				if (n <= 0)
					goto end;
				if (i == 0 && !silent && admit && !admit())
					silent = true;
				if (silent)
					continue;
				requests += i == 0;
				if (asked != (i == 0))
					waiting_ += i == 0 ? 1 : -1;
				asked = i == 0;
				if (i == 1 && delay_ms)
					sleep_ms(delay_ms);
				if (i == 1 && !answered_us)
					answered_us = now_us();
				if (send(pf[1 - i].fd, buf, (size_t)n,
					 MSG_NOSIGNAL) != n)
					goto end;
			}
		}
	end:
		waiting_ -= asked;
		close(fd);
		if (out >= 0)
			close(out);
	}

	std::string target_;
	std::atomic<int> waiting_{ 0 };
	int fd_;
	std::atomic<bool> cut_{ false };
	std::atomic<bool> stopping_{ false };
	std::atomic<int> generation_{ 0 };
	std::vector<std::thread> threads_;
	std::thread accepting_;
};

/* A backend, its machine's daemon and the machine's path to the store. */
struct Machine {
	std::string ip;
	std::unique_ptr<SiteUpstream> backend;
	std::unique_ptr<Path> path;
	std::unique_ptr<Process> daemon;
};

class Machines
{
public:
	/* `bounds` is the JSON of the bounds, `slots` that of each backend. */
	Machines(const std::vector<std::string> &services,
		 const std::string &bounds, int slots)
		: bounds_(bounds), slots_(slots)
	{
		do {
			net_ = 20 + (getpid() + tries_++) % 200;
		} while (!is_free(ip(0), 9464));
		listen_ = free_port();
		ready_ = free_port();
		peers_ = free_port();
		backend_ = free_port();
		store = std::make_unique<SiteStore>("127.0.0.1");
		for (size_t i = 0; i < services.size(); i++) {
			Machine m;

			m.ip = ip(i);
			m.backend = std::make_unique<SiteUpstream>(
				m.ip, backend_, "i-" + std::to_string(i),
				services[i]);
			m.path = std::make_unique<Path>("127.0.0.1",
							store->address);
			list.push_back(std::move(m));
		}
	}
	Machine &operator[](size_t i)
	{
		return list[i];
	}
	/* A backend's entry; `born` differs by start. */
	std::string entry(size_t i, const std::string &state, int seq = 1)
	{
		return "{\"service\":\"" + list[i].backend->service +
		       "\",\"address\":\"" + list[i].ip + ":" +
		       std::to_string(backend_) +
		       "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" +
		       std::to_string(slots_) + ",\"state\":\"" + state +
		       "\",\"coldLeftMs\":0,\"seq\":" + std::to_string(seq) +
		       ",\"born\":1765000000000}";
	}
	void publish_all(const std::string &config)
	{
		store->put("op/config", config);
		for (size_t i = 0; i < list.size(); i++)
			store->put(list[i].backend->key(), entry(i, "ready"));
	}
	void write_settings(size_t i, bool first, const std::string &address)
	{
		std::string file = settings_file(i);
		std::ofstream out(file + ".new");
		auto at = [&](uint16_t port) {
			return "\"" + list[i].ip + ":" + std::to_string(port) +
			       "\"";
		};

		out << "{\"node\":\"sidecar-a-" << i + 1
		    << "\",\"role\":\"daemon\",\"machineClass\":\"sidecar\","
		       "\"serves\":[\"sidecar\"],\"ip\":\""
		    << list[i].ip
		    << "\",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":"
		       "\"r\"},\"listen\":{\"inbound\":"
		    << at(0) << ",\"outbound\":" << at(listen_)
		    << ",\"ready\":" << at(ready_) << "},\"portRange\":["
		    << peers_ << "," << peers_
		    << "],\"seeds\":[],\"bootstrap\":"
		    << (first ? "true" : "false")
		    << ",\"lossCounted\":false,\"limits\":{\"cpuShare\":0.2,"
		       "\"cpuSpeed\":1,\"memoryMb\":260,\"maxFds\":4100,"
		       "\"linkMbps\":"
		    << link_mbps
		    << ",\"diskMb\":0},\"dataDir\":null,"
		       "\"discovery\":\"platform\",\"entry\":\"static\","
		       "\"heartbeatMs\":1500,\"contracts\":[\"base\","
		       "\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
		       "\"health\",\"platform\"],\"tolerate\":{\"machines\":2,"
		       "\"zones\":0,\"regions\":0},\"bounds\":"
		    << bounds_ << ",\"appAddr\":" << at(backend_)
		    << ",\"service\":\"" << list[i].backend->service
		    << "\",\"platform\":{\"address\":\"" << address
		    << "\",\"form\":\"read\",\"writesPerS\":400,"
		       "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":"
		       "1048576,\"ttlMinMs\":1000}}";
		out.close();
		rename((file + ".new").c_str(), file.c_str());
	}
	void start(size_t i, bool first = true)
	{
		list[i].daemon.reset();
		write_settings(i, first, list[i].path->address);
		list[i].daemon = std::make_unique<Process>(
			std::vector<std::string>{ build_dir() +
						  "/ebonypier-site" },
			std::vector<std::string>{ "EBONYPIER_BOOT=" +
						  settings_file(i) });
	}
	void start_all()
	{
		for (size_t i = 0; i < list.size(); i++)
			start(i);
	}
	bool ready(size_t i)
	{
		return http_get("http://" + list[i].ip + ":" +
				std::to_string(ready_) + "/ready")
			       .status == 200;
	}
	void wait_ready()
	{
		for (size_t i = 0; i < list.size(); i++)
			wait_until("readiness", [&] { return ready(i); });
	}
	/* A request of a consumer on machine `i`. */
	HttpRequest request(size_t i, const std::string &method,
			    const std::string &path, const std::string &id,
			    int64_t deadline_ms)
	{
		HttpRequest rq;

		rq.method = method;
		rq.url = "http://" + list[i].ip + ":" +
			 std::to_string(listen_) + path;
		rq.headers = { "Host: site.example",
			       "Ebonypier-Request-Id: " + id,
			       "Ebonypier-Deadline-Ms: " +
				       std::to_string(deadline_ms) };
		rq.timeout_ms = deadline_ms;
		return rq;
	}
	void print_logs(const std::string &file)
	{
		std::ofstream out(file);

		for (size_t i = 0; i < list.size(); i++)
			if (list[i].daemon)
				out << "--- machine " << i << "\n"
				    << list[i].daemon->log();
	}
	std::string settings_file(size_t i) const
	{
		return temp_dir() + "/settings-" + std::to_string(i);
	}
	/* The name of a backend in the daemons: its address with a dash. */
	std::string name(size_t i) const
	{
		return ip(i) + "-" + std::to_string(backend_);
	}
	std::string ip(size_t i) const
	{
		return "127.2." + std::to_string(net_) + "." +
		       std::to_string(i + 1);
	}
	uint16_t listen_port() const
	{
		return listen_;
	}

	std::unique_ptr<SiteStore> store;
	std::vector<Machine> list;
	/* Bandwidth of each machine's link in the settings. */
	int link_mbps = 1000;

private:
	std::string bounds_;
	int slots_, net_, tries_ = 0;
	uint16_t listen_, ready_, peers_, backend_;
};

/* JSON of a route and of a service of the desired state. */
inline std::string route(const std::string &name, const std::string &prefix,
			 const std::string &kind, const std::string &service,
			 int timeout_ms, int slo_ms)
{
	return "\"" + name +
	       "\":{\"host\":\"site.example\",\"prefix\":\"" + prefix +
	       "\",\"kind\":\"" + kind +
	       "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
	       ",\"sloMs\":" + std::to_string(slo_ms) +
	       ",\"priority\":1,\"service\":\"" + service +
	       "\",\"attempts\":2}";
}

inline std::string service(const std::string &name)
{
	return "\"" + name +
	       "\":{\"healthPath\":\"/health\",\"maxConns\":220,"
	       "\"protocol\":\"h1\",\"tls\":false}";
}

inline std::string config(int version, const std::string &routes,
			  const std::string &services)
{
	return "{\"version\":" + std::to_string(version) + ",\"routes\":{" +
	       routes + "},\"services\":{" + services +
	       "},\"limits\":{\"headerBytes\":16384,\"maxBodyBytes\":67108864,"
	       "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

#endif
