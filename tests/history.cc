#include "history.h"

#include <jansson.h>

#include <fstream>
#include <map>
#include <set>

static bool is_idempotent(const std::string &method)
{
	return method != "POST" && method != "PATCH";
}

Violations check_own_answers(const History &h)
{
	Violations v;

	for (const CallRecord &c : h.calls)
		if (c.complete && c.status == 200 && !c.own)
			v.push_back("call " + c.nonce +
				    " got a complete answer that differs from "
				    "the expected one");
	return v;
}

Violations check_not_run(const History &h)
{
	std::set<std::string> ran;
	Violations v;

	for (const RunRecord &r : h.runs)
		ran.insert(r.nonce);
	for (const CallRecord &c : h.calls)
		if (c.outcome == "not-run" && ran.count(c.nonce))
			v.push_back("call " + c.nonce +
				    " was answered not-run but ran");
	return v;
}

Violations check_at_most_once(const History &h)
{
	std::map<std::string, int> by_key, by_nonce;
	Violations v;

	for (const RunRecord &r : h.runs) {
		if (is_idempotent(r.method))
			continue;
		if (!r.key.empty())
			by_key[r.key] += r.executed;
		else
			by_nonce[r.nonce]++;
	}
	for (const auto &k : by_key)
		if (k.second > 1)
			v.push_back("key " + k.first + " was executed " +
				    std::to_string(k.second) + " times");
	for (const auto &n : by_nonce)
		if (n.second > 1)
			v.push_back("call " + n.first + " ran " +
				    std::to_string(n.second) + " times");
	return v;
}

Violations check_leaving(const History &h, int64_t limit_us)
{
	Violations v;

	for (const LeaveRecord &l : h.leaves)
		for (const RunRecord &r : h.runs)
			if (r.upstream == l.upstream &&
			    r.at_us > l.at_us + limit_us &&
			    r.at_us < l.until_us)
				v.push_back("call " + r.nonce + " ran at " +
					    r.upstream + " " +
					    std::to_string(r.at_us - l.at_us) +
					    " us after it began to leave");
	return v;
}

Violations check_releases(const History &h)
{
	std::map<std::string, int64_t> newest;
	Violations v;

	for (const ReleaseRecord &r : h.releases) {
		if (r.release < newest[r.daemon])
			v.push_back(r.daemon + " went from release " +
				    std::to_string(newest[r.daemon]) + " to " +
				    std::to_string(r.release));
		newest[r.daemon] = std::max(newest[r.daemon], r.release);
	}
	return v;
}

Violations check_all_answered(const History &h)
{
	Violations v;

	for (const CallRecord &c : h.calls)
		if (!c.complete || c.status != 200)
			v.push_back(
				"call " + c.nonce + " " + c.method +
				" failed: status " + std::to_string(c.status) +
				" outcome " + c.outcome + " after " +
				std::to_string(c.end_us - c.start_us) + " us");
	return v;
}

static std::string text(const json_t *js, const char *name)
{
	const char *s = json_string_value(json_object_get(js, name));

	return s ? s : "";
}

std::vector<RunRecord> read_runs(const std::string &path)
{
	std::map<std::string, size_t> place; /* upstream and seq -> run */
	std::vector<RunRecord> runs;
	std::ifstream in(path);
	std::string line;

	while (std::getline(in, line)) {
		json_t *js = json_loads(line.c_str(), 0, nullptr);
		std::string id = text(js, "upstream") + " " +
				 std::to_string(json_integer_value(
					 json_object_get(js, "seq")));

		/*
		 * A restarted upstream numbers its runs from the start again,
		 * so `executed` belongs to the last run with that number.
		 */
		if (text(js, "event") == "start") {
			RunRecord r;
			r.upstream = text(js, "upstream");
			r.nonce = text(js, "nonce");
			r.key = text(js, "key");
			r.method = text(js, "method");
			r.at_us = json_integer_value(
				json_object_get(js, "at_us"));
			place[id] = runs.size();
			runs.push_back(r);
		} else if (text(js, "event") == "executed" && place.count(id)) {
			runs[place[id]].executed = true;
		}
		json_decref(js);
	}
	return runs;
}
