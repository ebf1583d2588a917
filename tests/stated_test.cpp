#include <doctest/doctest.h>

#include "stated/launch.hpp"

namespace {

using namespace pinedoor;
using stated::LaunchConfig;
using stated::Settings;

const std::string kSettings = R"({"classes":[{"aim_ms":2500.0,"deadline_ms":7500,"effect":"guarded",
"memory_span_ms":5e3,"worth":3.0,"late_worth":0.25,"name":"one two"}],
"family_info":{"follow_up":[0],"min_share":[0.6],"need_by_class":[1],"short_worth":[0.95],"warm_keys":true},
"failure_domains":["north, far","south"],"limits":{"probes":true,"peers":false},
"load_info":{"fields":["util","latency_ms"]}})";
const std::string kSettingsAsText =
    "classes.count=1\nclasses.0.aim_ms=2500.0\nclasses.0.deadline_ms=7500.0\nclasses.0.effect=guarded\n"
    "classes.0.memory_span_ms=5000.0\nclasses.0.worth=3.0\nclasses.0.late_worth=0.25\nclasses.0.name=one "
    "two\n"
    "family_info.follow_up=0\nfamily_info.min_share=0.6\nfamily_info.need_by_class=1.0\n"
    "family_info.short_worth=0.95\nfamily_info.warm_keys=true\nfailure_domains=north_ far,south\n"
    "limits.probes=true\nlimits.peers=false\nload_info.fields=util,latency_ms\n";

std::string print(const Settings& stated) {
    std::string out;
    for (const auto& type : stated.op_types()) {
        for (const double v :
             {static_cast<double>(type.latency_budget), static_cast<double>(type.route_timeout),
              static_cast<double>(type.repeat), static_cast<double>(type.dedup_window), type.importance,
              type.late_importance, type.min_share, type.whole_share, type.partial_importance,
              static_cast<double>(type.second_step_parts)}) {
            out += std::to_string(v) + ' ';
        }
    }
    for (const auto& name : stated.op_type_names()) out += name + ' ';
    for (const auto& name : stated.zone_names()) out += name + ' ';
    const auto hints = stated.hint_config();
    for (const int v :
         {int{hints.probes}, int{hints.peers}, int{hints.warm_keys}, hints.latency_field, hints.busy_field}) {
        out += std::to_string(v) + ' ';
    }
    return out;
}

TEST_CASE("the simulator's text and JSON give the same settings") {
    const auto text = print(Settings::from_text(kSettingsAsText));
    CHECK(print(Settings::from_json(parse::parse_json(kSettings))) == text);
    CHECK(text.starts_with("25000.000000 75000.000000 1.000000 50000.000000 3.000000 0.250000 0.600000 "));
    CHECK(text.ends_with("one two north_ far south 1 0 1 1 0 "));
}

TEST_CASE("invalid settings are reported with their keys, and optional settings may be left out") {
    const std::string valid = R"({"classes":[{"aim_ms":1200.0,"deadline_ms":2500.0,"effect":"guarded",
"dedup_scope":"all","memory_span_ms":2500.0,"worth":1.0,"late_worth":0.3,"name":"n"}],
"family_info":{"follow_up":[2],"min_share":[0.4],"need_by_class":[1],"short_worth":[0.95]},
"clients":{"marks_retry":true},"discovery":"on_request",
"limits":{"max_attempts":4,"second_copies":false,"cancel":true,"connect_timeout_ms":250.0,"retry_after":false,
"max_retry_after_ms":500.0,"probes":false,"peers":false},
"rules":{"cold_from":0.15,"warm_after_ms":18000,"fall_multiple":2.5,"tip_after_ms":1500.0,
"look_back_ms":2000.0,
"extra_floor":5,"repeat_ratio":0.1,"must_ask_in_ms":1600,"stop_sending_within_ms":1000,
"grace_to_answer_ms":20.0}})";
    const auto with = [&](const std::string& old_text, const std::string& new_text) -> std::string {
        auto json = valid;
        json.replace(json.find(old_text), old_text.size(), new_text);
        try {
            const auto stated = Settings::from_json(parse::parse_json(json));
            stated.op_types();
            stated.send_config();
            stated.cold_start_config();
            stated.server_list_config();
            stated.client_config();
            stated.hint_config();
            return "budget over " + std::to_string(stated.further_send_config().look_back);
        } catch (const stated::ConfigError& error) {
            return error.what();
        }
    };
    CHECK(with("{", "{") == "budget over 20000");
    CHECK(with("\"look_back_ms\":2000.0,", "") == "budget over 0");
    CHECK(with("\"dedup_scope\":\"all\",", "") == "budget over 20000");
    CHECK(with("\"all\"", "\"zone\"") == "settings: classes.0.dedup_scope is not served: 'zone'");
    CHECK(with("\"guarded\"", "\"keyed\"") == "settings: classes.0.effect is unknown: 'keyed'");
    CHECK(with("\"memory_span_ms\":2500.0,", "") == "settings: classes.0.memory_span_ms is missing");
    CHECK(with("\"late_worth\":0.3", "\"late_worth\":3") ==
          "settings: classes.0.late_worth is out of range: 3");
    CHECK(with("\"follow_up\":[2]", "\"follow_up\":[]") ==
          "settings: family_info.follow_up has too few values");
    CHECK(with("\"min_share\":[0.4]", "\"min_share\":[\"x\"]") ==
          "settings: family_info.min_share is not a number: 'x'");
    CHECK(with("\"second_copies\":false", "\"second_copies\":0") ==
          "settings: limits.second_copies is neither true nor false: '0'");
    CHECK(with("\"max_attempts\":4", "\"max_attempts\":0") ==
          "settings: limits.max_attempts is out of range: 0");
    CHECK(with("\"max_attempts\":4", "\"max_attempts\":1.5") ==
          "settings: limits.max_attempts is not a whole number");
    CHECK(with("\"fall_multiple\":2.5", "\"fall_multiple\":\"much\"") ==
          "settings: rules.fall_multiple is not a number: 'much'");
    CHECK(with("\"must_ask_in_ms\":1600,", "") == "settings: rules.must_ask_in_ms is missing");
    CHECK(with("\"on_request\"", "\"asked\"") == "settings: discovery is unknown: 'asked'");
    CHECK(with("\"marks_retry\":true", "\"marks_retry\":1") ==
          "settings: clients.marks_retry is neither true nor false: '1'");
}

// Returns the listen address and the seed, or the error message.
std::string launch_outcome(const std::string& json, const std::string& listen = "") {
    try {
        const LaunchConfig launch(parse::parse_json(json), [&](const char* name) {
            return std::string(name) == "ROUTER_LISTEN" ? listen.c_str() : nullptr;
        });
        return net::to_text(launch.listen()) + ' ' + std::to_string(launch.seed());
    } catch (const stated::ConfigError& error) {
        return error.what();
    }
}

TEST_CASE("configuration errors name their keys, and environment variables override the file") {
    const std::string valid =
        R"({"name":"n3","listen":"127.0.0.4:7070","discovery":"127.2.0.1:8500","seed":"1f",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{},"settings":{},"more":1})";
    const auto with = [&](const std::string& old_text, const std::string& new_text) {
        auto json = valid;
        return launch_outcome(json.replace(json.find(old_text), old_text.size(), new_text));
    };
    CHECK(launch_outcome(valid) == "127.0.0.4:7070 31");
    CHECK(launch_outcome(valid, "127.0.0.9:80") == "127.0.0.9:80 31");
    CHECK(launch_outcome(valid, "nowhere") == "configuration: listen is no address and port: 'nowhere'");
    CHECK(with("\"name\"", "\"nome\"") == "configuration: name is missing");
    CHECK(with("\"n3\"", "3") == "configuration: name is no text");
    CHECK(with("127.2.0.1:8500", "127.2.0.1") ==
          "configuration: discovery is no address and port: '127.2.0.1'");
    CHECK(with("\"1f\"", "\"xyz\"") == "configuration: seed is not 1 to 16 hex digits");
    CHECK(with("\"sockets\":1024", "\"sockets\":8") == "configuration: limits.sockets is out of range: 8");
    CHECK(with("\"sockets\":1024", "\"sockets\":\"many\"") ==
          "configuration: limits.sockets is not a number");
    CHECK(with("\"settings\":{}", "\"settings\":[]") == "settings: no object");
    CHECK(with("\"known\":{},", "") == "configuration: known is missing");
    CHECK_THROWS_WITH(LaunchConfig::read([](const char*) -> const char* { return nullptr; }),
                      "ROUTER_CONFIG is not set");
    CHECK_THROWS_WITH(LaunchConfig::read([](const char*) { return "/nowhere"; }),
                      "ROUTER_CONFIG: cannot read '/nowhere'");
}

}  // namespace
