// Tests of the command line, the settings in TOML, and both formats of the log.
#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>

#include "service/log.hpp"
#include "stand_ins.hpp"
#include "stated/installation.hpp"
#include "store/sql.hpp"
#include "store/sqlite_db.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::test;
using pinedoor::stated::NodeSettings;

struct Folder {
    Folder() { path = mkdtemp(path.data()); }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path = scratch() + "/pinedoor-tool-XXXXXX";
};

std::string run_command(const std::string& words) {
    std::string text;
    auto* const pipe = popen((std::string(PINEDOOR_PROGRAM) + ' ' + words + " 2>&1").c_str(), "r");
    for (char bytes[4096]; const auto count = fread(bytes, 1, sizeof bytes, pipe);) text.append(bytes, count);
    const int code = WEXITSTATUS(pclose(pipe));
    return code == 0 ? text : text + "exit " + std::to_string(code) + '\n';
}

std::string error_of(const std::string& toml) {
    try {
        NodeSettings::from_text(toml, "f.toml");
        return "none";
    } catch (const stated::ConfigError& error) {
        return error.what();
    }
}

TEST_CASE("settings: each error names file, line, key and remedy") {
    CHECK(error_of("") == "none");
    CHECK(error_of("[store]\nkind = \"sqlite\"\nfolder = \"/x\"\n") == "none");
    CHECK(error_of("[sotre]\n") == "f.toml:1: sotre is unknown; did you mean store?");
    CHECK(error_of("[store]\nkind = \"oracle\"\n") ==
          "f.toml:2: store.kind is 'oracle'; it must be one of none, sqlite, postgres");
    CHECK(error_of("[store]\nkind = 3\n") == "f.toml:2: store.kind is no text; put it in quotes");
    CHECK(error_of("\n[store]\nkind = \"sqlite\"\n") ==
          "f.toml:2: store.folder is missing; write a folder of this node alone, on a disk that lasts");
    CHECK(error_of("[store.write]\nanswer_share = 1.5\n") ==
          "f.toml:2: store.write.answer_share is 1.5; it must lie from 0 to 1");
    CHECK(error_of("[store.write]\nmost_batch = 2.5\n") ==
          "f.toml:2: store.write.most_batch is no whole number");
    CHECK(error_of("[store.write]\nreopen_from_ms = 50\nreopen_to_ms = 40\n") ==
          "f.toml:3: store.write.reopen_to_ms is under reopen_from_ms");
    CHECK(error_of("[store]\nop_types = [1]\n") ==
          "f.toml:2: store.op_types holds something that is no text; put each in quotes");
    CHECK(error_of("[store]\nkind = \"postgres\"\nfolder = \"/x\"\n[store.postgres]\n") ==
          "f.toml:4: store.postgres.conninfo is missing; write where the database is, as libpq takes it");
    CHECK(error_of("store = 1\n") == "f.toml:1: store is no table; write [store]");
    CHECK(error_of("[store\n").starts_with("f.toml:1: no TOML: "));
    const auto read = NodeSettings::from_text(
        "[store]\nkind = \"sqlite\"\nfolder = \"/x\"\nlease_ms = 700\n[store.write]\ngather_ms = 1.5\n", "f");
    CHECK(read.store.lease == 7'000);
    CHECK(read.store.write.gather == 15);
    CHECK(read.store.sqlite_path() == "/x/records.db");
}

TEST_CASE("the command line: help, version, checks, and exit codes for invalid arguments and files") {
    const Folder folder;
    CHECK(run_command("--version").starts_with("pinedoor "));
    CHECK(run_command("--help").find("Examples:") != std::string::npos);
    CHECK(run_command("sevre").ends_with("exit 2\n"));
    CHECK(run_command("store").ends_with("exit 2\n"));
    CHECK(run_command("check " + folder.path + "/none.toml").ends_with("name a file that exists\nexit 3\n"));
    std::ofstream(folder.path + "/good.toml") << "[log]\nformat = \"json\"\n";
    CHECK(run_command("check " + folder.path + "/good.toml") == folder.path + "/good.toml: good\n");
    CHECK(run_command("serve -s " + folder.path + "/none.toml").ends_with("exit 1\n"));
    CHECK(run_command("store list")
              .ends_with("give --settings FILE with [store] kind, --sqlite or --postgres\nexit 1\n"));
    CHECK(run_command("store --sqlite " + folder.path + "/none.db list")
              .ends_with("run `pinedoor store init`\nexit 1\n"));
}

TEST_CASE("an older store is migrated by the operator and keeps its records, and a newer one is rejected") {
    const Folder folder;
    const auto store = "store --sqlite " + folder.path + "/r.db ";
    CHECK(run_command(store + "init") == "schema 2\n");
    CHECK(run_command(store + "init") == "schema 2\n");
    store::Intent intent;
    intent.id = {"n", 1, 1};
    intent.op_type = "once";
    intent.requested_at = 17'600'000'000'000;
    {
        store::SqliteDb db(folder.path + "/r.db");
        store::write_entries(db, {intent}, 1'000);
        for (const char* made : {"records_by_time", "records_by_tenant", "records_by_fate",
                                 "records_by_op_type", "records_by_client", "claims_by_time"})
            db.run("DROP INDEX " + std::string(made));
        db.run("DROP TABLE history");
        db.run("UPDATE pinedoor_meta SET schema_version = 1");
    }
    CHECK(run_command(store + "list").ends_with("run `pinedoor store migrate`\nexit 1\n"));
    CHECK(run_command(store + "migrate") == "schema 2\n");
    CHECK(run_command(store + "list") ==
          "2025-10-09T08:53:20.000Z in-doubt           n/1/1                    once                         "
          " \n");
    store::SqliteDb(folder.path + "/r.db").run("UPDATE pinedoor_meta SET schema_version = 3");
    CHECK(run_command(store + "migrate").ends_with("run a newer pinedoor\nexit 1\n"));
}

TEST_CASE("export, backup during writes, restore, prune and verify") {
    const Folder folder;
    const auto store = "store --sqlite " + folder.path + "/r.db ";
    run_command(store + "init");
    store::SqliteDb db(folder.path + "/r.db");
    const store::Time day = 864'000'000;
    const store::Time now = store::number_of(db.run("SELECT pinedoor_now()")[0][0]);
    for (std::uint64_t i = 1; i <= 600; ++i) {  // more than one page
        store::Intent intent;
        intent.id = {"n", 1, i};
        intent.op_type = "once";
        intent.request_name = "t" + std::to_string(i);
        intent.tenant = i == 1 ? "a,\"b\"" : "acme";
        intent.key = i % 2 == 0 ? "k" + std::to_string(i) : "";
        intent.requested_at = now - (i <= 500 ? 40 : 1) * day + static_cast<store::Time>(i);
        store::Outcome outcome;
        outcome.id = intent.id;
        outcome.tenant = intent.tenant;
        outcome.key = intent.key;
        outcome.fate = store::OutcomeKind::kAnswered;
        outcome.ended = intent.requested_at + 10;
        outcome.answer = "{}";
        std::vector<store::Entry> entries{intent};
        if (i != 7) entries.emplace_back(outcome);
        store::write_entries(db, entries, 1'000);
    }
    const auto lines = [](const std::string& text) { return std::count(text.begin(), text.end(), '\n'); };
    CHECK(lines(run_command(store + "export")) == 600);
    const auto csv = run_command(store + "export --format csv --tenant 'a,\"b\"'");
    CHECK(lines(csv) == 2);
    CHECK(csv.find("n/1/1,answered,once,\"a,\"\"b\"\"\",") != std::string::npos);
    CHECK(lines(run_command(store + "list --since 2d --most 1000")) == 100);
    CHECK(lines(run_command(store + "list --until 2d --most 17")) == 17);
    CHECK(lines(run_command(store + "list --op-type once --client t9")) == 1);
    CHECK(run_command(store + "list --since yesterday").ends_with("exit 1\n"));
    CHECK(run_command(store + "list --state odd").ends_with("in-doubt or under-way\nexit 1\n"));
    CHECK(run_command(store + "backup " + folder.path + "/copy.db") == folder.path + "/copy.db\n");
    CHECK(run_command(store + "backup " + folder.path + "/copy.db").ends_with("name another file\nexit 1\n"));
    CHECK(run_command(store + "prune --before 30d --step 100") ==
          "499 records deleted\n");  // records in doubt are kept
    CHECK(run_command(store + "list").find("in-doubt           n/1/7 ") != std::string::npos);
    CHECK(run_command(store + "verify") == "nothing amiss\n");
    CHECK(run_command(store + "restore " + folder.path + "/copy.db")
              .find("is there; write --add to add what it lacks") != std::string::npos);
    const auto other = "store --sqlite " + folder.path + "/other.db ";
    CHECK(run_command(other + "restore " + folder.path + "/copy.db") == folder.path + "/other.db\n");
    CHECK(lines(run_command(other + "export")) == 600);
    db.run("UPDATE claims SET state = 0 WHERE ikey = 'k600'");
    CHECK(run_command(store + "verify") ==
          "1 keys that are open though their record has an outcome\nexit 3\n");
    CHECK(run_command(store + "verify --json") ==
          "{\"amiss\":[\"1 keys that are open though their record has an outcome\"]}\nexit 3\n");
    std::ofstream(folder.path + "/bad.db") << "no database";
    CHECK(run_command(other + "restore " + folder.path + "/bad.db").ends_with("exit 1\n"));
}

TEST_CASE("restore --add restores what a store has lost and keeps what changed since the copy") {
    const Folder folder;
    const auto file = folder.path + "/r.db", copy = folder.path + "/copy.db";
    const auto store = "store --sqlite " + file + " ";
    run_command(store + "init");
    store::SqliteDb db(file);
    const auto write = [&db](std::uint64_t number, const std::string& key,
                             std::optional<store::OutcomeKind> fate) {
        store::Intent intent;
        intent.id = {"n", 1, number};
        intent.op_type = "once";
        intent.key = key;
        intent.fingerprint = "f";
        intent.requested_at = 1'000 + static_cast<store::Time>(number);
        std::vector<store::Entry> entries{intent};
        store::Outcome outcome;
        outcome.id = intent.id;
        outcome.key = key;
        if (fate) outcome.fate = *fate;
        outcome.ended = 2'000;
        if (fate) entries.emplace_back(outcome);
        store::write_entries(db, entries, 1'000);
    };
    for (std::uint64_t i = 1; i <= 20; ++i) write(i, "k" + std::to_string(i), store::OutcomeKind::kAnswered);
    write(21, "doubt", std::nullopt);
    run_command(store + "resolve n/1/21 failed --who ann --why seen");
    run_command(store + "backup " + copy);
    // Lost: records 1 to 3, and the outcomes of 4 and 5. MembershipChange since: k1 is held by another
    // record, 6 has failed.
    db.run("DELETE FROM records WHERE number <= 3");
    db.run("DELETE FROM claims WHERE number <= 3");
    db.run("DELETE FROM history");
    db.run("UPDATE records SET fate = NULL, ended = NULL WHERE number IN (4, 5)");
    db.run("UPDATE claims SET state = 0 WHERE number IN (4, 5)");
    db.run("UPDATE records SET fate = 4 WHERE number = 6");
    write(30, "k1", std::nullopt);
    const auto output = run_command(store + "restore --add " + copy);
    CHECK(output ==
          "3 records, 2 outcomes, 2 keys added\n1 keys are held by other records by now, and were left\n");
    CHECK(run_command(store + "verify") == "nothing amiss\n");
    CHECK(store::number_of(db.run("SELECT count(*) FROM records WHERE fate = 1")[0][0]) == 19);
    CHECK(store::number_of(db.run("SELECT fate FROM records WHERE number = 6")[0][0]) == 4);
    CHECK(store::number_of(db.run("SELECT number FROM claims WHERE ikey = 'k1'")[0][0]) == 30);
    CHECK(run_command(store + "show n/1/21").find("by ann as failed: seen") != std::string::npos);
    CHECK(run_command(store + "restore --add " + copy) ==
          "0 records, 0 outcomes, 0 keys added\n1 keys are held by other records by now, and were left\n");
}

TEST_CASE("follow prints new records and their outcomes") {
    const Folder folder;
    const auto store = "store --sqlite " + folder.path + "/r.db ";
    run_command(store + "init");
    std::string seen;
    std::thread following([&] { seen = run_command(store + "follow --for 1.5"); });
    usleep(300'000);
    store::SqliteDb db(folder.path + "/r.db");
    store::Intent intent;
    intent.id = {"n", 1, 1};
    intent.requested_at = store::number_of(db.run("SELECT pinedoor_now()")[0][0]);
    store::write_entries(db, {intent}, 1'000);
    usleep(500'000);
    store::Outcome outcome;
    outcome.id = intent.id;
    outcome.fate = store::OutcomeKind::kFailed;
    store::write_entries(db, {outcome}, 1'000);
    following.join();
    CHECK(seen.find("failed             n/1/1 ") != std::string::npos);
}

TEST_CASE(
    "a log event is one line of pairs or JSON whatever its content, and events below the level are dropped") {
    const Folder folder;
    const auto path = folder.path + "/log";
    net::Scheduler scheduler;
    service::Counters counters;
    const auto written = [&](service::LogOptions terms) {
        auto* const file = std::fopen(path.c_str(), "w+");
        {
            service::Log log(file, scheduler, counters, terms);
            log.event(service::Level::kDebug, "hidden", "x");
            log.event(service::Level::kInfo, "seen", "a \"quoted\" line\nand no second",
                      {{"server", "s 1"}, {"n", "7"}});
        }
        std::fclose(file);
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str().substr(text.str().find("level"));
    };
    CHECK(written({}) ==
          "level=info event=seen server=\"s 1\" n=7 msg=\"a \\\"quoted\\\" line?and no second\"\n");
    CHECK(written({service::LogFormat::kJson, service::Level::kInfo}) ==
          "level\":\"info\",\"event\":\"seen\",\"server\":\"s 1\",\"n\":\"7\",\"msg\":\"a \\\"quoted\\\" "
          "line?and no second\"}\n");
}

}  // namespace
