#include "policy/repeat_guess.hpp"

#include <algorithm>
#include <cstdlib>

namespace pinedoor::policy {
namespace {

// Factor on the expected retries after a request that is none. A decay by time would forget rare retries.
constexpr double kExpectedDecay = 3.0 / 4;
constexpr double kExpectedPerGiveUp = 2;  // retries that are expected for a request that was given up
constexpr Time kToleranceDivisor = 20;  // usual times to the deadline differ by this part of a latency budget

}  // namespace

// Where clients do not mark retries, no more requests are taken for retries than can follow from requests
// that were given up. Otherwise impatient clients with shorter timeouts would be taken for retries and pushed
// back for ever.
bool RepeatGuess::is_retry(const MultigetArrival& arrival, const OpType& type, Time now) {
    auto& history = history_.at(static_cast<std::size_t>(arrival.op_type));
    const Time span = arrival.not_after - now;
    const bool usual = std::abs(span - history.usual_span) <= type.latency_budget / kToleranceDivisor;
    history.confidence += usual ? 1 : -1;
    if (history.confidence < 0) history = {span, 1, history.expected_retries};  // follows the majority
    if (usual) history.expected_retries *= kExpectedDecay;
    const bool retry = !usual && (clients_mark_retries_ ? arrival.repeat : history.expected_retries >= 1);
    if (retry) history.expected_retries -= 1;
    return retry;
}

void RepeatGuess::on_given_up(int op_type) {
    history_.at(static_cast<std::size_t>(op_type)).expected_retries += kExpectedPerGiveUp;
}

}  // namespace pinedoor::policy
