#include <gtest/gtest.h>

#include <cstring>
#include <thread>

#include <signal.h>
#include <zmq.h>

#include "harness.h"

extern "C" {
#include "eb_wire.h"
}

namespace
{

/* A DEALER socket connected to the ZeroMQ port of a daemon. */
class Dealer
{
public:
	/* Connects without CURVE if `keys` is NULL. */
	Dealer(const Member &to, const KeyPair *keys)
		: zmq_(zmq_ctx_new()), socket_(zmq_socket(zmq_, ZMQ_DEALER))
	{
		int zero = 0;

		zmq_setsockopt(socket_, ZMQ_LINGER, &zero, sizeof(zero));
		if (keys) {
			zmq_setsockopt(socket_, ZMQ_CURVE_SERVERKEY,
				       to.keys.public_key.c_str(), 41);
			zmq_setsockopt(socket_, ZMQ_CURVE_PUBLICKEY,
				       keys->public_key.c_str(), 41);
			zmq_setsockopt(socket_, ZMQ_CURVE_SECRETKEY,
				       keys->secret_key.c_str(), 41);
		}
		zmq_connect(socket_,
			    ("tcp://" + loopback(to.daemon_port)).c_str());
	}
	~Dealer()
	{
		zmq_close(socket_);
		zmq_ctx_term(zmq_);
	}
	Dealer(const Dealer &) = delete;
	Dealer &operator=(const Dealer &) = delete;
	void send(const std::string &bytes)
	{
		zmq_send(socket_, bytes.data(), bytes.size(), ZMQ_DONTWAIT);
	}
	/* Receives the next frame of a type; NULL if none comes in time. */
	eb_frame *receive_type(eb_frame_type type)
	{
		int wait_ms = 5000, n;
		eb_frame *f = nullptr;
		char buf[65536];

		zmq_setsockopt(socket_, ZMQ_RCVTIMEO, &wait_ms,
			       sizeof(wait_ms));
		do {
			eb_frame_unref(f);
			f = nullptr;
			n = zmq_recv(socket_, buf, sizeof(buf), 0);
			if (n < 0 || eb_wire_decode(buf, (size_t)n, &f))
				return nullptr;
		} while (f->type != type);
		return f;
	}

private:
	void *zmq_;
	void *socket_;
};

/* Encodes a frame of the forged sender; takes the reference over. */
std::string encoded(eb_frame *f, uint8_t version = EB_WIRE_VERSION)
{
	msgpack_sbuffer sb;
	std::string out;

	f->sender = 4711;
	msgpack_sbuffer_init(&sb);
	EXPECT_EQ(EB_OK, eb_wire_encode(f, version, &sb));
	out.assign(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	eb_frame_unref(f);
	return out;
}

/* Returns the HEAD frame of a request to run on `upstream`. */
std::string head_frame(const std::string &upstream, uint64_t call,
		       bool chunked = false, uint8_t version = EB_WIRE_VERSION)
{
	eb_frame *f = eb_frame_new(EB_FRAME_HEAD, call);

	f->head->service = strdup("near");
	f->head->upstream = strdup(upstream.c_str());
	f->head->method = strdup(chunked ? "PUT" : "POST");
	f->head->target = strdup("/near/forged");
	f->head->remaining_us = 5000000;
	f->head->hops = 5;
	f->head->body_kind = chunked ? EB_BODY_CHUNKED : EB_BODY_NONE;
	return encoded(f, version);
}

/* Returns a frame of a request's body, `bytes` after its start. */
std::string body_frame(eb_frame_type type, uint64_t call, uint64_t offset,
		       size_t bytes, uint8_t version = EB_WIRE_VERSION)
{
	std::string data(bytes, 'x');
	eb_frame *f = eb_frame_new_data(type, call, data.data(),
					(uint32_t)data.size());

	f->offset_bytes = offset;
	return encoded(f, version);
}

struct Peers : testing::Test {
	Fleet fleet;

	Peers() : fleet(options())
	{
	}
	static FleetOptions options()
	{
		FleetOptions op;

		op.services = { { "near" }, { "far" } };
		return op;
	}
	void SetUp() override
	{
		fleet.start();
	}
	void check_alive()
	{
		for (size_t i = 0; i < fleet.size(); i++)
			ASSERT_TRUE(fleet[i].daemon->running())
				<< fleet[i].daemon->log();
		EXPECT_TRUE(http_get(fleet[0].url("/near/x")).complete(200));
		EXPECT_TRUE(http_get(fleet[0].url("/far/x")).complete(200));
	}
};

/* Guards against requests from a peer whose key no release lists. */
TEST_F(Peers, UnknownKeyIsRefusedAndCounted)
{
	KeyPair unknown = new_key_pair();
	double before = fleet[0].metric("peer_auth_failed_total");
	Dealer dealer(fleet[0], &unknown);

	for (uint64_t i = 1; i <= 10; i++)
		dealer.send(head_frame("near-1", i));
	wait_until("the refusal", [&] {
		return fleet[0].metric("peer_auth_failed_total") > before;
	});
	check_alive();
	EXPECT_EQ(1, fleet[0].runs_count("started"));
}

/* Guards against a port that also accepts frames without CURVE. */
TEST_F(Peers, PlainPeerIsRefused)
{
	double frames = fleet[0].metric("frames_in_total");
	Dealer dealer(fleet[0], nullptr);

	for (uint64_t i = 1; i <= 10; i++) {
		dealer.send(head_frame("near-1", i));
		sleep_ms(20);
	}
	check_alive();
	EXPECT_EQ(1, fleet[0].runs_count("started"));
	/* Only the peer's heartbeats and answers may have come in. */
	EXPECT_LT(fleet[0].metric("frames_in_total") - frames, 10);
}

/* Guards against a secret key that does not belong to the public one. */
TEST_F(Peers, KnownKeyWithoutItsSecretIsRefused)
{
	KeyPair forged = { fleet[1].keys.public_key,
			   new_key_pair().secret_key };
	Dealer dealer(fleet[0], &forged);

	for (uint64_t i = 1; i <= 10; i++) {
		dealer.send(head_frame("near-1", i));
		sleep_ms(20);
	}
	check_alive();
	EXPECT_EQ(1, fleet[0].runs_count("started"));
}

/* Guards against a daemon that crashes on invalid bytes on its port. */
TEST_F(Peers, GarbageOnThePort)
{
	const std::string parts[] = {
		"GET / HTTP/1.1\r\n\r\n",
		std::string(100000, '\xff'),
		std::string(64, '\0'),
		std::string("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0CURVE", 17) +
			std::string(200, '\x01'),
	};

	for (const std::string &bytes : parts) {
		for (int i = 0; i < 10; i++) {
			RawSocket s(fleet[0].daemon_port);

			s.send(bytes);
			if (i % 2)
				s.reset();
		}
	}
	check_alive();
}

/* Guards against malformed messages from an authenticated peer. */
TEST_F(Peers, GarbageOfAKnownPeerIsCounted)
{
	std::string good = head_frame("near-1", 1);
	double before = fleet[0].metric("frames_bad_total");
	const std::string bad[] = {
		"",
		"x",
		good.substr(0, good.size() / 2),
		good + "x",
		std::string(300000, 'x'),
		"\x95\x01\x63\x01\x02\x03",
		std::string("\xdd\xff\xff\xff\xff", 5),
	};
	Dealer dealer(fleet[0], &fleet[1].keys);

	for (const std::string &bytes : bad)
		dealer.send(bytes);
	wait_until("the count", [&] {
		return fleet[0].metric("frames_bad_total") - before >= 6;
	});
	check_alive();
	EXPECT_EQ(1, fleet[0].runs_count("started"));
}

/* Guards against a gate that runs a request for another gate's upstream. */
TEST_F(Peers, FrameForAnotherUpstreamIsNotRun)
{
	Dealer dealer(fleet[0], &fleet[1].keys);

	for (uint64_t i = 1; i <= 10; i++) {
		dealer.send(head_frame("far-1", i));
		sleep_ms(20);
	}
	check_alive();
	EXPECT_EQ(1, fleet[0].runs_count("started"));
	EXPECT_EQ(1, fleet[1].runs_count("started"));
}

/*
 * Guards against a daemon that refuses the frames of the version before it, or
 * answers them in a version that their sender refuses.
 */
TEST_F(Peers, TheVersionBeforeIsServed)
{
	for (uint8_t version : { 1, 2 }) {
		int64_t before = fleet[0].runs_count("executed");
		uint64_t call = 100 + version;
		Dealer dealer(fleet[0], &fleet[1].keys);
		eb_frame *f;

		dealer.send(encoded(eb_frame_new(EB_FRAME_HELLO, 0), version));
		f = dealer.receive_type(EB_FRAME_HELLO);
		ASSERT_NE(nullptr, f);
		EXPECT_EQ(version, f->wire_version);
		eb_frame_unref(f);
		dealer.send(head_frame("near-1", call, true, version));
		sleep_ms(100);
		dealer.send(body_frame(EB_FRAME_DATA, call, 0, 900, version));
		dealer.send(body_frame(EB_FRAME_DATA, call, 900, 900, version));
		dealer.send(body_frame(EB_FRAME_END, call, 1800, 0, version));
		f = dealer.receive_type(EB_FRAME_RHEAD);
		ASSERT_NE(nullptr, f);
		EXPECT_EQ(version, f->wire_version);
		EXPECT_EQ(200, f->reply->status);
		EXPECT_EQ(call, f->call);
		eb_frame_unref(f);
		EXPECT_EQ(1, fleet[0].runs_count("executed") - before);
	}
	check_alive();
}

/*
 * Guards against an upload that runs without the frames that were lost between
 * two daemons: the upstream cannot notice, as the body comes in chunks.
 */
TEST_F(Peers, AnUploadWithALostFrameIsNotRun)
{
	const struct {
		const char *name;
		std::vector<std::pair<uint64_t, size_t>>
			data; /* offset, size */
		uint64_t end;
		int executed;
	} cases[] = {
		{ "all", { { 0, 900 }, { 900, 900 }, { 1800, 900 } }, 2700, 1 },
		{ "without the first",
		  { { 900, 900 }, { 1800, 900 } },
		  2700,
		  0 },
		{ "without the second",
		  { { 0, 900 }, { 1800, 900 } },
		  2700,
		  0 },
		{ "without the last", { { 0, 900 }, { 900, 900 } }, 2700, 0 },
		{ "one of them twice",
		  { { 0, 900 }, { 900, 900 }, { 900, 900 } },
		  2700,
		  0 },
	};
	uint64_t call = 1;

	for (const auto &c : cases) {
		int before = fleet[0].runs_count("executed");
		Dealer dealer(fleet[0], &fleet[1].keys);

		dealer.send(head_frame("near-1", call, true));
		sleep_ms(100);
		for (const auto &part : c.data)
			dealer.send(body_frame(EB_FRAME_DATA, call, part.first,
					       part.second));
		dealer.send(body_frame(EB_FRAME_END, call, c.end, 0));
		wait_until("the end of the call",
			   [&] { return !fleet[0].metric("calls_active"); });
		sleep_ms(100);
		EXPECT_EQ(c.executed, fleet[0].runs_count("executed") - before)
			<< c.name;
		call++;
	}
	check_alive();
}

/* Guards against a peer that stays unreachable after it restarts. */
TEST_F(Peers, RestartedPeerServesAgain)
{
	for (int round = 0; round < 3; round++) {
		if (round == 1)
			EXPECT_EQ(0, fleet[1].daemon->stop());
		else
			fleet[1].daemon->kill();
		fleet.start_daemon(1);
		fleet.wait_ready(1);
		wait_until("the restarted peer", [this] {
			return http_get(fleet[0].url("/far/x")).complete(200);
		});
	}
	check_alive();
}

/* Guards against calls that survive a restart of their gate. */
TEST_F(Peers, RestartEndsCallsOfTheOldIncarnation)
{
	HttpAnswer a;

	check_alive();
	std::thread restart([this] {
		wait_until("the run",
			   [this] { return fleet[1].executions("old") == 1; });
		fleet[1].daemon->kill();
		fleet.start_daemon(1);
	});
	a = http_post(fleet[0].url("/far/x?delay_us=3000000000"), "a",
		      { "Idempotency-Key: old" });
	restart.join();
	EXPECT_EQ(0, a.code);
	EXPECT_EQ("unknown", a.outcome()) << a.status;
	EXPECT_EQ(1, fleet.executions("old"));
}

} // namespace
