// Tests of the relay, over sockets, before targets whose answers end after any
// number of bytes: no answer that ends early looks whole, and no event of a
// stream is missing, twice or cut.
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace shallotlatch;
using Action = TargetStep::Action;

namespace {

enum class Framing : uint8_t { Length, Chunks, Close };

/// An answer as a target sends it. Its body is a list of parts, which are whole
/// events in a stream.
struct CutAnswer {
  std::string Head; ///< Up to its empty line, interim heads included.
  std::vector<std::string> Parts;
  Framing Frame;

  std::string encoded(const std::string &Part) const {
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Part.size());
    return this->Frame == Framing::Chunks ? Size + Part + "\r\n" : Part;
  }
  std::string bytes() const {
    std::string All = this->Head;
    for (const std::string &Part : this->Parts) {
      All += this->encoded(Part);
    }
    return All + (this->Frame == Framing::Chunks ? "0\r\n\r\n" : "");
  }
  /// Returns the number of parts that are whole within the first \p Cut bytes.
  size_t wholeParts(size_t Cut) const {
    size_t Count = 0;
    size_t End = this->Head.size();
    for (const std::string &Part : this->Parts) {
      // The line end after a chunk tells nothing more of the part in it.
      size_t LineEnd = this->Frame == Framing::Chunks ? 2 : 0;
      End += this->encoded(Part).size();
      Count += End - LineEnd <= Cut ? 1 : 0;
    }
    return Count;
  }
};

std::string joined(const std::vector<std::string> &Parts, size_t Count) {
  std::string Text;
  for (size_t I = 0; I < Count; ++I) {
    Text += Parts[I];
  }
  return Text;
}

/// \p Odd: an interim head comes first, and a field goes on in a second line.
CutAnswer makeAnswer(const std::vector<std::string> &Parts, Framing Frame,
                     const char *Type, bool Odd) {
  CutAnswer A{"", Parts, Frame};
  if (Odd) {
    A.Head = "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n";
  }
  A.Head += "HTTP/1.1 200 OK\r\nX-Id: @ID@\r\nX-Stamp: s1\r\nContent-Type: ";
  A.Head += std::string(Type) + "\r\n";
  A.Head += Odd ? "X-Folded: a\r\n b\nX-Bare: c\n" : "";
  if (Frame == Framing::Length) {
    A.Head += "Content-Length: " +
              std::to_string(joined(Parts, Parts.size()).size()) + "\r\n";
  } else if (Frame == Framing::Chunks) {
    A.Head += "Transfer-Encoding: chunked\r\n";
  }
  A.Head += "\r\n";
  return A;
}

/// What a caller received, without its framing.
struct ReceivedAnswer {
  int Status = 0;
  std::string Body;
  bool Whole = false; ///< As its length or its last chunk says.

  explicit ReceivedAnswer(const std::string &Bytes) {
    size_t At = Bytes.find("\r\n\r\n");
    if (At == std::string::npos) {
      return;
    }
    this->Status = static_cast<int>(strtol(Bytes.c_str() + 9, nullptr, 10));
    std::string Rest = Bytes.substr(At + 4);
    size_t Length = Bytes.find("Content-Length: ");
    if (Length < At) {
      this->Body = Rest;
      this->Whole = Rest.size() == strtoul(&Bytes[Length + 16], nullptr, 10);
      return;
    }
    char *End = nullptr;
    for (size_t From = 0; From < Rest.size();) {
      size_t Size = strtoul(&Rest[From], &End, 16);
      From = static_cast<size_t>(End - Rest.data()) + 2;
      this->Whole = Size == 0 && From + 2 == Rest.size();
      this->Body += Rest.substr(From, Size);
      From += Size + 2;
    }
  }
};

} // namespace

TEST_GROUP(CutAnswers) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  int Number = 0;
  std::string What; ///< The case, for messages.
  const std::vector<std::string> Events = {"id: 2\ndata: e2\n\n",
                                           "id: 3\ndata: e3\ndata: f3\n\n",
                                           "id: 4\ndata:\n\n"};

  /// Sends a request to one new target, which sends the first \p Cut bytes of
  /// \p A. With \p Begun, to a target before it that broke the stream off.
  ReceivedAnswer receive(const std::string &Path, const CutAnswer &A,
                         size_t Cut, Action End, bool Begun) {
    // A relay sends only so many requests again.
    if (this->Number % 50 == 0) {
      this->H = std::make_unique<RelayHarness>();
    }
    // Four digits, as the mark has four, so that all answers have one length.
    std::string Id = std::to_string(1000 + ++this->Number);
    std::string Bytes = A.bytes();
    Bytes.replace(Bytes.find("@ID@"), 4, Id);
    TargetStep Last{Bytes.substr(0, Cut), End, false};
    TargetStep First{streamAnswerHead() + streamEventChunk(1) + "6\r\nid: 2\n",
                     Action::Close, false};
    ScriptedTarget &One = this->H->target("i-a" + Id);
    One.Steps = {Begun ? First : Last};
    size_t Caller = this->H->connect();
    this->H->send(Caller, "POST " + Path + Id +
                              " HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                              "\r\nX-Deadline: 20000\r\nAuthorization: Token "
                              "good\r\nContent-Length: 0\r\n\r\n");
    ScriptedTarget *Other = &One;
    if (Begun) {
      CHECK(this->H->runUntil([&] { return !One.Requests.empty(); }));
      Other = &this->H->target("i-b" + Id);
      Other->Steps = {Last};
    }
    bool Ended = this->H->runUntil([&] {
      return this->H->closed(Caller) ||
             ReceivedAnswer(this->H->received(Caller)).Whole;
    });
    CHECK_TEXT(Ended, this->What.c_str());
    CHECK_EQUAL_TEXT(1, Other->Requests.size(), this->What.c_str());
    ReceivedAnswer Received(this->H->received(Caller));
    this->H->close(Caller);
    this->H->relay().removeTarget("i-a" + Id);
    this->H->relay().removeTarget("i-b" + Id);
    return Received;
  }

  /// Cuts answers with \p Parts after each byte and passes what a caller
  /// received to \p Check.
  template <typename Checker>
  void forEachCut(const std::string &Path, const char *Type, bool Begun,
                  const std::vector<std::string> &Parts, Checker Check) {
    for (Framing Frame : {Framing::Length, Framing::Chunks, Framing::Close}) {
      for (bool Odd : {false, true}) {
        CutAnswer A = makeAnswer(Parts, Frame, Type, Odd);
        for (Action End : {Action::Close, Action::Reset}) {
          for (size_t Cut = 0; Cut <= A.bytes().size(); ++Cut) {
            this->What = Path + " framing " +
                         std::to_string(static_cast<int>(Frame)) +
                         (Odd ? " odd" : "") +
                         (End == Action::Reset ? " reset" : " closed") +
                         " after " + std::to_string(Cut);
            Check(A, Cut, End, this->receive(Path, A, Cut, End, Begun));
          }
        }
      }
    }
  }

  /// Whether an answer that ends after \p Cut bytes may look whole.
  static bool mayBeWhole(const CutAnswer &A, size_t Cut, Action End) {
    bool AtClose = A.Frame == Framing::Close;
    return AtClose ? End == Action::Close && Cut >= A.Head.size()
                   : Cut == A.bytes().size();
  }

  void checkStream(const std::string &Path, bool Begun) {
    this->forEachCut(
        Path, "text/event-stream", Begun, this->Events,
        [&](const CutAnswer &A, size_t Cut, Action End,
            const ReceivedAnswer &R) {
          size_t Whole = A.wholeParts(Cut);
          std::string Before = Begun ? "id: 1\ndata: e1\n\n" : "";
          std::string Sent = Before + joined(this->Events, Whole);
          const char *Text = this->What.c_str();
          if (R.Status == 502) {
            CHECK_TEXT(!Begun && (Whole == 0 || End == Action::Reset), Text);
            return;
          }
          // What was read just before a break need not reach the caller.
          CHECK_EQUAL_TEXT(0, Sent.compare(0, R.Body.size(), R.Body), Text);
          bool AtEventEnd = R.Body.empty() || R.Body.size() == Before.size();
          for (size_t I = 1; I <= Whole; ++I) {
            size_t Bytes = Before.size() + joined(this->Events, I).size();
            AtEventEnd = AtEventEnd || R.Body.size() == Bytes;
          }
          CHECK_TEXT(AtEventEnd, Text);
          size_t WholeBytes =
              A.Head.size() + joined(this->Events, Whole).size();
          bool MayBeWhole =
              mayBeWhole(A, Cut, End) &&
              (A.Frame != Framing::Close || (Whole > 0 && WholeBytes == Cut));
          CHECK_TEXT(!R.Whole || (MayBeWhole && R.Body == Sent), Text);
          CHECK_TEXT(R.Whole || !MayBeWhole || End == Action::Reset, Text);
        });
  }
};

TEST(CutAnswers, aPlainAnswerThatEndsEarlyIsNotWhole) {
  std::vector<std::string> Parts = {"{\"a\":", "[1,2]}\n"};
  forEachCut(
      "/once/", "application/json", false, Parts,
      [&](const CutAnswer &A, size_t Cut, Action End, const ReceivedAnswer &R) {
        const char *Text = What.c_str();
        CHECK_TEXT(R.Whole, Text);
        if (R.Status != 200) {
          CHECK_EQUAL_TEXT(502, R.Status, Text);
          CHECK_TEXT(!mayBeWhole(A, Cut, End) || End == Action::Reset, Text);
          return;
        }
        CHECK_TEXT(mayBeWhole(A, Cut, End), Text);
        std::string Whole = joined(Parts, 2);
        size_t Length =
            A.Frame == Framing::Close ? Cut - A.Head.size() : Whole.size();
        STRCMP_EQUAL_TEXT(Whole.substr(0, Length).c_str(), R.Body.c_str(),
                          Text);
      });
}

TEST(CutAnswers, aStreamThatEndsEarlyIsNotWhole) {
  checkStream("/stream/", false);
}

TEST(CutAnswers, aStreamThatGoesOnAndEndsEarlyIsNotWhole) {
  checkStream("/again/", true);
}
