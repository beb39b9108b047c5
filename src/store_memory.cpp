#include "store_memory_p.h"

namespace shallotlatch {

StoreReply StoreMemory::peek(const std::string &Name) const {
  StoreReply Reply;
  auto It = this->Objects.find(Name);
  bool Found = It != this->Objects.end();
  Reply.Era = this->Era;
  Reply.Result = Found ? StoreReply::Status::Ok : StoreReply::Status::NotFound;
  if (Found) {
    Reply.Number = It->second.Number;
    Reply.Body = It->second.Body;
  }
  return Reply;
}

void StoreMemory::answer(const StoreRequest &Request, const Reply &Done) const {
  StoreReply Reply = this->peek(Request.Name);
  Reply.Token = Request.Token;
  Done(Reply);
}

void StoreMemory::write(const StoreRequest &Request, const Reply &Done) {
  ++this->Writes;
  StoreReply Reply;
  Reply.Token = Request.Token;
  Reply.Era = this->Era;
  Object &O = this->Objects[Request.Name];
  if (O.Number != Request.Expected) {
    Reply.Result = StoreReply::Status::Conflict;
    if (!O.Number.isValid()) {
      this->Objects.erase(Request.Name);
    }
    Done(Reply);
    return;
  }
  ++O.Number.Value;
  O.Body = Request.Body;
  Reply.Result = StoreReply::Status::Ok;
  Reply.Number = O.Number;
  Done(Reply);
  std::vector<Watcher> Rest;
  std::vector<Watcher> Due;
  for (Watcher &W : this->Watchers) {
    (W.Request.Name == Request.Name ? Due : Rest).push_back(std::move(W));
  }
  this->Watchers = std::move(Rest);
  for (const Watcher &W : Due) {
    this->answer(W.Request, W.Done);
  }
}

void StoreMemory::call(const StoreRequest &Request, Reply Done) {
  if (Request.Kind == StoreRequest::Op::Write) {
    this->write(Request, Done);
    return;
  }
  ++this->Reads;
  bool Waits = Request.Kind == StoreRequest::Op::Watch &&
               this->peek(Request.Name).Number == Request.Expected;
  if (Waits) {
    this->Watchers.push_back(Watcher{Request, std::move(Done)});
    return;
  }
  this->answer(Request, Done);
}

void StoreMemory::restore() {
  this->Objects = this->Copied;
  ++this->Era;
  this->endWatches(StoreReply::Status::Unavailable);
}

void StoreMemory::endWatches(StoreReply::Status Result) {
  std::vector<Watcher> Due;
  Due.swap(this->Watchers);
  for (const Watcher &W : Due) {
    StoreReply Reply;
    Reply.Token = W.Request.Token;
    Reply.Era = this->Era;
    Reply.Result = Result;
    W.Done(Reply);
  }
}

} // namespace shallotlatch
