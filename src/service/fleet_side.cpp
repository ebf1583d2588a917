#include "service/fleet_side.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::service {
namespace {

constexpr Time kUpdateInterval =
    1'000;  // interval at which this node's view and the reports of others are read
constexpr Time kCatchUpInterval = 200;  // interval while this node is new and its gossip state is incomplete
constexpr double kTicksPerSecond = 10'000;

std::string age_text(Time now, Time at) {
    return at <= 0 ? "never" : std::to_string((now - at) / 10) + " ms ago";
}

}  // namespace

FleetReporter::FleetReporter(net::Scheduler& scheduler, Dispatcher& dispatcher, peers::PeerTransport& carrier,
                             Log& log, fleet::ReportConfig terms)
    : scheduler_(scheduler), dispatcher_(dispatcher), carrier_(carrier), log_(log), terms_(terms),
      reader_(terms.verdict), outgoing_(terms), incoming_(terms, carrier.membership().self().name),
      waiter_(scheduler) {}

void FleetReporter::start() {
    carrier_.answer_to("verdicts", [this](std::string_view) { return print_verdicts(); });
    carrier_.answer_to("why", [this](std::string_view server) { return print_server(server); });
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task FleetReporter::run() {
    for (;;) {
        update();
        co_await waiter_.wait(
            0, scheduler_.now() + (carrier_.gossip().behind() ? kCatchUpInterval : kUpdateInterval));
    }
}

void FleetReporter::update() {
    const auto now = scheduler_.now();
    const auto changes = carrier_.gossip().changes();
    const bool has_changes = std::exchange(seen_changes_, changes) != changes;
    if (has_changes || now - read_at_ >= terms_.every) {  // reports expire by themselves
        read_at_ = now;
        other_reports_ = read_reports(reader_);
        apply_keys();
    }
    apply_reports();  // also without changes: opinions expire, and so do the turns of other nodes to try a
                      // server
    publish_reports();
    publish_keys();
}

fleet::Said FleetReporter::read_reports(fleet::ReportReader& reader) const {
    std::map<std::string, int> zones;
    for (const auto& claim : carrier_.membership().members()) zones[claim.name] = claim.zone;
    const auto now = scheduler_.now();
    return reader.read(now, carrier_.gossip().facts(now, fleet::kServersTopic), zones,
                       carrier_.membership().self().name);
}

std::vector<fleet::ServerObservation> FleetReporter::local_view() const {
    const auto now = scheduler_.now();
    std::vector<fleet::ServerObservation> all;
    for (const auto& [name, view] : dispatcher_.servers()) {
        const Time cold_for = view.started > 0 ? std::max<Time>(0, now - view.started) : -1;
        all.push_back({name, view.doubted, view.failed, view.answered, cold_for, view.parts});
    }
    return all;
}

void FleetReporter::publish_reports() {
    const auto reports = outgoing_.tell(scheduler_.now(), local_view(), other_reports_);
    if (!reports) return;
    ++reports_published_;
    carrier_.publish(fleet::kServersTopic, *reports, terms_.lives);
}

void FleetReporter::apply_reports() {
    const auto now = scheduler_.now();
    for (const auto& [name, report] : incoming_.hear(now, other_reports_)) pending_reports_[name] = report;
    // Bounded by the current reports: once nobody reports on a server any more, that arrives as an empty
    // report, which removes the entry.
    for (auto at = pending_reports_.begin(); at != pending_reports_.end();) {
        const auto& report = at->second;
        if (!dispatcher_.find_server(at->first)) {  // the server list may name it later
            if (!report.says_something()) set_aside_.erase(at->first);
            at = report.says_something() ? std::next(at) : pending_reports_.erase(at);
            continue;
        }
        ++reports_applied_;
        if (report.aside) oldest_evidence_ = std::max(oldest_evidence_, now - report.seen);
        if (!report.aside) verdicts_ended_ += set_aside_.erase(at->first);
        // Logged once for each verdict: later evidence, and which node is to try the server, concern the
        // module alone.
        if (report.aside && set_aside_.insert(at->first).second) {
            ++verdicts_aside_;
            log_.event(Level::kInfo, "server_told_aside",
                       "other front nodes have set " + at->first + " aside" +
                           (report.held ? "" : "; this node tries it"));
        }
        dispatcher_.notify(at->first, {{},
                                       report.aside,
                                       report.held,
                                       report.seen,
                                       report.cold_for < 0 ? 0 : now - report.cold_for,
                                       report.taken / kTicksPerSecond});
        at = pending_reports_.erase(at);
    }
}

void FleetReporter::publish_keys() {
    const auto now = scheduler_.now();
    std::vector<std::pair<std::uint64_t, Time>> keys;
    std::vector<std::uint64_t> names;
    Time longest = 0;
    for (const auto& each : dispatcher_.deadly_keys()) {
        if (each.until <= now) continue;
        keys.emplace_back(each.key, each.until - now);
        names.push_back(each.key);
        longest = std::max(longest, each.until - now);
    }
    if (names == published_keys_) return;
    published_keys_ = std::move(names);
    carrier_.publish(fleet::kDeadlyTopic, fleet::write_keys(keys), longest);
}

void FleetReporter::apply_keys() {
    const auto now = scheduler_.now();
    std::erase_if(received_keys_, [now](const auto& each) { return each.second <= now; });
    for (const auto& fact : carrier_.gossip().facts(now, fleet::kDeadlyTopic)) {
        if (fact.origin == carrier_.membership().self().name) continue;
        for (const auto& [key, left] : fleet::read_keys(fact.value)) {
            const Time until = now + std::min(left, fact.lives) - fact.age;
            if (until <= now || !received_keys_.try_emplace(key, until).second) continue;
            log_.event(Level::kInfo, "deadly_key_told",
                       "multiget that crashes servers, reported by " + fact.origin);
            dispatcher_.notify(DeadlyKey{key, until});
        }
    }
}

std::string FleetReporter::print_verdicts() const {
    const auto now = scheduler_.now();
    std::string out;
    for (const auto& [name, report] : incoming_.told()) {
        out +=
            name + (report.aside ? " aside, by what was seen " + age_text(now, report.seen) : " not aside") +
            (report.aside ? report.held ? ", others try it" : ", this node tries it" : "") +
            (report.cold_for >= 0 ? ", cold for " + std::to_string(report.cold_for / 10) + " ms" : "") + '\n';
    }
    return out.empty() ? "no reports against any server\n" : out;
}

std::string FleetReporter::print_server(std::string_view server) const {
    const auto now = scheduler_.now();
    std::string out;
    for (const auto& each : local_view()) {
        if (each.name != server) continue;
        out = "this node: " + std::string(each.doubted ? "doubts it" : "has nothing against it") +
              ", failed " + age_text(now, each.failed) + ", answered " + age_text(now, each.answered) + '\n';
    }
    if (out.empty()) return "no server of that name is listed\n";
    fleet::ReportReader reader(terms_.verdict);
    const auto others = read_reports(reader);
    const auto entry = others.servers.find(std::string(server));
    const auto opinions =
        entry == others.servers.end() ? std::vector<fleet::Opinion>{} : entry->second.opinions;
    for (const auto& each : opinions)
        out += each.from + ": " + (each.bad ? "bad" : "good") + ", seen " + age_text(now, each.seen) + '\n';
    const auto verdict = fleet::judge(terms_.verdict, now, others.voices.size(), opinions);
    return out + "of the latest " + std::to_string(2 * verdict.needed - 1) + " at most, " +
           std::to_string(verdict.bad) + " bad and " + std::to_string(verdict.good) + " good; " +
           std::to_string(verdict.needed) + " of " + std::to_string(others.voices.size()) +
           " voices are needed: " + (verdict.aside ? "aside" : "not aside") + '\n';
}

std::string FleetReporter::print_gauges() const {
    std::string out;
    append_line(out, "fleet_words_told", reports_published_);
    append_line(out, "fleet_words_heard", reports_applied_);
    append_line(out, "fleet_verdicts_aside", verdicts_aside_);
    append_line(out, "fleet_verdicts_ended", verdicts_ended_);
    append_line(out, "fleet_verdict_oldest_ms", static_cast<std::uint64_t>(oldest_evidence_ / 10));
    append_line(out, "fleet_deadly_keys_heard", received_keys_.size());
    return out;
}

}  // namespace pinedoor::service
