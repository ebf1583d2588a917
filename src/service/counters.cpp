#include "service/counters.hpp"

namespace pinedoor::service {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Count::kEnd)> kNames{
    "multigets_taken",
    "multigets_answered_whole",
    "multigets_answered_in_part",
    "multigets_pushed_back",
    "multigets_without_room",
    "multigets_failed",
    "clients_gone",
    "bad_requests",
    "names_repeated",
    "requests_without_memory",
    "requests_too_far_ahead",
    "requests_of_gone_clients",
    "clients_evicted",
    "clients_evicted_for_memory",
    "clients_yielded",
    "sends",
    "sends_returned",
    "sends_error",
    "sends_full",
    "sends_timed_out",
    "sends_no_connection",
    "sends_reset",
    "sends_cancelled",
    "sends_never_sent",
    "calls",
    "call_offs",
    "late_results",
    "bad_frames",
    "values_refused",
    "connections_opened",
    "connections_reused",
    "connections_closed_idle",
    "connections_closed_doubted",
    "connections_closed_by_server",
    "connections_closed_restarted",
    "connections_closed_bad_frame",
    "connections_closed_stalled",
    "connections_closed_for_memory",
    "connections_failed",
    "list_news",
    "list_failures",
    "list_entries_refused",
    "list_servers_without_room",
    "reloads",
    "reload_faults",
    "clients_accepted",
    "accept_failures",
    "turns",
    "tasks_threw",
    "invariants_broken",
    "log_lines_suppressed",
};

}  // namespace

std::string_view name_of(Count count) { return kNames[static_cast<std::size_t>(count)]; }

std::string Counters::print() const {
    std::string out;
    for (std::size_t i = 0; i < values_.size(); ++i) append_line(out, kNames[i], values_[i]);
    return out;
}

void append_line(std::string& out, std::string_view name, std::uint64_t value) {
    out += name;
    out += ' ' + std::to_string(value) + '\n';
}

}  // namespace pinedoor::service
