// Entry point of the test program. One doctest listener prints the name of each test case and the time since
// the start of the program when the test case begins, and ends the program if one runs too long, so a test
// that hangs fails, and the last line of the output names it. Another one repeats what failed at the end of
// the run, because the middle of a long output may be cut.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

namespace {

constexpr unsigned kMaxTestCaseSeconds = 900;  // allows for multi-process tests under sanitizers

class Watchdog : public doctest::IReporter {
public:
    explicit Watchdog(const doctest::ContextOptions&) {}

    void test_case_start(const doctest::TestCaseData& test) override { print_name_and_set_alarm(test); }
    void test_case_reenter(const doctest::TestCaseData&) override {}
    void test_case_end(const doctest::CurrentTestCaseStats&) override { alarm(0); }

    void report_query(const doctest::QueryData&) override {}
    void test_run_start() override {}
    void test_run_end(const doctest::TestRunStats&) override {}
    void test_case_exception(const doctest::TestCaseException&) override {}
    void subcase_start(const doctest::SubcaseSignature&) override {}
    void subcase_end() override {}
    void log_assert(const doctest::AssertData&) override {}
    void log_message(const doctest::MessageData&) override {}
    void test_case_skipped(const doctest::TestCaseData&) override {}

private:
    // Writes to stderr, which is unbuffered, so that the name is printed before the alarm ends the program.
    void print_name_and_set_alarm(const doctest::TestCaseData& test) const {
        const auto elapsed = std::chrono::steady_clock::now() - program_start_;
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
        std::fprintf(stderr, "begins: %s (after %lld s)\n", test.m_name, static_cast<long long>(seconds));
        alarm(kMaxTestCaseSeconds);
    }

    const std::chrono::steady_clock::time_point program_start_ = std::chrono::steady_clock::now();
};

// Prints the failed test cases and their failed checks once more, after the last test case.
class FailureSummary : public doctest::IReporter {
public:
    explicit FailureSummary(const doctest::ContextOptions&) {}

    void test_case_start(const doctest::TestCaseData& test) override { test_case_ = test.m_name; }
    void log_assert(const doctest::AssertData& check) override {
        if (check.m_failed) add(check.m_file, check.m_line, check.m_expr);
    }
    void log_message(const doctest::MessageData& message) override {
        if (message.m_severity != doctest::assertType::is_warn)
            add(message.m_file, message.m_line, message.m_string.c_str());
    }
    void test_case_exception(const doctest::TestCaseException& thrown) override {
        add("exception", 0, thrown.error_string.c_str());
    }
    void test_run_end(const doctest::TestRunStats&) override {
        for (const auto& line : lines_) std::fprintf(stderr, "failed: %s\n", line.c_str());
    }

    void test_case_reenter(const doctest::TestCaseData&) override {}
    void test_case_end(const doctest::CurrentTestCaseStats&) override {}
    void report_query(const doctest::QueryData&) override {}
    void test_run_start() override {}
    void subcase_start(const doctest::SubcaseSignature&) override {}
    void subcase_end() override {}
    void test_case_skipped(const doctest::TestCaseData&) override {}

private:
    void add(const char* file, int line, const char* what) {
        const std::lock_guard lock(mutex_);  // checks run in threads, too
        lines_.push_back(test_case_ + "\n  " + file + ':' + std::to_string(line) + ": " + what);
    }

    std::mutex mutex_;
    std::string test_case_;
    std::vector<std::string> lines_;
};

}  // namespace

REGISTER_LISTENER("watchdog", 1, Watchdog);
REGISTER_LISTENER("failure_summary", 2, FailureSummary);
