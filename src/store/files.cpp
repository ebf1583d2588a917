#include "store/files.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "net/socket.hpp"

namespace pinedoor::store {
namespace {

class RealFile : public File {
public:
    explicit RealFile(net::Fd fd) : fd_(std::move(fd)) {}

    bool append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const auto count = ::write(fd_.get(), bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    bool sync() override { return fdatasync(fd_.get()) == 0; }
    bool truncate(std::uint64_t size) override { return ftruncate(fd_.get(), static_cast<off_t>(size)) == 0; }
    std::optional<std::string> read_all() override {
        const auto size = lseek(fd_.get(), 0, SEEK_END);
        if (size < 0) return std::nullopt;
        std::string bytes(static_cast<std::size_t>(size), '\0');
        for (std::size_t bytes_read = 0; bytes_read < bytes.size();) {
            const auto count = pread(fd_.get(), bytes.data() + bytes_read, bytes.size() - bytes_read,
                                     static_cast<off_t>(bytes_read));
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) return std::nullopt;
            bytes_read += static_cast<std::size_t>(count);
        }
        return bytes;
    }

private:
    net::Fd fd_;
};

}  // namespace

std::unique_ptr<File> RealFiles::open(const std::string& path) {
    net::Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    return fd ? std::make_unique<RealFile>(std::move(fd)) : nullptr;
}

std::optional<std::vector<std::string>> RealFiles::list(const std::string& folder) {
    std::error_code error;
    std::vector<std::string> names;
    std::filesystem::directory_iterator iterator(folder, error);
    for (; !error && iterator != std::filesystem::directory_iterator(); iterator.increment(error))
        names.push_back(iterator->path().filename().string());
    if (error) return std::nullopt;
    std::sort(names.begin(), names.end());
    return names;
}

bool RealFiles::remove(const std::string& path) { return ::unlink(path.c_str()) == 0; }

bool RealFiles::rename(const std::string& from, const std::string& to) {
    return ::rename(from.c_str(), to.c_str()) == 0;
}

bool RealFiles::sync_folder(const std::string& folder) {
    const net::Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return fd && fsync(fd.get()) == 0;
}

bool replace_file(Files& files, const std::string& folder, const std::string& name, std::string_view text) {
    const auto path = folder + '/' + name;
    const auto file = files.open(path + ".new");
    return file && file->truncate(0) && file->append(text) && file->sync() &&
           files.rename(path + ".new", path) && files.sync_folder(folder);
}

}  // namespace pinedoor::store
