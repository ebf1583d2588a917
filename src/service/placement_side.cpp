#include "service/placement_side.hpp"

#include <algorithm>
#include <cmath>

#include "service/line_watch.hpp"

namespace pinedoor::service {
namespace {

using namespace placement;
constexpr std::size_t kMaxMapBytes = std::size_t{64} << 20U;
constexpr Time kSilenceTimeout = 30'000;
constexpr std::size_t kHottestShards = 20;  // hottest shards to be listed among the counters

RoundResult::Kind to_round_kind(MultigetResult::Kind kind) {
    if (kind == MultigetResult::Kind::kAnswered) return RoundResult::Kind::kAnswered;
    if (kind == MultigetResult::Kind::kPushedBack) return RoundResult::Kind::kPushedBack;
    return RoundResult::Kind::kFailed;
}

MultigetResult::Kind to_multiget_kind(RoundResult::Kind kind) {
    if (kind == RoundResult::Kind::kAnswered) return MultigetResult::Kind::kAnswered;
    if (kind == RoundResult::Kind::kPushedBack) return MultigetResult::Kind::kPushedBack;
    return MultigetResult::Kind::kFailed;
}

}  // namespace

PlacementHandler::PlacementHandler(net::Scheduler& scheduler, Log& log, PlacementConfig terms,
                                   GathererConfig gather, net::Endpoint discovery, std::uint64_t seed)
    : scheduler_(scheduler), log_(log), terms_(std::move(terms)), discovery_(discovery),
      follower_(terms_.follow),
      gatherer_(std::move(gather), [this](Number number, int leg) { return open_round_fates(number, leg); }),
      heat_(terms_.heat, seed), waiter_(scheduler) {}

void PlacementHandler::start() {
    watch();
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

// A watch sends the full map and then its changes; a fetch sends the full map only.
void PlacementHandler::watch() {
    const auto begin = [this](net::Task& task, bool stream) {
        if (!task.done()) return;
        task = read_json_stream(scheduler_,
                                {discovery_,
                                 terms_.path + (stream ? "?stream=1" : ""),
                                 stream,
                                 kMaxMapBytes,
                                 kSilenceTimeout,
                                 {}},
                                [this](const std::string& line) { return handle_object(line); });
        task.start([this](std::exception_ptr) {
            if (!watch_task_.done()) return;
            follower_.lost(scheduler_.now());
            waiter_.signal();
        });
    };
    const bool watched = !watch_task_.done();
    begin(watch_task_, true);
    if (watched) begin(fetch_task_, false);
}

void PlacementHandler::move_to(net::Endpoint discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    watch_task_ = net::Task{};
    fetch_task_ = net::Task{};
    watch();
}

bool PlacementHandler::handle_object(const std::string& line) {
    using Effect = MapFollower::Did;
    const auto result = follower_.hear(scheduler_.now(), read_map_update(line, box_names_));
    if (result.did == Effect::kRefused) log_.event(Level::kWarning, "map_refused", result.why);
    if (result.did == Effect::kOlder || result.did == Effect::kAside)
        log_.event(Level::kInfo, "map_waits", result.why);
    if (result.did == Effect::kTaken) {
        const auto& map = *follower_.present();
        log_.event(
            Level::kInfo, "map_taken",
            "map version " + std::to_string(map.version()) + ", " + std::to_string(map.size()) + " shards",
            {{"version", std::to_string(map.version())}});
        execute_all(gatherer_.map_is(scheduler_.now(), follower_.present()));
    }
    waiter_.signal();
    return true;
}

net::Task PlacementHandler::run() {
    for (;;) {
        const Time now = scheduler_.now();
        if (follower_.should_request_map(now)) watch();
        if (now >= wake_at_) {
            wake_at_ = net::kNever;
            execute_all(gatherer_.tick(now));
        }
        check_heat();
        const Time heat_at = now + terms_.heat.look;
        const Time until = std::min({wake_at_, follower_.wake(), heat_at});
        co_await waiter_.wait(0, until);
    }
}

void PlacementHandler::check_heat() {
    if (!follower_.present()) return;
    for (const auto& proposal : heat_.look(*follower_.present(), scheduler_.now())) {
        ++proposals_;
        log_.event(Level::kInfo, "placement_proposed", print(proposal),
                   {{"shard", std::to_string(proposal.shard)}});
    }
}

Acceptance PlacementHandler::check_acceptance(const std::string& name) const {
    if (open_names_.contains(name)) return Acceptance::kNameInUse;
    return dispatcher_->check_acceptance(name);
}

PlacementHandler::OpenMultiget PlacementHandler::remove(OpenMultigets::iterator position) {
    auto open = std::move(position->second);
    open_.erase(position);
    open_names_.erase(open.request.name);
    return open;
}

SubmitResult PlacementHandler::ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) {
    if (const auto acceptance = check_acceptance(multiget.name); acceptance != Acceptance::kTaken)
        return {acceptance, 0};
    const auto number = ++last_number_;
    GatherRequest request{multiget.op_type, multiget.not_after, {}};
    for (const auto& part : multiget.parts)
        request.splits.push_back({part.shard, part.weight, part.key, part.cost_hint});
    open_names_.insert(multiget.name);
    open_[number] = {std::move(multiget), std::move(ended), {}};
    execute_all(gatherer_.ask(scheduler_.now(), number, std::move(request)));
    return {Acceptance::kTaken, number};
}

store::PartOutcomes PlacementHandler::leave(Ticket multiget) {
    const auto at = open_.find(multiget);
    if (at == open_.end()) return {};
    FragmentFates known;
    for (const int leg : gatherer_.open_rounds(multiget)) {
        const auto of_round = dispatcher_->leave(at->second.legs[leg]);
        known.insert(known.end(), of_round.begin(), of_round.end());
    }
    auto fates = gatherer_.left(multiget, known);
    return remove(at).request.tells_parts ? fates : store::PartOutcomes{};
}

std::shared_ptr<const std::string> PlacementHandler::request_text(
    int route, const std::shared_ptr<const std::string>& text) {
    const auto* piece = gatherer_.sending(route);
    if (piece == nullptr) return text;
    auto text_for_piece = '@' + std::to_string(piece->shard) + ' ' + std::to_string(piece->epoch) + ' ' +
                          print_key(piece->first) + ' ' + print_key(piece->last) + '\n' + *text;
    return std::make_shared<const std::string>(std::move(text_for_piece));
}

void PlacementHandler::route_refused(int route, std::uint64_t epoch) {
    execute_all(gatherer_.refused(scheduler_.now(), route, epoch));
}

std::vector<ServerId> PlacementHandler::of(int shard) const {
    std::vector<ServerId> servers;
    const auto* piece = gatherer_.piece(shard);
    if (piece == nullptr) return servers;
    for (const auto box : gatherer_.eligible_servers(scheduler_.now(), *piece)) {
        if (const auto server = dispatcher_->find_server(box_names_.name(box))) servers.push_back(*server);
    }
    return servers;
}

// Executes one action at a time, in order: an action may add further ones.
void PlacementHandler::execute_all(Gatherer::Actions actions) {
    for (auto& action : actions) pending_actions_.push_back(std::move(action));
    if (executing_) return;
    executing_ = true;
    while (!pending_actions_.empty()) {
        const auto action = std::move(pending_actions_.front());
        pending_actions_.pop_front();
        std::visit([this](const auto& each) { execute(each); }, action);
    }
    executing_ = false;
}

void PlacementHandler::execute(const gathering::SendRound& leg) {
    const auto at = open_.find(leg.number);
    if (at == open_.end()) return;  // the client has left
    const auto& first = at->second.request;
    MultigetRequest multiget;
    multiget.name = leg.leg == 0 ? first.name : first.name + '~' + std::to_string(leg.leg);
    multiget.op_type = first.op_type;
    multiget.tenant = first.tenant;
    multiget.repeat = first.repeat;
    multiget.not_after = leg.not_after;
    multiget.query = first.query;
    multiget.tells_parts = true;
    // The module expects the weights of a multiget's parts to sum to 1.
    double weight = 0;
    for (const auto& piece : leg.pieces) weight += piece.weight;
    const double scale = leg.leg == 0 || weight <= 0 ? 1 : 1 / weight;
    for (const auto& piece : leg.pieces) {
        const auto& part = first.parts[piece.split];
        multiget.parts.push_back({0, piece.route, piece.weight * scale, part.key, part.cost_hint});
        if (leg.leg == 0 && follower_.present())
            heat_.asked(follower_.present()->at(piece.first), piece.first, scheduler_.now());
    }
    const auto [acceptance, ticket] = dispatcher_->ask(
        std::move(multiget), [this, number = leg.number, which = leg.leg](MultigetResult ending) {
            on_round_ended(number, which, std::move(ending));
        });
    if (acceptance == Acceptance::kTaken) {
        if (const auto still = open_.find(leg.number); still != open_.end())
            still->second.legs[leg.leg] = ticket;
        return;
    }
    MultigetResult none;
    none.kind = MultigetResult::Kind::kPushedBack;
    on_round_ended(leg.number, leg.leg, std::move(none));
}

void PlacementHandler::on_round_ended(Number number, int leg, MultigetResult ending) {
    RoundResult result;
    result.kind = to_round_kind(ending.kind);
    result.wait = ending.wait;
    for (auto& [route, value] : ending.values) result.values.emplace_back(route, std::move(value));
    result.fates = std::move(ending.parts);
    execute_all(gatherer_.on_round_ended(scheduler_.now(), number, leg, std::move(result)));
}

// A round without a ticket has not been handed to the dispatcher.
FragmentFates PlacementHandler::open_round_fates(Number number, int leg) const {
    const auto at = open_.find(number);
    if (at == open_.end()) return {};
    const auto round = at->second.legs.find(leg);
    if (round == at->second.legs.end()) return {};
    return dispatcher_->part_fates(round->second);
}

void PlacementHandler::execute(const gathering::AbandonRound& leg) {
    const auto at = open_.find(leg.number);
    if (at != open_.end()) dispatcher_->abandon(at->second.legs[leg.leg]);
}

void PlacementHandler::execute(const gathering::RequestMap& want) {
    follower_.on_epoch_seen(scheduler_.now(), want.shard, want.epoch);
    waiter_.signal();
}

void PlacementHandler::execute(const gathering::Wake& wake) {
    wake_at_ = std::min(wake_at_, wake.at);
    waiter_.signal();
}

void PlacementHandler::execute(const gathering::End& end) {
    const auto at = open_.find(end.number);
    if (at == open_.end()) return;
    MultigetResult ending;
    ending.kind = to_multiget_kind(end.kind);
    ending.whole = end.whole;
    ending.wait = end.wait;
    ending.values = end.values;
    if (at->second.request.tells_parts) ending.parts = end.fates;
    remove(at).on_end(std::move(ending));
}

std::string PlacementHandler::print_gauges() const {
    std::string out;
    const auto& map = follower_.present();
    const auto& map_counts = follower_.counted();
    const auto& piece_counts = gatherer_.counted();
    append_line(out, "map_version", map ? map->version() : 0);
    append_line(out, "map_shards", map ? map->size() : 0);
    append_line(out, "maps_taken", map_counts.taken);
    append_line(out, "maps_repeated", map_counts.repeated);
    append_line(out, "maps_older", map_counts.older);
    append_line(out, "maps_refused", map_counts.refused);
    append_line(out, "map_changes_aside", follower_.aside());
    append_line(out, "maps_asked_for", map_counts.asked_whole);
    append_line(out, "pieces", piece_counts.pieces);
    append_line(out, "parts_divided", piece_counts.divided);
    append_line(out, "pieces_refused", piece_counts.refused);
    append_line(out, "pieces_asked_again", piece_counts.asked_again);
    append_line(out, "pieces_given_up", piece_counts.given_up);
    append_line(out, "rounds_abandoned", piece_counts.abandoned_rounds);
    append_line(out, "values_not_merged", piece_counts.unmerged);
    append_line(out, "placement_proposals", proposals_);
    append_line(out, "shards_cold_at_boxes", gatherer_.cold());
    for (const auto& [shard, load] : heat_.hottest(kHottestShards))
        append_line(out, "heat_shard_" + std::to_string(shard),
                    static_cast<std::uint64_t>(std::llround(load)));
    return out;
}

}  // namespace pinedoor::service
