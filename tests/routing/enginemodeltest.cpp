#include "standins/engine/enginemodel.h"

#include "routing/prefixblocks.h"
#include "standins/engine/generatedtext.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class EngineModelTest : public testing::Test
{
protected:
    static EngineRequest request(const std::string &id, std::uint64_t promptTokens, std::uint64_t maxTokens)
    {
        EngineRequest request;
        request.id = id;
        request.promptTokens = promptTokens;
        request.maxTokens = maxTokens;
        return request;
    }

    TimePoint start_{std::chrono::hours(1)};
    EngineModel engine_{EngineSettings(), "1", start_};
};

// Tests compare answers by their text, so a continuation or the end of a prompt must generate the same text as the whole prompt.
TEST_F(EngineModelTest, GeneratedText_ContinuedOrFromLastPart_IsThatOfTheWhole)
{
    const std::string prompt = std::string(5000, 'p') + "question";
    const std::string whole = generatedText(prompt, 0, 20);
    EXPECT_EQ(generatedText(prompt, 0, 7) + generatedText(prompt, 7, 20), whole);
    EXPECT_EQ(generatedText(prompt.substr(3000), 0, 20), whole);
    EXPECT_NE(generatedText(prompt + '?', 0, 20), whole);
}

// Guards against a model in which long prefills do not slow down concurrent decoding; routing policies could not be compared on it.
TEST_F(EngineModelTest, Decoding_BesideLongPrefill_IsSlower)
{
    engine_.submit(start_, request("short", 1000, 100));
    engine_.advance(start_ + 10s);
    ASSERT_EQ(engine_.status("short")->phase, EngineRequestPhase::Finished);
    const TimePoint alone = engine_.takeEvents().back().at;
    engine_.submit(start_ + 10s, request("long", 300'000, 10));
    engine_.submit(start_ + 10s, request("beside", 1000, 100));
    engine_.advance(start_ + 10s + (alone - start_) * 2);
    EXPECT_NE(engine_.status("beside")->phase, EngineRequestPhase::Finished);
}

// Guards against an idle engine that does not start a queued request after the memory it waits for has been released.
TEST_F(EngineModelTest, MemoryReleased_EngineIdle_WaitingRequestStarts)
{
    ASSERT_TRUE(engine_.allocate(start_, "allocation", {"owner", 350'000, 0}));
    ASSERT_TRUE(engine_.submit(start_, request("waiting", 100'000, 1)));
    engine_.advance(start_ + 1s);
    ASSERT_EQ(engine_.status("waiting")->phase, EngineRequestPhase::Queued);
    engine_.release(start_ + 1s, "allocation");
    EXPECT_TRUE(engine_.nextStepEnd().has_value());
    engine_.advance(start_ + 100s);
    EXPECT_EQ(engine_.status("waiting")->phase, EngineRequestPhase::Finished);
    EXPECT_EQ(engine_.load(start_ + 200s).freeTokens, engine_.settings().memoryTokens);
}

// Guards against a stand-in engine that reuses a prompt prefix across cache salts.
TEST_F(EngineModelTest, SamePrompt_OtherSalt_IsNotReused)
{
    const std::string prompt(20 * PrefixBlockBytes, 'x');
    int count = 0;
    const auto cachedTokens = [&](const std::string &salt) {
        EngineRequest next = request("r" + std::to_string(count), estimatedTokens(prompt), 1);
        next.prefixBlocks = prefixBlockHashes(prompt, salt);
        engine_.submit(start_ + std::chrono::seconds(10 * count), next);
        engine_.advance(start_ + std::chrono::seconds(10 * (count + 1)));
        return engine_.status("r" + std::to_string(count++))->cachedTokens;
    };
    EXPECT_EQ(cachedTokens("a"), 0U);
    EXPECT_GT(cachedTokens("a"), 10'000U);
    EXPECT_EQ(cachedTokens("b"), 0U);
}

TEST_F(EngineModelTest, Order_OldFencingNumber_IsRefusedOnlyWhereChecked)
{
    EngineSettings lenient;
    lenient.checksFencing = false;
    EngineModel other(lenient, "1", start_);
    for (EngineModel *engine : {&engine_, &other}) {
        EXPECT_EQ(engine->order(start_, {7, "1", "m", "2", "", false}), EngineOrderResult::Done);
    }
    EXPECT_EQ(engine_.order(start_, {6, "1", "m", "1", "", false}), EngineOrderResult::StaleFencing);
    EXPECT_EQ(other.order(start_, {6, "1", "m", "1", "", false}), EngineOrderResult::Done);
    EXPECT_EQ(other.order(start_, {8, "0", "m", "1", "", false}), EngineOrderResult::WrongGeneration);
}

// Guards against an order that changes only the role but unloads the model.
TEST_F(EngineModelTest, Order_EmptyModelAndVersion_KeepsWhatIsLoaded)
{
    EXPECT_EQ(engine_.order(start_, {7, "1", "m", "2", "decode", false}), EngineOrderResult::Done);
    EXPECT_EQ(engine_.order(start_, {8, "1", "", "", "prefill", false}), EngineOrderResult::Done);
    EXPECT_EQ(engine_.lastOrder().model, "m");
    EXPECT_EQ(engine_.lastOrder().version, "2");
    EXPECT_EQ(engine_.lastOrder().role, "prefill");
    EXPECT_EQ(engine_.lastOrder().fencing, 8U);
}

}
}
