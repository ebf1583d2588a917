// Discovery: the list of index servers (../given WIRE and PROTOCOL pages) and, if --map is given, the map of
// shards (docs/placement.md, "Over discovery").
//
//   disc2 --port P --members FILE [--map FILE] --record FILE
//
// FILE of members: a line a server, "ID HOST:PORT PHASE CELL UP_SINCE_MS"; it is read again when it changes,
// and the changes are told on the watches. A server that leaves the file is told as Gone. FILE of the map:
// the project's JSON form; each accepted change is written there, so a discovery that is started again has
// it.
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

#include "net2.hpp"
#include "placement/map_text.hpp"

using namespace review2;
namespace placement = pinedoor::placement;

namespace {

std::string read_file(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

class Discovery {
public:
    explicit Discovery(const Options& options)
        : members_path_(options.text("members")), map_path_(options.text("map")),
          record_(options.text("record")) {
        members_ = read_members();
        if (map_path_.empty()) return;
        const auto update = placement::read_map_update(read_file(map_path_), names_);
        const auto* whole = std::get_if<placement::WholeMap>(&update);
        if (whole == nullptr) std::exit(2);
        map_ = std::make_unique<placement::ShardMap>(placement::ShardMap::of(whole->shards, whole->version));
    }

    void serve(int fd) {
        Input input(fd);
        std::string head, body;
        while (input.until("\r\n\r\n", head)) {
            const auto target = head.substr(0, head.find("\r\n"));
            if (target.starts_with("POST ")) {
                if (!input.bytes(content_length(head), body)) break;
                const bool taken = change(body);
                if (!say(fd, std::string("HTTP/1.1 ") + (taken ? "200 OK" : "409 Conflict") +
                                 "\r\nContent-Length: 0\r\n\r\n"))
                    break;
                continue;
            }
            const bool shards = target.find("/shards") != std::string::npos;
            if (target.find("stream=1") == std::string::npos) {
                const auto text = shards ? whole_map() : whole_list();
                if (!say(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                                 "\r\n\r\n" + text))
                    break;
                continue;
            }
            watch(fd, shards);
            break;
        }
        close(fd);
    }

    // Looks at the file of members.
    void look() {
        const auto now = read_members();
        if (now.empty()) return;
        const std::lock_guard lock(mutex_);
        if (now == members_) return;
        std::string entries;
        for (const auto& [id, rest] : now) {
            const auto was = members_.find(id);
            if (was == members_.end() || was->second != rest) add(entries, entry(id, rest));
            if (was == members_.end() || was->second != rest)
                record_.line("discovery tells " + id + ' ' + rest);
        }
        for (const auto& [id, rest] : members_) {
            if (now.contains(id)) continue;
            auto gone = rest;
            const auto space = gone.find(' ');
            gone.replace(space + 1, gone.find(' ', space + 1) - space - 1, "Gone");
            add(entries, entry(id, gone));
            record_.line("discovery tells " + id + " Gone");
        }
        members_ = now;
        list_changes_.push_back("{\"revision\":" + std::to_string(++revision_) +
                                ",\"complete\":false,\"members\":[" + entries + "]}\n");
    }

private:
    using Members = std::map<std::string, std::string>;  // id -> "HOST:PORT PHASE CELL UP"

    Members read_members() const {
        Members all;
        std::istringstream in(read_file(members_path_));
        std::string line;
        while (std::getline(in, line)) {
            const auto space = line.find(' ');
            if (space != std::string::npos) all[line.substr(0, space)] = line.substr(space + 1);
        }
        return all;
    }
    static void add(std::string& list, const std::string& text) { list += (list.empty() ? "" : ",") + text; }
    static std::string entry(const std::string& id, const std::string& rest) {
        std::istringstream in(rest);
        std::string at, phase, cell, up;
        in >> at >> phase >> cell >> up;
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + at +
               "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + cell + ",\"phase\":\"" + phase +
               "\",\"size\":1.0,\"up_since_ms\":" + up + '}';
    }
    std::string whole_list() {
        const std::lock_guard lock(mutex_);
        std::string entries;
        for (const auto& [id, rest] : members_) add(entries, entry(id, rest));
        return "{\"revision\":" + std::to_string(revision_) + ",\"complete\":true,\"members\":[" + entries +
               "]}\n";
    }
    std::string whole_map() {
        const std::lock_guard lock(mutex_);
        return map_ ? placement::print_map(*map_, names_) + '\n' : "{}\n";
    }
    bool change(const std::string& body) {
        const std::lock_guard lock(mutex_);
        if (!map_) return false;
        const auto update = placement::read_map_update(body, names_);
        const auto* changes = std::get_if<placement::MapChanges>(&update);
        if (changes == nullptr || changes->after != map_->version()) return false;
        auto next_map = *map_;
        for (const auto& step : changes->steps) {
            auto next = next_map.after(step);
            if (!std::holds_alternative<placement::ShardMap>(next)) return false;
            next_map = std::get<placement::ShardMap>(next);
        }
        *map_ = next_map;
        const auto text = placement::print_map(*map_, names_);
        std::ofstream(map_path_ + ".new") << text;
        std::rename((map_path_ + ".new").c_str(), map_path_.c_str());
        record_.line("discovery takes the change " + body);
        map_changes_.push_back(body + '\n');
        return true;
    }
    // Tells the whole list or map first, then each change; an empty line every 2 s.
    void watch(int fd, bool shards) {
        auto& changes = shards ? map_changes_ : list_changes_;
        std::size_t told = 0;
        {
            const std::lock_guard lock(mutex_);
            told = changes.size();
        }
        const auto whole = shards ? whole_map() : whole_list();
        if (!say(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole))) return;
        for (auto beat = wall_ms();;) {
            std::vector<std::string> news;
            {
                const std::lock_guard lock(mutex_);
                for (; told < changes.size(); ++told) news.push_back(changes[told]);
            }
            for (const auto& each : news) {
                if (!say(fd, chunk(each))) return;
            }
            if (wall_ms() - beat >= 2'000) {
                beat = wall_ms();
                if (!say(fd, chunk("\n"))) return;
            }
            pollfd ready{fd, POLLIN, 0};
            if (poll(&ready, 1, 10) == 1) {
                char byte = 0;
                if (recv(fd, &byte, 1, 0) <= 0) return;
            }
        }
    }

    const std::string members_path_, map_path_;
    const Record record_;
    std::mutex mutex_;
    Members members_;
    int revision_ = static_cast<int>(wall_ms() / 1000 % 100'000'000);  // rises over a new start
    std::vector<std::string> list_changes_, map_changes_;
    placement::ServerNames names_;
    std::unique_ptr<placement::ShardMap> map_;
};

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const Options options(argc, argv);
    auto* const discovery = new Discovery(options);  // lives as long as the process
    const int listener = listen_at(options.number("port", 0));
    std::thread([discovery] {
        for (;;) {
            usleep(20'000);
            discovery->look();
        }
    }).detach();
    for (;;) {
        const int fd = accept_from(listener);
        if (fd >= 0) std::thread([discovery, fd] { discovery->serve(fd); }).detach();
    }
}
