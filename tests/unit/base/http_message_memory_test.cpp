#include "base/http_message_memory.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace cairnhub {

namespace {

constexpr std::size_t kLeastFieldBytes = 96;    // a record and two strings, each a block of the allocator
constexpr std::size_t kLeastBlockBytes = 1024;  // of a libevent buffer

std::size_t bytes_of(const std::string& message) {
  HttpMessageMemory memory;
  memory.record_read(message);
  return memory.bytes();
}

std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

TEST(HttpMessageMemoryTest, ShortFieldsTakeMoreThanTheirBytes) {
  const std::string start = "POST /lookup HTTP/1.1\r\n";
  EXPECT_GE(bytes_of(start + repeated("a:b\n", 4000)), 4000 * kLeastFieldBytes);
  EXPECT_GE(bytes_of(start + repeated("a:b\r\n", 3000)), 3000 * kLeastFieldBytes);
}

TEST(HttpMessageMemoryTest, BodyWithLengthTakesItsBytesWhateverItsLines) {
  const std::string head = "POST /lookup HTTP/1.1\r\ncontent-LENGTH: 60000\r\n\r\n";
  EXPECT_EQ(bytes_of(head + repeated("\n", 60000)), bytes_of(head) + 60000);
}

TEST(HttpMessageMemoryTest, BodyWithLengthTakesItsBytesHoweverItIsRead) {
  HttpMessageMemory memory;
  memory.record_read("POST /lookup HTTP/1.1\r\nContent-Length: 100\r\n\r\n");
  const std::size_t head_bytes = memory.bytes();
  for (int i = 0; i < 100; ++i) memory.record_read("x");
  EXPECT_EQ(memory.bytes(), head_bytes + 100);
}

TEST(HttpMessageMemoryTest, EachReadOfAChunkTakesABlock) {
  HttpMessageMemory memory;
  memory.record_read("POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    memory.record_read("1\r\n");
    memory.record_read("x");
    memory.record_read("\r\n");
  }
  EXPECT_GE(memory.bytes(), 100 * kLeastBlockBytes);
  EXPECT_LT(memory.bytes(), 120 * kLeastBlockBytes);
}

TEST(HttpMessageMemoryTest, LinesInAChunkAreNoFields) {
  const std::string head = "POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "7d0\r\n" + repeated("\n", 2000) + "\r\n";
  EXPECT_EQ(bytes_of(head + chunk), head.size() + chunk.size() + bytes_of(head) - head.size());
}

TEST(HttpMessageMemoryTest, TrailersAreFields) {
  const std::string head = "POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_GE(bytes_of(head + "1\r\nx\r\n0\r\n" + repeated("a:b\n", 3000)), 3000 * kLeastFieldBytes);
  // As is what the parser may not take for the size of a chunk.
  EXPECT_GE(bytes_of(head + "zz\r\n" + repeated("a:b\n", 3000)), 3000 * kLeastFieldBytes);
}

TEST(HttpMessageMemoryTest, EachReadOfABodyUntilTheEndTakesABlock) {
  HttpMessageMemory memory;
  memory.record_read("HTTP/1.1 200 OK\r\n\r\n");
  for (int i = 0; i < 100; ++i) memory.record_read("x");
  EXPECT_GE(memory.bytes(), 100 * kLeastBlockBytes);
}

TEST(HttpMessageMemoryTest, PiecesOfOneByteAreReadAsTheWhole) {
  const std::string message = "POST /lookup HTTP/1.1\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc";
  HttpMessageMemory memory;
  for (const char& c : message) memory.record_read({&c, 1});
  EXPECT_EQ(memory.bytes(), bytes_of(message));
}

TEST(HttpMessageMemoryTest, TheEndOfABufferIsReadAcrossItsBlocks) {
  const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> buffer(evbuffer_new(), evbuffer_free);
  evbuffer_add(buffer.get(), "not new", 7);
  const std::string message = "POST /lookup HTTP/1.1\r\n" + repeated("a:b\n", 4000);
  for (std::size_t at = 0; at < message.size(); at += 100) {
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> block(evbuffer_new(), evbuffer_free);
    evbuffer_add(block.get(), message.data() + at, std::min<std::size_t>(100, message.size() - at));
    evbuffer_add_buffer(buffer.get(), block.get());
  }
  HttpMessageMemory memory;
  memory.record_read(buffer.get(), message.size());
  EXPECT_EQ(memory.bytes(), bytes_of(message));
}

TEST(HttpMessageMemoryTest, ResetStartsTheNextMessage) {
  HttpMessageMemory memory;
  memory.record_read("POST /lookup HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  memory.reset();
  EXPECT_EQ(memory.bytes(), 0u);
  memory.record_read("POST / HTTP/1.1\r\n" + repeated("a:b\n", 100));
  EXPECT_GE(memory.bytes(), 100 * kLeastFieldBytes);
}

}  // namespace

}  // namespace cairnhub
