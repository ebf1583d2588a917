// Limits of the whole fleet that are never exceeded: shares of a limit are lent out, and end by themselves. A
// decider for one node and one limit: messages and a time in, messages out. docs/fleet.md tells the promise.
//
// A few front nodes, named alike at all (the voters), decide who owns the limit: whoever has the votes of
// more than half of them, each of which ends by itself too. The owner lends shares that end before its votes
// do, so whoever is owner next finds nothing lent: two owners at a time cannot be, whatever is cut, killed or
// asleep. Sources: Gray, Cheriton, "Leases", SOSP 1989 (2, clocks in 5); O'Neil, "The Escrow Transactional
// Method", 1986.
//
// Each time is on the clock of whoever counts it, and monotonic. Of two clocks one runs at most `drift`
// faster than the other. Whoever asks counts from when it asked; whoever gives counts from when it gave, and
// longer by twice the drift: so what was given ends for its holder before it ends for the giver.
//
//   this node    | asked for a vote                 | asked for a share                  | its time is over
//   -------------+----------------------------------+------------------------------------+-----------------------
//   just started | says no until every vote that an | "not the owner"                    | may vote
//                | earlier life of it gave is over  |                                    |
//   voter        | gives it, unless it holds for    | "not the owner"                    | may vote for
//   another
//                | another                          |                                    |
//   owner        | says no: it holds its own vote   | lends what is not lent, by need    | owns nothing, at
//   once holder       | as a voter                       | "not the owner"                    | has its floor
//   alone
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peers/gossip.hpp"

namespace pinedoor::fleet {

using peers::Time;

struct LeaseTerms {
    double limit = 0;  // all together, in the limit's unit
    double floor_share =
        0.1;             // share of it that is divided evenly for good, so that nobody begins with nothing
    int node_count = 1;  // front nodes stated; each has a floor
    std::vector<std::string> voters;  // names; the same at all
    Time vote_duration = 60'000;      // lasts so long
    Time lease_duration = 30'000;     // lasts so long at most
    Time renew_interval = 5'000;      // votes and shares are asked for anew
    double max_drift = 0.01;

    double floor() const { return limit * floor_share / node_count; }
    Time grantor_duration(Time granted) const {
        return granted + static_cast<Time>(2 * max_drift * static_cast<double>(granted)) + 1;
    }
};

struct LeaseMessage {
    enum class Kind : std::uint8_t {
        kVoteRequest,
        kVoteReply,     // amount 1: given; 0: held for another, whose name is in `owner`
        kShareRequest,  // amount: needed; `holds`: number of the lease that it goes by
        kShareGrant,    // amount, for so long since it was asked
        kNotOwner,      // to kAskShare
        kRelease        // what was lent is given back
    } kind = Kind::kVoteRequest;
    std::string limit, from;
    std::uint64_t incarnation = 0;     // of `from`
    std::uint64_t request_number = 0;  // of what is asked; answers bear it
    std::uint64_t held_lease = 0;
    double amount = 0;
    Time duration = 0;
    std::string owner;
};

struct SendLease {
    std::string to;  // a front node's name
    LeaseMessage message;
};

struct LeaseCounts {
    std::uint64_t votes_granted = 0, votes_refused = 0, ownership_gained = 0, ownership_lost = 0, lent = 0,
                  expired = 0, not_owner_replies = 0;
};

// What weighted max-min gives each: nobody more than it needs, and what is left goes evenly to who needs
// more.
std::vector<double> max_min(double capacity, const std::vector<double>& needs);

class Leases {
public:
    // `life`: a number drawn at each start.
    Leases(std::string limit, std::string self, std::uint64_t incarnation, LeaseTerms terms, Time started);

    // Who is there: the first voter of them by rendezvous hash is asked for shares until the owner is known.
    void set_members(const std::vector<std::string>& names);
    void need(double amount) { need_ = amount; }  // of this node, floor included
    std::vector<SendLease> tick(Time now);        // at due(), or later
    Time due() const { return next_tick_at_; }
    std::vector<SendLease> take(Time now, const LeaseMessage& message);
    std::vector<SendLease> leave(Time now);  // gives back what it holds

    // What this node may use now: its floor, and what it was lent if that has not ended.
    double may_use(Time now) const;
    Time held_until() const { return held_until_; }  // what it was lent; by then it is lent anew or over
    bool owns(Time now) const;
    double lent(Time now) const;                  // as the owner counts it
    std::string owner() const { return owner_; }  // as last heard
    const LeaseCounts& counts() const { return counts_; }
    const LeaseTerms& terms() const { return terms_; }

    // All that decides what it does next, for whoever explores: of two that print alike each does what the
    // other does. Times are told from now, numbers from the latest that their asker asked (by name and life).
    // Questions asked before `oldest` are those that nothing answers any more.
    using LatestRequests = std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>;
    std::string canonical_state(Time now, Time oldest, const LatestRequests& latest) const;
    std::uint64_t last_request_number() const { return last_request_number_; }

private:
    struct GrantedLease {
        double amount = 0;
        Time duration = 0;  // as was told
        Time ends_at = 0;
    };
    struct Holder {
        double need = 0;
        Time requested_at = 0;
        std::map<std::uint64_t, GrantedLease> leases;  // by number; the holder goes by one of them
        double max_amount(Time now) const;
    };
    using HolderKey = std::pair<std::string, std::uint64_t>;  // name, life

    Time ownership_ends_at() const;
    void request_votes(Time now, std::vector<SendLease>& out);
    void request_share(Time now, std::vector<SendLease>& out);
    void receive_vote(Time now, const LeaseMessage& message);
    LeaseMessage answer_vote_request(Time now, const LeaseMessage& ask);
    LeaseMessage grant_share(Time now, const LeaseMessage& ask);
    LeaseMessage make_message(LeaseMessage::Kind kind, std::uint64_t number) const;
    void send(const std::string& to, LeaseMessage message, std::vector<SendLease>& out, Time now);
    bool is_voter(const std::string& name) const;
    bool seeks_ownership(Time now) const;
    std::uint64_t record_request(std::map<std::uint64_t, Time>& asked, Time now);

    const std::string limit_, self_;
    const std::uint64_t incarnation_;
    const LeaseTerms terms_;
    std::string candidate_;  // who should own it, as far as members are known

    // As a voter.
    Time may_vote_from_;
    std::string voted_for_;
    std::uint64_t voted_incarnation_ = 0;
    Time vote_ends_at_ = 0;

    // As the owner.
    std::map<std::uint64_t, Time> vote_requests_;  // the latest few: when each was asked
    std::map<std::string, Time> votes_;            // by voter: until when, on this clock
    Time seeking_since_ = 0;  // without having had enough; 0: it does not seek, or has them
    int backoffs_ = 0;
    bool was_owner_ = false;
    std::map<HolderKey, Holder> holders_;

    // As a holder.
    std::string owner_;
    double need_ = 0;
    std::map<std::uint64_t, Time> share_requests_;  // likewise
    std::uint64_t held_lease_ = 0;
    double held_amount_ = 0;
    int unanswered_requests_ = 0;  // questions on end
    Time held_until_ = 0;

    std::uint64_t last_request_number_;  // of a question; those of another life are none of these
    Time request_votes_at_ = 0, request_share_at_ = 0, next_tick_at_ = 0;
    bool released_ = false;
    LeaseCounts counts_;
};

}  // namespace pinedoor::fleet
