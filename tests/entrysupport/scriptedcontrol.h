#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentillock::rpc
{
class ClaimRequest;
class ClaimReply;
}

namespace Lentillock
{

/// A control process that sends a fixed view and answers claims by a function.
class ScriptedControl
{
public:
    struct View {
        std::uint64_t configVersion = 1;
        std::map<std::string, std::string> sections; ///< Text by section name.
        std::vector<std::string> liveEndpoints;
    };

    explicit ScriptedControl(View view, int port = 0);
    ~ScriptedControl();
    ScriptedControl(const ScriptedControl &) = delete;
    ScriptedControl &operator=(const ScriptedControl &) = delete;

    [[nodiscard]] int port() const;
    [[nodiscard]] std::string address() const;

    void setView(View view);

    /// Keeps streams open but sends nothing and answers no call, like a frozen process.
    void setFrozen(bool frozen);

    /// Answers claims; the default is "won".
    void setClaimHandler(std::function<void(const lentillock::rpc::ClaimRequest &, lentillock::rpc::ClaimReply &)> handler);

    /// Names and arguments of the calls received so far, for example "Claim KEY".
    [[nodiscard]] std::vector<std::string> calls() const;

    /// Streams that were opened so far.
    [[nodiscard]] int streams() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// Sections of a small document: workspace "kpecu" with token "secret-a" may use model "doc-reader" and service "/ledger"; workspace "lakeshore" with
/// token "secret-b" may use model "gauge-models". @p engine and @p service are addresses; without a service there is none.
std::map<std::string, std::string> smallDocument(const std::string &engine, const std::string &service = {});

}
