#include "service/front_door.hpp"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <system_error>

#include "store/make_backend.hpp"

namespace pinedoor::service {
namespace {

constexpr int kMaxReloadReads = 20;
constexpr net::Moment kReloadReadInterval = 1'000;

// In the simulator pushed lists arrive by themselves. On sockets an agent beside each front node has them and
// sends them on a watch, and discovery counts a list that the agent has as received. So a watch must be open
// all the time, and a broken one must be opened again well within the time in which sends have to stop.
ServerListConfig on_sockets(ServerListConfig terms, Time connect_timeout) {
    if (terms.ask) return terms;
    terms.ask = true;
    terms.dedicated_agent = true;
    terms.refresh_within = terms.stop_sending_within > 0 ? terms.stop_sending_within : connect_timeout;
    return terms;
}

// With placement, repeated pieces get a share of the further sends, and the module gets the rest.
FrontNode make_node(std::uint64_t seed, const stated::Settings& stated, const ReplicaMap* holders,
                    const placement::PlacementConfig& placement) {
    auto ring = stated.shard_ring();
    auto further = stated.further_send_config();
    ring.holders = holders;
    if (holders != nullptr) {
        further.floor *= 1 - placement.further_share;
        further.ratio *= 1 - placement.further_share;
    }
    return FrontNode(seed, stated.node_place(), stated.op_types(), ring, stated.send_config(), further,
                     stated.cold_start_config(),
                     on_sockets(stated.server_list_config(), stated.send_config().connect_timeout),
                     stated.client_config(), stated.tenants(), stated.hint_config());
}

Time longest_timeout(const stated::Settings& stated) {
    Time longest = 0;
    for (const auto& type : stated.op_types()) {
        if (type.second_step_parts > 0) {
            throw stated::ConfigError(
                "settings: family_info.follow_up asks for a second step, which this protocol does not "
                "support");
        }
        longest = std::max(longest, type.route_timeout);
    }
    return longest;
}

// Idle connections per open request. More cannot be reused soon: each open request would have to find two
// idle connections.
constexpr std::size_t kIdlePerOpenRequest = 2;

// Each connection to a server is assured of its first buffers.
std::size_t max_server_connections(const InputBudgets& budgets, const DescriptorBudget& descriptors) {
    constexpr std::size_t kAssuredBytes = 8 * 1024;
    return std::min(descriptors.for_servers(),
                    std::max<std::size_t>(2, budgets.servers.limit() / kAssuredBytes));
}

// Each connection is assured of enough memory for an ordinary request.
std::size_t max_clients(const InputBudgets& budgets, const DescriptorBudget& descriptors) {
    constexpr std::size_t kAssuredBytes = 4 * ClientConnection::kFixedBytes;
    return std::min(descriptors.for_clients(),
                    std::max<std::size_t>(2, budgets.clients.limit() / kAssuredBytes));
}

ClientSideConfig client_side_config(const stated::LaunchConfig& launch, const InputBudgets& budgets,
                                    const DescriptorBudget& descriptors, bool accepts_keys) {
    const auto& settings = launch.settings();
    ClientSideConfig config;
    config.listen = launch.listen();
    config.vocabulary = {settings.op_type_names(), settings.tenant_names(), settings.shards(), accepts_keys};
    config.write_timeout = longest_timeout(settings);
    config.first_request_time = settings.send_config().connect_timeout;
    config.max_connections = max_clients(budgets, descriptors);
    config.max_names = budgets.name_bytes / RecentNames::kBytesPerName;
    config.seed = launch.seed();
    return config;
}

}  // namespace

FrontNodeService::FrontNodeService(net::Scheduler& scheduler, const stated::LaunchConfig& launch,
                                   const stated::NodeSettings& installation, std::FILE* log,
                                   LogOptions log_terms)
    : scheduler_(scheduler), launch_(launch), log_(log, scheduler, counters_, log_terms),
      descriptors_(launch.sockets()), budgets_(launch.memory()), placement_(make_placement(installation)),
      dispatcher_(scheduler,
                  make_node(launch.seed(), launch.settings(), placement_.get(), installation.placement),
                  launch.settings().node_place().turn, launch.settings().most_open(),
                  launch.settings().send_config().most_sends, counters_, log_),
      keeper_(make_keeper(installation)), peers_(make_peers(installation)),
      limiter_(make_limits(installation)),
      server_connections_(scheduler, dispatcher_, counters_, log_, budgets_.servers,
                          launch.settings().report_fields(), launch.settings().shard_ring().parts_per_call,
                          launch.settings().streams_per_connection(),
                          launch.settings().send_config().connect_timeout,
                          launch.settings().connection_idle(), max_server_connections(budgets_, descriptors_),
                          kIdlePerOpenRequest * static_cast<std::size_t>(launch.settings().most_open())),
      list_client_(scheduler, dispatcher_, counters_, log_, launch.discovery(),
                   launch.settings().zone_names()),
      client_connections_(
          scheduler, request_handler(), counters_, log_, budgets_,
          client_side_config(launch, budgets_, descriptors_, keeper_ != nullptr),
          [this] { return print_counters(); }, [this] { return dispatcher_.has_servers(); }),
      reload_waiter_(scheduler) {
    dispatcher_.set_value_budget(budgets_.values);
    if (limiter_ && limiter_->limits_connections())
        server_connections_.set_connection_pacing(
            [this](net::Endpoint server) { return limiter_->may_connect(server); });
    if (!peers_) return;
    list_relay_ = std::make_unique<ServerListRelay>(scheduler, list_client_, *peers_, log_, launch.name(),
                                                    launch.seed());
    if (!installation.fleet.verdicts) return;
    fleet_reporter_ =
        std::make_unique<FleetReporter>(scheduler, dispatcher_, *peers_, log_, installation.fleet.words);
}

void FrontNodeService::start() {
    dispatcher_.attach(server_connections_, list_client_, placement_.get());
    if (placement_) placement_->attach(dispatcher_);
    server_connections_.start();
    list_client_.load_known(launch_.known());
    dispatcher_.start();
    if (placement_) placement_->start();
    if (keeper_) keeper_->start();
    if (peers_) peers_->start();
    if (list_relay_) list_relay_->start();
    if (fleet_reporter_) fleet_reporter_->start();
    if (limiter_) limiter_->start();
    client_connections_.start();
    reload_task_ = run_reloads();
    reload_task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void FrontNodeService::stop() {
    log_.event(Level::kInfo, "shutdown", "shutdown requested; accepted requests are answered first");
    client_connections_.stop();
    if (limiter_) limiter_->stop();
    if (peers_) peers_->leave();
}

bool FrontNodeService::done() {
    if (!client_connections_.done() || !keeper_) return client_connections_.done();
    keeper_->finish();
    return keeper_->done();
}

std::unique_ptr<store::RecordKeeper> FrontNodeService::make_keeper(const stated::NodeSettings& installation) {
    if (installation.store.kind == store::Kind::kNone) return nullptr;
    const auto& settings = launch_.settings();
    const auto terms = settings.client_config();
    store::RecordKeeperConfig recorded{launch_.name(),
                                       settings.op_type_names(),
                                       settings.tenant_names(),
                                       {},
                                       terms.retry_after ? terms.longest_retry_after : 0};
    std::vector<bool> retriable;
    for (const auto& type : settings.op_types()) retriable.push_back(type.repeat == RetrySafety::kRetriable);
    try {
        recorded.recorded = store::which(recorded.op_types, retriable, installation.store.op_types);
    } catch (const std::invalid_argument& error) {
        throw stated::ConfigError(error.what());
    }
    return std::make_unique<store::RecordKeeper>(
        scheduler_, inner_handler(), log_, installation.store, std::move(recorded), launch_.seed(),
        store::make_backend(scheduler_, installation.store), std::make_unique<store::RealFiles>());
}

std::unique_ptr<peers::PeerTransport> FrontNodeService::make_peers(const stated::NodeSettings& installation) {
    if (!installation.peers.on) return nullptr;
    return std::make_unique<peers::PeerTransport>(
        scheduler_, installation.peers, launch_.name(), launch_.settings().node_place().zone, launch_.seed(),
        [this](std::string_view event, const std::string& text) {
            const bool warns = event == "peer_conflict" || event == "peer_refused";
            log_.event(warns ? Level::kWarning : Level::kInfo, event, text);
        },
        budgets_.peer_bytes);
}

std::unique_ptr<FleetLimiter> FrontNodeService::make_limits(const stated::NodeSettings& installation) {
    if (!installation.fleet.on) return nullptr;
    const auto& settings = launch_.settings();
    const auto terms = settings.client_config();
    try {
        return std::make_unique<FleetLimiter>(
            scheduler_, recording_handler(), dispatcher_, peers_.get(), log_, installation.fleet,
            FleetLimiter::Options{settings.tenant_names(), settings.op_type_names(),
                                  settings.node_place().front_nodes,
                                  terms.retry_after ? terms.longest_retry_after : 0},
            launch_.seed());
    } catch (const std::invalid_argument& error) {
        throw stated::ConfigError(error.what());
    }
}

RequestHandler& FrontNodeService::request_handler() {
    if (limiter_) return *limiter_;
    return recording_handler();
}

RequestHandler& FrontNodeService::recording_handler() {
    if (keeper_) return *keeper_;
    return inner_handler();
}

RequestHandler& FrontNodeService::inner_handler() {
    if (placement_) return *placement_;
    return dispatcher_;
}

std::unique_ptr<PlacementHandler> FrontNodeService::make_placement(const stated::NodeSettings& installation) {
    const auto& terms = installation.placement;
    if (!terms.on) return nullptr;
    const auto& settings = launch_.settings();
    const auto names = settings.op_type_names();
    const auto types = settings.op_types();
    placement::GathererConfig gather;
    for (const auto& [name, rule] : terms.merge) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            throw stated::ConfigError("placement.merge names " + name + ", which is not an op type");
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto& type = types[i];
        const auto rule = terms.merge.find(names[i]);
        gather.op_types.push_back({rule == terms.merge.end() ? placement::MergeRule::kWhole : rule->second,
                                   type.repeat == RetrySafety::kRetriable, type.min_share, type.whole_share,
                                   type.latency_budget,
                                   type.repeat == RetrySafety::kNonRetriable ? 0 : type.dedup_window});
    }
    const auto further = settings.further_send_config();
    gather.splits = static_cast<std::uint64_t>(settings.shards());
    gather.further_floor = further.floor * terms.further_share;
    gather.further_ratio = further.ratio * terms.further_share;
    gather.further_look_back = further.look_back;
    gather.ask_again = terms.ask_again;
    gather.send_slack = settings.node_place().turn + settings.send_config().connect_timeout;
    gather.answer_grace = settings.client_config().answer_grace;
    gather.max_rounds = terms.max_rounds;
    gather.cold_from = settings.cold_start_config().from;
    gather.warm_after = settings.cold_start_config().warm_after;
    return std::make_unique<PlacementHandler>(scheduler_, log_, terms, std::move(gather), launch_.discovery(),
                                              launch_.seed());
}

void FrontNodeService::reload() {
    reads_left_ = kMaxReloadReads;
    reload_waiter_.signal();
}

// An invalid file may be in the middle of its replacement, so it is read again for a while. Each fault is
// logged once.
net::Task FrontNodeService::run_reloads() {
    for (std::string last_fault;;) {
        co_await reload_waiter_.wait(0,
                                     reads_left_ > 0 ? scheduler_.now() + kReloadReadInterval : net::kNever);
        if (reads_left_ == kMaxReloadReads) last_fault.clear();
        const auto fault = apply_configuration();
        reads_left_ = fault.empty() ? 0 : reads_left_ - 1;
        counters_.add(fault.empty() ? Count::kReloads : Count::kReloadFaults);
        if (!fault.empty() && fault != last_fault)
            log_.event(Level::kWarning, "reload_refused", "reload: " + fault + "; all stays as it was");
        last_fault = fault;
    }
}

std::string FrontNodeService::apply_configuration() {
    try {
        const auto newer = launch_.read_again();
        list_client_.move_to(newer.discovery());
        if (placement_) placement_->move_to(newer.discovery());
        std::string line = "reload: discovery is at " + net::to_text(newer.discovery());
        for (const auto& key : launch_.keys_needing_restart(newer)) line += "; " + key + " needs a restart";
        log_.event(Level::kInfo, "reloaded", line);
        return {};
    } catch (const std::exception& error) {
        return error.what();
    }
}

std::string FrontNodeService::print_counters() const {
    std::string out = counters_.print() + dispatcher_.print_gauges() + server_connections_.print_gauges() +
                      client_connections_.print_gauges();
    if (keeper_) out += keeper_->print_gauges();
    if (placement_) out += placement_->print_gauges();
    if (peers_) out += peers_->print_counters();
    if (list_relay_) out += list_relay_->print_gauges();
    if (fleet_reporter_) out += fleet_reporter_->print_gauges();
    if (limiter_) out += limiter_->print_gauges();
    std::error_code ignored;  // without a free descriptor the folder cannot be read
    const std::filesystem::directory_iterator descriptors("/proc/self/fd", ignored), end;
    append_line(out, "descriptors_open",
                static_cast<std::uint64_t>(std::max<std::ptrdiff_t>(1, std::distance(descriptors, end))) - 1);
    append_line(out, "longest_turn_us", static_cast<std::uint64_t>(scheduler_.longest_round()) * 100);
    return out;
}

}  // namespace pinedoor::service
