// Hosts many front nodes' decisions on the simulator's wire, on standard input and output.
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "stated/stated.hpp"
#include "wire/frame.hpp"

namespace {

using pinedoor::Event;
using pinedoor::FrontNode;
using pinedoor::wire::BadInput;

FrontNode start(const pinedoor::wire::Hello& hello, const pinedoor::stated::Stated& stated) {
    return FrontNode(hello.seed, stated.node_place(), stated.op_types(), stated.shard_ring(),
                     stated.send_terms(), stated.further_send_terms(), stated.cold_terms(),
                     stated.list_terms(), stated.client_terms(), stated.tenants(), stated.hint_terms());
}

struct Hosted {
    std::optional<FrontNode> node;
    std::vector<Event> events;
    std::size_t op_types = 0;
    bool called = false;  // had an event in this batch
};

class Host {
public:
    void serve(const pinedoor::wire::Batch& batch) {
        for (const auto& record : batch.records) {
            auto& hosted = hosted_[record.instance];
            std::visit([&](const auto& what) { take(record.instance, hosted, what); }, record.what);
        }
        for (auto& [number, hosted] : hosted_) {
            if (!std::exchange(hosted.called, false) || !hosted.node) continue;
            for (const auto& action : hosted.node->turn(batch.clock, hosted.events)) {
                reply_.add(number, action);
            }
            hosted.events.clear();
        }
        std::cout << reply_.finish(batch.number) << std::flush;
    }

private:
    static void take(int, Hosted& hosted, const pinedoor::wire::Hello& hello) {
        hosted = Hosted{};
        const auto stated = pinedoor::stated::Stated::from_text(hello.settings);
        hosted.node = start(hello, stated);
        hosted.op_types = stated.op_types().size();
        hosted.called = true;
    }
    static void take(int, Hosted& hosted, const pinedoor::wire::Destroy&) { hosted = Hosted{}; }
    static void take(int number, Hosted& hosted, const pinedoor::wire::Arrival& arrival) {
        running(number, hosted);
        if (!arrival.is_part) {
            if (static_cast<std::size_t>(arrival.multiget.op_type) >= hosted.op_types) {
                throw BadInput("instance " + std::to_string(number) + ": a query of class " +
                               std::to_string(arrival.multiget.op_type) + ", which its settings do not have");
            }
            return add(number, hosted, arrival.multiget);
        }
        // Parts come right behind their query, or by themselves at a second step.
        auto* last = hosted.events.empty() ? nullptr : &hosted.events.back();
        if (auto* mg = last != nullptr ? std::get_if<pinedoor::MultigetArrival>(last) : nullptr;
            mg != nullptr && mg->number == arrival.query_no) {
            mg->parts.push_back(arrival.part);
            return;
        }
        auto* step = last != nullptr ? std::get_if<pinedoor::SecondStep>(last) : nullptr;
        if (step == nullptr || step->number != arrival.query_no) {
            add(number, hosted, pinedoor::SecondStep{arrival.query_no, {}});
            step = &std::get<pinedoor::SecondStep>(hosted.events.back());
        }
        step->parts.push_back(arrival.part);
    }
    static void take(int number, Hosted& hosted, const pinedoor::wire::Discovery& news) {
        add(number, hosted, pinedoor::ListNews{news.kind, news.entries});
    }
    static void take(int number, Hosted& hosted, const pinedoor::wire::HeadReceived&) {
        running(number, hosted);
        hosted.called = true;
    }
    template <class What>
    static void take(int number, Hosted& hosted, const What& what) {
        add(number, hosted, what);
    }

    static void running(int number, const Hosted& hosted) {
        if (!hosted.node) throw BadInput("instance " + std::to_string(number) + " has no Hello yet");
    }
    static void add(int number, Hosted& hosted, Event event) {
        running(number, hosted);
        hosted.events.push_back(std::move(event));
        hosted.called = true;
    }

    std::map<int, Hosted> hosted_;
    pinedoor::wire::ReplyEncoder reply_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    try {
        Host host;
        pinedoor::wire::BatchDecoder decoder;
        std::string frame;
        while (pinedoor::wire::read_frame(std::cin, frame)) host.serve(decoder.decode(frame));
    } catch (const std::exception& error) {
        std::cerr << "pinedoor_simhost: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
