#include "platform/endpointobserver.h"

#include "base/findings.h"
#include "base/jsonreader.h"
#include "base/mailbox.h"
#include "platform/httpclient.h"

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr long StatusOk = 200;
constexpr long StatusNoContent = 204;
constexpr long StatusNotFound = 404;
constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();
/// Limit for a response body. An engine that follows the protocol never sends a longer one.
constexpr std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
/// Idle connections kept open for reuse. At the design size, a control process observes up to 300 endpoints per model.
constexpr long MaxIdleConnections = 512;
constexpr int PollTimeoutMs = 1000;
/// Upper bound of the remaining time of an allocation: one year.
constexpr std::int64_t MaxRemainingMs = 31'536'000'000;

struct Transfer {
    std::string url;
    bool isDelete = false;
    bool freshConnection = false;
    std::function<void(long status, const std::string &body)> finished; ///< The status is 0 if the request failed without a complete response.
    std::string body;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    if (body->size() + size * count > MaxBodyBytes) {
        return 0;
    }
    body->append(data, size * count);
    return size * count;
}

std::uint64_t readUnsigned(JsonReader &reader, std::string_view name)
{
    return static_cast<std::uint64_t>(reader.integer(name, 0, 0, MaxInteger));
}

std::optional<LoadReport> parseLoad(const std::string &body)
{
    Findings findings;
    const auto value = parseJson(body, "load", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "load", "", findings);
    LoadReport load;
    load.generation = reader.requiredString("generation");
    load.draining = reader.boolean("draining", false);
    for (std::string &model : reader.strings("models")) {
        load.models.emplace_back(std::move(model));
    }
    load.totalTokens = readUnsigned(reader, "totalTokens");
    load.freeTokens = readUnsigned(reader, "freeTokens");
    load.queuedTokens = readUnsigned(reader, "queuedTokens");
    load.running = readUnsigned(reader, "running");
    load.measuredAt = std::chrono::steady_clock::now() - milliseconds(reader.integer("ageMs", 0, 0, MaxInteger / 1'000'000));
    return findings.hasErrors() ? std::nullopt : std::optional(std::move(load));
}

std::optional<std::vector<AllocationRecord>> parseAllocations(const std::string &body)
{
    Findings findings;
    const auto value = parseJson(body, "allocations", findings);
    const boost::json::object *object = value ? value->if_object() : nullptr;
    const boost::json::value *list = object != nullptr ? object->if_contains("allocations") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<AllocationRecord> allocations;
    for (const boost::json::value &element : list->get_array()) {
        Findings elementFindings;
        JsonReader reader(element, "allocations", "", elementFindings);
        AllocationRecord record{AllocationId(reader.requiredString("id")),
                                reader.string("owner", ""),
                                milliseconds(reader.requiredInteger("deadlineMs", -MaxRemainingMs, MaxRemainingMs))};
        // Skips a malformed element, so that the other allocations are still reclaimed.
        if (!elementFindings.hasErrors()) {
            allocations.push_back(std::move(record));
        }
    }
    return allocations;
}

}

class EndpointObserver::Task
{
public:
    explicit Task(milliseconds timeout)
        : timeout_(timeout)
        , multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
        queue_.setWakeUp([this] { curl_multi_wakeup(multi_); });
        thread_ = std::thread([this] { run(); });
    }

    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    ~Task()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        for (const auto &[easy, transfer] : running_) {
            curl_multi_remove_handle(multi_, easy);
            curl_easy_cleanup(easy);
        }
        for (CURL *easy : idleHandles_) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi_);
    }

    void enqueue(Transfer transfer)
    {
        queue_.post(std::move(transfer));
    }

    [[nodiscard]] std::uint64_t receivedBytes() const
    {
        return receivedBytes_;
    }

private:
    void run()
    {
        while (!stopping_) {
            for (Transfer &transfer : queue_.takeAll()) {
                startTransfer(std::move(transfer));
            }
            int active = 0;
            curl_multi_perform(multi_, &active);
            finishTransfers();
            curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs, nullptr);
        }
    }

    void startTransfer(Transfer started)
    {
        CURL *easy = nullptr;
        if (idleHandles_.empty()) {
            easy = curl_easy_init();
        } else {
            easy = idleHandles_.back();
            idleHandles_.pop_back();
            curl_easy_reset(easy);
        }
        auto transfer = std::make_unique<Transfer>(std::move(started));
        curl_easy_setopt(easy, CURLOPT_URL, transfer->url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, transfer->freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->body);
        if (transfer->isDelete) {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
        }
        running_[easy] = std::move(transfer);
        curl_multi_add_handle(multi_, easy);
    }

    void finishTransfers()
    {
        int remaining = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_, &remaining)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *easy, CURLcode result)
    {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        auto node = running_.extract(easy);
        curl_multi_remove_handle(multi_, easy);
        idleHandles_.push_back(easy);
        const Transfer &transfer = *node.mapped();
        receivedBytes_ += transfer.body.size();
        if (transfer.finished) {
            transfer.finished(result == CURLE_OK ? status : 0, transfer.body);
        }
    }

    milliseconds timeout_;
    CURLM *multi_;
    Mailbox<Transfer> queue_;
    std::map<CURL *, std::unique_ptr<Transfer>> running_;
    std::vector<CURL *> idleHandles_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> receivedBytes_ = 0;
    std::thread thread_;
};

EndpointObserver::EndpointObserver(milliseconds timeout)
    : task_(std::make_unique<Task>(timeout))
{
}

EndpointObserver::~EndpointObserver() = default;

void EndpointObserver::fetchLoad(const std::string &address, bool freshConnection, LoadCallback callback)
{
    task_->enqueue({"http://" + address + "/v1/load",
                    false,
                    freshConnection,
                    [callback = std::move(callback)](long status, const std::string &body) { callback(status == StatusOk ? parseLoad(body) : std::nullopt); },
                    {}});
}

void EndpointObserver::listAllocations(const std::string &address, AllocationsCallback callback)
{
    task_->enqueue(
        {"http://" + address + "/v1/allocations",
         false,
         false,
         [callback = std::move(callback)](long status, const std::string &body) { callback(status == StatusOk ? parseAllocations(body) : std::nullopt); },
         {}});
}

void EndpointObserver::releaseAllocation(const std::string &address, const AllocationId &allocation, ReleaseCallback callback)
{
    task_->enqueue({"http://" + address + "/v1/allocations/" + HttpClient::percentEncode(allocation.value()),
                    true,
                    false,
                    [callback = std::move(callback)](long status, const std::string & /*body*/) {
                        callback(status == StatusOk || status == StatusNoContent || status == StatusNotFound);
                    },
                    {}});
}

std::uint64_t EndpointObserver::receivedBytes() const
{
    return task_->receivedBytes();
}

}
