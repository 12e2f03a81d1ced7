#include "budget/allocator.h"

#include <malloc.h>

namespace Gypsumtally::Budget
{

namespace
{

constexpr int mappedBytes = 128 * 1024;
constexpr int keptFreeBytes = 1024 * 1024;

} // namespace

void limitKeptMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

} // namespace Gypsumtally::Budget
