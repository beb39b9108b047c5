// Which objects of the store a host takes over, and how long it keeps those
// that the store no longer shows.
#include "directory_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Returns the time until which missing objects of a kind are kept: after an
// outage, entries of live targets that could not renew them are missing for a
// while, and after a return from a copy, those of hosts as well.
Time FleetDirectory::graceEnd(DirectoryKind Kind) const {
  switch (Kind) {
  case DirectoryKind::Targets:
    return this->LapseGraceEnd;
  case DirectoryKind::Hosts:
    return this->HostGraceEnd;
  case DirectoryKind::Config:
  case DirectoryKind::Rollouts:
    break;
  }
  return Time();
}

void FleetDirectory::removeUnlisted(DirectoryKind Kind,
                                    const std::string &Name) {
  Feed &F = this->feed(Kind);
  if (Kind == DirectoryKind::Hosts && Name == this->Self.Name) {
    F.Objects.erase(Name);
    this->registerLater();
  } else if (this->Now >= this->graceEnd(Kind)) {
    F.PendingRemovals.erase(Name);
    this->remove(Kind, Name);
  } else if (F.Objects.count(Name) != 0) {
    F.PendingRemovals[Name] = this->graceEnd(Kind);
  }
}

void FleetDirectory::remove(DirectoryKind Kind, const std::string &Name) {
  Feed &F = this->feed(Kind);
  auto It = F.Objects.find(Name);
  if (It == F.Objects.end()) {
    return;
  }
  int64_t StartedAtMs = It->second.Stamp.StartedAtMs;
  F.Objects.erase(It);
  if (Kind == DirectoryKind::Targets) {
    this->Departed.record(Name, StartedAtMs, this->Now);
    this->Events.onTargetGone(Name);
  } else if (Kind == DirectoryKind::Hosts) {
    this->Events.onHostGone(Name);
  } else if (Kind == DirectoryKind::Rollouts) {
    this->Events.onRolloutGone(Name);
  }
}

// Soon after a return, the list may show entries of the copy that their targets
// have replaced since, or that belong to targets that left.
bool FleetDirectory::isOutdated(const DirectoryObject &Object,
                                bool Listed) const {
  if (!Object.Target || this->Now >= this->CopyGraceEnd) {
    return false;
  }
  TargetStamp Stamp = stampOf(*Object.Target);
  const Feed &F = this->Feeds[index(DirectoryKind::Targets)];
  auto Known = F.Objects.find(Object.Name);
  return (Known != F.Objects.end() && Stamp < Known->second.Stamp) ||
         (Listed && this->Departed.covers(Object.Name, Stamp.StartedAtMs));
}

static uint64_t contentOf(const DirectoryObject &Object) {
  std::string Text;
  if (Object.Target) {
    const TargetEntry &T = *Object.Target;
    Text = T.At.text() + " " + T.Domain + " " + std::to_string(T.Slots) + " " +
           std::to_string(T.Leaving) + " " + std::to_string(T.StartedAtMs) +
           " " + std::to_string(T.Service.Value) + " " + T.Software;
  } else if (Object.Host) {
    const FleetHost &H = *Object.Host;
    Text = H.At.text() + " " + H.Domain + " " + std::to_string(H.Run) + " " +
           std::to_string(H.Cores);
  }
  return hash64(Text);
}

void FleetDirectory::apply(DirectoryKind Kind, const DirectoryObject &Object) {
  Feed &F = this->feed(Kind);
  auto Existing = F.Objects.find(Object.Name);
  if (Object.Deleted) {
    // A list may have shown the object as it was put again after its removal.
    if (Existing == F.Objects.end() ||
        Existing->second.Revision <= Object.Revision) {
      this->removeUnlisted(Kind, Object.Name);
    }
    return;
  }
  F.PendingRemovals.erase(Object.Name);
  if (Existing != F.Objects.end() &&
      Existing->second.Revision >= Object.Revision) {
    // A list repeats known objects, and may be older than a watch.
    return;
  }
  if (!Object.ParseError.empty()) {
    logImportantEvent("object-unreadable", {{"kind", name(Kind)},
                                            {"name", Object.Name},
                                            {"revision", Object.Revision},
                                            {"mistake", Object.ParseError}});
    this->remove(Kind, Object.Name);
    return;
  }
  if (this->isOutdated(Object, F.Listing)) {
    logEvent("object-outdated", {{"kind", name(Kind)},
                                 {"name", Object.Name},
                                 {"revision", Object.Revision}});
    return;
  }
  KnownObject Next;
  Next.Revision = Object.Revision;
  Next.Content = contentOf(Object);
  if (Object.Target) {
    Next.Stamp = stampOf(*Object.Target);
  }
  // A new era shows again what is known, and hosts write their entries again.
  bool Same =
      Existing != F.Objects.end() && Existing->second.Content == Next.Content &&
      (Object.Host || Existing->second.Revision == 0) && !Object.Rollout;
  F.Objects[Object.Name] = Next;
  F.Revision = std::max(F.Revision, Object.Revision);
  if (Object.Config) {
    this->applyConfig(Object);
  } else if (Object.Host) {
    this->Eras.recordSettled(Object.Host->SettledEra);
    if (Object.Name == this->Self.Name && Object.Host->Run != this->Self.Run) {
      // The entry is that of an earlier run of this host and is replaced.
      this->Registered = false;
    }
  }
  if (Same) {
    return;
  }
  if (Object.Target) {
    this->Events.onTarget(*Object.Target);
  } else if (Object.Host) {
    this->Events.onHost(*Object.Host);
  } else if (Object.Rollout) {
    this->Events.onRollout(*Object.Rollout, F.Synced);
  }
}

// The watch after a list of several pages repeats changes that some of the
// pages reflect already. An object that was put and removed since is not
// reported.
void FleetDirectory::applyChanges(DirectoryKind Kind,
                                  const std::vector<DirectoryObject> &Changes) {
  std::map<std::string, const DirectoryObject *> Last;
  for (const DirectoryObject &Object : Changes) {
    Last[Object.Name] = &Object;
  }
  for (const DirectoryObject &Object : Changes) {
    if (Last[Object.Name] == &Object) {
      this->apply(Kind, Object);
    }
  }
}

// Each page reflects a revision of its own. What changes in the range of an
// earlier page after that was read is in no page, so the watch starts from the
// earliest of these revisions.
bool FleetDirectory::applyPage(DirectoryKind Kind, const DirectoryReply &Page) {
  Feed &F = this->feed(Kind);
  if (!F.List.begun()) {
    F.List.StartedAt = F.CallStartedAt;
  }
  F.List.Revision = std::min(F.List.Revision, Page.StoreRevision);
  for (const DirectoryObject &Object : Page.Objects) {
    F.List.Names.insert(Object.Name);
    this->apply(Kind, Object);
  }
  if (Page.HasMore && !Page.Objects.empty()) {
    F.List.After = Page.Objects.back().Name;
    return false;
  }
  return true;
}

} // namespace shallotlatch
