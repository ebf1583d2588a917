// The state of one client's HTTP connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/stream.hpp"
#include "parse/http.hpp"
#include "service/input_budgets.hpp"
#include "service/request_handler.hpp"

namespace pinedoor::service {

struct ClientConnection {
    // Allocated for a connection besides its buffers: this object, its coroutine's frame and its places in
    // lists and sets, in bytes.
    static constexpr std::size_t kFixedBytes = 4096;
    // What each connection may hold, whatever the others do: enough for an ordinary request.
    static constexpr std::size_t kAssuredBytes = 3 * kFixedBytes;

    ClientConnection(net::Scheduler& scheduler, net::Fd fd, InputBudgets& budgets, std::uint64_t number_of)
        : number(number_of), stream(scheduler, std::move(fd)), phase_since(scheduler.clock()),
          memory(budgets.clients), unfinished(budgets.unfinished) {}

    // What it holds now, as allocated, in bytes.
    std::size_t held_bytes() const {
        return kFixedBytes + stream.buffer().capacity() + (request ? request->memory() : 0) +
               (skipped_request ? skipped_request->memory() : 0) + multiget_bytes + output_bytes;
    }
    bool has_complete_request() const { return phase == Phase::kBusy || phase == Phase::kWriting; }
    void update_charges() {
        memory.set(held_bytes());
        unfinished.set(has_complete_request() ? 0 : memory.bytes());
    }
    bool has_skipped_requests() const {
        return skipped_request || skipped_requests > 0 || closes_after_skipped;
    }

    const std::uint64_t number;  // unique in this process
    net::Stream stream;
    // kNew: no complete request yet; kIdle: between two requests; kReading: a request is partly read; kBusy:
    // it is worked on; kWriting: its answer is written; kLeaving: the last answer is written.
    enum class Phase { kNew, kIdle, kReading, kBusy, kWriting, kLeaving } phase = Phase::kNew;
    Time phase_since = 0;
    bool close_when_idle = false;  // to be closed when idle
    // To be closed unless a complete request has been read; for memory: also if an answer is being written.
    enum class Eviction { kNone, kForDescriptor, kForMemory } eviction = Eviction::kNone;
    Time share_ends = 0;  // when it has done its share of work for this turn of the event loop
    // When the first bytes of a pipelined request, behind the open one, were read; 0: none were.
    Time next_arrived_at = 0;

    std::unique_ptr<parse::HttpParser> request;  // the one being read or worked on
    // Requests that came behind an open one and went over the budget are read and not kept: each is answered
    // 503 after the open one.
    std::unique_ptr<parse::HttpParser> skipped_request;  // the one that is partly read
    std::uint64_t skipped_requests = 0;                  // complete ones without an answer yet
    bool closes_after_skipped = false;  // the last of them was malformed or asked for a close

    Ticket ticket = 0;  // of the open multiget; 0: none
    std::string multiget_name;
    std::optional<MultigetResult> result;
    std::size_t multiget_bytes = 0;  // that the open multiget takes in this process, at most
    std::size_t output_bytes = 0;    // of the answer being written
    MemoryCharge memory;
    MemoryCharge unfinished;  // the same, while there is no complete request
    net::Task task;           // last member: destroyed first
};

using ClientConnectionList = std::list<std::unique_ptr<ClientConnection>>;

}  // namespace pinedoor::service
