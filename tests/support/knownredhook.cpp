#include "support/knownred.h"

#include <criterion/criterion.h>
#include <criterion/hooks.h>
#include <criterion/internal/ordered-set.h>
#include <criterion/internal/parameterized.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <stdexcept>

namespace
{

using namespace Gypsumtally::Testing;

criterion_test *findTest(const criterion_test_set &tests, const std::string &name)
{
    // FOREACH_SET does not compile as C++. An element follows its node.
    for (auto *node = tests.suites->first; node != nullptr; node = node->next) {
        const auto *suite = reinterpret_cast<criterion_suite_set *>(node + 1);
        for (auto *inner = suite->tests->first; inner != nullptr; inner = inner->next) {
            auto *test = reinterpret_cast<criterion_test *>(inner + 1);
            if (name == std::string(test->category) + "/" + test->name)
                return test;
        }
    }
    return nullptr;
}

/// Disables a listed test that has no rows. Lets a listed row be checked by the table's own list of parameters.
void passOver(const criterion_test_set &tests, const std::string &knownRed)
{
    const auto end = knownRed.find(" / ");
    auto *test = findTest(tests, knownRed.substr(0, end));
    if (test == nullptr)
        throw std::runtime_error("KNOWN-RED.txt: there is no test \"" + knownRed.substr(0, end) + "\"");
    const bool hasRows = test->data->kind_ == CR_TEST_PARAMETERIZED;
    if (hasRows != (end != std::string::npos))
        throw std::runtime_error(
            "KNOWN-RED.txt: \"" + knownRed
            + (hasRows ? "\" names no row of its table" : "\" names a row of a test without rows"));
    if (hasRows) {
        test->data->param_();
    } else {
        test->data->disabled = true;
        printPassedOver(knownRed);
    }
}

} // namespace

ReportHook(PRE_ALL)(criterion_test_set *tests)
{
    try {
        for (const auto &knownRed : knownRedCases())
            passOver(*tests, knownRed);
    } catch (const std::exception &failure) {
        std::fprintf(stderr, "%s\n", failure.what());
        std::_Exit(2);
    }
}
