// All of pinedoor's decisions. The interface is logic.hpp: a caller makes one FrontNode for each front node's
// life and hands it every turn's events, in order, by turn(); it carries out the actions returned, in order,
// at that same time. Nothing else is kept, read or shared. A turn empties the inboxes of four kinds of actor:
//   ListFollower  asks for the list where it must be asked for, and tells index servers what it says of them
//   IndexServer   one replica: what is out there, its health, its credit, what it can bear while cold
//   Pulse         this node's pressure: alpha, and what a part usually costs
//   Desk          multigets and their parts: selection, replica, further sends, the one final answer
// The mechanism and every departure from it are described in docs/design.md.
#include "logic.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "notes.hpp"
#include "state.hpp"

namespace pinedoor {
namespace {

// ---- ListFollower

class ListFollower {
public:
    ListFollower(Post& post, ListTerms terms) : post_(post), terms_(terms) {}

    void take(const Tick&) {
        if (!terms_.ask || watching_ || post_.now < ask_at_) return;
        // Asked well within the stated time, and again while no word has come: a lost call must not leave
        // this node sending by an old list. The random part keeps front nodes from asking all at once.
        post_.actions.emplace_back(WatchList{});
        ask_at_ = post_.now + terms_.must_ask_in / 4 + post_.random_part(terms_.must_ask_in / 8);
    }

    void take(const ListNews& news) {
        if (news.kind == ListKind::kFailed) {
            watching_ = false;
            ask_at_ = post_.now + terms_.must_ask_in / 16 + post_.random_part(terms_.must_ask_in / 8);
            return;
        }
        if (news.kind != ListKind::kSaved) watching_ = true;
        if (news.kind != ListKind::kChanges) {
            for (const auto& [id, state] : listed_) post_.servers[id].push_back(Unlisted{});
            listed_.clear();
        }
        for (const auto& entry : news.entries) {
            listed_[entry.server] = entry.state;
            post_.servers[entry.server].push_back(entry);
        }
        const auto ready = std::count_if(listed_.begin(), listed_.end(),
                                         [](const auto& it) { return it.second == ServerState::kReady; });
        post_.pulse.push_back(Fleet{static_cast<int>(ready)});
    }

private:
    Post& post_;
    const ListTerms terms_;
    std::map<ServerId, ServerState> listed_;
    bool watching_ = false;
    Time ask_at_ = 0;
};

// ---- IndexServer

class IndexServer {
public:
    IndexServer(Post& post, ServerId id, ColdTerms cold, int front_nodes, int parts_per_call,
                Time shortest_budget)
        : post_(post),
          id_(id),
          cold_(cold),
          front_nodes_(front_nodes),
          parts_per_call_(parts_per_call),
          silence_(shortest_budget / 3),
          slow_(shortest_budget / 2),
          aside_for_(shortest_budget),
          usual_cost_(static_cast<double>(shortest_budget) / 8) {}

    void take(const Tick&) {
        if (standing_ == Standing::kAside && post_.now >= aside_until_) {
            standing_ = Standing::kTrial;
            trial_used_ = false;
            heard_ = post_.now;
        }
        fill_cold_room();
        look_for_silence();
        for (auto& [key, out] : out_) {
            if (post_.now < out.overdue_at) continue;
            if (!std::exchange(out.strained, true) && standing_ == Standing::kGood) {
                post_.pulse.push_back(Strain{id_, true});
            }
        }
        publish();
    }

    void take(const ListEntry& entry) {
        if (entry.state == ServerState::kReady && entry.started > started_) {
            cold_room_ = 0;
            room_filled_ = post_.now;
        }
        entry_ = entry;
        started_ = std::max(started_, entry.started);
        publish();
    }

    void take(const Unlisted&) {
        entry_.state = ServerState::kGone;
        publish();
    }

    void take(const Order& order) {
        if (call_turn_ != post_.now || call_parts_ >= parts_per_call_) {
            call_turn_ = post_.now;
            call_parts_ = 0;
            ++call_;
        }
        ++call_parts_;
        ++calls_out_[call_];
        out_[{order.part, order.send}] = {post_.now, post_.now + order.patience, call_, false, false};
        if (is_cold()) cold_room_ -= 1;
        if (order.further) credit_ -= 1;
        if (standing_ == Standing::kTrial) trial_used_ = true;
        post_.actions.emplace_back(Send{order.part, id_, order.try_for});
        publish();
    }

    void take(const Pace& pace) {
        // A wait is suspicious only when it is long beside what the others show: under load all are slow, and
        // copies would make that worse.
        constexpr double kFarBehind = 2.5;
        usual_cost_ = pace.quick;
        borne_ = pace.borne;
        slow_ = std::max(silence_, static_cast<Time>(kFarBehind * pace.mean));
    }

    void take(const SendEnded& ended) {
        const auto it = out_.find({ended.part, ended.send});
        if (it != out_.end()) {
            judge(ended, it->second);
            if (--calls_out_[it->second.call] == 0) calls_out_.erase(it->second.call);
            out_.erase(it);
        }
        post_.desk.push_back(SendOver{ended.part, ended.send, ended.outcome});
        publish();
    }

private:
    enum class Standing { kGood, kAside, kTrial };
    struct OutSend {
        Time sent = 0;
        Time overdue_at = 0;
        int call = 0;
        bool overdue = false;
        bool strained = false;
    };
    using SendKey = std::pair<Id, int>;

    void judge(const SendEnded& ended, const OutSend& out) {
        constexpr double kErrorStep = 1.0 / 8;  // how fast errors, and answers after them, are believed
        constexpr double kErrorMark = 1.0 / 5;  // two errors on end: sound servers hardly ever show that
        constexpr double kEarned = 1.0 / 4;     // credit for an answer
        constexpr double kMostCredit = 8;
        const bool aside = standing_ == Standing::kAside;
        switch (ended.outcome) {
            case Outcome::kReturned:
                heard_ = post_.now;
                errors_ -= errors_ * kErrorStep;
                credit_ = std::min(kMostCredit, credit_ + kEarned);
                post_.pulse.push_back(Took{id_, ended.took, !is_cold()});
                see_wait(ended.took, false);
                // An answer ends the doubt that silence raised; only time ends the one that errors raised.
                if (standing_ == Standing::kTrial || (aside && silent_)) standing_ = Standing::kGood;
                break;
            case Outcome::kError:
                heard_ = post_.now;
                errors_ += (1 - errors_) * kErrorStep;
                credit_ = std::max(0.0, credit_ - 1);
                if (errors_ > kErrorMark || standing_ == Standing::kTrial) set_aside(false, "errors");
                break;
            case Outcome::kFull:
                heard_ = post_.now;
                credit_ = 0;
                break;
            case Outcome::kNoConnection:
            case Outcome::kReset:
                // A process that was down comes back cold, whether or not the list says so in time.
                credit_ = 0;
                started_ = post_.now;
                cold_room_ = 0;
                room_filled_ = post_.now;
                set_aside(false, "no connection");
                break;
            case Outcome::kTimedOut:
                credit_ = std::max(0.0, credit_ - 1);
                see_wait(ended.took, true);
                if (standing_ == Standing::kTrial) set_aside(true, "trial timed out");
                break;
            case Outcome::kCancelled: see_wait(ended.took, true); return;
            case Outcome::kNeverSent: return;
        }
        if (out.strained || aside) return;
        post_.pulse.push_back(
            Strain{id_, ended.outcome == Outcome::kFull || ended.outcome == Outcome::kTimedOut});
    }

    // The wait that this node's latest answers showed, less the time since, in which a queue that nobody adds
    // to would have shrunk; at least the age of the oldest send that is still out.
    Time expected_wait() const {
        Time wait = std::max<Time>(0, wait_ - (post_.now - wait_seen_));
        if (standing_ == Standing::kAside) return wait;
        for (const auto& [key, out] : out_) wait = std::max(wait, post_.now - out.sent);
        return wait;
    }

    void see_wait(Time took, bool at_least) {
        const Time before = std::max<Time>(0, wait_ - (post_.now - wait_seen_));
        if (at_least && took <= before) return;
        wait_ = before + (took - before) / 4;
        wait_seen_ = post_.now;
    }

    // Guards against a server that takes work and answers nothing, whatever ails it: a hang, a cut link, a
    // zone gone without word, a process that stands still. A live one with work in hand is heard from often.
    void look_for_silence() {
        if (out_.empty() || standing_ == Standing::kAside) return;
        Time oldest = post_.now;
        for (const auto& [key, out] : out_) oldest = std::min(oldest, out.sent);
        if (post_.now - std::max(heard_, oldest) < slow_ * 3 / 2) return;
        set_aside(true, "silence");
        for (auto& [key, out] : out_) overdue(key, out);
    }

    void overdue(const SendKey& key, OutSend& out) {
        if (std::exchange(out.overdue, true)) return;
        post_.desk.push_back(Overdue{key.first, key.second});
    }

    void set_aside(bool silent, const char* why) {
        if (standing_ == Standing::kGood) {
            post_.actions.emplace_back(
                LogLine{"aside " + std::to_string(id_.address & 0xffffU) + ": " + why});
        }
        standing_ = Standing::kAside;
        silent_ = silent;
        errors_ = 0;
        aside_until_ = post_.now + aside_for_ + post_.random_part(aside_for_ / 2);
    }

    bool is_cold() const { return started_ > 0 && post_.now < started_ + cold_.warm_after; }

    // Guards a cold server: it may be sent, in parts, six tenths of the stated multiple, at its least
    // warmth by now, of what warm servers are seen to bear of this node's parts, or of this node's even share
    // of what one core bears. Room gathers with time, up to half a span's, so no burst spends the allowance
    // at once.
    void fill_cold_room() {
        if (!is_cold()) return;
        constexpr double kSafety = 0.9;
        const double age = static_cast<double>(post_.now - started_) / static_cast<double>(cold_.warm_after);
        const double warmth = cold_.from + (1 - cold_.from) * std::clamp(age, 0.0, 1.0);
        const double bears = std::max(borne_, 1 / usual_cost_ / front_nodes_);
        const double rate = kSafety * cold_.fall_multiple * warmth * bears;
        const double most = std::max(1.0, rate * static_cast<double>(cold_.tip_after) / 2);
        cold_room_ = std::min(most, cold_room_ + rate * static_cast<double>(post_.now - room_filled_));
        room_filled_ = post_.now;
    }

    void publish() {
        constexpr int kAmple = 1 << 20;

        Card card{id_,
                  entry_.place,
                  entry_.state == ServerState::kReady,
                  standing_ == Standing::kAside,
                  standing_ == Standing::kTrial,
                  static_cast<int>(calls_out_.size()),
                  static_cast<int>(out_.size()),
                  kAmple,
                  credit_};
        if (is_cold()) card.room = static_cast<int>(std::max(0.0, cold_room_));
        if (card.on_trial) card.room = std::min(card.room, trial_used_ ? 0 : 1);
        card.wait = expected_wait();
        if (card == shown_) return;
        shown_ = card;
        post_.cards.push_back(card);
    }

    Post& post_;
    const ServerId id_;
    const ColdTerms cold_;
    const int front_nodes_;
    const int parts_per_call_;
    const Time silence_;
    Time slow_;
    const Time aside_for_;
    ListEntry entry_;
    Card shown_;
    std::map<SendKey, OutSend> out_;
    std::map<int, int> calls_out_;
    int call_ = 0;
    int call_parts_ = 0;
    Time call_turn_ = -1;
    Standing standing_ = Standing::kGood;
    bool silent_ = false;
    bool trial_used_ = false;
    Time aside_until_ = 0;
    Time heard_ = 0;
    Time wait_ = 0;
    Time wait_seen_ = 0;
    double errors_ = 0;
    double credit_ = 2;
    Time started_ = 0;
    double usual_cost_;
    double borne_ = 0;
    double cold_room_ = 0;
    Time room_filled_ = 0;
};

// ---- Pulse

class Pulse {
public:
    Pulse(Post& post, Time shortest_budget)
        : post_(post),
          pace_{static_cast<double>(shortest_budget) / 8, static_cast<double>(shortest_budget) / 4, 0} {}

    void take(const Strain& strain) {
        ++ended_;
        if (!strain.pressing) return;
        ++pressing_;
        pressed_servers_.insert(strain.server);
    }

    void take(const Took& took) {  // the quick one is the lower quartile, which queues move little
        const auto t = static_cast<double>(took.took);
        pace_.quick += pace_.quick / 32 * (t > pace_.quick ? 1.0 / 3 : -1);
        pace_.quick = std::max(pace_.quick, 10.0);
        pace_.mean += (t - pace_.mean) / 32;
        if (!took.warm) return;
        ++borne_;
        bearing_.insert(took.server);
    }

    void take(const Weighed& weighed) {
        mean_weight_ += (weighed.mean - mean_weight_) / (mean_weight_ > 0 ? 8 : 1);
    }
    void take(const Fleet& fleet) { ready_ = fleet.ready; }

    void take(const Tick&) {
        if (post_.now < window_ends_) return;
        window_ends_ = post_.now + kWindow;
        // Alpha answers pressure on the fleet. Time-outs at a few servers are those servers' trouble, which
        // setting aside and further sends answer; they must not raise alpha for every op type.
        const bool widespread = static_cast<int>(pressed_servers_.size()) * kFewServers > ready_;
        const bool pressed = ended_ >= kLeastEnded && pressing_ > kMark * ended_ && widespread;
        const double before = alpha_;
        const double step = kStep * mean_weight_;
        if (pressed) {
            alpha_ = std::clamp(alpha_ * 2, step, kCap * mean_weight_);
        } else if (pressing_ <= kMark * ended_ || ended_ < kLeastEnded) {
            alpha_ = std::max(0.0, alpha_ - step);
        }
        if (before == 0 && alpha_ > 0) post_.actions.emplace_back(LogLine{"pressure: alpha rises"});
        if (alpha_ != before) post_.desk.push_back(Alpha{alpha_});

        if (!bearing_.empty()) {
            const double borne = borne_ / static_cast<double>(bearing_.size()) / kWindow;
            pace_.borne += (borne - pace_.borne) / 8;
        }
        borne_ = 0;
        bearing_.clear();
        ended_ = pressing_ = 0;
        pressed_servers_.clear();
        for (auto& [id, inbox] : post_.servers) inbox.push_back(pace_);
    }

private:
    static constexpr Time kWindow = 10'000;  // one second, as the design has it
    static constexpr double kMark = 0.05;
    static constexpr int kLeastEnded = 20;
    // Steps go by the mean weight of a part, so that they bite alike on a dozen shards and on many dozens.
    static constexpr double kStep = 0.5;
    static constexpr double kCap = 2;
    static constexpr int kFewServers = 4;  // a quarter of the ready ones

    Post& post_;
    int ended_ = 0;
    int pressing_ = 0;
    int ready_ = 0;
    std::set<ServerId> pressed_servers_;
    std::set<ServerId> bearing_;
    int borne_ = 0;
    double mean_weight_ = 0;
    double alpha_ = 0;
    Pace pace_;
    Time window_ends_ = 0;
};

// ---- Desk

// Keeps further sends within the stated few plus the stated share of what was taken lately.
class FurtherBudget {
public:
    FurtherBudget(FurtherSendTerms terms, Time turn) : terms_(terms), slack_(turn) {}
    void taken(Time now, int count) {
        taken_.emplace_back(now, count);
        taken_sum_ += count;
    }
    void spent(Time now) { spent_.push_back(now); }
    bool allows(Time now) {
        if (terms_.look_back == 0) return true;
        while (!taken_.empty() && taken_.front().first <= now - terms_.look_back + slack_) {
            taken_sum_ -= taken_.front().second;
            taken_.pop_front();
        }
        while (!spent_.empty() && spent_.front() < now - terms_.look_back - slack_) spent_.pop_front();
        return static_cast<double>(spent_.size() + 1) <= terms_.floor + terms_.ratio * taken_sum_;
    }

private:
    const FurtherSendTerms terms_;
    const Time slack_;
    std::deque<std::pair<Time, int>> taken_;
    std::deque<Time> spent_;
    int taken_sum_ = 0;
};

class Desk {
public:
    Desk(Post& post, std::vector<OpType> op_types, ShardRing ring, SendTerms sends, FurtherSendTerms further,
         ClientTerms clients, Time turn)
        : post_(post),
          op_types_(std::move(op_types)),
          ring_(ring),
          sends_(sends),
          clients_(clients),
          turn_(turn),
          budget_(further, turn),
          longest_try_(op_types_.size(), 0.0) {}

    bool idle() const { return multigets_.empty(); }
    void take(const Card& card) { cards_[card.server] = card; }
    void take(const Alpha& alpha) { alpha_ = alpha.value; }

    void take(const MultigetArrival& told) {
        budget_.taken(post_.now, 1 + static_cast<int>(told.parts.size()));
        auto& mg = multigets_[told.id];
        mg.told = told;
        mg.told.parts.clear();
        const auto& type = op_types_.at(static_cast<std::size_t>(told.op_type));
        mg.answer_by = told.not_after - 2 * turn_;
        mg.budget_ends = std::min(mg.answer_by, client_start(told, type) + type.latency_budget - 4 * turn_);
        add_parts(mg, told.parts);
        if (type.late_importance <= 0 && post_.now >= mg.budget_ends) return give_up(mg);
        if (type.least_share < type.whole_share && !mg.parts.empty()) {
            post_.pulse.push_back(Weighed{1.0 / static_cast<double>(mg.parts.size())});
        }
        select(mg, type);
    }

    void take(const SecondStep& step) {
        for (auto& [id, mg] : multigets_) {
            if (!mg.awaiting_step || mg.told.number != step.number) continue;
            budget_.taken(post_.now, static_cast<int>(step.parts.size()));
            mg.awaiting_step = false;
            add_parts(mg, step.parts);
            for (const auto& part : mg.parts) post_.desk.push_back(PlacePart{part.told.id});
            return;
        }
    }

    void take(const PlacePart& note) {
        auto [mg, part] = find(note.part);
        if (part == nullptr || part->stage != PartState::Stage::kWaiting) return;
        const auto& type = op_types_.at(static_cast<std::size_t>(mg->told.op_type));
        if (!may_send(*part, type)) return lose_part(*mg, *part);
        if (const auto* card = pick(*part, type, mg->budget_ends - post_.now)) send(*mg, *part, type, *card);
    }

    void take(const SendOver& over) {
        auto [mg, part] = find(over.part);
        if (part == nullptr || static_cast<std::size_t>(over.send) >= part->sends.size()) return;
        auto& sent = part->sends[static_cast<std::size_t>(over.send)];
        sent.over = true;
        sent.may_have_run = over.outcome != Outcome::kFull && over.outcome != Outcome::kNoConnection &&
                            over.outcome != Outcome::kNeverSent;
        if (!part->open()) return;
        if (over.outcome == Outcome::kReturned) {
            part->stage = PartState::Stage::kIn;
            call_off_rest(*part);
            return review(*mg);
        }
        if (part->any_out()) return;  // a copy is still under way
        part->stage = PartState::Stage::kWaiting;
        part->further_wanted = false;
        take(PlacePart{over.part});
    }

    void take(const Overdue& note) {
        auto [mg, part] = find(note.part);
        if (part == nullptr || part->stage != PartState::Stage::kOut) return;
        part->further_wanted = true;
        further(*mg, *part);
    }

    void take(const ClientLeft& left) {
        const auto it = multigets_.find(left.multiget);
        if (it != multigets_.end()) forget(it->second);
    }

    void take(const Tick&) {
        std::vector<Id> ids;
        for (const auto& [id, mg] : multigets_) ids.push_back(id);
        for (const Id id : ids) {
            review(multigets_.at(id));
            const auto it = multigets_.find(id);  // what has just ended gets no more sends
            if (it == multigets_.end()) continue;
            for (auto& part : it->second.parts) {
                if (part.stage == Stage::kWaiting) post_.desk.push_back(PlacePart{part.told.id});
                if (part.further_wanted) post_.desk.push_back(Overdue{part.told.id, 0});
            }
        }
    }

private:
    using Stage = PartState::Stage;
    static constexpr double kRounding = 0.00005;  // told weights miss 1 by a hair
    static constexpr double kHopeful = 0.5;       // of the time left that an expected wait may take

    // A try that ends sooner than tries of its op type usually do ends with its client's whole time, which
    // tells when that client began: repeats are not taken for new work that still has all its budget.
    Time client_start(const MultigetArrival& told, const OpType& type) {
        auto& longest = longest_try_.at(static_cast<std::size_t>(told.op_type));
        const double span = static_cast<double>(told.not_after - post_.now);
        longest = std::max(longest, span);
        const bool cut_short = span < longest - static_cast<double>(type.latency_budget) / 20;
        return cut_short ? std::min(post_.now, told.not_after - type.route_timeout) : post_.now;
    }

    void add_parts(MultigetState& mg, const std::vector<PartArrival>& parts) {
        mg.parts.clear();
        for (const auto& told : parts) {
            part_of_[told.id] = {mg.told.id, mg.parts.size()};
            mg.parts.push_back({told, Stage::kWaiting, {}, false});
        }
    }

    // The design's selection, with a floor guard: parts above alpha go out, and so do the heaviest ones that
    // cover the least share and a quarter of the rest, for where many parts weigh the same or nearly nothing.
    void select(MultigetState& mg, const OpType& type) {
        const double guard = type.least_share + (type.whole_share - type.least_share) / 4;
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t i = 0; i < mg.parts.size(); ++i) order.emplace_back(-mg.parts[i].told.weight, i);
        std::sort(order.begin(), order.end());
        double covered = 0;
        double hopeful = 0;
        // A late answer that still earns something lengthens the time by that share.
        const Time late = mg.answer_by - mg.budget_ends;
        const double left = static_cast<double>(mg.budget_ends - post_.now) +
                            type.late_importance * static_cast<double>(late);
        for (const auto& part : mg.parts) {
            if (static_cast<double>(shortest_wait(part)) <= kHopeful * left) hopeful += part.told.weight;
        }
        // What cannot be answered in time is pushed back before any part is sent: parts that end too late to
        // serve an answer still take their servers' time, and under load that makes the next ones late too.
        if (hopeful + kRounding < type.least_share) return give_up(mg);
        for (const auto& [minus, i] : order) {
            auto& part = mg.parts[i];
            if (type.least_share < type.whole_share && part.told.weight <= alpha_ && covered >= guard) {
                part.stage = Stage::kLeftOut;
                continue;
            }
            covered += part.told.weight;
            post_.desk.push_back(PlacePart{part.told.id});
        }
        if (mg.parts.empty()) review(mg);
    }

    bool holds(const Card& card, int shard) const {
        const int distance = ((card.place - shard) % ring_.places + ring_.places) % ring_.places;
        return distance < ring_.width && card.listed_ready;
    }

    Time shortest_wait(const PartState& part) const {
        // Where every replica is aside they count after all: what made so many silent may be over by now, and
        // pushing back everything until the first returns would make a short stall a long one.
        constexpr Time kNone = std::numeric_limits<Time>::max();
        Time shortest = kNone;
        Time aside = kNone;
        for (const auto& [id, card] : cards_) {
            if (!holds(card, part.told.shard) || card.room < 1) continue;
            auto& which = card.aside ? aside : shortest;
            which = std::min(which, card.wait);
        }
        return shortest == kNone ? aside : shortest;
    }

    bool may_send(const PartState& part, const OpType& type) {
        if (part.sends.empty()) return true;
        if (static_cast<int>(part.sends.size()) >= sends_.most_sends) return false;
        if (type.repeat == Repeat::kRetriable || part.all_proven_not_run()) return true;
        if (type.repeat == Repeat::kNonRetriable) return false;
        for (const auto& sent : part.sends) {
            if (sent.may_have_run) return post_.now + turn_ < sent.sent + type.dedup_window;
        }
        return true;
    }

    // The picker: of the replicas that hold the shard the one with the fewest of this node's calls out, ties
    // at random. Replicas that are set aside, on trial, or too slow for the time left come last, and never
    // first for what cannot be sent again; a further send goes only where there is credit, not where the part
    // was before, and within the budget.
    const Card* pick(const PartState& part, const OpType& type, Time left) {
        const bool is_further = !part.sends.empty();
        if (is_further && !budget_.allows(post_.now)) return nullptr;
        std::vector<const Card*> best;
        std::array<int, 3> lowest{};
        for (const auto& [id, card] : cards_) {
            if (!holds(card, part.told.shard) || card.room < 1) continue;
            if (is_further && (card.credit < 1 || card.aside || was_at(part, id))) continue;
            const bool testing = card.on_trial && type.repeat == Repeat::kRetriable;
            const bool too_slow = card.wait > static_cast<Time>(kHopeful * static_cast<double>(left));
            const int last = card.aside ? 2 : ((card.on_trial && !testing) || too_slow ? 1 : 0);
            const std::array<int, 3> rank{last, card.calls_out, card.parts_out};
            if (best.empty() || rank < lowest) {
                best.clear();
                lowest = rank;
            }
            if (rank == lowest) best.push_back(&card);
        }
        if (best.empty()) return nullptr;
        return best[post_.chance() % best.size()];
    }

    static bool was_at(const PartState& part, ServerId id) {
        return std::any_of(part.sends.begin(), part.sends.end(),
                           [&](const auto& s) { return s.server == id; });
    }

    void send(MultigetState& mg, PartState& part, const OpType& type, const Card& card) {
        const bool is_further = !part.sends.empty();
        const Time useful = type.late_importance > 0 ? mg.answer_by : mg.budget_ends;
        if (is_further) budget_.spent(post_.now);
        part.stage = Stage::kOut;
        part.further_wanted = false;
        part.sends.push_back({card.server, post_.now, false, true});
        post_.servers[card.server].push_back(Order{part.told.id, static_cast<int>(part.sends.size()) - 1,
                                                   std::max<Time>(turn_, useful - post_.now),
                                                   type.latency_budget / 2, is_further});
    }

    // An overdue part gets a second copy where those are allowed; else its send is called off, and another
    // follows once that is confirmed. Without a replica that has credit it is left to run.
    void further(MultigetState& mg, PartState& part) {
        const auto& type = op_types_.at(static_cast<std::size_t>(mg.told.op_type));
        if (type.repeat == Repeat::kNonRetriable || !may_send(part, type)) return;
        const auto* card = pick(part, type, mg.budget_ends - post_.now);
        if (card == nullptr) return;
        if (sends_.second_copies) return send(mg, part, type, *card);
        part.further_wanted = false;
        call_off_rest(part);
    }

    void call_off_rest(PartState& part) {
        if (!sends_.cancel) return;
        for (std::size_t i = 0; i < part.sends.size(); ++i) {
            if (!part.sends[i].over) post_.actions.emplace_back(CallOff{part.told.id, static_cast<int>(i)});
        }
    }

    void lose_part(MultigetState& mg, PartState& part) {
        part.stage = Stage::kLost;
        review(mg);
    }

    // Decides whether the multiget ends now. Every end passes here but a client's leaving.
    void review(MultigetState& mg) {
        if (mg.awaiting_step) {
            if (post_.now >= mg.answer_by) give_up(mg);
            return;
        }

        const auto& type = op_types_.at(static_cast<std::size_t>(mg.told.op_type));
        double in = 0;
        double pending = 0;
        bool all_in = true;
        bool any_open = false;
        for (const auto& part : mg.parts) {
            if (part.stage == Stage::kIn) in += part.told.weight;
            if (part.open()) pending += part.told.weight;
            all_in = all_in && part.stage == Stage::kIn;
            any_open = any_open || part.open();
        }
        const double need = mg.step == 1 ? type.whole_share : 1;
        const bool whole = (all_in || (need < 1 && in + kRounding >= need)) && mg.step_one_whole;
        const bool floor_in = all_in || in + kRounding >= type.least_share;
        if (whole || (floor_in && !any_open)) return answer(mg, type, whole);
        if (!any_open || in + pending + kRounding < type.least_share) return give_up(mg);
        if (post_.now >= mg.answer_by) return floor_in ? answer(mg, type, false) : give_up(mg);
        if (post_.now < mg.budget_ends) return;
        // In time with what is in beats whole but late; what is worth nothing late is given up at once.
        if (floor_in && type.short_importance * in > type.late_importance) return answer(mg, type, false);
        if (type.late_importance <= 0) give_up(mg);
    }

    void answer(MultigetState& mg, const OpType& type, bool whole) {
        post_.actions.emplace_back(Answer{mg.told.id, whole});
        if (mg.step == 1 && type.second_step_parts > 0) {
            drop_parts(mg);
            mg.step = 2;
            mg.step_one_whole = whole;
            mg.awaiting_step = true;
            return;
        }
        forget(mg);
    }

    // A pushback says that asking again is harmless: only where that is so. Else the multiget has failed.
    void give_up(MultigetState& mg) {
        const auto& type = op_types_.at(static_cast<std::size_t>(mg.told.op_type));
        const bool harmless = type.repeat == Repeat::kRetriable ||
                              std::all_of(mg.parts.begin(), mg.parts.end(),
                                          [](const auto& part) { return part.all_proven_not_run(); });
        if (harmless && mg.step == 1) {
            const Time wait = clients_.retry_after ? clients_.longest_retry_after : 0;
            post_.actions.emplace_back(PushBack{mg.told.id, wait});
        } else {
            post_.actions.emplace_back(Fail{mg.told.id});
        }
        forget(mg);
    }

    void drop_parts(MultigetState& mg) {
        for (auto& part : mg.parts) {
            if (part.any_out()) call_off_rest(part);
            part_of_.erase(part.told.id);
        }
        mg.parts.clear();
    }

    void forget(MultigetState& mg) {
        drop_parts(mg);
        multigets_.erase(mg.told.id);
    }

    std::pair<MultigetState*, PartState*> find(Id id) {
        const auto it = part_of_.find(id);
        if (it == part_of_.end()) return {nullptr, nullptr};
        auto& mg = multigets_.at(it->second.first);
        return {&mg, &mg.parts[it->second.second]};
    }

    Post& post_;
    const std::vector<OpType> op_types_;
    const ShardRing ring_;
    const SendTerms sends_;
    const ClientTerms clients_;
    const Time turn_;
    FurtherBudget budget_;
    std::map<Id, MultigetState> multigets_;
    std::map<Id, std::pair<Id, std::size_t>> part_of_;
    std::map<ServerId, Card> cards_;
    std::vector<double> longest_try_;
    double alpha_ = 0;
};

Time shortest_budget(const std::vector<OpType>& op_types) {
    Time shortest = 0;
    for (const auto& type : op_types) {
        if (shortest == 0 || type.latency_budget < shortest) shortest = type.latency_budget;
    }
    return std::max<Time>(shortest, 1);
}

}  // namespace

// ---- FrontNode: the one loop

struct FrontNode::Parts {
    Parts(std::uint64_t seed, NodePlace at, std::vector<OpType> op_types, ShardRing shards, SendTerms sends,
          FurtherSendTerms further, ColdTerms cold_terms, ListTerms list, ClientTerms clients)
        : place(at),
          ring(shards),
          cold(cold_terms),
          shortest(shortest_budget(op_types)),
          follower(post, list),
          pulse(post, shortest),
          desk(post, std::move(op_types), shards, sends, further, clients, at.turn) {
        post.chance.seed(static_cast<std::uint32_t>(seed ^ (seed >> 32U)));
    }

    IndexServer& server(ServerId id) {
        return servers.try_emplace(id, post, id, cold, place.front_nodes, ring.parts_per_call, shortest)
            .first->second;
    }

    template <class Actor, class Inbox>
    static bool empty_one(Actor& actor, Inbox& inbox) {
        if (inbox.empty()) return false;
        const auto note = std::move(inbox.front());
        inbox.pop_front();
        std::visit([&](const auto& what) { actor.take(what); }, note);
        return true;
    }

    // Index servers and their cards go before each of the desk's notes: it must not decide by a card that an
    // order of the same turn has made untrue, or a whole multiget goes to one cold server's last free place.
    void empty_inboxes() {
        for (bool busy = true; busy;) {
            busy = empty_one(follower, post.follower);
            for (auto& [id, inbox] : post.servers) {
                while (empty_one(server(id), inbox)) busy = true;
            }
            while (empty_one(pulse, post.pulse)) busy = true;
            while (empty_one(desk, post.cards)) busy = true;
            if (!busy) busy = empty_one(desk, post.desk);
        }
    }

    void deliver(const ListNews& news) { post.follower.push_back(news); }
    void deliver(const SendEnded& ended) { post.servers[ended.server].push_back(ended); }
    void deliver(const MultigetArrival& told) { post.desk.push_back(told); }
    void deliver(const SecondStep& step) { post.desk.push_back(step); }
    void deliver(const ClientLeft& left) { post.desk.push_back(left); }
    void deliver(const Probed&) {}
    void deliver(const PeerWord&) {}
    void deliver(const Bell&) {}

    void ring_again() {
        const Time next = post.now + place.turn * (desk.idle() ? 20 : 2);
        if (bell_due > post.now && bell_due <= next) return;
        bell_due = next;
        post.actions.emplace_back(SetBell{next - post.now, 0});
    }

    NodePlace place;
    ShardRing ring;
    ColdTerms cold;
    Time shortest;
    Post post;
    ListFollower follower;
    std::map<ServerId, IndexServer> servers;
    Pulse pulse;
    Desk desk;
    Time bell_due = 0;
};

FrontNode::FrontNode(std::uint64_t seed, NodePlace place, std::vector<OpType> op_types, ShardRing ring,
                     SendTerms sends, FurtherSendTerms further, ColdTerms cold, ListTerms list,
                     ClientTerms clients, std::vector<TenantShare>, HintTerms)
    : parts_(std::make_unique<Parts>(seed, place, std::move(op_types), ring, sends, further, cold, list,
                                     clients)) {}
FrontNode::~FrontNode() = default;
FrontNode::FrontNode(FrontNode&&) noexcept = default;
FrontNode& FrontNode::operator=(FrontNode&&) noexcept = default;

std::vector<Action> FrontNode::turn(Time now, const std::vector<Event>& events) {
    auto& post = parts_->post;
    post.now = now;
    for (const auto& event : events) {
        std::visit([&](const auto& what) { parts_->deliver(what); }, event);
        parts_->empty_inboxes();
    }
    post.follower.push_back(Tick{});
    for (auto& [id, inbox] : post.servers) inbox.push_back(Tick{});
    post.pulse.push_back(Tick{});
    post.desk.push_back(Tick{});
    parts_->empty_inboxes();
    parts_->ring_again();
    return std::exchange(post.actions, {});
}

}  // namespace pinedoor
