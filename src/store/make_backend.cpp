#include "store/make_backend.hpp"

#include <filesystem>

#include "store/pg_backend.hpp"
#include "store/sqlite_backend.hpp"

namespace pinedoor::store {

std::unique_ptr<Backend> make_backend(net::Scheduler& scheduler, const StoreConfig& terms) {
    if (terms.kind == Kind::kPostgres)
        return std::make_unique<PgBackend>(scheduler, terms.postgres, terms.lease);
    return std::make_unique<SqliteBackend>(scheduler, terms.sqlite_path(), terms.lease);
}

std::unique_ptr<SqlDb> open_db(const StoreConfig& terms) {
    if (terms.kind == Kind::kPostgres) return std::make_unique<PgDb>(terms.postgres.conninfo);
    const auto path = terms.sqlite_path();
    std::error_code ignored;
    std::filesystem::create_directories(std::filesystem::path(path).parent_path(), ignored);
    return std::make_unique<SqliteDb>(path);
}

}  // namespace pinedoor::store
