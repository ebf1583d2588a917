#include "stand_ins/postgres.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <vector>

namespace pinedoor::test {
namespace {

using store::Row;
using store::SqlError;
using store::Value;

constexpr std::uint32_t kInt8 = 20;
constexpr std::uint32_t kText = 25;

void put32(std::string& out, std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xffU));
}
void put16(std::string& out, std::uint32_t value) {
    out.push_back(static_cast<char>(value >> 8U & 0xffU));
    out.push_back(static_cast<char>(value & 0xffU));
}

// Decodes the fields of a message; throws if one is missing, which ends the connection.
class MessageReader {
public:
    explicit MessageReader(std::string_view bytes) : rest_(bytes) {}
    std::uint32_t number(std::size_t bytes) {
        std::uint32_t value = 0;
        for (const char c : take_bytes(bytes)) value = value << 8U | static_cast<unsigned char>(c);
        return value;
    }
    std::string text() {
        const auto end = rest_.find('\0');
        if (end == std::string_view::npos) throw std::runtime_error("unterminated string");
        std::string out(rest_.substr(0, end));
        rest_.remove_prefix(end + 1);
        return out;
    }
    std::string_view take_bytes(std::size_t count) {
        if (count > rest_.size()) throw std::runtime_error("message too short");
        const auto out = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return out;
    }
    std::string_view rest() const { return rest_; }

private:
    std::string_view rest_;
};

std::string base64(std::string_view bytes) {
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

std::string unbase64(std::string_view text) {
    std::string out(text.size() / 4 * 3 + 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0) throw std::runtime_error("invalid base64");
    out.resize(static_cast<std::size_t>(size));
    while (text.ends_with('=')) {
        text.remove_suffix(1);
        out.pop_back();
    }
    return out;
}

std::string hmac(std::string_view key, std::string_view text) {
    std::string out(32, '\0');
    unsigned int size = 32;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(out.data()), &size);
    return out;
}

std::string sha256(std::string_view text) {
    std::string out(32, '\0');
    unsigned int size = 32;
    EVP_Digest(text.data(), text.size(), reinterpret_cast<unsigned char*>(out.data()), &size, EVP_sha256(),
               nullptr);
    return out;
}

std::string scram_attribute(std::string_view message, char name) {
    while (!message.empty()) {
        const auto field = message.substr(0, message.find(','));
        if (field.size() >= 2 && field[0] == name && field[1] == '=') return std::string(field.substr(2));
        message.remove_prefix(std::min(message.size(), field.size() + 1));
    }
    throw std::runtime_error(std::string("SCRAM message lacks attribute ") + name);
}

bool fault_due(std::atomic<int>& fault) {
    int left = fault.load();
    while (left > 0 && !fault.compare_exchange_weak(left, left - 1)) {
    }
    return left == 1;
}

}  // namespace

// A self-signed certificate with its key, and the context for TLS sessions.
struct PostgresStandIn::Tls {
    explicit Tls(const std::string& certificate_file)
        : key(EVP_EC_gen("P-256"), EVP_PKEY_free), certificate(X509_new(), X509_free),
          context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free) {
        auto* const x509 = certificate.get();
        X509_set_version(x509, 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509), -3'600);
        X509_gmtime_adj(X509_getm_notAfter(x509), 86'400);
        X509_set_pubkey(x509, key.get());
        auto* const name = X509_get_subject_name(x509);
        const auto* const text = reinterpret_cast<const unsigned char*>("records.test");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(x509, name);
        for (const auto& [kind, value] :
             {std::pair{NID_basic_constraints, "CA:TRUE"}, {NID_subject_alt_name, "DNS:records.test"}}) {
            auto* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
            X509_add_ext(x509, extension, -1);
            X509_EXTENSION_free(extension);
        }
        if (X509_sign(x509, key.get(), EVP_sha256()) == 0 ||
            SSL_CTX_use_certificate(context.get(), x509) != 1 ||
            SSL_CTX_use_PrivateKey(context.get(), key.get()) != 1) {
            std::abort();
        }
        auto* const file = std::fopen(certificate_file.c_str(), "w");
        if (file == nullptr || PEM_write_X509(file, x509) != 1) std::abort();
        std::fclose(file);
    }

    std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key;
    std::unique_ptr<X509, decltype(&X509_free)> certificate;
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context;
};

struct PostgresStandIn::Session {
    Session(PostgresStandIn& server, net::Fd fd) : server_(server), fd_(std::move(fd)) {
        thread_ = std::thread([this] {
            // SIGPIPE is raised by TLS writes after the client has closed the connection.
            sigset_t pipe;
            sigemptyset(&pipe);
            sigaddset(&pipe, SIGPIPE);
            pthread_sigmask(SIG_BLOCK, &pipe, nullptr);
            try {
                run();
            } catch (const std::exception&) {  // ends the connection, as a real server would
            }
            db_.reset();
            shutdown(fd_.get(), SHUT_RDWR);
            done = true;
        });
    }
    ~Session() {
        disconnect();
        thread_.join();
    }
    void disconnect() {
        disconnected_ = true;
        const linger now{1, 0};
        setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(fd_.get(), SHUT_RDWR);
    }
    std::atomic<bool> done = false;

private:
    struct ConnectionBroken : std::runtime_error {
        using std::runtime_error::runtime_error;
    };
    struct Prepared {
        std::string text;
        std::vector<std::uint32_t> types;
    };

    std::string read(std::size_t count) {
        std::string bytes(count, '\0');
        for (std::size_t received = 0; received < count;) {
            const auto count_read =
                tls_ ? SSL_read(tls_.get(), bytes.data() + received, static_cast<int>(count - received))
                     : recv(fd_.get(), bytes.data() + received, count - received, 0);
            if (count_read <= 0) throw ConnectionBroken("the client closed the connection");
            received += static_cast<std::size_t>(count_read);
        }
        return bytes;
    }
    void flush() {
        std::string_view rest = send_buffer_;
        while (!rest.empty()) {
            const auto step = server_.send_byte_by_byte ? 1 : rest.size();
            const auto count = tls_ ? SSL_write(tls_.get(), rest.data(), static_cast<int>(step))
                                    : ::send(fd_.get(), rest.data(), step, MSG_NOSIGNAL);
            if (count <= 0) throw ConnectionBroken("the client closed the connection");
            rest.remove_prefix(static_cast<std::size_t>(count));
        }
        send_buffer_.clear();
    }
    void send_message(char type, const std::string& body) {
        send_buffer_.push_back(type);
        put32(send_buffer_, static_cast<std::uint32_t>(body.size() + 4));
        send_buffer_ += body;
    }
    void send_error(const std::string& state, const std::string& why) {
        ++server_.errors;
        std::string body;
        for (const auto& [field, text] :
             {std::pair{'S', std::string("ERROR")}, {'V', "ERROR"}, {'C', state}, {'M', why}}) {
            body.push_back(field);
            body += text + '\0';
        }
        send_message('E', body + '\0');
        skipping_until_sync_ = true;
        if (transaction_status_ == 'T') transaction_status_ = 'E';
    }
    void send_ready_for_query() {
        send_message('Z', std::string(1, transaction_status_));
        flush();
    }

    bool handle_startup() {
        for (;;) {
            const auto head = read(4);
            const auto size = MessageReader(head).number(4);
            if (size < 8 || size > 10'000) throw ConnectionBroken("invalid startup message");
            const auto body = read(size - 4);
            MessageReader reader(body);
            const auto code = reader.number(4);
            if (code == 80877103 || code == 80877104) {  // SSLRequest, GSSENCRequest
                const bool use_tls = code == 80877103 && server_.tls_;
                send_buffer_ = use_tls ? "S" : "N";
                flush();
                if (!use_tls) continue;
                tls_.reset(SSL_new(server_.tls_->context.get()));
                SSL_set_fd(tls_.get(), fd_.get());
                if (SSL_accept(tls_.get()) != 1) throw ConnectionBroken("TLS handshake failed");
                ++server_.tls_connections;
                continue;
            }
            if (server_.tls_ && !tls_) throw ConnectionBroken("TLS is required");
            if (code == 80877102) {  // CancelRequest
                ++server_.cancels;
                return false;
            }
            if (code != 196608) throw ConnectionBroken("unsupported protocol version");
            return true;
        }
    }
    std::string read_sasl_message() {
        flush();
        const auto head = read(5);
        if (head[0] != 'p') throw ConnectionBroken("expected a password message");
        return read(MessageReader(std::string_view(head).substr(1)).number(4) - 4);
    }
    void authenticate() {
        std::string body;
        put32(body, 10);
        send_message('R', body + std::string("SCRAM-SHA-256\0\0", 15));
        const auto first = read_sasl_message();
        MessageReader reader(first);
        if (reader.text() != "SCRAM-SHA-256") throw ConnectionBroken("unsupported SASL mechanism");
        const std::string client_first(reader.take_bytes(reader.number(4)));
        const auto bare = client_first.substr(client_first.find(",,") + 2);
        const std::string salt = "a salt of sixteen";
        const auto nonce = scram_attribute(bare, 'r') + "pinedoor";
        const auto server_first = "r=" + nonce + ",s=" + base64(salt) + ",i=4096";
        body.clear();
        put32(body, 11);
        send_message('R', body + server_first);
        const auto last = read_sasl_message();
        const auto without_proof = last.substr(0, last.rfind(",p="));
        std::string salted(32, '\0');
        PKCS5_PBKDF2_HMAC(server_.password_.data(), static_cast<int>(server_.password_.size()),
                          reinterpret_cast<const unsigned char*>(salt.data()), static_cast<int>(salt.size()),
                          4096, EVP_sha256(), 32, reinterpret_cast<unsigned char*>(salted.data()));
        const auto message = bare + ',' + server_first + ',' + without_proof;
        const auto client_key = hmac(salted, "Client Key");
        auto proof = hmac(sha256(client_key), message);
        for (std::size_t i = 0; i < proof.size(); ++i) proof[i] = static_cast<char>(proof[i] ^ client_key[i]);
        if (scram_attribute(last, 'r') != nonce || unbase64(scram_attribute(last, 'p')) != proof) {
            ++server_.wrong_passwords;
            send_error("28P01", "password authentication failed");
            flush();
            throw ConnectionBroken("wrong password");
        }
        body.clear();
        put32(body, 12);
        send_message('R', body + "v=" + base64(hmac(hmac(salted, "Server Key"), message)));
        body.clear();
        put32(body, 0);
        send_message('R', body);
    }

    void run() {
        if (!handle_startup()) return;
        authenticate();
        for (const auto& [name, value] : {std::pair<std::string, std::string>{"server_version", "15.0"},
                                          {"client_encoding", "UTF8"},
                                          {"standard_conforming_strings", "on"}}) {
            send_message('S', name + '\0' + value + '\0');
        }
        std::string key;
        put32(key, 4711);
        put32(key, 12345);
        send_message('K', key);
        send_ready_for_query();
        db_ = std::make_unique<store::SqliteDb>(server_.file_);
        for (;;) {
            if (!has_pending_input()) flush();
            const auto head = read(5);
            const auto size = MessageReader(std::string_view(head).substr(1)).number(4);
            if (size < 4 || size > (8U << 20U)) throw ConnectionBroken("invalid message length");
            const auto body = read(size - 4);
            if (head[0] == 'X') return;
            if (head[0] == 'S') {
                skipping_until_sync_ = false;
                if (transaction_status_ == 'I' && in_transaction_) end_transaction("COMMIT");
                send_ready_for_query();
            } else if (!skipping_until_sync_) {
                handle_message(head[0], MessageReader(body));
            }
        }
    }
    bool has_pending_input() const {
        if (tls_ && SSL_pending(tls_.get()) > 0) return true;
        pollfd ready{fd_.get(), POLLIN, 0};
        return poll(&ready, 1, 0) == 1;
    }
    void handle_message(char type, MessageReader reader) {
        try {
            switch (type) {
                case 'P': parse(reader); break;
                case 'B': bind(reader); break;
                case 'D': describe(reader); break;
                case 'E': execute(); break;
                case 'C': send_message('3', ""); break;
                case 'H': flush(); break;
                case 'Q': simple_query(reader.text()); break;
                default: throw ConnectionBroken("unknown message type");
            }
        } catch (const SqlError& error) {
            send_error(error.kind == SqlError::Kind::kRejectedEntries ? "23000" : "XX000", error.what());
            if (type == 'Q') {
                skipping_until_sync_ = false;
                send_ready_for_query();
            }
        }
    }
    void parse(MessageReader& reader) {
        const auto name = reader.text();
        Prepared prepared{reader.text(), {}};
        for (auto count = reader.number(2); count > 0; --count) prepared.types.push_back(reader.number(4));
        prepared_[name] = prepared;
        send_message('1', "");
    }
    void bind(MessageReader& reader) {
        reader.text();
        const auto name = reader.text();
        const auto statement = prepared_.find(name);
        if (statement == prepared_.end())
            throw SqlError(SqlError::Kind::kUnavailable, "no such prepared statement");
        for (auto formats = reader.number(2); formats > 0; --formats) reader.number(2);
        portal_values_.clear();
        const auto count = reader.number(2);
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto size = reader.number(4);
            if (size == 0xffffffffU) {
                portal_values_.emplace_back();
                continue;
            }
            const std::string text(reader.take_bytes(size));
            std::int64_t number = 0;
            if (i < statement->second.types.size() && statement->second.types[i] == kInt8) {
                std::from_chars(text.data(), text.data() + text.size(), number);
                portal_values_.emplace_back(number);
            } else {
                portal_values_.emplace_back(text);
            }
        }
        portal_sql_ = statement->second.text;
        portal_rows_.reset();
        send_message('2', "");
    }
    void run_portal() {
        if (!portal_rows_) portal_rows_ = run_sql(portal_sql_, portal_values_);
    }
    void describe(MessageReader& reader) {
        if (reader.number(1) == 'S')
            throw SqlError(SqlError::Kind::kUnavailable, "describing a statement is not supported");
        run_portal();
        send_row_description();
    }
    void send_row_description() {
        if (portal_rows_->empty()) return send_message('n', "");
        std::string body;
        put16(body, static_cast<std::uint32_t>(portal_rows_->front().size()));
        for (std::size_t i = 0; i < portal_rows_->front().size(); ++i) {
            bool has_number = false, has_text = false;
            for (const auto& row : *portal_rows_) {
                has_number |= std::holds_alternative<std::int64_t>(row[i]);
                has_text |= std::holds_alternative<std::string>(row[i]);
            }
            body += "c" + std::to_string(i) + '\0';
            put32(body, 0);
            put16(body, 0);
            put32(body, has_number && !has_text ? kInt8 : kText);
            put16(body, 0xffff);
            put32(body, 0xffffffffU);
            put16(body, 0);
        }
        send_message('T', body);
    }
    void execute() {
        if (fault_due(server_.die_at_execute)) throw ConnectionBroken("injected crash");
        run_portal();
        send_rows();
    }
    void send_rows() {
        for (const auto& row : *portal_rows_) {
            std::string body;
            put16(body, static_cast<std::uint32_t>(row.size()));
            for (const auto& value : row) {
                if (std::holds_alternative<std::monostate>(value)) {
                    put32(body, 0xffffffffU);
                    continue;
                }
                const auto text = store::text_of(value);
                put32(body, static_cast<std::uint32_t>(text.size()));
                body += text;
            }
            send_message('D', body);
        }
        send_message('C', "DONE " + std::to_string(portal_rows_->size()) + '\0');
    }
    void simple_query(const std::string& text) {
        portal_rows_ = run_sql(text, {});
        if (!portal_rows_->empty()) send_row_description();
        send_rows();
        send_ready_for_query();
    }

    std::vector<Row> run_sql(const std::string& text, const std::vector<Value>& values) {
        if (text == "BEGIN") {
            db_->begin();
            in_transaction_ = true;
            transaction_status_ = 'T';
            return {};
        }
        if (text == "COMMIT" || text == "ROLLBACK") {
            end_transaction(transaction_status_ == 'E' ? "ROLLBACK" : text);
            return {};
        }
        if (transaction_status_ == 'E')
            throw SqlError(SqlError::Kind::kUnavailable, "the transaction is aborted");
        if (text.starts_with("CREATE OR REPLACE FUNCTION"))
            return {};  // SqliteDb defines the function itself
        if (text.find("to_regclass") != std::string::npos) {
            return db_->run(
                "SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = 'pinedoor_meta'");
        }
        return db_->run(text, values);
    }
    void end_transaction(const std::string& command) {
        const bool commit = command == "COMMIT";
        if (commit && fault_due(server_.die_before_commit)) throw ConnectionBroken("injected crash");
        if (commit && fault_due(server_.fail_commit)) {
            db_->roll_back();
            in_transaction_ = false;
            transaction_status_ = 'I';
            throw SqlError(SqlError::Kind::kUnavailable, "injected commit failure");
        }
        while (commit && server_.stall_commits && !disconnected_) usleep(1'000);
        if (disconnected_) throw ConnectionBroken("connection killed");
        if (commit && in_transaction_)
            db_->commit();
        else
            db_->roll_back();
        in_transaction_ = false;
        transaction_status_ = 'I';
        if (!commit) return;
        ++server_.commits;
        if (fault_due(server_.die_after_commit)) throw ConnectionBroken("injected crash");
    }

    PostgresStandIn& server_;
    net::Fd fd_;
    std::unique_ptr<SSL, decltype(&SSL_free)> tls_{nullptr, SSL_free};
    std::atomic<bool> disconnected_ = false;
    std::string send_buffer_;
    std::unique_ptr<store::SqliteDb> db_;
    std::map<std::string, Prepared> prepared_;
    std::string portal_sql_;
    std::vector<Value> portal_values_;
    std::optional<std::vector<Row>> portal_rows_;
    bool skipping_until_sync_ = false;
    bool in_transaction_ = false;
    char transaction_status_ = 'I';
    std::thread thread_;
};

PostgresStandIn::PostgresStandIn(std::string file, std::string password)
    : file_(std::move(file)), password_(std::move(password)),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        listen(listener_.get(), 64) != 0) {
        std::abort();
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { accept_connections(); });
}

void PostgresStandIn::require_tls(const std::string& certificate_file) {
    tls_ = std::make_unique<Tls>(certificate_file);
}

PostgresStandIn::~PostgresStandIn() {
    stopping_ = true;
    thread_.join();
    kill_connections();
}

std::string PostgresStandIn::conninfo() const {
    return "hostaddr=127.0.0.1 port=" + std::to_string(port_) +
           " dbname=records user=pinedoor password=" + password_;
}

void PostgresStandIn::kill_connections() {
    const std::lock_guard lock(mutex_);
    for (const auto& session : sessions_) session->disconnect();
    sessions_.clear();
}

void PostgresStandIn::accept_connections() {
    while (!stopping_) {
        pollfd ready{listener_.get(), POLLIN, 0};
        if (poll(&ready, 1, 10) != 1) continue;
        net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!fd || refuse_connections) continue;  // closed at once
        const int on = 1;
        setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++connections;
        const std::lock_guard lock(mutex_);
        sessions_.remove_if([](const auto& each) { return each->done.load(); });
        sessions_.push_back(std::make_unique<Session>(*this, std::move(fd)));
    }
}

}  // namespace pinedoor::test
