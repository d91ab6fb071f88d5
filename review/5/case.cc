/*
 * A server reports that it leaves; soon after, the daemon beside it is killed
 * and started again. The store gives out pages of items, and reads that may be
 * old are. Checks that the server gets no requests after drainMs.
 */
#include "../lab/lab.h"

#include <sodium.h>

#define DRAIN_MS 2000
#define STABLE_MS 3000
/* A page holds "at most about 500 items"; the site's store gives 50. */
#define PAGE_ITEMS 50
/* Entries of another writer with fields missing, which name no backend. */
#define OTHER_ENTRIES 50
/* Age of an old page: "may be seconds old". */
#define OLD_MS 3000

static Record *record;

/*
 * The platform's store with pages. A read with staleOk may be answered from a
 * copy that is behind: here the first page comes from the store itself, and
 * later ones from a copy that is OLD_MS behind.
 */
class PagedStore
{
public:
	PagedStore()
		: server_("127.0.0.1", free_port(),
			  [this](SiteConnection &cn) { serve(cn); }),
		  address(server_.address)
	{
	}
	void put(const std::string &key, const std::string &value)
	{
		std::lock_guard<std::mutex> hold(lock_);

		log_.push_back({ ++revision_, now_us(), key, value });
		changed_.notify_all();
	}
	bool say = false;

private:
	struct Change {
		int64_t revision, at_us;
		std::string key, value;
	};

	static std::string query(const std::string &target,
				 const std::string &name)
	{
		size_t at = target.find(name + "=");

		if (at == std::string::npos)
			return "";
		at += name.size() + 1;
		return target.substr(at, target.find('&', at) - at);
	}
	static std::string plain(const std::string &text)
	{
		std::string out;

		for (size_t i = 0; i < text.size(); i++)
			if (text[i] == '%' && i + 2 < text.size()) {
				out += (char)strtol(
					text.substr(i + 1, 2).c_str(), nullptr,
					16);
				i += 2;
			} else {
				out += text[i];
			}
		return out;
	}
	static std::string item(const Change &ch)
	{
		std::string text(sodium_base64_encoded_len(
					 ch.value.size(),
					 sodium_base64_VARIANT_ORIGINAL),
				 0);

		sodium_bin2base64(&text[0], text.size(),
				  (const unsigned char *)ch.value.data(),
				  ch.value.size(),
				  sodium_base64_VARIANT_ORIGINAL);
		return "{\"key\":\"" + ch.key + "\",\"value\":\"" +
		       text.c_str() +
		       "\",\"rev\":" + std::to_string(ch.revision) +
		       ",\"created\":1,\"lease\":0}";
	}
	std::string range(const std::string &target)
	{
		std::lock_guard<std::mutex> hold(lock_);
		std::string after = plain(query(target, "after")), list;
		bool old = query(target, "staleOk") == "1" && !after.empty();
		int64_t until_us = now_us() - (old ? OLD_MS * 1000 : 0);
		int64_t revision = 1, count = 0;
		std::map<std::string, Change> items;
		bool more = false;

		for (const Change &ch : log_) {
			if (ch.at_us > until_us)
				break;
			revision = ch.revision;
			items[ch.key] = ch;
		}
		for (const auto &pair : items) {
			if (pair.first <= after)
				continue;
			if (count == PAGE_ITEMS) {
				more = true;
				break;
			}
			count++;
			list += (list.empty() ? "" : ",") + item(pair.second);
		}
		if (say)
			record->line("store: %s answered from revision %lld",
				     target.c_str(), (long long)revision);
		return "{\"items\":[" + list +
		       "],\"hasMore\":" + (more ? "true" : "false") +
		       ",\"storeRevision\":" + std::to_string(revision) + "}";
	}
	std::string watch(int64_t after, int64_t wait_ms)
	{
		std::unique_lock<std::mutex> hold(lock_);
		std::string list;

		changed_.wait_for(hold, std::chrono::milliseconds(wait_ms),
				  [&] { return revision_ > after; });
		for (const Change &ch : log_)
			if (ch.revision > after)
				list += (list.empty() ? "" : ",") + item(ch);
		return "{\"events\":[" + list +
		       "],\"storeRevision\":" + std::to_string(revision_) + "}";
	}
	void serve(SiteConnection &cn)
	{
		SiteRequest rq;

		while (cn.read(rq)) {
			std::string body =
				rq.target.find("/v1/kv-range") == 0
					? range(rq.target)
					: watch(atoll(query(rq.target, "after")
							      .c_str()),
						atoll(query(rq.target, "waitMs")
							      .c_str()));

			cn.write("HTTP/1.1 200 OK\r\n"
				 "Content-Type: application/json\r\n"
				 "Content-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body);
		}
	}

	std::mutex lock_;
	std::condition_variable changed_;
	std::vector<Change> log_;
	int64_t revision_ = 100;
	SiteServer server_;

public:
	const std::string address;
};

int main(int argc, char **argv)
{
	Record rc(argc > 1 ? argv[1] : "record.txt");
	int late = 0, served = 0, sent = 0;

	record = &rc;
	lab_guard(110);
	{
		PagedStore store;
		Lab lab({ "vitrina", "vitrina", "agenda", "agenda", "taller",
			  "taller" });
		/* Its key, servers/i-5, stands on the second page. */
		LabServer &leaving = *lab.servers[5];
		char key[32];
		int64_t confirmed_us, started_us;

		lab.store_address = store.address;
		/* At the first start, old pages show the same as new ones. */
		lab.settle_ms = OLD_MS + 1000;
		lab.put = [&](const std::string &key,
			      const std::string &value) {
			store.put(key, value);
		};
		for (int i = 0; i < OTHER_ENTRIES; i++) {
			snprintf(key, sizeof(key), "servers/a-%02d", i);
			store.put(key, "{\"zone\":\"stgo-a\"}");
		}
		lab.start(lab.route("almacen", "/almacen/", "safe", "taller"));
		store.put("servers/" + leaving.id, leaving.entry("draining"));
		confirmed_us = now_us();
		rc.line("%s has reported that it leaves", leaving.id.c_str());
		sleep_ms(500);
		if (trouble()) {
			store.say = true;
			lab.daemons[5]->kill();
			rc.line("the daemon beside it is killed");
			sleep_ms(500);
			lab.start_daemon(5);
			rc.line("it is started again");
		}
		started_us = now_us();
		wait_until("the daemon to be ready",
			   [&] { return lab.ready(5) || !trouble(); });
		rc.line("it is ready");
		while (now_us() - started_us < (STABLE_MS + 500) * 1000LL)
			sleep_ms(10);
		store.say = false;
		/* The server serves on: "at times many seconds". */
		for (int i = 0; i < 60; i++, sleep_ms(50)) {
			std::string id = "late-" + std::to_string(i);

			HttpAnswer an =
				lab.send(5, "GET", "/almacen/" + id, id);

			sent++;
			served += an.complete(200);
			if (!an.complete(200) && sent - served <= 5)
				rc.line("%s answered with %ld: %s", id.c_str(),
					an.status, an.body.c_str());
		}
		for (const LabRun &run : leaving.runs()) {
			int64_t after_ms = (run.at_us - confirmed_us) / 1000;

			if (after_ms <= DRAIN_MS)
				continue;
			if (late++ >= 5)
				continue;
			rc.line("%s reached %s %.2f s after the confirmation: "
				"BROKEN",
				run.id.c_str(), leaving.id.c_str(),
				(double)after_ms / 1e3);
		}
	}
	rc.line("requests sent %d, served %d, at the leaving server later than "
		"drainMs %d",
		sent, served, late);
	if (late)
		return 1;
	return served ? 0 : 2;
}
