#include "lab/live/live_server.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "parse/frame.hpp"

namespace pinedoor::lab {
namespace {

constexpr std::size_t kMaxFrameBytes = 1U << 20U;
// The components of a part name such as "17n3.5".
struct PartName {
    std::uint64_t multiget = 0;
    int node = 0, shard = 0;
};
PartName parse_part_name(std::string_view id) {
    PartName name;
    const auto* const end = id.data() + id.size();
    auto read = std::from_chars(id.data(), end, name.multiget);
    read = std::from_chars(std::min(read.ptr + 1, end), end, name.node);
    std::from_chars(std::min(read.ptr + 1, end), end, name.shard);
    return name;
}

std::string part_name(const PartName& name) {
    return std::to_string(name.multiget) + '.' + std::to_string(name.shard);
}

}  // namespace

std::string multiget_name(std::uint64_t multiget, int node) {
    return std::to_string(multiget) + 'n' + std::to_string(node);
}

LiveServer::Listener::Listener(net::Scheduler& scheduler, net::Endpoint where)
    : fd(net::listen_on(where)), waiter(scheduler, fd.get()) {}

LiveServer::LiveServer(net::Scheduler& scheduler, TimerQueue& timers, LiveContext& context, int index)
    : scheduler_(scheduler), timers_(timers), context_(context), index_(index),
      zone_(context.world.zone_of_server(index)),
      model_(context.world.servers.cores, context.world.servers.queue) {
    dropping_from_.resize(static_cast<std::size_t>(context.world.zones));
    condition_.keys.resize(static_cast<std::size_t>(context.world.servers.keys_held));
    listeners_.resize(static_cast<std::size_t>(context.world.zones));
    ports_ = std::vector<HeldPort>(listeners_.size());
    open_listeners();
}

void LiveServer::open_listeners() {
    for (std::size_t zone = 0; zone < listeners_.size(); ++zone) {
        auto& listener = listeners_[zone];
        if (listener) continue;
        listener = std::make_unique<Listener>(scheduler_, ports_[zone].at());
        listener->task = accept(*listener, static_cast<int>(zone));
        listener->task.start([this](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
        });
    }
}

net::Task LiveServer::accept(Listener& listener, int zone) {
    constexpr net::Moment kPause =
        100;  // between attempts when accept() fails, such as without free descriptors
    for (;;) {
        auto [fd, error] = net::accept_from(listener.fd);
        if (fd) {
            const auto id = ++last_link_;
            context_.write_log(timers_.now(), "link " + std::to_string(index_));
            max_connections_in_a_second_ =
                std::max(max_connections_in_a_second_, ++opened_by_second_[timers_.now() / 10'000]);
            if (opened_by_second_.size() > 2) opened_by_second_.erase(opened_by_second_.begin());
            auto& link =
                *links_.emplace(id, std::make_unique<Link>(scheduler_, std::move(fd), zone)).first->second;
            link.task = serve(id, link);
            link.task.start([this, id](std::exception_ptr failure) {
                if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
                scheduler_.defer([this, id] { links_.erase(id); });
            });
            continue;
        }
        if (error == EAGAIN) listener.waiter.used_up(net::kRead);
        co_await listener.waiter.wait(error == EAGAIN ? unsigned{net::kRead} : 0U,
                                      error == EAGAIN ? net::kNever : scheduler_.clock() + kPause);
    }
}

net::Task LiveServer::serve(std::uint64_t id, Link& link) {
    auto& waiter = link.stream.waiter();
    while (!link.stream.broken()) {
        if (waiter.may(net::kRead)) {
            const auto got = link.stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            receive_frames(id, link);
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

void LiveServer::receive_frames(std::uint64_t id, Link& link) {
    auto& buffer = link.stream.buffer();
    for (;;) {
        const auto frame = parse::scan_frame(buffer.held(), kMaxFrameBytes);
        if (frame.state != parse::FrameScan::State::kFrame) return;
        if (frame.letter == 'S') receive_call(id, frame.rest);
        if (frame.letter == 'C') call_off(frame.rest);
        buffer.drop(frame.size);
    }
}

void LiveServer::receive_call(std::uint64_t link, std::string_view rest) {
    const auto at = links_.find(link);
    // Front nodes that get the list from a peer use the addresses of the peer's zone, so the caller's zone is
    // taken from the part name.
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
        const auto name = parse_part_name(id);
        zone = context_.world.zone_of_node(name.node);
        const Job job = ++last_job_;
        parts_[job] = {
            link, std::string(id), name.multiget, name.shard, part % context_.world.parts_per_call == 0,
            false};
        by_id_[std::string(id)] = job;
        ++context_.totals.sends;
        context_.write_log(timers_.now(), "send " + part_name(name) + " node " + std::to_string(name.node) +
                                              " server " + std::to_string(index_) + " number " +
                                              std::to_string(context_.sends[part_name(name)]++));
        const bool dropped = dropping_from_[static_cast<std::size_t>(zone)] > 0;
        if (condition_.vanished > 0 || dropped || context_.is_cut(zone, zone_)) {  // lost in transit
            parts_.erase(job);
            continue;
        }
        add_outstanding(1);
        timers_.run_at(timers_.now() + travel(zone), [this, job] { arrive(job); });
    }
}

// Changes the number of outstanding parts and logs each new maximum within a second.
void LiveServer::add_outstanding(int more) {
    outstanding_ += more;
    const auto second = timers_.now() / 10'000;
    if (std::exchange(max_outstanding_second_, second) != second) max_outstanding_ = 0;
    if (outstanding_ <= max_outstanding_) return;
    max_outstanding_ = outstanding_;
    context_.write_log(timers_.now(), "holds " + std::to_string(index_) + ' ' + std::to_string(outstanding_));
}

void LiveServer::call_off(std::string_view id) {
    const auto found = by_id_.find(std::string(id));
    if (found == by_id_.end()) return;
    const auto part = parts_.find(found->second);
    if (part == parts_.end()) return;
    if (!std::exchange(part->second.called_off, true)) add_outstanding(-1);
    if (!model_.call_off(found->second)) return;  // it is being processed or in transit
    parts_.erase(part);
    by_id_.erase(found);
}

Time LiveServer::travel(int zone) {
    return condition_.travel(context_.world, zone == zone_, context_.chance);
}

void LiveServer::arrive(Job job) {
    const auto found = parts_.find(job);
    if (found == parts_.end()) return;  // the server crashed meanwhile
    if (condition_.hung > 0) {
        held_jobs_.push_back(job);
        return;
    }
    context_.write_log(timers_.now(), "reach " + part_name(parse_part_name(found->second.id)) + " server " +
                                          std::to_string(index_));
    if (found->second.called_off) {
        by_id_.erase(found->second.id);
        parts_.erase(found);
    } else if (condition_.full > 0 || condition_.draining) {
        reply(job, "full", "");
    } else {
        switch (model_.offer(job)) {
            case ServerModel::Taken::kBegun: begin_part(job); break;
            case ServerModel::Taken::kQueued: break;
            case ServerModel::Taken::kFull: reply(job, "full", ""); break;
        }
    }
}

bool LiveServer::is_of_kind(const std::multiset<int>& kinds, Job job) const {
    if (kinds.empty()) return false;
    const auto kind = context_.kinds.find(parts_.at(job).multiget);
    return kinds.contains(kind == context_.kinds.end() ? 0 : kind->second);
}

void LiveServer::begin_part(Job job) {
    const auto& part = parts_.at(job);
    ++context_.totals.run;
    context_.write_log(timers_.now(),
                       "run " + part_name(parse_part_name(part.id)) + " server " + std::to_string(index_));
    const auto effect = context_.effects.find(part.multiget);
    if (effect != context_.effects.end() &&
        ++context_.run_counts[std::to_string(effect->second) + '.' + std::to_string(part.shard)] > 1)
        ++context_.totals.run_twice;
    if (is_of_kind(crash_kinds_, job)) {
        timers_.run_at(timers_.now(), [this] { on_crash_(); });
        return;
    }
    const auto work = condition_.work(context_.world, timers_.now(), part.first_of_call, 0, context_.chance);
    timers_.run_at(timers_.now() + work,
                   [this, job, generation = generation_] { finish_part(job, generation); });
}

void LiveServer::finish_part(Job job, std::uint32_t generation) {
    if (generation != generation_) return;
    const bool spoilt = condition_.spoilt > 0 && context_.chance.one() < condition_.spoilt;
    const bool fails = is_of_kind(failing_kinds_, job);
    const bool error = fails || (condition_.errors > 0 && context_.chance.one() < condition_.errors);
    reply(job, spoilt ? "spoilt" : error ? "failed" : "done", "v" + parts_.at(job).id);
    for (auto next = model_.ended(); next; next = model_.ended()) {
        if (!parts_.contains(*next)) continue;
        begin_part(*next);
        break;
    }
}

// Removes the part and sends its reply after the network delay.
void LiveServer::reply(Job job, const char* end, const std::string& value) {
    const auto found = parts_.find(job);
    const auto part = std::move(found->second);
    parts_.erase(found);
    by_id_.erase(part.id);
    if (!part.called_off) add_outstanding(-1);
    const auto link = links_.find(part.link);
    if (link == links_.end() || part.called_off) return;
    timers_.run_at(timers_.now() + travel(link->second->zone), [this, part, end, value] {
        const auto still = links_.find(part.link);
        if (still == links_.end() || condition_.vanished > 0 || context_.is_cut(still->second->zone, zone_))
            return;
        const std::string_view word = end;
        context_.write_log(timers_.now(), "back " + part_name(parse_part_name(part.id)) +
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
    for (const Job job : std::exchange(held_jobs_, {})) arrive(job);
}

void LiveServer::drop_from_zone(int zone, bool on) {
    for (std::size_t each = 0; each < dropping_from_.size(); ++each) {
        if (zone < 0 || static_cast<int>(each) == zone) dropping_from_[each] += on ? 1 : -1;
    }
}

void LiveServer::fail_kind(int kind, bool on) {
    if (on)
        failing_kinds_.insert(kind);
    else if (const auto one = failing_kinds_.find(kind); one != failing_kinds_.end())
        failing_kinds_.erase(one);
}

void LiveServer::crash_on_kind(int kind, bool on) {
    if (on)
        crash_kinds_.insert(kind);
    else if (const auto one = crash_kinds_.find(kind); one != crash_kinds_.end())
        crash_kinds_.erase(one);
}

void LiveServer::take_down(bool silently) {
    condition_.vanished += silently ? 1 : 0;
    if (++condition_.down > 1) return;
    ++generation_;
    model_.clear();
    parts_.clear();
    outstanding_ = 0;
    by_id_.clear();
    held_jobs_.clear();
    std::fill(condition_.keys.begin(), condition_.keys.end(), 0U);
    if (silently) return;  // its connections stay open without replies
    for (auto& listener : listeners_) listener = nullptr;
    for (auto& [id, link] : links_) {
        const linger now{1, 0};
        setsockopt(link->stream.fd().get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    links_.clear();
}

void LiveServer::bring_up(bool silently) {
    condition_.vanished -= silently ? 1 : 0;
    if (--condition_.down > 0) return;
    for (auto& [id, link] : links_) {  // resets the connections left from before a silent crash
        const linger now{1, 0};
        setsockopt(link->stream.fd().get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    links_.clear();
    condition_.draining = false;
    open_listeners();
    start_cold();
}

void LiveServer::start_cold() {
    condition_.started = timers_.now();
    context_.write_log(timers_.now(), "start " + std::to_string(index_));
}

}  // namespace pinedoor::lab
