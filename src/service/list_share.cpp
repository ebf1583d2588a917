#include "service/list_share.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "parse/http.hpp"

namespace pinedoor::service {
namespace {

constexpr Time kHeartbeatInterval = 10'000;
constexpr Time kSearchInterval = 2'000;  // interval while this node has no list and looks for a source
// A change of the list counts as received 6 s after it happened, whether it has arrived or not: an older
// confirmation is worthless.
constexpr Time kMaxAge = 60'000;
constexpr Time kSourceTimeout =
    30'000;  // time without messages after which a source, or a request, is given up
constexpr Time kRevisionLifetime =
    100'000;  // lifetime of a published revision; published again after a third of it
constexpr const char* kListTopic = "list";
constexpr std::size_t kMaxFollowers = 64;
constexpr std::size_t kMaxPendingBytes = std::size_t{1} << 20U;  // bytes that a follower has not read yet

std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

const char* phase_of(ServerState state) {
    return state == ServerState::kReady ? "Ready" : state == ServerState::kDraining ? "Terminating" : "Gone";
}

}  // namespace

ServerListRelay::ServerListRelay(net::Scheduler& scheduler, ServerListClient& list,
                                 peers::PeerTransport& carrier, Log& log, std::string name,
                                 std::uint64_t seed)
    : scheduler_(scheduler), list_client_(list), carrier_(carrier), log_(log),
      source_selection_(std::move(name), seed, {}), waiter_(scheduler) {}

void ServerListRelay::start() {
    list_client_.set_listener(*this);
    carrier_.watch([this](const peers::MembershipChange&) { waiter_.signal(); });
    carrier_.set_http_handler([this](net::Stream& stream) { return serve_follower(stream); });
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task ServerListRelay::run() {
    for (;;) {
        const auto now = scheduler_.now();
        update_members();
        // A source that sends old confirmations has lost its own source; one that sends nothing at all is
        // treated alike.
        if (current_source_ && !current_source_->discovery && now - called_at_ > kSourceTimeout &&
            age() > kMaxAge)
            drop_source("its list is outdated");
        // The system of a suspended source accepts the call, but nothing is sent.
        if (source_selection_.is_silent(now)) drop_source("it does not answer");
        if (const auto source = source_selection_.tick(now)) call_source(*source);
        if (now >= next_heartbeat_at_) {
            next_heartbeat_at_ = now + (has_list_ ? kHeartbeatInterval : kSearchInterval);
            if (is_fresh()) broadcast("{\"age_ms\":" + std::to_string(age() / 10) + ',' + via_text() + "}\n");
            compare_revisions();
            for (auto& follower : followers_) {
                follower.closing |= !is_fresh() || follower.pending.size() > kMaxPendingBytes;
                follower.stream->waiter().signal();
            }
        }
        co_await waiter_.wait(0, std::min(next_heartbeat_at_, std::max(source_selection_.due(), now + 1)));
    }
}

void ServerListRelay::update_members() {
    peers::ListSource::Members members;
    for (const auto& claim : carrier_.membership().members()) members.emplace_back(claim.name, claim.at);
    source_selection_.set_members(scheduler_.now(), std::move(members));
}

void ServerListRelay::call_source(const peers::ListSource::Source& source) {
    current_source_ = source;
    called_at_ = scheduler_.now();
    discovery_calls_ += source.discovery ? 1U : 0U;
    log_.event(Level::kInfo, "list_source",
               source.discovery ? "requesting the server list from discovery"
                                : "requesting the server list from peer " + source.name);
    list_client_.call_source(source.discovery ? list_client_.discovery()
                                              : net::Endpoint{source.at.address, source.at.port});
}

void ServerListRelay::drop_source(const char* reason) {
    if (!current_source_) return;
    ++sources_lost_;
    log_.event(Level::kInfo, "list_source_lost",
               (current_source_->discovery ? std::string("discovery") : "peer " + current_source_->name) +
                   " dropped as source of the server list: " + reason);
    current_source_.reset();
    source_selection_.lost(scheduler_.now());
    waiter_.signal();
}

// Some of the members that have the list publish its revision. A node without a list calls one of them, and a
// node whose source stays behind for a while changes to one that is up to date.
void ServerListRelay::compare_revisions() {
    const auto now = scheduler_.now();
    const bool publishes = source_selection_.says() && is_fresh();
    const auto revision = publishes ? revision_ : std::string();
    if (revision != published_revision_ || (publishes && now - published_at_ >= kRevisionLifetime / 3)) {
        carrier_.publish(kListTopic, revision, kRevisionLifetime);
        published_revision_ = revision;
        published_at_ = now;
    }
    const auto number = [](const std::string& text) {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc{} && end == text.data() + text.size() ? value : 0;
    };
    std::map<std::string, peers::At> members;
    for (const auto& each : carrier_.membership().members()) members[each.name] = each.at;
    std::vector<peers::ListSource::ListHolder> others;
    for (const auto& fact : carrier_.gossip().facts(now, kListTopic)) {
        const auto member = members.find(fact.origin);
        if (member == members.end() || fact.origin == carrier_.membership().self().name) continue;
        others.push_back({{false, fact.origin, member->second}, number(fact.value)});
    }
    if (!source_selection_.compare(now, has_list_ ? number(revision_) : 0, others)) return;
    ++sources_behind_;
    log_.event(Level::kInfo, "list_source_behind",
               "the source of the server list is behind another member's");
}

void ServerListRelay::on_call_ended() { drop_source("the call ended"); }

void ServerListRelay::on_discovery_moved(net::Endpoint) {
    if (current_source_ && current_source_->discovery) call_source(*current_source_);
}

void ServerListRelay::on_list(const std::string& revision, bool whole,
                              const std::vector<ListedServer>& members, const SourceInfo& source) {
    const auto before = whole && has_list_ ? digest() : std::string();
    if (whole) members_.clear();
    for (const auto& member : members) {
        if (member.entry.state == ServerState::kGone)
            members_.erase(member.name);
        else
            members_[member.name] = member;
    }
    const bool is_unchanged = whole && has_list_ && revision == revision_ && digest() == before;
    revision_ = revision;
    has_list_ = true;
    // A different digest means that changes were missed or arrived out of order: request the full list again,
    // and relay nothing meanwhile.
    if (!source.digest.empty() && source.digest != digest()) {
        ++digest_mismatches_;
        has_list_ = false;
        return drop_source("its digest differs from what is held here");
    }
    on_alive(source);
    if (!has_list_ || is_unchanged) return;  // the followers have this list already
    if (whole) {
        // Followers have the list before this one: send them the full list, too.
        std::vector<ListedServer> all;
        all.reserve(members_.size());
        for (const auto& [name, member] : members_) all.push_back(member);
        return broadcast(list_text(true, all));
    }
    broadcast(list_text(false, members));
}

// Detects circles of members that get the list from each other: each message names the members that the list
// passed through, and a node that finds itself among them has no source. Without this check two nodes relayed
// one full list to each other thousands of times a second; it never grew old, and they missed every change.
void ServerListRelay::on_alive(const SourceInfo& source) {
    if (source_selection_.is_cycle(source.via)) {
        ++cycles_detected_;
        has_list_ = false;
        return drop_source("it gets the list from this node");
    }
    via_ = source.via;
    if (!has_list_) return;
    confirmed_at_ = std::max(confirmed_at_, scheduler_.now() - source.age);
    if (source.age <= kMaxAge) source_selection_.heard(scheduler_.now());
}

std::string ServerListRelay::via_text() const {
    std::string out = "\"via\":[";
    for (const auto& name : via_) {
        parse::append_json_string(out, name);
        out += ',';
    }
    parse::append_json_string(out, carrier_.membership().self().name);
    return out + ']';
}

bool ServerListRelay::is_fresh() const { return has_list_ && age() <= kMaxAge; }

std::string ServerListRelay::entry_text(const ListedServer& member) const {
    const auto& entry = member.entry;
    std::string out = "{\"id\":";
    parse::append_json_string(out, member.name);
    out += ",\"host_port\":\"" + net::to_text(member.endpoint) + '"';
    const auto zone = static_cast<std::size_t>(entry.zone);
    if (zone < list_client_.zones().size()) {
        out += ",\"locality\":";
        parse::append_json_string(out, list_client_.zones()[zone]);
    }
    char size[32];
    std::snprintf(size, sizeof size, "%.6g", entry.size);
    return out + ",\"cell\":" + std::to_string(entry.place) + ",\"phase\":\"" + phase_of(entry.state) +
           "\",\"size\":" + size + ",\"up_since_ms\":" + std::to_string(member.wall_started / 10) + '.' +
           std::to_string(member.wall_started % 10) + '}';
}

std::string ServerListRelay::digest() const {
    std::uint64_t sum = members_.size();
    for (const auto& [name, member] : members_) {
        const auto text = entry_text(member);
        sum = XXH64(text.data(), text.size(), sum);
    }
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(sum));
    return text;
}

std::string ServerListRelay::list_text(bool whole, const std::vector<ListedServer>& members) const {
    std::string out = "{\"revision\":" + revision_ + ",\"age_ms\":" + std::to_string(age() / 10) +
                      ",\"digest\":\"" + digest() + "\"," + via_text() +
                      ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[";
    for (const auto& member : members) {
        if (out.back() != '[') out += ',';
        out += entry_text(member);
    }
    return out + "]}\n";
}

void ServerListRelay::broadcast(const std::string& text) {
    for (auto& follower : followers_) {
        follower.closing |= follower.pending.size() > kMaxPendingBytes;
        if (!follower.closing) follower.pending += chunk(text);
        follower.stream->waiter().signal();
    }
}

// Serves a member, which sends the same request as to discovery: first the full list, then changes, and its
// age every second.
net::Task ServerListRelay::serve_follower(net::Stream& stream) {
    struct Registration {  // an entry among the followers for as long as this task runs
        std::list<Follower>& followers;
        std::list<Follower>::iterator position;
        ~Registration() { followers.erase(position); }
    };
    auto& waiter = stream.waiter();
    parse::HttpParser reader(parse::HttpParser::Kind::kRequest);
    const auto until = scheduler_.clock() + kSourceTimeout;
    while (reader.state() != parse::HttpParser::State::kDone) {
        stream.buffer().drop(reader.feed(stream.buffer().held()));
        if (reader.state() == parse::HttpParser::State::kDone) break;
        if (reader.state() == parse::HttpParser::State::kBad || scheduler_.now() >= until) co_return;
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            continue;
        }
        co_await waiter.wait(net::kRead, until);
    }
    const bool is_accepted = is_fresh() && followers_.size() < kMaxFollowers;
    ++(is_accepted ? followers_served_ : followers_rejected_);
    const Registration registration{followers_,
                                    followers_.insert(followers_.end(), Follower{&stream, {}, !is_accepted})};
    auto& follower = *registration.position;
    if (is_accepted) {
        std::vector<ListedServer> all;
        all.reserve(members_.size());
        for (const auto& [name, member] : members_) all.push_back(member);
        follower.pending =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_text(true, all));
    } else {
        follower.pending = parse::http_response(503, "", "no list to pass on", true);
    }
    while (!stream.broken()) {
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            stream.buffer().drop(stream.buffer().held().size());
        }
        if (!follower.pending.empty() && waiter.may(net::kWrite))
            follower.pending.erase(0, stream.write(follower.pending));
        if (follower.closing && follower.pending.empty()) co_return;
        if (follower.closing && follower.pending.size() > kMaxPendingBytes) co_return;
        co_await waiter.wait(net::kRead | (follower.pending.empty() ? 0U : unsigned{net::kWrite}));
    }
}

std::string ServerListRelay::print_gauges() const {
    std::string out;
    append_line(out, "list_place", static_cast<std::uint64_t>(std::max(0, source_selection_.place())));
    append_line(out, "list_from_discovery", current_source_ && current_source_->discovery ? 1U : 0U);
    append_line(out, "list_followers", followers_.size());
    append_line(out, "list_followers_served", followers_served_);
    append_line(out, "list_followers_turned_away", followers_rejected_);
    append_line(out, "list_sources_lost", sources_lost_);
    append_line(out, "list_digests_differed", digest_mismatches_);
    append_line(out, "list_sources_behind", sources_behind_);
    append_line(out, "list_circles", cycles_detected_);
    append_line(out, "list_calls_at_discovery", discovery_calls_);
    return out;
}

}  // namespace pinedoor::service
