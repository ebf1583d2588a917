#include "lab/live.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "lab/live_clients.hpp"
#include "lab/live_list.hpp"
#include "lab/live_server.hpp"
#include "stated/stated.hpp"

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr Time kDrain = 5'000;
constexpr int kPatienceMs = 6'000;  // with a front node that was told to end
constexpr Time kMoreTime = 500;     // each limit of the rules, on sockets (PROTOCOL, "The rules on sockets")

bool accepts(net::Endpoint at) {
    const net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    address.sin_addr.s_addr = htonl(at.address);
    return connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

struct Folder {
    Folder() {
        std::string name = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp");
        name += "/pinedoor-live-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) throw stated::BadStated(name + ": cannot be made");
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// One front node as a process; killed when this goes.
class Process {
public:
    Process() = default;
    ~Process() { kill(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start(const std::string& program, const std::string& config_file, const std::string& log_file) {
        const auto variable = "ROUTER_CONFIG=" + config_file;
        char* const words[] = {const_cast<char*>(program.c_str()), nullptr};
        char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        pid_ = fork();
        if (pid_ != 0) return;
        const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, 2);
        execve(program.c_str(), words, environment);
        _exit(127);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        wait();
    }
    void signal(int what) const {
        if (pid_ > 0) ::kill(pid_, what);
    }
    int last_code() const { return last_code_; }
    // Its exit code, or minus the signal.
    int wait() {
        int status = 0;
        rusage used{};
        if (pid_ <= 0 || wait4(std::exchange(pid_, 0), &status, 0, &used) < 0) return -1;
        cpu_ += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
        return last_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    bool ended_by_itself() {
        siginfo_t seen{};
        if (pid_ <= 0 || waitid(P_PID, static_cast<id_t>(pid_), &seen, WEXITED | WNOHANG | WNOWAIT) != 0 ||
            seen.si_pid != pid_)
            return false;
        wait();
        return true;
    }
    // As wait(), but one that has not ended by then is killed.
    int wait_or_kill(int most_ms) {
        for (int ms = 0; ms < most_ms && pid_ > 0; ms += 10) {
            if (ended_by_itself()) return last_code_;
            usleep(10'000);
        }
        kill();
        return -SIGKILL;
    }
    double cpu() const { return cpu_; }

private:
    pid_t pid_ = 0;
    int last_code_ = 0;
    double cpu_ = 0;
};

class Live {
public:
    Live(const World& world, const LiveWords& words, std::function<void(const std::string&)> log)
        : words_(words), book_(world, std::move(log)), agenda_(scheduler_), chance_(world.seed + 1) {
        raise_descriptors();
        for (int i = 0; i < world.servers.count; ++i)
            servers_.push_back(std::make_unique<LiveServer>(scheduler_, agenda_, book_, i));
        std::vector<net::Endpoint> at;
        for (int i = 0; i < world.nodes; ++i) {
            lists_.push_back(std::make_unique<LiveList>(scheduler_, agenda_));
            lists_.back()->set(members(i));
            ports_.push_back(std::make_unique<HeldPort>());
            at_.push_back(ports_.back()->at());
            processes_.push_back(std::make_unique<Process>());
            start_node(i);
        }
        for (int i = 0; i < world.nodes; ++i) await(i);
        clients_ = std::make_unique<LiveClients>(scheduler_, agenda_, book_, at_, words.connections);
    }

    LiveTotals run() {
        book_.start = agenda_.now();
        say_world();
        clients_->start();
        const auto& troubles = book_.world.troubles;
        for (std::uint32_t i = 0; i < troubles.size(); ++i) {
            agenda_.at(book_.start + troubles[i].from, [this, i] { trouble(i, true); });
            agenda_.at(book_.start + troubles[i].until, [this, i] { trouble(i, false); });
        }
        look();
        Time longest = 0;
        for (const auto& each : book_.world.clients) longest = std::max(longest, each.type.route_timeout);
        const auto ends = book_.start + book_.world.length;
        const auto latest = ends + 3 * longest + 10 * kSecond;
        // Wakes at the end even if nothing happens then.
        agenda_.at(ends + 1, [] {});
        agenda_.at(latest, [] {});
        scheduler_.run(
            [&] { return (agenda_.now() >= ends && clients_->open() == 0) || agenda_.now() >= latest; });
        book_.say(agenda_.now(), "done");
        LiveTotals totals;
        static_cast<Totals&>(totals) = std::move(book_.totals);
        for (const auto& process : processes_) process->signal(SIGTERM);
        for (const auto& process : processes_) {
            totals.bad_exits += process->wait_or_kill(kPatienceMs) == 0 ? 0 : 1;
            totals.node_cpu_seconds += process->cpu();
        }
        rusage used{};
        getrusage(RUSAGE_SELF, &used);
        totals.own_cpu_seconds = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                                 static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
        totals.bad_exits += bad_exits_;
        totals.most_connections = most_connections_;
        totals.without_room = clients_->without_room();
        return totals;
    }

private:
    static void raise_descriptors() {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }

    LiveMember member(int server, int zone) const {
        const auto& condition = servers_[static_cast<std::size_t>(server)]->condition();
        LiveMember made;
        made.name = "s-" + std::to_string(server);
        made.zone = "z" + std::to_string(book_.world.zone_of_server(server));
        made.phase = !condition.up() ? "Gone" : condition.draining ? "Terminating" : "Ready";
        made.at = servers_[static_cast<std::size_t>(server)]->at(zone);
        made.place = server % book_.world.places();
        made.up_since_ms = condition.started < 0 ? 0 : condition.started / 10;
        return made;
    }
    std::vector<LiveMember> members(int node) const {
        std::vector<LiveMember> all;
        for (int i = 0; i < book_.world.servers.count; ++i)
            all.push_back(member(i, book_.world.zone_of_node(node)));
        return all;
    }

    void start_node(int node) {
        const auto which = static_cast<std::size_t>(node);
        const auto file = folder_.path + "/node-" + std::to_string(node) + ".json";
        std::ofstream(file) << node_config(book_.world, node, net::to_text(at_[which]),
                                           net::to_text(lists_[which]->at()),
                                           list_text(1, true, members(node)), chance_.bits());
        processes_[which]->start(words_.program, file,
                                 folder_.path + "/node-" + std::to_string(node) + ".log");
    }
    void await(int node) {
        const auto which = static_cast<std::size_t>(node);
        for (int tries = 0; tries < 1'000; ++tries) {
            if (accepts(at_[which])) return;
            if (processes_[which]->ended_by_itself()) break;
            usleep(10'000);
        }
        std::ostringstream said;
        said << std::ifstream(folder_.path + "/node-" + std::to_string(node) + ".log").rdbuf();
        throw stated::BadStated(words_.program + " did not come up: " + said.str().substr(0, 400));
    }

    void say_world() const {
        const auto& w = book_.world;
        book_.say(book_.start,
                  "world cold_from " + std::to_string(1 / w.servers.cold_factor) + " warm_after " +
                      std::to_string(w.servers.warm_after) + " fall " + std::to_string(w.cold.fall_multiple) +
                      " tip " + std::to_string(w.cold.tip_after) + " rate " +
                      std::to_string(w.servers.cores / (w.servers.part_ms.mean() * 10)) + " floor " +
                      std::to_string(w.further.floor) + " ratio " + std::to_string(w.further.ratio) +
                      " look_back " + std::to_string(w.further.look_back) + " stop " +
                      std::to_string(2'500 + kMoreTime) + " grace " + std::to_string(200 + kMoreTime));
        for (std::size_t kind = 0; kind < w.clients.size(); ++kind) {
            const auto& type = w.clients[kind].type;
            book_.say(book_.start, "kind " + std::to_string(kind) + " repeat " +
                                       (type.repeat == Repeat::kRetriable ? "retriable"
                                        : type.repeat == Repeat::kDeduped ? "deduped"
                                                                          : "non-retriable") +
                                       " least " + std::to_string(type.least_share) + " window " +
                                       std::to_string(type.dedup_window) + " budget " +
                                       std::to_string(type.latency_budget) + " name " + w.clients[kind].name);
        }
    }

    void look() {
        most_connections_ = std::max(most_connections_, clients_->connections());
        const auto second = (agenda_.now() - book_.start) / kSecond;
        if (words_.watch) words_.watch(static_cast<int>(second), clients_->open());
        agenda_.at(book_.start + (second + 1) * kSecond, [this] { look(); });
    }

    // Discovery's news of a server, to each front node after its lag, or once discovery is up again.
    void spread(int server) {
        if (discovery_down_ > 0) {
            unheard_.insert(server);
            return;
        }
        for (int node = 0; node < book_.world.nodes; ++node) {
            const auto lag = static_cast<Time>(book_.world.list_lag_ms(book_.chance) * 10 + 0.5);
            agenda_.at(agenda_.now() + lag, [this, node, server] {
                if (discovery_down_ > 0) {
                    unheard_.insert(server);
                    return;
                }
                const auto now = member(server, book_.world.zone_of_node(node));
                book_.say(agenda_.now(), "told " + std::to_string(node) + " server " +
                                             std::to_string(server) +
                                             (now.phase == "Ready" ? " ready" : " gone"));
                lists_[static_cast<std::size_t>(node)]->change(now);
            });
        }
    }

    void befall(const Trouble& trouble, int index, bool begins) {
        using Of = Trouble::Kind;
        auto& server = *servers_[static_cast<std::size_t>(index)];
        book_.say(agenda_.now(), "server " + std::to_string(index) + ' ' + name_of(trouble.kind) +
                                     (begins ? " begins" : " ends"));
        const bool silently = trouble.kind == Of::kVanish || trouble.kind == Of::kZoneLost;
        const bool down = silently || trouble.kind == Of::kCrash || trouble.kind == Of::kFlapping ||
                          trouble.kind == Of::kRolling;
        if (!down) return server.befall(trouble, begins);
        if (begins)
            server.take_down(silently);
        else
            server.bring_up(silently);
        spread(index);
    }

    void trouble(std::uint32_t index, bool begins) {
        using Of = Trouble::Kind;
        const auto& told = book_.world.troubles[index];
        book_.say(agenda_.now(), "trouble " + std::to_string(index) + ' ' + name_of(told.kind) +
                                     (begins ? " begins" : " ends"));
        switch (told.kind) {
            case Of::kCutOff: book_.cut[static_cast<std::size_t>(told.zone)] += begins ? 1 : -1; return;
            case Of::kShift: clients_->shift(begins ? Shift{told.zone, told.share} : Shift{}); return;
            case Of::kBadClients: clients_->misbehave(begins ? told.factor : 0); return;
            case Of::kReload:
                for (const auto node : struck(book_.world, index)) {
                    if (begins) processes_[node]->signal(SIGHUP);
                }
                return;
            case Of::kNodeRestarted:
                for (const auto node : struck(book_.world, index)) {
                    if (!begins) continue;
                    processes_[node]->signal(SIGTERM);
                    start_again_once_ended(static_cast<int>(node));
                }
                return;
            case Of::kSurge: clients_->surge(begins ? told.factor : 1 / told.factor); return;
            case Of::kDiscoveryDown:
                discovery_down_ += begins ? 1 : -1;
                for (const auto& list : lists_) {
                    if (begins && discovery_down_ == 1) list->go_down();
                    if (!begins && discovery_down_ == 0) list->come_up();
                }
                if (discovery_down_ > 0) return;
                for (const int server : std::exchange(unheard_, {})) spread(server);
                return;
            case Of::kNodeKilled:
                if (!begins) return;
                for (const auto node : struck(book_.world, index)) {
                    book_.say(agenda_.now(), "killed " + std::to_string(node));
                    ++book_.totals.node_kills;
                    processes_[node]->kill();
                    start_node(static_cast<int>(node));
                }
                return;
            default: break;
        }
        const auto servers = struck(book_.world, index);
        if (told.kind == Of::kPauses || told.kind == Of::kFlapping || told.kind == Of::kRolling) {
            if (!begins) return;
            auto first = agenda_.now();
            for (const auto server : servers) {
                const auto apart = told.kind == Of::kRolling
                                       ? told.every
                                       : told.every / std::max<Time>(1, static_cast<Time>(servers.size()));
                agenda_.at(first, [this, index, server] { spell(index, static_cast<int>(server), false); });
                first += apart;
            }
            return;
        }
        for (const auto server : servers) befall(told, static_cast<int>(server), begins);
    }

    void start_again_once_ended(int node) {
        constexpr net::Moment kLook = 100;
        auto& process = *processes_[static_cast<std::size_t>(node)];
        if (!process.ended_by_itself()) {
            agenda_.at(agenda_.now() + kLook, [this, node] { start_again_once_ended(node); });
            return;
        }
        if (process.last_code() != 0) ++bad_exits_;
        book_.say(agenda_.now(), "killed " + std::to_string(node));
        start_node(node);
    }

    void spell(std::uint32_t index, int server, bool ends) {
        const auto& told = book_.world.troubles[index];
        const bool rolling = told.kind == Trouble::Kind::kRolling;
        const auto next = [this, index, server](Time after, bool end) {
            agenda_.at(agenda_.now() + after, [this, index, server, end] { spell(index, server, end); });
        };
        if (ends) {
            befall(told, server, false);
            const Time until_next = told.every - told.for_time;
            if (!rolling && agenda_.now() - book_.start + until_next < told.until) next(until_next, false);
            return;
        }
        if (agenda_.now() - book_.start >= told.until) return;
        auto& state = *servers_[static_cast<std::size_t>(server)];
        if (rolling && !state.condition().draining && state.condition().up()) {
            state.drain();
            spread(server);
            return next(kDrain, false);
        }
        befall(told, server, true);
        next(told.for_time, true);
    }

    const LiveWords& words_;
    LiveBook book_;
    net::Scheduler scheduler_;
    Agenda agenda_;
    Chance chance_;
    Folder folder_;
    std::vector<std::unique_ptr<LiveServer>> servers_;
    std::vector<std::unique_ptr<LiveList>> lists_;  // by front node
    std::vector<std::unique_ptr<HeldPort>> ports_;  // of the front nodes
    std::vector<net::Endpoint> at_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::unique_ptr<LiveClients> clients_;
    int discovery_down_ = 0;
    int bad_exits_ = 0;
    std::set<int> unheard_;
    std::size_t most_connections_ = 0;
};

}  // namespace

std::string node_config(const World& world, int node, const std::string& listen, const std::string& discovery,
                        const std::string& known, std::uint64_t seed) {
    using Json = nlohmann::ordered_json;
    const auto ms = [](Time time) { return static_cast<double>(time) / 10; };
    Json classes = Json::array(), least = Json::array(), need = Json::array(), follow = Json::array(),
         shorter = Json::array(), zones = Json::array();
    for (const auto& each : world.clients) {
        const auto& type = each.type;
        classes.push_back({{"name", each.name},
                           {"aim_ms", ms(type.latency_budget)},
                           {"deadline_ms", ms(type.route_timeout)},
                           {"effect", type.repeat == Repeat::kRetriable ? "free"
                                      : type.repeat == Repeat::kDeduped ? "guarded"
                                                                        : "single_shot"},
                           {"memory_span_ms", ms(type.dedup_window)},
                           {"worth", type.importance},
                           {"late_worth", type.late_importance}});
        least.push_back(type.least_share);
        need.push_back(type.whole_share);
        follow.push_back(0);
        shorter.push_back(type.short_importance);
    }
    for (int zone = 0; zone < world.zones; ++zone) zones.push_back("z" + std::to_string(zone));
    Json tenants = Json::array();
    double shares = 0;
    for (const auto& each : world.tenants) shares += each.share;
    for (const auto& each : world.tenants)
        tenants.push_back({{"name", each.name},
                           {"fraction", shares > 0 ? each.share / shares : 0},
                           {"quota_per_s", each.per_second}});
    char seed_text[24];
    std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
    const Json settings{{"classes", classes},
                        {"clients", {{"marks_retry", false}}},
                        {"discovery", "on_request"},
                        {"failure_domains", zones},
                        {"family_info",
                         {{"places", world.places()},
                          {"shards", world.places()},
                          {"width", std::min(world.width, world.places())},
                          {"per_call", world.parts_per_call},
                          {"overhead_ms", world.servers.call_ms.mean()},
                          {"min_share", least},
                          {"need_by_class", need},
                          {"follow_up", follow},
                          {"short_worth", shorter},
                          {"warm_keys", false}}},
                        {"limits",
                         {{"cancel", world.sends.cancel},
                          {"conn_idle_ms", 30'000.0},
                          {"connect_timeout_ms", ms(world.sends.connect_timeout)},
                          {"max_attempts", world.sends.most_sends},
                          {"max_open", 20'000},
                          {"max_retry_after_ms", 1'000.0},
                          {"peers", false},
                          {"probes", false},
                          {"retry_after", true},
                          {"second_copies", world.sends.second_copies},
                          {"streams_per_conn", 64}}},
                        {"me", node},
                        {"siblings", world.nodes},
                        {"zone", world.zone_of_node(node)},
                        {"tick_ms", ms(world.turn)},
                        {"parties", tenants},
                        {"rules",
                         {{"cold_from", world.cold.from},
                          {"warm_after_ms", ms(world.cold.warm_after)},
                          {"fall_multiple", world.cold.fall_multiple},
                          {"tip_after_ms", ms(world.cold.tip_after)},
                          {"extra_floor", world.further.floor},
                          {"repeat_ratio", world.further.ratio},
                          {"look_back_ms", ms(world.further.look_back)},
                          {"grace_to_answer_ms", 20.0},
                          {"must_ask_in_ms", 1'600.0},
                          {"stop_sending_within_ms", 250.0}}}};
    const Json config{{"name", "lab-" + std::to_string(node)},
                      {"listen", listen},
                      {"discovery", discovery},
                      {"seed", seed_text},
                      {"limits", {{"cores", 1.0}, {"memory_mb", 512}, {"sockets", 8'192}}},
                      {"known", Json::parse(known)},
                      {"settings", settings}};
    return config.dump(1);
}

LiveTotals play_live(const World& world, const LiveWords& words,
                     const std::function<void(const std::string&)>& log) {
    if (access(words.program.c_str(), X_OK) != 0)
        throw stated::BadStated("'" + words.program + "' is no program; name pinedoor with --program");
    Live live(world, words, log);
    return live.run();
}

}  // namespace pinedoor::lab
