// Records multigets in the store of record. RecordKeeper is a request handler between the client sides and
// the exchange: it forwards a recorded multiget once its intent is durable, and delivers the answer once the
// outcome is durable or the answer's share of the client's time is used up. Other multigets pass through
// unchanged. Recorder makes the decisions; RecordKeeper executes them on a store and a spill and reports the
// results back.
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

// The store's folder or a file in it is unusable; the program must not start.
struct StoreFolderError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Configuration of the node: its op types and tenants by index, and which of them are recorded.
struct RecordKeeperConfig {
    std::string node;
    std::vector<std::string> op_types;
    std::vector<std::string> tenants;
    std::vector<bool> recorded;  // by op type
    Time max_retry_after = 0;    // upper limit of a retry delay sent to clients, 0.1 ms; 0: none is sent
};

class RecordKeeper : public service::RequestHandler {
public:
    RecordKeeper(net::Scheduler& scheduler, service::RequestHandler& inner, service::Log& log,
                 StoreConfig store_config, RecordKeeperConfig config, std::uint64_t seed,
                 std::unique_ptr<Backend> backend, std::unique_ptr<Files> files);

    // Recovers the spill and loads the incarnation; throws StoreFolderError.
    void start();
    // Call once no client is connected: waits up to 0.5 s for entries that are not durable, then deregisters
    // from the store.
    void finish();
    bool done() const { return finished_; }

    service::SubmitResult ask(service::MultigetRequest request,
                              std::function<void(service::MultigetResult)> on_ended) override;
    PartOutcomes leave(service::Ticket ticket) override;
    service::Acceptance check_acceptance(const std::string& name) const override {
        return inner_.check_acceptance(name);
    }

    std::string print_gauges() const;

private:
    // A recorded multiget, until its ending is delivered to the client.
    struct PendingMultiget {
        service::MultigetRequest request;
        std::function<void(service::MultigetResult)> on_ended;  // empty: the client has disconnected
        service::Ticket inner_ticket = 0;
        bool proceeded = false;
        Intent intent;
        service::MultigetResult ending;
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

    void on_store_opened(const Backend::OpenResult& result);
    void on_written(BatchId batch, const EntryRefs& refs, const Backend::WriteResult& result);
    void on_spill_replayed(BatchId batch, std::size_t count, const Backend::WriteResult& result);
    void report_write_failure(BatchId batch, const Backend::WriteResult& result);
    template <class Job>
    void run_on_spill_thread(Job job, std::function<void()> on_done);
    void on_exchange_ended(RecordNumber number, service::MultigetResult ending);
    void fail_refusal(service::MultigetResult& ending);
    void record_outcome(const PendingMultiget& multiget, OutcomeKind outcome_kind, const PartOutcomes& parts,
                        std::string note, std::string answer, bool answered);
    service::MultigetResult rejection_ending(const PendingMultiget& multiget,
                                             const RejectMultiget& rejection);
    Entries entries_of(const EntryRefs& refs) const;

    net::Scheduler& scheduler_;
    service::RequestHandler& inner_;
    service::Log& log_;
    const StoreConfig store_config_;
    const RecordKeeperConfig config_;
    std::unique_ptr<Files> files_;
    net::Fd lock_file_;
    Recorder recorder_;
    CrashPoints crash_points_;

    std::string process_token_;
    std::uint64_t incarnation_ = 0;  // 0: not assigned by the store yet
    bool incarnation_used_ = false;  // entries were written under it
    RecordNumber last_number_ = 0;
    std::map<RecordNumber, PendingMultiget> multigets_;
    std::set<std::string> pending_names_;  // of multigets that are not with the exchange yet
    std::map<EntryRef, std::shared_ptr<const Entry>> entries_;
    // Keys held by other records, until the client is answered.
    std::map<RecordNumber, Claim> held_claims_;
    std::deque<Event> events_;
    bool dispatching_ = false;

    Time wake_at_ = net::kNever;
    Time maintain_at_ = 0;
    bool maintaining_ = false;
    bool finishing_ = false;
    Time finish_deadline_ = net::kNever;
    bool deregistering_ = false;
    bool finished_ = false;
    std::string last_error_;  // of the store, so that a repeated failure is logged once
    SpillLevel spill_level_;

    struct Counters {
        std::uint64_t intents = 0, outcomes = 0, writes = 0, entries_written = 0, reconciled_writes = 0,
                      spilled_entries = 0, replayed_entries = 0, unknown_writes = 0, rejected_writes = 0,
                      rejected_multigets = 0, answers_before_record = 0, recorded_answers = 0, conflicts = 0,
                      in_doubt_answers = 0, answers_not_kept = 0, lost_entries = 0, set_aside_entries = 0,
                      spill_failures = 0, pruned_records = 0, store_opens = 0, refusals_failed = 0;
    } counters_;
    // Used by the spill thread only, except for recovery at the start.
    std::shared_ptr<Spill> spill_;
    std::unique_ptr<Backend> backend_;
    net::Worker spill_thread_;
    net::Waiter waiter_;
    net::Task task_;  // last member: destroyed first
};

}  // namespace pinedoor::store
