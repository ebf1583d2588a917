#include "lab/read/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

#include "stated/stated.hpp"

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr std::size_t kMaxChartServers = 60;  // rows in the server chart, most affected servers first

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
            case '&': out += "&amp;"; break;
            case '<': out += "&lt;"; break;
            case '>': out += "&gt;"; break;
            case '"': out += "&quot;"; break;
            default: out += c;
        }
    }
    return out;
}

std::string number(double value, int digits) {
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

struct Plot {
    std::string name, title, axis;
    std::vector<std::string> columns;       // legend texts
    std::vector<std::string> styles;        // gnuplot style of each column
    std::vector<std::vector<double>> rows;  // one row per second; NaN where there is no value
    bool logarithmic = false;
};

std::vector<Plot> plots_of(const Timeline& run) {
    Plot ends{"ends",
              "Requests by how they ended, a second",
              "requests a second",
              {"answered whole in time", "in part", "late", "pushed back", "failed or lost"},
              {"filledcurves y1=0 lc rgb '#3f8f5f'", "filledcurves y1=0 lc rgb '#9ccc65'",
               "filledcurves y1=0 lc rgb '#f2b134'", "filledcurves y1=0 lc rgb '#7e8aa2'",
               "filledcurves y1=0 lc rgb '#c0392b'"},
              {},
              false};
    Plot times{"latency",
               "Time to an answer",
               "ms",
               {"median", "90th percentile", "99th percentile"},
               {"lines lw 2 lc rgb '#3f8f5f'", "lines lw 2 lc rgb '#f2b134'", "lines lw 2 lc rgb '#c0392b'"},
               {},
               true};
    Plot sends{"sends",
               "Sends for each part asked for",
               "sends a part",
               {"sends", "parts run"},
               {"lines lw 2 lc rgb '#34608f'", "lines lw 2 lc rgb '#9a5fb0'"},
               {},
               false};
    std::size_t last = 0;
    for (std::size_t i = 0; i < run.seconds().size(); ++i) last = run.seconds()[i].asked > 0 ? i + 1 : last;
    for (std::size_t i = 0; i < last; ++i) {
        const auto& s = run.seconds()[i];
        const auto d = [](std::uint64_t count) { return static_cast<double>(count); };
        const auto failures = s.ends.failed + s.ends.gone + s.ends.lost;
        // Stacked areas: values are cumulative, and the topmost area is drawn first.
        const double in_time = d(s.ends.whole) + d(s.ends.in_part) - d(s.ends.late);
        const double whole = std::max(0.0, in_time - d(s.ends.in_part));
        ends.rows.push_back({whole, in_time, in_time + d(s.ends.late),
                             in_time + d(s.ends.late + s.ends.pushed_back),
                             in_time + d(s.ends.late + s.ends.pushed_back + failures)});
        if (s.ms.count() == 0)
            times.rows.push_back({NAN, NAN, NAN});
        else
            times.rows.push_back({s.ms.quantile(0.5), s.ms.quantile(0.9), s.ms.quantile(0.99)});
        sends.rows.push_back(s.parts == 0
                                 ? std::vector<double>{NAN, NAN}
                                 : std::vector<double>{d(s.sends) / d(s.parts), d(s.runs) / d(s.parts)});
    }
    return {ends, times, sends};
}

// The gnuplot script of one plot. Faults are drawn as labelled grey bands.
std::string script_of(const Plot& plot, const Timeline& run, const std::string& terminal,
                      const std::string& output_path) {
    std::ostringstream out;
    out << "set terminal " << terminal << "\nset output '" << output_path << "'\n"
        << "set title '" << plot.title << "'\nset xlabel 'seconds'\nset ylabel '" << plot.axis << "'\n"
        << "set grid ytics lc rgb '#dddddd'\nset border 3\nset tics nomirror\nset key above horizontal\n"
        << "set xrange [0:" << std::max<std::size_t>(1, plot.rows.size()) << "]\n";
    if (plot.logarithmic)
        out << "set logscale y\n";
    else
        out << "set yrange [0:*]\n";
    int row = 0;
    for (const auto& each : run.troubles()) {
        const double from = static_cast<double>(each.from) / kSecond,
                     until = static_cast<double>(each.until) / kSecond;
        out << "set object rectangle from first " << from << ", graph 0 to first "
            << std::max(until, from + 0.05)
            << ", graph 1 fc rgb '#000000' fs transparent solid 0.07 noborder behind\n"
            << "set label '" << each.what << "' at first " << from << ", graph " << 0.97 - 0.05 * (row++ % 4)
            << " font ',9' tc rgb '#555555'\n";
    }
    out << "$data << END\n";
    for (std::size_t i = 0; i < plot.rows.size(); ++i) {
        out << i + 1;
        for (const double value : plot.rows[i]) out << ' ' << (std::isnan(value) ? "?" : number(value, 4));
        out << '\n';
    }
    out << "END\nset datafile missing '?'\nplot ";
    const bool stacked = plot.styles[0].starts_with("filled");
    for (std::size_t i = 0; i < plot.columns.size(); ++i) {
        const auto column = stacked ? plot.columns.size() - 1 - i : i;
        out << (i > 0 ? ", " : "") << "$data using 1:" << column + 2 << " with " << plot.styles[column]
            << " title '" << plot.columns[column] << "'";
    }
    out << "\nunset output\n";
    return out.str();
}

void run_gnuplot(const std::string& script, const std::string& folder) {
    const auto file = folder + "/plots.gnuplot";
    std::ofstream(file) << script;
    const int code = std::system(("gnuplot '" + file + "' > '" + folder + "/gnuplot.out' 2>&1").c_str());
    std::ostringstream output;
    output << std::ifstream(folder + "/gnuplot.out").rdbuf();
    std::filesystem::remove(folder + "/gnuplot.out");
    if (code != 0)
        throw stated::ConfigError("gnuplot failed; install Debian's package gnuplot-nox (its output: " +
                                  output.str().substr(0, 200) + ")");
    std::filesystem::remove(file);
}

struct TempFolder {
    TempFolder() {
        std::string name = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp");
        name += "/pinedoor-report-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) throw stated::ConfigError(name + ": cannot be created");
        path = name;
    }
    ~TempFolder() { std::filesystem::remove_all(path); }
    std::string path;
};

std::string svg_of(const std::string& file) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    auto svg = text.str();
    const auto begin = svg.find("<svg");
    return begin == std::string::npos ? "" : svg.substr(begin);
}

void table_of_ends(std::ostringstream& out, const std::string& heading,
                   const std::vector<std::pair<std::string, Timeline::OutcomeCounts>>& rows) {
    out << "<div class=wide><table><tr><th>" << heading
        << "<th>asked<th>whole<th>in part<th>late<th>pushed back<th>failed<th>gone<th>lost<th>not "
           "good</tr>\n";
    for (const auto& [name, e] : rows) {
        const double share =
            e.all() == 0 ? 0 : 100.0 * static_cast<double>(e.bad()) / static_cast<double>(e.all());
        out << "<tr><td>" << escaped(name) << "<td>" << e.all() << "<td>" << e.whole << "<td>" << e.in_part
            << "<td>" << e.late << "<td>" << e.pushed_back << "<td>" << e.failed << "<td>" << e.gone << "<td>"
            << e.lost << "<td>" << number(share, 2) << " %</tr>\n";
    }
    out << "</table></div>\n";
}

// SVG chart with a row for each server and a column for each second: the share of failed sends (red), the
// faults actually present (a line at the top of the row), and when front nodes set the server aside (a dot).
std::string server_chart(const Timeline& run) {
    std::vector<std::pair<std::uint64_t, int>> ranked;
    for (const auto& [id, server] : run.servers()) {
        std::uint64_t failures = server.troubles.size() * 1'000'000;
        for (const auto& [second, count] : server.bad) failures += count;
        ranked.emplace_back(failures, id);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    const auto shown = std::min(ranked.size(), kMaxChartServers);
    const auto seconds = std::max<std::size_t>(1, run.seconds().size());
    constexpr double kLeft = 60, kWidth = 900, kRow = 12;
    const double step = kWidth / static_cast<double>(seconds);
    std::ostringstream out;
    out << "<svg viewBox='0 0 " << kLeft + kWidth << ' ' << kRow * static_cast<double>(shown) + 20
        << "' role=img aria-label='servers by second'>\n";
    for (std::size_t row = 0; row < shown; ++row) {
        const auto& server = run.servers().at(ranked[row].second);
        const double y = kRow * static_cast<double>(row);
        out << "<text x=0 y=" << y + 9 << " font-size=9>" << ranked[row].second << "</text>";
        for (std::size_t s = 0; s < seconds; ++s) {
            const auto at = [&](const std::map<int, std::uint64_t>& counts) {
                const auto found = counts.find(static_cast<int>(s));
                return found == counts.end() ? 0.0 : static_cast<double>(found->second);
            };
            const double runs = at(server.runs), failures = at(server.bad);
            if (runs + failures == 0) continue;
            const double share = failures / (runs + failures);
            const int red = 200 + static_cast<int>(20 * share), other = 232 - static_cast<int>(180 * share);
            out << "<rect x=" << number(kLeft + step * static_cast<double>(s), 1) << " y=" << y + 2
                << " width=" << number(step, 1) << " height=" << kRow - 3 << " fill='rgb(" << red << ','
                << other << ',' << other - 20 << ")'/>";
            if (at(server.aside) > 0)
                out << "<circle cx=" << number(kLeft + step * (static_cast<double>(s) + 0.5), 1)
                    << " cy=" << y + 7 << " r=2 fill='#222'/>";
        }
        for (const auto& each : server.troubles) {
            const double x = kLeft + step * static_cast<double>(each.from) / kSecond;
            const double width =
                step * static_cast<double>(std::max<Time>(each.until - each.from, 1'000)) / kSecond;
            out << "<rect x=" << number(x, 1) << " y=" << y << " width=" << number(width, 1)
                << " height=2 fill='#34608f'><title>" << escaped(each.what) << "</title></rect>";
        }
        out << '\n';
    }
    out << "<text x=" << kLeft << " y=" << kRow * static_cast<double>(shown) + 14
        << " font-size=10>0 s</text><text x=" << kLeft + kWidth - 40
        << " y=" << kRow * static_cast<double>(shown) + 14 << " font-size=10>" << seconds
        << " s</text></svg>\n";
    if (shown < ranked.size())
        out << "<p>The " << shown << " most affected servers of " << ranked.size() << ".</p>\n";
    return out.str();
}

}  // namespace

void write_plots(const Timeline& run, const std::string& folder) {
    std::filesystem::create_directories(folder);
    std::string script;
    for (const auto& plot : plots_of(run)) {
        script += script_of(plot, run, "svg size 900,360 font 'sans,12' background '#ffffff'",
                            folder + '/' + plot.name + ".svg");
        script += "reset\n";
        script +=
            script_of(plot, run, "pngcairo size 1200,480 font 'sans,12'", folder + '/' + plot.name + ".png");
        script += "reset\n";
    }
    run_gnuplot(script, folder);
}

std::string report_page(const Timeline& run, const ReportText& text) {
    const TempFolder folder;
    std::string script;
    const auto plots = plots_of(run);
    for (const auto& plot : plots)
        script += script_of(plot, run, "svg size 900,360 dynamic font 'sans,12'",
                            folder.path + '/' + plot.name + ".svg") +
                  "reset\n";
    run_gnuplot(script, folder.path);
    std::ostringstream out;
    out << "<!doctype html><html lang=en><meta charset=utf-8><meta name=viewport "
           "content='width=device-width'>"
        << "<title>" << escaped(text.title)
        << "</title><style>body{font:15px/1.5 sans-serif;max-width:960px;margin:1em "
           "auto;padding:0 1em;color:#222}table{border-collapse:collapse;font-size:14px}td,th{padding:.2em "
           ".7em;text-align:right;border-bottom:1px solid "
           "#ddd;white-space:nowrap}td:first-child,th:first-child{text-align:left}"
           ".wide{overflow-x:auto}svg{width:100%;min-width:640px;height:auto}pre{overflow-x:auto;background:#"
           "f5f5f5;padding:"
           "1em;font-size:13px}"
           "h2{margin-top:2em}</style>\n<h1>"
        << escaped(text.title) << "</h1><p>" << escaped(text.subtitle) << "</p>\n";
    Timeline::OutcomeCounts sum;
    std::vector<std::pair<std::string, Timeline::OutcomeCounts>> kinds, troubles;
    for (const auto& [kind, ends] : run.ends_by_kind()) {
        const auto name = run.kinds().find(kind);
        kinds.emplace_back(name == run.kinds().end() ? "kind " + std::to_string(kind) : name->second, ends);
    }
    for (const auto& [name, ends] : run.ends_by_trouble()) troubles.emplace_back(name, ends);
    std::stable_sort(troubles.begin(), troubles.end(),
                     [](const auto& a, const auto& b) { return a.second.bad() > b.second.bad(); });
    out << "<h2>Where the loss went</h2>\n<p>Every try of a client is counted. A late answer is also counted "
           "as "
           "whole or "
           "in part.</p>\n";
    table_of_ends(out, "by client", kinds);
    out << "<br>\n";
    if (!run.ends_by_tenant().empty()) {
        table_of_ends(out, "by tenant", {run.ends_by_tenant().begin(), run.ends_by_tenant().end()});
        out << "<br>\n";
    }
    table_of_ends(out, "by what was wrong when it was asked", troubles);
    out << "<h2>Over time</h2>\n<p>Grey bands are faults. Each second shows the outcomes of the requests "
           "asked in "
           "it.</p>\n";
    for (const auto& plot : plots)
        out << "<div class=wide>" << svg_of(folder.path + '/' + plot.name + ".svg") << "</div>\n";
    out << "<h2>Servers, as they were and as they were seen</h2>\n<p>Each row is a server, each column a "
           "second. "
           "Red: sends "
           "to the server failed. Blue line: the server was actually faulty. Dot: a front "
           "node set it "
           "aside.</p>\n<div class=wide>"
        << server_chart(run) << "</div>";
    out << "<h2>The worst</h2>\n<p><code>pinedoor-lab replay</code> prints the history of each.</p>\n<div "
           "class=wide><table>"
           "<tr><th>multiget<th>end<th>after</tr>\n";
    for (const auto& each : run.worst(12))
        out << "<tr><td>" << each.multiget << "<td>" << each.end << "<td>"
            << number(static_cast<double>(each.latency) / 10, 1) << " ms</tr>\n";
    out << "</table></div>\n";
    if (!text.world_toml.empty())
        out << "<h2>The world</h2>\n<details><summary>as TOML</summary><pre>" << escaped(text.world_toml)
            << "</pre></details>\n";
    out << "</html>\n";
    return out.str();
}

}  // namespace pinedoor::lab
