// Budgets for what peers send: the memory that their input may make this process hold, as allocated, and how
// the configured memory is divided among them. docs/capacity.md lists every input with its bound.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace pinedoor::service {

// Memory that the holders of one kind may take together, in bytes.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }
    std::size_t most_used() const { return most_used_; }
    bool has_room(std::size_t more) const { return used_ + more <= limit_; }

private:
    friend class MemoryCharge;
    void change(std::size_t from, std::size_t to) {
        used_ += to - from;
        most_used_ = std::max(most_used_, used_);
    }

    const std::size_t limit_;
    std::size_t used_ = 0;
    std::size_t most_used_ = 0;
};

// What one holder has taken from a budget. It is given back on destruction.
class MemoryCharge {
public:
    explicit MemoryCharge(MemoryBudget& budget) : budget_(&budget) {}
    ~MemoryCharge() { set(0); }
    MemoryCharge(MemoryCharge&& other) noexcept
        : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryCharge& operator=(MemoryCharge&&) = delete;

    std::size_t bytes() const { return bytes_; }
    void set(std::size_t bytes) { budget_->change(std::exchange(bytes_, bytes), bytes); }

private:
    MemoryBudget* budget_;
    std::size_t bytes_ = 0;
};

// The budgets of one front node. Half of the memory beyond the program's own is for input: allocators round
// up and keep what is freed.
class InputBudgets {
public:
    // `memory`: the most that the process may hold, in bytes.
    explicit InputBudgets(std::size_t memory)
        : clients(input_bytes(memory) / 2), unfinished(input_bytes(memory) / 8 * 3),
          servers(input_bytes(memory) / 16 * 3), values(input_bytes(memory) / 16 * 3),
          name_bytes(input_bytes(memory) / 8),
          peer_bytes(std::clamp(memory / 8, kLeastPeerBytes, kMostPeerBytes)) {}

    MemoryBudget clients;          // connections of clients, their requests and unread answers
    MemoryBudget unfinished;       // of these: connections that have no complete request
    MemoryBudget servers;          // buffers of connections to index servers
    MemoryBudget values;           // values of open requests
    const std::size_t name_bytes;  // for names of requests that may have run
    const std::size_t peer_bytes;  // unfinished messages of members; beside the input's half

private:
    static constexpr std::size_t kLeastPeerBytes = std::size_t{2} << 20U;  // the largest state and its buffer
    static constexpr std::size_t kMostPeerBytes = std::size_t{8} << 20U;
    static constexpr std::size_t kProgramBytes = std::size_t{12} << 20U;  // with libraries and a server list

    static std::size_t input_bytes(std::size_t memory) {
        return std::max(memory / 8, memory > kProgramBytes ? (memory - kProgramBytes) / 2 : 0);
    }
};

}  // namespace pinedoor::service
