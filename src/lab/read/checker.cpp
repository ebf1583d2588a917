#include "lab/read/checker.hpp"

#include <algorithm>
#include <sstream>

namespace pinedoor::lab {
namespace {

using Rule = Breach::Rule;
constexpr int kMaxBreachesPerRule = 100;
constexpr double kShareTolerance = 0.00005;

// Reads a part identifier such as "17.3": multiget number and shard.
std::pair<std::uint64_t, int> read_part(std::istringstream& fields) {
    std::uint64_t multiget = 0;
    char dot = 0;
    int shard = -1;
    fields >> multiget >> dot >> shard;
    return {multiget, shard};
}

// Skips a field name and reads the value that follows it.
template <class Number>
Number read_value(std::istringstream& fields) {
    std::string name;
    Number number{};
    fields >> name >> number;
    return number;
}

}  // namespace

std::string name_of(Rule rule) {
    switch (rule) {
        case Rule::kNoneLost: return "none lost";
        case Rule::kNoEffectTwice: return "no effect twice";
        case Rule::kDrainsKept: return "drains kept";
        case Rule::kNoColdServerOver: return "no cold server pushed over";
        case Rule::kHonestAnswers: return "honest answers";
        case Rule::kBudget: break;
    }
    return "further sends in budget";
}

void RuleChecker::record_breach(Rule rule, Time time, const std::string& what) {
    if (++counts_[rule] <= kMaxBreachesPerRule)
        breaches_.push_back({rule, std::to_string(time) + ": " + what});
}

void RuleChecker::record_ratio(Rule rule, double observed, double allowed) {
    auto& highest = highest_ratio_[rule];
    highest = std::max(highest, allowed > 0 ? observed / allowed : observed > 0 ? 2.0 : 0.0);
}

RuleChecker::Multiget* RuleChecker::end_multiget(Time time, std::uint64_t number, const std::string& event) {
    const auto found = multigets_.find(number);
    const auto name = "multiget " + std::to_string(number);
    if (found == multigets_.end()) {
        record_breach(Rule::kHonestAnswers, time, name + ", which has no \"ask\" line, " + event);
        return nullptr;
    }
    auto& multiget = found->second;
    if (multiget.ended) {
        record_breach(Rule::kNoneLost, time, name + " " + event + " after it had already ended");
        return nullptr;
    }
    multiget.ended = true;
    record_ratio(Rule::kNoneLost, static_cast<double>(std::max<Time>(0, time - multiget.deadline)),
                 static_cast<double>(grace_));
    if (time > multiget.deadline + grace_)
        record_breach(Rule::kNoneLost, time, name + " " + event + " after its deadline");
    return &multiget;
}

void RuleChecker::take(const std::string& line) {
    std::istringstream fields(line);
    Time time = 0;
    std::string what;
    if (!(fields >> time >> what)) return;
    last_time_ = time;
    if (what == "world") {
        cold_from_ = read_value<double>(fields);
        warm_after_ = read_value<Time>(fields);
        overload_factor_ = read_value<double>(fields);
        overload_span_ = read_value<Time>(fields);
        server_rate_ = read_value<double>(fields);
        budget_floor_ = read_value<double>(fields);
        budget_ratio_ = read_value<double>(fields);
        budget_window_ = read_value<Time>(fields);
        drain_time_ = read_value<Time>(fields);
        grace_ = read_value<Time>(fields);
    } else if (what == "kind") {
        int kind = 0;
        fields >> kind;
        auto& kind_rules = kinds_[kind];
        kind_rules.repeat = read_value<std::string>(fields);
        kind_rules.min_share = read_value<double>(fields);
        kind_rules.window = read_value<Time>(fields);
    } else if (what == "ask") {
        std::uint64_t number = 0;
        fields >> number;
        const int node = read_value<int>(fields);
        auto& multiget = multigets_[number];
        multiget.kind = read_value<int>(fields);
        multiget.deadline = read_value<Time>(fields);
        fields >> what;
        int shard = 0;
        char colon = 0;
        for (double weight = 0; fields >> shard >> colon >> weight;) multiget.weights[shard] = weight;
        const auto accepted = 1 + static_cast<double>(multiget.weights.size());
        nodes_[node].accepted.emplace_back(time, accepted);
        nodes_[node].accepted_sum += accepted;
    } else if (what == "same") {
        std::uint64_t number = 0;
        fields >> number;
        first_tries_[number] = read_value<std::uint64_t>(fields);
    } else if (what == "send") {
        check_send(time, fields);
    } else if (what == "reach") {
        check_reach(time, fields);
    } else if (what == "run") {
        check_run(time, fields);
    } else if (what == "back") {
        const auto [number, shard] = read_part(fields);
        fields >> what;
        if (what == "returned") multigets_[number].returned.insert(shard);
    } else if (what == "answer") {
        check_answer(time, fields);
    } else if (what == "push" || what == "fail" || what == "gone") {
        std::uint64_t number = 0;
        fields >> number;
        end_multiget(time, number,
                     what == "push"   ? "is pushed back"
                     : what == "fail" ? "has failed"
                                      : "lost its connection");
    } else if (what == "told") {
        int node = 0;
        fields >> node;
        const int server = read_value<int>(fields);
        fields >> what;
        if (what == "ready")
            nodes_[node].removed.erase(server);
        else
            nodes_[node].removed.emplace(server, time);
    } else if (what == "start") {
        int server = 0;
        fields >> server;
        cold_servers_[server] = {time, {}};
    } else if (what == "killed" || what == "begun") {
        // The new process receives its server list from scratch, so state recorded for the previous
        // process, or while none was running, does not apply to it.
        int node = 0;
        fields >> node;
        nodes_[node] = {};
    }
}

void RuleChecker::check_answer(Time time, std::istringstream& fields) {
    std::uint64_t number = 0;
    std::string completeness, label;
    fields >> number >> completeness >> label;
    auto* multiget = end_multiget(time, number, "is answered");
    if (multiget == nullptr) return;
    const auto name = "multiget " + std::to_string(number);
    double weight_sum = 0;
    std::size_t parts = 0;
    for (int shard = 0; fields >> shard; ++parts) {
        if (!multiget->returned.contains(shard))
            record_breach(
                Rule::kHonestAnswers, time,
                name + " is answered with shard " + std::to_string(shard) + ", which has not returned");
        weight_sum += multiget->weights.contains(shard) ? multiget->weights.at(shard) : 0;
    }
    if (completeness == "whole" && parts < multiget->weights.size())
        record_breach(Rule::kHonestAnswers, time, name + " is answered as whole but lacks parts");
    if (weight_sum + kShareTolerance < kinds_[multiget->kind].min_share)
        record_breach(Rule::kHonestAnswers, time, name + " is answered below its least_share");
}

void RuleChecker::check_send(Time time, std::istringstream& fields) {
    const auto [number, shard] = read_part(fields);
    auto& node = nodes_[read_value<int>(fields)];
    const int server = read_value<int>(fields);
    const int send_number = read_value<int>(fields);
    const auto name = "a part of multiget " + std::to_string(number);
    if (const auto removed = node.removed.find(server); removed != node.removed.end())
        record_ratio(Rule::kDrainsKept, static_cast<double>(time - removed->second),
                     static_cast<double>(drain_time_));
    if (const auto removed = node.removed.find(server);
        removed != node.removed.end() && time > removed->second + drain_time_) {
        record_breach(Rule::kDrainsKept, time,
                      name + " is sent to server " + std::to_string(server) +
                          ", which was reported removed at " + std::to_string(removed->second));
    }
    if (send_number == 0 || budget_window_ == 0) return;
    node.further_sends.push_back(time);
    while (!node.further_sends.empty() && node.further_sends.front() <= time - budget_window_)
        node.further_sends.pop_front();
    while (!node.accepted.empty() && node.accepted.front().first <= time - budget_window_) {
        node.accepted_sum -= node.accepted.front().second;
        node.accepted.pop_front();
    }
    record_ratio(Rule::kBudget, static_cast<double>(node.further_sends.size()),
                 budget_floor_ + budget_ratio_ * node.accepted_sum);
    if (static_cast<double>(node.further_sends.size()) >
        budget_floor_ + budget_ratio_ * node.accepted_sum + 1e-9) {
        record_breach(Rule::kBudget, time,
                      name + " is sent further as number " + std::to_string(node.further_sends.size()) +
                          " of the window; allowed: " +
                          std::to_string(budget_floor_ + budget_ratio_ * node.accepted_sum));
    }
}

// A cold server's sustained throughput grows linearly from the share cold_from to the full rate while it
// warms up. The rule is broken when it receives more than `fall` times that throughput within a span of
// `tip`.
void RuleChecker::check_reach(Time time, std::istringstream& fields) {
    read_part(fields);
    const int server = read_value<int>(fields);
    const auto found = cold_servers_.find(server);
    if (found == cold_servers_.end() || warm_after_ == 0) return;
    auto& cold = found->second;
    const auto age = time - cold.started;
    if (age >= warm_after_) {
        cold_servers_.erase(found);
        return;
    }
    cold.arrivals.push_back(time);
    while (cold.arrivals.front() <= time - overload_span_) cold.arrivals.pop_front();
    const double warmth =
        cold_from_ + (1 - cold_from_) * static_cast<double>(age) / static_cast<double>(warm_after_);
    const double limit = overload_factor_ * warmth * server_rate_ * static_cast<double>(overload_span_);
    record_ratio(Rule::kNoColdServerOver, static_cast<double>(cold.arrivals.size()), limit + 1);
    if (static_cast<double>(cold.arrivals.size()) > limit + 1) {
        record_breach(Rule::kNoColdServerOver, time,
                      "cold server " + std::to_string(server) + " was sent " +
                          std::to_string(cold.arrivals.size()) +
                          " parts within the span; limit: " + std::to_string(limit));
        cold.arrivals.clear();
    }
}

void RuleChecker::check_run(Time time, std::istringstream& fields) {
    const auto part = read_part(fields);
    const auto found = multigets_.find(part.first);
    if (found == multigets_.end()) {
        record_breach(Rule::kNoEffectTwice, time, "a part runs without an \"ask\" line for its multiget");
        return;
    }
    const auto& kind = kinds_[found->second.kind];
    if (kind.repeat == "retriable") return;
    const auto first = first_tries_.find(part.first);
    auto& runs = runs_[{first == first_tries_.end() ? part.first : first->second, part.second}];
    const bool repeated =
        !runs.empty() && (kind.repeat == "non-retriable" || time > runs.front() + kind.window);
    runs.push_back(time);
    if (repeated) {
        record_breach(Rule::kNoEffectTwice, time,
                      "shard " + std::to_string(part.second) + " of multiget " + std::to_string(part.first) +
                          " runs again; first run at " + std::to_string(runs.front()));
    }
}

std::vector<Breach> RuleChecker::finish() {
    for (const auto& [number, multiget] : multigets_) {
        if (!multiget.ended && last_time_ > multiget.deadline + grace_)
            record_breach(Rule::kNoneLost, last_time_,
                          "multiget " + std::to_string(number) + " has not ended");
    }
    return std::move(breaches_);
}

}  // namespace pinedoor::lab
