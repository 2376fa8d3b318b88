// Runs the test bed and checks the delivery guarantees.
#include "testbed.hpp"

#include <algorithm>
#include <thread>

namespace quilltide::standin {

namespace asio = boost::asio;

bool MessageRecord::accepted() const {
  return std::any_of(results.begin(), results.end(),
                     [](const SubmitResult& result) { return result.kind == SubmitResult::Kind::accepted; });
}

Testbed::Testbed(const std::string& program, std::size_t partnerCount,
                 const ForwarderProcess::Options& options, const PartnerSettings& partnerSettings)
    : directory_(io_) {
  for (std::size_t i = 0; i < partnerCount; ++i) {
    partners_.push_back(
        std::make_unique<Partner>(io_, static_cast<std::int64_t>(i), effects_, partnerSettings));
    directory_.set({"p" + std::to_string(i), partners_.back()->hostAndPort(), static_cast<std::int64_t>(i)});
  }
  forwarder_ =
      std::make_unique<ForwarderProcess>(program, directory_.hostAndPort(), directory_.snapshot(), options);
}

void Testbed::start() {
  forwarder_->start();
  outcomeStream_ = std::make_unique<OutcomeStreamReader>(io_, forwarder_->httpEndpoint());
}

void Testbed::restart() { forwarder_->start(); }

void Testbed::submitVia(Client& client, const std::string& frontend, const Message& message) {
  MessageRecord& record = records_[message.id];
  record.message = message;
  record.frontend = frontend;
  ++record.submissions;
  client.submit(message, [this, id = message.id](const SubmitResult& result) {
    records_[id].results.push_back(result);
  });
}

bool Testbed::runUntil(const std::function<bool()>& condition, milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  while (!condition() && Clock::now() < end) {
    io_.restart();
    io_.run_for(milliseconds(2));
  }
  return condition();
}

void Testbed::runFor(milliseconds duration) { runUntil(Clock::now() + duration); }

void Testbed::runUntil(Clock::time_point time) {
  io_.restart();
  io_.run_until(time);
}

bool Testbed::allCompleted() const {
  const auto& finalOutcomes = outcomeStream_->finalOutcomes();
  return std::all_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const auto& [id, record] = entry;
    if (!record.allAnswered()) return false;
    return !record.accepted() ||
           (finalOutcomes.contains(id) && (directory_.notices().contains(id) || effects_.isSettled(id)));
  });
}

std::string Testbed::finalOutcome(const MessageRecord& record) const {
  const auto found = outcomeStream_->finalOutcomes().find(record.message.id);
  if (found != outcomeStream_->finalOutcomes().end()) return found->second.front();
  if (record.accepted()) return "no final outcome";
  return record.results.empty() ? "no answer" : toString(record.results.back().kind);
}

std::vector<std::string> Testbed::violations() const {
  std::vector<std::string> violations;
  const auto report = [&](const MessageRecord& record, const std::string& violation) {
    violations.push_back(record.frontend + " " + record.message.id + " (" + record.message.messageClass +
                         "): " + violation);
  };
  const auto& finalOutcomes = outcomeStream_->finalOutcomes();
  const auto& notices = directory_.notices();
  for (const auto& [id, record] : records_) {
    const std::size_t effectCount = effects_.countOf(id);
    const auto notice = notices.find(id);
    const bool noticed = notice != notices.end();
    const auto finalEntry = finalOutcomes.find(id);
    const bool unsafe = record.message.messageClass == "paiement";
    const bool unanswered =
        std::any_of(record.results.begin(), record.results.end(),
                    [](const SubmitResult& result) { return result.kind == SubmitResult::Kind::noAnswer; });
    if (!record.allAnswered()) report(record, "a submission was never answered");
    if (unsafe && effectCount > 1) report(record, "took effect " + std::to_string(effectCount) + " times");
    if (noticed && notice->second.conflicting) report(record, "has notices with different outcomes");
    if (finalEntry != finalOutcomes.end() && finalEntry->second.size() > 1)
      report(record, "has more than one final outcome");
    if (record.accepted()) {
      if (!noticed && !effects_.isSettled(id))
        report(record, "was accepted and has neither a notice nor a final response of a partner");
      if (finalEntry == finalOutcomes.end()) {
        report(record, "was accepted and has no final outcome in the stream");
        continue;
      }
      const std::string& reported = finalEntry->second.front();
      if ((reported == "delivered" || reported == "over") && !effects_.isSettled(id))
        report(record, "is " + reported + ", but no partner sent a final response");
      if (reported == "delivered" && effectCount == 0)
        report(record, "is delivered without an effect at a partner");
      if ((reported == "given_up" || reported == "handed_back") &&
          (!noticed || notice->second.outcome != reported))
        report(record, "is " + reported + ", but its notice is missing or differs");
      if (reported == "handed_back" && unsafe && effectCount > 0)
        report(record, "was handed back after it took effect");
    } else if (!unanswered) {
      // A refused or failed submission guarantees that the message was not sent to a partner.
      if (effectCount > 0) report(record, "was not accepted and took effect");
      if (finalEntry != finalOutcomes.end()) report(record, "was not accepted and has a final outcome");
    }
  }
  for (const auto& partner : partners_) {
    if (partner->messagesDuringRetryDelay() > 0)
      violations.push_back("destination " + std::to_string(partner->destination()) + " got " +
                           std::to_string(partner->messagesDuringRetryDelay()) +
                           " messages during its retry delay");
  }
  if (outcomeStream_->sequenceErrors() > 0)
    violations.push_back("the outcome stream skipped or repeated positions");
  if (outcomeStream_->gapEvents() > 0) violations.push_back("the outcome stream reported gaps");
  if (forwarder_->crashed()) violations.push_back("the forwarder crashed");
  return violations;
}

Message makeMessage(const std::string& prefix, std::size_t number, std::size_t destinationCount) {
  static const char* const kClasses[] = {"statut", "ordre", "paiement"};
  Message newMessage;
  newMessage.id = prefix + "-" + std::to_string(number);
  newMessage.messageClass = kClasses[number % 3];
  if (newMessage.messageClass == "ordre") newMessage.key = "key-" + newMessage.id;
  newMessage.body = "{\"palettes\":" + std::to_string(number) + "}";
  newMessage.destination = static_cast<std::int64_t>(number / 3 % destinationCount);
  return newMessage;
}

}  // namespace quilltide::standin
