#include "../common-2.h"

extern "C" {
#include "eb_feed_sync.h"
}

/*
 * Another writer puts one large entry into the store. Right after it two
 * backends report that they leave. The case fails if a request reaches one of
 * them later than drainMs after the store has accepted its report.
 */

const char *const BOUNDS =
	"{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,"
	"\"ackMs\":5000,\"catchUpS\":6,\"drainMs\":3000,\"graceS\":6,"
	"\"lostSlackMs\":200,\"configMs\":3000,\"backSlackMs\":250,"
	"\"maxStretchMs\":5000,\"budgetRatio\":0.2,\"budgetWindowS\":10,"
	"\"budgetExtra\":206,\"recoverS\":15,\"probesPerS\":60}";
const int64_t DRAIN_US = 3000000;
/* "A little longer" than drainMs, after which the backends exit. */
const int64_t LONGER_US = 2000000;
const size_t COUNT = 18;
/* As most machines of the site. */
const int LINK_MBPS = 12;
const size_t ENTRY_BYTES = 1000000;
const int64_t WORK_MS = 120;

/* An entry of another writer: `slots` is missing, and it has a long note. */
std::string foreign_entry()
{
	static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "abcdefghijklmnopqrstuvwxyz0123456789-_";
	std::string note;
	uint64_t x = 88172645463325252ULL;

	while (note.size() < ENTRY_BYTES) {
		x ^= x << 13;
		x ^= x >> 7;
		x ^= x << 17;
		note += letters[x >> 58];
	}
	return "{\"service\":\"agenda\",\"state\":\"ready\",\"note\":\"" +
	       note + "\"}";
}

int main(int argc, char **argv)
{
	std::vector<std::string> services;

	for (size_t i = 0; i < COUNT; i++)
		services.push_back(i % 3 == 0	? "vitrina"
				   : i % 3 == 1 ? "agenda"
						: "taller");
	Record record(argc > 1 ? argv[1] : "record.txt");
	Machines ms(services, BOUNDS, 5);
	std::atomic<bool> stopping{ false };
	std::atomic<int> sent{ 0 }, lost{ 0 };
	std::vector<std::thread> consumers;
	std::vector<size_t> leaving;
	int64_t left_us;
	int late = 0;

	ms.link_mbps = LINK_MBPS;
	for (Machine &m : ms.list)
		m.backend->on("/", [&m](SiteConnection &cn,
					const SiteRequest &rq) {
			SiteRequest all = rq;

			cn.read_body(all);
			sleep_ms(WORK_MS);
			cn.write(m.backend->answer(rq, m.backend->id));
		});
	ms.publish_all(config(
		7,
		route("r-1", "/v/", "safe", "vitrina", 1000, 400) + "," +
			route("r-2", "/a/", "unsafe", "agenda", 1200, 500) +
			"," +
			route("r-3", "/t/", "unsafe", "taller", 800, 200),
		service("agenda") + "," + service("taller") + "," +
			service("vitrina")));
	ms.start_all();
	ms.wait_ready();
	/* Two machines that do not read the store. */
	std::vector<size_t> order;
	for (size_t i = 0; i < COUNT; i++)
		if (services[i] == "agenda")
			order.push_back(i);
	std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
		return eb_feed_sync_order(ms.name(a).c_str()) >
		       eb_feed_sync_order(ms.name(b).c_str());
	});
	leaving.assign(order.begin(), order.begin() + 2);
	for (size_t i : leaving)
		for (int k = 0; k < 6; k++)
			consumers.emplace_back([&, i, k] {
				HttpClient client;
				int n = 0;

				while (!stopping) {
					std::string id =
						"booking-" + std::to_string(i) +
						"-" + std::to_string(k) + "-" +
						std::to_string(n++);
					HttpRequest rq = ms.request(
						i, "POST", "/a/book", id, 3000);

					rq.body = "swan";
					sent++;
					HttpAnswer a = client.send(rq);

					if (!a.complete(200)) {
						lost += !a.complete(503);
						record.line(
							id + " answered with " +
							std::to_string(
								a.status) +
							", code " +
							std::to_string(a.code));
					}
					sleep_ms(20);
				}
			});
	sleep_ms(8000);
	if (with_trouble()) {
		ms.store->put("servers/legacy-7", foreign_entry());
		record.line("another writer puts an entry of " +
			    std::to_string(ENTRY_BYTES) + " bytes");
	}
	sleep_ms(300);
	for (size_t i : leaving) {
		ms.store->put(ms[i].backend->key(), ms.entry(i, "draining", 2));
		record.line("the store has accepted that " +
			    ms[i].backend->id + " is draining");
	}
	left_us = now_us();
	sleep_ms((DRAIN_US + LONGER_US) / 1000);
	for (size_t i : leaving) {
		ms[i].backend->crash();
		record.line(ms[i].backend->id + " exits");
	}
	sleep_ms(2500);
	stopping = true;
	for (std::thread &t : consumers)
		t.join();
	for (size_t i : leaving)
		for (auto &run : ms[i].backend->all_runs())
			for (int64_t us : run.second.begun_us) {
				if (us - left_us <= DRAIN_US)
					continue;
				late++;
				record.line(run.first + " reached " +
					    ms[i].backend->id + " " +
					    std::to_string((us - left_us) /
							   1000) +
					    " ms after the departure was "
					    "accepted");
			}
	record.line("bookings " + std::to_string(sent) +
		    ", with 502, 504 or no answer " + std::to_string(lost) +
		    ", late at the backends " + std::to_string(late));
	if (getenv("LOGS"))
		ms.print_logs(getenv("LOGS"));
	return late ? 1 : 0;
}
