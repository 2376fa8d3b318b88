#include "forwarder.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace quilltide::net {
namespace {

using boost::system::error_code;

constexpr Micros kRetryWrite = 50'000;
constexpr auto kLastAnswers = std::chrono::milliseconds(30);

Micros steadyNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
Micros wallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool provesNothingRan(Ending ending) {
  return ending == Ending::busy || ending == Ending::connectFailed || ending == Ending::skipped;
}

std::string busy(Micros pause) {
  return pause > 0 ? "-BUSY " + std::to_string((pause + 999) / 1000) : "-BUSY";
}

}  // namespace

Forwarder::Forwarder(boost::asio::io_context& io, const Config& config)
    : io_(io),
      settings_(config.settings),
      journal_(config.stateFolder, config.diskBytes),
      sender_(config.settings, config.seed),
      targets_(
          io, config, [this](const Outcome& o) { onOutcome(o); }, [this](MessageId id) { onLate(id); }),
      discovery_(
          io, config, [this](std::optional<Directory> d) { onDirectory(std::move(d)); },
          [this](const std::vector<std::string>& ids) { onNoticed(ids); }),
      intake_(io, config,
              [this](Submission s, Intake::Answer answer) { submit(std::move(s), std::move(answer)); }),
      tick_(io),
      drain_(io) {
  for (const ClassSettings& c : settings_.classes) keepDestination_ = std::max(keepDestination_, c.deadline);
  learn(config.known);
  events_.push_back(config.known.view);
}

void Forwarder::start() {
  recover();
  round();
  intake_.listen();
}

// New work goes on to be journalled: few clients hand in again what is refused, and the successor has it.
void Forwarder::drain(std::chrono::milliseconds until, std::function<void()> drained) {
  events_.push_back(Draining{std::chrono::duration_cast<std::chrono::microseconds>(until).count()});
  schedule(steadyNow());
  drain_.expires_after(until);
  drain_.async_wait([this, drained = std::move(drained)](error_code error) {
    if (error) return;
    intake_.finish();
    round();
    drain_.expires_after(kLastAnswers);
    drain_.async_wait([drained](error_code cancelled) {
      if (!cancelled) drained();
    });
  });
}

// ---- What comes in ----

// A call that was out when the process ended may have run, and its attempt counts.
void Forwarder::recover() {
  const Micros wall = wallNow();
  std::size_t resumed = 0;
  for (auto& [id, owed] : journal_.owed()) {
    owed->handle = newHandle(id);
    if (owed->notice) {
      ++noticed_;
      discovery_.notice(id, *owed->notice);
      continue;
    }
    Arrival a;
    a.id = owed->handle;
    a.messageClass = owed->messageClass;
    a.destination = owed->destination;
    a.left = std::max<Micros>(0, owed->deadline - wall);
    Recovered past;
    for (const auto& [number, attempt] : owed->attempts) {
      past.attempts = std::max(past.attempts, number + 1);
      if (attempt.neverRan || (past.mayHaveRun && attempt.sent >= wall - past.riskAge)) continue;
      past.mayHaveRun = true;
      past.riskAge = std::max<Micros>(0, wall - attempt.sent);
      past.riskTarget = attempt.target;
    }
    attempts_[owed->handle] = past.attempts;
    a.recovered = past;
    events_.push_back(a);
    ++resumed;
  }
  if (resumed + noticed_ > 0) {
    std::cerr << "recovered " << resumed << " messages and " << noticed_ << " notices" << std::endl;
  }
}

void Forwarder::submit(Submission message, Intake::Answer answer) {
  if (const auto at = arrivingById_.find(message.id); at != arrivingById_.end()) {
    arriving_.at(at->second).answers.push_back(std::move(answer));
    return;
  }
  // The same request once more, over a connection that closed under it: it was taken on already.
  if (journal_.find(message.id) != nullptr || journal_.endedLately(message.id)) return answer("+OK");
  if (!destinations_.contains(message.destination)) return answer("-ERR unknown destination");
  const std::size_t open = journal_.owed().size() - noticed_ + arriving_.size();
  if (open >= static_cast<std::size_t>(settings_.maxOpen)) return answer(busy(0));
  std::size_t arrivingBytes = 0;
  for (const auto& [handle, other] : arriving_) arrivingBytes += other.message.body.size() + 8'000;
  if (!journal_.hasRoom(message.id.size(), message.key.size(), message.body.size() + arrivingBytes))
    return answer(busy(settings_.maxRetryAfter));
  Arrival a;
  a.id = newHandle(message.id);
  a.messageClass = message.messageClass;
  a.destination = message.destination;
  a.left = message.left;
  events_.push_back(a);
  arrivingById_[message.id] = a.id;
  Arriving& place = arriving_[a.id];
  place.message = std::move(message);
  place.message.left += wallNow();  // from here on the time when it is up
  place.answers.push_back(std::move(answer));
  schedule(steadyNow());
}

void Forwarder::onOutcome(const Outcome& outcome) {
  if (Owed* owed = owedOf(outcome.id)) {
    if (outcome.settled) {
      release(owed->id);
    } else if (provesNothingRan(outcome.ending)) {
      journal_.neverRan(*owed, outcome.attempt);
    }
    if (!journal_.commit()) std::cerr << "an outcome is not on disk yet" << std::endl;
  }
  events_.push_back(outcome);
  schedule(steadyNow());
}

// Delivered after all, when its time-out had been told: nobody is owed anything any more.
void Forwarder::onLate(MessageId handle) {
  Owed* owed = owedOf(handle);
  if (owed == nullptr || owed->notice) return;
  release(owed->id);
  if (!journal_.commit()) std::cerr << "an end is not on disk yet" << std::endl;
  events_.push_back(Gone{handle});
  schedule(steadyNow());
}

// A destination whose last target has gone may soon have another: messages for it are taken on for as long as
// one could wait.
void Forwarder::learn(const Directory& directory) {
  targets_.learn(directory);
  const Micros now = steadyNow();
  for (const std::int64_t destination : targets_.destinations()) destinations_[destination] = now;
  std::erase_if(destinations_, [&](const auto& d) { return d.second < now - keepDestination_; });
}

void Forwarder::onDirectory(std::optional<Directory> directory) {
  if (!directory) {
    events_.push_back(DirectoryView{ViewScope::refused, {}});
  } else {
    learn(*directory);
    events_.push_back(std::move(directory->view));
  }
  schedule(steadyNow());
}

void Forwarder::onNoticed(const std::vector<std::string>& ids) {
  for (const std::string& id : ids) {
    release(id);
  }
  if (!journal_.commit()) std::cerr << "an acknowledged notice is not on disk yet" << std::endl;
}

// ---- The round ----

void Forwarder::schedule(Micros at) {
  const Micros period = settings_.period;
  at = (at / period + 1) * period;
  if (tickAt_ != 0 && tickAt_ <= at) return;
  tickAt_ = at;
  tick_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  tick_.async_wait([this](error_code error) {
    if (!error) round();
  });
}

void Forwarder::round() {
  tickAt_ = 0;
  const Micros now = steadyNow();
  const Micros wall = wallNow();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    events_.push_back(TimerDue{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  const std::vector<Event> events = std::exchange(events_, {});
  const std::vector<Action> actions = sender_.round(now, events);

  // An end in the arrival's own round is the client's answer, and was never taken on.
  for (const Action& action : actions) {
    const auto* refuse = std::get_if<Refuse>(&action);
    const auto* fail = std::get_if<Fail>(&action);
    if (refuse == nullptr && fail == nullptr) continue;
    const MessageId handle = refuse != nullptr ? refuse->id : fail->id;
    if (const auto at = arriving_.find(handle); at != arriving_.end()) {
      for (const auto& answer : at->second.answers)
        answer(refuse != nullptr ? busy(refuse->pause) : "-ERR given up");
      arrivingById_.erase(at->second.message.id);
      ids_.erase(handle);
      arriving_.erase(at);
    } else if (Owed* owed = owedOf(handle); owed != nullptr && !owed->notice) {
      journal_.owe(*owed, {refuse != nullptr, refuse != nullptr ? (refuse->pause + 999) / 1000 : 0});
      untold_.push_back(owed->id);
      ++noticed_;
    }
  }
  for (auto& [handle, a] : arriving_) {
    Owed owed;
    owed.id = a.message.id;
    owed.key = a.message.key;
    owed.body = std::move(a.message.body);
    owed.handle = handle;
    owed.messageClass = a.message.messageClass;
    owed.destination = a.message.destination;
    owed.deadline = a.message.left;
    journal_.accept(std::move(owed));
  }
  std::vector<Call> calls;
  for (const Action& action : actions) {
    const auto* call = std::get_if<Call>(&action);
    if (call == nullptr) continue;
    if (Owed* owed = owedOf(call->id)) {
      journal_.attempt(*owed, attempts_[call->id], call->target, wall);
      calls.push_back(*call);
    }
  }

  const bool written = journal_.commit();
  for (const auto& [handle, a] : arriving_) {
    for (const auto& answer : a.answers) answer(written ? "+OK" : busy(settings_.maxRetryAfter));
  }
  if (written) {
    for (const std::string& id : std::exchange(untold_, {})) {
      if (Owed* owed = journal_.find(id)) discovery_.notice(id, *owed->notice);
    }
    send(calls);
  } else {
    takeBack(calls);
    schedule(now + kRetryWrite);
  }
  arriving_.clear();
  arrivingById_.clear();

  for (const Action& action : actions) {
    if (const auto* off = std::get_if<CallOff>(&action)) {
      targets_.callOff(off->id, off->attempt);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now + timer->delay, timer->token);
    } else if (const auto* watch = std::get_if<Watch>(&action)) {
      discovery_.watch(watch->enable);
    } else if (const auto* idle = std::get_if<CloseIdle>(&action)) {
      targets_.closeIdle(idle->target);
    } else if (const auto* log = std::get_if<Log>(&action)) {
      std::cerr << log->text << '\n';
    }
  }
  if (!timers_.empty()) schedule(timers_.begin()->first - 1);
  if (!events_.empty()) schedule(now);
}

// Calls of one round to one target travel together as far as its kind allows.
void Forwarder::send(const std::vector<Call>& calls) {
  std::vector<std::pair<TargetId, std::vector<Parcel>>> trips;
  for (const Call& call : calls) {
    const Owed& owed = *owedOf(call.id);
    const Micros left = std::max<Micros>(1, owed.deadline - wallNow());
    Parcel p;
    p.handle = call.id;
    p.attempt = attempts_[call.id]++;
    p.id = owed.id;
    p.key = owed.key;
    p.body = owed.body;
    p.timeout = call.timeout == 0 ? left : std::clamp<Micros>(call.timeout, 1, left);
    const std::size_t batch = targets_.batchOf(call.target);
    auto trip = std::find_if(trips.rbegin(), trips.rend(), [&](const auto& t) {
      return t.first == call.target && t.second.size() < batch;
    });
    if (trip == trips.rend()) {
      trips.emplace_back(call.target, std::vector<Parcel>());
      trip = trips.rbegin();
    }
    trip->second.push_back(std::move(p));
  }
  for (auto& [target, parcels] : trips) targets_.call(target, std::move(parcels));
}

// Nothing of this round is on disk: its messages were not taken on, its calls not sent.
void Forwarder::takeBack(const std::vector<Call>& calls) {
  for (const auto& [handle, a] : arriving_) {
    release(a.message.id);
    events_.push_back(Gone{handle});
  }
  for (const Call& call : calls) {
    const int number = attempts_[call.id]++;
    Outcome o;
    o.id = call.id;
    o.attempt = number;
    o.target = call.target;
    o.ending = Ending::skipped;
    if (Owed* owed = owedOf(call.id)) journal_.neverRan(*owed, number);
    events_.push_back(o);
  }
}

void Forwarder::release(const std::string& given) {
  const std::string id = given;  // it may be the message's own
  if (const Owed* owed = journal_.find(id)) {
    ids_.erase(owed->handle);
    attempts_.erase(owed->handle);
    if (owed->notice) --noticed_;
    journal_.end(id);
  }
}

Owed* Forwarder::owedOf(MessageId handle) {
  const auto at = ids_.find(handle);
  return at == ids_.end() ? nullptr : journal_.find(at->second);
}

MessageId Forwarder::newHandle(const std::string& id) {
  ids_[++lastHandle_] = id;
  return lastHandle_;
}

}  // namespace quilltide::net
