// Maintains a front node's current shard map from the updates that discovery sends, which may be delayed,
// repeated, out of order, incomplete or invalid. It does no I/O; times are in tenths of a millisecond.
//
//   update                                       | result
//   ---------------------------------------------+---------------------------------------------------------
//   whole map, newer and valid                   | becomes the current map
//   whole map or changes up to the current or an | ignored as a repetition
//   earlier version                              |
//   whole map, older                             | ignored and counted; the follower never goes back
//   whole map of the current version that        | refused, since one of the two is wrong and the current one
//   differs                                      | is in use
//   map with a gap, an overlap or two owners     | refused with an error message; the current map stays
//   changes from the current version             | applied; one invalid step refuses all of them
//   changes from an earlier to a later version   | the steps that are new are applied
//   changes from a later version                 | set aside and applied once the gap is closed; if it stays
//                                                | open, the whole map is requested
//
// After a refusal the whole map is requested as well, with exponential backoff.
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

struct MapFollowerConfig {
    Time max_gap_wait = 1'000;       // wait for missing changes before the whole map is requested
    Time min_backoff = 1'000;        // first delay between two requests for the whole map; doubles each time
    Time max_backoff = 100'000;      // limit of that delay
    std::size_t max_set_aside = 64;  // limit on sets of changes that are set aside until their gap is closed
};

// Applies map updates and decides when the whole map must be requested.
class MapFollower {
public:
    explicit MapFollower(MapFollowerConfig terms) : config_(terms) {}

    enum class Did : std::uint8_t { kTaken, kRepeated, kOlder, kAside, kRefused };
    struct Heard {
        Did did = Did::kRefused;
        std::string why;  // kRefused, kOlder, kAside: message for the log
    };
    Heard hear(Time now, MapUpdate news);
    void lost(Time now);  // the stream of updates has broken, so the whole map must be requested
    // An index server has refused a part of this shard with this epoch. If it is newer than the map's, the
    // map is outdated and the whole map is requested.
    void on_epoch_seen(Time now, ShardId shard, Epoch epoch);

    // The current map; null until a first map has been accepted.
    const std::shared_ptr<const ShardMap>& present() const { return current_; }

    // Whether the whole map must be requested now. A true result counts as the request.
    bool should_request_map(Time now);
    // Next time that should_request_map() can be true; kNever if none is set.
    Time wake() const { return request_at_; }
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
    std::string apply(const MapChanges& changes);  // returns an error message, empty if applied
    void close_gaps();
    void schedule_request(Time at);
    void reset_backoff();  // after a valid update

    const MapFollowerConfig config_;
    std::shared_ptr<const ShardMap> current_;
    std::map<Version, MapChanges> aside_;  // by MapChanges::after
    Time request_at_ = kNever;
    Time requested_at_ = 0;
    Time backoff_ = 0;  // current backoff; 0: the next request is the first
    Counted counted_;
};

}  // namespace pinedoor::placement
