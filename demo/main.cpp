// Serves real multigets end to end on loopback: a front node with its store of record enabled, three stand-in
// index servers, a discovery stand-in, and a client that prints its requests and the answers. The front node
// is killed with SIGKILL during a request; after its restart the client repeats its requests, and the store's
// commands show the recorded outcomes.
#include <cstdio>

#include "stand_ins/counting.hpp"
#include "stand_ins/discovery.hpp"

namespace {

using namespace pinedoor::test;

struct DemoClient {
    FrontNodeProcess& program;
    int request_count = 0;

    void send_request(const std::string& op_type, const std::vector<int>& shards, const std::string& text,
                      const std::string& key = "") {
        auto client = program.client();
        const auto headers = key.empty() ? key : "Idempotency-Key: \"" + key + "\"\r\n";
        client.say(
            post(op_type, "demo-" + std::to_string(++request_count), asks(shards, text), 2'000, headers));
        std::printf("  asks %zu shards, %-5s %-8s%s%s\n", shards.size(), op_type.c_str(), text.c_str(),
                    key.empty() ? "" : "  key ", key.c_str());
        std::printf("    -> %s\n", client.answer().c_str());
    }
    void print_step(const char* text) const { std::printf("\n%s\n", text); }
};

}  // namespace

int main() {
    CountingServer servers[3];
    std::vector<Listed> listed;
    for (auto& server : servers) listed.push_back({"s-" + std::to_string(listed.size() + 1), server.at()});
    Discovery discovery(listed);
    FrontNodeProcess program(listed, discovery.at());
    program.with_settings("[store]\nkind = \"sqlite\"\nfolder = \"@/store\"\nlease_ms = 1000\n").start();
    DemoClient demo{program};
    demo.print_step(
        "A front node, three index servers and a discovery are running. `again` may run twice, `once` must "
        "not.");
    program.client();
    if (program.wait_for_counter("servers_known", 3) != 3 ||
        program.wait_for_counter("store_condition", 1) != 1) {
        std::fprintf(stderr, "demo: the front node did not start\n%s", program.log().c_str());
        return 1;
    }
    demo.send_request("again", {1, 2, 3, 4}, "read-a");
    demo.send_request("once", {5}, "booth-a", "a");
    demo.send_request("once", {5}, "booth-a", "a");
    demo.send_request("once", {6}, "booth-f", "f");
    demo.print_step(
        "The next request runs at a server that does not reply; the front node is killed while it waits.");
    auto client = program.client();
    client.say(post("once", "demo-killed", asks({7}, "booth-s"), 4'000, "Idempotency-Key: \"s\"\r\n"));
    const auto part_has_run = [&servers] {
        int count = 0;
        for (auto& server : servers) count += static_cast<int>(server.runs().count("booth-s"));
        return count > 0;
    };
    for (int tries = 0; tries < 3'000 && !part_has_run(); ++tries) usleep(1'000);
    program.kill(SIGKILL);
    std::printf("  asks 1 shard,  once  booth-s   key s\n    -> %s (the connection is closed)\n",
                client.answer().c_str());
    demo.print_step(
        "It restarts and the client repeats its requests: recorded answers are returned, and parts in doubt "
        "are not "
        "run again.");
    program.start().client();
    program.wait_for_counter("store_condition", 1);
    demo.send_request("once", {5}, "booth-a", "a");
    demo.send_request("once", {7}, "booth-s", "s");
    const auto store = [&](const std::string& command) {
        auto shown_command = command;  // without the temporary folder of this run
        for (auto at = shown_command.find(program.folder()); at != std::string::npos;
             at = shown_command.find(program.folder()))
            shown_command.replace(at, program.folder().size() + 1, "");
        auto output = program.store(command);
        for (auto at = output.find(program.folder()); at != std::string::npos;
             at = output.find(program.folder()))
            output.replace(at, program.folder().size() + 1, "");
        std::printf("\n$ pinedoor store %s\n%s", shown_command.c_str(), output.c_str());
        return output;
    };
    demo.print_step("An operator lists the records and resolves the one in doubt from the server's books.");
    const auto in_doubt_list = store("list --state in-doubt");
    std::istringstream fields(in_doubt_list);
    std::string time, state, record;
    fields >> time >> state >> record;
    store("show " + record);
    store("resolve " + record + " answered --who ann --why \"it is in the server's books\"");
    store("list");
    store("verify");
    store("backup " + program.folder() + "/copy.db");
    store("restore --add " + program.folder() + "/copy.db");
    store("export --format csv --state failed");
    store("prune --before 30d");
    store("follow --for 0.3");
    store("show");
    int max_runs = 0;
    for (auto& server : servers) {
        for (const auto& [text, runs] : server.runs())
            max_runs = text == "read-a" ? max_runs : std::max(max_runs, runs);
    }
    std::printf("\nThe index servers ran each non-retriable part at most %d time.\n", max_runs);
    program.kill(SIGTERM);
    return program.wait() == 0 && max_runs == 1 && state == "in-doubt" ? 0 : 1;
}
