// A host that speaks the search API over HTTP and answers every search with ten documents of a given size, on
// threads of its own. A search for ids gets those documents of its block. Answers can be held.
#pragma once
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>

#include "stand_ins/connection_threads.h"
#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

class LargeAnswerHost {
 public:
  // Listens at the address of node `number`.
  LargeAnswerHost(int number, std::size_t document_bytes);
  ~LargeAnswerHost();
  LargeAnswerHost(const LargeAnswerHost&) = delete;
  LargeAnswerHost& operator=(const LargeAnswerHost&) = delete;

  // From now on searches are answered only while fewer than `count` have been asked for.
  void hold_from(int count);
  // Holds the answer of the `number`-th search alone, counted from 1.
  void hold_only(int number);
  void release();
  int asked();  // number of searches

 private:
  void serve(Peer& peer);
  // Returns once the search's answer may be sent. @return false if the host is ending
  bool await_turn();
  std::string answer(int block, const std::string& search) const;

  const std::string filler_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int asked_ = 0;
  int held_from_ = 0;  // 0: none
  int held_only_ = 0;  // 0: none
  bool is_ending_ = false;
  ConnectionThreads threads_;
};

}  // namespace cairnhub::stand_ins
