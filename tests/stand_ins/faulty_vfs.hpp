// A SQLite VFS over the default one that simulates a failing disk: the n-th call that opens, reads, writes,
// syncs, truncates or maps shared memory fails, and so do all later ones until fail_at() is called again.
#pragma once

#include <sqlite3.h>

#include <cstddef>
#include <cstring>
#include <string>

namespace pinedoor::test {

enum class VfsFault { kIoError, kFull, kShortWrite };

class FaultyVfs {
public:
    FaultyVfs() : base_vfs_(sqlite3_vfs_find(nullptr)), name_("faulty") {
        vfs_ = *base_vfs_;
        vfs_.szOsFile = static_cast<int>(sizeof(File)) + base_vfs_->szOsFile;
        vfs_.zName = name_.c_str();
        vfs_.pAppData = this;
        vfs_.xOpen = [](sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out) {
            auto& self = *static_cast<FaultyVfs*>(vfs->pAppData);
            auto* wrapper = reinterpret_cast<File*>(file);
            wrapper->base.pMethods = nullptr;
            wrapper->owner = &self;
            if (self.should_fail()) return SQLITE_CANTOPEN;
            const int code = self.base_vfs_->xOpen(self.base_vfs_, path, underlying(file), flags, out);
            if (code == SQLITE_OK) wrapper->base.pMethods = methods();
            return code;
        };
        sqlite3_vfs_register(&vfs_, 0);
    }
    ~FaultyVfs() { sqlite3_vfs_unregister(&vfs_); }
    FaultyVfs(const FaultyVfs&) = delete;
    FaultyVfs& operator=(const FaultyVfs&) = delete;

    const std::string& name() const { return name_; }
    void fail_at(int call, VfsFault fault) {
        calls_until_fault_ = call;
        fault_ = fault;
        fault_reached_ = false;
    }
    bool came_by() const { return fault_reached_; }  // whether the failing call was reached

private:
    struct File {
        sqlite3_file base;
        FaultyVfs* owner;
    };
    static sqlite3_file* underlying(sqlite3_file* file) {
        return reinterpret_cast<sqlite3_file*>(reinterpret_cast<std::byte*>(file) + sizeof(File));
    }
    static FaultyVfs& owner(sqlite3_file* file) { return *reinterpret_cast<File*>(file)->owner; }
    bool should_fail() {
        if (fault_reached_) return true;
        if (calls_until_fault_ > 0 && --calls_until_fault_ == 0) fault_reached_ = true;
        return fault_reached_;
    }
    int fault_code(int default_code) const { return fault_ == VfsFault::kFull ? SQLITE_FULL : default_code; }

    static const sqlite3_io_methods* methods() {
        static const sqlite3_io_methods kMethods = [] {
            sqlite3_io_methods m{};
            m.iVersion = 2;
            m.xClose = [](sqlite3_file* f) { return underlying(f)->pMethods->xClose(underlying(f)); };
            m.xRead = [](sqlite3_file* f, void* to, int size, sqlite3_int64 at) {
                if (owner(f).should_fail()) return int{SQLITE_IOERR_READ};
                return underlying(f)->pMethods->xRead(underlying(f), to, size, at);
            };
            m.xWrite = [](sqlite3_file* f, const void* from, int size, sqlite3_int64 at) {
                if (owner(f).should_fail()) {
                    if (owner(f).fault_ == VfsFault::kShortWrite)
                        underlying(f)->pMethods->xWrite(underlying(f), from, size / 2, at);
                    return owner(f).fault_code(SQLITE_IOERR_WRITE);
                }
                return underlying(f)->pMethods->xWrite(underlying(f), from, size, at);
            };
            m.xTruncate = [](sqlite3_file* f, sqlite3_int64 size) {
                if (owner(f).should_fail()) return int{SQLITE_IOERR_TRUNCATE};
                return underlying(f)->pMethods->xTruncate(underlying(f), size);
            };
            m.xSync = [](sqlite3_file* f, int flags) {
                if (owner(f).should_fail()) return int{SQLITE_IOERR_FSYNC};
                return underlying(f)->pMethods->xSync(underlying(f), flags);
            };
            m.xFileSize = [](sqlite3_file* f, sqlite3_int64* size) {
                return underlying(f)->pMethods->xFileSize(underlying(f), size);
            };
            m.xLock = [](sqlite3_file* f, int level) {
                return underlying(f)->pMethods->xLock(underlying(f), level);
            };
            m.xUnlock = [](sqlite3_file* f, int level) {
                return underlying(f)->pMethods->xUnlock(underlying(f), level);
            };
            m.xCheckReservedLock = [](sqlite3_file* f, int* out) {
                return underlying(f)->pMethods->xCheckReservedLock(underlying(f), out);
            };
            m.xFileControl = [](sqlite3_file* f, int op, void* arg) {
                return underlying(f)->pMethods->xFileControl(underlying(f), op, arg);
            };
            m.xSectorSize = [](sqlite3_file* f) {
                return underlying(f)->pMethods->xSectorSize(underlying(f));
            };
            m.xDeviceCharacteristics = [](sqlite3_file* f) {
                return underlying(f)->pMethods->xDeviceCharacteristics(underlying(f));
            };
            m.xShmMap = [](sqlite3_file* f, int page, int size, int extend, void volatile** out) {
                if (owner(f).should_fail()) return int{SQLITE_IOERR_SHMMAP};
                return underlying(f)->pMethods->xShmMap(underlying(f), page, size, extend, out);
            };
            m.xShmLock = [](sqlite3_file* f, int at, int count, int flags) {
                return underlying(f)->pMethods->xShmLock(underlying(f), at, count, flags);
            };
            m.xShmBarrier = [](sqlite3_file* f) { underlying(f)->pMethods->xShmBarrier(underlying(f)); };
            m.xShmUnmap = [](sqlite3_file* f, int remove) {
                return underlying(f)->pMethods->xShmUnmap(underlying(f), remove);
            };
            return m;
        }();
        return &kMethods;
    }

    sqlite3_vfs* base_vfs_;
    std::string name_;
    sqlite3_vfs vfs_{};
    int calls_until_fault_ = 0;
    VfsFault fault_ = VfsFault::kIoError;
    bool fault_reached_ = false;
};

}  // namespace pinedoor::test
