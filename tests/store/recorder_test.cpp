// The recorder's decisions, as printed traces and as properties against a plain model.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <stdexcept>

#include "store/decide.hpp"

namespace {

using namespace pinedoor::store;
using Half = Ref::Half;

// As an exception, so that it ends a property's case or an exploration alike.
#define HOLDS(what) \
    if (!(what)) throw std::logic_error("does not hold: " #what)

std::string print(const std::vector<Ref>& refs) {
    std::string out;
    for (const auto& ref : refs)
        out += (ref.half == Half::kIntent ? " i" : " o") + std::to_string(ref.number);
    return out;
}

struct Printer {
    std::ostringstream out;
    void operator()(const Open&) { out << "open"; }
    void operator()(const Write& w) { out << "write #" << w.batch << print(w.refs); }
    void operator()(const Settle& s) { out << "settle #" << s.batch << print(s.refs); }
    void operator()(const Replay& r) { out << "replay #" << r.batch << " up to " << r.most; }
    void operator()(const Skip&) { out << "skip"; }
    void operator()(const SpillOut& s) { out << "spill #" << s.batch << print(s.refs); }
    void operator()(const Proceed& p) { out << "proceed " << p.number; }
    void operator()(const TurnAway& t) {
        out << "turn away " << t.number << ": " << name_of(t.why)
            << (t.may_be_stored ? ", may be stored" : "");
    }
    void operator()(const Release& r) {
        out << "release " << r.number << (r.durable ? "" : " before its record");
    }
    void operator()(const DropAnswer& d) { out << "drop answer " << d.number; }
    void operator()(const Forget& f) { out << (f.lost ? "lose" : "forget") << print({f.ref}); }
    void operator()(const Wake&) {}
    void operator()(const Now& n) { out << "store " << name_of(n.condition); }
};

struct Script {
    WriteTerms terms;
    std::optional<Recorder> recorder;
    Time now = 0;
    std::ostringstream trace;
    bool quiet = false;
    bool named = true;

    void show(const std::vector<Action>& actions) {
        for (const auto& action : actions) {
            if (std::holds_alternative<Wake>(action) || std::holds_alternative<Forget>(action)) {
                if (!std::holds_alternative<Forget>(action) || !std::get<Forget>(action).lost) continue;
            }
            Printer printer;
            std::visit(printer, action);
            if (!quiet) trace << now << ' ' << printer.out.str() << '\n';
        }
    }
    Script& begin() {
        recorder.emplace(7, terms);
        if (named) recorder->is_named();
        show(recorder->start(now));
        return *this;
    }
    Script& up() { return begin().take(Opened{}); }
    Script& take(const Event& event) {
        show(recorder->take(now, event));
        return *this;
    }
    Script& pass(Time time) {
        now += time;
        return take(Tick{});
    }
    Script& want(Number number, bool keyed = false, Time time_left = 20'000, std::size_t bytes = 100) {
        return take(Wanted{number, keyed, bytes, now + time_left});
    }
    Script& answered(Number number, Time time_left = 20'000, std::size_t bytes = 300) {
        return take(Over{number, bytes, 100, true, now + time_left});
    }
    Script& ended(Number number) { return take(Over{number, 100, 100, false, now}); }
    Script& stored(Batch batch, std::vector<Ref> held = {}, std::vector<Ref> absent = {}) {
        return take(Stored{batch, std::move(held), std::move(absent)});
    }
    std::string done() { return '\n' + trace.str(); }
};

TEST_CASE("an intent goes on when its write has ended; what comes meanwhile makes up the next write") {
    Script s;
    s.up().want(1).want(2).want(3).stored(1).answered(1).ended(2).stored(2).stored(3);
    CHECK(s.done() == R"(
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

TEST_CASE(
    "a write that is slow sends all that is plain to the spill, and the spill is read back when it ends") {
    Script s;
    s.up()
        .want(1)
        .want(2)
        .want(3, true)
        .pass(499)
        .pass(1)
        .take(SpillHolds{2, 200})
        .take(Spilled{2})
        .answered(1);
    s.take(SpillHolds{3, 500}).take(Spilled{3}).stored(1).take(SpillHolds{0, 0}).stored(4).stored(5);
    CHECK(s.done() == R"(
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

TEST_CASE("a store that stalls turns keyed ones away at their share of the time, and holds no refusal back") {
    Script s;
    s.up().want(1, true, 4'000).want(2, true, 8'000).pass(2'000).ended(1).pass(2'000);
    CHECK(s.done() == R"(
0 open
0 store up
0 write #1 i1
2000 store slow
2000 turn away 1: store slow, may be stored
2000 spill #2 o1
4000 turn away 2: store slow
)");
}

TEST_CASE("an answer waits for its record for its share of the time, then goes out before it") {
    Script s;
    s.up().want(1).stored(1).answered(1, 10'000).pass(2'499).pass(1).stored(2);
    CHECK(s.done() == R"(
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

TEST_CASE("a write whose end is not known is settled by asking, and only what is absent is written again") {
    Script s;
    s.up().want(1).want(2, true).want(3, true).stored(1).take(Unsure{2});
    s.take(Opened{}).stored(3, {}, {{Half::kIntent, 3}}).stored(4);
    CHECK(s.done() == R"(
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

TEST_CASE("a settlement that is lost too is asked again; who gave up meanwhile is not sent any more") {
    Script s;
    s.up().want(1, true, 2'000).take(Unsure{1}).take(Opened{}).take(Unsure{2}).pass(1'000).take(Opened{});
    s.ended(1).stored(3);
    CHECK(s.done() == R"(
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

TEST_CASE("a store that does not open turns keyed ones away at once, and is tried with growing pauses") {
    Script s;
    s.begin().want(1, true).want(2).take(OpenFailed{}).take(SpillHolds{1, 100}).take(Spilled{1}).pass(0);
    s.take(OpenFailed{}).want(3, true).pass(500).take(OpenFailed{});
    CHECK(s.done() == R"(
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

TEST_CASE("a process without a name spills nothing: what needs an intent waits for the store that names it") {
    Script s;
    s.named = false;
    s.begin().want(1).want(2, false, 2'000).pass(1'000).take(Opened{}).stored(1);
    Script t;
    t.named = false;
    t.begin().want(1).take(OpenFailed{}).want(2).take(OpenFailed{});
    CHECK(s.done() == R"(
0 open
1000 turn away 2: store slow
1000 store up
1000 write #1 i1
1000 proceed 1
)");
    CHECK(t.done() == R"(
0 open
0 store down
0 turn away 1: store away
0 open
0 turn away 2: store away
)");
}

TEST_CASE("a key that somebody else holds is not run; the multigets beside it are") {
    Script s;
    s.up().want(1, true).want(2, true).want(3).stored(1, {{Half::kIntent, 1}}).stored(2);
    CHECK(s.done() == R"(
0 open
0 store up
0 write #1 i1
0 turn away 1: key held
0 write #2 i2 i3
0 proceed 2
0 proceed 3
)");
}

TEST_CASE(
    "with the spill full those that need an intent are turned away, and outcomes still have their room") {
    Script s;
    s.terms.spill_bytes = 3'000;
    s.begin()
        .take(OpenFailed{})
        .want(1)
        .take(SpillHolds{1, 100})
        .take(Spilled{1})
        .want(2)
        .take(SpillHolds{2, 200});
    s.take(Spilled{2}).want(3).answered(1, 20'000, 5'000).take(SpillHolds{3, 300}).take(Spilled{3});
    CHECK(s.done() == R"(
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

TEST_CASE("when the spill fails as well nothing more is begun; outcomes are kept until one of them is back") {
    Script s;
    s.begin()
        .take(OpenFailed{})
        .want(1)
        .want(2)
        .take(Spilled{1, false})
        .want(3)
        .pass(500)
        .take(SpillHolds{1, 9});
    s.take(OpenFailed{}).take(Spilled{2}).ended(2).take(Spilled{3, false}).pass(3'000).take(Opened{});
    s.take(SpillHolds{0, 0}).stored(4).stored(5);
    CHECK(s.done() == R"(
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

TEST_CASE("one entry that the store will not have does not keep the others out") {
    Script s;
    s.up().want(1).want(2).want(3).stored(1).take(Refused{2, true}).take(Refused{3, true}).stored(4).ended(1);
    s.take(Refused{5, true});
    CHECK(s.done() == R"(
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

TEST_CASE("of the spill such an entry is set aside, when the others of its write go singly") {
    Script s;
    s.terms.most_batch = 2;
    s.begin().take(SpillHolds{2, 90}).take(Opened{}).take(Refused{1, true}).take(SpillHolds{1, 40}).stored(2);
    s.take(Refused{3, true}).take(SpillHolds{0, 0}).take(Refused{4, false});
    CHECK(s.done() == R"(
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

// A store and a spill that behave anyhow, and a plain model of what is durable. Whatever happens: nobody
// proceeds without a durable intent, everyone is told once and in time, and in the end each outcome of those
// who went on is durable, unless it was reported lost.
struct World {
    explicit World(std::uint64_t seed)
        : recorder(seed, terms()), chance(static_cast<std::mt19937::result_type>(seed)) {}

    static WriteTerms terms() {
        WriteTerms terms;
        terms.most_batch = 4;
        terms.most_waiting = 40;
        terms.spill_bytes = 20'000;
        return terms;
    }
    bool one_in(unsigned n) { return chance() % n == 0; }

    void act(const std::vector<Action>& actions) {
        for (const auto& action : actions) std::visit([this](const auto& what) { on(what); }, action);
    }
    void on(const Open&) {
        HOLDS(!opening);
        opening = true;
    }
    void on(const Write& w) { begin(w.batch, w.refs, 'w'); }
    void on(const Settle& s) { begin(s.batch, s.refs, 's'); }
    void on(const Replay& r) { begin(r.batch, {}, 'r'); }
    void on(const Skip&) { HOLDS(false); }
    void begin(Batch batch, std::vector<Ref> refs, char kind) {
        HOLDS(!out);
        HOLDS(refs.size() <= 4 || kind == 's');
        out = {batch, std::move(refs), kind};
    }
    void on(const SpillOut& s) {
        HOLDS(!spilling);
        spilling = {s.batch, s.refs};
    }
    void on(const Proceed& p) {
        HOLDS(durable(Ref{Half::kIntent, p.number}));
        HOLDS(waiting.erase(p.number) == 1U);
        open.insert(p.number);
    }
    void on(const TurnAway& t) {
        HOLDS(waiting.erase(t.number) == 1U);
        if (t.may_be_stored)
            refusals.push_back(t.number);
        else
            HOLDS(!in_spill.contains({Half::kIntent, t.number}) &&
                  !in_store.contains({Half::kIntent, t.number}));
    }
    void on(const Release& r) {
        const auto at = answers.find(r.number);
        HOLDS(at != answers.end());
        HOLDS(!r.durable || durable(Ref{Half::kOutcome, r.number}));
        answers.erase(at);
    }
    void on(const DropAnswer&) {}
    void on(const Forget& f) { HOLDS(!f.lost); }
    void on(const Wake& w) { wake = w.at; }
    void on(const Now&) {}
    bool durable(const Ref& ref) const { return in_store.contains(ref) || in_spill.contains(ref); }

    void take(const Event& event) {
        act(recorder.take(now, event));
        for (auto number : std::exchange(refusals, {})) {
            outcomes.insert(number);
            take(Over{number, 120, 120, false, now});
        }
    }
    void spill_says() { take(SpillHolds{in_spill.size(), in_spill.size() * 120}); }

    void store_acts(bool well) {
        if (opening) {
            opening = false;
            if (well || (luck < 0 && one_in(2))) return take(Opened{});
            return take(OpenFailed{});
        }
        if (!out) return;
        const auto [batch, refs, kind] = *std::exchange(out, std::nullopt);
        const int how = well ? 0 : luck >= 0 ? luck : static_cast<int>(chance() % 4);
        const bool goes_in = how == 0 || (how == 1 && (luck >= 0 || one_in(2)));
        std::vector<Ref> absent;
        if (kind == 's') {
            for (const auto& ref : refs) {
                if (!in_store.contains(ref)) absent.push_back(ref);
            }
        } else if (goes_in && kind == 'w') {
            in_store.insert(refs.begin(), refs.end());
        } else if (goes_in && kind == 'r') {
            for (std::size_t i = 0; i < 4 && !in_spill.empty(); ++i) {
                in_store.insert(*in_spill.begin());
                if (how == 0) in_spill.erase(in_spill.begin());
            }
            if (how == 0) spill_says();
        }
        if (how == 0) return take(Stored{batch, {}, absent});
        if (how <= 2) return take(Unsure{batch});
        take(Refused{batch, false});
    }
    void spill_acts(bool well, bool badly = false) {
        if (!spilling) return;
        const auto [batch, refs] = *std::exchange(spilling, std::nullopt);
        const bool good = !badly && (well || !one_in(4));
        if (good) {
            in_spill.insert(refs.begin(), refs.end());
            spill_says();
        }
        take(Spilled{batch, good});
    }
    // One thing happens, of so many; false: it cannot happen now.
    static constexpr int kChoices = 10;
    bool happen(int choice) {
        switch (choice) {
            case 0:
            case 1: {
                if (waiting.size() + open.size() >= 3) return false;
                const auto number = ++last;
                waiting[number] = now + 5'000;
                take(Wanted{number, choice == 1, 120, now + 10'000});
                break;
            }
            case 2: {
                if (open.empty()) return false;
                const auto number = *open.begin();
                open.erase(open.begin());
                outcomes.insert(number);
                answers[number] = now + 2'500;
                take(Over{number, 400, 120, true, now + 10'000});
                break;
            }
            case 3:
            case 4:
            case 5:
            case 6:
                if (!opening && !out) return false;
                if (opening && choice > 4) return false;
                luck = choice - 3;
                store_acts(choice == 3);
                break;
            case 7:
            case 8:
                if (!spilling) return false;
                spill_acts(choice == 7, choice == 8);
                break;
            default: now += 600; take(Tick{});
        }
        for (const auto& [number, at] : waiting) HOLDS(at > now);
        for (const auto& [number, at] : answers) HOLDS(at > now);
        return true;
    }
    void end_well() {
        for (const auto number : open) outcomes.insert(number);
        for (const auto number : std::exchange(open, {})) take(Over{number, 120, 120, false, now});
        calm_down();
        for (const auto number : std::exchange(open, {})) {  // those whose intent came through only now
            outcomes.insert(number);
            take(Over{number, 120, 120, false, now});
        }
        calm_down();
        HOLDS(waiting.empty());
        HOLDS(answers.empty());
        HOLDS(in_spill.empty());
        HOLDS(recorder.in_memory() == 0U);
        HOLDS(recorder.impossible() == 0U);
        for (const auto number : outcomes) HOLDS(in_store.contains(Ref{Half::kOutcome, number}));
    }
    void step() {
        now += static_cast<Time>(chance() % 300);
        switch (chance() % 7) {
            case 0:
            case 1: {
                const auto number = ++last;
                waiting[number] = now + 5'000;
                take(Wanted{number, one_in(3), 120, now + 10'000});
                break;
            }
            case 2:
                if (!open.empty()) {
                    const auto number = *open.begin();
                    open.erase(open.begin());
                    outcomes.insert(number);
                    const bool answer = one_in(2);
                    if (answer) answers[number] = now + 2'500;
                    take(Over{number, 400, 120, answer, now + 10'000});
                }
                break;
            case 3: store_acts(false); break;
            case 4: spill_acts(false); break;
            case 5: store_acts(true); break;
            default: break;
        }
        take(Tick{});
        for (const auto& [number, at] : waiting) HOLDS(at > now);
        for (const auto& [number, at] : answers) HOLDS(at > now);
    }
    void calm_down(int steps = 300) {
        luck = -1;
        for (int i = 0; i < steps; ++i) {
            now += 100;
            store_acts(true);
            spill_acts(true);
            take(Tick{});
        }
    }

    Recorder recorder;
    std::mt19937 chance;
    Time now = 0;
    Time wake = 0;
    int luck =
        -1;  // what the store does next: 1 and 2 end unsure, with it in or not, 3 is a refusal; -1: by chance
    bool opening = false;
    struct Out {
        Batch batch;
        std::vector<Ref> refs;
        char kind;
    };
    std::optional<Out> out;
    std::optional<std::pair<Batch, std::vector<Ref>>> spilling;
    std::map<Number, Time> waiting, answers;
    std::set<Number> open, outcomes;
    std::vector<Number> refusals;
    std::set<Ref> in_store, in_spill;
    Number last = 0;
};

TEST_CASE(
    "whatever store and spill do, who proceeds has an intent, all are told in time, no outcome is lost") {
    CHECK(rc::check([] {
        World world(*rc::gen::arbitrary<std::uint64_t>());
        if (world.one_in(2)) world.recorder.is_named();
        world.act(world.recorder.start(0));
        for (int i = 0; i < 400; ++i) world.step();
        world.end_well();
    }));
}

// Every order of what may happen to up to three multigets, seven steps deep.
void explore(const World& world, int depth, std::size_t& seen) {
    for (int choice = 0; choice < World::kChoices; ++choice) {
        World next(world);
        if (!next.happen(choice)) continue;
        if (depth > 1) {
            explore(next, depth - 1, seen);
            continue;
        }
        next.end_well();
        ++seen;
    }
}

TEST_CASE(
    "all orders of wants, ends, writes that go well, unsure, refused, spilled or not, and time: it holds") {
    std::size_t seen = 0;
    for (const bool up : {true, false}) {
        World world(1);
        if (up) world.recorder.is_named();
        world.act(world.recorder.start(0));
        if (up) world.happen(3);
        explore(world, 6, seen);
    }
    CHECK(seen > 10'000);
}

}  // namespace
