#include "gateway/registrydelta.h"

#include "support/table.h"

#include <algorithm>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

RegistryDelta deltaOf(const std::vector<Revision> &revisions)
{
    RegistryDelta delta{10, {}, 99, std::chrono::milliseconds{30}};
    for (const auto revision : revisions)
        delta.changes.push_back({"k", std::string(9, 'v'), revision});
    return delta;
}

struct SplitCase {
    std::vector<Revision> revisions;
    std::size_t bytes; ///< Maximum per part; each change has ten bytes.
    std::vector<std::size_t> parts; ///< Number of changes in each.
};

const SplitCase splits[] = {
    {{}, 20, {0}},
    {{11, 12}, 20, {2}},
    {{11, 12, 13}, 20, {2, 1}},
    {{11, 12, 13}, 5, {1, 1, 1}}, // Each change exceeds the maximum.
    {{11, 12, 12, 12, 13}, 20, {4, 1}}, // Changes of one revision stay together.
};

} // namespace

TABLE_TEST(RegistryDelta, splitsIntoConsecutiveParts, splits)
{
    const auto parts = split(deltaOf(row.revisions), row.bytes, 1000);
    cr_assert_eq(parts.size(), row.parts.size());
    Revision after = 10;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        cr_assert_eq(parts[i].changes.size(), row.parts[i]);
        cr_assert_eq(parts[i].after, after);
        cr_assert(std::ranges::all_of(parts[i].changes, [&](const KeyChange &change) {
            return change.revision > parts[i].after && change.revision <= parts[i].revision;
        }));
        cr_assert_eq(parts[i].age.has_value(), i + 1 == parts.size(), "the store may have passed other revisions");
        after = parts[i].revision;
    }
    cr_assert_eq(after, 99);
}

Test(RegistryDelta, dropsOversizedRevision)
{
    auto delta = deltaOf({11, 12, 13});
    delta.changes[1].value = std::string(100, 'v');
    const auto parts = split(delta, 20, 50);
    cr_assert_eq(parts.size(), 3U);
    cr_assert_eq(parts[0].revision, 11);
    cr_assert(parts[1].changes.empty());
    cr_assert_eq(parts[1].after, 12, "a node at revision 11 detects the gap");
    cr_assert_eq(parts[2].after, 12);
    cr_assert_eq(parts[2].changes.size(), 1U);
}

namespace
{

struct RelayCase {
    const char *name;
    std::string value;
    bool isUsable;
    bool isKept;
};

const RelayCase relays[] = {
    {"small", "{}", true, true},
    {"small, not usable", "[", false, true}, // Receivers ignore it by themselves.
    {"large", std::string(1000, 'v'), true, true}, // Leaves a gap, as receivers need it.
    {"large, not usable", std::string(1000, 'v'), false, false},
    {"control characters, not usable", std::string(10, '\1'), false, false}, // Six times as long in a datagram.
    {"not UTF-8, not usable", "\xff\xfe", false, false}, // Spoils the whole datagram.
    {"beyond ASCII", "\xc3\xa9", true, true},
};

} // namespace

/// Guards against nodes that call the store for each rewrite of an entry that is of no use to them.
TABLE_TEST(RegistryDelta, dropsUnusableValuesThatSpoilDatagrams, relays)
{
    RegistryDelta delta{10, {{"a", "1", 11}, {"k", row.value, 12}, {"b", {}, 13}}, 13};
    dropUnusableValues(delta, 500, [&](const KeyChange &change) { return change.key != "k" || row.isUsable; });
    cr_assert_eq(delta.changes.size(), 3U);
    cr_assert_eq(*delta.changes[0].value, std::string("1"));
    cr_assert_eq(*delta.changes[1].value, row.isKept ? row.value : std::string{}, "%s", row.name);
    cr_assert_not(delta.changes[2].value.has_value());
}
