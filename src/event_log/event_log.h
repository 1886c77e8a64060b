// Structured events of what a broker did, a JSON object a line: what it held to be true, what it acted on and
// when. Events of several brokers can be held against each other: their times, "t", are nanoseconds of
// CLOCK_MONOTONIC, which all processes of a machine share; they aren't times of day.
//
// Each line is flushed when its event ends, so that a killed process loses no more than the one that it was
// writing. A failed write, as on a full disk, is not reported to the caller and the broker goes on; spdlog
// says so on stderr, at most once a second. One thread.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace cairnhub {

class EventLog {
 public:
  // One event under way: takes fields in the order given, is written when it is destroyed.
  class Event {
   public:
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();
    // @param key a literal that needs no quoting in JSON.
    // @param text anything: quotes and backslashes are escaped; what isn't printable ASCII becomes a question
    //   mark.
    Event& with(const char* key, std::string_view text);
    Event& with(const char* key, const char* text) { return with(key, std::string_view(text)); }
    Event& with(const char* key, std::uint64_t number);
    Event& with(const char* key, bool flag);

   private:
    friend class EventLog;
    Event(spdlog::logger& logger, const std::string& broker_name, const char* event_name);
    void append_key(const char* key);

    spdlog::logger& logger_;
    std::string line_;
  };

  // Appends to `file`, or creates it. Throws EventLogError where it can't be written.
  // @param broker_name written in each event; needs no quoting in JSON.
  EventLog(const std::string& file, std::string broker_name);

  // Begins an event, with its time and `event_name`, a literal that needs no quoting in JSON. The log must
  // outlive it.
  Event record_event(const char* event_name) { return Event(*logger_, broker_name_, event_name); }

 private:
  std::string broker_name_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace cairnhub
