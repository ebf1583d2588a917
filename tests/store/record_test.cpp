// The whole program with a store of record, over sockets: the answers that clients get, and what the store
// then contains.
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>

#include "stand_ins.hpp"
#include "stand_ins/postgres.hpp"
#include "store/asked_again.hpp"

namespace {

using namespace pinedoor::test;
namespace net = pinedoor::net;

const std::string kSqlite = "[store]\nkind = \"sqlite\"\nfolder = \"@/store\"\nlease_ms = 400\n";

std::string keyed(const std::string& key) { return "Idempotency-Key: \"" + key + "\"\r\n"; }

struct Node {
    Listener server;
    Listener discovery;
    FrontNodeProcess program{{{"s-1", server.at()}}, discovery.at()};
    Peer client;
    Peer link;

    explicit Node(const std::string& settings) { program.with_settings(settings); }
    Node& start() {
        client = program.start().client();
        return *this;
    }
    void send(const std::string& op_type, const std::string& name, const std::string& extra = "",
              int ms = 4'000, const std::string& text = "q") {
        client.say(post(op_type, name, asks({1}, text), ms, extra));
    }
    // Sends a multiget and accepts the resulting send on a new connection at the server.
    std::string send_and_accept(const std::string& op_type, const std::string& name,
                                const std::string& extra = "") {
        send(op_type, name, extra);
        link = server.accept();
        return link.frame();
    }
    // The records as lines like "answered n0/1/1".
    std::string list_states(const std::string& words = "") {
        std::istringstream lines(program.store("list " + words));
        std::string out;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream fields(line);
            std::string time, state, id;
            fields >> time >> state >> id;
            out += state + ' ' + id + '\n';
        }
        return out;
    }
};

const std::string kAnswerX = R"(200 {"whole":true,"results":[{"partition":1,"value":"x"}]})";

TEST_CASE(
    "non-retriable multigets are recorded; a key returns the recorded answer, for the same request only") {
    Node node(kSqlite);
    node.start();
    CHECK(node.send_and_accept("once", "t1", keyed("k \\\"1\\\"")) == "St1.1 1 1\nq");
    node.link.reply("t1.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    node.send("once", "t2", keyed("k \\\"1\\\""));
    CHECK(node.client.answer() == kAnswerX);
    node.send("once", "t3", keyed("k \\\"1\\\""), 4'000, "another");
    CHECK(node.client.answer() == "422 this Idempotency-Key was used for another request\n");
    node.send("again", "t4");
    CHECK(node.link.frame() == "St4.1 1 1\nq");
    node.link.reply("t4.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    node.send("again", "t5", keyed("k2"));
    CHECK(node.link.frame() == "St5.1 1 1\nq");
    node.link.reply("t5.1", "full");
    CHECK(pinedoor::test::is_pushback(node.client.answer(), 0.625, 1.25));
    node.send("again", "t6", keyed("k2"));
    CHECK(node.link.frame() == "St6.1 1 1\nq");  // refused before, so it runs now
    node.link.reply("t6.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    CHECK(node.list_states() == "answered n0/1/1\nrefused n0/1/4\nanswered n0/1/5\n");
    CHECK(node.list_states("--state refused") == "refused n0/1/4\n");
    CHECK(node.program.counter("keys_answered_again") == 1);
    for (const char* bad :
         {"Idempotency-Key: k\r\n", "Idempotency-Key: \"\"\r\n", "Idempotency-Key: \"a\"b\"\r\n"}) {
        auto peer = node.program.client();
        peer.say(post("once", "t9", asks({1}), 4'000, bad));
        CHECK(peer.answer().starts_with("400 "));
    }
    node.program.kill(SIGTERM);
    CHECK(node.program.wait() == 0);
    CHECK(node.program.store("show").find("node n0, incarnation 1, ended") != std::string::npos);
    CHECK(node.program.store("verify") == "nothing amiss\n");
}

// Guards against a second run of a part under one key: the key of a refused retriable multiget was free.
TEST_CASE("a key is not run again once a part of its retriable multiget has run, however that one ended") {
    Node node(kSqlite);
    node.program.with("\"min_share\":[0.5,1.0]", "\"min_share\":[1.0,1.0]");
    node.start();
    int ms = 4'000;
    std::function<void()> end_other_part;
    std::string outcome =
        "500 a part of the request may have run; it is not run again under this Idempotency-Key\n";
    SUBCASE("the other part fails") {
        end_other_part = [&] { node.link.reply("t1.2", "failed"); };
    }
    SUBCASE("the server of the other part crashes") {
        end_other_part = [&] { node.link.reset(); };
    }
    SUBCASE("the other part is refused as never run") {
        end_other_part = [&] { node.link.reply("t1.2", "full"); };
    }
    SUBCASE("the other part is not answered in time") {
        ms = 300;
        end_other_part = [] {};
    }
    SUBCASE("the client disconnects") {
        end_other_part = [&] { node.client = Peer{}; };
        outcome = "";
    }
    node.client.say(post("again", "t1", asks({1, 2}), ms, keyed("k")));
    node.link = node.server.accept();
    CHECK(node.link.frame() == "St1.1 1 1\nqt1.2 2 1\nq");
    node.link.reply("t1.1", "done", "x");
    end_other_part();
    if (!outcome.empty()) CHECK(node.client.answer() == outcome);
    CHECK(node.program.wait_for_counter("records_ended", 1) == 1);
    node.client = node.program.client();
    node.client.say(post("again", "t2", asks({1, 2}), 4'000, keyed("k")));
    CHECK(node.client.answer() == "500 the first request failed, and is not run again\n");
    CHECK(node.program.counter("sends") == 2);
    CHECK(node.program.counter("keys_refusals_failed") == (outcome.empty() ? 0 : 1));
    CHECK(node.list_states() == "failed n0/1/1\n");
}

// Guards against a key that is free although a part may have run, for every outcome and every fate of two
// parts.
TEST_CASE("a key is free again only after a refusal of which no part may have run") {
    using namespace pinedoor::store;
    constexpr std::array kFates{PartOutcome::kNeverSent, PartOutcome::kMayHaveRun, PartOutcome::kRan};
    for (const auto first : kFates) {
        for (const auto second : kFates) {
            const PartOutcomes parts{{1, first}, {2, second}};
            const bool never_ran = first == PartOutcome::kNeverSent && second == PartOutcome::kNeverSent;
            for (const auto fate :
                 {OutcomeKind::kAnswered, OutcomeKind::kAnsweredInPart, OutcomeKind::kFailed})
                CHECK_FALSE(frees_key(fate, parts));
            CHECK(frees_key(OutcomeKind::kRefused, parts) == never_ran);
            CHECK(frees_key(outcome_without_answer(parts), parts) == never_ran);
        }
    }
}

TEST_CASE(
    "a key in progress is a conflict; after a kill it is in doubt and not run until an operator resolves "
    "it") {
    Node node(kSqlite);
    node.start();
    CHECK(node.send_and_accept("once", "t1", keyed("k")) == "St1.1 1 1\nq");
    auto second = node.program.client();
    second.say(post("once", "t2", asks({1}), 4'000, keyed("k")));
    CHECK(second.answer() == "409 retry-after=0.0500 a request of this Idempotency-Key is under way\n");
    CHECK(node.list_states() == "under-way n0/1/1\n");
    node.program.kill(SIGKILL);
    node.start();
    node.send("once", "t3", keyed("k"));
    CHECK(node.client.answer() == "500 in doubt: the first request may have run, and is not run again\n");
    CHECK(node.list_states("--state in-doubt") == "in-doubt n0/1/1\n");
    CHECK(node.program.store("resolve n0/1/9 refused --who ann --why x") ==
          "pinedoor: there is no record n0/1/9\nexit 3\n");
    CHECK(node.program.store("resolve n0/1/1 refused --who ann --why 'not in the books'") ==
          "n0/1/1 is refused\n");
    CHECK(node.program.store("resolve n0/1/1 failed --who bob --why x") ==
          "pinedoor: n0/1/1 is not in doubt: see `store show`\nexit 3\n");
    CHECK(node.program.store("show n0/1/1").find("by ann as refused: not in the books") != std::string::npos);
    CHECK(node.send_and_accept("once", "t4", keyed("k")) == "St4.1 1 1\nq");
    node.link.reply("t4.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
}

TEST_CASE(
    "a failed multiget is never run again; one whose client left is recorded by what is known of its parts") {
    Node node(kSqlite);
    node.start();
    node.send_and_accept("once", "t1", keyed("k"));
    node.link.reply("t1.1", "failed");
    CHECK(node.client.answer() == "500");
    node.send("once", "t2", keyed("k"));
    CHECK(node.client.answer() == "500 the first request failed, and is not run again\n");
    node.send("once", "t3");
    CHECK(node.link.frame() == "St3.1 1 1\nq");
    node.client = Peer{};
    CHECK(node.program.wait_for_counter("records_ended", 2) == 2);
    CHECK(node.program.wait_for_counter("records_in_memory", 0) == 0);
    CHECK(node.list_states() == "failed n0/1/1\nfailed n0/1/3\n");
    CHECK(node.program.store("show n0/1/3").find("part_fates    1m\n") != std::string::npos);
    CHECK(node.program.store("show n0/1/3").find("note          client left\n") != std::string::npos);
}

TEST_CASE("SQL, quotes and invalid UTF-8 in any field are stored as data; overlong keys are rejected") {
    Node node(kSqlite);
    node.program.with("acme, inc", "x'); DROP TABLE records; --");
    node.start();
    const std::string key = "'); DELETE FROM claims; --";
    auto request = post("once", "t'OR'1", asks({1}, "\\u0000'; --"), 4'000, keyed(key));
    request.replace(request.find("acme, inc"), 9, "x'); DROP TABLE records; --");
    node.client.say(request);
    node.link = node.server.accept();
    CHECK(node.link.frame().starts_with("St'OR'1.1 1 "));
    node.link.reply("t'OR'1.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    const auto shown = node.program.store("list --json");
    CHECK(shown.find(R"("key":"'); DELETE FROM claims; --")") != std::string::npos);
    for (const auto& bad : {std::string(64 * 1024, 'k'), std::string(256, 'k'), std::string("\xff\xfe")}) {
        auto peer = node.program.client();
        peer.say(post("once", "t2", asks({1}), 4'000, keyed(bad)));
        CHECK(peer.answer().starts_with("4"));
    }
    CHECK(node.list_states() == "answered n0/1/1\n");
    CHECK(node.program.counter("invariants_broken") == 0);
}

TEST_CASE(
    "incarnations rise with every start whatever the clock says, and a copied folder does not reuse one") {
    Node node(kSqlite);
    node.start();
    node.send_and_accept("once", "t1");
    node.program.kill(SIGKILL);
    node.start();
    CHECK(node.program.wait_for_counter("store_incarnation", 2) == 2);
    CHECK(node.list_states() == "in-doubt n0/1/1\n");
    node.program.kill(SIGKILL);
    std::ofstream(node.program.folder() + "/store/incarnation") << "1\n";  // an old copy of the folder
    node.start();
    CHECK(node.program.wait_for_counter("store_incarnation", 3) == 3);
    node.program.kill(SIGKILL);
    std::filesystem::remove(node.program.folder() + "/store/incarnation");  // a new machine
    node.start();
    CHECK(node.program.wait_for_counter("store_incarnation", 4) == 4);
}

TEST_CASE("a folder is used by one node only, and errors in the settings name file, line and key") {
    Node node(kSqlite);
    node.start();
    FrontNodeProcess second({}, node.discovery.at());
    second.with_settings("[store]\nkind = \"sqlite\"\nfolder = \"" + node.program.folder() + "/store\"\n")
        .start();
    CHECK(second.wait() == 1);
    CHECK(second.log().find("is in use by another process") != std::string::npos);
    FrontNodeProcess third({}, node.discovery.at());
    third.with_settings("[store]\nkind = \"sqlite\"\nfolder = \"@\"\n[store.write]\nmost_bach = 3\n").start();
    CHECK(third.wait() == 1);
    CHECK(third.log().find(
              "pinedoor.toml:5: store.write.most_bach is unknown; did you mean store.write.most_batch?") !=
          std::string::npos);
}

// --- PostgreSQL ---

struct PostgresStore {
    std::string file = scratch() + "/pinedoor-pg-" + std::to_string(getpid()) + ".db";
    PostgresStandIn postgres{file};
    ~PostgresStore() {
        for (const char* end : {"", "-wal", "-shm"}) std::filesystem::remove(file + end);
    }
    std::string settings(const std::string& extra = "") const {
        return "[store]\nkind = \"postgres\"\nfolder = \"@/store\"\nlease_ms = "
               "400\n[store.postgres]\nconninfo = \"" +
               postgres.conninfo() + "\"\nstatement_timeout_ms = 300\n[store.write]\nreopen_from_ms = 10\n" +
               extra;
    }
    // Call after the node was started, which writes the settings that name the store.
    std::string init(Node& node) const { return node.program.store("init"); }
};

TEST_CASE(
    "PostgreSQL: records and keys work as with SQLite; only the operator creates and migrates the database") {
    PostgresStore store;
    Node node(store.settings());
    node.start();
    node.send("once", "t0", keyed("k"), 1'000);
    CHECK(node.client.answer().starts_with("503 "));
    CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
    CHECK(node.program.log().find("the store is empty; run `pinedoor store init`") != std::string::npos);
    CHECK(store.init(node) == "schema 2\n");
    CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
    CHECK(node.send_and_accept("once", "t1", keyed("k")) == "St1.1 1 1\nq");
    node.link.reply("t1.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    node.send("once", "t2", keyed("k"));
    CHECK(node.client.answer() == kAnswerX);
    CHECK(node.list_states().starts_with("answered n0/1/"));
    CHECK(node.program.store("verify") == "nothing amiss\n");
    CHECK(store.postgres.wrong_passwords == 0);
    node.program.kill(SIGTERM);
    CHECK(node.program.wait() == 0);
    CHECK(node.program.store("show").find("incarnation 1, ended") != std::string::npos);
    pinedoor::store::SqliteDb(store.file).run("UPDATE pinedoor_meta SET schema_version = 9");
    node.start();
    node.send("once", "t3", keyed("k3"), 1'000);
    CHECK(node.client.answer().starts_with("503 "));
    CHECK(node.program.log().find("newer than this program's") != std::string::npos);
    CHECK(node.program.store("list").ends_with("run a newer pinedoor\nexit 1\n"));
}

TEST_CASE(
    "PostgreSQL: a commit without a reply, a commit that failed, and a server that dies during a batch") {
    PostgresStore store;
    Node node(store.settings());
    node.start();
    store.init(node);
    CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
    SUBCASE("committed, no reply") { store.postgres.die_after_commit = 1; }
    SUBCASE("not committed") { store.postgres.die_before_commit = 1; }
    SUBCASE("refused by the server") { store.postgres.fail_commit = 1; }
    SUBCASE("during the batch") { store.postgres.die_at_execute = 2; }
    SUBCASE("slow bytes") { store.postgres.send_byte_by_byte = true; }
    const bool refused = store.postgres.fail_commit == 1;
    node.send("once", "t1", keyed("k"));
    if (refused) {
        // The store rejected the write, so the key cannot be judged.
        CHECK(node.client.answer().starts_with("503 "));
        CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
        node.send("once", "t1", keyed("k"));
    }
    node.link = node.server.accept();
    CHECK(node.link.frame() == "St1.1 1 1\nq");
    node.link.reply("t1.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    node.send("once", "t2", keyed("k"));
    CHECK(node.client.answer() == kAnswerX);
    CHECK(node.list_states("--state answered").starts_with("answered n0/1/"));
    CHECK(node.list_states("--state in-doubt").empty());
    CHECK(node.program.store("verify") == "nothing amiss\n");
}

TEST_CASE("PostgreSQL: a stalled store does not delay the final answer; the record follows") {
    PostgresStore store;
    Node node(store.settings());
    node.start();
    store.init(node);
    CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
    CHECK(node.send_and_accept("once", "t1") == "St1.1 1 1\nq");
    store.postgres.stall_commits = true;
    const auto began = std::chrono::steady_clock::now();
    node.link.reply("t1.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);  // its outcome was spilled
    node.send("once", "t2");
    CHECK(node.link.frame() == "St2.1 1 1\nq");  // the next intent was spilled, too
    node.link.reply("t2.1", "failed");
    CHECK(node.client.answer() == "500");
    node.send("once", "t3", keyed("k"), 1'000);
    CHECK(node.client.answer().starts_with("503 "));  // a key is not judged without the store
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(4));
    CHECK(node.program.counter("spill_appended") > 0);
    store.postgres.stall_commits = false;
    CHECK(node.program.wait_for_counter("spill_entries", 0) == 0);
    CHECK(node.program.wait_for_counter("records_in_memory", 0) == 0);
    CHECK(node.list_states("--state in-doubt").empty());
    CHECK(node.list_states("--state under-way").empty());
    CHECK(node.list_states("--state answered") == "answered n0/1/1\n");
    CHECK(node.list_states("--state failed") == "failed n0/1/2\n");
}

TEST_CASE(
    "PostgreSQL: a key used at two nodes runs at one of them, and is in doubt after that one is killed") {
    PostgresStore store;
    Node first(store.settings()), second(store.settings());
    second.program.with("\"name\":\"n0\"", "\"name\":\"n1\"");
    first.start();
    store.init(first);
    second.start();
    for (auto* node : {&first, &second}) CHECK(node->program.wait_for_counter("store_condition", 1) == 1);
    CHECK(first.send_and_accept("once", "t1", keyed("k")) == "St1.1 1 1\nq");
    second.send("once", "t2", keyed("k"));
    CHECK(second.client.answer() ==
          "409 retry-after=0.0500 a request of this Idempotency-Key is under way\n");
    SUBCASE("answered") {
        first.link.reply("t1.1", "done", "x");
        CHECK(first.client.answer() == kAnswerX);
        second.send("once", "t3", keyed("k"));
        CHECK(second.client.answer() == kAnswerX);
    }
    SUBCASE("killed") {
        first.program.kill(SIGKILL);
        std::string last_answer = "409";
        // Repeats the request until the lease of the killed node has expired.
        for (int tries = 0; tries < 800 && last_answer.starts_with("409"); ++tries) {
            usleep(10'000);
            second.send("once", "t" + std::to_string(tries + 10), keyed("k"));
            last_answer = second.client.answer();
        }
        CHECK(last_answer == "500 in doubt: the first request may have run, and is not run again\n");
        CHECK(second.list_states("--state in-doubt") == "in-doubt n0/1/1\n");
    }
    CHECK(second.program.counter("sends") == 0);
}

TEST_CASE(
    "PostgreSQL: when an outage fills the spill, multigets that need an intent are rejected before any "
    "send") {
    PostgresStore store;
    Node node(store.settings("[store.spill]\nmost_mb = 1\noutcome_room = 65536\n"));
    node.start();
    store.init(node);
    CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
    store.postgres.refuse_connections = true;
    store.postgres.kill_connections();
    CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
    int answered = 0;
    std::string last_answer = "200";
    for (; last_answer.starts_with("200") && answered < 100; ++answered) {
        const auto name = "t" + std::to_string(answered);
        node.send("once", name);
        if (answered == 0) node.link = node.server.accept();
        pollfd ready[2] = {{node.client.fd(), POLLIN, 0}, {node.link.fd(), POLLIN, 0}};
        poll(ready, 2, 8'000);
        if (ready[1].revents != 0) {
            node.link.frame();
            node.link.reply(name + ".1", "done", std::string(60'000, 'x'));
        }
        last_answer = node.client.answer();
    }
    CHECK(last_answer.starts_with("503 retry-after=0."));
    CHECK(answered >= 14);  // 60 kB each, and 64 KiB are reserved for the next outcome
    CHECK(answered <= 18);
    node.send("again", "free");  // unrecorded multigets are not affected
    CHECK(node.link.frame() == "Sfree.1 1 1\nq");
    node.link.reply("free.1", "done", "x");
    CHECK(node.client.answer() == kAnswerX);
    store.postgres.refuse_connections = false;
    CHECK(node.program.wait_for_counter("spill_entries", 0) == 0);
    CHECK(node.program.wait_for_counter("records_in_memory", 0) == 0);
    CHECK(node.list_states("--state in-doubt").empty());
    CHECK(node.program.counter("records_lost") == 0);
}

TEST_CASE("PostgreSQL: a wrong password and a host name that needs resolving are reported") {
    PostgresStore store;
    auto settings = store.settings();
    SUBCASE("password") {
        settings.replace(settings.find("turnout"), 7, "guessed");
        Node node(settings);
        node.start();
        CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
        CHECK(node.program.log().find("password authentication failed") != std::string::npos);
    }
    SUBCASE("host name") {
        settings.replace(settings.find("hostaddr=127.0.0.1"), 18, "host=records.internal");
        Node node(settings);
        node.program.start();
        CHECK(node.program.wait() == 1);
        CHECK(node.program.log().find("add hostaddr") != std::string::npos);
    }
}

TEST_CASE("PostgreSQL over TLS: only a server with the trusted certificate and the right name is used") {
    PostgresStore store;
    const auto trusted_certificate = scratch() + "/pinedoor-right-" + std::to_string(getpid()) + ".pem";
    const auto other_certificate = scratch() + "/pinedoor-wrong-" + std::to_string(getpid()) + ".pem";
    PostgresStandIn(store.file + "-other").require_tls(other_certificate);
    store.postgres.require_tls(trusted_certificate);
    auto settings = store.settings();
    const auto add_conninfo = [&settings](const std::string& extra) {
        const auto at = settings.find("hostaddr");
        settings.insert(at, extra + " ");
    };
    SUBCASE("trusted certificate") {
        add_conninfo("host=records.test sslmode=verify-full sslrootcert=" + trusted_certificate);
        Node node(settings);
        node.start();
        CHECK(store.init(node) == "schema 2\n");
        CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
        store.postgres.send_byte_by_byte = true;
        CHECK(node.send_and_accept("once", "t1", keyed("k")) == "St1.1 1 1\nq");
        node.link.reply("t1.1", "done", "x");
        CHECK(node.client.answer() == kAnswerX);
        store.postgres.send_byte_by_byte = false;
        store.postgres.kill_connections();  // the record is then read over a new connection
        node.send("once", "t2", keyed("k"));
        const auto answer = node.client.answer();
        CHECK((answer == kAnswerX || answer.starts_with("503 ")));
        CHECK(node.program.wait_for_counter("store_condition", 1) == 1);
        node.send("once", "t3", keyed("k"));
        CHECK(node.client.answer() == kAnswerX);
        CHECK(store.postgres.tls_connections >= 3);
    }
    SUBCASE("other certificate") {
        add_conninfo("host=records.test sslmode=verify-full sslrootcert=" + other_certificate);
        Node node(settings);
        node.start();
        CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
        CHECK(node.program.log().find("certificate verify failed") != std::string::npos);
        node.send("once", "t1", keyed("k"));
        CHECK(node.client.answer().starts_with("503 "));
    }
    SUBCASE("other name") {
        add_conninfo("host=records.elsewhere sslmode=verify-full sslrootcert=" + trusted_certificate);
        Node node(settings);
        node.start();
        CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
        CHECK(node.program.log().find("does not match host name") != std::string::npos);
    }
    SUBCASE("without TLS") {
        add_conninfo("sslmode=disable");
        Node node(settings);
        node.start();
        CHECK(node.program.wait_for_counter("store_condition", 3) == 3);
        CHECK(store.postgres.tls_connections == 0);
    }
    std::filesystem::remove(trusted_certificate);
    std::filesystem::remove(other_certificate);
}

}  // namespace
