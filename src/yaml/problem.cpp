#include "yaml/problem.h"

namespace Gypsumtally
{

std::string toString(const Problem &problem)
{
    std::string text = problem.file;
    if (problem.line > 0)
        text += ':' + std::to_string(problem.line);
    text += ": ";
    if (!problem.key.empty())
        text += problem.key + ": ";
    return text + problem.message;
}

std::string toString(const std::vector<Problem> &problems)
{
    std::string text;
    for (const auto &problem : problems)
        text += toString(problem) + '\n';
    return text;
}

} // namespace Gypsumtally
