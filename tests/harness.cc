#include "harness.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <dirent.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

extern "C" {
#include "../standins/standin.h"
/* Makes XXH64_state_t a complete type, for local variables. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>
}

extern char **environ;

/*
 * A wait of this length counts as hung, so that one hung test does not stop the
 * whole run. The longest timer that a test waits for is the 4 s after which an
 * unresponsive peer counts as lost; a slow machine does not reach this limit.
 */
#define WAIT_HUNG_US 90000000

std::string build_dir()
{
	const char *dir = getenv("EBONYPIER_BUILD");

	return dir ? dir : "build";
}

namespace
{

/* Removes the files of the test program when it ends. */
struct TempDir {
	std::string path;

	TempDir()
	{
		char name[] = "/tmp/ebonypier-test-XXXXXX";

		if (!mkdtemp(name))
			throw std::runtime_error("mkdtemp");
		path = name;
	}
	~TempDir()
	{
		DIR *dir = opendir(path.c_str());

		for (dirent *e; dir && (e = readdir(dir));)
			unlink((path + "/" + e->d_name).c_str());
		if (dir)
			closedir(dir);
		rmdir(path.c_str());
	}
};

const uint8_t *pattern_bytes()
{
	/* Initialised once, as several threads may call this at a time. */
	static const std::vector<uint8_t> bytes = [] {
		std::vector<uint8_t> all(STANDIN_PATTERN_BYTES);

		standin_pattern_init(all.data());
		return all;
	}();

	return bytes.data();
}

std::string hex64(uint64_t v)
{
	char text[17];

	snprintf(text, sizeof(text), "%016llx", (unsigned long long)v);
	return text;
}

int64_t to_number(const std::string &text)
{
	return text.empty() ? 0 : strtoll(text.c_str(), nullptr, 10);
}

} // namespace

std::string json_member(const std::string &text, const std::string &member)
{
	json_t *js = json_loads(text.c_str(), JSON_DECODE_ANY, nullptr);
	json_t *v = json_object_get(js, member.c_str());
	std::string out;

	if (json_is_string(v)) {
		out = json_string_value(v);
	} else if (v) {
		char *dump = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);

		out = dump ? dump : "";
		free(dump);
	}
	json_decref(js);
	return out;
}

std::string temp_dir()
{
	static TempDir dir;

	return dir.path;
}

bool is_free(const std::string &ip, uint16_t port)
{
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in sa = {};
	bool ok;

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = !bind(fd, (sockaddr *)&sa, sizeof(sa)) && !listen(fd, 1);
	close(fd);
	return ok;
}

uint16_t free_port()
{
	static uint32_t next = (uint32_t)getpid() * 97;
	static const int first = 10000, count = 22000;
	uint16_t port;

	do {
		port = (uint16_t)(first + next++ % count);
	} while (!is_free("127.0.0.1", port));
	return port;
}

std::string loopback(uint16_t port)
{
	return "127.0.0.1:" + std::to_string(port);
}

int64_t now_us()
{
	return standin_now_us();
}

void sleep_ms(int64_t ms)
{
	usleep((useconds_t)(ms * 1000));
}

void wait_until(const std::string &what, const std::function<bool()> &done)
{
	int64_t start = now_us(), reported = start, pause_ms = 1;

	while (!done()) {
		sleep_ms(pause_ms);
		pause_ms = std::min<int64_t>(pause_ms * 2, 20);
		if (now_us() - start > WAIT_HUNG_US)
			throw std::runtime_error("hung: " + what);
		if (now_us() - reported > 10000000) {
			reported = now_us();
			fprintf(stderr, "still waiting: %s\n", what.c_str());
		}
	}
}

std::string pattern(uint64_t bytes, uint64_t seed)
{
	std::string out(bytes, '\0');

	standin_fill(pattern_bytes(), seed, 0, (uint8_t *)&out[0], bytes);
	return out;
}

std::string pattern_checksum(uint64_t bytes, uint64_t seed)
{
	std::vector<uint8_t> block(65536);
	XXH64_state_t hash;

	XXH64_reset(&hash, 0);
	for (uint64_t at = 0; at < bytes;) {
		size_t n = (size_t)std::min<uint64_t>(block.size(), bytes - at);

		standin_fill(pattern_bytes(), seed, at, block.data(), n);
		XXH64_update(&hash, block.data(), n);
		at += n;
	}
	return hex64(XXH64_digest(&hash));
}

std::string checksum(const std::string &bytes)
{
	return hex64(XXH64(bytes.data(), bytes.size(), 0));
}

Process::Process(std::vector<std::string> argv, std::vector<std::string> env)
{
	static std::atomic<int> number{ 0 };
	std::vector<char *> args, vars;
	posix_spawn_file_actions_t acts;
	posix_spawnattr_t attr;
	sigset_t none, all;
	int rc;

	log_path_ = temp_dir() + "/" + std::to_string(number++) + ".log";
	for (std::string &a : argv)
		args.push_back(&a[0]);
	args.push_back(nullptr);
	for (char **e = environ; *e; e++)
		if (strncmp(*e, "EBONYPIER_", 10) != 0)
			vars.push_back(*e);
	for (std::string &e : env)
		vars.push_back(&e[0]);
	vars.push_back(nullptr);
	posix_spawn_file_actions_init(&acts);
	posix_spawn_file_actions_addopen(&acts, 1, log_path_.c_str(),
					 O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&acts, 1, 2);
	posix_spawnattr_init(&attr);
	sigemptyset(&none);
	sigfillset(&all);
	posix_spawnattr_setsigmask(&attr, &none);
	posix_spawnattr_setsigdefault(&attr, &all);
	posix_spawnattr_setflags(&attr, POSIX_SPAWN_SETSIGMASK |
						POSIX_SPAWN_SETSIGDEF);
	rc = posix_spawn(&pid_, args[0], &acts, &attr, args.data(),
			 vars.data());
	posix_spawnattr_destroy(&attr);
	posix_spawn_file_actions_destroy(&acts);
	if (rc)
		throw std::runtime_error(argv[0] + ": " + strerror(rc));
}

Process::~Process()
{
	if (running())
		kill();
}

bool Process::running()
{
	int status;

	if (ended_)
		return false;
	if (waitpid(pid_, &status, WNOHANG) != pid_)
		return true;
	ended_ = true;
	status_ = WIFSIGNALED(status) ? 256 + WTERMSIG(status)
				      : WEXITSTATUS(status);
	return false;
}

void Process::signal(int sig)
{
	if (running())
		::kill(pid_, sig);
}

int Process::wait()
{
	wait_until("the end of process " + std::to_string(pid_),
		   [this] { return !running(); });
	return status_;
}

/* Returns the signal mask of a line of /proc/PID/status. */
static uint64_t signal_mask(const std::string &line)
{
	return std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
}

/*
 * While a thread waits for signals, SigBlk does not list them; by then the
 * process has further threads, so more than one thread counts as well.
 */
void Process::wait_signal_blocked(int sig)
{
	const std::string path = "/proc/" + std::to_string(pid_) + "/status";

	wait_until("signal " + std::to_string(sig) + " to be blocked", [&] {
		std::ifstream in(path);

		for (std::string line; std::getline(in, line);) {
			if (line.rfind("Threads:", 0) == 0 &&
			    std::stoi(line.substr(8)) > 1)
				return true;
			if (line.rfind("SigBlk:", 0) == 0 &&
			    (signal_mask(line) >> (sig - 1) & 1))
				return true;
		}
		return false;
	});
}

int Process::stop()
{
	signal(SIGTERM);
	return wait();
}

int Process::kill()
{
	signal(SIGKILL);
	return wait();
}

std::string Process::log() const
{
	std::ifstream in(log_path_);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

int64_t Process::memory_kb(const std::string &field) const
{
	std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (!line.compare(0, field.size() + 1, field + ":"))
			return to_number(line.substr(field.size() + 1));
	return -1;
}

namespace
{

/* State of one transfer. */
struct Transfer {
	const HttpRequest *rq;
	HttpAnswer *answer;
	XXH64_state_t hash;
	uint64_t sent;
};

size_t on_header(char *text, size_t one, size_t n, void *cls)
{
	Transfer *t = (Transfer *)cls;
	std::string line(text, n);
	size_t colon = line.find(':'), from;

	(void)one;
	if (!line.compare(0, 5, "HTTP/")) {
		t->answer->headers.clear();
		return n;
	}
	if (colon == std::string::npos)
		return n;
	from = line.find_first_not_of(" \t", colon + 1);
	line.erase(line.find_last_not_of("\r\n") + 1);
	t->answer->headers.emplace_back(line.substr(0, colon),
					from < line.size() ? line.substr(from)
							   : "");
	return n;
}

size_t on_body(char *data, size_t one, size_t n, void *cls)
{
	Transfer *t = (Transfer *)cls;

	(void)one;
	if (t->rq->on_data && !t->rq->on_data(n))
		return 0;
	XXH64_update(&t->hash, data, n);
	t->answer->body_bytes += n;
	if (t->rq->keep_body)
		t->answer->body.append(data, n);
	return n;
}

size_t on_read(char *out, size_t one, size_t n, void *cls)
{
	Transfer *t = (Transfer *)cls;
	uint64_t left = t->rq->upload_bytes - t->sent;

	(void)one;
	if (t->rq->on_upload && !t->rq->on_upload(t->sent))
		return CURL_READFUNC_ABORT;
	if (n > left)
		n = (size_t)left;
	standin_fill(pattern_bytes(), 0, t->sent, (uint8_t *)out, n);
	t->sent += n;
	return n;
}

void set_upload(CURL *cu, const HttpRequest &rq, Transfer *t)
{
	if (rq.upload_bytes || rq.chunked) {
		curl_easy_setopt(cu, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(cu, CURLOPT_UPLOAD_BUFFERSIZE, 262144L);
		curl_easy_setopt(cu, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(cu, CURLOPT_READDATA, t);
		if (!rq.chunked)
			curl_easy_setopt(cu, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)rq.upload_bytes);
		curl_easy_setopt(cu, CURLOPT_CUSTOMREQUEST, rq.method.c_str());
	} else if (rq.method == "HEAD") {
		curl_easy_setopt(cu, CURLOPT_NOBODY, 1L);
	} else if (rq.method != "GET" || !rq.body.empty()) {
		curl_easy_setopt(cu, CURLOPT_POST, 1L);
		curl_easy_setopt(cu, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)rq.body.size());
		curl_easy_setopt(cu, CURLOPT_POSTFIELDS, rq.body.data());
		curl_easy_setopt(cu, CURLOPT_CUSTOMREQUEST, rq.method.c_str());
	}
}

} // namespace

std::string HttpAnswer::header(const std::string &name) const
{
	std::string value;

	for (const auto &h : headers)
		if (!strcasecmp(h.first.c_str(), name.c_str()))
			value = h.second;
	return value;
}

bool HttpAnswer::has(const std::string &name) const
{
	for (const auto &h : headers)
		if (!strcasecmp(h.first.c_str(), name.c_str()))
			return true;
	return false;
}

std::string HttpAnswer::json(const std::string &member) const
{
	return json_member(body, member);
}

HttpClient::HttpClient()
{
	static CURLcode once = curl_global_init(CURL_GLOBAL_ALL);

	curl_ = once ? nullptr : curl_easy_init();
	if (!curl_)
		throw std::runtime_error("curl_easy_init");
}

HttpClient::~HttpClient()
{
	curl_easy_cleanup(curl_);
}

HttpAnswer HttpClient::send(const HttpRequest &rq)
{
	curl_slist *headers = nullptr;
	HttpAnswer answer;
	Transfer t = { &rq, &answer, {}, 0 };

	curl_easy_reset(curl_);
	XXH64_reset(&t.hash, 0);
	/* An empty Expect turns off curl's own; tests may set one. */
	headers = curl_slist_append(headers, "Expect:");
	for (const std::string &h : rq.headers) {
		if (!strncasecmp(h.c_str(), "Expect:", 7)) {
			curl_slist_free_all(headers);
			headers = nullptr;
		}
	}
	for (const std::string &h : rq.headers)
		headers = curl_slist_append(headers, h.c_str());
	curl_easy_setopt(curl_, CURLOPT_URL, rq.url.c_str());
	if (!rq.from.empty())
		curl_easy_setopt(curl_, CURLOPT_INTERFACE, rq.from.c_str());
	curl_easy_setopt(curl_, CURLOPT_PATH_AS_IS, rq.path_as_is ? 1L : 0L);
	curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, (long)rq.timeout_ms);
	curl_easy_setopt(curl_, CURLOPT_PROXY, "");
	curl_easy_setopt(curl_, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl_, CURLOPT_HEADERDATA, &t);
	curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &t);
	curl_easy_setopt(curl_, CURLOPT_BUFFERSIZE, 262144L);
	/* Waits up to 600 s for 100 Continue, then sends the body without. */
	curl_easy_setopt(curl_, CURLOPT_EXPECT_100_TIMEOUT_MS, 600000L);
	set_upload(curl_, rq, &t);
	answer.code = curl_easy_perform(curl_);
	curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &answer.status);
	curl_easy_getinfo(curl_, CURLINFO_NUM_CONNECTS, &answer.connects);
	curl_slist_free_all(headers);
	answer.checksum = hex64(XXH64_digest(&t.hash));
	return answer;
}

HttpAnswer HttpClient::get(const std::string &url)
{
	HttpRequest rq;

	rq.url = url;
	return send(rq);
}

HttpAnswer HttpClient::post(const std::string &url, const std::string &body,
			    std::vector<std::string> headers)
{
	HttpRequest rq;

	rq.method = "POST";
	rq.url = url;
	rq.body = body;
	rq.headers = std::move(headers);
	return send(rq);
}

HttpAnswer http(const HttpRequest &rq)
{
	return HttpClient().send(rq);
}

HttpAnswer http_get(const std::string &url)
{
	return HttpClient().get(url);
}

HttpAnswer http_post(const std::string &url, const std::string &body,
		     std::vector<std::string> headers)
{
	return HttpClient().post(url, body, std::move(headers));
}

RawSocket::RawSocket(uint16_t port, int receive_buffer_bytes,
		     const std::string &ip)
{
	sockaddr_in sa = {};
	int one = 1;

	sa.sin_family = AF_INET;
	sa.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
	fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (receive_buffer_bytes)
		setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
			   sizeof(receive_buffer_bytes));
	setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd_, (sockaddr *)&sa, sizeof(sa)))
		close();
}

RawSocket::~RawSocket()
{
	close();
}

bool RawSocket::send(const std::string &bytes)
{
	for (size_t at = 0; at < bytes.size();) {
		ssize_t n = ::send(fd_, bytes.data() + at, bytes.size() - at,
				   MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

std::string RawSocket::receive(size_t max)
{
	std::string out(max, '\0');
	ssize_t n;

	if (!left_.empty()) {
		out = left_.substr(0, max);
		left_.erase(0, out.size());
		return out;
	}
	do {
		n = recv(fd_, &out[0], max, 0);
	} while (n < 0 && errno == EINTR);
	was_reset_ = n < 0 && errno == ECONNRESET;
	out.resize(n > 0 ? (size_t)n : 0);
	return out;
}

std::string RawSocket::receive_all()
{
	std::string out;

	for (;;) {
		std::string part = receive();

		if (part.empty())
			return out;
		out += part;
	}
}

namespace
{

/* Returns the length of the first answer in `in`, or 0 if incomplete. */
size_t answer_bytes(const std::string &in, bool head_only)
{
	size_t head = in.find("\r\n\r\n"), at;
	std::string lower;

	if (head == std::string::npos)
		return 0;
	head += 4;
	lower = in.substr(0, head);
	std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
	if (head_only || raw_status(in) / 100 == 1)
		return head;
	at = lower.find("\r\ncontent-length:");
	if (at != std::string::npos) {
		at = head + (size_t)to_number(lower.substr(at + 17));
		return in.size() >= at ? at : 0;
	}
	if (lower.find("\r\ntransfer-encoding: chunked") == std::string::npos)
		return 0;
	for (at = head;;) {
		size_t eol = in.find("\r\n", at), n;

		if (eol == std::string::npos)
			return 0;
		n = strtoul(in.c_str() + at, nullptr, 16);
		at = eol + 2 + n + 2;
		if (in.size() < at)
			return 0;
		if (!n)
			return at;
	}
}

} // namespace

std::string RawSocket::receive_answer(bool head_only)
{
	std::string in;

	for (;;) {
		size_t n = answer_bytes(in, head_only);
		std::string part;

		if (n) {
			left_ = in.substr(n) + left_;
			return in.substr(0, n);
		}
		part = receive();
		if (part.empty())
			return in;
		in += part;
	}
}

bool RawSocket::readable()
{
	pollfd pf = { fd_, POLLIN, 0 };

	return !left_.empty() || poll(&pf, 1, 0) > 0;
}

bool RawSocket::at_end()
{
	return receive(1).empty();
}

void RawSocket::finish_sending()
{
	shutdown(fd_, SHUT_WR);
}

void RawSocket::close()
{
	if (fd_ >= 0)
		::close(fd_);
	fd_ = -1;
}

void RawSocket::reset()
{
	linger lg = { 1, 0 };

	setsockopt(fd_, SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
	close();
}

int raw_status(const std::string &answer)
{
	if (answer.compare(0, 7, "HTTP/1.") != 0 || answer.size() < 12)
		return 0;
	return atoi(answer.c_str() + 9);
}

KeyPair new_key_pair()
{
	char public_key[41], secret_key[41];

	if (zmq_curve_keypair(public_key, secret_key))
		throw std::runtime_error("zmq_curve_keypair");
	return { public_key, secret_key };
}

std::string Member::url(const std::string &path) const
{
	return "http://" + loopback(listen_port) + path;
}

std::string Member::direct(const std::string &path) const
{
	return "http://" + loopback(upstream_port) + path;
}

namespace
{

std::string control_url(const Member &m, const std::string &path)
{
	return "http://" + loopback(m.upstream_control_port) + path;
}

} // namespace

void Member::fault(const std::string &json) const
{
	HttpAnswer a = http_post(control_url(*this, "/control/fault"), json);

	if (a.status != 200)
		throw std::runtime_error("fault refused: " + json);
}

std::string Member::runs(bool summary) const
{
	return http_get(control_url(*this, summary ? "/control/runs?summary=1"
						   : "/control/runs"))
		.body;
}

int64_t Member::runs_count(const std::string &field) const
{
	return to_number(json_member(runs(true), field));
}

int64_t Member::executions(const std::string &key) const
{
	return to_number(json_member(json_member(runs(true), "keys"), key));
}

std::string Member::last_run() const
{
	json_t *js = json_loads(runs().c_str(), 0, nullptr);
	json_t *list = json_object_get(js, "runs");
	char *text = json_dumps(json_array_get(list, json_array_size(list) - 1),
				JSON_COMPACT);
	std::string out = text ? text : "";

	free(text);
	json_decref(js);
	return out;
}

HttpAnswer Member::admin(const std::string &path) const
{
	return http_get("http://" + loopback(admin_port) + path);
}

double Member::metric(const std::string &name) const
{
	return metric_of(admin("/metrics").body, name);
}

double metric_of(const std::string &page, const std::string &name)
{
	std::istringstream in(page);
	std::string line, head = "ebonypier_" + name + " ";

	while (std::getline(in, line))
		if (!line.compare(0, head.size(), head))
			return atof(line.c_str() + head.size());
	return -1;
}

Relay::Relay(uint16_t target) : port(free_port()), control_port(free_port())
{
	process = std::make_unique<Process>(std::vector<std::string>{
		build_dir() + "/standins/relay", "--listen", loopback(port),
		"--target", loopback(target), "--control",
		loopback(control_port) });
	wait_until("the relay", [this] {
		if (!process->running())
			throw std::runtime_error("relay: " + process->log());
		return RawSocket(control_port).connected();
	});
}

void Relay::fault(const std::string &json)
{
	HttpAnswer a = http_post(
		"http://" + loopback(control_port) + "/control/fault", json);

	if (a.status != 200)
		throw std::runtime_error("fault refused: " + json);
}

void Relay::cut()
{
	http_post("http://" + loopback(control_port) + "/control/cut", "");
}

void Relay::silence_open(const std::string &directions)
{
	http_post("http://" + loopback(control_port) + "/control/silence_open",
		  "{\"silent\":\"" + directions + "\"}");
}

int64_t Relay::stat(const std::string &field)
{
	return to_number(
		http_get("http://" + loopback(control_port) + "/control/stats")
			.json(field));
}

Fleet::Fleet(const FleetOptions &op) : options(op)
{
	size_t place = 0;

	platform_port = free_port();
	for (const ServiceOptions &s : options.services) {
		for (int i = 0; i < s.upstreams; i++, place++) {
			Member m;

			m.name = s.name + "-" + std::to_string(i + 1);
			m.service = s.name;
			m.region =
				options.regions[place % options.regions.size()];
			m.failure_domain =
				m.region + "-" +
				(place / options.regions.size() % 2 ? "b"
								    : "a");
			m.upstream_port = free_port();
			m.upstream_control_port = free_port();
			m.listen_port = free_port();
			m.daemon_port = free_port();
			m.admin_port = free_port();
			m.keys = new_key_pair();
			members.push_back(std::move(m));
		}
	}
}

Fleet::~Fleet()
{
	/* Signals all processes before it waits, so that they end together. */
	for (Member &m : members)
		if (m.daemon)
			m.daemon->signal(SIGKILL);
	for (Member &m : members) {
		m.daemon.reset();
		if (m.upstream)
			m.upstream->signal(SIGTERM);
	}
	for (Member &m : members)
		if (m.upstream)
			m.upstream->stop();
	if (platform)
		platform->stop();
}

std::string Fleet::note() const
{
	json_t *services = json_array(), *upstreams = json_array();
	json_t *rules = json_loads(options.rules.c_str(), 0, nullptr), *note;
	std::string out;
	char *text;

	for (const ServiceOptions &s : options.services) {
		std::string prefix =
			s.path_prefix.empty() ? "/" + s.name : s.path_prefix;
		json_t *js =
			json_pack("{s:s,s:{s:s},s:i}", "name", s.name.c_str(),
				  "match", "path_prefix", prefix.c_str(),
				  "deadline_ms", (int)s.deadline_ms);

		if (!s.rule.empty())
			json_object_set_new(js, "rules",
					    json_string(s.rule.c_str()));
		json_array_append_new(services, js);
	}
	for (const Member &m : members) {
		json_t *js = json_pack(
			"{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i}", "name",
			m.name.c_str(), "service", m.service.c_str(), "address",
			loopback(m.upstream_port).c_str(), "daemon",
			loopback(m.peer_port()).c_str(), "region",
			m.region.c_str(), "failure_domain",
			m.failure_domain.c_str(), "slots", (int)options.slots,
			"connections", (int)options.connections);

		if (!options.plain_peers)
			json_object_set_new(
				js, "key",
				json_string(m.keys.public_key.c_str()));
		json_array_append_new(upstreams, js);
	}
	note = json_pack("{s:i,s:i,s:s,s:{s:o,s:o,s:o}}", "release", 1,
			 "builds_on", 0, "note", "first release of a test",
			 "added", "services", services, "upstreams", upstreams,
			 "rules", rules ? rules : json_array());
	text = json_dumps(note, JSON_INDENT(1));
	out = text ? text : "";
	free(text);
	json_decref(note);
	return out;
}

void Fleet::start_platform()
{
	std::string path =
		temp_dir() + "/note-" + std::to_string(platform_port) + ".json";
	std::vector<std::string> argv = { build_dir() + "/standins/platform",
					  "--listen", loopback(platform_port),
					  "--note", path };

	std::ofstream(path) << note();
	for (const Member &m : members) {
		argv.push_back("--vm");
		argv.push_back(loopback(m.peer_port()));
	}
	platform = std::make_unique<Process>(argv);
	wait_until("the platform", [this] {
		if (!platform->running())
			throw std::runtime_error("platform: " +
						 platform->log());
		return RawSocket(platform_port).connected();
	});
}

void Fleet::start_upstream(size_t i)
{
	Member &m = members[i];
	std::vector<std::string> argv = {
		build_dir() + "/standins/upstream",
		"--listen",
		loopback(m.upstream_port),
		"--control",
		loopback(m.upstream_control_port),
		"--name",
		m.name,
		"--slots",
		std::to_string(options.slots),
		"--connections",
		std::to_string(options.connections),
		"--service-us",
		std::to_string(options.service_us),
	};

	argv.insert(argv.end(), options.upstream_flags.begin(),
		    options.upstream_flags.end());
	m.upstream = std::make_unique<Process>(argv);
	wait_until(m.name, [&m] {
		if (!m.upstream->running())
			throw std::runtime_error("upstream: " +
						 m.upstream->log());
		return RawSocket(m.upstream_control_port).connected() &&
		       RawSocket(m.upstream_port).connected();
	});
}

void Fleet::start_daemon(size_t i)
{
	Member &m = members[i];
	std::vector<std::string> env, argv = {
		build_dir() + "/" + options.daemon_program,
		"--upstream",
		m.name,
		"--listen",
		loopback(m.listen_port),
		"--daemon",
		loopback(m.daemon_port),
		"--admin-port",
		std::to_string(m.admin_port),
		"--platform",
		loopback(platform_port),
		"--region",
		m.region,
		"--failure-domain",
		m.failure_domain,
	};

	if (options.plain_peers) {
		argv.push_back("--plain-peers");
	} else {
		argv.push_back("--curve-public-key");
		argv.push_back(m.keys.public_key);
		/* A secret in the arguments would be visible to others. */
		env.push_back("EBONYPIER_CURVE_SECRET_KEY=" +
			      m.keys.secret_key);
	}
	if (!options.test_off.empty())
		env.push_back("EBONYPIER_TEST_OFF=" + options.test_off);
	argv.insert(argv.end(), options.daemon_flags.begin(),
		    options.daemon_flags.end());
	m.daemon = std::make_unique<Process>(argv, env);
}

void Fleet::wait_ready(size_t i)
{
	Member &m = members[i];

	wait_until("daemon of " + m.name, [&m] {
		if (!m.daemon->running())
			throw std::runtime_error("daemon: " + m.daemon->log());
		return m.metric("release") >= 1 &&
		       RawSocket(m.listen_port).connected();
	});
}

void Fleet::wait_linked(size_t i)
{
	Member &m = members[i];

	wait_until("links of " + m.name, [&m] {
		std::string peers = m.admin("/status").json("peers");

		if (!m.daemon->running())
			throw std::runtime_error("daemon: " + m.daemon->log());
		return !peers.empty() &&
		       peers.find("\"down\"") == std::string::npos;
	});
}

void Fleet::start()
{
	start_platform();
	for (size_t i = 0; i < size(); i++)
		start_upstream(i);
	for (size_t i = 0; i < size(); i++)
		start_daemon(i);
	for (size_t i = 0; i < size(); i++)
		wait_ready(i);
	/* Opens claims at once: no idempotency key was used in this fleet. */
	for (const Member &m : members)
		http_post("http://" + loopback(m.admin_port) + "/claims/open",
			  "");
	for (size_t i = 0; i < size() && options.wait_links; i++)
		wait_linked(i);
}

namespace
{

std::string platform_url(const Fleet &fl, const std::string &path)
{
	return "http://" + loopback(fl.platform_port) + path;
}

} // namespace

int Fleet::publish(const std::string &note)
{
	HttpAnswer a = http_post(platform_url(*this, "/control/publish"), note);

	return a.status == 200 ? (int)to_number(a.json("index")) : 0;
}

void Fleet::platform_fault(const std::string &json)
{
	http_post(platform_url(*this, "/control/fault"), json);
}

void Fleet::vm(size_t i, const std::string &state)
{
	http_post(platform_url(*this, "/control/vm"),
		  "{\"address\":\"" + loopback(members[i].peer_port()) +
			  "\",\"state\":\"" + state + "\"}");
}

int64_t Fleet::platform_stat(const std::string &field)
{
	return to_number(
		http_get(platform_url(*this, "/control/stats")).json(field));
}

int64_t Fleet::executions(const std::string &key)
{
	int64_t sum = 0;

	for (const Member &m : members)
		sum += m.executions(key);
	return sum;
}

int64_t Fleet::runs_count(const std::string &field)
{
	int64_t sum = 0;

	for (const Member &m : members)
		sum += m.runs_count(field);
	return sum;
}
