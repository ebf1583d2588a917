// The journal of moves in the store of record: every move with its step, who carries them now, and what an
// operator wishes of it. Tables of its own beside the records', made when they are first needed.
//
// Whoever carries moves holds the lease. A step is kept only by its holder, in the transaction that looks at
// the lease: of two movers one keeps steps, and the other learns it before it asks anything of a box that
// belongs to a step.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "placement/mover.hpp"
#include "store/sql.hpp"

namespace pinedoor::store {

struct LostLease : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct JournalMove {
    placement::Move move;
    std::size_t wave = 0;
    std::string from, to;    // names of boxes, as the list has them
    std::uint64_t map = 0;   // the version at which it was planned
    std::string wish;        // "abort", or none
    std::int64_t since = 0;  // of its step, tenths of a millisecond since 1970
    std::string note;
};

class MoveJournal {
public:
    explicit MoveJournal(SqlDb& db) : db_(db) {}
    void init();  // makes the tables unless they are there

    // True: it is this one's for so long, and was free or its own.
    bool take_lease(const std::string& owner, std::int64_t duration);
    void leave_lease(const std::string& owner);
    std::string holder();  // empty: nobody, or its time is over

    // In one transaction; the moves get their ids, each one more than any before.
    std::vector<JournalMove> add(std::vector<JournalMove> moves);
    void keep(const placement::Move& move, const std::string& owner);  // throws LostLease
    std::vector<JournalMove> moves(bool open_only);                    // by id
    bool wish(placement::MoveId id, const std::string& request);       // false: there is none that is open
    void note(placement::MoveId id, const std::string& text);
    void pause(bool paused);
    bool paused();

private:
    SqlDb& db_;
};

}  // namespace pinedoor::store
