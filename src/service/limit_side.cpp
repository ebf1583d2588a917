#include "service/limit_side.hpp"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include "fleet/lease_text.hpp"
#include "service/counters.hpp"

namespace pinedoor::service {
namespace {

constexpr Time kUpdateInterval =
    1'000;  // interval at which the needs of others and the module's use are read

int index_of(const std::vector<std::string>& names, const std::string& name, const std::string& what) {
    if (name.empty()) return -1;
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) throw std::invalid_argument(what + " names " + name + ", which is not configured");
    return static_cast<int>(at - names.begin());
}

}  // namespace

double FleetLimiter::Limit::need(Time now) {
    switch (terms.of) {
        case Of::kMultigets: return gate.need(now);
        case Of::kFurtherSends:
            return 1 + further_demand.need(now);  // sends that the share prevented are not visible
        case Of::kConnections: return pace.need(now, allowance(now));
        case Of::kPartsOut: return parts_out.need();
    }
    return 0;
}

std::string FleetLimiter::Limit::print_use() const {
    if (terms.of == Of::kMultigets)
        return "passed " + std::to_string(gate.passed()) + ", turned away " +
               std::to_string(gate.turned_away());
    if (terms.of == Of::kConnections) return "put off " + std::to_string(pace.put_off());
    return "enforced by the decision module";
}

FleetLimiter::FleetLimiter(net::Scheduler& scheduler, RequestHandler& inner, Dispatcher& dispatcher,
                           peers::PeerTransport* carrier, Log& log, const fleet::FleetTerms& terms,
                           Options options, std::uint64_t seed)
    : scheduler_(scheduler), inner_(inner), dispatcher_(dispatcher), carrier_(carrier), log_(log),
      max_retry_after_(options.max_retry_after), waiter_(scheduler) {
    for (const auto& each : terms.limits) {
        const auto where = "fleet.limits " + each.name;
        limits_.push_back(
            std::unique_ptr<Limit>(new Limit{each,
                                             index_of(options.tenants, each.tenant, where + ".tenant"),
                                             index_of(options.op_types, each.op_type, where + ".op_type"),
                                             0,
                                             {},
                                             {},
                                             fleet::Gate(each, ++seed),
                                             fleet::ConnectionRateLimiter(each),
                                             {},
                                             fleet::TokenBucket(each),
                                             {},
                                             false}));
        auto& limit = *limits_.back();
        switch (each.kind) {
            case fleet::LimitConfig::Kind::kAlone: limit.even_share = each.per_second / options.nodes; break;
            case fleet::LimitConfig::Kind::kAbout:
                limit.about.emplace(terms.about(each, options.nodes));
                break;
            case fleet::LimitConfig::Kind::kStrict: {
                const auto& self = carrier->membership().self();
                limit.leases.emplace(each.name, self.name, self.life, terms.leases(each, options.nodes),
                                     scheduler.clock());
            }
        }
    }
}

bool FleetLimiter::has_limit(Of kind) const {
    return std::any_of(limits_.begin(), limits_.end(),
                       [kind](const auto& each) { return each->terms.of == kind; });
}

void FleetLimiter::start() {
    if (has_limit(Of::kPartsOut) || has_limit(Of::kFurtherSends)) update_module(scheduler_.clock());
    if (carrier_ != nullptr) register_handlers();
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void FleetLimiter::register_handlers() {
    carrier_->watch([this](const peers::MembershipChange&) { update_members(); });
    carrier_->set_direct_message_handler(
        fleet::kLeaseTopic,
        [this](const std::string& from, const std::string& bytes) { receive_lease(from, bytes); });
    carrier_->answer_to("limits", [this](std::string_view) { return print(); });
    update_members();
}

void FleetLimiter::stop() {
    for (auto& each : limits_) {
        if (each->leases) send_leases(each->leases->leave(scheduler_.clock()));
    }
}

net::Task FleetLimiter::run() {
    for (;;) {
        if (scheduler_.clock() >= next_needs_at_) exchange_needs(scheduler_.clock());
        if (scheduler_.clock() >= next_module_update_at_) update_module(scheduler_.clock());
        Time due = std::min(next_needs_at_, next_module_update_at_);
        for (auto& each : limits_) {
            if (!each->leases) continue;
            const auto now = scheduler_.clock();
            each->leases->need(each->need(now));
            if (now >= each->leases->due()) send_leases(each->leases->tick(now));
            due = std::min(due, each->leases->due());
            const bool owns = each->leases->owns(now);
            if (owns != std::exchange(each->owned, owns))
                log_.event(
                    Level::kInfo, owns ? "limit_owned" : "limit_not_owned",
                    "limit " + each->terms.name +
                        (owns ? " is leased out by this node" : " is not leased out by this node any more"));
        }
        co_await waiter_.wait(0, std::max(due, scheduler_.clock() + 1));
    }
}

void FleetLimiter::exchange_needs(Time now) {
    next_needs_at_ = net::kNever;
    if (carrier_ == nullptr) return;
    caught_up_ = caught_up_ || !carrier_->gossip().behind();
    std::map<std::string, std::vector<double>> needs;  // limit -> needs of the other nodes
    std::size_t members = 0;
    for (auto& each : limits_) {
        if (!each->about) continue;
        if (next_needs_at_ == net::kNever) {
            std::map<std::string, bool> member_names;
            for (const auto& claim : carrier_->membership().members()) member_names[claim.name] = true;
            members = member_names.size();
            for (const auto& fact : carrier_->gossip().facts(now, fleet::kNeedsTopic)) {
                if (fact.origin == carrier_->membership().self().name || !member_names.contains(fact.origin))
                    continue;
                for (const auto& [limit, need] : fleet::read_needs(fact.value)) needs[limit].push_back(need);
            }
            next_needs_at_ = now + kUpdateInterval;
        }
        each->about->hear(now, needs[each->terms.name], members, caught_up_);
    }
    std::map<std::string, double> published_needs;
    bool has_changes = false;
    Time lifetime = 0;
    for (auto& each : limits_) {
        if (!each->about) continue;
        each->about->need(each->need(now));
        has_changes = each->about->say(now).has_value() || has_changes;
        published_needs[each->terms.name] = each->about->said();
        lifetime = each->about->lives();
    }
    if (has_changes) carrier_->publish(fleet::kNeedsTopic, fleet::write_needs(published_needs), lifetime);
}

// A share is valid for a few intervals and no longer than the lease it is based on, so that a process that
// was suspended does not go on using it.
void FleetLimiter::update_module(Time now) {
    FleetQuota share;
    share.until = now + 3 * kUpdateInterval;
    int most_out = 0;
    if (has_limit(Of::kPartsOut)) {
        for (const auto& [name, view] : dispatcher_.servers()) most_out = std::max(most_out, view.parts_out);
    }
    const double sent = dispatcher_.further_sends();
    const double recent = sent - std::exchange(further_sends_seen_, sent);
    for (auto& each : limits_) {
        const double share_now = each->allowance(now);
        if (each->terms.of == Of::kPartsOut) {
            each->parts_out.see(now, most_out);
            share.parts_out = std::min(share.parts_out, static_cast<int>(std::min(share_now, 1e9)));
        } else if (each->terms.of == Of::kFurtherSends) {
            if (recent > 0) each->further_demand.came(now, recent);
            each->further_sends.take(recent);
            share.further = std::min(share.further, sent + each->further_sends.refill(now, share_now));
        } else {
            continue;
        }
        if (each->leases && each->leases->lease_expires_at() > now)
            share.until = std::min(share.until, each->leases->lease_expires_at());
    }
    dispatcher_.notify(share);
    next_module_update_at_ = now + kUpdateInterval;
}

bool FleetLimiter::may_connect(net::Endpoint at) {
    const auto now = scheduler_.clock();
    const auto server = std::uint64_t{at.address} << 16U | at.port;
    std::vector<Limit*> paces;
    for (auto& each : limits_) {
        if (each->terms.of == Of::kConnections) paces.push_back(each.get());
    }
    return fleet::acquire_all(
               paces, [&](Limit* each) { return each->pace.has_room(now, server, each->allowance(now)); },
               [&](Limit* each) { each->pace.try_open(now, server, each->allowance(now)); })
        .empty();
}

void FleetLimiter::send_leases(std::vector<fleet::OutgoingLeaseMessage> all) {
    for (auto& each : all)
        carrier_->send_direct_message(each.to, fleet::kLeaseTopic, fleet::write_lease(each.message));
}

void FleetLimiter::receive_lease(const std::string& from, const std::string& bytes) {
    const auto message = fleet::read_lease(from, bytes);
    if (!message) {
        ++unreadable_messages_;
        return;
    }
    for (auto& each : limits_) {
        if (each->leases && each->terms.name == message->limit)
            send_leases(each->leases->take(scheduler_.clock(), *message));
    }
}

void FleetLimiter::update_members() {
    std::vector<std::string> names;
    for (const auto& claim : carrier_->membership().members()) {
        names.push_back(claim.name);  // suspected ones, too: they are members until found dead
    }
    for (auto& each : limits_) {
        if (each->leases) each->leases->set_members(names);
    }
}

// Reads the clock for each request: after a suspension nothing that has expired meanwhile is used.
SubmitResult FleetLimiter::ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) {
    if (const auto acceptance = inner_.check_acceptance(multiget.name); acceptance != Acceptance::kTaken)
        return {acceptance, 0};
    const auto now = scheduler_.clock();
    std::vector<Limit*> gates;
    for (auto& each : limits_) {
        if (each->terms.of != Of::kMultigets) continue;
        if (each->tenant >= 0 && each->tenant != multiget.tenant) continue;
        if (each->op_type >= 0 && each->op_type != multiget.op_type) continue;
        gates.push_back(each.get());
    }
    const auto exhausted = fleet::acquire_all(
        gates, [&](Limit* each) { return each->gate.has_room(now, each->allowance(now)); },
        [&](Limit* each) { each->gate.pass(now, each->allowance(now)); });
    if (exhausted.empty()) return inner_.ask(std::move(multiget), std::move(ended));
    MultigetResult ending;
    ending.kind = MultigetResult::Kind::kPushedBack;
    for (auto* each : exhausted) {
        if (max_retry_after_ > 0)
            ending.wait = std::max(ending.wait, each->gate.wait(each->allowance(now), max_retry_after_));
    }
    ended(std::move(ending));
    return {Acceptance::kTaken, 0};
}

std::string FleetLimiter::print() const {
    const auto now = scheduler_.clock();
    std::string out;
    for (const auto& each : limits_) {
        char text[256];
        std::snprintf(text, sizeof text, "%s, %s, %.6g%s, burst %.6g: here %.6g, ", each->terms.name.c_str(),
                      fleet::name_of(each->terms.of), each->terms.per_second,
                      each->terms.of == Of::kPartsOut ? " at once" : " a second", each->terms.burst,
                      each->allowance(now));
        out += text;
        if (each->leases) {
            const auto owner = each->leases->owner().empty() ? "unknown" : each->leases->owner();
            std::snprintf(text, sizeof text, "lent out %.6g, ", each->leases->lent(now));
            out += text + (each->leases->owns(now) ? std::string("owned here") : "owner " + owner);
        } else if (each->about) {
            std::snprintf(text, sizeof text, "about; said to need %.6g", each->about->said());
            out += text;
        } else {
            out += "alone";
        }
        out += "; " + each->print_use() + '\n';
    }
    return out;
}

std::string FleetLimiter::print_gauges() const {
    std::string out;
    const auto now = scheduler_.clock();
    for (const auto& each : limits_) {
        const auto name = "limit_" + each->terms.name + '_';
        if (each->terms.of == Of::kMultigets) {
            append_line(out, name + "passed", each->gate.passed());
            append_line(out, name + "turned_away", each->gate.turned_away());
        }
        if (each->terms.of == Of::kConnections) append_line(out, name + "put_off", each->pace.put_off());
        append_line(out, name + "share", static_cast<std::uint64_t>(each->allowance(now)));
        if (!each->leases) continue;
        const auto& counts = each->leases->counts();
        append_line(out, name + "owned", each->leases->owns(now) ? 1U : 0U);
        append_line(out, name + "lent", counts.lent);
        append_line(out, name + "expired", counts.expired);
    }
    append_line(out, "limit_letters_unread", unreadable_messages_);
    return out;
}

}  // namespace pinedoor::service
