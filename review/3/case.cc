/*
 * Another writer leaves an entry that can't be read among the servers' entries.
 * Then the operator moves a route and adds one. Checks that every machine
 * handles requests by the new desired state after configMs.
 */
#include "../lab/lab.h"

#include <random>

#define CONFIG_MS 2000
#define STABLE_MS 3000
/* Below valueBytes (1,048,576). */
#define ENTRY_BYTES 300000

static std::string unreadable()
{
	std::mt19937 rand(28);
	std::string out(ENTRY_BYTES, 0);

	for (char &c : out)
		c = (char)rand();
	return out;
}

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	int broken = 0, served = 0, n = 0;

	lab_guard(110);
	{
		Lab lab({ "vitrina", "agenda", "taller", "vitrina", "agenda",
			  "taller" });
		const size_t machines = lab.services.size();
		int64_t confirmed_us;

		lab.start(
			lab.route("catalogo", "/catalogo/", "safe", "vitrina"));
		for (size_t i = 0; i < machines; i++)
			rc.line("version 1: machine %zu answers /catalogo/ "
				"with %ld %s",
				i + 1,
				lab.send(i, "GET", "/catalogo/a",
					 "a-" + std::to_string(i))
					.status,
				lab.send(i, "GET", "/catalogo/b",
					 "b-" + std::to_string(i))
					.body.c_str());
		if (trouble()) {
			lab.store->put("servers/legacy-7", unreadable());
			rc.line("another writer wrote servers/legacy-7: %d "
				"bytes that can't be read",
				ENTRY_BYTES);
		}
		sleep_ms(STABLE_MS + 1000);
		lab.publish(2, lab.route("catalogo", "/catalogo/", "safe",
					 "agenda") +
				       "," +
				       lab.route("nueva", "/nueva/", "safe",
						 "taller"));
		confirmed_us = now_us();
		rc.line("version 2 confirmed: /catalogo/ moves from vitrina to "
			"agenda, /nueva/ is added for taller");
		sleep_ms(CONFIG_MS + 500);
		for (int round = 0; round < 10; round++, sleep_ms(500)) {
			for (size_t i = 0; i < machines; i++) {
				std::string id = std::to_string(n++);
				HttpAnswer moved = lab.send(
					i, "GET", "/catalogo/" + id, "m-" + id);
				HttpAnswer added = lab.send(
					i, "GET", "/nueva/" + id, "n-" + id);
				std::string stamp = moved.header(
					"Ebonypier-Response-Stamp");
				bool old = stamp == "stamp-i-0" ||
					   stamp == "stamp-i-3";

				served += moved.complete(200) && !old;
				served += added.complete(200);
				broken += old;
				broken += added.status == 404;
				if (old || added.status == 404)
					rc.line("%.1f s after the confirmation "
						"machine %zu: /catalogo/ %ld "
						"from %s, /nueva/ %ld: BROKEN",
						(double)(now_us() -
							 confirmed_us) /
							1e6,
						i + 1, moved.status,
						stamp.c_str(), added.status);
			}
		}
	}
	rc.line("requests %d, by the new desired state %d, only as the older "
		"one allows %d",
		2 * n, served, broken);
	if (broken)
		return 1;
	return served == 2 * n ? 0 : 2;
}
