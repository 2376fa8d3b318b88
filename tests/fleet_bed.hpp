// Many real senders and model destinations in virtual time: what a whole fleet does, counted, without
// sockets.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "quilltide/sender.hpp"

namespace quilltide::testbed {

// One destination with one endpoint. Times are microseconds, rates calls a second from all senders together.
struct Place {
  Micros service = 30'000;                      // from a call's coming to its answer
  int table = std::numeric_limits<int>::max();  // connections that it holds, idle ones counted
  int limit = std::numeric_limits<int>::max();  // calls that it takes in each span
  Micros span = 1'000'000;
  bool refusedCount =
      false;               // refused calls use the limit up, which then holds in any span, not in fixed ones
  bool tellsWait = false;  // a refusal tells the time to the span's end
  Micros downFrom = -1, downTo = -1;  // connections are refused
};

// The directory, where it answers on request: it works through calls in turn, also those whose callers have
// gone, and ends a call that has waited for too long.
struct AskedDirectory {
  Micros each = 0;  // its time for a call; 0: none of its asks is looked at
  Micros patience = 2'000'000;
  Micros free = 0;  // when it is through with all that has come
  std::size_t calls = 0, refused = 0, served = 0;
  Micros lastServed = -1;
};

// What became of the calls in a time of the day.
struct Tally {
  std::size_t arrived = 0, calls = 0, done = 0, full = 0, unreached = 0, handshakes = 0, refused = 0,
              failed = 0;
  std::size_t warned = 0;  // calls of senders that had a call fail to reach it
};

class FleetBed {
 public:
  static constexpr Micros kOneWay = 8'000;
  static constexpr Micros kTally = 500'000;  // a tally for each such time

  FleetBed(int senders, Settings settings, std::map<std::int64_t, Place> places, std::uint64_t seed,
           Micros startSpread = 0)
      : settings_(std::move(settings)), random_(seed) {
    settings_.fleetSize = senders;
    DirectoryView view;
    for (auto& [destination, place] : places) {
      state_[destination].model = place;
      view.entries.push_back({nameOf(destination), destination, 0, 0, 1, Listing::inService});
    }
    for (int i = 0; i < senders; ++i) {
      settings_.me = i;
      senders_.push_back(
          std::make_unique<One>(Sender(settings_, seed * 1'000 + static_cast<std::uint64_t>(i))));
      at(startSpread == 0 ? 0 : static_cast<Micros>(random_() % static_cast<std::uint64_t>(startSpread)),
         [this, &s = *senders_.back(), view] { give(s, view); });
    }
  }

  // Messages of class `cls` for a destination, Poisson at `rate` a second, each at a sender that `who` picks.
  void traffic(std::int64_t destination, double rate, Micros from, Micros to, int cls = 0,
               std::function<std::size_t(std::mt19937_64&)> who = {}) {
    const auto gap = static_cast<Micros>(std::exponential_distribution<double>(rate / 1e6)(random_));
    if (from + gap >= to) return;
    at(from + gap, [=, this] {
      One& s = *senders_[who ? who(random_) : random_() % senders_.size()];
      Arrival a;
      a.id = ++s.lastId;
      a.messageClass = cls;
      a.destination = destination;
      a.left = settings_.classes[static_cast<std::size_t>(cls)].deadline;
      s.to[a.id] = destination;
      ++tally(destination).arrived;
      give(s, a);
      traffic(destination, rate, now_, to, cls, who);
    });
  }

  AskedDirectory directory;

  void run(Micros until) {
    while (!agenda_.empty() && agenda_.begin()->first <= until) {
      now_ = agenda_.begin()->first;
      const auto next = std::move(agenda_.begin()->second);
      agenda_.erase(agenda_.begin());
      next();
    }
    now_ = until;
  }

  Place& place(std::int64_t destination) { return state_.at(destination).model; }
  Micros now() const { return now_; }

  Tally sum(std::int64_t destination, Micros from, Micros to) const {
    Tally all;
    for (auto t = tallies_.lower_bound({destination, from / kTally});
         t != tallies_.end() && t->first < std::pair(destination, to / kTally); ++t) {
      const Tally& one = t->second;
      all.arrived += one.arrived;
      all.calls += one.calls;
      all.warned += one.warned;
      all.done += one.done;
      all.full += one.full;
      all.unreached += one.unreached;
      all.handshakes += one.handshakes;
      all.refused += one.refused;
      all.failed += one.failed;
    }
    return all;
  }

 private:
  struct One {
    explicit One(Sender s) : sender(std::move(s)) {}
    Sender sender;
    MessageId lastId = 0;
    std::map<MessageId, std::int64_t> to;
    std::map<MessageId, int> attempts;
    std::map<std::int64_t, int> idle;  // connections at rest
    std::set<std::int64_t> warned;
    bool asking = false, watching = false;
  };
  struct State {
    Place model;
    int open = 0;
    std::deque<Micros> taken;  // when calls came that count
  };

  static TargetId nameOf(std::int64_t destination) { return "t" + std::to_string(destination); }
  static std::int64_t destinationOf(const TargetId& target) { return std::stoll(target.substr(1)); }
  Tally& tally(std::int64_t destination) { return tallies_[{destination, now_ / kTally}]; }
  void at(Micros when, std::function<void()> what) { agenda_.emplace(when, std::move(what)); }

  void give(One& s, Event event) {
    for (const Action& action : s.sender.round(now_, {std::move(event)})) {
      if (const auto* c = std::get_if<Call>(&action)) {
        send(s, *c);
      } else if (const auto* r = std::get_if<Refuse>(&action)) {
        ++tally(s.to[r->id]).refused;
      } else if (const auto* f = std::get_if<Fail>(&action)) {
        ++tally(s.to[f->id]).failed;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        at(now_ + t->delay, [this, &s, token = t->token] { give(s, TimerDue{token}); });
      } else if (const auto* i = std::get_if<CloseIdle>(&action)) {
        const std::int64_t destination = destinationOf(i->target);
        state_.at(destination).open -= std::exchange(s.idle[destination], 0);
      } else if (std::holds_alternative<Watch>(action) && directory.each > 0 && !s.asking && !s.watching) {
        ask(s);
      }
    }
  }

  void ask(One& s) {
    s.asking = true;
    ++directory.calls;
    directory.free = std::max(now_, directory.free) + directory.each;
    const bool inTime = directory.free <= now_ + directory.patience;
    at(inTime ? directory.free : now_ + directory.patience, [this, &s, inTime] {
      s.asking = false;
      s.watching = inTime;
      ++(inTime ? directory.served : directory.refused);
      if (inTime) directory.lastServed = now_;
      give(s, DirectoryView{inTime ? ViewScope::changes : ViewScope::refused, {}});
    });
  }

  void send(One& s, const Call& call) {
    const std::int64_t destination = destinationOf(call.target);
    State& d = state_.at(destination);
    ++tally(destination).calls;
    if (s.warned.contains(destination)) ++tally(destination).warned;
    Outcome o;
    o.id = call.id;
    o.attempt = s.attempts[call.id]++;
    o.target = call.target;
    const Micros sent = now_;
    const bool kept = s.idle[destination] > 0;
    const bool down = now_ >= d.model.downFrom && now_ < d.model.downTo;
    bool connected = true;
    if (down || (!kept && d.open >= d.model.table)) {
      o.ending = down ? Ending::connectFailed : Ending::busy;
      if (kept) s.idle[destination] = (--d.open, s.idle[destination] - 1);
      connected = false;
    } else {
      if (kept) {
        --s.idle[destination];
      } else {
        ++d.open;
        ++tally(destination).handshakes;
      }
      const Micros from = d.model.refusedCount ? now_ - d.model.span : now_ / d.model.span * d.model.span;
      while (!d.taken.empty() && d.taken.front() < from) d.taken.pop_front();
      o.ending = d.taken.size() < static_cast<std::size_t>(d.model.limit) ? Ending::done : Ending::busy;
      if (o.ending == Ending::done || d.model.refusedCount) d.taken.push_back(now_);
      if (o.ending == Ending::busy && d.model.tellsWait) o.wait = d.taken.front() + d.model.span - now_;
    }
    o.settled = o.ending == Ending::done;
    Tally& counted = tally(destination);
    ++(o.ending == Ending::done ? counted.done : o.ending == Ending::busy ? counted.full : counted.unreached);
    const Micros takes = 2 * kOneWay + (o.ending == Ending::done ? d.model.service : 0);
    at(now_ + takes, [this, &s, o, sent, destination, connected]() mutable {
      if (connected) ++s.idle[destination];
      if (o.ending == Ending::connectFailed) s.warned.insert(destination);
      o.duration = now_ - sent;
      give(s, o);
    });
  }

  Settings settings_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  std::vector<std::unique_ptr<One>> senders_;
  std::map<std::int64_t, State> state_;
  std::multimap<Micros, std::function<void()>> agenda_;
  std::map<std::pair<std::int64_t, Micros>, Tally> tallies_;
};

}  // namespace quilltide::testbed
