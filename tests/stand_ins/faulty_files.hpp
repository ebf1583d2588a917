// Files in memory that can fail at a given call. After crash() only synced content remains.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/files.hpp"

namespace pinedoor::test {

enum class Fault {
    kNothingWritten,
    kHalfWritten,
    // Effect of the failing call: nothing is written; half is written; half is written and survives a crash.
    kHalfDurable
};

class MemoryFiles : public store::Files {
public:
    // The call that fails, counted from now; 0: none.
    void fail_at(int call, Fault fault) {
        calls_until_fault_ = call;
        fault_ = fault;
    }
    // Discards what was not synced.
    void crash() {
        for (auto& [path, file] : stored_files_)
            file->bytes.resize(std::min(file->bytes.size(), file->synced_bytes));
    }
    std::string& bytes(const std::string& path) { return stored_files_.at(path)->bytes; }
    std::vector<std::string> paths() const {
        std::vector<std::string> out;
        for (const auto& [path, file] : stored_files_) out.push_back(path);
        return out;
    }

    std::unique_ptr<store::File> open(const std::string& path) override {
        if (should_fail()) return nullptr;
        auto& file = stored_files_[path];
        if (!file) file = std::make_shared<StoredFile>();
        return std::make_unique<MemoryFile>(*this, file);
    }
    std::optional<std::vector<std::string>> list(const std::string& folder) override {
        if (should_fail()) return std::nullopt;
        std::vector<std::string> out;
        for (const auto& [path, file] : stored_files_) {
            if (path.starts_with(folder + '/')) out.push_back(path.substr(folder.size() + 1));
        }
        return out;
    }
    bool remove(const std::string& path) override { return !should_fail() && stored_files_.erase(path) == 1; }
    bool rename(const std::string& from, const std::string& to) override {
        if (should_fail() || !stored_files_.contains(from)) return false;
        stored_files_[to] = std::exchange(stored_files_[from], nullptr);
        stored_files_.erase(from);
        return true;
    }
    bool sync_folder(const std::string&) override { return !should_fail(); }

private:
    struct StoredFile {
        std::string bytes;
        std::size_t synced_bytes = 0;
    };
    class MemoryFile : public store::File {
    public:
        MemoryFile(MemoryFiles& files, std::shared_ptr<StoredFile> file)
            : files_(files), file_(std::move(file)) {}
        bool append(std::string_view bytes) override {
            if (files_.should_fail()) {
                if (files_.fault_ != Fault::kNothingWritten)
                    file_->bytes += bytes.substr(0, bytes.size() / 2);
                if (files_.fault_ == Fault::kHalfDurable) file_->synced_bytes = file_->bytes.size();
                return false;
            }
            file_->bytes += bytes;
            return true;
        }
        bool sync() override {
            if (files_.should_fail()) {
                if (files_.fault_ == Fault::kHalfDurable) file_->synced_bytes = file_->bytes.size() - 3;
                return false;
            }
            file_->synced_bytes = file_->bytes.size();
            return true;
        }
        bool truncate(std::uint64_t size) override {
            if (files_.should_fail()) return false;
            file_->bytes.resize(size);
            file_->synced_bytes = std::min<std::size_t>(file_->synced_bytes, size);
            return true;
        }
        std::optional<std::string> read_all() override {
            if (files_.should_fail()) return std::nullopt;
            return file_->bytes;
        }

    private:
        MemoryFiles& files_;
        std::shared_ptr<StoredFile> file_;
    };
    bool should_fail() { return calls_until_fault_ > 0 && --calls_until_fault_ == 0; }

    std::map<std::string, std::shared_ptr<StoredFile>> stored_files_;
    int calls_until_fault_ = 0;
    Fault fault_ = Fault::kNothingWritten;
};

}  // namespace pinedoor::test
