// A multiget as submitted by a client connection, and its result: plain types, independent of any protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "store/record.hpp"

namespace pinedoor::service {

// A multiget as its client asked for it.
struct MultigetRequest {
    std::string name;  // chosen by the client, unique among its requests
    int op_type = 0;
    int tenant = 0;
    bool repeat = false;
    Time not_after = 0;
    std::string query;               // query, sent with every part
    std::vector<PartArrival> parts;  // the handler assigns their ids
    std::string key;                 // the client's Idempotency-Key; empty: none
    std::string fingerprint;         // with a key: fingerprint of op type and body
    bool tells_parts = false;        // whether the result must contain the fate of each part
};

// How a multiget ended.
struct MultigetResult {
    // The last three come from the store alone: a multiget with the same key was answered, is in progress, or
    // had another body. Nothing was sent.
    enum class Kind {
        kAnswered,
        kPushedBack,
        kFailed,
        kRecorded,
        kUnderWay,
        kOtherBody
    } kind = Kind::kFailed;
    bool whole = false;
    Time wait = 0;  // Retry-After advice with kPushedBack or kUnderWay; 0: none
    std::vector<std::pair<int, std::string>> values;  // shard and value of each answered part
    store::PartOutcomes parts;                        // fate of each part, if requested
    std::string told;  // kRecorded: the body of the answer; else a message for people
};

// Returns the JSON body of an answer.
std::string answer_body(const MultigetResult& ending);

enum class Acceptance { kTaken, kNoRoom, kNameInUse };
using Ticket = std::uint64_t;  // identifies an accepted multiget until its end

struct SubmitResult {
    Acceptance acceptance = Acceptance::kNoRoom;
    Ticket ticket = 0;  // 0: it was not accepted, or has ended already
};

// Accepts requests: the dispatcher, or a layer in front of it that limits, records or divides them. All calls
// are made in the scheduler's thread.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    // Calls `ended` exactly once, possibly before ask() returns, unless leave() is called first.
    virtual SubmitResult ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) = 0;
    // Abandons a multiget. Returns the fates of its parts; empty if it has ended.
    virtual store::PartOutcomes leave(Ticket multiget) = 0;
    // What ask() would return now.
    virtual Acceptance check_acceptance(const std::string& name) const = 0;
};

}  // namespace pinedoor::service
