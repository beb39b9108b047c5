// Tests of the parser of callers' requests: the fields that it reads, and the
// status and field with which it refuses a request.
#include "caller_request_p.h"
#include "fleet_fake.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(CallerRequests) {
  std::shared_ptr<const Config> Conf = parseConfig(testConfig());
  RawRequest Raw;

  void setup() override {
    Raw.Path = "/v1/completions";
    Raw.Headers["authorization"] = "Bearer key-of-small";
    Raw.Body = R"({"kind": "model-normal", "prompt": "hello"})";
  }
  void checkRefused(int Status, const char *Field) {
    try {
      parseCallerRequest(*Conf, Raw);
    } catch (const CallerError &E) {
      LONGS_EQUAL(Status, E.Status);
      STRCMP_EQUAL(Field, E.Field.c_str());
      return;
    }
    FAIL("parseCallerRequest accepted a request that it must refuse");
  }
};

TEST(CallerRequests, readsAModelRequest) {
  Raw.Headers["x-deadline-ms"] = "1500";
  CallerRequest R = parseCallerRequest(*Conf, Raw);
  CHECK(!R.Service);
  CHECK(!R.Stream);
  LONGS_EQUAL(1500, toMillis(R.Sub.Deadline));
  STRCMP_EQUAL("small", R.CustomerName.c_str());
}

TEST(CallerRequests, refusesWithoutAKnownKey) {
  Raw.Headers["authorization"] = "Bearer nobody";
  checkRefused(401, "Authorization");
  Raw.Headers.erase("authorization");
  checkRefused(401, "Authorization");
}

TEST(CallerRequests, refusesAnUnknownKind) {
  Raw.Body = R"({"kind": "nothing", "prompt": "x"})";
  checkRefused(404, "kind");
}

TEST(CallerRequests, refusesBadFields) {
  Raw.Body = "not json";
  checkRefused(400, "");
  Raw.Body = R"({"kind": "model-normal"})";
  checkRefused(400, "prompt");
  Raw.Body = R"({"kind": "model-normal", "prompt": "x", "max_tokens": 0})";
  checkRefused(400, "max_tokens");
  Raw.Body = R"({"kind": "model-normal", "prompt": "x", "stream": 1})";
  checkRefused(400, "stream");
}

TEST(CallerRequests, refusesABadDeadline) {
  Raw.Headers["x-deadline-ms"] = "-5";
  checkRefused(400, "X-Deadline-Ms");
}

TEST(CallerRequests, nonIdempotentKindsNeedADatedKey) {
  Raw.Path = "/v1/services/post";
  Raw.Body = "{}";
  checkRefused(400, "Idempotency-Key");
  Raw.Headers["idempotency-key"] = "abc";
  checkRefused(400, "Idempotency-Key");
  Raw.Headers["idempotency-key"] = uuid7(1700000000000, 7);
  CallerRequest R = parseCallerRequest(*Conf, Raw);
  CHECK(R.Sub.HasKey);
  LONGLONGS_EQUAL(1700000000000, R.Sub.Key.Date.Value);
}

TEST(CallerRequests, kindsAreServedUnderTheirOwnPath) {
  Raw.Body = R"({"kind": "post", "prompt": "x"})";
  checkRefused(400, "kind");
  Raw.Path = "/v1/services/model-normal";
  checkRefused(400, "kind");
}

TEST(CallerRequests, theSamePromptHasTheSameFingerprint) {
  CallerRequest A = parseCallerRequest(*Conf, Raw);
  Raw.Body = R"({"prompt": "hello", "kind": "model-normal", "max_tokens": 5})";
  CallerRequest B = parseCallerRequest(*Conf, Raw);
  CHECK(A.Sub.ContentFingerprint == B.Sub.ContentFingerprint);
}
