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

/// Serves the engine protocol over HTTP on top of an EngineModel.
class EngineServer : public StandInServer
{
public:
    /// Model time runs @p speed times as fast as real time.
    EngineServer(const EngineSettings &settings, const std::string &model, const std::string &generation, double speed);
    ~EngineServer() override;

protected:
    void handleRequest(const HttpRequest &request, const HttpResponderPtr &responder) override;
    void onFaultChanged() override;

private:
    struct Stream {
        HttpResponderPtr responder;
        std::uint64_t position = 0;
        std::uint64_t silenceCount = 0; ///< Value of silenceCount_ when the stream was opened; once silenceCount_ differs, nothing more is sent.
    };

    struct RequestRecord {
        std::string prompt;
        std::uint64_t firstPosition = 0;
        std::uint64_t promptTokens = 0;
        bool isPrefill = false;
        std::vector<Stream> streams;
    };

    void startCompletion(const HttpRequest &request, const HttpResponderPtr &responder);
    void startPrefill(const HttpRequest &request, const HttpResponderPtr &responder);
    void handleRequestPath(const HttpRequest &request, const HttpResponderPtr &responder);
    void resumeStream(const std::string &id, const HttpRequest &request, const HttpResponderPtr &responder);
    void sendStatus(const std::string &id, const HttpResponderPtr &responder) const;
    void sendLoad(const HttpResponderPtr &responder);
    void sendCacheEvents(const HttpRequest &request, const HttpResponderPtr &responder);
    void handleAllocations(const HttpRequest &request, const HttpResponderPtr &responder);
    void handleOrder(const HttpRequest &request, const HttpResponderPtr &responder);

    void run(const std::stop_token &stop);
    void sendProgress();
    /// Sends the output generated since the last call, including its end. Returns true if the stream is to be removed.
    bool sendStreamProgress(const std::string &id, RequestRecord &record, Stream &stream);
    static void sendEnd(const RequestRecord &record, const EngineRequestStatus &status, Stream &stream);
    /// Keeps a finished request so that its stream can be resumed, and discards the oldest one above the limit.
    void retainFinished(const std::string &id);

    /// Returns the current model time.
    [[nodiscard]] TimePoint modelTime() const;

    double speed_;
    double modelRate_; ///< Ratio of model time to real time, including the effect of faults.
    RealClock::time_point realOrigin_;
    TimePoint modelOrigin_;
    EngineModel model_;
    std::vector<std::string> models_;
    std::map<std::string, RequestRecord> records_;
    std::vector<std::string> finishedIds_; ///< Oldest first.
    std::condition_variable_any changed_;
    std::jthread thread_;
};

}
