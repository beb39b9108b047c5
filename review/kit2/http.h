// HTTP/1.1 messages as the stand-ins read them.
#ifndef REVIEW_KIT2_HTTP_H
#define REVIEW_KIT2_HTTP_H

#include <map>
#include <optional>
#include <string>

namespace review2 {

struct Message {
  std::string Method; // Of a request.
  std::string Target;
  int Status = 0;                            // Of an answer.
  std::map<std::string, std::string> Fields; // Names in lower case.
  std::string Body;
  const std::string &field(const std::string &Name) const;
};

// Takes one whole request from the front of Bytes.
std::optional<Message> takeRequest(std::string &Bytes);

// Reads one answer as its bytes arrive.
class AnswerReader {
public:
  // Consumes what belongs to the answer. Returns whether it is complete.
  bool feed(std::string &Bytes);
  bool headDone() const { return this->HeadDone; }
  bool complete() const { return this->Complete; }
  Message Answer;

private:
  bool readHead(std::string &Bytes);
  bool HeadDone = false;
  bool Complete = false;
  bool Chunked = false;
  size_t Left = 0; // Of the body or the present chunk.
  bool InChunk = false;
};

std::string queryOf(const std::string &Target, const std::string &Name);
std::string chunk(const std::string &Bytes);

} // namespace review2

#endif
