// Tests of the reader of the platform's store, over sockets, before lists and
// events with one entry that another writer left.
#include "platform_store.h"
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

namespace {

struct OddEntry {
  const char *What;
  std::string Text;
  bool MayServe = false; ///< Its fields that are read are sound.
};

std::string repeat(const std::string &Part, size_t Count) {
  std::string Text;
  for (size_t I = 0; I < Count; ++I) {
    Text += Part;
  }
  return Text;
}

std::string entry(const std::string &Name, const std::string &Field = "",
                  const std::string &Address = "10.0.0.9:8080",
                  const std::string &Slots = "8") {
  return R"({"metadata":{"name":")" + Name +
         R"(","revision":7},"specification":{"service":"llm","address":")" +
         Address +
         R"(","availability-zone":"z1","version":"v1","concurrency-slots":)" +
         Slots + R"(,"lifecycle-state":"ready","sequence-number":4)" + Field +
         "}}";
}

std::vector<OddEntry> oddEntries() {
  std::string Deep = repeat("[", 400000) + repeat("]", 400000);
  std::string DeepObjects =
      repeat("{\"a\":", 100000) + "1" + repeat("}", 100000);
  return {
      {"nested arrays", entry("odd", ",\"x\":" + Deep), true},
      {"nested objects", entry("odd", ",\"x\":" + DeepObjects), true},
      {"nested name", R"({"metadata":{"name":)" + Deep + R"(,"revision":7}})"},
      {"an array", Deep},
      {"number beyond a double", entry("odd", ",\"x\":1e999")},
      {"integer beyond 64 bits", entry("odd", ",\"born\":" + repeat("9", 400))},
      {"negative number beyond a double", entry("odd", ",\"born\":-1e400")},
      {"start beyond 63 bits", entry("odd", ",\"born\":18446744073709551615")},
      {"fractional start", entry("odd", ",\"born\":1e300")},
      {"slots beyond 32 bits", entry("odd", "", "10.0.0.9:8080", "4294967304")},
      {"slots beyond 63 bits",
       entry("odd", "", "10.0.0.9:8080", "9223372036854775816")},
      {"port out of range", entry("odd", "", "10.0.0.9:99999")},
      {"port beyond 64 bits", entry("odd", "", "10.0.0.9:" + repeat("9", 40))},
      {"port 0", entry("odd", "", "10.0.0.9:0")},
      {"negative port", entry("odd", "", "10.0.0.9:-1")},
      {"port with spaces", entry("odd", "", "10.0.0.9: 80")},
      {"no port", entry("odd", "", "10.0.0.9:")},
      {"address of 1 MB", entry("odd", "", repeat("1", 1000000) + ":80")},
      {"no metadata", R"({"specification":{}})"},
      {"no name", R"({"metadata":{"revision":7},"specification":{}})"},
      {"name is a number",
       R"({"metadata":{"name":5,"revision":7},"specification":{}})"},
      {"no revision", R"({"metadata":{"name":"odd"},"specification":{}})"},
      {"revision beyond 63 bits",
       R"({"metadata":{"name":"odd","revision":18446744073709551615},)"
       R"("specification":{}})"},
      {"revision is a text",
       R"({"metadata":{"name":"odd","revision":"x"},"specification":{}})"},
      {"specification is a text",
       R"({"metadata":{"name":"odd","revision":7},"specification":"x"})"},
      {"null", "null"},
      {"number", "5"},
      {"text", "\"]}\\\"{\""},
      {"bytes that are no text", entry("odd", ",\"x\":\"\xff\xfe\xc0\"")},
      {"control characters", entry("odd", ",\"x\":\"\x01\n\"")},
      {"half of a surrogate pair", entry("odd", ",\"x\":\"\\ud800\"")},
      {"no JSON", R"({"metadata":{"name":"odd","revision":7},"x":nope})"},
  };
}

} // namespace

TEST_GROUP(OddEntries) {
  event_base *Base = event_base_new();
  std::unique_ptr<ScriptedTarget> Server =
      std::make_unique<ScriptedTarget>(Base, "store");
  std::unique_ptr<platform::PlatformStore> Store =
      std::make_unique<platform::PlatformStore>(Base, Server->entry().At);

  void teardown() override {
    Store.reset();
    Server.reset();
    event_base_free(Base);
  }
  DirectoryReply ask(const std::string &Body, bool IsList) {
    Server->Steps = {{"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body,
                      TargetStep::Action::Keep, false}};
    std::optional<DirectoryReply> Answer;
    auto Done = [&Answer](DirectoryReply &&R) { Answer = std::move(R); };
    if (IsList) {
      Store->list(DirectoryKind::Targets, "", ReadConsistency::Linearizable,
                  Done);
    } else {
      Store->watch(DirectoryKind::Targets, 3, Duration(0),
                   ReadConsistency::Linearizable, Done);
    }
    for (int I = 0; I < 100000 && !Answer; ++I) {
      event_base_loop(Base, EVLOOP_ONCE);
    }
    return Answer.value_or(DirectoryReply());
  }
  static void checkSound(const DirectoryReply &R, const OddEntry &Odd) {
    const char *What = Odd.What;
    CHECK_TEXT(R.Result == DirectoryReply::Status::Ok, What);
    CHECK_EQUAL_TEXT(9, R.StoreRevision, What);
    std::set<std::string> Sound;
    for (const DirectoryObject &O : R.Objects) {
      if (O.Target) {
        Sound.insert(O.Name);
      }
    }
    CHECK_TEXT(Sound.count("odd") == 0 || Odd.MayServe, What);
    CHECK_EQUAL_TEXT(1, Sound.count("i-1"), What);
    CHECK_EQUAL_TEXT(1, Sound.count("i-2"), What);
  }
};

// Guards against a list or a watch that one unreadable entry of another writer
// makes unreadable as a whole, so that the host follows no target any more.
TEST(OddEntries, aListWithOneHoldsTheOtherTargets) {
  for (const OddEntry &Odd : oddEntries()) {
    DirectoryReply R =
        ask(R"({"has-more":false,"entries":[)" + entry("i-1") + " ,\n" +
                Odd.Text + "," + entry("i-2") + R"(],"at":9})",
            true);
    checkSound(R, Odd);
  }
}

TEST(OddEntries, aWatchWithOneHoldsTheOtherTargets) {
  for (const OddEntry &Odd : oddEntries()) {
    DirectoryReply R =
        ask(R"({"at":9,"events":[{"deleted":false,"object":)" + entry("i-1") +
                R"(},{"deleted":false,"object":)" + Odd.Text +
                R"(},{"object":)" + entry("i-2") + "}]}",
            false);
    checkSound(R, Odd);
  }
}

// A list that is cut off must not count as one without the rest.
TEST(OddEntries, aResponseThatIsNotWholeIsNoList) {
  std::string Whole = R"({"at":9,"has-more":false,"entries":[)" + entry("i-1") +
                      "," + entry("i-2") + "]}";
  checkSound(ask(Whole, true), {"whole", ""});
  for (size_t Length : {Whole.size() - 1, Whole.size() - 2, Whole.size() - 40,
                        size_t(40), size_t(1)}) {
    CHECK(ask(Whole.substr(0, Length), true).Result ==
          DirectoryReply::Status::Failed);
  }
  CHECK(ask(R"({"at":9})", true).Result == DirectoryReply::Status::Failed);
  CHECK(ask(R"({"entries":[]})", true).Result ==
        DirectoryReply::Status::Failed);
}

// Guards against a name that ends the request line or adds a parameter, so that
// a list cannot go on after it.
TEST(OddEntries, aListGoesOnAfterAnyName) {
  std::string Name = "a b&c=1\r\nX: \xc3\xa4%/?#";
  Store->list(DirectoryKind::Targets, Name, ReadConsistency::Linearizable,
              [](DirectoryReply &&) {});
  for (int I = 0; I < 1000 && Server->Requests.empty(); ++I) {
    event_base_loop(Base, EVLOOP_ONCE);
  }
  CHECK_EQUAL(1, Server->Requests.size());
  STRCMP_CONTAINS(
      "GET /objects/servers?after=a%20b%26c%3D1%0D%0AX%3A%20%C3%A4%25%2F%3F%23"
      " HTTP/1.1\r\n",
      Server->Requests[0].c_str());
}
