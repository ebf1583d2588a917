// Test servers for placement: index servers that hold shards of a small data set, and a discovery that sends
// the server list and the shard map. The test sets which shards a server owns. A part is run only under the
// epoch of an owned shard, and every run is recorded, so that tests can check that no part ran twice.
//
// The data set has 1,200 points spread evenly over all keys. A part's value is the number of points in its
// keys.
#pragma once

#include <poll.h>

#include <atomic>
#include <chrono>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "placement/box_guard.hpp"
#include "placement/gatherer.hpp"
#include "placement/map_text.hpp"
#include "placement/shard_map.hpp"
#include "stand_ins.hpp"

namespace pinedoor::test {

inline std::uint64_t points_in(placement::Key first, placement::Key last) {
    const placement::Key step = std::numeric_limits<placement::Key>::max() / 1'200;
    const placement::Key from = first / step + (first % step == 0 ? 0 : 1), upto = last / step;
    return upto >= from ? upto - from + 1 : 0;
}

// The expected response of the front node for these of `count` splits.
inline std::string whole_answer(const std::vector<int>& splits, std::uint64_t count = 12) {
    std::string text = "200 {\"whole\":true,\"results\":[";
    for (const int split : splits) {
        const auto [first, last] = placement::Gatherer::keys_of(split, count);
        text += (text.back() == '[' ? "" : ",") + std::string("{\"partition\":") + std::to_string(split) +
                ",\"value\":\"" + std::to_string(points_in(first, last)) + "\"}";
    }
    return text + "]}";
}

// A part that was run.
struct Run {
    std::size_t box = 0;   // index from 0
    std::string multiget;  // the client's name for it
    placement::Key first = 0, last = 0;
    std::string query;
};

// The index servers, served by one thread. Server numbers count from 1.
class TestServers {
public:
    explicit TestServers(std::size_t count) : boxes_(count) {
        thread_ = std::thread([this] { run(); });
    }
    ~TestServers() {
        stop_ = true;
        thread_.join();
    }
    std::vector<Listed> listed() const {
        std::vector<Listed> all;
        for (std::size_t b = 0; b < boxes_.size(); ++b)
            all.push_back({"s-" + std::to_string(b + 1), boxes_[b].listener.at()});
        return all;
    }

    // Makes all servers, or one, own and read shards by this map.
    void use_map(const placement::ShardMap& map) {
        for (std::size_t b = 1; b <= boxes_.size(); ++b) use_map(map, b);
    }
    void use_map(const placement::ShardMap& map, std::size_t box) {
        const std::lock_guard lock(mutex_);
        auto& mine = boxes_[box - 1].shards;
        std::set<placement::ShardId> here;
        for (const auto& shard : map.shards()) {
            for (const auto& each : shard.replicas) {
                if (each.box != box) continue;
                here.insert(shard.id);
                const bool owner = each.role == placement::Role::kOwner;
                auto& held = mine[shard.id];
                if (held.guard.epoch() != shard.epoch || held.guard.owns() != owner)
                    held = {shard.first, shard.last, placement::ShardGuard(owner, shard.epoch, !owner)};
            }
        }
        for (auto& [id, held] : mine) {  // shards that this server no longer holds by the new map
            if (here.contains(id) || !(held.guard.owns() || held.guard.reads())) continue;
            const auto* now = map.find(id);
            held.guard = placement::ShardGuard(false, now == nullptr ? held.guard.epoch() + 1 : now->epoch);
        }
    }
    // The state of a shard at a server.
    placement::ShardGuard guard(std::size_t box, placement::ShardId shard) const {
        const std::lock_guard lock(mutex_);
        const auto at = boxes_[box - 1].shards.find(shard);
        return at == boxes_[box - 1].shards.end() ? placement::ShardGuard{} : at->second.guard;
    }
    // Servers refuse `copy` requests until the copy has lasted this long.
    void set_copy_duration(int ms) { copy_ms_ = ms; }
    void set_reply_delay(int ms) { answer_ms_ = ms; }
    // Parts that a server runs are run at once and answered after this time, even if they are cancelled
    // meanwhile; refusals are answered at once.
    void set_run_time(int ms) { run_ms_ = ms; }
    // A server turns away, as full, all parts of the shards that it owns.
    void set_full(std::size_t box, bool is) { full_server_ = is ? box : 0; }
    // Takes a server down: it closes its connections and refuses new ones. It comes back with its saved
    // state.
    void set_down(std::size_t box, bool is) { down_server_ = is ? box : 0; }
    // Holds back all parts at the servers; they are decided on after release.
    void hold(bool held) { held_ = held; }
    std::size_t waiting() const {
        const std::lock_guard lock(mutex_);
        return waiting_;
    }
    std::vector<Run> runs() const {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    // Number of pairs of runs with common keys, among the runs of one multiget with this query.
    std::size_t count_repeated_runs(const std::string& query) const {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::vector<const Run*>> by_name;
        std::size_t twice = 0;
        for (const auto& each : runs_) {
            if (each.query != query) continue;
            auto& others = by_name[each.multiget];
            for (const auto* other : others) twice += each.first <= other->last && other->first <= each.last;
            others.push_back(&each);
        }
        return twice;
    }

private:
    struct ShardState {
        placement::Key first = 0, last = 0;
        placement::ShardGuard guard;
    };
    struct Box {
        Listener listener;
        std::map<placement::ShardId, ShardState> shards;
    };
    struct Part {
        std::string id, query;
        placement::ShardId shard = 0;
        placement::Epoch epoch = 0;
        placement::Key first = 0, last = 0;
        std::chrono::steady_clock::time_point received_at;
        bool runs = false;
    };
    struct Connection {
        std::size_t box = 0;
        Peer peer;
        std::vector<Part> parts;
    };

    void run() {
        std::vector<Connection> connections;
        while (!stop_) {
            std::vector<pollfd> polled;
            for (const auto& box : boxes_) polled.push_back({box.listener.fd(), POLLIN, 0});
            for (const auto& connection : connections) polled.push_back({connection.peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 2);
            for (std::size_t i = connections.size(); i-- > 0;) {
                bool open = connections[i].box + 1 != down_server_;
                if (open && polled[boxes_.size() + i].revents != 0) {
                    do open = read(connections[i]);
                    while (open && connections[i].peer.has_buffered_data());
                }
                if (!open) {
                    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
                    continue;
                }
                if (!held_) answer(connections[i]);
            }
            std::size_t waiting = 0;
            for (const auto& connection : connections) waiting += connection.parts.size();
            {
                const std::lock_guard lock(mutex_);
                waiting_ = waiting;
            }
            for (std::size_t b = 0; b < boxes_.size(); ++b) {
                if (polled[b].revents == 0) continue;
                auto peer = boxes_[b].listener.accept();
                if (b + 1 != down_server_) connections.push_back({b, std::move(peer), {}});
            }
        }
    }

    // Answers a request of a move (docs/placement.md).
    std::string answer_move(std::size_t box, std::istringstream& in) {
        std::string number, verb, first, last;
        placement::MoveId move = 0;
        placement::ShardId shard = 0;
        placement::Epoch epoch = 0;
        std::uint64_t upto = 0, position = 0;
        in >> number >> verb >> move >> shard >> epoch >> first >> last >> upto;
        const std::lock_guard lock(mutex_);
        auto& held = boxes_[box].shards[shard];
        bool yes = true;
        if (verb == "copy") {
            const auto begun =
                copies_.try_emplace({box, move}, std::chrono::steady_clock::now()).first->second;
            yes = std::chrono::steady_clock::now() - begun >= std::chrono::milliseconds(copy_ms_) &&
                  held.guard.copy(move);
            held.first = placement::read_key(first).value_or(1);
            held.last = placement::read_key(last).value_or(0);
        } else if (verb == "fence") {
            yes = held.guard.fence(move, epoch);
            position = runs_.size();
        } else if (verb == "reach") {
            position = upto;
        } else if (verb == "own") {
            yes = held.guard.own(move, epoch);
        } else if (verb == "read") {
            yes = held.guard.read(move, epoch);
        } else if (verb == "drop") {
            yes = held.guard.drop(move, epoch);
        } else if (verb == "unfence") {
            yes = held.guard.unfence(move);
        }
        ++asked_;
        return 'M' + number + (yes ? " yes " : " no ") + std::to_string(position);
    }

    bool read(Connection& connection) {
        const auto frame = connection.peer.frame();
        if (frame == "nothing") return false;
        std::istringstream in(frame.substr(1));
        if (frame[0] == 'M') {
            connection.peer.write_frame(answer_move(connection.box, in));
            return true;
        }
        if (frame[0] == 'C') {
            std::string id;
            in >> id;
            std::erase_if(connection.parts, [&id](const Part& part) { return part.id == id; });
            return true;
        }
        Part part;
        std::string route, first, last;
        for (std::size_t size = 0; in >> part.id >> route >> size;) {
            in.ignore(1);
            std::string text(size, 0);
            in.read(text.data(), static_cast<std::streamsize>(size));
            std::istringstream head(text);
            char at = 0;
            head >> at >> part.shard >> part.epoch >> first >> last;
            head.ignore(1);
            std::getline(head, part.query);
            part.first = placement::read_key(first).value_or(1);
            part.last = placement::read_key(last).value_or(0);
            part.received_at = std::chrono::steady_clock::now();
            connection.parts.push_back(part);
        }
        return true;
    }

    void answer(Connection& connection) {
        const std::lock_guard lock(mutex_);
        const auto until = std::chrono::steady_clock::now() - std::chrono::milliseconds(answer_ms_);
        for (const auto& part : std::exchange(connection.parts, {})) {
            if (part.received_at > until) {
                connection.parts.push_back(part);
                continue;
            }
            if (part.runs) {
                finish_run(connection, part);
                continue;
            }
            const auto at = boxes_[connection.box].shards.find(part.shard);
            placement::ShardGuard::Verdict verdict;
            if (at != boxes_[connection.box].shards.end() && at->second.first <= part.first &&
                part.last <= at->second.last) {
                const auto& guard = at->second.guard;
                verdict = part.query == "once" ? guard.may_run(part.epoch) : guard.may_read(part.epoch);
            }
            if (!verdict.run) {
                connection.peer.reply(part.id, "moved", std::to_string(verdict.known));
                continue;
            }
            if (connection.box + 1 == full_server_) {
                connection.peer.reply(part.id, "full");
                continue;
            }
            auto name = part.id.substr(0, part.id.find('.'));
            runs_.push_back(
                {connection.box, name.substr(0, name.find('~')), part.first, part.last, part.query});
            finish_run(connection, part);
        }
    }
    // Answers a part that has been run, or keeps it for the rest of its run time.
    void finish_run(Connection& connection, Part part) {
        if (std::chrono::steady_clock::now() - part.received_at < std::chrono::milliseconds(run_ms_)) {
            part.runs = true;
            connection.parts.push_back(std::move(part));
            return;
        }
        connection.peer.reply(part.id, "done", std::to_string(points_in(part.first, part.last)));
    }

    std::vector<Box> boxes_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    std::size_t waiting_ = 0;
    std::size_t asked_ = 0;  // number of requests of moves
    std::map<std::pair<std::size_t, placement::MoveId>, std::chrono::steady_clock::time_point> copies_;
    std::atomic<int> copy_ms_ = 0;
    std::atomic<int> answer_ms_ = 0;
    std::atomic<int> run_ms_ = 0;
    std::atomic<std::size_t> down_server_ = 0;
    std::atomic<std::size_t> full_server_ = 0;
    std::atomic<bool> held_ = false;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// A discovery server for the server list and the shard map.
class MapDiscovery {
public:
    MapDiscovery() {
        thread_ = std::thread([this] { run(); });
    }
    ~MapDiscovery() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at() const { return listener_.at(); }

    void list(std::vector<Listed> members) {
        const std::lock_guard lock(mutex_);
        members_ = std::move(members);
    }
    void map(const std::string& whole) {  // the response to requests for the map
        const std::lock_guard lock(mutex_);
        whole_ = whole;
    }
    // Sets the authoritative map, which clients can change by posted steps.
    void set_map(const placement::ShardMap& map, const placement::ServerNames& names) {
        const std::lock_guard lock(mutex_);
        names_ = names;
        current_map_ = std::make_unique<placement::ShardMap>(map);
        whole_ = print_map(map, names_);
    }
    placement::ShardMap current_map() const {
        const std::lock_guard lock(mutex_);
        return *current_map_;
    }
    void broadcast(const std::string& line) {  // sent to all open streams of the map
        const std::lock_guard lock(mutex_);
        pending_lines_.push_back(line);
    }
    void set_down(bool is_down) { down_ = is_down; }                  // refuses requests and closes streams
    void refuse_changes(bool refused) { refuse_changes_ = refused; }  // answers 409, whatever the change
    std::size_t map_request_count() const { return map_requests_; }   // number of requests for the map

private:
    void run() {
        std::vector<Peer> lists, maps;
        for (int turn = 0; !stop_; ++turn) {
            pollfd ready{listener_.fd(), POLLIN, 0};
            if (poll(&ready, 1, 5) == 1) {
                auto peer = listener_.accept();
                const auto head = peer.read_to("\r\n\r\n");
                const bool posted = head.starts_with("POST ");
                const auto body = posted ? peer.read_bytes(length_in(head)) : "";
                const std::lock_guard lock(mutex_);
                if (posted) {
                    const bool accepted = !down_ && !refuse_changes_ && apply_changes(body);
                    peer.say(std::string("HTTP/1.1 ") + (accepted ? "200 OK" : "409 Conflict") +
                             "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                    continue;
                }
                const bool shards = head.find("/discovery/shards") != std::string::npos;
                const bool stream = head.find("stream=1") != std::string::npos;
                const auto text = shards ? whole_ : list_object(1, true, members_);
                if (shards) ++map_requests_;
                if (down_) continue;
                if (!stream) {
                    peer.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                             "\r\nConnection: close\r\n\r\n" + text);
                    continue;
                }
                peer.say(kStream + (text.empty() ? "" : chunk(text + '\n')));
                (shards ? maps : lists).push_back(std::move(peer));
            }
            if (down_) {
                lists.clear();
                maps.clear();
            }
            const std::lock_guard lock(mutex_);
            for (const auto& line : std::exchange(pending_lines_, {})) {
                for (auto& peer : maps) peer.say(chunk(line + '\n'));
            }
            if (turn % 100 != 0) continue;
            for (auto& peer : lists) peer.say(chunk("\n"));
            for (auto& peer : maps) peer.say(chunk("\n"));
        }
    }

    static std::size_t length_in(const std::string& head) {
        const auto at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 16, nullptr, 10);
    }
    bool apply_changes(const std::string& body) {
        const auto news = placement::read_map_update(body, names_);
        const auto* changes = std::get_if<placement::MapChanges>(&news);
        if (changes == nullptr || !current_map_ || changes->after != current_map_->version()) return false;
        auto map = *current_map_;
        for (const auto& step : changes->steps) {
            auto next = map.after(step);
            if (!std::holds_alternative<placement::ShardMap>(next)) return false;
            map = std::get<placement::ShardMap>(next);
        }
        *current_map_ = map;
        whole_ = print_map(map, names_);
        pending_lines_.push_back(body);
        return true;
    }

    Listener listener_;
    mutable std::mutex mutex_;
    placement::ServerNames names_;
    std::unique_ptr<placement::ShardMap> current_map_;
    std::vector<Listed> members_;
    std::string whole_;
    std::vector<std::string> pending_lines_;
    std::atomic<std::size_t> map_requests_ = 0;
    std::atomic<bool> down_ = false;
    std::atomic<bool> refuse_changes_ = false;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

}  // namespace pinedoor::test
