// libpq, loaded at run time and only if a PostgreSQL store is configured: together with its dependencies it
// would double the resident size of a front node that does not use it.
#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

#include "store/sql.hpp"

namespace pinedoor::store {

class LibPq {
public:
    LibPq();  // throws SqlError if libpq is not installed
    ~LibPq();
    LibPq(const LibPq&) = delete;
    LibPq& operator=(const LibPq&) = delete;

    decltype(&PQconnectStart) connect_start;
    decltype(&PQconnectPoll) connect_poll;
    decltype(&PQconnectdb) connect_db;
    decltype(&PQfinish) finish;
    decltype(&PQstatus) status;
    decltype(&PQsocket) socket;
    decltype(&PQsetnonblocking) set_nonblocking;
    decltype(&PQenterPipelineMode) enter_pipeline;
    decltype(&PQpipelineSync) pipeline_sync;
    decltype(&PQsendPrepare) send_prepare;
    decltype(&PQsendQueryPrepared) send_prepared;
    decltype(&PQexecParams) exec_params;
    decltype(&PQflush) flush;
    decltype(&PQconsumeInput) consume_input;
    decltype(&PQisBusy) is_busy;
    decltype(&PQgetResult) get_result;
    decltype(&PQresultStatus) result_status;
    decltype(&PQresultErrorField) error_field;
    decltype(&PQerrorMessage) error_message;
    decltype(&PQntuples) row_count;
    decltype(&PQnfields) column_count;
    decltype(&PQftype) column_type;
    decltype(&PQgetvalue) value;
    decltype(&PQgetlength) length;
    decltype(&PQgetisnull) is_null;
    decltype(&PQclear) clear;
    decltype(&PQconninfoParse) parse_conninfo;
    decltype(&PQconninfoFree) free_conninfo;
    decltype(&PQfreemem) free_memory;

private:
    void* library_ = nullptr;
};

class PqResult {
public:
    PqResult(const LibPq& pq, PGresult* result) : pq_(pq), result_(result) {}
    ~PqResult() { pq_.clear(result_); }
    PqResult(const PqResult&) = delete;
    PqResult& operator=(const PqResult&) = delete;

    ExecStatusType status() const { return pq_.result_status(result_); }
    std::string sqlstate() const;  // SQLSTATE of an error
    std::string message() const;
    std::vector<Row> read_rows() const;

private:
    const LibPq& pq_;
    PGresult* result_;
};

// Values in the form that libpq takes: texts, with the type of each.
class PqParameters {
public:
    explicit PqParameters(const std::vector<Value>& values);
    int count() const { return static_cast<int>(texts_.size()); }
    const Oid* types() const { return types_.data(); }
    const char* const* values() const { return pointers_.data(); }
    const int* lengths() const { return nullptr; }

private:
    std::vector<std::string> texts_;
    std::vector<Oid> types_;
    std::vector<const char*> pointers_;
};

SqlError::Kind sqlstate_kind(const std::string& sqlstate);

// A blocking connection for the command line. Throws SqlError.
class PgDb : public SqlDb {
public:
    explicit PgDb(const std::string& conninfo);
    ~PgDb() override;

    std::vector<Row> run(const std::string& statement, const std::vector<Value>& values = {}) override;
    void begin() override { run("BEGIN"); }
    void commit() override;
    void roll_back() noexcept override;
    std::string kind() const override { return "postgres"; }

private:
    LibPq pq_;
    PGconn* connection_ = nullptr;
};

}  // namespace pinedoor::store
