/*
 * Most daemons are killed at one moment and stay down for some seconds. Just
 * then the operator changes the desired state. Checks that the machines that
 * are left, which nothing disturbs, follow within configMs.
 */
#include "../lab/lab.h"

extern "C" {
#include "eb_feed_sync.h"
}

#define MACHINES 18
#define LEFT 3
#define DOWN_MS 5000
#define CONFIG_MS 2000
#define ROUNDS 2

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	int broken = 0, followed = 0, n = 0;

	lab_guard(115);
	{
		const char *names[] = { "vitrina", "agenda", "taller" };
		std::vector<std::string> services;
		std::vector<std::pair<uint64_t, size_t>> order;
		std::string routes;

		for (int i = 0; i < MACHINES; i++)
			services.push_back(names[i % 3]);
		Lab lab(services);
		for (size_t i = 0; i < MACHINES; i++) {
			std::string name = lab.servers[i]->address;

			name[name.find(':')] = '-';
			order.emplace_back(eb_feed_sync_order(name.c_str()), i);
		}
		std::sort(order.begin(), order.end());
		routes = lab.route("catalogo", "/catalogo/", "safe", "vitrina");
		lab.start(routes);
		for (int round = 0; round < ROUNDS; round++) {
			std::string added = "nueva-" + std::to_string(round);
			int64_t confirmed_us, killed_us = now_us();
			bool down = trouble();

			if (down) {
				for (int k = 0; k < MACHINES - LEFT; k++)
					lab.daemons[order[k].second]->signal(
						SIGKILL);
				rc.line("%d of %d daemons are killed",
					MACHINES - LEFT, MACHINES);
			}
			routes +=
				"," +
				lab.route(added, "/" + added + "/", "safe",
					  services[order[MACHINES - 1].second]);
			lab.publish(round + 2, routes);
			confirmed_us = now_us();
			rc.line("version %d confirmed: /%s/ is added",
				round + 2, added.c_str());
			for (int64_t at_ms = 0; at_ms < 9000; at_ms += 100) {
				int64_t wait_ms =
					at_ms -
					(now_us() - confirmed_us) / 1000;

				if (wait_ms > 0)
					sleep_ms(wait_ms);
				if (down &&
				    now_us() - killed_us > DOWN_MS * 1000) {
					for (int k = 0; k < MACHINES - LEFT;
					     k++)
						lab.start_daemon(
							order[k].second);
					down = false;
					rc.line("they are started again");
				}
				for (int k = MACHINES - LEFT; k < MACHINES;
				     k++) {
					size_t i = order[k].second;
					std::string id = std::to_string(n++);
					int64_t sent_us = now_us();
					int64_t after_ms =
						(sent_us - confirmed_us) / 1000;
					long status =
						lab.send(i, "GET",
							 "/" + added + "/" + id,
							 "n-" + id)
							.status;

					if (after_ms <= CONFIG_MS)
						continue;
					followed += status == 200;
					if (status != 404)
						continue;
					broken++;
					rc.line("machine %zu, a request sent "
						"%.2f s after the "
						"confirmation: 404: BROKEN",
						i + 1, (double)after_ms / 1e3);
				}
			}
			sleep_ms(3000);
		}
	}
	rc.line("requests sent later than configMs: served %d, 404 %d",
		followed, broken);
	if (broken)
		return 1;
	return followed ? 0 : 2;
}
