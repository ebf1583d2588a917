// What happens in one run of the soak: limits, clients, abuse and signals, drawn from a seed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pinedoor::lab {

// Times are milliseconds since the start of a run.
using SoakMs = std::int64_t;

// What abusive clients do. The first four stop in the middle of a request and stay; the others send whole
// requests.
enum class Abuse {
    kShortFields,     // heads of very many short fields
    kHalfBody,        // large bodies that stop before their end
    kSlowWriters,     // a byte now and then
    kTrailers,        // chunked bodies whose trailers do not end
    kReadinessFlood,  // GET /up at full speed on one connection each
    kCountersFlood,   // GET /counters at full speed
    kUnsoundFlood,    // malformed requests at full speed, on new connections in series
    kNewNamesFlood,   // multigets of ever new names at full speed
    kManyValues,      // bodies of very many JSON values
    kTinyChunks,      // bodies in chunks of one byte, each with a long extension
    kPipelinedClose,  // many multigets at once, then a close with much unread
    kRepeatedIds,     // a multiget whose client leaves, and that comes again under its id
    kUnreadAnswers,   // requests for large answers that are never read
    kHalfCloses,      // multigets, then the end of the sending side
    kConnects,        // connections in series that send nothing
};
inline constexpr int kAbuseKinds = 15;
std::string_view name_of(Abuse kind);

// Abuse of one kind for a while.
struct AbuseSpell {
    Abuse kind = Abuse::kShortFields;
    int clients = 1;
    SoakMs from = 0;
    SoakMs until = 0;
};

struct PlannedSignal {
    SoakMs at = 0;
    int signal = 0;  // of signal(7); a process that has ended is started again a second later
};

struct SoakPlan {
    std::uint64_t seed = 0;
    SoakMs length = 0;
    int memory_mb = 192;
    int sockets = 1024;
    int ordinary_clients = 8;
    bool crowd = false;  // abusers that stay are as many as the node has descriptors
    std::vector<AbuseSpell> spells;
    std::vector<PlannedSignal> signals;  // by time

    std::string text() const;  // for the report of a run
};

// The same seed and length give the same plan.
SoakPlan draw_soak_plan(std::uint64_t seed, SoakMs length);

// The longest time that a client waits for an answer, and the earliest time of SIGKILL after SIGTERM.
inline constexpr SoakMs kSoakRouteTimeout = 2'000;
inline constexpr SoakMs kSoakKillAfterTerm = kSoakRouteTimeout + 700;

}  // namespace pinedoor::lab
