#include "lab/read/timeline.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr std::size_t kMaxWorst = 200;

}  // namespace

Timeline::Second& Timeline::second(Time time) {
    const auto index = static_cast<std::size_t>(std::max<Time>(0, time) / kSecond);
    if (index >= seconds_.size()) seconds_.resize(index + 1);
    return seconds_[index];
}

void Timeline::update_interval(Time time, std::map<std::string, std::size_t>& open,
                               std::vector<FaultInterval>& intervals, const std::string& what, bool begins) {
    const auto found = open.find(what);
    if (begins && found == open.end()) {
        open[what] = intervals.size();
        intervals.push_back({what, time, -1});
    } else if (!begins && found != open.end()) {
        intervals[found->second].until = time;
        open.erase(found);
    }
}

void Timeline::take(const std::string& line) {
    std::istringstream fields(line);
    Time time = 0;
    std::string what, skip;
    if (!(fields >> time >> what)) return;
    last_time_ = std::max(last_time_, time);
    if (what == "kind") {
        int kind = 0;
        fields >> kind;
        for (std::string key, value; fields >> key >> value;) {
            if (key == "budget") budgets_[kind] = std::atoll(value.c_str());
            if (key == "name") kinds_[kind] = value;
        }
    } else if (what == "ask") {
        std::uint64_t multiget = 0;
        OpenRequest open;
        fields >> multiget >> skip >> skip >> skip >> open.kind >> skip >> skip >> skip;
        open.asked = time;
        for (const auto& [name, where] : active_troubles_)
            open.troubles += (open.troubles.empty() ? "" : " + ") + name;
        std::uint64_t parts = 0;
        for (std::string part; fields >> part;) ++parts;
        auto& asked_second = second(time);
        ++asked_second.asked;
        asked_second.parts += parts;
        parts_ += parts;
        open_requests_[multiget] = std::move(open);
    } else if (what == "tenant") {
        std::uint64_t multiget = 0;
        fields >> multiget;
        if (const auto found = open_requests_.find(multiget); found != open_requests_.end())
            fields >> found->second.tenant;
    } else if (what == "send") {
        std::string part;
        int server = 0;
        fields >> part >> skip >> skip >> skip >> server;
        ++second(time).sends;
        ++sends_;
        outstanding_[part].push_back(server);
    } else if (what == "run") {
        int server = 0;
        fields >> skip >> skip >> server;
        ++second(time).runs;
        ++servers_[server].runs[static_cast<int>(time / kSecond)];
    } else if (what == "back") {
        std::string part, status;
        fields >> part >> status;
        // The log does not say which of several sends this result belongs to; the oldest is assumed.
        const auto found = outstanding_.find(part);
        if (found == outstanding_.end()) return;
        if (status != "returned" && status != "cancelled")
            ++servers_[found->second.front()].bad[static_cast<int>(time / kSecond)];
        found->second.erase(found->second.begin());
        if (found->second.empty()) outstanding_.erase(found);
    } else if (what == "answer" || what == "push" || what == "fail" || what == "gone") {
        std::uint64_t multiget = 0;
        std::string status;
        fields >> multiget >> status;
        end_request(time, multiget, what, status);
    } else if (what == "trouble") {
        std::string index, name, status;
        fields >> index >> name >> status;
        update_interval(time, active_troubles_, troubles_, name, status == "begins");
    } else if (what == "server") {
        int server = 0;
        std::string name, status;
        fields >> server >> name >> status;
        update_interval(time, active_server_troubles_[server], servers_[server].troubles, name,
                        status == "begins");
    } else if (what == "node") {
        std::string node, word;
        int server = 0;
        fields >> node >> word >> server;
        if (word == "aside") ++servers_[server - 1].aside[static_cast<int>(time / kSecond)];
    }
}

void Timeline::end_request(Time time, std::uint64_t multiget, const std::string& event,
                           const std::string& completeness) {
    const auto found = open_requests_.find(multiget);
    if (found == open_requests_.end()) return;
    const auto open = std::move(found->second);
    open_requests_.erase(found);
    auto& asked_second = second(open.asked);
    const Time latency = time - open.asked;
    const bool late = event == "answer" && latency > budgets_[open.kind];
    OutcomeCounts no_tenant;  // receives the counts of requests without a tenant
    for (auto* ends : {&asked_second.ends, &by_kind_[open.kind],
                       open.tenant.empty() ? &no_tenant : &by_tenant_[open.tenant],
                       &by_trouble_[open.troubles.empty() ? "calm" : open.troubles]}) {
        if (event == "answer") ++(completeness == "whole" ? ends->whole : ends->in_part);
        if (event == "push") ++ends->pushed_back;
        if (event == "fail") ++ends->failed;
        if (event == "gone") ++ends->gone;
        if (event == "lost") ++ends->lost;
        ends->late += late ? 1U : 0U;
    }
    if (event == "answer") asked_second.ms.add(static_cast<double>(latency) / 10);
    if (event == "answer" && !late) return;
    worst_.push_back({multiget, latency,
                      event == "answer" ? "late"
                      : event == "push" ? "pushed back"
                      : event == "fail" ? "failed"
                                        : event});
    if (worst_.size() < 2 * kMaxWorst) return;
    worst_ = worst(kMaxWorst);
}

void Timeline::finish() {
    std::vector<std::uint64_t> lost;
    for (const auto& [multiget, open] : open_requests_) lost.push_back(multiget);
    for (const auto multiget : lost) end_request(last_time_, multiget, "lost", "");
    for (auto& each : troubles_) each.until = each.until < 0 ? last_time_ : each.until;
    for (auto& [id, server] : servers_) {
        for (auto& each : server.troubles) each.until = each.until < 0 ? last_time_ : each.until;
    }
}

std::vector<Timeline::WorstRequest> Timeline::worst(std::size_t count) const {
    const auto rank = [](const WorstRequest& request) {
        return request.end == "lost"     ? 0
               : request.end == "failed" ? 1
               : request.end == "gone"   ? 2
               : request.end == "late"   ? 3
                                         : 4;
    };
    auto sorted = worst_;
    std::stable_sort(sorted.begin(), sorted.end(), [&](const WorstRequest& a, const WorstRequest& b) {
        return rank(a) != rank(b) ? rank(a) < rank(b) : a.latency > b.latency;
    });
    sorted.resize(std::min(sorted.size(), count));
    return sorted;
}

std::vector<std::string> multiget_history(const std::string& log_path, std::uint64_t multiget) {
    std::ifstream log(log_path, std::ios::binary);
    const auto name = std::to_string(multiget);
    std::vector<std::string> history;
    Time asked = 0;
    for (std::string line; std::getline(log, line);) {
        std::istringstream fields(line);
        Time time = 0;
        std::string what, subject, rest;
        fields >> time >> what >> subject;
        std::getline(fields, rest);
        const bool of_part =
            subject.size() > name.size() && subject.starts_with(name) && subject[name.size()] == '.';
        static const std::set<std::string> kMultigetEntries{"ask",  "same",   "send", "reach", "run",
                                                            "back", "answer", "push", "fail",  "gone"};
        if (!kMultigetEntries.contains(what) || (subject != name && !of_part)) continue;
        if (what == "ask") asked = time;
        char since[32];
        std::snprintf(since, sizeof since, "%9.1f ms  ", static_cast<double>(time - asked) / 10);
        const auto part = of_part ? "part " + subject.substr(name.size() + 1) : std::string();
        std::string text;
        if (what == "ask") text = "is asked:" + rest;
        if (what == "same")
            text = "repeats the request of " + rest.substr(rest.find("as ") + 3) + " (the first try)";
        if (what == "send") text = part + " is sent," + rest;
        if (what == "reach") text = part + " arrives at" + rest;
        if (what == "run") text = part + " starts at" + rest;
        if (what == "back") text = part + " is" + rest;
        if (what == "answer") text = "is answered," + rest;
        if (what == "push") text = "is pushed back";
        if (what == "fail") text = "has failed";
        if (what == "gone") text = "its connection has ended";
        history.push_back(since + text);
    }
    return history;
}

}  // namespace pinedoor::lab
