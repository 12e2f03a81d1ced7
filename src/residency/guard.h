#pragma once

#include "common/modelname.h"

#include <concepts>
#include <cstdint>

namespace Gypsumtally
{

/// The ownership checks of one engine. freeSlots() counts the slots that neither hold an adapter nor are reserved by an
/// unsettled order.
template<typename T>
concept EngineGuard = requires(const T &guard, const AdapterVersion &adapter)
{
    {
        guard.mayDispatch(adapter)
        } -> std::convertible_to<bool>;
    {
        guard.mayEvict(adapter)
        } -> std::convertible_to<bool>;
    {
        guard.isLoaded(adapter)
        } -> std::convertible_to<bool>;
    {
        guard.freeSlots()
        } -> std::convertible_to<std::uint32_t>;
};

/// Type-erased reference to an EngineGuard, so that scheduling code need not be a template. The guard must outlive it.
class GuardView
{
public:
    template<EngineGuard Guard>
    explicit GuardView(const Guard &guard)
        : m_guard(&guard)
        , m_mayDispatch([](const void *g, const AdapterVersion &a) -> bool { return as<Guard>(g).mayDispatch(a); })
        , m_mayEvict([](const void *g, const AdapterVersion &a) -> bool { return as<Guard>(g).mayEvict(a); })
        , m_isLoaded([](const void *g, const AdapterVersion &a) -> bool { return as<Guard>(g).isLoaded(a); })
        , m_freeSlots([](const void *g) -> std::uint32_t { return as<Guard>(g).freeSlots(); })
    {
    }

    bool mayDispatch(const AdapterVersion &adapter) const
    {
        return m_mayDispatch(m_guard, adapter);
    }

    bool mayEvict(const AdapterVersion &adapter) const
    {
        return m_mayEvict(m_guard, adapter);
    }

    bool isLoaded(const AdapterVersion &adapter) const
    {
        return m_isLoaded(m_guard, adapter);
    }

    std::uint32_t freeSlots() const
    {
        return m_freeSlots(m_guard);
    }

private:
    template<typename Guard>
    static const Guard &as(const void *guard)
    {
        return *static_cast<const Guard *>(guard);
    }

    const void *m_guard;
    bool (*m_mayDispatch)(const void *, const AdapterVersion &);
    bool (*m_mayEvict)(const void *, const AdapterVersion &);
    bool (*m_isLoaded)(const void *, const AdapterVersion &);
    std::uint32_t (*m_freeSlots)(const void *);
};

} // namespace Gypsumtally
