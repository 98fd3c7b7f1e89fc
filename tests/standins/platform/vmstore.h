#pragma once

#include <mutex>
#include <string>

namespace Lentillock
{

/// Stores the VM list as JSON text. Thread-safe.
class VmStore
{
public:
    VmStore();

    /// Returns false, and keeps the list, if @p body is not an object with an array "vms".
    bool set(const std::string &body);
    [[nodiscard]] std::string get() const;

private:
    mutable std::mutex mutex_;
    std::string body_;
};

}
