#include "store/pg_backend.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "net/socket.hpp"

namespace pinedoor::store {
namespace {

constexpr std::size_t kMostRequests = 8;  // one write, one tending, one leave, and steps of opening
constexpr int kMostPrepared = 64;

bool is_numeric(std::string_view host) {
    // A list of hosts is as good as each of them.
    while (!host.empty()) {
        const std::string one(host.substr(0, host.find(',')));
        host.remove_prefix(std::min(host.size(), one.size() + 1));
        std::array<unsigned char, 16> address{};
        if (!one.starts_with('/') && inet_pton(AF_INET, one.c_str(), address.data()) != 1 &&
            inet_pton(AF_INET6, one.c_str(), address.data()) != 1) {
            return false;
        }
    }
    return true;
}

void refuse_names(const Pq& pq, const std::string& conninfo) {
    char* why = nullptr;
    auto* const options = pq.parse_conninfo(conninfo.c_str(), &why);
    if (options == nullptr) {
        const std::string text = why == nullptr ? "out of memory" : why;
        if (why != nullptr) pq.free_memory(why);
        throw SqlError(SqlError::Kind::kStore, "store.postgres.conninfo: " + text.substr(0, text.find('\n')));
    }
    std::string host, address;
    for (auto* each = options; each->keyword != nullptr; ++each) {
        if (each->val == nullptr) continue;
        if (std::strcmp(each->keyword, "host") == 0) host = each->val;
        if (std::strcmp(each->keyword, "hostaddr") == 0) address = each->val;
    }
    pq.free_conninfo(options);
    if (address.empty() && !is_numeric(host)) {
        throw SqlError(SqlError::Kind::kStore,
                       "store.postgres.conninfo: host '" + host +
                           "' is a name, whose look-up would stop the front node; add hostaddr");
    }
}

}  // namespace

PgBackend::PgBackend(net::Scheduler& scheduler, PostgresTerms terms, Time lease)
    : scheduler_(scheduler), terms_(std::move(terms)), lease_(lease), connection_(nullptr, Finish{&pq_}) {
    refuse_names(pq_, terms_.conninfo);
}

PgBackend::~PgBackend() = default;

std::string PgBackend::why() const {
    std::string text = connection_ ? pq_.error_message(connection_.get()) : "";
    text.resize(text.find_last_not_of('\n') + 1);
    for (char& c : text) {
        if (c == '\n') c = ' ';
    }
    return text.empty() ? "the connection was lost" : text;
}

void PgBackend::drop() {
    up_ = false;
    prepared_.clear();
    socket_.reset();
    connection_.reset();
    // Whoever still waits is told that the end of it is not known. What was never sent cannot be in, but that
    // it is absent is found by asking.
    for (auto& request : std::exchange(requests_, {})) {
        if (!request.done) continue;
        scheduler_.defer([done = std::move(request.done)] {
            done({Answer::End::kLost, {}, "the connection was lost", {}});
        });
    }
}

std::unique_ptr<net::Waiter> PgBackend::watch() {
    return std::make_unique<net::Waiter>(scheduler_, pq_.socket(connection_.get()));
}

void PgBackend::open(Registration registration, std::function<void(Enrolled)> done) {
    ++generation_;
    task_ = net::Task{};
    drop();
    registration_ = std::move(registration);
    connected_ = std::move(done);
    task_ = connect_and_serve();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

// One connection's life: up, then one request after the other until it is lost.
net::Task PgBackend::connect_and_serve() {
    const auto connect_by = scheduler_.now() + terms_.connect_timeout;
    connection_.reset(pq_.connect_start(terms_.conninfo.c_str()));
    std::string fault;
    auto polling = PGRES_POLLING_WRITING;
    if (!connection_ || pq_.status(connection_.get()) == CONNECTION_BAD) polling = PGRES_POLLING_FAILED;
    while (polling == PGRES_POLLING_READING || polling == PGRES_POLLING_WRITING) {
        socket_ = watch();  // anew each time: each address that is tried has a socket of its own
        const auto interest = polling == PGRES_POLLING_READING ? net::kRead : net::kWrite;
        co_await socket_->wait(interest, connect_by);
        if (scheduler_.now() >= connect_by) {
            fault = "no connection within the connect time-out";
            break;
        }
        socket_.reset();  // libpq may close the socket in here: it is taken off epoll first
        polling = pq_.connect_poll(connection_.get());
    }
    if (polling != PGRES_POLLING_OK) {
        if (fault.empty()) fault = why();
        scheduler_.defer([done = std::exchange(connected_, nullptr), fault] {
            done({false, false, 0, fault});
        });
        drop();
        co_return;
    }
    pq_.set_nonblocking(connection_.get(), 1);
    pq_.enter_pipeline(connection_.get());
    socket_ = watch();
    up_ = true;
    look(registration_, std::exchange(connected_, nullptr));
    while (up_) {
        if (requests_.empty()) {
            // What comes unasked is a notice, or the end.
            co_await socket_->wait(net::kRead);
            socket_->used_up(net::kRead);
            const bool readable = net::is_readable(pq_.socket(connection_.get()));
            if (readable && (pq_.consume_input(connection_.get()) == 0 ||
                             pq_.status(connection_.get()) != CONNECTION_OK)) {
                break;
            }
            continue;
        }
        auto request = std::move(requests_.front());
        requests_.pop_front();
        const auto until = scheduler_.now() + terms_.statement_timeout;
        Answer answer;
        answer.why = send(request);
        bool over = !answer.why.empty();
        bool lost = over;
        while (!over) {
            const int unsent = pq_.flush(connection_.get());
            while (!lost && net::is_readable(pq_.socket(connection_.get())) && !over) {
                lost = pq_.consume_input(connection_.get()) == 0;
                over = take_results(answer);
            }
            over = over || take_results(answer);
            if (over) break;
            lost = lost || unsent < 0 || pq_.status(connection_.get()) != CONNECTION_OK;
            if (lost || scheduler_.now() >= until) break;
            socket_->used_up(net::kRead);
            socket_->used_up(net::kWrite);
            // What came between the look and here has no edge of its own left.
            if (net::is_readable(pq_.socket(connection_.get()))) continue;
            co_await socket_->wait(net::kRead | (unsent > 0 ? unsigned{net::kWrite} : 0U), until);
        }
        if (!over || lost) {
            answer.end = Answer::End::kLost;
            if (answer.why.empty()) answer.why = lost ? why() : "no answer within the statement time-out";
            up_ = false;
        }
        request.done(std::move(answer));
    }
    scheduler_.defer([this, generation = generation_] {
        if (generation == generation_ && lost_) lost_();
    });
    drop();
}

std::string PgBackend::send(const Request& request) {
    awaited_.clear();
    results_ = 0;
    auto* const connection = connection_.get();
    std::vector<Statement> statements;
    if (request.transaction) statements.push_back({"BEGIN", {}});
    statements.insert(statements.end(), request.statements.begin(), request.statements.end());
    if (request.transaction) statements.push_back({"COMMIT", {}});
    for (std::size_t i = 0; i < statements.size(); ++i) {
        const auto& [text, values] = statements[i];
        const PqValues given(values);
        auto& name = prepared_[text];
        if (name.empty()) {
            if (prepared_.size() > kMostPrepared) return "too many statements";  // they are few and fixed
            name = "s" + std::to_string(++last_name_);
            if (pq_.send_prepare(connection, name.c_str(), text, given.count(), given.types()) == 0)
                return why();
            awaited_.push_back(false);
        }
        if (pq_.send_prepared(connection, name.c_str(), given.count(), given.values(), nullptr, nullptr, 0) ==
            0)
            return why();
        awaited_.push_back(!request.transaction || (i > 0 && i + 1 < statements.size()));
    }
    return pq_.pipeline_sync(connection) == 0 ? why() : "";
}

bool PgBackend::take_results(Answer& answer) {
    for (bool ended = false; pq_.is_busy(connection_.get()) == 0;) {
        auto* const raw = pq_.get_result(connection_.get());
        if (raw == nullptr) {  // ends one statement's results; twice in a row: nothing more is there
            if (std::exchange(ended, true)) return false;
            continue;
        }
        ended = false;
        const PqResult result(pq_, raw);
        switch (result.status()) {
            case PGRES_PIPELINE_SYNC:
                if (answer.why.empty()) answer.end = Answer::End::kGood;
                return true;
            case PGRES_PIPELINE_ABORTED: break;
            case PGRES_TUPLES_OK:
            case PGRES_COMMAND_OK:
                if (results_ < awaited_.size() && awaited_[results_]) answer.rows.push_back(result.read());
                break;
            default:
                if (!answer.why.empty()) break;
                answer.end = Answer::End::kError;
                answer.kind = kind_of_state(result.state());
                answer.why = result.why();
                prepared_.clear();  // which of them were made is not known
        }
        ++results_;
    }
    return false;
}

void PgBackend::ask(std::vector<Statement> statements, bool transaction, std::function<void(Answer)> done) {
    if (!up_ || requests_.size() >= kMostRequests) {
        scheduler_.defer([done = std::move(done), up = up_] {
            done({Answer::End::kError,
                  SqlError::Kind::kStore,
                  up ? "too much is asked" : "the store is not open",
                  {}});
        });
        return;
    }
    requests_.push_back({std::move(statements), transaction, std::move(done)});
    socket_->signal();
}

// --- Opening ---

void PgBackend::look(Registration registration, std::function<void(Enrolled)> done) {
    const auto fail = [this, done](bool schema, const std::string& why) {
        scheduler_.defer([done, schema, why] { done({false, schema, 0, why}); });
    };
    ask({postgres_has_tables()}, false, [this, registration, done, fail](const Answer& there) {
        if (there.end != Answer::End::kGood) return fail(false, there.why);
        if (number_of(there.rows.at(0).at(0).at(0)) == 0) {
            try {
                check_schema(0);
            } catch (const SqlError& error) {
                return fail(true, error.what());
            }
        }
        ask({see_schema()}, false, [this, registration, done, fail](const Answer& version) {
            if (version.end != Answer::End::kGood) return fail(false, version.why);
            try {
                check_schema(static_cast<int>(number_of(version.rows.at(0).at(0).at(0))));
            } catch (const SqlError& error) {
                return fail(true, error.what());
            }
            enroll_now(registration, done);
        });
    });
}

void PgBackend::enroll_now(Registration registration, std::function<void(Enrolled)> done) {
    const auto tell = [this, done](Enrolled enrolled) {
        scheduler_.defer([done, enrolled] { done(enrolled); });
    };
    ask(enroll_look(registration), false, [this, registration, tell](const Answer& seen) mutable {
        if (seen.end != Answer::End::kGood) return tell({false, false, 0, seen.why});
        try {
            registration.incarnation = enroll_pick(registration, seen.rows);
        } catch (const SqlError& error) {
            return tell({false, false, 0, error.what()});
        }
        ask(enroll_write(registration), true, [this, registration, tell](const Answer& written) {
            if (written.end != Answer::End::kGood) return tell({false, false, 0, written.why});
            try {
                enroll_check(registration, written.rows.at(1));
            } catch (const SqlError& error) {
                return tell({false, false, 0, error.what()});
            }
            registration_ = registration;
            tell({true, false, registration.incarnation, {}});
        });
    });
}

// --- Entries ---

Backend::Written PgBackend::written_from(const Answer& answer) {
    Written written;
    written.why = answer.why;
    written.end = answer.end == Answer::End::kGood          ? End::kStored
                  : answer.end == Answer::End::kLost        ? End::kUnsure
                  : answer.kind == SqlError::Kind::kEntries ? End::kEntriesAtFault
                                                            : End::kRefused;
    return written;
}

void PgBackend::write(Entries entries, std::function<void(Written)> done) {
    std::vector<Statement> statements;
    std::vector<std::size_t> claims;  // where the claim of each entry stands; 0: none
    for (const auto& entry : entries) {
        for (auto& statement : writing(*entry)) statements.push_back(std::move(statement));
        claims.push_back(0);
        if (!is_keyed_intent(*entry)) continue;
        claims.back() = statements.size();
        statements.push_back(see_claim(std::get<Intent>(*entry), lease_));
    }
    ask(std::move(statements), true,
        [this, entries = std::move(entries), claims = std::move(claims),
         done = std::move(done)](const Answer& answer) {
            auto written = written_from(answer);
            for (std::size_t i = 0; i < entries.size() && written.end == End::kStored; ++i) {
                written.claims.push_back(
                    claims[i] == 0 ? Claim{}
                                   : claim_from(std::get<Intent>(*entries[i]), answer.rows.at(claims[i])));
            }
            // A transaction that failed stands open until it is rolled back; nothing of it is in.
            if (answer.end == Answer::End::kError) ask({{"ROLLBACK", {}}}, false, [](const Answer&) {});
            scheduler_.defer([done, written = std::move(written)] { done(written); });
        });
}

void PgBackend::settle(Entries entries, std::function<void(Written)> done) {
    std::vector<Statement> statements;
    for (const auto& entry : entries) {
        statements.push_back(see_entry(*entry));
        if (!is_keyed_intent(*entry)) continue;
        statements.push_back(see_claim(std::get<Intent>(*entry), lease_));
        statements.push_back(see_state(std::get<Intent>(*entry)));
    }
    ask(std::move(statements), false,
        [this, entries = std::move(entries), done = std::move(done)](const Answer& answer) {
            auto written = written_from(answer);
            // Only asked, nothing written: whatever went wrong, it is to be asked again.
            if (written.end != End::kStored) written.end = End::kUnsure;
            std::size_t at = 0;
            for (std::size_t i = 0; i < entries.size() && written.end == End::kStored; ++i) {
                const auto& there = answer.rows.at(at++);
                written.present.push_back(!there.empty() && number_of(there[0].at(0)) != 0);
                Claim claim;
                if (is_keyed_intent(*entries[i])) {
                    if (!written.present.back()) {
                        claim = claim_from(std::get<Intent>(*entries[i]), answer.rows.at(at),
                                           answer.rows.at(at + 1));
                    }
                    at += 2;
                }
                written.claims.push_back(std::move(claim));
            }
            scheduler_.defer([done, written = std::move(written)] { done(written); });
        });
}

void PgBackend::tend(Time delete_before, std::size_t most, std::function<void(std::size_t)> done) {
    std::vector<Statement> statements{alive(registration_)};
    if (delete_before > 0) {
        for (auto& statement : pruning(delete_before, most)) statements.push_back(std::move(statement));
    }
    ask(std::move(statements), true, [this, done = std::move(done), delete_before](const Answer& answer) {
        const bool good = answer.end == Answer::End::kGood;
        if (answer.end == Answer::End::kError) ask({{"ROLLBACK", {}}}, false, [](const Answer&) {});
        const auto deleted = good && delete_before > 0 ? answer.rows.back().size() : 0;
        scheduler_.defer([done, deleted] { done(deleted); });
    });
}

void PgBackend::leave(Time, std::function<void()> done) {
    ask({ended(registration_)}, false,
        [this, done = std::move(done)](const Answer&) { scheduler_.defer([done] { done(); }); });
}

}  // namespace pinedoor::store
