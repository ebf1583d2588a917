// What a front node takes for the map, out of what discovery tells: late, twice, out of order, with gaps, and
// sometimes wrong. A decider without I/O; times are whole tenths of a millisecond.
//
//   what is told                              | what is done
//   ------------------------------------------+------------------------------------------------------------
//   a whole map, newer, without a fault       | taken
//   a whole map or changes that lead to what  | nothing: it came twice
//   is known already                          |
//   a whole map that is older                 | nothing: what lags. It is counted, and never gone back to
//   a whole map of this version, but unlike   | refused: one of both is wrong, and this one is in use
//   a map with a hole, an overlap, two owners | refused, with the fault in words; the old one stays
//   changes after this version                | taken step by step; one that does not fit refuses them all
//   changes from before it, leading beyond it | those steps that are new are taken
//   changes from beyond it                    | kept aside, and taken once the gap is closed; if that lasts,
//                                             | the whole map is asked for
//
// After whatever was refused the whole map is asked for as well, each time later than the time before.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "placement/map_text.hpp"
#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::placement {

struct FollowTerms {
    Time gap_patience = 1'000;  // what is missing may still be on its way
    Time ask_from = 1'000;      // between two askings for the whole map, doubling
    Time ask_to = 100'000;
    std::size_t most_aside = 64;  // changes kept until their gap is closed
};

class MapFollower {
public:
    explicit MapFollower(FollowTerms terms) : terms_(terms) {}

    enum class Did : std::uint8_t { kTaken, kRepeated, kOlder, kAside, kRefused };
    struct Heard {
        Did did = Did::kRefused;
        std::string why;  // kRefused, kOlder, kAside: in words
    };
    Heard hear(Time now, MapNews news);
    void lost(Time now);  // nothing is heard any more until the whole map is asked for
    // A box has refused a part of this shard with a newer epoch than the map has: the map lags.
    void epoch_seen(Time now, ShardId shard, Epoch epoch);

    // Null until a first map was taken. Whoever holds one keeps it alive; versions share what they can.
    const std::shared_ptr<const ShardMap>& present() const { return present_; }

    // True at most once for each time that the whole map is to be asked for.
    bool wants_whole(Time now);
    Time wake() const { return ask_at_; }  // when wants_whole() may turn true; kNever: not by time alone
    static constexpr Time kNever = INT64_MAX;

    struct Counted {
        std::uint64_t taken = 0, repeated = 0, older = 0, aside = 0, refused = 0, asked_whole = 0;
    };
    const Counted& counted() const { return counted_; }
    std::size_t aside() const { return aside_.size(); }

private:
    Heard count(Did did, std::string why = {});
    Heard take(Time now, WholeMap map);
    Heard take(Time now, MapChanges changes);
    Heard take(Time now, const Unreadable& unreadable);
    std::string follow(const MapChanges& changes);  // what is wrong; empty: taken
    void close_gaps();
    void want_whole(Time at);
    void settled();  // what was heard fits: asking begins at its shortest wait again

    const FollowTerms terms_;
    std::shared_ptr<const ShardMap> present_;
    std::map<Version, MapChanges> aside_;  // by where they start from
    Time ask_at_ = kNever;
    Time asked_at_ = 0;
    Time wait_ = 0;  // 0: the next asking is the first in a row
    Counted counted_;
};

}  // namespace pinedoor::placement
