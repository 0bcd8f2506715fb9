// Guards against losing packets that arrive in parts and against accepting malformed ones. The tests split
// encoded packets into pieces of several sizes, and read packets that each violate one rule of the standard.
#include "mqtt/packets.h"

#include <gtest/gtest.h>

namespace rushhill::mqtt {
namespace {

std::vector<Packet> sample_packets() {
  std::vector<Packet> all;
  Packet connect{.type = Type::connect, .client_id = "c", .clean_start = false, .keep_alive = 30};
  connect.will = Will{"w/t", "gone", 1, true};
  connect.properties.receive_maximum = 7;
  connect.properties.session_expiry = 3600;
  all.push_back(connect);
  Packet publish{.type = Type::publish, .dup = true, .qos = 2, .id = 9, .topic = "a/b"};
  publish.payload = std::string(300, 'x');
  publish.properties.message_expiry = 5;
  publish.properties.correlation_data = std::string("\0\xFF", 2);
  publish.properties.user = {{"id", "1"}, {"id", "2"}};
  all.push_back(publish);
  all.push_back({.type = Type::puback, .id = 3, .reason = quota_exceeded});
  all.push_back({.type = Type::pubrel, .id = 3});
  all.push_back({.type = Type::subscribe, .id = 4, .filters = {{"$share/g/a/#", 1}, {"+", 2}}});
  all.push_back({.type = Type::suback, .id = 4, .reasons = {1, 0x87}});
  all.push_back({.type = Type::pingreq});
  all.push_back({.type = Type::disconnect, .reason = session_taken_over});
  return all;
}

TEST(PacketReader, ReadsEncodedPacketsWhereverTheBytesAreSplit) {
  std::string bytes;
  for (const Packet& packet : sample_packets()) bytes += encode(packet, 5);
  for (const std::size_t step : {std::size_t{1}, std::size_t{2}, std::size_t{7}, bytes.size()}) {
    Reader reader(0, 10'000);
    std::string buffer, reencoded;
    std::size_t count = 0;
    for (std::size_t offset = 0; offset < bytes.size(); offset += step) {
      buffer += bytes.substr(offset, step);
      Packet packet;
      Progress progress;
      while ((progress = reader.put(buffer, packet)) == Progress::done)
        reencoded += encode(packet, 5), ++count, packet = {};
      ASSERT_EQ(progress, Progress::more) << reader.fault();
    }
    EXPECT_EQ(reencoded, bytes);
    EXPECT_EQ(count, 8U);
  }
}

std::string fault_of(std::string bytes, int version = 5) {
  Reader reader(version, 1'000);
  Packet packet;
  return reader.put(bytes, packet) == Progress::bad ? reader.fault() : "taken";
}

TEST(PacketReader, NamesTheFaultOfAMalformedPacket) {
  using namespace std::string_literals;
  EXPECT_NE(fault_of("\x36\x05\x00\x01t\x00\x01"s).find("QoS is 3"), std::string::npos);
  EXPECT_NE(fault_of("\x32\x06\x00\x01t\x00\x00\x00"s).find("identifier is 0"), std::string::npos);
  EXPECT_NE(fault_of("\x30\x04\x00\x01#\x00"s).find("topic"), std::string::npos);
  EXPECT_NE(fault_of("\x30\x04\x00\x01\xFF\x00"s).find("UTF-8"), std::string::npos);
  EXPECT_NE(fault_of("\x30\x02\x00\x09"s).find("too early"), std::string::npos);
  EXPECT_NE(fault_of("\x30\xFF\xFF\xFF\xFF\x01"s).find("longer than four bytes"), std::string::npos);
  EXPECT_NE(fault_of("\x30\xFF\x7F"s).find("longer than 1000"), std::string::npos);
  EXPECT_NE(fault_of("\x41\x02\x00\x01"s).find("reserved flags"), std::string::npos);
  EXPECT_NE(fault_of("\x30\x06\x00\x01t\x02\x7F\x00"s).find("unknown identifier"), std::string::npos);
  EXPECT_NE(fault_of("\x30\x0E\x00\x01t\x0A\x02\x00\x00\x00\x01\x02\x00\x00\x00\x01"s).find("twice"),
            std::string::npos);
  EXPECT_NE(fault_of("\x20\x06\x00\x00\x03\x21\x00\x00"s).find("receive maximum is 0"), std::string::npos);
  EXPECT_NE(fault_of("\xC0\x00"s, 0).find("not CONNECT"), std::string::npos);
  EXPECT_NE(fault_of("\x00\x00"s).find("type 0"), std::string::npos);
  EXPECT_NE(fault_of("\xD0\x01x"s).find("after its last field"), std::string::npos);
}

TEST(TopicFilters, MatchTopicsAsTheStandardSpecifies) {
  for (const char* invalid : {"", "a/#/b", "a+", "a/b#", "#/"})
    EXPECT_FALSE(filter_valid(invalid)) << invalid;
  for (const char* valid : {"#", "+", "a/+/#", "/", "+/+"}) EXPECT_TRUE(filter_valid(valid)) << valid;
  EXPECT_TRUE(matches("a/#", "a"));
  EXPECT_TRUE(matches("a/#", "a/b/c"));
  EXPECT_TRUE(matches("+/b", "/b"));
  EXPECT_TRUE(matches("a/+", "a/"));
  EXPECT_FALSE(matches("a/+", "a"));
  EXPECT_FALSE(matches("a/+", "a/b/c"));
  EXPECT_FALSE(matches("a", "a/b"));
  EXPECT_FALSE(matches("#", "$SYS/x"));
  EXPECT_FALSE(matches("+/x", "$SYS/x"));
  std::vector<std::string> levels;
  EXPECT_TRUE(matches("w/+/t/#", "w/7/t/x/y", &levels));
  EXPECT_EQ(levels, (std::vector<std::string>{"7", "x/y"}));
}

}  // namespace
}  // namespace rushhill::mqtt
