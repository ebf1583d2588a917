// Measures the resources of one front node with constant traffic as the number of index servers grows. Uses
// the real program on real sockets; every index server is an address of 127.0.0.0/8 behind one listener.
// Prints one row per fleet: CPU, memory, descriptors, connections, bytes of server lists and share served.
#include <poll.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace {

using namespace pinedoor::test;
namespace net = pinedoor::net;
using Clock = std::chrono::steady_clock;

constexpr auto kRunTime = std::chrono::seconds(20);
constexpr auto kChangeInterval = std::chrono::milliseconds(200);
// At this interval a front node in a fleet of 300 sends about thirty attempts per second.
constexpr auto kRequestInterval = std::chrono::milliseconds(180);
constexpr int kPartsPerRequest = 6;
constexpr int kShardsPerPlace = 4;

struct Fleet {
    int servers = 0;
    int replicas = 0;
    int front_nodes = 0;

    int places() const { return servers / replicas; }
    int shards() const { return places() * kShardsPerPlace; }
};

constexpr std::uint32_t kFirstAddress = 0x7f010001;  // 127.1.0.1

std::string member(const Fleet& fleet, int server, std::uint16_t port, const char* phase) {
    return "{\"id\":\"s-" + std::to_string(server) + "\",\"host_port\":\"" +
           net::to_text({kFirstAddress + static_cast<std::uint32_t>(server), port}) +
           "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + std::to_string(server % fleet.places()) +
           ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
}

std::string whole_list(const Fleet& fleet, std::uint16_t port) {
    std::string text = "{\"revision\":1,\"complete\":true,\"members\":[";
    for (int server = 0; server < fleet.servers; ++server) {
        if (server > 0) text += ',';
        text += member(fleet, server, port, "Ready");
    }
    return text + "]}";
}

// Stand-in for all index servers; answers every part immediately.
class Servers {
public:
    Servers() : listener_(net::listen_on({0, 0})) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }
    ~Servers() {
        stop_ = true;
        thread_.join();
    }
    std::uint16_t port() const { return port_; }

private:
    void run() {
        while (!stop_) {
            std::vector<pollfd> polled{{listener_.get(), POLLIN, 0}};
            for (const auto& peer : peers_) polled.push_back({peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 20);
            for (std::size_t i = peers_.size(); i-- > 0;) {
                if (polled[i + 1].revents == 0) continue;
                bool open = serve(peers_[i]);
                while (open && peers_[i].has_buffered_data()) open = serve(peers_[i]);
                if (!open) peers_.erase(peers_.begin() + static_cast<std::ptrdiff_t>(i));
            }
            if (polled[0].revents != 0)
                peers_.emplace_back(net::Fd(::accept4(listener_.get(), nullptr, nullptr, 0)));
        }
    }
    static bool serve(Peer& peer) {
        const auto frame = peer.frame();
        if (frame == "nothing") return false;
        std::istringstream parts(frame.substr(1));
        std::string id, shard;
        for (std::size_t size = 0; frame[0] == 'S' && parts >> id >> shard >> size;) {
            parts.ignore(static_cast<std::streamsize>(size) + 1);
            peer.reply(id, "done", "v");
        }
        return true;
    }

    net::Fd listener_;
    std::uint16_t port_ = 0;
    std::vector<Peer> peers_;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// Stand-in for discovery: sends the whole server list once per call, then a change of one server every
// kChangeInterval.
class Discovery {
public:
    Discovery(const Fleet& fleet, std::uint16_t port) : fleet_(fleet), port_(port) {
        thread_ = std::thread([this] { run(); });
    }
    ~Discovery() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at() const { return listener_.at(); }
    std::size_t bytes() const { return bytes_; }

private:
    void run() {
        int revision = 1;
        while (!stop_) {
            pollfd polled{listener_.fd(), POLLIN, 0};
            if (poll(&polled, 1, 20) <= 0) continue;
            auto watch = listener_.accept();
            watch.read_to("\r\n\r\n");
            send(watch, kStream + chunk(whole_list(fleet_, port_) + "\n"));
            while (!stop_ && poll(&polled, 1, 0) == 0) {
                std::this_thread::sleep_for(kChangeInterval);
                const auto changed = member(fleet_, revision % fleet_.servers, port_, "Ready");
                send(watch, chunk("{\"revision\":" + std::to_string(++revision) +
                                  ",\"complete\":false,\"members\":[" + changed + "]}\n"));
            }
        }
    }
    void send(Peer& watch, const std::string& text) {
        bytes_ += text.size();
        watch.say(text);
    }

    const Fleet fleet_;
    const std::uint16_t port_;
    Listener listener_;
    std::atomic<std::size_t> bytes_ = 0;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// Reads a numeric field of /proc/PID/status.
long status_of(pid_t process, const std::string& name) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string field; status >> field;) {
        long value = 0;
        if (field == name + ':' && status >> value) return value;
    }
    return 0;
}

double cpu_seconds(pid_t process) {
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string field;
    for (int i = 0; i < 13; ++i) stat >> field;
    long user = 0, system = 0;
    stat >> user >> system;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void play(const Fleet& fleet) {
    Servers servers;
    Discovery discovery(fleet, servers.port());
    FrontNodeProcess program({}, discovery.at());
    program.with("\"sockets\":1024", "\"sockets\":8192")
        .with("\"places\":1", "\"places\":" + std::to_string(fleet.places()))
        .with("\"shards\":12", "\"shards\":" + std::to_string(fleet.shards()))
        .with("\"siblings\":1", "\"siblings\":" + std::to_string(fleet.front_nodes))
        .with("\"max_attempts\":1", "\"max_attempts\":2")
        .with("\"aim_ms\":2000.0,\"deadline_ms\":4000.0", "\"aim_ms\":300.0,\"deadline_ms\":900.0");
    auto client = program.start().client();
    program.wait_for_counter("list_news", 2);
    int asked = 0, served = 0;
    std::mt19937 chance(7);
    for (const auto until = Clock::now() + kRunTime; Clock::now() < until;
         std::this_thread::sleep_for(kRequestInterval)) {
        std::set<int> shards;
        while (shards.size() < kPartsPerRequest)
            shards.insert(static_cast<int>(chance() % static_cast<unsigned>(fleet.shards())));
        client.say(post("again", 't' + std::to_string(++asked), asks({shards.begin(), shards.end()}), 900));
        served += client.answer().starts_with("200 {\"whole\":true") ? 1 : 0;
    }
    const auto process = program.process();
    std::printf("%7d %8d %6.2f %9ld %11llu %11llu %10zu %7.4f\n", fleet.servers, fleet.replicas,
                cpu_seconds(process), status_of(process, "VmHWM"),
                static_cast<unsigned long long>(program.counter("descriptors_open")),
                static_cast<unsigned long long>(program.counter("connections_opened")), discovery.bytes(),
                static_cast<double>(served) / asked);
    std::fflush(stdout);
}

}  // namespace

int main() {
    std::printf("servers replicas CPU, s memory KB descriptors connections list bytes  served\n");
    for (const auto& fleet :
         {Fleet{200, 3, 300}, Fleet{800, 3, 600}, Fleet{3'200, 3, 900}, Fleet{3'200, 48, 900}})
        play(fleet);
}
