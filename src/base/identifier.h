#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lentillock
{

/// Strongly typed string identifier. Identifiers with different tags do not convert into each other.
template<typename Tag>
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

using RequestId = Identifier<struct RequestIdTag>;
using AttemptId = Identifier<struct AttemptIdTag>;
using VmId = Identifier<struct VmIdTag>;
using EndpointId = Identifier<struct EndpointIdTag>;
using WorkspaceId = Identifier<struct WorkspaceIdTag>;
using ZoneId = Identifier<struct ZoneIdTag>;
using ModelId = Identifier<struct ModelIdTag>;
using AllocationId = Identifier<struct AllocationIdTag>;

}

template<typename Tag>
struct std::hash<Lentillock::Identifier<Tag>> {
    std::size_t operator()(const Lentillock::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value());
    }
};
