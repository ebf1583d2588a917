// One answer for each count split, whatever the map does meanwhile. A decider without I/O: it cuts what a
// client asks for into pieces, each the keys of one split that lie in one shard, hands them on as legs, and
// puts the split's value together again by the rule of its op type. Times are whole tenths of a millisecond.
//
// A piece carries the epoch under which it is asked for. A box that does not own it (any more, or yet) says
// so, and that it has never run; then the piece's keys are looked up anew in the next map and asked for in a
// further leg: under the children if the shard was split, under the one shard if it was merged, at its new
// box if it moved. Keys decide what a piece is and the map only where it is, so the pieces of a split cover
// its keys once under whatever versions they were asked for, and nothing counts twice.
//
// A split counts as in only if all of its pieces are, and their values merge. Whole and least shares count by
// the weight that the client gave. Pieces asked for again count as further sends: they have a share of that
// budget to themselves (GatherTerms::further), and the decision module has the rest.
//
// A box that has just come to hold a shard is cold for it, however old its process. Reads go there by a share
// that rises from cold_from to all within warm_after; a piece's number says whether it is among them. Each
// node takes that share of its own reads, so together they keep it, though they share nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "placement/merge_values.hpp"
#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::placement {

struct GatheredType {  // of multigets
    MergeRule merge = MergeRule::kWhole;
    bool readers = false;  // may be run by those that do not own
    double least_share = 1;
    double whole_share = 1;
    Time latency_budget = 0;
};

struct GatherTerms {
    std::vector<GatheredType> op_types;
    std::uint64_t splits = 1;                     // the key space is asked for in so many equal parts
    double further_floor = 0, further_ratio = 0;  // of pieces asked for again, over
    Time further_look_back = 0;                   // 0: no budget is stated
    Time ask_again = 200;     // when the box was behind the map, not the map behind the box
    Time answer_grace = 200;  // before a multiget's end, to send what is known
    int most_legs = 4;
    std::size_t most_pieces = 4096;  // of one multiget at once
    double cold_from = 1;            // of a warm box's reads; 1: no box is cold
    Time warm_after = 0;
};

using Number = std::uint64_t;  // of a multiget
using Route = int;             // names a piece while it is asked for; unique

struct SplitAsked {
    int split = 0;
    double weight = 0;
    std::uint64_t key = 0;  // passed on
    Time cost_hint = 0;     // passed on
};
struct GatherAsked {
    int op_type = 0;
    Time not_after = 0;
    std::vector<SplitAsked> splits;
};

struct Piece {
    Route route = 0;
    std::size_t split = 0;  // place among the splits asked for
    ShardId shard = 0;
    Epoch epoch = 0;
    Key first = 0, last = 0;
    double weight = 0;
    std::vector<BoxId> boxes;  // that may run it
};

enum class PieceFate : char { kNeverSent = 'n', kMayHaveRun = 'm', kRan = 'r' };

struct LegEnd {
    enum class Kind : std::uint8_t { kAnswered, kPushedBack, kFailed } kind = Kind::kFailed;
    Time wait = 0;
    std::vector<std::pair<Route, std::string>> values;
    std::vector<std::pair<Route, PieceFate>> fates;
};

namespace gathering {
struct AskLeg {
    Number number = 0;
    int leg = 0;
    std::vector<Piece> pieces;
};
struct LeaveLeg {
    Number number = 0;
    int leg = 0;
};
struct WantMap {  // a box knows of this epoch
    ShardId shard = 0;
    Epoch epoch = 0;
};
struct Wake {
    Time at = 0;
};
struct End {
    Number number = 0;
    LegEnd::Kind kind = LegEnd::Kind::kFailed;
    bool whole = false;
    Time wait = 0;
    std::vector<std::pair<int, std::string>> values;  // by split
    std::vector<std::pair<int, PieceFate>> fates;     // by split
};
using Action = std::variant<AskLeg, LeaveLeg, WantMap, Wake, End>;
}  // namespace gathering

class Gatherer {
public:
    explicit Gatherer(GatherTerms terms) : terms_(std::move(terms)) {}
    using Actions = std::vector<gathering::Action>;

    Actions map_is(Time now, std::shared_ptr<const ShardMap> map);
    Actions ask(Time now, Number number, GatherAsked asked);
    Actions refused(Time now, Route route, Epoch known);  // by a box, as never run
    Actions leg_ended(Time now, Number number, int leg, LegEnd end);
    Actions tick(Time now);

    // Its client has left. Those of its legs that are open are left by whoever calls; what is known of their
    // pieces is told here, and what is known of the splits returned.
    std::vector<int> open_legs(Number number) const;
    std::vector<std::pair<int, PieceFate>> left(Number number,
                                                const std::vector<std::pair<Route, PieceFate>>& fates);

    const Piece* piece(Route route) const;  // null: it is not asked for any more
    // A piece may be sent later than it was cut: under the shard's epoch by now, if it has the same keys
    // still.
    const Piece* sending(Route route);
    // Who may be asked now: by the present map, and without those that are too cold for this piece.
    std::vector<BoxId> boxes_now(Time now, const Piece& piece) const;

    static std::pair<Key, Key> keys_of(int split, std::uint64_t splits);

    struct Counted {
        std::uint64_t pieces = 0, refused = 0, asked_again = 0, given_up = 0, unmerged = 0, divided = 0;
    };
    const Counted& counted() const { return counted_; }
    std::size_t open() const { return multigets_.size(); }
    std::size_t routes() const { return routes_.size(); }
    std::size_t cold() const { return cold_since_.size(); }  // shards at boxes

private:
    struct Held {  // a piece and what became of it
        Piece piece;
        enum class State : std::uint8_t { kOut, kIn, kAgain, kWaits, kLost } state = State::kOut;
        std::string value;
        PieceFate fate = PieceFate::kNeverSent;
        Epoch known = 0;      // kWaits: by the box that refused it
        Time refused_at = 0;  // likewise
    };
    struct Multiget {
        GatherAsked asked;
        Time budget_ends = 0;
        std::vector<Held> pieces;
        std::map<int, std::vector<Route>> legs;  // open
        int last_leg = -1;
        bool any_pushed_back = false, any_failed = false;  // of its legs
        Time wait = 0;
    };
    struct Place {
        Number number = 0;
        std::size_t piece = 0;
    };
    struct Standing {
        double in = 0, may_come = 0;  // weight of splits
    };

    std::vector<Piece> cut(const Multiget& multiget, std::size_t split, Key first, Key last,
                           double weight) const;
    Route new_route();
    void ask_leg(Number number, Multiget& multiget, std::vector<Piece> pieces);
    void ask_again(Time now, Number number, Multiget& multiget);
    Epoch epoch_now(const Piece& piece) const;
    void note_cold(Time now, const ShardMap& older);
    bool takes(Time now, const Piece& piece, BoxId box) const;
    bool map_knows(const Held& held) const;
    bool may_ask_again(Time now, std::size_t pieces);
    Standing standing(const Multiget& multiget) const;
    void settle(Time now, Number number);
    void end(Number number, Multiget& multiget);
    std::vector<std::pair<int, PieceFate>> fates_of(const Multiget& multiget) const;
    const GatheredType& type_of(const Multiget& multiget) const {
        return terms_.op_types[static_cast<std::size_t>(multiget.asked.op_type)];
    }

    const GatherTerms terms_;
    std::shared_ptr<const ShardMap> map_;
    std::map<Number, Multiget> multigets_;
    std::map<Route, Place> routes_;
    Route last_route_ = 0;
    std::map<std::pair<ShardId, BoxId>, Time> cold_since_;  // until they are warm, or gone from the map
    struct Sent {
        Time at = 0;
        std::size_t taken = 0, again = 0;
    };
    std::deque<Sent> sent_;  // for as long as it counts
    Counted counted_;
    Actions actions_;
};

}  // namespace pinedoor::placement
