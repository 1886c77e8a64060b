// The first thing that the text format's reader complains of, as "line:column: message".
#pragma once
#include <google/protobuf/io/tokenizer.h>

#include <string>

namespace cairnhub {

struct FirstError : google::protobuf::io::ErrorCollector {
  std::string text;
  void AddError(int line, int column, const std::string& message) override {
    if (text.empty()) text = std::to_string(line + 1) + ":" + std::to_string(column + 1) + ": " + message;
  }
};

}  // namespace cairnhub
