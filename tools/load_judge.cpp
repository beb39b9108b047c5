#include "load_judge.h"

#include "http_once.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace shallotlatch {

using nlohmann::json;

namespace {
/// All targets' ledgers, added up.
struct LedgerTotals {
  std::map<std::string, uint32_t> Markers;
  std::map<std::string, uint32_t> RequestIds;
};
} // namespace

static LedgerTotals readLedgers(const Config &C, LoadResult &Out) {
  LedgerTotals All;
  for (const TargetSpec &T : C.Targets) {
    HttpRequest R;
    R.To = parseAddress(T.Address);
    R.Method = "GET";
    R.Path = "/ledger";
    HttpResult Result = sendBlocking(R);
    json Body = json::parse(Result.Body, nullptr, false);
    if (Result.Status != 200 || !Body.is_object()) {
      throw std::runtime_error("target \"" + T.Name +
                               "\" does not show its ledger");
    }
    for (auto It = Body["markers"].begin(); It != Body["markers"].end(); ++It) {
      All.Markers[It.key()] += It->get<uint32_t>();
    }
    for (auto It = Body["requestIds"].begin(); It != Body["requestIds"].end();
         ++It) {
      All.RequestIds[It.key()] += It->get<uint32_t>();
    }
    Out.PrefillTokens += Body["prefillTokens"].get<uint64_t>();
    Out.WastedPrefillTokens += Body["uselessTokens"].get<uint64_t>();
    Out.CachedTokens += Body["cachedTokens"].get<uint64_t>();
    Out.OutputTokens += Body["outputTokens"].get<uint64_t>();
  }
  return All;
}

static TierResult &findOrAddTier(LoadResult &Out, const std::string &Name) {
  for (TierResult &T : Out.Tiers) {
    if (T.Tier == Name) {
      return T;
    }
  }
  Out.Tiers.emplace_back();
  Out.Tiers.back().Tier = Name;
  return Out.Tiers.back();
}

static void addFinding(LoadResult &Out, const LoadRecord &R, const char *What,
                       uint32_t Ran) {
  std::string Line = std::string(What) + ": request " + R.Marker + ", ran " +
                     std::to_string(Ran) + " times, verdicts";
  for (const std::string &V : R.Verdicts) {
    Line += V.empty() ? " (none)" : " " + V;
  }
  Out.Findings.push_back(Line + ", reason " + R.Reason);
}

// A submission that was told "not run" must not be among the runs; any other
// may be there once. Keyed work may be there once over all submissions.
static void checkRuns(const LoadRecord &R, uint32_t Ran, LoadResult &Out) {
  uint32_t MayRun = 0;
  bool Completed = false;
  for (const std::string &V : R.Verdicts) {
    MayRun += V == "not-run" ? 0 : 1;
    Completed = Completed || V == "completed";
  }
  bool KeyRanTwice = Ran > 1 && !R.Key.empty();
  if (KeyRanTwice || Ran > R.Verdicts.size()) {
    ++Out.DuplicateRuns;
    addFinding(Out, R, "doubled", Ran);
  } else if (Ran > MayRun) {
    ++Out.FalseVerdicts;
    addFinding(Out, R, "untruthful not-run", Ran);
  }
  if (Completed && Ran == 0) {
    ++Out.FalseVerdicts;
    addFinding(Out, R, "untruthful completed", Ran);
  }
  if (R.WrongAnswer) {
    ++Out.FalseVerdicts;
    addFinding(Out, R, "wrong answer", Ran);
  }
}

static void addToTier(const LoadRecord &R, TierResult &T) {
  const std::string &Last = R.Verdicts.back();
  if (Last == "completed" && R.Reason.empty()) {
    ++T.Completed;
    T.TotalMs.push_back(static_cast<double>(R.TotalTime.count()) / 1000);
    if (R.FirstTokenTime.count() > 0) {
      T.FirstTokenMs.push_back(static_cast<double>(R.FirstTokenTime.count()) /
                               1000);
    }
  } else if (Last == "not-run") {
    ++T.NotRun;
  } else {
    ++T.Uncertain;
  }
}

static void addToTimeline(const LoadRecord &R, LoadResult &Out) {
  if (R.Verdicts.back() != "completed") {
    return;
  }
  size_t Second = static_cast<size_t>(toSeconds(R.EndedAt));
  if (Out.CompletedPerSecond.size() <= Second) {
    Out.CompletedPerSecond.resize(Second + 1, 0);
  }
  ++Out.CompletedPerSecond[Second];
}

LoadResult evaluateLoad(const Config &C, const RequestMix &M,
                        const std::vector<LoadRecord> &Records) {
  LoadResult Out;
  LedgerTotals All = readLedgers(C, Out);
  for (const TierSpec &T : C.Tiers) {
    findOrAddTier(Out, T.Name);
  }
  for (const LoadRecord &R : Records) {
    const KindSpec *Kind = C.kind(kindId(M.Entries[R.Drawn.Entry].Kind));
    TierResult &T =
        findOrAddTier(Out, Kind == nullptr ? "unknown" : Kind->Tier);
    ++Out.Sent;
    ++T.Sent;
    auto Ran = All.Markers.find(R.Marker);
    uint32_t Runs = Ran == All.Markers.end() ? 0 : Ran->second;
    if (!R.Ended || R.Verdicts.back().empty()) {
      ++Out.Lost;
      addFinding(Out, R, "lost", Runs);
    }
    checkRuns(R, Runs, Out);
    if (R.Ended) {
      addToTier(R, T);
      addToTimeline(R, Out);
    }
  }
  for (const TierResult &T : Out.Tiers) {
    Out.Completed += T.Completed;
  }
  for (const auto &Item : All.RequestIds) {
    if (Item.second > 1) {
      ++Out.DuplicateRuns;
      Out.Findings.push_back("doubled: submission " + Item.first +
                             " was dispatched " + std::to_string(Item.second) +
                             " times");
    }
  }
  return Out;
}

static double quantile(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  size_t I = static_cast<size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(I, Values.size() - 1)];
}

std::string formatResult(const LoadResult &R, double Seconds) {
  std::stringstream Out;
  Out << std::left << std::setw(12) << "tier" << std::right << std::setw(7)
      << "sent" << std::setw(11) << "completed" << std::setw(9) << "not run"
      << std::setw(8) << "unsure" << std::setw(11) << "goodput/s"
      << std::setw(10) << "p50 ms" << std::setw(10) << "p95 ms" << std::setw(14)
      << "first p95 ms"
      << "\n";
  for (const TierResult &T : R.Tiers) {
    Out << std::left << std::setw(12) << T.Tier << std::right << std::setw(7)
        << T.Sent << std::setw(11) << T.Completed << std::setw(9) << T.NotRun
        << std::setw(8) << T.Uncertain << std::fixed << std::setprecision(1)
        << std::setw(11) << T.Completed / Seconds << std::setw(10)
        << quantile(T.TotalMs, 0.5) << std::setw(10)
        << quantile(T.TotalMs, 0.95) << std::setw(14)
        << quantile(T.FirstTokenMs, 0.95) << "\n";
  }
  Out << "prefill tokens " << R.PrefillTokens << ", of them wasted "
      << R.WastedPrefillTokens << ", cached instead " << R.CachedTokens
      << "; output tokens " << R.OutputTokens << "\n";
  Out << "completed in each second:";
  for (uint32_t Count : R.CompletedPerSecond) {
    Out << " " << Count;
  }
  Out << "\n";
  for (const std::string &Finding : R.Findings) {
    Out << Finding << "\n";
  }
  return Out.str();
}

} // namespace shallotlatch
