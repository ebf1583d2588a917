// Renders a run as one self-contained HTML file, with plots drawn by gnuplot.
#pragma once

#include <string>

#include "lab/read/timeline.hpp"

namespace pinedoor::lab {

// Texts shown in the report beside the data of the run.
struct ReportText {
    std::string title;
    std::string world_toml;  // empty: the world is unknown and its section is left out
    std::string subtitle;    // such as "seed 3, pinedoor: service 0.9998"
};

// Returns the HTML page. Throws stated::ConfigError if gnuplot is missing or fails.
std::string report_page(const Timeline& run, const ReportText& text);
// Writes ends.svg, latency.svg and sends.svg, and the same plots as PNG, to `folder`, which is created if
// missing. Throws stated::ConfigError if gnuplot is missing or fails.
void write_plots(const Timeline& run, const std::string& folder);

}  // namespace pinedoor::lab
