#include "lab/soak/soak_plan.hpp"

#include <algorithm>
#include <array>
#include <csignal>

#include "lab/world/draw.hpp"

namespace pinedoor::lab {
namespace {

struct NodeLimits {
    int memory_mb;
    int sockets;
};
// The least that the operators' pages name, and less.
constexpr std::array kNodeLimits{NodeLimits{192, 1024}, NodeLimits{192, 1024}, NodeLimits{192, 512},
                                 NodeLimits{96, 1024},  NodeLimits{48, 1024},  NodeLimits{24, 256}};
constexpr SoakMs kRestartDelay = 1'000;
constexpr SoakMs kQuietBeforeTerm = 1'500;  // no other signal comes between a planned restart's two

constexpr std::uint64_t kUnfinishedKinds = 4;

bool stays_unfinished(Abuse kind) { return kind <= Abuse::kTrailers; }

int clients_of(Abuse kind, const SoakPlan& plan, Chance& chance) {
    if (!stays_unfinished(kind)) return 1 + static_cast<int>(chance.below(3));
    const int crowd = plan.sockets / 2;
    return plan.crowd ? crowd : 20 + static_cast<int>(chance.below(static_cast<std::uint64_t>(crowd / 2)));
}

AbuseSpell draw_spell(const SoakPlan& plan, Chance& chance) {
    AbuseSpell spell;
    spell.kind = static_cast<Abuse>(chance.below(kAbuseKinds));
    spell.clients = clients_of(spell.kind, plan, chance);
    spell.from = 500 + static_cast<SoakMs>(chance.below(static_cast<std::uint64_t>(plan.length / 2)));
    spell.until =
        std::min(plan.length - 1'000, spell.from + 1'500 + static_cast<SoakMs>(chance.below(4'000)));
    return spell;
}

// A planned restart: the kill comes as early as the operators' page allows.
void add_planned_restart(SoakPlan& plan, SoakMs at) {
    plan.signals.push_back({at, SIGTERM});
    plan.signals.push_back({at + kSoakKillAfterTerm, SIGKILL});
}

// Kills in series: each shortly after the start that follows the last one.
void add_kills(SoakPlan& plan, SoakMs at, Chance& chance) {
    const auto count = 1 + chance.below(3);
    for (std::uint64_t i = 0; i < count; ++i) {
        plan.signals.push_back({at, SIGKILL});
        at += kRestartDelay + 200 + static_cast<SoakMs>(chance.below(400));
    }
}

void add_reloads(SoakPlan& plan, SoakMs at, Chance& chance) {
    for (int i = 0; i < 6; ++i) {
        plan.signals.push_back({at, SIGHUP});
        at += static_cast<SoakMs>(chance.below(60));
    }
}

void add_pauses(SoakPlan& plan, SoakMs at) {
    constexpr SoakMs kPause = 150;
    for (int i = 0; i < 3; ++i) {
        plan.signals.push_back({at, SIGSTOP});
        plan.signals.push_back({at + kPause, SIGCONT});
        at += 3 * kPause;
    }
}

void add_signals(SoakPlan& plan, Chance& chance) {
    const auto third = plan.length / 3;
    const SoakMs early = 1'500 + static_cast<SoakMs>(chance.below(static_cast<std::uint64_t>(third)));
    switch (chance.below(4)) {
        case 0: break;
        case 1: add_kills(plan, early, chance); break;
        case 2: add_reloads(plan, early, chance); break;
        default: add_pauses(plan, early); break;
    }
    const SoakMs quiet = plan.signals.empty() ? 0 : plan.signals.back().at + kQuietBeforeTerm;
    const SoakMs restart = std::max(plan.length * 3 / 5, quiet);
    const bool fits = restart + kSoakKillAfterTerm < plan.length;
    if (chance.below(2) == 0 && fits) add_planned_restart(plan, restart);
    std::stable_sort(plan.signals.begin(), plan.signals.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
}

}  // namespace

std::string_view name_of(Abuse kind) {
    constexpr std::array<std::string_view, kAbuseKinds> kNames{
        "short-fields",    "half-body",     "slow-writers",    "trailers",    "readiness-flood",
        "counters-flood",  "unsound-flood", "new-names-flood", "many-values", "tiny-chunks",
        "pipelined-close", "repeated-ids",  "unread-answers",  "half-closes", "connects"};
    return kNames[static_cast<std::size_t>(kind)];
}

SoakPlan draw_soak_plan(std::uint64_t seed, SoakMs length) {
    Chance chance(seed);
    SoakPlan plan;
    plan.seed = seed;
    plan.length = std::max<SoakMs>(length, 8'000);
    const auto limits = kNodeLimits[chance.below(kNodeLimits.size())];
    plan.memory_mb = limits.memory_mb;
    plan.sockets = limits.sockets;
    plan.crowd = chance.below(3) == 0;
    const auto spells = 3 + chance.below(3);
    for (std::uint64_t i = 0; i < spells; ++i) plan.spells.push_back(draw_spell(plan, chance));
    if (plan.crowd) {
        auto& spell = plan.spells.front();
        spell.kind = static_cast<Abuse>(chance.below(kUnfinishedKinds));
        spell.clients = clients_of(spell.kind, plan, chance);
    }
    add_signals(plan, chance);
    return plan;
}

std::string SoakPlan::text() const {
    std::string out = "memory " + std::to_string(memory_mb) + " MB, " + std::to_string(sockets) +
                      " descriptors" + (crowd ? ", a crowd" : "") + ";";
    for (const auto& spell : spells) {
        out += ' ';
        out += name_of(spell.kind);
        out += '*' + std::to_string(spell.clients) + '@' + std::to_string(spell.from);
    }
    out += "; signals";
    for (const auto& each : signals) out += ' ' + std::to_string(each.signal) + '@' + std::to_string(each.at);
    return out;
}

}  // namespace pinedoor::lab
