#include "scenarios/scenarioparser.h"

#include <boost/spirit/home/x3.hpp>

#include <sstream>
#include <stdexcept>

namespace Lentillock::Scenarios
{

namespace
{

namespace x3 = boost::spirit::x3;

struct FaultNames : x3::symbols<Fault> {
    FaultNames()
    {
        add("log down", Fault::LogDown)("log up", Fault::LogUp)("log answers late", Fault::DelayVerdicts);
        add("control freeze", Fault::ControlFreeze)("control thaw", Fault::ControlThaw)("view lags", Fault::StaleView);
        add("pause entry", Fault::PauseEntry)("drain entry", Fault::DrainEntry)("abort entry", Fault::AbortEntry);
    }
} const FaultWithoutSubject;

struct SubjectFaultNames : x3::symbols<Fault> {
    SubjectFaultNames()
    {
        add("kill endpoint", Fault::Kill)("restart endpoint", Fault::Restart)("freeze endpoint", Fault::Freeze)("thaw endpoint", Fault::Thaw);
        add("drain endpoint", Fault::Drain)("fill endpoint", Fault::Fill)("forget requests of", Fault::Forget)("list as leaving", Fault::ListAsLeaving);
        add("silence connections of", Fault::Silence)("lose chunk of", Fault::LoseChunk)("repeat chunks of", Fault::RepeatChunks);
        add("swap chunks of", Fault::SwapChunks)("mix foreign chunks into", Fault::ForeignChunks)("lose grants of", Fault::DelayGrants);
        add("close caller of", Fault::CloseCaller);
    }
} const FaultWithSubject;

struct OutcomeNames : x3::symbols<Outcome> {
    OutcomeNames()
    {
        add("succeeded", Outcome::Succeeded)("not-run", Outcome::NotRun)("ran", Outcome::Ran)("unknown", Outcome::Unknown);
    }
} const OutcomeName;

const auto MillisecondsToSeconds = [](auto &context) { x3::_val(context) = x3::_attr(context) / 1000; };
const auto SecondsParser = x3::rule<struct SecondsRule, double, true>{} = (x3::double_ >> x3::lit("ms"))[MillisecondsToSeconds] | x3::double_ >> x3::lit('s');
const auto Word = x3::rule<struct WordRule, std::string>{} = x3::lexeme[+(x3::graph)];

const auto EndpointParser = x3::rule<struct EndpointRule, EndpointDeclaration>{}
= x3::lit("endpoint") >> Word >> "zone" >> Word >> ("memory" >> x3::uint64 | x3::lit("service") >> x3::attr(std::uint64_t{0}));

const auto RequestParser = x3::rule<struct RequestRule, RequestStep>{} = x3::lit("request") >> Word >> "workspace" >> Word
    >> (("tokens" >> x3::uint64) | x3::attr(std::uint64_t{0})) >> (("output" >> x3::uint64) | x3::attr(std::uint64_t{10})) >> "timeout" >> SecondsParser
    >> -("key" >> Word);
const auto FaultParser = x3::rule<struct FaultRule, FaultStep>{} = (FaultWithSubject >> Word) | (FaultWithoutSubject >> x3::attr(std::string()));
const auto StepParser = x3::rule<struct StepRule, Step>{} = x3::lit("at") >> SecondsParser >> (RequestParser | FaultParser);

const auto RequestPrefix = x3::lit("expect") >> x3::lit("request") >> Word;
const auto EndpointPrefix = x3::lit("expect") >> x3::lit("endpoint") >> Word;
const auto OutcomeExpectation = x3::rule<struct OutcomeRule, ExpectOutcome>{} = RequestPrefix >> OutcomeName;
const auto CodeExpectation = x3::rule<struct CodeRule, ExpectCode>{} = RequestPrefix >> "code" >> Word;
const auto AnsweredByExpectation = x3::rule<struct AnsweredByRule, ExpectAnsweredBy>{} = RequestPrefix >> "answered by" >> SecondsParser;
const auto RunsExpectation = x3::rule<struct RunsRule, ExpectRuns>{} = EndpointPrefix >> "ran" >> Word >> "at" >> Word >> x3::uint64;
const auto MemoryExpectation = x3::rule<struct MemoryRule, ExpectMemoryFree>{} = EndpointPrefix >> "memory" >> x3::string("free");
const auto NoWorkExpectation = x3::rule<struct NoWorkRule, ExpectNoWorkAfter>{} = EndpointPrefix >> "no new work after" >> SecondsParser;
const auto CounterExpectation = x3::rule<struct CounterRule, ExpectCounter>{} = x3::lit("expect") >> "counter" >> Word >> "at least" >> x3::uint64;
const auto ExpectationParser = x3::rule<struct ExpectationRule, Expectation>{}
= OutcomeExpectation | CodeExpectation | AnsweredByExpectation | RunsExpectation | MemoryExpectation | NoWorkExpectation | CounterExpectation;

template<typename Rule, typename Value>
bool parseLine(const std::string &line, const Rule &rule, std::vector<Value> &values)
{
    auto begin = line.begin();
    Value value;
    if (!x3::phrase_parse(begin, line.end(), rule >> x3::eoi, x3::blank, value)) {
        return false;
    }
    values.push_back(std::move(value));
    return true;
}

}

Scenario parseScenario(const std::string &text)
{
    Scenario scenario;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (!parseLine(line, EndpointParser, scenario.endpoints) && !parseLine(line, StepParser, scenario.steps)
            && !parseLine(line, ExpectationParser, scenario.expectations)) {
            throw std::runtime_error("line " + std::to_string(number) + ": invalid declaration, step or expectation: " + line);
        }
    }
    return scenario;
}

}
