// A run as one HTML file that needs no network, and its plots by gnuplot.
#pragma once

#include <string>

#include "lab/read/timeline.hpp"

namespace pinedoor::lab {

struct ReportText {
    std::string title;
    std::string world_toml;  // empty: the log's maker is not known
    std::string subtitle;    // such as "seed 3, pinedoor: service 0.9998"
};

// The page. Throws stated::BadStated if gnuplot is missing or fails.
std::string report_page(const Timeline& run, const ReportText& text);
// ends.svg, latency.svg, sends.svg, and the same as PNG, in a folder that is made if need be. Throws
// likewise.
void write_plots(const Timeline& run, const std::string& folder);

}  // namespace pinedoor::lab
