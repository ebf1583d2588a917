// Slow start: how many parts an index server that has begun a short while ago may be sent. Guards it against
// being pushed over: it may be sent nine tenths of the stated multiple, at its least warmth by now, of what
// servers are seen to bear of this node's parts, or of its even share of what one core bears. Room gathers
// with time, up to half a span's, so that no burst spends the allowance at once.
#pragma once

#include "policy/messages.hpp"

namespace pinedoor::policy {

class SlowStart {
public:
    SlowStart(ColdTerms config, int front_nodes) : config_(config), front_nodes_(front_nodes) {}

    // Room: the share of one part that it has at once. Spread at random, else all front nodes, told of a
    // start at once, would send their first part at once.
    void begin(Time started_at, Time now, double slots);
    bool is_on(Time now) const { return started_at_ > 0 && now < started_at_ + config_.warm_after; }
    Time started_at() const {
        return started_at_;
    }  // as told, or as guessed from refused connections; 0: never

    // What others are told to send, of what all even shares make together.
    void set_others_rate(double parts) { others_rate_ = parts; }
    // With the pace of all servers' answers. The room is that of this moment.
    void accrue(Time now, const AnswerStats& stats);
    void on_sent();
    int free_slots() const;
    Time next_slot_at() const { return next_slot_at_; }  // 0: there is some
    std::uint64_t parts_sent() const { return parts_sent_; }

private:
    const ColdTerms config_;
    const int front_nodes_;
    Time started_at_ = 0;
    double slots_ = 0;
    Time accrued_to_ = 0;
    Time next_slot_at_ = 0;
    std::uint64_t parts_sent_ = 0;
    double others_rate_ = 0;
};

}  // namespace pinedoor::policy
