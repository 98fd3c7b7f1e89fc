#pragma once

#include <memory>
#include <string>

namespace Lentillock
{

/// gRPC server of a control or an entry process that answers GetState with members of a given JSON object.
class StateStandin
{
public:
    enum class Kind {
        Control,
        Entry,
    };

    /// @p state is a JSON object. An empty part returns all of it, another part the member of that name or null.
    StateStandin(Kind kind, std::string state);
    StateStandin(const StateStandin &) = delete;
    StateStandin &operator=(const StateStandin &) = delete;
    ~StateStandin();

    [[nodiscard]] std::string address() const;

private:
    struct Implementation;

    std::unique_ptr<Implementation> implementation_;
};

}
