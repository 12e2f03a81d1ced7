#include "support/knownred.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace Gypsumtally::Testing
{

namespace
{

constexpr std::string_view separator = " / ";

std::string variable(const char *name)
{
    const char *const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

std::vector<std::string> knownRedCases()
{
    const auto prefix = variable("GYPSUMTALLY_CTEST") + std::string(separator);
    std::vector<std::string> cases;
    std::istringstream lines(variable("GYPSUMTALLY_KNOWN_RED"));
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix))
            cases.push_back(line.substr(prefix.size()));
    }
    return cases;
}

std::vector<std::size_t> rowsToRun(std::string_view test, const std::vector<std::string> &names)
{
    const auto prefix = std::string(test) + std::string(separator);
    std::vector<bool> isPassedOver(names.size());
    for (const auto &knownRed : knownRedCases()) {
        if (!knownRed.starts_with(prefix))
            continue;
        const auto row = knownRed.substr(prefix.size());
        if (const auto count = std::ranges::count(names, row); count != 1)
            throw std::runtime_error("KNOWN-RED.txt: " + std::to_string(count) + " rows are named \"" + knownRed
                                     + "\", one is required");
        isPassedOver[static_cast<std::size_t>(std::ranges::find(names, row) - names.begin())] = true;
        printPassedOver(knownRed);
    }
    std::vector<std::size_t> rows;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (!isPassedOver[i])
            rows.push_back(i);
    }
    return rows;
}

std::vector<std::uint64_t> seedsToRun(std::uint64_t first, std::uint64_t count)
{
    std::vector<std::uint64_t> seeds;
    std::vector<std::string> names;
    for (std::uint64_t seed = first; seed - first < count; ++seed) {
        seeds.push_back(seed);
        names.push_back("seed " + std::to_string(seed));
    }
    for (const auto &knownRed : knownRedCases()) {
        const auto name = std::ranges::find(names, knownRed);
        if (name == names.end())
            throw std::runtime_error("KNOWN-RED.txt: this run has no case \"" + knownRed + "\"");
        std::erase(seeds, first + static_cast<std::uint64_t>(name - names.begin()));
        printPassedOver(knownRed);
    }
    return seeds;
}

void printPassedOver(std::string_view knownRedCase)
{
    std::fprintf(stderr, "known red, passed over: %.*s\n", static_cast<int>(knownRedCase.size()), knownRedCase.data());
}

} // namespace Gypsumtally::Testing
