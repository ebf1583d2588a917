#include "store/pg_backend.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "net/socket.hpp"

namespace pinedoor::store {
namespace {

// One write, one maintenance, one deregistration, and steps of opening.
constexpr std::size_t kMaxQueuedRequests = 8;
constexpr int kMaxPreparedStatements = 64;

bool is_numeric(std::string_view host) {
    // The host may be a list; check each one.
    while (!host.empty()) {
        const std::string address_text(host.substr(0, host.find(',')));
        host.remove_prefix(std::min(host.size(), address_text.size() + 1));
        std::array<unsigned char, 16> parsed{};
        if (!address_text.starts_with('/') && inet_pton(AF_INET, address_text.c_str(), parsed.data()) != 1 &&
            inet_pton(AF_INET6, address_text.c_str(), parsed.data()) != 1) {
            return false;
        }
    }
    return true;
}

void require_numeric_host(const LibPq& pq, const std::string& conninfo) {
    char* parse_error = nullptr;
    auto* const options = pq.parse_conninfo(conninfo.c_str(), &parse_error);
    if (options == nullptr) {
        const std::string text = parse_error == nullptr ? "out of memory" : parse_error;
        if (parse_error != nullptr) pq.free_memory(parse_error);
        throw SqlError(SqlError::Kind::kUnavailable,
                       "store.postgres.conninfo: " + text.substr(0, text.find('\n')));
    }
    std::string host, address;
    for (auto* option = options; option->keyword != nullptr; ++option) {
        if (option->val == nullptr) continue;
        if (std::strcmp(option->keyword, "host") == 0) host = option->val;
        if (std::strcmp(option->keyword, "hostaddr") == 0) address = option->val;
    }
    pq.free_conninfo(options);
    if (address.empty() && !is_numeric(host)) {
        throw SqlError(SqlError::Kind::kUnavailable,
                       "store.postgres.conninfo: host '" + host +
                           "' is a name, and resolving it would block the front node; add hostaddr");
    }
}

}  // namespace

PgBackend::PgBackend(net::Scheduler& scheduler, PostgresConfig config, Time lease)
    : scheduler_(scheduler), config_(std::move(config)), lease_(lease),
      connection_(nullptr, ConnectionCloser{&pq_}) {
    require_numeric_host(pq_, config_.conninfo);
}

PgBackend::~PgBackend() = default;

std::string PgBackend::connection_error() const {
    std::string text = connection_ ? pq_.error_message(connection_.get()) : "";
    text.resize(text.find_last_not_of('\n') + 1);
    for (char& c : text) {
        if (c == '\n') c = ' ';
    }
    return text.empty() ? "the connection was lost" : text;
}

void PgBackend::close_connection() {
    connected_ = false;
    prepared_.clear();
    socket_waiter_.reset();
    connection_.reset();
    // Pending requests get the result "unknown". One that was not sent cannot be stored either, which
    // reconciliation finds out.
    for (auto& request : std::exchange(requests_, {})) {
        if (!request.done) continue;
        scheduler_.defer([done = std::move(request.done)] {
            done({QueryResult::Status::kLost, {}, "the connection was lost", {}});
        });
    }
}

std::unique_ptr<net::Waiter> PgBackend::make_waiter() {
    return std::make_unique<net::Waiter>(scheduler_, pq_.socket(connection_.get()));
}

void PgBackend::open(Registration registration, std::function<void(OpenResult)> done) {
    ++generation_;
    task_ = net::Task{};
    close_connection();
    registration_ = std::move(registration);
    on_opened_ = std::move(done);
    task_ = connect_and_serve();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

// The life of one connection: connects, then serves one request after the other until the connection is lost.
net::Task PgBackend::connect_and_serve() {
    const auto connect_deadline = scheduler_.clock() + config_.connect_timeout;
    connection_.reset(pq_.connect_start(config_.conninfo.c_str()));
    std::string error;
    auto polling = PGRES_POLLING_WRITING;
    if (!connection_ || pq_.status(connection_.get()) == CONNECTION_BAD) polling = PGRES_POLLING_FAILED;
    while (polling == PGRES_POLLING_READING || polling == PGRES_POLLING_WRITING) {
        // A new one each time: libpq opens a socket for each address it tries.
        socket_waiter_ = make_waiter();
        const auto interest = polling == PGRES_POLLING_READING ? net::kRead : net::kWrite;
        co_await socket_waiter_->wait(interest, connect_deadline);
        if (scheduler_.now() >= connect_deadline) {
            error = "no connection within the connect timeout";
            break;
        }
        // libpq may close the socket in connect_poll(), so it is removed from epoll first.
        socket_waiter_.reset();
        polling = pq_.connect_poll(connection_.get());
    }
    if (polling != PGRES_POLLING_OK) {
        if (error.empty()) error = connection_error();
        scheduler_.defer([done = std::exchange(on_opened_, nullptr), error] {
            done({false, false, 0, error});
        });
        close_connection();
        co_return;
    }
    pq_.set_nonblocking(connection_.get(), 1);
    pq_.enter_pipeline(connection_.get());
    socket_waiter_ = make_waiter();
    connected_ = true;
    check_schema_and_enroll(registration_, std::exchange(on_opened_, nullptr));
    while (connected_) {
        if (requests_.empty()) {
            // With no request outstanding, only a notice or the end of the connection can arrive.
            co_await socket_waiter_->wait(net::kRead);
            socket_waiter_->used_up(net::kRead);
            const bool readable = net::is_readable(pq_.socket(connection_.get()));
            if (readable && (pq_.consume_input(connection_.get()) == 0 ||
                             pq_.status(connection_.get()) != CONNECTION_OK)) {
                break;
            }
            continue;
        }
        auto request = std::move(requests_.front());
        requests_.pop_front();
        const auto deadline = scheduler_.clock() + config_.statement_timeout;
        QueryResult result;
        result.error = send(request);
        bool finished = !result.error.empty();
        bool lost = finished;
        while (!finished) {
            const int unsent = pq_.flush(connection_.get());
            while (!lost && net::is_readable(pq_.socket(connection_.get())) && !finished) {
                lost = pq_.consume_input(connection_.get()) == 0;
                finished = read_results(result);
            }
            finished = finished || read_results(result);
            if (finished) break;
            lost = lost || unsent < 0 || pq_.status(connection_.get()) != CONNECTION_OK;
            if (lost || scheduler_.now() >= deadline) break;
            socket_waiter_->used_up(net::kRead);
            socket_waiter_->used_up(net::kWrite);
            // Data that arrived after the last read causes no further edge-triggered event, so check again.
            if (net::is_readable(pq_.socket(connection_.get()))) continue;
            co_await socket_waiter_->wait(net::kRead | (unsent > 0 ? unsigned{net::kWrite} : 0U), deadline);
        }
        if (!finished || lost) {
            result.status = QueryResult::Status::kLost;
            if (result.error.empty())
                result.error = lost ? connection_error() : "no answer within the statement timeout";
            connected_ = false;
        }
        request.done(std::move(result));
    }
    scheduler_.defer([this, generation = generation_] {
        if (generation == generation_ && on_lost_) on_lost_();
    });
    close_connection();
}

std::string PgBackend::send(const Request& request) {
    result_expected_.clear();
    results_seen_ = 0;
    auto* const connection = connection_.get();
    std::vector<Statement> statements;
    if (request.transaction) statements.push_back({"BEGIN", {}});
    statements.insert(statements.end(), request.statements.begin(), request.statements.end());
    if (request.transaction) statements.push_back({"COMMIT", {}});
    for (std::size_t i = 0; i < statements.size(); ++i) {
        const auto& [text, values] = statements[i];
        const PqParameters parameters(values);
        auto& name = prepared_[text];
        if (name.empty()) {
            if (prepared_.size() > kMaxPreparedStatements)
                return "too many statements";  // the set of statements is small and fixed
            name = "s" + std::to_string(++last_statement_number_);
            if (pq_.send_prepare(connection, name.c_str(), text, parameters.count(), parameters.types()) == 0)
                return connection_error();
            result_expected_.push_back(false);
        }
        if (pq_.send_prepared(connection, name.c_str(), parameters.count(), parameters.values(), nullptr,
                              nullptr, 0) == 0)
            return connection_error();
        result_expected_.push_back(!request.transaction || (i > 0 && i + 1 < statements.size()));
    }
    return pq_.pipeline_sync(connection) == 0 ? connection_error() : "";
}

bool PgBackend::read_results(QueryResult& result) {
    for (bool statement_ended = false; pq_.is_busy(connection_.get()) == 0;) {
        auto* const raw = pq_.get_result(connection_.get());
        // Ends the results of one statement; twice in a row: no more results have arrived.
        if (raw == nullptr) {
            if (std::exchange(statement_ended, true)) return false;
            continue;
        }
        statement_ended = false;
        const PqResult pq_result(pq_, raw);
        switch (pq_result.status()) {
            case PGRES_PIPELINE_SYNC:
                if (result.error.empty()) result.status = QueryResult::Status::kOk;
                return true;
            case PGRES_PIPELINE_ABORTED: break;
            case PGRES_TUPLES_OK:
            case PGRES_COMMAND_OK:
                if (results_seen_ < result_expected_.size() && result_expected_[results_seen_])
                    result.rows.push_back(pq_result.read_rows());
                break;
            default:
                if (!result.error.empty()) break;
                result.status = QueryResult::Status::kError;
                result.error_kind = sqlstate_kind(pq_result.sqlstate());
                result.error = pq_result.message();
                // It is unknown which statements of the pipeline were prepared.
                prepared_.clear();
        }
        ++results_seen_;
    }
    return false;
}

void PgBackend::submit(std::vector<Statement> statements, bool transaction,
                       std::function<void(QueryResult)> done) {
    if (!connected_ || requests_.size() >= kMaxQueuedRequests) {
        scheduler_.defer([done = std::move(done), connected = connected_] {
            done({QueryResult::Status::kError,
                  SqlError::Kind::kUnavailable,
                  connected ? "too many requests are queued" : "the store is not open",
                  {}});
        });
        return;
    }
    requests_.push_back({std::move(statements), transaction, std::move(done)});
    socket_waiter_->signal();
}

// --- Opening ---

void PgBackend::check_schema_and_enroll(Registration registration, std::function<void(OpenResult)> done) {
    const auto fail = [this, done](bool schema_error, const std::string& error) {
        scheduler_.defer([done, schema_error, error] { done({false, schema_error, 0, error}); });
    };
    submit({postgres_tables_query()}, false, [this, registration, done, fail](const QueryResult& tables) {
        if (tables.status != QueryResult::Status::kOk) return fail(false, tables.error);
        if (number_of(tables.rows.at(0).at(0).at(0)) == 0) {
            try {
                check_schema(0);
            } catch (const SqlError& error) {
                return fail(true, error.what());
            }
        }
        submit({schema_version_query()}, false, [this, registration, done, fail](const QueryResult& version) {
            if (version.status != QueryResult::Status::kOk) return fail(false, version.error);
            try {
                check_schema(static_cast<int>(number_of(version.rows.at(0).at(0).at(0))));
            } catch (const SqlError& error) {
                return fail(true, error.what());
            }
            enroll(registration, done);
        });
    });
}

void PgBackend::enroll(Registration registration, std::function<void(OpenResult)> done) {
    const auto deliver = [this, done](OpenResult result) {
        scheduler_.defer([done, result] { done(result); });
    };
    submit(enroll_queries(registration), false,
           [this, registration, deliver](const QueryResult& found) mutable {
               if (found.status != QueryResult::Status::kOk) return deliver({false, false, 0, found.error});
               try {
                   registration.incarnation = choose_incarnation(registration, found.rows);
               } catch (const SqlError& error) {
                   return deliver({false, false, 0, error.what()});
               }
               submit(enroll_statements(registration), true,
                      [this, registration, deliver](const QueryResult& enrolled) {
                          if (enrolled.status != QueryResult::Status::kOk)
                              return deliver({false, false, 0, enrolled.error});
                          try {
                              check_enrolled(registration, enrolled.rows.at(1));
                          } catch (const SqlError& error) {
                              return deliver({false, false, 0, error.what()});
                          }
                          registration_ = registration;
                          deliver({true, false, registration.incarnation, {}});
                      });
           });
}

// --- Entries ---

Backend::WriteResult PgBackend::to_written(const QueryResult& result) {
    WriteResult written;
    written.error = result.error;
    written.end = result.status == QueryResult::Status::kOk               ? End::kStored
                  : result.status == QueryResult::Status::kLost           ? End::kUnknown
                  : result.error_kind == SqlError::Kind::kRejectedEntries ? End::kEntriesRejected
                                                                          : End::kRejected;
    return written;
}

void PgBackend::write(Entries entries, std::function<void(WriteResult)> done) {
    std::vector<Statement> statements;
    // Index of each entry's claim query among the results; 0: none.
    std::vector<std::size_t> claims;
    for (const auto& entry : entries) {
        for (auto& statement : write_statements(*entry)) statements.push_back(std::move(statement));
        claims.push_back(0);
        if (!is_keyed_intent(*entry)) continue;
        claims.back() = statements.size();
        statements.push_back(claim_query(std::get<Intent>(*entry), lease_));
    }
    submit(std::move(statements), true,
           [this, entries = std::move(entries), claims = std::move(claims),
            done = std::move(done)](const QueryResult& result) {
               auto written = to_written(result);
               for (std::size_t i = 0; i < entries.size() && written.end == End::kStored; ++i) {
                   written.claims.push_back(
                       claims[i] == 0 ? Claim{}
                                      : read_claim(std::get<Intent>(*entries[i]), result.rows.at(claims[i])));
               }
               // A failed transaction stays open until it is rolled back; nothing of it is stored.
               if (result.status == QueryResult::Status::kError)
                   submit({{"ROLLBACK", {}}}, false, [](const QueryResult&) {});
               scheduler_.defer([done, written = std::move(written)] { done(written); });
           });
}

void PgBackend::reconcile(Entries entries, std::function<void(WriteResult)> done) {
    std::vector<Statement> statements;
    for (const auto& entry : entries) {
        statements.push_back(entry_query(*entry));
        if (!is_keyed_intent(*entry)) continue;
        statements.push_back(claim_query(std::get<Intent>(*entry), lease_));
        statements.push_back(claim_state_query(std::get<Intent>(*entry)));
    }
    submit(std::move(statements), false,
           [this, entries = std::move(entries), done = std::move(done)](const QueryResult& result) {
               auto written = to_written(result);
               // This only queried the store, so after any failure the caller must reconcile again.
               if (written.end != End::kStored) written.end = End::kUnknown;
               std::size_t row = 0;
               for (std::size_t i = 0; i < entries.size() && written.end == End::kStored; ++i) {
                   const auto& entry_rows = result.rows.at(row++);
                   written.present.push_back(!entry_rows.empty() && number_of(entry_rows[0].at(0)) != 0);
                   Claim claim;
                   if (is_keyed_intent(*entries[i])) {
                       if (!written.present.back()) {
                           claim = read_claim(std::get<Intent>(*entries[i]), result.rows.at(row),
                                              result.rows.at(row + 1));
                       }
                       row += 2;
                   }
                   written.claims.push_back(std::move(claim));
               }
               scheduler_.defer([done, written = std::move(written)] { done(written); });
           });
}

void PgBackend::maintain(Time delete_before, std::size_t max_deletes, std::function<void(std::size_t)> done) {
    std::vector<Statement> statements{heartbeat_statement(registration_)};
    if (delete_before > 0) {
        for (auto& statement : prune_statements(delete_before, max_deletes))
            statements.push_back(std::move(statement));
    }
    submit(std::move(statements), true,
           [this, done = std::move(done), delete_before](const QueryResult& result) {
               const bool ok = result.status == QueryResult::Status::kOk;
               if (result.status == QueryResult::Status::kError)
                   submit({{"ROLLBACK", {}}}, false, [](const QueryResult&) {});
               const auto deleted = ok && delete_before > 0 ? result.rows.back().size() : 0;
               scheduler_.defer([done, deleted] { done(deleted); });
           });
}

void PgBackend::deregister(Time, std::function<void()> done) {
    submit({deregister_statement(registration_)}, false,
           [this, done = std::move(done)](const QueryResult&) { scheduler_.defer([done] { done(); }); });
}

}  // namespace pinedoor::store
