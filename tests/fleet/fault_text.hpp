// Writes entries of [[faults]] and [[troubles]] for the TOML description of a fleet; times in seconds.
#pragma once

#include <sstream>
#include <string>

namespace pinedoor::test {

inline std::string entry(const std::string& table, const std::string& kind, double from, double until,
                         const std::string& extra) {
    std::ostringstream out;
    out << "[[" << table << "]]\nkind = \"" << kind << "\"\nfrom_s = " << from << "\nuntil_s = " << until
        << '\n'
        << extra << '\n';
    return out.str();
}
inline std::string fault(const std::string& kind, double from, double until,
                         const std::string& extra = "share = 1") {
    return entry("faults", kind, from, until, extra);
}
inline std::string trouble(const std::string& kind, double from, double until,
                           const std::string& extra = "share = 1") {
    return entry("troubles", kind, from, until, extra);
}

}  // namespace pinedoor::test
