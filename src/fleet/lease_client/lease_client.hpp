// A member's side of its session and leases: what to ask the coordinators when, and until when it may act. No
// I/O; time is told, by a clock that runs on while the process stands still and is off by at most `drift`.
//
// What a lease alone cannot do: between mayAct() and the act itself a process may be paused for any time, and
// wake when the lease is somebody else's. Nothing here can prevent that. So each act has to go through
// something that knows the token and refuses an older one: a Put with a fence in the coordinators' log, a
// journal's owner epoch, a partner that keeps the highest token seen. mayAct() makes such refusals rare; it
// does not replace them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {

class LeaseClient {
 public:
  struct Settings {
    std::string name;           // of the member
    std::string nonce;          // of this process: drawn at its start, not kept over one
    Micros ttl = 10'000'000;    // the term
    double drift = 0.01;        // as the coordinators have it
    double renewAt = 1.0 / 3;   // part of the term after which it is renewed
    double warnAt = 1.0 / 3;    // part of the term left when a holder that could not renew is told
    Micros answer = 1'000'000;  // a request without an answer for so long is asked again
    Micros retry = 50'000, longestRetry = 1'000'000;  // pause after a failure, doubled up to the longest
    std::uint64_t seed = 1;                           // of the jitter
  };
  explicit LeaseClient(const Settings& settings);

  // ---- What the process wants ----
  // Stands in line for it, and again whenever it is lost. In turns: for this one a holder of long is called
  // back. Else it waits for as long as the holder keeps it.
  void want(const std::string& lease, bool turns = true);
  void giveBack(const std::string& lease);  // from now on it may not act; the next one gets it at once
  void transfer(const std::string& lease, const std::string& to);
  // A write to the coordinators' values; its outcome comes as Event::wrote with the number returned here.
  // With `fence` it counts only while this member's grant of that lease is in force; without holding it there
  // is no write (0).
  std::uint64_t put(const std::string& key, const std::optional<std::string>& value,
                    std::optional<std::uint64_t> ifVersion = {}, const std::string& fence = "");
  void close();  // gives all back likewise; nothing is asked for after that

  // ---- What it may do ----
  // The grant's token, if it holds for `need` more from `now`.
  std::optional<Token> mayAct(const std::string& lease, Micros now, Micros need = 0) const;
  bool holds(const std::string& lease, Micros now) const { return mayAct(lease, now).has_value(); }

  struct Event {
    enum class Kind {
      gained,    // `token`, and `left` of its term
      ending,    // could not be renewed, `left` of its term: stop what takes longer
      recalled,  // others wait and it has been had for long: give back within `left`
      lost,      // over; nothing may be done any more
      wrote,     // `number` and `result` of a put
      opened,
      sessionLost
    };
    Kind kind;
    std::string lease;
    Token token = 0;
    Micros left = 0;
    std::uint64_t number = 0;
    Result result;
  };
  // What has happened since the last call, ends by the clock included.
  std::vector<Event> take(Micros now);

  // ---- What passes between it and the coordinators ----
  struct Request {
    std::uint64_t tag = 0;
    Command command;
  };
  // What is to be sent now. At most one renewal and one other request are out at a time.
  std::vector<Request> send(Micros now);
  // Answers to what was given up are ignored.
  void answered(std::uint64_t tag, const Result& result, Micros now);
  void failed(std::uint64_t tag, Micros now);  // no answer, or from one that does not lead
  void hint(Micros now);                       // the coordinators say that something has changed
  bool waits() const;                          // stands in a line: worth listening for
  // When to call send() and take() again at the latest.
  Micros next(Micros now) const;

  SessionId session() const { return session_; }
  Index seen() const { return lastRenewal_; }  // the entry up to which its holdings are known
  bool closed() const { return closing_ && queue_.empty() && !control_; }
  // Times the coordinators had ended what still was in force by this clock: after a restore, or a clock was
  // off by more than drift.
  std::size_t violations() const { return violations_; }

 private:
  struct Held {
    Token token = 0;
    Index index = 0;   // of the answer that told of it
    Micros until = 0;  // by this clock; of one that is not recalled: the session's
    bool recalled = false, warned = false;
  };
  struct Asked {  // in the queue, in order
    Command command;
    std::uint64_t number = 0;  // of a put
  };
  struct Out {
    std::uint64_t tag = 0;
    Micros sent = 0;
  };
  Micros term() const;
  void ask(const std::string& lease);
  void loseSession(Micros now);
  void lose(const std::string& lease, Micros now, bool byCoordinators);
  void gain(const std::string& lease, Token token, Index index, Micros now);
  void renewed(const Renewed& told, Index index, Micros sent, Micros now);
  void controlAnswered(const Result& result, Micros sent, Micros now);
  bool leaving(const std::string& lease) const;  // a release or a transfer of it is not answered yet
  void pauseAfterFailure(Micros now);
  Micros jitter(Micros most);

  Settings settings_;
  std::uint64_t random_;
  SessionId session_ = 0;
  std::uint64_t opened_ = 0;  // sessions so far, for the nonce
  Micros openFirstSent_ = 0;  // of the session that is being opened; 0: none is
  Micros until_ = 0;          // of the session
  Index lastRenewal_ = 0;
  Micros renewAt_ = 0, controlAt_ = 0;
  Micros pause_ = 0;
  std::optional<Out> renewal_, control_;
  std::deque<Asked> queue_;
  std::uint64_t lastTag_ = 0, lastRequest_ = 0, lastNumber_ = 0;
  std::map<std::string, bool> wanted_;  // in turns or not
  std::set<std::string> waiting_;       // asked for, and not had yet
  std::map<std::string, Held> held_;
  std::map<std::string, Index> leftAt_;  // the entry that gave it back: older news of it is no news
  std::vector<Event> events_;
  bool closing_ = false;
  std::size_t violations_ = 0;
};

}  // namespace quilltide::fleet
