// A stand-in for a PostgreSQL server, written from the published protocol 3.0 (PostgreSQL documentation,
// "Frontend/Backend Protocol"). It supports start-up, SCRAM-SHA-256 (RFC 5802, RFC 7677), simple and extended
// queries with pipelining, errors that skip to the next Sync, cancel requests, and TLS by SSLRequest. Rows
// are kept in a SQLite file and transactions are SQLite's, so only SQL that both databases share is
// supported.
//
// Tests inject faults through the public members while it runs; counters report what it did.
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
    // `file`: the SQLite file with the rows. It outlives the stand-in, so a new instance acts as a restarted
    // server.
    explicit PostgresStandIn(std::string file, std::string password = "turnout");
    ~PostgresStandIn();

    std::string conninfo() const;  // with user and password
    // Requires TLS for all further connections. Writes its certificate, for the name records.test, to
    // `certificate_file`.
    void require_tls(const std::string& certificate_file);
    std::uint16_t port() const { return port_; }

    // Faults. A number N triggers the fault at the N-th occasion; 0: never.
    std::atomic<int> die_before_commit = 0;        // the connection breaks, nothing is committed
    std::atomic<int> die_after_commit = 0;         // it is committed, but the client gets no reply
    std::atomic<int> die_at_execute = 0;           // at the N-th Execute message
    std::atomic<int> fail_commit = 0;              // the server reports an error, nothing is committed
    std::atomic<bool> stall_commits = false;       // commits wait until this is reset
    std::atomic<bool> refuse_connections = false;  // new connections are closed at once
    std::atomic<bool> send_byte_by_byte = false;   // replies are sent byte by byte
    void kill_connections();                       // breaks all connections; open transactions are lost

    std::atomic<int> connections = 0, tls_connections = 0, commits = 0, wrong_passwords = 0, cancels = 0,
                     errors = 0;

private:
    struct Session;

    void accept_connections();

    struct Tls;

    const std::string file_;
    const std::string password_;
    std::unique_ptr<Tls> tls_;  // set before the first connection
    net::Fd listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::list<std::unique_ptr<Session>> sessions_;
    std::thread thread_;
};

}  // namespace pinedoor::test
