#include "lab/bench.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/processes.h"

namespace rushhill::lab {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr int memory_servers =
    20;  // that fall silent; so many, since a server has a share of the connections
// The flood: each of HTTP, a quiet topic and the flooding one sends at `usual` a second, which together is
// less than half of what the servers can do; the flooding one then at ten times that.
constexpr int flood_servers = 4, flood_lanes = 4, flood_work_ms = 5;  // 3,200 a second in all
constexpr double usual = 400, flood_times = 10;
constexpr int flood_due_ms = 100;
constexpr int taught = 20'000;  // answers before that, from which the router learns its usual times

class BenchFolder {
 public:
  BenchFolder() {
    std::string pattern = (fs::temp_directory_path() / "rushhill-bench-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder for the bench");
    path = pattern;
  }
  ~BenchFolder() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  BenchFolder(const BenchFolder&) = delete;
  BenchFolder& operator=(const BenchFolder&) = delete;
  std::string operator/(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

class Table {
 public:
  explicit Table(const Bench& how) : how_(how) {}

  int run() {
    if (how_.flood) return flood();
    const auto echo = start_echo(false, 2);
    const Json direct = pump(echo_addresses_, 0);
    print("direct", direct, nullptr);
    measure("one process", 1, direct);
    measure(std::to_string(how_.processes) + " processes", how_.processes, direct);
    if (how_.mqtt) measure_mqtt(direct);
    if (how_.memory) {
      for (const int open : {5'000, 10'000, 18'000}) memory(open);
    }
    return 0;
  }

 private:
  std::vector<std::unique_ptr<Process>> start_echo(bool mute, int count) {
    std::vector<std::unique_ptr<Process>> all;
    echo_addresses_.clear();
    for (int i = 0; i < (mute ? 1 : count); ++i) {
      std::vector<std::string> words{"standin", "echo", "--ports", std::to_string(mute ? count : 1)};
      if (mute) words.insert(words.end(), {"--answers", std::to_string(taught)});
      all.push_back(std::make_unique<Process>("echo", words, folder_ / "echo.log"));
      std::istringstream ports(all.back()->ready());
      for (std::string port; ports >> port;) echo_addresses_.push_back(port);
    }
    return all;
  }

  std::vector<std::unique_ptr<Process>> start_routers(int count, const std::string& listen, int connections,
                                                      const std::string& more = "",
                                                      const std::string& deadline_span = "1000s",
                                                      const std::string& permissions = "open = 200000\n") {
    Json servers = Json::array();
    for (std::size_t i = 0; i < echo_addresses_.size(); ++i)
      servers.push_back({{"id", "echo-" + std::to_string(i)}, {"address", echo_addresses_[i]}});
    std::ofstream(folder_ / "roster.json")
        << Json{{"form", "complete"}, {"revision", 1}, {"servers", servers}}.dump() << '\n';
    std::vector<std::unique_ptr<Process>> all;
    fs::remove(folder_ / "tally");
    for (int i = 0; i < count; ++i) {
      const std::string file = folder_ / ("router-" + std::to_string(i) + ".ini");
      std::ofstream(file) << "[router]\nnumber = " << i << "\nrouters = " << count << "\n[permissions]\n"
                          << permissions
                          << "call-off = no\n[functions]\norders = no\n"
                             "[servers]\nconnections = "
                          << connections << "\n[http]\nbatch = 100\nlisten = " << listen
                          << "\n[roster]\nremembered = " << (folder_ / "roster.json")
                          << "\n[log]\nleast = warning\n[traffic lookup]\ndue = "
                          << (deadline_span == "1s" ? "100ms" : "600s") << "\nhard-limit = " << deadline_span
                          << "\n"
                             "effect = reissuable\n"
                          << more;
      all.push_back(std::make_unique<Process>(
          "router", std::vector<std::string>{"serve", file, "--tally", folder_ / "tally"},
          folder_ / "router.log"));
    }
    for (const auto& router : all) router->ready();
    return all;
  }

  Json pump(const std::vector<std::string>& to, double rate, int due_ms = 0) {
    std::vector<std::string> words{"standin",       "pump",
                                   "--connections", std::to_string(how_.connections),
                                   "--seconds",     std::to_string(how_.seconds),
                                   "--rate",        std::to_string(rate),
                                   "--due",         std::to_string(due_ms)};
    for (const std::string& one : to) words.insert(words.end(), {"--to", one});
    Process process("pump", words, folder_ / "pump.log");
    Json result = Json::parse(process.ready(how_.seconds + 20));
    process.wait(5);
    return result;
  }

  // As fast as it goes, then at half of that beside the direct way at the same rate.
  void measure(const std::string& name, int processes, const Json& direct) {
    const FreePort port;
    const std::string address = port.address().toString();
    auto routers = start_routers(processes, address, 4096);
    const Json most = pump({address}, 0);
    const double half = most["per_second"].get<double>() / 2;
    const Json routed = pump({address}, half);
    const Json beside = pump(echo_addresses_, half);
    for (const auto& router : routers) router->ask_to_end();
    for (const auto& router : routers) router->wait(15);
    print(name, most, &direct);
    double cpu = 0, module = 0, taken = 0;
    std::ifstream in(folder_ / "tally");
    for (std::string line; std::getline(in, line);) {
      const Json tally = Json::parse(line);
      cpu += tally["cpu_seconds"].get<double>();
      module += tally["module_seconds"].get<double>();
      taken += tally["taken"].get<double>();
    }
    std::cout << "  at half load, " << std::fixed << std::setprecision(0) << half
              << " a second: added at the median "
              << routed["median_us"].get<double>() - beside["median_us"].get<double>()
              << " us, at the 99th percentile "
              << routed["p99_us"].get<double>() - beside["p99_us"].get<double>()
              << " us\n  CPU an event: module " << std::setprecision(1) << module / taken * 1e6
              << " us, the rest " << (cpu - module) / taken * 1e6 << " us\n";
  }

  struct Flood {
    const char* name;
    std::string deployment;  // of the MQTT part, behind the broker's address
  };
  // Their share in time without the flood and with it; before: one rule for all topics and a window and
  // weight as if nothing were weighed; after: a rule for each topic, all weights alike.
  int flood() {
    std::vector<std::unique_ptr<Process>> servers;
    echo_addresses_.clear();
    for (int i = 0; i < flood_servers; ++i) {
      servers.push_back(std::make_unique<Process>(
          "echo",
          std::vector<std::string>{"standin", "echo", "--work", std::to_string(flood_work_ms), "--lanes",
                                   std::to_string(flood_lanes)},
          folder_ / "echo.log"));
      echo_addresses_.push_back(servers.back()->ready());
    }
    std::cout << "share of the events in time (" << flood_due_ms << " ms), each " << usual
              << " a second, the flood " << usual * flood_times << "; the servers bear "
              << flood_servers * flood_lanes * 1000 / flood_work_ms << "\n";
    const std::vector<Flood> ways{
        {"unweighed", "in-flight = 65535\n[mqtt-topic all]\nfilter = load/+\nweight = 1000\n"},
        {"weighed",
         "in-flight = 1000\n[mqtt-topic quiet]\nfilter = load/quiet\n"
         "[mqtt-topic flood]\nfilter = load/flood\n"}};
    for (const Flood& way : ways) {
      for (const double times : {1.0, flood_times}) flood_row(way, times);
    }
    return 0;
  }

  void flood_row(const Flood& way, double times) {
    Process broker("mqtt pump",
                   {"standin", "mqtt-pump", "--seconds", std::to_string(how_.seconds), "--due",
                    std::to_string(flood_due_ms), "--stream", "load/quiet=" + std::to_string(usual),
                    "--stream", "load/flood=" + std::to_string(usual * times)},
                   folder_ / "mqtt-pump.log");
    const std::string address = broker.ready();
    const FreePort port;
    auto routers =
        start_routers(1, port.address().toString(), 4096,
                      "[mqtt]\naddress = " + address + "\n" + way.deployment, "1s", "open = 1000\n");
    const Json http = pump({port.address().toString()}, usual, flood_due_ms);
    const Json topics = Json::parse(broker.ready(how_.seconds + 20));
    for (const auto& router : routers) router->ask_to_end();
    for (const auto& router : routers) router->wait(15);
    const auto share = [](const Json& of) {
      return of["in_time"].get<double>() / std::max(1.0, of["offered"].get<double>());
    };
    std::cout << std::left << std::setw(10) << way.name
              << (times > 1 ? " with the flood:   " : " without a flood: ") << std::fixed
              << std::setprecision(3) << "HTTP " << share(http) << ", quiet topic " << share(topics[0])
              << ", flooding topic " << share(topics[1]) << std::setprecision(0) << " ("
              << topics[1]["honoured"].get<double>() / topics[1]["seconds"].get<double>()
              << " honoured a second)"
              << "\n"
              << std::flush;
  }

  // One topic, as many messages out as the HTTP client has connections.
  Json mqtt_pumped(double rate, bool direct_too, Json* beside) {
    Process broker("mqtt pump",
                   {"standin", "mqtt-pump", "--seconds", std::to_string(how_.seconds), "--stream",
                    "load/only=" + std::to_string(rate)},
                   folder_ / "mqtt-pump.log");
    const std::string address = broker.ready();
    const FreePort port;
    auto routers =
        start_routers(1, port.address().toString(), 4096,
                      "[mqtt]\naddress = " + address + "\nin-flight = " + std::to_string(how_.connections) +
                          "\n[mqtt-topic only]\nfilter = load/only\n");
    Json result = Json::parse(broker.ready(how_.seconds + 20))[0];
    if (direct_too) *beside = pump(echo_addresses_, rate);
    for (const auto& router : routers) router->ask_to_end();
    for (const auto& router : routers) router->wait(15);
    return result;
  }
  void measure_mqtt(const Json& direct) {
    const Json most = mqtt_pumped(0, false, nullptr);
    const double half = most["per_second"].get<double>() / 2;
    Json beside;
    const Json routed = mqtt_pumped(half, true, &beside);
    print("MQTT, one", most, &direct);
    std::cout << "  at half load, " << std::fixed << std::setprecision(0) << half
              << " a second: added at the median "
              << routed["median_us"].get<double>() - beside["median_us"].get<double>()
              << " us, at the 99th percentile "
              << routed["p99_us"].get<double>() - beside["p99_us"].get<double>() << " us"
              << "\n"
              << std::flush;
  }

  static void print(const std::string& name, const Json& result, const Json* direct) {
    std::cout << std::left << std::setw(14) << name << std::right << std::fixed << std::setprecision(0)
              << std::setw(9) << result["per_second"].get<double>() << " a second, median "
              << result["median_us"].get<double>() << " us, 99th percentile "
              << result["p99_us"].get<double>() << " us, failed " << result["failed"];
    if (direct != nullptr)
      std::cout << std::setprecision(2) << ", of the direct way "
                << result["per_second"].get<double>() / (*direct)["per_second"].get<double>();
    std::cout << "\n" << std::flush;
  }

  static double resident_kib(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6);
    }
    return 0;
  }

  void memory(int open) {
    const auto mute = start_echo(true, memory_servers);
    const FreePort port;
    const std::string address = port.address().toString();
    auto routers = start_routers(1, address, 65'000);
    const double before = resident_kib(routers[0]->id());
    constexpr int batch = 100;
    Process client("pump",
                   {"standin", "pump", "--connections", std::to_string(open / batch), "--seconds", "30",
                    "--batch", std::to_string(batch), "--to", address},
                   folder_ / "pump.log");
    double after = 0;
    // Until it grows no more.
    for (int i = 0, still = 0; i < 250 && still < 15; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      const double now = resident_kib(routers[0]->id());
      still = now <= after && now > before + 100 ? still + 1 : 0;
      after = std::max(after, now);
    }
    std::cout << open << " events open: " << std::fixed << std::setprecision(2) << (after - before) / open
              << " KiB an event (" << std::setprecision(1) << after / 1024 << " MiB in all)"
              << "\n"
              << std::flush;
  }

  Bench how_;
  BenchFolder folder_;
  std::vector<std::string> echo_addresses_;
};

}  // namespace

int bench(const Bench& how) { return Table(how).run(); }

}  // namespace rushhill::lab
