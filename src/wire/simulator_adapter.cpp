// Runs any number of Sender instances for the simulator, which sends events on standard input and reads
// actions from standard output. Malformed lines are reported on standard error and, for the instance
// concerned, as a bug line.
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quilltide/sender.hpp"
#include "wire/wire.hpp"

namespace {

using namespace quilltide;

// Reads rounds of events and writes the actions of each round. Single-threaded; blocks on standard input.
class SimulatorAdapter {
 public:
  // Processes standard input up to its end and returns the exit status.
  int run() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    std::string raw;
    while (std::getline(std::cin, raw)) {
      if (!raw.empty() && raw.back() == '\r') raw.pop_back();
      if (raw.empty()) continue;
      try {
        handleLine(wire::parseLine(raw));
      } catch (const std::exception& error) {
        reportError(error.what(), raw);
      }
    }
    if (inRound_) std::cerr << "quilltide_simulator_adapter: input ended inside a round" << std::endl;
    return 0;
  }

 private:
  // Events of one instance in the current round, or the error that replaces its actions.
  struct PendingEvents {
    std::vector<Event> events;
    std::string error;
  };

  void reportError(const std::string& reason, const std::string& raw) {
    std::cerr << "quilltide_simulator_adapter: " << reason << ", in the line: " << raw << std::endl;
    if (inRound_ && addressedSender_) pendingEventsOf(*addressedSender_).error = reason;
  }

  PendingEvents& pendingEventsOf(std::int64_t instance) {
    if (!pendingEvents_.contains(instance)) instanceOrder_.push_back(instance);
    return pendingEvents_[instance];
  }

  void addEvent(Event event) {
    if (!addressedSender_) throw wire::MalformedLine("no instance is addressed");
    if (!senders_.contains(*addressedSender_))
      throw wire::MalformedLine("event for an instance before its power_on");
    pendingEventsOf(*addressedSender_).events.push_back(std::move(event));
  }

  void handleLine(const wire::Line& line) {
    if (line.name == "round") {
      if (inRound_)
        std::cerr << "quilltide_simulator_adapter: round started before the previous round ended"
                  << std::endl;
      now_ = line.required("timeUs");
      inRound_ = true;
      addressedSender_.reset();
      pendingEvents_.clear();
      instanceOrder_.clear();
    } else if (line.name == "over_to_you") {
      writeActions();
    } else if (line.name == "to") {
      addressedSender_.reset();  // a malformed number must not leave the previous instance addressed
      addressedSender_ = line.required("who");
    } else if (line.name == "list") {
      listBeingFilled_ = static_cast<std::size_t>(line.integer("slot", 0)) % targetLists_.size();
      targetLists_[listBeingFilled_].clear();
    } else if (line.name == "item") {
      targetLists_[listBeingFilled_].push_back(wire::parseTargetEntry(line));
    } else if (line.name == "power_on") {
      if (!addressedSender_) throw wire::MalformedLine("no instance is addressed");
      pendingEventsOf(*addressedSender_).events.clear();
      senders_.insert_or_assign(
          *addressedSender_,
          Sender(wire::parseSettings(line), static_cast<std::uint64_t>(line.integer("randomSeed", 0))));
    } else if (line.name == "stop") {
      if (!addressedSender_) throw wire::MalformedLine("no instance is addressed");
      pendingEventsOf(*addressedSender_).events.clear();
      senders_.erase(*addressedSender_);
    } else if (line.name == "view") {
      handleView(line);
    } else if (line.name == "ingress") {
      addEvent(wire::parseArrival(line));
    } else if (line.name == "resolved") {
      addEvent(wire::parseOutcome(line));
    } else if (line.name == "expired") {
      addEvent(MessageEnded{static_cast<MessageId>(line.required("tid"))});
    } else if (line.name == "due") {
      addEvent(TimerFired{line.required("nonce")});
    } else if (line.name == "inbox") {
      addEvent(wire::parsePeerMessage(line));
    }
  }

  void handleView(const wire::Line& line) {
    DirectoryView view;
    const std::string scope = line.text("scope");
    view.scope = scope == "refused"   ? ViewScope::refused
                 : scope == "changes" ? ViewScope::changes
                                      : ViewScope::all;
    if (view.scope != ViewScope::refused) {
      view.entries = targetLists_[static_cast<std::size_t>(line.integer("slot", 0)) % targetLists_.size()];
    }
    addEvent(std::move(view));
  }

  void writeActions() {
    std::string out;
    for (const std::int64_t instance : instanceOrder_) {
      const PendingEvents& pending = pendingEvents_[instance];
      const auto sender = senders_.find(instance);
      std::string lines;
      if (!pending.error.empty()) {
        lines = "bug\tmsg=" + pending.error + '\n';
      } else if (sender != senders_.end()) {
        for (const Action& action : sender->second.processEvents(now_, pending.events)) {
          lines += wire::formatAction(action) + '\n';
        }
      }
      if (!lines.empty()) out += "source\twho=" + std::to_string(instance) + '\n' + lines;
    }
    out += "yield\n";
    std::cout << out << std::flush;
    inRound_ = false;
    addressedSender_.reset();
    pendingEvents_.clear();
    instanceOrder_.clear();
  }

  Micros now_ = 0;
  bool inRound_ = false;
  std::optional<std::int64_t> addressedSender_;
  std::map<std::int64_t, Sender> senders_;
  std::map<std::int64_t, PendingEvents> pendingEvents_;
  std::vector<std::int64_t> instanceOrder_;
  std::array<std::vector<TargetEntry>, 16> targetLists_;
  std::size_t listBeingFilled_ = 0;
};

}  // namespace

int main() { return SimulatorAdapter().run(); }
