#include "store/asked_again.hpp"

#include <algorithm>
#include <stdexcept>

namespace pinedoor::store {

std::optional<std::string> read_key(std::string_view header) {
    const auto first = header.find_first_not_of(" \t");
    header.remove_prefix(std::min(first, header.size()));
    header = header.substr(0, header.find_last_not_of(" \t") + 1);
    if (header.size() < 2 || header.front() != '"' || header.back() != '"') return std::nullopt;
    std::string key;
    for (std::size_t i = 1; i + 1 < header.size(); ++i) {
        char c = header[i];
        if (c == '"') return std::nullopt;
        if (c == '\\') {
            c = header[++i];
            if (i + 1 >= header.size() || (c != '"' && c != '\\')) return std::nullopt;
        }
        if (c < ' ' || c > '~') return std::nullopt;
        key.push_back(c);
    }
    if (key.empty() || key.size() > kMaxKeyLength) return std::nullopt;
    return key;
}

RepeatVerdict judge_repeat(const KeyHolder& holder, std::string_view fingerprint) {
    if (holder.fingerprint != fingerprint) return RepeatVerdict::kDifferentBody;
    if (!holder.fate) return holder.alive ? RepeatVerdict::kInProgress : RepeatVerdict::kInDoubt;
    switch (*holder.fate) {
        case OutcomeKind::kAnswered:
        case OutcomeKind::kAnsweredInPart:
            return holder.answer.empty() ? RepeatVerdict::kAnswerNotKept : RepeatVerdict::kAnswer;
        case OutcomeKind::kRefused:  // recorded by an older version; some part may have run
        case OutcomeKind::kFailed: break;
    }
    return RepeatVerdict::kFailed;
}

bool frees_key(OutcomeKind fate, const PartOutcomes& parts) {
    if (fate != OutcomeKind::kRefused) return false;
    return std::all_of(parts.begin(), parts.end(),
                       [](const auto& part) { return part.second == PartOutcome::kNeverSent; });
}

std::vector<bool> which(const std::vector<std::string>& op_types, const std::vector<bool>& retriable,
                        const std::vector<std::string>& named) {
    std::vector<bool> recorded(op_types.size());
    for (std::size_t i = 0; i < op_types.size(); ++i) recorded[i] = named.empty() && !retriable[i];
    for (const auto& name : named) {
        const auto found = std::find(op_types.begin(), op_types.end(), name);
        if (found == op_types.end())
            throw std::invalid_argument("store.op_types: '" + name + "' is not a configured op type");
        recorded[static_cast<std::size_t>(found - op_types.begin())] = true;
    }
    return recorded;
}

OutcomeKind outcome_without_answer(const PartOutcomes& parts) {
    return frees_key(OutcomeKind::kRefused, parts) ? OutcomeKind::kRefused : OutcomeKind::kFailed;
}

}  // namespace pinedoor::store
