#include "service/fleet_side.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::service {
namespace {

constexpr Time kLook = 1'000;    // interval at which this node's view and the reports of others are read
constexpr Time kLookSoon = 200;  // interval while this node is new and its gossip state is incomplete
constexpr double kTicksPerSecond = 10'000;

std::string ago(Time now, Time at) { return at <= 0 ? "never" : std::to_string((now - at) / 10) + " ms ago"; }

}  // namespace

FleetSide::FleetSide(net::Scheduler& scheduler, Exchange& exchange, peers::Carrier& carrier, Log& log,
                     fleet::WordTerms terms)
    : scheduler_(scheduler), exchange_(exchange), carrier_(carrier), log_(log), terms_(terms),
      reader_(terms.verdict), teller_(terms), hearer_(terms, carrier.membership().self().name),
      waiter_(scheduler) {}

void FleetSide::start() {
    carrier_.answer_to("verdicts", [this](std::string_view) { return print_verdicts(); });
    carrier_.answer_to("why", [this](std::string_view server) { return why(server); });
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task FleetSide::run() {
    for (;;) {
        look();
        co_await waiter_.wait(0, scheduler_.now() + (carrier_.gossip().behind() ? kLookSoon : kLook));
    }
}

void FleetSide::look() {
    const auto now = scheduler_.now();
    const auto changes = carrier_.gossip().changes();
    const bool news = std::exchange(seen_changes_, changes) != changes;
    if (news || now - read_at_ >= terms_.every) {  // reports expire by themselves
        read_at_ = now;
        others_ = read(reader_);
        hear_keys();
    }
    hear();  // also without changes: opinions expire, and so do the turns of other nodes to try a server
    tell();
    tell_keys();
}

fleet::Said FleetSide::read(fleet::WordReader& reader) const {
    std::map<std::string, int> zones;
    for (const auto& claim : carrier_.membership().members()) zones[claim.name] = claim.zone;
    const auto now = scheduler_.now();
    return reader.read(now, carrier_.gossip().facts(now, fleet::kServersTopic), zones,
                       carrier_.membership().self().name);
}

std::vector<fleet::ServerSeen> FleetSide::seen() const {
    const auto now = scheduler_.now();
    std::vector<fleet::ServerSeen> all;
    for (const auto& [name, view] : exchange_.servers()) {
        const Time cold_for = view.started > 0 ? std::max<Time>(0, now - view.started) : -1;
        all.push_back({name, view.doubted, view.failed, view.answered, cold_for, view.parts});
    }
    return all;
}

void FleetSide::tell() {
    const auto words = teller_.tell(scheduler_.now(), seen(), others_);
    if (!words) return;
    ++told_;
    carrier_.publish(fleet::kServersTopic, *words, terms_.lives);
}

void FleetSide::hear() {
    const auto now = scheduler_.now();
    for (const auto& [name, told] : hearer_.hear(now, others_)) unheard_[name] = told;
    // Bounded by the current reports: once nobody reports on a server any more, that arrives as an empty
    // report, which removes the entry.
    for (auto at = unheard_.begin(); at != unheard_.end();) {
        const auto& told = at->second;
        if (!exchange_.server_named(at->first)) {  // the server list may name it later
            if (!told.says_something()) asides_.erase(at->first);
            at = told.says_something() ? std::next(at) : unheard_.erase(at);
            continue;
        }
        ++heard_;
        if (told.aside) oldest_ = std::max(oldest_, now - told.seen);
        if (!told.aside) ended_ += asides_.erase(at->first);
        // Logged once for each verdict: later evidence, and which node is to try the server, concern the
        // module alone.
        if (told.aside && asides_.insert(at->first).second) {
            ++aside_;
            log_.event(Level::kInfo, "server_told_aside",
                       "others have " + at->first + " aside" + (told.held ? "" : "; this node is to try it"));
        }
        exchange_.hear(at->first, {{},
                                   told.aside,
                                   told.held,
                                   told.seen,
                                   told.cold_for < 0 ? 0 : now - told.cold_for,
                                   told.taken / kTicksPerSecond});
        at = unheard_.erase(at);
    }
}

void FleetSide::tell_keys() {
    const auto now = scheduler_.now();
    std::vector<std::pair<std::uint64_t, Time>> keys;
    std::vector<std::uint64_t> names;
    Time longest = 0;
    for (const auto& each : exchange_.deadly_keys()) {
        if (each.until <= now) continue;
        keys.emplace_back(each.key, each.until - now);
        names.push_back(each.key);
        longest = std::max(longest, each.until - now);
    }
    if (names == keys_told_) return;
    keys_told_ = std::move(names);
    carrier_.publish(fleet::kDeadlyTopic, fleet::write_keys(keys), longest);
}

void FleetSide::hear_keys() {
    const auto now = scheduler_.now();
    std::erase_if(keys_heard_, [now](const auto& each) { return each.second <= now; });
    for (const auto& fact : carrier_.gossip().facts(now, fleet::kDeadlyTopic)) {
        if (fact.origin == carrier_.membership().self().name) continue;
        for (const auto& [key, left] : fleet::read_keys(fact.value)) {
            const Time until = now + std::min(left, fact.lives) - fact.age;
            if (until <= now || !keys_heard_.try_emplace(key, until).second) continue;
            log_.event(Level::kInfo, "deadly_key_told", "servers died under a multiget at " + fact.origin);
            exchange_.hear(DeadlyKey{key, until});
        }
    }
}

std::string FleetSide::print_verdicts() const {
    const auto now = scheduler_.now();
    std::string out;
    for (const auto& [name, told] : hearer_.told()) {
        out += name + (told.aside ? " aside, by what was seen " + ago(now, told.seen) : " not aside") +
               (told.aside ? told.held ? ", others try it" : ", this node tries it" : "") +
               (told.cold_for >= 0 ? ", cold for " + std::to_string(told.cold_for / 10) + " ms" : "") + '\n';
    }
    return out.empty() ? "no server is spoken against\n" : out;
}

std::string FleetSide::why(std::string_view server) const {
    const auto now = scheduler_.now();
    std::string out;
    for (const auto& each : seen()) {
        if (each.name != server) continue;
        out = "this node: " + std::string(each.doubted ? "doubts it" : "has nothing against it") +
              ", failed " + ago(now, each.failed) + ", answered " + ago(now, each.answered) + '\n';
    }
    if (out.empty()) return "nobody has listed a server of that name\n";
    fleet::WordReader reader(terms_.verdict);
    const auto others = read(reader);
    const auto of = others.servers.find(std::string(server));
    const auto opinions = of == others.servers.end() ? std::vector<fleet::Opinion>{} : of->second.opinions;
    for (const auto& each : opinions)
        out += each.from + ": " + (each.bad ? "bad" : "good") + ", seen " + ago(now, each.seen) + '\n';
    const auto verdict = fleet::judge(terms_.verdict, now, others.voices.size(), opinions);
    return out + "of the latest " + std::to_string(2 * verdict.needed - 1) + " at most, " +
           std::to_string(verdict.bad) + " bad and " + std::to_string(verdict.good) + " good; " +
           std::to_string(verdict.needed) + " of " + std::to_string(others.voices.size()) +
           " voices are needed: " + (verdict.aside ? "aside" : "not aside") + '\n';
}

std::string FleetSide::print_gauges() const {
    std::string out;
    append_line(out, "fleet_words_told", told_);
    append_line(out, "fleet_words_heard", heard_);
    append_line(out, "fleet_verdicts_aside", aside_);
    append_line(out, "fleet_verdicts_ended", ended_);
    append_line(out, "fleet_verdict_oldest_ms", static_cast<std::uint64_t>(oldest_ / 10));
    append_line(out, "fleet_deadly_keys_heard", keys_heard_.size());
    return out;
}

}  // namespace pinedoor::service
