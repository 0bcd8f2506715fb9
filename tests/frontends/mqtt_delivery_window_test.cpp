// The order of acknowledgements, whatever the order in which messages end.
#include "frontends/mqtt_delivery_window.h"

#include <gtest/gtest.h>

namespace rushhill::frontends {
namespace {

class MqttDeliveryWindowTest : public testing::Test {
 protected:
  MqttDeliveryPointer add(std::uint16_t packet_id, const std::string& key, int qos = 1) {
    auto delivery = std::make_shared<MqttDelivery>();
    delivery->packet_id = packet_id;
    delivery->message_key = key;
    delivery->qos = qos;
    window.add(delivery);
    return delivery;
  }
  // The packet identifier of the next acknowledgement; 0: none.
  int next() {
    const MqttDeliveryPointer delivery = window.take_settled();
    return delivery ? delivery->packet_id : 0;
  }
  MqttDeliveryWindow window;
};

TEST_F(MqttDeliveryWindowTest, TheOldestIsWaitedFor) {
  add(1, "a");
  add(2, "b");
  window.settle("b");
  EXPECT_EQ(next(), 0);
  window.settle("a");
  EXPECT_EQ(next(), 1);
  EXPECT_EQ(next(), 2);
  EXPECT_EQ(next(), 0);
  EXPECT_EQ(window.size(), 0U);
  EXPECT_FALSE(window.contains(1));
}

TEST_F(MqttDeliveryWindowTest, EveryDeliveryOfAMessageIsSettledButThoseThatAreQueued) {
  add(1, "a");
  add(2, "a")->queued = true;
  add(3, "a");
  window.settle("a");
  EXPECT_EQ(next(), 1);
  EXPECT_EQ(next(), 0);
}

TEST_F(MqttDeliveryWindowTest, QosZeroIsNotHeld) {
  add(0, "a", 0);
  EXPECT_EQ(window.size(), 0U);
}

TEST_F(MqttDeliveryWindowTest, QosTwoAwaitsItsReleaseUnlessRefused) {
  add(1, "a", 2);
  add(2, "b", 2)->reason = mqtt::payload_format_invalid;
  window.settle("a");
  window.settle("b");
  EXPECT_EQ(next(), 1);
  EXPECT_EQ(next(), 2);
  EXPECT_TRUE(window.awaits_release(1));
  EXPECT_FALSE(window.awaits_release(2));
  window.release(1);
  EXPECT_FALSE(window.awaits_release(1));
}

TEST_F(MqttDeliveryWindowTest, AfterALostConnectionNothingIsAcknowledged) {
  add(1, "a", 2);
  window.settle("a");
  EXPECT_EQ(next(), 1);
  add(2, "b");
  window.clear();
  window.settle("b");
  EXPECT_EQ(next(), 0);
  EXPECT_FALSE(window.contains(2));
  EXPECT_FALSE(window.awaits_release(1));
}

}  // namespace
}  // namespace rushhill::frontends
