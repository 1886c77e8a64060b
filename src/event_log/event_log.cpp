#include "event_log/event_log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <time.h>

#include <utility>

#include "event_log/event_log_error.h"

namespace cairnhub {

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::int64_t monotonic_nanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * kNanosecondsPerSecond + time.tv_nsec;
}

// The text may come from other brokers or from servers.
void append_quoted(std::string& line, std::string_view text) {
  line += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    const bool is_printable = c >= ' ' && c <= '~';
    line += is_printable ? c : '?';
  }
  line += '"';
}

}  // namespace

EventLog::EventLog(const std::string& file, std::string broker_name) : broker_name_(std::move(broker_name)) {
  try {
    auto sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
    logger_ = std::make_shared<spdlog::logger>("event_log", std::move(sink));
  } catch (const spdlog::spdlog_ex& error) {
    throw EventLogError(file, error.what());
  }
  logger_->set_pattern("%v");
  logger_->set_level(spdlog::level::info);
  logger_->flush_on(spdlog::level::info);
}

EventLog::Event::Event(spdlog::logger& logger, const std::string& broker_name, const char* event_name)
    : logger_(logger) {
  line_ = "{\"t\":" + std::to_string(monotonic_nanoseconds()) + ",\"who\":\"" + broker_name +
          "\",\"what\":\"" + event_name + "\"";
}

EventLog::Event::~Event() {
  line_ += '}';
  logger_.info("{}", line_);
}

EventLog::Event& EventLog::Event::with(const char* key, std::string_view text) {
  append_key(key);
  append_quoted(line_, text);
  return *this;
}

EventLog::Event& EventLog::Event::with(const char* key, std::uint64_t number) {
  append_key(key);
  line_ += std::to_string(number);
  return *this;
}

EventLog::Event& EventLog::Event::with(const char* key, bool flag) {
  append_key(key);
  line_ += flag ? "true" : "false";
  return *this;
}

void EventLog::Event::append_key(const char* key) {
  line_ += ",\"";
  line_ += key;
  line_ += "\":";
}

}  // namespace cairnhub
