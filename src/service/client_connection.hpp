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
#include "service/request_handler.hpp"

namespace pinedoor::service {

struct ClientConnection {
    ClientConnection(net::Scheduler& scheduler, net::Fd fd, std::uint64_t number_of)
        : number(number_of), stream(scheduler, std::move(fd)), phase_since(scheduler.now()) {}

    const std::uint64_t number;  // unique in this process
    net::Stream stream;
    // kNew: no complete request yet; kIdle: between two requests; kReading: a request is partly read; kBusy:
    // it is worked on; kWriting: its answer is written; kLeaving: the last answer is written.
    enum class Phase { kNew, kIdle, kReading, kBusy, kWriting, kLeaving } phase = Phase::kNew;
    Time phase_since = 0;
    bool close_when_idle = false;  // to be closed when idle
    bool evicted = false;          // to be closed unless a complete request has been read
    Time share_ends = 0;           // when it has done its share of work for this turn of the event loop
    // When the first bytes of a pipelined request, behind the open one, were read; 0: none were.
    Time next_arrived_at = 0;

    std::unique_ptr<parse::HttpParser> request;  // the one being read or worked on
    Ticket ticket = 0;                           // of the open multiget; 0: none
    std::optional<MultigetResult> result;
    net::Task task;  // last member: destroyed first
};

using ClientConnectionList = std::list<std::unique_ptr<ClientConnection>>;

}  // namespace pinedoor::service
