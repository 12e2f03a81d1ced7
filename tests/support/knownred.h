#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Testing
{

/// Returns the cases of this ctest that the run passes over. The environment variable GYPSUMTALLY_KNOWN_RED holds what
/// `scripts/known-red` prints, one "ctest / case" a line; GYPSUMTALLY_CTEST holds the name of this ctest.
std::vector<std::string> knownRedCases();

/// Returns the indices of the named rows of the test, "Suite/name", that are not passed over. Prints the others. Throws
/// std::runtime_error if a row that is listed for the test is not the name of exactly one row.
std::vector<std::size_t> rowsToRun(std::string_view test, const std::vector<std::string> &names);

/// Returns those of `count` successive seeds that are not passed over. Prints the others. Throws std::runtime_error if
/// a listed case is none of the seeds.
std::vector<std::uint64_t> seedsToRun(std::uint64_t first, std::uint64_t count);

/// Exit code of a program whose seeds are all passed over; ctest reports it as skipped.
constexpr int allPassedOver = 77;

/// Prints a case that is passed over.
void printPassedOver(std::string_view knownRedCase);

} // namespace Gypsumtally::Testing
