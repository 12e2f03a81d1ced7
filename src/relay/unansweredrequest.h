#pragma once

#include "common/clock.h"
#include "common/enumtable.h"

#include <cstddef>
#include <string>

namespace Gypsumtally::Relay
{

/// Why a request ended without a whole answer at its caller.
enum class UnansweredCause {
    CallerClosed, ///< The caller has closed its connection, or ended its sending direction.
    CallerReset, ///< Reading from the caller failed.
    WriteFailed, ///< Writing to the caller failed.
    BufferFull, ///< Too much of the answer was unsent, as the caller reads too slowly.
    NotRead, ///< The answer was whole, but the caller did not read it in time.
    ShortOfMemory, ///< The caller does not read the answer, and its memory is needed for others.
    Aborted, ///< The owner has broken off the answer.
    Released, ///< The owner has released the exchange before the answer had ended.
    Exit, ///< The process exits.
};

/// A request that ended without a whole answer.
struct UnansweredRequest {
    UnansweredCause cause = UnansweredCause::Released;
    std::string id; ///< Set by CallerExchange::setId(); empty if it was not.
    std::string reason; ///< Of the operating system, if there is one.
    Duration age{}; ///< Since its last byte was read; zero if its answer was whole.
    bool hasBegun = false; ///< A part of the answer was written or buffered.
    std::size_t unsentBytes = 0; ///< Bytes of the answer that the kernel has not taken.
};

} // namespace Gypsumtally::Relay

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Relay::UnansweredCause, 9> enumNames<Relay::UnansweredCause>{{
    {Relay::UnansweredCause::CallerClosed, "caller_closed"},
    {Relay::UnansweredCause::CallerReset, "caller_reset"},
    {Relay::UnansweredCause::WriteFailed, "write_failed"},
    {Relay::UnansweredCause::BufferFull, "buffer_full"},
    {Relay::UnansweredCause::NotRead, "not_read"},
    {Relay::UnansweredCause::ShortOfMemory, "short_of_memory"},
    {Relay::UnansweredCause::Aborted, "aborted"},
    {Relay::UnansweredCause::Released, "released"},
    {Relay::UnansweredCause::Exit, "exit"},
}};

} // namespace Gypsumtally
