// Tests the dispatcher between a scripted transport and the decision module.
#include "service/exchange.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <vector>

namespace {

using namespace pinedoor;
using namespace pinedoor::service;

struct ScriptedTransport : SendTransport {
    std::vector<PartSend> calls;
    void send(PartSend call) override { calls.push_back(std::move(call)); }
    void flush() override {}
    void cancel(Id, int) override {}
    void update_server(ServerId, net::Endpoint, ServerState, Time) override {}
};

struct NoListSource : ServerListSource {
    void watch(const WatchServerList&) override {}
    void fetch() override {}
};

struct DispatcherFixture {
    net::Scheduler scheduler;
    Counters counters;
    Log log{stderr, scheduler, counters, {}};
    ScriptedTransport transport;
    NoListSource list_source;
    Dispatcher dispatcher{
        scheduler,
        FrontNode(7, NodeConfig{0, 1, 0, 10},
                  std::vector<OpType>{{10'000, 40'000, RetrySafety::kRetriable, 0, 1, 0, 1, 1, 0.9, 0}},
                  ShardRing{1, 1, 1, 0}, SendConfig{3, true, true, 2'500}, FurtherSendConfig{},
                  ColdStartConfig{}, ServerListConfig{}, ClientConfig{}, std::vector<TenantQuota>{},
                  HintConfig{}),
        10,
        100,
        3,
        counters,
        log};

    DispatcherFixture() {
        dispatcher.attach(transport, list_source);
        dispatcher.start();
        std::vector<ListedServer> members;
        for (const char* name : {"s-1", "s-2"}) {
            ListedServer member{name, {}, {}, 0};
            member.entry.state = ServerState::kReady;
            members.push_back(member);
        }
        dispatcher.apply_list(ListUpdateKind::kFull, members);
    }
    void run_until(const std::function<bool()>& done) { scheduler.run(done); }
    void run_turns(std::uint64_t turns) {
        const auto until = counters.of(Count::kTurns) + turns;
        run_until([&] { return counters.of(Count::kTurns) >= until; });
    }
    int parts_out() const {
        int sum = 0;
        for (const auto& [name, view] : dispatcher.servers()) sum += view.parts_out;
        return sum;
    }
};

// If the client leaves in the turn in which a retry is decided, the outcome must name the retry and not the
// first attempt. Otherwise the retry counts as outstanding at its server for good, and a server on trial is
// never tried again: within 45 minutes a third of all requests were rejected for lack of servers.
TEST_CASE("a retry whose client leaves in the same turn is not outstanding at any server") {
    DispatcherFixture fixture;
    MultigetRequest multiget;
    multiget.name = "t";
    multiget.not_after = fixture.scheduler.now() + 30'000;
    multiget.query = "q";
    multiget.parts.push_back({0, 0, 1.0, 0, 0});
    const auto [taken, ticket] = fixture.dispatcher.ask(multiget, [](MultigetResult) {});
    REQUIRE(taken == Acceptance::kTaken);
    fixture.run_until([&] { return fixture.transport.calls.size() == 1; });
    CHECK(fixture.parts_out() == 1);
    fixture.dispatcher.finish_send(fixture.transport.calls.front(), Outcome::kError);
    fixture.dispatcher.leave(ticket);
    fixture.run_turns(3);
    CHECK(fixture.transport.calls.size() == 1);
    CHECK(fixture.parts_out() == 0);
}

}  // namespace
