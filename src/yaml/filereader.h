#pragma once

#include "yaml/problem.h"

#include <fstream>
#include <sstream>
#include <string>

namespace Gypsumtally
{

/// Reads the whole @p file and passes its text and name to @p parse, which returns a Parsed. Returns a problem if the
/// file can't be opened. Thread-safe.
template<typename Parse>
auto parseFile(const std::string &file, Parse &&parse) -> decltype(parse(std::string{}, file))
{
    std::ifstream stream(file);
    if (!stream)
        return {std::nullopt, {{file, 0, {}, "cannot be read"}}};
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), file);
}

} // namespace Gypsumtally
