#pragma once

#include <memory>
#include <string>

namespace Lentillock
{

/// gRPC server that stands in for a control or entry process. It answers GetState from a fixed JSON object.
class FakeStateServer
{
public:
    enum class Kind {
        Control,
        Entry,
    };

    /// @p state is a JSON object. A request without a part returns all of it; otherwise the member named like the part, or null.
    FakeStateServer(Kind kind, std::string state);
    FakeStateServer(const FakeStateServer &) = delete;
    FakeStateServer &operator=(const FakeStateServer &) = delete;
    ~FakeStateServer();

    [[nodiscard]] std::string address() const;

private:
    struct Implementation;

    std::unique_ptr<Implementation> implementation_;
};

}
