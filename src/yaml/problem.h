#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// A problem in a file, with its location and usually the allowed values.
struct Problem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 if the problem has no line.
    std::string key; ///< Dotted path, for example `callers.listen`.
    std::string message;
};

/// Returns `FILE:LINE: KEY: MESSAGE`. Thread-safe.
std::string toString(const Problem &problem);

/// A parsed value, or all problems that were found.
template<typename T>
struct Parsed {
    std::optional<T> value; ///< Set if and only if there are no problems.
    std::vector<Problem> problems;

    explicit operator bool() const
    {
        return value.has_value();
    }
};

/// Returns one line for each problem. Thread-safe.
std::string toString(const std::vector<Problem> &problems);

} // namespace Gypsumtally
