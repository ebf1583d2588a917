// Hosts the decision modules of many front nodes for the simulator, over its wire protocol on standard input
// and output.
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
using pinedoor::wire::ProtocolError;

FrontNode make_node(const pinedoor::wire::Hello& hello, const pinedoor::stated::Settings& settings) {
    return FrontNode(hello.seed, settings.node_place(), settings.op_types(), settings.shard_ring(),
                     settings.send_config(), settings.further_send_config(), settings.cold_start_config(),
                     settings.server_list_config(), settings.client_config(), settings.tenants(),
                     settings.hint_config());
}

// One front node of the simulation. Its events are collected over a batch, and processed in one turn.
struct Instance {
    std::optional<FrontNode> node;
    std::vector<Event> events;
    std::size_t op_types = 0;
    bool turn_due = false;  // a record of this batch calls for a turn
};

class Host {
public:
    void serve(const pinedoor::wire::Batch& batch) {
        for (const auto& record : batch.records) {
            auto& instance = instances_[record.instance];
            std::visit([&](const auto& content) { handle(record.instance, instance, content); },
                       record.content);
        }
        for (auto& [number, instance] : instances_) {
            if (!std::exchange(instance.turn_due, false) || !instance.node) continue;
            for (const auto& action : instance.node->turn(batch.clock, instance.events)) {
                reply_.add(number, action);
            }
            instance.events.clear();
        }
        std::cout << reply_.finish(batch.number) << std::flush;
    }

private:
    static void handle(int, Instance& instance, const pinedoor::wire::Hello& hello) {
        instance = Instance{};
        const auto settings = pinedoor::stated::Settings::from_text(hello.settings);
        instance.node = make_node(hello, settings);
        instance.op_types = settings.op_types().size();
        instance.turn_due = true;
    }
    static void handle(int, Instance& instance, const pinedoor::wire::Destroy&) { instance = Instance{}; }
    static void handle(int number, Instance& instance, const pinedoor::wire::Arrival& arrival) {
        require_node(number, instance);
        if (!arrival.is_part) {
            if (static_cast<std::size_t>(arrival.multiget.op_type) >= instance.op_types) {
                throw ProtocolError("instance " + std::to_string(number) + ": a query of class " +
                                    std::to_string(arrival.multiget.op_type) +
                                    ", which its settings do not define");
            }
            return add_event(number, instance, arrival.multiget);
        }
        // Parts follow their query directly, or come without it as a second step.
        auto* last = instance.events.empty() ? nullptr : &instance.events.back();
        if (auto* multiget = last != nullptr ? std::get_if<pinedoor::MultigetArrival>(last) : nullptr;
            multiget != nullptr && multiget->number == arrival.query_no) {
            multiget->parts.push_back(arrival.part);
            return;
        }
        auto* step = last != nullptr ? std::get_if<pinedoor::SecondStep>(last) : nullptr;
        if (step == nullptr || step->number != arrival.query_no) {
            add_event(number, instance, pinedoor::SecondStep{arrival.query_no, {}});
            step = &std::get<pinedoor::SecondStep>(instance.events.back());
        }
        step->parts.push_back(arrival.part);
    }
    static void handle(int number, Instance& instance, const pinedoor::wire::DiscoveryUpdate& update) {
        add_event(number, instance, pinedoor::ListUpdate{update.kind, update.entries});
    }
    static void handle(int number, Instance& instance, const pinedoor::wire::HeadReceived&) {
        require_node(number, instance);
        instance.turn_due = true;
    }
    template <class Content>
    static void handle(int number, Instance& instance, const Content& content) {
        add_event(number, instance, content);
    }

    static void require_node(int number, const Instance& instance) {
        if (!instance.node)
            throw ProtocolError("instance " + std::to_string(number) + " has received no Hello yet");
    }
    static void add_event(int number, Instance& instance, Event event) {
        require_node(number, instance);
        instance.events.push_back(std::move(event));
        instance.turn_due = true;
    }

    std::map<int, Instance> instances_;
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
