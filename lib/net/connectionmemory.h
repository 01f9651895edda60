// What the connections of an HTTP server and the requests on them take from the memory budget.
#pragma once

#include "jasminemast/call/memorybudget.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

struct MHD_Connection;

namespace jasminemast
{

/// Counts connections and the request bodies on them. Without a budget, nothing is counted and all is granted.
///
/// Invariant: a connection whose request is in work is never evicted.
class ConnectionMemory
{
public:
    using Connections = std::vector<MHD_Connection *>;

    /// \p budget outlives this object, or is null. One connection is evicted for each beyond \p maxConnections.
    ConnectionMemory(MemoryBudget *budget, std::size_t maxConnections);
    ~ConnectionMemory();
    ConnectionMemory(const ConnectionMemory &) = delete;
    ConnectionMemory &operator=(const ConnectionMemory &) = delete;

    [[nodiscard]] bool isCounting() const
    {
        return m_budget != nullptr;
    }

    [[nodiscard]] bool canAdd() const;
    /// The functions that return false refuse the memory. \p evicted gets connections that are to be closed.
    bool add(MHD_Connection *connection, Connections &evicted);
    void remove(MHD_Connection *connection);
    void recordActivity(MHD_Connection *connection);
    /// The size of the body that is being collected for the current request.
    bool setBodySize(MHD_Connection *connection, std::size_t bytes, Connections &evicted);
    /// The current request is passed on while its body arrives.
    bool beginUpload(MHD_Connection *connection, Connections &evicted);
    /// The current request is being handled.
    void beginWork(MHD_Connection *connection, Connections &evicted);
    /// The current request is over, or was refused.
    bool endWork(MHD_Connection *connection, Connections &evicted);

private:
    struct State
    {
        MemoryBudget::Holder connection;
        std::optional<MemoryBudget::Holder> body;
        std::size_t countedBodyBytes = 0;
        bool hasCarriedRequest = false;
    };

    bool resize(MemoryBudget::Holder holder, ByteCount bytes, Connections &evicted);
    std::optional<MemoryBudget::Holder> addHolder(MHD_Connection *connection, MemoryUse use, ByteCount bytes,
                                                  bool isEvictable, Connections &evicted);
    void removeHolder(std::optional<MemoryBudget::Holder> holder);
    void resolve(const MemoryBudget::Evicted &holders, Connections &evicted) const;

    MemoryBudget *m_budget;
    std::size_t m_maxConnections;
    std::map<MHD_Connection *, State> m_states;
    std::map<MemoryBudget::Holder, MHD_Connection *> m_connections; ///< of each holder in m_states
};

} // namespace jasminemast
