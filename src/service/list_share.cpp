#include "service/list_share.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "parse/http.hpp"

namespace pinedoor::service {
namespace {

constexpr Time kBeat = 10'000;
constexpr Time kBeatWithout = 2'000;  // interval while this node has no list and looks for a source
// A change of the list counts as received 6 s after it happened, whether it has arrived or not: an older
// confirmation is worthless.
constexpr Time kOldest = 60'000;
constexpr Time kPatience = 30'000;  // time without messages after which a source, or a request, is given up
constexpr Time kClaimLives =
    100'000;  // lifetime of a published revision; published again after a third of it
constexpr const char* kListTopic = "list";
constexpr std::size_t kMostFollowers = 64;
constexpr std::size_t kMostOut = std::size_t{1} << 20U;  // bytes that a follower has not read yet

std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

const char* phase_of(ServerState state) {
    return state == ServerState::kReady ? "Ready" : state == ServerState::kDraining ? "Terminating" : "Gone";
}

}  // namespace

ListShare::ListShare(net::Scheduler& scheduler, ListWatch& list, peers::Carrier& carrier, Log& log,
                     std::string name, std::uint64_t seed)
    : scheduler_(scheduler), list_(list), carrier_(carrier), log_(log), source_(std::move(name), seed, {}),
      waiter_(scheduler) {}

void ListShare::start() {
    list_.keep_by(*this);
    carrier_.watch([this](const peers::Changed&) { waiter_.signal(); });
    carrier_.take_guests([this](net::Stream& stream) { return serve(stream); });
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task ListShare::run() {
    for (;;) {
        const auto now = scheduler_.now();
        tell_members();
        // A source that sends old confirmations has lost its own source; one that sends nothing at all is
        // treated alike.
        if (called_ && !called_->discovery && now - called_at_ > kPatience && age() > kOldest)
            lose("its word is old");
        // The system of a suspended source accepts the call, but nothing is sent.
        if (source_.is_silent(now)) lose("it does not answer");
        if (const auto source = source_.tick(now)) follow(*source);
        if (now >= beat_at_) {
            beat_at_ = now + (have_ ? kBeat : kBeatWithout);
            if (fresh()) pass_on("{\"age_ms\":" + std::to_string(age() / 10) + ',' + via_text() + "}\n");
            compare();
            for (auto& follower : followers_) {
                follower.over |= !fresh() || follower.out.size() > kMostOut;
                follower.stream->waiter().signal();
            }
        }
        co_await waiter_.wait(0, std::min(beat_at_, std::max(source_.due(), now + 1)));
    }
}

void ListShare::tell_members() {
    peers::ListSource::Members members;
    for (const auto& claim : carrier_.membership().members()) members.emplace_back(claim.name, claim.at);
    source_.set_members(scheduler_.now(), std::move(members));
}

void ListShare::follow(const peers::ListSource::Source& source) {
    called_ = source;
    called_at_ = scheduler_.now();
    asked_discovery_ += source.discovery ? 1U : 0U;
    log_.event(
        Level::kInfo, "list_source",
        source.discovery ? "the list is asked of discovery" : "the list is asked of peer " + source.name);
    list_.call(source.discovery ? list_.discovery() : net::Endpoint{source.at.address, source.at.port});
}

void ListShare::lose(const char* why) {
    if (!called_) return;
    ++sources_lost_;
    log_.event(Level::kInfo, "list_source_lost",
               (called_->discovery ? std::string("discovery") : "peer " + called_->name) +
                   " as the list's source: " + why);
    called_.reset();
    source_.lost(scheduler_.now());
    waiter_.signal();
}

// Some of the members that have the list publish its revision. A node without a list calls one of them, and a
// node whose source stays behind for a while changes to one that is up to date.
void ListShare::compare() {
    const auto now = scheduler_.now();
    const bool says = source_.says() && fresh();
    const auto claim = says ? revision_ : std::string();
    if (claim != claimed_ || (says && now - claimed_at_ >= kClaimLives / 3)) {
        carrier_.publish(kListTopic, claim, kClaimLives);
        claimed_ = claim;
        claimed_at_ = now;
    }
    const auto number = [](const std::string& text) {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc{} && end == text.data() + text.size() ? value : 0;
    };
    std::map<std::string, peers::At> members;
    for (const auto& each : carrier_.membership().members()) members[each.name] = each.at;
    std::vector<peers::ListSource::Holding> others;
    for (const auto& fact : carrier_.gossip().facts(now, kListTopic)) {
        const auto member = members.find(fact.origin);
        if (member == members.end() || fact.origin == carrier_.membership().self().name) continue;
        others.push_back({{false, fact.origin, member->second}, number(fact.value)});
    }
    if (!source_.compare(now, have_ ? number(revision_) : 0, others)) return;
    ++behind_;
    log_.event(Level::kInfo, "list_source_behind", "the list's source lies behind another member's");
}

void ListShare::ended() { lose("the call ended"); }

void ListShare::moved(net::Endpoint) {
    if (called_ && called_->discovery) follow(*called_);
}

void ListShare::came(const std::string& revision, bool whole, const std::vector<Member>& members,
                     const Word& word) {
    const auto before = whole && have_ ? digest() : std::string();
    if (whole) members_.clear();
    for (const auto& member : members) {
        if (member.entry.state == ServerState::kGone)
            members_.erase(member.name);
        else
            members_[member.name] = member;
    }
    const bool same = whole && have_ && revision == revision_ && digest() == before;
    revision_ = revision;
    have_ = true;
    // A different digest means that changes were missed or arrived out of order: request the full list again,
    // and relay nothing meanwhile.
    if (!word.digest.empty() && word.digest != digest()) {
        ++digests_differed_;
        have_ = false;
        return lose("its digest differs from what is held here");
    }
    still(word);
    if (!have_ || same) return;  // the followers have this list already
    if (whole) {
        // Followers have the list before this one: send them the full list, too.
        std::vector<Member> all;
        all.reserve(members_.size());
        for (const auto& [name, member] : members_) all.push_back(member);
        return pass_on(line(true, all));
    }
    pass_on(line(false, members));
}

// Detects circles of members that get the list from each other: each message names the members that the list
// passed through, and a node that finds itself among them has no source. Without this check two nodes relayed
// one full list to each other thousands of times a second; it never grew old, and they missed every change.
void ListShare::still(const Word& word) {
    if (source_.is_circle(word.via)) {
        ++circles_;
        have_ = false;
        return lose("it has the list from this node");
    }
    via_ = word.via;
    if (!have_) return;
    said_at_ = std::max(said_at_, scheduler_.now() - word.age);
    if (word.age <= kOldest) source_.heard(scheduler_.now());
}

std::string ListShare::via_text() const {
    std::string out = "\"via\":[";
    for (const auto& name : via_) {
        parse::append_json_string(out, name);
        out += ',';
    }
    parse::append_json_string(out, carrier_.membership().self().name);
    return out + ']';
}

bool ListShare::fresh() const { return have_ && age() <= kOldest; }

std::string ListShare::member_text(const Member& member) const {
    const auto& entry = member.entry;
    std::string out = "{\"id\":";
    parse::append_json_string(out, member.name);
    out += ",\"host_port\":\"" + net::to_text(member.at) + '"';
    const auto zone = static_cast<std::size_t>(entry.zone);
    if (zone < list_.zones().size()) {
        out += ",\"locality\":";
        parse::append_json_string(out, list_.zones()[zone]);
    }
    char size[32];
    std::snprintf(size, sizeof size, "%.6g", entry.size);
    return out + ",\"cell\":" + std::to_string(entry.place) + ",\"phase\":\"" + phase_of(entry.state) +
           "\",\"size\":" + size + ",\"up_since_ms\":" + std::to_string(member.told_started / 10) + '.' +
           std::to_string(member.told_started % 10) + '}';
}

std::string ListShare::digest() const {
    std::uint64_t sum = members_.size();
    for (const auto& [name, member] : members_) {
        const auto text = member_text(member);
        sum = XXH64(text.data(), text.size(), sum);
    }
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(sum));
    return text;
}

std::string ListShare::line(bool whole, const std::vector<Member>& members) const {
    std::string out = "{\"revision\":" + revision_ + ",\"age_ms\":" + std::to_string(age() / 10) +
                      ",\"digest\":\"" + digest() + "\"," + via_text() +
                      ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[";
    for (const auto& member : members) {
        if (out.back() != '[') out += ',';
        out += member_text(member);
    }
    return out + "]}\n";
}

void ListShare::pass_on(const std::string& text) {
    for (auto& follower : followers_) {
        follower.out += chunk(text);
        follower.stream->waiter().signal();
    }
}

// Serves a member, which sends the same request as to discovery: first the full list, then changes, and its
// age every second.
net::Task ListShare::serve(net::Stream& stream) {
    struct Place {  // an entry among the followers for as long as this task runs
        std::list<Follower>& all;
        std::list<Follower>::iterator at;
        ~Place() { all.erase(at); }
    };
    auto& waiter = stream.waiter();
    parse::HttpReader reader(parse::HttpReader::Kind::kRequest);
    const auto until = scheduler_.now() + kPatience;
    while (reader.state() != parse::HttpReader::State::kDone) {
        stream.buffer().drop(reader.feed(stream.buffer().held()));
        if (reader.state() == parse::HttpReader::State::kDone) break;
        if (reader.state() == parse::HttpReader::State::kBad || scheduler_.now() >= until) co_return;
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            continue;
        }
        co_await waiter.wait(net::kRead, until);
    }
    const bool taken = fresh() && followers_.size() < kMostFollowers;
    ++(taken ? served_ : turned_away_);
    const Place place{followers_, followers_.insert(followers_.end(), Follower{&stream, {}, !taken})};
    auto& mine = *place.at;
    if (taken) {
        std::vector<Member> all;
        all.reserve(members_.size());
        for (const auto& [name, member] : members_) all.push_back(member);
        mine.out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line(true, all));
    } else {
        mine.out = parse::http_answer(503, "", "no list to pass on", true);
    }
    while (!stream.broken()) {
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            stream.buffer().drop(stream.buffer().held().size());
        }
        if (!mine.out.empty() && waiter.may(net::kWrite)) mine.out.erase(0, stream.write(mine.out));
        if (mine.over && mine.out.empty()) co_return;
        if (mine.over && mine.out.size() > kMostOut) co_return;
        co_await waiter.wait(net::kRead | (mine.out.empty() ? 0U : unsigned{net::kWrite}));
    }
}

std::string ListShare::print_gauges() const {
    std::string out;
    append_line(out, "list_place", static_cast<std::uint64_t>(std::max(0, source_.place())));
    append_line(out, "list_from_discovery", called_ && called_->discovery ? 1U : 0U);
    append_line(out, "list_followers", followers_.size());
    append_line(out, "list_followers_served", served_);
    append_line(out, "list_followers_turned_away", turned_away_);
    append_line(out, "list_sources_lost", sources_lost_);
    append_line(out, "list_digests_differed", digests_differed_);
    append_line(out, "list_sources_behind", behind_);
    append_line(out, "list_circles", circles_);
    append_line(out, "list_calls_at_discovery", asked_discovery_);
    return out;
}

}  // namespace pinedoor::service
