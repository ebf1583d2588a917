#include "lab/live/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "stated/stated.hpp"

namespace pinedoor::lab {

Folder::Folder() {
    path = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp");
    path += "/pinedoor-lab-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) throw stated::ConfigError(path + ": cannot be made");
}

Folder::~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

void Process::start(const ProcessSpec& what, const std::string& log_file) {
    std::vector<char*> arguments{const_cast<char*>(what.program.c_str())};
    for (const auto& each : what.arguments) arguments.push_back(const_cast<char*>(each.c_str()));
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    for (const auto& each : what.environment) environment.push_back(const_cast<char*>(each.c_str()));
    environment.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0) return;
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 2);
    ::signal(SIGXFSZ, SIG_IGN);  // exceeding a file size limit fails with an error, like a full disk
    execve(what.program.c_str(), arguments.data(), environment.data());
    _exit(127);
}

void Process::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    wait();
}

void Process::signal(int what) const {
    if (pid_ > 0) ::kill(pid_, what);
}

int Process::wait() {
    int status = 0;
    rusage used{};
    if (pid_ <= 0 || wait4(std::exchange(pid_, 0), &status, 0, &used) < 0) return -1;
    cpu_seconds_ += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                    static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    return last_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool Process::ended_by_itself() {
    siginfo_t seen{};
    if (pid_ <= 0 || waitid(P_PID, static_cast<id_t>(pid_), &seen, WEXITED | WNOHANG | WNOWAIT) != 0 ||
        seen.si_pid != pid_)
        return false;
    wait();
    return true;
}

double Process::core_wait_seconds() const {
    // /proc/PID/schedstat: nanoseconds run, nanoseconds waited (Documentation/scheduler/sched-stats.rst).
    std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
    double run = 0, core_wait_seconds = 0;
    return pid_ > 0 && file >> run >> core_wait_seconds ? core_wait_seconds / 1e9 : 0;
}

int Process::wait_or_kill(int most_ms) {
    for (int ms = 0; ms < most_ms && pid_ > 0; ms += 10) {
        if (ended_by_itself()) return last_code_;
        usleep(10'000);
    }
    kill();
    return -SIGKILL;
}

bool accepts_connections(net::Endpoint at) {
    const net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    address.sin_addr.s_addr = htonl(at.address);
    return connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

void wait_until_listening(Process& process, net::Endpoint at, const std::string& name,
                          const std::string& log_file) {
    for (int tries = 0; tries < 1'000; ++tries) {
        if (accepts_connections(at)) return;
        if (process.ended_by_itself()) break;
        usleep(10'000);
    }
    std::ostringstream log;
    log << std::ifstream(log_file).rdbuf();
    throw stated::ConfigError(name + " did not come up: " + log.str().substr(0, 400));
}

void raise_descriptor_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace pinedoor::lab
