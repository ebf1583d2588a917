#include "fleet/about.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "fleet/leases.hpp"

namespace pinedoor::fleet {

std::string write_needs(const std::map<std::string, double>& needs) {
    std::ostringstream out;
    for (const auto& [name, need] : needs) {
        if (need > 0) out << name << ' ' << std::ceil(need) << ' ';
    }
    return out.str();
}

std::map<std::string, double> read_needs(const std::string& text) {
    constexpr double kMost = 1e9;
    std::map<std::string, double> needs;
    std::istringstream words(text);
    double need = 0;
    for (std::string name; words >> name >> need && needs.size() < kMostAbout;) {
        if (need > 0) needs[name] = std::min(need, kMost);  // not a number: left out
    }
    return needs;
}

// A need that moved by a quarter is said; so is one that ended.
std::optional<double> AboutShare::say(Time now) {
    if (said_at_ > 0 && now - said_at_ < terms_.every) return std::nullopt;
    const double apart = std::abs(needs_ - said_);
    const bool moved = apart > said_ / 4 && apart > terms_.floor() / 4;
    const bool ended = needs_ <= 0 && said_ > 0;
    if (!moved && !ended && (said_ <= 0 || now - said_at_ < terms_.lives / 3)) return std::nullopt;
    said_at_ = now;
    said_ = needs_;
    aim(now);
    return said_;
}

void AboutShare::hear(Time now, const std::vector<double>& others, std::size_t members, bool ready) {
    others_ = others;
    members_ = std::max<std::size_t>(1, members);
    ready_ = ready;
    aim(now);
}

void AboutShare::aim(Time now) {
    const double seen = std::min(1.0, static_cast<double>(members_) / std::max(1, terms_.nodes));
    double share = 0;
    if (ready_ && members_ > 1) {
        auto needs = others_;
        needs.push_back(said_);
        share = max_min(terms_.limit * (1 - terms_.floors) * seen, needs).back();
    }
    if (!aims_.empty() && aims_.back().second == share) return;
    aims_.emplace_back(now, share);
}

double AboutShare::may_use(Time now) {
    while (aims_.size() > 1 && aims_[1].first + terms_.late <= now) aims_.pop_front();
    double least = aims_.empty() || aims_.front().first + terms_.late > now ? 0 : aims_.front().second;
    for (const auto& [at, share] : aims_) least = std::min(least, share);
    return terms_.floor() + least;
}

}  // namespace pinedoor::fleet
