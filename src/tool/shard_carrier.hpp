// Carries moves out: does what each Mover and the MoveDesk decide, one request after the other. It reads the
// map and the list at discovery, asks boxes, publishes steps, and keeps every step in the journal before
// anything is asked that belongs to it. Killed at any point, the next one goes on from the journal.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "placement/map_text.hpp"
#include "placement/move_desk.hpp"
#include "placement/mover.hpp"
#include "store/crash_point.hpp"
#include "store/move_journal.hpp"
#include "tool/caller.hpp"

namespace pinedoor::tool {

struct CarrierTerms {
    net::Endpoint discovery;
    std::string path = "/discovery/shards";
    std::vector<net::Endpoint> nodes;  // whose counters tell the fleet's pressure; none: it is not looked at
    std::string who;                   // names this process in the lease
    std::int64_t lease = 100'000;
    int ask_ms = 500;     // of one request
    int look_ms = 1'000;  // between two looks at the pressure
    placement::MoveTerms move;
    placement::DeskTerms desk;
};

// The map at discovery, with the boxes' addresses by the list. Throws Unusable if there is none.
struct FleetSeen {
    placement::ShardMap map;
    std::map<std::string, net::Endpoint> boxes;
    std::map<std::string, std::string> zones;  // of boxes
};
FleetSeen see_fleet(net::Endpoint discovery, const std::string& path, placement::BoxNames& names, int ask_ms);

// What `before` turned into `after` takes, one move for each replica that changes.
std::vector<store::JournalMove> moves_between(placement::ShardId shard, placement::Epoch epoch,
                                              const std::vector<placement::Replica>& before,
                                              const std::vector<placement::Replica>& after);

class ShardCarrier {
public:
    ShardCarrier(store::SqlDb& db, CarrierTerms terms, std::function<void(const std::string&)> say);

    // Until every move of the journal has ended, or none may begin. True: all were done. Throws Unusable if
    // another one carries moves, or discovery is not there.
    bool run();

private:
    struct Carried {
        store::JournalMove kept;
        std::unique_ptr<placement::Mover> mover;
        std::set<placement::Time> wakes;
        bool aborted = false;
    };
    using Actions = std::vector<placement::moving::Action>;

    placement::Time now() const;
    void begin(placement::MoveId id);
    void act(Carried& carried, const Actions& actions);
    void happened(Carried& carried, const placement::moving::Event& event);
    void heed_wishes();
    void look();
    bool ask(const Carried& carried, const std::string& box, const char* verb, std::uint64_t& number,
             std::uint64_t upto = 0, placement::Epoch epoch = 0);
    bool ask(const Carried& carried, const std::string& box, const char* verb, const placement::Shard& shard,
             std::uint64_t& number, std::uint64_t upto = 0);
    // Of a split or a merge: what was, and what is once it is published; null where it is not so.
    std::vector<const placement::Shard*> parents(const Carried& carried) const;
    std::vector<const placement::Shard*> children(const Carried& carried) const;
    bool ask_owner_of_parents(const Carried& carried, const char* verb, std::uint64_t& number);
    bool drop_parents(const Carried& carried);
    void see();
    std::vector<placement::Step> to_publish(const Carried& carried) const;

    void carry_out(Carried& carried, const placement::moving::Keep& keep);
    void carry_out(Carried& carried, const placement::moving::AskCopy&);
    void carry_out(Carried& carried, const placement::moving::AskMissing&);
    void carry_out(Carried& carried, const placement::moving::AskFence&);
    void carry_out(Carried& carried, const placement::moving::AskReach& reach);
    void carry_out(Carried& carried, const placement::moving::Publish&);
    void carry_out(Carried& carried, const placement::moving::AskOwn&);
    void carry_out(Carried& carried, const placement::moving::AskDrained&);
    void carry_out(Carried& carried, const placement::moving::AskDrop& drop);
    void carry_out(Carried& carried, const placement::moving::AskUnfence&);
    void carry_out(Carried& carried, const placement::moving::Wake& wake);
    void carry_out(Carried& carried, const placement::moving::Ended& ended);
    void carry_out(Carried& carried, const placement::moving::CannotAbort&);

    store::MoveJournal journal_;
    const CarrierTerms terms_;
    const std::function<void(const std::string&)> say_;
    placement::MoveDesk desk_;
    placement::BoxNames names_;
    FleetSeen seen_;
    std::map<std::string, BoxLink> links_;
    std::map<placement::MoveId, Carried> carried_;
    std::vector<placement::MoveId> over_;  // to be forgotten once nothing of them is under way
    placement::Time look_at_ = 0;
    placement::Time wishes_at_ = 0;
    std::uint64_t taken_ = 0, refused_ = 0;
    bool looked_ = false;
    bool all_done_ = true;
    store::CrashPoints crash_points_;
};

}  // namespace pinedoor::tool
