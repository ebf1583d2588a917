// The folder for files that tests sync: in memory where the machine has /dev/shm, so that no test waits for a
// busy disk.
#pragma once

#include <filesystem>
#include <string>

namespace pinedoor::test {

inline std::string scratch() { return std::filesystem::is_directory("/dev/shm") ? "/dev/shm" : "/tmp"; }

}  // namespace pinedoor::test
