#include "../common-2.h"

/*
 * A backend is slow, and uploads reach its daemon at once: four run, the others
 * wait at the daemon. Then the backend reports that it leaves. The case fails
 * if an upload that waits reaches the backend later than drainMs.
 */

const char *const BOUNDS =
	"{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":4000,"
	"\"ackMs\":6000,\"catchUpS\":6,\"drainMs\":3000,\"graceS\":10,"
	"\"lostSlackMs\":200,\"configMs\":3000,\"backSlackMs\":250,"
	"\"maxStretchMs\":6000,\"budgetRatio\":0.2,\"budgetWindowS\":10,"
	"\"budgetExtra\":630,\"recoverS\":15,\"probesPerS\":60}";
const int64_t DRAIN_US = 3000000;
/* "A little longer" than drainMs, after which the backend exits. */
const int64_t LONGER_US = 1500000;
const int64_t WORK_MS = 320;
const int64_t SLOW_TIMES = 12;
const int UPLOADS = 24;
const size_t SLOW = 0;

int main(int argc, char **argv)
{
	std::vector<std::string> services{ "taller", "taller", "taller",
					   "vitrina" };
	Record record(argc > 1 ? argv[1] : "record.txt");
	Machines ms(services, BOUNDS, 5);
	std::vector<std::thread> consumers;
	std::atomic<int> lost{ 0 };
	std::atomic<bool> slow{ false };
	int64_t left_us;
	int late = 0;

	for (size_t i = 0; i < ms.list.size(); i++)
		ms[i].backend->on("/", [&, i](SiteConnection &cn,
					      const SiteRequest &rq) {
			SiteRequest all = rq;

			cn.read_body(all);
			sleep_ms(WORK_MS *
				 (i == SLOW && slow ? SLOW_TIMES : 1));
			cn.write(ms[i].backend->answer(rq, ms[i].backend->id));
		});
	ms.publish_all(config(
		7,
		route("r-1", "/v/", "safe", "vitrina", 2000, 600) + "," +
			route("r-2", "/u/", "upload", "taller", 6000, 1000),
		service("taller") + "," + service("vitrina")));
	ms.start_all();
	ms.wait_ready();
	sleep_ms(8000);
	if (with_trouble()) {
		slow = true;
		record.line(ms[SLOW].backend->id + " is slow");
	}
	for (int k = 0; k < UPLOADS; k++)
		consumers.emplace_back([&, k] {
			std::string id = "upload-" + std::to_string(k);
			HttpRequest rq = ms.request(SLOW, "POST", "/u/art", id,
						    6000);

			rq.body = std::string(60000, 'x');
			record.line(id + " is sent");
			HttpAnswer a = http(rq);

			lost += !a.complete(200) && !a.complete(503);
			record.line(id + " answered with " +
				    std::to_string(a.status) + ", code " +
				    std::to_string(a.code) + ", stamp " +
				    a.header("Ebonypier-Response-Stamp"));
		});
	sleep_ms(150);
	ms.store->put(ms[SLOW].backend->key(), ms.entry(SLOW, "draining", 2));
	left_us = now_us();
	record.line("the store has accepted that " + ms[SLOW].backend->id +
		    " is draining");
	sleep_ms((DRAIN_US + LONGER_US) / 1000);
	ms[SLOW].backend->crash();
	record.line(ms[SLOW].backend->id + " exits");
	for (std::thread &t : consumers)
		t.join();
	for (Machine &m : ms.list)
		for (auto &run : m.backend->all_runs())
			for (int64_t us : run.second.begun_us)
				record.line(run.first + " reached " +
					    m.backend->id + " " +
					    std::to_string((us - left_us) /
							   1000) +
					    " ms after the departure was "
					    "accepted");
	for (auto &run : ms[SLOW].backend->all_runs())
		for (int64_t us : run.second.begun_us)
			late += us - left_us > DRAIN_US;
	record.line("uploads " + std::to_string(UPLOADS) +
		    ", with 502, 504 or no answer " + std::to_string(lost) +
		    ", late at the backend " + std::to_string(late));
	if (getenv("LOGS"))
		ms.print_logs(getenv("LOGS"));
	return late ? 1 : 0;
}
