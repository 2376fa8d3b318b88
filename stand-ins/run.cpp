// Plays a run and judges it.
#include "run.hpp"

#include <algorithm>
#include <thread>

namespace quilltide::standin {

namespace asio = boost::asio;

bool Fate::taken() const {
  return std::any_of(told.begin(), told.end(), [](const Told& t) { return t.kind == Told::Kind::taken; });
}

Run::Run(const std::string& program, std::size_t partners, const ForwarderProcess::Options& options,
         const Pace& pace)
    : directory_(io_) {
  for (std::size_t i = 0; i < partners; ++i) {
    partners_.push_back(std::make_unique<Partner>(io_, static_cast<std::int64_t>(i), effects_, pace));
    directory_.set({"p" + std::to_string(i), partners_.back()->text(), static_cast<std::int64_t>(i)});
  }
  process_ = std::make_unique<ForwarderProcess>(program, directory_.text(), directory_.list(), options);
}

void Run::start() {
  process_->start();
  ends_ = std::make_unique<EndsReader>(io_, process_->http());
}

void Run::restart() { process_->start(); }

void Run::hand(Client& client, const std::string& frontend, const Message& message) {
  Fate& fate = fates_[message.id];
  fate.message = message;
  fate.frontend = frontend;
  ++fate.asked;
  client.submit(message, [this, id = message.id](const Told& told) { fates_[id].told.push_back(told); });
}

bool Run::until(const std::function<bool()>& holds, milliseconds most) {
  const auto end = Clock::now() + most;
  while (!holds() && Clock::now() < end) {
    io_.restart();
    io_.run_for(milliseconds(2));
  }
  return holds();
}

void Run::wait(milliseconds time) { until(Clock::now() + time); }

void Run::until(Clock::time_point time) {
  io_.restart();
  io_.run_until(time);
}

bool Run::over() const {
  const auto& finals = ends_->finals();
  return std::all_of(fates_.begin(), fates_.end(), [&](const auto& entry) {
    const auto& [id, fate] = entry;
    if (!fate.heard()) return false;
    return !fate.taken() ||
           (finals.contains(id) && (directory_.notices().contains(id) || effects_.settled(id)));
  });
}

std::string Run::endOf(const Fate& fate) const {
  const auto at = ends_->finals().find(fate.message.id);
  if (at != ends_->finals().end()) return at->second.front();
  if (fate.taken()) return "no end";
  return fate.told.empty() ? "no answer" : wordOf(fate.told.back().kind);
}

std::vector<std::string> Run::broken() const {
  std::vector<std::string> out;
  const auto complain = [&](const Fate& fate, const std::string& what) {
    out.push_back(fate.frontend + " " + fate.message.id + " (" + fate.message.cls + "): " + what);
  };
  const auto& finals = ends_->finals();
  const auto& notices = directory_.notices();
  for (const auto& [id, fate] : fates_) {
    const std::size_t effects = effects_.of(id);
    const auto notice = notices.find(id);
    const bool told = notice != notices.end();
    const auto final = finals.find(id);
    const bool unsafe = fate.message.cls == "paiement";
    const bool unheard = std::any_of(fate.told.begin(), fate.told.end(),
                                     [](const Told& t) { return t.kind == Told::Kind::none; });
    if (!fate.heard()) complain(fate, "never answered");
    if (unsafe && effects > 1) complain(fate, "took effect " + std::to_string(effects) + " times");
    if (told && notice->second.changed) complain(fate, "told with two notices that differ");
    if (final != finals.end() && final->second.size() > 1) complain(fate, "has more than one final answer");
    if (fate.taken()) {
      if (!told && !effects_.settled(id)) complain(fate, "was taken and has no end");
      if (final == finals.end()) {
        complain(fate, "was taken and its final answer was never told");
        continue;
      }
      const std::string& word = final->second.front();
      if ((word == "delivered" || word == "over") && !effects_.settled(id))
        complain(fate, "is " + word + ", and no partner said so");
      if (word == "delivered" && effects == 0) complain(fate, "is delivered without an effect");
      if ((word == "given_up" || word == "handed_back") && (!told || notice->second.outcome != word))
        complain(fate, "is " + word + ", and its notice says otherwise");
      if (word == "handed_back" && unsafe && effects > 0) complain(fate, "was handed back after its effect");
    } else if (!unheard) {
      // A refusal assures that nothing was sent; a failure at the frontend does so here too.
      if (effects > 0) complain(fate, "was not taken and had an effect");
      if (final != finals.end()) complain(fate, "was not taken and has a final answer");
    }
  }
  for (const auto& partner : partners_) {
    if (partner->duringWaits() > 0)
      out.push_back("destination " + std::to_string(partner->destination()) + " got " +
                    std::to_string(partner->duringWaits()) + " messages while it had told to wait");
  }
  if (ends_->disorder() > 0) out.push_back("the stream of ends skipped or repeated positions");
  if (ends_->gaps() > 0) out.push_back("the stream of ends had gaps");
  if (process_->crashed()) out.push_back("the forwarder crashed");
  return out;
}

Message messageOf(const std::string& prefix, std::size_t number, std::size_t destinations) {
  static const char* const kClasses[] = {"statut", "ordre", "paiement"};
  Message m;
  m.id = prefix + "-" + std::to_string(number);
  m.cls = kClasses[number % 3];
  if (m.cls == "ordre") m.key = "key-" + m.id;
  m.body = "{\"palettes\":" + std::to_string(number) + "}";
  m.destination = static_cast<std::int64_t>(number / 3 % destinations);
  return m;
}

}  // namespace quilltide::standin
