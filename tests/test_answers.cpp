// Tests of the verdict that follows from a target's response or from its lack.
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
  void checkVerdict(Outcome ExpectedOutcome, Reason ExpectedReason) {
    DispatchEnd E = classifyResponse(Context, Result);
    STRCMP_EQUAL(name(ExpectedOutcome), name(E.FinalVerdict.Result));
    STRCMP_EQUAL(name(ExpectedReason), name(E.FinalVerdict.Why));
  }
};

TEST(Answers, aWholeAnswerIsCompleted) {
  checkVerdict(Outcome::Completed, Reason::None);
}

TEST(Answers, anAnswerWithoutLengthOrLastChunkIsTruncated) {
  Result.Complete = false;
  checkVerdict(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, aStreamWithoutItsEndMarkerIsTruncated) {
  Context.Engine = true;
  checkVerdict(Outcome::MayHaveRun, Reason::Truncated);
  Context.EndMarkerReceived = true;
  checkVerdict(Outcome::Completed, Reason::None);
  Context.StreamMalformed = true;
  checkVerdict(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, noAnswerAtAllIsLost) {
  Result.Status = 0;
  Result.Complete = false;
  checkVerdict(Outcome::MayHaveRun, Reason::TargetLost);
}

TEST(Answers, aRefusalProvesOnlyWhatTheContractSays) {
  for (int Status : {429, 503}) {
    Result.Status = Status;
    Context.RefusalProvesNotRun = false;
    checkVerdict(Outcome::MayHaveRun, Reason::TargetRefused);
    Context.RefusalProvesNotRun = true;
    checkVerdict(Outcome::NotRun, Reason::TargetRefused);
  }
}

TEST(Answers, anErrorAnswerIsFailed) {
  for (int Status : {400, 404, 500}) {
    Result.Status = Status;
    checkVerdict(Outcome::Failed, Reason::TargetError);
  }
}
