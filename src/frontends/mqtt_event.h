// What a topic rule makes of an MQTT message: a CloudEvent (the CloudEvents MQTT protocol binding).
#pragma once

#include "deployment/deployment_file.h"
#include "events/cloudevent.h"
#include "mqtt/packets.h"

namespace rushhill::frontends {

// The event as it was published, with what the rule adds. `version`: of the protocol, 4 (3.1.1) or 5. Throws
// events::BadEvent.
events::CloudEvent to_cloud_event(const deployment::MqttTopic& rule, const mqtt::Packet& publish,
                                  int version);

}  // namespace rushhill::frontends
