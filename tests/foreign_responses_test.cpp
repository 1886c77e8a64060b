// Search hosts that send responses twice: no request of the API is answered with what was found for another,
// and each is answered whole. Guards against the failure of docs/incidents/another-searches-documents.md.
//
// The program under test is named by the environment (CAIRNHUB_PROGRAM).
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/repeating_search_host.h"
#include "stand_ins/world.h"

using namespace cairnhub::stand_ins;
using nlohmann::json;
using Deployment = cairnhub::stand_ins::Setup;  // testing::Test has a member of the other name
using Repeat = RepeatingSearchHost::Repeat;

namespace {

constexpr int kBlocks = 2;
constexpr int kRequests = 20;  // of each test, for one market and the other in turn

const char* const kOptions =
    "search { flavor: \"s\" index { name: \"register\" blocks: 2 op_type: \"all\" timeout_ms: 30000 } }\n";

struct Behaviour {
  Repeat repeat;
  bool returns_ids;
};

std::string term_query(const std::string& market) {
  return R"({"query":{"term":{"market":")" + market + R"("}},"size":20})";
}

class ForeignResponses : public testing::TestWithParam<Behaviour> {
 protected:
  ForeignResponses() {
    program = std::getenv("CAIRNHUB_PROGRAM") ? std::getenv("CAIRNHUB_PROGRAM") : "";
    for (int number = 1; number <= kBlocks; ++number) {
      hosts_.push_back(
          std::make_unique<RepeatingSearchHost>(number, GetParam().repeat, GetParam().returns_ids));
    }
    world_ = std::make_unique<World>(
        Deployment{.cells = kBlocks, .sockets = 1024, .budget = "60", .options = kOptions, .flavors = "ss"});
    world_->ready();
  }

  json ask(const std::string& target, const std::string& body) {
    Client client;
    client.peer.write("POST " + target +
                      " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::string response = client.reads();
    EXPECT_EQ(response.substr(0, 4), "200 ") << response;
    return json::parse(response.substr(4), nullptr, false);
  }
  static std::string market_of_turn(int turn) { return turn % 2 == 0 ? "north" : "south"; }

  static void expect_whole(const json& answer, const std::string& market) {
    EXPECT_EQ(answer["_shards"]["failed"], 0) << answer;
    EXPECT_EQ(answer["hits"]["hits"].size(), kBlocks * RepeatingSearchHost::documents_of(market)) << answer;
    for (const json& hit : answer["hits"]["hits"]) {
      EXPECT_EQ(hit["_id"].get<std::string>().rfind(market, 0), 0u)
          << "a document of another search: " << hit;
    }
  }
  void expect_copies() {
    for (const auto& host : hosts_) {
      if (GetParam().repeat == Repeat::kWithTheResponse) {
        EXPECT_GE(host->copies(), kRequests);
      }
      // One connection a search leaves no next response on a connection.
      if (GetParam().repeat == Repeat::kBeforeTheNextResponse && GetParam().returns_ids) {
        EXPECT_GE(host->copies(), 1);
      }
      // Without a repeated response the connection is kept where ids are returned.
      if (GetParam().repeat == Repeat::kNever && GetParam().returns_ids) {
        EXPECT_EQ(host->connection_count(), 1);
      }
    }
  }

  std::vector<std::unique_ptr<RepeatingSearchHost>> hosts_;
  std::unique_ptr<World> world_;
};

TEST_P(ForeignResponses, SearchIsAnsweredWholeWithItsOwnDocuments) {
  for (int i = 0; i < kRequests; ++i) {
    const std::string market = market_of_turn(i);
    expect_whole(ask("/register/_search", term_query(market)), market);
  }
  expect_copies();
}

TEST_P(ForeignResponses, EachSearchOfAnMsearchIsAnsweredWholeWithItsOwnDocuments) {
  std::string body;
  for (int i = 0; i < kRequests; ++i) body += "{}\n" + term_query(market_of_turn(i)) + "\n";
  const json answer = ask("/register/_msearch", body);
  ASSERT_EQ(answer["responses"].size(), kRequests);
  for (int i = 0; i < kRequests; ++i) expect_whole(answer["responses"][i], market_of_turn(i));
}

TEST_P(ForeignResponses, MgetFindsTheDocumentsThatItNames) {
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = market_of_turn(i) + "-" + std::to_string(i % kBlocks) + "-" + std::to_string(i);
    const json answer = ask("/register/_mget", R"({"ids":[")" + id + R"("]})");
    ASSERT_EQ(answer["docs"].size(), 1u);
    EXPECT_EQ(answer["docs"][0]["_id"], id);
    EXPECT_EQ(answer["docs"][0]["found"], true) << answer;
  }
  expect_copies();
}

TEST_P(ForeignResponses, CountIsThatOfItsOwnQuery) {
  for (int i = 0; i < kRequests; ++i) {
    const std::string market = market_of_turn(i);
    const json answer = ask("/register/_count", R"({"query":{"term":{"market":")" + market + R"("}}})");
    EXPECT_EQ(answer["count"], kBlocks * RepeatingSearchHost::documents_of(market)) << answer;
    EXPECT_EQ(answer["_shards"]["failed"], 0) << answer;
  }
  expect_copies();
}

INSTANTIATE_TEST_SUITE_P(Hosts, ForeignResponses,
                         testing::Values(Behaviour{Repeat::kNever, true}, Behaviour{Repeat::kNever, false},
                                         Behaviour{Repeat::kWithTheResponse, true},
                                         Behaviour{Repeat::kWithTheResponse, false},
                                         Behaviour{Repeat::kBeforeTheNextResponse, true},
                                         Behaviour{Repeat::kBeforeTheNextResponse, false}),
                         [](const auto& info) {
                           const char* repeat = info.param.repeat == Repeat::kNever ? "Sound"
                                                : info.param.repeat == Repeat::kWithTheResponse
                                                    ? "Twice"
                                                    : "AgainBeforeTheNext";
                           return std::string(repeat) + (info.param.returns_ids ? "WithIds" : "WithoutIds");
                         });

}  // namespace
