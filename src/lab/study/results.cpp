#include "lab/study/results.hpp"

#include <xxhash.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace pinedoor::lab {
namespace {

constexpr std::int64_t kSchema = 1;

std::string to_text(double value) {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.17g", value);
    return text.data();
}

}  // namespace

std::string fingerprint(std::string_view text) {
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 40> out{};
    std::snprintf(out.data(), out.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return out.data();
}

std::string build_of_this_program() {
    std::ostringstream bytes;
    bytes << std::ifstream("/proc/self/exe", std::ios::binary).rdbuf();
    return fingerprint(bytes.str());
}

Results::Results(const std::string& path, std::string build, const std::string& vfs)
    : db_(path, vfs), build_(std::move(build)) {
    store::Transaction transaction(db_);
    db_.run("CREATE TABLE IF NOT EXISTS lab_meta(schema INTEGER NOT NULL)");
    const auto schema = db_.run("SELECT schema FROM lab_meta");
    if (schema.empty()) {
        const auto tables = db_.run("SELECT count(*) FROM sqlite_master WHERE type = 'table'");
        if (store::number_of(tables[0][0]) > 1)
            throw store::SqlError(store::SqlError::Kind::kSchema,
                                  path + " is a database of another program; name another file");
        db_.run("INSERT INTO lab_meta(schema) VALUES ($1)", {kSchema});
        db_.run("CREATE TABLE worlds(world TEXT PRIMARY KEY, name TEXT NOT NULL, toml TEXT NOT NULL)");
        db_.run(
            "CREATE TABLE runs(build TEXT NOT NULL, world TEXT NOT NULL REFERENCES worlds, variant TEXT NOT "
            "NULL, "
            "seed INTEGER NOT NULL, service TEXT NOT NULL, broken INTEGER NOT NULL, totals TEXT NOT NULL, "
            "seconds TEXT NOT NULL, at INTEGER NOT NULL, PRIMARY KEY (build, world, variant, seed))");
    } else if (store::number_of(schema[0][0]) != kSchema) {
        throw store::SqlError(store::SqlError::Kind::kSchema,
                              path + " was written by a newer pinedoor-lab; use that version");
    }
    transaction.commit();
}

std::string Results::add_world(const std::string& name, const std::string& toml) {
    const auto id = fingerprint(toml);
    db_.run("INSERT INTO worlds(world, name, toml) VALUES ($1, $2, $3) ON CONFLICT DO NOTHING",
            {id, name, toml});
    return id;
}

std::optional<Played> Results::find(const RunName& run) {
    const auto rows = db_.run(
        "SELECT service, broken, totals FROM runs WHERE build = $1 AND world = $2 AND variant = $3 AND seed "
        "= $4",
        {build_, run.world, run.variant, static_cast<std::int64_t>(run.seed)});
    if (rows.empty()) return std::nullopt;
    return Played{std::strtod(store::text_of(rows[0][0]).c_str(), nullptr),
                  static_cast<std::uint64_t>(store::number_of(rows[0][1])), store::text_of(rows[0][2])};
}

void Results::save(const RunName& run, const Played& played, double seconds) {
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    db_.run(
        "INSERT INTO runs(build, world, variant, seed, service, broken, totals, seconds, at) "
        "VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9) ON CONFLICT DO NOTHING",
        {build_, run.world, run.variant, static_cast<std::int64_t>(run.seed), to_text(played.service),
         static_cast<std::int64_t>(played.broken), played.json, to_text(seconds),
         static_cast<std::int64_t>(now)});
}

std::uint64_t Results::count() {
    return static_cast<std::uint64_t>(store::number_of(db_.run("SELECT count(*) FROM runs")[0][0]));
}

}  // namespace pinedoor::lab
