/*
 * A server answers long uploads before it has read them, keeps the connection
 * and reads on. Each consumer then sends another request on its connection.
 * Checks that each request that was passed on to a server gets an answer.
 */
#include "../lab/lab.h"

#define ROUNDS 8
/* Largest body and a usual answer of `arte` on the site (30,000 at most). */
#define UPLOAD_BYTES 360000
#define ANSWER_BYTES 20000
#define EARLY_BYTES 60000
#define PIECE_BYTES 12000
#define PIECE_PAUSE_MS 20
/* The rule: more than three times. */
#define TIMES_MAX 3

static Record *record;

static void read_more(SiteConnection &cn, SiteRequest &rq, size_t bytes)
{
	rq.headers["content-length"] = std::to_string(bytes);
	cn.read_body(rq);
}

/* Runs an upload; with the trouble it is answered before its body is in. */
static bool run_upload(LabServer &sv, SiteConnection &cn, SiteRequest &rq)
{
	std::string id = rq.header("ebonypier-request-id");
	std::string answer = sv.full(rq, std::string(ANSWER_BYTES, 'x'));
	size_t want = (size_t)atoll(rq.header("content-length").c_str());

	if (rq.target.find("/arte/") != 0)
		return false;
	read_more(cn, rq, trouble() ? EARLY_BYTES : want);
	sv.note(rq);
	record->line("%s runs at %s, answered with %zu of %zu bytes read",
		     id.c_str(), sv.id.c_str(), rq.body.size(), want);
	cn.write(answer);
	if (!trouble())
		return true;
	rq.body.clear();
	read_more(cn, rq, want - EARLY_BYTES);
	record->line("%s: the server %s", id.c_str(),
		     rq.body.empty() ? "never gets the rest of the body"
				     : "has read the rest");
	return true;
}

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	int lost = 0, answered = 0;

	record = &rc;
	lab_guard(110);
	{
		Lab lab({ "vitrina", "agenda", "taller" });
		LabServer &taller = *lab.servers[2];

		taller.early = [&](SiteConnection &cn, SiteRequest &rq) {
			return run_upload(taller, cn, rq);
		};
		lab.start(
			lab.route("arte", "/arte/", "upload", "taller") + "," +
			lab.route("reserva", "/reserva/", "unsafe", "agenda"));
		for (int u = 0; u < ROUNDS; u++) {
			std::string one = "upload-" + std::to_string(u);
			std::string two = "booking-" + std::to_string(u);
			std::string answer;
			RawSocket cn(lab.listen_port, 0, lab.ip(0));
			int ran = 0;

			cn.send(lab.head("POST", "/arte/" + one, one, 2500,
					 "Content-Length: " +
						 std::to_string(UPLOAD_BYTES) +
						 "\r\n"));
			for (int at = 0; at < UPLOAD_BYTES; at += PIECE_BYTES) {
				cn.send(std::string(PIECE_BYTES, 'a'));
				sleep_ms(PIECE_PAUSE_MS);
			}
			rc.line("%s sent whole", one.c_str());
			answer = cn.receive_answer();
			rc.line("%s: %zu bytes of answer, status %d",
				one.c_str(), answer.size(), raw_status(answer));
			cn.send(lab.head("POST", "/reserva/" + two, two, 2500,
					 "Content-Length: 4\r\n") +
				"book");
			rc.line("%s sent on the same connection", two.c_str());
			answer = cn.receive_answer();
			for (const LabRun &run : lab.servers[1]->runs())
				ran += run.id == two;
			answered += raw_status(answer) == 200;
			lost += ran && answer.empty();
			rc.line("%s: ran %d times, %s%s", two.c_str(), ran,
				answer.empty() ? "connection closed, no answer"
					       : "answered",
				ran && answer.empty() ? ": LOST" : "");
			cn.close();
			sleep_ms(500);
		}
	}
	rc.line("rounds %d, second requests answered %d, run and closed "
		"without an answer %d (allowed: %d)",
		ROUNDS, answered, lost, TIMES_MAX);
	if (lost > TIMES_MAX)
		return 1;
	return trouble() || answered == ROUNDS ? 0 : 2;
}
