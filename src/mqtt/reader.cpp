#include "mqtt/reader.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>

#include "events/cloudevent.h"
#include "mqtt/topic_filter.h"

namespace rushhill::mqtt {
namespace {

constexpr int version_with_properties = 5;
constexpr std::size_t max_filters = 1000;  // topic filters of one SUBSCRIBE or UNSUBSCRIBE
// Bytes of the topic and the packet identifier of a PUBLISH, with the topic's length.
constexpr std::size_t max_publish_start = 2 + 65'535 + 2;

class MalformedPacket : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The unread part of a packet's body. Reading beyond its end throws MalformedPacket.
class Body {
 public:
  explicit Body(std::string_view bytes) : unread_(bytes) {}
  bool empty() const { return unread_.empty(); }
  std::string_view take_bytes(std::size_t count) {
    if (count > unread_.size()) throw MalformedPacket("the packet ends too early");
    const std::string_view front = unread_.substr(0, count);
    unread_.remove_prefix(count);
    return front;
  }
  std::uint8_t read_u8() { return static_cast<std::uint8_t>(take_bytes(1)[0]); }
  std::uint16_t read_u16() {
    const std::uint8_t high = read_u8();
    return static_cast<std::uint16_t>(high << 8U | read_u8());
  }
  std::uint32_t read_u32() {
    const std::uint32_t high = read_u16();
    return high << 16U | read_u16();
  }
  std::string read_bytes() { return std::string(take_bytes(read_u16())); }
  std::string read_text() {
    std::string value = read_bytes();
    if (!value.empty() && !events::is_valid_text(value))
      throw MalformedPacket("a string is not UTF-8 text free of control characters");
    return value;
  }
  std::size_t read_length() {
    std::size_t value = 0;
    std::size_t factor = 1;
    for (int i = 0; i < 4; ++i, factor *= 128) {
      const std::uint8_t byte = read_u8();
      value += (byte & 127U) * factor;
      if (byte < 128) return value;
    }
    throw MalformedPacket("a variable byte integer is longer than four bytes");
  }
  std::string read_rest() { return std::string(take_bytes(unread_.size())); }

 private:
  std::string_view unread_;
};

template <typename Value>
void set_once(std::optional<Value>& property, Value value) {
  if (property) throw MalformedPacket("a property occurs twice");
  property = std::move(value);
}

void read_user_property(Body& list, Properties& properties, bool& omitted_user_properties) {
  std::string name = list.read_text();
  std::string value = list.read_text();
  omitted_user_properties = properties.user.size() == max_user_properties;
  if (!omitted_user_properties) properties.user.emplace_back(std::move(name), std::move(value));
}

std::uint16_t read_receive_maximum(Body& list) {
  const std::uint16_t maximum = list.read_u16();
  if (maximum == 0) throw MalformedPacket("the receive maximum is 0");
  return maximum;
}

// Skips a property that is known and not used.
void skip_property(Body& list, std::uint8_t identifier) {
  switch (identifier) {
    case 0x0B:  // subscription identifier
      list.read_length();
      break;
    case 0x01:
    case 0x17:
    case 0x19:
    case 0x24:
    case 0x25:
    case 0x28:
    case 0x29:
    case 0x2A:
      list.read_u8();
      break;
    case 0x13:
    case 0x22:
    case 0x23:
      list.read_u16();
      break;
    case 0x18:
    case 0x27:
      list.read_u32();
      break;
    case 0x12:
    case 0x15:
    case 0x16:
    case 0x1A:
    case 0x1C:
      list.read_bytes();
      break;
    default:
      throw MalformedPacket("a property has an unknown identifier");
  }
}

// `omitted_user_properties`: set if there are more than are kept.
void read_property(Body& list, Properties& properties, bool& omitted_user_properties) {
  const std::uint8_t identifier = list.read_u8();
  switch (identifier) {
    case 0x02:
      set_once(properties.message_expiry, list.read_u32());
      break;
    case 0x03:
      set_once(properties.content_type, list.read_text());
      break;
    case 0x08:
      set_once(properties.response_topic, list.read_text());
      break;
    case 0x09:
      set_once(properties.correlation_data, list.read_bytes());
      break;
    case 0x11:
      set_once(properties.session_expiry, list.read_u32());
      break;
    case 0x1F:
      set_once(properties.reason, list.read_text());
      break;
    case 0x21:
      set_once(properties.receive_maximum, read_receive_maximum(list));
      break;
    case 0x26:
      read_user_property(list, properties, omitted_user_properties);
      break;
    default:
      skip_property(list, identifier);
  }
}
Properties read_properties(Body& body, bool& omitted_user_properties) {
  Body list(body.take_bytes(body.read_length()));
  Properties properties;
  while (!list.empty()) read_property(list, properties, omitted_user_properties);
  return properties;
}
Properties read_properties(Body& body) {
  bool omitted_user_properties = false;
  return read_properties(body, omitted_user_properties);
}

void read_connect(Body& body, Packet& packet, int& version) {
  if (body.read_text() != "MQTT") throw MalformedPacket("the protocol name is not MQTT");
  const int protocol_level = body.read_u8();
  if (protocol_level != 4 && protocol_level != 5)
    throw MalformedPacket("the protocol version is neither 3.1.1 nor 5");
  version = protocol_level;
  const std::uint8_t flags = body.read_u8();
  if ((flags & 1U) != 0) throw MalformedPacket("the reserved flag of CONNECT is set");
  packet.clean_start = (flags & 2U) != 0;
  packet.keep_alive = body.read_u16();
  if (version == version_with_properties) packet.properties = read_properties(body);
  packet.client_id = body.read_text();
  if ((flags & 4U) != 0) {
    Will will{.qos = static_cast<int>(flags >> 3U & 3U), .retain = (flags & 32U) != 0};
    if (will.qos > 2) throw MalformedPacket("the will's QoS is 3; the maximum is 2");
    if (version == version_with_properties) read_properties(body);
    will.topic = body.read_text();
    will.payload = body.read_bytes();
    if (!topic_valid(will.topic)) throw MalformedPacket("the will's topic is empty or contains a wildcard");
    packet.will = std::move(will);
  }
  if ((flags & 128U) != 0) body.read_text();
  if ((flags & 64U) != 0) body.read_bytes();
}

void read_publish_start(Body& body, Packet& packet, unsigned flags) {
  packet.dup = (flags & 8U) != 0;
  packet.qos = static_cast<int>(flags >> 1U & 3U);
  packet.retain = (flags & 1U) != 0;
  if (packet.qos > 2) throw MalformedPacket("the QoS is 3; the maximum is 2");
  packet.topic = body.read_text();
  if (!topic_valid(packet.topic)) throw MalformedPacket("the topic is empty or contains a wildcard");
  if (packet.qos > 0) {
    packet.id = body.read_u16();
    if (packet.id == 0) throw MalformedPacket("the packet identifier is 0");
  }
}
void read_publish(Body& body, Packet& packet, int version, unsigned flags) {
  read_publish_start(body, packet, flags);
  bool omitted_user_properties = false;
  if (version == version_with_properties) packet.properties = read_properties(body, omitted_user_properties);
  if (omitted_user_properties) packet.exceeded_limit = ExceededLimit::user_properties;
  packet.payload = body.read_rest();
}

void read_subscribe(Body& body, Packet& packet, int version) {
  packet.id = body.read_u16();
  if (packet.id == 0) throw MalformedPacket("the packet identifier is 0");
  if (version == version_with_properties) packet.properties = read_properties(body);
  while (!body.empty()) {
    std::string filter = body.read_text();
    const int max_qos = packet.type == Type::subscribe ? body.read_u8() & 3 : 0;
    if (!filter_valid(filter) || max_qos > 2) throw MalformedPacket("a topic filter or its QoS is invalid");
    if (packet.filters.size() >= max_filters)
      throw MalformedPacket("the packet has more than 1000 topic filters");
    packet.filters.emplace_back(std::move(filter), max_qos);
  }
  if (packet.filters.empty()) throw MalformedPacket("the packet has no topic filter");
}

void read_connack(Body& body, Packet& packet, int version) {
  packet.session_present = (body.read_u8() & 1U) != 0;
  packet.reason = body.read_u8();
  if (version == version_with_properties) packet.properties = read_properties(body);
}

// The reason code and the properties may be left out.
void read_reason(Body& body, Packet& packet, int version) {
  if (version == version_with_properties && !body.empty()) packet.reason = body.read_u8();
  if (version == version_with_properties && !body.empty()) packet.properties = read_properties(body);
}

void read_acknowledgement(Body& body, Packet& packet, int version) {
  packet.id = body.read_u16();
  if (packet.id == 0) throw MalformedPacket("the packet identifier is 0");
  read_reason(body, packet, version);
}

void read_subscription_acknowledgement(Body& body, Packet& packet, int version) {
  packet.id = body.read_u16();
  if (version == version_with_properties) packet.properties = read_properties(body);
  while (!body.empty()) packet.reasons.push_back(body.read_u8());
}

void check_flags(Type type, unsigned flags) {
  const bool needs_flag_2 = type == Type::pubrel || type == Type::subscribe || type == Type::unsubscribe;
  if (type != Type::publish && flags != (needs_flag_2 ? 2U : 0U))
    throw MalformedPacket("the reserved flags have an invalid value");
}

Packet read_packet(std::uint8_t first_byte, Body body, int& version) {
  Packet packet;
  packet.type = static_cast<Type>(first_byte >> 4U);
  const unsigned flags = first_byte & 15U;
  check_flags(packet.type, flags);
  if (version == 0 && packet.type != Type::connect) throw MalformedPacket("the first packet is not CONNECT");
  switch (packet.type) {
    case Type::connect:
      read_connect(body, packet, version);
      break;
    case Type::connack:
      read_connack(body, packet, version);
      break;
    case Type::publish:
      read_publish(body, packet, version, flags);
      break;
    case Type::puback:
    case Type::pubrec:
    case Type::pubrel:
    case Type::pubcomp:
      read_acknowledgement(body, packet, version);
      break;
    case Type::subscribe:
    case Type::unsubscribe:
      read_subscribe(body, packet, version);
      break;
    case Type::suback:
    case Type::unsuback:
      read_subscription_acknowledgement(body, packet, version);
      break;
    case Type::pingreq:
    case Type::pingresp:
      break;
    case Type::disconnect:
    case Type::auth:
      read_reason(body, packet, version);
      break;
    default:
      throw MalformedPacket("the packet has type 0");
  }
  if (!body.empty()) throw MalformedPacket("the packet has bytes after its last field");
  return packet;
}

}  // namespace

Progress Reader::read_extent(const std::string& buffer, Extent& body) {
  std::size_t factor = 1;
  std::size_t header_size = 1;
  for (;; ++header_size, factor *= 128) {
    if (header_size > 4) {
      fault_ = "the packet's length field is longer than four bytes";
      return Progress::bad;
    }
    if (header_size >= buffer.size()) return Progress::more;
    const auto byte = static_cast<std::uint8_t>(buffer[header_size]);
    body.length += (byte & 127U) * factor;
    if (byte < 128) break;
  }
  body.start = header_size + 1;
  return Progress::done;
}

Progress Reader::put(std::string& buffer, Packet& packet) {
  if (bytes_to_skip_ > 0) return skip_long_message(buffer, packet);
  Extent body;
  if (const Progress progress = read_extent(buffer, body); progress != Progress::done) return progress;
  try {
    if (body.length > max_size_) return start_long_packet(buffer, body, packet);
    if (buffer.size() < body.start + body.length) return Progress::more;
    packet = read_packet(static_cast<std::uint8_t>(buffer[0]),
                         Body(std::string_view(buffer).substr(body.start, body.length)), version_);
  } catch (const MalformedPacket& error) {
    fault_ = error.what();
    return Progress::bad;
  }
  buffer.erase(0, body.start + body.length);
  return Progress::done;
}

Progress Reader::start_long_packet(std::string& buffer, const Extent& body, Packet& packet) {
  const auto first_byte = static_cast<std::uint8_t>(buffer[0]);
  if (version_ == 0 || static_cast<Type>(first_byte >> 4U) != Type::publish)
    throw MalformedPacket("the packet is longer than " + std::to_string(max_size_) + " bytes");
  const std::size_t start_size = std::min(body.length, max_publish_start);
  if (buffer.size() < body.start + start_size) return Progress::more;
  Body start(std::string_view(buffer).substr(body.start, start_size));
  long_message_ = {.type = Type::publish};
  long_message_.exceeded_limit = ExceededLimit::packet_size;
  read_publish_start(start, long_message_, first_byte & 15U);
  buffer.erase(0, body.start);
  bytes_to_skip_ = body.length;
  return skip_long_message(buffer, packet);
}

Progress Reader::skip_long_message(std::string& buffer, Packet& packet) {
  const std::size_t skipped = std::min(bytes_to_skip_, buffer.size());
  buffer.erase(0, skipped);
  bytes_to_skip_ -= skipped;
  if (bytes_to_skip_ > 0) return Progress::more;
  packet = std::move(long_message_);
  return Progress::done;
}

}  // namespace rushhill::mqtt
