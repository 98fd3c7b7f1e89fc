#pragma once

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/optional.hpp>
#include <boost/spirit/home/x3/support/ast/variant.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// Times are in seconds from the start of the scenario.
using Seconds = double;

struct EndpointLine {
    std::string id;
    std::string zone;
    std::uint64_t memory = 0; ///< 0 for a plain service.
};

struct RequestStep {
    std::string id;
    std::string workspace;
    std::uint64_t tokens = 0; ///< Of the prompt; 0 for a call of a plain service.
    std::uint64_t output = 0; ///< Tokens of the answer.
    Seconds timeout = 0;
    boost::optional<std::string> key; ///< Set for non-idempotent requests.
};

enum class Fault {
    Kill,
    Restart,
    Freeze,
    Thaw,
    Silence,
    Drain,
    Fill,
    Forget, ///< The engine drops all its requests without an answer.
    LoseChunk,
    RepeatChunks,
    SwapChunks,
    ForeignChunks,
    LoseGrants, ///< Reservations take effect but are answered 3 s late.
    LeaveVmList,
    LaggingView, ///< The next views show the fleet as it was at the start.
    CloseCaller,
    LogDown,
    LogUp,
    LogAnswersLate, ///< Claims are decided at once, but their verdicts arrive 4 s late.
    ControlFreeze,
    ControlThaw,
    PauseEntry, ///< The dispatcher is not called for 2 s.
    DrainEntry,
    AbortEntry,
};

struct FaultStep {
    Fault fault = Fault::Kill;
    std::string subject; ///< Empty where the fault needs none.
};

struct Step {
    Seconds at = 0;
    boost::spirit::x3::variant<RequestStep, FaultStep> what;
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
    std::string state; ///< Always "free"; X3 needs a second member.
};

struct ExpectNoWorkAfter {
    std::string endpoint;
    Seconds after = 0;
};

struct ExpectCounter {
    std::string counter;
    std::uint64_t least = 0;
};

using Expectation = boost::spirit::x3::variant<ExpectOutcome, ExpectCode, ExpectAnsweredBy, ExpectRuns, ExpectMemoryFree, ExpectNoWorkAfter, ExpectCounter>;

struct Scenario {
    std::vector<EndpointLine> endpoints;
    std::vector<Step> steps;
    std::vector<Expectation> expectations;
};

}

BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::EndpointLine, id, zone, memory)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::RequestStep, id, workspace, tokens, output, timeout, key)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::FaultStep, fault, subject)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::Step, at, what)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectOutcome, request, outcome)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectCode, request, code)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectAnsweredBy, request, by)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectRuns, endpoint, request, bound, count)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectMemoryFree, endpoint, state)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectNoWorkAfter, endpoint, after)
BOOST_FUSION_ADAPT_STRUCT(Lentillock::Scenarios::ExpectCounter, counter, least)
