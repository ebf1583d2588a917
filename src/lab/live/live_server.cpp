#include "lab/live/live_server.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "parse/frame.hpp"

namespace pinedoor::lab {
namespace {

constexpr std::size_t kLargestFrame = 1U << 20U;
// The multiget's number and the shard in "17n3.5", and the front node's.
struct PartName {
    std::uint64_t multiget = 0;
    int node = 0, shard = 0;
};
PartName read_name(std::string_view id) {
    PartName name;
    const auto* const end = id.data() + id.size();
    auto read = std::from_chars(id.data(), end, name.multiget);
    read = std::from_chars(std::min(read.ptr + 1, end), end, name.node);
    std::from_chars(std::min(read.ptr + 1, end), end, name.shard);
    return name;
}

std::string dotted(const PartName& name) {
    return std::to_string(name.multiget) + '.' + std::to_string(name.shard);
}

}  // namespace

std::string multiget_name(std::uint64_t multiget, int node) {
    return std::to_string(multiget) + 'n' + std::to_string(node);
}

LiveServer::Door::Door(net::Scheduler& scheduler, net::Endpoint where)
    : fd(net::listen_on(where)), waiter(scheduler, fd.get()) {}

LiveServer::LiveServer(net::Scheduler& scheduler, Agenda& agenda, LiveBook& book, int index)
    : scheduler_(scheduler), agenda_(agenda), book_(book), index_(index),
      zone_(book.world.zone_of_server(index)), model_(book.world.servers.cores, book.world.servers.queue) {
    deaf_to_.resize(static_cast<std::size_t>(book.world.zones));
    condition_.keys.resize(static_cast<std::size_t>(book.world.servers.keys_held));
    doors_.resize(static_cast<std::size_t>(book.world.zones));
    ports_ = std::vector<HeldPort>(doors_.size());
    open_doors();
}

void LiveServer::open_doors() {
    for (std::size_t zone = 0; zone < doors_.size(); ++zone) {
        auto& door = doors_[zone];
        if (door) continue;
        door = std::make_unique<Door>(scheduler_, ports_[zone].at());
        door->task = accept(*door, static_cast<int>(zone));
        door->task.start([this](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
        });
    }
}

net::Task LiveServer::accept(Door& door, int zone) {
    constexpr net::Moment kPause = 100;  // while descriptors are used up
    for (;;) {
        auto [fd, error] = net::accept_from(door.fd);
        if (fd) {
            const auto id = ++last_link_;
            book_.say(agenda_.now(), "link " + std::to_string(index_));
            most_in_a_second_ = std::max(most_in_a_second_, ++opened_[agenda_.now() / 10'000]);
            if (opened_.size() > 2) opened_.erase(opened_.begin());
            auto& link =
                *links_.emplace(id, std::make_unique<Link>(scheduler_, std::move(fd), zone)).first->second;
            link.task = serve(id, link);
            link.task.start([this, id](std::exception_ptr failure) {
                if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
                scheduler_.defer([this, id] { links_.erase(id); });
            });
            continue;
        }
        if (error == EAGAIN) door.waiter.used_up(net::kRead);
        co_await door.waiter.wait(error == EAGAIN ? unsigned{net::kRead} : 0U,
                                  error == EAGAIN ? net::kNever : scheduler_.now() + kPause);
    }
}

net::Task LiveServer::serve(std::uint64_t id, Link& link) {
    auto& waiter = link.stream.waiter();
    while (!link.stream.broken()) {
        if (waiter.may(net::kRead)) {
            const auto got = link.stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            take_frames(id, link);
        }
        if (link.written < link.out.size() && waiter.may(net::kWrite))
            link.written += link.stream.write(std::string_view(link.out).substr(link.written));
        if (link.written == link.out.size()) {
            link.out.clear();
            link.written = 0;
        }
        co_await waiter.wait(net::kRead | (link.out.empty() ? 0U : unsigned{net::kWrite}));
    }
}

void LiveServer::take_frames(std::uint64_t id, Link& link) {
    auto& buffer = link.stream.buffer();
    for (;;) {
        const auto frame = parse::scan_frame(buffer.held(), kLargestFrame);
        if (frame.state != parse::FrameScan::State::kFrame) return;
        if (frame.letter == 'S') take_call(id, frame.rest);
        if (frame.letter == 'C') call_off(frame.rest);
        buffer.drop(frame.size);
    }
}

void LiveServer::take_call(std::uint64_t link, std::string_view rest) {
    const auto at = links_.find(link);
    // With peers a list is passed on with the addresses of its holder's zone: who asks tells where it comes
    // from.
    int& zone = at->second->zone;
    for (int part = 0; !rest.empty(); ++part) {
        const auto line_end = rest.find('\n');
        if (line_end == std::string_view::npos) return;
        const auto line = rest.substr(0, line_end);
        const auto id = line.substr(0, line.find(' '));
        std::size_t size = 0;
        const auto size_text = line.substr(line.rfind(' ') + 1);
        std::from_chars(size_text.data(), size_text.data() + size_text.size(), size);
        rest.remove_prefix(std::min(rest.size(), line_end + 1 + size));
        const auto name = read_name(id);
        zone = book_.world.zone_of_node(name.node);
        const Job job = ++last_job_;
        parts_[job] = {
            link, std::string(id), name.multiget, name.shard, part % book_.world.parts_per_call == 0, false};
        by_id_[std::string(id)] = job;
        ++book_.totals.sends;
        book_.say(agenda_.now(), "send " + dotted(name) + " node " + std::to_string(name.node) + " server " +
                                     std::to_string(index_) + " number " +
                                     std::to_string(book_.sends[dotted(name)]++));
        const bool deaf = deaf_to_[static_cast<std::size_t>(zone)] > 0;
        if (condition_.vanished > 0 || deaf || book_.is_cut(zone, zone_)) {  // lost on its way
            parts_.erase(job);
            continue;
        }
        note_in_hand(1);
        agenda_.at(agenda_.now() + travel(zone), [this, job] { arrive(job); });
    }
}

// A line for each second's new most.
void LiveServer::note_in_hand(int more) {
    in_hand_ += more;
    const auto second = agenda_.now() / 10'000;
    if (std::exchange(most_in_hand_at_, second) != second) most_in_hand_ = 0;
    if (in_hand_ <= most_in_hand_) return;
    most_in_hand_ = in_hand_;
    book_.say(agenda_.now(), "holds " + std::to_string(index_) + ' ' + std::to_string(in_hand_));
}

void LiveServer::call_off(std::string_view id) {
    const auto found = by_id_.find(std::string(id));
    if (found == by_id_.end()) return;
    const auto part = parts_.find(found->second);
    if (part == parts_.end()) return;
    if (!std::exchange(part->second.called_off, true)) note_in_hand(-1);
    if (!model_.call_off(found->second)) return;  // it is worked on, or on its way
    parts_.erase(part);
    by_id_.erase(found);
}

Time LiveServer::travel(int zone) { return condition_.travel(book_.world, zone == zone_, book_.chance); }

void LiveServer::arrive(Job job) {
    const auto found = parts_.find(job);
    if (found == parts_.end()) return;  // it died meanwhile
    if (condition_.hung > 0) {
        held_.push_back(job);
        return;
    }
    book_.say(agenda_.now(),
              "reach " + dotted(read_name(found->second.id)) + " server " + std::to_string(index_));
    if (found->second.called_off) {
        by_id_.erase(found->second.id);
        parts_.erase(found);
    } else if (condition_.full > 0 || condition_.draining) {
        reply(job, "full", "");
    } else {
        switch (model_.offer(job)) {
            case ServerModel::Taken::kBegun: begin(job); break;
            case ServerModel::Taken::kQueued: break;
            case ServerModel::Taken::kFull: reply(job, "full", ""); break;
        }
    }
}

bool LiveServer::is_of(const std::multiset<int>& kinds, Job job) const {
    if (kinds.empty()) return false;
    const auto kind = book_.kinds.find(parts_.at(job).multiget);
    return kinds.contains(kind == book_.kinds.end() ? 0 : kind->second);
}

void LiveServer::begin(Job job) {
    const auto& part = parts_.at(job);
    ++book_.totals.run;
    book_.say(agenda_.now(), "run " + dotted(read_name(part.id)) + " server " + std::to_string(index_));
    const auto effect = book_.effects.find(part.multiget);
    if (effect != book_.effects.end() &&
        ++book_.ran[std::to_string(effect->second) + '.' + std::to_string(part.shard)] > 1)
        ++book_.totals.run_twice;
    if (is_of(dying_, job)) {
        agenda_.at(agenda_.now(), [this] { killed_(); });
        return;
    }
    const auto work = condition_.work(book_.world, agenda_.now(), part.first_of_call, 0, book_.chance);
    agenda_.at(agenda_.now() + work, [this, job, era = era_] { worked(job, era); });
}

void LiveServer::worked(Job job, std::uint32_t era) {
    if (era != era_) return;
    const bool spoilt = condition_.spoilt > 0 && book_.chance.one() < condition_.spoilt;
    const bool fails = is_of(failing_, job);
    const bool error = fails || (condition_.errors > 0 && book_.chance.one() < condition_.errors);
    reply(job, spoilt ? "spoilt" : error ? "failed" : "done", "v" + parts_.at(job).id);
    for (auto next = model_.ended(); next; next = model_.ended()) {
        if (!parts_.contains(*next)) continue;
        begin(*next);
        break;
    }
}

// After its way back; what it was for is over here.
void LiveServer::reply(Job job, const char* end, const std::string& value) {
    const auto found = parts_.find(job);
    const auto part = std::move(found->second);
    parts_.erase(found);
    by_id_.erase(part.id);
    if (!part.called_off) note_in_hand(-1);
    const auto link = links_.find(part.link);
    if (link == links_.end() || part.called_off) return;
    agenda_.at(agenda_.now() + travel(link->second->zone), [this, part, end, value] {
        const auto still = links_.find(part.link);
        if (still == links_.end() || condition_.vanished > 0 || book_.is_cut(still->second->zone, zone_))
            return;
        const std::string_view word = end;
        book_.say(agenda_.now(), "back " + dotted(read_name(part.id)) +
                                     (word == "done"     ? " returned"
                                      : word == "failed" ? " error"
                                      : word == "full"   ? " full"
                                                         : " reset"));
        auto frame = parse::begin_frame('R');
        frame += part.id + ' ' + end + " 1 -\n" + value;
        parse::end_frame(frame);
        still->second->out += frame;
        still->second->stream.waiter().signal();
    });
}

void LiveServer::apply_fault(const Trouble& trouble, bool begins) {
    condition_.apply_fault(trouble, begins);
    if (condition_.hung > 0) return;
    for (const Job job : std::exchange(held_, {})) arrive(job);
}

void LiveServer::be_deaf_to(int zone, bool on) {
    for (std::size_t each = 0; each < deaf_to_.size(); ++each) {
        if (zone < 0 || static_cast<int>(each) == zone) deaf_to_[each] += on ? 1 : -1;
    }
}

void LiveServer::fail_kind(int kind, bool on) {
    if (on)
        failing_.insert(kind);
    else if (const auto one = failing_.find(kind); one != failing_.end())
        failing_.erase(one);
}

void LiveServer::die_by_kind(int kind, bool on) {
    if (on)
        dying_.insert(kind);
    else if (const auto one = dying_.find(kind); one != dying_.end())
        dying_.erase(one);
}

void LiveServer::take_down(bool silently) {
    condition_.vanished += silently ? 1 : 0;
    if (++condition_.down > 1) return;
    ++era_;
    model_.clear();
    parts_.clear();
    in_hand_ = 0;
    by_id_.clear();
    held_.clear();
    std::fill(condition_.keys.begin(), condition_.keys.end(), 0U);
    if (silently) return;  // its connections stay, and nothing answers
    for (auto& door : doors_) door = nullptr;
    for (auto& [id, link] : links_) {
        const linger now{1, 0};
        setsockopt(link->stream.fd().get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    links_.clear();
}

void LiveServer::bring_up(bool silently) {
    condition_.vanished -= silently ? 1 : 0;
    if (--condition_.down > 0) return;
    for (auto& [id, link] : links_) {  // those of before a machine that vanished
        const linger now{1, 0};
        setsockopt(link->stream.fd().get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    links_.clear();
    condition_.draining = false;
    open_doors();
    begin_cold();
}

void LiveServer::begin_cold() {
    condition_.started = agenda_.now();
    book_.say(agenda_.now(), "start " + std::to_string(index_));
}

}  // namespace pinedoor::lab
