// Runs one front node process on loopback beside emulated index servers, discovery, ordinary and abusive
// clients, with limits and signals as planned, and writes what was seen for the checker.
#pragma once

#include <functional>
#include <string>

#include "lab/soak/soak_plan.hpp"

namespace pinedoor::lab {

// `program`: path of pinedoor. Throws stated::ConfigError or std::system_error if the setup fails. No process
// or thread is left when it returns.
void play_soak(const SoakPlan& plan, const std::string& program,
               const std::function<void(const std::string&)>& observe);

}  // namespace pinedoor::lab
