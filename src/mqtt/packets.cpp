#include "mqtt/packets.h"

#include <algorithm>
#include <stdexcept>

#include "events/cloudevent.h"

namespace rushhill::mqtt {
namespace {

constexpr std::size_t most_filters = 1000;  // of one SUBSCRIBE
constexpr std::size_t most_user = 128;      // user properties of one packet

class Bad : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

void put_u16(std::string& out, std::size_t value) {
  out += static_cast<char>(value >> 8U & 255U);
  out += static_cast<char>(value & 255U);
}
void put_u32(std::string& out, std::uint32_t value) {
  put_u16(out, value >> 16U);
  put_u16(out, value & 0xFFFFU);
}
void put_text(std::string& out, std::string_view text) {
  if (text.size() > 65'535) throw std::length_error("an MQTT string is longer than 65535 bytes");
  put_u16(out, text.size());
  out += text;
}
void put_length(std::string& out, std::size_t length) {
  do {
    const std::size_t rest = length / 128;
    out += static_cast<char>(length % 128 + (rest > 0 ? 128 : 0));
    length = rest;
  } while (length > 0);
}

std::string properties_of(const Properties& of) {
  std::string out;
  if (of.message_expiry) out += '\x02', put_u32(out, *of.message_expiry);
  if (of.content_type) out += '\x03', put_text(out, *of.content_type);
  if (of.response_topic) out += '\x08', put_text(out, *of.response_topic);
  if (of.correlation_data) out += '\x09', put_text(out, *of.correlation_data);
  if (of.session_expiry) out += '\x11', put_u32(out, *of.session_expiry);
  if (of.reason) out += '\x1F', put_text(out, *of.reason);
  if (of.receive_maximum) out += '\x21', put_u16(out, *of.receive_maximum);
  for (const auto& [name, value] : of.user) out += '\x26', put_text(out, name), put_text(out, value);
  std::string whole;
  put_length(whole, out.size());
  return whole + out;
}

// What is left of a packet's body.
class Body {
 public:
  explicit Body(std::string_view bytes) : rest_(bytes) {}
  bool empty() const { return rest_.empty(); }
  std::string_view take(std::size_t count) {
    if (count > rest_.size()) throw Bad("the packet ends too early");
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }
  std::uint8_t u8() { return static_cast<std::uint8_t>(take(1)[0]); }
  std::uint16_t u16() {
    const std::uint8_t high = u8();
    return static_cast<std::uint16_t>(high << 8U | u8());
  }
  std::uint32_t u32() {
    const std::uint32_t high = u16();
    return high << 16U | u16();
  }
  std::string bytes() { return std::string(take(u16())); }
  std::string text() {
    std::string value = bytes();
    if (!value.empty() && !events::proper_text(value)) throw Bad("a string is not proper UTF-8");
    return value;
  }
  std::size_t length() {
    std::size_t value = 0, factor = 1;
    for (int i = 0; i < 4; ++i, factor *= 128) {
      const std::uint8_t byte = u8();
      value += (byte & 127U) * factor;
      if (byte < 128) return value;
    }
    throw Bad("a length is longer than four bytes");
  }
  std::string rest() { return std::string(take(rest_.size())); }

 private:
  std::string_view rest_;
};

template <typename Value>
void once(std::optional<Value>& into, Value value) {
  if (into) throw Bad("a property is there twice");
  into = std::move(value);
}

Properties read_properties(Body& body) {
  Body list(body.take(body.length()));
  Properties read;
  while (!list.empty()) {
    switch (list.u8()) {
      case 0x02:
        once(read.message_expiry, list.u32());
        break;
      case 0x03:
        once(read.content_type, list.text());
        break;
      case 0x08:
        once(read.response_topic, list.text());
        break;
      case 0x09:
        once(read.correlation_data, list.bytes());
        break;
      case 0x0B:
        list.length();
        break;  // subscription identifier
      case 0x11:
        once(read.session_expiry, list.u32());
        break;
      case 0x1F:
        once(read.reason, list.text());
        break;
      case 0x21: {
        const std::uint16_t most = list.u16();
        if (most == 0) throw Bad("a receive maximum of 0");
        once(read.receive_maximum, most);
        break;
      }
      case 0x26: {
        std::string name = list.text();
        if (read.user.size() >= most_user) throw Bad("too many user properties");
        read.user.emplace_back(std::move(name), list.text());
        break;
      }
      // Known and without meaning here.
      case 0x01:
      case 0x17:
      case 0x19:
      case 0x24:
      case 0x25:
      case 0x28:
      case 0x29:
      case 0x2A:
        list.u8();
        break;
      case 0x13:
      case 0x22:
      case 0x23:
        list.u16();
        break;
      case 0x18:
      case 0x27:
        list.u32();
        break;
      case 0x12:
      case 0x15:
      case 0x16:
      case 0x1A:
      case 0x1C:
        list.bytes();
        break;
      default:
        throw Bad("a property of unknown number");
    }
  }
  return read;
}

void read_connect(Body& body, Packet& packet, int& version) {
  if (body.text() != "MQTT") throw Bad("the protocol is not MQTT");
  const int told = body.u8();
  if (told != 4 && told != 5) throw Bad("the protocol's version is neither 3.1.1 nor 5");
  version = told;
  const std::uint8_t flags = body.u8();
  if ((flags & 1U) != 0) throw Bad("a reserved flag is set");
  packet.clean_start = (flags & 2U) != 0;
  packet.keep_alive = body.u16();
  if (version == 5) packet.properties = read_properties(body);
  packet.client_id = body.text();
  if ((flags & 4U) != 0) {
    Will will{.qos = static_cast<int>(flags >> 3U & 3U), .retain = (flags & 32U) != 0};
    if (will.qos > 2) throw Bad("a QoS of 3");
    if (version == 5) read_properties(body);
    will.topic = body.text();
    will.payload = body.bytes();
    if (!topic_valid(will.topic)) throw Bad("the will's topic is no topic");
    packet.will = std::move(will);
  }
  if ((flags & 128U) != 0) body.text();
  if ((flags & 64U) != 0) body.bytes();
}

void read_publish(Body& body, Packet& packet, int version, unsigned flags) {
  packet.dup = (flags & 8U) != 0;
  packet.qos = static_cast<int>(flags >> 1U & 3U);
  packet.retain = (flags & 1U) != 0;
  if (packet.qos > 2) throw Bad("a QoS of 3");
  packet.topic = body.text();
  if (!topic_valid(packet.topic)) throw Bad("the topic is no topic");
  if (packet.qos > 0) {
    packet.id = body.u16();
    if (packet.id == 0) throw Bad("a packet identifier of 0");
  }
  if (version == 5) packet.properties = read_properties(body);
  packet.payload = body.rest();
}

void read_subscribe(Body& body, Packet& packet, int version) {
  packet.id = body.u16();
  if (packet.id == 0) throw Bad("a packet identifier of 0");
  if (version == 5) packet.properties = read_properties(body);
  while (!body.empty()) {
    std::string filter = body.text();
    const int most = packet.type == Type::subscribe ? body.u8() & 3 : 0;
    if (!filter_valid(filter) || most > 2) throw Bad("a filter is no filter");
    if (packet.filters.size() >= most_filters) throw Bad("too many filters");
    packet.filters.emplace_back(std::move(filter), most);
  }
  if (packet.filters.empty()) throw Bad("no filter");
}

Packet read_packet(std::uint8_t first, Body body, int& version) {
  Packet packet;
  packet.type = static_cast<Type>(first >> 4U);
  const unsigned flags = first & 15U;
  const bool two =
      packet.type == Type::pubrel || packet.type == Type::subscribe || packet.type == Type::unsubscribe;
  if (packet.type != Type::publish && flags != (two ? 2U : 0U)) throw Bad("reserved flags are wrong");
  if (version == 0 && packet.type != Type::connect) throw Bad("the first packet is no CONNECT");
  switch (packet.type) {
    case Type::connect:
      read_connect(body, packet, version);
      break;
    case Type::connack:
      packet.session_present = (body.u8() & 1U) != 0;
      packet.reason = body.u8();
      if (version == 5) packet.properties = read_properties(body);
      break;
    case Type::publish:
      read_publish(body, packet, version, flags);
      break;
    case Type::puback:
    case Type::pubrec:
    case Type::pubrel:
    case Type::pubcomp:
      packet.id = body.u16();
      if (packet.id == 0) throw Bad("a packet identifier of 0");
      if (version == 5 && !body.empty()) packet.reason = body.u8();
      if (version == 5 && !body.empty()) packet.properties = read_properties(body);
      break;
    case Type::subscribe:
    case Type::unsubscribe:
      read_subscribe(body, packet, version);
      break;
    case Type::suback:
    case Type::unsuback:
      packet.id = body.u16();
      if (version == 5) packet.properties = read_properties(body);
      while (!body.empty()) packet.reasons.push_back(body.u8());
      break;
    case Type::pingreq:
    case Type::pingresp:
      break;
    case Type::disconnect:
    case Type::auth:
      if (version == 5 && !body.empty()) packet.reason = body.u8();
      if (version == 5 && !body.empty()) packet.properties = read_properties(body);
      break;
    default:
      throw Bad("a packet of type 0");
  }
  if (!body.empty()) throw Bad("bytes stand after the packet's end");
  return packet;
}

}  // namespace

std::string encode(const Packet& packet, int version) {
  std::string body;
  unsigned flags = 0;
  const auto properties = [&] {
    if (version == 5) body += properties_of(packet.properties);
  };
  switch (packet.type) {
    case Type::connect: {
      put_text(body, "MQTT");
      body += static_cast<char>(version);
      unsigned set = packet.clean_start ? 2U : 0U;
      if (packet.will)
        set |= 4U | static_cast<unsigned>(packet.will->qos) << 3U | (packet.will->retain ? 32U : 0U);
      body += static_cast<char>(set);
      put_u16(body, packet.keep_alive);
      properties();
      put_text(body, packet.client_id);
      if (packet.will) {
        if (version == 5) body += '\0';
        put_text(body, packet.will->topic);
        put_text(body, packet.will->payload);
      }
      break;
    }
    case Type::connack:
      body += packet.session_present ? '\1' : '\0';
      body += static_cast<char>(packet.reason);
      properties();
      break;
    case Type::publish:
      flags = (packet.dup ? 8U : 0U) | static_cast<unsigned>(packet.qos) << 1U | (packet.retain ? 1U : 0U);
      put_text(body, packet.topic);
      if (packet.qos > 0) put_u16(body, packet.id);
      properties();
      body += packet.payload;
      break;
    case Type::puback:
    case Type::pubrec:
    case Type::pubrel:
    case Type::pubcomp:
      flags = packet.type == Type::pubrel ? 2 : 0;
      put_u16(body, packet.id);
      if (version == 5 && packet.reason != success) body += static_cast<char>(packet.reason);
      break;
    case Type::subscribe:
    case Type::unsubscribe:
      flags = 2;
      put_u16(body, packet.id);
      properties();
      for (const auto& [filter, most] : packet.filters) {
        put_text(body, filter);
        if (packet.type == Type::subscribe) body += static_cast<char>(most);
      }
      break;
    case Type::suback:
    case Type::unsuback:
      put_u16(body, packet.id);
      properties();
      for (const std::uint8_t reason : packet.reasons) body += static_cast<char>(reason);
      break;
    case Type::disconnect:
    case Type::auth:
      if (version == 5 && packet.reason != success) body += static_cast<char>(packet.reason);
      break;
    case Type::pingreq:
    case Type::pingresp:
      break;
  }
  std::string bytes(1, static_cast<char>(static_cast<unsigned>(packet.type) << 4U | flags));
  put_length(bytes, body.size());
  return bytes + body;
}

Progress Reader::put(std::string& buffer, Packet& packet) {
  std::size_t length = 0, factor = 1, head = 1;
  for (;; ++head, factor *= 128) {
    if (head > 4) {
      fault_ = "the packet's length is longer than four bytes";
      return Progress::bad;
    }
    if (head >= buffer.size()) return Progress::more;
    const auto byte = static_cast<std::uint8_t>(buffer[head]);
    length += (byte & 127U) * factor;
    if (byte < 128) break;
  }
  ++head;
  if (length > longest_) {
    fault_ = "the packet is longer than " + std::to_string(longest_) + " bytes";
    return Progress::bad;
  }
  if (buffer.size() < head + length) return Progress::more;
  try {
    packet = read_packet(static_cast<std::uint8_t>(buffer[0]),
                         Body(std::string_view(buffer).substr(head, length)), version_);
  } catch (const Bad& bad) {
    fault_ = bad.what();
    return Progress::bad;
  }
  buffer.erase(0, head + length);
  return Progress::done;
}

bool topic_valid(std::string_view topic) {
  return !topic.empty() && topic.find_first_of("+#") == std::string_view::npos;
}

bool filter_valid(std::string_view filter) {
  if (filter.empty()) return false;
  for (std::size_t at = 0; at <= filter.size();) {
    const std::size_t end = std::min(filter.find('/', at), filter.size());
    const std::string_view level = filter.substr(at, end - at);
    const bool wild = level.find_first_of("+#") != std::string_view::npos;
    if (wild && level.size() != 1) return false;
    if (level == "#" && end != filter.size()) return false;
    at = end + 1;
  }
  return true;
}

bool matches(std::string_view filter, std::string_view topic, std::vector<std::string>* levels) {
  // What begins with $ is the broker's own and fits no leading wildcard.
  if (topic.starts_with('$') && !filter.empty() && (filter[0] == '+' || filter[0] == '#')) return false;
  for (;;) {
    const std::string_view level = filter.substr(0, filter.find('/'));
    if (level == "#") {
      if (levels != nullptr) levels->emplace_back(topic);
      return true;
    }
    const std::string_view part = topic.substr(0, topic.find('/'));
    if (level != "+" && level != part) return false;
    if (level == "+" && levels != nullptr) levels->emplace_back(part);
    const bool more_filter = level.size() < filter.size(), more_topic = part.size() < topic.size();
    filter.remove_prefix(std::min(level.size() + 1, filter.size()));
    topic.remove_prefix(std::min(part.size() + 1, topic.size()));
    if (more_filter && !more_topic) return filter == "#";  // a/# fits a as well
    if (!more_filter) return !more_topic;
  }
}

}  // namespace rushhill::mqtt
