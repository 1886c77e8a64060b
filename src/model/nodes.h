// All nodes ever listed, by id, and by the cell that tells which shards they hold.
#pragma once
#include <map>
#include <memory>
#include <vector>

#include "model/node.h"

namespace cairnhub {

class Nodes {
 public:
  void layout(int cells, int replicas_in_a_row) {
    cells_.resize(cells);
    replicas_ = replicas_in_a_row;
  }
  Node& at(NodeId id) {
    auto& slot = by_id_[id];
    if (!slot) {
      slot = std::make_unique<Node>();
      slot->id = id;
      slot->cell = -1;
    }
    return *slot;
  }
  void place(Node& node, int cell) {
    if (node.cell == cell || cell < 0 || cell >= static_cast<int>(cells_.size())) return;
    if (node.cell >= 0) std::erase(cells_[node.cell], &node);
    node.cell = cell;
    cells_[cell].push_back(&node);
  }
  // Nodes that hold the shard, ready or not.
  std::vector<Node*> holders(int shard) const {
    std::vector<Node*> found;
    for (int j = 0; j < replicas_; ++j)
      for (Node* n : cells_[(shard + j) % cells_.size()]) found.push_back(n);
    return found;
  }
  // In order of id.
  template <class F>
  void each(F f) {
    for (auto& [id, node] : by_id_) f(*node);
  }

 private:
  std::map<NodeId, std::unique_ptr<Node>> by_id_;
  std::vector<std::vector<Node*>> cells_;
  int replicas_ = 1;
};

}  // namespace cairnhub
