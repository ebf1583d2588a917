#include "store/pq.hpp"

#include <dlfcn.h>

#include <charconv>

namespace pinedoor::store {
namespace {

using Kind = SqlError::Kind;
constexpr Oid kInt8 = 20;
constexpr Oid kInt2 = 21;
constexpr Oid kInt4 = 23;
constexpr Oid kText = 25;

template <class Function>
void load(void* library, Function& function, const char* name) {
    function = reinterpret_cast<Function>(dlsym(library, name));
    if (function == nullptr) throw SqlError(Kind::kUnavailable, std::string("libpq lacks ") + name);
}

}  // namespace

// RTLD_NODELETE keeps libpq loaded until the process exits, because OpenSSL keeps pointers that libpq
// registered.
LibPq::LibPq() : library_(dlopen("libpq.so.5", RTLD_NOW | RTLD_LOCAL | RTLD_NODELETE)) {
    if (library_ == nullptr) {
        throw SqlError(Kind::kUnavailable, std::string("libpq cannot be loaded (") + dlerror() +
                                               "); install Debian's package libpq5");
    }
    load(library_, connect_start, "PQconnectStart");
    load(library_, connect_poll, "PQconnectPoll");
    load(library_, connect_db, "PQconnectdb");
    load(library_, finish, "PQfinish");
    load(library_, status, "PQstatus");
    load(library_, socket, "PQsocket");
    load(library_, set_nonblocking, "PQsetnonblocking");
    load(library_, enter_pipeline, "PQenterPipelineMode");
    load(library_, pipeline_sync, "PQpipelineSync");
    load(library_, send_prepare, "PQsendPrepare");
    load(library_, send_prepared, "PQsendQueryPrepared");
    load(library_, exec_params, "PQexecParams");
    load(library_, flush, "PQflush");
    load(library_, consume_input, "PQconsumeInput");
    load(library_, is_busy, "PQisBusy");
    load(library_, get_result, "PQgetResult");
    load(library_, result_status, "PQresultStatus");
    load(library_, error_field, "PQresultErrorField");
    load(library_, error_message, "PQerrorMessage");
    load(library_, row_count, "PQntuples");
    load(library_, column_count, "PQnfields");
    load(library_, column_type, "PQftype");
    load(library_, value, "PQgetvalue");
    load(library_, length, "PQgetlength");
    load(library_, is_null, "PQgetisnull");
    load(library_, clear, "PQclear");
    load(library_, parse_conninfo, "PQconninfoParse");
    load(library_, free_conninfo, "PQconninfoFree");
    load(library_, free_memory, "PQfreemem");
}

LibPq::~LibPq() {
    if (library_ != nullptr) dlclose(library_);
}

std::string PqResult::sqlstate() const {
    const char* text = pq_.error_field(result_, PG_DIAG_SQLSTATE);
    return text == nullptr ? "" : text;
}

std::string PqResult::message() const {
    const char* text = pq_.error_field(result_, PG_DIAG_MESSAGE_PRIMARY);
    return text == nullptr ? "an error without a message" : text;
}

std::vector<Row> PqResult::read_rows() const {
    std::vector<Row> out;
    for (int r = 0; r < pq_.row_count(result_); ++r) {
        Row row;
        for (int c = 0; c < pq_.column_count(result_); ++c) {
            if (pq_.is_null(result_, r, c) != 0) {
                row.emplace_back();
                continue;
            }
            const std::string_view text(pq_.value(result_, r, c),
                                        static_cast<std::size_t>(pq_.length(result_, r, c)));
            const auto type = pq_.column_type(result_, c);
            std::int64_t number = 0;
            if ((type == kInt8 || type == kInt4 || type == kInt2) &&
                std::from_chars(text.data(), text.data() + text.size(), number).ec == std::errc{}) {
                row.emplace_back(number);
            } else {
                row.emplace_back(std::string(text));
            }
        }
        out.push_back(std::move(row));
    }
    return out;
}

PqParameters::PqParameters(const std::vector<Value>& values) {
    for (const auto& value : values) {
        texts_.push_back(text_of(value));
        types_.push_back(std::holds_alternative<std::int64_t>(value) ? kInt8 : kText);
    }
    for (std::size_t i = 0; i < values.size(); ++i) {
        const bool is_null = std::holds_alternative<std::monostate>(values[i]);
        pointers_.push_back(is_null ? nullptr : texts_[i].c_str());
    }
}

// Errors of the values are those of classes 22 (data), 23 (integrity) and 54 (limits); all others count as
// errors of the server (PostgreSQL documentation, appendix A).
Kind sqlstate_kind(const std::string& sqlstate) {
    for (const char* prefix : {"22", "23", "54"}) {
        if (sqlstate.starts_with(prefix)) return Kind::kRejectedEntries;
    }
    return Kind::kUnavailable;
}

PgDb::PgDb(const std::string& conninfo) : connection_(pq_.connect_db(conninfo.c_str())) {
    if (pq_.status(connection_) == CONNECTION_OK) return;
    const std::string message = pq_.error_message(connection_);
    pq_.finish(connection_);
    throw SqlError(Kind::kUnavailable,
                   "cannot connect: " + message.substr(0, message.find_last_not_of('\n') + 1));
}

PgDb::~PgDb() { pq_.finish(connection_); }

std::vector<Row> PgDb::run(const std::string& statement, const std::vector<Value>& values) {
    const PqParameters parameters(values);
    const PqResult result(
        pq_, pq_.exec_params(connection_, statement.c_str(), parameters.count(), parameters.types(),
                             parameters.values(), parameters.lengths(), nullptr, 0));
    const auto status = result.status();
    if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK || status == PGRES_EMPTY_QUERY)
        return result.read_rows();
    if (pq_.status(connection_) != CONNECTION_OK)
        throw SqlError(Kind::kCommitUnknown, "the connection was lost");
    throw SqlError(sqlstate_kind(result.sqlstate()), result.message());
}

void PgDb::commit() {
    try {
        run("COMMIT");
    } catch (const SqlError& error) {
        throw SqlError(Kind::kCommitUnknown, error.what());
    }
}

void PgDb::roll_back() noexcept {
    try {
        run("ROLLBACK");
    } catch (const SqlError&) {  // the connection was lost, and the transaction with it
    }
}

}  // namespace pinedoor::store
