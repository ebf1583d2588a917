// The results of a run, by client kind.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/world/sketch.hpp"
#include "logic.hpp"

namespace pinedoor::lab {

// How a request ended: kLeft means that the client disconnected, kLost that it got no answer in time.
enum class How { kAnswered, kPushedBack, kFailed, kLeft, kLost };

// The counters of a run.
struct Totals {
    struct ClientTotals {
        std::string name;
        // Each request counts once, with the outcome of its last try; `tries` counts every try.
        std::uint64_t asked = 0, tries = 0, whole = 0, in_part = 0, late = 0, pushed_back = 0, failed = 0,
                      left = 0, lost = 0;
        double earned = 0, possible = 0;  // sums of importance
        QuantileSketch ms{0.01};          // latency from the first try to the answer, in ms

        // Records the final outcome of a request: its latency since the first try, in ticks, and the total
        // weight of the parts that returned.
        void note(const OpType& type, How end, bool is_whole, double returned_weight, Time latency) {
            switch (end) {
                case How::kAnswered: {
                    const bool is_late = latency > type.latency_budget;
                    late += is_late ? 1U : 0U;
                    ++(is_whole ? whole : in_part);
                    ms.add(static_cast<double>(latency) / 10);
                    earned += type.importance * (is_whole ? 1 : type.partial_importance * returned_weight) *
                              (is_late ? type.late_importance : 1);
                    break;
                }
                case How::kPushedBack: ++pushed_back; break;
                case How::kFailed: ++failed; break;
                case How::kLeft: ++left; break;
                case How::kLost: ++lost; break;
            }
        }
    };
    std::vector<ClientTotals> clients;
    std::uint64_t sends = 0, events = 0, run = 0, run_twice = 0, node_kills = 0;
    std::uint64_t turns = 0;
    double turns_seconds = 0;  // real time spent in the decision module, not simulated time
    // Earned importance as a fraction of the possible, 0 to 1.
    double service() const {
        double earned = 0, possible = 0;
        for (const auto& each : clients) {
            earned += each.earned;
            possible += each.possible;
        }
        return possible > 0 ? earned / possible : 0;
    }
    // The number of violations: requests that never ended, and non-retriable parts that ran twice.
    std::uint64_t broken() const {
        std::uint64_t sum = run_twice;
        for (const auto& each : clients) sum += each.lost;
        return sum;
    }
    std::string to_json() const;
};

}  // namespace pinedoor::lab
