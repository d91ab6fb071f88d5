#include <gtest/gtest.h>

#include <signal.h>

#include <thread>

#include "harness.h"

namespace
{

/* Tests the stand-ins alone, because the other tests rely on them. */
struct Standin : testing::Test {
	Fleet fleet;

	Member &up()
	{
		return fleet[0];
	}
};

/* Guards against a body that depends on its framing or on chunk sizes. */
TEST_F(Standin, UpstreamServesTheDeterministicBody)
{
	fleet.start_upstream(0);
	for (const char *more : { "", "&chunked=1", "&seed=77" }) {
		HttpAnswer a = http_get(
			up().direct(std::string("/x?bytes=200000") + more));
		uint64_t seed = strstr(more, "seed") ? 77 : 0;

		EXPECT_EQ(0, a.code);
		EXPECT_EQ(200, a.status);
		EXPECT_EQ(pattern(200000, seed), a.body) << more;
	}
	EXPECT_EQ(pattern_checksum(200000), checksum(pattern(200000)));
}

/* Guards against an upload whose checksum or count of bytes is wrong. */
TEST_F(Standin, UpstreamAnswersWithLengthChecksumNonceAndExecutions)
{
	HttpRequest rq;

	fleet.start_upstream(0);
	rq.method = "PUT";
	rq.url = up().direct("/x");
	rq.upload_bytes = 300000;
	rq.headers = { "X-Nonce: n1", "Idempotency-Key: k1" };
	for (int i = 1; i <= 2; i++) {
		HttpAnswer a = http(rq);

		EXPECT_EQ("300000", a.json("length"));
		EXPECT_EQ(pattern_checksum(300000), a.json("checksum"));
		EXPECT_EQ("n1", a.json("nonce"));
		EXPECT_EQ(std::to_string(i), a.json("executions"));
		rq.chunked = true;
	}
	EXPECT_EQ(2, up().executions("k1"));
	EXPECT_EQ(0, up().executions("k2"));
}

/* Guards against a stand-in that runs more requests than it has slots. */
TEST_F(Standin, UpstreamHoldsAsManySlotsAsItHas)
{
	std::vector<std::thread> callers;
	int64_t start;

	fleet.options.slots = 2;
	fleet.options.service_us = 50000;
	fleet.start_upstream(0);
	start = now_us();
	for (int i = 0; i < 6; i++)
		callers.emplace_back(
			[this] { http_get(up().direct("/x?bytes=0")); });
	for (std::thread &t : callers)
		t.join();
	EXPECT_GE(now_us() - start, 150000);
}

struct fault_case {
	const char *fault;
	int code; /* CURLcode */
	long status;
	uint64_t bytes;
};

/* Guards against faults that are not injected. */
TEST_F(Standin, UpstreamFaults)
{
	const fault_case cases[] = {
		{ "{\"fail\":502}", 0, 502, 100000 },
		{ "{\"draining\":true}", 0, 503, 100000 },
		{ "{\"cut_bytes\":7}", 18, 200, 7 },
		{ "{\"refuse\":true}", 7, 0, 0 },
		{ "{}", 0, 200, 100000 },
	};

	fleet.start_upstream(0);
	for (const fault_case &c : cases) {
		HttpAnswer a;

		up().fault(c.fault);
		a = http_get(up().direct("/x?bytes=100000"));
		EXPECT_EQ(c.code, a.code) << c.fault;
		EXPECT_EQ(c.status, a.status) << c.fault;
		EXPECT_EQ(c.bytes, a.body_bytes) << c.fault;
	}
}

/*
 * Guards against a run that stays open in the record because the stand-in
 * did not notice that its caller disconnected in the middle of a body.
 */
TEST_F(Standin, UpstreamNoticesEachCutUpload)
{
	const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\n"
				 "Content-Length: 10000000\r\n\r\n";
	const std::string part(100000, 'x');

	fleet.start_upstream(0);
	for (int64_t cut = 1; cut <= 200; cut++) {
		RawSocket s(up().upstream_port);

		s.send(head);
		s.send(part);
		s.close();
		wait_until("cut " + std::to_string(cut),
			   [&] { return up().runs_count("cut") == cut; });
	}
	EXPECT_EQ(0, up().runs_count("executed"));
}

/* Guards against a crash or hang-up that leaves no trace in the record. */
TEST_F(Standin, UpstreamCrashAndHangUp)
{
	fleet.start_upstream(0);
	up().fault("{\"silent\":true}");
	{
		RawSocket s(up().upstream_port);

		s.send("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n");
		wait_until("the request",
			   [this] { return up().runs_count("started") == 1; });
	}
	wait_until("the hang-up",
		   [this] { return up().runs_count("cut") == 1; });
	EXPECT_EQ(0, up().runs_count("executed"));
	up().fault("{}");
	EXPECT_NE(0, http_post(up().direct("/x"), "a", { "X-Crash: 1" }).code);
	EXPECT_EQ(3, up().upstream->wait());
}

/* Guards against notes that are lost, reordered or served when faulty. */
TEST_F(Standin, PlatformServesTheLog)
{
	std::string notes;

	fleet.start_platform();
	notes = "http://" + loopback(fleet.platform_port) + "/v1/notes?after=";
	EXPECT_EQ("1", http_get(notes + "0").json("index"));
	std::thread watch([&] {
		EXPECT_EQ("2",
			  http_get(notes + "1&wait_ms=60000").json("index"));
	});
	wait_until("the watch",
		   [this] { return fleet.platform_stat("watching") == 1; });
	EXPECT_EQ(2, fleet.publish("{\"release\":2}"));
	watch.join();
	EXPECT_EQ(0, fleet.publish("not JSON"));
	EXPECT_EQ(2, fleet.platform_stat("notes_calls"));
	fleet.platform_fault("{\"stale\":1}");
	EXPECT_EQ("1", http_get(notes + "0").json("index"));
	fleet.platform_fault("{\"down\":true}");
	EXPECT_NE(0, http_get(notes + "0").code);
	fleet.platform_fault("{}");
	EXPECT_EQ("2", http_get(notes + "0").json("index"));
}

/* Guards against a list of VMs that ignores the configured lag. */
TEST_F(Standin, PlatformListsVms)
{
	std::string vms;
	std::string live = "[{\"address\":\"" + loopback(up().daemon_port) +
			   "\",\"state\":\"live\"}]";

	fleet.start_platform();
	vms = "http://" + loopback(fleet.platform_port) + "/v1/vms";
	EXPECT_EQ(live, http_get(vms).json("vms"));
	fleet.platform_fault("{\"vms_lag_ms\":3600000}");
	fleet.vm(0, "leaving");
	EXPECT_EQ(live, http_get(vms).json("vms"));
	fleet.platform_fault("{}");
	fleet.vm(0, "gone");
	EXPECT_EQ("[]", http_get(vms).json("vms"));
}

/* Guards against a stand-in that does not exit with a suspended request. */
TEST_F(Standin, EndsOnSigtermWithRequestsInside)
{
	fleet.start_platform();
	fleet.start_upstream(0);
	up().fault("{\"silent\":true}");
	RawSocket a(up().upstream_port), b(fleet.platform_port);
	a.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
	b.send("GET /v1/notes?after=1&wait_ms=60000 HTTP/1.1\r\n"
	       "Host: a\r\n\r\n");
	wait_until("both requests", [this] {
		return up().runs_count("started") == 1 &&
		       fleet.platform_stat("watching") == 1;
	});
	EXPECT_EQ(0, up().upstream->stop());
	EXPECT_EQ(0, fleet.platform->stop());
}

/* Guards against a relay that changes bytes or ignores its faults. */
TEST_F(Standin, RelayPassesDelaysCutsAndTrickles)
{
	fleet.start_upstream(0);
	Relay relay(up().upstream_port);
	std::string url = "http://" + loopback(relay.port) + "/x?bytes=";
	int64_t start;

	EXPECT_EQ(pattern_checksum(5000000),
		  http_get(url + "5000000").checksum);
	relay.fault("{\"delay_ms\":50}");
	start = now_us();
	EXPECT_EQ(pattern(100), http_get(url + "100").body);
	EXPECT_GE(now_us() - start, 100000);
	relay.fault("{\"byte_us\":200}");
	start = now_us();
	EXPECT_EQ(pattern(500), http_get(url + "500").body);
	EXPECT_GE(now_us() - start, 100000);
	relay.fault("{\"refuse\":true}");
	EXPECT_EQ(7, http_get(url + "1").code);
	relay.fault("{}");
	std::thread cutter([&] {
		wait_until("the request",
			   [this] { return up().runs_count("started") == 4; });
		relay.cut();
	});
	EXPECT_NE(0, http_get(url + "100000000&trickle=1").code);
	cutter.join();
	EXPECT_EQ(0, relay.process->stop());
}

/* Guards against a relay that accepts after it answered that it refuses. */
TEST_F(Standin, RelayRefusesFromItsAnswerOn)
{
	fleet.start_upstream(0);
	Relay relay(up().upstream_port);
	std::string url = "http://" + loopback(relay.port) + "/x?bytes=1";

	for (int i = 0; i < 200; i++) {
		relay.fault("{\"refuse\":true}");
		ASSERT_EQ(7, http_get(url).code) << "round " << i;
		relay.fault("{}");
		ASSERT_EQ(0, http_get(url).code) << "round " << i;
	}
	EXPECT_EQ(0, relay.process->stop());
}

/* Guards against a silenced link that is closed or still passes bytes. */
TEST_F(Standin, RelaySilencesOneWayAndOpenLinksOnly)
{
	fleet.start_upstream(0);
	Relay relay(up().upstream_port);
	RawSocket s(relay.port);
	const char *get = "GET /x?bytes=1 HTTP/1.1\r\nHost: a\r\n\r\n";

	relay.fault("{\"silent\":\"backward\"}");
	s.send(get);
	wait_until("the run", [this] { return up().runs_count("ended") == 1; });
	EXPECT_EQ(0, relay.stat("backward_bytes"));
	relay.fault("{}");
	EXPECT_EQ(200, raw_status(s.receive_answer()));
	relay.silence_open();
	s.send(get);
	EXPECT_EQ(200,
		  http_get("http://" + loopback(relay.port) + "/x").status);
	EXPECT_EQ(2, up().runs_count("started"));
}

} // namespace
