// Stores the result of each run of an experiment in a SQLite file, so that an interrupted experiment resumes
// where it stopped and the results can be queried with SQL. Tables (schema 1):
//
//   lab_meta(schema)                        one row
//   worlds(world, name, toml)               world: XXH3-128 of the TOML without its seed, in hex
//   runs(build, world, variant, seed, service, broken, totals, seconds, at)
//     build: XXH3-128 of the program; variant: as given on the command line; service: text, 17 digits;
//     totals: JSON as printed by `run --json`; seconds: duration of the run, text; at: time of its end, Unix
//     time in seconds. (build, world, variant, seed) identifies a run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/study/variant.hpp"
#include "store/sqlite_db.hpp"

namespace pinedoor::lab {

// Identifies a run of the current build.
struct RunName {
    std::string world;  // the id returned by add_world()
    std::string variant;
    std::uint64_t seed = 0;
};

// The results file. All members throw store::SqlError on a failure of the database, such as a full disk.
class Results {
public:
    // Opens or creates the file. Throws store::SqlError if it cannot be used, belongs to another program or
    // was written by a newer version. `build` identifies the program whose runs are stored and found. `vfs`
    // selects a SQLite VFS, for tests.
    Results(const std::string& path, std::string build, const std::string& vfs = {});

    // Adds the world if it is new and returns its id.
    std::string add_world(const std::string& name, const std::string& toml_without_seed);
    std::optional<Played> find(const RunName& run);
    void save(const RunName& run, const Played& played, double seconds);
    std::uint64_t count();

private:
    store::SqliteDb db_;
    const std::string build_;
};

std::string build_of_this_program();             // XXH3-128 of the executable file, in hex
std::string fingerprint(std::string_view text);  // XXH3-128 in hex

}  // namespace pinedoor::lab
