// One index server. Plain: it runs every part that it is sent. With --map it holds shards by the map
// (docs/placement.md, "In calls" and "What the mover asks of a box"); what it keeps of a shard is written to
// --state before it is answered, so a server that is killed comes back with it, fenced if it was.
//
//   box2 --name s-1 --port P --record FILE [--map FILE --state FILE] [--source PORT --catch-up-ms N]
//        [--work-ms N] [--fail-shard N] [--copy-ms N]
//
// --source: the server that the log of a moved shard is fetched from, which takes --catch-up-ms a time.
// --copy-ms: a copy takes so long; until then it is not here. --fail-shard: parts of this shard end in
// `failed`, after they have run.
#include <algorithm>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>

#include "net2.hpp"
#include "placement/map_text.hpp"

using namespace review2;
namespace placement = pinedoor::placement;

namespace {

// What a box keeps of a shard; the rules are those of docs/placement.md.
struct Held {
    std::uint64_t first = 0, last = 0, epoch = 0, passed = 0, fenced_by = 0, ended = 0;
    std::uint64_t log = 0;   // parts run on it, as an owner
    std::uint64_t have = 0;  // parts that the copy has, as `to`
    int owns = 0, reads = 0, copy = 0;
};

class Box {
public:
    explicit Box(const Options& options)
        : name_(options.text("name")), state_path_(options.text("state")),
          source_port_(options.number("source", 0)), catch_up_ms_(options.number("catch-up-ms", 0)),
          work_ms_(options.number("work-ms", 5)), copy_ms_(options.number("copy-ms", 0)),
          fail_shard_(options.number("fail-shard", -1)), record_(options.text("record")) {
        if (state_path_.empty()) return;
        std::ifstream kept(state_path_);
        if (kept) {
            std::uint64_t id = 0;
            for (Held h; kept >> id >> h.first >> h.last >> h.epoch >> h.passed >> h.fenced_by >> h.ended >>
                         h.log >> h.have >> h.owns >> h.reads >> h.copy;)
                shards_[id] = h;
            return;
        }
        std::ostringstream text;
        text << std::ifstream(options.text("map")).rdbuf();
        placement::ServerNames names;
        const auto update = placement::read_map_update(text.str(), names);
        const auto* whole = std::get_if<placement::WholeMap>(&update);
        if (whole == nullptr) std::exit(2);
        for (const auto& shard : whole->shards) {
            for (const auto& each : shard.replicas) {
                if (names.name(each.box) != name_) continue;
                auto& held = shards_[shard.id];
                held.first = shard.first;
                held.last = shard.last;
                held.epoch = shard.epoch;
                held.owns = each.role == placement::Role::kOwner;
                held.reads = !held.owns;
                held.copy = 1;
            }
        }
        save();
    }

    void serve(int fd) {
        auto* const writing = new std::mutex;  // of this connection; it lasts as long as late answers may
        Input input(fd);
        std::string size, frame;
        while (input.bytes(4, size)) {
            std::uint32_t length = 0;
            for (int i = 3; i >= 0; --i)
                length = length << 8U | static_cast<unsigned char>(size[static_cast<std::size_t>(i)]);
            if (length == 0 || length > 1'000'000 || !input.bytes(length, frame)) break;
            if (frame[0] == 'M') answer(fd, *writing, 'M', move_request(frame.substr(1)));
            if (frame[0] == 'Z') answer(fd, *writing, 'Z', std::to_string(log_of(frame.substr(1))));
            if (frame[0] == 'H') answer(fd, *writing, 'H', "done");
            if (frame[0] == 'S') call(fd, *writing, frame.substr(1));
        }
        shutdown(fd, SHUT_RDWR);  // not closed: late answers may still be written to it
    }

    // Fetches the log of a shard that is moved here, once it is asked for up to a place that it has not
    // reached: that takes --catch-up-ms, and goes on as long as the source does not answer.
    void catch_up() {
        for (;;) {
            usleep(10'000);
            std::vector<std::uint64_t> wanted;
            {
                const std::lock_guard lock(mutex_);
                wanted.assign(wanted_.begin(), wanted_.end());
            }
            if (!wanted.empty()) usleep(static_cast<useconds_t>(catch_up_ms_) * 1'000);
            for (const auto id : wanted) {
                const int fd = connect_to(source_port_, 500);
                if (fd < 0) continue;
                std::string size, text;
                Input input(fd);
                const bool good = say(fd, frame_of('Z', std::to_string(id))) && input.bytes(4, size) &&
                                  input.bytes(static_cast<unsigned char>(size[0]), text);
                close(fd);
                if (!good) continue;
                const std::lock_guard lock(mutex_);
                shards_[id].have = std::strtoull(text.c_str() + 1, nullptr, 10);
                wanted_.erase(id);
                save();
            }
        }
    }

private:
    static std::string frame_of(char letter, const std::string& rest) {
        std::string out;
        const auto length = static_cast<std::uint32_t>(rest.size() + 1);
        for (unsigned i = 0; i < 4; ++i) out.push_back(static_cast<char>(length >> (8 * i) & 0xffU));
        return out + letter + rest;
    }
    static void answer(int fd, std::mutex& writing, char letter, const std::string& rest) {
        const std::lock_guard lock(writing);
        say(fd, frame_of(letter, rest));
    }

    void save() const {
        if (state_path_.empty()) return;
        {
            std::ofstream out(state_path_ + ".new");
            for (const auto& [id, h] : shards_)
                out << id << ' ' << h.first << ' ' << h.last << ' ' << h.epoch << ' ' << h.passed << ' '
                    << h.fenced_by << ' ' << h.ended << ' ' << h.log << ' ' << h.have << ' ' << h.owns << ' '
                    << h.reads << ' ' << h.copy << '\n';
        }
        std::rename((state_path_ + ".new").c_str(), state_path_.c_str());
    }

    std::uint64_t log_of(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return shards_[std::strtoull(id.c_str(), nullptr, 10)].log;
    }

    std::string move_request(const std::string& text) {
        std::istringstream in(text);
        std::string number, verb, first, last;
        std::uint64_t move = 0, shard = 0, epoch = 0, upto = 0, count = 0;
        in >> number >> verb >> move >> shard >> epoch >> first >> last >> upto;
        const std::lock_guard lock(mutex_);
        auto& h = shards_[shard];
        const bool over = move <= h.ended;
        bool yes = true;
        if (verb == "copy") {
            const auto begun = copies_.try_emplace(move, wall_ms()).first->second;
            yes = !over && wall_ms() - begun >= copy_ms_;
            if (yes && h.copy == 0) h.have = 0;
            if (yes) h.copy = 1;
            h.first = placement::read_key(first).value_or(1);
            h.last = placement::read_key(last).value_or(0);
        } else if (verb == "missing") {
            yes = !over;  // what is to come is fetched behind this
        } else if (verb == "fence") {
            yes = h.fenced_by == move || (!over && h.owns != 0 && epoch == h.epoch);
            if (yes) h.fenced_by = move;
            count = h.log;
        } else if (verb == "reach") {
            if (source_port_ == 0) h.have = std::max(h.have, upto);  // the log needs no time
            yes = !over && h.have >= upto;
            if (!over && !yes) wanted_.insert(shard);
            count = h.have;
        } else if (verb == "own") {
            yes = (h.owns != 0 && h.epoch == epoch) || (!over && h.copy != 0);
            if (yes && !(h.owns != 0 && h.epoch == epoch)) {
                h.owns = 1;
                h.reads = 0;
                h.epoch = epoch;
                h.log = std::max(h.log, h.have);
            }
        } else if (verb == "read") {
            yes = (h.reads != 0 && h.epoch >= epoch) ||
                  (!over && h.copy != 0 && (h.owns == 0 || h.fenced_by == move));
            if (yes && !(h.reads != 0 && h.epoch >= epoch)) {
                h.owns = 0;
                h.fenced_by = 0;
                h.reads = 1;
                h.epoch = epoch;
            }
        } else if (verb == "drop") {
            yes = move >= h.ended;
            if (yes) h.ended = std::max(h.ended, move);
            yes = yes && !(h.owns != 0 && h.fenced_by != move);
            if (yes) {
                h.owns = h.reads = h.copy = 0;
                h.fenced_by = 0;
                h.passed = std::max(h.passed, epoch);
            }
        } else if (verb == "unfence") {
            h.ended = std::max(h.ended, move);
            if (h.fenced_by == move) h.fenced_by = 0;
        }
        save();
        record_.line(name_ + " move " + verb + ' ' + std::to_string(move) + " shard " +
                     std::to_string(shard) + (yes ? " yes" : " no"));
        return number + (yes ? " yes " : " no ") + std::to_string(count);
    }

    // Decides on each part at once, and answers after the work.
    void call(int fd, std::mutex& writing, const std::string& text) {
        std::istringstream in(text);
        std::string id, list;
        std::uint64_t route = 0;
        for (std::size_t size = 0; in >> id >> route >> list >> size;) {
            in.ignore(1);
            std::string query(size, 0);
            in.read(query.data(), static_cast<std::streamsize>(size));
            std::string end = "done", value = "of " + query.substr(0, 40);
            std::string where = std::to_string(route);
            if (!state_path_.empty()) {
                std::istringstream words(query);
                char at = 0;
                std::uint64_t shard = 0, epoch = 0;
                std::string first, last;
                words >> at >> shard >> epoch >> first >> last;
                const auto what = query.substr(query.find('\n') + 1);
                const std::lock_guard lock(mutex_);
                auto& h = shards_[shard];
                const bool once = what.starts_with("once");
                const bool keys = h.first <= placement::read_key(first).value_or(0) &&
                                  placement::read_key(last).value_or(~0ULL) <= h.last;
                const bool may = keys && epoch == h.epoch &&
                                 (once ? h.owns != 0 && h.fenced_by == 0 : h.owns != 0 || h.reads != 0);
                where = std::to_string(shard) + " keys " + first + '-' + last;
                if (!may) {
                    end = "moved";
                    value = std::to_string(std::max(h.epoch, h.passed));
                } else if (once) {
                    ++h.log;
                    save();
                }
                if (may) value = "of " + what;
            } else if (static_cast<int>(route) == fail_shard_) {
                end = "failed";
                value.clear();
            }
            record_.line(name_ + (end == "moved" ? " refuses " : " runs ") + id + " shard " + where +
                         " ends " + end);
            const auto result = id + ' ' + end + " 7 -\n" + value;
            const int work = end == "done" ? work_ms_ : 1;
            std::thread([fd, &writing, result, work] {
                usleep(static_cast<useconds_t>(work) * 1'000);
                answer(fd, writing, 'R', result);
            }).detach();
        }
    }

    const std::string name_, state_path_;
    const int source_port_, catch_up_ms_, work_ms_, copy_ms_, fail_shard_;
    const Record record_;
    std::mutex mutex_;
    std::map<std::uint64_t, Held> shards_;
    std::map<std::uint64_t, std::int64_t> copies_;  // move -> when its copy began
    std::set<std::uint64_t> wanted_;                // shards whose log is to be fetched
};

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const Options options(argc, argv);
    auto* const box = new Box(options);  // lives as long as the process
    const int listener = listen_at(options.number("port", 0));
    if (options.number("source", 0) != 0) std::thread([box] { box->catch_up(); }).detach();
    for (;;) {
        const int fd = accept_from(listener);
        if (fd >= 0) std::thread([box, fd] { box->serve(fd); }).detach();
    }
}
