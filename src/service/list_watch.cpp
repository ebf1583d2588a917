#include "service/list_watch.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "service/line_watch.hpp"

namespace pinedoor::service {
namespace {

// Bytes of a full list of the largest supported fleet, 3,200 servers, with long names and indentation.
constexpr std::size_t kLongestList = 4 * 1024 * 1024;
constexpr double kMostMs = 1e13;
constexpr int kMostPlaces = 1'000'000;

}  // namespace

ListWatch::ListWatch(net::Scheduler& scheduler, Exchange& exchange, Counters& counters, Log& log,
                     net::Endpoint discovery, std::vector<std::string> zones)
    : scheduler_(scheduler), exchange_(exchange), counters_(counters), log_(log), discovery_(discovery),
      source_(discovery), zones_(std::move(zones)) {}

void ListWatch::take_known(const parse::Json& known) {
    if (!take_list(known, true))
        log_.event(Level::kWarning, "known_list_refused", "the known list cannot be used");
}

void ListWatch::watch(const WatchList& terms) {
    wanted_ = true;
    if (keeper_ != nullptr) return;
    if (terms.longest_silence > 0) longest_silence_ = terms.longest_silence;
    start(true, terms.beside);
}
void ListWatch::fetch() {
    if (keeper_ == nullptr) start(false, 0);
}

// Calls in progress are dropped without a notification. The full list is requested, since the revisions of
// another source may differ.
void ListWatch::call(net::Endpoint source) {
    source_ = source;
    revision_.clear();
    drop_calls();
    start(true, 0);
}

void ListWatch::move_to(net::Endpoint discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    if (keeper_ != nullptr) return keeper_->moved(discovery);
    source_ = discovery;
    // The revisions at the new address may differ. Without a revision the full list is sent, so that no
    // change in between is missed.
    revision_.clear();
    drop_calls();
    if (!wanted_) return;
    start(true, 0);
    exchange_.list_lost(ListKind::kMoved, unheard(), false);
}

void ListWatch::drop_calls() { calls_.clear(); }

// Calls in progress continue: each one ends by itself and then reports it.
void ListWatch::start(bool stream, int beside) {
    std::erase_if(calls_, [](const Call& call) { return call.task.done(); });
    if (calls_.size() > static_cast<std::size_t>(beside)) return;
    log_.event(Level::kInfo, "list_call",
               "the list is asked for at " + net::to_text(source_) + ", " + exchange_.print_list_age(),
               {{"revision", revision_}, {"beside", std::to_string(calls_.size())}});
    auto& call = calls_.emplace_back();
    call.task = follow(stream, call);
    call.task.start([this, &call](std::exception_ptr failure) {
        if (failure) counters_.add(Count::kTasksThrew);
        ended(call.state);
    });
}

void ListWatch::ended(const CallState& state) {
    const std::string what = state.objects > 0 ? "the watch on the list" : "the call for the list";
    const std::string status = state.status == 0 ? "" : ", status " + std::to_string(state.status);
    log_.event(
        Level::kInfo, "list_call_ended",
        what + " ended: " + std::string(name_of(state.end)) + status + ", " + exchange_.print_list_age(),
        {{"reason", std::string(name_of(state.end))},
         {"silent_ms", std::to_string((scheduler_.now() - state.heard) / 10)}});
    const bool in_part = state.objects == 0 && state.status == 200 && state.end != CallEnd::kUnderWay;
    exchange_.list_lost(ListKind::kFailed, unheard(), in_part);
    if (keeper_ != nullptr) keeper_->ended();
}

std::optional<Time> ListWatch::unheard() const {
    return heard_ == 0 ? std::nullopt : std::optional<Time>(scheduler_.now() - heard_);
}

net::Task ListWatch::follow(bool stream, Call& call) {
    std::string target = "/discovery/hosts";
    if (stream) target += "?stream=1" + (revision_.empty() ? "" : "&index=" + revision_);
    const auto alive = [this] {
        heard_ = scheduler_.now();
        exchange_.list_alive(heard_);
        if (keeper_ != nullptr && source_ == discovery_) keeper_->still({});
    };
    const Time silence = keeper_ != nullptr ? kSilenceOfPeers : longest_silence_;
    return watch_lines(scheduler_,
                       {source_, std::move(target), stream, kLongestList, silence, alive, &call.state},
                       [this, &call](const std::string& text) { return take_answer(call, text); });
}

// The first call that is answered becomes the watch; the others are dropped.
bool ListWatch::take_answer(Call& call, const std::string& text) {
    if (!take_object(text)) return false;
    if (call.state.objects == 0) keep_only(call);
    return true;
}

void ListWatch::keep_only(const Call& call) {
    std::erase_if(calls_, [&call](const Call& each) { return &each != &call; });
}

Time ListWatch::age_in(const parse::Json& said) {
    const auto* age = said.member("age_ms");
    return age == nullptr || age->number() == nullptr
               ? 0
               : static_cast<Time>(std::clamp(age->number()->value, 0.0, kMostMs) * 10);
}

ListKeeper::Word ListWatch::word_in(const parse::Json& said) {
    ListKeeper::Word word;
    word.age = age_in(said);
    const auto* digest = said.member("digest");
    if (digest != nullptr && digest->string() != nullptr) word.digest = *digest->string();
    const auto* via = said.member("via");
    if (via == nullptr || via->list() == nullptr) return word;
    for (const auto& each : *via->list()) {
        if (each.string() != nullptr) word.via.push_back(*each.string());
    }
    return word;
}

bool ListWatch::take_object(const std::string& text) {
    try {
        const auto said = parse::parse_json(text, {kLongestList, 8});
        const bool from_member = keeper_ != nullptr && source_ != discovery_;
        if (from_member && said.member("revision") == nullptr && said.member("age_ms") != nullptr)
            return keeper_->still(word_in(said)), true;
        return take_list(said, false);
    } catch (const parse::BadJson& error) {
        log_.event(Level::kWarning, "discovery_failed", std::string("discovery: ") + error.what());
        return false;
    }
}

bool ListWatch::take_list(const parse::Json& list, bool saved) {
    const auto* revision = list.member("revision");
    const auto* complete = list.member("complete");
    const auto* members = list.member("members");
    if (revision == nullptr || revision->number() == nullptr || complete == nullptr ||
        complete->boolean() == nullptr || members == nullptr || members->list() == nullptr) {
        return false;
    }
    std::vector<Member> read;
    for (const auto& json : *members->list()) {
        auto member = read_member(json);
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
    const auto kind = *complete->boolean() ? ListKind::kFull : ListKind::kChanges;
    if (kind == ListKind::kFull) {
        std::set<std::string> names;
        for (const auto& member : read) names.insert(member.name);
        starts_.keep_only(names);
    }
    if (keeper_ != nullptr && !saved) {
        const auto word = source_ == discovery_ ? ListKeeper::Word{} : word_in(list);
        keeper_->came(revision_, kind == ListKind::kFull, read, word);
    }
    log_told(saved ? ListKind::kSaved : kind, read.size());
    if (!saved) {
        exchange_.list_news(kind, std::move(read));
        return true;
    }
    // The stored list may contain the wall-clock time at which it was last known to be valid.
    const auto* held = list.member("saved_unix_ms");
    const bool told = held != nullptr && held->number() != nullptr;
    const Time age =
        told ? scheduler_.now() - static_cast<Time>(std::clamp(held->number()->value, 0.0, kMostMs) * 10)
             : -1;
    exchange_.list_news(ListKind::kSaved, std::move(read), age);
    return true;
}

void ListWatch::log_told(ListKind kind, std::size_t entries) {
    const char* const what = kind == ListKind::kSaved  ? "the known list"
                             : kind == ListKind::kFull ? "the whole list"
                                                       : "changes of the list";
    log_.event(Level::kInfo, "list_told",
               std::string(what) + ", " + std::to_string(entries) + " entries, " + exchange_.print_list_age(),
               {{"revision", revision_}});
}

std::optional<Member> ListWatch::read_member(const parse::Json& json) {
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
    const auto place = number("cell", 0, kMostPlaces);
    const auto size = number("size", 0, 1e9);
    const auto started = number("up_since_ms", 0, kMostMs);
    if (id == nullptr || id->empty() || address == nullptr || phase == nullptr || !place || !size ||
        !started) {
        return std::nullopt;
    }
    const auto at = net::parse_endpoint(*address);
    if (!at || *place != std::floor(*place)) return std::nullopt;
    Member member{*id, *at, {}, 0};
    // A zone that is not in the settings counts as one more zone, which differs from this node's.
    const auto known = zone == nullptr ? zones_.end() : std::find(zones_.begin(), zones_.end(), *zone);
    member.entry.zone = static_cast<int>(known - zones_.begin());
    member.entry.place = static_cast<int>(*place);
    member.entry.size = *size;
    member.told_started = static_cast<net::Moment>(std::llround(*started * 10));
    member.entry.started = starts_.take(*id, member.told_started, scheduler_.now(), net::wall_clock());
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
