#pragma once

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/optional.hpp>
#include <boost/spirit/home/x3/support/ast/variant.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// Time since the start of the scenario, or a duration.
using Seconds = double;

struct EndpointDeclaration {
    std::string id;
    std::string zone;
    std::uint64_t memory = 0; ///< 0 for a plain service.
};

struct RequestStep {
    std::string id;
    std::string workspace;
    std::uint64_t tokens = 0; ///< Length of the prompt; 0 for a call of a plain service.
    std::uint64_t output = 0; ///< Length of the answer in tokens.
    Seconds timeout = 0;
    boost::optional<std::string> key; ///< Set for non-idempotent requests.
};

enum class Fault {
    Kill,
    Restart,
    Freeze,
    Thaw,
    Silence, ///< Open connections deliver nothing more; new ones work.
    Drain,
    Fill, ///< The endpoint refuses new requests and reservations.
    Forget, ///< The engine drops all its requests without a reply.
    LoseChunk,
    RepeatChunks,
    SwapChunks,
    ForeignChunks,
    DelayGrants, ///< Reservations take effect at once, but the replies arrive 3 s late.
    ListAsLeaving, ///< The VM list shows the endpoint as leaving.
    StaleView, ///< Subsequent views show the endpoints in their initial state.
    CloseCaller,
    LogDown,
    LogUp,
    DelayVerdicts, ///< Claims are decided at once, but the verdicts arrive 4 s late.
    ControlFreeze,
    ControlThaw,
    PauseEntry, ///< The dispatcher is not called for 2 s.
    DrainEntry,
    AbortEntry,
};

struct FaultStep {
    Fault fault = Fault::Kill;
    std::string subject; ///< Endpoint or request that the fault applies to; empty for faults without one.
};

struct Step {
    Seconds at = 0;
    boost::spirit::x3::variant<RequestStep, FaultStep> action;
};

enum class Outcome {
    Succeeded,
    NotRun,
    Ran,
    Unknown,
};

struct ExpectOutcome {
    std::string request;
    Outcome outcome = Outcome::Succeeded;
};

struct ExpectCode {
    std::string request;
    std::string code;
};

struct ExpectAnsweredBy {
    std::string request;
    Seconds by = 0;
};

struct ExpectRuns {
    std::string endpoint;
    std::string request;
    std::string bound; ///< "most" or "least".
    std::uint64_t count = 0;
};

struct ExpectMemoryFree {
    std::string endpoint;
    std::string state; ///< Always "free"; Spirit X3 does not map attributes to a struct with a single member.
};

struct ExpectNoWorkAfter {
    std::string endpoint;
    Seconds after = 0;
};

struct ExpectCounter {
    std::string counter;
    std::uint64_t minimum = 0;
};

using Expectation = boost::spirit::x3::variant<ExpectOutcome, ExpectCode, ExpectAnsweredBy, ExpectRuns, ExpectMemoryFree, ExpectNoWorkAfter, ExpectCounter>;

struct Scenario {
    std::vector<EndpointDeclaration> endpoints;
    std::vector<Step> steps;
    std::vector<Expectation> expectations;
};

}

BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::EndpointDeclaration, id, zone, memory)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::RequestStep, id, workspace, tokens, output, timeout, key)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::FaultStep, fault, subject)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::Step, at, action)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectOutcome, request, outcome)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectCode, request, code)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectAnsweredBy, request, by)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectRuns, endpoint, request, bound, count)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectMemoryFree, endpoint, state)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectNoWorkAfter, endpoint, after)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectCounter, counter, minimum)
