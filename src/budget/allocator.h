#pragma once

namespace Gypsumtally::Budget
{

/// Makes the allocator return large blocks to the system when they are freed. By default it keeps blocks of the size of
/// a large body once one was freed, so that the process stays as large as it has ever been. Call it before threads are
/// started.
void limitKeptMemory();

} // namespace Gypsumtally::Budget
