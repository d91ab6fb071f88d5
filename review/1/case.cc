/*
 * Uploads in chunks while the connections between two machines are reset once.
 * Checks that no server runs an upload with another body than was sent.
 */
#include "../lab/lab.h"

#define UPLOADS 6
#define CHUNKS 20
#define CHUNK_BYTES 3000
#define CHUNK_PAUSE_MS 40
/* One way between regions. */
#define DELAY_MS 8

/* Bytes that tell their place: every eight are the number of the piece. */
static std::string artwork(int seed)
{
	std::string out;
	char piece[16];

	for (int i = 0; i < CHUNKS * CHUNK_BYTES / 8; i++) {
		snprintf(piece, sizeof(piece), "%01d%06d;", seed % 10, i);
		out += piece;
	}
	return out;
}

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	int broken = 0, ran = 0;

	lab_guard(110);
	{
		Lab lab({ "vitrina", "agenda", "taller" });

		/* The way to machine 3 leads over a path that can be reset. */
		lab.own_ip[2] = "127.2" + lab.ip(2).substr(5);
		Path path(lab.ip(2), lab.peer_port, lab.own_ip[2], DELAY_MS);
		lab.start(lab.route("arte", "/arte/", "upload", "taller"));
		for (int u = 0; u < UPLOADS; u++) {
			std::string id = "upload-" + std::to_string(u);
			std::string body = artwork(u), answer;
			RawSocket cn(lab.listen_port, 0, lab.ip(0));
			char size[16];

			snprintf(size, sizeof(size), "%x\r\n", CHUNK_BYTES);
			cn.send(lab.head("POST", "/arte/" + id, id, 2500,
					 "Transfer-Encoding: chunked\r\n"));
			rc.line("%s sent to machine 1, %zu bytes in chunks",
				id.c_str(), body.size());
			for (int c = 0; c < CHUNKS; c++) {
				cn.send(size +
					body.substr((size_t)c * CHUNK_BYTES,
						    CHUNK_BYTES) +
					"\r\n");
				if (c == CHUNKS / 2 && trouble())
					rc.line("connections to machine 3 are "
						"reset: %d",
						path.reset_all());
				sleep_ms(CHUNK_PAUSE_MS);
			}
			cn.send("0\r\n\r\n");
			answer = cn.receive_answer();
			rc.line("%s answered: %s", id.c_str(),
				answer.empty()
					? "connection closed"
					: answer.substr(0, answer.find('\r'))
						  .c_str());
			sleep_ms(4000);
			for (const LabRun &run : lab.servers[2]->runs()) {
				size_t at = 0;

				if (run.id != id)
					continue;
				ran++;
				while (at < run.body.size() &&
				       at < body.size() &&
				       run.body[at] == body[at])
					at++;
				if (run.body == body) {
					rc.line("%s ran at %s with its body",
						id.c_str(), run.server.c_str());
					continue;
				}
				broken++;
				rc.line("%s ran at %s with %zu bytes of %zu; "
					"the first wrong one is %zu: BROKEN",
					id.c_str(), run.server.c_str(),
					run.body.size(), body.size(), at);
			}
		}
	}
	rc.line("uploads %d, runs %d, runs with another body %d", UPLOADS, ran,
		broken);
	if (broken)
		return 1;
	return trouble() || ran == UPLOADS ? 0 : 2;
}
