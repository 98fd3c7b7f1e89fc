#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lentillock
{

/// A textual identifier of one kind of thing. Identifiers of different kinds do not convert into each other.
template<typename Kind>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return value_;
    }

    [[nodiscard]] bool isEmpty() const
    {
        return value_.empty();
    }

    auto operator<=>(const Identifier &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Identifier &identifier)
    {
        return stream << identifier.value_;
    }

private:
    std::string value_;
};

using RequestId = Identifier<struct RequestIdKind>;
using AttemptId = Identifier<struct AttemptIdKind>;
using VmId = Identifier<struct VmIdKind>;
using EndpointId = Identifier<struct EndpointIdKind>;
using WorkspaceId = Identifier<struct WorkspaceIdKind>;
using ZoneId = Identifier<struct ZoneIdKind>;
using ModelId = Identifier<struct ModelIdKind>;
using AllocationId = Identifier<struct AllocationIdKind>;

}

template<typename Kind>
struct std::hash<Lentillock::Identifier<Kind>> {
    std::size_t operator()(const Lentillock::Identifier<Kind> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value());
    }
};
