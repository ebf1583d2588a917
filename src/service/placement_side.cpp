#include "service/placement_side.hpp"

#include <algorithm>
#include <cmath>

#include "service/line_watch.hpp"

namespace pinedoor::service {
namespace {

using namespace placement;
constexpr std::size_t kLongestMap = std::size_t{64} << 20U;
constexpr Time kSilence = 30'000;
constexpr std::size_t kHottest = 20;  // hottest shards to be listed among the counters

store::PartFate to_store(PieceFate fate) { return static_cast<store::PartFate>(fate); }
PieceFate from_store(store::PartFate fate) { return static_cast<PieceFate>(fate); }

}  // namespace

PlacementSide::PlacementSide(net::Scheduler& scheduler, Log& log, PlacementTerms terms, GatherTerms gather,
                             net::Endpoint discovery, std::uint64_t seed)
    : scheduler_(scheduler), log_(log), terms_(std::move(terms)), discovery_(discovery),
      follower_(terms_.follow), gatherer_(std::move(gather)), heat_(terms_.heat, seed), waiter_(scheduler) {}

void PlacementSide::start() {
    watch();
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

// A watch sends the full map and then its changes; a fetch sends the full map only.
void PlacementSide::watch() {
    const auto begin = [this](net::Task& task, bool stream) {
        if (!task.done()) return;
        task = watch_lines(
            scheduler_,
            {discovery_, terms_.path + (stream ? "?stream=1" : ""), stream, kLongestMap, kSilence, {}},
            [this](const std::string& line) { return take_line(line); });
        task.start([this](std::exception_ptr) {
            if (!watching_.done()) return;
            follower_.lost(scheduler_.now());
            waiter_.signal();
        });
    };
    const bool watched = !watching_.done();
    begin(watching_, true);
    if (watched) begin(fetching_, false);
}

void PlacementSide::move_to(net::Endpoint discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    watching_ = net::Task{};
    fetching_ = net::Task{};
    watch();
}

bool PlacementSide::take_line(const std::string& line) {
    using Did = MapFollower::Did;
    const auto heard = follower_.hear(scheduler_.now(), read_map_news(line, names_));
    if (heard.did == Did::kRefused) log_.event(Level::kWarning, "map_refused", heard.why);
    if (heard.did == Did::kOlder || heard.did == Did::kAside)
        log_.event(Level::kInfo, "map_waits", heard.why);
    if (heard.did == Did::kTaken) {
        const auto& map = *follower_.present();
        log_.event(
            Level::kInfo, "map_taken",
            "map version " + std::to_string(map.version()) + ", " + std::to_string(map.size()) + " shards",
            {{"version", std::to_string(map.version())}});
        act(gatherer_.map_is(scheduler_.now(), follower_.present()));
    }
    waiter_.signal();
    return true;
}

net::Task PlacementSide::run() {
    for (;;) {
        const Time now = scheduler_.now();
        if (follower_.wants_whole(now)) watch();
        if (now >= wake_at_) {
            wake_at_ = net::kNever;
            act(gatherer_.tick(now));
        }
        look();
        const Time heat_at = now + terms_.heat.look;
        const Time until = std::min({wake_at_, follower_.wake(), heat_at});
        co_await waiter_.wait(0, until);
    }
}

void PlacementSide::look() {
    if (!follower_.present()) return;
    for (const auto& proposal : heat_.look(*follower_.present(), scheduler_.now())) {
        ++proposals_;
        log_.event(Level::kInfo, "placement_proposed", print(proposal),
                   {{"shard", std::to_string(proposal.shard)}});
    }
}

TakenRequest PlacementSide::ask(MultigetAsked asked, std::function<void(Ending)> ended) {
    if (const auto could = exchange_->could_take(asked.name); could != Acceptance::kTaken) return {could, 0};
    const auto number = ++last_number_;
    GatherAsked told{asked.op_type, asked.not_after, {}};
    for (const auto& part : asked.parts)
        told.splits.push_back({part.shard, part.weight, part.key, part.cost_hint});
    open_[number] = {std::move(asked), std::move(ended), {}};
    act(gatherer_.ask(scheduler_.now(), number, std::move(told)));
    return {Acceptance::kTaken, number};
}

store::PartFates PlacementSide::leave(Ticket multiget) {
    const auto at = open_.find(multiget);
    if (at == open_.end()) return {};
    std::vector<std::pair<Route, PieceFate>> known;
    for (const int leg : gatherer_.open_legs(multiget)) {
        for (const auto& [route, fate] : exchange_->leave(at->second.legs[leg]))
            known.emplace_back(route, from_store(fate));
    }
    store::PartFates fates;
    for (const auto& [split, fate] : gatherer_.left(multiget, known))
        fates.emplace_back(split, to_store(fate));
    const bool tells = at->second.asked.tells_parts;
    open_.erase(at);
    return tells ? fates : store::PartFates{};
}

std::shared_ptr<const std::string> PlacementSide::text(int route,
                                                       const std::shared_ptr<const std::string>& text) {
    const auto* piece = gatherer_.sending(route);
    if (piece == nullptr) return text;
    auto made = '@' + std::to_string(piece->shard) + ' ' + std::to_string(piece->epoch) + ' ' +
                print_key(piece->first) + ' ' + print_key(piece->last) + '\n' + *text;
    return std::make_shared<const std::string>(std::move(made));
}

void PlacementSide::refused(int route, std::uint64_t epoch) {
    act(gatherer_.refused(scheduler_.now(), route, epoch));
}

std::vector<ServerId> PlacementSide::of(int shard) const {
    std::vector<ServerId> servers;
    const auto* piece = gatherer_.piece(shard);
    if (piece == nullptr) return servers;
    for (const auto box : gatherer_.boxes_now(scheduler_.now(), *piece)) {
        if (const auto server = exchange_->server_named(names_.name(box))) servers.push_back(*server);
    }
    return servers;
}

// Executes one action at a time, in order: an action may add further ones.
void PlacementSide::act(Gatherer::Actions actions) {
    for (auto& action : actions) to_do_.push_back(std::move(action));
    if (acting_) return;
    acting_ = true;
    while (!to_do_.empty()) {
        const auto action = std::move(to_do_.front());
        to_do_.pop_front();
        std::visit([this](const auto& what) { carry_out(what); }, action);
    }
    acting_ = false;
}

void PlacementSide::carry_out(const gathering::AskLeg& leg) {
    const auto at = open_.find(leg.number);
    if (at == open_.end()) return;  // the client has left
    const auto& first = at->second.asked;
    MultigetAsked asked;
    asked.name = leg.leg == 0 ? first.name : first.name + '~' + std::to_string(leg.leg);
    asked.op_type = first.op_type;
    asked.tenant = first.tenant;
    asked.repeat = first.repeat;
    asked.not_after = first.not_after;
    asked.text = first.text;
    asked.tells_parts = true;
    // The module expects the weights of a multiget's parts to sum to 1.
    double weight = 0;
    for (const auto& piece : leg.pieces) weight += piece.weight;
    const double scale = leg.leg == 0 || weight <= 0 ? 1 : 1 / weight;
    for (const auto& piece : leg.pieces) {
        const auto& told = first.parts[piece.split];
        asked.parts.push_back({0, piece.route, piece.weight * scale, told.key, told.cost_hint});
        if (leg.leg == 0 && follower_.present())
            heat_.asked(follower_.present()->at(piece.first), piece.first, scheduler_.now());
    }
    const auto [took, ticket] =
        exchange_->ask(std::move(asked), [this, number = leg.number, which = leg.leg](Ending ending) {
            leg_ended(number, which, std::move(ending));
        });
    if (took == Acceptance::kTaken) {
        if (const auto still = open_.find(leg.number); still != open_.end())
            still->second.legs[leg.leg] = ticket;
        return;
    }
    Ending none;
    none.kind = Ending::Kind::kPushedBack;
    leg_ended(leg.number, leg.leg, std::move(none));
}

void PlacementSide::leg_ended(Number number, int leg, Ending ending) {
    LegEnd told;
    told.kind = ending.kind == Ending::Kind::kAnswered     ? LegEnd::Kind::kAnswered
                : ending.kind == Ending::Kind::kPushedBack ? LegEnd::Kind::kPushedBack
                                                           : LegEnd::Kind::kFailed;
    told.wait = ending.wait;
    for (auto& [route, value] : ending.values) told.values.emplace_back(route, std::move(value));
    for (const auto& [route, fate] : ending.parts) told.fates.emplace_back(route, from_store(fate));
    act(gatherer_.leg_ended(scheduler_.now(), number, leg, std::move(told)));
}

void PlacementSide::carry_out(const gathering::LeaveLeg& leg) {
    const auto at = open_.find(leg.number);
    if (at != open_.end()) exchange_->leave(at->second.legs[leg.leg]);
}

void PlacementSide::carry_out(const gathering::WantMap& want) {
    follower_.epoch_seen(scheduler_.now(), want.shard, want.epoch);
    waiter_.signal();
}

void PlacementSide::carry_out(const gathering::Wake& wake) {
    wake_at_ = std::min(wake_at_, wake.at);
    waiter_.signal();
}

void PlacementSide::carry_out(const gathering::End& end) {
    const auto at = open_.find(end.number);
    if (at == open_.end()) return;
    Ending ending;
    ending.kind = end.kind == LegEnd::Kind::kAnswered     ? Ending::Kind::kAnswered
                  : end.kind == LegEnd::Kind::kPushedBack ? Ending::Kind::kPushedBack
                                                          : Ending::Kind::kFailed;
    ending.whole = end.whole;
    ending.wait = end.wait;
    ending.values = end.values;
    if (at->second.asked.tells_parts) {
        for (const auto& [split, fate] : end.fates) ending.parts.emplace_back(split, to_store(fate));
    }
    const auto ended = std::move(at->second.ended);
    open_.erase(at);
    ended(std::move(ending));
}

std::string PlacementSide::print_gauges() const {
    std::string out;
    const auto& map = follower_.present();
    const auto& heard = follower_.counted();
    const auto& gathered = gatherer_.counted();
    append_line(out, "map_version", map ? map->version() : 0);
    append_line(out, "map_shards", map ? map->size() : 0);
    append_line(out, "maps_taken", heard.taken);
    append_line(out, "maps_repeated", heard.repeated);
    append_line(out, "maps_older", heard.older);
    append_line(out, "maps_refused", heard.refused);
    append_line(out, "map_changes_aside", follower_.aside());
    append_line(out, "maps_asked_for", heard.asked_whole);
    append_line(out, "pieces", gathered.pieces);
    append_line(out, "parts_divided", gathered.divided);
    append_line(out, "pieces_refused", gathered.refused);
    append_line(out, "pieces_asked_again", gathered.asked_again);
    append_line(out, "pieces_given_up", gathered.given_up);
    append_line(out, "values_not_merged", gathered.unmerged);
    append_line(out, "placement_proposals", proposals_);
    append_line(out, "shards_cold_at_boxes", gatherer_.cold());
    for (const auto& [shard, load] : heat_.hottest(kHottest))
        append_line(out, "heat_shard_" + std::to_string(shard),
                    static_cast<std::uint64_t>(std::llround(load)));
    return out;
}

}  // namespace pinedoor::service
