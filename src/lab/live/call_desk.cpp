#include "lab/live/call_desk.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::lab {

std::size_t CallQueue::ask(int node, std::function<void(bool served)> done) {
    const auto call = calls_.size();
    calls_.push_back({timers_.now(), node, End::kWaiting, 0});
    if (refuse_all_ || (busy_ && waiting_.size() >= static_cast<std::size_t>(terms_.waiting))) {
        end(call, End::kRefused);
        done(false);
        return call;
    }
    if (terms_.per_second <= 0) {
        end(call, End::kServed);
        done(true);
        return call;
    }
    waiting_.push_back({call, std::move(done)});
    max_outstanding_ = std::max(max_outstanding_, waiting_.size() + (busy_ ? 1U : 0U));
    if (terms_.time_out > 0) {
        timers_.run_at(timers_.now() + terms_.time_out, [this, call] {
            const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                            [call](const auto& each) { return each.call == call; });
            if (found == waiting_.end()) return;
            const auto callback = std::move(found->done);
            waiting_.erase(found);
            end(call, End::kTimedOut);
            callback(false);
        });
    }
    if (!busy_) serve_next();
    return call;
}

// A call occupies the server for the full service time, even if its caller disconnects meanwhile.
void CallQueue::serve_next() {
    busy_ = !waiting_.empty();
    if (!busy_) return;
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    const auto service_time = static_cast<net::Moment>(10'000 / terms_.per_second);
    timers_.run_at(timers_.now() + std::max<net::Moment>(1, service_time),
                   [this, next, generation = generation_] {
                       if (generation != generation_) return;
                       if (calls_[next.call].end == End::kWaiting) {
                           end(next.call, End::kServed);
                           next.done(true);
                       }
                       serve_next();
                   });
}

void CallQueue::end(std::size_t call, End result) {
    calls_[call].end = result;
    calls_[call].ended = timers_.now();
}

void CallQueue::leave(std::size_t call) {
    if (calls_[call].end != End::kWaiting) return;
    end(call, End::kGone);
    std::erase_if(waiting_, [call](const auto& each) { return each.call == call; });
}

void CallQueue::clear() {
    ++generation_;
    busy_ = false;
    waiting_.clear();
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        if (calls_[i].end == End::kWaiting) end(i, End::kGone);
    }
}

std::uint64_t CallQueue::count(End result) const {
    return static_cast<std::uint64_t>(std::count_if(
        calls_.begin(), calls_.end(), [result](const auto& each) { return each.end == result; }));
}

std::uint64_t CallQueue::max_calls_within(net::Moment span) const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < calls_.size(); ++last) {  // calls_ is ordered by time
        while (calls_[first].at <= calls_[last].at - span) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

}  // namespace pinedoor::lab
