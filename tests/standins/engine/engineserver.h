#pragma once

#include "base/time.h"
#include "standins/engine/enginemodel.h"
#include "standins/engine/standinserver.h"

#include <boost/json/value.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Lentillock
{

/// Serves the engine protocol over an EngineModel whose time runs @p speed times as fast as real time.
class EngineServer : public StandInServer
{
public:
    EngineServer(const EngineSettings &settings, const std::string &model, const std::string &generation, double speed);
    ~EngineServer() override;

protected:
    void handleOwn(const HttpRequest &request, const HttpAnswerPtr &answer) override;
    void faultChanged() override;

private:
    struct Stream {
        HttpAnswerPtr answer;
        std::uint64_t position = 0;
        std::uint64_t silences = 0; ///< Value of silences_ when the stream began; it is silent once that has changed.
    };

    struct Answer {
        std::string prompt;
        std::uint64_t firstPosition = 0;
        std::uint64_t promptTokens = 0;
        bool isPrefill = false;
        std::vector<Stream> streams;
    };

    void startCompletion(const HttpRequest &request, const HttpAnswerPtr &answer);
    void startPrefill(const HttpRequest &request, const HttpAnswerPtr &answer);
    void handleRequestPath(const HttpRequest &request, const HttpAnswerPtr &answer);
    void resumeStream(const std::string &id, const HttpRequest &request, const HttpAnswerPtr &answer);
    void sendStatus(const std::string &id, const HttpAnswerPtr &answer) const;
    void sendLoad(const HttpAnswerPtr &answer);
    void sendCacheEvents(const HttpRequest &request, const HttpAnswerPtr &answer);
    void handleAllocations(const HttpRequest &request, const HttpAnswerPtr &answer);
    void takeOrder(const HttpRequest &request, const HttpAnswerPtr &answer);

    void run(const std::stop_token &stop);
    void sendProgress();
    bool progress(const std::string &id, Answer &answer, Stream &stream);
    static void sendEnd(const Answer &answer, const EngineRequestStatus &status, Stream &stream);
    void forgetOldest(const std::string &id);

    /// Time of the model at this moment.
    [[nodiscard]] TimePoint modelTime() const;

    double speed_;
    double rate_; ///< Model time that passes per real time.
    RealClock::time_point realOrigin_;
    TimePoint modelOrigin_;
    EngineModel model_;
    std::vector<std::string> models_;
    std::map<std::string, Answer> answers_;
    std::vector<std::string> finished_; ///< Oldest first.
    std::condition_variable_any changed_;
    std::jthread thread_;
};

}
