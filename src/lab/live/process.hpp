// Child processes of the laboratory, and a temporary folder for their configuration and logs.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/socket.hpp"

namespace pinedoor::lab {

// A temporary folder under TMPDIR or /tmp; the destructor removes it with its contents. The constructor
// throws stated::ConfigError.
struct Folder {
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string path;
};

// What to run.
struct ProcessSpec {
    std::string program;
    std::vector<std::string> arguments;    // after the program's name
    std::vector<std::string> environment;  // the complete environment, as "NAME=value"
};

// A child process; the destructor kills it.
class Process {
public:
    Process() = default;
    ~Process() { kill(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start(const ProcessSpec& what, const std::string& log_file);
    void kill();
    void signal(int what) const;
    bool runs() const { return pid_ > 0; }  // started, and its end was not observed
    pid_t pid() const { return pid_; }
    int last_code() const { return last_code_; }
    int wait();  // returns the exit code, or the negated signal number
    bool ended_by_itself();
    int wait_or_kill(int most_ms);  // like wait(), but kills the process after the timeout
    double cpu_seconds() const { return cpu_seconds_; }  // CPU seconds of the ended runs
    double core_wait_seconds() const;  // time since its start spent runnable without a core; 0 once it ended

private:
    pid_t pid_ = 0;
    int last_code_ = 0;
    double cpu_seconds_ = 0;
};

bool accepts_connections(net::Endpoint at);
// Waits until connections are accepted at the address. Throws stated::ConfigError with the start of the log
// if the process ends first or ten seconds pass.
void wait_until_listening(Process& process, net::Endpoint at, const std::string& name,
                          const std::string& log_file);
void raise_descriptor_limit();  // raises the soft limit of open files to the hard limit

}  // namespace pinedoor::lab
