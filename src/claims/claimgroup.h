#pragma once

#include "claims/claimpolicy.h"
#include "claims/claimrecord.h"
#include "claims/claimwindow.h"
#include "common/keyvalue.h"

#include <string>
#include <vector>

namespace Gypsumtally
{

/// The kind of a write to one claim.
enum class ClaimWriteKind {
    Create, ///< Creates the claim if there is none.
    Record, ///< Writes the outcome of the claimed call.
    Release, ///< Deletes the claim of a call that did not run.
};

/// A write to one claim. A transaction contains several.
struct ClaimWrite {
    ClaimWriteKind kind = ClaimWriteKind::Create;
    std::string name; ///< The result of claimName().
    std::string key; ///< Key of the claim; empty on Create.
    Revision revision = 0; ///< Last observed revision of the claim; 0 on Create.
    ClaimRecord record; ///< The record to write; unused on Release.
};

/// The result of one write of a group.
struct ClaimWriteResult {
    enum class Status {
        Done, ///< It took effect, now or by an earlier attempt whose reply was lost.
        Lost, ///< Another value exists, see `present`, or the claim no longer exists.
        Retry, ///< Its own conditions held, but another write made the transaction fail: must be sent again.
    };

    Status status = Status::Retry;
    std::string key; ///< On Done: key of the claim.
    Revision revision = 0; ///< On Done: revision of the claim.
    std::string present; ///< On Lost: the existing value, or empty.
};

/// Writes to several claims in one transaction. Immutable. Not thread-safe.
class ClaimGroup
{
public:
    /// Preconditions: @p window is known; @p writes contains at most one write per claim.
    ClaimGroup(const ClaimWindow &window, std::vector<ClaimWrite> writes, const ClaimSafeguards &safeguards);

    const std::vector<ClaimWrite> &writes() const
    {
        return m_writes;
    }

    /// Returns the transaction that applies either all writes or none.
    KeyTransaction transaction() const;

    /// Returns the result of the write at @p index. Precondition: the outcome of @p reply is Applied or Conflict.
    ClaimWriteResult result(std::size_t index, const KeyReply &reply) const;

private:
    void addCreate(const ClaimWrite &write, KeyTransaction &transaction) const;
    ClaimWriteResult createResult(const ClaimWrite &write, const KeyReply &conflict) const;

    ClaimWindow m_window;
    std::vector<ClaimWrite> m_writes;
    ClaimSafeguards m_safeguards;
};

} // namespace Gypsumtally
