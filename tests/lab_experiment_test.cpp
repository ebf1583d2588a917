// Tests of the laboratory's experiments: stored results, resuming, the hunt, timelines and reports, and the
// program pinedoor-lab with its error cases.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/read/checker.hpp"
#include "lab/read/timeline.hpp"
#include "lab/sim/simulation.hpp"
#include "lab/study/experiment.hpp"
#include "lab/study/hunt.hpp"
#include "stand_ins/faulty_vfs.hpp"
#include "stand_ins/scratch.hpp"
#include "stated/stated.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;

const char* const kTiny = R"(
seconds = 2
nodes = 2
shards = 3
[servers]
count = 6
part_ms = { exponential = 3 }
[[clients]]
per_second = 150
parts = [1, 3]
latency_budget_ms = 60
route_timeout_ms = 300
least_share = 0.4
[[troubles]]
kind = "hang"
from_s = 0.5
until_s = 1
share = 0.34
)";

struct Scratch {
    Scratch() {
        auto name = test::scratch() + "/pinedoor-lab-XXXXXX";
        path = mkdtemp(name.data());
        std::ofstream(path + "/w.toml") << kTiny;
    }
    ~Scratch() { std::filesystem::remove_all(path); }
    std::string operator/(const std::string& file) const { return path + '/' + file; }
    std::string path;
};

Experiment experiment(std::initializer_list<const char*> variants, int seeds) {
    Experiment setup;
    setup.worlds.push_back({"w.toml", World::from_text(kTiny, "w.toml")});
    for (const char* each : variants) setup.variants.push_back(Variant::read(each));
    setup.seeds = seeds;
    return setup;
}

TEST_CASE(
    "an experiment gives the same results on any number of threads, and changes to the world take effect") {
    const std::atomic<bool> stop = false;
    const auto setup = experiment({"pinedoor", "random", "pinedoor,servers.count=3,sends.most=1"}, 4);
    const auto sequential = play_all(setup, nullptr, 1, stop, {});
    const auto parallel = play_all(setup, nullptr, 7, stop, {});
    CHECK(sequential.complete);
    CHECK(sequential.service == parallel.service);
    CHECK(sequential.service[0][0] != sequential.service[0][1]);
    CHECK(sequential.service[0][0] != sequential.service[0][2]);
    CHECK_THROWS_AS(Variant::read("pinedoors"), stated::ConfigError);
    CHECK_THROWS_AS(Variant::read("pinedoor,sends.most"), stated::ConfigError);
    CHECK_THROWS_AS(Variant::read("build:/no/such"), stated::ConfigError);
    CHECK(Variant::read("pinedoor,delay_ms=[1, 2],nodes=2").changes ==
          World::Changes{{"delay_ms", "[1, 2]"}, {"nodes", "2"}});
}

TEST_CASE("stored runs of the same build are not repeated, and an interrupted experiment resumes") {
    const Scratch scratch;
    const std::atomic<bool> never = false;
    const auto setup = experiment({"pinedoor", "random"}, 6);
    const auto whole = play_all(setup, nullptr, 2, never, {});
    std::atomic<bool> stop = false;
    {
        Results results(scratch / "r.db", "one");
        const auto part =
            play_all(setup, &results, 1, stop, [&stop](const Progress& p) { stop = p.done == 5; });
        CHECK(!part.complete);
        CHECK(results.count() == 5);
    }
    Results results(scratch / "r.db", "one");
    Progress last;
    const auto rest = play_all(setup, &results, 2, never, [&last](const Progress& p) { last = p; });
    CHECK(last.reused == 5);
    CHECK(rest.service == whole.service);
    CHECK(results.count() == 12);
    Results another(scratch / "r.db", "another build");
    play_all(setup, &another, 2, never, [&last](const Progress& p) { last = p; });
    CHECK(last.reused == 0);
    store::SqliteDb(scratch / "r.db").run("UPDATE lab_meta SET schema = 9");
    CHECK_THROWS_AS(Results(scratch / "r.db", "one"), store::SqlError);
    store::SqliteDb(scratch / "other.db").run("CREATE TABLE mine(a)");
    CHECK_THROWS_AS(Results(scratch / "other.db", "one"), store::SqlError);
}

TEST_CASE("a full disk at any call ends the experiment with an error, and the stored results stay intact") {
    const std::atomic<bool> never = false;
    test::FaultyVfs vfs;
    const auto setup = experiment({"pinedoor"}, 3);
    bool completed = false;
    for (int n = 1; !completed && n < 400; n += 7) {
        CAPTURE(n);
        const Scratch scratch;
        std::size_t kept = 0;
        vfs.fail_at(n, test::VfsFault::kFull);
        try {
            Results results(scratch / "r.db", "one", vfs.name());
            play_all(setup, &results, 1, never, [&kept](const Progress& p) { kept = p.done; });
        } catch (const store::SqlError&) {
        }
        completed = !vfs.came_by();
        vfs.fail_at(0, test::VfsFault::kFull);
        Results after(scratch / "r.db", "one");
        CHECK(after.count() >= kept);
        play_all(setup, &after, 1, never, {});
        CHECK(after.count() == 3);
    }
    CHECK(completed);
}

TEST_CASE("the hunt is reproducible, keeps the worst world, and finds an injected weakness") {
    const auto base = World::from_text(kTiny, "w.toml");
    // Long and wide hangs count as bad, more so together with a lossy network.
    const auto badness = [](const World& world) {
        double hang = 0, lossy = 0;
        for (const auto& each : world.troubles) {
            const auto size = each.share * static_cast<double>(each.until - each.from);
            if (each.kind == Trouble::Kind::kHang) hang = std::max(hang, size);
            if (each.kind == Trouble::Kind::kLossy) lossy = std::max(lossy, size);
        }
        return hang + std::min(hang, lossy);
    };
    const auto run_hunt = [&](std::uint64_t seed) {
        Hunter hunter(base, seed, 3);
        std::vector<double> worst_by_round;
        for (int round = 0; round < 40; ++round) {
            std::vector<double> answers;
            for (const auto& world : hunter.next(16)) {
                CHECK(World::from_text(world.to_toml(), "drawn.toml").to_toml() ==
                      world.to_toml());  // the world is valid
                CHECK(world.troubles.size() <= 3);
                answers.push_back(badness(world));
            }
            hunter.record_badness(answers);
            worst_by_round.push_back(hunter.worst_badness());
        }
        CHECK(std::is_sorted(worst_by_round.begin(), worst_by_round.end()));
        CHECK(badness(hunter.worst()) == hunter.worst_badness());
        return std::pair{hunter.worst().to_toml(), worst_by_round};
    };
    const auto first_hunt = run_hunt(3);
    CHECK(run_hunt(3) == first_hunt);
    CHECK(run_hunt(4) != first_hunt);
    CHECK(first_hunt.second.back() > 4 * first_hunt.second.front());
    Hunter hunter(base, 1, 3);
    hunter.next(2);
    CHECK_THROWS(hunter.record_badness({1}));
}

TEST_CASE("reductions lead to the one fault that matters, on the smallest fleet that shows it") {
    auto world = World::from_text(
        kTiny, "w.toml", {{"servers.count", "48"}, {"shards", "16"}, {"seconds", "20"}, {"nodes", "8"}});
    for (const auto kind : {Trouble::Kind::kSlow, Trouble::Kind::kCrash, Trouble::Kind::kSurge}) {
        world.troubles.push_back({});
        world.troubles.back().kind = kind;
        world.troubles.back().until = 100'000;
    }
    const auto shows_effect = [](const World& w) {
        return std::any_of(w.troubles.begin(), w.troubles.end(), [](const Trouble& t) {
            return t.kind == Trouble::Kind::kCrash && t.until - t.from >= 20'000;
        });
    };
    for (int steps = 0; steps < 200; ++steps) {
        const auto smaller = reductions(world);
        const auto next = std::find_if(smaller.begin(), smaller.end(), shows_effect);
        if (next == smaller.end()) break;
        world = *next;
    }
    CHECK(world.troubles.size() == 1);
    CHECK(world.servers.count == 6);
    CHECK(world.nodes == 1);
    CHECK(World::from_text(world.to_toml(), "shrunk.toml").to_toml() == world.to_toml());
}

TEST_CASE(
    "a timeline matches the simulation's totals and gives a multiget's history and the servers' faults") {
    const Scratch scratch;
    auto world =
        World::from_text(kTiny, "w.toml", {{"clients.0.route_timeout_ms", "80"}, {"servers.queue", "2"}});
    Timeline timeline;
    std::ofstream log(scratch / "log");
    const auto totals = Simulation(world, PolicyKind::kRandom, [&](const std::string& line) {
                            timeline.take(line);
                            log << line << '\n';
                        }).run();
    log.close();
    timeline.finish();
    const auto& client_totals = totals.clients[0];
    const auto& timeline_ends = timeline.ends_by_kind().at(0);
    CHECK(timeline_ends.all() == client_totals.asked);
    CHECK(timeline_ends.whole == client_totals.whole);
    CHECK(timeline_ends.in_part == client_totals.in_part);
    CHECK(timeline_ends.late == client_totals.late);
    CHECK(timeline_ends.failed == client_totals.failed);
    CHECK(timeline_ends.pushed_back == client_totals.pushed_back);
    CHECK(timeline_ends.lost == 0);
    CHECK(timeline.sends() == totals.sends);
    CHECK(timeline.ends_by_trouble().at("hang").bad() > timeline.ends_by_trouble().at("calm").bad());
    REQUIRE(timeline.troubles().size() == 1);
    CHECK(timeline.troubles()[0].from == 5'000);
    CHECK(timeline.troubles()[0].until == 10'000);
    int hang_count = 0;
    for (const auto& [id, server] : timeline.servers())
        hang_count += static_cast<int>(server.troubles.size());
    CHECK(hang_count == 2);
    const auto worst = timeline.worst(5);
    REQUIRE(!worst.empty());
    const auto history = multiget_history(scratch / "log", worst[0].multiget);
    REQUIRE(history.size() > 2);
    CHECK(history.front().find("is asked") != std::string::npos);
    CHECK(multiget_history(scratch / "log", 999'999).empty());
}

TEST_CASE("the checker reports how near a run came to breaking a rule, and a tighter limit is nearer") {
    const auto nearest = [](const char* floor) {
        auto world = World::from_text(kTiny, "w.toml",
                                      {{"sends.budget_floor", floor}, {"sends.budget_ratio", "0.02"}});
        RuleChecker checker;
        Simulation(world, PolicyKind::kPinedoor, [&checker](const std::string& line) {
            checker.take(line);
        }).run();
        CHECK(checker.finish().empty());
        return checker.nearest(Breach::Rule::kBudget);
    };
    CHECK(nearest("3") > nearest("300"));
    CHECK(nearest("3") <= 1);
    CHECK(nearest("300") > 0);
}

// --- The program ---

struct ProgramResult {
    int code = 0;
    std::string out;
};
ProgramResult run_lab(const std::string& arguments) {
    const auto command = std::string(PINEDOOR_LAB) + ' ' + arguments + " 2>&1";
    ProgramResult result;
    auto* const pipe = popen(command.c_str(), "r");
    for (char bytes[4096]; const auto count = fread(bytes, 1, sizeof bytes, pipe);)
        result.out.append(bytes, count);
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
}

TEST_CASE("the program runs, checks and compares worlds, stores results and resumes after SIGINT") {
    const Scratch scratch;
    const auto world = scratch / "w.toml";
    CHECK(run_lab("run " + world + " --check").code == 0);
    const auto json = run_lab("run " + world + " --json --seed 5 --set clients.0.per_second=50");
    CHECK(json.code == 0);
    CHECK(nlohmann::json::parse(json.out)["clients"][0]["asked"].get<int>() < 200);
    CHECK(run_lab("run " + scratch.path + "/none.toml").code == 1);
    CHECK(run_lab("run " + world + " --set servers.cores=0").out.find("servers.cores is 0") !=
          std::string::npos);
    CHECK(run_lab("run " + world + " --policy best").code == 2);
    CHECK(run_lab("run " + world + " --log /dev/full").code == 1);
    const auto log = scratch / "log";
    CHECK(run_lab("run " + world + " --log " + log).code == 0);
    CHECK(run_lab("judge " + log).code == 0);
    std::ofstream(log, std::ios::app) << "99000 push 1\n";
    CHECK(run_lab("judge " + log).code == 3);

    // The same program given as another build gives the same results.
    const auto same = run_lab("compare " + world + " --variants pinedoor build:" PINEDOOR_LAB " --seeds 3");
    CHECK(same.code == 0);
    CHECK(same.out.find("no difference shown") != std::string::npos);

    // SIGINT during the experiment: exit code 130, the finished runs are stored, and the same command
    // resumes.
    const auto results = scratch / "r.db";
    const auto resume_command =
        "compare " + world + " --variants pinedoor --seeds 400 --threads 1 --results " + results;
    const pid_t child = fork();
    if (child == 0) {
        const int null_fd = open("/dev/null", O_WRONLY);
        dup2(null_fd, 2);
        const auto seeds = std::string("400");
        execl(PINEDOOR_LAB, PINEDOOR_LAB, "compare", world.c_str(), "--variants", "pinedoor", "--seeds",
              seeds.c_str(), "--threads", "1", "--results", results.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    const auto stored_runs = [&results]() -> std::uint64_t {
        try {
            return Results(results, "any").count();
        } catch (const store::SqlError&) {
            return 0;
        }
    };
    for (int tries = 0; tries < 2'000 && stored_runs() < 3; ++tries) usleep(5'000);
    kill(child, SIGINT);
    int status = 0;
    waitpid(child, &status, 0);
    CHECK(WEXITSTATUS(status) == 130);
    const auto stored_before = stored_runs();
    CHECK(stored_before >= 3);
    CHECK(stored_before < 400);
    const auto resumed = run_lab(resume_command);
    CHECK(resumed.code == 0);
    CHECK(resumed.out.find(std::to_string(stored_before) + " runs were kept by an earlier run") !=
          std::string::npos);
    CHECK(stored_runs() == 400);
}

TEST_CASE("the program hunts, reduces, replays and reports") {
    const Scratch scratch;
    const auto world = scratch / "w.toml", worst = scratch / "worst.toml";
    const auto hunt =
        run_lab("hunt " + world + " --for loss --rounds 3 --each 6 --seeds 1 --troubles 2 --out " + worst);
    CHECK(hunt.code == 0);
    CHECK(hunt.out.find("shrunk: ") != std::string::npos);
    CHECK(run_lab("world check " + worst).code == 0);
    CHECK(run_lab("hunt " + world + " --for rule --rounds 1 --each 2 --seeds 1").code == 0);
    const auto history = run_lab("replay " + world + " 1");
    CHECK(history.out.find("is asked") != std::string::npos);
    CHECK(run_lab("replay " + world + " 999999").code == 1);
    const auto page = scratch / "report.html";
    CHECK(run_lab("report " + world + " --policy random --out " + page + " --plots " + (scratch / "plots"))
              .code == 0);
    std::ostringstream text;
    text << std::ifstream(page).rdbuf();
    CHECK(text.str().find("Where the loss went") != std::string::npos);
    // The plots are embedded, and the page references nothing on the network.
    CHECK(text.str().find("<polyline") + text.str().find("<path") != 2 * std::string::npos);
    CHECK(text.str().find("http://") == text.str().find("http://www.w3.org"));
    CHECK(std::filesystem::file_size(scratch / "plots/latency.png") > 1'000);
    CHECK(run_lab("report " + world + " --out /dev/full").code == 1);
    CHECK(run_lab("scale " + world + " --factors 1 2").out.find("to the power of") != std::string::npos);
    CHECK(run_lab("sweep " + world + " servers.queue 1 64 --seeds 2").out.find("servers.queue=64") !=
          std::string::npos);
    CHECK(run_lab("world new " + (scratch / "new.toml") + " --set servers.count=9").code == 0);
    CHECK(run_lab("world new " + (scratch / "new.toml")).code == 1);
    CHECK(run_lab("world show " + (scratch / "new.toml")).out.find("count = 9") != std::string::npos);
}

}  // namespace
