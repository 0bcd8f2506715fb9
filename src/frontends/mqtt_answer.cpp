#include "frontends/mqtt_answer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "frontends/time_units.h"

namespace rushhill::frontends {
namespace {

using admission::Outcome;

void fill_reply(mqtt::Packet& answer, events::CloudEvent reply) {
  answer.properties.content_type =
      reply.data_content_type.empty() ? "application/octet-stream" : reply.data_content_type;
  answer.payload = std::move(reply.data);
  auto& user = answer.properties.user;
  for (auto& [name, value] : reply.others) user.emplace_back(name, value);
  user.emplace_back("specversion", "1.0");
  user.emplace_back("id", reply.id);
  user.emplace_back("source", reply.source);
  user.emplace_back("type", reply.type);
}

void fill_problem(mqtt::Packet& answer, const MqttOutcome& outcome) {
  const char* name = name_of(outcome.outcome);
  nlohmann::json body{{"type", std::string("urn:rushhill:problem:") + name},
                      {"outcome", name},
                      {"harmless_to_repeat", outcome.outcome == Outcome::rejected}};
  if (outcome.retry_after > 0) body["retry_after_ms"] = whole_ms(outcome.retry_after);
  answer.properties.content_type = "application/problem+json";
  answer.payload = body.dump();
}

}  // namespace

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::succeeded:
      return "honoured";
    case Outcome::rejected:
      return "shed";
    case Outcome::failed:
      return "abandoned";
  }
  return "";
}

mqtt::Packet to_answer(const std::string& topic, MqttOutcome outcome) {
  mqtt::Packet answer{.type = mqtt::Type::publish, .topic = topic};
  if (outcome.outcome == Outcome::succeeded) {
    fill_reply(answer, std::move(outcome.reply));
  } else {
    fill_problem(answer, outcome);
  }
  return answer;
}

void MqttAnswerCache::store(const std::string& message_key, mqtt::Packet answer) {
  answers_[message_key] = std::move(answer);
  order_.push_back(message_key);
  if (order_.size() <= limit_) return;
  answers_.erase(order_.front());
  order_.pop_front();
}

const mqtt::Packet* MqttAnswerCache::find(const std::string& message_key) const {
  const auto it = answers_.find(message_key);
  return it == answers_.end() ? nullptr : &it->second;
}

}  // namespace rushhill::frontends
