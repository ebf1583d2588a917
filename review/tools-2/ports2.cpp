// Prints so many free loopback ports: ports2 COUNT. They lie below the range that the system takes for
// outgoing connections, so that a server which is started again finds its port free.
#include <random>

#include "net2.hpp"

int main(int argc, char** argv) {
    std::random_device device;
    const int count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<int> held;
    for (int tries = 0; static_cast<int>(held.size()) < count && tries < 10'000; ++tries) {
        const int port = 12'000 + static_cast<int>(device() % 18'000);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = review2::loopback(port);
        if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close(fd);
            continue;
        }
        held.push_back(fd);
        std::printf("%d ", port);
    }
    std::printf("\n");
    return static_cast<int>(held.size()) == count ? 0 : 1;
}
