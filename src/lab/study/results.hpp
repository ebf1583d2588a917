// Where experiments keep what came of each run: a SQLite file, so that a run that was broken off goes on
// where it stopped, and others can ask it with SQL. Its tables (schema 1):
//
//   lab_meta(schema)                        one row
//   worlds(world, name, toml)               world: XXH3-128 of the TOML without its seed, in hex
//   runs(build, world, variant, seed, service, broken, totals, seconds, at)
//     build: XXH3-128 of the program; variant: as it was written; service: text, 17 digits; totals: JSON as
//     `run --json` prints it; seconds: what the run took, text; at: when it ended, Unix time in seconds.
//     (build, world, variant, seed) names a run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/study/variant.hpp"
#include "store/sqlite_db.hpp"

namespace pinedoor::lab {

struct RunName {
    std::string world;  // the id that add_world() gave
    std::string variant;
    std::uint64_t seed = 0;
};

class Results {
public:
    // Throw store::SqlError: the file cannot be used, or is another program's or a newer one's; the disk is
    // full. `build` names the program whose runs these are. `vfs`: for tests.
    Results(const std::string& path, std::string build, const std::string& vfs = {});

    std::string add_world(const std::string& name, const std::string& toml_without_seed);
    std::optional<Played> find(const RunName& run);
    void save(const RunName& run, const Played& played, double seconds);
    std::uint64_t count();

private:
    store::SqliteDb db_;
    const std::string build_;
};

std::string build_of_this_program();             // XXH3-128 of its file, in hex
std::string fingerprint(std::string_view text);  // XXH3-128 in hex

}  // namespace pinedoor::lab
