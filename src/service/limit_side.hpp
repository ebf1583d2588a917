// Limits of the whole fleet in front of the exchange: what a limit turns away is pushed back at once, before
// anything is sent. Shares are lent among members (fleet/leases), or worked out from what all say that they need
// (fleet/about); each gate lets through what this node's allows.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/gate.hpp"
#include "peers/carrier.hpp"
#include "service/asking.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

class LimitSide : public Asker {
public:
    struct Names {
        std::vector<std::string> tenants, op_types;
        int nodes = 1;
        Time longest_wait = 0;  // 0: nobody is told when to return
    };
    // Throws std::invalid_argument if a limit names a tenant or an op type that is none.
    LimitSide(net::Scheduler& scheduler, Asker& inner, peers::Carrier& carrier, Log& log,
              const fleet::FleetTerms& terms, Names names, std::uint64_t seed);

    void start();
    void stop();  // gives back what was lent
    std::pair<Asked, Ticket> ask(MultigetAsked asked, std::function<void(Ending)> ended) override;
    store::PartFates leave(Ticket multiget) override { return inner_.leave(multiget); }
    Asked could_take(const std::string& name) const override { return inner_.could_take(name); }
    std::string print_gauges() const;

private:
    struct Limit {
        fleet::LimitTerms terms;
        int tenant = -1, op_type = -1;  // -1: any
        std::optional<fleet::Leases> leases;     // one of these two
        std::optional<fleet::AboutShare> about;
        fleet::Gate gate;
        bool owned = false;
        double may_use(Time now) { return leases ? leases->may_use(now) : about->may_use(now); }
    };

    net::Task run();
    void carry(std::vector<fleet::SendLease> all);
    void take(const std::string& from, const std::string& bytes);
    void tell_members();
    void share_about(Time now);  // hears what others need, and says what this node does
    std::string print() const;

    net::Scheduler& scheduler_;
    Asker& inner_;
    peers::Carrier& carrier_;
    Log& log_;
    const Time longest_wait_;
    std::vector<std::unique_ptr<Limit>> limits_;
    std::uint64_t unread_ = 0;
    Time about_at_ = 0;
    bool caught_up_ = false;  // held all that others did, once since the start
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
