// The few things that the spill does with files, behind an interface, so that tests can make each of them
// fail. Nothing here throws; what blocks is called from a thread of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pinedoor::store {

class File {
public:
    virtual ~File() = default;
    virtual bool append(std::string_view bytes) = 0;  // false: none, some or all may be there
    virtual bool sync() = 0;
    virtual bool truncate(std::uint64_t size) = 0;
    virtual std::optional<std::string> read_all() = 0;  // whole
};

class Files {
public:
    virtual ~Files() = default;
    virtual std::unique_ptr<File> open(
        const std::string& path) = 0;  // made if it is not there; null: it cannot be
    virtual std::optional<std::vector<std::string>> list(const std::string& folder) = 0;  // sorted names
    virtual bool remove(const std::string& path) = 0;
    virtual bool rename(const std::string& from, const std::string& to) = 0;
    virtual bool sync_folder(const std::string& folder) = 0;
};

class RealFiles : public Files {
public:
    std::unique_ptr<File> open(const std::string& path) override;
    std::optional<std::vector<std::string>> list(const std::string& folder) override;
    bool remove(const std::string& path) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool sync_folder(const std::string& folder) override;
};

// Replaces the file's text in one step: what is there after a crash is the old text or the new.
bool replace_file(Files& files, const std::string& folder, const std::string& name, std::string_view text);

}  // namespace pinedoor::store
