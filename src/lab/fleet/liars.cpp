#include "lab/fleet/liars.hpp"

namespace pinedoor::lab {

MisreportingMembers::MisreportingMembers(net::Scheduler& scheduler, peers::PeerConfig peers,
                                         const std::vector<int>& zones) {
    for (const int zone : zones) {
        auto& member = members_.emplace_back();
        auto terms = peers;
        terms.listen = terms.advertise = member.port.at();
        const auto number = members_.size();
        member.carrier =
            std::make_unique<peers::PeerTransport>(scheduler, terms, "liar-" + std::to_string(number), zone,
                                                   number, [](std::string_view, const std::string&) {});
        member.carrier->start();
    }
}

// Reports the faulty servers first, since a message holds only about forty reports.
void MisreportingMembers::publish_reports(const std::vector<ServerState>& states) {
    constexpr std::size_t kMaxReportBytes = 880;
    constexpr peers::Time kReportLifetime = 150'000;
    std::string reports;
    for (const bool faulty : {true, false}) {
        for (const auto& each : states) {
            const auto report = each.server + (each.faulty ? " g 0 - 0 " : " b 0 - 0 ");
            if (each.faulty == faulty && reports.size() + report.size() <= kMaxReportBytes) reports += report;
        }
    }
    for (const auto& member : members_) member.carrier->publish("servers", reports, kReportLifetime);
}

}  // namespace pinedoor::lab
