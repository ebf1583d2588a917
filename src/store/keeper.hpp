// The record's carrier: stands between the client sides and the exchange. A multiget that is recorded goes on
// to the exchange once its intent is durable, and its answer to the client once its outcome is, or its share
// of the time is over; all others pass through untouched. It carries out what the Recorder decides, on a
// store and a spill, and tells it how each went.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/worker.hpp"
#include "service/counters.hpp"
#include "service/log.hpp"
#include "service/request_handler.hpp"
#include "store/asked_again.hpp"
#include "store/backend.hpp"
#include "store/crash_point.hpp"
#include "store/decide.hpp"
#include "store/files.hpp"
#include "store/spill.hpp"
#include "store/terms.hpp"

namespace pinedoor::store {

struct StoreFolderError : std::runtime_error {  // the folder or what is in it: the program must not start
    using std::runtime_error::runtime_error;
};

// The op types and tenants by their numbers, and what they mean here.
struct Recorded {
    std::string node;
    std::vector<std::string> op_types;
    std::vector<std::string> tenants;
    std::vector<bool> recorded;   // by op type
    std::vector<bool> retriable;  // by op type
    Time max_retry_after = 0;     // the most that a client may be told to wait; 0: none is told
};

class Keeper : public service::RequestHandler {
public:
    Keeper(net::Scheduler& scheduler, service::RequestHandler& inner, service::Log& log,
           StoreTerms store_config, Recorded config, std::uint64_t seed, std::unique_ptr<Backend> backend,
           std::unique_ptr<Files> files);

    void start();  // recovers the spill and takes its incarnation; throws Unusable
    // Once no client is left: waits a moment for what is not durable, then leaves the store.
    void finish();
    bool done() const { return finished_; }

    service::TakenRequest ask(service::MultigetAsked request,
                              std::function<void(service::Ending)> on_ended) override;
    PartFates leave(service::Ticket ticket) override;
    service::Acceptance could_take(const std::string& name) const override { return inner_.could_take(name); }

    std::string print_gauges() const;

private:
    struct PendingMultiget {  // a recorded multiget, until its client has its ending
        service::MultigetAsked request;
        std::function<void(service::Ending)> on_ended;  // empty: its client has left
        service::Ticket inner_ticket = 0;
        bool proceeded = false;
        Intent intent;
        bool retriable = false;
        service::Ending ending;
    };
    using EntryRefs = std::vector<EntryRef>;

    void load_incarnation();
    void recover_spill();
    net::Task run();
    void maintain();
    void dispatch(Event event);

    void execute(const OpenStore&);
    void execute(const WriteBatch& write);
    void execute(const ReconcileBatch& reconcile);
    void execute(const ReplaySpill& replay);
    void execute(const SetAsideSpilled&);
    void execute(const WriteSpill& write);
    void execute(const Proceed& proceed);
    void execute(const RejectMultiget& rejection);
    void execute(const ReleaseAnswer& release);
    void execute(const DropAnswer& drop);
    void execute(const DiscardEntry& discard);
    void execute(const WakeAt& wake);
    void execute(const ConditionChanged& change);

    void on_store_opened(const Backend::Enrolled& result);
    void on_written(BatchId batch, const EntryRefs& refs, const Backend::Written& result);
    void on_spill_replayed(BatchId batch, std::size_t count, const Backend::Written& result);
    void report_write_failure(BatchId batch, const Backend::Written& result);
    template <class Job>
    void run_on_spill_thread(Job job, std::function<void()> on_done);
    void on_exchange_ended(RecordNumber number, service::Ending ending);
    void record_outcome(const PendingMultiget& multiget, Fate outcome_kind, const PartFates& parts,
                        std::string note, std::string answer, bool answered);
    service::Ending rejection_ending(const PendingMultiget& multiget, const RejectMultiget& rejection);
    Entries entries_of(const EntryRefs& refs) const;

    net::Scheduler& scheduler_;
    service::RequestHandler& inner_;
    service::Log& log_;
    const StoreTerms store_config_;
    const Recorded config_;
    std::unique_ptr<Files> files_;
    net::Fd lock_file_;
    Recorder recorder_;
    CrashPoints crash_points_;

    std::string process_token_;
    std::uint64_t incarnation_ = 0;  // 0: the store has not told it yet
    bool incarnation_used_ = false;  // something is written under it
    RecordNumber last_number_ = 0;
    std::map<RecordNumber, PendingMultiget> multigets_;
    std::set<std::string> pending_names_;  // of those that are not with the exchange yet
    std::map<EntryRef, std::shared_ptr<const Entry>> entries_;
    std::map<RecordNumber, Claim> held_claims_;  // claims that somebody else has, until told
    std::deque<Event> events_;
    bool dispatching_ = false;

    Time wake_at_ = net::kNever;
    Time maintain_at_ = 0;
    bool maintaining_ = false;
    bool finishing_ = false;
    Time finish_deadline_ = net::kNever;
    bool deregistering_ = false;
    bool finished_ = false;
    std::string last_error_;  // the store's last trouble
    SpillLevel spill_level_;

    struct Counters {
        std::uint64_t intents = 0, outcomes = 0, writes = 0, entries_written = 0, reconciled_writes = 0,
                      spilled_entries = 0, replayed_entries = 0, unknown_writes = 0, rejected_writes = 0,
                      rejected_multigets = 0, answers_before_record = 0, recorded_answers = 0, conflicts = 0,
                      in_doubt_answers = 0, answers_not_kept = 0, lost_entries = 0, set_aside_entries = 0,
                      spill_failures = 0, pruned_records = 0, store_opens = 0;
    } counters_;
    std::shared_ptr<Spill> spill_;  // touched by its thread alone, but for recovery
    std::unique_ptr<Backend> backend_;
    net::Worker spill_thread_;
    net::Waiter waiter_;
    net::Task task_;  // last: goes first
};

}  // namespace pinedoor::store
