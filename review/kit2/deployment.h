// Configuration and requests of a small deployment: one language engine with
// streams that may be resumed, and one plain service.
#ifndef REVIEW_KIT2_DEPLOYMENT_H
#define REVIEW_KIT2_DEPLOYMENT_H

#include "world.h"

namespace review2 {

constexpr const char *EngineService = "reply-engine";
constexpr const char *PlainService = "order-service";

json configuration();
// A request for a stream. Resumes and LastEvent are empty for a new one.
std::string streamRequest(const std::string &Id, int64_t DeadlineMs,
                          const std::string &Resumes = "",
                          const std::string &LastEvent = "");
// A request to the plain service that must not run twice.
std::string orderRequest(const std::string &Id, int64_t DeadlineMs,
                         const std::string &Body);

// Line of the record on a stream that is taken up as attempt Id.
std::string takenUpLine(const std::string &Stream, const std::string &LastEvent,
                        const std::string &Id, const std::string &Machine);

// Version of the software that wrote each event of a stream's body.
std::vector<std::string> versionsOf(const std::string &Body);
// Id of the last whole event; empty if there is none.
std::string lastEventOf(const std::string &Body);

} // namespace review2

#endif
