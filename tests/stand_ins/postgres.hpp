// A stand-in for a PostgreSQL server, from its published protocol, version 3.0 (the documentation's part
// "Frontend/Backend Protocol"): start-up, SCRAM-SHA-256 (RFC 5802, RFC 7677), simple and extended query with
// pipelining, errors that skip to the next Sync, cancel requests, TLS by SSLRequest. It keeps its rows in a
// SQLite file, so what it tells is what it holds; a transaction is one of SQLite's. Only the SQL that both
// share is understood.
//
// Faults are told to it while it runs, each by its name; it counts what it did.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "net/socket.hpp"
#include "store/sqlite_db.hpp"

namespace pinedoor::test {

class PostgresStandIn {
public:
    // `file`: where its rows are; they outlive it, as a server's outlive a restart.
    explicit PostgresStandIn(std::string file, std::string password = "turnout");
    ~PostgresStandIn();

    std::string conninfo() const;  // with user and password
    // From now on connections must be TLS's, with a certificate of its own for the name records.test, which
    // is written to `certificate_file`.
    void require_tls(const std::string& certificate_file);
    std::uint16_t port() const { return port_; }

    // Faults. A number: at so many more times that it comes to that, counting down, 0: never.
    std::atomic<int> die_before_commit = 0;        // the connection breaks, nothing is in
    std::atomic<int> die_after_commit = 0;         // it is in, and no word of it comes
    std::atomic<int> die_at_execute = 0;           // at the n-th Execute message from now
    std::atomic<int> fail_commit = 0;              // an error of the server's, nothing is in
    std::atomic<bool> stall_commits = false;       // they wait, and go in when this ends
    std::atomic<bool> refuse_connections = false;  // new connections are closed at once
    std::atomic<bool> send_byte_by_byte = false;   // what it says comes byte by byte
    void kill_connections();                       // all connections break; what is not committed is gone

    std::atomic<int> connections = 0, tls_connections = 0, commits = 0, wrong_passwords = 0, cancels = 0,
                     errors = 0;

private:
    struct Session;

    void accept_connections();

    struct Tls;

    const std::string file_;
    const std::string password_;
    std::unique_ptr<Tls> tls_;  // set before any connection
    net::Fd listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::list<std::unique_ptr<Session>> sessions_;
    std::thread thread_;
};

}  // namespace pinedoor::test
