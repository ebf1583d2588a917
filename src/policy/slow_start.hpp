// Slow start: limits the parts that are sent to an index server that has recently started, so that it is not
// overloaded while cold. Slots for parts accrue at nine tenths of the configured overload multiple, scaled by
// the lowest warmth that the server can have by now, of the throughput that warm servers sustain of this
// node's parts, or of this node's share of one core's throughput. They accrue up to half the time in which
// overload brings a server down, so that no burst spends the whole allowance at once.
#pragma once

#include "policy/messages.hpp"

namespace pinedoor::policy {

class SlowStart {
public:
    SlowStart(ColdStartConfig config, int front_nodes) : config_(config), front_nodes_(front_nodes) {}

    // `slots`: the fraction of a slot to start with. It should be random, or all front nodes that learn of
    // the start together would send their first part together.
    void begin(Time started_at, Time now, double slots);
    bool is_on(Time now) const { return started_at_ > 0 && now < started_at_ + config_.warm_after; }
    // When the server started, as reported or as inferred from refused connections. 0: never.
    Time started_at() const { return started_at_; }

    // Sets the rate at which the other front nodes send, in parts per tenth of a millisecond. It is
    // subtracted from what the whole fleet may send.
    void set_others_rate(double parts) { others_rate_ = parts; }
    // Accrues slots up to `now`, given the statistics of all servers' answers.
    void accrue(Time now, const AnswerStats& stats);
    void on_sent();
    int free_slots() const;
    Time next_slot_at() const { return next_slot_at_; }  // 0: a slot is free
    std::uint64_t parts_sent() const { return parts_sent_; }

private:
    const ColdStartConfig config_;
    const int front_nodes_;
    Time started_at_ = 0;
    double slots_ = 0;
    Time accrued_to_ = 0;
    Time next_slot_at_ = 0;
    std::uint64_t parts_sent_ = 0;
    double others_rate_ = 0;
};

}  // namespace pinedoor::policy
