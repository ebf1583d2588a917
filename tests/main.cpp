// Entry point of the test program. A doctest listener prints the name of each test case at its start and ends
// the program if one runs too long, so a test that hangs fails, and the last line of the output names it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>

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
    static void print_name_and_set_alarm(const doctest::TestCaseData& test) {
        std::fprintf(stderr, "begins: %s\n", test.m_name);
        alarm(kMaxTestCaseSeconds);
    }
};

}  // namespace

REGISTER_LISTENER("watchdog", 1, Watchdog);
