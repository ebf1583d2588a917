// pinedoor as a program. All of it is in the libraries; `tool/` holds the command line.
#include "tool/command_line.hpp"

int main(int count, char** words) { return pinedoor::tool::run(count, words); }
