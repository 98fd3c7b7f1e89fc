#pragma once

#include <mutex>
#include <string>

namespace Lentillock
{

/// The VM list as last set. Thread-safe.
class VmStore
{
public:
    VmStore();

    /// Returns false when @p body is not an object with an array "vms".
    bool set(const std::string &body);
    [[nodiscard]] std::string get() const;

private:
    mutable std::mutex mutex_;
    std::string body_;
};

}
