// Stand-ins for what surrounds one router on the platform: notice board, model servers, clients and the
// platform that starts the router by the deploy file's command. Every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point started = Clock::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - started).count(); }
inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) {
  if (const double left = at - now_ms(); left > 0) sleep_ms(left);
}

// record.txt of the case: one line an event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

[[noreturn]] inline void cannot_run(const char* why) {
  std::fprintf(stderr, "the case cannot run: %s\n", why);
  std::exit(2);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listen_on(int& port, int backlog = 4096) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, backlog) != 0)
    cannot_run("no port");
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline int free_port() {
  int port = 0;
  ::close(listen_on(port));
  return port;
}
inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// A connection that several threads write on; closed with its last owner.
struct Socket {
  explicit Socket(int number) : fd(number) {}
  ~Socket() { ::close(fd); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  bool write(std::string_view bytes) {
    const std::lock_guard lock(mutex);
    return write_all(fd, bytes);
  }
  void end() { ::shutdown(fd, SHUT_RDWR); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(fd, SHUT_RD);
  }
  int fd;
  std::mutex mutex;
};
using SocketPtr = std::shared_ptr<Socket>;

// The notice board: tells all events after N to whoever writes "watch N", and the last number each second.
class Board {
 public:
  Board() : listener_(listen_on(port_)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  // Adds the next event; `hosts` is the inside of its list.
  int tell(const std::string& hosts, bool whole) {
    const std::lock_guard lock(mutex_);
    const int number = static_cast<int>(events_.size()) + 1;
    events_.push_back(R"({"rev":)" + std::to_string(number) + R"(,"pool":{"seq":)" + std::to_string(number) +
                      R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" + hosts + "]}}");
    return number;
  }
  std::string known() {
    const std::lock_guard lock(mutex_);
    std::string list;
    for (const std::string& event : events_) list += (list.empty() ? "" : ",") + event;
    return R"({"rev":)" + std::to_string(events_.size()) + R"(,"notices":[)" + list + "]}";
  }

 private:
  void accept_all() {
    for (int fd = 0; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
      std::thread([this, peer = std::make_shared<Socket>(fd)] { serve(*peer); }).detach();
  }
  void serve(Socket& peer) {
    std::string line;
    char byte = 0;
    while (line.find('\n') == std::string::npos) {
      if (::recv(peer.fd, &byte, 1, 0) <= 0) return;
      line += byte;
    }
    std::size_t told = std::strtoul(line.c_str() + std::strlen("watch "), nullptr, 10);
    double beat = 0;
    for (;;) {
      std::string out;
      {
        const std::lock_guard lock(mutex_);
        for (; told < events_.size(); ++told) out += events_[told] + "\n";
      }
      if (now_ms() - beat >= 1000) out += std::to_string(told) + "\n", beat = now_ms();
      if (!out.empty() && !peer.write(out)) return;
      sleep_ms(10);
    }
  }
  int port_ = 0, listener_;
  std::mutex mutex_;
  std::vector<std::string> events_;
};
// `started_ms`: the Unix time of a late start; 0 for one long ago.
inline std::string host(const std::string& name, int port, const char* health = "active",
                        long long started_ms = 0) {
  return R"({"host":")" + name + R"(","dial":")" + address_of(port) +
         R"(","site":"only","class":"std","block":0,"health":")" + health + R"(","share":1,"born_ms":)" +
         std::to_string(started_ms) + "}";
}
inline long long unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

struct Invoke {
  std::string id, fields, body;
};

// A model server: answers what `on_invoke` says, on the connection that the request came on.
class Server {
 public:
  using Handler = std::function<void(Server&, const SocketPtr&, const Invoke&)>;
  Server(std::string its_name, Handler handler)
      : name(std::move(its_name)), on_invoke_(std::move(handler)), listener_(listen_on(port_)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  const std::string name;
  std::atomic<int> connections{0};

 private:
  void accept_all() {
    for (int fd = 0; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      ++connections;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, peer = std::make_shared<Socket>(fd)] { serve(peer); }).detach();
    }
  }
  void serve(const SocketPtr& peer) {
    std::string input;
    char buffer[65536];
    for (;;) {
      const std::size_t end = input.find("\r\n");
      if (end != std::string::npos) {
        std::istringstream line(input.substr(0, end));
        std::string verb, id, fields;
        std::size_t length = 0;
        line >> verb >> id >> fields >> length;
        if (verb == "invoke") {
          if (input.size() >= end + 2 + length + 2) {
            const Invoke invoke{id, fields, input.substr(end + 2, length)};
            input.erase(0, end + 2 + length + 2);
            on_invoke_(*this, peer, invoke);
            continue;
          }
        } else {
          input.erase(0, end + 2);
          if (verb == "alive") peer->write(id + " PONG - 0\r\n\r\n");
          if (verb == "gauges") peer->write(id + " PONG report=inflight:1;util:0.3 0\r\n\r\n");
          if (verb == "prewarm") peer->write(id + " HIT units=1 0\r\n\r\n");
          continue;
        }
      }
      const ssize_t got = ::recv(peer->fd, buffer, sizeof buffer, 0);
      if (got <= 0) return;
      input.append(buffer, static_cast<std::size_t>(got));
    }
  }
  Handler on_invoke_;
  int port_ = 0, listener_;
};

// FastCGI 1.0 as the front's web servers speak it.
inline void add_header(std::string& out, int type, int number, std::size_t size) {
  const unsigned char header[8] = {1,
                                   static_cast<unsigned char>(type),
                                   static_cast<unsigned char>(number >> 8),
                                   static_cast<unsigned char>(number),
                                   static_cast<unsigned char>(size >> 8),
                                   static_cast<unsigned char>(size),
                                   0,
                                   0};
  out.append(reinterpret_cast<const char*>(header), sizeof header);
}
inline void add_length(std::string& out, std::size_t size) {
  if (size < 128) {
    out += static_cast<char>(size);
    return;
  }
  for (const int shift : {24, 16, 8, 0})
    out += static_cast<char>((size >> shift & 0xFF) | (shift == 24 ? 0x80 : 0));
}
using Params = std::vector<std::pair<std::string, std::string>>;
inline std::string request_records(int number, const Params& params, const std::string& body) {
  std::string out, pairs;
  add_header(out, 1, number, 8);
  out += std::string("\0\1\1\0\0\0\0\0", 8);
  for (const auto& [name, value] : params) {
    add_length(pairs, name.size()), add_length(pairs, value.size());
    pairs += name + value;
  }
  add_header(out, 4, number, pairs.size());
  out += pairs;
  add_header(out, 4, number, 0);
  if (!body.empty()) {
    add_header(out, 5, number, body.size());
    out += body;
  }
  add_header(out, 5, number, 0);
  return out;
}
inline std::string abort_record(int number) {
  std::string out;
  add_header(out, 2, number, 0);
  return out;
}

struct Answer {
  bool ended = false;  // END_REQUEST has come
  bool lost = false;   // the connection has ended before
  int protocol_status = 0;
  std::string output;
  double at = 0;
  int status() const {
    const std::size_t found = output.find("Status: ");
    return found == std::string::npos ? 0 : std::atoi(output.c_str() + found + 8);
  }
  std::string body() const {
    const std::size_t found = output.find("\r\n\r\n");
    return found == std::string::npos ? "" : output.substr(found + 4);
  }
};

// One connection of a client with its open requests.
class Client {
 public:
  using OnAnswer = std::function<void(int number, const Answer&)>;
  Client(int port, OnAnswer on_answer) : on_answer_(std::move(on_answer)) {
    const int fd = connect_to(port);
    if (fd < 0) return;
    socket_ = std::make_shared<Socket>(fd);
    reader_ = std::thread([this] { read_all(); });
  }
  ~Client() {
    if (socket_) socket_->end();
    if (reader_.joinable()) reader_.join();
  }
  bool connected() const { return socket_ != nullptr && !ended_; }
  bool send(int number, const Params& params, const std::string& body) {
    {
      const std::lock_guard lock(mutex_);
      open_.emplace(number, Answer{});
    }
    return socket_->write(request_records(number, params, body));
  }
  bool abort(int number) { return socket_->write(abort_record(number)); }
  void end() { socket_->end(); }
  int fd() const { return socket_->fd; }
  std::size_t open() {
    const std::lock_guard lock(mutex_);
    return open_.size();
  }

 private:
  void read_all() {
    std::string input;
    char buffer[65536];
    for (;;) {
      const ssize_t got = ::recv(socket_->fd, buffer, sizeof buffer, 0);
      if (got <= 0) break;
      input.append(buffer, static_cast<std::size_t>(got));
      std::size_t at = 0;
      while (input.size() - at >= 8) {
        const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(input[at + i]); };
        const std::size_t size = byte(4) << 8U | byte(5);
        if (input.size() - at < 8 + size + byte(6)) break;
        take(byte(1), byte(2) << 8 | byte(3), input.substr(at + 8, size));
        at += 8 + size + byte(6);
      }
      input.erase(0, at);
    }
    ended_ = true;
    std::map<int, Answer> left;
    {
      const std::lock_guard lock(mutex_);
      left.swap(open_);
    }
    for (auto& [number, answer] : left) {
      answer.lost = true;
      answer.at = now_ms();
      on_answer_(number, answer);
    }
  }
  void take(int type, int number, const std::string& content) {
    Answer answer;
    {
      const std::lock_guard lock(mutex_);
      const auto it = open_.find(number);
      if (it == open_.end()) return;
      if (type == 6) it->second.output += content;
      if (type != 3) return;
      it->second.ended = true;
      it->second.protocol_status = content.size() > 4 ? static_cast<unsigned char>(content[4]) : 0;
      it->second.at = now_ms();
      answer = it->second;
      open_.erase(it);
    }
    on_answer_(number, answer);
  }
  OnAnswer on_answer_;
  SocketPtr socket_;
  std::thread reader_;
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::map<int, Answer> open_;
};

// The platform's side of one router: its configuration and its process.
class Router {
 public:
  Router(std::string root, std::string folder)
      : root_(std::move(root)), folder_(std::move(folder)), listen_port(free_port()) {}
  ~Router() { kill_now(); }
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  void write_configuration(const std::string& json) {
    std::ofstream(folder_ + "/config.new") << json;
    std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
  }
  // Starts `run` of deploy/balancer.toml as the platform does, and waits until /alive is answered.
  void start() {
    const std::string run = run_command();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("PROXY_NAME", "n0", 1);
      ::setenv("PROXY_LISTEN", address_of(listen_port).c_str(), 1);
      ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      if (::chdir(root_.c_str()) != 0) ::_exit(2);
      if (std::freopen((folder_ + "/router.log").c_str(), "a", stderr) == nullptr) ::_exit(2);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(2);
    }
    for (int tries = 0; tries < 100; ++tries, sleep_ms(50)) {
      std::atomic<int> status{0};
      Client probe(listen_port, [&](int, const Answer& answer) { status = answer.status(); });
      if (!probe.connected()) continue;
      probe.send(1, {{"SCRIPT_NAME", "/alive"}}, "");
      for (int wait = 0; wait < 40 && status == 0; ++wait) sleep_ms(5);
      if (status == 200) return;
    }
    kill_now();
    cannot_run("the router does not become ready");
  }
  pid_t pid() const { return pid_; }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether the process has ended by itself; `status` as of waitpid.
  bool ended(int& status) {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string run_command() const {
    std::ifstream file(root_ + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
      if (!line.starts_with("run")) continue;
      const std::size_t first = line.find('"'), last = line.rfind('"');
      return line.substr(first + 1, last - first - 1);
    }
    cannot_run("no run command");
  }
  std::string root_, folder_;
  pid_t pid_ = -1;

 public:
  const int listen_port;
};

// What a case sets of the platform's settings; the rest is that of a small deployment with one router.
struct Settings {
  std::string name = "date-lookup", effect = "free", group = "all";
  int aim_ms = 750, deadline_ms = 2500, memory_span_ms = 5000, connect_timeout_ms = 250;
  int sockets = 256, memory_mb = 64, attempts = 5;
  bool cancel = true;
};
inline std::string configuration(const Settings& settings, int listen_port, int peer_port, Board& board) {
  const auto ns = [](int ms) { return std::to_string(ms) + "000000"; };
  const auto number = [](int value) { return std::to_string(value); };
  return R"({"name":"n0","listen":")" + address_of(listen_port) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + number(settings.memory_mb) +
         R"(,"sockets":)" + number(settings.sockets) + R"(},"peer_listen":")" + address_of(peer_port) +
         R"(","peers":[")" + address_of(peer_port) + R"("],"peers_all":")" + address_of(peer_port) +
         R"(","board":")" + address_of(board.port()) + R"(","known":)" + board.known() +
         R"(,"settings":{"me":0,"balancers":1,"zone":"only","dcs":["only"],"quantum":4000000,
  "discovery":"pushed","family":"warm","kinds":["std"],"tier":0,"stages":["only"],"weight-kind":"rough",
  "worth-by":"request","over-share-worth":0.05,"clients":{"marks-retry":false},
  "services":[{"name":")" +
         settings.name + R"(","promise":)" + ns(settings.aim_ms) + R"(,"deadline":)" +
         ns(settings.deadline_ms) + R"(,"effect":")" + settings.effect + R"(","group":")" + settings.group +
         R"(","memory-span":)" + ns(settings.memory_span_ms) +
         R"(,"late-share":0.3,"stream":false,"worth":1.0}],
  "tenants":[{"name":"nagarpalika-a","quota-per-s":180.0,"share":1.0}],
  "obligations":{"ask-every":10000000000,"drain-grace":2000000000,"fall":1500000000,"fall-multiple":2.0,
   "cold":16000000000,"cold-share":0.16,"grace-to-answer":16000000},
  "permissions":{"cancel":)" +
         (settings.cancel ? "true" : "false") + R"(,"second-copies":false,"send-cap":)" +
         number(settings.attempts) + R"(,"open-cap":20000,"peers":true,
   "probing":false,"retry-after":true,"max-retry-after":500000000,"multiplex":100,"conn-idle":15000000000,
   "connect-timeout":)" +
         ns(settings.connect_timeout_ms) + R"(,"cpu-us-per-s":400000,"cpu-us-per-request":0.0},
  "reporting":{"how":"none","names":[]},
  "family-info":{"marks-cold":true,"notes-peers-in-hand":true,"keep":10000000000,"answer-within":10000000000,
   "placement-calls":true,"not-loaded":"load","load-window":0,"load-free":0.0,"loads-per-request":0.0}}})";
}

// The threads of bad clients, started and ended together.
class BadClients {
 public:
  using One = std::function<void(const std::atomic<bool>& over)>;
  void start(int count, One one) {
    for (int i = 0; i < count; ++i) threads_.emplace_back([this, one] { one(over_); });
  }
  void end() {
    over_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

 private:
  std::atomic<bool> over_{false};
  std::vector<std::thread> threads_;
};
// A bad client: sends a burst of `requests` requests at once at full speed, and the same again the moment the
// first of them is turned away. It reads whatever it is sent, and connects again when it is closed. `sent`
// counts its requests.
inline void send_again_when_turned_away(int port, const std::function<std::string(std::uint64_t)>& burst_of,
                                        std::size_t requests, const std::atomic<bool>& over,
                                        std::atomic<std::uint64_t>& sent) {
  while (!over) {
    const int fd = connect_to(port);
    if (fd < 0) {
      sleep_ms(10);
      continue;
    }
    std::mutex mutex;
    std::condition_variable turned_away;
    std::uint64_t ended = 0;
    bool closed = false;
    std::thread reader([&] {
      std::string input;
      char buffer[65536];
      for (ssize_t got = 0; (got = ::recv(fd, buffer, sizeof buffer, 0)) > 0;) {
        input.append(buffer, static_cast<std::size_t>(got));
        std::size_t at = 0;
        std::uint64_t now_ended = 0;
        while (input.size() - at >= 8) {
          const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(input[at + i]); };
          const std::size_t size = 8U + (byte(4) << 8U | byte(5)) + byte(6);
          if (input.size() - at < size) break;
          now_ended += byte(1) == 3;
          at += size;
        }
        input.erase(0, at);
        if (now_ended == 0) continue;
        const std::lock_guard lock(mutex);
        ended += now_ended;
        turned_away.notify_one();
      }
      const std::lock_guard lock(mutex);
      closed = true;
      turned_away.notify_one();
    });
    for (std::uint64_t burst = 0; !over; ++burst) {
      if (!write_all(fd, burst_of(burst))) break;
      sent += requests;
      std::unique_lock lock(mutex);
      while (!over && !closed && ended <= burst * requests)
        turned_away.wait_for(lock, std::chrono::milliseconds(50));
      if (closed) break;
    }
    ::shutdown(fd, SHUT_RDWR);
    reader.join();
    ::close(fd);
  }
}
// A bad client: sends `bytes` again and again at full speed, and reads whatever it is sent. It connects again
// when it is closed. `sent` counts the times.
inline void send_at_full_speed(int port, const std::string& bytes, const std::atomic<bool>& over,
                               std::atomic<std::uint64_t>& sent) {
  while (!over) {
    const int fd = connect_to(port);
    if (fd < 0) {
      sleep_ms(10);
      continue;
    }
    std::thread reader([fd] {
      std::vector<char> buffer(1 << 20);
      while (::recv(fd, buffer.data(), buffer.size(), 0) > 0) {}
    });
    std::atomic<bool> closed{false};
    std::thread ender([&] {  // ends a write that waits
      while (!over && !closed) sleep_ms(5);
      ::shutdown(fd, SHUT_RDWR);
    });
    while (!over && write_all(fd, bytes)) ++sent;
    closed = true;
    ender.join();
    reader.join();
    ::close(fd);
  }
}
// Bursts of so many requests for a class that does not exist. The numbers of one burst differ from those of
// the next.
inline std::vector<std::string> bursts_of_unknown_class(int requests) {
  std::vector<std::string> bursts(40);
  int number = 0;
  for (std::string& burst : bursts) {
    for (int i = 0; i < requests; ++i)
      burst +=
          request_records(++number, {{"SCRIPT_NAME", "/ops/no-such-class"}, {"HTTP_X_ALLOW_MS", "1500"}}, "");
  }
  return bursts;
}
inline std::string request_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}
inline Params usual_params(const Settings& settings, const std::string& id, const std::string& function,
                           std::size_t body_size) {
  return {{"SCRIPT_NAME", "/ops/" + settings.name},
          {"HTTP_X_JOB_ID", id},
          {"HTTP_X_ALLOW_MS", std::to_string(settings.deadline_ms)},
          {"HTTP_X_TEAM", "nagarpalika-a"},
          {"HTTP_X_ITEM", function},
          {"HTTP_X_FACTS", "memory_mb:512;lanes:2"},
          {"CONTENT_LENGTH", std::to_string(body_size)}};
}
// The value of a line of /proc/PID/status, in kB; 0 if there is none.
inline long status_kb(pid_t pid, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name + ":")) return std::atol(line.c_str() + name.size() + 1);
  }
  return 0;
}

// What run.sh hands to a case.
struct Task {
  std::string root, folder, record;
  bool trouble = true;
};
inline Task task_of(int count, char** arguments) {
  if (count != 5) cannot_run("run.sh starts this");
  ::signal(SIGPIPE, SIG_IGN);
  return {arguments[1], arguments[2], arguments[3], std::string(arguments[4]) != "0"};
}
// Ends the case at once: its threads hold nothing that outlasts the process.
[[noreturn]] inline void finish(Router& router, Record& record, bool broken, const char* verdict) {
  record.line("verdict: %s: %s", broken ? "BROKEN" : "held", verdict);
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", verdict);
  std::fflush(stdout);
  router.kill_now();
  ::_exit(broken ? 1 : 0);
}

}  // namespace rig
