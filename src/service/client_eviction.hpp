// Which client connections make room when descriptors or memory run out.
#pragma once

#include <cstddef>
#include <vector>

#include "service/client_connection.hpp"

namespace pinedoor::service {

// The connection whose descriptor is freed first, or null. `first_request_time`: time in which the first
// request usually arrives on a new connection. `capacity`: the most connections.
ClientConnection* pick_for_descriptor(const ClientConnectionList& connections, Time now,
                                      Time first_request_time, std::size_t capacity);

// The charge of a connection to one of the budgets: `memory` or `unfinished`.
using ChargeOfConnection = MemoryCharge ClientConnection::*;

// The connections that give back at least `bytes` of this charge together, those first that held most for
// longest; fewer bytes if no more can be freed.
std::vector<ClientConnection*> pick_for_memory(const ClientConnectionList& connections, Time now,
                                               ChargeOfConnection charge, std::size_t bytes);

// What evicted connections will give back of this charge, in bytes.
std::size_t bytes_being_freed(const ClientConnectionList& connections, ChargeOfConnection charge);

}  // namespace pinedoor::service
