// Journal of shard moves, kept in the database of the store of record: every move with its step, the process
// that carries moves out (the mover), and requests of the operator. It has its own tables, which are created
// on first use.
//
// The mover holds a lease. Only its holder may save a step, in a transaction that checks the lease. Of two
// movers only one can save steps, and the other one fails before it sends a request of that step to a box.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "placement/mover.hpp"
#include "store/sql.hpp"

namespace pinedoor::store {

struct LeaseLost : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct JournalMove {
    placement::Move move;
    std::size_t wave = 0;
    std::string from, to;    // names of boxes as in the discovery list
    std::uint64_t map = 0;   // version of the map that the move was planned for
    std::string wish;        // "abort" or empty
    std::int64_t since = 0;  // start of the step, tenths of a millisecond since 1970
    std::string note;
};

class MoveJournal {
public:
    explicit MoveJournal(SqlDb& db) : db_(db) {}
    void init();  // creates the tables if they are missing

    // Returns true if the owner has the lease now, for `duration` tenths of a millisecond. It fails while
    // another owner holds it.
    bool acquire_lease(const std::string& owner, std::int64_t duration);
    void release_lease(const std::string& owner);
    std::string holder();  // empty: none, or the lease has expired

    // Adds all moves in one transaction and assigns their ids, in ascending order.
    std::vector<JournalMove> add(std::vector<JournalMove> moves);
    void keep(const placement::Move& move, const std::string& owner);  // throws LeaseLost
    std::vector<JournalMove> moves(bool open_only);                    // ordered by id
    bool wish(placement::MoveId id, const std::string& request);       // false: no such open move
    void note(placement::MoveId id, const std::string& text);
    void pause(bool paused);
    bool paused();

private:
    SqlDb& db_;
};

}  // namespace pinedoor::store
