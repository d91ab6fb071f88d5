#include "site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace
{

std::string lower(std::string text)
{
	std::transform(text.begin(), text.end(), text.begin(), ::tolower);
	return text;
}

int listen_on(const std::string &ip, uint16_t port)
{
	sockaddr_in sa = {};
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (sockaddr *)&sa, sizeof(sa)) || listen(fd, 128))
		throw std::runtime_error("cannot listen on " + ip + ":" +
					 std::to_string(port));
	return fd;
}

std::string base64(const std::string &bytes)
{
	std::string out(sodium_base64_encoded_len(
				bytes.size(), sodium_base64_VARIANT_ORIGINAL),
			0);

	sodium_bin2base64(&out[0], out.size(),
			  (const unsigned char *)bytes.data(), bytes.size(),
			  sodium_base64_VARIANT_ORIGINAL);
	out.resize(strlen(out.c_str()));
	return out;
}

/* Replaces %XX by the byte that it stands for. */
std::string unescape(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i < text.size(); i++) {
		if (text[i] == '%' && i + 2 < text.size()) {
			out += (char)std::stoi(text.substr(i + 1, 2), nullptr,
					       16);
			i += 2;
		} else {
			out += text[i];
		}
	}
	return out;
}

/* The value of a query parameter, or "". */
std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find(name + "=");

	if (at == std::string::npos)
		return "";
	at += name.size() + 1;
	return target.substr(at, target.find('&', at) - at);
}

} // namespace

SiteConnection::~SiteConnection()
{
	::close(fd_);
}

bool SiteConnection::fill()
{
	char buf[65536];
	ssize_t n = recv(fd_, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	in_.append(buf, (size_t)n);
	return true;
}

bool SiteConnection::read(SiteRequest &rq, bool with_body)
{
	size_t end, at, line;

	while ((end = in_.find("\r\n\r\n")) == std::string::npos)
		if (!fill())
			return false;
	rq = SiteRequest();
	line = in_.find("\r\n");
	rq.method = in_.substr(0, in_.find(' '));
	at = rq.method.size() + 1;
	rq.target = in_.substr(at, in_.find(' ', at) - at);
	for (at = line + 2; at < end + 2; at = line + 2) {
		size_t colon = in_.find(':', at);

		line = in_.find("\r\n", at);
		rq.headers[lower(in_.substr(at, colon - at))] =
			in_.substr(colon + 2, line - colon - 2);
	}
	in_.erase(0, end + 4);
	if (with_body)
		read_body(rq);
	return true;
}

void SiteConnection::read_body(SiteRequest &rq)
{
	size_t length = (size_t)atoll(rq.header("content-length").c_str());

	if (rq.header("transfer-encoding") == "chunked") {
		for (;;) {
			size_t end, n;

			while ((end = in_.find("\r\n")) == std::string::npos)
				if (!fill())
					return;
			n = strtoul(in_.c_str(), nullptr, 16);
			while (in_.size() < end + 2 + n + 2)
				if (!fill())
					return;
			rq.body += in_.substr(end + 2, n);
			in_.erase(0, end + 2 + n + 2);
			if (!n)
				return;
		}
	}
	while (in_.size() < length)
		if (!fill())
			return;
	rq.body = in_.substr(0, length);
	in_.erase(0, length);
}

void SiteConnection::write(const std::string &bytes)
{
	size_t at = 0;

	while (at < bytes.size()) {
		ssize_t n = ::send(fd_, bytes.data() + at, bytes.size() - at,
				   MSG_NOSIGNAL);

		if (n <= 0)
			return;
		at += (size_t)n;
	}
}

bool SiteConnection::closed()
{
	pollfd pf = { fd_, POLLRDHUP, 0 };

	return poll(&pf, 1, 0) > 0;
}

void SiteConnection::reset()
{
	linger lg = { 1, 0 };

	setsockopt(fd_, SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
	shutdown(fd_, SHUT_RD);
}

SiteServer::SiteServer(const std::string &ip, uint16_t port, Handler handler)
	: address(ip + ":" + std::to_string(port)), handler_(handler)
{
	fd_ = listen_on(ip, port);
	accepting_ = std::thread([this] { accept_loop(); });
}

SiteServer::~SiteServer()
{
	stop();
}

void SiteServer::crash(Crash how)
{
	std::lock_guard<std::mutex> hold(lock_);

	cutting_ = how == CUTS;
	if (how != CUTS)
		shutdown(fd_, SHUT_RDWR);
	if (how == SILENT)
		return;
	for (int fd : open_)
		shutdown(fd, SHUT_RDWR);
}

void SiteServer::stop()
{
	if (stopping_.exchange(true))
		return;
	crash();
	accepting_.join();
	close(fd_);
	crash();
	for (std::thread &t : threads_)
		t.join();
}

void SiteServer::accept_loop()
{
	int fd, one = 1;

	while ((fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
		std::lock_guard<std::mutex> hold(lock_);

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		open_.insert(fd);
		threads_.emplace_back([this, fd] {
			SiteConnection cn(fd);
			SiteRequest rq;

			if (cutting_)
				cn.read(rq, false);
			else
				handler_(cn);
			std::lock_guard<std::mutex> hold2(lock_);
			open_.erase(fd);
		});
	}
}

/* ---- Store ---- */

SiteStore::SiteStore(const std::string &ip)
{
	server_ = std::make_unique<SiteServer>(
		ip, free_port(), [this](SiteConnection &cn) { serve(cn); });
	address = server_->address;
}

void SiteStore::put(const std::string &key, const std::string &value)
{
	std::lock_guard<std::mutex> hold(lock_);

	items_[key] = { value, ++revision_, false };
	changed_.notify_all();
}

void SiteStore::remove(const std::string &key)
{
	std::lock_guard<std::mutex> hold(lock_);

	items_[key] = { "", ++revision_, true };
	changed_.notify_all();
}

void SiteStore::name_era()
{
	std::lock_guard<std::mutex> hold(lock_);

	era_ = 1;
}

void SiteStore::copy()
{
	std::lock_guard<std::mutex> hold(lock_);

	copied_items_ = items_;
	copied_revision_ = revision_;
}

void SiteStore::show_lost(bool shown)
{
	std::lock_guard<std::mutex> hold(lock_);

	lost_shown_ = shown;
}

void SiteStore::go_back()
{
	lost_items_ = items_;
	lost_revision_ = revision_;
	items_ = copied_items_;
	revision_ = copied_revision_;
	history_from_ = std::min(history_from_, revision_);
	era_ += era_ > 0;
	changed_.notify_all();
}

void SiteStore::restore()
{
	std::lock_guard<std::mutex> hold(lock_);

	go_back();
}

void SiteStore::restore_between_pages()
{
	std::lock_guard<std::mutex> hold(lock_);

	restore_due_ = true;
}

void SiteStore::forget_history()
{
	std::lock_guard<std::mutex> hold(lock_);

	for (auto it = items_.begin(); it != items_.end();)
		it = it->second.removed ? items_.erase(it) : std::next(it);
	history_from_ = ++revision_;
	changed_.notify_all();
}

void SiteStore::set_mode(Mode mode)
{
	std::lock_guard<std::mutex> hold(lock_);

	mode_ = mode;
	changed_.notify_all();
}

void SiteStore::set_endless(std::function<void(SiteConnection &)> run)
{
	std::lock_guard<std::mutex> hold(lock_);

	endless_ = run;
	changed_.notify_all();
}

void SiteStore::serve(SiteConnection &cn)
{
	std::function<void(SiteConnection &)> endless;
	std::string era;
	SiteRequest rq;
	Mode mode;

	while (cn.read(rq)) {
		calls_++;
		{
			std::lock_guard<std::mutex> hold(lock_);
			mode = mode_;
			era = era_line();
			endless = endless_;
		}
		if (mode == SILENT)
			continue;
		if (endless) {
			endless(cn);
			return;
		}
		if (mode == BUSY)
			cn.write("HTTP/1.1 503 Busy\r\n" + era +
				 "Content-Length: 0\r\n\r\n");
		else
			answer(cn, rq.target);
	}
}

void SiteStore::answer(SiteConnection &cn, const std::string &target)
{
	std::string body, era, status = "200 OK";

	if (target.find("/v1/kv-range") == 0)
		body = range(query(target, "prefix"),
			     unescape(query(target, "after")),
			     query(target, "staleOk") == "1", era);
	else
		body = watch(query(target, "prefix"),
			     atoll(query(target, "after").c_str()),
			     atoll(query(target, "waitMs").c_str()), era);
	if (body == "410")
		status = "410 Gone";
	if (body == "silent")
		return;
	cn.write("HTTP/1.1 " + status + "\r\n" + era + "Content-Length: " +
		 std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string SiteStore::era_line() const
{
	return era_ ? "Store-Era: " + std::to_string(era_) + "\r\n" : "";
}

std::string SiteStore::item_json(const std::string &key, const Item &it)
{
	std::string head = "{\"key\":\"" + key +
			   "\",\"rev\":" + std::to_string(it.revision);

	if (it.removed)
		return head + ",\"tombstone\":true}";
	return head + ",\"created\":1,\"lease\":0,\"value\":\"" +
	       base64(it.value) + "\"}";
}

void SiteStore::set_pages(size_t items, bool name_newest)
{
	std::lock_guard<std::mutex> hold(lock_);

	page_items_ = items;
	name_newest_ = name_newest;
	old_items_ = items_;
	old_revision_ = revision_;
}

std::string SiteStore::range(const std::string &prefix,
			     const std::string &after, bool stale_ok,
			     std::string &era)
{
	std::lock_guard<std::mutex> hold(lock_);
	bool old = stale_ok && !after.empty() && page_items_;
	bool lost = stale_ok && lost_shown_;
	std::string list;
	size_t n = 0;
	bool more = false;

	if (restore_due_ && !after.empty()) {
		restore_due_ = false;
		go_back();
	}
	era = era_line();
	for (const auto &pair : lost  ? lost_items_
				: old ? old_items_
				      : items_) {
		if (pair.second.removed || pair.first.find(prefix) != 0 ||
		    pair.first <= after)
			continue;
		more = page_items_ && n == page_items_;
		if (more)
			break;
		n++;
		list += (list.empty() ? "" : ",") +
			item_json(pair.first, pair.second);
	}
	return "{\"items\":[" + list +
	       "],\"hasMore\":" + (more ? "true" : "false") +
	       ",\"storeRevision\":" +
	       std::to_string(lost		     ? lost_revision_
			      : old && !name_newest_ ? old_revision_
						     : revision_) +
	       "}";
}

std::string SiteStore::watch(const std::string &prefix, int64_t after,
			     int64_t wait_ms, std::string &era)
{
	std::unique_lock<std::mutex> hold(lock_);
	auto until = std::chrono::steady_clock::now() +
		     std::chrono::milliseconds(wait_ms);

	for (bool last = false;;) {
		std::string list;

		era = era_line();
		if (mode_ == SILENT)
			return "silent";
		if (after < history_from_ || after > revision_)
			return "410";
		for (const auto &pair : items_)
			if (pair.second.revision > after &&
			    pair.first.find(prefix) == 0)
				list += (list.empty() ? "" : ",") +
					item_json(pair.first, pair.second);
		if (!list.empty() || last)
			return "{\"events\":[" + list + "],\"storeRevision\":" +
			       std::to_string(revision_) + "}";
		/*
		 * A change may come between the timeout and the lock: look
		 * once more after a timeout.
		 */
		last = changed_.wait_until(hold, until) ==
		       std::cv_status::timeout;
	}
}

/* ---- Upstream ---- */

SiteUpstream::SiteUpstream(const std::string &at, uint16_t port,
			   const std::string &name, const std::string &of)
	: ip(at), id(name), service(of), port_(port)
{
	server_ = std::make_unique<SiteServer>(
		ip, port, [this](SiteConnection &cn) { serve(cn); });
}

void SiteUpstream::on(const std::string &part, Run run)
{
	std::lock_guard<std::mutex> hold(lock_);

	faults_.emplace_back(part, run);
}

int SiteUpstream::runs(const std::string &request_id)
{
	std::lock_guard<std::mutex> hold(lock_);

	auto it = runs_.find(request_id);

	return it == runs_.end() ? 0 : it->second.count;
}

std::map<std::string, SiteRun> SiteUpstream::all_runs()
{
	std::lock_guard<std::mutex> hold(lock_);

	return runs_;
}

int SiteUpstream::runs()
{
	std::lock_guard<std::mutex> hold(lock_);

	return total_;
}

SiteRequest SiteUpstream::last()
{
	std::lock_guard<std::mutex> hold(lock_);

	return last_;
}

std::string SiteUpstream::answer(const SiteRequest &rq, const std::string &body,
				 const std::string &status) const
{
	return "HTTP/1.1 " + status + "\r\n" + says() +
	       "Ebonypier-Request-Id: " + rq.header("ebonypier-request-id") +
	       "\r\nEbonypier-Response-Stamp: stamp-" + id +
	       "\r\nEbonypier-Server-Load: 1,0,6," + std::to_string(pace) +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

std::string SiteUpstream::says() const
{
	std::lock_guard<std::mutex> hold(says_lock_);

	return says_;
}

void SiteUpstream::say(const std::string &lines)
{
	std::lock_guard<std::mutex> hold(says_lock_);

	says_ = lines;
}

std::string SiteUpstream::refusal(const SiteRequest &rq) const
{
	return "HTTP/1.1 503 Busy\r\nEbonypier-Request-Id: " +
	       rq.header("ebonypier-request-id") +
	       "\r\nEbonypier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string SiteUpstream::entry(const std::string &state, int seq) const
{
	return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" +
	       std::to_string(port_) + "\",\"zone\":\"" + zone +
	       "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state +
	       "\",\"coldLeftMs\":0,\"seq\":" + std::to_string(seq) +
	       ",\"born\":" + std::to_string(born) + "}";
}

void SiteUpstream::serve(SiteConnection &cn)
{
	SiteRequest rq;

	while (cn.read(rq, false)) {
		std::string expected = rq.header("ebonypier-expect-instance");
		Run run;

		if (rq.target == "/health") {
			cn.write("HTTP/1.1 200 OK\r\n" + says() +
				 "Ebonypier-Instance-Id: " + id +
				 "\r\nEbonypier-Server-Load: 1,0,6," +
				 std::to_string(pace) +
				 "\r\nContent-Length: 0\r\n\r\n");
			continue;
		}
		if (!expected.empty() && expected != id) {
			cn.read_body(rq);
			cn.write("HTTP/1.1 421 Misdirected\r\n"
				 "Ebonypier-Request-Id: " +
				 rq.header("ebonypier-request-id") +
				 "\r\nContent-Length: 0\r\n\r\n");
			continue;
		}
		if (rq.target.find("/shed") != std::string::npos) {
			cn.read_body(rq);
			cn.write(refusal(rq));
			continue;
		}
		{
			std::lock_guard<std::mutex> hold(lock_);

			SiteRun &sr = runs_[rq.header("ebonypier-request-id")];

			sr.count++;
			sr.begun_us.push_back(now_us());
			sr.target = rq.target;
			sr.caller = rq.header("ebonypier-caller-service");
			total_++;
			last_ = rq;
			for (auto &fault : faults_)
				if (rq.target.find(fault.first) !=
				    std::string::npos)
					run = fault.second;
		}
		active_++;
		if (run) {
			run(cn, rq);
		} else {
			cn.read_body(rq);
			cn.write(answer(rq, id + " " + rq.target));
		}
		active_--;
	}
}

/* ---- Site ---- */

/* Default admin port of a daemon. */
const uint16_t ADMIN_PORT = 9464;
/* Bound at the first machine's IP for as long as a net is in use. */
const uint16_t RESERVATION_PORT = 9463;

/* Returns a socket bound to an address, or -1 if it is in use. */
int reserve(const std::string &ip, uint16_t port)
{
	sockaddr_in sa = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
	if (!bind(fd, (sockaddr *)&sa, sizeof(sa)))
		return fd;
	close(fd);
	return -1;
}

Site::Site(const std::vector<std::string> &list) : services(list)
{
	static std::atomic<uint32_t> sites{ 0 };

	/* Other test programs may run at the same time: take a free net. */
	do {
		net_ = (uint32_t)(getpid() % 200) + 20 + sites++;
		reservation_ = is_free(ip(0), ADMIN_PORT)
				       ? reserve(ip(0), RESERVATION_PORT)
				       : -1;
	} while (reservation_ < 0);
	dir_ = temp_dir();
	listen_port_ = free_port();
	ready_port_ = free_port();
	daemon_port_ = free_port();
	upstream_port_ = free_port();
	store = std::make_unique<SiteStore>("127.0.0.1");
	store_address = store->address;
	for (size_t i = 0; i < services.size(); i++)
		upstreams.push_back(std::make_unique<SiteUpstream>(
			ip(i), upstream_port_, "i-" + std::to_string(i),
			services[i]));
	daemons.resize(services.size());
}

Site::~Site()
{
	daemons.clear();
	close(reservation_);
}

double Site::metric(size_t i, const std::string &name)
{
	return metric_of(http_get("http://" + ip(i) + ":" +
				  std::to_string(ADMIN_PORT) + "/metrics")
				 .body,
			 name);
}

std::string Site::ip(size_t i) const
{
	return "127.1." + std::to_string(net_ % 250) + "." +
	       std::to_string(i + 1);
}

void Site::write_settings(size_t i)
{
	auto port = [](uint16_t n) {
		return ":" + std::to_string(n) + "\"";
	};
	const std::string &zone = upstreams[i]->zone;
	std::string zones = "\"a\":\"r\"";

	for (auto &up : upstreams)
		if (up->zone != "a")
			zones = "\"a\":\"r\",\"b\":\"r-b\"";
	std::ofstream out(dir_ + "/settings-" + std::to_string(net_) + "-" +
			  std::to_string(i));

	out << "{\"node\":\"machine-" << i << "\",\"ip\":\"" << ip(i)
	    << "\",\"zone\":\"" << zone << "\",\"region\":\""
	    << (zone == "a" ? "r" : "r-b") << "\",\"appAddr\":\"" << ip(i)
	    << port(upstream_port_) << ",\"service\":\"" << services[i]
	    << "\",\"listen\":{\"inbound\":\"\",\"outbound\":\"" << ip(i)
	    << port(listen_port_) << ",\"ready\":\"" << ip(i)
	    << port(ready_port_) << "},\"portRange\":[" << daemon_port_ << ","
	    << daemon_port_ << "],\"zones\":{" << zones << "},"
	    << "\"platform\":{\"address\":\"" << store_address
	    << "\"},\"bounds\":{\"graceS\":6}}";
}

void Site::start_daemon(size_t i)
{
	std::vector<std::string> env = { "EBONYPIER_BOOT=" + dir_ +
					 "/settings-" + std::to_string(net_) +
					 "-" + std::to_string(i) };

	/* A process that is still there holds the ports of the next one. */
	daemons[i].reset();
	write_settings(i);
	if (!test_off.empty())
		env.push_back("EBONYPIER_TEST_OFF=" + test_off);
	daemons[i] = std::make_unique<Process>(
		std::vector<std::string>{ build_dir() +
					  (test_off.empty()
						   ? "/ebonypier-site"
						   : "/ebonypier-site-test") },
		env);
}

void Site::replace_upstream(size_t i, const std::string &id,
			    const std::string &service)
{
	upstreams[i]->stop();
	ended_upstreams.push_back(std::move(upstreams[i]));
	services[i] = service;
	upstreams[i] = std::make_unique<SiteUpstream>(ip(i), upstream_port_, id,
						      service);
	upstreams[i]->zone = ended_upstreams.back()->zone;
}

void Site::restart_upstream(size_t i)
{
	std::string id = upstreams[i]->id;

	replace_upstream(i, id, services[i]);
}

void Site::start_all()
{
	for (auto &up : upstreams)
		store->put(up->key(), up->entry());
	publish(1);
	for (size_t i = 0; i < services.size(); i++)
		start_daemon(i);
	for (size_t i = 0; i < services.size(); i++)
		for (const std::string &service : services)
			wait_status(i, "/" + service + "/warm", 200);
}

void Site::print_logs()
{
	for (size_t i = 0; i < daemons.size(); i++)
		printf("--- machine %zu\n%s", i, daemons[i]->log().c_str());
}

std::string Site::route(const std::string &name, const std::string &prefix,
			const std::string &kind, const std::string &service,
			const std::string &regions)
{
	return "\"" + name + "\":{\"host\":\"site.example\",\"prefix\":\"" +
	       prefix + "\",\"kind\":\"" + kind +
	       "\",\"timeoutMs\":5000,\"sloMs\":2000,\"priority\":1,"
	       "\"service\":\"" +
	       service + "\",\"allowedRegions\":" + regions +
	       ",\"attempts\":2}";
}

void Site::publish(int version, const std::string &more_routes)
{
	std::string routes, list;
	std::set<std::string> names(services.begin(), services.end());

	for (const std::string &name : names) {
		routes += (routes.empty() ? "" : ",") +
			  route("r-" + name, "/" + name + "/", "safe", name) +
			  "," +
			  route("u-" + name, "/" + name + "/once/", "unsafe",
				name);
		list += (list.empty() ? "" : ",") + ("\"" + name) + "\":{" +
			more_service +
			"\"healthPath\":\"/health\",\"maxConns\":200,"
			"\"protocol\":\"h1\",\"tls\":false}";
	}
	if (!more_routes.empty())
		routes += "," + more_routes;
	store->put("op/config", "{\"version\":" + std::to_string(version) +
					",\"routes\":{" + routes +
					"},\"services\":{" + list +
					"},\"limits\":{}}");
}

std::string Site::head(const std::string &method, const std::string &path,
		       const std::string &id, const std::string &more)
{
	return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\n" +
	       "Ebonypier-Request-Id: " + id +
	       "\r\nEbonypier-Deadline-Ms: 10000\r\n" + more + "\r\n";
}

HttpAnswer Site::send(size_t i, const std::string &method,
		      const std::string &path, const std::string &id,
		      const std::string &body, int64_t deadline_ms)
{
	HttpRequest rq;

	rq.method = method;
	rq.url = "http://" + ip(i) + ":" + std::to_string(listen_port_) + path;
	rq.headers = { "Host: site.example", "Ebonypier-Request-Id: " + id,
		       "Ebonypier-Deadline-Ms: " +
			       std::to_string(deadline_ms) };
	rq.body = body;
	return http(rq);
}

long Site::ready(size_t i)
{
	return http_get("http://" + ip(i) + ":" + std::to_string(ready_port_) +
			"/ready")
		.status;
}

void Site::wait_status(size_t i, const std::string &path, long status)
{
	wait_until(path + " to be answered with " + std::to_string(status),
		   [&] {
			   return send(i, "GET", path,
				       "warm-" + std::to_string(next_id_++))
				   .complete(status);
		   });
}
