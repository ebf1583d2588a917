#include "lab/soak/soak_rig.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "lab/live/process.hpp"
#include "lab/soak/soak_abusers.hpp"
#include "lab/soak/soak_clients.hpp"
#include "lab/soak/soak_log.hpp"
#include "lab/soak/soak_servers.hpp"

namespace pinedoor::lab {
namespace {

using Json = nlohmann::json;

constexpr int kServers = 3;
constexpr SoakMs kSampleInterval = 50;
constexpr SoakMs kNewClientsAfterTerm = 350;  // for so long new connections come after SIGTERM
constexpr SoakMs kRestartDelay = 1'000;
constexpr SoakMs kLeastLateness = 20;
constexpr SoakMs kLastAsk = 500;  // before the end of the run

Json list_of(const std::vector<std::unique_ptr<SoakServer>>& servers) {
    Json members = Json::array();
    for (std::size_t i = 0; i < servers.size(); ++i)
        members.push_back({{"id", "s-" + std::to_string(i)},
                           {"host_port", net::to_text(servers[i]->at())},
                           {"locality", "a"},
                           {"flavor", "m"},
                           {"cell", 0},
                           {"phase", "Ready"},
                           {"size", 1.0},
                           {"up_since_ms", 0}});
    return {{"revision", 1}, {"complete", true}, {"members", members}};
}

Json class_of(const char* name, const char* effect) {
    return {{"name", name},      {"effect", effect},
            {"aim_ms", 300.0},   {"deadline_ms", 1.0 * kSoakRouteTimeout},
            {"late_worth", 0.0}, {"memory_span_ms", 0.0},
            {"worth", 1.0}};
}

Json settings() {
    return {{"classes", {class_of("again", "free"), class_of("once", "single_shot")}},
            {"clients", {{"marks_retry", false}}},
            {"discovery", "on_request"},
            {"failure_domains", {"a"}},
            {"family_info",
             {{"follow_up", {0, 0}},
              {"min_share", {1.0, 1.0}},
              {"need_by_class", {1.0, 1.0}},
              {"overhead_ms", 1.0},
              {"per_call", 2},
              {"places", 1},
              {"shards", SoakClients::kShards},
              {"short_worth", {0.9, 0.9}},
              {"warm_keys", false},
              {"width", 1}}},
            {"limits",
             {{"cancel", true},
              {"conn_idle_ms", 30'000.0},
              {"connect_timeout_ms", 250.0},
              {"max_attempts", 3},
              {"max_open", 4'000},
              {"max_retry_after_ms", 500.0},
              {"peers", false},
              {"probes", false},
              {"retry_after", true},
              {"second_copies", true},
              {"streams_per_conn", 16}}},
            {"load_info", {{"fields", {"util"}}, {"how", "inline"}}},
            {"me", 0},
            {"siblings", 1},
            {"zone", 0},
            {"tick_ms", 1.0},
            {"parties", Json::array()},
            {"rules",
             {{"cold_from", 0.2},
              {"fall_multiple", 3.0},
              {"grace_to_answer_ms", 20.0},
              {"must_ask_in_ms", 1'600.0},
              {"stop_sending_within_ms", 250.0},
              {"tip_after_ms", 1'000.0},
              {"warm_after_ms", 16'000.0},
              {"extra_floor", 20.0},
              {"repeat_ratio", 0.2},
              {"look_back_ms", 10'000.0}}}};
}

// The front node's process: starts, signals and what the system says of it.
class NodeProcess {
public:
    NodeProcess(TimerQueue& timers, SoakLog& log, SoakNodeState& state, const SoakPlan& plan,
                std::string program)
        : timers_(timers), log_(log), state_(state), plan_(plan), program_(std::move(program)) {}

    net::Endpoint at() const { return port_.at(); }
    void configure(net::Endpoint discovery, const Json& list) {
        char seed[20];
        std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(plan_.seed));
        const Json config{
            {"name", "n0"},
            {"listen", net::to_text(at())},
            {"discovery", net::to_text(discovery)},
            {"seed", seed},
            {"limits", {{"cores", 1.0}, {"memory_mb", plan_.memory_mb}, {"sockets", plan_.sockets}}},
            {"known", list},
            {"settings", settings()}};
        std::ofstream(folder_.path + "/config.json") << config.dump(1);
    }
    void start() {
        state_ = {};
        terminated_at_ = -1;
        core_wait_ms_ = 0;
        log_.write("begun");
        process_.start({program_, {}, {"ROUTER_CONFIG=" + folder_.path + "/config.json"}},
                       folder_.path + "/log");
    }
    void signal(int what) {
        if (!process_.runs()) return;
        log_.write("signal " + std::to_string(what));
        if (what == SIGKILL) {
            state_.killed = true;
            process_.kill();
            return end();
        }
        if (what == SIGTERM) terminated_at_ = log_.now();
        process_.signal(what);
    }
    // Looks at memory, descriptors and waits for a core, and whether the process has ended.
    void sample() {
        if (process_.ended_by_itself()) return end();
        if (!process_.runs()) return;
        state_.takes_new_clients = terminated_at_ < 0 || log_.now() < terminated_at_ + kNewClientsAfterTerm;
        const auto folder = "/proc/" + std::to_string(process_.pid());
        std::ifstream status(folder + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                log_.write("memory " + std::to_string(std::strtoull(line.c_str() + 6, nullptr, 10) * 1024));
        }
        std::error_code ignored;
        const std::filesystem::directory_iterator descriptors(folder + "/fd", ignored), last;
        log_.write("descriptors " + std::to_string(std::distance(descriptors, last)));
        const auto waited = static_cast<SoakMs>(process_.core_wait_seconds() * 1'000);
        if (waited - core_wait_ms_ >= kLeastLateness)
            log_.write("late " + std::to_string(waited - core_wait_ms_));
        core_wait_ms_ = waited;
    }
    // A planned restart without a new start.
    void stop() {
        signal(SIGTERM);
        if (!process_.runs()) return;
        stopping_ = true;
        const int code = process_.wait_or_kill(static_cast<int>(kSoakKillAfterTerm));
        log_.write("exit " + std::to_string(code));
    }
    std::string log_file() const { return folder_.path + "/log"; }

private:
    void end() {
        log_.write("exit " + std::to_string(process_.last_code()));
        state_.takes_new_clients = false;
        if (stopping_) return;
        timers_.run_at(timers_.now() + kRestartDelay * 10, [this] {
            if (!process_.runs()) start();
        });
    }

    TimerQueue& timers_;
    SoakLog& log_;
    SoakNodeState& state_;
    const SoakPlan& plan_;
    const std::string program_;
    const HeldPort port_;
    const Folder folder_;
    Process process_;
    SoakMs terminated_at_ = -1;
    SoakMs core_wait_ms_ = 0;
    bool stopping_ = false;
};

void sample_every(TimerQueue& timers, NodeProcess& node, SoakLog& log, SoakMs until,
                  net::Moment late_before) {
    node.sample();
    const auto late = (timers.late() - late_before) / 10;
    if (late >= kLeastLateness) log.write("late " + std::to_string(late));
    if (log.now() >= until) return;
    const auto late_now = timers.late();
    timers.run_at(timers.now() + kSampleInterval * 10, [&timers, &node, &log, until, late_now] {
        sample_every(timers, node, log, until, late_now);
    });
}

}  // namespace

void play_soak(const SoakPlan& plan, const std::string& program,
               const std::function<void(const std::string&)>& observe) {
    raise_descriptor_limit();
    net::Scheduler scheduler;
    TimerQueue timers(scheduler);
    SoakLog log(scheduler, observe);
    log.write("limit memory " + std::to_string(static_cast<std::uint64_t>(plan.memory_mb) << 20U) +
              " sockets " + std::to_string(plan.sockets));
    std::vector<std::unique_ptr<SoakServer>> servers;
    for (int i = 0; i < kServers; ++i) {
        servers.push_back(
            std::make_unique<SoakServer>(scheduler, timers, log, plan.seed + static_cast<std::uint64_t>(i)));
        servers.back()->start();
    }
    SoakDiscovery discovery(scheduler, timers);
    const auto list = list_of(servers);
    discovery.set_list(list.dump());
    discovery.start();
    SoakNodeState state;
    NodeProcess node(timers, log, state, plan, program);
    node.configure(discovery.at(), list);
    node.start();
    SoakClients clients(scheduler, log, state, node.at(), plan.seed + 100);
    clients.start(plan.ordinary_clients, plan.length - kLastAsk);
    for (const auto& each : plan.signals)
        timers.run_at(log.moment_of(each.at), [&node, signal = each.signal] { node.signal(signal); });
    sample_every(timers, node, log, plan.length, timers.late());
    {
        SoakAbusers abusers(log, node.at());
        for (std::size_t i = 0; i < plan.spells.size(); ++i)
            timers.run_at(log.moment_of(plan.spells[i].from),
                          [&abusers, &plan, i] { abusers.start(plan.spells[i], static_cast<int>(i)); });
        scheduler.run([&] { return log.now() >= plan.length && clients.done(); });
    }
    node.stop();
}

}  // namespace pinedoor::lab
