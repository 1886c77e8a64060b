#include "backend/framed/framed_client.h"

#include <event2/buffer.h>

#include <algorithm>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>

#include "backend/framed/frame_codec.h"
#include "base/clock.h"
#include "base/sockets.h"

namespace cairnhub::backend {

namespace {

// Frames are handed to the kernel while less than this waits there, so that the others can be withdrawn.
constexpr std::size_t kHandedMost = 16384;
// A connection on which so much of the time in which one must come up was waited in vain isn't trusted:
// another would be up long before.
constexpr Time kVainShare = 2;
// Names given up that a connection remembers: an answer may cross the note.
constexpr std::size_t kGivenUpMost = 256;
// Given-up notes to a node that reads nothing: past this the connection goes.
constexpr std::size_t kUnreadMost = 262144;

}  // namespace

// Parts that travel in one frame.
struct FramedClient::Call {
  std::vector<InFlight*> parts;  // still out
  std::uint64_t ends = 0;        // in the connection's stream; 0 = not begun
};

struct FramedClient::InFlight {
  dispatch::Attempt* attempt = nullptr;
  Node* node = nullptr;
  Connection* connection = nullptr;
  Call* call = nullptr;
  std::unique_ptr<Timer> timeout;

  bool begun() const { return call && call->ends != 0; }  // handed over: it will be written to its end
};

struct FramedClient::Connection {
  struct GivenUp {
    std::size_t name;  // hashed
    dispatch::TrafficAccount whose;
  };
  struct Span {  // handed over, and maybe not written yet; only where bytes are counted
    std::uint64_t ends;
    std::size_t size;
    dispatch::TrafficAccount whose;
  };
  FramedClient* sender = nullptr;
  Node* node = nullptr;
  Address to;
  bufferevent* bev = nullptr;
  bool up = false;
  std::uint64_t handed = 0;   // bytes, over its life
  std::uint64_t spanned = 0;  // of them, those that spans were made of
  std::list<std::unique_ptr<Call>> waiting, under_way;
  std::unordered_map<std::string_view, InFlight*> out;  // by name at the node; looked up, never walked
  std::unique_ptr<Timer> limit;                         // to connect, then to be idle
  std::unique_ptr<Timer> rest;                          // of a frame that has begun to come
  Time idle_since = 0;                                  // when its last call ended, where none is out
  Time counted = 0;                                     // its last good frame, or silence counted up to here
  Time silence = 0;                                     // waited in vain since the last good frame
  int in_vain = 0;                                      // sends given up since then
  std::deque<GivenUp> given_up;                         // oldest first
  std::deque<Span> spans;                               // oldest first
  std::string answered;                                 // the last name

  const GivenUp* was_given_up(std::string_view name) const {
    const auto it =
        std::find_if(given_up.begin(), given_up.end(),
                     [h = std::hash<std::string_view>{}(name)](const auto& g) { return g.name == h; });
    return it == given_up.end() ? nullptr : &*it;
  }
  // Danger: a connection that is dead while its node is not, as after a spoilt answer or a cut: each send on
  // it would be lost, and the node look hung for good. Harm: a slow node pays for a handshake now and then.
  void waited_in_vain(Time since) {
    const Time at = now();
    ++in_vain;
    silence += at - std::max(since, counted);
    counted = at;
  }
  // Carries nothing new. One send in vain may just have been slow.
  bool mute() const { return in_vain > 1 && silence > sender->limits_.connect_timeout / kVainShare; }
  std::size_t calls() const { return waiting.size() + under_way.size(); }
  // Danger: the node closes an idle connection as it is used again. What is written then is lost, and may
  // have run for all that is known here. Bytes on an idle connection answer nothing, unless something was
  // given up there: it is left to be read first. Harm: a system call for each call made.
  bool reusable() const {
    if (!up) return true;
    const bool awaits_bytes = calls() > 0 || !given_up.empty();
    if (!awaits_bytes && evbuffer_get_length(bufferevent_get_input(bev)) > 0) return false;
    const short ready = ready_events(bufferevent_getfd(bev), POLLIN | POLLRDHUP);
    return (ready & kPeerClosed) == 0 && (awaits_bytes || (ready & POLLIN) == 0);
  }
  std::uint64_t written() const { return handed - evbuffer_get_length(bufferevent_get_output(bev)); }
};

struct FramedClient::Node {
  EndpointId id = 0;
  std::string name;
  Address address;
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<InFlight*> this_turn;
};

FramedClient::FramedClient(event_base* base, FramedClientLimits limits, AttemptEnded ended,
                           std::function<void()> turn)
    : base_(base), limits_(limits), ended_(std::move(ended)), turn_(std::move(turn)) {}

FramedClient::~FramedClient() {
  for (auto& [id, n] : nodes_)
    for (auto& connection : n->connections) bufferevent_free(connection->bev);
}

void FramedClient::update_endpoint(EndpointId id, const std::string& name, const Address& address,
                                   EndpointState state) {
  auto& slot = nodes_[id];
  if (!slot) slot = std::make_unique<Node>();
  slot->id = id, slot->name = name, slot->address = address;
  if (state == EndpointState::kReady) return;
  // Rule 3. Danger: a frame that waits for its connection would go out long after the node said it drains.
  std::vector<InFlight*> withdrawn = slot->this_turn;
  for (auto& connection : slot->connections)
    for (auto& call : connection->waiting)
      withdrawn.insert(withdrawn.end(), call->parts.begin(), call->parts.end());
  for (InFlight* sent : withdrawn) stop(*sent, dispatch::AttemptEnd::kCancelled);
}

void FramedClient::forget_endpoint(EndpointId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  while (!it->second->connections.empty()) break_off(*it->second->connections.back(), nullptr);
  std::erase(touched_, it->second.get());
  nodes_.erase(it);
}

void FramedClient::close_idle_connections(EndpointId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  std::vector<Connection*> idle;
  for (auto& connection : it->second->connections)
    if (connection->calls() == 0) idle.push_back(connection.get());
  for (Connection* connection : idle) {
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(connection->bev), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    break_off(*connection, nullptr);
  }
}

void FramedClient::send(dispatch::Attempt& attempt, EndpointId to) {
  Node& n = *nodes_.at(to);
  auto& sent = in_flight_[&attempt] = std::make_unique<InFlight>();
  sent->attempt = &attempt, sent->node = &n;
  sent->timeout = std::make_unique<Timer>(base_, [this, w = sent.get()] {
    stop(*w, dispatch::AttemptEnd::kTimedOut);
    turn_();
  });
  sent->timeout->start(attempt.expires_at - now());
  if (n.this_turn.empty()) touched_.push_back(&n);
  n.this_turn.push_back(sent.get());
}

void FramedClient::cancel(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it != in_flight_.end()) stop(*it->second, dispatch::AttemptEnd::kCancelled);
}

void FramedClient::flush() {
  for (Node* n : std::exchange(touched_, {})) {
    std::vector<InFlight*> parts = std::exchange(n->this_turn, {});
    for (std::size_t i = 0; i < parts.size();) {
      const std::size_t upto = std::min(parts.size(), i + limits_.max_shard_requests_per_batch);
      Connection* connection = connection_with_room(*n);
      if (!connection) {  // none may be opened: not the node's doing, and it never ran
        for (; i < upto; ++i)
          finish(*parts[i], {dispatch::AttemptEnd::kCancelled, dispatch::WriteProgress::kNotConnected, {}});
        continue;
      }
      auto call = std::make_unique<Call>();
      for (; i < upto; ++i) {
        call->parts.push_back(parts[i]);
        parts[i]->connection = connection, parts[i]->call = call.get();
      }
      connection->waiting.push_back(std::move(call));
      if (connection->up) connection->limit->stop();
    }
    for (auto& connection : n->connections)
      if (connection->up) write(*connection);
  }
}

// A connection to the node's present address that carries fewer calls than it may; else a new one; else, when
// no more may be opened, the one with the fewest.
FramedClient::Connection* FramedClient::connection_with_room(Node& n) {
  Connection* fewest = nullptr;
  for (auto& connection : n.connections)
    if (connection->to == n.address && !connection->mute() &&
        (!fewest || connection->calls() < fewest->calls()) && connection->reusable())
      fewest = connection.get();
  if (fewest && fewest->calls() < static_cast<std::size_t>(limits_.max_batches_per_connection)) return fewest;
  if (open_ >= limits_.max_connections && !fewest) close_longest_idle();
  Connection* fresh = open_ < limits_.max_connections ? open(n) : nullptr;
  return fresh ? fresh : fewest;
}

// Danger: with more nodes than connections, the first ones met would hold them all until idle long enough,
// and every part for another node would fail at once. The one idle longest goes; none, where all carry calls.
void FramedClient::close_longest_idle() {
  Connection* longest = nullptr;
  for (auto& [id, n] : nodes_)
    for (auto& connection : n->connections)
      if (connection->up && connection->calls() == 0 &&
          (!longest || connection->idle_since < longest->idle_since))
        longest = connection.get();
  if (longest) break_off(*longest, nullptr);
}

FramedClient::Connection* FramedClient::open(Node& n) {
  auto owned = std::make_unique<Connection>();
  owned->sender = this, owned->node = &n, owned->to = n.address;
  Connection* connection = owned.get();
  connection->bev = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!connection->bev) return nullptr;
  connection->limit = std::make_unique<Timer>(base_, [this, connection] {
    break_off(*connection, connection->up ? nullptr : "not connected in time");
    turn_();
  });
  // Danger: a length or a line that is never filled. The node is of no further use on this connection, and
  // all that waits there would wait for nothing.
  connection->rest = std::make_unique<Timer>(base_, [this, connection] {
    break_off(*connection, "a frame without end", dispatch::AttemptEnd::kInvalidResponse);
    turn_();
  });
  if (bufferevent_socket_connect(connection->bev, reinterpret_cast<sockaddr*>(&connection->to.at),
                                 connection->to.length) != 0) {
    bufferevent_free(connection->bev);
    return nullptr;
  }
  // After the attempt to connect: one that fails at once is told here, and not by a callback as well.
  bufferevent_setcb(
      connection->bev,
      [](bufferevent*, void* at) {
        guarded("node read", [c = static_cast<Connection*>(at), s = static_cast<Connection*>(at)->sender] {
          s->readable(*c);
          s->turn_();
        });
      },
      [](bufferevent*, void* at) {
        guarded("node write", [c = static_cast<Connection*>(at)] {
          FramedClient* s = c->sender;
          const bool begins = !c->waiting.empty();
          if (begins && s->before_write_) s->before_write_();
          s->write(*c);
          if (begins) s->turn_();
        });
      },
      [](bufferevent*, short what, void* at) {
        guarded("node event",
                [c = static_cast<Connection*>(at), s = static_cast<Connection*>(at)->sender, what] {
                  s->happened(*c, what);
                  s->turn_();
                });
      },
      connection);
  connection->limit->start(limits_.connect_timeout);
  ++open_;
  n.connections.push_back(std::move(owned));
  return connection;
}

void FramedClient::happened(Connection& connection, short what) {
  if (what & BEV_EVENT_CONNECTED) {
    connection.up = true;
    connection.limit->stop();
    send_without_delay(bufferevent_getfd(connection.bev));
    bufferevent_enable(connection.bev, EV_READ | EV_WRITE);
    if (before_write_) before_write_();
    return write(connection);
  }
  break_off(connection, what & BEV_EVENT_EOF ? "ended by the node" : connection.up ? "reset" : "refused");
}

// Danger: a connection comes up late. The client has no time left, or repeats are no longer dropped, and the
// attempt would be told a time that is none or take effect twice.
void FramedClient::withdraw_expired(Connection& connection) {
  std::vector<std::pair<InFlight*, dispatch::AttemptEnd>> expired;
  const Time at = now();
  for (const auto& call : connection.waiting)
    for (InFlight* sent : call->parts) {
      if (sent->attempt->expires_at <= at)
        expired.emplace_back(sent, dispatch::AttemptEnd::kTimedOut);
      else if (sent->attempt->begins_by < at)
        expired.emplace_back(sent, dispatch::AttemptEnd::kCancelled);
    }
  for (const auto& [sent, why] : expired) stop(*sent, why);
}

// Hands over what waits as long as the kernel takes it.
void FramedClient::write(Connection& connection) {
  withdraw_expired(connection);
  evbuffer* output = bufferevent_get_output(connection.bev);
  while (!connection.waiting.empty() && evbuffer_get_length(output) < kHandedMost) {
    std::unique_ptr<Call> call = std::move(connection.waiting.front());
    connection.waiting.pop_front();
    framed::Call bytes;
    std::vector<std::size_t> upto;  // of the parts' bytes, where they are counted
    for (InFlight* sent : call->parts) {
      const dispatch::ShardRequest& p = *sent->attempt->shard_request;
      bytes.add(p.name, p.shard, sent->attempt->expires_at - now(),
                p.http_target.empty() ? (p.body ? *p.body : p.request->body)
                                      : p.http_target + "\n" + (p.body ? *p.body : p.request->body));
      connection.out[p.name] = sent;
      if (byte_counter_) upto.push_back(bytes.size());
    }
    const std::string all = bytes.finish();
    call->ends = connection.handed += all.size();
    bufferevent_write(connection.bev, all.data(), all.size());
    // What goes before them all counts as the first one's.
    for (std::size_t i = 0; i < upto.size(); ++i)
      handed_over(connection, *call->parts[i]->attempt,
                  i > 0 ? upto[i] - upto[i - 1] : upto[0] + all.size() - bytes.size());
    connection.under_way.push_back(std::move(call));
  }
  if (connection.calls() == 0 && !connection.limit->pending())
    connection.limit->start(limits_.idle_timeout), connection.idle_since = now();
}

// Counts them, and remembers what may never be written.
void FramedClient::handed_over(Connection& connection, const dispatch::Attempt& attempt, std::size_t bytes) {
  if (!byte_counter_) return;
  byte_counter_({connection.node->id, attempt.account, static_cast<long long>(bytes), 0});
  while (!connection.spans.empty() && connection.spans.front().ends <= connection.written())
    connection.spans.pop_front();
  connection.spans.push_back({connection.spanned += bytes, bytes, attempt.account});
}

void FramedClient::readable(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  for (;;) {
    unsigned char head[framed::kLengthBytes];
    const bool begun = evbuffer_copyout(input, head, sizeof head) == static_cast<ev_ssize_t>(sizeof head);
    const std::size_t n = begun ? framed::length(head) : 1;
    if (n == 0 || n > framed::kLongest)
      return break_off(connection, "a frame of no possible length", dispatch::AttemptEnd::kInvalidResponse);
    if (!begun || evbuffer_get_length(input) < sizeof head + n) break;
    const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, sizeof head + n)) + sizeof head;
    if (const char* wrong = take_frame(connection, {bytes, n}))
      return break_off(connection, wrong, dispatch::AttemptEnd::kInvalidResponse);
    evbuffer_drain(input, sizeof head + n);
    connection.rest->stop();
  }
  if (evbuffer_get_length(input) == 0)
    connection.rest->stop();
  else if (!connection.rest->pending())
    connection.rest->start(limits_.connect_timeout);  // what the network may take at the most
}

const char* FramedClient::take_frame(Connection& connection, std::string_view bytes) {
  const auto ended = framed::parse_shard_result(bytes);
  if (!ended) return bytes[0] == 'F' ? "node can't use a frame" : "a malformed frame";
  const auto it = connection.out.find(ended->id);
  const Connection::GivenUp* given_up = connection.was_given_up(ended->id);
  if (byte_counter_) {
    const dispatch::TrafficAccount whose = it != connection.out.end() ? it->second->attempt->account
                                           : given_up                 ? given_up->whose
                                                                      : dispatch::TrafficAccount{};
    byte_counter_(
        {connection.node->id, whose, 0, static_cast<long long>(bytes.size() + framed::kLengthBytes)});
  }
  // One for a part that is over crosses its give-up, or is a second copy: ordinary, dropped. Danger: one for
  // a part of nobody stands for one that waits, and the node says nothing more here.
  if (it == connection.out.end())
    return given_up || ended->id == connection.answered ? nullptr : "a part of nobody";
  connection.counted = now(), connection.silence = 0, connection.in_vain = 0;
  connection.answered = ended->id;
  // Danger: a name used again after it was given up here. This may be the value made for the earlier one.
  const dispatch::AttemptEnd end = given_up ? dispatch::AttemptEnd::kError
                                   : ended->how == framed::Ended::How::returned
                                       ? dispatch::AttemptEnd::kReturned
                                   : ended->how == framed::Ended::How::full ? dispatch::AttemptEnd::kQueueFull
                                                                            : dispatch::AttemptEnd::kError;
  finish(*it->second, {end, dispatch::WriteProgress::kFullyWritten, ended->value});
  return nullptr;
}

// How far a send on a broken connection had come.
dispatch::WriteProgress FramedClient::reached(const InFlight& sent) const {
  if (!sent.connection->up) return dispatch::WriteProgress::kNotConnected;
  return sent.begun() && sent.connection->written() >= sent.call->ends
             ? dispatch::WriteProgress::kFullyWritten
             : dispatch::WriteProgress::kPartlyWritten;
}

void FramedClient::cancel_unwritten(dispatch::Attempt& attempt) {
  const auto it = in_flight_.find(&attempt);
  if (it != in_flight_.end() && !it->second->begun()) stop(*it->second, dispatch::AttemptEnd::kCancelled);
}

// Ends a send from this side: withdrawn where its frame is not begun, else the node is told. Danger: a frame
// handed over is written to its end, and may run though its last byte was not out when it was given up.
void FramedClient::stop(InFlight& sent, dispatch::AttemptEnd why) {
  const bool told = sent.begun();
  if (told) {
    const std::string bytes = framed::give_up(sent.attempt->shard_request->name);
    sent.connection->handed += bytes.size();
    bufferevent_write(sent.connection->bev, bytes.data(), bytes.size());
    handed_over(*sent.connection, *sent.attempt, bytes.size());
    sent.connection->given_up.push_back(
        {std::hash<std::string_view>{}(sent.attempt->shard_request->name), sent.attempt->account});
    if (sent.connection->given_up.size() > kGivenUpMost) sent.connection->given_up.pop_front();
    sent.connection->waited_in_vain(sent.attempt->sent_at);
  }
  Connection* connection = sent.connection;
  finish(sent,
         {why, told ? dispatch::WriteProgress::kFullyWritten : dispatch::WriteProgress::kNotConnected, {}});
  if (told && evbuffer_get_length(bufferevent_get_output(connection->bev)) > kUnreadMost)
    break_off(*connection, "reads nothing");
}

// The one place where a send ends.
void FramedClient::finish(InFlight& sent, const dispatch::AttemptResult& result) {
  dispatch::Attempt& attempt = *sent.attempt;
  std::erase(sent.node->this_turn, &sent);
  if (Connection* connection = sent.connection) {
    const auto named = connection->out.find(attempt.shard_request->name);
    if (named != connection->out.end() && named->second == &sent) connection->out.erase(named);
    std::erase(sent.call->parts, &sent);
    if (sent.call->parts.empty()) {
      const auto done = [&](const auto& c) { return c.get() == sent.call; };
      connection->waiting.remove_if(done);
      connection->under_way.remove_if(done);
      if (connection->up && connection->calls() == 0) {
        connection->limit->start(connection->mute() ? 0 : limits_.idle_timeout);
        connection->idle_since = now();
      }
    }
  }
  const auto kept = in_flight_.extract(&attempt);  // until told
  ended_(attempt, result);
}

// Ends a connection and all that is out on it. No reason: it was idle.
void FramedClient::break_off(Connection& connection, const char* why, dispatch::AttemptEnd how) {
  if (why)
    log("node", "%s: %s, %zu calls on the connection", connection.node->name.c_str(), why,
        connection.calls());
  std::vector<std::pair<InFlight*, dispatch::WriteProgress>> lost;
  for (auto* calls : {&connection.under_way, &connection.waiting})
    for (auto& call : *calls)
      for (InFlight* sent : call->parts) lost.emplace_back(sent, reached(*sent));
  for (auto& [sent, far] : lost) finish(*sent, {how, far, {}});
  const std::uint64_t out = connection.written();
  for (const Connection::Span& s : connection.spans)
    if (s.ends > out)
      byte_counter_({connection.node->id, s.whose,
                     -static_cast<long long>(std::min<std::uint64_t>(s.size, s.ends - out)), 0});
  bufferevent_free(connection.bev);
  --open_;
  std::erase_if(connection.node->connections, [&](const auto& c) { return c.get() == &connection; });
}

}  // namespace cairnhub::backend
