// Tests of Recorder's decisions: by traces of its actions, and by properties checked against a simple model.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <stdexcept>

#include "store/decide.hpp"

namespace {

using namespace pinedoor::store;
using Kind = EntryRef::Kind;

// Throws, which works in a property as well as in the exhaustive exploration.
#define REQUIRE_HOLDS(condition) \
    if (!(condition)) throw std::logic_error("violated: " #condition)

std::string print(const std::vector<EntryRef>& refs) {
    std::string out;
    for (const auto& ref : refs)
        out += (ref.kind == Kind::kIntent ? " i" : " o") + std::to_string(ref.number);
    return out;
}

struct Printer {
    std::ostringstream out;
    void operator()(const OpenStore&) { out << "open"; }
    void operator()(const WriteBatch& w) { out << "write #" << w.batch << print(w.refs); }
    void operator()(const ReconcileBatch& s) { out << "settle #" << s.batch << print(s.refs); }
    void operator()(const ReplaySpill& r) { out << "replay #" << r.batch << " up to " << r.max_entries; }
    void operator()(const SetAsideSpilled&) { out << "skip"; }
    void operator()(const WriteSpill& s) { out << "spill #" << s.batch << print(s.refs); }
    void operator()(const Proceed& p) { out << "proceed " << p.number; }
    void operator()(const RejectMultiget& r) {
        out << "turn away " << r.number << ": " << name_of(r.reason)
            << (r.may_be_stored ? ", may be stored" : "");
    }
    void operator()(const ReleaseAnswer& r) {
        out << "release " << r.number << (r.durable ? "" : " before its record");
    }
    void operator()(const DropAnswer& d) { out << "drop answer " << d.number; }
    void operator()(const DiscardEntry& f) { out << (f.lost ? "lose" : "forget") << print({f.ref}); }
    void operator()(const WakeAt&) {}
    void operator()(const ConditionChanged& n) { out << "store " << name_of(n.condition); }
};

struct Script {
    WriteConfig config;
    std::optional<Recorder> recorder;
    Time now = 0;
    std::ostringstream trace;
    bool quiet = false;
    bool incarnation_known = true;

    void show(const std::vector<Action>& actions) {
        for (const auto& action : actions) {
            if (std::holds_alternative<WakeAt>(action) || std::holds_alternative<DiscardEntry>(action)) {
                if (!std::holds_alternative<DiscardEntry>(action) || !std::get<DiscardEntry>(action).lost)
                    continue;
            }
            Printer printer;
            std::visit(printer, action);
            if (!quiet) trace << now << ' ' << printer.out.str() << '\n';
        }
    }
    Script& start() {
        recorder.emplace(7, config);
        if (incarnation_known) recorder->set_incarnation_known();
        show(recorder->start(now));
        return *this;
    }
    Script& start_up() { return start().handle(StoreOpened{}); }
    Script& handle(const Event& event) {
        show(recorder->handle(now, event));
        return *this;
    }
    Script& advance(Time time) {
        now += time;
        return handle(Tick{});
    }
    Script& submit_intent(RecordNumber number, bool keyed = false, Time time_left = 20'000,
                          std::size_t bytes = 100) {
        return handle(IntentSubmitted{number, keyed, bytes, now + time_left});
    }
    Script& submit_answer(RecordNumber number, Time time_left = 20'000, std::size_t bytes = 300) {
        return handle(OutcomeSubmitted{number, bytes, 100, true, now + time_left});
    }
    Script& submit_refusal(RecordNumber number) {
        return handle(OutcomeSubmitted{number, 100, 100, false, now});
    }
    Script& write_stored(BatchId batch, std::vector<EntryRef> held_elsewhere = {},
                         std::vector<EntryRef> absent = {}) {
        return handle(WriteStored{batch, std::move(held_elsewhere), std::move(absent)});
    }
    std::string trace_text() { return '\n' + trace.str(); }
};

TEST_CASE(
    "a multiget proceeds once its intent is written; entries that arrive meanwhile form the next batch") {
    Script s;
    s.start_up()
        .submit_intent(1)
        .submit_intent(2)
        .submit_intent(3)
        .write_stored(1)
        .submit_answer(1)
        .submit_refusal(2)
        .write_stored(2)
        .write_stored(3);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 proceed 1
0 write #2 i2 i3
0 proceed 2
0 proceed 3
0 write #3 o1 o2
0 release 1
)");
}

TEST_CASE("a slow write sends entries without a key to the spill, which is replayed once the write ends") {
    Script s;
    s.start_up()
        .submit_intent(1)
        .submit_intent(2)
        .submit_intent(3, true)
        .advance(499)
        .advance(1)
        .handle(SpillLevel{2, 200})
        .handle(SpillWritten{2})
        .submit_answer(1);
    s.handle(SpillLevel{3, 500})
        .handle(SpillWritten{3})
        .write_stored(1)
        .handle(SpillLevel{0, 0})
        .write_stored(4)
        .write_stored(5);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
500 store slow
500 spill #2 i2 i1
500 proceed 2
500 proceed 1
500 spill #3 o1
500 release 1
500 store up
500 replay #4 up to 512
500 write #5 i3
500 proceed 3
)");
}

TEST_CASE(
    "with a stalled store, keyed intents are rejected at their share of the time, and no refusal is "
    "delayed") {
    Script s;
    s.start_up()
        .submit_intent(1, true, 4'000)
        .submit_intent(2, true, 8'000)
        .advance(2'000)
        .submit_refusal(1)
        .advance(2'000);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
2000 store slow
2000 turn away 1: store slow, may be stored
2000 spill #2 o1
4000 turn away 2: store slow
)");
}

TEST_CASE("an answer waits for its record for its share of the time, then is released without it") {
    Script s;
    s.start_up()
        .submit_intent(1)
        .write_stored(1)
        .submit_answer(1, 10'000)
        .advance(2'499)
        .advance(1)
        .write_stored(2);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 proceed 1
0 write #2 o1
2499 store slow
2499 spill #3 o1
2500 release 1 before its record
2500 store up
)");
}

TEST_CASE("a write with an unknown result is reconciled, and only absent entries are written again") {
    Script s;
    s.start_up().submit_intent(1).submit_intent(2, true).submit_intent(3, true).write_stored(1).handle(
        WriteUnknown{2});
    s.handle(StoreOpened{}).write_stored(3, {}, {{Kind::kIntent, 3}}).write_stored(4);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 proceed 1
0 write #2 i2 i3
0 store down
0 open
0 store up
0 settle #3 i2 i3
0 proceed 2
0 write #4 i3
0 proceed 3
)");
}

TEST_CASE("a reconciliation that fails is repeated; a multiget rejected meanwhile does not proceed") {
    Script s;
    s.start_up()
        .submit_intent(1, true, 2'000)
        .handle(WriteUnknown{1})
        .handle(StoreOpened{})
        .handle(WriteUnknown{2})
        .advance(1'000)
        .handle(StoreOpened{});
    s.submit_refusal(1).write_stored(3);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 store down
0 open
0 store up
0 settle #2 i1
0 store down
1000 turn away 1: store away, may be stored
1000 open
1000 store up
1000 write #3 o1
)");
}

TEST_CASE("a store that fails to open rejects keyed intents at once, and is retried with growing delays") {
    Script s;
    s.start()
        .submit_intent(1, true)
        .submit_intent(2)
        .handle(StoreOpenFailed{})
        .handle(SpillLevel{1, 100})
        .handle(SpillWritten{1})
        .advance(0);
    s.handle(StoreOpenFailed{}).submit_intent(3, true).advance(500).handle(StoreOpenFailed{});
    CHECK(s.trace_text() == R"(
0 open
0 spill #1 i2
0 store down
0 turn away 1: store away
0 open
0 proceed 2
500 open
500 turn away 3: store away
)");
}

TEST_CASE("a process without an incarnation spills nothing: intents wait for the store to assign one") {
    Script s;
    s.incarnation_known = false;
    s.start()
        .submit_intent(1)
        .submit_intent(2, false, 2'000)
        .advance(1'000)
        .handle(StoreOpened{})
        .write_stored(1);
    Script t;
    t.incarnation_known = false;
    t.start().submit_intent(1).handle(StoreOpenFailed{}).submit_intent(2).handle(StoreOpenFailed{});
    CHECK(s.trace_text() == R"(
0 open
1000 turn away 2: store slow
1000 store up
1000 write #1 i1
1000 proceed 1
)");
    CHECK(t.trace_text() == R"(
0 open
0 store down
0 turn away 1: store away
0 open
0 turn away 2: store away
)");
}

TEST_CASE("a multiget whose key another record holds does not proceed; the others of its batch do") {
    Script s;
    s.start_up()
        .submit_intent(1, true)
        .submit_intent(2, true)
        .submit_intent(3)
        .write_stored(1, {{Kind::kIntent, 1}})
        .write_stored(2);
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 turn away 1: key held
0 write #2 i2 i3
0 proceed 2
0 proceed 3
)");
}

TEST_CASE("with a full spill, intents are rejected, and outcomes still fit into their reserved space") {
    Script s;
    s.config.spill_bytes = 3'000;
    s.start()
        .handle(StoreOpenFailed{})
        .submit_intent(1)
        .handle(SpillLevel{1, 100})
        .handle(SpillWritten{1})
        .submit_intent(2)
        .handle(SpillLevel{2, 200});
    s.handle(SpillWritten{2})
        .submit_intent(3)
        .submit_answer(1, 20'000, 5'000)
        .handle(SpillLevel{3, 300})
        .handle(SpillWritten{3});
    CHECK(s.trace_text() == R"(
0 open
0 store down
0 open
0 spill #1 i1
0 proceed 1
0 spill #2 i2
0 proceed 2
0 turn away 3: no room
0 drop answer 1
0 spill #3 o1
0 release 1
)");
}

TEST_CASE(
    "when store and spill both fail, intents are rejected and outcomes are kept until one of the two works") {
    Script s;
    s.start()
        .handle(StoreOpenFailed{})
        .submit_intent(1)
        .submit_intent(2)
        .handle(SpillWritten{1, false})
        .submit_intent(3)
        .advance(500)
        .handle(SpillLevel{1, 9});
    s.handle(StoreOpenFailed{})
        .handle(SpillWritten{2})
        .submit_refusal(2)
        .handle(SpillWritten{3, false})
        .advance(3'000)
        .handle(StoreOpened{});
    s.handle(SpillLevel{0, 0}).write_stored(4).write_stored(5);
    CHECK(s.trace_text() == R"(
0 open
0 store down
0 open
0 spill #1 i1
0 turn away 1: store away, may be stored
0 turn away 3: store away
500 spill #2 i2
500 proceed 2
500 spill #3 o2
3500 open
3500 store up
3500 replay #4 up to 512
3500 write #5 o2
)");
}

TEST_CASE("an entry that the store rejects does not block the others of its batch") {
    Script s;
    s.start_up()
        .submit_intent(1)
        .submit_intent(2)
        .submit_intent(3)
        .write_stored(1)
        .handle(WriteRejected{2, true})
        .handle(WriteRejected{3, true})
        .write_stored(4)
        .submit_refusal(1);
    s.handle(WriteRejected{5, true});
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 write #1 i1
0 proceed 1
0 write #2 i2 i3
0 write #3 i2
0 turn away 2: entry refused
0 write #4 i3
0 proceed 3
0 write #5 o1
0 lose o1
)");
}

TEST_CASE("a rejected entry of the spill is set aside after its batch is replayed one entry at a time") {
    Script s;
    s.config.max_batch = 2;
    s.start()
        .handle(SpillLevel{2, 90})
        .handle(StoreOpened{})
        .handle(WriteRejected{1, true})
        .handle(SpillLevel{1, 40})
        .write_stored(2);
    s.handle(WriteRejected{3, true}).handle(SpillLevel{0, 0}).handle(WriteRejected{4, false});
    CHECK(s.trace_text() == R"(
0 open
0 store up
0 replay #1 up to 2
0 replay #2 up to 1
0 replay #3 up to 1
0 skip
0 replay #4 up to 2
0 store down
)");
}

// A store and a spill that succeed or fail in any order, and a model of what is durable. In every run no
// multiget proceeds without a durable intent, each is answered exactly once and in time, and in the end every
// outcome of a multiget that proceeded is durable unless it was reported lost.
struct Simulation {
    explicit Simulation(std::uint64_t seed)
        : recorder(seed, test_config()), rng(static_cast<std::mt19937::result_type>(seed)) {}

    static WriteConfig test_config() {
        WriteConfig config;
        config.max_batch = 4;
        config.max_pending = 40;
        config.spill_bytes = 20'000;
        return config;
    }
    bool one_in(unsigned n) { return rng() % n == 0; }

    void act(const std::vector<Action>& actions) {
        for (const auto& action : actions) std::visit([this](const auto& each) { on(each); }, action);
    }
    void on(const OpenStore&) {
        REQUIRE_HOLDS(!opening);
        opening = true;
    }
    void on(const WriteBatch& w) { start_operation(w.batch, w.refs, 'w'); }
    void on(const ReconcileBatch& s) { start_operation(s.batch, s.refs, 's'); }
    void on(const ReplaySpill& r) { start_operation(r.batch, {}, 'r'); }
    void on(const SetAsideSpilled&) { REQUIRE_HOLDS(false); }
    void start_operation(BatchId batch, std::vector<EntryRef> refs, char kind) {
        REQUIRE_HOLDS(!outstanding);
        REQUIRE_HOLDS(refs.size() <= 4 || kind == 's');
        outstanding = {batch, std::move(refs), kind};
    }
    void on(const WriteSpill& s) {
        REQUIRE_HOLDS(!spilling);
        spilling = {s.batch, s.refs};
    }
    void on(const Proceed& p) {
        REQUIRE_HOLDS(durable(EntryRef{Kind::kIntent, p.number}));
        REQUIRE_HOLDS(awaiting_intent.erase(p.number) == 1U);
        open_multigets.insert(p.number);
    }
    void on(const RejectMultiget& r) {
        REQUIRE_HOLDS(awaiting_intent.erase(r.number) == 1U);
        if (r.may_be_stored)
            refusals.push_back(r.number);
        else
            REQUIRE_HOLDS(!in_spill.contains({Kind::kIntent, r.number}) &&
                          !in_store.contains({Kind::kIntent, r.number}));
    }
    void on(const ReleaseAnswer& r) {
        const auto at = awaiting_outcome.find(r.number);
        REQUIRE_HOLDS(at != awaiting_outcome.end());
        REQUIRE_HOLDS(!r.durable || durable(EntryRef{Kind::kOutcome, r.number}));
        awaiting_outcome.erase(at);
    }
    void on(const DropAnswer&) {}
    void on(const DiscardEntry& f) { REQUIRE_HOLDS(!f.lost); }
    void on(const WakeAt& w) { next_wake = w.at; }
    void on(const ConditionChanged&) {}
    bool durable(const EntryRef& ref) const { return in_store.contains(ref) || in_spill.contains(ref); }

    void handle(const Event& event) {
        act(recorder.handle(now, event));
        for (auto number : std::exchange(refusals, {})) {
            outcomes.insert(number);
            handle(OutcomeSubmitted{number, 120, 120, false, now});
        }
    }
    void report_spill_level() { handle(SpillLevel{in_spill.size(), in_spill.size() * 120}); }

    void complete_store_operation(bool succeeds) {
        if (opening) {
            opening = false;
            if (succeeds || (next_result < 0 && one_in(2))) return handle(StoreOpened{});
            return handle(StoreOpenFailed{});
        }
        if (!outstanding) return;
        const auto [batch, refs, kind] = *std::exchange(outstanding, std::nullopt);
        const int result = succeeds ? 0 : next_result >= 0 ? next_result : static_cast<int>(rng() % 4);
        const bool goes_in = result == 0 || (result == 1 && (next_result >= 0 || one_in(2)));
        std::vector<EntryRef> absent;
        if (kind == 's') {
            for (const auto& ref : refs) {
                if (!in_store.contains(ref)) absent.push_back(ref);
            }
        } else if (goes_in && kind == 'w') {
            in_store.insert(refs.begin(), refs.end());
        } else if (goes_in && kind == 'r') {
            for (std::size_t i = 0; i < 4 && !in_spill.empty(); ++i) {
                in_store.insert(*in_spill.begin());
                if (result == 0) in_spill.erase(in_spill.begin());
            }
            if (result == 0) report_spill_level();
        }
        if (result == 0) return handle(WriteStored{batch, {}, absent});
        if (result <= 2) return handle(WriteUnknown{batch});
        handle(WriteRejected{batch, false});
    }
    void complete_spill_write(bool succeeds, bool must_fail = false) {
        if (!spilling) return;
        const auto [batch, refs] = *std::exchange(spilling, std::nullopt);
        const bool ok = !must_fail && (succeeds || !one_in(4));
        if (ok) {
            in_spill.insert(refs.begin(), refs.end());
            report_spill_level();
        }
        handle(SpillWritten{batch, ok});
    }
    // Applies one of kChoices events; returns false if it is not possible now.
    static constexpr int kChoices = 10;
    bool apply(int choice) {
        switch (choice) {
            case 0:
            case 1: {
                if (awaiting_intent.size() + open_multigets.size() >= 3) return false;
                const auto number = ++last_number;
                awaiting_intent[number] = now + 5'000;
                handle(IntentSubmitted{number, choice == 1, 120, now + 10'000});
                break;
            }
            case 2: {
                if (open_multigets.empty()) return false;
                const auto number = *open_multigets.begin();
                open_multigets.erase(open_multigets.begin());
                outcomes.insert(number);
                awaiting_outcome[number] = now + 2'500;
                handle(OutcomeSubmitted{number, 400, 120, true, now + 10'000});
                break;
            }
            case 3:
            case 4:
            case 5:
            case 6:
                if (!opening && !outstanding) return false;
                if (opening && choice > 4) return false;
                next_result = choice - 3;
                complete_store_operation(choice == 3);
                break;
            case 7:
            case 8:
                if (!spilling) return false;
                complete_spill_write(choice == 7, choice == 8);
                break;
            default: now += 600; handle(Tick{});
        }
        for (const auto& [number, deadline] : awaiting_intent) REQUIRE_HOLDS(deadline > now);
        for (const auto& [number, deadline] : awaiting_outcome) REQUIRE_HOLDS(deadline > now);
        return true;
    }
    void finish_and_check() {
        for (const auto number : open_multigets) outcomes.insert(number);
        for (const auto number : std::exchange(open_multigets, {}))
            handle(OutcomeSubmitted{number, 120, 120, false, now});
        run_until_idle();
        // Multigets whose intents became durable only now.
        for (const auto number : std::exchange(open_multigets, {})) {
            outcomes.insert(number);
            handle(OutcomeSubmitted{number, 120, 120, false, now});
        }
        run_until_idle();
        REQUIRE_HOLDS(awaiting_intent.empty());
        REQUIRE_HOLDS(awaiting_outcome.empty());
        REQUIRE_HOLDS(in_spill.empty());
        REQUIRE_HOLDS(recorder.pending_entries() == 0U);
        REQUIRE_HOLDS(recorder.unexpected_events() == 0U);
        for (const auto number : outcomes) REQUIRE_HOLDS(in_store.contains(EntryRef{Kind::kOutcome, number}));
    }
    void random_step() {
        now += static_cast<Time>(rng() % 300);
        switch (rng() % 7) {
            case 0:
            case 1: {
                const auto number = ++last_number;
                awaiting_intent[number] = now + 5'000;
                handle(IntentSubmitted{number, one_in(3), 120, now + 10'000});
                break;
            }
            case 2:
                if (!open_multigets.empty()) {
                    const auto number = *open_multigets.begin();
                    open_multigets.erase(open_multigets.begin());
                    outcomes.insert(number);
                    const bool answer = one_in(2);
                    if (answer) awaiting_outcome[number] = now + 2'500;
                    handle(OutcomeSubmitted{number, 400, 120, answer, now + 10'000});
                }
                break;
            case 3: complete_store_operation(false); break;
            case 4: complete_spill_write(false); break;
            case 5: complete_store_operation(true); break;
            default: break;
        }
        handle(Tick{});
        for (const auto& [number, deadline] : awaiting_intent) REQUIRE_HOLDS(deadline > now);
        for (const auto& [number, deadline] : awaiting_outcome) REQUIRE_HOLDS(deadline > now);
    }
    void run_until_idle(int steps = 300) {
        next_result = -1;
        for (int i = 0; i < steps; ++i) {
            now += 100;
            complete_store_operation(true);
            complete_spill_write(true);
            handle(Tick{});
        }
    }

    Recorder recorder;
    std::mt19937 rng;
    Time now = 0;
    Time next_wake = 0;
    // Result of the next store operation: 0 success, 1 unknown and stored, 2 unknown and not stored, 3
    // rejected; -1: random.
    int next_result = -1;
    bool opening = false;
    struct Outstanding {
        BatchId batch;
        std::vector<EntryRef> refs;
        char kind;
    };
    std::optional<Outstanding> outstanding;
    std::optional<std::pair<BatchId, std::vector<EntryRef>>> spilling;
    std::map<RecordNumber, Time> awaiting_intent, awaiting_outcome;
    std::set<RecordNumber> open_multigets, outcomes;
    std::vector<RecordNumber> refusals;
    std::set<EntryRef> in_store, in_spill;
    RecordNumber last_number = 0;
};

TEST_CASE("whatever store and spill do: no send without an intent, answers in time, no outcome lost") {
    CHECK(rc::check([] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        if (simulation.one_in(2)) simulation.recorder.set_incarnation_known();
        simulation.act(simulation.recorder.start(0));
        for (int i = 0; i < 400; ++i) simulation.random_step();
        simulation.finish_and_check();
    }));
}

// Explores every sequence of events of the given depth with up to three open multigets.
void explore(const Simulation& simulation, int depth, std::size_t& seen) {
    for (int choice = 0; choice < Simulation::kChoices; ++choice) {
        Simulation next(simulation);
        if (!next.apply(choice)) continue;
        if (depth > 1) {
            explore(next, depth - 1, seen);
            continue;
        }
        next.finish_and_check();
        ++seen;
    }
}

TEST_CASE("the same holds for every order of intents, outcomes, write results, spill results and time") {
    std::size_t seen = 0;
    for (const bool up : {true, false}) {
        Simulation simulation(1);
        if (up) simulation.recorder.set_incarnation_known();
        simulation.act(simulation.recorder.start(0));
        if (up) simulation.apply(3);
        explore(simulation, 6, seen);
    }
    CHECK(seen > 10'000);
}

}  // namespace
