#include "mqtt/encoder.h"

#include <stdexcept>
#include <string_view>

namespace rushhill::mqtt {
namespace {

constexpr int version_with_properties = 5;
constexpr std::size_t max_string_size = 65'535;  // bytes
// The flags of CONNECT.
constexpr unsigned clean_start_flag = 2;
constexpr unsigned will_flag = 4;
constexpr unsigned will_qos_shift = 3;
constexpr unsigned will_retain_flag = 32;
// The flags in the first byte of a packet.
constexpr unsigned retain_flag = 1;
constexpr unsigned qos_shift = 1;
constexpr unsigned dup_flag = 8;
constexpr unsigned reserved_flags = 2;  // of the types for which the standard sets them

void append_u16(std::string& out, std::size_t value) {
  out += static_cast<char>(value >> 8U & 255U);
  out += static_cast<char>(value & 255U);
}
void append_u32(std::string& out, std::uint32_t value) {
  append_u16(out, value >> 16U);
  append_u16(out, value & 0xFFFFU);
}
void append_string(std::string& out, std::string_view text) {
  if (text.size() > max_string_size) throw std::length_error("an MQTT string is longer than 65535 bytes");
  append_u16(out, text.size());
  out += text;
}
void append_length(std::string& out, std::size_t length) {
  do {
    const std::size_t remaining = length / 128;
    out += static_cast<char>(length % 128 + (remaining > 0 ? 128 : 0));
    length = remaining;
  } while (length > 0);
}

void append_text(std::string& out, char identifier, const std::optional<std::string>& value) {
  if (!value) return;
  out += identifier;
  append_string(out, *value);
}
void append_seconds(std::string& out, char identifier, const std::optional<std::uint32_t>& value) {
  if (!value) return;
  out += identifier;
  append_u32(out, *value);
}

std::string encode_properties(const Properties& properties) {
  std::string out;
  append_seconds(out, '\x02', properties.message_expiry);
  append_text(out, '\x03', properties.content_type);
  append_text(out, '\x08', properties.response_topic);
  append_text(out, '\x09', properties.correlation_data);
  append_seconds(out, '\x11', properties.session_expiry);
  append_text(out, '\x1F', properties.reason);
  if (properties.receive_maximum) {
    out += '\x21';
    append_u16(out, *properties.receive_maximum);
  }
  for (const auto& [name, value] : properties.user) {
    out += '\x26';
    append_string(out, name);
    append_string(out, value);
  }
  std::string encoded;
  append_length(encoded, out.size());
  return encoded + out;
}
std::string properties_of(const Packet& packet, int version) {
  return version == version_with_properties ? encode_properties(packet.properties) : std::string();
}

std::string encode_connect(const Packet& packet, int version) {
  std::string body;
  append_string(body, "MQTT");
  body += static_cast<char>(version);
  unsigned flags = packet.clean_start ? clean_start_flag : 0U;
  if (packet.will) {
    flags |= will_flag | static_cast<unsigned>(packet.will->qos) << will_qos_shift;
    flags |= packet.will->retain ? will_retain_flag : 0U;
  }
  body += static_cast<char>(flags);
  append_u16(body, packet.keep_alive);
  body += properties_of(packet, version);
  append_string(body, packet.client_id);
  if (packet.will) {
    if (version == version_with_properties) body += '\0';
    append_string(body, packet.will->topic);
    append_string(body, packet.will->payload);
  }
  return body;
}

std::string encode_connack(const Packet& packet, int version) {
  std::string body;
  body += packet.session_present ? '\1' : '\0';
  body += static_cast<char>(packet.reason);
  return body + properties_of(packet, version);
}

std::string encode_publish(const Packet& packet, int version) {
  std::string body;
  append_string(body, packet.topic);
  if (packet.qos > 0) append_u16(body, packet.id);
  return body + properties_of(packet, version) + packet.payload;
}

// The reason code is left out where it is success.
std::string encode_reason(const Packet& packet, int version) {
  const bool is_needed = version == version_with_properties && packet.reason != success;
  return is_needed ? std::string(1, static_cast<char>(packet.reason)) : std::string();
}

std::string encode_acknowledgement(const Packet& packet, int version) {
  std::string body;
  append_u16(body, packet.id);
  return body + encode_reason(packet, version);
}

std::string encode_subscription(const Packet& packet, int version) {
  std::string body;
  append_u16(body, packet.id);
  body += properties_of(packet, version);
  for (const auto& [filter, max_qos] : packet.filters) {
    append_string(body, filter);
    if (packet.type == Type::subscribe) body += static_cast<char>(max_qos);
  }
  return body;
}

std::string encode_subscription_acknowledgement(const Packet& packet, int version) {
  std::string body;
  append_u16(body, packet.id);
  body += properties_of(packet, version);
  for (const std::uint8_t reason : packet.reasons) body += static_cast<char>(reason);
  return body;
}

std::string encode_body(const Packet& packet, int version) {
  switch (packet.type) {
    case Type::connect:
      return encode_connect(packet, version);
    case Type::connack:
      return encode_connack(packet, version);
    case Type::publish:
      return encode_publish(packet, version);
    case Type::puback:
    case Type::pubrec:
    case Type::pubrel:
    case Type::pubcomp:
      return encode_acknowledgement(packet, version);
    case Type::subscribe:
    case Type::unsubscribe:
      return encode_subscription(packet, version);
    case Type::suback:
    case Type::unsuback:
      return encode_subscription_acknowledgement(packet, version);
    case Type::disconnect:
    case Type::auth:
      return encode_reason(packet, version);
    case Type::pingreq:
    case Type::pingresp:
      break;
  }
  return {};
}

unsigned flags_of(const Packet& packet) {
  switch (packet.type) {
    case Type::publish:
      return (packet.dup ? dup_flag : 0U) | static_cast<unsigned>(packet.qos) << qos_shift |
             (packet.retain ? retain_flag : 0U);
    case Type::pubrel:
    case Type::subscribe:
    case Type::unsubscribe:
      return reserved_flags;
    default:
      return 0;
  }
}

}  // namespace

std::string encode(const Packet& packet, int version) {
  const std::string body = encode_body(packet, version);
  std::string bytes(1, static_cast<char>(static_cast<unsigned>(packet.type) << 4U | flags_of(packet)));
  append_length(bytes, body.size());
  return bytes + body;
}

}  // namespace rushhill::mqtt
