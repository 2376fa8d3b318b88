// Asking before the start, telling from then on.
#include "coordinator/peer_exchange.hpp"

namespace quilltide::coordinator {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto kAskEvery = milliseconds(200), kTellEvery = milliseconds(500), kAnswer = milliseconds(1'000);

Standing standingOf(const json& j) {
  return {j.value("boot", std::uint64_t{0}), j.value("term", std::uint64_t{0}),
          j.value("applied", std::uint64_t{0})};
}
std::string textOf(const Standing& s) {
  return "start " + std::to_string(s.boot) + ", term " + std::to_string(s.term) + ", entry " +
         std::to_string(s.applied);
}

}  // namespace

std::string Admission::hear(std::uint64_t peer, const std::string& fleet, const std::string& ownFleet,
                            const Standing* ofMe) {
  const std::string who = "coordinator " + std::to_string(peer);
  if (fleet != ownFleet)
    return who + " belongs to fleet '" + fleet + "', and this one to '" + ownFleet +
           "': look at the addresses";
  // This start itself may have been told already: to one that then restarted this coordinator's exchange.
  if (ofMe != nullptr && (ofMe->boot > own.boot || ofMe->term > own.term || ofMe->applied > own.applied)) {
    return who + " has heard more of this coordinator (" + textOf(*ofMe) + ") than its folder knows (" +
           textOf(own) +
           "): the folder is lost or an older copy, and what it voted for is not in it. Replace this "
           "coordinator: "
           "remove "
           "its id from the fleet, and add a new one with an empty folder.";
  }
  answered.insert(peer);
  return "";
}

Exchange::Exchange(boost::asio::io_context& io, const Settings& settings, Folder& folder)
    : settings_(settings), folder_(folder), timer_(io) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    calls_.push_back(std::make_unique<fleet::JsonCall>(io));
  admission_.peers = settings_.peers.size();
  admission_.fresh = folder.fresh();
  admission_.own = folder.own();
  admission_.ownBoot = folder.own().boot;
}

void Exchange::ask(std::function<void()> admitted, std::function<void(const std::string&)> refused) {
  admitted_ = std::move(admitted);
  refused_ = std::move(refused);
  askAll();
}

void Exchange::refuse(const std::string& why) {
  if (std::exchange(over_, true)) return;
  stop();
  refused_(why);
}

void Exchange::askAll() {
  if (over_) return;
  // One that joins has nothing that could be less than before; its fleet looks at it when it is added.
  if (admission_.enough() || (folder_.fresh() && settings_.join)) {
    timer_.cancel();
    if (const auto go = std::exchange(admitted_, nullptr)) go();
    return;
  }
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    const Peer& peer = settings_.peers[i];
    if (admission_.answered.contains(peer.id) || calls_[i]->busy()) continue;
    const json question = {{"fleet", settings_.fleet}, {"id", settings_.id}};
    calls_[i]->call(
        peer.httpVia, "/v1/peer", &question, kAnswer, [this, id = peer.id](int status, const json& body) {
          if (over_ || status != 200 || !body.is_object()) return;
          const auto known = body.find("of_you");
          const Standing ofMe = known == body.end() ? Standing{} : standingOf(*known);
          const std::string why = admission_.hear(
              id, body.contains("fleet") && body["fleet"].is_string() ? body["fleet"].get<std::string>() : "",
              settings_.fleet, known == body.end() ? nullptr : &ofMe);
          if (!why.empty()) return refuse(why);
          if (body.value("id", std::uint64_t{0}) != id)
            refuse("the address of coordinator " + std::to_string(id) + " belongs to coordinator " +
                   std::to_string(body.value("id", std::uint64_t{0})));
        });
  }
  timer_.expires_after(kAskEvery);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) askAll();
  });
}

void Exchange::tell(const Node& node, std::function<void(const std::string&)> failed) {
  node_ = &node;
  failed_ = std::move(failed);
  tellAll();
}

void Exchange::tellAll() {
  if (over_) return;
  const Standing now = node_->standing();
  // On disk before anybody hears of it.
  if (!folder_.stand(now)) {
    stop();
    return failed_("how far this coordinator has come cannot be written");
  }
  const json told = {{"fleet", settings_.fleet},
                     {"id", settings_.id},
                     {"standing", {{"boot", now.boot}, {"term", now.term}, {"applied", now.applied}}}};
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (!calls_[i]->busy())
      calls_[i]->call(settings_.peers[i].httpVia, "/v1/peer", &told, kAnswer, [](int, const json&) {});
  }
  timer_.expires_after(kTellEvery);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tellAll();
  });
}

void Exchange::stop() {
  over_ = true;
  timer_.cancel();
  for (const auto& call : calls_) call->cancel();
}

std::string Exchange::missing() const {
  std::string out;
  for (const Peer& peer : settings_.peers)
    if (!admission_.answered.contains(peer.id)) out += (out.empty() ? "" : ", ") + std::to_string(peer.id);
  return out;
}

}  // namespace quilltide::coordinator
