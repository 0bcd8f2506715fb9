// The control packets of MQTT 3.1.1 and 5.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rushhill::mqtt {

// Control packet types.
enum class Type : std::uint8_t {
  connect = 1,
  connack,
  publish,
  puback,
  pubrec,
  pubrel,
  pubcomp,
  subscribe,
  suback,
  unsubscribe,
  unsuback,
  pingreq,
  pingresp,
  disconnect,
  auth
};

// The reason codes of MQTT 5 that are sent or acted on.
constexpr std::uint8_t success = 0x00, unspecified_error = 0x80, malformed = 0x81, protocol_error = 0x82,
                       server_unavailable = 0x88, server_busy = 0x89, session_taken_over = 0x8E,
                       packet_id_not_found = 0x92, receive_maximum_exceeded = 0x93, packet_too_large = 0x95,
                       quota_exceeded = 0x97, payload_format_invalid = 0x99;

constexpr std::size_t max_user_properties = 128;  // that are kept of a packet

// A limit that a message exceeds. Such a message is read to its end, since the connection cannot go on
// otherwise, but its content is not complete.
enum class ExceededLimit : std::uint8_t { none, packet_size, user_properties };

// Properties of an MQTT 5 packet. A property that the packet lacks is empty.
struct Properties {
  std::optional<std::uint32_t> message_expiry{};  // seconds
  std::optional<std::uint32_t> session_expiry{};  // seconds
  std::optional<std::uint16_t> receive_maximum{};
  std::optional<std::string> content_type{};
  std::optional<std::string> response_topic{};
  std::optional<std::string> correlation_data{};
  std::optional<std::string> reason{};
  std::vector<std::pair<std::string, std::string>> user{};  // the first max_user_properties
};

// The message that a broker publishes for a client whose connection is lost.
struct Will {
  std::string topic{};
  std::string payload{};
  int qos = 0;
  bool retain = false;
};

// A packet of any type. Each type uses the fields that the comments name, and no others.
struct Packet {
  Type type = Type::pingreq;
  bool dup = false;     // publish
  bool retain = false;  // publish
  int qos = 0;
  std::uint16_t id = 0;
  std::string topic{};    // publish
  std::string payload{};  // publish
  // Of a publish packet. Above the packet size only the topic, the QoS and the identifier are kept.
  ExceededLimit exceeded_limit = ExceededLimit::none;
  std::string client_id{};  // connect
  bool clean_start = true;
  std::uint16_t keep_alive = 0;  // seconds
  std::optional<Will> will{};
  bool session_present = false;  // connack
  std::uint8_t reason = success;
  std::vector<std::pair<std::string, int>> filters{};  // subscribe, unsubscribe: topic filter and maximum QoS
  std::vector<std::uint8_t> reasons{};                 // suback, unsuback
  Properties properties{};
};

}  // namespace rushhill::mqtt
