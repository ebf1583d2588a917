#include "lab/study/hunt.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace pinedoor::lab {
namespace {

// Number of fault kinds that are drawn. Reloads and bad clients, the last two kinds, have no effect in
// simulated time.
constexpr auto kDrawnKinds = static_cast<std::uint64_t>(Trouble::Kind::kReload);
constexpr std::size_t kMaxKept = 6;
constexpr double kFreshShare = 0.2;  // share of worlds that are drawn from scratch
// Fault times are rounded to tenths of a second to keep worlds readable.
constexpr Time kTimeStep = 1'000;
constexpr int kMinServers = 6;
constexpr Time kMinLength = 50'000;

double rounded(double value, double step) { return std::round(value / step) * step; }

}  // namespace

Hunter::Hunter(World base, std::uint64_t seed, int max_troubles)
    : base_(std::move(base)), max_troubles_(static_cast<std::size_t>(std::max(1, max_troubles))),
      chance_(seed) {}

Trouble Hunter::draw() {
    Trouble trouble;
    trouble.kind = static_cast<Trouble::Kind>(chance_.below(kDrawnKinds));
    const auto length = static_cast<double>(base_.length);
    const double from = chance_.one() * 0.7 * length;
    const double duration = (0.05 + 0.45 * chance_.one()) * length;
    trouble.from = static_cast<Time>(rounded(from, kTimeStep));
    trouble.until = std::min(
        base_.length, trouble.from + std::max(kTimeStep, static_cast<Time>(rounded(duration, kTimeStep))));
    trouble.share = rounded(0.02 + 0.58 * chance_.one() * chance_.one(), 0.01);
    const bool is_probability = trouble.kind == Trouble::Kind::kErrors ||
                                trouble.kind == Trouble::Kind::kSpoilt ||
                                trouble.kind == Trouble::Kind::kLossy;
    const bool is_surge = trouble.kind == Trouble::Kind::kSurge;
    trouble.factor = rounded(is_probability ? 0.05 + 0.9 * chance_.one()
                             : is_surge     ? 1.2 + 2 * chance_.one()
                                            : 1.5 + 18.5 * chance_.one() * chance_.one(),
                             0.01);
    trouble.every = static_cast<Time>(rounded(2'000 + 38'000 * chance_.one(), 100));
    trouble.for_time = std::max<Time>(
        100,
        static_cast<Time>(rounded(static_cast<double>(trouble.every) * (0.05 + 0.6 * chance_.one()), 100)));
    trouble.for_time = std::min(trouble.for_time, trouble.every);
    const bool needs_zone = trouble.kind == Trouble::Kind::kZoneLost ||
                            trouble.kind == Trouble::Kind::kCutOff || trouble.kind == Trouble::Kind::kShift;
    if (needs_zone || chance_.below(6) == 0)
        trouble.zone = static_cast<int>(chance_.below(static_cast<std::uint64_t>(base_.zones)));
    return trouble;
}

World Hunter::vary(const World& world) {
    auto varied = world;
    auto& troubles = varied.troubles;
    switch (chance_.below(6)) {
        case 0:
            if (troubles.size() < max_troubles_) troubles.push_back(draw());
            break;
        case 1:
            if (troubles.size() > 1)
                troubles.erase(troubles.begin() +
                               static_cast<std::ptrdiff_t>(chance_.below(troubles.size())));
            break;
        case 2: {  // adds a fault of another kept world
            const auto& other = kept_[chance_.below(kept_.size())].world.troubles;
            if (!other.empty() && troubles.size() < max_troubles_)
                troubles.push_back(other[chance_.below(other.size())]);
            break;
        }
        case 3: {  // changes the start and duration of a fault
            auto& trouble = troubles[chance_.below(troubles.size())];
            const auto span = static_cast<double>(base_.length) * 0.2;
            trouble.from = std::clamp<Time>(
                trouble.from + static_cast<Time>(rounded((chance_.one() - 0.5) * span, kTimeStep)), 0,
                base_.length - kTimeStep);
            trouble.until = std::clamp<Time>(
                trouble.until + static_cast<Time>(rounded((chance_.one() - 0.5) * span, kTimeStep)),
                trouble.from + kTimeStep, base_.length);
            break;
        }
        case 4: {  // changes the share and factor of a fault
            auto& trouble = troubles[chance_.below(troubles.size())];
            trouble.share = std::clamp(rounded(trouble.share * (0.5 + 1.2 * chance_.one()), 0.01), 0.01, 1.0);
            const auto again = draw();
            if (again.kind == trouble.kind) trouble.factor = again.factor;
            break;
        }
        default: troubles[chance_.below(troubles.size())] = draw(); break;
    }
    return varied;
}

std::vector<World> Hunter::next(std::size_t count) {
    while (pending_.size() < count) {
        if (kept_.empty() || chance_.one() < kFreshShare) {
            auto fresh = base_;
            fresh.troubles.clear();
            const auto troubles = 1 + chance_.below(max_troubles_);
            for (std::uint64_t i = 0; i < troubles; ++i) fresh.troubles.push_back(draw());
            pending_.push_back(std::move(fresh));
            continue;
        }
        // Tournament selection: of two worlds drawn, the worse one is varied.
        const auto selected = std::min(chance_.below(kept_.size()), chance_.below(kept_.size()));
        pending_.push_back(vary(kept_[selected].world));
    }
    return pending_;
}

void Hunter::record_badness(const std::vector<double>& badness) {
    if (badness.size() != pending_.size())
        throw std::invalid_argument("next() returned another number of worlds");
    for (std::size_t i = 0; i < pending_.size(); ++i) kept_.push_back({std::move(pending_[i]), badness[i]});
    pending_.clear();
    std::stable_sort(kept_.begin(), kept_.end(),
                     [](const Kept& a, const Kept& b) { return a.badness > b.badness; });
    if (kept_.size() > kMaxKept) kept_.resize(kMaxKept);
}

std::vector<World> reductions(const World& world) {
    std::vector<World> smaller_worlds;
    const auto add_reduction = [&](auto change) {
        auto smaller = world;
        change(smaller);
        smaller_worlds.push_back(std::move(smaller));
    };
    for (std::size_t i = 0; i < world.troubles.size(); ++i)
        add_reduction(
            [i](World& w) { w.troubles.erase(w.troubles.begin() + static_cast<std::ptrdiff_t>(i)); });
    for (std::size_t i = 0; i < world.clients.size() && world.clients.size() > 1; ++i)
        add_reduction([i](World& w) { w.clients.erase(w.clients.begin() + static_cast<std::ptrdiff_t>(i)); });
    if (world.servers.count / 2 >= std::max(kMinServers, world.width)) {
        add_reduction([](World& w) {  // the load of each server is unchanged
            w.servers.count /= 2;
            w.shards = std::max(1, w.shards / 2);
            for (auto& each : w.clients) each.per_second /= 2;
        });
    }
    if (world.nodes > 1) add_reduction([](World& w) { w.nodes = (w.nodes + 1) / 2; });
    // Time after the last fault, or before the first, may be irrelevant.
    Time first = world.length, last = 0;
    for (const auto& each : world.troubles) {
        first = std::min(first, each.from);
        last = std::max(last, each.until);
    }
    if (last + 20'000 < world.length && last + 20'000 >= kMinLength)
        add_reduction([last](World& w) { w.length = last + 20'000; });
    if (first > 20'000 && first < world.length && world.length - first + 20'000 >= kMinLength) {
        add_reduction([first](World& w) {
            const Time cut = first - 20'000;
            w.length -= cut;
            for (auto& each : w.troubles) {
                each.from -= cut;
                each.until -= cut;
            }
        });
    }
    for (std::size_t i = 0; i < world.clients.size(); ++i) {
        const auto& each = world.clients[i];
        if (each.retries > 0) add_reduction([i](World& w) { w.clients[i].retries = 0; });
        if (each.burst_every > 0)
            add_reduction([i](World& w) { w.clients[i].burst_every = w.clients[i].burst_for = 0; });
        if (each.keys > 0) add_reduction([i](World& w) { w.clients[i].keys = 0; });
    }
    if (world.loss > 0) add_reduction([](World& w) { w.loss = 0; });
    for (std::size_t i = 0; i < world.troubles.size(); ++i) {
        const auto& each = world.troubles[i];
        if (each.until - each.from >= 20'000)
            add_reduction([i](World& w) {
                auto& t = w.troubles[i];
                t.until = t.from + (t.until - t.from) / 2 / kTimeStep * kTimeStep;
            });
        if (each.share > 0.05)
            add_reduction([i](World& w) { w.troubles[i].share = rounded(w.troubles[i].share / 2, 0.01); });
    }
    return smaller_worlds;
}

}  // namespace pinedoor::lab
