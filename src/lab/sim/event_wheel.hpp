// A timing wheel: the event queue of the simulation, ordered by time and, for equal times, by insertion.
//
// Events within the wheel's span have a slot per tick; later ones are in an ordered map. Push and pop take
// constant time while most events are within the span, and slots reuse their memory. An event moves from the
// map to its slot as soon as the span reaches its time, before a push can reach that slot directly, so events
// with equal times stay in order. docs/lab.md compares it with std::priority_queue.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "logic.hpp"

namespace pinedoor::lab {

template <class Value>
class EventWheel {
public:
    EventWheel() : slots_(kSpan), occupied_(kSpan / 64) {}

    // Adds an event; a time in the past counts as now.
    void push(Time time, Value value) {
        time = time < now_ ? now_ : time;
        ++size_;
        if (time >= now_ + kSpan) {
            overflow_[time].push_back(std::move(value));
            return;
        }
        insert(time, std::move(value));
    }
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    Time now() const { return now_; }
    // The time of the next event. The queue must not be empty.
    Time next() const { return near_count_ > 0 ? next_in_wheel() : overflow_.begin()->first; }
    // Removes the next event and advances now() to its time. The queue must not be empty.
    Value pop() {
        const Time time = next();
        if (time != now_) advance(time);
        auto& slot = slots_[slot_index(time)];
        Value value = std::move(slot[consumed_++]);
        --near_count_;
        --size_;
        if (consumed_ == slot.size()) {
            slot.clear();
            consumed_ = 0;
            occupied_[slot_index(time) / 64] &= ~(std::uint64_t{1} << slot_index(time) % 64);
        }
        return value;
    }

private:
    static constexpr Time kSpan = 1 << 14;  // ticks
    static std::size_t slot_index(Time time) {
        return static_cast<std::size_t>(time) & static_cast<std::size_t>(kSpan - 1);
    }

    void insert(Time time, Value value) {
        slots_[slot_index(time)].push_back(std::move(value));
        occupied_[slot_index(time) / 64] |= std::uint64_t{1} << slot_index(time) % 64;
        ++near_count_;
    }
    void advance(Time to) {
        now_ = to;
        while (!overflow_.empty() && overflow_.begin()->first < now_ + kSpan) {
            const auto first = overflow_.begin();
            for (auto& value : first->second) insert(first->first, std::move(value));
            overflow_.erase(first);
        }
    }
    Time next_in_wheel() const {
        const auto from = slot_index(now_);
        auto word = from / 64;
        auto bits = occupied_[word] & (~std::uint64_t{0} << from % 64);
        for (std::size_t seen = 0; bits == 0 && seen <= occupied_.size(); ++seen) {
            word = (word + 1) % occupied_.size();
            bits = occupied_[word];
        }
        const auto time = word * 64 + static_cast<std::size_t>(std::countr_zero(bits));
        return now_ + static_cast<Time>((time + static_cast<std::size_t>(kSpan) - from) %
                                        static_cast<std::size_t>(kSpan));
    }

    std::vector<std::vector<Value>> slots_;
    std::vector<std::uint64_t> occupied_;  // bitmap of the non-empty slots
    std::map<Time, std::vector<Value>> overflow_;
    Time now_ = 0;
    std::size_t consumed_ = 0;  // events already popped from the slot of now()
    std::size_t near_count_ = 0;
    std::size_t size_ = 0;
};

}  // namespace pinedoor::lab
