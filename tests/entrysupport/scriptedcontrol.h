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

/// A fake control process that sends a given view and responds to claims with a function.
class ScriptedControl
{
public:
    struct View {
        std::uint64_t configVersion = 1;
        std::map<std::string, std::string> sections; ///< Section texts by name.
        std::vector<std::string> liveEndpoints;
    };

    explicit ScriptedControl(View view, int port = 0);
    ~ScriptedControl();
    ScriptedControl(const ScriptedControl &) = delete;
    ScriptedControl &operator=(const ScriptedControl &) = delete;

    [[nodiscard]] int port() const;
    [[nodiscard]] std::string address() const;

    void setView(View view);

    /// While frozen, streams stay open but no updates are sent, and claims, releases and outcomes get no reply, as with a suspended process.
    void setFrozen(bool frozen);

    /// Sets the function that fills in claim replies; by default each claim is won.
    void setClaimHandler(std::function<void(const lentillock::rpc::ClaimRequest &, lentillock::rpc::ClaimReply &)> handler);

    /// Names and arguments of the received calls, for example "Claim KEY".
    [[nodiscard]] std::vector<std::string> calls() const;

    /// Number of streams opened so far.
    [[nodiscard]] int streams() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// Sections of a small document: workspace "kpecu" with token "secret-a" may use model "doc-reader" and service "/ledger"; workspace "lakeshore" with
/// token "secret-b" may use model "gauge-models". @p engine and @p service are addresses; if @p service is empty, the document has no service.
std::map<std::string, std::string> smallDocument(const std::string &engine, const std::string &service = {});

}
