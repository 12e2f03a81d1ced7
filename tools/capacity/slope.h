#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::Capacity
{

/// The cost of one run at one size.
struct Sample {
    std::size_t items = 0;
    double heapBytes = 0; ///< Allocated by the run and still in use after it.
    double cpuNanoseconds = 0; ///< Processor time of the run, divided by Subject::repeats.
};

/// Does the work to be measured and returns the state whose memory is measured.
using Work = std::function<std::shared_ptr<void>()>;

/// A kind of state whose cost per item is measured. prepare(n) builds the input for n items, which is not measured, and
/// returns the work.
struct Subject {
    std::string name; ///< Name of the item, for example "known adapter".
    std::string part; ///< Package that holds the state.
    std::vector<std::size_t> sizes;
    std::function<Work(std::size_t items)> prepare;
    std::size_t repeats = 1; ///< Number of times the work processes each item; the time of a run is divided by it.
};

/// The slopes of least-squares lines through the samples.
struct Slope {
    double bytesPerItem = 0;
    double nanosecondsPerItem = 0;
    std::vector<Sample> samples;
};

/// Runs @p subject three times at each of its sizes and uses the lowest processor time of each size.
Slope measure(const Subject &subject);

/// Return the subjects of one package each.
std::vector<Subject> membershipSubjects();
std::vector<Subject> claimSubjects();
std::vector<Subject> ownershipSubjects();
std::vector<Subject> routingSubjects();

} // namespace Gypsumtally::Capacity
