// Entry point of the pinedoor program; its command line is in `tool/`.
#include "tool/command_line.hpp"

int main(int count, char** words) { return pinedoor::tool::run(count, words); }
