// Fleet-wide limits that are never exceeded: shares of a limit are granted as leases, which expire on their
// own. Implements the protocol for one node and one limit without I/O: takes messages and the current time,
// returns messages to send. docs/fleet.md states the guarantee.
//
// A few front nodes, configured alike on all nodes (the voters), elect the owner of the limit: the node that
// holds votes of more than half of them. Votes expire as well. The owner grants shares that expire before its
// votes do, so no share of the previous owner is valid when the next one takes over. There are never two
// owners at a time, whatever links are cut and whatever nodes are killed or suspended. Sources: Gray,
// Cheriton, "Leases", SOSP 1989 (section 2; clocks in section 5); O'Neil, "The Escrow Transactional Method",
// 1986.
//
// All times are in tenths of a millisecond on the monotonic clock of the node that measures them. The rate of
// two clocks differs by at most `max_drift`. The requester counts a vote or lease from the time of its
// request; the grantor counts it from the time of the grant and for longer by twice the drift. A grant
// therefore expires at its holder before it expires at the grantor.
//
//   this node        | on a vote request                  | on a share request      | when its time is over
//   -----------------+------------------------------------+-------------------------+-------------------------
//   just started     | refuses until every vote that an   | replies "not the owner" | may vote
//                    | earlier incarnation of it granted  |                         |
//                    | has expired                        |                         |
//   voter            | grants, unless its vote is held by | replies "not the owner" | may vote for another
//                    | another node                       |                         |
//   owner            | refuses: it holds its own vote as  | grants what is free, by | owns nothing, at once
//                    | a voter                            | need                    |
//   holder of a      | as a voter                         | replies "not the owner" | is left with its floor
//   lease            |                                    |                         |
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peers/gossip.hpp"

namespace pinedoor::fleet {

using peers::Time;

// Settings of the protocol for one limit; equal on all front nodes.
struct LeaseConfig {
    double limit = 0;          // of the whole fleet, in the limit's unit
    double floor_share = 0.1;  // fraction of the limit that is divided evenly and permanently, so that every
                               // node has something to start with
    int node_count = 1;        // configured front nodes; each has a floor
    std::vector<std::string> voters;  // names; the same on all nodes
    Time vote_duration = 60'000;
    Time lease_duration = 30'000;  // at most
    Time renew_interval = 5'000;   // between requests for votes and for shares
    double max_drift = 0.01;       // relative difference between the rates of two clocks

    double floor() const { return limit * floor_share / node_count; }
    // How long the grantor must count what it granted for `granted`, given the drift of clocks.
    Time grantor_duration(Time granted) const {
        return granted + static_cast<Time>(2 * max_drift * static_cast<double>(granted)) + 1;
    }
};

// A message between two nodes about one limit. Which fields are used depends on its kind.
struct LeaseMessage {
    enum class Kind : std::uint8_t {
        kVoteRequest,
        kVoteReply,     // amount 1: granted; 0: held by the node named in `owner`
        kShareRequest,  // `amount`: needed beyond the floor; `held_lease`: the lease in use
        kShareGrant,    // `amount` for `duration` from the time of the request
        kNotOwner,      // reply to kShareRequest; `owner`: the presumed owner, if known
        kRelease        // returns the granted share
    } kind = Kind::kVoteRequest;
    std::string limit, from;
    std::uint64_t incarnation = 0;     // of `from`
    std::uint64_t request_number = 0;  // replies repeat that of the request
    std::uint64_t held_lease = 0;      // request number of the lease in use
    double amount = 0;
    Time duration = 0;
    std::string owner;
};

// A message to send.
struct OutgoingLeaseMessage {
    std::string to;  // a front node's name
    LeaseMessage message;
};

// Events since the start. `lent` counts granted leases, `expired` expired ones of this node as a holder.
struct LeaseCounts {
    std::uint64_t votes_granted = 0, votes_refused = 0, ownership_gained = 0, ownership_lost = 0, lent = 0,
                  expired = 0, not_owner_replies = 0;
};

// Max-min fair division of `capacity`: no share exceeds its need, and what remains is divided evenly
// among those that need more.
std::vector<double> max_min(double capacity, const std::vector<double>& needs);

// The part of one node in the protocol for one limit: as a voter, as the owner while it is elected, and as
// the holder of a lease.
class LeaseParticipant {
public:
    // `incarnation`: a random number drawn at each start.
    LeaseParticipant(std::string limit, std::string self, std::uint64_t incarnation, LeaseConfig terms,
                     Time started);

    // Sets the live members. Until the owner is known, shares are requested from the voter among them that is
    // first by rendezvous hash.
    void set_members(const std::vector<std::string>& names);
    void need(double amount) { need_ = amount; }  // of this node, including its floor
    // Does what is due and returns messages to send. To be called at due() or later.
    std::vector<OutgoingLeaseMessage> tick(Time now);
    Time due() const { return next_tick_at_; }
    // Handles a received message and returns messages to send.
    std::vector<OutgoingLeaseMessage> take(Time now, const LeaseMessage& message);
    // Stops requesting and returns the share it holds.
    std::vector<OutgoingLeaseMessage> leave(Time now);

    // What this node may use now: its floor, and its granted share until that expires.
    double allowance(Time now) const;
    Time lease_expires_at() const {
        return held_until_;
    }  // when the granted share expires unless it is renewed
    bool owns(Time now) const;
    double lent(Time now) const;                  // sum of granted shares, as the owner counts them
    std::string owner() const { return owner_; }  // last known owner
    const LeaseCounts& counts() const { return counts_; }
    const LeaseConfig& terms() const { return terms_; }

    // Everything that determines future behaviour, as text, for state space exploration: two nodes with equal
    // text behave alike. Times are relative to now, and request numbers to the latest request of their
    // requester, in `latest` by name and incarnation. Requests sent before `oldest` can get no reply any more
    // and are left out.
    using LatestRequests = std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>;
    std::string canonical_state(Time now, Time oldest, const LatestRequests& latest) const;
    std::uint64_t last_request_number() const { return last_request_number_; }

private:
    struct GrantedLease {
        double amount = 0;
        Time duration = 0;  // as sent to the holder
        Time ends_at = 0;   // on the owner's clock
    };
    struct Holder {
        double need = 0;
        Time requested_at = 0;
        std::map<std::uint64_t, GrantedLease> leases;  // by request number; the holder uses one of them
        double max_amount(Time now) const;
    };
    using HolderKey = std::pair<std::string, std::uint64_t>;  // name, incarnation

    Time ownership_ends_at() const;
    void request_votes(Time now, std::vector<OutgoingLeaseMessage>& out);
    void request_share(Time now, std::vector<OutgoingLeaseMessage>& out);
    void receive_vote(Time now, const LeaseMessage& message);
    LeaseMessage answer_vote_request(Time now, const LeaseMessage& ask);
    LeaseMessage grant_share(Time now, const LeaseMessage& ask);
    LeaseMessage make_message(LeaseMessage::Kind kind, std::uint64_t number) const;
    void send(const std::string& to, LeaseMessage message, std::vector<OutgoingLeaseMessage>& out, Time now);
    bool is_voter(const std::string& name) const;
    bool seeks_ownership(Time now) const;
    std::uint64_t record_request(std::map<std::uint64_t, Time>& requests, Time now);

    const std::string limit_, self_;
    const std::uint64_t incarnation_;
    const LeaseConfig terms_;
    std::string candidate_;  // preferred owner among the live members

    // As a voter.
    Time may_vote_from_;
    std::string voted_for_;
    std::uint64_t voted_incarnation_ = 0;
    Time vote_ends_at_ = 0;

    // As the owner or a candidate.
    std::map<std::uint64_t, Time> vote_requests_;  // the latest ones: when each was sent
    std::map<std::string, Time> votes_;            // by voter: expiry, on this node's clock
    Time seeking_since_ = 0;  // start of holding some votes but no majority; 0: not in that state
    int backoffs_ = 0;
    bool was_owner_ = false;
    std::map<HolderKey, Holder> holders_;

    // As a holder.
    std::string owner_;
    double need_ = 0;
    std::map<std::uint64_t, Time> share_requests_;  // the latest ones: when each was sent
    std::uint64_t held_lease_ = 0;                  // request number of the lease in use
    double held_amount_ = 0;
    int unanswered_requests_ = 0;  // consecutive
    Time held_until_ = 0;

    std::uint64_t last_request_number_;  // unique across incarnations
    Time request_votes_at_ = 0, request_share_at_ = 0, next_tick_at_ = 0;
    bool released_ = false;
    LeaseCounts counts_;
};

}  // namespace pinedoor::fleet
