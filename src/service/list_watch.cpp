#include "service/list_watch.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "service/line_watch.hpp"

namespace pinedoor::service {
namespace {

// Bytes of a full list of the largest supported fleet, 3,200 servers, with long names and indentation.
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
// Memory of such a list's values, as allocated; an entry takes about 1.5 KB.
constexpr std::size_t kMaxListMemory = 8 * 1024 * 1024;
constexpr std::size_t kMaxServerNameBytes = 255;
constexpr double kMaxMs = 1e13;
constexpr int kMaxPlaces = 1'000'000;

}  // namespace

ServerListClient::ServerListClient(net::Scheduler& scheduler, Dispatcher& dispatcher, Counters& counters,
                                   Log& log, net::Endpoint discovery, std::vector<std::string> zones)
    : scheduler_(scheduler), dispatcher_(dispatcher), counters_(counters), log_(log), discovery_(discovery),
      source_(discovery), zones_(std::move(zones)) {}

void ServerListClient::load_known(const parse::Json& known) {
    if (!apply_list(known, true))
        log_.event(Level::kWarning, "known_list_refused", "the stored server list is invalid and is ignored");
}

void ServerListClient::watch(const WatchServerList& options) {
    watch_requested_ = true;
    if (listener_ != nullptr) return;
    if (options.longest_silence > 0) silence_timeout_ = options.longest_silence;
    start_call(true, options.beside);
}
void ServerListClient::fetch() {
    if (listener_ == nullptr) start_call(false, 0);
}

// Calls in progress are dropped without a notification. The full list is requested, since the revisions of
// another source may differ.
void ServerListClient::call_source(net::Endpoint source) {
    source_ = source;
    revision_.clear();
    drop_calls();
    start_call(true, 0);
}

void ServerListClient::move_to(net::Endpoint discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    if (listener_ != nullptr) return listener_->on_discovery_moved(discovery);
    source_ = discovery;
    // The revisions at the new address may differ. Without a revision the full list is sent, so that no
    // change in between is missed.
    revision_.clear();
    drop_calls();
    if (!watch_requested_) return;
    start_call(true, 0);
    dispatcher_.report_list_loss(ListUpdateKind::kMoved, since_last_contact(), false);
}

void ServerListClient::drop_calls() { calls_.clear(); }

// Calls in progress continue: each one ends by itself and then reports it.
void ServerListClient::start_call(bool stream, int beside) {
    std::erase_if(calls_, [](const Call& call) { return call.task.done(); });
    if (calls_.size() > static_cast<std::size_t>(beside)) return;
    log_.event(Level::kInfo, "list_call",
               "the list is asked for at " + net::to_text(source_) + ", " + dispatcher_.format_list_age(),
               {{"revision", revision_}, {"beside", std::to_string(calls_.size())}});
    auto& call = calls_.emplace_back();
    call.task = make_call(stream, call);
    call.task.start([this, &call](std::exception_ptr failure) {
        if (failure) counters_.add(Count::kTasksThrew);
        on_call_ended(call.state);
    });
}

void ServerListClient::on_call_ended(const CallState& state) {
    const std::string what = state.objects > 0 ? "the watch on the list" : "the call for the list";
    const std::string status = state.status == 0 ? "" : ", status " + std::to_string(state.status);
    log_.event(
        Level::kInfo, "list_call_ended",
        what + " ended: " + std::string(name_of(state.end)) + status + ", " + dispatcher_.format_list_age(),
        {{"reason", std::string(name_of(state.end))},
         {"silent_ms", std::to_string((scheduler_.clock() - state.last_input) / 10)}});
    const bool in_part = state.objects == 0 && state.status == 200 && state.end != CallEnd::kInProgress;
    dispatcher_.report_list_loss(ListUpdateKind::kFailed, since_last_contact(), in_part);
    if (listener_ != nullptr) listener_->on_call_ended();
}

std::optional<Time> ServerListClient::since_last_contact() const {
    return last_contact_ == 0 ? std::nullopt : std::optional<Time>(scheduler_.clock() - last_contact_);
}

net::Task ServerListClient::make_call(bool stream, Call& call) {
    std::string target = "/discovery/hosts";
    if (stream) target += "?stream=1" + (revision_.empty() ? "" : "&index=" + revision_);
    const auto alive = [this] {
        last_contact_ = scheduler_.clock();
        dispatcher_.note_list_contact(last_contact_);
        if (listener_ != nullptr && source_ == discovery_) listener_->on_alive({});
    };
    const Time silence = listener_ != nullptr ? kPeerSilenceTimeout : silence_timeout_;
    return read_json_stream(scheduler_,
                            {source_, std::move(target), stream, kMaxListBytes, silence, alive, &call.state},
                            [this, &call](const std::string& text) { return handle_object(call, text); });
}

// The first call that is answered becomes the watch; the others are dropped.
bool ServerListClient::handle_object(Call& call, const std::string& text) {
    if (!apply_object(text)) return false;
    if (call.state.objects == 0) keep_only(call);
    return true;
}

void ServerListClient::keep_only(const Call& call) {
    std::erase_if(calls_, [&call](const Call& each) { return &each != &call; });
}

Time ServerListClient::parse_age(const parse::Json& message) {
    const auto* age = message.member("age_ms");
    return age == nullptr || age->number() == nullptr
               ? 0
               : static_cast<Time>(std::clamp(age->number()->value, 0.0, kMaxMs) * 10);
}

ServerListListener::SourceInfo ServerListClient::parse_source_info(const parse::Json& message) {
    ServerListListener::SourceInfo source;
    source.age = parse_age(message);
    const auto* digest = message.member("digest");
    if (digest != nullptr && digest->string() != nullptr) source.digest = *digest->string();
    const auto* via = message.member("via");
    if (via == nullptr || via->list() == nullptr) return source;
    for (const auto& each : *via->list()) {
        if (each.string() != nullptr) source.via.push_back(*each.string());
    }
    return source;
}

bool ServerListClient::apply_object(const std::string& text) {
    try {
        const auto message = parse::parse_json(text, {kMaxListBytes, 8, kMaxListMemory});
        const bool from_member = listener_ != nullptr && source_ != discovery_;
        if (from_member && message.member("revision") == nullptr && message.member("age_ms") != nullptr)
            return listener_->on_alive(parse_source_info(message)), true;
        return apply_list(message, false);
    } catch (const parse::JsonError& error) {
        log_.event(Level::kWarning, "discovery_failed", std::string("discovery: ") + error.what());
        return false;
    }
}

bool ServerListClient::apply_list(const parse::Json& list, bool saved) {
    const auto* revision = list.member("revision");
    const auto* complete = list.member("complete");
    const auto* members = list.member("members");
    if (revision == nullptr || revision->number() == nullptr || complete == nullptr ||
        complete->boolean() == nullptr || members == nullptr || members->list() == nullptr) {
        return false;
    }
    std::vector<ListedServer> read;
    for (const auto& json : *members->list()) {
        auto member = parse_entry(json);
        if (member) {
            read.push_back(std::move(*member));
            continue;
        }
        counters_.add(Count::kListEntriesRefused);
        const auto* id = json.member("id");
        log_.event(
            Level::kWarning, "list_entry_refused",
            "list entry refused: " +
                (id != nullptr && id->string() != nullptr ? id->string()->substr(0, 80) : "without id"));
    }
    revision_ = revision->number()->text;
    const auto kind = *complete->boolean() ? ListUpdateKind::kFull : ListUpdateKind::kChanges;
    if (kind == ListUpdateKind::kFull) {
        std::set<std::string> names;
        for (const auto& member : read) names.insert(member.name);
        starts_.keep_only(names);
    }
    if (listener_ != nullptr && !saved) {
        const auto source =
            source_ == discovery_ ? ServerListListener::SourceInfo{} : parse_source_info(list);
        listener_->on_list(revision_, kind == ListUpdateKind::kFull, read, source);
    }
    log_list(saved ? ListUpdateKind::kSaved : kind, read.size());
    if (!saved) {
        dispatcher_.apply_list(kind, std::move(read));
        return true;
    }
    // The stored list may contain the wall-clock time at which it was last known to be valid.
    const auto* saved_at = list.member("saved_unix_ms");
    const bool is_dated = saved_at != nullptr && saved_at->number() != nullptr;
    const Time age = is_dated ? scheduler_.now() -
                                    static_cast<Time>(std::clamp(saved_at->number()->value, 0.0, kMaxMs) * 10)
                              : -1;
    dispatcher_.apply_list(ListUpdateKind::kSaved, std::move(read), age);
    return true;
}

void ServerListClient::log_list(ListUpdateKind kind, std::size_t entries) {
    const char* const what = kind == ListUpdateKind::kSaved  ? "the known list"
                             : kind == ListUpdateKind::kFull ? "the whole list"
                                                             : "changes of the list";
    log_.event(
        Level::kInfo, "list_told",
        std::string(what) + ", " + std::to_string(entries) + " entries, " + dispatcher_.format_list_age(),
        {{"revision", revision_}});
}

std::optional<ListedServer> ServerListClient::parse_entry(const parse::Json& json) {
    const auto text = [&](const char* name) -> const std::string* {
        const auto* member = json.member(name);
        return member == nullptr ? nullptr : member->string();
    };
    const auto number = [&](const char* name, double least, double most) -> std::optional<double> {
        const auto* member = json.member(name);
        if (member == nullptr || member->number() == nullptr) return std::nullopt;
        const double value = member->number()->value;
        return value < least || value > most ? std::nullopt : std::optional(value);
    };
    const auto* id = text("id");
    const auto* address = text("host_port");
    const auto* zone = text("locality");
    const auto* phase = text("phase");
    const auto place = number("cell", 0, kMaxPlaces);
    const auto size = number("size", 0, 1e9);
    const auto started = number("up_since_ms", 0, kMaxMs);
    if (id == nullptr || id->empty() || id->size() > kMaxServerNameBytes || address == nullptr ||
        phase == nullptr || !place || !size || !started) {
        return std::nullopt;
    }
    const auto at = net::parse_endpoint(*address);
    if (!at || *place != std::floor(*place)) return std::nullopt;
    ListedServer member{*id, *at, {}, 0};
    // A zone that is not in the settings counts as one more zone, which differs from this node's.
    const auto known = zone == nullptr ? zones_.end() : std::find(zones_.begin(), zones_.end(), *zone);
    member.entry.zone = static_cast<int>(known - zones_.begin());
    member.entry.place = static_cast<int>(*place);
    member.entry.size = *size;
    member.wall_started = static_cast<net::Moment>(std::llround(*started * 10));
    member.entry.started = starts_.convert(*id, member.wall_started, scheduler_.clock(), net::wall_clock());
    if (*phase == "Ready")
        member.entry.state = ServerState::kReady;
    else if (*phase == "Terminating")
        member.entry.state = ServerState::kDraining;
    else if (*phase == "Gone")
        member.entry.state = ServerState::kGone;
    else
        return std::nullopt;
    if (member.entry.state == ServerState::kGone) starts_.forget(*id);
    return member;
}

}  // namespace pinedoor::service
