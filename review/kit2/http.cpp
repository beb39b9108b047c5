#include "http.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace review2 {

const std::string &Message::field(const std::string &Name) const {
  static const std::string None;
  auto It = this->Fields.find(Name);
  return It == this->Fields.end() ? None : It->second;
}

static void readFields(const std::string &Head, Message &M) {
  size_t At = Head.find("\r\n");
  while (At != std::string::npos && At + 2 < Head.size()) {
    size_t Begin = At + 2;
    At = Head.find("\r\n", Begin);
    std::string Line = Head.substr(
        Begin, At == std::string::npos ? std::string::npos : At - Begin);
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos) {
      continue;
    }
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    size_t Value = Line.find_first_not_of(' ', Colon + 1);
    M.Fields[Name] = Value == std::string::npos ? "" : Line.substr(Value);
  }
}

std::optional<Message> takeRequest(std::string &Bytes) {
  size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos) {
    return std::nullopt;
  }
  Message M;
  std::string Head = Bytes.substr(0, End);
  readFields(Head, M);
  size_t Length = strtoul(M.field("content-length").c_str(), nullptr, 10);
  if (Bytes.size() < End + 4 + Length) {
    return std::nullopt;
  }
  size_t Space = Head.find(' ');
  M.Method = Head.substr(0, Space);
  M.Target = Head.substr(Space + 1, Head.find(' ', Space + 1) - Space - 1);
  M.Body = Bytes.substr(End + 4, Length);
  Bytes.erase(0, End + 4 + Length);
  return M;
}

bool AnswerReader::readHead(std::string &Bytes) {
  size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos) {
    return false;
  }
  this->Answer = Message();
  std::string Head = Bytes.substr(0, End);
  Bytes.erase(0, End + 4);
  this->Answer.Status = Head.size() > 9 ? atoi(Head.c_str() + 9) : 0;
  readFields(Head, this->Answer);
  this->HeadDone = true;
  this->Chunked = this->Answer.field("transfer-encoding") == "chunked";
  this->Left =
      strtoul(this->Answer.field("content-length").c_str(), nullptr, 10);
  return true;
}

bool AnswerReader::feed(std::string &Bytes) {
  if (this->Complete || (!this->HeadDone && !this->readHead(Bytes))) {
    return this->Complete;
  }
  while (!this->Complete) {
    if (!this->Chunked || this->InChunk) {
      size_t Part = std::min(this->Left, Bytes.size());
      this->Answer.Body += Bytes.substr(0, Part);
      Bytes.erase(0, Part);
      this->Left -= Part;
      if (this->Left > 0) {
        return false;
      }
      if (!this->Chunked) {
        this->Complete = true;
        return true;
      }
      if (Bytes.size() < 2) {
        return false;
      }
      Bytes.erase(0, 2);
      this->InChunk = false;
    }
    size_t Line = Bytes.find("\r\n");
    if (Line == std::string::npos) {
      return false;
    }
    this->Left = strtoul(Bytes.c_str(), nullptr, 16);
    if (this->Left == 0) {
      if (Bytes.size() < Line + 4) {
        return false;
      }
      Bytes.erase(0, Line + 4);
      this->Complete = true;
      return true;
    }
    Bytes.erase(0, Line + 2);
    this->InChunk = true;
  }
  return true;
}

std::string queryOf(const std::string &Target, const std::string &Name) {
  size_t At = Target.find('?');
  while (At != std::string::npos) {
    size_t Begin = At + 1;
    At = Target.find('&', Begin);
    std::string Pair = Target.substr(
        Begin, At == std::string::npos ? std::string::npos : At - Begin);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0) {
      return Pair.substr(Name.size() + 1);
    }
  }
  return "";
}

std::string chunk(const std::string &Bytes) {
  char Size[24];
  snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

} // namespace review2
