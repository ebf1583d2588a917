#include "fleet/verdict.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pinedoor::fleet {

std::vector<std::string> eligible_reporters(const VerdictConfig& terms,
                                            const std::map<std::string, int>& zones,
                                            const std::string& self) {
    const auto mine = zones.find(self);
    std::vector<std::string> same_zone, all;
    for (const auto& [name, zone] : zones) {
        if (name == self) continue;
        all.push_back(name);
        if (mine != zones.end() && zone == mine->second) same_zone.push_back(name);
    }
    return same_zone.size() >= 2 * static_cast<std::size_t>(terms.reporters) ? same_zone : all;
}

std::size_t reports_needed(const VerdictConfig& terms, std::size_t reporter_count) {
    const auto minimum = std::min(static_cast<std::size_t>(terms.reporters), reporter_count);
    const auto share = static_cast<std::size_t>(std::ceil(terms.share * static_cast<double>(reporter_count)));
    return std::max<std::size_t>(1, std::max(minimum, share));
}

Verdict judge(const VerdictConfig& terms, Time now, std::size_t reporter_count,
              std::vector<Opinion> opinions) {
    Verdict verdict;
    verdict.needed = reports_needed(terms, reporter_count);
    std::erase_if(opinions, [&](const Opinion& each) { return now - each.seen >= terms.lives; });
    // Latest first. Of evidence from the same time the healthy opinion comes first, in favour of the server.
    std::sort(opinions.begin(), opinions.end(), [](const Opinion& a, const Opinion& b) {
        return std::tuple(-a.seen, a.bad, a.from) < std::tuple(-b.seen, b.bad, b.from);
    });
    for (std::size_t i = 0, bad = 0; i < opinions.size() && bad < verdict.needed; ++i) {
        if (opinions[i].bad && ++bad == verdict.needed) verdict.evidence_at = opinions[i].seen;
    }
    for (std::size_t i = 0; i < std::min(opinions.size(), 2 * verdict.needed - 1); ++i)
        ++(opinions[i].bad ? verdict.bad : verdict.good);
    verdict.recovery_reported = !opinions.empty() && !opinions.front().bad;
    verdict.aside = verdict.bad >= verdict.needed;
    return verdict;
}

bool is_prober(const VerdictConfig& terms, Time now, std::size_t reporter_count, const Verdict& verdict,
               const std::string& self, const std::string& server) {
    const auto key = server + '\n' + self;
    // After a reported recovery the fleet waits for enough healthy opinions: half as many probers again as
    // are needed, for half of the period.
    const auto period = static_cast<std::uint64_t>(
        now / (verdict.recovery_reported ? terms.probe_period / 2 : terms.probe_period));
    const auto hash = XXH64(key.data(), key.size(), period);
    const double draw = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    const auto population = static_cast<double>(reporter_count + 1);
    const double expected_probers = verdict.recovery_reported
                                        ? 1.5 * static_cast<double>(verdict.needed)
                                        : std::max(terms.probers, terms.prober_share * population);
    return draw * population < expected_probers;
}

}  // namespace pinedoor::fleet
