#include "config/documentvalidator.h"
#include "entry/httpsession.h"
#include "entrysupport/scriptedcontrol.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Lentillock
{
namespace
{

std::string unescaped(std::string text)
{
    for (const auto &[from, to] : {std::pair<std::string, char>("\\r", '\r'), {"\\n", '\n'}, {"\\0", '\0'}}) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + 1)) {
            text.replace(at, from.size(), 1, to);
        }
    }
    return text;
}

RunState runStateOf(const std::string &name)
{
    return name == "ran" ? RunState::Ran : name == "unknown" ? RunState::Unknown : RunState::WasNotRun;
}

/// Runs one script and records the output of the session as a trace.
class SessionScript
{
public:
    SessionScript()
        : environment_{.limits = {},
                       .filters = filters_,
                       .budget = budget_,
                       .metrics = metrics_,
                       .view = [this] { return view_; },
                       .newRequestId = [this] { return RequestId("request-" + std::to_string(++requests_)); },
                       .diagnostics =
                           [](std::string_view path) {
                               return path == "/healthz" ? std::optional(SessionEnvironment::Diagnostics{200, "text/plain", "ok\n"}) : std::nullopt;
                           }}
    {
        Findings findings;
        const auto texts = smallDocument("127.0.0.1:1", "127.0.0.1:2");
        auto view = std::make_shared<ServingView>();
        view->document = DocumentValidator::validate(SectionTexts(texts.begin(), texts.end()), findings);
        EXPECT_EQ(findings.toText(), "");
        auto entryView = std::make_shared<EntryView>();
        entryView->directory = std::make_shared<const WorkspaceDirectory>(view->document);
        entryView->view = view;
        view_ = entryView;
    }

    std::string run(std::istream &script)
    {
        std::string line;
        while (std::getline(script, line)) {
            execute(line);
        }
        return trace_;
    }

private:
    void execute(const std::string &line)
    {
        std::istringstream words(line);
        std::string command;
        words >> command;
        const std::string rest = line.size() > command.size() ? line.substr(command.size() + 1) : "";
        if (command.empty() || command == "#") {
            return;
        }
        if (command == "limit") {
            setLimit(words);
            return;
        }
        if (session_ == nullptr) {
            session_ = std::make_unique<HttpSession>(environment_, now());
        }
        if (command == ">") {
            send(rest + "\r\n");
        } else if (command == ">>") {
            send(unescaped(rest));
        } else if (command == "body") {
            send("Content-Length: " + std::to_string(rest.size()) + "\r\n\r\n" + rest);
        } else if (command == "repeat") {
            repeat(words);
        } else if (command == "bytewise") {
            bytewise_ = true;
        } else if (command == "at") {
            words >> time_;
            record(session_->advance(now()));
        } else {
            dispatch(command, words, rest);
        }
    }

    void setLimit(std::istream &words)
    {
        std::string name;
        std::size_t value = 0;
        words >> name >> value;
        SessionLimits &limits = environment_.limits;
        if (name == "buffered") {
            // Reserves the rest of the budget, so that this much remains.
            EXPECT_TRUE(budget_.tryReserve(BudgetBytes - value));
            return;
        }
        std::size_t &limit = name == "head" ? limits.http.maxHeadBytes
            : name == "body"                ? limits.http.maxBodyBytes
            : name == "pipelined"           ? limits.maxPipelinedBytes
                                            : limits.maxAnswerBytes;
        limit = value;
    }

    void repeat(std::istream &words)
    {
        std::size_t count = 0;
        std::string text;
        words >> count >> std::ws;
        std::getline(words, text);
        std::string all;
        for (std::size_t i = 0; i < count; ++i) {
            all += unescaped(text);
        }
        send(all);
    }

    void dispatch(const std::string &command, std::istream &words, const std::string &rest)
    {
        if (command == "part" || command == "foreign") {
            record(
                session_->write(now(), {.request = command == "part" ? last_ : RequestId("other"), .text = unescaped(rest), .length = 1, .contentType = {}}));
        } else if (command == "service") {
            SendToCaller part{.request = last_, .text = {}, .contentType = {}};
            words >> part.status >> part.contentType >> part.text;
            record(session_->write(now(), part));
        } else if (command == "finish") {
            FinishRequest end;
            end.request = last_;
            end.succeeded = true;
            end.finishReason = rest.empty() ? "stop" : rest;
            end.promptTokens = 7;
            end.completionTokens = 2;
            record(session_->finish(now(), end));
        } else if (command == "fail") {
            FinishRequest end;
            std::string state;
            std::int64_t retry = 0;
            end.request = last_;
            words >> end.status >> end.code >> state >> retry;
            end.message = "scripted failure";
            end.runState = runStateOf(state);
            end.retryAfter = retry > 0 ? std::optional(milliseconds(retry)) : std::nullopt;
            record(session_->finish(now(), end));
        } else if (command == "gone") {
            record(session_->disconnect("disconnected"));
        } else {
            ADD_FAILURE() << "unknown command " << command;
        }
    }

    void send(const std::string &bytes)
    {
        if (!bytewise_) {
            record(session_->receive(now(), bytes));
            return;
        }
        for (const char byte : bytes) {
            record(session_->receive(now(), {&byte, 1}));
        }
    }

    void record(const SessionOutput &output)
    {
        std::istringstream lines(output.bytes);
        std::string line;
        while (std::getline(lines, line)) {
            const bool carriageReturn = line.ends_with('\r');
            trace_ += "< " + line.substr(0, line.size() - (carriageReturn ? 1 : 0)) + (carriageReturn ? "\\r" : "") + (lines.eof() ? "" : "\\n") + '\n';
        }
        if (output.admitted) {
            const RequestSpec &spec = **output.admitted;
            last_ = spec.id;
            trace_ += "admitted " + spec.id.value() + " workspace=" + spec.workspace.value()
                + " kind=" + (spec.kind == RequestKind::Service ? "service" : "completion") + " model=" + spec.model.value() + " path=" + spec.path
                + " idempotent=" + (spec.idempotent ? "yes" : "no") + " key=" + spec.idempotencyKey
                + " deadlineMs=" + std::to_string(std::chrono::duration_cast<milliseconds>(spec.deadline - TimePoint()).count())
                + " priority=" + std::to_string(spec.priority) + " maxTokens=" + std::to_string(spec.maxTokens) + " prompt=" + printable(*spec.prompt) + '\n';
        }
        if (output.abandoned) {
            trace_ += "abandoned " + output.abandoned->value() + '\n';
        }
        if (output.connectionAction != ConnectionAction::Keep) {
            trace_ += output.connectionAction == ConnectionAction::Close ? "close\n" : "abort\n";
        }
    }

    static std::string printable(const std::string &text)
    {
        std::string result;
        for (const char character : text) {
            result += character == '\n' ? std::string("\\n") : std::string(1, character);
        }
        return result;
    }

    TimePoint now() const
    {
        return TimePoint() + milliseconds(time_);
    }

    static constexpr std::size_t BudgetBytes = 64UL * 1024 * 1024;

    FilterChain filters_;
    BufferBudget budget_{BudgetBytes};
    Metrics metrics_;
    EntryViewPtr view_;
    SessionEnvironment environment_;
    std::unique_ptr<HttpSession> session_;
    std::int64_t time_ = 0;
    int requests_ = 0;
    RequestId last_;
    bool bytewise_ = false;
    std::string trace_;
};

std::vector<std::string> sessionNames()
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(SESSIONS_DIRECTORY)) {
        if (entry.path().extension() == ".session") {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

class GoldenSessionTest : public testing::TestWithParam<std::string>
{
};

TEST_P(GoldenSessionTest, Script_IsRun_GivesTheExpectedTrace)
{
    const std::string path = std::string(SESSIONS_DIRECTORY) + '/' + GetParam();
    std::ifstream script(path + ".session");
    const std::string trace = SessionScript().run(script);
    if (std::getenv("LENTILLOCK_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path + ".golden") << trace;
    }
    std::ifstream file(path + ".golden");
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(trace, expected.str());
}

INSTANTIATE_TEST_SUITE_P(Sessions, GoldenSessionTest, testing::ValuesIn(sessionNames()), [](const auto &info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

}
}
