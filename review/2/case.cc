/*
 * The daemons of a zone are stopped and started in turn. Consumers keep their
 * connections and send a booking on them while the platform lets them. Checks
 * that each booking that was passed on to a server gets its answer.
 */
#include "../lab/lab.h"

#define ROUNDS 4
#define CONSUMERS 8
/* Time between two steps of the roll. */
#define GAP_MS 1000
/* After two misses in a row a machine is out. */
#define MISSES_OUT 2
/* A process that has ended is started again after a short delay. */
#define RESTART_MS 300

/*
 * What the platform does once a second: it asks each daemon whether it is
 * ready. Consumers of a machine that is out get no new work, unless fewer than
 * half of the zone's daemons are in.
 */
class Platform
{
public:
	Platform(Lab &lab, size_t machines)
		: lab_(lab), misses_(machines), poll_([this] { run(); })
	{
	}
	~Platform()
	{
		ended_ = true;
		poll_.join();
	}
	/* Starts the next round of questions `after_ms` from now. */
	void align(int64_t after_ms)
	{
		next_us_ = now_us() + after_ms * 1000;
	}
	bool may_send(size_t i, size_t *in)
	{
		std::lock_guard<std::mutex> hold(lock_);

		*in = 0;
		for (int m : misses_)
			*in += m < MISSES_OUT;
		return misses_[i] < MISSES_OUT || *in * 2 < misses_.size();
	}

private:
	void run()
	{
		for (next_us_ = now_us(); !ended_;) {
			if (now_us() < next_us_) {
				sleep_ms(5);
				continue;
			}
			next_us_ += 1000000;
			for (size_t i = 0; i < misses_.size(); i++) {
				bool ready = lab_.ready(i);
				std::lock_guard<std::mutex> hold(lock_);

				misses_[i] = ready ? 0 : misses_[i] + 1;
			}
		}
	}

	Lab &lab_;
	std::mutex lock_;
	std::vector<int> misses_;
	std::atomic<int64_t> next_us_{ 0 };
	std::atomic<bool> ended_{ false };
	std::thread poll_;
};

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	std::atomic<int> sent{ 0 }, lost{ 0 }, answered{ 0 }, unread{ 0 },
		held{ 0 };

	lab_guard(115);
	{
		/* The three machines of a zone, and one of another zone. */
		const size_t zone = 3;
		Lab lab({ "vitrina", "taller", "vitrina", "agenda" });

		for (auto &sv : lab.servers)
			sv->work_ms = 120;
		lab.start(
			lab.route("reserva", "/reserva/", "unsafe", "agenda"));
		Platform platform(lab, zone);

		auto post = [&](const std::string &id) {
			return lab.head("POST", "/reserva/" + id, id, 2500,
					"Content-Length: 4\r\n") +
			       "book";
		};
		/* Stops a daemon; its consumers send `at_ms` after that. */
		auto stop = [&](size_t i, int round, int at_ms) {
			std::vector<std::unique_ptr<RawSocket>> kept;
			std::string tag =
				std::to_string(round) + "-" + std::to_string(i);
			int64_t term_us = now_us();
			bool may_send;
			size_t in = 0;

			for (int k = 0; k < CONSUMERS; k++) {
				kept.emplace_back(new RawSocket(lab.listen_port,
								0, lab.ip(i)));
				kept[k]->send(post("first-" + tag + "-" +
						   std::to_string(k)));
				if (raw_status(kept[k]->receive_answer()) !=
				    200)
					rc.line("first booking not served");
			}
			sleep_ms((int64_t)i * GAP_MS + 1500 -
				 (now_us() - term_us) / 1000);
			term_us = now_us();
			if (trouble())
				lab.daemons[i]->signal(SIGTERM);
			sleep_ms(at_ms);
			may_send = platform.may_send(i, &in);
			if (!may_send) {
				rc.line("machine %zu is out and %zu of %zu are "
					"in: its consumers wait",
					i + 1, in, zone);
				held += CONSUMERS;
			} else {
				int64_t sent_us = now_us();

				for (int k = 0; k < CONSUMERS; k++)
					kept[k]->send(post("book-" + tag + "-" +
							   std::to_string(k)));
				rc.line("machine %zu: %d bookings sent %.3f s "
					"after SIGTERM on kept connections, "
					"%zu of %zu daemons are in",
					i + 1, CONSUMERS,
					(double)(sent_us - term_us) / 1e6, in,
					zone);
			}
			if (trouble()) {
				lab.daemons[i]->wait();
				rc.line("machine %zu: the daemon has ended "
					"%.3f s after SIGTERM",
					i + 1,
					(double)(now_us() - term_us) / 1e6);
				sleep_ms(RESTART_MS);
				lab.start_daemon(i);
			}
			for (int k = 0; may_send && k < CONSUMERS; k++) {
				std::string id =
					"book-" + tag + "-" + std::to_string(k);
				std::string answer = kept[k]->receive_answer();
				std::string where;

				for (auto &sv : lab.servers)
					for (const LabRun &run : sv->runs())
						if (run.id == id)
							where = sv->id;
				sent++;
				answered += raw_status(answer) == 200;
				unread += answer.empty() && where.empty();
				if (!answer.empty() || where.empty())
					continue;
				lost++;
				rc.line("%s ran at %s, its connection is "
					"closed without an answer: BROKEN",
					id.c_str(), where.c_str());
			}
		};
		for (int round = 0; round < ROUNDS; round++) {
			std::vector<std::thread> roll;

			rc.line("round %d", round + 1);
			/* The first SIGTERM is at 1.5 s from here. */
			platform.align(1700);
			for (size_t i = 0; i < zone; i++)
				roll.emplace_back(stop, i, round,
						  2540 + 40 * round);
			for (auto &thread : roll)
				thread.join();
			for (size_t i = 0; i < zone; i++)
				wait_until("a daemon to be ready",
					   [&] { return lab.ready(i); });
			sleep_ms(4000);
		}
	}
	rc.line("bookings sent %d: answered %d, not run and closed %d, run and "
		"closed without an answer %d; consumers that waited %d",
		sent.load(), answered.load(), unread.load(), lost.load(),
		held.load());
	if (lost)
		return 1;
	return answered ? 0 : 2;
}
