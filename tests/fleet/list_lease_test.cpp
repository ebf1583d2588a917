// Tests of the lease on the server list: the decision module alone, in simulated time.
#include "policy/list_lease.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "script.hpp"

namespace {

using namespace pinedoor;
using test::Script;

constexpr ServerListConfig kConfig{true, 100'000, 2'500};
constexpr int kWhole = 1;  // op type of Script

ListUpdate failed(Time since_last_contact, bool incomplete_answer) {
    ListUpdate update{ListUpdateKind::kFailed, {}};
    update.unheard = since_last_contact;
    update.answered_in_part = incomplete_answer;
    return update;
}

TEST_CASE("with an expired list, requests are shed while discovery answers with incomplete lists") {
    Script s;
    s.list_config = kConfig;
    s.list("A0 B1").pass(5'000).play({failed(0, false)}).pass(3'000).play({failed(3'000 * 10, true)});
    s.pass(2'900).quietly().arrive(1, kWhole, {1}).end({100}).quietly();
    s.pass(200).quietly().arrive(2, kWhole, {1});
    CHECK(s.trace().find("push back 2") != std::string::npos);
    CHECK(s.trace().find("send") == std::string::npos);
    s.list("A0 B1").quietly().arrive(3, kWhole, {1});
    CHECK(s.trace().find("send 300") != std::string::npos);
}

TEST_CASE("an expired list stays in use while discovery is down or unreachable") {
    Script s;
    s.list_config = kConfig;
    s.list("A0 B1").pass(5'000).play({failed(0, false)});
    for (int i = 0; i < 10; ++i) s.pass(1'000).play({failed((i + 1) * 10'000, false)});
    s.quietly().arrive(1, kWhole, {1});
    CHECK(s.trace().find("send 100") != std::string::npos);
}

TEST_CASE("a discovery that broke off an answer and is down since then does not stop traffic") {
    Script s;
    s.list_config = kConfig;
    s.list("A0 B1").pass(5'000).play({failed(0, false)}).pass(1'000).play({failed(10'000, true)});
    for (int i = 2; i < 7; ++i) s.pass(1'000).play({failed(i * 10'000, false)});
    s.quietly().arrive(1, kWhole, {1});
    CHECK(s.trace().find("send 100") != std::string::npos);
}

TEST_CASE("a change of the address of discovery does not renew the lease") {
    Script s;
    s.list_config = kConfig;
    s.list("A0 B1").pass(5'000);
    ListUpdate moved{ListUpdateKind::kMoved, {}};
    moved.unheard = 20'000;
    s.play({moved}).pass(3'000).play({failed(50'000, true)}).pass(1'100).quietly().arrive(1, kWhole, {1});
    CHECK(s.trace().find("push back 1") != std::string::npos);
}

// However calls end, the next one is made early enough that a list arrives within the lease once discovery
// answers again, even if an unanswered call has to time out first.
TEST_CASE("for any sequence of failures the sum of the time limits stays within the lease") {
    const bool holds = rc::check([] {
        const auto refresh_within = *rc::gen::element<Time>(10'000, 16'000, 100'000, 600'000);
        const int front_nodes = *rc::gen::element(1, 20, 300, 900);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        FrontNode node(*rc::gen::arbitrary<std::uint64_t>(), NodeConfig{0, front_nodes, 0, 50},
                       {{1'000, 4'000, RetrySafety::kRetriable, 0, 1, 0, 1, 1, 0.9, 0}},
                       ShardRing{1, 1, 1, 0}, SendConfig{3, true, true, 2'500}, FurtherSendConfig{},
                       ColdStartConfig{}, ServerListConfig{true, refresh_within, 2'500}, ClientConfig{}, {},
                       HintConfig{});
        Time now = 10'000;
        Time last_call = now;
        Time last_failure = now;
        const auto turn = [&](const std::vector<Event>& events) {
            for (const auto& action : node.turn(now, events)) {
                const auto* call = std::get_if<WatchServerList>(&action);
                if (call == nullptr) continue;
                RC_ASSERT(call->longest_silence < ServerListConfig{}.told_after / 2);
                last_call = now;
            }
        };
        const ListEntry entry{{1, 1}, 0, 0, ServerState::kReady, 1, 0};
        turn({ListUpdate{ListUpdateKind::kFull, {entry}}});
        Time since_contact = 0;
        for (const int step : steps) {
            for (int i = 0; i < 20; ++i) {
                now += 500;
                turn({});
                // Another call is made beside an unanswered one; a refused one is repeated after a pause.
                const Time since = now - std::max(last_call, last_failure);
                if (since_contact > 0) RC_ASSERT(since <= ServerListConfig{}.told_after * 3 / 8 + 1'500);
            }
            if (step == 0) continue;
            since_contact = step == 1 ? 25'000 : since_contact + 10'000;
            last_failure = now;
            turn({failed(since_contact, step == 3)});
        }
    });
    CHECK(holds);
}

}  // namespace
