// Interface of the decision module: configuration, input events, output actions and the FrontNode class. The
// decisions are implemented in policy/ and driven by the event loop in logic.cpp. The module does no I/O and
// reads no clock.
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

using Time = std::int64_t;  // a point in time or a duration, in tenths of a millisecond
using Id = std::uint32_t;   // identifies a multiget or a part, as assigned by the caller

// Address of an index server: IPv4 address in host byte order, and port.
struct ServerId {
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const ServerId&) const = default;
};

// Configuration, fixed for the life of a FrontNode.

// Whether a part that may already have run can be sent again: always, within the deduplication window of the
// servers, or never.
enum class RetrySafety { kRetriable, kDeduped, kNonRetriable };

// Settings of one operation type. A multiget earns its importance when it is answered; the factors below
// reduce that for late and for partial answers.
struct OpType {
    Time latency_budget = 0;
    Time route_timeout = 0;
    RetrySafety repeat = RetrySafety::kNonRetriable;
    Time dedup_window = 0;  // servers recognise a part that is sent again within this time
    double importance = 1;
    double late_importance = 0;     // share of the importance that a late answer earns
    double min_share = 1;           // minimum share of the weight that any answer needs
    double whole_share = 1;         // share of the weight that an answer marked whole needs
    double partial_importance = 0;  // a partial answer earns this times its share of the weight
    int second_step_parts = 0;      // parts of the second step; 0: the multiget has one step
};

// Assignment of shards to index servers by an explicit map, which replaces the ring (docs/placement.md).
class ReplicaMap {
public:
    virtual ~ReplicaMap() = default;
    virtual std::vector<ServerId> of(int shard) const = 0;
};

// Assignment of shards to index servers by their positions on a ring: shard s is held by the servers at the
// `width` places that start at s modulo `places`.
struct ShardRing {
    int places = 1;
    int width = 1;
    int parts_per_call = 1;
    Time call_overhead = 0;               // fixed overhead of a call, whatever the number of its parts
    const ReplicaMap* holders = nullptr;  // not null: replaces the ring

    bool holds(int position, int shard) const {
        return ((position - shard) % places + places) % places < width;
    }
};

// Identity of this front node within the fleet.
struct NodeConfig {
    int me = 0;           // index of this front node
    int front_nodes = 1;  // size of the fleet
    int zone = 0;
    Time turn = 0;  // minimum time between two turns
};

// Limits on sends to index servers.
struct SendConfig {
    int most_sends = 1;          // maximum sends of one part
    bool second_copies = false;  // a part may be out at two servers at once
    bool cancel = false;         // sends can be cancelled
    Time connect_timeout = 0;
};

// Budget of further sends (retries and second copies): within any time span of length `look_back`, at most
// `floor` plus `ratio` times the multigets and parts received in it. A `look_back` of 0 means that there is
// no budget.
struct FurtherSendConfig {
    double floor = 0;
    double ratio = 0;
    Time look_back = 0;
};

// How an index server warms up after a start, and how much load brings it down meanwhile.
struct ColdStartConfig {
    double from = 1;               // share of a warm server's capacity that a server has at its start
    Time warm_after = 0;           // duration of the warm-up
    double overload_multiple = 0;  // a load of this multiple of the present capacity ...
    Time overload_after = 0;       // ... for this long makes the server fail
};

// How the server list is obtained: pulled from discovery, or pushed to the front node as it changes.
struct ServerListConfig {
    bool ask = false;              // true: pulled from discovery
    Time refresh_within = 0;       // discovery has to be called at least this often
    Time stop_sending_within = 0;  // time to stop sending to a server once its removal counts as received
    bool dedicated_agent =
        false;                 // pulled from an agent that serves only this front node and is always current
    Time told_after = 60'000;  // protocol: a change at discovery counts as received after this time
    Time beat = 20'000;        // protocol: interval of the heartbeats on a watch
};

// What the clients support.
struct ClientConfig {
    bool retry_after = false;      // pushbacks carry the time to wait before a retry
    Time longest_retry_after = 0;  // maximum of that time
    bool marks_retries = false;    // clients mark retries
    Time answer_grace = 0;         // answers are due this long before the deadline of the client
};

// Rate limit of a tenant.
struct TenantQuota {
    double per_second = 0;  // multigets, over all front nodes
};

// Sources of information about index servers other than the outcomes of sends.
struct HintConfig {
    bool probes = false;
    bool peers = false;
    bool warm_keys = false;
    int latency_field = -1;  // index in the load report; -1: not reported
    int busy_field = -1;     // index of the utilisation in the load report; -1: not reported
};

// Events: the input of a turn.

enum class ServerState : std::uint8_t { kGone, kReady, kDraining };

// One index server, as the server list names it.
struct ListEntry {
    ServerId server;
    int zone = 0;
    int place = 0;  // position on the shard ring
    ServerState state = ServerState::kGone;
    double size = 1;   // capacity relative to other servers
    Time started = 0;  // start of the server's process; 0: unknown
};

// kFailed: a call to discovery failed or a watch broke. kChanges: changed entries only. kFull: the whole
// list. kSaved: a list saved before the start of this process. kMoved: the address of discovery was changed,
// and a call was made to the new address.
enum class ListUpdateKind : std::uint8_t { kFailed, kChanges, kFull, kSaved, kMoved };

// An update of the server list, or the failure to obtain one.
struct ListUpdate {
    ListUpdateKind kind = ListUpdateKind::kFailed;
    std::vector<ListEntry> entries;
    static constexpr Time kOld = 1'000'000'000;  // stands for an unknown age
    Time age = kOld;                             // kSaved: time since the list was known to be current
    // kFailed, kMoved: time since the last contact with discovery, if known.
    std::optional<Time> unheard = std::nullopt;
    bool answered_in_part = false;  // kFailed: an answer began and broke off before the list was complete
};

// One part of a multiget. The weights of a multiget's parts add up to 1.
struct PartArrival {
    Id id = 0;
    int shard = 0;
    double weight = 0;
    std::uint64_t key = 0;  // 0: none
    Time cost_hint = 0;     // expected work at the server; 0: unknown
};

// A multiget received from a client.
struct MultigetArrival {
    Id id = 0;
    std::uint32_t number = 0;  // sequence number at this node, which the parts of a second step refer to
    int op_type = 0;
    int tenant = 0;
    bool repeat = false;  // marked by its client as a retry
    Time not_after = 0;   // deadline of the client
    std::vector<PartArrival> parts;
};

// The parts of a multiget's second step, known once its first step was answered.
struct SecondStep {
    std::uint32_t number = 0;
    std::vector<PartArrival> parts;
};

// How a send ended. After kFull, kNoConnection and kNeverSent the part is known not to have run.
enum class Outcome : std::uint8_t {
    kReturned,
    kError,
    kFull,  // refused because the server's queue is full
    kTimedOut,
    kNoConnection,
    kReset,
    kCancelled,
    kNeverSent
};

struct SendEnded {
    Id part = 0;
    int send = 0;  // number of the send among the sends of its part, from 0
    ServerId server;
    Time took = 0;
    Outcome outcome = Outcome::kReturned;
    std::vector<double> load;  // load report of the server
};

struct ProbeEnded {
    ServerId server;
    bool ok = false;
    Time took = 0;
    std::vector<double> load;  // load report of the server
};

// The client of a multiget disconnected or gave up.
struct ClientDisconnected {
    Id multiget = 0;
};

// A timer set by SetTimer fired.
struct TimerFired {
    std::uint32_t token = 0;
};

// What the other front nodes together report about a server. It is never taken for an entry of the server
// list.
struct ServerReport {
    ServerId server;
    bool aside = false;  // the server is set aside
    bool held = false;   // while it is set aside: other front nodes try it, this node need not
    Time seen = 0;       // time of the observations that speak against the server
    Time started = 0;    // the server restarted then and is cold; 0: no restart is reported
    double taken = 0;    // rate at which others send to the cold server, in parts per tenth of a millisecond
};

// This node's share of the limits that apply to the fleet as a whole. Nothing but one part out at each server
// is allowed after `until`.
struct FleetQuota {
    int parts_out = std::numeric_limits<int>::max();           // maximum at one server; one is always allowed
    double further = std::numeric_limits<double>::infinity();  // further sends since this node's start
    Time until = std::numeric_limits<Time>::max();

    // How many more parts may be sent to a server that has `out` parts out.
    int room(Time now, int out) const {
        return std::max(0, (now < until ? std::max(1, parts_out) : 1) - out);
    }
    bool allows(Time now, double sent) const { return now < until && sent <= further; }
};

// A message of another front node.
struct PeerMessage {
    int from = 0;  // index of the sender
    std::vector<std::uint8_t> text;
};

// Key of a multiget whose parts made servers crash. As an event: another front node found it.
struct DeadlyKey {
    std::uint64_t key = 0;
    Time until = 0;  // the key is ignored from then on
};

using Event = std::variant<ListUpdate, MultigetArrival, SecondStep, SendEnded, ProbeEnded, ClientDisconnected,
                           TimerFired, ServerReport, DeadlyKey, FleetQuota, PeerMessage>;

// Actions: the output of a turn.

struct Send {
    Id part = 0;
    ServerId server;
    Time try_for = 0;  // timeout of the send
    int number = 0;    // number of the send among the sends of its part, from 0
};

// Cancels a send.
struct CancelSend {
    Id part = 0;
    int send = 0;
};

// Answers a multiget with the parts that have returned.
struct Answer {
    Id multiget = 0;
    bool whole = false;
};

// kWaitTooLong: too few parts can be expected to return in time. kNoCredit: admission control allows fewer
// parts. kDeadlyKey: servers crashed under each part that was sent.
enum class GiveUpReason : std::uint8_t {
    kDeadlineExceeded,
    kPartsLost,
    kWaitTooLong,
    kNoCredit,
    kDeadlyKey,
    kListExpired
};

// Rejects a multiget that its client may safely retry.
struct PushBack {
    Id multiget = 0;
    Time wait = 0;  // the client is asked to wait for so long before it retries; 0: no advice
    GiveUpReason reason = GiveUpReason::kDeadlineExceeded;
};

// Fails a multiget that must not be retried, since parts of it may have run.
struct Fail {
    Id multiget = 0;
    GiveUpReason reason = GiveUpReason::kDeadlineExceeded;
};

// Sets a timer that fires after a delay.
struct SetTimer {
    Time after = 0;
    std::uint32_t token = 0;
};

struct LogLine {
    std::string text;
};

// Calls discovery for the server list, and keeps the call open as a watch for changes.
struct WatchServerList {
    Time longest_silence = 0;  // the watch is closed after a longer silence
    int beside = 0;            // the call is not made while more other calls than this are open
};
// Calls discovery for the server list once.
struct FetchServerList {};

struct Probe {
    ServerId server;
};

using Action = std::variant<Send, CancelSend, Answer, PushBack, Fail, SetTimer, LogLine, WatchServerList,
                            FetchServerList, Probe>;

// This front node's own view of an index server, for publication to the other front nodes.
struct ServerView {
    ServerId server;
    bool doubted = false;     // set aside or on trial
    Time failed = 0;          // when a send last failed or was found unanswered
    Time answered = 0;        // when a send was last answered
    Time started = 0;         // start of a cold server; 0: the server is warm
    std::uint64_t parts = 0;  // parts sent to the server while cold
    int parts_out = 0;
};

// The decisions of one front node. The caller passes each turn's events in the order in which they occurred,
// and carries out the returned actions in their order.
class FrontNode {
public:
    FrontNode(std::uint64_t seed, NodeConfig node, std::vector<OpType> op_types, ShardRing ring,
              SendConfig sends, FurtherSendConfig further, ColdStartConfig cold, ServerListConfig list,
              ClientConfig clients, std::vector<TenantQuota> tenants, HintConfig hints);
    ~FrontNode();
    FrontNode(FrontNode&&) noexcept;
    FrontNode& operator=(FrontNode&&) noexcept;

    std::vector<Action> turn(Time now, const std::vector<Event>& events);
    std::vector<ServerView> servers() const;     // servers on the list, as of the last turn
    std::vector<DeadlyKey> deadly_keys() const;  // keys found by this node itself
    double further_sends() const;                // number of further sends since the start of this node

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace pinedoor
