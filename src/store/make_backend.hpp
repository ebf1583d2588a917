// Creates the database access for the configured kind of store.
#pragma once

#include <memory>

#include "net/scheduler.hpp"
#include "store/backend.hpp"
#include "store/terms.hpp"

namespace pinedoor::store {

std::unique_ptr<Backend> make_backend(net::Scheduler& scheduler, const StoreConfig& terms);
std::unique_ptr<SqlDb> open_db(const StoreConfig& terms);  // for the command line; throws SqlError

}  // namespace pinedoor::store
