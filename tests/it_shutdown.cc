#include <gtest/gtest.h>

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>

#include <atomic>
#include <fstream>
#include <thread>

#include "harness.h"

namespace
{

/*
 * A service with two upstreams, so that one may leave. Callers use both
 * daemons; each request of a test lasts until the shutdown has begun.
 */
struct Shutdown : testing::Test {
	Fleet fleet;

	Shutdown() : fleet(options())
	{
	}
	static FleetOptions options()
	{
		FleetOptions op;

		op.services = { { "agenda", 2 } };
		op.slots = 20;
		return op;
	}
	void SetUp() override
	{
		fleet.start();
	}
	/* Returns the number of runs in progress on both upstreams. */
	int64_t running()
	{
		return fleet.runs_count("started") - fleet.runs_count("ended");
	}
};

struct Transfers {
	std::vector<std::thread> threads;
	std::vector<HttpAnswer> answers{ 24 };
	std::atomic<bool> resume{ false };

	~Transfers()
	{
		join();
	}
	void join()
	{
		resume = true;
		for (std::thread &t : threads)
			t.join();
		threads.clear();
	}
};

/*
 * Starts uploads that pause in the middle, trickled downloads, and requests
 * that wait for their answer, through one daemon.
 */
void start_transfers(Transfers &tr, Member &m)
{
	for (size_t i = 0; i < tr.answers.size(); i++) {
		tr.threads.emplace_back([&tr, &m, i] {
			HttpRequest rq;

			rq.url = m.url("/agenda/x");
			if (i % 3 == 0) {
				rq.method = "PUT";
				rq.upload_bytes = 3000000;
				rq.on_upload = [&tr](uint64_t sent) {
					while (sent > 1000000 && !tr.resume)
						sleep_ms(5);
					return true;
				};
			} else if (i % 3 == 1) {
				rq.url += "?bytes=3000000";
				rq.on_data = [&tr](size_t) {
					while (!tr.resume)
						sleep_ms(5);
					return true;
				};
			} else {
				rq.method = "POST";
				rq.url += "?delay_us=1500000";
				rq.headers = { "Idempotency-Key: down-" +
					       std::to_string(i) };
			}
			tr.answers[i] = HttpClient().send(rq);
		});
	}
}

void check_transfers(Fleet &fleet, const Transfers &tr)
{
	for (size_t i = 0; i < tr.answers.size(); i++) {
		const HttpAnswer &a = tr.answers[i];

		SCOPED_TRACE(i);
		EXPECT_TRUE(a.complete(200)) << a.code << " " << a.status;
		if (i % 3 == 0)
			EXPECT_EQ(pattern_checksum(3000000),
				  a.json("checksum"));
		else if (i % 3 == 1)
			EXPECT_EQ(pattern_checksum(3000000), a.checksum);
		else
			EXPECT_EQ(1, fleet.executions("down-" +
						      std::to_string(i)));
	}
}

/* Guards against a shutdown that cuts calls in flight at an origin. */
TEST_F(Shutdown, SigtermCutsNothing)
{
	Transfers tr;

	start_transfers(tr, fleet[0]);
	wait_until("the transfers", [&] { return running() >= 16; });
	fleet[0].daemon->signal(SIGTERM);
	wait_until("the shutdown",
		   [this] { return fleet[0].metric("draining") != 0; });
	EXPECT_TRUE(fleet[0].daemon->running());
	tr.join();
	check_transfers(fleet, tr);
	EXPECT_EQ(0, fleet[0].daemon->wait()) << fleet[0].daemon->log();
}

/* The same for a second and a third SIGTERM. */
TEST_F(Shutdown, SecondSigtermCutsNothing)
{
	Transfers tr;

	start_transfers(tr, fleet[0]);
	wait_until("the transfers", [&] { return running() >= 16; });
	for (int i = 0; i < 3; i++) {
		fleet[0].daemon->signal(SIGTERM);
		sleep_ms(100);
	}
	EXPECT_TRUE(fleet[0].daemon->running());
	tr.join();
	check_transfers(fleet, tr);
	EXPECT_EQ(0, fleet[0].daemon->wait()) << fleet[0].daemon->log();
}

/* Guards against a gate that exits while it runs calls of other origins. */
TEST_F(Shutdown, GateFinishesCallsOfItsOrigins)
{
	Transfers tr;

	start_transfers(tr, fleet[1]);
	wait_until("the transfers", [&] { return running() >= 16; });
	fleet[0].daemon->signal(SIGTERM);
	wait_until("the shutdown",
		   [this] { return fleet[0].metric("draining") != 0; });
	tr.join();
	check_transfers(fleet, tr);
	EXPECT_EQ(0, fleet[0].daemon->wait()) << fleet[0].daemon->log();
	/* The other daemon continues with the remaining upstream. */
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(http_get(fleet[1].url("/agenda/x")).complete(200));
}

/* Guards against new work for an upstream 3 s after it was drained. */
TEST_F(Shutdown, DrainedUpstreamGetsNoNewWork)
{
	int64_t before;

	EXPECT_LT(
		http_post("http://" + loopback(fleet[0].admin_port) + "/drain",
			  "")
			.status,
		300);
	sleep_ms(3000);
	before = fleet[0].runs_count("started");
	for (int i = 0; i < 50; i++)
		EXPECT_TRUE(http_get(fleet[1].url("/agenda/x")).complete(200));
	EXPECT_EQ(before, fleet[0].runs_count("started"));
}

/* The same for a VM 3 s after the platform lists it as leaving. */
TEST_F(Shutdown, LeavingVmGetsNoNewWork)
{
	int64_t before;

	fleet.vm(0, "leaving");
	sleep_ms(3000);
	before = fleet[0].runs_count("started");
	for (int i = 0; i < 50; i++)
		EXPECT_TRUE(http_get(fleet[1].url("/agenda/x")).complete(200));
	EXPECT_EQ(before, fleet[0].runs_count("started"));
}

/* Guards against a shutdown that waits for idle connections. */
TEST_F(Shutdown, IdleDaemonEnds)
{
	RawSocket idle(fleet[0].listen_port);
	HttpClient kept;

	ASSERT_TRUE(kept.get(fleet[0].url("/agenda/x")).complete(200));
	EXPECT_EQ(0, fleet[0].daemon->stop()) << fleet[0].daemon->log();
}

/* Paths of the regular files open for writing, except descriptors 0 to 2. */
std::string files_written(pid_t pid)
{
	std::string dir = "/proc/" + std::to_string(pid), found;
	DIR *fds = opendir((dir + "/fd").c_str());

	for (dirent *e; fds && (e = readdir(fds));) {
		std::ifstream in(dir + "/fdinfo/" + e->d_name);
		std::string line, path = dir + "/fd/" + e->d_name;
		struct stat st;

		if (atoi(e->d_name) <= 2 || stat(path.c_str(), &st) ||
		    !S_ISREG(st.st_mode))
			continue;
		while (std::getline(in, line))
			if (!line.compare(0, 6, "flags:") &&
			    (strtol(line.c_str() + 6, nullptr, 8) & O_ACCMODE))
				found += path + " ";
	}
	if (fds)
		closedir(fds);
	return found;
}

/* Process ids of the children of all threads of a process. */
std::string children(pid_t pid)
{
	std::string dir = "/proc/" + std::to_string(pid) + "/task", found;
	DIR *tasks = opendir(dir.c_str());

	for (dirent *e; tasks && (e = readdir(tasks));) {
		std::ifstream in(dir + "/" + e->d_name + "/children");
		std::string pid_text;

		while (in >> pid_text)
			found += pid_text + " ";
	}
	if (tasks)
		closedir(tasks);
	return found;
}

/* Guards against child processes and against writes to a disk. */
TEST_F(Shutdown, StartsNoProcessAndWritesNoFile)
{
	Transfers tr;

	start_transfers(tr, fleet[0]);
	wait_until("the transfers", [&] { return running() >= 16; });
	for (int i = 0; i < 20; i++) {
		for (size_t m = 0; m < fleet.size(); m++) {
			EXPECT_EQ("", children(fleet[m].daemon->pid()));
			EXPECT_EQ("", files_written(fleet[m].daemon->pid()));
		}
		sleep_ms(5);
	}
	tr.join();
	check_transfers(fleet, tr);
}

} // namespace
