#include "hosts/frames/sender.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "base/sockets.h"
#include "hosts/frames/frame.h"

namespace cairnhub::broker {

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
struct Sender::Call {
  std::vector<OnWay*> parts;  // still out
  std::uint64_t ends = 0;     // in the connection's stream; 0 = not begun
};

struct Sender::OnWay {
  Errand* errand = nullptr;
  Node* node = nullptr;
  Link* link = nullptr;
  Call* call = nullptr;
  std::unique_ptr<Timer> timeout;

  bool begun() const { return call && call->ends != 0; }  // handed over: it will be written to its end
};

struct Sender::Link {
  struct GivenUp {
    std::size_t name;  // hashed
    Account whose;
  };
  struct Span {  // handed over, and maybe not written yet; only where bytes are counted
    std::uint64_t ends;
    std::size_t size;
    Account whose;
  };
  Sender* sender = nullptr;
  Node* node = nullptr;
  Address to;
  bufferevent* bev = nullptr;
  bool up = false;
  std::uint64_t handed = 0;   // bytes, over its life
  std::uint64_t spanned = 0;  // of them, those that spans were made of
  std::list<std::unique_ptr<Call>> waiting, under_way;
  std::unordered_map<std::string_view, OnWay*> out;  // by name at the node; looked up, never walked
  std::unique_ptr<Timer> limit;                      // to connect, then to be idle
  std::unique_ptr<Timer> rest;                       // of a frame that has begun to come
  Time idle_since = 0;                               // when its last call ended, where none is out
  Time counted = 0;                                  // its last good frame, or silence counted up to here
  Time silence = 0;                                  // waited in vain since the last good frame
  int in_vain = 0;                                   // sends given up since then
  std::deque<GivenUp> given_up;                      // oldest first
  std::deque<Span> spans;                            // oldest first
  std::string answered;                              // the last name

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
  bool mute() const { return in_vain > 1 && silence > sender->limits_.connect_within / kVainShare; }
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

struct Sender::Node {
  NodeId id = 0;
  std::string name;
  Address address;
  std::vector<std::unique_ptr<Link>> links;
  std::vector<OnWay*> this_turn;
};

Sender::Sender(event_base* base, SendLimits limits, Ended ended, std::function<void()> turn)
    : base_(base), limits_(limits), ended_(std::move(ended)), turn_(std::move(turn)) {}

Sender::~Sender() {
  for (auto& [id, n] : nodes_)
    for (auto& link : n->links) bufferevent_free(link->bev);
}

void Sender::node(NodeId id, const std::string& name, const Address& address, NodeState state) {
  auto& slot = nodes_[id];
  if (!slot) slot = std::make_unique<Node>();
  slot->id = id, slot->name = name, slot->address = address;
  if (state == NodeState::ready) return;
  // Rule 3. Danger: a frame that waits for its connection would go out long after the node said it drains.
  std::vector<OnWay*> withdrawn = slot->this_turn;
  for (auto& link : slot->links)
    for (auto& call : link->waiting)
      withdrawn.insert(withdrawn.end(), call->parts.begin(), call->parts.end());
  for (OnWay* way : withdrawn) stop(*way, End::given_up);
}

void Sender::forget(NodeId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  while (!it->second->links.empty()) break_off(*it->second->links.back(), nullptr);
  std::erase(touched_, it->second.get());
  nodes_.erase(it);
}

void Sender::let_go(NodeId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  std::vector<Link*> idle;
  for (auto& link : it->second->links)
    if (link->calls() == 0) idle.push_back(link.get());
  for (Link* link : idle) {
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(link->bev), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    break_off(*link, nullptr);
  }
}

void Sender::send(Errand& errand, NodeId to) {
  Node& n = *nodes_.at(to);
  auto& way = ways_[&errand] = std::make_unique<OnWay>();
  way->errand = &errand, way->node = &n;
  way->timeout = std::make_unique<Timer>(base_, [this, w = way.get()] {
    stop(*w, End::timed_out);
    turn_();
  });
  way->timeout->start(errand.until - now());
  if (n.this_turn.empty()) touched_.push_back(&n);
  n.this_turn.push_back(way.get());
}

void Sender::give_up(Errand& errand) {
  const auto it = ways_.find(&errand);
  if (it != ways_.end()) stop(*it->second, End::given_up);
}

void Sender::flush() {
  for (Node* n : std::exchange(touched_, {})) {
    std::vector<OnWay*> parts = std::exchange(n->this_turn, {});
    for (std::size_t i = 0; i < parts.size();) {
      const std::size_t upto = std::min(parts.size(), i + limits_.parts_a_call);
      Link* link = link_with_room(*n);
      if (!link) {  // none may be opened: not the node's doing, and it never ran
        for (; i < upto; ++i) finish(*parts[i], {End::given_up, Reached::never_connected, {}});
        continue;
      }
      auto call = std::make_unique<Call>();
      for (; i < upto; ++i) {
        call->parts.push_back(parts[i]);
        parts[i]->link = link, parts[i]->call = call.get();
      }
      link->waiting.push_back(std::move(call));
      if (link->up) link->limit->stop();
    }
    for (auto& link : n->links)
      if (link->up) write(*link);
  }
}

// A connection to the node's present address that carries fewer calls than it may; else a new one; else, when
// no more may be opened, the one with the fewest.
Sender::Link* Sender::link_with_room(Node& n) {
  Link* fewest = nullptr;
  for (auto& link : n.links)
    if (link->to == n.address && !link->mute() && (!fewest || link->calls() < fewest->calls()) &&
        link->reusable())
      fewest = link.get();
  if (fewest && fewest->calls() < static_cast<std::size_t>(limits_.calls_a_connection)) return fewest;
  if (open_ >= limits_.connections && !fewest) let_go_idle();
  Link* fresh = open_ < limits_.connections ? open(n) : nullptr;
  return fresh ? fresh : fewest;
}

// Danger: with more nodes than connections, the first ones met would hold them all until idle long enough,
// and every part for another node would fail at once. The one idle longest goes; none, where all carry calls.
void Sender::let_go_idle() {
  Link* longest = nullptr;
  for (auto& [id, n] : nodes_)
    for (auto& link : n->links)
      if (link->up && link->calls() == 0 && (!longest || link->idle_since < longest->idle_since))
        longest = link.get();
  if (longest) break_off(*longest, nullptr);
}

Sender::Link* Sender::open(Node& n) {
  auto link = std::make_unique<Link>();
  link->sender = this, link->node = &n, link->to = n.address;
  Link* l = link.get();
  l->bev = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!l->bev) return nullptr;
  l->limit = std::make_unique<Timer>(base_, [this, l] {
    break_off(*l, l->up ? nullptr : "not connected in time");
    turn_();
  });
  // Danger: a length or a line that is never filled. The node is of no further use on this connection, and
  // all that waits there would wait for nothing.
  l->rest = std::make_unique<Timer>(base_, [this, l] {
    break_off(*l, "a frame without end", End::spoilt);
    turn_();
  });
  if (bufferevent_socket_connect(l->bev, reinterpret_cast<sockaddr*>(&l->to.at), l->to.length) != 0) {
    bufferevent_free(l->bev);
    return nullptr;
  }
  // After the attempt to connect: one that fails at once is told here, and not by a callback as well.
  bufferevent_setcb(
      l->bev,
      [](bufferevent*, void* at) {
        guarded("node read", [l = static_cast<Link*>(at), s = static_cast<Link*>(at)->sender] {
          s->readable(*l);
          s->turn_();
        });
      },
      [](bufferevent*, void* at) {
        guarded("node write", [l = static_cast<Link*>(at)] {
          Sender* s = l->sender;
          const bool begins = !l->waiting.empty();
          if (begins && s->look_) s->look_();
          s->write(*l);
          if (begins) s->turn_();
        });
      },
      [](bufferevent*, short what, void* at) {
        guarded("node event", [l = static_cast<Link*>(at), s = static_cast<Link*>(at)->sender, what] {
          s->happened(*l, what);
          s->turn_();
        });
      },
      l);
  l->limit->start(limits_.connect_within);
  ++open_;
  n.links.push_back(std::move(link));
  return l;
}

void Sender::happened(Link& link, short what) {
  if (what & BEV_EVENT_CONNECTED) {
    link.up = true;
    link.limit->stop();
    const int on = 1;
    setsockopt(bufferevent_getfd(link.bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_enable(link.bev, EV_READ | EV_WRITE);
    if (look_) look_();
    return write(link);
  }
  break_off(link, what & BEV_EVENT_EOF ? "ended by the node" : link.up ? "reset" : "refused");
}

// Danger: a connection comes up late. The client has no time left, or repeats are no longer dropped, and the
// attempt would be told a time that is none or take effect twice.
void Sender::withdraw_expired(Link& link) {
  std::vector<std::pair<OnWay*, End>> expired;
  const Time at = now();
  for (const auto& call : link.waiting)
    for (OnWay* way : call->parts) {
      if (way->errand->until <= at)
        expired.emplace_back(way, End::timed_out);
      else if (way->errand->begin_by < at)
        expired.emplace_back(way, End::given_up);
    }
  for (const auto& [way, why] : expired) stop(*way, why);
}

// Hands over what waits as long as the kernel takes it.
void Sender::write(Link& link) {
  withdraw_expired(link);
  evbuffer* output = bufferevent_get_output(link.bev);
  while (!link.waiting.empty() && evbuffer_get_length(output) < kHandedMost) {
    std::unique_ptr<Call> call = std::move(link.waiting.front());
    link.waiting.pop_front();
    frame::Call bytes;
    std::vector<std::size_t> upto;  // of the parts' bytes, where they are counted
    for (OnWay* way : call->parts) {
      const Part& p = *way->errand->part;
      bytes.add(p.name, p.shard, way->errand->until - now(),
                p.target.empty() ? (p.text ? *p.text : p.query->text)
                                 : p.target + "\n" + (p.text ? *p.text : p.query->text));
      link.out[p.name] = way;
      if (count_) upto.push_back(bytes.size());
    }
    const std::string all = bytes.finish();
    call->ends = link.handed += all.size();
    bufferevent_write(link.bev, all.data(), all.size());
    // What goes before them all counts as the first one's.
    for (std::size_t i = 0; i < upto.size(); ++i)
      handed_over(link, *call->parts[i]->errand,
                  i > 0 ? upto[i] - upto[i - 1] : upto[0] + all.size() - bytes.size());
    link.under_way.push_back(std::move(call));
  }
  if (link.calls() == 0 && !link.limit->pending())
    link.limit->start(limits_.idle_at_most), link.idle_since = now();
}

// Counts them, and remembers what may never be written.
void Sender::handed_over(Link& link, const Errand& errand, std::size_t bytes) {
  if (!count_) return;
  count_({link.node->id, errand.account, static_cast<long long>(bytes), 0});
  while (!link.spans.empty() && link.spans.front().ends <= link.written()) link.spans.pop_front();
  link.spans.push_back({link.spanned += bytes, bytes, errand.account});
}

void Sender::readable(Link& link) {
  evbuffer* input = bufferevent_get_input(link.bev);
  for (;;) {
    unsigned char head[frame::kLengthBytes];
    const bool begun = evbuffer_copyout(input, head, sizeof head) == static_cast<ev_ssize_t>(sizeof head);
    const std::size_t n = begun ? frame::length(head) : 1;
    if (n == 0 || n > frame::kLongest) return break_off(link, "a frame of no possible length", End::spoilt);
    if (!begun || evbuffer_get_length(input) < sizeof head + n) break;
    const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, sizeof head + n)) + sizeof head;
    if (const char* wrong = take_frame(link, {bytes, n})) return break_off(link, wrong, End::spoilt);
    evbuffer_drain(input, sizeof head + n);
    link.rest->stop();
  }
  if (evbuffer_get_length(input) == 0)
    link.rest->stop();
  else if (!link.rest->pending())
    link.rest->start(limits_.connect_within);  // what the network may take at the most
}

const char* Sender::take_frame(Link& link, std::string_view bytes) {
  const auto ended = frame::read(bytes);
  if (!ended) return bytes[0] == 'F' ? "node can't use a frame" : "a malformed frame";
  const auto it = link.out.find(ended->id);
  const Link::GivenUp* given_up = link.was_given_up(ended->id);
  if (count_) {
    const Account whose = it != link.out.end() ? it->second->errand->account
                          : given_up           ? given_up->whose
                                               : Account{};
    count_({link.node->id, whose, 0, static_cast<long long>(bytes.size() + frame::kLengthBytes)});
  }
  // One for a part that is over crosses its give-up, or is a second copy: ordinary, dropped. Danger: one for
  // a part of nobody stands for one that waits, and the node says nothing more here.
  if (it == link.out.end()) return given_up || ended->id == link.answered ? nullptr : "a part of nobody";
  link.counted = now(), link.silence = 0, link.in_vain = 0;
  link.answered = ended->id;
  // Danger: a name used again after it was given up here. This may be the value made for the earlier one.
  const End end = given_up                                    ? End::error
                  : ended->how == frame::Ended::How::returned ? End::returned
                  : ended->how == frame::Ended::How::full     ? End::full
                                                              : End::error;
  finish(*it->second, {end, Reached::wholly_written, ended->value});
  return nullptr;
}

// How far a send on a broken connection had come.
Reached Sender::reached(const OnWay& way) const {
  if (!way.link->up) return Reached::never_connected;
  return way.begun() && way.link->written() >= way.call->ends ? Reached::wholly_written
                                                              : Reached::partly_written;
}

void Sender::withdraw(Errand& errand) {
  const auto it = ways_.find(&errand);
  if (it != ways_.end() && !it->second->begun()) stop(*it->second, End::given_up);
}

// Ends a send from this side: withdrawn where its frame is not begun, else the node is told. Danger: a frame
// handed over is written to its end, and may run though its last byte was not out when it was given up.
void Sender::stop(OnWay& way, End why) {
  const bool told = way.begun();
  if (told) {
    const std::string bytes = frame::give_up(way.errand->part->name);
    way.link->handed += bytes.size();
    bufferevent_write(way.link->bev, bytes.data(), bytes.size());
    handed_over(*way.link, *way.errand, bytes.size());
    way.link->given_up.push_back(
        {std::hash<std::string_view>{}(way.errand->part->name), way.errand->account});
    if (way.link->given_up.size() > kGivenUpMost) way.link->given_up.pop_front();
    way.link->waited_in_vain(way.errand->sent_at);
  }
  Link* link = way.link;
  finish(way, {why, told ? Reached::wholly_written : Reached::never_connected, {}});
  if (told && evbuffer_get_length(bufferevent_get_output(link->bev)) > kUnreadMost)
    break_off(*link, "reads nothing");
}

// The one place where a send ends.
void Sender::finish(OnWay& way, const Result& result) {
  Errand& errand = *way.errand;
  std::erase(way.node->this_turn, &way);
  if (Link* link = way.link) {
    const auto named = link->out.find(errand.part->name);
    if (named != link->out.end() && named->second == &way) link->out.erase(named);
    std::erase(way.call->parts, &way);
    if (way.call->parts.empty()) {
      const auto done = [&](const auto& c) { return c.get() == way.call; };
      link->waiting.remove_if(done);
      link->under_way.remove_if(done);
      if (link->up && link->calls() == 0) {
        link->limit->start(link->mute() ? 0 : limits_.idle_at_most);
        link->idle_since = now();
      }
    }
  }
  const auto kept = ways_.extract(&errand);  // until told
  ended_(errand, result);
}

// Ends a connection and all that is out on it. No reason: it was idle.
void Sender::break_off(Link& link, const char* why, End how) {
  if (why) log("node", "%s: %s, %zu calls on the connection", link.node->name.c_str(), why, link.calls());
  std::vector<std::pair<OnWay*, Reached>> lost;
  for (auto* calls : {&link.under_way, &link.waiting})
    for (auto& call : *calls)
      for (OnWay* way : call->parts) lost.emplace_back(way, reached(*way));
  for (auto& [way, far] : lost) finish(*way, {how, far, {}});
  const std::uint64_t out = link.written();
  for (const Link::Span& s : link.spans)
    if (s.ends > out)
      count_({link.node->id, s.whose, -static_cast<long long>(std::min<std::uint64_t>(s.size, s.ends - out)),
              0});
  bufferevent_free(link.bev);
  --open_;
  std::erase_if(link.node->links, [&](const auto& l) { return l.get() == &link; });
}

}  // namespace cairnhub::broker
