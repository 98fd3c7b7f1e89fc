#pragma once

#include "base/identifier.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// The gRPC server of an entry process. It tells the memory reclaimer which requests are active, and operators the state of the process.
class EntryService
{
public:
    struct Source {
        VmId vm;
        std::uint64_t incarnation = 0;
        std::function<std::vector<bool>(const std::vector<RequestId> &)> areActive;
        std::function<boost::json::value(const std::string &part)> state;
    };

    /// Listens on @p address, IP:PORT. Throws std::runtime_error on failure.
    EntryService(const std::string &address, Source source);
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    [[nodiscard]] int port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
