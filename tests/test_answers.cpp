// How an answer, or the lack of one, becomes a verdict.
#include "run_task_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(Answers) {
  ResponseContext Context;
  HttpResult Result;

  void setup() override {
    Result.Sent = true;
    Result.Complete = true;
    Result.Status = 200;
  }
  void told(Outcome Wanted, Reason Why) {
    DispatchEnd E = classifyResponse(Context, Result);
    STRCMP_EQUAL(name(Wanted), name(E.FinalVerdict.Result));
    STRCMP_EQUAL(name(Why), name(E.FinalVerdict.Why));
  }
};

TEST(Answers, aWholeAnswerIsCompleted) {
  told(Outcome::Completed, Reason::None);
}

TEST(Answers, anAnswerWithoutLengthOrLastChunkIsTruncated) {
  Result.Complete = false;
  told(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, aStreamWithoutItsEndMarkerIsTruncated) {
  Context.Engine = true;
  told(Outcome::MayHaveRun, Reason::Truncated);
  Context.EndMarkerReceived = true;
  told(Outcome::Completed, Reason::None);
  Context.StreamMalformed = true;
  told(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, noAnswerAtAllIsLost) {
  Result.Status = 0;
  Result.Complete = false;
  told(Outcome::MayHaveRun, Reason::TargetLost);
}

TEST(Answers, aRefusalProvesOnlyWhatTheContractSays) {
  for (int Status : {429, 503}) {
    Result.Status = Status;
    Context.RefusalProvesNotRun = false;
    told(Outcome::MayHaveRun, Reason::TargetRefused);
    Context.RefusalProvesNotRun = true;
    told(Outcome::NotRun, Reason::TargetRefused);
  }
}

TEST(Answers, anErrorAnswerIsFailed) {
  for (int Status : {400, 404, 500}) {
    Result.Status = Status;
    told(Outcome::Failed, Reason::TargetError);
  }
}
