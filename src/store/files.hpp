// The file operations that the spill needs, behind an interface so that tests can make each of them fail.
// Nothing here throws. The calls block, so they belong on a worker thread.
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
    // Returns false on failure; nothing, a part or all of the bytes may be in the file then.
    virtual bool append(std::string_view bytes) = 0;
    virtual bool sync() = 0;
    virtual bool truncate(std::uint64_t size) = 0;
    virtual std::optional<std::string> read_all() = 0;  // the whole file
};

class Files {
public:
    virtual ~Files() = default;
    // Creates the file if it is missing; returns null on failure.
    virtual std::unique_ptr<File> open(const std::string& path) = 0;
    virtual std::optional<std::vector<std::string>> list(const std::string& folder) = 0;  // sorted file names
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

// Replaces the file's content atomically: after a crash it has the old content or the new.
bool replace_file(Files& files, const std::string& folder, const std::string& name, std::string_view text);

}  // namespace pinedoor::store
