#include "frontends/mqtt_front.h"

#include <algorithm>

#include "frontends/mqtt_session.h"

namespace rushhill::frontends {
namespace {

constexpr int max_window = 65'535;  // of the protocol's receive maximum

}  // namespace

MqttFront::MqttFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
                     core::EventLog& log, const deployment::MqttConfiguration& links, std::uint64_t seed)
    : reactor_(reactor), gateway_(gateway), intake_(intake), log_(log), links_(links) {
  double weights = 0;
  for (const deployment::MqttTopic& rule : links_.topics) weights += rule.weight;
  for (const deployment::MqttTopic& rule : links_.topics) {
    const int share = static_cast<int>(links_.in_flight * rule.weight / weights);
    const Session::Options options{
        .rule = rule,
        .window = std::clamp(share, 1, max_window),
        .jitter_seed = ++seed,
    };
    sessions_.push_back(std::make_unique<Session>(*this, options));
  }
}
MqttFront::~MqttFront() = default;

void MqttFront::start_draining() {
  draining_ = true;
  for (const auto& session : sessions_) session->start_draining();
}

bool MqttFront::idle() const {
  return std::ranges::all_of(sessions_, [](const auto& session) { return session->idle(); });
}

}  // namespace rushhill::frontends
