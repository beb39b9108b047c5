// Tests of the soak's judge: for each promise, the judge reports a violation
// and accepts the similar cases that are allowed.
#include "soak_judge.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using namespace shallotlatch::soak;

TEST_GROUP(SoakJudge) {
  Time Now{seconds(1000)};
  SoakJudge Judge{PromiseBounds{}};
  ServiceId Plain = serviceId("plain");

  SentRequest request(const std::string &Id, bool Repeatable = true) {
    SentRequest R;
    R.Id = Id;
    R.At = Now;
    R.Service = Plain;
    R.Customer = "c";
    R.Key = "k";
    R.Repeatable = Repeatable;
    R.Kind = Repeatable ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    return R;
  }
  Arrival arrival(const std::string &Id, Time At) {
    Arrival A;
    A.Id = Id;
    A.Instance = "t";
    A.Service = Plain;
    A.Customer = "c";
    A.Ran = true;
    A.At = At;
    return A;
  }
  ReceivedAnswer answer(const std::string &Body) {
    ReceivedAnswer Answer;
    Answer.Status = 200;
    Answer.Stamped = true;
    Answer.Complete = true;
    Answer.Body = Body;
    return Answer;
  }
  /// Records a request that ran once and got the correct answer.
  void recordServedRequest(const SentRequest &R) {
    Judge.recordRequest(R);
    Judge.recordArrival(arrival(R.Id, R.At + millis(5)));
    Judge.recordAnswer(R.Id, answer(answerBody(R.Id, R.Kind)));
  }
  /// Returns the names of the broken promises, separated by spaces.
  std::string brokenPromiseNames() {
    std::string Names;
    for (const Violation &V : Judge.violations()) {
      Names += std::string(Names.empty() ? "" : " ") + V.Promise;
    }
    return Names;
  }
};

TEST(SoakJudge, anOrdinaryRequestBreaksNothing) {
  recordServedRequest(request("r1"));
  recordServedRequest(request("r2", false));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  CHECK_EQUAL(2, Judge.completedCount());
}

TEST(SoakJudge, aSecondRunIsAllowedOnlyWhereARequestMayRepeat) {
  recordServedRequest(request("r1"));
  Judge.recordArrival(arrival("r1", Now + millis(50)));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  recordServedRequest(request("r2", false));
  Judge.recordArrival(arrival("r2", Now + millis(50)));
  STRCMP_EQUAL("twice", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aRefusalOfWhatRanIsALie) {
  Judge.recordRequest(request("r1"));
  ReceivedAnswer Refusal;
  Refusal.Status = 503;
  Refusal.Complete = true;
  Judge.recordAnswer("r1", Refusal);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  // A run after the refusal breaks the promise too.
  Judge.recordArrival(arrival("r1", Now + seconds(1)));
  STRCMP_EQUAL("refused", brokenPromiseNames().c_str());
}

TEST(SoakJudge, anAnswerOfAnotherRequestOrHalfAnAnswerIsMixed) {
  recordServedRequest(request("r1"));
  Judge.recordAnswer("r1", answer(answerBody("r2", RouteKind::Idempotent)));
  STRCMP_EQUAL("mixed", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aStreamMayBreakOffButNotLookCompleteOrLosePieces) {
  SentRequest R = request("s1");
  R.Kind = RouteKind::Stream;
  recordServedRequest(R);
  std::string Body = answerBody("s1", RouteKind::Stream);
  ReceivedAnswer PartialAnswer = answer(Body.substr(0, Body.size() / 2));
  PartialAnswer.Complete = false;
  Judge.recordAnswer("s1", PartialAnswer);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  PartialAnswer.Complete = true;
  Judge.recordAnswer("s1", PartialAnswer);
  STRCMP_EQUAL("mixed", brokenPromiseNames().c_str());
  Judge.recordAnswer("s1", answer(answerBody("s1", RouteKind::Stream, 2)));
  STRCMP_EQUAL("mixed", brokenPromiseNames().c_str());
}

TEST(SoakJudge, whatNobodyAskedMayNotRun) {
  Judge.recordArrival(arrival("nobody", Now));
  STRCMP_EQUAL("unasked", brokenPromiseNames().c_str());
}

TEST(SoakJudge, theKeyStaysHereAndTheCustomerIsItsHolder) {
  Judge.recordRequest(request("r1"));
  Arrival A = arrival("r1", Now);
  A.CarriesKey = true;
  Judge.recordArrival(A);
  STRCMP_EQUAL("unasked", brokenPromiseNames().c_str());
}

TEST(SoakJudge, anotherServiceMayNotRunIt) {
  Judge.recordRequest(request("r1"));
  Arrival A = arrival("r1", Now);
  A.Service = serviceId("other");
  Judge.recordArrival(A);
  STRCMP_EQUAL("route", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aRemovedKeyRunsNothingPastItsBoundWhateverIsWrong) {
  Judge.recordKeyRemoval("k", Now);
  Judge.recordHostFault(0, Now + seconds(5), false);
  Judge.recordStoreFault(Now + seconds(5));
  Now += seconds(4);
  recordServedRequest(request("r1"));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Now += millis(1100);
  recordServedRequest(request("r2"));
  STRCMP_EQUAL("revocation", brokenPromiseNames().c_str());
}

TEST(SoakJudge, nothingNewAtALeavingTargetFromAHostInTouch) {
  Judge.recordTargetDrain("t", Now);
  Now += millis(2400);
  recordServedRequest(request("r1"));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Now += millis(200);
  recordServedRequest(request("r2"));
  STRCMP_EQUAL("drain", brokenPromiseNames().c_str());
  Judge.recordHostFault(0, Now - seconds(1), false);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
}

TEST(SoakJudge, nothingNewAtATargetThatSaidThatItLeaves) {
  recordServedRequest(request("r1"));
  Judge.recordLeavingNotice("r1", "t", Now);
  Now += millis(3400);
  recordServedRequest(request("r2"));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Now += millis(200);
  recordServedRequest(request("r3"));
  STRCMP_EQUAL("leaving", brokenPromiseNames().c_str());
}

TEST(SoakJudge, twoRequestsAtMostReachATargetInAPause) {
  recordServedRequest(request("r1"));
  Judge.recordPauseNotice("r1", "t", Now, Now + seconds(2));
  for (int I = 2; I < 6; ++I) {
    Now += millis(100);
    recordServedRequest(request("r" + std::to_string(I)));
  }
  Now += millis(200);
  recordServedRequest(request("r6"));
  recordServedRequest(request("r7"));
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  recordServedRequest(request("r8"));
  STRCMP_EQUAL("pause", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aVersionIsInForceInTimeAndNeverGoesBack) {
  Judge.recordConfigVersion(2, Now);
  Judge.recordConfigVersion(3, Now + seconds(5));
  SentRequest Newer = request("r1");
  Newer.At = Now + seconds(6);
  Newer.RouteVersion = 3;
  recordServedRequest(Newer);
  SentRequest Older = request("r2");
  Older.RouteVersion = 2;
  Older.At = Now + seconds(6) + millis(200);
  recordServedRequest(Older);
  // The time since the newer request is within DowngradeTolerance (250 ms).
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Older.Id = "r3";
  Older.At = Now + seconds(6) + millis(300);
  recordServedRequest(Older);
  STRCMP_EQUAL("config-back", brokenPromiseNames().c_str());
  Older.Id = "r4";
  Older.Host = 1; // Another host may lag until ConfigApply (2500 ms).
  Older.At = Now + seconds(7);
  recordServedRequest(Older);
  STRCMP_EQUAL("config-back", brokenPromiseNames().c_str());
  Older.Id = "r5";
  Older.At = Now + seconds(8);
  recordServedRequest(Older);
  STRCMP_EQUAL("config config-back", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aRouteInForceIsNotDenied) {
  Judge.recordConfigVersion(2, Now);
  SentRequest R = request("r1");
  R.RouteVersion = 2;
  R.At = Now + seconds(3);
  Judge.recordRequest(R);
  ReceivedAnswer NoRoute;
  NoRoute.Status = 404;
  NoRoute.Complete = true;
  Judge.recordAnswer("r1", NoRoute);
  STRCMP_EQUAL("config", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aPlannedStopCutsNothing) {
  Judge.recordRequest(request("r1"));
  Judge.recordArrival(arrival("r1", Now + millis(5)));
  ReceivedAnswer CutOffAnswer;
  CutOffAnswer.ClosedByHost = true;
  Judge.recordAnswer("r1", CutOffAnswer);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Judge.recordHostFault(0, Now + seconds(1), true);
  STRCMP_EQUAL("stop", brokenPromiseNames().c_str());
  // The host was also killed.
  Judge.recordHostFault(0, Now + millis(500), false);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
}

TEST(SoakJudge, aQuotaHoldsInEveryWindow) {
  // The quota is 2 + 1 x 8 = 10 requests in 8 s, and a tenth on top is allowed.
  Judge.setQuota("c", 1, 2);
  for (int I = 0; I < 11; ++I) {
    recordServedRequest(request("r" + std::to_string(I)));
    Now += millis(100);
  }
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  recordServedRequest(request("one more"));
  STRCMP_EQUAL("quota", brokenPromiseNames().c_str());
}

TEST(SoakJudge, repeatsStayWithinTheBudget) {
  for (int I = 0; I < 10; ++I) {
    std::string Id = "r" + std::to_string(I);
    recordServedRequest(request(Id));
    Judge.recordArrival(arrival(Id, Now + millis(20)));
  }
  // The limit is 0.2 x 10 + 10 = 12.
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  for (int I = 0; I < 3; ++I) {
    Judge.recordArrival(arrival("r1", Now + millis(30)));
  }
  STRCMP_EQUAL("budget", brokenPromiseNames().c_str());
}

// Over a caller's requests, and within one answer.
TEST(SoakJudge, eventsOfTwoVersionsInAStreamAreReported) {
  for (const char *Name : {"v1", "v2"}) {
    Judge.recordSoftware(std::string("of ") + Name, Name);
  }
  SentRequest First = request("a");
  First.Kind = RouteKind::Stream;
  SentRequest Next = First;
  Next.Id = "a-1";
  Next.Resumes = "a";
  Next.FirstEvent = 3;
  ReceivedAnswer Part = answer("a.1;a.2;");
  Part.Complete = false;
  Part.Instance = "of v1";
  ReceivedAnswer Rest = answer(answerBody("a-1", RouteKind::Stream, 3));
  Rest.Instance = "of v1";
  Judge.recordRequest(First);
  Judge.recordArrival(arrival("a", Now));
  Judge.recordAnswer("a", Part);
  Judge.recordRequest(Next);
  Judge.recordArrival(arrival("a-1", Now));
  Judge.recordAnswer("a-1", Rest);
  STRCMP_EQUAL("", brokenPromiseNames().c_str());
  Arrival Inner = arrival("a-1", Now);
  Inner.Instance = "of v2";
  Inner.FirstEvent = 5;
  Judge.recordArrival(Inner);
  STRCMP_EQUAL("order", brokenPromiseNames().c_str());
  Rest.Instance = "of v2";
  Judge.recordAnswer("a-1", Rest);
  STRCMP_EQUAL("order", brokenPromiseNames().c_str());
}
