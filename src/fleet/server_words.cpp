#include "fleet/server_words.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

namespace pinedoor::fleet {
namespace {

using OpinionKind = MemberReport::Opinion;

constexpr Time kSecond = 10'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr long long kMaxAgeMs = 3'600'000;
constexpr double kMaxPartsPerSecond = 1e6;

bool is_valid_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameLength &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 127; });
}

bool has_content(const MemberReport& report) {
    return report.opinion != OpinionKind::kNone || report.cold_duration >= 0;
}

std::string ms_or_dash(bool present, Time time) {
    return present ? std::to_string(std::max<Time>(0, time) / 10) : "-";
}

// Removes and returns the text up to the next blank; empty at the end.
std::string_view next_token(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(" \n\t")));
    const auto token = rest.substr(0, rest.find_first_of(" \n\t"));
    rest.remove_prefix(token.size());
    return token;
}

std::optional<long long> read_number(std::string_view token) {
    long long value = 0;
    const auto read = std::from_chars(token.data(), token.data() + token.size(), value);
    if (read.ec != std::errc() || read.ptr != token.data() + token.size()) return std::nullopt;
    return value;
}

// Reads whole milliseconds as a Time, clamped to one hour.
std::optional<Time> read_ms(std::string_view token) {
    const auto value = read_number(token);
    if (!value) return std::nullopt;
    return std::clamp<long long>(*value, 0, kMaxAgeMs) * 10;
}

}  // namespace

// One report is "NAME b|g|- EVIDENCE_AGE_MS|- COLD_MS|- PARTS_PER_SECOND "; b is faulty, g is healthy. Faulty
// servers come first, since they cost the others most; what exceeds the size of a record is left out.
std::string write_reports(const std::map<std::string, MemberReport>& reports) {
    std::vector<std::pair<const std::string*, const MemberReport*>> order;
    for (const auto& [name, each] : reports) {
        if (has_content(each) && is_valid_name(name)) order.emplace_back(&name, &each);
    }
    const auto rank = [](const MemberReport& each) {
        return std::pair(each.opinion == OpinionKind::kBad    ? 0
                         : each.opinion == OpinionKind::kGood ? 1
                                                              : 2,
                         -each.parts_per_second);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto& a, const auto& b) { return rank(*a.second) < rank(*b.second); });
    std::string out;
    for (const auto& [name, each] : order) {
        const bool opinion = each->opinion != OpinionKind::kNone;
        const auto entry = *name +
                           (each->opinion == OpinionKind::kBad ? " b "
                            : opinion                          ? " g "
                                                               : " - ") +
                           ms_or_dash(opinion, each->evidence_age) + ' ' +
                           ms_or_dash(each->cold_duration >= 0, each->cold_duration) + ' ' +
                           std::to_string(std::llround(each->parts_per_second)) + ' ';
        if (out.size() + entry.size() > peers::kLongestValue) break;
        out += entry;
    }
    return out;
}

std::map<std::string, MemberReport> read_reports(const std::string& text) {
    std::map<std::string, MemberReport> reports;
    for (std::string_view rest = text;;) {
        const std::string name(next_token(rest));
        const auto opinion = next_token(rest), seen = next_token(rest), cold = next_token(rest),
                   rate = next_token(rest);
        if (rate.empty()) return reports;
        const bool has_opinion = opinion == "b" || opinion == "g";
        const auto evidence_age = has_opinion ? read_ms(seen) : Time{0};
        const auto cold_duration = cold == "-" ? Time{-1} : read_ms(cold);
        const auto parts_per_second = read_number(rate);
        if (!evidence_age || !cold_duration || !parts_per_second || !is_valid_name(name)) continue;
        MemberReport each;
        if (has_opinion) each.opinion = opinion == "b" ? OpinionKind::kBad : OpinionKind::kGood;
        each.evidence_age = *evidence_age;
        each.cold_duration = *cold_duration;
        each.parts_per_second = std::clamp(static_cast<double>(*parts_per_second), 0.0, kMaxPartsPerSecond);
        reports[name] = each;
    }
}

// A record is parsed again only if its text changed: records are read up to ten times a second but change at
// most twice a second.
Said ReportReader::read(Time now, const std::vector<peers::PublishedRecord>& facts,
                        const std::map<std::string, int>& zones, const std::string& self) {
    Said result;
    result.voices = eligible_reporters(terms_, zones, self);
    std::map<std::string, ParsedRecord> previous = std::exchange(parsed_, {});
    for (const auto& fact : facts) {
        if (fact.origin == self || !zones.contains(fact.origin)) continue;  // not a live member
        const bool is_reporter = std::binary_search(result.voices.begin(), result.voices.end(), fact.origin);
        auto& parsed = parsed_[fact.origin];
        if (const auto old = previous.find(fact.origin); old != previous.end())
            parsed = std::move(old->second);
        if (parsed.text != fact.value) parsed = {fact.value, read_reports(fact.value)};
        for (const auto& [name, each] : parsed.reports) {
            auto& server = result.servers[name];
            if (is_reporter && each.opinion != OpinionKind::kNone)
                server.opinions.push_back(
                    {fact.origin, each.opinion == OpinionKind::kBad, now - fact.age - each.evidence_age});
            if (each.cold_duration < 0) continue;
            server.cold_durations.push_back(each.cold_duration + fact.age);
            server.parts_per_second += each.parts_per_second;
        }
    }
    return result;
}

// A member that has published an opinion keeps it for as long as it holds. If members withdrew theirs as soon
// as enough others report the same, all would withdraw and then all report again.
OpinionKind ReportPublisher::choose_opinion(Time now, const ServerObservation& seen,
                                            const Said& others) const {
    const auto reported = others.servers.find(seen.name);
    const auto published = published_.find(seen.name);
    const auto published_as = [&](OpinionKind kind) {
        return published != published_.end() && published->second.opinion == kind;
    };
    const auto verdict =
        judge(terms_.verdict, now, others.voices.size(),
              reported == others.servers.end() ? std::vector<Opinion>{} : reported->second.opinions);
    if (seen.looks_faulty() && now - seen.failed < terms_.verdict.lives)
        return published_as(OpinionKind::kBad) || !verdict.has_margin(true) ? OpinionKind::kBad
                                                                            : OpinionKind::kNone;
    if (!seen.looks_healthy() || now - seen.answered >= terms_.verdict.lives || verdict.evidence_at == 0)
        return OpinionKind::kNone;
    const bool has_newer_answer = seen.answered > verdict.evidence_at && !verdict.has_margin(false);
    return published_as(OpinionKind::kGood) || has_newer_answer ? OpinionKind::kGood : OpinionKind::kNone;
}

bool ReportPublisher::is_due(Time now, const Reports& reports) const {
    const auto same = [](const auto& a, const auto& b) {
        return a.first == b.first && a.second.opinion == b.second.opinion &&
               (a.second.cold_duration < 0) == (b.second.cold_duration < 0);
    };
    const Time since = now - published_at_;
    if (!std::equal(reports.begin(), reports.end(), published_.begin(), published_.end(), same))
        return since >= terms_.min_interval;
    if (reports.empty()) return false;
    const bool rates_changed = std::any_of(reports.begin(), reports.end(), [&](const auto& each) {
        return std::llround(each.second.parts_per_second) !=
               std::llround(published_.at(each.first).parts_per_second);
    });
    // There is later evidence than that of the published report.
    const auto newer_evidence = std::any_of(reports.begin(), reports.end(), [&](const auto& each) {
        return each.second.opinion != OpinionKind::kNone &&
               each.second.evidence_age + terms_.min_interval <
                   published_.at(each.first).evidence_age + since;
    });
    return (rates_changed && since >= terms_.every) ||
           (newer_evidence && since >= terms_.evidence_interval) || since >= terms_.lives / 3;
}

std::optional<std::string> ReportPublisher::tell(Time now, const std::vector<ServerObservation>& seen,
                                                 const Said& others) {
    // Rates are averages over at least `every`.
    if (now - rates_updated_at_ >= terms_.every) {
        const double seconds =
            rates_updated_at_ == 0 ? 0 : static_cast<double>(now - rates_updated_at_) / kSecond;
        rates_updated_at_ = now;
        std::map<std::string, std::uint64_t> parts_sent;
        parts_per_second_.clear();
        for (const auto& each : seen) {
            if (each.cold_duration < 0) continue;
            const auto before = parts_sent_.find(each.name);
            parts_sent[each.name] = each.parts_sent;
            if (before != parts_sent_.end() && seconds > 0 && each.parts_sent >= before->second)
                parts_per_second_[each.name] =
                    static_cast<double>(each.parts_sent - before->second) / seconds;
        }
        parts_sent_ = std::move(parts_sent);
    }
    Reports reports;
    for (const auto& each : seen) {
        MemberReport report;
        report.opinion = choose_opinion(now, each, others);
        report.evidence_age = std::max<Time>(0, now - std::max(each.failed, each.answered));
        report.cold_duration = each.cold_duration;
        if (const auto rate = parts_per_second_.find(each.name);
            each.cold_duration >= 0 && rate != parts_per_second_.end())
            report.parts_per_second = rate->second;
        if (has_content(report)) reports[each.name] = report;
    }
    if (!is_due(now, reports)) return std::nullopt;
    published_ = std::move(reports);
    published_at_ = now;
    return write_reports(published_);
}

std::map<std::string, ServerConsensus> ConsensusTracker::hear(Time now, const Said& others) {
    const auto count = others.voices.size();
    const auto agreeing = std::min<std::size_t>(2, std::max<std::size_t>(1, count));
    std::map<std::string, ServerConsensus> changed, current;
    for (const auto& [name, reported] : others.servers) {
        ServerConsensus consensus;
        const auto verdict = judge(terms_.verdict, now, count, reported.opinions);
        consensus.aside = verdict.aside;
        consensus.seen = verdict.aside ? verdict.evidence_at : 0;
        consensus.held = verdict.aside && !is_prober(terms_.verdict, now, count, verdict, self_, name);
        // The second shortest duration counts: a single wrong report would keep a warm server cold for all.
        if (reported.cold_durations.size() >= agreeing) {
            auto ages = reported.cold_durations;
            std::sort(ages.begin(), ages.end());
            consensus.cold_for = ages[agreeing - 1];
            consensus.taken = reported.parts_per_second;
        }
        if (!consensus.says_something()) continue;
        current[name] = consensus;
        const auto before = consensus_.find(name);
        // Changes due to the passage of time alone are not reported.
        const bool same = before != consensus_.end() && before->second.aside == consensus.aside &&
                          before->second.held == consensus.held && before->second.taken == consensus.taken &&
                          consensus.seen <= before->second.seen + terms_.min_interval &&
                          (before->second.cold_for < 0) == (consensus.cold_for < 0);
        if (same)
            current[name].seen = before->second.seen;
        else
            changed[name] = consensus;
    }
    for (const auto& [name, consensus] : consensus_) {
        if (!current.contains(name)) changed[name] = {};
    }
    consensus_ = std::move(current);
    return changed;
}

// One entry is "KEY MS ", with the key in hexadecimal, later keys last. If they exceed the size of a record,
// the first ones are left out.
std::string write_keys(const std::vector<std::pair<std::uint64_t, Time>>& keys) {
    std::string out;
    for (auto it = keys.rbegin(); it != keys.rend(); ++it) {
        char hex[17];
        const auto end = std::to_chars(hex, hex + sizeof hex, it->first, 16).ptr;
        const auto entry =
            std::string(hex, end) + ' ' + std::to_string(std::max<Time>(0, it->second) / 10) + ' ';
        if (out.size() + entry.size() > peers::kLongestValue) break;
        out.insert(0, entry);
    }
    return out;
}

std::vector<std::pair<std::uint64_t, Time>> read_keys(const std::string& text) {
    std::vector<std::pair<std::uint64_t, Time>> keys;
    for (std::string_view rest = text;;) {
        const auto key = next_token(rest), ms = next_token(rest);
        if (ms.empty()) return keys;
        std::uint64_t number = 0;
        const auto read = std::from_chars(key.data(), key.data() + key.size(), number, 16);
        if (read.ec != std::errc() || read.ptr != key.data() + key.size() || number == 0) continue;
        if (const auto until = read_ms(ms)) keys.emplace_back(number, *until);
    }
}

}  // namespace pinedoor::fleet
