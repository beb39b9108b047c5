/// \file
/// Binary heap over table indexes that supports removal and key changes by
/// index.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace shallotlatch {

/// Min-heap of table indexes below a fixed capacity. Every change takes
/// O(log n).
template <typename Key> class IndexedHeap {
public:
  explicit IndexedHeap(uint32_t Capacity) : Positions(Capacity, Absent) {}

  bool empty() const { return this->Items.empty(); }
  uint32_t size() const { return static_cast<uint32_t>(this->Items.size()); }
  bool contains(uint32_t Index) const {
    return this->Positions[Index] != Absent;
  }
  uint32_t top() const { return this->Items[0].second; }
  const Key &topKey() const { return this->Items[0].first; }
  /// Returns the index at heap position \p Position. The first few positions
  /// hold keys near the minimum.
  uint32_t at(uint32_t Position) const { return this->Items[Position].second; }

  /// Inserts \p Index, or changes its key if the heap contains it.
  void set(uint32_t Index, const Key &K) {
    if (!this->contains(Index)) {
      this->Positions[Index] = this->size();
      this->Items.emplace_back(K, Index);
      this->siftUp(this->size() - 1);
      return;
    }
    uint32_t Position = this->Positions[Index];
    this->Items[Position].first = K;
    this->siftUp(Position);
    this->siftDown(this->Positions[Index]);
  }

  /// Removes \p Index; does nothing if the heap does not contain it.
  void remove(uint32_t Index) {
    if (!this->contains(Index)) {
      return;
    }
    uint32_t Position = this->Positions[Index];
    uint32_t Last = this->size() - 1;
    if (Position != Last) {
      this->swapItems(Position, Last);
    }
    this->Items.pop_back();
    this->Positions[Index] = Absent;
    if (Position != Last) {
      uint32_t Moved = this->Items[Position].second;
      this->siftUp(Position);
      this->siftDown(this->Positions[Moved]);
    }
  }

private:
  static constexpr uint32_t Absent = UINT32_MAX;

  void swapItems(uint32_t A, uint32_t B) {
    std::swap(this->Items[A], this->Items[B]);
    this->Positions[this->Items[A].second] = A;
    this->Positions[this->Items[B].second] = B;
  }

  void siftUp(uint32_t Position) {
    while (Position > 0) {
      uint32_t Parent = (Position - 1) / 2;
      if (!(this->Items[Position].first < this->Items[Parent].first)) {
        return;
      }
      this->swapItems(Position, Parent);
      Position = Parent;
    }
  }

  void siftDown(uint32_t Position) {
    while (true) {
      uint32_t Child = 2 * Position + 1;
      if (Child >= this->size()) {
        return;
      }
      if (Child + 1 < this->size() &&
          this->Items[Child + 1].first < this->Items[Child].first) {
        ++Child;
      }
      if (!(this->Items[Child].first < this->Items[Position].first)) {
        return;
      }
      this->swapItems(Position, Child);
      Position = Child;
    }
  }

  std::vector<std::pair<Key, uint32_t>> Items; ///< Key and table index.
  /// Heap position by table index; `Absent` if the heap does not contain it.
  std::vector<uint32_t> Positions;
};

} // namespace shallotlatch
