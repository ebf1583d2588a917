#include "policy/repeat_guess.hpp"

#include <algorithm>
#include <cstdlib>

namespace pinedoor::policy {
namespace {

constexpr double kExpectedDecay =
    3.0 / 4;  // of the repeats, after one that is none: by time, rare ones were forgotten
constexpr double kExpectedPerGiveUp = 2;  // repeats, for a request that was given up
constexpr Time kToleranceDivisor = 20;    // a latency budget's part by which usual times differ

}  // namespace

// Where repeats are not marked, no more are guessed than follow from what was given up: else clients that
// grow impatient would be taken for repeats and pushed back, for ever.
bool RepeatGuess::is_retry(const MultigetArrival& arrival, const OpType& type, Time now) {
    auto& history = history_.at(static_cast<std::size_t>(arrival.op_type));
    const Time span = arrival.not_after - now;
    const bool usual = std::abs(span - history.usual_span) <= type.latency_budget / kToleranceDivisor;
    history.confidence += usual ? 1 : -1;
    if (history.confidence < 0) history = {span, 1, history.expected_retries};  // the majority's
    if (usual) history.expected_retries *= kExpectedDecay;
    const bool retry = !usual && (clients_mark_retries_ ? arrival.repeat : history.expected_retries >= 1);
    if (retry) history.expected_retries -= 1;
    return retry;
}

void RepeatGuess::on_given_up(int op_type) {
    history_.at(static_cast<std::size_t>(op_type)).expected_retries += kExpectedPerGiveUp;
}

}  // namespace pinedoor::policy
