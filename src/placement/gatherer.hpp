// Gathers one value per count split of a multiget while the shard map changes, without I/O. It cuts the
// requested splits into fragments (the keys of one split that lie in one shard), hands these on in attempt
// rounds, and merges the fragments' values by the merge rule of the op type. Times are in tenths of a
// millisecond.
//
// A fragment carries the epoch under which it is requested. An index server that does not own the shard under
// this epoch refuses the fragment and guarantees that it was never run. The fragment's keys are then looked
// up in the next map and requested in a further round: from the children if the shard was split, from the
// merged shard, or from the new index server if the shard moved. A fragment is defined by its keys, and the
// map only locates it. The fragments of a split therefore cover its keys exactly once, whatever map versions
// they were requested under, and nothing is counted twice.
//
// A split is answered only if all of its fragments are and their values merge. Whole and least shares are
// computed from the weights that the client gave. Repeated fragments count as further sends; they have a
// reserved share of that budget (GathererConfig::further_floor and further_ratio), and the decision module
// has the rest.
//
// An index server that has just received a shard is cold for it, however long its process has been running.
// The share of reads that it receives rises linearly from cold_from to 1 within warm_after; a hash of the
// fragment's route decides whether the fragment belongs to that share. Every node applies the share to its
// own reads, so the fleet keeps it without coordination.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "part_fate.hpp"
#include "placement/merge_values.hpp"
#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// Settings of one op type.
struct GatheredOpType {
    MergeRule merge = MergeRule::kWhole;
    bool readers = false;    // readers may run its parts, not only the owner
    double min_share = 1;    // share of the weight needed for an answer
    double whole_share = 1;  // share of the weight from which an answer is whole
    Time latency_budget = 0;
    // A fragment that may have run is sent again only within this time of its first send; 0: never. Without
    // effect on op types that readers run.
    Time repeat_window = 0;
};

struct GathererConfig {
    std::vector<GatheredOpType> op_types;
    std::uint64_t splits = 1;  // number of equal ranges that the key space is divided into
    // Budget of repeated fragments within the look-back window: the floor plus the ratio times first sends.
    double further_floor = 0, further_ratio = 0;
    Time further_look_back = 0;        // 0: no budget applies
    Time ask_again = 200;              // delay of a repeat if the server has an older epoch than the map
    Time send_slack = 0;               // longest time from a decision until its send arrives
    Time answer_grace = 200;           // time reserved before the deadline to send the answer
    int max_rounds = 4;                // limit on rounds per multiget
    std::size_t max_fragments = 4096;  // limit on fragments per multiget
    double cold_from = 1;              // initial share of reads at a cold server; 1: no server is cold
    Time warm_after = 0;               // time from which a server is warm
};

using Number = std::uint64_t;  // identifies a multiget
using Route = int;             // identifies an open fragment; unique on the node

// One requested split of a multiget.
struct RequestedSplit {
    int split = 0;
    double weight = 0;
    std::uint64_t key = 0;  // passed through to the decision module
    Time cost_hint = 0;     // passed through to the decision module
};
// A requested multiget.
struct GatherRequest {
    int op_type = 0;
    Time not_after = 0;
    std::vector<RequestedSplit> splits;
};

// A fragment: the keys of one split that lie in one shard.
struct Piece {
    Route route = 0;
    std::size_t split = 0;  // index into GatherRequest::splits
    ShardId shard = 0;
    Epoch epoch = 0;
    Key first = 0, last = 0;  // both inclusive
    double weight = 0;
    std::vector<ServerNumber> boxes;  // index servers that may run it
};

using FragmentFate = PartFate;
using FragmentFates = std::vector<std::pair<Route, FragmentFate>>;

// Returns what is known as of now of the fragments of a round that is still open. Fragments that the result
// does not name were never sent.
using OpenRoundFates = std::function<FragmentFates(Number, int leg)>;

// Result of a round.
struct RoundResult {
    enum class Kind : std::uint8_t { kAnswered, kPushedBack, kFailed } kind = Kind::kFailed;
    Time wait = 0;  // kPushedBack: suggested delay before a retry
    std::vector<std::pair<Route, std::string>> values;
    FragmentFates fates;  // fragments that are not named were never sent
};

// Actions that the caller executes.
namespace gathering {
// Sends a round of fragments.
struct SendRound {
    Number number = 0;
    int leg = 0;
    std::vector<Piece> pieces;
    Time not_after = 0;  // the round ends by then, and nothing of it is sent later
};
// Abandons an open round.
struct AbandonRound {
    Number number = 0;
    int leg = 0;
};
// Requests the map, since an index server has reported this epoch of the shard.
struct RequestMap {
    ShardId shard = 0;
    Epoch epoch = 0;
};
// Schedules a call of tick() at this time.
struct Wake {
    Time at = 0;
};
// The result of a multiget.
struct End {
    Number number = 0;
    RoundResult::Kind kind = RoundResult::Kind::kFailed;
    bool whole = false;
    Time wait = 0;
    std::vector<std::pair<int, std::string>> values;  // by split
    std::vector<std::pair<int, FragmentFate>> fates;  // by split
};
using Action = std::variant<SendRound, AbandonRound, RequestMap, Wake, End>;
}  // namespace gathering

// Tracks the open multigets. Each member function that returns actions expects the caller to execute them.
class Gatherer {
public:
    // Without `open_round_fates`, every fragment of an open round may have run.
    explicit Gatherer(GathererConfig terms, OpenRoundFates open_round_fates = {})
        : config_(std::move(terms)), open_round_fates_(std::move(open_round_fates)) {}
    using Actions = std::vector<gathering::Action>;

    Actions map_is(Time now, std::shared_ptr<const ShardMap> map);
    Actions ask(Time now, Number number, GatherRequest asked);
    // An index server refused the fragment without running it; `known` is the epoch that it knows.
    Actions refused(Time now, Route route, Epoch known);
    Actions on_round_ended(Time now, Number number, int leg, RoundResult end);
    Actions tick(Time now);

    // Removes a multiget whose client has disconnected. The caller abandons the open rounds and passes the
    // known fates of their fragments; returns the fates of the splits.
    std::vector<int> open_rounds(Number number) const;
    std::vector<std::pair<int, FragmentFate>> left(Number number, const FragmentFates& fates);

    const Piece* piece(Route route) const;  // null if the fragment is not open
    // Returns the fragment to be sent now, with its epoch updated from the current map if the shard still
    // holds its keys: a fragment may be sent later than it was cut.
    const Piece* sending(Route route);
    // Index servers that may run the fragment by the current map, without those that are too cold for it.
    std::vector<ServerNumber> eligible_servers(Time now, const Piece& piece) const;

    static std::pair<Key, Key> keys_of(int split, std::uint64_t splits);

    struct Counted {
        std::uint64_t pieces = 0, refused = 0, asked_again = 0, given_up = 0, unmerged = 0, divided = 0,
                      abandoned_rounds = 0;
    };
    const Counted& counted() const { return counted_; }
    std::size_t open() const { return multigets_.size(); }
    std::size_t routes() const { return routes_.size(); }
    std::size_t cold() const { return cold_since_.size(); }  // number of cold replicas

private:
    // A fragment and its state.
    struct TrackedFragment {
        Piece piece;
        // Sent and open; answered; replaced by a repeat; waiting for a map or a repeat; failed.
        enum class State : std::uint8_t {
            kOpen,
            kAnswered,
            kRepeated,
            kWaiting,
            kFailed
        } state = State::kOpen;
        std::string value;
        FragmentFate fate = FragmentFate::kNeverSent;  // by its own round alone
        std::optional<std::size_t> repeats;            // index of the refused fragment whose keys these are
        Time sent_at = 0;                              // when its round began
        Epoch known = 0;                               // kWaiting: epoch known by the server that refused it
        Time refused_at = 0;                           // kWaiting
    };
    struct Multiget {
        GatherRequest asked;
        Time budget_ends = 0;
        std::vector<TrackedFragment> pieces;
        std::map<int, std::vector<Route>> rounds;  // open rounds
        int last_round = -1;
        bool any_pushed_back = false, any_failed = false;  // whether any round ended so
        Time wait = 0;
    };
    // Location of an open fragment.
    struct Place {
        Number number = 0;
        std::size_t piece = 0;
    };
    // Weight of the answered splits and of those that may still be answered.
    struct SplitWeights {
        double in = 0, may_come = 0;
    };

    std::vector<Piece> cut(const Multiget& multiget, std::size_t split, Key first, Key last,
                           double weight) const;
    Route new_route();
    void send_round(Time now, Number number, Multiget& multiget, std::vector<TrackedFragment> fragments);
    void ask_again(Time now, Number number, Multiget& multiget);
    Epoch epoch_now(const Piece& piece) const;
    void mark_cold(Time now, const ShardMap& older);
    bool may_receive(Time now, const Piece& piece, ServerNumber box) const;
    bool map_can_locate(const TrackedFragment& held) const;
    bool within_repeat_budget(Time now, std::size_t pieces);
    void refresh_fates(Number number, Multiget& multiget);
    // Until when the keys of a refused fragment may be sent again.
    Time repeat_until(const Multiget& multiget, const TrackedFragment& fragment) const;
    SplitWeights weights_of(const Multiget& multiget) const;
    void end_if_decided(Time now, Number number);
    void end(Number number, Multiget& multiget);
    // Sets the fates of an open round's fragments; those that are not named were never sent.
    void set_fates(Multiget& multiget, const std::vector<Route>& round, const FragmentFates& fates);
    void abandon_open_rounds(Number number, Multiget& multiget);
    // The fate of the fragment's keys over all rounds in which they were sent.
    static FragmentFate fate_over_rounds(const Multiget& multiget, const TrackedFragment& fragment);
    std::vector<std::pair<int, FragmentFate>> fates_of(const Multiget& multiget) const;
    const GatheredOpType& type_of(const Multiget& multiget) const {
        return config_.op_types[static_cast<std::size_t>(multiget.asked.op_type)];
    }

    const GathererConfig config_;
    const OpenRoundFates open_round_fates_;
    std::shared_ptr<const ShardMap> map_;
    std::map<Number, Multiget> multigets_;
    std::map<Route, Place> routes_;
    Route last_route_ = 0;
    std::map<std::pair<ShardId, ServerNumber>, Time> cold_since_;  // cold replicas that are in the map
    // Number of fragments sent for the first time and repeatedly at one time.
    struct Sent {
        Time at = 0;
        std::size_t taken = 0, again = 0;
    };
    std::deque<Sent> send_history_;  // within the look-back window of the budget
    Counted counted_;
    Actions actions_;
};

}  // namespace pinedoor::placement
