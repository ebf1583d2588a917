#include "lab/fleet/verdict.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ostream>
#include <sstream>
#include <utility>

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr Time kWindow = kSecond / 20;

std::string decimal(double value, int digits = 2) {
    char text[32];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

std::string seconds_or_never(Time at) {
    return at < 0 ? "never" : decimal(static_cast<double>(at) / kSecond) + " s";
}

std::string share(std::uint64_t of, std::uint64_t all) {
    return all == 0 ? "none" : decimal(100 * static_cast<double>(of) / static_cast<double>(all), 1) + " %";
}

}  // namespace

FleetReader::Second& FleetReader::second(Time at) {
    const auto which = static_cast<std::size_t>(std::max<Time>(0, at) / kSecond);
    if (seconds_.size() <= which) seconds_.resize(which + 1);
    return seconds_[which];
}

void LimitReader::take(const std::string& line) {
    std::istringstream words(line);
    Time at = 0;
    std::string what, name, skipped;
    int node = 0, server = 0, number = 0;
    if (!(words >> at >> what)) return;
    if (what == "link" && of_ == "connections" && words >> server) return count(at, -1, server);
    if (what == "holds" && of_ == "parts-out" && words >> server >> number)
        worst_ = std::max(worst_, number - per_second_);
    if (what != "send" || !(words >> name >> skipped >> node >> skipped >> server >> skipped >> number))
        return;
    if (of_ == "further-sends" && number > 0) count(at, node, -1);
    if (of_ == "multigets" && !std::exchange(seen_[std::stoull(name)], true)) count(at, node, -1);
}

// Tracks the worst window that ends now in one pass, with a bucket that leaks at the limit's rate.
void LimitReader::count(Time at, int node, int server) {
    passed_.emplace_back(at, node);
    auto& level = levels_[server];
    level.now =
        std::max(0.0, level.now -
                          per_second_ * static_cast<double>(at - std::exchange(level.last, at)) / kSecond) +
        1;
    worst_ = std::max(worst_, level.now - burst_);
}

std::uint64_t LimitReader::passed(Time from, Time until) const {
    return static_cast<std::uint64_t>(std::count_if(passed_.begin(), passed_.end(), [&](const auto& each) {
        return each.first >= from && each.first < until;
    }));
}

std::uint64_t LimitReader::passed_by(int node, Time from, Time until) const {
    return static_cast<std::uint64_t>(std::count_if(passed_.begin(), passed_.end(), [&](const auto& each) {
        return each.second == node && each.first >= from && each.first < until;
    }));
}

void FleetReader::take(const std::string& line) {
    checker_.take(line);
    std::istringstream words(line);
    Time at = 0;
    std::string what, skipped;
    std::uint64_t number = 0;
    if (!(words >> at >> what)) return;
    if (what == "ask") {
        int node = 0;
        if (!(words >> number >> skipped >> node)) return;
        ++second(at).asked;
        asked_at_[number] = node;
        return;
    }
    constexpr Time kRejoinWindow = kSecond / 2;
    if (what == "begun") {  // started again
        int node = 0;
        words >> node;
        rejoined_at_[node] = at;
        last_rejoin_ = at;
        return;
    }
    if (what == "server") {
        int server = 0;
        std::string kind, how;
        if (!(words >> server >> kind >> how)) return;
        active_faults_[server] += how == "begins" ? 1 : -1;
        if (faults_from_ < 0) faults_from_ = at;
        if (how == "ends" && faults_until_ < 0) faults_until_ = at;
        return;
    }
    if (what == "send") {
        std::string name;
        int node = 0, server = 0;
        if (!(words >> name >> skipped >> node >> skipped >> server)) return;
        const auto window = static_cast<std::size_t>(std::max<Time>(0, at) / kWindow);
        if (picks_.size() <= window) picks_.resize(window + 1);
        ++picks_[window].sends;
        picks_[window].ailing += active_faults_[server] > 0 ? 1U : 0U;
        if (last_rejoin_ < 0 || at - last_rejoin_ > kRejoinWindow) return;
        const auto began = rejoined_at_.find(node);
        auto& picks =
            began != rejoined_at_.end() && at - began->second <= kRejoinWindow ? rejoined_ : others_;
        ++picks.sends;
        picks.ailing += active_faults_[server] > 0 ? 1U : 0U;
        return;
    }
    if (what != "answer" && what != "push" && what != "fail" && what != "gone") return;
    if (!(words >> number)) return;
    const auto open = asked_at_.find(number);
    if (open == asked_at_.end()) return;
    auto& in = second(at);
    if (what == "answer") {
        words >> skipped;
        ++(skipped == "whole" ? in.answered : in.in_part);
        auto& first = first_answer_.at(static_cast<std::size_t>(open->second));
        if (first < 0) first = at;
    } else {
        ++(what == "push" ? in.pushed_back : in.failed);
    }
    asked_at_.erase(open);
}

FleetReader::Second FleetReader::within(std::size_t seconds) const {
    Second sum;
    for (std::size_t i = 0; i < std::min(seconds, seconds_.size()); ++i) {
        sum.asked += seconds_[i].asked;
        sum.answered += seconds_[i].answered;
        sum.in_part += seconds_[i].in_part;
        sum.pushed_back += seconds_[i].pushed_back;
        sum.failed += seconds_[i].failed;
    }
    return sum;
}

FleetReader::Picks FleetReader::picks(Time from, Time until) const {
    Picks sum;
    for (auto i = static_cast<std::size_t>(std::max<Time>(0, from) / kWindow);
         i < picks_.size() && static_cast<Time>(i) * kWindow < until; ++i) {
        sum.sends += picks_[i].sends;
        sum.ailing += picks_[i].ailing;
    }
    return sum;
}

Time FleetReader::faults_until() const {
    return faults_until_ < 0 ? static_cast<Time>(picks_.size()) * kWindow : faults_until_;
}

Time FleetReader::avoided_after(double share) const {
    if (faults_from_ < 0) return -1;
    for (Time from = faults_from_; from + kSecond <= faults_until(); from += kWindow) {
        if (picks(from, from + kSecond).share() <= share) return from - faults_from_;
    }
    return -1;
}

Time FleetReader::served_by(double of_all) const {
    auto times = first_answer_;
    std::erase_if(times, [](Time at) { return at < 0; });
    const auto need = static_cast<std::size_t>(std::ceil(of_all * static_cast<double>(first_answer_.size())));
    if (need == 0 || times.size() < need) return -1;
    std::sort(times.begin(), times.end());
    return times[need - 1];
}

namespace {

// A front node's second: sends by server, and its multigets' ends.
struct NodeSecond {
    std::map<std::string, int> sends, ends;
    std::string text() const {
        std::string out;
        for (const auto& [server, count] : sends)
            out += " " + std::to_string(count) + " to server " + server + ',';
        for (const auto& [how, count] : ends) out += " " + std::to_string(count) + ' ' + how + ',';
        if (!out.empty()) out.pop_back();
        return out;
    }
};

}  // namespace

std::vector<std::string> node_timeline(std::istream& log, int node) {
    const auto name = std::to_string(node);
    std::multimap<Time, std::string> life;
    std::map<Time, NodeSecond> seconds;
    std::unordered_map<std::string, bool> mine;  // multigets sent to this node
    std::string known;
    bool seen = false;
    for (std::string line; std::getline(log, line);) {
        std::istringstream words(line);
        Time at = 0;
        std::string what, first, skipped;
        if (!(words >> at >> what >> first)) continue;
        const auto rest = line.substr(line.find(what));
        if (what == "fault" || what == "trouble" || what == "server") {
            life.emplace(at, rest);
        } else if (what == "ask") {
            std::string to;
            words >> skipped >> to;
            if (to == name) mine[first] = true;
        } else if (what == "answer" || what == "push" || what == "fail" || what == "gone") {
            if (mine.contains(first)) ++seconds[at / kSecond].ends[what];
        } else if (what == "send") {
            std::string from, server;
            words >> skipped >> from >> skipped >> server;
            if (from == name) ++seconds[at / kSecond].sends[server];
        } else if (first == name &&
                   (what == "begun" || what == "killed" || what == "told" || what == "said")) {
            seen = true;
            life.emplace(at, rest);
        } else if (first == name && what == "knows" && rest != known) {
            known = rest;
            life.emplace(at, rest);
        }
    }
    std::vector<std::string> out;
    if (!seen && seconds.empty()) return out;
    for (const auto& [second, what] : seconds)
        life.emplace((second + 1) * kSecond - 1, "in this second:" + what.text());
    for (const auto& [at, what] : life) out.push_back(seconds_or_never(std::max<Time>(0, at)) + "  " + what);
    return out;
}

void print_verdict(std::ostream& out, const FleetWorld& world, const FleetTotals& seen, FleetReader& reader) {
    const auto served = seen.count(CallQueue::End::kServed);
    out << "front nodes " << world.world.nodes << ", seed " << world.world.seed << '\n'
        << "calls at discovery " << seen.calls.size() << ": served " << served << ", refused "
        << seen.count(CallQueue::End::kRefused) << ", timed out " << seen.count(CallQueue::End::kTimedOut)
        << ", given up " << seen.count(CallQueue::End::kGone) << "; most at once " << seen.most_calls_at_once
        << ", most in a second " << seen.most_calls_in_a_second << '\n'
        << "front nodes serving: half after " << seconds_or_never(reader.served_by(0.5)) << ", 99 % after "
        << seconds_or_never(reader.served_by(0.99)) << '\n';
    const auto early = reader.within(30);
    const auto ends = early.answered + early.in_part + early.pushed_back + early.failed;
    out << "first 30 s: tries ended " << ends << ": whole " << share(early.answered, ends) << ", in part "
        << share(early.in_part, ends) << ", pushed back " << share(early.pushed_back, ends) << ", failed "
        << share(early.failed, ends) << '\n';
    out << "service " << decimal(seen.totals.service(), 3);
    std::uint64_t late = 0, asked = 0;
    for (const auto& each : seen.totals.clients) {
        late += each.late;
        asked += each.asked;
    }
    out << ", late " << share(late, asked) << ", ends that were bad " << seen.totals.bad_exits << '\n';
    if (!seen.connections.empty()) {
        std::uint64_t all = 0, most = 0;
        for (const auto each : seen.connections) {
            all += each;
            most = std::max(most, each);
        }
        out << "connections to servers " << all << ", to one at most " << most << ", most in a second at one "
            << seen.most_connections_in_a_second << '\n';
    }
    if (reader.picks_of_rejoined().sends > 0)
        out << "sends to servers that ail, in the half second after a start: "
            << decimal(100 * reader.picks_of_rejoined().share(), 1) << " % of those started, "
            << decimal(100 * reader.picks_of_others().share(), 1) << " % of the others\n";
    if (asked > 0)
        out << "front nodes' CPU a try: "
            << decimal(1e6 * seen.totals.node_cpu_seconds / static_cast<double>(asked), 0) << " us\n";
    out << "the machine: the laboratory was late for " << decimal(100 * seen.late_share, 1)
        << " % of the time, a front node waited for a core " << decimal(100 * seen.waiting_share, 1)
        << " %\n";
    if (seen.peer_datagrams > 0) {
        const auto node_seconds =
            static_cast<double>(world.world.nodes) * static_cast<double>(world.world.length) / kSecond;
        out << "between front nodes, a node and second: "
            << decimal(static_cast<double>(seen.peer_datagrams) / node_seconds, 1) << " messages, "
            << decimal(static_cast<double>(seen.peer_bytes) / node_seconds, 0) << " bytes\n";
    }
    if (reader.faults_from() >= 0) {
        constexpr Time kTold = 2 * kSecond;
        const auto later = reader.picks(reader.faults_from() + kTold, reader.faults_until());
        out << "servers that ail: left by 99 % of the sends after "
            << seconds_or_never(reader.avoided_after()) << "; from 2 s on they got "
            << share(later.ailing, later.sends) << '\n';
    }
    out << "work at a cold server: at most " << decimal(reader.nearest(Breach::Rule::kNoColdServerOver))
        << " of what it bears\n";
}

}  // namespace pinedoor::lab
