// How an answer, or the lack of one, becomes a verdict.
#include "run_task_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(Answers) {
  AnswerForm Form;
  HttpResult Result;

  void setup() override {
    Result.Sent = true;
    Result.Whole = true;
    Result.Status = 200;
  }
  void told(Outcome Wanted, Reason Why) {
    DispatchEnd E = judgeAnswer(Form, Result);
    STRCMP_EQUAL(name(Wanted), name(E.FinalVerdict.Result));
    STRCMP_EQUAL(name(Why), name(E.FinalVerdict.Why));
  }
};

TEST(Answers, aWholeAnswerIsCompleted) {
  told(Outcome::Completed, Reason::None);
}

TEST(Answers, anAnswerWithoutLengthOrLastChunkIsTruncated) {
  Result.Whole = false;
  told(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, aStreamWithoutItsEndMarkerIsTruncated) {
  Form.Engine = true;
  told(Outcome::MayHaveRun, Reason::Truncated);
  Form.SawEnd = true;
  told(Outcome::Completed, Reason::None);
  Form.Broken = true;
  told(Outcome::MayHaveRun, Reason::Truncated);
}

TEST(Answers, noAnswerAtAllIsLost) {
  Result.Status = 0;
  Result.Whole = false;
  told(Outcome::MayHaveRun, Reason::TargetLost);
}

TEST(Answers, aRefusalProvesOnlyWhatTheContractSays) {
  for (int Status : {429, 503}) {
    Result.Status = Status;
    Form.RefusalProvesNotRun = false;
    told(Outcome::MayHaveRun, Reason::TargetRefused);
    Form.RefusalProvesNotRun = true;
    told(Outcome::NotRun, Reason::TargetRefused);
  }
}

TEST(Answers, anErrorAnswerIsFailed) {
  for (int Status : {400, 404, 500}) {
    Result.Status = Status;
    told(Outcome::Failed, Reason::TargetError);
  }
}
