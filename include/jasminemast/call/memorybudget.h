// Bounds the memory that a process holds for what callers and peers send; docs/design/memory.md.
#pragma once

#include "jasminemast/support/bytecount.h"
#include "jasminemast/support/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jasminemast
{

/// What memory is held for. Each use has a share of its own.
enum class MemoryUse : std::uint8_t {
    Connections, ///< of callers
    Requests, ///< collected whole
    Uploads, ///< passed on while they arrive
};

struct MemoryLimits
{
    ByteCount connections;
    ByteCount requests;
    ByteCount uploads;

    /// The limits for a process that may use \p machine bytes of memory in all.
    static MemoryLimits forMachine(ByteCount machine);

    [[nodiscard]] ByteCount of(MemoryUse use) const;
    auto operator<=>(const MemoryLimits &) const = default;
};

/// Counts the memory of holders, and decides who has to give it back when a share is used up: evictable holders, the
/// one first that has been inactive longest.
///
/// Invariants: no use exceeds its limit, except after a limit was lowered; a holder that is not evictable is never
/// evicted; memory is refused only if evicting all others would not suffice, and then nobody is evicted.
class MemoryBudget
{
public:
    using Holder = StrongId<struct MemoryHolderTag, std::uint64_t>;
    using Evicted = std::vector<Holder>;

    explicit MemoryBudget(const MemoryLimits &limits);

    /// Applies from now on; what is held already stays.
    void setLimits(const MemoryLimits &limits)
    {
        m_limits = limits;
    }

    struct Addition
    {
        std::optional<Holder> holder; ///< unset: refused
        Evicted evicted; ///< these are removed
    };
    [[nodiscard]] bool canAdd(MemoryUse use, ByteCount bytes) const
    {
        return used(use) - m_evictableBytes.at(index(use)) + bytes <= m_limits.of(use);
    }
    Addition add(MemoryUse use, ByteCount bytes, bool isEvictable);

    struct Resizing
    {
        bool isGranted = false; ///< otherwise the holder keeps what it had
        Evicted evicted; ///< these are removed
    };
    /// Changes what \p holder has; counts as activity. A removed holder is granted nothing.
    Resizing resize(Holder holder, ByteCount bytes);

    /// Removes the evictable holder of \p use that has been inactive longest; unset: there is none.
    std::optional<Holder> evictOne(MemoryUse use);

    /// Decides whether the holder may be evicted; counts as activity.
    void setEvictable(Holder holder, bool isEvictable);
    void recordActivity(Holder holder);
    /// Has no effect on a removed holder.
    void remove(Holder holder);

    [[nodiscard]] ByteCount used(MemoryUse use) const
    {
        return m_used.at(index(use));
    }
    [[nodiscard]] ByteCount limit(MemoryUse use) const
    {
        return m_limits.of(use);
    }
    [[nodiscard]] std::size_t holders() const
    {
        return m_holders.size();
    }

private:
    using Sequence = std::uint64_t;
    static constexpr std::size_t Uses = 3;

    struct Entry
    {
        MemoryUse use;
        ByteCount bytes;
        std::optional<Sequence> activity; ///< unset: not evictable
    };

    static std::size_t index(MemoryUse use)
    {
        return static_cast<std::size_t>(use);
    }
    /// Makes room for \p bytes more; unset if that is not possible.
    std::optional<Evicted> makeRoom(MemoryUse use, ByteCount bytes, std::optional<Holder> except);
    void stopEvictable(Entry &entry);
    void startEvictable(Holder holder, Entry &entry);

    MemoryLimits m_limits;
    std::array<ByteCount, Uses> m_used {};
    std::map<Holder, Entry> m_holders;
    /// Evictable holders, those first that have been inactive longest; invariant: one entry for each of them.
    std::array<std::map<Sequence, Holder>, Uses> m_evictable;
    std::array<ByteCount, Uses> m_evictableBytes {};
    std::uint64_t m_lastHolder = 0;
    Sequence m_lastActivity = 0;
};

/// A holder for as long as it exists.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    MemoryReservation(MemoryBudget &budget, MemoryBudget::Holder holder)
        : m_budget(&budget)
        , m_holder(holder)
    {
    }
    MemoryReservation(MemoryReservation &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_holder(other.m_holder)
    {
    }
    MemoryReservation &operator=(MemoryReservation &&other) noexcept
    {
        if (this != &other) {
            release();
            m_budget = std::exchange(other.m_budget, nullptr);
            m_holder = other.m_holder;
        }
        return *this;
    }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;
    ~MemoryReservation()
    {
        release();
    }

    void release()
    {
        if (auto *budget = std::exchange(m_budget, nullptr)) {
            budget->remove(m_holder);
        }
    }
    [[nodiscard]] bool isHeld() const
    {
        return m_budget != nullptr;
    }
    [[nodiscard]] MemoryBudget::Holder holder() const
    {
        return m_holder;
    }

private:
    MemoryBudget *m_budget = nullptr;
    MemoryBudget::Holder m_holder;
};

} // namespace jasminemast
