#include <curl/curl.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "site.h"

namespace
{

/* Makes a key and a self-signed certificate for 127.0.0.1 with certtool. */
void generate_certificate(const std::string &dir, const std::string &name)
{
	std::string base = dir + "/" + name;
	std::ofstream(base + ".cfg") << "cn = \"" << name
				     << "\"\nip_address = \"127.0.0.1\"\n"
					"ca\nexpiration_days = 2\n"
					"tls_www_server\n";
	Process key({ "/usr/bin/certtool", "--generate-privkey",
		      "--key-type=ecdsa", "--outfile", base + ".key" });
	ASSERT_EQ(0, key.wait()) << key.log();
	Process cert({ "/usr/bin/certtool", "--generate-self-signed",
		       "--load-privkey", base + ".key", "--template",
		       base + ".cfg", "--outfile", base + ".pem" });
	ASSERT_EQ(0, cert.wait()) << cert.log();
}

void copy_file(const std::string &from, const std::string &to)
{
	std::ifstream in(from, std::ios::binary);
	std::ofstream(to, std::ios::binary) << in.rdbuf();
}

/* An HTTPS client that trusts one certificate and keeps its connection. */
class TlsCaller
{
public:
	explicit TlsCaller(const std::string &ca) : curl(curl_easy_init())
	{
		curl_easy_setopt(curl, CURLOPT_CAINFO, ca.c_str());
		curl_easy_setopt(curl, CURLOPT_PROXY, "");
		curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	}

	~TlsCaller()
	{
		curl_easy_cleanup(curl);
	}

	CURLcode get(const std::string &url)
	{
		curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
		return curl_easy_perform(curl);
	}

	void use_http10()
	{
		curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
				 CURL_HTTP_VERSION_1_0);
	}

	long connects()
	{
		long n = 0;

		curl_easy_getinfo(curl, CURLINFO_NUM_CONNECTS, &n);
		return n;
	}

private:
	static size_t discard(char *, size_t size, size_t n, void *)
	{
		return size * n;
	}

	CURL *curl;
};

struct Tls : testing::Test {
	std::string dir = temp_dir(), cert = dir + "/now.pem",
		    key = dir + "/now.key";
	FleetOptions op;

	void SetUp() override
	{
		generate_certificate(dir, "first");
		generate_certificate(dir, "second");
		use("first");
		op.daemon_flags = { "--tls-certificate", cert, "--tls-key",
				    key };
		op.wait_links = false;
	}

	void use(const std::string &name)
	{
		copy_file(dir + "/" + name + ".key", key);
		copy_file(dir + "/" + name + ".pem", cert);
	}

	static std::string url(Fleet &fleet)
	{
		return "https://" + loopback(fleet[0].listen_port) +
		       "/agenda/x?bytes=100000";
	}
};

/*
 * Guards against a replaced certificate that is not served, and against
 * connections that are cut by the replacement.
 */
TEST_F(Tls, CertificateIsReplacedWithoutCuttingConnections)
{
	Fleet fleet(op);
	fleet.start();
	TlsCaller kept(dir + "/first.pem");

	ASSERT_EQ(CURLE_OK, kept.get(url(fleet)));
	EXPECT_EQ(1, kept.connects());
	use("second");
	wait_until("the new certificate", [&] {
		return TlsCaller(dir + "/second.pem").get(url(fleet)) ==
		       CURLE_OK;
	});
	EXPECT_EQ(CURLE_OK, kept.get(url(fleet)));
	EXPECT_EQ(0, kept.connects());
	EXPECT_NE(CURLE_OK, TlsCaller(dir + "/first.pem").get(url(fleet)));
}

/* Guards against a mismatched key and certificate replacing a valid pair. */
TEST_F(Tls, MismatchedPairIsNotUsed)
{
	Fleet fleet(op);
	fleet.start();
	copy_file(dir + "/second.pem", cert);
	wait_until("the log line", [&] {
		return fleet[0].daemon->log().find(
			       "kept the old certificate") != std::string::npos;
	});
	EXPECT_EQ(CURLE_OK, TlsCaller(dir + "/first.pem").get(url(fleet)));
}

/*
 * Guards against an answer without a length that looks complete to a caller of
 * HTTP/1.0, though it broke off, and against one without the close alert that
 * shows that it is complete.
 */
TEST_F(Tls, TheCloseAlertFollowsOnlyAWholeAnswer)
{
	Fleet fleet(op);
	std::atomic<bool> breaks{ true };

	fleet.start();
	fleet[0].upstream->kill();
	SiteServer upstream("127.0.0.1", fleet[0].upstream_port,
			    [&](SiteConnection &cn) {
				    SiteRequest rq;

				    cn.read(rq);
				    cn.write("HTTP/1.1 200 OK\r\n\r\n" +
					     std::string(200000, 'x'));
				    sleep_ms(50);
				    if (breaks)
					    cn.reset();
			    });
	for (int i = 0; i < 10; i++) {
		TlsCaller caller(dir + "/first.pem");

		breaks = i % 2 == 0;
		caller.use_http10();
		EXPECT_EQ(!breaks, caller.get(url(fleet)) == CURLE_OK);
	}
}

/* Guards against plain HTTP being answered on the port for HTTPS. */
TEST_F(Tls, PlainHttpIsNotAnswered)
{
	Fleet fleet(op);
	fleet.start();
	RawSocket s(fleet[0].listen_port);

	s.send("GET /agenda/x HTTP/1.1\r\nHost: a\r\n\r\n");
	EXPECT_EQ(std::string::npos, s.receive_all().find("HTTP/1.1 200"));
	EXPECT_EQ(0, fleet.runs_count("executed"));
}

} // namespace
