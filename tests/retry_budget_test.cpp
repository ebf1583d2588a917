// The budget of further sends against a plain model that sums all that was ever recorded.
#include "policy/retry_budget.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace pinedoor;

struct Recorded {
    Time when;
    int received;
    int further_sends;
};

bool model_allows(const std::vector<Recorded>& all, const FurtherSendConfig& config, Time slack, Time now,
                  std::size_t more) {
    double left = config.floor;
    for (const auto& each : all) {
        if (each.when > now - config.look_back + slack) left += config.ratio * each.received;
        if (each.when >= now - config.look_back - slack) left -= each.further_sends;
    }
    return left >= static_cast<double>(more);
}

TEST_CASE("the budget of further sends holds in every order of requests, sends and questions") {
    const bool holds = rc::check("budget", [] {
        FurtherSendConfig config;
        config.look_back = *rc::gen::inRange<Time>(1, 60);
        config.ratio = 0.25 * *rc::gen::inRange(0, 4);
        config.floor = *rc::gen::inRange(0, 4);
        const Time slack = *rc::gen::inRange<Time>(0, 80);
        policy::Inboxes inboxes;
        policy::RetryBudget budget(inboxes, config, slack);
        std::vector<Recorded> all;
        inboxes.now = 1'000;
        for (int step = *rc::gen::inRange(1, 80); step > 0; --step) {
            switch (*rc::gen::inRange(0, 4)) {
                case 0: inboxes.now += *rc::gen::inRange<Time>(1, 30); break;
                case 1: {
                    const int count = *rc::gen::inRange(1, 5);
                    budget.record_received(count);
                    all.push_back({inboxes.now, count, 0});
                    break;
                }
                case 2:
                    budget.record_further_sends(1);
                    all.push_back({inboxes.now, 0, 1});
                    break;
                default: {
                    const auto more = *rc::gen::inRange<std::size_t>(1, 4);
                    RC_ASSERT(budget.allows(more) == model_allows(all, config, slack, inboxes.now, more));
                }
            }
        }
    });
    CHECK(holds);
}

}  // namespace
