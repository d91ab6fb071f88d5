#include <gtest/gtest.h>

#include <atomic>
#include <cstring>
#include <fcntl.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "eb_address.h"
#include "eb_admin.h"
}

namespace
{

std::atomic<int> drains;

json_t *status(void *)
{
	return json_pack("{ss}", "upstream", "agenda-1");
}

void drain(void *)
{
	drains++;
}

std::atomic<int> opens;

void open_claims(void *)
{
	opens++;
}

const eb_admin_ops ops = { status, drain, open_claims, nullptr };

class Admin : public testing::Test
{
protected:
	void SetUp() override
	{
		eb_span span = {};
		eb_error err = {};

		memset(span.trace, 0xab, sizeof(span.trace));
		eb_tracer_add(tr, &span);
		se.admin_address = address;
		am = eb_admin_start(&se, mt, tr, lg, &ops, nullptr, &err);
		ASSERT_NE(nullptr, am) << err.message;
	}

	void TearDown() override
	{
		eb_admin_stop(am);
		eb_metrics_free(mt);
		eb_tracer_free(tr);
		eb_log_free(lg);
	}

	/* Sends the bytes and returns all that the server sends back. */
	std::string send(const std::string &request)
	{
		std::string out;
		eb_address ad;
		char buf[4096];
		ssize_t n;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		eb_address_parse_ip(address, eb_admin_port(am), &ad);
		EXPECT_EQ(0, connect(fd, (sockaddr *)&ad.sa, ad.length));
		EXPECT_EQ((ssize_t)request.size(),
			  write(fd, request.data(), request.size()));
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			out.append(buf, (size_t)n);
		close(fd);
		return out;
	}

	std::string request(const std::string &line, const std::string &host,
			    const std::string &more = "")
	{
		return send(line + " HTTP/1.1\r\n" + host + more +
			    "Connection: close\r\n\r\n");
	}

	char address[16] = "127.0.0.1";
	eb_settings se = {};
	eb_metrics *mt = eb_metrics_new();
	eb_tracer *tr = eb_tracer_new("127.0.0.1:2", 4);
	eb_log *lg = eb_log_new(2, EB_LOG_ERROR);
	eb_admin *am = nullptr;
};

const char good_host[] = "Host: 127.0.0.1:9\r\n";

/*
 * Guards against serving a path or method that is not in the table of
 * endpoints, such as a prefix of a path or a GET that starts a drain.
 */
TEST_F(Admin, Paths)
{
	const struct {
		const char *line;
		const char *status;
		const char *part;
	} cases[] = {
		{ "GET /metrics", " 200 ", "ebonypier_requests_total 0\n" },
		{ "GET /status", " 200 ", "\"agenda-1\"" },
		{ "GET /health", " 200 ", "\"ok\"" },
		{ "GET /traces/abababababababababababababababab", " 200 ",
		  "\"127.0.0.1:2\"" },
		{ "GET /traces/00000000000000000000000000000000", " 200 ",
		  "[]" },
		{ "GET /traces/abab", " 400 ", "\"bad-request\"" },
		{ "GET /traces/", " 400 ", "\"bad-request\"" },
		{ "GET /traces", " 404 ", "\"not-found\"" },
		{ "GET /", " 404 ", "\"not-found\"" },
		{ "GET /metrics/", " 404 ", "\"not-found\"" },
		{ "GET /drain", " 405 ", "Allow: POST" },
		{ "GET /claims/open", " 405 ", "Allow: POST" },
		{ "POST /status", " 405 ", "Allow: GET" },
		{ "DELETE /metrics", " 405 ", "\"method\"" },
	};

	for (const auto &c : cases) {
		std::string out = request(c.line, good_host);

		EXPECT_NE(std::string::npos, out.find(c.status)) << out;
		EXPECT_NE(std::string::npos, out.find(c.part)) << out;
	}
	EXPECT_EQ(0, drains);
	EXPECT_EQ(0, opens);
}

/*
 * Guards against web pages that send requests to the admin port through the
 * operator's browser, from another origin or by DNS rebinding.
 */
TEST_F(Admin, HostsAndOrigins)
{
	const struct {
		const char *headers;
		const char *status;
	} cases[] = {
		{ "Host: 127.0.0.1\r\n", " 202 " },
		{ "Host: localhost:80\r\n", " 202 " },
		{ "Host: LOCALHOST\r\n", " 202 " },
		{ "Host: [::1]\r\n", " 202 " },
		{ "Host: [::1]:7\r\n", " 202 " },
		{ "Host: evil.example\r\n", " 403 " },
		{ "Host: localhost.evil.example\r\n", " 403 " },
		{ "Host: 127.0.0.1.evil.example:80\r\n", " 403 " },
		{ "Host: [::1\r\n", " 403 " },
		{ "Host: \r\n", " 403 " },
		{ "Host: 127.0.0.1\r\nOrigin: http://evil.example\r\n",
		  " 403 " },
	};
	int expected = 0;

	drains = 0;
	for (const auto &c : cases) {
		std::string out = request("POST /drain", c.headers);

		EXPECT_NE(std::string::npos, out.find(c.status))
			<< c.headers << out;
		expected += !strcmp(c.status, " 202 ");
	}
	EXPECT_EQ(expected, drains);
}

/*
 * Guards against a large request body that keeps a connection busy, and against
 * refusing a request with a short body.
 */
TEST_F(Admin, Bodies)
{
	std::string out = request("POST /drain", good_host,
				  "Content-Length: 99999999\r\n");

	EXPECT_NE(std::string::npos, out.find(" 413 ")) << out;
	out = send(std::string("POST /drain HTTP/1.1\r\nConnection: close\r\n"
			       "Content-Length: 2\r\n") +
		   good_host + "\r\n{}");
	EXPECT_NE(std::string::npos, out.find(" 202 ")) << out;
}

/*
 * Guards against a load balancer that keeps sending requests to a draining
 * daemon because /health still answers 200.
 */
TEST_F(Admin, HealthWhileDraining)
{
	eb_metrics_set(mt, EB_METRIC_DRAINING, 1);
	std::string out = request("GET /health", good_host);

	EXPECT_NE(std::string::npos, out.find(" 503 ")) << out;
	EXPECT_NE(std::string::npos, out.find("\"draining\"")) << out;
}

/* Guards against dropped log lines that the metrics do not count. */
TEST_F(Admin, MetricsCountDroppedLines)
{
	int null = open("/dev/null", O_WRONLY);
	eb_error err = {};

	eb_admin_stop(am);
	eb_log_free(lg);
	lg = eb_log_new(null, EB_LOG_INFO);
	while (!eb_log_dropped(lg))
		eb_log_write(lg, EB_LOG_INFO, "core", "flood", NULL);
	am = eb_admin_start(&se, mt, tr, lg, &ops, nullptr, &err);
	ASSERT_NE(nullptr, am) << err.message;
	std::string out = request("GET /metrics", good_host);

	EXPECT_NE(std::string::npos,
		  out.find("ebonypier_log_lines_dropped_total 1\n"))
		<< out;
	close(null);
}

/* Guards against a failed start whose error does not name the address. */
TEST_F(Admin, PortInUse)
{
	eb_settings other = se;
	eb_error err = {};

	other.admin_port = eb_admin_port(am);
	EXPECT_EQ(nullptr,
		  eb_admin_start(&other, mt, tr, lg, &ops, nullptr, &err));
	EXPECT_EQ(EB_EIO, err.status);
	EXPECT_NE(nullptr, strstr(err.message, "127.0.0.1:"));
}

} // namespace
