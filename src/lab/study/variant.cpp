#include "lab/study/variant.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/sim/simulation.hpp"
#include "stated/stated.hpp"

namespace pinedoor::lab {
namespace {

// Runs a program with its arguments, without a shell, and returns its standard output.
std::string output_of(const std::vector<std::string>& arguments) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw stated::ConfigError("cannot create a pipe to " + arguments[0]);
    std::vector<char*> argv;
    for (const auto& item : arguments) argv.push_back(const_cast<char*>(item.c_str()));
    argv.push_back(nullptr);
    // Other threads may hold the heap lock, so the child must not allocate before execv.
    const pid_t child = fork();
    if (child == 0) {
        dup2(pipe_ends[1], 1);
        close(pipe_ends[0]);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(pipe_ends[1]);
    std::string text;
    char bytes[4096];
    for (ssize_t count = 0; (count = read(pipe_ends[0], bytes, sizeof bytes)) > 0;)
        text.append(bytes, static_cast<std::size_t>(count));
    close(pipe_ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    if (!WIFEXITED(status) || (WEXITSTATUS(status) != 0 && WEXITSTATUS(status) != 3))
        throw stated::ConfigError(arguments[0] + " failed to run the world; try `" + arguments[0] +
                                  " run WORLD --json`");
    return text;
}

}  // namespace

Variant Variant::read(const std::string& text) {
    Variant variant;
    variant.name = text;
    std::string rest = text;
    const auto next_item = [&rest] {
        const auto end = rest.find(',');
        const auto item = rest.substr(0, end);
        rest.erase(0, end == std::string::npos ? rest.size() : end + 1);
        return item;
    };
    const auto decider = next_item();
    if (decider.starts_with("build:")) {
        variant.program = decider.substr(6);
        if (access(variant.program.c_str(), X_OK) != 0)
            throw stated::ConfigError("variant " + text + ": '" + variant.program +
                                      "' is not an executable file");
    } else if (const auto policy = policy_named(decider)) {
        variant.policy = *policy;
    } else {
        throw stated::ConfigError("variant " + text + ": '" + decider +
                                  "' is not a policy; see `pinedoor-lab run --help`");
    }
    while (!rest.empty()) {
        auto item = next_item();
        // Commas within brackets belong to the value.
        while (item.find('[') != std::string::npos && item.find(']') == std::string::npos && !rest.empty())
            item += ',' + next_item();
        const auto equal = item.find('=');
        if (equal == std::string::npos || equal == 0)
            throw stated::ConfigError("variant " + text + ": '" + item +
                                      "' is not a change; write key=value");
        variant.changes.emplace_back(item.substr(0, equal), item.substr(equal + 1));
    }
    return variant;
}

Played play(const std::string& toml, const std::string& path, const Variant& variant, std::uint64_t seed) {
    auto world = World::from_text(toml, path, variant.changes);
    world.seed = seed;
    if (variant.program.empty()) {
        const auto totals = Simulation(world, variant.policy).run();
        return {totals.service(), totals.broken(), totals.to_json()};
    }
    std::string world_path = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp");
    world_path += "/pinedoor-lab-XXXXXX";
    const int fd = mkstemp(world_path.data());
    if (fd < 0) throw stated::ConfigError(world_path + ": cannot be written");
    close(fd);
    std::ofstream(world_path) << world.to_toml();
    const auto text = output_of({variant.program, "run", world_path, "--json"});
    std::remove(world_path.c_str());
    try {
        const auto json = nlohmann::json::parse(text);
        return {json.at("service").get<double>(), json.at("broken").get<std::uint64_t>(), text};
    } catch (const nlohmann::json::exception&) {
        throw stated::ConfigError(variant.program + " printed no valid JSON totals");
    }
}

}  // namespace pinedoor::lab
