// The interface of the module that decides, in plain types. The decisions are in policy/, under the loop in
// logic.cpp.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pinedoor {

using Time = std::int64_t;  // whole tenths of a millisecond
using Id = std::uint32_t;   // of a multiget or a part, as the wire gives it

struct ServerId {
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const ServerId&) const = default;
};

// What is stated at start, grouped by who needs it.

enum class Repeat { kRetriable, kDeduped, kNonRetriable };

struct OpType {
    Time latency_budget = 0;
    Time route_timeout = 0;
    Repeat repeat = Repeat::kNonRetriable;
    Time dedup_window = 0;
    double importance = 1;
    double late_importance = 0;   // share of the importance that a late answer earns
    double least_share = 1;       // an answer needs at least this share of the weight
    double whole_share = 1;       // a whole answer needs this share
    double short_importance = 0;  // an answer not marked whole earns this times its share
    int second_step_parts = 0;
};

// Who holds a shard, where a map says so and not the ring (docs/placement.md).
class Holders {
public:
    virtual ~Holders() = default;
    virtual std::vector<ServerId> of(int shard) const = 0;
};

struct ShardRing {
    int places = 1;
    int width = 1;
    int parts_per_call = 1;
    Time call_cost = 0;
    const Holders* holders = nullptr;  // null: the ring says

    bool holds(int position, int shard) const {
        return ((position - shard) % places + places) % places < width;
    }
};

struct NodePlace {
    int me = 0;
    int front_nodes = 1;
    int zone = 0;
    Time turn = 0;  // shortest time between two turns
};

struct SendTerms {
    int most_sends = 1;  // of one part
    bool second_copies = false;
    bool cancel = false;
    Time connect_timeout = 0;
};

struct FurtherSendTerms {  // look_back 0: no budget is stated
    double floor = 0;
    double ratio = 0;
    Time look_back = 0;
};

struct ColdTerms {
    double from = 1;
    Time warm_after = 0;
    double fall_multiple = 0;
    Time tip_after = 0;
};

// How the list comes. Where it is not asked for it is handed in as it changes.
struct ListTerms {
    bool ask = false;
    Time must_ask_in = 0;
    Time stop_within = 0;
    bool own_agent =
        false;  // asked of an agent that serves this front node alone, and has what is new at once
    Time told_after = 60'000;  // protocol: whatever discovery has counts as told then
    Time beat = 20'000;        // protocol: a watch says something so often
};

struct ClientTerms {
    bool retry_after = false;
    Time longest_retry_after = 0;
    bool marks_repeats = false;
    Time answer_grace = 0;
};

struct TenantShare {
    double per_second = 0;  // over all front nodes
};

struct HintTerms {  // what may be learned beside outcomes
    bool probes = false;
    bool peers = false;
    bool warm_keys = false;
    int latency_field = -1;  // place in a load report, or -1
    int busy_field = -1;
};

// What happens.

enum class ServerState : std::uint8_t { kGone, kReady, kDraining };

struct ListEntry {
    ServerId server;
    int zone = 0;
    int place = 0;
    ServerState state = ServerState::kGone;
    double size = 1;
    Time started = 0;
};

// Failed: a call failed or a watch broke. Moved: discovery is at another address, and has been called there.
enum class ListKind : std::uint8_t { kFailed, kChanges, kFull, kSaved, kMoved };

struct ListNews {
    ListKind kind = ListKind::kFailed;
    std::vector<ListEntry> entries;
    static constexpr Time kOld = 1'000'000'000;
    Time age = kOld;  // kSaved: since it was known to hold, if that is told
    std::optional<Time> unheard =
        std::nullopt;               // kFailed, kMoved: since discovery was last heard, where that is known
    bool answered_in_part = false;  // kFailed: an answer began, and broke off before the list was whole
};

struct PartArrival {
    Id id = 0;
    int shard = 0;
    double weight = 0;
    std::uint64_t key = 0;
    Time cost_hint = 0;  // 0: none
};

struct MultigetArrival {
    Id id = 0;
    std::uint32_t number = 0;  // at this node; a second step's parts name it
    int op_type = 0;
    int tenant = 0;
    bool repeat = false;
    Time not_after = 0;
    std::vector<PartArrival> parts;
};

struct SecondStep {
    std::uint32_t number = 0;
    std::vector<PartArrival> parts;
};

enum class Outcome : std::uint8_t {
    kReturned,
    kError,
    kFull,
    kTimedOut,
    kNoConnection,
    kReset,
    kCancelled,
    kNeverSent
};

struct SendEnded {
    Id part = 0;
    int send = 0;
    ServerId server;
    Time took = 0;
    Outcome outcome = Outcome::kReturned;
    std::vector<double> load;
};

struct Probed {
    ServerId server;
    bool ok = false;
    Time took = 0;
    std::vector<double> load;
};

struct ClientLeft {
    Id multiget = 0;
};

struct Bell {
    std::uint32_t token = 0;
};

struct ServerWord {  // what other front nodes say of a server together; none of it is a list's word
    ServerId server;
    bool aside = false;
    bool held = false;  // while it is aside: others try it, this node need not
    Time seen = 0;      // what speaks against it was seen then
    Time started = 0;   // it began anew then, and is cold; 0: nobody says so
    double taken = 0;   // of a cold one's room: parts in a tenth of a millisecond
};

struct FleetShare {  // what this node may use, of limits that hold for all front nodes; nothing after `until`
    int parts_out = std::numeric_limits<int>::max();           // at one server; one is always allowed
    double further = std::numeric_limits<double>::infinity();  // sends, counted from this node's start
    Time until = std::numeric_limits<Time>::max();

    int room(Time now, int out) const {
        return std::max(0, (now < until ? std::max(1, parts_out) : 1) - out);
    }
    bool allows(Time now, double sent) const { return now < until && sent <= further; }
};

struct PeerWord {
    int from = 0;
    std::vector<std::uint8_t> text;
};

struct DeadlyKey {  // of a multiget under which servers died, at another front node
    std::uint64_t key = 0;
    Time until = 0;
};

using Event = std::variant<ListNews, MultigetArrival, SecondStep, SendEnded, Probed, ClientLeft, Bell,
                           ServerWord, DeadlyKey, FleetShare, PeerWord>;

// What is done about it.

struct Send {
    Id part = 0;
    ServerId server;
    Time try_for = 0;
    int number = 0;  // among the sends of its part, from 0
};

struct CallOff {
    Id part = 0;
    int send = 0;
};

struct Answer {
    Id multiget = 0;
    bool whole = false;
};

enum class GiveUpReason : std::uint8_t { kTimeOver, kPartsLost, kNoHope, kNoCredit, kDeadly, kListExpired };

struct PushBack {
    Id multiget = 0;
    Time wait = 0;  // 0: no advice
    GiveUpReason reason = GiveUpReason::kTimeOver;
};

struct Fail {
    Id multiget = 0;
    GiveUpReason reason = GiveUpReason::kTimeOver;
};

struct SetBell {
    Time after = 0;
    std::uint32_t token = 0;
};

struct LogLine {
    std::string text;
};

struct WatchList {
    Time longest_silence = 0;  // of the watch; a longer one ends it
    int beside = 0;            // other calls that may be under way meanwhile; with more it is not made
};
struct FetchList {};

struct Probe {
    ServerId server;
};

using Action =
    std::variant<Send, CallOff, Answer, PushBack, Fail, SetBell, LogLine, WatchList, FetchList, Probe>;

struct ServerView {  // what this front node's decisions go by
    ServerId server;
    bool doubted = false;     // aside or on trial
    Time failed = 0;          // this node's own evidence: when last it left a send unanswered, or failed one
    Time answered = 0;        // and when it last answered one
    Time started = 0;         // while it is cold; 0: it is warm
    std::uint64_t parts = 0;  // sent to it while cold
    int parts_out = 0;
};

// One front node's decisions. Give it every turn's events in their order; carry out what it returns in order.
class FrontNode {
public:
    FrontNode(std::uint64_t seed, NodePlace node, std::vector<OpType> op_types, ShardRing ring,
              SendTerms sends, FurtherSendTerms further, ColdTerms cold, ListTerms list, ClientTerms clients,
              std::vector<TenantShare> tenants, HintTerms hints);
    ~FrontNode();
    FrontNode(FrontNode&&) noexcept;
    FrontNode& operator=(FrontNode&&) noexcept;

    std::vector<Action> turn(Time now, const std::vector<Event>& events);
    std::vector<ServerView> servers() const;     // as of the last turn, those listed
    std::vector<DeadlyKey> deadly_keys() const;  // found by this node
    double further_sends() const;                // since its start

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace pinedoor
