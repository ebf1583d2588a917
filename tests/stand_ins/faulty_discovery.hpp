// A discovery stand-in that at random, from a seed, refuses calls, does not answer, breaks off or answers
// late, and whose watches can be silenced or ended. It sends heartbeats every 2 s, as the protocol requires.
// Each front node has an address and a random sequence of its own, so a seed gives the same faults however
// calls interleave.
#pragma once

#include <poll.h>

#include <chrono>
#include <list>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace pinedoor::test {

using Clock = std::chrono::steady_clock;

class FaultyDiscovery {
public:
    // The shares of calls with each fault, from 0 to 1, and the delay of calls that are answered or refused.
    struct Manners {
        double refused = 0;     // answered with 503
        double unanswered = 0;  // accepted and never answered
        double broken_off = 0;  // ended in the middle of the list
        std::chrono::milliseconds least_delay{0}, most_delay{0};
        int max_consecutive_faults = 1'000'000;  // bad calls in a row of one front node
    };

    FaultyDiscovery(std::string list, int callers, std::uint32_t seed)
        : callers_(static_cast<std::size_t>(callers)), list_(std::move(list)) {
        for (auto& caller : callers_) caller.generator.seed(seed++ * 7919U);
        thread_ = std::thread([this] { run(); });
    }
    ~FaultyDiscovery() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at(int caller) const { return callers_[static_cast<std::size_t>(caller)].listener.at(); }

    void behave(const Manners& faults) {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }
    // Replaces the list for later calls, and sends it to open watches that are not silenced.
    void change(const std::string& list) {
        const std::lock_guard lock(mutex_);
        list_ = list;
        for (auto& call : calls_) {
            if (call.stage == Stage::kWatching) call.peer.say(chunk(list_));
        }
    }
    void silence_watches() {
        const std::lock_guard lock(mutex_);
        for (auto& call : calls_) {
            if (call.stage == Stage::kWatching) call.stage = Stage::kSilent;
        }
    }
    void end_watches() {
        const std::lock_guard lock(mutex_);
        std::erase_if(calls_, [](const auto& call) { return call.stage == Stage::kWatching; });
    }
    // All calls so far, and those with a fault.
    int calls() const { return call_count_; }
    int faulty_calls() const { return bad_call_count_; }
    // The number of open watches that are not silenced.
    int watching() {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::count_if(calls_.begin(), calls_.end(),
                                              [](const auto& c) { return c.stage == Stage::kWatching; }));
    }

private:
    enum class Stage { kReadingRequest, kDelayed, kWatching, kSilent, kDone };
    enum class Outcome { kServed, kRefused, kUnanswered, kBrokenOff };
    struct Caller {
        Listener listener{64};
        std::mt19937 generator;
        int consecutive_bad = 0;
    };
    struct Call {
        Peer peer;
        Caller* caller = nullptr;
        Stage stage = Stage::kReadingRequest;
        Outcome outcome = Outcome::kServed;
        Clock::time_point due;  // time of its answer, or of the next heartbeat
    };

    Outcome draw_outcome(Caller& caller) const {
        const double value = std::uniform_real_distribution<>(0, 1)(caller.generator);
        if (caller.consecutive_bad >= faults_.max_consecutive_faults) return Outcome::kServed;
        if (value < faults_.refused) return Outcome::kRefused;
        if (value < faults_.refused + faults_.unanswered) return Outcome::kUnanswered;
        if (value < faults_.refused + faults_.unanswered + faults_.broken_off) return Outcome::kBrokenOff;
        return Outcome::kServed;
    }
    void begin(Call& call) {
        ++call_count_;
        auto& caller = *call.caller;
        call.outcome = draw_outcome(caller);
        if (call.outcome != Outcome::kServed) ++bad_call_count_;
        caller.consecutive_bad = call.outcome == Outcome::kServed ? 0 : caller.consecutive_bad + 1;
        const auto spread = (faults_.most_delay - faults_.least_delay).count();
        call.due = Clock::now() + faults_.least_delay +
                   std::chrono::milliseconds(
                       spread > 0 ? caller.generator() % static_cast<std::uint32_t>(spread) : 0);
        call.stage = call.outcome == Outcome::kUnanswered ? Stage::kSilent : Stage::kDelayed;
    }
    void answer(Call& call) {
        call.stage = Stage::kDone;
        if (call.outcome == Outcome::kRefused)
            return call.peer.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        if (call.outcome == Outcome::kBrokenOff)
            return call.peer.say(kStream + chunk(list_.substr(0, list_.size() / 2)));
        call.peer.say(kStream + chunk(list_));
        call.stage = Stage::kWatching;
        call.due = Clock::now() + std::chrono::seconds(2);
    }
    void advance(Call& call, short events) {
        const auto now = Clock::now();
        if (call.stage == Stage::kReadingRequest && events != 0) {
            const bool whole = call.peer.read_to("\r\n\r\n").ends_with("\r\n\r\n");
            return whole ? begin(call) : void(call.stage = Stage::kDone);
        }
        if (events != 0 && call.peer.ended()) call.stage = Stage::kDone;
        if (call.stage == Stage::kDelayed && now >= call.due) answer(call);
        if (call.stage == Stage::kWatching && now >= call.due) {
            call.peer.say(chunk("\n"));
            call.due = now + std::chrono::seconds(2);
        }
    }
    void run() {
        while (!stop_) {
            std::vector<pollfd> polled;
            for (const auto& caller : callers_) polled.push_back({caller.listener.fd(), POLLIN, 0});
            {
                const std::lock_guard lock(mutex_);
                for (const auto& call : calls_) polled.push_back({call.peer.fd(), POLLIN, 0});
            }
            poll(polled.data(), polled.size(), 5);
            const std::lock_guard lock(mutex_);
            for (auto& call : calls_) {
                const auto found = std::find_if(polled.begin(), polled.end(),
                                                [&](const auto& p) { return p.fd == call.peer.fd(); });
                advance(call, found == polled.end() ? short{0} : found->revents);
            }
            std::erase_if(calls_, [](const auto& call) { return call.stage == Stage::kDone; });
            for (std::size_t i = 0; i < callers_.size(); ++i) {
                if (polled[i].revents == 0) continue;
                calls_.push_back(
                    {callers_[i].listener.accept(), &callers_[i], Stage::kReadingRequest, {}, {}});
            }
        }
    }

    std::vector<Caller> callers_;
    std::atomic<bool> stop_ = false;
    std::atomic<int> call_count_ = 0;
    std::atomic<int> bad_call_count_ = 0;
    std::mutex mutex_;
    std::string list_;
    Manners faults_;
    std::list<Call> calls_;
    std::thread thread_;
};

}  // namespace pinedoor::test
