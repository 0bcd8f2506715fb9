#include "frontends/mqtt_session.h"

#include <algorithm>
#include <utility>

#include "frontends/mqtt_event.h"
#include "frontends/time_units.h"

namespace rushhill::frontends {
namespace {

using admission::Outcome;
using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t max_remembered = 100'000;  // ended messages that a session knows again
constexpr std::size_t max_tried = 10'000;        // messages whose attempts a session counts
constexpr Time room_poll_interval = 200;  // tenths of a millisecond; how soon room left by others is found
constexpr const char* event_type = "application/cloudevents+json";

std::string fault_of(mqtt::ExceededLimit limit) {
  if (limit == mqtt::ExceededLimit::packet_size)
    return "the message is longer than " + std::to_string(MqttConnection::max_packet_size) + " bytes";
  return "the message has more than " + std::to_string(mqtt::max_user_properties) + " user properties";
}

}  // namespace

MqttFront::Session::Session(MqttFront& front, const Options& options)
    : front_(front), reactor_(front.reactor_), rule_(options.rule),
      window_size_(static_cast<std::size_t>(options.window)),
      source_(front.gateway_.add_source(options.rule.weight, true)),
      deliveries_(front.links_.remember, max_remembered), tries_(front.links_.tries, max_tried),
      connection_(
          front.reactor_, front.log_, front.links_, *this,
          {.topic_name = options.rule.name, .connect = connect_packet(), .jitter_seed = options.jitter_seed}),
      publisher_(front.log_, connection_,
                 {.dead_letter_topic = front.links_.dead_letter,
                  .router_number = front.gateway_.configuration().router_number}) {
  connection_.connect();
}
MqttFront::Session::~Session() {
  for (core::Timer* timer : {&room_timer_, &retry_timer_}) reactor_.cancel(*timer);
}

Packet MqttFront::Session::connect_packet() const {
  const deployment::MqttConfiguration& links = front_.links_;
  Packet connect{.type = Type::connect, .client_id = links.client + "-" + rule_.name, .clean_start = false};
  connect.keep_alive = static_cast<std::uint16_t>(links.keep_alive / ticks_per_second);
  connect.properties.receive_maximum = static_cast<std::uint16_t>(window_size_);
  connect.properties.session_expiry = static_cast<std::uint32_t>(links.session / ticks_per_second);
  return connect;
}

void MqttFront::Session::start_draining() {
  const auto retries = std::exchange(retries_, {});
  for (const auto& [at, delivery] : retries) give_up(*delivery, {.outcome = Outcome::rejected});
  leave_if_done();
}

void MqttFront::Session::on_session_started(bool session_present) {
  ++front_.tally_.connections;
  const std::string filter =
      rule_.group.empty() ? rule_.filter : "$share/" + rule_.group + "/" + rule_.filter;
  if (!session_present)
    connection_.send({.type = Type::subscribe, .id = mqtt_subscription_id, .filters = {{filter, rule_.qos}}});
  publisher_.resend(session_present);
}

void MqttFront::Session::on_packet(Packet& packet) {
  switch (packet.type) {
    case Type::publish:
      return receive(packet);
    case Type::puback:
      publisher_.acknowledged(packet.id);
      return leave_if_done();
    case Type::pubrel:
      window_.release(packet.id);
      return connection_.send({.type = Type::pubcomp, .id = packet.id});
    default:
      return;
  }
}

// The session lives on at the broker: what was not acknowledged is delivered again, and meets what is known
// of it.
void MqttFront::Session::on_connection_lost() {
  for (const MqttDeliveryPointer& delivery : std::exchange(queued_, {}))
    deliveries_.forget(delivery->message_key);
  window_.clear();
  leave_if_done();
}

bool MqttFront::Session::may_read() const { return window_.size() < window_size_; }

void MqttFront::Session::receive(const Packet& packet) {
  ++front_.tally_.received;
  if (packet.dup) ++front_.tally_.redelivered;
  if (exceeds_window(packet)) {
    connection_.send({.type = Type::disconnect, .reason = mqtt::receive_maximum_exceeded});
    return connection_.fail("more came than the receive maximum, or a packet identifier in use");
  }
  // QoS 2: acknowledged and not released yet is the same message again.
  if (packet.qos == 2 && window_.awaits_release(packet.id))
    return connection_.send({.type = Type::pubrec, .id = packet.id});
  const MqttDeliveryPointer delivery = read(packet);
  if (!delivery) return;
  if (front_.draining_ && !deliveries_.knows(delivery->message_key)) return;  // it stays the broker's
  switch (deliveries_.meet(reactor_.now(), delivery->message_key)) {
    case admission::DeliveryTracker::DeliveryStatus::answered:
      return answer_again(delivery);
    case admission::DeliveryTracker::DeliveryStatus::joins:
      ++front_.tally_.joined;
      return window_.add(delivery);
    case admission::DeliveryTracker::DeliveryStatus::fresh:
      return start(delivery, packet);
  }
}

bool MqttFront::Session::exceeds_window(const Packet& packet) const {
  return window_.size() > window_size_ || (packet.qos > 0 && window_.contains(packet.id));
}

MqttDeliveryPointer MqttFront::Session::read(const Packet& packet) {
  auto delivery = std::make_shared<MqttDelivery>();
  delivery->packet_id = packet.qos == 0 ? 0 : packet.id;
  delivery->qos = packet.qos;
  delivery->response_topic = packet.properties.response_topic;
  delivery->correlation_data = packet.properties.correlation_data;
  if (packet.exceeded_limit != mqtt::ExceededLimit::none) {
    refuse(delivery, packet, {.reason = fault_of(packet.exceeded_limit), .code = mqtt::quota_exceeded});
    return nullptr;
  }
  try {
    delivery->event = to_cloud_event(rule_, packet, front_.links_.version);
    delivery->request = front_.intake_.read(delivery->event);
  } catch (const events::BadEvent& bad) {
    refuse(delivery, packet, {.reason = bad.what(), .code = mqtt::payload_format_invalid});
    return nullptr;
  }
  delivery->deadline = reactor_.now() + to_ticks(delivery->request.time_left);
  if (const auto expiry_seconds = packet.properties.message_expiry)
    delivery->deadline = std::min(delivery->deadline, reactor_.now() + ticks_per_second * *expiry_seconds);
  delivery->message_key = delivery->event.source + " " + delivery->event.id;
  return delivery;
}

void MqttFront::Session::refuse(const MqttDeliveryPointer& delivery, const Packet& packet,
                                const MessageFault& fault) {
  if (front_.draining_) return;
  ++front_.tally_.dead_lettered;
  publisher_.send({.payload = packet.payload, .topic = packet.topic, .reason = fault.reason});
  settle(delivery, fault.code);
}

void MqttFront::Session::answer_again(const MqttDeliveryPointer& delivery) {
  ++front_.tally_.answered_again;
  publisher_.answer_again(delivery->message_key);
  settle(delivery, mqtt::success);
}

void MqttFront::Session::start(const MqttDeliveryPointer& delivery, const Packet& packet) {
  if (packet.dup &&
      front_.gateway_.retry_safety_of(delivery->request.request_class) == RetrySafety::at_most_once)
    return refuse_redelivery(delivery, packet);
  if (delivery->packet_id == 0) return submit(delivery);
  delivery->queued = true;
  window_.add(delivery);
  queued_.push_back(delivery);
  submit_queued();
}

void MqttFront::Session::refuse_redelivery(const MqttDeliveryPointer& delivery, const Packet& packet) {
  deliveries_.ended(reactor_.now(), delivery->message_key, Outcome::failed);
  publisher_.answer(*delivery, {.outcome = Outcome::failed});
  ++front_.tally_.dead_lettered;
  publisher_.send({.payload = packet.payload,
                   .topic = packet.topic,
                   .reason = "came again, and may have run in an earlier life of this router"});
  settle(delivery, mqtt::success);
}

void MqttFront::Session::settle(const MqttDeliveryPointer& delivery, std::uint8_t reason) {
  if (delivery->packet_id == 0) return;
  delivery->settled = true;
  delivery->reason = reason;
  window_.add(delivery);
  acknowledge();
}

void MqttFront::Session::submit_queued() {
  while (!queued_.empty() && front_.gateway_.has_room(source_)) {
    const MqttDeliveryPointer delivery = queued_.front();
    queued_.pop_front();
    delivery->queued = false;
    submit(delivery);
  }
  reactor_.cancel(room_timer_);
  if (queued_.empty()) return;
  room_timer_ = reactor_.at(reactor_.now() + room_poll_interval, [this] { submit_queued(); });
}

void MqttFront::Session::submit(const MqttDeliveryPointer& delivery) {
  delivery->request.time_left = to_duration(delivery->deadline - reactor_.now());
  if (delivery->request.time_left <= front_.gateway_.configuration().tick) {
    ++front_.tally_.expired;
    return give_up(*delivery, {.outcome = Outcome::rejected});
  }
  const auto request_id = front_.gateway_.accept(source_, *this, delivery->request, delivery->event);
  if (!request_id) return give_up(*delivery, {.outcome = Outcome::rejected});
  submitted_[*request_id] = delivery;
}

void MqttFront::Session::succeeded(RequestId request_id, events::CloudEvent reply) {
  conclude(request_id, {.outcome = Outcome::succeeded, .reply = std::move(reply)});
}
void MqttFront::Session::rejected(RequestId request_id, Duration retry_after) {
  conclude(request_id, {.outcome = Outcome::rejected, .retry_after = to_ticks(retry_after)});
}
void MqttFront::Session::failed(RequestId request_id) { conclude(request_id, {.outcome = Outcome::failed}); }

void MqttFront::Session::conclude(RequestId request_id, MqttOutcome outcome) {
  const auto it = submitted_.find(request_id);
  if (it == submitted_.end()) return;
  const MqttDeliveryPointer delivery = std::move(it->second);
  submitted_.erase(it);
  if (outcome.outcome == Outcome::succeeded) {
    tries_.forget(delivery->message_key);
    end(*delivery, std::move(outcome));
  } else if (const auto at = retry_at(*delivery, outcome)) {
    ++front_.tally_.retried;
    retries_.emplace(*at, delivery);
    set_retry_timer();
  } else {
    give_up(*delivery, std::move(outcome));
  }
  submit_queued();
}

// Who waits for an answer has it at once and may repeat the request; a message that nobody waits for is
// retried by the frontend.
std::optional<Time> MqttFront::Session::retry_at(const MqttDelivery& delivery, const MqttOutcome& outcome) {
  if (delivery.response_topic || delivery.packet_id == 0 || front_.draining_) return std::nullopt;
  return tries_.again(reactor_.now(), delivery.message_key, outcome.outcome,
                      front_.gateway_.retry_safety_of(delivery.request.request_class), delivery.deadline,
                      outcome.retry_after);
}
void MqttFront::Session::set_retry_timer() {
  reactor_.cancel(retry_timer_);
  if (!retries_.empty()) retry_timer_ = reactor_.at(retries_.begin()->first, [this] { submit_retries(); });
}
void MqttFront::Session::submit_retries() {
  while (!retries_.empty() && retries_.begin()->first <= reactor_.now()) {
    const MqttDeliveryPointer delivery = retries_.begin()->second;
    retries_.erase(retries_.begin());
    submit(delivery);
  }
  set_retry_timer();
}

void MqttFront::Session::give_up(const MqttDelivery& delivery, MqttOutcome outcome) {
  if (!delivery.response_topic) {
    const int made = std::max(tries_.made(delivery.message_key), 1);
    tries_.forget(delivery.message_key);
    ++front_.tally_.dead_lettered;
    publisher_.send({.payload = events::to_json(delivery.event),
                     .topic = delivery.event.type,
                     .reason = std::string(name_of(outcome.outcome)) + " after " + std::to_string(made) +
                               (made == 1 ? " try" : " tries"),
                     .content_type = event_type});
  }
  end(delivery, std::move(outcome));
}

void MqttFront::Session::end(const MqttDelivery& delivery, MqttOutcome outcome) {
  deliveries_.ended(reactor_.now(), delivery.message_key, outcome.outcome);
  publisher_.answer(delivery, std::move(outcome));
  window_.settle(delivery.message_key);
  acknowledge();
}

void MqttFront::Session::acknowledge() {
  if (front_.draining_) return leave_if_done();
  send_acknowledgements();
  connection_.resume_reading();
}

void MqttFront::Session::send_acknowledgements() {
  while (connection_.connected()) {
    const MqttDeliveryPointer delivery = window_.take_settled();
    if (!delivery) return;
    connection_.send({.type = delivery->qos == 2 ? Type::pubrec : Type::puback,
                      .id = delivery->packet_id,
                      .reason = delivery->reason});
  }
}

void MqttFront::Session::leave_if_done() {
  if (!front_.draining_ || connection_.disconnected() || !submitted_.empty() || !queued_.empty()) return;
  if (!publisher_.all_acknowledged()) return;
  send_acknowledgements();
  connection_.disconnect();
  reactor_.cancel(room_timer_);
}

}  // namespace rushhill::frontends
