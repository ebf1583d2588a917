// Which client connections make room when descriptors run out.
#pragma once

#include <cstddef>
#include <vector>

#include "service/client_connection.hpp"

namespace pinedoor::service {

// The connection whose descriptor is freed first, or null. `first_request_time`: time in which the first
// request usually arrives on a new connection. `capacity`: the most connections.
ClientConnection* pick_for_descriptor(const ClientConnectionList& connections, Time now,
                                      Time first_request_time, std::size_t capacity);

}  // namespace pinedoor::service
