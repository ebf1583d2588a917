// Counters of this front node since its start.
#pragma once

#include <array>
#include <cassert>
#include <cstdint>
#include <string>
#include <string_view>

namespace pinedoor::service {

// Named after the counters that `/counters` prints.
enum class Count : std::size_t {
    kTaken,
    kAnsweredWhole,
    kAnsweredInPart,
    kPushedBack,
    kNoRoom,
    kFailed,
    kClientsGone,
    kBadRequests,
    kNamesRepeated,
    kRequestsWithoutMemory,
    kRequestsTooFarAhead,
    kRequestsOfGoneClients,
    kClientsEvicted,
    kClientsEvictedForMemory,
    kClientsYielded,
    kSends,
    kReturned,
    kError,
    kFull,
    kTimedOut,
    kNoConnection,
    kReset,
    kCancelled,
    kNeverSent,
    kCalls,
    kCallOffs,
    kLateResults,
    kBadFrames,
    kValuesRefused,
    kOpened,
    kReused,
    kClosedIdle,
    kClosedDoubted,
    kClosedByServer,
    kClosedRestarted,
    kClosedBadFrame,
    kClosedStalled,
    kClosedForMemory,
    kConnectFailed,
    kListNews,
    kListFailures,
    kListEntriesRefused,
    kListServersWithoutRoom,
    kReloads,
    kReloadFaults,
    kClientsAccepted,
    kAcceptFailures,
    kTurns,
    kTasksThrew,
    kInvariantsBroken,
    kLogLinesSuppressed,
    kEnd
};

// The counter's name in `/counters`.
std::string_view name_of(Count count);

class Counters {
public:
    void add(Count which, std::uint64_t by = 1) { values_[static_cast<std::size_t>(which)] += by; }
    std::uint64_t of(Count which) const { return values_[static_cast<std::size_t>(which)]; }
    std::string print() const;  // one line per counter: name, blank, value

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Count::kEnd)> values_{};
};

// Checks an invariant: asserts in debug builds, counts violations in release builds.
inline bool check_invariant(bool holds, Counters& counters) {
    assert(holds);
    if (!holds) counters.add(Count::kInvariantsBroken);
    return holds;
}

// Appends a line of `/counters`.
void append_line(std::string& out, std::string_view name, std::uint64_t value);

}  // namespace pinedoor::service
