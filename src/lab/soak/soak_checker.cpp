#include "lab/soak/soak_checker.hpp"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace pinedoor::lab {
namespace {

using Rule = SoakBreach::Rule;

constexpr std::int64_t kAnswerGrace = 500;       // up to so long after its time an answer only earns nothing
constexpr std::int64_t kCloseGrace = 100;        // an attempt may begin so long after its client's close
constexpr std::int64_t kUnfinishedTime = 3'050;  // an unfinished client gets its error or close by then
constexpr std::int64_t kCutGrace = 300;          // between a process's end and when its clients notice
constexpr int kMaxBreachesOfRule = 10;
constexpr std::uint64_t kLeastServedDivisor = 2;

}  // namespace

std::string name_of(Rule rule) {
    switch (rule) {
        case Rule::kAnswered: return "every request is answered in time";
        case Rule::kNothingAfterClose: return "nothing begins after a client's close";
        case Rule::kNoEffectTwice: return "no effect twice";
        case Rule::kMemory: return "memory within its limit";
        case Rule::kDescriptors: return "descriptors within their limit";
        case Rule::kProcess: return "the process ends only when told to";
        case Rule::kUnfinished: return "unfinished requests end in time";
        case Rule::kOthersUnaffected: return "ordinary requests are not refused for what others cost";
        case Rule::kServed: break;
    }
    return "ordinary clients are served";
}

void SoakChecker::breach(Rule rule, Ms time, const std::string& what) {
    if (++counts_[rule] > kMaxBreachesOfRule) return;
    breaches_.push_back({rule, std::to_string(time) + " ms: " + what});
}

SoakChecker::Ms SoakChecker::late_within(Ms from, Ms until) const {
    Ms sum = 0;
    for (auto at = late_.lower_bound(from); at != late_.end() && at->first <= until + at->second; ++at)
        sum += at->second;
    return sum;
}

void SoakChecker::take(const std::string& line) {
    std::istringstream fields(line);
    Ms time = 0;
    std::string entry, id;
    if (!(fields >> time >> entry)) return;
    last_time_ = std::max(last_time_, time);
    if (entry == "limit") {
        std::string word;
        fields >> word >> totals_.memory_limit >> word >> sockets_limit_;
    } else if (entry == "ask") {
        Request request;
        std::string kind, effect;
        fields >> id >> kind;
        request.asked = time;
        request.ordinary = kind == "wait";
        if (request.ordinary) fields >> request.wait;
        fields >> effect;
        request.once = effect == "once";
        totals_.requests += request.ordinary ? 1 : 0;
        totals_.abusive += request.ordinary ? 0 : 1;
        requests_[id] = request;
    } else if (entry == "end") {
        int status = 0;
        std::string reason;
        fields >> id >> status >> reason;
        check_end(time, id, status, reason == "budget");
    } else if (entry == "cut") {
        fields >> id;
        check_cut(time, id);
    } else if (entry == "unsent" || entry == "left") {
        fields >> id;
        auto& request = requests_[id];
        request.ended = true;
        if (entry == "left") request.left = time;
    } else if (entry == "run") {
        fields >> id;
        check_run(time, id);
    } else if (entry == "full") {
        fields >> id;
        --runs_[id];
    } else if (entry == "stays") {
        fields >> id;
        unfinished_[id] = time;
    } else if (entry == "over") {
        fields >> id;
        if (const auto at = unfinished_.find(id); at != unfinished_.end()) {
            check_unfinished(time, id, at->second);
            unfinished_.erase(at);
        }
    } else if (entry == "begun") {
        terminated_at_ = kill_at_ = -1;
        killed_ = false;
        runs_.clear();  // what a process remembers ends with it
    } else if (entry == "signal") {
        int signal = 0;
        fields >> signal;
        if (signal == SIGTERM) terminated_at_ = time;
        if (signal == SIGKILL) {
            killed_ = true;
            kill_at_ = time;
        }
    } else if (entry == "exit") {
        int code = 0;
        fields >> code;
        check_exit(time, code);
    } else if (entry == "memory") {
        std::uint64_t bytes = 0;
        fields >> bytes;
        totals_.most_memory = std::max(totals_.most_memory, bytes);
        if (bytes > totals_.memory_limit)
            breach(Rule::kMemory, time,
                   std::to_string(bytes) + " bytes of " + std::to_string(totals_.memory_limit));
    } else if (entry == "descriptors") {
        std::uint64_t count = 0;
        fields >> count;
        if (count > sockets_limit_)
            breach(Rule::kDescriptors, time, std::to_string(count) + " of " + std::to_string(sockets_limit_));
    } else if (entry == "late") {
        Ms ms = 0;
        fields >> ms;
        late_[time] += ms;
        totals_.late_ms += static_cast<std::uint64_t>(ms);
    }
}

void SoakChecker::check_end(Ms time, const std::string& id, int status, bool refused_for_budget) {
    auto& request = requests_[id];
    if (request.ended) return breach(Rule::kAnswered, time, id + " was answered twice");
    request.ended = true;
    if (!request.ordinary) return;
    if (refused_for_budget) breach(Rule::kOthersUnaffected, time, id + " was refused for want of room");
    totals_.served += status == 200 ? 1 : 0;
    totals_.refused += status == 503 || status == 429 ? 1 : 0;
    totals_.failed += status != 200 && status != 503 && status != 429 ? 1 : 0;
    const Ms latest = request.asked + request.wait + kAnswerGrace;
    if (time > latest + late_within(request.asked, time))
        breach(Rule::kAnswered, time,
               id + " was answered " + std::to_string(time - request.asked) + " ms after it was asked");
}

// A kill without warning takes what is open with it. After SIGTERM nothing may be left unanswered.
void SoakChecker::check_cut(Ms time, const std::string& id) {
    auto& request = requests_[id];
    request.ended = true;
    if (!request.ordinary) return;
    const bool by_kill =
        kill_at_ >= 0 && kill_at_ >= request.asked - kCutGrace && kill_at_ <= time && terminated_at_ < 0;
    totals_.cut_by_kill += by_kill ? 1 : 0;
    if (!by_kill) breach(Rule::kAnswered, time, id + " got no answer, its connection ended");
}

void SoakChecker::check_run(Ms time, const std::string& part) {
    ++totals_.runs;
    const auto id = part.substr(0, part.rfind('.'));
    const auto found = requests_.find(id);
    if (found == requests_.end()) return breach(Rule::kNoEffectTwice, time, part + " was asked by nobody");
    const auto& request = found->second;
    const int runs = ++runs_[part];
    if (request.once && runs > 1)
        breach(Rule::kNoEffectTwice, time, part + " ran " + std::to_string(runs) + " times");
    if (request.left >= 0 && time > request.left + kCloseGrace + late_within(request.left, time))
        breach(Rule::kNothingAfterClose, time,
               part + " began " + std::to_string(time - request.left) + " ms after its client's close");
}

void SoakChecker::check_exit(Ms time, int code) {
    const bool by_kill = code == -SIGKILL && killed_;
    const bool in_order = code == 0 && terminated_at_ >= 0;
    if (!by_kill && !in_order) breach(Rule::kProcess, time, "the process ended with " + std::to_string(code));
    unfinished_.clear();
}

void SoakChecker::check_unfinished(Ms time, const std::string& client, Ms since) {
    if (time - since > kUnfinishedTime + late_within(since, time))
        breach(Rule::kUnfinished, time, client + " was kept for " + std::to_string(time - since) + " ms");
}

std::vector<SoakBreach> SoakChecker::finish() {
    for (const auto& [id, request] : requests_) {
        if (request.ordinary && !request.ended)
            breach(Rule::kAnswered, last_time_,
                   id + ", asked at " + std::to_string(request.asked) + " ms, was never answered");
    }
    for (const auto& [client, since] : unfinished_) check_unfinished(last_time_, client, since);
    const auto judged = totals_.requests - totals_.cut_by_kill;
    if (totals_.served * kLeastServedDivisor < judged)
        breach(Rule::kServed, last_time_,
               std::to_string(totals_.served) + " of " + std::to_string(judged) + " requests");
    return std::move(breaches_);
}

}  // namespace pinedoor::lab
