#include "lab/live/held_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <system_error>

namespace pinedoor::lab {

HeldPort::HeldPort() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), at_{0x7f000001, 0} {
    const int yes = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(at_.address);
    socklen_t size = sizeof address;
    if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::system_error(errno, std::generic_category(), "hold a port of 127.0.0.1");
    at_.port = ntohs(address.sin_port);
}

}  // namespace pinedoor::lab
