#include "lab/fleet/fleet_hunt.hpp"

#include <algorithm>
#include <cmath>

namespace pinedoor::lab {
namespace {

constexpr Time kTimeStep =
    1'000;  // faults begin and end at tenths of a second, which keeps the world readable
constexpr Time kMinDuration = 5'000;

double rounded(double value, double to) { return std::round(value / to) * to; }
Time rounded(double ticks) { return static_cast<Time>(rounded(ticks, static_cast<double>(kTimeStep))); }

}  // namespace

double badness_of(const FleetWorld& world, const FleetTotals& seen, const std::vector<Breach>& breaches) {
    const auto calls = static_cast<double>(seen.calls.size()) / std::max(1, world.world.nodes);
    return 10 * static_cast<double>(breaches.size()) + 10 * static_cast<double>(seen.totals.bad_exits) +
           (1 - seen.totals.service()) + calls / 1'000;
}

FleetHunter::FleetHunter(FleetWorld base, std::uint64_t seed, std::size_t max_faults)
    : base_(std::move(base)), max_faults_(std::max<std::size_t>(1, max_faults)), chance_(seed) {}

Fault FleetHunter::draw() {
    Fault fault;
    fault.kind = kinds_[chance_.below(kinds_.size())];
    const auto length = static_cast<double>(base_.world.length);
    fault.from = rounded(chance_.one() * 0.7 * length);
    fault.until =
        std::min(base_.world.length,
                 fault.from + std::max(kMinDuration, rounded((0.05 + 0.35 * chance_.one()) * length)));
    fault.share = rounded(0.05 + 0.65 * chance_.one() * chance_.one(), 0.05);
    if (fault.kind == Fault::Kind::kClock) fault.by_s = rounded((chance_.one() - 0.5) * 7'200, 1.0);
    if (fault.kind != Fault::Kind::kLinks) return fault;
    fault.between = base_.fleet.peers && chance_.below(2) == 0
                        ? Fault::Between::kPeers
                        : static_cast<Fault::Between>(chance_.below(3));
    fault.way = static_cast<Fault::Way>(chance_.below(3));
    fault.link_faults.cut = chance_.below(3) == 0;
    if (fault.link_faults.cut) return fault;
    fault.link_faults.delay_ms.a = rounded(300 * chance_.one() * chance_.one(), 1.0);
    fault.link_faults.lose = rounded(0.4 * chance_.one(), 0.01);
    fault.link_faults.twice = rounded(0.3 * chance_.one(), 0.01);
    fault.link_faults.swap = rounded(0.3 * chance_.one(), 0.01);
    return fault;
}

FleetWorld FleetHunter::draw_schedule() {
    kinds_.clear();
    for (std::size_t kind = 0; kind < fault_names().size(); ++kind) {
        if (chance_.below(2) == 0) kinds_.push_back(static_cast<Fault::Kind>(kind));
    }
    if (kinds_.empty()) kinds_.push_back(Fault::Kind::kKill);
    auto world = base_;
    world.faults.clear();
    const auto count = 1 + chance_.below(max_faults_);
    for (std::uint64_t i = 0; i < count; ++i) world.faults.push_back(draw());
    return world;
}

FleetWorld FleetHunter::mutate_worst() {
    auto world = *worst_;
    if (world.faults.empty()) return draw_schedule();
    auto& one = world.faults[chance_.below(world.faults.size())];
    switch (chance_.below(4)) {
        case 0: one = draw(); break;
        case 1: one.share = std::min(1.0, rounded(one.share * (0.6 + chance_.one()), 0.05)); break;
        case 2: {
            const auto lasts = one.until - one.from;
            one.from = rounded(chance_.one() * 0.7 * static_cast<double>(base_.world.length));
            one.until = std::min(base_.world.length, one.from + lasts);
            break;
        }
        default:
            if (world.faults.size() < max_faults_) world.faults.push_back(draw());
            break;
    }
    return world;
}

FleetWorld FleetHunter::next() {
    candidate_ = worst_ && chance_.below(3) > 0 ? mutate_worst() : draw_schedule();
    candidate_->world.seed = base_.world.seed + chance_.below(1'000);
    return *candidate_;
}

void FleetHunter::told(double bad) {
    if (!candidate_ || bad <= worst_bad_) return;
    worst_ = std::move(candidate_);
    worst_bad_ = bad;
}

std::vector<FleetWorld> reductions(const FleetWorld& world) {
    std::vector<FleetWorld> all;
    for (std::size_t i = 0; i < world.faults.size(); ++i) {
        auto smaller = world;
        smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(i));
        all.push_back(std::move(smaller));
    }
    for (std::size_t i = 0; i < world.faults.size(); ++i) {
        const auto& each = world.faults[i];
        if (each.until - each.from >= 2 * kMinDuration) {
            all.push_back(world);
            auto& fault = all.back().faults[i];
            fault.until = fault.from + rounded(static_cast<double>(fault.until - fault.from) / 2);
        }
        if (each.nodes.empty() && each.share * world.world.nodes >= 2) {
            all.push_back(world);
            all.back().faults[i].share = each.share / 2;
        }
    }
    return all;
}

}  // namespace pinedoor::lab
