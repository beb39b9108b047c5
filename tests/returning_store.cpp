#include "returning_fleet.h"

namespace shallotlatch {

void ReturningStore::put(DirectoryKind Kind, DirectoryObject Object) {
  Object.Revision = ++this->Current.Revision;
  this->Current.Objects[static_cast<size_t>(Kind)][Object.Name] = {
      Object.Revision, Object};
  this->Current.History.push_back({Kind, std::move(Object)});
}

void ReturningStore::erase(DirectoryKind Kind, const std::string &Name) {
  if (this->Current.Objects[static_cast<size_t>(Kind)].erase(Name) == 0) {
    return;
  }
  DirectoryObject Gone;
  Gone.Name = Name;
  Gone.Deleted = true;
  Gone.Revision = ++this->Current.Revision;
  this->Current.History.push_back({Kind, Gone});
}

void ReturningStore::copy(Time Now) {
  this->Current.TakenAt = Now;
  this->Copies.push_back(this->Current);
  while (this->Copies.size() > 60) {
    this->Copies.pop_front();
  }
}

void ReturningStore::restore(Duration Age, Time Now) {
  while (this->Copies.size() > 1 && Now - this->Copies.back().TakenAt < Age) {
    this->Copies.pop_back();
  }
  this->Current = this->Copies.back();
  ++this->Era;
}

DirectoryReply ReturningStore::list(DirectoryKind Kind,
                                    const std::string &After,
                                    size_t PageSize) const {
  const auto &All = this->Current.Objects[static_cast<size_t>(Kind)];
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.Era = this->Era;
  R.StoreRevision = this->Current.Revision;
  for (auto It = After.empty() ? All.begin() : All.upper_bound(After);
       It != All.end(); ++It) {
    R.HasMore = PageSize != 0 && R.Objects.size() == PageSize;
    if (R.HasMore) {
      break;
    }
    R.Objects.push_back(It->second.Content);
  }
  return R;
}

bool ReturningStore::watch(DirectoryKind Kind, uint64_t Since, bool Final,
                           DirectoryReply &Reply) const {
  Reply.Era = this->Era;
  Reply.StoreRevision = this->Current.Revision;
  Reply.Result = DirectoryReply::Status::Ok;
  if (Since > this->Current.Revision) {
    Reply.Result = DirectoryReply::Status::HistoryGone;
    return true;
  }
  for (const Change &C : this->Current.History) {
    if (C.Kind == Kind && C.Object.Revision > Since) {
      Reply.Objects.push_back(C.Object);
    }
  }
  return Final || !Reply.Objects.empty();
}

bool ReturningStore::holds(DirectoryKind Kind, const std::string &Name) const {
  return this->Current.Objects[static_cast<size_t>(Kind)].count(Name) != 0;
}

} // namespace shallotlatch
