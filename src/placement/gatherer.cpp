#include "placement/gatherer.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace pinedoor::placement {

using namespace gathering;

namespace {
constexpr double kWeightTolerance = 0.00005;  // tolerance for rounded weights that do not add up to exactly 1
}

std::pair<Key, Key> Gatherer::keys_of(int split, std::uint64_t splits) {
    const Key width = std::numeric_limits<Key>::max() / splits;
    const auto at = static_cast<Key>(split);
    return {at * width, at + 1 == splits ? std::numeric_limits<Key>::max() : (at + 1) * width - 1};
}

const Piece* Gatherer::piece(Route route) const {
    const auto at = routes_.find(route);
    return at == routes_.end() ? nullptr : &multigets_.at(at->second.number).pieces[at->second.piece].piece;
}

const Piece* Gatherer::sending(Route route) {
    const auto at = routes_.find(route);
    if (at == routes_.end()) return nullptr;
    auto& piece = multigets_.at(at->second.number).pieces[at->second.piece].piece;
    piece.epoch = epoch_now(piece);
    return &piece;
}

// Current epoch of the fragment's shard if that still holds all of the fragment's keys, else its old epoch.
Epoch Gatherer::epoch_now(const Piece& piece) const {
    if (!map_) return piece.epoch;
    const auto& shard = map_->at(piece.first);
    return shard.id == piece.shard && shard.holds(piece.last) ? shard.epoch : piece.epoch;
}

// Marks replicas as cold whose server did not hold the shard's keys in the older map. A split or a merge at
// the same servers keeps their state.
void Gatherer::mark_cold(Time now, const ShardMap& older) {
    if (config_.cold_from >= 1 || config_.warm_after <= 0) return;
    decltype(cold_since_) next;
    for (const auto& shard : map_->shards()) {
        const auto& was = older.at(shard.first);
        for (const auto& each : shard.replicas) {
            const bool held = is_on(was.replicas, each.box);
            const auto known = cold_since_.find({was.id, each.box});
            const Time since = !held                        ? now
                               : known != cold_since_.end() ? known->second
                                                            : now - config_.warm_after;
            if (now - since < config_.warm_after) next[{shard.id, each.box}] = since;
        }
    }
    cold_since_ = std::move(next);
}

bool Gatherer::may_receive(Time now, const Piece& piece, ServerNumber box) const {
    const auto cold = cold_since_.find({piece.shard, box});
    if (cold == cold_since_.end()) return true;
    const double warm = static_cast<double>(now - cold->second) / static_cast<double>(config_.warm_after);
    const double share = config_.cold_from + (1 - config_.cold_from) * std::min(1.0, warm);
    // Knuth's multiplicative hash spreads consecutive routes evenly.
    const auto spread = static_cast<std::uint32_t>(piece.route) * 2'654'435'761U;
    return static_cast<double>(spread) / 4'294'967'296.0 < share;
}

std::vector<ServerNumber> Gatherer::eligible_servers(Time now, const Piece& piece) const {
    const auto route = routes_.find(piece.route);
    if (!map_ || route == routes_.end()) return piece.boxes;
    const auto& shard = map_->at(piece.first);
    if (shard.id != piece.shard || !shard.holds(piece.last)) return piece.boxes;
    const bool readers = type_of(multigets_.at(route->second.number)).readers;
    std::vector<ServerNumber> boxes, warm;
    for (const auto& each : shard.replicas) {
        if (!readers && each.role != Role::kOwner) continue;
        boxes.push_back(each.box);
        if (may_receive(now, piece, each.box)) warm.push_back(each.box);
    }
    // If only cold servers may run the fragment, they receive it; the decision module limits their load.
    return warm.empty() ? boxes : warm;
}

// Returns one fragment per shard that holds some of the keys, with the weight divided in proportion to the
// number of keys.
std::vector<Piece> Gatherer::cut(const Multiget& multiget, std::size_t split, Key first, Key last,
                                 double weight) const {
    std::vector<Piece> pieces;
    const double width = static_cast<double>(last - first) + 1;
    double left = weight;
    for (Key from = first;;) {
        const auto& shard = map_->at(from);
        Piece piece;
        piece.split = split;
        piece.shard = shard.id;
        piece.epoch = shard.epoch;
        piece.first = from;
        piece.last = std::min(last, shard.last);
        for (const auto& each : shard.replicas) {
            if (type_of(multiget).readers || each.role == Role::kOwner) piece.boxes.push_back(each.box);
        }
        const bool is_last = piece.last == last;
        piece.weight = is_last ? left : weight * ((static_cast<double>(piece.last - from) + 1) / width);
        left -= piece.weight;
        pieces.push_back(std::move(piece));
        if (is_last) return pieces;
        from = shard.last + 1;
    }
}

Route Gatherer::new_route() {
    do last_route_ = last_route_ == std::numeric_limits<Route>::max() ? 1 : last_route_ + 1;
    while (routes_.contains(last_route_));
    return last_route_;
}

void Gatherer::send_round(Time now, Number number, Multiget& multiget,
                          std::vector<TrackedFragment> fragments) {
    auto& routes = multiget.rounds[++multiget.last_round];
    std::vector<Piece> pieces;
    Time not_after = multiget.asked.not_after;
    for (auto& fragment : fragments) {
        if (fragment.repeats) not_after = std::min(not_after, repeat_until(multiget, fragment));
        fragment.sent_at = now;
        fragment.piece.route = new_route();
        pieces.push_back(fragment.piece);
        routes.push_back(fragment.piece.route);
        routes_[fragment.piece.route] = {number, multiget.pieces.size()};
        multiget.pieces.push_back(std::move(fragment));
        ++counted_.pieces;
    }
    actions_.emplace_back(SendRound{number, multiget.last_round, std::move(pieces), not_after});
}

Gatherer::Actions Gatherer::ask(Time now, Number number, GatherRequest asked) {
    Multiget multiget;
    multiget.budget_ends = now + config_.op_types[static_cast<std::size_t>(asked.op_type)].latency_budget;
    multiget.asked = std::move(asked);
    std::vector<TrackedFragment> fragments;
    for (std::size_t s = 0; map_ && s < multiget.asked.splits.size(); ++s) {
        const auto& each = multiget.asked.splits[s];
        const auto [first, last] = keys_of(each.split, config_.splits);
        auto cut_now = cut(multiget, s, first, last, each.weight);
        counted_.divided += cut_now.size() > 1 ? 1 : 0;
        for (auto& piece : cut_now) fragments.emplace_back().piece = std::move(piece);
    }
    while (!send_history_.empty() && send_history_.front().at <= now - config_.further_look_back)
        send_history_.pop_front();
    send_history_.push_back({now, fragments.size(), 0});
    if (fragments.empty() || fragments.size() > config_.max_fragments) {
        // Nothing can be sent without a map or beyond the fragment limit.
        std::vector<std::pair<int, FragmentFate>> fates;
        for (const auto& each : multiget.asked.splits)
            fates.emplace_back(each.split, FragmentFate::kNeverSent);
        actions_.emplace_back(End{number, RoundResult::Kind::kPushedBack, false, 0, {}, std::move(fates)});
        return std::exchange(actions_, {});
    }
    auto& held = multigets_[number] = std::move(multiget);
    send_round(now, number, held, std::move(fragments));
    return std::exchange(actions_, {});
}

// Whether the map is at least as new as the epoch known by the server that refused the fragment, so that it
// can locate the fragment's keys.
bool Gatherer::map_can_locate(const TrackedFragment& held) const {
    const auto& piece = held.piece;
    for (Key from = piece.first;;) {
        const auto& shard = map_->at(from);
        if (shard.id == piece.shard && shard.epoch < std::max(held.known, piece.epoch)) return false;
        if (shard.last >= piece.last) return true;
        from = shard.last + 1;
    }
}

bool Gatherer::within_repeat_budget(Time now, std::size_t pieces) {
    if (config_.further_look_back == 0) return true;
    while (!send_history_.empty() && send_history_.front().at <= now - config_.further_look_back)
        send_history_.pop_front();
    double taken = 0, again = static_cast<double>(pieces);
    for (const auto& each : send_history_) {
        taken += static_cast<double>(each.taken);
        again += static_cast<double>(each.again);
    }
    return again <= config_.further_floor + config_.further_ratio * taken;
}

// The round of a refused fragment may still be open, so its fate is not told yet.
void Gatherer::refresh_fates(Number number, Multiget& multiget) {
    if (!open_round_fates_) return;
    for (const auto& [leg, routes] : multiget.rounds)
        set_fates(multiget, routes, open_round_fates_(number, leg));
}

Time Gatherer::repeat_until(const Multiget& multiget, const TrackedFragment& fragment) const {
    const auto& type = type_of(multiget);
    Time until = std::numeric_limits<Time>::max();
    if (type.readers) return until;
    const auto* attempt = &fragment;
    for (;;) {
        if (attempt->fate != FragmentFate::kNeverSent)
            until = attempt->sent_at + type.repeat_window - config_.send_slack;
        if (!attempt->repeats) return until;
        attempt = &multiget.pieces[*attempt->repeats];
    }
}

// Sends the waiting fragments that the current map can locate, as one further round.
void Gatherer::ask_again(Time now, Number number, Multiget& multiget) {
    if (!type_of(multiget).readers) refresh_fates(number, multiget);
    std::vector<TrackedFragment> repeats;
    for (std::size_t index = 0; index < multiget.pieces.size(); ++index) {
        auto& held = multiget.pieces[index];
        if (held.state != TrackedFragment::State::kWaiting || !map_can_locate(held)) continue;
        const bool server_outdated =
            held.known <= held.piece.epoch && epoch_now(held.piece) == held.piece.epoch;
        if (server_outdated && now < held.refused_at + config_.ask_again) {
            actions_.emplace_back(Wake{held.refused_at + config_.ask_again});
            continue;
        }
        auto again = cut(multiget, held.piece.split, held.piece.first, held.piece.last, held.piece.weight);
        const bool room = multiget.last_round + 1 < config_.max_rounds &&
                          multiget.pieces.size() + repeats.size() + again.size() <= config_.max_fragments;
        const bool may_repeat = now < repeat_until(multiget, held);
        if (!room || !may_repeat || !within_repeat_budget(now, again.size())) {
            held.state = TrackedFragment::State::kFailed;
            ++counted_.given_up;
            continue;
        }
        held.state = TrackedFragment::State::kRepeated;
        counted_.asked_again += again.size();
        send_history_.push_back({now, 0, again.size()});
        for (auto& piece : again) {
            auto& repeat = repeats.emplace_back();
            repeat.piece = std::move(piece);
            repeat.repeats = index;
        }
    }
    if (!repeats.empty()) send_round(now, number, multiget, std::move(repeats));
}

Gatherer::Actions Gatherer::refused(Time now, Route route, Epoch known) {
    const auto at = routes_.find(route);
    if (at == routes_.end()) return {};
    const auto number = at->second.number;
    auto& multiget = multigets_.at(number);
    auto& held = multiget.pieces[at->second.piece];
    if (held.state != TrackedFragment::State::kOpen) return {};
    ++counted_.refused;
    held.state = TrackedFragment::State::kWaiting;
    held.known = known;
    held.refused_at = now;
    // Several fragments of a multiget are often refused at once; the wake-up collects them into one round.
    if (map_can_locate(held))
        actions_.emplace_back(Wake{now});
    else
        actions_.emplace_back(RequestMap{held.piece.shard, known});
    end_if_decided(now, number);
    return std::exchange(actions_, {});
}

Gatherer::Actions Gatherer::map_is(Time now, std::shared_ptr<const ShardMap> map) {
    const auto older = std::exchange(map_, std::move(map));
    if (older && map_ && older != map_) mark_cold(now, *older);
    std::vector<Number> waiting;
    for (const auto& [number, multiget] : multigets_) {
        const auto waits = [](const TrackedFragment& held) {
            return held.state == TrackedFragment::State::kWaiting;
        };
        if (std::any_of(multiget.pieces.begin(), multiget.pieces.end(), waits)) waiting.push_back(number);
    }
    for (const auto number : waiting) {
        ask_again(now, number, multigets_.at(number));
        end_if_decided(now, number);
    }
    return std::exchange(actions_, {});
}

Gatherer::Actions Gatherer::tick(Time now) { return map_is(now, map_); }

Gatherer::Actions Gatherer::on_round_ended(Time now, Number number, int leg, RoundResult result) {
    const auto at = multigets_.find(number);
    if (at == multigets_.end()) return {};
    auto& multiget = at->second;
    const auto open = multiget.rounds.find(leg);
    if (open == multiget.rounds.end()) return {};
    const auto held_of = [&](Route route) -> TrackedFragment* {
        const auto place = routes_.find(route);
        return place == routes_.end() ? nullptr : &multiget.pieces[place->second.piece];
    };
    set_fates(multiget, open->second, result.fates);
    for (auto& [route, value] : result.values) {
        auto* held = held_of(route);
        if (held == nullptr || held->state != TrackedFragment::State::kOpen) continue;
        held->state = TrackedFragment::State::kAnswered;
        held->value = std::move(value);
    }
    for (const auto route : open->second) {
        if (auto* held = held_of(route); held != nullptr && held->state == TrackedFragment::State::kOpen)
            held->state = TrackedFragment::State::kFailed;
        routes_.erase(route);
    }
    multiget.rounds.erase(open);
    if (result.kind != RoundResult::Kind::kAnswered) {
        const bool pushed_back = result.kind == RoundResult::Kind::kPushedBack;
        (pushed_back ? multiget.any_pushed_back : multiget.any_failed) = true;
        multiget.wait = std::max(multiget.wait, result.wait);
    }
    end_if_decided(now, number);
    return std::exchange(actions_, {});
}

Gatherer::SplitWeights Gatherer::weights_of(const Multiget& multiget) const {
    std::vector<bool> lost(multiget.asked.splits.size()), open(lost.size());
    for (const auto& held : multiget.pieces) {
        lost[held.piece.split] = lost[held.piece.split] || held.state == TrackedFragment::State::kFailed;
        open[held.piece.split] = open[held.piece.split] || held.state == TrackedFragment::State::kOpen ||
                                 held.state == TrackedFragment::State::kWaiting;
    }
    SplitWeights sum;
    for (std::size_t s = 0; s < lost.size(); ++s) {
        if (lost[s]) continue;
        (open[s] ? sum.may_come : sum.in) += multiget.asked.splits[s].weight;
    }
    return sum;
}

// Ends a multiget once nothing is open, or the open splits cannot complete an answer, or the map that it
// waits for has not arrived in time.
void Gatherer::end_if_decided(Time now, Number number) {
    auto& multiget = multigets_.at(number);
    const auto least = type_of(multiget).min_share;
    const auto weights = weights_of(multiget);
    bool waits = false;
    for (const auto& held : multiget.pieces) waits = waits || held.state == TrackedFragment::State::kWaiting;
    if (!waits && multiget.rounds.empty()) return end(number, multiget);
    if (weights.in + weights.may_come < least - kWeightTolerance) return end(number, multiget);
    if (!waits || !multiget.rounds.empty()) return;  // the decision module ends each round in time
    const bool enough = weights.in >= least - kWeightTolerance;
    const Time until = std::min(enough ? multiget.budget_ends : multiget.asked.not_after,
                                multiget.asked.not_after - config_.answer_grace);
    if (now >= until) return end(number, multiget);
    actions_.emplace_back(Wake{until});
}

FragmentFate Gatherer::fate_over_rounds(const Multiget& multiget, const TrackedFragment& fragment) {
    auto fate = fragment.fate;
    for (auto earlier = fragment.repeats; earlier; earlier = multiget.pieces[*earlier].repeats)
        fate = join(fate, multiget.pieces[*earlier].fate);
    return fate;
}

std::vector<std::pair<int, FragmentFate>> Gatherer::fates_of(const Multiget& multiget) const {
    std::vector<std::set<FragmentFate>> seen(multiget.asked.splits.size());
    for (const auto& held : multiget.pieces) {
        if (held.state != TrackedFragment::State::kRepeated)
            seen[held.piece.split].insert(fate_over_rounds(multiget, held));
    }
    std::vector<std::pair<int, FragmentFate>> fates;
    for (std::size_t s = 0; s < seen.size(); ++s) {
        // With different fates of its fragments, a split may have run.
        const auto fate = seen[s].size() == 1 ? *seen[s].begin() : FragmentFate::kMayHaveRun;
        fates.emplace_back(multiget.asked.splits[s].split, fate);
    }
    return fates;
}

void Gatherer::set_fates(Multiget& multiget, const std::vector<Route>& round, const FragmentFates& fates) {
    for (const auto route : round) multiget.pieces[routes_.at(route).piece].fate = FragmentFate::kNeverSent;
    for (const auto& [route, fate] : fates) {
        const auto place = routes_.find(route);
        if (place != routes_.end()) multiget.pieces[place->second.piece].fate = fate;
    }
}

// The servers may be running fragments of a round that is abandoned, so their fates are taken here: no later
// message tells them.
void Gatherer::abandon_open_rounds(Number number, Multiget& multiget) {
    for (const auto& [leg, routes] : multiget.rounds) {
        FragmentFates fates;
        if (open_round_fates_) {
            fates = open_round_fates_(number, leg);
        } else {
            for (const auto route : routes) fates.emplace_back(route, FragmentFate::kMayHaveRun);
        }
        set_fates(multiget, routes, fates);
        actions_.emplace_back(AbandonRound{number, leg});
        ++counted_.abandoned_rounds;
        for (const auto route : routes) routes_.erase(route);
        multiget.any_failed = true;
    }
}

void Gatherer::end(Number number, Multiget& multiget) {
    abandon_open_rounds(number, multiget);
    End ending;
    ending.number = number;
    double in = 0;
    const auto& type = type_of(multiget);
    for (std::size_t s = 0; s < multiget.asked.splits.size(); ++s) {
        std::vector<std::pair<Key, const std::string*>> found;
        bool all = true;
        for (const auto& held : multiget.pieces) {
            if (held.piece.split != s || held.state == TrackedFragment::State::kRepeated) continue;
            all = all && held.state == TrackedFragment::State::kAnswered;
            found.emplace_back(held.piece.first, &held.value);
        }
        if (!all) continue;
        std::sort(found.begin(), found.end());
        std::vector<std::string> values;
        for (const auto& [key, value] : found) values.push_back(*value);
        auto merged = merge_values(type.merge, values);
        if (!merged) {
            ++counted_.unmerged;
            multiget.any_failed = true;  // the split ran, and a repeat would return the same values
            continue;
        }
        in += multiget.asked.splits[s].weight;
        ending.values.emplace_back(multiget.asked.splits[s].split, std::move(*merged));
    }
    ending.fates = fates_of(multiget);
    const bool none_ran = std::all_of(ending.fates.begin(), ending.fates.end(), [](const auto& each) {
        return each.second == FragmentFate::kNeverSent;
    });
    if (!ending.values.empty() && in >= type.min_share - kWeightTolerance) {
        ending.kind = RoundResult::Kind::kAnswered;
        ending.whole = in >= type.whole_share - kWeightTolerance;
    } else {
        ending.values.clear();
        // Pushed back if nothing ran, however its rounds ended, or if readers may run the op type and a round
        // was pushed back.
        const bool pushed_back =
            none_ran || (type.readers && multiget.any_pushed_back && !multiget.any_failed);
        ending.kind = pushed_back ? RoundResult::Kind::kPushedBack : RoundResult::Kind::kFailed;
        ending.wait = multiget.wait;
    }
    actions_.emplace_back(std::move(ending));
    multigets_.erase(number);
}

std::vector<int> Gatherer::open_rounds(Number number) const {
    std::vector<int> rounds;
    const auto at = multigets_.find(number);
    if (at == multigets_.end()) return rounds;
    for (const auto& [leg, routes] : at->second.rounds) rounds.push_back(leg);
    return rounds;
}

std::vector<std::pair<int, FragmentFate>> Gatherer::left(Number number, const FragmentFates& fates) {
    const auto at = multigets_.find(number);
    if (at == multigets_.end()) return {};
    for (const auto& [leg, routes] : at->second.rounds) set_fates(at->second, routes, fates);
    auto known = fates_of(at->second);
    for (const auto& [leg, routes] : at->second.rounds) {
        for (const auto route : routes) routes_.erase(route);
    }
    multigets_.erase(at);
    return known;
}

}  // namespace pinedoor::placement
